package consensus

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
)

// ballotRecord is the value of a ballot, and which disks were seen to accept it.
type ballotRecord struct {
	value      Register
	acceptedBy map[uint64]map[string]bool // store ids, by the epoch of the disk when it had accepted the value
}

// recordStoredVotes records the votes on a machine's disk when it enters an epoch.
func (sim *simulation) recordStoredVotes(i int, epoch uint64) {
	m := sim.machines[i]
	for name, value := range m.records {
		if register, ok := strings.CutPrefix(name, recordRegisterPrefix); ok && register != epochRegister {
			var record registerRecord
			if cbor.Unmarshal(value, &record) == nil && record.Accepted != (BallotNumber{}) {
				sim.recordVote(register, m.storeID, epoch, record)
			}
		}
	}
}

// ballotRecord returns the record of a ballot, and checks that the ballot has a single value.
func (sim *simulation) ballotRecord(name string, b BallotNumber, v Register) *ballotRecord {
	if sim.ballots[name] == nil {
		sim.ballots[name] = map[BallotNumber]*ballotRecord{}
	}
	record := sim.ballots[name][b]
	if record == nil {
		record = &ballotRecord{v, map[uint64]map[string]bool{}}
		sim.ballots[name][b] = record
	} else if record.value.Version != v.Version || !bytes.Equal(record.value.Value, v.Value) {
		sim.failf("ballot %x of %s has two values: %q, %q", b, name, record.value.Value, v.Value)
	}
	return record
}

func (record *ballotRecord) addAcceptor(id string, epoch uint64) {
	if record.acceptedBy[epoch] == nil {
		record.acceptedBy[epoch] = map[string]bool{}
	}
	record.acceptedBy[epoch][id] = true
}

// recordVote records that a disk has accepted a value while it was in an epoch.
func (sim *simulation) recordVote(name, id string, epoch uint64, record registerRecord) {
	sim.ballotRecord(name, record.Accepted, record.Value).addAcceptor(id, epoch)
}

