package policy

import (
	"cmp"
	"math"
	"slices"
)

// Urgencies of changes, most urgent first. Withdrawals precede all of them.
const (
	urgencyCritical = iota // the proxy has no usable backend or no table from this controller
	urgencyDerate          // lowers the weight of backends in slow start
	urgencyLow             // everything else
	urgencyNone
)

// pendingChange returns the orders that bring a proxy's installed tables to the planned ones.
func (a *Assigner) pendingChange(i int) change {
	p, c := &a.proxies[i], change{proxy: i, urgency: urgencyNone}
	for g := range a.groups {
		id, next, installed := i*len(a.groups)+g, a.planTable(p, g), &p.installed[g]
		if !p.assigned {
			c.add(ClearTable{Table: id}, urgencyCritical) // removes lines of an earlier stream
		}
		inSlowStart := a.addWeights(&c, p, id, installed, next)
		addAdmissions(&c, id, installed, next, inSlowStart)
		if !p.assigned {
			c.add(AssignTable{Proxy: i, Table: id, Products: a.groups[g].mask}, urgencyCritical)
		}
	}
	for g := 0; g < len(a.groups) && c.urgency < urgencyNone; g++ {
		next := a.groups[g].planned
		t := table{weight: slices.Clone(next.weight), admissions: slices.Clone(next.admissions)}
		c.tables = append(c.tables, t)
	}
	return c
}

// addWeights adds the lines of a table that differ from the installed ones. Differences too small to send keep the
// installed value. It reports whether any backend of the table is in slow start.
func (a *Assigner) addWeights(c *change, p *proxy, id int, installed *table, next table) (inSlowStart bool) {
	missing := len(next.weight) - len(installed.weight)
	installed.weight = append(installed.weight, make([]float64, missing)...)
	stranded := true
	for b, before := range installed.weight {
		stranded = stranded && (before == 0 || a.backends.withdrawn[b])
	}
	for b, w := range next.weight {
		before, withdrawn := installed.weight[b], a.backends.withdrawn[b]
		inSlowStart = inSlowStart || w > 0 && a.slowStart[b] < 1
		if a.staysInstalled(b, before, w) {
			next.weight[b] = before
			continue
		}
		urgency := urgencyLow
		switch {
		case w == 0 && withdrawn:
			c.extraLines++ // cost of readmitting the backend after its last line is removed
			urgency = ifElse(a.backends.status[b] == Gone, urgencyLow, urgencyDerate)
		case w > 0 && stranded:
			urgency = urgencyCritical
		case w < before && (withdrawn || a.slowStart[b] < 1):
			urgency = urgencyDerate
		}
		c.add(SetWeight{Table: id, Backend: b, Weight: w}, urgency)
		if p.hasPeerTables && before == 0 {
			c.extraLines++
		}
	}
	return inSlowStart
}

// staysInstalled reports whether a line is not worth sending: its change is small, or a withdrawn backend may return.
func (a *Assigner) staysInstalled(b int, before, w float64) bool {
	if a.backends.withdrawn[b] {
		isKept := a.backends.status[b] == Draining || a.now < a.backends.goneAt[b]+goneRetention
		return w == before || a.backends.status[b] != Ready && isKept
	}
	return w == before || w > 0 && before > 0 && math.Abs(w-before) < minChange*before
}

// addAdmissions adds the rate limits and retry modes of a table that differ from the installed ones.
func addAdmissions(c *change, id int, installed *table, next table, inSlowStart bool) {
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
		c.add(*w, ifElse(inSlowStart && w.RateLimit < before.RateLimit, urgencyDerate, urgencyLow))
	}
}

// hasRoom reports whether the given fraction of the channel's allowance has room for more lines and one more message to
// each proxy. Changes other than withdrawals wait here, not in the channel, where they would go stale and delay
// withdrawals. They may fill at most queueSeconds of the channel's pace.
func (a *Assigner) hasRoom(fraction, lines float64, to ...*proxy) bool {
	allowed := a.conf.MaxQueuedLines
	if fraction != 1 {
		allowed = min(allowed, queueSeconds*a.conf.LinesPerSecond)
	}
	for _, p := range to {
		if a.conf.MaxMessages > 0 && float64(len(p.sent)+1) > fraction*float64(a.conf.MaxMessages) {
			return false
		}
		lines += a.conf.MessageOverhead + 1
	}
	fits := a.queuedLines+lines <= fraction*allowed && a.unackedLines+lines <= min((1+fraction)/2, maxUnacked)*allowed
	return a.conf.MaxQueuedLines == 0 || fits
}

