package rollout

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// injectedBugs change the behaviour of a cluster, to show that its checks detect such bugs.
type injectedBugs struct {
	forgetsPromises          bool // acceptors do not keep their promises
	votesAfterWipe           bool // a voter that lost its disk votes at once
	countsStaleConfirmations bool // confirmations of ended incarnations count
	activatesUndecided       bool // proxies activate a version when its commit is proposed
}

// proxyHello is the first message of a proxy on a new connection.
type proxyHello struct{ incarnation uint64 }

type ballotKey struct {
	version uint64
	ballot  BallotNumber
}

type acceptedValue struct {
	value     Decision
	acceptors uint64 // bit set
}

// proxyVersion is a key of cluster.confirmed. Version 0 is for the incarnation that holds the lease.
type proxyVersion struct {
	proxy   int
	version uint64
}

// leaseKey returns the key of the incarnation of a proxy that holds the lease.
func leaseKey(proxy int) proxyVersion { return proxyVersion{proxy: proxy} }

type confirmedBody struct{ incarnation, digest uint64 }

// cluster simulates the control-plane nodes 0 to nodeCount-1 and the proxies from nodeCount on. The caller chooses the
// order in which queued messages are delivered and disk writes complete. A reference model (ballots, chosen, confirmed)
// checks the decisions; the first difference is kept in violation.
type cluster struct {
	nodeCount, proxyCount int
	maxFaults             int
	plan                  Plan
	bugs                  injectedBugs

	coordinators []*Coordinator
	disks        []map[uint64]Vote
	diskQueues   [][]Action
	clocks       []time.Duration
	// lostVotes tells by node whether its disk was wiped. It is reset once a closed vote is on disk, or when the node
	// catches up and no version is stored.
	lostVotes    []bool
	participants []*Participant
	incarnations []uint64 // of nodes and proxies
	isolated     []bool   // of nodes and proxies
	queues       [][]any  // of messages; see queue
	stored       []Target // bodies that all nodes have

	ballots   map[ballotKey]acceptedValue
	chosen    map[uint64]Decision
	confirmed []map[proxyVersion]confirmedBody // by node
	violation string

	reordersAcrossReconnects bool // messages of an ended proxy arrive after the hello of its next incarnation
	wipes                    int
	shared                   uint64 // bit set of the processes whose state is shared with another cluster
}

const (
	staleTimeout = 6 * time.Second
	// incarnationStep is the difference between successive incarnations of a process; it exceeds the number of processes.
	incarnationStep = 16
	maxVersion      = 100  // exclusive, of the versions that a test stores
	tolerance       = 1e-9 // of a share; independent of the constant under test
)

func processName(i int) string { return string(rune('a' + i)) }

func newCluster(nodeCount, proxyCount, maxFaults int, plan Plan, bugs injectedBugs) *cluster {
	processCount := nodeCount + proxyCount
	c := &cluster{
		nodeCount:    nodeCount,
		proxyCount:   proxyCount,
		maxFaults:    maxFaults,
		plan:         plan,
		bugs:         bugs,
		coordinators: make([]*Coordinator, nodeCount),
		disks:        make([]map[uint64]Vote, nodeCount),
		diskQueues:   make([][]Action, nodeCount),
		clocks:       make([]time.Duration, nodeCount),
		lostVotes:    make([]bool, nodeCount),
		participants: make([]*Participant, proxyCount),
		incarnations: make([]uint64, processCount),
		isolated:     make([]bool, processCount),
		queues:       make([][]any, processCount*processCount),
		ballots:      map[ballotKey]acceptedValue{},
		chosen:       map[uint64]Decision{},
		confirmed:    make([]map[proxyVersion]confirmedBody, nodeCount),
	}
	for i := range processCount {
		c.incarnations[i] = uint64(i + 1)
	}
	for i := range proxyCount {
		c.participants[i] = NewParticipant(c.incarnations[nodeCount+i], staleTimeout)
	}
	for i := range nodeCount {
		c.disks[i] = map[uint64]Vote{}
		c.startCoordinator(i, true)
	}
	return c
}

