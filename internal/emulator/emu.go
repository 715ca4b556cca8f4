// Package emulator plays clients, proxies and backends in virtual time before the real desk, decisions, cells and text,
// with late sums and late lists. The same seed gives the same day. It knows what the public protocol and this
// project's notes say, and measures one thing that benches elsewhere cannot show: tenants beside each other.
package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/aggregation"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

// Time is a virtual moment.
type Time = policy.Time

const messageOverhead = 6 // that a message counts for beside its own

const (
	ms     = policy.Second / 1000
	second = policy.Second
)

// Safety says what a repeat of a product's txn can do.
type Safety uint8

// Kinds of Safety. A keyed one carries a mark, at which the backends of one zone drop a repeat for a while.
const (
	Safe Safety = iota
	Keyed
	Unsafe
)

// Product is a class of txns.
type Product struct {
	Name          string
	Part          float64 // of all txns
	Work          float64 // seconds of a core of speed 1
	SLA, Deadline Time
	Safety        Safety
	OwnZone       bool
}

// Proxy is one of a tenant's.
type Proxy struct {
	Zone   int
	Tenant string
	Rate   float64 // txns/s
}

// Backend is a server.
type Backend struct {
	ID    string
	Zone  int
	Cores int
	Speed float64
	Size  float64 // that the list shows; 0: as it is
}

// Day is what is played.
type Day struct {
	Seed           uint64
	Zones          int
	Products       []Product
	Proxies        []Proxy
	Backends       []Backend
	Controllers    int
	Plan           *tenancy.Plan // nil: nobody is confined
	WarmupTime     Time
	WarmupCapacity float64 // capacity of one that has just started
	WarmupOverload float64 // multiple of its capacity that tips it
	TipAfter       Time
	MarkFor        Time // that a zone's backends drop a repeat
	ReportDelay    Time
	ListDelay      Time
	Dial           Time    // until a proxy whose stream broke has joined again
	Again          int     // times that a poisoned tenant's clients repeat what failed
	LinesPerS      float64 // of a controller's channel, in which messages leave one after the other; 0: they do not wait
	MaxQueuedLines float64 // that may wait there
	Recall         Recall
	Channel        bool // proxies subscribe to the channel, in place of the platform's streams
	Grace          Time // after which a try at a backend that drains or is gone is a late one
	Told           Time // how often controllers tell sums on; 0: never
	Oracle         bool // proxies take the better of two draws from all that is open, by the true state: a baseline
	Naive          bool // proxies take the line that seems least loaded by what was told last: another one
	Careless       bool // proxies try again after any failure, as none of ours may: to see that the ledger notices
}

// Recall is where a controller that starts knows something from.
type Recall uint8

// Sources of recall, to be added up.
const (
	FromStore Recall = 1 << iota // what it wrote itself until it died
	FromPeer                     // what another one that runs knows
)

// Sum is what became of a tenant's txns.
type Sum struct{ Requested, Served, Late, Declined, Failed int }

// Service is the part that was served in its SLA time.
func (s Sum) Service() float64 { return float64(s.Served) / math.Max(float64(s.Requested), 1) }

type action struct {
	at  Time
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) } //nolint:forcetypeassert // container/heap passes any
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// World is a day under way.
type World struct {
	Day
	Now     Time
	Poison  map[string]float64 // work of a tenant's txns, times so much
	Bad     map[string]bool    // backends that answer at once with errors
	Sums    map[string][]Sum   // by tenant and second
	Effects map[int]int        // by txn that is not safe: how often it took effect
	Tipped  []string           // backends that were pushed over
	Bare    int                // txns that found no line
	// tries at what drains or is gone, longer than the grace after joined proxies' controllers were told
	Late     int
	Backlog  float64                              // the most lines that waited in a channel
	Hung     map[string]bool                      // backends that take txns and say nothing
	Notes    []string                             // of the controllers
	Parted   func(i, j int) bool                  // controllers that cannot reach each other; nil: none
	Twist    func(i int, up *aggregation.Partial) // what a controller tells in place of the truth; nil: all tell the truth
	Spoken   []int                                // bytes that each controller told and heard
	Moved    int                                  // messages to proxies
	chance   *rand.Rand
	agenda   agenda
	seq      int
	txns     int
	proxies  []*proxy
	backends []*backend
	byID     map[string]*backend
	control  []*controller
	revision int64
}

type controller struct {
	w       *World
	loop    *eventloop.Loop
	sources []*stream
	down    bool
	epoch   int
	freeAt  Time // when all that was written has left its channel
	topics  *session.Broker
	owners  map[string]*topic // of topics
	copies  map[string]topicCopy
	node    *aggregation.Node  // nil: nothing is told on
	used    map[[2]int]float64 // txns/s that its proxies reported, smoothed, by proxy and product
	turns   int
	waits   bool // for those below it
}

