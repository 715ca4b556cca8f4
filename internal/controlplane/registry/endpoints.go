package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// maxMissedHeartbeats is the heartbeat timeout, in heartbeat intervals.
	maxMissedHeartbeats = 3.5
	// tombstoneTTL is how long the entry of a gone endpoint is kept, so that a late heartbeat does not revive it.
	tombstoneTTL = 90 * time.Second
	// remoteTTL is how long the entry of an endpoint that is not live on this node is kept after its last report.
	remoteTTL = 4 * tombstoneTTL
	// noHeartbeat is the LastHeartbeat of an endpoint that has sent this node no heartbeat.
	noHeartbeat = time.Duration(-1)
)

// Entry is the state of one endpoint.
type Entry struct {
	rpc.Endpoint                 // as last reported, except DirectHeartbeats and WarmupRemaining, which are zero here
	LastHeartbeat  time.Duration // when this node received the last heartbeat; negative if it never received one
	WarmupEnd      time.Duration // when the slow start of the endpoint ends
	stateChangedAt time.Duration // when State last advanced
	updatedAt      time.Duration // when the last report arrived, from the endpoint or from another node
	live           bool          // this node receives the heartbeats of the endpoint
}

// Heartbeat applies a heartbeat that this node received. It returns the changes to send to proxies and to the other
// nodes. outdated reports that the heartbeat was ignored, because a newer report is known or the endpoint is gone.
func (r *Registry) Heartbeat(now time.Duration, reported rpc.Endpoint) (changes []rpc.Endpoint, outdated bool) {
	if e := r.entries[reported.ID]; e != nil {
		isOlder := reported.Seq < e.Seq && reported.Seq > 0
		if isOlder || e.State == rpc.Gone {
			return nil, true
		}
	}
	changed := r.apply(now, reported)
	e := r.entries[reported.ID]
	e.LastHeartbeat = now
	if !e.live && e.State != rpc.Gone {
		e.live, changed = true, true
	}
	if changed {
		changes = append(changes, e.snapshot(now, true))
	}
	return append(changes, r.evictPrevious(now, e)...), false
}

// Deregister marks an endpoint as gone. It returns the changes to send to proxies and to the other nodes; nil if the
// endpoint was gone already.
func (r *Registry) Deregister(now time.Duration, id string, seq uint64) []rpc.Endpoint {
	e := r.entries[id]
	switch {
	case e == nil:
		e = &Entry{Endpoint: rpc.Endpoint{ID: id}, LastHeartbeat: noHeartbeat}
		r.entries[id] = e
	case e.State == rpc.Gone:
		return nil
	}
	e.State, e.stateChangedAt, e.live = rpc.Gone, now, false
	e.Seq = max(e.Seq, seq)
	return []rpc.Endpoint{e.snapshot(now, false)}
}

// ApplyRemote applies reports of another node. It returns the resulting changes, to be sent to proxies. A report ends
// no other endpoint at the same address: reports of several nodes arrive in any order, so the reported endpoint may be
// the earlier one. The node that received the heartbeat of the later one reports the end of the earlier one too.
func (r *Registry) ApplyRemote(now time.Duration, reports []rpc.Endpoint) (changes []rpc.Endpoint) {
	for _, reported := range reports {
		if r.apply(now, reported) {
			e := r.entries[reported.ID]
			changes = append(changes, e.snapshot(now, e.live))
			r.claimVacantAddress(e)
		}
	}
	return changes
}

// apply updates the entry of an endpoint from a report. It reports whether others need to be told of a change.
func (r *Registry) apply(now time.Duration, reported rpc.Endpoint) bool {
	e := r.entries[reported.ID]
	if e == nil {
		r.entries[reported.ID] = newEntry(now, reported)
		return true
	}
	e.updatedAt = now
	if reported.Seq < e.Seq && reported.State <= e.State {
		return false
	}
	changed := e.advance(now, reported.State)
	if reported.Seq >= e.Seq && reported.State != rpc.Gone {
		changed = e.updateData(now, reported, r.heartbeatInterval/4) || changed
	}
	return changed
}

func newEntry(now time.Duration, reported rpc.Endpoint) *Entry {
	e := &Entry{
		Endpoint:      reported,
		LastHeartbeat: noHeartbeat,
		WarmupEnd:     now + warmupRemaining(reported),
		updatedAt:     now,
	}
	e.DirectHeartbeats, e.WarmupRemaining = false, 0
	if e.State == rpc.Gone {
		e.stateChangedAt = now
	}
	return e
}

func warmupRemaining(reported rpc.Endpoint) time.Duration {
	return max(time.Duration(reported.WarmupRemaining)*time.Millisecond, 0)
}

// advance moves the state forward, never back: a late heartbeat does not revive a draining endpoint. It reports whether
// the state changed.
func (e *Entry) advance(now time.Duration, state rpc.EndpointState) bool {
	if state <= e.State {
		return false
	}
	e.State, e.stateChangedAt = state, now
	if state == rpc.Gone {
		e.live = false
	}
	return true
}

