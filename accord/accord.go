// Package accord settles the registers that hold the operator's word: what version each has, whose disks have it, and
// from when it may be acknowledged. It does no I/O: Step takes what happened and returns what is to be done.
//
// Each register is a max register: the value of the greatest stamp holds (Attiya, Bar-Noy and Dolev 1995; a read that
// finds a higher value writes it back before it answers). A value is safe once it is on Write of the founders' disks;
// a read asks Read of them, so that it meets every safe value. A disk that may have forgotten holds what it is given
// but answers no reads until it has read from Read others itself. There is no log and no leader.
package accord

import (
	"maps"
	"slices"
	"time"

	"elmfold/parley"
)

const (
	diskWithin  = 150 * time.Millisecond // a disk that is slower takes no part in a write that began here
	diskAgain   = time.Second            // until one that failed is tried again
	finishAfter = 200 * time.Millisecond // what is held and not known to be safe is written on by whoever holds it
	sweepEvery  = 3 * time.Second        // stamps are compared with the others'
	askAgain    = 300 * time.Millisecond // of those that have not answered
	sameFor     = 5000                   // ms for which an order counts as the same: after that a half-done one may lie between
	// WriteWithin is how long a write may take. One that has not become safe by then may still hold, or not; its
	// caller is told that nothing is known.
	WriteWithin = 3 * time.Second
)

// Stamp and Register are as they are spoken of.
type (
	Stamp    = parley.Stamp
	Register = parley.Register
)

// Event is one of the structs below.
type Event any

// Write asks that a register be written. Done tells of it.
type Write struct {
	Token uint64
	Register
}

// Amend asks that a register be given a value, whatever stamp that takes: it is read first. At is the time of day in
// milliseconds, a hint that keeps a write that was left half done from winning over one that came seconds later
// (hybrid logical clocks, Kulkarni and others 2014); the stamp is above all that were read in any case.
type Amend struct {
	Token uint64
	Name  string
	Value []byte
	At    uint64
	Tie   uint64 // tells writers apart
	// Next makes the value of the newest one there is, in place of Value; again says that the order is that one's
	// over again, which is then only made safe.
	Next func(newest Register) (value []byte, again bool)
}

// Read asks for the newest value of a register that is safe. Done tells it.
type Read struct {
	Token uint64
	Name  string
}

// Persisted says that the disk has a register, or that it failed.
type Persisted struct {
	Name  string
	Stamp Stamp
	Err   error
}

// Up says that the line to a founder or another controller stands; Down that it broke.
type (
	Up   struct{ Who string }
	Down struct{ Who string }
)

// Heard is what another controller said.
type Heard struct {
	Who     string
	Message *parley.Message
}

// Found says who the founders are, as this disk has it safe.
type Found struct{ Founders []string }

// Order is one of the structs below.
type Order any

// Persist asks for a register to be put on the disk.
type Persist struct{ Register }

// Send is for another controller.
type Send struct {
	To      string
	Message *parley.Message
}

// InForce tells a value that has become safe. It is told once a stamp, in rising order for each register.
type InForce struct{ Register }

// Done ends a Write, an Amend or a Read. Register is what holds.
type Done struct {
	Token uint64
	OK    bool
	Register
}

// Complete says that this disk, which had forgotten, has read enough and may vote again.
type Complete struct{}

type held struct {
	Register           // on this disk
	next     *Register // on its way to the disk
	own      bool      // ... as a write that began here, and when
	nextAt   time.Duration
	putAt    time.Duration // the last try at a disk that failed
	disk     Stamp         // what the disk has: it may lag behind Register, and only this is told as held
	has      map[string]bool
	safe     bool // Register is
	told     Stamp
	triedAt  time.Duration
}

type asking struct {
	kind     Event // Write, Amend or Read
	token    uint64
	name     string
	stamp    Stamp // that must be safe; zero until it is known
	value    []byte
	answered map[string]Stamp // by founder: what it holds
	began    time.Duration
	askedAt  time.Duration
	round    uint64 // of its first Ask
}

// Replica is one controller's part.
type Replica struct {
	me       string
	faults   int
	founders []string
	votes    bool // the disk never forgot
	up       map[string]bool
	regs     map[string]*held
	asks     []*asking
	answered map[string]bool // by founder: while this disk has forgotten, who told all of it
	heardOf  map[string]bool // ... who told what it has, though it may have forgotten itself
	sweptAt  time.Duration
	askedAt  time.Duration
	round    uint64
	now      time.Duration
	orders   []Order
}

