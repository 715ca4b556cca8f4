package consensus

import (
	"slices"
	"testing"
	"time"
)

// busyOperators has so many operators change one register at once, each with one order at a time, at any machine, for a
// while. It returns how long each order took.
func busyOperators(seed uint64, machines, operators int, span time.Duration, bugs injectedBugs) (took []time.Duration,
	fault string) {
	w := newWorld(seed, machines, (machines-1)/2, driverFlaws{code: bugs}, quiet)
	w.run(4 * time.Second)
	var next func(operator int)
	next = func(operator int) {
		if w.now > 4*time.Second+span {
			return
		}
		w.version++
		o := w.configuration((operator+int(w.version))%machines, w.version, uint64(operator+1))
		var wait func()
		wait = func() {
			if o.ret == endless {
				w.after(ms, wait)
				return
			}
			if o.fate == Committed {
				took = append(took, o.ret-o.call)
			}
			w.after(w.upTo(10*ms), func() { next(operator) })
		}
		wait()
	}
	for operator := range operators {
		next(operator)
	}
	w.run(8*time.Second + span)
	if w.fault == "" {
		w.checkHistory()
	}
	slices.Sort(took)
	return took, w.fault
}

// Guards against duels: proposers that preempt each other again and again, so that few orders of many operators at
// once are decided, and some of them late.
func TestTurnsShortenDuels(t *testing.T) {
	t.Parallel()
	const operators = 8
	for _, machines := range []int{3, 5} {
		with, fault := busyOperators(1, machines, operators, 10*time.Second, injectedBugs{})
		without, fault2 := busyOperators(1, machines, operators, 10*time.Second, injectedBugs{noTurns: true})
		if fault+fault2 != "" {
			t.Fatal(fault, fault2)
		}
		part := func(all []time.Duration, p int) time.Duration { return all[len(all)*p/100] }
		t.Logf("%d machines: %d orders, p50 %v, p99 %v; without turns %d, %v, %v", machines, len(with), part(with, 50),
			part(with, 99), len(without), part(without, 50), part(without, 99))
		if 2*part(with, 99) > part(without, 99) || len(with) < len(without) {
			t.Errorf("%d machines: turns do not halve p99", machines)
		}
	}
}

// Turns are a hint: where they are wrong everywhere, and where there are none, nothing that was acknowledged is lost.
func TestDrawnFaultsWithoutOrWithWrongTurns(t *testing.T) {
	t.Parallel()
	for name, bugs := range map[string]injectedBugs{"none": {noTurns: true}, "never over": {endlessTurns: true}} {
		for _, p := range playAll(3000, 3000+uint64(map[bool]int{true: 6, false: 40}[raced]), wild, driverFlaws{code: bugs}) {
			if p.fault != "" {
				t.Errorf("turns %s, seed %d: %s", name, p.seed, p.fault)
			}
		}
	}
}
