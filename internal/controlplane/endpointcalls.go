package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/rpc"
)

const maxHeartbeatBytes = 64 << 10

// Values of observed.state in a heartbeat.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// heartbeatBody is the body of instances.heartbeat. The inner structs are anonymous, because errors of the JSON
// decoder, which are sent to endpoints, contain the names of struct types.
type heartbeatBody struct {
	Address    string `json:"address"` // "ip:port"
	Descriptor struct {
		Service    string  `json:"service"`
		Generation string  `json:"generation"`
		Zone       string  `json:"zone"`
		Capacity   float64 `json:"capacity"` // maximum number of concurrent requests
	} `json:"descriptor"`
	Observed struct {
		State     string  `json:"state"`
		CallSeq   uint64  `json:"callSeq"`   // increases with each call of the endpoint
		ColdLeftS float64 `json:"coldLeftS"` // seconds until the slow start of the endpoint ends
	} `json:"observed"`
}

// handleHeartbeat handles instances.heartbeat. The heartbeat of a ready endpoint is acknowledged once this node has
// applied it; that of a draining endpoint once enough nodes have received it.
func (s *Server) handleHeartbeat(r *http.Request, id string) ([]byte, error) {
	body, err := readBody(r, maxHeartbeatBytes)
	if err != nil {
		return nil, err
	}
	var h heartbeatBody
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, apierror.New(apierror.InvalidArgument, "heartbeat", withoutGoTypes(err, "a heartbeat"))
	}
	endpoint, err := h.endpoint(id)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	target := make(chan string, 1) // the address to which the endpoint sends its next heartbeats
	s.queue.Do(func() {
		if s.inputMayBeOutdated() && s.registry.IsAddressTaken(endpoint) {
			// A late heartbeat of an endpoint that has ended must not evict the one that has its address now. An endpoint
			// that runs turns to another node.
			done <- suspendedError()
			return
		}
		changes, _ := s.registry.Heartbeat(s.now(), endpoint)
		if endpoint.State == rpc.Draining {
			// Repeated reports are sent too: the endpoint may be retrying one that too few peers have acknowledged.
			if changes == nil {
				changes = []rpc.Endpoint{endpoint}
			}
			s.broadcastUntilDurable(changes, done)
			return
		}
		s.broadcastEndpoints(changes)
		if !s.hasQuorumNow() && !s.isStarting() {
			done <- noQuorumError() // the endpoint should turn to a node that can reach its peers
			return
		}
		target <- s.heartbeatTarget(endpoint.Zone)
		done <- nil
	})
	if err := s.awaitOwner(r, done); err != nil {
		return nil, err
	}
	select {
	case address := <-target:
		if address != "" {
			return json.Marshal(map[string]string{"beatTarget": address})
		}
	default:
	}
	return emptyBody(), nil
}

// endpoint validates a heartbeat and converts it to the report of an endpoint.
func (h *heartbeatBody) endpoint(id string) (rpc.Endpoint, error) {
	e := rpc.Endpoint{
		ID:              id,
		Service:         h.Descriptor.Service,
		Address:         h.Address,
		Zone:            h.Descriptor.Zone,
		Capacity:        max(int(h.Descriptor.Capacity), 1),
		Seq:             h.Observed.CallSeq,
		Generation:      h.Descriptor.Generation,
		WarmupRemaining: int(math.Ceil(max(h.Observed.ColdLeftS, 0) * 1000)),
	}
	switch {
	case id == "":
		return e, missingInstanceError()
	case e.Service == "" || e.Address == "":
		return e, apierror.New(apierror.InvalidArgument, "descriptor.service, address", errors.New("is missing"))
	}
	switch h.Observed.State {
	case stateReady:
		e.State = rpc.Ready
	case stateDraining:
		e.State = rpc.Draining
	default:
		return e, apierror.New(apierror.InvalidArgument, "observed.state",
			fmt.Errorf("%q is neither ready nor draining", h.Observed.State))
	}
	return e, nil
}

func missingInstanceError() error {
	return apierror.New(apierror.InvalidArgument, "of", errors.New("names no instance"))
}

// isStarting reports whether the whole cluster may still be starting. No node has quorum contact then, so there is no
// better node for an endpoint.
func (s *Server) isStarting() bool { return !s.hadQuorum && s.now() <= startupDuration }

// heartbeatTarget returns the address to which the endpoints of a zone should send their heartbeats: that of a node in
// the same zone, so that heartbeats do not cross zones. It is empty if they should stay with this node.
func (s *Server) heartbeatTarget(zone string) string {
	if zone == s.self.Zone {
		return ""
	}
	for _, node := range s.knownNodes() {
		p := s.peers[node.Name]
		if node.Zone == zone && node.ControlAddress != "" && p != nil && p.conn != nil {
			return node.ControlAddress
		}
	}
	return ""
}

// handleDeregister handles instances.deregister. The call is acknowledged once enough nodes have received the change.
func (s *Server) handleDeregister(r *http.Request, id string) ([]byte, error) {
	if id == "" {
		return nil, missingInstanceError()
	}
	done := make(chan error, 1)
	s.queue.Do(func() {
		changes := s.registry.Deregister(s.now(), id, 0)
		if changes == nil {
			changes = []rpc.Endpoint{{ID: id, State: rpc.Gone}}
		}
		s.broadcastUntilDurable(changes, done)
	})
	return emptyBody(), s.awaitOwner(r, done)
}