// New makes a Replica of what its disk holds. Votes: the disk is known never to have forgotten anything.
func New(me string, faults int, votes bool, disk []Register) *Replica {
	r := &Replica{me: me, faults: faults, votes: votes, up: map[string]bool{}, regs: map[string]*held{},
		answered: map[string]bool{}, heardOf: map[string]bool{}, sweptAt: -time.Hour, askedAt: -time.Hour}
	for _, reg := range disk {
		r.regs[reg.Name] = &held{Register: reg, disk: reg.Stamp, has: map[string]bool{me: true}}
	}
	return r
}

// Quorums are the number of founders' disks that make a value safe, and the number that a read asks. 0, 0 while the
// founders are not known. With fewer founders than faults need, the write takes all that there are.
func (r *Replica) Quorums() (write, read int) {
	n := len(r.founders)
	if n == 0 {
		return 0, 0
	}
	write = min(max(r.faults+1, n/2+1), n)
	return write, n - write + 1
}

// Votes says whether this disk answers reads.
func (r *Replica) Votes() bool { return r.votes }

// Founders are their names; nil while they are not known.
func (r *Replica) Founders() []string { return r.founders }

// Newest is what this disk has of a register, and whether that is known to be safe.
func (r *Replica) Newest(name string) (Register, bool) {
	if h := r.regs[name]; h != nil {
		return h.Register, h.safe
	}
	return Register{Name: name}, false
}

// Names are the registers that this disk has.
func (r *Replica) Names() []string { return slices.Sorted(maps.Keys(r.regs)) }

// Step takes what happened up to now, a steady time.
func (r *Replica) Step(now time.Duration, events ...Event) []Order {
	r.now, r.orders = now, nil
	for _, e := range events {
		r.hear(e)
	}
	r.tend()
	return r.orders
}

func (r *Replica) order(o Order) { r.orders = append(r.orders, o) }

func (r *Replica) send(to string, m *parley.Message) {
	if to != r.me && r.up[to] {
		r.order(Send{To: to, Message: m})
	}
}

func (r *Replica) toFounders(m *parley.Message) {
	for _, f := range r.founders {
		r.send(f, m)
	}
}

func (r *Replica) isFounder(who string) bool { return slices.Contains(r.founders, who) }

func (r *Replica) reg(name string) *held {
	h := r.regs[name]
	if h == nil {
		h = &held{Register: Register{Name: name}, has: map[string]bool{}}
		r.regs[name] = h
	}
	return h
}

func (r *Replica) hear(e Event) {
	switch e := e.(type) {
	case Found:
		if r.founders == nil {
			r.founders = e.Founders
			for _, h := range r.regs {
				r.count(h)
			}
		}
	case Up:
		r.up[e.Who] = true
		r.send(e.Who, &parley.Message{Held: r.stamps(), All: r.votes && r.founders != nil})
	case Down:
		delete(r.up, e.Who)
		for _, h := range r.regs { // it may come back without what it said it had
			delete(h.has, e.Who)
		}
	case Write:
		r.asks = append(r.asks, &asking{kind: e, token: e.Token, name: e.Name, stamp: e.Stamp, began: r.now})
		r.take(e.Register, true)
		if h := r.regs[e.Name]; h.next == nil && !h.Stamp.Less(e.Stamp) {
			r.offer(h) // a value that is there already and perhaps not safe yet is written on first
		}
	case Amend:
		r.asks = append(r.asks, &asking{kind: e, token: e.Token, name: e.Name, value: e.Value, answered: map[string]Stamp{},
			began: r.now, askedAt: -time.Hour})
	case Read:
		r.asks = append(r.asks, &asking{kind: e, token: e.Token, name: e.Name, answered: map[string]Stamp{}, began: r.now,
			askedAt: -time.Hour})
	case Persisted:
		r.persisted(e)
	case Heard:
		r.heard(e.Who, e.Message)
	}
}

// take lets a register be put on the disk if it is newer than what is there or on its way.
func (r *Replica) take(reg Register, own bool) {
	h := r.reg(reg.Name)
	if !h.Stamp.Less(reg.Stamp) || h.next != nil && !h.next.Stamp.Less(reg.Stamp) {
		return
	}
	h.next, h.own, h.nextAt = &reg, own, r.now
	r.order(Persist{reg})
}

