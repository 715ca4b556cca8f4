// Package controlplane is the server of a control-plane node. It stores what operators order together with the
// other nodes, knows endpoints by their heartbeats and proxies by their leases, tells proxies what changed, and
// steers those of its zone.
//
// One goroutine, the owner (Server.Run), holds all tables and works through a queue of commands. Connections, the disk
// and HTTP calls only queue commands and wait for answers; the owner never waits for any of them. What is decided, is
// decided by packages without I/O: consensus, registry and steering.
//
//	main.go          the program
//	server.go        the Server, its owner and its ticks
//	replica.go       the owner's side of consensus: writes, deadlines, committed values
//	connections.go   connections of peers and proxies, and their messages
//	proxies.go       what proxies are told
//	endpoints.go     how reports of endpoints spread, and their acknowledgement
//	calls.go         HTTP calls: dispatch and answers
//	operatorcalls.go calls of operators
//	endpointcalls.go calls of endpoints
//	metrics.go       the figures that the process keeps of itself
//	steering.go      routing tables for the proxies that are steered here
package controlplane

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
)

const (
	commandQueueCapacity = 1024
	tickInterval         = 200 * time.Millisecond
	dialRetryInterval    = 300 * time.Millisecond
	// connTimeout is when a connection is closed on which nothing arrives: both sides send something each
	// keepAliveInterval.
	connTimeout       = 3 * time.Second
	keepAliveInterval = time.Second
	// suspensionThreshold is how late a tick must be for the process to have been suspended. What it then reads from its
	// sockets may be outdated: for distrustDuration it takes no proposals.
	suspensionThreshold = time.Second
	distrustDuration    = 500 * time.Millisecond
	// foundingLogInterval is the pause between two log lines while nothing is founded.
	foundingLogInterval = 5 * time.Second
	// startupDuration is how long a node that never had quorum contact may still be among others that start.
	startupDuration = 3 * time.Second
)

// Names of registers. They are stored, and sent to proxies and operators, so they do not change.
const (
	configRegister     = "charter" // the configuration
	zoneRegisterPrefix = "zone/"   // before the name of a zone: its evacuations
)

// Disk stores records.
type Disk interface {
	// PutAsync calls done once the record is synced, or has failed.
	PutAsync(name string, value []byte, done func(error))
	// All are the records that are synced.
	All() map[string][]byte
}

// Options make a Server.
type Options struct {
	Settings     *bootconfig.Settings
	Disk         Disk
	DiskComplete bool // the disk is known never to have lost anything
	DiskFresh    bool // the disk was empty
	Log          hclog.Logger
	Clock        clockwork.Clock
	Dial         func(address string) (net.Conn, error)
	Listener     net.Listener     // for nodes and proxies; the Server accepts on it as long as it runs
	TimeOfDay    func() time.Time // dates evacuations
}

// Server is one control-plane node.
type Server struct {
	options          Options
	log              hclog.Logger
	self             rpc.Node
	incarnation      uint64
	storeID          string // of the disk
	mayHaveLostState bool   // the disk may have forgotten that there is an epoch
	startedAt        time.Time
	queue            *session.CommandQueue
	handedOver       chan struct{} // closed once a shutdown has handed over all
	metrics          *serverMetrics

	// The fields below belong to the owner.

	dialer           *session.Dialer
	replica          *consensus.Replica
	registry         *registry.Registry
	steering         *steerer
	peers            map[string]*peer                        // by name
	acceptedPeers    session.Sessions                        // connections that peers dialled
	acceptedProxies  session.Sessions                        // connections that proxies dialled
	proxies          map[*rpc.Conn]*proxyConn                // current ones
	requests         map[uint64]chan<- consensus.RequestDone // by request id
	lastRequestID    uint64
	pendingAcks      map[uint64]*pendingAck // by ack id
	lastAckID        uint64
	config           *routeconfig.Config // committed; nil: none
	endpointsSynced  bool                // what the peers know of endpoints was received, or nobody knows more
	hadQuorum        bool                // at any time
	hasQuorum        bool                // when it was last looked at
	lastTick         time.Duration
	lastFoundingLog  time.Duration
	lastKeepAlive    time.Duration
	distrustEnd      time.Duration
	batchedEndpoints []rpc.Endpoint // reports for proxies that may wait for the tick
	encodedEndpoints []byte         // all endpoints, as a message
	encodedAt        time.Duration
	deadline         time.Duration // for which a timer runs; 0: none does
	shuttingDown     bool
}

