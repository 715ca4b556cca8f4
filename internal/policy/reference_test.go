package policy

import (
	"math"
	"testing"
)

// referenceAssigner is a direct implementation of Step that recomputes tables and subsets from all proxies and
// backends, and keeps only the installed tables. It does not support restrictions.
type referenceAssigner struct {
	*Assigner
	loadSums []float64    // txns/s by backend from the counted proxies
	counted  map[int]bool // proxies included in loadSums
}

func (m *referenceAssigner) Step(now Time, events []Event) []Order {
	for _, e := range events {
		if connected, ok := e.(ProxyConnected); ok {
			delete(m.counted, connected.Proxy)
		}
	}
	tick := m.handleEvents(now, events)
	if m.needsWatch && (tick || !m.started) {
		m.needsWatch = false
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
		queued := m.updateQueue()
		m.withdrawDraining()
		m.chooseSubsets(tick)
		var urgent, rest []change
		for i := range m.proxies {
			if !m.proxies[i].connected || !tick && !m.lacksUsableBackend(i) {
				continue
			}
			if c := m.changeFor(i); c.urgency == urgencyCritical || tick && c.urgency == urgencyDerate {
				urgent = append(urgent, c)
			} else if tick && c.urgency < urgencyNone {
				rest = append(rest, c)
			}
		}
		all := m.send(urgent, roomUrgent)
		if !all && !m.retryPending {
			m.retryPending = true
			m.emit(SetTimer{Delay: roomRetryInterval, Name: timerRetry})
		}
		if all && tick {
			var readmitted []int
			for b, s := range m.backends.status {
				if s == Ready && m.backends.withdrawn[b] {
					readmitted = append(readmitted, b)
				}
			}
			m.setWithdrawn(false, roomUrgent, readmitted...)
		}
		m.send(rest, roomRest)
		if m.queuedLines > queued {
			m.batch++
			m.writtenAt[m.batch%len(m.writtenAt)] = now
			m.emit(Marker{Number: m.batch % markerNumbers})
		}
	}
	return m.orders
}

