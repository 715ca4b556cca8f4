package consensus

import (
	"slices"
	"testing"
	"time"
)

// concurrentOperators has several operators change one register for a while, each with one proposal at a time at
// alternating nodes. It returns the sorted latencies of the committed proposals.
func concurrentOperators(
	seed uint64,
	machines, operators int,
	duration time.Duration,
	bugs injectedBugs,
) (latencies []time.Duration, failure string) {
	sim := newSimulation(seed, machines, (machines-1)/2, driverBugs{replica: bugs}, discardLog)
	sim.runUntil(4 * time.Second)
	var next func(operator int)
	next = func(operator int) {
		if sim.now > 4*time.Second+duration {
			return
		}
		sim.lastVersion++
		op := sim.replaceConfig((operator+int(sim.lastVersion))%machines, sim.lastVersion, uint64(operator+1))
		var wait func()
		wait = func() {
			if op.returnedAt == forever {
				sim.schedule(ms, wait)
				return
			}
			if op.outcome == Committed {
				latencies = append(latencies, op.returnedAt-op.calledAt)
			}
			sim.schedule(sim.randomDuration(10*ms), func() { next(operator) })
		}
		wait()
	}
	for operator := range operators {
		next(operator)
	}
	sim.runUntil(8*time.Second + duration)
	if sim.failure == "" {
		sim.checkHistory()
	}
	slices.Sort(latencies)
	return latencies, sim.failure
}

// Guards against duels: concurrent proposers that preempt each other repeatedly, which reduces throughput and increases
// latency.
func TestTurnsShortenDuels(t *testing.T) {
	t.Parallel()
	const operators = 8
	for _, machines := range []int{3, 5} {
		latencies, failure := concurrentOperators(1, machines, operators, 10*time.Second, injectedBugs{})
		latenciesWithoutTurns, failureWithoutTurns := concurrentOperators(
			1,
			machines,
			operators,
			10*time.Second,
			injectedBugs{noProposerTurns: true},
		)
		if failure+failureWithoutTurns != "" {
			t.Fatal(failure, failureWithoutTurns)
		}
		percentile := func(latencies []time.Duration, p int) time.Duration { return latencies[len(latencies)*p/100] }
		t.Logf(
			"%d machines: %d proposals, p50 %v, p99 %v; without turns %d, %v, %v",
			machines,
			len(latencies),
			percentile(latencies, 50),
			percentile(latencies, 99),
			len(latenciesWithoutTurns),
			percentile(latenciesWithoutTurns, 50),
			percentile(latenciesWithoutTurns, 99),
		)
		if 2*percentile(latencies, 99) > percentile(latenciesWithoutTurns, 99) ||
			len(latencies) < len(latenciesWithoutTurns) {
			t.Errorf("%d machines: turns do not halve p99", machines)
		}
	}
}

// Turns must not affect safety: no acknowledged change may be lost without them, or if they never end.
func TestDrawnFaultsWithTurnsDisabledOrEndless(t *testing.T) {
	t.Parallel()
	seeds := uint64(40)
	if raceEnabled {
		seeds = 6
	}
	for name, bugs := range map[string]injectedBugs{"disabled": {noProposerTurns: true}, "endless": {endlessTurns: true}} {
		for _, result := range simulateSeeds(3000, 3000+seeds, randomFaults, driverBugs{replica: bugs}) {
			if result.failure != "" {
				t.Errorf("turns %s, seed %d: %s", name, result.seed, result.failure)
			}
		}
	}
}
