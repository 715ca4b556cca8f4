package reconcile

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// harness drives a reconciler in virtual time.
type harness struct {
	*testing.T
	r   *Reconciler
	s   modelRegistry
	now Time
	out []Order // of the last step
}

func newHarness(t *testing.T, change func(*Config)) *harness {
	p := DefaultConfig()
	p.Seed, p.Prefix, p.WatchSendsChanges, p.SupportsCheck = "n1", "p", true, true
	p.PageSize, p.MaxPageSize, p.MaxValueSize = 2, 8, 400
	if change != nil {
		change(&p)
	}
	return &harness{T: t, r: New(p), s: modelRegistry{id: 7}}
}

func (b *harness) step(events ...Event) { b.out = b.r.Step(b.now, events) }

// advance goes on to the next moment at which something is advance.
func (b *harness) advance() {
	b.now = max(b.now, b.r.NextDeadline())
	b.step()
}

func find[T Order](b *harness) (all []T) {
	for _, o := range b.out {
		if o, ok := o.(T); ok {
			all = append(all, o)
		}
	}
	return all
}

func only[T Order](b *harness) T {
	b.Helper()
	all := find[T](b)
	if len(all) != 1 {
		b.Fatalf("%d orders of the kind wanted in %+v", len(all), b.out)
	}
	return all[0]
}

// readAllPages answers reads until the whole list is read.
func (b *harness) readAllPages() {
	b.Helper()
	for b.r.phase == reading {
		b.step(b.s.answer(only[ReadPage](b)))
	}
}

// connect reads the whole list and opens a watch.
func (b *harness) connect() Watch {
	b.Helper()
	for len(find[ReadPage](b)) == 0 {
		b.advance()
	}
	b.readAllPages()
	w := only[Watch](b)
	orders := b.out
	b.step(WatchOpened{Attempt: w.Attempt, ClusterID: b.s.id, Revision: b.s.revision})
	b.out = orders
	return w
}

func (b *harness) disconnect() {
	b.step(AttemptFailed{Attempt: b.r.attempt, Reason: ConnectionLost, Err: errors.New("reset")})
}

// reconnect waits for the check after a failure and answers it.
func (b *harness) reconnect() {
	b.Helper()
	for len(find[Check](b)) == 0 {
		b.advance()
	}
	b.step(b.s.answer(only[Check](b)))
}

func putEntry(key, phase string, size int, revision int64) KeyValue {
	return KeyValue{Key: key, Value: []byte(value(phase, size)), ModRevision: revision}
}

func deletedEntry(key string, revision int64) KeyValue {
	return KeyValue{Key: key, Deleted: true, ModRevision: revision}
}

func published(t PublishList) (all []string) {
	for _, m := range t.Members {
		all = append(all, m.ID+" "+m.Phase)
	}
	return all
}

