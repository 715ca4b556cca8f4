package controlplane

import (
	"context"
	"net/http"
	"sync/atomic"

	"elmfold/internal/gateway/metrics"
)

// serverMetrics are the metrics of a control-plane node. docs/operate/gateway.md lists them.
type serverMetrics struct {
	registry        metrics.Registry
	callsInProgress atomic.Int64
	callDisconnects *metrics.Counter // clients that disconnected before the response
}

func newMetrics() *serverMetrics {
	m := &serverMetrics{}
	m.registry.DeclareProcess()
	m.callDisconnects = m.registry.NewCounter("elmfold_call_disconnects_total",
		"Calls whose caller left before the answer.")
	m.registry.NewGauge("elmfold_calls_in_progress", "Calls that are not answered yet.", m.callsInProgress.Load)
	return m
}

// Metrics serves the metrics of the server over HTTP.
func (s *Server) Metrics() http.Handler { return &s.metrics.registry }

// trackCall counts a call as in progress until the returned function is called, and detects a client disconnect.
func (m *serverMetrics) trackCall(r *http.Request) (stop func()) {
	m.callsInProgress.Add(1)
	stopWatching := context.AfterFunc(r.Context(), m.callDisconnects.Inc)
	return func() {
		if stopWatching() && r.Context().Err() != nil { // the client disconnected, but AfterFunc has not counted it
			m.callDisconnects.Inc()
		}
		m.callsInProgress.Add(-1)
	}
}
