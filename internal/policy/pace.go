package policy

import (
	"cmp"
	"math"
	"slices"
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
	need := func(o Order, urgency int) { d.orders, d.urgency = append(d.orders, o), min(d.urgency, urgency) }
	for g, group := range a.groups {
		next, held, id, bare, cold := a.plan(p, g), &p.held[g], i*groups+g, true, false
		if held.weight = append(held.weight, make([]float64, len(next.weight)-len(held.weight))...); !p.bound {
			need(Clear{Table: id}, mustHave) // of an earlier stream's lines
		}
		for b, h := range held.weight {
			bare = bare && (h == 0 || a.be.out[b])
		}
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
	for g := 0; g < groups && d.urgency < nothing; g++ {
		next := a.groups[g].next
		d.next = append(d.next, tbl{weight: slices.Clone(next.weight), gates: slices.Clone(next.gates)})
	}
	return d
}

// room says whether the part of what is allowed has room for lines, and for another message to each proxy. What can
// wait does so here and not in the channel, where it grows old and drains stand behind it: only shut-outs may take
// more than two seconds of its pace. What no fence answers for may all wait still, however long ago it was written.
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
	to, lines, sum := []*proxy{}, []float64{}, 0.0
	// Else they are given a table of few lines sooner.
	bound := out && float64(len(backends))+a.d.LinesHead+1 > roomSpan*a.paceEach()
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
	for _, b := range backends {
		a.be.out[b] = out
		a.order(Withdraw{Backend: b, Out: out, Bound: bound})
	}
	for i, p := range to {
		a.charge(p, lines[i])
		p.bare = a.isBare(p)
	}
	return true
}

// cmpProxies puts those that are bounded last, before them those that go by tables they brought; the busiest first.
func cmpProxies(p, q *proxy) int {
	return cmp.Or(cmp.Compare(either(p.most > 0, 1, 0), either(q.most > 0, 1, 0)),
		cmp.Compare(either(p.brought(), 1, 0), either(q.brought(), 1, 0)), cmp.Compare(q.asked(), p.asked()))
}

// emit orders differences, the most urgent first, as far as the part of the channel has room; it says whether all
// went out. A proxy gets its whole difference or nothing: what it holds was ordered so.
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
	for _, p := range a.in {
		if !tick || !p.bound || a.d.Slices > 0 {
		} else if d := a.diff(p.index); d.urgency <= mustEase {
			urgent = append(urgent, d)
		} else if d.urgency < nothing {
			rest = append(rest, d)
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
