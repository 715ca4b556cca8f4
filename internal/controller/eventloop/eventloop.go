// Package eventloop holds the one goroutine that owns the decisions. It takes what connections and discovery say
// off a queue, puts indices in place of names, lets the policy decide once for all that came in a moment, and
// writes each proxy's orders as one message to the stream that the proxy has now. It decides nothing.
package eventloop

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

// Stream is a connection to a proxy or a collector. None of its methods may wait.
type Stream interface {
	Sequence() uint64       // later ones were opened later
	Send(message []byte)    // whole, after those before it; the bytes are the caller's again when it returns
	SetPeer(subject string) // whose it is, for its log lines
	CloseReplaced()         // ends it: its proxy has a newer one
	CloseRefused()          // ends it: it is nobody's
	RecordFault(error)      // a message on it is not valid
}

// PartStream is a Stream that takes the parts of a message in place of its text.
type PartStream interface {
	Stream
	SendParts(parts []textproto.Part) // the parts are the stream's from then on; it does not change them
}

// Command is what a stream, discovery or an operator (no stream) has to say.
type Command struct {
	From    Stream
	Message any // of the types that Loop.handle knows
}

// RemoteSums sums what the proxies of other controllers reported. No stream sends it.
type RemoteSums struct {
	Reports []textproto.BackendReport
	Age     policy.Time
	Usage   []ZoneUsage
}

// Observer is told what the own proxies report. None of its methods may wait.
type Observer interface {
	RecordAttempts(backend string, attempts, failed float64, latency time.Duration)
	RecordUsage(proxy int, product, zone string, txns float64)
	RemoveProxy(proxy int)
}

// SetObserver has somebody told from now on.
func (d *Loop) SetObserver(o Observer) { d.observer = o }

// ZoneUsage is how many txns/s of a product arrive at the proxies of a zone.
type ZoneUsage struct {
	Product, Zone string
	Txns          float64
}

// Lists is where lists of backends are asked for.
type Lists interface {
	Follow(on bool)
	Reload()
}

// usability is what a proxy was told of a backend.
type usability uint8

const (
	usabilityUnknown usability = iota // another controller may have withdrawn it
	withdrawn
	usable
)

type proxy struct {
	stream         Stream // nil: not connected
	zone           int
	tables         []int       // by product; none
	newTables      uint32      // products that were assigned a table in this step
	notified       []usability // by backend
	initial        usability   // of a backend that it was not told of here
	pendingMarkers []int
	concerned      bool // it gets a message in this step
}

type table struct {
	weight       []float64          // by backend
	admissions   []policy.Admission // by product
	hasAdmission []bool             // by product
	users        []int              // proxies on it, in their order

	// Of this step.

	dirty             bool
	cleared           bool
	changedWeights    []int  // backends
	changedAdmissions uint32 // products
}

type timer struct {
	at   policy.Time
	name uint32
}

const (
	none              = -1                 // no table, no marker
	maxPendingMarkers = 256                // of a proxy
	indexRetention    = 30 * policy.Second // of a backend that is gone, and may come back
	maxTime           = policy.Time(1) << 50
)

// Loop turns messages into events, and orders into messages.
type Loop struct {
	assigner *policy.Assigner
	products int
	names    flatsettings.Names
	lists    Lists
	log      *logrus.Entry

	// Backends; slices are by index.

	backends  []string // ids; empty: the index is free
	index     map[string]int
	free      []int // indices
	withdrawn []bool
	listed    []bool
	goneAt    []policy.Time  // when it left the list
	entries   []policy.Entry // as listed last, for tenancy
	derated   []bool         // its derating was handed to factSink as less than whole

	proxies    []proxy
	proxyOf    map[Stream]int // of each stream that ever subscribed
	collectors map[Stream]bool
	tables     []table

	// Of this step.

	events          []policy.Event
	tenancyEvents   []tenancy.Event
	dirtyTables     []int
	orderedBackends []int // whose withdrawal or return was ordered
	concerned       []int // proxies that get a message
	marker          int   // that the proxies concerned are to acknowledge; none
	markAll         bool  // all proxies are

	now               policy.Time
	timers            []timer
	releasedAt        policy.Time // when indices were last released
	factSink          FactSink    // nil: nothing is kept
	snapshotAt        policy.Time
	turn              int
	observer          Observer       // nil: there is none
	tenancy           *tenancy.Cells // nil: nobody is confined
	removalBinds      bool
	warnedUnsupported bool // about orders that cannot be carried out

	text        []byte // buffer of a message
	namesOfMask map[uint32][]string
}

