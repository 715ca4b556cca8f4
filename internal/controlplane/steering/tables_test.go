package steering

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"elmfold/internal/gateway/rpc"
)

// playScenario plays four minutes of random endpoints, proxies, loads and targets and returns a digest of all routing
// tables.
func playScenario(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 7))
	zones := []string{"a", "b", "c"}[:1+r.IntN(3)]
	zone := func() string { return zones[r.IntN(len(zones))] }
	a := New(zones, time.Duration(r.IntN(1000))*time.Millisecond)
	services := map[string]Service{}
	configure := func() {
		for i := range 1 + r.IntN(3) {
			services[fmt.Sprint("s", i)] = Service{LatencyTarget: time.Duration(r.IntN(3)) * 400 * time.Millisecond}
		}
		if r.IntN(4) == 0 {
			delete(services, "s2")
		}
		a.Configure(maps.Clone(services))
	}
	configure()
	var endpoints []Endpoint
	proxies := map[string]bool{}
	sum, tables := sha256.New(), 0
	for now := time.Duration(0); now < 4*time.Minute; now += time.Duration(150+r.IntN(100)) * time.Millisecond {
		switch r.IntN(40) {
		case 0, 1, 2:
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("e", r.IntN(200)), Service: fmt.Sprint("s", r.IntN(4)),
				Zone: zone(), Capacity: r.IntN(20), Ready: true})
		case 3:
			if len(endpoints) > 0 {
				i := r.IntN(len(endpoints))
				endpoints[i].Ready = !endpoints[i].Ready
			}
		case 4:
			if len(endpoints) > 0 {
				endpoints = slices.Delete(endpoints, 0, 1)
			}
		case 5:
			name := fmt.Sprint("p", r.IntN(6))
			proxies[name] = true
			a.Join(name, zone())
		case 6:
			name := fmt.Sprint("p", r.IntN(6))
			delete(proxies, name)
			a.Leave(name)
		case 7:
			var all []rpc.ProxyInfo
			for i := range r.IntN(9) {
				all = append(all, rpc.ProxyInfo{Name: fmt.Sprint("p", i), Zone: zone()})
			}
			a.SetProxies(all)
		case 8:
			configure()
		}
		a.SetEndpoints(now, endpoints)
		for _, name := range slices.Sorted(maps.Keys(proxies)) {
			if r.IntN(5) > 0 {
				continue
			}
			var loads []rpc.ServiceLoad
			var reports []rpc.EndpointReport
			for i := range r.IntN(3) {
				arrived := float64(r.IntN(200))
				load := rpc.ServiceLoad{Service: fmt.Sprint("s", i), Requests: arrived, Failed: arrived * r.Float64() / 2}
				loads = append(loads, load)
			}
			for _, e := range endpoints {
				n := float64(r.IntN(30))
				reports = append(reports, rpc.EndpointReport{ID: e.ID, Attempts: n, Failed: n * r.Float64() / 3,
					Latency: int64(r.IntN(20000)), Queued: r.IntN(5) == 0})
			}
			a.Report(name, loads, reports, 0.8+r.Float64()/2)
		}
		out := a.Step(now)
		for _, name := range slices.Sorted(maps.Keys(out)) {
			for _, t := range out[name] {
				tables++
				fmt.Fprintf(sum, "%v %s %s %v %v %v", now, name, t.Service, t.Full, t.HasRateLimit, t.RateLimit)
				for _, id := range slices.Sorted(maps.Keys(t.Weights)) {
					fmt.Fprintf(sum, " %s=%v", id, t.Weights[id])
				}
				fmt.Fprintln(sum)
			}
		}
	}
	return fmt.Sprintf("%d tables %x", tables, sum.Sum(nil)[:12])
}

// testdata/tables-d330930.txt holds digests recorded at commit d330930. They guard against unintended changes of
// routing tables.
func TestTablesStayTheSame(t *testing.T) {
	text, err := os.ReadFile("testdata/tables-d330930.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	for seed, line := range want {
		if got := playScenario(uint64(seed)); got != line {
			t.Errorf("seed %d: %s, recorded %s", seed, got, line)
		}
	}
	if len(want) != 60 {
		t.Errorf("%d seeds", len(want))
	}
}
