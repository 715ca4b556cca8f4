package policy

import (
	"cmp"
	"math"
)

func (a *Assigner) onList(e ListUpdate) {
	if e.Kind == ListFailed {
		a.needsWatch = a.conf.ListOnRequest
		return
	}
	a.urgent = true
	listed := map[int]bool{} // by backend in the update: false if it is gone
	for _, entry := range e.Entries {
		listed[entry.Backend] = entry.Status != Gone
		a.onEntry(entry)
	}
	backends := &a.backends
	for b, status := range backends.status {
		isListed, isNamed := listed[b]
		isMissing := !isListed && (isNamed || e.Kind != ListChange)
		// Without HonorRemovals a backend that is dropped from the list stays in use until attempts fail too, because a
		// faulty list and a crash look alike.
		switch {
		case isMissing && (a.conf.HonorRemovals || status != Ready):
			backends.status[b], backends.goneAt[b] = Gone, ifElse(status == Gone, backends.goneAt[b], a.now)
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
	// After a restart slow start begins anew, and earlier reports no longer apply.
	if e.Status == Ready && e.StartedAt > 0 && e.StartedAt > backends.startedAt[b] {
		backends.startedAt[b], backends.derating[b] = e.StartedAt, 1
		backends.attempts[b], backends.failed[b], backends.succeeded[b], backends.latencySum[b] = 0, 0, 0, 0
	}
}

// onRestored applies estimates from before a restart, depending on their age: rates as long as those of a disconnected
// proxy, the total limit while old timeouts may still be reported, the knee and the throughput at any age, because the
// throughput is the highest there was. Deratings are scaled by confidence: a wrong one recovers by itself.
func (a *Assigner) onRestored(e RestoredEstimate) {
	at := a.now - e.Age
	switch {
	case e.Kind == EstimateUsage && e.Age < rateTimeout:
		if p := a.proxyAt(e.Proxy); e.Product < len(p.rate) && !p.reported[e.Product] {
			p.rate[e.Product], p.reportedAt[e.Product] = e.Value, at
			p.disconnectedAt = max(p.disconnectedAt, at)
		}
	case e.Kind == EstimateDerating && e.Backend < len(a.backends.zone) && a.backends.reportedAt[e.Backend] == never:
		reduction := min(e.Confidence/fullConfidence, 1) * (1 - min(e.Value, 1))
		a.backends.derating[e.Backend] = max(minDerating, 1-reduction)
	case e.Kind == EstimateTotalLimit && e.Age < reduceInterval, e.Kind == EstimateKnee, e.Kind == EstimateThroughput:
		a.restored[e.Kind], a.restoredAt = e.Value, at
	}
}

// evaluate processes the reports since the last tick: it finds slow, failing and overloaded backends.
func (a *Assigner) evaluate() {
	// While reports are rare, all samples count by weight: otherwise the proxies' own zone would stand for the fleet.
	s, sla := a.collectSamples(), a.meanSLA()
	a.medianFailed, a.medianLatency = median(s.failedSamples, a.rareReports), median(s.nextSamples, a.rareReports)
	a.failureRisk = max(a.medianFailed, median(s.failedUnderated, a.rareReports))
	if a.spanCount > 0 {
		a.reportSpan, a.spanSum, a.spanCount = a.spanSum/a.spanCount, 0, 0
	}
	typical, anyUpdated := median(s.latencySamples, a.rareReports), false
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
		a.responsesFast = a.medianLatency > 0 && !a.overloaded
	}
	a.evaluatedAt, a.rareReports = a.now, median(s.intervals, true) > rareReportInterval
	isRemoteFresh := a.remoteUsage != nil && a.now < a.remoteUsageAt+rateTimeout
	a.remoteTrust = min(max(a.remoteTrust+ifElse(isRemoteFresh, 1.0, -1)/smoothingTicks, 0), 1)
	a.updateWeights()
}

// evaluateBackend derates a backend that is slower or fails more than the median, and gradually restores others. Slow
// machines, other programs on them, wrong listed weights and hangs all look alike in the reports.
func (a *Assigner) evaluateBackend(b int, s samples, typical, sla float64) {
	backends := &a.backends
	if backends.unlisted[b] && s.failed[b] > a.medianFailed+deadMargin {
		backends.status[b] = Gone
	}
	isBad := s.latency[b] > max(slowRatio*typical, slowSLA*sla) || s.failed[b] > a.medianFailed+failingMargin
	// Controllers that share their reports act in turn, each after the effect of its last step is visible.
	isShared := a.now < backends.remoteAt[b]+rateTimeout
	interval := ifElse(isShared, deratingInterval+a.reportLag(b), Second)
	isTurn := !isShared || a.isOwnTurn(b, interval)
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
