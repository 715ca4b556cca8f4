package warmstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const s = time.Second

func fact(kind Kind, key, state string, value float64, age Time, origin string) Fact {
	return Fact{Kind: kind, Key: key, State: state, Value: value, Age: age, Origin: origin}
}

func find[T Order](orders []Order) (all []T) {
	for _, o := range orders {
		if o, ok := o.(T); ok {
			all = append(all, o)
		}
	}
	return all
}

// Case 2: what is older than the grace, from the future, nobody's, or of one that warms up itself is refused in
// words with a count; the rest of the offer counts.
func TestCase2Liar(t *testing.T) {
	r := New(DefaultConfig())
	warming := fact(TotalLimit, "", "", 500, s, "n2")
	warming.Uncertainty = 1
	out := r.Step(0, []Event{
		Received{
			"n2",
			[]Fact{
				fact(
					Usage,
					"0/look",
					"",
					9,
					2*s,
					"n2",
				),
				fact(Usage, "1/look", "", 9, 10*time.Minute, "n2"),
				fact(Usage, "2/look", "", 9, -30*s, "n2"),
				fact(
					Usage,
					"3/look",
					"",
					math.NaN(),
					s,
					"n2",
				),
				fact(Usage, "4/look", "", 9, s, ""),
				warming,
				fact(99, "x", "", 1, s, "n2"),
				fact(Backend, "s-1", "UP", 0, s, "n2"),
			},
		},
	})
	var reasons []string
	for _, o := range find[Rejected](out) {
		reasons = append(reasons, fmt.Sprint(o.Reason, " ", o.Count))
	}
	want := []string{
		"from the future 1",
		"in a state that is not known 1",
		"nobody's 1",
		"not a figure 1",
		"of a kind that is not known 1",
		"of one that is warming up itself 1",
		"older than the grace 1",
	}
	if got := find[Accepted](out); len(got) != 1 || got[0].Key != "0/look" || !slices.Equal(reasons, want) {
		t.Errorf("believed %+v, refused %v", got, reasons)
	}
}

// Case 2: two that start together and tell each other what they have heard do not make each other sure: what was
// known at first hand grows old at both, and is gone after the grace.
func TestCase2NoEcho(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	a.Step(0, []Event{Received{"store", []Fact{fact(TotalLimit, "", "", 300, 5*s, "n1")}}})
	var last float64
	for now := Time(0); now < 2*time.Minute; now += s {
		a.Step(now, nil)
		b.Step(now, []Event{Received{"a", a.Facts()}})
		a.Step(now, []Event{Received{"b", b.Facts()}})
		if f := b.Facts(); len(f) > 0 {
			if f[0].Age != 5*s+now || f[0].Origin != "n1" {
				t.Fatalf("at %v it is %v old", now, f[0].Age)
			}
			last = now.Seconds()
		}
	}
	if last != 55 || len(a.Facts())+len(b.Facts()) > 0 {
		t.Errorf("last told at %v s, %d are left", last, len(a.Facts())+len(b.Facts()))
	}
}

// Case 3: of sources that disagree the safe side holds, whichever is younger or came first: a drain over serving,
// an end over a drain, out over in; people are told.
func TestCase3Disagree(t *testing.T) {
	states := []Fact{
		fact(Backend, "s-1", Serving, 0, s, "n2"),
		fact(Backend, "s-1", Draining, 0, 20*s, "n3"),
		fact(Backend, "s-1", Deleted, 0, 40*s, "n4"),
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		r := New(DefaultConfig())
		holds := ""
		for _, i := range order {
			out := r.Step(0, []Event{Received{"x", []Fact{states[i]}}})
			if b := find[Accepted](out); len(b) > 0 {
				holds = b[0].State
			}
		}
		if holds != Deleted {
			t.Errorf("in the order %v %s holds", order, holds)
		}
	}
	r := New(DefaultConfig())
	out := r.Step(
		0,
		[]Event{Received{"x", []Fact{fact(Withdrawal, "s-2", InRotation, 0, s, "n2"),
			fact(Withdrawal, "s-2", OutOfRotation, 0, 30*s, "n3"),
			fact(TenantCell, "acme", "red", 0, 9*s, "n2"), fact(TenantCell, "acme", "blue", 0, 3*s, "n3")}}},
	)
	b := find[Accepted](out)
	if len(b) != 2 || b[0].State != OutOfRotation || b[1].State != "blue" || len(find[Conflict](out)) != 2 {
		t.Errorf("orders %+v", out)
	}
	// What we know at first hand stands against all of it, and is told no more.
	out = r.Step(s, []Event{Observed{Withdrawal, "s-2"},
		Received{"x", []Fact{fact(Withdrawal, "s-2", OutOfRotation, 0, 0, "n4")}}})
	if len(find[Accepted](out)) != 0 || find[Rejected](out)[0].Reason != "known at first hand" {
		t.Errorf("orders %+v", out)
	}
}

// Figures count by age and doubt: a younger one more, a doubtful one less.
func TestFigures(t *testing.T) {
	r := New(DefaultConfig())
	doubtful := fact(Usage, "1", "", 100, 0, "n3")
	doubtful.Uncertainty = 0.75
	out := r.Step(0, []Event{Received{"x", []Fact{fact(Usage, "0", "", 10, 0, "n2"), fact(Usage, "0", "", 40, 10*s, "n3"),
		fact(Usage, "1", "", 10, 0, "n2"), doubtful}}})
	b := find[Accepted](out)
	if len(b) != 2 || math.Abs(b[0].Value-20) > 1e-9 || math.Abs(b[1].Value-28) > 1e-9 || b[0].Confidence != 1 {
		t.Errorf("believed %+v", b)
	}
}

