package policy

import (
	"math"
	"slices"
)

// slowStartFactor is the part of its weight that a backend may have now.
func (a *Assigner) slowStartFactor(b int) float64 {
	age := max(a.now-a.backends.startedAt[b], 0)
	sure := a.conf.WarmupCapacity + (1-a.conf.WarmupCapacity)*float64(age)/float64(max(a.conf.WarmupTime, 1))
	return min(1, max(slowStartBegin*math.Exp2(float64(min(age/slowStartDoubling, 10))), sure))
}

// effectiveWeight is what a backend counts for in tables: its listed weight, less in slow start or while derated.
func (a *Assigner) effectiveWeight(b int) float64 {
	return a.backends.weight[b] * a.slowStartFactor(b) * a.backends.derating[b]
}

// expectedWeight is its weight for the load of others: proxies avoid what fails, but not what is in slow start.
func (a *Assigner) expectedWeight(b int) float64 {
	return a.effectiveWeight(b) * either(a.slowStartFactor(b) < 1, 1, 1-a.failureRisk)
}

// isOpen reports whether products of a class may go from some zone to a backend now.
func (a *Assigner) isOpen(class Product, b int) bool {
	zone, kind := a.backends.zone[b], a.backends.kind[b]
	return a.backends.status[b] == Ready && (class.OnlyZones == nil || slices.Contains(class.OnlyZones, zone)) &&
		(class.OnlyKinds == nil || slices.Contains(class.OnlyKinds, kind))
}

// want is what a proxy wants of a zone's backends: its use, and how many backends for it.
type want struct{ use, size float64 }

