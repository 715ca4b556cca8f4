package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// drawn plays one schedule: proposals, crashes, lost disks, cuts, failing disks, among deliveries in any order of
// lines. Then all is healed, and all must have one version.
func drawn(seed uint64, f flaws) (w *world) {
	r := rand.New(rand.NewPCG(seed, 33))
	shape := [][2]int{{3, 1}, {5, 2}}[seed%2]
	plan := Plan{ListenDuration: 300 * time.Millisecond, MaxEnded: 3, Stages: []Stage{
		{Proxies: 1, MinShare: 1, Timeout: 8 * time.Second},
		{Zones: 1, MinShare: 1, Soak: 200 * time.Millisecond, Timeout: 8 * time.Second},
		{MinShare: 0.5, Timeout: 8 * time.Second}}}
	if seed%3 == 0 { // deadlines race confirmations
		plan.Stages = []Stage{{MinShare: 0.5, Timeout: time.Second}}
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
				if j != i && other.isVoter && !w.cut[j] && !w.cut[i] {
					with++
				}
			}
			for _, t := range w.safe {
				greatest = max(greatest, t.Version)
			}
			if ask, _ := s.Quorums(); !s.isVoter && with >= max(w.n-w.faults, ask) {
				w.step(i, CaughtUp{greatest})
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
	for moves := 0; moves < 2500 && w.fault == ""; moves++ {
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
				lost += int(bit(!s.isVoter || w.forgot[j]))
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
			w.step(i, LeaseEnded{name(at), r.IntN(2) == 0})
		case k < 997: // and is had again
			at := w.n + r.IntN(w.m)
			if !w.cut[i] && !w.cut[at] {
				w.link(i, at)
			}
		case k < 998:
			w.step(i, Resumed{})
		case k < 999 && version > 0:
			w.step(i, HaltRequested{version})
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
		if s.Committed().Version > most.Version {
			most = s.Committed()
		}
	}
	for version, d := range w.chosen { // disks that forgot may be too many to find the end of one again
		if w.wipes == 0 && d.Committed && version > most.Version {
			w.failf("%d is taken, and in the end nobody knows", version)
		}
	}
	for k, c := range w.car {
		if w.fault == "" && c.Active() != most {
			w.failf("in the end %s serves %v, %v is taken", name(w.n+k), c.Active(), most)
		}
	}
	return w
}

func TestDrawnSchedules(t *testing.T) {
	ends := map[string]int{}
	for seed := range uint64(300) {
		w := drawn(seed, flaws{})
		if w.fault != "" {
			t.Fatalf("seed %d: %s", seed, w.fault)
		}
		for _, d := range w.chosen {
			ends[fmt.Sprint(d.Committed, " ", d.Reason)]++
		}
	}
	t.Log(ends)
	for _, want := range []string{"true ", "false too few confirmed", "false superseded", "false proxies ended"} {
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
			w := drawn(seed, c.flaws)
			caught = w.fault
		}
		if !strings.Contains(caught, c.says) {
			t.Errorf("%s: not seen", what)
		}
		t.Log(what, ":", caught)
	}
}

// steward is one controller alone, with leases of carriers in the zones that their names begin with.
func steward(plan Plan, carriers ...string) *Coordinator {
	s := New(Options{Self: "a", Incarnation: 1, Voters: []string{"a"}, Plan: plan, IsVoter: true})
	for i, c := range carriers {
		s.Step(0, LeaseGranted{c, c[:1], uint64(10 + i)})
	}
	return s
}

func end(orders []Action) (d Decision, is bool) {
	for _, o := range orders {
		if e, ok := o.(VersionDecided); ok {
			return e.Decision, true
		}
	}
	return d, false
}

