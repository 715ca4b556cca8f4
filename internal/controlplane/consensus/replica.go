// Package consensus decides the registers that hold what operators order: the configuration, and which zones are
// evacuated. It also decides who votes on them.
//
// # Model
//
// A Replica is the state machine of one control-plane node. It does no I/O and reads no clock: Step is told what
// happened (Event) and returns what is to be done (Action). The caller writes records, sends messages, and calls
// Step again with the results, at the latest at NextDeadline. Equal calls give equal actions.
//
// Each register stands for itself. Its values are chosen by Paxos ballots (package paxos; CASPaxos, Rystsov 2018):
// there is no log and no leader, any node may propose at any time, and what a proposal means is a function from the
// committed value to the next one (ChangeFunc).
//
// Voters are disks, told apart by ids that are drawn when a disk is first written. Who votes is itself a register,
// decided anew for each Epoch by the voters of the epoch before. The first epoch is decided by the disks of the
// system's first start (bootstraprule.go). A change of voters goes through a joint epoch, in which a quorum needs both
// the old and the new voters (joint consensus, Ongaro 2014, 4.3).
//
// # Invariants
//
//   - A promise or a vote is on the disk before it is sent (acceptor.go): Persist comes first, the answer follows the
//     Persisted. This includes the epoch in which it is given.
//   - A message counts only if it was sent in the receiver's epoch, by a disk that votes in it. A sender that is behind
//     is told the newer epoch. What was chosen is so in every epoch, and counts from anybody.
//   - The ballots of a later epoch are above all ballots of earlier ones.
//   - A joint epoch ends only once every chosen value lies on enough disks of the new voters (joint.go).
//   - A disk that may have forgotten something is a new one: it gets a new id, learns all that is chosen, and is voted
//     in.
//   - Nothing is decided, read or reported as current without quorum contact (quorumcontact.go).
//
// # Files
//
//	events.go         events, actions, outcomes
//	replica.go        the Replica, Step, messages
//	persistence.go    writes under way
//	register.go       the state of one register
//	acceptor.go       the votes of this disk
//	proposer.go       requests and the ballots that this node begins
//	turns.go          when they begin, beside those of other nodes
//	reads.go          reads without a ballot
//	replication.go    which disks have accepted what, what is chosen, what is missing where
//	epochs.go         entering epochs, quorums, proposals for the next one
//	bootstrap.go      the first epoch
//	bootstraprule.go  which disks decide it
//	foreign.go        nodes of another system
//	joint.go          changes of voters
//	membership.go     who should vote
//	shutdown.go       handing over before the process ends
//	quorumcontact.go  contact with a majority
//	durablestate.go   records on the disk, those of older versions too
//	evacuations.go    what proposals of the control plane mean
//	status.go         the state for operators
package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// never is a time before all others.
const never = -time.Hour

// Options make a Replica.
type Options struct {
	Self        rpc.Node
	Incarnation uint64       // of this process, drawn at its start: no two proposers share ballot numbers or query ids
	MaxFaults   int          // machines that may be lost at once
	Seeds       []string     // the peer addresses of the seeds, as the settings name them now
	State       DurableState // what the disk holds
	bugs        injectedBugs
}

// injectedBugs are planted by tests, which show that they would be noticed; no program sets them.
type injectedBugs struct {
	unorderedEpochs bool // ballots are not ordered by their epochs
	noJointEpoch    bool // voters change without a joint epoch
	noTurns         bool // proposers do not wait for each other
	endlessTurns    bool // they never hear that another's ballot is over
}

// peer is another control-plane node.
type peer struct {
	rpc.Node
	storeID          string
	mayHaveLostState bool
	origin           rpc.Origin
	foundingID       uint64 // of the system that it belongs to, as it said last; 0: it did not say
	connected        bool
	shuttingDown     bool
	lastContact      time.Duration           // its last pong
	connectedAt      time.Duration           // when the connection to it came up
	accepted         map[string]BallotNumber // by register: what its disk has accepted, as it said in this epoch
	reportedAt       time.Duration           // when it last said all of it
}

