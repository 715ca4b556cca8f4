package simulation

import (
	"math/rand/v2"
	"time"
)

// Clients that leave before their answer, and the rule that holds for their requests.

const (
	// minStay and maxStay are how long after its request a client leaves.
	minStay = 20 * time.Millisecond
	maxStay = 500 * time.Millisecond
	// departureLimit is how long after its client has left a request may still arrive, or be worked on if it may be
	// repeated.
	departureLimit = 500 * time.Millisecond
	// longSuffix ends the target of a request that takes seconds of work, so that whether it goes on shows.
	longSuffix = "-long"
)

// unread is what a client leaves unread behind its request.
type unread int

const (
	nothingUnread unread = iota
	fullRequest
	halfRequest
	unreadKinds
)

// departing reports whether the client of a request leaves before its answer. A flow without such clients draws
// nothing.
func (f *Flow) departing(r *rand.Rand) bool { return f.Departing > 0 && r.Float64() < f.Departing }

// depart sends a request from a connection of its own and closes that a while later, whatever has come by then.
func (c *clients) depart(f Flow, path string, r *rand.Rand) {
	w := c.w
	hash, behind := r.Uint64(), unread(r.IntN(int(unreadKinds)))
	stay := minStay + time.Duration(r.Int64N(int64(maxStay-minStay)))
	body := f.body()
	path += longSuffix
	carriers := w.proxiesFor(c.zone, hash)
	if len(carriers) == 0 {
		return
	}
	m := carriers[0]
	k := c.connect(m, false)
	if k == nil {
		return
	}
	deadline := time.Now().Add(f.Deadline)
	_ = k.SetDeadline(deadline)
	var all []*Attempt
	send := func(path string) {
		t, _ := c.send(k, f, m, path, body, deadline, r) // a proxy that has ended first is no matter here
		all = append(all, t)
	}
	send(path)
	switch behind {
	case fullRequest:
		time.Sleep(minStay / 2) // in a segment of its own
		send(path)
	case halfRequest:
		_, _ = k.Write([]byte(f.Method + " " + f.Prefix))
	case nothingUnread, unreadKinds:
	}
	time.Sleep(stay)
	_ = k.Close()
	w.Ledger.do(func() {
		for _, t := range all {
			t.DepartedAt, t.End, t.GaveUp = w.Now(), w.Now(), true
		}
	})
}

// departures: GONE. It is stricter than the operators' rule, which lets a quarter pass.
func (l *Ledger) departures(out *breaches) {
	for _, t := range l.Tries {
		limit := t.DepartedAt + departureLimit
		if t.DepartedAt == 0 || !l.calm(t.Proxy, t.At-l.Bounds.Contact.Duration(), limit) {
			continue
		}
		for _, a := range t.Arrivals {
			switch {
			case a.At > limit:
				out.add("GONE", a.At, "%s reached %s by %s %.3f s after its client had left", t.ID, a.Backend, t.Proxy,
					(a.At - t.DepartedAt).Seconds())
			case a.Outcome == Ran && t.Safe && (a.End == 0 || a.End > limit):
				out.add("GONE", limit, "%s is still worked on at %s, sent by %s", t.ID, a.Backend, t.Proxy)
			// Not one that is ended at the end of its own time, as it would be for a client that stays.
			case a.Outcome == Ran && !t.Safe && a.Severed && a.End > t.DepartedAt && a.End < t.At+t.Timeout &&
				l.untroubled(t.Proxy, t.At-l.Bounds.Contact.Duration(), a.End): // no process ended with it
				out.add("GONE", a.End, "%s may run once only, and was broken off at %s as its client left: sent %v, arrived %v, "+
					"left %v, its time ends %v", t.ID, a.Backend, t.At, a.At, t.DepartedAt, t.At+t.Timeout)
			}
		}
	}
}

// Finish notes the end of a run. severed: its connection ended first.
func (l *Ledger) Finish(id, backend string, at time.Duration, severed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		return
	}
	for i := range t.Arrivals {
		if a := &t.Arrivals[i]; a.Backend == backend && a.Outcome == Ran && a.End == 0 {
			a.End, a.Severed = at, severed
		}
	}
}

// endsWithin waits for the end of a connection, and reports whether it came within a span, or gone was closed.
func (e *end) endsWithin(span time.Duration, gone <-chan struct{}) bool {
	until := time.Now().Add(span)
	for {
		e.n.mu.Lock()
		now, next, ended := time.Now(), until, e.closed || e.err != nil
		for _, s := range e.in {
			if s.kind == data || s.at.Equal(never) {
				continue
			}
			ended = ended || !s.at.After(now)
			if s.at.After(now) && s.at.Before(next) {
				next = s.at
			}
		}
		wake := e.woken()
		e.n.mu.Unlock()
		if ended || !now.Before(until) {
			return ended
		}
		t := time.NewTimer(next.Sub(now))
		select {
		case <-wake:
		case <-t.C:
		case <-gone:
			t.Stop()
			return true
		}
		t.Stop()
	}
}
