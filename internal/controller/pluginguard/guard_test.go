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
	return tenancy.Backend{At: i, ID: fmt.Sprint("s-", i), Zone: i % 2, Status: status, Weight: 1}
}

func ids(numbers ...int) (all []string) {
	for _, n := range numbers {
		all = append(all, fmt.Sprint("s-", n))
	}
	return all
}

// plain has two zones with four backends each, a product that goes anywhere, one at home and one in zone 0 only.
func plain() []Event {
	l := BackendsUpdated{Revision: 5, Ramp: map[string]float64{}}
	for i := range 8 {
		l.Backends = append(l.Backends, backend(i, policy.Ready))
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
		l,
		PluginLoaded{"one", 1},
		PluginLoaded{"two", 2},
	}
}

func begin(t *testing.T) (*Guard, Time) {
	t.Helper()
	h := New(DefaultConfig())
	h.Step(1000*second, plain())
	return h, 1000 * second
}

func refusals(orders []Order) map[Reason]int {
	all := map[Reason]int{}
	for _, o := range orders {
		if r, ok := o.(Rejected); ok {
			all[r.Reason] += r.Count
		}
	}
	return all
}

func limits(orders []Order) map[string]Limit {
	all := map[string]Limit{}
	for _, o := range orders {
		if l, ok := o.(Limit); ok {
			all[l.Tenant] = l
		}
	}
	return all
}

// Case 2: each proposal that would break a rule is refused by name, the rest of the same plug-in's is taken.
func TestCase2Refused(t *testing.T) {
	h, now := begin(t)
	draining, cold := plainListed(), plainListed()
	draining.Revision = 6
	draining.Backends[3] = backend(3, policy.Draining)
	cold.Ramp = map[string]float64{"s-0": 0.3, "s-1": 0.3, "s-2": 0.3}
	h.Step(now, []Event{draining})
	good := Proposal{Kind: Cap, Tenant: "beta", Figure: 40}
	for name, c := range map[string]struct {
		want Reason
		p    Proposal
	}{
		"a second try of a once-only txn": {UnsafeRetry, Proposal{Kind: Retry, Tenant: "acme", Figure: 2}},
		"nothing at all":                  {NoEligibleBackend, Proposal{Kind: Allow, Tenant: "acme"}},
		"one zone for a product at home":  {NoEligibleBackend, Proposal{Kind: Allow, Tenant: "acme", Backends: ids(0, 2, 4)}},
		"no backend of the only zone":     {NoEligibleBackend, Proposal{Kind: Allow, Tenant: "acme", Backends: ids(1, 5, 7)}},
		"a draining one":                  {BackendDraining, Proposal{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 3)}},
		"one that is not there":           {UnknownBackend, Proposal{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 99)}},
		"most of the fleet onto a few":    {InsufficientCapacity, Proposal{Kind: Allow, Tenant: "vast", Backends: ids(0, 1)}},
		"a weight that is no number":      {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: math.NaN()}},
		"without end":                     {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: math.Inf(1)}},
		"below zero":                      {InvalidFigure, Proposal{Kind: Cap, Tenant: "acme", Figure: -3}},
		"to shed more than all":           {InvalidFigure, Proposal{Kind: Shed, Tenant: "acme", Figure: 1.5}},
		"nobody":                          {UnknownTenant, Proposal{Kind: Cap, Tenant: "none", Figure: 3}},
		"an order":                        {UnknownKind, Proposal{Kind: 99, Tenant: "acme"}},
	} {
		h, now := begin(t)
		h.Step(now, []Event{draining})
		orders := h.Step(now+second, []Event{ProposalsReceived{"one", 6, []Proposal{c.p, good}}})
		if r := refusals(orders); r[c.want] != 1 || len(r) != 1 {
			t.Errorf("%s: refused %v, want %q", name, r, c.want)
		}
		if l := limits(orders)["beta"]; l.MaxRate != 40 {
			t.Errorf("%s: the good one beside it gives %+v", name, l)
		}
	}
	h, now = begin(t)
	h.Step(now, []Event{cold})
	if r := refusals(
		h.Step(now+second, []Event{ProposalsReceived{"one", 5,
			[]Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 2)}}}}),
	); r[ColdBackends] != 1 {
		t.Errorf("onto cold ones: refused %v", r)
	}
	var many []Proposal
	tenants := map[string]Tenant{}
	for i := range 500 {
		tenants[fmt.Sprint("t", i)] = Tenant{Proxies: 1, Zones: []int{0}}
		many = append(many, Proposal{Kind: Cap, Tenant: fmt.Sprint("t", i), Figure: 5})
	}
	h.Step(now+2*second, []Event{TenantsUpdated{Products: []policy.Product{{}}, Proxies: 500, Tenants: tenants}})
	orders := h.Step(now+3*second, []Event{ProposalsReceived{"one", 5, many}})
	if r := refusals(orders); r[TooManyChanges] != 500-DefaultConfig().MaxChangesPerSecond ||
		len(limits(orders)) != DefaultConfig().MaxChangesPerSecond {
		t.Errorf("500 changes at once: refused %v, %d in force", r, len(limits(orders)))
	}
}

