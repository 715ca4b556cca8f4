package policy

import (
	"math"
	"testing"
)

// One that hears of a try at a backend every 3 s only still learns within a minute which is slow: what little comes
// adds up. One voided try among four is chance and costs nothing.
func TestLittleIsAddedUp(t *testing.T) {
	d := deployment()
	d.Products, d.Zones, d.Proxies = d.Products[:1], 1, 1
	r := newRig(t, d)
	var list []Entry
	for b := range 12 {
		list = append(list, ready(b, 0))
	}
	r.step(ListUpdate{Kind: ListCached, Entries: list}, ProxyConnected{Proxy: 0, Rate: 4})
	for s := range 60 {
		e := []Event{UsageReport{Proxy: 0, Txns: 4, Period: Second}}
		for b := s % 3; b < 12; b += 3 {
			h := BackendReport{Backend: b, Attempts: 1, Latency: 400}
			if b < 6 { // half of all: the median must not be taken from them
				h.Latency = 6000
			}
			e = append(e, h)
		}
		r.second(e...)
	}
	if slow, quick := r.weight(0, 0, 2), r.weight(0, 0, 8); slow > 0.5*quick || r.a.totalLimit > 0 {
		t.Errorf("after a minute a slow backend has %.2f where a quick one has %.2f; total %v", slow, quick, r.a.totalLimit)
	}
	for b := range 12 { // chance: one of four
		if r.a.decay(b, 10, 10); b == 11 {
			r.second(BackendReport{Backend: b, Attempts: 4, Failed: 1, Latency: 400})
		}
	}
	if r.a.backends.derating[11] < 1 {
		t.Errorf("one voided try of four: relief %v", r.a.backends.derating[11])
	}
}

// Who is told the same sums does not act in the same instant; all have acted after some turns, as one alone does, and
// what is told of a backend that nobody here has tried counts. Old word counts for less and less.
func TestToldMovesInTurn(t *testing.T) {
	const many = 40
	all := make([]*rig, many)
	for i := range all {
		d := deployment()
		d.Products, d.Zones, d.Proxies, d.FirstTick = d.Products[:1], 1, many, Time(1+i*271)
		all[i] = newRig(t, d)
		all[i].step(ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 0), ready(3, 0)}},
			ProxyConnected{Proxy: i, Rate: 4})
	}
	moved, most := 0, 0
	for range 9 {
		now := 0
		for i, r := range all {
			was := r.a.backends.derating[0]
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
			r.second(e...)
			if r.a.backends.derating[0] < was {
				now++
			}
		}
		moved, most = moved+now, max(most, now)
	}
	if moved < 3*many-many/2 || most > many/2 {
		t.Errorf("%d moves of %d in 9 s, %d in the same second", moved, 3*many, most)
	}
}

// What others tell of their use is room that a zone has, or has not: a controller that is joined by proxies of one
// zone learns that the other is full. When nobody tells any more it goes back to its own view in steps.
func TestElsewhereSetsSpill(t *testing.T) {
	d := deployment()
	d.Products, d.Proxies = d.Products[:1], 4
	play := func(there float64) (r *rig, away float64) {
		r = newRig(t, d)
		r.step(ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}},
			ProxyConnected{Proxy: 0, Rate: 100}, ProxyConnected{Proxy: 1, Rate: 100})
		for range 8 {
			r.second(UsageReport{Proxy: 0, Txns: 100, Period: Second}, UsageReport{Proxy: 1, Txns: 100, Period: Second},
				RemoteUsage{Rates: [][]float64{{0, there}}})
		}
		return r, r.a.spillover[0][0][1]
	}
	if _, away := play(200); away > 0.01 {
		t.Errorf("%.2f leaves for a zone that is as full", away)
	}
	r, away := play(0)
	if away < 0.4 {
		t.Errorf("%.2f leaves for a zone that is empty", away)
	}
	for range 30 {
		was := r.a.localShare()
		r.second(UsageReport{Proxy: 0, Txns: 100, Period: Second}, UsageReport{Proxy: 1, Txns: 100, Period: Second})
		if now := r.a.localShare(); now > was+1e-9 || now < was-0.25 {
			t.Fatalf("part of the fleet jumps from %.2f to %.2f", was, now)
		}
	}
	if part := r.a.localShare(); part != 0.5 {
		t.Errorf("part %.2f when nobody tells, not that of the proxies", part)
	}
}

// Most txns of a few proxies go to their own zone, which came back cold and voids; of the others little is heard, and
// that is good. The fleet is not overloaded for that: nothing is bounded, and warm lines count as what they are.
func TestOwnZoneIsNotTheFleet(t *testing.T) {
	r := start(t, deployment())
	var more []Entry
	for b := 4; b < 12; b++ {
		more = append(more, ready(b, 1))
	}
	r.step(ListUpdate{Kind: ListChange, Entries: more})
	for range 10 {
		r.second() // news are rare
		e := reports(10, nil, 0)
		for b := range 12 {
			h := BackendReport{Backend: b, Attempts: 1, Latency: 900}
			if b < 2 {
				h = BackendReport{Backend: b, Attempts: 30, Failed: 20, Latency: 7000}
			}
			e = append(e, h)
		}
		r.second(e...)
	}
	if r.a.totalLimit > 0 || r.a.overloaded || r.a.medianFailed > 0.1 {
		t.Errorf("total %v, over %v, %.2f voided at the median", r.a.totalLimit, r.a.overloaded, r.a.medianFailed)
	}
}

// A proxy of a quarter of a txn a second, of which little is heard, is not kept to what chance showed of it while a
// line of it is cold and has room for all: its level lets nearly all in that comes by chance.
func TestColdLevelsLetChanceIn(t *testing.T) {
	d := deployment()
	d.Products, d.Zones = d.Products[:1], 1
	r := newRig(t, d)
	cold := ready(1, 0)
	cold.StartedAt = r.now - 10*Second
	r.step(
		ListUpdate{Kind: ListCached, Entries: []Entry{ready(0, 0), cold}},
		ProxyConnected{Proxy: 0, Rate: 1},
		ProxyConnected{Proxy: 1, Rate: 60},
	)
	for range 10 { // of proxy 0 the report says that nothing came in a while
		r.second()
		r.second(UsageReport{Proxy: 1, Txns: 60, Period: Second}, UsageReport{Proxy: 0, Txns: 0, Period: 8 * Second},
			BackendReport{Backend: 0, Attempts: 30, Latency: 400}, BackendReport{Backend: 1, Attempts: 20, Latency: 400})
	}
	level := r.gate(0, 0).RateLimit
	in, chance, use := 0.0, math.Exp(-0.25), 0.25
	for n := 0.0; n < 10; n++ {
		in, chance = in+chance*min(n, level), chance*use/(n+1)
	}
	if in < 0.85*use {
		t.Errorf("level %.2f lets %.0f%% in", level, 100*in/use)
	}
}
