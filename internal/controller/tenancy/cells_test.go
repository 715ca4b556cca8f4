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

// fleet is n backends over two zones; every fourth is of kind 1.
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

// day drives Cells; may is what each proxy was told last.
type day struct {
	*testing.T
	c     *Manager
	now   Time
	list  []Backend
	may   map[int]policy.ProxyRestricted
	notes []string
	sent  int
}

func newDay(t *testing.T, p Plan, list []Backend, proxies int) *day {
	d := &day{T: t, c: New(proxies), now: 1000 * second, list: list, may: map[int]policy.ProxyRestricted{}}
	events := []Event{ListUpdate{list}, PlanUpdate{p}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: i % p.Zones})
	}
	d.step(events...)
	return d
}

func (d *day) step(events ...Event) {
	d.notes, d.sent = nil, 0
	for _, o := range d.c.Step(d.now, events) {
		switch o := o.(type) {
		case policy.ProxyRestricted:
			d.may[o.Proxy] = o
			d.sent++
		case LogMessage:
			d.notes = append(d.notes, o.Text)
		}
	}
}

// pass lets seconds go by, with the same news each.
func (d *day) pass(seconds int, events ...Event) (notes []string) {
	for range seconds {
		d.now += second
		d.step(events...)
		notes = append(notes, d.notes...)
	}
	return notes
}

func (d *day) change(f func(b *Backend), ats ...int) {
	d.list = slices.Clone(d.list)
	for i := range d.list {
		if slices.Contains(ats, d.list[i].Index) {
			f(&d.list[i])
		}
	}
	d.step(ListUpdate{d.list})
}

func (d *day) die(ats ...int) {
	d.change(func(b *Backend) { b.Status = policy.Gone }, ats...)
}

func holds(notes []string, words string) bool {
	return slices.ContainsFunc(notes, func(n string) bool { return strings.Contains(n, words) })
}

// The plain model of shuffle sharding: for each need and zone the backends with the highest scores, one after the
// other, the slow way. For generated lists the sets kept through changes are the same, and a change of one backend
// changes only the sets that it enters or leaves, by one a need.
func TestModelOfThePlan(t *testing.T) {
	for seed := range uint64(40) {
		chance := rand.New(rand.NewPCG(seed, 17))
		p := shuffled(1+chance.IntN(4), 30, 1)
		p.MaxLost = 0
		p.Products = []policy.Product{{}, {OwnZone: true}, {OnlyZones: []int{1}}, {OnlyKinds: []int{1}}}
		d := newDay(t, p, fleet(16), 30)
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
			at := chance.IntN(len(d.list))
			before := map[string][]int{}
			for _, tt := range d.c.tenants {
				before[tt.Name] = tt.own
			}
			d.change(func(b *Backend) {
				b.Status = []policy.Status{policy.Ready, policy.Draining, policy.Gone}[chance.IntN(3)]
			}, at)
			for _, tt := range d.c.tenants {
				want := plain(tt.Name)
				if !slices.Equal(tt.own, want) {
					t.Fatalf("seed %d, turn %d: %s has %v, the model %v", seed, turn, tt.Name, tt.own, want)
				}
				if was := before[tt.Name]; !slices.Equal(was, want) && !slices.Contains(was, at) && !slices.Contains(want, at) {
					t.Fatalf("seed %d: a change of %d moved %v to %v", seed, at, was, want)
				}
			}
		}
	}
}

