package proxy

import (
	"context"
	"time"

	"elmfold/internal/gateway/logfield"
)

// Invariant of clients that leave, counted by proxyMetrics where it does not hold:
//
//   - no attempt begins once a client was seen to leave (lateAttempts);
//   - an idempotent request is not forwarded any longer than disconnectLimit after that (overdueRequests).

const (
	// disconnectCheckInterval and disconnectChecks make up the limit of half a second. It is waited for in steps: a
	// process that was suspended meanwhile finds one step late, not all of them.
	disconnectCheckInterval = 100 * time.Millisecond
	disconnectChecks        = 5
)

// watchDisconnect notes when the client of a request leaves, until the returned function is called.
func (p *Proxy) watchDisconnect(f *forwarding) (stop func()) {
	stopWatching := context.AfterFunc(f.request.Context(), func() {
		p.metrics.clientDisconnects.Add()
		if f.route.Idempotent {
			p.checkDisconnected(f, disconnectChecks)
		}
	})
	return func() {
		f.done.Store(true)
		stopWatching()
	}
}

// checkDisconnected counts a request as overdue that is not done after so many checks.
func (p *Proxy) checkDisconnected(f *forwarding, checksLeft int) {
	switch {
	case f.done.Load():
	case checksLeft > 0:
		p.options.Clock.AfterFunc(disconnectCheckInterval, func() { p.checkDisconnected(f, checksLeft-1) })
	default:
		p.metrics.overdueRequests.Add()
		p.log.Error("request outlives its client", logfield.Service, f.service, logfield.Duration,
			p.options.Clock.Now().Sub(f.arrivedAt))
	}
}

// hasDisconnected reports whether the client of a request was seen to leave.
func (q *clientRequest) hasDisconnected() bool { return q.request.Context().Err() != nil }
