package proxy

import (
	"net/http"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/metrics"
	"elmfold/internal/proxy/balancer"
)

// proxyMetrics are the metrics of a proxy, listed in docs/operate/gateway.md.
type proxyMetrics struct {
	registry metrics.Registry
	// clientDisconnects counts clients that disconnected while their request was forwarded.
	clientDisconnects *metrics.Counter
	// attemptsCancelled counts attempts that ended because the client disconnected.
	attemptsCancelled *metrics.Counter
	// overdueRequests and lateAttempts count violations of the invariants in disconnect.go.
	overdueRequests *metrics.Counter
	lateAttempts    *metrics.Counter
	// attempts and errorResponses count attempts and the proxy's own error responses, by apierror.Kind.
	attempts       *metrics.CounterVec
	errorResponses *metrics.CounterVec
}

func (p *Proxy) newMetrics() *proxyMetrics {
	m := &proxyMetrics{}
	r := &m.registry
	r.DeclareProcess()
	m.clientDisconnects = r.NewCounter("elmfold_client_disconnects_total",
		"Clients that left while their request was forwarded.")
	m.attemptsCancelled = r.NewCounter("elmfold_attempts_cancelled_total",
		"Attempts that ended because their client left.")
	m.overdueRequests = r.NewCounter("elmfold_overdue_requests_total",
		"Invariant, 0: idempotent requests still forwarded 500 ms after their client was seen to leave.")
	m.lateAttempts = r.NewCounter("elmfold_late_attempts_total",
		"Invariant, 0: attempts begun over 100 ms after their client was seen to leave.")
	var kinds []string
	for _, kind := range apierror.Kinds() {
		kinds = append(kinds, kind.String())
	}
	m.attempts = r.NewCounterVec("elmfold_attempts_total", "Attempts that ended, by their result.", "result", kinds)
	m.errorResponses = r.NewCounterVec("elmfold_error_responses_total",
		"Requests that the proxy answered with an error of its own, by the reason.", "reason", kinds)
	r.NewGauge("elmfold_client_connections", "Connections of clients.", p.clientConns.Load)
	r.NewGauge("elmfold_attempts_in_flight", "Attempts that hold a place at an endpoint.", p.attemptsInFlight)
	r.NewGauge("elmfold_read_ahead_bytes", "Bytes of clients that are held before anybody wants them.",
		p.readAheadBytes.Load)
	r.NewGauge("elmfold_upstream_connections", "Connections to endpoints: idle, busy and coming up.", func() int64 {
		return int64(p.pool.TotalConns())
	})
	return m
}

// countAttempt counts an attempt by the kind of its result.
func (m *proxyMetrics) countAttempt(kind apierror.Kind) {
	m.attempts.With(int(kind)).Inc()
	if kind == apierror.ClientDisconnected || kind == apierror.AttemptCancelled {
		m.attemptsCancelled.Inc()
	}
}

func (p *Proxy) attemptsInFlight() (n int64) {
	p.withBalancer(func(b *balancer.Balancer) { n = int64(b.InFlight()) })
	return n
}

// Metrics returns the handler that exports the metrics.
func (p *Proxy) Metrics() http.Handler { return &p.metrics.registry }

// Violations returns how often an invariant of disconnect.go was violated. Any value but 0 is a defect of this package.
func (p *Proxy) Violations() uint64 {
	return p.metrics.overdueRequests.Value() + p.metrics.lateAttempts.Value()
}
