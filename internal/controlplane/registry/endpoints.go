package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// missedHeartbeats is how many heartbeats an endpoint may miss before it is no longer live here.
	missedHeartbeats = 3.5
	// tombstoneTTL is how long an endpoint that is gone is remembered, so that a late heartbeat does not bring it back.
	tombstoneTTL = 90 * time.Second
	// unconfirmedTTL is how long an endpoint that is not live here is remembered after its last report.
	unconfirmedTTL = 4 * tombstoneTTL
	// noHeartbeat stands for no heartbeat in LastHeartbeat.
	noHeartbeat = time.Duration(-1)
)

// Entry is what is known of an endpoint.
type Entry struct {
	rpc.Endpoint                // as last reported, but for Live and WarmupLeft, which are not kept here
	LastHeartbeat time.Duration // that was received here; negative: none was
	WarmupEnd     time.Duration // until when it is in slow start
	goneAt        time.Duration
	updatedAt     time.Duration // the last report of it, by whomever
	live          bool          // as proxies were told
}

// Heartbeat handles a heartbeat that was received here. changes are to be told to proxies and the other nodes; none if
// nothing changed. outdated says that a newer report of the endpoint was there already.
func (r *Registry) Heartbeat(now time.Duration, reported rpc.Endpoint) (changes []rpc.Endpoint, outdated bool) {
	if e := r.entries[reported.ID]; e != nil {
		overtaken := reported.Seq < e.Seq && reported.Seq > 0
		if overtaken || e.State == rpc.Gone {
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

// Deregister marks an endpoint as gone. It returns what is to be told, nil if it was gone already.
func (r *Registry) Deregister(now time.Duration, id string, seq uint64) []rpc.Endpoint {
	e := r.entries[id]
	switch {
	case e == nil:
		e = &Entry{Endpoint: rpc.Endpoint{ID: id}, LastHeartbeat: noHeartbeat}
		r.entries[id] = e
	case e.State == rpc.Gone:
		return nil
	}
	e.State, e.goneAt, e.live = rpc.Gone, now, false
	e.Seq = max(e.Seq, seq)
	return []rpc.Endpoint{e.snapshot(now, false)}
}

// ApplyRemote handles reports of another node. It returns those that changed something here.
func (r *Registry) ApplyRemote(now time.Duration, reports []rpc.Endpoint) (changes []rpc.Endpoint) {
	for _, reported := range reports {
		if r.apply(now, reported) {
			e := r.entries[reported.ID]
			changes = append(changes, e.snapshot(now, e.live))
			changes = append(changes, r.evictPrevious(now, e)...)
		}
	}
	return changes
}

// apply takes over a report and says whether something changed that others need to know.
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
		changed = e.update(now, reported, r.heartbeatInterval/4) || changed
	}
	return changed
}

func newEntry(now time.Duration, reported rpc.Endpoint) *Entry {
	e := &Entry{
		Endpoint:      reported,
		LastHeartbeat: noHeartbeat,
		WarmupEnd:     now + warmupLeft(reported),
		updatedAt:     now,
	}
	e.Live, e.WarmupRemaining = false, 0
	if e.State == rpc.Gone {
		e.goneAt = now
	}
	return e
}

func warmupLeft(reported rpc.Endpoint) time.Duration {
	return max(time.Duration(reported.WarmupRemaining)*time.Millisecond, 0)
}

// advance moves the state on, never back: a late heartbeat does not revive what drains.
func (e *Entry) advance(now time.Duration, state rpc.EndpointState) bool {
	if state <= e.State {
		return false
	}
	e.State, e.goneAt = state, now
	if state == rpc.Gone {
		e.live = false
	}
	return true
}

// update takes over the data of a report that is not outdated. Heartbeats of an endpoint in slow start report less time
// left each time: only one that ends later by more than slack is a change.
func (e *Entry) update(now time.Duration, reported rpc.Endpoint, slack time.Duration) (changed bool) {
	until := now + time.Duration(reported.WarmupRemaining)*time.Millisecond
	changed = reported.Address != e.Address || reported.Service != e.Service || reported.Capacity != e.Capacity ||
		reported.WarmupRemaining > 0 && until > e.WarmupEnd+slack
	if until > e.WarmupEnd || reported.WarmupRemaining == 0 {
		e.WarmupEnd = until
	}
	state := e.State
	e.Endpoint = reported
	e.State, e.Live, e.WarmupRemaining = state, false, 0
	return changed
}

// evictPrevious marks the endpoint as gone that had the address of e before: its process ended without saying so,
// or its deregistration is still on its way.
func (r *Registry) evictPrevious(now time.Duration, e *Entry) []rpc.Endpoint {
	if e.State == rpc.Gone || e.Address == "" {
		return nil
	}
	previousID := r.byAddress[e.Address]
	previous := r.entries[previousID]
	if previousID == e.ID || previous == nil || previous.Address != e.Address {
		r.byAddress[e.Address] = e.ID
		return nil
	}
	if previous.live && !e.live {
		return nil // its heartbeats come in here, and the report of e may be the older one
	}
	r.byAddress[e.Address] = e.ID
	if previous.State == rpc.Gone {
		return nil
	}
	return r.Deregister(now, previousID, previous.Seq)
}

// snapshot is the entry as it is told to others.
func (e *Entry) snapshot(now time.Duration, live bool) rpc.Endpoint {
	endpoint := e.Endpoint
	endpoint.Live = live
	endpoint.WarmupRemaining = int(max(e.WarmupEnd-now, 0) / time.Millisecond)
	return endpoint
}

// ExpireHeartbeats ends what was not heard of for too long. It returns what is to be told to proxies: the endpoints
// that are no longer live here.
func (r *Registry) ExpireHeartbeats(now time.Duration) (changes []rpc.Endpoint) {
	timeout := time.Duration(missedHeartbeats * float64(r.heartbeatInterval))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		switch {
		case e.State == rpc.Gone && now > e.goneAt+tombstoneTTL:
			delete(r.entries, id)
			if r.byAddress[e.Address] == id {
				delete(r.byAddress, e.Address)
			}
		case e.live && now > e.LastHeartbeat+timeout:
			e.live = false
			changes = append(changes, e.snapshot(now, false))
		case !e.live && e.State != rpc.Gone && now > max(e.LastHeartbeat, e.goneAt, e.updatedAt)+unconfirmedTTL:
			delete(r.entries, id)
		}
	}
	return changes
}

// All is every endpoint, for another node that has a new connection here and for a proxy that is steered from here.
func (r *Registry) All(now time.Duration) []rpc.Endpoint {
	return r.snapshots(now, func(*Entry) bool { return true })
}

// Local are the endpoints that are live here, and those that drain or are gone: what a proxy with a new connection
// here cannot do without. The others it hears of from the nodes where they are live, and all of them from the one
// that steers it.
func (r *Registry) Local(now time.Duration) []rpc.Endpoint {
	return r.snapshots(now, func(e *Entry) bool { return e.live || e.State != rpc.Ready })
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

// Get is what is known of an endpoint, nil if nothing is.
func (r *Registry) Get(id string) *Entry { return r.entries[id] }

// Active are all endpoints that are ready or drain, in the order of their ids.
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