func (r *Replica) persisted(e Persisted) {
	h := r.reg(e.Name)
	if e.Err == nil && h.disk.Less(e.Stamp) {
		h.disk = e.Stamp
	}
	switch {
	case h.next != nil && h.next.Stamp == e.Stamp && (e.Err == nil || h.own):
		r.hold(h, e.Err == nil)
	case h.next != nil && h.next.Stamp == e.Stamp:
		h.next = nil // this disk takes no part in that write; others may
	case e.Err == nil && h.Stamp == e.Stamp && !h.has[r.me]: // it took longer, or was tried again
		h.has[r.me] = true
		r.toFounders(&parley.Message{Held: r.some(h)})
		r.count(h)
	}
}

// hold makes the value that was on its way the one that is held, here in memory and, if disk says so, on the disk. The
// founders are offered it either way: a full or hanging disk takes no part in a write, and need not hinder one.
func (r *Replica) hold(h *held, disk bool) {
	h.Register, h.next, h.safe, h.triedAt, h.putAt = *h.next, nil, false, r.now, r.now
	if h.has = map[string]bool{}; disk {
		h.has[r.me] = true
	}
	r.offer(h)
	r.count(h)
}

// offer gives a value to all founders that are not known to have it.
func (r *Replica) offer(h *held) {
	h.triedAt = r.now
	for _, f := range r.founders {
		if !h.has[f] {
			r.send(f, &parley.Message{Offers: []Register{h.Register}, Held: r.some(h)})
		}
	}
}

// some is what this disk has of a register.
func (r *Replica) some(h *held) map[string]Stamp {
	if h.disk == (Stamp{}) {
		return nil
	}
	return map[string]Stamp{h.Name: h.disk}
}

// count says from when a value is safe.
func (r *Replica) count(h *held) {
	write, _ := r.Quorums()
	n := 0
	for _, f := range r.founders {
		if h.has[f] {
			n++
		}
	}
	if write > 0 && n >= write && !h.safe && h.Stamp != (Stamp{}) {
		r.force(h)
		for _, to := range slices.Sorted(maps.Keys(r.up)) {
			r.send(to, &parley.Message{Safe: map[string]Stamp{h.Name: h.Stamp}})
		}
	}
}

func (r *Replica) force(h *held) {
	h.safe = true
	if h.told.Less(h.Stamp) {
		h.told = h.Stamp
		r.order(InForce{h.Register})
	}
}

func (r *Replica) stamps() map[string]Stamp {
	all := map[string]Stamp{}
	for name, h := range r.regs {
		if h.disk != (Stamp{}) {
			all[name] = h.disk
		}
	}
	return all
}

