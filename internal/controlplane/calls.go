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

// callsPath is the path of all calls. The query parameter "call" names the call, and "of" the object it applies to.
const callsPath = "/v1/rpc"

// Handler serves the calls of operators and endpoints. Response bodies are JSON; an error is {"error": TEXT} with the
// status of its apierror.Kind.
func (s *Server) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post(callsPath, func(w http.ResponseWriter, r *http.Request) {
		defer s.metrics.trackCall(r)()
		body, err := s.dispatch(r)
		s.beforeResponse(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
	return mux
}

// dispatch executes a call and returns the response body.
func (s *Server) dispatch(r *http.Request) ([]byte, error) {
	receivedAt := s.options.Clock.Now()
	query := r.URL.Query()
	object := query.Get("of")
	switch call := query.Get("call"); call {
	case "instances.heartbeat":
		return s.handleHeartbeat(r, object)
	case "instances.deregister":
		return s.handleDeregister(r, object)
	case "config.replace":
		return s.replaceConfig(r, receivedAt)
	case "config.read":
		return s.readConfig(r, receivedAt)
	case "evacuation.begin":
		return s.evacuate(r, receivedAt, object, true)
	case "evacuation.finish":
		return s.evacuate(r, receivedAt, object, false)
	case "core.status":
		return s.status(r)
	default:
		return nil, apierror.New(apierror.UnknownMethod, call, nil)
	}
}

// emptyBody is the body of a response whose only information is its status.
func emptyBody() []byte { return []byte("{}") }

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that is gone retries at another node
}

func writeError(w http.ResponseWriter, err error) {
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) {
		apiErr = apierror.New(apierror.InvalidArgument, "", err)
	}
	policy := apiErr.Kind.Policy()
	if errors.Is(err, errPossibleDuplicate) {
		w.Header().Set("Connection", "close") // a retry on a new connection was sent later
	}
	if policy.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(policy.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]string{"error": apiErr.Error()})
	if err != nil {
		body = emptyBody() // unreachable: a map of strings always encodes
	}
	writeJSON(w, policy.Status, body)
}

// readBody reads the whole body of a call. A body that ends early is an error.
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

// awaitOwner waits until the owner sends a result on done, the client disconnects, or the server stops. The owner
// completes its command in any case: a disconnect cancels nothing.
func (s *Server) awaitOwner(r *http.Request, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-r.Context().Done():
		return clientDisconnectedError()
	case <-s.queue.Stopped():
		return apierror.New(apierror.ShuttingDown, "", nil)
	}
}

// clientDisconnectedError is the response to a client that has closed its connection, or its sending side.
func clientDisconnectedError() error {
	return apierror.New(apierror.OutcomeUnknown, "", errors.New("the client closed its connection"))
}

// noQuorumError is the response of a node without quorum contact, so that the client turns to another node at once.
func noQuorumError() error {
	return apierror.New(apierror.Unavailable, "", errors.New("there is no contact with a majority of the voters"))
}

// suspendedError is the response to a call that may have been sent long ago, because this process was suspended.
func suspendedError() error {
	return apierror.New(apierror.Unavailable, "", errors.New("this process was suspended until just now"))
}

// withoutGoTypes replaces the names of Go types in an error of the JSON decoder by target, which describes the decoded
// value.
func withoutGoTypes(err error, target string) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) || wrongType.Struct == "" && wrongType.Field != "" {
		return err
	}
	if wrongType.Field == "" {
		return fmt.Errorf("json: cannot unmarshal %s into %s", wrongType.Value, target)
	}
	return fmt.Errorf("json: cannot unmarshal %s into %s of %s", wrongType.Value, wrongType.Field, target)
}
