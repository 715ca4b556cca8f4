package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var testID = ID{"acme", "sap", 1}

func testJob() *Job { return &Job{Due: 1000, Product: "file-copy", Txns: 10, Home: "a"} }

// history builds edits of one job at three sites; each edit has the edits known at its site as causal context.
type history struct {
	sites [3][]*Edit
	all   []*Edit
}

func (h *history) addEdit(site int, e Edit) {
	e.Site, e.ID, e.CausalContext = "abc"[site:site+1], testID, VersionVector{}
	e.Dot = Dot{e.Site + "@1", 1}
	for _, o := range h.all {
		if o.Site == e.Site {
			e.Dot.Number++
		}
	}
	for _, o := range h.sites[site] {
		e.CausalContext[o.Dot.Origin] = max(e.CausalContext[o.Dot.Origin], o.Dot.Number)
	}
	h.sites[site], h.all = append(h.sites[site], &e), append(h.all, &e)
}

func (h *history) sync(from, to int) {
	for _, e := range h.sites[from] {
		if !slices.Contains(h.sites[to], e) {
			h.sites[to] = append(h.sites[to], e)
		}
	}
}

// referenceView is a quadratic model of ComputeView that applies each rule to every pair of edits.
func referenceView(edits []*Edit) (state State, lost map[Dot]int, places []string) {
	lost = map[Dot]int{}
	currentEdits := func(kinds ...Kind) (current []*Edit) {
		for _, e := range edits {
			isCurrent := slices.Contains(kinds, e.Kind)
			for _, o := range edits {
				if slices.Contains(kinds, o.Kind) && o.CausalContext[e.Dot.Origin] >= e.Dot.Number && (o.Operator || !e.Operator) {
					isCurrent = false
				}
			}
			if isCurrent {
				current = append(current, e)
			}
		}
		return current
	}
	state = StateUnknown
	for _, e := range edits {
		if e.Kind == Announce || e.Kind == Arrive && state == StateUnknown {
			state = StateAnnounced
		}
	}
	for _, e := range edits {
		if e.Kind == Arrive {
			state = StateArrived
		}
	}
	placements := currentEdits(Place)
	for i, e := range placements {
		if i == 0 {
			places = e.Places
		}
		var shared []string
		for _, z := range places {
			if slices.Contains(e.Places, z) {
				shared = append(shared, z)
			}
		}
		places = shared
	}
	for _, e := range placements {
		if len(places) == 0 {
			lost[e.Dot], state = RuleDisjointPlacements, StateHeld
		} else if !slices.Equal(e.Places, places) {
			lost[e.Dot] = RuleSafer
		}
	}
	// The intent that beats every other one wins.
	intents := currentEdits(Hold, Release, Withdraw)
	beats := func(a, b *Edit) (won bool, rule int) {
		isHome := func(e *Edit) bool { return e.Site == "a" }
		switch {
		case intentRank[a.Kind] != intentRank[b.Kind]:
			return intentRank[a.Kind] < intentRank[b.Kind], RuleSafer
		case a.Operator != b.Operator:
			return a.Operator, RuleOperator
		case isHome(a) != isHome(b):
			return isHome(a), RuleHomeSite
		}
		return compareByHash(a, b) < 0, RuleTieBreak
	}
	for _, e := range intents {
		won := true
		for _, o := range intents {
			if o != e {
				if b, _ := beats(e, o); !b {
					won = false
				}
			}
		}
		if !won {
			continue
		}
		state = map[Kind]State{Hold: StateHeld, Withdraw: StateWithdrawn, Release: state}[e.Kind]
		for _, o := range intents {
			if o.Kind != e.Kind {
				_, lost[o.Dot] = beats(e, o)
			}
		}
	}
	best := -1
	for _, e := range currentEdits(outcomes...) {
		best = max(best, slices.Index(outcomes, e.Kind))
	}
	if best >= 0 {
		for _, e := range currentEdits(outcomes...) {
			if slices.Index(outcomes, e.Kind) < best {
				lost[e.Dot] = RuleFurtherOutcome
			}
		}
		for _, e := range intents {
			if lost[e.Dot] == 0 && e.Kind != Release {
				lost[e.Dot] = RuleOutcome
			}
		}
		state = []State{StateDispatched, StateUncertain, StateVoided, StateResolved}[best]
	}
	return state, lost, places
}

