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
	ms        = time.Millisecond
	tickEvery = 200 * ms        // as a controller calls Step though nothing happened
	catchUp   = 4 * time.Second // for so long after its return a machine still counts as lost
	within    = 4500 * ms       // of repetitions of an evacuation's order
	grace     = 5 * time.Second // of a process that is to end
	endless   = time.Duration(math.MaxInt64)
	charter   = "charter"
)

// flaws are planted in the driver, to show that the checks would see them.
type driverFlaws struct {
	lyingDisk     bool // it says that it has what a kill still loses
	keepsName     bool // a wiped disk still bears its id and its mark
	oldEras       bool // words are taken to be of the epoch of whoever hears them
	hasAll        bool // a disk without a vote says that it has all that is chosen
	leavesAtOnce  bool // a process ends without handing over
	confirmsTwice bool // a number is confirmed with other bytes
	readsItself   bool // a read is answered by the one that was asked alone
	tellsHalfDone bool // what a disk has accepted is told as chosen
	blankCounts   bool // a disk that was wiped is taken for one of the first start
	dropsPromises bool // what was promised is not on the disk
	takesLate     bool // an order that was given up is given again by the controller itself
	ackAtOne      bool // an order is acknowledged as soon as one disk has it
	code          injectedBugs
}

// line is what one process sends to another: in order, perhaps late, lost with the line, or still to come after it.
type line struct {
	queue   [][]byte
	last    time.Duration
	stalled int // arrivals while a cut holds them up
	dead    bool
}

type write struct {
	do   func()
	done bool
}

// machine has a disk, and a controller now and then.
type machine struct {
	who       rpc.Node
	seeds     []string // as its settings name them; nil: as those of all at the first start
	r         *Replica // nil: down
	first     bool     // its next start is the system's first
	came      bool     // it is there, or was
	gone      bool     // for good
	life      int
	startAt   time.Duration
	backAt    time.Duration
	records   map[string][]byte // what is safe on its disk, the mark too
	id        string            // of the disk, once a process runs
	writes    []*write          // under way, in their order; a kill keeps the first of them
	diskAt    time.Duration
	slowDisk  time.Duration
	badDisk   bool // a write may fail
	fullDisk  bool // each does
	hungDisk  bool // none ends
	held      []func()
	slowLine  time.Duration
	lines     map[int]*line
	frozen    bool
	backlog   []func()
	troubled  time.Duration // it counts as lost until then; endless: for now
	inForce   map[string]Version
	entered   uint64
	dueAt     time.Duration
	skew      time.Duration // of its clock
	leaving   bool
	lostID    string // the disk that was wiped last, what was on it, and when
	lost      map[string][]byte
	lostAt    time.Duration
	leftToEnd func() // what follows once it has handed over, or grace is over
}

// operation is one call of an operator.
type operation struct {
	token           uint64
	kind            byte // 'r'ead, 'c'onfiguration, 'e'vacuation
	name            string
	at              string // whom it was asked
	version, digest uint64
	value           string
	begins          bool
	ident           uint64
	call, ret       time.Duration // ret: endless, while it has no answer
	fate            Outcome
	got             Register
	event           Event
}

func (o *operation) String() string {
	return fmt.Sprintf(
		"#%d %c %s %d/%d %v %x at %s [%v %v] fate %d: %v",
		o.token,
		o.kind,
		o.name,
		o.version,
		o.digest,
		o.begins,
		o.ident,
		o.at,
		o.call,
		o.ret,
		o.fate,
		o.got.Version,
	)
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any) {
	*a = append(*a, x.(happening)) //nolint:forcetypeassert // heap.Push is given no other
}
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fact is what disks were seen to have of one ballot.
type fact struct {
	value Register
	had   map[uint64]map[string]bool // by epoch: disks that had accepted it while they were in that
}

// world runs Replicas in a simulated time, and checks what they say against the disks.
type world struct {
	rand      *rand.Rand
	flaws     driverFlaws
	log       func(format string, v ...any)
	trace     func(i int, o Action) // each order, before it is carried out; nil: none
	now       time.Duration
	seq       int
	agenda    agenda
	machines  []*machine
	seeds     []string
	faults    int
	blocked   map[[2]int]bool // words from the first to the second are held up
	token     uint64
	asked     map[uint64]*operation
	history   []*operation
	epochs    map[uint64]Epoch
	facts     map[string]map[BallotNumber]*fact // by register
	epochOn   map[string]uint64                 // by disk: the number of the epoch that it has
	told      map[string]map[string]time.Duration
	skewed    bool
	version   uint64
	fault     string
	unchecked bool // its checks are of one system, and here are two
	done      int
	orders    int // so many were handled
	killAt    int // the machine whose order has this number is killed before it is handled; 0: none
	killed    func(i int)
	taken     time.Duration // the last time that an order was acknowledged
	blockage  time.Duration // the longest without
	drawn     int
}

func newWorld(seed uint64, n, faults int, f driverFlaws, log func(string, ...any)) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), flaws: f, log: log, faults: faults, blocked: map[[2]int]bool{},
		asked: map[uint64]*operation{}, epochs: map[uint64]Epoch{}, facts: map[string]map[BallotNumber]*fact{},
		epochOn: map[string]uint64{}, told: map[string]map[string]time.Duration{}}
	for range n {
		w.add(true)
	}
	for _, m := range w.machines[:min(n, 3)] {
		w.seeds = append(w.seeds, m.who.Address)
	}
	for i := range w.machines {
		w.after(w.upTo(300*ms), func() { w.start(i) })
	}
	return w
}