// topicCopy is a fact, with the moment at which it was true.
type topicCopy struct {
	warmstart.Fact
	at Time
}

// facts are those that are kept, as they are told now.
func (c *controller) facts() (all []warmstart.Fact) {
	for _, key := range slices.Sorted(maps.Keys(c.copies)) {
		k := c.copies[key]
		k.Age = time.Duration(c.w.Now-k.at) * time.Second / time.Duration(second)
		all = append(all, k.Fact)
	}
	return all
}

// remember lets a controller that starts recall what its sources tell.
func (c *controller) remember() {
	var events []warmstart.Event
	if c.w.Recall&FromStore != 0 {
		events = append(events, warmstart.Received{Source: "store", Facts: c.facts()})
	}
	for i, other := range c.w.control {
		if c.w.Recall&FromPeer != 0 && other != c && !other.down && len(other.copies) > 0 {
			events = append(events, warmstart.Received{Source: strconv.Itoa(i), Facts: other.facts()})
			break
		}
	}
	for _, o := range warmstart.New(warmstart.DefaultConfig()).Step(0, events) {
		if b, ok := o.(warmstart.Accepted); ok {
			c.loop.Handle(eventloop.Command{Message: b})
		}
	}
	name := strconv.Itoa(slices.Index(c.w.control, c))
	c.loop.SetFactSink(func(facts []warmstart.Fact) {
		for _, f := range facts {
			f.Origin = name
			c.copies[f.Kind.String()+" "+f.Key] = topicCopy{f, c.w.Now - Time(f.Age*time.Duration(second)/time.Second)}
		}
	})
}

// stream is a connection to a controller; proxy is -1 for a collector.
type stream struct {
	c        *controller
	openedAt uint64
	proxy    int
	over     bool
	as       eventloop.Stream // what the desk knows it as; nil: itself
}

// from is the stream that the desk knows.
func (s *stream) from() eventloop.Stream {
	if s.as != nil {
		return s.as
	}
	return s
}

func (s *stream) Sequence() uint64  { return s.openedAt }
func (s *stream) SetPeer(string)    {}
func (s *stream) RecordFault(error) {}
func (s *stream) CloseReplaced()    { s.over = true }
func (s *stream) CloseRefused()     { s.over = true }

// Send is an order on its way: a few ms later the proxy has it, if the stream is still there.
func (s *stream) Send(message []byte) {
	if s.proxy < 0 || s.over {
		return
	}
	w, text := s.c.w, string(message)
	w.Moved++
	w.after(3*ms+s.c.wait(text), func() {
		if p := w.proxies[s.proxy]; p.stream == s && !s.over {
			p.obey(text)
		}
	})
}

// wait is how long a message is in the channel, behind all that was written before it.
func (c *controller) wait(text string) Time {
	if c.w.LinesPerS == 0 {
		return 0
	}
	lines := float64(
		messageOverhead + strings.Count(
			text,
			":",
		) + strings.Count(
			text,
			"whole=",
		) + strings.Count(
			text,
			"level=",
		) + strings.Count(
			text,
			"ticket=",
		),
	)
	for _, field := range []string{"out=", "back="} {
		for _, part := range strings.Split(text, " ") {
			if list, ok := strings.CutPrefix(part, field); ok {
				lines += float64(1 + strings.Count(list, ","))
			}
		}
	}
	return c.delay(lines)
}

// delay is how long so many lines are in the channel, behind what was written before them.
func (c *controller) delay(lines float64) Time {
	if c.w.LinesPerS == 0 {
		return 0
	}
	c.freeAt = max(c.freeAt, c.w.Now) + Time(lines/c.w.LinesPerS*float64(second))
	c.w.Backlog = max(c.w.Backlog, float64(c.freeAt-c.w.Now)/float64(second)*c.w.LinesPerS)
	return c.freeAt - c.w.Now
}

type table struct {
	weight map[string]float64
	level  float64
	tries  int
	credit float64 // txns that the level lets in now
	at     Time
}

type proxy struct {
	w           *World
	i           int
	zone        int
	tenant      string
	rate        float64
	stream      *stream
	home        int // controller
	tables      []table
	out         map[string]bool
	busy        map[string]int // its own tries under way
	fails       map[string]int // in a row
	shun        map[string]Time
	sinceReport map[string]*contact // since the last report
	used        []struct{ txns, voided int }
	ever        bool
	copy        session.Replica // of a channel's topic
	conn        int             // to a channel; 0: none
	joined      Time
	away        Time // until when it reaches no controller
}

