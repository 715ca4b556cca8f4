// Package choice holds every decision of elmfold. New makes a controller's Assigner from its Deployment; Step
// takes the events of a moment and returns the orders. The types of all these are in iface.go, what is
// remembered is in state.go. Nothing here reads a clock, a file or a network, and nothing is left to chance.
package choice

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Tuned values. Spans are Time; the rest are plain parts or ratios unless a unit is given.
const (
	tickEvery        = Second     // (design)
	busyAbove        = 0.9        // use over level from which a proxy is busy (design)
	idleMargin       = 0.2        // an idle proxy keeps its use and this much more (design)
	levelFloor       = 1.0        // txns/s: the least level, while the total has that much for all (design)
	noLevel          = 1e6        // txns/s: a rate that binds nobody
	letMost, letCold = 0.95, 0.99 // part of what comes by chance that a level need let in; while a line is cold and news are rare

	overSLA              = 0.4              // median time of answers over the SLA time: overload
	overFails            = 0.05             // ... or this part voided at the median, answers not quick (design)
	smooth               = 3.0              // ticks that the served rate is smoothed over
	cutTo, kneeDown      = 0.8, 0.9         // of the knee, so that queues drain; when it did not help
	cutLate              = 0.5              // ... while answers take more than the SLA time
	cutAgain             = 6 * Second       // time-outs of before a cut are heard of for some seconds
	spanLong, rareFrom   = 3.0, 1.75        // seconds that a report stands for, from which it comes too late; from which few add up
	cutBlind             = 3 * Second       // in which queues drain: then a cut of which nothing is heard ends
	riseBy, riseEvery    = 1.1, 5 * Second  // (design)
	riseFast, fastPart   = Second, 0.5      // ... while answers take under this part of what is overload
	riseQuick, quickPart = 3 * Second, 0.75 // ... while answers take under this part of what is overload
	loosenAt             = 1.5              // total over demand from which it is unbounded (design)

	warmMost            = 2.0             // multiple of its part that a warm line takes of what cold ones cannot
	rampStart, rampTurn = 0.1, 5 * Second // part of its weight for a new one, doubled after (design)
	coldMost            = 0.4             // part of the multiple that pushes a cold one over, at most

	spillFrom         = 0.1         // a smaller excess of a zone's demand over its fair part stays at home
	connPart          = 0.03        // part of a backend's connections that all proxies together may take up
	picksLeast        = 4.0         // lines that a proxy has all the same
	pickSwap          = 1.3         // load of a picked backend over another's from which they change places
	leastChange       = 0.12        // relative change of a weight or level that is worth a line
	useKeep, newsKeep = 0.5, 0.2    // a second, of an old use; a tick with news, of the tries at a backend
	useStale          = 12 * Second // without news of it, from which a use is no longer believed
	useMany, useSlow  = 5.0, 0.4    // txns/s; under that, mostly chance, it is kept for longer, to such a pace
	letChance         = 0.5         // txns/s: the most that a level is raised for what comes by chance

	fewTries, thinTries = 4.0, 10.0   // fewer tries say nothing of a backend; so many take the place of what was heard
	voteLeast           = 0.25        // part of the strength that must have been heard of, before the medians say anything
	hotRatio, hotSLA    = 1.35, 0.35  // relieved: its time over the median, and over the SLA time
	hotFails            = 0.2         // ... or voided over the median's
	deadFails           = 0.6         // voided over the median's from which one that the list dropped is gone
	easeBy, easeLeast   = 0.8, 0.3    // a step of relief, down to this
	easeEvery           = 3 * Second  // ... once in so long: what is heard now was done before the last step
	sureHalf            = 0.5         // part that is believed of earlier knowledge, from which relief is taken whole
	easeMost            = 3.0         // ... so many at once, of what is seldom heard of
	returnMost          = 10.0        // seconds of returning at once, as well
	goneKeep            = 30 * Second // that what is gone keeps its lines: it may come again
	returnBy, coolRatio = 1.03, 1.01  // a tick, back, while its time over the median is under that

	slowChan             = 0.3         // part of its pace that a slowed channel is held to keep
	roomUrgent, roomRest = 0.8, 0.5    // part of the lines and messages allowed that urgent orders, others may use
	roomHave             = 0.9         // ... and lines that a proxy needs
	roomSure             = 0.95        // ... that lines without an answer take up at most
	sureFor              = 30 * Second // ... and for how long
	overtakes            = Second      // messages that were written so close to each other may enter in any order
	roomSpan             = 2.0         // seconds of the channel's pace that all but shut-outs share
	roomAgain            = Second / 5  // until what had no room is tried again
	fences               = 1 << 15     // numbers in turn; far more than are ever on the way
)

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
				p.use[k], p.voided[k], p.newsAt[k] = e.Rate/float64(len(p.use)), 0, a.now
				p.heard, p.told[k] = false, false
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

