package policy

import (
	"fmt"
	"hash/fnv"
	"math/rand"
)

func dayOf(seed int64) Deployment {
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

// playDay plays a day drawn from a seed and gives a fingerprint of all orders.
func playDay(seed int64, step func(Time, []Event) []Order) string {
	chance := rand.New(rand.NewSource(seed))
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
	for now, wake := Time(0), Second; now < 200*Second; now += Second / 4 {
		if now >= wake {
			events, wake = append(events, TimerFired{Name: 0}), now+Second
			rush := 1 + 2*float64(now/(40*Second)%2)
			for p := range 14 {
				for k := range 3 {
					events = append(
						events,
						UsageReport{
							Proxy:   p,
							Product: k,
							Txns:    float64(chance.Intn(20)) * rush,
							Failed:  float64(chance.Intn(3)),
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
						Failed:   float64(chance.Intn(4)),
						Latency:  Time(500 + chance.Intn(int(2000*rush))),
					},
				)
			}
		}
		switch b, p := chance.Intn(30), chance.Intn(14); chance.Intn(24) {
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
			if f, ok := o.(Marker); ok {
				for p := range 14 {
					if chance.Intn(10) > 0 {
						events = append(events, MarkerAcked{Proxy: p, Number: f.Number})
					}
				}
			}
		}
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}
