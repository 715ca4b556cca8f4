package tenancy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"elmfold/internal/policy"
)

const second = policy.Second

// fleet returns n backends in two zones; every fourth of a zone is of kind 1.
func fleet(n int) (all []Backend) {
	const zones = 2
	for i := range n {
		all = append(
			all,
			Backend{
				Index:  i,
				ID:     fmt.Sprintf("s-%03d", i),
				Zone:   i % zones,
				Kind:   i / zones % 4 / 3,
				Status: policy.Ready,
				Weight: 1,
			},
		)
	}
	return all
}

func fixed(names ...string) Plan {
	p := DefaultPlan()
	p.Zones, p.WarmupTime = 2, 10*second
	for _, n := range names {
		p.Cells = append(p.Cells, Cell{n, 1})
	}
	return p
}

func shuffled(size, tenants, each int) Plan {
	p := DefaultPlan()
	p.Zones, p.WarmupTime, p.Shuffle, p.ShardSize = 2, 10*second, true, size
	for i := range tenants {
		t := Tenant{Name: fmt.Sprint("t", i)}
		for j := range each {
			t.Proxies = append(t.Proxies, i*each+j)
		}
		p.Tenants = append(p.Tenants, t)
	}
	return p
}

// simulation drives a Manager; restrictions has the last restriction of each proxy.
type simulation struct {
	*testing.T
	c            *Manager
	now          Time
	list         []Backend
	restrictions map[int]policy.ProxyRestricted
	logs         []string
	notified     int
}

func newSimulation(t *testing.T, p Plan, list []Backend, proxies int) *simulation {
	d := &simulation{T: t, c: New(proxies), now: 1000 * second, list: list, restrictions: map[int]policy.ProxyRestricted{}}
	events := []Event{ListUpdate{list}, PlanUpdate{p}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: i % p.Zones})
	}
	d.step(events...)
	return d
}

func (d *simulation) step(events ...Event) {
	d.logs, d.notified = nil, 0
	for _, o := range d.c.Step(d.now, events) {
		switch o := o.(type) {
		case policy.ProxyRestricted:
			d.restrictions[o.Proxy] = o
			d.notified++
		case LogMessage:
			d.logs = append(d.logs, o.Text)
		}
	}
}

// pass advances the time in seconds, with the same events in each.
func (d *simulation) pass(seconds int, events ...Event) (logs []string) {
	for range seconds {
		d.now += second
		d.step(events...)
		logs = append(logs, d.logs...)
	}
	return logs
}

func (d *simulation) change(f func(b *Backend), ats ...int) {
	d.list = slices.Clone(d.list)
	for i := range d.list {
		if slices.Contains(ats, d.list[i].Index) {
			f(&d.list[i])
		}
	}
	d.step(ListUpdate{d.list})
}

func (d *simulation) die(ats ...int) {
	d.change(func(b *Backend) { b.Status = policy.Gone }, ats...)
}

func hasLine(logs []string, words string) bool {
	return slices.ContainsFunc(logs, func(n string) bool { return strings.Contains(n, words) })
}

// For generated lists, the shards kept through changes equal a direct computation by score, and a change of one
// backend changes only the shards that it enters or leaves.
func TestShardsMatchModel(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 17))
		p := shuffled(1+rng.IntN(4), 30, 1)
		p.MaxLost = 0
		p.Products = []policy.Product{{}, {OwnZone: true}, {OnlyZones: []int{1}}, {OnlyKinds: []int{1}}}
		d := newSimulation(t, p, fleet(16), 30)
		plain := func(tenant string) (own []int) {
			for _, need := range p.Products {
				for zone := range p.Zones {
					taken := map[int]bool{}
					for range p.ShardSize {
						best, most := -1, -1.0
						for _, b := range d.list {
							ok := b.Status == policy.Ready && b.Zone == zone && !taken[b.Index] &&
								(need.OnlyZones == nil || slices.Contains(
									need.OnlyZones,
									zone,
								)) && (need.OnlyKinds == nil || slices.Contains(need.OnlyKinds, b.Kind))
							if s := score(tenantSeed(tenant), b.ID); ok && s > most {
								best, most = b.Index, s
							}
						}
						if best >= 0 {
							taken[best] = true
							own = append(own, best)
						}
					}
				}
			}
			slices.Sort(own)
			return slices.Compact(own)
		}
		for turn := range 60 {
			at := rng.IntN(len(d.list))
			before := map[string][]int{}
			for _, tt := range d.c.tenants {
				before[tt.Name] = tt.assigned
			}
			d.change(func(b *Backend) {
				b.Status = []policy.Status{policy.Ready, policy.Draining, policy.Gone}[rng.IntN(3)]
			}, at)
			for _, tt := range d.c.tenants {
				want := plain(tt.Name)
				if !slices.Equal(tt.assigned, want) {
					t.Fatalf("seed %d, turn %d: %s has %v, the model %v", seed, turn, tt.Name, tt.assigned, want)
				}
				if was := before[tt.Name]; !slices.Equal(was, want) && !slices.Contains(was, at) && !slices.Contains(want, at) {
					t.Fatalf("seed %d: a change of %d moved %v to %v", seed, at, was, want)
				}
			}
		}
	}
}

