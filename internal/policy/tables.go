package policy

import (
	"math"
	"slices"
)

// slowStartFactor returns the fraction of its weight that a backend is currently given.
func (a *Assigner) slowStartFactor(b int) float64 {
	age := max(a.now-a.backends.startedAt[b], 0)
	guaranteed := a.conf.WarmupCapacity + (1-a.conf.WarmupCapacity)*float64(age)/float64(max(a.conf.WarmupTime, 1))
	return min(1, max(slowStartBegin*math.Exp2(float64(min(age/slowStartDoubling, 10))), guaranteed))
}

// effectiveWeight returns a backend's weight in tables: its listed weight, reduced by slow start and derating.
func (a *Assigner) effectiveWeight(b int) float64 {
	return a.backends.weight[b] * a.slowStartFactor(b) * a.backends.derating[b]
}

// expectedWeight is effectiveWeight for estimating the load of others: proxies avoid failing backends.
func (a *Assigner) expectedWeight(b int) float64 {
	return a.effectiveWeight(b) * ifElse(a.slowStartFactor(b) < 1, 1, 1-a.failureRisk)
}

// isOpen reports whether a backend is ready and may serve a product from at least one zone.
func (a *Assigner) isOpen(class Product, b int) bool {
	zone, kind := a.backends.zone[b], a.backends.kind[b]
	return a.backends.status[b] == Ready && (class.OnlyZones == nil || slices.Contains(class.OnlyZones, zone)) &&
		(class.OnlyKinds == nil || slices.Contains(class.OnlyKinds, kind))
}

// zoneDemand is a proxy's demand in a zone: its rate, and the number of backends for it.
type zoneDemand struct{ rate, subsetSize float64 }

// setSubsets maintains a stable subset of each zone's backends per proxy, which bounds the connections per backend. The
// least loaded backends are added, the most loaded are dropped, and one is swapped per tick. Between ticks only proxies
// without a usable backend are extended.
func (a *Assigner) setSubsets(tick bool) {
	proxies := a.connected
	a.localLoad = append(a.localLoad, make([]float64, len(a.backends.zone)-len(a.localLoad))...)
	if tick {
		clear(a.localLoad)
	} else {
		proxies = a.strandedProxies()
	}
	size := a.subsetSize()
	// Proxies on a peer's tables get fewer lines while there are many: each line costs two, with the peer's withdrawal.
	few := min(size, max(minSubset, queueSeconds*a.linesPerSecondEach()/2/float64(len(a.groups))))
	wants := make([]zoneDemand, len(proxies))
	for zone, backends := range a.byZone {
		for i, p := range proxies {
			wants[i] = a.demandFor(p, zone, ifElse(p.usesPeerTables(), few, size))
			a.addLoad(p, backends, wants[i], tick)
		}
		for i, p := range proxies {
			a.adjustSubset(p, backends, wants[i], tick)
		}
	}
	for _, p := range proxies {
		p.counted = true
	}
	a.setLoad()
}

// subsetSize returns the number of backends per proxy and zone, before spillover is taken into account.
func (a *Assigner) subsetSize() (size float64) {
	if a.conf.MinConns == 0 {
		return math.Inf(1)
	}
	for _, ready := range a.ready {
		size += ifElse(ready, connShare*a.conf.MinConns/float64(max(a.conf.Proxies, 1)), 0)
	}
	return max(size, minSubset)
}

// adjustSubset adds the least loaded backends or drops the most loaded ones. It swaps at most one pair per tick.
func (a *Assigner) adjustSubset(p *proxy, backends []int, demand zoneDemand, tick bool) {
	load, swap := a.localLoad, tick
	for demand.subsetSize > 0 {
		s := a.examineSubset(p, backends)
		canAdd, canDrop := s.least >= 0, s.most >= 0
		switch {
		case canAdd && s.size < demand.subsetSize:
			p.subset[s.least] = true
			load[s.least] += demand.rate / max(s.weight, min(demand.subsetSize, minSubset)*a.expected[s.least])
		case canDrop && (s.size-a.slowStart[s.most] >= demand.subsetSize ||
			swap && canAdd && load[s.most] > swapRatio*load[s.least]+demand.rate/s.weight):
			p.subset[s.most], swap = false, false
			load[s.most] -= demand.rate / s.weight
		default:
			return
		}
	}
}

// setLoad extrapolates the local load to the proxies of other controllers.
func (a *Assigner) setLoad() {
	byZone := make([]float64, a.conf.Zones) // local proxies over an even share of all
	for _, p := range a.connected {
		byZone[p.zone] += float64(a.conf.Zones) / float64(max(a.conf.Proxies, 1))
	}
	for b, load := range a.localLoad {
		a.load[b] = load / max(a.localShare(), min(byZone[a.backends.zone[b]], 1), 1e-9)
		a.warmupShare[b] = unlimited
		if a.load[b] > 0 && a.slowStart[b] < 1 && a.throughput > 0 {
			a.warmupShare[b] = maxWarmupLoad * a.conf.WarmupOverload * a.throughput / a.load[b]
		}
	}
}

