package sharding

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The scope of the enumeration: each pair of faults, at each two of the times, with one endpoint or two.
var (
	faultTimes = steps(2500*time.Millisecond, 5300*time.Millisecond, 700*time.Millisecond)
	fewerTimes = steps(2500*time.Millisecond, 5300*time.Millisecond, 1400*time.Millisecond)
)

func steps(from, to, step time.Duration) (all []time.Duration) {
	for at := from; at <= to; at += step {
		all = append(all, at)
	}
	return all
}

// scenario is two faults, each with its kind, time and endpoint.
type scenario [2]struct {
	kind     int
	at       time.Duration
	endpoint int
}

func (s scenario) String() string {
	var parts []string
	for _, f := range s {
		parts = append(parts, fmt.Sprintf("%s at %v (endpoint %d)", modelFaults[f.kind].kind, f.at, f.endpoint))
	}
	return strings.Join(parts, ", ")
}

// scenarios enumerates the scope.
func scenarios(times []time.Duration) (all []scenario) {
	for first := range modelFaults {
		for second := range modelFaults {
			for i, at := range times {
				for _, later := range times[i:] {
					for other := range 2 {
						var s scenario
						s[0].kind, s[0].at = first, at
						s[1].kind, s[1].at, s[1].endpoint = second, later, other
						all = append(all, s)
					}
				}
			}
		}
	}
	return all
}

func (s scenario) play(bugs injectedBugs) *modelWorld {
	w := newModel(bugs)
	for _, f := range s {
		w.plan(f.kind, f.at, w.endpoints[f.endpoint])
	}
	w.run()
	return w
}

// enumerate plays all scenarios on several goroutines. It calls visit for each under a lock, until visit returns false.
func enumerate(all []scenario, bugs injectedBugs, visit func(s scenario, w *modelWorld) bool) {
	const workers = 8
	var mu sync.Mutex
	var wait sync.WaitGroup
	stopped := false
	for worker := range workers {
		wait.Go(func() {
			for i := worker; i < len(all); i += workers {
				w := all[i].play(bugs)
				mu.Lock()
				stopped = stopped || !visit(all[i], w)
				isOver := stopped
				mu.Unlock()
				if isOver {
					return
				}
			}
		})
	}
	wait.Wait()
}

// At no time do two endpoints hold a key, whatever two faults coincide, and some time after them all keys are held.
func TestNoTwoHolders(t *testing.T) {
	times := faultTimes
	if raceEnabled || testing.Short() {
		times = fewerTimes
	}
	played, grants, failed := 0, 0, 0
	enumerate(scenarios(times), injectedBugs{}, func(s scenario, w *modelWorld) bool {
		played++
		grants += w.grants
		unheld := w.unheld()
		if len(w.broken) == 0 && unheld == 0 {
			return true
		}
		failed++
		t.Errorf("%v: %d of %d keys are not held at the end; %s\n%s", s, unheld, (MaxKey+1)/16,
			strings.Join(w.broken, "; "), strings.Join(w.log, "\n"))
		return failed < 3
	})
	t.Logf("%d scenarios, %d grants, %d failed", played, grants, failed)
}

// Each injected bug is caught in some scenario of the two kinds of faults that it is weak against.
func TestInjectedBugsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name          string
		bugs          injectedBugs
		first, second string
	}{
		{"writesWithoutLease", injectedBugs{writesWithoutLease: true}, "freeze after grant", "unreachable"},
		{"noInheritedHolds", injectedBugs{noInheritedHolds: true}, "core answers lost", "unreachable"},
		{"noClockSlack", injectedBugs{noClockSlack: true}, "core answers lost", "unreachable"},
		{"forgetsUnanswered", injectedBugs{forgetsUnanswered: true}, "answers lost", "cut"},
		{"releasesByTimeout", injectedBugs{releasesByTimeout: true}, "freeze", "unreachable"},
		{"callsBeforeCommit", injectedBugs{callsBeforeCommit: true}, "cut from core", "crash"},
		{"keepsFence", injectedBugs{keepsFence: true}, "core answers lost", "late"},
		{"forgetsFormerHolders", injectedBugs{forgetsFormerHolders: true}, "freeze", "cut"},
		{"unfencedTable", injectedBugs{unfencedTable: true}, "cut", "freeze after table"},
		{"acquiresEarly", injectedBugs{acquiresEarly: true}, "freeze", "freeze"},
		{"reusesConnections", injectedBugs{reusesConnections: true}, "second answer", "cut and drain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			played, caught := 0, ""
			all := slices.DeleteFunc(scenarios(faultTimes), func(s scenario) bool {
				return modelFaults[s[0].kind].kind != c.first || modelFaults[s[1].kind].kind != c.second
			})
			enumerate(all, c.bugs, func(s scenario, w *modelWorld) bool {
				played++
				if len(w.broken) > 0 {
					caught = fmt.Sprintf("%v: %s", s, w.broken[0])
				}
				return caught == ""
			})
			if caught == "" {
				t.Errorf("not caught in %d scenarios", played)
			}
			t.Logf("after %d scenarios: %s", played, caught)
		})
	}
}
