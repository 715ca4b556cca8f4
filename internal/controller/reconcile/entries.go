package reconcile

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// entry is a key of the registry. A member without an ID stands for no backend.
type entry struct {
	current, published Member // as in the registry and as last published
	modRevision        int64  // revision of the last change
	checksum           uint64 // of the value
	invalidRevision    int64  // modRevision of the last invalid value
	present            bool   // the registry has the key
	holdUntil          Time   // until then published overrides current; 0 for no hold
	removedAt          Time   // when the removal was published
	removed            bool   // the backend was published and then removed
}

// ensureEntry returns the entry of a key. It creates the entry if necessary.
func (r *Reconciler) ensureEntry(key string) *entry {
	e, ok := r.entries[key]
	if !ok {
		e = &entry{}
		r.entries[key] = e
	}
	return e
}

// updateEntry sets the current state of an entry. An invalid value leaves the backend as published, since a typing
// error must not remove it.
func (r *Reconciler) updateEntry(e *entry, c KeyValue) {
	e.modRevision, e.present, e.checksum = c.ModRevision, !c.Deleted, checksum(c.Value)
	if c.Deleted {
		e.current = Member{}
		return
	}
	m, err := ParseValue(r.config.Prefix, c.Key, c.Value, r.config.MaxValueSize)
	if err != nil {
		if e.current = e.published; e.invalidRevision != c.ModRevision {
			e.invalidRevision = c.ModRevision
			r.logInvalidEntry(c, err)
		}
		return
	}
	if e.current = m; m.Phase == Deleted {
		e.current = Member{}
	}
}

func (r *Reconciler) logInvalidEntry(c KeyValue, err error) {
	if r.invalidEntries++; r.invalidEntries <= maxInvalidEntryLogs {
		r.log(LogEntry{Warn: true, Text: "ignoring an invalid entry", Key: c.Key, Reason: err.Error(), Endpoint: -1,
			Revision: c.ModRevision})
	}
}

// applyChange applies a change of the current history, which ends a hold.
func (r *Reconciler) applyChange(c KeyValue) {
	if !strings.HasPrefix(c.Key, r.config.Prefix+"/") {
		if !c.Deleted {
			_, err := ParseValue(r.config.Prefix, c.Key, nil, 0)
			r.logInvalidEntry(c, err)
		}
		return
	}
	e := r.ensureEntry(c.Key)
	r.updateEntry(e, c)
	e.holdUntil = 0
	r.queueChange(e)
	r.deleteIfUnused(c.Key, e)
}

// deleteIfUnused deletes the entry of an absent key that was never published as a backend.
func (r *Reconciler) deleteIfUnused(key string, e *entry) {
	if !e.present && e.published.ID == "" && !e.removed {
		delete(r.entries, key)
	}
}

// queueChange queues the difference between the current and the published state, unless a hold is in effect.
func (r *Reconciler) queueChange(e *entry) {
	if e.holdUntil > 0 || e.current == e.published {
		return
	}
	m := e.current
	if m.ID == "" {
		m = e.published
		m.Phase = Deleted
		e.removed, e.removedAt = true, r.now
		r.liveCount--
		r.scheduleExpiry(r.now + r.config.TombstoneRetention)
		if r.tombstones++; r.tombstones > r.config.MaxTombstones {
			r.scheduleExpiry(r.now)
		}
	} else if e.published.ID == "" {
		r.liveCount++
		e.removed = false
	}
	e.published = e.current
	r.unpublished = append(r.unpublished, m)
}

// publish publishes the queued changes, or a complete list even if it is empty.
func (r *Reconciler) publish(isComplete bool) {
	if len(r.unpublished) > 0 || isComplete {
		r.emit(PublishList{List{Revision: r.revision, Complete: isComplete, Members: r.unpublished}})
	}
	r.unpublished = nil
}

func (r *Reconciler) scheduleExpiry(at Time) {
	if r.nextExpiry == 0 || at < r.nextExpiry {
		r.nextExpiry = at
	}
}

// warnIfShrunk logs the removal of many backends at once, because the registry may have been emptied by mistake.
func (r *Reconciler) warnIfShrunk(liveBefore int) {
	removed := liveBefore - r.liveCount
	if r.config.ShrinkWarnRatio > 0 && float64(removed) > r.config.ShrinkWarnRatio*float64(liveBefore) {
		r.log(LogEntry{Warn: true, Text: "many backends were removed at once", Endpoint: r.endpoint(), Revision: r.revision,
			Count: removed, Reason: fmt.Sprintf("%d of %d backends removed", removed, liveBefore)})
	}
}

