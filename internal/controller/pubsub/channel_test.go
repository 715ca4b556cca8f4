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

// nopLists is an eventloop.Lists that does nothing.
type nopLists struct{}

func (nopLists) Follow(bool) {}
func (nopLists) Reload()     {}

// testController is a running event loop with a hub. It counts the messages from the hub by type.
type testController struct {
	t        *testing.T
	hub      *pubsub.Hub
	lists    chan eventloop.Command
	queue    chan eventloop.Command
	mu       sync.Mutex
	received map[string]int
}

// discardLogger returns a logger without output.
func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startController runs an event loop with the given backends and a hub until the test ends.
func startController(t *testing.T, config pubsub.Config, backends ...string) *testController {
	t.Helper()
	h := &testController{
		t:        t,
		lists:    make(chan eventloop.Command, 10),
		queue:    make(chan eventloop.Command, 1000),
		received: map[string]int{},
	}
	loop := eventloop.New(
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
		nopLists{},
		discardLogger(),
	)
	l := reconcile.List{Revision: 1, Complete: true}
	for _, id := range backends {
		l.Members = append(l.Members, member(id))
	}
	loop.SetCachedList(l)
	startedAt := time.Now()
	go loop.Run(h.queue, h.lists, time.Millisecond, func() policy.Time {
		return 1000*policy.Second + policy.Time(time.Since(startedAt)*time.Duration(policy.Second)/time.Second)
	})
	handler := func(command eventloop.Command) {
		h.mu.Lock()
		h.received[fmt.Sprintf("%T", command.Message)]++
		h.mu.Unlock()
		h.queue <- command
	}
	if config.Listen = "127.0.0.1:0"; config.Linger == 0 {
		config.Linger = time.Hour
	}
	if config.MaxObservers == 0 {
		config.MaxObservers = 4
	}
	var err error
	if h.hub, err = pubsub.Listen(config, 4, names, handler, discardLogger()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.hub.Close)
	return h
}

func member(id string) reconcile.Member {
	return reconcile.Member{ID: id, Zone: "a", Kind: "s", Phase: reconcile.Serving, Weight: 1}
}

// countOf returns how many messages of the type of an example the event loop received.
func (h *testController) countOf(example any) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[fmt.Sprintf("%T", example)]
}

// drain sets the phase of a backend to Draining.
func (h *testController) drain(id string) {
	m := member(id)
	m.Phase = reconcile.Draining
	h.lists <- eventloop.Command{Message: reconcile.List{Revision: 2, Members: []reconcile.Member{m}}}
}

// follower runs a client and reports its events on channels.
type follower struct {
	t       *testing.T
	stop    context.CancelFunc
	done    chan error
	changed chan map[string]session.Value // the state after each change
	ups     chan *client.Publisher
	downs   chan error
	mu      sync.Mutex
	seen    map[string]int // how often each message was applied, by epoch and sequence number
}

// follow runs a client until the test ends.
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

// condition is a predicate on the withdrawn backends and the routing tables of a proxy.
type condition func(withdrawn map[string]bool, tables map[string]*pubsub.RoutingTable) bool

// waitFor waits up to a minute for a change after which a condition holds.
func (f *follower) waitFor(what string, holds condition) {
	f.t.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case state := <-f.changed:
			if holds(pubsub.RoutingTables(state)) {
				return
			}
		case <-timeout:
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// checkAppliedOnce checks that no message was applied twice.
func (f *follower) checkAppliedOnce() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for m, n := range f.seen {
		if n != 1 {
			f.t.Errorf("message %s was applied %d times", m, n)
		}
	}
}

// ownerHello returns the hello of a proxy for its own topic.
func ownerHello(proxy int) pubsub.Hello {
	return pubsub.Hello{Topic: fmt.Sprint(pubsub.OrdersTopicPrefix, proxy), Owner: true, Zone: "a", Rate: 5}
}

