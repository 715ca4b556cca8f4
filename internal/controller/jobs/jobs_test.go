package jobs

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var batch = ID{"acme", "sap", 1}

func job() *Job { return &Job{Due: 1000, Product: "file-copy", Txns: 10, Home: "a"} }

// history makes edits of one job at three sites, each knowing what it has then.
type history struct {
	sites [3][]*Edit
	all   []*Edit
}

func (h *history) do(site int, e Edit) {
	e.Dot = Dot{
		fmt.Sprint("abc"[site:site+1], "@1"),
		uint64(1 + len(slices.DeleteFunc(slices.Clone(h.all), func(o *Edit) bool { return o.Site != "abc"[site:site+1] }))),
	}
	e.Site, e.ID, e.CausalContext = "abc"[site:site+1], batch, VersionVector{}
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

// plain is the slow model: each rule as it stands in the notes, by looking at every pair.
func plain(edits []*Edit) (state State, lost map[Dot]int, places []string) {
	lost = map[Dot]int{}
	stands := func(which ...Kind) (top []*Edit) {
		for _, e := range edits {
			ok := slices.Contains(which, e.Kind)
			for _, o := range edits {
				if slices.Contains(which, o.Kind) && o.CausalContext[e.Dot.Origin] >= e.Dot.Number && (o.Operator || !e.Operator) {
					ok = false
				}
			}
			if ok {
				top = append(top, e)
			}
		}
		return top
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
	top := stands(Place)
	for i, e := range top {
		if i == 0 {
			places = e.Places
		}
		var both []string
		for _, z := range places {
			if slices.Contains(e.Places, z) {
				both = append(both, z)
			}
		}
		places = both
	}
	for _, e := range top {
		if len(places) == 0 {
			lost[e.Dot], state = RuleDisjointPlacements, StateHeld
		} else if !slices.Equal(e.Places, places) {
			lost[e.Dot] = RuleSafer
		}
	}
	// Each pair of wishes that stand beside each other is a duel; who loses one has lost by the rule of the winner's.
	wishes := stands(Hold, Release, Withdraw)
	beats := func(a, b *Edit) (bool, int) {
		home := func(e *Edit) bool { return e.Site == "a" }
		switch {
		case caution[a.Kind] != caution[b.Kind]:
			return caution[a.Kind] < caution[b.Kind], RuleSafer
		case a.Operator != b.Operator:
			return a.Operator, RuleOperator
		case home(a) != home(b):
			return home(a), RuleHomeSite
		}
		return byName(a, b) < 0, RuleTieBreak
	}
	for _, e := range wishes {
		won := true
		for _, o := range wishes {
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
		for _, o := range wishes {
			if o.Kind != e.Kind {
				_, lost[o.Dot] = beats(e, o)
			}
		}
	}
	best := -1
	for _, e := range stands(effects...) {
		best = max(best, slices.Index(effects, e.Kind))
	}
	if best >= 0 {
		for _, e := range stands(effects...) {
			if slices.Index(effects, e.Kind) < best {
				lost[e.Dot] = RuleFurtherOutcome
			}
		}
		for _, e := range wishes {
			if lost[e.Dot] == 0 && e.Kind != Release {
				lost[e.Dot] = RuleOutcome
			}
		}
		state = []State{StateDispatched, StateUncertain, StateVoided, StateResolved}[best]
	}
	return state, lost, places
}

func (h *history) check(t *testing.T) {
	state, lost, places := plain(h.all)
	v := ComputeView(batch, h.all)
	got := map[Dot]int{}
	for _, l := range v.Lost {
		got[l.Dot] = l.Rule
	}
	slices.Sort(places)
	if v.State != state || !maps.Equal(got, lost) || len(places) > 0 && !slices.Equal(v.Places, places) {
		var text strings.Builder
		for _, e := range h.all {
			fmt.Fprintf(&text, "\n%v %s %v operator %v knew %v", e.Dot, e.Kind, e.Places, e.Operator, e.CausalContext)
		}
		t.Fatalf(
			"settled to %s %v lost %v; the plain model says %s %v lost %v:%s",
			v.State,
			v.Places,
			got,
			state,
			places,
			lost,
			text.String(),
		)
	}
	turned := slices.Clone(h.all)
	slices.Reverse(turned)
	if o := ComputeView(batch, append(turned[len(turned)/2:], turned[:len(turned)/2]...)); !reflect.DeepEqual(o, v) {
		t.Fatalf("another order of the same edits gives %+v, not %+v", o, v)
	}
}

// All interleavings of 3 sites and 4 edits, between which nobody, one or all hear of each other, against the plain
// model: wishes and what took effect with each other, placements with each other and with one that holds.
func TestMergeExhaustively(t *testing.T) {
	for name, alphabet := range map[string][]Edit{
		"wishes": {{Kind: Hold, Operator: true}, {Kind: Release}, {Kind: Withdraw}, {Kind: Dispatched, Epoch: 1}},
		"placements": {
			{Kind: Place, Places: []string{"a", "b"}},
			{Kind: Place, Places: []string{"b"}, Operator: true},
			{Kind: Place, Places: []string{"c"}},
			{Kind: Hold},
		},
	} {
		for site := range 2 { // sites b and c are alike at first
			for i, first := range alphabet {
				t.Run(fmt.Sprint(name, site, i), func(t *testing.T) {
					t.Parallel()
					var h history
					h.do(0, Edit{Kind: Arrive, Job: job()})
					h.sync(0, 1)
					h.sync(0, 2)
					h.do(site, first)
					h.play(t, alphabet, 3, site)
				})
			}
		}
	}
}

// play makes the edits that are left at any site, after any of the ways in which the last one is heard of.
func (h *history) play(t *testing.T, alphabet []Edit, left, last int) {
	if left == 0 {
		h.check(t)
		return
	}
	for sync := range 3 {
		heard := h.clone()
		switch sync {
		case 1:
			heard.sync(last, (last+1)%3)
		case 2:
			for i := range 9 {
				heard.sync(i/3, i%3)
			}
		}
		for site := range 3 {
			for _, e := range alphabet {
				next := heard.clone()
				next.do(site, e)
				next.play(t, alphabet, left-1, site)
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

// fleet is replicas that give each other what they lack, in drawn orders, some of it twice.
type fleet struct {
	r     []*Replica
	names []string
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("n", i))
		f.r = append(f.r, NewReplica(f.names[i]+"@1", string(rune('a'+i%3))))
	}
	for i, r := range f.r {
		r.SetPeers(slices.Delete(slices.Clone(f.names), i, i+1))
	}
	return f
}

// give lets one hear what another has, as the exchange does it.
func (f *fleet) give(from, to, most int) {
	a, b := f.r[from], f.r[to]
	g := a.DeltaSince(b.Versions(), most)
	var edits []Edit
	for _, e := range g.Edits {
		d, err := Decode(e.Raw)
		if err != nil {
			panic(err)
		}
		edits = append(edits, d)
	}
	b.Merge(b.FilterNew(edits), g.Complete)
	b.Merge(edits, g.Complete) // once more
	if g.Compacted {
		b.DiscardCompacted(g.Retained, a.Versions())
	}
	if b.Versions().Dominates(a.Versions()) && a.Versions().Dominates(b.Versions()) && a.Digest() != b.Digest() {
		b.DiscardCompacted(a.Retained(), a.Versions())
	}
	b.RecordPeerVersions(f.names[from], a.Versions().clone())
	a.RecordPeerVersions(f.names[to], b.Versions().clone())
}

func (f *fleet) heal() {
	for range 3 {
		for i := range f.r {
			for j := range f.r {
				if i != j {
					f.give(i, j, 1<<30)
				}
			}
		}
	}
}

// verdict says what is wrong after all have heard of each other: two that differ, an edit that was taken and is neither
// known nor accounted for, jobs that are not what all edits that were taken come to.
func (f *fleet) verdict(made []Edit) error {
	for i, r := range f.r {
		if !reflect.DeepEqual(r.Views(), f.r[0].Views()) {
			return fmt.Errorf("%s and %s differ:\n%+v\n%+v", f.names[i], f.names[0], r.Views(), f.r[0].Views())
		}
	}
	by := map[ID][]*Edit{}
	for i := range made {
		if !f.r[0].Versions().Contains(made[i].Dot) {
			return fmt.Errorf("%v is lost", made[i].Dot)
		}
		by[made[i].ID] = append(by[made[i].ID], &made[i])
	}
	for id, edits := range by {
		want := ComputeView(id, edits)
		if got, ok := f.r[0].View(
			id,
		); !ok && (!want.State.Ended() || len(want.Lost) != 0) ||
			ok && !reflect.DeepEqual(got, want) {
			return fmt.Errorf("%v is %+v, its edits come to %+v", id, got, want)
		}
	}
	return nil
}

func (f *fleet) same(t *testing.T) {
	t.Helper()
	if err := f.verdict(nil); err != nil {
		t.Fatal(err)
	}
}

// The verdict is one that can fail: each fault is planted once, and seen.
func TestVerdictSeesPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(f *fleet){
		"nothing": func(*fleet) {},
		"an answered edit is lost": func(f *fleet) {
			for _, r := range f.r { // forgotten by all, as if it had not been on the disk
				j := r.jobs[batch]
				j.edits, j.fresh = slices.DeleteFunc(j.edits, func(e *Edit) bool { return e.Kind == Hold }), false
			}
		},
		"its name is lost too": func(f *fleet) {
			for _, r := range f.r {
				delete(r.versions, "n1@1")
			}
		},
		"a merge that differs by order": func(f *fleet) { f.r[2].jobs[batch].view.State = StateArrived },
	} {
		f := newFleet(3)
		made := []Edit{f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})}
		f.heal()
		made = append(
			made,
			f.make(t, 1, Edit{ID: batch, Kind: Hold, Operator: true}),
			f.make(t, 2, Edit{ID: batch, Kind: Release}),
		)
		f.heal()
		f.same(t)
		plant(f)
		if err := f.verdict(made); (err == nil) != (name == "nothing") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func (f *fleet) make(t *testing.T, at int, e Edit) Edit {
	t.Helper()
	made, err := f.r[at].Prepare(e)
	if err != nil {
		t.Fatal(err)
	}
	f.r[at].Merge([]Edit{made}, nil)
	return made
}

// Drawn histories: cuts, doubles, folds, lives that begin anew from old copies. All come to the same jobs; no edit
// that was taken is lost: each stands, was replaced by one that knew of it, lost by a rule, or its job has ended.
func TestDrawnHistories(t *testing.T) {
	for seed := range uint64(60) {
		chance := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(5)
		var made []Edit
		for step := range 250 {
			at := chance.IntN(5)
			id := ID{"t", "s", uint64(chance.IntN(6))}
			e := Edit{ID: id, Operator: chance.IntN(2) == 0}
			switch e.Kind = kinds[chance.IntN(len(kinds))]; e.Kind {
			case Announce, Arrive:
				e.Job = job()
			case Place:
				e.Places = []string{string(rune('a' + chance.IntN(3))), "d"}[:1+chance.IntN(2)]
			case Expire:
				e.Expires = int64(chance.IntN(5))
			case Prioritise:
				e.Priority = chance.IntN(3)
			case Seen:
				if v, ok := f.r[at].View(id); ok && len(v.Lost) > 0 {
					e.Dots = []Dot{v.Lost[0].Dot}
				}
			case Withdraw, Resolved, Voided:
				if chance.IntN(4) > 0 {
					continue
				}
			case Hold, Release, Late, Dispatched, Uncertain: // have no more than their kind
			}
			if m, err := f.r[at].Prepare(e); err == nil {
				f.r[at].Merge([]Edit{m}, nil)
				made = append(made, m)
			}
			if cut := step/50%2 == 1; chance.IntN(2) == 0 {
				if i, j := chance.IntN(5), chance.IntN(5); i != j && (!cut || (i < 2) == (j < 2)) {
					f.give(i, j, 1+chance.IntN(5))
				}
			}
			if chance.IntN(20) == 0 {
				f.r[at].Compact()
			}
		}
		f.heal()
		for _, r := range f.r { // all fold what all know, so that the same jobs are there
			r.Compact()
		}
		if err := f.verdict(made); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		jobs, edits := f.r[0].Sizes()
		if open := len(
			slices.DeleteFunc(f.r[0].Views(), func(v View) bool { return v.State.Ended() && len(v.Lost) == 0 }),
		); jobs != open ||
			edits > 400 {
			t.Errorf("seed %d: %d jobs are kept, %d are open; %d edits", seed, jobs, open, edits)
		}
	}
}

// Three sites parted in a ring are healed a link at a time; each link once is enough for two, all come to one.
func TestCase1Ring(t *testing.T) {
	f := newFleet(3)
	f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})
	f.heal()
	f.make(t, 0, Edit{ID: batch, Kind: Withdraw, Operator: true})
	f.make(t, 1, Edit{ID: batch, Kind: Hold})
	f.make(t, 2, Edit{ID: batch, Kind: Dispatched, Epoch: 3})
	f.give(0, 1, 100)
	f.give(1, 2, 100)
	f.give(2, 0, 100)
	f.give(2, 1, 100)
	f.same(t)
	if v, _ := f.r[0].View(
		batch,
	); v.State != StateDispatched || len(v.Lost) != 2 || v.Lost[0].Rule != RuleOutcome ||
		v.Lost[1].Rule != RuleSafer {
		t.Errorf("it came to %+v", v)
	}
}

// A life begun from yesterday's copy of its store makes edits under another name: those of before come back from the
// others, nothing is taken for new, and what had ended since is not open again.
func TestCase3OldCopy(t *testing.T) {
	f := newFleet(3)
	other := ID{"acme", "sap", 2}
	f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})
	f.make(t, 0, Edit{ID: other, Kind: Arrive, Job: job()})
	f.heal()
	old, knew := []Edit{}, f.r[0].Versions().clone()
	for _, e := range f.r[0].edits {
		old = append(old, *e)
	}
	f.make(t, 0, Edit{ID: batch, Kind: Hold, Operator: true})
	f.make(t, 1, Edit{ID: other, Kind: Resolved})
	f.heal()
	for _, r := range f.r {
		r.Compact()
	}
	f.r[0] = NewReplica("n0@2", "a")
	f.r[0].Restore(knew, old)
	f.r[0].SetPeers([]string{"n1", "n2"})
	f.make(t, 0, Edit{ID: batch, Kind: Prioritise, Priority: 5})
	f.heal()
	f.same(t)
	// Of many edits the others fold those that were replaced, and go on without: the copy must not bring one back.
	old, knew = nil, f.r[0].Versions().clone()
	for _, e := range f.r[0].edits {
		old = append(old, *e)
	}
	f.make(t, 0, Edit{ID: batch, Kind: Expire, Expires: 99})
	f.heal()
	for i := range 12 {
		f.make(t, 1, Edit{ID: batch, Kind: Expire, Expires: int64(100 + i)})
	}
	f.make(t, 1, Edit{ID: batch, Kind: Prioritise, Priority: 6})
	f.make(t, 1, Edit{ID: batch, Kind: Place, Places: []string{"a"}})
	f.heal()
	for _, r := range f.r {
		r.Compact()
	}
	f.make(t, 1, Edit{ID: batch, Kind: Prioritise, Priority: 7})
	f.r[0] = NewReplica("n0@3", "a")
	f.r[0].Restore(knew, old)
	f.r[0].SetPeers([]string{"n1", "n2"})
	for range 20 { // a part at a time: what was not given yet is not folded for that
		f.give(1, 0, 1)
		if v, ok := f.r[0].View(batch); !ok || v.State != StateHeld {
			t.Fatalf("the job is %+v while it is given", v)
		}
	}
	f.heal()
	f.same(t)
	v, _ := f.r[1].View(batch)
	if v.Priority != 7 || len(v.Lost) > 0 {
		t.Errorf("an edit that was folded came back: %+v", v)
	}
	v.Priority = 5
	if _, open := f.r[0].View(other); v.State != StateHeld || v.Priority != 5 || open {
		t.Errorf("it came to %+v; the one that ended is open: %v", v, open)
	}
}

