package consensus

import (
	"time"
)

// readBallotDelay is how long a read waits for the voters to agree before it starts a ballot.
const readBallotDelay = 100 * time.Millisecond

// pendingRead is a linearizable read. It asks the voters for the ballots that they have accepted. If a quorum has
// accepted the same highest ballot, its value is chosen, and no later value was chosen before the read began. Otherwise
// a ballot decides.
type pendingRead struct {
	id        uint64
	register  string
	startedAt time.Duration
	askedAt   time.Duration
	queryID   uint64                  // of the first query in this epoch, 0 if none; answers to later queries count too
	answers   map[string]BallotNumber // the accepted ballots, by store id
}

func (r *Replica) onRead(e ReadRequest) {
	r.reads = append(r.reads, &pendingRead{
		id:        e.RequestID,
		register:  e.Register,
		startedAt: r.now,
		askedAt:   never,
		answers:   map[string]BallotNumber{},
	})
}

// restart discards the answers of an earlier epoch.
func (q *pendingRead) restart() { q.queryID, q.answers = 0, map[string]BallotNumber{} }

// advanceRead continues a read. It returns true once the read is answered or replaced by a ballot.
func (r *Replica) advanceRead(q *pendingRead) bool {
	reg := r.registerFor(q.register)
	if r.now >= q.startedAt+RequestTimeout || !r.HasQuorum(r.now) {
		r.emit(RequestDone{RequestID: q.id, Outcome: Aborted, Register: reg.committed})
		return true
	}
	r.queryForRead(q)
	if r.IsVoter() {
		q.answers[r.storeID] = reg.storedBallot
	}
	answered := func(v Voter) bool { _, has := q.answers[v.StoreID]; return has }
	if !r.epoch.HasMajority(answered) {
		return false
	}
	if r.answerRead(q, reg) {
		return true
	}
	if r.now < q.startedAt+readBallotDelay {
		return false
	}
	reg.queue = append(reg.queue, &request{id: q.id, startedAt: q.startedAt, change: keepCommitted})
	r.startBallot(reg)
	return true
}

// queryForRead asks all peers for their accepted ballots, at most once per resendInterval.
func (r *Replica) queryForRead(q *pendingRead) {
	if q.queryID > 0 && r.now < q.askedAt+resendInterval {
		return
	}
	id := r.nextQueryID()
	if q.queryID == 0 {
		q.queryID = id
	}
	q.askedAt = r.now
	r.queryState(id)
}

// answerRead answers a read if the answers of the voters suffice.
func (r *Replica) answerRead(q *pendingRead, reg *register) bool {
	var highest BallotNumber
	for _, ballot := range q.answers {
		if highest.Less(ballot) {
			highest = ballot
		}
	}
	if highest == (BallotNumber{}) { // no voter of a majority has accepted a value
		r.emit(RequestDone{RequestID: q.id, Outcome: Committed, Register: Register{Name: q.register}})
		return true
	}
	hasHighest := func(v Voter) bool { return q.answers[v.StoreID] == highest }
	if reg.acceptor.Accepted != highest || !r.epoch.IsDurable(r.options.MaxFaults, hasHighest) {
		return false
	}
	r.learnChosen(reg, highest, reg.acceptor.Value, 0)
	r.emit(RequestDone{RequestID: q.id, Outcome: Committed, Register: reg.acceptor.Value})
	return true
}
