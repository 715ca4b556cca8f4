package consensus

import (
	"slices"
	"time"
)

const (
	// foundingQuietPeriod is how long no further node must have been identified before the first epoch is proposed: its
	// voters are all that came.
	foundingQuietPeriod = 700 * time.Millisecond
	// foundingPatience is the time before it is proposed with fewer voters than the faults to be survived ask for.
	foundingPatience = 2 * time.Second
	// foundingStagger is the pause between the seeds, and then the others, that propose it one after the other.
	foundingStagger = 500 * time.Millisecond
	// foundingStragglers is how many places those have that are no seeds.
	foundingStragglers = 4
)

// isFoundingQuorum reports whether the disks that are counted are enough of the seeds to decide the first epoch: a
// majority of those whose disks go back to the system's first start. A disk that may have forgotten something
// counts only where all seeds are there: then nobody is left who could know of an epoch.
func (r *Replica) isFoundingQuorum(counted func(storeID string) bool) bool {
	remembering, all := 0, 0
	count := func(storeID string, mayHaveLostState bool) {
		if !counted(storeID) {
			return
		}
		all++
		if !mayHaveLostState {
			remembering++
		}
	}
	for _, seed := range r.options.Seeds {
		if seed == r.options.Self.Address {
			count(r.storeID, r.mayHaveLostState)
		} else if p := r.connectedSeed(seed); p != nil {
			count(p.storeID, p.mayHaveLostState)
		}
	}
	return remembering >= len(r.options.Seeds)/2+1 || all == len(r.options.Seeds)
}

// connectedSeed is the peer at the address of a seed; nil: no connection to it is up.
func (r *Replica) connectedSeed(address string) *peer {
	for _, name := range r.connectedPeers() {
		if p := r.peers[name]; p.Address == address {
			return p
		}
	}
	return nil
}

func (r *Replica) canFound() bool {
	return r.identified && r.isFoundingQuorum(func(string) bool { return true })
}

// tryFounding proposes the first epoch, of all nodes that came. Any majority of the seeds decides it, whichever is
// gone. The others propose it too, after them, as they may have connections to seeds that are cut off from each
// other.
func (r *Replica) tryFounding() {
	founders := []Voter{r.selfVoter()}
	for _, name := range r.connectedPeers() {
		if p := r.peers[name]; p.reportedAt != never { // otherwise its disk has no identity yet
			founders = append(founders, p.voter())
		}
	}
	if !r.canFound() || r.now < r.foundingTime(len(founders)) {
		return
	}
	first := Epoch{Number: 1, Voters: sortVoters(founders), FoundingSize: len(founders)}
	if r.includesAllSeeds(founders) {
		r.proposeEpochUnless(first, func(half Epoch) bool { return majorityReplaced(half, founders) })
		return
	}
	r.proposeEpoch(first)
}

// foundingTime is when this node proposes the first epoch.
func (r *Replica) foundingTime(founders int) time.Duration {
	at := r.lastPeerAt + foundingQuietPeriod
	if founders < 2*r.options.MaxFaults+1 {
		at = max(at, foundingPatience)
	}
	turn := slices.Index(r.options.Seeds, r.options.Self.Address)
	if turn < 0 {
		turn = len(r.options.Seeds) + int(rendezvousHash(epochRegister, r.storeID)%foundingStragglers)
	}
	return at + time.Duration(turn)*foundingStagger
}

func (r *Replica) includesAllSeeds(founders []Voter) bool {
	for _, seed := range r.options.Seeds {
		if !slices.ContainsFunc(founders, func(v Voter) bool { return v.Address == seed }) {
			return false
		}
	}
	return true
}

// majorityReplaced reports whether the machines of most voters of a first epoch are here with other disks. Otherwise a
// first epoch that was left open when its voters lost their disks would be finished, and nobody would ever vote in it.
// All seeds are here, and none of them has entered it: nothing was acknowledged in it but by disks that are gone, more
// than are to be survived.
func majorityReplaced(first Epoch, here []Voter) bool {
	replaced := 0
	for _, v := range first.Voters {
		if slices.ContainsFunc(here, func(w Voter) bool { return w.Name == v.Name && w.StoreID != v.StoreID }) {
			replaced++
		}
	}
	return replaced > len(first.Voters)/2
}
