package proxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

// maxConnectFailures limits the failed connections per request. They do not count towards the route's attempts.
const maxConnectFailures = 4

// forwardedRequest is the state of a request across its attempts.
type forwardedRequest struct {
	*clientRequest
	call            upstream.Call
	tried           []string // ids of endpoints
	attempts        int      // failed attempts, without connectFailures
	connectFailures int      // attempts for which no connection came up
	mayHaveExecuted bool     // an endpoint may have executed the request

	// Requests of sharded services; see shards.go.

	holderWaitEnd     time.Duration   // until when the request may wait for a holder of its key; 0: it has not waited
	holderAvailableAt time.Duration   // when the key is granted at the latest; 0: unknown
	shardsChanged     <-chan struct{} // closed when the shard table by which the last endpoint was selected has changed

	// Client disconnects; see disconnect.go.

	done           atomic.Bool  // forwarding has ended
	stopWatch      func() bool  // stops the watch on the context; nil: the clientConn reports the disconnect
	disconnectedAt atomic.Int64 // when the disconnect was detected, in ns since the start of the proxy; 0: it was not

	// Result of the last attempt.

	response *upstream.Response // nil: none
	kind     apierror.Kind      // of its failure
}

// forward tries endpoints until one responds or no more may be tried, and sends the response to the client.
func (p *Proxy) forward(q *clientRequest) {
	f := &forwardedRequest{clientRequest: q, call: newUpstreamCall(q)}
	p.watchDisconnect(f)
	defer p.unwatchDisconnect(f)
	for p.attempt(f) {
		f.response.Close()
		if f.response != nil && f.response.Rest != nil {
			f.response = nil // a streamed response cannot be passed on after Close
		}
	}
	p.respondToClient(f)
	f.response.Close()
}

// newUpstreamCall returns the request as it is sent to every endpoint, without the endpoint's address.
func newUpstreamCall(q *clientRequest) upstream.Call {
	r := q.request
	call := upstream.Call{
		Method:        r.Method,
		RequestTarget: q.target,
		Host:          r.Host,
		Header:        r.Header, // the hop-by-hop fields are removed below, others are skipped on writing
		AttemptID:     r.Header.Get(upstream.HeaderAttemptID),
		Body:          q.body.buffered,
		HasBody:       q.body.buffered != nil || r.ContentLength == 0 && r.Header.Get("Content-Length") != "",
		StreamLen:     q.body.streamLength,
		Deadline:      q.deadline,
		// An endpoint may already execute a non-idempotent request, and the client cannot safely send it again.
		FinishOnceSent: !q.route.Idempotent,
		Sharded:        q.sharded,
	}
	if q.body.stream != nil {
		call.Stream = q.body.stream
	}
	upstream.StripHopByHop(call.Header)
	return call
}

// attempt makes one attempt and reports whether to make another.
func (p *Proxy) attempt(f *forwardedRequest) bool {
	if !p.options.Clock.Now().Before(f.deadline) {
		f.kind = apierror.DeadlineExceeded
		if f.mayHaveExecuted {
			f.kind = apierror.ResponseTimeout
		}
		return false
	}
	if p.probeDisconnect(f) {
		f.recordNoEndpoint(apierror.ClientDisconnected)
		return false
	}
	selected, kind := p.pickEndpoint(f)
	if kind != apierror.None {
		f.recordNoEndpoint(kind)
		return false
	}
	f.call.Address, f.call.EndpointID, f.call.MaxConns = selected.Address, selected.ID, selected.MaxConns
	startedAt := p.options.Clock.Now()
	response, err := p.pool.Do(f.context(), &f.call)
	result := attemptResult(response, err, p.options.Clock.Now().Sub(startedAt))
	p.metrics.countAttempt(result.Kind)
	p.finishAttempt(selected, result)
	f.response, f.kind = response, result.Kind
	if f.kind == apierror.None {
		return false
	}
	f.recordFailure()
	if f.connectFailures >= maxConnectFailures || !p.allowRetry(f) {
		return false
	}
	return f.kind != apierror.KeyNotHeld || p.awaitChange(f, maxTableWait, f.shardsChanged)
}

func (p *Proxy) pickEndpoint(f *forwardedRequest) (selected balancer.Selection, kind apierror.Kind) {
	request := balancer.Request{
		Service:      f.service,
		TimeToTarget: f.route.LatencyTarget - p.options.Clock.Now().Sub(f.arrivedAt),
		Tried:        f.tried,
		Draws:        [2]float64{rand.Float64(), rand.Float64()},
		Priority:     f.route.Priority,
		Key:          f.shardKey,
	}
	for {
		if f.sharded {
			f.shardsChanged = p.shardsChanged.next()
		}
		p.withBalancer(func(b *balancer.Balancer) { selected, kind = b.Pick(p.now(), request) })
		if kind != apierror.NoHolder || !p.awaitHolder(f, selected.AvailableAt, f.shardsChanged) {
			return selected, kind
		}
	}
}

