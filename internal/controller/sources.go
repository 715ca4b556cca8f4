package controller

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/config"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/warmstart"
)

// Source is where the list of backends comes from: the platform's discovery, or a key-value registry.
type Source interface {
	eventloop.Lists
	Stop()
}

// OpenRegistry begins to follow a key-value registry and hands on each reconcile.List and reconcile.Failed.
type OpenRegistry func(o operatorfile.Registry, name string, tell func(any), log *logrus.Entry) Source

// WarmState keeps the list over crashes. Neither method waits.
type WarmState interface {
	InitialList() (l reconcile.List, ok bool) // what was held last, where it is young enough
	Update(said any)                          // each reconcile.List and reconcile.Failed that the desk is told
	InitialBeliefs() []warmstart.Believe      // what else is believed of what was known before
	RecordFacts(facts []warmstart.Fact)       // what the decisions know, a part of it each second
}

// OpenWarmState opens the state store of an operator file and queries its peers. A nil error comes with a WarmState.
type OpenWarmState func(o operatorfile.File, name string, log *logrus.Entry) (WarmState, error)

// Extensions are what the full program adds to a controller; nil in the bare one.
type Extensions struct {
	Registry  OpenRegistry
	WarmState OpenWarmState
	Channel   OpenChannel
	Member    OpenMember
}

// Member is this instance's part in a fleet. None of its methods waits.
type Member interface {
	eventloop.Observer
	Addr() string
	HandleRequest(r Request) (body json.RawMessage, ok bool, err error)
}

// OpenMember takes part as an operator file says; hear is given what others tell.
type OpenMember func(
	o operatorfile.File,
	sheet config.Config,
	hear func(eventloop.Command),
	log *logrus.Entry,
) (Member, error)

// Channel is the pub-sub channel that is served. Neither method waits.
type Channel interface {
	Tell(reconcile.List)         // each list that the desk is told
	Look(facts []warmstart.Fact) // what the decisions know, a part of it each second
	Addr() string
}

// OpenChannel serves the channel of an operator file; hear is given what comes by it.
type OpenChannel func(
	o operatorfile.Channel,
	proxies int,
	names flatsettings.Names,
	hear func(eventloop.Command),
	log *logrus.Entry,
) (Channel, error)

// slot is a Source that is followed; it is known before the Source tells anything.
type slot struct{ Source }

// sources is the one way from Sources to the desk. Of two the new one takes the old one's place with its first
// whole list: until then the old one is followed, so nothing is undone by one that cannot be reached.
type sources struct {
	queue   chan<- eventloop.Command
	memory  WarmState               // nil: nothing is kept
	channel atomic.Pointer[Channel] // nil: nobody looks on
	log     *logrus.Entry
	now     atomic.Pointer[slot] // the desk asks here and never waits

	mu   sync.Mutex
	next *slot
}

// begin follows a further Source; the first one holds at once.
func (s *sources) begin(open func(tell func(any)) Source) {
	at := &slot{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.next; old != nil {
		go old.Stop()
	}
	if s.now.Load() == nil {
		s.now.Store(at)
	} else {
		s.next = at
	}
	at.Source = open(func(said any) { s.tell(at, said) })
}

func (s *sources) tell(from *slot, said any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := said.(reconcile.List); ok && l.Complete && from == s.next {
		old := s.now.Swap(from)
		s.next = nil
		go old.Stop() // it may wait for this very call
		s.log.WithFields(logrus.Fields{"revision": l.Revision, "backends": len(l.Members)}).
			Info("the list comes from the new source")
	}
	if from == s.now.Load() {
		if s.memory != nil {
			s.memory.Update(said)
		}
		if c := s.channel.Load(); c != nil {
			if l, ok := said.(reconcile.List); ok {
				(*c).Tell(l)
			}
		}
		s.queue <- eventloop.Command{Message: said}
	}
}

// Follow and Reload are the desk's.
func (s *sources) Follow(on bool) { s.now.Load().Follow(on) }

func (s *sources) Reload() { s.now.Load().Reload() }

// source is the one that holds, or that is to hold.
func (s *sources) source() Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return s.next.Source
	}
	return s.now.Load().Source
}
