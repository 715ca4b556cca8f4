// Package routeconfig parses and validates the operator's configuration, a JSON document, and compiles it into a Config
// for matching requests. A Config is immutable and thus safe for concurrent use.
package routeconfig

import "time"

//go:generate protoc --go_out=. --go_opt=paths=source_relative config.proto

// Config is a compiled configuration. It must not be modified.
type Config struct {
	Version  uint32 // called generation in the document; a higher version replaces a lower one
	Limits   Limits
	Services map[string]*Service // by name
	// Sharded has the names of the services whose endpoints serve only requests with keys that they were granted; see
	// package sharding.
	Sharded map[string]bool
	// Unsupported describes settings of services that the gateway knows of and does not apply, each with its key.
	Unsupported []string
	Body        []byte // the document as received
	Digest      uint64 // xxh3 hash of Body

	routes []*Route
	hosts  map[string]*hostRoutes // by lower-case name
}

// Limits are the limits of client requests. Values that are missing in the document, or are not over 0, have defaults.
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
	MaxConns      int           // connections that an endpoint accepts from all callers together; 0: unknown
	SlowStart     time.Duration // duration of the slow start of an endpoint
	SlowStartRate float64       // requests/s that an endpoint can handle during slow start
}

// Route defines how requests with a host and a path prefix are forwarded.
type Route struct {
	Name          string
	Host          string // in lower case, without port
	Prefix        string
	Idempotent    bool              // requests may be executed more than once; false for unknown route kinds
	LatencyTarget time.Duration     // target for the response time; default: Timeout
	Timeout       time.Duration     // over 0, at most 10 minutes
	Priority      int               // 0 is the highest
	MaxAttempts   int               // at least 1
	Services      []WeightedService // at least one
}

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // over 0; the weights of a route sum to 1
}

// Routes returns all routes in the order of the document.
func (c *Config) Routes() []*Route { return c.routes }

// PickService maps a uniformly distributed random number u in [0,1) to a service according to the weights.
func (r *Route) PickService(u float64) string {
	last := len(r.Services) - 1
	for _, s := range r.Services[:last] {
		u -= s.Weight
		if u < 0 {
			return s.Service
		}
	}
	return r.Services[last].Service // also if rounding errors leave u at 0 or above
}
