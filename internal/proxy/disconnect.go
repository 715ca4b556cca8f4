package proxy

import (
	"context"
	"time"

	"elmfold/internal/gateway/logfield"
)

// A client that leaves ends its request: the context of its connection is cancelled, and with it the attempt that is
// under way (upstream.Pool.Do). A request that must not be executed twice is not sent any more; one that was sent
// whole is left to its endpoint, as nobody could tell how far it had come.
//
// Invariant, counted by proxyMetrics where it does not hold:
//
//   - no attempt begins after a client was seen to leave (lateAttempts);
//   - an idempotent request is not forwarded for longer than half a second after that (overdueRequests).

const (
	// disconnectCheckInterval and disconnectChecks make up the limit of half a second. It is waited for in steps: a
	// process that was suspended meanwhile finds one step late, not all of them.
	disconnectCheckInterval = 100 * time.Millisecond
	disconnectChecks        = 5
)

// watchDisconnect notes when the client of a request leaves, until unwatchDisconnect.
func (p *Proxy) watchDisconnect(f *forwarding) {
	if f.conn == nil {
		f.stopWatch = context.AfterFunc(f.context(), func() { p.onClientDisconnect(f) })
		return
	}
	f.conn.forwarding.Store(f)
	if f.hasDisconnected() && f.conn.forwarding.CompareAndSwap(f, nil) { // before anybody could be told
		p.onClientDisconnect(f)
	}
}

func (p *Proxy) unwatchDisconnect(f *forwarding) {
	f.done.Store(true)
	isUntold := f.conn != nil && f.conn.forwarding.CompareAndSwap(f, nil) || f.stopWatch != nil && f.stopWatch()
	if isUntold && f.hasDisconnected() { // the attempt was told first, and ended the request before the watch ran
		p.metrics.clientDisconnects.Add()
	}
}

// onClientDisconnect is called once for a request whose client was seen to leave.
func (p *Proxy) onClientDisconnect(f *forwarding) {
	f.disconnectedAt.Store(int64(p.now()))
	p.metrics.clientDisconnects.Add()
	if f.route.Idempotent {
		p.checkDisconnected(f, disconnectChecks)
	}
}

// checkDisconnected counts a request as overdue that is not done after so many checks.
func (p *Proxy) checkDisconnected(f *forwarding, remaining int) {
	switch {
	case f.done.Load():
	case remaining > 0:
		p.options.Clock.AfterFunc(disconnectCheckInterval, func() { p.checkDisconnected(f, remaining-1) })
	default:
		p.metrics.overdueRequests.Add()
		p.log.Error("request outlives its client", logfield.Service, f.service, logfield.Duration,
			p.options.Clock.Now().Sub(f.arrivedAt))
	}
}

// mayNotBegin reports whether an attempt is not to begin, as the client has left. It looks at the socket: of a client
// that left while this process was suspended or had no processor, the request and the end are there at once, and the
// request is read first.
func (p *Proxy) mayNotBegin(f *forwarding) bool {
	if f.conn != nil && f.conn.probe.HasPeerClosed() {
		f.conn.onDisconnect()
	}
	seenAt := f.disconnectedAt.Load()
	isLate := seenAt > 0 && p.now()-time.Duration(seenAt) > disconnectCheckInterval
	if f.hasDisconnected() {
		return true
	}
	if isLate { // that the client was seen to leave goes with its context
		p.metrics.lateAttempts.Add()
	}
	return false
}

// hasDisconnected reports whether the client of a request was seen to leave.
func (q *clientRequest) hasDisconnected() bool { return q.context().Err() != nil }

// context ends when the client is seen to leave.
func (q *clientRequest) context() context.Context {
	if q.conn != nil {
		return q.conn.ctx
	}
	return q.request.Context()
}