// New makes a Server; Run starts it.
func New(o Options) *Server {
	s := &Server{
		options:         o,
		log:             o.Log,
		incarnation:     rand.Uint64() | 1, // 0 stands for none
		startedAt:       o.Clock.Now(),
		queue:           session.NewCommandQueue(commandQueueCapacity),
		handedOver:      make(chan struct{}),
		metrics:         newMetrics(),
		registry:        registry.New(o.Settings.HeartbeatInterval.Duration()),
		peers:           map[string]*peer{},
		acceptedPeers:   session.Sessions{PreferNewest: true},
		acceptedProxies: session.Sessions{PreferNewest: true},
		proxies:         map[*rpc.Conn]*proxyConn{},
		requests:        map[uint64]chan<- consensus.RequestDone{},
		pendingAcks:     map[uint64]*pendingAck{},
		self: rpc.Node{
			Name:           o.Settings.Name,
			Zone:           o.Settings.Zone,
			Address:        o.Settings.OwnPeerAddress(),
			ControlAddress: o.Settings.Listen[bootconfig.ListenControl],
		},
	}
	s.dialer = &session.Dialer{
		Queue:         s.queue,
		Clock:         o.Clock,
		Dial:          o.Dial,
		SelfName:      s.self.Name,
		RetryInterval: dialRetryInterval,
		ReadTimeout:   connTimeout,
		Hello:         func() *rpc.Message { return &rpc.Message{Hello: s.hello()} },
		OnMessage:     s.onDialledMessage,
		OnDisconnect:  s.onPeerDisconnect,
	}
	isFirstStart := o.Settings.Bootstrap && o.DiskFresh
	state := s.loadState(isFirstStart)
	s.storeID, s.mayHaveLostState = state.StoreID, state.MayHaveLostState
	s.replica = consensus.New(consensus.Options{
		Self:        s.self,
		Incarnation: s.incarnation,
		MaxFaults:   o.Settings.FaultBudget.Machines,
		Seeds:       o.Settings.SeedPeerAddresses(),
		State:       state,
	})
	s.endpointsSynced = isFirstStart
	s.steering = newSteerer(s)
	return s
}

// loadState reads the disk. A disk that cannot be read has lost its state; the other nodes have what was on it.
func (s *Server) loadState(isFirstStart bool) consensus.DurableState {
	records := s.options.Disk.All()
	newStoreID := fmt.Sprintf("%016x", rand.Uint64())
	state, err := consensus.LoadState(s.self.Name, records, s.options.DiskComplete, isFirstStart, newStoreID)
	if err != nil {
		s.log.Error("disk cannot be read, it gets a new identity", logfield.Error, err)
		state, _ = consensus.LoadState(s.self.Name, records, false, false, newStoreID) // reads no record
	}
	return state
}

func (s *Server) hello() *rpc.Hello {
	return &rpc.Hello{
		Node:             s.self,
		Incarnation:      s.incarnation,
		StoreID:          s.storeID,
		MayHaveLostState: s.mayHaveLostState,
		Origin:           s.replica.Origin(),
	}
}

// Run is the owner. It serves until Stop.
func (s *Server) Run() {
	go s.acceptConnections()
	ticker := s.options.Clock.NewTicker(tickInterval)
	s.dialer.ConnectAll(s.options.Settings.SeedPeerAddresses())
	s.connectVoters(s.replica.Epoch())
	s.step()
	for {
		select {
		case command := <-s.queue.Commands():
			command()
		case <-ticker.Chan():
			s.tick()
		case <-s.queue.Stopped():
			return
		}
	}
}

// Stop ends Run.
func (s *Server) Stop() { s.queue.Stop() }

// Shutdown hands over to the other nodes what only this one has: requests under way are finished, values are
// copied, the vote moves on. It returns once that is done, or after the timeout. New calls are refused from its
// beginning.
func (s *Server) Shutdown(timeout time.Duration) {
	s.queue.Do(func() {
		if !s.shuttingDown {
			s.shuttingDown = true
			s.step(consensus.Shutdown{})
		}
	})
	select {
	case <-s.handedOver:
	case <-s.queue.Stopped():
	case <-s.options.Clock.After(timeout):
		s.queue.Do(func() {
			s.log.Warn("handover incomplete", logfield.Open, strings.Join(s.replica.NotHandedOver(), ", "))
		})
	}
}

// now is the steady time since the start.
func (s *Server) now() time.Duration { return s.options.Clock.Now().Sub(s.startedAt) }

func (s *Server) tick() {
	now := s.now()
	s.noticeSuspension(now)
	s.step()
	s.noticeFounding(now)
	if now >= s.lastKeepAlive+keepAliveInterval {
		s.lastKeepAlive = now
		s.broadcastToPeers(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
		s.expire(now)
	}
	s.flushEndpoints()
	s.steering.step(now)
	s.expireAcks(now)
	s.noticeEndpointsSynced(now)
}

// noticeSuspension distrusts what is read for a while after the process did not run.
func (s *Server) noticeSuspension(now time.Duration) {
	if s.lastTick > 0 && now-s.lastTick > suspensionThreshold {
		s.distrustEnd = now + distrustDuration
		s.log.Warn("process was suspended", logfield.Duration, now-s.lastTick)
	}
	s.lastTick = now
}

// noticeFounding says now and again what a founding waits for.
func (s *Server) noticeFounding(now time.Duration) {
	if now < s.lastFoundingLog+foundingLogInterval {
		return
	}
	s.lastFoundingLog = now
	if f := s.replica.Status(now).Bootstrap; f != nil {
		s.log.Warn("no epoch yet", logfield.Disks, f.Disks, logfield.Needed, f.Needed)
	}
}

// expire ends endpoints and leases that were not renewed. Lease changes are told once a second, and as changes: while a
// fleet starts, each proxy told at once to each would be its square.
func (s *Server) expire(now time.Duration) {
	if changes := s.registry.ExpireHeartbeats(now); len(changes) > 0 {
		s.broadcastToProxies(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: changes}})
		s.steering.invalidate()
	}
	if removed, added := s.registry.LeaseChanges(now); len(removed)+len(added) > 0 {
		s.broadcastToProxies(&rpc.Message{ProxyChanges: rpc.ProxyChanges{ProxiesRemoved: removed, ProxiesAdded: added}})
		s.steering.invalidate()
	}
}
