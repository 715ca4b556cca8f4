package jobs

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Limits of a replica.
const (
	MaxJobs        = 1_000_000
	MaxEditsPerJob = 100_000 // not yet compacted

	compactionThreshold = 8 // an open job with more edits is compacted
)

// Replica holds the edits that one instance knows. It is not safe for concurrent use.
type Replica struct {
	origin       string
	site         string
	lastNumber   uint64 // number of the latest edit of this origin
	versions     VersionVector
	jobs         map[ID]*jobEntry
	dotsByOrigin map[string][]Dot // retained edits, ascending
	edits        map[Dot]*Edit
	peers        map[string]peerVersions // peers that must have seen an edit before it is compacted
	digest       uint64
}

type jobEntry struct {
	edits     []*Edit
	view      View
	viewValid bool // false if view must be recomputed
}

// peerVersions holds two version vectors that a peer announced: the latest known to be covered by the local replica,
// and a newer one that it does not cover yet. Under constant writes the local replica rarely covers the newest vector,
// hence pending is kept until it is covered.
type peerVersions struct{ covered, pending VersionVector }

// NewReplica returns an empty replica. An origin must never be reused.
func NewReplica(origin, site string) *Replica {
	return &Replica{
		origin:       origin,
		site:         site,
		versions:     VersionVector{},
		jobs:         map[ID]*jobEntry{},
		dotsByOrigin: map[string][]Dot{},
		edits:        map[Dot]*Edit{},
		peers:        map[string]peerVersions{},
	}
}

// Origin returns the origin of the edits that this replica creates.
func (r *Replica) Origin() string { return r.origin }

// Versions returns the version vector of the replica. The caller must not modify it.
func (r *Replica) Versions() VersionVector { return r.versions }

var (
	errJobEnded       = errors.New("the job has ended")
	errUnknownJob     = errors.New("unknown job")
	errTooManyEdits   = errors.New("too many edits of the job await compaction; a site may be unreachable")
	errTooManyJobs    = errors.New("too many open jobs")
	errAlreadyInState = errors.New("the job is already in this state")
)

// Prepare validates a requested edit and assigns its dot, causal context and encoding. The edit takes effect once the
// caller passes it to Merge.
func (r *Replica) Prepare(e Edit) (Edit, error) {
	if err := ValidateEdit(e); err != nil {
		return e, err
	}
	job := r.jobs[e.ID]
	isNew := e.Kind == Announce || e.Kind == Arrive
	switch {
	case job == nil && !isNew:
		return e, fmt.Errorf("%s: %w", e.ID, errUnknownJob)
	case job == nil && len(r.jobs) >= MaxJobs:
		return e, errTooManyJobs
	case job != nil && len(job.edits) >= MaxEditsPerJob:
		return e, fmt.Errorf("%s: %w", e.ID, errTooManyEdits)
	}
	if job != nil {
		v := r.view(job, e.ID)
		addsOutcome := slices.Contains(outcomes, e.Kind) && v.State != StateResolved
		if v.State.Ended() && !addsOutcome && (e.Kind != Seen || len(v.Lost) == 0) {
			return e, fmt.Errorf("%s: %w: %s", e.ID, errJobEnded, v.State)
		}
		if isNew && v.State != StateUnknown && (e.Kind == Announce || v.State != StateAnnounced) {
			return e, fmt.Errorf("%s: %w: %s", e.ID, errAlreadyInState, v.State)
		}
	}
	r.lastNumber++
	e.Dot, e.Site, e.CausalContext = Dot{r.origin, r.lastNumber}, r.site, VersionVector{}
	if job != nil {
		for _, o := range job.edits {
			e.CausalContext[o.Dot.Origin] = max(e.CausalContext[o.Dot.Origin], o.Dot.Number)
		}
	}
	slices.Sort(e.Places)
	e.Encode()
	return e, nil
}

// add inserts an edit. Edits of an origin must come in ascending order, but gaps left by compaction are allowed.
func (r *Replica) add(e *Edit) {
	job := r.jobs[e.ID]
	if job == nil {
		job = &jobEntry{}
		r.jobs[e.ID] = job
	}
	job.edits, job.viewValid = append(job.edits, e), false
	r.edits[e.Dot] = e
	r.digest ^= xxh3.HashString(e.Dot.String())
	r.dotsByOrigin[e.Dot.Origin] = append(r.dotsByOrigin[e.Dot.Origin], e.Dot)
	r.versions[e.Dot.Origin] = max(r.versions[e.Dot.Origin], e.Dot.Number)
}