// isChosen reports whether a value was durable under one ballot in any epoch.
func (sim *simulation) isChosen(v Register) bool {
	for _, record := range sim.ballots[v.Name] {
		if record.value.Version != v.Version || !bytes.Equal(record.value.Value, v.Value) {
			continue
		}
		for epoch, stores := range record.acceptedBy {
			if e, ok := sim.epochs[epoch]; ok && e.IsDurable(sim.maxFaults, func(v Voter) bool { return stores[v.StoreID] }) {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) logBallots(v Register) {
	for b, record := range sim.ballots[v.Name] {
		if record.value.Version == v.Version {
			sim.log("ballot %x was accepted, by epoch: %v", b, record.acceptedBy)
		}
	}
}

// recordProposal records the value of an accept request. It checks that a proposed epoch is newer than the ballot's.
func (sim *simulation) recordProposal(i int, accept rpc.PaxosMessage) {
	if accept.Register != epochRegister {
		sim.ballotRecord(accept.Register, accept.Ballot, *accept.Value)
		return
	}
	current := accept.Ballot.Round >> epochShift
	if e, err := decodeEpoch(accept.Value.Value); err != nil || e.Number <= current {
		sim.failf("%s proposes epoch %d as the successor of epoch %d", sim.machines[i].node.Name, e.Number, current)
	}
}

// onRecordWritten records the epoch or the vote in a record that is now on disk.
func (sim *simulation) onRecordWritten(i int, id string, p Persist) {
	register, ok := strings.CutPrefix(p.Record, recordRegisterPrefix)
	switch {
	case p.Record == recordEpoch:
		if e, err := decodeEpoch(p.Value); err == nil {
			sim.storedEpochs[id] = max(sim.storedEpochs[id], e.Number)
		}
	case ok && register != epochRegister:
		var record registerRecord
		if err := cbor.Unmarshal(p.Value, &record); err != nil {
			sim.failf("%v", err)
		}
		if record.Accepted != (BallotNumber{}) {
			sim.recordVote(register, id, record.EpochNumber, record)
			sim.recordVote(register, id, sim.machines[i].epoch, record)
		}
	}
}

// checkEpochEntered checks that a process enters epochs in order, and that an epoch number has one set of voters.
func (sim *simulation) checkEpochEntered(i int, e Epoch) {
	m := sim.machines[i]
	sim.log(
		"%v %s enters epoch %d: old voters %v, voters %v",
		sim.now,
		m.node.Name,
		e.Number,
		voterNames(e.OldVoters),
		voterNames(e.Voters),
	)
	if e.Number <= m.epoch {
		sim.failf("%s enters epoch %d after epoch %d", m.node.Name, e.Number, m.epoch)
	}
	if existing, known := sim.epochs[e.Number]; known && !bytes.Equal(encodeEpoch(existing), encodeEpoch(e)) {
		sim.failf(
			"two epochs have number %d: %v to %v, and %v to %v",
			e.Number,
			voterNames(existing.OldVoters),
			voterNames(existing.Voters),
			voterNames(e.OldVoters),
			voterNames(e.Voters),
		)
	}
	sim.epochs[e.Number] = e
	m.epoch = e.Number
	sim.recordStoredVotes(i, e.Number)
}

func voterNames(voters []Voter) (names []string) {
	for _, v := range voters {
		names = append(names, v.Name+":"+v.StoreID)
	}
	return names
}

// checkCommitted checks that a reported value was chosen, and that versions increase.
func (sim *simulation) checkCommitted(m *machine, r Register) {
	sim.log("%v %s commits %s %v", sim.now, m.node.Name, r.Name, r.Version)
	if !m.committed[r.Name].Less(r.Version) {
		sim.failf("%s reports %s %v as committed after %v", m.node.Name, r.Name, r.Version, m.committed[r.Name])
	}
	m.committed[r.Name] = r.Version
	if !sim.isChosen(r) {
		sim.logBallots(r)
		sim.failf("%s reports %s %v as committed, but it was not chosen", m.node.Name, r.Name, r.Version)
	}
	key := stateKey(r)
	if sim.committedAt[r.Name] == nil {
		sim.committedAt[r.Name] = map[string]time.Duration{}
	}
	if _, reported := sim.committedAt[r.Name][key]; !reported {
		sim.committedAt[r.Name][key] = sim.now
	}
}

// checkRequestDone records a response, and checks that its value was chosen.
func (sim *simulation) checkRequestDone(i int, done RequestDone) {
	m := sim.machines[i]
	op, pending := sim.pending[done.RequestID]
	if !pending {
		return
	}
	delete(sim.pending, done.RequestID)
	op.returnedAt, op.outcome, op.result = sim.now, done.Outcome, done.Register
	sim.log("%v %s responds to %v", sim.now, m.node.Name, op)
	if op.node != m.node.Name {
		sim.failf("%s responds to %v", m.node.Name, op)
	}
	switch {
	case done.Outcome == Aborted && sim.bugs.retriesAborted && op.kind == configOperation:
		sim.schedule(sim.randomDuration(time.Second), func() {
			change := ReplaceConfig(op.version, op.digest, []byte(op.value))
			sim.step(i, Propose{RequestID: 1 << 40, Register: op.register, Change: change})
		})
	case done.Outcome == Indeterminate || done.Outcome == Aborted:
		return
	case op.kind != readOperation:
		sim.lastCommitAt = sim.now
	}
	if done.Outcome == Aborted {
		return
	}
	sim.answered++
	if done.Version != (Version{}) && !sim.isChosen(done.Register) {
		sim.failf("%s responds to %v with a value that was not chosen", m.node.Name, op)
	}
	sim.checkAnswer(op)
}

// checkAnswer checks a response by itself. checkHistory checks all of them together.
func (sim *simulation) checkAnswer(op *operation) {
	switch op.kind {
	case configOperation:
		number := op.result.Version.Number
		same := number == op.version && string(op.result.Value) == op.value
		switch {
		case op.outcome == Committed && (number < op.version || number == op.version && !same):
			sim.failf("another value is confirmed under the version: %v", op)
		case op.outcome == Conflict && (number < op.version || same):
			sim.failf("a conflict is reported without another value of that version: %v", op)
		}
	case evacuationOperation:
		if op.outcome != Committed && !sim.mayBeCopy(op) {
			sim.failf("an evacuation request is rejected: %v", op)
		}
	}
}

// maxAgeError is how much too low the known age of a request may be, as it lacks the time that messages with it took.
const maxAgeError = 300 * ms

// mayBeCopy reports whether a request was refused rightly: when it was decided, the last request was of the same kind,
// and this one may have been sent within the retry window after it; or the last one was of the other kind and followed
// one of the same kind, and this one may have been sent before it was applied. If a process has started since, the age
// of the last one is not known exactly.
func (sim *simulation) mayBeCopy(op *operation) bool {
	if op.outcome != PossibleDuplicate {
		return false
	}
	current := parseEvacuations(op.result.Value) // also of requests of the same ballot that were applied later
	isFirstOfKind := current.gap == unknownGap
	for _, id := range current.ids {
		i := slices.IndexFunc(sim.history, func(other *operation) bool { return other.id == id })
		last := sim.history[i]
		appliedBefore := min(last.returnedAt, sim.now)
		if last.outcome == Indeterminate {
			appliedBefore = sim.now
		}
		sentBefore := appliedBefore + maxAgeError
		if last.begin == op.begin {
			sentBefore += retryWindow
		}
		isPossible := op.sentAfter < sentBefore || sim.hasStartedSince(last.calledAt)
		if isPossible && (last.begin == op.begin || !isFirstOfKind) {
			return true
		}
		isFirstOfKind = isFirstOfKind && last.begin != op.begin
	}
	return false
}

func (sim *simulation) hasStartedSince(at time.Duration) bool {
	return slices.ContainsFunc(sim.machines, func(m *machine) bool { return m.startedAt > at })
}

// checkHandedOver checks that each chosen value is durable without the disk of a process that has handed over.
func (sim *simulation) checkHandedOver(i int) {
	m := sim.machines[i]
	sim.log("%v %s has handed over", sim.now, m.node.Name)
	voters := sim.newestEpoch().Voters
	for name := range sim.ballots {
		var newest Register
		for _, record := range sim.ballots[name] {
			if newest.Version.Less(record.value.Version) && sim.isChosen(record.value) {
				newest = record.value
			}
		}
		if newest.Version == (Version{}) {
			continue
		}
		var own registerRecord
		if data := m.records[registerRecordName(name)]; data == nil || cbor.Unmarshal(data, &own) != nil ||
			own.Value.Version.Less(newest.Version) {
			continue // the disk has no copy
		}
		copies, others := 0, 0
		for _, v := range voters {
			if v.StoreID != m.storeID {
				others++
				copies += sim.copiesOn(v.StoreID, name, newest.Version)
			}
		}
		if copies < min(sim.maxFaults+1, others) {
			sim.failf("%s has handed over, and %s %v is on %d other disks", m.node.Name, name, newest.Version, copies)
		}
	}
	if m.onHandedOver != nil {
		m.onHandedOver()
	}
}

func (sim *simulation) newestEpoch() (newest Epoch) {
	for _, e := range sim.epochs {
		if e.Number > newest.Number {
			newest = e
		}
	}
	return newest
}

// copiesOn counts the copies of a value, or of a newer one, on the disk with an id. The disk counts for a while after
// it was wiped, because a process that hands over does not know of the loss yet.
func (sim *simulation) copiesOn(storeID, name string, version Version) (copies int) {
	for _, m := range sim.machines {
		records := m.records
		if m.lostStoreID == storeID && sim.now < m.lostAt+handoverInterval {
			records = m.lostRecords
		} else if m.storeID != storeID {
			continue
		}
		var record registerRecord
		data := records[registerRecordName(name)]
		if data != nil && cbor.Unmarshal(data, &record) == nil && !record.Value.Version.Less(version) {
			copies++
		}
	}
	return copies
}
