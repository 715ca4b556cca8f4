package sharding

import (
	"slices"
	"sort"
	"time"
)

// DeliveryTimeout is how long after a grant was requested the network may still deliver it. The caller must set it on
// its connections.
const DeliveryTimeout = 700 * time.Millisecond

const (
	// holdDuration is how long a grant lasts. It exceeds renewInterval by more than it takes another node to become the
	// assigner and to renew.
	holdDuration  = 5 * time.Second
	renewInterval = time.Second
	// clockSlack is by how much longer an endpoint may keep a hold, because its clock is slow.
	clockSlack = 1.02
	// grantTimeout and releaseTimeout bound the calls. A release is answered only when the requests on its keys have
	// ended.
	grantTimeout   = DeliveryTimeout
	releaseTimeout = 3 * time.Second
	// arrivalSlack is how long after the timeout of a grant, at which its connection is reset, it may still arrive.
	arrivalSlack = 300 * time.Millisecond
	callRetry    = 200 * time.Millisecond
	// releaseDelay is the time in which proxies learn that a range is being moved before it is released, so that they
	// send no requests that the endpoint has to reject.
	releaseDelay = 20 * time.Millisecond
)

// rangeState is an assignment in the current term. It is granted to its holder once previous is empty.
type rangeState struct {
	Assignment
	previous   []*formerHolder
	granted    bool          // the holder has accepted a grant, or had before this term
	grantAt    time.Duration // when the next grant is due
	calling    bool          // a grant is in progress
	handoff    string        // from the former holder
	conflicts  int           // consecutive answers that the holder knows a higher fence
	movedAt    time.Duration // when the assignment was committed
	acceptedAt time.Duration // when the holder last accepted a grant
	bounds     holdBounds    // of the holder
}

// holdBounds are the times after which an endpoint certainly does not hold a range by the grants of one kind; 0 if
// there were none.
type holdBounds struct {
	answered   time.Duration // grants that were answered, counted from the answer
	unanswered time.Duration // grants that may still arrive
	inProgress time.Duration // the grant in progress, as if it will not be answered
}

// end returns the time after which the endpoint certainly does not hold the range; 0 if it never did.
func (b holdBounds) end() time.Duration { return max(b.answered, b.unanswered, b.inProgress) }

// settled returns bounds for a range whose grant in progress is not tracked any more.
func (b holdBounds) settled() holdBounds {
	return holdBounds{answered: b.answered, unanswered: max(b.unanswered, b.inProgress)}
}

// lastArrival returns the latest time at which a grant may arrive that is started now.
func lastArrival(now time.Duration) time.Duration { return now + grantTimeout + arrivalSlack }

// formerHolder is an endpoint that may still hold a range that is assigned to another one.
type formerHolder struct {
	id, address string
	heldUntil   time.Duration
	released    bool
	releaseAt   time.Duration // when the next release is due
	calling     bool
	failures    int
}

// call is a call in progress.
type call struct {
	Call
	startedAt time.Duration
}

// inherit returns the state of an assignment that an earlier term left. Its endpoints may have been granted the range
// at the last moment of that term, which was before now.
func (a *Assigner) inherit(assignment Assignment) *rangeState {
	hold := max(a.hold(), time.Duration(a.table.HoldMs)*time.Millisecond)
	heldUntil := lastArrival(a.now) + a.slowed(hold)
	if a.options.bugs.noInheritedHolds {
		heldUntil = a.now
	}
	r := &rangeState{
		Assignment: assignment,
		granted:    len(assignment.Previous) == 0,
		bounds:     holdBounds{unanswered: heldUntil},
		movedAt:    a.now,
		acceptedAt: a.now,
	}
	for _, id := range assignment.Previous {
		r.previous = append(r.previous, &formerHolder{id: id, address: a.addressOf(id), heldUntil: heldUntil})
	}
	return r
}

// slowed returns how long an endpoint may keep a hold by its own clock.
func (a *Assigner) slowed(hold time.Duration) time.Duration {
	if a.options.bugs.noClockSlack {
		return hold
	}
	return time.Duration(float64(hold) * clockSlack)
}

// successor returns the state of a new assignment, given the ranges before it.
func (a *Assigner) successor(before []*rangeState, next Assignment) *rangeState {
	r := &rangeState{Assignment: next, movedAt: a.now}
	for _, old := range before {
		if !old.overlaps(next.Range) {
			continue
		}
		isUnchanged := old.Holder == next.Holder && old.Fence == next.Fence
		if isUnchanged && old.Range == next.Range {
			old.Assignment = next
			return old
		}
		for _, f := range old.previous {
			copied := *f
			copied.calling = false
			r.previous = append(r.previous, &copied)
		}
		if old.Holder != next.Holder {
			a.addFormerHolder(r, old)
			continue
		}
		r.keepHolder(old)
		if isUnchanged {
			r.grantAt = old.grantAt
		}
	}
	return r
}

// keepHolder takes over what is known of the holder from a range before with the same holder.
func (r *rangeState) keepHolder(old *rangeState) {
	bounds := old.bounds.settled()
	r.bounds.answered = max(r.bounds.answered, bounds.answered)
	r.bounds.unanswered = max(r.bounds.unanswered, bounds.unanswered)
	r.granted, r.handoff = old.granted, old.handoff
	r.acceptedAt = max(r.acceptedAt, old.acceptedAt)
}