func (w *world) add(first bool) int {
	i := len(w.machines)
	m := &machine{
		who:     rpc.Node{Name: fmt.Sprint("c", i), Zone: string(rune('a' + i%3)), Address: fmt.Sprintf("10.0.0.%d:7000", i)},
		first:   first,
		records: map[string][]byte{},
		lines:   map[int]*line{},
	}
	w.machines = append(w.machines, m)
	return i
}

func (w *world) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rand.Int64N(int64(d)))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{w.now + d, w.seq, do})
}

func (w *world) failf(format string, v ...any) {
	if w.fault == "" && !w.unchecked {
		w.fault = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, v...)
		w.log("FAULT %s", w.fault)
	}
}

// run plays until an instant, or the first fault.
func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until && w.fault == "" {
		h := heap.Pop(&w.agenda).(happening) //nolint:forcetypeassert // holds nothing else
		w.now = h.at
		h.do()
	}
	w.now = max(w.now, until)
}

func (w *world) start(i int) {
	m := w.machines[i]
	if m.gone || m.r != nil {
		return
	}
	w.drawn++
	_, known := m.records[recordComplete]
	records := maps.Clone(m.records)
	delete(records, recordComplete)
	first := m.first && len(records) == 0 || w.flaws.blankCounts
	m.first = false
	memory, err := LoadState(m.who.Name, records, known, first, fmt.Sprint("d", w.drawn))
	if err != nil {
		w.failf("%s: %v", m.who.Name, err)
		return
	}
	if w.flaws.dropsPromises {
		for name, a := range memory.Acceptors {
			memory.Acceptors[name] = paxos.Acceptor[Register]{Promised: a.Accepted, Accepted: a.Accepted, Value: a.Value}
		}
	}
	m.life++
	m.came = true
	m.lines, m.inForce, m.writes, m.held = map[int]*line{}, map[string]Version{}, nil, nil
	m.diskAt, m.startAt, m.backAt, m.entered, m.dueAt = w.now, w.now, w.now, memory.Epoch.Number, endless
	m.frozen, m.backlog, m.leaving = false, nil, false
	m.id = memory.StoreID
	m.r = New(
		Options{
			Self:        m.who,
			Incarnation: w.rand.Uint64() | 1,
			MaxFaults:   w.faults,
			Seeds:       w.seedsOf(m),
			State:       memory,
			bugs:        w.flaws.code,
		},
	)
	w.log(
		"%v %s starts: disk %s blank %v born %v epoch %d, has %v",
		w.now,
		m.who.Name,
		m.id,
		memory.MayHaveLostState,
		memory.Identified,
		memory.Epoch.Number,
		m.r.RegisterNames(),
	)
	w.seen(i, memory.Epoch.Number)
	life := m.life
	var tick func()
	tick = func() {
		if m.life == life {
			w.step(i)
			w.after(tickEvery, tick)
		}
	}
	w.after(w.upTo(tickEvery), tick)
	for j := range w.machines {
		if j != i {
			w.dial(i, j)
			w.dial(j, i)
		}
	}
}

func (w *world) seedsOf(m *machine) []string {
	if m.seeds != nil {
		return m.seeds
	}
	return w.seeds
}

// seen notes what the disk of a machine has as it comes to an epoch.
func (w *world) seen(i int, epoch uint64) {
	m := w.machines[i]
	for name, value := range m.records {
		if reg, is := strings.CutPrefix(name, recordRegisterPrefix); is && reg != epochRegister {
			var a registerRecord
			if cbor.Unmarshal(value, &a) == nil && a.Accepted != (BallotNumber{}) {
				w.had(reg, m.id, epoch, a)
			}
		}
	}
}

// fact is of one ballot and its value.
func (w *world) fact(name string, b BallotNumber, v Register) *fact {
	if w.facts[name] == nil {
		w.facts[name] = map[BallotNumber]*fact{}
	}
	f := w.facts[name][b]
	if f == nil {
		f = &fact{v, map[uint64]map[string]bool{}}
		w.facts[name][b] = f
	} else if f.value.Version != v.Version || !bytes.Equal(f.value.Value, v.Value) {
		w.failf("ballot %x of %s has two values: %q, %q", b, name, f.value.Value, v.Value)
	}
	return f
}

func (f *fact) on(id string, epoch uint64) {
	if f.had[epoch] == nil {
		f.had[epoch] = map[string]bool{}
	}
	f.had[epoch][id] = true
}

func (w *world) had(name, id string, epoch uint64, a registerRecord) {
	w.fact(name, a.Accepted, a.Value).on(id, epoch)
}

// chosen says whether a value was on enough disks at once under one ballot: in the ballot's epoch or in one after.
func (w *world) chosen(v Register) bool {
	for _, f := range w.facts[v.Name] {
		if f.value.Version != v.Version || !bytes.Equal(f.value.Value, v.Value) {
			continue
		}
		for n, ids := range f.had {
			if e, is := w.epochs[n]; is && e.IsDurable(w.faults, func(v Voter) bool { return ids[v.StoreID] }) {
				return true
			}
		}
	}
	return false
}

