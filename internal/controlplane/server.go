// Package controlplane is the server of a control-plane node. Together with its peers it stores the configuration and
// the evacuations that operators order. It tracks endpoints by heartbeats and proxies by leases, sends changes to
// proxies, and steers the proxies of its zone: it computes their routing tables.
//
// A single goroutine, the owner (Server.Run), holds all state and executes commands from a queue. Connections, the disk
// and HTTP calls post commands and wait for results; the owner never blocks on any of them. The decisions are made by
// packages without I/O: consensus, registry and steering.
//
//	main.go          the program
//	server.go        the Server, its owner and the periodic tick
//	replica.go       actions and deadlines of the consensus replica
//	connections.go   connections of peers and proxies, and their messages
//	proxies.go       messages to and from proxies
//	endpoints.go     distribution, storage and acknowledgement of endpoint reports
//	calls.go         HTTP calls: dispatch and responses
//	callage.go       the age of calls, by their connections
//	operatorcalls.go calls of operators
//	endpointcalls.go calls of endpoints
//	metrics.go       metrics of the process
//	steering.go      routing tables for the proxies that this node steers
//	shards.go        assignment of shard keys to endpoints
package controlplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/departures"
	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
)

const (
	commandQueueCapacity = 1024
	tickInterval         = 200 * time.Millisecond
	dialRetryInterval    = 300 * time.Millisecond
	// connTimeout is how long a connection may be idle before it is closed. Both sides send a message every
	// keepAliveInterval.
	connTimeout       = 3 * time.Second
	keepAliveInterval = time.Second
	// suspensionThreshold is the time between two ticks from which on the process counts as suspended. Input that was
	// buffered meanwhile may be outdated, so for staleInputDuration the node accepts no requests of operators, and no
	// heartbeat that would end another endpoint.
	suspensionThreshold = time.Second
	staleInputDuration  = 500 * time.Millisecond
	// bootstrapLogInterval is the time between two log lines while the cluster is not bootstrapped yet.
	bootstrapLogInterval = 5 * time.Second
	// startupDuration is how long a node without any quorum contact assumes that the whole cluster is starting.
	startupDuration = 3 * time.Second
)

// Names of registers. They are stored and sent to proxies and operators, so they must not change.
const (
	configRegister     = "charter" // the configuration
	zoneRegisterPrefix = "zone/"   // followed by the name of a zone: the evacuations of the zone
)

// Disk stores records.
type Disk interface {
	// PutAsync calls done once the record is synced, or has failed.
	PutAsync(name string, value []byte, done func(error))
	// All returns all synced records.
	All() map[string][]byte
}

// Options are the parameters of New.
type Options struct {
	Settings     *bootconfig.Settings
	Disk         Disk
	DiskComplete bool // no loss of acknowledged writes is known
	DiskFresh    bool // the disk was empty
	Log          hclog.Logger
	Clock        clockwork.Clock
	Dial         func(address string) (net.Conn, error)
	// DialEndpoint connects to an endpoint of a sharded service. Data that is not acknowledged within
	// sharding.DeliveryTimeout must not be delivered later. nil: Dial.
	DialEndpoint func(address string) (net.Conn, error)
	Listener     net.Listener     // for connections of peers and proxies
	TimeOfDay    func() time.Time // wall-clock time, for the timestamps of evacuations
}

// Server is one control-plane node.
type Server struct {
	options          Options
	log              hclog.Logger
	self             rpc.Node
	incarnation      uint64
	storeID          string // identifies the content of the disk
	mayHaveLostState bool   // the disk may have lost the fact that an epoch exists
	startedAt        time.Time
	queue            *session.CommandQueue
	handedOver       chan struct{} // closed once a shutdown has handed over all state
	metrics          *serverMetrics

	// Only the owner uses the fields below.

	dialer           *session.Dialer
	replica          *consensus.Replica
	registry         *registry.Registry
	departures       *departures.Log
	steering         *steerer
	sharding         *sharder
	peers            map[string]*peer                        // by name
	acceptedPeers    session.Sessions                        // connections dialled by peers
	acceptedProxies  session.Sessions                        // connections dialled by proxies
	proxies          map[*rpc.Conn]*proxyConn                // by open connection
	lastRefused      map[string]uint64                       // by peer or proxy: the incarnation that was refused last
	requests         map[uint64]chan<- consensus.RequestDone // by request id
	lastRequestID    uint64
	pendingAcks      map[uint64]*pendingAck // by ack id
	lastAckID        uint64
	endpointsSynced  bool // the endpoint table is as complete as that of any peer
	hadQuorum        bool // at any time since the start
	hasQuorum        bool // as of the last updateQuorum
	lastTick         time.Duration
	lastBootstrapLog time.Duration
	lastKeepAlive    time.Duration
	staleInputEnd    time.Duration
	batchedEndpoints []rpc.Endpoint // changes that are not sent to proxies yet
	encodedEndpoints []byte         // cached message with all endpoints
	encodedAt        time.Duration
	deadline         time.Duration // of the running timer; 0 if none runs
	shuttingDown     bool
}