// A site that is removed for good holds nothing back; when its store is found after all, its edits come as others do.
func TestCase4Removed(t *testing.T) {
	f := newFleet(3)
	f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})
	f.heal()
	f.make(t, 2, Edit{ID: batch, Kind: Hold})
	f.make(t, 0, Edit{ID: batch, Kind: Resolved})
	f.give(0, 1, 100)
	f.give(1, 0, 100)
	if gone := f.r[0].Compact(); gone != nil {
		t.Fatalf("folded %v while a site was not heard", gone)
	}
	for _, i := range []int{0, 1} {
		f.r[i].SetPeers([]string{f.names[1-i]})
		f.give(1-i, i, 100)
		f.r[i].Compact()
	}
	if n, _ := f.r[0].Sizes(); n != 0 {
		t.Errorf("%d jobs are kept for a site that was removed", n)
	}
	f.heal()
	// It is shown as come too late, until somebody has seen it; then it goes at all.
	v, ok := f.r[0].View(batch)
	if !ok || v.State != StateUnknown || len(v.Lost) != 1 || v.Lost[0].Rule != RuleOutcome {
		t.Fatalf("its edit vanished: %+v", v)
	}
	f.make(t, 1, Edit{ID: batch, Kind: Seen, Operator: true, Dots: []Dot{v.Lost[0].Dot}})
	for i, r := range f.r {
		r.SetPeers(slices.Delete(slices.Clone(f.names), i, i+1))
	}
	f.heal()
	for _, r := range f.r {
		if r.Compact(); len(r.jobs) > 0 {
			t.Errorf("%s keeps %+v", r.Origin(), r.Views())
		}
	}
}

