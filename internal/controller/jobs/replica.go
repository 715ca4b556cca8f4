package jobs

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Bounds of what one takes.
const (
	MaxJobs        = 1_000_000 // open at a time
	MaxEditsPerJob = 100_000   // of one job that are not folded yet
)

// Replica is what one of us knows. It is not safe for several goroutines at once.
type Replica struct {
	origin   string
	site     string
	last     uint64 // number of the own edit made last
	versions VersionVector
	jobs     map[ID]*entry
	log      map[string][]Dot // by origin: dots that are kept, in their order
	edits    map[Dot]*Edit
	peers    map[string]peer // who counts, by name
	digest   uint64
}

type entry struct {
	edits []*Edit
	view  View
	fresh bool // view holds
}

// peer is what another one said that it knew: the last word of which all is here, and a later one of which something
// is on its way still. While edits come all the time there is always such a one.
type peer struct{ versions, later VersionVector }

// NewReplica makes a Replica for a life of an instance: its origin must never have been used before.
func NewReplica(origin, site string) *Replica {
	return &Replica{
		origin:   origin,
		site:     site,
		versions: VersionVector{},
		jobs:     map[ID]*entry{},
		log:      map[string][]Dot{},
		edits:    map[Dot]*Edit{},
		peers:    map[string]peer{},
	}
}

// Origin is the name under which edits of this life go.
func (r *Replica) Origin() string { return r.origin }

// Versions is what it knows. The caller must not change it.
func (r *Replica) Versions() VersionVector { return r.versions }

var (
	errEnded  = errors.New("the job has ended")
	errNoJob  = errors.New("no such job is known here")
	errMany   = errors.New("too many edits of this job wait for sites that are away")
	errFull   = errors.New("too many jobs are open")
	errRepeat = errors.New("it stands so already")
)

// Prepare takes an edit that somebody asks for here: it gets a name, what was known, and its bytes. It
// counts once it is stored: the caller stores it, and then calls Merge.
func (r *Replica) Prepare(e Edit) (Edit, error) {
	if err := ValidateEdit(e); err != nil {
		return e, err
	}
	known := r.jobs[e.ID]
	isNew := e.Kind == Announce || e.Kind == Arrive
	switch {
	case known == nil && !isNew:
		return e, fmt.Errorf("%s: %w", e.ID, errNoJob)
	case known == nil && len(r.jobs) >= MaxJobs:
		return e, errFull
	case known != nil && len(known.edits) >= MaxEditsPerJob:
		return e, fmt.Errorf("%s: %w", e.ID, errMany)
	}
	if known != nil {
		v := r.view(known, e.ID)
		telling := slices.Contains(effects, e.Kind) && (v.State != StateResolved)
		if v.State.Ended() && !telling && (e.Kind != Seen || len(v.Lost) <= 0) {
			return e, fmt.Errorf("%s: %w: %s", e.ID, errEnded, v.State)
		}
		if isNew && v.State != StateUnknown && (e.Kind == Announce || v.State != StateAnnounced) {
			return e, fmt.Errorf("%s: %w: %s", e.ID, errRepeat, v.State)
		}
	}
	r.last++
	e.Dot, e.Site, e.CausalContext = Dot{r.origin, r.last}, r.site, VersionVector{}
	if known != nil {
		for _, o := range known.edits {
			e.CausalContext[o.Dot.Origin] = max(e.CausalContext[o.Dot.Origin], o.Dot.Number)
		}
	}
	slices.Sort(e.Places)
	e.Encode()
	return e, nil
}

// put takes an edit in, whatever came before it; the store gives them without those that were folded.
func (r *Replica) put(e *Edit) {
	j := r.jobs[e.ID]
	if j == nil {
		j = &entry{}
		r.jobs[e.ID] = j
	}
	j.edits, j.fresh = append(j.edits, e), false
	r.edits[e.Dot] = e
	r.digest ^= xxh3.HashString(e.Dot.String())
	r.log[e.Dot.Origin] = append(r.log[e.Dot.Origin], e.Dot)
	r.versions[e.Dot.Origin] = max(r.versions[e.Dot.Origin], e.Dot.Number)
}

