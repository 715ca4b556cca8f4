package simulation

import (
	"net/http"
	"slices"
	"time"
)

// knownTermTime is how long after a SIGTERM clients may still send to a proxy without being told.
const knownTermTime = 3 * time.Second

// runs are the arrivals of a try that a backend worked on.
func (t *Attempt) runs() (n int, last time.Duration) {
	for _, a := range t.Arrivals {
		if a.Outcome == Ran {
			n, last = n+1, a.At
		}
	}
	return n, last
}

// requests: TWICE, REFUSED, UNASKED.
func (l *Ledger) requests(out *breaches) {
	for _, a := range l.Unknown {
		if a.Outcome == Ran {
			out.add("UNASKED", a.At, "%s ran %s %s with id %q, which no client sent", a.Backend, a.Method, a.Target, a.ID)
		}
	}
	for _, t := range l.Tries {
		n, last := t.runs()
		if !t.Safe && n > 1 {
			out.add("TWICE", last, "%s ran %d times", t.ID, n)
		}
		switch t.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if !t.Safe && n > 0 {
				out.add("REFUSED", last, "%s was answered %d and has run", t.ID, t.Status)
			}
		}
		for _, a := range t.Arrivals {
			if a.Outcome == Ran && (a.Method != t.Method || a.Target != t.Target || a.Body != t.Body) {
				out.add("UNASKED", a.At, "%s came as %s %s, sent as %s %s (body alike: %t)", t.ID, a.Method, a.Target,
					t.Method, t.Target, a.Body == t.Body)
			}
		}
	}
}

// answers: MIXED.
func (l *Ledger) answers(out *breaches) {
	for _, s := range l.Strays {
		out.add("MIXED", s.At, "bytes from %s where no request waited", s.Proxy)
	}
	for _, t := range l.Tries {
		switch {
		case t.Status == 0:
			continue
		case t.AnswerID != "" && t.AnswerID != t.ID:
			out.add("MIXED", t.End, "%s got the answer to %s", t.ID, t.AnswerID)
			continue
		case t.Status/100 != 2 || !t.Complete:
			continue
		case t.Seal == "":
			out.add("MIXED", t.End, "%s: success without a seal", t.ID)
			continue
		}
		i := slices.IndexFunc(t.Replies, func(r Reply) bool { return r.Seal == t.Seal })
		switch {
		case i < 0:
			out.add("MIXED", t.End, "%s: no backend gave it the seal %s", t.ID, t.Seal)
		case t.Replies[i].Status/100 != 2:
			out.add("MIXED", t.End, "%s: success where %s had answered %d", t.ID, t.Replies[i].Backend, t.Replies[i].Status)
		case !t.Replies[i].Complete || t.Replies[i].Sum != t.Sum:
			out.add("MIXED", t.End, "%s: its body is not the whole body of %s", t.ID, t.Replies[i].Backend)
		}
	}
}

// machine is the name of the carrier that sent an arrival on.
func (t *Attempt) touches(l *Ledger, to time.Duration) bool { return l.HasQuorum(t.Proxy, t.At, to) }

// cutOff: LOST around planned ends.
func (l *Ledger) cutOff(out *breaches) {
	for _, term := range l.Terms {
		till := term.At + l.Bounds.Grace.Duration() + time.Second
		for _, t := range l.Tries {
			if t.Proxy != term.Machine || t.End < term.At || t.End > till || t.Written == 0 || t.GaveUp {
				continue
			}
			broke := slices.ContainsFunc(t.Replies, func(r Reply) bool { return !r.Complete })
			ran, _ := t.runs()
			cut := !t.Complete && (len(t.Arrivals) > 0 || t.End > t.Written+l.Bounds.LossSlack.Duration())
			inPlace := t.Complete && t.Seal == "" && t.Status/100 == 5 && ran > 0 && len(t.Replies) == 0 &&
				t.End < t.At+t.Timeout
			// Its backend was still at work as the grace ended, and it was sent before clients could know of the SIGTERM.
			late := t.End > term.At+l.Bounds.Grace.Duration()*5/6 && ran > 0 && t.At <= term.At+knownTermTime
			if (cut || inPlace) && !broke && !late && l.calm(term.Machine, t.At-l.Bounds.Contact.Duration(), t.End) {
				out.add("LOST", t.End, "%s was broken off by %s after its SIGTERM", t.ID, t.Proxy)
			}
		}
	}
}
