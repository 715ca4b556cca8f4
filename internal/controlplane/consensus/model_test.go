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

// The model runs the real Replicas, with a small number of things that may happen, in every order in which they
// may. Time stands still but for the moves that advance one process's clock. A message that is never delivered is
// lost.

// scope is what may happen.
type scope struct {
	name    string
	voters  int
	learner bool
	orders  []change // given at their controllers at any moment
	crashes int      // a process ends, and begins again with what was synced
	wipes   int      // ... with a new disk
	doubles int      // a message comes twice
	timers  int      // for each controller: its clock goes on by clockStep
	instant bool     // disks answer at once: their time is the network's then
	only    int      // who may crash or be wiped; -1: anybody
	joins   bool     // the learner is taken in as a voter, in the place of the last one
	most    int      // states; 0: all
	flaws   modelFlaws
}

type change struct {
	at              int
	version, digest uint64
}

const clockStep = time.Second

type modelFlaws struct {
	early         bool // a vote is said before it is synced
	keepsName     bool // a wiped disk still votes as who it was
	dropsPromises bool // a promise is not on the disk
	oldEras       bool // the epoch of a word is not looked at
	noJoint       bool // the new voters count alone at once
}

type modelNode struct {
	r       *Replica // never changed once here
	records map[string][]byte
	has     Version // of the charter's value among them
	writes  []Persist
	now     time.Duration
	timers  int
	key     xxh3.Uint128
}

type modelMessage struct {
	from, to int
	m        *rpc.Message
	key      xxh3.Uint128
}

type modelState struct {
	nodes   []*modelNode
	bag     []modelMessage // sorted by key
	given   uint
	crashes int
	wipes   int
	doubles int
	joined  bool
	lives   uint64
	// What was said: the newest value that was acknowledged or told, whatever follows must hold it.
	held   Register
	floors [4]Version // ... as each order was given
	epochs map[uint64][]byte
	newest Epoch
}

type model struct {
	scope
	states int // that were visited
	steps  int
	fault  string
	cut    bool
	buf    []byte
}

func controllerOf(i int) rpc.Node {
	return rpc.Node{Name: fmt.Sprint("c", i), Address: fmt.Sprint("a", i)}
}

