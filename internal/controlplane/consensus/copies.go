package consensus

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// onDisk are the ballots that this disk has accepted: what it may tell others.
func (r *Replica) onDisk() map[string]BallotNumber {
	all := map[string]BallotNumber{}
	for name, g := range r.regs {
		if name != epochName && g.disk != (BallotNumber{}) {
			all[name] = g.disk
		}
	}
	return all
}

// stored: this disk has a newer ballot.
func (r *Replica) stored(g *register) {
	if g.name == epochName {
		return
	}
	if r.count(g); g.learned || !r.Votes() {
		g.learned = false
		name, number := g.name, g.disk
		r.toAll(func() *rpc.Message {
			return &rpc.Message{Consensus: rpc.Consensus{AcceptedBallots: map[string]BallotNumber{name: number}}}
		})
	}
}

// hearHas takes what another disk has accepted. Where enough voters have the same ballot, its value is chosen; what is
// newer than here is asked for.
func (r *Replica) hearHas(p *peer, m *rpc.Message) {
	if m.AcceptedBallots == nil && !m.Complete {
		return
	}
	// Only what is said in this epoch is counted. Guards against what was had in one epoch making up a majority of another:
	// since then, who said so may have taken what is newer.
	same := m.EpochNumber == r.epoch.Number
	if m.Complete && same {
		p.has, p.hasAt = map[string]BallotNumber{}, r.now
	}
	for _, name := range slices.Sorted(maps.Keys(m.AcceptedBallots)) {
		g := r.reg(name)
		if g.acc.Accepted.Less(m.AcceptedBallots[name]) {
			g.ahead[p.Name] = m.AcceptedBallots[name]
		}
		if same {
			p.has[name] = m.AcceptedBallots[name]
			r.count(g)
		}
	}
}

// count says whether enough disks have what is accepted here.
func (r *Replica) count(g *register) {
	if g.acc.Accepted == (BallotNumber{}) || g.chosen() || g.name == epochName {
		return
	}
	have := map[string]bool{r.disk: g.disk == g.acc.Accepted}
	for _, p := range r.peers {
		have[p.disk] = have[p.disk] || p.has[g.name] == g.acc.Accepted
	}
	if r.epoch.IsDurable(r.o.Faults, func(v Voter) bool { return have[v.StoreID] }) {
		number := g.acc.Accepted
		r.toAll(func() *rpc.Message {
			return &rpc.Message{Consensus: rpc.Consensus{ChosenBallots: map[string]BallotNumber{g.name: number}}}
		})
		r.choose(g, number, g.acc.Value, 0)
	}
}

// hearChosen takes word of ballots that are chosen, and copies of their values.
func (r *Replica) hearChosen(p *peer, m *rpc.Message) {
	for _, name := range slices.Sorted(maps.Keys(m.ChosenBallots)) {
		if name == epochName {
			if g := r.regs[name]; g != nil && m.EpochNumber == r.epoch.Number && g.acc.Accepted == m.ChosenBallots[name] {
				r.choose(g, g.acc.Accepted, g.acc.Value, 0)
			}
			continue
		}
		switch g, number := r.reg(name), m.ChosenBallots[name]; {
		case g.acc.Accepted == number:
			r.choose(g, number, g.acc.Value, 0)
		case g.acc.Accepted.Less(number):
			if g.ahead[p.Name] = number; g.wantAt == 0 || r.now >= g.wantAt+wantAgain {
				g.wantAt = r.now
				r.send(p.Name, &rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{name}}})
			}
		}
	}
	for _, c := range m.ChosenValues {
		if c.Register.Name != epochName {
			r.choose(r.reg(c.Register.Name), c.Ballot, c.Register, c.ValueAge)
		}
	}
}

// copied is what is chosen of a register, as it is given to others.
func (r *Replica) copied(g *register) *rpc.Message {
	c := rpc.ChosenValue{Ballot: g.safe, Register: g.force}
	if g.acc.Value.Version == g.force.Version {
		c.ValueAge = r.age(g)
	}
	return &rpc.Message{Consensus: rpc.Consensus{ChosenValues: []rpc.ChosenValue{c}}}
}

// choose takes it that a value is chosen under a ballot, and its age if that came with it. A disk that has an older one
// learns it.
func (r *Replica) choose(g *register, number BallotNumber, v Register, age uint64) {
	if g.name == epochName {
		if e, err := decodeEpoch(v.Value); err == nil {
			r.enter(e)
		}
		return
	}
	if !g.safe.Less(number) {
		return
	}
	g.safe, g.force = number, v
	stays := g.acc.Value.Version == v.Version
	if g.acc.Learn(number, v) {
		r.aged(g, stays, age)
		g.learned = true
		r.put(g)
	}
	if g.told.Less(v.Version) {
		g.told = v.Version
		r.order(InForce{v})
	}
}

// whole says whether a disk has all that is known here to be chosen.
func (r *Replica) whole(p *peer) bool {
	for name, g := range r.regs {
		if name != epochName && p.has[name].Less(g.safe) {
			return false
		}
	}
	return true
}

// handOver gives the others what they lack, before this process ends, and says what still needs its disk: what is not
// with all voters to whom a line stands, and with as many of the others as keep it safe.
func (r *Replica) handOver(again bool) (missing []string) {
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		g := r.regs[name]
		if name == epochName || g.acc.Accepted == (BallotNumber{}) {
			continue
		}
		if !g.chosen() {
			missing = append(missing, name)
			continue // it is finished as always
		}
		have := map[string]bool{}
		for _, to := range r.lines() {
			p := r.peers[to]
			told := p.hasAt >= r.leaveAt && p.hasAt != never
			if have[p.disk] = told && !p.has[name].Less(g.safe); have[p.disk] || !r.epoch.IsVoter(p.disk) {
				continue
			}
			if missing = append(missing, name+" at "+to); again && told {
				r.send(to, r.copied(g))
			}
		}
		for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
			n, others := 0, 0
			for _, v := range set {
				if v.StoreID != r.disk {
					others++
					if have[v.StoreID] {
						n++
					}
				}
			}
			if n < min(max(r.o.Faults+1, len(set)/2+1), others) {
				missing = append(missing, name)
			}
		}
	}
	return missing
}

const handAgain = 300 * time.Millisecond
