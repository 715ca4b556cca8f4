package proxy

import (
	"math"
	"math/rand/v2"
	"sync"

	"elmfold/internal/gateway/routeconfig"
)

// goldenRatio is the step of a low-discrepancy sequence in [0,1) (Kronecker's sequence). Its first n members are spread
// nearly evenly for every n, so even a few requests match the weights closely. With random draws, the share among 300
// requests would deviate by 0.03 or more.
const goldenRatio = 0.6180339887498949

// trafficSplits distributes the requests of each route over its services by their weights. It is safe for concurrent
// use.
type trafficSplits struct {
	mu     sync.Mutex
	config *routeconfig.Config // the configuration of the routes in next
	next   map[*routeconfig.Route]float64
}

// service returns the service for the next request of a route.
func (t *trafficSplits) service(config *routeconfig.Config, route *routeconfig.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	return route.PickService(t.nextPosition(config, route))
}

// nextPosition returns the next member of the route's sequence. The sequence starts at a random position, so that the
// proxies are not in step.
func (t *trafficSplits) nextPosition(config *routeconfig.Config, route *routeconfig.Route) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config != config {
		t.config, t.next = config, map[*routeconfig.Route]float64{}
	}
	position, isStarted := t.next[route]
	if !isStarted {
		position = rand.Float64()
	}
	_, t.next[route] = math.Modf(position + goldenRatio)
	return position
}
