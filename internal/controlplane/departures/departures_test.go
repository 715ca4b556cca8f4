package departures

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
)

// heldDisk keeps writes until the test ends them.
type heldDisk struct {
	records map[string][]byte
	held    []func(error)
}

func (d *heldDisk) PutAsync(name string, value []byte, done func(error)) {
	d.held = append(d.held, func(err error) {
		if err == nil {
			d.records[name] = value
		}
		done(err)
	})
}

// end ends all writes that are held.
func (d *heldDisk) end(err error) {
	held := d.held
	d.held = nil
	for _, write := range held {
		write(err)
	}
}

func load(t *testing.T, d *heldDisk) (*Log, []rpc.Endpoint) {
	t.Helper()
	l, departed, err := Load(d, func(f func()) { f() }, d.records)
	if err != nil {
		t.Error(err)
	}
	return l, departed
}

func endpoint(id string, state rpc.EndpointState, seq uint64) rpc.Endpoint {
	return rpc.Endpoint{ID: id, State: state, Seq: seq, Service: "alpha", Address: "10.0.1.1:8080"}
}

// Guards against a departure that is reported as stored before its state is on the disk, and against a later state that
// is taken for stored because an earlier one was.
func TestStoreWaitsForTheState(t *testing.T) {
	d := &heldDisk{records: map[string][]byte{}}
	l, _ := load(t, d)
	var results []string
	store := func(state rpc.EndpointState, seq uint64) {
		l.Store(endpoint("i", state, seq), func(err error) { results = append(results, fmt.Sprint(state, err)) })
	}
	expect := func(when string, want ...string) {
		t.Helper()
		if !slices.Equal(results, want) {
			t.Errorf("%s: %q, not %q", when, results, want)
		}
		results = nil
	}
	store(rpc.Draining, 4)
	store(rpc.Gone, 5)
	expect("before any write has ended")
	d.end(nil)
	expect("the first state is written", "1 <nil>")
	d.end(errors.New("full"))
	expect("the write of the second one has failed", "2 full")
	store(rpc.Draining, 4)
	expect("the first state again", "1 <nil>")
	store(rpc.Gone, 5)
	d.end(nil)
	expect("the second state again", "2 <nil>")
	if _, departed := load(t, d); len(departed) != 1 || departed[0].State != rpc.Gone || departed[0].Seq != 5 {
		t.Errorf("after a restart: %+v", departed)
	}
}

// Guards against a failed write that is never repeated, a slot that is given up while it is in use, and a slot that is
// not used again.
func TestSweep(t *testing.T) {
	d := &heldDisk{records: map[string][]byte{}}
	l, _ := load(t, d)
	one, two := endpoint("i-1", rpc.Gone, 1), endpoint("i-2", rpc.Draining, 1)
	l.Sweep([]rpc.Endpoint{one, two})
	l.Sweep([]rpc.Endpoint{one, two})
	if len(d.held) != 2 {
		t.Errorf("%d writes in place of one for each departure", len(d.held))
	}
	d.end(errors.New("full"))
	l.Sweep([]rpc.Endpoint{one, two})
	d.end(nil)
	if len(d.records) != 2 {
		t.Errorf("records after a failed write and a sweep: %d", len(d.records))
	}
	l.Sweep([]rpc.Endpoint{two})
	l.Sweep([]rpc.Endpoint{two, endpoint("i-3", rpc.Gone, 1)})
	d.end(nil)
	_, departed := load(t, d)
	if len(d.records) != 2 || len(departed) != 2 || departed[0].ID != "i-2" || departed[1].ID != "i-3" {
		t.Errorf("%d records, departures %+v", len(d.records), departed)
	}
}

// Guards against a stale record of an endpoint that hides its later state, and against a damaged record that hides the
// others.
func TestLoad(t *testing.T) {
	encode := func(r record) []byte {
		value, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	d := &heldDisk{records: map[string][]byte{
		"endpoint/0": encode(record{ID: "i-1", State: rpc.Draining, Seq: 3}),
		"endpoint/4": encode(record{ID: "i-1", State: rpc.Gone, Seq: 4}),
		"endpoint/2": []byte("damaged"),
		"b/charter":  []byte("another package's"),
	}}
	l, departed, err := Load(d, func(f func()) { f() }, d.records)
	var damaged *RecordError
	if !errors.As(err, &damaged) || damaged.Record != "endpoint/2" {
		t.Errorf("the damaged record is reported as %v", err)
	}
	if len(departed) != 1 || departed[0].State != rpc.Gone {
		t.Errorf("departures: %+v", departed)
	}
	if want := []int{0, 1, 2, 3}; !slices.Equal(l.free, want) || l.size != 5 {
		t.Errorf("free slots %v of %d, not %v of 5", l.free, l.size, want)
	}
}
