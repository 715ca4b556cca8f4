package consensus

import (
	"maps"
	"slices"
	"time"
)

const (
	minEpochInterval = 200 * time.Millisecond // between two changes of voters
	scanInterval     = 300 * time.Millisecond // between two queries of a scan
	jointTimeout     = 5 * time.Second        // a change of voters that is not done by then is reverted
)

// stateScan asks, in a joint epoch, what all voters have.
type stateScan struct {
	queryID uint64
	askedAt time.Duration
	answers map[string]map[string]BallotNumber // by store id, then by register
}

// tryVoterChange proposes the voters that are desired, one node after the other.
func (r *Replica) tryVoterChange() {
	voters := r.desiredVoters()
	if slices.Equal(voters, r.epoch.Voters) {
		r.desired = ""
		return
	}
	key := ""
	for _, v := range voters {
		key += v.StoreID + " "
	}
	if key != r.desired {
		r.desired, r.desiredAt = key, r.now
	}
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.shuttingDown {
		stagger = 0
	}
	if r.now < r.desiredAt+stagger || r.now < r.epochChangedAt+minEpochInterval {
		return
	}
	joint := Epoch{
		Number:      r.epoch.Number + 1,
		OldVoters:   r.epoch.Voters,
		Voters:      voters,
		InitialSize: r.epoch.InitialSize,
		ClusterID:   r.epoch.ClusterID,
	}
	if r.options.bugs.noJointEpoch {
		joint.OldVoters = nil
	}
	r.proposeEpoch(joint)
}

// finishJointEpoch ends a change of voters. Each value must lie, under one ballot, on enough disks of the old
// voters and of the new ones; those that do not are written anew. Whoever answers the scan is in the joint epoch
// and votes in no older one any more, so that what the voters report is all there is.
func (r *Replica) finishJointEpoch() {
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.now < r.epochChangedAt+stagger {
		return
	}
	scan := r.runScan()
	answered := func(v Voter) bool {
		_, has := scan.answers[v.StoreID]
		return has || r.isStaleIdentity(v)
	}
	if r.storedEpoch < r.epoch.Number || !r.epoch.HasMajority(answered) {
		r.revertJointEpoch()
		return
	}
	if !r.isReplicated(scan) {
		r.revertJointEpoch()
		return
	}
	r.proposeEpoch(r.successor(r.epoch.Voters))
}

// runScan asks all voters for what they have, now and again.
func (r *Replica) runScan() *stateScan {
	if r.jointScan == nil {
		r.jointScan = &stateScan{
			queryID: r.nextQueryID(),
			askedAt: never,
			answers: map[string]map[string]BallotNumber{},
		}
	}
	scan := r.jointScan
	if r.now >= scan.askedAt+scanInterval {
		scan.askedAt = r.now
		r.queryState(scan.queryID)
	}
	scan.answers[r.storeID] = r.acceptedOnDisk()
	return scan
}

// isReplicated reports whether each value lies on enough disks of both sets. Those that do not are written anew.
func (r *Replica) isReplicated(scan *stateScan) bool {
	highest := scan.highestBallots()
	replicated := true
	for _, name := range slices.Sorted(maps.Keys(highest)) {
		has := func(v Voter) bool {
			return scan.answers[v.StoreID][name] == highest[name] || r.isStaleIdentity(v)
		}
		if !r.epoch.IsDurable(r.options.MaxFaults, has) {
			replicated = false
			r.finishOpenProposal(r.registerFor(name))
		}
	}
	return replicated
}

func (s *stateScan) highestBallots() map[string]BallotNumber {
	highest := map[string]BallotNumber{}
	for _, accepted := range s.answers {
		for name, ballot := range accepted {
			if highest[name].Less(ballot) {
				highest[name] = ballot
			}
		}
	}
	return highest
}

// revertJointEpoch ends a change of voters that cannot be ended otherwise: the new voters went before they had all.
// What was chosen in the joint epoch lies on enough disks of the old voters. Otherwise the death of a learner would
// hold up the control plane for ever.
func (r *Replica) revertJointEpoch() {
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.now >= r.epochChangedAt+jointTimeout+stagger {
		r.proposeEpoch(r.successor(r.epoch.OldVoters))
	}
}

// successor is the epoch that ends a joint one.
func (r *Replica) successor(voters []Voter) Epoch {
	next := r.epoch
	next.Number++
	next.Voters, next.OldVoters = voters, nil
	return next
}
