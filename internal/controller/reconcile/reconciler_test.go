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

// bench drives a Roster by hand in virtual time.
type bench struct {
	*testing.T
	r   *Reconciler
	s   store
	now Time
	out []Order // of the last step
}

func newBench(t *testing.T, change func(*Config)) *bench {
	p := DefaultConfig()
	p.Seed, p.Prefix, p.WatchSendsChanges, p.SupportsCheck = "n1", "p", true, true
	p.PageSize, p.MaxPageSize, p.MaxValueSize = 2, 8, 400
	if change != nil {
		change(&p)
	}
	return &bench{T: t, r: New(p), s: store{id: 7}}
}

func (b *bench) step(events ...Event) { b.out = b.r.Step(b.now, events) }

// due goes on to the next moment at which something is due.
func (b *bench) due() {
	b.now = max(b.now, b.r.NextDeadline())
	b.step()
}

func find[T Order](b *bench) (all []T) {
	for _, o := range b.out {
		if o, ok := o.(T); ok {
			all = append(all, o)
		}
	}
	return all
}

func one[T Order](b *bench) T {
	b.Helper()
	all := find[T](b)
	if len(all) != 1 {
		b.Fatalf("%d orders of the kind wanted in %+v", len(all), b.out)
	}
	return all[0]
}

// read answers pages until the whole list is there.
func (b *bench) read() {
	b.Helper()
	for b.r.phase == reading {
		b.step(b.s.answer(one[ReadPage](b)))
	}
}

// up brings it to a watch that is open.
func (b *bench) up() Watch {
	b.Helper()
	for len(find[ReadPage](b)) == 0 {
		b.due()
	}
	b.read()
	w := one[Watch](b)
	told := b.out
	b.step(WatchOpened{Attempt: w.Attempt, ClusterID: b.s.id, Revision: b.s.revision})
	b.out = told
	return w
}

func (b *bench) lost() {
	b.step(AttemptFailed{Attempt: b.r.attempt, Reason: ConnectionLost, Err: errors.New("reset")})
}

// back goes through the pause and the check after a break.
func (b *bench) back() {
	b.Helper()
	for len(find[Check](b)) == 0 {
		b.due()
	}
	b.step(b.s.answer(one[Check](b)))
}

func putEntry(key, phase string, size int, revision int64) KeyValue {
	return KeyValue{Key: key, Value: []byte(value(phase, size)), ModRevision: revision}
}

func deletedEntry(key string, revision int64) KeyValue {
	return KeyValue{Key: key, Deleted: true, ModRevision: revision}
}

func told(t PublishList) (all []string) {
	for _, m := range t.Members {
		all = append(all, m.ID+" "+m.Phase)
	}
	return all
}

