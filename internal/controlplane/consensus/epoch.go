package consensus

import (
	"maps"
	"slices"
	"strings"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// Who votes. Epoch N+1 is decided by the voters of epoch N, in a register that each epoch begins anew. A change takes two
// steps: first the old voters and the new ones count, both; once all that was chosen lies on enough disks of both, the new
// ones alone (joint consensus, Ongaro 2014, 4.3). Whoever answers in the joint epoch votes in no older one any more, so
// that what its voters were asked for is all there is.
const (
	epochName  = "epoch"
	gatherFor  = 700 * time.Millisecond // no further controller came: the first voters are those that did
	gatherMost = 2 * time.Second        // ... and with fewer than the faults to be borne ask for, after this
	gatherTurn = 500 * time.Millisecond // one seed after the other
	changeGap  = 200 * time.Millisecond // between changes of voters
	scanAgain  = 300 * time.Millisecond
	backAfter  = 5 * time.Second // a change that is not done by then is undone
)

// scan asks, while old and new voters count, what all of them have.
type scan struct {
	round   uint64
	askedAt time.Duration
	answers map[string]map[string]BallotNumber // by disk
}

// enter takes a newer epoch. What was under way in the old one begins anew.
func (r *Replica) enter(e Epoch) {
	if e.Number <= r.epoch.Number {
		return
	}
	r.epoch, r.changed, r.wished, r.scan = e, r.now, "", nil
	r.putEpoch()
	delete(r.regs, epochName)
	for _, g := range r.regs {
		if g.waits = nil; g.prop.Phase != paxos.Idle {
			g.prop.Stop()
			r.putOff(g)
		}
	}
	for _, q := range r.reads {
		q.round, q.answers = 0, map[string]BallotNumber{}
	}
	r.touch.pingAt = never
	r.order(Entered{e})
	for _, p := range r.peers {
		p.has, p.hasAt = map[string]BallotNumber{}, never
	}
	r.round++
	round := r.round
	r.toAll(func() *rpc.Message {
		m := r.all(0)
		m.Epoch, m.QueryState, m.QueryID = r.theEpoch(), true, round
		return m
	})
}

func (r *Replica) putEpoch() {
	r.epochPutAt = r.now
	r.persist(recordEpoch, encodeEpoch(r.epoch), put{epoch: r.epoch.Number})
}

func (r *Replica) tendEpoch() {
	if !r.born && (r.birthAt < 0 || r.now >= r.birthAt+diskAgain) {
		r.birthAt = r.now + time.Hour // until it is answered
		r.bear()
	}
	if r.epochOn < r.epoch.Number && r.now >= r.epochPutAt+diskAgain {
		r.putEpoch()
	}
	switch {
	case !r.born:
	case r.epoch.Number == 0:
		r.found()
	case len(r.epoch.OldVoters) > 0 && r.Votes():
		r.settleJoint() // it asks for itself who is there
	case !r.Votes() || !r.InTouch(r.now):
		r.scan, r.wished = nil, ""
	default:
		r.changeVoters()
	}
}

// seed is this controller's place among the seeds; negative: it is none.
func (r *Replica) seed() int { return slices.Index(r.o.Seeds, r.o.Me.Address) }

// founds says whether those that has says are enough of the seeds to decide the first epoch: a majority of those whose
// disks go back to the system's first start. A disk that may have forgotten counts only where all seeds are there: then
// nobody is left who could know of an epoch.
func (r *Replica) founds(has func(disk string) bool) bool {
	sure, all := 0, 0
	count := func(disk string, blank bool) {
		if has(disk) {
			if all++; !blank {
				sure++
			}
		}
	}
	for _, seed := range r.o.Seeds {
		if seed == r.o.Me.Address {
			count(r.disk, r.blank)
			continue
		}
		for _, name := range r.lines() {
			if p := r.peers[name]; p.Address == seed {
				count(p.disk, p.blank)
				break
			}
		}
	}
	return sure >= len(r.o.Seeds)/2+1 || all == len(r.o.Seeds)
}

func (r *Replica) foundable() bool { return r.born && r.founds(func(string) bool { return true }) }

// found proposes the first epoch: all controllers that came. Any majority of the seeds decides it, whichever is gone; the
// others propose too, after them, as they may have lines to seeds that are cut from each other.
func (r *Replica) found() {
	at := r.joinedAt + gatherFor
	all := []Voter{{Node: r.o.Me, StoreID: r.disk}}
	for _, name := range r.lines() {
		if r.peers[name].hasAt == never {
			continue // its disk is nobody yet
		}
		all = append(all, Voter{Node: r.peers[name].Node, StoreID: r.peers[name].disk})
	}
	if len(all) < 2*r.o.Faults+1 {
		at = max(at, gatherMost)
	}
	turn := r.seed()
	if turn < 0 {
		turn = len(r.o.Seeds) + int(rank(epochName, r.disk)%4)
	}
	if !r.foundable() || r.now < at+time.Duration(turn)*gatherTurn {
		return
	}
	here := func(seed string) bool {
		return slices.ContainsFunc(all, func(v Voter) bool { return v.Address == seed })
	}
	first := Epoch{Number: 1, Voters: sorted(all), FoundingSize: len(all)}
	if !slices.ContainsFunc(r.o.Seeds, func(seed string) bool { return !here(seed) }) {
		r.decideFrom(first, func(half Epoch) bool { return mostGone(half, all) })
		return
	}
	r.decide(first)
}

// mostGone says whether the machines of most voters are here with other disks. Guards against a first epoch that was half
// done when its voters lost their disks being finished, and nobody ever voting in it: all seeds are here, and none of
// them has entered it, so that nothing was acknowledged in it but by disks that are gone, more than are to be borne.
func mostGone(half Epoch, here []Voter) bool {
	n := 0
	for _, v := range half.Voters {
		if slices.ContainsFunc(here, func(w Voter) bool { return w.Name == v.Name && w.StoreID != v.StoreID }) {
			n++
		}
	}
	return n > len(half.Voters)/2
}

// oldGhost says so of a voter that the change under way takes out. For registers it counts only there: the new voters must
// have all that the one that is left has.
func (r *Replica) oldGhost(v Voter) bool {
	return len(r.epoch.OldVoters) > 0 && !slices.ContainsFunc(r.epoch.Voters, func(w Voter) bool { return w.StoreID == v.StoreID }) && r.ghost(v)
}

// deciders are those who decide what follows this epoch: while a change is under way the old voters, whether it ends in the
// new ones or goes back. Both ends need a majority of them, so there is one.
func (r *Replica) deciders() Epoch {
	e := r.epoch
	if len(e.OldVoters) > 0 {
		e.Voters, e.OldVoters = e.OldVoters, nil
	}
	return e
}

// ghost says whether a voter is one of two and its disk is known to be gone, as its machine is there with another one. All
// that was chosen by two lies on both, and a disk that is gone votes for nothing else: the other one decides alone who
// votes next. Guards against a core of two that a wiped disk ends for good.
func (r *Replica) ghost(v Voter) bool {
	p := r.peers[v.Name]
	for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
		if len(set) == 2 && slices.ContainsFunc(set, func(w Voter) bool { return w.StoreID == v.StoreID }) {
			return v.StoreID != r.disk && p != nil && p.up && p.disk != v.StoreID
		}
	}
	return false
}

