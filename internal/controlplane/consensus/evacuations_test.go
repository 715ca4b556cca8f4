package consensus

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"
)

// zoneRegister is the register of a zone, with requests at times of day in ms.
type zoneRegister struct {
	Register
	changedAt uint64 // time of day
	ageKnown  bool   // whether Age.Exact is set
	lastID    uint64
}

// sentLongAgo is the bound of a request on a connection that is as old as any other request, and sentNow that of a
// request on a connection that has just come up.
func sentLongAgo() time.Duration { return time.Hour }
func sentNow() time.Duration     { return 0 }

func (zone *zoneRegister) request(now uint64, clockSkew int64, begin bool) {
	zone.lastID++
	zone.requestWithID(now, clockSkew, begin, zone.lastID)
}

func (zone *zoneRegister) requestWithID(now uint64, clockSkew int64, begin bool, id uint64) {
	age := Age{time.Duration(now-zone.changedAt) * ms, zone.ageKnown}
	next, _ := Evacuate(begin, id, 5*time.Second, uint64(int64(now)+clockSkew), sentNow)(zone.Register, age)
	if next.Version != zone.Version {
		zone.Register, zone.changedAt, zone.ageKnown = next, now, true
	}
}

// Guards against the finish of one evacuation ending another one of the same zone, and against a retry that counts as a
// second request.
func TestEvacuationsOverlap(t *testing.T) {
	var b strings.Builder
	zone := &zoneRegister{Register: Register{Name: "zone/a"}, ageKnown: true}
	record := func(at uint64, description string, do func()) {
		before := zone.Version
		do()
		state, _, _ := strings.Cut(string(zone.Value), ":")
		fmt.Fprintf(
			&b,
			"%8d %-44s %-3s counts %-5v evacuated %v\n",
			at,
			description,
			state,
			zone.Version != before,
			IsEvacuated(zone.Value),
		)
	}
	request := func(at uint64, begin bool, description string) {
		record(at, description, func() { zone.request(startTime+at, 0, begin) })
	}
	request(1_000, false, "nothing to take back")
	request(10_000, true, "the first begins")
	request(11_100, true, "... again, its answer was lost")
	request(14_900, true, "... again, 4.9 s after")
	request(16_000, true, "the second begins")
	request(30_000, false, "the first ends")
	request(31_200, false, "... again")
	request(36_000, false, "the second ends")
	request(50_000, true, "a third begins")
	record(
		50_500,
		"the same call, decided twice by two ballots",
		func() { zone.requestWithID(startTime+50_500, 0, true, zone.lastID) },
	)
	record(70_000, "... and much later", func() { zone.requestWithID(startTime+70_000, 0, true, zone.lastID) })
	zone.ageKnown = false
	request(71_000, false, "all were restarted: it ends")
	zone.ageKnown = false
	request(72_000, false, "all were restarted: ... again")
	zone.ageKnown = false
	record(
		3_700_000,
		"an hour later by a clock that lags an hour",
		func() { zone.request(startTime+3_700_000, -3_600_000, false) },
	)
	record(3_710_000, "begins by that clock", func() { zone.request(startTime+3_710_000, -3_600_000, true) })
	record(3_720_000, "another, by a clock that is right", func() { zone.request(startTime+3_720_000, 0, true) })
	record(3_730_000, "one ends by a clock an hour ahead", func() { zone.request(startTime+3_730_000, 3_600_000, false) })
	record(
		3_740_000,
		"the other ends by a clock that lags",
		func() { zone.request(startTime+3_740_000, -3_600_000, false) },
	)
	autogold.Equal(t, b.String())
}