// Every controller comes to the same sets from the same list, in whatever order and with whatever indices.
func TestSameEverywhere(t *testing.T) {
	p := shuffled(3, 20, 1)
	a := fleet(30)
	b := slices.Clone(a)
	chance := rand.New(rand.NewPCG(1, 2))
	chance.Shuffle(len(b), func(i, j int) { b[i], b[j] = b[j], b[i] })
	for i := range b {
		b[i].Index = 29 - i
	}
	ids := func(own []int, list []Backend) (names []string) {
		for _, x := range list {
			if has(own, x.Index) {
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

// A cell's backends all die, drain or turn cold: others are lent, the next in the tenant's order, warm ones, at
// most so many, and they go back when the cell is there again and not before the loan's time is over.
func TestCase1Loan(t *testing.T) {
	for name, f := range map[string]func(*Backend){
		"die":   func(b *Backend) { b.Status = policy.Gone },
		"drain": func(b *Backend) { b.Status = policy.Draining },
		"cold":  func(b *Backend) { b.StartedAt = 1003 * second },
	} {
		t.Run(name, func(t *testing.T) {
			p := fixed("red", "blue")
			p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1}, Cell: "red"}}
			d := newDay(t, p, fleet(20), 2)
			own := slices.Clone(d.may[0].Backends)
			d.pass(3)
			d.change(f, own...)
			got := d.may[0].Backends
			lent := slices.DeleteFunc(slices.Clone(got), func(at int) bool { return slices.Contains(own, at) })
			if len(lent) == 0 || len(lent) > p.MaxLoans || !holds(d.notes, "is lent") {
				t.Fatalf("of %v are lent %v, notes %v", own, lent, d.notes)
			}
			d.change(func(b *Backend) { b.Status, b.StartedAt = policy.Ready, 0 }, own...)
			at := d.notes
			if notes := d.pass(25); holds(at, "gives") || holds(notes, "gives") {
				t.Errorf("given back before 30 s: %v", notes)
			}
			d.pass(10)
			if got := d.may[0].Backends; !slices.Equal(got, own) {
				t.Errorf("after the loan %v, its own are %v", got, own)
			}
		})
	}
}

// A poisoned tenant kills what it is given: the loan has a limit, it is then shut in with somewhere to go and a
// trickle, and most of the fleet lives.
func TestCase1EatsItsWay(t *testing.T) {
	p := shuffled(2, 1, 2)
	d := newDay(t, p, fleet(40), 2)
	killed := 0
	var notes []string
	for range 60 {
		d.pass(2)
		alive := []int{}
		for _, at := range d.may[0].Backends {
			if d.list[at].Status == policy.Ready {
				alive = append(alive, at)
			}
		}
		if d.may[0].MaxRate > 0 && d.may[0].MaxRate <= p.ContainedRate {
			break // what it lets in kills nobody
		}
		killed += len(alive)
		d.die(alive...)
		notes = append(notes, d.notes...)
	}
	if !holds(notes, "is shut in") || killed > 20 {
		t.Errorf("%d of 40 are killed; %v", killed, notes)
	}
	if got := d.may[0]; len(got.Backends) == 0 || got.MaxRate != p.ContainedRate {
		t.Errorf("shut in with %+v", got)
	}
}

// A move: prepared, a part of the proxies with both cells' lines and without further tries, then the new cell's
// alone, until all are over.
func TestCase2And3Move(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{
		{Name: "acme", Proxies: []int{0, 1, 2, 3, 4, 5, 6, 7}, Cell: "red"},
		{Name: "other", Proxies: []int{8}, Cell: "red"},
	}
	d := newDay(t, p, fleet(20), 9)
	red, blue := d.may[0].Backends, p.AssignedBackends(Tenant{Cell: "blue"}, d.list)
	d.step(Move{Tenant: "acme", Cell: "blue"})
	both := union(red, blue)
	for part := range 4 {
		for i := range 8 {
			want, still := both, true
			if i < 2*part {
				want = blue
			} else if i >= 2*part+2 {
				want, still = red, false
			}
			if got := d.may[i]; !slices.Equal(got.Backends, want) || got.NoRetries != still {
				t.Errorf("part %d, proxy %d: %+v, want %v", part, i, got, want)
			}
		}
		if notes := d.pass(int(p.SettleTime / second)); part == 3 && !holds(notes, "has moved") {
			t.Errorf("notes %v", notes)
		}
	}
	d.pass(10)
	for i := range 8 {
		if got := d.may[i]; !slices.Equal(got.Backends, blue) || got.NoRetries {
			t.Errorf("proxy %d ends with %+v", i, got)
		}
	}
	if !slices.Equal(d.may[8].Backends, red) {
		t.Error("another tenant was moved")
	}
	// There and back again; a move of one that moves, or to nowhere, is refused in words.
	d.step(
		Move{Tenant: "acme", Cell: "green"},
		Move{Tenant: "none", Cell: "red"},
		Move{Tenant: "acme", Cell: "red"},
		Move{Tenant: "acme", Cell: "blue"},
	)
	if !holds(d.notes, "no fixed cell green") || !holds(d.notes, "no tenant none") || !holds(d.notes, "moves already") {
		t.Errorf("notes %v", d.notes)
	}
	d.step(CancelMove{"acme"})
	if got := d.may[0]; !slices.Equal(got.Backends, blue) || !got.NoRetries {
		t.Errorf("undone, proxy 0 has %+v", got)
	}
}

// A cell of freshly started backends is not entered before most of it is warm, and a move is undone when it does
// not become so, or when the cell dies under it.
func TestCase4ColdCell(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "red"}}
	list := fleet(20)
	blue := p.AssignedBackends(Tenant{Cell: "blue"}, list)
	d := newDay(t, p, list, 4)
	red := d.may[0].Backends
	d.change(func(b *Backend) { b.StartedAt = d.now }, blue...)
	d.step(Move{Tenant: "acme", Cell: "blue"})
	d.pass(9)
	if got := d.may[0].Backends; !slices.Equal(got, red) {
		t.Errorf("while the cell is cold proxy 0 has %v", got)
	}
	d.pass(2)
	if got := d.may[0].Backends; !slices.Equal(got, union(red, blue)) {
		t.Errorf("when it is warm proxy 0 has %v", got)
	}
	d.pass(4)
	d.die(blue...)
	if got := d.may[0].Backends; !slices.Equal(got, red) || !holds(d.notes, "undone") {
		t.Errorf("the cell died under the move: %v, notes %v", got, d.notes)
	}
	d.step(Move{Tenant: "acme", Cell: "blue"})
	if notes := d.pass(125); !holds(notes, "did not become warm") {
		t.Errorf("notes %v", notes)
	}
}

