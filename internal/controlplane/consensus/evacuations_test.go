package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"
)

// zone is the register of one, to which orders come at the time of day (ms).
type zone struct {
	Register
	since uint64 // when it last changed
	known bool   // disks know since when, by their steady clocks
	ids   uint64
}

func (z *zone) order(now uint64, skew int64, begins bool) {
	z.ids++
	z.give(now, skew, begins, z.ids)
}

func (z *zone) give(now uint64, skew int64, begins bool, id uint64) {
	age := Age{time.Duration(now-z.since) * ms, z.known}
	next, _ := Evacuate(begins, id, 5*time.Second, uint64(int64(now)+skew))(z.Register, age)
	if next.Version != z.Version {
		z.Register, z.since, z.known = next, now, true
	}
}

// Guards against the end of one evacuation taking back a zone that another operator still empties, and against an order
// that is only sent again counting as a second one.
func TestEvacuationsOverlap(t *testing.T) {
	var b strings.Builder
	z := &zone{Register: Register{Name: "zone/a"}, known: true}
	const day = 1_700_000_000_000
	say := func(at uint64, what string, do func()) {
		before := z.Version
		do()
		state, _, _ := strings.Cut(string(z.Value), ":")
		fmt.Fprintf(
			&b,
			"%8d %-44s %-3s counts %-5v evacuated %v\n",
			at,
			what,
			state,
			z.Version != before,
			IsEvacuated(z.Value),
		)
	}
	order := func(at uint64, begins bool, what string) { say(at, what, func() { z.order(day+at, 0, begins) }) }
	order(1_000, false, "nothing to take back")
	order(10_000, true, "the first begins")
	order(11_100, true, "... again, its answer was lost")
	order(14_900, true, "... again, 4.9 s after")
	order(16_000, true, "the second begins")
	order(30_000, false, "the first ends")
	order(31_200, false, "... again")
	order(36_000, false, "the second ends")
	order(50_000, true, "a third begins")
	say(50_500, "the same call, decided twice by two ballots", func() { z.give(day+50_500, 0, true, z.ids) })
	say(70_000, "... and much later", func() { z.give(day+70_000, 0, true, z.ids) })
	z.known = false
	order(71_000, false, "all were restarted: it ends")
	z.known = false
	order(72_000, false, "all were restarted: ... again")
	z.known = false
	say(3_700_000, "an hour later by a clock that lags an hour", func() { z.order(day+3_700_000, -3_600_000, false) })
	say(3_710_000, "begins by that clock", func() { z.order(day+3_710_000, -3_600_000, true) })
	say(3_720_000, "another, by a clock that is right", func() { z.order(day+3_720_000, 0, true) })
	say(3_730_000, "one ends by a clock an hour ahead", func() { z.order(day+3_730_000, 3_600_000, false) })
	say(3_740_000, "the other ends by a clock that lags", func() { z.order(day+3_740_000, -3_600_000, false) })
	autogold.Equal(t, b.String())
}

// What counting and a plain state break, for two operators on one zone whose calls are repeated. A plain state
// opens a zone that one of them still empties; counting without regard to repetitions leaves it empty for ever.
// Counting as it is done here does neither, unless two orders of different operators come within the span of
// repetitions of each other: that price is shown.
func TestCountingAgainstAPlainState(t *testing.T) {
	type result struct{ opened, stuck int } // days on which the zone was open under an operator; was empty for ever
	var plain, naive, counted [2]result     // on days when orders came apart, and near each other
	var days [2]int
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 7))
		type call struct {
			at     uint64
			begins bool
		}
		var calls []call
		var begins, ends [2]uint64
		for op := range 2 {
			begins[op] = 100_000 + random.Uint64N(60_000)
			ends[op] = begins[op] + 6_000 + random.Uint64N(60_000)
			for _, c := range []call{{begins[op], true}, {ends[op], false}} {
				calls = append(calls, c)
				for again := c; random.IntN(3) == 0 && again.at < c.at+3_500; { // its answer was lost
					again.at += 1_000
					calls = append(calls, again)
				}
			}
		}
		slices.SortFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
		kind := 0
		for _, a := range []uint64{begins[0], ends[0]} {
			for _, b := range []uint64{begins[1], ends[1]} {
				if max(a, b)-min(a, b) < 9_500 {
					kind = 1
				}
			}
		}
		days[kind]++
		z := &zone{Register: Register{Name: "zone/a"}, known: true}
		simple, n := false, 0
		opened := [3]bool{}
		for i, c := range calls {
			z.order(c.at, 0, c.begins)
			if simple = c.begins; c.begins {
				n++
			} else {
				n = max(n-1, 0)
			}
			if i+1 < len(calls) && calls[i+1].at > c.at+10 { // until the next call
				for op := range 2 {
					under := c.at >= begins[op] && c.at < ends[op]
					opened[0] = opened[0] || under && !simple
					opened[1] = opened[1] || under && n == 0
					opened[2] = opened[2] || under && !IsEvacuated(z.Value)
				}
			}
		}
		for i, r := range []*result{&plain[kind], &naive[kind], &counted[kind]} {
			if opened[i] {
				r.opened++
			}
			if []bool{simple, n > 0, IsEvacuated(z.Value)}[i] {
				r.stuck++
			}
		}
	}
	for kind, what := range []string{"no two orders of the two within 9.5 s", "some"} {
		t.Logf(
			"%d days, %s: plain %+v, counted with repetitions %+v, as it is %+v",
			days[kind],
			what,
			plain[kind],
			naive[kind],
			counted[kind],
		)
	}
	if counted[0] != (result{}) || plain[0].opened == 0 || naive[0].stuck == 0 {
		t.Errorf("plain %+v, naive %+v, counted %+v", plain, naive, counted)
	}
}

// What an order to replace the configuration means.
func TestReplace(t *testing.T) {
	holds := Register{Name: charter, Version: Version{Number: 5, ID: 50}, Value: []byte("five")}
	for _, c := range []struct {
		what    string
		holds   Register
		version uint64
		value   string
		fate    Outcome
		after   string
	}{
		{"nothing holds", Register{Name: charter}, 1, "one", Committed, "one"},
		{"version 0 where nothing holds", Register{Name: charter}, 0, "zero", Committed, "zero"},
		{"a higher number", holds, 6, "six", Committed, "six"},
		{"the same again", holds, 5, "five", Committed, "five"},
		{"the same number with other bytes", holds, 5, "cinq", Conflict, "five"},
		{"a lower number", holds, 4, "four", Committed, "five"},
	} {
		next, fate := ReplaceConfig(c.version, 9, []byte(c.value))(c.holds, Age{})
		if fate != c.fate || string(next.Value) != c.after || next.Name != charter {
			t.Errorf("%s: %d, %q", c.what, fate, next.Value)
		}
	}
}
