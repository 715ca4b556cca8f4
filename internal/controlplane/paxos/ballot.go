// Package paxos is the agreement on one register, without its network, its disk and its time: what one disk has
// promised and accepted (Acceptor), and one attempt to have a value chosen (Proposal). Who votes, and how many are
// enough, its users know: accord's registers and stage's decisions.
//
// It is single-decree Paxos (Lamport, Paxos Made Simple, 2001), used again and again on the same register as CASPaxos
// does (Rystsov 2018): a proposer reads from a quorum, changes what it found, and writes to a quorum. An acceptor's
// answer may be said only once the state behind it is on its disk.
package paxos

import "elmfold/internal/gateway/rpc"

// BallotNumber is a ballot's number: Hi rises, Lo tells proposers and their lives apart. The zero BallotNumber is before all.
type BallotNumber = rpc.BallotNumber

// Acceptor is one disk's part in one register.
type Acceptor[V any] struct {
	Promised BallotNumber // no ballot below it is taken any more
	Accepted BallotNumber // the ballot under which Value was accepted; zero: none
	Value    V
}

// Promise answers the first question of a ballot. False: a higher one was promised.
func (a *Acceptor[V]) Promise(b BallotNumber) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept takes the value of a ballot. False: a higher one was promised.
func (a *Acceptor[V]) Accept(b BallotNumber, v V) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = b, b, v
	return true
}

// Learn takes a value that is known to be chosen under a ballot. It may lie below what was promised: whoever was
// promised that either met this value in its quorum, or it could not have been chosen.
func (a *Acceptor[V]) Learn(b BallotNumber, v V) bool {
	if !a.Accepted.Less(b) {
		return false
	}
	a.Accepted, a.Value = b, v
	if a.Promised.Less(b) {
		a.Promised = b
	}
	return true
}

// Phase of a Proposal.
type Phase uint8

// Phases: nothing is under way; promises are asked for; a value is offered.
const (
	Idle Phase = iota
	Asking
	Offering
)

// Proposal is one ballot at the one that began it.
type Proposal[V any] struct {
	Ballot BallotNumber
	Phase  Phase
	From   map[string]BallotNumber // who answered in this phase; while Asking: what ballot it had accepted
	Best   BallotNumber            // the greatest of them; zero: none had any value
	Value  V                       // ... and its value; while Offering, what is offered
}

// Begin starts a ballot.
func (p *Proposal[V]) Begin(b BallotNumber) {
	*p = Proposal[V]{Ballot: b, Phase: Asking, From: map[string]BallotNumber{}}
}

// Stop ends it: nothing is counted any more.
func (p *Proposal[V]) Stop() { p.Phase, p.From = Idle, nil }

// Promised counts a promise; false: it is none of this ballot's, or was counted.
func (p *Proposal[V]) Promised(who string, b, accepted BallotNumber, v V) bool {
	if p.Phase != Asking || b != p.Ballot {
		return false
	}
	if _, again := p.From[who]; again {
		return false
	}
	p.From[who] = accepted
	if p.Best.Less(accepted) {
		p.Best, p.Value = accepted, v
	}
	return true
}

// Has says whether one promised and has accepted the best ballot itself.
func (p *Proposal[V]) Has(who string) bool {
	b, answered := p.From[who]
	return answered && b == p.Best
}

// Offer goes on to the second phase with a value, made of the best one.
func (p *Proposal[V]) Offer(v V) { p.Phase, p.From, p.Value = Offering, map[string]BallotNumber{}, v }

// Agreed counts an agreement; false as with Promised.
func (p *Proposal[V]) Agreed(who string, b BallotNumber) bool {
	if p.Phase != Offering || b != p.Ballot {
		return false
	}
	if _, again := p.From[who]; again {
		return false
	}
	p.From[who] = b
	return true
}

// Answered says whether one has answered in this phase.
func (p *Proposal[V]) Answered(who string) bool {
	_, answered := p.From[who]
	return answered
}
