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

// Config is what a Roster is given once. Spans of zero mean never, and counts of zero nothing, unless told
// otherwise.
type Config struct {
	Seed              string // of chance: the controller's name and its start
	Prefix            string // keys are Prefix/ID
	Endpoints         int    // at least 1; orders name them by index
	WatchSendsChanges bool   // a watch brings the changes themselves; else only that there are some
	SupportsCheck     bool   // Check can be answered

	PageSize     int // entries asked for at once
	MaxPageSize  int // ... at most, when compaction overtakes the reading
	MaxValueSize int // bytes of a value
	MaxKeys      int // of a whole list; beyond that it is refused

	ProgressInterval   Time // without a word, after which progress is asked for
	WatchTimeout       Time // without a word, after which a watch is given up
	ResponseTimeout    Time // that any other answer may take
	AuditInterval      Time // between two checks of what is held
	MinBackoff         Time // after a first failure
	MaxBackoff         Time // at most, while the registry is out of reach
	MaxRejectedBackoff Time // at most, while it refuses us
	ReloadJitter       Time // over which controllers that all need the whole list ask for it
	MinReloadInterval  Time // between the beginnings of two whole reads

	HistoryHold        Time    // that a drain or an end stands against a list of another history
	TombstoneRetention Time    // that an end is remembered
	MaxTombstones      int     // ... of so many backends at most, the latest
	ShrinkWarnRatio    float64 // part of the list that is told to people when it ends at once
}

// DefaultConfig is the Plan with every figure that an operator may leave out.
func DefaultConfig() Config {
	return Config{
		Endpoints:          1,
		PageSize:           500,
		MaxPageSize:        16000,
		MaxValueSize:       64 << 10,
		MaxKeys:            200000,
		ProgressInterval:   700 * time.Millisecond,
		WatchTimeout:       1900 * time.Millisecond,
		ResponseTimeout:    2 * time.Second,
		AuditInterval:      time.Minute,
		MinBackoff:         50 * time.Millisecond,
		MaxBackoff:         800 * time.Millisecond,
		MaxRejectedBackoff: 30 * time.Second,
		ReloadJitter:       700 * time.Millisecond,
		MinReloadInterval:  250 * time.Millisecond,
		HistoryHold:        30 * time.Second,
		TombstoneRetention: time.Hour,
		MaxTombstones:      20000,
		ShrinkWarnRatio:    0.5,
	}
}

// Event is one of the structs below. Try is the number of the order that it answers: what comes for an older
// one is nobody's.
type Event any

// KeyValue is a key as the registry holds it. Mod is the revision that it was last changed at; Gone says that it
// was deleted then.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool
}

// Page is a part of the whole list at one revision; More says that there is some after its last key.
type Page struct {
	Attempt   int
	ClusterID uint64 // who numbers the revisions; 0 where that is not told
	Revision  int64
	Entries   []KeyValue
	More      bool
}

// CheckResult sums up the list at the revision that was checked: how many keys, and which was changed last.
type CheckResult struct {
	Attempt   int
	ClusterID uint64
	Revision  int64 // the revision that the registry is at
	Count     int
	Last      KeyValue
}

// WatchOpened says that a watch is up, at a registry that has come to this revision.
type WatchOpened struct {
	Attempt   int
	ClusterID uint64
	Revision  int64
}

// Changes brings changes in the order in which they were made, of whole revisions; Part says that the rest of
// the last revision is still to come.
type Changes struct {
	Attempt   int
	ClusterID uint64
	Entries   []KeyValue
	Partial   bool
}

// Progress says that all up to this revision has been said on this watch, or, of a watch that brings no
// changes, that the list is at this revision.
type Progress struct {
	Attempt   int
	ClusterID uint64
	Revision  int64
}

// Compacted says that what was asked for, by a Check or else, is no longer held: all from Least on is.
type Compacted struct {
	Attempt        int
	OldestRevision int64
	ForCheck       bool
}

// PageTooLarge says that a page would not fit into one answer.
type PageTooLarge struct{ Attempt int }

// AttemptFailed says that a try ended.
type AttemptFailed struct {
	Attempt int
	Reason  FailureReason
	Err     error
}

// ReloadRequested asks for the whole list once.
type ReloadRequested struct{}

// FailureReason says how a try ended.
type FailureReason uint8

// Reasons. From BadCredentials on the registry was reached and refuses us.
const (
	ConnectionLost      FailureReason = iota // the connection was refused or broke
	TimedOut                                 // no answer in time
	InvalidResponse                          // an answer that makes no sense
	BadCredentials                           // wrong user or password
	InvalidToken                             // a token that is expired or unknown
	Forbidden                                // the user may not read there
	CertificateRejected                      // one of the two sides refuses the other's
)

func (w FailureReason) String() string {
	return [...]string{"lost", "silent", "odd", "password", "token", "forbidden", "certificate"}[w]
}

// Order is one of the structs below; they are carried out in the order given. Of a later Try all earlier ones
// are left.
type Order any

// PublishList hands changes, or the whole list, to the desk.
type PublishList struct{ List }

// ReadPage asks for a page of the list, from after a key; Revision 0 is the newest.
type ReadPage struct {
	Attempt, Endpoint, Limit int
	AfterKey                 string
	Revision                 int64
}

// Check asks for a Checked of the list at a revision; Try is that of the watch where one goes on meanwhile.
type Check struct {
	Attempt, Endpoint int
	Revision          int64
}

// Watch asks for all that changed after a revision. AtOnce asks, of a watch that brings no changes, for a first
// Progress without waiting for one.
type Watch struct {
	Attempt, Endpoint int
	AfterRevision     int64
	Immediate         bool
}

// RequestProgress asks a watch for progress.
type RequestProgress struct{ Attempt int }

// Cancel ends what is under way for a try, with its connection.
type Cancel struct{ Attempt int }

// PublishFailure tells the desk that the source failed; once for each outage.
type PublishFailure struct{}

// LogEntry is a line for people: a change of mode, or an entry that is read past.
type LogEntry struct {
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
