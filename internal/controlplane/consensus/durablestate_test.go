package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"elmfold/internal/gateway/rpc"
)

// newStoreID is the id for a disk without one.
const newStoreID = "random"

// legacyRegister returns a register record of the previous version.
func legacyRegister(hi, lo uint64, value string) []byte {
	return append(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, hi), lo), value...)
}

// legacyRecords returns the records of a disk as the previous version wrote them.
func legacyRecords(t *testing.T) map[string][]byte {
	t.Helper()
	var nodes []rpc.Node
	for i := range 3 {
		nodes = append(nodes, testNode(i))
	}
	voters, err := json.Marshal(nodes)
	if err != nil {
		t.Fatal(err)
	}
	return map[string][]byte{
		legacyInitialVoters:                   voters,
		legacyRegisterPrefix + configRegister: legacyRegister(7, 99, "seven"),
		legacyRegisterPrefix + "zone/a":       legacyRegister(1_700_000_000_000, 3, "2b"),
	}
}

func loadState(t *testing.T, records map[string][]byte, complete bool) DurableState {
	t.Helper()
	state, err := LoadState("c0", records, complete, false, newStoreID)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func checkLegacyState(t *testing.T, name string, state DurableState) {
	t.Helper()
	if state.StoreID != "first:c0" || state.MayHaveLostState || state.Epoch.Number != 1 || len(state.Epoch.Voters) != 3 ||
		state.Epoch.Voters[2].StoreID != "first:c2" {
		t.Errorf(
			"%s: store %s, may have lost state %v, epoch %d, voters %v",
			name,
			state.StoreID,
			state.MayHaveLostState,
			state.Epoch.Number,
			voterNames(state.Epoch.Voters),
		)
	}
	config, zone := state.Acceptors[configRegister], state.Acceptors["zone/a"]
	if config.Value.Version != (Version{Number: 7, ID: 99}) || string(config.Value.Value) != "seven" ||
		config.Accepted != (BallotNumber{Round: 7, Incarnation: 99}) ||
		config.Value.Name != configRegister {
		t.Errorf("%s: %+v", name, config)
	}
	if e := parseEvacuations(zone.Value.Value); e.open != 2 || e.last != lastBegan {
		t.Errorf("%s: %q", name, zone.Value.Value)
	}
}

// A disk written by the previous version must become one of the initial voters with all its values, even if power is
// lost at any point of the first start with this version.
func TestLoadStateMigratesLegacyRecords(t *testing.T) {
	records := legacyRecords(t)
	state := loadState(t, records, true)
	checkLegacyState(t, "first start", state)
	if state.Identified {
		t.Error("identified before its records are migrated")
	}
	r := New(Options{Self: testNode(0), Incarnation: 1, MaxFaults: 1, Seeds: []string{"a0"}, State: state})
	var writes []Persist
	for _, action := range r.Step(0) {
		if p, ok := action.(Persist); ok {
			writes = append(writes, p)
		}
	}
	for n := range len(writes) + 1 {
		disk := maps.Clone(records)
		for _, p := range writes[:n] {
			if disk[p.Record] = p.Value; p.Record == recordsCompleteMarker {
				delete(disk, p.Record) // LoadState gets it as a parameter
			}
		}
		reloaded := loadState(t, disk, true)
		checkLegacyState(t, fmt.Sprintf("power lost after %d of %d records", n, len(writes)), reloaded)
	}
}

// A disk without the completion mark must get a new id and drop its records.
func TestLoadStateWithoutCompletionMark(t *testing.T) {
	records := legacyRecords(t)
	records[recordDisk] = marshal(diskRecord{ID: "d1", WrittenAtFirstStart: true})
	records[recordEpoch] = encodeEpoch(Epoch{Number: 4})
	records[registerRecordName(configRegister)] = encodeRegister(
		4,
		loadState(t, legacyRecords(t), true).Acceptors[configRegister],
	)
	state := loadState(t, records, false)
	if state.StoreID != newStoreID || !state.MayHaveLostState || state.Identified || state.Epoch.Number != 0 ||
		len(state.Acceptors) > 0 {
		t.Errorf("%+v", state)
	}
	r := New(Options{Self: testNode(0), Incarnation: 1, State: state})
	remaining, last := maps.Clone(records), ""
	for _, action := range r.Step(0) {
		if p, ok := action.(Persist); ok {
			if last = p.Record; p.Value == nil {
				delete(remaining, p.Record)
			} else {
				remaining[p.Record] = p.Value
			}
		}
	}
	names := slices.Sorted(maps.Keys(remaining))
	if !slices.Equal(names, []string{recordsCompleteMarker, recordDisk}) || last != recordsCompleteMarker {
		t.Errorf("records %q are left, and %q is written last", names, last)
	}
}

// Guards against a corrupt record that is treated as a missing one.
func TestLoadStateCorruptRecords(t *testing.T) {
	records := map[string][]byte{
		recordDisk:                         marshal(diskRecord{ID: "d0", WrittenAtFirstStart: true}),
		recordEpoch:                        encodeEpoch(Epoch{Number: 1}),
		registerRecordName(configRegister): marshal(registerRecord{}),
	}
	loadState(t, records, true)
	for name := range records {
		corrupt := maps.Clone(records)
		corrupt[name] = corrupt[name][:len(corrupt[name])-1]
		if _, err := LoadState("c0", corrupt, true, false, newStoreID); err == nil {
			t.Errorf("no error for a corrupt record %s", name)
		}
	}
	legacy := legacyRecords(t)
	legacy[legacyInitialVoters] = legacy[legacyInitialVoters][1:]
	if _, err := LoadState("c0", legacy, true, false, newStoreID); err == nil {
		t.Error("no error for corrupt initial voters")
	}
}

// Votes on the epoch register count only in the epoch in which they were given.
func TestLoadStateDropsEpochVotesOfOlderEpochs(t *testing.T) {
	acceptor := loadState(t, legacyRecords(t), true).Acceptors[configRegister]
	for votedIn, want := range map[uint64]int{3: 0, 4: 1} {
		state := loadState(
			t,
			map[string][]byte{
				recordDisk:                        marshal(diskRecord{ID: "d0", WrittenAtFirstStart: true}),
				recordEpoch:                       encodeEpoch(Epoch{Number: 4}),
				registerRecordName(epochRegister): encodeRegister(votedIn, acceptor),
			}, true)
		if len(state.Acceptors) != want {
			t.Errorf("%d registers are loaded in epoch 4, %d were voted on in epoch %d", len(state.Acceptors), want, votedIn)
		}
	}
}
