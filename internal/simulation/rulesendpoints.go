package simulation

import (
	"cmp"
	"slices"
	"time"
)

// notificationTime is the time inside which each carrier that nothing befell has a word of leaving, whatever
// befalls the core: ours, as the operators' rule lets a drain pass that is known late only where its acknowledger
// is gone.
const notificationTime = 500 * time.Millisecond

// leaving: DRAIN. An acknowledgement binds also where the machine that gave it had no quorum contact.
func (l *Ledger) leaving(out *breaches) {
	first := map[string]time.Duration{}
	for _, d := range l.Shutdowns {
		if at, there := first[d.Backend]; !there || d.At < at {
			first[d.Backend] = d.At
		}
	}
	for _, t := range l.Tries {
		for _, a := range t.Arrivals {
			at, there := first[a.Backend]
			if !there || a.Outcome == Misdirected {
				continue
			}
			if late := a.At > at+l.Bounds.Drain.Duration() && t.touches(l, a.At); late ||
				t.At > at+notificationTime && l.untroubled(t.Proxy, at-l.Bounds.Contact.Duration(), a.At) {
				out.add("DRAIN", a.At, "%s reached %s by %s %.3f s after its leaving was acknowledged", t.ID, a.Backend,
					t.Proxy, (a.At - at).Seconds())
			}
		}
	}
}

// evacuations: EVAC.
func (l *Ledger) evacuations(out *breaches) {
	for _, o := range l.Orders {
		if o.Zone == "" || !o.Begin || o.Acked == 0 {
			continue
		}
		till := l.takenBack(o)
		for _, t := range l.Tries {
			for _, a := range t.Arrivals {
				if a.Zone == o.Zone && a.Outcome != Misdirected && a.At > o.Acked+l.Bounds.Evacuate.Duration() && a.At < till &&
					(t.touches(
						l,
						a.At,
					) || a.At > o.Acked+l.Bounds.Evacuate.Duration()+maxStretch && l.outer(t.Proxy, o.Acked, a.At)) {
					out.add("EVAC", a.At, "%s reached %s in %s by %s %.3f s after the evacuation was acknowledged", t.ID,
						a.Backend, a.Zone, t.Proxy, (a.At - o.Acked).Seconds())
				}
			}
		}
	}
}

// takenBack is the end of an evacuation, or of the last of those that overlap it: the zone is empty as long as any of
// them is open. A begin counts from its acknowledgement on, a finish from its sending.
func (l *Ledger) takenBack(o *Order) time.Duration {
	type step struct {
		at time.Duration
		by int
	}
	steps := []step{}
	for _, f := range l.Orders {
		switch {
		case f.Zone != o.Zone || f.Zone == "":
		case !f.Begin:
			steps = append(steps, step{f.At, -1})
		case f.Acked > 0:
			steps = append(steps, step{f.Acked, 1})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	open := 0
	for _, s := range steps {
		if open = max(open+s.by, 0); open == 0 && s.at >= o.At {
			return s.at
		}
	}
	return 1<<63 - 1
}

// colds: FAILBACK.
func (l *Ledger) colds(out *breaches) {
	at := map[string][]time.Duration{}
	for _, t := range l.Tries {
		for _, a := range t.Arrivals {
			if a.Outcome != Misdirected {
				at[a.Backend] = append(at[a.Backend], a.At)
			}
		}
	}
	for _, c := range l.Colds {
		var all []time.Duration
		for _, a := range at[c.Backend] {
			if a >= c.From && (c.To == 0 || a < c.To) {
				all = append(all, a)
			}
		}
		slices.Sort(all)
		from := 0
		for i, a := range all {
			for all[from] <= a-time.Second {
				from++
			}
			if n := float64(i - from + 1); n > c.Rate*l.Bounds.SlowStartExcess+l.Bounds.SlowStartSlack {
				out.add("FAILBACK", a, "%s got %.0f requests within a second while cold", c.Backend, n)
				break
			}
		}
	}
}

// back: BACK. A zone that was taken back by all who emptied it is sent to again.
func (l *Ledger) back(out *breaches) {
	zones := map[string][]*Order{}
	for _, o := range l.Orders {
		if o.Zone != "" {
			zones[o.Zone] = append(zones[o.Zone], o)
		}
	}
	owed := l.owed(l.ends())
	for _, zone := range sortedKeys(zones) {
		open, last, clear := 0, time.Duration(0), true
		for _, o := range zones[zone] {
			if clear = clear && o.Acked > 0; o.Begin {
				open++
			} else {
				open--
			}
			last = max(last, o.Acked)
		}
		from := last + l.Bounds.Evacuate.Duration() + 5*time.Second
		k := slices.IndexFunc(owed, func(s Span) bool { return s.From <= from && s.To >= from+5*time.Second })
		if !clear || open != 0 || k < 0 {
			continue
		}
		there := slices.ContainsFunc(l.Incarnations, func(b Incarnation) bool {
			return b.Zone == zone && b.From < last && (b.To == 0 || b.To > from+5*time.Second)
		})
		n, all := 0, 0
		for _, t := range l.Tries {
			for _, a := range t.Arrivals {
				if a.At >= from && a.At < from+5*time.Second {
					if all++; a.Zone == zone {
						n++
					}
				}
			}
		}
		if there && n == 0 && all >= 60 {
			out.add("BACK", from, "%s was taken back at %.3f s, and none of %d requests goes there", zone, last.Seconds(), all)
		}
	}
}
