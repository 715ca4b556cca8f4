package simulation

import (
	"cmp"
	"slices"
	"time"
)

// services are those that a request may be for, by the configurations that may be in force when it is sent.
func (l *Ledger) services(t *Attempt) []string {
	var all []string
	least := uint32(0)
	for _, o := range l.Orders {
		if o.Config != nil && o.Valid && o.Acked > 0 && t.At > o.Acked+l.Bounds.ConfigApply.Duration() {
			least = max(least, o.Config.Version)
		}
	}
	for _, o := range l.Orders {
		if o.Config != nil && o.Valid && o.At <= t.At && o.Config.Version >= least {
			if r := o.Config.route(t.Host, t.Target); r != nil {
				all = append(all, r.Services...)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// budget: BUDGET.
func (l *Ledger) budget(out *breaches) {
	asked, again := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, t := range l.Tries {
		for _, service := range l.services(t) {
			asked[service] = append(asked[service], t.At)
		}
		arrivals := slices.Clone(t.Arrivals)
		slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
		for i, a := range arrivals {
			if i > 0 {
				again[a.Service] = append(again[a.Service], a.At)
			}
		}
	}
	w := l.Bounds.RetryWindow.Duration()
	for service, extra := range again {
		slices.Sort(extra)
		slices.Sort(asked[service])
		in := func(from, to time.Duration) int { // (from, to]
			all := asked[service]
			a, _ := slices.BinarySearch(all, from+1)
			b, _ := slices.BinarySearch(all, to+1)
			return b - a
		}
		from := 0
		for i, at := range extra {
			for extra[from] <= at-w {
				from++
			}
			most := max(in(at-w, at), in(at-2*w, at-w), in(at-3*w/2, at-w/2))
			if n := float64(i - from + 1); n > l.Bounds.RetryRatio*float64(most)+l.Bounds.RetrySlack {
				out.add("BUDGET", at, "%s got %.0f further arrivals in a window, of %d requests", service, n, most)
				break
			}
		}
	}
}
