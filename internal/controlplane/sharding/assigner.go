// Package sharding assigns the keys of sharded services to endpoints. An endpoint of such a service serves a request
// only while it holds the request's key: it was granted a range with the key, for a limited time, and the range was not
// released since.
//
// # Model
//
// An Assigner is the state machine of one control-plane node. It does no I/O and reads no clock: Step returns the
// actions to perform, and the results come back as events. The same calls return the same actions.
//
// At most one node acts as the assigner of all services: the holder of a lease (lease.go) in a register of package
// consensus. The table of assignments (table.go) is another register. The assigner of a term first claims the table,
// so that no earlier term can change it, and reads from it every endpoint that may hold a key.
//
// # Invariants
//
//   - At no time do two endpoints hold the same key. A range is granted to an endpoint only after each other endpoint
//     that may hold a key of it has answered a release, or its hold has certainly expired (holds.go).
//   - An assignment is committed before a call that rests on it is sent.
//   - A fence is used for one assignment only, and is higher than all before it: it is taken from the committed table.
//   - Calls are sent only during the use of the lease, which ends before another node can acquire it. The caller checks
//     that again before each write to a socket. Only monotonic clocks count.
//   - A node that claims the table assumes that each endpoint in it was granted its range just before.
//
// # Files
//
//	events.go        events, actions
//	assigner.go      Assigner, terms, proposals
//	lease.go         the lease of the assigner
//	table.go         the stored table
//	holds.go         grants and releases of one range
//	reachability.go  endpoints that do not answer
//	planner.go       which endpoint should hold which keys
//	orphans.go       ranges that need another holder
//	balance.go       load of the holders
//	keyload.go       load by key
//	publish.go       the table as proxies receive it
//	status.go        state for operators
package sharding

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/consensus"
)

// Names of the registers. They are stored and must not change.
const (
	LeaseRegister = "shards/lease"
	TableRegister = "shards/table"
)

const (
	planInterval     = 200 * time.Millisecond
	tableRetryPause  = 100 * time.Millisecond
	maxCallsInFlight = 256
	maxRankedNodes   = 8
)

// Options configures an Assigner.
type Options struct {
	Node        string
	StoreID     string
	Incarnation uint64
	Rank        int           // position of the node among those that may acquire a free lease
	MaxHold     time.Duration // that endpoints accept; 0: unlimited
	Heartbeat   time.Duration // interval of the endpoints' heartbeats
	bugs        injectedBugs
}

// injectedBugs are faults that tests enable to show that they detect them.
type injectedBugs struct {
	writesWithoutLease   bool // calls are written after the lease has ended
	noInheritedHolds     bool // a new term does not assume that endpoints hold what the table says
	noClockSlack         bool // endpoints' clocks are taken to be exact
	forgetsUnanswered    bool // a grant without an answer is taken for one that did not arrive
	releasesByTimeout    bool // a release without an answer counts
	callsBeforeCommit    bool // calls rest on a table that is proposed and not committed yet
	keepsFence           bool // a range that moves keeps its fence
	forgetsFormerHolders bool // a range may be granted while a former holder has it
	unfencedTable        bool // an earlier term can change the table
	acquiresEarly        bool // a lease can be taken over before its use has ended
	reusesConnections    bool // a second answer to a call is taken for that of the next call
}

// Endpoint is an endpoint of a sharded service.
type Endpoint struct {
	ID, Service, Address string
	Capacity             int
	IsUsable             bool          // ready, and its zone is not evacuated
	WarmupEnd            time.Duration // no new ranges before
}

// Assigner is the state machine of one node. It is not safe for concurrent use. Times are durations since the process
// started.
type Assigner struct {
	options  Options
	now      time.Duration // of the current Step
	actions  []Action      // of the current Step
	lease    lease
	stopping bool

	lastProposalID  uint64
	leaseProposalID uint64 // the proposal in progress

	endpointsChanged bool
	endpoints        map[string]*endpoint // by ID
	services         map[string]*service  // sharded services, by name
	reported         time.Duration        // the last LeaseExtended

	// State of the term. active means that the table is claimed and the lease is held.

	active     bool
	table      *Table // committed
	proposed   *Table // the proposal in progress; nil: none, or a claim
	proposing  bool
	proposalID uint64 // the proposal in progress
	tableRetry time.Duration
	plannedAt  time.Duration
	nextScan   time.Duration
	calls      map[uint64]*call
	lastCallID uint64
	fenceJump  uint64 // by how much the next fence is raised, after an endpoint knew a higher one
	totalMoves uint64
}

