// Package routeconfig is the operator's configuration: parsed from its JSON body, validated, and compiled into a Config
// that never changes, so that any number of goroutines may use it without a lock.
package routeconfig

import "time"

//go:generate protoc --go_out=. --go_opt=paths=source_relative config.proto

// Config is one whole configuration. Nothing in it may be altered.
type Config struct {
	Version  uint32 // its generation: a higher one replaces a lower one
	Limits   Limits
	Services map[string]*Service // by name
	Body     []byte              // the bytes exactly as they came
	Digest   uint64              // xxh3 of Body

	routes []*Route
	hosts  map[string]*hostRoutes // by name, in lower case
}

// Limits bound what a client may send. What the operator left out, or gave as 0 or less, has its default.
type Limits struct {
	HeaderBytes   int           // default 16,384
	BodyBytes     int64         // default 64 MiB
	HeaderTimeout time.Duration // default 3 s
	IdleTimeout   time.Duration // default 15 s
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int           // that an endpoint accepts from all callers together; 0: not given
	SlowStart     time.Duration // how long an endpoint is warming up after its start
	SlowStartRate float64       // requests/s that an endpoint bears while it is warming up
}

// Route is where requests of one host and path prefix go.
type Route struct {
	Name          string
	Host          string // in lower case, without port
	Prefix        string
	Idempotent    bool              // its requests may be executed more than once; false for a kind that is not known
	LatencyTarget time.Duration     // within which a response has its full value; default: Timeout
	Timeout       time.Duration     // over 0, at most 10 minutes
	Priority      int               // 0 is the highest
	MaxAttempts   int               // at least 1
	Services      []WeightedService // at least one
}

// WeightedService is a service that takes a part of a route's requests. Services without a part are left out.
type WeightedService struct {
	Service string
	Weight  float64 // over 0; the weights of a route sum to 1
}

// Routes are all routes in the order in which the operator gave them.
func (c *Config) Routes() []*Route { return c.routes }

// PickService is the service that u, in [0,1), falls to by the weights.
func (r *Route) PickService(u float64) string {
	last := len(r.Services) - 1
	for _, s := range r.Services[:last] {
		u -= s.Weight
		if u < 0 {
			return s.Service
		}
	}
	return r.Services[last].Service // also for what rounding leaves over
}