func (w *world) showFacts(v Register) {
	for b, f := range w.facts[v.Name] {
		if f.value.Version == v.Version {
			w.log("ballot %x of it: by epoch %v", b, f.had)
		}
	}
}

// dial brings up the line from i to j in a while, if it is down.
func (w *world) dial(i, j int) {
	m, o := w.machines[i], w.machines[j]
	life, other := m.life, o.life
	w.after(w.upTo(300*ms), func() {
		if m.r == nil || o.r == nil || m.life != life || o.life != other || m.lines[j] != nil {
			return
		}
		if m.frozen || o.frozen || w.blocked[[2]int{i, j}] || w.blocked[[2]int{j, i}] {
			w.dial(i, j)
			return
		}
		m.lines[j] = &line{}
		w.step(i, PeerConnected{
			Node:             o.who,
			StoreID:          o.r.StoreID(),
			MayHaveLostState: o.r.MayHaveLostState() && !w.flaws.blankCounts,
			Origin:           o.r.Origin(),
		})
	})
}

func (w *world) hangUp(i, j int) {
	m := w.machines[i]
	l := m.lines[j]
	if l == nil || m.r == nil {
		return
	}
	if w.rand.IntN(2) == 0 {
		l.dead = true // else what was sent still comes, late
	}
	delete(m.lines, j)
	w.step(i, PeerDisconnected{w.machines[j].who.Name})
	w.dial(i, j)
}

func (w *world) kill(i int, power bool) {
	m := w.machines[i]
	if m.r == nil {
		return
	}
	w.log("%v %s ends, power %v, %d writes under way", w.now, m.who.Name, power, len(m.writes))
	m.r = nil
	m.life++
	kept := 0
	for _, put := range m.writes[:w.rand.IntN(len(m.writes)+1)] {
		if kept++; !put.done {
			put.do()
		}
	}
	m.writes, m.held, m.frozen, m.backlog = nil, nil, false, nil
	for _, l := range m.lines {
		if power { // else what it has sent still comes
			l.dead = true
		}
	}
	for j, o := range w.machines {
		if l := o.lines[i]; l != nil && o.r != nil {
			l.dead = true
			w.after(w.upTo(50*ms), func() {
				if o.lines[i] == l {
					w.hangUp(j, i)
				}
			})
		}
	}
}

// wipe takes a machine's disk, and its process with it.
func (w *world) wipe(i int) {
	m := w.machines[i]
	w.kill(i, true)
	w.log("%v %s is wiped", w.now, m.who.Name)
	old := m.records
	m.records = map[string][]byte{}
	if w.flaws.keepsName && old[recordDisk] != nil {
		for _, name := range []string{recordDisk, recordEpoch, recordComplete} {
			if old[name] != nil {
				m.records[name] = old[name]
			}
		}
		return
	}
	m.lostID, m.lost, m.lostAt = m.id, old, w.now
	m.id = ""
}

// disk says whether a disk of that id is still somewhere.
func (w *world) disk(id string) bool {
	return slices.ContainsFunc(
		w.machines,
		func(m *machine) bool { return !m.gone && m.id == id && (m.r != nil || w.bears(m, id)) },
	)
}

// bears says whether the records of a machine that is down hold an id.
func (w *world) bears(m *machine, id string) bool {
	var d diskRecord
	_, known := m.records[recordComplete]
	if known && m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil {
		return d.ID == id
	}
	return strings.HasPrefix(id, "first:") && known
}

// mayLose says whether the system is to bear that the disk of a machine is lost now: of each epoch that may be in
// use no more are lost than are to be borne, and enough are left.
func (w *world) mayLose(i int) bool {
	if w.faults == 0 {
		return false
	}
	mine := w.machines[i].id
	newest := uint64(0)
	for n, e := range w.epochs {
		if n > newest && e.HasMajority(func(v Voter) bool { return w.epochOn[v.StoreID] >= n && w.disk(v.StoreID) }) {
			newest = n
		}
	}
	if newest == 0 { // enough of the disks that decide the founding are left
		rule := bootstrapRule{seeds: len(w.seeds), maxFaults: w.faults}
		sure, sureSeeds, lost := 0, 0, 1
		for _, m := range w.machines {
			var d diskRecord
			first := m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil && d.FirstStart &&
				m.records[recordComplete] != nil
			switch {
			case m == w.machines[i]:
			case m.frozen || m.r == nil && !m.gone || len(w.blocked) > 0:
				return false // it may hold a proposal that names this disk
			case !first:
				lost++
			default:
				sure++
				if slices.Contains(w.seeds, m.who.Address) {
					sureSeeds++
				}
			}
		}
		decides := sure >= w.faults+1
		if rule.seedsDecide() {
			decides = sureSeeds >= len(w.seeds)/2+1
		}
		if !decides || lost > w.faults {
			return false
		}
	}
	for _, e := range w.mayBe(newest) {
		if len(e.Voters) < 2*w.faults+1 {
			return false // fewer than what the faults to be borne ask for
		}
		for _, set := range [][]Voter{e.Voters, e.OldVoters} {
			lost := 0
			for _, v := range set {
				if v.StoreID == mine || !w.disk(v.StoreID) {
					lost++
				}
			}
			if lost > w.faults {
				return false
			}
		}
		left := func(v Voter) bool { return v.StoreID != mine && w.disk(v.StoreID) }
		if !e.HasMajority(left) || !e.IsDurable(w.faults, left) {
			return false
		}
	}
	return true
}

