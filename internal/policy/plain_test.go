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
		if j, ok := e.(ProxyConnected); ok {
			delete(m.counted, j.Proxy)
		}
	}
	tick := m.handleEvents(now, events)
	if m.needsFollow && (tick || !m.started) {
		m.needsFollow = false
		m.emit(WatchList{Enabled: true})
	}
	if tick || !m.started {
		m.emit(SetTimer{Delay: tickInterval})
	}
	if m.started = true; tick {
		m.evaluate()
		m.setTotalLimit()
		m.setLimits()
	}
	if tick || m.urgent {
		m.setSpillover()
		before := m.updateQueue()
		m.withdrawDraining()
		m.picks(tick)
		var urgent, rest []change
		for i := range m.proxies {
			if !m.proxies[i].connected || !tick && !m.bare(i) {
				continue
			}
			if d := m.lacks(i); d.urgency == urgencyCritical || tick && d.urgency == urgencyDerate {
				urgent = append(urgent, d)
			} else if tick && d.urgency < urgencyNone {
				rest = append(rest, d)
			}
		}
		all := m.send(urgent, roomUrgent)
		if !all && !m.retryPending {
			m.retryPending = true
			m.emit(SetTimer{Delay: roomRetryInterval, Name: timerRetry})
		}
		if all && tick {
			var back []int
			for b, s := range m.backends.status {
				if s == Ready && m.backends.withdrawn[b] {
					back = append(back, b)
				}
			}
			m.setWithdrawn(false, roomUrgent, back...)
		}
		m.send(rest, roomRest)
		if m.queuedLines > before {
			m.batch++
			m.writtenAt[m.batch%len(m.writtenAt)] = now
			m.emit(Marker{Number: m.batch % markerNumbers})
		}
	}
	return m.orders
}

func (m *plain) bare(i int) bool {
	p := &m.proxies[i]
	for _, t := range p.installed {
		n := 0
		for b, w := range t.weight {
			n += ifElse(w > 0 && !m.backends.withdrawn[b], 1, 0)
		}
		if n == 0 {
			return true
		}
	}
	return !p.assigned
}

