package emulator

import (
	"fmt"

	"elmfold/internal/controller/tenancy"
)

// Campus is a day of the size that the cells are measured at: 24 backends in three zones, 60 proxies in 20
// tenants, 500 txns/s, at two fifths of what the backends can do.
func Campus(seed uint64) Day {
	d := Day{
		Seed:           seed,
		Zones:          3,
		Controllers:    2,
		WarmupTime:     10 * second,
		WarmupCapacity: 0.3,
		WarmupOverload: 4,
		TipAfter:       1500 * ms,
		MarkFor:        2500 * ms,
		ReportDelay:    900 * ms,
		ListDelay:      300 * ms,
		Dial:           1200 * ms,
		Again:          3,
		Products: []Product{
			{Name: "lookup", Part: 0.5, Work: 0.03, SLA: 400 * ms, Deadline: 2 * second},
			{Name: "file-copy", Part: 0.35, Work: 0.04, SLA: 500 * ms, Deadline: 3 * second, Safety: Keyed, OwnZone: true},
			{Name: "send-invoice", Part: 0.15, Work: 0.06, SLA: 800 * ms, Deadline: 4 * second, Safety: Unsafe},
		},
	}
	for i := range 24 {
		d.Backends = append(
			d.Backends,
			Backend{ID: fmt.Sprintf("s-%02d", i), Zone: i % 3, Cores: 2, Speed: 0.9 + 0.2*float64(i%5)/4},
		)
	}
	for i := range 60 {
		d.Proxies = append(d.Proxies, Proxy{Zone: i % 3, Tenant: Tenant(i / 3), Rate: 500.0 / 60})
	}
	return d
}

// Fleet is a day with several controllers, each of which sees its part of the proxies only: 240 proxies, 48 backends in
// four zones, at about half of what these can do, with a channel that is slow against a first table for all.
func Fleet(seed uint64, controllers int) Day {
	d := Campus(seed)
	d.Zones, d.Controllers, d.LinesPerS, d.MaxQueuedLines, d.Grace, d.Again = 4, controllers, 2400, 9600, 2*second, 0
	d.Backends, d.Proxies = nil, nil
	for i := range 48 {
		d.Backends = append(
			d.Backends,
			Backend{ID: fmt.Sprintf("s-%02d", i), Zone: i % 4, Cores: 2, Speed: 0.9 + 0.2*float64(i%5)/4},
		)
	}
	for i := range 240 {
		d.Proxies = append(d.Proxies, Proxy{Zone: i % 4, Tenant: Tenant(i / 12), Rate: 1100.0 / 240})
	}
	return d
}

// Tenant is the name of the nth tenant.
func Tenant(n int) string { return fmt.Sprintf("t%02d", n) }

// Confine gives a plan for the day's tenants: shuffled subsets of a size in each zone, or fixed cells of which the
// tenants take turns.
func (d Day) Confine(size int, names ...string) *tenancy.Plan {
	p := tenancy.DefaultPlan()
	p.Shuffle, p.ShardSize = len(names) == 0, size
	for _, n := range names {
		p.Cells = append(p.Cells, tenancy.Cell{Name: n, Share: 1})
	}
	at := map[string]int{}
	for i, x := range d.Proxies {
		n, known := at[x.Tenant]
		if !known {
			n = len(p.Tenants)
			at[x.Tenant] = n
			t := tenancy.Tenant{Name: x.Tenant}
			if len(names) > 0 {
				t.Cell = names[n%len(names)]
			}
			p.Tenants = append(p.Tenants, t)
		}
		p.Tenants[n].Proxies = append(p.Tenants[n].Proxies, i)
	}
	return &p
}

// Over sums a tenant's seconds from one to before another.
func (w *World) Over(tenant string, from, to int) (sum Sum) {
	for at, s := range w.Sums[tenant] {
		if at >= from && at < to {
			sum.Requested += s.Requested
			sum.Served += s.Served
			sum.Late += s.Late
			sum.Declined += s.Declined
			sum.Failed += s.Failed
		}
	}
	return sum
}
