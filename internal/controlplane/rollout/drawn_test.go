package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// drawn plays one schedule: proposals, crashes, lost disks, cuts, failing disks, among deliveries in any order of lines.
// Then all is healed, and all must have one version.
func drawn(seed uint64, f flaws) (w *world, moves int) {
	r := rand.New(rand.NewPCG(seed, 33))
	shape := [][2]int{{3, 1}, {5, 2}}[seed%2]
	plan := Plan{Listen: 300 * time.Millisecond, Ended: 3, Steps: []Step{
		{Carriers: 1, Share: 1, Within: 8 * time.Second},
		{Zones: 1, Share: 1, Soak: 200 * time.Millisecond, Within: 8 * time.Second},
		{Share: 0.5, Within: 8 * time.Second}}}
	if seed%3 == 0 { // deadlines race confirmations
		plan.Steps = []Step{{Share: 0.5, Within: time.Second}}
	}
	w = newWorld(shape[0], 4+r.IntN(3), shape[1], plan, f)
	w.twoLines = seed%4 < 2
	w.settle()
	pass := func(i int) {
		w.now[i] += 100 * time.Millisecond
		w.step(i)
	}
	all := w.n + w.m
	complete := func() {
		for i, s := range w.st {
			with, greatest := 0, uint64(0)
			for j, other := range w.st {
				if j != i && other.votes && !w.cut[j] && !w.cut[i] {
					with++
				}
			}
			for _, t := range w.safe {
				greatest = max(greatest, t.Version)
			}
			if ask, _ := s.Quorums(); !s.votes && with >= max(w.n-w.faults, ask) {
				w.step(i, Complete{greatest})
				w.forgot[i] = w.forgot[i] && greatest > 0
			}
		}
	}
	heal := func(i int) {
		if w.cut[i] {
			w.cut[i] = false
			for j := range all {
				if i < w.n && j != i {
					w.link(i, j)
				} else if i >= w.n && j < w.n {
					w.link(j, i)
				}
			}
		}
	}
	version := uint64(0)
	for moves = 0; moves < 2500 && w.fault == ""; moves++ {
		i, q := r.IntN(w.n), r.IntN(len(w.queues))
		switch k := r.IntN(1000); {
		case k < 800:
			for n := range w.queues {
				if at := (q + n) % len(w.queues); len(w.queues[at]) > 0 {
					w.deliver(at/all, at%all)
					break
				}
			}
		case k < 900:
			if len(w.pend[i]) > 0 {
				var err error
				if r.IntN(30) == 0 {
					err = errors.New("full")
				}
				w.written(i, err)
			}
		case k < 976:
			pass(i)
		case k < 979 && version < 40:
			version += uint64(1 + r.IntN(2))
			w.propose(Target{version, 1 + r.Uint64N(3)})
			if r.IntN(4) == 0 { // two at once, or two bodies under one number
				version += r.Uint64N(2)
				w.propose(Target{version, 1 + r.Uint64N(3)})
			}
		case k < 983:
			w.crash(r.IntN(all), false)
		case k < 985:
			lost := 0
			for j, s := range w.st {
				lost += int(bit(!s.votes || w.forgot[j]))
			}
			if lost < w.faults {
				w.crash(i, true)
			}
		case k < 988:
			at := r.IntN(all)
			for j := range all {
				if at < w.n && j != at {
					w.unlink(at, j)
				} else if at >= w.n && j < w.n {
					w.unlink(j, at)
				}
			}
			w.cut[at] = true
		case k < 993:
			heal(r.IntN(all))
		case k < 995: // a lease lapses
			at := w.n + r.IntN(w.m)
			delete(w.proved[i], about{carrier: at})
			w.step(i, Lapsed{name(at), r.IntN(2) == 0})
		case k < 997: // and is had again
			at := w.n + r.IntN(w.m)
			if !w.cut[i] && !w.cut[at] {
				w.link(i, at)
			}
		case k < 998:
			w.step(i, Woke{})
		case k < 999 && version > 0:
			w.step(i, Halt{version})
		default:
			complete()
		}
	}
	for i := range all {
		heal(i)
	}
	for range 200 {
		complete()
		w.settle()
		for i := range w.n {
			if pass(i); r.IntN(2) == 0 {
				w.settle()
			}
		}
	}
	var most Target
	for _, s := range w.st {
		if s.Taken().Version > most.Version {
			most = s.Taken()
		}
	}
	for version, d := range w.chosen { // disks that forgot may be too many to find the end of one again
		if w.wipes == 0 && d.Taken && version > most.Version {
			w.failf("%d is taken, and in the end nobody knows", version)
		}
	}
	for k, c := range w.car {
		if w.fault == "" && c.Serves() != most {
			w.failf("in the end %s serves %v, %v is taken", name(w.n+k), c.Serves(), most)
		}
	}
	return w, moves
}

