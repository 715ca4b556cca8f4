package policy

import (
	"math"
	"slices"
)

// handleEvents applies events to the state and reports whether a tick is among them.
func (a *Assigner) handleEvents(now Time, events []Event) (tick bool) {
	a.now, a.orders = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			a.onList(e)
		case IndexReleased:
			a.releaseIndex(e.Backend)
		case ProxyConnected:
			a.onConnected(e)
		case ProxyDisconnected:
			a.onDisconnected(e)
		case ProxyRestricted:
			a.onRestricted(e)
		case BackendReport:
			a.onBackendReport(e)
		case RemoteReport:
			a.onBackendReport(e.BackendReport)
			a.backends.age[e.Backend], a.backends.remoteAt[e.Backend] = e.Age, a.now
		case RemoteUsage:
			a.remoteUsage, a.remoteUsageAt = e.Rates, a.now
		case ProbeResult:
			a.onProbeResult(e)
		case UsageReport:
			a.onUsage(e)
		case RestoredEstimate:
			a.onRestored(e)
		case MarkerAcked:
			a.onMarkerAck(a.proxyAt(e.Proxy), a.batch-(a.batch-e.Number)%markerNumbers)
		case TimerFired:
			tick = tick || e.Name == timerTick
			a.urgent, a.retryPending = true, a.retryPending && e.Name != timerRetry
		}
	}
	a.listConnected()
	if tick || a.urgent { // other steps decide nothing
		a.updateWeights()
	}
	return tick
}

func (a *Assigner) onConnected(e ProxyConnected) {
	p := a.proxyAt(e.Proxy)
	p.connected, p.assigned, p.zone, p.sent = true, false, a.clampZone(e.Zone), nil
	p.hasPeerTables, p.counted, p.stranded = e.HasPeerTables, false, true
	p.installed = make([]table, len(a.groups))
	// A proxy that reconnects soon has the same traffic as before, so its known rates stay.
	if a.now > p.disconnectedAt+rateTimeout {
		p.hasReported = false
		for k := range p.rate {
			p.reported[k], p.rate[k], p.failed[k], p.reportedAt[k] = false, e.Rate/float64(len(p.rate)), 0, a.now
		}
	}
	a.resetLimits, a.urgent = true, true
}

func (a *Assigner) onDisconnected(e ProxyDisconnected) {
	if p := a.proxyAt(e.Proxy); p.connected {
		p.connected, p.assigned, p.disconnectedAt, a.resetLimits = false, false, a.now, true
	}
}

func (a *Assigner) onProbeResult(e ProbeResult) {
	at := slices.Index(a.conf.Gauges, GaugeInFlight)
	if at >= 0 && at < len(e.Load) && e.Backend < len(a.backends.inFlight) {
		a.backends.inFlight[e.Backend] = e.Load[at]
	}
}

// onUsage updates a proxy's smoothed rates from a report.
func (a *Assigner) onUsage(e UsageReport) {
	p, seconds, k := a.proxyAt(e.Proxy), float64(e.Period)/float64(Second), e.Product
	if k >= len(p.rate) || seconds <= 0 {
		return
	}
	keep := math.Pow(rateDecay, max(seconds, 0.2)*min(max(p.rate[k]/steadyRate, minDecayRate), 1))
	if !p.reported[k] || p.rate[k] == 0 {
		keep = 0 // the first report replaces the assumed rate
	}
	p.hasReported, p.reported[k], p.reportedAt[k] = true, true, a.now
	a.spanSum, a.spanCount = a.spanSum+seconds, a.spanCount+1
	p.rate[k] = p.rate[k]*keep + max(e.Txns, 0)/seconds*(1-keep)
	p.failed[k] = p.failed[k]*keep + e.Failed/seconds*(1-keep)
}