// Guards against a late copy of an order that undoes a later, acknowledged one of the opposite kind (EVAC): it is
// refused however late it is. The same order in earnest has effect if it was sent after the one in between.
func TestLateCopyOfOrder(t *testing.T) {
	const window = 5 * time.Second
	for _, firstBegins := range []bool{true, false} {
		for _, more := range []int{1, 2} { // orders of the opposite kind in between
			zone := &zoneRegister{Register: Register{Name: "zone/a"}, ageKnown: true}
			at, id := uint64(startTime), uint64(0)
			orderSent := func(begin bool, within time.Duration) Outcome {
				id++
				age := Age{Duration: time.Duration(at-zone.changedAt) * ms, Exact: zone.ageKnown}
				change := Evacuate(begin, id, window, at, func() time.Duration { return within })
				next, outcome := change(zone.Register, age)
				if next.Version != zone.Version {
					zone.Register, zone.changedAt = next, at
				}
				return outcome
			}
			order := func(begin bool) Outcome { return orderSent(begin, sentLongAgo()) }
			if !firstBegins { // an earlier evacuation to finish
				order(true)
				at += 20_000
			}
			order(firstBegins)
			firstAt := at
			for range more {
				at += 1_500
				if outcome := orderSent(!firstBegins, 0); outcome != Committed {
					t.Errorf("the opposite order has outcome %d", outcome)
				}
			}
			isEvacuated := IsEvacuated(zone.Value)
			for _, late := range []uint64{4_900, 5_100, 20_000, 3_000_000} { // ms; the last is just under sentLongAgo
				at = firstAt + late
				sinceLast := time.Duration(at-zone.changedAt) * ms
				sent := Evacuate(firstBegins, 99, window, at, func() time.Duration { return sinceLast - 100*ms })
				if _, outcome := sent(zone.Register, Age{Duration: sinceLast, Exact: true}); outcome != Committed {
					t.Errorf("an order that was sent after the one in between has outcome %d", outcome)
				}
				if outcome := order(firstBegins); outcome != PossibleDuplicate || IsEvacuated(zone.Value) != isEvacuated {
					t.Errorf("begins %v, %d between: a copy that is %d ms late has outcome %d, evacuated %v", firstBegins, more,
						late, outcome, IsEvacuated(zone.Value))
				}
			}
		}
	}
}

// After a restart of all nodes, only clocks and the time since the restart tell how old the last request is. Guards
// against the begin of a second operator that is taken for a retry by a clock that is wrong: the first finish would
// then end its evacuation too (EVAC).
func TestRetryByWrongClock(t *testing.T) {
	const window = 5500 * ms
	for _, c := range []struct {
		name        string
		sinceLoaded time.Duration // a lower bound of the age
		byClock     int64         // ms
		outcome     Outcome
		open        int
	}{
		{"a clock that is right, a retry", 3 * time.Second, 4_000, Committed, 1},
		{"a clock that is right, a second request", 3 * time.Second, 6_500, Committed, 2},
		{"a clock that lags by the time in which a request is decided", 3 * time.Second, 2_500, Committed, 1},
		{"a clock that lags by half an hour", 4800 * ms, -1_800_000, PossibleDuplicate, 1},
		{"a clock that lags by two seconds", 4800 * ms, 2_900, PossibleDuplicate, 1},
		{"the same, later than any retry", 5500 * ms, 3_600, Committed, 2},
	} {
		first, _ := Evacuate(true, 1, window, startTime, sentNow)(Register{Name: "zone/a"}, Age{})
		second := Evacuate(true, 2, window, uint64(startTime+c.byClock), sentNow)
		next, outcome := second(first, Age{Duration: c.sinceLoaded})
		if open := parseEvacuations(next.Value).open; outcome != c.outcome || open != c.open {
			t.Errorf("%s: outcome %d, %d evacuations open", c.name, outcome, open)
		}
	}
}

// The value of a zone as d330930 reads it: a count, the last kind, and ids of 8 bytes; a shorter rest is ignored.
// Guards against a gap between requests that nodes of that version take for an id, and against one that is lost.
func TestEncodedGap(t *testing.T) {
	for _, gap := range []time.Duration{unknownGap, 0, 1234 * ms, 1 << 40 * ms} {
		e := evacuations{open: 2, last: lastBegan, ids: []uint64{7, 0x3a3a3a3a3a3a3a3a}, gap: gap}
		value := e.encode()
		state, rest, _ := strings.Cut(string(value), ":")
		ids := rest[:len(rest)/8*8]
		if state != "2b" || ids != "\x00\x00\x00\x00\x00\x00\x00\x07::::::::" {
			t.Errorf("gap %v: a node of the former version reads %q and %q", gap, state, ids)
		}
		if gap > math.MaxUint32*ms {
			gap = unknownGap
		}
		if decoded := parseEvacuations(value); decoded.gap != gap || !slices.Equal(decoded.ids, e.ids) {
			t.Errorf("gap %v is read as %+v", gap, decoded)
		}
	}
	if e := parseEvacuations([]byte("1b:\x00\x00\x00\x00\x00\x00\x00\x07")); e.gap != unknownGap {
		t.Errorf("a value of the former version has the gap %v", e.gap)
	}
}