// Case 3: what was made on a list that has changed since in what it names is refused; what it does not touch counts. A
// list that changes takes back what no longer holds at once.
func TestCase3Stale(t *testing.T) {
	h, now := begin(t)
	want := Proposal{Kind: Allow, Tenant: "acme", Backends: ids(0, 1, 2, 3)}
	if l := limits(h.Step(now, []Event{ProposalsReceived{"one", 5, []Proposal{want}}}))["acme"]; !reflect.DeepEqual(
		l.Backends,
		want.Backends,
	) {
		t.Fatalf("in force: %+v", l)
	}
	gone := plainListed()
	gone.Revision = 9
	gone.Backends = slices.Delete(slices.Clone(gone.Backends), 0, 1)
	orders := h.Step(now+second, []Event{gone})
	if l, told := limits(orders)["acme"]; !told || l.Backends != nil {
		t.Errorf("after one of them is gone: %+v, %v", l, told)
	}
	if r := refusals(h.Step(now+2*second, []Event{ProposalsReceived{"one", 5, []Proposal{want}}})); r[StaleRevision] != 1 {
		t.Errorf("three moments late: refused %v", r)
	}
	late := Proposal{Kind: Allow, Tenant: "acme", Backends: ids(1, 2, 3, 4)}
	if l := limits(h.Step(now+3*second, []Event{ProposalsReceived{"one", 5,
		[]Proposal{late}}}))["acme"]; len(l.Backends) != 4 {
		t.Errorf("late, but of none that changed: %+v", l)
	}
	// It ages out where it is not made again.
	if l, told := limits(h.Step(now+20*second, nil))["acme"]; !told || l.Backends != nil {
		t.Errorf("17 s later: %+v, %v", l, told)
	}
}

// Case 4: what goes back and forth each second is damped for longer and longer, and said.
func TestCase4Flaps(t *testing.T) {
	h, now := begin(t)
	told, flaps := 0, 0
	for i := range 60 {
		p := Proposal{Kind: Cap, Tenant: "acme", Figure: float64(10 + 50*(i%2))}
		orders := h.Step(now+Time(i)*second, []Event{ProposalsReceived{"one", 5, []Proposal{p}}})
		told += len(limits(orders))
		flaps += refusals(orders)[Flapping]
	}
	if told > 12 || flaps < 25 {
		t.Errorf("told %d times in 60 s, %d refused", told, flaps)
	}
	steady := 0
	for i := range 10 { // one that only changes its mind is not held up
		p := Proposal{Kind: Cap, Tenant: "beta", Figure: float64(10 + i)}
		if _, is := limits(h.Step(now+Time(100+3*i)*second,
			[]Event{ProposalsReceived{"one", 5, []Proposal{p}}}))["beta"]; is {
			steady++
		}
	}
	if steady != 10 {
		t.Errorf("%d of 10 steady changes were told", steady)
	}
}