// mayBe are the epochs from one on that were decided, or may be yet: somebody has proposed or accepted them.
func (w *world) mayBe(from uint64) (all []Epoch) {
	for _, n := range slices.Sorted(maps.Keys(w.epochs)) {
		if n >= from {
			all = append(all, w.epochs[n])
		}
	}
	half := func(v Register) {
		if e, err := decodeEpoch(v.Value); err == nil && e.Number > from {
			all = append(all, e)
		}
	}
	for _, m := range w.machines {
		var a registerRecord
		if text := m.records[registerRecordName(epochRegister)]; text != nil && cbor.Unmarshal(text, &a) == nil {
			half(a.Value)
		}
		if m.r != nil && m.r.registers[epochRegister] != nil {
			g := m.r.registers[epochRegister]
			if half(g.acceptor.Value); g.proposal.Value != nil {
				half(*g.proposal.Value)
			}
		}
	}
	return all
}

func (w *world) latency(i, j int) time.Duration {
	return ms + w.upTo(10*ms) + w.upTo(w.machines[i].slowLine+w.machines[j].slowLine)
}

func (w *world) send(i int, o Send) {
	j := slices.IndexFunc(w.machines, func(m *machine) bool { return m.who.Name == o.To })
	l := w.machines[i].lines[j]
	if l == nil {
		return
	}
	m := o.Message
	if w.flaws.hasAll && m.Complete {
		r := w.machines[i].r
		if !r.IsVoter() ||
			len(r.epoch.OldVoters) > 0 &&
				!slices.ContainsFunc(r.epoch.OldVoters, func(v Voter) bool { return v.StoreID == r.storeID }) {
			all := maps.Clone(m.AcceptedBallots)
			for _, other := range w.machines {
				if other.r != nil && other.r.IsVoter() {
					for name, g := range other.r.registers {
						if name != epochRegister && all[name].Less(g.chosenBallot) {
							all[name] = g.chosenBallot
						}
					}
				}
			}
			m.AcceptedBallots = all
		}
	}
	for _, b := range m.Paxos {
		if b.Kind == rpc.Accept && b.Register != epochRegister {
			w.fact(b.Register, b.Ballot, *b.Value)
		}
		if b.Kind == rpc.Accept && b.Register == epochRegister {
			if e, err := decodeEpoch(b.Value.Value); err != nil || e.Number <= b.Ballot.Round>>epochShift {
				w.failf("%s offers epoch %d to follow epoch %d", w.machines[i].who.Name, e.Number, b.Ballot.Round>>epochShift)
			}
		}
	}
	if w.flaws.tellsHalfDone && m.AcceptedBallots != nil {
		m.ChosenBallots = m.AcceptedBallots
	}
	l.queue = append(l.queue, rpc.Encode(m))
	l.last = max(l.last, w.now+w.latency(i, j))
	life := w.machines[j].life
	w.after(l.last-w.now, func() { w.arrive(i, j, life, l) })
}

func (w *world) arrive(i, j, life int, l *line) {
	switch {
	case l.dead || w.machines[j].life != life:
	case w.blocked[[2]int{i, j}]:
		l.stalled++
	default:
		m := &rpc.Message{}
		if err := cbor.Unmarshal(l.queue[0], m); err != nil {
			w.failf("%v", err)
		}
		l.queue = l.queue[1:]
		if r := w.machines[j].r; w.flaws.oldEras && r != nil && m.EpochNumber > 0 && r.epoch.IsVoter(m.StoreID) {
			m.EpochNumber = r.epoch.Number
		}
		w.step(j, MessageReceived{w.machines[i].who.Name, m})
	}
}

// cut holds up words; a line across is told to be down some time later, if at all.
func (w *world) cut(across func(i, j int) bool) {
	clear(w.blocked)
	for i := range w.machines {
		for j := range w.machines {
			if i != j && across(i, j) {
				w.blocked[[2]int{i, j}] = true
			}
		}
	}
	for i, m := range w.machines {
		for _, j := range slices.Sorted(maps.Keys(m.lines)) {
			if l := m.lines[j]; w.blocked[[2]int{i, j}] || w.blocked[[2]int{j, i}] {
				w.after(200*ms+w.upTo(2800*ms), func() {
					if m.lines[j] == l && (w.blocked[[2]int{i, j}] || w.blocked[[2]int{j, i}]) {
						w.hangUp(i, j)
					}
				})
			}
		}
	}
}

func (w *world) cutOff(oneWay int, some ...int) {
	w.log("%v cut %v, way %d", w.now, some, oneWay)
	in := func(i int) bool { return slices.Contains(some, i) }
	w.cut(func(i, j int) bool {
		switch oneWay {
		case 1:
			return in(i) && !in(j)
		case 2:
			return in(j) && !in(i)
		}
		return in(i) != in(j)
	})
}

func (w *world) heal() {
	w.log("%v healed", w.now)
	clear(w.blocked)
	for i, m := range w.machines {
		for _, j := range slices.Sorted(maps.Keys(m.lines)) {
			l, life := m.lines[j], w.machines[j].life
			for range l.stalled {
				l.last = max(l.last, w.now+w.latency(i, j))
				w.after(l.last-w.now, func() { w.arrive(i, j, life, l) })
			}
			l.stalled = 0
		}
	}
}

