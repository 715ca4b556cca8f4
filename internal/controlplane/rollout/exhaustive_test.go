package rollout

import (
	"encoding/binary"
	"maps"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"elmfold/internal/controlplane/paxos"
)

func (v *trackedVersion) clone() *trackedVersion {
	clone := *v
	clone.askedToPrepare = maps.Clone(v.askedToPrepare)
	clone.confirmations = maps.Clone(v.confirmations)
	clone.proposal.Responses = maps.Clone(v.proposal.Responses)
	return &clone
}

func (p *Participant) clone() *Participant {
	clone := *p
	clone.versions = map[uint64]*versionState{}
	for number, v := range p.versions {
		state := *v
		clone.versions[number] = &state
	}
	return &clone
}

func (c *Coordinator) clone() *Coordinator {
	clone := *c
	clone.connected, clone.leases = maps.Clone(c.connected), maps.Clone(c.leases)
	clone.versions = map[uint64]*trackedVersion{}
	for number, v := range c.versions {
		clone.versions[number] = v.clone()
	}
	clone.answers, clone.actions = slices.Clone(c.answers), nil
	return &clone
}

// clone copies a cluster. Processes are shared until copyBeforeChange; queues are replaced and never changed in place.
func (c *cluster) clone() *cluster {
	clone := *c
	clone.coordinators = slices.Clone(c.coordinators)
	clone.participants = slices.Clone(c.participants)
	clone.disks = slices.Clone(c.disks)
	clone.confirmed = slices.Clone(c.confirmed)
	clone.diskQueues = slices.Clone(c.diskQueues)
	clone.queues = slices.Clone(c.queues)
	clone.clocks = slices.Clone(c.clocks)
	clone.incarnations = slices.Clone(c.incarnations)
	clone.shared = 1<<(c.nodeCount+c.proxyCount) - 1
	return &clone
}

// copyBeforeChange gives this cluster its own copy of a process.
func (c *cluster) copyBeforeChange(process int) {
	if c.shared>>process&1 == 0 {
		return
	}
	c.shared &^= 1 << process
	if process >= c.nodeCount {
		c.participants[process-c.nodeCount] = c.participants[process-c.nodeCount].clone()
		return
	}
	c.coordinators[process] = c.coordinators[process].clone()
	c.disks[process] = maps.Clone(c.disks[process])
	c.confirmed[process] = maps.Clone(c.confirmed[process])
}

