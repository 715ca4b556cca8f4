package pubsub_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/client"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/reconcile"
	sockets "elmfold/internal/controller/server"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/fakes/link"
	"elmfold/internal/policy"
)

var names = flatsettings.Names{Products: []string{"look", "pay"}, Zones: []string{"a", "b"}, Kinds: []string{"s"}}

type nobody struct{}

func (nobody) Follow(bool) {}
func (nobody) Reload()     {}

// house is a desk that runs, with a hub before it; it counts what the desk is told.
type house struct {
	t     *testing.T
	hub   *pubsub.Hub
	lists chan eventloop.Command
	queue chan eventloop.Command
	mu    sync.Mutex
	told  map[string]int
}

func silent() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func open(t *testing.T, plan pubsub.Config, backends ...string) *house {
	t.Helper()
	h := &house{
		t:     t,
		lists: make(chan eventloop.Command, 10),
		queue: make(chan eventloop.Command, 1000),
		told:  map[string]int{},
	}
	d := eventloop.New(
		policy.Deployment{
			Products:        []policy.Product{{Revenue: 1, SLA: 8000}, {Revenue: 3, SLA: 8000, OnlyZones: []int{0}}},
			Zones:           2,
			Proxies:         4,
			HonorRemovals:   true,
			WarmupTime:      10 * policy.Second,
			WarmupCapacity:  0.3,
			WarmupOverload:  3,
			LinesPerSecond:  3000,
			MaxQueuedLines:  6000,
			MessageOverhead: 6,
			MessageWindow:   10 * policy.Second,
			FirstTick:       200,
		},
		names,
		nobody{},
		silent(),
	)
	l := reconcile.List{Revision: 1, Complete: true}
	for _, id := range backends {
		l.Members = append(l.Members, member(id))
	}
	d.SetCachedList(l)
	began := time.Now()
	go d.Run(h.queue, h.lists, time.Millisecond, func() policy.Time {
		return 1000*policy.Second + policy.Time(time.Since(began)*time.Duration(policy.Second)/time.Second)
	})
	hear := func(n eventloop.Command) {
		h.mu.Lock()
		h.told[fmt.Sprintf("%T", n.Message)]++
		h.mu.Unlock()
		h.queue <- n
	}
	if plan.Listen = "127.0.0.1:0"; plan.Linger == 0 {
		plan.Linger = time.Hour
	}
	if plan.MaxObservers == 0 {
		plan.MaxObservers = 4
	}
	var err error
	if h.hub, err = pubsub.Listen(plan, 4, names, hear, silent()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.hub.Close)
	return h
}

func member(id string) reconcile.Member {
	return reconcile.Member{ID: id, Zone: "a", Kind: "s", Phase: reconcile.Serving, Weight: 1}
}

func (h *house) times(of any) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.told[fmt.Sprintf("%T", of)]
}

func (h *house) drain(id string) {
	m := member(id)
	m.Phase = reconcile.Draining
	h.lists <- eventloop.Command{Message: reconcile.List{Revision: 2, Members: []reconcile.Member{m}}}
}

// follower is a client whose copy can be waited on.
type follower struct {
	t       *testing.T
	stop    context.CancelFunc
	done    chan error
	changed chan map[string]session.Value
	ups     chan *client.Publisher
	downs   chan error
	mu      sync.Mutex
	seen    map[string]int // messages that took effect, by epoch and number
}

func follow(t *testing.T, o client.Options) *follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &follower{t: t, stop: stop, done: make(chan error, 1), changed: make(chan map[string]session.Value, 10000),
		ups: make(chan *client.Publisher, 10000), downs: make(chan error, 10000), seen: map[string]int{}}
	o.OnChange = func(c *session.Replica, _ []string) {
		f.mu.Lock()
		f.seen[fmt.Sprint(c.Epoch, " ", c.Seq)]++
		f.mu.Unlock()
		f.changed <- maps.Clone(c.State)
	}
	o.OnConnect = func(p *client.Publisher) { f.ups <- p }
	o.OnDisconnect = func(err error) { f.downs <- err }
	if o.MinBackoff == 0 {
		o.MinBackoff = time.Millisecond
	}
	go func() { f.done <- client.Run(ctx, o) }()
	t.Cleanup(func() { stop() })
	return f
}

// until waits for a copy in which something holds.
func (f *follower) until(what string, holds func(out map[string]bool, tables map[string]*pubsub.RoutingTable) bool) {
	f.t.Helper()
	over := time.After(time.Minute)
	for {
		select {
		case state := <-f.changed:
			if holds(pubsub.RoutingTables(state)) {
				return
			}
		case <-over:
			f.t.Fatalf("%s: not within a minute", what)
		}
	}
}

func (f *follower) once() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for m, n := range f.seen {
		if n != 1 {
			f.t.Errorf("message %s took effect %d times", m, n)
		}
	}
}

