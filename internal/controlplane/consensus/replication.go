package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	antiEntropyInterval = 3 * time.Second        // between two reports of all that this disk has
	fetchRetryInterval  = 300 * time.Millisecond // of a value that is newer elsewhere
)

// stateReport says what this disk has accepted. A disk without an identity has nothing that counts.
func (r *Replica) stateReport(queryID uint64) rpc.Consensus {
	if !r.identified {
		return rpc.Consensus{}
	}
	if r.storedEpoch < r.epoch.Number {
		// What is answered in this epoch must not be forgotten over a loss of power: until the epoch is on the disk, no
		// query is answered.
		queryID = 0
	}
	return rpc.Consensus{AcceptedBallots: r.acceptedOnDisk(), Complete: true, QueryID: queryID}
}

// acceptedOnDisk are the ballots that this disk has accepted.
func (r *Replica) acceptedOnDisk() map[string]BallotNumber {
	all := map[string]BallotNumber{}
	for name, g := range r.registers {
		if name != epochRegister && g.storedBallot != (BallotNumber{}) {
			all[name] = g.storedBallot
		}
	}
	return all
}

// onStored: this disk has a newer ballot. Peers hear of it by the vote itself; otherwise they are told.
func (r *Replica) onStored(g *register) {
	if g.name == epochRegister {
		return
	}
	r.checkChosen(g)
	if g.learned || !r.IsVoter() {
		g.learned = false
		r.broadcastAccepted(g)
	}
}

func (r *Replica) broadcastAccepted(g *register) {
	r.broadcast(rpc.Consensus{AcceptedBallots: map[string]BallotNumber{g.name: g.storedBallot}})
}

// announceAccepted tells all peers of a ballot that is not known to be chosen. Otherwise a value that its proposer had
// chosen, and died before it told anybody, would wait for another ballot.
func (r *Replica) announceAccepted(g *register) {
	isDue := r.now >= g.unconfirmedAt+announceDelay && g.reportedBallot != g.storedBallot
	if isDue && g.name != epochRegister && r.IsVoter() {
		g.reportedBallot = g.storedBallot
		r.broadcastAccepted(g)
	}
}

// onAcceptedBallots notes what a peer's disk has accepted.
func (r *Replica) onAcceptedBallots(p *peer, c *rpc.Consensus) {
	if c.AcceptedBallots == nil && !c.Complete {
		return
	}
	// Only what is said in this epoch is counted: disks must not make up a majority of one epoch by what they had in
	// another, as they may have accepted something newer since.
	thisEpoch := c.EpochNumber == r.epoch.Number
	if c.Complete && thisEpoch {
		p.accepted, p.reportedAt = map[string]BallotNumber{}, r.now
	}
	for _, name := range slices.Sorted(maps.Keys(c.AcceptedBallots)) {
		ballot := c.AcceptedBallots[name]
		g := r.registerFor(name)
		if g.acceptor.Accepted.Less(ballot) {
			g.newerAt[p.Name] = ballot
		}
		if thisEpoch {
			p.accepted[name] = ballot
			r.checkChosen(g)
		}
	}
}

// checkChosen finds out whether enough disks have what is accepted here: then it is chosen.
func (r *Replica) checkChosen(g *register) {
	if !g.hasAccepted() || g.isChosen() || g.name == epochRegister {
		return
	}
	ballot := g.acceptor.Accepted
	has := map[string]bool{r.storeID: g.storedBallot == ballot}
	for _, p := range r.peers {
		has[p.storeID] = has[p.storeID] || p.accepted[g.name] == ballot
	}
	if r.epoch.IsDurable(r.options.MaxFaults, func(v Voter) bool { return has[v.StoreID] }) {
		r.broadcast(rpc.Consensus{ChosenBallots: map[string]BallotNumber{g.name: ballot}})
		r.learnChosen(g, ballot, g.acceptor.Value, 0)
	}
}

