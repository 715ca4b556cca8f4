package eventloop

import (
	"slices"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// execute executes the orders of a step and sends one message to each affected proxy. Messages go out in the order in
// which the orders first affect the proxies.
func (l *Loop) execute(orders []policy.Order) {
	l.marker, l.markAllProxies = none, false
	for _, o := range orders {
		l.executeOne(o)
	}
	if l.markAllProxies {
		for i := range l.proxies {
			l.addRecipient(i)
		}
	}
	for _, i := range l.recipients {
		l.send(&l.proxies[i])
	}
	for _, t := range l.dirtyTables {
		t := &l.tables[t]
		t.changedWeights, t.changedAdmissions, t.isCleared, t.isDirty = t.changedWeights[:0], 0, false, false
	}
	l.dirtyTables, l.withdrawalOrders, l.recipients = l.dirtyTables[:0], l.withdrawalOrders[:0], l.recipients[:0]
}

func (l *Loop) executeOne(o policy.Order) {
	switch o := o.(type) {
	case policy.SetWeight:
		t := l.table(o.Table)
		t.weight = append(t.weight, make([]float64, max(o.Backend+1-len(t.weight), 0))...)
		t.weight[o.Backend], t.changedWeights = o.Weight, append(t.changedWeights, o.Backend)
		l.addTableUsers(o.Table)
	case policy.ClearTable:
		t := l.table(o.Table)
		clear(t.weight)
		clear(t.hasAdmission)
		t.isCleared, t.changedWeights, t.changedAdmissions = true, nil, 0
		l.addTableUsers(o.Table)
	case policy.Admission:
		l.setAdmission(o)
	case policy.AssignTable:
		l.assignTable(o)
	case policy.Withdraw:
		l.withdraw(o)
	case policy.Marker:
		l.marker, l.markAllProxies = o.Number, o.All
	case policy.SetTimer:
		l.timers = append(l.timers, timer{at: l.now + max(o.Delay, 0), name: o.Name})
	case policy.WatchList:
		l.lists.Follow(o.Enabled)
	case policy.ReloadList:
		l.lists.Reload()
	case policy.Log:
		l.log.Info(o.Text)
	default: // the deployment enables no other kinds
		if !l.warnedUnsupported {
			l.warnedUnsupported = true
			l.log.Warnf("ignoring unsupported policy orders of type %T", o)
		}
	}
}

// addRecipient marks a connected proxy to get a message in this step.
func (l *Loop) addRecipient(i int) {
	if p := &l.proxies[i]; p.stream != nil && !p.isRecipient {
		p.isRecipient, l.recipients = true, append(l.recipients, i)
	}
}

// addTableUsers marks the proxies that use a table. It avoids a scan of all proxies, since tables are as numerous.
func (l *Loop) addTableUsers(table int) {
	for _, i := range l.tables[table].users {
		l.addRecipient(i)
	}
}

func (l *Loop) setAdmission(o policy.Admission) {
	t := l.table(o.Table)
	for k := range l.products {
		if hasProduct(o.Products, k) {
			t.admissions[k], t.hasAdmission[k], t.changedAdmissions = o, true, t.changedAdmissions|1<<k
		}
	}
	l.addTableUsers(o.Table)
}

// hasProduct reports whether a mask contains a product. An empty mask contains all.
func hasProduct(mask uint16, k int) bool { return mask == 0 || mask>>k&1 > 0 }

func (l *Loop) assignTable(o policy.AssignTable) {
	p := &l.proxies[o.Proxy]
	if p.stream == nil {
		return
	}
	l.table(o.Table)
	l.removeUser(o.Proxy)
	for k := range p.tables {
		if hasProduct(o.Products, k) {
			p.tables[k], p.newTables = o.Table, p.newTables|1<<k
		}
	}
	l.addUser(o.Proxy)
	l.addRecipient(o.Proxy)
}

func (l *Loop) withdraw(o policy.Withdraw) {
	l.withdrawn[o.Backend] = o.Withdrawn
	if !o.Deferred {
		l.withdrawalOrders = append(l.withdrawalOrders, o.Backend)
	}
	for i := range l.proxies {
		p := &l.proxies[i]
		if p.stream == nil || o.Deferred && slices.Contains(p.tables, none) {
			continue
		}
		if p.knownUsability(o.Backend) != usabilityOf(o.Withdrawn) && l.mayHaveEntry(p, o.Backend) {
			l.addRecipient(i)
		}
	}
}

// send sends a proxy the changes that affect it, if there are any.
func (l *Loop) send(p *proxy) {
	parts := l.messageParts(p, l.marker)
	p.isRecipient, p.newTables = false, 0
	if len(parts) == 0 {
		return
	}
	if s, ok := p.stream.(PartStream); ok {
		s.SendParts(parts)
		return
	}
	l.buffer = textproto.Append(l.buffer[:0], parts)
	p.stream.Send(l.buffer)
}

// table returns a table to be changed in this step. It creates the table if necessary.
func (l *Loop) table(id int) *table {
	for len(l.tables) <= id {
		l.tables = append(
			l.tables,
			table{admissions: make([]policy.Admission, l.products), hasAdmission: make([]bool, l.products)},
		)
	}
	if t := &l.tables[id]; !t.isDirty {
		t.isDirty, l.dirtyTables = true, append(l.dirtyTables, id)
	}
	return &l.tables[id]
}

// addUser adds a proxy to the users of each of its tables.
func (l *Loop) addUser(proxy int) {
	for k, id := range l.proxies[proxy].tables {
		if id != none && !slices.Contains(l.proxies[proxy].tables[:k], id) {
			users := &l.tables[id].users
			at, _ := slices.BinarySearch(*users, proxy)
			*users = slices.Insert(*users, at, proxy)
		}
	}
}

// removeUser removes a proxy from the users of its tables. It must run before the tables change.
func (l *Loop) removeUser(proxy int) {
	for k, id := range l.proxies[proxy].tables {
		if id != none && !slices.Contains(l.proxies[proxy].tables[:k], id) {
			users := &l.tables[id].users
			if at, ok := slices.BinarySearch(*users, proxy); ok {
				*users = slices.Delete(*users, at, at+1)
			}
		}
	}
}

// products returns the mask of the products for which the proxy uses a table.
func (p *proxy) products(table int) (mask uint32) {
	for k, t := range p.tables {
		if t == table {
			mask |= 1 << k
		}
	}
	return mask
}

func usabilityOf(isWithdrawn bool) usability {
	if isWithdrawn {
		return withdrawn
	}
	return usable
}

// knownUsability returns the state of a backend that the proxy was last notified of.
func (p *proxy) knownUsability(b int) usability {
	if b < len(p.notifiedUsability) && p.notifiedUsability[b] != usabilityUnknown {
		return p.notifiedUsability[b]
	}
	return p.initial
}

// mayHaveEntry reports whether the tables of a proxy may contain a backend. Tables from a previous controller may.
func (l *Loop) mayHaveEntry(p *proxy, b int) bool {
	for _, id := range p.tables {
		if id == none {
			return true
		}
		if t := &l.tables[id]; b < len(t.weight) && t.weight[b] > 0 {
			return true
		}
	}
	return false
}

// isWeightChanged reports whether the weight of a backend changes in this step in a table of the proxy.
func (l *Loop) isWeightChanged(p *proxy, b int) bool {
	return slices.ContainsFunc(
		p.tables,
		func(id int) bool { return id != none && slices.Contains(l.tables[id].changedWeights, b) },
	)
}

// messageParts returns the message to a proxy: withdrawn and restored backends, then tables. A table that was assigned
// or cleared in this step is sent in full, any other one as its changes. The message is empty if nothing changed and
// there is no marker.
func (l *Loop) messageParts(p *proxy, marker int) []textproto.Part {
	var parts []textproto.Part
	if part := l.withdrawalPart(p); len(part.Withdrawn)+len(part.Restored) > 0 {
		parts = append(parts, part)
	}
	for k, id := range p.tables {
		if mask := p.products(id); id != none && mask&(1<<k-1) == 0 { // once per table, at its first product
			parts = append(parts, l.tableParts(&l.tables[id], mask, p.newTables&mask > 0)...)
		}
	}
	if marker != none {
		if len(parts) == 0 {
			parts = append(parts, textproto.Part{})
		}
		last := &parts[len(parts)-1]
		last.HasMarker, last.Marker = true, marker
		if len(p.pendingMarkers) >= maxPendingMarkers {
			p.pendingMarkers = p.pendingMarkers[1:]
		}
		p.pendingMarkers = append(p.pendingMarkers, marker)
	}
	return parts
}

// withdrawalPart returns the withdrawals and restorations that a proxy has not been notified of. A proxy that was
// connected to another controller may hold withdrawals from there. Each is replaced with the first table entry of that
// backend, or with the first order about it.
func (l *Loop) withdrawalPart(p *proxy) (part textproto.Part) {
	p.notifiedUsability = append(p.notifiedUsability, make([]usability, len(l.backends)-len(p.notifiedUsability))...)
	lacksTable := slices.Contains(p.tables, none) // the proxy still uses a table from another controller
	for b, name := range l.backends {
		known, want := p.knownUsability(b), usabilityOf(l.withdrawn[b])
		if known == want && known == usable {
			continue // the most frequent case
		}
		if known == withdrawn && !l.mayHaveEntry(p, b) && l.isWeightChanged(p, b) {
			// This message removes the backend's last entry, so the withdrawal has to end with it.
			p.notifiedUsability[b], part.Restored = usable, append(part.Restored, name)
			continue
		}
		// A proxy that waits for its first table is only notified of the orders of this step, because the policy
		// charges no more lines for it. The other backends follow with that table.
		if known == want || lacksTable && !slices.Contains(l.withdrawalOrders, b) || !l.mayHaveEntry(p, b) {
			continue
		}
		if p.notifiedUsability[b] = want; want == withdrawn {
			part.Withdrawn = append(part.Withdrawn, name)
		} else {
			part.Restored = append(part.Restored, name)
		}
	}
	return part
}

// tableParts returns a table for the products of a mask, either in full or the changes of this step.
func (l *Loop) tableParts(t *table, mask uint32, full bool) (parts []textproto.Part) {
	first := textproto.Part{Products: l.productNames(mask), Full: full || t.isCleared}
	admissions := t.changedAdmissions & mask
	if first.Full {
		for b, w := range t.weight {
			if w > 0 {
				first.Weights = append(first.Weights, textproto.BackendWeight{Backend: l.backends[b], Weight: w})
			}
		}
		admissions = mask
	} else {
		seen := map[int]bool{}
		for _, b := range t.changedWeights {
			if !seen[b] {
				seen[b] = true
				first.Weights = append(first.Weights, textproto.BackendWeight{Backend: l.backends[b], Weight: t.weight[b]})
			}
		}
	}
	if first.Full || len(first.Weights) > 0 {
		parts = append(parts, first)
	}
	for k := range l.products {
		if admissions>>k&1 > 0 && t.hasAdmission[k] {
			parts = append(parts, textproto.Part{Products: l.productNames(1 << k),
				Admission: &textproto.Admission{RateLimit: t.admissions[k].RateLimit, Retries: t.admissions[k].Retries}})
		}
	}
	return parts
}

// productNames returns the names of the products in a mask. It caches them, since few masks are in use.
func (l *Loop) productNames(mask uint32) []string {
	names, ok := l.namesByMask[mask]
	if !ok {
		for k, name := range l.names.Products {
			if mask>>k&1 > 0 {
				names = append(names, name)
			}
		}
		l.namesByMask[mask] = names
	}
	return names
}
