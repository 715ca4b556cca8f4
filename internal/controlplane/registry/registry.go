// Package registry is the table of endpoints and of proxy leases that one control-plane node keeps. It is soft state:
// after a restart it is rebuilt from heartbeats, lease renewals, the reports of the other nodes, and the departures on
// the disk (package departures). The package does no I/O and reads no clock; times are durations since the process
// started.
//
// An endpoint is identified by an id that it generates at each start. The report with the greatest Seq takes
// precedence. The state of an endpoint only advances: ready, draining, gone. A node considers an endpoint live while it
// receives the heartbeats of that endpoint itself. Proxies use an endpoint as long as any node considers it live, or
// while no node with a synced endpoint table is reachable.
//
//	endpoints.go  endpoints, by their heartbeats
//	leases.go     proxies, by their leases
package registry

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// Registry holds endpoints and leases. It is not safe for concurrent use.
type Registry struct {
	heartbeatInterval time.Duration
	entries           map[string]*Entry // by endpoint id
	byAddress         map[string]string // id of the newest endpoint at each address
	leases            map[string]lease  // by proxy name
	added             []rpc.ProxyInfo   // leases granted since the last LeaseChanges
	removed           []string          // leases ended since the last LeaseChanges
}

// New returns an empty Registry. heartbeatInterval is the time between two heartbeats of an endpoint.
func New(heartbeatInterval time.Duration) *Registry {
	return &Registry{
		heartbeatInterval: heartbeatInterval,
		entries:           map[string]*Entry{},
		byAddress:         map[string]string{},
		leases:            map[string]lease{},
	}
}
