// Package controlplane is the controller's side of the gateway: it holds the operator's word on disk with the other
// controllers, knows the backends by their beats and the carriers by their leases, and tells carriers what changed.
//
// One goroutine owns all tables (own) and works through a queue of commands; lines, the disk and HTTP calls only
// queue and are answered. What is decided lies in accord, presence and bearing.
package controlplane

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
)

const (
	tickEvery   = 200 * time.Millisecond
	dialAgain   = 300 * time.Millisecond
	silentFor   = 3 * time.Second // a line that says nothing for so long has died; every side speaks once a second
	pingEvery   = time.Second
	wordFor     = 900 * time.Millisecond // a word of leaving that is not with enough others by then is not acknowledged
	wokeLate    = time.Second            // a tick that late: this process was frozen, and what it reads may be old
	gatherEach  = 300 * time.Microsecond // for each carrier, that words of what comes may wait, up to the tick
	gatherLeast = 10 * time.Millisecond
	startFor    = 3 * time.Second // in which a controller that was never in touch may still be with others that start
	distrustFor = 500 * time.Millisecond
	charterName = "charter" // the register of the configuration
	zonePrefix  = "zone/"   // ... of the evacuation of a zone
)

// Disk is where records are kept; PutAsync calls done once the record is safe on the disk.
type Disk interface {
	PutAsync(name string, value []byte, done func(error))
	All() map[string][]byte
}

// Options make a Server.
type Options struct {
	Settings  *bootconfig.Settings
	Disk      Disk
	Known     bool // the disk is known never to have forgotten anything
	Fresh     bool // ... it was empty
	Log       hclog.Logger
	Clock     clockwork.Clock
	Dial      func(address string) (net.Conn, error)
	Listen    net.Listener // for controllers and carriers
	TimeOfDay func() time.Time
}

type peer struct {
	told bool // its first words on the line that stands have come
	who  rpc.Node
	out  *rpc.Conn // nil: down
}

type carrier struct {
	who     rpc.Node
	line    *rpc.Conn
	renewed uint64 // the newest renewal that was heard
}

type word struct { // of a backend that leaves, waiting for others to have it
	has   map[string]bool // controllers, by name
	until time.Duration
	done  chan<- error
}

// Server is one controller.
type Server struct {
	o     Options
	log   hclog.Logger
	me    rpc.Node
	life  uint64
	disk  string // the id of its disk
	blank bool   // ... which may have forgotten that there is an epoch
	began time.Time
	queue *session.CommandQueue
	keep  *session.Dialer // its Keep belongs to own

	// Owned by own.
	replica      *consensus.Replica
	table        *registry.Registry
	peers        map[string]*peer // by name
	callers      session.Sessions // lines that other controllers dialled
	carrierLines session.Sessions // that carriers did
	carriers     map[*rpc.Conn]*carrier
	waiting      map[uint64]chan<- consensus.RequestDone
	token        uint64
	words        map[uint64]*word
	seq          uint64
	charter      *routeconfig.Config // in force
	settled      bool                // what others know of backends was heard, or nobody knows more
	touched      bool                // there was contact with a majority at the last look
	everTouched  bool                // ... or before
	tickAt       time.Duration
	pingAt       time.Duration
	doubtTill    time.Duration
	steer        *steerer
	diskFails    int
	pending      []rpc.Endpoint // words for carriers that may wait for the tick
	list         []byte         // All, packed
	listAt       time.Duration
	dueAt        time.Duration // of the timer that calls step; 0: none runs
	leaving      bool
	left         chan struct{} // closed once all is handed over
}

