package rollout

import (
	"maps"
	"slices"
	"time"
)

const fetchRetryInterval = 400 * time.Millisecond

// State of a version at a proxy.
type State uint8

// States of a version at a proxy. It passes through them in their order, or is discarded.
const (
	Proposed   State = iota + 1 // its body is being fetched
	Fetched                     // its body is being checked and compiled
	Prepared                    // it could be activated
	Unreadable                  // its body cannot be compiled
)

type versionState struct {
	digest    uint64
	state     State
	fetchedAt time.Duration // when the body was last asked for
}

// Participant is the part of one proxy. It never goes back to an earlier version. It belongs to one goroutine.
type Participant struct {
	incarnation  uint64
	staleTimeout time.Duration
	active       Target
	committed    Target        // the greatest version that it was told to activate
	behindAt     time.Duration // since when committed is not active
	stale        bool
	versions     map[uint64]*versionState
	actions      []Action
}

// NewParticipant makes a Participant that serves nothing. staleTimeout is how long it may be told to activate a version
// that it cannot get before it is no longer fresh.
func NewParticipant(incarnation uint64, staleTimeout time.Duration) *Participant {
	return &Participant{incarnation: incarnation, staleTimeout: staleTimeout, versions: map[uint64]*versionState{}}
}

// Active is what is served.
func (p *Participant) Active() Target { return p.active }

// Step handles what happened up to now, and what is due by now.
func (p *Participant) Step(now time.Duration, events ...Event) []Action {
	p.actions = nil
	for _, e := range events {
		p.handle(now, e)
	}
	for _, number := range p.sortedVersions() {
		if v := p.versions[number]; v.state == Proposed && now >= v.fetchedAt+fetchRetryInterval {
			v.fetchedAt = now
			p.emit(Fetch{Target{number, v.digest}})
		}
	}
	stale := p.active.Version < p.committed.Version && now >= p.behindAt+p.staleTimeout
	if stale != p.stale {
		p.stale = stale
		p.emit(FreshnessChanged{!stale})
	}
	return p.actions
}

func (p *Participant) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Participant) sortedVersions() []uint64 { return slices.Sorted(maps.Keys(p.versions)) }

func (p *Participant) handle(now time.Duration, event Event) {
	switch e := event.(type) {
	case CommandReceived:
		p.onCommand(now, e)
	case ControllerConnected:
		for _, number := range p.sortedVersions() {
			p.confirm(e.Name, number, p.versions[number])
		}
	case BodyReceived:
		if v := p.versions[e.Version]; v != nil && v.state == Proposed && v.digest == e.Digest {
			v.state = Fetched
			p.emit(Compile(e))
		}
	case CompileDone:
		p.onCompileDone(e)
	}
}

func (p *Participant) onCommand(now time.Duration, e CommandReceived) {
	switch e.Command {
	case CommandPrepare:
		if e.Version > p.committed.Version {
			p.fetch(now, e.Target, false)
		}
	case CommandActivate:
		p.onActivate(now, e.Target)
	case CommandDiscard:
		if e.Version > p.committed.Version { // what is committed cannot be halted, whoever says so
			p.discard(e.Version)
		}
	}
}

func (p *Participant) onActivate(now time.Duration, t Target) {
	if t.Version > p.committed.Version {
		if p.active.Version == p.committed.Version { // otherwise it is behind already
			p.behindAt = now
		}
		p.committed = t
	}
	if t.Version == p.committed.Version && t.Version > p.active.Version {
		p.fetch(now, p.committed, true)
		p.activateIfReady()
	}
}

func (p *Participant) onCompileDone(e CompileDone) {
	v := p.versions[e.Version]
	if v == nil || v.state != Fetched || v.digest != e.Digest {
		return
	}
	v.state = Prepared
	if e.Err != nil {
		v.state = Unreadable
	}
	p.confirm("", e.Version, v)
	p.activateIfReady()
}

// fetch has a version fetched. Of two bodies the committed one is prepared, otherwise the one with the greater digest.
func (p *Participant) fetch(now time.Duration, t Target, isCommitted bool) {
	v := p.versions[t.Version]
	if v == nil || v.digest != t.Digest && (isCommitted || v.digest < t.Digest) {
		p.discard(t.Version)
		p.versions[t.Version] = &versionState{digest: t.Digest, state: Proposed, fetchedAt: now}
		p.emit(Fetch{t})
		return
	}
	if isCommitted && v.state == Unreadable {
		v.state, v.fetchedAt = Proposed, now // others can read it: what came here may have been damaged
		return
	}
	p.confirm("", t.Version, v)
}

func (p *Participant) confirm(to string, number uint64, v *versionState) {
	if v.state == Prepared || v.state == Unreadable {
		p.emit(SendConfirmation{to, p.incarnation, Target{number, v.digest}, v.state == Unreadable})
	}
}

func (p *Participant) discard(number uint64) {
	if v := p.versions[number]; v != nil {
		delete(p.versions, number)
		p.emit(Discard{Target{number, v.digest}})
	}
}

// activateIfReady activates the committed version if it is prepared.
func (p *Participant) activateIfReady() {
	v := p.versions[p.committed.Version]
	isReady := v != nil && v.state == Prepared && v.digest == p.committed.Digest
	if !isReady || p.active.Version >= p.committed.Version {
		return
	}
	p.active = p.committed
	p.emit(Activate{p.active})
	for _, number := range p.sortedVersions() {
		if number < p.active.Version {
			p.discard(number)
		}
	}
	delete(p.versions, p.active.Version)
}