func (a *Assigner) hearUse(e Used) {
	p, s, k := a.proxy(e.Proxy), float64(e.Counting)/float64(Second), e.Product
	if k >= len(p.use) || s <= 0 {
		return
	}
	keep := math.Pow(useKeep, max(s, 0.2)*min(max(p.use[k]/useMany, useSlow), 1))
	if !p.told[k] || p.use[k] == 0 {
		keep = 0 // the rate it was said to get gives way to what it gets, by product
	}
	p.heard, p.told[k], p.newsAt[k], a.spans, a.spanIn = true, true, a.now, a.spans+s, a.spanIn+1
	p.use[k] = p.use[k]*keep + max(e.Txns, 0)/s*(1-keep)
	p.voided[k] = p.voided[k]*keep + e.Voided/s*(1-keep)
}

// recall takes what was known before for what it is worth at its age: use as long as a stream that breaks is
// remembered, a total while time-outs of its time may still be heard of, relief in part once half is doubted: one that
// is wrong goes by itself. Of pace all, it is the best there was.
func (a *Assigner) recall(e Recalled) {
	was := a.now - e.Age
	switch {
	case e.What == FigureUse && e.Age < useStale:
		if p := a.proxy(e.Proxy); e.Product < len(p.use) && !p.told[e.Product] {
			p.use[e.Product], p.newsAt[e.Product], p.leftAt = e.Value, was, max(p.leftAt, was)
		}
	case e.What == FigureRelief && e.Backend < len(a.be.zone) && a.be.heardAt[e.Backend] == never:
		a.be.relief[e.Backend] = max(easeLeast, 1-min(e.Part/sureHalf, 1)*(1-min(e.Value, 1)))
	case e.What == FigureTotal && e.Age < cutAgain, e.What == FigureKnee, e.What == FigurePace:
		a.back[e.What], a.backAt = e.Value, was
	}
}

func (a *Assigner) hearList(e Listed) {
	be := &a.be
	if e.Kind == ListFailed {
		a.refollow = a.d.Asked
		return
	}
	a.urgent = true
	seen := map[int]bool{} // by backend named: it is not gone
	for _, en := range e.Entries {
		b := en.Backend
		a.grow(b + 1)
		if seen[b] = en.Status != Gone; seen[b] {
			be.zone[b], be.kind[b], be.weight[b] = a.ownZone(en.Zone), en.Kind, cmp.Or(en.Weight, 1)
			be.status[b], be.dropped[b] = en.Status, false
		}
		// A new start, also one met while the backend still stands in tables: it is cold, and what was heard
		// of it before holds no longer.
		if en.Status == Ready && en.Up > 0 && en.Up > be.rampAt[b] {
			be.rampAt[b], be.relief[b] = en.Up, 1
			be.tries[b], be.voided[b], be.good[b], be.spent[b] = 0, 0, 0, 0
		}
	}
	for b, s := range be.status {
		listed, named := seen[b]
		// Where gone alone does not bind, a backend merely dropped from the list stays in use until tries there
		// fail too: lists that drop running backends and backends that die unseen look alike.
		if missing := !listed && (named || e.Kind != ListChange); missing && (a.d.GoneBinds || s != Ready) {
			be.status[b], be.goneAt[b] = Gone, either(s == Gone, be.goneAt[b], a.now)
		} else if missing {
			be.dropped[b] = true
		}
	}
}

// rampNow is the part of its weight that a backend may have now.
func (a *Assigner) rampNow(b int) float64 {
	age := max(a.now-a.be.rampAt[b], 0)
	sure := a.d.ColdCapacity + (1-a.d.ColdCapacity)*float64(age)/float64(max(a.d.Cold, 1))
	return min(1, max(rampStart*math.Exp2(float64(min(age/rampTurn, 10))), sure))
}

// strengthNow is what a backend counts for in tables: its listed weight, less while it is cold or hot.
func (a *Assigner) strengthNow(b int) float64 { return a.be.weight[b] * a.rampNow(b) * a.be.relief[b] }

// opens says whether products under the rule may go from some zone to a backend now.
func (a *Assigner) opens(rule Product, b int) bool {
	return a.be.status[b] == Ready && (rule.OnlyZones == nil || slices.Contains(rule.OnlyZones, a.be.zone[b])) &&
		(rule.OnlyKinds == nil || slices.Contains(rule.OnlyKinds, a.be.kind[b]))
}