// Case 5: after the grace nothing is believed or told, and nothing is kept.
func TestCase5Grace(t *testing.T) {
	plan := DefaultConfig()
	r := New(plan)
	r.Step(
		0,
		[]Event{Received{"store", []Fact{fact(Backend, "s-1", Draining, 0, 0, "n1"), fact(Usage, "0", "", 5, 30*s, "n1")}}},
	)
	r.Step(31*s, nil)
	if f := r.Facts(); len(f) != 1 || f[0].Kind != Backend {
		t.Errorf("after 31 s %+v", f)
	}
	r.Step(61*s, nil)
	if len(r.Facts()) > 0 || len(r.facts) > 0 || len(r.believed) > 0 || r.count != 0 {
		t.Errorf("after 61 s %d are kept", len(r.facts))
	}
}

// The plain model: all that was ever offered and not refused, the youngest word of each origin, joined anew each
// time. On generated offers what is told is what the model says.
func TestModel(t *testing.T) {
	for seed := range uint64(150) {
		chance := rand.New(rand.NewPCG(seed, 18))
		plan := DefaultConfig()
		r := New(plan)
		type word struct {
			Fact
			at Time
		}
		var words []word
		known := map[id]bool{}
		believed := map[id]Accepted{}
		now := Time(0)
		for range 60 {
			now += Time(chance.IntN(8000)) * time.Millisecond
			var events []Event
			for range chance.IntN(4) {
				f := Fact{
					Kind:        Kind(1 + chance.IntN(5)),
					Key:         fmt.Sprint(chance.IntN(3)),
					Age:         Time(chance.IntN(70)) * s,
					Origin:      fmt.Sprint("n", chance.IntN(3)),
					Uncertainty: float64(chance.IntN(5)) / 4,
					Revision:    int64(chance.IntN(3)),
				}
				switch f.Kind {
				case Backend:
					f.State = []string{Serving, Draining, Deleted}[chance.IntN(3)]
				case Withdrawal:
					f.State = []string{InRotation, OutOfRotation}[chance.IntN(2)]
				case TenantCell:
					f.State = []string{"red", "blue"}[chance.IntN(2)]
				default:
					f.Value = float64(chance.IntN(100))
				}
				events = append(events, Received{"x", []Fact{f}})
				if f.Age <= plan.MaxAge && f.Uncertainty < 1 && !known[id{f.Kind, f.Key}] {
					words = append(words, word{f, now})
				}
			}
			if chance.IntN(10) == 0 {
				k := Observed{Kind(1 + chance.IntN(5)), fmt.Sprint(chance.IntN(3))}
				events = append(events, k)
				known[id{k.Kind, k.Key}] = true
				delete(believed, id{k.Kind, k.Key})
			}
			for _, b := range find[Accepted](r.Step(now, events)) {
				believed[id{b.Kind, b.Key}] = b
			}
			// Anew, from all words.
			for kind := Backend; kind < ends; kind++ {
				for key := range 3 {
					at := id{kind, fmt.Sprint(key)}
					youngest := map[string]word{}
					for _, w := range words {
						if w.Kind != kind || w.Key != at.key || w.Age+now-w.at > plan.MaxAge {
							continue
						}
						if was, ok := youngest[w.Origin]; !ok || w.Age-w.at < was.Age-was.at {
							youngest[w.Origin] = w
						}
					}
					got, told := believed[at]
					if known[at] || len(youngest) == 0 {
						continue
					}
					if !told {
						t.Fatalf("seed %d: %v is not told", seed, at)
					}
					safest, sum, weight := 0, 0.0, 0.0
					for _, w := range youngest {
						safest = max(safest, safety[w.State])
						p := (1 - w.Uncertainty) * math.Exp2(-float64(w.Age+now-w.at)/float64(plan.HalfLife))
						sum, weight = sum+p*w.Value, weight+p
					}
					if kind <= Withdrawal && safety[got.State] < safest {
						t.Fatalf("seed %d, %v: %v holds %s, a safer one was told", seed, now, at, got.State)
					}
					if kind > TenantCell && math.Abs(got.Value-sum/weight) > 0.011*math.Max(got.Value, 1) {
						t.Fatalf("seed %d, %v: %v is %v, the model %v", seed, now, at, got.Value, sum/weight)
					}
				}
			}
		}
	}
}

// What is kept has a bound, and the same offers give the same orders.
func TestBoundAndReplay(t *testing.T) {
	plan := DefaultConfig()
	plan.MaxFacts = 50
	play := func() (all []Order, kept int) {
		r := New(plan)
		for i := range 200 {
			all = append(
				all,
				r.Step(Time(i)*time.Millisecond, []Event{Received{"x", []Fact{fact(Usage, fmt.Sprint(i), "", 1, 0, "n2")}}})...)
		}
		return all, len(r.Facts())
	}
	a, kept := play()
	if b, _ := play(); kept != 50 || !reflect.DeepEqual(a, b) {
		t.Errorf("%d facts are kept", kept)
	}
}
