package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"elmfold/internal/gateway/apierror"
)

// callsPath is where all calls come in. The parameter "call" names the call, "of" its subject.
const callsPath = "/v1/rpc"

// Handler serves the calls of operators and endpoints. Answers are JSON; an error is {"error": TEXT} with the status of
// its apierror.Kind.
func (s *Server) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post(callsPath, func(w http.ResponseWriter, r *http.Request) {
		defer s.metrics.followCall(r)()
		body, err := s.dispatch(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
	return mux
}

// dispatch carries out a call and returns the body of its answer.
func (s *Server) dispatch(r *http.Request) ([]byte, error) {
	receivedAt := s.options.Clock.Now()
	query := r.URL.Query()
	subject := query.Get("of")
	switch call := query.Get("call"); call {
	case "instances.heartbeat":
		return s.heartbeat(r, subject)
	case "instances.deregister":
		return s.deregister(r, subject)
	case "config.replace":
		return s.replaceConfig(r, receivedAt)
	case "config.read":
		return s.readConfig(r, receivedAt)
	case "evacuation.begin":
		return s.evacuate(r, receivedAt, subject, true)
	case "evacuation.finish":
		return s.evacuate(r, receivedAt, subject, false)
	case "core.status":
		return s.status(r)
	default:
		return nil, apierror.New(apierror.UnknownMethod, call, nil)
	}
}

// emptyAnswer is the body of an answer that says nothing more than its status.
func emptyAnswer() []byte { return []byte("{}") }

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has gone asks again elsewhere
}

func writeError(w http.ResponseWriter, err error) {
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) {
		apiErr = apierror.New(apierror.InvalidArgument, "", err)
	}
	policy := apiErr.Kind.Policy()
	if policy.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(policy.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]string{"error": apiErr.Error()})
	if err != nil {
		body = emptyAnswer() // cannot happen: a map of strings
	}
	writeJSON(w, policy.Status, body)
}

// readBody reads the body of a call whole: one that ends early is no body.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, apierror.New(apierror.InvalidArgument, "body", err)
	case int64(len(body)) > maxBytes:
		return nil, apierror.New(apierror.PayloadTooLarge, "body", nil)
	}
	return body, nil
}

// await waits for the owner's answer, unless the caller leaves or the process ends. What the owner was given goes on:
// an order is not taken back because nobody waits for its answer.
func (s *Server) await(r *http.Request, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-r.Context().Done():
		return callerLeftError()
	case <-s.queue.Stopped():
		return apierror.New(apierror.ShuttingDown, "", nil)
	}
}

// callerLeftError is the answer to a caller that has closed its connection, or its own direction of it.
func callerLeftError() error {
	return apierror.New(apierror.OutcomeUnknown, "", errors.New("the caller has left"))
}

// noQuorumError is the answer of a node that is cut off: the caller finds another one sooner than it would by waiting.
func noQuorumError() error {
	return apierror.New(apierror.Unavailable, "", errors.New("there is no contact with a majority of the voters"))
}

// describeJSON is an error of the JSON decoder without the names of Go types, which are nothing to the caller.
func describeJSON(err error, what string) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) || wrongType.Struct == "" && wrongType.Field != "" {
		return err
	}
	if wrongType.Field == "" {
		return fmt.Errorf("json: cannot unmarshal %s into %s", wrongType.Value, what)
	}
	return fmt.Errorf("json: cannot unmarshal %s into %s of %s", wrongType.Value, wrongType.Field, what)
}
