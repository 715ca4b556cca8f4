package soak

import (
	"strings"
	"testing"
	"time"
)

// Guards against a check of evacuations that finds nothing, or that counts what a fault excuses.
func TestCheckEvacuations(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, c := range map[string]struct {
		zone      string
		begunAt   time.Time
		harmedAt  int // the second in which something befell the proxy; 0: nothing did
		violation bool
	}{
		"in the evacuated zone":       {"c", at(12), 0, true},
		"after a fault of long ago":   {"c", at(12), 5, true},
		"after a fault of just now":   {"c", at(12), 10, false},
		"in another zone":             {"b", at(12), 0, false},
		"before the bound has passed": {"c", at(9), 0, false},
		"after the end":               {"c", at(14), 0, false},
	} {
		l := newLedger()
		l.zones["i-1"] = "c"
		l.evacuations = []evacuation{{zone: "c", from: at(10), to: at(13)}}
		if c.zone != "c" {
			l.zones["i-1"] = c.zone
		}
		if c.harmedAt > 0 {
			l.faults = []span{{subject: "edge-1", from: at(c.harmedAt), to: at(c.harmedAt + 1)}}
		}
		l.requests["1"] = &request{id: "1", proxy: "edge-1", safe: true, runs: []run{{backend: "i-1", begunAt: c.begunAt}}}
		violations := strings.Join(l.check().violations, ", ")
		if strings.Contains(violations, "EVAC") != c.violation {
			t.Errorf("%s: %q", name, violations)
		}
	}
}