// The controller is killed at each second of a move: the next one holds to the file at once, whatever was moved
// by hand; a file that names the new cell ends the move there.
func TestCase5Killed(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "red"}}
	there := p
	there.Tenants = []Tenant{{Name: "acme", Proxies: []int{0, 1, 2, 3}, Cell: "blue"}}
	list := fleet(20)
	red, blue := p.AssignedBackends(p.Tenants[0], list), p.AssignedBackends(there.Tenants[0], list)
	for at := range 20 {
		d := newDay(t, p, list, 4)
		d.step(PlanUpdate{there})
		d.pass(at)
		for file, want := range map[*Plan][]int{&p: red, &there: blue} {
			next := newDay(t, *file, list, 4)
			for i := range 4 {
				if got := next.may[i].Backends; !slices.Equal(got, want) {
					t.Errorf("killed after %d s, proxy %d has %v, want %v", at, i, got, want)
				}
			}
		}
	}
	d := newDay(t, p, list, 4)
	d.step(PlanUpdate{there}) // on SIGHUP it is a move, not a jump
	if got := d.may[3].Backends; !slices.Equal(got, red) {
		t.Errorf("a new file put proxy 3 on %v at once", got)
	}
	d.pass(20)
	if got := d.may[3].Backends; !slices.Equal(got, blue) {
		t.Errorf("then on %v, want %v", got, blue)
	}
}

// Two controllers with different files and lists: each keeps every proxy with somewhere to go among what its own
// list has ready, whatever order it hears things in.
func TestCase6TwoControllers(t *testing.T) {
	for seed := range uint64(30) {
		chance := rand.New(rand.NewPCG(seed, 6))
		p, q := fixed("red", "blue"), shuffled(2, 3, 4)
		for i := range 3 {
			p.Tenants = append(
				p.Tenants,
				Tenant{Name: fmt.Sprint("t", i), Proxies: q.Tenants[i].Proxies, Cell: []string{"red", "blue"}[i%2]},
			)
		}
		list := fleet(16)
		a, b := newDay(t, p, list, 12), newDay(t, q, list, 12)
		for range 60 {
			at, status := chance.IntN(16), []policy.Status{policy.Ready, policy.Gone, policy.Draining}[chance.IntN(3)]
			for _, d := range []*day{a, b} {
				if chance.IntN(3) > 0 { // the other hears of it seconds later, or never
					d.change(func(b *Backend) { b.Status = status }, at)
				}
				i := chance.IntN(12)
				d.step(ProxyDisconnected{i}, ProxyConnected{Proxy: i, Zone: i % 2})
				d.pass(chance.IntN(3))
				ready := map[int]bool{}
				for _, x := range d.list {
					if x.Status == policy.Ready {
						ready[x.Index] = true
					}
				}
				for i := range 12 {
					open := func(at int) bool { return ready[at] }
					if len(ready) > 0 && !slices.ContainsFunc(d.may[i].Backends, open) {
						t.Fatalf("seed %d: proxy %d may go to %v of %v", seed, i, d.may[i].Backends, ready)
					}
				}
			}
		}
	}
}

// 5,000 tenants of a proxy each: a backend that comes changes as few sets as can be; one that goes changes those
// that had it.
func TestCase7ManyTenants(t *testing.T) {
	p := shuffled(2, 5000, 1)
	list := fleet(500)
	d := newDay(t, p, list[:499], 5000)
	d.list = list
	d.step(ListUpdate{list})
	enter := 0
	for _, tt := range p.Tenants {
		if slices.Contains(p.AssignedBackends(tt, list), 499) {
			enter++
		}
	}
	if d.sent != enter || enter == 0 || enter > 100 {
		t.Errorf("%d proxies are told of a backend that enters %d sets", d.sent, enter)
	}
	had := 0
	for i := range 5000 {
		if slices.Contains(d.may[i].Backends, 7) {
			had++
		}
	}
	d.die(7)
	if d.sent != had {
		t.Errorf("%d proxies are told of the end of a backend that %d had", d.sent, had)
	}
}