// judge looks at what was heard since the last tick: who is hot, and whether all are.
func (a *Assigner) judge() {
	// Where news are rare all that was heard counts, as far as it is relied on: else the own zone is taken for the fleet.
	be, sla, news, v := &a.be, a.sla(), false, a.vote()
	fails, took, mid := v.fails, v.took, midst(v.allTook, a.rare)
	a.bad, a.took, a.risk = midst(v.allFails, a.rare), midst(v.allNext, a.rare), max(midst(v.allFails, a.rare), midst(v.caution, a.rare))
	if a.spanIn > 0 {
		a.span, a.spans, a.spanIn = a.spans/a.spanIn, 0, 0
	}
	for b := range be.zone {
		if !be.fresh[b] {
			continue
		}
		// Hot: far slower than the others and near the SLA time, or voiding more. Answers slow machines, other
		// programs on them, wrong listed weights, hangs. It hurts when the slow ones are needed all the same.
		if be.dropped[b] && fails[b] > a.bad+deadFails {
			be.status[b] = Gone
		}
		hot := took[b] > max(hotRatio*mid, hotSLA*sla) || fails[b] > a.bad+hotFails
		told := a.now < be.toldAt[b]+useStale // to all: each moves in turn, and once it can hear what that did
		span := either(told, easeEvery+a.lag(b), Second)
		turn := !told || a.inTurn(b, span)
		switch {
		case hot && turn && (told || a.now >= be.easedAt[b]+easeEvery): // what is seldom heard of takes several at once
			steps := min(max(be.gap[b]*float64(Second)/float64(easeEvery), 1), easeMost)
			be.relief[b], be.easedAt[b] = max(easeLeast, be.relief[b]*math.Pow(easeBy, steps)), a.now
		case !hot && turn && took[b] <= coolRatio*mid:
			steps := min(be.gap[b]*float64(span)/float64(Second), returnMost)
			be.relief[b] = min(1, be.relief[b]*math.Pow(returnBy, steps))
		}
		a.fade(b, be.tries[b]-be.known[b], 1)
		news, be.held[b], be.fresh[b] = true, 0, false
	}
	if _, relied, _ := a.reach(a.ready); news && (!a.rare || v.strength >= voteLeast*relied) {
		a.over = a.took > overSLA*sla || a.bad > overFails && (a.took == 0 || a.took > hotSLA*sla)
		a.light = a.took > 0 && !a.over
	}
	a.judgedAt, a.rare = a.now, midst(v.every, true) > rareFrom
	a.trust = min(max(a.trust+either(a.elsewhere != nil && a.now < a.elsewhereAt+useStale, 1.0, -1)/smooth, 0), 1)
	a.weigh()
}

// setTotal bounds the total of all levels under overload and lets go of it afterwards.
func (a *Assigner) setTotal() {
	all, served, heard, late := 0.0, 0.0, 0, a.took/a.sla()
	for _, p := range a.in {
		heard += either(p.heard, 1, 0)
		for k, u := range p.use {
			if a.now > p.newsAt[k]+useStale { // what came to nothing, or fell silent, is not reported
				p.use[k], p.voided[k] = u*useKeep, p.voided[k]*useKeep
			}
			all, served = all+u, served+max(a.admitted(p, k)-p.voided[k], 0)
		}
	}
	// Backends that come or go change the total from outside, in step with their listed weight, and so do
	// proxies that join elsewhere. Guards a controller that starts over: what its first few bring is no total.
	if _, _, able := a.reach(a.ready); able > 0 && len(a.in) > 0 {
		able *= a.share()
		if a.able > 0 {
			a.total, a.knee, a.served = a.total*able/a.able, a.knee*able/a.able, a.served*able/a.able
		} else if a.back[FigureTotal] > 0 {
			a.total, a.knee = a.back[FigureTotal]*able, max(a.back[FigureTotal], a.back[FigureKnee])*able
			a.cutAt, a.riseAt = a.backAt, a.now
		}
		// While most are not heard of yet, what they are said to get is all there is: neither goes on from it.
		if a.able = able; 2*heard < len(a.in) {
			a.served, a.pace = served, cmp.Or(a.back[FigurePace], served/able)
		}
		a.served = cmp.Or(a.served, served)
		a.served += (served - a.served) / smooth
		if a.light {
			a.pace = max(a.pace, min(a.served, served)/able)
		}
	}
	// Reports that stand for long say nothing yet of what a cut did, nor of what was served before it: another cut
	// waits for that long, the knee is the best that was, and the total goes back to it without being told.
	sparse := a.span > spanLong
	again, best := cutAgain+Time(either(sparse, a.span, 0)*float64(Second)), a.served
	if sparse {
		best = max(best, a.pace*a.able)
	}
	// Else a third is declined for long after what was no overload, and callers ask again and again.
	rise := either(late < quickPart*overSLA, either(late < fastPart*overSLA, riseFast, riseQuick), riseEvery)
	switch {
	case a.d.Levels == LevelNone || all <= 0:
	case a.over && (a.total == 0 || a.now-a.cutAt >= again):
		if a.total == 0 {
			a.knee = best / kneeDown
			a.log("total bounded: demand %.0f/s, served %.0f/s, answers take %.2f SLA times, median voids %.0f%%",
				all, a.served, late, 100*a.bad)
		}
		a.knee = max(a.knee*kneeDown, levelFloor)
		a.total, a.cutAt, a.riseAt = a.knee*either(late > 1, cutLate, cutTo), a.now, a.now
	case a.total > 0 && a.total < a.knee && (a.light || sparse && a.now-a.cutAt >= cutBlind):
		a.total, a.riseAt = a.knee, a.now
	case a.total > 0 && !a.over && a.now-a.riseAt >= rise:
		a.total, a.riseAt = a.total*riseBy, a.now
		a.knee = max(a.knee, a.total)
		if a.total > loosenAt*all {
			a.log("total unbounded: %.0f/s is over demand %.0f/s by half", a.total, all)
			a.total = 0
		}
	}
}

