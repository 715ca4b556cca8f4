package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
)

const (
	// ballotRetryInterval is when a ballot without an end gives way to the next, plus up to as much again by name and
	// round, so that one of several proposers gets through.
	ballotRetryInterval = 300 * time.Millisecond
	// voterStagger is the pause between the first ballots of the nodes, in the order of their rank.
	voterStagger = 100 * time.Millisecond
)

func (c *Coordinator) send(to string, m Message) {
	if c.connected[to] {
		c.emit(Send{to, m})
	}
}

// broadcast sends a message to all voters, this node included.
func (c *Coordinator) broadcast(m Message) {
	for _, voter := range c.voters {
		if voter != c.self {
			c.send(voter, m)
		}
	}
	if slices.Contains(c.voters, c.self) {
		c.onMessage(c.self, m)
	}
}

func (c *Coordinator) sendAnswer(to string, m Message) {
	if to == c.self {
		c.onMessage(to, m)
		return
	}
	c.send(to, m)
}

func (c *Coordinator) persist(v *trackedVersion) (seq uint64) {
	c.seq++
	c.emit(Persist{c.seq, v.Vote})
	return c.seq
}

// onPersisted sends the answers that waited for a record. A disk that failed answers nothing; whoever asked asks again.
func (c *Coordinator) onPersisted(e Persisted) {
	var ready []pendingAnswer
	c.answers = slices.DeleteFunc(c.answers, func(a pendingAnswer) bool {
		if a.seq == e.Seq && e.Err == nil {
			ready = append(ready, a)
		}
		return a.seq == e.Seq
	})
	if e.Seq == c.obsoleteSeq && e.Err == nil {
		c.dropObsolete()
	}
	for _, a := range ready {
		c.sendAnswer(a.to, a.message)
	}
}

// dropSuperseded lets go of the versions below the committed one. Their records stay until that one's is on the disk: a
// disk without either would vote anew on what it has voted on.
func (c *Coordinator) dropSuperseded() {
	for _, number := range c.sortedVersions() {
		if number < c.committed.Version {
			delete(c.versions, number)
			c.obsolete = append(c.obsolete, number)
		}
	}
}

func (c *Coordinator) dropObsolete() {
	for _, number := range c.obsolete {
		c.emit(Drop{number})
	}
	c.obsolete = nil
}

func (c *Coordinator) onMessage(from string, m Message) {
	if m.Version < c.committed.Version { // closed for good, as a higher one is committed
		if m.Kind == PrepareRequest || m.Kind == AcceptRequest {
			c.sendAnswer(from, Message{
				Kind:    DecidedNotice,
				Version: c.committed.Version,
				Value:   Decision{Committed: true, Digest: c.committed.Digest},
			})
		}
		return
	}
	v := c.version(m.Version)
	v.maxRound = max(v.maxRound, m.Ballot.Round)
	switch m.Kind {
	case PrepareRequest, AcceptRequest:
		c.answerAsAcceptor(from, v, m)
	case PromiseResponse:
		if v.proposal.OnPromise(from, m.Ballot, m.Accepted, m.Value) {
			c.onPromise(v)
		}
	case AcceptedResponse:
		_, votes := c.Quorums()
		if v.proposal.OnAccepted(from, m.Ballot) && len(v.proposal.Responses) >= votes {
			c.onDecided(v, v.proposal.Value)
		}
	case PreemptedResponse:
		if v.proposal.Phase != paxos.Idle && v.proposal.Ballot.Less(m.Ballot) {
			v.proposal.Stop() // the next ballot waits: two that preempt each other at once would do so for ever
		}
	case DecidedNotice:
		c.onDecided(v, m.Value)
	}
}

// answerAsAcceptor handles a request to this disk. A promise or a vote is sent once it is on the disk.
func (c *Coordinator) answerAsAcceptor(from string, v *trackedVersion, m Message) {
	if v.Decided {
		c.sendAnswer(from, Message{Kind: DecidedNotice, Version: v.Version, Value: v.Value})
		return
	}
	mayVote := c.isVoter && v.Version > c.closedUpTo && slices.Contains(c.voters, c.self)
	if !mayVote {
		return // it may have forgotten what it promised
	}
	answer := Message{Version: v.Version, Ballot: m.Ballot}
	switch {
	case m.Kind == PrepareRequest && v.Prepare(m.Ballot):
		answer.Kind, answer.Accepted, answer.Value = PromiseResponse, v.Accepted, v.Value
	case m.Kind == AcceptRequest && v.Accept(m.Ballot, m.Value):
		answer.Kind = AcceptedResponse
		if v.recoverAt == unset {
			v.recoverAt = c.now + 2*ballotRetryInterval
		}
	default:
		answer.Kind, answer.Ballot = PreemptedResponse, v.Promised
		c.sendAnswer(from, answer)
		return
	}
	c.answers = append(c.answers, pendingAnswer{c.persist(v), from, answer})
}