func appendUvarints(b []byte, values ...uint64) []byte {
	for _, v := range values {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func boolToUint(x bool) uint64 {
	if x {
		return 1
	}
	return 0
}

func appendBallot(b []byte, n BallotNumber) []byte { return appendUvarints(b, n.Round, n.Incarnation) }

func appendDecision(b []byte, d Decision) []byte {
	return appendUvarints(b, boolToUint(d.Committed), d.Digest, uint64(d.Reason))
}

func appendVote(b []byte, v Vote) []byte {
	b = appendBallot(appendBallot(b, v.Promised), v.Accepted)
	return appendDecision(appendUvarints(b, boolToUint(v.Decided)), v.Value)
}

// appendItem encodes a message or a disk write, preceded by its type.
func appendItem(b []byte, item any) []byte {
	switch x := item.(type) {
	case Message:
		b = appendUvarints(b, 1, uint64(x.Kind))
		return appendDecision(appendBallot(appendBallot(b, x.Ballot), x.Accepted), x.Value)
	case proxyHello:
		return appendUvarints(b, 2, x.incarnation)
	case CommandReceived:
		return appendUvarints(b, 3, uint64(x.Command), x.Digest)
	case Confirmed:
		return appendUvarints(b, 4, x.Incarnation, x.Digest)
	case Persist:
		return appendVote(appendUvarints(b, 5), x.Vote)
	}
	return appendUvarints(b, 6)
}

func appendItems(b []byte, items []any) []byte {
	b = appendUvarints(b, uint64(len(items)))
	for _, item := range items {
		b = appendItem(b, item)
	}
	return b
}

// restartCount returns the number of restarts before an incarnation of a proxy, plus 1; it is 0 for no incarnation.
func restartCount(incarnation uint64) uint64 {
	return (incarnation + incarnationStep - 1) / incarnationStep
}

// anonymous replaces the incarnation in a message by its restart count.
func anonymous(message any) any {
	switch m := message.(type) {
	case proxyHello:
		return proxyHello{restartCount(m.incarnation)}
	case Confirmed:
		m.Incarnation = restartCount(m.Incarnation)
		return m
	}
	return message
}

// exploredVersion is the only version that an exploration stores.
const exploredVersion = 1

// Separators of the parts of an encoded state.
const (
	nodeSeparator        = 77
	diskSeparator        = 78
	proxyAtNodeSeparator = 99
	proxySeparator       = 255
)

// proxyState encodes the state of a proxy and its state at each node, without its name.
func (c *cluster) proxyState(proxy int) []byte {
	p := c.participants[proxy-c.nodeCount]
	b := appendUvarints(nil, restartCount(c.incarnations[proxy]), p.active.Version, p.committed.Version)
	if v := p.versions[exploredVersion]; v != nil {
		b = appendUvarints(b, uint64(v.state), v.digest)
	}
	name := processName(proxy)
	for i, coordinator := range c.coordinators {
		b = appendUvarints(b, proxyAtNodeSeparator, restartCount(coordinator.leases[name].incarnation))
		if v := coordinator.versions[exploredVersion]; v != nil && !v.Decided { // no effect after the decision
			b = appendUvarints(
				b,
				restartCount(v.askedToPrepare[name]),
				restartCount(v.confirmations[name].incarnation),
				restartCount(c.confirmed[i][leaseKey(proxy)].incarnation),
				restartCount(c.confirmed[i][proxyVersion{proxy, exploredVersion}].incarnation),
			)
		}
		for _, queue := range [][]any{*c.queue(i, proxy), *c.queue(proxy, i)} {
			b = appendUvarints(b, uint64(len(queue)))
			for _, message := range queue {
				b = appendItem(b, anonymous(message))
			}
		}
	}
	return b
}

func appendVersionState(b []byte, v *trackedVersion) []byte {
	b = appendVote(b, v.Vote)
	if !v.Decided {
		b = appendUvarints(
			b,
			uint64(v.stage),
			uint64(v.haltReason),
			uint64(v.retryAt),
			uint64(v.wantedAt-unset),
			uint64(v.recoverAt-unset),
			v.maxRound,
			uint64(v.proposal.Phase),
			uint64(v.stageStartedAt),
		)
	}
	if p := v.proposal; p.Phase != paxos.Idle {
		b = appendBallot(appendBallot(b, p.Ballot), p.HighestAccepted)
		b = appendUvarints(b, uint64(len(p.Responses)))
		for _, from := range slices.Sorted(maps.Keys(p.Responses)) {
			b = appendBallot(append(b, from...), p.Responses[from])
		}
		b = appendDecision(b, p.Value)
	}
	return b
}

// appendNodeState encodes the state of a node, its disk and its messages to other nodes.
func (c *cluster) appendNodeState(b []byte, node int) []byte {
	coordinator := c.coordinators[node]
	b = appendUvarints(
		b,
		nodeSeparator,
		uint64(c.clocks[node]),
		coordinator.incarnation,
		coordinator.committed.Version,
		uint64(len(coordinator.answers)),
	)
	for _, answer := range coordinator.answers {
		b = appendUvarints(appendItem(b, answer.message), coordinator.seq-answer.seq)
	}
	if v := coordinator.versions[exploredVersion]; v != nil {
		b = appendVersionState(b, v)
	}
	b = appendVote(appendUvarints(b, diskSeparator), c.disks[node][exploredVersion])
	b = appendUvarints(b, uint64(len(c.diskQueues[node])))
	for _, write := range c.diskQueues[node] {
		b = appendItem(b, write)
	}
	for other := range c.nodeCount {
		b = appendItems(b, *c.queue(node, other))
	}
	return b
}

// hash covers all state that can affect later steps. The proxies are interchangeable, so their states are sorted.
func (c *cluster) hash(crashed bool) xxh3.Uint128 {
	var proxyStates [][]byte
	for proxy := c.nodeCount; proxy < c.nodeCount+c.proxyCount; proxy++ {
		proxyStates = append(proxyStates, c.proxyState(proxy))
	}
	slices.SortFunc(proxyStates, slices.Compare)
	b := appendUvarints(make([]byte, 0, 512), boolToUint(crashed))
	for _, state := range proxyStates {
		b = append(append(b, state...), proxySeparator)
	}
	for node := range c.nodeCount {
		b = c.appendNodeState(b, node)
	}
	ballots := uint64(0) // a sum, as the order of the map is random
	for key, accepted := range c.ballots {
		encoded := appendUvarints(appendBallot(nil, key.ballot), accepted.acceptors)
		ballots += xxh3.Hash(appendDecision(encoded, accepted.value))
	}
	return xxh3.Hash128(appendDecision(appendUvarints(b, ballots), c.chosen[exploredVersion]))
}

// noProcess is returned by urgentProcess if there is none.
const noProcess = -1

// urgentProcess returns the process that moves first in an eager exploration: a node with a pending disk write, or a
// proxy with a message.
func (c *cluster) urgentProcess() int {
	for node := range c.nodeCount {
		if len(c.diskQueues[node]) > 0 {
			return node
		}
	}
	for proxy := c.nodeCount; proxy < c.nodeCount+c.proxyCount; proxy++ {
		for node := range c.nodeCount {
			if len(*c.queue(node, proxy)) > 0 {
				return proxy
			}
		}
	}
	return noProcess
}

// runUrgent moves the urgent processes until none is left.
func (c *cluster) runUrgent() {
	for c.violation == "" {
		process := c.urgentProcess()
		switch {
		case process == noProcess:
			return
		case process < c.nodeCount:
			c.completeWrite(process, nil)
		default:
			c.deliverAllTo(process)
		}
	}
}

func (c *cluster) deliverAllTo(proxy int) {
	for node := range c.nodeCount {
		for len(*c.queue(node, proxy)) > 0 {
			c.deliver(node, proxy)
		}
	}
}

// limits bound the schedules that an exploration covers.
type limits struct {
	ticks   [2]int // of each node; a tick is an hour, which exceeds every timeout
	crashes []int  // processes; one of them crashes at most once
	// eager: no other event but a crash of the process happens before a proxy receives its messages and a disk completes
	// its writes.
	eager bool
	// ordered: each node receives the messages of the proxies in the order of the proxies. This covers all schedules while
	// no proxy crashes, as proxies are interchangeable.
	ordered   bool
	maxStates int
}

// exploration counts the states that were reached, and the final ones by the decision.
type exploration struct {
	states, committed, halted, undecided int
}

type clusterState struct {
	*cluster
	crashed bool // whether no further crash happens
}

// explorer runs a depth-first search over the states of a cluster.
type explorer struct {
	limits
	known     map[xxh3.Uint128]bool
	stack     []clusterState
	result    exploration
	violation string
}

// visit applies an event to a copy of a state and adds the result to the stack if it is new.
func (e *explorer) visit(from clusterState, crashed bool, event func(c *cluster)) {
	c := from.clone()
	event(c)
	if e.eager && crashed { // no other event can happen before: skip the states between
		c.runUrgent()
	}
	if c.violation != "" {
		e.violation = c.violation
	}
	if h := c.hash(crashed); !e.known[h] {
		e.known[h] = true
		e.stack = append(e.stack, clusterState{c, crashed})
	}
}

// visitDeliveries visits the states after each possible delivery, and reports whether there is any message.
func (e *explorer) visitDeliveries(s clusterState, urgent int) (found bool) {
	processCount := s.nodeCount + s.proxyCount
	for q := range s.queues {
		from, to := q/processCount, q%processCount
		isUrgent := urgent == to && to >= s.nodeCount
		if len(s.queues[q]) == 0 || urgent != noProcess && !isUrgent {
			continue
		}
		found = true
		if !e.ordered || !s.hasEarlierProxyMessage(from, to) {
			e.visit(s, s.crashed, func(c *cluster) { c.deliver(from, to) })
		}
	}
	return found
}

// hasEarlierProxyMessage reports whether a proxy that precedes the sender has a message for the receiver.
func (c *cluster) hasEarlierProxyMessage(from, to int) bool {
	for proxy := c.nodeCount; proxy < from; proxy++ {
		if len(*c.queue(proxy, to)) > 0 {
			return true
		}
	}
	return false
}

// visitNodes visits the states after each possible disk write and clock tick, and reports whether there is any write.
func (e *explorer) visitNodes(s clusterState, urgent int) (found bool) {
	for i := range s.nodeCount {
		if len(s.diskQueues[i]) > 0 && (urgent == noProcess || urgent == i) {
			found = true
			e.visit(s, s.crashed, func(c *cluster) { c.completeWrite(i, nil) })
		}
		if urgent == noProcess && s.clocks[i] < time.Duration(e.ticks[i])*time.Hour {
			e.visit(s, s.crashed, func(c *cluster) {
				c.clocks[i] += time.Hour
				c.stepCoordinator(i)
			})
		}
	}
	return found
}

func (e *explorer) visitCrashes(s clusterState, urgent int) {
	for _, i := range e.crashes {
		isConcerned := urgent == noProcess || i == urgent || i < s.nodeCount && urgent >= s.nodeCount
		if !s.crashed && isConcerned {
			e.visit(s, true, func(c *cluster) { c.crash(i, false) })
		}
	}
}

func (e *explorer) countFinal(s clusterState) {
	switch d, decided := s.chosen[exploredVersion]; {
	case !decided:
		e.result.undecided++
	case d.Committed:
		e.result.committed++
	default:
		e.result.halted++
	}
}

// explore runs all schedules within the limits, up to the first violation.
func explore(c *cluster, bounds limits) (result exploration, violation string) {
	e := &explorer{limits: bounds, known: map[xxh3.Uint128]bool{}}
	e.stack = []clusterState{{c, len(bounds.crashes) == 0}}
	for len(e.stack) > 0 && e.violation == "" && len(e.known) < e.maxStates {
		s := e.stack[len(e.stack)-1]
		e.stack = e.stack[:len(e.stack)-1]
		urgent := noProcess
		if e.eager {
			urgent = s.urgentProcess()
		}
		hasMessage := e.visitDeliveries(s, urgent)
		hasWrite := e.visitNodes(s, urgent)
		e.visitCrashes(s, urgent)
		if !hasMessage && !hasWrite {
			e.countFinal(s)
		}
	}
	e.result.states = len(e.known)
	return e.result, e.violation
}

// newStoredCluster returns two nodes with leases of all proxies and one stored version. Of 3 proxies, 2 confirmations
// are enough.
func newStoredCluster(proxyCount int) *cluster {
	plan := Plan{Stages: []Stage{{MinShare: 0.6, Timeout: time.Minute}}}
	c := newCluster(2, proxyCount, 0, plan, injectedBugs{})
	c.deliverAll()
	c.storeBody(Target{exploredVersion, 7})
	return c
}

// No order of messages, disk writes, ticks and one crash violates the reference model.
func TestEveryInterleaving(t *testing.T) {
	const maxStates = 2000000
	t.Cleanup(func(former int) func() { return func() { debug.SetGCPercent(former) } }(debug.SetGCPercent(400)))
	nodes, allProcesses := []int{0, 1}, []int{0, 1, 2}
	for name, c := range map[string]struct {
		proxyCount int
		limits     limits
	}{
		"any order":          {1, limits{crashes: allProcesses}},
		"any crash":          {1, limits{ticks: [2]int{1, 1}, crashes: allProcesses, eager: true}},
		"proxy crash":        {3, limits{crashes: []int{2}, eager: true}},
		"no crash":           {3, limits{ticks: [2]int{1, 1}, eager: true}},
		"first node's tick":  {3, limits{ticks: [2]int{1, 0}, crashes: nodes, eager: true, ordered: true}},
		"second node's tick": {3, limits{ticks: [2]int{0, 1}, crashes: nodes, eager: true, ordered: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := c.limits
			bounds.maxStates = maxStates
			result, violation := explore(newStoredCluster(c.proxyCount), bounds)
			t.Logf("%+v", result)
			if violation != "" || result.states >= maxStates || result.committed == 0 {
				t.Fatal(violation, result)
			}
		})
	}
}
