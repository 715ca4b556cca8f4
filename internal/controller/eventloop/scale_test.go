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

// Reports come faster than a step takes them: what is taken in a moment is bounded, the rest waits at its senders, and
// a drain that is there before the moment ends is in its step, behind however many reports.
func TestManyCase6Reports(t *testing.T) {
	d, queue, lists, over := newDesk(4), make(chan Command, 8), make(chan Command, 4), make(chan time.Time, 1)
	d.SetCachedList(list(true, serving("s-0"), serving("s-1")))
	stream := &line{since: 1}
	d.Handle(Command{stream, textproto.Subscribe{Proxy: 0, Zone: "a", Rate: 1, Fresh: true}})
	d.Step(1000 * policy.Second)
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
	d.collect(queue, lists, over)
	close(stop)
	taken := len(d.events)
	stream.take()
	d.Step(1001 * policy.Second)
	if text := fmt.Sprint(stream.take()); !strings.Contains(text, "out=s-0") {
		t.Errorf("the drain is not told in its step: %s", text)
	}
	// Until the select meets the end of the moment it takes one piece after the other; then only what had come.
	if n := <-sent; n > taken+cap(queue)+1 {
		t.Errorf("%d reports were taken off their senders, %d are in the step", n, taken)
	}
}

// bigFleet is a desk at full size, its streams and what each second brings.
type bigFleet struct {
	d       *Loop
	streams []*line
	now     policy.Time
	made    int // backends so far
	here    []reconcile.Member
}

func newBigFleet(proxies, backends int) *bigFleet {
	f := &bigFleet{d: newDesk(proxies), now: 1000 * policy.Second, streams: make([]*line, proxies)}
	for range backends {
		f.here = append(f.here, f.backend())
	}
	f.d.SetCachedList(list(true, f.here...))
	return f
}

func (f *bigFleet) backend() reconcile.Member {
	m := serving(fmt.Sprint("s-", f.made))
	m.Zone = names.Zones[f.made%2]
	f.made++
	return m
}

func (f *bigFleet) join(from, to int, since uint64) {
	for i := from; i < to; i++ {
		if f.streams[i] != nil {
			f.d.Handle(Command{f.streams[i], textproto.Closed{}})
		}
		f.streams[i] = &line{since: since}
		f.d.Handle(Command{f.streams[i], textproto.Subscribe{Proxy: i, Zone: names.Zones[i%2], Rate: 5}})
	}
}

// second lets all proxies report and answer, and the module tick.
func (f *bigFleet) second() {
	for i, s := range f.streams {
		if s == nil {
			continue
		}
		for _, k := range names.Products {
			f.d.Handle(Command{s, textproto.UsageReport{Proxy: i, Product: k, Txns: float64(i % 7), Period: policy.Second}})
		}
		for _, m := range f.d.proxies[i].pendingMarkers {
			f.d.Handle(Command{s, textproto.Ack{Proxy: i, Marker: m}})
		}
		s.sent = nil
	}
	f.now += policy.Second
	f.d.Step(f.now)
}

// A controller that owned a fifth of the fleet owns all of it a second later: what it keeps stays within half of the
// memory that the smallest such controller has, sockets and all, and falls again when they leave.
func TestTrialCase6OwnsAll(t *testing.T) {
	const proxies, backends = 2400, 200
	f := newBigFleet(proxies, backends)
	f.join(0, proxies/5, 1)
	for range 3 {
		f.second()
	}
	f.join(proxies/5, proxies, 2)
	for range 3 {
		f.second()
	}
	if n := len(f.d.proxyOf); n != proxies {
		t.Fatalf("%d joined", n)
	}
	// A connection costs about 20 kB beside this: its goroutines, buffers and descriptors.
	if all := live(); all > 48<<20 {
		t.Errorf("%d MB live with all proxies joined", all>>20)
	}
	runtime.KeepAlive(f)
}

// Ten days of churn in a row, each with a release of six in ten backends and all proxies joining anew twice: live
// heap and the count of what is kept stay level.
func TestManyCase8TenDays(t *testing.T) {
	const proxies, backends = 60, 40
	f := newBigFleet(proxies, backends)
	var heap []uint64
	var kept []int
	for day := range 10 {
		for turn := range 2 {
			f.join(0, proxies, uint64(2*day+turn+1))
			f.second()
		}
		for i := range f.here {
			if i%5 < 3 {
				gone := f.here[i]
				gone.Phase = reconcile.Deleted
				f.here[i] = f.backend()
				f.d.Handle(Command{Message: list(false, gone, f.here[i])})
				f.second()
			}
		}
		for range 70 { // until what is gone has given its place back
			f.second()
		}
		heap = append(heap, live())
		kept = append(kept, len(f.d.backends)+len(f.d.index)+len(f.d.proxyOf)+len(f.d.tables)+len(f.d.timers))
		t.Logf(
			"day %d: %d kB live; %d places, %d names, %d streams, %d tables, %d wakes",
			day+1,
			heap[day]>>10,
			len(f.d.backends),
			len(f.d.index),
			len(f.d.proxyOf),
			len(f.d.tables),
			len(f.d.timers),
		)
	}
	runtime.KeepAlive(f)
	if heap[9] > heap[2]+heap[2]/20+64<<10 || kept[9] > kept[2] {
		t.Errorf("live heap by days %v, what is kept %v", heap, kept)
	}
}

