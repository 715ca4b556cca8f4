package consensus

// foundingRule says which disks are enough to decide the first epoch, where nobody is told how many machines there
// are. Any two quorums must share a disk that remembers what it voted, and what is left after maxFaults losses must be
// a quorum.
//
// Where a majority of the seeds survives the losses, the seeds decide: any two majorities of them share one, however
// many machines there are. Otherwise a lone seed must do, and one seed and the other two share nothing. Then machines
// decide, f+1 of 2f+1 (a majority, which is what "f may be lost at once" rests on), or all but f where more have been
// heard of. A disk remembers if it is from the system's first start. One that may have forgotten its vote, as its
// machine was wiped or killed before the disk was first written, counts only where everybody is here: then nobody is
// left who could know of an epoch.
//
// What this does not survive: more than 2f+1 machines, with 2f+1 more than the seeds, that are cut into groups of f+1
// before the groups have heard of each other. Nobody could do better: a group of f+1 cannot tell such a cut from a
// system of 2f+1 that has lost f. Two systems that came about so detect each other by their ClusterID (foreign.go).
type foundingRule struct {
	seeds     int // that were named at the first start
	maxFaults int // machines that may be lost at once
	machines  int // seeds, and others that were heard of and are from the first start
	heardOf   int // seeds, and all others that were heard of
}

// foundingVotes counts disks by what they are.
type foundingVotes struct {
	all              int
	remembering      int // from the system's first start
	seeds            int
	rememberingSeeds int
}

func (v *foundingVotes) add(isSeed, mayHaveLostState bool) {
	v.all++
	if isSeed {
		v.seeds++
	}
	if !mayHaveLostState {
		v.remembering++
		if isSeed {
			v.rememberingSeeds++
		}
	}
}

func (v foundingVotes) hasSeedMajority(seeds int) bool { return v.seeds >= seeds/2+1 }

// seedsDecide reports whether the seeds alone decide: they are all machines, or enough of them survive the losses.
func (f foundingRule) seedsDecide() bool {
	return f.seeds < maxSeeds || f.seeds >= 2*f.maxFaults+1
}

// size is the number of machines whose majority decides.
func (f foundingRule) size() int { return max(2*f.maxFaults+1, f.machines) }

// isQuorum reports whether the disks are enough to decide the first epoch.
func (f foundingRule) isQuorum(v foundingVotes) bool {
	if f.isEverybody(v) {
		return true
	}
	if f.seedsDecide() {
		return v.rememberingSeeds >= f.needed()
	}
	return v.remembering >= f.needed() && f.hasEnoughSeeds(v)
}

// needed is how many disks that remember are a quorum.
func (f foundingRule) needed() int {
	if f.seedsDecide() {
		return f.seeds/2 + 1
	}
	return f.size() - f.maxFaults
}

// hasEnoughSeeds asks for one seed: who is connected to none can have heard of few. Where all seeds may be lost at
// once, none is asked for.
func (f foundingRule) hasEnoughSeeds(v foundingVotes) bool {
	return v.seeds > 0 || f.maxFaults >= f.seeds
}

// isEverybody reports whether the disks are those of all machines, as far as can be known.
func (f foundingRule) isEverybody(v foundingVotes) bool {
	if f.seedsDecide() {
		return v.seeds == f.seeds
	}
	return v.all >= max(f.size(), f.heardOf)
}
