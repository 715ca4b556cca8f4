package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

func TestShareRate(t *testing.T) {
	for name, c := range map[string]struct {
		level, use []float64
		silent     []bool
		total      float64
		want       []float64
	}{
		"equal at first":         {[]float64{0, 0}, []float64{1, 1}, []bool{false, false}, 20, []float64{10, 10}},
		"idle gives to busy":     {[]float64{10, 10}, []float64{5, 10}, []bool{false, false}, 20, []float64{6, 14}},
		"busy ones evened out":   {[]float64{15, 5}, []float64{15, 5}, []bool{false, false}, 20, []float64{12.5, 7.5}},
		"silent keeps its share": {[]float64{10, 10}, []float64{0, 10}, []bool{true, false}, 20, []float64{10, 10}},
		"floor":                  {[]float64{10, 10}, []float64{0, 10}, []bool{false, false}, 20, []float64{1, 19}},
		"total under the floors": {[]float64{10, 10}, []float64{9, 10}, []bool{false, false}, 1, []float64{0.5, 0.5}},
		"no total":               {[]float64{10, 10}, []float64{9, 10}, []bool{false, false}, 0, []float64{0, 0}},
	} {
		var in []*proxy
		for i := range c.level {
			in = append(in, &proxy{limit: c.level[i : i+1], rate: c.use[i : i+1], hasReported: !c.silent[i]})
		}
		shareRate(in, 0, c.total)
		for i, w := range c.want {
			if math.Abs(c.level[i]-w) > 1e-9 {
				t.Errorf("%s: levels %v, want %v", name, c.level, c.want)
			}
		}
	}
}

// Listed weights at home, no other zone while demand is even, and no orders on a quiet tick.
func TestQuiet(t *testing.T) {
	r := start(t, deployment())
	heavy := ready(1, 0)
	heavy.Weight = 3
	r.step(ListUpdate{Entries: []Entry{heavy, ready(4, 1), ready(5, 1)}})
	for range 6 {
		r.second(reports(15, calm, 1000)...)
	}
	if r.weight(0, 1, 0) != 1 || r.weight(0, 1, 1) != 3 || r.weight(0, 1, 2) != 0 || r.weight(1, 0, 0) != 0 ||
		r.count != 0 {
		t.Errorf("tables %v, %d orders on a quiet tick", r.tables, r.count)
	}
}

// A zone asked for far more than its part sends the excess of what may leave.
func TestSpill(t *testing.T) {
	r := start(t, deployment())
	for range 4 {
		r.second(append(reports(15, calm, 1000), UsageReport{Proxy: 0, Txns: 90, Period: Second})...)
	}
	if r.weight(0, 0, 2) <= 0 || r.weight(0, 1, 2) != 0 || r.weight(1, 0, 0) != 0 {
		t.Error("want the free product of zone 0 alone to open lines to zone 1")
	}
}

// What is gone for long stands in no table, and its index begins anew when it is dropped: as one that was never
// used.
func TestDropped(t *testing.T) {
	r := start(t, deployment())
	slow := reports(15, calm, 1000)
	slow = append(slow, BackendReport{Backend: 0, Attempts: 30, Failed: 30})
	cold := ready(0, 0)
	cold.StartedAt = r.now
	r.second(append(slow, ListUpdate{Entries: []Entry{cold}})...)
	r.second(ListUpdate{Entries: []Entry{{Backend: 0, Status: Gone}}})
	lines := func() (n int) {
		for _, table := range r.tables {
			if table[0] > 0 {
				n++
			}
		}
		return n
	}
	r.second()
	kept := lines()
	for r.now < 1000*Second+goneRetention+5*Second {
		r.second(reports(15, calm, 1000)...)
	}
	if kept == 0 || lines() > 0 {
		t.Errorf("%d lines of a backend that may come again, %d of one that is gone for good", kept, lines())
	}
	r.step(IndexReleased{Backend: 0}, IndexReleased{Backend: 99})
	fresh := newRig(t, deployment())
	fresh.a.ensureBackend(1)
	used, unused := reflect.ValueOf(r.a.backends), reflect.ValueOf(fresh.a.backends)
	for i := range used.NumField() {
		if got, want := used.Field(i).Index(0), unused.Field(i).Index(0); !got.Equal(want) {
			t.Errorf("%s is %v, of an index never used %v", used.Type().Field(i).Name, got, want)
		}
	}
	if r.a.proxies[0].subset[0] {
		t.Error("it is still picked")
	}
}

