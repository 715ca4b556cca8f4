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

// Source provides the list of backends, from the platform's discovery service or a key-value registry.
type Source interface {
	eventloop.Lists
	Stop()
}

// OpenRegistry starts to follow a key-value registry. It passes each reconcile.List and reconcile.SourceFailed to send.
type OpenRegistry func(o operatorfile.Registry, name string, send func(any), log *logrus.Entry) Source

// WarmState keeps the list of backends and learned facts for the next start. Its methods do not block.
type WarmState interface {
	InitialList() (l reconcile.List, ok bool) // the last list, unless it is too old
	Update(message any)                       // a reconcile.List or reconcile.SourceFailed sent to the event loop
	InitialBeliefs() []warmstart.Accepted     // other facts that are still believed
	RecordFacts(facts []warmstart.Fact)       // facts of the event loop, a part of them each second
}

// OpenWarmState opens the state store of an operator file and queries its peers.
type OpenWarmState func(o operatorfile.File, name string, log *logrus.Entry) (WarmState, error)

// Extensions are the components that only the full program has. Those of the minimal program are nil.
type Extensions struct {
	Registry  OpenRegistry
	WarmState OpenWarmState
	Channel   OpenChannel
	Member    OpenMember
}

// Member is the membership of this instance in a fleet. Its methods do not block.
type Member interface {
	eventloop.Observer
	Addr() string
	HandleRequest(r Request) (body json.RawMessage, ok bool, err error)
}

// OpenMember joins the fleet of an operator file. Messages of other members are passed to send.
type OpenMember func(
	o operatorfile.File,
	cfg config.Config,
	send func(eventloop.Command),
	log *logrus.Entry,
) (Member, error)

// Channel is the server side of the pub-sub channel. Its methods do not block.
type Channel interface {
	Tell(reconcile.List)         // publishes a list sent to the event loop
	Look(facts []warmstart.Fact) // publishes facts of the event loop, a part of them each second
	Addr() string
}

// OpenChannel opens the channel of an operator file. Messages from its clients are passed to send.
type OpenChannel func(
	o operatorfile.Channel,
	proxies int,
	names flatsettings.Names,
	send func(eventloop.Command),
	log *logrus.Entry,
) (Channel, error)

// sourceSlot holds a Source. It identifies the Source before it is open, when messages of it may already arrive.
type sourceSlot struct{ Source }

// sources forwards messages from the active Source to the event loop. A new Source replaces the active one with its
// first complete list. Until then the active one stays in use, so that an unreachable new Source does no harm.
type sources struct {
	queue     chan<- eventloop.Command
	warmState WarmState               // nil: none
	channel   atomic.Pointer[Channel] // nil: none
	log       *logrus.Entry
	active    atomic.Pointer[sourceSlot] // read without a lock, so that the event loop never blocks

	mu   sync.Mutex
	next *sourceSlot // replaces active with its first complete list; nil: none
}

// follow opens a Source. The first Source is active at once. Any other becomes next and replaces a former next.
func (s *sources) follow(open func(send func(any)) Source) {
	slot := &sourceSlot{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.next; old != nil {
		go old.Stop()
	}
	if s.active.Load() == nil {
		s.active.Store(slot)
	} else {
		s.next = slot
	}
	slot.Source = open(func(message any) { s.forward(slot, message) })
}

// forward sends a message of the active Source to the event loop and drops messages of other Sources. The first
// complete list of next makes it active.
func (s *sources) forward(from *sourceSlot, message any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := message.(reconcile.List); ok && l.Complete && from == s.next {
		old := s.active.Swap(from)
		s.next = nil
		go old.Stop() // may wait for this call of forward
		s.log.WithFields(logrus.Fields{"revision": l.Revision, "backends": len(l.Members)}).
			Info("switched to the new source of the backend list")
	}
	if from == s.active.Load() {
		if s.warmState != nil {
			s.warmState.Update(message)
		}
		if c := s.channel.Load(); c != nil {
			if l, ok := message.(reconcile.List); ok {
				(*c).Tell(l)
			}
		}
		s.queue <- eventloop.Command{Message: message}
	}
}

// Follow implements eventloop.Lists with the active Source.
func (s *sources) Follow(on bool) { s.active.Load().Follow(on) }

// Reload implements eventloop.Lists with the active Source.
func (s *sources) Reload() { s.active.Load().Reload() }

// latest returns the Source that was opened last.
func (s *sources) latest() Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return s.next.Source
	}
	return s.active.Load().Source
}