// updateData copies the data of a report that is not outdated, and reports whether the data changed. The remaining slow
// start shrinks with each heartbeat, so it counts as a change only if its end is later than before by more than slack.
func (e *Entry) updateData(now time.Duration, reported rpc.Endpoint, slack time.Duration) (changed bool) {
	warmupEnd := now + time.Duration(reported.WarmupRemaining)*time.Millisecond
	changed = reported.Address != e.Address || reported.Service != e.Service || reported.Capacity != e.Capacity ||
		reported.WarmupRemaining > 0 && warmupEnd > e.WarmupEnd+slack
	if warmupEnd > e.WarmupEnd || reported.WarmupRemaining == 0 {
		e.WarmupEnd = warmupEnd
	}
	state := e.State
	e.Endpoint = reported
	e.State, e.DirectHeartbeats, e.WarmupRemaining = state, false, 0
	return changed
}

// IsAddressTaken reports whether another endpoint that is not gone has the address of a reported one.
func (r *Registry) IsAddressTaken(reported rpc.Endpoint) bool {
	holder := r.addressHolder(reported.Address)
	return holder != nil && holder.ID != reported.ID
}

// addressHolder returns the endpoint at an address, or nil if there is none or it is gone.
func (r *Registry) addressHolder(address string) *Entry {
	holder := r.entries[r.byAddress[address]]
	if holder == nil || holder.Address != address || holder.State == rpc.Gone {
		return nil
	}
	return holder
}

// claimVacantAddress records e at its address unless another endpoint holds it.
func (r *Registry) claimVacantAddress(e *Entry) {
	if e.State != rpc.Gone && e.Address != "" && r.addressHolder(e.Address) == nil {
		r.byAddress[e.Address] = e.ID
	}
}

// evictPrevious marks the endpoint that had the address of e before as gone: its process ended without deregistering,
// or its deregistration has not arrived yet. It returns the resulting changes. It must be called only on a heartbeat of
// e that was read soon after it was sent.
func (r *Registry) evictPrevious(now time.Duration, e *Entry) []rpc.Endpoint {
	if e.State == rpc.Gone || e.Address == "" {
		return nil
	}
	previous := r.addressHolder(e.Address)
	r.byAddress[e.Address] = e.ID
	if previous == nil || previous.ID == e.ID {
		return nil
	}
	return r.Deregister(now, previous.ID, previous.Seq)
}

// snapshot returns the entry in the form that is sent to proxies and nodes.
func (e *Entry) snapshot(now time.Duration, live bool) rpc.Endpoint {
	endpoint := e.Endpoint
	endpoint.DirectHeartbeats = live
	endpoint.WarmupRemaining = int(max(e.WarmupEnd-now, 0) / time.Millisecond)
	return endpoint
}

// ExpireHeartbeats removes outdated entries and marks endpoints without recent heartbeats as not live. It returns the
// latter, to be sent to proxies.
func (r *Registry) ExpireHeartbeats(now time.Duration) (changes []rpc.Endpoint) {
	timeout := time.Duration(maxMissedHeartbeats * float64(r.heartbeatInterval))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		switch {
		case e.State == rpc.Gone && now > e.stateChangedAt+tombstoneTTL:
			delete(r.entries, id)
			if r.byAddress[e.Address] == id {
				delete(r.byAddress, e.Address)
			}
		case e.live && now > e.LastHeartbeat+timeout:
			e.live = false
			changes = append(changes, e.snapshot(now, false))
		case !e.live && e.State != rpc.Gone && now > max(e.LastHeartbeat, e.stateChangedAt, e.updatedAt)+remoteTTL:
			delete(r.entries, id)
		}
	}
	return changes
}

// All returns every endpoint. It is sent to a newly connected node, and to a proxy that this node steers.
func (r *Registry) All(now time.Duration) []rpc.Endpoint {
	return r.snapshots(now, func(*Entry) bool { return true })
}

// Local returns the endpoints that are live on this node, and those that are draining or gone. It is sent to a newly
// connected proxy, which learns of other endpoints from the nodes where they are live, and of all endpoints from the
// node that steers it.
func (r *Registry) Local(now time.Duration) []rpc.Endpoint {
	return r.snapshots(now, func(e *Entry) bool { return e.live || e.State != rpc.Ready })
}

// Departed returns the endpoints that are draining or gone, sorted by id.
func (r *Registry) Departed() []rpc.Endpoint {
	var departed []rpc.Endpoint
	for _, e := range r.entries {
		if e.State != rpc.Ready {
			departed = append(departed, e.Endpoint)
		}
	}
	slices.SortFunc(departed, func(a, b rpc.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return departed
}

func (r *Registry) snapshots(now time.Duration, include func(*Entry) bool) []rpc.Endpoint {
	var all []rpc.Endpoint
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[id]; include(e) {
			all = append(all, e.snapshot(now, e.live))
		}
	}
	return all
}

// Get returns the entry of an endpoint, or nil if there is none.
func (r *Registry) Get(id string) *Entry { return r.entries[id] }

// Active returns all endpoints that are ready or draining, sorted by id.
func (r *Registry) Active() []*Entry {
	var all []*Entry
	for _, e := range r.entries {
		if e.State != rpc.Gone {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
