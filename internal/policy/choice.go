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
	tickEvery             = Second     // (design)
	busyAbove, idleMargin = 0.9, 0.2   // use over level of a busy proxy; an idle one keeps this much over its use (design)
	levelFloor            = 1.0        // txns/s: the least level, while the total has that much for all (design)
	noLevel               = 1e6        // txns/s: a rate that binds nobody
	letMost, letCold      = 0.95, 0.99 // part of what comes by chance that a level lets in; beside a cold line, news rare

	overSLA, overFails   = 0.4, 0.05       // overload: median time over the SLA time; or median voided, not quick (design)
	smooth               = 3.0             // ticks that the served rate is smoothed over
	cutTo, kneeDown      = 0.8, 0.9        // of the knee, so that queues drain; when it did not help
	cutLate              = 0.5             // ... while answers take more than the SLA time
	cutAgain             = 6 * Second      // time-outs of before a cut are heard of for some seconds
	cutBlind             = 3 * Second      // in which queues drain: then a cut of which nothing is heard ends
	spanLong, rareFrom   = 3.0, 1.75       // seconds that a report stands for, from which it is too late; few add up
	riseBy, riseEvery    = 1.1, 5 * Second // (design)
	riseFast, fastPart   = Second, 0.5     // ... while answers take under this part of what is overload, or ...
	riseQuick, quickPart = 3 * Second, 0.75
	loosenAt             = 1.5 // total over demand from which it is unbounded (design)

	warmMost            = 2.0             // multiple of its part that a warm line takes of what cold ones cannot
	rampStart, rampTurn = 0.1, 5 * Second // part of its weight for a new one, doubled after (design)
	coldMost            = 0.4             // part of the multiple that pushes a cold one over, at most

	spillFrom            = 0.1         // a smaller excess of a zone's demand over its fair part stays at home
	connPart, picksLeast = 0.03, 4.0   // part of a backend's connections for all proxies; lines that each has all the same
	pickSwap             = 1.3         // load of a picked backend over another's from which they change places
	leastChange          = 0.12        // relative change of a weight or level that is worth a line
	useKeep, newsKeep    = 0.5, 0.2    // a second, of an old use; a tick with news, of the tries at a backend
	useStale             = 12 * Second // without news of it, from which a use is no longer believed
	useMany, useSlow     = 5.0, 0.4    // txns/s; under that, mostly chance, it is kept for longer, to such a pace
	letChance            = 0.5         // txns/s: the most that a level is raised for what comes by chance

	fewTries, thinTries  = 4.0, 10.0   // fewer tries say nothing of a backend; so many take the place of what was
	voteLeast            = 0.25        // part of the strength that must have been heard of, before the medians count
	hotRatio, hotSLA     = 1.35, 0.35  // relieved: its time over the median, and over the SLA time
	hotFails, deadFails  = 0.2, 0.6    // ... or voided over the median's; one that the list dropped is gone
	easeBy, easeLeast    = 0.8, 0.3    // a step of relief, down to this
	easeEvery            = 3 * Second  // ... once in so long: what is heard now was done before the last step
	easeMost, returnMost = 3.0, 10.0   // ... so many at once, of what is seldom heard of; seconds of returning, as well
	returnBy, coolRatio  = 1.03, 1.01  // a tick, back, while its time over the median is under that
	sureHalf             = 0.5         // part that is believed of earlier knowledge, from which relief is whole
	goneKeep             = 30 * Second // that what is gone keeps its lines: it may come again

	slowChan                       = 0.3               // part of its pace that a slowed channel is held to keep
	roomHave, roomUrgent, roomRest = 0.9, 0.8, 0.5     // part of what is allowed for needed lines, urgent orders, others
	roomSure, sureFor              = 0.95, 30 * Second // ... that lines without an answer take up at most, and how long
	overtakes                      = Second            // messages written so close to each other may enter in any order
	roomSpan                       = 2.0               // seconds of the channel's pace that all but shut-outs share
	roomAgain                      = Second / 5        // until what had no room is tried again
	fences                         = 1 << 15           // numbers in turn; far more than are ever on the way
)