// Silence with the connection open is noticed within 2 s by asking for progress, and the watch goes on after
// the last change told, at another endpoint.
func TestCase1Silence(t *testing.T) {
	b := newBench(t, func(p *Config) { p.Endpoints = 3 })
	b.s.put("p/a", value(Serving, 1), false)
	w := b.up()
	b.step(Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/a", Draining, 1, 2)}})
	b.s.put("p/a", value(Draining, 1), false)
	spoke := b.now
	b.due()
	if one[RequestProgress](b).Attempt != w.Attempt || b.now > spoke+time.Second {
		t.Errorf("progress is asked for after %v", b.now-spoke)
	}
	b.step(Progress{Attempt: w.Attempt, ClusterID: 7, Revision: 2})
	spoke = b.now
	for len(find[Cancel](b)) == 0 {
		b.due()
	}
	if b.now-spoke > 2*time.Second || len(find[PublishFailure](b)) != 1 {
		t.Errorf("silence is noticed after %v: %+v", b.now-spoke, b.out)
	}
	b.back()
	again := one[Watch](b)
	if again.AfterRevision != 2 || again.Endpoint == w.Endpoint || again.Attempt == w.Attempt {
		t.Errorf("after silence %+v follows %+v", again, w)
	}
	// What the old try still says is nobody's, and what comes twice is told once.
	b.step(Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{deletedEntry("p/a", 3)}},
		Changes{Attempt: again.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/a", Draining, 1, 2)}})
	if len(find[PublishList](b)) > 0 {
		t.Errorf("told %+v", b.out)
	}
}

// A part of a revision is not told before the rest has come, and not at all when a break comes between.
func TestCase1HalfARevision(t *testing.T) {
	b := newBench(t, nil)
	w := b.up()
	half := Changes{
		Attempt:   w.Attempt,
		ClusterID: 7,
		Partial:   true,
		Entries:   []KeyValue{putEntry("p/a", Serving, 1, 1)},
	}
	rest := Changes{Attempt: w.Attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/b", Serving, 1, 1)}}
	if b.step(half); len(find[PublishList](b)) > 0 {
		t.Error("half a revision is told")
	}
	b.lost()
	b.back()
	half.Attempt, rest.Attempt = b.r.attempt, b.r.attempt
	if w := one[Watch](b); w.AfterRevision != 0 {
		t.Errorf("goes on after %d", w.AfterRevision)
	}
	b.step(half)
	b.step(rest)
	if got := told(one[PublishList](b)); !slices.Equal(got, []string{"a SERVING", "b SERVING"}) {
		t.Errorf("told %v", got)
	}
}

// The revision held is compacted, and again while the whole list is read: pages grow until it gets through, and
// the differences alone are told: changed ones in order, then who left.
func TestCase2Compaction(t *testing.T) {
	b := newBench(t, nil)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		b.s.put("p/"+id, value(Serving, 1), false)
	}
	b.up()
	b.lost()
	b.s.put("p/d", value(Draining, 1), false)
	b.s.put("p/b", "", true)
	b.s.put("p/a", value(Draining, 1), false)
	b.s.compacted = b.s.revision
	b.back()
	limits := []int{}
	for range 2 {
		for len(find[ReadPage](b)) == 0 {
			b.due()
		}
		limits = append(limits, one[ReadPage](b).Limit)
		b.step(b.s.answer(one[ReadPage](b)))
		if next := one[ReadPage](b); next.Revision != b.s.revision || next.AfterKey == "" {
			t.Errorf("the next page is %+v", next)
		}
		b.s.put("p/e", value(Serving, 1), false) // as it is: no change
		b.s.compacted = b.s.revision
		b.step(b.s.answer(one[ReadPage](b)))
	}
	for len(find[ReadPage](b)) == 0 {
		b.due()
	}
	limits = append(limits, one[ReadPage](b).Limit)
	b.read()
	if got := told(
		one[PublishList](b),
	); !slices.Equal(got, []string{"d DRAINING", "a DRAINING", "b DELETED"}) ||
		one[PublishList](b).Complete {
		t.Errorf("told %v", got)
	}
	if !slices.Equal(limits, []int{2, 4, 8}) {
		t.Errorf("pages of %v", limits)
	}
}

// What became draining, or was deleted, during a break is told within 2 s of the registry being there again,
// whatever chance draws, for each way back.
func TestCase3DrainDuringABreak(t *testing.T) {
	for seed := range 200 {
		for _, compacted := range []bool{false, true} {
			b := newBench(t, func(p *Config) { p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", seed), 1+seed%3, 100 })
			b.s.put("p/a", value(Serving, 1), false)
			b.s.put("p/b", value(Serving, 1), false)
			b.up()
			b.s.put("p/a", value(Draining, 1), false)
			b.s.put("p/b", "", true)
			if compacted {
				b.s.compacted = b.s.revision
			}
			for b.lost(); b.now < time.Minute; {
				if b.due(); len(find[Check](b)) > 0 {
					b.lost()
				}
			}
			back := b.now
			for len(find[PublishList](b)) == 0 {
				b.due()
				switch {
				case len(find[Check](b)) > 0:
					b.step(b.s.answer(one[Check](b)))
				case len(find[ReadPage](b)) > 0:
					b.step(b.s.answer(one[ReadPage](b)))
				}
				if len(find[Watch](b)) > 0 && len(find[PublishList](b)) == 0 {
					b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: b.s.log[2:]})
				}
			}
			got := told(one[PublishList](b))
			if b.now-back > 2*time.Second || !slices.Equal(got, []string{"a DRAINING", "b DELETED"}) {
				t.Fatalf("seed %d, compacted %v: told %v after %v", seed, compacted, got, b.now-back)
			}
		}
	}
}

// The same where only an index is told: after a break it is asked for without waiting, as one that went back
// would not come.
func TestCase3DrainDuringABreakByIndex(t *testing.T) {
	for seed := range 200 {
		for _, back := range []int64{9, 3} {
			b := newBench(t, func(p *Config) {
				p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", seed), 1+seed%3, 100
				p.WatchSendsChanges, p.SupportsCheck = false, false
			})
			for range 5 {
				b.s.put("p/a", value(Serving, 1), false)
			}
			b.up()
			b.lost()
			for began := b.now; b.now < began+time.Minute; {
				if b.due(); len(find[Watch](b)) > 0 {
					b.lost()
				}
			}
			there := b.now
			for len(find[Watch](b)) == 0 {
				b.due()
			}
			if w := one[Watch](b); !w.Immediate {
				t.Fatalf("after a break %+v", w)
			}
			b.step(Progress{Attempt: b.r.attempt, ClusterID: 7, Revision: back})
			for len(find[ReadPage](b)) == 0 {
				b.due()
			}
			b.step(
				Page{
					Attempt:   b.r.attempt,
					ClusterID: 7,
					Revision:  back,
					Entries:   []KeyValue{putEntry("p/a", Draining, 1, back)},
				},
			)
			if got := told(
				one[PublishList](b),
			); b.now-there > 2*time.Second || !slices.Equal(got, []string{"a DRAINING"}) ||
				one[Watch](b).Immediate {
				t.Fatalf("seed %d: told %v after %v", seed, got, b.now-there)
			}
		}
	}
}

// An older list undoes no drain and no end until the entry changes in the new history or the hold is over;
// who it lacks is told as gone.
func TestCase4OlderHistory(t *testing.T) {
	for _, otherID := range []bool{false, true} {
		b := newBench(t, nil)
		for _, id := range []string{"drained", "ended", "changes", "stays"} {
			b.s.put("p/"+id, value(Serving, 1), false)
		}
		old := store{id: 7, log: slices.Clone(b.s.log), revision: b.s.revision}
		b.s.put("p/drained", value(Draining, 1), false)
		b.s.put("p/changes", value(Draining, 1), false)
		b.s.put("p/ended", "", true)
		b.s.put("p/new", value(Serving, 1), false)
		b.up()
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{putEntry("p/ended", Serving, 1, 9)}})
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{deletedEntry("p/ended", 10)}})
		if b.s = old; otherID {
			b.s.id = 8
		}
		b.lost()
		if got := find[PublishList](b); len(got) > 0 || b.r.liveCount != 4 {
			t.Fatalf("a break tells %+v", got)
		}
		b.back()
		for len(find[ReadPage](b)) == 0 {
			if len(find[PublishList](b)) > 0 {
				t.Error("told before the whole list of the new history was there")
			}
			b.due()
		}
		b.read()
		if got := told(one[PublishList](b)); !slices.Equal(got, []string{"new DELETED"}) {
			t.Errorf("the older list tells %v", got)
		}
		began := b.now
		b.s.put("p/changes", value(Serving, 1), false)
		b.step(Changes{Attempt: b.r.attempt, ClusterID: b.s.id, Entries: b.s.log[4:]})
		if got := told(one[PublishList](b)); !slices.Equal(got, []string{"changes SERVING"}) {
			t.Errorf("a change in the new history tells %v", got)
		}
		for b.out = nil; len(find[PublishList](b)) == 0 && b.now < time.Hour; {
			b.now += 100 * time.Millisecond
			b.step(Progress{Attempt: b.r.attempt, ClusterID: b.s.id, Revision: b.s.revision})
		}
		if got := told(one[PublishList](b)); b.now-began < 30*time.Second || b.now-began > 31*time.Second ||
			!slices.Equal(got, []string{"drained SERVING", "ended SERVING"}) {
			t.Errorf("after %v told %v", b.now-began, got)
		}
	}
}

