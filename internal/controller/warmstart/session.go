// Package warmstart merges facts that a starting controller reads from its own store and from running instances.
// Each fact has an origin, an age and an uncertainty. The package rejects facts that exceed the maximum age. If
// origins disagree about a drain or a deletion, the safer state wins. The package uses no clock, goroutine or I/O.
package warmstart

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is the time since an arbitrary fixed time. It never decreases.
type Time = time.Duration

// Kind is the subject of a Fact.
type Kind uint8

// Kinds. A fact of the first three kinds has a State; a fact of the other kinds has a Value.
const (
	Backend    Kind = iota + 1 // Key: backend ID; State: Serving, Draining or Deleted
	Withdrawal                 // Key: backend ID; State: OutOfRotation or InRotation
	TenantCell                 // Key: tenant; State: its target cell
	Usage                      // Key: proxy and product; transactions/s
	Throughput                 // highest throughput, in transactions/s for each unit of listed weight
	TotalLimit                 // transactions/s for each unit of listed weight; 0: unlimited
	Knee                       // transactions/s for each unit of listed weight at the knee of the latency curve
	Derating                   // Key: backend ID; factor of its weight
	kindEnd
)

// String returns the name of the kind in topics and logs.
func (k Kind) String() string {
	if k < Backend || k >= kindEnd {
		return fmt.Sprint("kind ", uint8(k))
	}
	return [...]string{"backend", "shut", "moving", "use", "pace", "total", "knee", "relief"}[k-1]
}

// States of backends and withdrawals.
const (
	InRotation    = "in"
	Serving       = "SERVING"
	OutOfRotation = "out"
	Draining      = "DRAINING"
	Deleted       = "DELETED"
)

// safetyRank ranks states: if two facts disagree, the state with the higher rank wins.
var safetyRank = map[string]int{InRotation: 1, Serving: 1, OutOfRotation: 2, Draining: 3, Deleted: 4}

// Fact is a state or value that one controller observed. Age is relative, so that the clocks of controllers need not
// agree. The encoding of a Fact between controllers uses the field names.
type Fact struct {
	Kind        Kind
	Key         string
	State       string
	Value       float64
	Note        string  // opaque to this package
	Revision    int64   // of the list that holds the backend's state; 0: none
	Age         Time    // since the origin observed it
	Origin      string  // controller that observed it
	Uncertainty float64 `cbor:"Doubt"` // 0 to 1; 1 while the origin itself is warming up
}

// Config configures a Session.
type Config struct {
	Name     string // of this controller
	MaxAge   Time   // older facts are rejected
	HalfLife Time   // age at which a fact has half its initial confidence
	MaxFacts int
}

// DefaultConfig returns the default configuration, without a name.
func DefaultConfig() Config {
	return Config{MaxAge: 60 * time.Second, HalfLife: 10 * time.Second, MaxFacts: 200000}
}

// Event is an input of a Session: Received or Observed.
type Event any

// Received holds facts from the store or another instance.
type Received struct {
	Source string
	Facts  []Fact
}

// Observed reports that this controller itself has observed the state or value. Received facts about it no longer
// count.
type Observed struct {
	Kind Kind
	Key  string
}

// Order is an output of a Session: Accepted, Rejected or Conflict.
type Order any

// Accepted is the merged fact of a kind and key.
type Accepted struct {
	Fact
	Confidence float64 // 0 to 1; decreases with age and uncertainty
	Sources    int     // number of origins
}

// Rejected counts the facts of one Received event that were rejected for the same reason.
type Rejected struct {
	Source, Reason string
	Count          int
}

// Conflict reports that origins disagree about a state.
type Conflict struct {
	Kind          Kind
	Key           string
	Chosen, Other string
}

// factsByOrigin holds the youngest fact of each origin for one kind and key. Both slices have the same indexes.
type factsByOrigin struct {
	facts      []Fact // Age as of receipt
	receivedAt []Time
}

// Session merges the received facts.
type Session struct {
	config   Config
	now      Time
	facts    map[factID]*factsByOrigin
	observed map[factID]bool
	count    int // of facts over all IDs and origins
	accepted map[factID]Accepted
}

type factID struct {
	kind Kind
	key  string
}

// New returns a Session without facts.
func New(config Config) *Session {
	return &Session{
		config:   config,
		facts:    map[factID]*factsByOrigin{},
		observed: map[factID]bool{},
		accepted: map[factID]Accepted{},
	}
}

// Step handles the events and returns the changes of the merged facts.
func (s *Session) Step(now Time, events []Event) (out []Order) {
	s.now = max(now, s.now)
	for _, event := range events {
		switch event := event.(type) {
		case Received:
			out = append(out, s.receive(event)...)
		case Observed:
			id := factID{event.Kind, event.Key}
			if known := s.facts[id]; known != nil {
				s.count -= len(known.facts)
				delete(s.facts, id)
			}
			delete(s.accepted, id)
			s.observed[id] = true
		}
	}
	return append(out, s.mergeAll()...)
}

// Reasons for which a fact is rejected.
const (
	reasonKind        = "unknown kind"
	reasonNegativeAge = "negative age"
	reasonTooOld      = "exceeds the maximum age"
	reasonNumber      = "invalid number"
	reasonNoOrigin    = "no origin"
	reasonUncertain   = "origin is warming up"
	reasonState       = "unknown state"
	reasonObserved    = "already observed here"
	reasonTooMany     = "too many facts"
)

