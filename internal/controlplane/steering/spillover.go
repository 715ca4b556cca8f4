package steering

import (
	"math"

	"elmfold/internal/policy"
)

const (
	// spillStart is the utilization of a zone above which other zones may serve its excess; spillStop is the utilization
	// below which they stop.
	spillStart, spillStop = 0.85, 0.7
	// fairStart and fairStop are the same thresholds for a zone's capacity relative to its fair share.
	fairStart, fairStop = 0.5, 0.6
	// localityMargin is the factor by which the load of zones without local proxies is overstated to suppress spillover.
	localityMargin = 1.5
	// Slow start: the initial fraction of an endpoint's capacity, and the time in which it doubles.
	slowStartBegin    = 0.1
	slowStartDoubling = 5 * policy.Second
	maxDoublings      = 10
)

// zoneLoad is the estimated load of a zone.
type zoneLoad struct {
	capacity float64 // of ready endpoints, reduced in slow start
	proxies  float64 // steered by this node
	leased   float64 // proxies that hold a lease
	rate     float64 // requests/s at proxies that this node steers
	demand   float64 // estimated requests/s at all proxies
}

// remoteLoad estimates the requests/s by zone at proxies that other nodes steer: each is assumed to receive as much as
// a local one. Policy uses it to move the excess over a zone's fair share to other zones, which is more often than the
// published design does.
//
// Because traffic between zones is expensive, remoteLoad suppresses spillover while zones have free capacity and at
// least half of their fair share: it then reports all zones as full as the fullest local one. Proxies handle their own
// overflow.
func (s *service) remoteLoad(at policy.Time) []float64 {
	zones, capacity := s.zoneLoads(at)
	remote := make([]float64, len(zones))
	for i, z := range zones {
		remote[i] = z.demand - z.rate
	}
	s.spillsOver = s.needsSpillover(zones, capacity)
	if s.spillsOver {
		return remote
	}
	fullest := 0.0
	for _, z := range zones {
		if z.isServedHere() {
			fullest = max(fullest, z.demand/z.capacity)
		}
	}
	for i, z := range zones {
		load := fullest * z.capacity
		if z.proxies == 0 {
			load *= localityMargin
		}
		remote[i] = max(load-z.rate, 0)
	}
	return remote
}

// isServedHere reports whether a zone has endpoints and locally steered proxies.
func (z zoneLoad) isServedHere() bool { return z.proxies > 0 && z.capacity > 0 }

// zoneLoads returns the load of each zone and the total capacity.
func (s *service) zoneLoads(at policy.Time) (zones []zoneLoad, total float64) {
	zones = make([]zoneLoad, len(s.adapter.zones))
	for i := range s.proxies {
		if state := &s.proxies[i]; state.joined {
			z := &zones[s.adapter.proxyIndex[i].zone]
			z.proxies++
			z.rate += state.rate
		}
	}
	for i := range s.endpoints {
		if entry := &s.endpoints[i].entry; entry.Status == policy.Ready {
			capacity := currentCapacity(entry, at)
			zones[entry.Zone].capacity += capacity
			total += capacity
		}
	}
	rate, proxies := 0.0, 0.0
	for _, z := range zones {
		rate += z.rate
		proxies += z.proxies
	}
	for i := range zones {
		z := &zones[i]
		z.leased = max(s.adapter.leases[i], z.proxies)
		z.demand = z.rate * z.leased / max(z.proxies, 1)
		if z.proxies == 0 {
			z.demand = rate / max(proxies, 1) * z.leased
		}
	}
	return zones, total
}

// currentCapacity returns an endpoint's capacity, reduced in slow start.
func currentCapacity(entry *policy.Entry, at policy.Time) float64 {
	if entry.StartedAt <= 0 {
		return entry.Weight
	}
	steps := max(at-entry.StartedAt, 0) / slowStartDoubling
	return entry.Weight * min(1, slowStartBegin*math.Exp2(float64(min(steps, maxDoublings))))
}

// needsSpillover reports whether a zone is nearly full, or has lost most of its fair share of the capacity.
func (s *service) needsSpillover(zones []zoneLoad, capacity float64) bool {
	maxBusy, minFair := spillStart, fairStart
	if s.spillsOver {
		maxBusy, minFair = spillStop, fairStop
	}
	fleet := 0.0
	for _, z := range zones {
		fleet += z.leased
	}
	for _, z := range zones {
		if !z.isServedHere() {
			continue
		}
		isBusy := z.demand*s.latency > maxBusy*z.capacity
		isShort := z.capacity/capacity < minFair*z.leased/fleet
		if isBusy || isShort {
			return true
		}
	}
	return false
}
