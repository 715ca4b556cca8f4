package pluginguard

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

const second = policy.Second

func backend(i int, status policy.Status) tenancy.Backend {
	return tenancy.Backend{Index: i, ID: fmt.Sprint("s-", i), Zone: i % 2, Status: status, Weight: 1}
}

func ids(numbers ...int) (all []string) {
	for _, n := range numbers {
		all = append(all, fmt.Sprint("s-", n))
	}
	return all
}

// setupEvents has two zones with four backends each, and three products: one that may use any zone, one that must stay
// in its own zone, and one that may only use zone 0.
func setupEvents() []Event {
	update := BackendsUpdated{Revision: 5, Ramp: map[string]float64{}}
	for i := range 8 {
		update.Backends = append(update.Backends, backend(i, policy.Ready))
	}
	return []Event{
		TenantsUpdated{
			Products: []policy.Product{{}, {OwnZone: true}, {OnlyZones: []int{0}}},
			Proxies:  20,
			Tenants: map[string]Tenant{
				"acme": {Proxies: 2, Zones: []int{0, 1}},
				"beta": {Proxies: 2, Zones: []int{0}},
				"vast": {Proxies: 16, Zones: []int{0, 1}},
			},
		},
		update,
		PluginLoaded{"one", 1},
		PluginLoaded{"two", 2},
	}
}

func newGuard(t *testing.T) (*Guard, Time) {
	t.Helper()
	g := New(DefaultConfig())
	g.Step(1000*second, setupEvents())
	return g, 1000 * second
}

func rejections(orders []Order) map[Reason]int {
	all := map[Reason]int{}
	for _, o := range orders {
		if r, ok := o.(Rejected); ok {
			all[r.Reason] += r.Count
		}
	}
	return all
}

// limitsOf returns the reported limits by tenant.
func limitsOf(orders []Order) map[string]Limit {
	all := map[string]Limit{}
	for _, o := range orders {
		if l, ok := o.(Limit); ok {
			all[l.Tenant] = l
		}
	}
	return all
}

// Each invalid proposal is rejected with its reason; the valid proposal beside it takes effect.
func TestInvalidProposalsRejected(t *testing.T) {
	draining := setupBackends()
	draining.Revision = 6
	draining.Backends[3] = backend(3, policy.Draining)
	valid := Proposal{Kind: Cap, Tenant: "beta", Figure: 40}
	allow := func(tenant string, backends ...int) Proposal {
		return Proposal{Kind: Allow, Tenant: tenant, Backends: ids(backends...)}
	}
	for name, c := range map[string]struct {
		want     Reason
		proposal Proposal
	}{
		"retry":                      {UnsafeRetry, Proposal{Kind: Retry, Tenant: "acme", Figure: 2}},
		"no backends":                {NoEligibleBackend, Proposal{Kind: Allow, Tenant: "acme"}},
		"only one of the two zones":  {NoEligibleBackend, allow("acme", 0, 2, 4)},
		"none in the required zone":  {NoEligibleBackend, allow("acme", 1, 5, 7)},
		"draining backend":           {BackendDraining, allow("acme", 0, 1, 3)},
		"unknown backend":            {UnknownBackend, allow("acme", 0, 1, 99)},
		"large tenant, few backends": {InsufficientCapacity, allow("vast", 0, 1)},
		"NaN":                        {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: math.NaN()}},
		"infinity":                   {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: math.Inf(1)}},
		"negative rate":              {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: -3}},
		"admitted share of 1.5":      {InvalidFigure, Proposal{Kind: Shed, Tenant: "acme", Figure: 1.5}},
		"unknown tenant":             {UnknownTenant, Proposal{Kind: Cap, Tenant: "none", Figure: 3}},
		"unknown kind":               {UnknownKind, Proposal{Kind: 99, Tenant: "acme"}},
	} {
		g, now := newGuard(t)
		g.Step(now, []Event{draining})
		orders := g.Step(now+second, []Event{ProposalsReceived{"one", 6, []Proposal{c.proposal, valid}}})
		if r := rejections(orders); r[c.want] != 1 || len(r) != 1 {
			t.Errorf("%s: rejected %v, want %q", name, r, c.want)
		}
		if l := limitsOf(orders)["beta"]; l.MaxRate != 40 {
			t.Errorf("%s: the limit of the valid proposal is %+v", name, l)
		}
	}
}

