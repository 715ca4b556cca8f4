package consensus

import (
	"math"
	"time"

	"elmfold/internal/controlplane/paxos"
)

const (
	// unknownTime is since when a value is committed that was on the disk at the start.
	unknownTime = time.Duration(math.MinInt64)
	// epochShift is where a ballot's round holds the number of its epoch, so that each ballot of an epoch is above all
	// before it. Otherwise a ballot that was left open in an older epoch could win over a newer one that none of its
	// voters has met.
	epochShift = 48
	// finishTimeout is how long a value may be accepted here without being known to be chosen, before this node finishes
	// the ballot: the one that began it may be gone.
	finishTimeout = 300 * time.Millisecond
	// announceDelay is the same until all peers are told what was accepted here: they may find that enough have it.
	announceDelay = 100 * time.Millisecond
)

// register is what a node knows of one register.
type register struct {
	name string

	// Of this disk, as an acceptor.

	acceptor      paxos.Acceptor[Register]
	storedBallot  BallotNumber // the ballot that the disk has accepted
	writing       bool         // a write of the state is under way
	dirty         bool         // the state has changed since that write began
	answers       []pendingAnswer
	writeFailedAt time.Duration // when the last write failed; 0: it did not
	learned       bool          // the value came as a ChosenValue: peers are told once it is on the disk

	// Of what is chosen.

	chosenBallot BallotNumber  // the newest that is known to be chosen
	committed    Register      // the value of chosenBallot
	announced    Version       // of the last ValueCommitted
	chosenAt     time.Duration // since when the value here is committed, as far as is known
	// since when it is here, in this incarnation: it has been committed for so long at least
	receivedAt    time.Duration
	unconfirmedAt time.Duration // since when it is here and not known to be chosen
	// the stored ballot that all peers were told of, as nobody said that it is chosen
	reportedBallot BallotNumber
	fetchedAt      time.Duration           // when the value was last asked for
	newerAt        map[string]BallotNumber // by peer: a newer ballot that it has accepted

	// Of the ballots that begin here, as a proposer.

	proposal         paxos.Proposal[*Register]
	queue            []*request    // that wait for the next ballot
	batch            []*request    // in the ballot under way
	round            uint64        // the highest that was seen in this epoch
	age              Age           // of the highest accepted value among the promises
	ageBallot        BallotNumber  // whose value that is
	sentAt           time.Duration // when the current request was last sent
	retryAt          time.Duration // no ballot begins before
	preemptions      int           // in a row
	proposedChosenAt time.Duration // since when the proposed value is committed; unknownTime: unknown
	turns            turns
}

// hasAccepted reports whether this disk has accepted any value.
func (g *register) hasAccepted() bool { return g.acceptor.Accepted != (BallotNumber{}) }

// isChosen reports whether what this disk has accepted is known to be chosen.
func (g *register) isChosen() bool { return g.hasAccepted() && g.chosenBallot == g.acceptor.Accepted }

func (g *register) ballotUnderWay() bool { return g.proposal.Phase != paxos.Idle }

// considerDeadlines names the times at which a tick of the register is urgent.
func (r *Replica) considerDeadlines(g *register, consider func(time.Duration)) {
	if len(g.queue) > 0 && !g.ballotUnderWay() {
		consider(max(g.retryAt, r.turnTime(g)))
	}
	if !g.isChosen() && g.hasAccepted() && g.reportedBallot != g.storedBallot {
		consider(g.unconfirmedAt + announceDelay)
	}
}

// registerFor returns the state of a register, which is made if there is none.
func (r *Replica) registerFor(name string) *register {
	g := r.registers[name]
	if g == nil {
		g = &register{
			name:          name,
			chosenAt:      unknownTime,
			unconfirmedAt: r.now,
			newerAt:       map[string]BallotNumber{},
		}
		g.acceptor.Value.Name = name
		r.registers[name] = g
	}
	return g
}

// tickRegister does what is due for a register.
func (r *Replica) tickRegister(g *register) {
	r.expireRequests(g)
	r.resendRequest(g)
	if g.writeFailedAt > 0 && !g.writing && r.now >= g.writeFailedAt+diskRetryInterval {
		r.write(g)
	}
	r.fetchNewer(g)
	if g.hasAccepted() && !g.isChosen() {
		r.checkChosen(g) // at a start, what was reported by then may be enough
		r.announceAccepted(g)
	}
	r.finishIfOpen(g)
	r.startBallot(g)
}

// finishIfOpen finishes a ballot that was left open, one voter after the other.
func (r *Replica) finishIfOpen(g *register) {
	if !g.hasAccepted() || g.isChosen() {
		return
	}
	stagger := time.Duration(r.rankAmongVoters(g.name)) * voterStagger
	if r.now < g.unconfirmedAt+finishTimeout+stagger {
		return
	}
	g.unconfirmedAt = r.now
	isOpenFounding := r.epoch.Number == 0 && g.name == epochRegister // which tryFounding finishes
	if !isOpenFounding {
		r.finishOpenProposal(g)
	}
}

// reportedAge is how long the value here has been committed, in milliseconds and plus 1; 0: unknown. It is told by
// steady clocks, which differ between machines in what they show and not in how fast they run.
func (r *Replica) reportedAge(g *register) uint64 { return r.ageSince(g.chosenAt) }

func (r *Replica) ageSince(t time.Duration) uint64 {
	if t == unknownTime {
		return 0
	}
	return uint64(max(r.now-t, 0)/time.Millisecond) + 1
}

// noteAge takes over the age that came with a value; same says that the value was here before. Without it an old value
// would seem young on a node that got it late.
func (r *Replica) noteAge(g *register, same bool, age uint64) {
	since := unknownTime
	if age > 0 {
		since = r.now - time.Duration(age-1)*time.Millisecond
	}
	if !same {
		g.receivedAt = r.now
	}
	switch {
	case !same || g.chosenAt == unknownTime:
		g.chosenAt = since
	case since != unknownTime:
		g.chosenAt = min(g.chosenAt, since)
	}
}