// New makes a Server; Run starts it.
func New(o Options) *Server {
	s := &Server{o: o, log: o.Log, life: rand.Uint64() | 1, began: o.Clock.Now(), queue: session.NewCommandQueue(1024),
		table: registry.New(o.Settings.HeartbeatInterval.Duration()), peers: map[string]*peer{}, callers: session.Sessions{PreferNewest: true}, carrierLines: session.Sessions{PreferNewest: true},
		carriers: map[*rpc.Conn]*carrier{}, waiting: map[uint64]chan<- consensus.RequestDone{}, words: map[uint64]*word{},
		left: make(chan struct{})}
	s.me = rpc.Node{Name: o.Settings.Name, Zone: o.Settings.Zone, Address: o.Settings.OwnPeerAddress(),
		ControlAddress: o.Settings.Listen["control"]}
	s.keep = &session.Dialer{Queue: s.queue, Clock: o.Clock, Dial: o.Dial, SelfName: s.me.Name, RetryInterval: dialAgain,
		ReadTimeout: silentFor, Hello: func() *rpc.Message { return &rpc.Message{Hello: s.hello()} }, OnMessage: s.heardPeer,
		OnDisconnect: s.lost}
	first := o.Settings.Bootstrap && o.Fresh
	drawn := fmt.Sprintf("%016x", rand.Uint64())
	memory, err := consensus.LoadState(s.me.Name, o.Disk.All(), o.Known, first, drawn)
	if err != nil { // a disk that cannot be read has forgotten; the others have what was on it
		s.log.Error("the disk is taken for a new one", "err", err)
		memory, _ = consensus.LoadState(s.me.Name, o.Disk.All(), false, false, drawn)
	}
	s.disk, s.blank = memory.StoreID, memory.MayHaveLostState
	s.replica = consensus.New(consensus.Options{Self: s.me, Incarnation: s.life, MaxFaults: o.Settings.FaultBudget.Machines, Seeds: o.Settings.SeedPeerAddresses(),
		State: memory})
	s.settled = first
	s.steer = newSteerer(s)
	return s
}

func (s *Server) hello() *rpc.Hello {
	return &rpc.Hello{Node: s.me, Incarnation: s.life, StoreID: s.disk, MayHaveLostState: s.blank}
}

// Run serves until the program ends.
func (s *Server) Run() {
	go s.accept()
	ticks := s.o.Clock.NewTicker(tickEvery)
	s.keep.ConnectAll(s.o.Settings.SeedPeerAddresses())
	for _, v := range s.replica.Epoch().AllVoters() {
		s.keep.Connect(v.Address)
	}
	s.step()
	for {
		select {
		case f := <-s.queue.Commands():
			f()
		case <-ticks.Chan():
			s.tick()
		case <-s.queue.Stopped():
			return
		}
	}
}

// Stop ends Run.
func (s *Server) Stop() { s.queue.Stop() }

// Leave hands over to the other controllers what needs this one: orders under way are ended, copies given, the vote moved
// on. It returns once that is done, or after the span. New calls are told to go elsewhere from then on.
func (s *Server) Leave(within time.Duration) {
	s.queue.Do(func() {
		if !s.leaving {
			s.leaving = true
			s.step(consensus.ShutDown{})
		}
	})
	select {
	case <-s.left:
	case <-s.queue.Stopped():
	case <-s.o.Clock.After(within):
		s.queue.Do(func() { s.log.Warn("not all could be handed over", "missing", strings.Join(s.replica.NotHandedOver(), ", ")) })
	}
}

// now is the steady time since the start.
func (s *Server) now() time.Duration { return s.o.Clock.Now().Sub(s.began) }

