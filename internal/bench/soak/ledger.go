package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// run is one execution of a request at a backend.
type run struct {
	backend          string
	begunAt, endedAt time.Time // endedAt zero: it goes on
	severed          bool      // it ended with its connection
}

// request is one of a client.
type request struct {
	id, proxy          string
	route              int
	key                uint16 // on keyedRoute
	safe               bool
	sentAt, departedAt time.Time // departedAt zero: the client stayed
	status             int       // of the answer; 0: none came
	isOwn              bool      // the answer is whole, and of this request
	runs               []run
}

// span is a time in which something was wrong with a process, or with the way to a backend.
type span struct {
	subject      string // the name of a process, or the id of a backend
	from, to     time.Time
	isSuspension bool // the process stood still, and went on as if nothing had been
}

// ledger is all that was seen. It is safe for concurrent use.
type ledger struct {
	mu          sync.Mutex
	requests    map[string]*request
	faults      []span
	now         int // faults that last
	overlapping int
	others      []string          // violations that were seen as they were
	unknown     int               // runs of ids that no client sent
	zones       map[string]string // of backends, by id
	evacuations []evacuation
}

// evacuation is a time in which no request may begin in a zone, by machines in touch.
type evacuation struct {
	zone     string
	from, to time.Time
}

func newLedger() *ledger { return &ledger{requests: map[string]*request{}, zones: map[string]string{}} }

func (l *ledger) do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *ledger) newRequest(r *rand.Rand, proxy string, route int) *request {
	q := &request{id: fmt.Sprintf("%016x", r.Uint64()), proxy: proxy, route: route, key: uint16(r.Uint32()),
		safe: route == safeRoute, sentAt: time.Now()}
	l.do(func() { l.requests[q.id] = q })
	return q
}

// beginFault notes the beginning of a fault; the function ends it. What it harmed is held to nothing for a while
// after that.
// thawSlack is the time after the end of a fault on the way to a backend in which grants that arrive there do not
// count: the way hands on what it kept back.
const thawSlack = 300 * time.Millisecond

// hasJustHealed reports whether a fault on the way to a backend lasts, or has ended within thawSlack.
func (l *ledger) hasJustHealed(backend string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(l.faults, func(s span) bool {
		return s.subject == backend && now.Before(s.to.Add(thawSlack-recoverySlack))
	})
}

func (l *ledger) beginFault(subject string, slack time.Duration) (end func()) {
	return l.begin(span{subject: subject, from: time.Now()}, slack)
}

func (l *ledger) beginSuspension(subject string, slack time.Duration) (end func()) {
	return l.begin(span{subject: subject, from: time.Now(), isSuspension: true}, slack)
}

func (l *ledger) begin(s span, slack time.Duration) (end func()) {
	s.to = s.from.Add(time.Hour)
	l.do(func() {
		if l.now > 0 {
			l.overlapping++
		}
		l.now++
		l.faults = append(l.faults, s)
	})
	return func() {
		l.do(func() {
			l.now--
			for i := range l.faults {
				if l.faults[i].subject == s.subject && l.faults[i].from.Equal(s.from) {
					l.faults[i].to = time.Now().Add(slack)
				}
			}
		})
	}
}

// violated notes what was seen to be wrong as it was.
func (l *ledger) violated(format string, v ...any) {
	l.do(func() { l.others = append(l.others, fmt.Sprintf(format, v...)) })
}

// RunBegun implements gateway.Observer.
func (l *ledger) RunBegun(backend, attemptID string) {
	l.do(func() {
		if q := l.requests[attemptID]; q != nil {
			q.runs = append(q.runs, run{backend: backend, begunAt: time.Now()})
		} else {
			l.unknown++
		}
	})
}

// RunEnded implements gateway.Observer.
func (l *ledger) RunEnded(backend, attemptID string, severed bool) {
	l.do(func() {
		q := l.requests[attemptID]
		if q == nil {
			return
		}
		for i := range q.runs {
			if r := &q.runs[i]; r.backend == backend && r.endedAt.IsZero() {
				r.endedAt, r.severed = time.Now(), severed
				return
			}
		}
	})
}
