package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// Names of records on the disk. Each is the newest of its name; their number is that of the registers, never that
// of the changes. The names, and the keys of the records below, are stored: they never change.
const (
	recordDisk           = "disk"     // the disk's identity
	recordEpoch          = "epoch"    // the newest epoch
	recordComplete       = "complete" // since it was written nothing that was on the disk is known to be lost
	recordRegisterPrefix = "b/"       // before a register's name: what was promised and accepted

	// Of the version before epochs: the nodes whose disks counted, and before a register's name its version and value.
	legacyFounders       = "founders"
	legacyRegisterPrefix = "r/"
	legacyVersionBytes   = 16
)

// DurableState is what a disk holds.
type DurableState struct {
	StoreID          string
	MayHaveLostState bool       // it is not from the system's first start: there may be an epoch that it does not know
	Identified       bool       // StoreID is on the disk
	Origin           rpc.Origin // of a disk from the system's first start
	Epoch            Epoch
	Acceptors        map[string]paxos.Acceptor[Register] // by register

	foreignRecords []string // of another identity, to be emptied
}

type diskRecord struct {
	ID         string     `cbor:"1,keyasint"`
	FirstStart bool       `cbor:"2,keyasint,omitempty"` // written at the system's first start
	Origin     rpc.Origin `cbor:"3,keyasint,omitzero"`  // noted then
}

type registerRecord struct {
	EpochNumber uint64       `cbor:"1,keyasint"` // of the epoch register: the epoch whose successor it decides
	Promised    BallotNumber `cbor:"2,keyasint"`
	Accepted    BallotNumber `cbor:"3,keyasint"`
	Value       Register     `cbor:"4,keyasint"`
}

// RecordError is a record that cannot be read.
type RecordError struct {
	Record string
	Cause  error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Record, e.Cause) }

// Unwrap is the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// LoadState reads the records of a disk. complete says that the disk has recordComplete; firstStart that this is the
// system's first start and the disk is empty. newStoreID is the id of a disk that is new, or may have forgotten what it
// voted. The error is a *RecordError: what a disk has lost of itself must not be taken for nothing.
func LoadState(selfName string, records map[string][]byte, complete, firstStart bool,
	newStoreID string) (DurableState, error) {
	s := DurableState{
		StoreID:          newStoreID,
		MayHaveLostState: !firstStart,
		Acceptors:        map[string]paxos.Acceptor[Register]{},
	}
	var err error
	switch {
	case complete && len(records[recordDisk]) > 0:
		err = s.load(records)
	case complete && len(records[legacyFounders]) > 0:
		err = s.loadLegacy(selfName, records)
	default:
		s.noteForeign(records)
	}
	return s, err
}

