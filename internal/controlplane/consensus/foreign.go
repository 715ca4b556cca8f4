package consensus

import "elmfold/internal/gateway/rpc"

// Systems that were founded independently, because more machines than the faults to be survived ask for were cut into
// groups in their first seconds, are told apart by the ClusterID of their epochs. They are never merged: what either
// has acknowledged would be lost or shown in an older state. Whoever meets the other says so, ignores it, and answers
// as one without quorum contact unless its own system has most of the seeds.

// isForeignMessage reports whether a message is from another system, and notes the system of the peer.
func (r *Replica) isForeignMessage(p *peer, m *rpc.Message) bool {
	isOfThisDisk := m.StoreID == p.storeID
	if isOfThisDisk && m.ClusterID != 0 && m.ClusterID != p.foundingID {
		p.foundingID = m.ClusterID
		r.reportIfForeign(p)
	}
	return r.isOtherSystem(m.ClusterID) || isOfThisDisk && r.isForeign(p)
}

// reportForeignPeers is called once this node belongs to a system itself.
func (r *Replica) reportForeignPeers() {
	for _, name := range r.sortedPeers() {
		r.reportIfForeign(r.peers[name])
	}
}

func (r *Replica) reportIfForeign(p *peer) {
	if r.isForeign(p) {
		r.emit(ForeignPeerFound{p.Name, p.foundingID})
	}
}

// isForeign reports whether a peer belongs to another system.
func (r *Replica) isForeign(p *peer) bool { return r.isOtherSystem(p.foundingID) }

// isOtherSystem reports whether an id is that of another system. 0 is of none: the sender has not entered an epoch, or
// its version does not know of systems.
func (r *Replica) isOtherSystem(foundingID uint64) bool {
	own := r.epoch.ClusterID
	return own != 0 && foundingID != 0 && foundingID != own
}

// ForeignPeers are the names of the peers that belong to another system, sorted.
func (r *Replica) ForeignPeers() []string {
	var names []string
	for _, name := range r.sortedPeers() {
		if r.isForeign(r.peers[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (r *Replica) hasForeignPeer() bool {
	for _, p := range r.peers {
		if r.isForeign(p) {
			return true
		}
	}
	return false
}

// isOutvoted reports whether there is another system and most of the seeds are not known to be of this one.
func (r *Replica) isOutvoted() bool {
	if !r.hasForeignPeer() {
		return false
	}
	seeds, own := r.foundingSeeds(), 0
	for _, seed := range seeds {
		if r.isOwnSeed(seed) {
			own++
		}
	}
	return own < len(seeds)/2+1
}

// isOwnSeed reports whether the node that was a seed at an address is known to be of this system.
func (r *Replica) isOwnSeed(address string) bool {
	if r.foundingAddress() == address {
		return true
	}
	for _, p := range r.peers {
		if p.foundingAddress() == address && p.foundingID == r.epoch.ClusterID {
			return true
		}
	}
	return false
}
