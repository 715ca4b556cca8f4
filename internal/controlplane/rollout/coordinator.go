// Package rollout rolls out configuration versions in stages: it selects the proxies that prepare a version, counts
// their confirmations, and decides once among the voters whether to commit or to halt the version. It does no I/O and
// reads no clock: Step takes events and returns actions. Rules and states: docs/notes/stages.md. No other package uses
// it yet.
//
// Each version's decision is one instance of single-decree Paxos (package paxos). A replicated register is not enough:
// two nodes that write different decisions could both be told that their write succeeded.
//
//	events.go       events, actions, the plan
//	coordinator.go  state and event handling of a control-plane node
//	progress.go     stages and confirmations
//	decision.go     ballots
//	participant.go  state and event handling of a proxy
package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// unset is the value of a time that has not been set.
const unset = time.Duration(-1)

// measurement sums the measurements of several proxies.
type measurement struct{ attempts, failed, latencyMS, addedMS float64 }

func (m *measurement) add(o Measured) {
	m.attempts += o.Attempts
	m.failed += o.Failed
	m.latencyMS += o.LatencyMS
	m.addedMS += o.AddedMS
}

type lease struct {
	zone        string
	incarnation uint64
}

type confirmation struct {
	incarnation uint64
	digest      uint64
	notReadable bool
}

// trackedVersion is a node's state of one version.
type trackedVersion struct {
	Vote
	digest    uint64 // of the body that is being rolled out
	stored    bool
	recoverAt time.Duration // when a ballot to recover an accepted value is due; unset: never

	// Progress through the stages.

	stage          int // index in Plan.Stages; its length after the last stage
	stageStartedAt time.Duration
	confirmedAt    time.Duration           // start of the soak time; unset while confirmations are missing
	askedToPrepare map[string]uint64       // by proxy: the incarnation that was asked, or that has confirmed
	confirmations  map[string]confirmation // by proxy
	endedProxies   int
	withVersion    measurement // of proxies that have prepared the version
	withoutVersion measurement // of all other proxies
	haltReason     Reason

	// The last ballot that this node started.

	proposal paxos.Proposal[Decision]
	retryAt  time.Duration // earliest start of the next ballot
	wantedAt time.Duration // when this node first had a decision to propose; unset: it has none
	maxRound uint64        // highest round seen in any ballot
}

func newTrackedVersion(version uint64) *trackedVersion {
	return &trackedVersion{
		Vote:           Vote{Version: version},
		recoverAt:      unset,
		confirmedAt:    unset,
		wantedAt:       unset,
		askedToPrepare: map[string]uint64{},
		confirmations:  map[string]confirmation{},
	}
}

// pendingAnswer is an acceptor's answer that is sent once the state it reports is durable.
type pendingAnswer struct {
	seq     uint64 // of the Persist action
	to      string
	message Message
}

// Options configure a Coordinator.
type Options struct {
	Self        string
	Incarnation uint64 // unique among all processes of all nodes
	Voters      []string
	MaxFaults   int
	Plan        Plan
	IsVoter     bool   // whether the disk has never lost state
	Disk        []Vote // the records on the disk
}

// Coordinator is the state machine of one control-plane node. It is not safe for concurrent use.
type Coordinator struct {
	self        string
	incarnation uint64
	maxFaults   int
	voters      []string
	plan        Plan
	isVoter     bool

	connected         map[string]bool  // by peer
	leases            map[string]lease // by proxy
	versions          map[uint64]*trackedVersion
	committed         Target        // the greatest version known to be committed
	closedUpTo        uint64        // ballots for versions up to this one are not answered
	leaseDiscoveryEnd time.Duration // no stage advances before
	now               time.Duration
	actions           []Action

	seq         uint64 // of the last Persist action
	answers     []pendingAnswer
	obsolete    []uint64 // versions whose records may be dropped once the committed version's record is durable
	obsoleteSeq uint64   // of the Persist action of the committed version
}

// New returns a Coordinator that starts from the records in o.Disk.
func New(o Options) *Coordinator {
	c := &Coordinator{
		self:              o.Self,
		incarnation:       o.Incarnation,
		maxFaults:         o.MaxFaults,
		voters:            o.Voters,
		plan:              o.Plan,
		isVoter:           o.IsVoter,
		connected:         map[string]bool{},
		leases:            map[string]lease{},
		versions:          map[uint64]*trackedVersion{},
		leaseDiscoveryEnd: unset,
	}
	for _, vote := range o.Disk {
		c.load(vote)
	}
	c.closedUpTo = max(c.closedUpTo, c.committed.Version)
	c.dropSuperseded()
	return c
}

func (c *Coordinator) load(vote Vote) {
	v := c.version(vote.Version)
	v.Vote = vote
	v.maxRound = max(vote.Promised.Round, vote.Accepted.Round)
	if vote.Accepted != (BallotNumber{}) {
		v.recoverAt = 0
	}
	if vote.Closed {
		c.closedUpTo = max(c.closedUpTo, vote.Version)
	}
	if vote.Decided && vote.Value.Committed && vote.Version >= c.committed.Version {
		c.committed = Target{vote.Version, vote.Value.Digest}
	}
}

// Quorums returns how many voters must promise a ballot and how many must accept its value. Every set of the one size
// intersects every set of the other.
func (c *Coordinator) Quorums() (promises, votes int) {
	votes = rpc.QuorumSize(len(c.voters), c.maxFaults)
	return len(c.voters) - votes + 1, votes
}

// Committed returns the greatest version known to be committed.
func (c *Coordinator) Committed() Target { return c.committed }

