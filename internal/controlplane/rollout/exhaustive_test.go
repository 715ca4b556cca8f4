package rollout

import (
	"encoding/binary"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"elmfold/internal/controlplane/paxos"
)

func (c *trackedVersion) clone() *trackedVersion {
	d := *c
	d.askedToPrepare, d.confirmations, d.proposal.Responses = maps.Clone(
		c.askedToPrepare,
	), maps.Clone(
		c.confirmations,
	), maps.Clone(
		c.proposal.Responses,
	)
	return &d
}

// clone shares with w what own copies before it changes; queues are only ever replaced.
func (w *world) clone() *world {
	v := *w
	v.st, v.car, v.disks, v.proved = slices.Clone(w.st), slices.Clone(w.car), slices.Clone(w.disks), slices.Clone(w.proved)
	v.pend, v.queues, v.now, v.life = slices.Clone(
		w.pend,
	), slices.Clone(
		w.queues,
	), slices.Clone(
		w.now,
	), slices.Clone(
		w.life,
	)
	v.shared = 1<<(w.n+w.m) - 1
	return &v
}

func (w *world) own(i int) {
	if w.shared>>i&1 == 0 {
		return
	}
	w.shared &^= 1 << i
	if i >= w.n {
		d := *w.car[i-w.n]
		d.versions = map[uint64]*versionState{}
		for version, o := range w.car[i-w.n].versions {
			p := *o
			d.versions[version] = &p
		}
		w.car[i-w.n] = &d
		return
	}
	s := *w.st[i]
	s.connected, s.leases, s.versions = maps.Clone(s.connected), maps.Clone(s.leases), map[uint64]*trackedVersion{}
	for version, c := range w.st[i].versions {
		s.versions[version] = c.clone()
	}
	s.answers, s.actions = slices.Clone(s.answers), nil
	w.st[i], w.disks[i], w.proved[i] = &s, maps.Clone(w.disks[i]), maps.Clone(w.proved[i])
}