// Restore takes in what a store holds: what it knew, which counts also where edits were folded, and the edits.
func (r *Replica) Restore(knew VersionVector, edits []Edit) {
	slices.SortFunc(edits, func(a, b Edit) int { return int(a.Dot.Number) - int(b.Dot.Number) })
	for i := range edits {
		r.put(&edits[i])
	}
	for origin, n := range knew {
		r.versions[origin] = max(r.versions[origin], n)
	}
}

func (r *Replica) view(j *entry, id ID) View {
	if !j.fresh {
		j.view, j.fresh = ComputeView(id, j.edits), true
	}
	return j.view
}

// View is how a job stands; false where it is not known, or ended and forgotten.
func (r *Replica) View(id ID) (View, bool) {
	j := r.jobs[id]
	if j == nil {
		return View{ID: id, State: StateUnknown}, false
	}
	return r.view(j, id), true
}

// Views are all jobs that are known, in their order.
func (r *Replica) Views() (all []View) {
	for _, id := range slices.SortedFunc(maps.Keys(r.jobs), ID.Compare) {
		all = append(all, r.view(r.jobs[id], id))
	}
	return all
}

// Sizes counts jobs and edits that are kept.
func (r *Replica) Sizes() (jobs, edits int) { return len(r.jobs), len(r.edits) }

// Delta is what one gives to another who lacks it: edits in the order of each origin, and up to where each is whole
// with them. Where some were folded, Kept are all that the giver has, by origin: what it knows beside them is settled.
type Delta struct {
	Edits     []*Edit
	Complete  VersionVector
	Compacted bool
	Retained  map[string][]uint64
}

// DeltaSince gives some of what one who knows that much lacks. Whoever gets Whole has the others first.
func (r *Replica) DeltaSince(knows VersionVector, most int) (g Delta) {
	g.Complete = VersionVector{}
	defer func() { // also where not all were given: without it the taker would hold all that is known for folded
		if g.Compacted {
			g.Retained = r.Retained()
		}
	}()
	for _, origin := range slices.Sorted(maps.Keys(r.versions)) {
		if knows[origin] >= r.versions[origin] {
			continue
		}
		kept := r.log[origin]
		from, _ := slices.BinarySearchFunc(
			kept,
			knows[origin]+1,
			func(d Dot, n uint64) int { return cmp.Compare(d.Number, n) },
		)
		for _, d := range kept[from:] {
			if len(g.Edits) >= most {
				return g
			}
			g.Edits = append(g.Edits, r.edits[d])
		}
		g.Complete[origin] = r.versions[origin]
		g.Compacted = g.Compacted || uint64(len(kept)-from) < r.versions[origin]-knows[origin]
	}
	return g
}

// Retained are the edits that it has, by origin, and a digest of them: two who know the same and differ in it have
// folded at different moments, or one from an old store.
func (r *Replica) Retained() (kept map[string][]uint64) {
	kept = map[string][]uint64{}
	for origin, dots := range r.log {
		for _, d := range dots {
			kept[origin] = append(kept[origin], d.Number)
		}
	}
	return kept
}

// Digest is of the names of the edits that it has.
func (r *Replica) Digest() uint64 { return r.digest }

