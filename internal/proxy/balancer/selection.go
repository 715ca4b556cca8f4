package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// spilloverLoad is the load of the better of two drawn endpoints from which on all endpoints are compared.
	spilloverLoad = 1.0
	// otherZonePenalty is added to the load of an endpoint in another zone.
	otherZonePenalty = 0.5
	// loadCostFactor is the weight of the load in the expected cost of a response.
	loadCostFactor = 0.4
	// minRelativeLatency and maxRelativeLatency bound the latency of an endpoint relative to its service's.
	minRelativeLatency, maxRelativeLatency = 0.5, 3
	// otherLoadHalfLife is the half-life of the load of other proxies since it was reported. queuedHalfLife applies
	// instead while requests are queued, because an endpoint takes longer to work off a queue.
	otherLoadHalfLife = 800 * time.Millisecond
	queuedHalfLife    = 3 * time.Second
	// queueTimeShare is the fraction of the time left to the latency target that a request may spend at an endpoint.
	queueTimeShare = 0.5
	// minLoadLimit and maxLoadLimit bound the load up to which an endpoint gets requests. Late requests, which have no
	// time left to the target, share minLoadLimit.
	minLoadLimit = 1.25
	maxLoadLimit = 8.0
	// priorityStep is the fraction by which each priority below the highest lowers the load limit, down to
	// maxPriorities steps.
	priorityStep  = 0.06
	maxPriorities = 5
	// defaultLatency is the assumed latency of a service before its first response.
	defaultLatency = 100 * time.Millisecond
	// connShare is the fraction of an endpoint's connection limit that all proxies together use.
	connShare = 0.9

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// retryDelayShare is the mean retry delay as a fraction of the latency target. The delay is multiplied by a random
	// factor between minJitter and minJitter+jitterRange.
	retryDelayShare        = 1.0 / 4
	minJitter, jitterRange = 0.6, 0.8
)

// Request describes the request for which an endpoint is selected.
type Request struct {
	Service      string
	TimeToTarget time.Duration // time left until the latency target; may be negative
	Tried        []string      // IDs of endpoints that previous attempts used
	Draws        [2]float64    // uniform random numbers in [0,1)
	Priority     int           // priority of the request's route; 0 is the highest, lower ones are shed first
	Key          uint16        // shard key, if the service is sharded
}

// Selection is the endpoint for an attempt.
type Selection struct {
	ID, Address string
	// MaxConns limits the connections of this proxy to the endpoint, idle ones included: the endpoint counts all of them.
	MaxConns int
	// AvailableAt is when a key without a holder is granted at the latest, if the kind is NoHolder; 0: soon.
	AvailableAt time.Duration
	endpoint    *endpoint
}

// Pick selects an endpoint for a request. The kind is None, or the reason why no endpoint can be selected. The caller
// must pass each Selection to RecordResult when the attempt ends.
func (b *Balancer) Pick(now time.Duration, r Request) (Selection, apierror.Kind) {
	s := b.services[r.Service]
	if s == nil || len(s.endpoints) == 0 {
		return Selection{}, apierror.NoEndpoint
	}
	if s.sharded {
		return b.pickHolder(now, s, &r)
	}
	p := picker{balancer: b, service: s, now: now, request: &r, maxConns: b.maxConns(s)}
	best := p.pickByWeight()
	if best == nil || best.load(now) >= spilloverLoad {
		best = p.pickLeastLoaded()
	}
	if best == nil || best.load(now) >= s.loadLimit(&r) {
		return Selection{}, s.unavailableKind()
	}
	best.inFlight++
	if now < best.WarmupEnd {
		best.warmupSentAt = now
	}
	return Selection{ID: best.ID, Address: best.Address, MaxConns: p.maxConns, endpoint: best}, apierror.None
}

// unavailableKind returns the reason why no endpoint can be selected.
func (s *service) unavailableKind() apierror.Kind {
	for _, e := range s.endpoints {
		if e.Usable {
			return apierror.EndpointsSaturated
		}
	}
	return apierror.NoEndpoint
}

// picker holds the parameters of one call of Pick.
type picker struct {
	balancer *Balancer
	service  *service
	now      time.Duration
	request  *Request
	maxConns int
}

// mayTry reports whether the request may be sent to an endpoint now.
func (p *picker) mayTry(e *endpoint) bool {
	return p.balancer.isAvailable(p.now, p.service, e, p.maxConns) && !slices.Contains(p.request.Tried, e.ID)
}

