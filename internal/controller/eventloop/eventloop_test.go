package eventloop

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// testStream is a stream that records what is sent to it.
type testStream struct {
	sequence          uint64
	sent              []string
	peer              string
	replaced, refused bool
	faults            []error
}

func (l *testStream) Sequence() uint64      { return l.sequence }
func (l *testStream) Send(b []byte)         { l.sent = append(l.sent, string(b)) }
func (l *testStream) SetPeer(of string)     { l.peer = of }
func (l *testStream) CloseReplaced()        { l.replaced = true }
func (l *testStream) CloseRefused()         { l.refused = true }
func (l *testStream) RecordFault(err error) { l.faults = append(l.faults, err) }
func (l *testStream) take() (s []string)    { s, l.sent = l.sent, nil; return s }

type testLists struct{ follow, reload int }

func (a *testLists) Follow(bool) { a.follow++ }
func (a *testLists) Reload()     { a.reload++ }

var names = flatsettings.Names{
	Products: []string{"look", "order", "pay"},
	Zones:    []string{"a", "b"},
	Kinds:    []string{"s"},
}

func deploymentOf(proxies int) policy.Deployment {
	return policy.Deployment{
		Products: []policy.Product{{Revenue: 1, SLA: 8000}, {Revenue: 2, SLA: 8000},
			{Revenue: 3, SLA: 8000, OnlyZones: []int{0}}},
		Zones:           2,
		Proxies:         proxies,
		HonorRemovals:   true,
		WarmupTime:      17 * policy.Second,
		WarmupCapacity:  0.2,
		WarmupOverload:  3,
		MinConns:        500,
		LinesPerSecond:  3000,
		MaxQueuedLines:  3000,
		MessageOverhead: 6,
		MessageWindow:   10 * policy.Second,
	}
}

func newTestLoop(proxies int) *Loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(deploymentOf(proxies), names, &testLists{}, logrus.NewEntry(log))
}

func list(whole bool, members ...reconcile.Member) reconcile.List {
	return reconcile.List{Revision: 1, Complete: whole, Members: members}
}

func serving(id string) reconcile.Member {
	return reconcile.Member{ID: id, Zone: "a", Kind: "s", Phase: reconcile.Serving, Weight: 1}
}

func (l *Loop) takeEvents() []policy.Event {
	e := l.events
	l.events = nil
	return e
}

// Messages of a replaced stream are ignored. Of two streams of a proxy, the newer one wins.
func TestStreams(t *testing.T) {
	loop := newTestLoop(4)
	join := textproto.Subscribe{Proxy: 2, Zone: "b", Rate: 7}
	used := textproto.UsageReport{Proxy: 2, Product: "order", Txns: 3, Period: 10000}
	older, first, second := &testStream{sequence: 1}, &testStream{sequence: 2}, &testStream{sequence: 3}
	for i, c := range []struct {
		from *testStream
		said any
		want []policy.Event
	}{
		{first, used, nil},
		{first, join, []policy.Event{policy.ProxyConnected{Proxy: 2, Zone: 1, Rate: 7, HasPeerTables: true}}},
		{first, join, nil},
		{first, used, []policy.Event{policy.UsageReport{Proxy: 2, Product: 1, Txns: 3, Period: 10000}}},
		{first, textproto.UsageReport{Proxy: 1, Product: "order"}, nil},
		{older, join, nil},
		{older, used, nil},
		{second, join, []policy.Event{
			policy.ProxyDisconnected{Proxy: 2},
			policy.ProxyConnected{Proxy: 2, Zone: 1, Rate: 7, HasPeerTables: true},
		}},
		{first, used, nil},
		{first, textproto.Closed{}, nil},
		{older, textproto.Closed{}, nil},
		{second, used, []policy.Event{policy.UsageReport{Proxy: 2, Product: 1, Txns: 3, Period: 10000}}},
		{second, textproto.Closed{}, []policy.Event{policy.ProxyDisconnected{Proxy: 2}}},
		{second, textproto.Closed{}, nil},
	} {
		loop.Handle(Command{c.from, c.said})
		if got := loop.takeEvents(); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%d: %+v, want %+v", i, got, c.want)
		}
	}
	if !older.replaced || !first.replaced || second.replaced || len(loop.proxyOf) > 0 {
		t.Errorf("replaced %v %v %v, %d streams kept", older.replaced, first.replaced, second.replaced, len(loop.proxyOf))
	}
}

