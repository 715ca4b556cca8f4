package controlplane

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
)

const (
	bodyMost = 8 << 20
	beatMost = 64 << 10
	// A caller that hears nothing goes on to another controller after a second.
	staleAfter = time.Second
	// callerPause is how long after ackS, the last moment at which an order may be given again, it may still arrive.
	callerPause = 500 * time.Millisecond
)

// Handler serves the calls of operators and backends.
func (s *Server) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/v1/rpc", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		call, of, asked := q.Get("call"), q.Get("of"), s.o.Clock.Now()
		var answer []byte
		var err error
		switch call {
		case "instances.heartbeat":
			answer, err = s.heartbeat(of, r)
		case "instances.deregister":
			answer, err = s.deregister(of)
		case "config.replace":
			answer, err = s.replace(r, asked)
		case "config.read":
			answer, err = s.read(r, asked)
		case "evacuation.begin":
			answer, err = s.evacuate(r, asked, of, true)
		case "evacuation.finish":
			answer, err = s.evacuate(r, asked, of, false)
		case "core.status":
			answer, err = s.status()
		default:
			err = apierror.New(apierror.UnknownMethod, call, nil)
		}
		s.answer(w, answer, err)
	})
	return mux
}

func (s *Server) answer(w http.ResponseWriter, body []byte, err error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if err == nil {
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return
	}
	f, ok := err.(*apierror.Error)
	if !ok {
		f = apierror.New(apierror.InvalidArgument, "", err)
	}
	rule := f.Kind.Policy()
	if rule.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(rule.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text, _ := json.Marshal(map[string]string{"error": f.Error()})
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(rule.Status)
	_, _ = w.Write(text)
}

// body reads a call's body whole: bytes that end early are no body.
func body(r *http.Request, most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	switch {
	case err != nil:
		return nil, apierror.New(apierror.InvalidArgument, "body", err)
	case int64(len(b)) > most:
		return nil, apierror.New(apierror.PayloadTooLarge, "body", nil)
	}
	return b, nil
}

type beat struct {
	Address    string `json:"address"`
	Descriptor struct {
		Service    string  `json:"service"`
		Generation string  `json:"generation"`
		Zone       string  `json:"zone"`
		Capacity   float64 `json:"capacity"`
	} `json:"descriptor"`
	Observed struct {
		State     string  `json:"state"`
		CallSeq   uint64  `json:"callSeq"`
		ColdLeftS float64 `json:"coldLeftS"`
	} `json:"observed"`
}

func (s *Server) heartbeat(id string, r *http.Request) ([]byte, error) {
	text, err := body(r, beatMost)
	if err != nil {
		return nil, err
	}
	var b beat
	if err := json.Unmarshal(text, &b); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field == "" { // the library's text names a Go type, which is nothing to the caller
			err = fmt.Errorf("json: cannot unmarshal %s into a heartbeat", kind.Value)
		}
		return nil, apierror.New(apierror.InvalidArgument, "heartbeat", err)
	}
	word := rpc.Endpoint{ID: id, Service: b.Descriptor.Service, Address: b.Address, Zone: b.Descriptor.Zone,
		Capacity: max(int(b.Descriptor.Capacity), 1), Seq: b.Observed.CallSeq, Generation: b.Descriptor.Generation,
		WarmupLeft: int(math.Ceil(max(b.Observed.ColdLeftS, 0) * 1000))}
	switch {
	case id == "":
		return nil, apierror.New(apierror.InvalidArgument, "of", fmt.Errorf("names no instance"))
	case word.Service == "" || word.Address == "":
		return nil, apierror.New(apierror.InvalidArgument, "descriptor.service, address", fmt.Errorf("is missing"))
	case b.Observed.State == "draining":
		word.State = rpc.Draining
	case b.Observed.State != "ready":
		return nil, apierror.New(apierror.InvalidArgument, "observed.state", fmt.Errorf("%q is neither ready nor draining", b.Observed.State))
	}
	done, target := make(chan error, 1), ""
	s.queue.Do(func() {
		news, _ := s.table.Heartbeat(s.now(), word)
		if word.State == rpc.Draining {
			// Every word of leaving goes to others, not only the first: it may be the repetition of one that was
			// not acknowledged because they could not be reached.
			if news == nil {
				news = []rpc.Endpoint{word}
			}
			s.spreadSure(news, done)
			return
		}
		s.spread(news)
		// It is heard here, and should be heard by others too, who are in touch: a backend keeps to one controller. While all
		// of them start nobody is, and there is nowhere to send it.
		if !s.inTouch() && (s.everTouched || s.now() > startFor) {
			done <- s.apart()
			return
		}
		target = s.beatTarget(word.Zone)
		done <- nil
	})
	if err := s.wait(done); err != nil {
		return nil, err
	}
	if target != "" {
		return json.Marshal(map[string]string{"beatTarget": target})
	}
	return []byte("{}"), nil
}

