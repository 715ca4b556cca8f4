package policy

import (
	"cmp"
	"math"
	"slices"
)

// Urgencies of changes, the most urgent first; only withdrawals go before.
const (
	urgencyNeeded = iota // lines for a proxy that has none of ours, or no usable backend
	urgencyDerate        // less weight for backends in slow start
	urgencyLow           // limits, and the rest
	urgencyNone
)

// changesOf is what a proxy lacks.
func (a *Assigner) changesOf(i int) change {
	p, c := &a.proxies[i], change{proxy: i, urgency: urgencyNone}
	for g := range a.groups {
		id, next, installed := i*len(a.groups)+g, a.planTable(p, g), &p.installed[g]
		if !p.assigned {
			c.add(ClearTable{Table: id}, urgencyNeeded) // of an earlier stream's lines
		}
		warmsUp := a.addWeights(&c, p, id, installed, next)
		addAdmissions(&c, id, installed, next, warmsUp)
		if !p.assigned {
			c.add(AssignTable{Proxy: i, Table: id, Products: a.groups[g].mask}, urgencyNeeded)
		}
	}
	for g := 0; g < len(a.groups) && c.urgency < urgencyNone; g++ {
		next := a.groups[g].planned
		t := table{weight: slices.Clone(next.weight), admissions: slices.Clone(next.admissions)}
		c.tables = append(c.tables, t)
	}
	return c
}

// addWeights adds the lines in which a table differs; a line that is not worth it stays as it is installed. It reports
// whether any backend of the table is in slow start.
func (a *Assigner) addWeights(c *change, p *proxy, id int, installed *table, next table) (warmsUp bool) {
	missing := len(next.weight) - len(installed.weight)
	installed.weight = append(installed.weight, make([]float64, missing)...)
	stranded := true
	for b, before := range installed.weight {
		stranded = stranded && (before == 0 || a.backends.withdrawn[b])
	}
	for b, w := range next.weight {
		before, withdrawn := installed.weight[b], a.backends.withdrawn[b]
		warmsUp = warmsUp || w > 0 && a.slowStart[b] < 1
		if a.staysInstalled(b, before, w) {
			next.weight[b] = before
			continue
		}
		urgency := urgencyLow
		switch {
		case w == 0 && withdrawn:
			c.extraLines++ // it is let in again as its last line goes, so that nothing of it remains
			urgency = either(a.backends.status[b] == Gone, urgencyLow, urgencyDerate)
		case w > 0 && stranded:
			urgency = urgencyNeeded
		case w < before && (withdrawn || a.slowStart[b] < 1):
			urgency = urgencyDerate
		}
		c.add(SetWeight{Table: id, Backend: b, Weight: w}, urgency)
		if p.bringsTables && before == 0 {
			c.extraLines++
		}
	}
	return warmsUp
}

// staysInstalled reports whether a line stays as it is: a small change is not worth a line, and what is withdrawn keeps
// its lines for as long as it may come back.
func (a *Assigner) staysInstalled(b int, before, w float64) bool {
	if a.backends.withdrawn[b] {
		isKept := a.backends.status[b] == Draining || a.now < a.backends.goneAt[b]+goneRetention
		return w == before || a.backends.status[b] != Ready && isKept
	}
	return w == before || w > 0 && before > 0 && math.Abs(w-before) < minChange*before
}

func addAdmissions(c *change, id int, installed *table, next table, warmsUp bool) {
	for j := range next.admissions {
		w := &next.admissions[j]
		w.Table = id
		if installed.admissions == nil {
			c.add(*w, urgencyLow)
			continue
		}
		before := installed.admissions[j]
		if before.Retries == w.Retries && math.Abs(before.RateLimit-w.RateLimit) <= minChange*before.RateLimit {
			*w = before
			continue
		}
		c.add(*w, either(warmsUp && w.RateLimit < before.RateLimit, urgencyDerate, urgencyLow))
	}
}

// hasRoom reports whether the part of what is allowed has room for lines, and for another message to each proxy. What
// can wait does so here and not in the channel, where it grows old and withdrawals stand behind it: only these may take
// more than two seconds of its pace. What nobody acknowledged may still wait, however long ago it was written.
func (a *Assigner) hasRoom(part, lines float64, to ...*proxy) bool {
	allowed := a.conf.MaxQueuedLines
	if part != 1 {
		allowed = min(allowed, queueSeconds*a.conf.LinesPerSecond)
	}
	for _, p := range to {
		if a.conf.MaxMessages > 0 && float64(len(p.sent)+1) > part*float64(a.conf.MaxMessages) {
			return false
		}
		lines += a.conf.MessageOverhead + 1
	}
	fits := a.queuedLines+lines <= part*allowed && a.unackedLines+lines <= min((1+part)/2, maxUnacked)*allowed
	return a.conf.MaxQueuedLines == 0 || fits
}

