package policy

import (
	"cmp"
	"math"
)

func (a *Assigner) onList(e ListUpdate) {
	be := &a.backends
	if e.Kind == ListFailed {
		a.needsFollow = a.conf.PullsList
		return
	}
	a.urgent = true
	seen := map[int]bool{} // by backend named: it is not gone
	for _, en := range e.Entries {
		b := en.Backend
		a.ensureBackend(b + 1)
		if seen[b] = en.Status != Gone; seen[b] {
			be.zone[b], be.kind[b], be.weight[b] = a.clampZone(en.Zone), en.Kind, cmp.Or(en.Weight, 1)
			be.status[b], be.unlisted[b] = en.Status, false
		}
		// A new start, also of one that still stands in tables: it is cold, and what was heard of it holds no longer.
		if en.Status == Ready && en.StartedAt > 0 && en.StartedAt > be.startedAt[b] {
			be.startedAt[b], be.derating[b] = en.StartedAt, 1
			be.attempts[b], be.failed[b], be.succeeded[b], be.latencySum[b] = 0, 0, 0, 0
		}
	}
	for b, s := range be.status {
		listed, named := seen[b]
		// Where gone alone does not bind, a backend merely dropped from the list stays in use until tries there
		// fail too: lists that drop running backends and backends that die unseen look alike.
		if missing := !listed && (named || e.Kind != ListChange); missing && (a.conf.RemovalBinds || s != Ready) {
			be.status[b], be.goneAt[b] = Gone, either(s == Gone, be.goneAt[b], a.now)
		} else if missing {
			be.unlisted[b] = true
		}
	}
}

func (a *Assigner) onUsage(e UsageReport) {
	p, s, k := a.proxyAt(e.Proxy), float64(e.Period)/float64(Second), e.Product
	if k >= len(p.use) || s <= 0 {
		return
	}
	keep := math.Pow(useDecay, max(s, 0.2)*min(max(p.use[k]/largeUse, minDecayRate), 1))
	if !p.reported[k] || p.use[k] == 0 {
		keep = 0 // the rate it was said to get gives way to what it gets, by product
	}
	p.hasReported, p.reported[k], p.reportedAt[k], a.spanSum, a.spanCount = true, true, a.now, a.spanSum+s, a.spanCount+1
	p.use[k] = p.use[k]*keep + max(e.Txns, 0)/s*(1-keep)
	p.failed[k] = p.failed[k]*keep + e.Failed/s*(1-keep)
}

// onRestored takes what was known before for what it is worth at its age: use as long as a stream that breaks is
// remembered, a total while time-outs of its time may still be heard of, relief in part once half is doubted: one that
// is wrong goes by itself. Of pace all, it is the best there was.
func (a *Assigner) onRestored(e RestoredFigure) {
	was := a.now - e.Age
	switch {
	case e.Figure == FigureUse && e.Age < useTimeout:
		if p := a.proxyAt(e.Proxy); e.Product < len(p.use) && !p.reported[e.Product] {
			p.use[e.Product], p.reportedAt[e.Product], p.disconnectedAt = e.Value, was, max(p.disconnectedAt, was)
		}
	case e.Figure == FigureDerating && e.Backend < len(a.backends.zone) && a.backends.reportedAt[e.Backend] == never:
		a.backends.derating[e.Backend] = max(minDerating, 1-min(e.Confidence/fullConfidence, 1)*(1-min(e.Value, 1)))
	case e.Figure == FigureTotalLimit && e.Age < reduceInterval, e.Figure == FigureKnee, e.Figure == FigureThroughput:
		a.restored[e.Figure], a.restoredAt = e.Value, was
	}
}

// evaluate looks at what was heard since the last tick: who is hot, and whether all are.
func (a *Assigner) evaluate() {
	// Where news are rare all that was heard counts, as far as it is relied on: else the own zone is taken for the fleet.
	be, sla, news, v := &a.backends, a.meanSLA(), false, a.collectSamples()
	fails, took, mid := v.failed, v.latency, median(v.allLatency, a.rareReports)
	a.medianFailed, a.medianLatency = median(v.allFailed, a.rareReports), median(v.allNext, a.rareReports)
	a.failureRisk = max(a.medianFailed, median(v.caution, a.rareReports))
	if a.spanCount > 0 {
		a.reportSpan, a.spanSum, a.spanCount = a.spanSum/a.spanCount, 0, 0
	}
	for b := range be.zone {
		if !be.updated[b] {
			continue
		}
		// Hot: far slower than the others and near the SLA time, or voiding more. Answers slow machines, other
		// programs on them, wrong listed weights, hangs. It hurts when the slow ones are needed all the same.
		if be.unlisted[b] && fails[b] > a.medianFailed+deadMargin {
			be.status[b] = Gone
		}
		hot := took[b] > max(slowRatio*mid, slowSLA*sla) || fails[b] > a.medianFailed+failingMargin
		told := a.now < be.remoteAt[b]+useTimeout // to all: each moves in turn, and once it can hear what that did
		span := either(told, deratingInterval+a.lag(b), Second)
		turn := !told || a.isTurn(b, span)
		switch {
		case hot && turn && (told || a.now >= be.deratedAt[b]+deratingInterval): // what is seldom heard of takes several at once
			steps := min(max(be.reportGap[b]*float64(Second)/float64(deratingInterval), 1), maxDeratingSteps)
			be.derating[b], be.deratedAt[b] = max(minDerating, be.derating[b]*math.Pow(deratingStep, steps)), a.now
		case !hot && turn && took[b] <= recoveryRatio*mid:
			steps := min(be.reportGap[b]*float64(span)/float64(Second), maxRecoverySteps)
			be.derating[b] = min(1, be.derating[b]*math.Pow(recoveryStep, steps))
		}
		a.decay(b, be.attempts[b]-be.evaluated[b], 1)
		news, be.inFlight[b], be.updated[b] = true, 0, false
	}
	if _, relied, _ := a.capacityOf(a.ready); news && (!a.rareReports || v.strength >= minReported*relied) {
		a.overloaded = a.medianLatency > overloadLatency*sla || a.medianFailed > overloadFailures && (a.medianLatency == 0 || a.medianLatency > slowSLA*sla)
		a.fast = a.medianLatency > 0 && !a.overloaded
	}
	a.evaluatedAt, a.rareReports = a.now, median(v.intervals, true) > rareInterval
	a.trust = min(max(a.trust+either(a.remoteUsage != nil && a.now < a.remoteUsageAt+useTimeout, 1.0, -1)/smoothingTicks, 0), 1)
	a.updateWeights()
}
