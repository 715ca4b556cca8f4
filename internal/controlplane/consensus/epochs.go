package consensus

import (
	"slices"
	"strings"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// epochRegister is the register in which the voters of an epoch decide the next one. Each epoch begins it anew.
	epochRegister = "epoch"
	// voterStagger is the pause between the voters where one of them is enough to act: by rank, one after the other.
	voterStagger = 200 * time.Millisecond
)

// enterEpoch takes over a newer epoch. What was under way in the old one begins anew.
func (r *Replica) enterEpoch(e Epoch) {
	if e.Number <= r.epoch.Number {
		return
	}
	isFirst := r.epoch.ClusterID == 0
	r.epoch, r.epochChangedAt = e, r.now
	if isFirst {
		r.reportForeignPeers()
	}
	r.desired, r.jointScan = "", nil
	r.writeEpoch()
	delete(r.registers, epochRegister)
	for _, g := range r.registers {
		g.answers = nil
		if g.ballotUnderWay() {
			g.proposal.Stop()
			g.requeue()
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

// tickEpoch does what is due for the disk's identity and for the epoch.
func (r *Replica) tickEpoch() {
	if !r.identified && (r.identityTriedAt < 0 || r.now >= r.identityTriedAt+diskRetryInterval) {
		r.identityTriedAt = r.now + time.Hour // until the writes are answered
		r.writeIdentity()
	}
	if r.storedEpoch < r.epoch.Number && r.now >= r.epochWrittenAt+diskRetryInterval {
		r.writeEpoch()
	}
	switch {
	case !r.identified:
	case r.epoch.Number == 0:
		r.tryFounding()
	case r.epoch.IsJoint() && r.IsVoter():
		r.finishJointEpoch() // which finds out for itself who is there
	case !r.IsVoter() || !r.HasQuorum(r.now):
		r.jointScan, r.desired = nil, ""
	default:
		r.tryVoterChange()
	}
}

// proposeEpoch proposes the next epoch, unless another one is proposed already: then that one is finished.
func (r *Replica) proposeEpoch(next Epoch) {
	r.proposeEpochUnless(next, func(Epoch) bool { return false })
}

// proposeEpochUnless does so too, but goes past an epoch that is proposed already and is obsolete.
func (r *Replica) proposeEpochUnless(next Epoch, isObsolete func(Epoch) bool) {
	g := r.registerFor(epochRegister)
	if g.ballotUnderWay() || len(g.queue) > 0 {
		return
	}
	incarnation := r.options.Incarnation
	change := func(proposed Register, _ Age) (Register, Outcome) {
		half, err := decodeEpoch(proposed.Value)
		if proposed.Version == (Version{}) || err == nil && isObsolete(half) {
			e := next
			e.Number = max(next.Number, half.Number+1) // no two epochs have one number
			proposed.Version = Version{Number: proposed.Version.Number + 1, ID: incarnation}
			proposed.Value = encodeEpoch(e)
		}
		return proposed, Committed
	}
	g.queue = append(g.queue, &request{startedAt: r.now, change: change})
	r.startBallot(g)
}

// deciders are those who decide what follows this epoch. In a joint epoch that are the old voters, whether it ends
// in the new ones or is reverted: both ends need a majority of them, so there is only one.
func (r *Replica) deciders() Epoch {
	e := r.epoch
	if e.IsJoint() {
		e.Voters, e.OldVoters = e.OldVoters, nil
	}
	return e
}

// canReachQuorum reports whether connections are up to enough of those that vote: otherwise nothing would come of a
// ballot but higher numbers.
func (r *Replica) canReachQuorum(g *register) bool {
	if r.epoch.Number == 0 {
		return r.canFound()
	}
	reachable := map[string]bool{r.storeID: r.identified}
	for _, p := range r.peers {
		reachable[p.storeID] = reachable[p.storeID] || p.connected
	}
	return r.hasReadQuorum(g, func(storeID string) bool { return reachable[storeID] })
}

// hasReadQuorum reports whether the disks that are counted are enough to read a register from.
func (r *Replica) hasReadQuorum(g *register, counted func(storeID string) bool) bool {
	switch {
	case r.epoch.Number == 0:
		return r.isFoundingQuorum(counted)
	case g.name == epochRegister:
		return r.deciders().HasMajority(func(v Voter) bool { return counted(v.StoreID) || r.isStaleIdentity(v) })
	}
	return r.epoch.HasMajority(func(v Voter) bool { return counted(v.StoreID) || r.isStaleOldVoter(v) })
}

// hasWriteQuorum reports whether the disks that are counted are enough to write a register to.
func (r *Replica) hasWriteQuorum(g *register, counted func(storeID string) bool) bool {
	if r.epoch.Number == 0 || g.name == epochRegister {
		return r.hasReadQuorum(g, counted)
	}
	return r.epoch.IsDurable(r.options.MaxFaults, func(v Voter) bool {
		return counted(v.StoreID) || r.isStaleOldVoter(v)
	})
}

// isStaleIdentity reports whether a voter is one of two and its disk is known to be gone, because its machine is there
// with another one. What two have chosen lies on both, and a disk that is gone votes for nothing else: the other one
// decides alone who votes next. Otherwise a wiped disk would end a control plane of two for good.
func (r *Replica) isStaleIdentity(v Voter) bool {
	if v.StoreID == r.storeID || !r.isOneOfTwo(v) {
		return false
	}
	p := r.peers[v.Name]
	return p != nil && p.connected && p.storeID != v.StoreID
}

func (r *Replica) isOneOfTwo(v Voter) bool {
	isSame := func(w Voter) bool { return w.StoreID == v.StoreID }
	for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
		if len(set) == 2 && slices.ContainsFunc(set, isSame) {
			return true
		}
	}
	return false
}

// isStaleOldVoter is isStaleIdentity of a voter that the change under way removes. For registers it counts only
// there: the new voters must have all that the one that is left has.
func (r *Replica) isStaleOldVoter(v Voter) bool {
	stays := slices.ContainsFunc(r.epoch.Voters, func(w Voter) bool { return w.StoreID == v.StoreID })
	return r.epoch.IsJoint() && !stays && r.isStaleIdentity(v)
}

// rankAmongVoters is the number of connected voters that come before this node, where one node is enough to act. Each
// register has an order of its own.
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

// selfVoter is the own disk as a voter.
func (r *Replica) selfVoter() Voter { return Voter{Node: r.options.Self, StoreID: r.storeID} }

func (p *peer) voter() Voter { return Voter{Node: p.Node, StoreID: p.storeID} }

// queryState asks all peers for what their disks have accepted.
func (r *Replica) queryState(id uint64) { r.broadcast(rpc.Consensus{QueryState: true, QueryID: id}) }