func (w *world) freeze(i int, span time.Duration) {
	m := w.machines[i]
	if m.r == nil || m.frozen {
		return
	}
	w.log("%v %s is frozen for %v", w.now, m.who.Name, span)
	m.frozen = true
	life := m.life
	for j, o := range w.machines { // others give it up after a while, if at all
		if l := o.lines[i]; l != nil {
			w.after(500*ms+w.upTo(6*time.Second), func() {
				if m.life == life && m.frozen && o.lines[i] == l {
					w.hangUp(j, i)
				}
			})
		}
	}
	w.after(span, func() {
		if m.life == life {
			w.wake(i)
		}
	})
}

func (w *world) wake(i int) {
	m := w.machines[i]
	if !m.frozen {
		return
	}
	w.log("%v %s wakes", w.now, m.who.Name)
	m.frozen = false
	backlog := m.backlog
	m.backlog = nil
	if w.rand.IntN(2) == 0 {
		w.step(i)
	}
	life := m.life
	for _, do := range backlog {
		if m.life == life && w.fault == "" {
			do()
		}
	}
}

func (w *world) step(i int, events ...Event) {
	m := w.machines[i]
	if m.r == nil || w.fault != "" {
		return
	}
	if m.frozen {
		if len(events) > 0 {
			m.backlog = append(m.backlog, func() { w.step(i, events...) })
		}
		return
	}
	orders := m.r.Step(w.now-m.startAt, events...)
	for _, e := range events {
		orders = append(orders, w.spoil(m, e)...)
	}
	life := m.life
	if due := m.startAt + m.r.NextDeadline(); due < m.dueAt || m.dueAt <= w.now {
		m.dueAt = due
		if due < w.now+tickEvery {
			w.after(due-w.now, func() {
				if m.life == life && m.dueAt == due {
					w.step(i)
				}
			})
		}
	}
	for _, o := range orders {
		if m.life != life || w.fault != "" {
			return
		}
		if w.trace != nil {
			w.trace(i, o)
		}
		if w.orders++; w.orders == w.killAt {
			w.killed(i)
			return
		}
		switch o := o.(type) {
		case Persist:
			w.put(i, o)
		case Send:
			w.send(i, o)
		case ValueCommitted:
			w.checkInForce(m, o.Register)
		case EpochEntered:
			w.checkEntered(i, o.Epoch)
		case RequestDone:
			w.checkDone(i, o)
		case HandedOver:
			w.checkLeft(i, o)
		default:
			w.failf("%T is no order", o)
		}
	}
}

// spoil adds what the planted flaws would say.
func (w *world) spoil(m *machine, e Event) (orders []Action) {
	switch e := e.(type) {
	case Persisted:
		if !w.flaws.ackAtOne {
			break
		}
		for _, token := range slices.Sorted(maps.Keys(w.asked)) {
			q := w.asked[token]
			if r, _ := m.r.Accepted(
				q.name,
			); q.kind == 'c' && q.at == m.who.Name &&
				r.Version == (Version{Number: q.version, ID: q.digest}) {
				orders = append(orders, RequestDone{RequestID: token, Outcome: Committed, Register: r})
			}
		}
	case ReadRequest:
		if w.flaws.readsItself {
			r, _ := m.r.Accepted(e.Register)
			orders = append(orders, RequestDone{RequestID: e.RequestID, Outcome: Committed, Register: r})
		}
	case Shutdown:
		if w.flaws.leavesAtOnce {
			orders = append(orders, HandedOver{})
		}
	}
	return orders
}

// put has the disk take one record after the other.
func (w *world) put(i int, p Persist) {
	m := w.machines[i]
	failed := m.fullDisk || m.badDisk && w.rand.IntN(2) == 0
	kept := !failed || m.badDisk && w.rand.IntN(3) == 0
	done := Persisted{Seq: p.Seq}
	if failed {
		done.Err = errors.New("input/output error")
	}
	id, life := m.id, m.life
	// A ballot may be accepted and outbid before it is put: what is put then stands behind its vote too.
	var votes []rpc.PaxosMessage
	for _, v := range m.r.writes[p.Seq].answers {
		if v.answer.Kind == rpc.Accepted && v.answer.Register != epochRegister {
			votes = append(votes, v.answer)
		}
	}
	put := &write{do: func() {
		if !kept {
			return
		}
		if p.Value == nil {
			delete(m.records, p.Record)
			return
		}
		m.records[p.Record] = p.Value
		w.recorded(i, id, p)
		for _, v := range votes {
			if f := w.facts[v.Register][v.Ballot]; f != nil {
				f.on(id, v.Ballot.Round>>epochShift)
			}
		}
	}}
	if w.flaws.lyingDisk {
		w.after(0, func() {
			if m.life == life {
				w.step(i, done)
			}
		})
	}
	end := func() {
		if m.life != life {
			return
		}
		m.writes = m.writes[1:]
		put.done = true
		put.do()
		if !w.flaws.lyingDisk {
			w.step(i, done)
		}
	}
	m.writes = append(m.writes, put)
	if m.hungDisk {
		m.held = append(m.held, end)
		return
	}
	m.diskAt = max(m.diskAt, w.now) + ms/2 + w.upTo(8*ms) + w.upTo(m.slowDisk)
	w.after(m.diskAt-w.now, func() {
		if m.life == life && m.hungDisk {
			m.held = append(m.held, end)
			return
		}
		end()
	})
}

