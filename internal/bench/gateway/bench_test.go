package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/controlplane/steering"
	"elmfold/internal/fakes/gateway"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// What docs/CAPACITY.md is worked out from, beside the runs of the lab: go test -bench . ./cmd/lab/gateway

func lives(n, services int) (all []rpc.Endpoint) {
	for i := range n {
		all = append(all, rpc.Endpoint{ID: fmt.Sprintf("i-%08x", i), Service: gateway.ServiceName(i % services),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i/services%10, i/250, i%250+1), Zone: fmt.Sprintf("zone-%d", i/services%10),
			Capacity: 4, Seq: uint64(i), Generation: "v1", DirectHeartbeats: true})
	}
	return all
}

func bySize(b *testing.B, sizes []int, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { b.ReportAllocs(); run(b, n) })
	}
}

var backendSizes = []int{500, 2000, 7100}

// A configuration that comes into force at a carrier, or at a controller.
func BenchmarkCharterRead(b *testing.B) {
	bySize(b, []int{380, 1900, 3800}, func(b *testing.B, n int) {
		text := gateway.Configuration(1, gateway.Shape{Services: 200, Routes: n}, 0)
		b.ReportMetric(float64(len(text)), "bytes")
		for b.Loop() {
			if _, err := routeconfig.Parse(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// The first words on a new line: all backends, packed.
func BenchmarkFirstList(b *testing.B) {
	bySize(b, backendSizes, func(b *testing.B, n int) {
		table := registry.New(1500 * time.Millisecond)
		for _, l := range lives(n, 200) {
			table.Heartbeat(time.Second, l)
		}
		size := 0
		for b.Loop() {
			text, err := cbor.Marshal(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: table.All(time.Second)}})
			if err != nil {
				b.Fatal(err)
			}
			size = len(text)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// A beat that says nothing new, and the look for silent ones each second.
func BenchmarkBeat(b *testing.B) {
	bySize(b, backendSizes, func(b *testing.B, n int) {
		table, all, i := registry.New(1500*time.Millisecond), lives(n, 200), 0
		for b.Loop() {
			all[i%n].Seq += uint64(n)
			table.Heartbeat(time.Second, all[i%n])
			i++
		}
	})
}

func BenchmarkExpire(b *testing.B) {
	bySize(b, backendSizes, func(b *testing.B, n int) {
		table := registry.New(1500 * time.Millisecond)
		for _, l := range lives(n, 200) {
			table.Heartbeat(time.Second, l)
		}
		for b.Loop() {
			table.ExpireHeartbeats(time.Second)
		}
	})
}

// A carrier that comes or goes, at each other carrier: while it lasts no request is settled there.
func BenchmarkMembers(b *testing.B) {
	bySize(b, []int{50, 200, 675}, func(b *testing.B, n int) {
		s := balancer.New("hollow-000", "zone-0", balancer.Bounds{}, 0)
		for _, l := range lives(7100, 200) {
			s.SetEndpoint(0, usableEndpoint(l))
		}
		var members []balancer.ProxyInfo
		for i := range n {
			name, zone := fmt.Sprintf("hollow-%03d", i), fmt.Sprintf("zone-%d", i%10)
			members = append(members, balancer.ProxyInfo{Name: name, Zone: zone})
		}
		for b.Loop() {
			s.SetProxies(members)
		}
	})
}

func usableEndpoint(e rpc.Endpoint) balancer.Endpoint {
	return balancer.Endpoint{
		ID:       e.ID,
		Service:  e.Service,
		Address:  e.Address,
		Zone:     e.Zone,
		Capacity: 4,
		Usable:   true,
	}
}

// A request's choice among the backends of a service.
func BenchmarkPick(b *testing.B) {
	bySize(b, []int{6, 36, 356}, func(b *testing.B, n int) {
		s := balancer.New("hollow-000", "zone-0", balancer.Bounds{}, 0)
		for _, l := range lives(n, 1) {
			s.SetEndpoint(0, usableEndpoint(l))
		}
		for b.Loop() {
			if k, kind := s.Pick(
				time.Second,
				balancer.Request{Service: gateway.ServiceName(0), TimeToTarget: time.Second, Draws: [2]float64{0.3, 0.7}},
			); kind == apierror.None {
				s.RecordResult(time.Second, k, balancer.Result{Latency: time.Millisecond})
			}
		}
	})
}

// A second of the decisions for the carriers of two zones, by services: each carrier's 147 requests a second are
// reported. One operation is five calls of Step.
func BenchmarkSecond(b *testing.B) {
	bySize(b, []int{20, 100, 200}, func(b *testing.B, n int) {
		const carriers = 136
		zones := []string{"zone-0", "zone-1"}
		s, services := steering.New(zones, 0), map[string]steering.Service{}
		for i := range n {
			services[gateway.ServiceName(i)] = steering.Service{LatencyTarget: time.Second}
		}
		s.Configure(services)
		var all []steering.Endpoint
		for i, l := range lives(1420, n) {
			all = append(all, steering.Endpoint{ID: l.ID, Service: l.Service, Zone: zones[i/n%2], Capacity: 4, Ready: true})
		}
		var names []string
		now := time.Duration(0)
		s.SetEndpoints(now, all)
		for i := range carriers {
			names = append(names, fmt.Sprintf("c-%03d", i))
			s.Join(names[i], zones[i%2])
		}
		second := func(k int) {
			for i, name := range names {
				var uses []rpc.ServiceLoad
				var met []rpc.EndpointReport
				for j := range min(n, 147) {
					uses = append(
						uses,
						rpc.ServiceLoad{Service: gateway.ServiceName((j + k) % n), Requests: 147 / float64(min(n, 147))},
					)
					met = append(met, rpc.EndpointReport{ID: all[(i*7+j*13+k)%len(all)].ID, Attempts: 1, Latency: 500})
				}
				s.Report(name, uses, met, 1)
			}
			for range 5 {
				now += 200 * time.Millisecond
				s.Step(now)
			}
		}
		for k := range 5 {
			second(k)
		}
		k := 5
		for b.Loop() {
			second(k)
			k++
		}
	})
}