func hello(proxy int) pubsub.Hello {
	return pubsub.Hello{Topic: fmt.Sprint(pubsub.OrdersTopicPrefix, proxy), Owner: true, Zone: "a", Rate: 5}
}

// full says whether a proxy holds lines to these backends for both products, and levels.
func full(ids ...string) func(map[string]bool, map[string]*pubsub.RoutingTable) bool {
	return func(_ map[string]bool, tables map[string]*pubsub.RoutingTable) bool {
		for _, k := range names.Products {
			if tables[k] == nil || len(tables[k].Weights) != len(ids) || tables[k].RateLimit < 0 {
				return false
			}
			for _, id := range ids {
				if tables[k].Weights[id] <= 0 {
					return false
				}
			}
		}
		return true
	}
}

// A proxy on the channel gets its tables, is told of a drain, and its reports reach the desk as those of its own; the
// marks of the desk are answered by what took effect.
func TestServe(t *testing.T) {
	h := open(t, pubsub.Config{}, "s-0", "s-1", "s-2")
	f := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: hello(1)})
	f.until("tables", full("s-0", "s-1", "s-2"))
	p := <-f.ups
	if err := p.ReportUsage(pubsub.UsageReport{Product: "look", Txns: 9, Millis: 1000}); err != nil {
		t.Fatal(err)
	}
	h.drain("s-1")
	f.until("a drain", func(out map[string]bool, _ map[string]*pubsub.RoutingTable) bool { return out["s-1"] })
	for deadline := time.Now().Add(time.Minute); h.times(textproto.Ack{}) == 0 ||
		h.times(textproto.UsageReport{}) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the desk was told %v", h.told)
		}
	}
	if n := h.times(textproto.Subscribe{}); n != 1 {
		t.Errorf("joined %d times", n)
	}
	f.once()
}

// Case 1 on sockets: the link cuts each connection after a few bytes more than the one before, through handshake,
// snapshot and changes. What was half taken is not half applied, nothing takes effect twice, and all this is one
// joining.
func TestCase1CutAtEachByte(t *testing.T) {
	h := open(t, pubsub.Config{}, "s-0", "s-1", "s-2", "s-3")
	l, err := link.New(h.hub.Addr(), func(n int) link.Script {
		s := link.Calm
		s.Down = link.Disturbance{After: int64(n) * 7, Kind: link.Break}
		s.Split = 11
		return s
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := follow(t, client.Options{Addresses: []string{l.Addr()}, Hello: hello(2), Credit: 2})
	f.until("tables", full("s-0", "s-1", "s-2", "s-3"))
	h.drain("s-3")
	f.until("a drain", func(out map[string]bool, _ map[string]*pubsub.RoutingTable) bool { return out["s-3"] })
	f.once()
	if n := h.times(textproto.Subscribe{}); n != 1 || l.Taken() < 20 || h.times(textproto.Closed{}) != 0 {
		t.Errorf("joined %d times over %d connections", n, l.Taken())
	}
}

// Case 2 on sockets: the controller ends, another one takes over with numbers of its own; and a client that starts
// again goes on after what it kept.
func TestCase2AnotherHub(t *testing.T) {
	keep := client.FileStorage(filepath.Join(t.TempDir(), "copy"))
	one, two := open(t, pubsub.Config{}, "s-0", "s-1"), open(t, pubsub.Config{}, "s-0", "s-1", "s-2")
	o := client.Options{Addresses: []string{one.hub.Addr(), two.hub.Addr()}, Hello: hello(0), Storage: keep}
	f := follow(t, o)
	f.until("tables", full("s-0", "s-1"))
	one.hub.Close()
	f.until("tables of the other", full("s-0", "s-1", "s-2"))
	f.stop()
	if err := <-f.done; err != nil {
		t.Fatal(err)
	}
	before, err := keep.Load()
	if err != nil || !full("s-0", "s-1", "s-2")(pubsub.RoutingTables(before.State)) {
		t.Fatalf("kept %+v, %v", before, err)
	}
	o.Addresses = o.Addresses[1:]
	f = follow(t, o)
	<-f.ups
	two.drain("s-2")
	f.until("a drain", func(out map[string]bool, _ map[string]*pubsub.RoutingTable) bool { return out["s-2"] })
	f.once()
	after, _ := keep.Load()
	if after.Epoch != before.Epoch || after.Applied-before.Applied > 3 || two.times(textproto.Subscribe{}) != 1 {
		t.Errorf(
			"it went on from %d to %d effects, joined %d times",
			before.Applied,
			after.Applied,
			two.times(textproto.Subscribe{}),
		)
	}
}

// line is a platform stream.
type line struct{ since uint64 }

func (l line) Sequence() uint64 { return l.since }
func (line) Send([]byte)        {}
func (line) SetPeer(string)     {}
func (line) CloseReplaced()     {}
func (line) CloseRefused()      {}
func (line) RecordFault(error)  {}

// Case 5 on sockets: a newer connection of the same proxy goes on where the older one was; a platform stream that comes
// later takes the proxy over, and the channel lets it go with a code.
func TestCase5TwoSessions(t *testing.T) {
	h := open(t, pubsub.Config{}, "s-0", "s-1")
	f := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: hello(3), MinBackoff: time.Hour})
	f.until("tables", full("s-0", "s-1"))
	g := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: hello(3), MinBackoff: time.Hour})
	g.until("tables of the newer", full("s-0", "s-1"))
	if err := <-f.downs; !strings.Contains(err.Error(), string(session.ReasonReplaced)) {
		t.Errorf("the older one ended with %v", err)
	}
	h.queue <- eventloop.Command{
		From:    line{sockets.NextSequence()},
		Message: textproto.Subscribe{Proxy: 3, Zone: "a", Rate: 5},
	}
	if err := <-g.downs; !strings.Contains(err.Error(), string(session.ReasonReplaced)) {
		t.Errorf("the newer one ended with %v", err)
	}
	if n := h.times(textproto.Subscribe{}); n != 1 {
		t.Errorf("joined %d times by the channel", n)
	}
}

