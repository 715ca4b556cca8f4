package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// LeaseDuration is how long a node keeps the lease of a proxy after receiving its last renewal.
	LeaseDuration = 3 * time.Second
	// LeaseUseDuration is how long a proxy may rely on its lease after sending a renewal that was acknowledged. It is
	// shorter than LeaseDuration, so that the proxy stops using the lease before the node expires it.
	LeaseUseDuration = 2 * time.Second
)

type lease struct {
	rpc.ProxyInfo
	expiresAt time.Duration
}

// RenewLease grants or extends the lease of a proxy. It reports whether the proxy had no lease before.
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

// LeaseChanges expires the leases that were not renewed, and returns the proxies whose leases ended or were granted
// since the last call. A proxy in both lists was removed first and then added again.
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

// Proxies returns the proxies that hold a lease, sorted by name.
func (r *Registry) Proxies() []rpc.ProxyInfo {
	all := make([]rpc.ProxyInfo, 0, len(r.leases))
	for _, l := range r.leases {
		all = append(all, l.ProxyInfo)
	}
	slices.SortFunc(all, func(a, b rpc.ProxyInfo) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
