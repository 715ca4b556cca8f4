package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// LeaseDuration is how long a proxy is a member after its last renewal, by the clock of the control-plane node.
	LeaseDuration = 3 * time.Second
	// LeaseUseDuration is how long a proxy may rely on its lease, from the sending of a renewal that was answered. It is
	// shorter than LeaseDuration, so that the proxy stops before the node lets the lease expire.
	LeaseUseDuration = 2 * time.Second
)

type lease struct {
	rpc.ProxyInfo
	expiresAt time.Duration
}

// RenewLease handles a proxy's renewal. It reports whether the proxy had no lease before.
func (r *Registry) RenewLease(now time.Duration, proxy rpc.ProxyInfo) (isNew bool) {
	_, held := r.leases[proxy.Name]
	r.leases[proxy.Name] = lease{ProxyInfo: proxy, expiresAt: now + LeaseDuration}
	if !held {
		r.added = append(r.added, proxy)
	}
	return !held
}

// ReleaseLease ends the lease of a proxy, if it has one.
func (r *Registry) ReleaseLease(name string) {
	if _, held := r.leases[name]; held {
		r.removed = append(r.removed, name)
		delete(r.leases, name)
	}
}

// LeaseChanges expires the leases that were not renewed, and returns which proxies lost or got their lease since the
// last call. A proxy that stands in both was removed first.
func (r *Registry) LeaseChanges(now time.Duration) (removed []string, added []rpc.ProxyInfo) {
	for _, name := range slices.Sorted(maps.Keys(r.leases)) {
		if now > r.leases[name].expiresAt {
			r.ReleaseLease(name)
		}
	}
	removed = r.removed
	for _, proxy := range r.added {
		if _, held := r.leases[proxy.Name]; held {
			added = append(added, proxy)
		}
	}
	r.removed, r.added = nil, nil
	return removed, added
}

// Proxies are those that hold a lease, in the order of their names.
func (r *Registry) Proxies() []rpc.ProxyInfo {
	all := make([]rpc.ProxyInfo, 0, len(r.leases))
	for _, l := range r.leases {
		all = append(all, l.ProxyInfo)
	}
	slices.SortFunc(all, func(a, b rpc.ProxyInfo) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
