// Package consensus settles the registers that hold the operator's word, and who votes on them. It does no I/O and reads
// no clock: Step takes what happened and returns what is to be done.
//
// Each register stands for itself: a value is chosen by ballots (package ballot; CASPaxos, Rystsov 2018), there is no
// log and no leader, and what an order means is a function from the value that holds to the next one. Who votes is a
// register too, decided anew for each epoch by the voters of the one before: disks, by their own ids. The first epoch
// is decided by the seeds. A word of another epoch, or of a disk that does not vote, counts for nothing.
//
//	accord.go    the events, the orders, a step
//	register.go  votes and ballots of a register, orders, reads
//	copies.go    what is chosen, who has it, what is missing
//	epoch.go     founding, changes of voters, learners, leaving
//	wish.go      who should vote
//	touch.go     contact with a majority
//	memory.go    records on the disk, those of older versions too
//	zones.go     what evacuations mean
package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

const (
	never       = -time.Hour
	diskAgain   = time.Second            // until a disk that failed is tried again
	finishAfter = 300 * time.Millisecond // what is accepted and not known to be chosen is finished by whoever has it
	tellAfter   = 100 * time.Millisecond // ... its ballot is told to all, who may find that enough have it
	turnGap     = 200 * time.Millisecond // ... one after the other
	sweepEvery  = 3 * time.Second        // what disks have is compared
	askAgain    = 200 * time.Millisecond // of those that have not answered
	readWithin  = 100 * time.Millisecond // a read whose answers differ becomes a ballot after this
	wantAgain   = 300 * time.Millisecond
	pauseLeast  = 8 * time.Millisecond // of a proposer that was outbid; a part of the chance that follows is its own
	pauseChance = 24 * time.Millisecond
	// WriteWithin is how long an order may take. Of one that was not decided by then nothing is known, unless it was
	// never offered to any disk.
	WriteWithin = 3 * time.Second
)

// BallotNumber and Register are as they are spoken of. A Register's BallotNumber orders its values; ballots have numbers of their own.
type (
	BallotNumber = rpc.BallotNumber
	Version      = rpc.Version
	Register     = rpc.Register
	Epoch        = rpc.Epoch
	Voter        = rpc.Voter
)

// Fate is what became of an order.
type Fate uint8

// Fates. Untaken: it is not taken and never will be. Unknown: it may be, or be taken later.
const (
	Unknown Fate = iota
	Taken
	Refused // another value stands under its number, for good
	Untaken
)

// Age is how long a value has held, by steady clocks. Where all who have it started after it, that is not Known, and Span is
// the least that it can be.
type Age struct {
	Span  time.Duration
	Known bool
}

// Apply is what an order means: the next value, of the one that holds, and the order's fate once that is chosen. A next
// value with the stamp of the one that holds changes nothing. It may be called again with another value.
type Apply func(holds Register, age Age) (next Register, fate Fate)

// Event is one of the structs below.
type Event any

// Change gives an order for a register. Done tells of it.
type Change struct {
	Token uint64
	Name  string
	Apply Apply
}

// Read asks for the value of a register that holds. Done tells it.
type Read struct {
	Token uint64
	Name  string
}

// Persisted answers a Persist.
type Persisted struct {
	Seq uint64
	Err error
}

// Met says that a controller said hello, and which disk it has. Up says so too, and that the line to it stands; Down that
// it broke.
type (
	Met struct {
		Who   rpc.Node
		Disk  string
		Blank bool
	}
	Up   Met
	Down struct{ Who string }
)

// Heard is what another controller said.
type Heard struct {
	Who     string
	Message *rpc.Message
}

// Leave says that this process is to end: it hands over, and orders Left.
type Leave struct{}

// Order is one of the structs below.
type Order any

// earlyVote is a question of a ballot that came before the epoch was on the disk.
type earlyVote struct {
	to   string
	era  uint64
	word rpc.PaxosMessage
}

const earlyMost = 256

// Persist asks for a record to be put on the disk; Persisted answers it. Records are put in their order.
type Persist struct {
	Seq    uint64
	Record string
	Value  []byte
}

// Send is for another controller.
type Send struct {
	To      string
	Message *rpc.Message
}

