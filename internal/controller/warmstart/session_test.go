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

const second = time.Second

func fact(kind Kind, key, state string, value float64, age Time, origin string) Fact {
	return Fact{Kind: kind, Key: key, State: state, Value: value, Age: age, Origin: origin}
}

// ordersOf returns the orders of type T.
func ordersOf[T Order](orders []Order) (all []T) {
	for _, o := range orders {
		if o, ok := o.(T); ok {
			all = append(all, o)
		}
	}
	return all
}

// Each invalid fact is rejected with a reason; the valid fact beside them is accepted.
func TestInvalidFactsRejected(t *testing.T) {
	session := New(DefaultConfig())
	warming := fact(TotalLimit, "", "", 500, second, "n2")
	warming.Uncertainty = 1
	out := session.Step(0, []Event{
		Received{
			"n2",
			[]Fact{
				fact(Usage, "0/look", "", 9, 2*second, "n2"),
				fact(Usage, "1/look", "", 9, 10*time.Minute, "n2"),
				fact(Usage, "2/look", "", 9, -30*second, "n2"),
				fact(Usage, "3/look", "", math.NaN(), second, "n2"),
				fact(Usage, "4/look", "", 9, second, ""),
				warming,
				fact(99, "x", "", 1, second, "n2"),
				fact(Backend, "s-1", "UP", 0, second, "n2"),
			},
		},
	})
	var reasons []string
	for _, o := range ordersOf[Rejected](out) {
		reasons = append(reasons, fmt.Sprint(o.Reason, " ", o.Count))
	}
	want := []string{
		"exceeds the maximum age 1",
		"invalid number 1",
		"negative age 1",
		"no origin 1",
		"origin is warming up 1",
		"unknown kind 1",
		"unknown state 1",
	}
	if got := ordersOf[Accepted](out); len(got) != 1 || got[0].Key != "0/look" || !slices.Equal(reasons, want) {
		t.Errorf("accepted %+v, rejected %v", got, reasons)
	}
}

// Two sessions that exchange facts do not refresh them: the facts age at both and expire.
func TestExchangedFactsExpire(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	a.Step(0, []Event{Received{"store", []Fact{fact(TotalLimit, "", "", 300, 5*second, "n1")}}})
	var last float64
	for now := Time(0); now < 2*time.Minute; now += second {
		a.Step(now, nil)
		b.Step(now, []Event{Received{"a", a.Facts()}})
		a.Step(now, []Event{Received{"b", b.Facts()}})
		if f := b.Facts(); len(f) > 0 {
			if f[0].Age != 5*second+now || f[0].Origin != "n1" {
				t.Fatalf("at %v the age is %v", now, f[0].Age)
			}
			last = now.Seconds()
		}
	}
	if last != 55 || len(a.Facts())+len(b.Facts()) > 0 {
		t.Errorf("last fact at %v s, %d facts remain", last, len(a.Facts())+len(b.Facts()))
	}
}

// If origins disagree, the safer state wins, whatever the ages and the order of arrival, and a Conflict is reported.
func TestSaferStateWins(t *testing.T) {
	states := []Fact{
		fact(Backend, "s-1", Serving, 0, second, "n2"),
		fact(Backend, "s-1", Draining, 0, 20*second, "n3"),
		fact(Backend, "s-1", Deleted, 0, 40*second, "n4"),
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		session := New(DefaultConfig())
		state := ""
		for _, i := range order {
			out := session.Step(0, []Event{Received{"x", []Fact{states[i]}}})
			if accepted := ordersOf[Accepted](out); len(accepted) > 0 {
				state = accepted[0].State
			}
		}
		if state != Deleted {
			t.Errorf("in the order %v the state is %s", order, state)
		}
	}
	session := New(DefaultConfig())
	out := session.Step(
		0,
		[]Event{
			Received{
				"x",
				[]Fact{
					fact(Withdrawal, "s-2", InRotation, 0, second, "n2"),
					fact(Withdrawal, "s-2", OutOfRotation, 0, 30*second, "n3"),
					fact(TenantCell, "acme", "red", 0, 9*second, "n2"),
					fact(TenantCell, "acme", "blue", 0, 3*second, "n3"),
				},
			},
		},
	)
	accepted := ordersOf[Accepted](out)
	if len(accepted) != 2 || accepted[0].State != OutOfRotation || accepted[1].State != "blue" ||
		len(ordersOf[Conflict](out)) != 2 {
		t.Errorf("orders %+v", out)
	}
	// Once the withdrawal is observed here, received facts about it are rejected.
	out = session.Step(second, []Event{
		Observed{Withdrawal, "s-2"},
		Received{"x", []Fact{fact(Withdrawal, "s-2", OutOfRotation, 0, 0, "n4")}},
	})
	if len(ordersOf[Accepted](out)) != 0 || ordersOf[Rejected](out)[0].Reason != "already observed here" {
		t.Errorf("orders %+v", out)
	}
}