// A message from an unknown sender, or with an unknown name, is rejected and has no other effect.
func TestUnknownSendersAndNames(t *testing.T) {
	loop := newTestLoop(4)
	loop.SetCachedList(list(true, serving("s-1")))
	stranger, source, stream := &testStream{}, &testStream{}, &testStream{}
	loop.Handle(Command{source, textproto.Source{Zone: "a"}})
	loop.Handle(Command{stream, textproto.Subscribe{Proxy: 1, Zone: "a"}})
	loop.takeEvents()
	report := textproto.BackendReport{Zone: "a", Backend: "s-1", Attempts: 2}
	for i, c := range []struct {
		from *testStream
		said any
		want error
	}{
		{stranger, textproto.Source{Zone: "x"}, errZone}, {stranger, textproto.Subscribe{Proxy: 4, Zone: "a"}, errProxy},
		{stranger, textproto.Subscribe{Proxy: 3, Zone: "x"}, errZone}, {stranger, report, errUnknownSender},
		{
			stranger,
			textproto.UsageReport{Proxy: 1, Product: "look"},
			errUnknownSender,
		}, {stranger, textproto.Ack{Proxy: 1}, errUnknownSender},
		{
			source,
			textproto.BackendReport{Zone: "x", Backend: "s-1"},
			errZone,
		}, {source, textproto.BackendReport{Zone: "a", Backend: "s-2"}, errBackend},
		{
			source,
			textproto.UsageReport{Proxy: 1, Product: "x"},
			errProduct,
		}, {source, textproto.UsageReport{Proxy: 9, Product: "look"}, errProxy},
		{source, textproto.UsageReport{Proxy: 3, Product: "look"}, nil}, {stream, textproto.Ack{Proxy: 1, Marker: 77}, nil},
	} {
		c.from.faults = nil
		loop.Handle(Command{c.from, c.said})
		if got := errors.Join(
			c.from.faults...); len(loop.takeEvents()) > 0 || !errors.Is(got, c.want) ||
			(got == nil) != (c.want == nil) {
			t.Errorf("%d: fault %v, want %v", i, got, c.want)
		}
	}
	loop.Handle(Command{source, textproto.UsageReport{Proxy: 1, Product: "look", Txns: 1}})
	loop.Handle(Command{source, report})
	want := []policy.Event{policy.UsageReport{Proxy: 1, Txns: 1}, policy.BackendReport{Attempts: 2}}
	if got := loop.takeEvents(); !reflect.DeepEqual(got, want) {
		t.Errorf("from a collector: %+v", got)
	}
	if !stranger.refused || source.refused || stream.refused {
		t.Error("only the stream with an unknown zone or proxy may be refused")
	}
	if stranger.peer != "" || source.peer != "collector a" || stream.peer != "proxy 1" {
		t.Errorf("peers %q, %q, %q", stranger.peer, source.peer, stream.peer)
	}
}

