package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

func TestShareRate(t *testing.T) {
	for name, c := range map[string]struct {
		limit, rate []float64
		unreported  []bool
		total       float64
		want        []float64
	}{
		"initially equal":            {[]float64{0, 0}, []float64{1, 1}, []bool{false, false}, 20, []float64{10, 10}},
		"idle gives to busy":         {[]float64{10, 10}, []float64{5, 10}, []bool{false, false}, 20, []float64{6, 14}},
		"busy ones evened out":       {[]float64{15, 5}, []float64{15, 5}, []bool{false, false}, 20, []float64{12.5, 7.5}},
		"unreported keeps its share": {[]float64{10, 10}, []float64{0, 10}, []bool{true, false}, 20, []float64{10, 10}},
		"floor":                      {[]float64{10, 10}, []float64{0, 10}, []bool{false, false}, 20, []float64{1, 19}},
		"total under the floors":     {[]float64{10, 10}, []float64{9, 10}, []bool{false, false}, 1, []float64{0.5, 0.5}},
		"no total":                   {[]float64{10, 10}, []float64{9, 10}, []bool{false, false}, 0, []float64{0, 0}},
	} {
		var in []*proxy
		for i := range c.limit {
			in = append(in, &proxy{limit: c.limit[i : i+1], rate: c.rate[i : i+1], hasReported: !c.unreported[i]})
		}
		shareRate(in, 0, c.total)
		for i, w := range c.want {
			if math.Abs(c.limit[i]-w) > 1e-9 {
				t.Errorf("%s: limits %v, want %v", name, c.limit, c.want)
			}
		}
	}
}

// At even demand all traffic stays in its zone with the listed weights, and a tick without changes sends nothing.
func TestSteadyState(t *testing.T) {
	r := startHarness(t, testDeployment())
	heavy := readyEntry(1, 0)
	heavy.Weight = 3
	r.step(ListUpdate{Entries: []Entry{heavy, readyEntry(4, 1), readyEntry(5, 1)}})
	for range 6 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if r.weight(0, 1, 0) != 1 || r.weight(0, 1, 1) != 3 || r.weight(0, 1, 2) != 0 || r.weight(1, 0, 0) != 0 ||
		r.tableOrders != 0 {
		t.Errorf("tables %v, %d orders in a steady state", r.tables, r.tableOrders)
	}
}

// The excess demand of a zone spills over, but only for products that may leave the zone.
func TestSpillover(t *testing.T) {
	r := startHarness(t, testDeployment())
	for range 4 {
		r.tick(append(secondOfReports(15, noFailures, 1000), UsageReport{Proxy: 0, Txns: 90, Period: Second})...)
	}
	if r.weight(0, 0, 2) <= 0 || r.weight(0, 1, 2) != 0 || r.weight(1, 0, 0) != 0 {
		t.Error("only the unrestricted product of zone 0 should spill over to zone 1")
	}
}

