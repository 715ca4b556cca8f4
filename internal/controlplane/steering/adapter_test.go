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

// rig drives a Bearing as the controller does: a call every 200 ms, a report of each carrier a second.
type rig struct {
	b        *Adapter
	now      time.Duration
	list     []Endpoint
	carriers []string // in the order in which they report
	rate     map[string]float64
	took     time.Duration
	said     strings.Builder
	tables   int                           // since the rig was made
	weights  map[string]map[string]float64 // by carrier and backend, as it holds them
	levels   map[string]float64            // ... its level; 0: unbounded
}

const perMs10 = 100 * time.Microsecond

// newRig has three zones of two backends each; the carriers of zone a steer here, the others have two each.
func newRig(carriers ...string) *rig {
	r := &rig{b: New([]string{"c", "a", "b"}, 0), rate: map[string]float64{}, took: 100 * time.Millisecond,
		weights: map[string]map[string]float64{}, levels: map[string]float64{}}
	r.b.Configure(map[string]Service{"svc": {LatencyTarget: time.Second}})
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			r.list = append(r.list, Endpoint{ID: fmt.Sprint(z, i), Service: "svc", Zone: z, Capacity: 6, Ready: true})
		}
	}
	r.b.SetEndpoints(0, r.list)
	members := []rpc.ProxyInfo{{Name: "y0", Zone: "b"}, {Name: "y1", Zone: "b"},
		{Name: "z0", Zone: "c"}, {Name: "z1", Zone: "c"}}
	for _, c := range carriers {
		members = append(members, rpc.ProxyInfo{Name: c, Zone: "a"})
	}
	r.b.SetProxies(members)
	for _, c := range carriers {
		r.join(c)
	}
	return r
}

func (r *rig) join(c string) {
	r.b.Join(c, "a")
	r.carriers = append(r.carriers, c)
}

func (r *rig) seconds(n int) {
	for range n {
		for _, c := range r.carriers {
			came := r.rate[c]
			let := came
			if l := r.levels[c]; l > 0 {
				let = min(let, l)
			}
			var met []rpc.EndpointReport
			if let > 0 {
				for _, id := range []string{"a0", "a1"} {
					met = append(met, rpc.EndpointReport{ID: id, Attempts: let / 2, Latency: int64(r.took / perMs10)})
				}
			}
			r.b.Report(c, []rpc.ServiceLoad{{Service: "svc", Requests: came, Failed: came - let}}, met, 1)
		}
		for range 5 {
			r.now += 200 * time.Millisecond
			r.step()
		}
	}
}

func (r *rig) step() {
	tables := r.b.Step(r.now)
	for _, c := range slices.Sorted(maps.Keys(tables)) {
		for _, t := range tables[c] {
			r.tables++
			fmt.Fprintf(&r.said, "%4.1f s %s:", r.now.Seconds(), c)
			if t.Full {
				r.weights[c] = map[string]float64{}
				r.said.WriteString(" whole")
			}
			for _, id := range slices.Sorted(maps.Keys(t.Weights)) {
				r.weights[c][id] = t.Weights[id]
				fmt.Fprintf(&r.said, " %s=%.2g", id, t.Weights[id])
			}
			if t.Limited {
				r.levels[c] = t.RateLimit
				fmt.Fprintf(&r.said, " level %.3g", t.RateLimit)
			}
			r.said.WriteString("\n")
		}
	}
}

func (r *rig) note(text string) { fmt.Fprintln(&r.said, text) }

// The ordinary path: joins, a calm stretch, overload with a bounded total that busy carriers take from idle ones, a
// leave that resets, and the lift.
func TestDay(t *testing.T) {
	r := newRig("p0", "p1", "p2")
	r.rate["p0"], r.rate["p1"], r.rate["p2"] = 20, 20, 20
	r.note("# joins: zone first, listed weights, no level")
	r.seconds(3)
	r.note("# calm: nothing to tell")
	r.seconds(20)
	r.note("# overload: answers take 1.3 times the target")
	r.took, r.rate["p0"] = 1300*time.Millisecond, 60
	r.seconds(3)
	r.note("# answers quick again, p0 busy, p1 and p2 idle")
	r.took, r.rate["p0"], r.rate["p1"], r.rate["p2"] = 300*time.Millisecond, 90, 5, 5
	r.seconds(4)
	r.note("# p2 leaves: the same total is shared anew")
	r.b.Leave("p2")
	r.carriers = []string{"p0", "p1"}
	r.seconds(2)
	r.note("# demand falls")
	r.rate["p0"] = 10
	r.seconds(12)
	autogold.Equal(t, r.said.String())
	if r.levels["p0"] != 0 || r.levels["p1"] != 0 {
		t.Errorf("levels %v long after the overload", r.levels)
	}
}

