// Package rollout settles changes in stages: who prepares a version, whether enough have confirmed it, and the one
// decision, taken or halted, that the founders' disks agree on. It does no I/O and reads no clock: Step takes what
// happened and returns what is to be done. Rules and states: docs/notes/stages.md.
//
// The decision is single-decree Paxos for each version (package ballot). A plain register can't decide: of two that
// write different ends both may be told before one of them is overwritten.
package rollout

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/paxos"
)

const (
	againAfter = 300 * time.Millisecond // a ballot without an end gives way to the next, up to twice that by lot
	firstGap   = 100 * time.Millisecond // between the first ballots of controllers, in the order of their rank
	neverYet   = time.Duration(-1)
)

// BallotNumber of a ballot: its round, then the life of the controller that holds it.
type BallotNumber = paxos.BallotNumber

// Target is a version with the digest of its body.
type Target struct{ Version, Digest uint64 }

// Reason of a halt.
type Reason uint8

// Reasons.
const (
	NoReason  Reason = iota
	TooFew           // confirmed it in the stage's time
	Ill              // those that prepared it fail more, or answer later, than those that did not
	Ended            // lives that were told to prepare it ended
	Refused          // carriers cannot read it
	Overtaken        // a higher version is safe
	Operator         // it was ordered
)

// String is the reason in a word.
func (r Reason) String() string {
	return [...]string{"", "too few confirmed", "ill", "lives ended", "refused", "overtaken", "the operator"}[r]
}

// Decision ends a version. The zero one is none.
type Decision struct {
	Taken  bool
	Digest uint64 // of what is taken
	Reason Reason // of a halt
}

func (d Decision) none() bool { return d == Decision{} }

// Vote is what a disk holds of a version: one record. Known: Value is the end. Shut: this disk forgot, and answers no
// ballot for this version or any below.
type Vote struct {
	Version                  uint64
	paxos.Acceptor[Decision] // Known: its Value is the end
	Known, Shut              bool
}

// Kind of a Message.
type Kind uint8

// Kinds of messages among controllers.
const (
	Ask     Kind = iota + 1 // for the promise to take no ballot below this one
	Promise                 // ... with what was accepted before
	Offer                   // of a value under a ballot that was promised
	Agreed                  // ... it is on the disk
	Higher                  // a higher ballot was promised; Ballot is that one
	Decided                 // the end
)

// Message is what one controller says to another.
type Message struct {
	Kind     Kind
	Version  uint64
	Ballot   BallotNumber
	Accepted BallotNumber
	Value    Decision
}

// Event is one of the structs below.
type Event any

// Safe says that a version's body is safe on the founders' disks; no ballot for it begins before.
type Safe struct{ Target }

// Leased says that a carrier's life (not 0) holds a lease; a life that held it before has ended. Lapsed ends the lease:
// Returned if it was given back in order.
type (
	Leased struct {
		Carrier, Zone string
		Life          uint64
	}
	Lapsed struct {
		Carrier  string
		Returned bool
	}
)

// Reached says that a carrier's line is new here: it is told all that concerns it.
type Reached struct{ Carrier string }

// Confirmed is a carrier's word that it has prepared a version, or that it cannot read it.
type Confirmed struct {
	Carrier string
	Life    uint64
	Target
	Refused bool
}

// Measured is what a carrier met since its last report: requests, those that failed, and the sums of the milliseconds
// that answers took and that the carrier itself added.
type Measured struct {
	Carrier                    string
	Tries, Failed, Took, Added float64
}

// Halt orders a halt.
type Halt struct{ Version uint64 }

// Up says that the line to another controller stands, Down that it broke, Heard what it said.
type (
	Up    struct{ Who string }
	Down  struct{ Who string }
	Heard struct {
		Who string
		Message
	}
)

// Persisted answers a Persist.
type Persisted struct {
	Seq uint64
	Err error
}

// Complete says that this disk, which had forgotten, has read all up to a version; it votes on later ones. Its mark as a
// disk that forgot nothing is to be written after the record that this orders.
type Complete struct{ UpTo uint64 }

// Woke says that this process did not run for a while: what it knows of leases is old.
type Woke struct{}

// Order is one of the structs below.
type Order any

// Persist asks that a record replace the one of its version; those of one version in order. Drop ends a record.
type (
	Persist struct {
		Seq uint64
		Vote
	}
	Drop struct{ Version uint64 }
)

// Send is for another controller.
type Send struct {
	To string
	Message
}

