package consensus

import (
	"elmfold/internal/gateway/rpc"
)

// onPaxos handles a Paxos message that a peer sent in the current epoch.
func (r *Replica) onPaxos(p *peer, m *rpc.PaxosMessage) {
	reg := r.registerFor(m.Register)
	reg.round = max(reg.round, roundOf(m.Ballot))
	switch m.Kind {
	case rpc.Prepare, rpc.Accept:
		r.answerAsAcceptor(p.Name, reg, m)
	case rpc.Promise:
		if r.countsVotesOf(p) {
			r.onPromise(reg, p.storeID, m)
		}
	case rpc.Accepted:
		if p.accepted[reg.name].Less(m.Ballot) && reg.name != epochRegister {
			p.accepted[reg.name] = m.Ballot
		}
		if r.countsVotesOf(p) {
			r.onAccepted(reg, p.storeID, m)
		}
	case rpc.Preempted:
		r.onPreempted(reg, m.Ballot)
	}
}

// answerAsAcceptor handles a prepare or accept request to the local acceptor. A promise or vote is sent only once it is
// on disk.
func (r *Replica) answerAsAcceptor(to string, reg *register, m *rpc.PaxosMessage) {
	if !r.mayVote(m.Register) {
		return
	}
	if r.storedEpoch < r.epoch.Number {
		// The disk must not hold a vote of this epoch together with an older epoch.
		if len(r.deferred) < maxDeferredRequests {
			r.deferred = append(r.deferred, deferredRequest{to, r.epoch.Number, *m})
		}
		return
	}
	answer := r.vote(reg, m)
	if answer.Kind == rpc.Preempted {
		r.sendAnswer(to, answer)
		return
	}
	r.recordOpenBallot(reg, to, m.Ballot)
	reg.answers = append(reg.answers, pendingAnswer{to, answer})
	r.writeRegister(reg)
}

// mayVote reports whether the local acceptor answers requests about a register. A disk without an identity may have
// forgotten votes and must not vote. Before the first epoch, only the epoch register is decided.
func (r *Replica) mayVote(registerName string) bool {
	if !r.identified {
		return false
	}
	if r.epoch.Number == 0 {
		return registerName == epochRegister
	}
	return r.epoch.IsVoter(r.storeID)
}

// vote applies a request to the acceptor and returns the answer.
func (r *Replica) vote(reg *register, m *rpc.PaxosMessage) rpc.PaxosMessage {
	if m.Kind == rpc.Prepare {
		if !reg.acceptor.Prepare(m.Ballot) {
			return preemptedBy(reg)
		}
		answer := rpc.PaxosMessage{
			Kind:           rpc.Promise,
			Register:       reg.name,
			Ballot:         m.Ballot,
			AcceptedBallot: reg.acceptor.Accepted,
			ValueAge:       r.reportedAge(reg),
		}
		if reg.hasAccepted() {
			value := reg.acceptor.Value
			answer.Value = &value
		}
		return answer
	}
	previous := reg.acceptor.Accepted
	sameValue := m.Value.Version == reg.acceptor.Value.Version
	if !reg.acceptor.Accept(m.Ballot, *m.Value) {
		return preemptedBy(reg)
	}
	r.updateAge(reg, sameValue, m.ValueAge)
	if previous != reg.acceptor.Accepted {
		reg.unconfirmedAt = r.now
	}
	return rpc.PaxosMessage{Kind: rpc.Accepted, Register: reg.name, Ballot: m.Ballot}
}

func preemptedBy(reg *register) rpc.PaxosMessage {
	return rpc.PaxosMessage{Kind: rpc.Preempted, Register: reg.name, Ballot: reg.acceptor.Promised}
}

func (r *Replica) sendAnswer(to string, m rpc.PaxosMessage) {
	if to != r.options.Self.Name {
		r.sendPaxos(to, m)
		return
	}
	reg := r.registerFor(m.Register)
	switch m.Kind {
	case rpc.Promise:
		r.onPromise(reg, r.storeID, &m)
	case rpc.Accepted:
		r.onAccepted(reg, r.storeID, &m)
	case rpc.Preempted:
		reg.round = max(reg.round, roundOf(m.Ballot))
		r.onPreempted(reg, m.Ballot)
	case rpc.Prepare, rpc.Accept: // requests, not answers
	}
}

func (r *Replica) sendPaxos(to string, m rpc.PaxosMessage) {
	r.send(to, rpc.Consensus{Paxos: []rpc.PaxosMessage{m}})
}

// writeRegister persists the acceptor's state. A register has at most one write in progress; changes that are made
// meanwhile share the next write.
func (r *Replica) writeRegister(reg *register) {
	if r.registers[reg.name] != reg {
		return // the epoch register of an earlier epoch must not be stored as that of the current epoch
	}
	if reg.writing {
		reg.dirty = true
		return
	}
	reg.writing, reg.dirty = true, false
	r.persist(registerRecordName(reg.name), encodeRegister(r.epoch.Number, reg.acceptor), pendingWrite{
		register: reg.name,
		accepted: reg.acceptor.Accepted,
		inEpoch:  r.epoch.Number,
		answers:  reg.answers,
	})
	reg.answers = nil
}

func (r *Replica) onRegisterWritten(w pendingWrite, err error) {
	reg := r.registers[w.register]
	isOutdated := w.register == epochRegister && w.inEpoch != r.epoch.Number
	if reg == nil || !reg.writing || isOutdated {
		return
	}
	reg.writing = false
	if err != nil {
		reg.writeFailedAt = max(r.now, 1) // no answer is sent; the proposers send their requests again
	} else {
		r.onRegisterStored(reg, w)
	}
	if reg.dirty {
		r.writeRegister(reg)
	}
}

func (r *Replica) onRegisterStored(reg *register, w pendingWrite) {
	reg.writeFailedAt = 0
	if reg.storedBallot.Less(w.accepted) {
		reg.storedBallot = w.accepted
		r.onNewStoredBallot(reg)
	}
	// A vote must not count before its epoch is on disk.
	if w.inEpoch != r.epoch.Number || r.storedEpoch != w.inEpoch {
		return
	}
	for _, a := range w.answers {
		r.sendAnswer(a.to, a.answer)
	}
}
