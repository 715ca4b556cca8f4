package balancer

import (
	"hash/fnv"
	"time"
)

// warmupShare is the part of the slow-start rate that the one proxy uses which sends to an endpoint.
const warmupShare = 0.9

// SlowStart is how long an endpoint of a service is in slow start after its start, as the configuration says.
func (b *Balancer) SlowStart(name string) time.Duration { return b.service(name).slowStart }

// ExtendLease sets until when this proxy may do what only the holder of a lease may.
func (b *Balancer) ExtendLease(until time.Duration) { b.leaseEnd = max(b.leaseEnd, until) }

// mayWarmUp reports whether an endpoint in slow start may be sent a request now: only by the proxy that owns it, at the
// slow-start rate, without a burst, and while the proxy's lease lasts by its own clock.
func (b *Balancer) mayWarmUp(now time.Duration, s *service, e *endpoint) bool {
	if !b.ownsWarmup(e) || now > b.leaseEnd || s.slowStartRate <= 0 {
		return false
	}
	// Two proxies that both take themselves for the owner for a moment stay under the bound together.
	bound := s.slowStartRate*b.bounds.SlowStartExcess + b.bounds.SlowStartSlack
	rate := min(s.slowStartRate*warmupShare, bound/2-1)
	return rate > 0 && now >= e.warmupSentAt+time.Duration(float64(time.Second)/rate)
}

// ownsWarmup reports whether this proxy is the one that sends to an endpoint in slow start: one of the endpoint's
// zone, or of all where its zone has none, by rendezvous hashing, so that all proxies that know the same proxies
// agree without a message. It is worked out when needed: proxies change often, endpoints in slow start are few.
func (b *Balancer) ownsWarmup(e *endpoint) bool {
	if e.ownerVersion == b.proxiesVersion {
		return e.isOwner
	}
	inZone := func(p ProxyInfo) bool { return p.Zone == e.Zone }
	owner, found := b.rendezvous(e.ID, inZone)
	if !found {
		owner, _ = b.rendezvous(e.ID, func(ProxyInfo) bool { return true })
	}
	e.isOwner, e.ownerVersion = owner == b.name, b.proxiesVersion
	return e.isOwner
}

// rendezvous is the eligible proxy with the highest hash for an endpoint.
func (b *Balancer) rendezvous(endpointID string, isEligible func(ProxyInfo) bool) (winner string, found bool) {
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

// mixMultiplier is that of the finalizer of MurmurHash3.
const mixMultiplier = 0xff51afd7ed558ccd

// RendezvousHash ranks a name for a key: the name with the highest hash is chosen (Thaler and Ravishankar, 1996).
func RendezvousHash(name, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33 // the last bytes alone would decide little of the high bits of an FNV sum
	x *= mixMultiplier
	x ^= x >> 33
	return x
}