// Word is what a carrier is told of a version.
type Word uint8

// Words.
const (
	Prepare Word = iota + 1 // fetch, check and compile it, and confirm
	Take                    // serve it
	Forget                  // it is halted, or overtaken
)

// Tell is a word for a carrier, or for all with a line (""); it is lost if that is down, and told anew when Reached.
type Tell struct {
	Carrier string
	Word    Word
	Target
}

// End tells a version's end, once.
type End struct {
	Version uint64
	Decision
}

// Step of a Plan: those asked are Carriers of each of Zones zones; 0: all.
type Step struct {
	Carriers, Zones int
	Share           float64       // of those asked in each zone that must confirm; the part is rounded up
	Least           int           // confirmations in all, 1 at least
	Soak            time.Duration // from enough to the next step
	Within          time.Duration // without enough for so long: halt
}

// Plan is the operator's.
type Plan struct {
	Steps    []Step
	Listen   time.Duration // a controller counts nothing before; a lease's length
	Ended    int           // so many ended lives halt; 0: none does
	Refused  int           // so many carriers that cannot read it halt; 0: none does
	Tries    float64       // on both sides, from which on those that prepared it are compared with the others; 0: never
	FailMore float64       // share of failures above that of the others
	SlowMore float64       // milliseconds on average, of answers and of what is added, above that of the others
}

type measure struct{ tries, failed, took, added float64 }

func (m *measure) add(o Measured) {
	m.tries, m.failed, m.took, m.added = m.tries+o.Tries, m.failed+o.Failed, m.took+o.Took, m.added+o.Added
}

type member struct {
	zone string
	life uint64
}

type said struct {
	life    uint64
	digest  uint64
	refused bool
}

type change struct {
	Vote
	digest uint64 // what is staged
	safe   bool
	lookAt time.Duration // the next ballot that only asks what was accepted; neverYet: none

	// Of the stages.
	step     int // len(Plan.Steps): all passed
	since    time.Duration
	enoughAt time.Duration
	asked    map[string]uint64 // life by carrier: told to prepare, or prepared it
	says     map[string]said
	ended    int
	with     measure
	without  measure
	halt     Reason

	prop     paxos.Proposal[Decision] // the ballot that is held here
	againAt  time.Duration
	wishAt   time.Duration // since when it has something to propose
	maxRound uint64
}

type waiting struct { // an answer until the disk has what it says
	seq uint64
	to  string
	m   Message
}

// Steward is one controller's part.
type Steward struct {
	me       string
	life     uint64
	faults   int
	founders []string
	plan     Plan
	votes    bool
	up       map[string]bool
	members  map[string]member
	changes  map[uint64]*change
	taken    Target
	closed   uint64 // answers no ballots up to here
	listen   time.Duration
	seq      uint64
	waits    []waiting
	drops    []uint64 // records that the one of the taken version replaces, once
	dropsAt  uint64   // ... this is on the disk
	now      time.Duration
	orders   []Order
}

// New makes a Steward of what its disk holds. Life differs from that of every other controller and of its own earlier
// lives. Votes: the disk never forgot.
func New(me string, life uint64, founders []string, faults int, plan Plan, votes bool, disk []Vote) *Steward {
	s := &Steward{me: me, life: life, faults: faults, founders: founders, plan: plan, votes: votes, up: map[string]bool{},
		members: map[string]member{}, changes: map[uint64]*change{}, listen: neverYet}
	for _, v := range disk {
		c := s.change(v.Version)
		c.Vote = v
		if c.maxRound = max(v.Promised.Round, v.Accepted.Round); v.Accepted != (BallotNumber{}) {
			c.lookAt = 0 // whoever held that ballot may be gone
		}
		if v.Shut {
			s.closed = max(s.closed, v.Version)
		}
		if v.Known && v.Value.Taken && v.Version >= s.taken.Version {
			s.taken = Target{v.Version, v.Value.Digest}
		}
	}
	s.closed = max(s.closed, s.taken.Version)
	s.sweep()
	return s
}

// Quorums are the disks that a promise and that an agreement need; as in accord, they meet.
func (s *Steward) Quorums() (ask, agree int) {
	n := len(s.founders)
	agree = min(max(s.faults+1, n/2+1), n)
	return n - agree + 1, agree
}

// Taken is the greatest version that is known to be taken.
func (s *Steward) Taken() Target { return s.taken }

