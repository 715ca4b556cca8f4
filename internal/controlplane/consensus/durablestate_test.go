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

func oldRegister(hi, lo uint64, value string) []byte {
	return append(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, hi), lo), value...)
}

// oldRecords are those of a disk of the version before.
func oldRecords(t *testing.T) map[string][]byte {
	t.Helper()
	var all []rpc.Node
	for i := range 3 {
		all = append(all, controllerOf(i))
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return map[string][]byte{
		legacyInitialVoters:             text,
		legacyRegisterPrefix + charter:  oldRegister(7, 99, "seven"),
		legacyRegisterPrefix + "zone/a": oldRegister(1_700_000_000_000, 3, "2b"),
	}
}

func load(t *testing.T, records map[string][]byte, known bool) DurableState {
	t.Helper()
	m, err := LoadState("c0", records, known, false, "drawn")
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func checkOld(t *testing.T, what string, m DurableState) {
	t.Helper()
	if m.StoreID != "first:c0" || m.MayHaveLostState || m.Epoch.Number != 1 || len(m.Epoch.Voters) != 3 ||
		m.Epoch.Voters[2].StoreID != "first:c2" {
		t.Errorf(
			"%s: disk %s, blank %v, epoch %d, voters %v",
			what,
			m.StoreID,
			m.MayHaveLostState,
			m.Epoch.Number,
			ids(m.Epoch.Voters),
		)
	}
	c, z := m.Acceptors[charter], m.Acceptors["zone/a"]
	if c.Value.Version != (Version{Number: 7, ID: 99}) || string(c.Value.Value) != "seven" ||
		c.Accepted != (BallotNumber{Round: 7, Incarnation: 99}) ||
		c.Value.Name != charter {
		t.Errorf("%s: %+v", what, c)
	}
	if e := parseEvacuations(z.Value.Value); e.open != 2 || e.last != lastBegan {
		t.Errorf("%s: %q", what, z.Value.Value)
	}
}

// A disk of the version before is one of its founders, with all that it held; and so it is if power is lost at
// whatever step of its first start with this version.
func TestLoadDiskOfTheVersionBefore(t *testing.T) {
	records := oldRecords(t)
	m := load(t, records, true)
	checkOld(t, "first start", m)
	if m.Identified {
		t.Error("it votes before its records are of this version")
	}
	r := New(Options{Self: controllerOf(0), Incarnation: 1, MaxFaults: 1, Seeds: []string{"a0"}, State: m})
	var puts []Persist
	for _, o := range r.Step(0) {
		if p, is := o.(Persist); is {
			puts = append(puts, p)
		}
	}
	for n := range len(puts) + 1 {
		disk := maps.Clone(records)
		for _, p := range puts[:n] {
			if disk[p.Record] = p.Value; p.Record == recordComplete {
				delete(disk, p.Record) // it was known before; Load is told so
			}
		}
		again := load(t, disk, true)
		checkOld(t, fmt.Sprintf("power lost after %d of %d records", n, len(puts)), again)
	}
}

// What is not known to be whole is somebody new, and keeps nothing of who it was.
func TestLoadForgottenDisk(t *testing.T) {
	records := oldRecords(t)
	records[recordDisk] = marshal(diskRecord{ID: "d1", FirstStart: true})
	records[recordEpoch] = encodeEpoch(Epoch{Number: 4})
	records[registerRecordName(charter)] = encodeRegister(4, load(t, oldRecords(t), true).Acceptors[charter])
	m := load(t, records, false)
	if m.StoreID != "drawn" || !m.MayHaveLostState || m.Identified || m.Epoch.Number != 0 || len(m.Acceptors) > 0 {
		t.Errorf("%+v", m)
	}
	r := New(Options{Self: controllerOf(0), Incarnation: 1, State: m})
	left, last := maps.Clone(records), ""
	for _, o := range r.Step(0) {
		if p, is := o.(Persist); is {
			if last = p.Record; p.Value == nil {
				delete(left, p.Record)
			} else {
				left[p.Record] = p.Value
			}
		}
	}
	if names := slices.Sorted(
		maps.Keys(left),
	); !slices.Equal(names, []string{recordComplete, recordDisk}) ||
		last != recordComplete {
		t.Errorf("it keeps %q, and puts %q last", names, last)
	}
}

// A record that cannot be read ends the start; it must not be taken for nothing.
func TestLoadBrokenRecords(t *testing.T) {
	whole := map[string][]byte{
		recordDisk:                  marshal(diskRecord{ID: "d0", FirstStart: true}),
		recordEpoch:                 encodeEpoch(Epoch{Number: 1}),
		registerRecordName(charter): marshal(registerRecord{}),
	}
	load(t, whole, true)
	for name := range whole {
		broken := maps.Clone(whole)
		broken[name] = broken[name][:len(broken[name])-1]
		if _, err := LoadState("c0", broken, true, false, "drawn"); err == nil {
			t.Errorf("a broken record %s is taken", name)
		}
	}
	old := oldRecords(t)
	old[legacyInitialVoters] = old[legacyInitialVoters][1:]
	if _, err := LoadState("c0", old, true, false, "drawn"); err == nil {
		t.Error("broken founders are taken")
	}
}

// The register of epochs is begun anew by each epoch: what was voted in the one before says nothing in this one.
func TestLoadEpochRegisterOfAnOlderEpoch(t *testing.T) {
	a := load(t, oldRecords(t), true).Acceptors[charter]
	for era, want := range map[uint64]int{3: 0, 4: 1} {
		m := load(
			t,
			map[string][]byte{
				recordDisk:                        marshal(diskRecord{ID: "d0", FirstStart: true}),
				recordEpoch:                       encodeEpoch(Epoch{Number: 4}),
				registerRecordName(epochRegister): encodeRegister(era, a),
			}, true)
		if len(m.Acceptors) != want {
			t.Errorf("of epoch %d in epoch 4: %d", era, len(m.Acceptors))
		}
	}
}