const wakeTick, wakeAgain = 0, 1 // what a Wake is for

// New makes an Assigner that knows its deployment and nothing else.
func New(d Deployment) *Assigner {
	a := &Assigner{d: d, refollow: d.Asked, free: make([]bool, len(d.Products))}
	for k, p := range d.Products {
		places := fmt.Sprint(!p.OwnZone, p.OnlyZones, p.OnlyKinds)
		g := slices.IndexFunc(a.groups, func(g group) bool { return g.places == places })
		if g < 0 {
			g, a.groups = len(a.groups), append(a.groups, group{rule: p, places: places})
		}
		a.groups[g].products, a.groups[g].mask = append(a.groups[g].products, k), a.groups[g].mask|1<<k
	}
	// The most confined are placed first, as their places read; the others take the room that is left.
	slices.SortFunc(a.groups, func(g, h group) int { return cmp.Compare(g.places, h.places) })
	a.stayHome()
	return a
}

// Step takes the events of one moment and returns the orders.
func (a *Assigner) Step(now Time, events []Event) []Order {
	tick := a.hear(now, events)
	if a.refollow && (tick || !a.began) {
		a.refollow = false
		a.order(Follow{On: true})
	}
	if tick || !a.began {
		a.order(Wake{After: either(tick, tickEvery, cmp.Or(a.d.FirstTick, tickEvery))})
	}
	if a.began = true; tick {
		for b, s := range a.be.status {
			if s == Ready && a.d.Probes && len(a.d.Gauges) > 0 {
				a.order(Probe{Backend: b})
			}
		}
		a.judge()
		a.setTotal()
		a.setLevels()
	}
	if tick || a.urgent {
		a.setSpill()
		before := a.drain()
		a.withdraw()
		a.setPicks(tick)
		a.reconcile(tick)
		if a.queue > before {
			a.batch++
			a.wroteAt[a.batch%len(a.wroteAt)] = now
			a.order(Fence{Number: a.batch % fences})
		}
	}
	return a.orders
}

// hear takes events in; it says whether a tick is among them.
func (a *Assigner) hear(now Time, events []Event) (tick bool) {
	a.now, a.orders = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Listed:
			a.hearList(e)
		case Dropped:
			a.forget(e.Backend)
		case Joined:
			p := a.proxy(e.Proxy)
			p.joined, p.bound, p.zone, p.sent = true, false, a.ownZone(e.Zone), nil
			p.brings, p.counted, p.bare = e.Brings, false, true
			p.held = make([]tbl, len(a.groups))
			// Guards what is known of a proxy against streams that break and come again: it gets what it got.
			for k := 0; k < len(p.use) && a.now > p.leftAt+useStale; k++ {
				p.heard, p.told[k], p.use[k], p.voided[k], p.newsAt[k] = false, false, e.Rate/float64(len(p.use)), 0, a.now
			}
			a.reset, a.urgent = true, true
		case Left:
			if p := a.proxy(e.Proxy); p.joined {
				p.joined, p.bound, p.leftAt, a.reset = false, false, a.now, true
			}
		case Allowed:
			a.confine(e)
			a.urgent = true
		case Heard:
			a.hearTries(e)
		case Told:
			a.hearTries(e.Heard)
			a.be.age[e.Backend], a.be.toldAt[e.Backend] = e.Age, a.now
		case Elsewhere:
			a.elsewhere, a.elsewhereAt = e.Uses, a.now
		case Probed:
			if at := slices.Index(a.d.Gauges, GaugeHeld); at >= 0 && at < len(e.Load) && e.Backend < len(a.be.held) {
				a.be.held[e.Backend] = e.Load[at]
			}
		case Used:
			a.hearUse(e)
		case Recalled:
			a.recall(e)
		case Fenced:
			a.hearFence(a.proxy(e.Proxy), a.batch-(a.batch-e.Number)%fences)
		case Woken:
			tick = tick || e.Name == wakeTick
			a.urgent, a.again = true, a.again && e.Name != wakeAgain
		}
	}
	a.gather()
	if tick || a.urgent { // else nothing is decided in this step
		a.weigh()
	}
	return tick
}