// What is known of a proxy: what it is said to get stands for each product until that is reported, and lets in
// what comes by chance; it outlives a stream that breaks and comes again; without news it is no longer believed.
func TestKnown(t *testing.T) {
	r := newRig(t, deployment())
	r.step(ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0)}}, ProxyConnected{Proxy: 0, Rate: 1.5})
	if l := r.gate(0, 0).RateLimit; l < 3 || l > 4 {
		t.Errorf("level %v for one that is said to get 1.5 by chance", l)
	}
	p := &r.a.proxies[0]
	r.second(UsageReport{Proxy: 0, Product: 0, Txns: 9, Period: Second})
	if p.rate[0] != 9 || p.rate[1] != 0.5 || r.gate(0, 0).RateLimit < unlimited {
		t.Errorf("use %v, level %v after a report of one product", p.rate, r.gate(0, 0).RateLimit)
	}
	r.second(ProxyDisconnected{Proxy: 0})
	r.second(ProxyConnected{Proxy: 0, Rate: 1.5})
	if p.rate[0] != 9 || r.gate(0, 0).RateLimit < unlimited {
		t.Errorf("use %v, level %v on a new stream", p.rate, r.gate(0, 0).RateLimit)
	}
	for range 20 {
		r.second()
	}
	if p.rate[0] > 0.1 {
		t.Errorf("use %v after 20 s without news", p.rate)
	}
	r.second(ProxyDisconnected{Proxy: 0})
	r.now += 2 * rateTimeout
	r.second(ProxyConnected{Proxy: 0, Rate: 1.5})
	if p.rate[0] != 0.5 || r.gate(0, 0).RateLimit >= unlimited {
		t.Errorf("use %v, level %v of one that was long away", p.rate, r.gate(0, 0).RateLimit)
	}
}

// A backend that restarts while it stands in tables is cold again at once, and grows by what it can do for sure.
func TestColdInTables(t *testing.T) {
	r := start(t, deployment())
	again := ready(0, 0)
	again.StartedAt = r.now
	r.now += Second / 2
	r.step(ListUpdate{Entries: []Entry{again}}, TimerFired{})
	at := r.weight(0, 1, 0)
	for range 6 {
		r.second(reports(15, calm, 1000)...)
	}
	if w := r.weight(0, 1, 0); at < slowStartBegin || at > 0.25 || w < 0.4 || w > 0.6 {
		t.Errorf("weight %v of a cold backend that can do a fifth, %v after 6 s of 15", at, w)
	}
}

// Where all lines are cold their weights say nothing: levels keep what comes to what they can take. A controller
// that starts into callers who ask again and again lets in no more than its proxies are said to get.
func TestColdZone(t *testing.T) {
	r := start(t, deployment())
	if l := r.gate(0, 0).RateLimit; l > 51 {
		t.Errorf("level %v at the start of a proxy that is said to get 50", l)
	}
	r.second(reports(15, calm, 1000)...)
	cold := []Entry{ready(0, 0), ready(1, 0)}
	cold[0].StartedAt, cold[1].StartedAt = r.now, r.now
	r.step(ListUpdate{Entries: []Entry{{Backend: 0}, {Backend: 1}}})
	r.second(reports(60, calm, 1000)...)
	r.step(ListUpdate{Entries: cold[:1]})
	if l := r.gate(0, 1).RateLimit; l > 30 || l <= 0 {
		t.Errorf("level %v with one cold backend for all", l)
	}
	r.step(ListUpdate{Entries: []Entry{ready(1, 0)}}) // long up: warm
	r.second(reports(60, calm, 1000)...)
	before := r.gate(0, 1).RateLimit
	if before >= unlimited {
		t.Error("a level without bound beside a cold line: callers may ask far more than was heard of")
	}
	for range 2 { // proxies shun what voids: the cold backend would get its part too
		r.second(reports(60, []float64{0, 1, 1, 1}, 1000)...)
	}
	if l := r.gate(0, 1).RateLimit; l >= before || l <= 0 {
		t.Errorf("level %v after %v where all warm backends void", l, before)
	}
}

