package consensus

import (
	"maps"
	"slices"
	"time"
)

const (
	minEpochInterval = 200 * time.Millisecond // between two changes of voters
	scanInterval     = 300 * time.Millisecond // between two queries of a scan
	jointTimeout     = 5 * time.Second        // an incomplete change of voters is reverted after this time
)

// stateScan collects, in a joint epoch, which ballots the voters have accepted.
type stateScan struct {
	queryID uint64
	askedAt time.Duration
	answers map[string]map[string]BallotNumber // accepted ballots by store id, then by register
}

// tryVoterChange proposes a joint epoch if the voters should change. The voters propose one after the other, by rank.
func (r *Replica) tryVoterChange() {
	voters := r.desiredVoters()
	if slices.Equal(voters, r.epoch.Voters) {
		r.desiredVotersKey = ""
		return
	}
	key := ""
	for _, v := range voters {
		key += v.StoreID + " "
	}
	if key != r.desiredVotersKey {
		r.desiredVotersKey, r.desiredVotersAt = key, r.now
	}
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.shuttingDown {
		stagger = 0
	}
	if r.now < r.desiredVotersAt+stagger || r.now < r.epochChangedAt+minEpochInterval {
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

// finishJointEpoch completes a change of voters once each value is durable, under one ballot, among both the old and
// the new voters. Values that are not are written again.
//
// A voter that answers the scan has entered the joint epoch and no longer votes in an older one. The answers of a
// majority therefore cover everything that was chosen before.
func (r *Replica) finishJointEpoch() {
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.now < r.epochChangedAt+stagger {
		return
	}
	scan := r.runScan()
	answered := func(v Voter) bool {
		_, has := scan.answers[v.StoreID]
		return has || r.isReplacedVoterOfPair(v)
	}
	isScanned := r.storedEpoch >= r.epoch.Number && r.epoch.HasMajority(answered)
	if !isScanned || !r.isReplicated(scan) {
		r.revertJointEpoch()
		return
	}
	r.proposeEpoch(r.successor(r.epoch.Voters))
}

// runScan queries all voters, at most once per scanInterval.
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

// isReplicated reports whether each value is durable in both sets of voters, and starts ballots for those that are not.
func (r *Replica) isReplicated(scan *stateScan) bool {
	highest := scan.highestBallots()
	replicated := true
	for _, name := range slices.Sorted(maps.Keys(highest)) {
		has := func(v Voter) bool {
			return scan.answers[v.StoreID][name] == highest[name] || r.isReplacedVoterOfPair(v)
		}
		if !r.epoch.IsDurable(r.options.MaxFaults, has) {
			replicated = false
			r.finishOpenBallot(r.registerFor(name))
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

// revertJointEpoch returns to the old voters after jointTimeout, so that a failed learner cannot block the control
// plane forever. This loses nothing: values chosen in the joint epoch are durable among the old voters too.
func (r *Replica) revertJointEpoch() {
	stagger := time.Duration(r.rankAmongVoters(epochRegister)) * voterStagger
	if r.now >= r.epochChangedAt+jointTimeout+stagger {
		r.proposeEpoch(r.successor(r.epoch.OldVoters))
	}
}

// successor returns the epoch that ends the current joint one.
func (r *Replica) successor(voters []Voter) Epoch {
	next := r.epoch
	next.Number++
	next.Voters, next.OldVoters = voters, nil
	return next
}
