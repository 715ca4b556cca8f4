// Package storage is a local key-value store: it keeps the newest value of each named record on the disk of one
// machine. Acknowledged writes survive a killed process and a power failure. If the disk has lost some of them, Open
// reports it.
//
// The records are stored in one segment of a write-ahead log (tidwall/wal). Each commit is appended and synced. Once
// the log is several times as large as the records in it, a compaction writes them to a new segment, which replaces the
// old one.
//
//	store.go    the interface, and the queue of write requests
//	writer.go   the goroutine that writes: commits and their acknowledgement
//	segments.go opening, repair, truncation and compaction of the segments
//	entry.go    the encoding of an entry, and the scan of a segment that may be damaged
package storage

import (
	"bytes"
	"errors"
	"math"
	"path/filepath"
	"sync"

	"github.com/tidwall/wal"

	"elmfold/internal/gateway/apierror"
)

// CompleteMarker names the record that MarkComplete writes. All does not return it. Open deletes it when it finds that
// acknowledged data is lost, so that later calls of Open report the disk as incomplete too.
const CompleteMarker = "complete"

const (
	dirName          = "word" // below the data directory; exists on deployed disks
	dirPerms         = 0o700
	filePerms        = 0o600
	maxPendingBytes  = 32 << 20  // of values; limits the memory that requests take while the disk hangs
	maxNameBytes     = 1<<16 - 1 // the length of a name is stored in 16 bits
	compactionSlack  = 256 << 10 // bytes by which the log may exceed compactionFactor times the live records
	compactionFactor = 4
)

// Causes of the errors that Store returns, each wrapped in an *apierror.Error.
var (
	errClosed      = errors.New("the store is closed")
	errBacklog     = errors.New("too many bytes are waiting to be written")
	errInvalidName = errors.New("a record name must have 1 to 65535 bytes")
	errDiskFull    = errors.New("the disk space limit is reached")
)

// Recovery describes the state in which Open found the disk.
type Recovery struct {
	Fresh bool // there was no segment: the disk is new or has lost everything
	// Torn reports that damaged data was cut off. Unless LostData is set, it belonged to an unfinished last commit.
	Torn bool
	// LostData reports that synced data is missing, some of which may have been acknowledged. Open has deleted the
	// CompleteMarker.
	LostData bool
	Complete bool // the CompleteMarker is present: no loss of acknowledged data is known since MarkComplete
	Records  int  // not counting the CompleteMarker
}

// segmentLog is the subset of wal.Log that Store uses.
type segmentLog interface {
	WriteBatch(*wal.Batch) error
	Sync() error
	Close() error
}

type writeRequest struct {
	name  string
	value []byte
	done  func(error)
}

func (w writeRequest) size() int64 { return recordSize(w.name, w.value) }

// Store holds the records of one directory. Its methods are safe for concurrent use.
type Store struct {
	dir      string
	maxBytes int64 // of all files; 0 means no limit
	openLog  func(dir string) (segmentLog, error)

	mu           sync.RWMutex // never held during disk I/O
	live         map[string][]byte
	pending      []writeRequest
	pendingBytes int // of the values that are not acknowledged yet
	closed       bool
	wake         chan struct{}
	done         chan struct{} // closed when the writer has stopped
	closeErr     error         // of closing the log; valid once done is closed

	// Only the writer goroutine uses the fields below.

	log                 segmentLog // nil while the segment needs repair
	segment             string     // path of the current segment; "" if only a compaction can repair the store
	logBytes            int64      // size of the segment, all of it synced
	liveBytes           int64      // size of the segment that a compaction would write
	nextSeq             uint64     // sequence number of the next entry
	compactionThreshold int64      // size of the log at which it is compacted
}

// Open opens or creates the store in dir/word and repairs it. All records that it finds are synced when it returns. The
// files together, including those of a running compaction, stay below maxBytes (0 means no limit), so the records can
// take up to a third of it. A NotDurable error means that the disk cannot be read or written at present; Open may be
// retried.
func Open(dir string, maxBytes int64) (*Store, Recovery, error) {
	return openWith(dir, maxBytes, func(path string) (segmentLog, error) {
		// The log has a single segment, which compact replaces. The truncation of the wal library renames and removes
		// files without syncing the directory in between, so a power failure could persist the removal alone.
		return wal.Open(path, &wal.Options{
			NoSync:           true, // append calls Sync
			LogFormat:        wal.Binary,
			SegmentSize:      math.MaxInt,
			SegmentCacheSize: 1,
			DirPerms:         dirPerms,
			FilePerms:        filePerms,
		})
	})
}

func openWith(dir string, maxBytes int64, openLog func(string) (segmentLog, error)) (*Store, Recovery, error) {
	s := &Store{
		dir:      filepath.Join(dir, dirName),
		maxBytes: maxBytes,
		openLog:  openLog,
		live:     map[string][]byte{},
		nextSeq:  1,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	recovery, err := s.load(dir)
	if err != nil {
		return nil, Recovery{}, s.notDurable(err)
	}
	go s.runWriter()
	return s, recovery, nil
}

// Get returns a copy of the newest synced value of a record. It does not wait for the disk.
func (s *Store) Get(name string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.live[name]
	return bytes.Clone(value), ok
}

// All returns a copy of all records except the CompleteMarker. It does not wait for the disk.
func (s *Store) All() map[string][]byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string][]byte, len(s.live))
	for name, value := range s.live {
		if name != CompleteMarker {
			all[name] = bytes.Clone(value)
		}
	}
	return all
}

// MarkComplete writes the CompleteMarker: the disk holds all data that the node needs to vote. It waits for the disk.
func (s *Store) MarkComplete() error { return s.Put(CompleteMarker, []byte{1}) }

// Put writes a record. It returns once the record, or a later value of the same name, is synced. An error is an
// *apierror.Error: InvalidArgument for an invalid name, otherwise NotDurable. After NotDurable the value may or may not
// be on the disk, Get returns the previous value, and the next Put repairs the store.
func (s *Store) Put(name string, value []byte) error {
	result := make(chan error, 1)
	s.PutAsync(name, value, func(err error) { result <- err })
	return <-result
}

// PutAsync is like Put but does not wait. It calls done once with the result: from the writer goroutine, or before it
// returns if the request is rejected. done must not block.
func (s *Store) PutAsync(name string, value []byte, done func(error)) {
	if name == "" || len(name) > maxNameBytes {
		done(apierror.New(apierror.InvalidArgument, s.dir, errInvalidName))
		return
	}
	if err := s.enqueue(writeRequest{name, bytes.Clone(value), done}); err != nil {
		done(s.notDurable(err))
	}
}

func (s *Store) enqueue(w writeRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if s.pendingBytes > 0 && s.pendingBytes+len(w.value) > maxPendingBytes {
		return errBacklog
	}
	s.pendingBytes += len(w.value)
	s.pending = append(s.pending, w)
	s.wakeWriter()
	return nil
}

// Close writes and acknowledges all pending requests, and then closes the log.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.wakeWriter()
	s.mu.Unlock()
	<-s.done
	return s.closeErr
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) notDurable(err error) error { return apierror.New(apierror.NotDurable, s.dir, err) }
