package accord

import (
	"testing"
	"time"

	"elmfold/parley"
)

const ms = time.Millisecond

var three = Found{[]string{"c0", "c1", "c2"}}

func at(hi uint64) Stamp { return Stamp{Hi: hi, Lo: 1} }

func holding(hi uint64, value string) Register {
	return Register{Name: "zone/a", Stamp: at(hi), Value: []byte(value)}
}

func told(hi uint64) map[string]Stamp { return map[string]Stamp{"zone/a": at(hi)} }

// replica is c0 of three, in touch with the others.
func replica(votes bool, regs ...Register) *Replica {
	r := New("c0", 1, votes, regs)
	r.Step(0, three, Up{"c1"}, Up{"c2"})
	return r
}

func one[T any](orders []Order) (found T, n int) {
	for _, o := range orders {
		if o, is := o.(T); is {
			found = o
			n++
		}
	}
	return found, n
}

func sent(orders []Order, to string) (all []*parley.Message) {
	for _, o := range orders {
		if s, is := o.(Send); is && s.To == to {
			all = append(all, s.Message)
		}
	}
	return all
}

// other is c1, in touch with c0.
func other(regs ...Register) *Replica {
	r := New("c1", 1, true, regs)
	r.Step(0, three, Up{"c0"})
	return r
}

// answers are what c1 says to c0's words.
func answers(c1 *Replica, now time.Duration, words []*parley.Message) (events []Event) {
	for _, q := range words {
		for _, m := range sent(c1.Step(now, Heard{"c0", q}), "c0") {
			events = append(events, Heard{"c1", m})
		}
	}
	return events
}

// A disk that forgot votes again once it has what the others told it of, not once it has been told.
func TestForgottenDiskVotesOnlyWithWhatItWasToldOf(t *testing.T) {
	r := replica(false)
	r.Step(10*ms, Heard{"c1", &parley.Message{Held: told(5), All: true}}, Heard{"c2", &parley.Message{All: true}})
	r.Step(400 * ms)
	if r.Votes() {
		t.Fatal("it answers reads without the value that it asked for")
	}
	r.Step(410*ms, Heard{"c1", &parley.Message{Offers: []Register{holding(5, "1")}, Held: told(5)}})
	r.Step(420*ms, Persisted{Name: "zone/a", Stamp: at(5)})
	r.Step(800*ms, Heard{"c1", &parley.Message{Held: told(5), All: true}}, Heard{"c2", &parley.Message{Held: told(5), All: true}})
	if r.Step(1200 * ms); !r.Votes() {
		t.Error("it has all, and does not vote")
	}
}

// An answer to an earlier question that comes late says nothing of what was acknowledged since.
func TestAnAnswerToAnEarlierReadIsNone(t *testing.T) {
	r := replica(true, holding(5, "1"))
	c1 := other(holding(5, "1"))
	answers := func(now time.Duration, questions []*parley.Message) []Event { return answers(c1, now, questions) }
	r.Step(time.Second, Heard{"c1", &parley.Message{Held: told(5)}}) // safe
	first := answers(1100*ms, sent(r.Step(1100*ms, Read{1, "zone/a"}), "c1"))
	late := answers(1500*ms, sent(r.Step(1500*ms), "c1")) // asked again
	if d, n := one[Done](r.Step(1510*ms, first...)); n != 1 || !d.OK || d.Stamp != at(5) {
		t.Fatalf("%+v", d)
	}
	c1.Step(1600*ms, Heard{"c2", &parley.Message{Offers: []Register{holding(6, "0")}, Held: told(6)}})
	c1.Step(1610*ms, Persisted{Name: "zone/a", Stamp: at(6)}) // c2 acknowledges
	r.Step(1700*ms, Read{2, "zone/a"})
	if d, n := one[Done](r.Step(1710*ms, late...)); n > 0 {
		t.Errorf("a read that began after %v was acknowledged is answered with %v", at(6), d.Stamp)
	}
}

// The same order seconds later is a new one: between the two another may lie half done on a disk that is away.
func TestSameOrderAgainBeatsOneHalfDoneInBetween(t *testing.T) {
	r := replica(true, holding(1_000, "1"))
	r.Step(time.Second, Heard{"c1", &parley.Message{Held: told(1_000)}})
	c1 := other(holding(1_000, "1"))
	orders := r.Step(20*time.Second, Amend{Token: 1, Name: "zone/a", Value: []byte("1"), At: 20_000, Tie: 1})
	orders = r.Step(20*time.Second+ms, answers(c1, 20*time.Second, sent(orders, "c1"))...)
	if p, n := one[Persist](orders); n > 0 {
		r.Step(20*time.Second+2*ms, Persisted{Name: "zone/a", Stamp: p.Stamp},
			Heard{"c1", &parley.Message{Held: map[string]Stamp{"zone/a": p.Stamp}}})
	} else if d, n := one[Done](orders); n != 1 || !d.OK {
		t.Fatalf("%+v", orders)
	}
	// c2 is back with the opposite order, which nobody acknowledged.
	orders = r.Step(30*time.Second, Heard{"c2", &parley.Message{Offers: []Register{holding(9_000, "0")}, Held: told(9_000)}})
	if _, n := one[Persist](orders); n > 0 {
		t.Error("an order that was half done earlier takes the place of one acknowledged later")
	}
}

// One that is no founder learns what it missed, though what it asked for was lost.
func TestOthersThanFoundersLearnWhatTheyMissed(t *testing.T) {
	r := replica(true, holding(5, "1"))
	r.Step(time.Second, Up{"x"}) // what this says is lost
	orders := r.Step(1100*ms, Heard{"x", &parley.Message{Held: told(4)}})
	for now := 1200 * ms; now < 6*time.Second; now += 200 * ms {
		orders = append(orders, r.Step(now)...)
	}
	if len(sent(orders, "x")) == 0 {
		t.Error("nothing more is said to it")
	}
}

// The word of a disk that is replaced no longer counts when its line has broken and it is back without the value.
func TestWordOfAWipedDiskNoLongerCounts(t *testing.T) {
	r := New("c0", 2, true, nil)
	r.Step(0, Found{[]string{"c0", "c1", "c2", "c3", "c4"}}, Up{"c1"}, Up{"c2"}, Up{"c3"}, Up{"c4"})
	r.Step(10*ms, Write{1, holding(5, "1")})
	r.Step(20*ms, Persisted{Name: "zone/a", Stamp: at(5)}, Heard{"c1", &parley.Message{Held: told(5)}})
	r.Step(30*ms, Down{"c1"})
	r.Step(500*ms, Up{"c1"}, Heard{"c1", &parley.Message{Held: map[string]Stamp{}, Ask: true}})
	if _, n := one[Done](r.Step(510*ms, Heard{"c2", &parley.Message{Held: told(5)}})); n > 0 {
		t.Error("acknowledged on two disks of five, where three are needed")
	}
}
