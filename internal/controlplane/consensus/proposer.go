package consensus

import (
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

const (
	// RequestTimeout is how long a request may take. If its value was sent to acceptors by then, the outcome is
	// Indeterminate, otherwise Aborted.
	RequestTimeout = 3 * time.Second

	resendInterval  = 200 * time.Millisecond // for requests that acceptors have not answered
	minBackoff      = 8 * time.Millisecond   // after a preemption
	backoffJitter   = 24 * time.Millisecond  // maximum jitter for each consecutive preemption
	maxBackoffSteps = 8                      // preemptions after which the jitter no longer grows
)

// request is a proposal, or a read that needs a ballot.
type request struct {
	id        uint64 // 0 if the request only finishes an undecided ballot and has no caller
	change    ChangeFunc
	startedAt time.Duration
	outcome   Outcome // once the value that change returned is chosen
	proposed  bool    // its value may have been accepted by an acceptor
}

// keepCommitted is the ChangeFunc of requests that change nothing.
func keepCommitted(committed Register, _ Age) (Register, Outcome) { return committed, Committed }

func (r *Replica) onPropose(e Propose) {
	reg := r.registerFor(e.Register)
	reg.queue = append(reg.queue, &request{id: e.RequestID, change: e.Change, startedAt: r.now})
	r.startBallot(reg)
}

// finishOpenBallot decides an accepted value that may be chosen, without changing it.
func (r *Replica) finishOpenBallot(reg *register) {
	if len(reg.queue) == 0 && !reg.ballotInProgress() {
		reg.queue = append(reg.queue, &request{change: keepCommitted, startedAt: r.now})
		r.startBallot(reg)
	}
}

// startBallot begins a ballot for all queued requests.
func (r *Replica) startBallot(reg *register) {
	if reg.ballotInProgress() || len(reg.queue) == 0 || r.now < reg.retryAt || !r.canReachQuorum(reg) {
		return
	}
	if r.now < r.turnTime(reg) {
		r.announceWaiting(reg)
		return
	}
	if r.epoch.Number == 0 && reg.name != epochRegister {
		return // before the first epoch, only the epoch register is decided
	}
	reg.round = max(reg.round, roundOf(reg.acceptor.Promised)) + 1
	ballot := BallotNumber{Round: r.epoch.Number<<epochShift | reg.round, Incarnation: r.options.Incarnation}
	if r.options.bugs.unorderedEpochs {
		ballot.Round = reg.round
	}
	reg.turns.announced = openTurn{}
	reg.proposal.Begin(ballot)
	reg.batch, reg.queue = reg.queue, nil
	reg.age, reg.sentAt = Age{}, r.now
	r.broadcastPaxos(r.currentRequest(reg))
}

// roundOf returns a ballot's round within its epoch.
func roundOf(b BallotNumber) uint64 { return b.Round & (1<<epochShift - 1) }

// broadcastPaxos sends a request to all connected acceptors and to the local one.
func (r *Replica) broadcastPaxos(m rpc.PaxosMessage) {
	for _, to := range r.connectedPeers() {
		if r.countsVotesOf(r.peers[to]) {
			r.sendPaxos(to, m)
		}
	}
	r.answerAsAcceptor(r.options.Self.Name, r.registerFor(m.Register), &m)
}

// currentRequest returns the request of the current phase.
func (r *Replica) currentRequest(reg *register) rpc.PaxosMessage {
	m := rpc.PaxosMessage{Kind: rpc.Prepare, Register: reg.name, Ballot: reg.proposal.Ballot}
	if reg.proposal.Phase == paxos.Accepting {
		m.Kind, m.Value = rpc.Accept, reg.proposal.Value
		m.ValueAge = r.ageSince(reg.proposedChosenAt)
	}
	return m
}

// resendRequest sends the current request again to the acceptors that have not answered it.
func (r *Replica) resendRequest(reg *register) {
	if !reg.ballotInProgress() || r.now < reg.sentAt+resendInterval {
		return
	}
	reg.sentAt = r.now
	for _, to := range r.connectedPeers() {
		if p := r.peers[to]; r.countsVotesOf(p) && !reg.proposal.HasResponded(p.storeID) {
			r.sendPaxos(to, r.currentRequest(reg))
		}
	}
	if !reg.proposal.HasResponded(r.storeID) && !reg.writing { // an earlier write failed
		m := r.currentRequest(reg)
		r.answerAsAcceptor(r.options.Self.Name, reg, &m)
	}
}

// onPromise counts a promise. Once a quorum has promised, the requests are applied to the value with the highest
// accepted ballot, and the result is proposed.
func (r *Replica) onPromise(reg *register, storeID string, m *rpc.PaxosMessage) {
	if !reg.proposal.OnPromise(storeID, m.Ballot, m.AcceptedBallot, m.Value) {
		return
	}
	reg.updatePromisedAge(m)
	if !r.hasReadQuorum(reg, reg.proposal.HasResponded) {
		return
	}
	found := Register{Name: reg.name}
	if reg.proposal.Value != nil {
		found = *reg.proposal.Value
	}
	next, nextAge := reg.applyBatch(found, r.valueAge(reg, found))
	switch {
	case next.Version == Version{}: // no value exists, and none is proposed
		r.closeBallot(reg, next)
	case next.Version == found.Version && r.hasWriteQuorum(reg, reg.proposal.HasHighestAccepted):
		r.onDecided(reg, reg.proposal.HighestAccepted, found) // already durable under one ballot
	default:
		r.startAccept(reg, next, nextAge)
	}
}

// updatePromisedAge keeps the highest age that acceptors report for the value of the highest accepted ballot.
func (reg *register) updatePromisedAge(m *rpc.PaxosMessage) {
	if m.AcceptedBallot != reg.proposal.HighestAccepted || m.AcceptedBallot == (BallotNumber{}) {
		return
	}
	if m.AcceptedBallot != reg.ageBallot {
		reg.ageBallot, reg.age = m.AcceptedBallot, Age{}
	}
	age := time.Duration(m.ValueAge-1) * time.Millisecond
	if m.ValueAge > 0 && (!reg.age.Exact || age > reg.age.Duration) {
		reg.age = Age{Duration: age, Exact: true}
	}
}

// valueAge returns the age of the value that a quorum has promised. What the acceptors report lacks the time in which
// their promises arrived, so the age that this node knows itself is often higher.
func (r *Replica) valueAge(reg *register, value Register) Age {
	age := reg.age
	if reg.acceptor.Value.Version != value.Version {
		return age
	}
	switch {
	case reg.chosenAt != unknownTime:
		age = Age{Duration: max(age.Duration, r.now-reg.chosenAt), Exact: true}
	case !age.Exact:
		age.Duration = r.now - reg.receivedAt
	}
	return age
}

// applyBatch applies the requests in order, and returns the last value and its age.
func (reg *register) applyBatch(found Register, age Age) (Register, Age) {
	next := found
	for _, q := range reg.batch {
		before := next.Version
		next, q.outcome = q.change(next, age)
		if next.Version != before {
			age = Age{Exact: true}
		}
	}
	next.Name = reg.name
	return next, age
}

func (r *Replica) startAccept(reg *register, next Register, age Age) {
	for _, q := range reg.batch {
		q.proposed = true
	}
	reg.proposal.StartAccept(&next)
	reg.sentAt = r.now
	reg.proposedChosenAt = unknownTime
	if age.Exact {
		reg.proposedChosenAt = r.now - age.Duration
	}
	r.broadcastPaxos(r.currentRequest(reg))
}

func (r *Replica) onAccepted(reg *register, storeID string, m *rpc.PaxosMessage) {
	if reg.proposal.OnAccepted(storeID, m.Ballot) && r.hasWriteQuorum(reg, reg.proposal.HasResponded) {
		r.onDecided(reg, reg.proposal.Ballot, *reg.proposal.Value)
	}
}

// onDecided handles a value that is chosen under a ballot.
func (r *Replica) onDecided(reg *register, ballot BallotNumber, value Register) {
	closed := rpc.Consensus{ChosenBallots: map[string]BallotNumber{reg.name: ballot}}
	next := r.nextProposer(reg)
	if next != "" {
		closed.NextProposers = map[string]string{reg.name: next}
	}
	r.broadcast(closed)
	r.learnChosen(reg, ballot, value, 0)
	r.recordClosedBallot(reg, r.options.Self.Name, ballot, next)
	r.closeBallot(reg, value)
}

// closeBallot ends a ballot and reports the outcomes of its requests.
func (r *Replica) closeBallot(reg *register, value Register) {
	batch := reg.batch
	reg.proposal.Stop()
	reg.batch, reg.preemptions, reg.retryAt = nil, 0, 0
	for _, q := range batch {
		if q.id > 0 {
			r.emit(RequestDone{RequestID: q.id, Outcome: q.outcome, Register: value})
		}
	}
	if r.registers[reg.name] == reg { // not the epoch register of an earlier epoch
		r.startBallot(reg)
	}
}

// onPreempted stops a ballot after an acceptor has promised a higher one. The requests are retried after a growing
// random delay, so that two proposers do not preempt each other forever.
func (r *Replica) onPreempted(reg *register, by BallotNumber) {
	if !reg.ballotInProgress() || !reg.proposal.Ballot.Less(by) {
		return
	}
	reg.proposal.Stop()
	r.recordOpenBallot(reg, unknownProposer, by)
	reg.preemptions++
	steps := time.Duration(min(reg.preemptions, maxBackoffSteps))
	jitter := hash64(reg.round, r.options.Incarnation) % uint64(backoffJitter*steps)
	reg.retryAt = r.now + minBackoff + time.Duration(jitter)
	reg.requeue()
}

// requeue returns the requests of a ballot to the front of the queue.
func (reg *register) requeue() {
	reg.queue, reg.batch = append(reg.batch, reg.queue...), nil
}

// expireRequests ends expired requests, and the ballot if none of its requests is left. Otherwise a request could be
// committed long after its caller has given up, for example when a partition heals or a suspended process resumes.
func (r *Replica) expireRequests(reg *register) {
	expired := func(q *request) bool {
		if !r.isExpired(q) {
			return false
		}
		if q.id > 0 {
			outcome := Aborted
			if q.proposed {
				outcome = Indeterminate
			}
			r.emit(RequestDone{RequestID: q.id, Outcome: outcome, Register: reg.committed})
		}
		return true
	}
	reg.queue = slices.DeleteFunc(reg.queue, expired)
	reg.batch = slices.DeleteFunc(reg.batch, expired)
	if reg.ballotInProgress() && len(reg.batch) == 0 {
		reg.proposal.Stop()
	}
}

// isExpired reports whether a request has timed out. A caller's request also expires when quorum contact is lost: it
// could not succeed, and the caller reaches another node sooner than it would by waiting.
func (r *Replica) isExpired(q *request) bool {
	return r.now >= q.startedAt+RequestTimeout || q.id > 0 && !r.HasQuorum(r.now)
}

// Constants of hash64 (from splitmix64) and rendezvousHash (64-bit FNV-1a).
const (
	goldenRatio    = 0x9e3779b97f4a7c15
	splitmixFactor = 0xbf58476d1ce4e5b9
	fnvOffset64    = 14695981039346656037
	fnvPrime64     = 1099511628211
)

// hash64 combines two numbers into a pseudo-random one. It is deterministic, so that all nodes get the same result.
func hash64(a, b uint64) uint64 {
	x := a*goldenRatio ^ b
	x ^= x >> 31
	x *= splitmixFactor
	return x ^ x>>29
}

// rendezvousHash orders the disks for a register. The order is the same on all nodes.
func rendezvousHash(registerName, storeID string) uint64 {
	h := uint64(fnvOffset64)
	for _, s := range []string{registerName, "/", storeID} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime64
		}
	}
	return hash64(h, 0)
}
