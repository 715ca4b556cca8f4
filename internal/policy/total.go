package policy

import (
	"cmp"
	"slices"
)

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
		a.pace = max(a.pace, either(a.light, min(a.served, served)/able, 0))
	}
	// Reports that stand for long say nothing yet of what a cut did, nor of what was served before it: another cut
	// waits for that long, the knee is the best that was, and the total goes back to it without being told.
	sparse := a.span > spanLong
	again := cutAgain + Time(either(sparse, a.span, 0)*float64(Second))
	best := max(a.served, either(sparse, a.pace*a.able, 0))
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
		p.level[k] = max(p.level[k]+either(isBusy[i], freed/busy, 0)-floor, 0)
		above += p.level[k]
	}
	for _, p := range in {
		p.level[k] = p.level[k]*either(above > 0, (total-n*floor)/above, 1) + floor
	}
}
