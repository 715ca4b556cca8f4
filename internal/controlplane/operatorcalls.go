package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
)

const (
	maxConfigBytes = 8 << 20
	// maxQueueDelay is how long a request may wait for the owner. Clients that get no response within a second retry at
	// another node.
	maxQueueDelay = time.Second
	// proposalTimeout bounds the wait for the replica, which normally reports an outcome within RequestTimeout.
	proposalTimeout = consensus.RequestTimeout + time.Second
	// retryArrivalSlack is how long a retry may take to arrive. Clients send the last retry of an order within the bound
	// ackS.
	retryArrivalSlack = 500 * time.Millisecond
)

// replaceConfig replaces the configuration. It returns once the new one is committed.
func (s *Server) replaceConfig(r *http.Request, receivedAt time.Time) ([]byte, error) {
	body, err := readBody(r, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	config, err := routeconfig.Parse(body)
	if err != nil {
		return nil, err
	}
	change := consensus.ReplaceConfig(uint64(config.Version), config.Digest, body)
	_, err = s.request(r, receivedAt, func(id uint64) consensus.Event {
		return consensus.Propose{RequestID: id, Register: configRegister, Change: change}
	})
	return emptyBody(), err
}

// readConfig returns the committed configuration.
func (s *Server) readConfig(r *http.Request, receivedAt time.Time) ([]byte, error) {
	committed, err := s.request(r, receivedAt, func(id uint64) consensus.Event {
		return consensus.ReadRequest{RequestID: id, Register: configRegister}
	})
	if err != nil {
		return nil, err
	}
	if committed.Version == (consensus.Version{}) {
		return nil, apierror.New(apierror.Unavailable, "", errors.New("there is no configuration yet"))
	}
	return committed.Value, nil
}

// evacuate begins or finishes the evacuation of a zone.
func (s *Server) evacuate(r *http.Request, receivedAt time.Time, zone string, begin bool) ([]byte, error) {
	if _, known := s.options.Settings.Zones[zone]; !known {
		return nil, apierror.New(apierror.InvalidArgument, "of", fmt.Errorf("%q is no zone", zone))
	}
	timeOfDay := uint64(s.options.TimeOfDay().UnixMilli())
	retryWindow := s.options.Settings.Bounds.Ack.Duration() + retryArrivalSlack
	orderID := rand.Uint64()
	lowerBound := sentAfter(r)
	sentWithin := func() time.Duration { return s.options.Clock.Now().Sub(lowerBound) }
	change := consensus.Evacuate(begin, orderID, retryWindow, timeOfDay, sentWithin)
	committed, err := s.request(r, receivedAt, func(id uint64) consensus.Event {
		return consensus.Propose{RequestID: id, Register: zoneRegisterPrefix + zone, Change: change}
	})
	log := s.log.With(logfield.Zone, zone, logfield.EvacuationBegin, begin, logfield.SentWithin, sentWithin())
	switch {
	case errors.Is(err, errPossibleDuplicate):
		log.Warn("evacuation order refused: it may be a late copy of an earlier one")
	case err != nil:
	case consensus.HasAppliedEvacuation(committed.Value, orderID):
		log.Info("evacuation order applied")
	default:
		// Calls do not identify the operator, so an equal order of another operator looks like a retry.
		log.Warn("evacuation order treated as a retry of the previous one")
	}
	return emptyBody(), err
}

// request passes a request to the replica and waits for its outcome. A request that is not admitted fails at once and
// has no effect. The outcome of an admitted request that gets no result in time is unknown.
func (s *Server) request(r *http.Request, receivedAt time.Time,
	event func(id uint64) consensus.Event) (consensus.Register, error) {
	done := make(chan consensus.RequestDone, 1)
	rejected := make(chan error, 1)
	s.queue.Do(func() {
		if err := s.admissionError(r, receivedAt); err != nil {
			rejected <- err
			return
		}
		s.lastRequestID++
		s.requests[s.lastRequestID] = done
		s.step(event(s.lastRequestID))
	})
	select {
	case d := <-done:
		return d.Register, outcomeError(d.Outcome)
	case err := <-rejected:
		return consensus.Register{}, err
	case <-r.Context().Done():
		return consensus.Register{}, clientDisconnectedError()
	case <-s.queue.Stopped():
	case <-s.options.Clock.After(proposalTimeout):
	}
	return consensus.Register{}, outcomeError(consensus.Indeterminate)
}

// admissionError returns why a request cannot be started, or nil if it can.
func (s *Server) admissionError(r *http.Request, receivedAt time.Time) error {
	waited := s.options.Clock.Now().Sub(receivedAt)
	switch {
	case s.shuttingDown:
		return apierror.New(apierror.ShuttingDown, "", nil)
	case !s.hasQuorumNow():
		return noQuorumError()
	case s.inputMayBeOutdated():
		return suspendedError()
	case waited > maxQueueDelay || r.Context().Err() != nil:
		// The client may have retried at another node by now. Committing the order late could undo newer ones.
		return apierror.New(apierror.Unavailable, "", errors.New("the request was queued for too long"))
	}
	return nil
}

// errPossibleDuplicate is the cause of the error of a request that may be a late copy of an earlier one.
var errPossibleDuplicate = errors.New("this may be a late copy of an order before the last one; send it again")

func outcomeError(outcome consensus.Outcome) error {
	switch outcome {
	case consensus.Committed:
		return nil
	case consensus.Conflict:
		return apierror.New(apierror.VersionConflict, "generation", nil)
	case consensus.Aborted:
		return apierror.New(apierror.Unavailable, "", nil)
	case consensus.PossibleDuplicate:
		return apierror.New(apierror.Unavailable, "", errPossibleDuplicate)
	case consensus.Indeterminate:
	}
	return apierror.New(apierror.OutcomeUnknown, "", nil)
}

// status returns the state of the control plane as this node sees it. It also works without quorum contact.
func (s *Server) status(r *http.Request) ([]byte, error) {
	status := make(chan cli.Status, 1)
	done := make(chan error, 1)
	s.queue.Do(func() {
		status <- cli.Status{
			Status:    s.replica.Status(s.now()),
			Evacuated: slices.Sorted(maps.Keys(s.evacuatedZones())),
			Shards:    s.sharding.status(),
		}
		done <- nil
	})
	if err := s.awaitOwner(r, done); err != nil {
		return nil, err
	}
	return json.Marshal(<-status)
}
