package aggregation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet passes words between nodes; a model beside it keeps what each origin met and in which total it must stand.
type fleet struct {
	nodes map[string]*Node
	names []string
	now   time.Duration
	heard map[string]map[string]float64 // tries told to a node, by backend
	age   time.Duration                 // the oldest total
	lose  func(from, to string) bool
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: map[string]*Node{}, heard: map[string]map[string]float64{}}
	for i := range n {
		f.add(fmt.Sprint("n", i), 1)
	}
	f.members()
	return f
}

func (f *fleet) add(name string, first uint64) {
	if f.nodes[name] == nil {
		f.names = append(f.names, name)
	}
	f.nodes[name], f.heard[name] = New(name, first), map[string]float64{}
}

func (f *fleet) members() {
	for _, n := range f.nodes {
		n.SetMembers(f.names)
	}
}

// wave lets all tell, children before parents, twice: what is doubled must count once.
func (f *fleet) wave() {
	f.now += time.Second
	order := slices.Clone(f.names)
	depth := func(name string) (d int) {
		for f.nodes[name].Parent() != "" && d < len(f.names) {
			name, d = f.nodes[name].Parent(), d+1
		}
		return d
	}
	slices.SortFunc(order, func(a, b string) int { return depth(b) - depth(a) })
	for _, name := range order {
		n := f.nodes[name]
		up, total, on := n.Flush(f.now)
		if up != nil && (f.lose == nil || !f.lose(name, n.Parent())) {
			f.nodes[n.Parent()].HandlePartial(name, *up, f.now)
			if f.nodes[n.Parent()].HandlePartial(name, *up, f.now) {
				panic("a word was taken twice")
			}
		}
		f.down(name, total, on)
	}
}

func (f *fleet) down(name string, total *Summary, on map[string]Total) {
	if total == nil {
		return
	}
	for _, w := range total.Reports {
		f.heard[name][w.Backend] += w.Attempts
	}
	f.age = max(f.age, total.Age)
	for to, d := range on {
		if f.lose != nil && f.lose(name, to) {
			continue
		}
		t, further := f.nodes[to].HandleTotal(name, d, f.now)
		f.down(to, t, further)
		if again, _ := f.nodes[to].HandleTotal(name, d, f.now); again != nil {
			panic("a total was taken twice")
		}
	}
}

// Each origin's word counts once at everybody else and never at itself, at any number of nodes, while words come twice.
func TestEachWordOnce(t *testing.T) {
	for _, n := range []int{1, 2, 9, 10, 74, 240} {
		f := newFleet(n)
		own := map[string]map[string]float64{}
		all := map[string]float64{}
		chance := rand.New(rand.NewPCG(uint64(n), 1))
		for range 6 {
			for _, name := range f.names {
				id, tries := fmt.Sprint("s-", chance.IntN(5)), float64(1+chance.IntN(4))
				f.nodes[name].Record(Report{Backend: id, Attempts: tries, TotalLatencyMS: 40 * tries}, f.now)
				if own[name] == nil {
					own[name] = map[string]float64{}
				}
				own[name][id] += tries
				all[id] += tries
			}
			f.wave()
		}
		f.wave()
		for _, name := range f.names {
			for id, sum := range all {
				if got, want := f.heard[name][id], sum-own[name][id]; math.Abs(got-want) > 1e-6 {
					t.Fatalf("%d nodes: %s heard of %v tries at %s, the others met %v", n, name, got, id, want)
				}
			}
		}
		if f.age > 1500*time.Millisecond {
			t.Errorf("%d nodes: a total was %v old", n, f.age)
		}
	}
}

// Half of the nodes die, come again under their names, and links lose words: nobody ever hears of more than was
// met, and once all is calm again nothing is missing of what is met then.
func TestDeathsAndLosses(t *testing.T) {
	for seed := range uint64(20) {
		chance := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(40)
		met := 0.0
		meets := func() {
			for _, name := range f.names {
				f.nodes[name].Record(Report{Backend: "s", Attempts: 1}, f.now)
				met++
			}
		}
		f.lose = func(string, string) bool { return chance.IntN(4) == 0 }
		for round := range 12 {
			meets()
			if round == 4 {
				f.names = f.names[:20]
				f.members()
			}
			if round == 8 {
				for i := 20; i < 40; i++ {
					name := fmt.Sprint("n", i)
					f.names = append(f.names, name)
					f.nodes[name] = New(name, uint64(1000+round))
				}
				f.members()
			}
			f.wave()
		}
		for _, name := range f.names {
			if got := f.heard[name]["s"]; got > met {
				t.Fatalf("seed %d: %s heard of %v tries, %v were met", seed, name, got, met)
			}
		}
		f.lose = nil
		f.wave()
		before := map[string]float64{}
		for _, name := range f.names {
			before[name] = f.heard[name]["s"]
		}
		meets()
		f.wave()
		for _, name := range f.names {
			if got := f.heard[name]["s"] - before[name]; math.Abs(got-39) > 1e-6 {
				t.Fatalf("seed %d: %s heard of %v tries of 39", seed, name, got)
			}
		}
	}
}

// One that tells nonsense is bounded to what the others tell, several times, and cannot say what cannot be; halves that
// are cut off from each other each go on with what they have.
func TestNonsenseAndHalves(t *testing.T) {
	f := newFleet(24)
	liar := f.names[0]
	for _, name := range f.names { // a leaf, so that it has a parent that is not it
		if len(f.nodes[name].Children()) == 0 {
			liar = name
		}
	}
	for _, name := range f.names {
		f.nodes[name].Record(Report{Backend: "s", Attempts: 10, TotalLatencyMS: 400}, f.now)
	}
	f.nodes[liar].Record(Report{Backend: "s", Attempts: 1e8, Failed: 2e8, TotalLatencyMS: -1}, f.now)
	f.nodes[liar].Record(Report{Backend: "s", Attempts: 1e8, Failed: 2e8, TotalLatencyMS: 1e12}, f.now)
	f.nodes[liar].Record(Report{Backend: "", Attempts: 5}, f.now)
	f.nodes[liar].Record(Report{Backend: "s", Attempts: math.NaN()}, f.now)
	f.wave()
	for _, name := range f.names {
		if name != liar && f.heard[name]["s"] > 230+mostPart*10*3 {
			t.Fatalf("%s heard of %v tries", name, f.heard[name]["s"])
		}
	}
	f.names = f.names[:12]
	f.members()
	before := f.heard["n3"]["s"]
	for _, name := range f.names {
		f.nodes[name].Record(Report{Backend: "s", Attempts: 1}, f.now)
	}
	f.wave()
	if got := f.heard["n3"]["s"] - before; got != 11 {
		t.Errorf("a half of 12 heard of %v tries of 11", got)
	}
}