func TestDrawnSchedules(t *testing.T) {
	ends := map[string]int{}
	for seed := range uint64(300) {
		w, _ := drawn(seed, flaws{})
		if w.fault != "" {
			t.Fatalf("seed %d: %s", seed, w.fault)
		}
		for _, d := range w.chosen {
			ends[fmt.Sprint(d.Taken, " ", d.Reason)]++
		}
	}
	t.Log(ends)
	for _, want := range []string{"true ", "false too few confirmed", "false overtaken", "false lives ended"} {
		if ends[want] == 0 {
			t.Errorf("no schedule came to %q: %v", want, ends)
		}
	}
}

func TestPlantedFaultsAreCaught(t *testing.T) {
	for what, c := range map[string]struct {
		flaws flaws
		says  string
	}{
		"halt after taken":           {flaws{noPromise: true}, "was taken"},
		"a forgetful disk votes":     {flaws{wipedVote: true}, "two ends"},
		"counted by an old life":     {flaws{oldLife: true}, "offers taken with"},
		"switched before it's taken": {flaws{tooSoon: true}, "serves"},
	} {
		caught := ""
		for seed := uint64(0); seed < 3000 && !strings.Contains(caught, c.says); seed++ {
			w, _ := drawn(seed, c.flaws)
			caught = w.fault
		}
		if !strings.Contains(caught, c.says) {
			t.Errorf("%s: not seen", what)
		}
		t.Log(what, ":", caught)
	}
}

// steward is one controller alone, with leases of carriers in the zones that their names begin with.
func steward(plan Plan, carriers ...string) *Steward {
	s := New("a", 1, []string{"a"}, 0, plan, true, nil)
	for i, c := range carriers {
		s.Step(0, Leased{c, c[:1], uint64(10 + i)})
	}
	return s
}

func end(orders []Order) (d Decision, is bool) {
	for _, o := range orders {
		if e, ok := o.(End); ok {
			return e.Decision, true
		}
	}
	return d, false
}

// play lets the disk of a controller that is alone write all that is asked for.
func play(s *Steward, now time.Duration, events ...Event) (all []Order) {
	for orders := s.Step(now, events...); len(orders) > 0; {
		all = append(all, orders...)
		var more []Event
		for _, o := range orders {
			if p, ok := o.(Persist); ok {
				more = append(more, Persisted{Seq: p.Seq})
			}
		}
		if orders = nil; more != nil {
			orders = s.Step(now, more...)
		}
	}
	return all
}

