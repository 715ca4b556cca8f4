package policy

import (
	"math"
	"testing"
)

// While hundreds of proxies connect, the total limit per proxy stays stable, the limits stay within the total, and they
// are equal again soon after.
func TestTotalLimitWhileProxiesConnect(t *testing.T) {
	d := testDeployment()
	d.Products, d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = d.Products[:1], 500, 1e6, 1e6, 0
	r := newHarness(t, d)
	events := []Event{twoPerZone()}
	connected := 0
	connect := func(n int) (e []Event) {
		for range n {
			e = append(e, ProxyConnected{Proxy: connected, Zone: connected % 2, Rate: 4, HasPeerTables: true})
			connected++
		}
		return e
	}
	reports := func(failed float64, latency Time) (e []Event) {
		for b := range 4 {
			e = append(e, BackendReport{Backend: b, Attempts: 100, Failed: 100 * failed, Latency: latency})
		}
		for p := range connected {
			e = append(e, UsageReport{Proxy: p, Txns: 4, Period: Second})
		}
		return e
	}
	r.step(append(events, connect(100)...)...)
	for range 3 {
		r.tick(reports(0, 5000)...)
	}
	r.tick(reports(.3, 6000)...)
	each := r.assigner.totalLimit / 100
	if each <= 0 {
		t.Fatal("no overload detected")
	}
	for range 10 { // 400 within a second
		r.now += Second / 10
		r.step(connect(40)...)
		if r.assigner.totalLimit > 1.01*each*100 || r.assigner.totalLimit < 0.99*each*100 {
			t.Fatalf("total %v for 100 proxies between ticks, %v for %d", each*100, r.assigner.totalLimit, connected)
		}
	}
	for i := range 6 {
		r.tick(reports(0, 5000)...)
		now := r.assigner.totalLimit / float64(connected)
		if now < 0.7*each || now > 1.5*each {
			t.Errorf("%d ticks after the last connection: %v txns/s per proxy, %v before", i+1, now, each)
		}
		least, most, sum := math.Inf(1), 0.0, 0.0
		for _, p := range r.assigner.connected {
			least, most, sum = min(least, p.limit[0]), max(most, p.limit[0]), sum+p.limit[0]
		}
		if sum > 1.001*releaseRatio*r.assigner.totalLimit || i >= 3 && most > 1.05*least {
			t.Errorf("%d ticks after the last connection: limits %v to %v, sum %v of %v",
				i+1, least, most, sum, r.assigner.totalLimit)
		}
	}
}

// Client retries raise the demand, but neither the total limit, which follows the served rate, nor the admitted rate.
func TestTotalLimitIgnoresClientRetries(t *testing.T) {
	play := func(factor float64) (total, admitted float64) {
		r := startHarness(t, testDeployment())
		r.tick(secondOfReports(50, noFailures, 1000)...)
		r.tick(secondOfReports(50, []float64{.3, .3, .3, .3}, 6000)...)
		for range 4 {
			var e []Event
			for b := range 4 {
				e = append(e, BackendReport{Backend: b, Attempts: 30, Latency: 3400})
			}
			for i := range 6 { // the clients of proxy 0 retry
				e = append(e, UsageReport{Proxy: i / 3, Product: i % 3, Txns: 50 * ifElse(i < 3, factor, 1), Period: Second})
			}
			r.tick(e...)
		}
		for _, p := range r.assigner.connected {
			for k := range p.rate {
				admitted += r.assigner.admitted(p, k)
			}
		}
		return r.assigner.totalLimit, admitted
	}
	total, admitted := play(1)
	retryTotal, retryAdmitted := play(3)
	if total <= 0 || math.Abs(retryTotal-total) > 0.02*total || retryAdmitted > 1.1*admitted {
		t.Errorf("total %v, admitted %v with retries; %v, %v without", retryTotal, retryAdmitted, total, admitted)
	}
}

// Proxies without tables are served before those with a peer's tables, regardless of their rates.
func TestProxiesWithoutTablesServedFirst(t *testing.T) {
	d := testDeployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = 40, 60, 10000
	r := newHarness(t, d)
	events := []Event{twoPerZone()}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: float64(10 + 90*(p%4)), HasPeerTables: p%4 != 0})
	}
	var order []int
	ticks := 0
	for ; len(order) < d.Proxies && ticks < 100; ticks++ {
		r.now += Second
		acked := []Event{MarkerAcked{Proxy: 0, Number: r.assigner.batch}, MarkerAcked{Proxy: 1, Number: r.assigner.batch}}
		for _, o := range r.step(append(append(events, acked...), TimerFired{})...) {
			if u, ok := o.(AssignTable); ok && (len(order) == 0 || order[len(order)-1] != u.Proxy) {
				order = append(order, u.Proxy)
			}
		}
		events = nil
	}
	if len(order) != d.Proxies || ticks < 5 {
		t.Fatalf("%d proxies have tables after %d ticks", len(order), ticks)
	}
	for i, p := range order {
		if (p%4 == 0) != (i < d.Proxies/4) {
			t.Fatalf("proxy %d is served as number %d: %v", p, i, order)
		}
	}
}