// Drained and dropped backends leave tables in the same step, by one line a proxy however many tables have them
// and however full the channel is; where gone does not bind, dropped ones stay. They come back in when no line
// is too heavy for their ramp.
func TestDrains(t *testing.T) {
	for _, binds := range []bool{true, false} {
		d := deployment()
		d.HonorRemovals = binds
		r := start(t, d)
		r.a.queuedLines, r.count = 0.9*d.MaxQueuedLines, 0
		r.step(ListUpdate{Entries: []Entry{{Backend: 0, Status: Draining}, {Backend: 2, Status: Gone}}})
		if r.weight(0, 1, 0) != 0 || (r.weight(1, 1, 2) == 0) != binds || r.a.queuedLines > 0.92*d.MaxQueuedLines {
			t.Errorf("gone binds %v: tables %v, %v lines wait", binds, r.tables, r.a.queuedLines)
		}
		r.step(ListUpdate{Entries: []Entry{{Status: Ready, StartedAt: r.now, Weight: 1}}})
		for range 2 { // a dropped one goes once tries there fail too
			r.second(reports(15, []float64{0, 0, 1, 0}, 1000)...)
		}
		if w := r.weight(0, 1, 0); w <= 0 || w > 0.5 || r.weight(1, 1, 2) != 0 {
			t.Errorf("weight %v of a backend that is back and cold, %v of one that is dead", w, r.weight(1, 1, 2))
		}
	}
}

// With many proxies each has a few lines, every backend gets its part, and the loss of one moves few lines.
func TestPicks(t *testing.T) {
	d := deployment()
	d.Proxies, d.MinConns, d.MaxQueuedLines, d.LinesPerSecond = 300, 400, 1e6, 1e6
	r := newRig(t, d)
	l, lines := ListUpdate{Kind: ListCached}, make([]int, 40)
	for b := range lines {
		l.Entries = append(l.Entries, ready(b, b%2))
	}
	events := []Event{l}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 3})
	}
	r.step(events...)
	for p := range d.Proxies {
		for b := range lines {
			if r.weight(p, 1, b) > 0 {
				lines[b]++
			}
		}
	}
	if slices.Min(lines) < 25 || slices.Max(lines) > 35 { // 300 proxies of 4 lines over 40
		t.Errorf("lines by backend: %v", lines)
	}
	r.step(ListUpdate{Entries: []Entry{{Backend: 0, Status: Gone}}})
	if r.second(); r.count > 400 {
		t.Errorf("%d orders for the loss of one backend in 40", r.count)
	}
}

// A proxy that joins again is bound anew; one that crossed to a full channel waits, the busiest first.
func TestJoins(t *testing.T) {
	d := deployment()
	d.MaxQueuedLines = 40
	r := start(t, d)
	r.second()
	r.step(ProxyDisconnected{Proxy: 0})
	r.uses = map[[2]int]int{}
	r.now += 10 * Second
	r.step(
		MarkerAcked{Proxy: 1, Number: r.a.batch},
		ProxyConnected{Proxy: 0, Zone: 0, Rate: 5},
		ProxyConnected{Proxy: 2, Zone: 0, Rate: 500},
	)
	if _, ok := r.uses[[2]int{2, 0}]; !ok || len(r.uses) != len(d.Products) {
		t.Errorf("bound: %v, want the busiest alone: the channel has room for no more", r.uses)
	}
	r.now += 10 * Second
	r.step(MarkerAcked{Proxy: 2, Number: r.a.batch}, TimerFired{})
	if _, ok := r.uses[[2]int{0, 0}]; !ok {
		t.Error("the other proxy was not bound later")
	}
}

// A proxy that brings another controller's shut-outs is charged a line more for each first line, and no other is.
func TestBrings(t *testing.T) {
	charged := func(brings bool) (queue, lines float64) {
		r := start(t, deployment())
		r.second()
		r.step(
			MarkerAcked{Proxy: 0, Number: r.a.batch},
			MarkerAcked{Proxy: 1, Number: r.a.batch},
			ProxyDisconnected{Proxy: 0},
		)
		before := r.a.queuedLines
		for _, o := range r.step(ProxyConnected{Proxy: 0, Zone: 0, Rate: 50, HasPeerTables: brings}) {
			if _, ok := o.(SetWeight); ok {
				lines++
			}
		}
		return r.a.queuedLines - before, lines
	}
	plain, lines := charged(false)
	if more, _ := charged(true); lines == 0 || more-plain != lines {
		t.Errorf("%v charged for one that brings shut-outs, %v for another, with %v lines", more, plain, lines)
	}
}

