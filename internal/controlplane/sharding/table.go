package sharding

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controlplane/consensus"
)

// MaxKey is the greatest shard key.
const MaxKey = 1<<16 - 1

// Range is an inclusive range of shard keys.
type Range struct {
	First uint16 `cbor:"1,keyasint"`
	Last  uint16 `cbor:"2,keyasint"`
}

func (r Range) overlaps(o Range) bool { return r.First <= o.Last && o.First <= r.Last }

func (r Range) contains(o Range) bool { return r.First <= o.First && o.Last <= r.Last }

func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }

// Assignment is the stored record of one range. It names every endpoint that may hold a key of the range.
type Assignment struct {
	Range
	Holder string `cbor:"3,keyasint"` // ID of the endpoint that is granted the range, once no Previous holds it any more
	Fence  uint64 `cbor:"4,keyasint"` // of the grants to Holder, and of the releases at Previous
	// Previous are the IDs of endpoints that may still hold the range by grants with lower fences.
	Previous []string `cbor:"5,keyasint,omitempty"`
	Reason   Reason   `cbor:"6,keyasint,omitempty"`
}

// Reason says why a range has its present holder or fence, for operators. Its values are stored and must not change.
type Reason string

// Reasons of an assignment.
const (
	ReasonFirst   Reason = "first"   // no endpoint had the range before
	ReasonLeaving Reason = "leaving" // the holder before is draining or gone, or its zone is evacuated
	ReasonSilent  Reason = "silent"  // the holder before did not answer
	ReasonNew     Reason = "new"     // the holder had no range
	ReasonLoad    Reason = "load"    // the holder before had too much load
	ReasonFence   Reason = "fence"   // the holder knew a higher fence
	ReasonMerge   Reason = "merge"   // the range was united with its neighbour
)

// ServiceTable has the assignments of a service. They are sorted and cover each key exactly once.
type ServiceTable struct {
	Service     string       `cbor:"1,keyasint"`
	Assignments []Assignment `cbor:"2,keyasint"`
}

// Table is the value of the table's register. It is committed before any grant that rests on it is sent.
type Table struct {
	Term      uint64         `cbor:"1,keyasint"` // of the assigner that wrote the table
	LastFence uint64         `cbor:"2,keyasint"` // the highest fence that was ever used
	HoldMs    uint64         `cbor:"3,keyasint"` // the longest hold that was granted
	Services  []ServiceTable `cbor:"4,keyasint"` // sorted by name
	// Addresses has the address of each endpoint that an assignment names, by ID.
	Addresses map[string]string `cbor:"5,keyasint"`
}

func decodeTable(r consensus.Register) (t Table, err error) {
	if len(r.Value) == 0 {
		return t, nil
	}
	err = cbor.Unmarshal(r.Value, &t)
	return t, err
}

func (t *Table) encode() []byte { return mustEncode(t) }

func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("sharding: %v", err)) // impossible: the types are plain data
	}
	return b
}

// clone returns a copy that shares no memory with t that an edit could change.
func (t *Table) clone() *Table {
	c := *t
	c.Services = slices.Clone(t.Services)
	for i := range c.Services {
		c.Services[i].Assignments = slices.Clone(c.Services[i].Assignments)
	}
	c.Addresses = maps.Clone(t.Addresses)
	if c.Addresses == nil {
		c.Addresses = map[string]string{}
	}
	return &c
}

// service returns the assignments of a service, or nil.
func (t *Table) service(name string) *ServiceTable {
	for i := range t.Services {
		if t.Services[i].Service == name {
			return &t.Services[i]
		}
	}
	return nil
}

// addService adds a service without assignments.
func (t *Table) addService(name string) *ServiceTable {
	t.Services = append(t.Services, ServiceTable{Service: name})
	slices.SortFunc(t.Services, func(a, b ServiceTable) int { return cmp.Compare(a.Service, b.Service) })
	return t.service(name)
}

// nextFence returns a fence that was never used.
func (t *Table) nextFence() uint64 {
	t.LastFence++
	return t.LastFence
}

// pruneAddresses removes the addresses of endpoints that no assignment names.
func (t *Table) pruneAddresses() {
	named := map[string]bool{}
	for i := range t.Services {
		for _, a := range t.Services[i].Assignments {
			named[a.Holder] = true
			for _, id := range a.Previous {
				named[id] = true
			}
		}
	}
	maps.DeleteFunc(t.Addresses, func(id, _ string) bool { return !named[id] })
}

// claimTable returns the change by which the assigner of a term takes over the table. From then on no assigner of an
// earlier term can change it.
func claimTable(term uint64, incarnation uint64) consensus.ChangeFunc {
	return func(committed consensus.Register, _ consensus.Age) (consensus.Register, consensus.Outcome) {
		t, err := decodeTable(committed)
		if err != nil || t.Term > term {
			return committed, consensus.Conflict
		}
		t.Term = term
		return nextVersion(committed, incarnation, t.encode()), consensus.Committed
	}
}

// writeTable returns the change by which the assigner of the table's term replaces it.
func writeTable(t *Table, incarnation uint64, unfenced bool) consensus.ChangeFunc {
	value := t.encode()
	return func(committed consensus.Register, _ consensus.Age) (consensus.Register, consensus.Outcome) {
		current, err := decodeTable(committed)
		if err != nil || current.Term != t.Term && !unfenced {
			return committed, consensus.Conflict
		}
		return nextVersion(committed, incarnation, value), consensus.Committed
	}
}

func nextVersion(committed consensus.Register, incarnation uint64, value []byte) consensus.Register {
	return consensus.Register{
		Name:    committed.Name,
		Version: consensus.Version{Number: committed.Version.Number + 1, ID: incarnation},
		Value:   value,
	}
}