// A registry that was restored and has passed the revision held shows it by what it remembers of that revision;
// one that answers as before is checked no further.
func TestCase4PassedTheRevisionHeld(t *testing.T) {
	b := newBench(t, nil)
	b.s.put("p/a", value(Serving, 1), false)
	old := store{id: 7, log: slices.Clone(b.s.log), revision: 1}
	b.s.put("p/a", value(Draining, 1), false)
	b.up()
	b.lost()
	b.back()
	if one[Watch](b).AfterRevision != 2 {
		t.Errorf("the same registry is followed by %+v", b.out)
	}
	b.s = old
	b.s.put("p/b", value(Serving, 1), false)
	b.s.put("p/c", value(Serving, 1), false)
	b.lost()
	b.back()
	for len(find[ReadPage](b)) == 0 {
		b.due()
	}
	b.read()
	if got := told(one[PublishList](b)); !slices.Equal(got, []string{"b SERVING", "c SERVING"}) {
		t.Errorf("told %v, and the drain must stand", got)
	}
}

// An audit meets a change that a watch lost; a compacted one asks for nothing.
func TestAudit(t *testing.T) {
	b := newBench(t, nil)
	b.s.put("p/a", value(Serving, 1), false)
	w := b.up()
	b.s.put("p/a", value(Draining, 1), false) // the watch says only that it went on
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
	b.step(b.s.answer(one[Check](b)))
	for len(find[ReadPage](b)) == 0 {
		b.due()
	}
	b.read()
	if got := told(one[PublishList](b)); !slices.Equal(got, []string{"a DRAINING"}) {
		t.Errorf("told %v", got)
	}
}

