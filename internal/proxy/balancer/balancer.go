// Package balancer decides for each request of a proxy: whether it is admitted, which endpoint is tried, whether
// another one may be tried after a failure, and what an endpoint in slow start may be sent.
//
// It does no I/O and reads no clock; times are durations since the process began, chance comes in as an argument. A
// Balancer is not safe for concurrent use: its owner holds one small mutex, never over I/O.
//
//	balancer.go     what is known: services, endpoints, other proxies
//	admission.go    the rate limit of a service
//	selection.go    the choice of an endpoint, and load shedding
//	outlier.go      results of attempts; ejection of endpoints that fail, suspects and their health checks
//	slowstart.go    which proxy sends to an endpoint that is warming up, and how much
//	retrybudget.go  whether a request may be tried again
//	report.go       what is reported to the control plane
package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Bounds are the figures of the platform's rules that bind all proxies together.
type Bounds struct {
	RetryRatio      float64       // retries for each request
	RetrySlack      float64       // retries in a window beside RetryRatio
	RetryWindow     time.Duration // over which retries are counted
	SlowStartExcess float64       // times its slow-start rate that an endpoint may be sent
	SlowStartSlack  float64       // requests in a second beside SlowStartExcess
}

// Endpoint is what a proxy is told of an endpoint.
type Endpoint struct {
	ID, Service, Address, Zone string
	Capacity                   int           // requests at once
	Usable                     bool          // listed, ready, and its zone not evacuated
	WarmupEnd                  time.Duration // until when it is in slow start
}

// ProxyInfo is a proxy that holds a lease.
type ProxyInfo struct{ Name, Zone string }

// endpoint is an Endpoint with what this proxy has seen of it.
type endpoint struct {
	Endpoint
	weight   float64 // of the routing table; negative: it does not name the endpoint
	inFlight int     // requests of this proxy

	// Load of other proxies.

	others   float64 // their requests, as last told by a response
	othersAt time.Duration

	// Outlier ejection and suspects.

	ejectedUntil    time.Duration
	failures        int  // in a row
	isSuspect       bool // not to be tried before a health check has passed
	checking        bool // a health check is under way
	suspectAt       time.Duration
	respondedAt     time.Duration // when it last responded
	unresponsiveAt  time.Duration // when it was last found unresponsive
	responseLatency time.Duration // mean, of responses while nothing was queued

	// Slow start.

	warmupSentAt time.Duration // when it was last sent a request while warming up
	isOwner      bool          // this proxy is the one that sends to it while it is warming up
	ownerVersion int           // of the proxies by which isOwner was worked out

	// Since the last report.

	attempts   float64
	failed     float64
	succeeded  float64
	latencySum time.Duration // of the succeeded
	queued     bool          // it reported queued requests
}

// service is what is known of a service.
type service struct {
	endpoints     []*endpoint // sorted by id
	maxConns      int         // that an endpoint accepts from all proxies; 0: unknown
	slowStart     time.Duration
	slowStartRate float64       // requests/s
	latency       time.Duration // mean, of responses of endpoints where nothing was queued
	limiter       rateLimiter
	retries       retryBudget

	// Since the last report.

	requests float64
	rejected float64
}

// Balancer is a proxy's.
type Balancer struct {
	name, zone     string
	bounds         Bounds
	startedAt      time.Duration
	services       map[string]*service
	endpoints      map[string]*endpoint // by id
	proxies        []ProxyInfo
	proxiesVersion int // rises with each SetProxies
	maxProxies     int // the greatest number of proxies that was heard of
	leaseEnd       time.Duration
}

// New makes a Balancer that knows no endpoint.
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

// ConfigureService sets what the configuration says of a service.
func (b *Balancer) ConfigureService(name string, maxConns int, slowStartRate float64, slowStart time.Duration) {
	s := b.service(name)
	s.maxConns, s.slowStartRate, s.slowStart = maxConns, slowStartRate, slowStart
}

// longAgo stands for a time that has never been.
const longAgo = -time.Hour

// SetEndpoint sets what is known of an endpoint. What this proxy has seen of it stays.
func (b *Balancer) SetEndpoint(now time.Duration, told Endpoint) {
	e := b.endpoints[told.ID]
	if e == nil {
		b.addEndpoint(now, told)
		return
	}
	if e.Zone != told.Zone {
		e.ownerVersion = 0
	}
	e.Address, e.Zone, e.Capacity = told.Address, told.Zone, told.Capacity
	e.Usable, e.WarmupEnd = told.Usable, told.WarmupEnd
}

func (b *Balancer) addEndpoint(now time.Duration, told Endpoint) {
	e := &endpoint{
		Endpoint:       told,
		weight:         -1,
		othersAt:       longAgo,
		respondedAt:    now,
		unresponsiveAt: longAgo,
		warmupSentAt:   longAgo,
	}
	b.endpoints[told.ID] = e
	s := b.service(told.Service)
	s.endpoints = append(s.endpoints, e)
	slices.SortFunc(s.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// RemoveEndpoint forgets an endpoint.
func (b *Balancer) RemoveEndpoint(id string) {
	e := b.endpoints[id]
	if e == nil {
		return
	}
	delete(b.endpoints, id)
	s := b.service(e.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
}

// InFlight is the number of attempts that were picked and have not ended, at endpoints that are known.
func (b *Balancer) InFlight() (n int) {
	for _, e := range b.endpoints {
		n += e.inFlight
	}
	return n
}

// SetProxies sets which proxies hold a lease. The greatest number that was ever heard of divides the shared budgets: a
// proxy that is cut off counts itself among fewer than there are.
func (b *Balancer) SetProxies(all []ProxyInfo) {
	b.proxies = all
	b.proxiesVersion++
	b.maxProxies = max(b.maxProxies, len(all))
}

// SetWeights sets a service's routing table as the control plane ordered it. With full it is the whole table.
func (b *Balancer) SetWeights(name string, full bool, weights map[string]float64) {
	for _, e := range b.service(name).endpoints {
		if w, named := weights[e.ID]; named {
			e.weight = w
		} else if full {
			e.weight = -1
		}
	}
}