func (m *model) less(a, b xxh3.Uint128) int {
	switch {
	case a.Hi != b.Hi && a.Hi < b.Hi, a.Hi == b.Hi && a.Lo < b.Lo:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// begin is a system that was founded, whose controllers are all in touch.
func (m *model) begin() *modelState {
	s := &modelState{crashes: m.crashes, wipes: m.wipes, doubles: m.doubles, epochs: map[uint64][]byte{}, lives: 100}
	first := Epoch{Number: 1}
	n := m.voters
	if m.learner {
		n++
	}
	for i := range m.voters {
		first.Voters = append(first.Voters, Voter{Node: controllerOf(i), StoreID: fmt.Sprint("d", i)})
	}
	s.epochs[1], s.newest = encodeEpoch(first), first
	for i := range n {
		records := map[string][]byte{
			recordDisk:     marshal(diskRecord{ID: fmt.Sprint("d", i), FirstStart: i < m.voters}),
			recordComplete: {1},
			recordEpoch:    encodeEpoch(first),
		}
		s.nodes = append(s.nodes, &modelNode{records: records, now: 10 * ms, timers: m.timers})
	}
	for i := range s.nodes {
		m.start(s, i, uint64(i+1))
	}
	for i := range s.nodes {
		m.lines(s, i)
	}
	for len(s.bag) > 0 && m.fault == "" { // all of that arrives
		w := s.bag[0]
		s.bag = slices.Delete(s.bag, 0, 1)
		m.step(s, w.to, MessageReceived{controllerOf(w.from).Name, w.m})
	}
	return s
}

// start begins a process with what its disk has.
func (m *model) start(s *modelState, i int, life uint64) {
	n := s.nodes[i]
	records := maps.Clone(n.records)
	_, known := records[recordComplete]
	delete(records, recordComplete)
	memory, err := LoadState(controllerOf(i).Name, records, known, false, fmt.Sprintf("d%d.%d", i, life))
	if err != nil {
		m.fault = err.Error()
		return
	}
	if m.flaws.dropsPromises {
		for name, a := range memory.Acceptors {
			memory.Acceptors[name] = paxos.Acceptor[Register]{Promised: a.Accepted, Accepted: a.Accepted, Value: a.Value}
		}
	}
	s.nodes[i] = &modelNode{
		records: n.records,
		has:     n.has,
		now:     n.now,
		timers:  n.timers,
		r: New(Options{Self: controllerOf(i), Incarnation: life << 20, MaxFaults: (m.voters - 1) / 2,
			Seeds: []string{"a0"}, State: memory,
			bugs: injectedBugs{noTurns: true}}), // time stands still here: one that waits would wait for ever
	}
}

// lines come up between one and all others.
func (m *model) lines(s *modelState, i int) {
	for j := range s.nodes {
		if j != i {
			m.step(s, i, PeerConnected{Node: controllerOf(j), StoreID: s.nodes[j].r.StoreID()})
			m.step(s, j, PeerConnected{Node: controllerOf(i), StoreID: s.nodes[i].r.StoreID()})
		}
	}
}

// step has one process take events; what it says and writes is on its way then.
func (m *model) step(s *modelState, i int, events ...Event) {
	m.run(s, i, func(r *Replica, now time.Duration) []Action { return r.Step(now, events...) })
}

func (m *model) run(s *modelState, i int, do func(*Replica, time.Duration) []Action) {
	if m.fault != "" {
		return
	}
	n := *s.nodes[i]
	n.r = n.r.clone()
	n.writes = slices.Clone(n.writes)
	s.nodes[i] = &n
	for queue := do(n.r, n.now); len(queue) > 0; {
		o := queue[0]
		queue = queue[1:]
		switch o := o.(type) {
		case Persist:
			if m.instant {
				n.records = maps.Clone(n.records)
				n.put(o)
			} else {
				n.writes = append(n.writes, o)
			}
			if m.flaws.early || m.instant {
				queue = append(queue, n.r.Step(n.now, Persisted{Seq: o.Seq})...)
			}
		case Send:
			m.send(s, i, o)
		case ValueCommitted:
			m.tells(s, i, "in force", o.Register)
		case RequestDone:
			m.done(s, i, o)
		case EpochEntered:
			text := encodeEpoch(o.Epoch)
			if was := s.epochs[o.Number]; was != nil && !bytes.Equal(was, text) {
				m.failf("two epochs are number %d", o.Number)
			}
			if s.epochs[o.Number] == nil {
				s.epochs = maps.Clone(s.epochs)
				s.epochs[o.Number] = text
				if o.Number > s.newest.Number {
					s.newest = o.Epoch
				}
			}
		}
	}
	n.r.actions = nil
	n.key = xxh3.Uint128{}
	if slices.ContainsFunc(s.bag, func(x modelMessage) bool { return x.to == i && n.r.deaf(x.m) }) {
		s.bag = slices.DeleteFunc(slices.Clone(s.bag), func(x modelMessage) bool { return x.to == i && n.r.deaf(x.m) })
	}
	m.check(s)
}

// deaf says of a message that it will change nothing, whenever it comes: an answer to a ballot that is over, or
// word that something is chosen that is known to be. Such ones are lost at once, so that fewer states differ by
// them alone.
func (r *Replica) deaf(w *rpc.Message) bool {
	if w.EpochNumber != r.epoch.Number || w.Epoch != nil || w.AcceptedBallots != nil || w.Complete || w.QueryState ||
		w.FetchRegisters != nil ||
		w.ChosenValues != nil ||
		w.ShuttingDown {
		return false
	}
	for name, b := range w.ChosenBallots {
		if g := r.registers[name]; g == nil || name == epochRegister || g.chosenBallot.Less(b) {
			return false
		}
	}
	for _, b := range w.Paxos {
		g := r.registers[b.Register]
		if g == nil || roundOf(b.Ballot) > g.round {
			return false
		}
		under := g.proposal.Phase != paxos.Idle && g.proposal.Ballot == b.Ballot
		switch b.Kind {
		case rpc.Promise:
			if under && g.proposal.Phase == paxos.Preparing {
				return false
			}
		case rpc.Accepted:
			if under {
				return false
			}
		case rpc.Preempted:
			if g.proposal.Phase != paxos.Idle && g.proposal.Ballot.Less(b.Ballot) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

func (m *model) failf(format string, v ...any) {
	if m.fault == "" {
		m.fault = fmt.Sprintf(format, v...)
	}
}

func (m *model) send(s *modelState, i int, o Send) {
	j := slices.IndexFunc(s.nodes, func(o2 *modelNode) bool { return o2.r.options.Self.Name == o.To })
	w := o.Message
	switch {
	case w.Ping: // touch is not what is looked at here: questions for it are answered at once
		m.step(s, j, MessageReceived{controllerOf(i).Name, w})
		return
	case w.Pong:
		if s.nodes[j].r.contact.pingedAt != endlessly {
			later := *s.nodes[j]
			later.r = later.r.clone()
			later.r.Step(later.now, MessageReceived{controllerOf(i).Name, w})
			s.nodes[j] = &later
		}
		return
	}
	m.put(s, i, j, w)
}

const endlessly = time.Duration(-1)

func (m *model) put(s *modelState, i, j int, w *rpc.Message) {
	if r := s.nodes[j].r; r.deaf(w) {
		return
	}
	x := modelMessage{from: i, to: j, m: w}
	m.buf = append(m.buf[:0], byte(i), byte(j))
	m.buf = append(m.buf, rpc.Encode(w)...)
	x.key = xxh3.Hash128(m.buf)
	at, _ := slices.BinarySearchFunc(s.bag, x, func(a, b modelMessage) int { return m.less(a.key, b.key) })
	s.bag = slices.Insert(slices.Clone(s.bag), at, x)
}

// tells: at most one value under a number, and never back.
func (m *model) tells(s *modelState, i int, how string, v Register) {
	switch {
	case v.Version == (Version{}) || v.Name != charter:
	case v.Version.Number == s.held.Version.Number && v.Version != s.held.Version:
		m.failf("c%d: %s %v, and %v was: two under one number", i, how, v.Version, s.held.Version)
	case s.held.Version.Less(v.Version):
		s.held = v
	}
}

func (m *model) done(s *modelState, i int, d RequestDone) {
	if d.RequestID == 0 || d.Outcome != Committed && d.Outcome != Conflict {
		return
	}
	o := m.orders[d.RequestID-1]
	same := d.Version == Version{Number: o.version, ID: o.digest}
	switch {
	case d.Outcome == Committed && (d.Version.Number < o.version || d.Version.Number == o.version && !same):
		m.failf("c%d: a number is confirmed with another value: %v for %v", i, d.Version, o)
	case d.Outcome == Conflict && (d.Version.Number < o.version || same):
		m.failf("c%d: %v is refused by %v", i, o, d.Version)
	}
	if floor := s.floors[d.RequestID-1]; d.Version.Less(floor) {
		m.failf("c%d: %v is answered with %v, though %v was told before", i, o, d.Version, floor)
	}
	m.tells(s, i, "taken", d.Register)
}

// check: no majority of those that vote in the newest epoch lacks what was told.
func (m *model) check(s *modelState) {
	if s.held.Version == (Version{}) || m.fault != "" {
		return
	}
	e := s.newest
	lack := map[string]bool{}
	for _, n := range s.nodes {
		lack[n.r.StoreID()] = n.has.Less(s.held.Version)
	}
	if e.HasMajority(func(v Voter) bool { return lack[v.StoreID] }) {
		m.failf("%v was told, and a majority of epoch %d has not got it on their disks", s.held.Version, e.Number)
	}
}

// key tells a state from others.
func (m *model) key(s *modelState) xxh3.Uint128 {
	for _, n := range s.nodes {
		if n.key != (xxh3.Uint128{}) {
			continue
		}
		b := n.r.key(m.buf[:0])
		for _, name := range slices.Sorted(maps.Keys(n.records)) {
			b = append(append(append(b, name...), 0), n.records[name]...)
		}
		b = append(b, 0xff, byte(n.timers))
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
	for _, x := range s.bag {
		k := x.key.Bytes()
		b = append(b, k[:]...)
	}
	b = append(b, 0xfe, byte(s.given), byte(s.crashes), byte(s.wipes), byte(s.doubles))
	if s.joined {
		b = append(b, 1)
	}
	for _, f := range s.floors {
		b = append(b, byte(f.Number), byte(f.ID))
	}
	b = fmt.Appendf(b, "%d/%d", s.held.Version.Number, s.held.Version.ID)
	m.buf = b
	return xxh3.Hash128(b)
}

// moves are what may happen next.
func (m *model) moves(s *modelState) (all []func(*modelState)) {
	for i, o := range m.orders {
		if s.given&(1<<i) == 0 {
			all = append(all, func(s *modelState) {
				s.given |= 1 << i
				s.floors[i] = s.held.Version
				value := fmt.Appendf(nil, "%d/%d", o.version, o.digest)
				m.step(s, o.at, Propose{uint64(i + 1), charter, ReplaceConfig(o.version, o.digest, value)})
			})
		}
	}
	if m.joins && !s.joined {
		all = append(all, func(s *modelState) {
			s.joined = true
			m.run(s, 0, func(r *Replica, now time.Duration) []Action {
				if r.now, r.actions = now, nil; r.epoch.Number != 1 {
					return nil // it has lost its disk
				}
				next := sortVoters(
					append(
						slices.Clone(r.epoch.Voters[:m.voters-1]),
						Voter{Node: controllerOf(m.voters), StoreID: fmt.Sprint("d", m.voters)},
					),
				)
				e := Epoch{Number: r.epoch.Number + 1, OldVoters: r.epoch.Voters, Voters: next}
				if m.flaws.noJoint {
					e.OldVoters = nil
				}
				r.proposeEpoch(e)
				return r.actions
			})
		})
	}
	for k := range s.bag {
		x := s.bag[k]
		if k > 0 && s.bag[k-1].key == x.key {
			continue
		}
		arrive := func(s *modelState) {
			w := x.m
			r := s.nodes[x.to].r
			if m.flaws.oldEras && w.EpochNumber > 0 && r.epoch.IsVoter(w.StoreID) {
				c := *w
				c.EpochNumber, w = r.epoch.Number, &c
			}
			m.step(s, x.to, MessageReceived{controllerOf(x.from).Name, w})
		}
		all = append(all, func(s *modelState) {
			s.bag = slices.Delete(slices.Clone(s.bag), k, k+1)
			arrive(s)
		})
		if s.doubles > 0 {
			all = append(all, func(s *modelState) {
				s.doubles--
				arrive(s)
			})
		}
	}
	for i, n := range s.nodes {
		if len(n.writes) > 0 {
			all = append(all, func(s *modelState) { m.sync(s, i) })
		}
		if n.timers > 0 {
			all = append(all, func(s *modelState) {
				c := *s.nodes[i]
				c.now += clockStep
				c.timers--
				s.nodes[i] = &c
				m.step(s, i)
			})
		}
		if s.crashes > 0 && (m.only < 0 || m.only == i) {
			all = append(all, func(s *modelState) {
				s.crashes--
				m.crash(s, i, false)
			})
		}
		if s.wipes > 0 && (m.only < 0 || m.only == i) {
			all = append(all, func(s *modelState) {
				s.wipes--
				m.crash(s, i, true)
			})
		}
	}
	return all
}

func (n *modelNode) put(p Persist) {
	if p.Value == nil {
		delete(n.records, p.Record)
	} else {
		n.records[p.Record] = p.Value
	}
	if p.Record == registerRecordName(charter) {
		n.read()
	}
}

func (n *modelNode) read() {
	var a registerRecord
	if text := n.records[registerRecordName(charter)]; text != nil {
		if err := cbor.Unmarshal(text, &a); err != nil {
			panic(err)
		}
	}
	n.has = a.Value.Version
}

// sync ends the first write of a disk.
func (m *model) sync(s *modelState, i int) {
	c := *s.nodes[i]
	p := c.writes[0]
	c.writes = slices.Delete(slices.Clone(c.writes), 0, 1)
	c.records = maps.Clone(c.records)
	c.put(p)
	s.nodes[i] = &c
	if m.flaws.early {
		c.key = xxh3.Uint128{}
		m.check(s)
		return
	}
	m.step(s, i, Persisted{Seq: p.Seq})
}

// crash ends a process: what was not synced is lost (what was, a move before has synced), and what is on its way to it.
func (m *model) crash(s *modelState, i int, wipe bool) {
	c := *s.nodes[i]
	c.writes = nil
	c.timers = 0
	if wipe {
		old := c.records
		c.records = map[string][]byte{}
		if m.flaws.keepsName {
			for _, name := range []string{recordDisk, recordEpoch, recordComplete} {
				c.records[name] = old[name]
			}
		}
	}
	c.read()
	s.nodes[i] = &c
	s.bag = slices.DeleteFunc(slices.Clone(s.bag), func(x modelMessage) bool { return x.to == i })
	s.lives++
	m.start(s, i, s.lives)
	for j := range s.nodes {
		if j != i {
			m.step(s, j, PeerDisconnected{controllerOf(i).Name})
		}
	}
	m.lines(s, i)
}

func (s *modelState) after(move func(*modelState)) *modelState {
	c := *s
	c.nodes = slices.Clone(s.nodes)
	move(&c)
	return &c
}

// explore visits all states, or the first of them.
func (m *model) explore(workers int) {
	x := &search[*modelState]{most: m.most, batch: 1}
	s := m.begin()
	x.run(workers, []*modelState{s}, []xxh3.Uint128{m.key(s)}, func() follower[*modelState] {
		w := &model{scope: m.scope}
		return func(states []*modelState) (next []*modelState, keys []xxh3.Uint128, fault string) {
			for _, move := range w.moves(states[0]) {
				n := states[0].after(move)
				next, keys = append(next, n), append(keys, w.key(n))
			}
			return next, keys, w.fault
		}
	})
	m.states, m.cut = len(x.visited), x.cut
	m.steps += x.steps
	if m.fault == "" {
		m.fault = x.fault
	}
}

// draw plays chance orders of the same moves.
func (m *model) draw(seed uint64, plays int) {
	random := rand.New(rand.NewPCG(seed, 3))
	begin := m.begin()
	for range plays {
		s := begin
		for range 400 {
			moves := m.moves(s)
			if len(moves) == 0 || m.fault != "" {
				break
			}
			s = s.after(moves[random.IntN(len(moves))])
			m.steps++
		}
	}
}

var (
	sameNumber = []change{{0, 5, 1}, {1, 5, 2}}
	oneThenTwo = []change{{0, 5, 1}, {1, 6, 2}}
	oneOrder   = []change{{0, 5, 1}}
)

func TestModelEveryInterleaving(t *testing.T) {
	t.Parallel()
	whole := []scope{
		{name: "2 voters, 2 orders under one number", voters: 2, orders: sameNumber},
		{
			name:    "2 voters, 1 order, 1 crash, 1 message doubled",
			voters:  2,
			orders:  oneOrder,
			crashes: 1,
			doubles: 1,
			only:    -1,
		},
		{name: "3 voters, 1 order", voters: 3, orders: oneOrder},
		{
			name:    "3 voters, 1 order, 1 message doubled, disks that answer at once",
			voters:  3,
			orders:  oneOrder,
			doubles: 1,
			instant: true,
		},
		{
			name:    "3 voters, 2 orders under one number, disks that answer at once",
			voters:  3,
			orders:  sameNumber,
			instant: true,
		},
	}
	most := 12000
	if raced { // CI plays the largest one without the race detector
		whole, most = whole[:len(whole)-1], 2000
	}
	for _, s := range whole {
		m := &model{scope: s}
		m.explore(runtime.GOMAXPROCS(0))
		t.Logf("%s: %d states, %d steps, all of them", m.name, m.states, m.steps)
		if m.fault != "" || m.cut {
			t.Errorf("%s: %s", m.name, m.fault)
		}
	}
	cut := []scope{
		{name: "3 voters, 2 orders under one number", voters: 3, orders: sameNumber},
		{
			name:    "3 voters, 2 orders under one number, 1 crash, disks that answer at once",
			voters:  3,
			orders:  sameNumber,
			crashes: 1,
			only:    -1,
			instant: true,
		},
		{
			name:    "3 voters, 1 learner, 1 order, 1 change of voters, disks that answer at once",
			voters:  3,
			learner: true,
			orders:  oneOrder,
			joins:   true,
			instant: true,
		},
		{
			name: "3 voters, 1 learner, 2 orders, 1 crash with or without its disk, 1 change of voters, 1 message " +
				"doubled, clocks that go on",
			voters:  3,
			learner: true,
			orders:  oneThenTwo,
			crashes: 1,
			wipes:   1,
			only:    -1,
			doubles: 1,
			timers:  1,
			joins:   true,
		},
	}
	lines := make([]string, len(cut))
	parallel(len(cut), func(k int) {
		m := &model{scope: cut[k]}
		m.most = most
		m.explore(1)
		states, steps := m.states, m.steps
		for seed := range uint64(8) {
			m.draw(seed, 25)
		}
		lines[k] = fmt.Sprintf(
			"%s: CUT after %d states and %d steps, there are more; then %d steps of drawn plays",
			m.name,
			states,
			steps,
			m.steps-steps,
		)
		if m.fault != "" || !m.cut {
			t.Errorf("%s: cut %v, %s", m.name, m.cut, m.fault)
		}
	})
	for _, l := range lines {
		t.Log(l)
	}
}

// The scope that CI cuts, as far as REGISTER_MODEL says, in states: for runs by hand, whose figures stand in
// docs/measured/core/.
func TestModelWholeScope(t *testing.T) {
	most, err := strconv.Atoi(os.Getenv("REGISTER_MODEL"))
	if err != nil {
		most = 3000
	}
	for _, s := range []scope{
		{
			name:   "3 voters, 1 learner, 1 order, 1 crash, 1 change of voters, disks that answer at once",
			voters: 3, learner: true, orders: oneOrder, crashes: 1, only: -1, joins: true, instant: true,
		},
		{
			name:   "3 voters, 1 learner, 2 orders, 1 crash, 1 change of voters, disks that answer at once",
			voters: 3, learner: true, orders: oneThenTwo, crashes: 1, only: -1, joins: true, instant: true,
		},
	} {
		m := &model{scope: s}
		m.most = most
		m.explore(runtime.GOMAXPROCS(0))
		t.Logf("%s: %d states, %d steps, cut %t", m.name, m.states, m.steps, m.cut)
		if m.fault != "" {
			t.Errorf("%s: %s", m.name, m.fault)
		}
	}
}

// The model sees what it is there for.
func TestModelSeesPlantedFlaws(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		scope
		says string
	}{
		"a vote is said before it is synced": {scope{
			voters:  3,
			orders:  oneOrder,
			crashes: 1,
			only:    -1,
			most:    20000,
			flaws:   modelFlaws{early: true},
		},
			"has not got it on their disks"},
		"a vote from a wiped disk": {scope{
			voters:  3,
			orders:  oneOrder,
			wipes:   1,
			only:    2,
			instant: true,
			most:    20000,
			flaws:   modelFlaws{keepsName: true},
		},
			"has not got it on their disks"},
		"two epochs that do not meet": {scope{
			voters:  3,
			learner: true,
			orders:  oneOrder,
			joins:   true,
			timers:  1,
			only:    -1,
			flaws:   modelFlaws{noJoint: true},
		},
			"has not got it on their disks"},
	} {
		t.Run(name, func(t *testing.T) {
			m := &model{scope: c.scope}
			if c.most > 0 {
				m.explore(1)
			}
			for seed := uint64(0); seed < 20 && m.fault == ""; seed++ {
				m.draw(seed, 50)
			}
			if !strings.Contains(m.fault, c.says) {
				t.Errorf("says %q", m.fault)
			}
			t.Logf("after %d steps: %s", m.steps, m.fault)
		})
	}
}
