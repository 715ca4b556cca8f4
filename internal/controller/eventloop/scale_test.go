package eventloop

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// If reports arrive faster than they are handled, a step handles a bounded number of them, and a drain that arrives
// before the end of the tick is part of its step.
func TestDrainIsNotDelayedByReports(t *testing.T) {
	loop, queue, lists, over := newTestLoop(4), make(chan Command, 8), make(chan Command, 4), make(chan time.Time, 1)
	loop.SetCachedList(list(true, serving("s-0"), serving("s-1")))
	stream := &testStream{sequence: 1}
	loop.Handle(Command{stream, textproto.Subscribe{Proxy: 0, Zone: "a", Rate: 1, Fresh: true}})
	loop.Step(1000 * policy.Second)
	const reports = 5000
	sent, stop := make(chan int, 1), make(chan bool)
	go func() {
		n := 0
		for ; n < reports; n++ {
			select {
			case queue <- Command{stream, textproto.UsageReport{Proxy: 0, Product: "look", Txns: 1, Period: policy.Second}}:
			case <-stop:
				sent <- n
				return
			}
		}
		sent <- n
	}()
	for len(queue) < cap(queue) {
		runtime.Gosched()
	}
	drain := serving("s-0")
	drain.Phase = reconcile.Draining
	lists <- Command{Message: list(false, drain)}
	over <- time.Time{}
	loop.collect(queue, lists, over)
	close(stop)
	taken := len(loop.events)
	stream.take()
	loop.Step(1001 * policy.Second)
	if text := fmt.Sprint(stream.take()); !strings.Contains(text, "out=s-0") {
		t.Errorf("the step does not send the drain: %s", text)
	}
	// collect handles commands until the end of the tick, then at most a full queue.
	if n := <-sent; n > taken+cap(queue)+1 {
		t.Errorf("%d reports were read from the queue, %d are in the step", n, taken)
	}
}

// bigFleet is a loop with many proxies and backends.
type bigFleet struct {
	loop    *Loop
	streams []*testStream
	now     policy.Time
	created int // backends
	members []reconcile.Member
}

func newBigFleet(proxies, backends int) *bigFleet {
	f := &bigFleet{loop: newTestLoop(proxies), now: 1000 * policy.Second, streams: make([]*testStream, proxies)}
	for range backends {
		f.members = append(f.members, f.backend())
	}
	f.loop.SetCachedList(list(true, f.members...))
	return f
}

func (f *bigFleet) backend() reconcile.Member {
	m := serving(fmt.Sprint("s-", f.created))
	m.Zone = names.Zones[f.created%2]
	f.created++
	return m
}

func (f *bigFleet) connect(from, to int, sequence uint64) {
	for i := from; i < to; i++ {
		if f.streams[i] != nil {
			f.loop.Handle(Command{f.streams[i], textproto.Closed{}})
		}
		f.streams[i] = &testStream{sequence: sequence}
		f.loop.Handle(Command{f.streams[i], textproto.Subscribe{Proxy: i, Zone: names.Zones[i%2], Rate: 5}})
	}
}

// second lets all proxies report and acknowledge, and runs a step.
func (f *bigFleet) second() {
	for i, s := range f.streams {
		if s == nil {
			continue
		}
		for _, k := range names.Products {
			f.loop.Handle(Command{s, textproto.UsageReport{Proxy: i, Product: k, Txns: float64(i % 7), Period: policy.Second}})
		}
		for _, m := range f.loop.proxies[i].pendingMarkers {
			f.loop.Handle(Command{s, textproto.Ack{Proxy: i, Marker: m}})
		}
		s.sent = nil
	}
	f.now += policy.Second
	f.loop.Step(f.now)
}

// Memory stays bounded when a controller with a fifth of the proxies gets all of them within a second.
func TestMemoryWithAllProxiesConnected(t *testing.T) {
	const proxies, backends = 2400, 200
	f := newBigFleet(proxies, backends)
	f.connect(0, proxies/5, 1)
	for range 3 {
		f.second()
	}
	f.connect(proxies/5, proxies, 2)
	for range 3 {
		f.second()
	}
	if n := len(f.loop.proxyOf); n != proxies {
		t.Fatalf("%d proxies connected", n)
	}
	// Connections need further memory for goroutines and buffers.
	if all := liveHeap(); all > 48<<20 {
		t.Errorf("%d MB of heap with all proxies connected", all>>20)
	}
	runtime.KeepAlive(f)
}