// setWithdrawn withdraws backends or lets them in again, all or none: one line for each proxy that has them, whatever
// its tables say, so that a drain of many reaches all in time.
func (a *Assigner) setWithdrawn(withdrawn bool, part float64, backends ...int) bool {
	to, lines, sum := []*proxy{}, []float64{}, 0.0
	// Proxies on tables that they brought are otherwise given a table of few lines sooner.
	deferred := withdrawn && float64(len(backends))+a.conf.MessageOverhead+1 > queueSeconds*a.linesPerSecondEach()
	for _, p := range a.connected {
		n := 0.0
		for _, b := range backends {
			if !p.assigned && !deferred || p.hasLine(b) {
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
		a.backends.withdrawn[b] = withdrawn
		a.order(Withdraw{Backend: b, Withdrawn: withdrawn, Deferred: deferred})
	}
	for i, p := range to {
		a.charge(p, lines[i])
		p.stranded = a.isStranded(p)
	}
	return true
}

// compareProxies puts those with a limit of their own last, before them those on tables that they brought; the busiest
// first.
func compareProxies(p, q *proxy) int {
	return cmp.Or(
		cmp.Compare(either(p.maxRate > 0, 1, 0), either(q.maxRate > 0, 1, 0)),
		cmp.Compare(either(p.onForeignTables(), 1, 0), either(q.onForeignTables(), 1, 0)),
		cmp.Compare(q.totalUse(), p.totalUse()))
}

// send orders changes, the most urgent first, as far as the part of the channel has room; it reports whether all went
// out. A proxy gets its whole change or nothing: what is installed there was ordered so.
func (a *Assigner) send(changes []change, part float64) (all bool) {
	slices.SortStableFunc(changes, func(c, d change) int {
		return cmp.Or(cmp.Compare(c.urgency, d.urgency), compareProxies(&a.proxies[c.proxy], &a.proxies[d.proxy]))
	})
	all = true
	for _, c := range changes {
		p, lines := &a.proxies[c.proxy], float64(len(c.orders))+c.extraLines
		mayTake := either(p.maxRate > 0, min(part, roomRest), part)
		if !a.hasRoom(either(c.urgency == urgencyNeeded, roomNeeded, mayTake), lines, p) {
			all = false
			continue
		}
		a.orders = append(a.orders, c.orders...)
		a.charge(p, lines)
		p.installed, p.assigned = c.tables, true
		p.stranded = a.isStranded(p)
	}
	return all
}

// withdrawDraining withdraws what drains or is gone. Subsets come after it: who has no usable backend is known then.
func (a *Assigner) withdrawDraining() {
	a.urgent = false
	for b, s := range a.backends.status {
		if s != Ready && !a.backends.withdrawn[b] && a.backends.weight[b] > 0 && !a.setWithdrawn(true, 1, b) {
			a.urgent = true // with the next events
		}
	}
}

// reconcile sends what the proxies lack, the most urgent first: between ticks only to those that lack a usable backend.
func (a *Assigner) reconcile(tick bool) {
	all := a.conf.Shards > 0 || a.serveStranded() // tables of shards belong to the store
	var urgent, rest []change
	for _, p := range a.connected {
		if !tick || !p.assigned || a.conf.Shards > 0 {
			continue
		}
		if c := a.changesOf(p.index); c.urgency <= urgencyDerate {
			urgent = append(urgent, c)
		} else if c.urgency < urgencyNone {
			rest = append(rest, c)
		}
	}
	all = a.send(urgent, roomUrgent) && all
	if !all && !a.retryPending { // sooner than the tick, so that the channel does not run dry meanwhile
		a.retryPending = true
		a.order(SetTimer{Delay: roomRetryInterval, Name: timerRetry})
	}
	// Backends are let in again once all lines that are too heavy for them are out, and all of them together: those let
	// in alone would get what their tables have for the others.
	if all && tick {
		a.setWithdrawn(false, roomUrgent, a.withdrawnReady()...)
	}
	a.send(rest, roomRest)
}

// serveStranded serves the proxies that lack a usable backend, as far as the channel has room, which bounds a step's
// work while thousands wait. It reports whether all were.
func (a *Assigner) serveStranded() bool {
	stranded := a.strandedProxies()
	slices.SortStableFunc(stranded, compareProxies)
	for _, p := range stranded {
		if !a.hasRoom(roomNeeded, a.conf.MessageOverhead+2) {
			return false
		}
		c := a.changesOf(p.index)
		if c.urgency == urgencyNeeded && !a.send([]change{c}, roomUrgent) {
			return false
		}
	}
	return true
}
