package consensus

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
)

// link is a connection from one process to another. It delivers messages in order. After a disconnect, the messages in
// flight are lost, or still arrive.
type link struct {
	queue        [][]byte
	lastArrival  time.Duration
	heldMessages int  // messages that are due, but delayed by a partition
	lost         bool // the messages in flight are lost
}

// connect opens the link from i to j after a delay, unless it is open.
func (sim *simulation) connect(i, j int) {
	m, peer := sim.machines[i], sim.machines[j]
	incarnation, otherIncarnation := m.incarnation, peer.incarnation
	sim.schedule(sim.randomDuration(300*ms), func() {
		isCurrent := m.incarnation == incarnation && peer.incarnation == otherIncarnation
		if m.replica == nil || peer.replica == nil || !isCurrent || m.links[j] != nil {
			return
		}
		if m.paused || peer.paused || sim.blockedLinks[[2]int{i, j}] || sim.blockedLinks[[2]int{j, i}] {
			sim.connect(i, j)
			return
		}
		m.links[j] = &link{}
		sim.step(i, PeerConnected{
			Node:             peer.node,
			StoreID:          peer.replica.StoreID(),
			MayHaveLostState: peer.replica.MayHaveLostState() && !sim.bugs.hidesLostState,
			Origin:           peer.replica.Origin(),
		})
	})
}

// disconnect closes the link from i to j, and opens it again after a delay.
func (sim *simulation) disconnect(i, j int) {
	m := sim.machines[i]
	l := m.links[j]
	if l == nil || m.replica == nil {
		return
	}
	if sim.rand.IntN(2) == 0 {
		l.lost = true // otherwise messages in flight still arrive
	}
	delete(m.links, j)
	sim.step(i, PeerDisconnected{sim.machines[j].node.Name})
	sim.connect(i, j)
}

func (sim *simulation) latency(i, j int) time.Duration {
	return ms + sim.randomDuration(10*ms) + sim.randomDuration(sim.machines[i].maxLinkDelay+sim.machines[j].maxLinkDelay)
}

// send puts a message on the link to its receiver.
func (sim *simulation) send(i int, send Send) {
	j := slices.IndexFunc(sim.machines, func(m *machine) bool { return m.node.Name == send.To })
	l := sim.machines[i].links[j]
	if l == nil {
		return
	}
	m := send.Message
	if sim.bugs.learnersClaimComplete && m.Complete && !sim.machines[i].votesInAllSets() {
		m.AcceptedBallots = sim.withChosenBallots(m.AcceptedBallots)
	}
	for _, request := range m.Paxos {
		if request.Kind == rpc.Accept {
			sim.recordProposal(i, request)
		}
	}
	if sim.bugs.reportsAcceptedAsChosen && m.AcceptedBallots != nil {
		m.ChosenBallots = m.AcceptedBallots
	}
	l.queue = append(l.queue, rpc.Encode(m))
	l.lastArrival = max(l.lastArrival, sim.now+sim.latency(i, j))
	incarnation := sim.machines[j].incarnation
	sim.schedule(l.lastArrival-sim.now, func() { sim.deliver(i, j, incarnation, l) })
}

// votesInAllSets reports whether the local disk is a voter, and in a joint epoch also an old voter.
func (m *machine) votesInAllSets() bool {
	r := m.replica
	isLocal := func(v Voter) bool { return v.StoreID == r.storeID }
	return r.IsVoter() && (len(r.epoch.OldVoters) == 0 || slices.ContainsFunc(r.epoch.OldVoters, isLocal))
}

// withChosenBallots returns the ballots, raised to the chosen ones that the voters know.
func (sim *simulation) withChosenBallots(accepted map[string]BallotNumber) map[string]BallotNumber {
	ballots := maps.Clone(accepted)
	for _, peer := range sim.machines {
		if peer.replica == nil || !peer.replica.IsVoter() {
			continue
		}
		for name, register := range peer.replica.registers {
			if name != epochRegister && ballots[name].Less(register.chosenBallot) {
				ballots[name] = register.chosenBallot
			}
		}
	}
	return ballots
}

// deliver delivers the first message of a link, unless a partition delays it.
func (sim *simulation) deliver(i, j, incarnation int, l *link) {
	switch {
	case l.lost || sim.machines[j].incarnation != incarnation:
	case sim.blockedLinks[[2]int{i, j}]:
		l.heldMessages++
	default:
		m := &rpc.Message{}
		if err := cbor.Unmarshal(l.queue[0], m); err != nil {
			sim.failf("%v", err)
		}
		l.queue = l.queue[1:]
		if r := sim.machines[j].replica; sim.bugs.ignoresEpoch && r != nil && m.EpochNumber > 0 &&
			r.epoch.IsVoter(m.StoreID) {
			m.EpochNumber = r.epoch.Number
		}
		sim.step(j, MessageReceived{sim.machines[i].node.Name, m})
	}
}

// partition replaces the current partition. It delays the messages from i to j if across is true, and may close the
// links later.
func (sim *simulation) partition(across func(i, j int) bool) {
	clear(sim.blockedLinks)
	for i := range sim.machines {
		for j := range sim.machines {
			if i != j && across(i, j) {
				sim.blockedLinks[[2]int{i, j}] = true
			}
		}
	}
	for i, m := range sim.machines {
		for _, j := range slices.Sorted(maps.Keys(m.links)) {
			if l := m.links[j]; sim.blockedLinks[[2]int{i, j}] || sim.blockedLinks[[2]int{j, i}] {
				sim.schedule(200*ms+sim.randomDuration(2800*ms), func() {
					if m.links[j] == l && (sim.blockedLinks[[2]int{i, j}] || sim.blockedLinks[[2]int{j, i}]) {
						sim.disconnect(i, j)
					}
				})
			}
		}
	}
}

// Directions in which isolate delays messages. Any other value stands for both.
const (
	bothDirections = 0
	outgoing       = 1
	incoming       = 2
)

// isolate partitions machines from the others.
func (sim *simulation) isolate(direction int, machines ...int) {
	sim.log("%v %v are isolated, direction %d", sim.now, machines, direction)
	isolated := func(i int) bool { return slices.Contains(machines, i) }
	sim.partition(func(i, j int) bool {
		switch direction {
		case outgoing:
			return isolated(i) && !isolated(j)
		case incoming:
			return isolated(j) && !isolated(i)
		}
		return isolated(i) != isolated(j)
	})
}

// heal ends the partition.
func (sim *simulation) heal() {
	sim.log("%v the partition ends", sim.now)
	clear(sim.blockedLinks)
	for i, m := range sim.machines {
		for _, j := range slices.Sorted(maps.Keys(m.links)) {
			l, incarnation := m.links[j], sim.machines[j].incarnation
			for range l.heldMessages {
				l.lastArrival = max(l.lastArrival, sim.now+sim.latency(i, j))
				sim.schedule(l.lastArrival-sim.now, func() { sim.deliver(i, j, incarnation, l) })
			}
			l.heldMessages = 0
		}
	}
}
