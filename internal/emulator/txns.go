package emulator

import (
	"maps"
	"math"
	"slices"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

const (
	here, across     = 3, 20      // tenths of a ms to a backend of the same zone, of another
	cutOff           = 0.6        // of the deadline that a try may take
	ejectionFailures = 3          // voided tries in a row
	ejectionDuration = 4 * second //
	retryPause       = 200 * ms   // before a poisoned client repeats
	longestQueue     = 400        // txns
)

// sum is the tally of the tenant's present second.
func (w *World) sum(tenant string) *Sum {
	at := int(w.elapsed() / second)
	all := w.Sums[tenant]
	for len(all) <= at {
		all = append(all, Sum{})
	}
	w.Sums[tenant] = all
	return &all[at]
}

// arrive lets the next txn of a proxy's clients come, and the one after it.
func (p *proxy) arrive() {
	w := p.w
	w.after(Time(w.chance.ExpFloat64()/p.rate*float64(second)), func() {
		draw, k := w.chance.Float64(), 0
		for ; k < len(w.Products)-1 && draw > w.Products[k].Part; k++ {
			draw -= w.Products[k].Part
		}
		p.ask(k, 0)
		p.arrive()
	})
}

// ask is a txn that comes to the proxy. What the proxy declines or voids the client hears of at once; a poisoned
// tenant's clients then send another one.
func (p *proxy) ask(k, repeated int) {
	w := p.w
	w.txns++
	txn, at, product, s := w.txns, w.Now, w.Products[k], w.sum(p.tenant)
	s.Requested++
	p.used[k].txns++
	again := func() {
		if w.Poison[p.tenant] > 1 && repeated < w.Again {
			w.after(retryPause, func() { p.ask(k, repeated+1) })
		}
	}
	if t := &p.tables[k]; !t.lets(w.Now) {
		s.Declined++
		again()
		return
	}
	work := product.Work * (0.8 + 0.4*w.chance.Float64())
	if f := w.Poison[p.tenant]; f > 0 {
		work *= f
	}
	p.try(txn, k, work, 0, nil, func(ok bool) {
		switch {
		case !ok:
			s.Failed++
			p.used[k].voided++
			again()
		case w.Now-at <= product.SLA:
			s.Served++
		default:
			s.Late++
		}
	})
}

// lets says whether a level lets a txn in: so many a second, evenly, with room for what comes by chance.
func (t *table) lets(now Time) bool {
	if math.IsInf(t.level, 1) || t.level > 1e5 {
		return true
	}
	t.credit = math.Min(t.credit+t.level*float64(now-t.at)/float64(second), math.Max(t.level, 1))
	if t.at = now; t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// oracle draws two of all backends that are open to a product, by their true strength, and takes the one that is less
// busy in truth.
func (p *proxy) oracle(k int, not []string) string {
	w := p.w
	var open []*backend
	total := 0.0
	for _, b := range w.backends {
		if !b.dead && !slices.Contains(not, b.spec.ID) && (!w.Products[k].OwnZone || b.spec.Zone == p.zone) {
			open, total = append(open, b), total+b.strength()
		}
	}
	var best *backend
	for range 2 {
		at := w.chance.Float64() * total
		for _, b := range open {
			if at -= b.strength(); at <= 0 {
				if best == nil || b.busy() < best.busy() {
					best = b
				}
				break
			}
		}
	}
	if best == nil {
		return ""
	}
	return best.spec.ID
}

func (b *backend) strength() float64 { return float64(b.spec.Cores) * b.spec.Speed * b.ramp() }

func (b *backend) busy() float64 { return float64(b.running+len(b.queue)) / b.strength() }

// leastSeeming is the line of a proxy that seems least loaded; all that hear the same run there.
func (p *proxy) leastSeeming(k int, not []string) (best string) {
	for _, id := range slices.Sorted(maps.Keys(p.tables[k].weight)) {
		if p.tables[k].weight[id] > 0 && !p.out[id] && !slices.Contains(not, id) &&
			(best == "" || p.w.byID[id].seems < p.w.byID[best].seems) {
			best = id
		}
	}
	return best
}

// pick draws two lines by weight and takes the one with fewer tries of this proxy under way.
func (p *proxy) pick(k int, not []string) (best string) {
	if p.w.Oracle {
		return p.oracle(k, not)
	}
	if p.w.Naive {
		return p.leastSeeming(k, not)
	}
	var ids []string
	total := 0.0
	t := p.tables[k]
	for _, id := range slices.Sorted(maps.Keys(t.weight)) {
		if w := t.weight[id]; w > 0 && !p.out[id] && p.shun[id] <= p.w.Now && !slices.Contains(not, id) {
			ids, total = append(ids, id), total+w
		}
	}
	for range 2 {
		at := p.w.chance.Float64() * total
		for _, id := range ids {
			if at -= t.weight[id]; at <= 0 {
				if best == "" || p.busy[id] < p.busy[best] {
					best = id
				}
				break
			}
		}
	}
	if best == "" && len(ids) > 0 {
		best = ids[0]
	}
	return best
}

// try sends a txn to a backend. A further try is made only where the order says so: after proof that the first
// never ran, that is when the connection was refused.
func (p *proxy) try(txn, k int, work float64, n int, not []string, done func(bool)) {
	w := p.w
	id := p.pick(k, not)
	if id == "" && len(p.shun) > 0 { // all are shunned: any will do
		clear(p.shun)
		id = p.pick(k, not)
	}
	if id == "" {
		if n == 0 && p.ever { // else its first table is on the way
			w.Bare++
		}
		done(false)
		return
	}
	b, began, over := w.byID[id], w.Now, false
	b.tried++
	if b.announcedAt > 0 && p.stream != nil && p.ever && w.Now > max(b.announcedAt, p.joined)+w.Grace {
		w.Late++
	}
	p.busy[id]++
	way := Time(here)
	if b.spec.Zone != p.zone {
		way = across
	}
	end := func(ok, ran bool) {
		if over {
			return
		}
		over = true
		p.busy[id]--
		m := p.sinceReport[id] // a try counts in the second in which it ends
		if m == nil {
			m = &contact{}
			p.sinceReport[id] = m
		}
		m.attempts++
		if p.fails[id]++; ok {
			p.fails[id] = 0
			m.took += w.Now - began
			done(true)
			return
		}
		m.failed++
		if p.fails[id] >= ejectionFailures {
			p.shun[id], p.fails[id] = w.Now+ejectionDuration, 0
		}
		if n == 0 && (w.Careless || !ran && p.tables[k].tries >= int(policy.RetryUnexecuted)) {
			p.try(txn, k, work, 1, append(not, id), done)
			return
		}
		done(false)
	}
	w.after(Time(cutOff*float64(w.Products[k].Deadline)), func() { end(false, true) })
	w.after(way, func() {
		if b.dead {
			w.after(way, func() { end(false, false) })
			return
		}
		b.take(job{txn: txn, product: k, work: work, done: func(ok bool) { w.after(way, func() { end(ok, true) }) }})
	})
}

// ramp is the part of its capacity that a backend has, which grows while it is cold.
func (b *backend) ramp() float64 {
	if b.up == 0 || b.w.WarmupTime == 0 {
		return 1
	}
	return math.Min(1, b.w.WarmupCapacity+(1-b.w.WarmupCapacity)*float64(b.w.Now-b.up)/float64(b.w.WarmupTime))
}

// take queues a job. A cold backend that is sent more than a multiple of what it can do for a while falls over.
func (b *backend) take(j job) {
	w := b.w
	if w.Hung[b.spec.ID] {
		return
	}
	if w.Bad[b.spec.ID] {
		j.done(false)
		return
	}
	if w.Products[j.product].Safety == Keyed {
		for _, other := range w.backends { // the marks of a zone are one
			if at, ok := other.marks[j.txn]; ok && other.spec.Zone == b.spec.Zone && w.Now < at+w.MarkFor {
				j.done(true)
				return
			}
		}
		b.marks[j.txn] = w.Now
	}
	if len(b.queue) >= longestQueue {
		j.done(false)
		return
	}
	b.arrivals = append(slices.DeleteFunc(b.arrivals, func(at Time) bool { return at < w.Now-second }), w.Now)
	can := float64(b.spec.Cores) * b.spec.Speed * b.ramp() / j.work
	if b.ramp() < 1 && float64(len(b.arrivals)) > w.WarmupOverload*math.Max(can, 1) {
		if b.overAt == 0 {
			b.overAt = w.Now
		}
		if w.Now-b.overAt > w.TipAfter {
			w.Tipped = append(w.Tipped, b.spec.ID)
			b.die()
			j.done(false)
			return
		}
	} else {
		b.overAt = 0
	}
	b.queue = append(b.queue, j)
	b.work()
}

func (b *backend) work() {
	w := b.w
	for b.running < b.spec.Cores && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		epoch := b.epoch
		w.after(Time(j.work/(b.spec.Speed*b.ramp())*float64(second)), func() {
			if b.epoch != epoch {
				return // it died under the job: nobody hears
			}
			b.running--
			if w.Products[j.product].Safety != Safe {
				w.Effects[j.txn]++
			}
			j.done(true)
			b.work()
		})
	}
}

// report sums up the last second for the zone's collector and the proxy's own stream, late.
func (p *proxy) report() {
	w, s := p.w, p.stream
	if s == nil {
		clear(p.sinceReport)
		return
	}
	var said []textproto.BackendReport
	for _, id := range slices.Sorted(maps.Keys(p.sinceReport)) {
		m := p.sinceReport[id]
		h := textproto.BackendReport{
			Zone:     w.zone(p.zone),
			Backend:  id,
			Attempts: float64(m.attempts),
			Failed:   float64(min(m.failed, m.attempts)),
		}
		if good := m.attempts - m.failed; good > 0 {
			h.Latency = m.took / Time(good)
		}
		said = append(said, h)
	}
	p.sinceReport = map[string]*contact{}
	var used []textproto.UsageReport
	for k, u := range p.used {
		used = append(
			used,
			textproto.UsageReport{
				Proxy:   p.i,
				Product: w.Products[k].Name,
				Txns:    float64(u.txns),
				Failed:  float64(u.voided),
				Period:  second,
			},
		)
	}
	clear(p.used)
	epoch := s.c.epoch
	w.after(w.ReportDelay, func() {
		if s.c.down || s.c.epoch != epoch {
			return
		}
		for _, h := range said {
			s.c.loop.Handle(eventloop.Command{From: s.c.sources[p.zone], Message: h})
			s.c.met(h)
		}
		for _, u := range used {
			s.c.loop.Handle(eventloop.Command{From: s.from(), Message: u})
			s.c.took(u)
		}
	})
}

// Doubled counts the txns that are not safe and took effect more than once.
func (w *World) Doubled() (n int) {
	for _, times := range w.Effects {
		if times > 1 {
			n++
		}
	}
	return n
}
