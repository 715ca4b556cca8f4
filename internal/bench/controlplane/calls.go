package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// orderOutcome of a call, as a caller of the pages takes an answer.
type orderOutcome int

const (
	unknown   orderOutcome = iota // silence, a failure, 5xx, 408, 429: it is sent again, elsewhere
	committed                     // 2xx
	refused                       // a 4xx that ends the call
	odd                           // another 4xx: it ends the call at the third
)

func orderOutcomeOf(status int, err error) orderOutcome {
	switch {
	case err != nil || status >= 500 || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests:
		return unknown
	case status/100 == 2:
		return committed
	}
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return refused
	}
	return odd
}

// answer of one call.
type answer struct {
	status int
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) orderOutcome() orderOutcome { return orderOutcomeOf(a.status, a.err) }

func (a answer) String() string {
	switch {
	case errors.Is(a.err, context.DeadlineExceeded):
		return fmt.Sprintf("silence of %.2f s", a.took.Seconds())
	case a.err != nil:
		text := a.err.Error()
		return text[strings.LastIndex(text, ": ")+1:]
	case a.orderOutcome() == committed:
		return fmt.Sprint(a.status)
	}
	return fmt.Sprintf("%d %s", a.status, bytes.TrimSpace(a.body[:min(len(a.body), 120)]))
}

// Each call has a connection of its own: a caller that gave up must not lend its connection to the next.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call is one call at one machine.
func (s *system) call(ctx context.Context, m *machine, call, of string, body []byte, patience time.Duration) answer {
	url := "http://" + m.control() + "/v1/rpc?call=" + call
	if of != "" {
		url += "&of=" + of
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	began := time.Now()
	a := func() (a answer) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return answer{err: err}
		}
		if len(body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := client.Do(req)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = resp.Body.Close() }()
		a.status = resp.StatusCode
		a.body, a.err = io.ReadAll(resp.Body)
		return a
	}()
	a.took = time.Since(began)
	if call != "config.read" || a.orderOutcome() != unknown {
		what := call
		if v, err := versionOf(body); err == nil {
			what = fmt.Sprintf("%s %d", call, v)
		} else if v, err := versionOf(a.body); err == nil {
			what = fmt.Sprintf("%s gives %d", call, v)
		}
		s.r.log("%s: %s %s: %v, %.0f ms", m.name, what, of, a, float64(a.took)/1e6)
	}
	return a
}

// drop is a call whose caller hangs up once it has sent all of it.
func (s *system) drop(m *machine, call, of string, body []byte) {
	conn, err := net.DialTimeout("tcp4", m.control(), callTimeout)
	if err == nil {
		_, err = fmt.Fprintf(
			conn,
			"POST /v1/rpc?call=%s&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			call,
			of,
			m.control(),
			len(body),
			body,
		)
		_ = conn.Close()
	}
	s.r.log("%s: %s %s: sent, and hung up: %v", m.name, call, of, err)
}

// put sends a configuration once.
func (s *system) put(ctx context.Context, m *machine, version uint32, body []byte, patience time.Duration) answer {
	s.ledger.send(version, body)
	a := s.call(ctx, m, "config.replace", "", body, patience)
	if a.orderOutcome() == committed {
		s.ledger.confirm(version, body)
	}
	return a
}

// read asks once.
func (s *system) read(ctx context.Context, m *machine, patience time.Duration) answer {
	least := s.ledger.least()
	a := s.call(ctx, m, "config.read", "", nil, patience)
	if a.orderOutcome() == committed {
		s.ledger.read(least, a.body)
	}
	return a
}

// caller is how an order goes round: another controller after each failure, with a pause that grows.
type caller struct {
	s     *system
	pause time.Duration
	at    int
	odds  int
}

const maxPause = 500 * time.Millisecond

func (s *system) caller() *caller {
	return &caller{s: s, pause: 50 * time.Millisecond, at: s.draw(64)}
}

// until calls once and again until the answer is clear or the time is over.
func (c *caller) until(ctx context.Context, end time.Time, once func(m *machine) answer) (a answer) {
	for {
		all := c.s.list()
		m := all[c.at%len(all)]
		a = once(m)
		switch a.orderOutcome() {
		case committed, refused:
			return a
		case odd:
			if c.odds++; c.odds == 3 {
				return a
			}
		case unknown: // another one may know
		}
		c.at++
		if time.Now().Add(c.pause).After(end) {
			return a
		}
		select {
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		case <-time.After(c.pause):
		}
		c.pause = min(c.pause*3/2, maxPause)
	}
}

func (s *system) next() (uint32, []byte) {
	s.mu.Lock()
	s.version += uint32(1 + s.chance.IntN(3)) // by uneven steps
	v := s.version
	s.mu.Unlock()
	return v, configuration(v, "x")
}

// maxCallLatency is how much longer than it should take an order is tried, to tell a late one from one that is
// never taken.
const maxCallLatency = 8 * time.Second

// orders sends the next configuration until it is taken, and notes how long after a trouble that was.
func (s *system) orders(after string, since time.Time, within time.Duration) error {
	version, body := s.next()
	a := s.caller().until(
		s.r.ctx,
		since.Add(within+maxCallLatency),
		func(m *machine) answer { return s.put(s.r.ctx, m, version, body, callTimeout) },
	)
	took := time.Since(since)
	switch {
	case s.r.ctx.Err() != nil:
		return s.r.ctx.Err()
	case a.orderOutcome() == refused || a.orderOutcome() == odd:
		return fmt.Errorf("after %s a valid order was refused: %v", after, a)
	case a.orderOutcome() != committed:
		s.r.measure(after, -1)
		return fmt.Errorf("after %s no order is taken within %v: %v", after, (within + maxCallLatency).Round(time.Second), a)
	case took > within:
		s.r.short("after %s an order is taken only after %.1f s, not within %v", after, took.Seconds(), within)
	}
	s.r.measure(after, took.Seconds())
	return nil
}

// readBack asks all that serve for what was confirmed, each again for a while if it has no answer.
func (s *system) readBack(what string) error {
	version, body := s.ledger.newest()
	for _, m := range s.serving() {
		if err := s.readAt(what, m, version, body, contact); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) readAt(what string, m *machine, version uint32, body []byte, within time.Duration) error {
	var a answer
	for end := time.Now().Add(within); ; {
		a = s.read(s.r.ctx, m, callTimeout)
		if a.orderOutcome() == committed {
			if v, err := versionOf(a.body); err != nil || v < version || v == version && !bytes.Equal(a.body, body) {
				return fmt.Errorf("%s: %s gives version %d where %d was confirmed", what, m.name, v, version)
			}
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %s does not give back what was confirmed within %v: %v", what, m.name, within, a)
		}
		if err := s.r.wait(100 * time.Millisecond); err != nil {
			return err
		}
	}
}

// zone sends an order on a zone until it is taken, at most for the span in which such orders are repeated.
func (s *system) zone(call, zone string) error {
	a := s.caller().until(s.r.ctx, time.Now().Add(ack), func(m *machine) answer {
		return s.call(s.r.ctx, m, call, zone, nil, callTimeout)
	})
	if a.orderOutcome() != committed {
		return fmt.Errorf("%s of zone %s is not taken: %v", call, zone, a)
	}
	return nil
}

// each runs f for all at once.
func each[T any](all []T, f func(i int, x T)) {
	var done sync.WaitGroup
	for i, x := range all {
		done.Go(func() { f(i, x) })
	}
	done.Wait()
}
