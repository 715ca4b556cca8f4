package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"elmfold/internal/policy"
)

// plainMove is a tenant's move in the slowest words: what was ordered, and when each part of its proxies began its
// turn. Everything else is worked out anew from that.
type plainMove struct {
	cell, from string
	ordered    Time
	turns      []Time // when each part began its turn with both cells' lines
}

// The plain model of the moves, on generated orders, undoings, backends that die, come back cold and drain: each
// proxy has the backends that the model says, after each second.
func TestModelOfTheMoves(t *testing.T) {
	ended, undone := 0, 0
	for seed := range uint64(120) {
		chance := rand.New(rand.NewPCG(seed, 33))
		p := fixed("red", "blue", "green")
		p.MaxLoans, p.MaxLost, p.MoveFraction = 0, 0, []float64{0.25, 0.5, 1}[chance.IntN(3)]
		p.PrepareTimeout = 20 * second
		size := 1 + chance.IntN(6)
		tenant := Tenant{Name: "a", Cell: "red"}
		for i := range size {
			tenant.Proxies = append(tenant.Proxies, i)
		}
		p.Tenants = []Tenant{tenant}
		list := fleet(24)
		d := newDay(t, p, list, size)
		m := plainMove{cell: "red"}
		part := max(1, int(p.MoveFraction*float64(size)+0.5))
		in := func(cell string) []int { return p.AssignedBackends(Tenant{Cell: cell}, d.list) }
		fit := func(cell string) bool { // half of what is ready there is warm
			ready, warm := 0.0, 0.0
			for _, at := range in(cell) {
				if ready++; d.list[at].StartedAt == 0 || d.now >= d.list[at].StartedAt+p.WarmupTime {
					warm++
				}
			}
			return warm > 0 && warm >= 0.5*ready
		}
		turn := func() {
			switch {
			case m.from == "":
			case !fit(m.cell) && (len(m.turns) > 0 || d.now >= m.ordered+p.PrepareTimeout):
				m = plainMove{cell: m.from}
				undone++
			case !fit(m.cell):
			case len(m.turns) == 0 || d.now >= m.turns[len(m.turns)-1]+p.SettleTime:
				if len(m.turns)*part >= size {
					m = plainMove{cell: m.cell}
					ended++
				} else {
					m.turns = append(m.turns, d.now)
				}
			}
		}
		check := func(what string) {
			t.Helper()
			for i := range size {
				want := in(m.cell)
				if m.from != "" {
					over := max(len(m.turns)-1, 0) * part
					switch {
					case i < over && len(m.turns) > 0:
					case i < len(m.turns)*part:
						want = union(want, in(m.from))
					default:
						want = in(m.from)
					}
				}
				if got := d.may[i].Backends; !slices.Equal(got, want) {
					t.Fatalf("seed %d, %v, after %s: proxy %d has %v, the model %v (%+v)", seed, d.now, what, i, got, want, m)
				}
			}
		}
		for range 80 {
			what := "a second"
			switch chance.IntN(12) {
			case 0, 1:
				cell := []string{"red", "blue", "green"}[chance.IntN(3)]
				what = "a move to " + cell
				if m.from == "" && m.cell != cell {
					m = plainMove{cell: cell, from: m.cell, ordered: d.now}
				}
				turn()
				d.step(Move{Tenant: "a", Cell: cell})
			case 2:
				what = "an undoing"
				if m.from != "" {
					m = plainMove{cell: m.from}
					undone++
				}
				d.step(CancelMove{"a"})
			case 3: // one that is not the last warm one of its cell
				at := chance.IntN(24)
				status, up := policy.Gone, Time(0)
				if chance.IntN(2) == 0 {
					status, up = policy.Ready, d.now
				}
				what = fmt.Sprint("backend ", at, " is ", status)
				was := d.list
				d.list = slices.Clone(d.list)
				d.list[at].Status, d.list[at].StartedAt = status, up
				spare := true
				for _, cell := range []string{"red", "blue", "green"} {
					warm := 0
					for _, b := range in(cell) {
						if d.list[b].StartedAt == 0 || d.now >= d.list[b].StartedAt+p.WarmupTime {
							warm++
						}
					}
					spare = spare && warm > 0
				}
				if !spare {
					d.list = was
					continue
				}
				turn()
				d.step(ListUpdate{d.list})
			default:
				d.now += second
				turn()
				d.step()
			}
			check(what)
		}
	}
	if ended < 50 || undone < 20 {
		t.Errorf("%d moves ended and %d were undone: too few to say anything", ended, undone)
	}
}

// Case 9: a plan that cannot hold is named by tenant and reason: no backend in a zone where a product must stay at
// home, or too little strength for its proxies.
func TestCase9CannotHold(t *testing.T) {
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

// A file that comes during a move and names a third cell does not disturb it: the tenant goes there when it is over.
func TestFileDuringAMove(t *testing.T) {
	p := fixed("red", "blue", "green")
	p.Tenants = []Tenant{{Name: "a", Proxies: []int{0, 1}, Cell: "red"}}
	d := newDay(t, p, fleet(24), 2)
	d.step(Move{Tenant: "a", Cell: "blue"})
	d.pass(2)
	q := p
	q.Tenants = []Tenant{{Name: "a", Proxies: []int{0, 1}, Cell: "green"}}
	d.step(PlanUpdate{q})
	blue, green := p.AssignedBackends(Tenant{Cell: "blue"}, d.list), p.AssignedBackends(Tenant{Cell: "green"}, d.list)
	if got := d.may[0].Backends; !slices.Equal(got, union(p.AssignedBackends(Tenant{Cell: "red"}, d.list), blue)) {
		t.Errorf("the move in hand is disturbed: %v", got)
	}
	notes := d.pass(30)
	if !holds(notes, "has moved from red to blue") || !holds(notes, "has moved from blue to green") ||
		!slices.Equal(d.may[1].Backends, green) {
		t.Errorf("%v; proxy 1 has %v", notes, d.may[1].Backends)
	}
}
