package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

// service is one Assigner with what stands between it and names.
type service struct {
	b        *Adapter
	name     string
	target   time.Duration
	assigner *policy.Assigner // nil: it is made at the next step
	recalled []policy.Event   // of the one before
	wakes    []wake
	fence    int // to be answered; negative: none
	stirred  policy.Time
	traffic  bool // requests came

	places map[string]int // by backend id
	ids    []string       // by place; "" where it is free
	lives  []life         // by place
	fresh  []policy.Entry // of the next list
	events []policy.Event // joins, leaves and places that were given back, in their order

	slots  []slot  // by carrier
	tables []table // as choice numbers them

	took   float64 // seconds of an answer, smoothed
	shared bool    // other zones may be asked for a zone's excess
}

type wake struct {
	at   policy.Time
	name uint32
}

type life struct {
	entry                       policy.Entry
	goneAt                      policy.Time
	out                         bool    // withdrawn
	tries, voided, good, lasted float64 // since the last step; lasted is what the good took, in units of policy.Time
}

type slot struct { // of a carrier
	joined       bool
	came, voided float64
	clock        float64 // the carrier's spent, up to which was told
	rate         float64 // requests/s, smoothed
	silent       int
	level        float64 // as told; 0: unbounded
}

type table struct {
	user    int // carrier; negative: none yet
	weight  []float64
	level   float64 // as ordered
	whole   bool    // its user was put on it in this step
	touched bool
	lines   []line // changed in this step
}

type line struct {
	place int
	was   float64
}

type telling struct {
	to    *carrier
	table rpc.RoutingTable
}

// renew has the next step make a new Assigner that goes on from what this one knows.
func (s *service) renew() {
	if s.assigner == nil {
		return
	}
	s.recalled = nil
	for _, r := range s.assigner.Recollect(0, 1) {
		s.recalled = append(s.recalled, r)
	}
	s.assigner, s.wakes, s.events, s.tables, s.fence = nil, nil, nil, nil, -1
	for i := range s.slots {
		s.slots[i].joined = false
	}
	s.fresh = s.fresh[:0]
	for at, id := range s.ids {
		if s.lives[at].out = false; id != "" {
			s.fresh = append(s.fresh, s.lives[at].entry)
		}
	}
}

func (s *service) make(at policy.Time) {
	first := cmp.Or(ticks(s.b.firstTick), policy.Second)
	first -= (at - ticks(s.b.began)) % policy.Second // a service that comes later ticks with the others
	if first <= 0 {
		first += policy.Second
	}
	s.assigner = policy.New(policy.Deployment{
		Products:  []policy.Product{{Revenue: 1, SLA: ticks(spread * s.target)}},
		Zones:     len(s.b.zones),
		Proxies:   1, // no more than are here: what is bounded is their total, which a leave does not change (design)
		Levels:    policy.LevelRate,
		GoneBinds: true,
		// The carriers hold cold backends to their rate: no level is lowered for one, and nothing vouches for more than
		// the ramp.
		Cold:         1 << 50,
		ColdMultiple: math.Inf(1),
		FirstTick:    first,
	})
	s.wakes = nil
	s.carry(at, s.assigner.Step(at, nil))
	// Elsewhere is believed by steps, a tick each; before it is, choice takes all zones to ask for what the own one
	// does, or for nothing, and sends requests to other zones on the calmest day.
	for range 4 {
		events := []policy.Event{policy.Elsewhere{Uses: [][]float64{make([]float64, len(s.b.zones))}}}
		for _, w := range s.wakes {
			events = append(events, policy.Woken{Name: w.name})
		}
		s.assigner.Step(at, events)
	}
	s.stirred = at
}