// An index that goes back with the list unchanged is another's cleaning up: nothing is held or told.
func TestIndexGoesBack(t *testing.T) {
	b := newBench(t, func(p *Config) { p.WatchSendsChanges, p.SupportsCheck, p.PageSize = false, false, 100 })
	b.s.put("p/a", value(Serving, 1), false)
	b.s.put("p/b", value(Serving, 1), false)
	b.s.put("p/b", "", true)
	b.up()
	entries := []KeyValue{b.s.log[0]}
	b.step(Progress{Attempt: b.r.attempt, Revision: 1})
	for len(find[ReadPage](b)) == 0 {
		b.due()
	}
	b.step(Page{Attempt: b.r.attempt, ClusterID: 7, Revision: 1, Entries: entries})
	if notes := find[LogEntry](b); len(find[PublishList](b)) > 0 || len(notes) > 0 || one[Watch](b).AfterRevision != 1 {
		t.Errorf("orders %+v", b.out)
	}
}

// The list shrinks at once by more than a part: people are told, and all ends are told in their order.
func TestCase5Shrunk(t *testing.T) {
	for n, want := range map[int]int{4: 0, 6: 1} {
		b := newBench(t, func(p *Config) { p.PageSize = 100 })
		for i := range 10 {
			b.s.put(fmt.Sprint("p/", i), value(Serving, 1), false)
		}
		b.up()
		var gone []KeyValue
		for i := range n {
			gone = append(gone, deletedEntry(fmt.Sprint("p/", i), 11))
		}
		b.step(Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: gone})
		notes := find[LogEntry](b)
		if len(one[PublishList](b).Members) != n || len(notes) != want ||
			want > 0 && !strings.Contains(notes[0].Reason, "6 of 10") {
			t.Errorf("%d of 10 gone: %+v", n, b.out)
		}
	}
}