// setLevels splits the total: among the products, the most revenue first, and then by max-rate sharing among
// the proxies, each product like a subscription of the source.
func (a *Assigner) setLevels() {
	in, left, byRev := a.in, a.total, make([]int, len(a.d.Products))
	for k := range byRev {
		byRev[k] = k
	}
	slices.SortStableFunc(byRev, func(j, k int) int {
		p, q := a.d.Products[j], a.d.Products[k]
		return cmp.Or(cmp.Compare(q.Revenue, p.Revenue), cmp.Compare(p.SLA, q.SLA))
	})
	for _, k := range byRev {
		d := a.demand(k)
		part := loosenAt * d
		if a.total > 0 {
			part = min(left, d*(1+idleMargin))
			left -= min(part, d)
		}
		a.free[k] = part >= d
		for i := 0; a.reset && i < len(in); i++ {
			in[i].level[k] = 0
		}
		shareRate(in, k, part)
	}
	a.reset = false
}

// shareRate is max-rate sharing: levels sum to total, idle proxies give what they do not use, busy ones are
// evened out and get what is free, silent ones keep theirs. Where the total is under the floors of all, the
// floor gives way: the source's bug made such levels negative.
func shareRate(in []*proxy, k int, total float64) {
	n, sum, busy, held, freed, above := float64(len(in)), 0.0, 0.0, 0.0, 0.0, 0.0
	floor, isBusy := min(levelFloor, total/n), make([]bool, len(in))
	for _, p := range in {
		sum += p.level[k]
	}
	for i, p := range in {
		if p.level[k] *= total / sum; sum <= 0 { // a change of our own total scales all levels
			p.level[k] = total / n
		}
		if isBusy[i] = p.heard && p.use[k] > busyAbove*p.level[k]; isBusy[i] {
			busy, held = busy+1, held+p.level[k]
		}
	}
	for i, p := range in {
		l := p.level[k]
		if isBusy[i] {
			p.level[k] = min(l, held/busy)
		} else if busy > 0 && p.heard {
			p.level[k] = min(l, max(p.use[k]*(1+idleMargin), floor))
		}
		freed += l - p.level[k]
	}
	for i, p := range in {
		if isBusy[i] {
			p.level[k] += freed / busy
		}
		p.level[k] = max(p.level[k]-floor, 0)
		above += p.level[k]
	}
	for _, p := range in {
		if above > 0 {
			p.level[k] *= (total - n*floor) / above
		}
		p.level[k] += floor
	}
}

