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

// maxConnectFailures is the number of endpoints that could not be reached, beside those that the request was sent to.
const maxConnectFailures = 4

// forwarding is a request on its way from endpoint to endpoint.
type forwarding struct {
	*clientRequest
	call            upstream.Call
	tried           []string // ids of endpoints
	attempts        int      // endpoints that it was sent to
	connectFailures int      // endpoints that could not be reached
	mayHaveExecuted bool     // any of them may have executed it

	// Of disconnect.go.

	done           atomic.Bool  // it is not forwarded any more
	stopWatch      func() bool  // of the watch over a context; nil: the client's connection tells
	disconnectedAt atomic.Int64 // a time since the start, in ns, at which the client was seen to leave; 0: it was not

	// Of the last attempt.

	response *upstream.Response // nil: none
	kind     apierror.Kind
}

// forward tries endpoints until one responds or none may be tried, and answers the client.
func (p *Proxy) forward(q *clientRequest) {
	f := &forwarding{clientRequest: q, call: newCall(q)}
	p.watchDisconnect(f)
	defer p.unwatchDisconnect(f)
	for p.attempt(f) {
		f.response.Close()
		if f.response != nil && f.response.Rest != nil {
			f.response = nil // what was streamed has been let go
		}
	}
	p.answer(f)
	f.response.Close()
}

// newCall is the request as it is sent to endpoints, but for the endpoint itself.
func newCall(q *clientRequest) upstream.Call {
	r := q.request
	call := upstream.Call{
		Method:        r.Method,
		RequestTarget: q.target,
		Host:          r.Host,
		Header:        r.Header, // whose fields that are not passed on are removed, or skipped as it is written
		AttemptID:     r.Header.Get(upstream.HeaderAttemptID),
		Body:          q.body.buffered,
		HasBody:       q.body.buffered != nil || r.ContentLength == 0 && r.Header.Get("Content-Length") != "",
		StreamLen:     q.body.streamLength,
		Deadline:      q.deadline,
		// Once it is sent, an endpoint may be executing it, and another attempt of the client cannot make up for it.
		FinishOnceSent: !q.route.Idempotent,
	}
	if q.body.stream != nil {
		call.Stream = q.body.stream
	}
	upstream.StripHopByHop(call.Header)
	return call
}

// attempt makes one attempt, and reports whether another is to be made.
func (p *Proxy) attempt(f *forwarding) bool {
	if !p.options.Clock.Now().Before(f.deadline) {
		f.kind = apierror.DeadlineExceeded
		if f.mayHaveExecuted {
			f.kind = apierror.ResponseTimeout
		}
		return false
	}
	if p.mayNotBegin(f) {
		f.noteNoEndpoint(apierror.ClientDisconnected)
		return false
	}
	selected, kind := p.pick(f)
	if kind != apierror.None {
		f.noteNoEndpoint(kind)
		return false
	}
	f.call.Address, f.call.EndpointID, f.call.MaxConns = selected.Address, selected.ID, selected.MaxConns
	begunAt := p.options.Clock.Now()
	response, err := p.pool.Do(f.context(), &f.call)
	result := resultOf(response, err, p.options.Clock.Now().Sub(begunAt))
	p.metrics.noteAttempt(result.Kind)
	p.endAttempt(selected, result)
	f.response, f.kind = response, result.Kind
	if f.kind == apierror.None {
		return false
	}
	f.noteFailure()
	return f.connectFailures < maxConnectFailures && p.allowRetry(f)
}

func (p *Proxy) pick(f *forwarding) (selected balancer.Selection, kind apierror.Kind) {
	request := balancer.Request{
		Service:      f.service,
		TimeToTarget: f.route.LatencyTarget - p.options.Clock.Now().Sub(f.arrivedAt),
		Tried:        f.tried,
		Draws:        [2]float64{rand.Float64(), rand.Float64()},
		Priority:     f.route.Priority,
	}
	p.withBalancer(func(b *balancer.Balancer) { selected, kind = b.Pick(p.now(), request) })
	return selected, kind
}

// noteNoEndpoint notes why no endpoint may be tried, unless an earlier attempt says more.
func (f *forwarding) noteNoEndpoint(kind apierror.Kind) {
	onlyUnsent := !f.mayHaveExecuted && f.attempts == 0 && f.kind != apierror.ConnectFailed
	if f.kind == apierror.None || onlyUnsent {
		f.kind = kind
	}
}

// noteFailure notes the endpoint that was tried.
func (f *forwarding) noteFailure() {
	f.tried = append(f.tried, f.call.EndpointID)
	if f.kind == apierror.ConnectFailed {
		f.connectFailures++
	} else {
		f.attempts++
	}
	f.mayHaveExecuted = f.mayHaveExecuted || f.kind.Policy().MayHaveExecuted
}

// allowRetry reports whether another endpoint may be tried. A retry for a client that has gone would draw on the budget
// for nobody, and a body that was streamed cannot be sent again.
func (p *Proxy) allowRetry(f *forwarding) (allowed bool) {
	if f.hasDisconnected() || f.body.stream != nil {
		return false
	}
	p.withBalancer(func(b *balancer.Balancer) {
		allowed = b.AllowRetry(p.now(), f.service, f.kind, f.route.Idempotent, f.attempts, f.route.MaxAttempts)
	})
	return allowed
}

// endAttempt notes the result of an attempt, and has endpoints checked that became suspect by it.
func (p *Proxy) endAttempt(selected balancer.Selection, result balancer.Result) {
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

// resultOf is the result of an attempt for the balancer. Its kind is that of the failure.
func resultOf(response *upstream.Response, err error, latency time.Duration) balancer.Result {
	result := balancer.Result{Latency: latency}
	if response != nil {
		result.Running, result.Queued, result.HasLoad = response.Load.Running, response.Load.Queued, response.HasLoad
		result.WarmupLeft, result.HasWarmup = response.WarmupLeft, response.HasWarmup
	}
	var known *apierror.Error
	switch {
	case errors.As(err, &known):
		var netErr net.Error
		isTimeout := errors.As(known.Cause, &netErr) && netErr.Timeout()
		result.Kind = known.Kind
		result.Unresponsive = known.Kind != apierror.ResponseTimeout && isTimeout
	case err != nil:
		result.Kind = apierror.ConnectionBroken
	case isServerError(response.Status) || promisesNotExecuted(response.Status):
		result.Kind = apierror.EndpointFailed
	}
	return result
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// promisesNotExecuted reports whether a status promises that the request was not executed. From an endpoint that
// has not said so by HeaderNotExecuted the promise means nothing.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answer gives the client the response of the last endpoint, or the proxy's own.
func (p *Proxy) answer(f *forwarding) {
	isEndpoints := f.response != nil && (f.kind == apierror.None || f.kind == apierror.EndpointFailed)
	switch {
	case isEndpoints && !promisesNotExecuted(f.response.Status):
		p.respond(f.clientRequest, f.response)
	case isEndpoints: // passed on, it would be a promise of this proxy
		p.refuse(f.clientRequest, apierror.EndpointFailed, 0)
	case f.mayHaveExecuted && !f.kind.Policy().MayHaveExecuted: // an earlier endpoint may have: nothing can be promised
		p.refuse(f.clientRequest, apierror.ConnectionBroken, 0)
	case f.kind == apierror.EndpointsSaturated:
		p.refuse(f.clientRequest, f.kind, balancer.RetryDelay(f.route.LatencyTarget, rand.Float64()))
	default:
		p.refuse(f.clientRequest, f.kind, 0)
	}
}