// endpoint is an Endpoint with what calls to it have shown.
type endpoint struct {
	Endpoint
	failures   int           // consecutive calls without an answer; it gets no new ranges until it answers
	answeredAt time.Duration // of the last call that was answered
	probeAt    time.Duration // when the next probe is due, if calls have failed
	probing    bool          // a probe is in progress
}

// service is the state of one sharded service.
type service struct {
	name      string
	seenAt    time.Duration // when its first endpoint was seen
	wanted    bool          // in the committed configuration
	load      keyLoad
	balanced  time.Duration // when its load was last balanced
	ranges    []*rangeState // as in the committed table; empty: it has no assignments yet
	published []PublishedRange
}

// New returns an Assigner.
func New(o Options) *Assigner {
	return &Assigner{
		options: o,
		lease: lease{
			self:    leaseValue{Node: o.Node, StoreID: o.StoreID, Incarnation: o.Incarnation},
			bugs:    o.bugs,
			stagger: time.Duration(o.Rank%maxRankedNodes) * leaseStagger,
		},
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
		calls:     map[uint64]*call{},
	}
}

// SetServices sets the names of the sharded services in the committed configuration.
func (a *Assigner) SetServices(names []string) {
	for _, s := range a.services {
		s.wanted = slices.Contains(names, s.name)
	}
	for _, name := range names {
		a.service(name).wanted = true
	}
}

func (a *Assigner) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{name: name}
		a.services[name] = s
	}
	return s
}

// SetEndpoints sets all endpoints of sharded services that are not gone.
func (a *Assigner) SetEndpoints(now time.Duration, all []Endpoint) {
	a.endpointsChanged = true
	current := map[string]bool{}
	for _, e := range all {
		current[e.ID] = true
		known := a.endpoints[e.ID]
		if known == nil {
			known = &endpoint{answeredAt: now}
			a.endpoints[e.ID] = known
		}
		known.Endpoint = e
		if s := a.service(e.Service); s.seenAt == 0 {
			s.seenAt = now
		}
	}
	maps.DeleteFunc(a.endpoints, func(id string, _ *endpoint) bool { return !current[id] })
}

// AddLoad counts requests for keys of a service. weight is the number of requests that each key stands for.
func (a *Assigner) AddLoad(serviceName string, keys []uint16, weight float64) {
	s := a.services[serviceName]
	if s == nil || !s.wanted {
		return
	}
	for _, key := range keys {
		s.load.add(key, weight)
	}
}

// Observe takes over the newest committed value of LeaseRegister.
func (a *Assigner) Observe(now time.Duration, r consensus.Register) { a.lease.observe(now, r) }

// IsActive reports whether this node acts as the assigner.
func (a *Assigner) IsActive() bool { return a.active }

// HasStopped reports whether, after a Shutdown, the node has given up the lease or does not hold it.
func (a *Assigner) HasStopped() bool {
	return a.stopping && (a.lease.term == 0 || a.lease.released || a.now >= a.lease.until)
}

// Term returns the term in which this node last acted as the assigner.
func (a *Assigner) Term() uint64 { return a.lease.term }

// Step handles events in order, and performs the work that is due.
func (a *Assigner) Step(now time.Duration, events ...Event) []Action {
	a.now, a.actions = now, nil
	a.checkLease()
	for _, event := range events {
		switch e := event.(type) {
		case Decided:
			a.onDecided(&e)
		case CallDone:
			a.onCallDone(&e)
		case Shutdown:
			a.stopping = true
		}
	}
	a.tick()
	return a.actions
}

func (a *Assigner) emit(action Action) { a.actions = append(a.actions, action) }

// tick performs the work that is due.
func (a *Assigner) tick() {
	if change := a.lease.propose(a.now, a.isWanted(), a.stopping); change != nil {
		a.leaseProposalID = a.propose(LeaseRegister, change)
	}
	a.checkLease()
	if !a.lease.isHeld(a.now) {
		return
	}
	if !a.active {
		a.claim()
		return
	}
	if a.now >= a.nextScan {
		a.scan()
	}
	if a.now >= a.plannedAt+planInterval || a.endpointsChanged {
		a.plannedAt, a.endpointsChanged = a.now, false
		a.planAll()
	}
}

// scan starts all calls that are due.
func (a *Assigner) scan() {
	a.nextScan = a.now + planInterval
	for _, s := range a.sortedServices() {
		for _, r := range s.ranges {
			a.advance(s, r)
			if due := r.nextDeadline(); due > a.now {
				a.nextScan = min(a.nextScan, due)
			}
		}
	}
	a.probe()
}