// setSpill works out which part of each group's txns leaves its zone. The design lets other zones join when
// under half a zone is usable; here they join for what it is asked for over its part of the fleet's strength.
func (a *Assigner) setSpill() {
	room, all, _ := a.reach(a.ready)
	in, sum, demand := a.in, 0.0, make([][]float64, len(a.groups))
	if all == 0 || len(in) == 0 {
		return
	}
	// Proxies that are not joined here are taken to ask evenly: they must not make a zone look idle.
	// What others tell of theirs is known.
	missing := (1 - a.trust) * (1/a.share() - 1)
	for g, group := range a.groups {
		demand[g] = make([]float64, a.d.Zones)
		for _, k := range group.products {
			d, asks := 0.0, a.demand(k)
			for _, p := range in {
				u := a.admitted(p, k)
				demand[g][p.zone], d = demand[g][p.zone]+u, d+u
			}
			for z := range room {
				more := missing * d * room[z] / all
				if a.trust > 0 && asks > 0 { // bounded as those here are
					more += a.trust * a.elsewhere[k][z] * d / asks
				}
				demand[g][z], sum = demand[g][z]+more, sum+more
			}
			sum += d
		}
	}
	for z := range room {
		room[z] *= sum / all
	}
	for g, group := range a.groups { // each is placed in the room that the zones have, and taken off it
		can, canAll, _ := a.reach(group.open)
		away, to, excess, free := make([]float64, a.d.Zones), make([]float64, a.d.Zones), 0.0, 0.0
		for z, d := range demand[g] {
			switch over := d - max(room[z], 0); {
			case group.rule.OwnZone:
			case can[z] == 0:
				away[z] = 1
			case over > spillFrom*d:
				away[z] = over / d
			}
			room[z] -= d * (1 - away[z])
			if excess += d * away[z]; can[z] > 0 {
				free += max(room[z], 0)
			}
		}
		for y := range to { // where the excess goes: where there is room, else by strength
			if to[y] = max(room[y], 0) / free; free <= 0 {
				to[y] = can[y] / max(canAll, 1e-9)
			}
			if can[y] == 0 {
				to[y] = 0
			}
			room[y] -= excess * to[y]
		}
		for z, old := range a.spill[g] {
			row := make([]float64, a.d.Zones)
			row[z] = 1 - away[z]
			changed := (away[z] == 1) != (old[z] == 0)
			for y := range row {
				row[y] += away[z] * to[y]
				changed = changed || math.Abs(row[y]-old[y]) >= spillFrom
			}
			if changed {
				a.spill[g][z] = row
			}
		}
	}
}

// setPicks keeps for each proxy a steady part of each zone's backends, where lines to all would fill the
// backends with connections. The least loaded is added, the most loaded dropped, one changed a tick. Between
// ticks only proxies that have nothing usable are given more, on top of the load that the tick left.
func (a *Assigner) setPicks(tick bool) {
	be, who, size, homes := &a.be, a.in, 0.0, make([]float64, a.d.Zones)
	if a.asked = append(a.asked, make([]float64, len(be.zone)-len(a.asked))...); tick {
		clear(a.asked)
	} else {
		who = a.needy()
	}
	for _, ready := range a.ready {
		size += either(ready, connPart*a.d.ConnsLeast/float64(max(a.d.Proxies, 1)), 0)
	}
	if size = max(size, picksLeast); a.d.ConnsLeast == 0 {
		size = math.Inf(1)
	}
	// Those that go by what they brought get few lines while many do: each is two, with its shut-out.
	few := min(size, max(picksLeast, roomSpan*a.paceEach()/2/float64(len(a.groups))))
	for _, p := range a.in {
		homes[p.zone] += float64(a.d.Zones) / float64(max(a.d.Proxies, 1))
	}
	load, flow, need := a.asked, make([]float64, len(who)), make([]float64, len(who))
	for y, here := range a.byZone {
		for i, p := range who {
			flow[i], need[i] = 0, 0
			p.picked = append(p.picked, make([]bool, len(be.zone)-len(p.picked))...)
			for g, group := range a.groups {
				r := a.spill[g][p.zone][y]
				for _, k := range group.products {
					flow[i] += p.use[k] * min(r*1e9, r+(1-r)*a.risk) // what voids elsewhere may come here too
				}
				if r > 0 {
					need[i] = max(need[i], 1, either(p.brought(), few, size)*r)
				}
			}
			strength := [2]float64{} // in use, and with what is still shut out: until then the first bears all
			for _, b := range here {
				if p.picked[b] = p.picked[b] && p.may(b); p.picked[b] && be.status[b] == Ready {
					strength[0] += either(be.out[b], 0, a.sure[b])
					strength[1] += a.sure[b]
				}
			}
			for _, b := range here {
				if p.picked[b] && (tick || !p.counted) {
					load[b] += flow[i] / max(either(be.out[b], strength[1], strength[0]), 1e-9)
				}
			}
		}
		for i, p := range who {
			for swap := tick; need[i] > 0; {
				most, least, has, strength := -1, -1, 0.0, 0.0
				for j := range here { // each controller begins elsewhere, or those with few proxies all pick the same
					b := here[(j+int(a.d.FirstTick))%len(here)]
					switch {
					case be.status[b] != Ready || !p.may(b):
					case p.picked[b]:
						if has, strength = has+a.ramp[b], strength+a.sure[b]; most < 0 || load[b] > load[most] {
							most = b
						}
					case least < 0 || load[b] < load[least]:
						least = b
					}
				}
				if least >= 0 && has < need[i] {
					p.picked[least] = true
					load[least] += flow[i] / max(strength, min(need[i], picksLeast)*a.sure[least])
				} else if most >= 0 && (has-a.ramp[most] >= need[i] ||
					swap && least >= 0 && load[most] > pickSwap*load[least]+flow[i]/strength) {
					p.picked[most], swap = false, false
					load[most] -= flow[i] / strength
				} else {
					break
				}
			}
		}
	}
	for _, p := range who {
		p.counted = true
	}
	for b, l := range load { // as if the proxies that are joined elsewhere did the same
		a.load[b] = l / max(a.partHere(), min(homes[be.zone[b]], 1), 1e-9)
		if a.lets[b] = noLevel; a.load[b] > 0 && a.ramp[b] < 1 && a.pace > 0 {
			a.lets[b] = coldMost * a.d.ColdMultiple * a.pace / a.load[b]
		}
	}
}

