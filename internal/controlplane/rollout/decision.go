package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
)

const (
	// ballotRetryInterval is the minimum time between two ballots of a node. A jitter of up to the same length is added,
	// so that one of several proposers succeeds.
	ballotRetryInterval = 300 * time.Millisecond
	// voterStagger is the delay between the first ballots of nodes of successive rank.
	voterStagger = 100 * time.Millisecond
)

func (c *Coordinator) send(to string, m Message) {
	if c.connected[to] {
		c.emit(Send{to, m})
	}
}

// broadcast sends a message to all voters, including this node.
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

// onPersisted sends the answers that waited for a record. If the write failed, no answer is sent; the proposer retries.
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

// dropSuperseded removes the versions below the committed one. Their records stay until the committed version's record
// is durable: if a crash lost both, this node could vote again on a version that it has voted on.
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
	if m.Version < c.committed.Version { // closed: a higher version is committed
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
			v.proposal.Stop() // without a delay, two proposers could preempt each other forever
		}
	case DecidedNotice:
		c.onDecided(v, m.Value)
	}
}

// answerAsAcceptor handles a prepare or accept request. A promise or a vote is sent once it is durable.
func (c *Coordinator) answerAsAcceptor(from string, v *trackedVersion, m Message) {
	if v.Decided {
		c.sendAnswer(from, Message{Kind: DecidedNotice, Version: v.Version, Value: v.Value})
		return
	}
	mayVote := c.isVoter && v.Version > c.closedUpTo && slices.Contains(c.voters, c.self)
	if !mayVote {
		return // this node may have lost a promise that it made
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

// startBallot starts a ballot if this node has a decision to propose, or an accepted value to recover.
func (c *Coordinator) startBallot(v *trackedVersion) {
	if v.Decided || v.Version <= c.committed.Version || c.now < v.retryAt {
		return
	}
	mustRecover := v.recoverAt != unset && c.now >= v.recoverAt
	if !mustRecover && !c.mayPropose(v) {
		return
	}
	if promises, _ := c.Quorums(); c.reachableVoters() < promises {
		return // the ballot could not succeed
	}
	v.maxRound++
	v.proposal.Begin(BallotNumber{Round: v.maxRound, Incarnation: c.incarnation})
	jitter := time.Duration(rendezvousHash(v.maxRound, c.self) % uint64(ballotRetryInterval))
	v.retryAt = c.now + ballotRetryInterval + jitter
	c.broadcast(Message{Kind: PrepareRequest, Version: v.Version, Ballot: v.proposal.Ballot})
}

// mayPropose reports whether this node has a decision to propose and its delay has passed. All nodes reach the same
// decision at about the same time; nodes of higher rank propose only if those of lower rank have not succeeded.
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

// rankAmongVoters returns the number of connected voters that precede this node.
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

// reachableVoters returns the number of connected voters, including this node.
func (c *Coordinator) reachableVoters() (n int) {
	for _, voter := range c.voters {
		if voter == c.self || c.connected[voter] {
			n++
		}
	}
	return n
}

// onPromise starts phase 2 once enough voters have promised. The proposed value is that of the highest accepted ballot,
// or this node's own decision if no value was accepted.
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

// onDecided applies the first decision it gets for a version and ignores further ones.
func (c *Coordinator) onDecided(v *trackedVersion, d Decision) {
	if v.Decided {
		return
	}
	v.proposal.Stop()
	v.Decided, v.Value, v.recoverAt = true, d, unset
	seq := c.persist(v) // no answer waits for this record: the decision can be recovered from the votes
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
