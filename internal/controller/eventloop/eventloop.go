// Package eventloop connects the balancing policy to its inputs and outputs. A single goroutine reads commands from a
// queue, replaces names by indices, runs one policy step for all commands of a tick, and sends each proxy its orders as
// one message. The package makes no balancing decisions of its own.
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

// Stream is a connection to a proxy or a collector. Its methods must not block.
type Stream interface {
	Sequence() uint64       // increases with every stream that is opened
	Send(message []byte)    // sends a whole message, in order; it must not keep the slice
	SetPeer(subject string) // names the peer in log lines
	CloseReplaced()         // closes the stream because its proxy opened a newer one
	CloseRefused()          // closes the stream because its peer is unknown
	RecordFault(error)      // records an invalid message
}

// PartStream is a Stream that takes a message as parts instead of text.
type PartStream interface {
	Stream
	SendParts(parts []textproto.Part) // it may keep the parts but must not change them
}

// Command is one input of the loop.
type Command struct {
	From    Stream // nil if discovery or an operator sent it
	Message any    // one of the types that Loop.handle accepts
}

// RemoteSums sums the reports of proxies that are connected to other controllers.
type RemoteSums struct {
	Reports []textproto.BackendReport
	Age     policy.Time
	Usage   []ZoneUsage
}

// Observer receives the reports of connected proxies. Its methods must not block.
type Observer interface {
	RecordAttempts(backend string, attempts, failed float64, latency time.Duration)
	RecordUsage(proxy int, product, zone string, txns float64)
	RemoveProxy(proxy int)
}

// SetObserver passes reports to an observer from now on.
func (l *Loop) SetObserver(o Observer) { l.observer = o }

// ZoneUsage is the rate of a product's transactions at the proxies of a zone.
type ZoneUsage struct {
	Product, Zone string
	Txns          float64 // per second
}

// Lists controls the source of backend lists.
type Lists interface {
	Follow(on bool)
	Reload()
}

// usability is the state of a backend that a proxy was last notified of.
type usability uint8

const (
	usabilityUnknown usability = iota // another controller may have withdrawn the backend
	withdrawn
	usable
)

type proxy struct {
	stream            Stream // nil if the proxy is not connected
	zone              int
	tables            []int       // by product; none if no table is assigned
	newTables         uint32      // mask of the products that were assigned a table in this step
	notifiedUsability []usability // by backend
	initial           usability   // of backends without a notification on this stream
	pendingMarkers    []int       // sent and not yet acknowledged
	isRecipient       bool        // the proxy is in Loop.recipients
}

type table struct {
	weight       []float64          // by backend
	admissions   []policy.Admission // by product
	hasAdmission []bool             // by product
	users        []int              // assigned proxies, sorted

	// Changes of the current step.

	isDirty           bool
	isCleared         bool
	changedWeights    []int  // backends
	changedAdmissions uint32 // mask of products
}

type timer struct {
	at   policy.Time
	name uint32
}

const (
	none              = -1                 // instead of the number of a table or a marker
	maxPendingMarkers = 256                // per proxy
	indexRetention    = 30 * policy.Second // after a backend leaves the list
	maxTime           = policy.Time(1) << 50
	maxIdleTime       = 60 * policy.Second
)

// Loop turns commands into policy events, and policy orders into messages to proxies.
type Loop struct {
	assigner *policy.Assigner
	products int
	names    flatsettings.Names
	lists    Lists
	log      *logrus.Entry

	// Backends; slices are by backend index.

	backends    []string // ids; empty if the index is free
	index       map[string]int
	free        []int // released indices
	withdrawn   []bool
	listed      []bool         // on the current list
	unlistedAt  []policy.Time  // when the backend left the list
	lastEntries []policy.Entry // the last list entry that was not Gone
	derated     []bool         // the last derating passed to factSink was below 1

	proxies    []proxy
	proxyOf    map[Stream]int // of every open stream that subscribed
	collectors map[Stream]bool
	tables     []table

	// Inputs and outputs of the current step.

	events           []policy.Event
	tenancyEvents    []tenancy.Event
	dirtyTables      []int
	withdrawalOrders []int // backends with an immediate Withdraw order
	recipients       []int // proxies that get a message
	marker           int   // for the recipients to acknowledge, or none
	markAllProxies   bool  // every connected proxy is a recipient

	now               policy.Time
	timers            []timer
	lastReleaseAt     policy.Time // when releaseIndices last ran
	factSink          FactSink    // optional
	lastSnapshotAt    policy.Time
	snapshotPart      int
	observer          Observer         // optional
	tenancy           *tenancy.Manager // nil until the first tenancy command
	honorRemovals     bool
	warnedUnsupported bool // an unsupported order has been logged

	buffer      []byte              // reused for the text of messages
	namesByMask map[uint32][]string // product names by mask
}