// Assignments do not depend on the order of the list or on the indices.
func TestAssignmentIsDeterministic(t *testing.T) {
	p := shuffled(3, 20, 1)
	a := fleet(30)
	b := slices.Clone(a)
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(b), func(i, j int) { b[i], b[j] = b[j], b[i] })
	for i := range b {
		b[i].Index = 29 - i
	}
	ids := func(own []int, list []Backend) (names []string) {
		for _, x := range list {
			if contains(own, x.Index) {
				names = append(names, x.ID)
			}
		}
		slices.Sort(names)
		return names
	}
	for _, tt := range p.Tenants {
		x, y := ids(p.AssignedBackends(tt, a), a), ids(p.AssignedBackends(tt, b), b)
		if !reflect.DeepEqual(x, y) || len(x) != 6 {
			t.Errorf("%s: %v and %v", tt.Name, x, y)
		}
	}
}

// When the backends of a cell die, drain or turn cold, the tenant borrows a limited number of warm ones. They are
// returned once the cell is back, not before the minimum loan time.
func TestLoans(t *testing.T) {
	for name, f := range map[string]func(*Backend){
		"die":   func(b *Backend) { b.Status = policy.Gone },
		"drain": func(b *Backend) { b.Status = policy.Draining },
		"cold":  func(b *Backend) { b.StartedAt = 1003 * second },
	} {
		t.Run(name, func(t *testing.T) {
			p := fixed("red", "blue")
			p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1}, Cell: "red"}}
			d := newSimulation(t, p, fleet(20), 2)
			own := slices.Clone(d.restrictions[0].Backends)
			d.pass(3)
			d.change(f, own...)
			got := d.restrictions[0].Backends
			lent := slices.DeleteFunc(slices.Clone(got), func(at int) bool { return slices.Contains(own, at) })
			if len(lent) == 0 || len(lent) > p.MaxLoans || !hasLine(d.logs, "borrows backend") {
				t.Fatalf("own backends %v, borrowed %v, log %v", own, lent, d.logs)
			}
			d.change(func(b *Backend) { b.Status, b.StartedAt = policy.Ready, 0 }, own...)
			at := d.logs
			if logs := d.pass(25); hasLine(at, "returned borrowed backend") || hasLine(logs, "returned borrowed backend") {
				t.Errorf("loans returned before 30 s: %v", logs)
			}
			d.pass(10)
			if got := d.restrictions[0].Backends; !slices.Equal(got, own) {
				t.Errorf("after the loan: backends %v, want %v", got, own)
			}
		})
	}
}

// A tenant that crashes its backends is contained: it keeps a minimal rate, and most of the fleet survives.
func TestContainment(t *testing.T) {
	p := shuffled(2, 1, 2)
	d := newSimulation(t, p, fleet(40), 2)
	killed := 0
	var logs []string
	for range 60 {
		d.pass(2)
		alive := []int{}
		for _, at := range d.restrictions[0].Backends {
			if d.list[at].Status == policy.Ready {
				alive = append(alive, at)
			}
		}
		if d.restrictions[0].MaxRate > 0 && d.restrictions[0].MaxRate <= p.ContainedRate {
			break // so few transactions crash no backend
		}
		killed += len(alive)
		d.die(alive...)
		logs = append(logs, d.logs...)
	}
	if !hasLine(logs, "is contained") || killed > 20 {
		t.Errorf("%d of 40 backends crashed; log %v", killed, logs)
	}
	if got := d.restrictions[0]; len(got.Backends) == 0 || got.MaxRate != p.ContainedRate {
		t.Errorf("contained with %+v", got)
	}
}