type contact struct {
	attempts, failed int
	took             Time
}

type job struct {
	txn, product int
	work         float64
	done         func(ok bool)
}

type backend struct {
	w           *World
	spec        Backend
	dead        bool
	listed      string
	announcedAt Time // when controllers are told that it drains or is gone
	up          Time
	queue       []job
	running     int
	epoch       int
	tried       int
	seen        int     // ... as told last
	seems       float64 // load for its size, as told last
	arrivals    []Time  // of the last second: work that came, for tipping
	overAt      Time
	marks       map[int]Time
}

// New sets a day up; Run plays it.
func New(d Day) *World {
	w := &World{
		Day:      d,
		Now:      1000 * second,
		Poison:   map[string]float64{},
		Bad:      map[string]bool{},
		Hung:     map[string]bool{},
		Sums:     map[string][]Sum{},
		Effects:  map[int]int{},
		chance:   rand.New(rand.NewPCG(d.Seed, 17)),
		byID:     map[string]*backend{},
		revision: 1,
	}
	for _, b := range d.Backends {
		x := &backend{w: w, spec: b, listed: reconcile.Serving, marks: map[int]Time{}}
		w.backends, w.byID[b.ID] = append(w.backends, x), x
	}
	for range max(d.Controllers, 1) {
		c := &controller{w: w, copies: map[string]topicCopy{}, used: map[[2]int]float64{}}
		w.control = append(w.control, c)
		c.start(d.Plan)
	}
	w.after(0, w.tellMembers)
	if d.Naive {
		w.every(second, second, func() {
			for _, b := range w.backends {
				tried := b.tried
				w.after(w.ReportDelay, func() { b.seems, b.seen = float64(tried-b.seen)/b.strength(), tried })
			}
		})
	}
	for i, p := range d.Proxies {
		x := &proxy{
			w:           w,
			i:           i,
			zone:        p.Zone,
			tenant:      p.Tenant,
			rate:        p.Rate,
			home:        i % len(w.control),
			out:         map[string]bool{},
			busy:        map[string]int{},
			fails:       map[string]int{},
			shun:        map[string]Time{},
			sinceReport: map[string]*contact{},
			tables:      make([]table, len(d.Products)),
			used:        make([]struct{ txns, voided int }, len(d.Products)),
		}
		for k := range x.tables {
			x.tables[k] = table{weight: map[string]float64{}, level: math.Inf(1)}
		}
		w.proxies = append(w.proxies, x)
		x.join()
		x.arrive()
		w.every(second, Time(i)*7*ms, x.report)
	}
	return w
}

func (w *World) after(span Time, do func()) {
	w.seq++
	heap.Push(&w.agenda, action{w.Now + max(span, 0), w.seq, do})
}

func (w *World) every(span, first Time, do func()) {
	var again func()
	again = func() { do(); w.after(span, again) }
	w.after(first, again)
}

// At does something so long after the begin of the day.
func (w *World) At(span Time, do func()) { w.after(1000*second+span-w.Now, do) }

// Run plays a span of the day.
func (w *World) Run(span Time) {
	for end := w.Now + span; len(w.agenda) > 0 && w.agenda[0].at < end; {
		a := heap.Pop(&w.agenda).(action) //nolint:forcetypeassert // container/heap passes any
		w.Now = a.at
		a.do()
	}
}

// since is the time since the begin of the day.
func (w *World) elapsed() Time { return w.Now - 1000*second }

func (w *World) zone(z int) string { return string(rune('a' + z)) }

// note takes a controller's log line.
func (w *World) Write(line []byte) (int, error) {
	w.Notes = append(
		w.Notes,
		fmt.Sprintf("%.1f %s", float64(w.elapsed())/float64(second), strings.TrimSpace(string(line))),
	)
	return len(line), nil
}

