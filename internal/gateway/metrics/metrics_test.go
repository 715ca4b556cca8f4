package metrics

import (
	"net/http/httptest"
	"testing"
)

func TestTextExposition(t *testing.T) {
	var r Registry
	events := r.NewCounter("b_events_total", "Events.")
	r.NewGauge("a_open", "What is open.", func() int64 { return 7 })
	events.Inc()
	events.Inc()
	refusals := r.NewCounterVec("c_refusals_total", "Refusals.", "reason", []string{"full", "not \"held\"", "late"})
	refusals.With(1).Inc()
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	want := "# HELP a_open What is open.\n# TYPE a_open gauge\na_open 7\n" +
		"# HELP b_events_total Events.\n# TYPE b_events_total counter\nb_events_total 2\n" +
		"# HELP c_refusals_total Refusals.\n# TYPE c_refusals_total counter\n" +
		"c_refusals_total{reason=\"not \\\"held\\\"\"} 1\n"
	if w.Body.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", w.Body, want)
	}
}
