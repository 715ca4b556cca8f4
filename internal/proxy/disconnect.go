package proxy

import (
	"context"
	"time"

	"elmfold/internal/gateway/logfield"
)

// When a client disconnects, the context of its connection is canceled, and with it the attempt in flight (see
// upstream.Pool.Do). A non-idempotent request is not sent after that. One that was already sent in full is left to its
// endpoint, because the proxy cannot tell whether it was executed.
//
// proxyMetrics counts violations of two invariants:
//
//   - no attempt starts after the client's disconnect was detected (lateAttempts);
//   - an idempotent request is forwarded for at most half a second after that (overdueRequests).

const (
	// disconnectCheckInterval times disconnectChecks is the limit of half a second. The proxy waits in several steps, so
	// that a suspension of the process delays one step instead of using up the whole limit.
	disconnectCheckInterval = 100 * time.Millisecond
	disconnectChecks        = 5
)

// watchDisconnect calls onClientDisconnect when the client of the request disconnects, until unwatchDisconnect.
func (p *Proxy) watchDisconnect(f *forwardedRequest) {
	if f.conn == nil {
		f.stopWatch = context.AfterFunc(f.context(), func() { p.onClientDisconnect(f) })
		return
	}
	f.conn.inFlight.Store(f)
	if f.hasDisconnected() && f.conn.inFlight.CompareAndSwap(f, nil) { // the disconnect came before Store
		p.onClientDisconnect(f)
	}
}

func (p *Proxy) unwatchDisconnect(f *forwardedRequest) {
	f.done.Store(true)
	isUnreported := f.conn != nil && f.conn.inFlight.CompareAndSwap(f, nil) || f.stopWatch != nil && f.stopWatch()
	if isUnreported && f.hasDisconnected() { // the canceled attempt ended the request before the watch ran
		p.metrics.clientDisconnects.Inc()
	}
}

// onClientDisconnect is called once per request whose client has disconnected.
func (p *Proxy) onClientDisconnect(f *forwardedRequest) {
	f.disconnectedAt.Store(int64(p.now()))
	p.metrics.clientDisconnects.Inc()
	if f.route.Idempotent {
		p.checkDisconnected(f, disconnectChecks)
	}
}

// checkDisconnected counts the request as overdue if it is still forwarded after the remaining checks.
func (p *Proxy) checkDisconnected(f *forwardedRequest, remaining int) {
	switch {
	case f.done.Load():
	case remaining > 0:
		p.options.Clock.AfterFunc(disconnectCheckInterval, func() { p.checkDisconnected(f, remaining-1) })
	default:
		p.metrics.overdueRequests.Inc()
		p.log.Error("request still forwarded after its client disconnected", logfield.Service, f.service, logfield.Duration,
			p.options.Clock.Now().Sub(f.arrivedAt))
	}
}

// probeDisconnect reports whether the client of the request has disconnected. It checks the socket, because after a
// suspension of the process both the request and the end of the connection may be pending, and the request is read
// first.
func (p *Proxy) probeDisconnect(f *forwardedRequest) bool {
	if f.conn != nil && f.conn.probe.HasPeerClosed() {
		f.conn.onDisconnect()
	}
	detectedAt := f.disconnectedAt.Load()
	isLate := detectedAt > 0 && p.now()-time.Duration(detectedAt) > disconnectCheckInterval
	if f.hasDisconnected() {
		return true
	}
	if isLate { // the disconnect was recorded, but the context is not canceled
		p.metrics.lateAttempts.Inc()
	}
	return false
}

// hasDisconnected reports whether a disconnect of the client was detected.
func (q *clientRequest) hasDisconnected() bool { return q.context().Err() != nil }

// context returns the context that is canceled when the client disconnects.
func (q *clientRequest) context() context.Context {
	if q.conn != nil {
		return q.conn.ctx
	}
	return q.request.Context()
}
