package counsel

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

	"elmfold/accord"
	"elmfold/charter"
	"elmfold/fault"
	"elmfold/parley"
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
			err = fault.New(fault.UnknownCall, call, nil)
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
	f, ok := err.(*fault.Fault)
	if !ok {
		f = fault.New(fault.Invalid, "", err)
	}
	rule := f.Kind.Rule()
	if rule.After > 0 {
		h.Set("Retry-After", strconv.FormatFloat(rule.After.Seconds(), 'f', 3, 64))
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
		return nil, fault.New(fault.Invalid, "body", err)
	case int64(len(b)) > most:
		return nil, fault.New(fault.OverCapacity, "body", nil)
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
		return nil, fault.New(fault.Invalid, "heartbeat", err)
	}
	word := parley.Backend{ID: id, Service: b.Descriptor.Service, Address: b.Address, Zone: b.Descriptor.Zone,
		Capacity: max(int(b.Descriptor.Capacity), 1), Seq: b.Observed.CallSeq, Gen: b.Descriptor.Generation,
		ColdLeft: int(math.Ceil(max(b.Observed.ColdLeftS, 0) * 1000))}
	switch {
	case id == "":
		return nil, fault.New(fault.Invalid, "of", fmt.Errorf("names no instance"))
	case word.Service == "" || word.Address == "":
		return nil, fault.New(fault.Invalid, "descriptor.service, address", fmt.Errorf("is missing"))
	case b.Observed.State == "draining":
		word.State = parley.Draining
	case b.Observed.State != "ready":
		return nil, fault.New(fault.Invalid, "observed.state", fmt.Errorf("%q is neither ready nor draining", b.Observed.State))
	}
	done, target := make(chan error, 1), ""
	s.queue.Do(func() {
		news, _ := s.table.Beat(s.now(), word)
		if word.State == parley.Draining {
			// Every word of leaving goes to others, not only the first: it may be the repetition of one that was
			// not acknowledged because they could not be reached.
			if news == nil {
				news = []parley.Backend{word}
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
		if c.Zone == zone && c.Control != "" && s.peers[c.Name] != nil && s.peers[c.Name].out != nil {
			return c.Control
		}
	}
	return ""
}

func (s *Server) deregister(id string) ([]byte, error) {
	if id == "" {
		return nil, fault.New(fault.Invalid, "of", fmt.Errorf("names no instance"))
	}
	done := make(chan error, 1)
	s.queue.Do(func() {
		news := s.table.Leave(s.now(), id, 0)
		if news == nil {
			news = []parley.Backend{{ID: id, State: parley.Gone}}
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
		return fault.New(fault.Stopping, "", nil)
	}
}

// apart is the answer of one that stands with too few others: the caller finds another sooner than it would by waiting.
func (s *Server) apart() error {
	return fault.New(fault.NotYet, "", errors.New("there is no contact with a majority of the voters"))
}

// ask puts a question to the replica and waits. What cannot be begun is said at once: it was not done and will not be.
// Of what was begun and got no answer nothing is known.
func (s *Server) ask(r *http.Request, asked time.Time, event func(token uint64) accord.Event) (accord.Done, error) {
	done := make(chan accord.Done, 1)
	failed := make(chan error, 1)
	s.queue.Do(func() {
		switch {
		case s.leaving:
			failed <- fault.New(fault.Stopping, "", nil)
		case !s.inTouch():
			failed <- s.apart()
		case s.now() < s.doubtTill:
			failed <- fault.New(fault.NotYet, "", errors.New("this process was frozen just now"))
		case s.o.Clock.Now().Sub(asked) > staleAfter || r.Context().Err() != nil:
			// Guards against an order being taken after its caller gave it again elsewhere, and others followed it.
			failed <- fault.New(fault.NotYet, "", errors.New("it has waited for too long"))
		default:
			s.token++
			s.waiting[s.token] = done
			s.step(event(s.token))
		}
	})
	select {
	case d := <-done:
		switch d.Fate {
		case accord.Taken:
			return d, nil
		case accord.Refused:
			return d, fault.New(fault.Conflict, "generation", nil)
		case accord.Untaken:
			return d, fault.New(fault.NotYet, "", nil)
		}
		return d, fault.New(fault.Open, "", nil)
	case err := <-failed:
		return accord.Done{}, err
	case <-s.queue.Stopped():
		return accord.Done{}, fault.New(fault.Open, "", nil)
	case <-s.o.Clock.After(accord.WriteWithin + time.Second):
		return accord.Done{}, fault.New(fault.Open, "", nil)
	}
}

func (s *Server) replace(r *http.Request, asked time.Time) ([]byte, error) {
	text, err := body(r, bodyMost)
	if err != nil {
		return nil, err
	}
	c, err := charter.Read(text)
	if err != nil {
		return nil, err
	}
	_, err = s.ask(r, asked, func(token uint64) accord.Event {
		return accord.Change{Token: token, Name: charterName,
			Apply: accord.Replace(uint64(c.Version), c.Digest, bytes.Clone(text))}
	})
	return []byte("{}"), err
}

func (s *Server) read(r *http.Request, asked time.Time) ([]byte, error) {
	d, err := s.ask(r, asked, func(token uint64) accord.Event { return accord.Read{Token: token, Name: charterName} })
	if err == nil && d.Stamp == (accord.Stamp{}) {
		err = fault.New(fault.NotYet, "", errors.New("there is no configuration yet"))
	}
	return d.Value, err
}

func (s *Server) evacuate(r *http.Request, asked time.Time, zone string, begins bool) ([]byte, error) {
	if _, known := s.o.Settings.Zones[zone]; !known {
		return nil, fault.New(fault.Invalid, "of", fmt.Errorf("%q is no zone", zone))
	}
	at, within := uint64(s.o.TimeOfDay().UnixMilli()), s.o.Settings.Bounds.Ack.Span()+callerPause
	_, err := s.ask(r, asked, func(token uint64) accord.Event {
		return accord.Change{Token: token, Name: zonePrefix + zone, Apply: accord.Evacuate(begins, rand.Uint64(), within, at)}
	})
	return []byte("{}"), err
}
