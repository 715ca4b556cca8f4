package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kinds of operations.
const (
	readOperation       = 'r'
	configOperation     = 'c'
	evacuationOperation = 'e'
)

// knownAges are the upper bounds of the time since an evacuation request was sent, of which each request has one.
var knownAges = []time.Duration{0, 100 * ms, time.Second, 5 * time.Second, time.Hour}

// operation is a client's request with its response.
type operation struct {
	requestID            uint64
	kind                 byte // readOperation, configOperation or evacuationOperation
	register             string
	node                 string // the name of the node that received the request
	version, digest      uint64
	value                string
	begin                bool
	id                   uint64
	calledAt, returnedAt time.Duration // returnedAt is forever before the response
	sentAfter            time.Duration // what the node knows of when the client sent the request: not earlier
	outcome              Outcome
	result               Register
	event                Event
}

// isAborted reports whether a response says that the operation was not and will not be applied.
func (op *operation) isAborted() bool {
	return op.returnedAt != forever && (op.outcome == Aborted || op.outcome == PossibleDuplicate)
}

func (op *operation) String() string {
	return fmt.Sprintf(
		"#%d %c %s %d/%d %v %x at %s [%v %v] outcome %d: %v",
		op.requestID,
		op.kind,
		op.register,
		op.version,
		op.digest,
		op.begin,
		op.id,
		op.node,
		op.calledAt,
		op.returnedAt,
		op.outcome,
		op.result.Version,
	)
}

// request sends a client's request to a node. It returns nil if the node is down.
func (sim *simulation) request(i int, op operation) *operation {
	m := sim.machines[i]
	if m.replica == nil {
		return nil
	}
	sim.lastRequestID++
	op.requestID, op.node, op.calledAt, op.returnedAt = sim.lastRequestID, m.node.Name, sim.now, forever
	switch op.kind {
	case readOperation:
		op.event = ReadRequest{op.requestID, op.register}
	case configOperation:
		apply := ReplaceConfig(op.version, op.digest, []byte(op.value))
		if sim.bugs.confirmsConflicts {
			apply = func(committed Register, age Age) (Register, Outcome) {
				next, _ := ReplaceConfig(op.version, op.digest, []byte(op.value))(committed, age)
				return next, Committed
			}
		}
		op.event = Propose{op.requestID, op.register, apply}
	case evacuationOperation:
		timeOfDay := uint64(int64(sim.now/ms) + startTime + int64(m.clockSkew/ms))
		op.sentAfter = sim.now - knownAges[op.id%uint64(len(knownAges))]
		sentWithin := func() time.Duration { return sim.now - op.sentAfter }
		op.event = Propose{op.requestID, op.register, Evacuate(op.begin, op.id, retryWindow, timeOfDay, sentWithin)}
	}
	recorded := &op
	sim.pending[op.requestID] = recorded
	sim.history = append(sim.history, recorded)
	sim.log(
		"%v %s receives request %d %c %s %d/%d begin %v id %x",
		sim.now,
		m.node.Name,
		op.requestID,
		op.kind,
		op.register,
		op.version,
		op.digest,
		op.begin,
		op.id,
	)
	sim.step(i, op.event)
	return recorded
}

func (sim *simulation) replaceConfig(i int, version, digest uint64) *operation {
	return sim.request(
		i,
		operation{
			kind:     configOperation,
			register: configRegister,
			version:  version,
			digest:   digest,
			value:    fmt.Sprintf("%d/%d", version, digest),
		},
	)
}

func (sim *simulation) read(i int, name string) *operation {
	return sim.request(i, operation{kind: readOperation, register: name})
}

func (sim *simulation) evacuate(i int, zone string, begin bool) {
	sim.request(i, operation{kind: evacuationOperation, register: zone, begin: begin, id: sim.rand.Uint64()})
}

// versionKeyBytes is the length of the version in a key of stateKey.
const versionKeyBytes = 41

// stateKey returns a key that orders the values of a register by version.
func stateKey(r Register) string {
	if r.Version == (Version{}) {
		return ""
	}
	return fmt.Sprintf("%020d/%020d/%s", r.Version.Number, r.Version.ID, r.Value)
}

func valueOfKey(key string) string { return key[versionKeyBytes+1:] }

// checkHistory checks that the requests of each register are linearizable. Each response returns a value that was
// committed at a time between the request and the response. Each value was produced by a request that may have been
// committed, at a time between that request and its response. Versions only increase. The check is exact because the
// values of a register are ordered by version.
func (sim *simulation) checkHistory() {
	names := map[string]bool{}
	for _, op := range sim.history {
		names[op.register] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		sim.checkRegister(name)
	}
}

