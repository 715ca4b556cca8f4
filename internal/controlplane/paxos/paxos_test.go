package paxos

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// message is a word between a proposer and an acceptor. Once said it may come at any time, again and again, or never.
type message struct {
	kind     byte // 'a'sk, 'p'romise, 'o'ffer, 'g' agreed
	acceptor int
	ballot   BallotNumber
	accepted BallotNumber
	value    int
}

type world struct {
	acceptors [3]Acceptor[int]
	proposers [2]Proposal[int]
	begun     [2]int
	messages  []message                // in their order
	votes     map[BallotNumber][3]bool // by whom a ballot was accepted
	offered   map[BallotNumber]int     // its value
	chosen    int                      // 0: none
	flaw      string
}

const voters = "xyz"

func (w *world) clone() *world {
	c := *w
	c.messages = slices.Clone(w.messages)
	c.votes, c.offered = map[BallotNumber][3]bool{}, map[BallotNumber]int{}
	for b, v := range w.votes {
		c.votes[b] = v
	}
	for b, v := range w.offered {
		c.offered[b] = v
	}
	for i := range c.proposers {
		from := map[string]BallotNumber{}
		for who, b := range w.proposers[i].Responses {
			from[who] = b
		}
		c.proposers[i].Responses = from
	}
	return &c
}

func (w *world) say(m message) {
	if !slices.Contains(w.messages, m) {
		w.messages = append(w.messages, m)
		slices.SortFunc(w.messages, func(a, b message) int {
			return cmp.Or(
				cmp.Compare(a.kind, b.kind),
				cmp.Compare(a.acceptor, b.acceptor),
				cmp.Compare(a.ballot.Round, b.ballot.Round),
				cmp.Compare(a.ballot.Incarnation, b.ballot.Incarnation),
				cmp.Compare(
					a.accepted.Round,
					b.accepted.Round,
				),
				cmp.Compare(a.accepted.Incarnation, b.accepted.Incarnation),
				cmp.Compare(a.value, b.value),
			)
		})
	}
}

func (w *world) key() string {
	return fmt.Sprint(w.acceptors, w.proposers[0], w.proposers[1], w.begun, w.messages, w.chosen)
}

// hear delivers a message; an error says what must not be.
func (w *world) hear(m message) error {
	a := &w.acceptors[m.acceptor]
	who := voters[m.acceptor : m.acceptor+1]
	p := &w.proposers[m.ballot.Incarnation-1]
	switch m.kind {
	case 'a':
		if a.Prepare(m.ballot) {
			w.say(message{'p', m.acceptor, m.ballot, a.Accepted, a.Value})
		}
	case 'o':
		if a.Accept(m.ballot, m.value) {
			v := w.votes[m.ballot]
			v[m.acceptor] = true
			w.votes[m.ballot] = v
			w.say(message{'g', m.acceptor, m.ballot, BallotNumber{}, 0})
			n := 0
			for _, has := range v {
				if has {
					n++
				}
			}
			if n >= 2 && w.chosen != 0 && w.chosen != m.value {
				return fmt.Errorf("%d and %d are chosen", w.chosen, m.value)
			}
			if n >= 2 {
				w.chosen = m.value
			}
		}
	case 'p':
		if p.OnPromise(who, m.ballot, m.accepted, m.value) && len(p.Responses) >= 2 {
			value := int(m.ballot.Incarnation) // its own
			if p.HighestAccepted != (BallotNumber{}) && w.flaw != "own value" {
				value = p.Value
			}
			p.StartAccept(value)
			if was, there := w.offered[m.ballot]; there && was != value {
				return fmt.Errorf("ballot %v is offered with %d and %d", m.ballot, was, value)
			}
			w.offered[m.ballot] = value
			for i := range w.acceptors {
				w.say(message{'o', i, m.ballot, BallotNumber{}, value})
			}
		}
	case 'g':
		if p.OnAccepted(who, m.ballot) && len(p.Responses) >= 2 && w.chosen != p.Value {
			return fmt.Errorf("%d is thought to be chosen, %d is", p.Value, w.chosen)
		}
	}
	return nil
}

