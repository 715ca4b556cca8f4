package balancer

import (
	"cmp"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// maxFailures in a row eject an endpoint, for failureEjection, or for timeoutEjection if the last one was a timeout.
	maxFailures     = 3
	failureEjection = 500 * time.Millisecond
	timeoutEjection = time.Second
	// misdirectedEjection is for an endpoint whose address is another's: a report of that comes, or it is removed.
	misdirectedEjection = 3 * time.Second
	// rejectionPause is for an endpoint that rejected a request as it is full.
	rejectionPause = 150 * time.Millisecond
	// zoneWindow is how close to each other two machines of a zone must fall silent for the zone to be suspect.
	zoneWindow = 1500 * time.Millisecond
	// restartDuration is how long a suspect must be away to come back in slow start.
	restartDuration = time.Second
	// latencySmoothing is the weight of the mean so far, at each response.
	latencySmoothing = 0.9
)

// Result is how an attempt went.
type Result struct {
	Kind       apierror.Kind // None: a response that succeeded
	Latency    time.Duration // of the attempt
	Running    int           // requests at the endpoint, as the response told; with Queued
	Queued     int
	HasLoad    bool          // Running and Queued were told
	WarmupLeft time.Duration // of the endpoint's slow start, as the response told
	HasWarmup  bool          // WarmupLeft was told
	// Unresponsive says that the endpoint's machine did not react at all, as one without power does.
	Unresponsive bool
}

// RecordResult ends an attempt.
func (b *Balancer) RecordResult(now time.Duration, selected Selection, r Result) {
	e := selected.endpoint
	e.inFlight--
	e.attempts++
	e.recordTold(now, &r)
	if r.Unresponsive {
		b.suspectMachine(now, e, now-r.Latency)
	}
	switch r.Kind {
	case apierror.None, apierror.EndpointFailed:
		e.recordResponse(now, b.service(e.Service), &r)
	case apierror.EndpointsSaturated: // all connections to it are taken
		e.pause(now, rejectionPause)
	case apierror.RejectedByEndpoint:
		e.recordRejection(now, &r)
	default:
		e.recordFailure(now, r.Kind)
	}
}

// recordTold notes what the endpoint told of itself.
func (e *endpoint) recordTold(now time.Duration, r *Result) {
	if r.HasLoad {
		e.others, e.othersAt = max(float64(r.Running+r.Queued-e.inFlight-1), 0), now
		e.queued = e.queued || r.Queued > 0
	}
	if r.HasWarmup && r.WarmupLeft > 0 {
		e.WarmupEnd = max(e.WarmupEnd, now+r.WarmupLeft)
	}
}

// recordResponse notes a response, also one that says that the endpoint failed: it is there.
func (e *endpoint) recordResponse(now time.Duration, s *service, r *Result) {
	e.respondedAt = now
	if !e.checking {
		e.isSuspect = false
	}
	e.failures, e.ejectedUntil = 0, 0
	succeeded := r.Kind == apierror.None
	hasQueue := r.HasLoad && r.Queued > 0
	if succeeded && !hasQueue {
		e.responseLatency = smooth(e.responseLatency, r.Latency)
	}
	if knownIdle := r.HasLoad && r.Queued == 0; knownIdle || s.latency == 0 || r.Latency < s.latency {
		s.latency = smooth(s.latency, r.Latency)
	}
	if succeeded {
		e.latencySum += r.Latency
		e.succeeded++
	} else {
		e.failed++
	}
}

func smooth(mean, latency time.Duration) time.Duration {
	return time.Duration(latencySmoothing*float64(cmp.Or(mean, latency)) + (1-latencySmoothing)*float64(latency))
}

// recordRejection notes that the endpoint did not execute the request, as it is full.
func (e *endpoint) recordRejection(now time.Duration, r *Result) {
	e.respondedAt = now
	e.pause(now, rejectionPause)
	e.failures = 0
	if !r.HasLoad { // there is no room for a moment
		e.others, e.othersAt = float64(e.Capacity), now
	}
}