// onChosen handles ballots that are chosen, and the values of such.
func (r *Replica) onChosen(p *peer, c *rpc.Consensus) {
	for _, name := range slices.Sorted(maps.Keys(c.ChosenBallots)) {
		ballot := c.ChosenBallots[name]
		if name == epochRegister {
			r.onChosenEpoch(c, ballot)
			continue
		}
		g := r.registerFor(name)
		r.noteClosedBallot(g, p.Name, ballot, c.NextProposers[name])
		switch {
		case g.acceptor.Accepted == ballot:
			r.learnChosen(g, ballot, g.acceptor.Value, 0)
		case g.acceptor.Accepted.Less(ballot):
			g.newerAt[p.Name] = ballot
			if g.fetchedAt == 0 || r.mayFetch(g) {
				r.fetch(g, p.Name)
			}
		}
	}
	for _, v := range c.ChosenValues {
		if v.Register.Name != epochRegister {
			r.learnChosen(r.registerFor(v.Register.Name), v.Ballot, v.Register, v.ValueAge)
		}
	}
}

// onChosenEpoch: the ballots of the epoch register begin anew with each epoch, so they mean nothing in another one.
func (r *Replica) onChosenEpoch(c *rpc.Consensus, ballot BallotNumber) {
	g := r.registers[epochRegister]
	if g != nil && c.EpochNumber == r.epoch.Number && g.acceptor.Accepted == ballot {
		r.learnChosen(g, ballot, g.acceptor.Value, 0)
	}
}

func (r *Replica) mayFetch(g *register) bool { return r.now >= g.fetchedAt+fetchRetryInterval }

func (r *Replica) fetch(g *register, from string) {
	g.fetchedAt = r.now
	r.sendMessage(from, &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{g.name}}})
}

// fetchNewer asks for the value from each peer that has a newer one.
func (r *Replica) fetchNewer(g *register) {
	mayFetch := r.mayFetch(g)
	for _, name := range slices.Sorted(maps.Keys(g.newerAt)) {
		p := r.peers[name]
		switch {
		case !g.acceptor.Accepted.Less(g.newerAt[name]): // it is here by now
			delete(g.newerAt, name)
		case p == nil || !p.connected: // it says so anew on its next connection
			delete(g.newerAt, name)
		case mayFetch:
			r.fetch(g, name)
		}
	}
}

// chosenValue is what is chosen of a register, as it is sent to peers.
func (r *Replica) chosenValue(g *register) rpc.Consensus {
	v := rpc.ChosenValue{Ballot: g.chosenBallot, Register: g.committed}
	if g.acceptor.Value.Version == g.committed.Version {
		v.ValueAge = r.reportedAge(g)
	}
	return rpc.Consensus{ChosenValues: []rpc.ChosenValue{v}}
}

// learnChosen takes over that a value is chosen under a ballot, and its age if that came with it. A disk that has an
// older value writes this one.
func (r *Replica) learnChosen(g *register, ballot BallotNumber, value Register, age uint64) {
	if g.name == epochRegister {
		if e, err := decodeEpoch(value.Value); err == nil {
			r.enterEpoch(e)
		}
		return
	}
	if !g.chosenBallot.Less(ballot) {
		return
	}
	g.chosenBallot, g.committed = ballot, value
	r.noteClosedBallot(g, unknownProposer, ballot, "")
	same := g.acceptor.Value.Version == value.Version
	if g.acceptor.Learn(ballot, value) {
		r.noteAge(g, same, age)
		g.learned = true
		r.write(g)
	}
	if g.announced.Less(value.Version) {
		g.announced = value.Version
		r.emit(ValueCommitted{value})
	}
}

// isCaughtUp reports whether a peer's disk has all that is known here to be chosen.
func (r *Replica) isCaughtUp(p *peer) bool {
	for name, g := range r.registers {
		if name != epochRegister && p.accepted[name].Less(g.chosenBallot) {
			return false
		}
	}
	return true
}
