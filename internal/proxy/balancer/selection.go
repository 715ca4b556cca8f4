package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// spillLoad is the load of the better of two endpoints from which on all others are looked at.
	spillLoad = 1.0
	// otherZonePenalty is the load by which an endpoint of another zone must be lower.
	otherZonePenalty = 0.5
	// loadCost is the part of a load in what a response is expected to cost while there is room.
	loadCost = 0.4
	// minSpeed and maxSpeed bound how much slower an endpoint counts than its service.
	minSpeed, maxSpeed = 0.5, 3
	// othersHalfLife is how fast the load of others fades that is not told anew, and queuedHalfLife where requests were
	// queued: nobody's are responded to sooner than the endpoint can.
	othersHalfLife = 800 * time.Millisecond
	queuedHalfLife = 3 * time.Second
	// queueShare is the part of the time to the latency target that may pass at an endpoint before nothing more is sent
	// there.
	queueShare = 0.5
	// minLoadLimit is the load that an endpoint may have at least, and of which late requests have their part.
	minLoadLimit = 1.25
	maxLoadLimit = 8.0
	// priorityStep is the part of the limit that each priority below the highest gives up, for so many priorities.
	priorityStep  = 0.06
	maxPriorities = 5
	// defaultLatency stands for the latency of a service before its first response.
	defaultLatency = 100 * time.Millisecond
	// connShare is the part of the connections that an endpoint accepts which the proxies use up together.
	connShare = 0.9

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// A request that found all endpoints saturated should come again after retryDelayShare of its latency target, times
	// minJitter to minJitter+jitterRange.
	retryDelayShare        = 1.0 / 4
	minJitter, jitterRange = 0.6, 0.8
)

// Request is what a request needs of an endpoint.
type Request struct {
	Service      string
	TimeToTarget time.Duration // left until the latency target; may be negative
	Tried        []string      // ids of endpoints that it was at before
	Draws        [2]float64    // drawn from [0,1)
	Priority     int           // of the request's route, 0 the highest: the others are shed first
}

// Selection is the endpoint for an attempt.
type Selection struct {
	ID, Address string
	// MaxConns is how many connections this proxy may have to the endpoint, idle ones included: all of them count there.
	MaxConns int
	endpoint *endpoint
}

// Pick chooses an endpoint for a request. The kind is None, or says why there is none. A Selection must be passed to
// RecordResult.
func (b *Balancer) Pick(now time.Duration, r Request) (Selection, apierror.Kind) {
	s := b.services[r.Service]
	if s == nil || len(s.endpoints) == 0 {
		return Selection{}, apierror.NoEndpoint
	}
	c := choice{balancer: b, service: s, now: now, request: &r, maxConns: b.maxConns(s)}
	best := c.byWeight()
	if best == nil || best.load(now) >= spillLoad {
		best = c.leastLoaded()
	}
	if best == nil || best.load(now) >= s.loadLimit(&r) {
		return Selection{}, s.unavailable()
	}
	best.inFlight++
	if now < best.WarmupEnd {
		best.warmupSentAt = now
	}
	return Selection{ID: best.ID, Address: best.Address, MaxConns: c.maxConns, endpoint: best}, apierror.None
}

// unavailable says why no endpoint may be tried.
func (s *service) unavailable() apierror.Kind {
	for _, e := range s.endpoints {
		if e.Usable {
			return apierror.EndpointsSaturated
		}
	}
	return apierror.NoEndpoint
}

// choice is one Pick.
type choice struct {
	balancer *Balancer
	service  *service
	now      time.Duration
	request  *Request
	maxConns int
}

// allows reports whether an endpoint may be tried now.
func (c *choice) allows(e *endpoint) bool {
	return c.balancer.isAvailable(c.now, c.service, e, c.maxConns) && !slices.Contains(c.request.Tried, e.ID)
}