// In a move, each group of proxies uses both cells without retries, then the new cell alone.
func TestMove(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{
		{Name: "acme", Proxies: []int{0, 1, 2, 3, 4, 5, 6, 7}, Cell: "red"},
		{Name: "other", Proxies: []int{8}, Cell: "red"},
	}
	d := newSimulation(t, p, fleet(20), 9)
	red, blue := d.restrictions[0].Backends, p.AssignedBackends(Tenant{Cell: "blue"}, d.list)
	d.step(Move{Tenant: "acme", Cell: "blue"})
	both := union(red, blue)
	for part := range 4 {
		for i := range 8 {
			want, noRetries := both, true
			if i < 2*part {
				want = blue
			} else if i >= 2*part+2 {
				want, noRetries = red, false
			}
			if got := d.restrictions[i]; !slices.Equal(got.Backends, want) || got.NoRetries != noRetries {
				t.Errorf("part %d, proxy %d: %+v, want %v", part, i, got, want)
			}
		}
		if logs := d.pass(int(p.SettleTime / second)); part == 3 && !hasLine(logs, "moved from red to blue") {
			t.Errorf("log %v", logs)
		}
	}
	d.pass(10)
	for i := range 8 {
		if got := d.restrictions[i]; !slices.Equal(got.Backends, blue) || got.NoRetries {
			t.Errorf("proxy %d ends with %+v", i, got)
		}
	}
	if !slices.Equal(d.restrictions[8].Backends, red) {
		t.Error("another tenant was moved")
	}
	// Requests for an unknown cell or tenant, or during a move, are rejected.
	d.step(
		Move{Tenant: "acme", Cell: "green"},
		Move{Tenant: "none", Cell: "red"},
		Move{Tenant: "acme", Cell: "red"},
		Move{Tenant: "acme", Cell: "blue"},
	)
	if !hasLine(d.logs, "no fixed cell green") || !hasLine(d.logs, "move tenant none: no such tenant") ||
		!hasLine(d.logs, "already moving") {
		t.Errorf("log %v", d.logs)
	}
	d.step(CancelMove{"acme"})
	if got := d.restrictions[0]; !slices.Equal(got.Backends, blue) || !got.NoRetries {
		t.Errorf("after the cancellation proxy 0 has %+v", got)
	}
}

// A move waits until most of the new cell is warm. It is canceled on a timeout, or if the cell dies.
func TestMoveToColdCell(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "red"}}
	list := fleet(20)
	blue := p.AssignedBackends(Tenant{Cell: "blue"}, list)
	d := newSimulation(t, p, list, 4)
	red := d.restrictions[0].Backends
	d.change(func(b *Backend) { b.StartedAt = d.now }, blue...)
	d.step(Move{Tenant: "acme", Cell: "blue"})
	d.pass(9)
	if got := d.restrictions[0].Backends; !slices.Equal(got, red) {
		t.Errorf("while the cell is cold proxy 0 has %v", got)
	}
	d.pass(2)
	if got := d.restrictions[0].Backends; !slices.Equal(got, union(red, blue)) {
		t.Errorf("when it is warm proxy 0 has %v", got)
	}
	d.pass(4)
	d.die(blue...)
	if got := d.restrictions[0].Backends; !slices.Equal(got, red) || !hasLine(d.logs, "canceled") {
		t.Errorf("after the new cell died: %v, log %v", got, d.logs)
	}
	d.step(Move{Tenant: "acme", Cell: "blue"})
	if logs := d.pass(125); !hasLine(logs, "did not warm up") {
		t.Errorf("log %v", logs)
	}
}

