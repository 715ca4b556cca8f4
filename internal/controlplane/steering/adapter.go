// Package steering connects package policy to the gateway: it maps names to indices, load reports to events, and orders
// to the routing tables of proxies. Each service has its own policy.Assigner, which steers the proxies that are
// connected to this control-plane node.
//
// An Adapter does no I/O, reads no clock and is not safe for concurrent use. Times are durations since the start of the
// process. Equal sequences of calls produce equal tables.
//
// Some features of policy are not used. Retries are governed by the proxies' shared budget. Each endpoint in slow start
// is rate-limited by the one proxy that sends to it. Connections between proxies and control-plane nodes are ordered
// and fast, so markers are acknowledged at once and there is no channel limit.
//
//	adapter.go    the interface: services, endpoints, proxies, reports
//	service.go    one service and the schedule of its Assigner
//	events.go     reports as policy events
//	spillover.go  estimated load in other zones
//	tables.go     policy orders as routing tables
package steering

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

const (
	// proxyIndexTTL is the delay before the index of a departed proxy is reused. Policy keeps a proxy's rate for 12 s.
	proxyIndexTTL = 60 * time.Second
	// defaultLatencyTarget applies to services without a target.
	defaultLatencyTarget = time.Second
)

// Service is the configuration of a service.
type Service struct {
	LatencyTarget time.Duration // after which a response loses value; 0: defaultLatencyTarget
}

// Endpoint is a ready or draining instance of a service.
type Endpoint struct {
	ID, Service, Zone string
	Capacity          int  // concurrent requests
	Ready             bool // false: draining, or its zone is evacuated
}

// Adapter steers the joined proxies for all services.
type Adapter struct {
	Log func(service, text string) // receives log messages of policy; may be nil

	zones        []string // sorted; policy uses their indices
	firstTick    time.Duration
	startedAt    time.Duration // time of the first call; negative: none yet
	now          time.Duration
	services     map[string]*service
	serviceNames []string                  // sorted
	endpoints    map[string]*knownEndpoint // by ID
	proxies      map[string]*proxy         // by name
	proxyIndex   []*proxy                  // by index in policy
	leases       []float64                 // by zone: number of proxies that hold a lease
}

// proxy is a joined proxy, or a departed one whose index is not yet reused.
type proxy struct {
	name            string
	index           int
	zone            int
	joined          bool    // currently steered by this node
	hasReported     bool    // since it joined
	reportedSeconds float64 // total time covered by its reports
	leftAt          time.Duration
}

type knownEndpoint struct {
	Endpoint
	service *service
	listed  bool // in the list that SetEndpoints is processing
}

// New creates an Adapter without services. firstTick, up to a second, staggers the ticks of nodes that start together;
// 0 means a whole second.
func New(zones []string, firstTick time.Duration) *Adapter {
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	return &Adapter{
		zones:     zones,
		firstTick: firstTick,
		startedAt: -1,
		services:  map[string]*service{},
		endpoints: map[string]*knownEndpoint{},
		proxies:   map[string]*proxy{},
		leases:    make([]float64, len(zones)),
	}
}

