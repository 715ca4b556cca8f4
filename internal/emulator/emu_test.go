package emulator

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// poisoned plays a day on which one tenant's txns take 20 times the work, from 10 to 40 s.
func poisoned(d Day) *World {
	w := New(d)
	w.At(10*second, func() { w.Poison[Tenant(7)] = 20 })
	w.Run(40 * second)
	return w
}

// harmed counts the other tenants that lost over a tenth of their service.
func (w *World) harmed() (n int) {
	for i := range 20 {
		if i != 7 && w.Over(Tenant(i), 15, 40).Service() < 0.9*w.Over(Tenant(i), 4, 10).Service() {
			n++
		}
	}
	return n
}

// The same seed gives the same day, to each sum, effect and line of the log; another seed another one.
func TestSameDay(t *testing.T) {
	play := func(seed uint64) []any {
		d := Campus(seed)
		d.Plan = d.Confine(2)
		w := New(d)
		w.At(5*second, func() { w.Poison[Tenant(7)] = 20; w.CutProxy(3) })
		w.At(8*second, func() { w.Kill(0, second, d.Plan); w.Restart("s-03", second) })
		w.Run(15 * second)
		return []any{w.Sums, w.Effects, w.Notes, w.Moved}
	}
	a, b, c := play(1), play(1), play(2)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, c) {
		t.Error("two plays of a seed differ, or two seeds do not")
	}
}

// The ledger sees what took effect twice: proxies that try again after any failure do so, ours never.
func TestLedger(t *testing.T) {
	for _, careless := range []bool{true, false} {
		d := Campus(1)
		d.Careless = careless
		d.Backends[0].Speed = 0.01 // tries there time out and run all the same
		w := New(d)
		w.Run(20 * second)
		if (w.Doubled() > 0) != careless {
			t.Errorf("careless %v: %d doubled of %d", careless, w.Doubled(), len(w.Effects))
		}
	}
}

// A cold backend that is sent too much falls over in the emulator, so that a day without is worth something.
func TestTips(t *testing.T) {
	d := Campus(1)
	w := New(d)
	w.WarmupCapacity, w.WarmupOverload, w.TipAfter = 0.01, 0.05, 100*ms // worse than the decisions were told
	w.At(5*second, func() { w.Restart("s-03", second) })
	w.Run(12 * second)
	if len(w.Tipped) == 0 {
		t.Error("nothing fell over")
	}
}

// One poisoned tenant harms nearly all without cells; with fixed cells its cell's, with shuffled ones few, and it
// declines its own.
func TestPoisoned(t *testing.T) {
	d := Campus(1)
	without := poisoned(d)
	d.Plan = d.Confine(0, "red", "blue", "green", "gold")
	fixed := poisoned(d)
	d.Plan = d.Confine(2)
	shuffled := poisoned(d)
	own := shuffled.Over(Tenant(7), 20, 40)
	if without.harmed() < 10 || fixed.harmed() > 4 || shuffled.harmed() > 3 || own.Declined*2 < own.Requested {
		t.Errorf(
			"harmed %d without, %d fixed, %d shuffled; the poisoned one: %+v",
			without.harmed(),
			fixed.harmed(),
			shuffled.harmed(),
			own,
		)
	}
	if without.Bare+fixed.Bare+shuffled.Bare > 0 {
		t.Error("a txn found no line")
	}
}

// Case 8: a bad release answers with errors at once and so looks fastest; tenants of other cells lose nothing.
func TestCase8BadRelease(t *testing.T) {
	d := Campus(1)
	d.Plan = d.Confine(0, "red", "blue", "green", "gold")
	w := New(d)
	bad := map[string]bool{}
	w.At(10*second, func() {
		for _, id := range w.Lines(0, 0) { // of tenant 0, in red
			w.Bad[id], bad[id] = true, true
		}
	})
	w.Run(40 * second)
	for i := range 20 {
		before, during := w.Over(Tenant(i), 4, 10).Service(), w.Over(Tenant(i), 13, 40).Service()
		if i%4 != 0 && during < 0.97*before {
			t.Errorf("%s of another cell: %.3f, before %.3f", Tenant(i), during, before)
		}
	}
	if len(bad) < 2 || w.Over(Tenant(0), 13, 40).Service() > 0.9 {
		t.Errorf("%d bad backends harm nobody: %.3f", len(bad), w.Over(Tenant(0), 13, 40).Service())
	}
}

