package consensus

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

const (
	ms              = time.Millisecond
	tickInterval    = 200 * ms        // between calls of Step without an event
	recoveryTime    = 4 * time.Second // for which a machine still counts as faulty after its fault has ended
	retryWindow     = 4500 * ms       // as passed to Evacuate
	shutdownTimeout = 5 * time.Second // after which a process ends without the handover
	forever         = time.Duration(math.MaxInt64)
	configRegister  = "charter"
)

// driverBugs are faults of the simulated driver that tests enable to show that the checks detect them.
type driverBugs struct {
	confirmsUnsyncedWrites  bool // a write is confirmed before it survives a kill
	keepsStoreID            bool // a wiped disk keeps its id and its completion mark
	ignoresEpoch            bool // messages count as sent in the receiver's epoch
	learnersClaimComplete   bool // a learner reports all chosen ballots as accepted
	skipsHandover           bool // a process ends without the handover
	confirmsConflicts       bool // a conflicting configuration is confirmed
	readsLocally            bool // a read returns what the local disk has accepted
	reportsAcceptedAsChosen bool // accepted ballots are reported as chosen
	hidesLostState          bool // a wiped disk counts as one from the first start
	losesPromises           bool // promises are not on disk
	retriesAborted          bool // an aborted proposal is proposed again
	acknowledgesOneDisk     bool // a proposal is acknowledged once one disk has accepted it
	replica                 injectedBugs
}

// link is a connection from one process to another. It delivers messages in order. After it has closed, the messages in
// flight are lost, or still arrive.
type link struct {
	queue        [][]byte
	lastArrival  time.Duration
	heldMessages int // messages that are due and that a partition delays
	closed       bool
}

type diskWrite struct {
	apply func()
	done  bool
}

// machine is a disk, and a node while a process runs on it.
type machine struct {
	node         rpc.Node
	seeds        []string // in its settings; nil: those of the first start
	replica      *Replica // nil if no process runs
	firstStart   bool     // its next start is the cluster's first
	hasStarted   bool
	removed      bool // permanently
	incarnation  int
	startedAt    time.Duration
	records      map[string][]byte // on disk
	storeID      string            // of the disk, once a process has started
	writes       []*diskWrite      // in progress, in order; a kill applies the first ones
	diskFreeAt   time.Duration
	maxDiskDelay time.Duration
	diskFlaky    bool // writes may fail
	diskFull     bool // all writes fail
	diskHung     bool // no write completes
	heldWrites   []func()
	maxLinkDelay time.Duration
	links        map[int]*link
	paused       bool
	backlog      []func()
	faultyUntil  time.Duration // forever: until the fault is ended
	committed    map[string]Version
	epoch        uint64
	deadline     time.Duration
	clockSkew    time.Duration // of the time of day
	shuttingDown bool
	lostStoreID  string // of the disk that was wiped last
	lostRecords  map[string][]byte
	lostAt       time.Duration
	onHandedOver func() // nil: nothing follows
}

// Kinds of operations.
const (
	readOperation       = 'r'
	configOperation     = 'c'
	evacuationOperation = 'e'
)

// operation is a client's request with its response.
type operation struct {
	requestID            uint64
	kind                 byte // readOperation, configOperation or evacuationOperation
	register             string
	node                 string // the name of the node that received the request
	version, digest      uint64
	value                string
	begin                bool
	id                   uint64
	calledAt, returnedAt time.Duration // returnedAt is forever before the response
	outcome              Outcome
	result               Register
	event                Event
}

func (op *operation) String() string {
	return fmt.Sprintf(
		"#%d %c %s %d/%d %v %x at %s [%v %v] outcome %d: %v",
		op.requestID,
		op.kind,
		op.register,
		op.version,
		op.digest,
		op.begin,
		op.id,
		op.node,
		op.calledAt,
		op.returnedAt,
		op.outcome,
		op.result.Version,
	)
}

// callback is a function that runs at a simulated time. seq orders callbacks of the same time.
type callback struct {
	at  time.Duration
	seq int
	run func()
}

type callbackQueue []callback

func (q callbackQueue) Len() int { return len(q) }
func (q callbackQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callbackQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callbackQueue) Push(x any) {
	*q = append(*q, x.(callback)) //nolint:forcetypeassert // heap.Push is given no other
}
func (q *callbackQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// ballotRecord is the value of a ballot, and which disks were seen to accept it.
type ballotRecord struct {
	value      Register
	acceptedBy map[uint64]map[string]bool // store ids, by the epoch of the disk when it had accepted the value
}

// simulation runs Replicas with simulated clocks, disks and links, and checks their actions against the disks.
type simulation struct {
	rand           *rand.Rand
	bugs           driverBugs
	log            func(format string, v ...any)
	trace          func(i int, action Action) // called with each action before it is performed; may be nil
	now            time.Duration
	callbackSeq    int
	callbacks      callbackQueue
	machines       []*machine
	seeds          []string
	maxFaults      int
	blockedLinks   map[[2]int]bool // messages from the first machine to the second are delayed
	lastRequestID  uint64
	pending        map[uint64]*operation
	history        []*operation
	epochs         map[uint64]Epoch
	ballots        map[string]map[BallotNumber]*ballotRecord // by register
	storedEpochs   map[string]uint64                         // the number of the epoch on disk, by store id
	committedAt    map[string]map[string]time.Duration
	clocksSkewed   bool
	lastVersion    uint64
	failure        string
	checksDisabled bool // the checks assume a single cluster
	answered       int
	actionCount    int // actions performed
	interruptAt    int // the number of the action in place of which onInterrupt is called; 0: none
	onInterrupt    func(i int)
	lastCommitAt   time.Duration // when the last proposal was acknowledged
	longestStall   time.Duration // the longest time without an acknowledged proposal
	lastStoreID    int
}

func newSimulation(seed uint64, machines, maxFaults int, bugs driverBugs, log func(string, ...any)) *simulation {
	sim := &simulation{
		rand:         rand.New(rand.NewPCG(seed, 1)),
		bugs:         bugs,
		log:          log,
		maxFaults:    maxFaults,
		blockedLinks: map[[2]int]bool{},
		pending:      map[uint64]*operation{},
		epochs:       map[uint64]Epoch{},
		ballots:      map[string]map[BallotNumber]*ballotRecord{},
		storedEpochs: map[string]uint64{},
		committedAt:  map[string]map[string]time.Duration{},
	}
	for range machines {
		sim.addMachine(true)
	}
	for _, m := range sim.machines[:min(machines, 3)] {
		sim.seeds = append(sim.seeds, m.node.Address)
	}
	for i := range sim.machines {
		sim.schedule(sim.randomDuration(300*ms), func() { sim.start(i) })
	}
	return sim
}

func (sim *simulation) addMachine(first bool) int {
	i := len(sim.machines)
	m := &machine{
		node: rpc.Node{
			Name:    fmt.Sprint("c", i),
			Zone:    string(rune('a' + i%3)),
			Address: fmt.Sprintf("10.0.0.%d:7000", i),
		},
		firstStart: first,
		records:    map[string][]byte{},
		links:      map[int]*link{},
	}
	sim.machines = append(sim.machines, m)
	return i
}

// randomDuration returns a random duration below a limit.
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(sim.rand.Int64N(int64(limit)))
}