// byWeight draws two endpoints by their weights and returns the one that is expected to respond sooner (Mitzenmacher,
// The Power of Two Choices, 2001): what is known of loads is outdated, and all that see the same would choose the same
// best one. It returns nil where none has a weight.
func (c *choice) byWeight() (best *endpoint) {
	sum := 0.0
	for _, e := range c.service.endpoints {
		if c.allows(e) {
			sum += c.balancer.weightOf(e)
		}
	}
	if sum <= 0 {
		return nil
	}
	lowest := 0.0
	for _, draw := range c.request.Draws {
		e := c.drawn(draw * sum)
		if e == nil {
			continue
		}
		if cost := e.cost(c.now, c.service); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// drawn is the endpoint at which the weights sum to over x; nil where rounding left x over.
func (c *choice) drawn(x float64) *endpoint {
	for _, e := range c.service.endpoints {
		w := c.balancer.weightOf(e)
		if w <= 0 || !c.allows(e) {
			continue
		}
		x -= w
		if x < 0 {
			return e
		}
	}
	return nil
}

// leastLoaded is the endpoint with the lowest load, those of the own zone preferred; nil: none may be tried.
func (c *choice) leastLoaded() (best *endpoint) {
	lowest := 0.0
	for _, e := range c.service.endpoints {
		if !c.allows(e) {
			continue
		}
		load := e.load(c.now)
		if e.Zone != c.balancer.zone {
			load += otherZonePenalty
		}
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}
	return best
}

// isAvailable reports whether an endpoint may be tried now, by any request.
func (b *Balancer) isAvailable(now time.Duration, s *service, e *endpoint, maxConns int) bool {
	if !e.Usable || e.isSuspect || now < e.ejectedUntil || e.inFlight >= maxConns {
		return false
	}
	return now >= e.WarmupEnd || b.mayWarmUp(now, s, e)
}

// weightOf is an endpoint's weight in the routing table. Where the control plane has not named the endpoint, its
// own zone goes first, by capacity.
func (b *Balancer) weightOf(e *endpoint) float64 {
	switch {
	case e.weight >= 0:
		return e.weight
	case e.Zone == b.zone:
		return float64(e.Capacity)
	}
	return 0
}

// maxConns is how many connections this proxy may have to an endpoint of a service.
func (b *Balancer) maxConns(s *service) int {
	if s.maxConns == 0 {
		return math.MaxInt
	}
	return max(int(connShare*float64(s.maxConns)/float64(b.maxProxies)), 1)
}

// load is the part of an endpoint's capacity that is taken, as far as is known.
func (e *endpoint) load(now time.Duration) float64 {
	halfLife := othersHalfLife
	if e.others+float64(e.inFlight) > float64(e.Capacity) {
		halfLife = queuedHalfLife
	}
	fade := math.Exp2(-float64(now-e.othersAt) / float64(halfLife))
	return (float64(e.inFlight) + e.others*fade) / float64(max(e.Capacity, 1))
}

// cost is how long a response is expected to take, relative to one of the service's usual endpoints with room: by
// how fast the endpoint works, as those of a service vary; by how far what is there must be worked off first; and a
// little by its load, as some become slower when nearly full.
func (e *endpoint) cost(now time.Duration, s *service) float64 {
	speed, load := 1.0, e.load(now)
	if e.responseLatency > 0 && s.latency > 0 {
		speed = min(max(float64(e.responseLatency)/float64(s.latency), minSpeed), maxSpeed)
	}
	return speed*(1+max(load+1/float64(max(e.Capacity, 1))-1, 0)) + loadCost*load
}

// loadLimit is the load from which on an endpoint gets no more of such requests. Otherwise an overload would have every
// request served, and each too late: endpoints queue more than they can respond to within the latency target.
func (s *service) loadLimit(r *Request) float64 {
	latency := cmp.Or(s.latency, defaultLatency)
	priority := 1 - priorityStep*float64(min(max(r.Priority, 0), maxPriorities))
	limit := priority * queueShare * float64(r.TimeToTarget) / float64(latency)
	return min(max(limit, minLoadLimit), maxLoadLimit)
}

// RetryDelay is when a request that found all endpoints saturated should come again: soon enough to be served
// within its latency target, spread by chance, so that those rejected together do not return together. draw is from
// [0,1).
func RetryDelay(target time.Duration, draw float64) time.Duration {
	delay := time.Duration(float64(target) * retryDelayShare * (minJitter + jitterRange*draw))
	return min(max(delay, minRetryDelay), maxRetryDelay)
}
