package consensus

import (
	"elmfold/internal/gateway/rpc"
)

// onPaxos handles a Paxos message of a peer, in this epoch.
func (r *Replica) onPaxos(p *peer, m *rpc.PaxosMessage) {
	g := r.registerFor(m.Register)
	g.round = max(g.round, roundOf(m.Ballot))
	switch m.Kind {
	case rpc.Prepare, rpc.Accept:
		r.answerAsAcceptor(p.Name, g, m)
	case rpc.Promise:
		if r.countsVotesOf(p) {
			r.onPromise(g, p.storeID, m)
		}
	case rpc.Accepted:
		if p.accepted[g.name].Less(m.Ballot) && g.name != epochRegister {
			p.accepted[g.name] = m.Ballot
		}
		if r.countsVotesOf(p) {
			r.onAccepted(g, p.storeID, m)
		}
	case rpc.Preempted:
		r.onPreempted(g, m.Ballot)
	}
}

// answerAsAcceptor handles a request to this disk. A promise or a vote is sent once it is on the disk.
func (r *Replica) answerAsAcceptor(to string, g *register, m *rpc.PaxosMessage) {
	if !r.mayVote(m.Register) {
		return
	}
	if r.storedEpoch < r.epoch.Number {
		// A vote of this epoch must not lie on the disk beside the epoch before.
		if len(r.deferred) < maxDeferredRequests {
			r.deferred = append(r.deferred, deferredRequest{to, r.epoch.Number, *m})
		}
		return
	}
	answer := r.vote(g, m)
	if answer.Kind == rpc.Preempted {
		r.sendAnswer(to, answer)
		return
	}
	r.noteOpenBallot(g, to, m.Ballot)
	g.answers = append(g.answers, pendingAnswer{to, answer})
	r.write(g)
}

// mayVote reports whether this disk answers requests about a register. A disk that may have forgotten something
// must not vote, and before the first epoch only that epoch is decided.
func (r *Replica) mayVote(registerName string) bool {
	if !r.identified {
		return false
	}
	if r.epoch.Number == 0 {
		return registerName == epochRegister
	}
	return r.epoch.IsVoter(r.storeID)
}

// vote applies a request to the acceptor and returns its answer.
func (r *Replica) vote(g *register, m *rpc.PaxosMessage) rpc.PaxosMessage {
	if m.Kind == rpc.Prepare {
		if !g.acceptor.Prepare(m.Ballot) {
			return preemptedBy(g)
		}
		answer := rpc.PaxosMessage{
			Kind:           rpc.Promise,
			Register:       g.name,
			Ballot:         m.Ballot,
			AcceptedBallot: g.acceptor.Accepted,
			ValueAge:       r.reportedAge(g),
		}
		if g.hasAccepted() {
			value := g.acceptor.Value
			answer.Value = &value
		}
		return answer
	}
	previous := g.acceptor.Accepted
	same := m.Value.Version == g.acceptor.Value.Version
	if !g.acceptor.Accept(m.Ballot, *m.Value) {
		return preemptedBy(g)
	}
	r.noteAge(g, same, m.ValueAge)
	if previous != g.acceptor.Accepted {
		g.unconfirmedAt = r.now
	}
	return rpc.PaxosMessage{Kind: rpc.Accepted, Register: g.name, Ballot: m.Ballot}
}

func preemptedBy(g *register) rpc.PaxosMessage {
	return rpc.PaxosMessage{Kind: rpc.Preempted, Register: g.name, Ballot: g.acceptor.Promised}
}

func (r *Replica) sendAnswer(to string, m rpc.PaxosMessage) {
	if to != r.options.Self.Name {
		r.sendPaxos(to, m)
		return
	}
	g := r.registerFor(m.Register)
	switch m.Kind {
	case rpc.Promise:
		r.onPromise(g, r.storeID, &m)
	case rpc.Accepted:
		r.onAccepted(g, r.storeID, &m)
	case rpc.Preempted:
		g.round = max(g.round, roundOf(m.Ballot))
		r.onPreempted(g, m.Ballot)
	case rpc.Prepare, rpc.Accept: // are no answers
	}
}

func (r *Replica) sendPaxos(to string, m rpc.PaxosMessage) {
	r.send(to, rpc.Consensus{Paxos: []rpc.PaxosMessage{m}})
}

// write puts the acceptor's state on the disk, one write at a time: what changed meanwhile is one more.
func (r *Replica) write(g *register) {
	if r.registers[g.name] != g {
		return // the epoch register of an earlier epoch must not stand on the disk as that of the next one
	}
	if g.writing {
		g.dirty = true
		return
	}
	g.writing, g.dirty = true, false
	r.persist(registerRecordName(g.name), encodeRegister(r.epoch.Number, g.acceptor), pendingWrite{
		register: g.name,
		accepted: g.acceptor.Accepted,
		inEpoch:  r.epoch.Number,
		answers:  g.answers,
	})
	g.answers = nil
}

func (r *Replica) onRegisterWritten(w pendingWrite, err error) {
	g := r.registers[w.register]
	isOutdated := w.register == epochRegister && w.inEpoch != r.epoch.Number
	if g == nil || !g.writing || isOutdated {
		return
	}
	g.writing = false
	if err != nil {
		g.writeFailedAt = max(r.now, 1) // nothing is answered; whoever asked asks again
	} else {
		r.onRegisterStored(g, w)
	}
	if g.dirty {
		r.write(g)
	}
}

func (r *Replica) onRegisterStored(g *register, w pendingWrite) {
	g.writeFailedAt = 0
	if g.storedBallot.Less(w.accepted) {
		g.storedBallot = w.accepted
		r.onStored(g)
	}
	// A vote must not count while the disk lacks the epoch in which it was given.
	if w.inEpoch != r.epoch.Number || r.storedEpoch != w.inEpoch {
		return
	}
	for _, a := range w.answers {
		r.sendAnswer(a.to, a.answer)
	}
}