// Backends come, drain, are evacuated and die.
func TestBackends(t *testing.T) {
	r := newRig("p0")
	r.rate["p0"] = 30
	r.seconds(6)
	first := r.list
	r.note("# a2 is new while requests come: a tenth, doubled every 5 s")
	r.list = append(slices.Clone(first), Endpoint{ID: "a2", Service: "svc", Zone: "a", Capacity: 6, Ready: true})
	r.b.SetEndpoints(r.now, r.list)
	r.seconds(20)
	r.note("# a2 drains: out with the next call, before the tick")
	r.list[len(r.list)-1].Ready = false
	r.b.SetEndpoints(r.now, r.list)
	r.step()
	r.note("# a2 is gone, then its zone is evacuated: the other zones join")
	r.b.SetEndpoints(r.now, first)
	r.seconds(2)
	away := slices.Clone(first)
	for i := range away {
		away[i].Ready = away[i].Zone != "a"
	}
	r.b.SetEndpoints(r.now, away)
	r.seconds(2)
	r.note("# and taken back, without a ramp")
	r.b.SetEndpoints(r.now, first)
	r.seconds(40)
	r.note("# its place is another's now; a target changes: all anew, with what is known")
	r.b.SetEndpoints(
		r.now,
		append(slices.Clone(first), Endpoint{ID: "a3", Service: "svc", Zone: "a", Capacity: 3, Ready: true}),
	)
	r.seconds(2)
	r.b.Configure(map[string]Service{"svc": {LatencyTarget: 2 * time.Second}})
	r.seconds(2)
	autogold.Equal(t, r.said.String())
	if n := len(r.b.services["svc"].ids); n != 7 {
		t.Errorf("%d places for 7 backends", n)
	}
}

// A zone that is short has others join, for its excess only and while it is short.
func TestShort(t *testing.T) {
	r := newRig("p0", "p1")
	r.rate["p0"], r.rate["p1"] = 40, 40 // 8 of 12 slots at 100 ms
	r.seconds(10)
	if r.weights["p0"]["b0"] > 0 {
		t.Errorf("other zones joined though all zones are as well used: %v", r.weights["p0"])
	}
	half := slices.DeleteFunc(slices.Clone(r.list), func(b Endpoint) bool { return b.ID == "a0" })
	r.b.SetEndpoints(r.now, half)
	r.seconds(3)
	w := r.weights["p0"]
	others := w["b0"] + w["b1"] + w["c0"] + w["c1"]
	if away := others / (w["a1"] + others); away < 0.3 || away > 0.5 {
		t.Errorf("half of the zone is lost: %.2f goes elsewhere, of %v", away, w)
	}
	r.b.SetEndpoints(r.now, r.list)
	r.seconds(25)
	if w := r.weights["p0"]; w["b0"]+w["b1"]+w["c0"]+w["c1"] > 0 {
		t.Errorf("the zone is whole again: %v", w)
	}
}

// Carriers that get little of a service are not told of it each second, nor is it asked about each second for ever.
func TestQuiet(t *testing.T) {
	r := newRig("p0", "p1")
	r.seconds(2)
	was := r.tables
	r.rate["p0"] = 1
	r.seconds(10)
	r.rate["p0"] = 0
	r.seconds(80)
	if r.tables != was {
		t.Errorf("told of nothing:\n%s", r.said.String())
	}
	s := r.b.services["svc"]
	at := s.lastActivity
	if r.seconds(5); s.lastActivity != at {
		t.Error("a service that nobody uses has news")
	}
	r.rate["p0"] = 30
	if r.seconds(2); s.proxies[0].rate < 15 {
		t.Errorf("a use that came back counts as %.1f/s", s.proxies[0].rate)
	}
}

// BenchmarkTick is a second of reports and its tick: services x backends x carriers, all of them in use.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ services, backends, carriers int }{{3, 10, 10}, {1, 500, 136}, {200, 35, 136}} {
		b.Run(fmt.Sprint(size.services, "x", size.backends, "x", size.carriers), func(b *testing.B) {
			g := New([]string{"a", "b", "c", "d", "e"}, 0)
			config, list, members := map[string]Service{}, []Endpoint{}, []rpc.ProxyInfo{}
			for s := range size.services {
				config[fmt.Sprint("s", s)] = Service{LatencyTarget: time.Second}
				for i := range size.backends {
					list = append(list, Endpoint{ID: fmt.Sprint(s, "-", i), Service: fmt.Sprint("s", s), Zone: g.zones[i%5],
						Capacity: 6, Ready: true})
				}
			}
			g.Configure(config)
			g.SetEndpoints(0, list)
			for c := range size.carriers {
				g.Join(fmt.Sprint("p", c), "a")
				members = append(members, rpc.ProxyInfo{Name: fmt.Sprint("p", c), Zone: "a"})
			}
			g.SetProxies(members)
			now, told := time.Duration(0), 0
			second := func() {
				for c := range size.carriers {
					var uses []rpc.ServiceLoad
					var met []rpc.EndpointReport
					for s := range size.services {
						uses = append(uses, rpc.ServiceLoad{Service: fmt.Sprint("s", s), Requests: 10})
						met = append(met, rpc.EndpointReport{ID: fmt.Sprint(s, "-", c%size.backends/5*5), Attempts: 10, Latency: 1000})
					}
					g.Report(fmt.Sprint("p", c), uses, met, 1)
				}
				now += time.Second
				told += len(g.Step(now))
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
