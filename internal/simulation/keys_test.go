package simulation

import (
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