func (w *world) unhang(m *machine) {
	m.hungDisk = false
	held := m.held
	m.held = nil
	for _, end := range held {
		m.diskAt = max(m.diskAt, w.now) + ms/2 + w.upTo(4*ms)
		w.after(m.diskAt-w.now, end)
	}
}

// recorded takes down what a disk got.
func (w *world) recorded(i int, id string, p Persist) {
	reg, is := strings.CutPrefix(p.Record, recordRegisterPrefix)
	switch {
	case p.Record == recordEpoch:
		if e, err := decodeEpoch(p.Value); err == nil {
			w.epochOn[id] = max(w.epochOn[id], e.Number)
		}
	case is && reg != epochRegister:
		var a registerRecord
		if err := cbor.Unmarshal(p.Value, &a); err != nil {
			w.failf("%v", err)
		}
		if a.Accepted != (BallotNumber{}) {
			w.had(reg, id, a.EpochNumber, a)
			w.had(reg, id, w.machines[i].entered, a)
		}
	}
}

func (w *world) checkEntered(i int, e Epoch) {
	m := w.machines[i]
	w.log("%v %s enters epoch %d: old %v, voters %v", w.now, m.who.Name, e.Number, ids(e.OldVoters), ids(e.Voters))
	if e.Number <= m.entered {
		w.failf("%s enters epoch %d after %d", m.who.Name, e.Number, m.entered)
	}
	if was, there := w.epochs[e.Number]; there && !bytes.Equal(encodeEpoch(was), encodeEpoch(e)) {
		w.failf(
			"two epochs are number %d: %v %v and %v %v",
			e.Number,
			ids(was.OldVoters),
			ids(was.Voters),
			ids(e.OldVoters),
			ids(e.Voters),
		)
	}
	w.epochs[e.Number] = e
	m.entered = e.Number
	w.seen(i, e.Number)
}

func ids(voters []Voter) (all []string) {
	for _, v := range voters {
		all = append(all, v.Name+":"+v.StoreID)
	}
	return all
}

func (w *world) checkInForce(m *machine, r Register) {
	w.log("%v %s in force %s %v", w.now, m.who.Name, r.Name, r.Version)
	if !m.inForce[r.Name].Less(r.Version) {
		w.failf("%s tells %s %v to be in force after %v", m.who.Name, r.Name, r.Version, m.inForce[r.Name])
	}
	m.inForce[r.Name] = r.Version
	if !w.chosen(r) {
		w.showFacts(r)
		w.failf("%s tells %s %v to be in force: it was not chosen", m.who.Name, r.Name, r.Version)
	}
	key := stateKey(r)
	if w.told[r.Name] == nil {
		w.told[r.Name] = map[string]time.Duration{}
	}
	if _, was := w.told[r.Name][key]; !was {
		w.told[r.Name][key] = w.now
	}
}

func stateKey(r Register) string {
	if r.Version == (Version{}) {
		return ""
	}
	return fmt.Sprintf("%020d/%020d/%s", r.Version.Number, r.Version.ID, r.Value)
}

func (w *world) checkDone(i int, d RequestDone) {
	m := w.machines[i]
	q, asked := w.asked[d.RequestID]
	if !asked {
		return
	}
	delete(w.asked, d.RequestID)
	q.ret, q.fate, q.got = w.now, d.Outcome, d.Register
	w.log("%v %s done %v", w.now, m.who.Name, q)
	if q.at != m.who.Name {
		w.failf("%s answers %v", m.who.Name, q)
	}
	switch {
	case d.Outcome == Aborted && w.flaws.takesLate && q.kind == 'c':
		w.after(w.upTo(time.Second), func() {
			w.step(i, Propose{RequestID: 1 << 40, Register: q.name, Change: ReplaceConfig(q.version, q.digest, []byte(q.value))})
		})
	case d.Outcome == Indeterminate || d.Outcome == Aborted:
		return
	case q.kind != 'r':
		w.taken = w.now
	}
	if d.Outcome == Aborted {
		return
	}
	w.done++
	if d.Version != (Version{}) && !w.chosen(d.Register) {
		w.failf("%s answers %v: its value was not chosen", m.who.Name, q)
	}
	w.checkAnswer(q)
}

// checkAnswer looks at one answer alone; checkHistory looks at all.
func (w *world) checkAnswer(q *operation) {
	switch q.kind {
	case 'c':
		same := q.got.Version.Number == q.version && string(q.got.Value) == q.value
		switch {
		case q.fate == Committed && (q.got.Version.Number < q.version || q.got.Version.Number == q.version && !same):
			w.failf("a number is confirmed with other bytes: %v", q)
		case q.fate == Conflict && (q.got.Version.Number < q.version || same):
			w.failf("refused though nothing else has its number: %v", q)
		}
	case 'e':
		if q.fate != Committed {
			w.failf("an evacuation's order is never refused: %v", q)
		}
	}
}

