// Package steering applies the decisions of package policy to the gateway: names become indices, load reports become
// events, and orders become the routing tables of proxies. There is one policy.Assigner for each service; the proxies
// that are steered here are its proxies.
//
// An Adapter does no I/O, reads no clock and is not safe for concurrent use: the owner of the control-plane server
// calls it. Times are durations since the process began. Equal calls give equal tables.
//
// Some of what policy can do is not used here. Retries are decided by the proxies' shared budget. Endpoints in slow
// start are held to a rate of their own by the one proxy that sends to them. Connections between proxies and
// control-plane nodes are ordered and wide, so fences are answered at once and nothing is held back for a narrow
// channel.
//
//	adapter.go    the interface: services, endpoints, proxies, reports
//	service.go    one service: when its Assigner runs
//	events.go     what its Assigner is told
//	spillover.go  what it is told of the load in other zones
//	tables.go     its orders as routing tables
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
	// proxyIndexTTL is how long after a proxy left its index may mean no other. Policy remembers a proxy's use for 12 s.
	proxyIndexTTL = 60 * time.Second
	// defaultLatencyTarget stands for the target of a service that has none.
	defaultLatencyTarget = time.Second
)

// Service is what policy has to know of one.
type Service struct {
	LatencyTarget time.Duration // within which a response has its full value; 0: defaultLatencyTarget
}

// Endpoint is one that is ready or drains; those that are gone are left out of the list.
type Endpoint struct {
	ID, Service, Zone string
	Capacity          int  // requests at once
	Ready             bool // false: it drains, or its zone is evacuated
}

// Adapter steers the proxies that joined, for all services.
type Adapter struct {
	Log func(service, text string) // receives what policy logs; may be nil

	zones        []string // sorted; policy knows them by their index
	firstTick    time.Duration
	startedAt    time.Duration // the first time that was seen; negative: none yet
	now          time.Duration
	services     map[string]*service
	serviceNames []string                  // sorted
	endpoints    map[string]*knownEndpoint // by id
	proxies      map[string]*proxy         // by name
	proxyIndex   []*proxy                  // policy knows them by their index
	leases       []float64                 // by zone: proxies that hold a lease
}

// proxy is one that is steered here, or was.
type proxy struct {
	name        string
	index       int
	zone        int
	joined      bool    // it is steered here now
	hasReported bool    // since it joined
	reported    float64 // seconds that its reports cover
	leftAt      time.Duration
}

type knownEndpoint struct {
	Endpoint
	service *service
	listed  bool // in the list that is being taken over
}

// New makes an Adapter that knows no service. Nodes that start together should not tick together: firstTick, up to a
// second, is when this one does first; 0 stands for a whole second.
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

// policyTime converts to the unit of package policy.
func policyTime(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

// zoneIndex is negative for a zone that is not known.
func (a *Adapter) zoneIndex(name string) int { return slices.Index(a.zones, name) }

func (a *Adapter) advance(now time.Duration) {
	a.now = max(a.now, now)
	if a.startedAt < 0 {
		a.startedAt = now
	}
}

// Configure sets which services there are. Those that stay keep all that is known of them; one with another target
// is decided anew from what is worth recollecting, and its proxies get full tables. Endpoints of new services must
// be listed again.
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

// SetEndpoints takes over the whole list, in any order. Endpoints of services or zones that are not known are ignored.
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

// SetProxies takes over all proxies that hold a lease, those that are steered here among them: the load of the
// others is estimated from their number.
func (a *Adapter) SetProxies(all []rpc.ProxyInfo) {
	clear(a.leases)
	for _, p := range all {
		if zone := a.zoneIndex(p.Zone); zone >= 0 {
			a.leases[zone]++
		}
	}
}

// Join adds a proxy that has a new connection and is steered here. It gets full tables once it has reported: policy
// holds one that it has not heard of to a request a second. After the start of this node all proxies wait for
// joinDelay. A proxy of a zone that is not known decides for itself.
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

// addProxy gives a proxy an index, that of one that left long ago if there is any: proxies whose names never come again
// must not pile up.
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

// Leave removes a proxy: its connection broke, or it is steered elsewhere.
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

// Report handles what a joined proxy received, and how its attempts went, in so many seconds.
func (a *Adapter) Report(name string, loads []rpc.ServiceLoad, reports []rpc.EndpointReport, seconds float64) {
	p := a.proxies[name]
	isDuration := seconds > 0 && !math.IsInf(seconds, 1) // not so for NaN
	if p == nil || !p.joined || !isDuration {
		return
	}
	p.reported += seconds
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

// Step runs what is due and returns, by proxy, what it is to apply from now on and was not told yet; nil where nothing
// changed. It should be called a few times a second: drains and losses go out with the first call after they were
// listed, all else once a second.
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
