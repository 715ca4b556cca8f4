package policy

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// model is the rules in their plainest form, kept beside the module: what a proxy may hold, and what it must.
type model struct {
	d       Deployment
	entries map[int]Entry
	in      map[int]int // zone of each joined proxy
	lines   float64     // ordered since the last fence that was answered
}

func (m *model) may(product, zone, backend int) bool {
	e, known := m.entries[backend]
	p := m.d.Products[product]
	return known && e.Status == Ready && (!p.OwnZone || e.Zone == zone) &&
		(p.OnlyZones == nil || slices.Contains(p.OnlyZones, e.Zone))
}

// check says what the state that a rig reached breaks.
func (m *model) check(r *rig) string {
	for p, zone := range m.in {
		for k := range m.d.Products {
			table, bound := r.uses[[2]int{p, k}]
			if !bound {
				return "a joined proxy is on no table"
			}
			lines, might := 0, false
			for b, w := range r.tables[table] {
				if w == 0 || r.out[b] {
					continue
				}
				lines++
				if math.IsNaN(w) || math.IsInf(w, 0) || w < 0 || !m.may(k, zone, b) {
					return "a weight that is none, or a line to a backend that drains, is gone or is not allowed"
				}
				if e := m.entries[b]; e.StartedAt > 0 && m.cold(r.now, e) < 1 && m.heavy(r, table, b, m.cold(r.now, e)) {
					return "a cold backend has more than its part"
				}
			}
			for b := range m.entries {
				might = might || m.may(k, zone, b)
			}
			if might && lines == 0 {
				return "a proxy is left without a backend"
			}
			g := r.gates[[2]int{table, k}]
			if g.RateLimit < 0 || math.IsNaN(g.RateLimit) || math.IsInf(g.RateLimit, 0) {
				return "a level that is no level"
			}
			if g.Retries > RetryUnexecuted { // only after proof that the first try never ran
				return "a txn may take effect twice"
			}
		}
	}
	if m.lines > m.d.MaxQueuedLines {
		return "too many lines wait"
	}
	return ""
}

// cold is the part that a backend must be able to do for sure at an age.
func (m *model) cold(now Time, e Entry) float64 {
	return min(1, m.d.WarmupCapacity+(1-m.d.WarmupCapacity)*float64(now-e.StartedAt)/float64(m.d.WarmupTime))
}

// slack is what two lines may differ by before either is worth a change.
const slack = (1 + minChange) / (1 - minChange)

// heavy says whether a cold backend's line outweighs its part of the heaviest warm line of its zone.
func (m *model) heavy(r *rig, table, cold int, part float64) bool {
	most := 0.0
	for b, w := range r.tables[table] {
		if e := m.entries[b]; !r.out[b] && e.Zone == m.entries[cold].Zone && e.StartedAt == 0 && e.Weight > 0 {
			most = max(most, w/e.Weight)
		}
	}
	return most > 0 && r.tables[table][cold] > most*part*m.entries[cold].Weight/minDerating*slack
}

// TestModel drives the module with generated days: lists, restarts, joins, breaks, late and odd reports.
func TestModel(t *testing.T) {
	day := func(seed int64, proxies, backends, ticks int) bool {
		rnd := rand.New(rand.NewSource(seed))
		d := deployment()
		d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = proxies, float64(750*proxies), float64(1500*proxies)
		d.MinConns = 200 // binds where there are many proxies
		r := newRig(t, d)
		m := &model{d: d, entries: map[int]Entry{}, in: map[int]int{}}
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
					e.StartedAt = m.entries[b].StartedAt // a start stays known
				}
				l.Entries = append(l.Entries, e)
				if rnd.Intn(9) == 0 {
					l.Entries = append(l.Entries, e) // twice
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
				if _, joined := m.in[p]; !joined && rnd.Intn(4) == 0 {
					m.in[p] = p % 2
					events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: rnd.Float64() * 100})
				} else if joined && rnd.Intn(30) == 0 {
					delete(m.in, p)
					for k := range d.Products {
						delete(r.uses, [2]int{p, k})
					}
					events = append(events, ProxyDisconnected{Proxy: p})
				} else { // also late and negative sums, of backends that are unknown and of proxies that left
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
			events = append(events, MarkerAcked{Number: r.a.batch}, TimerFired{})
			m.lines = 0
			perProxy := map[int]float64{}
			for _, o := range r.step(events...) {
				switch o := o.(type) {
				case SetWeight:
					perProxy[o.Table/len(r.a.groups)]++
				case AssignTable:
					perProxy[o.Proxy] += 1 + float64(len(r.tables[o.Table]))
				}
			}
			for _, n := range perProxy {
				m.lines += n + d.MessageOverhead + 1
			}
			if broken := m.check(r); broken != "" {
				t.Logf("seed %d at %v: %s\n%v\n%v", seed, r.now, broken, r.tables, m.entries)
				return false
			}
			events = nil
		}
		return true
	}
	if !day(1, 300, 60, 20) {
		t.Error("at 300 proxies")
	}
	small := func(seed int64) bool { return day(seed, 4, 8, 150) }
	if err := quick.Check(small, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