func (s *Steward) change(version uint64) *change {
	c := s.changes[version]
	if c == nil {
		c = &change{Vote: Vote{Version: version}, lookAt: neverYet, enoughAt: neverYet, wishAt: neverYet,
			asked: map[string]uint64{}, says: map[string]said{}}
		s.changes[version] = c
	}
	return c
}

// Step takes what happened up to now, a steady time.
func (s *Steward) Step(now time.Duration, events ...Event) []Order {
	if s.now, s.orders = now, nil; s.listen == neverYet {
		s.listen = now + s.plan.Listen
	}
	if s.seq == 0 {
		s.drop() // what an earlier life had not come to
	}
	for _, e := range events {
		s.hear(e)
	}
	for _, version := range slices.Sorted(maps.Keys(s.changes)) {
		if c := s.changes[version]; c != nil {
			s.judge(c)
			s.ballot(c)
		}
	}
	return s.orders
}

func (s *Steward) order(o Order) { s.orders = append(s.orders, o) }

func (s *Steward) tell(carrier string, w Word, t Target) { s.order(Tell{carrier, w, t}) }

func (s *Steward) hear(e Event) {
	switch e := e.(type) {
	case Safe:
		s.safe(e.Target)
	case Leased:
		if m, held := s.members[e.Carrier]; held && m.life != e.Life {
			s.lapse(e.Carrier, false)
		}
		s.members[e.Carrier] = member{e.Zone, e.Life}
	case Lapsed:
		s.lapse(e.Carrier, e.Returned)
	case Reached:
		s.reached(e.Carrier)
	case Confirmed:
		s.confirmed(e)
	case Measured:
		for _, c := range s.changes {
			if said, has := c.says[e.Carrier]; has && !said.refused {
				c.with.add(e)
			} else {
				c.without.add(e)
			}
		}
	case Halt:
		if c := s.changes[e.Version]; c != nil && c.halt == NoReason {
			c.halt = Operator
		}
	case Up:
		s.up[e.Who] = true
		for _, version := range slices.Sorted(maps.Keys(s.changes)) {
			if c := s.changes[version]; c.Known {
				s.send(e.Who, Message{Kind: Decided, Version: version, Value: c.Value})
			}
		}
	case Down:
		delete(s.up, e.Who)
	case Heard:
		s.heard(e.Who, e.Message)
	case Persisted:
		s.persisted(e)
	case Complete:
		if s.votes = true; e.UpTo > 0 {
			c := s.change(e.UpTo)
			c.Shut, s.closed = true, max(s.closed, e.UpTo)
			s.persist(c)
		}
	case Woke:
		s.listen = s.now + s.plan.Listen
	}
}

func (s *Steward) safe(t Target) {
	if t.Version < s.taken.Version {
		return
	}
	c := s.change(t.Version)
	if c.Known || c.safe && t.Digest <= c.digest {
		return
	}
	// What carriers said of another body under this number counts for nothing.
	if c.safe {
		clear(c.asked)
	}
	c.safe, c.digest, c.step, c.since, c.enoughAt = true, t.Digest, 0, s.now, neverYet
}

// lapse ends a lease: what that life confirmed counts no more.
func (s *Steward) lapse(carrier string, returned bool) {
	m, held := s.members[carrier]
	if !held {
		return
	}
	delete(s.members, carrier)
	for _, c := range s.changes {
		if c.asked[carrier] == m.life {
			delete(c.asked, carrier)
			if !returned && !c.Known {
				c.ended++
			}
		}
		delete(c.says, carrier)
	}
}

func (s *Steward) confirmed(e Confirmed) {
	if m := s.members[e.Carrier]; m.life != e.Life {
		return // another life holds the lease, or none does
	}
	// The one that is asked here may not be what another controller asked for: it is kept, and counts if the digest is
	// the one that is staged.
	if e.Version <= s.taken.Version {
		return
	}
	c := s.change(e.Version)
	c.says[e.Carrier] = said{e.Life, e.Digest, e.Refused}
	c.asked[e.Carrier] = e.Life
}

func (s *Steward) reached(carrier string) {
	if s.taken != (Target{}) {
		s.tell(carrier, Take, s.taken)
	}
	for _, version := range slices.Sorted(maps.Keys(s.changes)) {
		switch c := s.changes[version]; {
		case c.Known && !c.Value.Taken:
			s.tell(carrier, Forget, Target{Version: version})
		case !c.Known && c.safe && version > s.taken.Version && c.asked[carrier] != 0:
			s.tell(carrier, Prepare, Target{version, c.digest})
		}
	}
}