// Replica is one node's part. It belongs to one goroutine. Times are durations since the process began.
type Replica struct {
	options          Options
	storeID          string     // of the own disk
	mayHaveLostState bool       // as in PeerIdentified
	identified       bool       // storeID is on the disk
	origin           rpc.Origin // of the own disk
	epoch            Epoch      // the newest that is known to be decided
	storedEpoch      uint64     // the number of the epoch on the disk
	registers        map[string]*register
	peers            map[string]*peer // by name
	reads            []*pendingRead
	contact          quorumContact

	now     time.Duration // of the current Step
	actions []Action      // of the current Step

	writeSeq uint64 // of the last Persist
	writes   map[uint64]pendingWrite
	deferred []deferredRequest // Paxos requests that wait for the epoch to be on the disk
	queryID  uint64            // of the last query or ping; only rises

	identityTriedAt time.Duration // the last attempt to write the disk's identity; negative: none
	identityWrites  int           // of its records that are under way
	identityFailed  bool          // one of them failed
	epochWrittenAt  time.Duration // the last attempt to write the epoch, or its answer

	reportedAt     time.Duration // the last report to all peers of what this disk has
	lastPeerAt     time.Duration // when the last new peer was identified
	epochChangedAt time.Duration
	desired        string // the change of voters that is to be proposed, as a key
	desiredAt      time.Duration
	jointScan      *stateScan // nil outside joint epochs

	shuttingDown      bool
	handedOver        bool
	shutdownAt        time.Duration
	handoverQueriedAt time.Duration
	notHandedOver     []string
}

// New makes a Replica of what its disk holds.
func New(o Options) *Replica {
	r := &Replica{
		options:          o,
		storeID:          o.State.StoreID,
		mayHaveLostState: o.State.MayHaveLostState,
		identified:       o.State.Identified,
		origin:           o.State.Origin,
		epoch:            o.State.Epoch,
		registers:        map[string]*register{},
		peers:            map[string]*peer{},
		writes:           map[uint64]pendingWrite{},
		queryID:          o.Incarnation >> 1,
		reportedAt:       never,
		contact:          quorumContact{confirmedAt: never, pingedAt: never},
		identityTriedAt:  -1,
	}
	if r.identified {
		r.storedEpoch = r.epoch.Number
	} else if !r.mayHaveLostState {
		r.origin = rpc.Origin{Address: o.Self.Address, Seeds: o.Seeds}
	}
	for name, acceptor := range o.State.Acceptors {
		g := r.registerFor(name)
		g.acceptor = acceptor
		g.storedBallot = acceptor.Accepted
		g.chosenAt = unknownTime
	}
	return r
}

// Epoch is the newest one that is known to be decided.
func (r *Replica) Epoch() Epoch { return r.epoch }

// StoreID is the id of the own disk.
func (r *Replica) StoreID() string { return r.storeID }

// MayHaveLostState is what Hello says of the own disk.
func (r *Replica) MayHaveLostState() bool { return r.mayHaveLostState && r.epoch.Number == 0 }

// Origin is what the own disk noted at the system's first start.
func (r *Replica) Origin() rpc.Origin { return r.origin }

// IsVoter reports whether the own disk votes.
func (r *Replica) IsVoter() bool { return r.identified && r.epoch.IsVoter(r.storeID) }

// Accepted is what this disk has accepted of a register, and whether that is known to be chosen.
func (r *Replica) Accepted(name string) (Register, bool) {
	if g := r.registers[name]; g != nil {
		return g.acceptor.Value, g.isChosen()
	}
	return Register{Name: name}, false
}

// CommittedValue is the newest value of a register that is known to be chosen; false: none is.
func (r *Replica) CommittedValue(name string) (Register, bool) {
	g := r.registers[name]
	if g == nil || g.announced == (Version{}) {
		return Register{Name: name}, false
	}
	return g.committed, true
}

