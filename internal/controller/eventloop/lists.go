package eventloop

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/reconcile"
	"elmfold/internal/policy"
)

// statuses maps the Phase of a reconcile.Member to a policy.Status.
var statuses = map[string]policy.Status{
	reconcile.Serving:  policy.Ready,
	reconcile.Draining: policy.Draining,
	reconcile.Deleted:  policy.Gone,
}

// SetCachedList sets the list that a controller stored before it restarted.
func (l *Loop) SetCachedList(list reconcile.List) { l.onList(list, policy.ListCached) }

func (l *Loop) onList(list reconcile.List, kind policy.ListKind) {
	if list.Complete && kind == policy.ListChange {
		kind = policy.ListFull
	}
	entries := make([]policy.Entry, 0, len(list.Members))
	isPresent := map[int]bool{} // by index, for each backend in the list; false: the list marks it as gone
	var ignored []reconcile.Member
	for _, m := range list.Members {
		status, ok := statuses[m.Phase]
		zone := slices.Index(l.names.Zones, m.Zone)
		if !ok || m.ID == "" || zone < 0 && status != policy.Gone {
			ignored = append(ignored, m)
			continue
		}
		at, hasIndex := l.index[m.ID]
		if !hasIndex && status == policy.Gone {
			continue
		}
		if !hasIndex {
			at = l.allocateIndex(m.ID)
		}
		isPresent[at] = status != policy.Gone
		e := l.entry(m, at, zone, status)
		entries = append(entries, e)
		l.lastEntries = append(l.lastEntries, make([]policy.Entry, max(at+1-len(l.lastEntries), 0))...)
		if status != policy.Gone {
			l.lastEntries[at] = e
		}
	}
	l.logIgnored(ignored)
	l.updateListed(isPresent, list.Complete)
	l.events = append(l.events, policy.ListUpdate{Kind: kind, Entries: entries})
}

func (l *Loop) entry(m reconcile.Member, at, zone int, status policy.Status) policy.Entry {
	e := policy.Entry{Backend: at, Zone: zone, Kind: slices.Index(l.names.Kinds, m.Kind), Status: status,
		Weight: max(m.Weight, 0)}
	if startedAt := m.UpSince * float64(policy.Second) / 1000; startedAt > 0 {
		e.StartedAt = policy.Time(math.Min(startedAt, float64(maxTime)))
	}
	return e
}

func (l *Loop) logIgnored(ignored []reconcile.Member) {
	if len(ignored) == 0 {
		return
	}
	first := ignored[0]
	l.log.WithFields(logrus.Fields{"count": len(ignored), "first": first.ID, "phase": first.Phase,
		"zone": first.Zone}).Warn("ignoring invalid entries of the backend list")
}

// updateListed updates which backends are listed. A full list removes the backends that it does not name.
func (l *Loop) updateListed(isPresent map[int]bool, isFull bool) {
	for at, wasListed := range l.listed {
		present, isNamed := isPresent[at]
		l.listed[at] = present || wasListed && !isNamed && !isFull
		if wasListed && !l.listed[at] {
			l.unlistedAt[at] = l.now
		}
	}
}

// allocateIndex assigns an index to a backend. It prefers released indices.
func (l *Loop) allocateIndex(id string) (at int) {
	if n := len(l.free); n > 0 {
		at, l.free = l.free[n-1], l.free[:n-1]
	} else {
		at = len(l.backends)
		l.backends, l.withdrawn, l.listed = append(l.backends, ""), append(l.withdrawn, false), append(l.listed, false)
		l.unlistedAt = append(l.unlistedAt, 0)
	}
	l.index[id], l.backends[at], l.unlistedAt[at] = at, id, l.now
	return at
}

// releaseIndices frees the indices of backends that left the list more than indexRetention ago and that are in no
// proxy's table. Without this, the slices would grow with every new backend id. Later reports about such a backend are
// rejected.
// It runs once a second, because it checks every backend against all proxies.
func (l *Loop) releaseIndices() {
	if l.now < l.lastReleaseAt+policy.Second {
		return
	}
	l.lastReleaseAt = l.now
	for at, id := range l.backends {
		isUsing := func(p proxy) bool { return p.stream != nil && l.mayHaveEntry(&p, at) }
		if id == "" || l.listed[at] || l.now < l.unlistedAt[at]+indexRetention ||
			slices.ContainsFunc(l.proxies, isUsing) {
			continue
		}
		delete(l.index, id)
		l.backends[at], l.withdrawn[at], l.free = "", false, append(l.free, at)
		for i := range l.proxies {
			if usabilities := l.proxies[i].notifiedUsability; at < len(usabilities) {
				usabilities[at] = usabilityUnknown
			}
		}
		for _, t := range l.tables { // tables without a connected proxy may still hold a weight
			if at < len(t.weight) {
				t.weight[at] = 0
			}
		}
		l.events = append(l.events, policy.IndexReleased{Backend: at})
	}
}
