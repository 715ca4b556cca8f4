// Package policy implements elmfold's load balancing and admission control. New creates a controller's Assigner from
// its Deployment; Step takes events and returns orders. A step runs through these files in order:
//
//	reports.go   backend lists; detection of slow, failing and overloaded backends
//	limits.go    the total rate limit under overload and its division (max-rate sharing)
//	spillover.go traffic between zones
//	tables.go    subsets of backends, weights and rate limits of each proxy
//	channel.go   order in which changes are sent
//
// events.go dispatches events, state.go holds the state, aggregates.go sums over it, and types.go defines events and
// orders. Steps are deterministic: the package reads no clock and no random numbers, and does no I/O.
package policy

import "cmp"

// Rates are in txns/s, durations are of type Time, and other values are ratios unless a unit is given. docs/design.md,
// "Kept", lists the values that the published mechanism sets, and the reasons for those that differ from it.

// Max-rate sharing and rate limits.
const (
	tickInterval        = Second      // between decisions
	busyThreshold       = 0.9         // rate over its limit above which a proxy is busy
	idleMargin          = 0.2         // fraction above its rate that an idle proxy keeps
	minLimit            = 1.0         // lower bound of a proxy's limit while the total suffices for all
	unlimited           = 1e6         // rate limit that means no limit
	poissonMargin       = 0.5         // largest raise of a limit for random arrivals
	admitFraction       = 0.95        // fraction of random arrivals that a limit admits
	warmupAdmitFraction = 0.99        // the same with a backend in slow start, while reports are rare
	rateDecay           = 0.5         // fraction of an old rate that remains after a second
	steadyRate          = 5.0         // rate below which random variation is large and the old rate decays more slowly
	minDecayRate        = 0.4         // slowest such decay, relative to the normal one
	rateTimeout         = 12 * Second // time without reports after which a rate expires
)

// Total rate limit under overload.
const (
	overloadLatency    = 0.4        // median latency over the SLA that indicates overload
	overloadFailures   = 0.05       // the same for the failing fraction at the median backend, if responses are slow
	smoothingTicks     = 3.0        // time constant of the smoothed served rate
	kneeStep           = 0.9        // factor on the knee if a reduction did not help
	reduceTo           = 0.8        // fraction of the knee to reduce to, so that queues drain
	reduceToWhenLate   = 0.5        // the same while latency exceeds the SLA
	reduceInterval     = 6 * Second // time between reductions: earlier timeouts are still being reported
	reduceTimeout      = 3 * Second // ends a reduction without reports; queues drain within this time
	sparseReportSpan   = 3.0        // seconds covered by a report, above which reports are sparse
	rareReportInterval = 1.75       // seconds between reports of the median backend, above which reports are rare
	raiseFactor        = 1.1        // factor of one raise
	raiseInterval      = 5 * Second // between raises
	quickRaiseInterval = 3 * Second // while latency is below quickLatency
	fastRaiseInterval  = Second     // while latency is below fastLatency
	quickLatency       = 0.75       // of overloadLatency
	fastLatency        = 0.5        // of overloadLatency
	releaseRatio       = 1.5        // total over demand above which the limit is removed
)

// Slow start and subsets.
const (
	slowStartBegin    = 0.1        // initial fraction of a new backend's weight
	slowStartDoubling = 5 * Second // time in which that fraction doubles
	maxWarmExtra      = 2.0        // share that a warm backend takes over from those in slow start, relative to its own
	maxWarmupLoad     = 0.4        // fraction of Deployment.WarmupOverload that a backend in slow start may get
	minSpillover      = 0.1        // fraction of a zone's demand below which excess stays in the zone
	connShare         = 0.03       // fraction of a backend's connections that the proxies may use together
	minSubset         = 4.0        // lower bound of backends per proxy and zone
	swapRatio         = 1.3        // load ratio above which a backend in the subset is swapped for one outside
	minChange         = 0.12       // relative change of a weight or limit that is worth sending
)

// Evaluation of backends.
const (
	reportDecay       = 0.2         // fraction of earlier attempts that remains after a tick with reports
	minAttempts       = 4.0         // attempts below which the samples of one backend are not significant
	replacingAttempts = 10.0        // attempts that replace all earlier samples while reports are rare
	minReported       = 0.25        // fraction of the weight that must have reported for medians to count
	slowRatio         = 1.35        // latency over the median that is slow, if it also exceeds slowSLA
	slowSLA           = 0.35        // latency over the SLA that is slow
	failingMargin     = 0.2         // failing fraction above the median's that marks a backend as failing
	deadMargin        = 0.6         // the same for an unlisted backend, which is then treated as removed
	deratingStep      = 0.8         // factor on the weight of a slow backend
	minDerating       = 0.3         // smallest fraction of its weight that a slow backend keeps
	deratingInterval  = 3 * Second  // time between steps: reports lag behind the last step
	maxDeratingSteps  = 3.0         // steps at once, for a backend with sparse reports
	recoveryStep      = 1.03        // factor on the weight per second
	recoveryRatio     = 1.01        // latency over the median below which a backend recovers
	maxRecoverySteps  = 10.0        // steps at once
	fullConfidence    = 0.5         // confidence above which a restored derating applies in full
	goneRetention     = 30 * Second // time for which a removed backend keeps its lines: it may return
)

// The channel to the proxies.
const (
	minPaceFraction   = 0.3         // fraction of its pace that a slow channel is assumed to keep
	roomCritical      = 0.9         // fraction of the allowed lines for proxies without a usable backend
	roomUrgent        = 0.8         // the same for other urgent changes
	roomRest          = 0.5         // the same for all other changes
	maxUnacked        = 0.95        // fraction of the allowed lines that may be unacknowledged
	unackedTimeout    = 30 * Second // time after which unacknowledged lines no longer count
	reorderWindow     = Second      // time within which messages may arrive in any order
	queueSeconds      = 2.0         // seconds of the channel's pace that may be queued, withdrawals excepted
	roomRetryInterval = Second / 5  // delay before changes that had no room are retried
	markerNumbers     = 1 << 15     // modulus of marker numbers, more than can be in transit
)

const timerTick, timerRetry = 0, 1 // values of SetTimer.Name

// Step processes the events since the previous step and returns the orders to execute.
func (a *Assigner) Step(now Time, events []Event) []Order {
	tick := a.handleEvents(now, events)
	if a.needsWatch && (tick || !a.started) {
		a.needsWatch = false
		a.emit(WatchList{Enabled: true})
	}
	if tick || !a.started {
		a.emit(SetTimer{Delay: ifElse(tick, tickInterval, cmp.Or(a.conf.FirstTick, tickInterval))})
	}
	a.started = true
	if tick {
		a.probe()
		a.evaluate()
		a.setTotalLimit()
		a.setLimits()
	}
	if tick || a.urgent {
		a.setSpillover()
		queued := a.updateQueue()
		a.withdrawDraining()
		a.setSubsets(tick)
		a.reconcile(tick)
		a.requestAcks(queued)
	}
	return a.orders
}

// requestAcks asks the proxies to acknowledge this step's messages, if there are any.
func (a *Assigner) requestAcks(queuedBefore float64) {
	if a.queuedLines > queuedBefore {
		a.batch++
		a.writtenAt[a.batch%len(a.writtenAt)] = a.now
		a.emit(Marker{Number: a.batch % markerNumbers})
	}
}

// probe requests the load of all ready backends, if the deployment supports probes.
func (a *Assigner) probe() {
	for b, s := range a.backends.status {
		if s == Ready && a.conf.Probes && len(a.conf.Gauges) > 0 {
			a.emit(Probe{Backend: b})
		}
	}
}
