package policy

import (
	"fmt"
	"hash/fnv"
	"math/rand"
)

// simulationDeployment returns a deployment with restricted products and a tight channel.
func simulationDeployment(seed int64) Deployment {
	return Deployment{
		Products: []Product{
			{Revenue: 1, SLA: 8000},
			{Revenue: 3, SLA: 20000, OwnZone: true},
			{
				Revenue:   2,
				SLA:       8000,
				OnlyZones: []int{0, 1},
				OnlyKinds: []int{1},
			},
		},
		Zones:         3,
		Proxies:       14,
		HonorRemovals: seed%2 == 0,
		Limits: LimitKind(
			seed % 2,
		),
		WarmupTime:      10 * Second,
		WarmupCapacity:  0.2,
		WarmupOverload:  3,
		MinConns:        300,
		LinesPerSecond:  3000,
		MaxQueuedLines:  3000,
		MessageOverhead: 6,
		MaxMessages:     30,
		MessageWindow:   10 * Second,
	}
}

// simulate runs step against 200 s of events from a seed and returns a digest of all orders.
func simulate(seed int64, step func(Time, []Event) []Order) string {
	random := rand.New(rand.NewSource(seed))
	sum := fnv.New64a()
	var events []Event
	for b := range 30 {
		events = append(
			events,
			ListUpdate{
				Kind:    ListChange,
				Entries: []Entry{{Backend: b, Zone: b % 3, Kind: b % 2, Status: Ready, Weight: 1 + float64(b%4)}},
			},
		)
	}
	for p := range 14 {
		events = append(events, ProxyConnected{Proxy: p, Zone: p % 3, Rate: 10, HasPeerTables: p%2 == 0})
	}
	for now, nextTick := Time(0), Second; now < 200*Second; now += Second / 4 {
		if now >= nextTick {
			events, nextTick = append(events, TimerFired{Name: 0}), now+Second
			loadFactor := 1 + 2*float64(now/(40*Second)%2)
			for p := range 14 {
				for k := range 3 {
					events = append(
						events,
						UsageReport{
							Proxy:   p,
							Product: k,
							Txns:    float64(random.Intn(20)) * loadFactor,
							Failed:  float64(random.Intn(3)),
							Period:  Second,
						},
					)
				}
			}
			for b := range 30 {
				events = append(
					events,
					BackendReport{
						Backend:  b,
						Attempts: 20,
						Failed:   float64(random.Intn(4)),
						Latency:  Time(500 + random.Intn(int(2000*loadFactor))),
					},
				)
			}
		}
		switch b, p := random.Intn(30), random.Intn(14); random.Intn(24) {
		case 0:
			events = append(
				events,
				ListUpdate{Kind: ListChange, Entries: []Entry{{Backend: b, Zone: b % 3, Kind: b % 2, Status: Draining, Weight: 1}}},
			)
		case 1, 2:
			events = append(
				events,
				ListUpdate{
					Kind:    ListChange,
					Entries: []Entry{{Backend: b, Zone: b % 3, Kind: b % 2, Status: Ready, Weight: 2, StartedAt: now}},
				},
			)
		case 3:
			events = append(events, ListUpdate{Kind: ListChange, Entries: []Entry{{Backend: b, Status: Gone}}})
		case 4:
			events = append(
				events,
				ProxyDisconnected{Proxy: p},
				ProxyConnected{Proxy: p, Zone: p % 3, Rate: 5, HasPeerTables: true},
			)
		}
		orders := step(now, events)
		events = nil
		_, _ = fmt.Fprint(sum, now, orders)
		for _, o := range orders {
			if marker, ok := o.(Marker); ok {
				for p := range 14 {
					if random.Intn(10) > 0 {
						events = append(events, MarkerAcked{Proxy: p, Number: marker.Number})
					}
				}
			}
		}
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}