// list takes a backend that is new or changed.
func (s *service) list(b Endpoint) {
	at, known := s.places[b.ID]
	if !known {
		if at = slices.Index(s.ids, ""); at < 0 {
			at, s.ids, s.lives = len(s.ids), append(s.ids, ""), append(s.lives, life{})
		}
		s.places[b.ID], s.ids[at], s.lives[at] = at, b.ID, life{}
		s.lives[at].entry.Backend = at
	}
	l := &s.lives[at]
	// A start while requests come: it begins with little. What was there before this controller knew of it does not.
	if came := !known || l.entry.Status == policy.Gone; came && s.traffic && s.b.now >= s.b.began+settling {
		l.entry.Up = max(ticks(s.b.now), 1)
	}
	l.entry.Zone, l.entry.Weight, l.entry.Status = s.b.zone(b.Zone), float64(max(b.Capacity, 1)), policy.Draining
	if b.Ready {
		l.entry.Status = policy.Ready
	}
	s.fresh = append(s.fresh, l.entry)
}

func (s *service) gone(id string) {
	if at, known := s.places[id]; known {
		s.lives[at].entry.Status, s.lives[at].goneAt = policy.Gone, ticks(s.b.now)
		s.fresh = append(s.fresh, s.lives[at].entry)
	}
}

// giveBack frees the places of backends that are gone for long and that no carrier here has a line of.
func (s *service) giveBack(at policy.Time) {
	for place, id := range s.ids {
		l := &s.lives[place]
		if id == "" || l.entry.Status != policy.Gone || at < l.goneAt+goneFor {
			continue
		}
		held := func(t table) bool {
			return t.user >= 0 && s.slots[t.user].joined && place < len(t.weight) && t.weight[place] > 0
		}
		if slices.ContainsFunc(s.tables, held) {
			continue
		}
		for i := range s.tables { // of carriers that left
			if t := &s.tables[i]; place < len(t.weight) {
				t.weight[place] = 0
			}
		}
		delete(s.places, id)
		s.ids[place], s.lives[place] = "", life{}
		s.events = append(s.events, policy.Dropped{Backend: place})
	}
}

func (s *service) slot(c *carrier) *slot {
	s.slots = append(s.slots, make([]slot, max(c.index+1-len(s.slots), 0))...)
	return &s.slots[c.index]
}

func (s *service) leave(c *carrier) {
	if l := s.slot(c); l.joined {
		s.events = append(s.events, policy.Left{Proxy: c.index})
	}
	*s.slot(c) = slot{silent: silentMost}
}

func (s *service) use(c *carrier, u rpc.ServiceLoad, spent float64) {
	l := s.slot(c)
	if l.came == 0 && (!l.joined || l.silent >= silentMost) {
		l.clock = c.spent - spent // nothing was told of the time before
	}
	l.came, l.voided, s.traffic = l.came+u.Requests, l.voided+max(u.Failed, 0), true
}

// meet adds what was met at a backend. Choice has no use for Waiting: it takes how much a backend holds, and only from
// probes, as what answers tell comes from busy moments; that requests wait shows in how long answers take.
func (s *service) meet(m rpc.EndpointReport) {
	l := &s.lives[s.places[m.ID]]
	good := max(m.Attempts-m.Failed, 0)
	l.tries, l.voided = l.tries+m.Attempts, l.voided+max(m.Failed, 0)
	if m.Latency > 0 {
		l.good, l.lasted = l.good+good, l.lasted+good*float64(m.Latency)
	}
}