func (h *history) check(t *testing.T) {
	state, lost, places := referenceView(h.all)
	v := ComputeView(testID, h.all)
	got := map[Dot]int{}
	for _, l := range v.Lost {
		got[l.Dot] = l.Rule
	}
	slices.Sort(places)
	if v.State != state || !maps.Equal(got, lost) || len(places) > 0 && !slices.Equal(v.Places, places) {
		var text strings.Builder
		for _, e := range h.all {
			fmt.Fprintf(&text, "\n%v %s %v operator %v causal context %v", e.Dot, e.Kind, e.Places, e.Operator, e.CausalContext)
		}
		t.Fatalf(
			"view is %s %v, lost %v; the reference model has %s %v, lost %v:%s",
			v.State,
			v.Places,
			got,
			state,
			places,
			lost,
			text.String(),
		)
	}
	reordered := slices.Clone(h.all)
	slices.Reverse(reordered)
	reordered = append(reordered[len(reordered)/2:], reordered[:len(reordered)/2]...)
	if o := ComputeView(testID, reordered); !reflect.DeepEqual(o, v) {
		t.Fatalf("view of the reordered edits is %+v; want %+v", o, v)
	}
}

// Compares ComputeView with the reference model for all histories of four edits at three sites, with no, one or full
// synchronization between edits.
func TestMergeExhaustively(t *testing.T) {
	for name, alphabet := range map[string][]Edit{
		"intents": {{Kind: Hold, Operator: true}, {Kind: Release}, {Kind: Withdraw}, {Kind: Dispatched, Epoch: 1}},
		"placements": {
			{Kind: Place, Places: []string{"a", "b"}},
			{Kind: Place, Places: []string{"b"}, Operator: true},
			{Kind: Place, Places: []string{"c"}},
			{Kind: Hold},
		},
	} {
		for site := range 2 { // sites b and c are interchangeable for the first edit
			for i, first := range alphabet {
				t.Run(fmt.Sprint(name, site, i), func(t *testing.T) {
					t.Parallel()
					var h history
					h.addEdit(0, Edit{Kind: Arrive, Job: testJob()})
					h.sync(0, 1)
					h.sync(0, 2)
					h.addEdit(site, first)
					h.checkExtensions(t, alphabet, 3, site)
				})
			}
		}
	}
}

// checkExtensions checks all histories that extend h by the given number of edits.
func (h *history) checkExtensions(t *testing.T, alphabet []Edit, count, lastSite int) {
	if count == 0 {
		h.check(t)
		return
	}
	for syncMode := range 3 { // none, one other site, all sites
		synced := h.clone()
		switch syncMode {
		case 1:
			synced.sync(lastSite, (lastSite+1)%3)
		case 2:
			for i := range 9 {
				synced.sync(i/3, i%3)
			}
		}
		for site := range 3 {
			for _, e := range alphabet {
				next := synced.clone()
				next.addEdit(site, e)
				next.checkExtensions(t, alphabet, count-1, site)
			}
		}
	}
}

func (h *history) clone() *history {
	c := &history{all: slices.Clone(h.all)}
	for i := range h.sites {
		c.sites[i] = slices.Clone(h.sites[i])
	}
	return c
}

// cluster holds replicas that synchronize with each other.
type cluster struct {
	replicas []*Replica
	names    []string
}

func newCluster(n int) *cluster {
	c := &cluster{}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("n", i))
		c.replicas = append(c.replicas, NewReplica(c.names[i]+"@1", string(rune('a'+i%3))))
	}
	for i, r := range c.replicas {
		r.SetPeers(slices.Delete(slices.Clone(c.names), i, i+1))
	}
	return c
}

// sync sends a delta of at most limit edits, as a Node does. It merges the edits twice to test idempotence.
func (c *cluster) sync(from, to, limit int) {
	a, b := c.replicas[from], c.replicas[to]
	g := a.DeltaSince(b.Versions(), limit)
	var edits []Edit
	for _, e := range g.Edits {
		d, err := Decode(e.Raw)
		if err != nil {
			panic(err)
		}
		edits = append(edits, d)
	}
	b.Merge(b.FilterNew(edits), g.Complete)
	b.Merge(edits, g.Complete)
	if g.Compacted {
		b.DiscardCompacted(g.Retained, a.Versions())
	}
	if b.Versions().Dominates(a.Versions()) && a.Versions().Dominates(b.Versions()) && a.Digest() != b.Digest() {
		b.DiscardCompacted(a.Retained(), a.Versions())
	}
	b.RecordPeerVersions(c.names[from], a.Versions().clone())
	a.RecordPeerVersions(c.names[to], b.Versions().clone())
}