// Compares three ways to handle two operators that evacuate one zone and retry their requests. A flag ends an
// evacuation while the other operator still needs it. Counting every request, retries included, leaves the zone
// evacuated forever. Evacuate does neither, unless two requests of different operators come within the retry window.
func TestEvacuateComparedWithFlagAndCount(t *testing.T) {
	// opened counts the runs in which an evacuation ended too early, stuck those in which the zone stayed evacuated.
	type result struct{ opened, stuck int }
	const (
		apart = iota // requests of different operators are at least 9.5 s apart
		near
	)
	var flag, countingRetries, evacuate [2]result // by spacing
	var runs [2]int
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 7))
		type request struct {
			at    uint64
			begin bool
		}
		var requests []request
		var begins, finishes [2]uint64
		for operator := range 2 {
			begins[operator] = 100_000 + random.Uint64N(60_000)
			finishes[operator] = begins[operator] + 6_000 + random.Uint64N(60_000)
			for _, current := range []request{{begins[operator], true}, {finishes[operator], false}} {
				requests = append(requests, current)
				for retry := current; random.IntN(3) == 0 && retry.at < current.at+3_500; { // the response was lost
					retry.at += 1_000
					requests = append(requests, retry)
				}
			}
		}
		slices.SortFunc(requests, func(a, b request) int { return cmp.Compare(a.at, b.at) })
		spacing := apart
		for _, a := range []uint64{begins[0], finishes[0]} {
			for _, b := range []uint64{begins[1], finishes[1]} {
				if max(a, b)-min(a, b) < 9_500 {
					spacing = near
				}
			}
		}
		runs[spacing]++
		zone := &zoneRegister{Register: Register{Name: "zone/a"}, ageKnown: true}
		flagSet, count := false, 0
		opened := [3]bool{}
		for i, current := range requests {
			zone.request(current.at, 0, current.begin)
			if flagSet = current.begin; current.begin {
				count++
			} else {
				count = max(count-1, 0)
			}
			if i+1 < len(requests) && requests[i+1].at > current.at+10 { // the state until the next request
				for operator := range 2 {
					isEvacuating := current.at >= begins[operator] && current.at < finishes[operator]
					opened[0] = opened[0] || isEvacuating && !flagSet
					opened[1] = opened[1] || isEvacuating && count == 0
					opened[2] = opened[2] || isEvacuating && !IsEvacuated(zone.Value)
				}
			}
		}
		for i, r := range []*result{&flag[spacing], &countingRetries[spacing], &evacuate[spacing]} {
			if opened[i] {
				r.opened++
			}
			if []bool{flagSet, count > 0, IsEvacuated(zone.Value)}[i] {
				r.stuck++
			}
		}
	}
	for spacing, name := range []string{"requests at least 9.5 s apart", "requests within 9.5 s"} {
		t.Logf(
			"%d runs, %s: flag %+v, counting retries %+v, Evacuate %+v",
			runs[spacing],
			name,
			flag[spacing],
			countingRetries[spacing],
			evacuate[spacing],
		)
	}
	if evacuate[apart] != (result{}) || flag[apart].opened == 0 || countingRetries[apart].stuck == 0 {
		t.Errorf("flag %+v, counting retries %+v, Evacuate %+v", flag, countingRetries, evacuate)
	}
}

func TestReplaceConfig(t *testing.T) {
	committed := Register{Name: configRegister, Version: Version{Number: 5, ID: 50}, Value: []byte("five")}
	for _, c := range []struct {
		name      string
		committed Register
		version   uint64
		value     string
		outcome   Outcome
		wantValue string
	}{
		{"no value", Register{Name: configRegister}, 1, "one", Committed, "one"},
		{"version 0 without a value", Register{Name: configRegister}, 0, "zero", Committed, "zero"},
		{"a higher version", committed, 6, "six", Committed, "six"},
		{"the same version and body", committed, 5, "five", Committed, "five"},
		{"the same version with another body", committed, 5, "cinq", Conflict, "five"},
		{"a lower version", committed, 4, "four", Committed, "five"},
	} {
		next, outcome := ReplaceConfig(c.version, 9, []byte(c.value))(c.committed, Age{})
		if outcome != c.outcome || string(next.Value) != c.wantValue || next.Name != configRegister {
			t.Errorf("%s: %d, %q", c.name, outcome, next.Value)
		}
	}
}
