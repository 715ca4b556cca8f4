package stage

import (
	"maps"
	"slices"
	"time"
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
	c.maxRound = max(c.maxRound, m.Ballot.Hi)
	switch m.Kind {
	case Ask, Offer:
		s.vote(who, c, m)
	case Promise:
		if c.phase != Ask || m.Ballot != c.ballot || slices.Contains(c.from, who) {
			return
		}
		if c.from = append(c.from, who); c.best.Less(m.Accepted) {
			c.best, c.value = m.Accepted, m.Value
		}
		s.promised(c)
	case Agreed:
		if c.phase != Offer || m.Ballot != c.ballot || slices.Contains(c.from, who) {
			return
		}
		c.from = append(c.from, who)
		if _, agree := s.Quorums(); len(c.from) >= agree {
			s.end(c, c.value)
		}
	case Higher:
		if m.Version == c.Version && c.phase != 0 && c.ballot.Less(m.Ballot) {
			c.phase = 0 // the next one waits: two that overtake each other at once would do so for ever
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
	case m.Ballot.Less(c.Promised):
		s.answer(who, Message{Kind: Higher, Version: c.Version, Ballot: c.Promised})
		return
	}
	c.Promised = m.Ballot
	answer := Message{Kind: Promise, Version: c.Version, Ballot: m.Ballot, Accepted: c.Accepted, Value: c.Value}
	if m.Kind == Offer {
		c.Accepted, c.Value = m.Ballot, m.Value
		answer = Message{Kind: Agreed, Version: c.Version, Ballot: m.Ballot}
		if c.lookAt == neverYet {
			c.lookAt = s.now + 2*againAfter // if whoever offered it is gone
		}
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
	c.ballot, c.phase, c.from, c.best, c.value = Stamp{Hi: c.maxRound, Lo: s.life}, Ask, nil, Stamp{}, Decision{}
	c.againAt = s.now + againAfter + time.Duration(rank(c.maxRound, s.me)%uint64(againAfter))
	s.spread(Message{Kind: Ask, Version: c.Version, Ballot: c.ballot})
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
	if ask, _ := s.Quorums(); len(c.from) < ask {
		return
	}
	if c.best == (Stamp{}) {
		if c.value = s.wish(c); c.value.none() {
			c.phase, c.lookAt = 0, neverYet
			return
		}
	}
	c.phase, c.from = Offer, nil
	s.spread(Message{Kind: Offer, Version: c.Version, Ballot: c.ballot, Value: c.value})
}

// end takes the decision, once.
func (s *Steward) end(c *change, d Decision) {
	if c.Known {
		return
	}
	c.Known, c.Value, c.phase, c.lookAt = true, d, 0, neverYet
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