func sorted(all []Voter) []Voter {
	slices.SortFunc(all, func(a, b Voter) int { return strings.Compare(a.Name+a.StoreID, b.Name+b.StoreID) })
	return all
}

// decide proposes the next epoch, unless another one is proposed already: then that one is finished.
func (r *Replica) decide(e Epoch) { r.decideFrom(e, func(Epoch) bool { return false }) }

// decideFrom does so, but for one that is proposed already and of which over says that it never can be in force.
func (r *Replica) decideFrom(e Epoch, over func(Epoch) bool) {
	g := r.reg(epochName)
	if g.prop.Phase != paxos.Idle || len(g.queue) > 0 {
		return
	}
	life := r.o.Life
	g.queue = append(g.queue, &order{began: r.now, apply: func(holds Register, _ Age) (Register, Fate) {
		if half, err := decodeEpoch(holds.Value); holds.Version == (Version{}) || err == nil && over(half) {
			next := e
			next.Number = max(e.Number, half.Number+1) // two epochs never have one number
			holds.Version, holds.Value = Version{Number: holds.Version.Number + 1, ID: life}, encodeEpoch(next)
		}
		return holds, Taken
	}})
	r.propose(g)
}

// settleJoint ends a change of voters. Each value must lie, under one ballot, on enough disks of the old voters and of the
// new ones; those that do not are written anew.
func (r *Replica) settleJoint() {
	if r.now < r.changed+time.Duration(r.place(epochName))*turnGap {
		return
	}
	if r.scan == nil {
		r.round++
		r.scan = &scan{round: r.round, askedAt: never, answers: map[string]map[string]BallotNumber{}}
	}
	if r.now >= r.scan.askedAt+scanAgain {
		r.scan.askedAt = r.now
		round := r.scan.round
		r.toAll(func() *rpc.Message { return &rpc.Message{Consensus: rpc.Consensus{QueryState: true, QueryID: round}} })
	}
	r.scan.answers[r.disk] = r.onDisk()
	answered := func(v Voter) bool { _, is := r.scan.answers[v.StoreID]; return is || r.ghost(v) }
	if r.epochOn < r.epoch.Number || !r.epoch.HasMajority(answered) {
		r.goBack()
		return
	}
	best := map[string]BallotNumber{}
	for _, has := range r.scan.answers {
		for name, number := range has {
			if best[name].Less(number) {
				best[name] = number
			}
		}
	}
	ready := true
	for _, name := range slices.Sorted(maps.Keys(best)) {
		number := best[name]
		if !r.epoch.IsDurable(r.o.Faults, func(v Voter) bool { return r.scan.answers[v.StoreID][name] == number || r.ghost(v) }) {
			ready = false
			r.finish(r.reg(name))
		}
	}
	if !ready {
		r.goBack()
	} else {
		r.decide(Epoch{Number: r.epoch.Number + 1, Voters: r.epoch.Voters, FoundingSize: r.epoch.FoundingSize})
	}
}