// checkConflicts checks that for each rejected configuration another one was proposed with the same version, and that
// the rejected one was never committed. The other one may have been replaced before any response returned it.
func (sim *simulation) checkConflicts(name string) {
	for _, op := range sim.history {
		if op.register != name || op.outcome != Conflict || op.returnedAt == forever {
			continue
		}
		hasConflict := false
		for _, other := range sim.history {
			hasResult := other.returnedAt != forever && (other.outcome == Committed || other.outcome == Conflict)
			sameVersion := other.register == name && hasResult && other.result.Version.Number == op.version
			if sameVersion && string(other.result.Value) == op.value {
				sim.failf("rejected and also committed: %v, %v", op, other)
			}
			conflicts := other.kind == configOperation && other.version == op.version && other.value != op.value
			mayBeCommitted := other.calledAt <= op.returnedAt && (other.returnedAt == forever || other.outcome != Aborted)
			hasConflict = hasConflict || conflicts && mayBeCommitted
		}
		if !hasConflict {
			sim.failf("a conflict is reported, but no other value of that version can be committed: %v", op)
		}
	}
}

// checkAppliedEvacuations checks that each committed evacuation request was applied, or is a retry of one that was the
// last applied request at some time between this request and its response.
func (sim *simulation) checkAppliedEvacuations(name string) {
	type appliedRequest struct {
		begin        bool
		calledAt     time.Duration // the request was applied after this
		supersededAt time.Duration // the next request was applied before this
	}
	applied := map[uint64]*appliedRequest{}
	requests := map[uint64]*operation{}
	for _, op := range sim.history {
		if op.kind == evacuationOperation && op.register == name {
			requests[op.id] = op
		}
	}
	addObserved := func(value []byte, at time.Duration) {
		ids := parseEvacuations(value).ids
		for i, id := range ids {
			op := requests[id]
			if op == nil {
				sim.failf("%s includes the request %x, which no client sent", name, id)
				return
			}
			if applied[id] == nil {
				applied[id] = &appliedRequest{op.begin, op.calledAt, forever}
			}
			if i > 0 {
				superseded := applied[ids[i-1]]
				superseded.supersededAt = min(superseded.supersededAt, at)
			}
		}
	}
	for _, op := range sim.history {
		if op.register == name && op.returnedAt != forever && op.outcome == Committed {
			addObserved(op.result.Value, op.returnedAt)
		}
	}
	for key, at := range sim.committedAt[name] {
		addObserved([]byte(valueOfKey(key)), at)
	}
	for _, op := range sim.history {
		if op.kind != evacuationOperation || op.register != name || op.returnedAt == forever || op.outcome != Committed ||
			applied[op.id] != nil {
			continue
		}
		isRetry := false
		for _, other := range applied {
			wasLast := other.calledAt <= op.returnedAt && other.supersededAt >= op.calledAt
			isRetry = isRetry || other.begin == op.begin && wasLast
		}
		if !isRetry {
			sim.failf("confirmed, but neither applied nor a retry: %v", op)
		}
	}
}

// observedState is a value of a register that was returned or reported.
type observedState struct {
	value           Register
	firstReportedAt time.Duration // the first response with it
	lastRequestedAt time.Duration // the last request whose response has it
}

// observedStates returns the values of a register that were returned or reported, by stateKey.
func (sim *simulation) observedStates(name string) map[string]*observedState {
	states := map[string]*observedState{"": {firstReportedAt: forever}}
	for _, op := range sim.history {
		if op.register != name || op.returnedAt == forever || op.outcome != Committed && op.outcome != Conflict {
			continue
		}
		key := stateKey(op.result)
		s := states[key]
		if s == nil {
			s = &observedState{value: op.result, firstReportedAt: forever}
			states[key] = s
		}
		s.firstReportedAt = min(s.firstReportedAt, op.returnedAt)
		s.lastRequestedAt = max(s.lastRequestedAt, op.calledAt)
	}
	for key, at := range sim.committedAt[name] {
		if s := states[key]; s != nil {
			s.firstReportedAt = min(s.firstReportedAt, at)
			continue
		}
		var version Version
		_, _ = fmt.Sscanf(key[:versionKeyBytes], "%020d/%020d", &version.Number, &version.ID)
		states[key] = &observedState{
			value:           Register{Name: name, Version: version, Value: []byte(valueOfKey(key))},
			firstReportedAt: at,
		}
	}
	return states
}