// applyFullList replaces the list by the pages that were read and publishes the differences: changes in the order of
// their revisions, then removals.
func (r *Reconciler) applyFullList() {
	sameHistory, pageKeys := r.isSameHistory()
	liveBefore, isFirst := r.liveCount, !r.hasList
	if !isFirst && !sameHistory {
		r.log(LogEntry{Warn: true, Text: "the list is of another history; holding known drains and removals for a while",
			Endpoint: r.endpoint(), Revision: r.pagesRevision, Count: r.liveCount, Reason: r.config.RestoredListHold.String()})
	}
	slices.SortStableFunc(r.pages, func(a, b KeyValue) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.Key, b.Key))
	})
	for _, c := range r.pages {
		r.applyEntry(c, sameHistory || isFirst, sameHistory)
	}
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[key]; !pageKeys[key] && e.present {
			r.updateEntry(e, KeyValue{Key: key, ModRevision: e.modRevision, Deleted: true})
			e.holdUntil = 0
			r.queueChange(e)
			r.deleteIfUnused(key, e)
		}
	}
	r.clusterID, r.revision, r.hasList, r.verified, r.diverged = r.pagesClusterID, r.pagesRevision, true, true, false
	r.publish(isFirst)
	r.warnIfShrunk(liveBefore)
}

// isSameHistory reports whether the pages that were read and the current entries are states of one revision history.
// It also returns the keys of the pages.
func (r *Reconciler) isSameHistory() (same bool, pageKeys map[string]bool) {
	pageKeys = map[string]bool{}
	same = !r.diverged && r.pagesClusterID == r.clusterID
	if r.pagesRevision < r.revision {
		// Consul's index may decrease when it drops deletion records. The list is then unchanged.
		same = same && !r.config.WatchSendsChanges && len(r.pages) == r.presentCount()
	}
	for _, c := range r.pages {
		pageKeys[c.Key] = true
		if c.ModRevision <= r.revision {
			// In the same history, a key without a later change equals its entry.
			e, ok := r.entries[c.Key]
			same = same && ok && e.present && e.modRevision == c.ModRevision && e.checksum == checksum(c.Value)
		}
	}
	return same, pageKeys
}

// applyEntry applies an entry of the whole list. If the list is not trusted, because it is of another history, known
// drains and removals are held.
func (r *Reconciler) applyEntry(c KeyValue, isTrusted, sameHistory bool) {
	if !strings.HasPrefix(c.Key, r.config.Prefix+"/") {
		r.applyChange(c)
		return
	}
	e := r.ensureEntry(c.Key)
	if sameHistory && e.present && e.modRevision == c.ModRevision {
		return
	}
	r.updateEntry(e, c)
	if isTrusted {
		e.holdUntil = 0
	} else {
		r.updateHold(e)
	}
	r.queueChange(e)
}

// presentCount returns the number of keys in the registry.
func (r *Reconciler) presentCount() (n int) {
	for _, e := range r.entries {
		if e.present {
			n++
		}
	}
	return n
}

// updateHold starts a hold if a list of another history would undo a drain or a removal.
func (r *Reconciler) updateHold(e *entry) {
	undoesDrain := e.published.Phase == Draining && e.current.Phase == Serving
	undoesRemoval := e.published.ID == "" && e.removed && e.current.ID != ""
	switch {
	case !undoesDrain && !undoesRemoval || r.config.RestoredListHold == 0:
		e.holdUntil = 0
	case e.holdUntil == 0:
		e.holdUntil = r.now + r.config.RestoredListHold
		r.scheduleExpiry(e.holdUntil)
	}
}

// expire ends holds and deletes tombstones that are too old or too many.
func (r *Reconciler) expire() {
	if r.nextExpiry == 0 || r.now < r.nextExpiry {
		return
	}
	r.nextExpiry = 0
	type tombstone struct {
		key       string
		removedAt Time
	}
	var tombstones []tombstone
	endedHolds := 0
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[key]
		if e.holdUntil > 0 && r.now >= e.holdUntil {
			e.holdUntil = 0
			endedHolds++
			r.queueChange(e)
		}
		if e.holdUntil > 0 {
			r.scheduleExpiry(e.holdUntil)
		}
		if !e.present && e.published.ID == "" && e.current.ID == "" {
			if r.now >= e.removedAt+r.config.TombstoneRetention {
				delete(r.entries, key)
			} else {
				tombstones = append(tombstones, tombstone{key, e.removedAt})
				r.scheduleExpiry(e.removedAt + r.config.TombstoneRetention)
			}
		}
	}
	if len(tombstones) > r.config.MaxTombstones {
		slices.SortStableFunc(tombstones, func(a, b tombstone) int { return cmp.Compare(a.removedAt, b.removedAt) })
		excess := len(tombstones) - r.config.MaxTombstones*3/4 // a quarter at once, so that this is rare
		for _, t := range tombstones[:excess] {
			delete(r.entries, t.key)
		}
		tombstones = tombstones[excess:]
	}
	r.tombstones = len(tombstones)
	if endedHolds > 0 {
		r.log(LogEntry{Text: "stopped holding drains and removals of another history", Endpoint: -1, Revision: r.revision,
			Count: endedHolds})
	}
	r.publish(false)
}
