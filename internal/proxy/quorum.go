package proxy

import (
	"slices"
	"time"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// What of the control plane's messages counts here. A node without quorum contact has no contact with a majority of
// the voters: what it says was committed once, and may be outdated. Each node says so with its first message, with
// each answer to a renewal, and when that changes.

const (
	// maxSteeringOutage is how long the node that steers may be without quorum contact before another is turned to.
	maxSteeringOutage = 2500 * time.Millisecond
	// minQuorumContact is how long a node must have quorum contact before it is turned to.
	minQuorumContact = 3 * time.Second
	// maxTableAge is how long ago the renewal may have been sent that routing tables were worked out after.
	maxTableAge = 3 * time.Second
	// maxStartupWait is how long after the first message of any node a proxy waits for nodes with quorum contact.
	maxStartupWait = 3 * time.Second
	// rememberedRenewals is the number of renewals whose sending is remembered.
	rememberedRenewals = 8
)

// quorumStatus is what an incarnation of a node says of its quorum contact.
type quorumStatus struct {
	lost      bool
	changedAt time.Duration // when lost last changed; at first, the node's first message
}

func (q *quorumStatus) update(now time.Duration, lost bool) {
	if lost != q.lost {
		q.lost, q.changedAt = lost, now
	}
}

// isSteady reports whether the node may steer: with quorum contact, and for long enough if it does not steer already.
func (q *quorumStatus) isSteady(now time.Duration, steers bool) bool {
	if steers {
		return !q.lost || now <= q.changedAt+maxSteeringOutage
	}
	return !q.lost && now >= q.changedAt+minQuorumContact
}

// chooseSteering turns to the node that is to steer.
func (p *Proxy) chooseSteering(now time.Duration) {
	var connected []steeringCandidate
	for _, n := range p.sortedNodes() {
		if n.conn != nil {
			name := n.info.Name
			steady := n.quorum.isSteady(now, name == p.steeringNode)
			connected = append(connected, steeringCandidate{name, n.info.Zone, steady})
		}
	}
	if best := chooseSteeringNode(p.self.Zone, connected); best != "" && best != p.steeringNode {
		p.steeringNode = best
		p.log.Info("steering node selected", logfield.Node, best)
	}
}

// steeringCandidate is a connected node.
type steeringCandidate struct {
	name, zone string
	steady     bool
}

// Bits of the rank of a candidate: those that decide first are the highest.
const (
	steadyBit   = 1 << 63
	ownZoneBit  = 1 << 62
	hashedShift = 2 // bits of the hash that give way to them
)

// chooseSteeringNode is the node that steers a proxy of a zone: one with quorum contact before one without, then
// that of the own zone, then by rendezvous hashing, so that all proxies of a zone turn to the same. Where no node
// has quorum contact one without steers, as its tables are no worse than none. It is "" if there are no candidates.
func chooseSteeringNode(zone string, candidates []steeringCandidate) string {
	best, highest := "", uint64(0)
	for _, c := range candidates {
		rank := balancer.RendezvousHash(c.name, zone) >> hashedShift
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

// renewalTimes are when renewals were sent on a connection, by their numbers, which rise by one.
type renewalTimes struct {
	sentAt [rememberedRenewals]time.Duration
	newest uint64
}

func (r *renewalTimes) record(number uint64, now time.Duration) {
	r.sentAt[number%rememberedRenewals], r.newest = now, number
}

// sentTime is when a renewal was sent; false: it was not sent on this connection, or too long ago.
func (r *renewalTimes) sentTime(number uint64) (time.Duration, bool) {
	isRemembered := number > 0 && number <= r.newest && number+rememberedRenewals > r.newest
	if !isRemembered || r.sentAt[number%rememberedRenewals] == 0 {
		return 0, false
	}
	return r.sentAt[number%rememberedRenewals], true
}

// leaseEnd is until when this proxy may rely on its lease: LeaseUseDuration from the newest time whose renewals, or
// later ones, a majority of the voters has answered, in a joint epoch of both sets. renewedAt is the sending of the
// newest renewal that a node answered, by its name. Whether the nodes have contact with one another does not
// matter: a lease is between a proxy and each node, and the majorities of two proxies share a node that lists both.
// It reports false if no majority has answered.
func leaseEnd(e rpc.Epoch, renewedAt map[string]time.Duration) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(renewedAt))
	for _, t := range renewedAt {
		times = append(times, t)
	}
	slices.Sort(times)
	slices.Reverse(times)
	for _, t := range times {
		answered := func(v rpc.Voter) bool {
			renewed, ok := renewedAt[v.Name]
			return ok && renewed >= t
		}
		if e.HasMajority(answered) {
			return t + registry.LeaseUseDuration, true
		}
	}
	return 0, false
}

// mayTrustCommitted reports whether a node's message that a configuration is committed is to be acted on. A proxy
// that has one only moves on, so whatever is newer is welcome. One that has none waits for a node with quorum
// contact, until maxStartupWait after the first message of any: then the newest that was once committed is better
// than none.
func mayTrustCommitted(now, firstMessageAt time.Duration, hasConfig, quorumLost bool) bool {
	waitedLongEnough := firstMessageAt >= 0 && now > firstMessageAt+maxStartupWait
	return hasConfig || !quorumLost || waitedLongEnough
}
