// Package proxy is the carrier's side of the gateway: it takes requests from clients, sends each to a backend and
// returns the answer, by what the controllers tell it.
//
// One goroutine owns what was told (own) and works through a queue of commands; requests read an immutable view by
// one atomic pointer, and the settler under one small mutex that is never held over I/O. So no request waits for a
// controller, and a carrier that reaches none goes on with what it knows.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

const (
	renewEvery = time.Second
	silentFor  = 3 * time.Second // a line that says nothing for so long has died: renewals are answered each second
	dialAgain  = 250 * time.Millisecond
	wantAgain  = 400 * time.Millisecond
	// a new life that cannot read enough controllers calls itself ready after this all the same
	readAtLeast = 3 * time.Second
	doubtBeats  = 4                // beats without anybody's word from which a backend is not used
	forgetAfter = 90 * time.Second // what is gone is remembered so that an old word does not bring it back
	zonePrefix  = "zone/"
	charterName = "charter"
)

// Options make a Carrier.
type Options struct {
	Settings *bootconfig.Settings
	Log      hclog.Logger
	Clock    clockwork.Clock
	Dial     func(address string) (net.Conn, error) // to controllers
	Backends upstream.Options                       // how backends are dialled
}

type controller struct {
	who     rpc.Node
	line    *rpc.Conn // nil: down
	life    uint64
	upAt    time.Duration
	lostAt  time.Duration          // when the line broke
	settled bool                   // it knows of backends what others know
	votes   bool                   // its disk does, and it was in contact with a majority when it said what it holds
	held    map[string]rpc.Version // ... then
	safe    rpc.Version            // the newest configuration that it said to be in force
	asked   int                    // how often it was asked for the one that is wanted
	members map[string]rpc.ProxyInfo
	sent    sentTimes     // of the renewals
	renewed time.Duration // the sending of the newest that was answered; negative: none
	touch   touch
}

type life struct {
	rpc.Endpoint
	vouchers  map[string]bool // by controller
	lonelyAt  time.Duration   // since when nobody vouches
	coldUntil time.Duration
	goneAt    time.Duration
	heardAt   time.Duration // the last word of it
}

// Carrier is one process that carries.
type Carrier struct {
	o     Options
	log   hclog.Logger
	me    rpc.Node
	life  uint64
	began time.Time
	queue *session.CommandQueue
	keep  *session.Dialer // its Keep belongs to own

	view     atomic.Pointer[routeconfig.Config]
	ready    atomic.Bool
	stopping atomic.Bool
	mu       sync.Mutex // of settler
	settler  *balancer.Settler
	pool     *upstream.Pool
	server   *http.Server

	clients     atomic.Int64
	clientsMost int64

	// Owned by own.
	controllers map[string]*controller
	epoch       rpc.Epoch // who votes in the core: the newest that was heard
	lives       map[string]*life
	zones       map[string]rpc.Register  // evacuations
	takenBack   map[string]time.Duration // when a zone was taken back
	have        rpc.Version              // of the configuration in the view
	wanted      rpc.Version              // the newest configuration that is in force somewhere
	wantedAt    time.Duration
	renewal     uint64
	steersAt    string
	left        bool          // the leases were given back
	heardAt     time.Duration // the first word of any controller
}

