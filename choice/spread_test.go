package choice

import (
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
	r.step(Listed{Kind: ListCached, Entries: list}, Joined{Proxy: 0, Rate: 4})
	for s := range 60 {
		e := []Event{Used{Proxy: 0, Txns: 4, Counting: Second}}
		for b := s % 3; b < 12; b += 3 {
			h := Heard{Backend: b, Tries: 1, Took: 400}
			if b < 6 { // half of all: the median must not be taken from them
				h.Took = 6000
			}
			e = append(e, h)
		}
		r.second(e...)
	}
	if slow, quick := r.weight(0, 0, 2), r.weight(0, 0, 8); slow > 0.5*quick || r.a.total > 0 {
		t.Errorf("after a minute a slow backend has %.2f where a quick one has %.2f; total %v", slow, quick, r.a.total)
	}
	for b := range 12 { // chance: one of four
		if r.a.fade(b, 10, 10); b == 11 {
			r.second(Heard{Backend: b, Tries: 4, Voided: 1, Took: 400})
		}
	}
	if r.a.be.relief[11] < 1 {
		t.Errorf("one voided try of four: relief %v", r.a.be.relief[11])
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
		all[i].step(Listed{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 0), ready(3, 0)}},
			Joined{Proxy: i, Rate: 4})
	}
	moved, most := 0, 0
	for range 9 {
		now := 0
		for i, r := range all {
			was := r.a.be.relief[0]
			e := []Event{Used{Proxy: i, Txns: 4, Counting: Second}}
			for b := range 4 {
				e = append(e, Told{Heard: Heard{Backend: b, Tries: 100, Took: either(b == 0, Time(6000), 400)}, Age: Second})
			}
			r.second(e...)
			if r.a.be.relief[0] < was {
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
		r.step(Listed{Kind: ListCached, Entries: []Entry{ready(0, 0), ready(1, 0), ready(2, 1), ready(3, 1)}},
			Joined{Proxy: 0, Rate: 100}, Joined{Proxy: 1, Rate: 100})
		for range 8 {
			r.second(Used{Proxy: 0, Txns: 100, Counting: Second}, Used{Proxy: 1, Txns: 100, Counting: Second},
				Elsewhere{Uses: [][]float64{{0, there}}})
		}
		return r, r.a.spill[0][0][1]
	}
	if _, away := play(200); away > 0.01 {
		t.Errorf("%.2f leaves for a zone that is as full", away)
	}
	r, away := play(0)
	if away < 0.4 {
		t.Errorf("%.2f leaves for a zone that is empty", away)
	}
	for range 30 {
		was := r.a.partHere()
		r.second(Used{Proxy: 0, Txns: 100, Counting: Second}, Used{Proxy: 1, Txns: 100, Counting: Second})
		if now := r.a.partHere(); now > was+1e-9 || now < was-0.25 {
			t.Fatalf("part of the fleet jumps from %.2f to %.2f", was, now)
		}
	}
	if part := r.a.partHere(); part != 0.5 {
		t.Errorf("part %.2f when nobody tells, not that of the proxies", part)
	}
}
