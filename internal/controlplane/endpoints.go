package controlplane

import (
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/rpc"
)

const (
	// ackTimeout is how long a report of an endpoint that leaves waits for enough nodes to have it. After that it is not
	// acknowledged, and the endpoint reports it elsewhere.
	ackTimeout = 900 * time.Millisecond
	// batchPerProxy is how long reports of endpoints that come may wait for others, for each proxy that is to be told.
	batchPerProxy = 300 * time.Microsecond
	// minBatchDelay is the delay below which batching is not worth while.
	minBatchDelay = 10 * time.Millisecond
)

// pendingAck is a report of an endpoint that leaves, waiting for other nodes to have it.
type pendingAck struct {
	acks     map[string]bool // names of nodes
	deadline time.Duration
	done     chan<- error
}

// onEndpointUpdate handles the reports of a peer. What is new here is passed on to the proxies at once, as the peer may
// be gone before it has told them all.
func (s *Server) onEndpointUpdate(u *rpc.EndpointUpdate) {
	if len(u.Endpoints) > 0 {
		if changes := s.registry.ApplyRemote(s.now(), u.Endpoints); len(changes) > 0 {
			s.batchForProxies(changes)
			s.steering.invalidate()
		}
	}
	if u.EndpointsSynced {
		s.setEndpointsSynced()
	}
}

// spread tells proxies and peers of changed endpoints.
func (s *Server) spread(changes []rpc.Endpoint) {
	if len(changes) == 0 {
		return
	}
	s.batchForProxies(changes)
	s.broadcastToPeers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: changes}})
	s.steering.invalidate()
}

// spreadDurably does so for endpoints that leave, and answers once enough nodes have it: the one that acknowledges
// may be gone the next moment, and a proxy that starts reads from a majority, so it meets one that knows.
func (s *Server) spreadDurably(changes []rpc.Endpoint, done chan<- error) {
	s.lastAckID++
	update := rpc.EndpointUpdate{Endpoints: changes}
	s.flushEndpoints() // earlier changes go first
	s.broadcastToProxies(&rpc.Message{EndpointUpdate: update})
	s.broadcastToPeers(&rpc.Message{
		Acknowledgement: rpc.Acknowledgement{WantAck: s.lastAckID},
		EndpointUpdate:  update,
	})
	s.steering.invalidate()
	pending := &pendingAck{
		acks:     map[string]bool{s.self.Name: true},
		deadline: s.now() + ackTimeout,
		done:     done,
	}
	switch {
	case !s.hasQuorumNow():
		done <- noQuorumError()
	case s.isDurable(pending):
		done <- nil
	default:
		s.pendingAcks[s.lastAckID] = pending
	}
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

// isDurable reports whether so many voters have a report that a proxy that starts meets one of them, though as many as
// may be lost at once are gone.
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

// batchForProxies tells proxies of endpoints that come, batched for as long as telling all proxies takes, and at
// once of those that leave or are in slow start. A few proxies are always told at once: after a loss of all power
// each moment without endpoints is lost.
func (s *Server) batchForProxies(changes []rpc.Endpoint) {
	delay := time.Duration(len(s.proxies)) * batchPerProxy
	isFirst := len(s.batchedEndpoints) == 0
	s.batchedEndpoints = append(s.batchedEndpoints, changes...)
	switch {
	case delay < minBatchDelay || isUrgent(changes):
		s.flushEndpoints()
	case isFirst && delay < tickInterval: // otherwise the tick flushes
		s.options.Clock.AfterFunc(delay, func() { s.queue.Post(s.flushEndpoints) })
	}
}

func isUrgent(changes []rpc.Endpoint) bool {
	for _, e := range changes {
		if e.State != rpc.Ready || e.WarmupRemaining > 0 {
			return true
		}
	}
	return false
}

// flushEndpoints tells proxies what was batched.
func (s *Server) flushEndpoints() {
	if len(s.batchedEndpoints) > 0 {
		s.broadcastToProxies(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.batchedEndpoints}})
		s.batchedEndpoints = nil
	}
}

// allEndpoints is the whole list as an encoded message, for a proxy that is steered here. It is made once a tick at
// most.
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

// noticeEndpointsSynced: nobody who knows more is there. Either all other voters have sent what they know, or what was
// reported by heartbeats since the start is all there is.
func (s *Server) noticeEndpointsSynced(now time.Duration) {
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

// allVotersSynced reports whether all other voters have sent their first message on a connection that is up.
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