// policyTime converts a duration to policy.Time.
func policyTime(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

// zoneIndex returns the index of a zone, or -1 if it is unknown.
func (a *Adapter) zoneIndex(name string) int { return slices.Index(a.zones, name) }

func (a *Adapter) advance(now time.Duration) {
	a.now = max(a.now, now)
	if a.startedAt < 0 {
		a.startedAt = now
	}
}

// Configure sets the services. Unchanged services keep their state. A service with a new target gets a new Assigner,
// which starts from the restorable estimates of the former one, and its proxies get full tables. The endpoints of new
// services must be passed to SetEndpoints again.
func (a *Adapter) Configure(services map[string]Service) {
	for name, s := range a.services {
		if _, stays := services[name]; !stays {
			delete(a.services, name)
			maps.DeleteFunc(a.endpoints, func(_ string, e *knownEndpoint) bool { return e.service == s })
		}
	}
	for name, config := range services {
		target := cmp.Or(max(config.LatencyTarget, 0), defaultLatencyTarget)
		s := a.services[name]
		switch {
		case s == nil:
			a.services[name] = newService(a, name, target)
		case s.latencyTarget != target:
			s.latencyTarget = target
			s.restart()
		}
	}
	a.serviceNames = slices.Sorted(maps.Keys(a.services))
}

// SetEndpoints replaces the list of endpoints, in any order. Endpoints of unknown services or zones are ignored.
func (a *Adapter) SetEndpoints(now time.Duration, all []Endpoint) {
	a.advance(now)
	for _, known := range a.endpoints {
		known.listed = false
	}
	byID := func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) }
	for _, e := range slices.SortedFunc(slices.Values(all), byID) {
		if s := a.services[e.Service]; s != nil && a.zoneIndex(e.Zone) >= 0 {
			a.setEndpoint(s, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(a.endpoints)) {
		if known := a.endpoints[id]; !known.listed {
			known.service.endpointGone(id)
			delete(a.endpoints, id)
		}
	}
}

func (a *Adapter) setEndpoint(s *service, e Endpoint) {
	known := a.endpoints[e.ID]
	if known != nil && known.service != s {
		known.service.endpointGone(e.ID)
		known = nil
	}
	if known == nil {
		known = &knownEndpoint{service: s}
		a.endpoints[e.ID] = known
	}
	known.listed = true
	if known.Endpoint != e {
		known.Endpoint = e
		s.endpointChanged(e)
	}
}

// SetProxies sets the proxies that hold a lease, at this node or elsewhere. Their number serves to estimate the load of
// proxies that other nodes steer.
func (a *Adapter) SetProxies(all []rpc.ProxyInfo) {
	clear(a.leases)
	for _, p := range all {
		if zone := a.zoneIndex(p.Zone); zone >= 0 {
			a.leases[zone]++
		}
	}
}

// Join adds a proxy that connected to this node. It gets full tables after its first report: policy limits a proxy
// without reports to one request/s. After the start of this node all proxies wait for joinDelay. Proxies of unknown
// zones are ignored and route on their own.
func (a *Adapter) Join(name, zone string) {
	index := a.zoneIndex(zone)
	if index < 0 {
		return
	}
	a.Leave(name)
	p := a.proxies[name]
	if p == nil {
		p = a.addProxy(name)
	}
	p.zone, p.joined, p.hasReported = index, true, false
}

// addProxy assigns an index to a new proxy. It reuses indices of departed proxies, so that unique proxy names do not
// exhaust memory.
func (a *Adapter) addProxy(name string) *proxy {
	isFree := func(p *proxy) bool { return !p.joined && a.now > p.leftAt+proxyIndexTTL }
	index := slices.IndexFunc(a.proxyIndex, isFree)
	if index < 0 {
		index = len(a.proxyIndex)
		a.proxyIndex = append(a.proxyIndex, nil)
	} else {
		delete(a.proxies, a.proxyIndex[index].name)
	}
	p := &proxy{name: name, index: index}
	a.proxies[name], a.proxyIndex[index] = p, p
	return p
}

// Leave removes a proxy that disconnected or moved to another node.
func (a *Adapter) Leave(name string) {
	p := a.proxies[name]
	if p == nil || !p.joined {
		return
	}
	p.joined, p.leftAt = false, a.now
	for _, s := range a.services {
		s.proxyLeft(p)
	}
}

// Report adds a joined proxy's requests and attempts within the given number of seconds.
func (a *Adapter) Report(name string, loads []rpc.ServiceLoad, reports []rpc.EndpointReport, seconds float64) {
	p := a.proxies[name]
	isDuration := seconds > 0 && !math.IsInf(seconds, 1) // false for NaN
	if p == nil || !p.joined || !isDuration {
		return
	}
	p.reportedSeconds += seconds
	p.hasReported = true
	for _, load := range loads {
		if s := a.services[load.Service]; s != nil && load.Requests > 0 {
			s.addLoad(p, load, seconds)
		}
	}
	for _, report := range reports {
		if e := a.endpoints[report.ID]; e != nil && report.Attempts > 0 {
			e.service.addReport(report)
		}
	}
}

// Step runs due decisions and returns the changed tables by proxy, or nil. Call it a few times a second: drained and
// lost endpoints take effect with the next call, all else once a second.
func (a *Adapter) Step(now time.Duration) map[string][]rpc.RoutingTable {
	a.advance(now)
	var tables map[string][]rpc.RoutingTable
	for _, name := range a.serviceNames {
		for _, u := range a.services[name].step() {
			if tables == nil {
				tables = map[string][]rpc.RoutingTable{}
			}
			tables[u.proxy.name] = append(tables[u.proxy.name], u.table)
		}
	}
	return tables
}
