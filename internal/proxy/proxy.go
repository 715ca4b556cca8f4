// Package proxy is the data plane of the gateway: it forwards client requests to endpoints and returns their responses,
// as configured by the control-plane nodes.
//
// # Life of a request
//
//  1. [clientListener] accepts the connection unless the limit of client connections is reached. [clientConn] enforces
//     the timeouts of the committed configuration.
//  2. http.Server reads the head and calls [Proxy.handle]. Every path and method arrives unchanged: no path is cleaned
//     and no client redirected.
//  3. parseHead checks the head against the limits, and sets the route and the deadline. trafficSplits.service selects
//     a service of the route.
//  4. balancer.Admit applies the rate limit of the service.
//  5. bufferBody buffers the body up to 128 KiB; the rest of a longer one is streamed.
//  6. [Proxy.forward] tries endpoints. For each attempt, balancer.Pick selects an endpoint, upstream.Pool.Do sends the
//     request once, balancer.RecordResult records the result, and balancer.AllowRetry decides about another attempt.
//  7. [Proxy.respond] sends the endpoint's response, or [Proxy.respondError] an error of the proxy's own, according to
//     the table in package apierror.
//
// A request waits for endpoints, for the client, and for the balancer's mutex, which is never held during I/O. It never
// waits for a control-plane node: a proxy without connected nodes continues with the state it has.
//
// # Control-plane state
//
// One goroutine, the control loop ([Proxy.Run]), handles the messages of control-plane nodes, which arrive through a
// command queue. Requests read the committed configuration through an atomic pointer.
//
// # Files
//
//	main.go          the program
//	proxy.go         Proxy, its control loop and its periodic work
//	messages.go      messages and connections of control-plane nodes
//	configuration.go committed registers: configuration and zone evacuations
//	endpoints.go     endpoint state from the reports of all nodes
//	leases.go        leases, load reports and routing tables
//	quorum.go        quorum contact of nodes, and selection of the routing node
//	readiness.go     readiness and graceful shutdown
//	clients.go       client connections
//	handler.go       a request from its head to its response
//	trafficsplit.go  distribution of a route's requests over its services
//	body.go          request bodies
//	readahead.go     detection of a client disconnect behind unread bytes
//	disconnect.go    cancellation of requests whose client has disconnected
//	metrics.go       metrics of the process
//	forward.go       attempts and retries
//	respond.go       responses to clients
//	healthchecks.go  health checks of suspect endpoints
//	shards.go        sharded services: holders of keys
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

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

const (
	commandQueueCapacity = 1024
	// connTimeout is the idle time after which a connection to a node is closed; a node answers a renewal each second.
	connTimeout       = 3 * time.Second
	dialRetryInterval = 250 * time.Millisecond
	// defaultMaxClientConns limits client connections if the settings do not limit file descriptors. Otherwise,
	// clientConnTenths tenths of the descriptors are for clients; the rest are for endpoints and nodes.
	defaultMaxClientConns = 2400
	clientConnTenths      = 6
)

// Names of registers. They are part of the stored data and of the protocol, and must not change.
const (
	configRegister     = "charter" // the configuration
	zoneRegisterPrefix = "zone/"   // followed by the name of a zone: whether the zone is evacuated
)

// Options configure a Proxy.
type Options struct {
	Settings *bootconfig.Settings
	Log      hclog.Logger
	Clock    clockwork.Clock
	Dial     func(address string) (net.Conn, error) // to control-plane nodes
	Upstream upstream.Options                       // for connections to endpoints
}

// Proxy is one data-plane process.
type Proxy struct {
	options     Options
	log         hclog.Logger
	self        rpc.Node
	incarnation uint64
	startedAt   time.Time
	queue       *session.CommandQueue
	pool        *upstream.Pool
	server      *http.Server
	metrics     *proxyMetrics

	config         atomic.Pointer[routeconfig.Config] // nil: none has been applied yet
	splits         trafficSplits
	ready          atomic.Bool
	stopping       atomic.Bool
	clientConns    atomic.Int64 // number of open client connections
	maxClientConns int64
	// readAheadBytes is the number of bytes buffered for all client connections.
	readAheadBytes atomic.Int64
	shardsChanged  changeSignal // when the shard table changes

	balancerMu sync.Mutex
	balancer   *balancer.Balancer

	// The fields below are used by the control loop alone.

	dialer         *session.Dialer
	nodes          map[string]*node          // control-plane nodes, by name
	epoch          rpc.Epoch                 // the newest epoch reported, which determines the voters
	endpoints      map[string]*endpointState // by id
	evacuations    map[string]rpc.Register   // by zone
	recoveredZones map[string]time.Duration  // when the evacuation of a zone ended
	configVersion  rpc.Version               // of config
	wantedVersion  rpc.Version               // the newest configuration version reported as committed
	fetchedAt      time.Duration             // when wantedVersion was last requested; negative: not yet
	lastRenewal    uint64
	leasesReleased bool
	shardTerm      uint64        // of the assigner whose shard table is applied
	shardNode      string        // name of that assigner
	routingNode    string        // the node whose routing tables are applied; "": none yet
	firstMessageAt time.Duration // when the first message of any node came; negative: none has
}