// start begins a controller that knows the list and the file only.
func (c *controller) start(plan *tenancy.Plan) {
	w := c.w
	c.epoch++
	c.down, c.freeAt = false, 0
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableQuote: true})
	if w.Plan == nil {
		log.SetOutput(io.Discard)
	}
	names := flatsettings.Names{Kinds: []string{"m"}}
	dep := policy.Deployment{
		Zones:           w.Zones,
		Proxies:         len(w.Proxies),
		HonorRemovals:   true,
		WarmupTime:      w.WarmupTime,
		WarmupCapacity:  w.WarmupCapacity,
		WarmupOverload:  w.WarmupOverload,
		MinConns:        2000,
		LinesPerSecond:  cmp.Or(w.LinesPerS, 3000),
		MaxQueuedLines:  cmp.Or(w.MaxQueuedLines, 6000),
		MessageOverhead: messageOverhead,
		MaxMessages:     60,
		MessageWindow:   10 * second,
		FirstTick:       c.phase(second),
	}
	for z := range w.Zones {
		names.Zones = append(names.Zones, w.zone(z))
	}
	for _, p := range w.Products {
		names.Products = append(names.Products, p.Name)
		dep.Products = append(dep.Products, policy.Product{Revenue: 1, SLA: p.SLA, OwnZone: p.OwnZone})
	}
	c.loop = eventloop.New(dep, names, nobody{}, logrus.NewEntry(log))
	c.loop.SetCachedList(w.list())
	if w.Recall != 0 {
		c.remember()
	}
	if plan != nil {
		p := *plan
		p.Products, p.Zones, p.WarmupTime = dep.Products, w.Zones, w.WarmupTime
		c.loop.Handle(eventloop.Command{Message: tenancy.PlanUpdate{Plan: p}})
	}
	c.topics = nil
	if w.Channel {
		c.serve()
	}
	if w.Told > 0 {
		c.tellOn()
	}
	c.sources = nil
	for z := range w.Zones {
		s := &stream{c: c, proxy: -1}
		c.loop.Handle(eventloop.Command{From: s, Message: textproto.Source{Zone: w.zone(z)}})
		c.sources = append(c.sources, s)
	}
	epoch := c.epoch
	var turn func()
	turn = func() {
		if c.epoch == epoch && !c.down {
			c.loop.Step(w.Now)
			w.after(20*ms, turn)
		}
	}
	w.after(0, turn)
}

type nobody struct{}

func (nobody) Follow(bool) {}
func (nobody) Reload()     {}

func (w *World) list() reconcile.List {
	l := reconcile.List{Revision: w.revision, Complete: true}
	for _, b := range w.backends {
		if b.listed != reconcile.Deleted {
			l.Members = append(l.Members, b.member())
		}
	}
	return l
}

func (b *backend) member() reconcile.Member {
	return reconcile.Member{
		ID:      b.spec.ID,
		Zone:    b.w.zone(b.spec.Zone),
		Kind:    "m",
		Phase:   b.listed,
		Weight:  cmp.Or(b.spec.Size, float64(b.spec.Cores)*b.spec.Speed),
		UpSince: float64(b.up) / float64(ms),
	}
}

// tell hands a change of the list to each controller, late.
func (w *World) tell(b *backend) {
	w.revision++
	if b.announcedAt = w.Now + w.ListDelay; b.listed == reconcile.Serving {
		b.announcedAt = 0
	}
	l := reconcile.List{Revision: w.revision, Members: []reconcile.Member{b.member()}}
	for _, c := range w.control {
		epoch := c.epoch
		w.after(w.ListDelay, func() {
			if c.epoch == epoch && !c.down {
				c.loop.Handle(eventloop.Command{Message: l})
			}
		})
	}
}

// AnnounceList hands each controller the whole list, as another discovery does that it has moved to.
func (w *World) AnnounceList() { w.Say(w.list()) }

// Say hands something to each controller, as an operator does.
func (w *World) Say(said any) {
	for _, c := range w.control {
		if !c.down {
			c.loop.Handle(eventloop.Command{Message: said})
		}
	}
}

// Kill ends a controller; it begins anew from a file after a while. Its proxies dial another meanwhile.
func (w *World) Kill(i int, away Time, file *tenancy.Plan) {
	c := w.control[i]
	c.down = true
	c.epoch++
	w.after(noticed, w.tellMembers)
	for _, p := range w.proxies {
		if p.stream != nil && p.stream.c == c || p.conn != 0 && p.home == i {
			p.Cut()
			p.home = i // it is dialled again first, and may be back
		}
	}
	w.after(away, func() { c.start(file); w.after(noticed, w.tellMembers) })
}

// CutProxy breaks a proxy's stream.
func (w *World) CutProxy(i int) { w.proxies[i].Cut() }

// CutZone breaks the streams of a zone's proxies; they reach no controller for a while.
func (w *World) CutZone(zone int, span Time) {
	for _, p := range w.proxies {
		if p.zone == zone {
			p.away = w.Now + span
			p.Cut()
		}
	}
}

// Shares are the parts of the weights that all proxies hold for a product that each backend has.
func (w *World) Shares(product int) map[string]float64 {
	all := map[string]float64{}
	for _, p := range w.proxies {
		sum := 0.0
		t := p.tables[product].weight
		for _, id := range slices.Sorted(maps.Keys(t)) {
			sum += t[id]
		}
		for id, weight := range t {
			all[id] += weight / math.Max(sum, 1e-9) / float64(len(w.proxies))
		}
	}
	return all
}

