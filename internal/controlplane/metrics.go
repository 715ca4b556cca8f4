package controlplane

import (
	"context"
	"net/http"
	"sync/atomic"

	"elmfold/internal/gateway/metrics"
)

// serverMetrics are the figures that a node keeps of itself. docs/operate/gateway.md lists them.
type serverMetrics struct {
	registry        metrics.Registry
	callsInProgress atomic.Int64
	callDisconnects *metrics.Counter // callers that left before their answer
}

func newMetrics() *serverMetrics {
	m := &serverMetrics{}
	m.registry.DeclareProcess()
	m.callDisconnects = m.registry.NewCounter("elmfold_call_disconnects_total",
		"Calls whose caller left before the answer.")
	m.registry.NewGauge("elmfold_calls_in_progress", "Calls that are not answered yet.", m.callsInProgress.Load)
	return m
}

// Metrics shows the figures.
func (s *Server) Metrics() http.Handler { return &s.metrics.registry }

// followCall counts a call until the returned function is called.
func (m *serverMetrics) followCall(r *http.Request) (stop func()) {
	m.callsInProgress.Add(1)
	stopWatching := context.AfterFunc(r.Context(), m.callDisconnects.Add)
	return func() {
		if stopWatching() && r.Context().Err() != nil { // the call was told first, and ended before the watch ran
			m.callDisconnects.Add()
		}
		m.callsInProgress.Add(-1)
	}
}