// Case 1: a whole cell dies: its tenants are lent others and go on, and it is given back.
func TestCase1CellDies(t *testing.T) {
	d := Campus(1)
	d.Plan = d.Confine(0, "red", "blue", "green", "gold")
	w := New(d)
	own := map[string]bool{}
	w.At(10*second, func() {
		for proxy := range 3 {
			for _, id := range w.Lines(proxy, 0) {
				own[id] = true
			}
		}
		for _, b := range w.backends {
			if own[b.spec.ID] {
				w.Restart(b.spec.ID, 20*second)
			}
		}
	})
	var lent []string
	w.At(20*second, func() { lent = w.Lines(0, 0) })
	w.Run(100 * second)
	if s := w.Over(Tenant(0), 15, 29); s.Service() < 0.9 || len(lent) == 0 {
		t.Errorf("while its cell is dead %.3f at %v", s.Service(), lent)
	}
	for _, id := range w.Lines(0, 0) {
		if !own[id] {
			t.Errorf("%s is not given back", id)
		}
	}
	if len(w.Tipped) > 0 || w.Doubled() > 0 || w.Bare > 0 {
		t.Errorf("pushed over %v, doubled %d, without a line %d", w.Tipped, w.Doubled(), w.Bare)
	}
}

// Case 4: a move into a cell whose backends have just started, by two controllers of which one has heard of it
// seconds earlier: none is pushed over by all proxies together.
func TestCase4ColdCell(t *testing.T) {
	d := Campus(1)
	d.WarmupOverload = 3
	d.Plan = d.Confine(0, "red", "blue", "green")
	w := New(d)
	w.At(10*second, func() {
		for proxy := 3; proxy < 6; proxy++ { // of tenant 1, in blue
			for _, id := range w.Lines(proxy, 0) {
				if !w.byID[id].dead {
					w.Restart(id, second)
				}
			}
		}
	})
	for i, c := range w.control {
		for n := 0; n < 20; n += 3 { // all tenants of red
			w.At(
				12*second+Time(3*i)*second,
				func() { c.loop.Handle(eventloop.Command{Message: tenancy.Move{Tenant: Tenant(n), Cell: "blue"}}) },
			)
		}
	}
	w.Run(70 * second)
	if len(w.Tipped) > 0 || w.Bare > 0 || w.Doubled() > 0 {
		t.Errorf("pushed over %v, without a line %d, doubled %d", w.Tipped, w.Bare, w.Doubled())
	}
	moved := 0
	for _, n := range w.Notes {
		if strings.Contains(n, "moved from red to blue") {
			moved++
		}
	}
	if moved != 14 {
		t.Errorf("%d of 14 moves ended", moved)
	}
}

// Case 5: a controller is killed at each second of a move, a proxy of the tenant changes controllers: the next one
// ends it where the file says, nothing is doubled and no txn finds no line.
func TestCase5KilledInMove(t *testing.T) {
	for at := range 14 {
		d := Campus(uint64(at + 1))
		d.Plan = d.Confine(0, "red", "blue")
		d.Plan.SettleTime = 2 * second
		file := *d.Plan
		file.Tenants = slices.Clone(file.Tenants)
		file.Tenants[0].Cell = "blue"
		w := New(d)
		var blue []string
		w.At(8*second, func() {
			blue = w.Lines(3, 0) // tenant 1 is in blue; its first proxy is in the zone of proxy 0
			w.Say(tenancy.Move{Tenant: Tenant(0), Cell: "blue"})
		})
		w.At(8*second+Time(at)*second, func() { w.Kill(at%2, 2*second, &file); w.CutProxy(1) })
		w.Run(40 * second)
		if got := w.Lines(0, 1); len(got) == 0 || !slices.Equal(got, w.Lines(3, 1)) {
			t.Errorf("killed %d s into the move: proxy 0 has %v, blue is %v", at, got, blue)
		}
		if w.Bare > 0 || w.Doubled() > 0 || len(w.Tipped) > 0 {
			t.Errorf("killed at %d s: without a line %d, doubled %d, pushed over %v", at, w.Bare, w.Doubled(), w.Tipped)
		}
	}
}