// InForce tells a value that has been chosen, in rising order for each register.
type InForce struct{ Register }

// Entered tells the newest epoch.
type Entered struct{ Epoch }

// Done ends a Change or a Read. Register is what holds, where it is known.
type Done struct {
	Token uint64
	Fate  Fate
	Register
}

// Left ends a Leave: nothing needs this process any more.
type Left struct{}

// Options make a Replica.
type Options struct {
	Me     rpc.Node
	Life   uint64 // of this process, drawn: it tells its ballots and its questions from those of others
	Faults int
	Seeds  []string // the addresses of controllers, as rpc.Node has them; founding is theirs
	Memory Memory   // what the disk has
	flaws  flaws
}

// flaws are planted by tests, which show that they would be seen; no program sets them.
type flaws struct {
	flat  bool // ballots are not ordered by their epochs
	apart bool // voters change without the joint epoch
}

type peer struct {
	rpc.Node
	disk    string
	blank   bool
	up      bool
	leaving bool
	seenAt  time.Duration           // the last answer to a question of ours
	upAt    time.Duration           // when its line stood
	has     map[string]BallotNumber // the ballots that its disk has accepted, as it said
	hasAt   time.Duration           // when it said all of it
}

// Replica is one controller's part.
type Replica struct {
	o        Options
	disk     string // the own disk's id
	blank    bool
	born     bool // ... and it is on the disk
	epoch    Epoch
	epochOn  uint64 // the number of the epoch that the disk has
	regs     map[string]*register
	peers    map[string]*peer
	orders   []Order
	now      time.Duration
	seq      uint64
	puts     map[uint64]put
	round    uint64
	reads    []*reading
	touch    touch
	sweptAt  time.Duration
	joinedAt time.Duration // the last new controller
	changed  time.Duration // the last change of the epoch
	wished   string        // the change of voters that is wished, and since when
	wishedAt time.Duration
	scan     *scan
	leaving  bool
	left     bool
	leaveAt  time.Duration
	handedAt time.Duration
	missing  []string

	early      []earlyVote   // questions that wait for the epoch to be on the disk
	birthAt    time.Duration // the last try to make the disk somebody; negative: none
	bearing    int           // of its records that are on their way
	bearFailed bool          // ... one of them failed
	epochPutAt time.Duration // the last answer to putting the epoch
}

// New makes a Replica of what its disk holds.
func New(o Options) *Replica {
	r := &Replica{o: o, disk: o.Memory.Disk, blank: o.Memory.Blank, born: o.Memory.Born, epoch: o.Memory.Epoch,
		regs: map[string]*register{}, peers: map[string]*peer{}, puts: map[uint64]put{},
		round: o.Life >> 1, sweptAt: never, touch: touch{at: never, pingAt: never}, birthAt: -1}
	if r.born {
		r.epochOn = r.epoch.Number
	}
	for name, a := range o.Memory.Acceptors {
		g := r.reg(name)
		g.acc = a
		g.disk, g.valueAt = a.Accepted, neverSeen
	}
	return r
}

// Epoch is the newest one that is known to be decided.
func (r *Replica) Epoch() Epoch { return r.epoch }

// Disk is the id of the own disk; Blank says that it may have forgotten that there is an epoch.
func (r *Replica) Disk() string { return r.disk }

// Blank is told in Hello.
func (r *Replica) Blank() bool { return r.blank && r.epoch.Number == 0 }

// Votes says whether the own disk does.
func (r *Replica) Votes() bool { return r.born && r.epoch.IsVoter(r.disk) }

// Newest is what this disk has accepted of a register, and whether that is known to be chosen.
func (r *Replica) Newest(name string) (Register, bool) {
	if g := r.regs[name]; g != nil {
		return g.acc.Value, g.chosen()
	}
	return Register{Name: name}, false
}

// InForce is the newest value of a register that is known to be chosen; false: none.
func (r *Replica) InForce(name string) (Register, bool) {
	g := r.regs[name]
	if g == nil || g.told == (Version{}) {
		return Register{Name: name}, false
	}
	return g.force, true
}

