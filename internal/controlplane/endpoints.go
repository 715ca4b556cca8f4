package controlplane

import (
	"time"

	"elmfold/internal/controlplane/departures"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

const (
	// ackTimeout is how long a report that an endpoint is draining or gone waits for enough peers to acknowledge it. After
	// that the call fails, and the endpoint retries at another node.
	ackTimeout = 900 * time.Millisecond
	// batchDelayPerProxy times the number of proxies is how long changes that are not urgent are collected for proxies.
	batchDelayPerProxy = 300 * time.Microsecond
	// minBatchDelay is the delay below which changes are sent at once.
	minBatchDelay = 10 * time.Millisecond
)

// pendingAck is a report that an endpoint is draining or gone, and that too few nodes have on their disks.
type pendingAck struct {
	acks     map[string]bool // names of nodes
	deadline time.Duration
	done     chan<- error
}

// onEndpointUpdate handles endpoint reports of a peer. Changes are forwarded to proxies, because the peer may fail
// before it has sent them to all proxies.
func (s *Server) onEndpointUpdate(u *rpc.EndpointUpdate) {
	if len(u.Endpoints) > 0 {
		if changes := s.registry.ApplyRemote(s.now(), u.Endpoints); len(changes) > 0 {
			s.batchForProxies(changes)
			s.endpointsChanged()
		}
	}
	if u.EndpointsSynced {
		s.setEndpointsSynced()
	}
}

// endpointsChanged passes a change of endpoints on to what is computed from them.
func (s *Server) endpointsChanged() {
	s.steering.invalidate()
	s.sharding.invalidate()
}

// broadcastEndpoints sends endpoint changes to proxies and peers.
func (s *Server) broadcastEndpoints(changes []rpc.Endpoint) {
	if len(changes) == 0 {
		return
	}
	s.batchForProxies(changes)
	s.broadcastToPeers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: changes}})
	s.endpointsChanged()
}

// broadcastUntilDurable sends changes of draining or gone endpoints to proxies and peers at once. It reports success on
// done when enough nodes have the changes on their disks: a starting proxy reads from a majority of the voters, so it
// learns of them even if this node has failed, or all processes have been killed.
func (s *Server) broadcastUntilDurable(changes []rpc.Endpoint, done chan<- error) {
	s.lastAckID++
	update := rpc.EndpointUpdate{Endpoints: changes}
	s.flushEndpoints() // keeps the order of changes
	s.broadcastToProxies(&rpc.Message{EndpointUpdate: update})
	s.broadcastToPeers(&rpc.Message{
		Acknowledgement: rpc.Acknowledgement{WantAck: s.lastAckID},
		EndpointUpdate:  update,
	})
	s.endpointsChanged()
	id := s.lastAckID
	if s.hasQuorumNow() {
		s.pendingAcks[id] = &pendingAck{acks: map[string]bool{}, deadline: s.now() + ackTimeout, done: done}
	} else {
		done <- noQuorumError()
	}
	s.storeDepartures(changes, func() { s.onAck(s.self.Name, id) })
}

// storeDepartures calls done once those of the endpoints that are draining or gone are on the disk. If a write fails,
// done is not called.
func (s *Server) storeDepartures(endpoints []rpc.Endpoint, done func()) {
	s.departures.StoreAll(endpoints, func(err error) {
		if err != nil {
			s.log.Error("writing the departure of an endpoint failed", logfield.Error, err)
			return
		}
		done()
	})
}

// loadDepartures restores the endpoints that were draining or gone when the previous process ended.
func (s *Server) loadDepartures(records map[string][]byte) {
	log, departed, err := departures.Load(s.options.Disk, s.queue.Post, records)
	if err != nil {
		s.log.Error("a stored departure of an endpoint cannot be read; it is left out", logfield.Error, err)
	}
	s.departures = log
	s.registry.ApplyRemote(s.now(), departed)
}

func (s *Server) onAck(from string, id uint64) {
	pending := s.pendingAcks[id]
	if pending == nil {
		return
	}
	pending.acks[from] = true
	if s.isDurable(pending) {
		delete(s.pendingAcks, id)
		pending.done <- nil
	}
}

// isDurable reports whether enough voters have a report on their disks: any majority includes one of them, even after
// as many machines have failed as the fault budget allows.
func (s *Server) isDurable(p *pendingAck) bool {
	return s.replica.Epoch().IsDurable(s.options.Settings.FaultBudget.Machines, func(v rpc.Voter) bool {
		return p.acks[v.Name]
	})
}

func (s *Server) expireAcks(now time.Duration) {
	for id, pending := range s.pendingAcks {
		if now > pending.deadline {
			delete(s.pendingAcks, id)
			pending.done <- apierror.New(apierror.NotDurable, "", nil)
		}
	}
}

// batchForProxies sends endpoint changes to proxies. Changes that are not urgent are collected for a delay that grows
// with the number of proxies; with few proxies they are sent at once, which shortens the start of a cluster.
func (s *Server) batchForProxies(changes []rpc.Endpoint) {
	delay := time.Duration(len(s.proxies)) * batchDelayPerProxy
	isFirst := len(s.batchedEndpoints) == 0
	s.batchedEndpoints = append(s.batchedEndpoints, changes...)
	switch {
	case delay < minBatchDelay || isUrgent(changes):
		s.flushEndpoints()
	case isFirst && delay < tickInterval: // with a longer delay the tick flushes
		s.options.Clock.AfterFunc(delay, func() { s.queue.Post(s.flushEndpoints) })
	}
}

// isUrgent reports whether any of the endpoints is draining, gone or in slow start.
func isUrgent(changes []rpc.Endpoint) bool {
	for _, e := range changes {
		if e.State != rpc.Ready || e.WarmupRemaining > 0 {
			return true
		}
	}
	return false
}

// flushEndpoints sends the batched changes to proxies.
func (s *Server) flushEndpoints() {
	if len(s.batchedEndpoints) > 0 {
		s.broadcastToProxies(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.batchedEndpoints}})
		s.batchedEndpoints = nil
	}
}

// allEndpoints returns an encoded message with all endpoints, for a proxy that this node steers. The message is encoded
// anew at most once per tick.
func (s *Server) allEndpoints() []byte {
	if now := s.now(); s.encodedEndpoints == nil || now >= s.encodedAt+tickInterval {
		s.flushEndpoints()
		s.encodedEndpoints = rpc.Encode(&rpc.Message{
			EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.registry.All(now)},
		})
		s.encodedAt = now
	}
	return s.encodedEndpoints
}

// updateEndpointsSynced marks the endpoint table as complete once all other voters have sent theirs, or after two
// heartbeat intervals, in which each live endpoint has sent a heartbeat.
func (s *Server) updateEndpointsSynced(now time.Duration) {
	if s.allVotersSynced() || now > 2*s.options.Settings.HeartbeatInterval.Duration() {
		s.setEndpointsSynced()
	}
}

func (s *Server) setEndpointsSynced() {
	if !s.endpointsSynced {
		s.endpointsSynced = true
		s.broadcastToProxies(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
	}
}

// allVotersSynced reports whether all other voters are connected and have sent their endpoint tables.
func (s *Server) allVotersSynced() bool {
	e := s.replica.Epoch()
	for _, v := range e.AllVoters() {
		if v.Name == s.self.Name {
			continue
		}
		if p := s.peers[v.Name]; p == nil || p.conn == nil || !p.synced {
			return false
		}
	}
	return e.Number > 0
}