// recordNoEndpoint records why no endpoint may be tried, unless the failure of an earlier attempt is more specific.
func (f *forwardedRequest) recordNoEndpoint(kind apierror.Kind) {
	wasNeverSent := !f.mayHaveExecuted && f.attempts == 0 && f.kind != apierror.ConnectFailed
	if f.kind == apierror.None || wasNeverSent {
		f.kind = kind
	}
}

// recordFailure records a failed attempt at the current endpoint.
func (f *forwardedRequest) recordFailure() {
	f.tried = append(f.tried, f.call.EndpointID)
	if f.kind == apierror.ConnectFailed {
		f.connectFailures++
	} else {
		f.attempts++
	}
	f.mayHaveExecuted = f.mayHaveExecuted || f.kind.Policy().MayHaveExecuted
}

// allowRetry reports whether another endpoint may be tried. A retry for a disconnected client would waste the retry
// budget, and a streamed body cannot be sent again.
func (p *Proxy) allowRetry(f *forwardedRequest) (allowed bool) {
	if f.hasDisconnected() || f.body.stream != nil {
		return false
	}
	p.withBalancer(func(b *balancer.Balancer) {
		allowed = b.AllowRetry(p.now(), f.service, f.kind, f.route.Idempotent, f.attempts, f.route.MaxAttempts)
	})
	return allowed
}

// finishAttempt reports the result of an attempt to the balancer and starts health checks of endpoints that became
// suspect.
func (p *Proxy) finishAttempt(selected balancer.Selection, result balancer.Result) {
	var suspects []balancer.Suspect
	p.withBalancer(func(b *balancer.Balancer) {
		b.RecordResult(p.now(), selected, result)
		if result.Kind != apierror.None {
			suspects = b.TakeSuspects()
		}
	})
	for _, s := range suspects {
		go p.checkHealth(s)
	}
}

// attemptResult converts the outcome of an attempt to a result for the balancer.
func attemptResult(response *upstream.Response, err error, latency time.Duration) balancer.Result {
	result := balancer.Result{Latency: latency}
	if response != nil {
		result.Running, result.Queued, result.HasLoad = response.Load.Running, response.Load.Queued, response.HasLoad
		result.WarmupLeft, result.HasWarmup = response.WarmupLeft, response.HasWarmup
	}
	var apiErr *apierror.Error
	switch {
	case errors.As(err, &apiErr):
		var netErr net.Error
		isTimeout := errors.As(apiErr.Cause, &netErr) && netErr.Timeout()
		result.Kind = apiErr.Kind
		result.Unresponsive = apiErr.Kind != apierror.ResponseTimeout && isTimeout
	case err != nil:
		result.Kind = apierror.ConnectionBroken
	case isServerError(response.Status) || signalsNotExecuted(response.Status):
		result.Kind = apierror.EndpointFailed
	}
	return result
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// signalsNotExecuted reports whether a client may conclude from the status that the request was not executed. An
// endpoint guarantees that only with HeaderNotExecuted.
func signalsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondToClient sends the response of the last endpoint, or an error of the proxy's own.
func (p *Proxy) respondToClient(f *forwardedRequest) {
	hasEndpointResponse := f.response != nil && (f.kind == apierror.None || f.kind == apierror.EndpointFailed)
	switch {
	case hasEndpointResponse && !signalsNotExecuted(f.response.Status):
		p.respond(f.clientRequest, f.response)
	case hasEndpointResponse: // the client would take the status for a guarantee of the proxy
		p.respondError(f.clientRequest, apierror.EndpointFailed, 0)
	case f.mayHaveExecuted && !f.kind.Policy().MayHaveExecuted: // an earlier endpoint may have executed it
		p.respondError(f.clientRequest, apierror.ConnectionBroken, 0)
	case f.kind == apierror.NoHolder:
		p.respondError(f.clientRequest, f.kind, p.holderRetryAfter(f))
	case f.kind == apierror.EndpointsSaturated:
		p.respondError(f.clientRequest, f.kind, balancer.RetryDelay(f.route.LatencyTarget, rand.Float64()))
	default:
		p.respondError(f.clientRequest, f.kind, 0)
	}
}