// A proposal that leaves too much of the capacity in slow start is rejected.
func TestColdBackendsRejected(t *testing.T) {
	g, now := newGuard(t)
	cold := setupBackends()
	cold.Ramp = map[string]float64{"s-0": 0.3, "s-1": 0.3, "s-2": 0.3}
	g.Step(now, []Event{cold})
	proposals := []Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 2)}}
	if r := rejections(g.Step(now+second, []Event{ProposalsReceived{"one", 5, proposals}})); r[ColdBackends] != 1 {
		t.Errorf("rejected %v", r)
	}
}

// The number of changes per second is limited.
func TestChangeRateLimited(t *testing.T) {
	g, now := newGuard(t)
	var proposals []Proposal
	tenants := map[string]Tenant{}
	for i := range 500 {
		tenants[fmt.Sprint("t", i)] = Tenant{Proxies: 1, Zones: []int{0}}
		proposals = append(proposals, Proposal{Kind: Cap, Tenant: fmt.Sprint("t", i), Figure: 5})
	}
	g.Step(now, []Event{TenantsUpdated{Products: []policy.Product{{}}, Proxies: 500, Tenants: tenants}})
	orders := g.Step(now+second, []Event{ProposalsReceived{"one", 5, proposals}})
	maxChanges := DefaultConfig().MaxChangesPerSecond
	if r := rejections(orders); r[TooManyChanges] != 500-maxChanges || len(limitsOf(orders)) != maxChanges {
		t.Errorf("500 changes at once: rejected %v, %d limits", r, len(limitsOf(orders)))
	}
}

// A proposal is rejected if a backend that it names has changed after its revision. A limit that becomes invalid is
// lifted at once, and one that is not renewed expires.
func TestStaleRevision(t *testing.T) {
	g, now := newGuard(t)
	original := Proposal{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 2, 3)}
	limit := limitsOf(g.Step(now, []Event{ProposalsReceived{"one", 5, []Proposal{original}}}))["acme"]
	if !reflect.DeepEqual(limit.Backends, original.Backends) {
		t.Fatalf("limit %+v", limit)
	}
	update := setupBackends()
	update.Revision = 9
	update.Backends = slices.Delete(slices.Clone(update.Backends), 0, 1)
	orders := g.Step(now+second, []Event{update})
	if l, reported := limitsOf(orders)["acme"]; !reported || l.Backends != nil {
		t.Errorf("after a backend was removed: %+v, %v", l, reported)
	}
	orders = g.Step(now+2*second, []Event{ProposalsReceived{"one", 5, []Proposal{original}}})
	if r := rejections(orders); r[StaleRevision] != 1 {
		t.Errorf("stale proposal: rejected %v", r)
	}
	unaffected := Proposal{Kind: Allow, Tenant: "acme", Backends: ids(1, 2, 3, 4)}
	orders = g.Step(now+3*second, []Event{ProposalsReceived{"one", 5, []Proposal{unaffected}}})
	if l := limitsOf(orders)["acme"]; len(l.Backends) != 4 {
		t.Errorf("old revision, but unchanged backends: %+v", l)
	}
	if l, reported := limitsOf(g.Step(now+20*second, nil))["acme"]; !reported || l.Backends != nil {
		t.Errorf("17 s later: %+v, %v", l, reported)
	}
}

// A proposal that alternates each second is damped with increasing delays. Other changes are not delayed.
func TestFlappingDamped(t *testing.T) {
	g, now := newGuard(t)
	reported, rejected := 0, 0
	for i := range 60 {
		p := Proposal{Kind: Cap, Tenant: "acme", Figure: float64(10 + 50*(i%2))}
		orders := g.Step(now+Time(i)*second, []Event{ProposalsReceived{"one", 5, []Proposal{p}}})
		reported += len(limitsOf(orders))
		rejected += rejections(orders)[Flapping]
	}
	if reported > 12 || rejected < 25 {
		t.Errorf("%d limits in 60 s, %d rejections", reported, rejected)
	}
	steady := 0
	for i := range 10 {
		p := Proposal{Kind: Cap, Tenant: "beta", Figure: float64(10 + i)}
		orders := g.Step(now+Time(100+3*i)*second, []Event{ProposalsReceived{"one", 5, []Proposal{p}}})
		if _, ok := limitsOf(orders)["beta"]; ok {
			steady++
		}
	}
	if steady != 10 {
		t.Errorf("%d of 10 steady changes were reported", steady)
	}
}

