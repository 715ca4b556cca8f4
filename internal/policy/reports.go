package policy

import (
	"cmp"
	"math"
)

func (a *Assigner) onList(e ListUpdate) {
	if e.Kind == ListFailed {
		a.needsFollow = a.conf.ListOnRequest
		return
	}
	a.urgent = true
	listed := map[int]bool{} // by backend that is named: it is not gone
	for _, entry := range e.Entries {
		listed[entry.Backend] = entry.Status != Gone
		a.onEntry(entry)
	}
	backends := &a.backends
	for b, status := range backends.status {
		isListed, isNamed := listed[b]
		isMissing := !isListed && (isNamed || e.Kind != ListChange)
		// Where removal alone does not bind, a backend that is dropped from the list stays in use until attempts
		// there fail too: lists that drop running backends and backends that die unseen look alike.
		switch {
		case isMissing && (a.conf.HonorRemovals || status != Ready):
			backends.status[b], backends.goneAt[b] = Gone, either(status == Gone, backends.goneAt[b], a.now)
		case isMissing:
			backends.unlisted[b] = true
		}
	}
}

func (a *Assigner) onEntry(e Entry) {
	backends, b := &a.backends, e.Backend
	a.ensureBackend(b + 1)
	if e.Status != Gone {
		backends.zone[b], backends.kind[b] = a.clampZone(e.Zone), e.Kind
		backends.weight[b], backends.status[b], backends.unlisted[b] = cmp.Or(e.Weight, 1), e.Status, false
	}
	// A restart, also of one that still stands in tables: slow start begins, and its earlier reports no longer hold.
	if e.Status == Ready && e.StartedAt > 0 && e.StartedAt > backends.startedAt[b] {
		backends.startedAt[b], backends.derating[b] = e.StartedAt, 1
		backends.attempts[b], backends.failed[b], backends.succeeded[b], backends.latencySum[b] = 0, 0, 0, 0
	}
}

// onRestored takes figures of an earlier start for what they are worth at their age: use as long as that of a stream
// that broke, the total limit while timeouts of its time may still be reported, derating in part below full
// confidence, as a wrong one ends by itself, the throughput always, as it is the best there was.
func (a *Assigner) onRestored(e RestoredEstimate) {
	at := a.now - e.Age
	switch {
	case e.Kind == EstimateUsage && e.Age < useTimeout:
		if p := a.proxyAt(e.Proxy); e.Product < len(p.use) && !p.reported[e.Product] {
			p.use[e.Product], p.reportedAt[e.Product] = e.Value, at
			p.disconnectedAt = max(p.disconnectedAt, at)
		}
	case e.Kind == EstimateDerating && e.Backend < len(a.backends.zone) && a.backends.reportedAt[e.Backend] == never:
		reduction := min(e.Confidence/fullConfidence, 1) * (1 - min(e.Value, 1))
		a.backends.derating[e.Backend] = max(minDerating, 1-reduction)
	case e.Kind == EstimateTotalLimit && e.Age < reduceInterval, e.Kind == EstimateKnee, e.Kind == EstimateThroughput:
		a.restored[e.Kind], a.restoredAt = e.Value, at
	}
}

// evaluate looks at what was reported since the last tick: which backends are slow or failing, and whether all are.
func (a *Assigner) evaluate() {
	// While reports are rare all that was reported counts, as far as it is relied on: otherwise the own zone would be
	// taken for the fleet.
	s, sla := a.collectSamples(), a.meanSLA()
	a.medianFailed, a.medianLatency = median(s.allFailed, a.rareReports), median(s.allNext, a.rareReports)
	a.failureRisk = max(a.medianFailed, median(s.caution, a.rareReports))
	if a.spanCount > 0 {
		a.reportSpan, a.spanSum, a.spanCount = a.spanSum/a.spanCount, 0, 0
	}
	typical, anyUpdated := median(s.allLatency, a.rareReports), false
	for b, updated := range a.backends.updated {
		if updated {
			a.evaluateBackend(b, s, typical, sla)
			anyUpdated = true
		}
	}
	_, relied, _ := a.capacityOf(a.ready)
	if anyUpdated && (!a.rareReports || s.strength >= minReported*relied) {
		isSlow := a.medianLatency == 0 || a.medianLatency > slowSLA*sla
		a.overloaded = a.medianLatency > overloadLatency*sla || a.medianFailed > overloadFailures && isSlow
		a.fast = a.medianLatency > 0 && !a.overloaded
	}
	a.evaluatedAt, a.rareReports = a.now, median(s.intervals, true) > rareInterval
	isRemoteFresh := a.remoteUsage != nil && a.now < a.remoteUsageAt+useTimeout
	a.trust = min(max(a.trust+either(isRemoteFresh, 1.0, -1)/smoothingTicks, 0), 1)
	a.updateWeights()
}

// evaluateBackend derates a backend that is far slower than the others and near the SLA time, or fails more, and lets
// others recover. Slow machines, other programs on them, wrong listed weights and hangs all look like that.
func (a *Assigner) evaluateBackend(b int, s samples, typical, sla float64) {
	backends := &a.backends
	if backends.unlisted[b] && s.failed[b] > a.medianFailed+deadMargin {
		backends.status[b] = Gone
	}
	isBad := s.latency[b] > max(slowRatio*typical, slowSLA*sla) || s.failed[b] > a.medianFailed+failingMargin
	// What is reported by all is known to all controllers: each acts in turn, and once it can see what that did.
	isShared := a.now < backends.remoteAt[b]+useTimeout
	interval := either(isShared, deratingInterval+a.lag(b), Second)
	isTurn := !isShared || a.isTurn(b, interval)
	switch {
	case isBad && isTurn && (isShared || a.now >= backends.deratedAt[b]+deratingInterval):
		steps := min(max(backends.reportGap[b]*float64(Second)/float64(deratingInterval), 1), maxDeratingSteps)
		backends.derating[b] = max(minDerating, backends.derating[b]*math.Pow(deratingStep, steps))
		backends.deratedAt[b] = a.now
	case !isBad && isTurn && s.latency[b] <= recoveryRatio*typical:
		steps := min(backends.reportGap[b]*float64(interval)/float64(Second), maxRecoverySteps)
		backends.derating[b] = min(1, backends.derating[b]*math.Pow(recoveryStep, steps))
	}
	a.decay(b, backends.attempts[b]-backends.evaluated[b], 1)
	backends.inFlight[b], backends.updated[b] = 0, false
}
