package balancer

import (
	"hash/fnv"
	"time"
)

// warmupShare is the fraction of the slow-start rate at which the owning proxy sends to an endpoint.
const warmupShare = 0.9

// SlowStart returns the configured slow-start duration of a service.
func (b *Balancer) SlowStart(name string) time.Duration { return b.service(name).slowStart }

// ExtendLease extends this proxy's lease, without which it does not send to endpoints in slow start.
func (b *Balancer) ExtendLease(until time.Duration) { b.leaseEnd = max(b.leaseEnd, until) }

// maySendWarmup reports whether this proxy may send a request to an endpoint in slow start now. The proxy must own
// the endpoint's slow start and hold a lease by its own clock, and requests are spaced evenly at the slow-start rate,
// without a burst.
func (b *Balancer) maySendWarmup(now time.Duration, s *service, e *endpoint) bool {
	if !b.isWarmupOwner(e) || now > b.leaseEnd || s.slowStartRate <= 0 {
		return false
	}
	// Half of the bound, because two proxies may both consider themselves the owner for a moment.
	bound := s.slowStartRate*b.bounds.SlowStartExcess + b.bounds.SlowStartSlack
	rate := min(s.slowStartRate*warmupShare, bound/2-1)
	return rate > 0 && now >= e.warmupSentAt+time.Duration(float64(time.Second)/rate)
}

// isWarmupOwner reports whether this proxy is the one that sends to an endpoint in slow start. Rendezvous hashing
// selects the owner among the proxies of the endpoint's zone, or among all proxies if the zone has none. All proxies
// that know the same proxies agree without communication. The result is computed when needed and cached for the current
// set of proxies: the set changes often, while few endpoints are in slow start.
func (b *Balancer) isWarmupOwner(e *endpoint) bool {
	if e.ownerProxiesVersion == b.proxiesVersion {
		return e.isOwner
	}
	inZone := func(p ProxyInfo) bool { return p.Zone == e.Zone }
	owner, found := b.highestRankedProxy(e.ID, inZone)
	if !found {
		owner, _ = b.highestRankedProxy(e.ID, func(ProxyInfo) bool { return true })
	}
	e.isOwner, e.ownerProxiesVersion = owner == b.name, b.proxiesVersion
	return e.isOwner
}

// highestRankedProxy returns the eligible proxy with the highest hash for an endpoint.
func (b *Balancer) highestRankedProxy(endpointID string, isEligible func(ProxyInfo) bool) (winner string, found bool) {
	highest := uint64(0)
	for _, p := range b.proxies {
		if !isEligible(p) {
			continue
		}
		if h := RendezvousHash(p.Name, endpointID); !found || h > highest {
			highest, winner, found = h, p.Name, true
		}
	}
	return winner, found
}

// mixMultiplier is a multiplier from the finalizer of MurmurHash3.
const mixMultiplier = 0xff51afd7ed558ccd

// RendezvousHash returns the rank of a name for a key: rendezvous hashing chooses the name with the highest rank
// (Thaler and Ravishankar, 1996).
func RendezvousHash(name, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33 // the last input bytes barely affect the high bits of an FNV hash
	x *= mixMultiplier
	x ^= x >> 33
	return x
}