func TestCounting(t *testing.T) {
	one := Target{1, 7}
	plan := Plan{Ended: 2, Tries: 100, FailMore: 0.1, SlowMore: 50, Refused: 1,
		Steps: []Step{{Share: 0.5, Within: time.Second}}}
	says := func(c string, life uint64) Event { return Confirmed{Carrier: c, Life: life, Target: one} }
	for _, c := range []struct {
		name   string
		events []Event
		want   Decision
		after  time.Duration
	}{
		{"one under the bound", []Event{says("x1", 10)}, Decision{}, 0},
		{"exactly the bound", []Event{says("x1", 10), says("x2", 11)}, Decision{Taken: true, Digest: 7}, 0},
		{"one counts once", []Event{says("x1", 10), says("x1", 10)}, Decision{}, 0},
		{"another digest", []Event{says("x1", 10), Confirmed{Carrier: "x2", Life: 11, Target: Target{1, 8}}}, Decision{}, 0},
		{"a restart takes it back", []Event{says("x1", 10), Leased{"x1", "x", 20}, says("x2", 11)}, Decision{}, 0},
		{"an old life's word", []Event{Leased{"x1", "x", 20}, says("x1", 10), says("x2", 11)}, Decision{}, 0},
		{"a lease that is over", []Event{says("x1", 10), Lapsed{"x1", true}, Lapsed{"x3", true}, says("x2", 11)},
			Decision{Taken: true, Digest: 7}, 0}, // 1 of the 2 that are left
		{"too few in time", []Event{says("x1", 10)}, Decision{Reason: TooFew}, time.Second},
		{"lives that ended", []Event{Leased{"x1", "x", 20}, Lapsed{"x2", false}}, Decision{Reason: Ended}, 0},
		{"lives that left in order", []Event{Lapsed{"x1", true}, Lapsed{"x2", true}}, Decision{}, 0},
		{"unreadable", []Event{Confirmed{Carrier: "x1", Life: 10, Target: one, Refused: true}}, Decision{Reason: Refused}, 0},
		{"failures", []Event{says("x1", 10), Measured{"x1", 100, 20, 0, 0}, Measured{"x2", 100, 5, 0, 0}},
			Decision{Reason: Ill}, 0},
		{"added time", []Event{says("x1", 10), Measured{"x1", 100, 0, 0, 6000}, Measured{"x2", 100, 0, 0, 0}},
			Decision{Reason: Ill}, 0},
		{"trouble of all", []Event{says("x1", 10), Measured{"x1", 100, 60, 0, 0}, Measured{"x2", 100, 55, 0, 0}}, Decision{}, 0},
		{"a higher one", []Event{Safe{Target{2, 1}}}, Decision{Reason: Overtaken}, 0},
	} {
		s := steward(plan, "x1", "x2", "x3")
		play(s, 0, Safe{one})
		d, _ := end(play(s, c.after, c.events...))
		if d != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, d, c.want)
		}
	}
}

// A version that kills whoever loads it never leaves the first stage, and is halted.
func TestKillsWhoLoadsIt(t *testing.T) {
	plan := Plan{Ended: 3, Steps: []Step{{Carriers: 1, Share: 1, Within: time.Hour}, {Share: 0.5, Within: time.Hour}}}
	s := steward(plan, "x1", "x2", "x3", "y1", "y2", "y3")
	told, life, now := 0, uint64(100), time.Duration(0)
	orders := play(s, now, Safe{Target{1, 7}})
	for now < time.Minute {
		var deaths []Event
		for _, o := range orders {
			if o, ok := o.(Tell); ok && o.Word == Prepare {
				told++
				life++
				deaths = append(deaths, Leased{o.Carrier, o.Carrier[:1], life})
			}
		}
		if d, is := end(orders); is {
			if d.Reason != Ended || told > 4 {
				t.Fatalf("%+v after %d lives", d, told)
			}
			return
		}
		now += time.Second
		orders = play(s, now, deaths...)
	}
	t.Fatal("no end")
}

func TestCarrierNeverGoesBack(t *testing.T) {
	c := NewCarrier(1, time.Second)
	has := func(version, digest uint64) []Event {
		return []Event{Got{Target{version, digest}}, Compiled{Target: Target{version, digest}}}
	}
	c.Step(0, append([]Event{Told{Prepare, Target{3, 1}}}, has(3, 1)...)...)
	if c.Step(0, Told{Take, Target{3, 2}}); c.Serves() != (Target{}) {
		t.Fatal("it serves another body than the one that was taken")
	}
	c.Step(0, has(3, 2)...)
	c.Step(0, Told{Take, Target{2, 1}}, Told{Forget, Target{Version: 3}}, Told{Prepare, Target{2, 1}})
	c.Step(0, has(2, 1)...)
	if c.Serves() != (Target{3, 2}) {
		t.Fatal(c.Serves())
	}
	if o := c.Step(0, Told{Take, Target{4, 1}}); len(o) != 1 {
		t.Fatal(o)
	}
	stale := c.Step(time.Second) // it hears that 4 is taken, and gets no body
	if len(stale) != 2 || stale[1] != (Fresh{false}) {
		t.Fatal(stale)
	}
	if fresh := c.Step(time.Second, has(4, 1)...); fresh[len(fresh)-1] != (Fresh{true}) {
		t.Fatal(fresh)
	}
}
