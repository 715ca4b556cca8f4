package eventloop

import (
	"slices"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// execute carries out the orders of a step, and sends one message to each proxy concerned, in the order in which
// they are first named.
func (d *Loop) execute(orders []policy.Order) {
	d.marker, d.markAll = none, false
	for _, o := range orders {
		d.executeOne(o)
	}
	if d.markAll {
		for i := range d.proxies {
			d.concern(i)
		}
	}
	for _, i := range d.concerned {
		d.send(&d.proxies[i])
	}
	for _, t := range d.dirtyTables {
		t := &d.tables[t]
		t.changedWeights, t.changedAdmissions, t.cleared, t.dirty = t.changedWeights[:0], 0, false, false
	}
	d.dirtyTables, d.orderedBackends, d.concerned = d.dirtyTables[:0], d.orderedBackends[:0], d.concerned[:0]
}

func (d *Loop) executeOne(o policy.Order) {
	switch o := o.(type) {
	case policy.SetWeight:
		t := d.table(o.Table)
		t.weight = append(t.weight, make([]float64, max(o.Backend+1-len(t.weight), 0))...)
		t.weight[o.Backend], t.changedWeights = o.Weight, append(t.changedWeights, o.Backend)
		d.concernUsers(o.Table)
	case policy.ClearTable:
		t := d.table(o.Table)
		clear(t.weight)
		clear(t.hasAdmission)
		t.cleared, t.changedWeights, t.changedAdmissions = true, nil, 0
		d.concernUsers(o.Table)
	case policy.Admission:
		d.setAdmission(o)
	case policy.AssignTable:
		d.assignTable(o)
	case policy.Withdraw:
		d.withdraw(o)
	case policy.Marker:
		d.marker, d.markAll = o.Number, o.All
	case policy.SetTimer:
		d.timers = append(d.timers, timer{at: d.now + max(o.Delay, 0), name: o.Name})
	case policy.WatchList:
		d.lists.Follow(o.Enabled)
	case policy.ReloadList:
		d.lists.Reload()
	case policy.Log:
		d.log.Info(o.Text)
	default: // a Probe or a Note: there is none where the settings allow none
		if !d.warnedUnsupported {
			d.warnedUnsupported = true
			d.log.Warnf("orders of the kind %T are not carried out", o)
		}
	}
}

// concern notes that a proxy gets a message in this step.
func (d *Loop) concern(i int) {
	if p := &d.proxies[i]; p.stream != nil && !p.concerned {
		p.concerned, d.concerned = true, append(d.concerned, i)
	}
}

// concernUsers concerns the proxies on a table: not every proxy, as there are as many tables as proxies, or more.
func (d *Loop) concernUsers(table int) {
	for _, i := range d.tables[table].users {
		d.concern(i)
	}
}

func (d *Loop) setAdmission(o policy.Admission) {
	t := d.table(o.Table)
	for k := range d.products {
		if hasProduct(o.Products, k) {
			t.admissions[k], t.hasAdmission[k], t.changedAdmissions = o, true, t.changedAdmissions|1<<k
		}
	}
	d.concernUsers(o.Table)
}

// hasProduct reports whether a mask has a product; an empty mask has all.
func hasProduct(mask uint16, k int) bool { return mask == 0 || mask>>k&1 > 0 }

func (d *Loop) assignTable(o policy.AssignTable) {
	p := &d.proxies[o.Proxy]
	if p.stream == nil {
		return
	}
	d.table(o.Table)
	d.removeUser(o.Proxy)
	for k := range p.tables {
		if hasProduct(o.Products, k) {
			p.tables[k], p.newTables = o.Table, p.newTables|1<<k
		}
	}
	d.addUser(o.Proxy)
	d.concern(o.Proxy)
}

func (d *Loop) withdraw(o policy.Withdraw) {
	d.withdrawn[o.Backend] = o.Withdrawn
	if !o.Deferred {
		d.orderedBackends = append(d.orderedBackends, o.Backend)
	}
	for i := range d.proxies {
		p := &d.proxies[i]
		if p.stream == nil || o.Deferred && slices.Contains(p.tables, none) {
			continue
		}
		if p.knownUsability(o.Backend) != usabilityOf(o.Withdrawn) && d.mayHaveLine(p, o.Backend) {
			d.concern(i)
		}
	}
}

// send sends a proxy what it lacks, if that is anything.
func (d *Loop) send(p *proxy) {
	parts := d.messageParts(p, d.marker)
	p.concerned, p.newTables = false, 0
	if len(parts) == 0 {
		return // it has all
	}
	if s, ok := p.stream.(PartStream); ok {
		s.SendParts(parts)
		return
	}
	d.text = textproto.Append(d.text[:0], parts)
	p.stream.Send(d.text)
}

// table gives a table that an order of this step changes.
func (d *Loop) table(id int) *table {
	for len(d.tables) <= id {
		d.tables = append(
			d.tables,
			table{admissions: make([]policy.Admission, d.products), hasAdmission: make([]bool, d.products)},
		)
	}
	if t := &d.tables[id]; !t.dirty {
		t.dirty, d.dirtyTables = true, append(d.dirtyTables, id)
	}
	return &d.tables[id]
}

// addUser notes a proxy, once, with each table that it is on, and unuse takes it off them: both before and after its
// tables change.
func (d *Loop) addUser(proxy int) {
	for k, id := range d.proxies[proxy].tables {
		if id != none && !slices.Contains(d.proxies[proxy].tables[:k], id) {
			users := &d.tables[id].users
			at, _ := slices.BinarySearch(*users, proxy)
			*users = slices.Insert(*users, at, proxy)
		}
	}
}

func (d *Loop) removeUser(proxy int) {
	for k, id := range d.proxies[proxy].tables {
		if id != none && !slices.Contains(d.proxies[proxy].tables[:k], id) {
			users := &d.tables[id].users
			if at, ok := slices.BinarySearch(*users, proxy); ok {
				*users = slices.Delete(*users, at, at+1)
			}
		}
	}
}

// products is the mask of those for which the proxy uses a table.
func (p *proxy) products(table int) (mask uint32) {
	for k, t := range p.tables {
		if t == table {
			mask |= 1 << k
		}
	}
	return mask
}

func usabilityOf(out bool) usability {
	if out {
		return withdrawn
	}
	return usable
}

func (p *proxy) knownUsability(b int) usability {
	if b < len(p.notified) && p.notified[b] != usabilityUnknown {
		return p.notified[b]
	}
	return p.initial
}

// mayHaveLine reports whether a proxy has, or may have brought along, a line of a backend.
func (d *Loop) mayHaveLine(p *proxy, b int) bool {
	for _, id := range p.tables {
		if id == none {
			return true
		}
		if t := &d.tables[id]; b < len(t.weight) && t.weight[b] > 0 {
			return true
		}
	}
	return false
}

// isChanging reports whether the line of a backend changes in this step.
func (d *Loop) isChanging(p *proxy, b int) bool {
	return slices.ContainsFunc(
		p.tables,
		func(id int) bool { return id != none && slices.Contains(d.tables[id].changedWeights, b) },
	)
}

// messageParts is the message to a proxy: who is withdrawn and who is back first, then its tables, those that it is
// put on now as a whole and later changes by product.
func (d *Loop) messageParts(p *proxy, mark int) []textproto.Part {
	var parts []textproto.Part
	if shuts := d.withdrawalPart(p); len(shuts.Withdrawn)+len(shuts.Restored) > 0 {
		parts = append(parts, shuts)
	}
	for k, id := range p.tables {
		if mask := p.products(id); id != none && mask&(1<<k-1) == 0 { // once, at its first product
			parts = append(parts, d.tableParts(&d.tables[id], mask, p.newTables&mask > 0)...)
		}
	}
	if mark != none {
		if len(parts) == 0 {
			parts = append(parts, textproto.Part{})
		}
		last := &parts[len(parts)-1]
		last.HasMarker, last.Marker = true, mark
		if len(p.pendingMarkers) >= maxPendingMarkers {
			p.pendingMarkers = p.pendingMarkers[1:]
		}
		p.pendingMarkers = append(p.pendingMarkers, mark)
	}
	return parts
}

// withdrawalPart tells a proxy what differs from what it was told. One that comes from another controller may bring
// its withdrawals: each is settled with the first line for that backend, or the first order about it.
func (d *Loop) withdrawalPart(p *proxy) (part textproto.Part) {
	p.notified = append(p.notified, make([]usability, len(d.backends)-len(p.notified))...)
	unlaid := slices.Contains(p.tables, none) // it still goes by tables that it brought along
	for b, name := range d.backends {
		told, want := p.knownUsability(b), usabilityOf(d.withdrawn[b])
		if told == want && told == usable {
			continue // as most are
		}
		if told == withdrawn && !d.mayHaveLine(p, b) && d.isChanging(p, b) {
			// Its last line goes with this message: what comes again finds nothing of it.
			p.notified[b], part.Restored = usable, append(part.Restored, name)
			continue
		}
		// One that still waits for its first table is told of what is ordered now, which is all that was charged for
		// it; the rest is settled with that table.
		if told == want || unlaid && !slices.Contains(d.orderedBackends, b) || !d.mayHaveLine(p, b) {
			continue
		}
		if p.notified[b] = want; want == withdrawn {
			part.Withdrawn = append(part.Withdrawn, name)
		} else {
			part.Restored = append(part.Restored, name)
		}
	}
	return part
}

func (d *Loop) tableParts(t *table, mask uint32, whole bool) (parts []textproto.Part) {
	first := textproto.Part{Products: d.productNames(mask), Full: whole || t.cleared}
	gates := t.changedAdmissions & mask
	if first.Full {
		for b, w := range t.weight {
			if w > 0 {
				first.Weights = append(first.Weights, textproto.BackendWeight{Backend: d.backends[b], Weight: w})
			}
		}
		gates = mask
	} else {
		seen := map[int]bool{}
		for _, b := range t.changedWeights {
			if !seen[b] {
				seen[b] = true
				first.Weights = append(first.Weights, textproto.BackendWeight{Backend: d.backends[b], Weight: t.weight[b]})
			}
		}
	}
	if first.Full || len(first.Weights) > 0 {
		parts = append(parts, first)
	}
	for k := range d.products {
		if gates>>k&1 > 0 && t.hasAdmission[k] {
			parts = append(parts, textproto.Part{Products: d.productNames(1 << k),
				Admission: &textproto.Admission{RateLimit: t.admissions[k].RateLimit, Retries: t.admissions[k].Retries}})
		}
	}
	return parts
}

// productNames are those of a mask; it is asked for a few masks again and again.
func (d *Loop) productNames(mask uint32) []string {
	names, ok := d.namesOfMask[mask]
	if !ok {
		for k, name := range d.names.Products {
			if mask>>k&1 > 0 {
				names = append(names, name)
			}
		}
		d.namesOfMask[mask] = names
	}
	return names
}
