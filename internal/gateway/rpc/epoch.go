package rpc

import "slices"

// Voter is a disk that votes, with the control-plane node that it belongs to. The StoreID is chosen at random when the
// disk is first written. A wiped disk is thus a new voter and cannot contradict votes that were lost with the old data.
type Voter struct {
	Node    `cbor:"1,keyasint"`
	StoreID string `cbor:"2,keyasint"`
}

// Origin has the settings of the cluster's first start that each disk stores. At that time, all nodes have the same
// seeds.
type Origin struct {
	Address string   `cbor:"1,keyasint"` // peer address of the disk's node
	Seeds   []string `cbor:"2,keyasint"` // peer addresses of the seeds
}

// IsZero reports whether the disk has no Origin: it is not from the first start, or an older version has written it.
func (o Origin) IsZero() bool { return o.Address == "" && len(o.Seeds) == 0 }

// Epoch is a configuration of voters of the control plane. The voters of each epoch decide the next one. An epoch with
// OldVoters is a joint one: a change from OldVoters to Voters is in progress, and each quorum needs a majority of both
// sets.
type Epoch struct {
	Number      uint64  `cbor:"1,keyasint"` // 0: no epoch was decided yet
	OldVoters   []Voter `cbor:"2,keyasint,omitempty"`
	Voters      []Voter `cbor:"3,keyasint"`
	InitialSize int     `cbor:"4,keyasint,omitempty"` // number of voters in the first epoch
	// ClusterID distinguishes independently bootstrapped clusters. It is chosen at random with the first epoch and kept by
	// all later ones. It is 0 in clusters that a version without this field bootstrapped.
	ClusterID uint64 `cbor:"5,keyasint,omitempty"`
}

// IsJoint reports whether a change of voters is in progress.
func (e Epoch) IsJoint() bool { return len(e.OldVoters) > 0 }

// TargetSize returns the desired number of voters: that of the first epoch, rounded up to an odd number. An even number
// tolerates no more failures than the odd number below it.
func (e Epoch) TargetSize() int {
	if e.InitialSize == 0 {
		return len(e.Voters) | 1
	}
	return e.InitialSize | 1
}

// AllVoters returns the voters of both sets without duplicates.
func (e Epoch) AllVoters() []Voter {
	voters := slices.Clone(e.Voters)
	for _, v := range e.OldVoters {
		if !containsStore(voters, v.StoreID) {
			voters = append(voters, v)
		}
	}
	return voters
}

// IsVoter reports whether a disk is a voter of this epoch.
func (e Epoch) IsVoter(storeID string) bool {
	return containsStore(e.Voters, storeID) || containsStore(e.OldVoters, storeID)
}

func containsStore(voters []Voter, storeID string) bool {
	return slices.ContainsFunc(voters, func(v Voter) bool { return v.StoreID == storeID })
}

// HasMajority reports whether the counted voters are a majority. In a joint epoch, they must be a majority of both
// sets.
func (e Epoch) HasMajority(counted func(Voter) bool) bool { return e.hasQuorum(0, counted) }

// IsDurable reports whether a value on the counted disks survives the simultaneous loss of maxFaults machines. See
// QuorumSize.
func (e Epoch) IsDurable(maxFaults int, counted func(Voter) bool) bool {
	return e.hasQuorum(maxFaults, counted)
}

func (e Epoch) hasQuorum(maxFaults int, counted func(Voter) bool) bool {
	if e.Number == 0 || len(e.Voters) == 0 {
		return false
	}
	for _, set := range [][]Voter{e.Voters, e.OldVoters} {
		if len(set) == 0 {
			continue
		}
		if countVoters(set, counted) < QuorumSize(len(set), maxFaults) {
			return false
		}
	}
	return true
}

// QuorumSize returns how many voters must store a value so that it survives the simultaneous loss of maxFaults
// machines: a majority and at least maxFaults+1, but not more than all voters.
func QuorumSize(voters, maxFaults int) int { return min(max(maxFaults+1, voters/2+1), voters) }

func countVoters(set []Voter, counted func(Voter) bool) (n int) {
	for _, v := range set {
		if counted(v) {
			n++
		}
	}
	return n
}
