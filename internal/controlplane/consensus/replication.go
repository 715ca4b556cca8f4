package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	antiEntropyInterval = 3 * time.Second        // between two full state reports to all peers
	fetchRetryInterval  = 300 * time.Millisecond // between two requests for a newer value
)

// stateReport lists the ballots that this disk has accepted. Without an identity the report is empty.
func (r *Replica) stateReport(queryID uint64) rpc.Consensus {
	if !r.identified {
		return rpc.Consensus{}
	}
	if r.storedEpoch < r.epoch.Number {
		// An answer counts in this epoch, and a power loss must not undo that. No query is answered before the epoch is on
		// disk.
		queryID = 0
	}
	return rpc.Consensus{AcceptedBallots: r.acceptedOnDisk(), Complete: true, QueryID: queryID}
}

// acceptedOnDisk returns the accepted ballots that are on disk, by register.
func (r *Replica) acceptedOnDisk() map[string]BallotNumber {
	all := map[string]BallotNumber{}
	for name, reg := range r.registers {
		if name != epochRegister && reg.storedBallot != (BallotNumber{}) {
			all[name] = reg.storedBallot
		}
	}
	return all
}

// onNewStoredBallot handles a newer accepted ballot that is on disk. Peers are told of it unless the vote itself tells
// them.
func (r *Replica) onNewStoredBallot(reg *register) {
	if reg.name == epochRegister {
		return
	}
	r.checkChosen(reg)
	if reg.mustAnnounceLearned || !r.IsVoter() {
		reg.mustAnnounceLearned = false
		r.broadcastAccepted(reg)
	}
}

func (r *Replica) broadcastAccepted(reg *register) {
	r.broadcast(rpc.Consensus{AcceptedBallots: map[string]BallotNumber{reg.name: reg.storedBallot}})
}

// announceAccepted tells all peers of an accepted ballot that is not known to be chosen. If its proposer failed after a
// quorum had accepted the value, this lets the peers find that it is chosen without another ballot.
func (r *Replica) announceAccepted(reg *register) {
	isDue := r.now >= reg.unconfirmedAt+announceDelay && reg.reportedBallot != reg.storedBallot
	if isDue && reg.name != epochRegister && r.IsVoter() {
		reg.reportedBallot = reg.storedBallot
		r.broadcastAccepted(reg)
	}
}

// onAcceptedBallots records what a peer's disk has accepted.
func (r *Replica) onAcceptedBallots(p *peer, c *rpc.Consensus) {
	if c.AcceptedBallots == nil && !c.Complete {
		return
	}
	// Only reports of this epoch are counted. A disk may have accepted a newer ballot since a report of an earlier epoch,
	// so disks must not form a majority of one epoch by what they reported in another.
	thisEpoch := c.EpochNumber == r.epoch.Number
	if c.Complete && thisEpoch {
		p.accepted, p.reportedAt = map[string]BallotNumber{}, r.now
	}
	for _, name := range slices.Sorted(maps.Keys(c.AcceptedBallots)) {
		ballot := c.AcceptedBallots[name]
		reg := r.registerFor(name)
		if reg.acceptor.Accepted.Less(ballot) {
			reg.newerAt[p.Name] = ballot
		}
		if thisEpoch {
			p.accepted[name] = ballot
			r.checkChosen(reg)
		}
	}
}

// checkChosen learns the accepted value if enough disks are known to have accepted the same ballot.
func (r *Replica) checkChosen(reg *register) {
	if !reg.hasAccepted() || reg.isChosen() || reg.name == epochRegister {
		return
	}
	ballot := reg.acceptor.Accepted
	has := map[string]bool{r.storeID: reg.storedBallot == ballot}
	for _, p := range r.peers {
		has[p.storeID] = has[p.storeID] || p.accepted[reg.name] == ballot
	}
	if r.epoch.IsDurable(r.options.MaxFaults, func(v Voter) bool { return has[v.StoreID] }) {
		r.broadcast(rpc.Consensus{ChosenBallots: map[string]BallotNumber{reg.name: ballot}})
		r.learnChosen(reg, ballot, reg.acceptor.Value, 0)
	}
}