func (c *cluster) syncAll() {
	for range 3 {
		for i := range c.replicas {
			for j := range c.replicas {
				if i != j {
					c.sync(i, j, 1<<30)
				}
			}
		}
	}
}

// check returns an error if the replicas differ after a full synchronization, if an accepted edit is unknown, or if
// the view of a job differs from that of all its accepted edits.
func (c *cluster) check(accepted []Edit) error {
	for i, r := range c.replicas {
		if !reflect.DeepEqual(r.Views(), c.replicas[0].Views()) {
			return fmt.Errorf("replicas %s and %s differ:\n%+v\n%+v", c.names[i], c.names[0], r.Views(), c.replicas[0].Views())
		}
	}
	byJob := map[ID][]*Edit{}
	for i := range accepted {
		if !c.replicas[0].Versions().Contains(accepted[i].Dot) {
			return fmt.Errorf("edit %v is lost", accepted[i].Dot)
		}
		byJob[accepted[i].ID] = append(byJob[accepted[i].ID], &accepted[i])
	}
	for id, edits := range byJob {
		want := ComputeView(id, edits)
		got, ok := c.replicas[0].View(id)
		isMissing := !ok && (!want.State.Ended() || len(want.Lost) != 0)
		if isMissing || ok && !reflect.DeepEqual(got, want) {
			return fmt.Errorf("job %v is %+v; its accepted edits result in %+v", id, got, want)
		}
	}
	return nil
}

func (c *cluster) requireConverged(t *testing.T) {
	t.Helper()
	if err := c.check(nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cluster check that passes whatever happens: each injected fault must make it fail.
func TestClusterCheckDetectsInjectedFaults(t *testing.T) {
	for name, inject := range map[string]func(c *cluster){
		"none": func(*cluster) {},
		"an accepted edit is lost": func(c *cluster) {
			for _, r := range c.replicas {
				j := r.jobs[testID]
				j.edits, j.viewValid = slices.DeleteFunc(j.edits, func(e *Edit) bool { return e.Kind == Hold }), false
			}
		},
		"a version is lost": func(c *cluster) {
			for _, r := range c.replicas {
				delete(r.versions, "n1@1")
			}
		},
		"views differ": func(c *cluster) { c.replicas[2].jobs[testID].view.State = StateArrived },
	} {
		c := newCluster(3)
		accepted := []Edit{c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})}
		c.syncAll()
		accepted = append(
			accepted,
			c.edit(t, 1, Edit{ID: testID, Kind: Hold, Operator: true}),
			c.edit(t, 2, Edit{ID: testID, Kind: Release}),
		)
		c.syncAll()
		c.requireConverged(t)
		inject(c)
		if err := c.check(accepted); (err == nil) != (name == "none") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func (c *cluster) edit(t *testing.T, at int, e Edit) Edit {
	t.Helper()
	prepared, err := c.replicas[at].Prepare(e)
	if err != nil {
		t.Fatal(err)
	}
	c.replicas[at].Merge([]Edit{prepared}, nil)
	return prepared
}

// Random histories with partitions and compactions: the replicas converge, every accepted edit is accounted for, and
// ended jobs are dropped.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 5))
		c := newCluster(5)
		var accepted []Edit
		for step := range 250 {
			at := random.IntN(5)
			id := ID{"t", "s", uint64(random.IntN(6))}
			e := Edit{ID: id, Operator: random.IntN(2) == 0}
			switch e.Kind = allKinds[random.IntN(len(allKinds))]; e.Kind {
			case Announce, Arrive:
				e.Job = testJob()
			case Place:
				e.Places = []string{string(rune('a' + random.IntN(3))), "d"}[:1+random.IntN(2)]
			case Expire:
				e.Expires = int64(random.IntN(5))
			case Prioritise:
				e.Priority = random.IntN(3)
			case Seen:
				if v, ok := c.replicas[at].View(id); ok && len(v.Lost) > 0 {
					e.Dots = []Dot{v.Lost[0].Dot}
				}
			case Withdraw, Resolved, Voided:
				if random.IntN(4) > 0 {
					continue
				}
			case Hold, Release, Late, Dispatched, Uncertain: // no further fields
			}
			if prepared, err := c.replicas[at].Prepare(e); err == nil {
				c.replicas[at].Merge([]Edit{prepared}, nil)
				accepted = append(accepted, prepared)
			}
			if isPartitioned := step/50%2 == 1; random.IntN(2) == 0 {
				if i, j := random.IntN(5), random.IntN(5); i != j && (!isPartitioned || (i < 2) == (j < 2)) {
					c.sync(i, j, 1+random.IntN(5))
				}
			}
			if random.IntN(20) == 0 {
				c.replicas[at].Compact()
			}
		}
		c.syncAll()
		for _, r := range c.replicas {
			r.Compact()
		}
		if err := c.check(accepted); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		jobs, edits := c.replicas[0].Sizes()
		isEnded := func(v View) bool { return v.State.Ended() && len(v.Lost) == 0 }
		open := len(slices.DeleteFunc(c.replicas[0].Views(), isEnded))
		if jobs != open || edits > 400 {
			t.Errorf("seed %d: %d jobs are kept, %d are open; %d edits", seed, jobs, open, edits)
		}
	}
}