// Values are averaged by confidence: older and more uncertain facts weigh less.
func TestValuesAveragedByConfidence(t *testing.T) {
	session := New(DefaultConfig())
	uncertain := fact(Usage, "1", "", 100, 0, "n3")
	uncertain.Uncertainty = 0.75
	out := session.Step(0, []Event{
		Received{
			"x",
			[]Fact{
				fact(Usage, "0", "", 10, 0, "n2"),
				fact(Usage, "0", "", 40, 10*second, "n3"),
				fact(Usage, "1", "", 10, 0, "n2"),
				uncertain,
			},
		},
	})
	accepted := ordersOf[Accepted](out)
	if len(accepted) != 2 || math.Abs(accepted[0].Value-20) > 1e-9 || math.Abs(accepted[1].Value-28) > 1e-9 ||
		accepted[0].Confidence != 1 {
		t.Errorf("accepted %+v", accepted)
	}
}

// Facts that exceed the maximum age are removed.
func TestOldFactsRemoved(t *testing.T) {
	session := New(DefaultConfig())
	session.Step(0, []Event{
		Received{
			"store",
			[]Fact{fact(Backend, "s-1", Draining, 0, 0, "n1"), fact(Usage, "0", "", 5, 30*second, "n1")},
		},
	})
	session.Step(31*second, nil)
	if f := session.Facts(); len(f) != 1 || f[0].Kind != Backend {
		t.Errorf("after 31 s %+v", f)
	}
	session.Step(61*second, nil)
	if len(session.Facts()) > 0 || len(session.facts) > 0 || len(session.accepted) > 0 || session.count != 0 {
		t.Errorf("after 61 s %d facts remain", len(session.facts))
	}
}

// On random events, the session agrees with a model that merges all valid facts anew after each step.
func TestModel(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 18))
		config := DefaultConfig()
		session := New(config)
		type receivedFact struct {
			Fact
			at Time
		}
		var received []receivedFact
		observed := map[factID]bool{}
		accepted := map[factID]Accepted{}
		now := Time(0)
		for range 60 {
			now += Time(random.IntN(8000)) * time.Millisecond
			var events []Event
			for range random.IntN(4) {
				f := Fact{
					Kind:        Kind(1 + random.IntN(5)),
					Key:         fmt.Sprint(random.IntN(3)),
					Age:         Time(random.IntN(70)) * second,
					Origin:      fmt.Sprint("n", random.IntN(3)),
					Uncertainty: float64(random.IntN(5)) / 4,
					Revision:    int64(random.IntN(3)),
				}
				switch f.Kind {
				case Backend:
					f.State = []string{Serving, Draining, Deleted}[random.IntN(3)]
				case Withdrawal:
					f.State = []string{InRotation, OutOfRotation}[random.IntN(2)]
				case TenantCell:
					f.State = []string{"red", "blue"}[random.IntN(2)]
				default:
					f.Value = float64(random.IntN(100))
				}
				events = append(events, Received{"x", []Fact{f}})
				if f.Age <= config.MaxAge && f.Uncertainty < 1 && !observed[factID{f.Kind, f.Key}] {
					received = append(received, receivedFact{f, now})
				}
			}
			if random.IntN(10) == 0 {
				o := Observed{Kind(1 + random.IntN(5)), fmt.Sprint(random.IntN(3))}
				events = append(events, o)
				observed[factID{o.Kind, o.Key}] = true
				delete(accepted, factID{o.Kind, o.Key})
			}
			for _, a := range ordersOf[Accepted](session.Step(now, events)) {
				accepted[factID{a.Kind, a.Key}] = a
			}
			for kind := Backend; kind < kindEnd; kind++ {
				for key := range 3 {
					id := factID{kind, fmt.Sprint(key)}
					youngest := map[string]receivedFact{} // by origin
					for _, f := range received {
						if f.Kind != kind || f.Key != id.key || f.Age+now-f.at > config.MaxAge {
							continue
						}
						if previous, ok := youngest[f.Origin]; !ok || f.Age-f.at < previous.Age-previous.at {
							youngest[f.Origin] = f
						}
					}
					got, reported := accepted[id]
					if observed[id] || len(youngest) == 0 {
						continue
					}
					if !reported {
						t.Fatalf("seed %d: %v is not reported", seed, id)
					}
					safest, sum, weights := 0, 0.0, 0.0
					for _, f := range youngest {
						safest = max(safest, safetyRank[f.State])
						weight := (1 - f.Uncertainty) * math.Exp2(-float64(f.Age+now-f.at)/float64(config.HalfLife))
						sum, weights = sum+weight*f.Value, weights+weight
					}
					if kind <= Withdrawal && safetyRank[got.State] < safest {
						t.Fatalf("seed %d, %v: %v is %s, a safer state was received", seed, now, id, got.State)
					}
					if kind > TenantCell && math.Abs(got.Value-sum/weights) > 0.011*math.Max(got.Value, 1) {
						t.Fatalf("seed %d, %v: %v is %v, the model has %v", seed, now, id, got.Value, sum/weights)
					}
				}
			}
		}
	}
}

// The number of facts is bounded, and the same events give the same orders.
func TestBoundAndReplay(t *testing.T) {
	config := DefaultConfig()
	config.MaxFacts = 50
	run := func() (all []Order, count int) {
		session := New(config)
		for i := range 200 {
			received := Received{"x", []Fact{fact(Usage, fmt.Sprint(i), "", 1, 0, "n2")}}
			all = append(all, session.Step(Time(i)*time.Millisecond, []Event{received})...)
		}
		return all, len(session.Facts())
	}
	a, count := run()
	if b, _ := run(); count != 50 || !reflect.DeepEqual(a, b) {
		t.Errorf("%d facts, want 50; or the orders differ", count)
	}
}