func put(b []byte, xs ...uint64) []byte {
	for _, x := range xs {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

func bit(x bool) uint64 {
	if x {
		return 1
	}
	return 0
}

func putDecision(b []byte, d Decision) []byte {
	return put(b, bit(d.Committed), d.Digest, uint64(d.Reason))
}

func putItem(b []byte, x any) []byte {
	switch x := x.(type) {
	case Message:
		b = put(b, 1, uint64(x.Kind), x.Ballot.Round, x.Ballot.Incarnation, x.Accepted.Round, x.Accepted.Incarnation)
		return putDecision(b, x.Value)
	case hello:
		return put(b, 2, x.life)
	case CommandReceived:
		return put(b, 3, uint64(x.Command), x.Digest)
	case Confirmed:
		return put(b, 4, x.Incarnation, x.Digest)
	case Persist:
		return putVote(put(b, 5), x.Vote)
	}
	return put(b, 6)
}

func putVote(b []byte, v Vote) []byte {
	b = put(b, v.Promised.Round, v.Promised.Incarnation, v.Accepted.Round, v.Accepted.Incarnation, bit(v.Decided))
	return putDecision(b, v.Value)
}

// hash is of all that what follows depends on, for one version. The carriers are alike: their columns are sorted, with
// lives as the number of their restarts.
func (w *world) hash(crashed bool) xxh3.Uint128 {
	b := put(make([]byte, 0, 512), bit(crashed))
	var columns [][]byte
	for k := w.n; k < w.n+w.m; k++ {
		c := w.car[k-w.n]
		gen := func(life uint64) uint64 { return (life + 15) / 16 }
		col := put(nil, gen(w.life[k]), c.active.Version, c.committed.Version)
		if o := c.versions[1]; o != nil {
			col = put(col, uint64(o.state), o.digest)
		}
		for i := range w.n {
			s := w.st[i]
			col = put(col, 99, gen(s.leases[name(k)].incarnation))
			if ch := s.versions[1]; ch != nil && !ch.Decided { // what was counted is of no use after the end
				col = put(
					col,
					gen(ch.askedToPrepare[name(k)]),
					gen(ch.confirmations[name(k)].incarnation),
					gen(w.proved[i][about{k, 0}].life),
					gen(w.proved[i][about{k, 1}].life),
				)
			}
			for _, q := range [][]any{*w.queue(i, k), *w.queue(k, i)} {
				col = put(col, uint64(len(q)))
				for _, x := range q {
					switch x := x.(type) {
					case hello:
						col = putItem(col, hello{gen(x.life)})
					case Confirmed:
						x.Incarnation = gen(x.Incarnation)
						col = putItem(col, x)
					default:
						col = putItem(col, x)
					}
				}
			}
		}
		columns = append(columns, col)
	}
	slices.SortFunc(columns, slices.Compare)
	for _, col := range columns {
		b = append(append(b, col...), 255)
	}
	for i := range w.n {
		s := w.st[i]
		b = put(b, 77, uint64(w.now[i]), s.incarnation, s.committed.Version, uint64(len(s.answers)))
		for _, x := range s.answers {
			b = put(putItem(b, x.message), s.seq-x.seq)
		}
		if c := s.versions[1]; c != nil {
			b = putVote(b, c.Vote)
			if !c.Decided {
				b = put(
					b,
					uint64(c.stage),
					uint64(c.haltReason),
					uint64(c.retryAt),
					uint64(c.wantedAt+1),
					uint64(c.recoverAt+1),
					c.maxRound,
					uint64(c.proposal.Phase),
					uint64(c.stageStartedAt),
				)
			}
			if p := c.proposal; p.Phase != paxos.Idle {
				b = put(
					b,
					p.Ballot.Round,
					p.Ballot.Incarnation,
					p.HighestAccepted.Round,
					p.HighestAccepted.Incarnation,
					uint64(len(p.Responses)),
				)
				for _, f := range slices.Sorted(maps.Keys(p.Responses)) {
					b = put(append(b, f...), p.Responses[f].Round, p.Responses[f].Incarnation)
				}
				b = putDecision(b, p.Value)
			}
		}
		b = putVote(put(b, 78), w.disks[i][1])
		b = put(b, uint64(len(w.pend[i])))
		for _, x := range w.pend[i] {
			b = putItem(b, x)
		}
		for j := range w.n {
			q := *w.queue(i, j)
			b = put(b, uint64(len(q)))
			for _, x := range q {
				b = putItem(b, x)
			}
		}
	}
	sum := uint64(0)
	for key, a := range w.ballots { // in whatever order
		sum += xxh3.Hash(putDecision(put(nil, key.at.Round, key.at.Incarnation, a.by), a.value))
	}
	return xxh3.Hash128(putDecision(put(b, sum), w.chosen[1]))
}

// hurry is the process that moves before all others in an eager exploration, or -1.
func (w *world) hurry() int {
	for i := range w.n {
		if len(w.pend[i]) > 0 {
			return i
		}
	}
	for k := w.n; k < w.n+w.m; k++ {
		for j := range w.n {
			if len(*w.queue(j, k)) > 0 {
				return k
			}
		}
	}
	return -1
}

type seen struct {
	states, taken, halted, open int
}

// every explores all schedules; it ends at the first fault. Ticks is how often time passes at each controller; a
// span is long enough for whatever waits. Eager bounds the space: a word to a carrier arrives, and a disk has its
// record, before anything else happens but a crash of one of those concerned.
//
// InOrder: carriers that are alike are heard in the order of their names at each controller; who they are makes no
// difference while none of them ends.
func every(w *world, ticks [2]time.Duration, crashes []int, eager, inOrder bool, most int) (got seen, fault string) {
	type node struct {
		w       *world
		crashed bool
	}
	known := map[xxh3.Uint128]bool{}
	stack := []node{{w, len(crashes) == 0}}
	var at node
	visit := func(crashed bool, act func(v *world)) {
		v := at.w.clone()
		act(v)
		for eager && crashed && v.fault == "" && v.hurry() >= 0 { // nothing else may happen: no need to keep it
			if i := v.hurry(); i < v.n {
				v.written(i, nil)
			} else {
				for j := range v.n {
					for len(*v.queue(j, i)) > 0 {
						v.deliver(j, i)
					}
				}
			}
		}
		if v.fault != "" {
			fault = v.fault
		}
		if h := v.hash(crashed); !known[h] {
			known[h] = true
			stack = append(stack, node{v, crashed})
		}
	}
	for len(stack) > 0 && fault == "" && len(known) < most {
		at, stack = stack[len(stack)-1], stack[:len(stack)-1]
		w, quiet := at.w, true
		all := w.n + w.m
		only := -1
		if eager {
			only = w.hurry()
		}
		for q := range w.queues {
			if to := q % all; len(w.queues[q]) > 0 && (only < 0 || only == to && to >= w.n) {
				quiet = false
				if from := q / all; inOrder && from >= w.n && slices.ContainsFunc(w.car[:from-w.n], func(c *Participant) bool {
					return len(*w.queue(int(c.incarnation-1)%16, to)) > 0
				}) {
					continue
				}
				visit(at.crashed, func(v *world) { v.deliver(q/all, to) })
			}
		}
		for i := range w.n {
			if len(w.pend[i]) > 0 && (only < 0 || only == i) {
				quiet = false
				visit(at.crashed, func(v *world) { v.written(i, nil) })
			}
			if only < 0 && w.now[i] < ticks[i]*time.Hour {
				visit(at.crashed, func(v *world) { v.now[i] += time.Hour; v.step(i) })
			}
		}
		for _, i := range crashes {
			if !at.crashed && (only < 0 || i == only || i < w.n && only >= w.n) {
				visit(true, func(v *world) { v.crash(i, false) })
			}
		}
		if d, is := w.chosen[1]; quiet && is && d.Committed {
			got.taken++
		} else if quiet && is {
			got.halted++
		} else if quiet {
			got.open++
		}
	}
	got.states = len(known)
	return got, fault
}

// small: with 3 carriers 2 are enough, exactly the bound. The leases are known, the version has just become safe.
func small(carriers int, f flaws) *world {
	w := newWorld(2, carriers, 0, Plan{Stages: []Stage{{MinShare: 0.6, Timeout: time.Minute}}}, f)
	w.settle()
	w.propose(Target{1, 7})
	return w
}

func TestEveryInterleaving(t *testing.T) {
	const most = 2000000
	t.Cleanup(func(was int) func() { return func() { debug.SetGCPercent(was) } }(debug.SetGCPercent(400)))
	for _, c := range []struct {
		carriers       int
		ticks          [2]time.Duration
		crashes        []int
		eager, inOrder bool
	}{
		{1, [2]time.Duration{0, 0}, []int{0, 1, 2}, false, false}, // nothing is eager
		{1, [2]time.Duration{1, 1}, []int{0, 1, 2}, true, false},
		{3, [2]time.Duration{0, 0}, []int{2}, true, false},
		{3, [2]time.Duration{1, 1}, nil, true, false},
		{3, [2]time.Duration{1, 0}, []int{0, 1}, true, true},
		{3, [2]time.Duration{0, 1}, []int{0, 1}, true, true},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			got, fault := every(small(c.carriers, flaws{}), c.ticks, c.crashes, c.eager, c.inOrder, most)
			t.Logf("%+v", got)
			if fault != "" || got.states >= most || got.taken == 0 {
				t.Fatal(fault, got)
			}
		})
	}
}