// 10,000 edits of one job: each replaces the one before, and once all know them two are kept.
func TestCase5ManyEdits(t *testing.T) {
	f := newFleet(2)
	f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})
	for i := range 10000 {
		f.make(t, 0, Edit{ID: batch, Kind: Prioritise, Priority: i % 1000})
		if i%500 == 0 {
			f.give(0, 1, 1<<20)
			f.r[0].Compact()
		}
	}
	f.heal()
	f.r[0].Compact()
	f.r[1].Compact()
	f.same(t)
	if _, n := f.r[0].Sizes(); n > 9 {
		t.Errorf("%d edits are kept", n)
	}
}

// An edit of a newer version goes on as it came, with what is not known here; a kind that is not known changes nothing.
func TestCase7Newer(t *testing.T) {
	f := newFleet(3)
	f.make(t, 0, Edit{ID: batch, Kind: Arrive, Job: job()})
	f.heal()
	raw, _ := cbor.Marshal(
		map[int]any{1: map[int]any{1: "n9@1", 2: 1}, 3: map[int]any{1: "acme", 2: "sap", 3: 1}, 4: "paint", 99: "blue"},
	)
	e, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	f.r[1].Merge([]Edit{e}, nil)
	f.heal()
	if got := f.r[2].edits[e.Dot]; got == nil || !slices.Equal(got.Raw, raw) {
		t.Errorf("it came as %+v", got)
	}
	if v, _ := f.r[2].View(batch); v.State != StateArrived || len(v.Lost) > 0 {
		t.Errorf("it changed %+v", v)
	}
}
