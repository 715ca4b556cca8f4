package consensus

import (
	"maps"
	"math"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

const (
	neverSeen = time.Duration(math.MinInt64) // since when a value is here: it was at the start
	// The upper bits of a ballot's number are the epoch's, so that each ballot of an epoch is above all before it. Guards
	// against one that was half done in an older epoch winning over a newer one that none of its voters met.
	eraShift = 48
)

type order struct {
	token uint64 // 0: nobody waits for it; what is half done is only finished
	apply Apply
	began time.Duration
	fate  Fate // once it is chosen
	tried bool // it may be on some disk
}

type waiting struct { // an answer, until the state behind it is on the disk
	to     string
	answer rpc.PaxosMessage
}

type register struct {
	name string
	acc  paxos.Acceptor[Register]  // this disk's part
	prop paxos.Proposal[*Register] // the ballot that began here

	// Of the disk.
	disk    BallotNumber // the ballot that it has accepted
	putting bool
	dirty   bool // there is more to put
	waits   []waiting
	failed  time.Duration // when it failed; zero: it did not
	learned bool          // what it is to get came as a copy: others are told once it is there
	// Of what is chosen.
	safe    BallotNumber // the newest ballot that is known to be chosen
	told    Version      // of the value that was told to be in force
	force   Register
	valueAt time.Duration // since when this value holds, as far as that is known here
	hereAt  time.Duration // since when it is here, in this life: it holds for that long at least
	openAt  time.Duration // since when it is here and not known to be chosen
	tells   BallotNumber  // the ballot on the disk that all were told of, as nobody said that it is chosen
	wantAt  time.Duration
	ahead   map[string]BallotNumber // by controller: a newer ballot that it has
	// Of the ballots that begin here.
	queue     []*order
	batch     []*order // in the ballot under way
	turn      uint64
	ages      Age
	sentAt    time.Duration
	againAt   time.Duration
	outbid    int
	accepted  BallotNumber  // of the best promise
	decidedAt time.Duration // since when the value that is offered holds
}

func (g *register) chosen() bool {
	return g.acc.Accepted != (BallotNumber{}) && g.safe == g.acc.Accepted
}

func (r *Replica) reg(name string) *register {
	g := r.regs[name]
	if g == nil {
		g = &register{name: name, valueAt: neverSeen, openAt: r.now, ahead: map[string]BallotNumber{}}
		g.acc.Value.Name = name
		r.regs[name] = g
	}
	return g
}

// vote takes a word on a ballot.
func (r *Replica) vote(p *peer, b *rpc.PaxosMessage) {
	g := r.reg(b.Register)
	g.turn = max(g.turn, turnOf(b.Ballot))
	switch b.Kind {
	case rpc.Prepare, rpc.Accept:
		r.accept(p.Name, g, b)
	case rpc.Promise:
		if r.counts(p) {
			r.promised(g, p.disk, b)
		}
	case rpc.Accepted:
		if p.has[g.name].Less(b.Ballot) && g.name != epochName {
			p.has[g.name] = b.Ballot
		}
		if r.counts(p) {
			r.agreed(g, p.disk, b)
		}
	case rpc.Preempted:
		if g.prop.Phase != paxos.Idle && g.prop.Ballot.Less(b.Ballot) {
			r.outbid(g)
		}
	}
}

// accept is the part of this disk. What it answers is on the disk before: an answer waits for that.
func (r *Replica) accept(to string, g *register, b *rpc.PaxosMessage) {
	switch {
	case !r.born, r.epoch.Number > 0 && !r.epoch.IsVoter(r.disk), r.epoch.Number == 0 && b.Register != epochName:
		return // one that may have forgotten, or has never read, must not vote
	case r.epochOn < r.epoch.Number:
		// Guards against votes of an epoch that lie on the disk beside the epoch before.
		if len(r.early) < earlyMost {
			r.early = append(r.early, earlyVote{to, r.epoch.Number, *b})
		}
		return
	}
	answer := rpc.PaxosMessage{Register: g.name, Ballot: b.Ballot}
	was := g.acc.Accepted
	switch b.Kind {
	case rpc.Prepare:
		if !g.acc.Prepare(b.Ballot) {
			answer.Kind = rpc.Preempted
			break
		}
		answer.Kind, answer.AcceptedBallot = rpc.Promise, g.acc.Accepted
		if g.acc.Accepted != (BallotNumber{}) {
			v := g.acc.Value
			answer.Value = &v
		}
		answer.ValueAge = r.age(g)
	case rpc.Accept:
		v := *b.Value
		stays := v.Version == g.acc.Value.Version
		if !g.acc.Accept(b.Ballot, v) {
			answer.Kind = rpc.Preempted
			break
		}
		r.aged(g, stays, b.ValueAge)
		if answer.Kind = rpc.Accepted; was != g.acc.Accepted {
			g.openAt = r.now
		}
	}
	if answer.Kind == rpc.Preempted {
		answer.Ballot = g.acc.Promised
		r.answer(to, answer)
		return
	}
	g.waits = append(g.waits, waiting{to, answer})
	r.put(g)
}

// age is how long the value here has held, as it is told: by steady clocks alone, which differ between machines in what
// they show and not in how they run.
func (r *Replica) age(g *register) uint64 {
	if g.valueAt == neverSeen {
		return 0
	}
	return uint64(max(r.now-g.valueAt, 0)/time.Millisecond) + 1
}

// aged takes the age that came with a value. Guards against an old value being young where it came late.
func (r *Replica) aged(g *register, stays bool, age uint64) {
	at := neverSeen
	if age > 0 {
		at = r.now - time.Duration(age-1)*time.Millisecond
	}
	if !stays {
		g.hereAt = r.now
	}
	switch {
	case !stays || g.valueAt == neverSeen:
		g.valueAt = at
	case at != neverSeen:
		g.valueAt = min(g.valueAt, at)
	}
}

func (r *Replica) answer(to string, b rpc.PaxosMessage) {
	if to != r.o.Me.Name {
		r.send(to, &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{b}}})
		return
	}
	g := r.reg(b.Register)
	switch b.Kind {
	case rpc.Promise:
		r.promised(g, r.disk, &b)
	case rpc.Accepted:
		r.agreed(g, r.disk, &b)
	case rpc.Preempted:
		g.turn = max(g.turn, turnOf(b.Ballot))
		if g.prop.Phase != paxos.Idle && g.prop.Ballot.Less(b.Ballot) {
			r.outbid(g)
		}
	}
}