// startBallot begins a ballot, where there is something to be decided or to be found out.
func (c *Coordinator) startBallot(v *trackedVersion) {
	if v.Decided || v.Version <= c.committed.Version || c.now < v.retryAt {
		return
	}
	mustRecover := v.recoverAt != unset && c.now >= v.recoverAt
	if !mustRecover && !c.mayPropose(v) {
		return
	}
	if promises, _ := c.Quorums(); c.reachableVoters() < promises {
		return // nothing would come of it but higher rounds
	}
	v.maxRound++
	v.proposal.Begin(BallotNumber{Round: v.maxRound, Incarnation: c.incarnation})
	jitter := time.Duration(rendezvousHash(v.maxRound, c.self) % uint64(ballotRetryInterval))
	v.retryAt = c.now + ballotRetryInterval + jitter
	c.broadcast(Message{Kind: PrepareRequest, Version: v.Version, Ballot: v.proposal.Ballot})
}

// mayPropose reports whether this node has a decision to propose, and it is its turn. All nodes see the last
// confirmation at about the same time: one proposal is enough, the others are for its death.
func (c *Coordinator) mayPropose(v *trackedVersion) bool {
	if c.ownDecision(v).isZero() {
		v.wantedAt = unset
		return false
	}
	if v.wantedAt == unset {
		v.wantedAt = c.now
	}
	return c.now >= v.wantedAt+time.Duration(c.rankAmongVoters(v.Version))*voterStagger
}

// rankAmongVoters is the number of connected voters that come before this node.
func (c *Coordinator) rankAmongVoters(version uint64) (rank int) {
	isVoter := slices.Contains(c.voters, c.self)
	own := rendezvousHash(version, c.self)
	for _, voter := range c.voters {
		if c.connected[voter] && voter != c.self && (!isVoter || rendezvousHash(version, voter) < own) {
			rank++
		}
	}
	return rank
}

// reachableVoters is the number of connected voters, this node included.
func (c *Coordinator) reachableVoters() (n int) {
	for _, voter := range c.voters {
		if voter == c.self || c.connected[voter] {
			n++
		}
	}
	return n
}

// onPromise goes on with the value of the highest ballot that was accepted. The node's own decision counts only where
// there is none.
func (c *Coordinator) onPromise(v *trackedVersion) {
	if promises, _ := c.Quorums(); len(v.proposal.Responses) < promises {
		return
	}
	value := v.proposal.Value
	if v.proposal.HighestAccepted == (BallotNumber{}) {
		value = c.ownDecision(v)
		if value.isZero() {
			v.proposal.Stop()
			v.recoverAt = unset
			return
		}
	}
	v.proposal.StartAccept(value)
	c.broadcast(Message{Kind: AcceptRequest, Version: v.Version, Ballot: v.proposal.Ballot, Value: value})
}

// onDecided takes over the decision, once.
func (c *Coordinator) onDecided(v *trackedVersion, d Decision) {
	if v.Decided {
		return
	}
	v.proposal.Stop()
	v.Decided, v.Value, v.recoverAt = true, d, unset
	seq := c.persist(v) // nobody waits for it: the records of the ballots are enough to find the decision again
	c.emit(VersionDecided{v.Version, d})
	for _, to := range slices.Sorted(maps.Keys(c.connected)) {
		c.send(to, Message{Kind: DecidedNotice, Version: v.Version, Value: d})
	}
	if !d.Committed {
		c.sendCommand("", CommandDiscard, Target{Version: v.Version})
		return
	}
	if c.committed.Version < v.Version {
		c.committed, c.closedUpTo = Target{v.Version, d.Digest}, max(c.closedUpTo, v.Version)
		c.obsoleteSeq = seq
		c.dropSuperseded()
		c.sendCommand("", CommandActivate, c.committed)
	}
}