// A tenant that leaves the file is free again, and one that comes is confined; proxies without a tenant never hear
// anything.
func TestCase7ComesAndGoes(t *testing.T) {
	p := shuffled(2, 2, 2)
	d := newDay(t, p, fleet(20), 6)
	if len(d.may) != 4 {
		t.Errorf("%d proxies are told something", len(d.may))
	}
	q := p
	q.Tenants = p.Tenants[:1]
	d.step(PlanUpdate{q})
	if d.may[2].Restricted || !d.may[1].Restricted || d.sent != 2 {
		t.Errorf("without its tenant proxy 2 has %+v; %d told", d.may[2], d.sent)
	}
	q.Tenants = nil
	d.step(PlanUpdate{q})
	if d.may[0].Restricted {
		t.Errorf("without tenants proxy 0 has %+v", d.may[0])
	}
	d.step(PlanUpdate{p})
	if !d.may[3].Restricted {
		t.Errorf("confined anew proxy 3 has %+v", d.may[3])
	}
}

// A tenant whose cell voids more than the others is bounded, the proxy that asks for most first, makes no further
// tries, and is let go of when its cell is well.
func TestCase8Bounded(t *testing.T) {
	p := shuffled(2, 5, 2)
	d := newDay(t, p, fleet(40), 10)
	sick := d.may[0].Backends
	news := func(voids float64) (all []Event) {
		for at := range 40 {
			h := BackendReport{Backend: at, Attempts: 20, Latency: 400}
			if slices.Contains(sick, at) {
				h.Failed = 20 * voids
			}
			all = append(all, h)
		}
		for i := range 10 {
			all = append(all, UsageReport{Proxy: i, Txns: []float64{40, 5}[i%2], Period: second})
		}
		return all
	}
	if notes := d.pass(5, news(0)...); len(notes) > 0 {
		t.Errorf("a calm day: %v", notes)
	}
	notes := d.pass(10, news(0.9)...)
	big, small := d.may[0], d.may[1]
	if !holds(notes, "tenant t0 is bounded") || big.MaxRate == 0 || big.MaxRate > 35 || small.MaxRate < 4.9 ||
		!big.NoRetries {
		t.Errorf("%v; the big one %+v, the small one %+v", notes, big, small)
	}
	for i := 2; i < 10; i++ {
		if own := d.may[i]; own.MaxRate > 0 &&
			!slices.ContainsFunc(own.Backends, func(at int) bool { return slices.Contains(sick, at) }) {
			t.Errorf("proxy %d is bounded too: %+v", i, own)
		}
	}
	notes = d.pass(60, news(0)...)
	if d.may[0].MaxRate != 0 || !holds(notes, "no longer bounded") {
		t.Errorf("after a minute %+v", d.may[0])
	}
}

// The blast radius is what it is by hand.
func TestRadii(t *testing.T) {
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
		t.Errorf("backends are %.3f of all", total)
	}
}

func BenchmarkOneBackendComes(b *testing.B) {
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

// A cell's budget of further tries: a tenth of its txns may be voided; beyond that its tenants make none, and
// those of other cells go on.
func TestRetryBudget(t *testing.T) {
	p := fixed("red", "blue")
	p.Tenants = []Tenant{
		{Name: "a", Proxies: []int{0}, Cell: "red"},
		{Name: "b", Proxies: []int{1}, Cell: "red"},
		{Name: "c", Proxies: []int{2}, Cell: "blue"},
	}
	d := newDay(t, p, fleet(20), 3)
	news := func(voided float64) []Event {
		return []Event{
			UsageReport{Proxy: 0, Txns: 100, Failed: voided, Period: second},
			UsageReport{Proxy: 1, Txns: 100, Period: second},
			UsageReport{Proxy: 2, Txns: 100, Period: second},
		}
	}
	for _, c := range []struct {
		voided float64
		still  bool
	}{{15, false}, {40, true}, {5, false}} {
		d.pass(8, news(c.voided)...)
		if d.may[0].NoRetries != c.still || d.may[1].NoRetries != c.still || d.may[2].NoRetries {
			t.Errorf(
				"%v of 200 voided: %v %v, the other cell %v",
				c.voided,
				d.may[0].NoRetries,
				d.may[1].NoRetries,
				d.may[2].NoRetries,
			)
		}
	}
}