// New makes a Carrier; Run starts it.
func New(o Options) *Carrier {
	c := &Carrier{o: o, log: o.Log, life: rand.Uint64() | 1, began: o.Clock.Now(), queue: session.NewCommandQueue(1024),
		controllers: map[string]*controller{}, lives: map[string]*life{}, zones: map[string]rpc.Register{},
		takenBack: map[string]time.Duration{}, heardAt: -1, renewal: 1}
	set := o.Settings
	c.me = rpc.Node{Name: set.Name, Zone: set.Zone, Address: set.OwnPeerAddress()}
	c.keep = &session.Dialer{
		Queue:         c.queue,
		Clock:         o.Clock,
		Dial:          o.Dial,
		RetryInterval: dialAgain,
		ReadTimeout:   silentFor,
		Hello: func() *rpc.Message {
			return &rpc.Message{Hello: &rpc.Hello{Node: c.me, Incarnation: c.life, IsProxy: true}}
		},
		OnMessage:    c.heard,
		OnDisconnect: c.lost,
	}
	o.Backends.Now = o.Clock.Now
	if c.clientsMost = int64(set.Limits.MaxFDs) * 6 / 10; c.clientsMost == 0 {
		c.clientsMost = 2400
	}
	c.pool = upstream.New(o.Backends)
	c.server = c.newServer()
	c.settler = balancer.New(set.Name, set.Zone, balancer.Bounds{
		RetryRatio:  set.Bounds.RetryRatio,
		RetrySlack:  set.Bounds.RetrySlack,
		RetryWindow: set.Bounds.RetryWindow.Duration(),
		ColdExcess:  set.Bounds.SlowStartExcess,
		ColdSlack:   set.Bounds.SlowStartSlack,
	}, 0)
	return c
}

// Run owns what is told until Stop.
func (c *Carrier) Run() {
	c.keep.ConnectAll(c.o.Settings.SeedPeerAddresses())
	ticks := c.o.Clock.NewTicker(renewEvery)
	for {
		select {
		case f := <-c.queue.Commands():
			f()
		case <-ticks.Chan():
			c.tick()
		case <-c.queue.Stopped():
			return
		}
	}
}

func (c *Carrier) now() time.Duration { return c.o.Clock.Now().Sub(c.began) }

func (c *Carrier) lost(name string, _ *rpc.Conn) {
	p := c.controllers[name]
	p.line, p.lostAt = nil, c.now()
	c.log.Info("line lost", "to", name)
}

// heard takes a word of the line that speaks for a controller.
func (c *Carrier) heard(name string, line *rpc.Conn, m *rpc.Message) {
	now := c.now()
	p := c.controllers[name]
	if m.Hello != nil {
		if p == nil {
			p = &controller{}
			c.controllers[name] = p
		}
		was := *p
		*p = controller{who: m.Hello.Node, line: line, life: m.Hello.Incarnation, upAt: now, renewed: -1,
			members: map[string]rpc.ProxyInfo{}}
		if was.life == p.life { // its line alone was lost
			p.touch = was.touch
		} else {
			p.touch.since = now
		}
		if c.heardAt < 0 {
			c.heardAt = now
			c.o.Clock.AfterFunc(readAtLeast+time.Millisecond, func() { // what then counts is to be had at once
				c.queue.Post(func() {
					c.want(c.now())
					c.judgeReady(c.now())
				})
			})
		}
		for _, l := range c.lives { // its first words say anew whom it vouches for
			c.unvouch(now, l, name)
		}
		c.log.Info("line up", "to", name)
		c.renew(p, false)
	}
	if m.Hello != nil || m.StoredVersions != nil || m.LeaseRenewed > 0 { // the words that say it
		p.touch.hear(now, m.NoQuorum)
	}
	p.settled = p.settled || m.EndpointsSynced
	for _, k := range m.KnownPeers {
		c.keep.Connect(k.Address)
	}
	if m.Epoch != nil && m.Epoch.Number > c.epoch.Number {
		c.epoch = *m.Epoch
		for _, v := range c.epoch.AllVoters() {
			c.keep.Connect(v.Address)
		}
	}
	if m.Complete { // what it holds, told in contact with a majority
		p.votes, p.held = true, m.StoredVersions
	}
	for _, r := range m.CommittedValues {
		if r.Name != charterName || counts(now, c.heardAt, c.view.Load() != nil, p.touch.apart) {
			c.offered(now, r, m.CommittedVersions[r.Name])
		}
	}
	if s, ok := m.CommittedVersions[charterName]; ok && p.safe.Less(s) {
		p.safe = s
	}
	c.want(now)
	if len(m.Endpoints) > 0 {
		for _, b := range m.Endpoints {
			c.told(now, name, b)
		}
	}
	if m.Hello != nil {
		for _, k := range m.Proxies {
			p.members[k.Name] = k
		}
	}
	for _, name := range m.ProxiesRemoved {
		delete(p.members, name)
	}
	for _, k := range m.ProxiesAdded {
		p.members[k.Name] = k
	}
	if m.Hello != nil || len(m.ProxiesRemoved)+len(m.ProxiesAdded) > 0 {
		c.setMembers()
	}
	sent, known := p.sent.of(m.LeaseRenewed)
	if m.RoutingTables == nil && known {
		p.renewed = max(p.renewed, sent)
		c.setRight()
	}
	if len(m.RoutingTables) > 0 && name == c.steersAt {
		if !known || now > sent+tablesFor { // worked out before its process was frozen, or its line held up
			c.log.Warn("tables that are old", "from", name)
			line.Close() // changes would be lost: on the next line they come whole
			return
		}
		c.setTables(now, m.RoutingTables)
	}
	c.judgeReady(now)
}

