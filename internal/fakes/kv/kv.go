// Package kv is what the stand-ins for etcd and Consul keep: keys with every change by revision, compaction and
// snapshots that can be restored as older ones.
package kv

import (
	"maps"
	"slices"
	"sync"
)

// Entry is a key as a change left it.
type Entry struct {
	Key                  string
	Value                []byte
	Mod, Create, Version int64
	Gone                 bool
	Lease                int64
}

// Snapshot is a Store as it was.
type Snapshot struct {
	log       []Entry
	revision  int64
	compacted int64
}

// Store is safe for use from several goroutines.
type Store struct {
	mu        sync.Mutex
	id        uint64
	log       []Entry            // in the order of revisions
	byKey     map[string][]Entry // each in that order
	revision  int64
	compacted int64
	changed   chan struct{} // closed with the next change, restore or compaction
	epoch     int           // counts restores
}

// New makes an empty Store of a cluster.
func New(id uint64) *Store {
	return &Store{id: id, byKey: map[string][]Entry{}, changed: make(chan struct{})}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Change is a part of a Txn: a put, or a deletion where Gone is set.
type Change struct {
	Key   string
	Value []byte
	Gone  bool
	Lease int64
}

// Txn makes changes at one revision. Deletions of what is not there change nothing.
func (s *Store) Txn(changes ...Change) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.revision + 1
	made := false
	for _, c := range changes {
		was, there := s.last(c.Key)
		if c.Gone && !there {
			continue
		}
		e := Entry{Key: c.Key, Value: c.Value, Mod: next, Create: next, Version: 1, Gone: c.Gone, Lease: c.Lease}
		if there && !c.Gone {
			e.Create, e.Version = was.Create, was.Version+1
		}
		s.log, s.byKey[c.Key], made = append(s.log, e), append(s.byKey[c.Key], e), true
	}
	if !made {
		return s.revision
	}
	s.revision = next
	s.wake()
	return next
}

// Put sets a key.
func (s *Store) Put(key, value string) int64 { return s.Txn(Change{Key: key, Value: []byte(value)}) }

// Delete deletes a key.
func (s *Store) Delete(key string) int64 { return s.Txn(Change{Key: key, Gone: true}) }

// last is a key as it is now.
func (s *Store) last(key string) (Entry, bool) {
	all := s.byKey[key]
	if len(all) == 0 || all[len(all)-1].Gone {
		return Entry{}, false
	}
	return all[len(all)-1], true
}

// Compact forgets what was before a revision; the newest where it is 0.
func (s *Store) Compact(revision int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = s.revision
	}
	s.compacted = max(s.compacted, min(revision, s.revision))
	s.wake()
	return s.compacted
}

// Save takes a snapshot.
func (s *Store) Save() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{slices.Clone(s.log), s.revision, s.compacted}
}

// Restore puts a snapshot in the place of all, as the cluster id.
func (s *Store) Restore(snap Snapshot, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.revision, s.compacted, s.id = slices.Clone(snap.log), snap.revision, snap.compacted, id
	s.byKey = map[string][]Entry{}
	for _, e := range s.log {
		s.byKey[e.Key] = append(s.byKey[e.Key], e)
	}
	s.epoch++
	s.wake()
}

// State is who numbers the revisions, the newest, the least that is held, how often it was restored, and a
// channel that is closed with the next change of any of them.
func (s *Store) State() (id uint64, revision, compacted int64, epoch int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.revision, s.compacted, s.epoch, s.changed
}

// Range gives the keys from one on and before another at a revision, in their order: at most limit of them
// where that is above 0, and how many there are.
func (s *Store) Range(from, to string, revision int64, limit int) (entries []Entry, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		if key < from || key >= to {
			continue
		}
		all := s.byKey[key]
		n := len(all)
		for n > 0 && all[n-1].Mod > revision {
			n--
		}
		if n == 0 || all[n-1].Gone {
			continue
		}
		if count++; limit <= 0 || len(entries) < limit {
			entries = append(entries, all[n-1])
		}
	}
	return entries, count
}

// Since gives the changes after a revision of keys from one on and before another.
func (s *Store) Since(from, to string, revision int64) (entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, _ := slices.BinarySearchFunc(s.log, revision+1, func(e Entry, r int64) int { return int(e.Mod - r) })
	for _, e := range s.log[at:] {
		if e.Key >= from && e.Key < to {
			entries = append(entries, e)
		}
	}
	return entries
}

// Last is the revision, up to one, of the newest change among the keys from one on and before another, deletions
// too.
func (s *Store) Last(from, to string, revision int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.log) - 1; i >= 0; i-- {
		if e := s.log[i]; e.Mod <= revision && e.Key >= from && e.Key < to {
			return e.Mod
		}
	}
	return 0
}
