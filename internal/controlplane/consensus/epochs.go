package consensus

import (
	"slices"
	"strings"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// epochRegister is the register in which the voters of an epoch decide the next one. Each epoch starts with an empty
	// one.
	epochRegister = "epoch"
	// voterStagger is the delay per rank for actions that one voter is enough for.
	voterStagger = 200 * time.Millisecond
)

// enterEpoch switches to a newer epoch and restarts the ballots and reads of the old one.
func (r *Replica) enterEpoch(e Epoch) {
	if e.Number <= r.epoch.Number {
		return
	}
	isFirst := r.epoch.ClusterID == 0
	r.epoch, r.epochChangedAt = e, r.now
	if isFirst {
		r.reportForeignPeers()
	}
	r.desiredVotersKey, r.jointScan = "", nil
	r.writeEpoch()
	delete(r.registers, epochRegister)
	for _, reg := range r.registers {
		reg.answers = nil
		if reg.ballotInProgress() {
			reg.proposal.Stop()
			reg.requeue()
		}
	}
	for _, q := range r.reads {
		q.restart()
	}
	r.contact.pingedAt = never
	r.emit(EpochEntered{e})
	for _, p := range r.peers {
		p.accepted, p.reportedAt = map[string]BallotNumber{}, never
	}
	report := r.stateReport(0)
	report.Epoch, report.QueryState, report.QueryID = r.epochCopy(), true, r.nextQueryID()
	r.broadcast(report)
}

func (r *Replica) writeEpoch() {
	r.epochWrittenAt = r.now
	r.persist(recordEpoch, encodeEpoch(r.epoch), pendingWrite{epochNumber: r.epoch.Number})
}

// tickEpoch performs due work on the disk's identity and on the epoch.
func (r *Replica) tickEpoch() {
	if !r.identified && (r.identityTriedAt < 0 || r.now >= r.identityTriedAt+diskRetryInterval) {
		r.identityTriedAt = r.now + time.Hour // until the writes complete
		r.writeIdentity()
	}
	if r.storedEpoch < r.epoch.Number && r.now >= r.epochWrittenAt+diskRetryInterval {
		r.writeEpoch()
	}
	switch {
	case !r.identified:
	case r.epoch.Number == 0:
		r.tryBootstrap()
	case r.epoch.IsJoint() && r.IsVoter():
		r.finishJointEpoch()
	case !r.IsVoter() || !r.HasQuorum(r.now):
		r.jointScan, r.desiredVotersKey = nil, ""
	default:
		r.tryVoterChange()
	}
}

// proposeEpoch proposes the next epoch. If another epoch was proposed already, that one is finished instead.
func (r *Replica) proposeEpoch(next Epoch) {
	r.proposeEpochUnless(next, func(Epoch) bool { return false })
}

// proposeEpochUnless is proposeEpoch, but replaces an already proposed epoch that is obsolete.
func (r *Replica) proposeEpochUnless(next Epoch, isObsolete func(Epoch) bool) {
	reg := r.registerFor(epochRegister)
	if reg.ballotInProgress() || len(reg.queue) > 0 {
		return
	}
	incarnation := r.options.Incarnation
	change := func(proposed Register, _ Age) (Register, Outcome) {
		accepted, err := decodeEpoch(proposed.Value)
		if proposed.Version == (Version{}) || err == nil && isObsolete(accepted) {
			e := next
			e.Number = max(next.Number, accepted.Number+1) // epoch numbers are unique
			proposed.Version = Version{Number: proposed.Version.Number + 1, ID: incarnation}
			proposed.Value = encodeEpoch(e)
		}
		return proposed, Committed
	}
	reg.queue = append(reg.queue, &request{startedAt: r.now, change: change})
	r.startBallot(reg)
}

// decidingEpoch returns the epoch whose voters decide the next one. In a joint epoch only the old voters decide,
// whether it is completed or reverted. Both outcomes need a majority of the same set, so only one of them can be
// chosen.
func (r *Replica) decidingEpoch() Epoch {
	e := r.epoch
	if e.IsJoint() {
		e.Voters, e.OldVoters = e.OldVoters, nil
	}
	return e
}

