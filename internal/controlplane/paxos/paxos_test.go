package paxos

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
)

type messageKind uint8

const (
	prepare messageKind = iota
	accepted
	accept
	promise
)

// message is a message between a proposer and an acceptor. Once sent, it may be delivered at any time, any number of
// times, or never.
type message struct {
	kind           messageKind
	acceptor       int
	ballot         BallotNumber
	acceptedBallot BallotNumber // of a promise
	value          int
}

// injectedBug is a fault that a test adds to the proposer, to show that the model detects it.
type injectedBug string

const (
	noBug             injectedBug = ""
	ignoresHighestBug injectedBug = "proposer ignores the highest accepted value"
)

const quorum = 2

// model is a system of three acceptors and two proposers, with all messages that were sent.
type model struct {
	acceptors [3]Acceptor[int]
	proposers [2]Proposal[int]
	begun     [2]int // ballots by proposer
	messages  []message
	votes     map[BallotNumber][3]bool // the acceptors that accepted each ballot
	proposed  map[BallotNumber]int     // the value proposed under each ballot
	chosen    int                      // 0: none
	bug       injectedBug
}

const acceptorNames = "xyz"

func (m *model) clone() *model {
	c := *m
	c.messages = slices.Clone(m.messages)
	c.votes, c.proposed = maps.Clone(m.votes), maps.Clone(m.proposed)
	for i := range c.proposers {
		responses := map[string]BallotNumber{}
		maps.Copy(responses, m.proposers[i].Responses)
		c.proposers[i].Responses = responses
	}
	return &c
}

// send keeps the messages sorted, so that equal states have equal keys.
func (m *model) send(msg message) {
	if !slices.Contains(m.messages, msg) {
		m.messages = append(m.messages, msg)
		slices.SortFunc(m.messages, compareMessages)
	}
}

func compareMessages(a, b message) int {
	return cmp.Or(
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.acceptor, b.acceptor),
		cmp.Compare(a.ballot.Round, b.ballot.Round),
		cmp.Compare(a.ballot.Incarnation, b.ballot.Incarnation),
		cmp.Compare(a.acceptedBallot.Round, b.acceptedBallot.Round),
		cmp.Compare(a.acceptedBallot.Incarnation, b.acceptedBallot.Incarnation),
		cmp.Compare(a.value, b.value),
	)
}

func (m *model) key() string {
	return fmt.Sprint(m.acceptors, m.proposers[0], m.proposers[1], m.begun, m.messages, m.chosen)
}

// deliver handles a message at its receiver. It returns an error if that breaks an invariant.
func (m *model) deliver(msg message) error {
	acceptor := &m.acceptors[msg.acceptor]
	acceptorName := acceptorNames[msg.acceptor : msg.acceptor+1]
	proposer := &m.proposers[msg.ballot.Incarnation-1]
	switch msg.kind {
	case prepare:
		if acceptor.Prepare(msg.ballot) {
			m.send(message{promise, msg.acceptor, msg.ballot, acceptor.Accepted, acceptor.Value})
		}
	case promise:
		isNew := proposer.OnPromise(acceptorName, msg.ballot, msg.acceptedBallot, msg.value)
		if isNew && len(proposer.Responses) >= quorum {
			return m.propose(proposer, msg.ballot)
		}
	case accept:
		if acceptor.Accept(msg.ballot, msg.value) {
			m.send(message{kind: accepted, acceptor: msg.acceptor, ballot: msg.ballot})
			return m.countVote(msg)
		}
	case accepted:
		isNew := proposer.OnAccepted(acceptorName, msg.ballot)
		if isNew && len(proposer.Responses) >= quorum && m.chosen != proposer.Value {
			return fmt.Errorf("proposer takes %d for chosen, %d is chosen", proposer.Value, m.chosen)
		}
	}
	return nil
}

// propose begins phase 2 of a ballot.
func (m *model) propose(proposer *Proposal[int], ballot BallotNumber) error {
	value := int(ballot.Incarnation) // the proposer's own value
	if proposer.HighestAccepted != (BallotNumber{}) && m.bug != ignoresHighestBug {
		value = proposer.Value
	}
	proposer.StartAccept(value)
	if previous, has := m.proposed[ballot]; has && previous != value {
		return fmt.Errorf("ballot %v proposes both %d and %d", ballot, previous, value)
	}
	m.proposed[ballot] = value
	for i := range m.acceptors {
		m.send(message{kind: accept, acceptor: i, ballot: ballot, value: value})
	}
	return nil
}

// countVote records that an acceptor accepted a ballot, and checks that only one value is ever chosen.
func (m *model) countVote(msg message) error {
	votes := m.votes[msg.ballot]
	votes[msg.acceptor] = true
	m.votes[msg.ballot] = votes
	count := 0
	for _, hasVoted := range votes {
		if hasVoted {
			count++
		}
	}
	if count < quorum {
		return nil
	}
	if m.chosen != 0 && m.chosen != msg.value {
		return fmt.Errorf("both %d and %d are chosen", m.chosen, msg.value)
	}
	m.chosen = msg.value
	return nil
}