func (c *cluster) zone(proxy int) string {
	if c.proxyCount <= 3 {
		return "z"
	}
	return [...]string{"y", "z"}[proxy%2]
}

// failf records the first violation.
func (c *cluster) failf(format string, v ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, v...)
	}
}

// startCoordinator starts a control-plane node from its disk and connects it to the processes that are not isolated.
func (c *cluster) startCoordinator(i int, isVoter bool) {
	voters, records := []string{}, []Vote{}
	for j := range c.nodeCount {
		voters = append(voters, processName(j))
	}
	for version := uint64(0); version < maxVersion; version++ {
		if record, ok := c.disks[i][version]; ok {
			records = append(records, record)
		}
	}
	c.coordinators[i] = New(Options{
		Self:        processName(i),
		Incarnation: c.incarnations[i],
		Voters:      voters,
		MaxFaults:   c.maxFaults,
		Plan:        c.plan,
		IsVoter:     isVoter,
		Disk:        records,
	})
	c.diskQueues[i], c.confirmed[i] = nil, map[proxyVersion]confirmedBody{}
	for j := range c.nodeCount + c.proxyCount {
		if j != i {
			c.connect(i, j)
		}
	}
	for _, t := range c.stored {
		c.stepCoordinator(i, BodyStored{t})
	}
}

// connect replaces the connection between a control-plane node and another process.
func (c *cluster) connect(i, j int) {
	c.disconnect(i, j)
	if c.isolated[i] || c.isolated[j] || j < c.nodeCount && c.coordinators[j] == nil {
		return
	}
	if j < c.nodeCount {
		c.stepCoordinator(i, PeerConnected{processName(j)})
		c.stepCoordinator(j, PeerConnected{processName(i)})
		return
	}
	c.enqueue(j, i, proxyHello{c.incarnations[j]})
	c.stepParticipant(j, ControllerConnected{processName(i)})
}

// disconnect closes a connection; messages in its queues are lost.
func (c *cluster) disconnect(i, j int) {
	*c.queue(i, j), *c.queue(j, i) = nil, nil
	if j < c.nodeCount && c.coordinators[j] != nil {
		c.stepCoordinator(i, PeerDisconnected{processName(j)})
		c.stepCoordinator(j, PeerDisconnected{processName(i)})
		*c.queue(i, j), *c.queue(j, i) = nil, nil
	}
}

// queue holds the messages between two processes in order.
func (c *cluster) queue(from, to int) *[]any { return &c.queues[from*(c.nodeCount+c.proxyCount)+to] }

func (c *cluster) enqueue(from, to int, message any) {
	if !c.isolated[from] && !c.isolated[to] {
		q := c.queue(from, to)
		*q = append(slices.Clip(*q), message)
	}
}

// stepCoordinator passes events to a control-plane node and carries out its actions.
func (c *cluster) stepCoordinator(i int, events ...Event) {
	c.copyBeforeChange(i)
	coordinator := c.coordinators[i]
	if c.bugs.forgetsPromises {
		for _, v := range coordinator.versions {
			v.Promised = BallotNumber{}
		}
	}
	for _, action := range coordinator.Step(c.clocks[i], events...) {
		switch a := action.(type) {
		case Persist, Drop:
			c.diskQueues[i] = append(slices.Clip(c.diskQueues[i]), a)
		case Send:
			if a.Kind == AcceptRequest {
				c.checkProposal(i, a.Message)
			}
			c.enqueue(i, int(a.To[0]-'a'), a.Message)
		case SendCommand:
			c.sendCommand(i, a)
		case VersionDecided:
			if chosen, ok := c.chosen[a.Version]; !ok || chosen != a.Decision {
				c.failf("%s reports %+v for version %d, chosen is %+v", processName(i), a.Decision, a.Version, chosen)
			}
		}
	}
}

