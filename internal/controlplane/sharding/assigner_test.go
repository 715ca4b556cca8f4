package sharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"elmfold/internal/controlplane/consensus"
)

// bench is one assigner whose proposals are committed and whose calls are answered at once.
type bench struct {
	assigner  *Assigner
	now       time.Duration
	registers map[string]consensus.Register
	endpoints []Endpoint
	answer    func(c Call) CallResult // nil: Accepted
	calls     []Call
}

func newBench(endpoints int) *bench {
	b := &bench{
		assigner:  New(Options{Node: "n", StoreID: "d", Incarnation: 7, Heartbeat: 100 * time.Millisecond}),
		registers: map[string]consensus.Register{},
	}
	for range endpoints {
		b.join()
	}
	b.assigner.SetServices([]string{"s"})
	b.update()
	b.run(2 * time.Second)
	return b
}

func (b *bench) join() {
	n := len(b.endpoints)
	b.endpoints = append(b.endpoints, Endpoint{ID: fmt.Sprintf("e%02d", n), Service: "s",
		Address: fmt.Sprintf("10.0.0.%d:80", n), Capacity: 4, IsUsable: true})
}

func (b *bench) update() { b.assigner.SetEndpoints(b.now, b.endpoints) }

// run steps the assigner for a span, each 50 ms.
func (b *bench) run(span time.Duration) {
	for end := b.now + span; b.now < end; b.now += 50 * time.Millisecond {
		b.step()
	}
}

func (b *bench) step(events ...Event) {
	for _, action := range b.assigner.Step(b.now, events...) {
		switch a := action.(type) {
		case Propose:
			value, outcome := a.Change(b.registers[a.Register], consensus.Age{Exact: true})
			value.Name = a.Register
			b.registers[a.Register] = value
			b.step(Decided{ID: a.ID, Outcome: outcome, Value: value})
		case Call:
			b.calls = append(b.calls, a)
			result := Accepted
			if b.answer != nil {
				result = b.answer(a)
			}
			b.step(CallDone{ID: a.ID, Result: result, Handoff: "token of " + a.EndpointID})
		}
	}
}

// keysOf returns the number of keys that an endpoint holds by the published table.
func (b *bench) keysOf(id string) (n int) {
	b.assigner.TakeChanges()
	for _, p := range b.assigner.Published() {
		for _, r := range p.Ranges {
			if r.Holder == id {
				n += int(r.Last) - int(r.First) + 1
			}
		}
	}
	return n
}

// demand reports requests for keys for a span, `perSecond` of them, drawn by key(i).
func (b *bench) demand(span time.Duration, perSecond int, key func(i int) uint16) {
	for end := b.now + span; b.now < end; {
		var keys []uint16
		for i := range perSecond {
			keys = append(keys, key(i))
		}
		b.assigner.AddLoad("s", keys, 1)
		b.run(time.Second)
	}
}

func (b *bench) loadOf(id string) (load float64) {
	for _, s := range b.assigner.Status(b.now).Services {
		for _, r := range s.Ranges {
			if r.Holder == id {
				load += r.Load
			}
		}
	}
	return load
}

// The keys are divided by capacity, and each is granted once and renewed.
func TestFirstAssignment(t *testing.T) {
	b := newBench(4)
	for _, e := range b.endpoints {
		if n := b.keysOf(e.ID); n != (MaxKey+1)/4 {
			t.Errorf("%s holds %d keys", e.ID, n)
		}
	}
	b.calls = nil
	b.run(10 * time.Second)
	if len(b.calls) < 36 || len(b.calls) > 44 {
		t.Errorf("%d calls in 10 s for 4 ranges", len(b.calls))
	}
}

// Guards against endpoints that join and get no requests. Their range comes with the handover of its former holder.
func TestNewEndpointGetsKeys(t *testing.T) {
	b := newBench(4)
	b.demand(5*time.Second, 200, func(i int) uint16 { return uint16(i * 327) })
	b.join()
	b.endpoints[4].WarmupEnd = b.now + 3*time.Second
	b.update()
	b.run(2900 * time.Millisecond)
	if n := b.keysOf("e04"); n > 0 {
		t.Errorf("it holds %d keys in its slow start", n)
	}
	b.calls = nil
	b.run(2 * time.Second)
	if n := b.keysOf("e04"); n < (MaxKey+1)/16 {
		t.Errorf("it holds %d keys", n)
	}
	i := slices.IndexFunc(b.calls, func(c Call) bool { return c.Kind == Grant && c.EndpointID == "e04" })
	j := slices.IndexFunc(b.calls, func(c Call) bool { return c.Kind == Release })
	if i < 0 || j < 0 || j > i || b.calls[i].Handoff != "token of "+b.calls[j].EndpointID {
		t.Errorf("release %d, grant %d: %+v", j, i, b.calls)
	}
}

