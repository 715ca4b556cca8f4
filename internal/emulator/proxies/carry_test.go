package proxies

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"
)

// short is a small day with the trouble of one that is listed.
func short(name string) Shape {
	for _, d := range Days() {
		if d.Name == name {
			d.Length, d.From, d.FaultDuration = 8*time.Second, 2*time.Second, 3*time.Second
			return Shape{Seed: 1, Kinds: Kinds(), Zones: 3, Proxies: 6, Day: d}
		}
	}
	panic(name)
}

// The model against what is known: without a tail, tiring or a wave of speeds, slots are busy for the load that is
// offered, and one queue of many slots hardly ever makes anyone wait at seven tenths (Erlang C).
func TestQueues(t *testing.T) {
	k := Kinds()[0]
	k.SpeedLow, k.High, k.Tire, k.Backends, k.Slots, k.Queue = 1, 1, false, 1, 12, 1000
	k.LatencyTarget, k.Deadline = time.Hour, time.Hour
	day := Day{Use: 0.7, Length: 300 * time.Second}
	s := Play(Shape{Seed: 3, Kinds: []Kind{k}, Zones: 1, Proxies: 1, Day: day}, "least loaded")
	if s.All.Inside != s.All.Requests || len(s.Missed) > 0 {
		t.Errorf("%+v", s)
	}
	if busy := s.Busy[0]; math.Abs(busy-0.7) > 0.02 {
		t.Errorf("slots are busy for %.3f of the time", busy)
	}
	k.LatencyTarget = 5 * k.Work / 2 // hardly a work lasts longer, those of the tail aside
	s = Play(Shape{Seed: 3, Kinds: []Kind{k}, Zones: 1, Proxies: 1, Day: day}, "least loaded")
	if in := float64(s.All.Inside) / float64(s.All.Requests); in < 0.98 || in > 0.998 {
		t.Errorf("%.4f inside", in)
	}
}

// Each request has one end, on every day and in every way; the settler breaks no rule, and the plain ways break some.
func TestTotals(t *testing.T) {
	broken := 0
	for _, d := range Days() {
		shape, all := short(d.Name), -1
		for _, way := range Ways {
			s := Play(shape, way)
			if len(s.Missed) > 0 || all >= 0 && s.All.Requests != all {
				t.Errorf("%s, %s: %v, %d requests, not %d", d.Name, way, s.Missed, s.All.Requests, all)
			}
			all = s.All.Requests
			if way == Ways[0] && len(s.Rules) > 0 {
				t.Errorf("%s, %s: %v", d.Name, way, s.Rules)
			}
			broken += len(s.Rules)
		}
	}
	if broken == 0 {
		t.Error("no way breaks a rule: is it seen?")
	}
}

// The same seed gives the same day, to each figure.
func TestSameDay(t *testing.T) {
	a, b := Play(short("two dark"), "settler"), Play(short("two dark"), "settler")
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// Plain ways only: whatever is tuned in the settler must not change what is approved here.
func TestDay(t *testing.T) {
	var said strings.Builder
	for _, day := range []string{"zone dark", "crash"} {
		for _, way := range []string{"round robin", "two choices", "central"} {
			s := Play(short(day), way)
			a := s.All
			fmt.Fprintf(&said, "%s, %s: worth %.3f, worst %.3f; %d requests, %d inside, %d after, ", day, way, a.Earnings(),
				s.Worst, a.Requests, a.Inside, a.Late)
			fmt.Fprintf(&said, "%d returned, %d refused, %d failed, %d held; ", a.Returned, a.Refused, a.Failed, a.Unfinished)
			fmt.Fprintf(&said, "%d connections, %d further, %d in vain; %v\n", s.Connections, s.Further, s.InVain, s.Rules)
		}
	}
	autogold.Equal(t, said.String())
}
