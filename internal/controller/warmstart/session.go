// Package warmstart settles what a controller that starts may believe of what was known before: from its own store,
// and from instances that run. Each fact has a source, an age and a doubt; what is older than the grace is refused,
// and where two disagree about a drain or an end the safe side holds. It holds no socket, clock, file or goroutine.
package warmstart

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a moment, as the time since any fixed one; it never goes back.
type Time = time.Duration

// Kind says what a Fact is about.
type Kind uint8

// Kinds. The first three are states, of which one holds; the others are figures, which are weighed.
const (
	Backend    Kind = iota + 1 // Key: its id; State: one of the list's phases
	Withdrawal                 // Key: a backend; State: Out or In
	TenantCell                 // Key: a tenant; State: the cell that it is to be in
	Usage                      // Key: a proxy and product; txns/s
	Throughput                 // the most served, txns/s for a unit of the listed weight
	TotalLimit                 // txns/s for a unit of the listed weight, 0 for unbounded
	Knee                       // the same
	Derating                   // Key: a backend; part of its weight that it keeps
	ends
)

func (k Kind) String() string {
	if k < Backend || k >= ends {
		return fmt.Sprint("kind ", uint8(k))
	}
	return [...]string{"backend", "shut", "moving", "use", "pace", "total", "knee", "relief"}[k-1]
}

// States of facts, the safer one of two that disagree being the later here.
const (
	InRotation    = "in"
	Serving       = "SERVING"
	OutOfRotation = "out"
	Draining      = "DRAINING"
	Deleted       = "DELETED"
)

var safety = map[string]int{InRotation: 1, Serving: 1, OutOfRotation: 2, Draining: 3, Deleted: 4}

// Fact is a piece of what somebody knows. Age is how long ago it was true at first hand, by the clock of who tells
// it, so that clocks need not agree; Origin is who knew it at first hand, and Doubt, 0 to 1, how far that one was
// warming up itself.
type Fact struct {
	Kind        Kind
	Key         string
	State       string
	Value       float64
	Note        string // whatever else goes with it, unread here
	Revision    int64  // of the list that a backend's state is from; 0: none
	Age         Time
	Origin      string
	Uncertainty float64 `cbor:"Doubt"` // 0 to 1
}

// Config is what a Recall is given once.
type Config struct {
	Name     string // ours: what we knew ourselves before
	MaxAge   Time   // older facts are refused
	HalfLife Time   // age at which a figure counts half
	MaxFacts int    // facts at most
}

// DefaultConfig is the Plan with every figure that may be left out.
func DefaultConfig() Config {
	return Config{MaxAge: 60 * time.Second, HalfLife: 10 * time.Second, MaxFacts: 200000}
}

// Event is one of the structs below.
type Event any

// Received brings facts from the store or an instance.
type Received struct {
	Source string
	Facts  []Fact
}

// Observed is a fact at first hand: nothing that was offered stands against it any more.
type Observed struct {
	Kind Kind
	Key  string
}

// Order is one of the structs below.
type Order any

// Accepted says what to take a fact for, and how far: 1 for what was true a moment ago, less with age and doubt.
type Accepted struct {
	Fact
	Confidence float64
	Sources    int
}

// Rejected says why facts were not taken, a line for each reason of an offer.
type Rejected struct {
	Source, Reason string
	Count          int
}

// Conflict says that sources disagree about a state, and which one holds.
type Conflict struct {
	Kind          Kind
	Key           string
	Chosen, Other string
}

type heldFact struct {
	facts []Fact // by origin the youngest; Age as it was at
	at    []Time
}

// Session joins what was offered.
type Session struct {
	plan     Config
	now      Time
	facts    map[id]*heldFact
	knownIDs map[id]bool
	count    int
	believed map[id]Accepted
}

type id struct {
	kind Kind
	key  string
}

// New makes a Recall that knows nothing.
func New(plan Config) *Session {
	return &Session{plan: plan, facts: map[id]*heldFact{}, knownIDs: map[id]bool{}, believed: map[id]Accepted{}}
}

// Step takes what was offered in a moment, and tells what changes in what is believed.
func (r *Session) Step(now Time, events []Event) (out []Order) {
	r.now = max(now, r.now)
	for _, e := range events {
		switch e := e.(type) {
		case Received:
			out = append(out, r.offered(e)...)
		case Observed:
			at := id{e.Kind, e.Key}
			if h := r.facts[at]; h != nil {
				r.count -= len(h.facts)
				delete(r.facts, at)
			}
			delete(r.believed, at)
			r.knownIDs[at] = true
		}
	}
	return append(out, r.tell()...)
}