// Three partitioned sites are reconnected one link at a time and converge.
func TestCase1Ring(t *testing.T) {
	c := newCluster(3)
	c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})
	c.syncAll()
	c.edit(t, 0, Edit{ID: testID, Kind: Withdraw, Operator: true})
	c.edit(t, 1, Edit{ID: testID, Kind: Hold})
	c.edit(t, 2, Edit{ID: testID, Kind: Dispatched, Epoch: 3})
	c.sync(0, 1, 100)
	c.sync(1, 2, 100)
	c.sync(2, 0, 100)
	c.sync(2, 1, 100)
	c.requireConverged(t)
	v, _ := c.replicas[0].View(testID)
	if v.State != StateDispatched || len(v.Lost) != 2 ||
		v.Lost[0].Rule != RuleOutcome || v.Lost[1].Rule != RuleSafer {
		t.Errorf("view is %+v", v)
	}
}

// A replica restored from an old store under a new origin receives its later edits from the peers, and neither reopens
// ended jobs nor revives superseded edits.
func TestCase3OldCopy(t *testing.T) {
	c := newCluster(3)
	other := ID{"acme", "sap", 2}
	c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})
	c.edit(t, 0, Edit{ID: other, Kind: Arrive, Job: testJob()})
	c.syncAll()
	stored, versions := []Edit{}, c.replicas[0].Versions().clone()
	for _, e := range c.replicas[0].edits {
		stored = append(stored, *e)
	}
	c.edit(t, 0, Edit{ID: testID, Kind: Hold, Operator: true})
	c.edit(t, 1, Edit{ID: other, Kind: Resolved})
	c.syncAll()
	for _, r := range c.replicas {
		r.Compact()
	}
	c.replicas[0] = NewReplica("n0@2", "a")
	c.replicas[0].Restore(versions, stored)
	c.replicas[0].SetPeers([]string{"n1", "n2"})
	c.edit(t, 0, Edit{ID: testID, Kind: Prioritise, Priority: 5})
	c.syncAll()
	c.requireConverged(t)
	// The peers compact superseded edits; the restored replica must not revive one.
	stored, versions = nil, c.replicas[0].Versions().clone()
	for _, e := range c.replicas[0].edits {
		stored = append(stored, *e)
	}
	c.edit(t, 0, Edit{ID: testID, Kind: Expire, Expires: 99})
	c.syncAll()
	for i := range 12 {
		c.edit(t, 1, Edit{ID: testID, Kind: Expire, Expires: int64(100 + i)})
	}
	c.edit(t, 1, Edit{ID: testID, Kind: Prioritise, Priority: 6})
	c.edit(t, 1, Edit{ID: testID, Kind: Place, Places: []string{"a"}})
	c.syncAll()
	for _, r := range c.replicas {
		r.Compact()
	}
	c.edit(t, 1, Edit{ID: testID, Kind: Prioritise, Priority: 7})
	c.replicas[0] = NewReplica("n0@3", "a")
	c.replicas[0].Restore(versions, stored)
	c.replicas[0].SetPeers([]string{"n1", "n2"})
	for range 20 { // one edit at a time: edits that are not transferred yet must not be discarded
		c.sync(1, 0, 1)
		if v, ok := c.replicas[0].View(testID); !ok || v.State != StateHeld {
			t.Fatalf("view during the transfer is %+v", v)
		}
	}
	c.syncAll()
	c.requireConverged(t)
	v, _ := c.replicas[1].View(testID)
	if v.Priority != 7 || len(v.Lost) > 0 {
		t.Errorf("a compacted edit was revived: %+v", v)
	}
	v.Priority = 5
	if _, open := c.replicas[0].View(other); v.State != StateHeld || v.Priority != 5 || open {
		t.Errorf("view is %+v; the ended job is open: %v", v, open)
	}
}

