package consensus

// bootstrapRule determines which disks may decide the first epoch, when the number of machines is not configured. Any
// two quorums must share a disk that remembers its votes, and a quorum must remain after the loss of maxFaults (f)
// machines.
//
// If a majority of the seeds survives f losses, the seeds decide. Any two majorities of the seeds overlap, however many
// machines there are.
//
// Otherwise only one seed may be left after f losses, and two quorums with one seed each need not share a seed. Then
// the machines decide: f+1 of 2f+1, or all but f if more machines are known.
//
// A disk is intact if it is from the cluster's first start. Other disks may have forgotten a vote, because the machine
// was wiped, or was killed before the first write. They count only when all machines are connected, so that no other
// machine can know of an epoch.
//
// The rule does not cover more than 2f+1 machines, 2f+1 of them besides the seeds, that are partitioned into groups of
// f+1 before the groups have discovered each other. No rule can: a group of f+1 cannot distinguish this from a cluster
// of 2f+1 that has lost f machines. Each group then bootstraps a cluster, and their nodes detect each other by the
// ClusterID (foreign.go).
type bootstrapRule struct {
	seeds              int // configured at the first start
	maxFaults          int // machines that may be lost at once
	firstStartMachines int // the seeds, and the other known machines that are from the first start
	knownMachines      int // the seeds, and all other known machines
}

// bootstrapVotes counts disks by kind.
type bootstrapVotes struct {
	all         int
	intact      int // from the cluster's first start
	seeds       int
	intactSeeds int
}

func (v *bootstrapVotes) add(isSeed, mayHaveLostState bool) {
	v.all++
	if isSeed {
		v.seeds++
	}
	if !mayHaveLostState {
		v.intact++
		if isSeed {
			v.intactSeeds++
		}
	}
}

func (v bootstrapVotes) hasSeedMajority(seeds int) bool { return v.seeds >= seeds/2+1 }

// seedsDecide reports whether the seeds alone decide: they are all machines, or a majority of them survives maxFaults
// losses.
func (b bootstrapRule) seedsDecide() bool {
	return b.seeds < maxSeeds || b.seeds >= 2*b.maxFaults+1
}

// size returns the assumed number of machines. It is used if the seeds do not decide.
func (b bootstrapRule) size() int { return max(2*b.maxFaults+1, b.firstStartMachines) }

// isQuorum reports whether the disks may decide the first epoch.
func (b bootstrapRule) isQuorum(v bootstrapVotes) bool {
	if b.isAllMachines(v) {
		return true
	}
	if b.seedsDecide() {
		return v.intactSeeds >= b.needed()
	}
	return v.intact >= b.needed() && b.hasEnoughSeeds(v)
}

// needed returns how many intact disks are a quorum.
func (b bootstrapRule) needed() int {
	if b.seedsDecide() {
		return b.seeds/2 + 1
	}
	return b.size() - b.maxFaults
}

// hasEnoughSeeds requires one seed, because a node without a connection to any seed knows few machines. No seed is
// required if all seeds may be lost at once.
func (b bootstrapRule) hasEnoughSeeds(v bootstrapVotes) bool {
	return v.seeds > 0 || b.maxFaults >= b.seeds
}

// isAllMachines reports whether the disks belong to all known machines.
func (b bootstrapRule) isAllMachines(v bootstrapVotes) bool {
	if b.seedsDecide() {
		return v.seeds == b.seeds
	}
	return v.all >= max(b.size(), b.knownMachines)
}