// judgeReady calls this carrier ready once it has read enough controllers, and has what they hold in force; it stays
// so, whether controllers are there or not.
func (c *Carrier) judgeReady(now time.Duration) {
	if c.ready.Load() || c.view.Load() == nil {
		return
	}
	read, behind := map[string]bool{}, false
	for _, v := range c.epoch.AllVoters() {
		if p := c.controllers[v.Name]; p != nil && p.line != nil && p.settled && p.votes {
			read[v.StoreID] = true
			for name, held := range p.held { // what it holds may be in force, evacuations too
				have := c.have
				if zone, ok := strings.CutPrefix(name, zonePrefix); ok {
					have = c.zones[zone].Version
				}
				behind = behind || have.Less(held)
			}
		}
	}
	enough := c.epoch.HasMajority(func(v rpc.Voter) bool { return read[v.StoreID] }) && !behind
	if enough || now > c.heardAt+readAtLeast {
		c.ready.Store(true)
		c.log.Info("ready", "read", len(read), "version", c.view.Load().Version, "backends", len(c.lives))
	}
}

// offered takes a register that is in force. What was once in force here never gives way to something older, whoever
// says so.
func (c *Carrier) offered(now time.Duration, r rpc.Register, safe rpc.Version) {
	if safe != r.Version {
		return
	}
	if r.Name == charterName {
		if !c.have.Less(r.Version) { // of two bodies under one version, all keep the same
			return
		}
		next, err := routeconfig.Parse(r.Value)
		if err != nil {
			c.log.Error("a configuration in force cannot be read", "err", err)
			return
		}
		c.settle(func(s *balancer.Settler) {
			for _, p := range next.Services {
				s.Configure(p.Name, p.MaxConns, p.SlowStartRate, p.SlowStart)
			}
		})
		// Guards against a new life that knew that a zone was taken back before it knew for how long its backends are cold.
		for _, l := range c.lives {
			if _, back := c.takenBack[l.Zone]; back {
				c.put(now, l)
			}
		}
		c.have = r.Version
		c.view.Store(next)
		c.log.Info("configuration", "version", next.Version)
		return
	}
	if zone, ok := strings.CutPrefix(r.Name, zonePrefix); ok && c.zones[zone].Version.Less(r.Version) {
		was := c.evacuated(zone)
		c.zones[zone] = r
		// Backends of a zone that is taken back may have become cold shortly before. A new life has not seen the zone
		// empty; the order's stamp is the time of day, a hint that is enough here.
		ago := time.Duration(c.o.Clock.Now().UnixMilli()-int64(r.Version.Number)) * time.Millisecond
		switch {
		case c.evacuated(zone):
			delete(c.takenBack, zone)
		case was:
			c.takenBack[zone] = now
		default:
			c.takenBack[zone] = now - max(ago, 0)
		}
		for _, l := range c.lives {
			if l.Zone == zone {
				c.put(now, l)
			}
		}
	}
}

func (c *Carrier) evacuated(zone string) bool { return consensus.IsEvacuated(c.zones[zone].Value) }

