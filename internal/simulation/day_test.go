package simulation

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A day's garbage is many times what lives: collected as it is by default it takes two fifths of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// sound fails the test for each broken rule. It is called outside of the bubble.
func sound(t *testing.T, w *World) {
	t.Helper()
	if w == nil {
		return
	}
	broken, undecided := w.Ledger.linear()
	if undecided {
		t.Logf("the search for an order of %d calls was given up", len(w.Ledger.Calls))
	}
	seen := map[string]int{}
	for _, b := range append(Check(w.Ledger), broken...) {
		if seen[b.Rule]++; seen[b.Rule] <= 4 {
			t.Error(b)
		}
	}
	if n := w.Violations(); n > 0 {
		t.Errorf("the proxies count %d violations of their invariants", n)
	}
	for rule, n := range seen {
		if n > 4 {
			t.Errorf("%s is broken %d times", rule, n)
		}
	}
}

func TestCalmDay(t *testing.T) {
	t.Parallel()
	var w *World
	defer func() { sound(t, w) }() // also where the story itself fails
	synctest.Test(t, func(t *testing.T) {
		w = Begin(1, Plain)
		w.Load(10*time.Second, Flows...)
		w.ReadBack()
		w.Finish()
		l := w.Ledger
		if asked, served := l.Served(0, w.Now(), time.Minute); asked < 900 || served != asked || len(l.Tries) != asked {
			t.Errorf("%d asked in %d tries, %d served", asked, len(l.Tries), served)
		}
		for _, o := range l.Orders {
			if o.Acked == 0 {
				t.Errorf("version %08x was not acknowledged", o.Config.Version)
			}
		}
		for _, y := range l.Tries {
			if n, _ := y.runs(); n != 1 || len(y.Replies) != 1 {
				t.Errorf("%s: %d arrivals, %d runs, %d replies", y.ID, len(y.Arrivals), n, len(y.Replies))
			}
		}
	})
}

// Days are drawn from seeds: a few always, SIMULATION_DAYS of them from SIMULATION_SEED on where that is set. A failing
// one is named, and played again by SIMULATION_SEED=n SIMULATION_DAYS=1.
func TestDrawnDays(t *testing.T) {
	first, days := number("SIMULATION_SEED", 1), number("SIMULATION_DAYS", fewer(len(aims)/2+1))
	var played, asked, served, tries, arrivals, faults, orders, broken atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := first; seed < first+days; seed++ {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				var w *World
				var log []string
				synctest.Test(t, func(t *testing.T) {
					w, log = BeginDrawn(seed, ShapeOf(seed))
					log = append(log, Drawn(w, 20*time.Second, 1800*time.Millisecond)...)
					w.Finish()
				})
				if sound(t, w); t.Failed() {
					broken.Add(1)
					t.Logf("SIMULATION_SEED=%d SIMULATION_DAYS=1\n%s", seed, strings.Join(log, "\n"))
				}
				func() {
					l := w.Ledger
					n, ok := l.Served(0, w.Now(), time.Minute)
					for _, y := range l.Tries {
						arrivals.Add(int64(len(y.Arrivals)))
					}
					played.Add(1)
					asked.Add(int64(n))
					served.Add(int64(ok))
					tries.Add(int64(len(l.Tries)))
					orders.Add(int64(len(l.Orders)))
					faults.Add(int64(len(l.FaultSpans)))
				}()
			})
		}
	})
	t.Logf(
		"%d days, %d broken: %d requests in %d tries on the wire, %d arrivals, %d served; %d orders, %d troubles",
		played.Load(),
		broken.Load(),
		asked.Load(),
		tries.Load(),
		arrivals.Load(),
		served.Load(),
		orders.Load(),
		faults.Load(),
	)
}

// fewer is a number of drawn plays: a third beside the race detector; CI plays all of them without it.
func fewer(n int) uint64 {
	if raced {
		n = (n + 2) / 3
	}
	return uint64(n)
}

func number(name string, otherwise uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}