// setWithdrawn withdraws backends or readmits them, all or none. It costs one line per backend and proxy regardless of
// the number of tables, so that even a large drain reaches all proxies in time.
func (a *Assigner) setWithdrawn(withdrawn bool, fraction float64, backends ...int) bool {
	to, lines, sum := []*proxy{}, []float64{}, 0.0
	// Proxies on a peer's tables get a small table of this controller sooner than a long list of withdrawals.
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
	if !a.hasRoom(fraction, sum, to...) {
		return false
	}
	for _, b := range backends {
		a.backends.withdrawn[b] = withdrawn
		a.emit(Withdraw{Backend: b, Withdrawn: withdrawn, Deferred: deferred})
	}
	for i, p := range to {
		a.charge(p, lines[i])
		p.stranded = a.isStranded(p)
	}
	return true
}

// compareProxies sorts proxies by priority: those without tables, then those on a peer's tables, then those with a
// MaxRate, each class by falling rate.
func compareProxies(p, q *proxy) int {
	return cmp.Or(
		cmp.Compare(ifElse(p.maxRate > 0, 1, 0), ifElse(q.maxRate > 0, 1, 0)),
		cmp.Compare(ifElse(p.usesPeerTables(), 1, 0), ifElse(q.usesPeerTables(), 1, 0)),
		cmp.Compare(q.totalRate(), p.totalRate()))
}

// send emits changes, most urgent first, as far as the given fraction of the channel's allowance has room. It reports
// whether all were emitted. A proxy gets its whole change or nothing, so that the installed tables stay known.
func (a *Assigner) send(changes []change, fraction float64) (all bool) {
	slices.SortStableFunc(changes, func(c, d change) int {
		return cmp.Or(cmp.Compare(c.urgency, d.urgency), compareProxies(&a.proxies[c.proxy], &a.proxies[d.proxy]))
	})
	all = true
	for _, c := range changes {
		p, lines := &a.proxies[c.proxy], float64(len(c.orders))+c.extraLines
		allowed := ifElse(p.maxRate > 0, min(fraction, roomRest), fraction)
		if !a.hasRoom(ifElse(c.urgency == urgencyCritical, roomCritical, allowed), lines, p) {
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

// withdrawDraining withdraws draining and removed backends. It runs before setSubsets, which needs to know which
// proxies are left without a usable backend.
func (a *Assigner) withdrawDraining() {
	a.urgent = false
	for b, s := range a.backends.status {
		if s != Ready && !a.backends.withdrawn[b] && a.backends.weight[b] > 0 && !a.setWithdrawn(true, 1, b) {
			a.urgent = true // retries in the next step
		}
	}
}

// reconcile sends pending changes, most urgent first. Between ticks it serves only proxies without a usable backend.
func (a *Assigner) reconcile(tick bool) {
	all := a.conf.Shards > 0 || a.serveStranded() // shard tables belong to the store
	var urgent, rest []change
	for _, p := range a.connected {
		if !tick || !p.assigned || a.conf.Shards > 0 {
			continue
		}
		if c := a.pendingChange(p.index); c.urgency <= urgencyDerate {
			urgent = append(urgent, c)
		} else if c.urgency < urgencyNone {
			rest = append(rest, c)
		}
	}
	all = a.send(urgent, roomUrgent) && all
	if !all && !a.retryPending { // before the next tick, so that the channel does not idle
		a.retryPending = true
		a.emit(SetTimer{Delay: roomRetryInterval, Name: timerRetry})
	}
	// Backends are readmitted together, and only after all lines that are too heavy for them are corrected: a backend
	// readmitted alone would get the traffic that its tables assign to the others.
	if all && tick {
		a.setWithdrawn(false, roomUrgent, a.withdrawnReady()...)
	}
	a.send(rest, roomRest)
}

// serveStranded sends tables to proxies without a usable backend and reports whether all were served. It stops when the
// channel is full, which bounds the work of a step.
func (a *Assigner) serveStranded() bool {
	stranded := a.strandedProxies()
	slices.SortStableFunc(stranded, compareProxies)
	for _, p := range stranded {
		if !a.hasRoom(roomCritical, a.conf.MessageOverhead+2) {
			return false
		}
		c := a.pendingChange(p.index)
		if c.urgency == urgencyCritical && !a.send([]change{c}, roomUrgent) {
			return false
		}
	}
	return true
}