// checkRegister checks that the observed values of a register are linearizable.
func (sim *simulation) checkRegister(name string) {
	sim.checkConflicts(name)
	sim.checkAppliedEvacuations(name)
	states := sim.observedStates(name)
	var changedAt time.Duration
	var previous *observedState
	for _, key := range slices.Sorted(maps.Keys(states)) {
		s := states[key]
		if key == "" {
			previous = s
			continue
		}
		if previous.value.Version == s.value.Version {
			sim.failf(
				"%s has two values with version %v: %q, %q",
				name,
				s.value.Version,
				previous.value.Value,
				s.value.Value,
			)
			return
		}
		if name == configRegister && previous.value.Version.Number == s.value.Version.Number {
			sim.failf("two configurations have the same version: %q, %q", previous.value.Value, s.value.Value)
			return
		}
		earliest := max(changedAt, previous.lastRequestedAt)
		var isAborted bool
		changedAt, isAborted = sim.earliestChange(name, s.value, earliest)
		switch {
		case changedAt == forever && isAborted:
			sim.failf("%s has the value %q of an aborted request", name, s.value.Value)
			return
		case changedAt == forever:
			sim.failf(
				"no request can have committed %s %q after %v, when the previous value was still returned",
				name,
				s.value.Value,
				earliest,
			)
			return
		case changedAt > s.firstReportedAt:
			sim.failf(
				"%s %q is returned at %v: %q was returned to a later request of %v, or no request had committed it before %v",
				name,
				s.value.Value,
				s.firstReportedAt,
				previous.value.Value,
				previous.lastRequestedAt,
				changedAt,
			)
			return
		}
		if name != configRegister {
			sim.checkEvacuationSteps(name, previous, s)
		}
		previous = s
	}
}

// earliestChange returns the earliest time from a time on at which an operation can have committed a value, or forever.
// It also reports whether an aborted operation proposed the value.
func (sim *simulation) earliestChange(name string, v Register, from time.Duration) (at time.Duration, isAborted bool) {
	at = forever
	for _, op := range sim.history {
		if op.register != name || !op.produces(v) {
			continue
		}
		if op.isAborted() {
			isAborted = true
			continue
		}
		latest := op.returnedAt
		if op.outcome == Indeterminate {
			latest = forever
		}
		if t := max(from, op.calledAt); t <= latest {
			at = min(at, t)
		}
	}
	return at, isAborted
}

// produces reports whether a value is the one that the operation proposes.
func (op *operation) produces(v Register) bool {
	switch op.kind {
	case configOperation:
		return v.Version.Number == op.version && string(v.Value) == op.value
	case evacuationOperation:
		e := parseEvacuations(v.Value)
		return len(e.ids) > 0 && e.ids[len(e.ids)-1] == op.id && (e.last == lastBegan) == op.begin
	}
	return false
}

// checkEvacuationSteps checks that each request between two values of a zone that were observed in succession was
// applied once, and that neither retries nor possible late copies were applied.
func (sim *simulation) checkEvacuationSteps(name string, from, to *observedState) {
	old, current := parseEvacuations(from.value.Value), parseEvacuations(to.value.Value)
	wantOpen, oldIDs, currentIDs := old.open, old.ids, current.ids
	newIDs := currentIDs
	if len(oldIDs) > 0 {
		k := slices.Index(currentIDs, oldIDs[len(oldIDs)-1])
		if k < 0 {
			if len(currentIDs) < maxRememberedIDs {
				sim.failf("%s %q does not follow %q", name, to.value.Value, from.value.Value)
			}
			return // more requests lie between than are remembered
		}
		newIDs = currentIDs[k+1:]
	} else if len(currentIDs) == maxRememberedIDs {
		return
	}
	findRequest := func(id uint64) *operation {
		for _, op := range sim.history {
			if op.kind == evacuationOperation && op.id == id {
				return op
			}
		}
		return nil
	}
	var previous *operation
	if len(oldIDs) > 0 {
		previous = findRequest(oldIDs[len(oldIDs)-1])
	}
	for _, id := range newIDs {
		op := findRequest(id)
		if op == nil || op.isAborted() {
			sim.failf("%s %q includes an aborted request: %v", name, to.value.Value, op)
			return
		}
		if op.begin {
			wantOpen++
		} else {
			wantOpen = max(wantOpen-1, 0)
		}
		isInWindow := previous != nil && op.returnedAt != forever && op.returnedAt-previous.calledAt < retryWindow
		if isInWindow && !sim.clocksSkewed && previous.begin == op.begin {
			sim.failf("%s: a retry is applied: %v, %v", name, previous, op)
			return
		}
		if previous != nil && sim.isPossibleCopy(op, previous, currentIDs) && !sim.clocksSkewed {
			sim.failf("%s: a request that may be a late copy is applied: %v, %v", name, previous, op)
			return
		}
		previous = op
	}
	if current.open != wantOpen {
		sim.failf("%s: %d evacuations are open in %q, not %d", name, current.open, to.value.Value, wantOpen)
	}
}

// isPossibleCopy reports whether a request that was applied after previous may be a copy: of previous, or of a request
// before that one, among those with the given ids.
func (sim *simulation) isPossibleCopy(op, previous *operation, ids []uint64) bool {
	if op.begin == previous.begin {
		return op.sentAfter < previous.calledAt+retryWindow
	}
	if op.sentAfter >= previous.calledAt {
		return false
	}
	before := ids[:slices.Index(ids, previous.id)+1]
	return slices.ContainsFunc(sim.history, func(earlier *operation) bool {
		return earlier.begin == op.begin && slices.Contains(before, earlier.id)
	})
}
