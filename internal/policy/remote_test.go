package policy

import (
	"math"
	"testing"
)

// With one attempt per backend every 3 s, slow backends are still derated within a minute. A single failure among four
// attempts has no effect.
func TestFewAttemptsAccumulate(t *testing.T) {
	d := testDeployment()
	d.Products, d.Zones, d.Proxies = d.Products[:1], 1, 1
	r := newHarness(t, d)
	var list []Entry
	for b := range 12 {
		list = append(list, readyEntry(b, 0))
	}
	r.step(ListUpdate{Kind: ListCached, Entries: list}, ProxyConnected{Proxy: 0, Rate: 4})
	for s := range 60 {
		e := []Event{UsageReport{Proxy: 0, Txns: 4, Period: Second}}
		for b := s % 3; b < 12; b += 3 {
			report := BackendReport{Backend: b, Attempts: 1, Latency: 400}
			if b < 6 { // half of all: they must not set the median
				report.Latency = 6000
			}
			e = append(e, report)
		}
		r.tick(e...)
	}
	if slow, fast := r.weight(0, 0, 2), r.weight(0, 0, 8); slow > 0.5*fast || r.assigner.totalLimit > 0 {
		t.Errorf("after a minute a slow backend has weight %.2f and a fast one %.2f; total %v",
			slow, fast, r.assigner.totalLimit)
	}
	for b := range 12 { // one failure of four attempts
		if r.assigner.decay(b, 10, 10); b == 11 {
			r.tick(BackendReport{Backend: b, Attempts: 4, Failed: 1, Latency: 400})
		}
	}
	if r.assigner.backends.derating[11] < 1 {
		t.Errorf("derating %v after one failure in four attempts", r.assigner.backends.derating[11])
	}
}

// Controllers with equal reports do not act simultaneously, and after some turns all have acted as often as a single
// one would.
func TestControllersDerateInTurn(t *testing.T) {
	const controllers = 40
	all := make([]*harness, controllers)
	for i := range all {
		d := testDeployment()
		d.Products, d.Zones, d.Proxies, d.FirstTick = d.Products[:1], 1, controllers, Time(1+i*271)
		all[i] = newHarness(t, d)
		entries := []Entry{readyEntry(0, 0), readyEntry(1, 0), readyEntry(2, 0), readyEntry(3, 0)}
		all[i].step(ListUpdate{Kind: ListCached, Entries: entries},
			ProxyConnected{Proxy: i, Rate: 4})
	}
	steps, most := 0, 0
	for range 9 {
		simultaneous := 0
		for i, r := range all {
			before := r.assigner.backends.derating[0]
			e := []Event{UsageReport{Proxy: i, Txns: 4, Period: Second}}
			for b := range 4 {
				e = append(
					e,
					RemoteReport{
						BackendReport: BackendReport{Backend: b, Attempts: 100, Latency: ifElse(b == 0, Time(6000), 400)},
						Age:           Second,
					},
				)
			}
			r.tick(e...)
			if r.assigner.backends.derating[0] < before {
				simultaneous++
			}
		}
		steps, most = steps+simultaneous, max(most, simultaneous)
	}
	if steps < 3*controllers-controllers/2 || most > controllers/2 {
		t.Errorf("%d derating steps of %d in 9 s, %d in the same second", steps, 3*controllers, most)
	}
}

// Usage reports of other controllers determine the free capacity of zones. Without them a controller returns to its own
// estimate gradually.
func TestRemoteUsageSetsSpillover(t *testing.T) {
	d := testDeployment()
	d.Products, d.Proxies = d.Products[:1], 4
	play := func(remoteRate float64) (r *harness, spilled float64) {
		r = newHarness(t, d)
		r.step(twoPerZone(),
			ProxyConnected{Proxy: 0, Rate: 100}, ProxyConnected{Proxy: 1, Rate: 100})
		for range 8 {
			r.tick(UsageReport{Proxy: 0, Txns: 100, Period: Second}, UsageReport{Proxy: 1, Txns: 100, Period: Second},
				RemoteUsage{Rates: [][]float64{{0, remoteRate}}})
		}
		return r, r.assigner.spillover[0][0][1]
	}
	if _, spilled := play(200); spilled > 0.01 {
		t.Errorf("%.2f spills over to an equally loaded zone", spilled)
	}
	r, spilled := play(0)
	if spilled < 0.4 {
		t.Errorf("%.2f spills over to an idle zone", spilled)
	}
	for range 30 {
		before := r.assigner.localShare()
		r.tick(UsageReport{Proxy: 0, Txns: 100, Period: Second}, UsageReport{Proxy: 1, Txns: 100, Period: Second})
		if now := r.assigner.localShare(); now > before+1e-9 || now < before-0.25 {
			t.Fatalf("local share jumps from %.2f to %.2f", before, now)
		}
	}
	if share := r.assigner.localShare(); share != 0.5 {
		t.Errorf("local share %.2f without remote usage, want that of the proxies", share)
	}
}

// A failing zone that receives most of the proxies' attempts does not count as an overload of the whole deployment.
func TestFailingZoneIsNoOverload(t *testing.T) {
	r := startHarness(t, testDeployment())
	var more []Entry
	for b := 4; b < 12; b++ {
		more = append(more, readyEntry(b, 1))
	}
	r.step(ListUpdate{Kind: ListChange, Entries: more})
	for range 10 {
		r.tick() // reports are rare
		e := secondOfReports(10, nil, 0)
		for b := range 12 {
			report := BackendReport{Backend: b, Attempts: 1, Latency: 900}
			if b < 2 {
				report = BackendReport{Backend: b, Attempts: 30, Failed: 20, Latency: 7000}
			}
			e = append(e, report)
		}
		r.tick(e...)
	}
	if r.assigner.totalLimit > 0 || r.assigner.overloaded || r.assigner.medianFailed > 0.1 {
		t.Errorf("total %v, overloaded %v, %.2f failed at the median",
			r.assigner.totalLimit, r.assigner.overloaded, r.assigner.medianFailed)
	}
}

// A proxy with a low rate and rare reports is not limited to the random arrivals that were reported, if the backend in
// slow start has room for them.
func TestLimitAdmitsRandomArrivals(t *testing.T) {
	d := testDeployment()
	d.Products, d.Zones = d.Products[:1], 1
	r := newHarness(t, d)
	restarted := readyEntry(1, 0)
	restarted.StartedAt = r.now - 10*Second
	r.step(
		ListUpdate{Kind: ListCached, Entries: []Entry{readyEntry(0, 0), restarted}},
		ProxyConnected{Proxy: 0, Rate: 1},
		ProxyConnected{Proxy: 1, Rate: 60},
	)
	for range 10 { // proxy 0 reports no arrivals in 8 s
		r.tick()
		r.tick(UsageReport{Proxy: 1, Txns: 60, Period: Second}, UsageReport{Proxy: 0, Txns: 0, Period: 8 * Second},
			BackendReport{Backend: 0, Attempts: 30, Latency: 400}, BackendReport{Backend: 1, Attempts: 20, Latency: 400})
	}
	limit := r.admission(0, 0).RateLimit
	admitted, probability, rate := 0.0, math.Exp(-0.25), 0.25 // Poisson distribution
	for n := 0.0; n < 10; n++ {
		admitted, probability = admitted+probability*min(n, limit), probability*rate/(n+1)
	}
	if admitted < 0.85*rate {
		t.Errorf("limit %.2f admits %.0f%% of the arrivals", limit, 100*admitted/rate)
	}
}
