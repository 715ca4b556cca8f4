package rpc

import "slices"

// Voter is a disk that votes: the control-plane node whose machine it is in, and the disk's own id. The id is drawn
// when the disk is first written, so that a wiped disk is another voter and never votes on what the old one has
// forgotten.
type Voter struct {
	Node    `cbor:"1,keyasint"`
	StoreID string `cbor:"2,keyasint"`
}

// Origin is what a disk noted at the system's first start, when all nodes were told the same seeds.
type Origin struct {
	Address string   `cbor:"1,keyasint"` // the peer address of its node
	Seeds   []string `cbor:"2,keyasint"` // the peer addresses of the seeds
}

// IsZero reports whether nothing was noted: the disk is not from the first start, or from a version that noted nothing.
func (o Origin) IsZero() bool { return o.Address == "" && len(o.Seeds) == 0 }

// Epoch is who votes in the control plane. Each epoch is decided by the voters of the one before. While OldVoters
// is not empty the epoch is a joint one: a change from OldVoters to Voters is under way, and each quorum needs
// both.
type Epoch struct {
	Number      uint64  `cbor:"1,keyasint"` // 0: none was decided yet
	OldVoters   []Voter `cbor:"2,keyasint,omitempty"`
	Voters      []Voter `cbor:"3,keyasint"`
	InitialSize int     `cbor:"4,keyasint,omitempty"` // voters of the first epoch
	// ClusterID tells systems apart that were founded independently. It is drawn with the first epoch, and all later ones
	// have it. 0: the system was founded by a version that had none.
	ClusterID uint64 `cbor:"5,keyasint,omitempty"`
}

// IsJoint reports whether a change of voters is under way.
func (e Epoch) IsJoint() bool { return len(e.OldVoters) > 0 }

// TargetSize is how many voters there should be: as many as in the first epoch, and one more if that is even,
// because an even number of voters survives no more losses than the odd one below it.
func (e Epoch) TargetSize() int {
	if e.InitialSize == 0 {
		return len(e.Voters) | 1
	}
	return e.InitialSize | 1
}

// AllVoters are the voters of both sets, each once.
func (e Epoch) AllVoters() []Voter {
	all := slices.Clone(e.Voters)
	for _, v := range e.OldVoters {
		if !containsStore(all, v.StoreID) {
			all = append(all, v)
		}
	}
	return all
}

// IsVoter reports whether a disk votes.
func (e Epoch) IsVoter(storeID string) bool {
	return containsStore(e.Voters, storeID) || containsStore(e.OldVoters, storeID)
}

func containsStore(voters []Voter, storeID string) bool {
	return slices.ContainsFunc(voters, func(v Voter) bool { return v.StoreID == storeID })
}

// HasMajority reports whether the voters that are counted are a majority, in a joint epoch of both sets.
func (e Epoch) HasMajority(counted func(Voter) bool) bool { return e.hasQuorum(0, counted) }

// IsDurable reports whether a value on the disks that are counted survives the loss of maxFaults machines at once: a
// majority, and at least one disk more than may be lost, where the set has so many.
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

// QuorumSize is how many of so many voters must have a value for it to survive the loss of maxFaults machines at
// once: a majority, and at least one more than may be lost, where there are so many.
func QuorumSize(voters, maxFaults int) int { return min(max(maxFaults+1, voters/2+1), voters) }

func countVoters(set []Voter, counted func(Voter) bool) (n int) {
	for _, v := range set {
		if counted(v) {
			n++
		}
	}
	return n
}