// A proxy that waits for its first table is told of the drains that are ordered meanwhile, one line each as they
// were charged, and not with each of them of all that are shut out: at full size those were more than the channel
// holds. Where telling all that wait would take longer than a table with few lines, those that brought tables are
// told with it.
func TestShutWhileWaiting(t *testing.T) {
	for _, speed := range []float64{100, 30} {
		shutWhileWaiting(t, speed, speed < 50)
	}
}

func shutWhileWaiting(t *testing.T, speed float64, slow bool) {
	dep := deploymentOf(40)
	dep.LinesPerSecond, dep.MaxQueuedLines = speed, 6000
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := New(dep, names, &asked{}, logrus.NewEntry(log))
	whole := list(true)
	for i := range 12 {
		whole.Members = append(whole.Members, serving(fmt.Sprint("s-", i)))
	}
	d.SetCachedList(whole)
	streams := make([]*line, dep.Proxies)
	join := func(from, to int) {
		for i := from; i < to; i++ {
			streams[i] = &line{since: uint64(i + 1)}
			d.Handle(Command{streams[i], textproto.Subscribe{Proxy: i, Zone: "a", Rate: 5, Fresh: i%2 == 0}})
		}
	}
	join(0, 20)
	now := 1000 * policy.Second
	d.Step(now)
	waiting := 0
	for i := range 8 {
		if i == 4 { // these come when four are shut out
			join(20, 40)
		}
		drain := serving(fmt.Sprint("s-", i))
		drain.Phase = reconcile.Draining
		d.Handle(Command{Message: list(false, drain)})
		now += policy.Second / 10
		d.Step(now)
		for p, s := range streams {
			if s == nil {
				continue
			}
			text := strings.Join(s.take(), "")
			if d.proxies[p].tables[0] != none || text == "" {
				continue
			}
			waiting++
			if !strings.Contains(text, fmt.Sprintf(" out=s-%d ", i)) || slow {
				t.Fatalf("drain %d: proxy %d, which waits, is told %q", i, p, text)
			}
		}
	}
	if waiting < 60 && !slow {
		t.Errorf("%d messages to proxies that wait", waiting)
	}
}

// Clients' repeats come beside spoilt reports: one that cannot be read, or is about nobody, counts for nothing, and the
// good ones around it count whole.
func TestTrialCase5Spoilt(t *testing.T) {
	d, s := newDesk(4), &line{since: 1}
	d.SetCachedList(list(true, serving("s-0")))
	hear := func(text string) {
		said, err := textproto.Parse([]byte(text))
		if said != nil {
			d.Handle(Command{s, said})
		} else {
			s.RecordFault(err)
		}
	}
	hear("SUBSCRIBE node=0 locality=a w=5 cold=1")
	d.heard()
	for _, spoilt := range []string{"RATE node=0 route=look total=-4 errors=0 interval=1000", "RATE node=0 " +
		"route=look total=1e99 errors=0 interval=1000",
		"RATE node=0 route=look errors=0 interval=1000",
		"RATE node=0 route=none total=4 errors=0 interval=1000",
		"RATE node=3 route=look total=4000 errors=0 interval=1000",
		"RATE node=0 route=look total=4 errors=0 interval=0", "LOAD locality=a endpoint=s-9 total=9 errors=1 rtt=3 " +
			"interval=1000",
		"LOAD locality=a endpoint=s-0 total=9 errors=12 rtt=3 interval=1000", "LOAD locality=z endpoint=s-0 total=9 " +
			"errors=1 rtt=3 interval=1000"} {
		hear("RATE node=0 route=look total=9 errors=1 interval=1000")
		hear(spoilt)
		events := d.heard()
		if len(events) != 1 || events[0] != (policy.UsageReport{Proxy: 0, Txns: 9, Failed: 1, Period: policy.Second}) {
			t.Errorf("beside %q: %v", spoilt, events)
		}
	}
	if len(s.faults) < 7 || s.over {
		t.Errorf("%d faults are noted, ended %v", len(s.faults), s.over)
	}
}