// beatTarget is where a zone's backends should beat: at the zone's own controller, so that beats do not cross zones.
func (s *Server) beatTarget(zone string) string {
	if zone == s.me.Zone {
		return ""
	}
	for _, c := range s.known() {
		if c.Zone == zone && c.ControlAddress != "" && s.peers[c.Name] != nil && s.peers[c.Name].out != nil {
			return c.ControlAddress
		}
	}
	return ""
}

func (s *Server) deregister(id string) ([]byte, error) {
	if id == "" {
		return nil, apierror.New(apierror.InvalidArgument, "of", fmt.Errorf("names no instance"))
	}
	done := make(chan error, 1)
	s.queue.Do(func() {
		news := s.table.Deregister(s.now(), id, 0)
		if news == nil {
			news = []rpc.Endpoint{{ID: id, State: rpc.Gone}}
		}
		s.spreadSure(news, done)
	})
	return []byte("{}"), s.wait(done)
}

// wait waits for the owner's word, unless the process ends.
func (s *Server) wait(done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-s.queue.Stopped():
		return apierror.New(apierror.ShuttingDown, "", nil)
	}
}

// apart is the answer of one that stands with too few others: the caller finds another sooner than it would by waiting.
func (s *Server) apart() error {
	return apierror.New(apierror.Unavailable, "", errors.New("there is no contact with a majority of the voters"))
}

// ask puts a question to the replica and waits. What cannot be begun is said at once: it was not done and will not be.
// Of what was begun and got no answer nothing is known.
func (s *Server) ask(r *http.Request, asked time.Time, event func(token uint64) consensus.Event) (consensus.RequestDone, error) {
	done := make(chan consensus.RequestDone, 1)
	failed := make(chan error, 1)
	s.queue.Do(func() {
		switch {
		case s.leaving:
			failed <- apierror.New(apierror.ShuttingDown, "", nil)
		case !s.inTouch():
			failed <- s.apart()
		case s.now() < s.doubtTill:
			failed <- apierror.New(apierror.Unavailable, "", errors.New("this process was frozen just now"))
		case s.o.Clock.Now().Sub(asked) > staleAfter || r.Context().Err() != nil:
			// Guards against an order being taken after its caller gave it again elsewhere, and others followed it.
			failed <- apierror.New(apierror.Unavailable, "", errors.New("it has waited for too long"))
		default:
			s.token++
			s.waiting[s.token] = done
			s.step(event(s.token))
		}
	})
	select {
	case d := <-done:
		switch d.Outcome {
		case consensus.Committed:
			return d, nil
		case consensus.Conflict:
			return d, apierror.New(apierror.VersionConflict, "generation", nil)
		case consensus.Aborted:
			return d, apierror.New(apierror.Unavailable, "", nil)
		}
		return d, apierror.New(apierror.OutcomeUnknown, "", nil)
	case err := <-failed:
		return consensus.RequestDone{}, err
	case <-s.queue.Stopped():
		return consensus.RequestDone{}, apierror.New(apierror.OutcomeUnknown, "", nil)
	case <-s.o.Clock.After(consensus.RequestTimeout + time.Second):
		return consensus.RequestDone{}, apierror.New(apierror.OutcomeUnknown, "", nil)
	}
}

func (s *Server) replace(r *http.Request, asked time.Time) ([]byte, error) {
	text, err := body(r, bodyMost)
	if err != nil {
		return nil, err
	}
	c, err := routeconfig.Parse(text)
	if err != nil {
		return nil, err
	}
	_, err = s.ask(r, asked, func(token uint64) consensus.Event {
		return consensus.Propose{RequestID: token, Register: charterName,
			Change: consensus.ReplaceConfig(uint64(c.Version), c.Digest, bytes.Clone(text))}
	})
	return []byte("{}"), err
}

func (s *Server) read(r *http.Request, asked time.Time) ([]byte, error) {
	d, err := s.ask(r, asked, func(token uint64) consensus.Event { return consensus.ReadRequest{RequestID: token, Register: charterName} })
	if err == nil && d.Version == (consensus.Version{}) {
		err = apierror.New(apierror.Unavailable, "", errors.New("there is no configuration yet"))
	}
	return d.Value, err
}

func (s *Server) evacuate(r *http.Request, asked time.Time, zone string, begins bool) ([]byte, error) {
	if _, known := s.o.Settings.Zones[zone]; !known {
		return nil, apierror.New(apierror.InvalidArgument, "of", fmt.Errorf("%q is no zone", zone))
	}
	at, within := uint64(s.o.TimeOfDay().UnixMilli()), s.o.Settings.Bounds.Ack.Duration()+callerPause
	_, err := s.ask(r, asked, func(token uint64) consensus.Event {
		return consensus.Propose{RequestID: token, Register: zonePrefix + zone, Change: consensus.Evacuate(begins, rand.Uint64(), within, at)}
	})
	return []byte("{}"), err
}
