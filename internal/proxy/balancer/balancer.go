// Package balancer makes the load-balancing decisions of a proxy: it admits requests, selects endpoints, limits
// retries, ejects failing endpoints and limits the traffic to endpoints in slow start.
//
// The package does no I/O and reads no clock. Times are durations since the start of the process, and callers pass in
// random numbers. A Balancer is not safe for concurrent use; its owner guards it by a mutex, which it does not hold
// during I/O.
//
//	balancer.go     state: services, endpoints, other proxies
//	admission.go    rate limits of services
//	selection.go    endpoint selection and load shedding
//	outlier.go      results of attempts, ejection of failing endpoints, suspects and their health checks
//	slowstart.go    which proxy sends to an endpoint in slow start, and at which rate
//	retrybudget.go  retry decisions and the retry budget
//	shards.go       endpoints of sharded services: the holders of keys
//	report.go       load and attempt counts for the control plane
package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Bounds are limits that all proxies of the platform must keep together.
type Bounds struct {
	RetryRatio      float64       // retries per request
	RetrySlack      float64       // retries per RetryWindow on top of RetryRatio
	RetryWindow     time.Duration // period over which retries are counted
	SlowStartExcess float64       // maximum rate to an endpoint in slow start, as a multiple of its slow-start rate
	SlowStartSlack  float64       // requests per second on top of SlowStartExcess
}

// Endpoint is the state of an endpoint as the control plane and the service registry report it.
type Endpoint struct {
	ID, Service, Address, Zone string
	Capacity                   int           // concurrent requests
	Usable                     bool          // listed, ready, and in a zone that is not evacuated
	WarmupEnd                  time.Duration // end of slow start
}

// ProxyInfo identifies a proxy that holds a lease.
type ProxyInfo struct{ Name, Zone string }

// endpoint is an Endpoint with this proxy's observations of it.
type endpoint struct {
	Endpoint
	weight   float64 // in the routing table; negative if the table does not contain the endpoint
	inFlight int     // requests of this proxy

	// Load that other proxies cause.

	otherLoad   float64 // requests, as of the endpoint's latest response
	otherLoadAt time.Duration

	// Outlier ejection and suspects.

	ejectedUntil    time.Duration
	failures        int  // consecutive
	isSuspect       bool // gets no requests until a health check passes
	checkInProgress bool
	suspectSince    time.Duration
	respondedAt     time.Duration // time of the latest response
	unresponsiveAt  time.Duration // time when the endpoint's machine was last found unresponsive
	responseLatency time.Duration // moving average, over successful responses without queueing

	// Slow start.

	warmupSentAt        time.Duration // time of the latest request during slow start
	isOwner             bool          // this proxy is the one that sends to the endpoint during slow start
	ownerProxiesVersion int           // Balancer.proxiesVersion for which isOwner holds

	// Counts since the last report.

	attempts   float64
	failed     float64
	succeeded  float64
	latencySum time.Duration // of the successful attempts
	hadQueue   bool          // the endpoint reported queued requests
}

// service is the state of a service.
type service struct {
	endpoints     []*endpoint // sorted by ID
	maxConns      int         // connections that an endpoint accepts from all proxies; 0 if unknown
	slowStart     time.Duration
	slowStartRate float64       // requests/s
	latency       time.Duration // moving average, over responses without queueing and responses that lower it
	limiter       rateLimiter
	retries       retryBudget
	sharded       bool       // only the holder of a request's key may get the request
	shards        shardTable // empty: unknown
	keySample     keySample

	// Counts since the last report.

	requests float64
	rejected float64
}

// Balancer holds the load-balancing state of one proxy.
type Balancer struct {
	name, zone     string
	bounds         Bounds
	startedAt      time.Duration
	services       map[string]*service
	endpoints      map[string]*endpoint // by ID
	proxies        []ProxyInfo
	proxiesVersion int // incremented by SetProxies
	maxProxies     int // largest number of proxies that SetProxies was called with
	leaseEnd       time.Duration
}

// New returns a Balancer without endpoints. name and zone are those of the proxy.
func New(name, zone string, bounds Bounds, now time.Duration) *Balancer {
	return &Balancer{
		name:       name,
		zone:       zone,
		bounds:     bounds,
		startedAt:  now,
		services:   map[string]*service{},
		endpoints:  map[string]*endpoint{},
		maxProxies: 1,
		leaseEnd:   -1,
	}
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// ConfigureService applies the configuration of a service.
func (b *Balancer) ConfigureService(name string, maxConns int, slowStartRate float64, slowStart time.Duration) {
	s := b.service(name)
	s.maxConns, s.slowStartRate, s.slowStart = maxConns, slowStartRate, slowStart
}

// longAgo initializes timestamps of events that have not happened yet.
const longAgo = -time.Hour

// SetEndpoint adds or updates an endpoint. An update keeps this proxy's observations of the endpoint.
func (b *Balancer) SetEndpoint(now time.Duration, info Endpoint) {
	e := b.endpoints[info.ID]
	if e == nil {
		b.addEndpoint(now, info)
		return
	}
	if e.Zone != info.Zone {
		e.ownerProxiesVersion = 0
	}
	e.Address, e.Zone, e.Capacity = info.Address, info.Zone, info.Capacity
	e.Usable, e.WarmupEnd = info.Usable, info.WarmupEnd
}

func (b *Balancer) addEndpoint(now time.Duration, info Endpoint) {
	e := &endpoint{
		Endpoint:       info,
		weight:         -1,
		otherLoadAt:    longAgo,
		respondedAt:    now,
		unresponsiveAt: longAgo,
		warmupSentAt:   longAgo,
	}
	b.endpoints[info.ID] = e
	s := b.service(info.Service)
	s.endpoints = append(s.endpoints, e)
	slices.SortFunc(s.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// RemoveEndpoint removes an endpoint and this proxy's observations of it.
func (b *Balancer) RemoveEndpoint(id string) {
	e := b.endpoints[id]
	if e == nil {
		return
	}
	delete(b.endpoints, id)
	s := b.service(e.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
}

// InFlight returns the number of attempts in progress at all current endpoints.
func (b *Balancer) InFlight() (n int) {
	for _, e := range b.endpoints {
		n += e.inFlight
	}
	return n
}

// SetProxies sets the proxies that hold a lease. The shared budgets are divided by the largest number of proxies seen
// so far, because a partitioned proxy may see fewer proxies than there are.
func (b *Balancer) SetProxies(all []ProxyInfo) {
	b.proxies = all
	b.proxiesVersion++
	b.maxProxies = max(b.maxProxies, len(all))
}

// SetWeights updates the routing table of a service; weights are keyed by endpoint ID. If full is true, weights
// replaces the whole table.
func (b *Balancer) SetWeights(name string, full bool, weights map[string]float64) {
	for _, e := range b.service(name).endpoints {
		if w, named := weights[e.ID]; named {
			e.weight = w
		} else if full {
			e.weight = -1
		}
	}
}
