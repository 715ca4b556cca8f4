// Package paxos is the agreement on one register, without its network, its disk and its time: what one disk has
// promised and accepted (Acceptor), and one attempt to have a value chosen (Proposal). Who votes, and how many are
// a quorum, its users know: consensus for the registers, rollout for its decisions.
//
// It is single-decree Paxos (Lamport, Paxos Made Simple, 2001), used again and again on the same register as in
// CASPaxos (Rystsov, 2018). A proposer prepares a ballot at a quorum, and learns from the promises which value may
// have been chosen under a lower ballot; it changes that value, and has the result accepted by a quorum. A value
// that a quorum has accepted under one ballot is chosen: every later ballot finds it.
//
// An acceptor's answer may be sent only once the state behind it is on its disk. Otherwise a loss of power would let it
// break a promise, or forget a value that was chosen with its vote.
package paxos

import "elmfold/internal/gateway/rpc"

// BallotNumber is the proposal number of a ballot.
type BallotNumber = rpc.BallotNumber

// Acceptor is the state of one disk for one register.
type Acceptor[V any] struct {
	Promised BallotNumber // no lower ballot is answered any more
	Accepted BallotNumber // the ballot under which Value was accepted; zero: none was
	Value    V
}

// Prepare handles phase 1 of a ballot. It reports false if a higher ballot was promised.
func (a *Acceptor[V]) Prepare(ballot BallotNumber) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised = ballot
	return true
}

// Accept handles phase 2 of a ballot. It reports false if a higher ballot was promised.
func (a *Acceptor[V]) Accept(ballot BallotNumber, value V) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = ballot, ballot, value
	return true
}

// Learn takes over a value that is known to be chosen under a ballot, and reports whether it was newer than what was
// accepted. The ballot may lie below what was promised: whoever was promised that has met this value in its quorum, or
// the value could not have been chosen.
func (a *Acceptor[V]) Learn(ballot BallotNumber, value V) bool {
	if !a.Accepted.Less(ballot) {
		return false
	}
	a.Accepted, a.Value = ballot, value
	if a.Promised.Less(ballot) {
		a.Promised = ballot
	}
	return true
}

// Phase of a Proposal.
type Phase uint8

// Phases of a Proposal.
const (
	Idle      Phase = iota // no ballot is under way
	Preparing              // promises are collected
	Accepting              // a value is proposed, and votes for it are collected
)

// Proposal is one ballot at the proposer that began it.
type Proposal[V any] struct {
	Ballot BallotNumber
	Phase  Phase
	// Responses are the acceptors that answered in this phase. While Preparing, the value is the ballot that the
	// acceptor had accepted.
	Responses       map[string]BallotNumber
	HighestAccepted BallotNumber // of the promises; zero: no acceptor had accepted a value
	Value           V            // while Preparing, the value of HighestAccepted; while Accepting, what is proposed
}

// Begin starts the ballot.
func (p *Proposal[V]) Begin(ballot BallotNumber) {
	*p = Proposal[V]{Ballot: ballot, Phase: Preparing, Responses: map[string]BallotNumber{}}
}

// Stop ends the ballot: responses no longer count.
func (p *Proposal[V]) Stop() { p.Phase, p.Responses = Idle, nil }

// OnPromise counts a promise. It reports false if the promise is not for this ballot, or was counted before.
func (p *Proposal[V]) OnPromise(acceptor string, ballot, accepted BallotNumber, value V) bool {
	if p.Phase != Preparing || ballot != p.Ballot || p.HasResponded(acceptor) {
		return false
	}
	p.Responses[acceptor] = accepted
	if p.HighestAccepted.Less(accepted) {
		p.HighestAccepted, p.Value = accepted, value
	}
	return true
}

// HasHighestAccepted reports whether an acceptor has promised, and had accepted the highest ballot itself.
func (p *Proposal[V]) HasHighestAccepted(acceptor string) bool {
	accepted, responded := p.Responses[acceptor]
	return responded && accepted == p.HighestAccepted
}

// StartAccept goes on to the second phase with a value. If HighestAccepted is not zero the value must be made of Value.
func (p *Proposal[V]) StartAccept(value V) {
	p.Phase, p.Responses, p.Value = Accepting, map[string]BallotNumber{}, value
}

// OnAccepted counts a vote. It reports false if the vote is not for this ballot, or was counted before.
func (p *Proposal[V]) OnAccepted(acceptor string, ballot BallotNumber) bool {
	if p.Phase != Accepting || ballot != p.Ballot || p.HasResponded(acceptor) {
		return false
	}
	p.Responses[acceptor] = ballot
	return true
}

// HasResponded reports whether an acceptor has answered in this phase.
func (p *Proposal[V]) HasResponded(acceptor string) bool {
	_, responded := p.Responses[acceptor]
	return responded
}