// RegisterNames are the registers of which this disk has accepted a value, sorted.
func (r *Replica) RegisterNames() []string {
	var names []string
	for name, g := range r.registers {
		if name != epochRegister && g.hasAccepted() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Step handles what happened up to now, in its order, and what is due by now.
func (r *Replica) Step(now time.Duration, events ...Event) []Action {
	r.now, r.actions = now, nil
	for _, name := range r.sortedRegisters() {
		r.expireRequests(r.registers[name])
	}
	for _, e := range events {
		r.handle(e)
	}
	r.tick()
	return r.actions
}

func (r *Replica) handle(event Event) {
	switch e := event.(type) {
	case Persisted:
		r.onPersisted(e)
	case PeerIdentified:
		r.onPeerIdentified(e)
	case PeerConnected:
		r.onPeerConnected(e)
	case PeerDisconnected:
		if p := r.peers[e.Name]; p != nil {
			p.connected = false
		}
	case MessageReceived:
		r.onMessage(e.From, e.Message)
	case Propose:
		r.onPropose(e)
	case ReadRequest:
		r.onRead(e)
	case Shutdown:
		r.onShutdown()
	}
}

// tick does what is due.
func (r *Replica) tick() {
	r.contact.tick(r)
	for _, name := range r.sortedRegisters() {
		r.tickRegister(r.registers[name])
	}
	if r.now >= r.reportedAt+antiEntropyInterval {
		r.reportedAt = r.now
		r.broadcast(r.stateReport(0))
	}
	r.reads = slices.DeleteFunc(r.reads, r.advanceRead)
	r.tickEpoch()
	r.tickShutdown()
}

// NextDeadline is when Step is to be called again, even if nothing happens. What is due earlier than the next event but
// not urgent waits for the caller's regular tick.
func (r *Replica) NextDeadline() time.Duration {
	next := r.now + time.Hour
	consider := func(t time.Duration) {
		if t > r.now { // what is past already waits for something else than time
			next = min(next, t)
		}
	}
	for _, g := range r.registers {
		r.considerDeadlines(g, consider)
	}
	for _, q := range r.reads {
		consider(q.startedAt + readBallotDelay)
		consider(q.askedAt + resendInterval)
	}
	return next
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// send sends to a peer, if the connection to it is up.
func (r *Replica) send(to string, c rpc.Consensus) { r.sendMessage(to, &rpc.Message{Consensus: c}) }

func (r *Replica) sendMessage(to string, m *rpc.Message) {
	if p := r.peers[to]; p != nil && p.connected {
		m.EpochNumber, m.StoreID, m.ClusterID = r.epoch.Number, r.storeID, r.epoch.ClusterID
		r.emit(Send{to, m})
	}
}

// broadcast sends to all peers to which a connection is up.
func (r *Replica) broadcast(c rpc.Consensus) {
	for _, to := range r.connectedPeers() {
		r.send(to, c)
	}
}

// nextQueryID draws the id of a query. Ids rise, so that an answer to a later query counts for an earlier one too.
func (r *Replica) nextQueryID() uint64 {
	r.queryID++
	return r.queryID
}

// connectedPeers are the names of the peers to which a connection is up, sorted.
func (r *Replica) connectedPeers() []string {
	var names []string
	for name, p := range r.peers {
		if p.connected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (r *Replica) sortedRegisters() []string { return slices.Sorted(maps.Keys(r.registers)) }

func (r *Replica) sortedPeers() []string { return slices.Sorted(maps.Keys(r.peers)) }

func (r *Replica) onPeerIdentified(e PeerIdentified) *peer {
	p := r.peers[e.Node.Name]
	if p == nil || p.storeID != e.StoreID {
		p = &peer{lastContact: r.now, accepted: map[string]BallotNumber{}, reportedAt: never}
		r.peers[e.Node.Name] = p
		r.lastPeerAt = r.now
	}
	p.Node, p.storeID, p.mayHaveLostState, p.origin = e.Node, e.StoreID, e.MayHaveLostState, e.Origin
	return p
}

func (r *Replica) onPeerConnected(e PeerConnected) {
	p := r.onPeerIdentified(PeerIdentified(e))
	p.connected, p.connectedAt, p.shuttingDown = true, r.now, false
	// The peer is queried too: what it said before this side knew it was not handled.
	report := r.stateReport(0)
	report.QueryState, report.QueryID = true, r.nextQueryID()
	report.ShuttingDown = r.shuttingDown
	if r.epoch.Number > 0 {
		report.Epoch = r.epochCopy()
	}
	r.send(e.Node.Name, report)
	r.contact.pingedAt = never // its answer counts at once
	for _, name := range r.sortedRegisters() {
		if g := r.registers[name]; g.ballotUnderWay() && r.countsVotesOf(p) {
			r.sendPaxos(p.Name, r.currentRequest(g))
		}
	}
}

// onMessage handles the parts of a message one by one. Chosen values count from anybody; all else only from the peer's
// current disk, and votes, pongs and answers only in this epoch.
func (r *Replica) onMessage(from string, m *rpc.Message) {
	p := r.peers[from]
	if p == nil {
		return // its Hello makes it known
	}
	if r.isForeignMessage(p, m) {
		return
	}
	if m.ShuttingDown {
		p.shuttingDown = true
	}
	if m.Epoch != nil {
		r.enterEpoch(*m.Epoch)
	}
	r.onQuery(from, &m.Consensus)
	r.onFetch(from, m.FetchRegisters)
	r.onChosen(p, &m.Consensus)
	if m.StoreID != p.storeID {
		return // of the peer's earlier incarnation, whose disk was another one
	}
	r.informOutdated(from, &m.Consensus)
	r.onAcceptedBallots(p, &m.Consensus)
	if m.EpochNumber != r.epoch.Number {
		return
	}
	for i := range m.Paxos {
		r.onPaxos(p, &m.Paxos[i])
	}
	r.onWaiting(p.Name, m.WaitingFor)
	if m.Pong {
		p.lastContact = r.now
		r.contact.onPong(m.QueryID, p.storeID)
	}
	r.onStateReport(p, &m.Consensus)
}

func (r *Replica) onQuery(from string, c *rpc.Consensus) {
	switch {
	case c.Ping:
		r.send(from, rpc.Consensus{Pong: true, QueryID: c.QueryID})
	case c.QueryState:
		r.send(from, r.stateReport(c.QueryID))
	}
}

func (r *Replica) onFetch(from string, registers []string) {
	for _, name := range registers {
		if g := r.registers[name]; g != nil && g.chosenBallot != (BallotNumber{}) && name != epochRegister {
			r.send(from, r.chosenValue(g))
		}
	}
}

// informOutdated tells the epoch to a peer that is behind: its votes do not count.
func (r *Replica) informOutdated(from string, c *rpc.Consensus) {
	votesOrAsks := c.Paxos != nil || c.Pong || c.Ping || c.QueryState || c.Complete
	if c.EpochNumber < r.epoch.Number && votesOrAsks {
		r.send(from, rpc.Consensus{Epoch: r.epochCopy()})
	}
}

// onStateReport counts the answer to a query for those that wait for one.
func (r *Replica) onStateReport(p *peer, c *rpc.Consensus) {
	isAnswer := c.Complete && !c.QueryState && c.QueryID > 0
	if !isAnswer || c.QueryID > r.queryID {
		return
	}
	for _, q := range r.reads {
		if q.queryID > 0 && c.QueryID >= q.queryID {
			q.answers[p.storeID] = c.AcceptedBallots[q.register]
		}
	}
	if r.jointScan != nil && c.QueryID >= r.jointScan.queryID {
		r.jointScan.answers[p.storeID] = c.AcceptedBallots
	}
}

func (r *Replica) epochCopy() *Epoch {
	e := r.epoch
	return &e
}

// countsVotesOf reports whether a peer's votes count, in this epoch or at its founding.
func (r *Replica) countsVotesOf(p *peer) bool {
	if r.epoch.Number == 0 {
		return !r.foundingRule().seedsDecide() || slices.Contains(r.foundingSeeds(), p.foundingAddress())
	}
	return r.epoch.IsVoter(p.storeID)
}
