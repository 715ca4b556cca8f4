package policy

import (
	"cmp"
	"slices"
)

// setTotalLimit bounds the total of all levels under overload and lets go of it afterwards.
func (a *Assigner) setTotalLimit() {
	all, served, heard, late := 0.0, 0.0, 0, a.medianLatency/a.meanSLA()
	for _, p := range a.connected {
		heard += either(p.hasReported, 1, 0)
		for k, u := range p.use {
			if a.now > p.reportedAt[k]+useTimeout { // what came to nothing, or fell silent, is not reported
				p.use[k], p.failed[k] = u*useDecay, p.failed[k]*useDecay
			}
			all, served = all+u, served+max(a.admitted(p, k)-p.failed[k], 0)
		}
	}
	// Backends that come or go change the total from outside, in step with their listed weight, and so do
	// proxies that join elsewhere. Guards a controller that starts over: what its first few bring is no total.
	if _, _, able := a.capacityOf(a.ready); able > 0 && len(a.connected) > 0 {
		able *= a.connectedShare()
		if a.capacity > 0 {
			a.totalLimit, a.knee, a.served = a.totalLimit*able/a.capacity, a.knee*able/a.capacity, a.served*able/a.capacity
		} else if a.restored[FigureTotalLimit] > 0 {
			a.totalLimit, a.knee = a.restored[FigureTotalLimit]*able, max(a.restored[FigureTotalLimit], a.restored[FigureKnee])*able
			a.reducedAt, a.raisedAt = a.restoredAt, a.now
		}
		// While most are not heard of yet, what they are said to get is all there is: neither goes on from it.
		if a.capacity = able; 2*heard < len(a.connected) {
			a.served, a.throughput = served, cmp.Or(a.restored[FigureThroughput], served/able)
		}
		a.served = cmp.Or(a.served, served)
		a.served += (served - a.served) / smoothingTicks
		a.throughput = max(a.throughput, either(a.fast, min(a.served, served)/able, 0))
	}
	// Reports that stand for long say nothing yet of what a cut did, nor of what was served before it: another cut
	// waits for that long, the knee is the best that was, and the total goes back to it without being told.
	sparse := a.reportSpan > longSpan
	again := reduceInterval + Time(either(sparse, a.reportSpan, 0)*float64(Second))
	best := max(a.served, either(sparse, a.throughput*a.capacity, 0))
	// Else a third is declined for long after what was no overload, and callers ask again and again.
	rise := either(late < quickLatency*overloadLatency, either(late < fastLatency*overloadLatency, fastRaiseInterval, quickRaiseInterval), raiseInterval)
	switch {
	case a.conf.Limits == LimitNone || all <= 0:
	case a.overloaded && (a.totalLimit == 0 || a.now-a.reducedAt >= again):
		if a.totalLimit == 0 {
			a.knee = best / kneeStep
			a.log("total bounded: demand %.0f/s, served %.0f/s, answers take %.2f SLA times, median voids %.0f%%",
				all, a.served, late, 100*a.medianFailed)
		}
		a.knee = max(a.knee*kneeStep, minLimit)
		a.totalLimit, a.reducedAt, a.raisedAt = a.knee*either(late > 1, reduceLateTo, reduceTo), a.now, a.now
	case a.totalLimit > 0 && a.totalLimit < a.knee && (a.fast || sparse && a.now-a.reducedAt >= reduceTimeout):
		a.totalLimit, a.raisedAt = a.knee, a.now
	case a.totalLimit > 0 && !a.overloaded && a.now-a.raisedAt >= rise:
		a.totalLimit, a.raisedAt = a.totalLimit*raiseFactor, a.now
		a.knee = max(a.knee, a.totalLimit)
		if a.totalLimit > releaseRatio*all {
			a.log("total unbounded: %.0f/s is over demand %.0f/s by half", a.totalLimit, all)
			a.totalLimit = 0
		}
	}
}

// setLimits splits the total: among the products, the most revenue first, and then by max-rate sharing among
// the proxies, each product like a subscription of the source.
func (a *Assigner) setLimits() {
	in, left, byRev := a.connected, a.totalLimit, make([]int, len(a.conf.Products))
	for k := range byRev {
		byRev[k] = k
	}
	slices.SortStableFunc(byRev, func(j, k int) int {
		p, q := a.conf.Products[j], a.conf.Products[k]
		return cmp.Or(cmp.Compare(q.Revenue, p.Revenue), cmp.Compare(p.SLA, q.SLA))
	})
	for _, k := range byRev {
		d := a.demand(k)
		part := releaseRatio * d
		if a.totalLimit > 0 {
			part = min(left, d*(1+idleMargin))
			left -= min(part, d)
		}
		a.uncapped[k] = part >= d
		for i := 0; a.resetLimits && i < len(in); i++ {
			in[i].limit[k] = 0
		}
		shareRate(in, k, part)
	}
	a.resetLimits = false
}

// shareRate is max-rate sharing: levels sum to total, idle proxies give what they do not use, busy ones are
// evened out and get what is free, silent ones keep theirs. Where the total is under the floors of all, the
// floor gives way: the source's bug made such levels negative.
func shareRate(in []*proxy, k int, total float64) {
	n, sum, busy, held, freed, above := float64(len(in)), 0.0, 0.0, 0.0, 0.0, 0.0
	floor, isBusy := min(minLimit, total/n), make([]bool, len(in))
	for _, p := range in {
		sum += p.limit[k]
	}
	for i, p := range in {
		if p.limit[k] *= total / sum; sum <= 0 { // a change of our own total scales all levels
			p.limit[k] = total / n
		}
		if isBusy[i] = p.hasReported && p.use[k] > busyThreshold*p.limit[k]; isBusy[i] {
			busy, held = busy+1, held+p.limit[k]
		}
	}
	for i, p := range in {
		l := p.limit[k]
		if isBusy[i] {
			p.limit[k] = min(l, held/busy)
		} else if busy > 0 && p.hasReported {
			p.limit[k] = min(l, max(p.use[k]*(1+idleMargin), floor))
		}
		freed += l - p.limit[k]
	}
	for i, p := range in {
		p.limit[k] = max(p.limit[k]+either(isBusy[i], freed/busy, 0)-floor, 0)
		above += p.limit[k]
	}
	for _, p := range in {
		p.limit[k] = p.limit[k]*either(above > 0, (total-n*floor)/above, 1) + floor
	}
}
