// Package eventloop holds the one goroutine that owns the decisions. It takes what connections and discovery say
// off a queue, puts indices in place of names, lets the module decide once for all that came in a moment, and
// writes each proxy's orders as one message to the stream that the proxy has now. It decides nothing.
package eventloop

import (
	"errors"
	"fmt"
	"math"
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
	Since() uint64       // later ones were opened later
	Send(message []byte) // whole, after those before it; the bytes are the caller's again when it returns
	Known(subject string)
	Replaced() // ends it
	Refused()  // ends it, too: it is nobody's
	Fault(error)
}

// PartStream is a Stream that takes the parts of a message in place of its text.
type PartStream interface {
	Stream
	SendParts(parts []textproto.Part) // the parts are the stream's from then on; it does not change them
}

// Command is what a stream, or discovery (no stream), has to say.
type Command struct {
	From    Stream
	Message any
}

// RemoteSums is what the proxies of other controllers met and are asked for. No stream says it.
type RemoteSums struct {
	Reports []textproto.BackendReport
	Age     policy.Time
	Uses    []ZoneUse
}

// Observer hears what the own proxies met and are asked for. None of its methods may wait.
type Observer interface {
	Met(backend string, tries, voided float64, took time.Duration)
	Uses(proxy int, product, zone string, txns float64)
	Left(proxy int)
}

// SetObserver has somebody hear it from now on.
func (d *Loop) SetObserver(o Observer) { d.observer = o }

// ZoneUse is how many txns/s of a product come to the proxies of a zone.
type ZoneUse struct {
	Product, Zone string
	Txns          float64
}

// Lists is where the module asks for lists.
type Lists interface {
	Follow(on bool)
	Reload()
}

type usability uint8 // what a proxy was told of a backend

const (
	usabilityUnknown usability = iota // it may have been told by another controller
	withdrawn
	usable
)

type proxy struct {
	stream         Stream // nil: not joined
	zone           int
	tables         []int       // by product; none
	newTables      uint32      // products put on a table in this step
	notified       []usability // by backend
	initial        usability   // of a backend that it was not told of here
	pendingMarkers []int
	concerned      bool
}

type table struct {
	weight            []float64
	admissions        []policy.Admission // by product
	hasAdmission      []bool
	users             []int  // proxies that are on it, in their order
	changedWeights    []int  // changed in this step
	changedAdmissions uint32 // products whose gate did
	cleared           bool
	dirty             bool // it is among those that changed
}

type timer struct {
	at   policy.Time
	name uint32
}

const (
	none              = -1
	maxPendingMarkers = 256                // that a proxy may still answer
	indexRetention    = 30 * policy.Second // for one that is gone, and may come again
	maxTime           = policy.Time(1) << 50
)

// Loop turns what was said into events and orders into messages.
type Loop struct {
	assigner *policy.Assigner
	products int
	names    flatsettings.Names
	lists    Lists
	log      *logrus.Entry

	backends        []string // by place; none where it is free
	index           map[string]int
	free            []int
	withdrawn       []bool        // by place: withdrawn
	listed          []bool        // ... on the list
	goneAt          []policy.Time // ... when it left the list
	proxies         []proxy
	proxyOf         map[Stream]int  // the proxy of each stream that ever joined
	collectors      map[Stream]bool // collectors
	tables          []table
	dirtyTables     []int // tables that changed in this step
	orderedBackends []int // backends that it shut out or let back
	text            []byte
	namesOfMask     map[uint32][]string // names of products
	releasedAt      policy.Time         // when places were last given back
	factSink        FactSink            // nil: nothing is kept
	observer        Observer            // nil: nobody is told on
	snapshotAt      policy.Time
	turn            int
	derated         []bool // by place: its relief was told as less than whole

	removalBinds  bool
	tenancy       *tenancy.Cells  // nil: nobody is confined
	entries       []policy.Entry  // by place, as listed last; of use to cells only
	tenancyEvents []tenancy.Event // of people, for the next step

	events            []policy.Event
	timers            []timer
	now               policy.Time
	warnedUnsupported bool // it was said that some orders cannot be carried out
}