func (m *referenceAssigner) lacksUsableBackend(i int) bool {
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

func (m *referenceAssigner) chooseSubsets(tick bool) {
	backends, size := &m.backends, 0.0
	if m.loadSums = append(m.loadSums, make([]float64, len(backends.zone)-len(m.loadSums))...); tick {
		m.loadSums, m.counted = make([]float64, len(backends.zone)), map[int]bool{}
	}
	var selected []int
	for i := range m.proxies {
		if m.proxies[i].connected && (tick || m.lacksUsableBackend(i)) {
			selected = append(selected, i)
		}
	}
	for b := range backends.zone {
		if backends.status[b] == Ready {
			size += connShare * m.conf.MinConns / float64(m.conf.Proxies)
		}
	}
	if size = max(size, minSubset); m.conf.MinConns == 0 {
		size = math.Inf(1)
	}
	for zone := range m.conf.Zones {
		rates, sizes := map[int]float64{}, map[int]float64{}
		for _, i := range selected {
			p := &m.proxies[i]
			p.subset = append(p.subset, make([]bool, len(backends.zone)-len(p.subset))...)
			for g, group := range m.groups {
				fraction := m.spillover[g][p.zone][zone]
				for _, k := range group.products {
					rates[i] += p.rate[k] * min(fraction*1e9, fraction+(1-fraction)*m.failureRisk)
				}
				if fraction > 0 {
					sizes[i] = max(sizes[i], 1, size*fraction)
				}
			}
			usable, all := 0.0, 0.0
			for b, inSubset := range p.subset {
				if inSubset && backends.zone[b] == zone && backends.status[b] == Ready {
					if all += m.expectedWeight(b); !backends.withdrawn[b] {
						usable += m.expectedWeight(b)
					}
				}
			}
			for b, inSubset := range p.subset {
				if inSubset && backends.zone[b] == zone && !m.counted[i] {
					m.loadSums[b] += rates[i] / max(ifElse(backends.withdrawn[b], all, usable), 1e-9)
				}
			}
		}
		for _, i := range selected {
			for p, swap := &m.proxies[i], tick; sizes[i] > 0; {
				most, least, subsetSize, weight := -1, -1, 0.0, 0.0
				for b, inSubset := range p.subset {
					if backends.zone[b] != zone || backends.status[b] != Ready {
						continue
					}
					if inSubset {
						subsetSize, weight = subsetSize+m.slowStartFactor(b), weight+m.expectedWeight(b)
					}
					if inSubset && (most < 0 || m.loadSums[b] > m.loadSums[most]) {
						most = b
					} else if !inSubset && (least < 0 || m.loadSums[b] < m.loadSums[least]) {
						least = b
					}
				}
				if least >= 0 && subsetSize < sizes[i] {
					p.subset[least] = true
					m.loadSums[least] += rates[i] / max(weight, min(sizes[i], minSubset)*m.expectedWeight(least))
				} else if most >= 0 && (subsetSize-m.slowStartFactor(most) >= sizes[i] ||
					swap && least >= 0 && m.loadSums[most] > swapRatio*m.loadSums[least]+rates[i]/weight) {
					p.subset[most], swap = false, false
					m.loadSums[most] -= rates[i] / weight
				} else {
					break
				}
			}
		}
	}
	for _, i := range selected {
		m.counted[i] = true
	}
	for b := range backends.zone {
		home := 0.0
		for _, p := range m.connected {
			home += ifElse(p.zone == backends.zone[b], float64(m.conf.Zones)/float64(m.conf.Proxies), 0)
		}
		m.load[b] = m.loadSums[b] / max(m.connectedShare(), min(home, 1), 1e-9)
	}
}

func (m *referenceAssigner) planTableFor(p *proxy, g int) table {
	class, backends, spillover := m.groups[g].class, &m.backends, m.spillover[g][p.zone]
	byZone := make([]float64, m.conf.Zones)
	isOpen := func(b int) bool { return m.isOpen(class, b) && (!class.OwnZone || backends.zone[b] == p.zone) }
	t := table{weight: make([]float64, len(backends.zone))}
	home, anyUsable, fraction := 1.0, false, unlimited
	for b, zone := range backends.zone {
		if p.subset[b] && spillover[zone] > 0 && isOpen(b) {
			byZone[zone], anyUsable = byZone[zone]+m.effectiveWeight(b), true
		}
	}
	if byZone[p.zone] > 0 {
		home = byZone[p.zone] / spillover[p.zone]
	}
	for b, zone := range backends.zone {
		if isOpen(b) && !anyUsable {
			t.weight[b] = m.effectiveWeight(b)
		} else if isOpen(b) && p.subset[b] && spillover[zone] > 0 {
			t.weight[b] = m.effectiveWeight(b) / byZone[zone] * spillover[zone] * home
		}
	}
	warmupShares, warm, inSlowStart, bearable := map[int]float64{}, 0.0, 0.0, 0.0
	for b, w := range t.weight {
		if w == 0 {
			continue
		}
		if m.load[b] == 0 || m.slowStartFactor(b) == 1 || m.throughput == 0 {
			warm += w
			continue
		}
		warmupShares[b] = maxWarmupLoad * m.conf.WarmupOverload * m.throughput / m.load[b]
		fraction, inSlowStart, bearable = min(fraction, warmupShares[b]), inSlowStart+w, bearable+w*min(warmupShares[b], 1)
	}
	if extra := min(inSlowStart+warm-bearable, maxWarmExtra*warm*(1-m.failureRisk)); fraction < 1 && extra > warm {
		for b, share := range warmupShares {
			t.weight[b] = t.weight[b] * min(share, 1) * warm / extra
		}
		fraction = (bearable + extra) / (inSlowStart + warm)
	}
	for _, k := range m.groups[g].products {
		t.admissions = append(
			t.admissions,
			Admission{
				RateLimit: m.rateLimitFor(p, k, fraction),
				Retries:   ifElse(m.responsesFast, RetryUnexecuted, NoRetry),
				Products:  1 << k,
			},
		)
	}
	return t
}

func (m *referenceAssigner) changeFor(i int) change {
	p, c := &m.proxies[i], change{proxy: i, urgency: urgencyNone}
	add := func(o Order, urgency int) {
		c.orders, c.urgency = append(c.orders, o), min(c.urgency, urgency)
	}
	for g, group := range m.groups {
		next, installed, id, usable, inSlowStart := m.planTableFor(p, g), p.installed[g], i*len(m.groups)+g, false, false
		installed.weight = append(installed.weight, make([]float64, len(next.weight)-len(installed.weight))...)
		if !p.assigned {
			add(ClearTable{Table: id}, urgencyCritical)
		}
		for b, before := range installed.weight {
			usable = usable || before > 0 && !m.backends.withdrawn[b]
		}
		for b, w := range next.weight {
			before, withdrawn := installed.weight[b], m.backends.withdrawn[b]
			inSlowStart = inSlowStart || w > 0 && m.slowStartFactor(b) < 1
			gone := m.backends.status[b] == Gone
			if w == before || w > 0 && before > 0 && math.Abs(w-before) < minChange*before && !withdrawn ||
				withdrawn && m.backends.status[b] != Ready && (!gone || m.now < m.backends.goneAt[b]+goneRetention) {
				next.weight[b] = before
				continue
			}
			urgency := urgencyLow
			if w == 0 && withdrawn {
				c.extraLines++
				urgency = ifElse(gone, urgencyLow, urgencyDerate)
			} else if w > 0 && !usable {
				urgency = urgencyCritical
			} else if w < before && (withdrawn || m.slowStartFactor(b) < 1) {
				urgency = urgencyDerate
			}
			if add(SetWeight{Table: id, Backend: b, Weight: w}, urgency); p.hasPeerTables && before == 0 {
				c.extraLines++
			}
		}
		for j, w := range next.admissions {
			w.Table = id
			if installed.admissions == nil {
				add(w, urgencyLow)
			} else if before := installed.admissions[j]; before.Retries == w.Retries &&
				math.Abs(before.RateLimit-w.RateLimit) <= minChange*before.RateLimit {
				w = before
			} else {
				add(w, ifElse(inSlowStart && w.RateLimit < before.RateLimit, urgencyDerate, urgencyLow))
			}
			next.admissions[j] = w
		}
		c.tables = append(c.tables, next)
		if !p.assigned {
			add(AssignTable{Proxy: i, Table: id, Products: group.mask}, urgencyCritical)
		}
	}
	return c
}

// The incremental implementation yields exactly the orders of the reference implementation.
func TestOrdersMatchReference(t *testing.T) {
	for seed := range int64(12) {
		assigner := New(simulationDeployment(seed))
		reference := &referenceAssigner{Assigner: New(simulationDeployment(seed)), counted: map[int]bool{}}
		if got, want := simulate(seed, assigner.Step), simulate(seed, reference.Step); got != want {
			t.Errorf("seed %d: orders %s, reference %s", seed, got, want)
		}
	}
}

// Between ticks, proxies with usable tables are sent nothing when others connect, and a step without events allocates
// nothing.
func TestConnectsDoNotAffectOtherProxies(t *testing.T) {
	r := startHarness(t, testDeployment())
	r.tick()
	for i := range 200 {
		r.now += 40
		for _, o := range r.step(ProxyConnected{Proxy: 2 + i%2, Zone: i % 2, Rate: 5}) {
			if u, ok := o.(AssignTable); ok && u.Proxy < 2 {
				t.Fatalf("proxy %d is assigned a table when another one connects", u.Proxy)
			}
			if l, ok := o.(SetWeight); ok && l.Table/len(r.assigner.groups) < 2 {
				t.Fatalf("table %d changes when another proxy connects", l.Table)
			}
		}
	}
	if n := testing.AllocsPerRun(50, func() { r.assigner.Step(r.now, nil) }); n > 0 {
		t.Errorf("a step without events allocates %.0f times", n)
	}
}
