package proxies

import (
	"fmt"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// Window is the span of which the worst count.
	Window = 2 * time.Second

	abusePause = 5 * ms
	minPause   = 50 * ms // where nothing was told
	pauseMore  = 100 * ms

	retryRatio      = 0.2
	retrySlack      = 60.0
	retryWindow     = 10 * time.Second
	slowStartExcess = 1.5
	slowStartSlack  = 5.0
)

// Tally is of requests by their end, and of worth.
type Tally struct {
	Owed, Earned                                           float64
	Requests                                               int
	Inside, Late, Returned, Refused, Failed, Unfinished    int // ends; each request has one
	LostByLatency, LostRefused, LostFailed, LostUnfinished float64
}

// Earnings is the part that was earned.
func (t Tally) Earnings() float64 { return t.Earned / max(t.Owed, 1e-9) }

func (t *Tally) add(o Tally) {
	t.Owed, t.Earned, t.Requests = t.Owed+o.Owed, t.Earned+o.Earned, t.Requests+o.Requests
	t.Inside, t.Late, t.Returned = t.Inside+o.Inside, t.Late+o.Late, t.Returned+o.Returned
	t.Refused, t.Failed, t.Unfinished = t.Refused+o.Refused, t.Failed+o.Failed, t.Unfinished+o.Unfinished
	t.LostByLatency, t.LostRefused = t.LostByLatency+o.LostByLatency, t.LostRefused+o.LostRefused
	t.LostFailed, t.LostUnfinished = t.LostFailed+o.LostFailed, t.LostUnfinished+o.LostUnfinished
}

// Sum is what a day came to.
type Sum struct {
	Way, Day                 string
	All                      Tally
	Kinds                    []Tally
	Windows                  []Tally        // by the first try
	Worst                    float64        // worth of the two worst windows
	Connections              int            // new ones to backends
	Further                  int            // arrivals past the first of each try
	InVain                   int            // came back after a refusal and ended refused
	Reasons                  map[string]int // tries that a carrier did not serve, by the kind of their end
	Ran, RanComplete, Broken int            // at backends
	Rules                    []string
	Missed                   []string // totals that are not what they must be
	Busy                     []float64
}

// send is a client's next try of a request.
func (w *world) send(r *request) {
	kind := w.Kinds[r.kind]
	c := w.proxies[r.proxy]
	if r.tries > 0 { // further ones reach others
		home := w.home[r.zone]
		c = w.proxies[home[r.chance.IntN(len(home))]]
	}
	way := toClient
	if kind.Fresh || r.tries > 0 { // on a new connection
		way = 3 * toClient
	}
	r.tries++
	sent, over := w.now, r.at+kind.Deadline
	w.ledger.tried(r.kind, sent)
	t := &attempt{c: c, r: r, sent: sent, arrivedAt: sent + way, deadline: over + way}
	t.answer = func(ended apierror.Kind, after time.Duration) {
		w.ledger.answered(w, t, ended)
		if ended != apierror.None {
			w.s.Reasons[ended.String()]++
		}
		hold, offered := w.now-t.arrivedAt, t.arrived > 0
		w.after(toClient, func() { w.answered(r, sent, ended, after, hold, offered) })
	}
	w.at(t.arrivedAt, func() { c.carry(t) })
}

// answered is a client that hears of its try's end.
func (w *world) answered(r *request, sent time.Duration, ended apierror.Kind, after, hold time.Duration, offered bool) {
	kind := w.Kinds[r.kind]
	took, over := w.now-r.at, r.at+kind.Deadline
	tally := Tally{Owed: kind.Value, Requests: 1}
	late, mean := kind.Value*latePart, kind.Value*(1+latePart)/2
	refusal := promises(ended)
	switch {
	case ended == apierror.None && took <= kind.LatencyTarget:
		tally.Earned, tally.Inside = kind.Value, 1
	case ended == apierror.None && r.refusedE && w.now-sent <= kind.LatencyTarget && w.now <= over:
		tally.Earned, tally.Returned, tally.LostRefused = mean, 1, kind.Value-mean
	case ended == apierror.None && w.now <= over:
		tally.Earned, tally.Late, tally.LostByLatency = late, 1, kind.Value-late
	default:
		if refusal && !r.refused {
			r.refused, r.refusedE = true, took <= kind.LatencyTarget/4
		}
		r.inFlight = r.inFlight || !offered && hold > kind.LatencyTarget/4
		most, pause := kind.ClientTries, minPause+time.Duration(r.chance.Float64()*float64(pauseMore))
		if after > 0 {
			pause = min(after, max(over-w.now, 0)/3)
		}
		if r.abuse && w.abusing {
			most, pause = most*w.Day.AbuseX, abusePause
		}
		if r.tries <= most && (kind.Safe || refusal) && ended != apierror.None && w.now+pause < over {
			w.after(pause, func() { w.send(r) })
			return
		}
		if r.refused && refusal && r.tries > 1 {
			w.s.InVain++
		}
		switch {
		case r.inFlight:
			tally.Unfinished, tally.LostUnfinished = 1, kind.Value
		case refusal:
			tally.Refused, tally.LostRefused = 1, kind.Value
		default:
			tally.Failed, tally.LostFailed = 1, kind.Value
		}
	}
	if r.done {
		w.s.Missed = append(w.s.Missed, fmt.Sprintf("request %d ended twice", r.id))
	}
	r.done = true
	w.s.All.add(tally)
	w.s.Kinds[r.kind].add(tally)
	w.s.Windows[min(int((r.at-Lead)/Window), len(w.s.Windows)-1)].add(tally)
}

