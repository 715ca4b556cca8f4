package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against what founds itself twice, or never: faults of the first second, aimed and drawn.
func TestFirstSecond(t *testing.T) {
	first := func(m int, f func(w *World, m *Machine)) func(w *World) {
		return func(w *World) {
			time.Sleep(250 * time.Millisecond)
			f(w, w.Cores()[m])
		}
	}
	back := func(after time.Duration, wipe bool) func(w *World, m *Machine) {
		return func(w *World, m *Machine) {
			w.Power(m)
			if wipe {
				w.Wipe(m)
			}
			time.Sleep(after)
			w.PowerOn(m)
		}
	}
	type story struct {
		name string
		size int
		play func(w *World)
	}
	all := []story{
		{
			"nothing",
			3,
			func(*World) {},
		},
		{"one alone", 1, func(*World) {}},
		{"two", 2, func(*World) {}},
		{"seven", 7, func(*World) {}},
		{
			"all are killed after 0.1 s",
			3,
			func(w *World) { time.Sleep(100 * time.Millisecond); w.killAll(false, 500*time.Millisecond) },
		},
		{
			"all without power after 0.35 s",
			3,
			func(w *World) { time.Sleep(350 * time.Millisecond); w.killAll(true, 500*time.Millisecond) },
		},
		{
			"both of two are killed after 0.2 s",
			2,
			func(w *World) { time.Sleep(200 * time.Millisecond); w.killAll(false, time.Second) },
		},
		{
			"the only one is killed after 0.2 s",
			1,
			func(w *World) { time.Sleep(200 * time.Millisecond); w.killAll(false, time.Second) },
		},
		{"a zone dark for 20 s", 5, func(w *World) {
			time.Sleep(200 * time.Millisecond)
			for _, m := range w.Cores() {
				if m.Zone == Zones[0] {
					w.Go(func() { w.Power(m); time.Sleep(20 * time.Second); w.PowerOn(m) })
				}
			}
		}},
		{"seeds cut from each other for 20 s, others between them", 5, func(w *World) {
			join := w.Partition(w.Cores()[:3])
			time.Sleep(20 * time.Second)
			join()
		}},
		{"all seeds cut from each other for 8 s", 3, func(w *World) {
			join := w.Partition(w.Cores())
			time.Sleep(8 * time.Second)
			join()
		}},
	}
	for m := range 3 {
		all = append(all,
			story{fmt.Sprint("seed ", m, " dies after 0.25 s, disk kept"), 3, first(m, back(20*time.Second, false))},
			story{fmt.Sprint("seed ", m, " dies after 0.25 s, wiped"), 3, first(m, back(2*time.Second, true))},
			story{fmt.Sprint("seed ", m, " is gone after 0.25 s, replaced"), 3, first(m, func(w *World, m *Machine) {
				w.Gone(m)
				time.Sleep(3 * time.Second)
				w.Successor(m, nil)
			})})
	}
	for k := 1; k <= 6; k++ {
		for _, before := range []bool{true, false} {
			for _, how := range []string{"one without power", "one wiped", "all without power"} {
				all = append(all, story{fmt.Sprintf("%s at write %d, before it lasts %t", how, k, before), 3, func(w *World) {
					w.AtWrite(w.Cores(), k, before, func(m *Machine) {
						if how == "all without power" {
							w.Go(func() { w.killAll(true, 700*time.Millisecond) })
							return
						}
						if w.Power(m); how == "one wiped" {
							w.Wipe(m)
						}
						w.Go(func() { time.Sleep(2 * time.Second); w.PowerOn(m) })
					})
				}})
			}
		}
	}
	for _, c := range all {
		t.Run(c.name, func(t *testing.T) { dawn(t, 30, sized(c.size), func(n *night) { c.play(n.World) }) })
	}
	from := number("SIMULATION_SEED", 1)
	for seed := from; seed < from+number("SIMULATION_DAYS", fewer(30)); seed++ {
		t.Run(fmt.Sprint("drawn ", seed), func(t *testing.T) {
			size := []int{3, 3, 5, 2, 1, 7}[seed%6]
			dawn(t, seed, sized(size), func(n *night) {
				for _, line := range n.dawn(n.Rand("dawn", 0)) {
					n.note("%s", line)
				}
			})
		})
	}
}

// dawn plays the first second of a system's life, and what follows; the operator sends its first configuration
// until it is taken, and another after it.
func dawn(t *testing.T, seed uint64, shape Shape, f func(n *night)) {
	t.Helper()
	t.Parallel()
	var w *World
	defer func() { sound(t, w) }() // also where the story itself fails
	synctest.Test(t, func(t *testing.T) {
		w = NewWorld(seed, shape)
		w.Populate()
		w.Start()
		n := &night{T: t, World: w}
		w.Go(func() { f(n) })
		time.Sleep(700 * time.Millisecond)
		w.Go(func() { w.Replace(NewConfig(1), true, nil, 40*time.Second) })
		time.Sleep(800 * time.Millisecond)
		o := w.Replace(n.Next(), true, nil, 40*time.Second)
		n.note("the first order is taken after %.3f s", o.Acked.Seconds())
		if n.must(o); o.Acked > 0 {
			w.Load(3*time.Second, few...)
		}
		time.Sleep(20 * time.Second)
		n.end()
		if o.Acked > 0 {
			w.Load(5*time.Second, few...)
		}
		w.Finish()
	})
}

// Guards against a founding that asks for a majority of the seeds: with five machines of which two may be lost, two of
// the three seeds may go in the first moments, for good, and the other machines found the system without them.
func TestFoundingWithoutMostSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			dawn(t, seed, sized(5), func(n *night) {
				time.Sleep(200 * time.Millisecond)
				for i, m := range n.Cores()[:3] {
					if uint64(i) != seed%3 {
						n.Power(m)
					}
				}
			})
		})
	}
}