func (c *cluster) sendCommand(from int, a SendCommand) {
	for proxy := c.nodeCount; proxy < c.nodeCount+c.proxyCount; proxy++ {
		if a.Proxy == "" || a.Proxy == processName(proxy) {
			c.enqueue(from, proxy, CommandReceived{a.Command, a.Target})
		}
	}
}

// checkProposal compares a proposed commit with the confirmations in the reference model. A value that was accepted in
// an earlier ballot is not checked again.
func (c *cluster) checkProposal(i int, m Message) {
	if c.bugs.activatesUndecided && m.Value.Committed {
		c.sendCommand(i, SendCommand{Command: CommandActivate, Target: Target{m.Version, m.Value.Digest}})
	}
	v := c.coordinators[i].versions[m.Version]
	if !m.Value.Committed || v == nil || v.proposal.HighestAccepted != (BallotNumber{}) {
		return
	}
	leases, confirmations := map[string]int{}, map[string]int{}
	total := 0
	for key, lease := range c.confirmed[i] {
		if key.version > 0 {
			continue
		}
		zone := c.zone(key.proxy)
		leases[zone]++
		wanted := confirmedBody{lease.incarnation, m.Value.Digest}
		if c.confirmed[i][proxyVersion{key.proxy, m.Version}] == wanted {
			confirmations[zone]++
			total++
		}
	}
	last := c.plan.Stages[len(c.plan.Stages)-1]
	for zone, count := range leases {
		if float64(confirmations[zone]) < last.MinShare*float64(count)-tolerance {
			c.failf("%s proposes a commit with %d confirmations of %d proxies in zone %s",
				processName(i), confirmations[zone], count, zone)
		}
	}
	if total == 0 {
		c.failf("%s proposes a commit with no confirmation", processName(i))
	}
}

// stepParticipant passes events to a proxy and carries out its actions. Bodies are fetched and compiled at once.
func (c *cluster) stepParticipant(proxy int, events ...Event) {
	c.copyBeforeChange(proxy)
	p := c.participants[proxy-c.nodeCount]
	before := p.Active()
	for _, action := range p.Step(0, events...) {
		switch a := action.(type) {
		case Fetch:
			c.stepParticipant(proxy, BodyReceived(a))
		case Compile:
			c.stepParticipant(proxy, CompileDone{Target: a.Target})
		case SendConfirmation:
			for i := range c.nodeCount {
				if a.To == "" || a.To == processName(i) {
					c.enqueue(proxy, i, Confirmed{processName(proxy), a.Incarnation, a.Target, a.NotReadable})
				}
			}
		case Activate:
			if d := c.chosen[a.Version]; !d.Committed || d.Digest != a.Digest {
				c.failf("%s activates %v, chosen is %+v", processName(proxy), a.Target, d)
			}
		}
	}
	if p.Active().Version < before.Version {
		c.failf("%s activated a lower version", processName(proxy))
	}
}

// deliver delivers the next message of a queue.
func (c *cluster) deliver(from, to int) {
	c.copyBeforeChange(to)
	q := c.queue(from, to)
	message := (*q)[0]
	*q = slices.Clone((*q)[1:])
	switch m := message.(type) {
	case Message:
		c.stepCoordinator(to, MessageReceived{processName(from), m})
	case proxyHello:
		c.confirmed[to][leaseKey(from)] = confirmedBody{incarnation: m.incarnation}
		c.stepCoordinator(
			to,
			LeaseGranted{processName(from), c.zone(from), m.incarnation},
			ProxyConnected{processName(from)},
		)
	case CommandReceived:
		c.stepParticipant(to, m)
	case Confirmed:
		if c.confirmed[to][leaseKey(from)].incarnation == m.Incarnation {
			c.confirmed[to][proxyVersion{from, m.Version}] = confirmedBody{m.Incarnation, m.Digest}
		}
		if c.bugs.countsStaleConfirmations {
			m.Incarnation = c.coordinators[to].leases[processName(from)].incarnation
		}
		c.stepCoordinator(to, m)
	}
}

