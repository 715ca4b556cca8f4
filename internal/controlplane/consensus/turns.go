package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// Turns
//
// The proposers of a register take turns, so that concurrent ballots do not preempt each other repeatedly. A proposer
// that knows of another one's ballot waits, and announces that it waits. The proposer that ends a ballot names the one
// that has waited longest, which begins at once while the others wait on.
//
// Turns only delay ballots and do not affect safety. If messages are lost or a proposer fails, ballots preempt each
// other or begin up to openBallotTimeout later.

const (
	// openBallotTimeout is how long a proposer waits for another one's ballot, as that proposer may have failed.
	openBallotTimeout = 200 * time.Millisecond
	// reservationTimeout is how long a proposer waits for the named proposer to begin its ballot.
	reservationTimeout = 80 * time.Millisecond
	// turnStagger is the delay between waiting proposers if none was named.
	turnStagger = 12 * time.Millisecond
	// waiterTimeout is how long an announcement that a proposer waits is valid.
	waiterTimeout = 500 * time.Millisecond
)

// unknownProposer is used when the proposer of a ballot is not known.
const unknownProposer = ""

// turns is what a proposer of a register knows of the other proposers.
type turns struct {
	isOpen     bool         // another proposer has a ballot in progress or has the turn
	openBallot BallotNumber // the ballot in progress; zero if it has not begun
	openFrom   string       // the name of that proposer, or unknownProposer
	openAt     time.Duration
	closed     BallotNumber      // the last ballot that ended
	waiters    map[string]waiter // other proposers that wait, by name
	announced  openTurn          // the turn for which this node announced that it waits
}

// openTurn identifies the turn of another proposer.
type openTurn struct {
	ballot BallotNumber
	from   string
}

// waiter is a proposer that waits for its turn.
type waiter struct {
	since       time.Duration
	announcedAt time.Duration // its last announcement
}

func (reg *register) openTurn() openTurn { return openTurn{reg.turns.openBallot, reg.turns.openFrom} }

// takesTurns reports whether the proposers of a register take turns. Those of the epoch register are staggered by rank.
func (r *Replica) takesTurns(reg *register) bool {
	return reg.name != epochRegister && !r.options.bugs.noProposerTurns
}

// recordOpenBallot records that another proposer's ballot is in progress.
func (r *Replica) recordOpenBallot(reg *register, from string, ballot BallotNumber) {
	isOwn := ballot.Incarnation == r.options.Incarnation
	if isOwn || ballot.Less(reg.turns.openBallot) || !r.takesTurns(reg) {
		return
	}
	reg.turns.isOpen = true
	reg.turns.openBallot, reg.turns.openFrom, reg.turns.openAt = ballot, from, r.now
	delete(reg.turns.waiters, from)
}

// recordClosedBallot records that a ballot is chosen, so that it and all lower ones have ended. next names the proposer
// whose turn it is, if known. If the proposer of the open ballot reports a lower one, its open ballot has ended too,
// because the lower one has completed its requests.
func (r *Replica) recordClosedBallot(reg *register, from string, ballot BallotNumber, next string) {
	isFromOpenProposer := from != unknownProposer && from == reg.turns.openFrom
	isLate := ballot.Less(reg.turns.openBallot) || ballot.Less(reg.chosenBallot)
	isDuplicate := ballot == reg.turns.closed && next == "" // another proposer may have the turn by now
	if (isLate || isDuplicate) && !isFromOpenProposer || !r.takesTurns(reg) || r.options.bugs.endlessTurns {
		return
	}
	reg.turns.closed = ballot
	reg.turns.isOpen, reg.turns.openBallot, reg.turns.openFrom = false, BallotNumber{}, ""
	reg.retryAt = 0 // turns replace the backoff
	if reg.turns.announced != (openTurn{}) && next == "" && from != r.options.Self.Name {
		// The sender did not know of the waiting proposers, and may begin its next ballot at once.
		reg.retryAt = r.now + turnStagger + r.turnDelay(reg)
	}
	r.reserveTurn(reg, next)
}

// nextProposer returns the proposer that has waited longest, to take the turn after a ballot of this node. It is empty
// if this node's own requests have waited longer.
func (r *Replica) nextProposer(reg *register) (next string) {
	if !r.takesTurns(reg) {
		return ""
	}
	first := r.now
	if len(reg.queue) > 0 {
		first = reg.queue[0].startedAt
	}
	for _, name := range slices.Sorted(maps.Keys(reg.turns.waiters)) {
		w := reg.turns.waiters[name]
		switch {
		case r.now > w.announcedAt+waiterTimeout:
			delete(reg.turns.waiters, name)
		case w.since < first:
			next, first = name, w.since
		}
	}
	return next
}

// reserveTurn records that another proposer has the turn.
func (r *Replica) reserveTurn(reg *register, proposer string) {
	if proposer == "" || proposer == r.options.Self.Name {
		return
	}
	reg.turns.isOpen = true
	reg.turns.openBallot, reg.turns.openFrom, reg.turns.openAt = BallotNumber{}, proposer, r.now
}

// onWaiting handles a peer's announcement that its requests wait for their turn.
func (r *Replica) onWaiting(from string, registers []string) {
	for _, name := range registers {
		reg := r.registerFor(name)
		if !r.takesTurns(reg) {
			continue
		}
		if reg.turns.waiters == nil {
			reg.turns.waiters = map[string]waiter{}
		}
		w, isKnown := reg.turns.waiters[from]
		if !isKnown {
			w.since = r.now
		}
		w.announcedAt = r.now
		reg.turns.waiters[from] = w
	}
}

// turnTime returns when this node may begin a ballot, given what it knows of other proposers.
func (r *Replica) turnTime(reg *register) time.Duration {
	switch {
	case !r.takesTurns(reg):
		return 0
	case reg.turns.isOpen && reg.turns.openBallot == (BallotNumber{}):
		return reg.turns.openAt + reservationTimeout + r.turnDelay(reg)
	case reg.turns.isOpen:
		return reg.turns.openAt + openBallotTimeout + r.turnDelay(reg)
	}
	return 0
}

// announceWaiting tells all peers, once per turn, that this node waits.
func (r *Replica) announceWaiting(reg *register) {
	if reg.turns.announced != reg.openTurn() {
		reg.turns.announced = reg.openTurn()
		r.broadcast(rpc.Consensus{WaitingFor: []string{reg.name}})
	}
}

// turnDelay returns the delay of this node among the waiting proposers if none was named. Each round starts with
// another voter. Voters that are not connected are skipped.
func (r *Replica) turnDelay(reg *register) time.Duration {
	voters := r.epoch.Voters
	if len(voters) == 0 {
		return 0
	}
	first := int(roundOf(reg.chosenBallot) % uint64(len(voters)))
	delay := time.Duration(0)
	for offset := range voters {
		v := voters[(first+offset)%len(voters)]
		if v.StoreID == r.storeID {
			return delay
		}
		if p := r.peers[v.Name]; p != nil && p.connected && p.storeID == v.StoreID {
			delay += turnStagger
		}
	}
	return delay
}
