package consensus

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
	startTime       = 1_700_000_000_000 // time of day at the start of a simulation, in ms since 1970
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
	diskFlaky    bool     // writes may fail
	diskFull     bool     // all writes fail
	diskHung     bool     // no write completes
	heldWrites   []func() // completions that wait until the disk resumes
	maxLinkDelay time.Duration
	links        map[int]*link
	paused       bool
	backlog      []func()           // events that wait until the process resumes
	faultyUntil  time.Duration      // forever: until the fault is ended
	committed    map[string]Version // reported by this process, by register
	epoch        uint64             // the last one that the process has entered
	deadline     time.Duration      // of the next scheduled step
	clockSkew    time.Duration      // of the time of day
	shuttingDown bool
	lostStoreID  string // of the disk that was wiped last
	lostRecords  map[string][]byte
	lostAt       time.Duration
	onHandedOver func() // nil: nothing follows
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
	pending        map[uint64]*operation // without a response, by request id
	history        []*operation
	epochs         map[uint64]Epoch                          // entered by a node, by number
	ballots        map[string]map[BallotNumber]*ballotRecord // by register
	storedEpochs   map[string]uint64                         // the number of the epoch on disk, by store id
	committedAt    map[string]map[string]time.Duration       // when a value was first reported, by register and stateKey
	clocksSkewed   bool
	lastVersion    uint64
	failure        string
	checksDisabled bool // the checks assume a single cluster
	answered       int  // requests with the outcome Committed or Conflict
	actionCount    int  // actions performed
	interruptAt    int  // the number of the action in place of which onInterrupt is called; 0: none
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

// addMachine adds a machine without a process, and returns its index.
func (sim *simulation) addMachine(firstStart bool) int {
	i := len(sim.machines)
	m := &machine{
		node: rpc.Node{
			Name:    fmt.Sprint("c", i),
			Zone:    string(rune('a' + i%3)),
			Address: fmt.Sprintf("10.0.0.%d:7000", i),
		},
		firstStart: firstStart,
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

// schedule runs a function after a delay.
func (sim *simulation) schedule(delay time.Duration, do func()) {
	sim.callbackSeq++
	heap.Push(&sim.callbacks, callback{sim.now + delay, sim.callbackSeq, do})
}

// failf ends the simulation with the failure of a check.
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

// start starts a machine's process with the records on disk.
func (sim *simulation) start(i int) {
	m := sim.machines[i]
	if m.removed || m.replica != nil {
		return
	}
	sim.lastStoreID++
	_, complete := m.records[recordsCompleteMarker]
	records := maps.Clone(m.records)
	delete(records, recordsCompleteMarker)
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

// kill ends a machine's process. Some of its writes in progress are applied. After a power loss, the messages that it
// has sent are lost.
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
			l.lost = true
		}
	}
	for j, peer := range sim.machines {
		if l := peer.links[i]; l != nil && peer.replica != nil {
			l.lost = true
			sim.schedule(sim.randomDuration(50*ms), func() {
				if peer.links[i] == l {
					sim.disconnect(j, i)
				}
			})
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

// resume ends a pause. The events that have waited are handled.
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

// step passes events to a machine's Replica, and performs its actions.
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