// New makes a Loop.
func New(d policy.Deployment, names flatsettings.Names, lists Lists, log *logrus.Entry) *Loop {
	return &Loop{
		assigner:     policy.New(d),
		products:     len(d.Products),
		removalBinds: d.HonorRemovals,
		names:        names,
		lists:        lists,
		log:          log,
		index:        map[string]int{},
		proxies:      make([]proxy, d.Proxies),
		proxyOf:      map[Stream]int{},
		collectors:   map[Stream]bool{},
		namesOfMask:  map[uint32][]string{},
	}
}

// Run serves the queue until the program ends; what comes within a tick is one moment. Lists come by a way of their
// own, so that a drain never waits behind reports that are more than a step can take.
func (d *Loop) Run(queue, lists <-chan Command, tick time.Duration, clock func() policy.Time) {
	idle, over := time.NewTimer(0), time.NewTimer(0)
	for {
		select {
		case n := <-queue:
			d.Handle(n)
		case n := <-lists:
			d.Handle(n)
		case <-idle.C:
		}
		over.Reset(tick)
		d.collect(queue, lists, over.C)
		d.Step(clock())
		idle.Reset(d.untilNextTimer(clock()))
	}
}

// collect takes what comes until the moment is over.
func (d *Loop) collect(queue, lists <-chan Command, over <-chan time.Time) {
	for gathering := true; gathering; {
		select {
		case n := <-queue:
			d.Handle(n)
		case n := <-lists:
			d.Handle(n)
		case <-over:
			gathering = false
		}
	}
	// What came while this process had no turn belongs to the same moment: split up, each part would cost the
	// proxies a message. No more than that: reports that come faster than they are taken wait at their senders.
	for n := len(queue); n > 0; n-- {
		d.Handle(<-queue)
	}
	for n := len(lists); n > 0; n-- {
		d.Handle(<-lists)
	}
}

// untilNextTimer is how long nothing is due.
func (d *Loop) untilNextTimer(now policy.Time) time.Duration {
	next := now + 60*policy.Second
	for _, w := range d.timers {
		next = min(next, w.at)
	}
	return time.Duration(max(next-now, 0)) * time.Second / time.Duration(policy.Second)
}

// Handle takes one piece of news; it counts from the next Step on.
func (d *Loop) Handle(n Command) {
	if err := d.handle(n.From, n.Message); err != nil && n.From != nil {
		n.From.RecordFault(err)
	}
}

var (
	errProxy         = errors.New("no such proxy")
	errZone          = errors.New("no such zone")
	errProduct       = errors.New("no such product")
	errBackend       = errors.New("no such backend")
	errUnknownSender = errors.New("a report from a connection that did not say whose it is")
	errAlreadyJoined = errors.New("joined on this stream already")
)

// handle takes what a connection, discovery or an operator has to say.
func (d *Loop) handle(from Stream, message any) error {
	switch m := message.(type) {
	case reconcile.List:
		d.onList(m, policy.ListChange)
	case reconcile.SourceFailed:
		d.events = append(d.events, policy.ListUpdate{Kind: policy.ListFailed})
	case textproto.Source:
		return d.onSource(from, m)
	case textproto.Subscribe:
		return d.onSubscribe(from, m)
	case textproto.Ack:
		return d.onAck(from, m)
	case textproto.UsageReport:
		return d.onUsageReport(from, m)
	case textproto.BackendReport:
		return d.onBackendReport(from, m)
	case textproto.Closed:
		d.onClosed(from)
	case tenancy.PlanUpdate, tenancy.Move, tenancy.Undo:
		d.onTenancy(m)
	case RemoteSums:
		d.onRemoteSums(m)
	case warmstart.Believe:
		return d.onRestored(m)
	case CellsQuery:
		m.Reply <- d.show()
	case FleetQuery:
		m.Reply <- d.fleet()
	}
	return nil
}

// Step lets the policy decide on what was heard since the last one, and sends what it orders.
func (d *Loop) Step(now policy.Time) {
	d.now = max(now, d.now)
	due := func(w timer) bool { return w.at <= d.now }
	for _, w := range d.timers {
		if due(w) {
			d.events = append(d.events, policy.TimerFired{Name: w.name})
		}
	}
	d.timers = slices.DeleteFunc(d.timers, due)
	if len(d.events) == 0 && len(d.tenancyEvents) == 0 {
		return
	}
	if d.tenancy != nil {
		d.stepTenancy()
	}
	events := d.events
	d.events = nil
	d.execute(d.assigner.Step(d.now, events))
	d.releaseIndices()
	d.snapshot()
}
