package policy

import (
	"math"
	"testing"
)

// Proxies join by hundreds, each join resets the shares: the total for a proxy neither collapses nor doubles while
// they arrive, levels never sum to more than the total, and three ticks after the last they are even again.
func TestManyCase3Joins(t *testing.T) {
	d := deployment()
	d.Products, d.Proxies, d.LinesPerSecond, d.MaxQueuedLines, d.MaxMessages = d.Products[:1], 500, 1e6, 1e6, 0
	r := newRig(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}}}
	joined := 0
	join := func(n int) (e []Event) {
		for range n {
			e = append(e, ProxyConnected{Proxy: joined, Zone: joined % 2, Rate: 4, HasPeerTables: true})
			joined++
		}
		return e
	}
	said := func(voided float64, took Time) (e []Event) {
		for b := range 4 {
			e = append(e, BackendReport{Backend: b, Attempts: 100, Failed: 100 * voided, Latency: took})
		}
		for p := range joined {
			e = append(e, UsageReport{Proxy: p, Txns: 4, Period: Second})
		}
		return e
	}
	r.step(append(events, join(100)...)...)
	for range 3 {
		r.second(said(0, 5000)...)
	}
	r.second(said(.3, 6000)...)
	each := r.a.totalLimit / 100
	if each <= 0 {
		t.Fatal("no overload")
	}
	for range 10 { // 400 within a second
		r.now += Second / 10
		r.step(join(40)...)
		if r.a.totalLimit > 1.01*each*100 || r.a.totalLimit < 0.99*each*100 {
			t.Fatalf("total %v for 100 proxies between ticks, %v at %d", each*100, r.a.totalLimit, joined)
		}
	}
	for i := range 6 {
		r.second(said(0, 5000)...)
		now := r.a.totalLimit / float64(joined)
		if now < 0.7*each || now > 1.5*each {
			t.Errorf("%d ticks after the last: %v txns/s a proxy, %v before", i+1, now, each)
		}
		least, most, sum := math.Inf(1), 0.0, 0.0
		for _, p := range r.a.connected {
			least, most, sum = min(least, p.limit[0]), max(most, p.limit[0]), sum+p.limit[0]
		}
		if sum > 1.001*releaseRatio*r.a.totalLimit || i >= 3 && most > 1.05*least {
			t.Errorf("%d ticks after the last: levels %v to %v, sum %v of %v", i+1, least, most, sum, r.a.totalLimit)
		}
	}
}

// Clients that come again too often show as demand; what they ask for is not met for that: while the total is bounded
// it goes by what is served, and what counts as let in, by which zones are given room, stays under it.
func TestTrialCase5Repeats(t *testing.T) {
	play := func(times float64) (total, in float64) {
		r := start(t, deployment())
		r.second(reports(50, calm, 1000)...)
		r.second(reports(50, []float64{.3, .3, .3, .3}, 6000)...)
		for range 4 {
			var e []Event
			for b := range 4 {
				e = append(e, BackendReport{Backend: b, Attempts: 30, Latency: 3400})
			}
			for i := range 6 { // proxy 0 has the clients that repeat
				e = append(e, UsageReport{Proxy: i / 3, Product: i % 3, Txns: 50 * ifElse(i < 3, times, 1), Period: Second})
			}
			r.second(e...)
		}
		for _, p := range r.a.connected {
			for k := range p.rate {
				in += r.a.admitted(p, k)
			}
		}
		return r.a.totalLimit, in
	}
	total, in := play(1)
	again, more := play(3)
	if total <= 0 || math.Abs(again-total) > 0.02*total || more > 1.1*in {
		t.Errorf("total %v and %v let in with three times the demand at a proxy, %v and %v without", again, more, total, in)
	}
}

// What a proxy that has nothing needs goes before the tables of those that brought some, however busy these are.
func TestManyCase1NothingFirst(t *testing.T) {
	d := deployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = 40, 60, 10000
	r := newRig(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}}}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: float64(10 + 90*(p%4)), HasPeerTables: p%4 != 0})
	}
	var order []int
	ticks := 0
	for ; len(order) < d.Proxies && ticks < 100; ticks++ {
		r.now += Second
		acked := []Event{MarkerAcked{Proxy: 0, Number: r.a.batch}, MarkerAcked{Proxy: 1, Number: r.a.batch}}
		for _, o := range r.step(append(append(events, acked...), TimerFired{})...) {
			if u, ok := o.(AssignTable); ok && (len(order) == 0 || order[len(order)-1] != u.Proxy) {
				order = append(order, u.Proxy)
			}
		}
		events = nil
	}
	if len(order) != d.Proxies || ticks < 5 {
		t.Fatalf("%d proxies are bound after %d ticks", len(order), ticks)
	}
	for i, p := range order {
		if (p%4 == 0) != (i < d.Proxies/4) {
			t.Fatalf("proxy %d is bound as number %d: %v", p, i, order)
		}
	}
}

