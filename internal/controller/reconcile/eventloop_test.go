package reconcile_test

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// proxy is the stream of a proxy that applies the messages it receives.
type proxy struct {
	lines map[string]string
	out   map[string]bool
}

func (p *proxy) Sequence() uint64  { return 1 }
func (p *proxy) SetPeer(string)    {}
func (p *proxy) CloseReplaced()    {}
func (p *proxy) CloseRefused()     {}
func (p *proxy) RecordFault(error) {}

func (p *proxy) Send(message []byte) {
	for part := range strings.Lines(string(message)) {
		words := map[string]string{}
		for _, w := range strings.Fields(part)[1:] {
			name, value, _ := strings.Cut(w, "=")
			words[name] = value
		}
		if words["whole"] == "1" {
			clear(p.lines)
		}
		for _, l := range strings.FieldsFunc(words["lines"], func(c rune) bool { return c == ',' }) {
			id, weight, _ := strings.Cut(l, ":")
			if p.lines[id] = weight; weight == "0" {
				delete(p.lines, id)
			}
		}
		for _, id := range strings.FieldsFunc(words["out"], func(c rune) bool { return c == ',' }) {
			p.out[id] = true
		}
		for _, id := range strings.FieldsFunc(words["back"], func(c rune) bool { return c == ',' }) {
			delete(p.out, id)
		}
	}
}

// usable returns the backends that the proxy may select.
func (p *proxy) usable() (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(p.lines)) {
		if !p.out[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

type noLists struct{}

func (noLists) Follow(bool) {}
func (noLists) Reload()     {}

// harness connects a reconciler, an event loop with the real policy and one proxy in virtual time.
type harness struct {
	*testing.T
	r   *reconcile.Reconciler
	d   *eventloop.Loop
	p   *proxy
	now time.Duration
	try int
	out []reconcile.Order
}

func newHarness(t *testing.T, honorRemovals bool) *harness {
	plan := reconcile.DefaultConfig()
	plan.Seed, plan.Prefix, plan.WatchSendsChanges = "n1", "p", true
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{
		T:   t,
		r:   reconcile.New(plan),
		p:   &proxy{lines: map[string]string{}, out: map[string]bool{}},
		now: time.Hour,
	}
	h.d = eventloop.New(
		policy.Deployment{
			Products:        []policy.Product{{Revenue: 1, SLA: 8000}},
			Zones:           1,
			Proxies:         1,
			HonorRemovals:   honorRemovals,
			WarmupTime:      policy.Second,
			WarmupCapacity:  0.5,
			WarmupOverload:  3,
			MinConns:        5000,
			LinesPerSecond:  3000,
			MaxQueuedLines:  3000,
			MessageOverhead: 6,
			MessageWindow:   10 * policy.Second,
		},
		flatsettings.Names{
			Products: []string{"look"},
			Zones:    []string{"a"},
			Kinds:    []string{"m"},
		},
		noLists{},
		logrus.NewEntry(log),
	)
	h.d.Handle(eventloop.Command{From: h.p, Message: textproto.Subscribe{Proxy: 0, Zone: "a", Rate: 10, Fresh: true}})
	return h
}

// step runs a step of the reconciler, then one of the event loop.
func (h *harness) step(events ...reconcile.Event) {
	h.out = h.r.Step(h.now, events)
	for _, o := range h.out {
		switch o := o.(type) {
		case reconcile.PublishList:
			h.d.Handle(eventloop.Command{Message: o.List})
		case reconcile.ReadPage:
			h.try = o.Attempt
		case reconcile.Watch:
			h.try = o.Attempt
		}
	}
	h.d.Step(policy.Time(h.now / (100 * time.Microsecond)))
}

// pass advances the time while the source reports progress.
func (h *harness) pass(span time.Duration, history uint64, revision int64) {
	for end := h.now + span; h.now < end; {
		h.now += 100 * time.Millisecond
		h.step(reconcile.Progress{Attempt: h.try, ClusterID: history, Revision: revision})
	}
}

func entry(id, phase string, mod int64) reconcile.KeyValue {
	return reconcile.KeyValue{
		Key:         "p/" + id,
		ModRevision: mod,
		Value:       fmt.Appendf(nil, `{"locality":"a","flavor":"m","phase":%q}`, phase),
	}
}

func ids(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf("s-%02d", i))
	}
	return all
}