// Case 6: two controllers with different files, proxies that go to and fro between them, backends that come and
// go: no txn without a line, nothing doubled, no cold backend pushed over.
func TestCase6TwoFiles(t *testing.T) {
	d := Campus(3)
	d.Plan = d.Confine(0, "red", "blue", "green")
	w := New(d)
	w.control[1].loop.Handle(eventloop.Command{Message: tenancy.PlanUpdate{Plan: planFor(d, d.Confine(2))}})
	for i := range 60 {
		w.At(5*second+Time(i)*700*ms, func() { w.CutProxy(i) })
		if i%6 == 0 {
			w.At(6*second+Time(i)*700*ms, func() { w.Restart(fmt.Sprintf("s-%02d", i%24), 1500*ms) })
		}
		if i%9 == 0 {
			w.At(6*second+Time(i)*700*ms, func() { w.Drain(fmt.Sprintf("s-%02d", (i+7)%24), true) })
			w.At(12*second+Time(i)*700*ms, func() { w.Drain(fmt.Sprintf("s-%02d", (i+7)%24), false) })
		}
	}
	w.Run(70 * second)
	if w.Bare > 0 || w.Doubled() > 0 || len(w.Tipped) > 0 {
		t.Errorf("without a line %d, doubled %d, pushed over %v", w.Bare, w.Doubled(), w.Tipped)
	}
}

func planFor(d Day, p *tenancy.Plan) tenancy.Plan {
	q := *p
	q.Zones, q.WarmupTime = d.Zones, d.WarmupTime
	for _, x := range d.Products {
		q.Products = append(q.Products, policy.Product{SLA: x.SLA, OwnZone: x.OwnZone})
	}
	return q
}

// Case 7: a tenant of one proxy with half of the load has its own set only: with a size for it it is served, and
// the others are either way.
func TestCase7HalfTheLoad(t *testing.T) {
	for _, size := range []int{1, 6} {
		d := Campus(5)
		d.Proxies[0].Tenant, d.Proxies[0].Rate = "large", 250
		for i := 1; i < 60; i++ {
			d.Proxies[i].Rate = 250.0 / 59
		}
		d.Plan = d.Confine(2)
		for i := range d.Plan.Tenants {
			if d.Plan.Tenants[i].Name == "large" {
				d.Plan.Tenants[i].ShardSize = size
			}
		}
		w := New(d)
		w.Run(40 * second)
		own, worst := w.Over("large", 8, 40).Service(), 1.0
		for i := range 20 {
			worst = min(worst, w.Over(Tenant(i), 8, 40).Service())
		}
		if size == 6 && own < 0.95 || size == 1 && own > 0.95 || worst < 0.9 || len(w.Tipped) > 0 {
			t.Errorf("size %d: the large one %.3f, the worst of the others %.3f, pushed over %v", size, own, worst, w.Tipped)
		}
	}
}

// Cases 2 and 3: tenants move among cells and zones while backends die under their tries and streams break:
// referenced and once-only txns take effect once each. Proxies that try again after any failure double some.
func TestCase2And3MoveUnderFaults(t *testing.T) {
	for _, careless := range []bool{false, true} {
		d := Campus(9)
		d.Careless = careless
		for k := range d.Products {
			d.Products[k].OwnZone = false // they may change zones
		}
		d.Backends[4].Speed = 0.02 // tries there time out and run all the same
		d.Plan = d.Confine(0, "red", "blue", "green")
		d.Plan.SettleTime = 2 * second
		w := New(d)
		for i := range 20 {
			at := Time(8+2*i) * second
			w.At(at, func() { w.Say(tenancy.Move{Tenant: Tenant(i), Cell: []string{"red", "blue", "green"}[(i+1)%3]}) })
			w.At(at+second, func() { w.CutProxy(3 * i) })
			if i%4 == 0 {
				w.At(at+1500*ms, func() { w.Restart(fmt.Sprintf("s-%02d", (5*i)%24), second) })
			}
		}
		w.Run(75 * second)
		moved := 0
		for _, n := range w.Notes {
			if strings.Contains(n, " moved from ") {
				moved++
			}
		}
		if (w.Doubled() > 0) != careless || moved < 30 || w.Bare > 0 {
			t.Errorf(
				"careless %v: doubled %d of %d, %d moves ended at two controllers, without a line %d",
				careless,
				w.Doubled(),
				len(w.Effects),
				moved,
				w.Bare,
			)
		}
	}
}