// However often the list changes, a proxy is written no more than the site allows, and the channel no fuller.
func TestChannel(t *testing.T) {
	d := deployment()
	d.MaxQueuedLines = 120
	r := start(t, d)
	messages, lines := 1, 0.0
	for i := range 60 {
		r.now += Second / 10
		again := ready(i%4, i%4/2)
		again.StartedAt = r.now
		r.step(ListUpdate{Entries: []Entry{again}})
		messages, lines = max(messages, len(r.a.proxies[0].sent)), max(lines, r.a.queuedLines)
	}
	if messages > d.MaxMessages || lines > d.MaxQueuedLines+6*minPaceFraction*d.LinesPerSecond {
		t.Errorf("%d messages to one proxy, %v lines without an answer", messages, lines)
	}
}

// Overload: the least revenue is held back first, and the total comes back to the knee once answers are quick.
// Time-outs of before the cut, heard of for seconds, do not cut it again and again.
func TestOverload(t *testing.T) {
	r := start(t, deployment())
	r.second(reports(50, calm, 1000)...)
	if r.a.totalLimit != 0 {
		t.Fatal("bounded without overload")
	}
	r.second(reports(50, []float64{.3, .3, .3, .3}, 6000)...)
	first := r.a.totalLimit
	if first <= 0 || r.gate(0, 0).RateLimit >= 50 || r.gate(0, 1).RateLimit != unlimited {
		t.Fatalf("total %v, levels %v and %v: want the least revenue held back alone", first, r.gate(0, 0), r.gate(0, 1))
	}
	for range 4 {
		r.second(reports(50, []float64{.9, .9, .9, .9}, 6000)...)
	}
	if r.a.totalLimit < first {
		t.Errorf("total cut from %v to %v by what was sent before", first, r.a.totalLimit)
	}
	r.second(reports(50, []float64{.1, .1, .1, .1}, 1000)...)
	if r.a.totalLimit != r.a.knee || r.gate(0, 0).Retries != RetryUnexecuted {
		t.Errorf("total %v, knee %v: quick answers did not end the cut", r.a.totalLimit, r.a.knee)
	}
	knee := r.a.totalLimit
	for range 5 { // callers whose txns were declined ask again meanwhile
		r.second(reports(80, calm, 1000)...)
	}
	if r.a.totalLimit < 1.4*knee {
		t.Errorf("total rose from %v to %v in 5 s of answers that are far from late", knee, r.a.totalLimit)
	}
	for range 120 {
		r.second(reports(20, calm, 1000)...)
	}
	if r.a.totalLimit != 0 || r.gate(0, 0).RateLimit != unlimited || r.gate(1, 0).RateLimit != unlimited {
		t.Error("levels stayed after the overload")
	}
}

// A total that was bounded while few proxies had joined follows as the others come: their part comes with them.
func TestTotalFollowsProxies(t *testing.T) {
	r := start(t, deployment())
	r.second(reports(50, []float64{.3, .3, .3, .3}, 6000)...)
	before := r.a.totalLimit
	r.second(ProxyConnected{Proxy: 2, Zone: 0, Rate: 150}, ProxyConnected{Proxy: 3, Zone: 1, Rate: 150})
	if before <= 0 || r.a.totalLimit < 1.9*before {
		t.Errorf("total %v after %v though twice as many proxies are joined", r.a.totalLimit, before)
	}
}

// All proxies of a wide fleet come to one controller at once: the busiest are seen to first, nothing goes over the
// channel's limit, each has its tables after a few seconds, and then a calm second orders next to nothing.
func TestWide(t *testing.T) {
	const proxies, backends = 400, 30
	d := deployment()
	d.Proxies, d.MinConns = proxies, 500
	r := newRig(t, d)
	var list []Entry
	for b := range backends {
		list = append(list, ready(b, b%2))
	}
	r.step(ListUpdate{Kind: ListCached, Entries: list})
	var joins []Event
	for p := range proxies {
		joins = append(joins, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 1 + float64(p%40), HasPeerTables: true})
	}
	lines := func(orders []Order) (first, least, n float64) {
		for _, o := range orders {
			switch o := o.(type) {
			case AssignTable:
				rate := 1 + float64(o.Proxy%40)
				if n += d.MessageOverhead; least == 0 {
					first = rate
				}
				least = rate
			case SetWeight, Admission, ClearTable, Marker:
				n++
			}
		}
		return first, least, n
	}
	waits, seconds := 0.0, 0
	for bound := 0; bound < proxies; seconds++ {
		first, least, n := lines(r.second(joins...))
		joins = nil
		if waits = max(waits-d.LinesPerSecond, 0) + n; waits > d.MaxQueuedLines || first < least {
			t.Fatalf("second %d: %v lines wait, one of %v/s before one of %v/s", seconds, waits, first, least)
		}
		bound = 0
		for p := range r.a.proxies {
			if r.a.proxies[p].assigned {
				bound++
			}
		}
		if seconds > 12 {
			t.Fatalf("%d of %d proxies have tables after %d s", bound, proxies, seconds)
		}
	}
	if _, _, n := lines(r.second()); n > d.LinesPerSecond/2 {
		t.Errorf("%v lines in a calm second", n)
	}
}

