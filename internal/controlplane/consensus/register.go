package consensus

import (
	"math"
	"time"

	"elmfold/internal/controlplane/paxos"
)

const (
	// unknownTime is the commit time of a value that was already on disk when the process started.
	unknownTime = time.Duration(math.MinInt64)
	// epochShift is the position of the epoch number in a ballot's round. It orders all ballots of an epoch after those of
	// earlier epochs. Otherwise an unfinished ballot of an older epoch could override a newer ballot with other voters.
	epochShift = 48
	// finishTimeout is how long an accepted value may remain undecided before this node finishes the ballot itself, as the
	// proposer may have failed.
	finishTimeout = 300 * time.Millisecond
	// announceDelay is how long an accepted value may remain undecided before all peers are told of it. They may then find
	// that a quorum has accepted it.
	announceDelay = 100 * time.Millisecond
)

// register is the state of one register on this node.
type register struct {
	name string

	// Acceptor state.

	acceptor            paxos.Acceptor[Register]
	storedBallot        BallotNumber    // the accepted ballot that is on disk
	writing             bool            // a write of the acceptor is in progress
	dirty               bool            // the acceptor changed since that write began
	answers             []pendingAnswer // sent after the next write
	writeFailedAt       time.Duration   // when the last write failed; 0 if it succeeded
	mustAnnounceLearned bool            // the value was learned; peers are told once it is on disk

	// Learner state.

	chosenBallot   BallotNumber            // the highest that is known to be chosen
	committed      Register                // the value of chosenBallot
	announced      Version                 // of the last ValueCommitted
	chosenAt       time.Duration           // when the acceptor's value was committed, or unknownTime
	receivedAt     time.Duration           // when this process received the value: a lower bound of its age
	unconfirmedAt  time.Duration           // since when the accepted value is not known to be chosen
	reportedBallot BallotNumber            // the last undecided ballot that was announced to all peers
	fetchedAt      time.Duration           // when the value was last requested from a peer
	newerAt        map[string]BallotNumber // the newer ballots that peers have accepted, by peer name

	// Proposer state.

	proposal         paxos.Proposal[*Register]
	queue            []*request    // requests that wait for the next ballot
	batch            []*request    // requests of the ballot in progress
	round            uint64        // the highest seen in this epoch
	age              Age           // of the highest accepted value among the promises
	ageBallot        BallotNumber  // the ballot of that value
	sentAt           time.Duration // when the current request was last sent
	retryAt          time.Duration // no ballot begins earlier
	preemptions      int           // consecutive
	proposedChosenAt time.Duration // when the proposed value was committed, or unknownTime
	turns            turns
}

// hasAccepted reports whether this disk has accepted any value.
func (reg *register) hasAccepted() bool { return reg.acceptor.Accepted != (BallotNumber{}) }

// isChosen reports whether the accepted value is known to be chosen.
func (reg *register) isChosen() bool {
	return reg.hasAccepted() && reg.chosenBallot == reg.acceptor.Accepted
}

func (reg *register) ballotInProgress() bool { return reg.proposal.Phase != paxos.Idle }

// considerDeadlines passes to consider the times at which the register needs a tick without delay.
func (r *Replica) considerDeadlines(reg *register, consider func(time.Duration)) {
	if len(reg.queue) > 0 && !reg.ballotInProgress() {
		consider(max(reg.retryAt, r.turnTime(reg)))
	}
	if !reg.isChosen() && reg.hasAccepted() && reg.reportedBallot != reg.storedBallot {
		consider(reg.unconfirmedAt + announceDelay)
	}
}

// registerFor returns the state of a register, and creates it if needed.
func (r *Replica) registerFor(name string) *register {
	reg := r.registers[name]
	if reg == nil {
		reg = &register{
			name:          name,
			chosenAt:      unknownTime,
			unconfirmedAt: r.now,
			newerAt:       map[string]BallotNumber{},
		}
		reg.acceptor.Value.Name = name
		r.registers[name] = reg
	}
	return reg
}

// tickRegister performs the work of a register that is due.
func (r *Replica) tickRegister(reg *register) {
	r.expireRequests(reg)
	r.resendRequest(reg)
	if reg.writeFailedAt > 0 && !reg.writing && r.now >= reg.writeFailedAt+diskRetryInterval {
		r.writeRegister(reg)
	}
	r.fetchNewer(reg)
	if reg.hasAccepted() && !reg.isChosen() {
		r.checkChosen(reg) // after a start, the reports received so far may suffice
		r.announceAccepted(reg)
	}
	r.finishIfOpen(reg)
	r.startBallot(reg)
}

// finishIfOpen finishes a ballot that was left undecided. The voters try it one after the other, by rank.
func (r *Replica) finishIfOpen(reg *register) {
	if !reg.hasAccepted() || reg.isChosen() {
		return
	}
	stagger := time.Duration(r.rankAmongVoters(reg.name)) * voterStagger
	if r.now < reg.unconfirmedAt+finishTimeout+stagger {
		return
	}
	reg.unconfirmedAt = r.now
	isBootstrapBallot := r.epoch.Number == 0 && reg.name == epochRegister
	if !isBootstrapBallot { // tryBootstrap finishes that one
		r.finishOpenBallot(reg)
	}
}

// reportedAge returns how long the accepted value has been committed, as sent to peers: in milliseconds plus 1, or 0 if
// unknown. Ages are exchanged in place of times of day because the clocks of machines may differ.
func (r *Replica) reportedAge(reg *register) uint64 { return r.ageSince(reg.chosenAt) }

func (r *Replica) ageSince(t time.Duration) uint64 {
	if t == unknownTime {
		return 0
	}
	return uint64(max(r.now-t, 0)/time.Millisecond) + 1
}

// updateAge takes over the age that arrived with a value. sameValue tells whether the value was already present.
// Without the age, an old value would seem young on a node that received it late.
func (r *Replica) updateAge(reg *register, sameValue bool, age uint64) {
	since := unknownTime
	if age > 0 {
		since = r.now - time.Duration(age-1)*time.Millisecond
	}
	if !sameValue {
		reg.receivedAt = r.now
	}
	switch {
	case !sameValue || reg.chosenAt == unknownTime:
		reg.chosenAt = since
	case since != unknownTime:
		reg.chosenAt = min(reg.chosenAt, since)
	}
}
