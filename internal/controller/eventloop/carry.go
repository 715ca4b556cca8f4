package eventloop

import (
	"slices"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// carry sends the orders of a step: one message for each proxy concerned, in the order in which they are
// named.
func (d *Desk) carry(orders []policy.Order) {
	mark, all := none, false
	var to []int
	touch := func(i int) {
		if p := &d.proxies[i]; p.stream != nil && !p.touched {
			p.touched, to = true, append(to, i)
		}
	}
	touchUsers := func(table int) { // not every proxy: there are as many tables as proxies, or more
		for _, i := range d.tables[table].users {
			touch(i)
		}
	}
	for _, o := range orders {
		switch o := o.(type) {
		case policy.SetWeight:
			t := d.table(o.Table)
			t.weight = append(t.weight, make([]float64, max(o.Backend+1-len(t.weight), 0))...)
			t.weight[o.Backend], t.lines = o.Weight, append(t.lines, o.Backend)
			touchUsers(o.Table)
		case policy.ClearTable:
			t := d.table(o.Table)
			clear(t.weight)
			clear(t.gated)
			t.cleared, t.lines, t.changed = true, nil, 0
			touchUsers(o.Table)
		case policy.Admission:
			t := d.table(o.Table)
			for k := range d.products {
				if o.Products == 0 || o.Products>>k&1 > 0 {
					t.gates[k], t.gated[k], t.changed = o, true, t.changed|1<<k
				}
			}
			touchUsers(o.Table)
		case policy.AssignTable:
			p := &d.proxies[o.Proxy]
			if p.stream == nil {
				continue
			}
			d.table(o.Table)
			d.unuse(o.Proxy)
			for k := range p.tables {
				if o.Products == 0 || o.Products>>k&1 > 0 {
					p.tables[k], p.fresh = o.Table, p.fresh|1<<k
				}
			}
			d.use(o.Proxy)
			touch(o.Proxy)
		case policy.Withdraw:
			d.out[o.Backend] = o.Withdrawn
			if !o.Deferred {
				d.told = append(d.told, o.Backend)
			}
			for i := range d.proxies {
				p := &d.proxies[i]
				if p.stream != nil && (!o.Deferred || !slices.Contains(p.tables, none)) && p.toldOf(o.Backend) != shutFor(o.Withdrawn) &&
					d.holds(p, o.Backend) {
					touch(i)
				}
			}
		case policy.Marker:
			mark, all = o.Number, o.All
		case policy.SetTimer:
			d.wakes = append(d.wakes, wake{at: d.now + max(o.Delay, 0), name: o.Name})
		case policy.FollowList:
			d.lists.Follow(o.On)
		case policy.ReloadList:
			d.lists.Reload()
		case policy.Log:
			d.log.Info(o.Text)
		default: // a Probe or a Note: the module sends none where the settings allow none
			if !d.deaf {
				d.deaf = true
				d.log.Warnf("orders of the kind %T are not carried out", o)
			}
		}
	}
	if all {
		for i := range d.proxies {
			touch(i)
		}
	}
	for _, i := range to {
		p := &d.proxies[i]
		if parts := d.parts(p, mark); len(parts) == 0 {
			// it holds and was told all
		} else if s, ok := p.stream.(PartStream); ok {
			s.SendParts(parts)
		} else {
			d.text = textproto.Append(d.text[:0], parts)
			p.stream.Send(d.text)
		}
		p.touched, p.fresh = false, 0
	}
	for _, t := range d.laid {
		t := &d.tables[t]
		t.lines, t.changed, t.cleared, t.laid = t.lines[:0], 0, false, false
	}
	d.laid, d.told = d.laid[:0], d.told[:0]
}

// table gives a table that an order of this step changes.
func (d *Desk) table(id int) *table {
	for len(d.tables) <= id {
		d.tables = append(d.tables, table{gates: make([]policy.Admission, d.products), gated: make([]bool, d.products)})
	}
	if t := &d.tables[id]; !t.laid {
		t.laid, d.laid = true, append(d.laid, id)
	}
	return &d.tables[id]
}

// use notes a proxy, once, with each table that it is on, and unuse takes it off them: both before and after its
// tables change.
func (d *Desk) use(proxy int) {
	for k, id := range d.proxies[proxy].tables {
		if id != none && !slices.Contains(d.proxies[proxy].tables[:k], id) {
			users := &d.tables[id].users
			at, _ := slices.BinarySearch(*users, proxy)
			*users = slices.Insert(*users, at, proxy)
		}
	}
}

func (d *Desk) unuse(proxy int) {
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

func shutFor(out bool) shut {
	if out {
		return shutOut
	}
	return shutIn
}

func (p *proxy) toldOf(b int) shut {
	if b < len(p.told) && p.told[b] != shutUnknown {
		return p.told[b]
	}
	return p.brought
}

// holds says whether a proxy has, or may have brought along, a line of a backend.
func (d *Desk) holds(p *proxy, b int) bool {
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

// changes says whether the line of a backend changes in this step.
func (d *Desk) changes(p *proxy, b int) bool {
	return slices.ContainsFunc(p.tables, func(id int) bool { return id != none && slices.Contains(d.tables[id].lines, b) })
}

// parts is the message to a proxy: who is shut out and who is back first, then its tables, those that it is
// put on now as a whole and later changes by product.
func (d *Desk) parts(p *proxy, mark int) []textproto.Part {
	var parts []textproto.Part
	if shuts := d.shuts(p); len(shuts.Out)+len(shuts.Back) > 0 {
		parts = append(parts, shuts)
	}
	for k, id := range p.tables {
		if mask := p.products(id); id != none && mask&(1<<k-1) == 0 { // once, at its first product
			parts = append(parts, d.tableParts(&d.tables[id], mask, p.fresh&mask > 0)...)
		}
	}
	if mark != none {
		if len(parts) == 0 {
			parts = append(parts, textproto.Part{})
		}
		last := &parts[len(parts)-1]
		last.Marked, last.Mark = true, mark
		if len(p.marks) >= mostMarks {
			p.marks = p.marks[1:]
		}
		p.marks = append(p.marks, mark)
	}
	return parts
}

// shuts tells a proxy what differs from what it was told. One that comes from another controller may bring
// its shut-outs: each is settled with the first line for that backend, or the first order about it.
func (d *Desk) shuts(p *proxy) (part textproto.Part) {
	p.told = append(p.told, make([]shut, len(d.backends)-len(p.told))...)
	unlaid := slices.Contains(p.tables, none) // it still goes by tables that it brought along
	for b, name := range d.backends {
		told, want := p.toldOf(b), shutFor(d.out[b])
		if told == want && told == shutIn {
			continue // as most are
		}
		if told == shutOut && !d.holds(p, b) && d.changes(p, b) {
			// Its last line goes with this message: what comes again finds nothing of it.
			p.told[b], part.Back = shutIn, append(part.Back, name)
			continue
		}
		// One that still waits for its first table is told of what is ordered now, which is all that was charged for
		// it; the rest is settled with that table.
		if told == want || unlaid && !slices.Contains(d.told, b) || !d.holds(p, b) {
			continue
		}
		if p.told[b] = want; want == shutOut {
			part.Out = append(part.Out, name)
		} else {
			part.Back = append(part.Back, name)
		}
	}
	return part
}

func (d *Desk) tableParts(t *table, mask uint32, whole bool) (parts []textproto.Part) {
	first := textproto.Part{Products: d.productNames(mask), Whole: whole || t.cleared}
	gates := t.changed & mask
	if first.Whole {
		for b, w := range t.weight {
			if w > 0 {
				first.Lines = append(first.Lines, textproto.Line{Backend: d.backends[b], Weight: w})
			}
		}
		gates = mask
	} else {
		seen := map[int]bool{}
		for _, b := range t.lines {
			if !seen[b] {
				seen[b] = true
				first.Lines = append(first.Lines, textproto.Line{Backend: d.backends[b], Weight: t.weight[b]})
			}
		}
	}
	if first.Whole || len(first.Lines) > 0 {
		parts = append(parts, first)
	}
	for k := range d.products {
		if gates>>k&1 > 0 && t.gated[k] {
			parts = append(parts, textproto.Part{Products: d.productNames(1 << k),
				Gate: &textproto.Gate{Level: t.gates[k].RateLimit, Tries: t.gates[k].Retries}})
		}
	}
	return parts
}

// productNames are those of a mask; it is asked for a few masks again and again.
func (d *Desk) productNames(mask uint32) []string {
	names, ok := d.masks[mask]
	if !ok {
		for k, name := range d.names.Products {
			if mask>>k&1 > 0 {
				names = append(names, name)
			}
		}
		d.masks[mask] = names
	}
	return names
}