// addFormerHolder adds the holder of a range before to those that may still hold this range.
func (a *Assigner) addFormerHolder(r, old *rangeState) {
	if old.bounds.end() > 0 && !a.options.bugs.forgetsFormerHolders {
		r.previous = append(r.previous, &formerHolder{
			id:        old.Holder,
			address:   a.addressOf(old.Holder),
			heldUntil: old.bounds.end(),
			releaseAt: a.now + releaseDelay,
		})
	}
}

// advance starts the calls of a range that are due.
func (a *Assigner) advance(s *service, r *rangeState) {
	for _, f := range r.previous {
		a.advanceRelease(s, r, f)
	}
	isFree := func(f *formerHolder) bool { return f.released || a.now > f.heldUntil }
	r.previous = slices.DeleteFunc(r.previous, isFree)
	isDue := a.now >= r.grantAt && !r.calling
	if len(r.previous) > 0 || !isDue || !s.wanted || r.Holder == "" {
		return
	}
	r.calling = a.startCall(Call{
		Kind:       Grant,
		Service:    s.name,
		EndpointID: r.Holder,
		Address:    a.addressOf(r.Holder),
		Range:      r.Range,
		Fence:      r.Fence,
		Hold:       a.hold(),
		Handoff:    r.handoff,
		Timeout:    grantTimeout,
	})
	if r.calling {
		r.bounds.inProgress = lastArrival(a.now) + a.slowed(a.hold())
		r.grantAt = a.now + renewInterval
	}
}

// advanceRelease starts the release at a former holder if it is due. It waits for grants of the range to that endpoint
// that are still in progress.
func (a *Assigner) advanceRelease(s *service, r *rangeState, f *formerHolder) {
	if f.calling || f.released || a.now < f.releaseAt || a.now > f.heldUntil {
		return
	}
	for _, c := range a.calls {
		if c.Kind == Grant && c.EndpointID == f.id && c.Service == s.name && c.overlaps(r.Range) {
			return
		}
	}
	f.calling = a.startCall(Call{
		Kind:       Release,
		Service:    s.name,
		EndpointID: f.id,
		Address:    f.address,
		Range:      r.Range,
		Fence:      r.Fence,
		Timeout:    releaseTimeout,
	})
	f.releaseAt = a.now + callRetry
}

// startCall starts a call unless too many are in progress.
func (a *Assigner) startCall(c Call) bool {
	if len(a.calls) >= maxCallsInFlight || c.Address == "" {
		return false
	}
	a.lastCallID++
	c.ID = a.lastCallID
	a.calls[c.ID] = &call{Call: c, startedAt: a.now}
	a.emit(c)
	return true
}

func (a *Assigner) onCallDone(e *CallDone) {
	c := a.calls[e.ID]
	if c == nil {
		return // of an earlier term
	}
	delete(a.calls, e.ID)
	a.noteReachability(c, e.Result)
	if c.Kind == Probe {
		return
	}
	s := a.services[c.Service]
	first := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].Last >= c.First })
	for _, r := range s.ranges[first:] {
		if r.First > c.Last {
			break
		}
		if c.Kind == Grant {
			a.onGrantDone(r, c, e)
		} else {
			a.onReleaseDone(r, c, e)
		}
		a.advance(s, r)
		a.nextScan = min(a.nextScan, r.nextDeadline())
	}
}

// onGrantDone handles the result of a grant that covers r, if r is still assigned as it was.
func (a *Assigner) onGrantDone(r *rangeState, c *call, e *CallDone) {
	if r.Holder != c.EndpointID || r.Fence != c.Fence || !c.contains(r.Range) {
		return // r was reassigned meanwhile; the bound of the former holder covers this grant
	}
	inProgress := r.bounds.inProgress
	r.calling, r.bounds.inProgress = false, 0
	switch e.Result {
	case Accepted: // it arrived before its answer
		r.granted, r.conflicts, r.acceptedAt = true, 0, a.now
		r.bounds.answered = max(r.bounds.answered, a.now+a.slowed(c.Hold))
	case Outdated:
		r.conflicts++
		r.grantAt = never // until the range has a new fence
	case Unanswered:
		if !a.options.bugs.forgetsUnanswered {
			r.bounds.unanswered = max(r.bounds.unanswered, inProgress)
		}
		r.grantAt = a.now + callRetry
	case NotSent, Refused, OtherInstance:
		r.grantAt = a.now + callRetry
	}
}

// onReleaseDone handles the result of a release that covers r.
func (a *Assigner) onReleaseDone(r *rangeState, c *call, e *CallDone) {
	if r.Fence != c.Fence || !c.contains(r.Range) {
		return // r was reassigned meanwhile, and its former holders get releases with its present fence
	}
	for _, f := range r.previous {
		if f.id != c.EndpointID {
			continue
		}
		f.calling = false
		hasReleased := e.Result == Accepted || e.Result == OtherInstance
		if !hasReleased && !a.options.bugs.releasesByTimeout {
			f.failures++
			f.releaseAt = a.now + callRetry
			continue
		}
		// Grants that arrive later have lower fences, and the endpoint rejects them.
		f.released = true
		if e.Handoff != "" {
			r.handoff = e.Handoff
		}
	}
}

// nextDeadline returns when a call of the range is due.
func (r *rangeState) nextDeadline() time.Duration {
	next := never
	if len(r.previous) == 0 && !r.calling {
		next = r.grantAt
	}
	for _, f := range r.previous {
		if !f.calling {
			next = min(next, f.releaseAt)
		}
		next = min(next, f.heldUntil+1)
	}
	return next
}

// isServed reports whether proxies may send requests to the holder.
func (r *rangeState) isServed() bool { return r.granted && len(r.previous) == 0 }