// Restore loads the contents of a store. The version vector also covers edits that were compacted.
func (r *Replica) Restore(versions VersionVector, edits []Edit) {
	slices.SortFunc(edits, func(a, b Edit) int { return int(a.Dot.Number) - int(b.Dot.Number) })
	for i := range edits {
		r.add(&edits[i])
	}
	for origin, n := range versions {
		r.versions[origin] = max(r.versions[origin], n)
	}
}

func (r *Replica) view(job *jobEntry, id ID) View {
	if !job.viewValid {
		job.view, job.viewValid = ComputeView(id, job.edits), true
	}
	return job.view
}

// View returns the view of a job; false if the job is unknown, or ended and compacted.
func (r *Replica) View(id ID) (View, bool) {
	job := r.jobs[id]
	if job == nil {
		return View{ID: id, State: StateUnknown}, false
	}
	return r.view(job, id), true
}

// Views returns the views of all known jobs, ordered by ID.
func (r *Replica) Views() (all []View) {
	for _, id := range slices.SortedFunc(maps.Keys(r.jobs), ID.Compare) {
		all = append(all, r.view(r.jobs[id], id))
	}
	return all
}

// Sizes returns the number of jobs and of edits in the replica.
func (r *Replica) Sizes() (jobs, edits int) { return len(r.jobs), len(r.edits) }

// Delta holds edits that a peer is missing, ascending by number within each origin.
type Delta struct {
	Edits     []*Edit
	Complete  VersionVector       // up to these numbers the peer has all edits once it has merged Edits
	Compacted bool                // the sender has compacted some of the missing edits
	Retained  map[string][]uint64 // set if Compacted: numbers of all edits that the sender retains, by origin
}

// DeltaSince returns up to limit edits that a peer with the given version vector is missing.
func (r *Replica) DeltaSince(versions VersionVector, limit int) (delta Delta) {
	delta.Complete = VersionVector{}
	defer func() { // a truncated delta needs Retained too, or the peer would discard edits that it has yet to receive
		if delta.Compacted {
			delta.Retained = r.Retained()
		}
	}()
	for _, origin := range slices.Sorted(maps.Keys(r.versions)) {
		if versions[origin] >= r.versions[origin] {
			continue
		}
		retained := r.dotsByOrigin[origin]
		from, _ := slices.BinarySearchFunc(
			retained,
			versions[origin]+1,
			func(d Dot, n uint64) int { return cmp.Compare(d.Number, n) },
		)
		for _, d := range retained[from:] {
			if len(delta.Edits) >= limit {
				return delta
			}
			delta.Edits = append(delta.Edits, r.edits[d])
		}
		delta.Complete[origin] = r.versions[origin]
		missing := r.versions[origin] - versions[origin]
		delta.Compacted = delta.Compacted || uint64(len(retained)-from) < missing
	}
	return delta
}

// Retained returns the numbers of all edits in the replica, by origin.
func (r *Replica) Retained() (retained map[string][]uint64) {
	retained = map[string][]uint64{}
	for origin, dots := range r.dotsByOrigin {
		for _, d := range dots {
			retained[origin] = append(retained[origin], d.Number)
		}
	}
	return retained
}

// Digest returns a digest of the dots of all edits in the replica. Two replicas with equal version vectors and
// different digests have compacted at different times, or one was restored from an old store.
func (r *Replica) Digest() uint64 { return r.digest }

// FilterNew returns the edits that the replica does not know yet. The caller stores them before it calls Merge.
func (r *Replica) FilterNew(edits []Edit) (unknown []Edit) {
	for _, e := range edits {
		if !r.versions.Contains(e.Dot) {
			unknown = append(unknown, e)
		}
	}
	return unknown
}

// Merge adds edits that are on disk, and advances the version vector to complete where that is higher.
func (r *Replica) Merge(edits []Edit, complete VersionVector) {
	for i := range edits {
		if !r.versions.Contains(edits[i].Dot) {
			r.add(&edits[i])
		}
	}
	for origin, n := range complete {
		r.versions[origin] = max(r.versions[origin], n)
	}
}

// DiscardCompacted discards edits that a peer has seen and compacted, and returns their dots. Otherwise a replica that
// was restored from an old store would reopen ended jobs and revive superseded edits. Two replicas that call it on
// each other converge to the intersection of their edits.
func (r *Replica) DiscardCompacted(peerRetained map[string][]uint64, peerVector VersionVector) (discarded []Dot) {
	retained := map[Dot]bool{}
	for origin, numbers := range peerRetained {
		for _, n := range numbers {
			retained[Dot{origin, n}] = true
		}
	}
	for id, job := range r.jobs {
		before := len(job.edits)
		job.edits = slices.DeleteFunc(job.edits, func(e *Edit) bool {
			compacted := peerVector.Contains(e.Dot) && !retained[e.Dot]
			if compacted {
				discarded = append(discarded, e.Dot)
			}
			return compacted
		})
		job.viewValid = job.viewValid && len(job.edits) == before
		if len(job.edits) == 0 {
			delete(r.jobs, id)
		}
	}
	r.remove(discarded)
	return discarded
}