func (m *plain) picks(tick bool) {
	be, size := &m.backends, 0.0
	if m.raw = append(m.raw, make([]float64, len(be.zone)-len(m.raw))...); tick {
		m.raw, m.counted = make([]float64, len(be.zone)), map[int]bool{}
	}
	var who []int
	for i := range m.proxies {
		if m.proxies[i].connected && (tick || m.bare(i)) {
			who = append(who, i)
		}
	}
	for b := range be.zone {
		if be.status[b] == Ready {
			size += connShare * m.conf.MinConns / float64(m.conf.Proxies)
		}
	}
	if size = max(size, minSubset); m.conf.MinConns == 0 {
		size = math.Inf(1)
	}
	for y := range m.conf.Zones {
		flow, need := map[int]float64{}, map[int]float64{}
		for _, i := range who {
			p := &m.proxies[i]
			p.subset = append(p.subset, make([]bool, len(be.zone)-len(p.subset))...)
			for g, group := range m.groups {
				r := m.spillover[g][p.zone][y]
				for _, k := range group.products {
					flow[i] += p.rate[k] * min(r*1e9, r+(1-r)*m.failureRisk)
				}
				if r > 0 {
					need[i] = max(need[i], 1, size*r)
				}
			}
			inUse, all := 0.0, 0.0
			for b, on := range p.subset {
				if on && be.zone[b] == y && be.status[b] == Ready {
					if all += m.expectedWeight(b); !be.withdrawn[b] {
						inUse += m.expectedWeight(b)
					}
				}
			}
			for b, on := range p.subset {
				if on && be.zone[b] == y && !m.counted[i] {
					m.raw[b] += flow[i] / max(ifElse(be.withdrawn[b], all, inUse), 1e-9)
				}
			}
		}
		for _, i := range who {
			for p, swap := &m.proxies[i], tick; need[i] > 0; {
				most, least, has, strength := -1, -1, 0.0, 0.0
				for b, on := range p.subset {
					if be.zone[b] != y || be.status[b] != Ready {
						continue
					}
					if on {
						has, strength = has+m.slowStartFactor(b), strength+m.expectedWeight(b)
					}
					if on && (most < 0 || m.raw[b] > m.raw[most]) {
						most = b
					} else if !on && (least < 0 || m.raw[b] < m.raw[least]) {
						least = b
					}
				}
				if least >= 0 && has < need[i] {
					p.subset[least] = true
					m.raw[least] += flow[i] / max(strength, min(need[i], minSubset)*m.expectedWeight(least))
				} else if most >= 0 && (has-m.slowStartFactor(most) >= need[i] ||
					swap && least >= 0 && m.raw[most] > swapRatio*m.raw[least]+flow[i]/strength) {
					p.subset[most], swap = false, false
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
		for _, p := range m.connected {
			home += ifElse(p.zone == be.zone[b], float64(m.conf.Zones)/float64(m.conf.Proxies), 0)
		}
		m.load[b] = m.raw[b] / max(m.connectedShare(), min(home, 1), 1e-9)
	}
}

func (m *plain) table(p *proxy, g int) table {
	rule, be, row, can := m.groups[g].class, &m.backends, m.spillover[g][p.zone], make([]float64, m.conf.Zones)
	open := func(b int) bool { return m.isOpen(rule, b) && (!rule.OwnZone || be.zone[b] == p.zone) }
	t := table{weight: make([]float64, len(be.zone))}
	home, some, part := 1.0, false, unlimited
	for b, y := range be.zone {
		if p.subset[b] && row[y] > 0 && open(b) {
			can[y], some = can[y]+m.effectiveWeight(b), true
		}
	}
	if can[p.zone] > 0 {
		home = can[p.zone] / row[p.zone]
	}
	for b, y := range be.zone {
		if open(b) && !some {
			t.weight[b] = m.effectiveWeight(b)
		} else if open(b) && p.subset[b] && row[y] > 0 {
			t.weight[b] = m.effectiveWeight(b) / can[y] * row[y] * home
		}
	}
	lets, warm, cold, in := map[int]float64{}, 0.0, 0.0, 0.0
	for b, w := range t.weight {
		if w == 0 {
			continue
		}
		if m.load[b] == 0 || m.slowStartFactor(b) == 1 || m.throughput == 0 {
			warm += w
			continue
		}
		lets[b] = maxWarmupLoad * m.conf.WarmupOverload * m.throughput / m.load[b]
		part, cold, in = min(part, lets[b]), cold+w, in+w*min(lets[b], 1)
	}
	if more := min(cold+warm-in, maxWarmExtra*warm*(1-m.failureRisk)); part < 1 && more > warm {
		for b, of := range lets {
			t.weight[b] = t.weight[b] * min(of, 1) * warm / more
		}
		part = (in + more) / (cold + warm)
	}
	for _, k := range m.groups[g].products {
		t.admissions = append(
			t.admissions,
			Admission{
				RateLimit: m.rateLimitFor(p, k, part),
				Retries:   ifElse(m.responsesFast, RetryUnexecuted, NoRetry),
				Products:  1 << k,
			},
		)
	}
	return t
}

func (m *plain) lacks(i int) change {
	p, d := &m.proxies[i], change{proxy: i, urgency: urgencyNone}
	need := func(o Order, urgency int) {
		d.orders, d.urgency = append(d.orders, o), min(d.urgency, urgency)
	}
	for g, group := range m.groups {
		next, held, id, usable, cold := m.table(p, g), p.installed[g], i*len(m.groups)+g, false, false
		held.weight = append(held.weight, make([]float64, len(next.weight)-len(held.weight))...)
		if !p.assigned {
			need(ClearTable{Table: id}, urgencyCritical)
		}
		for b, h := range held.weight {
			usable = usable || h > 0 && !m.backends.withdrawn[b]
		}
		for b, w := range next.weight {
			h, out := held.weight[b], m.backends.withdrawn[b]
			cold = cold || w > 0 && m.slowStartFactor(b) < 1
			gone := m.backends.status[b] == Gone
			if w == h || w > 0 && h > 0 && math.Abs(w-h) < minChange*h && !out ||
				out && m.backends.status[b] != Ready && (!gone || m.now < m.backends.goneAt[b]+goneRetention) {
				next.weight[b] = h
				continue
			}
			urgency := urgencyLow
			if w == 0 && out {
				d.extraLines++
				urgency = ifElse(gone, urgencyLow, urgencyDerate)
			} else if w > 0 && !usable {
				urgency = urgencyCritical
			} else if w < h && (out || m.slowStartFactor(b) < 1) {
				urgency = urgencyDerate
			}
			if need(SetWeight{Table: id, Backend: b, Weight: w}, urgency); p.hasPeerTables && h == 0 {
				d.extraLines++
			}
		}
		for j, w := range next.admissions {
			w.Table = id
			if held.admissions == nil {
				need(w, urgencyLow)
			} else if h := held.admissions[j]; h.Retries == w.Retries &&
				math.Abs(h.RateLimit-w.RateLimit) <= minChange*h.RateLimit {
				w = h
			} else {
				need(w, ifElse(cold && w.RateLimit < h.RateLimit, urgencyDerate, urgencyLow))
			}
			next.admissions[j] = w
		}
		d.tables = append(d.tables, next)
		if !p.assigned {
			need(AssignTable{Proxy: i, Table: id, Products: group.mask}, urgencyCritical)
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
		for _, o := range r.step(ProxyConnected{Proxy: 2 + i%2, Zone: i % 2, Rate: 5}) {
			if u, ok := o.(AssignTable); ok && u.Proxy < 2 {
				t.Fatalf("proxy %d is put on a table as another one joins", u.Proxy)
			}
			if l, ok := o.(SetWeight); ok && l.Table/len(r.a.groups) < 2 {
				t.Fatalf("table %d changes as another proxy joins", l.Table)
			}
		}
	}
	if n := testing.AllocsPerRun(50, func() { r.a.Step(r.now, nil) }); n > 0 {
		t.Errorf("a step without events allocates %.0f times", n)
	}
}