// 200 controllers that lose one registry ask again spread over the time, each in its own order, and a change
// told meanwhile still arrives in time. The count a second is held against one that reads all each second.
func TestCase6Herd(t *testing.T) {
	const controllers = 200
	benches := make([]*bench, controllers)
	orders := map[string]int{}
	for i := range benches {
		benches[i] = newBench(t, func(p *Config) { p.Seed, p.Endpoints, p.PageSize = fmt.Sprint("n", i), 3, 100 })
		benches[i].s.put("p/a", value(Serving, 1), false)
		benches[i].up()
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
		b.lost()
		b.s.put("p/a", value(Draining, 1), false)
		b.s.compacted = b.s.revision
		toldAt := Time(0)
		for b.now < began+down+10*time.Second && toldAt == 0 {
			b.now += step
			b.step()
			for busy := true; busy && toldAt == 0; {
				busy = false
				var answer Event
				switch {
				case len(find[Check](b)) > 0:
					answer = b.s.answer(one[Check](b))
				case len(find[ReadPage](b)) > 0:
					answer = b.s.answer(one[ReadPage](b))
					reads[(b.now-began)/(100*time.Millisecond)]++
				}
				if len(find[PublishList](b)) > 0 {
					toldAt = b.now
				}
				if answer != nil && b.now < began+down {
					calls[(b.now-began)/(100*time.Millisecond)]++
					b.lost()
				} else if answer != nil {
					calls[(b.now-began)/(100*time.Millisecond)]++
					b.step(answer)
					busy = true
				}
			}
		}
		if toldAt == 0 {
			t.Fatalf("controller %d was never told", i)
		}
		latest = max(latest, toldAt-began-down)
	}
	most, waiting := 0, 0
	for at, n := range reads {
		most = max(most, n)
		if at < down/(100*time.Millisecond) {
			t.Errorf("%d whole reads before it was back", n)
		}
	}
	for at, n := range calls {
		if at >= 50 && at < 200 { // the pauses have grown, and it is not back
			waiting += n
		}
	}
	// The naive client reads all each second, by a clock of its own, whether there is anything new or not.
	ours, naive := map[int]int{}, map[int]int{} // whole reads by second after it is back
	for at, n := range reads {
		ours[int((at-down/(100*time.Millisecond))/10)] += n
	}
	for i := range controllers {
		for at := Time(random("naive", uint64(i)) * float64(time.Second)); at < 10*time.Second; at += time.Second {
			naive[int(at/time.Second)]++
		}
	}
	t.Logf("whole reads by second after it is back: %v, of the naive client %v", ours, naive)
	if sum := ours[0] + ours[1]; sum != controllers || len(ours) > 2 || naive[9] != controllers {
		t.Errorf("whole reads by second %v, naive %v", ours, naive)
	}
	perSecond := float64(waiting) / 15 / controllers
	t.Logf(
		"whole reads in a tenth of a second: %d at most of %d; %.2f calls a second each while it is away; told %v "+
			"after it was back",
		most,
		controllers,
		perSecond,
		latest,
	)
	if most > controllers/4 || perSecond > 2 || latest > 2*time.Second {
		t.Errorf("%d whole reads in a tenth of a second, %.2f calls a second each; told after %v", most, perSecond, latest)
	}
}

