package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// Records on a disk. Each is the newest of its name; their number is that of the registers, never that of the changes.
const (
	recordDisk  = "disk"     // who the disk is
	recordEpoch = "epoch"    // the newest epoch
	recordMark  = "complete" // since it was written nothing that was on the disk is known to be lost
	recordReg   = "b/"       // before a register's name: what was promised and accepted

	// Of the version before: the controllers whose disks counted, and before a register's name its stamp and value.
	oldFounders = "founders"
	oldReg      = "r/"
)

// Memory is what a disk has.
type Memory struct {
	Disk      string // its id
	Blank     bool   // it is not from the system's first start: there may be an epoch that it does not know
	Born      bool   // the id is on the disk
	Epoch     Epoch
	Acceptors map[string]paxos.Acceptor[Register]
	rest      []string // records of another id, to be emptied
}

type diskRecord struct {
	ID    string `cbor:"1,keyasint"`
	First bool   `cbor:"2,keyasint,omitempty"` // written at the system's first start
}

type regRecord struct {
	Era      uint64       `cbor:"1,keyasint"` // of the register of epochs: the one whose successor it decides
	Promised BallotNumber `cbor:"2,keyasint"`
	Accepted BallotNumber `cbor:"3,keyasint"`
	Value    Register     `cbor:"4,keyasint"`
}

// Load reads a disk's records. Known: it bears the mark of one that forgot nothing. First: this is the system's first
// start and the disk is empty. Drawn is the id of a disk that is new, or may have forgotten what it voted. An error names
// the record; what a disk has lost of itself must not be taken for nothing, so its user ends.
func Load(me string, records map[string][]byte, known, first bool, drawn string) (Memory, error) {
	m := Memory{Disk: drawn, Blank: !first, Acceptors: map[string]paxos.Acceptor[Register]{}}
	bad := func(name string, err error) (Memory, error) { return m, fmt.Errorf("record %s: %w", name, err) }
	disk, there := records[recordDisk], len(records[recordDisk]) > 0
	switch {
	case there && known:
		var d diskRecord
		if err := cbor.Unmarshal(disk, &d); err != nil {
			return bad(recordDisk, err)
		}
		m.Disk, m.Blank, m.Born = d.ID, !d.First, true
		if text := records[recordEpoch]; len(text) > 0 {
			var err error
			if m.Epoch, err = decodeEpoch(text); err != nil {
				return bad(recordEpoch, err)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(records)) {
			reg, is := strings.CutPrefix(name, recordReg)
			if !is || len(records[name]) == 0 {
				continue
			}
			var a regRecord
			if err := cbor.Unmarshal(records[name], &a); err != nil {
				return bad(name, err)
			}
			if reg != epochName || a.Era == m.Epoch.Number {
				m.Acceptors[reg] = paxos.Acceptor[Register]{Promised: a.Promised, Accepted: a.Accepted, Value: a.Value}
			}
		}
	case known && len(records[oldFounders]) > 0:
		var founders []rpc.Node
		if err := json.Unmarshal(records[oldFounders], &founders); err != nil {
			return bad(oldFounders, err)
		}
		// Founders were told apart by their names alone. A disk that bears the mark is the one that was meant.
		m.Disk, m.Blank = oldDisk(me), false
		for _, f := range founders {
			m.Epoch.Voters = append(m.Epoch.Voters, Voter{Node: f, StoreID: oldDisk(f.Name)})
		}
		m.Epoch.Number, m.Epoch.Voters, m.Epoch.FoundingSize = 1, sorted(m.Epoch.Voters), len(founders)
		for name, value := range records {
			if reg, is := strings.CutPrefix(name, oldReg); is && len(value) >= 16 {
				hi, lo := number(value), number(value[8:])
				b := BallotNumber{Round: hi, Incarnation: lo}
				m.Acceptors[reg] = paxos.Acceptor[Register]{Promised: b, Accepted: b,
					Value: Register{Name: reg, Version: Version{Number: hi, ID: lo}, Value: value[16:]}}
			}
		}
	default:
		for _, name := range slices.Sorted(maps.Keys(records)) {
			if len(records[name]) > 0 && name != recordDisk {
				m.rest = append(m.rest, name)
			}
		}
	}
	return m, nil
}

func oldDisk(name string) string { return "first:" + name }

func number(b []byte) (v uint64) {
	for _, c := range b[:8] {
		v = v<<8 | uint64(c)
	}
	return v
}

// bear makes the disk somebody: the rest of who it was is emptied, then what it begins with written, its id, at last the
// mark. Before that it does not vote.
func (r *Replica) bear() {
	m := &r.o.Memory
	r.bearFailed = false
	write := func(name string, value []byte) {
		r.bearing++
		r.persist(name, value, put{birth: true})
	}
	for _, name := range m.rest {
		reg, is := strings.CutPrefix(name, recordReg)
		if g := r.regs[reg]; is && g != nil && g.acc.Accepted != (BallotNumber{}) || name == recordEpoch && r.epoch.Number > 0 {
			continue // it is put with what has come since
		}
		write(name, nil)
	}
	// What a disk of the version before begins with is on it in this version's records before it votes.
	for _, name := range slices.Sorted(maps.Keys(m.Acceptors)) {
		write(recordOf(name), encode(r.epoch.Number, r.reg(name).acc))
	}
	if m.Epoch.Number > 0 {
		write(recordEpoch, encodeEpoch(r.epoch))
	}
	// Guards against a loss of power before the rest is there, over which an old disk would pass for one from the system's
	// first start that knows of nothing: it bears its mark already.
	write(recordDisk, pack(diskRecord{m.Disk, !m.Blank}))
	write(recordMark, []byte{1})
}

func recordOf(name string) string { return recordReg + name }

func encode(era uint64, a paxos.Acceptor[Register]) []byte {
	return pack(regRecord{era, a.Promised, a.Accepted, a.Value})
}

func encodeEpoch(e Epoch) []byte { return pack(e) }

func decodeEpoch(b []byte) (e Epoch, err error) {
	err = cbor.Unmarshal(b, &e)
	return e, err
}

func pack(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("accord: %v", err)) // the types above are all plain
	}
	return b
}