// A controller that restarts during a move applies its plan at once; a new plan on a running one starts a move.
func TestRestartDuringMove(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "red"}}
	there := p
	there.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "blue"}}
	list := fleet(20)
	red, blue := p.AssignedBackends(p.Tenants[0], list), p.AssignedBackends(there.Tenants[0], list)
	for at := range 20 {
		d := newSimulation(t, p, list, 4)
		d.step(PlanUpdate{there})
		d.pass(at)
		for file, want := range map[*Plan][]int{&p: red, &there: blue} {
			next := newSimulation(t, *file, list, 4)
			for i := range 4 {
				if got := next.restrictions[i].Backends; !slices.Equal(got, want) {
					t.Errorf("killed after %d s, proxy %d has %v, want %v", at, i, got, want)
				}
			}
		}
	}
	d := newSimulation(t, p, list, 4)
	d.step(PlanUpdate{there})
	if got := d.restrictions[3].Backends; !slices.Equal(got, red) {
		t.Errorf("a new file put proxy 3 on %v at once", got)
	}
	d.pass(20)
	if got := d.restrictions[3].Backends; !slices.Equal(got, blue) {
		t.Errorf("then on %v, want %v", got, blue)
	}
}

// Under two controllers with different plans and lists, each proxy keeps a ready backend of the controller's list.
func TestTwoControllers(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 6))
		p, q := fixed("red", "blue"), shuffled(2, 3, 4)
		for i := range 3 {
			p.Tenants = append(
				p.Tenants,
				Tenant{Name: fmt.Sprint("t", i), Proxies: q.Tenants[i].Proxies, Cell: []string{"red", "blue"}[i%2]},
			)
		}
		list := fleet(16)
		a, b := newSimulation(t, p, list, 12), newSimulation(t, q, list, 12)
		for range 60 {
			at, status := rng.IntN(16), []policy.Status{policy.Ready, policy.Gone, policy.Draining}[rng.IntN(3)]
			for _, d := range []*simulation{a, b} {
				if rng.IntN(3) > 0 { // otherwise this controller misses the change
					d.change(func(b *Backend) { b.Status = status }, at)
				}
				i := rng.IntN(12)
				d.step(ProxyDisconnected{i}, ProxyConnected{Proxy: i, Zone: i % 2})
				d.pass(rng.IntN(3))
				ready := map[int]bool{}
				for _, x := range d.list {
					if x.Status == policy.Ready {
						ready[x.Index] = true
					}
				}
				for i := range 12 {
					open := func(at int) bool { return ready[at] }
					if len(ready) > 0 && !slices.ContainsFunc(d.restrictions[i].Backends, open) {
						t.Fatalf("seed %d: proxy %d may use %v, ready are %v", seed, i, d.restrictions[i].Backends, ready)
					}
				}
			}
		}
	}
}

// Adding or removing a backend notifies only the tenants whose shard it enters or leaves.
func TestManyTenants(t *testing.T) {
	p := shuffled(2, 5000, 1)
	list := fleet(500)
	d := newSimulation(t, p, list[:499], 5000)
	d.list = list
	d.step(ListUpdate{list})
	enter := 0
	for _, tt := range p.Tenants {
		if slices.Contains(p.AssignedBackends(tt, list), 499) {
			enter++
		}
	}
	if d.notified != enter || enter == 0 || enter > 100 {
		t.Errorf("%d proxies notified of a backend that enters %d shards", d.notified, enter)
	}
	had := 0
	for i := range 5000 {
		if slices.Contains(d.restrictions[i].Backends, 7) {
			had++
		}
	}
	d.die(7)
	if d.notified != had {
		t.Errorf("%d proxies notified of the removal of a backend that %d had", d.notified, had)
	}
}

// Removing a tenant from the plan lifts its restriction; proxies without a tenant get no messages.
func TestTenantAddedAndRemoved(t *testing.T) {
	p := shuffled(2, 2, 2)
	d := newSimulation(t, p, fleet(20), 6)
	if len(d.restrictions) != 4 {
		t.Errorf("%d proxies are restricted, want 4", len(d.restrictions))
	}
	q := p
	q.Tenants = p.Tenants[:1]
	d.step(PlanUpdate{q})
	if d.restrictions[2].Restricted || !d.restrictions[1].Restricted || d.notified != 2 {
		t.Errorf("without its tenant proxy 2 has %+v; %d notified", d.restrictions[2], d.notified)
	}
	q.Tenants = nil
	d.step(PlanUpdate{q})
	if d.restrictions[0].Restricted {
		t.Errorf("without tenants proxy 0 has %+v", d.restrictions[0])
	}
	d.step(PlanUpdate{p})
	if !d.restrictions[3].Restricted {
		t.Errorf("with its tenant again proxy 3 has %+v", d.restrictions[3])
	}
}

