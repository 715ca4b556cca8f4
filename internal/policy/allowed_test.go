package policy

import "testing"

// A confined proxy has lines to what it is allowed only, and keeps it over broken streams; where none of that is
// open it may go anywhere, so that rule 1 goes before confinement; free again it has lines to all.
func TestAllowed(t *testing.T) {
	r := start(t, deployment())
	r.second(reports(15, calm, 1000)...)
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{1, 2}})
	r.second(reports(15, calm, 1000)...)
	lines := func(proxy, product int) (all [4]bool) {
		for b := range 4 {
			all[b] = r.weight(proxy, product, b) > 0
		}
		return all
	}
	for k := range 3 { // product 1 keeps to its zone, product 2 to zone 0: backend 1 is there
		if got := lines(0, k); got[0] || got[3] || !got[1] && !got[2] || k > 0 && !got[1] {
			t.Errorf("product %d of the confined proxy: %v", k, got)
		}
	}
	if got := lines(1, 0); !got[2] || !got[3] {
		t.Errorf("the free proxy: %v", got)
	}
	r.step(ProxyDisconnected{Proxy: 0}, ProxyConnected{Proxy: 0, Zone: 0, Rate: 50, HasPeerTables: true})
	if got := lines(0, 1); got[0] || !got[1] {
		t.Errorf("joined again: %v", got)
	}
	r.second(append(reports(15, calm, 1000), ListUpdate{Entries: []Entry{{Backend: 1, Status: Draining, Weight: 1}}})...)
	r.second(reports(15, calm, 1000)...)
	if got := lines(0, 1); !got[0] || got[1] {
		t.Errorf("with nothing open at home inside: %v", got)
	}
	r.second(append(reports(15, calm, 1000), ListUpdate{Entries: []Entry{ready(1, 0)}})...)
	for range 3 {
		r.second(reports(15, calm, 1000)...)
	}
	if got := lines(0, 1); got[0] || !got[1] {
		t.Errorf("open again inside: %v", got)
	}
	r.step(ProxyRestricted{Proxy: 0})
	for range 3 {
		r.second(reports(15, calm, 1000)...)
	}
	if got := lines(0, 1); !got[0] || !got[1] {
		t.Errorf("free again: %v", got)
	}
	r.step(
		ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{3}},
		ListUpdate{Entries: []Entry{{Backend: 3, Status: Gone}}},
		IndexReleased{Backend: 3},
	)
	if r.a.proxies[0].mayUse(3) {
		t.Error("an index that is given back is still allowed")
	}
}

// A confined proxy's own bound declines its own txns, in step with what each product is asked for, and Still ends
// its further tries; no other proxy hears of either.
func TestAllowedBounds(t *testing.T) {
	r := start(t, deployment())
	for range 3 {
		r.second(reports(30, calm, 1000)...)
	}
	if r.gate(0, 0).RateLimit < 30 || r.gate(0, 0).Retries != RetryUnexecuted {
		t.Fatalf("at first %+v", r.gate(0, 0))
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}, MaxRate: 45, NoRetries: true})
	for range 3 {
		r.second(reports(30, calm, 1000)...)
	}
	sum := 0.0
	for k := range 3 {
		sum += r.gate(0, k).RateLimit
		if r.gate(0, k).Retries != NoRetry {
			t.Errorf("product %d: %+v", k, r.gate(0, k))
		}
	}
	if sum < 40 || sum > 50 || r.gate(1, 0).RateLimit < 30 || r.gate(1, 0).Retries != RetryUnexecuted {
		t.Errorf("levels sum to %.1f; the other proxy has %+v", sum, r.gate(1, 0))
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}})
	for range 3 {
		r.second(reports(30, calm, 1000)...)
	}
	if r.gate(0, 0).RateLimit < 30 || r.gate(0, 0).Retries != RetryUnexecuted {
		t.Errorf("unbounded again %+v", r.gate(0, 0))
	}
}

// Where the channel has room for one, a proxy that is bounded waits for the one that is not, however busy it is.
func TestAllowedChannel(t *testing.T) {
	d := deployment()
	d.MaxQueuedLines, d.LinesPerSecond = 60, 30 // little room
	r := start(t, d)
	for range 3 {
		r.second(reports(15, calm, 1000)...)
	}
	r.step(ProxyRestricted{Proxy: 0, Restricted: true, Backends: []int{0, 1, 2, 3}, MaxRate: 1000})
	first := -1
	for range 40 {
		r.a.urgent = true
		for _, o := range r.second(append(reports(15, calm, 1000), UsageReport{Proxy: 0, Txns: 500, Period: Second},
			ListUpdate{Entries: []Entry{
				{Backend: 1, Zone: 0, Status: Ready, Weight: 3},
				{Backend: 3, Zone: 1, Status: Ready, Weight: 3},
			}})...) {
			if l, ok := o.(SetWeight); ok && first < 0 {
				first = l.Table / len(r.a.groups)
			}
		}
	}
	if first != 1 {
		t.Errorf("the first lines went to proxy %d", first)
	}
}
