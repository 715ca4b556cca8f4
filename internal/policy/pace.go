package policy

import (
	"cmp"
	"math"
	"slices"
)

const ( // urgencies, the most urgent first; only drains and withdrawals go before
	urgencyNeeded = iota // lines for a proxy that holds none of ours, or none at all
	urgencyDerate        // weights of cold backends
	urgencyLow           // levels, and the rest
	urgencyNone
)

func (a *Assigner) changesOf(i int) change {
	p, groups := &a.proxies[i], len(a.groups)
	d := change{proxy: i, urgency: urgencyNone}
	need := func(o Order, urgency int) { d.orders, d.urgency = append(d.orders, o), min(d.urgency, urgency) }
	for g, group := range a.groups {
		next, held, id, bare, cold := a.planTable(p, g), &p.installed[g], i*groups+g, true, false
		if held.weight = append(held.weight, make([]float64, len(next.weight)-len(held.weight))...); !p.assigned {
			need(ClearTable{Table: id}, urgencyNeeded) // of an earlier stream's lines
		}
		for b, h := range held.weight {
			bare = bare && (h == 0 || a.backends.withdrawn[b])
		}
		for b, w := range next.weight {
			h, out, urgency := held.weight[b], a.backends.withdrawn[b], urgencyLow
			cold = cold || w > 0 && a.slowStart[b] < 1
			switch {
			case w == h || w > 0 && h > 0 && math.Abs(w-h) < minChange*h && !out,
				out && a.backends.status[b] != Ready && (a.backends.status[b] != Gone || a.now < a.backends.goneAt[b]+goneRetention):
				next.weight[b] = h // what is shut out keeps its line
				continue
			case w == 0 && out:
				d.extraLines++ // it is let back as its last line goes, so that nothing of it remains
				urgency = either(a.backends.status[b] == Gone, urgencyLow, urgencyDerate)
			case w > 0 && bare:
				urgency = urgencyNeeded
			case w < h && (out || a.slowStart[b] < 1):
				urgency = urgencyDerate
			}
			if need(SetWeight{Table: id, Backend: b, Weight: w}, urgency); p.bringsTables && h == 0 {
				d.extraLines++
			}
		}
		for j := range next.admissions {
			w := &next.admissions[j]
			if w.Table = id; held.admissions != nil && held.admissions[j].Retries == w.Retries &&
				math.Abs(held.admissions[j].RateLimit-w.RateLimit) <= minChange*held.admissions[j].RateLimit {
				*w = held.admissions[j]
				continue
			}
			need(*w, either(cold && held.admissions != nil && w.RateLimit < held.admissions[j].RateLimit, urgencyDerate, urgencyLow))
		}
		if !p.assigned {
			need(AssignTable{Proxy: i, Table: id, Products: group.mask}, urgencyNeeded)
		}
	}
	for g := 0; g < groups && d.urgency < urgencyNone; g++ {
		next := a.groups[g].planned
		d.tables = append(d.tables, table{weight: slices.Clone(next.weight), admissions: slices.Clone(next.admissions)})
	}
	return d
}

// hasRoom says whether the part of what is allowed has room for lines, and for another message to each proxy. What can
// wait does so here and not in the channel, where it grows old and drains stand behind it: only shut-outs may take
// more than two seconds of its pace. What no fence answers for may all wait still, however long ago it was written.
func (a *Assigner) hasRoom(part, lines float64, to ...*proxy) bool {
	most := either(part == 1, a.conf.MaxQueuedLines, min(a.conf.MaxQueuedLines, queueSeconds*a.conf.LinesPerSecond))
	for _, p := range to {
		if a.conf.MaxMessages > 0 && float64(len(p.sent)+1) > part*float64(a.conf.MaxMessages) {
			return false
		}
		lines += a.conf.MessageOverhead + 1
	}
	return a.conf.MaxQueuedLines == 0 || a.queuedLines+lines <= part*most && a.unackedLines+lines <= min((1+part)/2, maxUnacked)*most
}

// setWithdrawn withdraws backends or lets them in again, all or none: one line for each proxy that has them, whatever
// its tables say, so that a drain of many reaches all in time.
func (a *Assigner) setWithdrawn(out bool, part float64, backends ...int) bool {
	to, lines, sum := []*proxy{}, []float64{}, 0.0
	// Else they are given a table of few lines sooner.
	bound := out && float64(len(backends))+a.conf.MessageOverhead+1 > queueSeconds*a.linesPerSecondEach()
	for _, p := range a.connected {
		n := 0.0
		for _, b := range backends {
			has := func(t table) bool { return b < len(t.weight) && t.weight[b] > 0 }
			if !p.assigned && !bound || slices.ContainsFunc(p.installed, has) {
				n++
			}
		}
		if n > 0 {
			to, lines, sum = append(to, p), append(lines, n), sum+n
		}
	}
	if !a.hasRoom(part, sum, to...) {
		return false
	}
	for _, b := range backends {
		a.backends.withdrawn[b] = out
		a.order(Withdraw{Backend: b, Withdrawn: out, Deferred: bound})
	}
	for i, p := range to {
		a.charge(p, lines[i])
		p.stranded = a.isStranded(p)
	}
	return true
}

