package consensus

import (
	"time"
)

// readBallotDelay is how long a read waits for the voters to agree before it becomes a ballot.
const readBallotDelay = 100 * time.Millisecond

// pendingRead is a read that asks the voters for the ballots that they have accepted. Where enough of them have the
// same, its value is chosen, and no later one was chosen before the read began. Where they differ, a ballot
// decides.
type pendingRead struct {
	id        uint64
	register  string
	startedAt time.Duration
	askedAt   time.Duration
	queryID   uint64                  // of the first query in this epoch; answers to later ones count too; 0: none
	answers   map[string]BallotNumber // by store id: the ballot that it has accepted
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

// restart has a read begin anew, in another epoch.
func (q *pendingRead) restart() { q.queryID, q.answers = 0, map[string]BallotNumber{} }

// advanceRead moves a read on, and reports whether it is over.
func (r *Replica) advanceRead(q *pendingRead) bool {
	g := r.registerFor(q.register)
	if r.now >= q.startedAt+RequestTimeout || !r.HasQuorum(r.now) {
		r.emit(RequestDone{RequestID: q.id, Outcome: Aborted, Register: g.committed})
		return true
	}
	r.queryForRead(q)
	if r.IsVoter() {
		q.answers[r.storeID] = g.storedBallot
	}
	answered := func(v Voter) bool { _, has := q.answers[v.StoreID]; return has }
	if !r.epoch.HasMajority(answered) {
		return false
	}
	if r.answerRead(q, g) {
		return true
	}
	if r.now < q.startedAt+readBallotDelay {
		return false
	}
	g.queue = append(g.queue, &request{id: q.id, startedAt: q.startedAt, change: keepCommitted})
	r.startBallot(g)
	return true
}

// queryForRead asks all peers for what they have accepted, now and again.
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
func (r *Replica) answerRead(q *pendingRead, g *register) bool {
	var highest BallotNumber
	for _, ballot := range q.answers {
		if highest.Less(ballot) {
			highest = ballot
		}
	}
	if highest == (BallotNumber{}) { // a majority has accepted nothing
		r.emit(RequestDone{RequestID: q.id, Outcome: Committed, Register: Register{Name: q.register}})
		return true
	}
	hasHighest := func(v Voter) bool { return q.answers[v.StoreID] == highest }
	if g.acceptor.Accepted != highest || !r.epoch.IsDurable(r.options.MaxFaults, hasHighest) {
		return false
	}
	r.learnChosen(g, highest, g.acceptor.Value, 0)
	r.emit(RequestDone{RequestID: q.id, Outcome: Committed, Register: g.acceptor.Value})
	return true
}
