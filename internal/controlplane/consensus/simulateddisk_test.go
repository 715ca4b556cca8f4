package consensus

import (
	"errors"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
)

// diskWrite is a write in progress.
type diskWrite struct {
	apply func()
	done  bool
}

// wipe kills a machine's process and erases its disk.
func (sim *simulation) wipe(i int) {
	m := sim.machines[i]
	sim.kill(i, true)
	sim.log("%v %s is wiped", sim.now, m.node.Name)
	old := m.records
	m.records = map[string][]byte{}
	if sim.bugs.keepsStoreID && old[recordDisk] != nil {
		for _, name := range []string{recordDisk, recordEpoch, recordsCompleteMarker} {
			if old[name] != nil {
				m.records[name] = old[name]
			}
		}
		return
	}
	m.lostStoreID, m.lostRecords, m.lostAt = m.storeID, old, sim.now
	m.storeID = ""
}

// storeExists reports whether a machine has the disk with an id.
func (sim *simulation) storeExists(id string) bool {
	return slices.ContainsFunc(
		sim.machines,
		func(m *machine) bool {
			return !m.removed && m.storeID == id && (m.replica != nil || sim.storesID(m, id))
		},
	)
}

// storesID reports whether the disk of a machine without a process has an id.
func (sim *simulation) storesID(m *machine, id string) bool {
	var d diskRecord
	_, complete := m.records[recordsCompleteMarker]
	if complete && m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil {
		return d.ID == id
	}
	return strings.HasPrefix(id, "first:") && complete
}

// write writes a record to disk, after the earlier ones.
func (sim *simulation) write(i int, p Persist) {
	m := sim.machines[i]
	failed := m.diskFull || m.diskFlaky && sim.rand.IntN(2) == 0
	written := !failed || m.diskFlaky && sim.rand.IntN(3) == 0
	persisted := Persisted{Seq: p.Seq}
	if failed {
		persisted.Err = errors.New("input/output error")
	}
	id, incarnation := m.storeID, m.incarnation
	// A value may be accepted and superseded before its record is written. The later record confirms that vote too.
	var votes []rpc.PaxosMessage
	for _, v := range m.replica.writes[p.Seq].answers {
		if v.answer.Kind == rpc.Accepted && v.answer.Register != epochRegister {
			votes = append(votes, v.answer)
		}
	}
	write := &diskWrite{apply: func() {
		if !written {
			return
		}
		if p.Value == nil {
			delete(m.records, p.Record)
			return
		}
		m.records[p.Record] = p.Value
		sim.onRecordWritten(i, id, p)
		for _, v := range votes {
			if record := sim.ballots[v.Register][v.Ballot]; record != nil {
				record.addAcceptor(id, v.Ballot.Round>>epochShift)
			}
		}
	}}
	if sim.bugs.confirmsUnsyncedWrites {
		sim.schedule(0, func() {
			if m.incarnation == incarnation {
				sim.step(i, persisted)
			}
		})
	}
	finish := func() {
		if m.incarnation != incarnation {
			return
		}
		m.writes = m.writes[1:]
		write.done = true
		write.apply()
		if !sim.bugs.confirmsUnsyncedWrites {
			sim.step(i, persisted)
		}
	}
	m.writes = append(m.writes, write)
	if m.diskHung {
		m.heldWrites = append(m.heldWrites, finish)
		return
	}
	m.diskFreeAt = max(m.diskFreeAt, sim.now) + ms/2 + sim.randomDuration(8*ms) + sim.randomDuration(m.maxDiskDelay)
	sim.schedule(m.diskFreeAt-sim.now, func() {
		if m.incarnation == incarnation && m.diskHung {
			m.heldWrites = append(m.heldWrites, finish)
			return
		}
		finish()
	})
}

// resumeDisk completes the writes of a hung disk.
func (sim *simulation) resumeDisk(m *machine) {
	m.diskHung = false
	held := m.heldWrites
	m.heldWrites = nil
	for _, finish := range held {
		m.diskFreeAt = max(m.diskFreeAt, sim.now) + ms/2 + sim.randomDuration(4*ms)
		sim.schedule(m.diskFreeAt-sim.now, finish)
	}
}
