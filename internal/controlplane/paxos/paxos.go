// Package paxos implements the acceptor and proposer state of single-decree Paxos (Lamport, Paxos Made Simple, 2001),
// without network, disk or clock. Its users decide who votes and what a quorum is.
//
// The same register is decided repeatedly, as in CASPaxos (Rystsov, 2018): a proposer prepares a ballot at a quorum,
// learns from the promises the value that may have been chosen under a lower ballot, derives a new value from it, and
// has the new value accepted by a quorum. A value that a quorum has accepted under one ballot is chosen, and every
// later ballot finds it.
//
// An acceptor's state must be on its disk before the answer is sent. Otherwise a power loss could make it break a
// promise, or forget a value that was chosen with its vote.
package paxos

import "elmfold/internal/gateway/rpc"

// BallotNumber is the proposal number of a ballot.
type BallotNumber = rpc.BallotNumber

// Acceptor is the state of one acceptor for one register.
type Acceptor[V any] struct {
	Promised BallotNumber // requests with a lower ballot are rejected
	Accepted BallotNumber // the ballot of Value; zero if no value was accepted
	Value    V
}

// Prepare handles a phase 1 request. It returns false if a higher ballot was promised.
func (a *Acceptor[V]) Prepare(ballot BallotNumber) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised = ballot
	return true
}

// Accept handles a phase 2 request. It returns false if a higher ballot was promised.
func (a *Acceptor[V]) Accept(ballot BallotNumber, value V) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = ballot, ballot, value
	return true
}

// Learn stores a value that is known to be chosen under a ballot. It returns false if the accepted ballot is at least
// as high. The promised ballot may be higher: its proposer has found the chosen value in its own quorum.
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

// Phase is the phase of a Proposal.
type Phase uint8

// Phases of a Proposal.
const (
	Idle      Phase = iota // no ballot in progress
	Preparing              // phase 1: collects promises
	Accepting              // phase 2: collects votes for Value
)

// Proposal is the proposer state of one ballot.
type Proposal[V any] struct {
	Ballot BallotNumber
	Phase  Phase
	// Responses holds the acceptors that answered in this phase, each with the ballot that it has accepted.
	Responses       map[string]BallotNumber
	HighestAccepted BallotNumber // among the promises; zero if no acceptor had accepted a value
	Value           V            // in phase 1 the value of HighestAccepted, in phase 2 the proposed value
}

// Begin starts phase 1 of a ballot.
func (p *Proposal[V]) Begin(ballot BallotNumber) {
	*p = Proposal[V]{Ballot: ballot, Phase: Preparing, Responses: map[string]BallotNumber{}}
}

// Stop ends the ballot. Later responses are ignored.
func (p *Proposal[V]) Stop() { p.Phase, p.Responses = Idle, nil }

// OnPromise counts a promise. It returns false for a duplicate, or if the promise is not for this ballot and phase.
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

// HasHighestAccepted reports whether an acceptor has promised and has itself accepted HighestAccepted.
func (p *Proposal[V]) HasHighestAccepted(acceptor string) bool {
	accepted, responded := p.Responses[acceptor]
	return responded && accepted == p.HighestAccepted
}

// StartAccept begins phase 2 with a value. Unless HighestAccepted is zero, the value must be derived from Value.
func (p *Proposal[V]) StartAccept(value V) {
	p.Phase, p.Responses, p.Value = Accepting, map[string]BallotNumber{}, value
}

// OnAccepted counts a vote. It returns false for a duplicate, or if the vote is not for this ballot and phase.
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