// A removed backend loses its lines after goneRetention, and a released index has the state of an unused one.
func TestReleasedIndex(t *testing.T) {
	r := startHarness(t, testDeployment())
	failing := secondOfReports(15, noFailures, 1000)
	failing = append(failing, BackendReport{Backend: 0, Attempts: 30, Failed: 30})
	restarted := readyEntry(0, 0)
	restarted.StartedAt = r.now
	r.tick(append(failing, ListUpdate{Entries: []Entry{restarted}})...)
	r.tick(ListUpdate{Entries: []Entry{{Backend: 0, Status: Gone}}})
	lines := func() (n int) {
		for _, table := range r.tables {
			if table[0] > 0 {
				n++
			}
		}
		return n
	}
	r.tick()
	kept := lines()
	for r.now < 1000*Second+goneRetention+5*Second {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if kept == 0 || lines() > 0 {
		t.Errorf("%d lines of a backend that may return, %d after goneRetention", kept, lines())
	}
	r.step(IndexReleased{Backend: 0}, IndexReleased{Backend: 99})
	fresh := newHarness(t, testDeployment())
	fresh.assigner.ensureBackend(1)
	used, unused := reflect.ValueOf(r.assigner.backends), reflect.ValueOf(fresh.assigner.backends)
	for i := range used.NumField() {
		if got, want := used.Field(i).Index(0), unused.Field(i).Index(0); !got.Equal(want) {
			t.Errorf("%s is %v, want %v as for an unused index", used.Type().Field(i).Name, got, want)
		}
	}
	if r.assigner.proxies[0].subset[0] {
		t.Error("a released backend is still in a subset")
	}
}

// A proxy's assumed rate applies until a report arrives, rates survive a short disconnection, and they expire without
// reports. Limits leave room for random arrivals.
func TestProxyRates(t *testing.T) {
	r := newHarness(t, testDeployment())
	r.step(ListUpdate{Kind: ListCached, Entries: []Entry{readyEntry(0, 0), readyEntry(1, 0)}},
		ProxyConnected{Proxy: 0, Rate: 1.5})
	if l := r.admission(0, 0).RateLimit; l < 3 || l > 4 {
		t.Errorf("limit %v at an assumed rate of 1.5", l)
	}
	p := &r.assigner.proxies[0]
	r.tick(UsageReport{Proxy: 0, Product: 0, Txns: 9, Period: Second})
	if p.rate[0] != 9 || p.rate[1] != 0.5 || r.admission(0, 0).RateLimit < unlimited {
		t.Errorf("rate %v, limit %v after a report for one product", p.rate, r.admission(0, 0).RateLimit)
	}
	r.tick(ProxyDisconnected{Proxy: 0})
	r.tick(ProxyConnected{Proxy: 0, Rate: 1.5})
	if p.rate[0] != 9 || r.admission(0, 0).RateLimit < unlimited {
		t.Errorf("rate %v, limit %v after reconnecting", p.rate, r.admission(0, 0).RateLimit)
	}
	for range 20 {
		r.tick()
	}
	if p.rate[0] > 0.1 {
		t.Errorf("rate %v after 20 s without reports", p.rate)
	}
	r.tick(ProxyDisconnected{Proxy: 0})
	r.now += 2 * rateTimeout
	r.tick(ProxyConnected{Proxy: 0, Rate: 1.5})
	if p.rate[0] != 0.5 || r.admission(0, 0).RateLimit >= unlimited {
		t.Errorf("rate %v, limit %v after a long disconnection", p.rate, r.admission(0, 0).RateLimit)
	}
}

// A restarted backend that is in tables enters slow start at once, and its weight then follows its guaranteed capacity.
func TestSlowStartAfterRestart(t *testing.T) {
	r := startHarness(t, testDeployment())
	restarted := readyEntry(0, 0)
	restarted.StartedAt = r.now
	r.now += Second / 2
	r.step(ListUpdate{Entries: []Entry{restarted}}, TimerFired{})
	initial := r.weight(0, 1, 0)
	for range 6 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if w := r.weight(0, 1, 0); initial < slowStartBegin || initial > 0.25 || w < 0.4 || w > 0.6 {
		t.Errorf("weight %v after a restart with WarmupCapacity 0.2, %v after 6 s of 15", initial, w)
	}
}

// If all backends of a table are in slow start, only rate limits can protect them. A new controller admits no more than
// the assumed rates.
func TestLimitsWhenZoneIsInSlowStart(t *testing.T) {
	r := startHarness(t, testDeployment())
	if l := r.admission(0, 0).RateLimit; l > 51 {
		t.Errorf("limit %v of a new proxy with an assumed rate of 50", l)
	}
	r.tick(secondOfReports(15, noFailures, 1000)...)
	restarted := []Entry{readyEntry(0, 0), readyEntry(1, 0)}
	restarted[0].StartedAt, restarted[1].StartedAt = r.now, r.now
	r.step(ListUpdate{Entries: []Entry{{Backend: 0}, {Backend: 1}}})
	r.tick(secondOfReports(60, noFailures, 1000)...)
	r.step(ListUpdate{Entries: restarted[:1]})
	if l := r.admission(0, 1).RateLimit; l > 30 || l <= 0 {
		t.Errorf("limit %v with a single backend, in slow start", l)
	}
	r.step(ListUpdate{Entries: []Entry{readyEntry(1, 0)}}) // no longer in slow start
	r.tick(secondOfReports(60, noFailures, 1000)...)
	before := r.admission(0, 1).RateLimit
	if before >= unlimited {
		t.Error("no limit beside a backend in slow start, though demand may exceed the reports")
	}
	for range 2 { // proxies avoid failing backends, which would overload the one in slow start
		r.tick(secondOfReports(60, []float64{0, 1, 1, 1}, 1000)...)
	}
	if l := r.admission(0, 1).RateLimit; l >= before || l <= 0 {
		t.Errorf("limit %v after %v though all other backends fail", l, before)
	}
}

// Draining and removed backends are withdrawn in the same step, at a cost of one line per proxy, even if the channel is
// nearly full. Without HonorRemovals a removed backend stays until its attempts fail. A backend is readmitted with a
// weight for slow start.
func TestWithdrawal(t *testing.T) {
	for _, honored := range []bool{true, false} {
		d := testDeployment()
		d.HonorRemovals = honored
		r := startHarness(t, d)
		r.assigner.queuedLines, r.tableOrders = 0.9*d.MaxQueuedLines, 0
		r.step(ListUpdate{Entries: []Entry{{Backend: 0, Status: Draining}, {Backend: 2, Status: Gone}}})
		if r.weight(0, 1, 0) != 0 || (r.weight(1, 1, 2) == 0) != honored || r.assigner.queuedLines > 0.92*d.MaxQueuedLines {
			t.Errorf("HonorRemovals %v: tables %v, %v lines queued", honored, r.tables, r.assigner.queuedLines)
		}
		r.step(ListUpdate{Entries: []Entry{{Status: Ready, StartedAt: r.now, Weight: 1}}})
		for range 2 { // an unlisted backend is removed once its attempts fail
			r.tick(secondOfReports(15, []float64{0, 0, 1, 0}, 1000)...)
		}
		if w := r.weight(0, 1, 0); w <= 0 || w > 0.5 || r.weight(1, 1, 2) != 0 {
			t.Errorf("weight %v of a backend in slow start, %v of a dead one", w, r.weight(1, 1, 2))
		}
	}
}

// With many proxies each uses a small subset, the subsets cover the backends evenly, and the loss of a backend changes
// few lines.
func TestSubsets(t *testing.T) {
	d := testDeployment()
	d.Proxies, d.MinConns, d.MaxQueuedLines, d.LinesPerSecond = 300, 400, 1e6, 1e6
	r := newHarness(t, d)
	l, lines := ListUpdate{Kind: ListCached}, make([]int, 40)
	for b := range lines {
		l.Entries = append(l.Entries, readyEntry(b, b%2))
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
	if r.tick(); r.tableOrders > 400 {
		t.Errorf("%d orders after the loss of one of 40 backends", r.tableOrders)
	}
}

// A proxy that reconnects gets its tables again. If the channel is nearly full, the busiest proxy is served first.
func TestReconnect(t *testing.T) {
	d := testDeployment()
	d.MaxQueuedLines = 40
	r := startHarness(t, d)
	r.tick()
	r.step(ProxyDisconnected{Proxy: 0})
	r.assigned = map[[2]int]int{}
	r.now += 10 * Second
	r.step(
		MarkerAcked{Proxy: 1, Number: r.assigner.batch},
		ProxyConnected{Proxy: 0, Zone: 0, Rate: 5},
		ProxyConnected{Proxy: 2, Zone: 0, Rate: 500},
	)
	if _, ok := r.assigned[[2]int{2, 0}]; !ok || len(r.assigned) != len(d.Products) {
		t.Errorf("assigned: %v, want the busiest proxy only: the channel has no more room", r.assigned)
	}
	r.now += 10 * Second
	r.step(MarkerAcked{Proxy: 2, Number: r.assigner.batch}, TimerFired{})
	if _, ok := r.assigned[[2]int{0, 0}]; !ok {
		t.Error("the other proxy got no table later")
	}
}

// For a proxy with a peer's tables each new line costs one more, which replaces the peer's withdrawal.
func TestPeerTablesCost(t *testing.T) {
	queuedBy := func(hasPeerTables bool) (queued, lines float64) {
		r := startHarness(t, testDeployment())
		r.tick()
		r.step(
			MarkerAcked{Proxy: 0, Number: r.assigner.batch},
			MarkerAcked{Proxy: 1, Number: r.assigner.batch},
			ProxyDisconnected{Proxy: 0},
		)
		before := r.assigner.queuedLines
		for _, o := range r.step(ProxyConnected{Proxy: 0, Zone: 0, Rate: 50, HasPeerTables: hasPeerTables}) {
			if _, ok := o.(SetWeight); ok {
				lines++
			}
		}
		return r.assigner.queuedLines - before, lines
	}
	without, lines := queuedBy(false)
	if with, _ := queuedBy(true); lines == 0 || with-without != lines {
		t.Errorf("%v lines queued with a peer's tables, %v without, for %v lines", with, without, lines)
	}
}

// Frequent list changes exceed neither the messages per proxy nor the lines that may be queued.
func TestChannelLimits(t *testing.T) {
	d := testDeployment()
	d.MaxQueuedLines = 120
	r := startHarness(t, d)
	messages, lines := 1, 0.0
	for i := range 60 {
		r.now += Second / 10
		restarted := readyEntry(i%4, i%4/2)
		restarted.StartedAt = r.now
		r.step(ListUpdate{Entries: []Entry{restarted}})
		messages, lines = max(messages, len(r.assigner.proxies[0].sent)), max(lines, r.assigner.queuedLines)
	}
	if messages > d.MaxMessages || lines > d.MaxQueuedLines+6*minPaceFraction*d.LinesPerSecond {
		t.Errorf("%d messages to one proxy, %v lines queued", messages, lines)
	}
}

// Under overload the product with the least revenue is limited first, and the total returns to the knee once responses
// are fast. Timeouts of requests from before a reduction do not cause further ones.
func TestOverload(t *testing.T) {
	r := startHarness(t, testDeployment())
	r.tick(secondOfReports(50, noFailures, 1000)...)
	if r.assigner.totalLimit != 0 {
		t.Fatal("the total is limited without overload")
	}
	r.tick(secondOfReports(50, []float64{.3, .3, .3, .3}, 6000)...)
	first := r.assigner.totalLimit
	if first <= 0 || r.admission(0, 0).RateLimit >= 50 || r.admission(0, 1).RateLimit != unlimited {
		t.Fatalf("total %v, limits %v and %v: want only the product with the least revenue limited",
			first, r.admission(0, 0), r.admission(0, 1))
	}
	for range 4 {
		r.tick(secondOfReports(50, []float64{.9, .9, .9, .9}, 6000)...)
	}
	if r.assigner.totalLimit < first {
		t.Errorf("total reduced from %v to %v by timeouts of earlier requests", first, r.assigner.totalLimit)
	}
	r.tick(secondOfReports(50, []float64{.1, .1, .1, .1}, 1000)...)
	if r.assigner.totalLimit != r.assigner.knee || r.admission(0, 0).Retries != RetryUnexecuted {
		t.Errorf("total %v, knee %v: fast responses did not end the reduction", r.assigner.totalLimit, r.assigner.knee)
	}
	knee := r.assigner.totalLimit
	for range 5 { // clients retry rejected txns
		r.tick(secondOfReports(80, noFailures, 1000)...)
	}
	if r.assigner.totalLimit < 1.4*knee {
		t.Errorf("total rose from %v to %v in 5 s of fast responses", knee, r.assigner.totalLimit)
	}
	for range 120 {
		r.tick(secondOfReports(20, noFailures, 1000)...)
	}
	if r.assigner.totalLimit != 0 || r.admission(0, 0).RateLimit != unlimited || r.admission(1, 0).RateLimit != unlimited {
		t.Error("rate limits remain after the overload")
	}
}

// A total limit set while few proxies are connected grows with the number of proxies.
func TestTotalFollowsProxies(t *testing.T) {
	r := startHarness(t, testDeployment())
	r.tick(secondOfReports(50, []float64{.3, .3, .3, .3}, 6000)...)
	before := r.assigner.totalLimit
	r.tick(ProxyConnected{Proxy: 2, Zone: 0, Rate: 150}, ProxyConnected{Proxy: 3, Zone: 1, Rate: 150})
	if before <= 0 || r.assigner.totalLimit < 1.9*before {
		t.Errorf("total %v after %v with twice as many proxies", r.assigner.totalLimit, before)
	}
}

// When all proxies of a large deployment connect at once, the busiest are served first within the channel's limit, all
// have tables after a few seconds, and a steady state then sends little.
func TestManyProxiesConnectAtOnce(t *testing.T) {
	const proxies, backends = 400, 30
	d := testDeployment()
	d.Proxies, d.MinConns = proxies, 500
	r := newHarness(t, d)
	var list []Entry
	for b := range backends {
		list = append(list, readyEntry(b, b%2))
	}
	r.step(ListUpdate{Kind: ListCached, Entries: list})
	var connections []Event
	for p := range proxies {
		connections = append(connections, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 1 + float64(p%40), HasPeerTables: true})
	}
	lines := func(orders []Order) (first, last, n float64) {
		for _, o := range orders {
			switch o := o.(type) {
			case AssignTable:
				rate := 1 + float64(o.Proxy%40)
				if n += d.MessageOverhead; last == 0 {
					first = rate
				}
				last = rate
			case SetWeight, Admission, ClearTable, Marker:
				n++
			}
		}
		return first, last, n
	}
	queued, seconds := 0.0, 0
	for assigned := 0; assigned < proxies; seconds++ {
		first, last, n := lines(r.tick(connections...))
		connections = nil
		if queued = max(queued-d.LinesPerSecond, 0) + n; queued > d.MaxQueuedLines || first < last {
			t.Fatalf("second %d: %v lines queued, a proxy with %v/s served before one with %v/s", seconds, queued, first, last)
		}
		assigned = 0
		for p := range r.assigner.proxies {
			if r.assigner.proxies[p].assigned {
				assigned++
			}
		}
		if seconds > 12 {
			t.Fatalf("%d of %d proxies have tables after %d s", assigned, proxies, seconds)
		}
	}
	if _, _, n := lines(r.tick()); n > d.LinesPerSecond/2 {
		t.Errorf("%v lines in a second without changes", n)
	}
}

// When proxies connect one by one, the estimates of served rate and throughput follow them, so that a limit is not
// derived from a part of the deployment.
func TestServedFollowsProxies(t *testing.T) {
	r := newHarness(t, testDeployment())
	r.step(twoPerZone(),
		ProxyConnected{Proxy: 0, Rate: 24})
	for range 4 {
		r.tick()
	}
	r.tick(ProxyConnected{Proxy: 1, Rate: 6}, ProxyConnected{Proxy: 2, Rate: 6}, ProxyConnected{Proxy: 3, Rate: 6})
	for p := range 4 {
		r.step(UsageReport{Proxy: p, Product: 0, Txns: 4, Period: Second})
	}
	for range 20 {
		r.tick(secondOfReports(4, noFailures, 1000)...)
	}
	if rate := r.assigner.served / 4; r.assigner.throughput > 2*rate {
		t.Errorf("throughput %v at a served rate of %v per unit of weight", r.assigner.throughput, rate)
	}
	served := r.assigner.served
	if r.tick(
		append(
			secondOfReports(4, noFailures, 1000),
			ProxyDisconnected{Proxy: 2},
			ProxyDisconnected{Proxy: 3},
		)...); r.assigner.served > 0.7*served {
		t.Errorf("served rate %v, %v before half of the proxies disconnected", r.assigner.served, served)
	}
}

// A slow backend is derated to minDerating and recovers later. If all are equally slow, none is derated, and repeated
// reports within deratingInterval derate only once.
func TestDerating(t *testing.T) {
	r := startHarness(t, testDeployment())
	r.tick(secondOfReports(15, noFailures, 9000)...)
	if r.assigner.backends.derating[0] != 1 {
		t.Error("derated though all backends are equally slow")
	}
	slow := secondOfReports(15, noFailures, 1000)
	slow[0] = BackendReport{Backend: 0, Attempts: 30, Latency: 9000}
	r.tick(slow...)
	r.tick(slow...)
	if got := r.assigner.backends.derating[0]; got != deratingStep {
		t.Errorf("derating %v after two slow ticks, want one step to %v", got, deratingStep)
	}
	for range 40 {
		r.tick(slow...)
	}
	if r.assigner.backends.derating[0] != minDerating || r.weight(0, 1, 0) <= 0 {
		t.Error("a slow backend must keep a small weight, so that its recovery is noticed")
	}
	for range 60 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if r.weight(0, 1, 0) < 0.9 {
		t.Error("the weight did not recover")
	}
}

// Txns in flight found by probes reveal an overload before latency does.
func TestOverloadFromProbes(t *testing.T) {
	for _, inFlight := range []float64{5, 20} {
		d := testDeployment()
		d.Probes, d.Gauges = true, []Gauge{GaugeOther, GaugeInFlight}
		r := startHarness(t, d)
		probed := slices.Contains(r.tick(secondOfReports(15, noFailures, 1000)...), Order(Probe{Backend: 3}))
		e := secondOfReports(15, noFailures, 1000)
		for b := range 4 {
			e = append(e, ProbeResult{Backend: b, Load: []float64{0.9, inFlight}})
		}
		r.tick(e...)
		if !probed || (r.assigner.totalLimit > 0) != (inFlight > 10) {
			t.Errorf("probed %v, %v in flight: total %v", probed, inFlight, r.assigner.totalLimit)
		}
	}
}

// Deployments with shares as limits, without limits, with requested lists and with shards get only the orders they
// support.
func TestOtherDeployments(t *testing.T) {
	d := testDeployment()
	for kind, most := range map[LimitKind]float64{LimitShare: 0.99, LimitNone: unlimited} {
		d.Limits, d.ListOnRequest = kind, true
		r := startHarness(t, d)
		for range 4 {
			r.tick(secondOfReports(50, []float64{.4, .4, .4, .4}, 6000)...)
		}
		if l := r.admission(0, 0).RateLimit; l <= 0 || l > most || kind == LimitNone && l < unlimited {
			t.Errorf("kind %v: limit %v under overload", kind, l)
		}
		r.step(ListUpdate{Kind: ListFailed})
		if !slices.Contains(r.tick(), Order(WatchList{Enabled: true})) {
			t.Error("the list was not requested again")
		}
	}
	d.Shards = 10
	r := startHarness(t, d)
	orders := r.step(ListUpdate{Entries: []Entry{{Backend: 1, Status: Draining}}})
	if len(r.assigned) != 0 || len(orders) != 2 || orders[0] != (Order)(Withdraw{Backend: 1, Withdrawn: true}) {
		t.Errorf("with shards: %v", orders)
	}
}

// On a channel far slower than declared, lines count as queued until they are acknowledged, so that the limit holds.
func TestSlowChannel(t *testing.T) {
	d := testDeployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = 60, 200, 2000, 0
	r := newHarness(t, d)
	events := []Event{twoPerZone()}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5})
	}
	type written struct {
		batch int
		lines float64
	}
	var channel []written
	queued, most, counted := 0.0, 0.0, 0
	for i := range 120 {
		for budget := 0.05 * d.LinesPerSecond; len(channel) > 0 && budget > 0; { // a twentieth of the declared pace
			sent := min(budget, channel[0].lines)
			channel[0].lines, budget, queued = channel[0].lines-sent, budget-sent, queued-sent
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
		if r.assigner.batch == counted {
			continue
		}
		counted = r.assigner.batch
		lines := 0.0
		for _, p := range r.assigner.connected {
			if n := len(p.sent); n > 0 && p.sent[n-1].batch == counted {
				lines += p.sent[n-1].cost
			}
		}
		channel, queued = append(channel, written{counted, lines}), queued+lines
		most = max(most, queued)
	}
	if most > d.MaxQueuedLines || most < d.LinesPerSecond {
		t.Errorf("up to %v lines queued, allowed %v", most, d.MaxQueuedLines)
	}
}