// want asks for the newest configuration: of those that said that it is in force one in touch, the nearest, and another
// each time that no answer came. Guards against the nearest one being cut off from the core: it has only what is older.
func (c *Carrier) want(now time.Duration) {
	for _, p := range c.controllers {
		if c.wanted.Less(p.safe) && counts(now, c.heardAt, c.view.Load() != nil, p.touch.apart) {
			c.wanted, c.wantedAt = p.safe, -1
			for _, p := range c.controllers {
				p.asked = 0
			}
		}
	}
	if !c.have.Less(c.wanted) ||
		c.wantedAt >= 0 && now < c.wantedAt+wantAgain {
		return
	}
	var best *controller
	for _, p := range c.sorted() {
		if p.line == nil || p.safe.Less(c.wanted) {
			continue
		}
		if best == nil || p.asked < best.asked || p.asked == best.asked && p.nearer(best, c.me.Zone) {
			best = p
		}
	}
	if best != nil {
		c.wantedAt = now
		best.asked++
		best.line.Send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{charterName}}})
	}
}

// nearer says whether it is rather to be asked than o: in touch, then of the zone.
func (p *controller) nearer(o *controller, zone string) bool {
	if p.touch.apart != o.touch.apart {
		return !p.touch.apart
	}
	return p.who.Zone == zone && o.who.Zone != zone
}

func (c *Carrier) sorted() []*controller {
	var all []*controller
	for _, p := range c.controllers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *controller) int { return strings.Compare(a.who.Name, b.who.Name) })
	return all
}

// told takes a controller's word of a backend. A life only moves on, and an older word says nothing.
func (c *Carrier) told(now time.Duration, from string, b rpc.Endpoint) {
	l := c.lives[b.ID]
	if l == nil {
		l = &life{Endpoint: b, vouchers: map[string]bool{}, lonelyAt: now}
		c.lives[b.ID] = l
	} else if b.Seq >= l.Seq || b.State > l.State {
		was := l.State
		if l.Service != "" && b.Service == "" { // a word of leaving alone
			b.Service, b.Address, b.Zone, b.Capacity = l.Service, l.Address, l.Zone, l.Capacity
		}
		b.Seq = max(b.Seq, l.Seq)
		if l.Endpoint = b; b.State < was {
			l.State = was
		}
	}
	l.heardAt = now
	if b.WarmupRemaining > 0 {
		l.coldUntil = max(l.coldUntil, now+time.Duration(b.WarmupRemaining)*time.Millisecond)
	}
	if l.State == rpc.Gone && l.goneAt == 0 {
		l.goneAt = now
	}
	if b.Live && l.State != rpc.Gone {
		l.vouchers[from] = true
	} else {
		c.unvouch(now, l, from)
	}
	c.put(now, l)
}

func (c *Carrier) unvouch(now time.Duration, l *life, from string) {
	if l.vouchers[from] {
		if delete(l.vouchers, from); len(l.vouchers) == 0 {
			l.lonelyAt = now
		}
	}
}

// put hands what is known of a backend to the settler.
func (c *Carrier) put(now time.Duration, l *life) {
	if l.Service == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.State == rpc.Gone {
		c.settler.Drop(l.ID)
		c.pool.Forget(l.Address)
		return
	}
	cold := l.coldUntil
	if back, ok := c.takenBack[l.Zone]; ok {
		cold = max(cold, back+c.settler.Cold(l.Service))
	}
	c.settler.Put(
		now,
		balancer.Backend{ID: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Capacity: l.Capacity,
			Usable: l.State == rpc.Ready && !c.evacuated(l.Zone) && !c.doubted(now, l), ColdUntil: cold},
	)
}

// doubted: nobody hears its beats, though somebody who has listened for long enough is there. While controllers are
// away, or have just started, their silence says nothing.
func (c *Carrier) doubted(now time.Duration, l *life) bool {
	span := doubtBeats * c.o.Settings.HeartbeatInterval.Duration()
	if now < l.lonelyAt+span {
		return false
	}
	for name := range l.vouchers {
		// One that is gone vouches for nobody any more, once others have had the time to hear the beats.
		if p := c.controllers[name]; p == nil || p.line != nil || now < p.lostAt+span {
			return false
		}
	}
	for _, p := range c.controllers {
		if p.line != nil && now > p.upAt+span {
			return true
		}
	}
	return false
}