// put has the disk take the acceptor's state, one record at a time: what came meanwhile is one more.
func (r *Replica) put(g *register) {
	switch {
	case r.regs[g.name] != g:
		return // the register of an epoch that is over must not stand on the disk as that of the next one
	case g.putting:
		g.dirty = true
		return
	}
	g.putting, g.dirty = true, false
	r.persist(recordOf(g.name), encode(r.epoch.Number, g.acc),
		put{register: g.name, accepted: g.acc.Accepted, era: r.epoch.Number, waits: g.waits})
	g.waits = nil
}

func (r *Replica) registerPut(p put, err error) {
	g := r.regs[p.register]
	if g == nil || !g.putting || p.register == epochName && p.era != r.epoch.Number {
		return // the register of an epoch that is over
	}
	if g.putting = false; err != nil {
		g.failed = max(r.now, 1) // a disk that failed says nothing; whoever asked comes again
	} else {
		if g.failed = 0; g.disk.Less(p.accepted) {
			g.disk = p.accepted
			r.stored(g)
		}
		// Guards against a vote that counts though the disk has not got the epoch in which it was given.
		if p.era == r.epoch.Number && r.epochOn == p.era {
			for _, w := range p.waits {
				r.answer(w.to, w.answer)
			}
		}
	}
	if g.dirty {
		r.put(g)
	}
}

// change takes an order.
func (r *Replica) change(e Change) {
	g := r.reg(e.Name)
	g.queue = append(g.queue, &order{token: e.Token, apply: e.Apply, began: r.now})
	r.propose(g)
}

// finish has what is half done decided, without changing it.
func (r *Replica) finish(g *register) {
	if len(g.queue) == 0 && g.prop.Phase == paxos.Idle {
		g.queue = append(g.queue, &order{apply: func(holds Register, _ Age) (Register, Fate) { return holds, Taken }, began: r.now})
		r.propose(g)
	}
}

