package steering

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

// harness calls an Adapter every 200 ms and reports for each proxy once a second.
type harness struct {
	adapter    *Adapter
	now        time.Duration
	endpoints  []Endpoint
	proxies    []string // in the order of their reports
	rates      map[string]float64
	latency    time.Duration
	transcript strings.Builder               // all updates, one per line
	tables     int                           // number of updates
	weights    map[string]map[string]float64 // by proxy and endpoint
	rateLimits map[string]float64            // by proxy; 0: unlimited
}

const latencyUnit = 100 * time.Microsecond

// newHarness has three zones with two endpoints each. The given proxies join in zone a; the other zones have two
// proxies each, which other nodes steer.
func newHarness(proxies ...string) *harness {
	r := &harness{adapter: New([]string{"c", "a", "b"}, 0), rates: map[string]float64{}, latency: 100 * time.Millisecond,
		weights: map[string]map[string]float64{}, rateLimits: map[string]float64{}}
	r.adapter.Configure(map[string]Service{"svc": {LatencyTarget: time.Second}})
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			r.endpoints = append(r.endpoints, Endpoint{ID: fmt.Sprint(z, i), Service: "svc", Zone: z, Capacity: 6, Ready: true})
		}
	}
	r.adapter.SetEndpoints(0, r.endpoints)
	leases := []rpc.ProxyInfo{{Name: "y0", Zone: "b"}, {Name: "y1", Zone: "b"},
		{Name: "z0", Zone: "c"}, {Name: "z1", Zone: "c"}}
	for _, c := range proxies {
		leases = append(leases, rpc.ProxyInfo{Name: c, Zone: "a"})
	}
	r.adapter.SetProxies(leases)
	for _, c := range proxies {
		r.join(c)
	}
	return r
}

func (r *harness) join(c string) {
	r.adapter.Join(c, "a")
	r.proxies = append(r.proxies, c)
}

func (r *harness) run(n int) {
	for range n {
		for _, c := range r.proxies {
			arrived := r.rates[c]
			admitted := arrived
			if l := r.rateLimits[c]; l > 0 {
				admitted = min(admitted, l)
			}
			var reports []rpc.EndpointReport
			if admitted > 0 {
				for _, id := range []string{"a0", "a1"} {
					latency := int64(r.latency / latencyUnit)
					reports = append(reports, rpc.EndpointReport{ID: id, Attempts: admitted / 2, Latency: latency})
				}
			}
			r.adapter.Report(c, []rpc.ServiceLoad{{Service: "svc", Requests: arrived, Failed: arrived - admitted}}, reports, 1)
		}
		for range 5 {
			r.now += 200 * time.Millisecond
			r.step()
		}
	}
}

func (r *harness) step() {
	tables := r.adapter.Step(r.now)
	for _, c := range slices.Sorted(maps.Keys(tables)) {
		for _, t := range tables[c] {
			r.tables++
			fmt.Fprintf(&r.transcript, "%4.1f s %s:", r.now.Seconds(), c)
			if t.Full {
				r.weights[c] = map[string]float64{}
				r.transcript.WriteString(" whole")
			}
			for _, id := range slices.Sorted(maps.Keys(t.Weights)) {
				r.weights[c][id] = t.Weights[id]
				fmt.Fprintf(&r.transcript, " %s=%.2g", id, t.Weights[id])
			}
			if t.HasRateLimit {
				r.rateLimits[c] = t.RateLimit
				fmt.Fprintf(&r.transcript, " level %.3g", t.RateLimit)
			}
			r.transcript.WriteString("\n")
		}
	}
}

func (r *harness) note(text string) { fmt.Fprintln(&r.transcript, text) }

// Proxies join, one becomes busy under overload and gets limit from idle ones, a proxy leaves, and the limits end.
func TestDay(t *testing.T) {
	r := newHarness("p0", "p1", "p2")
	r.rates["p0"], r.rates["p1"], r.rates["p2"] = 20, 20, 20
	r.note("# joins: zone first, listed weights, no level")
	r.run(3)
	r.note("# calm: nothing to tell")
	r.run(20)
	r.note("# overload: answers take 1.3 times the target")
	r.latency, r.rates["p0"] = 1300*time.Millisecond, 60
	r.run(3)
	r.note("# answers quick again, p0 busy, p1 and p2 idle")
	r.latency, r.rates["p0"], r.rates["p1"], r.rates["p2"] = 300*time.Millisecond, 90, 5, 5
	r.run(4)
	r.note("# p2 leaves: the same total is shared anew")
	r.adapter.Leave("p2")
	r.proxies = []string{"p0", "p1"}
	r.run(2)
	r.note("# demand falls")
	r.rates["p0"] = 10
	r.run(12)
	autogold.Equal(t, r.transcript.String())
	if r.rateLimits["p0"] != 0 || r.rateLimits["p1"] != 0 {
		t.Errorf("rate limits %v remain long after the overload", r.rateLimits)
	}
}