// completeWrite completes the next write of a node's disk.
func (c *cluster) completeWrite(i int, err error) {
	c.copyBeforeChange(i)
	action := c.diskQueues[i][0]
	c.diskQueues[i] = slices.Clone(c.diskQueues[i][1:])
	switch a := action.(type) {
	case Drop:
		delete(c.disks[i], a.Version)
	case Persist:
		if err == nil {
			c.disks[i][a.Version] = a.Vote
			if a.Closed {
				c.lostVotes[i] = false
			}
			if a.Accepted != (BallotNumber{}) && !a.Decided {
				c.recordVote(i, a.Vote)
			}
		}
		c.stepCoordinator(i, Persisted{a.Seq, err})
	}
}

// recordVote adds a durable vote to the reference model. A value with enough votes in one ballot is chosen.
func (c *cluster) recordVote(i int, v Vote) {
	key := ballotKey{v.Version, v.Accepted}
	accepted := c.ballots[key]
	if accepted.acceptors != 0 && accepted.value != v.Value {
		c.failf("one ballot with two values: %+v", v)
	}
	accepted.value, accepted.acceptors = v.Value, accepted.acceptors|1<<i
	c.ballots, c.chosen = maps.Clone(c.ballots), maps.Clone(c.chosen)
	c.ballots[key] = accepted
	if _, votes := c.coordinators[i].Quorums(); bits.OnesCount64(accepted.acceptors) < votes {
		return
	}
	if former, ok := c.chosen[v.Version]; ok && former != v.Value {
		detail := ""
		if former.Committed != v.Value.Committed {
			detail = ", one of them a commit"
		}
		c.failf("two decisions on version %d: %+v and %+v%s", v.Version, former, v.Value, detail)
	}
	c.chosen[v.Version] = v.Value
}

// crash ends a process and starts its next incarnation, with an empty disk if wiped is set.
func (c *cluster) crash(i int, wiped bool) {
	c.copyBeforeChange(i)
	c.incarnations[i] += incarnationStep
	if i >= c.nodeCount {
		c.restartParticipant(i)
		return
	}
	if wiped {
		c.wipes++
		c.disks[i] = map[uint64]Vote{}
		c.lostVotes[i] = !c.bugs.votesAfterWipe
	}
	c.startCoordinator(i, !c.lostVotes[i])
}

// restartParticipant starts a proxy anew. The messages that it had sent are still delivered.
func (c *cluster) restartParticipant(proxy int) {
	c.participants[proxy-c.nodeCount] = NewParticipant(c.incarnations[proxy], staleTimeout)
	for i := range c.nodeCount {
		*c.queue(i, proxy) = nil
		c.enqueue(proxy, i, proxyHello{c.incarnations[proxy]})
		q := c.queue(proxy, i)
		if last := len(*q) - 1; c.reordersAcrossReconnects && last > 0 {
			*q = append([]any{(*q)[last]}, (*q)[:last]...)
		}
	}
}

// storeBody makes the body of a version durable and reports it to all nodes.
func (c *cluster) storeBody(t Target) {
	c.stored = append(c.stored, t)
	for i := range c.nodeCount {
		c.stepCoordinator(i, BodyStored{t})
	}
}

// deliverAll delivers messages and completes writes until none are left.
func (c *cluster) deliverAll() {
	for busy := true; busy && c.violation == ""; {
		busy = false
		for q := range c.queues {
			for len(c.queues[q]) > 0 {
				c.deliver(q/(c.nodeCount+c.proxyCount), q%(c.nodeCount+c.proxyCount))
				busy = true
			}
		}
		for i := range c.nodeCount {
			for len(c.diskQueues[i]) > 0 {
				c.completeWrite(i, nil)
				busy = true
			}
		}
	}
}
