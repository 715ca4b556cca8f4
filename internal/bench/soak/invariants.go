package soak

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"time"
)

const (
	// departureLimit is how long after its client has left work may go on. It is a quarter of longWork, and twice the
	// operators' half second, so that a busy machine gives the same verdict.
	departureLimit = time.Second
	longWork       = 4 * time.Second
	// onceWork is that of a request which may run once only and goes on without its client.
	onceWork = 1500 * time.Millisecond
	// goroutineSlack is how many more goroutines a proxy at rest may have than before the first request: connections
	// to endpoints and their checks.
	goroutineSlack = 40
	// evacuationTime and contactTime are the bounds evacuateS and contactS of the settings.
	evacuationTime = 5 * time.Second
	contactTime    = 3 * time.Second
)

// Figures of a proxy that count violations.
var violationFigures = []string{"elmfold_overdue_requests_total", "elmfold_late_attempts_total"}

// Figures of a proxy that are 0 when nobody asks for anything.
var figuresAtRest = []string{"elmfold_attempts_in_flight", "elmfold_client_connections", "elmfold_read_ahead_bytes"}

// check holds all that was seen against the invariants.
func (l *ledger) check() (o outcome) {
	var unknown int
	l.do(func() {
		o.faults, o.overlapping, o.violations, unknown = len(l.faults), l.overlapping, slices.Clone(l.others), l.unknown
	})
	if unknown > 0 {
		o.violations = append(o.violations, "UNASKED: runs of ids that no client sent")
	}
	l.do(func() {
		for _, q := range l.requests {
			o.requests++
			if !q.departedAt.IsZero() {
				o.departed++
			}
			for _, r := range q.runs {
				o.runs++
				if r.severed {
					o.severed++
				}
			}
			o.violations = append(o.violations, l.checkAnswer(q)...)
			o.violations = append(o.violations, l.checkDeparture(q)...)
			o.violations = append(o.violations, l.checkEvacuations(q)...)
		}
	})
	sort.Strings(o.violations)
	return o
}

// checkAnswer holds at any time, whatever was wrong.
func (l *ledger) checkAnswer(q *request) (violations []string) {
	if !q.safe && len(q.runs) > 1 {
		violations = append(violations, "TWICE: "+q.id+" may run once only and ran more often")
	}
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		if !q.safe && len(q.runs) > 0 {
			violations = append(violations, "REFUSED: "+q.id+" was refused and ran")
		}
	case http.StatusOK:
		if !q.isOwn {
			violations = append(violations, "MIXED: "+q.id+" has a success that is not its own")
		}
	}
	return violations
}

// checkDeparture holds where nothing was wrong with the proxy and the way to the backend.
func (l *ledger) checkDeparture(q *request) (violations []string) {
	if q.departedAt.IsZero() {
		return nil
	}
	limit := q.departedAt.Add(departureLimit)
	for _, r := range q.runs {
		until := limit
		if r.endedAt.After(until) {
			until = r.endedAt
		}
		worst := max(l.worst(q.proxy, q.sentAt, until), l.worst(r.backend, q.sentAt, until))
		switch {
		case worst <= suspended && r.begunAt.After(limit): // also where the proxy stood still meanwhile
			violations = append(violations, "GONE: "+q.id+" reached "+r.backend+" by "+q.proxy+" after its client had left")
		case worst > unharmed:
		case q.safe && (r.endedAt.IsZero() || r.endedAt.After(limit)):
			violations = append(violations, "GONE: "+q.id+" was worked on at "+r.backend+" by "+q.proxy+" for nobody")
		case !q.safe && r.severed && r.endedAt.After(q.departedAt):
			violations = append(violations, "CUT: "+q.id+" may run once only and was broken off by "+q.proxy)
		}
	}
	return violations
}

// checkEvacuations holds for a proxy that nothing has befallen for contactTime. Nothing befalls control-plane nodes
// during an evacuation.
func (l *ledger) checkEvacuations(q *request) (violations []string) {
	for _, r := range q.runs {
		for _, e := range l.evacuations {
			isWithin := l.zones[r.backend] == e.zone && r.begunAt.After(e.from) && r.begunAt.Before(e.to)
			if isWithin && l.worst(q.proxy, r.begunAt.Add(-contactTime), r.begunAt) == unharmed {
				violations = append(violations, "EVAC: "+q.id+" reached "+r.backend+" in the evacuated zone "+e.zone)
			}
		}
	}
	return violations
}

// harm is how bad what befell a subject was.
type harm int

const (
	unharmed harm = iota
	suspended
	faulty
)

// worst is the worst that befell a subject in a time; the lock is held.
func (l *ledger) worst(subject string, from, to time.Time) (worst harm) {
	for _, s := range l.faults {
		switch {
		case s.subject != subject || !s.from.Before(to) || !s.to.After(from):
		case s.isSuspension:
			worst = max(worst, suspended)
		default:
			worst = faulty
		}
	}
	return worst
}

// sample looks at the violations that proxies count themselves, which are lost with their processes.
func (w *world) sample(ctx context.Context) {
	for _, p := range w.deployment.Carriers {
		within, cancel := context.WithTimeout(ctx, sampleEvery)
		figures, err := p.Metrics(within)
		cancel()
		if err != nil {
			continue // it is down, or suspended
		}
		for _, name := range violationFigures {
			if n, there := figures[name]; n != 0 || !there {
				w.ledger.violated("%s says %s %d", p.Name, name, n)
			}
		}
	}
}

// checkAtRest looks at what is left in proxies when nobody asks for anything any more.
func (w *world) checkAtRest(ctx context.Context, before map[string]map[string]int64) {
	w.sample(ctx)
	after, err := w.figures(ctx)
	if err != nil {
		w.ledger.violated("a proxy shows no figures at the end: %v", err)
		return
	}
	for name, figures := range after {
		for _, zero := range figuresAtRest {
			if n := figures[zero]; n != 0 {
				w.ledger.violated("LEAK: %s has %s %d at rest", name, zero, n)
			}
		}
		was, is := before[name]["elmfold_goroutines"], figures["elmfold_goroutines"]
		if is > was+goroutineSlack {
			w.ledger.violated("LEAK: %s has %d goroutines at rest, %d at first", name, is, was)
		}
	}
}