// checkLeft: nothing that is chosen needs the disk of one that leaves.
func (w *world) checkLeft(i int, o HandedOver) {
	m := w.machines[i]
	w.log("%v %s has left", w.now, m.who.Name)
	var newest Epoch
	for _, e := range w.epochs {
		if e.Number > newest.Number {
			newest = e
		}
	}
	for name := range w.facts {
		var top Register
		for _, f := range w.facts[name] {
			if top.Version.Less(f.value.Version) && w.chosen(f.value) {
				top = f.value
			}
		}
		if top.Version == (Version{}) {
			continue
		}
		var mine registerRecord
		if text := m.records[registerRecordName(name)]; text == nil || cbor.Unmarshal(text, &mine) != nil ||
			mine.Value.Version.Less(top.Version) {
			continue // it has no copy
		}
		on, others := 0, 0
		for _, v := range newest.Voters {
			if v.StoreID == m.id {
				continue
			}
			others++
			for _, o := range w.machines {
				var a registerRecord
				records := o.records
				if o.lostID == v.StoreID && w.now < o.lostAt+handoverInterval { // one that leaves can't know yet
					records = o.lost
				} else if o.id != v.StoreID {
					continue
				}
				if records[registerRecordName(name)] != nil && cbor.Unmarshal(records[registerRecordName(name)], &a) == nil &&
					!a.Value.Version.Less(top.Version) {
					on++
				}
			}
		}
		if on < min(w.faults+1, others) {
			w.failf("%s leaves, and %s %v is on %d other disks", m.who.Name, name, top.Version, on)
		}
	}
	if m.leftToEnd != nil {
		m.leftToEnd()
	}
}

// ask gives an operator's call to a controller.
func (w *world) ask(i int, q operation) *operation {
	m := w.machines[i]
	if m.r == nil {
		return nil
	}
	w.token++
	q.token, q.at, q.call, q.ret = w.token, m.who.Name, w.now, endless
	switch q.kind {
	case 'r':
		q.event = ReadRequest{q.token, q.name}
	case 'c':
		apply := ReplaceConfig(q.version, q.digest, []byte(q.value))
		if w.flaws.confirmsTwice {
			apply = func(holds Register, age Age) (Register, Outcome) {
				next, _ := ReplaceConfig(q.version, q.digest, []byte(q.value))(holds, age)
				return next, Committed
			}
		}
		q.event = Propose{q.token, q.name, apply}
	case 'e':
		at := uint64(int64(w.now/ms) + 1_700_000_000_000 + int64(m.skew/ms))
		q.event = Propose{q.token, q.name, Evacuate(q.begins, q.ident, within, at)}
	}
	o := &q
	w.asked[q.token] = o
	w.history = append(w.history, o)
	w.log(
		"%v %s asked #%d %c %s %d/%d %v %x",
		w.now,
		m.who.Name,
		q.token,
		q.kind,
		q.name,
		q.version,
		q.digest,
		q.begins,
		q.ident,
	)
	w.step(i, q.event)
	return o
}

func (w *world) configuration(i int, version, digest uint64) *operation {
	return w.ask(
		i,
		operation{kind: 'c', name: charter, version: version, digest: digest, value: fmt.Sprintf("%d/%d", version, digest)},
	)
}

func (w *world) read(i int, name string) *operation {
	return w.ask(i, operation{kind: 'r', name: name})
}

func (w *world) evacuate(i int, zone string, begins bool) {
	w.ask(i, operation{kind: 'e', name: zone, begins: begins, ident: w.rand.Uint64()})
}