// sureNow is its strength for the load of others: proxies shun what voids, and what is cold gets its part too.
func (a *Assigner) sureNow(b int) float64 {
	return a.strengthNow(b) * either(a.rampNow(b) < 1, 1, 1-a.risk)
}

// plan is the table that a proxy should hold for a group: lines at home carry their listed weights. It holds
// until the next one of the group.
func (a *Assigner) plan(p *proxy, g int) tbl {
	group, be, row, can := &a.groups[g], &a.be, a.spill[g][p.zone], make([]float64, a.d.Zones)
	t := tbl{weight: append(group.next.weight[:0], make([]float64, len(be.zone))...), gates: group.next.gates[:0]}
	home, bare, inside, part, cold, in, warm := 1.0, true, false, noLevel, 0.0, 0.0, 0.0
	for b, y := range be.zone {
		if !group.open[b] || group.rule.OwnZone && y != p.zone {
			continue
		}
		inside = inside || p.may(b)
		if p.picked[b] && row[y] > 0 {
			can[y], bare = can[y]+a.strength[b], false
		}
	}
	if can[p.zone] > 0 {
		home = can[p.zone] / row[p.zone]
	}
	for b, y := range be.zone {
		switch {
		case !group.open[b] || group.rule.OwnZone && y != p.zone || inside && !p.may(b):
		case bare:
			t.weight[b] = a.strength[b] // wherever it is: no proxy is left without a line, confined or not
		case p.picked[b] && row[y] > 0:
			t.weight[b] = a.strength[b] / can[y] * row[y] * home
		}
		// While it has a cold line, it lets in what its lines can take of what all proxies here ask of them. Answers
		// a zone or fleet that comes back at once: ramped weights alone do nothing where all lines are cold.
		if w := t.weight[b]; w > 0 && a.lets[b] < noLevel {
			part, cold, in = min(part, a.lets[b]), cold+w, in+w*min(a.lets[b], 1)
		} else {
			warm += w
		}
	}
	// Its warm lines take what the cold ones cannot, up to a multiple of their part, before any is declined; what
	// voids elsewhere shows how far they are to be had.
	if more := min(cold+warm-in, warmMost*warm*(1-a.risk)); part < 1 && more > warm {
		for b, w := range t.weight {
			if w > 0 && a.lets[b] < noLevel {
				t.weight[b] = w * min(a.lets[b], 1) * warm / more
			}
		}
		part = (in + more) / (cold + warm)
	}
	// Further tries only after proof that the first never ran, which takes effect once for any product, and only
	// while answers are quick: after any failure, or between full backends, they feed an overload.
	tries := either(a.light && !p.still, TryUnrun, TryOnce)
	for _, k := range group.products {
		t.gates = append(t.gates, Gate{Level: a.levelOf(p, k, part), Tries: tries, Products: 1 << k})
	}
	group.next = t
	return t
}

// levelOf is the level to order; none while levels cover what is asked for. A proxy that has not reported yet
// starts with what it is said to get, by chance: after a restart callers may be asking again and again.
func (a *Assigner) levelOf(p *proxy, k int, part float64) float64 {
	level := noLevel
	if a.total > 0 && !a.free[k] {
		level = p.level[k]
	}
	// A level equal to a use of about a txn a second would decline half of it.
	level = max(level, min(level+letChance, capFor(min(level, letMost*p.use[k]), p.use[k])))
	if p.most > 0 && p.asked() > p.most { // a confined proxy that asks too much declines its own
		level = min(level, p.most*p.use[k]/p.asked())
	}
	switch {
	case a.d.Levels == LevelNone:
		return noLevel
	case a.d.Levels == LevelShare:
		return min(1, part, level/max(p.use[k], levelFloor))
	case part < 1:
		return min(level, either(a.rare, capFor(p.use[k]*part, p.use[k]), p.use[k]*part))
	case !p.heard:
		return min(level, max(capFor(letMost*p.asked(), p.asked()), levelFloor))
	case part < noLevel: // callers may ask far more than was heard of
		most := either(a.rare, a.atMost(p.use[k]), p.use[k])
		return min(level, max(p.use[k]*part, capFor(either(a.rare, letCold, letMost)*most, most)))
	}
	return level
}

