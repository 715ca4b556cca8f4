package rollout

import (
	"maps"
	"slices"
	"time"
)

const fetchAgain = 400 * time.Millisecond

// State of a version at a carrier.
type State uint8

// States; one only moves on, or is forgotten.
const (
	Proposed State = iota + 1 // asked for
	Fetched                   // being checked and compiled
	Prepared
	Unreadable
)

// Told is a controller's word. Linked says that a line to a controller is new. Got brings a body, Compiled says that
// one has been checked and compiled, or cannot be.
type (
	Told struct {
		Word Word
		Target
	}
	Linked   struct{ Controller string }
	Got      struct{ Target }
	Compiled struct {
		Target
		Err error
	}
)

// Fetch asks for a body, Compile for its check; Confirm is for a controller, or for all ("").
type (
	Fetch   struct{ Target }
	Compile struct{ Target }
	Confirm struct {
		To   string
		Life uint64
		Target
		Refused bool
	}
	// Switch lets requests that begin from now on be served by a version; Discard lets what was prepared go.
	Switch  struct{ Target }
	Discard struct{ Target }
	// Fresh says whether this carrier may call itself ready, as far as its version goes.
	Fresh struct{ OK bool }
)

type own struct {
	digest  uint64
	state   State
	askedAt time.Duration
}

// Carrier is the small machine of one carrier's life. It never goes back.
type Carrier struct {
	life     uint64
	staleFor time.Duration
	serves   Target
	taken    Target // the greatest that it heard is
	behind   time.Duration
	stale    bool
	has      map[uint64]*own
	orders   []Order
}

// NewCarrier makes a Carrier that serves nothing; staleFor after it heard of a taken version that it cannot get it is
// not fresh.
func NewCarrier(life uint64, staleFor time.Duration) *Carrier {
	return &Carrier{life: life, staleFor: staleFor, has: map[uint64]*own{}}
}

// Serves is what is in force here.
func (c *Carrier) Serves() Target { return c.serves }

// Step takes what happened up to now.
func (c *Carrier) Step(now time.Duration, events ...Event) []Order {
	c.orders = nil
	for _, e := range events {
		c.hear(now, e)
	}
	for _, version := range slices.Sorted(maps.Keys(c.has)) {
		if o := c.has[version]; o.state == Proposed && now >= o.askedAt+fetchAgain {
			o.askedAt = now
			c.order(Fetch{Target{version, o.digest}})
		}
	}
	if stale := c.serves.Version < c.taken.Version && now >= c.behind+c.staleFor; stale != c.stale {
		c.stale = stale
		c.order(Fresh{!stale})
	}
	return c.orders
}

func (c *Carrier) order(o Order) { c.orders = append(c.orders, o) }

func (c *Carrier) hear(now time.Duration, e Event) {
	switch e := e.(type) {
	case Told:
		switch e.Word {
		case Prepare:
			if e.Version > c.taken.Version {
				c.propose(now, e.Target, false)
			}
		case Take:
			if e.Version > c.taken.Version {
				if c.serves.Version == c.taken.Version { // else it is behind already
					c.behind = now
				}
				c.taken = e.Target
			}
			if e.Version == c.taken.Version && e.Version > c.serves.Version {
				c.propose(now, c.taken, true)
				c.change()
			}
		case Forget:
			if e.Version > c.taken.Version { // what is taken cannot be halted, whoever says so
				c.discard(e.Version)
			}
		}
	case Linked:
		for _, version := range slices.Sorted(maps.Keys(c.has)) {
			c.confirm(e.Controller, version, c.has[version])
		}
	case Got:
		if o := c.has[e.Version]; o != nil && o.state == Proposed && o.digest == e.Digest {
			o.state = Fetched
			c.order(Compile{e.Target})
		}
	case Compiled:
		o := c.has[e.Version]
		if o == nil || o.state != Fetched || o.digest != e.Digest {
			return
		}
		if o.state = Prepared; e.Err != nil {
			o.state = Unreadable
		}
		c.confirm("", e.Version, o)
		c.change()
	}
}

// propose lets a version be fetched. Of two bodies the one that is taken, else the greater digest, is prepared.
func (c *Carrier) propose(now time.Duration, t Target, taken bool) {
	o := c.has[t.Version]
	if o != nil && (o.digest == t.Digest || o.digest > t.Digest && !taken) {
		if taken && o.state == Unreadable {
			o.state, o.askedAt = Proposed, now // others can read it: what came may have been spoilt
		} else {
			c.confirm("", t.Version, o)
		}
		return
	}
	c.discard(t.Version)
	c.has[t.Version] = &own{digest: t.Digest, state: Proposed, askedAt: now}
	c.order(Fetch{t})
}

func (c *Carrier) confirm(to string, version uint64, o *own) {
	if o.state == Prepared || o.state == Unreadable {
		c.order(Confirm{to, c.life, Target{version, o.digest}, o.state == Unreadable})
	}
}

func (c *Carrier) discard(version uint64) {
	if o := c.has[version]; o != nil {
		delete(c.has, version)
		c.order(Discard{Target{version, o.digest}})
	}
}

// change switches if what is taken is prepared.
func (c *Carrier) change() {
	o := c.has[c.taken.Version]
	if o == nil || o.state != Prepared || o.digest != c.taken.Digest || c.serves.Version >= c.taken.Version {
		return
	}
	c.serves = c.taken
	c.order(Switch{c.serves})
	for _, version := range slices.Sorted(maps.Keys(c.has)) {
		if version < c.serves.Version {
			c.discard(version)
		}
	}
	delete(c.has, c.serves.Version)
}