// checkHistory: each register's calls and answers fit one order of changes: each answer tells a state that held
// between its call and its return, each state was made by a call that may have been taken, at an instant between
// that call and its return; states only rise. It is exact for these registers, whose states are ordered by their
// stamps.
func (w *world) checkHistory() {
	names := map[string]bool{}
	for _, q := range w.history {
		names[q.name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		w.checkRegister(name)
	}
}

// checkRefused: another value was asked for under the number of what was refused (it may have been followed at
// once), and what was refused never held.
func (w *world) checkRefused(name string) {
	for _, q := range w.history {
		if q.name != name || q.fate != Conflict || q.ret == endless {
			continue
		}
		other := false
		for _, o := range w.history {
			same := o.name == name && o.ret != endless && (o.fate == Committed || o.fate == Conflict) &&
				o.got.Version.Number == q.version
			if same && string(o.got.Value) == q.value {
				w.failf("%v was refused, and %v", q, o)
			}
			other = other ||
				o.kind == 'c' && o.version == q.version && o.value != q.value && o.call <= q.ret &&
					(o.ret == endless || o.fate != Aborted)
		}
		if !other {
			w.failf("refused though nothing else can have its number: %v", q)
		}
	}
}

// checkCounted: an order of an evacuation that was taken is among those that count, or repeats one that was the last to
// count at some instant of its call.
func (w *world) checkCounted(name string) {
	type counted struct {
		begins bool
		call   time.Duration // it counts after this
		next   time.Duration // one that follows counts before this
	}
	chain := map[uint64]*counted{}
	calls := map[uint64]*operation{}
	for _, q := range w.history {
		if q.kind == 'e' && q.name == name {
			calls[q.ident] = q
		}
	}
	tells := func(value []byte, at time.Duration) {
		ids := parseEvacuations(value).ids
		for i, id := range ids {
			q := calls[id]
			if q == nil {
				w.failf("%s has an order that nobody gave: %x", name, id)
				return
			}
			if chain[id] == nil {
				chain[id] = &counted{q.begins, q.call, endless}
			}
			if i > 0 {
				chain[ids[i-1]].next = min(chain[ids[i-1]].next, at)
			}
		}
	}
	for _, q := range w.history {
		if q.name == name && q.ret != endless && q.fate == Committed {
			tells(q.got.Value, q.ret)
		}
	}
	for key, at := range w.told[name] {
		tells([]byte(key[42:]), at)
	}
	for _, q := range w.history {
		if q.kind != 'e' || q.name != name || q.ret == endless || q.fate != Committed || chain[q.ident] != nil {
			continue
		}
		repeats := false
		for _, c := range chain {
			repeats = repeats || c.begins == q.begins && c.call <= q.ret && c.next >= q.call
		}
		if !repeats {
			w.failf("an evacuation is confirmed that does not count, nor repeats one that does: %v", q)
		}
	}
}

type state struct {
	value    Register
	seenBy   time.Duration // first return that tells it
	asked    time.Duration // last call whose answer tells it
	observed bool
}

func (w *world) checkRegister(name string) {
	w.checkRefused(name)
	w.checkCounted(name)
	states := map[string]*state{"": {seenBy: endless}}
	for _, q := range w.history {
		if q.name != name || q.ret == endless || q.fate != Committed && q.fate != Conflict {
			continue
		}
		key := stateKey(q.got)
		s := states[key]
		if s == nil {
			s = &state{value: q.got, seenBy: endless}
			states[key] = s
		}
		s.observed = true
		s.seenBy, s.asked = min(s.seenBy, q.ret), max(s.asked, q.call)
	}
	for key, at := range w.told[name] {
		if s := states[key]; s != nil {
			s.seenBy = min(s.seenBy, at)
			continue
		}
		var hi, lo uint64
		var value string
		_, _ = fmt.Sscanf(key[:41], "%020d/%020d", &hi, &lo)
		value = key[42:]
		states[key] = &state{
			value:  Register{Name: name, Version: Version{Number: hi, ID: lo}, Value: []byte(value)},
			seenBy: at,
		}
	}
	keys := slices.Sorted(maps.Keys(states))
	var at time.Duration
	var before *state
	for _, key := range keys {
		s := states[key]
		if key == "" {
			before = s
			continue
		}
		if before.value.Version == s.value.Version {
			w.failf("%s has two values under %v: %q, %q", name, s.value.Version, before.value.Value, s.value.Value)
			return
		}
		if name == charter && before.value.Version.Number == s.value.Version.Number {
			w.failf("two configurations held under one number: %q, %q", before.value.Value, s.value.Value)
			return
		}
		base := max(at, before.asked)
		at = endless
		untaken := false
		for _, q := range w.history {
			if q.name != name || !q.makes(s.value) {
				continue
			}
			if q.ret != endless && q.fate == Aborted {
				untaken = true
				continue
			}
			end := q.ret
			if q.fate == Indeterminate {
				end = endless
			}
			if t := max(base, q.call); t <= end {
				at = min(at, t)
			}
		}
		switch {
		case at == endless && untaken:
			w.failf("%s holds %q, of a call that was said never to be taken", name, s.value.Value)
			return
		case at == endless:
			w.failf("no call can have made %s %q after %v, when what was before it was still told", name, s.value.Value, base)
			return
		case at > s.seenBy:
			w.failf(
				"%s %q is told at %v: after %q was told to a call of %v, or before any call made it (%v)",
				name,
				s.value.Value,
				s.seenBy,
				before.value.Value,
				before.asked,
				at,
			)
			return
		}
		if name != charter {
			w.checkSteps(name, before, s)
		}
		before = s
	}
}

// makes says whether a call is the one that sets a value.
func (o *operation) makes(v Register) bool {
	switch o.kind {
	case 'c':
		return v.Version.Number == o.version && string(v.Value) == o.value
	case 'e':
		e := parseEvacuations(v.Value)
		return len(e.ids) > 0 && e.ids[len(e.ids)-1] == o.ident && (e.last == lastBegan) == o.begins
	}
	return false
}

// checkSteps: from one state of a zone that was told to the next one each order counts once, and repetitions not at
// all.
func (w *world) checkSteps(name string, from, to *state) {
	old, current := parseEvacuations(from.value.Value), parseEvacuations(to.value.Value)
	n, was := old.open, old.ids
	m, now := current.open, current.ids
	next := now
	if len(was) > 0 {
		k := slices.Index(now, was[len(was)-1])
		if k < 0 {
			if len(now) < maxRememberedIDs {
				w.failf("%s %q does not follow from %q", name, to.value.Value, from.value.Value)
			}
			return // more steps than are kept lie between
		}
		next = now[k+1:]
	} else if len(now) == maxRememberedIDs {
		return
	}
	prior := func(id uint64) *operation {
		for _, q := range w.history {
			if q.kind == 'e' && q.ident == id {
				return q
			}
		}
		return nil
	}
	var before *operation
	if len(was) > 0 {
		before = prior(was[len(was)-1])
	}
	for _, id := range next {
		q := prior(id)
		if q == nil || q.fate == Aborted && q.ret != endless {
			w.failf("%s %q has an order that was never taken: %v", name, to.value.Value, q)
			return
		}
		if q.begins {
			n++
		} else {
			n = max(n-1, 0)
		}
		if before != nil && !w.skewed && before.begins == q.begins && q.ret != endless && q.ret-before.call < within {
			w.failf("%s: a repetition counts twice: %v, %v", name, before, q)
			return
		}
		before = q
	}
	if n != m {
		w.failf("%s: %d are open after %q, not %d", name, m, to.value.Value, n)
	}
}
