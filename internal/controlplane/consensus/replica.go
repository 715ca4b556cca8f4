// Package consensus replicates the registers of the control plane: the configuration, and the evacuations of each zone.
// It also decides which disks vote on them.
//
// # Model
//
// A Replica is the state machine of one control-plane node. It does no I/O and reads no clock. Step takes events
// (Event) and returns the actions (Action) to perform. The caller writes records, sends messages, and calls Step with
// the results, at the latest at NextDeadline. The same calls return the same actions.
//
// Registers are independent of each other. Their values are chosen by Paxos ballots (package paxos; CASPaxos, Rystsov
// 2018). There is no log and no leader: any node may propose at any time. A proposal is a function from the committed
// value to the next one (ChangeFunc).
//
// Voters are disks, identified by random ids that are drawn when a disk is first written. The voters of an Epoch decide
// the next Epoch in a register of its own. The disks of the cluster's first start decide the first one
// (bootstraprule.go). A change of voters goes through a joint epoch, in which a quorum needs both the old and the new
// voters (joint consensus, Ongaro 2014, 4.3).
//
// # Invariants
//
//   - A promise or a vote, and the epoch in which it is given, are on disk before it is sent (acceptor.go).
//   - A message counts only if it was sent in the receiver's epoch, by a disk that votes in it. A sender with an older
//     epoch is sent the newer one. Chosen values count in every epoch and from any sender.
//   - All ballots of an epoch are higher than those of earlier epochs.
//   - A joint epoch is completed only once every chosen value is durable among the new voters (joint.go).
//   - A disk that may have forgotten votes gets a new id. It becomes a voter again only after it has learned all chosen
//     values.
//   - Nothing is decided, read or reported as current without quorum contact (quorumcontact.go).
//
// # Files
//
//	events.go         events, actions, outcomes
//	replica.go        Replica, Step, message handling
//	persistence.go    writes in progress
//	register.go       the state of one register
//	acceptor.go       acceptor: promises and votes of the local disk
//	proposer.go       proposer: requests and ballots
//	turns.go          coordination of concurrent proposers
//	reads.go          reads without a ballot
//	replication.go    learner: accepted and chosen ballots of all disks
//	epochs.go         entering epochs, quorums, proposing the next epoch
//	bootstrap.go      the first epoch
//	bootstraprule.go  quorums for the first epoch
//	foreign.go        peers of another cluster
//	joint.go          changes of voters
//	membership.go     choice of the voters
//	shutdown.go       handover before the process ends
//	quorumcontact.go  contact with a majority
//	durablestate.go   records on disk, including those of older versions
//	evacuations.go    the changes that the control plane proposes
//	status.go         state for operators
package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// never is earlier than all other times.
const never = -time.Hour

// Options configures a Replica.
type Options struct {
	Self        rpc.Node
	Incarnation uint64       // random id of this process, unique among all proposers
	MaxFaults   int          // machines that may be lost at once
	Seeds       []string     // peer addresses of the seeds in the current settings
	State       DurableState // read from the disk
	bugs        injectedBugs
}

// injectedBugs are faults that tests enable to show that they detect them.
type injectedBugs struct {
	unorderedEpochs bool // ballots are not ordered by epoch
	noJointEpoch    bool // voters change without a joint epoch
	noProposerTurns bool // proposers do not wait for each other
	endlessTurns    bool // proposers ignore that another one's ballot has ended
}

// peer is another control-plane node.
type peer struct {
	rpc.Node
	storeID          string
	mayHaveLostState bool
	origin           rpc.Origin
	clusterID        uint64 // of the peer's cluster, by its last message; 0 if unknown
	connected        bool
	shuttingDown     bool
	lastContact      time.Duration           // when the last pong arrived
	connectedAt      time.Duration           // when the connection to the peer was opened
	accepted         map[string]BallotNumber // accepted ballots that the peer reported in this epoch, by register
	reportedAt       time.Duration           // when the last complete report arrived
}

// Replica is the state machine of one node. It is not safe for concurrent use. Times are durations since the process
// started.
type Replica struct {
	options          Options
	storeID          string     // of the local disk
	mayHaveLostState bool       // as in PeerIdentified
	identified       bool       // storeID is on disk
	origin           rpc.Origin // of the local disk
	epoch            Epoch      // the newest known one
	storedEpoch      uint64     // the number of the epoch on disk
	registers        map[string]*register
	peers            map[string]*peer // by name
	reads            []*pendingRead
	contact          quorumContact

	now     time.Duration // of the current Step
	actions []Action      // of the current Step

	writeSeq uint64 // of the last Persist
	writes   map[uint64]pendingWrite
	deferred []deferredRequest // Paxos requests that wait until the epoch is on disk
	queryID  uint64            // of the last query or ping; only increases

	identityTriedAt time.Duration // the last attempt to write the disk's identity; negative if none
	identityWrites  int           // identity records whose write is in progress
	identityFailed  bool          // one of those writes failed
	epochWrittenAt  time.Duration // the last attempt to write the epoch, or its completion

	reportedAt       time.Duration // the last full state report to all peers
	lastNewPeerAt    time.Duration // when the last new peer was identified
	epochChangedAt   time.Duration
	desiredVotersKey string // the store ids of the voters that should be proposed
	desiredVotersAt  time.Duration
	jointScan        *stateScan // nil outside joint epochs

	shuttingDown      bool
	handedOver        bool
	shutdownAt        time.Duration
	handoverQueriedAt time.Duration
	notHandedOver     []string
}

// New returns a Replica with the state of its disk.
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
		reg := r.registerFor(name)
		reg.acceptor = acceptor
		reg.storedBallot = acceptor.Accepted
		reg.chosenAt = unknownTime
	}
	return r
}

