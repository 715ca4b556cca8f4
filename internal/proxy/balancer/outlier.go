package balancer

import (
	"cmp"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// maxFailures consecutive failures eject an endpoint for failureEjection, or for timeoutEjection if the last of them
	// was a timeout.
	maxFailures     = 3
	failureEjection = 500 * time.Millisecond
	timeoutEjection = time.Second
	// misdirectedEjection ejects an endpoint whose address now belongs to another instance. It lasts until an update of
	// the address, or the removal of the endpoint, should have arrived.
	misdirectedEjection = 3 * time.Second
	// rejectionEjection ejects an endpoint that rejected a request because it is full.
	rejectionEjection = 150 * time.Millisecond
	// zoneFailureWindow is the maximum time between the failures of two machines of a zone that makes the zone suspect.
	zoneFailureWindow = 1500 * time.Millisecond
	// minRestartDuration is the minimum time as a suspect after which an endpoint may have restarted.
	minRestartDuration = time.Second
	// latencySmoothing is the weight of the previous value in a moving average.
	latencySmoothing = 0.9
)

// Result is the outcome of an attempt.
type Result struct {
	Kind       apierror.Kind // None for a successful response
	Latency    time.Duration
	Running    int           // requests that the endpoint executes, as reported in the response
	Queued     int           // requests that wait at the endpoint, as reported in the response
	HasLoad    bool          // the response reported Running and Queued
	WarmupLeft time.Duration // rest of the endpoint's slow start, as reported in the response
	HasWarmup  bool          // the response reported WarmupLeft
	// Unresponsive is set if the endpoint's machine did not react at all, as after a power failure.
	Unresponsive bool
}

// RecordResult ends the attempt of a Selection.
func (b *Balancer) RecordResult(now time.Duration, selected Selection, r Result) {
	e := selected.endpoint
	e.inFlight--
	if r.Kind == apierror.KeyNotHeld { // it says nothing about the endpoint's load
		return
	}
	e.attempts++
	e.recordReportedState(now, &r)
	if r.Unresponsive {
		b.markMachineSuspect(now, e, now-r.Latency)
	}
	switch r.Kind {
	case apierror.None, apierror.EndpointFailed:
		e.recordResponse(now, b.service(e.Service), &r)
	case apierror.EndpointsSaturated: // all connections to the endpoint are in use
		e.eject(now, rejectionEjection)
	case apierror.RejectedByEndpoint:
		e.recordRejection(now, &r)
	default:
		e.recordFailure(now, r.Kind)
	}
}

// recordReportedState updates the endpoint's load and slow start from its response.
func (e *endpoint) recordReportedState(now time.Duration, r *Result) {
	if r.HasLoad {
		e.otherLoad, e.otherLoadAt = max(float64(r.Running+r.Queued-e.inFlight-1), 0), now
		e.hadQueue = e.hadQueue || r.Queued > 0
	}
	if r.HasWarmup && r.WarmupLeft > 0 {
		e.WarmupEnd = max(e.WarmupEnd, now+r.WarmupLeft)
	}
}

// recordResponse handles a response to an executed request, whether it reports success or failure. Either shows that
// the endpoint is reachable.
func (e *endpoint) recordResponse(now time.Duration, s *service, r *Result) {
	e.respondedAt = now
	if !e.checkInProgress {
		e.isSuspect = false
	}
	e.failures, e.ejectedUntil = 0, 0
	succeeded := r.Kind == apierror.None
	hasQueue := r.HasLoad && r.Queued > 0
	if succeeded && !hasQueue {
		e.responseLatency = smooth(e.responseLatency, r.Latency)
	}
	if hasNoQueue := r.HasLoad && r.Queued == 0; hasNoQueue || s.latency == 0 || r.Latency < s.latency {
		s.latency = smooth(s.latency, r.Latency)
	}
	if succeeded {
		e.latencySum += r.Latency
		e.succeeded++
	} else {
		e.failed++
	}
}

// smooth returns the moving average after another latency. A mean of 0 means that there is none yet.
func smooth(mean, latency time.Duration) time.Duration {
	return time.Duration(latencySmoothing*float64(cmp.Or(mean, latency)) + (1-latencySmoothing)*float64(latency))
}