// compareProxies puts those that are bounded last, before them those that go by tables they brought; the busiest first.
func compareProxies(p, q *proxy) int {
	return cmp.Or(cmp.Compare(either(p.maxRate > 0, 1, 0), either(q.maxRate > 0, 1, 0)),
		cmp.Compare(either(p.onForeignTables(), 1, 0), either(q.onForeignTables(), 1, 0)), cmp.Compare(q.totalUse(), p.totalUse()))
}

// send orders differences, the most urgent first, as far as the part of the channel has room; it says whether all
// went out. A proxy gets its whole difference or nothing: what it holds was ordered so.
func (a *Assigner) send(todo []change, part float64) (all bool) {
	slices.SortStableFunc(todo, func(d, e change) int {
		return cmp.Or(cmp.Compare(d.urgency, e.urgency), compareProxies(&a.proxies[d.proxy], &a.proxies[e.proxy]))
	})
	all = true
	for _, d := range todo {
		p, cost := &a.proxies[d.proxy], float64(len(d.orders))+d.extraLines
		if !a.hasRoom(either(d.urgency == urgencyNeeded, roomNeeded, either(p.maxRate > 0, min(part, roomRest), part)), cost, p) {
			all = false
			continue
		}
		a.orders = append(a.orders, d.orders...)
		a.charge(p, cost)
		p.installed, p.assigned = d.tables, true
		p.stranded = a.isStranded(p)
	}
	return all
}

// updateQueue works out which lines may still wait in the channel.
func (a *Assigner) updateQueue() float64 {
	// Fences show what has left; a slowed channel keeps part of its pace. Answers a channel that was quiet for
	// long: only what waits can have left, and each proxy answers for its own messages.
	may := 0.0
	a.unackedLines = 0
	for _, p := range a.connected {
		p.sent = slices.DeleteFunc(p.sent, func(m message) bool {
			return a.now-m.sentAt > a.conf.MessageWindow+Second && !a.inChannel(m)
		})
		for _, m := range p.sent {
			may += either(a.inChannel(m), m.cost, 0)
			a.unackedLines += either(a.inChannel(m) && a.now < m.sentAt+unackedTimeout, m.cost, 0)
		}
	}
	a.queuedLines -= slowChannelPart * a.conf.LinesPerSecond * float64(a.now-a.queuedAt) / float64(Second)
	a.queuedLines, a.queuedAt = min(max(a.queuedLines, 0), may), a.now
	return a.queuedLines
}

// withdrawDraining shuts out what drains or is gone. Picks come after it: who has nothing usable is known then.
func (a *Assigner) withdrawDraining() {
	a.urgent = false
	for b, s := range a.backends.status {
		if s != Ready && !a.backends.withdrawn[b] && a.backends.weight[b] > 0 && !a.setWithdrawn(true, 1, b) {
			a.urgent = true // with the next events
		}
	}
}

// reconcile emits what the proxies lack, the most urgent first: between ticks only what those want that have nothing
// usable. They are looked at as far as the channel has room, which bounds a step's work while thousands wait.
func (a *Assigner) reconcile(tick bool) {
	var urgent, rest []change
	needy, all := either(a.conf.Shards > 0, nil, a.strandedProxies()), true // tables of slices belong to the store
	slices.SortStableFunc(needy, compareProxies)
	for _, p := range needy {
		if all = all && a.hasRoom(roomNeeded, a.conf.MessageOverhead+2); !all {
			break
		} else if d := a.changesOf(p.index); d.urgency == urgencyNeeded {
			all = a.send([]change{d}, roomUrgent)
		}
	}
	for _, p := range a.connected {
		if !tick || !p.assigned || a.conf.Shards > 0 {
		} else if d := a.changesOf(p.index); d.urgency <= urgencyDerate {
			urgent = append(urgent, d)
		} else if d.urgency < urgencyNone {
			rest = append(rest, d)
		}
	}
	// Backends come back in once all lines that are too heavy for them are out, and all of them together: those
	// let in alone would get what their tables hold for the others.
	all = a.send(urgent, roomUrgent) && all
	if !all && !a.retryPending { // sooner than the tick, so that the channel does not run dry meanwhile
		a.retryPending = true
		a.order(SetTimer{Delay: roomRetryInterval, Name: timerRetry})
	}
	if all && tick {
		var back []int
		for b, out := range a.backends.withdrawn {
			if out && a.ready[b] {
				back = append(back, b)
			}
		}
		a.setWithdrawn(false, roomUrgent, back...)
	}
	a.send(rest, roomRest)
}
