package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Keyed is Plain with a service that is divided by key.
var Keyed = Shape{Zones: Zones, Cores: 3, Proxies: 4, Faults: 1, Sharded: true}

// Guards against a service that is divided by key and whose endpoints are never given any (CONFIG, SHORT).
func TestKeysAreGivenOut(t *testing.T) {
	t.Parallel()
	var w *World
	defer func() { sound(t, w) }()
	synctest.Test(t, func(t *testing.T) {
		w = Begin(1, Keyed)
		from := w.Now()
		w.Load(10*time.Second, w.flows()...)
		w.ReadBack()
		w.Finish()
		asked, served := w.Ledger.ServedOf(Accounts.Name, from, w.Now(), time.Second)
		if asked < 200 || served*100 < asked*97 {
			t.Errorf("of %d requests on keys %d were served within a second", asked, served)
		}
	})
}

// Drawn days with a service that is divided by key: no two endpoints hold a key at once (OWNER), whatever troubles
// overlap, and all other rules hold too. Days beside those of TestDrawnDays, which they leave as they are.
func TestDrawnDaysWithKeys(t *testing.T) {
	first, days := number("SIMULATION_SEED", 5001), number("SIMULATION_DAYS", fewer(8))
	var asked, served, holds atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := first; seed < first+days; seed++ {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				var w *World
				var log []string
				synctest.Test(t, func(t *testing.T) {
					shape := ShapeOf(seed)
					shape.Sharded = true
					w, log = BeginDrawn(seed, shape)
					log = append(log, Drawn(w, 20*time.Second, 1800*time.Millisecond)...)
					w.Finish()
				})
				if sound(t, w); t.Failed() {
					t.Logf("SIMULATION_SEED=%d SIMULATION_DAYS=1\n%s", seed, strings.Join(log, "\n"))
				}
				n, ok := w.Ledger.ServedOf(Accounts.Name, 0, w.Now(), time.Minute)
				asked.Add(int64(n))
				served.Add(int64(ok))
				holds.Add(int64(len(w.Ledger.Holds)))
			})
		}
	})
	t.Logf("%d days: of %d requests on keys %d served, %d holds", days, asked.Load(), served.Load(), holds.Load())
}

// assigner is the machine that assigns keys now.
func (w *World) assigner(t *testing.T) *Machine {
	t.Helper()
	for _, m := range w.Cores() {
		_, answer, err := w.operator.call(m.control(), "core.status", "", nil)
		var status struct{ Shards struct{ Active bool } }
		if err == nil && json.Unmarshal(answer, &status) == nil && status.Shards.Active {
			return m
		}
	}
	t.Fatal("no node assigns keys")
	return nil
}

// Whatever befalls the assigner, another node renews all holds before any of them ends.
func TestLossOfTheAssigner(t *testing.T) {
	for _, how := range []string{"kill", "power", "freeze", "term", "cut"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var w *World
			defer func() { sound(t, w) }()
			synctest.Test(t, func(t *testing.T) {
				w = Begin(2, Keyed)
				m := w.assigner(t)
				from := w.Now()
				w.Go(func() { w.Load(14*time.Second, w.flows()...) })
				time.Sleep(1300 * time.Millisecond)
				switch how {
				case "kill":
					w.Kill(m)
					time.Sleep(9 * time.Second)
					w.Run(m)
				case "power":
					w.Power(m)
					time.Sleep(9 * time.Second)
					w.PowerOn(m)
				case "freeze":
					w.Freeze(m, 9*time.Second)
				case "term":
					w.Term(m)
					time.Sleep(3 * time.Second)
					w.Run(m)
				case "cut":
					join := w.Isolate(m, true)
					time.Sleep(9 * time.Second)
					join()
				}
				time.Sleep(6 * time.Second)
				w.Ledger.do(func() {
					for _, h := range w.Ledger.Holds {
						if h.From < from && h.To > from && h.To < w.Now() && !h.Ended {
							t.Errorf("%s held %d to %d until %v only", h.Backend, h.First, h.Last, h.To)
						}
					}
				})
				asked, served := w.Ledger.ServedOf(Accounts.Name, from, w.Now(), time.Second)
				if asked < 400 || served*100 < asked*97 {
					t.Errorf("of %d requests on keys %d were served within a second", asked, served)
				}
				w.Finish()
			})
		})
	}
}

// heldAgain is how long after the loss of a backend the last of its keys was granted to another.
func (l *Ledger) heldAgain(lost string, at time.Duration) (last time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := 0; key <= maxKey; key += 64 {
		contains := func(h *Hold) bool { return int(h.First) <= key && key <= int(h.Last) }
		wasLost := slices.ContainsFunc(l.Holds, func(h *Hold) bool {
			return h.Backend == lost && contains(h) && h.From < at && h.To >= at
		})
		if !wasLost {
			continue
		}
		next := forever
		for _, h := range l.Holds {
			if h.Backend != lost && contains(h) && h.From > at {
				next = min(next, h.From-at)
			}
		}
		last = max(last, next)
	}
	return last
}

// The keys of an endpoint that crashes are held by others as soon as its hold has certainly ended; those of one that
// drains, as soon as its requests have.
func TestKeysOfALostEndpoint(t *testing.T) {
	for _, c := range []struct {
		how   string
		least time.Duration // from the loss to the end of the last hold by the slowest clock, which is the bound of the rule
		most  time.Duration
	}{
		{"crash", 4100 * time.Millisecond, 7 * time.Second},
		{"drain", 0, 700 * time.Millisecond},
	} {
		t.Run(c.how, func(t *testing.T) {
			t.Parallel()
			var w *World
			defer func() { sound(t, w) }()
			synctest.Test(t, func(t *testing.T) {
				w = Begin(3, Keyed)
				w.Go(func() { w.Load(12*time.Second, w.flows()...) })
				time.Sleep(2 * time.Second)
				var lost *Backend
				for _, b := range w.Backends() {
					if b.keys != nil {
						lost = b
					}
				}
				at := w.Now()
				if c.how == "crash" {
					lost.Crash()
				} else {
					w.Go(lost.Drain)
				}
				time.Sleep(10 * time.Second)
				moved := w.Ledger.heldAgain(lost.ID, at)
				t.Logf("all of its keys are held again after %v", moved)
				if moved < c.least || moved > c.most {
					t.Errorf("its keys are held again after %v", moved)
				}
				w.Finish()
			})
		})
	}
}