// A controller that starts while others die: proxies join one by one, the busiest first. What is held to be
// served, and the most for a unit of weight, follow them; a first cut is not made from a part of the fleet.
func TestServedFollowsProxies(t *testing.T) {
	r := newRig(t, deployment())
	r.step(ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}},
		ProxyConnected{Proxy: 0, Rate: 24})
	for range 4 {
		r.second()
	}
	r.second(ProxyConnected{Proxy: 1, Rate: 6}, ProxyConnected{Proxy: 2, Rate: 6}, ProxyConnected{Proxy: 3, Rate: 6})
	for p := range 4 {
		r.step(UsageReport{Proxy: p, Product: 0, Txns: 4, Period: Second})
	}
	for range 20 {
		r.second(reports(4, calm, 1000)...)
	}
	if pace := r.a.served / 4; r.a.throughput > 2*pace {
		t.Errorf("pace %v where %v is served for a unit of weight", r.a.throughput, pace)
	}
	served := r.a.served
	if r.second(
		append(
			reports(4, calm, 1000),
			ProxyDisconnected{Proxy: 2},
			ProxyDisconnected{Proxy: 3},
		)...); r.a.served > 0.7*served {
		t.Errorf("%v of %v served after half of the proxies left", r.a.served, served)
	}
}

// All slow together is nobody's illness: weights stay, also when one second is heard again and again.
func TestHot(t *testing.T) {
	r := start(t, deployment())
	r.second(reports(15, calm, 9000)...)
	if r.a.backends.derating[0] != 1 {
		t.Error("relieved though all are slow alike")
	}
	slow := reports(15, calm, 1000)
	slow[0] = BackendReport{Backend: 0, Attempts: 30, Latency: 9000}
	r.second(slow...)
	r.second(slow...)
	if got := r.a.backends.derating[0]; got != deratingStep {
		t.Errorf("relief %v after two ticks of the same news, want one step to %v", got, deratingStep)
	}
	for range 40 {
		r.second(slow...)
	}
	if r.a.backends.derating[0] != minDerating || r.weight(0, 1, 0) <= 0 {
		t.Error("a slow backend must keep a small line, so that its return shows")
	}
	for range 60 {
		r.second(reports(15, calm, 1000)...)
	}
	if r.weight(0, 1, 0) < 0.9 {
		t.Error("weight did not come back")
	}
}

// What backends say they hold shows an overload before late answers do, by reports or probes.
func TestHeld(t *testing.T) {
	for _, held := range []float64{5, 20} {
		d := deployment()
		d.Probes, d.Gauges = true, []Gauge{GaugeOther, GaugeInFlight}
		r := start(t, d)
		probed := slices.Contains(r.second(reports(15, calm, 1000)...), Order(Probe{Backend: 3}))
		e := reports(15, calm, 1000)
		for b := range 4 {
			e = append(e, ProbeResult{Backend: b, Load: []float64{0.9, held}})
		}
		r.second(e...)
		if !probed || (r.a.totalLimit > 0) != (held > 10) {
			t.Errorf("probed %v, %v held: total %v", probed, held, r.a.totalLimit)
		}
	}
}

// Levels as shares, no levels, slices, discovery that is asked: nothing is ordered that is an error there.
func TestOtherDeployments(t *testing.T) {
	d := deployment()
	for kind, most := range map[LimitKind]float64{LimitShare: 0.99, LimitNone: unlimited} {
		d.Limits, d.ListOnRequest = kind, true
		r := start(t, d)
		for range 4 {
			r.second(reports(50, []float64{.4, .4, .4, .4}, 6000)...)
		}
		if l := r.gate(0, 0).RateLimit; l <= 0 || l > most || kind == LimitNone && l < unlimited {
			t.Errorf("kind %v: level %v under overload", kind, l)
		}
		r.step(ListUpdate{Kind: ListFailed})
		if !slices.Contains(r.second(), Order(WatchList{Enabled: true})) {
			t.Error("the list was not asked for again")
		}
	}
	d.Shards = 10
	r := start(t, d)
	orders := r.step(ListUpdate{Entries: []Entry{{Backend: 1, Status: Draining}}})
	if len(r.uses) != 0 || len(orders) != 2 || orders[0] != (Order)(Withdraw{Backend: 1, Withdrawn: true}) {
		t.Errorf("with slices: %v", orders)
	}
}