// A silent watch is detected within 2 s by a progress request. Another endpoint continues after the last change.
func TestSilentWatchIsReplaced(t *testing.T) {
	b := newHarness(t, func(p *Config) { p.Endpoints = 3 })
	b.s.put("p/a", value(Serving, 1), false)
	w := b.connect()
	b.step(Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/a", Draining, 1, 2)}})
	b.s.put("p/a", value(Draining, 1), false)
	spoke := b.now
	b.advance()
	if only[RequestProgress](b).Attempt != w.Attempt || b.now > spoke+time.Second {
		t.Errorf("progress is requested after %v", b.now-spoke)
	}
	b.step(Progress{Attempt: w.Attempt, ClusterID: 7, Revision: 2})
	spoke = b.now
	for len(find[Cancel](b)) == 0 {
		b.advance()
	}
	if b.now-spoke > 2*time.Second || len(find[PublishFailure](b)) != 1 {
		t.Errorf("silence is detected after %v: %+v", b.now-spoke, b.out)
	}
	b.reconnect()
	again := only[Watch](b)
	if again.AfterRevision != 2 || again.Endpoint == w.Endpoint || again.Attempt == w.Attempt {
		t.Errorf("after silence %+v follows %+v", again, w)
	}
	// Events of the old attempt and repeated changes are ignored.
	b.step(Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{deletedEntry("p/a", 3)}},
		Changes{Attempt: again.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/a", Draining, 1, 2)}})
	if len(find[PublishList](b)) > 0 {
		t.Errorf("published %+v", b.out)
	}
}

// Part of a revision is published only with the rest of it, and dropped if the watch fails in between.
func TestPartialRevisionIsNotPublished(t *testing.T) {
	b := newHarness(t, nil)
	w := b.connect()
	half := Changes{
		Attempt:   w.Attempt,
		ClusterID: 7,
		Partial:   true,
		Entries:   []KeyValue{putEntry("p/a", Serving, 1, 1)},
	}
	rest := Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/b", Serving, 1, 1)}}
	if b.step(half); len(find[PublishList](b)) > 0 {
		t.Error("part of a revision is published")
	}
	b.disconnect()
	b.reconnect()
	half.Attempt, rest.Attempt = b.r.attempt, b.r.attempt
	if w := only[Watch](b); w.AfterRevision != 0 {
		t.Errorf("the watch continues after %d", w.AfterRevision)
	}
	b.step(half)
	b.step(rest)
	if got := published(only[PublishList](b)); !slices.Equal(got, []string{"a SERVING", "b SERVING"}) {
		t.Errorf("published %v", got)
	}
}

// If compaction interrupts reads, pages grow until a read completes. Only differences are published: changes in order,
// then removals.
func TestCompaction(t *testing.T) {
	b := newHarness(t, nil)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		b.s.put("p/"+id, value(Serving, 1), false)
	}
	b.connect()
	b.disconnect()
	b.s.put("p/d", value(Draining, 1), false)
	b.s.put("p/b", "", true)
	b.s.put("p/a", value(Draining, 1), false)
	b.s.compacted = b.s.revision
	b.reconnect()
	limits := []int{}
	for range 2 {
		for len(find[ReadPage](b)) == 0 {
			b.advance()
		}
		limits = append(limits, only[ReadPage](b).Limit)
		b.step(b.s.answer(only[ReadPage](b)))
		if next := only[ReadPage](b); next.Revision != b.s.revision || next.AfterKey == "" {
			t.Errorf("the next page is %+v", next)
		}
		b.s.put("p/e", value(Serving, 1), false) // an equal value is no change
		b.s.compacted = b.s.revision
		b.step(b.s.answer(only[ReadPage](b)))
	}
	for len(find[ReadPage](b)) == 0 {
		b.advance()
	}
	limits = append(limits, only[ReadPage](b).Limit)
	b.readAllPages()
	if got := published(
		only[PublishList](b),
	); !slices.Equal(got, []string{"d DRAINING", "a DRAINING", "b DELETED"}) ||
		only[PublishList](b).Complete {
		t.Errorf("published %v", got)
	}
	if !slices.Equal(limits, []int{2, 4, 8}) {
		t.Errorf("pages of %v", limits)
	}
}

// A drain and a removal during an outage are published within 2 s of its end, with any seed and with or without
// compaction.
func TestDrainDuringOutage(t *testing.T) {
	for seed := range 200 {
		for _, compacted := range []bool{false, true} {
			b := newHarness(t, func(p *Config) { p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", seed), 1+seed%3, 100 })
			b.s.put("p/a", value(Serving, 1), false)
			b.s.put("p/b", value(Serving, 1), false)
			b.connect()
			b.s.put("p/a", value(Draining, 1), false)
			b.s.put("p/b", "", true)
			if compacted {
				b.s.compacted = b.s.revision
			}
			for b.disconnect(); b.now < time.Minute; {
				if b.advance(); len(find[Check](b)) > 0 {
					b.disconnect()
				}
			}
			back := b.now
			for len(find[PublishList](b)) == 0 {
				b.advance()
				switch {
				case len(find[Check](b)) > 0:
					b.step(b.s.answer(only[Check](b)))
				case len(find[ReadPage](b)) > 0:
					b.step(b.s.answer(only[ReadPage](b)))
				}
				if len(find[Watch](b)) > 0 && len(find[PublishList](b)) == 0 {
					b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: b.s.log[2:]})
				}
			}
			got := published(only[PublishList](b))
			if b.now-back > 2*time.Second || !slices.Equal(got, []string{"a DRAINING", "b DELETED"}) {
				t.Fatalf("seed %d, compacted %v: published %v after %v", seed, compacted, got, b.now-back)
			}
		}
	}
}

// With a watch that delivers only an index, the first query after an outage returns at once, as the index may have
// decreased.
func TestDrainDuringOutageWithIndexOnly(t *testing.T) {
	for seed := range 200 {
		for _, back := range []int64{9, 3} {
			b := newHarness(t, func(p *Config) {
				p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", seed), 1+seed%3, 100
				p.WatchSendsChanges, p.SupportsCheck = false, false
			})
			for range 5 {
				b.s.put("p/a", value(Serving, 1), false)
			}
			b.connect()
			b.disconnect()
			for began := b.now; b.now < began+time.Minute; {
				if b.advance(); len(find[Watch](b)) > 0 {
					b.disconnect()
				}
			}
			there := b.now
			for len(find[Watch](b)) == 0 {
				b.advance()
			}
			if w := only[Watch](b); !w.Immediate {
				t.Fatalf("after an outage %+v", w)
			}
			b.step(Progress{Attempt: b.r.attempt, ClusterID: 7, Revision: back})
			for len(find[ReadPage](b)) == 0 {
				b.advance()
			}
			b.step(
				Page{
					Attempt:   b.r.attempt,
					ClusterID: 7,
					Revision:  back,
					Entries:   []KeyValue{putEntry("p/a", Draining, 1, back)},
				},
			)
			if got := published(
				only[PublishList](b),
			); b.now-there > 2*time.Second || !slices.Equal(got, []string{"a DRAINING"}) ||
				only[Watch](b).Immediate {
				t.Fatalf("seed %d: published %v after %v", seed, got, b.now-there)
			}
		}
	}
}

// A list of an older history does not undo a drain or a removal until the key changes or the hold ends. Backends that
// it lacks are removed.
func TestOlderHistoryIsHeld(t *testing.T) {
	for _, otherID := range []bool{false, true} {
		b := newHarness(t, nil)
		for _, id := range []string{"drained", "ended", "changes", "stays"} {
			b.s.put("p/"+id, value(Serving, 1), false)
		}
		old := modelRegistry{id: 7, log: slices.Clone(b.s.log), revision: b.s.revision}
		b.s.put("p/drained", value(Draining, 1), false)
		b.s.put("p/changes", value(Draining, 1), false)
		b.s.put("p/ended", "", true)
		b.s.put("p/new", value(Serving, 1), false)
		b.connect()
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/ended", Serving, 1, 9)}})
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{deletedEntry("p/ended", 10)}})
		if b.s = old; otherID {
			b.s.id = 8
		}
		b.disconnect()
		if got := find[PublishList](b); len(got) > 0 || b.r.liveCount != 4 {
			t.Fatalf("an outage publishes %+v", got)
		}
		b.reconnect()
		for len(find[ReadPage](b)) == 0 {
			if len(find[PublishList](b)) > 0 {
				t.Error("published before the whole list of the new history was read")
			}
			b.advance()
		}
		b.readAllPages()
		if got := published(only[PublishList](b)); !slices.Equal(got, []string{"new DELETED"}) {
			t.Errorf("the older list publishes %v", got)
		}
		began := b.now
		b.s.put("p/changes", value(Serving, 1), false)
		b.step(Changes{Attempt: b.r.attempt, ClusterID: b.s.id, Entries: b.s.log[4:]})
		if got := published(only[PublishList](b)); !slices.Equal(got, []string{"changes SERVING"}) {
			t.Errorf("a change in the new history publishes %v", got)
		}
		for b.out = nil; len(find[PublishList](b)) == 0 && b.now < time.Hour; {
			b.now += 100 * time.Millisecond
			b.step(Progress{Attempt: b.r.attempt, ClusterID: b.s.id, Revision: b.s.revision})
		}
		if got := published(only[PublishList](b)); b.now-began < 30*time.Second || b.now-began > 31*time.Second ||
			!slices.Equal(got, []string{"drained SERVING", "ended SERVING"}) {
			t.Errorf("after %v published %v", b.now-began, got)
		}
	}
}