// Case 6: what a client must not do ends its connection with a code, and no other's.
func TestCase6Misuse(t *testing.T) {
	h := open(t, pubsub.Config{MaxConns: 12}, "s-0", "s-1")
	good := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: hello(1)})
	good.until("tables", full("s-0", "s-1"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dial := func() *websocket.Conn {
		ws, _, err := websocket.Dial(ctx, "ws://"+h.hub.Addr(), nil)
		if err != nil {
			t.Fatal(err)
		}
		ws.SetReadLimit(1 << 20)
		return ws
	}
	code := func(messages ...[]byte) string {
		ws := dial()
		defer func() { _ = ws.CloseNow() }()
		for _, m := range messages {
			_ = ws.Write(ctx, websocket.MessageBinary, m)
		}
		for {
			_, text, err := ws.Read(ctx)
			if err != nil {
				return websocket.CloseStatus(err).String()
			}
			if e, err := pubsub.Decode(text); err == nil {
				if e, ok := e.(pubsub.Error); ok {
					return e.Code
				}
			}
		}
	}
	say := func(o pubsub.Hello) []byte {
		if o.Version == 0 {
			o.Version = pubsub.Version
		}
		return pubsub.Encode(pubsub.KindHello, o)
	}
	own := hello(2)
	for name, c := range map[string]struct {
		want     string
		messages [][]byte
	}{
		"no hello":        {pubsub.CodeMessage, [][]byte{pubsub.Encode(pubsub.KindAck, pubsub.Ack{})}},
		"garbage":         {pubsub.CodeMessage, [][]byte{[]byte("GET / HTTP/1.1")}},
		"nothing":         {pubsub.CodeMessage, [][]byte{{}}},
		"another version": {pubsub.CodeVersion, [][]byte{say(pubsub.Hello{Version: 9, Topic: own.Topic})}},
		"no such topic":   {pubsub.CodeTopic, [][]byte{say(pubsub.Hello{Topic: "all"})}},
		"no such proxy":   {pubsub.CodeTopic, [][]byte{say(pubsub.Hello{Topic: "orders/9"})}},
		"no such zone":    {pubsub.CodeTopic, [][]byte{say(pubsub.Hello{Topic: "orders/2", Owner: true, Zone: "x"})}},
		"reports of another": {
			pubsub.CodeNotOwner,
			[][]byte{
				say(own),
				pubsub.Encode(pubsub.KindBackendReport, pubsub.BackendReport{Backend: "s-0", Attempts: 1, Millis: 1000}),
			},
		},
		"use as an onlooker": {
			pubsub.CodeNotOwner,
			[][]byte{
				say(pubsub.Hello{Topic: "orders/1"}),
				pubsub.Encode(pubsub.KindUsageReport, pubsub.UsageReport{Product: "look", Millis: 1}),
			},
		},
		"a figure that cannot": {
			pubsub.CodeMessage,
			[][]byte{
				say(own),
				pubsub.Encode(pubsub.KindUsageReport, pubsub.UsageReport{Product: "look", Txns: -1, Millis: 1000}),
			},
		},
		"10 MB": {"StatusMessageTooBig", [][]byte{say(own), make([]byte, 10<<20)}},
	} {
		if got := code(c.messages...); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
	never := dial() // a number that was never sent, of the epoch that holds
	_ = never.Write(ctx, websocket.MessageBinary, say(pubsub.Hello{Topic: "orders/1", Credit: 1}))
	_, text, err := never.Read(ctx)
	said, _ := pubsub.Decode(text)
	if m, ok := said.(session.Send); err != nil || !ok {
		t.Errorf("an onlooker is sent %v, %v", said, err)
	} else {
		_ = never.Write(
			ctx,
			websocket.MessageBinary,
			pubsub.Encode(pubsub.KindAck, pubsub.Ack{Epoch: m.Epoch, Seq: m.Seq + 77, AddedCredit: 1}),
		)
		_, text, _ = never.Read(ctx)
		if e, _ := pubsub.Decode(text); !reflect.DeepEqual(e, pubsub.Error{Code: string(session.ReasonUnknownSequence)}) {
			t.Errorf("a number never sent is answered with %v", e)
		}
	}
	_ = never.CloseNow()
	var held []*websocket.Conn
	for range 30 { // half-open ones
		ws := dial()
		held = append(held, ws)
	}
	crowded, rejection := 0, pubsub.Error{Code: pubsub.CodeTooManyConnections}
	for _, ws := range held {
		_, text, err := ws.Read(ctx)
		if e, _ := pubsub.Decode(text); err == nil && reflect.DeepEqual(e, rejection) {
			crowded++
		}
		_ = ws.CloseNow()
	}
	if crowded < 15 {
		t.Errorf("%d of 30 beyond the limit are told so", crowded)
	}
	h.drain("s-1")
	good.until("a drain after all that", func(out map[string]bool, _ map[string]*pubsub.RoutingTable) bool {
		return out["s-1"]
	})
	if n := len(good.downs); n > 0 {
		t.Errorf("the good client was let go of %d times: %v", n, <-good.downs)
	}
}

// A collector publishes the reports of its zone; an onlooker sees the list, and a drain in it.
func TestReportsAndList(t *testing.T) {
	h := open(t, pubsub.Config{}, "s-0", "s-1")
	zone := follow(
		t,
		client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.ReportsTopicPrefix + "a"}},
	)
	if err := (<-zone.ups).ReportBackend(
		pubsub.BackendReport{Backend: "s-0", Attempts: 9, Latency: 120, Millis: 1000},
	); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Minute); h.times(textproto.BackendReport{}) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the desk was told %v", h.told)
		}
	}
	h.hub.Tell(reconcile.List{Members: []reconcile.Member{member("s-0"), member("s-1")}})
	onlooker := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.ListTopic}})
	for state := range onlooker.changed {
		if len(state) == 2 && strings.Contains(state["s-1"].Text, reconcile.Serving) {
			break
		}
	}
	gone := member("s-1")
	gone.Phase = reconcile.Deleted
	h.hub.Tell(reconcile.List{Members: []reconcile.Member{gone}})
	if state := <-onlooker.changed; len(state) != 1 {
		t.Errorf("the onlooker holds %v", state)
	}
	h.hub.Look(
		[]warmstart.Fact{
			{Kind: warmstart.Derating, Key: "s-1", Value: 0.4},
			{Kind: warmstart.Throughput, Value: 5},
			{Kind: warmstart.Usage, Key: "1/look", Value: 9},
		},
	)
	look := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.DecisionsTopic}})
	if state := <-look.changed; len(state) != 2 || state[session.JoinKey("relief", "s-1")].Number != 0.4 {
		t.Errorf("the onlooker of decisions holds %v", state)
	}
	h.hub.Look([]warmstart.Fact{{Kind: warmstart.Derating, Key: "s-1", Value: 1}})
	if state := <-look.changed; len(state) != 1 {
		t.Errorf("the onlooker of decisions holds %v", state)
	}
}

// Whatever bytes come for a message, reading them ends with one or an error.
func FuzzDecode(f *testing.F) {
	f.Add(pubsub.Encode(pubsub.KindHello, hello(1)))
	f.Add(pubsub.Encode(pubsub.KindAck, pubsub.Ack{Epoch: 1 << 60, Seq: 1<<32 - 1, AddedCredit: 3}))
	f.Add(pubsub.Encode(pubsub.KindUsageReport, pubsub.UsageReport{Product: "look", Txns: 3, Millis: 1000}))
	f.Add(
		pubsub.Encode(
			pubsub.KindChange,
			pubsub.Message{Epoch: 1, Seq: 3, Prev: 2, Updates: []session.Update{{Key: pubsub.WithdrawnKey("s-1")}}},
		),
	)
	f.Add([]byte{})
	f.Add([]byte("S\xbf"))
	f.Fuzz(func(t *testing.T, text []byte) {
		said, err := pubsub.Decode(text)
		if m, ok := said.(session.Send); ok && err == nil {
			var c session.Replica
			_, _, _ = c.Apply(m)
			pubsub.RoutingTables(c.State)
		}
	})
}