// setSubsets keeps for each proxy a steady subset of each zone's backends, where lines to all would fill the backends
// with connections. The least loaded is added, the most loaded dropped, one changed a tick. Between ticks only proxies
// that lack a usable backend are given more, on top of the load that the tick left.
func (a *Assigner) setSubsets(tick bool) {
	proxies := a.connected
	a.localLoad = append(a.localLoad, make([]float64, len(a.backends.zone)-len(a.localLoad))...)
	if tick {
		clear(a.localLoad)
	} else {
		proxies = a.strandedProxies()
	}
	size := a.subsetSize()
	// Those on tables that they brought get few lines while there are many: each is two, with its withdrawal.
	few := min(size, max(minSubset, queueSeconds*a.linesPerSecondEach()/2/float64(len(a.groups))))
	wants := make([]want, len(proxies))
	for zone, backends := range a.byZone {
		for i, p := range proxies {
			wants[i] = a.wantOf(p, zone, either(p.onForeignTables(), few, size))
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

// subsetSize is how many backends a proxy uses, weighed by zone.
func (a *Assigner) subsetSize() (size float64) {
	if a.conf.MinConns == 0 {
		return math.Inf(1)
	}
	for _, ready := range a.ready {
		size += either(ready, connShare*a.conf.MinConns/float64(max(a.conf.Proxies, 1)), 0)
	}
	return max(size, minSubset)
}

// adjustSubset adds the least loaded backend until the subset is large enough, drops the most loaded while it is too
// large, and swaps one for the other once a tick.
func (a *Assigner) adjustSubset(p *proxy, backends []int, w want, tick bool) {
	load, swap := a.localLoad, tick
	for w.size > 0 {
		s := a.examineSubset(p, backends)
		canAdd, canDrop := s.least >= 0, s.most >= 0
		switch {
		case canAdd && s.size < w.size:
			p.subset[s.least] = true
			load[s.least] += w.use / max(s.weight, min(w.size, minSubset)*a.expected[s.least])
		case canDrop && (s.size-a.slowStart[s.most] >= w.size ||
			swap && canAdd && load[s.most] > swapRatio*load[s.least]+w.use/s.weight):
			p.subset[s.most], swap = false, false
			load[s.most] -= w.use / s.weight
		default:
			return
		}
	}
}

// setLoad takes the load as if proxies that are connected elsewhere chose alike.
func (a *Assigner) setLoad() {
	byZone := make([]float64, a.conf.Zones) // proxies here, over an even part of all
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

// planTable is the table that a proxy should have for a group, valid until the next one of that group.
func (a *Assigner) planTable(p *proxy, g int) table {
	group := &a.groups[g]
	t := table{weight: append(group.planned.weight[:0], make([]float64, len(a.backends.zone))...)}
	t.admissions = group.planned.admissions[:0]
	a.planWeights(p, group, a.spillover[g][p.zone], t.weight)
	part := a.limitWarmup(t.weight)
	// Retries only after proof that the first attempt was not executed, which takes effect once for any product, and
	// only while responses are fast: after any failure, or between full backends, they feed an overload.
	retries := either(a.fast && !p.noRetries, RetryUnexecuted, NoRetry)
	for _, k := range group.products {
		admission := Admission{RateLimit: a.rateLimitFor(p, k, part), Retries: retries, Products: 1 << k}
		t.admissions = append(t.admissions, admission)
	}
	group.planned = t
	return t
}

// planWeights weighs the backends for a proxy; those of its own zone keep their effective weights.
func (a *Assigner) planWeights(p *proxy, group *group, spillover, weight []float64) {
	byZone, stranded, confined := make([]float64, a.conf.Zones), true, false
	isOpen := func(b int) bool { return group.open[b] && (!group.class.OwnZone || a.backends.zone[b] == p.zone) }
	for b, zone := range a.backends.zone {
		if isOpen(b) {
			confined = confined || p.mayUse(b)
			if p.subset[b] && spillover[zone] > 0 {
				byZone[zone], stranded = byZone[zone]+a.effective[b], false
			}
		}
	}
	home := either(byZone[p.zone] > 0, byZone[p.zone]/spillover[p.zone], 1)
	for b, zone := range a.backends.zone {
		switch {
		case !isOpen(b) || confined && !p.mayUse(b):
		case stranded:
			weight[b] = a.effective[b] // wherever it is: no proxy is left without a backend, confined or not
		case p.subset[b] && spillover[zone] > 0:
			weight[b] = a.effective[b] / byZone[zone] * spillover[zone] * home
		}
	}
}

// limitWarmup is the part of its traffic that a proxy admits so that backends in slow start get what they can bear of
// what all proxies here demand of them: where a zone or a fleet comes back at once, slow start alone does nothing. Warm
// backends take over what those cannot, up to a multiple of their part, less while attempts elsewhere fail.
func (a *Assigner) limitWarmup(weight []float64) (part float64) {
	part = unlimited
	inSlowStart, bearable, warm := 0.0, 0.0, 0.0
	for b, w := range weight {
		if w > 0 && a.warmupShare[b] < unlimited {
			part = min(part, a.warmupShare[b])
			inSlowStart, bearable = inSlowStart+w, bearable+w*min(a.warmupShare[b], 1)
		} else {
			warm += w
		}
	}
	extra := min(inSlowStart+warm-bearable, maxWarmExtra*warm*(1-a.failureRisk))
	if part >= 1 || extra <= warm {
		return part
	}
	for b, w := range weight {
		if w > 0 && a.warmupShare[b] < unlimited {
			weight[b] = w * min(a.warmupShare[b], 1) * warm / extra
		}
	}
	return (bearable + extra) / (inSlowStart + warm)
}

// rateLimitFor is the limit to order; none while limits cover the demand. A proxy that has not reported yet starts with
// the use that it is assumed to have, by chance: after a restart callers may be retrying.
func (a *Assigner) rateLimitFor(p *proxy, k int, part float64) float64 {
	use, limit := p.use[k], either(a.totalLimit > 0 && !a.uncapped[k], p.limit[k], unlimited)
	// A limit equal to a use of about a txn a second would decline half of it.
	limit = max(limit, min(limit+chanceMargin, admitCap(min(limit, admitPart*use), use)))
	if p.maxRate > 0 && p.totalUse() > p.maxRate { // a confined proxy that demands too much declines its own
		limit = min(limit, p.maxRate*use/p.totalUse())
	}
	switch {
	case a.conf.Limits == LimitNone:
		return unlimited
	case a.conf.Limits == LimitShare:
		return min(1, part, limit/max(use, minLimit))
	case part < 1:
		return min(limit, either(a.rareReports, admitCap(use*part, use), use*part))
	case !p.hasReported:
		return min(limit, max(admitCap(admitPart*p.totalUse(), p.totalUse()), minLimit))
	case part < unlimited: // callers may demand far more than was reported
		upper := either(a.rareReports, a.upperUse(use), use)
		return min(limit, max(use*part, admitCap(either(a.rareReports, warmupAdmitPart, admitPart)*upper, upper)))
	}
	return limit
}
