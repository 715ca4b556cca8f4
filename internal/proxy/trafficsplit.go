package proxy

import (
	"math"
	"math/rand/v2"
	"sync"

	"elmfold/internal/gateway/routeconfig"
)

// goldenRatio is the step of a sequence in [0,1) whose first n members, for each n, lie about as evenly as n points can
// (Kronecker's sequence). Drawn by chance, a part of 300 requests would stray from its weight by 0.03 and more.
const goldenRatio = 0.6180339887498949

// trafficSplits spread the requests of each route over its services by their weights. It is safe for concurrent use.
type trafficSplits struct {
	mu     sync.Mutex
	config *routeconfig.Config // that the routes are of
	next   map[*routeconfig.Route]float64
}

// service is the service of the next request of a route.
func (t *trafficSplits) service(config *routeconfig.Config, route *routeconfig.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	return route.PickService(t.draw(config, route))
}

// draw is the next member of the route's sequence. It begins anywhere, so that proxies do not go in step.
func (t *trafficSplits) draw(config *routeconfig.Config, route *routeconfig.Route) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config != config {
		t.config, t.next = config, map[*routeconfig.Route]float64{}
	}
	u, begun := t.next[route]
	if !begun {
		u = rand.Float64()
	}
	_, t.next[route] = math.Modf(u + goldenRatio)
	return u
}
