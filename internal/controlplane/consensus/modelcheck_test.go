package consensus

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// The model runs real Replicas, and explores the orders in which a small number of moves may happen. A clock only
// advances by a move. A message that is never delivered is lost.

// modelScope limits what may happen in the model.
type modelScope struct {
	name          string
	voters        int
	learner       bool
	proposals     []configProposal // each may be sent at any time
	crashes       int              // maximum number of restarts with the synced records
	wipes         int              // maximum number of restarts with an empty disk
	duplicates    int              // maximum number of messages that are delivered twice
	clockSteps    int              // maximum number of advances of each node's clock by clockStep
	instantDisks  bool             // writes complete at once
	faultyNode    int              // the node that may crash or be wiped; -1: any
	changesVoters bool             // the learner replaces the last voter
	maxStates     int              // 0: no limit
	bugs          modelBugs
}

// configProposal is a proposal of a configuration at a node.
type configProposal struct {
	node            int
	version, digest uint64
}

const clockStep = time.Second

// modelBugs are faults of the model that tests enable to show that the checks detect them.
type modelBugs struct {
	answersBeforeSync bool // a vote is sent before it is synced
	keepsStoreID      bool // a wiped disk keeps its id
	losesPromises     bool // promises are not on disk
	ignoresEpoch      bool // a receiver treats a voter's message as if it was sent in the receiver's epoch
	noJointEpoch      bool // voters change without a joint epoch
}

// modelNode is a node with its disk.
type modelNode struct {
	replica       *Replica // shared between states, so it is never changed
	records       map[string][]byte
	storedVersion Version // of the configuration on disk
	writes        []Persist
	now           time.Duration
	clockSteps    int          // left
	key           xxh3.Uint128 // zero if it is outdated
}

type modelMessage struct {
	from, to int
	message  *rpc.Message
	key      xxh3.Uint128
}

// modelState is a state of the model.
type modelState struct {
	nodes           []*modelNode
	inFlight        []modelMessage // sorted by key
	proposed        uint           // a bit for each sent proposal
	crashes         int            // left
	wipes           int            // left
	duplicates      int            // left
	votersChanged   bool
	lastIncarnation uint64
	// The newest value that was reported as committed. It must not be lost.
	newest           Register
	newestAtProposal [4]Version        // the version of newest when each proposal was sent
	epochs           map[uint64][]byte // encoded epochs that some node has entered, by epoch number
	newestEpoch      Epoch
}

// model explores the states of a scope, and keeps the results.
type model struct {
	modelScope
	stateCount  int // visited
	transitions int
	failure     string
	truncated   bool
	buf         []byte // reused for keys
}

func testNode(i int) rpc.Node {
	return rpc.Node{Name: fmt.Sprint("c", i), Address: fmt.Sprint("a", i)}
}