// recordRejection handles a response of a full endpoint that did not execute the request.
func (e *endpoint) recordRejection(now time.Duration, r *Result) {
	e.respondedAt = now
	e.eject(now, rejectionEjection)
	e.failures = 0
	if !r.HasLoad { // assume that the endpoint is at capacity
		e.otherLoad, e.otherLoadAt = float64(e.Capacity), now
	}
}

func (e *endpoint) recordFailure(now time.Duration, kind apierror.Kind) {
	switch kind {
	case apierror.ConnectFailed:
		e.failed++
		e.markSuspect(now)
	case apierror.Misdirected:
		e.failed++
		e.eject(now, misdirectedEjection)
	case apierror.ResponseTimeout:
		e.failed++
		e.ejectAfterFailures(now, timeoutEjection)
	case apierror.ConnectionBroken, apierror.InvalidResponse, apierror.MismatchedResponse, apierror.TruncatedResponse:
		e.failed++
		e.ejectAfterFailures(now, failureEjection)
	default: // other kinds do not count as failures of the endpoint
	}
}

// ejectAfterFailures counts a failure and ejects the endpoint after maxFailures consecutive ones.
func (e *endpoint) ejectAfterFailures(now, duration time.Duration) {
	e.failures++
	if e.failures >= maxFailures {
		e.ejectedUntil = max(e.ejectedUntil, now+duration)
	}
}

// eject counts a failure and ejects the endpoint at once.
func (e *endpoint) eject(now, duration time.Duration) {
	e.failures++
	e.ejectedUntil = max(e.ejectedUntil, now+duration)
}

// markSuspect excludes an endpoint from selection until a health check passes, so that no request is risked to find out
// whether the endpoint is reachable.
func (e *endpoint) markSuspect(now time.Duration) {
	if !e.isSuspect {
		e.isSuspect, e.suspectSince = true, now
	}
}

// markMachineSuspect makes an endpoint on an unresponsive machine a suspect. If another machine of the zone became
// unresponsive at about the same time, the zone or the network path to it may have failed: then all endpoints of the
// zone that have not responded since become suspects, because a non-idempotent request to a failed machine is lost.
func (b *Balancer) markMachineSuspect(now time.Duration, e *endpoint, since time.Duration) {
	e.unresponsiveAt = now
	e.markSuspect(now)
	if !b.isZoneUnresponsive(now, e) {
		return
	}
	for _, other := range b.endpoints {
		if other.Zone == e.Zone && other.respondedAt < since {
			other.markSuspect(now)
		}
	}
}

// isZoneUnresponsive reports whether another machine of an endpoint's zone became unresponsive within
// zoneFailureWindow.
func (b *Balancer) isZoneUnresponsive(now time.Duration, e *endpoint) bool {
	for _, other := range b.endpoints {
		isOtherMachine := other != e && other.Zone == e.Zone && other.Address != e.Address
		if isOtherMachine && now < other.unresponsiveAt+zoneFailureWindow {
			return true
		}
	}
	return false
}

// Suspect is an endpoint that needs a health check.
type Suspect struct {
	Address  string
	endpoint *endpoint
}

// TakeSuspects returns the suspects without a health check in progress. The caller must check each of them until
// HealthCheckPassed or until IsStillKnown is false.
func (b *Balancer) TakeSuspects() (all []Suspect) {
	for _, e := range b.endpoints {
		if e.isSuspect && !e.checkInProgress {
			e.checkInProgress = true
			all = append(all, Suspect{e.Address, e})
		}
	}
	slices.SortFunc(all, func(x, y Suspect) int { return cmp.Compare(x.endpoint.ID, y.endpoint.ID) })
	return all
}

// IsStillKnown reports whether a suspect has neither been removed nor changed its address.
func (b *Balancer) IsStillKnown(s Suspect) bool {
	return b.endpoints[s.endpoint.ID] == s.endpoint && s.endpoint.Address == s.Address
}

// HealthCheckPassed returns a suspect to selection. An endpoint that was a suspect for longer than minRestartDuration
// may have restarted. It is treated as in slow start for reportDelay, the time until a report of the restart arrives.
func (b *Balancer) HealthCheckPassed(now time.Duration, s Suspect, reportDelay time.Duration) {
	e := s.endpoint
	if e.isSuspect && now > e.suspectSince+minRestartDuration {
		e.WarmupEnd = max(e.WarmupEnd, now+reportDelay)
	}
	e.isSuspect, e.checkInProgress = false, false
	e.failures, e.ejectedUntil = 0, 0
}
