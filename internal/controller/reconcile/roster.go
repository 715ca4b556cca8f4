// Package reconcile settles what a key-value registry says of the list of backends: which changes the desk is
// told, each once and in order, and what is asked of the registry next. It holds no socket, clock, file or
// goroutine: Step takes a moment and what was heard, and returns orders. The state table and the reasons stand
// in docs/notes/registry.md.
package reconcile

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Time is a moment, as the time since any fixed one; it never goes back.
type Time = time.Duration

// Plan is what a Roster is given once. Spans of zero mean never, and counts of zero nothing, unless told
// otherwise.
type Plan struct {
	Seed      string // of chance: the controller's name and its start
	Prefix    string // keys are Prefix/ID
	Endpoints int    // at least 1; orders name them by index
	Changes   bool   // a watch brings the changes themselves; else only that there are some
	Checks    bool   // Check can be answered

	Page      int // entries asked for at once
	MostPage  int // ... at most, when compaction overtakes the reading
	MostValue int // bytes of a value
	MostKeys  int // of a whole list; beyond that it is refused

	ProgressInterval Time // without a word, after which progress is asked for
	WatchTimeout     Time // without a word, after which a watch is given up
	Answer           Time // that any other answer may take
	Audit            Time // between two checks of what is held
	Pause            Time // after a first failure
	Pauses           Time // at most, while the registry is out of reach
	Refusals         Time // at most, while it refuses us
	Spread           Time // over which controllers that all need the whole list ask for it
	ReadGap          Time // between the beginnings of two whole reads

	HistoryHold Time    // that a drain or an end stands against a list of another history
	KeepEnds    Time    // that an end is remembered
	MostEnds    int     // ... of so many backends at most, the latest
	Shrink      float64 // part of the list that is told to people when it ends at once
}

// Usual is the Plan with every figure that an operator may leave out.
func Usual() Plan {
	return Plan{
		Endpoints:        1,
		Page:             500,
		MostPage:         16000,
		MostValue:        64 << 10,
		MostKeys:         200000,
		ProgressInterval: 700 * time.Millisecond,
		WatchTimeout:     1900 * time.Millisecond,
		Answer:           2 * time.Second,
		Audit:            time.Minute,
		Pause:            50 * time.Millisecond,
		Pauses:           800 * time.Millisecond,
		Refusals:         30 * time.Second,
		Spread:           700 * time.Millisecond,
		ReadGap:          250 * time.Millisecond,
		HistoryHold:      30 * time.Second,
		KeepEnds:         time.Hour,
		MostEnds:         20000,
		Shrink:           0.5,
	}
}

// Event is one of the structs below. Try is the number of the order that it answers: what comes for an older
// one is nobody's.
type Event any

// Raw is a key as the registry holds it. Mod is the revision that it was last changed at; Gone says that it
// was deleted then.
type Raw struct {
	Key   string
	Value []byte
	Mod   int64
	Gone  bool
}

// Page is a part of the whole list at one revision; More says that there is some after its last key.
type Page struct {
	Try      int
	History  uint64 // who numbers the revisions; 0 where that is not told
	Revision int64
	Entries  []Raw
	More     bool
}

// Checked sums up the list at the revision that was checked: how many keys, and which was changed last.
type Checked struct {
	Try     int
	History uint64
	Now     int64 // the revision that the registry is at
	Count   int
	Last    Raw
}

// Opened says that a watch is up, at a registry that has come to this revision.
type Opened struct {
	Try      int
	History  uint64
	Revision int64
}

// Changes brings changes in the order in which they were made, of whole revisions; Part says that the rest of
// the last revision is still to come.
type Changes struct {
	Try     int
	History uint64
	Changes []Raw
	Part    bool
}

// Progress says that all up to this revision has been said on this watch, or, of a watch that brings no
// changes, that the list is at this revision.
type Progress struct {
	Try      int
	History  uint64
	Revision int64
}

// Compacted says that what was asked for, by a Check or else, is no longer held: all from Least on is.
type Compacted struct {
	Try   int
	Least int64
	Check bool
}

// TooLarge says that a page would not fit into one answer.
type TooLarge struct{ Try int }

// Broken says that a try ended.
type Broken struct {
	Try int
	Why Why
	Err error
}

// Wanted asks for the whole list once.
type Wanted struct{}

// Why says how a try ended.
type Why uint8

// Reasons. From Password on the registry was reached and refuses us.
const (
	Lost        Why = iota // the connection was refused or broke
	TimedOut               // no answer in time
	Odd                    // an answer that makes no sense
	Password               // wrong user or password
	Token                  // a token that is expired or unknown
	Forbidden              // the user may not read there
	Certificate            // one of the two sides refuses the other's
)

func (w Why) String() string {
	return [...]string{"lost", "silent", "odd", "password", "token", "forbidden", "certificate"}[w]
}

// Order is one of the structs below; they are carried out in the order given. Of a later Try all earlier ones
// are left.
type Order any

// Tell hands changes, or the whole list, to the desk.
type Tell struct{ List }

// Read asks for a page of the list, from after a key; Revision 0 is the newest.
type Read struct {
	Try, Endpoint, Limit int
	After                string
	Revision             int64
}

// Check asks for a Checked of the list at a revision; Try is that of the watch where one goes on meanwhile.
type Check struct {
	Try, Endpoint int
	Revision      int64
}

// Watch asks for all that changed after a revision. AtOnce asks, of a watch that brings no changes, for a first
// Progress without waiting for one.
type Watch struct {
	Try, Endpoint int
	After         int64
	AtOnce        bool
}

// RequestProgress asks a watch for progress.
type RequestProgress struct{ Try int }

// Leave ends what is under way for a try, with its connection.
type Leave struct{ Try int }

// Fail tells the desk that the source failed; once for each outage.
type Fail struct{}

// Note is a line for people: a change of mode, or an entry that is read past.
type Note struct {
	Warn     bool
	Text     string
	Key      string // of an entry
	Reason   string
	Endpoint int // -1: none
	Revision int64
	Count    int
}

// chance is in [0, 1): the same for a seed and a counter everywhere.
func chance(seed string, counter uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(seed), counter))
	x := h.Sum64() // the last bytes written hardly reach its upper half
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// sum is a fingerprint of a value.
func sum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value)
	return h.Sum64()
}