// remove deletes edits from all indexes except jobs.
func (r *Replica) remove(dots []Dot) {
	removed := map[string]map[uint64]bool{}
	for _, d := range dots {
		delete(r.edits, d)
		r.digest ^= xxh3.HashString(d.String())
		if removed[d.Origin] == nil {
			removed[d.Origin] = map[uint64]bool{}
		}
		removed[d.Origin][d.Number] = true
	}
	for origin, numbers := range removed {
		retained := slices.DeleteFunc(r.dotsByOrigin[origin], func(d Dot) bool { return numbers[d.Number] })
		r.dotsByOrigin[origin] = retained
		if len(retained) == 0 {
			delete(r.dotsByOrigin, origin)
		}
	}
}

// RecordPeerVersions records the version vector that a peer announced.
func (r *Replica) RecordPeerVersions(name string, versions VersionVector) {
	p := r.peers[name]
	if p.pending != nil && r.versions.Dominates(p.pending) {
		p.covered, p.pending = p.pending, nil
	}
	if r.versions.Dominates(versions) {
		p.covered = versions
	} else if p.pending == nil {
		p.pending = versions
	}
	r.peers[name] = p
}

// SetPeers sets the peers that must have seen an edit before it is compacted.
func (r *Replica) SetPeers(names []string) {
	for name := range r.peers {
		if !slices.Contains(names, name) {
			delete(r.peers, name)
		}
	}
	for _, name := range names {
		if _, ok := r.peers[name]; !ok {
			r.peers[name] = peerVersions{}
		}
	}
}

// Compact drops ended jobs and superseded edits that all peers have seen, and returns the dots of the dropped edits. A
// job is dropped once every peer has announced that it knows of the end, so that no peer creates further edits of it,
// and all edits that the peer made before are here.
func (r *Replica) Compact() (dropped []Dot) {
	stable, ok := r.stableVersions()
	if !ok {
		return nil
	}
	for id, job := range r.jobs {
		if slices.ContainsFunc(job.edits, func(e *Edit) bool { return !stable.Contains(e.Dot) }) {
			continue
		}
		view := r.view(job, id)
		drop := func(e *Edit) bool { return false }
		switch {
		case view.State.Ended() && len(view.Lost) == 0:
			drop = func(e *Edit) bool { return true }
			delete(r.jobs, id)
		case len(job.edits) > compactionThreshold:
			drop = isSuperseded(job.edits)
		}
		retained := job.edits[:0:0]
		for _, e := range job.edits {
			if drop(e) {
				dropped = append(dropped, e.Dot)
			} else {
				retained = append(retained, e)
			}
		}
		job.edits = retained
	}
	r.remove(dropped)
	return dropped
}

// stableVersions returns the version vector that this replica and all peers have reached. It returns false if a peer
// has not announced a version vector that this replica covers.
func (r *Replica) stableVersions() (stable VersionVector, ok bool) {
	vectors := []VersionVector{r.versions}
	for _, p := range r.peers {
		if p.pending != nil && r.versions.Dominates(p.pending) {
			p.covered = p.pending
		}
		if p.covered == nil {
			return nil, false
		}
		vectors = append(vectors, p.covered)
	}
	stable = VersionVector{}
	for origin := range r.versions {
		stable[origin] = minVersion(origin, vectors)
	}
	return stable, true
}

// competingKinds groups the kinds of requests that supersede each other.
var competingKinds = [][]Kind{{Hold, Release, Withdraw}, {Place}, {Expire}, {Prioritise}}

// isSuperseded returns a predicate for the requests of a job that another edit supersedes.
func isSuperseded(edits []*Edit) func(e *Edit) bool {
	current := map[Dot]bool{}
	for _, kinds := range competingKinds {
		for _, e := range unsuperseded(edits, kinds...) {
			current[e.Dot] = true
		}
	}
	return func(e *Edit) bool {
		isRequest := slices.ContainsFunc(competingKinds, func(kinds []Kind) bool { return slices.Contains(kinds, e.Kind) })
		return isRequest && !current[e.Dot]
	}
}
