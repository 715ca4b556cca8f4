package rollout

import (
	"maps"
	"slices"
	"time"
)

// fetchRetryInterval is the time after which a body that has not arrived is requested again.
const fetchRetryInterval = 400 * time.Millisecond

// State is the state of a version at a proxy.
type State uint8

// States of a version at a proxy. Proposed leads to Fetched, and Fetched to Prepared or Unreadable.
const (
	Proposed   State = iota + 1 // its body is being fetched
	Fetched                     // its body is being checked and compiled
	Prepared                    // it can be activated
	Unreadable                  // its body cannot be compiled
)

type versionState struct {
	digest    uint64
	state     State
	fetchedAt time.Duration // when the body was last requested
}

// Participant is the state machine of one proxy. It never activates a version lower than the active one. It is not safe
// for concurrent use.
type Participant struct {
	incarnation  uint64
	staleTimeout time.Duration
	active       Target
	committed    Target        // the greatest version that a control-plane node told it to activate
	behindAt     time.Duration // since when the active version is behind committed
	stale        bool
	versions     map[uint64]*versionState
	actions      []Action
}

// NewParticipant returns a Participant without an active version. It becomes stale when a committed version is not
// active within staleTimeout.
func NewParticipant(incarnation uint64, staleTimeout time.Duration) *Participant {
	return &Participant{incarnation: incarnation, staleTimeout: staleTimeout, versions: map[uint64]*versionState{}}
}

// Active returns the version that is served.
func (p *Participant) Active() Target { return p.active }

// Step handles the events and everything that is due at now, which is a monotonic time.
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
		if e.Version > p.committed.Version { // a committed version cannot be discarded
			p.discard(e.Version)
		}
	}
}

func (p *Participant) onActivate(now time.Duration, t Target) {
	if t.Version > p.committed.Version {
		if p.active.Version == p.committed.Version { // otherwise the proxy is already behind
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

// fetch requests the body of a version unless it is already known. If two bodies have the same version, the committed
// one is prepared, or the one with the greater digest while neither is committed.
func (p *Participant) fetch(now time.Duration, t Target, isCommitted bool) {
	v := p.versions[t.Version]
	if v == nil || v.digest != t.Digest && (isCommitted || v.digest < t.Digest) {
		p.discard(t.Version)
		p.versions[t.Version] = &versionState{digest: t.Digest, state: Proposed, fetchedAt: now}
		p.emit(Fetch{t})
		return
	}
	if isCommitted && v.state == Unreadable {
		v.state, v.fetchedAt = Proposed, now // other proxies can read the body: the copy here may be damaged
		return
	}
	p.confirm("", t.Version, v)
}

// confirm sends the result of preparing a version, if there is one; to is empty for all connected control-plane nodes.
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

// activateIfReady activates the committed version if it is prepared, and discards lower ones.
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
