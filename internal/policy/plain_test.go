package policy

import (
	"math"
	"testing"
)

// plain is the module with tables and picks worked out in the plainest way, from all proxies and all backends at
// each step and with nothing kept from step to step but what proxies hold. It knows no cells.
type plain struct {
	*Assigner
	raw     []float64    // txns/s asked of each backend by the proxies that were looked at
	counted map[int]bool // proxies in it
}

func (m *plain) Step(now Time, events []Event) []Order {
	for _, e := range events {
		if j, ok := e.(Joined); ok {
			delete(m.counted, j.Proxy)
		}
	}
	tick := m.hear(now, events)
	if m.refollow && (tick || !m.began) {
		m.refollow = false
		m.order(Follow{On: true})
	}
	if tick || !m.began {
		m.order(Wake{After: tickEvery})
	}
	if m.began = true; tick {
		m.judge()
		m.setTotal()
		m.setLevels()
	}
	if tick || m.urgent {
		m.setSpill()
		before := m.drain()
		m.withdraw()
		m.picks(tick)
		var urgent, rest []diff
		for i := range m.px {
			if !m.px[i].joined || !tick && !m.bare(i) {
				continue
			}
			if d := m.lacks(i); d.urgency == mustHave || tick && d.urgency == mustEase {
				urgent = append(urgent, d)
			} else if tick && d.urgency < nothing {
				rest = append(rest, d)
			}
		}
		all := m.emit(urgent, roomUrgent)
		if !all && !m.again {
			m.again = true
			m.order(Wake{After: roomAgain, Name: wakeAgain})
		}
		if all && tick {
			var back []int
			for b, s := range m.be.status {
				if s == Ready && m.be.out[b] {
					back = append(back, b)
				}
			}
			m.shut(false, roomUrgent, back...)
		}
		m.emit(rest, roomRest)
		if m.queue > before {
			m.batch++
			m.wroteAt[m.batch%len(m.wroteAt)] = now
			m.order(Fence{Number: m.batch % fences})
		}
	}
	return m.orders
}

func (m *plain) bare(i int) bool {
	p := &m.px[i]
	for _, t := range p.held {
		n := 0
		for b, w := range t.weight {
			n += either(w > 0 && !m.be.out[b], 1, 0)
		}
		if n == 0 {
			return true
		}
	}
	return !p.bound
}

func (m *plain) picks(tick bool) {
	be, size := &m.be, 0.0
	if m.raw = append(m.raw, make([]float64, len(be.zone)-len(m.raw))...); tick {
		m.raw, m.counted = make([]float64, len(be.zone)), map[int]bool{}
	}
	var who []int
	for i := range m.px {
		if m.px[i].joined && (tick || m.bare(i)) {
			who = append(who, i)
		}
	}
	for b := range be.zone {
		if be.status[b] == Ready {
			size += connPart * m.d.ConnsLeast / float64(m.d.Proxies)
		}
	}
	if size = max(size, picksLeast); m.d.ConnsLeast == 0 {
		size = math.Inf(1)
	}
	for y := range m.d.Zones {
		flow, need := map[int]float64{}, map[int]float64{}
		for _, i := range who {
			p := &m.px[i]
			p.picked = append(p.picked, make([]bool, len(be.zone)-len(p.picked))...)
			for g, group := range m.groups {
				r := m.spill[g][p.zone][y]
				for _, k := range group.products {
					flow[i] += p.use[k] * min(r*1e9, r+(1-r)*m.risk)
				}
				if r > 0 {
					need[i] = max(need[i], 1, size*r)
				}
			}
			inUse, all := 0.0, 0.0
			for b, on := range p.picked {
				if on && be.zone[b] == y && be.status[b] == Ready {
					if all += m.sureNow(b); !be.out[b] {
						inUse += m.sureNow(b)
					}
				}
			}
			for b, on := range p.picked {
				if on && be.zone[b] == y && !m.counted[i] {
					m.raw[b] += flow[i] / max(either(be.out[b], all, inUse), 1e-9)
				}
			}
		}
		for _, i := range who {
			for p, swap := &m.px[i], tick; need[i] > 0; {
				most, least, has, strength := -1, -1, 0.0, 0.0
				for b, on := range p.picked {
					if be.zone[b] != y || be.status[b] != Ready {
						continue
					}
					if on {
						has, strength = has+m.rampNow(b), strength+m.sureNow(b)
					}
					if on && (most < 0 || m.raw[b] > m.raw[most]) {
						most = b
					} else if !on && (least < 0 || m.raw[b] < m.raw[least]) {
						least = b
					}
				}
				if least >= 0 && has < need[i] {
					p.picked[least] = true
					m.raw[least] += flow[i] / max(strength, min(need[i], picksLeast)*m.sureNow(least))
				} else if most >= 0 && (has-m.rampNow(most) >= need[i] ||
					swap && least >= 0 && m.raw[most] > pickSwap*m.raw[least]+flow[i]/strength) {
					p.picked[most], swap = false, false
					m.raw[most] -= flow[i] / strength
				} else {
					break
				}
			}
		}
	}
	for _, i := range who {
		m.counted[i] = true
	}
	for b := range be.zone {
		home := 0.0
		for _, p := range m.in {
			home += either(p.zone == be.zone[b], float64(m.d.Zones)/float64(m.d.Proxies), 0)
		}
		m.load[b] = m.raw[b] / max(m.share(), min(home, 1), 1e-9)
	}
}