func (sim *simulation) schedule(delay time.Duration, do func()) {
	sim.callbackSeq++
	heap.Push(&sim.callbacks, callback{sim.now + delay, sim.callbackSeq, do})
}

func (sim *simulation) failf(format string, v ...any) {
	if sim.failure == "" && !sim.checksDisabled {
		sim.failure = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(format, v...)
		sim.log("FAILED: %s", sim.failure)
	}
}

// runUntil runs the callbacks that are due until a time, or until the first failed check.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.callbacks) > 0 && sim.callbacks[0].at <= until && sim.failure == "" {
		next := heap.Pop(&sim.callbacks).(callback) //nolint:forcetypeassert // holds nothing else
		sim.now = next.at
		next.run()
	}
	sim.now = max(sim.now, until)
}

func (sim *simulation) start(i int) {
	m := sim.machines[i]
	if m.removed || m.replica != nil {
		return
	}
	sim.lastStoreID++
	_, complete := m.records[recordComplete]
	records := maps.Clone(m.records)
	delete(records, recordComplete)
	firstStart := m.firstStart && len(records) == 0 || sim.bugs.hidesLostState
	m.firstStart = false
	state, err := LoadState(m.node.Name, records, complete, firstStart, fmt.Sprint("d", sim.lastStoreID))
	if err != nil {
		sim.failf("%s: %v", m.node.Name, err)
		return
	}
	if sim.bugs.losesPromises {
		for name, a := range state.Acceptors {
			state.Acceptors[name] = paxos.Acceptor[Register]{Promised: a.Accepted, Accepted: a.Accepted, Value: a.Value}
		}
	}
	m.incarnation++
	m.hasStarted = true
	m.links, m.committed, m.writes, m.heldWrites = map[int]*link{}, map[string]Version{}, nil, nil
	m.diskFreeAt, m.startedAt, m.epoch, m.deadline = sim.now, sim.now, state.Epoch.Number, forever
	m.paused, m.backlog, m.shuttingDown = false, nil, false
	m.storeID = state.StoreID
	m.replica = New(
		Options{
			Self:        m.node,
			Incarnation: sim.rand.Uint64() | 1,
			MaxFaults:   sim.maxFaults,
			Seeds:       sim.seedsOf(m),
			State:       state,
			bugs:        sim.bugs.replica,
		},
	)
	sim.log(
		"%v %s starts: store %s may have lost state %v identified %v epoch %d, registers %v",
		sim.now,
		m.node.Name,
		m.storeID,
		state.MayHaveLostState,
		state.Identified,
		state.Epoch.Number,
		m.replica.RegisterNames(),
	)
	sim.recordStoredVotes(i, state.Epoch.Number)
	incarnation := m.incarnation
	var tick func()
	tick = func() {
		if m.incarnation == incarnation {
			sim.step(i)
			sim.schedule(tickInterval, tick)
		}
	}
	sim.schedule(sim.randomDuration(tickInterval), tick)
	for j := range sim.machines {
		if j != i {
			sim.connect(i, j)
			sim.connect(j, i)
		}
	}
}

func (sim *simulation) seedsOf(m *machine) []string {
	if m.seeds != nil {
		return m.seeds
	}
	return sim.seeds
}

// recordStoredVotes records the votes on a machine's disk when it enters an epoch.
func (sim *simulation) recordStoredVotes(i int, epoch uint64) {
	m := sim.machines[i]
	for name, value := range m.records {
		if register, ok := strings.CutPrefix(name, recordRegisterPrefix); ok && register != epochRegister {
			var record registerRecord
			if cbor.Unmarshal(value, &record) == nil && record.Accepted != (BallotNumber{}) {
				sim.recordVote(register, m.storeID, epoch, record)
			}
		}
	}
}

// ballotRecord returns the record of a ballot, and checks that the ballot has a single value.
func (sim *simulation) ballotRecord(name string, b BallotNumber, v Register) *ballotRecord {
	if sim.ballots[name] == nil {
		sim.ballots[name] = map[BallotNumber]*ballotRecord{}
	}
	record := sim.ballots[name][b]
	if record == nil {
		record = &ballotRecord{v, map[uint64]map[string]bool{}}
		sim.ballots[name][b] = record
	} else if record.value.Version != v.Version || !bytes.Equal(record.value.Value, v.Value) {
		sim.failf("ballot %x of %s has two values: %q, %q", b, name, record.value.Value, v.Value)
	}
	return record
}

