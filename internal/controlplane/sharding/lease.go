package sharding

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/consensus"
)

const (
	// leaseDuration is how long after its last renewal a lease cannot be taken over.
	leaseDuration = 2 * time.Second
	// leaseUseDuration is how long the holder relies on its lease, from before it proposed the renewal. It is shorter, so
	// that the holder stops first although clocks run at slightly different rates.
	leaseUseDuration   = 1800 * time.Millisecond
	leaseRenewInterval = 500 * time.Millisecond
	leaseRetryInterval = 100 * time.Millisecond
	// leaseStagger is the pause between the attempts of two nodes to take over a lease.
	leaseStagger = 60 * time.Millisecond
)

// leaseValue is the value of the lease's register.
type leaseValue struct {
	Node        string `cbor:"1,keyasint"` // name of the holder
	StoreID     string `cbor:"2,keyasint"` // of the holder's disk
	Incarnation uint64 `cbor:"3,keyasint"` // of the holder's process
	Term        uint64 `cbor:"4,keyasint"` // increases with each holder
	Released    bool   `cbor:"5,keyasint,omitempty"`
}

func decodeLease(r consensus.Register) (v leaseValue, err error) {
	if len(r.Value) == 0 {
		return v, nil
	}
	err = cbor.Unmarshal(r.Value, &v)
	return v, err
}

// acquireLease returns the change that renews the lease of a term, or acquires it for a new term. A lease can be
// acquired if it is free or released, if a former process of the same node held it, which must have ended, or if it was
// not renewed for leaseDuration. The age of a value is a lower bound by monotonic clocks.
func acquireLease(wanted leaseValue, duration time.Duration) consensus.ChangeFunc {
	return func(committed consensus.Register, age consensus.Age) (consensus.Register, consensus.Outcome) {
		current, err := decodeLease(committed)
		if err != nil {
			return committed, consensus.Conflict
		}
		next := wanted
		isRenewal := wanted.Term > 0 && current == wanted
		isFormerProcess := current.Node == wanted.Node && current.StoreID == wanted.StoreID
		isFree := current.Term == 0 || current.Released || isFormerProcess || age.Duration >= duration
		switch {
		case isRenewal:
		case wanted.Term == 0 && isFree:
			next.Term = current.Term + 1
		default:
			return committed, consensus.Conflict
		}
		return nextVersion(committed, wanted.Incarnation, mustEncode(next)), consensus.Committed
	}
}

// releaseLease returns the change that gives up the lease of a term.
func releaseLease(held leaseValue) consensus.ChangeFunc {
	return func(committed consensus.Register, _ consensus.Age) (consensus.Register, consensus.Outcome) {
		if current, err := decodeLease(committed); err != nil || current != held {
			return committed, consensus.Conflict
		}
		released := held
		released.Released = true
		return nextVersion(committed, held.Incarnation, mustEncode(released)), consensus.Committed
	}
}

// lease is this node's view of the assigner's lease.
type lease struct {
	self       leaseValue // without term
	stagger    time.Duration
	known      leaseValue // the newest committed value
	knownAt    time.Duration
	version    consensus.Version // of known
	term       uint64            // that this node holds; 0: none
	until      time.Duration     // the end of the use of the lease; only increases within a term
	proposedAt time.Duration     // of the proposal in progress
	proposing  bool
	releasing  bool
	released   bool
	retryAt    time.Duration
	bugs       injectedBugs
}

// isHeld reports whether this node may act as the assigner.
func (l *lease) isHeld(now time.Duration) bool { return l.term > 0 && now < l.until && !l.releasing }

// observe takes over a committed value.
func (l *lease) observe(now time.Duration, r consensus.Register) {
	if v, err := decodeLease(r); err == nil && l.version.Less(r.Version) {
		l.known, l.version, l.knownAt = v, r.Version, now
	}
}

// propose returns the change to propose now, or nil.
func (l *lease) propose(now time.Duration, wanted, shuttingDown bool) consensus.ChangeFunc {
	if l.proposing || now < l.retryAt {
		return nil
	}
	held := l.self
	held.Term = l.term
	switch {
	case shuttingDown && l.term > 0 && !l.released:
		l.releasing = true
		l.begin(now)
		return releaseLease(held)
	case shuttingDown || !wanted || now < l.nextProposal(now):
		return nil
	}
	l.begin(now)
	if !l.isHeld(now) { // also after it lapsed: another node may have acted meanwhile
		held.Term = 0
	}
	if l.bugs.acquiresEarly {
		return acquireLease(held, leaseDuration/4)
	}
	return acquireLease(held, leaseDuration)
}

func (l *lease) begin(now time.Duration) { l.proposing, l.proposedAt = true, now }

// nextProposal returns when the lease should be renewed or acquired.
func (l *lease) nextProposal(now time.Duration) time.Duration {
	isFormerProcess := l.known.Node == l.self.Node && l.known.StoreID == l.self.StoreID
	switch {
	case l.isHeld(now):
		return l.until - leaseUseDuration + leaseRenewInterval
	case isFormerProcess:
		return 0
	case l.known.Term == 0 || l.known.Released:
		return l.knownAt + l.stagger
	}
	if l.bugs.acquiresEarly {
		return l.knownAt + leaseDuration/4 + l.stagger
	}
	return l.knownAt + leaseDuration + l.stagger
}

// onDecided handles the outcome of the proposal in progress. It reports whether a new term began.
func (l *lease) onDecided(now time.Duration, outcome consensus.Outcome, value consensus.Register) (isNewTerm bool) {
	l.proposing = false
	l.observe(now, value)
	if l.releasing {
		l.released = l.released || outcome == consensus.Committed || outcome == consensus.Conflict
		l.retryAt = now + leaseRetryInterval
		return false
	}
	v, err := decodeLease(value)
	isOwn := err == nil && v.Node == l.self.Node && v.Incarnation == l.self.Incarnation && !v.Released
	if outcome != consensus.Committed || !isOwn {
		l.retryAt = now + leaseRetryInterval
		return false
	}
	isNewTerm = v.Term != l.term
	l.term, l.until = v.Term, l.proposedAt+leaseUseDuration
	return isNewTerm
}

// never is later than all times.
const never = time.Duration(1<<63 - 1)