// rejectReason returns why a fact is rejected, or "" for a valid one.
func (s *Session) rejectReason(f Fact) string {
	switch {
	case f.Kind < Backend || f.Kind >= kindEnd:
		return reasonKind
	case f.Age < 0:
		return reasonNegativeAge
	case f.Age > s.config.MaxAge:
		return reasonTooOld
	case f.Uncertainty < 0 || f.Uncertainty > 1 || math.IsNaN(f.Uncertainty):
		return reasonNumber
	case math.IsNaN(f.Value) || math.IsInf(f.Value, 0) || f.Value < 0:
		return reasonNumber
	case f.Origin == "":
		return reasonNoOrigin
	case f.Uncertainty == 1:
		return reasonUncertain
	case f.Kind <= Withdrawal && safetyRank[f.State] == 0:
		return reasonState
	case s.observed[factID{f.Kind, f.Key}]:
		return reasonObserved
	}
	return ""
}

// receive keeps the youngest fact of each origin. A fact that arrives again through another instance does not raise
// the confidence, so that two starting controllers cannot confirm each other.
func (s *Session) receive(received Received) (out []Order) {
	rejected := map[string]int{}
	for _, f := range received.Facts {
		reason := s.rejectReason(f)
		if reason == "" && s.count >= s.config.MaxFacts {
			reason = reasonTooMany
		}
		if reason != "" {
			rejected[reason]++
			continue
		}
		id := factID{f.Kind, f.Key}
		known := s.facts[id]
		if known == nil {
			known = &factsByOrigin{}
			s.facts[id] = known
		}
		i := slices.IndexFunc(known.facts, func(g Fact) bool { return g.Origin == f.Origin })
		switch {
		case i < 0:
			known.facts, known.receivedAt = append(known.facts, f), append(known.receivedAt, s.now)
			s.count++
		case s.age(known, i) > f.Age:
			known.facts[i], known.receivedAt[i] = f, s.now
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(rejected)) {
		out = append(out, Rejected{received.Source, reason, rejected[reason]})
	}
	return out
}

// age returns the present age of a fact.
func (s *Session) age(known *factsByOrigin, i int) Time {
	return known.facts[i].Age + s.now - known.receivedAt[i]
}

// confidence returns the weight of a fact, which halves with each HalfLife.
func (s *Session) confidence(age Time, uncertainty float64) float64 {
	if age > s.config.MaxAge {
		return 0
	}
	return (1 - uncertainty) * math.Exp2(-float64(age)/float64(max(s.config.HalfLife, 1)))
}

// mergeAll removes expired facts and returns the merged facts that have changed.
func (s *Session) mergeAll() (out []Order) {
	for _, id := range slices.SortedFunc(maps.Keys(s.facts), func(a, b factID) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	}) {
		known := s.facts[id]
		for i := len(known.facts) - 1; i >= 0; i-- {
			if s.age(known, i) > s.config.MaxAge {
				known.facts = slices.Delete(known.facts, i, i+1)
				known.receivedAt = slices.Delete(known.receivedAt, i, i+1)
				s.count--
			}
		}
		if len(known.facts) == 0 {
			delete(s.facts, id)
			delete(s.accepted, id)
			continue
		}
		merged, otherState := s.merge(known)
		previous, reported := s.accepted[id]
		if reported && !differs(previous, merged) {
			continue
		}
		s.accepted[id] = merged
		if otherState != "" {
			out = append(out, Conflict{id.kind, id.key, merged.State, otherState})
		}
		out = append(out, merged)
	}
	return out
}

// differs reports whether a merged fact has changed, other than in age or by at most 1% in value.
func differs(previous, merged Accepted) bool {
	return previous.State != merged.State || previous.Note != merged.Note || previous.Revision != merged.Revision ||
		previous.Sources != merged.Sources || math.Abs(previous.Value-merged.Value) > 0.01*previous.Value
}

// merge combines the facts of one kind and key. Of states, the safest wins, then the one with the highest revision,
// then the youngest. Values are averaged by confidence. otherState is a state that differs from the chosen one, or "".
func (s *Session) merge(known *factsByOrigin) (merged Accepted, otherState string) {
	merged.Sources = len(known.facts)
	order := make([]int, len(known.facts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		f, g := known.facts[i], known.facts[j]
		return cmp.Or(cmp.Compare(safetyRank[g.State], safetyRank[f.State]), cmp.Compare(g.Revision, f.Revision),
			cmp.Compare(s.age(known, i), s.age(known, j)), cmp.Compare(f.Origin, g.Origin))
	})
	first := order[0]
	merged.Fact = known.facts[first]
	merged.Age = s.age(known, first)
	if merged.Kind <= TenantCell {
		if merged.Kind == TenantCell { // cells have no safety rank: the youngest fact wins
			for _, i := range order {
				if s.age(known, i) < merged.Age {
					merged.Fact, merged.Age = known.facts[i], s.age(known, i)
				}
			}
		}
		for _, i := range order {
			if known.facts[i].State != merged.State {
				otherState = known.facts[i].State
			}
			merged.Confidence = max(merged.Confidence, s.confidence(s.age(known, i), known.facts[i].Uncertainty))
		}
		return merged, otherState
	}
	sum, weights, youngest := 0.0, 0.0, s.config.MaxAge
	for _, i := range order {
		weight := s.confidence(s.age(known, i), known.facts[i].Uncertainty)
		sum += weight * known.facts[i].Value
		weights += weight
		youngest = min(youngest, s.age(known, i))
		merged.Confidence = max(merged.Confidence, weight)
	}
	merged.Value, merged.Age = sum/max(weights, 1e-12), youngest
	return merged, ""
}

// Facts returns the facts to send to other controllers, one for each origin, with their present ages.
func (s *Session) Facts() (all []Fact) {
	for _, known := range s.facts {
		for i, f := range known.facts {
			if f.Age = s.age(known, i); f.Age <= s.config.MaxAge {
				all = append(all, f)
			}
		}
	}
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}