// A check detects a restored registry whose revision is higher than the last known one. An unchanged registry is
// watched from the last revision.
func TestRestoredRegistryPassedTheRevision(t *testing.T) {
	b := newHarness(t, nil)
	b.s.put("p/a", value(Serving, 1), false)
	old := modelRegistry{id: 7, log: slices.Clone(b.s.log), revision: 1}
	b.s.put("p/a", value(Draining, 1), false)
	b.connect()
	b.disconnect()
	b.reconnect()
	if only[Watch](b).AfterRevision != 2 {
		t.Errorf("after a check of the same registry: %+v", b.out)
	}
	b.s = old
	b.s.put("p/b", value(Serving, 1), false)
	b.s.put("p/c", value(Serving, 1), false)
	b.disconnect()
	b.reconnect()
	for len(find[ReadPage](b)) == 0 {
		b.advance()
	}
	b.readAllPages()
	if got := published(only[PublishList](b)); !slices.Equal(got, []string{"b SERVING", "c SERVING"}) {
		t.Errorf("published %v, but must keep the drain", got)
	}
}

// An audit detects a change that the watch lost. An audit of a compacted revision has no effect.
func TestAudit(t *testing.T) {
	b := newHarness(t, nil)
	b.s.put("p/a", value(Serving, 1), false)
	w := b.connect()
	b.s.put("p/a", value(Draining, 1), false) // the watch reports only progress
	for len(find[Check](b)) == 0 {
		b.now += 500 * time.Millisecond
		b.step(Progress{Attempt: w.Attempt, ClusterID: 7, Revision: 2})
	}
	if b.now > 61*time.Second {
		t.Errorf("checked after %v", b.now)
	}
	b.step(Compacted{Attempt: w.Attempt, ForCheck: true})
	if b.r.phase != watching {
		t.Error("a compacted audit ended the watch")
	}
	for len(find[Check](b)) == 0 {
		b.now += 500 * time.Millisecond
		b.step(Progress{Attempt: w.Attempt, ClusterID: 7, Revision: 2})
	}
	b.step(b.s.answer(only[Check](b)))
	for len(find[ReadPage](b)) == 0 {
		b.advance()
	}
	b.readAllPages()
	if got := published(only[PublishList](b)); !slices.Equal(got, []string{"a DRAINING"}) {
		t.Errorf("published %v", got)
	}
}

