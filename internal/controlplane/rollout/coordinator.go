// Package rollout decides on changes in stages: which proxies prepare a version, whether enough have confirmed it, and
// the one decision, to commit or to halt it, that the voters agree on. It does no I/O and reads no clock: Step is told
// what happened and returns what is to be done. Rules and states: docs/notes/stages.md. It is not wired in yet.
//
// The decision is single-decree Paxos for each version (package paxos). A plain register cannot decide: of two
// nodes that write different decisions both may be told before one of them is overwritten.
//
//	events.go       events, actions, the plan
//	coordinator.go  the part of a control-plane node
//	progress.go     its stages: who has confirmed what
//	decision.go     its ballots
//	participant.go  the part of a proxy
package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// unset stands for a time that is not known.
const unset = time.Duration(-1)

// measurement is the sum of what proxies have measured.
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

// trackedVersion is what a node knows of a version.
type trackedVersion struct {
	Vote
	digest    uint64 // of the body that is rolled out
	stored    bool
	recoverAt time.Duration // when a ballot asks what was accepted, as whoever began it may be gone; unset: none does

	// Of the stages.

	stage          int // len(Plan.Stages): all are passed
	stageStartedAt time.Duration
	confirmedAt    time.Duration           // since when the stage has enough confirmations; unset: it has not
	askedToPrepare map[string]uint64       // by proxy: the incarnation that was asked, or has prepared it
	confirmations  map[string]confirmation // by proxy
	endedProxies   int
	withVersion    measurement // of proxies that have prepared it
	withoutVersion measurement
	haltReason     Reason

	// Of the ballot that this node has begun.

	proposal paxos.Proposal[Decision]
	retryAt  time.Duration
	wantedAt time.Duration // since when this node has a decision to propose; unset: it has none
	maxRound uint64
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

// pendingAnswer is an acceptor's answer that waits for the disk to have what it says.
type pendingAnswer struct {
	seq     uint64 // of the Persist
	to      string
	message Message
}

// Options make a Coordinator.
type Options struct {
	Self        string
	Incarnation uint64 // differs from that of every other node, and of this node's earlier processes
	Voters      []string
	MaxFaults   int
	Plan        Plan
	IsVoter     bool   // the disk has never lost state
	Disk        []Vote // what it holds
}

// Coordinator is the part of one control-plane node. It belongs to one goroutine.
type Coordinator struct {
	self        string
	incarnation uint64
	maxFaults   int
	voters      []string
	plan        Plan
	isVoter     bool

	connected  map[string]bool  // peers
	leases     map[string]lease // by proxy
	versions   map[uint64]*trackedVersion
	committed  Target        // the greatest version that is known to be committed
	closedUpTo uint64        // no ballots are answered up to this version
	listenEnd  time.Duration // nothing is counted before
	now        time.Duration
	actions    []Action

	seq         uint64 // of the last Persist
	answers     []pendingAnswer
	obsolete    []uint64 // versions whose records the one of the committed version replaces
	obsoleteSeq uint64   // the Persist of that one
}

// New makes a Coordinator.
func New(o Options) *Coordinator {
	c := &Coordinator{
		self:        o.Self,
		incarnation: o.Incarnation,
		maxFaults:   o.MaxFaults,
		voters:      o.Voters,
		plan:        o.Plan,
		isVoter:     o.IsVoter,
		connected:   map[string]bool{},
		leases:      map[string]lease{},
		versions:    map[uint64]*trackedVersion{},
		listenEnd:   unset,
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

// Quorums are how many voters must promise a ballot, and how many must accept its value. Any two such sets meet.
func (c *Coordinator) Quorums() (promises, votes int) {
	votes = rpc.QuorumSize(len(c.voters), c.maxFaults)
	return len(c.voters) - votes + 1, votes
}

// Committed is the greatest version that is known to be committed.
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

// Step handles what happened up to now, a steady time, and what is due by now.
func (c *Coordinator) Step(now time.Duration, events ...Event) []Action {
	c.now, c.actions = now, nil
	if c.listenEnd == unset {
		c.listenEnd = now + c.plan.ListenDuration
	}
	if c.seq == 0 {
		c.dropObsolete() // what an earlier process had not come to
	}
	for _, e := range events {
		c.handle(e)
	}
	for _, number := range c.sortedVersions() {
		if v := c.versions[number]; v != nil { // otherwise it was dropped in this step
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
		c.listenEnd = c.now + c.plan.ListenDuration
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
	if v.stored { // what proxies were told of another body under this version counts for nothing
		clear(v.askedToPrepare)
	}
	v.stored, v.digest = true, t.Digest
	v.stage, v.stageStartedAt, v.confirmedAt = 0, c.now, unset
}

func (c *Coordinator) onLeaseGranted(e LeaseGranted) {
	if held, has := c.leases[e.Proxy]; has && held.incarnation != e.Incarnation {
		c.endLease(e.Proxy, false)
	}
	c.leases[e.Proxy] = lease{e.Zone, e.Incarnation}
}

// endLease ends a lease: what that incarnation confirmed no longer counts.
func (c *Coordinator) endLease(proxy string, returned bool) {
	held, has := c.leases[proxy]
	if !has {
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

// onConfirmed keeps a confirmation also of a body that is not rolled out here: another node may have asked for it. It
// counts if its digest is the one here.
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
		if confirmed, has := v.confirmations[e.Proxy]; has && !confirmed.notReadable {
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