// propose begins a ballot for all that waits.
func (r *Replica) propose(g *register) {
	if g.prop.Phase != paxos.Idle || len(g.queue) == 0 || r.now < g.againAt || !r.reachable(g) ||
		r.epoch.Number == 0 && g.name != epochName { // the seeds decide who votes, and nothing else
		return
	}
	g.turn = max(g.turn, turnOf(g.acc.Promised)) + 1
	hi := r.epoch.Number<<eraShift | g.turn
	if r.o.flaws.flat {
		hi = g.turn
	}
	g.prop.Begin(BallotNumber{Round: hi, Incarnation: r.o.Life})
	g.batch, g.queue, g.ages, g.sentAt = g.queue, nil, Age{}, r.now
	r.spread(r.word(g))
}

// spread gives a word to all whose votes count, itself too.
func (r *Replica) spread(b rpc.PaxosMessage) {
	for _, to := range r.lines() {
		if p := r.peers[to]; r.counts(p) {
			r.send(to, &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{b}}})
		}
	}
	r.accept(r.o.Me.Name, r.reg(b.Register), &b)
}

// word is what the ballot under way asks.
func (r *Replica) word(g *register) rpc.PaxosMessage {
	b := rpc.PaxosMessage{Kind: rpc.Prepare, Register: g.name, Ballot: g.prop.Ballot}
	if g.prop.Phase == paxos.Accepting {
		b.Kind, b.Value = rpc.Accept, g.prop.Value
		if g.decidedAt != neverSeen {
			b.ValueAge = uint64(max(r.now-g.decidedAt, 0)/time.Millisecond) + 1
		}
	}
	return b
}

// resend says a ballot's word again to one that has not answered it.
func (r *Replica) resend(g *register, p *peer) {
	r.send(p.Name, &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{r.word(g)}}})
}

// promised goes on with the value of the greatest ballot that was accepted, changed by the orders.
func (r *Replica) promised(g *register, disk string, b *rpc.PaxosMessage) {
	if !g.prop.OnPromise(disk, b.Ballot, b.AcceptedBallot, b.Value) {
		return
	}
	if b.AcceptedBallot == g.prop.HighestAccepted && b.AcceptedBallot != (BallotNumber{}) { // the longest that any of them has had this value
		if b.AcceptedBallot != g.accepted {
			g.accepted, g.ages = b.AcceptedBallot, Age{}
		}
		if age := time.Duration(b.ValueAge-1) * time.Millisecond; b.ValueAge > 0 && (!g.ages.Known || age > g.ages.Span) {
			g.ages = Age{age, true}
		}
	}
	if !r.most(g, g.prop.HasResponded) {
		return
	}
	holds := Register{Name: g.name}
	if g.prop.Value != nil {
		holds = *g.prop.Value
	}
	next, ages := holds, g.ages
	if !ages.Known && g.acc.Value.Version == holds.Version {
		ages.Span = r.now - g.hereAt
	}
	for _, o := range g.batch {
		was := next.Version
		if next, o.fate = o.apply(next, ages); next.Version != was {
			ages = Age{Known: true}
		}
	}
	next.Name = g.name
	if next.Version == (Version{}) { // there is nothing, and nothing is wanted
		r.close(g, next)
		return
	}
	if next.Version == holds.Version && r.lasts(g, g.prop.HasHighest) { // it stands on enough disks under one ballot
		r.decided(g, g.prop.HighestAccepted, holds)
		return
	}
	for _, o := range g.batch {
		o.tried = true
	}
	g.prop.StartAccept(&next)
	g.sentAt = r.now
	if g.decidedAt = neverSeen; ages.Known {
		g.decidedAt = r.now - ages.Span
	}
	r.spread(r.word(g))
}

func (r *Replica) agreed(g *register, disk string, b *rpc.PaxosMessage) {
	if g.prop.OnAccepted(disk, b.Ballot) && r.lasts(g, g.prop.HasResponded) {
		r.decided(g, g.prop.Ballot, *g.prop.Value)
	}
}

// decided: the value is chosen.
func (r *Replica) decided(g *register, number BallotNumber, v Register) {
	r.toAll(func() *rpc.Message {
		return &rpc.Message{Consensus: rpc.Consensus{ChosenBallots: map[string]BallotNumber{g.name: number}}}
	})
	r.choose(g, number, v, 0)
	r.close(g, v)
}