// A site that was removed does not hold back compaction. If it comes back, its edit of a compacted job is reported as
// lost until an operator acknowledges it.
func TestCase4Removed(t *testing.T) {
	c := newCluster(3)
	c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})
	c.syncAll()
	c.edit(t, 2, Edit{ID: testID, Kind: Hold})
	c.edit(t, 0, Edit{ID: testID, Kind: Resolved})
	c.sync(0, 1, 100)
	c.sync(1, 0, 100)
	if dropped := c.replicas[0].Compact(); dropped != nil {
		t.Fatalf("compacted %v before every peer had announced its versions", dropped)
	}
	for _, i := range []int{0, 1} {
		c.replicas[i].SetPeers([]string{c.names[1-i]})
		c.sync(1-i, i, 100)
		c.replicas[i].Compact()
	}
	if n, _ := c.replicas[0].Sizes(); n != 0 {
		t.Errorf("%d jobs are kept for a removed site", n)
	}
	c.syncAll()
	v, ok := c.replicas[0].View(testID)
	if !ok || v.State != StateUnknown || len(v.Lost) != 1 || v.Lost[0].Rule != RuleOutcome {
		t.Fatalf("the late edit is not reported: %+v", v)
	}
	c.edit(t, 1, Edit{ID: testID, Kind: Seen, Operator: true, Dots: []Dot{v.Lost[0].Dot}})
	for i, r := range c.replicas {
		r.SetPeers(slices.Delete(slices.Clone(c.names), i, i+1))
	}
	c.syncAll()
	for _, r := range c.replicas {
		if r.Compact(); len(r.jobs) > 0 {
			t.Errorf("%s still has %+v", r.Origin(), r.Views())
		}
	}
}

// Guards against unbounded growth: 10,000 edits that supersede each other are compacted to a few.
func TestCase5ManyEdits(t *testing.T) {
	c := newCluster(2)
	c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})
	for i := range 10000 {
		c.edit(t, 0, Edit{ID: testID, Kind: Prioritise, Priority: i % 1000})
		if i%500 == 0 {
			c.sync(0, 1, 1<<20)
			c.replicas[0].Compact()
		}
	}
	c.syncAll()
	c.replicas[0].Compact()
	c.replicas[1].Compact()
	c.requireConverged(t)
	if _, n := c.replicas[0].Sizes(); n > 9 {
		t.Errorf("%d edits are kept", n)
	}
}

// An edit of a newer version is forwarded with its unknown fields, and its unknown kind does not affect the view.
func TestCase7Newer(t *testing.T) {
	c := newCluster(3)
	c.edit(t, 0, Edit{ID: testID, Kind: Arrive, Job: testJob()})
	c.syncAll()
	raw, _ := cbor.Marshal(
		map[int]any{1: map[int]any{1: "n9@1", 2: 1}, 3: map[int]any{1: "acme", 2: "sap", 3: 1}, 4: "paint", 99: "blue"},
	)
	e, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	c.replicas[1].Merge([]Edit{e}, nil)
	c.syncAll()
	if got := c.replicas[2].edits[e.Dot]; got == nil || !slices.Equal(got.Raw, raw) {
		t.Errorf("edit is %+v; want its original encoding", got)
	}
	if v, _ := c.replicas[2].View(testID); v.State != StateArrived || len(v.Lost) > 0 {
		t.Errorf("view is %+v", v)
	}
}

// Guards the field names in messages and checksums against renames of the Go fields.
func TestEncodingKeepsFieldNames(t *testing.T) {
	view := View{HoldReason: "reason"}
	viewCBOR, _ := cbor.Marshal(view)
	var fields map[string]any
	if err := cbor.Unmarshal(viewCBOR, &fields); err != nil || fields["Why"] != "reason" {
		t.Errorf("CBOR fields of a view are %v, %v; want Why", fields, err)
	}
	viewJSON, _ := json.Marshal(view)
	if !strings.Contains(string(viewJSON), `"Why":"reason"`) {
		t.Errorf("view is %s; want Why", viewJSON)
	}
	editJSON, _ := json.Marshal(Edit{CausalContext: VersionVector{"a@1": 1}})
	if !strings.Contains(string(editJSON), `"Knew":{"a@1":1}`) {
		t.Errorf("edit is %s; want Knew", editJSON)
	}
}