// Memory does not grow over ten days, each with a replacement of most backends and two reconnects of all proxies.
func TestMemoryUnderChurn(t *testing.T) {
	const proxies, backends = 60, 40
	f := newBigFleet(proxies, backends)
	var heap []uint64
	var kept []int
	for day := range 10 {
		for turn := range 2 {
			f.connect(0, proxies, uint64(2*day+turn+1))
			f.second()
		}
		for i := range f.members {
			if i%5 < 3 {
				gone := f.members[i]
				gone.Phase = reconcile.Deleted
				f.members[i] = f.backend()
				f.loop.Handle(Command{Message: list(false, gone, f.members[i])})
				f.second()
			}
		}
		for range 70 { // until the indices of removed backends are released
			f.second()
		}
		heap = append(heap, liveHeap())
		kept = append(kept, len(f.loop.backends)+len(f.loop.index)+len(f.loop.proxyOf)+len(f.loop.tables)+len(f.loop.timers))
		t.Logf(
			"day %d: %d kB of heap; %d indices, %d names, %d streams, %d tables, %d timers",
			day+1,
			heap[day]>>10,
			len(f.loop.backends),
			len(f.loop.index),
			len(f.loop.proxyOf),
			len(f.loop.tables),
			len(f.loop.timers),
		)
	}
	runtime.KeepAlive(f)
	if heap[9] > heap[2]+heap[2]/20+64<<10 || kept[9] > kept[2] {
		t.Errorf("heap by day %v, objects by day %v", heap, kept)
	}
}

// A proxy that waits for its first table is notified only of new withdrawals, not of all earlier ones with each
// message. If lines are so scarce that a small table arrives sooner, it is notified with that table.
func TestWithdrawalsBeforeFirstTable(t *testing.T) {
	for _, speed := range []float64{100, 30} {
		testWithdrawalsBeforeFirstTable(t, speed, speed < 50)
	}
}

func testWithdrawalsBeforeFirstTable(t *testing.T, speed float64, slow bool) {
	dep := deploymentOf(40)
	dep.LinesPerSecond, dep.MaxQueuedLines = speed, 6000
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := New(dep, names, &testLists{}, logrus.NewEntry(log))
	whole := list(true)
	for i := range 12 {
		whole.Members = append(whole.Members, serving(fmt.Sprint("s-", i)))
	}
	loop.SetCachedList(whole)
	streams := make([]*testStream, dep.Proxies)
	join := func(from, to int) {
		for i := from; i < to; i++ {
			streams[i] = &testStream{sequence: uint64(i + 1)}
			loop.Handle(Command{streams[i], textproto.Subscribe{Proxy: i, Zone: "a", Rate: 5, Fresh: i%2 == 0}})
		}
	}
	join(0, 20)
	now := 1000 * policy.Second
	loop.Step(now)
	waiting := 0
	for i := range 8 {
		if i == 4 { // these connect after four withdrawals
			join(20, 40)
		}
		drain := serving(fmt.Sprint("s-", i))
		drain.Phase = reconcile.Draining
		loop.Handle(Command{Message: list(false, drain)})
		now += policy.Second / 10
		loop.Step(now)
		for p, s := range streams {
			if s == nil {
				continue
			}
			text := strings.Join(s.take(), "")
			if loop.proxies[p].tables[0] != none || text == "" {
				continue
			}
			waiting++
			if !strings.Contains(text, fmt.Sprintf(" out=s-%d ", i)) || slow {
				t.Fatalf("drain %d: proxy %d, which has no table, got %q", i, p, text)
			}
		}
	}
	if waiting < 60 && !slow {
		t.Errorf("%d messages to proxies without a table", waiting)
	}
}

// A report that is malformed or has unknown names is ignored, and valid ones around it still count.
func TestInvalidReportsAreIgnored(t *testing.T) {
	loop, s := newTestLoop(4), &testStream{sequence: 1}
	loop.SetCachedList(list(true, serving("s-0")))
	receive := func(text string) {
		said, err := textproto.Parse([]byte(text))
		if said != nil {
			loop.Handle(Command{s, said})
		} else {
			s.RecordFault(err)
		}
	}
	receive("SUBSCRIBE node=0 locality=a w=5 cold=1")
	loop.takeEvents()
	for _, invalid := range []string{"RATE node=0 route=look total=-4 errors=0 interval=1000", "RATE node=0 " +
		"route=look total=1e99 errors=0 interval=1000",
		"RATE node=0 route=look errors=0 interval=1000",
		"RATE node=0 route=none total=4 errors=0 interval=1000",
		"RATE node=3 route=look total=4000 errors=0 interval=1000",
		"RATE node=0 route=look total=4 errors=0 interval=0", "LOAD locality=a endpoint=s-9 total=9 errors=1 rtt=3 " +
			"interval=1000",
		"LOAD locality=a endpoint=s-0 total=9 errors=12 rtt=3 interval=1000", "LOAD locality=z endpoint=s-0 total=9 " +
			"errors=1 rtt=3 interval=1000"} {
		receive("RATE node=0 route=look total=9 errors=1 interval=1000")
		receive(invalid)
		events := loop.takeEvents()
		if len(events) != 1 || events[0] != (policy.UsageReport{Proxy: 0, Txns: 9, Failed: 1, Period: policy.Second}) {
			t.Errorf("with %q: %v", invalid, events)
		}
	}
	if len(s.faults) < 7 || s.replaced {
		t.Errorf("%d faults are recorded, replaced %v", len(s.faults), s.replaced)
	}
}
