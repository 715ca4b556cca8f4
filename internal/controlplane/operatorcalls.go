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
	// maxQueueDelay is how long a call may wait for the owner. A caller that hears nothing goes on to another node after
	// a second.
	maxQueueDelay = time.Second
	// proposalTimeout is when a call is answered though the replica has said nothing, which it does earlier.
	proposalTimeout = consensus.RequestTimeout + time.Second
	// repeatSlack is how long after the bound ackS, the last moment at which an order may be repeated, it may still
	// arrive.
	repeatSlack = 500 * time.Millisecond
)

// replaceConfig replaces the configuration. The answer is given once it is committed.
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
	return emptyAnswer(), err
}

// readConfig answers with the body of the committed configuration.
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
	repeatWindow := s.options.Settings.Bounds.Ack.Duration() + repeatSlack
	orderID := rand.Uint64()
	change := consensus.Evacuate(begin, orderID, repeatWindow, timeOfDay)
	committed, err := s.request(r, receivedAt, func(id uint64) consensus.Event {
		return consensus.Propose{RequestID: id, Register: zoneRegisterPrefix + zone, Change: change}
	})
	if err == nil && !consensus.HasAppliedEvacuation(committed.Value, orderID) {
		// Nothing in a call says who gives the order, so that another operator's cannot be told from a repetition.
		s.log.Warn("evacuation order taken for a repetition of the last one", logfield.Zone, zone, logfield.Begin, begin)
	}
	return emptyAnswer(), err
}

// request gives a request to the replica and waits for its outcome. What cannot be begun is refused at once: it was not
// done and will not be. Of what was begun and got no answer the outcome is unknown.
func (s *Server) request(r *http.Request, receivedAt time.Time,
	event func(id uint64) consensus.Event) (consensus.Register, error) {
	done := make(chan consensus.RequestDone, 1)
	refused := make(chan error, 1)
	s.queue.Do(func() {
		if err := s.refusal(r, receivedAt); err != nil {
			refused <- err
			return
		}
		s.lastRequestID++
		s.requests[s.lastRequestID] = done
		s.step(event(s.lastRequestID))
	})
	select {
	case d := <-done:
		return d.Register, outcomeError(d.Outcome)
	case err := <-refused:
		return consensus.Register{}, err
	case <-r.Context().Done():
		return consensus.Register{}, callerLeftError()
	case <-s.queue.Stopped():
	case <-s.options.Clock.After(proposalTimeout):
	}
	return consensus.Register{}, outcomeError(consensus.Indeterminate)
}

// refusal says why a request is not begun; nil: it is.
func (s *Server) refusal(r *http.Request, receivedAt time.Time) error {
	waited := s.options.Clock.Now().Sub(receivedAt)
	switch {
	case s.shuttingDown:
		return apierror.New(apierror.ShuttingDown, "", nil)
	case !s.hasQuorumNow():
		return noQuorumError()
	case s.now() < s.distrustEnd:
		return apierror.New(apierror.Unavailable, "", errors.New("this process was frozen just now"))
	case waited > maxQueueDelay || r.Context().Err() != nil:
		// An order must not be committed after its caller gave it again elsewhere, and others followed it.
		return apierror.New(apierror.Unavailable, "", errors.New("it has waited for too long"))
	}
	return nil
}

func outcomeError(outcome consensus.Outcome) error {
	switch outcome {
	case consensus.Committed:
		return nil
	case consensus.Conflict:
		return apierror.New(apierror.VersionConflict, "generation", nil)
	case consensus.Aborted:
		return apierror.New(apierror.Unavailable, "", nil)
	case consensus.Indeterminate:
	}
	return apierror.New(apierror.OutcomeUnknown, "", nil)
}

// status tells how the control plane stands as this node sees it, also without quorum contact: then it says so.
func (s *Server) status(r *http.Request) ([]byte, error) {
	answer := make(chan cli.Status, 1)
	done := make(chan error, 1)
	s.queue.Do(func() {
		answer <- cli.Status{
			Status:    s.replica.Status(s.now()),
			Evacuated: slices.Sorted(maps.Keys(s.evacuatedZones())),
		}
		done <- nil
	})
	if err := s.await(r, done); err != nil {
		return nil, err
	}
	return json.Marshal(<-answer)
}