// The lowest cap wins. Allowed sets are intersected; if nothing would remain, the higher precedence wins.
func TestProposalsMerged(t *testing.T) {
	g, now := newGuard(t)
	orders := g.Step(now, []Event{
		ProposalsReceived{
			"one",
			5,
			[]Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 2, 3)}, {Kind: Cap, Tenant: "acme", Figure: 30}},
		},
		ProposalsReceived{
			"two",
			5,
			[]Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(4, 5, 6, 7)}, {Kind: Cap, Tenant: "acme", Figure: 70}},
		},
	})
	if l := limitsOf(orders)["acme"]; !reflect.DeepEqual(l, Limit{"acme", ids(4, 5, 6, 7), 30}) {
		t.Errorf("disjoint sets: %+v", l)
	}
	overlapping := []Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(2, 3, 4, 5)}}
	orders = g.Step(now+second, []Event{ProposalsReceived{"two", 5, overlapping}})
	if l := limitsOf(orders)["acme"]; !reflect.DeepEqual(l.Backends, ids(2, 3)) {
		t.Errorf("overlapping sets: %+v", l)
	}
}

// The restrictions of a plug-in that fails are lifted at a limited rate.
func TestLiftRateLimited(t *testing.T) {
	g, now := newGuard(t)
	tenants := map[string]Tenant{}
	var proposals []Proposal
	for i := range 40 {
		tenant := fmt.Sprintf("t%02d", i)
		tenants[tenant] = Tenant{Proxies: 1, Zones: []int{0, 1}}
		proposals = append(proposals, Proposal{Kind: Allow, Tenant: tenant, Backends: ids(0, 1)})
	}
	g.Step(now, []Event{TenantsUpdated{Products: []policy.Product{{}}, Proxies: 40, Tenants: tenants}})
	for i := range 3 {
		g.Step(now+Time(1+i)*second, []Event{ProposalsReceived{"one", 5, proposals}})
	}
	if len(g.limits) != 40 {
		t.Fatalf("%d limits, want 40", len(g.limits))
	}
	var lifted []int // by second
	events := []Event{PluginFailed{"one", "timeout"}}
	for i := range 6 {
		lifted = append(lifted, len(limitsOf(g.Step(now+Time(5+i)*second, events))))
		events = nil
	}
	if !reflect.DeepEqual(lifted, []int{10, 10, 10, 10, 0, 0}) {
		t.Errorf("lifted in each second: %v", lifted)
	}
}

// A plug-in that fails is paused with exponential backoff, then disabled. A success after the pause resets the backoff.
func TestFailureBackoff(t *testing.T) {
	g, now := newGuard(t)
	var pauses []Time
	proposals := []Proposal{{Kind: Cap, Tenant: "acme", Figure: 3}}
	for i := range 10 {
		for _, o := range g.Step(now, []Event{PluginFailed{"one", fmt.Sprint("trap ", i)}}) {
			switch o := o.(type) {
			case PluginPaused:
				pauses = append(pauses, (o.Until-now)/second)
				orders := g.Step(o.Until-1, []Event{ProposalsReceived{"one", 5, proposals}})
				if r := rejections(orders); r[PluginInactive] != 1 {
					t.Errorf("while paused: rejected %v", r)
				}
				now = o.Until
			case PluginDisabled:
				if i != DefaultConfig().MaxFailures-1 || o.Why != "6 failures, the last: trap 5" {
					t.Errorf("disabled at failure %d: %s", i, o.Why)
				}
			}
		}
	}
	if !slices.Equal(pauses, []Time{1, 2, 4, 8, 16}) {
		t.Errorf("pauses %v", pauses)
	}
	g.Step(now, []Event{PluginFailed{"two", "trap"}})
	now += 20 * second
	g.Step(now, []Event{ProposalsReceived{"two", 5, nil}})
	for _, o := range g.Step(now, []Event{PluginFailed{"two", "trap"}}) {
		if p, ok := o.(PluginPaused); ok && p.Until != now+second {
			t.Errorf("paused for %v after a success", p.Until-now)
		}
	}
}

