package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
)

func (s *Steward) send(to string, m Message) {
	if s.up[to] {
		s.order(Send{to, m})
	}
}

// spread gives a message to all founders; the one to itself goes the same way.
func (s *Steward) spread(m Message) {
	for _, f := range s.founders {
		if f != s.me {
			s.send(f, m)
		}
	}
	if slices.Contains(s.founders, s.me) {
		s.heard(s.me, m)
	}
}

// answer goes out at once; to itself it is heard.
func (s *Steward) answer(to string, m Message) {
	if to == s.me {
		s.heard(to, m)
		return
	}
	s.send(to, m)
}

func (s *Steward) persist(c *change) uint64 {
	s.seq++
	s.order(Persist{s.seq, c.Vote})
	return s.seq
}

func (s *Steward) persisted(e Persisted) {
	var ready []waiting
	s.waits = slices.DeleteFunc(s.waits, func(w waiting) bool {
		if w.seq == e.Seq && e.Err == nil {
			ready = append(ready, w)
		}
		return w.seq == e.Seq // a disk that failed says nothing; whoever asked comes again
	})
	if e.Seq == s.dropsAt && e.Err == nil {
		s.drop()
	}
	for _, w := range ready {
		s.answer(w.to, w.m)
	}
}

// sweep lets go of the versions under the taken one. Their records stay until that one's is on the disk: a disk
// without either would vote anew on what it has voted on.
func (s *Steward) sweep() {
	for _, version := range slices.Sorted(maps.Keys(s.changes)) {
		if version < s.taken.Version {
			delete(s.changes, version)
			s.drops = append(s.drops, version)
		}
	}
}

func (s *Steward) drop() {
	for _, version := range s.drops {
		s.order(Drop{version})
	}
	s.drops = nil
}

func (s *Steward) heard(who string, m Message) {
	if m.Version < s.taken.Version { // closed for good: a higher one is taken
		if m.Kind == Ask || m.Kind == Offer {
			s.answer(who, Message{Kind: Decided, Version: s.taken.Version, Value: Decision{Taken: true, Digest: s.taken.Digest}})
		}
		return
	}
	c := s.change(m.Version)
	c.maxRound = max(c.maxRound, m.Ballot.Round)
	switch m.Kind {
	case Ask, Offer:
		s.vote(who, c, m)
	case Promise:
		if c.prop.OnPromise(who, m.Ballot, m.Accepted, m.Value) {
			s.promised(c)
		}
	case Agreed:
		if _, agree := s.Quorums(); c.prop.OnAccepted(who, m.Ballot) && len(c.prop.Responses) >= agree {
			s.end(c, c.prop.Value)
		}
	case Higher:
		if c.prop.Phase != paxos.Idle && c.prop.Ballot.Less(m.Ballot) {
			c.prop.Stop() // the next one waits: two that overtake each other at once would do so for ever
		}
	case Decided:
		s.end(c, m.Value)
	}
}

// vote is the acceptor's part: what it answers is on its disk before.
func (s *Steward) vote(who string, c *change, m Message) {
	switch {
	case c.Known:
		s.answer(who, Message{Kind: Decided, Version: c.Version, Value: c.Value})
		return
	case !s.votes || c.Version <= s.closed || !slices.Contains(s.founders, s.me):
		return // it may have forgotten what it promised
	}
	answer := Message{Version: c.Version, Ballot: m.Ballot}
	switch {
	case m.Kind == Ask && c.Prepare(m.Ballot):
		answer.Kind, answer.Accepted, answer.Value = Promise, c.Accepted, c.Value
	case m.Kind == Offer && c.Accept(m.Ballot, m.Value):
		if answer.Kind = Agreed; c.lookAt == neverYet {
			c.lookAt = s.now + 2*againAfter // if whoever offered it is gone
		}
	default:
		answer.Kind, answer.Ballot = Higher, c.Promised
		s.answer(who, answer)
		return
	}
	s.waits = append(s.waits, waiting{s.persist(c), who, answer})
}

// ballot begins one, where there is something to be decided or to be found out.
func (s *Steward) ballot(c *change) {
	if c.Known || c.Version <= s.taken.Version || s.now < c.againAt {
		return
	}
	if look := c.lookAt != neverYet && s.now >= c.lookAt; !look {
		if s.wish(c).none() {
			c.wishAt = neverYet
			return
		}
		// All of them see the last confirmation at about the same time. One is enough, the others are for its death.
		if c.wishAt == neverYet {
			c.wishAt = s.now
		}
		if s.now < c.wishAt+time.Duration(s.turn(c.Version))*firstGap {
			return
		}
	}
	if ask, _ := s.Quorums(); s.reach() < ask {
		return // nothing would come of it but rounds
	}
	c.maxRound++
	c.prop.Begin(BallotNumber{Round: c.maxRound, Incarnation: s.life})
	c.againAt = s.now + againAfter + time.Duration(rank(c.maxRound, s.me)%uint64(againAfter))
	s.spread(Message{Kind: Ask, Version: c.Version, Ballot: c.prop.Ballot})
}

// turn is the number of founders with a line that come before this controller.
func (s *Steward) turn(version uint64) (n int) {
	for _, f := range s.founders {
		if s.up[f] && f != s.me && (rank(version, f) < rank(version, s.me) || !slices.Contains(s.founders, s.me)) {
			n++
		}
	}
	return n
}

// reach is the number of founders with a line, itself among them.
func (s *Steward) reach() (n int) {
	for _, f := range s.founders {
		if f == s.me || s.up[f] {
			n++
		}
	}
	return n
}

// promised goes on with what the greatest ballot accepted; its own judgement counts only where there is none.
func (s *Steward) promised(c *change) {
	if ask, _ := s.Quorums(); len(c.prop.Responses) < ask {
		return
	}
	value := c.prop.Value
	if c.prop.HighestAccepted == (BallotNumber{}) {
		if value = s.wish(c); value.none() {
			c.prop.Stop()
			c.lookAt = neverYet
			return
		}
	}
	c.prop.StartAccept(value)
	s.spread(Message{Kind: Offer, Version: c.Version, Ballot: c.prop.Ballot, Value: value})
}

// end takes the decision, once.
func (s *Steward) end(c *change, d Decision) {
	if c.Known {
		return
	}
	c.prop.Stop()
	c.Known, c.Value, c.lookAt = true, d, neverYet
	seq := s.persist(c) // nobody waits for it: the ballots' records are enough to find it again
	s.order(End{c.Version, d})
	for _, to := range slices.Sorted(maps.Keys(s.up)) {
		s.send(to, Message{Kind: Decided, Version: c.Version, Value: d})
	}
	if !d.Taken {
		s.tell("", Forget, Target{Version: c.Version})
		return
	}
	if s.taken.Version < c.Version {
		s.taken, s.closed = Target{c.Version, d.Digest}, max(s.closed, c.Version)
		s.dropsAt = seq
		s.sweep()
		s.tell("", Take, s.taken)
	}
}