// promises says whether an end is told as a promise that the request has not run.
func promises(kind apierror.Kind) bool {
	status := kind.Policy().Status
	return status == 503 || status == 429 || status == 408 || status == 421
}

// ledger keeps the rules' account.
type ledger struct {
	sent    map[int][]time.Duration // tries of clients, by kind
	further map[int][]time.Duration
	rules   map[string]int
}

func (l *ledger) note(rule string) {
	if l.rules == nil {
		l.rules = map[string]int{}
	}
	l.rules[rule]++
}

func (l *ledger) tried(kind int, at time.Duration) {
	if l.sent == nil {
		l.sent, l.further = map[int][]time.Duration{}, map[int][]time.Duration{}
	}
	l.sent[kind] = append(l.sent[kind], at)
}

// arrived is a try at a backend.
func (l *ledger) arrived(w *world, j *job) {
	if j.t.arrived++; j.t.arrived > 1 {
		w.s.Further++
		l.further[j.t.r.kind] = append(l.further[j.t.r.kind], w.now)
	}
	if j.b.inSlowStart() {
		j.b.warmupArrivals = append(j.b.warmupArrivals, w.now)
	}
}

// answered checks that a promise holds.
func (l *ledger) answered(w *world, t *attempt, ended apierror.Kind) {
	if promises(ended) && t.ran > 0 && !w.Kinds[t.r.kind].Safe {
		l.note("REFUSED")
	}
	if t.ran > 1 && !w.Kinds[t.r.kind].Safe {
		l.note("TWICE")
	}
}

// in counts the times of a sorted list in (from, to].
func in(all []time.Duration, from, to time.Duration) int {
	i, _ := slices.BinarySearch(all, from+1)
	j, _ := slices.BinarySearch(all, to+1)
	return j - i
}

// close checks the totals and the rules.
func (w *world) close(requests []*request) {
	s, a := &w.s, w.s.All
	missed := func(is bool, format string, v ...any) {
		if is {
			s.Missed = append(s.Missed, fmt.Sprintf(format, v...))
		}
	}
	open := 0
	for _, r := range requests {
		if !r.done {
			open++
		}
	}
	missed(open > 0, "%d requests without an end", open)
	ends := a.Inside + a.Late + a.Returned + a.Refused + a.Failed + a.Unfinished
	missed(a.Requests != len(requests) || ends != a.Requests,
		"%d requests, %d accounted for, %d ends", len(requests), a.Requests, ends)
	missed(math.Abs(a.Owed-a.Earned-a.LostByLatency-a.LostRefused-a.LostFailed-a.LostUnfinished) > 1e-6,
		"what was lost by cause is not what is missing")
	var kinds, windows Tally
	for _, t := range s.Kinds {
		kinds.add(t)
	}
	for _, t := range s.Windows {
		windows.add(t)
	}
	missed(kinds.Requests != a.Requests || windows.Requests != a.Requests || windows.Inside != a.Inside,
		"kinds or windows do not add up")
	missed(s.Ran != s.RanComplete+s.Broken, "%d ran, %d to their end, %d broken off", s.Ran, s.RanComplete, s.Broken)
	var worth []float64
	for _, t := range s.Windows {
		worth = append(worth, t.Earnings())
	}
	slices.Sort(worth)
	if len(worth) > 1 {
		s.Worst = (worth[0] + worth[1]) / 2
	}
	for k := range w.Kinds {
		sent, further := w.ledger.sent[k], w.ledger.further[k]
		slices.Sort(sent)
		for _, at := range further {
			from, half := at-retryWindow, retryWindow/2
			n := max(in(sent, from, at), in(sent, from-half, at-half), in(sent, from-retryWindow, from))
			if float64(in(further, from, at)) > retryRatio*float64(n)+retrySlack {
				w.ledger.note("BUDGET")
			}
		}
	}
	for _, b := range w.backends {
		for _, at := range b.warmupArrivals {
			if float64(in(b.warmupArrivals, at-time.Second, at)) > w.Kinds[b.kind].SlowStartRate*slowStartExcess+slowStartSlack {
				w.ledger.note("FAILBACK")
			}
		}
		missed(len(b.running)+len(b.waiting)+len(b.coming) > 0, "%s is left with requests", b.id)
		s.Busy = append(s.Busy, b.busy.Seconds()/(w.Day.Length.Seconds()*float64(b.slots)))
	}
	for _, rule := range []string{"TWICE", "REFUSED", "BUDGET", "FAILBACK"} {
		if n := w.ledger.rules[rule]; n > 0 {
			s.Rules = append(s.Rules, fmt.Sprintf("%s %d", rule, n))
		}
	}
}