// If the channel has no room for urgent changes, one timer is set to retry before the next tick.
func TestRetryTimerForFullChannel(t *testing.T) {
	d := testDeployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = 40, 60, 10000
	r := newHarness(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{readyEntry(0, 0), readyEntry(2, 1)}}}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5})
	}
	timers := 0
	for range 3 {
		for _, o := range r.step(events...) {
			if w, ok := o.(SetTimer); ok && w.Name == timerRetry {
				timers++
			}
		}
		events = []Event{UsageReport{Proxy: 0, Txns: 5, Period: Second}}
	}
	if timers != 1 {
		t.Fatalf("%d retry timers set, want 1", timers)
	}
	r.now += roomRetryInterval
	r.assigned = map[[2]int]int{}
	r.step(MarkerAcked{Number: r.assigner.batch}, TimerFired{Name: timerRetry})
	if len(r.assigned) == 0 {
		t.Error("no proxy got a table when the channel had room again")
	}
}

// FirstTick sets the delay of the first tick only, so that controllers that start together can tick at different times.
func TestFirstTick(t *testing.T) {
	firstDelay := func(firstTick Time) (delay Time) {
		d := testDeployment()
		d.FirstTick = firstTick
		for _, o := range New(d).Step(1, nil) {
			if w, ok := o.(SetTimer); ok {
				delay = w.Delay
			}
		}
		return delay
	}
	if firstDelay(0) != tickInterval || firstDelay(1234) != 1234 {
		t.Errorf("first ticks after %v and %v", firstDelay(0), firstDelay(1234))
	}
	d := testDeployment()
	d.FirstTick = 1234
	a := New(d)
	a.Step(1, nil)
	for _, o := range a.Step(1235, []Event{TimerFired{}}) {
		if w, ok := o.(SetTimer); ok && w.Delay != tickInterval {
			t.Errorf("the second tick comes after %v", w.Delay)
		}
	}
}

// sparseReports runs a second in which each backend and product may report only once in 8 s.
func sparseReports(r *harness, second int, failed float64, latency Time) {
	var e []Event
	for b := range 4 {
		if b == second%8/2 && second%2 == 0 {
			e = append(e, BackendReport{Backend: b, Attempts: 200, Failed: 200 * failed, Latency: latency})
		}
	}
	for i := range 6 {
		if i == second%8 {
			e = append(e, UsageReport{Proxy: i / 3, Product: i % 3, Txns: 8 * 50, Period: 8 * Second})
		}
	}
	r.tick(e...)
}

// With reports that cover 8 s, the total is reduced once per overload, the reduction ends by itself, and the knee is
// the best served rate.
func TestOverloadWithSparseReports(t *testing.T) {
	r := startHarness(t, testDeployment())
	for s := range 24 {
		sparseReports(r, s, 0, 1000)
	}
	best := r.assigner.throughput * r.assigner.capacity
	reductions, limited, least := 0, 0, math.Inf(1)
	for s := 24; s < 36; s++ { // high latency is reported for 12 s more
		before := r.assigner.reducedAt
		sparseReports(r, s, .1, 4500)
		if r.assigner.reducedAt != before {
			reductions++
		}
		if r.assigner.totalLimit > 0 {
			limited, least = limited+1, min(least, r.assigner.totalLimit)
		}
	}
	if reductions != 1 || limited == 0 || least < 0.7*best {
		t.Errorf("%d reductions in 12 s, limited in %d of them; lowest total %v, best throughput %v",
			reductions, limited, least, best)
	}
	if r.assigner.totalLimit > 0 && r.assigner.totalLimit < r.assigner.knee {
		t.Errorf("total %v is still below the knee %v", r.assigner.totalLimit, r.assigner.knee)
	}
}

// A report after 9 s causes several derating steps or recovery steps at once.
func TestDeratingWithSparseReports(t *testing.T) {
	derating := func(interval int, latency Time) float64 {
		r := startHarness(t, testDeployment())
		for s := range 19 {
			var e []Event
			for b := range 4 {
				if s%interval == 0 {
					e = append(e, BackendReport{Backend: b, Attempts: 40, Latency: ifElse(b == 0, latency, 1000)})
				}
			}
			r.tick(e...)
		}
		return r.assigner.backends.derating[0]
	}
	frequent, sparse := derating(1, 6000), derating(9, 6000)
	if frequent != minDerating || sparse > 0.5 {
		t.Errorf("derating after 18 s: %v with a report per second, %v with one in 9 s", frequent, sparse)
	}
}

