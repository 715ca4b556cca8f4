// Package policy holds every decision of elmfold. New makes a controller's Assigner from its Deployment; Step
// takes the events of a moment and returns the orders: it hears (news.go), bounds and splits the total (total.go),
// places txns in zones (spill.go), picks and weighs backends (tables.go) and sends what the channel has room for
// (pace.go). The types of all these are in iface.go, what is remembered is in state.go. Nothing here reads a clock, a
// file or a network, and nothing is left to chance.
package policy

import (
	"cmp"
	"fmt"
	"slices"
)

// Tuned values. Spans are Time; the rest are plain parts or ratios unless a unit is given.
const (
	tickInterval               = Second     // (design)
	busyThreshold, idleMargin  = 0.9, 0.2   // use over level of a busy proxy; an idle one keeps this much over its use (design)
	minLimit                   = 1.0        // txns/s: the least level, while the total has that much for all (design)
	unlimited                  = 1e6        // txns/s: a rate that binds nobody
	admitPart, warmupAdmitPart = 0.95, 0.99 // part of what comes by chance that a level lets in; beside a cold line, news rare

	overloadLatency, overloadFailures = 0.4, 0.05       // overload: median time over the SLA time; or median voided, not quick (design)
	smoothingTicks                    = 3.0             // ticks that the served rate is smoothed over
	reduceTo, kneeStep                = 0.8, 0.9        // of the knee, so that queues drain; when it did not help
	reduceLateTo                      = 0.5             // ... while answers take more than the SLA time
	reduceInterval                    = 6 * Second      // time-outs of before a cut are heard of for some seconds
	reduceTimeout                     = 3 * Second      // in which queues drain: then a cut of which nothing is heard ends
	longSpan, rareInterval            = 3.0, 1.75       // seconds that a report stands for, from which it is too late; few add up
	raiseFactor, raiseInterval        = 1.1, 5 * Second // (design)
	fastRaiseInterval, fastLatency    = Second, 0.5     // ... while answers take under this part of what is overload, or ...
	quickRaiseInterval, quickLatency  = 3 * Second, 0.75
	releaseRatio                      = 1.5 // total over demand from which it is unbounded (design)

	maxWarmExtra                      = 2.0             // multiple of its part that a warm line takes of what cold ones cannot
	slowStartBegin, slowStartDoubling = 0.1, 5 * Second // part of its weight for a new one, doubled after (design)
	maxWarmupLoad                     = 0.4             // part of the multiple that pushes a cold one over, at most

	minSpillover           = 0.1         // a smaller excess of a zone's demand over its fair part stays at home
	connShare, minSubset   = 0.03, 4.0   // part of a backend's connections for all proxies; lines that each has all the same
	swapRatio              = 1.3         // load of a picked backend over another's from which they change places
	minChange              = 0.12        // relative change of a weight or level that is worth a line
	useDecay, reportDecay  = 0.5, 0.2    // a second, of an old use; a tick with news, of the tries at a backend
	useTimeout             = 12 * Second // without news of it, from which a use is no longer believed
	largeUse, minDecayRate = 5.0, 0.4    // txns/s; under that, mostly chance, it is kept for longer, to such a pace
	chanceMargin           = 0.5         // txns/s: the most that a level is raised for what comes by chance

	minAttempts, fullAttempts          = 4.0, 10.0   // fewer tries say nothing of a backend; so many take the place of what was
	minReported                        = 0.25        // part of the strength that must have been heard of, before the medians count
	slowRatio, slowSLA                 = 1.35, 0.35  // relieved: its time over the median, and over the SLA time
	failingMargin, deadMargin          = 0.2, 0.6    // ... or voided over the median's; one that the list dropped is gone
	deratingStep, minDerating          = 0.8, 0.3    // a step of relief, down to this
	deratingInterval                   = 3 * Second  // ... once in so long: what is heard now was done before the last step
	maxDeratingSteps, maxRecoverySteps = 3.0, 10.0   // ... so many at once, of what is seldom heard of; seconds of returning, as well
	recoveryStep, recoveryRatio        = 1.03, 1.01  // a tick, back, while its time over the median is under that
	fullConfidence                     = 0.5         // part that is believed of earlier knowledge, from which relief is whole
	goneRetention                      = 30 * Second // that what is gone keeps its lines: it may come again

	slowChannelPart                  = 0.3               // part of its pace that a slowed channel is held to keep
	roomNeeded, roomUrgent, roomRest = 0.9, 0.8, 0.5     // part of what is allowed for needed lines, urgent orders, others
	maxUnacked, unackedTimeout       = 0.95, 30 * Second // ... that lines without an answer take up at most, and how long
	reorderWindow                    = Second            // messages written so close to each other may enter in any order
	queueSeconds                     = 2.0               // seconds of the channel's pace that all but shut-outs share
	roomRetryInterval                = Second / 5        // until what had no room is tried again
	markerNumbers                    = 1 << 15           // numbers in turn; far more than are ever on the way
)

