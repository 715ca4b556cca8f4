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

// States in a heartbeat.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// heartbeat is the body of instances.heartbeat. The inner structs have no names of their own: they would stand in the
// decoder's error texts, which endpoints receive.
type heartbeat struct {
	Address    string `json:"address"` // "ip:port"
	Descriptor struct {
		Service    string  `json:"service"`
		Generation string  `json:"generation"`
		Zone       string  `json:"zone"`
		Capacity   float64 `json:"capacity"` // requests at once
	} `json:"descriptor"`
	Observed struct {
		State     string  `json:"state"`
		CallSeq   uint64  `json:"callSeq"`   // rises with each call of the endpoint
		ColdLeftS float64 `json:"coldLeftS"` // seconds until its slow start ends
	} `json:"observed"`
}

// heartbeat handles a heartbeat. A ready endpoint is acknowledged once it is known here; a draining one once enough
// nodes know it.
func (s *Server) heartbeat(r *http.Request, id string) ([]byte, error) {
	body, err := readBody(r, maxHeartbeatBytes)
	if err != nil {
		return nil, err
	}
	var h heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, apierror.New(apierror.InvalidArgument, "heartbeat", describeJSON(err, "a heartbeat"))
	}
	endpoint, err := h.endpoint(id)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	target := make(chan string, 1)
	s.queue.Do(func() {
		changes, _ := s.registry.Heartbeat(s.now(), endpoint)
		if endpoint.State == rpc.Draining {
			// Each report of draining goes to the peers, not only the first: it may be the repetition of one that was not
			// acknowledged because they could not be reached.
			if changes == nil {
				changes = []rpc.Endpoint{endpoint}
			}
			s.spreadDurably(changes, done)
			return
		}
		s.spread(changes)
		if !s.hasQuorumNow() && !s.isStarting() {
			done <- noQuorumError() // the endpoint should report to a node that others hear of
			return
		}
		target <- s.heartbeatTarget(endpoint.Zone)
		done <- nil
	})
	if err := s.await(r, done); err != nil {
		return nil, err
	}
	select {
	case address := <-target:
		if address != "" {
			return json.Marshal(map[string]string{"beatTarget": address})
		}
	default:
	}
	return emptyAnswer(), nil
}

// endpoint checks a heartbeat and returns what it says of the endpoint.
func (h *heartbeat) endpoint(id string) (rpc.Endpoint, error) {
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
		return e, noInstanceError()
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

func noInstanceError() error {
	return apierror.New(apierror.InvalidArgument, "of", errors.New("names no instance"))
}

// isStarting reports whether this node may still be among others that start. Then none of them has quorum contact, and
// there is nowhere to send an endpoint.
func (s *Server) isStarting() bool { return !s.hadQuorum && s.now() <= startupDuration }

// heartbeatTarget is where endpoints of a zone should send their heartbeats: to the zone's own node, so that
// heartbeats do not cross zones. It is empty if they should stay.
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

// deregister handles the end of an endpoint. It is acknowledged once enough nodes know it.
func (s *Server) deregister(r *http.Request, id string) ([]byte, error) {
	if id == "" {
		return nil, noInstanceError()
	}
	done := make(chan error, 1)
	s.queue.Do(func() {
		changes := s.registry.Deregister(s.now(), id, 0)
		if changes == nil {
			changes = []rpc.Endpoint{{ID: id, State: rpc.Gone}}
		}
		s.spreadDurably(changes, done)
	})
	return emptyAnswer(), s.await(r, done)
}
