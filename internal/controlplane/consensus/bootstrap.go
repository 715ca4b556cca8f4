package consensus

import (
	"cmp"
	"slices"
	"time"
)

const (
	// foundingQuietPeriod is how long no further node must have been identified before the first epoch is proposed: its
	// voters are all that came.
	foundingQuietPeriod = 700 * time.Millisecond
	// foundingPatience is the time before it is proposed with fewer voters than the faults to be survived ask for, or
	// without a majority of the seeds: further machines are heard of meanwhile, if there are any.
	foundingPatience = 2 * time.Second
	// foundingStagger is the pause between the seeds, and then the others, that propose it one after the other.
	foundingStagger = 500 * time.Millisecond
	// foundingStragglers is how many places those have that are no seeds.
	foundingStragglers = 4
	// maxSeeds is how many seeds the settings name where there are so many machines. Fewer seeds are all machines.
	maxSeeds = 3
)

// tryFounding proposes the first epoch, of all nodes that came. Any quorum of the founding decides it (foundingRule),
// whichever machines are gone. All nodes propose it, one after the other, as each may have connections to others that
// are cut off from each other.
func (r *Replica) tryFounding() {
	founders := r.founders()
	if !r.canFound() || r.now < r.foundingTime(len(founders)) {
		return
	}
	first := Epoch{
		Number:      1,
		Voters:      founders,
		InitialSize: len(founders),
		ClusterID:   hash64(r.options.Incarnation, r.queryID) | 1, // not 0, which stands for none
	}
	if r.isEverybodyHere() {
		r.proposeEpochUnless(first, func(half Epoch) bool { return majorityReplaced(half, founders) })
		return
	}
	r.proposeEpoch(first)
}

// founders are the voters of a first epoch that is proposed now.
func (r *Replica) founders() []Voter {
	founders := []Voter{r.selfVoter()}
	for _, name := range r.connectedPeers() {
		if p := r.peers[name]; p.reportedAt != never { // otherwise its disk has no identity yet
			founders = append(founders, p.voter())
		}
	}
	return sortVoters(founders)
}

// foundingTime is when this node proposes the first epoch.
func (r *Replica) foundingTime(founders int) time.Duration {
	at := r.lastPeerAt + foundingQuietPeriod
	hasMostSeeds := r.foundingVotes(anyStore).hasSeedMajority(len(r.foundingSeeds()))
	if founders < 2*r.options.MaxFaults+1 || !hasMostSeeds {
		at = max(at, foundingPatience)
	}
	return at + time.Duration(r.foundingTurn())*foundingStagger
}

// foundingTurn is how many nodes propose the first epoch before this one: the seeds that answer, in their order, and
// then the others.
func (r *Replica) foundingTurn() (turn int) {
	own := r.foundingAddress()
	for _, seed := range r.foundingSeeds() {
		if seed == own {
			return turn
		}
		if r.isSeedResponsive(seed) {
			turn++
		}
	}
	return turn + int(rendezvousHash(epochRegister, r.storeID)%foundingStragglers)
}

func (r *Replica) isSeedResponsive(address string) bool {
	for _, p := range r.peers {
		if p.foundingAddress() == address && p.connected && r.now <= p.lastContact+QuorumContactTimeout {
			return true
		}
	}
	return false
}

func anyStore(string) bool { return true }

// canFound reports whether those to which connections are up could decide the first epoch.
func (r *Replica) canFound() bool { return r.identified && r.isFoundingQuorum(anyStore) }

// isFoundingQuorum reports whether the disks that are counted, of those to which connections are up, are enough to
// decide the first epoch.
func (r *Replica) isFoundingQuorum(counted func(storeID string) bool) bool {
	return r.foundingRule().isQuorum(r.foundingVotes(counted))
}

// isEverybodyHere reports whether connections are up to all machines of the founding, as far as can be known.
func (r *Replica) isEverybodyHere() bool {
	return r.foundingRule().isEverybody(r.foundingVotes(anyStore))
}

// foundingSeeds are the peer addresses that were the seeds at the system's first start, when all nodes were told the
// same ones. A node that starts later may be told others: then the disks that remember go before its settings.
func (r *Replica) foundingSeeds() []string {
	if len(r.origin.Seeds) > 0 {
		return r.origin.Seeds
	}
	for _, name := range r.connectedPeers() {
		if seeds := r.peers[name].origin.Seeds; len(seeds) > 0 {
			return seeds
		}
	}
	return r.options.Seeds
}

// foundingAddress is the own peer address at the system's first start, as far as that is known.
func (r *Replica) foundingAddress() string { return cmp.Or(r.origin.Address, r.options.Self.Address) }

// foundingAddress is that of a peer.
func (p *peer) foundingAddress() string { return cmp.Or(p.origin.Address, p.Address) }

// foundingRule is the rule as far as this node knows the machines.
func (r *Replica) foundingRule() foundingRule {
	seeds := r.foundingSeeds()
	rule := foundingRule{seeds: len(seeds), maxFaults: r.options.MaxFaults, machines: len(seeds), heardOf: len(seeds)}
	count := func(address string, mayHaveLostState bool) {
		if slices.Contains(seeds, address) {
			return
		}
		rule.heardOf++
		if !mayHaveLostState {
			rule.machines++
		}
	}
	count(r.foundingAddress(), r.mayHaveLostState)
	for _, p := range r.peers {
		count(p.foundingAddress(), p.mayHaveLostState)
	}
	return rule
}

// foundingVotes counts the disks, of those to which connections are up.
func (r *Replica) foundingVotes(counted func(storeID string) bool) foundingVotes {
	seeds := r.foundingSeeds()
	votes := foundingVotes{}
	count := func(storeID, address string, mayHaveLostState bool) {
		if counted(storeID) {
			votes.add(slices.Contains(seeds, address), mayHaveLostState)
		}
	}
	count(r.storeID, r.foundingAddress(), r.mayHaveLostState)
	for _, name := range r.connectedPeers() {
		p := r.peers[name]
		count(p.storeID, p.foundingAddress(), p.mayHaveLostState)
	}
	return votes
}

// majorityReplaced reports whether the machines of most voters of a first epoch are here with other disks. Otherwise a
// first epoch that was left open when its voters lost their disks would be finished, and nobody would ever vote in it.
// Everybody is here, and nobody has entered it: nothing was acknowledged in it but by disks that are gone, more than
// are to be survived.
func majorityReplaced(first Epoch, here []Voter) bool {
	replaced := 0
	for _, v := range first.Voters {
		if slices.ContainsFunc(here, func(w Voter) bool { return w.Name == v.Name && w.StoreID != v.StoreID }) {
			replaced++
		}
	}
	return replaced > len(first.Voters)/2
}
