package reconcile

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "16", "rapid.checks": "600", "rapid.steps": "60",
		"rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// modelRegistry is a simple registry that keeps all changes of its current history.
type modelRegistry struct {
	id        uint64
	log       []KeyValue // one change per revision
	revision  int64
	compacted int64
}

func (s *modelRegistry) put(key, value string, deleted bool) {
	s.revision++
	s.log = append(s.log, KeyValue{Key: key, Value: []byte(value), ModRevision: s.revision, Deleted: deleted})
}

// at returns the list at a revision.
func (s *modelRegistry) at(revision int64) map[string]KeyValue {
	m := map[string]KeyValue{}
	for _, c := range s.log {
		if c.ModRevision > revision {
			break
		}
		if m[c.Key] = c; c.Deleted {
			delete(m, c.Key)
		}
	}
	return m
}

// last returns the revision of the last change of a key.
func (s *modelRegistry) last(key string) (at int64) {
	for _, c := range s.log {
		if c.Key == key {
			at = c.ModRevision
		}
	}
	return at
}

func (s *modelRegistry) answer(o Order) Event {
	switch o := o.(type) {
	case ReadPage:
		at := o.Revision
		if at == 0 {
			at = s.revision
		}
		if at < s.compacted {
			return Compacted{Attempt: o.Attempt, OldestRevision: s.compacted}
		}
		list := s.at(at)
		p := Page{Attempt: o.Attempt, ClusterID: s.id, Revision: at}
		for _, key := range slices.Sorted(maps.Keys(list)) {
			if key <= o.AfterKey {
				continue
			}
			if len(p.Entries) == o.Limit {
				p.More = true
				break
			}
			p.Entries = append(p.Entries, list[key])
		}
		return p
	case Check:
		if o.Revision < s.compacted {
			return Compacted{Attempt: o.Attempt, OldestRevision: s.compacted, ForCheck: true}
		}
		c := CheckResult{Attempt: o.Attempt, ClusterID: s.id, Revision: s.revision}
		for _, e := range s.at(o.Revision) {
			if c.Count++; e.ModRevision > c.Last.ModRevision {
				c.Last = e
			}
		}
		return c
	}
	return nil
}

func value(phase string, size int) string {
	return fmt.Sprintf(`{"locality":"a","flavor":"m","phase":%q,"size":%d}`, phase, size)
}

// readable returns the members at a revision. Keys with an invalid value are Unreadable.
func (s *modelRegistry) readable(revision int64) map[string]Member {
	m := map[string]Member{}
	for key, c := range s.at(revision) {
		if e, err := ParseValue("p", key, c.Value, 1000); err == nil && e.Phase != Deleted {
			m[key] = e
		} else if err != nil {
			m[key] = Member{Phase: Unreadable}
		}
	}
	return m
}

// expectedHold is a drain or a removal that was published before a restore. It must hold until a time, unless its key
// changes after a revision.
type expectedHold struct {
	revision int64
	until    Time
}

// model is a reconciler with a registry, and the list that it published.
type model struct {
	*rapid.T
	r                 *Reconciler
	s                 modelRegistry
	now               Time
	published         map[string]Member
	watch             *Watch // the current one
	sent              int64  // revision that the watch has delivered
	queued            []Event
	silent            bool // orders are not answered
	removed           map[string]bool
	holds             map[string]*expectedHold
	lastSeen          modelRegistry // the registry before restores that the reconciler has not detected
	restoreUndetected bool          // the reconciler has not yet detected the restore
	currentAnswered   bool          // the current registry has answered the current attempt
	holdsEnd          Time          // end of the holds after a detected restore
}