// step hands events to the replica and carries its orders out.
func (s *Server) step(events ...consensus.Event) {
	for _, o := range s.replica.Step(s.now(), events...) {
		switch o := o.(type) {
		case consensus.Persist:
			s.o.Disk.PutAsync(o.Record, o.Value, func(err error) {
				s.queue.Post(func() {
					if err != nil {
						s.diskFails++
						s.log.Error("the disk failed", "record", o.Record, "err", err)
					}
					s.step(consensus.Persisted{Seq: o.Seq, Err: err})
				})
			})
		case consensus.Send:
			if p := s.peers[o.To]; p != nil && p.out != nil {
				p.out.Send(o.Message)
			}
		case consensus.ValueCommitted:
			s.inForce(o.Register)
		case consensus.EpochEntered:
			s.entered(o.Epoch)
		case consensus.RequestDone:
			if done := s.waiting[o.RequestID]; done != nil {
				delete(s.waiting, o.RequestID)
				done <- o
			}
		case consensus.HandedOver:
			close(s.left)
		}
	}
	s.lookTouch()
	if due := s.replica.NextDeadline(); (s.dueAt == 0 || due < s.dueAt) && due < s.now()+tickEvery {
		s.dueAt = due
		s.o.Clock.AfterFunc(due-s.now(), func() {
			s.queue.Post(func() {
				if s.dueAt == due {
					s.dueAt = 0
				}
				s.step()
			})
		})
	}
}

// entered: who votes has changed.
func (s *Server) entered(e rpc.Epoch) {
	names := []string{}
	for _, v := range e.Voters {
		names = append(names, v.Name)
	}
	s.log.Info("epoch", "number", e.Number, "voters", strings.Join(names, " "), "changing", len(e.OldVoters) > 0)
	for _, v := range e.AllVoters() {
		s.keep.Connect(v.Address)
	}
	s.toCarriers(&rpc.Message{Consensus: rpc.Consensus{Epoch: &e}})
}

// lookTouch tells carriers once contact with a majority is there: what is said from now on is new.
func (s *Server) lookTouch() {
	touched := s.inTouch()
	if touched == s.touched {
		return
	}
	s.everTouched = true
	if s.touched = touched; !touched {
		s.log.Warn("no contact with a majority of the voters", "epoch", s.replica.Epoch().Number)
		return
	}
	s.log.Info("in touch", "epoch", s.replica.Epoch().Number)
	s.toCarriers(s.standing())
}

func (s *Server) inTouch() bool { return s.replica.HasQuorum(s.now()) }

// standing is what this controller holds of the registers, as carriers are told it first on a line.
func (s *Server) standing() *rpc.Message {
	m := &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{StoredVersions: map[string]rpc.Version{}, CommittedVersions: map[string]rpc.Version{}}, NoQuorum: !s.inTouch()}
	m.Complete = s.replica.IsVoter() && !m.NoQuorum
	if e := s.replica.Epoch(); e.Number > 0 {
		m.Epoch = &e
	}
	for _, name := range s.replica.RegisterNames() {
		r, _ := s.replica.Accepted(name)
		m.StoredVersions[name] = r.Version
		if r, is := s.replica.CommittedValue(name); is {
			if m.CommittedVersions[name] = r.Version; name != charterName {
				m.CommittedValues = append(m.CommittedValues, r)
			}
		}
	}
	return m
}

// inForce tells carriers of what has become safe. They ask for a configuration where it is nearest to them.
func (s *Server) inForce(r consensus.Register) {
	s.log.Info("in force", "register", r.Name, "hi", r.Version.Number)
	m := &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{CommittedVersions: map[string]rpc.Version{r.Name: r.Version}}}
	if r.Name == charterName {
		c, err := routeconfig.Parse(r.Value)
		if err != nil { // it was checked before it was written
			s.log.Error("a configuration in force cannot be read", "err", err)
			return
		}
		s.charter = c
		s.steer.configured(c)
	} else {
		m.CommittedValues = []rpc.Register{r}
		s.steer.changed()
	}
	s.toCarriers(m)
}

func (s *Server) toCarriers(m *rpc.Message) {
	body := rpc.Encode(m) // once, for all lines
	for l := range s.carriers {
		l.SendEncoded(body)
	}
}