// planTable returns the table that a proxy should have for a group. The next call for the same group reuses its memory.
func (a *Assigner) planTable(p *proxy, g int) table {
	group := &a.groups[g]
	t := table{weight: append(group.planned.weight[:0], make([]float64, len(a.backends.zone))...)}
	t.admissions = group.planned.admissions[:0]
	a.planWeights(p, group, a.spillover[g][p.zone], t.weight)
	fraction := a.limitWarmup(t.weight)
	// Only attempts that were provably not executed are retried, so that no txn takes effect twice, and only while
	// responses are fast, because retries amplify an overload.
	retries := ifElse(a.responsesFast && !p.noRetries, RetryUnexecuted, NoRetry)
	for _, k := range group.products {
		admission := Admission{RateLimit: a.rateLimitFor(p, k, fraction), Retries: retries, Products: 1 << k}
		t.admissions = append(t.admissions, admission)
	}
	group.planned = t
	return t
}

// planWeights sets the weights of a proxy's table. Backends of its own zone keep their effective weights.
func (a *Assigner) planWeights(p *proxy, group *group, spillover, weight []float64) {
	byZone, stranded, restricted := make([]float64, a.conf.Zones), true, false
	isOpen := func(b int) bool { return group.open[b] && (!group.class.OwnZone || a.backends.zone[b] == p.zone) }
	for b, zone := range a.backends.zone {
		if isOpen(b) {
			restricted = restricted || p.mayUse(b)
			if p.subset[b] && spillover[zone] > 0 {
				byZone[zone], stranded = byZone[zone]+a.effective[b], false
			}
		}
	}
	home := ifElse(byZone[p.zone] > 0, byZone[p.zone]/spillover[p.zone], 1)
	for b, zone := range a.backends.zone {
		switch {
		case !isOpen(b) || restricted && !p.mayUse(b):
		case stranded:
			weight[b] = a.effective[b] // any open backend: no proxy is left without one
		case p.subset[b] && spillover[zone] > 0:
			weight[b] = a.effective[b] / byZone[zone] * spillover[zone] * home
		}
	}
}

// limitWarmup protects backends in slow start from more traffic than they can serve, and returns the fraction of its
// traffic that the proxy may admit. Warm backends take over the excess, up to a multiple of their share that shrinks
// with failures. Weights alone do not help if a whole zone restarts.
func (a *Assigner) limitWarmup(weight []float64) (fraction float64) {
	fraction = unlimited
	inSlowStart, bearable, warm := 0.0, 0.0, 0.0
	for b, w := range weight {
		if w > 0 && a.warmupShare[b] < unlimited {
			fraction = min(fraction, a.warmupShare[b])
			inSlowStart, bearable = inSlowStart+w, bearable+w*min(a.warmupShare[b], 1)
		} else {
			warm += w
		}
	}
	extra := min(inSlowStart+warm-bearable, maxWarmExtra*warm*(1-a.failureRisk))
	if fraction >= 1 || extra <= warm {
		return fraction
	}
	for b, w := range weight {
		if w > 0 && a.warmupShare[b] < unlimited {
			weight[b] = w * min(a.warmupShare[b], 1) * warm / extra
		}
	}
	return (bearable + extra) / (inSlowStart + warm)
}

// rateLimitFor returns the rate limit of a product at a proxy, given the fraction from limitWarmup. A proxy that has
// not reported yet is limited to its assumed rate: after a restart clients may be retrying.
func (a *Assigner) rateLimitFor(p *proxy, k int, fraction float64) float64 {
	rate, limit := p.rate[k], ifElse(a.totalLimit > 0 && !a.uncapped[k], p.limit[k], unlimited)
	// A limit equal to a rate of about one txn/s would reject half of the random arrivals.
	limit = max(limit, min(limit+poissonMargin, poissonLimit(min(limit, admitFraction*rate), rate)))
	if p.maxRate > 0 && p.totalRate() > p.maxRate { // see ProxyRestricted.MaxRate
		limit = min(limit, p.maxRate*rate/p.totalRate())
	}
	switch {
	case a.conf.Limits == LimitNone:
		return unlimited
	case a.conf.Limits == LimitShare:
		return min(1, fraction, limit/max(rate, minLimit))
	case fraction < 1:
		return min(limit, ifElse(a.rareReports, poissonLimit(rate*fraction, rate), rate*fraction))
	case !p.hasReported:
		return min(limit, max(poissonLimit(admitFraction*p.totalRate(), p.totalRate()), minLimit))
	case fraction < unlimited: // clients may demand far more than was reported
		upper := ifElse(a.rareReports, a.rateUpperBound(rate), rate)
		admit := ifElse(a.rareReports, warmupAdmitFraction, admitFraction)
		return min(limit, max(rate*fraction, poissonLimit(admit*upper, upper)))
	}
	return limit
}