// New makes a Desk.
func New(d policy.Deployment, names flatsettings.Names, lists Lists, log *logrus.Entry) *Loop {
	return &Loop{
		assigner:     policy.New(d),
		products:     len(d.Products),
		removalBinds: d.RemovalBinds,
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
		n.From.Fault(err)
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

func (d *Loop) handle(from Stream, said any) error {
	switch said := said.(type) {
	case reconcile.List:
		d.onList(said, policy.ListChange)
	case reconcile.Failed:
		d.events = append(d.events, policy.ListUpdate{Kind: policy.ListFailed})
	case textproto.Source:
		if _, joined := d.proxyOf[from]; joined || d.collectors[from] {
			return errAlreadyJoined
		}
		if !slices.Contains(d.names.Zones, said.Zone) {
			from.Refused()
			return errZone
		}
		d.collectors[from] = true
		from.Known("collector " + said.Zone)
	case textproto.Subscribe:
		return d.join(from, said)
	case textproto.Ack:
		p, err := d.reportingProxy(from, said.Proxy)
		if p == nil {
			return err
		}
		// Only marks that this stream was sent are answers; each is taken once.
		if at := slices.Index(p.pendingMarkers, said.Number); at >= 0 {
			p.pendingMarkers = slices.Delete(p.pendingMarkers, at, at+1)
			d.events = append(d.events, policy.MarkerAcked{Proxy: said.Proxy, Number: said.Number})
		}
	case textproto.UsageReport:
		k := d.product(said.Product)
		if k < 0 {
			return errProduct
		}
		p, err := d.reportingProxy(from, said.Proxy)
		if p != nil {
			d.events = append(d.events, policy.UsageReport{Proxy: said.Proxy, Product: k, Txns: said.Txns,
				Failed: said.Failed, Period: said.Period})
			if d.observer != nil && said.Period > 0 {
				d.observer.Uses(
					said.Proxy,
					said.Product,
					d.names.Zones[p.zone],
					said.Txns*float64(policy.Second)/float64(said.Period),
				)
			}
		}
		return err
	case textproto.BackendReport:
		if _, joined := d.proxyOf[from]; !joined && !d.collectors[from] {
			return errUnknownSender
		}
		if !slices.Contains(d.names.Zones, said.Zone) {
			return errZone
		}
		b, listed := d.index[said.Backend]
		if !listed {
			return errBackend
		}
		d.events = append(d.events, policy.BackendReport{Backend: b, Attempts: said.Attempts, Failed: said.Failed,
			Latency: said.Latency})
		if d.observer != nil {
			d.observer.Met(
				said.Backend,
				said.Attempts,
				said.Failed,
				time.Duration(said.Latency)*time.Second/time.Duration(policy.Second),
			)
		}
	case tenancy.PlanUpdate, tenancy.Move, tenancy.Undo:
		if d.tenancy == nil {
			d.tenancy = tenancy.New(len(d.proxies))
			d.tenancyEvents = append(d.tenancyEvents, tenancy.ListUpdate{Backends: d.fleet()})
			for i := range d.proxies {
				if p := &d.proxies[i]; p.stream != nil {
					d.tenancyEvents = append(d.tenancyEvents, tenancy.ProxyConnected{Proxy: i, Zone: p.zone})
				}
			}
		}
		d.tenancyEvents = append(d.tenancyEvents, said)
	case RemoteSums:
		for _, h := range said.Reports {
			if b, listed := d.index[h.Backend]; listed { // who tells may know another list
				d.events = append(
					d.events,
					policy.RemoteReport{BackendReport: policy.BackendReport{Backend: b, Attempts: h.Attempts, Failed: h.Failed, Latency: h.Latency}, Age: said.Age},
				)
			}
		}
		uses := make([][]float64, d.products)
		for k := range uses {
			uses[k] = make([]float64, len(d.names.Zones))
		}
		for _, u := range said.Uses {
			if k, z := d.product(u.Product), slices.Index(d.names.Zones, u.Zone); k >= 0 && z >= 0 {
				uses[k][z] += u.Txns
			}
		}
		d.events = append(d.events, policy.RemoteUsage{Uses: uses})
	case warmstart.Believe:
		return d.onRestored(said)
	case ShowCells:
		said.To <- d.show()
	case ShowFleet:
		said.To <- d.fleet()
	case textproto.Closed:
		if at, ok := d.proxyOf[from]; ok && d.proxies[at].stream == from {
			d.leave(at)
		}
		delete(d.proxyOf, from)
		delete(d.collectors, from)
	}
	return nil
}

func (d *Loop) product(name string) int { return slices.Index(d.names.Products, name) }

// reportingProxy is the joined proxy that a report is about; none where it comes late from a stream that was
// replaced.
func (d *Loop) reportingProxy(from Stream, at int) (*proxy, error) {
	if at >= len(d.proxies) {
		return nil, errProxy
	}
	p := &d.proxies[at]
	if own, ok := d.proxyOf[from]; ok {
		if own != at || p.stream != from {
			return nil, nil
		}
	} else if !d.collectors[from] {
		return nil, errUnknownSender
	}
	if p.stream == nil {
		return nil, nil
	}
	return p, nil
}

func (d *Loop) leave(at int) {
	d.removeUser(at)
	d.proxies[at] = proxy{}
	d.events = append(d.events, policy.ProxyDisconnected{Proxy: at})
	if d.observer != nil {
		d.observer.Left(at)
	}
}

func (d *Loop) join(from Stream, said textproto.Subscribe) error {
	zone := slices.Index(d.names.Zones, said.Zone)
	switch _, again := d.proxyOf[from]; {
	case again || d.collectors[from]:
		return errAlreadyJoined
	case said.Proxy >= len(d.proxies):
		from.Refused()
		return errProxy
	case zone < 0:
		from.Refused()
		return errZone
	}
	p := &d.proxies[said.Proxy]
	d.proxyOf[from] = said.Proxy
	if old := p.stream; old != nil {
		// Of two streams the one that was opened later holds, in whatever order their first lines are read.
		if from.Since() < old.Since() {
			from.Replaced()
			return nil
		}
		d.leave(said.Proxy)
		old.Replaced()
	}
	from.Known(fmt.Sprint("proxy ", said.Proxy))
	*p = proxy{stream: from, zone: zone, tables: slices.Repeat([]int{none}, d.products), initial: usabilityUnknown}
	if said.Fresh {
		p.initial = usable // nothing was ordered, so nothing is shut out
	}
	d.events = append(d.events, policy.ProxyConnected{Proxy: said.Proxy, Zone: zone, Rate: said.Rate, BringsTables: !said.Fresh})
	return nil
}

// SetKnownList takes the list that the controller held last.
func (d *Loop) SetKnownList(l reconcile.List) { d.onList(l, policy.ListCached) }

func (d *Loop) onList(l reconcile.List, kind policy.ListKind) {
	if l.Whole && kind == policy.ListChange {
		kind = policy.ListFull
	}
	statuses := map[string]policy.Status{reconcile.Serving: policy.Ready, reconcile.Draining: policy.Draining,
		reconcile.Deleted: policy.Gone}
	entries, seen := make([]policy.Entry, 0, len(l.Members)), map[int]bool{}
	var odd []reconcile.Member
	for _, m := range l.Members {
		status, ok := statuses[m.Phase]
		zone := slices.Index(d.names.Zones, m.Zone)
		at, listed := d.index[m.ID]
		if !ok || m.ID == "" || zone < 0 && status != policy.Gone {
			odd = append(odd, m)
			continue
		}
		if !listed && status == policy.Gone {
			continue
		}
		if !listed {
			at = d.allocateIndex(m.ID)
		}
		seen[at] = status != policy.Gone
		e := policy.Entry{Backend: at, Zone: zone, Kind: slices.Index(d.names.Kinds, m.Kind),
			Status: status, Weight: max(m.Size, 0)}
		if up := m.UpSince * float64(policy.Second) / 1000; up > 0 {
			e.StartedAt = policy.Time(math.Min(up, float64(maxTime)))
		}
		entries = append(entries, e)
		d.entries = append(d.entries, make([]policy.Entry, max(at+1-len(d.entries), 0))...)
		if status != policy.Gone {
			d.entries[at] = e
		}
	}
	if len(odd) > 0 {
		d.log.WithFields(logrus.Fields{"count": len(odd), "first": odd[0].ID, "phase": odd[0].Phase,
			"zone": odd[0].Zone}).Warn("entries of the list are read past")
	}
	for at, was := range d.listed {
		on, named := seen[at]
		if d.listed[at] = on || was && !named && !l.Whole; was && !d.listed[at] {
			d.goneAt[at] = d.now
		}
	}
	d.events = append(d.events, policy.ListUpdate{Kind: kind, Entries: entries})
}

// allocateIndex gives a backend a place of its own, one that was given back where there is one.
func (d *Loop) allocateIndex(id string) (at int) {
	if n := len(d.free); n > 0 {
		at, d.free = d.free[n-1], d.free[:n-1]
	} else {
		at = len(d.backends)
		d.backends, d.withdrawn, d.listed = append(d.backends, ""), append(d.withdrawn, false), append(d.listed, false)
		d.goneAt = append(d.goneAt, 0)
	}
	d.index[id], d.backends[at], d.goneAt[at] = at, id, d.now
	return at
}

// releaseIndices frees the places of backends that are gone for long and that no proxy has a line of: ids never come
// to an end. What is heard of such a one later names nobody. Once a second: it asks all proxies about each.
func (d *Loop) releaseIndices() {
	if d.now < d.releasedAt+policy.Second {
		return
	}
	d.releasedAt = d.now
	for at, id := range d.backends {
		holds := func(p proxy) bool { return p.stream != nil && d.mayHaveLine(&p, at) }
		if id == "" || d.listed[at] || d.now < d.goneAt[at]+indexRetention || slices.ContainsFunc(d.proxies, holds) {
			continue
		}
		delete(d.index, id)
		d.backends[at], d.withdrawn[at], d.free = "", false, append(d.free, at)
		for i := range d.proxies {
			if told := d.proxies[i].notified; at < len(told) {
				told[at] = usabilityUnknown
			}
		}
		for _, t := range d.tables { // of proxies that left
			if at < len(t.weight) {
				t.weight[at] = 0
			}
		}
		d.events = append(d.events, policy.IndexReleased{Backend: at})
	}
}

// Step lets the module decide on what was heard since the last one, and sends what it orders.
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