// begin reads a list of n backends, of which the first drains and the others serve.
func (h *harness) begin(n int) {
	entries := []reconcile.KeyValue{entry("s-00", reconcile.Draining, 50)}
	for i, id := range ids(1, n) {
		entries = append(entries, entry(id, reconcile.Serving, int64(i+1)))
	}
	h.step()
	h.step(reconcile.Page{Attempt: h.try, ClusterID: 7, Revision: 50, Entries: entries})
	h.pass(5*time.Second, 7, 50)
	if got := h.p.usable(); !slices.Equal(got, ids(1, n)) {
		h.Fatalf("the proxy selects from %v", got)
	}
}

// A list from a restored registry does not undo a drain. Backends that it lacks leave the tables only if removals are
// honored.
func TestOlderListAtProxy(t *testing.T) {
	for _, honorRemovals := range []bool{false, true} {
		h := newHarness(t, honorRemovals)
		h.begin(8)
		h.step(reconcile.AttemptFailed{Attempt: h.try, Reason: reconcile.ConnectionLost, Err: errors.New("reset")})
		for before := h.try; h.try == before; h.now += 10 * time.Millisecond {
			h.step()
		}
		if got := h.p.usable(); !slices.Equal(got, ids(1, 8)) {
			t.Errorf("after a failure the proxy selects from %v", got)
		}
		h.step(reconcile.WatchOpened{Attempt: h.try, ClusterID: 9, Revision: 6})
		for before := h.try; h.try == before; h.now += 10 * time.Millisecond {
			h.step()
		}
		older := []reconcile.KeyValue{entry("s-00", reconcile.Serving, 1)}
		for i, id := range ids(1, 6) {
			older = append(older, entry(id, reconcile.Serving, int64(i+1)))
		}
		h.step(reconcile.Page{Attempt: h.try, ClusterID: 9, Revision: 6, Entries: older})
		h.pass(2*time.Second, 9, 6)
		want := ids(1, 8)
		if honorRemovals {
			want = ids(1, 6)
		}
		if got := h.p.usable(); !slices.Equal(got, want) || !h.p.out["s-00"] && h.p.lines["s-00"] != "" {
			t.Errorf("removals honored %v: 2 s after the older list %v, want %v", honorRemovals, got, want)
		}
		h.pass(26*time.Second, 9, 6)
		if slices.Contains(h.p.usable(), "s-00") {
			t.Errorf("the drain is undone during the hold")
		}
		h.pass(10*time.Second, 9, 6)
		if !slices.Contains(h.p.usable(), "s-00") {
			t.Errorf("after the hold the proxy selects from %v", h.p.usable())
		}
	}
}

// Backends of a registry that was emptied by mistake stay in the tables unless removals are honored. In that case they
// return with the list.
func TestEmptiedListAtProxy(t *testing.T) {
	for _, honorRemovals := range []bool{false, true} {
		h := newHarness(t, honorRemovals)
		h.begin(11)
		var gone, back []reconcile.KeyValue
		for i, id := range ids(1, 10) {
			gone = append(gone, reconcile.KeyValue{Key: "p/" + id, Deleted: true, ModRevision: 51})
			back = append(back, entry(id, reconcile.Serving, int64(60+i)))
		}
		h.step(reconcile.Changes{Attempt: h.try, ClusterID: 7, Entries: gone})
		h.pass(2*time.Second, 7, 51)
		want := ids(1, 11)
		if honorRemovals {
			want = ids(10, 11)
		}
		if got := h.p.usable(); !slices.Equal(got, want) {
			t.Errorf("removals honored %v: with the emptied list the proxy selects from %v, want %v", honorRemovals, got, want)
		}
		h.step(reconcile.Changes{Attempt: h.try, ClusterID: 7, Entries: back})
		h.pass(10*time.Second, 7, 70)
		if got := h.p.usable(); !slices.Equal(got, ids(1, 11)) {
			t.Errorf("removals honored %v: with the full list the proxy selects from %v", honorRemovals, got)
		}
	}
}