// play lets the disk of a controller that is alone write all that is asked for.
func play(s *Coordinator, now time.Duration, events ...Event) (all []Action) {
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
	plan := Plan{MaxEnded: 2, MinAttempts: 100, MaxExtraFailures: 0.1, MaxExtraLatencyMS: 50, MaxNotReadable: 1,
		Stages: []Stage{{MinShare: 0.5, Timeout: time.Second}}}
	says := func(c string, life uint64) Event { return Confirmed{Proxy: c, Incarnation: life, Target: one} }
	for _, c := range []struct {
		name   string
		events []Event
		want   Decision
		after  time.Duration
	}{
		{"one under the bound", []Event{says("x1", 10)}, Decision{}, 0},
		{"exactly the bound", []Event{says("x1", 10), says("x2", 11)}, Decision{Committed: true, Digest: 7}, 0},
		{"one counts once", []Event{says("x1", 10), says("x1", 10)}, Decision{}, 0},
		{
			"another digest",
			[]Event{says("x1", 10), Confirmed{Proxy: "x2", Incarnation: 11, Target: Target{1, 8}}},
			Decision{},
			0,
		},
		{"a restart takes it back", []Event{says("x1", 10), LeaseGranted{"x1", "x", 20}, says("x2", 11)}, Decision{}, 0},
		{"an old life's word", []Event{LeaseGranted{"x1", "x", 20}, says("x1", 10), says("x2", 11)}, Decision{}, 0},
		{"a lease that is over", []Event{says("x1", 10), LeaseEnded{"x1", true}, LeaseEnded{"x3", true}, says("x2", 11)},
			Decision{Committed: true, Digest: 7}, 0}, // 1 of the 2 that are left
		{"too few in time", []Event{says("x1", 10)}, Decision{Reason: TooFewConfirmed}, time.Second},
		{
			"lives that ended",
			[]Event{LeaseGranted{"x1", "x", 20}, LeaseEnded{"x2", false}},
			Decision{Reason: ProxiesEnded},
			0,
		},
		{"lives that left in order", []Event{LeaseEnded{"x1", true}, LeaseEnded{"x2", true}}, Decision{}, 0},
		{
			"unreadable",
			[]Event{Confirmed{Proxy: "x1", Incarnation: 10, Target: one, NotReadable: true}},
			Decision{Reason: NotReadable},
			0,
		},
		{"failures", []Event{says("x1", 10), Measured{"x1", 100, 20, 0, 0}, Measured{"x2", 100, 5, 0, 0}},
			Decision{Reason: Unhealthy}, 0},
		{"added time", []Event{says("x1", 10), Measured{"x1", 100, 0, 0, 6000}, Measured{"x2", 100, 0, 0, 0}},
			Decision{Reason: Unhealthy}, 0},
		{
			"trouble of all",
			[]Event{says("x1", 10), Measured{"x1", 100, 60, 0, 0}, Measured{"x2", 100, 55, 0, 0}},
			Decision{},
			0,
		},
		{"a higher one", []Event{BodyStored{Target{2, 1}}}, Decision{Reason: Superseded}, 0},
	} {
		s := steward(plan, "x1", "x2", "x3")
		play(s, 0, BodyStored{one})
		d, _ := end(play(s, c.after, c.events...))
		if d != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, d, c.want)
		}
	}
}

// A version that kills whoever loads it never leaves the first stage, and is halted.
func TestKillsWhoLoadsIt(t *testing.T) {
	plan := Plan{
		MaxEnded: 3,
		Stages:   []Stage{{Proxies: 1, MinShare: 1, Timeout: time.Hour}, {MinShare: 0.5, Timeout: time.Hour}},
	}
	s := steward(plan, "x1", "x2", "x3", "y1", "y2", "y3")
	told, life, now := 0, uint64(100), time.Duration(0)
	orders := play(s, now, BodyStored{Target{1, 7}})
	for now < time.Minute {
		var deaths []Event
		for _, o := range orders {
			if o, ok := o.(SendCommand); ok && o.Command == CommandPrepare {
				told++
				life++
				deaths = append(deaths, LeaseGranted{o.Proxy, o.Proxy[:1], life})
			}
		}
		if d, is := end(orders); is {
			if d.Reason != ProxiesEnded || told > 4 {
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
	c := NewParticipant(1, time.Second)
	has := func(version, digest uint64) []Event {
		return []Event{BodyReceived{Target{version, digest}}, CompileDone{Target: Target{version, digest}}}
	}
	c.Step(0, append([]Event{CommandReceived{CommandPrepare, Target{3, 1}}}, has(3, 1)...)...)
	if c.Step(0, CommandReceived{CommandActivate, Target{3, 2}}); c.Active() != (Target{}) {
		t.Fatal("it serves another body than the one that was taken")
	}
	c.Step(0, has(3, 2)...)
	c.Step(
		0,
		CommandReceived{CommandActivate, Target{2, 1}},
		CommandReceived{CommandDiscard, Target{Version: 3}},
		CommandReceived{CommandPrepare, Target{2, 1}},
	)
	c.Step(0, has(2, 1)...)
	if c.Active() != (Target{3, 2}) {
		t.Fatal(c.Active())
	}
	if o := c.Step(0, CommandReceived{CommandActivate, Target{4, 1}}); len(o) != 1 {
		t.Fatal(o)
	}
	stale := c.Step(time.Second) // it hears that 4 is taken, and gets no body
	if len(stale) != 2 || stale[1] != (FreshnessChanged{false}) {
		t.Fatal(stale)
	}
	if fresh := c.Step(time.Second, has(4, 1)...); fresh[len(fresh)-1] != (FreshnessChanged{true}) {
		t.Fatal(fresh)
	}
}