// canReachQuorum reports whether this node is connected to a read quorum. Without one, a ballot could not succeed and
// would only raise the ballot numbers.
func (r *Replica) canReachQuorum(reg *register) bool {
	if r.epoch.Number == 0 {
		return r.canBootstrap()
	}
	reachable := map[string]bool{r.storeID: r.identified}
	for _, p := range r.peers {
		reachable[p.storeID] = reachable[p.storeID] || p.connected
	}
	return r.hasReadQuorum(reg, func(storeID string) bool { return reachable[storeID] })
}

// hasReadQuorum reports whether the counted disks are a quorum for reading a register (phase 1).
func (r *Replica) hasReadQuorum(reg *register, counted func(storeID string) bool) bool {
	switch {
	case r.epoch.Number == 0:
		return r.isBootstrapQuorum(counted)
	case reg.name == epochRegister:
		return r.decidingEpoch().HasMajority(func(v Voter) bool { return counted(v.StoreID) || r.isReplacedVoterOfPair(v) })
	}
	return r.epoch.HasMajority(func(v Voter) bool { return counted(v.StoreID) || r.isReplacedOutgoingVoter(v) })
}

// hasWriteQuorum reports whether the counted disks are a quorum for writing a register (phase 2).
func (r *Replica) hasWriteQuorum(reg *register, counted func(storeID string) bool) bool {
	if r.epoch.Number == 0 || reg.name == epochRegister {
		return r.hasReadQuorum(reg, counted)
	}
	return r.epoch.IsDurable(r.options.MaxFaults, func(v Voter) bool {
		return counted(v.StoreID) || r.isReplacedOutgoingVoter(v)
	})
}

// isReplacedVoterOfPair reports whether a voter is one of two and its disk is known to be lost, because its machine is
// connected with another disk. A write quorum of two is both, so the other disk has every chosen value and can decide
// the next voters alone. Otherwise the loss of one of two disks would stop the control plane for good.
func (r *Replica) isReplacedVoterOfPair(v Voter) bool {
	if v.StoreID == r.storeID || !r.isVoterOfPair(v) {
		return false
	}
	p := r.peers[v.Name]
	return p != nil && p.connected && p.storeID != v.StoreID
}

func (r *Replica) isVoterOfPair(v Voter) bool {
	isSame := func(w Voter) bool { return w.StoreID == v.StoreID }
	for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
		if len(set) == 2 && slices.ContainsFunc(set, isSame) {
			return true
		}
	}
	return false
}

// isReplacedOutgoingVoter reports whether isReplacedVoterOfPair holds for a voter that the current change removes. Only
// such a voter is ignored for registers, because the new voters must get all values of the remaining one.
func (r *Replica) isReplacedOutgoingVoter(v Voter) bool {
	stays := slices.ContainsFunc(r.epoch.Voters, func(w Voter) bool { return w.StoreID == v.StoreID })
	return r.epoch.IsJoint() && !stays && r.isReplacedVoterOfPair(v)
}

// rankAmongVoters returns how many connected voters precede this node. It staggers actions that one node is enough for.
// Each register has its own order.
func (r *Replica) rankAmongVoters(registerName string) (rank int) {
	own := rendezvousHash(registerName, r.storeID)
	for _, p := range r.peers {
		if p.connected && r.countsVotesOf(p) && rendezvousHash(registerName, p.storeID) < own {
			rank++
		}
	}
	return rank
}

func sortVoters(voters []Voter) []Voter {
	slices.SortFunc(voters, func(a, b Voter) int { return strings.Compare(a.Name+a.StoreID, b.Name+b.StoreID) })
	return voters
}

// selfVoter returns the local disk as a voter.
func (r *Replica) selfVoter() Voter { return Voter{Node: r.options.Self, StoreID: r.storeID} }

func (p *peer) voter() Voter { return Voter{Node: p.Node, StoreID: p.storeID} }

// queryState asks all peers for the ballots that their disks have accepted.
func (r *Replica) queryState(id uint64) { r.broadcast(rpc.Consensus{QueryState: true, QueryID: id}) }
