package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"elmfold/internal/policy"
)

// moveModel is a reference model of a tenant's move. It derives the backends of each proxy from the start times of the
// groups.
type moveModel struct {
	cell, from  string
	requestedAt Time
	groupStarts []Time // when each group of proxies began to use both cells
}

// Under generated moves, cancellations and backend changes, each proxy has the backends of the reference model.
func TestMovesMatchModel(t *testing.T) {
	completed, canceled := 0, 0
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 33))
		p := fixed("red", "blue", "green")
		p.MaxLoans, p.MaxLost, p.MoveFraction = 0, 0, []float64{0.25, 0.5, 1}[rng.IntN(3)]
		p.PrepareTimeout = 20 * second
		size := 1 + rng.IntN(6)
		tenant := Tenant{Name: "a", Cell: "red"}
		for i := range size {
			tenant.Proxies = append(tenant.Proxies, i)
		}
		p.Tenants = []Tenant{tenant}
		list := fleet(24)
		d := newSimulation(t, p, list, size)
		m := moveModel{cell: "red"}
		part := max(1, int(p.MoveFraction*float64(size)+0.5))
		in := func(cell string) []int { return p.AssignedBackends(Tenant{Cell: cell}, d.list) }
		hasCapacity := func(cell string) bool { // half of the ready backends are warm
			ready, warm := 0.0, 0.0
			for _, at := range in(cell) {
				if ready++; d.list[at].StartedAt == 0 || d.now >= d.list[at].StartedAt+p.WarmupTime {
					warm++
				}
			}
			return warm > 0 && warm >= 0.5*ready
		}
		advance := func() {
			switch {
			case m.from == "":
			case !hasCapacity(m.cell) && (len(m.groupStarts) > 0 || d.now >= m.requestedAt+p.PrepareTimeout):
				m = moveModel{cell: m.from}
				canceled++
			case !hasCapacity(m.cell):
			case len(m.groupStarts) == 0 || d.now >= m.groupStarts[len(m.groupStarts)-1]+p.SettleTime:
				if len(m.groupStarts)*part >= size {
					m = moveModel{cell: m.cell}
					completed++
				} else {
					m.groupStarts = append(m.groupStarts, d.now)
				}
			}
		}
		check := func(what string) {
			t.Helper()
			for i := range size {
				want := in(m.cell)
				if m.from != "" {
					over := max(len(m.groupStarts)-1, 0) * part
					switch {
					case i < over && len(m.groupStarts) > 0:
					case i < len(m.groupStarts)*part:
						want = union(want, in(m.from))
					default:
						want = in(m.from)
					}
				}
				if got := d.restrictions[i].Backends; !slices.Equal(got, want) {
					t.Fatalf("seed %d, %v, after %s: proxy %d has %v, the model %v (%+v)", seed, d.now, what, i, got, want, m)
				}
			}
		}
		for range 80 {
			what := "a second"
			switch rng.IntN(12) {
			case 0, 1:
				cell := []string{"red", "blue", "green"}[rng.IntN(3)]
				what = "a request to move to " + cell
				if m.from == "" && m.cell != cell {
					m = moveModel{cell: cell, from: m.cell, requestedAt: d.now}
				}
				advance()
				d.step(Move{Tenant: "a", Cell: cell})
			case 2:
				what = "a cancellation"
				if m.from != "" {
					m = moveModel{cell: m.from}
					canceled++
				}
				d.step(CancelMove{"a"})
			case 3: // a backend, unless it is the last warm one of its cell
				at := rng.IntN(24)
				status, up := policy.Gone, Time(0)
				if rng.IntN(2) == 0 {
					status, up = policy.Ready, d.now
				}
				what = fmt.Sprint("backend ", at, " is ", status)
				was := d.list
				d.list = slices.Clone(d.list)
				d.list[at].Status, d.list[at].StartedAt = status, up
				keepsWarm := true
				for _, cell := range []string{"red", "blue", "green"} {
					warm := 0
					for _, b := range in(cell) {
						if d.list[b].StartedAt == 0 || d.now >= d.list[b].StartedAt+p.WarmupTime {
							warm++
						}
					}
					keepsWarm = keepsWarm && warm > 0
				}
				if !keepsWarm {
					d.list = was
					continue
				}
				advance()
				d.step(ListUpdate{d.list})
			default:
				d.now += second
				advance()
				d.step()
			}
			check(what)
		}
	}
	if completed < 50 || canceled < 20 {
		t.Errorf("%d moves completed and %d were canceled: too few", completed, canceled)
	}
}

// A plan is rejected where a product has no backend in a zone, or a cell too little capacity for its proxies.
func TestShortfalls(t *testing.T) {
	p := fixed("red", "blue")
	p.Products = []policy.Product{{OwnZone: true}}
	p.Tenants = []Tenant{{Name: "a", Proxies: []int{0, 1}, Cell: "red"}, {Name: "b", Proxies: []int{2, 3}, Cell: "blue"}}
	if got := p.Shortfalls(fleet(20)); len(got) > 0 {
		t.Errorf("a good plan lacks %+v", got)
	}
	p.Cells[1].Share = 0.2
	if got := p.Shortfalls(fleet(20)); len(got) != 1 || got[0].Tenant != 1 {
		t.Errorf("with a small cell it lacks %+v", got)
	}
	p.Cells[1].Share = 0.0001
	if got := p.Shortfalls(fleet(20)); len(got) != 1 || got[0].Tenant != 1 {
		t.Errorf("with an empty cell it lacks %+v", got)
	}
	q := shuffled(1, 2, 2)
	q.Products = []policy.Product{{OnlyKinds: []int{1}}}
	if got := q.Shortfalls(fleet(20)); len(got) > 0 {
		t.Errorf("shuffled it lacks %+v", got)
	}
}

// A plan that names a third cell during a move takes effect after that move.
func TestPlanDuringMove(t *testing.T) {
	p := fixed("red", "blue", "green")
	p.Tenants = []Tenant{{Name: "a", Proxies: []int{0, 1}, Cell: "red"}}
	d := newSimulation(t, p, fleet(24), 2)
	d.step(Move{Tenant: "a", Cell: "blue"})
	d.pass(2)
	q := p
	q.Tenants = []Tenant{{Name: "a", Proxies: []int{0, 1}, Cell: "green"}}
	d.step(PlanUpdate{q})
	blue, green := p.AssignedBackends(Tenant{Cell: "blue"}, d.list), p.AssignedBackends(Tenant{Cell: "green"}, d.list)
	red := p.AssignedBackends(Tenant{Cell: "red"}, d.list)
	if got := d.restrictions[0].Backends; !slices.Equal(got, union(red, blue)) {
		t.Errorf("the current move changed: %v", got)
	}
	logs := d.pass(30)
	if !hasLine(logs, "moved from red to blue") || !hasLine(logs, "moved from blue to green") ||
		!slices.Equal(d.restrictions[1].Backends, green) {
		t.Errorf("%v; proxy 1 has %v", logs, d.restrictions[1].Backends)
	}
}