// Joined counts the proxies at each controller.
func (w *World) Joined() []int {
	at := make([]int, len(w.control))
	for _, p := range w.proxies {
		for i, c := range w.control {
			if p.stream != nil && p.stream.c == c {
				at[i]++
			}
		}
	}
	return at
}

// Restart lets a backend die and come back cold.
func (w *World) Restart(id string, away Time) {
	b := w.byID[id]
	b.die()
	w.after(away, func() {
		b.dead, b.up, b.listed, b.overAt = false, w.Now, reconcile.Serving, 0
		w.tell(b)
	})
}

func (b *backend) die() {
	b.dead, b.listed = true, reconcile.Deleted
	b.epoch++
	queue := b.queue
	b.queue, b.running = nil, 0
	for _, j := range queue {
		j.done(false)
	}
	b.w.tell(b)
}

// Drain marks a backend draining, or serving again.
func (w *World) Drain(id string, on bool) {
	b := w.byID[id]
	if b.listed = reconcile.Serving; on {
		b.listed = reconcile.Draining
	}
	w.tell(b)
}

// Lines are the backends that a proxy may pick for a product.
func (w *World) Lines(proxy, product int) (ids []string) {
	p := w.proxies[proxy]
	for id, weight := range p.tables[product].weight {
		if weight > 0 && !p.out[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *proxy) join() {
	w := p.w
	for range w.control { // the next one that is there
		if !w.control[p.home].down {
			break
		}
		p.next()
	}
	c := w.control[p.home]
	if c.down || p.away > w.Now {
		w.after(w.Dial, p.join)
		return
	}
	w.seq++
	p.joined = w.Now
	if w.Channel {
		p.subscribe(c)
		return
	}
	p.stream = &stream{c: c, openedAt: uint64(w.seq), proxy: p.i}
	c.loop.Handle(
		eventloop.Command{
			From:    p.stream,
			Message: textproto.Subscribe{Proxy: p.i, Zone: w.zone(p.zone), Rate: p.rate, Fresh: !p.ever},
		},
	)
}

// next turns to another controller; who turns away from one that died does not all turn to the same.
func (p *proxy) next() {
	n := len(p.w.control)
	p.home = (p.home + 1 + p.i/n%max(n-1, 1)) % n
}

// Cut breaks the stream; the proxy keeps its tables and dials again.
func (p *proxy) Cut() {
	s := p.stream
	if s == nil && p.conn == 0 {
		return
	}
	p.stream = nil
	if p.conn != 0 {
		p.unsubscribe()
	} else if !s.c.down {
		s.c.loop.Handle(eventloop.Command{From: s, Message: textproto.Closed{}})
	}
	p.next()
	p.w.after(p.w.Dial+Time(p.i%16)*p.w.Dial/32, p.join)
}

// obey takes a message of one or more parts.
func (p *proxy) obey(text string) {
	p.ever = true
	for part := range strings.Lines(text) {
		words := map[string]string{}
		for _, word := range strings.Fields(part)[1:] {
			name, value, _ := strings.Cut(word, "=")
			words[name] = value
		}
		for k, product := range p.w.Products {
			if names, some := words["classes"]; some && !slices.Contains(strings.Split(names, "+"), product.Name) {
				continue
			}
			t := &p.tables[k]
			if words["whole"] == "1" {
				t.weight, t.level = map[string]float64{}, math.Inf(1)
			}
			for _, l := range strings.FieldsFunc(words["lines"], func(c rune) bool { return c == ',' }) {
				id, weight, _ := strings.Cut(l, ":")
				t.weight[id], _ = strconv.ParseFloat(weight, 64)
			}
			if level, ok := words["level"]; ok {
				t.level, _ = strconv.ParseFloat(level, 64)
				t.tries, _ = strconv.Atoi(words["retry"])
			}
		}
		for _, id := range strings.FieldsFunc(words["out"], func(c rune) bool { return c == ',' }) {
			p.out[id] = true
		}
		for _, id := range strings.FieldsFunc(words["back"], func(c rune) bool { return c == ',' }) {
			delete(p.out, id)
		}
		if ticket, ok := words["ticket"]; ok {
			n, _ := strconv.Atoi(ticket)
			s := p.stream
			p.w.after(3*ms, func() {
				if p.stream == s && s != nil {
					s.c.loop.Handle(eventloop.Command{From: s, Message: textproto.Ack{Proxy: p.i, Marker: n}})
				}
			})
		}
	}
}
