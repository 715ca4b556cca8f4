package policy

import (
	"cmp"
	"slices"
)

// setTotalLimit bounds the total of all rate limits under overload, and releases it afterwards.
func (a *Assigner) setTotalLimit() {
	late := a.medianLatency / a.meanSLA()
	demand, served, reporting := a.sumUse()
	a.rescale(served, reporting)
	if a.conf.Limits == LimitNone || demand <= 0 {
		return
	}
	// Reports that stand for long say nothing yet of what a reduction did, nor of what was served before it: the next
	// one waits for that long, the knee is the best that was, and the total returns to it without being told.
	sparse := a.reportSpan > longSpan
	pause := reduceInterval + Time(either(sparse, a.reportSpan, 0)*float64(Second))
	switch {
	case a.overloaded && (a.totalLimit == 0 || a.now-a.reducedAt >= pause):
		if a.totalLimit == 0 {
			a.knee = max(a.served, either(sparse, a.throughput*a.capacity, 0)) / kneeStep
			a.log("total bounded: demand %.0f/s, served %.0f/s, answers take %.2f SLA times, median voids %.0f%%",
				demand, a.served, late, 100*a.medianFailed)
		}
		a.knee = max(a.knee*kneeStep, minLimit)
		a.totalLimit, a.reducedAt, a.raisedAt = a.knee*either(late > 1, reduceLateTo, reduceTo), a.now, a.now
	case a.totalLimit > 0 && a.totalLimit < a.knee && (a.fast || sparse && a.now-a.reducedAt >= reduceTimeout):
		a.totalLimit, a.raisedAt = a.knee, a.now
	case a.totalLimit > 0 && !a.overloaded && a.now-a.raisedAt >= raisePause(late):
		a.raiseTotalLimit(demand)
	}
}

func (a *Assigner) raiseTotalLimit(demand float64) {
	a.totalLimit, a.raisedAt = a.totalLimit*raiseFactor, a.now
	a.knee = max(a.knee, a.totalLimit)
	if a.totalLimit > releaseRatio*demand {
		a.log("total unbounded: %.0f/s is over demand %.0f/s by half", a.totalLimit, demand)
		a.totalLimit = 0
	}
}

// raisePause is the time between raises. If it were always long, a third would be declined for long after what was no
// overload, and callers would retry.
func raisePause(late float64) Time {
	switch {
	case late < fastLatency*overloadLatency:
		return fastRaiseInterval
	case late < quickLatency*overloadLatency:
		return quickRaiseInterval
	}
	return raiseInterval
}

// rescale keeps the total limit in step with the weight of the ready backends and the part of the proxies that is
// connected here, which change it from outside. What the first few proxies of a controller that has just started bring
// is no total.
func (a *Assigner) rescale(served float64, reporting int) {
	_, _, capacity := a.capacityOf(a.ready)
	if capacity <= 0 || len(a.connected) == 0 {
		return
	}
	capacity *= a.connectedShare()
	if a.capacity > 0 {
		a.totalLimit = a.totalLimit * capacity / a.capacity
		a.knee, a.served = a.knee*capacity/a.capacity, a.served*capacity/a.capacity
	} else if restored := a.restored[EstimateTotalLimit]; restored > 0 {
		a.totalLimit, a.knee = restored*capacity, max(restored, a.restored[EstimateKnee])*capacity
		a.reducedAt, a.raisedAt = a.restoredAt, a.now
	}
	a.capacity = capacity
	// While most have not reported yet, what they are assumed to get is all there is: neither figure goes on from it.
	if 2*reporting < len(a.connected) {
		a.served, a.throughput = served, cmp.Or(a.restored[EstimateThroughput], served/capacity)
	}
	a.served = cmp.Or(a.served, served)
	a.served += (served - a.served) / smoothingTicks
	a.throughput = max(a.throughput, either(a.fast, min(a.served, served)/capacity, 0))
}

// setLimits shares the total out: among the products, those of the highest revenue first, and then by max-rate sharing
// among the proxies, each product like a subscription of the source.
func (a *Assigner) setLimits() {
	left := a.totalLimit
	for _, k := range a.productsByRevenue() {
		demand := a.demand(k)
		part := releaseRatio * demand
		if a.totalLimit > 0 {
			part = min(left, demand*(1+idleMargin))
			left -= min(part, demand)
		}
		a.uncapped[k] = part >= demand
		for i := 0; a.resetLimits && i < len(a.connected); i++ {
			a.connected[i].limit[k] = 0
		}
		shareRate(a.connected, k, part)
	}
	a.resetLimits = false
}

func (a *Assigner) productsByRevenue() []int {
	order := make([]int, len(a.conf.Products))
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(j, k int) int {
		p, q := a.conf.Products[j], a.conf.Products[k]
		return cmp.Or(cmp.Compare(q.Revenue, p.Revenue), cmp.Compare(p.SLA, q.SLA))
	})
	return order
}

// shareRate is max-rate sharing: limits sum to total, idle proxies give what they do not use, busy ones are evened out
// and get what is freed, silent ones keep theirs. Where the total is under the floors of all, the floor gives way: the
// source's bug made such limits negative.
func shareRate(proxies []*proxy, k int, total float64) {
	n, sum, busy, busySum, freed, above := float64(len(proxies)), 0.0, 0.0, 0.0, 0.0, 0.0
	floor, isBusy := min(minLimit, total/n), make([]bool, len(proxies))
	for _, p := range proxies {
		sum += p.limit[k]
	}
	for i, p := range proxies {
		p.limit[k] *= total / sum // a change of the total scales all limits
		if sum <= 0 {
			p.limit[k] = total / n
		}
		if isBusy[i] = p.hasReported && p.use[k] > busyThreshold*p.limit[k]; isBusy[i] {
			busy, busySum = busy+1, busySum+p.limit[k]
		}
	}
	for i, p := range proxies {
		before := p.limit[k]
		if isBusy[i] {
			p.limit[k] = min(before, busySum/busy)
		} else if busy > 0 && p.hasReported {
			p.limit[k] = min(before, max(p.use[k]*(1+idleMargin), floor))
		}
		freed += before - p.limit[k]
	}
	for i, p := range proxies {
		p.limit[k] = max(p.limit[k]+either(isBusy[i], freed/busy, 0)-floor, 0)
		above += p.limit[k]
	}
	for _, p := range proxies {
		p.limit[k] = p.limit[k]*either(above > 0, (total-n*floor)/above, 1) + floor
	}
}
