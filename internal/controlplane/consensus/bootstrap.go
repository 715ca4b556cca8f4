package consensus

import (
	"cmp"
	"slices"
	"time"
)

const (
	// bootstrapQuietPeriod is how long no new peer must have been identified before the first epoch is proposed, so that
	// its voters include all machines that start together.
	bootstrapQuietPeriod = 700 * time.Millisecond
	// incompleteBootstrapDelay is the minimum time before the first epoch is proposed without 2f+1 voters or without a
	// majority of the seeds. Further machines may be discovered meanwhile.
	incompleteBootstrapDelay = 2 * time.Second
	// bootstrapStagger is the delay between the nodes that propose the first epoch: first the seeds, then the others.
	bootstrapStagger = 500 * time.Millisecond
	// nonSeedSlots is the number of proposal slots that the other nodes share.
	nonSeedSlots = 4
	// maxSeeds is the number of seeds in the settings if there are at least as many machines. With fewer seeds, the seeds
	// are all machines.
	maxSeeds = 3
)

// tryBootstrap proposes the first epoch, with all connected nodes as voters. Any bootstrap quorum decides it
// (bootstrapRule). All nodes propose it, one after the other, because each may be connected to nodes that cannot reach
// each other.
func (r *Replica) tryBootstrap() {
	voters := r.initialVoters()
	if !r.canBootstrap() || r.now < r.bootstrapTime(len(voters)) {
		return
	}
	first := Epoch{
		Number:      1,
		Voters:      voters,
		InitialSize: len(voters),
		ClusterID:   hash64(r.options.Incarnation, r.queryID) | 1, // not 0, which means none
	}
	if r.hasAllMachines() {
		r.proposeEpochUnless(first, func(accepted Epoch) bool { return majorityReplaced(accepted, voters) })
		return
	}
	r.proposeEpoch(first)
}

// initialVoters returns the voters for a first epoch that is proposed now.
func (r *Replica) initialVoters() []Voter {
	voters := []Voter{r.selfVoter()}
	for _, name := range r.connectedPeers() {
		if p := r.peers[name]; p.reportedAt != never { // otherwise its disk has no identity yet
			voters = append(voters, p.voter())
		}
	}
	return sortVoters(voters)
}

// bootstrapTime returns when this node proposes the first epoch.
func (r *Replica) bootstrapTime(voters int) time.Duration {
	at := r.lastNewPeerAt + bootstrapQuietPeriod
	hasMostSeeds := r.bootstrapVotes(anyStore).hasSeedMajority(len(r.bootstrapSeeds()))
	if voters < 2*r.options.MaxFaults+1 || !hasMostSeeds {
		at = max(at, incompleteBootstrapDelay)
	}
	return at + time.Duration(r.bootstrapTurn())*bootstrapStagger
}

// bootstrapTurn returns the slot in which this node proposes the first epoch: first the responsive seeds in order, then
// a hashed slot for each of the others.
func (r *Replica) bootstrapTurn() (turn int) {
	own := r.bootstrapAddress()
	for _, seed := range r.bootstrapSeeds() {
		if seed == own {
			return turn
		}
		if r.isSeedResponsive(seed) {
			turn++
		}
	}
	return turn + int(rendezvousHash(epochRegister, r.storeID)%nonSeedSlots)
}

func (r *Replica) isSeedResponsive(address string) bool {
	for _, p := range r.peers {
		if p.bootstrapAddress() == address && p.connected && r.now <= p.lastContact+QuorumContactTimeout {
			return true
		}
	}
	return false
}

func anyStore(string) bool { return true }

// canBootstrap reports whether the connected disks could decide the first epoch.
func (r *Replica) canBootstrap() bool { return r.identified && r.isBootstrapQuorum(anyStore) }

// isBootstrapQuorum reports whether the counted disks, among the connected ones, are a quorum for the first epoch.
func (r *Replica) isBootstrapQuorum(counted func(storeID string) bool) bool {
	return r.bootstrapRule().isQuorum(r.bootstrapVotes(counted))
}

// hasAllMachines reports whether all known machines are connected.
func (r *Replica) hasAllMachines() bool {
	return r.bootstrapRule().isAllMachines(r.bootstrapVotes(anyStore))
}

// bootstrapSeeds returns the addresses of the seeds at the cluster's first start, when all nodes had the same list. A
// node that starts later may be configured with another list, so the list stored on any disk takes precedence.
func (r *Replica) bootstrapSeeds() []string {
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

// bootstrapAddress returns this node's address at the cluster's first start, as far as it is known.
func (r *Replica) bootstrapAddress() string { return cmp.Or(r.origin.Address, r.options.Self.Address) }

// bootstrapAddress returns the peer's address at the cluster's first start, as far as it is known.
func (p *peer) bootstrapAddress() string { return cmp.Or(p.origin.Address, p.Address) }

// bootstrapRule returns the rule for the machines that this node knows.
func (r *Replica) bootstrapRule() bootstrapRule {
	seeds := r.bootstrapSeeds()
	rule := bootstrapRule{
		seeds:              len(seeds),
		maxFaults:          r.options.MaxFaults,
		firstStartMachines: len(seeds),
		knownMachines:      len(seeds),
	}
	count := func(address string, mayHaveLostState bool) {
		if slices.Contains(seeds, address) {
			return
		}
		rule.knownMachines++
		if !mayHaveLostState {
			rule.firstStartMachines++
		}
	}
	count(r.bootstrapAddress(), r.mayHaveLostState)
	for _, p := range r.peers {
		count(p.bootstrapAddress(), p.mayHaveLostState)
	}
	return rule
}

// bootstrapVotes counts this disk and the connected ones.
func (r *Replica) bootstrapVotes(counted func(storeID string) bool) bootstrapVotes {
	seeds := r.bootstrapSeeds()
	votes := bootstrapVotes{}
	count := func(storeID, address string, mayHaveLostState bool) {
		if counted(storeID) {
			votes.add(slices.Contains(seeds, address), mayHaveLostState)
		}
	}
	count(r.storeID, r.bootstrapAddress(), r.mayHaveLostState)
	for _, name := range r.connectedPeers() {
		p := r.peers[name]
		count(p.storeID, p.bootstrapAddress(), p.mayHaveLostState)
	}
	return votes
}

// majorityReplaced reports whether the machines of most voters of a proposed first epoch are connected with other
// disks. Such an epoch must not be finished, because it could never have a majority. It is safe to replace when all
// machines are connected and none has entered it: only lost disks can have acknowledged anything in it.
func majorityReplaced(first Epoch, connected []Voter) bool {
	replaced := 0
	for _, v := range first.Voters {
		if slices.ContainsFunc(connected, func(w Voter) bool { return w.Name == v.Name && w.StoreID != v.StoreID }) {
			replaced++
		}
	}
	return replaced > len(first.Voters)/2
}