// A lower index with an unchanged list publishes nothing and holds nothing.
func TestIndexDecreases(t *testing.T) {
	b := newHarness(t, func(p *Config) { p.WatchSendsChanges, p.SupportsCheck, p.PageSize = false, false, 100 })
	b.s.put("p/a", value(Serving, 1), false)
	b.s.put("p/b", value(Serving, 1), false)
	b.s.put("p/b", "", true)
	b.connect()
	entries := []KeyValue{b.s.log[0]}
	b.step(Progress{Attempt: b.r.attempt, Revision: 1})
	for len(find[ReadPage](b)) == 0 {
		b.advance()
	}
	b.step(Page{Attempt: b.r.attempt, ClusterID: 7, Revision: 1, Entries: entries})
	if notes := find[LogEntry](b); len(find[PublishList](b)) > 0 || len(notes) > 0 || only[Watch](b).AfterRevision != 1 {
		t.Errorf("orders %+v", b.out)
	}
}

// The removal of more than a fraction of the backends at once is logged, and all removals are published.
func TestShrinkIsLogged(t *testing.T) {
	for n, want := range map[int]int{4: 0, 6: 1} {
		b := newHarness(t, func(p *Config) { p.PageSize = 100 })
		for i := range 10 {
			b.s.put(fmt.Sprint("p/", i), value(Serving, 1), false)
		}
		b.connect()
		var gone []KeyValue
		for i := range n {
			gone = append(gone, deletedEntry(fmt.Sprint("p/", i), 11))
		}
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: gone})
		notes := find[LogEntry](b)
		if len(only[PublishList](b).Members) != n || len(notes) != want ||
			want > 0 && !strings.Contains(notes[0].Reason, "6 of 10") {
			t.Errorf("%d of 10 removed: %+v", n, b.out)
		}
	}
}