// Where the channel had no room for what is needed, the decisions do not wait for the tick: they ask to be woken.
func TestWokenForRoom(t *testing.T) {
	d := deployment()
	d.Proxies, d.LinesPerSecond, d.MaxQueuedLines = 40, 60, 10000
	r := newRig(t, d)
	events := []Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(2, 1)}}}
	for p := range d.Proxies {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 2, Rate: 5})
	}
	wakes := 0
	for range 3 {
		for _, o := range r.step(events...) {
			if w, ok := o.(SetTimer); ok && w.Name == timerRetry {
				wakes++
			}
		}
		events = []Event{UsageReport{Proxy: 0, Txns: 5, Period: Second}}
	}
	if wakes != 1 {
		t.Fatalf("%d wakes asked for", wakes)
	}
	r.now += roomRetryInterval
	r.uses = map[[2]int]int{}
	r.step(MarkerAcked{Number: r.a.batch}, TimerFired{Name: timerRetry})
	if len(r.uses) == 0 {
		t.Error("nobody was bound when the channel had room again")
	}
}

// Controllers that start in the same instant need not tick in the same instants.
func TestManyCase7FirstTick(t *testing.T) {
	first := func(at Time) (after Time) {
		d := deployment()
		d.FirstTick = at
		for _, o := range New(d).Step(1, nil) {
			if w, ok := o.(SetTimer); ok {
				after = w.Delay
			}
		}
		return after
	}
	if first(0) != tickInterval || first(1234) != 1234 {
		t.Errorf("first ticks after %v and %v", first(0), first(1234))
	}
	d := deployment()
	d.FirstTick = 1234
	a := New(d)
	a.Step(1, nil)
	for _, o := range a.Step(1235, []Event{TimerFired{}}) {
		if w, ok := o.(SetTimer); ok && w.Delay != tickInterval {
			t.Errorf("the tick after it comes after %v", w.Delay)
		}
	}
}

// sparsely lets a rig hear of each thing once in 8 s only, as where reports are too many for the intake.
func sparsely(r *rig, second int, voided float64, took Time) {
	var e []Event
	for b := range 4 {
		if b == second%8/2 && second%2 == 0 {
			e = append(e, BackendReport{Backend: b, Attempts: 200, Failed: 200 * voided, Latency: took})
		}
	}
	for i := range 6 {
		if i == second%8 {
			e = append(e, UsageReport{Proxy: i / 3, Product: i % 3, Txns: 8 * 50, Period: 8 * Second})
		}
	}
	r.second(e...)
}

// Reports that stand for 8 s say what was before a cut for as long after it: it is not repeated on them, ends by itself
// once queues have had time to drain, and the knee is what was served at best and not what was heard of last.
func TestSparseReports(t *testing.T) {
	r := start(t, deployment())
	for s := range 24 {
		sparsely(r, s, 0, 1000)
	}
	best := r.a.throughput * r.a.capacity
	cuts, bounded, least := 0, 0, math.Inf(1)
	for s := 24; s < 36; s++ { // late answers are heard of for 12 s more
		was := r.a.reducedAt
		sparsely(r, s, .1, 4500)
		if r.a.reducedAt != was {
			cuts++
		}
		if r.a.totalLimit > 0 {
			bounded, least = bounded+1, min(least, r.a.totalLimit)
		}
	}
	if cuts != 1 || bounded == 0 || least < 0.7*best {
		t.Errorf("%d cuts in 12 s, bounded for %d of them, the least total %v of %v at best", cuts, bounded, least, best)
	}
	if r.a.totalLimit > 0 && r.a.totalLimit < r.a.knee {
		t.Errorf("total %v is still under the knee %v", r.a.totalLimit, r.a.knee)
	}
}

