package policy

import (
	"cmp"
	"slices"
)

// setTotalLimit limits the total admitted rate during overload, and lifts the limit afterwards.
func (a *Assigner) setTotalLimit() {
	latency := a.medianLatency / a.meanSLA()
	demand, served, reporting := a.sumRates()
	a.rescale(served, reporting)
	if a.conf.Limits == LimitNone || demand <= 0 {
		return
	}
	// Reports that cover a long span lag behind. A further reduction then waits for the span of one report, the knee is
	// the best known throughput, and the total returns to the knee without new reports.
	sparse := a.reportSpan > sparseReportSpan
	pause := reduceInterval + Time(ifElse(sparse, a.reportSpan, 0)*float64(Second))
	switch {
	case a.overloaded && (a.totalLimit == 0 || a.now-a.reducedAt >= pause):
		if a.totalLimit == 0 {
			a.knee = max(a.served, ifElse(sparse, a.throughput*a.capacity, 0)) / kneeStep
			a.logf("total bounded: demand %.0f/s, served %.0f/s, answers take %.2f SLA times, median voids %.0f%%",
				demand, a.served, latency, 100*a.medianFailed)
		}
		a.knee = max(a.knee*kneeStep, minLimit)
		a.totalLimit, a.reducedAt, a.raisedAt = a.knee*ifElse(latency > 1, reduceToWhenLate, reduceTo), a.now, a.now
	case a.totalLimit > 0 && a.totalLimit < a.knee && (a.responsesFast || sparse && a.now-a.reducedAt >= reduceTimeout):
		a.totalLimit, a.raisedAt = a.knee, a.now
	case a.totalLimit > 0 && !a.overloaded && a.now-a.raisedAt >= raisePause(latency):
		a.raiseTotalLimit(demand)
	}
}

// raiseTotalLimit raises the limit by a step, and removes it once it is far above the demand.
func (a *Assigner) raiseTotalLimit(demand float64) {
	a.totalLimit, a.raisedAt = a.totalLimit*raiseFactor, a.now
	a.knee = max(a.knee, a.totalLimit)
	if a.totalLimit > releaseRatio*demand {
		a.logf("total unbounded: %.0f/s is over demand %.0f/s by half", a.totalLimit, demand)
		a.totalLimit = 0
	}
}

// raisePause returns the delay before the next raise. It is shorter at low latency, so that a brief overload does not
// cause long rejection and client retries. Latency is relative to the SLA.
func raisePause(latency float64) Time {
	switch {
	case latency < fastLatency*overloadLatency:
		return fastRaiseInterval
	case latency < quickLatency*overloadLatency:
		return quickRaiseInterval
	}
	return raiseInterval
}

// rescale keeps the total limit proportional to the ready capacity and to the share of proxies connected here. It does
// not treat the first few proxies of a new controller as the whole fleet.
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
	// While most proxies have not reported, rates are assumptions and are not averaged into either estimate.
	if 2*reporting < len(a.connected) {
		a.served, a.throughput = served, cmp.Or(a.restored[EstimateThroughput], served/capacity)
	}
	a.served = cmp.Or(a.served, served)
	a.served += (served - a.served) / smoothingTicks
	a.throughput = max(a.throughput, ifElse(a.responsesFast, min(a.served, served)/capacity, 0))
}

// setLimits divides the total limit among the products, highest revenue first, and each product's share among the
// proxies by max-rate sharing.
func (a *Assigner) setLimits() {
	left := a.totalLimit
	for _, k := range a.productsByRevenue() {
		demand := a.demand(k)
		share := releaseRatio * demand
		if a.totalLimit > 0 {
			share = min(left, demand*(1+idleMargin))
			left -= min(share, demand)
		}
		a.uncapped[k] = share >= demand
		for i := 0; a.resetLimits && i < len(a.connected); i++ {
			a.connected[i].limit[k] = 0
		}
		shareRate(a.connected, k, share)
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

// shareRate implements max-rate sharing: limits sum to total, idle proxies give up what they do not need, busy proxies
// are evened out and receive it, and proxies that have not reported keep their limits. The floor shrinks if the total
// is below the sum of all floors: a bug of the published implementation made such limits negative.
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
		if isBusy[i] = p.hasReported && p.rate[k] > busyThreshold*p.limit[k]; isBusy[i] {
			busy, busySum = busy+1, busySum+p.limit[k]
		}
	}
	for i, p := range proxies {
		before := p.limit[k]
		if isBusy[i] {
			p.limit[k] = min(before, busySum/busy)
		} else if busy > 0 && p.hasReported {
			p.limit[k] = min(before, max(p.rate[k]*(1+idleMargin), floor))
		}
		freed += before - p.limit[k]
	}
	for i, p := range proxies {
		p.limit[k] = max(p.limit[k]+ifElse(isBusy[i], freed/busy, 0)-floor, 0)
		above += p.limit[k]
	}
	for _, p := range proxies {
		p.limit[k] = p.limit[k]*ifElse(above > 0, (total-n*floor)/above, 1) + floor
	}
}