// Epoch returns the newest epoch that is known to be decided.
func (r *Replica) Epoch() Epoch { return r.epoch }

// StoreID returns the id of the local disk.
func (r *Replica) StoreID() string { return r.storeID }

// MayHaveLostState reports whether the local disk may have forgotten an epoch or votes. Hello carries it to peers.
func (r *Replica) MayHaveLostState() bool { return r.mayHaveLostState && r.epoch.Number == 0 }

// Origin returns what the local disk recorded at the cluster's first start.
func (r *Replica) Origin() rpc.Origin { return r.origin }

// IsVoter reports whether the local disk votes.
func (r *Replica) IsVoter() bool { return r.identified && r.epoch.IsVoter(r.storeID) }

// Accepted returns the value that the local disk has accepted for a register, and whether it is known to be chosen.
func (r *Replica) Accepted(name string) (Register, bool) {
	if reg := r.registers[name]; reg != nil {
		return reg.acceptor.Value, reg.isChosen()
	}
	return Register{Name: name}, false
}

// CommittedValue returns the newest value of a register that is known to be chosen, or false if there is none.
func (r *Replica) CommittedValue(name string) (Register, bool) {
	reg := r.registers[name]
	if reg == nil || reg.announced == (Version{}) {
		return Register{Name: name}, false
	}
	return reg.committed, true
}

// RegisterNames returns the registers for which the local disk has accepted a value, sorted.
func (r *Replica) RegisterNames() []string {
	var names []string
	for name, reg := range r.registers {
		if name != epochRegister && reg.hasAccepted() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Step handles events in order, and performs the work that is due.
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

// tick performs the work that is due.
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

// NextDeadline returns when Step must be called even without an event. Less urgent work waits for the caller's regular
// tick.
func (r *Replica) NextDeadline() time.Duration {
	next := r.now + time.Hour
	consider := func(t time.Duration) {
		if t > r.now { // a deadline in the past waits for an event
			next = min(next, t)
		}
	}
	for _, reg := range r.registers {
		r.considerDeadlines(reg, consider)
	}
	for _, q := range r.reads {
		consider(q.startedAt + readBallotDelay)
		consider(q.askedAt + resendInterval)
	}
	return next
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// send sends to a peer if its connection is up.
func (r *Replica) send(to string, c rpc.Consensus) { r.sendMessage(to, &rpc.Message{Consensus: c}) }

func (r *Replica) sendMessage(to string, m *rpc.Message) {
	if p := r.peers[to]; p != nil && p.connected {
		m.EpochNumber, m.StoreID, m.ClusterID = r.epoch.Number, r.storeID, r.epoch.ClusterID
		r.emit(Send{to, m})
	}
}

// broadcast sends to all connected peers.
func (r *Replica) broadcast(c rpc.Consensus) {
	for _, to := range r.connectedPeers() {
		r.send(to, c)
	}
}

// nextQueryID returns the id of a new query. Ids increase, so that the answer to a later query counts for earlier ones
// too.
func (r *Replica) nextQueryID() uint64 {
	r.queryID++
	return r.queryID
}

// connectedPeers returns the names of the connected peers, sorted.
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
		r.lastNewPeerAt = r.now
	}
	p.Node, p.storeID, p.mayHaveLostState, p.origin = e.Node, e.StoreID, e.MayHaveLostState, e.Origin
	return p
}

func (r *Replica) onPeerConnected(e PeerConnected) {
	p := r.onPeerIdentified(PeerIdentified(e))
	p.connected, p.connectedAt, p.shuttingDown = true, r.now, false
	// The query makes up for messages that were ignored before the peer was known.
	report := r.stateReport(0)
	report.QueryState, report.QueryID = true, r.nextQueryID()
	report.ShuttingDown = r.shuttingDown
	if r.epoch.Number > 0 {
		report.Epoch = r.epochCopy()
	}
	r.send(e.Node.Name, report)
	r.contact.pingedAt = never // ping the new peer at once
	for _, name := range r.sortedRegisters() {
		if reg := r.registers[name]; reg.ballotInProgress() && r.countsVotesOf(p) {
			r.sendPaxos(p.Name, r.currentRequest(reg))
		}
	}
}

// onMessage handles the parts of a message. Epochs, queries and chosen values are handled even if the sender's disk was
// replaced since. Reports of accepted ballots count only from the peer's current disk, and votes, pongs and query
// answers also only in the current epoch.
func (r *Replica) onMessage(from string, m *rpc.Message) {
	p := r.peers[from]
	if p == nil {
		return // unknown until its Hello arrives
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
		return // sent by a former disk of the peer
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
		if reg := r.registers[name]; reg != nil && reg.chosenBallot != (BallotNumber{}) && name != epochRegister {
			r.send(from, r.chosenValue(reg))
		}
	}
}

// informOutdated sends the epoch to a peer with an older one, whose votes do not count.
func (r *Replica) informOutdated(from string, c *rpc.Consensus) {
	needsEpoch := c.Paxos != nil || c.Pong || c.Ping || c.QueryState || c.Complete
	if c.EpochNumber < r.epoch.Number && needsEpoch {
		r.send(from, rpc.Consensus{Epoch: r.epochCopy()})
	}
}

// onStateReport passes the answer to a query on to the reads and the scan that wait for it.
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

// countsVotesOf reports whether a peer's votes count in this epoch or for the first one.
func (r *Replica) countsVotesOf(p *peer) bool {
	if r.epoch.Number == 0 {
		return !r.bootstrapRule().seedsDecide() || slices.Contains(r.bootstrapSeeds(), p.bootstrapAddress())
	}
	return r.epoch.IsVoter(p.storeID)
}
