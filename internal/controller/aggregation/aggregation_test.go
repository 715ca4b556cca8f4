package aggregation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet delivers messages between nodes and records what each node receives.
type fleet struct {
	nodes    map[string]*Node
	names    []string
	now      time.Duration
	received map[string]map[string]float64 // attempts that other nodes recorded, by receiving node and backend
	maxAge   time.Duration                 // of all totals
	drops    func(from, to string) bool    // nil: no message is lost
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: map[string]*Node{}, received: map[string]map[string]float64{}}
	for i := range n {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		f.nodes[name], f.received[name] = New(name, 1), map[string]float64{}
	}
	f.updateMembers()
	return f
}

func (f *fleet) updateMembers() {
	for _, n := range f.nodes {
		n.SetMembers(f.names)
	}
}

func (f *fleet) depth(name string) (depth int) {
	for f.nodes[name].Parent() != "" && depth < len(f.names) {
		name = f.nodes[name].Parent()
		depth++
	}
	return depth
}

// runRound flushes all nodes, children before parents. Every message is delivered twice.
func (f *fleet) runRound() {
	f.now += time.Second
	order := slices.Clone(f.names)
	slices.SortFunc(order, func(a, b string) int { return f.depth(b) - f.depth(a) })
	for _, name := range order {
		n := f.nodes[name]
		partial, fromOthers, forChildren := n.Flush(f.now)
		if partial != nil && (f.drops == nil || !f.drops(name, n.Parent())) {
			f.nodes[n.Parent()].HandlePartial(name, *partial, f.now)
			if f.nodes[n.Parent()].HandlePartial(name, *partial, f.now) {
				panic("a duplicate partial was accepted")
			}
		}
		f.deliverTotal(name, fromOthers, forChildren)
	}
}

func (f *fleet) deliverTotal(name string, fromOthers *Summary, forChildren map[string]Total) {
	if fromOthers == nil {
		return
	}
	for _, r := range fromOthers.Reports {
		f.received[name][r.Backend] += r.Attempts
	}
	f.maxAge = max(f.maxAge, fromOthers.Age)
	for child, t := range forChildren {
		if f.drops != nil && f.drops(name, child) {
			continue
		}
		childFromOthers, forGrandchildren := f.nodes[child].HandleTotal(name, t, f.now)
		f.deliverTotal(child, childFromOthers, forGrandchildren)
		if again, _ := f.nodes[child].HandleTotal(name, t, f.now); again != nil {
			panic("a duplicate total was accepted")
		}
	}
}

// Each measurement counts once at every other node and never at its origin, although every message arrives twice.
func TestMeasurementsCountOnce(t *testing.T) {
	for _, n := range []int{1, 2, 9, 10, 74, 240} {
		f := newFleet(n)
		own := map[string]map[string]float64{}
		all := map[string]float64{}
		random := rand.New(rand.NewPCG(uint64(n), 1))
		for range 6 {
			for _, name := range f.names {
				backend, attempts := fmt.Sprint("s-", random.IntN(5)), float64(1+random.IntN(4))
				f.nodes[name].Record(Report{Backend: backend, Attempts: attempts, TotalLatencyMS: 40 * attempts}, f.now)
				if own[name] == nil {
					own[name] = map[string]float64{}
				}
				own[name][backend] += attempts
				all[backend] += attempts
			}
			f.runRound()
		}
		f.runRound()
		for _, name := range f.names {
			for backend, sum := range all {
				got, want := f.received[name][backend], sum-own[name][backend]
				if math.Abs(got-want) > 1e-6 {
					t.Fatalf("%d nodes: %s received %v attempts at %s, want %v", n, name, got, backend, want)
				}
			}
		}
		if f.maxAge > 1500*time.Millisecond {
			t.Errorf("%d nodes: the age of a total was %v", n, f.maxAge)
		}
	}
}