// Case 5: of two that pull in opposite directions the higher precedence holds where both cannot; caps are joined to the
// least. One that is put out loses what it held at a pace, not all at once.
func TestCase5Opposed(t *testing.T) {
	h, now := begin(t)
	orders := h.Step(now, []Event{
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
	if l := limits(orders)["acme"]; !reflect.DeepEqual(l, Limit{"acme", ids(4, 5, 6, 7), 30}) {
		t.Errorf("opposed: %+v", l)
	}
	orders = h.Step(
		now+second,
		[]Event{ProposalsReceived{"two", 5, []Proposal{{Kind: Allow, Tenant: "acme", Backends: ids(2, 3, 4, 5)}}}},
	)
	if l := limits(orders)["acme"]; !reflect.DeepEqual(l.Backends, ids(2, 3)) {
		t.Errorf("with some in common: %+v", l)
	}
	tenants := map[string]Tenant{}
	for i := range 40 {
		tenants[fmt.Sprintf("t%02d", i)] = Tenant{Proxies: 1, Zones: []int{0, 1}}
	}
	h.Step(now+2*second, []Event{TenantsUpdated{Products: []policy.Product{{}}, Proxies: 40, Tenants: tenants}})
	for s := range 3 {
		var all []Proposal
		for i := range 40 {
			all = append(all, Proposal{Kind: Allow, Tenant: fmt.Sprintf("t%02d", i), Backends: ids(0, 1)})
		}
		h.Step(now+Time(3+s)*second, []Event{ProposalsReceived{"one", 5, all}})
	}
	if len(h.notified) != 40 {
		t.Fatalf("%d limits hold", len(h.notified))
	}
	var back []int
	why := []Event{PluginFailed{"one", "it loops"}}
	for s := range 6 {
		back = append(back, len(limits(h.Step(now+Time(7+s)*second, why))))
		why = nil
	}
	if !reflect.DeepEqual(back, []int{10, 10, 10, 10, 0, 0}) {
		t.Errorf("taken back by seconds: %v", back)
	}
}

// One that faults is paused for longer and longer, tried again, and put out for good with the reason; one that does
// well after a pause has a short one next.
func TestStanding(t *testing.T) {
	h, now := begin(t)
	var pauses []Time
	for i := range 10 {
		for _, o := range h.Step(now, []Event{PluginFailed{"one", fmt.Sprint("trap ", i)}}) {
			switch o := o.(type) {
			case PluginPaused:
				pauses = append(pauses, (o.Until-now)/second)
				if r := refusals(
					h.Step(o.Until-1, []Event{ProposalsReceived{"one", 5, []Proposal{{Kind: Cap, Tenant: "acme", Figure: 3}}}}),
				); r[PluginInactive] != 1 {
					t.Errorf("while it is paused: %v", r)
				}
				now = o.Until
			case PluginDisabled:
				if i != DefaultConfig().MaxFailures-1 || o.Why != "6 faults, the last: trap 5" {
					t.Errorf("put out at fault %d: %s", i, o.Why)
				}
			}
		}
	}
	if !slices.Equal(pauses, []Time{1, 2, 4, 8, 16}) {
		t.Errorf("pauses %v", pauses)
	}
	h.Step(now, []Event{PluginFailed{"two", "trap"}})
	now += 20 * second
	h.Step(now, []Event{ProposalsReceived{"two", 5, nil}})
	for _, o := range h.Step(now, []Event{PluginFailed{"two", "trap"}}) {
		if p, ok := o.(PluginPaused); ok && p.Until != now+second {
			t.Errorf("after it did well it is paused for %v", p.Until-now)
		}
	}
}

// The model: whatever is proposed, whenever the list changes, what is in force leaves each tenant somewhere to go
// for each product, on serving backends, not mostly cold ones, and no less than half of its part; and what is
// harmless passes.
func TestModel(t *testing.T) {
	for seed := range int64(200) {
		chance := rand.New(rand.NewSource(seed))
		h, now := begin(t)
		list := plainListed()
		tenants := plainPlanned()
		for range 80 {
			now += Time(chance.Intn(int(2 * second)))
			var events []Event
			if chance.Intn(4) == 0 {
				list.Revision++
				list.Backends = slices.Clone(list.Backends)
				i := chance.Intn(len(list.Backends))
				list.Backends[i].Status = []policy.Status{policy.Ready, policy.Ready, policy.Draining}[chance.Intn(3)]
				list.Ramp = map[string]float64{}
				for range chance.Intn(4) {
					list.Ramp[fmt.Sprint("s-", chance.Intn(8))] = 0.1 + 0.9*chance.Float64()
				}
				events = append(events, list)
			}
			name := []string{"one", "two"}[chance.Intn(2)]
			var all []Proposal
			for range chance.Intn(4) {
				p := Proposal{
					Kind:   Kind(chance.Intn(6)),
					Tenant: []string{"acme", "beta", "vast", "none"}[chance.Intn(4)],
					Figure: 100*chance.Float64() - 10,
				}
				for i := range 9 {
					if chance.Intn(3) > 0 {
						p.Backends = append(p.Backends, fmt.Sprint("s-", i))
					}
				}
				all = append(all, p)
			}
			events = append(events, ProposalsReceived{name, list.Revision - int64(chance.Intn(2)), all})
			if chance.Intn(30) == 0 {
				events = append(events, PluginFailed{name, "trap"})
			}
			h.Step(now, events)
			for tenant, l := range h.notified {
				if l.MaxRate < 0 || math.IsNaN(l.MaxRate) {
					t.Fatalf("seed %d: cap %v", seed, l.MaxRate)
				}
				if l.Backends != nil {
					if why := plainly(list, tenants, tenant, l.Backends); why != "" {
						t.Fatalf("seed %d: %s holds %v: %s", seed, tenant, l.Backends, why)
					}
				}
			}
		}
		all := ids(0, 1, 2, 3, 4, 5, 6, 7) // harmless: all that serve, on the list of now
		h.Step(now+100*second, []Event{plainList(list), PluginLoaded{"three", 9}})
		list = plainList(list)
		if r := refusals(
			h.Step(
				now+101*second,
				[]Event{
					ProposalsReceived{
						"three",
						list.Revision,
						[]Proposal{{Kind: Allow, Tenant: "vast", Backends: all}, {Kind: Cap, Tenant: "acme", Figure: 9}},
					},
				},
			),
		); len(
			r,
		) > 0 {
			t.Fatalf("seed %d: harmless proposals are refused: %v", seed, r)
		}
	}
}

func plainPlanned() TenantsUpdated {
	planned, _ := plain()[0].(TenantsUpdated)
	return planned
}

func plainListed() BackendsUpdated {
	listed, _ := plain()[1].(BackendsUpdated)
	return listed
}

func plainList(l BackendsUpdated) BackendsUpdated {
	next := plainListed()
	next.Revision = l.Revision + 1
	return next
}

// plainly is the rules in their plainest form.
func plainly(l BackendsUpdated, all TenantsUpdated, tenant string, allowed []string) string {
	for _, p := range all.Products {
		for _, zone := range all.Tenants[tenant].Zones {
			left, cold, sum, might := 0.0, 0.0, 0.0, 0
			for _, b := range l.Backends {
				if b.Status != policy.Ready || p.OwnZone && b.Zone != zone ||
					p.OnlyZones != nil && !slices.Contains(p.OnlyZones, b.Zone) {
					continue
				}
				w, isCold := b.Weight, false
				if r, there := l.Ramp[b.ID]; there {
					w, isCold = w*r, r < 1
				}
				might++
				sum += w
				if slices.Contains(allowed, b.ID) {
					left += w
					if isCold {
						cold += w
					}
				}
			}
			if might > 0 && left == 0 {
				return "a product has nowhere to go"
			}
			if cold > left/2+1e-9 {
				return "mostly on cold ones"
			}
			if left < 0.5*sum*float64(all.Tenants[tenant].Proxies)/float64(all.Proxies)-1e-9 {
				return "too little is left"
			}
		}
	}
	return ""
}