const ( // what a Wake is for
	wakeTick = iota
	wakeAgain
)

const ( // urgencies, the most urgent first; only drains and withdrawals go before
	mustHave = iota // lines for a proxy that holds none of ours, or none at all
	mustEase        // weights of cold backends
	mayWait         // levels, and the rest
	nothing
)

func (a *Assigner) diff(i int) diff {
	p, groups := &a.px[i], len(a.groups)
	d := diff{proxy: i, urgency: nothing}
	need := func(o Order, urgency int) {
		d.orders, d.urgency = append(d.orders, o), min(d.urgency, urgency)
	}
	for g, group := range a.groups {
		next, held, id, bare := a.plan(p, g), &p.held[g], i*groups+g, true
		if held.weight = append(held.weight, make([]float64, len(next.weight)-len(held.weight))...); !p.bound {
			need(Clear{Table: id}, mustHave) // of an earlier stream's lines
		}
		for b, h := range held.weight {
			bare = bare && (h == 0 || a.be.out[b])
		}
		cold := false
		for b, w := range next.weight {
			h, out, urgency := held.weight[b], a.be.out[b], mayWait
			cold = cold || w > 0 && a.ramp[b] < 1
			switch {
			case w == h || w > 0 && h > 0 && math.Abs(w-h) < leastChange*h && !out,
				out && a.be.status[b] != Ready && (a.be.status[b] != Gone || a.now < a.be.goneAt[b]+goneKeep):
				next.weight[b] = h // what is shut out keeps its line
				continue
			case w == 0 && out:
				d.settles++ // it is let back as its last line goes, so that nothing of it remains
				urgency = either(a.be.status[b] == Gone, mayWait, mustEase)
			case w > 0 && bare:
				urgency = mustHave
			case w < h && (out || a.ramp[b] < 1):
				urgency = mustEase
			}
			if need(Line{Table: id, Backend: b, Weight: w}, urgency); p.brings && h == 0 {
				d.settles++
			}
		}
		for j := range next.gates {
			w := &next.gates[j]
			if w.Table = id; held.gates != nil && held.gates[j].Tries == w.Tries &&
				math.Abs(held.gates[j].Level-w.Level) <= leastChange*held.gates[j].Level {
				*w = held.gates[j]
				continue
			}
			need(*w, either(cold && held.gates != nil && w.Level < held.gates[j].Level, mustEase, mayWait))
		}
		if !p.bound {
			need(Use{Proxy: i, Table: id, Products: group.mask}, mustHave)
		}
	}
	if d.urgency < nothing {
		for _, group := range a.groups {
			d.next = append(d.next, tbl{weight: slices.Clone(group.next.weight), gates: slices.Clone(group.next.gates)})
		}
	}
	return d
}

// room says whether the part of what is allowed has room for lines, and for another message to each proxy. What
// can wait does so here and not in the channel, where it grows old and drains stand behind it: only shut-outs may
// take more of it than two seconds of its pace. Lines that no fence answers for may all wait still, however long
// ago they were written.
func (a *Assigner) room(part, lines float64, to ...*proxy) bool {
	most := either(part == 1, a.d.LinesMost, min(a.d.LinesMost, roomSpan*a.d.LinesPerS))
	for _, p := range to {
		if a.d.MessagesMost > 0 && float64(len(p.sent)+1) > part*float64(a.d.MessagesMost) {
			return false
		}
		lines += a.d.LinesHead + 1
	}
	return a.d.LinesMost == 0 || a.queue+lines <= part*most && a.waits+lines <= min((1+part)/2, roomSure)*most
}

// shut withdraws backends or lets them in again, all or none: one line for each proxy that has them, whatever
// its tables say, so that a drain of many reaches all in time.
func (a *Assigner) shut(out bool, part float64, backends ...int) bool {
	var to []*proxy
	var lines []float64
	sum := 0.0
	bound := out && float64(len(backends))+a.d.LinesHead+1 > roomSpan*a.paceEach() // sooner they are given a table of few lines
	for _, p := range a.in {
		n := 0.0
		for _, b := range backends {
			has := func(t tbl) bool { return b < len(t.weight) && t.weight[b] > 0 }
			if !p.bound && !bound || slices.ContainsFunc(p.held, has) {
				n++
			}
		}
		if n > 0 {
			to, lines, sum = append(to, p), append(lines, n), sum+n
		}
	}
	if !a.room(part, sum, to...) {
		return false
	}
	for i, p := range to {
		a.charge(p, lines[i])
	}
	for _, b := range backends {
		a.be.out[b] = out
		a.order(Withdraw{Backend: b, Out: out, Bound: bound})
	}
	for _, p := range to {
		p.bare = a.isBare(p)
	}
	return true
}

