package policy

import (
	"cmp"
	"math"
)

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
		// A new start, also of one that still stands in tables: it is cold, and what was heard of it holds no longer.
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

// judge looks at what was heard since the last tick: who is hot, and whether all are.
func (a *Assigner) judge() {
	// Where news are rare all that was heard counts, as far as it is relied on: else the own zone is taken for the fleet.
	be, sla, news, v := &a.be, a.sla(), false, a.vote()
	fails, took, mid := v.fails, v.took, midst(v.allTook, a.rare)
	a.bad, a.took = midst(v.allFails, a.rare), midst(v.allNext, a.rare)
	a.risk = max(a.bad, midst(v.caution, a.rare))
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