// hasTables returns the condition that each product has a rate limit, and weights for exactly the given backends.
func hasTables(ids ...string) condition {
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

// isWithdrawn returns the condition that a backend is withdrawn.
func isWithdrawn(id string) condition {
	return func(withdrawn map[string]bool, _ map[string]*pubsub.RoutingTable) bool { return withdrawn[id] }
}

// A proxy receives its routing tables and a withdrawal. The event loop receives the usage reports and the acknowledged
// markers of the proxy.
func TestServe(t *testing.T) {
	h := startController(t, pubsub.Config{}, "s-0", "s-1", "s-2")
	f := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: ownerHello(1)})
	f.waitFor("tables", hasTables("s-0", "s-1", "s-2"))
	p := <-f.ups
	if err := p.ReportUsage(pubsub.UsageReport{Product: "look", Txns: 9, Millis: 1000}); err != nil {
		t.Fatal(err)
	}
	h.drain("s-1")
	f.waitFor("the withdrawal", isWithdrawn("s-1"))
	for deadline := time.Now().Add(time.Minute); h.countOf(textproto.Ack{}) == 0 ||
		h.countOf(textproto.UsageReport{}) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the event loop received %v", h.received)
		}
	}
	if n := h.countOf(textproto.Subscribe{}); n != 1 {
		t.Errorf("%d subscriptions, want 1", n)
	}
	f.checkAppliedOnce()
}

// The link cuts each connection a few bytes later than the one before: within the handshake, the snapshot and the
// changes. No message is applied in part or twice, and the event loop sees a single subscription.
func TestReconnectAfterCut(t *testing.T) {
	h := startController(t, pubsub.Config{}, "s-0", "s-1", "s-2", "s-3")
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
	f := follow(t, client.Options{Addresses: []string{l.Addr()}, Hello: ownerHello(2), Credit: 2})
	f.waitFor("tables", hasTables("s-0", "s-1", "s-2", "s-3"))
	h.drain("s-3")
	f.waitFor("the withdrawal", isWithdrawn("s-3"))
	f.checkAppliedOnce()
	if n := h.countOf(textproto.Subscribe{}); n != 1 || l.Taken() < 20 || h.countOf(textproto.Closed{}) != 0 {
		t.Errorf("%d subscriptions over %d connections, want 1 over at least 20", n, l.Taken())
	}
}

// When a controller stops, its client changes over to another one, which has its own epoch. After a restart the
// client resumes from its stored state.
func TestFailoverAndRestart(t *testing.T) {
	storage := client.FileStorage(filepath.Join(t.TempDir(), "copy"))
	first := startController(t, pubsub.Config{}, "s-0", "s-1")
	second := startController(t, pubsub.Config{}, "s-0", "s-1", "s-2")
	o := client.Options{Addresses: []string{first.hub.Addr(), second.hub.Addr()}, Hello: ownerHello(0), Storage: storage}
	f := follow(t, o)
	f.waitFor("tables", hasTables("s-0", "s-1"))
	first.hub.Close()
	f.waitFor("tables of the second controller", hasTables("s-0", "s-1", "s-2"))
	f.stop()
	if err := <-f.done; err != nil {
		t.Fatal(err)
	}
	before, err := storage.Load()
	if err != nil || !hasTables("s-0", "s-1", "s-2")(pubsub.RoutingTables(before.State)) {
		t.Fatalf("stored state %+v, error %v", before, err)
	}
	o.Addresses = o.Addresses[1:]
	f = follow(t, o)
	<-f.ups
	second.drain("s-2")
	f.waitFor("the withdrawal", isWithdrawn("s-2"))
	f.checkAppliedOnce()
	after, _ := storage.Load()
	if after.Epoch != before.Epoch || after.Applied-before.Applied > 3 || second.countOf(textproto.Subscribe{}) != 1 {
		t.Errorf(
			"applied messages went from %d to %d, with %d subscriptions",
			before.Applied,
			after.Applied,
			second.countOf(textproto.Subscribe{}),
		)
	}
}

// otherStream is an eventloop.Stream that does not belong to the hub.
type otherStream struct{ sequence uint64 }

func (s otherStream) Sequence() uint64 { return s.sequence }
func (otherStream) Send([]byte)        {}
func (otherStream) SetPeer(string)     {}
func (otherStream) CloseReplaced()     {}
func (otherStream) CloseRefused()      {}
func (otherStream) RecordFault(error)  {}