// cmpProxies puts the busiest first, but those that go by tables they brought along after those that have none.
func cmpProxies(p, q *proxy) int {
	return cmp.Or(cmp.Compare(either(p.most > 0, 1, 0), either(q.most > 0, 1, 0)),
		cmp.Compare(either(p.brought(), 1, 0), either(q.brought(), 1, 0)), cmp.Compare(q.asked(), p.asked()))
}

// emit orders differences, the busiest proxies first but for those that go by tables they brought along, as far as
// the part of the channel has room. A proxy gets its whole difference or nothing: what it holds was ordered so.
func (a *Assigner) emit(todo []diff, part float64) (all bool) {
	slices.SortStableFunc(todo, func(d, e diff) int {
		return cmp.Or(cmp.Compare(d.urgency, e.urgency), cmpProxies(&a.px[d.proxy], &a.px[e.proxy]))
	})
	all = true
	for _, d := range todo {
		p, cost := &a.px[d.proxy], float64(len(d.orders))+d.settles
		if !a.room(either(d.urgency == mustHave, roomHave, either(p.most > 0, min(part, roomRest), part)), cost, p) {
			all = false
			continue
		}
		a.orders = append(a.orders, d.orders...)
		a.charge(p, cost)
		p.held, p.bound = d.next, true
		p.bare = a.isBare(p)
	}
	return all
}

// drain works out which lines may still wait in the channel.
func (a *Assigner) drain() float64 {
	// Fences show what has left; a slowed channel keeps part of its pace. Answers a channel that was quiet for
	// long: only what waits can have left, and each proxy answers for its own messages.
	may := 0.0
	a.waits = 0
	for _, p := range a.in {
		p.sent = slices.DeleteFunc(p.sent, func(m message) bool {
			return a.now-m.at > a.d.MessagesOver+Second && !a.inChannel(m)
		})
		for _, m := range p.sent {
			may += either(a.inChannel(m), m.cost, 0)
			a.waits += either(a.inChannel(m) && a.now < m.at+sureFor, m.cost, 0)
		}
	}
	a.queue -= slowChan * a.d.LinesPerS * float64(a.now-a.queueAt) / float64(Second)
	a.queue, a.queueAt = min(max(a.queue, 0), may), a.now
	return a.queue
}

// withdraw shuts out what drains or is gone. Picks come after it: who has nothing usable is known then.
func (a *Assigner) withdraw() {
	a.urgent = false
	for b, s := range a.be.status {
		if s != Ready && !a.be.out[b] && a.be.weight[b] > 0 && !a.shut(true, 1, b) {
			a.urgent = true // with the next events
		}
	}
}

// reconcile emits what the proxies lack, the most urgent first: between ticks only what those want that have nothing
// usable. They are looked at as far as the channel has room, which bounds a step's work while thousands wait.
func (a *Assigner) reconcile(tick bool) {
	var urgent, rest []diff
	needy, all := either(a.d.Slices > 0, nil, a.needy()), true // tables of slices belong to the store
	slices.SortStableFunc(needy, cmpProxies)
	for _, p := range needy {
		if all = all && a.room(roomHave, a.d.LinesHead+2); !all {
			break
		} else if d := a.diff(p.index); d.urgency == mustHave {
			all = a.emit([]diff{d}, roomUrgent)
		}
	}
	for i := 0; i < len(a.px) && tick && a.d.Slices == 0; i++ {
		if a.px[i].joined && a.px[i].bound {
			if d := a.diff(i); d.urgency <= mustEase {
				urgent = append(urgent, d)
			} else if d.urgency < nothing {
				rest = append(rest, d)
			}
		}
	}
	// Backends come back in once all lines that are too heavy for them are out, and all of them together: those
	// let in alone would get what their tables hold for the others.
	all = a.emit(urgent, roomUrgent) && all
	if !all && !a.again { // sooner than the tick, so that the channel does not run dry meanwhile
		a.again = true
		a.order(Wake{After: roomAgain, Name: wakeAgain})
	}
	if all && tick {
		var back []int
		for b, out := range a.be.out {
			if out && a.ready[b] {
				back = append(back, b)
			}
		}
		a.shut(false, roomUrgent, back...)
	}
	a.emit(rest, roomRest)
}
