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

// Record names. A disk keeps only the newest record of each name, so that its size grows with the number of registers
// and not with the number of changes. The names, and the CBOR keys of the records, are stored and must not change.
const (
	recordDisk            = "disk"     // diskRecord
	recordEpoch           = "epoch"    // the newest Epoch
	recordsCompleteMarker = "complete" // present while no record is known to be lost
	recordRegisterPrefix  = "b/"       // followed by the register's name: registerRecord

	// Records of the version before epochs: the initial voters, and the version and value of each register.
	legacyInitialVoters  = "founders"
	legacyRegisterPrefix = "r/"
	legacyVersionBytes   = 16
)

// DurableState is the state that is read from a disk at the start.
type DurableState struct {
	StoreID          string
	MayHaveLostState bool       // not from the cluster's first start, so that it may have forgotten an epoch or votes
	Identified       bool       // StoreID is on disk
	Origin           rpc.Origin // set if the disk is from the cluster's first start
	Epoch            Epoch
	Acceptors        map[string]paxos.Acceptor[Register] // by register name

	foreignRecords []string // written under another identity; they are erased
}

type diskRecord struct {
	ID                  string     `cbor:"1,keyasint"`
	WrittenAtFirstStart bool       `cbor:"2,keyasint,omitempty"` // the first start of the cluster
	Origin              rpc.Origin `cbor:"3,keyasint,omitzero"`  // set if WrittenAtFirstStart
}

type registerRecord struct {
	EpochNumber uint64       `cbor:"1,keyasint"` // epoch register only: the epoch whose successor it decides
	Promised    BallotNumber `cbor:"2,keyasint"`
	Accepted    BallotNumber `cbor:"3,keyasint"`
	Value       Register     `cbor:"4,keyasint"`
}

// RecordError reports a record that cannot be decoded.
type RecordError struct {
	Record string
	Cause  error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Record, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// LoadState decodes the records of a disk. complete tells whether the disk has recordsCompleteMarker. firstStart tells
// whether this is the cluster's first start, with an empty disk. newStoreID becomes the id of a disk that is new or may
// have forgotten votes.
//
// A decoding error is a *RecordError. The caller must not treat it as an empty disk, because the disk may have voted.
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
	case complete && len(records[legacyInitialVoters]) > 0:
		err = s.loadLegacy(selfName, records)
	default:
		s.collectForeignRecords(records)
	}
	return s, err
}

func (s *DurableState) load(records map[string][]byte) error {
	var disk diskRecord
	if err := cbor.Unmarshal(records[recordDisk], &disk); err != nil {
		return &RecordError{recordDisk, err}
	}
	s.StoreID, s.MayHaveLostState, s.Identified = disk.ID, !disk.WrittenAtFirstStart, true
	s.Origin = disk.Origin
	if data := records[recordEpoch]; len(data) > 0 {
		var err error
		if s.Epoch, err = decodeEpoch(data); err != nil {
			return &RecordError{recordEpoch, err}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		registerName, isRegister := strings.CutPrefix(name, recordRegisterPrefix)
		if !isRegister || len(records[name]) == 0 {
			continue
		}
		var record registerRecord
		if err := cbor.Unmarshal(records[name], &record); err != nil {
			return &RecordError{name, err}
		}
		if registerName != epochRegister || record.EpochNumber == s.Epoch.Number {
			s.Acceptors[registerName] = paxos.Acceptor[Register]{
				Promised: record.Promised,
				Accepted: record.Accepted,
				Value:    record.Value,
			}
		}
	}
	return nil
}

// loadLegacy decodes the records of the version before epochs. That version identifies disks by node name alone, so a
// complete disk is taken for the one of the initial voter of that name.
func (s *DurableState) loadLegacy(selfName string, records map[string][]byte) error {
	var nodes []rpc.Node
	if err := json.Unmarshal(records[legacyInitialVoters], &nodes); err != nil {
		return &RecordError{legacyInitialVoters, err}
	}
	s.StoreID, s.MayHaveLostState = legacyStoreID(selfName), false
	var voters []Voter
	for _, n := range nodes {
		voters = append(voters, Voter{Node: n, StoreID: legacyStoreID(n.Name)})
	}
	s.Epoch = Epoch{Number: 1, Voters: sortVoters(voters), InitialSize: len(nodes)}
	for name, data := range records {
		registerName, isRegister := strings.CutPrefix(name, legacyRegisterPrefix)
		if isRegister && len(data) >= legacyVersionBytes {
			s.Acceptors[registerName] = decodeLegacyRegister(registerName, data)
		}
	}
	return nil
}

func legacyStoreID(nodeName string) string { return "first:" + nodeName }

// decodeLegacyRegister uses the version of the value as its ballot, because both order the values in the same way.
func decodeLegacyRegister(name string, data []byte) paxos.Acceptor[Register] {
	high, low := binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	ballot := BallotNumber{Round: high, Incarnation: low}
	return paxos.Acceptor[Register]{
		Promised: ballot,
		Accepted: ballot,
		Value: Register{
			Name:    name,
			Version: Version{Number: high, ID: low},
			Value:   data[legacyVersionBytes:],
		},
	}
}

// collectForeignRecords lists the records of the former identity of a disk that gets a new one.
func (s *DurableState) collectForeignRecords(records map[string][]byte) {
	for _, name := range slices.Sorted(maps.Keys(records)) {
		if len(records[name]) > 0 && name != recordDisk {
			s.foreignRecords = append(s.foreignRecords, name)
		}
	}
}

// writeIdentity writes the disk's identity. It first erases the records of another identity, then writes the initial
// state, the id, and recordsCompleteMarker last. The disk does not vote before all of it is written.
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
	// The state of a legacy disk is converted to current records.
	for _, name := range slices.Sorted(maps.Keys(state.Acceptors)) {
		write(registerRecordName(name), encodeRegister(r.epoch.Number, r.registerFor(name).acceptor))
	}
	if state.Epoch.Number > 0 {
		write(recordEpoch, encodeEpoch(r.epoch))
	}
	// The id follows the state. A legacy disk already has recordsCompleteMarker: with the id first, a power loss in
	// between would make it look like an empty disk from the cluster's first start.
	write(recordDisk, marshal(diskRecord{state.StoreID, !state.MayHaveLostState, r.origin}))
	write(recordsCompleteMarker, []byte{1})
}

// isRewritten reports whether a foreign record is overwritten anyway by state that arrived since the start.
func (r *Replica) isRewritten(record string) bool {
	if record == recordEpoch {
		return r.epoch.Number > 0
	}
	registerName, isRegister := strings.CutPrefix(record, recordRegisterPrefix)
	reg := r.registers[registerName]
	return isRegister && reg != nil && reg.hasAccepted()
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
		panic(fmt.Sprintf("consensus: encode record: %v", err)) // unreachable: the record types are plain data
	}
	return b
}