// The load of a busy stretch of keys is spread over the endpoints, and a key that is hot by itself is left alone.
func TestHotKeysAreSpread(t *testing.T) {
	b := newBench(8)
	b.demand(20*time.Second, 400, func(i int) uint16 {
		if i%2 == 0 {
			return uint16(1000 + i) // 400 keys with half of the load
		}
		return uint16(i * 163)
	})
	for _, e := range b.endpoints {
		if load := b.loadOf(e.ID); load < 15 || load > 90 {
			t.Errorf("%s has %.0f of 400 requests/s", e.ID, load)
		}
	}
	before := b.assigner.Counts().Moves
	b.demand(10*time.Second, 400, func(i int) uint16 {
		if i%2 == 0 {
			return 5000
		}
		return uint16(i * 163)
	})
	middle := b.assigner.Counts().Moves
	b.demand(10*time.Second, 400, func(i int) uint16 {
		if i%2 == 0 {
			return 5000
		}
		return uint16(i * 163)
	})
	if after := b.assigner.Counts().Moves; after > middle+2 {
		t.Errorf("moves go on under a steady load: %d, %d, %d", before, middle, after)
	}
}

// Guards against calls that repeat a fence which an endpoint has rejected: fences of a cluster whose state was lost.
func TestHigherFenceIsRaised(t *testing.T) {
	b := newBench(2)
	known := uint64(1 << 20)
	rejected := map[uint64]int{}
	b.answer = func(c Call) CallResult {
		if c.Kind == Grant && c.EndpointID == "e01" && c.Fence < known {
			rejected[c.Fence]++
			return Outdated
		}
		return Accepted
	}
	b.run(10 * time.Second)
	for fence, n := range rejected {
		if n > 1 {
			t.Errorf("fence %d was used %d times after it was rejected", fence, n-1)
		}
	}
	b.calls = nil
	b.run(2 * time.Second)
	isGranted := slices.ContainsFunc(b.calls, func(c Call) bool { return c.EndpointID == "e01" && c.Fence >= known })
	if !isGranted || len(rejected) > 20 {
		t.Errorf("granted: %t, after %d fences", isGranted, len(rejected))
	}
}

// An endpoint that leaves loses its ranges at once, divided among the others, and gets none.
func TestLeavingEndpointIsEmptied(t *testing.T) {
	b := newBench(4)
	b.demand(4*time.Second, 200, func(i int) uint16 { return uint16(i * 327) })
	b.endpoints[0].IsUsable = false
	b.update()
	b.run(500 * time.Millisecond)
	total := 0
	for _, e := range b.endpoints[1:] {
		n := b.keysOf(e.ID)
		total += n
		if n < (MaxKey+1)/4 || n > (MaxKey+1)*2/5 {
			t.Errorf("%s holds %d keys", e.ID, n)
		}
	}
	if total != MaxKey+1 {
		t.Errorf("%d keys are held", total)
	}
}

// Many moves leave no table that grows: neighbouring ranges of one holder are united.
func TestRangesAreUnited(t *testing.T) {
	b := newBench(4)
	for round := range 40 {
		hot := uint16(round * 1600)
		b.demand(3*time.Second, 200, func(i int) uint16 { return hot + uint16(i) })
	}
	if n := b.assigner.Counts().Ranges; n > 2*maxRangesPerEndpoint*4+8 {
		t.Errorf("%d ranges", n)
	}
}

// A release gives up the lease: the next node does not wait for its end.
func TestShutdownReleasesTheLease(t *testing.T) {
	b := newBench(2)
	b.step(Shutdown{})
	if b.assigner.IsActive() {
		t.Error("it still acts")
	}
	next := New(Options{Node: "m", StoreID: "e", Incarnation: 8})
	next.SetServices([]string{"s"})
	next.Observe(0, b.registers[LeaseRegister])
	b.assigner = next
	b.now = 0
	b.run(200 * time.Millisecond)
	if !next.IsActive() || next.Term() != 2 {
		t.Errorf("active: %t, term %d", next.IsActive(), next.Term())
	}
}

// BenchmarkFleet is a second of an assigner's work for 7,100 endpoints, with 24,000 requests.
func BenchmarkFleet(b *testing.B) {
	fleet := newBench(7100)
	keys := make([]uint16, 24000)
	for i := range keys {
		keys[i] = uint16(i * 7919)
	}
	for b.Loop() {
		fleet.assigner.AddLoad("s", keys, 1)
		fleet.run(time.Second)
		fleet.calls = nil
		fleet.assigner.TakeChanges()
	}
}
