package proxy

import (
	"slices"
	"time"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// A node without quorum contact has no contact with a majority of the voters: what it reports as committed may be
// outdated. Each node states its quorum contact in its first message, in each answer to a renewal, and when it changes.

const (
	// maxRoutingNodeOutage is how long the routing node may be without quorum contact before the proxy selects another.
	maxRoutingNodeOutage = 2500 * time.Millisecond
	// minQuorumContact is how long a node must have had quorum contact before it is selected as the routing node.
	minQuorumContact = 3 * time.Second
	// maxTableAge is the largest time between sending a renewal and receiving routing tables that were computed after it.
	maxTableAge = 3 * time.Second
	// maxStartupWait is how long after the first message of any node the proxy waits for nodes with quorum contact.
	maxStartupWait = 3 * time.Second
	// rememberedRenewals is the number of renewals whose send times are kept.
	rememberedRenewals = 8
)

// quorumStatus is the quorum contact of an incarnation of a node.
type quorumStatus struct {
	lost      bool
	changedAt time.Duration // when lost last changed; at first, the time of the node's first message
}

func (q *quorumStatus) update(now time.Duration, lost bool) {
	if lost != q.lost {
		q.lost, q.changedAt = lost, now
	}
}

// isSteady reports whether the node's quorum contact is stable enough for the routing node. The current routing node
// may lose it for a while; any other must have had it for some time.
func (q *quorumStatus) isSteady(now time.Duration, isRoutingNode bool) bool {
	if isRoutingNode {
		return !q.lost || now <= q.changedAt+maxRoutingNodeOutage
	}
	return !q.lost && now >= q.changedAt+minQuorumContact
}

// updateRoutingNode selects the routing node among the connected nodes.
func (p *Proxy) updateRoutingNode(now time.Duration) {
	var connected []routingCandidate
	for _, n := range p.sortedNodes() {
		if n.conn != nil {
			name := n.info.Name
			steady := n.quorum.isSteady(now, name == p.routingNode)
			connected = append(connected, routingCandidate{name, n.info.Zone, steady})
		}
	}
	if best := chooseRoutingNode(p.self.Zone, connected); best != "" && best != p.routingNode {
		p.routingNode = best
		p.log.Info("routing node selected", logfield.Node, best)
	}
}

// routingCandidate is a connected node that may become the routing node.
type routingCandidate struct {
	name, zone string
	steady     bool
}

// Bits of a candidate's rank, highest priority first.
const (
	steadyBit  = 1 << 63
	ownZoneBit = 1 << 62
	hashShift  = 2 // clears these bits in the hash
)

// chooseRoutingNode returns the name of the routing node for the proxies of a zone: a node with steady quorum contact
// before one without, then a node of the same zone, then by rendezvous hashing, so that all proxies of a zone choose
// the same node. If no node has quorum contact, outdated routing tables are better than none. It returns "" without
// candidates.
func chooseRoutingNode(zone string, candidates []routingCandidate) string {
	best, highest := "", uint64(0)
	for _, c := range candidates {
		rank := balancer.RendezvousHash(c.name, zone) >> hashShift
		if c.zone == zone {
			rank |= ownZoneBit
		}
		if c.steady {
			rank |= steadyBit
		}
		if best == "" || rank > highest {
			best, highest = c.name, rank
		}
	}
	return best
}

// renewalTimes are the send times of the newest renewals on a connection. Renewals are numbered consecutively.
type renewalTimes struct {
	sentAt [rememberedRenewals]time.Duration
	newest uint64
}

func (r *renewalTimes) record(number uint64, now time.Duration) {
	r.sentAt[number%rememberedRenewals], r.newest = now, number
}

// sentTime returns when a renewal was sent, and false if it was not sent on this connection or is no longer remembered.
func (r *renewalTimes) sentTime(number uint64) (time.Duration, bool) {
	isRemembered := number > 0 && number <= r.newest && number+rememberedRenewals > r.newest
	if !isRemembered || r.sentAt[number%rememberedRenewals] == 0 {
		return 0, false
	}
	return r.sentAt[number%rememberedRenewals], true
}

// leaseEnd returns until when the proxy may use its lease, and false if no majority has acknowledged a renewal.
// renewedAt is, by node name, the send time of the newest renewal that the node acknowledged. The lease lasts
// LeaseUseDuration from the newest time t for which a majority of the voters has acknowledged a renewal sent at t or
// later; a joint epoch needs a majority of both sets. Contact between the nodes is not required: the majorities of any
// two proxies share a node, and that node knows of both leases.
func leaseEnd(e rpc.Epoch, renewedAt map[string]time.Duration) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(renewedAt))
	for _, t := range renewedAt {
		times = append(times, t)
	}
	slices.Sort(times)
	slices.Reverse(times)
	for _, t := range times {
		acknowledged := func(v rpc.Voter) bool {
			renewed, ok := renewedAt[v.Name]
			return ok && renewed >= t
		}
		if e.HasMajority(acknowledged) {
			return t + registry.LeaseUseDuration, true
		}
	}
	return 0, false
}

// mayTrustCommitted reports whether the proxy acts on a node's report that a configuration is committed. A proxy that
// has a configuration accepts any newer one. A proxy without one waits for a node with quorum contact, up to
// maxStartupWait after the first message of any node; after that, the newest one once committed is better than none.
func mayTrustCommitted(now, firstMessageAt time.Duration, hasConfig, quorumLost bool) bool {
	waitedLongEnough := firstMessageAt >= 0 && now > firstMessageAt+maxStartupWait
	return hasConfig || !quorumLost || waitedLongEnough
}