// New returns a Proxy. Run and Serve start it.
func New(o Options) *Proxy {
	settings := o.Settings
	o.Upstream.Now = o.Clock.Now
	p := &Proxy{
		options:        o,
		log:            o.Log,
		self:           rpc.Node{Name: settings.Name, Zone: settings.Zone, Address: settings.OwnPeerAddress()},
		incarnation:    rand.Uint64() | 1, // 0 means none
		startedAt:      o.Clock.Now(),
		queue:          session.NewCommandQueue(commandQueueCapacity),
		pool:           upstream.New(o.Upstream),
		maxClientConns: defaultMaxClientConns,
		balancer:       balancer.New(settings.Name, settings.Zone, balancerBounds(&settings.Bounds), 0),
		nodes:          map[string]*node{},
		endpoints:      map[string]*endpointState{},
		evacuations:    map[string]rpc.Register{},
		recoveredZones: map[string]time.Duration{},
		lastRenewal:    1,
		firstMessageAt: -1,
	}
	if maxFDs := int64(settings.Limits.MaxFDs); maxFDs*clientConnTenths/10 > 0 {
		p.maxClientConns = maxFDs * clientConnTenths / 10
	}
	p.metrics = p.newMetrics()
	p.server = p.newServer()
	p.dialer = &session.Dialer{
		Queue:         p.queue,
		Clock:         o.Clock,
		Dial:          o.Dial,
		RetryInterval: dialRetryInterval,
		ReadTimeout:   connTimeout,
		Hello: func() *rpc.Message {
			return &rpc.Message{Hello: &rpc.Hello{Node: p.self, Incarnation: p.incarnation, IsProxy: true}}
		},
		OnMessage:    p.onMessage,
		OnDisconnect: p.onNodeDisconnected,
	}
	return p
}

func balancerBounds(b *bootconfig.Bounds) balancer.Bounds {
	return balancer.Bounds{
		RetryRatio:      b.RetryRatio,
		RetrySlack:      b.RetrySlack,
		RetryWindow:     b.RetryWindow.Duration(),
		SlowStartExcess: b.SlowStartExcess,
		SlowStartSlack:  b.SlowStartSlack,
	}
}

// Run is the control loop. It returns after Shutdown.
func (p *Proxy) Run() {
	p.dialer.ConnectAll(p.options.Settings.SeedPeerAddresses())
	ticker := p.options.Clock.NewTicker(renewInterval)
	for {
		select {
		case command := <-p.queue.Commands():
			command()
		case <-ticker.Chan():
			p.tick()
		case <-p.queue.Stopped():
			return
		}
	}
}

// now returns the monotonic time since the start.
func (p *Proxy) now() time.Duration { return p.options.Clock.Now().Sub(p.startedAt) }

// withBalancer calls f with the balancer locked. It unlocks also when f panics, because net/http recovers from a panic
// in a handler and continues to serve.
func (p *Proxy) withBalancer(f func(b *balancer.Balancer)) {
	p.balancerMu.Lock()
	defer p.balancerMu.Unlock()
	f(p.balancer)
}

// tick renews the leases and does the periodic work.
func (p *Proxy) tick() {
	now := p.now()
	p.lastRenewal++
	p.pool.PruneIdle(p.options.Clock.Now())
	p.updateRoutingNode(now)
	for _, n := range p.sortedNodes() {
		if n.conn != nil && !p.leasesReleased {
			p.renewLease(n, true)
		}
	}
	p.expireEndpoints(now)
	p.fetchConfiguration(now)
	p.checkReady(now)
}

// sortedNodes returns the known nodes, sorted by name.
func (p *Proxy) sortedNodes() []*node {
	all := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return strings.Compare(a.info.Name, b.info.Name) })
	return all
}
