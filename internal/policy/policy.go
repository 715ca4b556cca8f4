// Package policy holds all decisions of elmfold. New makes a controller's Assigner from its Deployment; Step takes the
// events of a moment and returns the orders. A step goes through these files, in this order:
//
//	reports.go   lists of backends, and which of them are slow, failing or overloaded
//	limits.go    the bound on all traffic under overload, and its parts (max-rate sharing)
//	spillover.go what leaves its zone
//	tables.go    which backends a proxy uses, with which weights, and what it admits
//	channel.go   what is sent now, the most urgent first, and what waits
//
// events.go hands events to these, state.go has what is remembered and sums over it, iface.go the types that go in and
// out. Nothing here reads a clock, a file or a network, and nothing is left to chance.
package policy

import "cmp"

// Tuned values: rates in txns/s, spans as Time, all else ratios unless a unit is given. (design): see docs/design.md.

// Max-rate sharing and rate limits.
const (
	tickInterval    = Second      // between decisions (design)
	busyThreshold   = 0.9         // use over its limit from which a proxy is busy (design)
	idleMargin      = 0.2         // that an idle proxy keeps above its use (design)
	minLimit        = 1.0         // least limit of a proxy, while the total has that much for all (design)
	unlimited       = 1e6         // a limit that binds nobody
	chanceMargin    = 0.5         // most that a limit is raised for what arrives by chance
	admitPart       = 0.95        // part of what arrives by chance that a limit admits
	warmupAdmitPart = 0.99        // the same beside a backend in slow start, while reports are rare
	useDecay        = 0.5         // part of an old use that a second leaves
	largeUse        = 5.0         // use under which chance is large, so that the old one decays more slowly
	minDecayRate    = 0.4         // the slowest such decay
	useTimeout      = 12 * Second // without reports, after which a use is no longer believed
)

// The bound on the total rate under overload.
const (
	overloadLatency    = 0.4        // median latency over the SLA time that is overload (design)
	overloadFailures   = 0.05       // part that fails at the median backend that is, unless responses are fast (design)
	smoothingTicks     = 3.0        // over which the served rate is smoothed
	kneeStep           = 0.9        // of the knee, when a reduction did not help
	reduceTo           = 0.8        // part of the knee to reduce to, so that queues drain
	reduceLateTo       = 0.5        // the same while responses take more than the SLA time
	reduceInterval     = 6 * Second // between reductions: timeouts of before one are reported for some seconds
	reduceTimeout      = 3 * Second // in which queues drain: a reduction that nothing is reported of ends
	longSpan           = 3.0        // seconds that a report stands for from which it is too late for that
	rareInterval       = 1.75       // seconds between reports of the median backend from which they are rare
	raiseFactor        = 1.1        // of one raise (design)
	raiseInterval      = 5 * Second // between raises (design)
	quickRaiseInterval = 3 * Second // while latency is under quickLatency
	fastRaiseInterval  = Second     // while latency is under fastLatency
	quickLatency       = 0.75       // of overloadLatency
	fastLatency        = 0.5        // of overloadLatency
	releaseRatio       = 1.5        // total over demand from which there is no bound (design)
)

// Slow start and subsets.
const (
	slowStartBegin    = 0.1        // part of its weight that a new backend begins with (design)
	slowStartDoubling = 5 * Second // in which that part doubles (design)
	maxWarmExtra      = 2.0        // of its part: most that a warm backend takes over from those in slow start
	maxWarmupLoad     = 0.4        // part of Deployment.WarmupOverload that a backend in slow start may get
	minSpillover      = 0.1        // part of a zone's demand under which an excess stays at home
	connShare         = 0.03       // part of a backend's connections that the proxies may use together
	minSubset         = 4.0        // backends that each proxy uses at least
	swapRatio         = 1.3        // load of one in the subset over another's from which they change places
	minChange         = 0.12       // relative change of a weight or limit that is worth a line
)

// Evaluation of backends.
const (
	reportDecay      = 0.2         // part of earlier attempts that a tick with reports leaves
	minAttempts      = 4.0         // under which a report says nothing of its backend
	fullAttempts     = 10.0        // that replace all that was reported before
	minReported      = 0.25        // part of the weight that must have reported before medians count
	slowRatio        = 1.35        // latency over the median that is slow, if it is also ...
	slowSLA          = 0.35        // ... this part of the SLA time
	failingMargin    = 0.2         // part that fails above the median's that is failing
	deadMargin       = 0.6         // the same of a backend that the list dropped, which is gone then
	deratingStep     = 0.8         // of the weight of a slow backend
	minDerating      = 0.3         // part of its weight that it keeps
	deratingInterval = 3 * Second  // between steps: what is reported now happened before the last one
	maxDeratingSteps = 3.0         // at once, of a backend that reports rarely
	recoveryStep     = 1.03        // of the weight, a second
	recoveryRatio    = 1.01        // latency over the median up to which a backend recovers
	maxRecoverySteps = 10.0        // at once
	fullConfidence   = 0.5         // confidence in a restored figure from which it counts in full
	goneRetention    = 30 * Second // for which a backend that is gone keeps its lines: it may come back
)

// The channel to the proxies.
const (
	slowChannelPart   = 0.3         // part of its pace that a slow channel is taken to keep
	roomNeeded        = 0.9         // part of the allowed lines for proxies that lack a usable backend
	roomUrgent        = 0.8         // the same for urgent changes
	roomRest          = 0.5         // the same for all others
	maxUnacked        = 0.95        // part of the allowed lines that may be unacknowledged
	unackedTimeout    = 30 * Second // after which unacknowledged lines no longer count
	reorderWindow     = Second      // messages written so close to each other may arrive in any order
	queueSeconds      = 2.0         // seconds of the channel's pace that all but withdrawals share
	roomRetryInterval = Second / 5  // until what had no room is tried again
	markerNumbers     = 1 << 15     // numbers of markers, far more than are ever on the way
)

const timerTick, timerRetry = 0, 1 // what a SetTimer is for

// Step takes the events of one moment and returns the orders.
func (a *Assigner) Step(now Time, events []Event) []Order {
	tick := a.handleEvents(now, events)
	if a.needsFollow && (tick || !a.started) {
		a.needsFollow = false
		a.order(WatchList{Enabled: true})
	}
	if tick || !a.started {
		a.order(SetTimer{Delay: either(tick, tickInterval, cmp.Or(a.conf.FirstTick, tickInterval))})
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
		a.closeBatch(queued)
	}
	return a.orders
}

// closeBatch has the proxies acknowledge what this step has written.
func (a *Assigner) closeBatch(queuedBefore float64) {
	if a.queuedLines > queuedBefore {
		a.batch++
		a.writtenAt[a.batch%len(a.writtenAt)] = a.now
		a.order(Marker{Number: a.batch % markerNumbers})
	}
}

// probe asks all backends for their load, where the deployment has probes.
func (a *Assigner) probe() {
	for b, s := range a.backends.status {
		if s == Ready && a.conf.Probes && len(a.conf.Gauges) > 0 {
			a.order(Probe{Backend: b})
		}
	}
}