// Names are the registers that this disk has values of.
func (r *Replica) Names() []string {
	var names []string
	for name, g := range r.regs {
		if name != epochName && g.acc.Accepted != (BallotNumber{}) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Step takes what happened up to now, a steady time.
func (r *Replica) Step(now time.Duration, events ...Event) []Order {
	r.now, r.orders = now, nil
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		r.dropLate(r.regs[name])
	}
	for _, e := range events {
		r.hear(e)
	}
	r.tend()
	return r.orders
}

func (r *Replica) order(o Order) { r.orders = append(r.orders, o) }

// put is a record on its way to the disk, and what waits for it.
type put struct {
	register string       // whose state it is; else:
	epoch    uint64       // the number of the epoch that it is, or
	birth    bool         // one of those that make a disk somebody
	accepted BallotNumber // of the register: the ballot in it,
	era      uint64       // the epoch in which that was,
	waits    []waiting    // and what is said once it is there
}

func (r *Replica) persist(record string, value []byte, p put) {
	r.seq++
	r.puts[r.seq] = p
	r.order(Persist{r.seq, record, value})
}

func (r *Replica) persisted(e Persisted) {
	p, known := r.puts[e.Seq]
	if !known {
		return
	}
	delete(r.puts, e.Seq)
	switch {
	case p.birth:
		r.bearing--
		if r.bearFailed = r.bearFailed || e.Err != nil; r.bearing > 0 {
			break
		}
		if r.birthAt = r.now; !r.bearFailed {
			r.born, r.epochOn = true, max(r.epochOn, r.o.Memory.Epoch.Number)
			r.toAll(func() *rpc.Message { return r.all(0) })
		}
	case p.epoch > 0:
		if r.epochPutAt = r.now; e.Err == nil {
			r.epochOn = max(r.epochOn, p.epoch)
			early := r.early
			r.early = nil
			for _, v := range early {
				if v.era == r.epoch.Number {
					r.accept(v.to, r.reg(v.word.Register), &v.word)
				}
			}
		}
	case p.register != "":
		r.registerPut(p, e.Err)
	}
}

func (r *Replica) send(to string, m *rpc.Message) {
	if p := r.peers[to]; p != nil && p.up {
		m.EpochNumber, m.StoreID = r.epoch.Number, r.disk
		r.order(Send{to, m})
	}
}

// lines are the names of those to whom a line stands.
func (r *Replica) lines() []string {
	var names []string
	for name, p := range r.peers {
		if p.up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (r *Replica) toAll(make func() *rpc.Message) {
	for _, to := range r.lines() {
		r.send(to, make())
	}
}

func (r *Replica) hear(e Event) {
	switch e := e.(type) {
	case Persisted:
		r.persisted(e)
	case Met:
		r.met(e)
	case Up:
		r.upped(e)
	case Down:
		if p := r.peers[e.Who]; p != nil {
			p.up = false
		}
	case Heard:
		r.heard(e.Who, e.Message)
	case Change:
		r.change(e)
	case Read:
		r.reads = append(r.reads, &reading{token: e.Token, name: e.Name, began: r.now, askedAt: never,
			answers: map[string]BallotNumber{}})
	case Leave:
		r.leaving, r.leaveAt = true, r.now
		r.round++
		round := r.round
		r.toAll(func() *rpc.Message {
			return &rpc.Message{Consensus: rpc.Consensus{ShuttingDown: true, QueryState: true, QueryID: round}}
		})
	}
}

func (r *Replica) met(e Met) *peer {
	p := r.peers[e.Who.Name]
	if p == nil || p.disk != e.Disk {
		p = &peer{seenAt: r.now, has: map[string]BallotNumber{}, hasAt: never}
		r.peers[e.Who.Name], r.joinedAt = p, r.now
	}
	p.Node, p.disk, p.blank = e.Who, e.Disk, e.Blank
	return p
}

func (r *Replica) upped(e Up) {
	p := r.met(Met(e))
	p.up, p.upAt, p.leaving = true, r.now, false
	// It is asked too: what it said when this side did not know it yet was not heard.
	r.round++
	m := r.all(0)
	m.QueryState, m.QueryID = true, r.round
	if m.ShuttingDown = r.leaving; r.epoch.Number > 0 {
		m.Epoch = r.theEpoch()
	}
	r.send(e.Who.Name, m)
	r.touch.pingAt = never // its answer counts at once
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		if g := r.regs[name]; g.prop.Phase != paxos.Idle && r.counts(p) {
			r.resend(g, p)
		}
	}
}

// all tells what this disk has accepted. Guards against a disk that is nobody yet being counted on.
func (r *Replica) all(round uint64) *rpc.Message {
	if !r.born {
		return &rpc.Message{}
	}
	if r.epochOn < r.epoch.Number {
		// What it says of this epoch must not be forgotten over a loss of power: until the epoch is on the disk it
		// answers no question.
		round = 0
	}
	return &rpc.Message{Consensus: rpc.Consensus{AcceptedBallots: r.onDisk(), Complete: true, QueryID: round}}
}

func (r *Replica) theEpoch() *Epoch {
	e := r.epoch
	return &e
}

// counts says whether a peer's votes do in this epoch, or at its founding.
func (r *Replica) counts(p *peer) bool {
	if r.epoch.Number == 0 {
		return slices.Contains(r.o.Seeds, p.Address)
	}
	return r.epoch.IsVoter(p.disk)
}

func (r *Replica) heard(who string, m *rpc.Message) {
	p := r.peers[who]
	if p == nil {
		return // its first word on a line makes it known
	}
	if m.ShuttingDown {
		p.leaving = true
	}
	if m.Epoch != nil {
		r.enter(*m.Epoch)
	}
	switch {
	case m.Ping:
		r.send(who, &rpc.Message{Consensus: rpc.Consensus{Pong: true, QueryID: m.QueryID}})
	case m.QueryState:
		r.send(who, r.all(m.QueryID))
	}
	for _, name := range m.FetchRegisters {
		if g := r.regs[name]; g != nil && g.safe != (BallotNumber{}) && name != epochName {
			r.send(who, r.copied(g))
		}
	}
	// What is chosen is so in every epoch.
	r.hearChosen(p, m)
	if m.StoreID != p.disk {
		return // of the life before, whose disk is another
	}
	if m.EpochNumber < r.epoch.Number && (m.Paxos != nil || m.Pong || m.Ping || m.QueryState || m.Complete) {
		r.send(who, &rpc.Message{Consensus: rpc.Consensus{Epoch: r.theEpoch()}}) // it is behind, and its votes do not count
	}
	r.hearHas(p, m)
	if m.EpochNumber != r.epoch.Number {
		return
	}
	for i := range m.Paxos {
		r.vote(p, &m.Paxos[i])
	}
	if m.Pong {
		p.seenAt = r.now
		r.touch.answer(m.QueryID, p.disk)
	}
	if m.Complete && !m.QueryState && m.QueryID > 0 {
		for _, q := range r.reads {
			if q.round > 0 && m.QueryID >= q.round && m.QueryID <= r.round {
				q.answers[p.disk] = m.AcceptedBallots[q.name]
			}
		}
		if r.scan != nil && m.QueryID >= r.scan.round && m.QueryID <= r.round {
			r.scan.answers[p.disk] = m.AcceptedBallots
		}
	}
}

// tend does what time asks for.
func (r *Replica) tend() {
	r.touch.tend(r)
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		r.tendRegister(r.regs[name])
	}
	if r.now >= r.sweptAt+sweepEvery {
		r.sweptAt = r.now
		r.toAll(func() *rpc.Message { return r.all(0) })
	}
	r.reads = slices.DeleteFunc(r.reads, r.settleRead)
	r.tendEpoch()
	r.tendLeaving()
}

// Due is when Step wants to be called again, though nothing happened: at latest on the next tick.
func (r *Replica) Due() time.Duration {
	due := r.now + time.Hour
	at := func(t time.Duration) { // what is past already waits for something else than time
		if t > r.now {
			due = min(due, t)
		}
	}
	for _, g := range r.regs {
		if len(g.queue) > 0 && g.prop.Phase == paxos.Idle {
			at(g.againAt)
		}
		if !g.chosen() && g.acc.Accepted != (BallotNumber{}) && g.tells != g.disk {
			at(g.openAt + tellAfter)
		}
	}
	for _, q := range r.reads {
		at(q.began + readWithin)
		at(q.askedAt + askAgain)
	}
	return due
}
