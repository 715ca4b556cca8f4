// Package registry holds which endpoints there are and which proxies have a lease, as one control-plane node knows it.
// It is soft state: after a restart it fills again from heartbeats, renewals and what the other nodes tell. It does no
// I/O and reads no clock; times are durations since the process began.
//
// An endpoint is identified by its id, which it draws at each start. Of several reports the one with the greatest Seq
// counts, and the state only moves on: ready, draining, gone. A node counts those endpoints as live whose heartbeats it
// receives itself. Proxies use an endpoint as long as any node counts it as live, and while no node that has listened
// for long enough is there to say otherwise.
//
//	endpoints.go  endpoints by their heartbeats
//	leases.go     proxies by their leases
package registry

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// Registry holds endpoints and leases. It belongs to one goroutine.
type Registry struct {
	heartbeatInterval time.Duration
	entries           map[string]*Entry // by endpoint id
	byAddress         map[string]string // the newest endpoint id of each address
	leases            map[string]lease  // by proxy name
	added             []rpc.ProxyInfo   // since the last LeaseChanges
	removed           []string          // since the last LeaseChanges
}

// New makes an empty Registry. heartbeatInterval is the time between two heartbeats of an endpoint.
func New(heartbeatInterval time.Duration) *Registry {
	return &Registry{
		heartbeatInterval: heartbeatInterval,
		entries:           map[string]*Entry{},
		byAddress:         map[string]string{},
		leases:            map[string]lease{},
	}
}