func (r *Replica) heard(who string, m *parley.Message) {
	for _, reg := range m.Offers {
		h := r.reg(reg.Name)
		r.take(reg, false)
		// It is on this disk already, or something newer is. A disk that lags says nothing: an older stamp would
		// only bring the same offer again.
		if h.next == nil && !h.disk.Less(reg.Stamp) {
			r.send(who, &parley.Message{Held: r.some(h)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Held)) {
		r.compare(who, name, m.Held[name], m.Safe[name] == m.Held[name] && len(m.Safe) > 0)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Safe)) {
		if h := r.reg(name); h.Stamp == m.Safe[name] && !h.safe {
			r.force(h)
		} else if h.Stamp.Less(m.Safe[name]) && h.next == nil {
			r.send(who, &parley.Message{Want: []string{name}})
		}
	}
	for _, name := range m.Want {
		if h := r.regs[name]; h != nil && h.Stamp != (Stamp{}) {
			r.send(who, &parley.Message{Offers: []Register{h.Register}, Held: r.some(h)})
		}
	}
	if m.Ask {
		r.send(who, &parley.Message{Held: r.stamps(), All: r.votes && r.founders != nil, Round: m.Round})
	}
	if m.All && r.isFounder(who) {
		for _, a := range r.asks {
			if a.answered != nil && a.round > 0 && m.Round >= a.round {
				a.answered[who] = m.Held[a.name]
			}
		}
		r.answered[who] = r.answered[who] || r.holds(m.Held) // else it is asked again when that has come
	}
	if m.Round > 0 && !m.Ask && r.isFounder(who) {
		r.heardOf[who] = r.holds(m.Held)
	}
}

// holds says whether this disk has all that, or newer.
func (r *Replica) holds(all map[string]Stamp) bool {
	for name, s := range all {
		if r.reg(name).Stamp.Less(s) {
			return false
		}
	}
	return true
}

// compare takes a stamp that another one's disk has: it counts towards ours, is asked for, or ours is offered.
func (r *Replica) compare(who, name string, theirs Stamp, _ bool) {
	h := r.reg(name)
	switch {
	case h.Stamp == theirs:
		h.has[who] = true
		r.count(h)
	case theirs.Less(h.Stamp):
		if delete(h.has, who); r.isFounder(who) {
			r.send(who, &parley.Message{Offers: []Register{h.Register}, Held: r.some(h)})
		}
	case h.next == nil || h.next.Stamp.Less(theirs):
		// Its disk has a newer one, and so it holds all that an older write of ours could want of it.
		h.has[who] = true
		r.count(h)
		r.send(who, &parley.Message{Want: []string{name}})
	}
}

// tend does what time asks for.
func (r *Replica) tend() {
	write, read := r.Quorums()
	if !r.votes && write > 0 && r.now >= r.askedAt+askAgain {
		n, all := 0, true
		for _, f := range r.founders {
			if r.answered[f] && f != r.me {
				n++
			}
			all = all && (f == r.me || r.heardOf[f])
		}
		// Where more disks forgot than are to be borne, what is left of all of them is the best there is.
		if others := min(max(len(r.founders)-r.faults, read), len(r.founders)-1); (n >= others || all) && !r.pending() {
			r.votes = true
			r.order(Complete{})
		} else {
			r.askedAt = r.now
			r.round++
			r.toFounders(&parley.Message{Ask: true, Round: r.round})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		h := r.regs[name]
		if h.next != nil && h.own && r.now >= h.nextAt+diskWithin {
			r.hold(h, false)
		}
		if h.Stamp != (Stamp{}) && !h.has[r.me] && h.next == nil && r.now >= h.putAt+diskAgain {
			h.putAt = r.now
			r.order(Persist{h.Register})
		}
		if !h.safe && h.Stamp != (Stamp{}) && r.now >= h.triedAt+finishAfter {
			r.offer(h) // the one that began the write may be gone
			r.count(h)
		}
	}
	if write > 0 && r.now >= r.sweptAt+sweepEvery {
		r.sweptAt = r.now
		for _, to := range slices.Sorted(maps.Keys(r.up)) { // not founders alone: others may have missed something too
			r.send(to, &parley.Message{Held: r.stamps()})
		}
	}
	r.asks = slices.DeleteFunc(r.asks, func(a *asking) bool { return r.settle(a, read) })
}

func (r *Replica) pending() bool {
	for _, h := range r.regs {
		if h.next != nil {
			return true
		}
	}
	return false
}

// settle moves a question on; it says whether that is answered.
func (r *Replica) settle(a *asking, read int) bool {
	h := r.reg(a.name)
	if r.now >= a.began+WriteWithin {
		r.order(Done{Token: a.token, Register: h.Register})
		return true
	}
	if _, isWrite := a.kind.(Write); !isWrite && a.stamp == (Stamp{}) {
		if r.votes && r.isFounder(r.me) {
			a.answered[r.me] = h.Stamp
		}
		if read == 0 || len(a.answered) < read {
			if r.now >= a.askedAt+askAgain {
				a.askedAt = r.now
				if r.round++; a.round == 0 {
					a.round = r.round
				}
				r.toFounders(&parley.Message{Ask: true, Round: r.round})
			}
			return false
		}
		newest := h.Stamp
		if _, amends := a.kind.(Amend); amends && h.next != nil {
			newest = h.next.Stamp // on its way to this disk; the new one goes above it
		}
		for _, s := range a.answered {
			if newest.Less(s) {
				newest = s
			}
		}
		switch e := a.kind.(type) {
		case Read:
			if newest == (Stamp{}) {
				r.order(Done{Token: a.token, OK: true, Register: Register{Name: a.name}})
				return true
			}
			a.stamp = newest // asked for when its stamp was heard
		case Amend:
			latest := h.Register
			if h.next != nil {
				latest = *h.next
			}
			if latest.Stamp.Less(newest) && e.Next != nil {
				return false // it was asked for when its stamp was heard
			}
			value, again := e.Value, newest == h.Stamp && newest.Hi+sameFor > e.At && slices.Equal(h.Value, e.Value)
			if e.Next != nil {
				value, again = e.Next(latest)
			}
			if again && newest == h.Stamp {
				a.stamp = newest // the same word again: it is only made safe
				break
			}
			a.stamp = Stamp{Hi: max(newest.Hi+1, e.At), Lo: e.Tie}
			r.take(Register{Name: a.name, Stamp: a.stamp, Value: value}, true)
		}
	}
	if h.safe && !h.Stamp.Less(a.stamp) {
		r.order(Done{Token: a.token, OK: true, Register: h.Register})
		return true
	}
	return false
}
