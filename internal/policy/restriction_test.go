package policy

import "testing"

// A restricted proxy uses only its allowed backends, also after reconnecting, and any other only while none of these is
// open. An unrestricted proxy uses all.
func TestRestriction(t *testing.T) {
	r := startHarness(t, testDeployment())
	r.tick(secondOfReports(15, noFailures, 1000)...)
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{1, 2}})
	r.tick(secondOfReports(15, noFailures, 1000)...)
	lines := func(proxy, product int) (all [4]bool) {
		for b := range 4 {
			all[b] = r.weight(proxy, product, b) > 0
		}
		return all
	}
	for k := range 3 { // products 1 and 2 are bound to zone 0, where only backend 1 is allowed
		if got := lines(0, k); got[0] || got[3] || !got[1] && !got[2] || k > 0 && !got[1] {
			t.Errorf("product %d of the restricted proxy: %v", k, got)
		}
	}
	if got := lines(1, 0); !got[2] || !got[3] {
		t.Errorf("the unrestricted proxy: %v", got)
	}
	r.step(ProxyDisconnected{Proxy: 0}, ProxyConnected{Proxy: 0, Zone: 0, Rate: 50, HasPeerTables: true})
	if got := lines(0, 1); got[0] || !got[1] {
		t.Errorf("reconnected: %v", got)
	}
	draining := ListUpdate{Entries: []Entry{{Backend: 1, Status: Draining, Weight: 1}}}
	r.tick(append(secondOfReports(15, noFailures, 1000), draining)...)
	r.tick(secondOfReports(15, noFailures, 1000)...)
	if got := lines(0, 1); !got[0] || got[1] {
		t.Errorf("with no allowed backend open: %v", got)
	}
	r.tick(append(secondOfReports(15, noFailures, 1000), ListUpdate{Entries: []Entry{readyEntry(1, 0)}})...)
	for range 3 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if got := lines(0, 1); got[0] || !got[1] {
		t.Errorf("with the allowed backend open again: %v", got)
	}
	r.step(ProxyRestricted{Proxy: 0})
	for range 3 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	if got := lines(0, 1); !got[0] || !got[1] {
		t.Errorf("unrestricted again: %v", got)
	}
	r.step(
		ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{3}},
		ListUpdate{Entries: []Entry{{Backend: 3, Status: Gone}}},
		IndexReleased{Backend: 3},
	)
	if r.assigner.proxies[0].mayUse(3) {
		t.Error("a released index is still allowed")
	}
}

// MaxRate limits a restricted proxy in proportion to its products' rates, NoRetries disables its retries, and other
// proxies are unaffected.
func TestRestrictedProxyLimits(t *testing.T) {
	r := startHarness(t, testDeployment())
	for range 3 {
		r.tick(secondOfReports(30, noFailures, 1000)...)
	}
	if r.admission(0, 0).RateLimit < 30 || r.admission(0, 0).Retries != RetryUnexecuted {
		t.Fatalf("initially %+v", r.admission(0, 0))
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}, MaxRate: 45, NoRetries: true})
	for range 3 {
		r.tick(secondOfReports(30, noFailures, 1000)...)
	}
	sum := 0.0
	for k := range 3 {
		sum += r.admission(0, k).RateLimit
		if r.admission(0, k).Retries != NoRetry {
			t.Errorf("product %d: %+v", k, r.admission(0, k))
		}
	}
	if sum < 40 || sum > 50 || r.admission(1, 0).RateLimit < 30 || r.admission(1, 0).Retries != RetryUnexecuted {
		t.Errorf("limits sum to %.1f; the other proxy has %+v", sum, r.admission(1, 0))
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}})
	for range 3 {
		r.tick(secondOfReports(30, noFailures, 1000)...)
	}
	if r.admission(0, 0).RateLimit < 30 || r.admission(0, 0).Retries != RetryUnexecuted {
		t.Errorf("without MaxRate %+v", r.admission(0, 0))
	}
}

// If the channel has room for one proxy, a proxy with MaxRate waits for one without, regardless of its rate.
func TestRestrictedProxySentLast(t *testing.T) {
	d := testDeployment()
	d.MaxQueuedLines, d.LinesPerSecond = 60, 30
	r := startHarness(t, d)
	for range 3 {
		r.tick(secondOfReports(15, noFailures, 1000)...)
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}, MaxRate: 1000})
	first := -1
	for range 40 {
		r.assigner.urgent = true
		for _, o := range r.tick(append(secondOfReports(15, noFailures, 1000),
			UsageReport{Proxy: 0, Txns: 500, Period: Second},
			ListUpdate{Entries: []Entry{
				{Backend: 1, Zone: 0, Status: Ready, Weight: 3},
				{Backend: 3, Zone: 1, Status: Ready, Weight: 3},
			}})...) {
			if l, ok := o.(SetWeight); ok && first < 0 {
				first = l.Table / len(r.assigner.groups)
			}
		}
	}
	if first != 1 {
		t.Errorf("the first lines went to proxy %d", first)
	}
}