func (a *Assigner) propose(register string, change consensus.ChangeFunc) (id uint64) {
	a.lastProposalID++
	a.emit(Propose{a.lastProposalID, register, change})
	return a.lastProposalID
}

// isWanted reports whether there is anything to assign.
func (a *Assigner) isWanted() bool {
	for _, s := range a.services {
		if s.wanted {
			return true
		}
	}
	return false
}

func (a *Assigner) sortedServices() []*service {
	all := make([]*service, 0, len(a.services))
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		all = append(all, a.services[name])
	}
	return all
}

// checkLease ends the term if the lease is not held any more, and reports the time until which calls may be written.
func (a *Assigner) checkLease() {
	until := a.lease.until
	if !a.lease.isHeld(a.now) {
		until = 0
		a.endTerm()
	}
	if until != a.reported {
		a.reported = until
		a.emit(LeaseExtended{until})
	}
}

func (a *Assigner) endTerm() {
	a.active, a.proposing, a.proposed, a.table = false, false, nil, nil
	clear(a.calls)
	for _, s := range a.services {
		s.ranges = nil
	}
	for _, e := range a.endpoints {
		e.probing = false
	}
}

// claim takes over the table for the term.
func (a *Assigner) claim() {
	if a.proposing || a.now < a.tableRetry {
		return
	}
	a.proposing, a.proposed = true, nil
	a.proposalID = a.propose(TableRegister, claimTable(a.lease.term, a.options.Incarnation))
}

func (a *Assigner) onDecided(e *Decided) {
	if e.ID == a.leaseProposalID {
		if a.lease.onDecided(a.now, e.Outcome, e.Value) {
			a.endTerm() // of an earlier term
		}
		a.checkLease()
		return
	}
	if !a.proposing || e.ID != a.proposalID {
		return // of an earlier term
	}
	a.proposing = false
	t, err := decodeTable(e.Value)
	if e.Outcome != consensus.Committed || err != nil || t.Term != a.lease.term || !a.lease.isHeld(a.now) {
		// If the outcome is unknown, the table may be committed. No call rests on it, and the next one replaces it.
		a.tableRetry = a.now + tableRetryPause
		return
	}
	if !a.active {
		a.beginTerm(&t)
		return
	}
	if a.proposed != nil {
		t := a.proposed
		a.proposed = nil
		a.adopt(t)
	}
}

// beginTerm starts to act on a table that was just claimed.
func (a *Assigner) beginTerm(t *Table) {
	a.active, a.table = true, t.clone()
	a.fenceJump, a.plannedAt, a.nextScan = 0, 0, 0
	for i := range t.Services {
		s := a.service(t.Services[i].Service)
		s.ranges, s.published = nil, nil
		for _, assignment := range t.Services[i].Assignments {
			s.ranges = append(s.ranges, a.inherit(assignment))
		}
	}
}

// proposeTable proposes a new table.
func (a *Assigner) proposeTable(t *Table) {
	t.Term = a.lease.term
	t.HoldMs = max(t.HoldMs, uint64(a.hold().Milliseconds()))
	t.pruneAddresses()
	a.proposing, a.proposed = true, t
	a.proposalID = a.propose(TableRegister, writeTable(t, a.options.Incarnation, a.options.bugs.unfencedTable))
	if a.options.bugs.callsBeforeCommit {
		a.adopt(t)
	}
}

// adopt starts to act on a committed table. Each new range is a part of one range before it, or the union of several
// with the same holder.
func (a *Assigner) adopt(t *Table) {
	a.table = t.clone()
	for i := range t.Services {
		s := a.service(t.Services[i].Service)
		before := s.ranges
		s.ranges = make([]*rangeState, 0, len(t.Services[i].Assignments))
		for _, assignment := range t.Services[i].Assignments {
			s.ranges = append(s.ranges, a.successor(before, assignment))
		}
	}
	a.scan()
}

// NextDeadline returns the time at which Step must be called at the latest.
func (a *Assigner) NextDeadline() time.Duration {
	next := a.now + planInterval
	if a.lease.isHeld(a.now) {
		next = min(next, a.lease.until)
	}
	if a.active {
		next = min(next, a.nextScan)
	}
	return next
}

func (a *Assigner) hold() time.Duration {
	if a.options.MaxHold > 0 {
		return min(holdDuration, a.options.MaxHold)
	}
	return holdDuration
}

// addressOf returns the address of an endpoint that an assignment names.
func (a *Assigner) addressOf(id string) string {
	if e := a.endpoints[id]; e != nil {
		return e.Address
	}
	return a.table.Addresses[id]
}