// On random proposals and list updates, each limit satisfies the rules as modelReason states them, and valid
// proposals are not rejected.
func TestModel(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		g, now := newGuard(t)
		list := setupBackends()
		tenants := setupTenants()
		for range 80 {
			now += Time(random.Intn(int(2 * second)))
			var events []Event
			if random.Intn(4) == 0 {
				list.Revision++
				list.Backends = slices.Clone(list.Backends)
				i := random.Intn(len(list.Backends))
				list.Backends[i].Status = []policy.Status{policy.Ready, policy.Ready, policy.Draining}[random.Intn(3)]
				list.Ramp = map[string]float64{}
				for range random.Intn(4) {
					list.Ramp[fmt.Sprint("s-", random.Intn(8))] = 0.1 + 0.9*random.Float64()
				}
				events = append(events, list)
			}
			name := []string{"one", "two"}[random.Intn(2)]
			var all []Proposal
			for range random.Intn(4) {
				p := Proposal{
					Kind:   Kind(random.Intn(6)),
					Tenant: []string{"acme", "beta", "vast", "none"}[random.Intn(4)],
					Figure: 100*random.Float64() - 10,
				}
				for i := range 9 {
					if random.Intn(3) > 0 {
						p.Backends = append(p.Backends, fmt.Sprint("s-", i))
					}
				}
				all = append(all, p)
			}
			events = append(events, ProposalsReceived{name, list.Revision - int64(random.Intn(2)), all})
			if random.Intn(30) == 0 {
				events = append(events, PluginFailed{name, "trap"})
			}
			g.Step(now, events)
			for tenant, limit := range g.limits {
				if limit.MaxRate < 0 || math.IsNaN(limit.MaxRate) {
					t.Fatalf("seed %d: rate limit %v", seed, limit.MaxRate)
				}
				if limit.Backends != nil {
					if reason := modelReason(list, tenants, tenant, limit.Backends); reason != "" {
						t.Fatalf("seed %d: %s is limited to %v: %s", seed, tenant, limit.Backends, reason)
					}
				}
			}
		}
		list = resetBackends(list)
		g.Step(now+100*second, []Event{list, PluginLoaded{"three", 9}})
		valid := []Proposal{
			{Kind: Allow, Tenant: "vast", Backends: ids(0, 1, 2, 3, 4, 5, 6, 7)},
			{Kind: Cap, Tenant: "acme", Figure: 9},
		}
		r := rejections(g.Step(now+101*second, []Event{ProposalsReceived{"three", list.Revision, valid}}))
		if len(r) > 0 {
			t.Fatalf("seed %d: valid proposals are rejected: %v", seed, r)
		}
	}
}

func setupTenants() TenantsUpdated {
	update, _ := setupEvents()[0].(TenantsUpdated)
	return update
}

func setupBackends() BackendsUpdated {
	update, _ := setupEvents()[1].(BackendsUpdated)
	return update
}

// resetBackends returns an update that restores the backends of setupEvents.
func resetBackends(previous BackendsUpdated) BackendsUpdated {
	update := setupBackends()
	update.Revision = previous.Revision + 1
	return update
}

// modelReason checks an allowed set against the rules, independently of Guard. It returns "" for a valid one.
func modelReason(update BackendsUpdated, all TenantsUpdated, tenant string, allowed []string) string {
	for _, product := range all.Products {
		for _, zone := range all.Tenants[tenant].Zones {
			remaining, cold, total, eligible := 0.0, 0.0, 0.0, 0
			for _, b := range update.Backends {
				if b.Status != policy.Ready || product.OwnZone && b.Zone != zone ||
					product.OnlyZones != nil && !slices.Contains(product.OnlyZones, b.Zone) {
					continue
				}
				capacity, isCold := b.Weight, false
				if ramp, ok := update.Ramp[b.ID]; ok {
					capacity, isCold = capacity*ramp, ramp < 1
				}
				eligible++
				total += capacity
				if slices.Contains(allowed, b.ID) {
					remaining += capacity
					if isCold {
						cold += capacity
					}
				}
			}
			if eligible > 0 && remaining == 0 {
				return "a product has no eligible backend"
			}
			if cold > remaining/2+1e-9 {
				return "most of the capacity is in slow start"
			}
			if remaining < 0.5*total*float64(all.Tenants[tenant].Proxies)/float64(all.Proxies)-1e-9 {
				return "too little capacity remains"
			}
		}
	}
	return ""
}