func TestLists(t *testing.T) {
	loop := newTestLoop(4)
	unknownPhase := serving("s-3")
	unknownPhase.Phase = "RESTING"
	unknownZone := serving("s-4")
	unknownZone.Zone = "x"
	removed := reconcile.Member{ID: "s-1", Phase: reconcile.Deleted}
	draining := reconcile.Member{ID: "s-2", Zone: "b", Kind: "new", Phase: reconcile.Draining, Weight: 2, UpSince: 1234.56}
	loop.SetCachedList(list(true, serving("s-1")))
	unlisted := reconcile.Member{ID: "s-5", Phase: reconcile.Deleted}
	loop.Handle(Command{Message: list(false, unknownPhase, unknownZone, removed, draining, unlisted)})
	loop.Handle(Command{Message: list(true, serving("s-2"))})
	loop.Handle(Command{Message: reconcile.SourceFailed{}})
	want := []policy.Event{
		policy.ListUpdate{Kind: policy.ListCached, Entries: []policy.Entry{{Status: policy.Ready, Weight: 1}}},
		policy.ListUpdate{Kind: policy.ListChange, Entries: []policy.Entry{{Zone: -1, Kind: -1, Status: policy.Gone},
			{Backend: 1, Zone: 1, Kind: -1, Status: policy.Draining, Weight: 2, StartedAt: 12345}}},
		policy.ListUpdate{Kind: policy.ListFull, Entries: []policy.Entry{{Backend: 1, Status: policy.Ready, Weight: 1}}},
		policy.ListUpdate{Kind: policy.ListFailed},
	}
	if got := loop.takeEvents(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Messages contain full tables, admissions by product, later changes, withdrawals of earlier controllers, and markers.
func TestOrders(t *testing.T) {
	loop, brings, fresh := newTestLoop(4), &testStream{}, &testStream{}
	loop.SetCachedList(list(true, serving("s-0"), serving("s-1"), serving("s-2")))
	loop.Handle(Command{brings, textproto.Subscribe{Proxy: 0, Zone: "a"}})
	loop.Handle(Command{fresh, textproto.Subscribe{Proxy: 1, Zone: "a", Fresh: true}})
	bind := func(p int) []policy.Order {
		return []policy.Order{
			policy.ClearTable{Table: p},
			policy.SetWeight{Table: p, Backend: 0, Weight: 1.5},
			policy.SetWeight{
				Table:   p,
				Backend: 1,
				Weight:  1e-5,
			},
			policy.Admission{Table: p, RateLimit: 1e6, Retries: policy.RetryUnexecuted, Products: 1},
			policy.Admission{Table: p, RateLimit: 0.25, Products: 6},
			policy.AssignTable{Proxy: p, Table: p},
			policy.Marker{Number: 9},
		}
	}
	for i, c := range []struct {
		orders       []policy.Order
		brings, cold string
	}{
		{[]policy.Order{policy.Withdraw{Backend: 1, Withdrawn: true}, policy.Withdraw{Backend: 2}},
			"CONFIG out=s-1 back=s-2\r\n",
			"CONFIG out=s-1\r\n"},
		{bind(0), "CONFIG back=s-0 more=1\r\nCONFIG classes=look+order+pay whole=1 lines=s-0:1.5,s-1:0.00001 more=1\r\n" +
			"CONFIG classes=look level=1000000 retry=1 more=1\r\nCONFIG classes=order level=0.25 retry=0 more=1\r\n" +
			"CONFIG classes=pay level=0.25 retry=0 ticket=9\r\n", ""},
		{bind(1), "", "CONFIG classes=look+order+pay whole=1 lines=s-0:1.5,s-1:0.00001 more=1\r\n" +
			"CONFIG classes=look level=1000000 retry=1 more=1\r\nCONFIG classes=order level=0.25 retry=0 more=1\r\n" +
			"CONFIG classes=pay level=0.25 retry=0 ticket=9\r\n"},
		{[]policy.Order{
			policy.SetWeight{Table: 0, Backend: 0},
			policy.SetWeight{Table: 0, Backend: 2, Weight: 2},
			policy.Marker{Number: 10},
		},
			"CONFIG classes=look+order+pay lines=s-0:0,s-2:2 ticket=10\r\n", ""},
		{[]policy.Order{policy.Withdraw{Backend: 2, Withdrawn: true}}, "CONFIG out=s-2\r\n", ""},
		{[]policy.Order{policy.Withdraw{Backend: 1}, policy.SetWeight{Table: 1, Backend: 2, Weight: 1}},
			"CONFIG back=s-1\r\n",
			"CONFIG out=s-2 back=s-1 more=1\r\nCONFIG classes=look+order+pay lines=s-2:1\r\n"},
		{[]policy.Order{policy.ClearTable{Table: 1}, policy.SetWeight{Table: 1, Backend: 0, Weight: 3}}, "",
			"CONFIG classes=look+order+pay whole=1 lines=s-0:3\r\n"},
		{[]policy.Order{policy.AssignTable{Proxy: 1, Table: 5, Products: 4}}, "", "CONFIG classes=pay whole=1\r\n"},
		{[]policy.Order{policy.Marker{Number: 0, All: true}}, "CONFIG ticket=0\r\n", "CONFIG ticket=0\r\n"},
		{[]policy.Order{policy.AssignTable{Proxy: 3, Table: 1}, policy.Marker{Number: 12},
			policy.PeerMessage{}, policy.Probe{}},
			"", ""},
	} {
		loop.execute(c.orders)
		if got := strings.Join(brings.take(), "|"); got != c.brings {
			t.Errorf("%d: the proxy with earlier tables got\n%s, want\n%s", i, got, c.brings)
		}
		if got := strings.Join(fresh.take(), "|"); got != c.cold {
			t.Errorf("%d: the fresh proxy got\n%s, want\n%s", i, got, c.cold)
		}
	}
	loop.execute([]policy.Order{policy.WatchList{Enabled: true}, policy.ReloadList{}})
	if got, ok := loop.lists.(*testLists); !ok || *got != (testLists{1, 1}) {
		t.Errorf("calls of the list source: %+v", got)
	}
	loop.takeEvents()
	for _, number := range []int{9, 9, 12} { // each marker is acknowledged once
		loop.Handle(Command{brings, textproto.Ack{Proxy: 0, Marker: number}})
	}
	if got := loop.takeEvents(); len(got) != 1 {
		t.Errorf("acknowledgements: %+v", got)
	}
}

// channelStream is a stream that passes messages to a channel.
type channelStream struct {
	testStream
	messages chan string
}

func (t *channelStream) Send(b []byte) { t.messages <- string(b) }

// Queued commands are handled in one step, which sends one message with the same marker to each proxy.
func TestOneMessagePerTick(t *testing.T) {
	loop, queue, messages := newTestLoop(4), make(chan Command, 100), make(chan string, 100)
	loop.SetCachedList(list(true, serving("s-0"), serving("s-1")))
	for i := range 4 {
		stream := &channelStream{testStream{sequence: uint64(i)}, messages}
		queue <- Command{stream, textproto.Subscribe{Proxy: i, Zone: "a", Rate: 1, Fresh: true}}
	}
	now := 1000 * policy.Second
	go loop.Run(queue, nil, time.Nanosecond, func() policy.Time { return now })
	for range 4 {
		if m := <-messages; !strings.HasSuffix(m, " ticket=1\r\n") || !strings.Contains(m, "lines=s-0:1,s-1:1") {
			t.Errorf("first message %q", m)
		}
	}
}

// tableState is the state of a proxy for a product.
type tableState struct {
	lines map[string]float64
	level float64
	retry int
}

// testProxy applies the messages that it receives.
type testProxy struct {
	testStream
	tables    map[string]tableState
	withdrawn map[string]bool
	cost      int // lines of the last messages
	parts     int
}

func newTestProxy(sequence int) *testProxy {
	return &testProxy{
		testStream: testStream{sequence: uint64(sequence)},
		tables:     map[string]tableState{},
		withdrawn:  map[string]bool{},
	}
}

func (r *testProxy) apply(t *testing.T) {
	r.cost, r.parts = 0, 0
	for _, message := range r.take() {
		parts := strings.Split(strings.TrimSuffix(message, "\r\n"), "\r\n")
		r.parts += len(parts)
		for i, text := range parts {
			if more := strings.HasSuffix(text, " more=1"); !strings.HasPrefix(text, "CONFIG ") || more != (i < len(parts)-1) {
				t.Fatalf("part %d of %q", i, message)
			}
			f := map[string]string{}
			for _, word := range strings.Fields(text)[1:] {
				name, value, _ := strings.Cut(word, "=")
				f[name] = value
			}
			pick := func(name, by string) []string {
				return slices.DeleteFunc(strings.Split(f[name], by), func(s string) bool { return s == "" })
			}
			for _, k := range pick("classes", "+") {
				h := r.tables[k]
				if h.lines == nil || f["whole"] == "1" {
					h = tableState{lines: map[string]float64{}}
				}
				for _, s := range pick("lines", ",") {
					b, w, _ := strings.Cut(s, ":")
					if h.lines[b], _ = strconv.ParseFloat(w, 64); h.lines[b] == 0 {
						delete(h.lines, b)
					}
				}
				if f["level"] != "" {
					h.level, _ = strconv.ParseFloat(f["level"], 64)
					h.retry, _ = strconv.Atoi(f["retry"])
				}
				r.tables[k] = h
			}
			for _, b := range pick("out", ",") {
				r.withdrawn[b] = true
			}
			for _, b := range pick("back", ",") {
				delete(r.withdrawn, b)
			}
			r.cost += len(pick("lines", ",")) + len(pick("out", ",")) + len(pick("back", ","))
			for _, name := range []string{"whole", "level", "ticket"} {
				if f[name] != "" {
					r.cost++
				}
			}
		}
	}
}

const fleetSize, proxyCount, tableCount = 5, 3, 6

// Indices of removed backends are released once no proxy has an entry for them, and a late report is not attributed to
// the backend that has the index now.
func TestIndicesAreReused(t *testing.T) {
	loop, source, now := newTestLoop(3), &testStream{}, 1000*policy.Second
	marker := func(l *testStream) (n int) {
		_, text, _ := strings.Cut(strings.Join(l.take(), ""), "ticket=")
		n, _ = strconv.Atoi(strings.TrimSpace(strings.SplitN(text, "\r", 2)[0]))
		return n
	}
	zone := func(m reconcile.Member, at int) reconcile.Member {
		m.Zone = names.Zones[at%2]
		return m
	}
	loop.SetCachedList(list(true, zone(serving("s-0"), 0), zone(serving("s-1"), 1)))
	loop.Handle(Command{source, textproto.Source{Zone: "a"}})
	proxies := make([]*testStream, 3)
	most, early := 0, uint64(0)
	for i := range 4000 {
		if i == 500 {
			early = liveHeap()
		}
		at, id := i%3, fmt.Sprint("s-", i)
		if i%10 < 3 {
			if proxies[at] != nil {
				loop.Handle(Command{proxies[at], textproto.Closed{}})
			}
			proxies[at] = &testStream{sequence: uint64(i)}
			loop.Handle(Command{proxies[at], textproto.Subscribe{Proxy: at, Zone: "a", Rate: 5, Fresh: i%20 < 10}})
		}
		loop.Handle(Command{Message: list(false, zone(serving(fmt.Sprint("s-", i+2)), i))})
		gone := reconcile.Member{ID: id, Zone: names.Zones[i%2], Kind: "s", Phase: reconcile.Draining, Weight: 1}
		if i%2 == 0 {
			gone.Phase = reconcile.Deleted
		}
		loop.Handle(Command{Message: list(false, gone)})
		for range 4 {
			now += policy.Second / 2
			loop.Step(now)
			for p, l := range proxies {
				if l != nil && len(l.sent) > 0 {
					loop.Handle(Command{l, textproto.Ack{Proxy: p, Marker: marker(l)}})
				}
			}
		}
		gone.Phase = reconcile.Deleted
		loop.Handle(Command{Message: list(false, gone)})
		loop.Handle(
			Command{source, textproto.BackendReport{Zone: "a", Backend: fmt.Sprint("s-", i-60), Attempts: 9, Latency: 500}},
		)
		for _, e := range loop.events {
			if report, ok := e.(policy.BackendReport); ok && i > 60 {
				t.Fatalf("%d: a late report counts for index %d, which is %s now", i, report.Backend, loop.backends[report.Backend])
			}
		}
		if most = max(
			most,
			len(loop.backends),
		); most > 40 || len(loop.index) > 40 || len(loop.proxyOf) > 3 ||
			len(loop.proxies[at].notifiedUsability) > 40 {
			t.Fatalf("%d: %d indices, %d names, %d streams", i, most, len(loop.index), len(loop.proxyOf))
		}
	}
	late := liveHeap()
	runtime.KeepAlive(loop)
	if late > early+256<<10 {
		t.Errorf("%d bytes live after 500 backends, %d after 4,000", early, late)
	}
}

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A proxy that applies the messages has the state that the orders describe, whatever tables it had before.
func TestProxyStateMatchesOrders(t *testing.T) {
	same := func(seed int64) bool {
		rnd, loop := rand.New(rand.NewSource(seed)), newTestLoop(proxyCount)
		var members []reconcile.Member
		for b := range fleetSize {
			members = append(members, serving(fmt.Sprint("s-", b)))
		}
		loop.SetCachedList(list(true, members...))
		proxies, uses := make([]*testProxy, proxyCount), make([][]int, proxyCount)
		tables, out := make([]map[string]tableState, tableCount), map[string]bool{} // by product
		clearTable := func(id int) {
			tables[id] = map[string]tableState{}
			for _, k := range names.Products {
				tables[id][k] = tableState{lines: map[string]float64{}}
			}
		}
		for id := range tables {
			clearTable(id)
		}
		for step := range 30 {
			var orders []policy.Order
			for i := range proxies {
				if rnd.Intn(8) == 0 || step == 0 { // a new stream, of a fresh proxy or one with earlier tables
					p := newTestProxy(step)
					if fresh := rnd.Intn(2) == 0; !fresh {
						p.withdrawn[fmt.Sprint("s-", rnd.Intn(fleetSize))] = true
						p.tables["look"] = tableState{lines: map[string]float64{"s-0": 1}, level: 3}
					}
					loop.Handle(Command{p, textproto.Subscribe{Proxy: i, Zone: "a", Fresh: len(p.withdrawn) == 0}})
					proxies[i], uses[i] = p, nil
				}
			}
			for range rnd.Intn(12) {
				id, b, k := rnd.Intn(tableCount), rnd.Intn(fleetSize), rnd.Intn(len(names.Products))
				name := fmt.Sprint("s-", b)
				switch rnd.Intn(9) {
				case 0, 1, 2, 3:
					w := float64(rnd.Intn(4)) / 4
					orders = append(orders, policy.SetWeight{Table: id, Backend: b, Weight: w})
					for _, h := range tables[id] {
						if h.lines[name] = w; w == 0 {
							delete(h.lines, name)
						}
					}
				case 4:
					orders = append(orders, policy.ClearTable{Table: id})
					clearTable(id)
				case 5:
					g := policy.Admission{
						Table:     id,
						RateLimit: float64(rnd.Intn(9)),
						Retries:   policy.RetryMode(rnd.Intn(4)),
						Products:  uint16(1 << k),
					}
					orders = append(orders, g)
					h := tables[id][names.Products[k]]
					h.level, h.retry = g.RateLimit, int(g.Retries)
					tables[id][names.Products[k]] = h
				case 6, 7:
					o := policy.Withdraw{Backend: b, Withdrawn: rnd.Intn(2) == 0}
					orders = append(orders, o)
					if delete(out, name); o.Withdrawn {
						out[name] = true
					}
				case 8:
					i, other := rnd.Intn(proxyCount), rnd.Intn(tableCount)
					orders = append(
						orders,
						policy.AssignTable{Proxy: i, Table: id, Products: 3},
						policy.AssignTable{Proxy: i, Table: other, Products: 4},
					)
					uses[i] = []int{id, id, other}
				}
			}
			loop.execute(orders)
			for i, p := range proxies {
				p.apply(t)
				if p.parts > textproto.MaxParts {
					t.Errorf("%d parts", p.parts)
				}
				for k, name := range names.Products {
					if uses[i] == nil {
						continue
					}
					want, got := tables[uses[i][k]][name], p.tables[name]
					usable := func(h tableState, withdrawn map[string]bool) map[string]float64 {
						left := maps.Clone(h.lines)
						maps.DeleteFunc(left, func(b string, _ float64) bool { return withdrawn[b] })
						return left
					}
					if !maps.Equal(want.lines, got.lines) || want.level != got.level || want.retry != got.retry ||
						!maps.Equal(usable(want, out), usable(got, p.withdrawn)) {
						t.Errorf("seed %d, step %d, proxy %d, %s: holds %+v without %v, want %+v without %v", seed, step, i, name,
							got, p.withdrawn, want, out)
						return false
					}
				}
			}
		}
		return true
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}

// The lines sent to proxies stay within what the policy charges, and the queue within its limit, while backends and
// proxies come and go and acknowledgements are late.
func TestLinesStayWithinCharge(t *testing.T) {
	const proxyCount = 12
	kept := func(seed int64) bool {
		rnd, loop := rand.New(rand.NewSource(seed)), newTestLoop(proxyCount)
		var members []reconcile.Member
		for b := range 14 {
			m := serving(fmt.Sprint("s-", b))
			m.Zone, m.Weight = names.Zones[b%2], 1+rnd.Float64()
			members = append(members, m)
		}
		loop.SetCachedList(list(true, members...))
		dep := deploymentOf(proxyCount)
		proxies, owner := make([]*testProxy, proxyCount), map[int]int{}
		queue, mosts := 0.0, 0.0
		type answer struct{ step, proxy, number int }
		var answers []answer
		source := &testStream{}
		loop.Handle(Command{source, textproto.Source{Zone: "a"}})
		for step := range 400 {
			now := policy.Time(step+1) * policy.Second / 10
			for i, p := range proxies {
				if rnd.Intn(150) == 0 || step == i/4 {
					p = newTestProxy(step)
					proxies[i] = p
					loop.Handle(Command{p, textproto.Subscribe{Proxy: i, Zone: names.Zones[i%2], Rate: 5, Fresh: rnd.Intn(2) == 0}})
				}
				if p != nil && step%10 == 0 {
					for _, k := range names.Products {
						loop.Handle(
							Command{p, textproto.UsageReport{Proxy: i, Product: k, Txns: float64(rnd.Intn(12)), Failed: float64(rnd.Intn(2)),
								Period: policy.Second}},
						)
					}
				}
			}
			if step%10 == 5 {
				for _, m := range members {
					loop.Handle(
						Command{source, textproto.BackendReport{Zone: "a", Backend: m.ID, Attempts: 9, Failed: float64(rnd.Intn(3)),
							Latency: policy.Time(500 + rnd.Intn(9000))}},
					)
				}
			}
			if rnd.Intn(25) == 0 {
				m := &members[rnd.Intn(len(members))]
				m.Phase = []string{reconcile.Serving, reconcile.Draining, reconcile.Deleted}[rnd.Intn(3)]
				if m.Phase == reconcile.Serving {
					m.UpSince = float64(now) / 10
				}
				loop.Handle(Command{Message: list(false, *m)})
			}
			answers = slices.DeleteFunc(answers, func(a answer) bool {
				if a.step <= step {
					loop.Handle(Command{proxies[a.proxy], textproto.Ack{Proxy: a.proxy, Marker: a.number}})
				}
				return a.step <= step
			})
			// The same as Step, but the orders are inspected before they are executed.
			due := func(w timer) bool { return w.at <= now }
			if slices.ContainsFunc(loop.timers, due) {
				loop.events = append(loop.events, policy.TimerFired{})
			}
			loop.timers, loop.now = slices.DeleteFunc(loop.timers, due), now
			orders := loop.assigner.Step(now, loop.takeEvents())
			charge, ticket, cleared := make([]float64, proxyCount), 0, map[int]bool{}
			for _, o := range orders {
				if use, ok := o.(policy.AssignTable); ok {
					owner[use.Table] = use.Proxy
				}
			}
			for _, o := range orders {
				switch o := o.(type) {
				case policy.SetWeight:
					charge[owner[o.Table]]++
					hasEntry := !cleared[o.Table] && o.Backend < len(loop.tables[o.Table].weight) &&
						loop.tables[o.Table].weight[o.Backend] > 0
					if !hasEntry && loop.proxies[owner[o.Table]].initial == usabilityUnknown {
						charge[owner[o.Table]]++ // ends a withdrawal of an earlier controller
					}
					if o.Weight == 0 && loop.withdrawn[o.Backend] {
						charge[owner[o.Table]]++ // restores a backend that left the table
					}
				case policy.ClearTable:
					charge[owner[o.Table]]++
					cleared[o.Table] = true
				case policy.Admission:
					charge[owner[o.Table]]++
				case policy.AssignTable:
					charge[o.Proxy]++
				case policy.Withdraw:
					for i := range loop.proxies {
						if loop.proxies[i].stream != nil && loop.mayHaveEntry(&loop.proxies[i], o.Backend) {
							charge[i]++
						}
					}
				case policy.Marker:
					ticket = o.Number
				}
			}
			loop.execute(orders)
			queue = max(queue-dep.LinesPerSecond/10, 0)
			for i, p := range proxies {
				if p == nil || len(p.sent) == 0 {
					continue
				}
				if len(p.sent) > 1 || charge[i] == 0 {
					t.Errorf("seed %d, step %d: %d messages to a proxy, %v lines charged", seed, step, len(p.sent), charge[i])
				}
				p.apply(t)
				if lines := float64(p.cost); lines > charge[i]+1 {
					t.Errorf("seed %d, step %d, proxy %d: %v lines written, %v charged", seed, step, i, lines, charge[i]+1)
					return false
				}
				queue += dep.MessageOverhead + float64(p.cost)
				if ticket > 0 {
					answers = append(answers, answer{step + 1 + rnd.Intn(9), i, ticket})
				}
			}
			if mosts = max(mosts, queue); queue > dep.MaxQueuedLines {
				t.Errorf("seed %d, step %d: %v lines wait", seed, step, queue)
				return false
			}
		}
		return mosts > 0
	}
	if err := quick.Check(kept, &quick.Config{MaxCount: 20, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}
