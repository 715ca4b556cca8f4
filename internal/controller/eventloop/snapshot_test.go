package eventloop

import (
	"slices"
	"testing"
	"time"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

// A loop that restores the snapshot of another one has the same estimates. Facts with unknown names are ignored.
func TestSnapshotIsRestored(t *testing.T) {
	kept := map[string]warmstart.Fact{}
	keep := func(facts []warmstart.Fact) {
		for _, f := range facts {
			kept[f.Kind.String()+" "+f.Key] = f
		}
	}
	members := []string{"s-0", "s-1", "s-2", "s-3", "s-4", "s-5"}
	begin := func() (*Loop, *testStream) {
		loop, l := newTestLoop(2), &testStream{sequence: 1}
		whole := list(true)
		for _, id := range members {
			whole.Members = append(whole.Members, serving(id))
		}
		loop.SetCachedList(whole)
		return loop, l
	}
	weight := func(loop *Loop, at int) float64 { return loop.tables[loop.proxies[0].tables[0]].weight[at] }
	loop, l := begin()
	loop.SetFactSink(keep)
	now := 1000 * policy.Second
	loop.Handle(Command{l, textproto.Subscribe{Proxy: 0, Zone: "a", Rate: 30, Fresh: true}})
	for range 20 {
		for i, id := range members {
			took := policy.Time(1000)
			if i == 2 {
				took = 7000
			}
			loop.Handle(Command{l, textproto.BackendReport{Zone: "a", Backend: id, Attempts: 20, Latency: took}})
		}
		loop.Handle(Command{l, textproto.UsageReport{Proxy: 0, Product: "look", Txns: 33, Period: policy.Second}})
		for _, m := range loop.proxies[0].pendingMarkers {
			loop.Handle(Command{l, textproto.Ack{Proxy: 0, Marker: m}})
		}
		now += policy.Second
		loop.Step(now)
	}
	if f := kept["relief s-2"]; f.Value >= 1 || f.Value <= 0 {
		t.Fatalf("kept %v", kept)
	}
	if f := kept["use 0/look"]; f.Value < 30 || f.Age > 9*time.Second {
		t.Errorf("usage stored as %v", f)
	}
	if _, ok := kept["relief s-1"]; ok || kept["pace "].Value <= 0 {
		t.Errorf("kept %v", kept)
	}
	want := weight(loop, 2)
	next, l := begin()
	for _, f := range kept {
		f.Origin = "n1"
		next.Handle(Command{nil, warmstart.Accepted{Fact: f, Confidence: 0.8}})
	}
	for _, odd := range []warmstart.Accepted{{
		Fact: warmstart.Fact{Kind: warmstart.Derating, Key: "s-9"},
	}, {Fact: warmstart.Fact{Kind: warmstart.Usage, Key: "7/look"}},
		{
			Fact: warmstart.Fact{Kind: warmstart.Usage, Key: "0/none"},
		},
		{Fact: warmstart.Fact{Kind: warmstart.Usage, Key: "x"}},
		{Fact: warmstart.Fact{Kind: warmstart.Withdrawal, Key: "s-0"}}} {
		before := len(next.events)
		if _ = next.onRestored(odd); len(next.events) != before {
			t.Errorf("%v has an effect", odd)
		}
	}
	next.Handle(Command{l, textproto.Subscribe{Proxy: 0, Zone: "a", Rate: 30, Fresh: true}})
	next.Step(now + policy.Second)
	// The policy does not send smaller differences of weight.
	if got := weight(next, 2); got < 0.88*want || got > want/0.88 || weight(next, 1) != weight(loop, 1) {
		t.Errorf("weight %v after the restart, %v before", got, want)
	}
	// A report overrides a restored estimate.
	next.Handle(Command{l, textproto.BackendReport{Zone: "a", Backend: "s-1", Attempts: 20, Latency: 900}})
	next.Step(now + 2*policy.Second)
	next.Handle(
		Command{nil, warmstart.Accepted{Fact: warmstart.Fact{Kind: warmstart.Derating, Key: "s-1", Value: 0.3},
			Confidence: 1}},
	)
	next.Step(now + 3*policy.Second)
	if weight(next, 1) != weight(loop, 1) {
		t.Errorf("weight %v of a backend with a report", weight(next, 1))
	}
}

// The sink receives a part of the snapshot per second, and all of it over a round.
func TestSnapshotIsTakenInParts(t *testing.T) {
	const proxies = 80
	f := newBigFleet(proxies, 20)
	var sizes []int
	seen := map[string]bool{}
	f.loop.SetFactSink(func(facts []warmstart.Fact) {
		sizes = append(sizes, len(facts))
		for _, x := range facts {
			seen[x.Key] = true
		}
	})
	f.connect(0, proxies, 1)
	for range snapshotParts + 1 {
		f.second()
	}
	if len(seen) < proxies*len(names.Products) || slices.Max(sizes) > 2*proxies*len(names.Products)/snapshotParts {
		t.Errorf("%d facts in total, by second %v", len(seen), sizes)
	}
}
