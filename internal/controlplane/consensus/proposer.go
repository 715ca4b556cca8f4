package consensus

import (
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

const (
	// RequestTimeout is how long a request may take. Of one that was not decided by then nothing is known, unless it was
	// never sent to any disk.
	RequestTimeout = 3 * time.Second

	resendInterval  = 200 * time.Millisecond // of a request to those that have not answered it
	minBackoff      = 8 * time.Millisecond   // of a proposer that was preempted
	backoffJitter   = 24 * time.Millisecond  // added to it, times the preemptions in a row
	maxBackoffSteps = 8
)

// request is a proposal, or a read that became one.
type request struct {
	id        uint64 // 0: nobody waits for it; a ballot that was left open is only finished
	change    ChangeFunc
	startedAt time.Duration
	outcome   Outcome // once what change returned is chosen
	proposed  bool    // it may have been accepted by some disk
}

// keepCommitted is the ChangeFunc of requests that change nothing.
func keepCommitted(committed Register, _ Age) (Register, Outcome) { return committed, Committed }

func (r *Replica) onPropose(e Propose) {
	g := r.registerFor(e.Register)
	g.queue = append(g.queue, &request{id: e.RequestID, change: e.Change, startedAt: r.now})
	r.startBallot(g)
}

// finishOpenProposal has a value decided that was accepted and may be chosen, without changing it.
func (r *Replica) finishOpenProposal(g *register) {
	if len(g.queue) == 0 && !g.ballotUnderWay() {
		g.queue = append(g.queue, &request{change: keepCommitted, startedAt: r.now})
		r.startBallot(g)
	}
}

// startBallot begins a ballot for all requests that wait.
func (r *Replica) startBallot(g *register) {
	if g.ballotUnderWay() || len(g.queue) == 0 || r.now < g.retryAt || !r.canReachQuorum(g) {
		return
	}
	if r.now < r.turnTime(g) {
		r.announceWaiting(g)
		return
	}
	if r.epoch.Number == 0 && g.name != epochRegister {
		return // before the first epoch the seeds decide who votes, and nothing else
	}
	g.round = max(g.round, roundOf(g.acceptor.Promised)) + 1
	ballot := BallotNumber{Round: r.epoch.Number<<epochShift | g.round, Incarnation: r.options.Incarnation}
	if r.options.bugs.unorderedEpochs {
		ballot.Round = g.round
	}
	g.turns.announced = openTurn{}
	g.proposal.Begin(ballot)
	g.batch, g.queue = g.queue, nil
	g.age, g.sentAt = Age{}, r.now
	r.broadcastPaxos(r.currentRequest(g))
}

// roundOf is a ballot's round within its epoch.
func roundOf(b BallotNumber) uint64 { return b.Round & (1<<epochShift - 1) }

// broadcastPaxos sends a request to all whose votes count, and to the own disk.
func (r *Replica) broadcastPaxos(m rpc.PaxosMessage) {
	for _, to := range r.connectedPeers() {
		if r.countsVotesOf(r.peers[to]) {
			r.sendPaxos(to, m)
		}
	}
	r.answerAsAcceptor(r.options.Self.Name, r.registerFor(m.Register), &m)
}

// currentRequest is what the ballot under way asks of acceptors.
func (r *Replica) currentRequest(g *register) rpc.PaxosMessage {
	m := rpc.PaxosMessage{Kind: rpc.Prepare, Register: g.name, Ballot: g.proposal.Ballot}
	if g.proposal.Phase == paxos.Accepting {
		m.Kind, m.Value = rpc.Accept, g.proposal.Value
		m.ValueAge = r.ageSince(g.proposedChosenAt)
	}
	return m
}

// resendRequest sends the current request again to those that have not answered it.
func (r *Replica) resendRequest(g *register) {
	if !g.ballotUnderWay() || r.now < g.sentAt+resendInterval {
		return
	}
	g.sentAt = r.now
	for _, to := range r.connectedPeers() {
		if p := r.peers[to]; r.countsVotesOf(p) && !g.proposal.HasResponded(p.storeID) {
			r.sendPaxos(to, r.currentRequest(g))
		}
	}
	if !g.proposal.HasResponded(r.storeID) && !g.writing { // the own disk failed before
		m := r.currentRequest(g)
		r.answerAsAcceptor(r.options.Self.Name, g, &m)
	}
}

// onPromise counts a promise. Once a quorum has promised, the requests are applied to the value of the highest ballot
// that was accepted, and the result is proposed.
func (r *Replica) onPromise(g *register, storeID string, m *rpc.PaxosMessage) {
	if !g.proposal.OnPromise(storeID, m.Ballot, m.AcceptedBallot, m.Value) {
		return
	}
	g.notePromisedAge(m)
	if !r.hasReadQuorum(g, g.proposal.HasResponded) {
		return
	}
	found := Register{Name: g.name}
	if g.proposal.Value != nil {
		found = *g.proposal.Value
	}
	age := g.age
	if !age.Exact && g.acceptor.Value.Version == found.Version {
		age.Duration = r.now - g.receivedAt
	}
	next, nextAge := g.applyBatch(found, age)
	switch {
	case next.Version == Version{}: // there is no value, and none is wanted
		r.closeBallot(g, next)
	case next.Version == found.Version && r.hasWriteQuorum(g, g.proposal.HasHighestAccepted):
		r.onDecided(g, g.proposal.HighestAccepted, found) // enough disks have it under one ballot already
	default:
		r.startAccept(g, next, nextAge)
	}
}

// notePromisedAge keeps the longest that any acceptor has had the value of the highest ballot.
func (g *register) notePromisedAge(m *rpc.PaxosMessage) {
	if m.AcceptedBallot != g.proposal.HighestAccepted || m.AcceptedBallot == (BallotNumber{}) {
		return
	}
	if m.AcceptedBallot != g.ageBallot {
		g.ageBallot, g.age = m.AcceptedBallot, Age{}
	}
	age := time.Duration(m.ValueAge-1) * time.Millisecond
	if m.ValueAge > 0 && (!g.age.Exact || age > g.age.Duration) {
		g.age = Age{Duration: age, Exact: true}
	}
}

// applyBatch applies the requests one after the other, and returns the last value with its age.
func (g *register) applyBatch(found Register, age Age) (Register, Age) {
	next := found
	for _, q := range g.batch {
		before := next.Version
		next, q.outcome = q.change(next, age)
		if next.Version != before {
			age = Age{Exact: true}
		}
	}
	next.Name = g.name
	return next, age
}

func (r *Replica) startAccept(g *register, next Register, age Age) {
	for _, q := range g.batch {
		q.proposed = true
	}
	g.proposal.StartAccept(&next)
	g.sentAt = r.now
	g.proposedChosenAt = unknownTime
	if age.Exact {
		g.proposedChosenAt = r.now - age.Duration
	}
	r.broadcastPaxos(r.currentRequest(g))
}

func (r *Replica) onAccepted(g *register, storeID string, m *rpc.PaxosMessage) {
	if g.proposal.OnAccepted(storeID, m.Ballot) && r.hasWriteQuorum(g, g.proposal.HasResponded) {
		r.onDecided(g, g.proposal.Ballot, *g.proposal.Value)
	}
}

// onDecided: the value is chosen under the ballot.
func (r *Replica) onDecided(g *register, ballot BallotNumber, value Register) {
	closed := rpc.Consensus{ChosenBallots: map[string]BallotNumber{g.name: ballot}}
	next := r.nextProposer(g)
	if next != "" {
		closed.NextProposers = map[string]string{g.name: next}
	}
	r.broadcast(closed)
	r.learnChosen(g, ballot, value, 0)
	r.noteClosedBallot(g, r.options.Self.Name, ballot, next)
	r.closeBallot(g, value)
}

// closeBallot ends a ballot whose requests have their outcomes.
func (r *Replica) closeBallot(g *register, value Register) {
	batch := g.batch
	g.proposal.Stop()
	g.batch, g.preemptions, g.retryAt = nil, 0, 0
	for _, q := range batch {
		if q.id > 0 {
			r.emit(RequestDone{RequestID: q.id, Outcome: q.outcome, Register: value})
		}
	}
	if r.registers[g.name] == g { // otherwise it was the epoch register of an epoch that is over now
		r.startBallot(g)
	}
}

// onPreempted: an acceptor has promised a higher ballot. The requests back off, by more each time, so that two
// proposers do not preempt each other for ever.
func (r *Replica) onPreempted(g *register, by BallotNumber) {
	if !g.ballotUnderWay() || !g.proposal.Ballot.Less(by) {
		return
	}
	g.proposal.Stop()
	r.noteOpenBallot(g, unknownProposer, by)
	g.preemptions++
	steps := time.Duration(min(g.preemptions, maxBackoffSteps))
	jitter := hash64(g.round, r.options.Incarnation) % uint64(backoffJitter*steps)
	g.retryAt = r.now + minBackoff + time.Duration(jitter)
	g.requeue()
}

// requeue puts the requests of a ballot back to the front of the queue.
func (g *register) requeue() {
	g.queue, g.batch = append(g.batch, g.queue...), nil
}

// expireRequests ends the requests whose time is over, and a ballot that nobody waits for any more. Otherwise a request
// could be committed whose caller has given up: when a partition heals, or when a process wakes with promises in its
// sockets.
func (r *Replica) expireRequests(g *register) {
	expired := func(q *request) bool {
		if !r.isExpired(q) {
			return false
		}
		if q.id > 0 {
			outcome := Aborted
			if q.proposed {
				outcome = Indeterminate
			}
			r.emit(RequestDone{RequestID: q.id, Outcome: outcome, Register: g.committed})
		}
		return true
	}
	g.queue = slices.DeleteFunc(g.queue, expired)
	g.batch = slices.DeleteFunc(g.batch, expired)
	if g.ballotUnderWay() && len(g.batch) == 0 {
		g.proposal.Stop()
	}
}

// isExpired: without quorum contact nothing would come of a caller's request, and the caller finds another node sooner
// than it would by waiting.
func (r *Replica) isExpired(q *request) bool {
	return r.now >= q.startedAt+RequestTimeout || q.id > 0 && !r.HasQuorum(r.now)
}

// Constants of hash64 and rendezvousHash: the golden ratio and a multiplier of splitmix64; FNV-1a of 64 bits.
const (
	goldenRatio    = 0x9e3779b97f4a7c15
	splitmixFactor = 0xbf58476d1ce4e5b9
	fnvOffset64    = 14695981039346656037
	fnvPrime64     = 1099511628211
)

// hash64 draws a number from two, the same for all that ask.
func hash64(a, b uint64) uint64 {
	x := a*goldenRatio ^ b
	x ^= x >> 31
	x *= splitmixFactor
	return x ^ x>>29
}

// rendezvousHash gives each disk a place for each register, the same for all that ask.
func rendezvousHash(registerName, storeID string) uint64 {
	h := uint64(fnvOffset64)
	for _, s := range []string{registerName, "/", storeID} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime64
		}
	}
	return hash64(h, 0)
}