// An acknowledgement does not cover messages written within reorderWindow before it: proxies have separate sockets, so
// a later small batch may arrive before an earlier large one.
func TestReorderedMessages(t *testing.T) {
	d := testDeployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = 200, 1000, 4000, 0
	r := newHarness(t, d)
	events := []Event{twoPerZone()}
	for p := range d.Proxies - 1 {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5, HasPeerTables: true})
	}
	r.step(events...)
	large := r.assigner.unackedLines
	r.now += Second / 20
	r.step(ProxyConnected{Proxy: d.Proxies - 1, Zone: 0, Rate: 5000})
	r.now += Second / 2
	r.step(
		MarkerAcked{Proxy: d.Proxies - 1, Number: r.assigner.batch},
		ListUpdate{Entries: []Entry{{Backend: 0, Zone: 0, Status: Draining, Weight: 1}}},
	)
	if large < 500 || r.assigner.unackedLines < large {
		t.Errorf("%v lines unacknowledged after a later batch was, want at least the %v of the first",
			r.assigner.unackedLines, large)
	}
	for i := range r.assigner.proxies { // each proxy acknowledges its own messages
		r.step(MarkerAcked{Proxy: i, Number: r.assigner.batch})
	}
	before := r.now
	r.now += Second / 10
	r.step(TimerFired{})
	for _, p := range r.assigner.connected {
		for _, m := range p.sent {
			if m.sentAt <= before && r.assigner.inChannel(m) {
				t.Fatalf("a message that its proxy acknowledged still counts")
			}
		}
	}
	// Messages written more than reorderWindow before an acknowledged one have left, even if their own proxies are silent.
	r.now += 3 * Second
	r.step(TimerFired{})
	batch := r.assigner.batch
	r.now += 3 * Second
	r.step(MarkerAcked{Proxy: 0, Number: batch}, TimerFired{})
	for _, p := range r.assigner.connected {
		for _, m := range p.sent {
			if r.assigner.inChannel(m) && m.sentAt <= r.assigner.writtenAt[batch%len(r.assigner.writtenAt)]-reorderWindow {
				t.Fatalf(
					"a message of %v counts though batch %d of %v was acknowledged",
					m.sentAt,
					batch,
					r.assigner.writtenAt[batch%len(r.assigner.writtenAt)],
				)
			}
		}
	}
}