// One entry's fault costs that entry and one line; what was told of it stays.
func TestCase7BadValues(t *testing.T) {
	long := strings.Repeat("x", 500)
	b := newBench(t, func(p *Config) { p.PageSize = 100 })
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
	b.up()
	if got := told(one[PublishList](b)); !slices.Equal(got, []string{"good SERVING", "turns DRAINING"}) {
		t.Errorf("told %v", got)
	}
	keys := map[string]bool{}
	for _, n := range find[LogEntry](b) {
		if keys[n.Key] = true; n.Reason == "" || bad[n.Key] == "" {
			t.Errorf("note %+v", n)
		}
	}
	if len(keys) != len(bad) || len(find[LogEntry](b)) != len(bad) {
		t.Errorf("%d lines about %d of %d bad entries", len(find[LogEntry](b)), len(keys), len(bad))
	}
	// A value that turns bad leaves the backend as it was told; a key outside the prefix costs a line.
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
	if got := told(
		one[PublishList](b),
	); !slices.Equal(got, []string{"good DRAINING", "good SERVING", "good DRAINING"}) ||
		len(find[LogEntry](b)) != 2 {
		t.Errorf("told %v, %+v", got, b.out)
	}
	b.step(Changes{Attempt: w, ClusterID: 7, Entries: []KeyValue{putEntry("p/turns", Serving, 1, 60)}})
	if got := told(one[PublishList](b)); !slices.Equal(got, []string{"turns SERVING"}) {
		t.Errorf("told %v", got)
	}
	// However many are bad, the lines are bounded.
	var many []KeyValue
	for i := range 1000 {
		many = append(many, KeyValue{Key: fmt.Sprint("p/m", i), Value: []byte("-"), ModRevision: 61})
	}
	b.step(Changes{Attempt: w, ClusterID: 7, Entries: many})
	if notes := find[LogEntry](b); len(notes) != maxInvalidEntryLogs+1 || notes[maxInvalidEntryLogs].Count != 980 {
		t.Errorf("%d lines", len(notes))
	}
}

// A refusal is told once with its kind, and tried again with pauses that grow to their limit; the list stays.
func TestCase8Refused(t *testing.T) {
	b := newBench(t, func(p *Config) { p.Endpoints = 2 })
	b.s.put("p/a", value(Serving, 1), false)
	b.up()
	notes, pauses := []string{}, []Time{}
	refuse := func(why FailureReason) {
		b.step(AttemptFailed{Attempt: b.r.attempt, Reason: why, Err: errors.New("no")})
		for _, n := range find[LogEntry](b) {
			notes = append(notes, n.Reason)
		}
		pauses = append(pauses, b.r.NextDeadline()-b.now)
		for len(find[Check](b)) == 0 {
			b.due()
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
		t.Error("the list did not stay")
	}
	b.step(b.s.answer(one[Check](b)))
	if n := one[LogEntry](b); n.Warn || n.Text != "registry is available again" {
		t.Errorf("note %+v", n)
	}
}

// Pages that do not fit are asked for smaller, to one entry; answers that make no list break the try.
func TestPages(t *testing.T) {
	b := newBench(t, func(p *Config) { p.PageSize, p.MaxKeys = 4, 3 })
	b.due()
	limits := []int{}
	for range 3 {
		limits = append(limits, one[ReadPage](b).Limit)
		b.step(PageTooLarge{Attempt: b.r.attempt})
		for len(find[ReadPage](b)) == 0 && b.r.phase == waiting {
			b.due()
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
			b.due()
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

// Ends are given back: by age, and the oldest where there are too many.
func TestEndsAreGivenBack(t *testing.T) {
	b := newBench(t, func(p *Config) { p.MaxTombstones, p.TombstoneRetention, p.AuditInterval = 100, time.Minute, 0 })
	b.up()
	for i := range 5000 {
		key := fmt.Sprint("p/", i)
		b.now += 10 * time.Millisecond
		b.step(
			Changes{Attempt: b.r.attempt, ClusterID: 7, Entries: []KeyValue{putEntry(key, Serving, 1, int64(2*i+1)),
				deletedEntry(key, int64(2*i+2))}},
		)
		if n := len(b.r.entries); n > 101 {
			t.Fatalf("%d entries are kept after %d ends", n, i)
		}
	}
	for range 200 {
		b.now += 500 * time.Millisecond
		b.step(Progress{Attempt: b.r.attempt, ClusterID: 7, Revision: 10000})
	}
	if n := len(b.r.entries); n != 0 {
		t.Errorf("%d entries are kept after a minute", n)
	}
}

// The same seed and the same events give the same orders.
func TestReplay(t *testing.T) {
	play := func() (all []Order) {
		b := newBench(t, func(p *Config) { p.Endpoints = 4 })
		b.s.put("p/a", value(Serving, 1), false)
		b.up()
		for range 30 {
			b.lost()
			all = append(all, b.out...)
			b.due()
			all = append(all, b.out...)
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