// close ends a ballot whose orders have their fates.
func (r *Replica) close(g *register, v Register) {
	batch := g.batch
	g.prop.Stop()
	g.batch, g.outbid, g.againAt = nil, 0, 0
	for _, o := range batch {
		if o.token > 0 {
			r.order(Done{Token: o.token, Fate: o.fate, Register: v})
		}
	}
	if r.regs[g.name] == g { // else it was the register of an epoch that is over now
		r.propose(g)
	}
}

// outbid: somebody else has a higher ballot. The orders wait for a while, more and more, so that two that overtake each
// other do not do so for ever.
func (r *Replica) outbid(g *register) {
	g.prop.Stop()
	g.outbid++
	chance := mix(g.turn, r.o.Life) % uint64(pauseChance*time.Duration(min(g.outbid, 8)))
	g.againAt = r.now + pauseLeast + time.Duration(chance)
	r.putOff(g)
}

func (r *Replica) putOff(g *register) {
	g.queue, g.batch = append(g.batch, g.queue...), nil
}

// dropLate ends the orders whose time is over, and a ballot for nobody else: guards against an order of which its caller
// has given up being taken when a cut heals, or when a process wakes with promises in its sockets.
func (r *Replica) dropLate(g *register) {
	late := func(o *order) bool {
		// Without a majority nothing would come of it: its caller finds another sooner than it would by waiting.
		if r.now < o.began+WriteWithin && (o.token == 0 || r.InTouch(r.now)) {
			return false
		}
		if o.token > 0 {
			fate := Untaken
			if o.tried {
				fate = Unknown
			}
			r.order(Done{Token: o.token, Fate: fate, Register: g.force})
		}
		return true
	}
	g.queue, g.batch = slices.DeleteFunc(g.queue, late), slices.DeleteFunc(g.batch, late)
	if g.prop.Phase != paxos.Idle && len(g.batch) == 0 {
		g.prop.Stop()
	}
}

func (r *Replica) tendRegister(g *register) {
	r.dropLate(g)
	if g.prop.Phase != paxos.Idle && r.now >= g.sentAt+askAgain {
		g.sentAt = r.now
		for _, to := range r.lines() {
			if p := r.peers[to]; r.counts(p) && !g.prop.HasResponded(p.disk) {
				r.resend(g, p)
			}
		}
		if !g.prop.HasResponded(r.disk) && !g.putting { // the own disk failed before
			b := r.word(g)
			r.accept(r.o.Me.Name, g, &b)
		}
	}
	if g.failed > 0 && !g.putting && r.now >= g.failed+diskAgain {
		r.put(g)
	}
	want := r.now >= g.wantAt+wantAgain
	for _, who := range slices.Sorted(maps.Keys(g.ahead)) {
		if !g.acc.Accepted.Less(g.ahead[who]) {
			delete(g.ahead, who)
		} else if p := r.peers[who]; p == nil || !p.up {
			delete(g.ahead, who) // it says so anew on its next line
		} else if want {
			g.wantAt = r.now
			r.send(who, &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{g.name}}})
		}
	}
	if g.acc.Accepted != (BallotNumber{}) && !g.chosen() {
		r.count(g) // at a start, what is said by then may be enough
		// Guards against what its proposer had chosen, and died before it told anybody, waiting for a ballot: enough of those
		// who accepted it find that out by telling each other.
		if r.now >= g.openAt+tellAfter && g.tells != g.disk && g.name != epochName && r.Votes() {
			g.tells = g.disk
			name, number := g.name, g.disk
			r.toAll(func() *rpc.Message {
				return &rpc.Message{Consensus: rpc.Consensus{AcceptedBallots: map[string]BallotNumber{name: number}}}
			})
		}
	}
	if g.acc.Accepted != (BallotNumber{}) && !g.chosen() && r.now >= g.openAt+finishAfter+time.Duration(r.place(g.name))*turnGap {
		g.openAt = r.now
		if r.epoch.Number > 0 || g.name != epochName { // a first epoch that is half done is found's
			r.finish(g) // the one that began it may be gone
		}
	}
	r.propose(g)
}

// turnOf is a ballot's number within its epoch.
func turnOf(b BallotNumber) uint64 { return b.Round & (1<<eraShift - 1) }