// What is heard of once in 9 s takes the steps of relief of that time at once, and the way back as well.
func TestSparseRelief(t *testing.T) {
	relief := func(every int, took Time) float64 {
		r := start(t, deployment())
		for s := range 19 {
			var e []Event
			for b := range 4 {
				if s%every == 0 {
					e = append(e, BackendReport{Backend: b, Attempts: 40, Latency: ifElse(b == 0, took, 1000)})
				}
			}
			r.second(e...)
		}
		return r.a.backends.derating[0]
	}
	often, seldom := relief(1, 6000), relief(9, 6000)
	if often != minDerating || seldom > 0.5 {
		t.Errorf("relief %v after 18 s of each second, %v of each ninth", often, seldom)
	}
}

// A zone comes back cold: proxies there that have warm lines elsewhere send there what the cold ones cannot take, and
// decline nothing while the warm ones can be had; the cold ones get no more than before.
func TestColdBesideWarm(t *testing.T) {
	d := deployment()
	d.Products = d.Products[:1]
	r := start(t, d)
	for range 4 {
		r.second(reports(40, calm, 1000)...)
	}
	up := r.now
	r.step(
		ListUpdate{
			Entries: []Entry{
				{Backend: 0, Zone: 0, Status: Ready, Weight: 1, StartedAt: up},
				{Backend: 1, Zone: 0, Status: Ready, Weight: 1, StartedAt: up},
			},
		},
	)
	for range 2 {
		r.second(reports(40, calm, 1000)...)
	}
	cold, warm := r.weight(0, 0, 0)+r.weight(0, 0, 1), r.weight(0, 0, 2)+r.weight(0, 0, 3)
	if warm == 0 || cold == 0 {
		t.Fatalf("weights %v cold, %v warm", cold, warm)
	}
	if l := r.gate(0, 0).RateLimit; l < 0.95*40 {
		t.Errorf("level %v of 40 asked for beside warm lines", l)
	}
	if part := cold / (cold + warm); part > 0.5 {
		t.Errorf("%v of its txns go to cold backends", part)
	}
}

// What is recalled counts for what it is worth at its age, and not against what was heard at first hand.
func TestRecalledByAge(t *testing.T) {
	begin := func(known ...Event) *rig {
		r := newRig(t, deployment())
		r.step(
			append(
				[]Event{ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}}},
				known...)...)
		r.step(ProxyConnected{Proxy: 0, Zone: 0, Rate: 90, HasPeerTables: true})
		return r
	}
	r := begin(
		RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 1, Value: 7, Age: Second, Confidence: 1},
		RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 9, Value: 7},
	)
	if u := r.a.proxies[0].rate; u[1] != 7 || u[0] != 0 {
		t.Errorf("use of a second ago: %v", u)
	}
	old := RestoredEstimate{Kind: EstimateUsage, Proxy: 0, Product: 1, Value: 7, Age: 2 * rateTimeout, Confidence: 1}
	if u := begin(old).a.proxies[0].rate; u[1] != 30 {
		t.Errorf("use of long ago holds against what the proxy is said to get: %v", u)
	}
	for part, want := range map[float64]float64{1: 0.4, fullConfidence: 0.4, fullConfidence / 2: 0.7, 0: 1} {
		r := begin(
			RestoredEstimate{Kind: EstimateDerating, Backend: 2, Value: 0.4, Confidence: part},
			RestoredEstimate{Kind: EstimateDerating, Backend: 77, Value: 0.4, Confidence: 1},
		)
		if got := r.a.backends.derating[2]; math.Abs(got-want) > 1e-9 {
			t.Errorf("relief %v at part %v, want %v", got, part, want)
		}
	}
	// A total holds from the first tick, for as many as have joined; an old one does not come back.
	for age, bounded := range map[Time]bool{2 * Second: true, 30 * Second: false} {
		r := begin(
			RestoredEstimate{Kind: EstimateTotalLimit, Value: 10, Age: age, Confidence: 1},
			RestoredEstimate{Kind: EstimateThroughput, Value: 12, Age: age, Confidence: 1},
		)
		r.second()
		each := r.a.totalLimit / r.a.capacity
		r.second(
			ProxyConnected{Proxy: 1, Zone: 1, Rate: 90},
			ProxyConnected{Proxy: 2, Zone: 0, Rate: 90},
			ProxyConnected{Proxy: 3, Zone: 1, Rate: 90},
		)
		if (r.a.totalLimit > 0) != bounded ||
			bounded && (math.Abs(each-10) > 1 || math.Abs(r.a.totalLimit/r.a.capacity-10) > 2) ||
			r.a.throughput != 12 {
			t.Errorf(
				"total of %v ago: %v for a unit of weight, then %v, pace %v",
				age,
				each,
				r.a.totalLimit/r.a.capacity,
				r.a.throughput,
			)
		}
	}
}