// New returns a loop for a deployment.
func New(d policy.Deployment, names flatsettings.Names, lists Lists, log *logrus.Entry) *Loop {
	return &Loop{
		assigner:      policy.New(d),
		products:      len(d.Products),
		honorRemovals: d.HonorRemovals,
		names:         names,
		lists:         lists,
		log:           log,
		index:         map[string]int{},
		proxies:       make([]proxy, d.Proxies),
		proxyOf:       map[Stream]int{},
		collectors:    map[Stream]bool{},
		namesByMask:   map[uint32][]string{},
	}
}

// Run processes commands forever, with one policy step per tick. Lists have a channel of their own, so that a drain
// never waits behind a backlog of reports.
func (l *Loop) Run(queue, lists <-chan Command, tick time.Duration, clock func() policy.Time) {
	idle, tickEnd := time.NewTimer(0), time.NewTimer(0)
	for {
		select {
		case c := <-queue:
			l.Handle(c)
		case c := <-lists:
			l.Handle(c)
		case <-idle.C:
		}
		tickEnd.Reset(tick)
		l.collect(queue, lists, tickEnd.C)
		l.Step(clock())
		idle.Reset(l.idleTime(clock()))
	}
}

// collect handles commands until the end of the tick.
func (l *Loop) collect(queue, lists <-chan Command, tickEnd <-chan time.Time) {
	for collecting := true; collecting; {
		select {
		case c := <-queue:
			l.Handle(c)
		case c := <-lists:
			l.Handle(c)
		case <-tickEnd:
			collecting = false
		}
	}
	// If the process was not scheduled for a while, commands have piled up. Handling them in the same step saves each
	// proxy further messages. Only those queued now are handled, so that senders that are too fast are held back.
	for n := len(queue); n > 0; n-- {
		l.Handle(<-queue)
	}
	for n := len(lists); n > 0; n-- {
		l.Handle(<-lists)
	}
}

// idleTime returns the time until the next timer, at most maxIdleTime.
func (l *Loop) idleTime(now policy.Time) time.Duration {
	next := now + maxIdleTime
	for _, t := range l.timers {
		next = min(next, t.at)
	}
	return time.Duration(max(next-now, 0)) * time.Second / time.Duration(policy.Second)
}

// Handle processes a command. The policy learns of it with the next Step.
func (l *Loop) Handle(c Command) {
	if err := l.handle(c.From, c.Message); err != nil && c.From != nil {
		c.From.RecordFault(err)
	}
}

var (
	errProxy         = errors.New("unknown proxy")
	errZone          = errors.New("unknown zone")
	errProduct       = errors.New("unknown product")
	errBackend       = errors.New("unknown backend")
	errUnknownSender = errors.New("report on a stream that has not identified its peer")
	errAlreadyJoined = errors.New("stream has already identified its peer")
)

func (l *Loop) handle(from Stream, message any) error {
	switch m := message.(type) {
	case reconcile.List:
		l.onList(m, policy.ListChange)
	case reconcile.SourceFailed:
		l.events = append(l.events, policy.ListUpdate{Kind: policy.ListFailed})
	case textproto.Source:
		return l.onSource(from, m)
	case textproto.Subscribe:
		return l.onSubscribe(from, m)
	case textproto.Ack:
		return l.onAck(from, m)
	case textproto.UsageReport:
		return l.onUsageReport(from, m)
	case textproto.BackendReport:
		return l.onBackendReport(from, m)
	case textproto.Closed:
		l.onClosed(from)
	case tenancy.PlanUpdate, tenancy.Move, tenancy.CancelMove:
		l.onTenancy(m)
	case RemoteSums:
		l.onRemoteSums(m)
	case warmstart.Accepted:
		return l.onRestored(m)
	case CellsQuery:
		m.Reply <- l.tenancyView()
	case FleetQuery:
		m.Reply <- l.fleet()
	}
	return nil
}

// Step runs the policy on the events since the last step and on timers that have expired, and executes its orders.
func (l *Loop) Step(now policy.Time) {
	l.now = max(now, l.now)
	isExpired := func(t timer) bool { return t.at <= l.now }
	for _, t := range l.timers {
		if isExpired(t) {
			l.events = append(l.events, policy.TimerFired{Name: t.name})
		}
	}
	l.timers = slices.DeleteFunc(l.timers, isExpired)
	if len(l.events) == 0 && len(l.tenancyEvents) == 0 {
		return
	}
	if l.tenancy != nil {
		l.stepTenancy()
	}
	events := l.events
	l.events = nil
	l.execute(l.assigner.Step(l.now, events))
	l.releaseIndices()
	l.snapshot()
}
