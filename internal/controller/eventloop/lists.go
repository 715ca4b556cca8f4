package eventloop

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/reconcile"
	"elmfold/internal/policy"
)

var statuses = map[string]policy.Status{
	reconcile.Serving:  policy.Ready,
	reconcile.Draining: policy.Draining,
	reconcile.Deleted:  policy.Gone,
}

// SetCachedList takes the list that the controller held last.
func (d *Loop) SetCachedList(l reconcile.List) { d.onList(l, policy.ListCached) }

func (d *Loop) onList(l reconcile.List, kind policy.ListKind) {
	if l.Complete && kind == policy.ListChange {
		kind = policy.ListFull
	}
	entries, named := make([]policy.Entry, 0, len(l.Members)), map[int]bool{}
	var ignored []reconcile.Member
	for _, m := range l.Members {
		status, ok := statuses[m.Phase]
		zone := slices.Index(d.names.Zones, m.Zone)
		if !ok || m.ID == "" || zone < 0 && status != policy.Gone {
			ignored = append(ignored, m)
			continue
		}
		at, listed := d.index[m.ID]
		if !listed && status == policy.Gone {
			continue
		}
		if !listed {
			at = d.allocateIndex(m.ID)
		}
		named[at] = status != policy.Gone
		e := d.entry(m, at, zone, status)
		entries = append(entries, e)
		d.entries = append(d.entries, make([]policy.Entry, max(at+1-len(d.entries), 0))...)
		if status != policy.Gone {
			d.entries[at] = e
		}
	}
	d.logIgnored(ignored)
	d.updateListed(named, l.Complete)
	d.events = append(d.events, policy.ListUpdate{Kind: kind, Entries: entries})
}

func (d *Loop) entry(m reconcile.Member, at, zone int, status policy.Status) policy.Entry {
	e := policy.Entry{Backend: at, Zone: zone, Kind: slices.Index(d.names.Kinds, m.Kind), Status: status,
		Weight: max(m.Weight, 0)}
	if startedAt := m.UpSince * float64(policy.Second) / 1000; startedAt > 0 {
		e.StartedAt = policy.Time(math.Min(startedAt, float64(maxTime)))
	}
	return e
}

func (d *Loop) logIgnored(ignored []reconcile.Member) {
	if len(ignored) == 0 {
		return
	}
	first := ignored[0]
	d.log.WithFields(logrus.Fields{"count": len(ignored), "first": first.ID, "phase": first.Phase,
		"zone": first.Zone}).Warn("entries of the list are read past")
}

// updateListed notes which backends are on the list now: named says it of those that the newest list names, isFull that
// it names all.
func (d *Loop) updateListed(named map[int]bool, isFull bool) {
	for at, before := range d.listed {
		isOn, isNamed := named[at]
		d.listed[at] = isOn || before && !isNamed && !isFull
		if before && !d.listed[at] {
			d.goneAt[at] = d.now
		}
	}
}

// allocateIndex gives a backend an index, one that was released where there is one.
func (d *Loop) allocateIndex(id string) (at int) {
	if n := len(d.free); n > 0 {
		at, d.free = d.free[n-1], d.free[:n-1]
	} else {
		at = len(d.backends)
		d.backends, d.withdrawn, d.listed = append(d.backends, ""), append(d.withdrawn, false), append(d.listed, false)
		d.goneAt = append(d.goneAt, 0)
	}
	d.index[id], d.backends[at], d.goneAt[at] = at, id, d.now
	return at
}

// releaseIndices frees the places of backends that are gone for long and that no proxy has a line of: ids never come
// to an end. What is heard of such a one later names nobody. Once a second: it asks all proxies about each.
func (d *Loop) releaseIndices() {
	if d.now < d.releasedAt+policy.Second {
		return
	}
	d.releasedAt = d.now
	for at, id := range d.backends {
		holds := func(p proxy) bool { return p.stream != nil && d.mayHaveLine(&p, at) }
		if id == "" || d.listed[at] || d.now < d.goneAt[at]+indexRetention || slices.ContainsFunc(d.proxies, holds) {
			continue
		}
		delete(d.index, id)
		d.backends[at], d.withdrawn[at], d.free = "", false, append(d.free, at)
		for i := range d.proxies {
			if told := d.proxies[i].notified; at < len(told) {
				told[at] = usabilityUnknown
			}
		}
		for _, t := range d.tables { // of proxies that left
			if at < len(t.weight) {
				t.weight[at] = 0
			}
		}
		d.events = append(d.events, policy.IndexReleased{Backend: at})
	}
}
