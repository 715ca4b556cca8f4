package policy

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// model states invariants of the installed tables, independently of the implementation.
type model struct {
	deployment Deployment
	entries    map[int]Entry
	connected  map[int]int // zone by proxy
	lines      float64     // sent since the last acknowledged marker
}

// isAllowed reports whether a product at a proxy in a zone may use a backend.
func (m *model) isAllowed(product, zone, backend int) bool {
	e, known := m.entries[backend]
	p := m.deployment.Products[product]
	return known && e.Status == Ready && (!p.OwnZone || e.Zone == zone) &&
		(p.OnlyZones == nil || slices.Contains(p.OnlyZones, e.Zone))
}

// check returns the violated invariant, or "".
func (m *model) check(r *harness) string {
	for p, zone := range m.connected {
		for k := range m.deployment.Products {
			table, isAssigned := r.assigned[[2]int{p, k}]
			if !isAssigned {
				return "a connected proxy has no table"
			}
			lines, isPossible := 0, false
			for b, w := range r.tables[table] {
				if w == 0 || r.withdrawn[b] {
					continue
				}
				lines++
				if math.IsNaN(w) || math.IsInf(w, 0) || w < 0 || !m.isAllowed(k, zone, b) {
					return "an invalid weight, or a line to a backend that is draining, gone or not allowed"
				}
				e := m.entries[b]
				capacity := m.warmupCapacity(r.now, e)
				if e.StartedAt > 0 && capacity < 1 && m.isTooHeavy(r, table, b, capacity) {
					return "a backend in slow start has too much weight"
				}
			}
			for b := range m.entries {
				isPossible = isPossible || m.isAllowed(k, zone, b)
			}
			if isPossible && lines == 0 {
				return "a proxy has no usable backend"
			}
			g := r.admissions[[2]int{table, k}]
			if g.RateLimit < 0 || math.IsNaN(g.RateLimit) || math.IsInf(g.RateLimit, 0) {
				return "an invalid rate limit"
			}
			if g.Retries > RetryUnexecuted { // others may execute a txn twice
				return "a txn may be executed twice"
			}
		}
	}
	if m.lines > m.deployment.MaxQueuedLines {
		return "too many lines are queued"
	}
	return ""
}

// warmupCapacity returns the fraction of its capacity that a backend in slow start is guaranteed to have.
func (m *model) warmupCapacity(now Time, e Entry) float64 {
	initial, age := m.deployment.WarmupCapacity, float64(now-e.StartedAt)
	return min(1, initial+(1-initial)*age/float64(m.deployment.WarmupTime))
}

// changeTolerance is the largest ratio between two weights whose changes are not worth sending.
const changeTolerance = (1 + minChange) / (1 - minChange)

// isTooHeavy reports whether a backend in slow start outweighs its share of the heaviest warm backend in its zone.
func (m *model) isTooHeavy(r *harness, table, restarted int, fraction float64) bool {
	most := 0.0
	for b, w := range r.tables[table] {
		if e := m.entries[b]; !r.withdrawn[b] && e.Zone == m.entries[restarted].Zone && e.StartedAt == 0 && e.Weight > 0 {
			most = max(most, w/e.Weight)
		}
	}
	return most > 0 && r.tables[table][restarted] > most*fraction*m.entries[restarted].Weight/minDerating*changeTolerance
}

// TestModel checks the invariants under random lists, restarts, connections, and late and invalid reports.
func TestModel(t *testing.T) {
	play := func(seed int64, proxies, backends, ticks int) bool {
		rnd := rand.New(rand.NewSource(seed))
		d := testDeployment()
		d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = proxies, float64(750*proxies), float64(1500*proxies)
		d.MinConns = 200 // limits subsets if there are many proxies
		r := newHarness(t, d)
		m := &model{deployment: d, entries: map[int]Entry{}, connected: map[int]int{}}
		list := func(kind ListKind, n int) ListUpdate {
			l := ListUpdate{Kind: kind}
			named := map[int]bool{}
			for range n {
				b := rnd.Intn(backends)
				if named[b] {
					continue
				}
				named[b] = true
				e := Entry{Backend: b, Zone: b % 2, Status: Ready, Weight: 1 + float64(b%3)}
				switch rnd.Intn(6) {
				case 0:
					e.Status = Draining
				case 1:
					if e.Status = Gone; kind != ListChange {
						e.Status = Ready
					}
				case 2:
					e.StartedAt = r.now - Time(rnd.Intn(int(2*Second)))
				}
				if e.Status == Ready && e.StartedAt == 0 {
					e.StartedAt = m.entries[b].StartedAt // the start time stays known
				}
				l.Entries = append(l.Entries, e)
				if rnd.Intn(9) == 0 {
					l.Entries = append(l.Entries, e) // duplicate entry
				}
				m.entries[b] = e
			}
			if kind != ListChange {
				for b, e := range m.entries {
					if !named[b] {
						e.Status = Gone
						m.entries[b] = e
					}
				}
			}
			return l
		}
		events := []Event{list(ListCached, 4*backends)}
		for range ticks {
			for p := range proxies {
				if _, joined := m.connected[p]; !joined && rnd.Intn(4) == 0 {
					m.connected[p] = p % 2
					events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: rnd.Float64() * 100})
				} else if joined && rnd.Intn(30) == 0 {
					delete(m.connected, p)
					for k := range d.Products {
						delete(r.assigned, [2]int{p, k})
					}
					events = append(events, ProxyDisconnected{Proxy: p})
				} else { // also late and negative counts, unknown backends and disconnected proxies
					events = append(events, UsageReport{Proxy: p, Product: rnd.Intn(3), Txns: float64(rnd.Intn(220) - 20),
						Failed: float64(rnd.Intn(50)), Period: Time(rnd.Intn(4)) * Second / 2}, BackendReport{
						Backend: rnd.Intn(backends + 1), Attempts: float64(rnd.Intn(110) - 10), Failed: float64(rnd.Intn(120)),
						Latency: Time(rnd.Intn(20000))})
				}
			}
			if rnd.Intn(5) == 0 {
				events = append(events, list(ListChange, backends/3))
			} else if rnd.Intn(40) == 0 {
				events = append(events, list(ListFull, rnd.Intn(backends)))
			}
			r.now += Second
			events = append(events, MarkerAcked{Number: r.assigner.batch}, TimerFired{})
			m.lines = 0
			perProxy := map[int]float64{}
			for _, o := range r.step(events...) {
				switch o := o.(type) {
				case SetWeight:
					perProxy[o.Table/len(r.assigner.groups)]++
				case AssignTable:
					perProxy[o.Proxy] += 1 + float64(len(r.tables[o.Table]))
				}
			}
			for _, n := range perProxy {
				m.lines += n + d.MessageOverhead + 1
			}
			if violation := m.check(r); violation != "" {
				t.Logf("seed %d at %v: %s\n%v\n%v", seed, r.now, violation, r.tables, m.entries)
				return false
			}
			events = nil
		}
		return true
	}
	if !play(1, 300, 60, 20) {
		t.Error("failed with 300 proxies")
	}
	small := func(seed int64) bool { return play(seed, 4, 8, 150) }
	if err := quick.Check(small, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