// Half of the nodes restart under their former names while messages are lost: no node receives more attempts than were
// recorded, and once no more messages are lost every node receives all of them.
func TestRestartsAndMessageLoss(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(40)
		recorded := 0.0
		recordAtAll := func() {
			for _, name := range f.names {
				f.nodes[name].Record(Report{Backend: "s", Attempts: 1}, f.now)
				recorded++
			}
		}
		f.drops = func(string, string) bool { return random.IntN(4) == 0 }
		for round := range 12 {
			recordAtAll()
			if round == 4 {
				f.names = f.names[:20]
				f.updateMembers()
			}
			if round == 8 {
				for i := 20; i < 40; i++ {
					name := fmt.Sprint("n", i)
					f.names = append(f.names, name)
					f.nodes[name] = New(name, uint64(1000+round))
				}
				f.updateMembers()
			}
			f.runRound()
		}
		for _, name := range f.names {
			if got := f.received[name]["s"]; got > recorded {
				t.Fatalf("seed %d: %s received %v attempts, %v were recorded", seed, name, got, recorded)
			}
		}
		f.drops = nil
		f.runRound()
		before := map[string]float64{}
		for _, name := range f.names {
			before[name] = f.received[name]["s"]
		}
		recordAtAll()
		f.runRound()
		for _, name := range f.names {
			if got := f.received[name]["s"] - before[name]; math.Abs(got-39) > 1e-6 {
				t.Fatalf("seed %d: %s received %v of 39 attempts", seed, name, got)
			}
		}
	}
}

// A node that sends implausible values can add only a bounded number of attempts. In a partitioned fleet, each part
// counts only the attempts of its own nodes.
func TestImplausibleReportsAndPartition(t *testing.T) {
	f := newFleet(24)
	faulty := f.names[0]
	for _, name := range f.names {
		if len(f.nodes[name].Children()) == 0 { // a leaf, whose parent is another node
			faulty = name
		}
	}
	for _, name := range f.names {
		f.nodes[name].Record(Report{Backend: "s", Attempts: 10, TotalLatencyMS: 400}, f.now)
	}
	f.nodes[faulty].Record(Report{Backend: "s", Attempts: 1e8, Failed: 2e8, TotalLatencyMS: -1}, f.now)
	f.nodes[faulty].Record(Report{Backend: "s", Attempts: 1e8, Failed: 2e8, TotalLatencyMS: 1e12}, f.now)
	f.nodes[faulty].Record(Report{Backend: "", Attempts: 5}, f.now)
	f.nodes[faulty].Record(Report{Backend: "s", Attempts: math.NaN()}, f.now)
	f.runRound()
	for _, name := range f.names {
		if name != faulty && f.received[name]["s"] > 230+maxAttemptsRatio*10*3 {
			t.Fatalf("%s received %v attempts", name, f.received[name]["s"])
		}
	}
	f.names = f.names[:12]
	f.updateMembers()
	before := f.received["n3"]["s"]
	for _, name := range f.names {
		f.nodes[name].Record(Report{Backend: "s", Attempts: 1}, f.now)
	}
	f.runRound()
	if got := f.received["n3"]["s"] - before; got != 11 {
		t.Errorf("n3, in a partition of 12 nodes, received %v attempts, want the 11 of the other nodes", got)
	}
}

// A round that has the attempts of two of nine controllers only: the child's are scaled to eight times the mean of the
// others, which is an eighth, although they are true.
func TestAttemptsFarAboveTheOthersAreScaled(t *testing.T) {
	var members []string
	for i := range fanOut + 1 {
		members = append(members, fmt.Sprint("n", i))
	}
	root := members[0]
	for _, name := range members {
		if parent, _ := TreePosition(name, members); parent == "" {
			root = name
		}
	}
	n := New(root, 1)
	n.SetMembers(members)
	n.Record(Report{Backend: "s", Attempts: 1}, 0)
	for i, child := range n.Children() {
		p := Partial{Seq: 1, Incarnation: 1, Summary: Summary{Origins: 1}}
		if i == 0 {
			p.Summary.Reports = []Report{{Backend: "s", Attempts: 3}}
		}
		n.HandlePartial(child, p, 0)
	}
	_, _, totals := n.Flush(0)
	for child, total := range totals {
		if child == n.Children()[0] {
			continue
		}
		if got := total.Summary.Reports[0].Attempts; got != 2 {
			t.Errorf("%s is told of %v attempts, of 4 that were recorded", child, got)
		}
	}
}