// The reloads of 200 controllers after an outage are spread over time and endpoints, and a change still arrives within
// 2 s. A client that reads the whole list every second serves for comparison.
func TestReloadsAreSpread(t *testing.T) {
	const controllers = 200
	benches := make([]*harness, controllers)
	orders := map[string]int{}
	for i := range benches {
		benches[i] = newHarness(t, func(p *Config) { p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", i), 3, 100 })
		benches[i].s.put("p/a", value(Serving, 1), false)
		benches[i].connect()
		orders[fmt.Sprint(benches[i].r.endpointOrder)]++
	}
	if len(orders) != 6 {
		t.Errorf("%d orders of three endpoints", len(orders))
	}
	const down, step = 20 * time.Second, 10 * time.Millisecond
	reads, calls := map[Time]int{}, map[Time]int{} // by tenth of a second
	latest := Time(0)
	began := benches[0].now
	for i, b := range benches {
		b.now = began
		b.disconnect()
		b.s.put("p/a", value(Draining, 1), false)
		b.s.compacted = b.s.revision
		publishedAt := Time(0)
		for b.now < began+down+10*time.Second && publishedAt == 0 {
			b.now += step
			b.step()
			for busy := true; busy && publishedAt == 0; {
				busy = false
				var answer Event
				switch {
				case len(find[Check](b)) > 0:
					answer = b.s.answer(only[Check](b))
				case len(find[ReadPage](b)) > 0:
					answer = b.s.answer(only[ReadPage](b))
					reads[(b.now-began)/(100*time.Millisecond)]++
				}
				if len(find[PublishList](b)) > 0 {
					publishedAt = b.now
				}
				if answer != nil && b.now < began+down {
					calls[(b.now-began)/(100*time.Millisecond)]++
					b.disconnect()
				} else if answer != nil {
					calls[(b.now-began)/(100*time.Millisecond)]++
					b.step(answer)
					busy = true
				}
			}
		}
		if publishedAt == 0 {
			t.Fatalf("controller %d published nothing", i)
		}
		latest = max(latest, publishedAt-began-down)
	}
	most, waiting := 0, 0
	for at, n := range reads {
		most = max(most, n)
		if at < down/(100*time.Millisecond) {
			t.Errorf("%d whole reads during the outage", n)
		}
	}
	for at, n := range calls {
		if at >= 50 && at < 200 { // the backoff is at its maximum, and the outage lasts
			waiting += n
		}
	}
	// The naive client reads the whole list every second, with a random phase.
	ours, naive := map[int]int{}, map[int]int{} // whole reads by second after the outage
	for at, n := range reads {
		ours[int((at-down/(100*time.Millisecond))/10)] += n
	}
	for i := range controllers {
		for at := Time(random("naive", uint64(i)) * float64(time.Second)); at < 10*time.Second; at += time.Second {
			naive[int(at/time.Second)]++
		}
	}
	t.Logf("whole reads by second after the outage: %v, of the naive client %v", ours, naive)
	if sum := ours[0] + ours[1]; sum != controllers || len(ours) > 2 || naive[9] != controllers {
		t.Errorf("whole reads by second %v, naive %v", ours, naive)
	}
	perSecond := float64(waiting) / 15 / controllers
	t.Logf(
		"whole reads in a tenth of a second: %d at most of %d; %.2f calls a second each during the outage; published %v "+
			"after it",
		most,
		controllers,
		perSecond,
		latest,
	)
	if most > controllers/4 || perSecond > 2 || latest > 2*time.Second {
		t.Errorf("%d whole reads in a tenth of a second, %.2f calls a second each; published after %v",
			most, perSecond, latest)
	}
}

// An invalid entry is logged once and affects no other entry. Its published state stays.
func TestInvalidValues(t *testing.T) {
	long := strings.Repeat("x", 500)
	b := newHarness(t, func(p *Config) { p.PageSize = 100 })
	bad := map[string]string{
		"p/nojson":  `{"phase":`,
		"p/list":    `[1]`,
		"p/long":    `{"locality":"` + long + `"}`,
		"p/deep/er": value(Serving, 1),
		"p/alias":   `{"id":"good","locality":"a","phase":"SERVING"}`,
		"p/phase":   `{"locality":"a","phase":"UP"}`,
		"p/nozone":  `{"phase":"SERVING"}`,
		"p/size":    `{"locality":"a","phase":"SERVING","size":-1}`,
		"p/a b":     value(Serving, 1),
		"p/text":    `{"locality":7,"phase":"SERVING"}`,
		"p/":        value(Serving, 1),
	}
	b.s.put("p/good", value(Serving, 2), false)
	b.s.put("p/turns", value(Draining, 1), false)
	for key, text := range bad {
		b.s.put(key, text, false)
	}
	b.connect()
	if got := published(only[PublishList](b)); !slices.Equal(got, []string{"good SERVING", "turns DRAINING"}) {
		t.Errorf("published %v", got)
	}
	keys := map[string]bool{}
	for _, n := range find[LogEntry](b) {
		if keys[n.Key] = true; n.Reason == "" || bad[n.Key] == "" {
			t.Errorf("log line %+v", n)
		}
	}
	if len(keys) != len(bad) || len(find[LogEntry](b)) != len(bad) {
		t.Errorf("%d lines about %d of %d bad entries", len(find[LogEntry](b)), len(keys), len(bad))
	}
	// A value that becomes invalid leaves the backend as published. A key outside the prefix is logged.
	w := b.r.attempt
	b.step(
		Changes{Attempt: w, ClusterID: 7, Entries: []KeyValue{
			{Key: "p/turns", Value: []byte("{"), ModRevision: 50},
			{Key: "q/x", Value: []byte("{}"), ModRevision: 51},
			putEntry("p/good", Draining, 2, 52),
			putEntry("p/good", Serving, 2, 53),
			putEntry("p/good", Draining, 2, 54),
		}},
	)
	if got := published(
		only[PublishList](b),
	); !slices.Equal(got, []string{"good DRAINING", "good SERVING", "good DRAINING"}) ||
		len(find[LogEntry](b)) != 2 {
		t.Errorf("published %v, %+v", got, b.out)
	}
	b.step(Changes{Attempt: w, ClusterID: 7, Entries: []KeyValue{putEntry("p/turns", Serving, 1, 60)}})
	if got := published(only[PublishList](b)); !slices.Equal(got, []string{"turns SERVING"}) {
		t.Errorf("published %v", got)
	}
	// The number of log lines is bounded.
	var many []KeyValue
	for i := range 1000 {
		many = append(many, KeyValue{Key: fmt.Sprint("p/m", i), Value: []byte("-"), ModRevision: 61})
	}
	b.step(Changes{Attempt: w, ClusterID: 7, Entries: many})
	if notes := find[LogEntry](b); len(notes) != maxInvalidEntryLogs+1 || notes[maxInvalidEntryLogs].Count != 980 {
		t.Errorf("%d lines", len(notes))
	}
}

// A rejection is logged once with its reason and retried with a growing, bounded backoff. The list stays.
func TestRejectionBackoff(t *testing.T) {
	b := newHarness(t, func(p *Config) { p.Endpoints = 2 })
	b.s.put("p/a", value(Serving, 1), false)
	b.connect()
	notes, pauses := []string{}, []Time{}
	refuse := func(why FailureReason) {
		b.step(AttemptFailed{Attempt: b.r.attempt, Reason: why, Err: errors.New("no")})
		for _, n := range find[LogEntry](b) {
			notes = append(notes, n.Reason)
		}
		pauses = append(pauses, b.r.NextDeadline()-b.now)
		for len(find[Check](b)) == 0 {
			b.advance()
		}
	}
	for range 14 {
		refuse(BadCredentials)
	}
	refuse(CertificateRejected)
	if !slices.Equal(notes, []string{"password: no", "certificate: no"}) {
		t.Errorf("lines %v", notes)
	}
	if last := pauses[13]; last < 15*time.Second || last > 30*time.Second || pauses[0] > 100*time.Millisecond ||
		!slices.IsSortedFunc([]Time{pauses[1], pauses[4], pauses[7], pauses[10]}, func(a, b Time) int { return int(a - b) }) {
		t.Errorf("pauses %v", pauses)
	}
	if b.r.liveCount != 1 {
		t.Error("the list changed")
	}
	b.step(b.s.answer(only[Check](b)))
	if n := only[LogEntry](b); n.Warn || n.Text != "registry is available again" {
		t.Errorf("note %+v", n)
	}
}

// Pages that are too large are requested again at half the size. Inconsistent pages end the attempt.
func TestPages(t *testing.T) {
	b := newHarness(t, func(p *Config) { p.PageSize, p.MaxKeys = 4, 3 })
	b.advance()
	limits := []int{}
	for range 3 {
		limits = append(limits, only[ReadPage](b).Limit)
		b.step(PageTooLarge{Attempt: b.r.attempt})
		for len(find[ReadPage](b)) == 0 && b.r.phase == waiting {
			b.advance()
		}
	}
	if !slices.Equal(limits, []int{4, 2, 1}) || len(find[Cancel](b)) > 0 {
		t.Errorf("pages of %v", limits)
	}
	for _, p := range [][]Page{
		{{Revision: 5, Entries: []KeyValue{{Key: "p/a", ModRevision: 1}}, More: true}, {Revision: 6}},
		{{Revision: 5, Entries: []KeyValue{{Key: "p/a", ModRevision: 1}}, More: true}, {Revision: 5, ClusterID: 3}},
		{{Revision: 5, More: true}},
		{{Revision: 5, Entries: make([]KeyValue, 4)}},
	} {
		for len(find[ReadPage](b)) == 0 {
			b.advance()
		}
		for _, page := range p {
			page.Attempt = b.r.attempt
			b.step(page)
		}
		if len(find[Cancel](b)) != 1 || b.r.hasList {
			t.Errorf("pages %+v gave %+v", p, b.out)
		}
	}
}

// Tombstones expire by age, and the oldest ones if there are too many.
func TestTombstonesExpire(t *testing.T) {
	b := newHarness(t, func(p *Config) { p.MaxTombstones, p.TombstoneRetention, p.AuditInterval = 100, time.Minute, 0 })
	b.connect()
	for i := range 5000 {
		key := fmt.Sprint("p/", i)
		b.now += 10 * time.Millisecond
		b.step(
			Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{putEntry(key, Serving, 1, int64(2*i+1)),
				deletedEntry(key, int64(2*i+2))}},
		)
		if n := len(b.r.entries); n > 101 {
			t.Fatalf("%d entries after %d removals", n, i)
		}
	}
	for range 200 {
		b.now += 500 * time.Millisecond
		b.step(Progress{Attempt: b.r.attempt, ClusterID: 7, Revision: 10000})
	}
	if n := len(b.r.entries); n != 0 {
		t.Errorf("%d entries after a minute", n)
	}
}

// The same seed and the same events give the same orders.
func TestReplay(t *testing.T) {
	play := func() (all []Order) {
		b := newHarness(t, func(p *Config) { p.Endpoints = 4 })
		b.s.put("p/a", value(Serving, 1), false)
		b.connect()
		for range 30 {
			b.disconnect()
			all = append(all, b.out...)
			b.advance()
			all = append(all, b.out...)
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