// A channel that is slowed far below what one is held to keep: what was written is counted until it is answered for,
// so that the limit holds, and what can wait is held back while it is still worth something.
func TestSlowedChannel(t *testing.T) {
	d := deployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = 60, 200, 2000, 0
	r := newRig(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}}}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5})
	}
	type written struct {
		batch int
		lines float64
	}
	var channel []written
	waiting, most, counted := 0.0, 0.0, 0
	for i := range 120 {
		for left := 0.05 * d.LinesPerSecond; len(channel) > 0 && left > 0; { // a twentieth of its pace
			now := min(left, channel[0].lines)
			channel[0].lines, left, waiting = channel[0].lines-now, left-now, waiting-now
			if channel[0].lines == 0 {
				events, channel = append(events, MarkerAcked{Proxy: i % d.Proxies, Number: channel[0].batch}), channel[1:]
			}
		}
		b := i % 4
		events = append(events, ListUpdate{Entries: []Entry{{Backend: b, Zone: b / 2, Status: Draining, Weight: 1}}},
			ListUpdate{Entries: []Entry{{Backend: b, Zone: b / 2, Status: Ready, Weight: 1 + float64(i%3), StartedAt: r.now}}})
		r.now += Second
		r.step(append(events, TimerFired{})...)
		events = nil
		if r.a.batch == counted {
			continue
		}
		counted = r.a.batch
		lines := 0.0
		for _, p := range r.a.connected {
			if n := len(p.sent); n > 0 && p.sent[n-1].batch == counted {
				lines += p.sent[n-1].cost
			}
		}
		channel, waiting = append(channel, written{counted, lines}), waiting+lines
		most = max(most, waiting)
	}
	if most > d.MaxQueuedLines || most < d.LinesPerSecond {
		t.Errorf("%v lines waited where %v may", most, d.MaxQueuedLines)
	}
}

// What was written within a second of what was answered may still wait: messages go by sockets of their own, and those
// of a small batch get ahead of those of a large one before it. The large one is not taken for gone then.
func TestOvertaken(t *testing.T) {
	d := deployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = 200, 1000, 4000, 0
	r := newRig(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}}}
	for p := range d.Proxies - 1 {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5, HasPeerTables: true})
	}
	r.step(events...)
	large := r.a.unackedLines
	r.now += Second / 20
	r.step(ProxyConnected{Proxy: d.Proxies - 1, Zone: 0, Rate: 5000})
	r.now += Second / 2
	r.step(
		MarkerAcked{Proxy: d.Proxies - 1, Number: r.a.batch},
		ListUpdate{Entries: []Entry{{Backend: 0, Zone: 0, Status: Draining, Weight: 1}}},
	)
	if large < 500 || r.a.unackedLines < large {
		t.Errorf("%v lines may wait after a later batch was answered, %v of the first one do", r.a.unackedLines, large)
	}
	for i := range r.a.proxies { // what each answers for itself has left
		r.step(MarkerAcked{Proxy: i, Number: r.a.batch})
	}
	before := r.now
	r.now += Second / 10
	r.step(TimerFired{})
	for _, p := range r.a.connected {
		for _, m := range p.sent {
			if m.sentAt <= before && r.a.inChannel(m) {
				t.Fatalf("a message counts that its proxy has answered")
			}
		}
	}
	// What was written more than a second before what was answered has left, whoever is silent.
	r.now += 3 * Second
	r.step(TimerFired{})
	batch := r.a.batch
	r.now += 3 * Second
	r.step(MarkerAcked{Proxy: 0, Number: batch}, TimerFired{})
	for _, p := range r.a.connected {
		for _, m := range p.sent {
			if r.a.inChannel(m) && m.sentAt <= r.a.writtenAt[batch%len(r.a.writtenAt)]-reorderWindow {
				t.Fatalf(
					"a message of %v counts, batch %d of %v was answered",
					m.sentAt,
					batch,
					r.a.writtenAt[batch%len(r.a.writtenAt)],
				)
			}
		}
	}
}