func (c *Carrier) setMembers() {
	seen := map[string]balancer.Member{}
	for _, p := range c.controllers {
		if p.line != nil {
			for _, m := range p.members {
				seen[m.Name] = balancer.Member{Name: m.Name, Zone: m.Zone}
			}
		}
	}
	if len(seen) == 0 {
		return
	}
	var all []balancer.Member
	for _, m := range seen {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b balancer.Member) int { return strings.Compare(a.Name, b.Name) })
	c.settle(func(s *balancer.Settler) { s.Members(all) })
}

// setRight: a member is one whose lease most voters renewed; the right ends by this clock before theirs gives it away.
func (c *Carrier) setRight() {
	renewed := map[string]time.Duration{}
	for name, p := range c.controllers {
		if p.renewed >= 0 {
			renewed[name] = p.renewed
		}
	}
	if until, ok := rightUntil(c.epoch, renewed); ok {
		c.settle(func(s *balancer.Settler) { s.Right(until) })
	}
}

func (c *Carrier) setTables(now time.Duration, tables []rpc.RoutingTable) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tables {
		if t.Full || t.Weights != nil {
			c.settler.Weights(t.Service, t.Full, t.Weights)
		}
		if t.Limited {
			c.settler.Level(t.Service, t.RateLimit, now)
		}
	}
}

// tick renews the leases and looks at what time has changed.
func (c *Carrier) tick() {
	now := c.now()
	c.renewal++
	c.pool.Prune(c.o.Clock.Now())
	c.chooseSteerer()
	for _, p := range c.sorted() {
		if p.line != nil && !c.left {
			c.renew(p, true)
		}
	}
	for id, l := range c.lives {
		switch {
		case l.State == rpc.Gone && now > l.goneAt+forgetAfter:
			delete(c.lives, id)
		case l.State != rpc.Gone && c.doubted(now, l):
			if c.put(now, l); now > max(l.lonelyAt, l.heardAt)+forgetAfter { // gone without a word
				c.settle(func(s *balancer.Settler) { s.Drop(id) })
				delete(c.lives, id)
			}
		}
	}
	c.want(now)
	c.judgeReady(now)
}

func (c *Carrier) renew(p *controller, report bool) {
	m := &rpc.Message{Lease: rpc.Lease{RenewLease: c.renewal}}
	p.sent.note(m.RenewLease, c.now())
	if report && p.who.Name == c.steersAt {
		m.WantTables = true
		var r balancer.Report
		c.settle(func(s *balancer.Settler) { r = s.Report() })
		for _, u := range r.Uses {
			m.ServiceLoads = append(m.ServiceLoads, rpc.ServiceLoad{Service: u.Service, Requests: u.Came, Failed: u.Voided})
		}
		for _, t := range r.Met {
			m.EndpointReports = append(m.EndpointReports, rpc.EndpointReport{ID: t.ID, Attempts: t.Tries, Failed: t.Voided,
				Latency: int64(t.Took / (100 * time.Microsecond)), Queued: t.Waiting})
		}
		m.ReportSeconds = renewEvery.Seconds()
	}
	p.line.Send(m)
}

// chooseSteerer turns to the controller that is to steer.
func (c *Carrier) chooseSteerer() {
	var all []candidate
	for _, p := range c.sorted() {
		if p.line != nil {
			all = append(all, candidate{p.who.Name, p.who.Zone, p.touch.steady(c.now(), p.who.Name == c.steersAt)})
		}
	}
	if best := steererOf(c.me.Zone, all); best != "" && best != c.steersAt {
		c.steersAt = best
		c.log.Info("steered by", "controller", best)
	}
}

// leave gives the leases back.
func (c *Carrier) leave() {
	for _, p := range c.sorted() {
		if p.line != nil {
			p.line.Send(&rpc.Message{ProxyChanges: rpc.ProxyChanges{ReleaseLease: true}})
		}
	}
}