func compareKeys(a, b xxh3.Uint128) int {
	switch {
	case a.Hi != b.Hi && a.Hi < b.Hi, a.Hi == b.Hi && a.Lo < b.Lo:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// initialState returns a bootstrapped cluster in which each node has recently heard from a quorum.
func (m *model) initialState() *modelState {
	s := &modelState{
		crashes:         m.crashes,
		wipes:           m.wipes,
		duplicates:      m.duplicates,
		epochs:          map[uint64][]byte{},
		lastIncarnation: 100,
	}
	epoch := Epoch{Number: 1}
	nodes := m.voters
	if m.learner {
		nodes++
	}
	for i := range m.voters {
		epoch.Voters = append(epoch.Voters, Voter{Node: testNode(i), StoreID: fmt.Sprint("d", i)})
	}
	s.epochs[1], s.newestEpoch = encodeEpoch(epoch), epoch
	for i := range nodes {
		records := map[string][]byte{
			recordDisk:            marshal(diskRecord{ID: fmt.Sprint("d", i), WrittenAtFirstStart: i < m.voters}),
			recordsCompleteMarker: {1},
			recordEpoch:           encodeEpoch(epoch),
		}
		s.nodes = append(s.nodes, &modelNode{records: records, now: 10 * ms, clockSteps: m.clockSteps})
	}
	for i := range s.nodes {
		m.startNode(s, i, uint64(i+1))
	}
	for i := range s.nodes {
		m.connect(s, i)
	}
	for len(s.inFlight) > 0 && m.failure == "" { // deliver all messages
		message := s.inFlight[0]
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
		m.step(s, message.to, MessageReceived{testNode(message.from).Name, message.message})
	}
	return s
}

// startNode starts a process with the records on disk.
func (m *model) startNode(s *modelState, i int, incarnation uint64) {
	n := s.nodes[i]
	records := maps.Clone(n.records)
	_, complete := records[recordsCompleteMarker]
	delete(records, recordsCompleteMarker)
	state, err := LoadState(testNode(i).Name, records, complete, false, fmt.Sprintf("d%d.%d", i, incarnation))
	if err != nil {
		m.failure = err.Error()
		return
	}
	if m.bugs.losesPromises {
		for name, a := range state.Acceptors {
			state.Acceptors[name] = paxos.Acceptor[Register]{Promised: a.Accepted, Accepted: a.Accepted, Value: a.Value}
		}
	}
	s.nodes[i] = &modelNode{
		records:       n.records,
		storedVersion: n.storedVersion,
		now:           n.now,
		clockSteps:    n.clockSteps,
		replica: New(Options{Self: testNode(i), Incarnation: incarnation << 20, MaxFaults: (m.voters - 1) / 2,
			Seeds: []string{"a0"}, State: state,
			// Without this, a proposer waits for its turn by the clock, which may never advance in the model.
			bugs: injectedBugs{noProposerTurns: true}}),
	}
}

// connect connects a node with all others.
func (m *model) connect(s *modelState, i int) {
	for j := range s.nodes {
		if j != i {
			m.step(s, i, PeerConnected{Node: testNode(j), StoreID: s.nodes[j].replica.StoreID()})
			m.step(s, j, PeerConnected{Node: testNode(i), StoreID: s.nodes[i].replica.StoreID()})
		}
	}
}

// step passes events to a node. The resulting messages are then in flight and the resulting writes pending.
func (m *model) step(s *modelState, i int, events ...Event) {
	m.perform(s, i, func(r *Replica, now time.Duration) []Action { return r.Step(now, events...) })
}

// perform has a node take a step and performs its actions.
func (m *model) perform(s *modelState, i int, doStep func(*Replica, time.Duration) []Action) {
	if m.failure != "" {
		return
	}
	n := *s.nodes[i]
	n.replica = n.replica.clone()
	n.writes = slices.Clone(n.writes)
	s.nodes[i] = &n
	for queue := doStep(n.replica, n.now); len(queue) > 0; {
		action := queue[0]
		queue = queue[1:]
		switch action := action.(type) {
		case Persist:
			if m.instantDisks {
				n.records = maps.Clone(n.records)
				n.apply(action)
			} else {
				n.writes = append(n.writes, action)
			}
			if m.bugs.answersBeforeSync || m.instantDisks {
				queue = append(queue, n.replica.Step(n.now, Persisted{Seq: action.Seq})...)
			}
		case Send:
			m.send(s, i, action)
		case ValueCommitted:
			m.checkCommitted(s, i, "committed", action.Register)
		case RequestDone:
			m.checkRequestDone(s, i, action)
		case EpochEntered:
			m.checkEpochEntered(s, action.Epoch)
		}
	}
	n.replica.actions = nil
	n.key = xxh3.Uint128{}
	isIgnored := func(m modelMessage) bool { return m.to == i && n.replica.ignores(m.message) }
	if slices.ContainsFunc(s.inFlight, isIgnored) {
		s.inFlight = slices.DeleteFunc(slices.Clone(s.inFlight), isIgnored)
	}
	m.checkDurable(s)
}

// ignores reports whether a message changes nothing, whenever it arrives: a response to a ballot that has ended, or a
// ballot that is already known to be chosen. The model drops such messages to reduce the number of states.
func (r *Replica) ignores(message *rpc.Message) bool {
	mayChangePeerState := message.AcceptedBallots != nil || message.Complete || message.ShuttingDown
	isRequest := message.QueryState || message.FetchRegisters != nil
	isNews := message.EpochNumber != r.epoch.Number || message.Epoch != nil || message.ChosenValues != nil
	if mayChangePeerState || isRequest || isNews {
		return false
	}
	for name, ballot := range message.ChosenBallots {
		register := r.registers[name]
		if register == nil || name == epochRegister || register.chosenBallot.Less(ballot) {
			return false
		}
	}
	for _, paxosMessage := range message.Paxos {
		register := r.registers[paxosMessage.Register]
		if register == nil || roundOf(paxosMessage.Ballot) > register.round {
			return false
		}
		isCurrent := register.proposal.Phase != paxos.Idle && register.proposal.Ballot == paxosMessage.Ballot
		switch paxosMessage.Kind {
		case rpc.Promise:
			if isCurrent && register.proposal.Phase == paxos.Preparing {
				return false
			}
		case rpc.Accepted:
			if isCurrent {
				return false
			}
		case rpc.Preempted:
			if register.proposal.Phase != paxos.Idle && register.proposal.Ballot.Less(paxosMessage.Ballot) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// checkEpochEntered checks that no other epoch has the number.
func (m *model) checkEpochEntered(s *modelState, e Epoch) {
	encoded := encodeEpoch(e)
	if existing := s.epochs[e.Number]; existing != nil && !bytes.Equal(existing, encoded) {
		m.failf("two epochs have number %d", e.Number)
	}
	if s.epochs[e.Number] != nil {
		return
	}
	s.epochs = maps.Clone(s.epochs)
	s.epochs[e.Number] = encoded
	if e.Number > s.newestEpoch.Number {
		s.newestEpoch = e
	}
}

func (m *model) failf(format string, v ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, v...)
	}
}

func (m *model) send(s *modelState, i int, send Send) {
	j := slices.IndexFunc(s.nodes, func(n *modelNode) bool { return n.replica.options.Self.Name == send.To })
	message := send.Message
	switch {
	case message.Ping: // delivered at once: the model does not explore lost or delayed pings
		m.step(s, j, MessageReceived{testNode(i).Name, message})
		return
	case message.Pong:
		updated := *s.nodes[j]
		updated.replica = updated.replica.clone()
		updated.replica.Step(updated.now, MessageReceived{testNode(i).Name, message})
		s.nodes[j] = &updated
		return
	}
	m.addMessage(s, i, j, message)
}

// addMessage adds a message to those in flight.
func (m *model) addMessage(s *modelState, i, j int, message *rpc.Message) {
	if r := s.nodes[j].replica; r.ignores(message) {
		return
	}
	added := modelMessage{from: i, to: j, message: message}
	m.buf = append(m.buf[:0], byte(i), byte(j))
	m.buf = append(m.buf, rpc.Encode(message)...)
	added.key = xxh3.Hash128(m.buf)
	byKey := func(a, b modelMessage) int { return compareKeys(a.key, b.key) }
	at, _ := slices.BinarySearchFunc(s.inFlight, added, byKey)
	s.inFlight = slices.Insert(slices.Clone(s.inFlight), at, added)
}

// checkCommitted checks a value that a node commits or acknowledges: a version number has at most one value.
func (m *model) checkCommitted(s *modelState, i int, event string, committed Register) {
	switch {
	case committed.Version == (Version{}) || committed.Name != configRegister:
	case committed.Version.Number == s.newest.Version.Number && committed.Version != s.newest.Version:
		m.failf("c%d: %s %v after %v with the same version number", i, event, committed.Version, s.newest.Version)
	case s.newest.Version.Less(committed.Version):
		s.newest = committed
	}
}

func (m *model) checkRequestDone(s *modelState, i int, done RequestDone) {
	if done.RequestID == 0 || done.Outcome != Committed && done.Outcome != Conflict {
		return
	}
	proposal := m.proposals[done.RequestID-1]
	isProposed := done.Version == Version{Number: proposal.version, ID: proposal.digest}
	isOtherValueOfVersion := done.Version.Number == proposal.version && !isProposed
	switch {
	case done.Outcome == Committed && (done.Version.Number < proposal.version || isOtherValueOfVersion):
		m.failf("c%d: proposal %v is reported as committed, but the result is %v", i, proposal, done.Version)
	case done.Outcome == Conflict && (done.Version.Number < proposal.version || isProposed):
		m.failf("c%d: proposal %v is rejected, but %v is not another value of the same or a higher version",
			i, proposal, done.Version)
	}
	if reported := s.newestAtProposal[done.RequestID-1]; done.Version.Less(reported) {
		m.failf(
			"c%d: the response to %v is %v, but %v was reported before the request",
			i,
			proposal,
			done.Version,
			reported,
		)
	}
	m.checkCommitted(s, i, "acknowledged", done.Register)
}

// checkDurable checks that every majority of the newest epoch's voters includes one that has the newest reported value
// on disk.
func (m *model) checkDurable(s *modelState) {
	if s.newest.Version == (Version{}) || m.failure != "" {
		return
	}
	epoch := s.newestEpoch
	lacks := map[string]bool{}
	for _, n := range s.nodes {
		lacks[n.replica.StoreID()] = n.storedVersion.Less(s.newest.Version)
	}
	if epoch.HasMajority(func(v Voter) bool { return lacks[v.StoreID] }) {
		m.failf("%v was reported, but a majority of epoch %d does not have it on disk", s.newest.Version, epoch.Number)
	}
}

// key returns a key that identifies a state.
func (m *model) key(s *modelState) xxh3.Uint128 {
	for _, n := range s.nodes {
		if n.key != (xxh3.Uint128{}) {
			continue
		}
		b := n.replica.key(m.buf[:0])
		for _, name := range slices.Sorted(maps.Keys(n.records)) {
			b = append(append(append(b, name...), 0), n.records[name]...)
		}
		b = append(b, 0xff, byte(n.clockSteps))
		for _, p := range n.writes {
			b = append(append(append(b, p.Record...), 0), p.Value...)
		}
		n.key = xxh3.Hash128(b)
		m.buf = b
	}
	b := m.buf[:0]
	for _, n := range s.nodes {
		k := n.key.Bytes()
		b = append(b, k[:]...)
	}
	for _, message := range s.inFlight {
		k := message.key.Bytes()
		b = append(b, k[:]...)
	}
	b = append(b, 0xfe, byte(s.proposed), byte(s.crashes), byte(s.wipes), byte(s.duplicates))
	if s.votersChanged {
		b = append(b, 1)
	}
	for _, version := range s.newestAtProposal {
		b = append(b, byte(version.Number), byte(version.ID))
	}
	b = fmt.Appendf(b, "%d/%d", s.newest.Version.Number, s.newest.Version.ID)
	m.buf = b
	return xxh3.Hash128(b)
}

// moves returns the moves that are possible in a state.
func (m *model) moves(s *modelState) (all []func(*modelState)) {
	for i := range m.proposals {
		if s.proposed&(1<<i) == 0 {
			all = append(all, func(s *modelState) { m.propose(s, i) })
		}
	}
	if m.changesVoters && !s.votersChanged {
		all = append(all, m.changeVoters)
	}
	for k, message := range s.inFlight {
		if k > 0 && s.inFlight[k-1].key == message.key {
			continue
		}
		all = append(all, func(s *modelState) {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), k, k+1)
			m.deliver(s, message)
		})
		if s.duplicates > 0 {
			all = append(all, func(s *modelState) {
				s.duplicates--
				m.deliver(s, message)
			})
		}
	}
	for i, n := range s.nodes {
		if len(n.writes) > 0 {
			all = append(all, func(s *modelState) { m.finishWrite(s, i) })
		}
		if n.clockSteps > 0 {
			all = append(all, func(s *modelState) { m.advanceClock(s, i) })
		}
		if s.crashes > 0 && (m.faultyNode < 0 || m.faultyNode == i) {
			all = append(all, func(s *modelState) {
				s.crashes--
				m.crash(s, i, false)
			})
		}
		if s.wipes > 0 && (m.faultyNode < 0 || m.faultyNode == i) {
			all = append(all, func(s *modelState) {
				s.wipes--
				m.crash(s, i, true)
			})
		}
	}
	return all
}

// propose sends the proposal with an index to its node.
func (m *model) propose(s *modelState, i int) {
	p := m.proposals[i]
	s.proposed |= 1 << i
	s.newestAtProposal[i] = s.newest.Version
	value := fmt.Appendf(nil, "%d/%d", p.version, p.digest)
	m.step(s, p.node, Propose{uint64(i + 1), configRegister, ReplaceConfig(p.version, p.digest, value)})
}

// changeVoters makes the first node propose an epoch in which the learner replaces the last voter.
func (m *model) changeVoters(s *modelState) {
	s.votersChanged = true
	m.perform(s, 0, func(r *Replica, now time.Duration) []Action {
		if r.now, r.actions = now, nil; r.epoch.Number != 1 {
			return nil // the node is not in epoch 1, because its disk was wiped
		}
		learner := Voter{Node: testNode(m.voters), StoreID: fmt.Sprint("d", m.voters)}
		next := sortVoters(append(slices.Clone(r.epoch.Voters[:m.voters-1]), learner))
		e := Epoch{Number: r.epoch.Number + 1, OldVoters: r.epoch.Voters, Voters: next}
		if m.bugs.noJointEpoch {
			e.OldVoters = nil
		}
		r.proposeEpoch(e)
		return r.actions
	})
}

// deliver passes a message to its receiver.
func (m *model) deliver(s *modelState, delivered modelMessage) {
	message := delivered.message
	r := s.nodes[delivered.to].replica
	if m.bugs.ignoresEpoch && message.EpochNumber > 0 && r.epoch.IsVoter(message.StoreID) {
		c := *message
		c.EpochNumber, message = r.epoch.Number, &c
	}
	m.step(s, delivered.to, MessageReceived{testNode(delivered.from).Name, message})
}

func (m *model) advanceClock(s *modelState, i int) {
	node := *s.nodes[i]
	node.now += clockStep
	node.clockSteps--
	s.nodes[i] = &node
	m.step(s, i)
}

// apply performs a completed write.
func (n *modelNode) apply(p Persist) {
	if p.Value == nil {
		delete(n.records, p.Record)
	} else {
		n.records[p.Record] = p.Value
	}
	if p.Record == registerRecordName(configRegister) {
		n.loadStoredVersion()
	}
}

func (n *modelNode) loadStoredVersion() {
	var record registerRecord
	if data := n.records[registerRecordName(configRegister)]; data != nil {
		if err := cbor.Unmarshal(data, &record); err != nil {
			panic(err)
		}
	}
	n.storedVersion = record.Value.Version
}

// finishWrite completes the oldest pending write of a node.
func (m *model) finishWrite(s *modelState, i int) {
	node := *s.nodes[i]
	p := node.writes[0]
	node.writes = slices.Delete(slices.Clone(node.writes), 0, 1)
	node.records = maps.Clone(node.records)
	node.apply(p)
	s.nodes[i] = &node
	if m.bugs.answersBeforeSync {
		node.key = xxh3.Uint128{}
		m.checkDurable(s)
		return
	}
	m.step(s, i, Persisted{Seq: p.Seq})
}

// crash restarts a process. Its writes in progress and the messages to it are lost.
func (m *model) crash(s *modelState, i int, wipe bool) {
	node := *s.nodes[i]
	node.writes = nil
	node.clockSteps = 0
	if wipe {
		old := node.records
		node.records = map[string][]byte{}
		if m.bugs.keepsStoreID {
			for _, name := range []string{recordDisk, recordEpoch, recordsCompleteMarker} {
				node.records[name] = old[name]
			}
		}
	}
	node.loadStoredVersion()
	s.nodes[i] = &node
	s.inFlight = slices.DeleteFunc(slices.Clone(s.inFlight), func(x modelMessage) bool { return x.to == i })
	s.lastIncarnation++
	m.startNode(s, i, s.lastIncarnation)
	for j := range s.nodes {
		if j != i {
			m.step(s, j, PeerDisconnected{testNode(i).Name})
		}
	}
	m.connect(s, i)
}

// successor returns the state after a move.
func (s *modelState) successor(move func(*modelState)) *modelState {
	c := *s
	c.nodes = slices.Clone(s.nodes)
	move(&c)
	return &c
}

// explore visits the states, up to maxStates.
func (m *model) explore(workers int) {
	search := &stateSearch[*modelState]{maxStates: m.maxStates, batchSize: 1}
	s := m.initialState()
	search.run(workers, []*modelState{s}, []xxh3.Uint128{m.key(s)}, func() expander[*modelState] {
		worker := &model{modelScope: m.modelScope}
		return func(states []*modelState) (next []*modelState, keys []xxh3.Uint128, failure string) {
			for _, move := range worker.moves(states[0]) {
				successor := states[0].successor(move)
				next, keys = append(next, successor), append(keys, worker.key(successor))
			}
			return next, keys, worker.failure
		}
	})
	m.stateCount, m.truncated = len(search.visited), search.truncated
	m.transitions += search.transitions
	if m.failure == "" {
		m.failure = search.failure
	}
}

// randomWalks runs random sequences of moves.
func (m *model) randomWalks(seed uint64, count int) {
	random := rand.New(rand.NewPCG(seed, 3))
	initial := m.initialState()
	for range count {
		s := initial
		for range 400 {
			moves := m.moves(s)
			if len(moves) == 0 || m.failure != "" {
				break
			}
			s = s.successor(moves[random.IntN(len(moves))])
			m.transitions++
		}
	}
}

var (
	conflictingProposals = []configProposal{{0, 5, 1}, {1, 5, 2}}
	twoVersions          = []configProposal{{0, 5, 1}, {1, 6, 2}}
	oneProposal          = []configProposal{{0, 5, 1}}
)

// In every interleaving of the moves no committed value may be lost. Scopes with too many states are explored up to a
// limit, and then by random walks.
func TestModelEveryInterleaving(t *testing.T) {
	t.Parallel()
	complete := []modelScope{
		{name: "2 voters, 2 proposals with one version", voters: 2, proposals: conflictingProposals},
		{
			name:       "2 voters, 1 proposal, 1 crash, 1 duplicate message",
			voters:     2,
			proposals:  oneProposal,
			crashes:    1,
			duplicates: 1,
			faultyNode: -1,
		},
		{name: "3 voters, 1 proposal", voters: 3, proposals: oneProposal},
		{
			name:         "3 voters, 1 proposal, 1 duplicate message, instant disks",
			voters:       3,
			proposals:    oneProposal,
			duplicates:   1,
			instantDisks: true,
		},
		{
			name:         "3 voters, 2 proposals with one version, instant disks",
			voters:       3,
			proposals:    conflictingProposals,
			instantDisks: true,
		},
	}
	maxStates := 12000
	if raceEnabled { // the largest scope is too slow
		complete, maxStates = complete[:len(complete)-1], 2000
	}
	for _, s := range complete {
		m := &model{modelScope: s}
		m.explore(runtime.GOMAXPROCS(0))
		t.Logf("%s: %d states, %d transitions, complete", m.name, m.stateCount, m.transitions)
		if m.failure != "" || m.truncated {
			t.Errorf("%s: truncated %t, want false; failure %q", m.name, m.truncated, m.failure)
		}
	}
	truncated := []modelScope{
		{name: "3 voters, 2 proposals with one version", voters: 3, proposals: conflictingProposals},
		{
			name:         "3 voters, 2 proposals with one version, 1 crash, instant disks",
			voters:       3,
			proposals:    conflictingProposals,
			crashes:      1,
			faultyNode:   -1,
			instantDisks: true,
		},
		{
			name:          "3 voters, 1 learner, 1 proposal, 1 change of voters, instant disks",
			voters:        3,
			learner:       true,
			proposals:     oneProposal,
			changesVoters: true,
			instantDisks:  true,
		},
		{
			name: "3 voters, 1 learner, 2 proposals, 1 crash, 1 wipe, 1 change of voters, " +
				"1 duplicate message, clocks that advance",
			voters:        3,
			learner:       true,
			proposals:     twoVersions,
			crashes:       1,
			wipes:         1,
			faultyNode:    -1,
			duplicates:    1,
			clockSteps:    1,
			changesVoters: true,
		},
	}
	lines := make([]string, len(truncated))
	runParallel(len(truncated), func(k int) {
		m := &model{modelScope: truncated[k]}
		m.maxStates = maxStates
		m.explore(1)
		states, explored := m.stateCount, m.transitions
		for seed := range uint64(8) {
			m.randomWalks(seed, 25)
		}
		lines[k] = fmt.Sprintf(
			"%s: TRUNCATED after %d states and %d transitions, then %d transitions in random walks",
			m.name,
			states,
			explored,
			m.transitions-explored,
		)
		if m.failure != "" || !m.truncated {
			t.Errorf("%s: truncated %t, want true; failure %q", m.name, m.truncated, m.failure)
		}
	})
	for _, l := range lines {
		t.Log(l)
	}
}

// The environment variable REGISTER_MODEL sets the number of states to explore, for long runs by hand.
func TestModelWholeScope(t *testing.T) {
	maxStates, err := strconv.Atoi(os.Getenv("REGISTER_MODEL"))
	if err != nil {
		maxStates = 3000
	}
	for _, s := range []modelScope{
		{
			name:   "3 voters, 1 learner, 1 proposal, 1 crash, 1 change of voters, instant disks",
			voters: 3, learner: true, proposals: oneProposal, crashes: 1, faultyNode: -1, changesVoters: true,
			instantDisks: true,
		},
		{
			name:   "3 voters, 1 learner, 2 proposals, 1 crash, 1 change of voters, instant disks",
			voters: 3, learner: true, proposals: twoVersions, crashes: 1, faultyNode: -1, changesVoters: true,
			instantDisks: true,
		},
	} {
		m := &model{modelScope: s}
		m.maxStates = maxStates
		m.explore(runtime.GOMAXPROCS(0))
		t.Logf("%s: %d states, %d transitions, truncated %t", m.name, m.stateCount, m.transitions, m.truncated)
		if m.failure != "" {
			t.Errorf("%s: %s", m.name, m.failure)
		}
	}
}

// Guards against a model that detects nothing: it must detect each injected bug.
func TestModelDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		modelScope
		failure string
	}{
		"a vote is sent before it is synced": {modelScope{
			voters:     3,
			proposals:  oneProposal,
			crashes:    1,
			faultyNode: -1,
			maxStates:  20000,
			bugs:       modelBugs{answersBeforeSync: true},
		},
			"does not have it on disk"},
		"a vote from a wiped disk": {modelScope{
			voters:       3,
			proposals:    oneProposal,
			wipes:        1,
			faultyNode:   2,
			instantDisks: true,
			maxStates:    20000,
			bugs:         modelBugs{keepsStoreID: true},
		},
			"does not have it on disk"},
		"a change of voters without a joint epoch": {modelScope{
			voters:        3,
			learner:       true,
			proposals:     oneProposal,
			changesVoters: true,
			clockSteps:    1,
			faultyNode:    -1,
			bugs:          modelBugs{noJointEpoch: true},
		},
			"does not have it on disk"},
	} {
		t.Run(name, func(t *testing.T) {
			m := &model{modelScope: c.modelScope}
			if c.maxStates > 0 {
				m.explore(1)
			}
			for seed := uint64(0); seed < 20 && m.failure == ""; seed++ {
				m.randomWalks(seed, 50)
			}
			if !strings.Contains(m.failure, c.failure) {
				t.Errorf("failure %q, want one that contains %q", m.failure, c.failure)
			}
			t.Logf("after %d transitions: %s", m.transitions, m.failure)
		})
	}
}