// goBack ends a change that cannot be ended otherwise: the new voters went before they had all. All that was chosen while
// both counted lies on enough disks of the old ones. Guards against a core that a learner's death holds for ever.
func (r *Replica) goBack() {
	if r.now >= r.changed+backAfter+time.Duration(r.place(epochName))*turnGap {
		r.decide(Epoch{Number: r.epoch.Number + 1, Voters: r.epoch.OldVoters, FoundingSize: r.epoch.FoundingSize})
	}
}

// changeVoters proposes the voters that are wished for, one controller after the other.
func (r *Replica) changeVoters() {
	want := r.wish()
	if slices.Equal(want, r.epoch.Voters) {
		r.wished = ""
		return
	}
	key := ""
	for _, v := range want {
		key += v.StoreID + " "
	}
	if key != r.wished {
		r.wished, r.wishedAt = key, r.now
	}
	wait := time.Duration(r.place(epochName)) * turnGap
	if r.leaving {
		wait = 0
	}
	if r.now >= r.wishedAt+wait && r.now >= r.changed+changeGap {
		old := r.epoch.Voters
		if r.o.flaws.apart {
			old = nil
		}
		r.decide(Epoch{Number: r.epoch.Number + 1, OldVoters: old, Voters: want, FoundingSize: r.epoch.FoundingSize})
	}
}

// tendLeaving ends a Leave once nothing needs this disk: the others have all that is chosen, and its vote has moved on
// where that is wished.
func (r *Replica) tendLeaving() {
	if !r.leaving || r.left {
		return
	}
	again := r.now >= r.handedAt+handAgain
	if again { // what the others have is asked anew: while orders go on it changes all the time
		r.handedAt = r.now
		r.round++
		round := r.round
		r.toAll(func() *rpc.Message {
			return &rpc.Message{Consensus: rpc.Consensus{ShuttingDown: true, QueryState: true, QueryID: round}}
		})
	}
	missing := r.handOver(again)
	if r.Votes() && (len(r.epoch.OldVoters) > 0 || !slices.Equal(r.wish(), r.epoch.Voters)) {
		missing = append(missing, "its vote")
	}
	if r.missing = missing; len(missing) == 0 {
		r.left = true
		r.order(Left{})
	}
}

// Missing is what a Leave has not handed over yet.
func (r *Replica) Missing() []string { return r.missing }
