package controlplane

import (
	"context"
	"net/http"
	"sync/atomic"

	"elmfold/internal/controlplane/sharding"
	"elmfold/internal/gateway/metrics"
)

// serverMetrics are the metrics of a control-plane node. docs/operate/gateway.md lists them.
type serverMetrics struct {
	registry        metrics.Registry
	callsInProgress atomic.Int64
	callDisconnects *metrics.Counter // clients that disconnected before the response
	// connectionsRefused counts connections of peers and proxies of which a later incarnation is known.
	connectionsRefused *metrics.Counter
	shards             shardMetrics
}

// shardMetrics are the metrics of the assigner. The owner of the server sets them.
type shardMetrics struct {
	active, ranges, unserved, moves atomic.Int64
	calls                           *metrics.CounterVec // by sharding.CallResult
}

func (m *shardMetrics) set(c sharding.Counts) {
	m.active.Store(0)
	if c.Active {
		m.active.Store(1)
	}
	m.ranges.Store(int64(c.Ranges))
	m.unserved.Store(int64(c.Unserved))
	m.moves.Store(int64(c.Moves))
}

func newMetrics() *serverMetrics {
	m := &serverMetrics{}
	m.registry.DeclareProcess()
	m.callDisconnects = m.registry.NewCounter("elmfold_call_disconnects_total",
		"Calls whose caller left before the answer.")
	m.connectionsRefused = m.registry.NewCounter("elmfold_connections_refused_total",
		"Connections of peers and proxies that were refused because a later incarnation is known.")
	m.registry.NewGauge("elmfold_calls_in_progress", "Calls that are not answered yet.", m.callsInProgress.Load)
	return m
}

// declareSharding declares the metrics of the assigner of shard keys. They are 0 on the other nodes.
func (m *serverMetrics) declareSharding() {
	m.registry.NewGauge("elmfold_shard_assigner", "1 if this node assigns shard keys.", m.shards.active.Load)
	m.registry.NewGauge("elmfold_shard_ranges", "Ranges of shard keys.", m.shards.ranges.Load)
	m.registry.NewGauge("elmfold_shard_ranges_unserved", "Ranges of shard keys that no endpoint holds.",
		m.shards.unserved.Load)
	m.registry.NewGauge("elmfold_shard_moves", "Ranges that were given another holder since the start.",
		m.shards.moves.Load)
	m.shards.calls = m.registry.NewCounterVec("elmfold_shard_calls_total", "Grants and releases, by their result.",
		"result", []string{"unanswered", "not sent", "accepted", "outdated", "refused", "other instance"})
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