// explore visits, depth first, up to maxStates states that are reachable with a number of ballots per proposer. It
// stops at the first state that breaks an invariant.
func explore(ballots [2]int, bug injectedBug, maxStates int) (states int, err error) {
	visited := map[string]bool{}
	stack := []*model{{votes: map[BallotNumber][3]bool{}, proposed: map[BallotNumber]int{}, bug: bug}}
	for len(stack) > 0 && len(visited) < maxStates {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		push := func(next *model) {
			if key := next.key(); !visited[key] {
				visited[key] = true
				stack = append(stack, next)
			}
		}
		for i := range current.proposers {
			if current.begun[i] < ballots[i] {
				next := current.clone()
				next.beginBallot(i)
				push(next)
			}
		}
		for _, msg := range current.messages {
			next := current.clone()
			if err := next.deliver(msg); err != nil {
				return len(visited), err
			}
			push(next)
		}
	}
	return len(visited), nil
}

func (m *model) beginBallot(proposer int) {
	m.begun[proposer]++
	ballot := BallotNumber{Round: uint64(m.begun[proposer]), Incarnation: uint64(proposer + 1)}
	m.proposers[proposer].Begin(ballot)
	for i := range m.acceptors {
		m.send(message{kind: prepare, acceptor: i, ballot: ballot})
	}
}

// Guards against two chosen values when messages are delayed, duplicated, reordered or lost.
func TestInterleavings(t *testing.T) {
	const maxStates = 5000
	states, err := explore([2]int{1, 1}, noBug, maxStates)
	if err != nil {
		t.Error(err)
	}
	t.Logf("2 proposers with one ballot each, 3 acceptors: %d states; incomplete if %d", states, maxStates)
	states, err = explore([2]int{1, 1}, ignoresHighestBug, maxStates)
	if err == nil {
		t.Errorf("injected bug was not detected: %s", ignoresHighestBug)
	}
	t.Logf("%s: after %d states: %v", ignoresHighestBug, states, err)
}

// Learn accepts a chosen value below the promised ballot, but never replaces a newer value.
func TestLearn(t *testing.T) {
	a := Acceptor[string]{Promised: BallotNumber{Round: 9}, Accepted: BallotNumber{Round: 3}, Value: "three"}
	if a.Learn(BallotNumber{Round: 3}, "other") || a.Learn(BallotNumber{Round: 2}, "two") || a.Value != "three" {
		t.Errorf("replaced by a value that is not newer: %+v", a)
	}
	if !a.Learn(BallotNumber{Round: 5}, "five") || a.Value != "five" || a.Promised != (BallotNumber{Round: 9}) {
		t.Errorf("newer value below the promised ballot: %+v", a)
	}
	if !a.Learn(BallotNumber{Round: 12}, "twelve") || a.Promised != (BallotNumber{Round: 12}) ||
		a.Prepare(BallotNumber{Round: 11}) ||
		a.Accept(BallotNumber{Round: 11}, "eleven") {
		t.Errorf("value above the promised ballot: %+v", a)
	}
	if !a.Accept(BallotNumber{Round: 12}, "twelve") || !a.Prepare(BallotNumber{Round: 12}) {
		t.Errorf("repeated request was rejected: %+v", a)
	}
}

// Responses count once, and only for the current ballot and phase.
func TestProposalCountsOnce(t *testing.T) {
	var p Proposal[string]
	b := BallotNumber{Round: 2, Incarnation: 1}
	if p.OnPromise("x", b, BallotNumber{}, "") || p.OnAccepted("x", b) {
		t.Error("response counted before the ballot began")
	}
	p.Begin(b)
	if !p.OnPromise("x", b, BallotNumber{Round: 1}, "one") || p.OnPromise("x", b, BallotNumber{Round: 1}, "one") ||
		p.OnPromise("y", BallotNumber{Round: 1, Incarnation: 1}, BallotNumber{}, "") ||
		p.OnAccepted("x", b) {
		t.Errorf("first promise: %+v", p)
	}
	if !p.OnPromise("y", b, BallotNumber{}, "") || p.Value != "one" ||
		!p.HasHighestAccepted("x") ||
		p.HasHighestAccepted("y") ||
		p.HasHighestAccepted("z") {
		t.Errorf("second promise: %+v", p)
	}
	p.StartAccept("new")
	if p.OnPromise("z", b, BallotNumber{Round: 1, Incarnation: 5}, "late") || p.HasResponded("x") ||
		!p.OnAccepted("x", b) ||
		p.OnAccepted("x", b) ||
		!p.HasResponded("x") ||
		p.Value != "new" {
		t.Errorf("phase 2: %+v", p)
	}
	if p.Stop(); p.OnAccepted("y", b) {
		t.Error("vote counted after Stop")
	}
}
