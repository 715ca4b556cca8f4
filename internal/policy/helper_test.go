package policy

import "testing"

// deployment has two zones and three products: free, at home only, and in zone 0 only.
func deployment() Deployment {
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

// rig drives an Assigner and keeps what its proxies would hold.
type rig struct {
	t      *testing.T
	d      Deployment
	a      *Assigner
	now    Time
	tables map[int]map[int]float64
	gates  map[[2]int]Admission // by table and product
	uses   map[[2]int]int       // table by proxy and product
	out    map[int]bool         // withdrawn backends
	count  int                  // orders to proxies in the last step
}

func newRig(t *testing.T, d Deployment) *rig {
	return &rig{t: t, d: d, a: New(d), now: 1000 * Second, tables: map[int]map[int]float64{},
		gates: map[[2]int]Admission{}, uses: map[[2]int]int{}, out: map[int]bool{}}
}

// step carries out the orders that the events lead to; a fence is answered by the next step.
func (r *rig) step(events ...Event) []Order {
	r.count = 0
	orders := r.a.Step(r.now, events)
	for _, o := range orders {
		switch o := o.(type) {
		case SetWeight:
			if r.tables[o.Table] == nil {
				r.tables[o.Table] = map[int]float64{}
			}
			r.tables[o.Table][o.Backend] = o.Weight
			r.count++
		case ClearTable:
			delete(r.tables, o.Table)
		case Withdraw:
			r.out[o.Backend] = o.Withdrawn
		case Admission:
			for k := range r.d.Products {
				if o.Products&(1<<k) != 0 {
					r.gates[[2]int{o.Table, k}] = o
				}
			}
			r.count++
		case AssignTable:
			for k := range r.d.Products {
				if o.Products&(1<<k) != 0 {
					r.uses[[2]int{o.Proxy, k}] = o.Table
				}
			}
			r.count++
		}
	}
	return orders
}

// second lets a second pass, with reports that come before the tick.
func (r *rig) second(reports ...Event) []Order {
	r.now += Second
	return r.step(append(reports, MarkerAcked{Number: r.a.batch}, TimerFired{})...)
}

// weight is the weight of a proxy's line for a product, none while the backend is withdrawn.
func (r *rig) weight(proxy, product, backend int) float64 {
	if r.out[backend] {
		return 0
	}
	return r.tables[r.uses[[2]int{proxy, product}]][backend]
}

func (r *rig) gate(proxy, product int) Admission {
	return r.gates[[2]int{r.uses[[2]int{proxy, product}], product}]
}

// start lists four warm backends, two a zone, and joins a proxy in each zone.
func start(t *testing.T, d Deployment) *rig {
	r := newRig(t, d)
	r.step(ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}},
		ProxyConnected{Proxy: 0, Zone: 0, Rate: 50}, ProxyConnected{Proxy: 1, Zone: 1, Rate: 50})
	return r
}

func ready(b, zone int) Entry { return Entry{Backend: b, Zone: zone, Status: Ready, Weight: 1} }

// reports are a second of tries at four backends and of use at two proxies.
func reports(rate float64, voided []float64, took Time) []Event {
	var e []Event
	for b, v := range voided {
		e = append(e, BackendReport{Backend: b, Attempts: 30, Failed: 30 * v, Latency: took})
	}
	for p := range 2 {
		for k := range 3 {
			e = append(e, UsageReport{Proxy: p, Product: k, Txns: rate, Period: Second})
		}
	}
	return e
}

var calm = []float64{0, 0, 0, 0}
