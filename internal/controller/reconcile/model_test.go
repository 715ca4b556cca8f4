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

func (s *modelRegistry) put(key, value string, gone bool) {
	s.revision++
	s.log = append(s.log, KeyValue{Key: key, Value: []byte(value), ModRevision: s.revision, Deleted: gone})
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
	at   int64
	till Time
}

// model is a reconciler with a registry, and the list that it published.
type model struct {
	*rapid.T
	r       *Reconciler
	s       modelRegistry
	now     Time
	told    map[string]Member
	watch   *Watch // the current one
	sent    int64  // revision that the watch has delivered
	waiting []Event
	mute    bool // orders are not answered
	ends    map[string]bool
	firm    map[string]*expectedHold
	seen    modelRegistry // the registry before restores that the reconciler has not detected
	blind   bool          // the reconciler has not yet detected the restore
	fresh   bool          // the current registry has answered the current attempt
	till    Time          // end of the holds after a detected restore
}

func (w *model) step(events ...Event) {
	before := w.r.revision
	for _, o := range w.r.Step(w.now, events) {
		switch o := o.(type) {
		case PublishList:
			w.hear(o, before)
		case Watch:
			if !w.mute {
				w.watch, w.sent = &o, o.AfterRevision
				if !w.r.config.WatchSendsChanges {
					w.flow(1)
					continue
				}
				w.waiting = append(w.waiting, WatchOpened{Attempt: o.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
			}
		case ReadPage, Check:
			if !w.mute {
				w.waiting = append(w.waiting, w.s.answer(o))
			}
		case RequestProgress:
			if !w.mute && w.watch != nil {
				w.flow(1 << 30)
				w.waiting = append(w.waiting, Progress{Attempt: o.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
			}
		case Cancel:
			w.watch = nil
		}
	}
	w.check()
}

func (w *model) hear(o PublishList, before int64) {
	if o.Complete {
		w.told = map[string]Member{}
	}
	for _, m := range o.Members {
		key := "p/" + m.ID
		was, there := w.told[key]
		if f := w.firm[key]; f != nil && m.Phase == Serving && w.s.last(key) <= f.at &&
			(w.blind && f.till == 0 || w.now < f.till) {
			w.Fatalf("%s, published as %+v, is undone by an older list at %v, before %v", key, was, w.now, f.till)
		}
		delete(w.firm, key)
		switch {
		case m.Phase == Deleted && !there:
			w.Fatalf("the removal of %s is published twice", key)
		case m.Phase == Deleted:
			delete(w.told, key)
			w.ends[key] = true
		case there && was == m:
			w.Fatalf("published twice: %+v", m)
		default:
			w.told[key] = m
			delete(w.ends, key)
		}
	}
	if o.Revision < before && !w.blind {
		w.Fatalf("published revision %d after %d", o.Revision, before)
	}
}

// check compares the published list with the registry at the reconciler's revision.
func (w *model) check() {
	if w.blind && w.r.phase == watching && (w.r.config.WatchSendsChanges || w.fresh) {
		w.blind, w.till = false, w.now+w.r.config.HistoryHold
		for _, f := range w.firm {
			if f.till == 0 {
				f.till = w.till
			}
		}
	}
	if !w.r.hasList || w.blind {
		return
	}
	if len(w.r.unpublished) > 0 {
		w.Fatal("changes are not published")
	}
	want := w.s.readable(w.r.revision)
	for _, key := range keysOf(want, w.told) {
		m, listed := want[key]
		got, told := w.told[key]
		if m.Phase == Unreadable || listed == told && m == got {
			continue
		}
		drain := told && got.Phase == Draining && listed && m.Phase == Serving
		end := !told && listed && w.ends[key]
		if w.now < w.till && (drain || end) {
			continue
		}
		w.Fatalf("%s at revision %d: published %+v (%v), the registry has %+v (%v)", key, w.r.revision, got, told, m, listed)
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

// flow delivers up to n changes of the current watch, or its compaction.
func (w *model) flow(n int) {
	if w.watch == nil {
		return
	}
	if !w.r.config.WatchSendsChanges {
		w.waiting = append(w.waiting, Progress{Attempt: w.watch.Attempt, ClusterID: w.s.id, Revision: w.s.revision})
		return
	}
	if w.sent+1 < w.s.compacted {
		w.waiting = append(w.waiting, Compacted{Attempt: w.watch.Attempt, OldestRevision: w.s.compacted})
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
		w.waiting = append(w.waiting, e)
	}
}

func (w *model) deliver() {
	events := w.waiting
	w.waiting = nil
	for _, e := range events {
		switch e := e.(type) {
		case Progress:
			w.fresh = w.fresh || e.Attempt == w.r.attempt && w.r.phase == watching
		case Page:
			w.fresh = w.fresh || e.Attempt == w.r.attempt && w.r.phase == reading
		}
	}
	w.step(events...)
}

func newModel(t *rapid.T, changes bool) *model {
	plan := DefaultConfig()
	plan.Seed, plan.Prefix, plan.PageSize, plan.Endpoints = "m", "p", 3, 3
	plan.WatchSendsChanges, plan.SupportsCheck = changes, changes
	plan.MaxValueSize, plan.HistoryHold = 1000, 5*time.Second
	return &model{T: t, r: New(plan), s: modelRegistry{id: 7}, told: map[string]Member{}, ends: map[string]bool{},
		firm: map[string]*expectedHold{}}
}

// With any sequence of changes, failures, silences, compactions, repetitions and restores, the published list is that
// of the registry and each change is published once. Drains and removals are held against an older list. After the
// faults end, the list is current.
func TestModel(t *testing.T) {
	t.Run("changes", func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { history(t, true) }) })
	t.Run("index", func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { history(t, false) }) })
}

// history runs a random sequence against a registry whose watch delivers either changes or only an index.
func history(t *rapid.T, changes bool) {
	w := newModel(t, changes)
	keys := []string{"p/a", "p/b", "p/c", "p/d", "p/e", "p/f", "p/g"}
	old, restored := []modelRegistry{}, 0
	var again []Event
	act := map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			if !changes && w.blind {
				return // the index may reach its former value, which cannot be detected
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			text := rapid.SampledFrom([]string{value(Serving, 1), value(Draining, 1), value(Serving, 2),
				value(Draining, 2), value(Deleted, 1), `{"locality":`}).Draw(t, "value")
			w.s.put(key, text, false)
		},
		"delete": func(t *rapid.T) {
			if !changes && w.blind {
				return
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			if _, ok := w.s.at(w.s.revision)[key]; ok {
				w.s.put(key, "", true)
			}
		},
		"flow":    func(t *rapid.T) { w.flow(rapid.IntRange(1, 4).Draw(t, "n")) },
		"deliver": func(*rapid.T) { again = slices.Clone(w.waiting); w.deliver() },
		"repeat":  func(*rapid.T) { w.step(again...) },
		"half": func(t *rapid.T) {
			if n := len(w.waiting); n > 0 {
				w.waiting = w.waiting[:rapid.IntRange(0, n-1).Draw(t, "kept")]
			}
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: ConnectionLost, Err: errors.New("cut")})
		},
		"refuse": func(*rapid.T) {
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: InvalidToken, Err: errors.New("expired")})
		},
		"mute":  func(*rapid.T) { w.mute, w.waiting, w.watch = true, nil, nil },
		"speak": func(*rapid.T) { w.mute = false },
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
			if len(old) == 0 || !changes && w.blind {
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
			if !w.blind {
				w.seen = w.s
			}
			other := w.seen.id != s.id || s.revision < w.r.revision ||
				!reflect.DeepEqual(s.at(w.r.revision), w.seen.at(w.r.revision))
			if !changes { // a whole list only shows a difference of entries that are older than the revision
				other = s.revision < w.r.revision
				for key, c := range s.at(w.r.revision) {
					other = other || !reflect.DeepEqual(c, w.seen.at(w.r.revision)[key]) && s.last(key) == c.ModRevision
				}
			}
			maps.DeleteFunc(w.firm, func(_ string, f *expectedHold) bool { return f.till == 0 })
			for _, f := range w.firm {
				f.at = min(f.at, restoredAt)
			}
			for _, key := range keys {
				m, told := w.told[key]
				if other && w.firm[key] == nil && (told && m.Phase == Draining || !told && w.ends[key]) {
					w.firm[key] = &expectedHold{at: restoredAt}
				}
			}
			w.s, w.waiting, w.watch, w.blind, w.fresh = s, nil, nil, true, false
			w.step(AttemptFailed{Attempt: w.r.attempt, Reason: ConnectionLost, Err: errors.New("restored")})
		},
	}
	t.Repeat(act)
	// Without faults, the list is current after a backoff, a reload and an audit. All holds have ended by then.
	w.mute = false
	for end := w.now + 100*time.Second; w.now < end; {
		w.flow(100)
		w.deliver()
		w.now = max(w.now+time.Millisecond, min(w.r.NextDeadline(), w.now+time.Second))
		w.step()
	}
	w.till = 0 // 100 s exceed any hold
	if w.r.phase != watching || w.r.clusterID != w.s.id || w.r.revision != w.s.revision {
		t.Fatalf("phase %d, revision %d of %d", w.r.phase, w.r.revision, w.s.revision)
	}
	w.check()
}