// fault says why a fact is not taken; nothing where it is.
func (r *Session) fault(f Fact) string {
	switch {
	case f.Kind < Backend || f.Kind >= ends:
		return "of a kind that is not known"
	case f.Age < 0:
		return "from the future"
	case f.Age > r.plan.MaxAge:
		return "older than the grace"
	case f.Uncertainty < 0 || f.Uncertainty > 1 || math.IsNaN(f.Uncertainty) ||
		math.IsNaN(f.Value) || math.IsInf(f.Value, 0) || f.Value < 0:
		return "not a figure"
	case f.Origin == "":
		return "nobody's"
	case f.Uncertainty == 1:
		return "of one that is warming up itself"
	case f.Kind <= Withdrawal && safety[f.State] == 0:
		return "in a state that is not known"
	case r.knownIDs[id{f.Kind, f.Key}]:
		return "known at first hand"
	}
	return ""
}

// offered keeps of each origin the youngest word: what one has from another adds nothing to what that one said.
// Two that start together so cannot make each other sure.
func (r *Session) offered(e Received) (out []Order) {
	refused := map[string]int{}
	for _, f := range e.Facts {
		why := r.fault(f)
		if why == "" && r.count >= r.plan.MaxFacts {
			why = "beyond what is kept"
		}
		if why != "" {
			refused[why]++
			continue
		}
		at := id{f.Kind, f.Key}
		h := r.facts[at]
		if h == nil {
			h = &heldFact{}
			r.facts[at] = h
		}
		i := slices.IndexFunc(h.facts, func(g Fact) bool { return g.Origin == f.Origin })
		switch {
		case i < 0:
			h.facts, h.at = append(h.facts, f), append(h.at, r.now)
			r.count++
		case r.age(h, i) > f.Age:
			h.facts[i], h.at[i] = f, r.now
		}
	}
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, Rejected{e.Source, why, refused[why]})
	}
	return out
}

func (r *Session) age(h *heldFact, i int) Time { return h.facts[i].Age + r.now - h.at[i] }

// part is how far a fact counts at its age.
func (r *Session) part(age Time, doubt float64) float64 {
	if age > r.plan.MaxAge {
		return 0
	}
	return (1 - doubt) * math.Exp2(-float64(age)/float64(max(r.plan.HalfLife, 1)))
}

// tell joins the facts of each thing and says what has changed. What has become too old is forgotten.
func (r *Session) tell() (out []Order) {
	for _, at := range slices.SortedFunc(maps.Keys(r.facts), func(a, b id) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	}) {
		h := r.facts[at]
		for i := len(h.facts) - 1; i >= 0; i-- {
			if r.age(h, i) > r.plan.MaxAge {
				h.facts, h.at = slices.Delete(h.facts, i, i+1), slices.Delete(h.at, i, i+1)
				r.count--
			}
		}
		if len(h.facts) == 0 {
			delete(r.facts, at)
			delete(r.believed, at)
			continue
		}
		b, other := r.join(h)
		was, told := r.believed[at]
		if told && was.State == b.State && was.Note == b.Note && was.Revision == b.Revision && was.Sources == b.Sources &&
			math.Abs(was.Value-b.Value) <= 0.01*was.Value {
			continue // only older
		}
		r.believed[at] = b
		if other != "" {
			out = append(out, Conflict{at.kind, at.key, b.State, other})
		}
		out = append(out, b)
	}
	return out
}

// join makes one of the facts of a thing. Of states the one of the newest list holds, but none that is less safe
// than another of the grace; of figures the mean by age and doubt.
func (r *Session) join(h *heldFact) (b Accepted, other string) {
	b.Sources = len(h.facts)
	order := make([]int, len(h.facts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		f, g := h.facts[i], h.facts[j]
		return cmp.Or(cmp.Compare(safety[g.State], safety[f.State]), cmp.Compare(g.Revision, f.Revision),
			cmp.Compare(r.age(h, i), r.age(h, j)), cmp.Compare(f.Origin, g.Origin))
	})
	first := order[0]
	b.Fact = h.facts[first]
	b.Age = r.age(h, first)
	if b.Kind <= TenantCell {
		if b.Kind == TenantCell { // no cell is safer than another: the youngest word holds
			for _, i := range order {
				if r.age(h, i) < b.Age {
					b.Fact, b.Age = h.facts[i], r.age(h, i)
				}
			}
		}
		for _, i := range order {
			if h.facts[i].State != b.State {
				other = h.facts[i].State
			}
			b.Confidence = max(b.Confidence, r.part(r.age(h, i), h.facts[i].Uncertainty))
		}
		return b, other
	}
	sum, weight, youngest := 0.0, 0.0, r.plan.MaxAge
	for _, i := range order {
		w := r.part(r.age(h, i), h.facts[i].Uncertainty)
		sum, weight, youngest = sum+w*h.facts[i].Value, weight+w, min(youngest, r.age(h, i))
		b.Confidence = max(b.Confidence, w)
	}
	b.Value, b.Age = sum/max(weight, 1e-12), youngest
	return b, ""
}

// Facts are what may be told to others: what each origin said, at its present age, so that a fact grows old
// wherever it goes.
func (r *Session) Facts() (all []Fact) {
	for _, h := range r.facts {
		for i, f := range h.facts {
			if f.Age = r.age(h, i); f.Age <= r.plan.MaxAge {
				all = append(all, f)
			}
		}
	}
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}
