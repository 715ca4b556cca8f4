package steering

import (
	"math"

	"elmfold/internal/policy"
)

const (
	// spillStart is the part of a zone's capacity in use from which other zones may be asked for its excess, and spillStop
	// that below which they no longer are.
	spillStart, spillStop = 0.85, 0.7
	// fairStart and fairStop are the same for the part that is left of a zone's fair share of all capacity.
	fairStart, fairStop = 0.5, 0.6
	// homeMargin is the factor by which zones without a proxy here are said to be fuller, where nothing is to leave a
	// zone.
	homeMargin = 1.5
	// An endpoint in slow start counts with rampStart of its capacity, which doubles each rampStep.
	rampStart    = 0.1
	rampStep     = 5 * policy.Second
	maxRampSteps = 10
)

// zoneLoad is what is known of a zone.
type zoneLoad struct {
	capacity float64 // of its endpoints, slow start taken into account
	proxies  float64 // that are steered here
	fleet    float64 // that hold a lease
	rate     float64 // requests/s of those steered here
	demand   float64 // requests/s of all of them, estimated
}

// loadElsewhere estimates the load of the proxies that are steered by other nodes, by zone, in requests/s: as if
// each of them received what one here does. Policy then lets other zones join for what a zone is asked for over its
// fair share.
//
// That is more often than the design has it, and what crosses zones costs. So where some of the zone's capacity is free
// and at least half of its fair share is there, the other zones are said to be as full as the fullest one here, which
// keeps all at home. The overflow of a single proxy is the proxy's own to place.
func (s *service) loadElsewhere(at policy.Time) []float64 {
	zones, capacity := s.zoneLoads(at)
	elsewhere := make([]float64, len(zones))
	for i, z := range zones {
		elsewhere[i] = z.demand - z.rate
	}
	s.spillsOver = s.needsSpillover(zones, capacity)
	if s.spillsOver {
		return elsewhere
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
			load *= homeMargin
		}
		elsewhere[i] = max(load-z.rate, 0)
	}
	return elsewhere
}

// isServedHere reports whether a zone has proxies that are steered here, and endpoints.
func (z zoneLoad) isServedHere() bool { return z.proxies > 0 && z.capacity > 0 }

// zoneLoads returns what is known of each zone, and the capacity of all.
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
			capacity := capacityInSlowStart(entry, at)
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
		z.fleet = max(s.adapter.leases[i], z.proxies)
		z.demand = z.rate * z.fleet / max(z.proxies, 1)
		if z.proxies == 0 {
			z.demand = rate / max(proxies, 1) * z.fleet
		}
	}
	return zones, total
}

func capacityInSlowStart(entry *policy.Entry, at policy.Time) float64 {
	if entry.StartedAt <= 0 {
		return entry.Weight
	}
	steps := max(at-entry.StartedAt, 0) / rampStep
	return entry.Weight * min(1, rampStart*math.Exp2(float64(min(steps, maxRampSteps))))
}

// needsSpillover reports whether any zone is nearly full, or has lost most of its fair share of the capacity.
func (s *service) needsSpillover(zones []zoneLoad, capacity float64) bool {
	maxBusy, minFair := spillStart, fairStart
	if s.spillsOver {
		maxBusy, minFair = spillStop, fairStop
	}
	fleet := 0.0
	for _, z := range zones {
		fleet += z.fleet
	}
	for _, z := range zones {
		if !z.isServedHere() {
			continue
		}
		isBusy := z.demand*s.latency > maxBusy*z.capacity
		isShort := z.capacity/capacity < minFair*z.fleet/fleet
		if isBusy || isShort {
			return true
		}
	}
	return false
}