// onChosen handles chosen ballots and chosen values that a peer sent.
func (r *Replica) onChosen(p *peer, c *rpc.Consensus) {
	for _, name := range slices.Sorted(maps.Keys(c.ChosenBallots)) {
		ballot := c.ChosenBallots[name]
		if name == epochRegister {
			r.onChosenEpoch(c, ballot)
			continue
		}
		reg := r.registerFor(name)
		r.recordClosedBallot(reg, p.Name, ballot, c.NextProposers[name])
		switch {
		case reg.acceptor.Accepted == ballot:
			r.learnChosen(reg, ballot, reg.acceptor.Value, 0)
		case reg.acceptor.Accepted.Less(ballot):
			reg.newerAt[p.Name] = ballot
			if reg.fetchedAt == 0 || r.mayFetch(reg) {
				r.fetch(reg, p.Name)
			}
		}
	}
	for _, v := range c.ChosenValues {
		if v.Register.Name != epochRegister {
			r.learnChosen(r.registerFor(v.Register.Name), v.Ballot, v.Register, v.ValueAge)
		}
	}
}

// onChosenEpoch handles a chosen ballot of the epoch register. It is ignored outside the sender's epoch, because each
// epoch starts the ballots of that register anew.
func (r *Replica) onChosenEpoch(c *rpc.Consensus, ballot BallotNumber) {
	reg := r.registers[epochRegister]
	if reg != nil && c.EpochNumber == r.epoch.Number && reg.acceptor.Accepted == ballot {
		r.learnChosen(reg, ballot, reg.acceptor.Value, 0)
	}
}

func (r *Replica) mayFetch(reg *register) bool { return r.now >= reg.fetchedAt+fetchRetryInterval }

func (r *Replica) fetch(reg *register, from string) {
	reg.fetchedAt = r.now
	r.sendMessage(from, &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{reg.name}}})
}

// fetchNewer requests the value from each peer that has accepted a newer one.
func (r *Replica) fetchNewer(reg *register) {
	mayFetch := r.mayFetch(reg)
	for _, name := range slices.Sorted(maps.Keys(reg.newerAt)) {
		p := r.peers[name]
		switch {
		case !reg.acceptor.Accepted.Less(reg.newerAt[name]): // received meanwhile
			delete(reg.newerAt, name)
		case p == nil || !p.connected: // the peer reports it again on its next connection
			delete(reg.newerAt, name)
		case mayFetch:
			r.fetch(reg, name)
		}
	}
}

// chosenValue returns the chosen value of a register as a message to peers.
func (r *Replica) chosenValue(reg *register) rpc.Consensus {
	v := rpc.ChosenValue{Ballot: reg.chosenBallot, Register: reg.committed}
	if reg.acceptor.Value.Version == reg.committed.Version {
		v.ValueAge = r.reportedAge(reg)
	}
	return rpc.Consensus{ChosenValues: []rpc.ChosenValue{v}}
}

// learnChosen learns that a value is chosen under a ballot, with the value's age if it was sent along. If the local
// acceptor has an older value, the chosen one is written to disk.
func (r *Replica) learnChosen(reg *register, ballot BallotNumber, value Register, age uint64) {
	if reg.name == epochRegister {
		if e, err := decodeEpoch(value.Value); err == nil {
			r.enterEpoch(e)
		}
		return
	}
	if !reg.chosenBallot.Less(ballot) {
		return
	}
	reg.chosenBallot, reg.committed = ballot, value
	r.recordClosedBallot(reg, unknownProposer, ballot, "")
	sameValue := reg.acceptor.Value.Version == value.Version
	if reg.acceptor.Learn(ballot, value) {
		r.updateAge(reg, sameValue, age)
		reg.mustAnnounceLearned = true
		r.writeRegister(reg)
	}
	if reg.announced.Less(value.Version) {
		reg.announced = value.Version
		r.emit(ValueCommitted{value})
	}
}

// isCaughtUp reports whether a peer's disk has all values that this node knows to be chosen.
func (r *Replica) isCaughtUp(p *peer) bool {
	for name, reg := range r.registers {
		if name != epochRegister && p.accepted[name].Less(reg.chosenBallot) {
			return false
		}
	}
	return true
}