// explore visits the states, up to a bound, that 2 proposers with so many ballots and 3 acceptors can come to.
func explore(ballots [2]int, flaw string, most int) (states int, err error) {
	visited := map[string]bool{}
	stack := []*world{{votes: map[BallotNumber][3]bool{}, offered: map[BallotNumber]int{}, flaw: flaw}}
	for len(stack) > 0 && len(visited) < most {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		next := func(c *world) {
			if k := c.key(); !visited[k] {
				visited[k] = true
				stack = append(stack, c)
			}
		}
		for i := range w.proposers {
			if w.begun[i] < ballots[i] {
				c := w.clone()
				c.begun[i]++
				b := BallotNumber{Round: uint64(c.begun[i]), Incarnation: uint64(i + 1)}
				c.proposers[i].Begin(b)
				for j := range c.acceptors {
					c.say(message{'a', j, b, BallotNumber{}, 0})
				}
				next(c)
			}
		}
		for _, m := range w.messages {
			c := w.clone()
			if err := c.hear(m); err != nil {
				return len(visited), err
			}
			next(c)
		}
	}
	return len(visited), nil
}

// Two proposers and three acceptors, by depth first up to a bound, words that come late, twice, out of order or
// never: one value is chosen at most.
func TestInterleavings(t *testing.T) {
	const most = 5000
	states, err := explore([2]int{1, 1}, "", most)
	if err != nil {
		t.Error(err)
	}
	t.Logf("2 proposers of one ballot each, 3 acceptors: %d states, CUT there if %d", states, most)
	for _, flaw := range []string{"own value"} {
		states, err := explore([2]int{1, 1}, flaw, most)
		if err == nil {
			t.Errorf("%s: a flaw that is planted here is not seen", flaw)
		}
		t.Logf("%s: after %d states: %v", flaw, states, err)
	}
}

// A copy of what is chosen may lie below what was promised; it never takes back a newer one.
func TestLearn(t *testing.T) {
	a := Acceptor[string]{Promised: BallotNumber{Round: 9}, Accepted: BallotNumber{Round: 3}, Value: "three"}
	if a.Learn(BallotNumber{Round: 3}, "other") || a.Learn(BallotNumber{Round: 2}, "two") || a.Value != "three" {
		t.Errorf("%+v", a)
	}
	if !a.Learn(BallotNumber{Round: 5}, "five") || a.Value != "five" || a.Promised != (BallotNumber{Round: 9}) {
		t.Errorf("%+v", a)
	}
	if !a.Learn(BallotNumber{Round: 12}, "twelve") || a.Promised != (BallotNumber{Round: 12}) ||
		a.Prepare(BallotNumber{Round: 11}) ||
		a.Accept(BallotNumber{Round: 11}, "eleven") {
		t.Errorf("%+v", a)
	}
	if !a.Accept(BallotNumber{Round: 12}, "twelve") || !a.Prepare(BallotNumber{Round: 12}) {
		t.Errorf("what is asked again is refused: %+v", a)
	}
}

// What was not asked for, or was counted, does not count.
func TestProposalCountsOnce(t *testing.T) {
	var p Proposal[string]
	b := BallotNumber{Round: 2, Incarnation: 1}
	if p.OnPromise("x", b, BallotNumber{}, "") || p.OnAccepted("x", b) {
		t.Error("nothing was begun")
	}
	p.Begin(b)
	if !p.OnPromise("x", b, BallotNumber{Round: 1}, "one") || p.OnPromise("x", b, BallotNumber{Round: 1}, "one") ||
		p.OnPromise("y", BallotNumber{Round: 1, Incarnation: 1}, BallotNumber{}, "") ||
		p.OnAccepted("x", b) {
		t.Errorf("%+v", p)
	}
	if !p.OnPromise("y", b, BallotNumber{}, "") || !p.HasHighestAccepted("x") || p.HasHighestAccepted("y") || p.HasHighestAccepted("z") ||
		p.Value != "one" {
		t.Errorf("%+v", p)
	}
	p.StartAccept("new")
	if p.OnPromise("z", b, BallotNumber{Round: 1, Incarnation: 5}, "late") || p.HasResponded("x") ||
		!p.OnAccepted("x", b) ||
		p.OnAccepted("x", b) ||
		!p.HasResponded("x") ||
		p.Value != "new" {
		t.Errorf("%+v", p)
	}
	if p.Stop(); p.OnAccepted("y", b) {
		t.Error("it was stopped")
	}
}