func (m *plain) table(p *proxy, g int) tbl {
	rule, be, row, can := m.groups[g].rule, &m.be, m.spill[g][p.zone], make([]float64, m.d.Zones)
	open := func(b int) bool { return m.opens(rule, b) && (!rule.OwnZone || be.zone[b] == p.zone) }
	t := tbl{weight: make([]float64, len(be.zone))}
	home, some, part := 1.0, false, noLevel
	for b, y := range be.zone {
		if p.picked[b] && row[y] > 0 && open(b) {
			can[y], some = can[y]+m.strengthNow(b), true
		}
	}
	if can[p.zone] > 0 {
		home = can[p.zone] / row[p.zone]
	}
	for b, y := range be.zone {
		if open(b) && !some {
			t.weight[b] = m.strengthNow(b)
		} else if open(b) && p.picked[b] && row[y] > 0 {
			t.weight[b] = m.strengthNow(b) / can[y] * row[y] * home
		}
	}
	lets, warm, cold, in := map[int]float64{}, 0.0, 0.0, 0.0
	for b, w := range t.weight {
		if w == 0 {
			continue
		}
		if m.load[b] == 0 || m.rampNow(b) == 1 || m.pace == 0 {
			warm += w
			continue
		}
		lets[b] = coldMost * m.d.ColdMultiple * m.pace / m.load[b]
		part, cold, in = min(part, lets[b]), cold+w, in+w*min(lets[b], 1)
	}
	if more := min(cold+warm-in, warmMost*warm*(1-m.risk)); part < 1 && more > warm {
		for b, of := range lets {
			t.weight[b] = t.weight[b] * min(of, 1) * warm / more
		}
		part = (in + more) / (cold + warm)
	}
	for _, k := range m.groups[g].products {
		t.gates = append(t.gates, Gate{Level: m.levelOf(p, k, part), Tries: either(m.light, TryUnrun, TryOnce), Products: 1 << k})
	}
	return t
}

func (m *plain) lacks(i int) diff {
	p, d := &m.px[i], diff{proxy: i, urgency: nothing}
	need := func(o Order, urgency int) {
		d.orders, d.urgency = append(d.orders, o), min(d.urgency, urgency)
	}
	for g, group := range m.groups {
		next, held, id, usable, cold := m.table(p, g), p.held[g], i*len(m.groups)+g, false, false
		held.weight = append(held.weight, make([]float64, len(next.weight)-len(held.weight))...)
		if !p.bound {
			need(Clear{Table: id}, mustHave)
		}
		for b, h := range held.weight {
			usable = usable || h > 0 && !m.be.out[b]
		}
		for b, w := range next.weight {
			h, out := held.weight[b], m.be.out[b]
			cold = cold || w > 0 && m.rampNow(b) < 1
			gone := m.be.status[b] == Gone
			if w == h || w > 0 && h > 0 && math.Abs(w-h) < leastChange*h && !out ||
				out && m.be.status[b] != Ready && (!gone || m.now < m.be.goneAt[b]+goneKeep) {
				next.weight[b] = h
				continue
			}
			urgency := mayWait
			if w == 0 && out {
				d.settles++
				urgency = either(gone, mayWait, mustEase)
			} else if w > 0 && !usable {
				urgency = mustHave
			} else if w < h && (out || m.rampNow(b) < 1) {
				urgency = mustEase
			}
			if need(Line{Table: id, Backend: b, Weight: w}, urgency); p.brings && h == 0 {
				d.settles++
			}
		}
		for j, w := range next.gates {
			w.Table = id
			if held.gates == nil {
				need(w, mayWait)
			} else if h := held.gates[j]; h.Tries == w.Tries && math.Abs(h.Level-w.Level) <= leastChange*h.Level {
				w = h
			} else {
				need(w, either(cold && w.Level < h.Level, mustEase, mayWait))
			}
			next.gates[j] = w
		}
		d.next = append(d.next, next)
		if !p.bound {
			need(Use{Proxy: i, Table: id, Products: group.mask}, mustHave)
		}
	}
	return d
}

// What many proxies ask is worked out once for a step, and between ticks only for those that lack something: the
// orders are those of the plain way, to the last bit. That knows no cells, so without any they change nothing.
func TestOrdersAsPlain(t *testing.T) {
	for seed := range int64(12) {
		a, m := New(dayOf(seed)), &plain{Assigner: New(dayOf(seed)), counted: map[int]bool{}}
		if is, want := playDay(seed, a.Step), playDay(seed, m.Step); is != want {
			t.Errorf("seed %d: orders %s, in the plain way %s", seed, is, want)
		}
	}
}

// Between ticks a proxy that holds what it needs costs nothing and is told nothing, however many join beside it.
func TestJoinsLeaveOthersAlone(t *testing.T) {
	r := start(t, deployment())
	r.second()
	for i := range 200 {
		r.now += 40
		for _, o := range r.step(Joined{Proxy: 2 + i%2, Zone: i % 2, Rate: 5}) {
			if u, ok := o.(Use); ok && u.Proxy < 2 {
				t.Fatalf("proxy %d is put on a table as another one joins", u.Proxy)
			}
			if l, ok := o.(Line); ok && l.Table/len(r.a.groups) < 2 {
				t.Fatalf("table %d changes as another proxy joins", l.Table)
			}
		}
	}
	if n := testing.AllocsPerRun(50, func() { r.a.Step(r.now, nil) }); n > 0 {
		t.Errorf("a step without events allocates %.0f times", n)
	}
}