// step runs the Assigner if something is due for it.
func (s *service) step() []telling {
	at := ticks(s.b.now)
	if s.assigner == nil {
		s.make(at)
	}
	// A tick that comes a little early or late counts as in time: else a rise that is due each second is late by one.
	due, next := at, policy.Time(math.MinInt64)
	woken := func(w wake) bool { return w.at <= at+ticks(early) }
	for _, w := range s.wakes {
		if woken(w) {
			next = max(next, w.at)
		}
	}
	if next > at-ticks(late) {
		due = next
	} else if next == math.MinInt64 && len(s.fresh) == 0 {
		return nil
	}
	events := append([]policy.Event(nil), s.events...)
	s.events = s.events[:0]
	if len(s.fresh) > 0 {
		events = append(events, policy.Listed{Kind: policy.ListChange, Entries: slices.Clone(s.fresh)})
		s.fresh = s.fresh[:0]
	}
	events = s.heard(append(events, s.recalled...))
	s.recalled = nil
	if len(events) > 0 {
		s.stirred = due
	} else if due > s.stirred+quietAfter { // nothing that an Assigner does takes that long
		for i := range s.wakes {
			s.wakes[i].at = max(s.wakes[i].at, due+policy.Second)
		}
		return nil
	}
	events = append(events, s.unused()...)
	events = append(events, policy.Elsewhere{Uses: [][]float64{s.elsewhere(due)}})
	for i, l := range s.slots {
		if s.fence >= 0 && l.joined {
			events = append(events, policy.Fenced{Proxy: i, Number: s.fence})
		}
	}
	s.fence = -1
	for _, w := range s.wakes {
		if woken(w) {
			events = append(events, policy.Woken{Name: w.name})
		}
	}
	s.wakes = slices.DeleteFunc(s.wakes, woken)
	told := s.carry(due, s.assigner.Step(due, events))
	s.giveBack(due)
	return told
}

// heard adds who joined, what came to whom and what was met.
func (s *service) heard(events []policy.Event) []policy.Event {
	for i, c := range s.b.places {
		if !c.here || !c.heard || s.b.now < s.b.began+gathering {
			continue
		}
		l := s.slot(c)
		if !l.joined {
			l.joined = true
			if l.came == 0 { // a use of 0 for the latest report: else choice takes it for one that it knows nothing of
				l.silent, l.clock = 0, c.spent-1
			}
			events = append(events, policy.Joined{Proxy: i, Zone: c.zone})
		}
		if l.came > 0 {
			span := c.spent - l.clock
			// What choice takes off what a level lets in is what failed there: what the level turned away is in it already.
			let := l.came
			if l.level > 0 {
				let = min(let, l.level*span)
			}
			events = append(events, policy.Used{Proxy: i, Txns: l.came, Voided: max(let-(l.came-min(l.voided, l.came)), 0),
				Counting: policy.Time(span * float64(policy.Second))})
			l.follow(l.came, span)
			l.came, l.voided, l.clock, l.silent = 0, 0, c.spent, 0
		}
	}
	good, lasted := 0.0, 0.0
	for at := range s.lives {
		l := &s.lives[at]
		if l.tries == 0 {
			continue
		}
		h := policy.Heard{Backend: at, Tries: l.tries, Voided: l.voided}
		if l.good > 0 {
			h.Took = policy.Time(l.lasted / l.good)
		}
		good, lasted = good+l.good, lasted+l.lasted
		if l.tries, l.voided, l.good, l.lasted = 0, 0, 0, 0; l.entry.Status != policy.Gone {
			events = append(events, h)
		}
	}
	if took := lasted / max(good, 1) / float64(policy.Second); good > 0 {
		s.took = (cmp.Or(s.took, took) + took) / 2
	}
	return events
}

// follow smooths a carrier's use as choice does: were it ahead of choice's, others would be told as busier or idler
// beside it than they are.
func (l *slot) follow(came, span float64) {
	keep := math.Pow(useHalf, max(span, 0.2)*min(max(l.rate/useMany, useSlow), 1))
	if l.rate == 0 {
		keep = 0
	}
	l.rate = l.rate*keep + came/span*(1-keep)
}

// unused tells that nothing came to a carrier that reported. Reports name only what came; without this a use of one
// request in ten seconds would count as one a second.
func (s *service) unused() (events []policy.Event) {
	for i := range s.slots {
		l := &s.slots[i]
		if span := s.b.places[i].spent - l.clock; l.joined && span > 0 && l.silent < silentMost {
			events = append(events, policy.Used{Proxy: i, Counting: policy.Time(span * float64(policy.Second))})
			l.follow(0, span)
			l.clock, l.silent = s.b.places[i].spent, l.silent+1
		}
	}
	return events
}