// pickByWeight draws two endpoints by weight and returns the one with the lower expected cost (Mitzenmacher, The Power
// of Two Choices, 2001). Always choosing the best endpoint would make all proxies choose the same one, since load
// information is outdated. The result is nil if no available endpoint has a weight.
func (p *picker) pickByWeight() (best *endpoint) {
	sum := 0.0
	for _, e := range p.service.endpoints {
		if p.mayTry(e) {
			sum += p.balancer.weightOf(e)
		}
	}
	if sum <= 0 {
		return nil
	}
	lowest := 0.0
	for _, draw := range p.request.Draws {
		e := p.endpointAtWeight(draw * sum)
		if e == nil {
			continue
		}
		if cost := e.expectedCost(p.now, p.service); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// endpointAtWeight returns the first endpoint at which the cumulative weight exceeds x, or nil if rounding errors keep
// it below.
func (p *picker) endpointAtWeight(x float64) *endpoint {
	for _, e := range p.service.endpoints {
		w := p.balancer.weightOf(e)
		if w <= 0 || !p.mayTry(e) {
			continue
		}
		x -= w
		if x < 0 {
			return e
		}
	}
	return nil
}

// pickLeastLoaded returns the endpoint with the lowest load, or nil if none is available. Endpoints of other zones
// are at a disadvantage of otherZonePenalty.
func (p *picker) pickLeastLoaded() (best *endpoint) {
	lowest := 0.0
	for _, e := range p.service.endpoints {
		if !p.mayTry(e) {
			continue
		}
		load := e.load(p.now)
		if e.Zone != p.balancer.zone {
			load += otherZonePenalty
		}
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}
	return best
}

// isAvailable reports whether an endpoint accepts requests from this proxy now.
func (b *Balancer) isAvailable(now time.Duration, s *service, e *endpoint, maxConns int) bool {
	if !e.Usable || e.isSuspect || now < e.ejectedUntil || e.inFlight >= maxConns {
		return false
	}
	return now >= e.WarmupEnd || b.maySendWarmup(now, s, e)
}

// weightOf returns an endpoint's weight in the routing table. An endpoint that the table does not contain is weighted
// by its capacity if it is in this proxy's zone, and 0 otherwise.
func (b *Balancer) weightOf(e *endpoint) float64 {
	switch {
	case e.weight >= 0:
		return e.weight
	case e.Zone == b.zone:
		return float64(e.Capacity)
	}
	return 0
}

// maxConns returns this proxy's share of the connections that an endpoint of a service accepts.
func (b *Balancer) maxConns(s *service) int {
	if s.maxConns == 0 {
		return math.MaxInt
	}
	return max(int(connShare*float64(s.maxConns)/float64(b.maxProxies)), 1)
}

// load estimates the fraction of an endpoint's capacity that is in use. It may exceed 1.
func (e *endpoint) load(now time.Duration) float64 {
	halfLife := otherLoadHalfLife
	if e.otherLoad+float64(e.inFlight) > float64(e.Capacity) {
		halfLife = queuedHalfLife
	}
	decay := math.Exp2(-float64(now-e.otherLoadAt) / float64(halfLife))
	return (float64(e.inFlight) + e.otherLoad*decay) / float64(max(e.Capacity, 1))
}

// expectedCost estimates the duration of a response, relative to a typical endpoint of the service without queueing. It
// grows with the endpoint's usual latency, with the length of its queue and, to a lesser degree, with its load, because
// some endpoints slow down when nearly full.
func (e *endpoint) expectedCost(now time.Duration, s *service) float64 {
	relativeLatency, load := 1.0, e.load(now)
	if e.responseLatency > 0 && s.latency > 0 {
		relativeLatency = min(max(float64(e.responseLatency)/float64(s.latency), minRelativeLatency), maxRelativeLatency)
	}
	loadWithRequest := load + 1/float64(max(e.Capacity, 1))
	queueing := 1 + max(loadWithRequest-1, 0)
	return relativeLatency*queueing + loadCostFactor*load
}

// loadLimit returns the load at which an endpoint gets no more requests like r. Without this limit, an overloaded
// endpoint would queue more requests than it can serve within the latency target, and all of them would be late.
func (s *service) loadLimit(r *Request) float64 {
	latency := cmp.Or(s.latency, defaultLatency)
	priority := 1 - priorityStep*float64(min(max(r.Priority, 0), maxPriorities))
	limit := priority * queueTimeShare * float64(r.TimeToTarget) / float64(latency)
	return min(max(limit, minLoadLimit), maxLoadLimit)
}

// RetryDelay returns the delay after which a client should retry a request that found all endpoints saturated. It is a
// fraction of the latency target with random jitter, so that clients rejected together do not retry together. draw is a
// uniform random number in [0,1).
func RetryDelay(target time.Duration, draw float64) time.Duration {
	delay := time.Duration(float64(target) * retryDelayShare * (minJitter + jitterRange*draw))
	return min(max(delay, minRetryDelay), maxRetryDelay)
}
