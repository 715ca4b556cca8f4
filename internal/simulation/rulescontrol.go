package simulation

import (
	"fmt"
	"time"
)

// ends is the time up to which something is known.
func (l *Ledger) ends() (at time.Duration) {
	for _, o := range l.Orders {
		at = max(at, o.At, o.Acked, o.End)
	}
	for _, r := range l.Requests {
		at = max(at, r.End)
	}
	return at
}

// acks: ACKS, of proper orders, while the core is to do all that it can.
func (l *Ledger) acks(out *breaches) {
	owed := l.owed(l.ends())
	for _, o := range l.Orders {
		if !o.Valid || l.conflicts(o) {
			continue
		}
		within, what := l.Bounds.Ack.Duration(), fmt.Sprintf("the evacuation of %s, begin %t,", o.Zone, o.Begin)
		if o.Config != nil {
			within += time.Duration(len(o.Config.Routes)) * 3 * time.Millisecond
			what = fmt.Sprintf("version %08x", o.Config.Version)
		}
		if o.Status/100 == 4 {
			out.add("ACKS", o.At, "%s was refused with %d", what, o.Status)
			continue
		}
		till := o.End
		if o.Acked > 0 {
			till = o.Acked
		}
		for _, s := range owed {
			if from, to := max(s.From, o.At), min(s.To, till); to-from >= within {
				out.add("ACKS", to, "%s sent at %.3f s has no acknowledgement after %.3f s in which the core was settled", what,
					o.At.Seconds(), (to - from).Seconds())
				break
			}
		}
	}
}

// quiet is for how long nothing at all must have befallen a machine before a dark time is one.
const quiet = 10 * time.Second

// dark: DARK. In a quiet time, with a configuration, under a quarter of what clients want is served.
func (l *Ledger) dark(out *breaches) {
	first := forever
	for _, o := range l.Orders {
		if o.Config != nil && o.Acked > 0 {
			first = min(first, o.Acked)
		}
	}
	for _, s := range l.owed(l.ends()) {
		from := max(s.From+quiet, first+quiet)
		for _, t := range l.FaultSpans {
			if t.From < s.To && (t.To < 0 || t.To+quiet > from) && t.From < from {
				if from = t.To + quiet; t.To < 0 {
					from = forever
				}
			}
		}
		to := s.To
		for _, t := range l.FaultSpans {
			if t.From >= from {
				to = min(to, t.From)
			}
		}
		n, served := 0, 0
		for _, r := range l.Requests {
			if r.At >= from && r.End < to {
				if n++; r.Served {
					served++
				}
			}
		}
		if n >= 20 && 4*served < n {
			out.add("DARK", from, "%d of %d requests are served up to %.3f s, and nothing was done", served, n, to.Seconds())
		}
	}
}