// A newer connection of a proxy replaces the older one within the same subscription. A later stream that does not
// belong to the hub replaces that connection in turn. Each replaced client receives ReasonReplaced.
func TestNewerStreamReplacesOlder(t *testing.T) {
	h := startController(t, pubsub.Config{}, "s-0", "s-1")
	older := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: ownerHello(3), MinBackoff: time.Hour})
	older.waitFor("tables", hasTables("s-0", "s-1"))
	newer := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: ownerHello(3), MinBackoff: time.Hour})
	newer.waitFor("tables of the newer connection", hasTables("s-0", "s-1"))
	if err := <-older.downs; !strings.Contains(err.Error(), string(session.ReasonReplaced)) {
		t.Errorf("the older connection ended with %v", err)
	}
	h.queue <- eventloop.Command{
		From:    otherStream{sockets.NextSequence()},
		Message: textproto.Subscribe{Proxy: 3, Zone: "a", Rate: 5},
	}
	if err := <-newer.downs; !strings.Contains(err.Error(), string(session.ReasonReplaced)) {
		t.Errorf("the newer connection ended with %v", err)
	}
	if n := h.countOf(textproto.Subscribe{}); n != 1 {
		t.Errorf("%d subscriptions from the hub, want 1", n)
	}
}

// The hub sends an error code to a client that violates the protocol, and closes its connection. Other clients stay
// connected.
func TestProtocolViolations(t *testing.T) {
	h := startController(t, pubsub.Config{MaxConns: 12}, "s-0", "s-1")
	valid := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: ownerHello(1)})
	valid.waitFor("tables", hasTables("s-0", "s-1"))
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
	errorCode := func(messages ...[]byte) string {
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
	encodeHello := func(o pubsub.Hello) []byte {
		if o.Version == 0 {
			o.Version = pubsub.Version
		}
		return pubsub.Encode(pubsub.KindHello, o)
	}
	owner := ownerHello(2)
	for name, c := range map[string]struct {
		want     string
		messages [][]byte
	}{
		"no hello":        {pubsub.CodeMessage, [][]byte{pubsub.Encode(pubsub.KindAck, pubsub.Ack{})}},
		"garbage":         {pubsub.CodeMessage, [][]byte{[]byte("GET / HTTP/1.1")}},
		"empty message":   {pubsub.CodeMessage, [][]byte{{}}},
		"another version": {pubsub.CodeVersion, [][]byte{encodeHello(pubsub.Hello{Version: 9, Topic: owner.Topic})}},
		"no such topic":   {pubsub.CodeTopic, [][]byte{encodeHello(pubsub.Hello{Topic: "all"})}},
		"no such proxy":   {pubsub.CodeTopic, [][]byte{encodeHello(pubsub.Hello{Topic: "orders/9"})}},
		"no such zone": {
			pubsub.CodeTopic,
			[][]byte{encodeHello(pubsub.Hello{Topic: "orders/2", Owner: true, Zone: "x"})},
		},
		"backend report of a proxy": {
			pubsub.CodeNotOwner,
			[][]byte{
				encodeHello(owner),
				pubsub.Encode(pubsub.KindBackendReport, pubsub.BackendReport{Backend: "s-0", Attempts: 1, Millis: 1000}),
			},
		},
		"usage report of an observer": {
			pubsub.CodeNotOwner,
			[][]byte{
				encodeHello(pubsub.Hello{Topic: "orders/1"}),
				pubsub.Encode(pubsub.KindUsageReport, pubsub.UsageReport{Product: "look", Millis: 1}),
			},
		},
		"negative count": {
			pubsub.CodeMessage,
			[][]byte{
				encodeHello(owner),
				pubsub.Encode(pubsub.KindUsageReport, pubsub.UsageReport{Product: "look", Txns: -1, Millis: 1000}),
			},
		},
		"10 MB": {"StatusMessageTooBig", [][]byte{encodeHello(owner), make([]byte, 10<<20)}},
	} {
		if got := errorCode(c.messages...); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
	// An observer acknowledges a sequence number of the current epoch that was not sent yet.
	observer := dial()
	_ = observer.Write(ctx, websocket.MessageBinary, encodeHello(pubsub.Hello{Topic: "orders/1", Credit: 1}))
	_, text, err := observer.Read(ctx)
	message, _ := pubsub.Decode(text)
	if m, ok := message.(session.Send); err != nil || !ok {
		t.Errorf("an observer is sent %v, error %v", message, err)
	} else {
		_ = observer.Write(
			ctx,
			websocket.MessageBinary,
			pubsub.Encode(pubsub.KindAck, pubsub.Ack{Epoch: m.Epoch, Seq: m.Seq + 77, AddedCredit: 1}),
		)
		_, text, _ = observer.Read(ctx)
		if e, _ := pubsub.Decode(text); !reflect.DeepEqual(e, pubsub.Error{Code: string(session.ReasonUnknownSequence)}) {
			t.Errorf("the ack of an unsent sequence number is answered with %v", e)
		}
	}
	_ = observer.CloseNow()
	var idle []*websocket.Conn
	for range 30 { // connections without a hello
		ws := dial()
		idle = append(idle, ws)
	}
	rejected, rejection := 0, pubsub.Error{Code: pubsub.CodeTooManyConnections}
	for _, ws := range idle {
		_, text, err := ws.Read(ctx)
		if e, _ := pubsub.Decode(text); err == nil && reflect.DeepEqual(e, rejection) {
			rejected++
		}
		_ = ws.CloseNow()
	}
	if rejected < 15 {
		t.Errorf("%d of 30 connections are rejected, want at least 15", rejected)
	}
	h.drain("s-1")
	valid.waitFor("the withdrawal after the violations", isWithdrawn("s-1"))
	if n := len(valid.downs); n > 0 {
		t.Errorf("the valid client was disconnected %d times: %v", n, <-valid.downs)
	}
}

// The event loop receives the backend reports of a collector. Observers receive the backend list, the decisions and
// their changes.
func TestReportsAndList(t *testing.T) {
	h := startController(t, pubsub.Config{}, "s-0", "s-1")
	collector := follow(
		t,
		client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.ReportsTopicPrefix + "a"}},
	)
	if err := (<-collector.ups).ReportBackend(
		pubsub.BackendReport{Backend: "s-0", Attempts: 9, Latency: 120, Millis: 1000},
	); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Minute); h.countOf(textproto.BackendReport{}) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the event loop received %v", h.received)
		}
	}
	h.hub.Tell(reconcile.List{Members: []reconcile.Member{member("s-0"), member("s-1")}})
	list := follow(t, client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.ListTopic}})
	for state := range list.changed {
		if len(state) == 2 && strings.Contains(state["s-1"].Text, reconcile.Serving) {
			break
		}
	}
	deleted := member("s-1")
	deleted.Phase = reconcile.Deleted
	h.hub.Tell(reconcile.List{Members: []reconcile.Member{deleted}})
	if state := <-list.changed; len(state) != 1 {
		t.Errorf("the observer of the list holds %v", state)
	}
	h.hub.Look(
		[]warmstart.Fact{
			{Kind: warmstart.Derating, Key: "s-1", Value: 0.4},
			{Kind: warmstart.Throughput, Value: 5},
			{Kind: warmstart.Usage, Key: "1/look", Value: 9},
		},
	)
	decisions := follow(
		t,
		client.Options{Addresses: []string{h.hub.Addr()}, Hello: pubsub.Hello{Topic: pubsub.DecisionsTopic}},
	)
	if state := <-decisions.changed; len(state) != 2 || state[session.JoinKey("relief", "s-1")].Number != 0.4 {
		t.Errorf("the observer of decisions holds %v", state)
	}
	h.hub.Look([]warmstart.Fact{{Kind: warmstart.Derating, Key: "s-1", Value: 1}})
	if state := <-decisions.changed; len(state) != 1 {
		t.Errorf("the observer of decisions holds %v", state)
	}
}

// Decode returns a message or an error for any input, and a decoded update can be applied.
func FuzzDecode(f *testing.F) {
	f.Add(pubsub.Encode(pubsub.KindHello, ownerHello(1)))
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
		message, err := pubsub.Decode(text)
		if m, ok := message.(session.Send); ok && err == nil {
			var c session.Replica
			_, _, _ = c.Apply(m)
			pubsub.RoutingTables(c.State)
		}
	})
}