// A tenant with failing backends is limited, its busiest proxy most, and loses retries until the backends recover.
func TestRateLimit(t *testing.T) {
	p := shuffled(2, 5, 2)
	d := newSimulation(t, p, fleet(40), 10)
	failing := d.restrictions[0].Backends
	reports := func(failureRate float64) (all []Event) {
		for at := range 40 {
			h := BackendReport{Backend: at, Attempts: 20, Latency: 400}
			if slices.Contains(failing, at) {
				h.Failed = 20 * failureRate
			}
			all = append(all, h)
		}
		for i := range 10 {
			all = append(all, UsageReport{Proxy: i, Txns: []float64{40, 5}[i%2], Period: second})
		}
		return all
	}
	if logs := d.pass(5, reports(0)...); len(logs) > 0 {
		t.Errorf("healthy backends: %v", logs)
	}
	logs := d.pass(10, reports(0.9)...)
	big, small := d.restrictions[0], d.restrictions[1]
	if !hasLine(logs, "tenant t0 is limited") || big.MaxRate == 0 || big.MaxRate > 35 || small.MaxRate < 4.9 ||
		!big.NoRetries {
		t.Errorf("%v; busy proxy %+v, idle proxy %+v", logs, big, small)
	}
	for i := 2; i < 10; i++ {
		if own := d.restrictions[i]; own.MaxRate > 0 &&
			!slices.ContainsFunc(own.Backends, func(at int) bool { return slices.Contains(failing, at) }) {
			t.Errorf("proxy %d is limited too: %+v", i, own)
		}
	}
	logs = d.pass(60, reports(0)...)
	if d.restrictions[0].MaxRate != 0 || !hasLine(logs, "no longer limited") {
		t.Errorf("after a minute %+v", d.restrictions[0])
	}
}

// Blast radii equal those computed by hand.
func TestBlastRadii(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{{Name: "a", Cell: "red"}, {Name: "b", Cell: "red"}, {Name: "c", Cell: "blue"}}
	list := fleet(20)
	tenants, backends := p.BlastRadii(list)
	if tenants[0].Mean != 0.5 || tenants[0].Max != 1 || tenants[0].MaxTenant != "b" || tenants[2].Mean != 0 {
		t.Errorf("radii %+v", tenants)
	}
	total := 0.0
	for _, part := range backends {
		total += part
	}
	if total < 0.999 || total > 1.001 {
		t.Errorf("fractions of backends sum to %.3f", total)
	}
}

func BenchmarkBackendAdded(b *testing.B) {
	p := shuffled(2, 5000, 1)
	list := fleet(500)
	c := New(5000)
	events := []Event{ListUpdate{list[:499]}, PlanUpdate{p}}
	for i := range 5000 {
		events = append(events, ProxyConnected{Proxy: i, Zone: i % 2})
	}
	c.Step(second, events)
	at := 0
	for b.Loop() {
		at++
		c.Step(second, []Event{ListUpdate{list[:499+at%2]}})
	}
}

// More than a tenth of failed transactions in a cell disables the retries of its tenants only.
func TestRetryBudget(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{
		{Name: "a", Proxies: []int{0}, Cell: "red"},
		{Name: "b", Proxies: []int{1}, Cell: "red"},
		{Name: "c", Proxies: []int{2}, Cell: "blue"},
	}
	d := newSimulation(t, p, fleet(20), 3)
	reports := func(failed float64) []Event {
		return []Event{
			UsageReport{Proxy: 0, Txns: 100, Failed: failed, Period: second},
			UsageReport{Proxy: 1, Txns: 100, Period: second},
			UsageReport{Proxy: 2, Txns: 100, Period: second},
		}
	}
	for _, c := range []struct {
		failed    float64
		noRetries bool
	}{{15, false}, {40, true}, {5, false}} {
		d.pass(8, reports(c.failed)...)
		if d.restrictions[0].NoRetries != c.noRetries || d.restrictions[1].NoRetries != c.noRetries ||
			d.restrictions[2].NoRetries {
			t.Errorf(
				"%v of 200 failed: NoRetries %v %v, in the other cell %v",
				c.failed,
				d.restrictions[0].NoRetries,
				d.restrictions[1].NoRetries,
				d.restrictions[2].NoRetries,
			)
		}
	}
}
