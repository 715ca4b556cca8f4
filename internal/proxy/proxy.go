// Package proxy is the data plane of the gateway: it takes requests from clients, sends each to an endpoint and returns
// the response, by what the control-plane nodes tell it.
//
// # The way of a request
//
//  1. [clientListener] accepts the connection, if the process may have one more. [clientConn] bounds how long the
//     client may take, by the limits of the committed configuration.
//  2. http.Server reads the head and calls [Proxy.handle]. Every path and method comes there as it is: nothing is
//     cleaned or redirected.
//  3. parseHead checks the head against the limits, finds the route and its service, and sets the deadline.
//  4. balancer.Admit holds the request to the rate limit of the service.
//  5. bufferBody reads the body, up to 128 KiB; what is longer is streamed.
//  6. [Proxy.forward] tries endpoints. For each attempt, balancer.Pick chooses one, upstream.Pool.Do sends the request
//     once, balancer.RecordResult notes the result, and balancer.AllowRetry decides about another attempt.
//  7. [Proxy.respond] returns the endpoint's response, or [Proxy.refuse] one of the proxy's own, by the table in
//     package apierror.
//
// A request waits for endpoints, for the client, and for the balancer's mutex, which is never held over I/O. It never
// waits for a control-plane node: a proxy that reaches none goes on with what it knows.
//
// # What the control plane tells
//
// One goroutine, the owner (Proxy.Run), handles what nodes tell through a queue of commands. Requests read the
// committed configuration by one atomic pointer.
//
//	main.go          the program
//	proxy.go         the Proxy, its owner and its ticks
//	messages.go      messages of control-plane nodes, part by part
//	configuration.go committed registers: which to fetch, which to apply
//	endpoints.go     endpoints, by the reports of all nodes
//	leases.go        leases, renewals and load reports
//	quorum.go        which node's word counts, and which one steers
//	readiness.go     when the proxy is ready, and its shutdown
//	clients.go       clients' connections
//	handler.go       a request from its head to its response
//	trafficsplit.go  which service of a route takes a request
//	body.go          request bodies
//	readahead.go     how a client's leaving shows behind bytes that nobody has read
//	disconnect.go    clients that leave before their response
//	metrics.go       the figures that the process keeps of itself
//	forward.go       attempts and retries
//	respond.go       responses
//	healthchecks.go  health checks of suspect endpoints
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
	// connTimeout is when a connection to a node is closed on which nothing arrives: renewals are answered each second.
	connTimeout       = 3 * time.Second
	dialRetryInterval = 250 * time.Millisecond
	// defaultMaxClients is the number of clients' connections where the settings do not limit descriptors, and
	// clientShare their part of the descriptors otherwise, in tenths: the rest are for endpoints and nodes.
	defaultMaxClients = 2400
	clientShare       = 6
)

// Names of registers. They are stored, and sent by the control plane, so they do not change.
const (
	configRegister     = "charter" // the configuration
	zoneRegisterPrefix = "zone/"   // before the name of a zone: its evacuations
)

// Options make a Proxy.
type Options struct {
	Settings *bootconfig.Settings
	Log      hclog.Logger
	Clock    clockwork.Clock
	Dial     func(address string) (net.Conn, error) // to control-plane nodes
	Upstream upstream.Options                       // how endpoints are dialled
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

	config     atomic.Pointer[routeconfig.Config] // committed; nil: none is known yet
	splits     trafficSplits
	ready      atomic.Bool
	stopping   atomic.Bool
	clients    atomic.Int64 // clients' connections
	maxClients int64
	// readAheadBytes are held for all clients' connections.
	readAheadBytes atomic.Int64

	balancerMu sync.Mutex
	balancer   *balancer.Balancer

	// The fields below belong to the owner.

	dialer         *session.Dialer
	nodes          map[string]*node          // control-plane nodes, by name
	epoch          rpc.Epoch                 // who votes there: the newest that was heard of
	endpoints      map[string]*endpointState // by id
	evacuations    map[string]rpc.Register   // by zone
	recoveredZones map[string]time.Duration  // when the evacuation of a zone was finished
	configVersion  rpc.Version               // of config
	wantedVersion  rpc.Version               // the newest configuration that is committed somewhere
	fetchedAt      time.Duration             // when it was last fetched; negative: it was not
	lastRenewal    uint64
	leasesReleased bool
	steeringNode   string        // the node whose routing tables are followed; "": none yet
	firstMessageAt time.Duration // of any node; negative: none came yet
}

// New makes a Proxy. Run and Serve start it.
func New(o Options) *Proxy {
	settings := o.Settings
	o.Upstream.Now = o.Clock.Now
	p := &Proxy{
		options:        o,
		log:            o.Log,
		self:           rpc.Node{Name: settings.Name, Zone: settings.Zone, Address: settings.OwnPeerAddress()},
		incarnation:    rand.Uint64() | 1, // 0 stands for none
		startedAt:      o.Clock.Now(),
		queue:          session.NewCommandQueue(commandQueueCapacity),
		pool:           upstream.New(o.Upstream),
		maxClients:     defaultMaxClients,
		balancer:       balancer.New(settings.Name, settings.Zone, balancerBounds(&settings.Bounds), 0),
		nodes:          map[string]*node{},
		endpoints:      map[string]*endpointState{},
		evacuations:    map[string]rpc.Register{},
		recoveredZones: map[string]time.Duration{},
		lastRenewal:    1,
		firstMessageAt: -1,
	}
	if maxFDs := int64(settings.Limits.MaxFDs); maxFDs*clientShare/10 > 0 {
		p.maxClients = maxFDs * clientShare / 10
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
		OnDisconnect: p.onDisconnect,
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

// Run is the owner of what nodes tell. It serves until Shutdown.
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

// now is the steady time since the start.
func (p *Proxy) now() time.Duration { return p.options.Clock.Now().Sub(p.startedAt) }

// withBalancer lets f use the balancer. A panic in it must not leave the lock behind: net/http goes on serving
// after one.
func (p *Proxy) withBalancer(f func(b *balancer.Balancer)) {
	p.balancerMu.Lock()
	defer p.balancerMu.Unlock()
	f(p.balancer)
}

// tick renews the leases and looks at what time has changed.
func (p *Proxy) tick() {
	now := p.now()
	p.lastRenewal++
	p.pool.PruneIdle(p.options.Clock.Now())
	p.chooseSteering(now)
	for _, n := range p.sortedNodes() {
		if n.conn != nil && !p.leasesReleased {
			p.renewLease(n, true)
		}
	}
	p.expireEndpoints(now)
	p.fetchConfiguration(now)
	p.checkReady(now)
}

// sortedNodes are the known nodes, sorted by name.
func (p *Proxy) sortedNodes() []*node {
	all := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return strings.Compare(a.info.Name, b.info.Name) })
	return all
}
