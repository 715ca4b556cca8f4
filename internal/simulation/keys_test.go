package simulation

import (
	"fmt"
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