func (w *model) step(events ...Event) {
	before := w.r.revision
	for _, o := range w.r.Step(w.now, events) {
		switch o := o.(type) {
		case PublishList:
			w.onPublish(o, before)
		case Watch:
			if !w.silent {
				w.watch, w.sent = &o, o.AfterRevision
				if !w.r.config.WatchSendsChanges {
					w.deliverChanges(1)
					continue
				}
				w.queued = append(w.queued, WatchOpened{Attempt: o.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
			}
		case ReadPage, Check:
			if !w.silent {
				w.queued = append(w.queued, w.s.answer(o))
			}
		case RequestProgress:
			if !w.silent && w.watch != nil {
				w.deliverChanges(1 << 30)
				w.queued = append(w.queued, Progress{Attempt: o.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
			}
		case Cancel:
			w.watch = nil
		}
	}
	w.check()
}

func (w *model) onPublish(o PublishList, before int64) {
	if o.Complete {
		w.published = map[string]Member{}
	}
	for _, m := range o.Members {
		key := "p/" + m.ID
		was, there := w.published[key]
		if f := w.holds[key]; f != nil && m.Phase == Serving && w.s.last(key) <= f.revision &&
			(w.restoreUndetected && f.until == 0 || w.now < f.until) {
			w.Fatalf("%s, published as %+v, is undone by an older list at %v, before %v", key, was, w.now, f.until)
		}
		delete(w.holds, key)
		switch {
		case m.Phase == Deleted && !there:
			w.Fatalf("the removal of %s is published twice", key)
		case m.Phase == Deleted:
			delete(w.published, key)
			w.removed[key] = true
		case there && was == m:
			w.Fatalf("published twice: %+v", m)
		default:
			w.published[key] = m
			delete(w.removed, key)
		}
	}
	if o.Revision < before && !w.restoreUndetected {
		w.Fatalf("published revision %d after %d", o.Revision, before)
	}
}

// check compares the published list with the registry at the reconciler's revision.
func (w *model) check() {
	if w.restoreUndetected && w.r.phase == watching && (w.r.config.WatchSendsChanges || w.currentAnswered) {
		w.restoreUndetected, w.holdsEnd = false, w.now+w.r.config.RestoredListHold
		for _, f := range w.holds {
			if f.until == 0 {
				f.until = w.holdsEnd
			}
		}
	}
	if !w.r.hasList || w.restoreUndetected {
		return
	}
	if len(w.r.unpublished) > 0 {
		w.Fatal("changes are not published")
	}
	want := w.s.readable(w.r.revision)
	for _, key := range keysOf(want, w.published) {
		m, listed := want[key]
		got, isPublished := w.published[key]
		if m.Phase == Unreadable || listed == isPublished && m == got {
			continue
		}
		drain := isPublished && got.Phase == Draining && listed && m.Phase == Serving
		removal := !isPublished && listed && w.removed[key]
		if w.now < w.holdsEnd && (drain || removal) {
			continue
		}
		w.Fatalf("%s at revision %d: published %+v (%v), the registry has %+v (%v)",
			key, w.r.revision, got, isPublished, m, listed)
	}
}

func keysOf(ms ...map[string]Member) []string {
	all := map[string]bool{}
	for _, m := range ms {
		for k := range m {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// deliverChanges delivers up to n changes of the current watch, or its compaction.
func (w *model) deliverChanges(n int) {
	if w.watch == nil {
		return
	}
	if !w.r.config.WatchSendsChanges {
		w.queued = append(w.queued, Progress{Attempt: w.watch.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
		return
	}
	if w.sent+1 < w.s.compacted {
		w.queued = append(w.queued, Compacted{Attempt: w.watch.Attempt, OldestRevision: w.s.compacted})
		w.watch = nil
		return
	}
	e := Changes{Attempt: w.watch.Attempt, ClusterID: w.s.id}
	for _, c := range w.s.log {
		if c.ModRevision > w.sent && len(e.Entries) < n {
			e.Entries, w.sent = append(e.Entries, c), c.ModRevision
		}
	}
	if len(e.Entries) > 0 {
		w.queued = append(w.queued, e)
	}
}

func (w *model) deliver() {
	events := w.queued
	w.queued = nil
	for _, e := range events {
		switch e := e.(type) {
		case Progress:
			w.currentAnswered = w.currentAnswered || e.Attempt == w.r.attempt && w.r.phase == watching
		case Page:
			w.currentAnswered = w.currentAnswered || e.Attempt == w.r.attempt && w.r.phase == reading
		}
	}
	w.step(events...)
}

func newModel(t *rapid.T, changes bool) *model {
	plan := DefaultConfig()
	plan.Seed, plan.Prefix, plan.PageSize, plan.Endpoints = "m", "p", 3, 3
	plan.WatchSendsChanges, plan.SupportsCheck = changes, changes
	plan.MaxValueSize, plan.RestoredListHold = 1000, 5*time.Second
	return &model{T: t, r: New(plan), s: modelRegistry{id: 7}, published: map[string]Member{}, removed: map[string]bool{},
		holds: map[string]*expectedHold{}}
}

// With any sequence of changes, failures, silences, compactions, repetitions and restores, the published list is that
// of the registry and each change is published once. Drains and removals are held against an older list. After the
// faults end, the list is current.
func TestModel(t *testing.T) {
	t.Run("changes", func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { runHistory(t, true) }) })
	t.Run("index", func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { runHistory(t, false) }) })
}

// runHistory runs a random sequence against a registry whose watch delivers either changes or only an index.
func runHistory(t *rapid.T, changes bool) {
	w := newModel(t, changes)
	keys := []string{"p/a", "p/b", "p/c", "p/d", "p/e", "p/f", "p/g"}
	old, restored := []modelRegistry{}, 0
	var again []Event
	act := map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			if !changes && w.restoreUndetected {
				return // the index may reach its former value, which cannot be detected
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			text := rapid.SampledFrom([]string{value(Serving, 1), value(Draining, 1), value(Serving, 2),
				value(Draining, 2), value(Deleted, 1), `{"locality":`}).Draw(t, "value")
			w.s.put(key, text, false)
		},
		"delete": func(t *rapid.T) {
			if !changes && w.restoreUndetected {
				return
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			if _, ok := w.s.at(w.s.revision)[key]; ok {
				w.s.put(key, "", true)
			}
		},
		"flow":    func(t *rapid.T) { w.deliverChanges(rapid.IntRange(1, 4).Draw(t, "n")) },
		"deliver": func(*rapid.T) { again = slices.Clone(w.queued); w.deliver() },
		"repeat":  func(*rapid.T) { w.step(again...) },
		"half": func(t *rapid.T) {
			if n := len(w.queued); n > 0 {
				w.queued = w.queued[:rapid.IntRange(0, n-1).Draw(t, "kept")]
			}
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: ConnectionLost, Err: errors.New("cut")})
		},
		"refuse": func(*rapid.T) {
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: InvalidToken, Err: errors.New("expired")})
		},
		"mute":  func(*rapid.T) { w.silent, w.queued, w.watch = true, nil, nil },
		"speak": func(*rapid.T) { w.silent = false },
		"wait": func(t *rapid.T) {
			w.now += Time(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			w.step()
		},
		"due":    func(*rapid.T) { w.now = max(w.now, w.r.NextDeadline()); w.step() },
		"wanted": func(*rapid.T) { w.step(ReloadRequested{}) },
		"compact": func(*rapid.T) {
			if changes {
				w.s.compacted = w.s.revision
			}
		},
		"save": func(*rapid.T) {
			s := w.s
			s.log = slices.Clone(s.log)
			old = append(old, s)
		},
		"restore": func(t *rapid.T) {
			if len(old) == 0 || !changes && w.restoreUndetected {
				return
			}
			s := rapid.SampledFrom(old).Draw(t, "which")
			s.log = slices.Clone(s.log)
			s.id = w.s.id
			if rapid.Bool().Draw(t, "other id") && changes {
				s.id++
			}
			restoredAt := s.revision
			for range rapid.IntRange(0, 3).Draw(t, "on") { // the registry may pass the last known revision
				s.put(rapid.SampledFrom(keys).Draw(t, "key"), value(Serving, 100+restored), false)
				restored++
			}
			if !changes && s.revision == w.r.revision {
				s.put(keys[0], value(Serving, 100+restored), false)
				restored++
			}
			if !w.restoreUndetected {
				w.lastSeen = w.s
			}
			other := w.lastSeen.id != s.id || s.revision < w.r.revision ||
				!reflect.DeepEqual(s.at(w.r.revision), w.lastSeen.at(w.r.revision))
			if !changes { // a whole list only shows a difference of entries that are older than the revision
				other = s.revision < w.r.revision
				for key, c := range s.at(w.r.revision) {
					other = other || !reflect.DeepEqual(c, w.lastSeen.at(w.r.revision)[key]) && s.last(key) == c.ModRevision
				}
			}
			maps.DeleteFunc(w.holds, func(_ string, f *expectedHold) bool { return f.until == 0 })
			for _, f := range w.holds {
				f.revision = min(f.revision, restoredAt)
			}
			for _, key := range keys {
				m, isPublished := w.published[key]
				if other && w.holds[key] == nil && (isPublished && m.Phase == Draining || !isPublished && w.removed[key]) {
					w.holds[key] = &expectedHold{revision: restoredAt}
				}
			}
			w.s, w.queued, w.watch, w.restoreUndetected, w.currentAnswered = s, nil, nil, true, false
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: ConnectionLost, Err: errors.New("restored")})
		},
	}
	t.Repeat(act)
	// Without faults, the list is current after a backoff, a reload and an audit. All holds have ended by then.
	w.silent = false
	for end := w.now + 100*time.Second; w.now < end; {
		w.deliverChanges(100)
		w.deliver()
		w.now = max(w.now+time.Millisecond, min(w.r.NextDeadline(), w.now+time.Second))
		w.step()
	}
	w.holdsEnd = 0 // 100 s exceed any hold
	if w.r.phase != watching || w.r.clusterID != w.s.id || w.r.revision != w.s.revision {
		t.Fatalf("phase %d, revision %d of %d", w.r.phase, w.r.revision, w.s.revision)
	}
	w.check()
}