func (s *DurableState) load(records map[string][]byte) error {
	var d diskRecord
	if err := cbor.Unmarshal(records[recordDisk], &d); err != nil {
		return &RecordError{recordDisk, err}
	}
	s.StoreID, s.MayHaveLostState, s.Identified = d.ID, !d.FirstStart, true
	s.Origin = d.Origin
	if text := records[recordEpoch]; len(text) > 0 {
		var err error
		if s.Epoch, err = decodeEpoch(text); err != nil {
			return &RecordError{recordEpoch, err}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		registerName, isRegister := strings.CutPrefix(name, recordRegisterPrefix)
		if !isRegister || len(records[name]) == 0 {
			continue
		}
		var a registerRecord
		if err := cbor.Unmarshal(records[name], &a); err != nil {
			return &RecordError{name, err}
		}
		if registerName != epochRegister || a.EpochNumber == s.Epoch.Number {
			s.Acceptors[registerName] = paxos.Acceptor[Register]{
				Promised: a.Promised,
				Accepted: a.Accepted,
				Value:    a.Value,
			}
		}
	}
	return nil
}

// loadLegacy reads a disk of the version before epochs. Founders were told apart by their names alone; a disk that is
// complete is the one that was meant.
func (s *DurableState) loadLegacy(selfName string, records map[string][]byte) error {
	var founders []rpc.Node
	if err := json.Unmarshal(records[legacyFounders], &founders); err != nil {
		return &RecordError{legacyFounders, err}
	}
	s.StoreID, s.MayHaveLostState = legacyStoreID(selfName), false
	var voters []Voter
	for _, f := range founders {
		voters = append(voters, Voter{Node: f, StoreID: legacyStoreID(f.Name)})
	}
	s.Epoch = Epoch{Number: 1, Voters: sortVoters(voters), InitialSize: len(founders)}
	for name, text := range records {
		registerName, isRegister := strings.CutPrefix(name, legacyRegisterPrefix)
		if isRegister && len(text) >= legacyVersionBytes {
			s.Acceptors[registerName] = decodeLegacyRegister(registerName, text)
		}
	}
	return nil
}

func legacyStoreID(nodeName string) string { return "first:" + nodeName }

// decodeLegacyRegister: what orders the values there serves as the ballot too.
func decodeLegacyRegister(name string, text []byte) paxos.Acceptor[Register] {
	high, low := binary.BigEndian.Uint64(text), binary.BigEndian.Uint64(text[8:])
	ballot := BallotNumber{Round: high, Incarnation: low}
	return paxos.Acceptor[Register]{
		Promised: ballot,
		Accepted: ballot,
		Value: Register{
			Name:    name,
			Version: Version{Number: high, ID: low},
			Value:   text[legacyVersionBytes:],
		},
	}
}

// noteForeign notes the records that do not count, as the disk has a new identity from now on.
func (s *DurableState) noteForeign(records map[string][]byte) {
	for _, name := range slices.Sorted(maps.Keys(records)) {
		if len(records[name]) > 0 && name != recordDisk {
			s.foreignRecords = append(s.foreignRecords, name)
		}
	}
}

// writeIdentity gives the disk its identity: what it had under another one is emptied, then what it begins with is
// written, its id, and recordComplete last. Before all of it is written the disk does not vote.
func (r *Replica) writeIdentity() {
	state := &r.options.State
	r.identityFailed = false
	write := func(name string, value []byte) {
		r.identityWrites++
		r.persist(name, value, pendingWrite{identity: true})
	}
	for _, name := range state.foreignRecords {
		if !r.isRewritten(name) {
			write(name, nil)
		}
	}
	// What a disk of an older version begins with is on it in records of this version before it votes.
	for _, name := range slices.Sorted(maps.Keys(state.Acceptors)) {
		write(registerRecordName(name), encodeRegister(r.epoch.Number, r.registerFor(name).acceptor))
	}
	if state.Epoch.Number > 0 {
		write(recordEpoch, encodeEpoch(r.epoch))
	}
	// The id comes after the rest. An older disk is complete already: if the power were lost in between, it would pass for
	// one from the system's first start that knows of nothing.
	write(recordDisk, marshal(diskRecord{state.StoreID, !state.MayHaveLostState, r.origin}))
	write(recordComplete, []byte{1})
}

// isRewritten reports whether a foreign record is written anyway, with what has come since the start.
func (r *Replica) isRewritten(record string) bool {
	if record == recordEpoch {
		return r.epoch.Number > 0
	}
	registerName, isRegister := strings.CutPrefix(record, recordRegisterPrefix)
	g := r.registers[registerName]
	return isRegister && g != nil && g.hasAccepted()
}

func registerRecordName(registerName string) string { return recordRegisterPrefix + registerName }

func encodeRegister(epochNumber uint64, a paxos.Acceptor[Register]) []byte {
	return marshal(registerRecord{epochNumber, a.Promised, a.Accepted, a.Value})
}

func encodeEpoch(e Epoch) []byte { return marshal(e) }

func decodeEpoch(b []byte) (e Epoch, err error) {
	err = cbor.Unmarshal(b, &e)
	return e, err
}

func marshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("consensus: %v", err)) // cannot fail: the types above are plain data
	}
	return b
}