func (c *Coordinator) version(number uint64) *trackedVersion {
	v := c.versions[number]
	if v == nil {
		v = newTrackedVersion(number)
		c.versions[number] = v
	}
	return v
}

func (c *Coordinator) sortedVersions() []uint64 { return slices.Sorted(maps.Keys(c.versions)) }

// Step handles the events and everything that is due at now, which is a monotonic time.
func (c *Coordinator) Step(now time.Duration, events ...Event) []Action {
	c.now, c.actions = now, nil
	if c.leaseDiscoveryEnd == unset {
		c.leaseDiscoveryEnd = now + c.plan.LeaseDiscoveryDuration
	}
	if c.seq == 0 {
		c.dropObsolete() // left over from an earlier process
	}
	for _, e := range events {
		c.handle(e)
	}
	for _, number := range c.sortedVersions() {
		if v := c.versions[number]; v != nil { // nil: dropped earlier in this loop
			c.advance(v)
			c.startBallot(v)
		}
	}
	return c.actions
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Coordinator) sendCommand(proxy string, command Command, t Target) {
	c.emit(SendCommand{proxy, command, t})
}

func (c *Coordinator) handle(event Event) {
	switch e := event.(type) {
	case BodyStored:
		c.onBodyStored(e.Target)
	case LeaseGranted:
		c.onLeaseGranted(e)
	case LeaseEnded:
		c.endLease(e.Proxy, e.Returned)
	case ProxyConnected:
		c.onProxyConnected(e.Proxy)
	case Confirmed:
		c.onConfirmed(e)
	case Measured:
		c.onMeasured(e)
	case HaltRequested:
		if v := c.versions[e.Version]; v != nil && v.haltReason == NoReason {
			v.haltReason = HaltedByOperator
		}
	case PeerConnected:
		c.onPeerConnected(e.Peer)
	case PeerDisconnected:
		delete(c.connected, e.Peer)
	case MessageReceived:
		c.onMessage(e.From, e.Message)
	case Persisted:
		c.onPersisted(e)
	case CaughtUp:
		c.onCaughtUp(e.UpTo)
	case Resumed:
		c.leaseDiscoveryEnd = c.now + c.plan.LeaseDiscoveryDuration
	}
}

func (c *Coordinator) onBodyStored(t Target) {
	if t.Version < c.committed.Version {
		return
	}
	v := c.version(t.Version)
	if v.Decided || v.stored && t.Digest <= v.digest {
		return
	}
	if v.stored { // requests to prepare the former body do not count
		clear(v.askedToPrepare)
	}
	v.stored, v.digest = true, t.Digest
	v.stage, v.stageStartedAt, v.confirmedAt = 0, c.now, unset
}

func (c *Coordinator) onLeaseGranted(e LeaseGranted) {
	if held, ok := c.leases[e.Proxy]; ok && held.incarnation != e.Incarnation {
		c.endLease(e.Proxy, false)
	}
	c.leases[e.Proxy] = lease{e.Zone, e.Incarnation}
}

// endLease removes a lease and the confirmations of its holder.
func (c *Coordinator) endLease(proxy string, returned bool) {
	held, ok := c.leases[proxy]
	if !ok {
		return
	}
	delete(c.leases, proxy)
	for _, v := range c.versions {
		if v.askedToPrepare[proxy] == held.incarnation {
			delete(v.askedToPrepare, proxy)
			if !returned && !v.Decided {
				v.endedProxies++
			}
		}
		delete(v.confirmations, proxy)
	}
}

// onConfirmed records a confirmation even if this node has not stored the body: another node may have asked for it.
// isConfirmed compares the digests.
func (c *Coordinator) onConfirmed(e Confirmed) {
	isCurrent := c.leases[e.Proxy].incarnation == e.Incarnation
	if !isCurrent || e.Version <= c.committed.Version {
		return
	}
	v := c.version(e.Version)
	v.confirmations[e.Proxy] = confirmation{e.Incarnation, e.Digest, e.NotReadable}
	v.askedToPrepare[e.Proxy] = e.Incarnation
}

func (c *Coordinator) onMeasured(e Measured) {
	for _, v := range c.versions {
		if confirmed, ok := v.confirmations[e.Proxy]; ok && !confirmed.notReadable {
			v.withVersion.add(e)
		} else {
			v.withoutVersion.add(e)
		}
	}
}

func (c *Coordinator) onProxyConnected(proxy string) {
	if c.committed != (Target{}) {
		c.sendCommand(proxy, CommandActivate, c.committed)
	}
	for _, number := range c.sortedVersions() {
		v := c.versions[number]
		isRollingOut := !v.Decided && v.stored && number > c.committed.Version
		switch {
		case v.Decided && !v.Value.Committed:
			c.sendCommand(proxy, CommandDiscard, Target{Version: number})
		case isRollingOut && v.askedToPrepare[proxy] != 0:
			c.sendCommand(proxy, CommandPrepare, Target{number, v.digest})
		}
	}
}

func (c *Coordinator) onPeerConnected(name string) {
	c.connected[name] = true
	for _, number := range c.sortedVersions() {
		if v := c.versions[number]; v.Decided {
			c.send(name, Message{Kind: DecidedNotice, Version: number, Value: v.Value})
		}
	}
}

func (c *Coordinator) onCaughtUp(upTo uint64) {
	c.isVoter = true
	if upTo > 0 {
		v := c.version(upTo)
		v.Closed, c.closedUpTo = true, max(c.closedUpTo, upTo)
		c.persist(v)
	}
}
