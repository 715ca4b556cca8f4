package consensus

import "elmfold/internal/gateway/rpc"

// Foreign peers
//
// If a partition splits the machines during the first seconds, several clusters may be bootstrapped independently
// (bootstraprule.go). The ClusterID of their epochs distinguishes them. They are never merged, because that would lose
// or roll back acknowledged values. A node that meets a peer of another cluster reports it and ignores its messages.
// Unless most of the seeds belong to its own cluster, the node behaves as if it had no quorum contact.

// isForeignMessage reports whether a message is from another cluster, and records the peer's cluster.
func (r *Replica) isForeignMessage(p *peer, m *rpc.Message) bool {
	isOfThisDisk := m.StoreID == p.storeID
	if isOfThisDisk && m.ClusterID != 0 && m.ClusterID != p.clusterID {
		p.clusterID = m.ClusterID
		r.reportIfForeign(p)
	}
	return r.isOtherCluster(m.ClusterID) || isOfThisDisk && r.isForeign(p)
}

// reportForeignPeers reports the known foreign peers when this node joins a cluster.
func (r *Replica) reportForeignPeers() {
	for _, name := range r.sortedPeers() {
		r.reportIfForeign(r.peers[name])
	}
}

func (r *Replica) reportIfForeign(p *peer) {
	if r.isForeign(p) {
		r.emit(ForeignPeerFound{p.Name, p.clusterID})
	}
}

// isForeign reports whether a peer belongs to another cluster.
func (r *Replica) isForeign(p *peer) bool { return r.isOtherCluster(p.clusterID) }

// isOtherCluster reports whether an id belongs to another cluster. 0 belongs to none: the sender has not entered an
// epoch, or its version has no cluster ids.
func (r *Replica) isOtherCluster(clusterID uint64) bool {
	own := r.epoch.ClusterID
	return own != 0 && clusterID != 0 && clusterID != own
}

// ForeignPeers returns the names of the peers that belong to another cluster, sorted.
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

// isOutvoted reports whether there is a foreign peer while most of the seeds are not known to belong to this cluster.
func (r *Replica) isOutvoted() bool {
	if !r.hasForeignPeer() {
		return false
	}
	seeds, own := r.bootstrapSeeds(), 0
	for _, seed := range seeds {
		if r.isOwnSeed(seed) {
			own++
		}
	}
	return own < len(seeds)/2+1
}

// isOwnSeed reports whether the seed at an address is known to belong to this cluster.
func (r *Replica) isOwnSeed(address string) bool {
	if r.bootstrapAddress() == address {
		return true
	}
	for _, p := range r.peers {
		if p.bootstrapAddress() == address && p.clusterID == r.epoch.ClusterID {
			return true
		}
	}
	return false
}