// Endpoints start, drain, are evacuated and removed.
func TestBackends(t *testing.T) {
	r := newHarness("p0")
	r.rates["p0"] = 30
	r.run(6)
	first := r.endpoints
	r.note("# a2 is new while requests come: a tenth, doubled every 5 s")
	r.endpoints = append(slices.Clone(first), Endpoint{ID: "a2", Service: "svc", Zone: "a", Capacity: 6, Ready: true})
	r.adapter.SetEndpoints(r.now, r.endpoints)
	r.run(20)
	r.note("# a2 drains: out with the next call, before the tick")
	r.endpoints[len(r.endpoints)-1].Ready = false
	r.adapter.SetEndpoints(r.now, r.endpoints)
	r.step()
	r.note("# a2 is gone, then its zone is evacuated: the other zones join")
	r.adapter.SetEndpoints(r.now, first)
	r.run(2)
	away := slices.Clone(first)
	for i := range away {
		away[i].Ready = away[i].Zone != "a"
	}
	r.adapter.SetEndpoints(r.now, away)
	r.run(2)
	r.note("# and taken back, without a ramp")
	r.adapter.SetEndpoints(r.now, first)
	r.run(40)
	r.note("# its place is another's now; a target changes: all anew, with what is known")
	r.adapter.SetEndpoints(
		r.now,
		append(slices.Clone(first), Endpoint{ID: "a3", Service: "svc", Zone: "a", Capacity: 3, Ready: true}),
	)
	r.run(2)
	r.adapter.Configure(map[string]Service{"svc": {LatencyTarget: 2 * time.Second}})
	r.run(2)
	autogold.Equal(t, r.transcript.String())
	if n := len(r.adapter.services["svc"].ids); n != 7 {
		t.Errorf("%d indices for 7 endpoints", n)
	}
}

// A zone that lost capacity sends its excess to other zones until it recovers.
func TestSpilloverWhenZoneIsShort(t *testing.T) {
	r := newHarness("p0", "p1")
	r.rates["p0"], r.rates["p1"] = 40, 40 // 8 of 12 concurrent requests at 100 ms
	r.run(10)
	if r.weights["p0"]["b0"] > 0 {
		t.Errorf("traffic leaves a zone though all zones are equally loaded: %v", r.weights["p0"])
	}
	half := slices.DeleteFunc(slices.Clone(r.endpoints), func(b Endpoint) bool { return b.ID == "a0" })
	r.adapter.SetEndpoints(r.now, half)
	r.run(3)
	w := r.weights["p0"]
	others := w["b0"] + w["b1"] + w["c0"] + w["c1"]
	if away := others / (w["a1"] + others); away < 0.3 || away > 0.5 {
		t.Errorf("with half of the zone lost %.2f leaves it: %v", away, w)
	}
	r.adapter.SetEndpoints(r.now, r.endpoints)
	r.run(25)
	if w := r.weights["p0"]; w["b0"]+w["b1"]+w["c0"]+w["c1"] > 0 {
		t.Errorf("traffic still leaves the recovered zone: %v", w)
	}
}

// Low traffic causes no updates, and a service without traffic is no longer ticked.
func TestNoUpdatesForLowTraffic(t *testing.T) {
	r := newHarness("p0", "p1")
	r.run(2)
	before := r.tables
	r.rates["p0"] = 1
	r.run(10)
	r.rates["p0"] = 0
	r.run(80)
	if r.tables != before {
		t.Errorf("updates without a change:\n%s", r.transcript.String())
	}
	s := r.adapter.services["svc"]
	at := s.lastActivity
	if r.run(5); s.lastActivity != at {
		t.Error("a service without traffic has activity")
	}
	r.rates["p0"] = 30
	if r.run(2); s.proxies[0].rate < 15 {
		t.Errorf("resumed traffic of 30/s counts as %.1f/s", s.proxies[0].rate)
	}
}

// BenchmarkTick measures a second of reports and its tick, by services x endpoints x proxies.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ services, endpoints, proxies int }{{3, 10, 10}, {1, 500, 136}, {200, 35, 136}} {
		b.Run(fmt.Sprint(size.services, "x", size.endpoints, "x", size.proxies), func(b *testing.B) {
			g := New([]string{"a", "b", "c", "d", "e"}, 0)
			config, list, leases := map[string]Service{}, []Endpoint{}, []rpc.ProxyInfo{}
			for s := range size.services {
				config[fmt.Sprint("s", s)] = Service{LatencyTarget: time.Second}
				for i := range size.endpoints {
					list = append(list, Endpoint{ID: fmt.Sprint(s, "-", i), Service: fmt.Sprint("s", s), Zone: g.zones[i%5],
						Capacity: 6, Ready: true})
				}
			}
			g.Configure(config)
			g.SetEndpoints(0, list)
			for c := range size.proxies {
				g.Join(fmt.Sprint("p", c), "a")
				leases = append(leases, rpc.ProxyInfo{Name: fmt.Sprint("p", c), Zone: "a"})
			}
			g.SetProxies(leases)
			now := time.Duration(0)
			second := func() {
				for c := range size.proxies {
					var loads []rpc.ServiceLoad
					var reports []rpc.EndpointReport
					for s := range size.services {
						loads = append(loads, rpc.ServiceLoad{Service: fmt.Sprint("s", s), Requests: 10})
						id := fmt.Sprint(s, "-", c%size.endpoints/5*5)
						reports = append(reports, rpc.EndpointReport{ID: id, Attempts: 10, Latency: 1000})
					}
					g.Report(fmt.Sprint("p", c), loads, reports, 1)
				}
				now += time.Second
				g.Step(now)
			}
			for range 4 {
				second()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				second()
			}
		})
	}
}
