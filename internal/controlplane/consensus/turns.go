package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// Proposers of one register take turns, so that ballots that begin at several nodes at once do not preempt each other
// again and again. A proposer waits while it knows of a ballot of another one, and says so. Whoever ends a ballot names
// the one that has waited the longest; it begins at once, and the others wait on.
//
// All of this is a hint: it moves the moment at which a ballot begins and nothing else. Where it is wrong, as messages
// were lost or a proposer is gone, ballots preempt each other, or begin openBallotTimeout later.

const (
	// openBallotTimeout is how long a proposer waits for the ballot of another one, which may be gone.
	openBallotTimeout = 200 * time.Millisecond
	// reservationTimeout is the same until the ballot of the proposer whose turn it is begins.
	reservationTimeout = 80 * time.Millisecond
	// turnStagger is the pause between the proposers that begin one after the other where none was named.
	turnStagger = 12 * time.Millisecond
	// waiterTimeout is how long a proposer counts as waiting after it said so.
	waiterTimeout = 500 * time.Millisecond
)

// unknownProposer is the name of a proposer that an acceptor does not tell.
const unknownProposer = ""

// turns is what a proposer of a register knows of the others.
type turns struct {
	isOpen     bool         // another proposer's ballot is under way, or its turn has come
	openBallot BallotNumber // that ballot; zero: it has not begun
	openFrom   string       // the name of that proposer, or unknownProposer
	openAt     time.Duration
	closed     BallotNumber      // the last that was over
	waiters    map[string]waiter // other proposers that wait, by name
	// what is waited for, of which the others were told that this proposer waits
	announced openTurn
}

// openTurn tells one turn from another.
type openTurn struct {
	ballot BallotNumber
	from   string
}

// waiter is a proposer that waits for its turn.
type waiter struct {
	since  time.Duration
	saidAt time.Duration // when it last said so
}

func (g *register) openTurn() openTurn { return openTurn{g.turns.openBallot, g.turns.openFrom} }

// takesTurns reports whether turns are taken: who votes is decided in an order of its own.
func (r *Replica) takesTurns(g *register) bool {
	return g.name != epochRegister && !r.options.bugs.noTurns
}

// noteOpenBallot: another proposer's ballot is under way.
func (r *Replica) noteOpenBallot(g *register, from string, ballot BallotNumber) {
	isOwn := ballot.Incarnation == r.options.Incarnation
	if isOwn || ballot.Less(g.turns.openBallot) || !r.takesTurns(g) {
		return
	}
	g.turns.isOpen = true
	g.turns.openBallot, g.turns.openFrom, g.turns.openAt = ballot, from, r.now
	delete(g.turns.waiters, from)
}

// noteClosedBallot: a ballot is chosen, so that it and all below it are over. A proposer that says so of an older
// ballot than its own has found its requests done by that one. next is whose turn it is, if that was said.
func (r *Replica) noteClosedBallot(g *register, from string, ballot BallotNumber, next string) {
	isOfOpener := from != unknownProposer && from == g.turns.openFrom
	isLate := ballot.Less(g.turns.openBallot) || ballot.Less(g.chosenBallot)
	isKnown := ballot == g.turns.closed && next == "" // its turn may be another's by now
	if (isLate || isKnown) && !isOfOpener || !r.takesTurns(g) || r.options.bugs.endlessTurns {
		return
	}
	g.turns.closed = ballot
	g.turns.isOpen, g.turns.openBallot, g.turns.openFrom = false, BallotNumber{}, ""
	g.retryAt = 0 // from now on the turns keep proposers apart
	if g.turns.announced != (openTurn{}) && next == "" && from != r.options.Self.Name {
		// Whoever ended it had not heard who waits, and may go on itself.
		g.retryAt = r.now + turnStagger + r.turnDelay(g)
	}
	r.reserveTurn(g, next)
}

// nextProposer is whose turn it is after a ballot of this node: who has waited the longest. It is empty if nobody else
// has waited for longer than this node.
func (r *Replica) nextProposer(g *register) (next string) {
	if !r.takesTurns(g) {
		return ""
	}
	first := r.now
	if len(g.queue) > 0 {
		first = g.queue[0].startedAt
	}
	for _, name := range slices.Sorted(maps.Keys(g.turns.waiters)) {
		w := g.turns.waiters[name]
		switch {
		case r.now > w.saidAt+waiterTimeout:
			delete(g.turns.waiters, name)
		case w.since < first:
			next, first = name, w.since
		}
	}
	return next
}

// reserveTurn: it is a proposer's turn.
func (r *Replica) reserveTurn(g *register, proposer string) {
	if proposer == "" || proposer == r.options.Self.Name {
		return
	}
	g.turns.isOpen = true
	g.turns.openBallot, g.turns.openFrom, g.turns.openAt = BallotNumber{}, proposer, r.now
}

// onWaiting: a peer's requests wait for their turn.
func (r *Replica) onWaiting(from string, registers []string) {
	for _, name := range registers {
		g := r.registerFor(name)
		if !r.takesTurns(g) {
			continue
		}
		if g.turns.waiters == nil {
			g.turns.waiters = map[string]waiter{}
		}
		w, isKnown := g.turns.waiters[from]
		if !isKnown {
			w.since = r.now
		}
		w.saidAt = r.now
		g.turns.waiters[from] = w
	}
}

// turnTime is when this node may begin a ballot, by what it knows of other proposers.
func (r *Replica) turnTime(g *register) time.Duration {
	switch {
	case !r.takesTurns(g):
		return 0
	case g.turns.isOpen && g.turns.openBallot == (BallotNumber{}):
		return g.turns.openAt + reservationTimeout + r.turnDelay(g)
	case g.turns.isOpen:
		return g.turns.openAt + openBallotTimeout + r.turnDelay(g)
	}
	return 0
}

// announceWaiting tells the others, once for each turn that is waited for.
func (r *Replica) announceWaiting(g *register) {
	if g.turns.announced != g.openTurn() {
		g.turns.announced = g.openTurn()
		r.broadcast(rpc.Consensus{WaitingFor: []string{g.name}})
	}
}

// turnDelay is the pause before this node's turn where none was named: each round begins with another voter. Those that
// are not connected are passed over.
func (r *Replica) turnDelay(g *register) time.Duration {
	voters := r.epoch.Voters
	if len(voters) == 0 {
		return 0
	}
	first := int(roundOf(g.chosenBallot) % uint64(len(voters)))
	delay := time.Duration(0)
	for k := range voters {
		v := voters[(first+k)%len(voters)]
		if v.StoreID == r.storeID {
			return delay
		}
		if p := r.peers[v.Name]; p != nil && p.connected && p.storeID == v.StoreID {
			delay += turnStagger
		}
	}
	return delay
}