func (record *ballotRecord) addAcceptor(id string, epoch uint64) {
	if record.acceptedBy[epoch] == nil {
		record.acceptedBy[epoch] = map[string]bool{}
	}
	record.acceptedBy[epoch][id] = true
}

func (sim *simulation) recordVote(name, id string, epoch uint64, record registerRecord) {
	sim.ballotRecord(name, record.Accepted, record.Value).addAcceptor(id, epoch)
}

// isChosen reports whether a value was durable under one ballot in any epoch.
func (sim *simulation) isChosen(v Register) bool {
	for _, record := range sim.ballots[v.Name] {
		if record.value.Version != v.Version || !bytes.Equal(record.value.Value, v.Value) {
			continue
		}
		for epoch, stores := range record.acceptedBy {
			if e, ok := sim.epochs[epoch]; ok && e.IsDurable(sim.maxFaults, func(v Voter) bool { return stores[v.StoreID] }) {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) logBallots(v Register) {
	for b, record := range sim.ballots[v.Name] {
		if record.value.Version == v.Version {
			sim.log("ballot %x was accepted, by epoch: %v", b, record.acceptedBy)
		}
	}
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

func (sim *simulation) disconnect(i, j int) {
	m := sim.machines[i]
	l := m.links[j]
	if l == nil || m.replica == nil {
		return
	}
	if sim.rand.IntN(2) == 0 {
		l.closed = true // otherwise messages in flight still arrive
	}
	delete(m.links, j)
	sim.step(i, PeerDisconnected{sim.machines[j].node.Name})
	sim.connect(i, j)
}

// kill ends a machine's process. Some of its writes in progress are applied. If power is lost, so may be the messages
// in flight.
func (sim *simulation) kill(i int, powerLoss bool) {
	m := sim.machines[i]
	if m.replica == nil {
		return
	}
	sim.log("%v %s is killed, power loss %v, %d writes in progress", sim.now, m.node.Name, powerLoss, len(m.writes))
	m.replica = nil
	m.incarnation++
	for _, write := range m.writes[:sim.rand.IntN(len(m.writes)+1)] {
		if !write.done {
			write.apply()
		}
	}
	m.writes, m.heldWrites, m.paused, m.backlog = nil, nil, false, nil
	for _, l := range m.links {
		if powerLoss { // otherwise messages in flight still arrive
			l.closed = true
		}
	}
	for j, peer := range sim.machines {
		if l := peer.links[i]; l != nil && peer.replica != nil {
			l.closed = true
			sim.schedule(sim.randomDuration(50*ms), func() {
				if peer.links[i] == l {
					sim.disconnect(j, i)
				}
			})
		}
	}
}

// wipe kills a machine's process and erases its disk.
func (sim *simulation) wipe(i int) {
	m := sim.machines[i]
	sim.kill(i, true)
	sim.log("%v %s is wiped", sim.now, m.node.Name)
	old := m.records
	m.records = map[string][]byte{}
	if sim.bugs.keepsStoreID && old[recordDisk] != nil {
		for _, name := range []string{recordDisk, recordEpoch, recordComplete} {
			if old[name] != nil {
				m.records[name] = old[name]
			}
		}
		return
	}
	m.lostStoreID, m.lostRecords, m.lostAt = m.storeID, old, sim.now
	m.storeID = ""
}

// storeExists reports whether a machine has the disk with an id.
func (sim *simulation) storeExists(id string) bool {
	return slices.ContainsFunc(
		sim.machines,
		func(m *machine) bool {
			return !m.removed && m.storeID == id && (m.replica != nil || sim.storesID(m, id))
		},
	)
}

// storesID reports whether the disk of a machine without a process has an id.
func (sim *simulation) storesID(m *machine, id string) bool {
	var d diskRecord
	_, complete := m.records[recordComplete]
	if complete && m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil {
		return d.ID == id
	}
	return strings.HasPrefix(id, "first:") && complete
}

// mayLoseDisk reports whether the cluster must tolerate the loss of a machine's disk now: in each epoch that may be in
// use, at most maxFaults disks are lost, and the others are a quorum.
func (sim *simulation) mayLoseDisk(i int) bool {
	if sim.maxFaults == 0 {
		return false
	}
	storeID := sim.machines[i].storeID
	newest := uint64(0)
	for n, e := range sim.epochs {
		hasEntered := func(v Voter) bool { return sim.storedEpochs[v.StoreID] >= n && sim.storeExists(v.StoreID) }
		if n > newest && e.HasMajority(hasEntered) {
			newest = n
		}
	}
	if newest == 0 && !sim.mayLoseDiskDuringBootstrap(i) {
		return false
	}
	for _, e := range sim.possibleEpochs(newest) {
		if len(e.Voters) < 2*sim.maxFaults+1 {
			return false // too few to tolerate maxFaults
		}
		for _, voters := range [][]Voter{e.Voters, e.OldVoters} {
			lost := 0
			for _, v := range voters {
				if v.StoreID == storeID || !sim.storeExists(v.StoreID) {
					lost++
				}
			}
			if lost > sim.maxFaults {
				return false
			}
		}
		remains := func(v Voter) bool { return v.StoreID != storeID && sim.storeExists(v.StoreID) }
		if !e.HasMajority(remains) || !e.IsDurable(sim.maxFaults, remains) {
			return false
		}
	}
	return true
}

// mayLoseDiskDuringBootstrap is mayLoseDisk while no epoch is decided.
func (sim *simulation) mayLoseDiskDuringBootstrap(i int) bool {
	rule := bootstrapRule{seeds: len(sim.seeds), maxFaults: sim.maxFaults}
	intact, intactSeeds, lost := 0, 0, 1
	for _, m := range sim.machines {
		var d diskRecord
		isIntact := m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil && d.FirstStart &&
			m.records[recordComplete] != nil
		switch {
		case m == sim.machines[i]:
		case m.paused || m.replica == nil && !m.removed || len(sim.blockedLinks) > 0:
			return false // it may have a proposal with this disk as a voter
		case !isIntact:
			lost++
		default:
			intact++
			if slices.Contains(sim.seeds, m.node.Address) {
				intactSeeds++
			}
		}
	}
	hasQuorum := intact >= sim.maxFaults+1
	if rule.seedsDecide() {
		hasQuorum = intactSeeds >= len(sim.seeds)/2+1
	}
	return hasQuorum && lost <= sim.maxFaults
}

// possibleEpochs returns the decided epochs starting with a number, and the later ones that are proposed or accepted.
func (sim *simulation) possibleEpochs(from uint64) (all []Epoch) {
	for _, n := range slices.Sorted(maps.Keys(sim.epochs)) {
		if n >= from {
			all = append(all, sim.epochs[n])
		}
	}
	addProposed := func(v Register) {
		if e, err := decodeEpoch(v.Value); err == nil && e.Number > from {
			all = append(all, e)
		}
	}
	for _, m := range sim.machines {
		var record registerRecord
		if data := m.records[registerRecordName(epochRegister)]; data != nil && cbor.Unmarshal(data, &record) == nil {
			addProposed(record.Value)
		}
		if m.replica != nil && m.replica.registers[epochRegister] != nil {
			register := m.replica.registers[epochRegister]
			if addProposed(register.acceptor.Value); register.proposal.Value != nil {
				addProposed(*register.proposal.Value)
			}
		}
	}
	return all
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

// votesInAllSets reports whether the local disk is a voter, in a joint epoch also an old one.
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

// recordProposal records the value of an accept request. It checks that a proposed epoch is newer than the ballot's.
func (sim *simulation) recordProposal(i int, accept rpc.PaxosMessage) {
	if accept.Register != epochRegister {
		sim.ballotRecord(accept.Register, accept.Ballot, *accept.Value)
		return
	}
	current := accept.Ballot.Round >> epochShift
	if e, err := decodeEpoch(accept.Value.Value); err != nil || e.Number <= current {
		sim.failf("%s proposes epoch %d as the successor of epoch %d", sim.machines[i].node.Name, e.Number, current)
	}
}

// deliver delivers the first message of a link, unless a partition delays it.
func (sim *simulation) deliver(i, j, incarnation int, l *link) {
	switch {
	case l.closed || sim.machines[j].incarnation != incarnation:
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

// partition delays the messages of the links for which across is true. Such a link may be closed later.
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

// Directions in which isolate delays messages. All other values stand for both.
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

// pause suspends a machine's process. Events wait until it is resumed.
func (sim *simulation) pause(i int, duration time.Duration) {
	m := sim.machines[i]
	if m.replica == nil || m.paused {
		return
	}
	sim.log("%v %s is paused for %v", sim.now, m.node.Name, duration)
	m.paused = true
	incarnation := m.incarnation
	for j, peer := range sim.machines { // the others may close their links to it
		if l := peer.links[i]; l != nil {
			sim.schedule(500*ms+sim.randomDuration(6*time.Second), func() {
				if m.incarnation == incarnation && m.paused && peer.links[i] == l {
					sim.disconnect(j, i)
				}
			})
		}
	}
	sim.schedule(duration, func() {
		if m.incarnation == incarnation {
			sim.resume(i)
		}
	})
}

func (sim *simulation) resume(i int) {
	m := sim.machines[i]
	if !m.paused {
		return
	}
	sim.log("%v %s is resumed", sim.now, m.node.Name)
	m.paused = false
	backlog := m.backlog
	m.backlog = nil
	if sim.rand.IntN(2) == 0 {
		sim.step(i)
	}
	incarnation := m.incarnation
	for _, do := range backlog {
		if m.incarnation == incarnation && sim.failure == "" {
			do()
		}
	}
}

func (sim *simulation) step(i int, events ...Event) {
	m := sim.machines[i]
	if m.replica == nil || sim.failure != "" {
		return
	}
	if m.paused {
		if len(events) > 0 {
			m.backlog = append(m.backlog, func() { sim.step(i, events...) })
		}
		return
	}
	actions := m.replica.Step(sim.now-m.startedAt, events...)
	for _, e := range events {
		actions = append(actions, sim.injectedActions(m, e)...)
	}
	incarnation := m.incarnation
	if due := m.startedAt + m.replica.NextDeadline(); due < m.deadline || m.deadline <= sim.now {
		m.deadline = due
		if due < sim.now+tickInterval {
			sim.schedule(due-sim.now, func() {
				if m.incarnation == incarnation && m.deadline == due {
					sim.step(i)
				}
			})
		}
	}
	for _, action := range actions {
		if m.incarnation != incarnation || sim.failure != "" {
			return
		}
		if sim.trace != nil {
			sim.trace(i, action)
		}
		if sim.actionCount++; sim.actionCount == sim.interruptAt {
			sim.onInterrupt(i)
			return
		}
		switch action := action.(type) {
		case Persist:
			sim.write(i, action)
		case Send:
			sim.send(i, action)
		case ValueCommitted:
			sim.checkCommitted(m, action.Register)
		case EpochEntered:
			sim.checkEpochEntered(i, action.Epoch)
		case RequestDone:
			sim.checkRequestDone(i, action)
		case HandedOver:
			sim.checkHandedOver(i)
		default:
			sim.failf("unexpected action %T", action)
		}
	}
}

// injectedActions returns the additional actions of the enabled driverBugs.
func (sim *simulation) injectedActions(m *machine, e Event) (actions []Action) {
	switch e := e.(type) {
	case Persisted:
		if !sim.bugs.acknowledgesOneDisk {
			break
		}
		for _, requestID := range slices.Sorted(maps.Keys(sim.pending)) {
			op := sim.pending[requestID]
			r, _ := m.replica.Accepted(op.register)
			isAccepted := r.Version == (Version{Number: op.version, ID: op.digest})
			if op.kind == configOperation && op.node == m.node.Name && isAccepted {
				actions = append(actions, RequestDone{RequestID: requestID, Outcome: Committed, Register: r})
			}
		}
	case ReadRequest:
		if sim.bugs.readsLocally {
			r, _ := m.replica.Accepted(e.Register)
			actions = append(actions, RequestDone{RequestID: e.RequestID, Outcome: Committed, Register: r})
		}
	case Shutdown:
		if sim.bugs.skipsHandover {
			actions = append(actions, HandedOver{})
		}
	}
	return actions
}

// write writes a record to disk, after the earlier ones.
func (sim *simulation) write(i int, p Persist) {
	m := sim.machines[i]
	failed := m.diskFull || m.diskFlaky && sim.rand.IntN(2) == 0
	written := !failed || m.diskFlaky && sim.rand.IntN(3) == 0
	persisted := Persisted{Seq: p.Seq}
	if failed {
		persisted.Err = errors.New("input/output error")
	}
	id, incarnation := m.storeID, m.incarnation
	// A value may be accepted and superseded before its record is written. The later record confirms that vote too.
	var votes []rpc.PaxosMessage
	for _, v := range m.replica.writes[p.Seq].answers {
		if v.answer.Kind == rpc.Accepted && v.answer.Register != epochRegister {
			votes = append(votes, v.answer)
		}
	}
	write := &diskWrite{apply: func() {
		if !written {
			return
		}
		if p.Value == nil {
			delete(m.records, p.Record)
			return
		}
		m.records[p.Record] = p.Value
		sim.onRecordWritten(i, id, p)
		for _, v := range votes {
			if record := sim.ballots[v.Register][v.Ballot]; record != nil {
				record.addAcceptor(id, v.Ballot.Round>>epochShift)
			}
		}
	}}
	if sim.bugs.confirmsUnsyncedWrites {
		sim.schedule(0, func() {
			if m.incarnation == incarnation {
				sim.step(i, persisted)
			}
		})
	}
	finish := func() {
		if m.incarnation != incarnation {
			return
		}
		m.writes = m.writes[1:]
		write.done = true
		write.apply()
		if !sim.bugs.confirmsUnsyncedWrites {
			sim.step(i, persisted)
		}
	}
	m.writes = append(m.writes, write)
	if m.diskHung {
		m.heldWrites = append(m.heldWrites, finish)
		return
	}
	m.diskFreeAt = max(m.diskFreeAt, sim.now) + ms/2 + sim.randomDuration(8*ms) + sim.randomDuration(m.maxDiskDelay)
	sim.schedule(m.diskFreeAt-sim.now, func() {
		if m.incarnation == incarnation && m.diskHung {
			m.heldWrites = append(m.heldWrites, finish)
			return
		}
		finish()
	})
}

func (sim *simulation) resumeDisk(m *machine) {
	m.diskHung = false
	held := m.heldWrites
	m.heldWrites = nil
	for _, finish := range held {
		m.diskFreeAt = max(m.diskFreeAt, sim.now) + ms/2 + sim.randomDuration(4*ms)
		sim.schedule(m.diskFreeAt-sim.now, finish)
	}
}

// onRecordWritten records the epoch or the vote in a record that is now on disk.
func (sim *simulation) onRecordWritten(i int, id string, p Persist) {
	register, ok := strings.CutPrefix(p.Record, recordRegisterPrefix)
	switch {
	case p.Record == recordEpoch:
		if e, err := decodeEpoch(p.Value); err == nil {
			sim.storedEpochs[id] = max(sim.storedEpochs[id], e.Number)
		}
	case ok && register != epochRegister:
		var record registerRecord
		if err := cbor.Unmarshal(p.Value, &record); err != nil {
			sim.failf("%v", err)
		}
		if record.Accepted != (BallotNumber{}) {
			sim.recordVote(register, id, record.EpochNumber, record)
			sim.recordVote(register, id, sim.machines[i].epoch, record)
		}
	}
}

func (sim *simulation) checkEpochEntered(i int, e Epoch) {
	m := sim.machines[i]
	sim.log(
		"%v %s enters epoch %d: old voters %v, voters %v",
		sim.now,
		m.node.Name,
		e.Number,
		voterNames(e.OldVoters),
		voterNames(e.Voters),
	)
	if e.Number <= m.epoch {
		sim.failf("%s enters epoch %d after epoch %d", m.node.Name, e.Number, m.epoch)
	}
	if existing, known := sim.epochs[e.Number]; known && !bytes.Equal(encodeEpoch(existing), encodeEpoch(e)) {
		sim.failf(
			"two epochs have number %d: %v to %v, and %v to %v",
			e.Number,
			voterNames(existing.OldVoters),
			voterNames(existing.Voters),
			voterNames(e.OldVoters),
			voterNames(e.Voters),
		)
	}
	sim.epochs[e.Number] = e
	m.epoch = e.Number
	sim.recordStoredVotes(i, e.Number)
}

func voterNames(voters []Voter) (all []string) {
	for _, v := range voters {
		all = append(all, v.Name+":"+v.StoreID)
	}
	return all
}

func (sim *simulation) checkCommitted(m *machine, r Register) {
	sim.log("%v %s commits %s %v", sim.now, m.node.Name, r.Name, r.Version)
	if !m.committed[r.Name].Less(r.Version) {
		sim.failf("%s reports %s %v as committed after %v", m.node.Name, r.Name, r.Version, m.committed[r.Name])
	}
	m.committed[r.Name] = r.Version
	if !sim.isChosen(r) {
		sim.logBallots(r)
		sim.failf("%s reports %s %v as committed, but it was not chosen", m.node.Name, r.Name, r.Version)
	}
	key := stateKey(r)
	if sim.committedAt[r.Name] == nil {
		sim.committedAt[r.Name] = map[string]time.Duration{}
	}
	if _, reported := sim.committedAt[r.Name][key]; !reported {
		sim.committedAt[r.Name][key] = sim.now
	}
}

// versionKeyBytes is the length of the version in a key of stateKey.
const versionKeyBytes = 41

// stateKey returns a key that orders the values of a register by version.
func stateKey(r Register) string {
	if r.Version == (Version{}) {
		return ""
	}
	return fmt.Sprintf("%020d/%020d/%s", r.Version.Number, r.Version.ID, r.Value)
}

func valueOfKey(key string) string { return key[versionKeyBytes+1:] }

func (sim *simulation) checkRequestDone(i int, done RequestDone) {
	m := sim.machines[i]
	op, pending := sim.pending[done.RequestID]
	if !pending {
		return
	}
	delete(sim.pending, done.RequestID)
	op.returnedAt, op.outcome, op.result = sim.now, done.Outcome, done.Register
	sim.log("%v %s responds to %v", sim.now, m.node.Name, op)
	if op.node != m.node.Name {
		sim.failf("%s responds to %v", m.node.Name, op)
	}
	switch {
	case done.Outcome == Aborted && sim.bugs.retriesAborted && op.kind == configOperation:
		sim.schedule(sim.randomDuration(time.Second), func() {
			change := ReplaceConfig(op.version, op.digest, []byte(op.value))
			sim.step(i, Propose{RequestID: 1 << 40, Register: op.register, Change: change})
		})
	case done.Outcome == Indeterminate || done.Outcome == Aborted:
		return
	case op.kind != readOperation:
		sim.lastCommitAt = sim.now
	}
	if done.Outcome == Aborted {
		return
	}
	sim.answered++
	if done.Version != (Version{}) && !sim.isChosen(done.Register) {
		sim.failf("%s responds to %v with a value that was not chosen", m.node.Name, op)
	}
	sim.checkAnswer(op)
}

// checkAnswer checks a response by itself. checkHistory checks all of them together.
func (sim *simulation) checkAnswer(op *operation) {
	switch op.kind {
	case configOperation:
		number := op.result.Version.Number
		same := number == op.version && string(op.result.Value) == op.value
		switch {
		case op.outcome == Committed && (number < op.version || number == op.version && !same):
			sim.failf("another value is confirmed under the version: %v", op)
		case op.outcome == Conflict && (number < op.version || same):
			sim.failf("a conflict is reported without another value of that version: %v", op)
		}
	case evacuationOperation:
		if op.outcome != Committed {
			sim.failf("an evacuation request is rejected: %v", op)
		}
	}
}

// checkHandedOver checks that each chosen value is durable without the disk of a process that has handed over.
func (sim *simulation) checkHandedOver(i int) {
	m := sim.machines[i]
	sim.log("%v %s has handed over", sim.now, m.node.Name)
	voters := sim.newestEpoch().Voters
	for name := range sim.ballots {
		var newest Register
		for _, record := range sim.ballots[name] {
			if newest.Version.Less(record.value.Version) && sim.isChosen(record.value) {
				newest = record.value
			}
		}
		if newest.Version == (Version{}) {
			continue
		}
		var own registerRecord
		if data := m.records[registerRecordName(name)]; data == nil || cbor.Unmarshal(data, &own) != nil ||
			own.Value.Version.Less(newest.Version) {
			continue // the disk has no copy
		}
		copies, others := 0, 0
		for _, v := range voters {
			if v.StoreID != m.storeID {
				others++
				copies += sim.copiesOn(v.StoreID, name, newest.Version)
			}
		}
		if copies < min(sim.maxFaults+1, others) {
			sim.failf("%s has handed over, and %s %v is on %d other disks", m.node.Name, name, newest.Version, copies)
		}
	}
	if m.onHandedOver != nil {
		m.onHandedOver()
	}
}

func (sim *simulation) newestEpoch() (newest Epoch) {
	for _, e := range sim.epochs {
		if e.Number > newest.Number {
			newest = e
		}
	}
	return newest
}

// copiesOn counts the copies of a value, or of a newer one, on the disk with an id. The disk counts for a while after
// it was wiped, because a process that hands over does not know of the loss yet.
func (sim *simulation) copiesOn(storeID, name string, version Version) (copies int) {
	for _, m := range sim.machines {
		records := m.records
		if m.lostStoreID == storeID && sim.now < m.lostAt+handoverInterval {
			records = m.lostRecords
		} else if m.storeID != storeID {
			continue
		}
		var record registerRecord
		data := records[registerRecordName(name)]
		if data != nil && cbor.Unmarshal(data, &record) == nil && !record.Value.Version.Less(version) {
			copies++
		}
	}
	return copies
}

// request sends a client's request to a node. It returns nil if the node is down.
func (sim *simulation) request(i int, op operation) *operation {
	m := sim.machines[i]
	if m.replica == nil {
		return nil
	}
	sim.lastRequestID++
	op.requestID, op.node, op.calledAt, op.returnedAt = sim.lastRequestID, m.node.Name, sim.now, forever
	switch op.kind {
	case readOperation:
		op.event = ReadRequest{op.requestID, op.register}
	case configOperation:
		apply := ReplaceConfig(op.version, op.digest, []byte(op.value))
		if sim.bugs.confirmsConflicts {
			apply = func(committed Register, age Age) (Register, Outcome) {
				next, _ := ReplaceConfig(op.version, op.digest, []byte(op.value))(committed, age)
				return next, Committed
			}
		}
		op.event = Propose{op.requestID, op.register, apply}
	case evacuationOperation:
		at := uint64(int64(sim.now/ms) + 1_700_000_000_000 + int64(m.clockSkew/ms))
		op.event = Propose{op.requestID, op.register, Evacuate(op.begin, op.id, retryWindow, at)}
	}
	recorded := &op
	sim.pending[op.requestID] = recorded
	sim.history = append(sim.history, recorded)
	sim.log(
		"%v %s receives request %d %c %s %d/%d begin %v id %x",
		sim.now,
		m.node.Name,
		op.requestID,
		op.kind,
		op.register,
		op.version,
		op.digest,
		op.begin,
		op.id,
	)
	sim.step(i, op.event)
	return recorded
}

func (sim *simulation) replaceConfig(i int, version, digest uint64) *operation {
	return sim.request(
		i,
		operation{
			kind:     configOperation,
			register: configRegister,
			version:  version,
			digest:   digest,
			value:    fmt.Sprintf("%d/%d", version, digest),
		},
	)
}

func (sim *simulation) read(i int, name string) *operation {
	return sim.request(i, operation{kind: readOperation, register: name})
}

func (sim *simulation) evacuate(i int, zone string, begin bool) {
	sim.request(i, operation{kind: evacuationOperation, register: zone, begin: begin, id: sim.rand.Uint64()})
}

// checkHistory checks that the requests of each register are linearizable. Each response returns a value that was
// committed at a time between the request and the response. Each value was produced by a request that may have been
// committed, at a time between that request and its response. Versions only increase. The check is exact because the
// values of a register are ordered by version.
func (sim *simulation) checkHistory() {
	names := map[string]bool{}
	for _, op := range sim.history {
		names[op.register] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		sim.checkRegister(name)
	}
}

// checkConflicts checks that for each rejected configuration another one was proposed with the same version, and that
// the rejected one was never committed. The other one may have been replaced before any response returned it.
func (sim *simulation) checkConflicts(name string) {
	for _, op := range sim.history {
		if op.register != name || op.outcome != Conflict || op.returnedAt == forever {
			continue
		}
		hasConflict := false
		for _, other := range sim.history {
			hasResult := other.returnedAt != forever && (other.outcome == Committed || other.outcome == Conflict)
			sameVersion := other.register == name && hasResult && other.result.Version.Number == op.version
			if sameVersion && string(other.result.Value) == op.value {
				sim.failf("rejected and also committed: %v, %v", op, other)
			}
			conflicts := other.kind == configOperation && other.version == op.version && other.value != op.value
			mayBeCommitted := other.calledAt <= op.returnedAt && (other.returnedAt == forever || other.outcome != Aborted)
			hasConflict = hasConflict || conflicts && mayBeCommitted
		}
		if !hasConflict {
			sim.failf("a conflict is reported, but no other value of that version can be committed: %v", op)
		}
	}
}

// checkAppliedEvacuations checks that each committed evacuation request was applied, or is a retry of one that was the
// last applied request at some time between this request and its response.
func (sim *simulation) checkAppliedEvacuations(name string) {
	type appliedRequest struct {
		begin        bool
		calledAt     time.Duration // the request was applied after this
		supersededAt time.Duration // the next request was applied before this
	}
	applied := map[uint64]*appliedRequest{}
	requests := map[uint64]*operation{}
	for _, op := range sim.history {
		if op.kind == evacuationOperation && op.register == name {
			requests[op.id] = op
		}
	}
	addObserved := func(value []byte, at time.Duration) {
		ids := parseEvacuations(value).ids
		for i, id := range ids {
			op := requests[id]
			if op == nil {
				sim.failf("%s includes the request %x, which no client sent", name, id)
				return
			}
			if applied[id] == nil {
				applied[id] = &appliedRequest{op.begin, op.calledAt, forever}
			}
			if i > 0 {
				superseded := applied[ids[i-1]]
				superseded.supersededAt = min(superseded.supersededAt, at)
			}
		}
	}
	for _, op := range sim.history {
		if op.register == name && op.returnedAt != forever && op.outcome == Committed {
			addObserved(op.result.Value, op.returnedAt)
		}
	}
	for key, at := range sim.committedAt[name] {
		addObserved([]byte(valueOfKey(key)), at)
	}
	for _, op := range sim.history {
		if op.kind != evacuationOperation || op.register != name || op.returnedAt == forever || op.outcome != Committed ||
			applied[op.id] != nil {
			continue
		}
		isRetry := false
		for _, other := range applied {
			wasLast := other.calledAt <= op.returnedAt && other.supersededAt >= op.calledAt
			isRetry = isRetry || other.begin == op.begin && wasLast
		}
		if !isRetry {
			sim.failf("confirmed, but neither applied nor a retry: %v", op)
		}
	}
}

type observedState struct {
	register        Register
	firstReportedAt time.Duration // the first response with it
	lastRequestedAt time.Duration // the last request whose response has it
}

// observedStates returns the values of a register that were returned or reported, by stateKey.
func (sim *simulation) observedStates(name string) map[string]*observedState {
	states := map[string]*observedState{"": {firstReportedAt: forever}}
	for _, op := range sim.history {
		if op.register != name || op.returnedAt == forever || op.outcome != Committed && op.outcome != Conflict {
			continue
		}
		key := stateKey(op.result)
		s := states[key]
		if s == nil {
			s = &observedState{register: op.result, firstReportedAt: forever}
			states[key] = s
		}
		s.firstReportedAt = min(s.firstReportedAt, op.returnedAt)
		s.lastRequestedAt = max(s.lastRequestedAt, op.calledAt)
	}
	for key, at := range sim.committedAt[name] {
		if s := states[key]; s != nil {
			s.firstReportedAt = min(s.firstReportedAt, at)
			continue
		}
		var version Version
		_, _ = fmt.Sscanf(key[:versionKeyBytes], "%020d/%020d", &version.Number, &version.ID)
		states[key] = &observedState{
			register:        Register{Name: name, Version: version, Value: []byte(valueOfKey(key))},
			firstReportedAt: at,
		}
	}
	return states
}

// checkRegister checks that the observed values of a register are linearizable.
func (sim *simulation) checkRegister(name string) {
	sim.checkConflicts(name)
	sim.checkAppliedEvacuations(name)
	states := sim.observedStates(name)
	var changedAt time.Duration
	var previous *observedState
	for _, key := range slices.Sorted(maps.Keys(states)) {
		s := states[key]
		if key == "" {
			previous = s
			continue
		}
		if previous.register.Version == s.register.Version {
			sim.failf(
				"%s has two values with version %v: %q, %q",
				name,
				s.register.Version,
				previous.register.Value,
				s.register.Value,
			)
			return
		}
		if name == configRegister && previous.register.Version.Number == s.register.Version.Number {
			sim.failf("two configurations have the same version: %q, %q", previous.register.Value, s.register.Value)
			return
		}
		earliest := max(changedAt, previous.lastRequestedAt)
		var isAborted bool
		changedAt, isAborted = sim.earliestChange(name, s.register, earliest)
		switch {
		case changedAt == forever && isAborted:
			sim.failf("%s has the value %q of an aborted request", name, s.register.Value)
			return
		case changedAt == forever:
			sim.failf(
				"no request can have committed %s %q after %v, when the previous value was still returned",
				name,
				s.register.Value,
				earliest,
			)
			return
		case changedAt > s.firstReportedAt:
			sim.failf(
				"%s %q is returned at %v: %q was returned to a later request of %v, or no request had committed it before %v",
				name,
				s.register.Value,
				s.firstReportedAt,
				previous.register.Value,
				previous.lastRequestedAt,
				changedAt,
			)
			return
		}
		if name != configRegister {
			sim.checkEvacuationSteps(name, previous, s)
		}
		previous = s
	}
}

// earliestChange returns the earliest time from a time on at which an operation can have committed a value, or forever.
// It also reports whether an aborted operation proposed the value.
func (sim *simulation) earliestChange(name string, v Register, from time.Duration) (at time.Duration, isAborted bool) {
	at = forever
	for _, op := range sim.history {
		if op.register != name || !op.produces(v) {
			continue
		}
		if op.returnedAt != forever && op.outcome == Aborted {
			isAborted = true
			continue
		}
		latest := op.returnedAt
		if op.outcome == Indeterminate {
			latest = forever
		}
		if t := max(from, op.calledAt); t <= latest {
			at = min(at, t)
		}
	}
	return at, isAborted
}

// produces reports whether a value is the one that the operation proposes.
func (op *operation) produces(v Register) bool {
	switch op.kind {
	case configOperation:
		return v.Version.Number == op.version && string(v.Value) == op.value
	case evacuationOperation:
		e := parseEvacuations(v.Value)
		return len(e.ids) > 0 && e.ids[len(e.ids)-1] == op.id && (e.last == lastBegan) == op.begin
	}
	return false
}

// checkEvacuationSteps checks that each request between two values of a zone that were observed in succession was
// applied once, and that retries were not applied.
func (sim *simulation) checkEvacuationSteps(name string, from, to *observedState) {
	old, current := parseEvacuations(from.register.Value), parseEvacuations(to.register.Value)
	wantOpen, oldIDs, currentIDs := old.open, old.ids, current.ids
	newIDs := currentIDs
	if len(oldIDs) > 0 {
		k := slices.Index(currentIDs, oldIDs[len(oldIDs)-1])
		if k < 0 {
			if len(currentIDs) < maxRememberedIDs {
				sim.failf("%s %q does not follow %q", name, to.register.Value, from.register.Value)
			}
			return // more requests lie between than are remembered
		}
		newIDs = currentIDs[k+1:]
	} else if len(currentIDs) == maxRememberedIDs {
		return
	}
	request := func(id uint64) *operation {
		for _, op := range sim.history {
			if op.kind == evacuationOperation && op.id == id {
				return op
			}
		}
		return nil
	}
	var previous *operation
	if len(oldIDs) > 0 {
		previous = request(oldIDs[len(oldIDs)-1])
	}
	for _, id := range newIDs {
		op := request(id)
		if op == nil || op.outcome == Aborted && op.returnedAt != forever {
			sim.failf("%s %q includes an aborted request: %v", name, to.register.Value, op)
			return
		}
		if op.begin {
			wantOpen++
		} else {
			wantOpen = max(wantOpen-1, 0)
		}
		isInWindow := previous != nil && op.returnedAt != forever && op.returnedAt-previous.calledAt < retryWindow
		if isInWindow && !sim.clocksSkewed && previous.begin == op.begin {
			sim.failf("%s: a retry is applied: %v, %v", name, previous, op)
			return
		}
		previous = op
	}
	if current.open != wantOpen {
		sim.failf("%s: %d evacuations are open in %q, not %d", name, current.open, to.register.Value, wantOpen)
	}
}