// New returns a Server, which Run starts.
func New(o Options) *Server {
	s := &Server{
		options:         o,
		log:             o.Log,
		incarnation:     rand.Uint64() | 1, // never 0, which means none
		startedAt:       o.Clock.Now(),
		queue:           session.NewCommandQueue(commandQueueCapacity),
		handedOver:      make(chan struct{}),
		metrics:         newMetrics(),
		registry:        registry.New(o.Settings.HeartbeatInterval.Duration()),
		peers:           map[string]*peer{},
		acceptedPeers:   session.Sessions{PreferNewest: true},
		acceptedProxies: session.Sessions{PreferNewest: true},
		proxies:         map[*rpc.Conn]*proxyConn{},
		lastRefused:     map[string]uint64{},
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
	records := o.Disk.All()
	s.loadDepartures(records)
	state := s.loadState(records, isFirstStart)
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
	dialEndpoint := o.DialEndpoint
	if dialEndpoint == nil {
		dialEndpoint = o.Dial
	}
	s.sharding = newSharder(s, dialEndpoint)
	s.metrics.declareSharding()
	return s
}

// loadState loads the replica state from the disk. If a record cannot be decoded, the node starts with a new store id,
// and catches up from its peers.
func (s *Server) loadState(records map[string][]byte, isFirstStart bool) consensus.DurableState {
	records = maps.Clone(records)
	maps.DeleteFunc(records, func(name string, _ []byte) bool { return strings.HasPrefix(name, departures.RecordPrefix) })
	newStoreID := fmt.Sprintf("%016x", rand.Uint64())
	state, err := consensus.LoadState(s.self.Name, records, s.options.DiskComplete, isFirstStart, newStoreID)
	if err != nil {
		s.log.Error("stored state cannot be read; starting with a new store id", logfield.Error, err)
		state, _ = consensus.LoadState(s.self.Name, records, false, false, newStoreID) // succeeds: reads no record
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

// Run executes the owner loop until Stop is called.
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

// Shutdown hands over to the other nodes: it finishes running requests, copies values that only this node has, and
// gives up the vote. It returns once the handover is complete, or after the timeout. New requests are rejected from its
// start.
func (s *Server) Shutdown(timeout time.Duration) {
	s.sharding.stop() // by a proposal, so before the shutdown of the replica
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
			s.log.Warn("handover incomplete", logfield.NotHandedOver, strings.Join(s.replica.NotHandedOver(), ", "))
		})
	}
}

// now returns the monotonic time since the start.
func (s *Server) now() time.Duration { return s.options.Clock.Now().Sub(s.startedAt) }

func (s *Server) tick() {
	now := s.now()
	s.detectSuspension(now)
	s.step()
	s.logBootstrapProgress(now)
	if now >= s.lastKeepAlive+keepAliveInterval {
		s.lastKeepAlive = now
		s.broadcastToPeers(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
		s.expireRegistry(now)
		s.departures.Sweep(s.registry.Departed())
	}
	s.flushEndpoints()
	s.steering.step(now)
	s.sharding.step()
	s.expireAcks(now)
	s.updateEndpointsSynced(now)
}

// detectSuspension detects from a late tick that the process was suspended, and starts the staleInputDuration.
func (s *Server) detectSuspension(now time.Duration) {
	if s.isTickOverdue(now) {
		s.staleInputEnd = now + staleInputDuration
		s.log.Warn("process was suspended", logfield.Duration, now-s.lastTick)
	}
	s.lastTick = now
}

func (s *Server) isTickOverdue(now time.Duration) bool {
	return s.lastTick > 0 && now-s.lastTick > suspensionThreshold
}

// inputMayBeOutdated reports whether input may have been buffered during a suspension of this process, also if the
// owner has not reached the late tick yet.
func (s *Server) inputMayBeOutdated() bool {
	now := s.now()
	return now < s.staleInputEnd || s.isTickOverdue(now)
}

// logBootstrapProgress periodically logs how many disks are known and needed to bootstrap the cluster.
func (s *Server) logBootstrapProgress(now time.Duration) {
	if now < s.lastBootstrapLog+bootstrapLogInterval {
		return
	}
	s.lastBootstrapLog = now
	if bootstrap := s.replica.Status(now).Bootstrap; bootstrap != nil {
		s.log.Warn("the cluster is not bootstrapped yet", logfield.Disks, bootstrap.Disks, logfield.Needed, bootstrap.Needed)
	}
}

// expireRegistry expires endpoints and leases that were not renewed. Lease changes are collected and sent once per
// keepAliveInterval: the start of n proxies would otherwise cause n² messages.
func (s *Server) expireRegistry(now time.Duration) {
	if changes := s.registry.ExpireHeartbeats(now); len(changes) > 0 {
		s.broadcastToProxies(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: changes}})
		s.endpointsChanged()
	}
	if removed, added := s.registry.LeaseChanges(now); len(removed)+len(added) > 0 {
		s.broadcastToProxies(&rpc.Message{ProxyChanges: rpc.ProxyChanges{ProxiesRemoved: removed, ProxiesAdded: added}})
		s.steering.invalidate()
	}
}