// evacuated are the zones that nothing is to be sent to.
func (s *Server) evacuated() map[string]bool {
	out := map[string]bool{}
	for _, name := range s.replica.RegisterNames() {
		if zone, ok := strings.CutPrefix(name, zonePrefix); ok {
			if r, is := s.replica.CommittedValue(name); is && consensus.IsEvacuated(r.Value) {
				out[zone] = true
			}
		}
	}
	return out
}

func (s *Server) tick() {
	now := s.now()
	if s.tickAt > 0 && now-s.tickAt > wokeLate {
		s.doubtTill = now + distrustFor
		s.log.Warn("this process did not run", "for", now-s.tickAt)
	}
	s.tickAt = now
	s.step()
	if now >= s.pingAt+pingEvery {
		s.pingAt = now
		for _, p := range s.peers {
			if p.out != nil {
				p.out.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
			}
		}
		s.expire(now)
	}
	s.flush()
	s.steer.step(now)
	for seq, w := range s.words {
		if now > w.until {
			delete(s.words, seq)
			w.done <- apierror.New(apierror.NotDurable, "", nil)
		}
	}
	// Nobody who knows more is there: all founders have told what they know, or what beats say is all there is.
	if !s.settled && (s.metAll() || now > 2*s.o.Settings.HeartbeatInterval.Duration()) {
		s.settled = true
		s.toCarriers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
	}
}

func (s *Server) expire(now time.Duration) {
	if news := s.table.ExpireHeartbeats(now); len(news) > 0 {
		s.toCarriers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: news}})
		s.steer.changed()
	}
	// Once a second and as changes: while a fleet starts, each member told at once to each would be its square.
	if went, came := s.table.LeaseChanges(now); len(went)+len(came) > 0 {
		s.toCarriers(&rpc.Message{ProxyChanges: rpc.ProxyChanges{ProxiesLeft: went, ProxiesJoined: came}})
		s.steer.changed()
	}
}

// metAll says whether all other voters have told their first words on the lines that stand.
func (s *Server) metAll() bool {
	e := s.replica.Epoch()
	for _, v := range e.AllVoters() {
		if p := s.peers[v.Name]; v.Name != s.me.Name && (p == nil || p.out == nil || !p.told) {
			return false
		}
	}
	return e.Number > 0
}

// know takes word of controllers.
func (s *Server) know(all ...rpc.Node) {
	for _, c := range all {
		if c.Name != "" && c.Name != s.me.Name {
			s.keep.Connect(c.Address)
		}
	}
}

func (s *Server) known() []rpc.Node {
	all := []rpc.Node{s.me}
	for _, p := range s.peers {
		if p.who.Name != "" {
			all = append(all, p.who)
		}
	}
	slices.SortFunc(all, func(a, b rpc.Node) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// later tells carriers of what comes, gathered for as long as telling all of them is work, and at once of what leaves
// or turned cold. Few carriers are told at once: after a loss of all each moment without backends is lost.
func (s *Server) later(news []rpc.Endpoint) {
	wait := time.Duration(len(s.carriers)) * gatherEach
	first := len(s.pending) == 0
	s.pending = append(s.pending, news...)
	urgent := wait < gatherLeast
	for _, b := range news {
		urgent = urgent || b.State != rpc.Ready || b.WarmupLeft > 0
	}
	switch {
	case urgent:
		s.flush()
	case first && wait < tickEvery: // else the tick does it
		s.o.Clock.AfterFunc(wait, func() { s.queue.Post(s.flush) })
	}
}

// flush tells carriers what has gathered since the last tick.
func (s *Server) flush() {
	if len(s.pending) > 0 {
		s.toCarriers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.pending}})
		s.pending = nil
	}
}

// packed is the whole list for a carrier that is steered here, made once a tick at most.
func (s *Server) packed() []byte {
	if now := s.now(); s.list == nil || now >= s.listAt+tickEvery {
		s.flush()
		s.list, s.listAt = rpc.Encode(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.table.All(now)}}), now
	}
	return s.list
}