// place is the number of voters with a line that come before this one, where one is enough.
func (r *Replica) place(name string) (n int) {
	mine := rank(name, r.disk)
	for _, p := range r.peers {
		if p.up && r.counts(p) && rank(name, p.disk) < mine {
			n++
		}
	}
	return n
}

// reachable says whether lines stand to enough of those that vote: else nothing would come of a ballot but numbers.
func (r *Replica) reachable(g *register) bool {
	if r.epoch.Number == 0 {
		return r.foundable()
	}
	up := map[string]bool{r.disk: r.born}
	for _, p := range r.peers {
		up[p.disk] = up[p.disk] || p.up
	}
	if g.name == epochName {
		return r.deciders().HasMajority(func(v Voter) bool { return up[v.StoreID] || r.ghost(v) })
	}
	return r.epoch.HasMajority(func(v Voter) bool { return up[v.StoreID] || r.oldGhost(v) })
}

// most says whether those of a ballot that has says are enough to read from; lasts, whether they are to write to.
func (r *Replica) most(g *register, has func(string) bool) bool {
	if r.epoch.Number == 0 {
		return r.founds(has)
	}
	if g.name == epochName {
		return r.deciders().HasMajority(func(v Voter) bool { return has(v.StoreID) || r.ghost(v) })
	}
	return r.epoch.HasMajority(func(v Voter) bool { return has(v.StoreID) || r.oldGhost(v) })
}

func (r *Replica) lasts(g *register, has func(string) bool) bool {
	if r.epoch.Number == 0 {
		return r.founds(has)
	}
	if g.name == epochName {
		return r.deciders().HasMajority(func(v Voter) bool { return has(v.StoreID) || r.ghost(v) })
	}
	return r.epoch.IsDurable(r.o.Faults, func(v Voter) bool { return has(v.StoreID) || r.oldGhost(v) })
}

// reading is a question for what holds, answered by what disks have where those agree.
type reading struct {
	token   uint64
	name    string
	began   time.Duration
	askedAt time.Duration
	round   uint64
	answers map[string]BallotNumber // by disk: the ballot that it has accepted
}

// settleRead moves a question on; it says whether that is over. Where enough disks have the same ballot, its value is
// chosen, and no later one was before the question. Where they differ, a ballot decides.
func (r *Replica) settleRead(q *reading) bool {
	g := r.reg(q.name)
	if r.now >= q.began+WriteWithin || !r.InTouch(r.now) {
		r.order(Done{Token: q.token, Fate: Untaken, Register: g.force})
		return true
	}
	if q.round == 0 || r.now >= q.askedAt+askAgain {
		if r.round++; q.round == 0 {
			q.round = r.round
		}
		q.askedAt = r.now
		round := r.round
		r.toAll(func() *rpc.Message { return &rpc.Message{Consensus: rpc.Consensus{QueryState: true, QueryID: round}} })
	}
	if r.Votes() {
		q.answers[r.disk] = g.disk
	}
	answered := func(v Voter) bool { _, is := q.answers[v.StoreID]; return is }
	if !r.epoch.HasMajority(answered) {
		return false
	}
	var best BallotNumber
	for _, b := range q.answers {
		if best.Less(b) {
			best = b
		}
	}
	same := func(v Voter) bool { return answered(v) && q.answers[v.StoreID] == best }
	if best == (BallotNumber{}) || r.epoch.IsDurable(r.o.Faults, same) {
		switch {
		case best == BallotNumber{}:
			r.order(Done{Token: q.token, Fate: Taken, Register: Register{Name: q.name}})
			return true
		case g.acc.Accepted == best:
			r.choose(g, best, g.acc.Value, 0)
			r.order(Done{Token: q.token, Fate: Taken, Register: g.acc.Value})
			return true
		}
	}
	if r.now < q.began+readWithin {
		return false
	}
	token := q.token
	g.queue = append(g.queue, &order{token: token, began: q.began,
		apply: func(holds Register, _ Age) (Register, Fate) { return holds, Taken }})
	r.propose(g)
	return true
}

// mix and rank give each its own place, the same for all who ask.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

func rank(name, disk string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range []string{name, "/", disk} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	return mix(h, 0)
}
