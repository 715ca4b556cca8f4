// Package departures keeps on the disk of a control-plane node which endpoints are draining or gone. The registry keeps
// endpoints in memory only, as heartbeats restore the ready ones after a restart. A departure that was acknowledged
// must not depend on that: after a restart of all nodes, a late heartbeat of the endpoint would make it ready again.
//
// Each departure has a record of its own, in a numbered slot. The slot of a departure that the registry has forgotten
// is used again, so the number of records is the greatest number of departures at one time. The record of a free slot
// is empty: an endpoint that was taken for gone, and is used again since, must not be gone again after a restart.
package departures

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
)

// RecordPrefix is the start of the names of the records, which the number of the slot follows. It is stored and must
// not change.
const RecordPrefix = "endpoint/"

// Disk stores records. See controlplane.Disk.
type Disk interface {
	PutAsync(name string, value []byte, done func(error))
}

// record is the stored form of a departure.
type record struct {
	ID    string            `cbor:"1,keyasint"`
	State rpc.EndpointState `cbor:"2,keyasint"`
	Seq   uint64            `cbor:"3,keyasint,omitempty"`
}

// RecordError reports a record that cannot be decoded.
type RecordError struct {
	Record string
	Cause  error // nil if the record names no endpoint
}

func (e *RecordError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("record %s: names no endpoint", e.Record)
	}
	return fmt.Sprintf("record %s: %v", e.Record, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// slot holds the departure of one endpoint.
type slot struct {
	number  int
	stored  rpc.EndpointState // the state on the disk; Ready if there is none
	writing rpc.EndpointState // the state that is being written; Ready if none is
	waiting []waiter
}

// waiter waits until a state is on the disk.
type waiter struct {
	wanted rpc.Endpoint
	done   func(error)
}

// Log is the departures of one disk. It is not safe for concurrent use.
type Log struct {
	disk  Disk
	post  func(func()) // runs a function on the goroutine that uses the Log; must not block
	slots map[string]*slot
	free  []int // numbers of unused slots
	size  int   // number of slots, used or not
}

// Load returns the Log of a disk with the given records, and the departures in them, sorted by id. Records with other
// names are ignored. A record that cannot be decoded is left out, and its slot is used again; err reports it.
func Load(disk Disk, post func(func()), records map[string][]byte) (l *Log, departed []rpc.Endpoint, err error) {
	l = &Log{disk: disk, post: post, slots: map[string]*slot{}}
	taken := map[int]bool{}
	latest := map[string]record{}
	for name, value := range records {
		number, isSlot := slotNumber(name)
		if !isSlot {
			continue
		}
		l.size = max(l.size, number+1)
		if len(value) == 0 {
			continue
		}
		var r record
		if decodeErr := cbor.Unmarshal(value, &r); decodeErr != nil || r.ID == "" {
			err = &RecordError{name, decodeErr}
			continue
		}
		if known, isKnown := latest[r.ID]; isKnown { // its slot was given up, and it was learned again
			if known.State > r.State || known.State == r.State && l.slots[r.ID].number < number {
				continue
			}
			delete(taken, l.slots[r.ID].number)
		}
		latest[r.ID], taken[number] = r, true
		l.slots[r.ID] = &slot{number: number, stored: r.State}
	}
	for number := range l.size {
		if !taken[number] {
			l.free = append(l.free, number)
		}
	}
	for id, r := range latest {
		departed = append(departed, rpc.Endpoint{ID: id, State: r.State, Seq: r.Seq})
	}
	slices.SortFunc(departed, func(a, b rpc.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return l, departed, err
}

func slotNumber(recordName string) (number int, ok bool) {
	digits, hasPrefix := strings.CutPrefix(recordName, RecordPrefix)
	number, err := strconv.Atoi(digits)
	return number, hasPrefix && err == nil && number >= 0
}

func recordName(number int) string { return RecordPrefix + strconv.Itoa(number) }

// Store calls done once the state of a departed endpoint, or a later one, is on the disk, or once a write has failed.
// It may call done before it returns.
func (l *Log) Store(endpoint rpc.Endpoint, done func(error)) {
	s := l.slots[endpoint.ID]
	if s == nil {
		s = &slot{number: l.allocate()}
		l.slots[endpoint.ID] = s
	}
	if s.stored >= endpoint.State {
		done(nil)
		return
	}
	s.waiting = append(s.waiting, waiter{endpoint, done})
	if s.writing == rpc.Ready {
		l.write(s, endpoint)
	}
}

// StoreAll calls done once all of the endpoints that have departed are on the disk, or with the error of one of them.
func (l *Log) StoreAll(endpoints []rpc.Endpoint, done func(error)) {
	departed := slices.DeleteFunc(slices.Clone(endpoints), func(e rpc.Endpoint) bool { return e.State == rpc.Ready })
	if len(departed) == 0 {
		done(nil)
		return
	}
	left := len(departed)
	var firstErr error
	for _, e := range departed {
		l.Store(e, func(err error) {
			if firstErr == nil {
				firstErr = err
			}
			if left--; left == 0 {
				done(firstErr)
			}
		})
	}
}

// Sweep takes over the departures that the registry knows now: it stores those that are not on the disk, such as those
// learned from other nodes and those whose write has failed, and gives up the slots of all others.
func (l *Log) Sweep(departed []rpc.Endpoint) {
	known := make(map[string]bool, len(departed))
	for _, e := range departed {
		known[e.ID] = true
		if s := l.slots[e.ID]; s == nil || s.writing == rpc.Ready {
			l.Store(e, func(error) {}) // the next sweep retries
		}
	}
	for id, s := range l.slots {
		if !known[id] && s.writing == rpc.Ready {
			delete(l.slots, id)
			l.free = append(l.free, s.number)
			l.disk.PutAsync(recordName(s.number), nil, func(error) {}) // a later write to the slot follows it
		}
	}
	slices.Sort(l.free)
}

// allocate returns the number of an unused slot.
func (l *Log) allocate() int {
	if len(l.free) == 0 {
		l.size++
		return l.size - 1
	}
	number := l.free[0]
	l.free = l.free[1:]
	return number
}

func (l *Log) write(s *slot, e rpc.Endpoint) {
	s.writing = e.State
	value, err := cbor.Marshal(record{e.ID, e.State, e.Seq})
	if err != nil {
		panic(fmt.Sprintf("departures: encode record: %v", err)) // unreachable: the record is plain data
	}
	l.disk.PutAsync(recordName(s.number), value, func(err error) {
		l.post(func() { l.onWritten(s, err) })
	})
}

// onWritten ends a write: it answers those that waited for it, and writes the state that the others wait for.
func (l *Log) onWritten(s *slot, err error) {
	written := s.writing
	s.writing = rpc.Ready
	if err == nil {
		s.stored = max(s.stored, written)
	}
	answered := s.waiting
	s.waiting = nil
	for _, w := range answered {
		switch {
		case w.wanted.State <= s.stored:
			w.done(nil)
		case err != nil:
			w.done(err)
		default:
			s.waiting = append(s.waiting, w)
		}
	}
	if len(s.waiting) > 0 && s.writing == rpc.Ready {
		l.write(s, s.waiting[0].wanted)
	}
}