// FilterNew are those edits that are new here, for the store; nothing counts before Merge.
func (r *Replica) FilterNew(edits []Edit) (fresh []Edit) {
	for _, e := range edits {
		if !r.versions.Contains(e.Dot) {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

// Merge takes in edits that are stored, and up to where each origin is whole with them.
func (r *Replica) Merge(edits []Edit, whole VersionVector) {
	for i := range edits {
		if !r.versions.Contains(edits[i].Dot) {
			r.put(&edits[i])
		}
	}
	for origin, n := range whole {
		r.versions[origin] = max(r.versions[origin], n)
	}
}

// DiscardCompacted discards edits that a peer has seen and compacted, and returns their dots. Without it, a replica
// restored from an old store would reopen ended jobs and revive superseded edits. Two replicas that call it on each
// other converge to the intersection of their edits.
func (r *Replica) DiscardCompacted(kept map[string][]uint64, knows VersionVector) (gone []Dot) {
	there := map[Dot]bool{}
	for origin, numbers := range kept {
		for _, n := range numbers {
			there[Dot{origin, n}] = true
		}
	}
	for id, j := range r.jobs {
		was := len(j.edits)
		j.edits = slices.DeleteFunc(j.edits, func(e *Edit) bool {
			out := knows.Contains(e.Dot) && !there[e.Dot]
			if out {
				gone = append(gone, e.Dot)
			}
			return out
		})
		if j.fresh = j.fresh && len(j.edits) == was; len(j.edits) == 0 {
			delete(r.jobs, id)
		}
	}
	r.forget(gone)
	return gone
}

func (r *Replica) forget(gone []Dot) {
	went := map[string]map[uint64]bool{}
	for _, d := range gone {
		delete(r.edits, d)
		r.digest ^= xxh3.HashString(d.String())
		if went[d.Origin] == nil {
			went[d.Origin] = map[uint64]bool{}
		}
		went[d.Origin][d.Number] = true
	}
	for origin, numbers := range went {
		if r.log[origin] = slices.DeleteFunc(
			r.log[origin],
			func(d Dot) bool { return numbers[d.Number] },
		); len(
			r.log[origin],
		) == 0 {
			delete(r.log, origin)
		}
	}
}

// RecordPeerVersions takes what another one says that it knows, under its name.
func (r *Replica) RecordPeerVersions(name string, knows VersionVector) {
	p := r.peers[name]
	if p.later != nil && r.versions.Dominates(p.later) {
		p.versions, p.later = p.later, nil
	}
	if r.versions.Dominates(knows) {
		p.versions = knows
	} else if p.later == nil {
		p.later = knows
	}
	r.peers[name] = p
}

// SetPeers sets the peers that must have seen an edit before it may be compacted.
func (r *Replica) SetPeers(names []string) {
	for name := range r.peers {
		if !slices.Contains(names, name) {
			delete(r.peers, name)
		}
	}
	for _, name := range names {
		if _, there := r.peers[name]; !there {
			r.peers[name] = peer{}
		}
	}
}

// Compact forgets what all who count know and nothing hangs on: jobs that ended, and edits that others replaced. A job
// goes only when nobody can have made an edit of it that is not here: each has said that it knows the end, after
// which it takes none, and all that it made until then is here. It gives the names of what went, for the store.
func (r *Replica) Compact() (gone []Dot) {
	all := []VersionVector{r.versions}
	for _, p := range r.peers {
		if p.later != nil && r.versions.Dominates(p.later) {
			p.versions = p.later
		}
		if p.versions == nil {
			return nil // one was not heard yet, or never knew only what is here
		}
		all = append(all, p.versions)
	}
	stable := VersionVector{}
	for origin := range r.versions {
		stable[origin] = least(origin, all)
	}
	for id, j := range r.jobs {
		if slices.ContainsFunc(j.edits, func(e *Edit) bool { return !stable.Contains(e.Dot) }) {
			continue
		}
		v := r.view(j, id)
		drop := func(e *Edit) bool { return false }
		switch {
		case v.State.Ended() && len(v.Lost) == 0:
			drop = func(e *Edit) bool { return true }
			delete(r.jobs, id)
		case len(j.edits) > 8:
			drop = replaced(j.edits)
		}
		kept := j.edits[:0:0]
		for _, e := range j.edits {
			if drop(e) {
				gone = append(gone, e.Dot)
			} else {
				kept = append(kept, e)
			}
		}
		j.edits = kept
	}
	r.forget(gone)
	return gone
}

// replaced says which of a job's edits another one replaces, so that they change nothing any more.
func replaced(edits []*Edit) func(e *Edit) bool {
	aspect := func(k Kind) []Kind {
		for _, a := range [][]Kind{{Hold, Release, Withdraw}, {Place}, {Expire}, {Prioritise}} {
			if slices.Contains(a, k) {
				return a
			}
		}
		return nil
	}
	last := map[Kind][]*Edit{}
	for _, e := range edits {
		last[e.Kind] = append(last[e.Kind], e)
	}
	stands := map[Dot]bool{}
	for _, a := range [][]Kind{{Hold, Release, Withdraw}, {Place}, {Expire}, {Prioritise}} {
		for _, e := range standing(edits, a...) {
			stands[e.Dot] = true
		}
	}
	return func(e *Edit) bool { return aspect(e.Kind) != nil && !stands[e.Dot] }
}