const timerTick, timerRetry = 0, 1 // what a Wake is for

// New makes an Assigner that knows its deployment and nothing else.
func New(d Deployment) *Assigner {
	a := &Assigner{conf: d, needsFollow: d.PullsList, uncapped: make([]bool, len(d.Products))}
	for k, p := range d.Products {
		places := fmt.Sprint(!p.OwnZone, p.OnlyZones, p.OnlyKinds)
		g := slices.IndexFunc(a.groups, func(g group) bool { return g.placement == places })
		if g < 0 {
			g, a.groups = len(a.groups), append(a.groups, group{class: p, placement: places})
		}
		a.groups[g].products, a.groups[g].mask = append(a.groups[g].products, k), a.groups[g].mask|1<<k
	}
	// The most confined are placed first, as their places read; the others take the room that is left.
	slices.SortFunc(a.groups, func(g, h group) int { return cmp.Compare(g.placement, h.placement) })
	a.initSpillover()
	return a
}

// Step takes the events of one moment and returns the orders.
func (a *Assigner) Step(now Time, events []Event) []Order {
	tick := a.handleEvents(now, events)
	if a.needsFollow && (tick || !a.started) {
		a.needsFollow = false
		a.order(FollowList{On: true})
	}
	if tick || !a.started {
		a.order(SetTimer{Delay: either(tick, tickInterval, cmp.Or(a.conf.FirstTick, tickInterval))})
	}
	if a.started = true; tick {
		for b, s := range a.backends.status {
			if s == Ready && a.conf.Probes && len(a.conf.Gauges) > 0 {
				a.order(Probe{Backend: b})
			}
		}
		a.evaluate()
		a.setTotalLimit()
		a.setLimits()
	}
	if tick || a.urgent {
		a.setSpillover()
		before := a.updateQueue()
		a.withdrawDraining()
		a.setSubsets(tick)
		a.reconcile(tick)
		if a.queuedLines > before {
			a.batch++
			a.writtenAt[a.batch%len(a.writtenAt)] = now
			a.order(Marker{Number: a.batch % markerNumbers})
		}
	}
	return a.orders
}

// handleEvents takes events in; it says whether a tick is among them.
func (a *Assigner) handleEvents(now Time, events []Event) (tick bool) {
	a.now, a.orders = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			a.onList(e)
		case IndexReleased:
			a.releaseIndex(e.Backend)
		case ProxyConnected:
			p := a.proxyAt(e.Proxy)
			p.connected, p.assigned, p.zone, p.sent = true, false, a.clampZone(e.Zone), nil
			p.bringsTables, p.counted, p.stranded = e.BringsTables, false, true
			p.installed = make([]table, len(a.groups))
			// Guards what is known of a proxy against streams that break and come again: it gets what it got.
			for k := 0; k < len(p.use) && a.now > p.disconnectedAt+useTimeout; k++ {
				p.hasReported, p.reported[k], p.use[k], p.failed[k], p.reportedAt[k] = false, false, e.Rate/float64(len(p.use)), 0, a.now
			}
			a.resetLimits, a.urgent = true, true
		case ProxyDisconnected:
			if p := a.proxyAt(e.Proxy); p.connected {
				p.connected, p.assigned, p.disconnectedAt, a.resetLimits = false, false, a.now, true
			}
		case ProxyConfined:
			a.onConfined(e)
			a.urgent = true
		case BackendReport:
			a.onBackendReport(e)
		case RemoteReport:
			a.onBackendReport(e.BackendReport)
			a.backends.age[e.Backend], a.backends.remoteAt[e.Backend] = e.Age, a.now
		case RemoteUsage:
			a.remoteUsage, a.remoteUsageAt = e.Uses, a.now
		case ProbeResult:
			if at := slices.Index(a.conf.Gauges, GaugeInFlight); at >= 0 && at < len(e.Load) && e.Backend < len(a.backends.inFlight) {
				a.backends.inFlight[e.Backend] = e.Load[at]
			}
		case UsageReport:
			a.onUsage(e)
		case RestoredFigure:
			a.onRestored(e)
		case MarkerAcked:
			a.onMarkerAck(a.proxyAt(e.Proxy), a.batch-(a.batch-e.Number)%markerNumbers)
		case TimerFired:
			tick = tick || e.Name == timerTick
			a.urgent, a.retryPending = true, a.retryPending && e.Name != timerRetry
		}
	}
	a.listConnected()
	if tick || a.urgent { // else nothing is decided in this step
		a.updateWeights()
	}
	return tick
}
