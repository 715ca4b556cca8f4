package policy

import "testing"

// testDeployment has two zones and three products: unrestricted, own zone only, and zone 0 only.
func testDeployment() Deployment {
	return Deployment{
		Products: []Product{
			{Revenue: 2, SLA: 8000},
			{Revenue: 6, SLA: 5000, OwnZone: true},
			{Revenue: 5, SLA: 8000, OnlyZones: []int{0}},
		},
		Zones:           2,
		Proxies:         4,
		HonorRemovals:   true,
		WarmupTime:      15 * Second,
		WarmupCapacity:  0.2,
		WarmupOverload:  3,
		LinesPerSecond:  3000,
		MaxQueuedLines:  6000,
		MessageOverhead: 6,
		MaxMessages:     30,
		MessageWindow:   10 * Second,
	}
}

// harness drives an Assigner and tracks the tables that its proxies hold.
type harness struct {
	t           *testing.T
	deployment  Deployment
	assigner    *Assigner
	now         Time
	tables      map[int]map[int]float64
	admissions  map[[2]int]Admission // by table and product
	assigned    map[[2]int]int       // table by proxy and product
	withdrawn   map[int]bool         // backends
	tableOrders int                  // orders to proxies in the last step
}

func newHarness(t *testing.T, d Deployment) *harness {
	return &harness{t: t, deployment: d, assigner: New(d), now: 1000 * Second, tables: map[int]map[int]float64{},
		admissions: map[[2]int]Admission{}, assigned: map[[2]int]int{}, withdrawn: map[int]bool{}}
}

// step runs a step and applies its orders to the proxies. Markers are acknowledged by tick.
func (r *harness) step(events ...Event) []Order {
	r.tableOrders = 0
	orders := r.assigner.Step(r.now, events)
	for _, o := range orders {
		switch o := o.(type) {
		case SetWeight:
			if r.tables[o.Table] == nil {
				r.tables[o.Table] = map[int]float64{}
			}
			r.tables[o.Table][o.Backend] = o.Weight
			r.tableOrders++
		case ClearTable:
			delete(r.tables, o.Table)
		case Withdraw:
			r.withdrawn[o.Backend] = o.Withdrawn
		case Admission:
			for k := range r.deployment.Products {
				if o.Products&(1<<k) != 0 {
					r.admissions[[2]int{o.Table, k}] = o
				}
			}
			r.tableOrders++
		case AssignTable:
			for k := range r.deployment.Products {
				if o.Products&(1<<k) != 0 {
					r.assigned[[2]int{o.Proxy, k}] = o.Table
				}
			}
			r.tableOrders++
		}
	}
	return orders
}

// tick advances by a second and runs a tick after the given reports.
func (r *harness) tick(reports ...Event) []Order {
	r.now += Second
	return r.step(append(reports, MarkerAcked{Number: r.assigner.batch}, TimerFired{})...)
}

// weight returns the weight of a backend in a proxy's table, 0 if it is withdrawn.
func (r *harness) weight(proxy, product, backend int) float64 {
	if r.withdrawn[backend] {
		return 0
	}
	return r.tables[r.assigned[[2]int{proxy, product}]][backend]
}

func (r *harness) admission(proxy, product int) Admission {
	return r.admissions[[2]int{r.assigned[[2]int{proxy, product}], product}]
}

// startHarness lists two backends in each of two zones and connects a proxy in each.
func startHarness(t *testing.T, d Deployment) *harness {
	r := newHarness(t, d)
	r.step(twoPerZone(),
		ProxyConnected{Proxy: 0, Zone: 0, Rate: 50}, ProxyConnected{Proxy: 1, Zone: 1, Rate: 50})
	return r
}

// twoPerZone lists two ready backends in each of two zones.
func twoPerZone() ListUpdate {
	entries := []Entry{readyEntry(0, 0), readyEntry(1, 0), readyEntry(2, 1), readyEntry(3, 1)}
	return ListUpdate{Kind: ListCached, Entries: entries}
}

func readyEntry(b, zone int) Entry { return Entry{Backend: b, Zone: zone, Status: Ready, Weight: 1} }

// secondOfReports returns a second's reports of four backends and two proxies.
func secondOfReports(rate float64, failed []float64, latency Time) []Event {
	var e []Event
	for b, v := range failed {
		e = append(e, BackendReport{Backend: b, Attempts: 30, Failed: 30 * v, Latency: latency})
	}
	for p := range 2 {
		for k := range 3 {
			e = append(e, UsageReport{Proxy: p, Product: k, Txns: rate, Period: Second})
		}
	}
	return e
}

var noFailures = []float64{0, 0, 0, 0}