func (e *endpoint) recordFailure(now time.Duration, kind apierror.Kind) {
	switch kind {
	case apierror.ConnectFailed:
		e.failed++
		e.suspect(now)
	case apierror.Misdirected:
		e.failed++
		e.pause(now, misdirectedEjection)
	case apierror.ResponseTimeout:
		e.failed++
		e.ejectAfterFailures(now, timeoutEjection)
	case apierror.ConnectionBroken, apierror.InvalidResponse, apierror.MismatchedResponse, apierror.TruncatedResponse:
		e.failed++
		e.ejectAfterFailures(now, failureEjection)
	default: // the others are no failures of the endpoint
	}
}

// ejectAfterFailures ejects an endpoint that has failed several times in a row.
func (e *endpoint) ejectAfterFailures(now, duration time.Duration) {
	e.failures++
	if e.failures >= maxFailures {
		e.ejectedUntil = max(e.ejectedUntil, now+duration)
	}
}

// pause leaves an endpoint alone for a while.
func (e *endpoint) pause(now, duration time.Duration) {
	e.failures++
	e.ejectedUntil = max(e.ejectedUntil, now+duration)
}

// suspect takes an endpoint out until a health check has passed: a connection that comes up beside the requests.
// Requests do not serve as checks.
func (e *endpoint) suspect(now time.Duration) {
	if !e.isSuspect {
		e.isSuspect, e.suspectAt = true, now
	}
}

// suspectMachine notes that a machine is unresponsive since a time. Two in a zone at once: it may be the zone, or
// the way there. Then all endpoints of it that have not responded since are suspects, because a request that must
// not be repeated is lost at a machine without power.
func (b *Balancer) suspectMachine(now time.Duration, e *endpoint, since time.Duration) {
	e.unresponsiveAt = now
	e.suspect(now)
	if !b.isZoneUnresponsive(now, e) {
		return
	}
	for _, o := range b.endpoints {
		if o.Zone == e.Zone && o.respondedAt < since {
			o.suspect(now)
		}
	}
}

// isZoneUnresponsive reports whether another machine of an endpoint's zone was unresponsive just now.
func (b *Balancer) isZoneUnresponsive(now time.Duration, e *endpoint) bool {
	for _, o := range b.endpoints {
		isOther := o != e && o.Zone == e.Zone && o.Address != e.Address
		if isOther && now < o.unresponsiveAt+zoneWindow {
			return true
		}
	}
	return false
}

// Suspect is an endpoint that waits for a health check.
type Suspect struct {
	Address  string
	endpoint *endpoint
}

// TakeSuspects returns the suspects that nobody checks yet. Whoever takes them checks them.
func (b *Balancer) TakeSuspects() (all []Suspect) {
	for _, e := range b.endpoints {
		if e.isSuspect && !e.checking {
			e.checking = true
			all = append(all, Suspect{e.Address, e})
		}
	}
	slices.SortFunc(all, func(x, y Suspect) int { return cmp.Compare(x.endpoint.ID, y.endpoint.ID) })
	return all
}

// IsStillKnown reports whether a suspect is still known, at that address.
func (b *Balancer) IsStillKnown(s Suspect) bool {
	return b.endpoints[s.endpoint.ID] == s.endpoint && s.endpoint.Address == s.Address
}

// HealthCheckPassed says that a suspect is there. One that was away for long may be in slow start without anybody
// having reported it: reportDelay is how long that may take.
func (b *Balancer) HealthCheckPassed(now time.Duration, s Suspect, reportDelay time.Duration) {
	e := s.endpoint
	if e.isSuspect && now > e.suspectAt+restartDuration {
		e.WarmupEnd = max(e.WarmupEnd, now+reportDelay)
	}
	e.isSuspect, e.checking = false, false
	e.failures, e.ejectedUntil = 0, 0
}
