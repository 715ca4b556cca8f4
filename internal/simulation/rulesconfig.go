package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// effect is that at least a version was in force.
type effect struct {
	at      time.Duration
	version uint32
}

// seen is how a carrier handled a request: to which service it went, or "" for a 404.
type seen struct {
	t       *Attempt
	at      time.Duration
	service string
}

// configs: CONFIG, ROUTE, DENIED. It gives what backends saw the effect of.
func (l *Ledger) configs(out *breaches) (known []effect) {
	var all []*Order
	for _, o := range l.Orders {
		if o.Config == nil {
			continue
		}
		all = append(all, o)
		if !o.Valid && o.Acked > 0 {
			out.add("CONFIG", o.Acked, "version %08x is invalid and was acknowledged", o.Config.Version)
		}
	}
	lives := map[string][]seen{}
	denied, proper := 0, 0
	for _, t := range l.Tries {
		life := fmt.Sprint(t.Proxy, " ", t.Incarnation)
		proper++
		for _, a := range t.Arrivals {
			if a.Outcome == Ran {
				lives[life] = append(lives[life], seen{t, a.At, a.Service})
			}
		}
		if t.Status == http.StatusNotFound && len(t.Arrivals) == 0 {
			lives[life] = append(lives[life], seen{t, t.End, ""})
		}
		if t.Status/100 == 4 && len(t.Arrivals) == 0 && t.Status != 404 && t.Status != 408 && t.Status != 421 &&
			t.Status != 429 && t.touches(l, t.End) {
			denied++
		}
	}
	for _, life := range sortedKeys(lives) {
		handled := lives[life]
		slices.SortFunc(handled, func(a, b seen) int { return cmp.Compare(a.at, b.at) })
		var effects []effect // with rising versions
		for _, s := range handled {
			acked, stretched := uint32(0), uint32(0)
			for _, o := range all {
				if o.Valid && o.Acked > 0 && s.t.At > o.Acked+l.Bounds.ConfigApply.Duration() {
					acked = max(acked, o.Config.Version)
					if s.t.At > o.Acked+l.Bounds.ConfigApply.Duration()+maxStretch && o.Config.Version > stretched &&
						l.outer(s.t.Proxy, o.Acked, s.at) {
						stretched = o.Config.Version
					}
				}
			}
			shown := uint32(0)
			for _, e := range effects {
				if s.t.At > e.at+l.Revert {
					shown = max(shown, e.version)
				}
			}
			var oldest, newest uint32
			fits, refused := false, false
			for _, o := range all {
				if o.At > s.at || !o.Config.allows(s.t.Host, s.t.Target, s.service) {
					continue
				}
				if !o.Valid || o.Acked == 0 && o.Status/100 == 4 {
					refused = true
					continue
				}
				if !fits || o.Config.Version < oldest {
					oldest = o.Config.Version
				}
				newest, fits = max(newest, o.Config.Version), true
			}
			what := "run by " + s.service
			if s.service == "" {
				what = "answered 404"
			}
			inTouch := s.t.touches(l, s.at)
			switch {
			case !fits && refused:
				out.add("CONFIG", s.at, "%s was %s, as only a refused configuration has it", s.t.ID, what)
			case !fits && s.service != "":
				out.add("ROUTE", s.at, "%s was %s, where no configuration sends it", s.t.ID, what)
			case !fits && inTouch:
				denied++
			case fits && newest < stretched && !inTouch:
				out.add(
					"CONFIG",
					s.at,
					"%s was %s by %s, as up to version %08x; %08x is acknowledged for over %v, and most of the "+
						"core was there",
					s.t.ID,
					what,
					s.t.Proxy,
					newest,
					stretched,
					maxStretch,
				)
			case fits && newest < acked && inTouch:
				out.add("CONFIG", s.at, "%s was %s by %s, as up to version %08x; %08x is acknowledged", s.t.ID, what,
					s.t.Proxy, newest, acked)
			case fits && newest < shown && inTouch:
				out.add("CONFIG", s.at, "%s was %s by %s, as up to version %08x; it has shown %08x: it goes back", s.t.ID,
					what, s.t.Proxy, newest, shown)
			}
			if fits && s.service != "" && (len(effects) == 0 || effects[len(effects)-1].version < oldest) {
				effects = append(effects, effect{s.at, oldest})
				known = append(known, effect{s.at, oldest})
			}
		}
	}
	if denied > 5+proper/500 {
		out.add("DENIED", 0, "%d of %d proper requests", denied, proper)
	}
	return known
}

// readBack: CONFIG, and LOST after a closing fault, of what the operator reads at the end.
func (l *Ledger) readBack(out *breaches, known []effect) {
	newest, of := uint32(0), map[string]uint32{}
	for _, o := range l.Orders {
		if o.Config != nil && o.Acked > 0 {
			newest = max(newest, o.Config.Version)
			known = append(known, effect{o.Acked, o.Config.Version})
		}
		if o.Config != nil && o.Valid {
			of[string(o.Config.JSON())] = o.Config.Version
		}
	}
	l.early(out, known, of)
	rule := "CONFIG"
	if l.Closing >= 0 {
		rule = "LOST"
	}
	if len(l.Reads) == 0 || newest == 0 {
		return
	}
	last := l.Reads[len(l.Reads)-1]
	if !last.OK {
		out.add(rule, last.At, "the configuration cannot be read back; %08x is acknowledged", newest)
		return
	}
	for _, o := range l.Orders {
		if o.Config != nil && o.Valid && string(o.Config.JSON()) == last.Body {
			if o.Config.Version < newest {
				out.add(rule, last.At, "version %08x is read back; %08x is acknowledged", o.Config.Version, newest)
			}
			return
		}
	}
	out.add(rule, last.At, "what is read back is not what was sent")
}

// early: CONFIG, of what was read back before the end. A reader gets what was acknowledged, what a backend saw the
// effect of, and what was read, before its question, or newer. The operators' rules ask that of the end alone; it
// is here as what has shown and is gone by the next question may be overwritten by the end.
func (l *Ledger) early(out *breaches, known []effect, of map[string]uint32) {
	for _, r := range l.EarlyReads {
		if v, there := of[r.Body]; there {
			known = append(known, effect{r.At, v})
		}
	}
	for _, r := range l.EarlyReads {
		v, there := of[r.Body]
		for _, k := range known {
			if r.OK && there && k.at < r.From && v < k.version {
				out.add("CONFIG", r.At, "version %08x is read back; %08x was in force at %.4f s", v, k.version, k.at.Seconds())
				break
			}
		}
	}
}

// conflicts says whether another body was sent under an order's number.
func (l *Ledger) conflicts(o *Order) bool {
	return slices.ContainsFunc(l.Orders, func(p *Order) bool {
		return o.Config != nil && p.Config != nil && p.Config.Version == o.Config.Version &&
			string(p.Config.JSON()) != string(o.Config.JSON())
	})
}
