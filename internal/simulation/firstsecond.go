package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

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
		if !w.losesDisks() {
			how = []int{0, 1, 1, 1, 4, 5, 5, 7}[how]
		}
		if how == 3 && !w.replaces() {
			how = 2
		}
		write, before, both := 1+r.IntN(12), r.IntN(2) == 0, r.IntN(2) == 0
		log = append(log, fmt.Sprintf(
			"%s: %s at %v (or write %d, before it lasts %t) for %v",
			m.Name,
			[]string{
				"kill",
				"power",
				"power and wipe",
				"gone",
				"freeze",
				"power at a write",
				"power and wipe at a write",
				"cut off",
			}[how],
			at,
			write,
			before,
			span,
		))
		hit := func(m *Machine, wipe bool) {
			w.Power(m)
			if wipe {
				w.Wipe(m)
			}
			w.Go(func() { time.Sleep(span); w.PowerOn(m) })
		}
		switch how {
		case 5, 6:
			w.AtWrite([]*Machine{m}, write, before, func(m *Machine) {
				if w.Now() < 3*time.Second { // later it would come beside what else is lost
					hit(m, how == 6)
				}
			})
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
				join := w.Isolate(m, both)
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
	for _, m := range slices.Concat(w.Cores(), w.Proxies) {
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
