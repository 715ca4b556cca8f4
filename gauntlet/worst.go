package gauntlet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Way is in which directions a cut loses what is sent.
type Way uint8

// Ways: both; what the cut-off side says; what it would hear.
const (
	Both Way = iota
	Unheard
	Deaf
)

func (y Way) String() string { return []string{"both ways", "unheard", "deaf"}[y] }

// Split parts some machines of the core, carriers and backends from all others; the function joins them. Carriers and
// backends reach the core's machines of their own side only.
func (w *World) Split(cores, carriers []*Machine, backends []*Backend, y Way) (join func()) {
	var ways [][2]string
	apart := func(a, b string) { // a is on the side that is cut off
		if y != Deaf {
			ways = append(ways, [2]string{a, b})
		}
		if y != Unheard {
			ways = append(ways, [2]string{b, a})
		}
	}
	for _, o := range w.Cores() {
		if slices.Contains(cores, o) {
			for _, m := range w.Carriers {
				if !slices.Contains(carriers, m) {
					apart(o.IP, m.IP)
				}
			}
			for _, b := range w.Backends() {
				if !slices.Contains(backends, b) {
					apart(o.IP, b.host.IP)
				}
			}
			continue
		}
		for _, m := range slices.Concat(cores, carriers) {
			apart(m.IP, o.IP)
		}
		for _, b := range backends {
			apart(b.host.IP, o.IP)
		}
	}
	return w.part(ways, slices.Concat(cores, carriers)...)
}

// Apart cuts each of some machines of the core from each other.
func (w *World) Apart(some []*Machine) (join func()) {
	var ways [][2]string
	for i, a := range some {
		for _, b := range some[:i] {
			ways = append(ways, [2]string{a.IP, b.IP}, [2]string{b.IP, a.IP})
		}
	}
	return w.part(ways, some...)
}

// Numbers gives configurations rising versions.
type Numbers struct{ last atomic.Uint32 }

// Next is a configuration unlike the last.
func (n *Numbers) Next() *Config {
	v := n.last.Add(1) + 1
	c := Charter(v)
	if v%2 == 0 {
		c.Routes[0].Services = []string{"views"}
	}
	return c
}

// other is another body under the same number.
func other(c *Config, n int) *Config {
	o := *c
	o.Routes = append(slices.Clone(c.Routes), Route{Host: "a.example", Prefix: fmt.Sprintf("/other-%d/", n), Safe: true,
		Services: []string{"pages"}, TimeoutS: 4, MaxTries: 2})
	return &o
}

// dawn draws faults of the first second, within the budget; all processes may be killed beside it.
func (w *World) dawn(r *rand.Rand) (log []string) {
	cores := slices.Clone(w.Cores())
	r.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	left := w.shape.Faults
	moment := func() time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }
	for _, m := range cores {
		if left == 0 {
			break
		}
		left--
		at, span, how := moment(), time.Duration(200+r.IntN(3000))*time.Millisecond, r.IntN(8)
		write, before := 1+r.IntN(12), r.IntN(2) == 0
		log = append(log, fmt.Sprintf("%s: %s at %v (or write %d, before it lasts %t) for %v", m.Name,
			[]string{"kill", "power", "power and wipe", "gone", "freeze", "power at a write", "power and wipe at a write", "cut off"}[how],
			at, write, before, span))
		hit := func(m *Machine, wipe bool) {
			w.Power(m)
			if wipe {
				w.Wipe(m)
			}
			w.Go(func() { time.Sleep(span); w.PowerOn(m) })
		}
		switch how {
		case 5, 6:
			w.AtWrite([]*Machine{m}, write, before, func(m *Machine) { hit(m, how == 6) })
			continue
		}
		w.Go(func() {
			time.Sleep(at)
			if !w.runs(m) {
				return
			}
			switch how {
			case 0:
				w.Kill(m)
				time.Sleep(span / 4)
				w.Run(m)
			case 1, 2:
				hit(m, how == 2)
			case 3:
				w.Gone(m)
				time.Sleep(span)
				w.Successor(m, nil)
			case 4:
				w.Freeze(m, span)
			case 7:
				join := w.Isolate(m, r.IntN(2) == 0)
				time.Sleep(span)
				join()
			}
		})
	}
	if r.IntN(3) == 0 {
		at, span := moment(), time.Duration(50+r.IntN(900))*time.Millisecond
		log = append(log, fmt.Sprintf("all killed at %v for %v", at, span))
		w.Go(func() {
			time.Sleep(at)
			w.killAll(false, span)
		})
	}
	return log
}

// killAll ends every process of the gateway at once, and starts them again.
func (w *World) killAll(power bool, span time.Duration) {
	var all []*Machine
	for _, m := range slices.Concat(w.Cores(), w.Carriers) {
		if w.runs(m) {
			all = append(all, m)
			if power {
				w.Power(m)
			} else {
				w.Kill(m)
			}
		}
	}
	time.Sleep(span)
	for _, m := range all {
		if power {
			w.PowerOn(m)
		} else {
			w.Run(m)
		}
	}
}