// When a zone restarts, proxies send the excess to warm backends in other zones instead of rejecting it.
func TestWarmBackendsRelieveSlowStart(t *testing.T) {
	d := testDeployment()
	d.Products = d.Products[:1]
	r := startHarness(t, d)
	for range 4 {
		r.tick(secondOfReports(40, noFailures, 1000)...)
	}
	startedAt := r.now
	r.step(
		ListUpdate{
			Entries: []Entry{
				{Backend: 0, Zone: 0, Status: Ready, Weight: 1, StartedAt: startedAt},
				{Backend: 1, Zone: 0, Status: Ready, Weight: 1, StartedAt: startedAt},
			},
		},
	)
	for range 2 {
		r.tick(secondOfReports(40, noFailures, 1000)...)
	}
	inSlowStart, warm := r.weight(0, 0, 0)+r.weight(0, 0, 1), r.weight(0, 0, 2)+r.weight(0, 0, 3)
	if warm == 0 || inSlowStart == 0 {
		t.Fatalf("weights %v in slow start, %v warm", inSlowStart, warm)
	}
	if limit := r.admission(0, 0).RateLimit; limit < 0.95*40 {
		t.Errorf("limit %v at a rate of 40 beside warm backends", limit)
	}
	if fraction := inSlowStart / (inSlowStart + warm); fraction > 0.5 {
		t.Errorf("%v of the txns go to backends in slow start", fraction)
	}
}

// Restored estimates apply depending on age and confidence, and give way to reported values.
func TestRestoredEstimates(t *testing.T) {
	begin := func(restored ...Event) *harness {
		r := newHarness(t, testDeployment())
		r.step(
			append(
				[]Event{twoPerZone()},
				restored...)...)
		r.step(ProxyConnected{Proxy: 0, Zone: 0, Rate: 90, HasPeerTables: true})
		return r
	}
	r := begin(
		RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 1, Value: 7, Age: Second, Confidence: 1},
		RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 9, Value: 7},
	)
	if u := r.assigner.proxies[0].rate; u[1] != 7 || u[0] != 0 {
		t.Errorf("rates with an estimate of a second ago: %v", u)
	}
	old := RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 1, Value: 7, Age: 2 * rateTimeout, Confidence: 1}
	if u := begin(old).assigner.proxies[0].rate; u[1] != 30 {
		t.Errorf("an expired estimate replaces the assumed rate: %v", u)
	}
	for confidence, want := range map[float64]float64{1: 0.4, fullConfidence: 0.4, fullConfidence / 2: 0.7, 0: 1} {
		r := begin(
			RestoredEstimate{Kind: EstimateDerating, Backend: 2, Value: 0.4, Confidence: confidence},
			RestoredEstimate{Kind: EstimateDerating, Backend: 77, Value: 0.4, Confidence: 1},
		)
		if got := r.assigner.backends.derating[2]; math.Abs(got-want) > 1e-9 {
			t.Errorf("derating %v at confidence %v, want %v", got, confidence, want)
		}
	}
	// A recent total limit applies from the first tick, scaled to the connected proxies. An old one does not apply.
	for age, limited := range map[Time]bool{2 * Second: true, 30 * Second: false} {
		r := begin(
			RestoredEstimate{Kind: EstimateTotalLimit, Value: 10, Age: age, Confidence: 1},
			RestoredEstimate{Kind: EstimateThroughput, Value: 12, Age: age, Confidence: 1},
		)
		r.tick()
		each := r.assigner.totalLimit / r.assigner.capacity
		r.tick(
			ProxyConnected{Proxy: 1, Zone: 1, Rate: 90},
			ProxyConnected{Proxy: 2, Zone: 0, Rate: 90},
			ProxyConnected{Proxy: 3, Zone: 1, Rate: 90},
		)
		if (r.assigner.totalLimit > 0) != limited ||
			limited && (math.Abs(each-10) > 1 || math.Abs(r.assigner.totalLimit/r.assigner.capacity-10) > 2) ||
			r.assigner.throughput != 12 {
			t.Errorf(
				"total of %v ago: %v per unit of weight, then %v, throughput %v",
				age,
				each,
				r.assigner.totalLimit/r.assigner.capacity,
				r.assigner.throughput,
			)
		}
	}
}
