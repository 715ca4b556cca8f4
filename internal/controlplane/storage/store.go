// Package storage keeps the named records of one machine on its disk, the newest version of each. It is a local file of
// versions, never a replicated log. What was acknowledged lasts over a kill and over a loss of power; what the disk has
// lost of it is reported by Open.
//
// The records lie in one segment of a write-ahead log (tidwall/wal). Each commit is appended and synced; once the
// log is several times as large as the records in it, they are written to a new segment, which takes the place of
// the old one.
//
//	store.go    the interface, and the queue to the writer
//	writer.go   the goroutine that owns the disk: commits and their answers
//	segments.go opening, repair, truncation and compaction of the files
//	entry.go    the encoding of an entry, and the scan of a file that may be damaged
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

// CompleteMarker names the record that MarkComplete writes. A disk that has lost something acknowledged loses its
// marker with it, so that a kill right after the repair cannot hide the loss from the next Open. All leaves it out.
const CompleteMarker = "complete"

const (
	folder           = "word" // below the data folder; stored, so it keeps its name
	folderPerms      = 0o700
	filePerms        = 0o600
	maxPendingBytes  = 32 << 20  // of values: a disk that hangs must not fill the memory
	maxNameBytes     = 1<<16 - 1 // the length of a name is stored in 16 bits
	compactionSlack  = 256 << 10 // bytes by which the log may exceed compactionFactor times the live ones
	compactionFactor = 4
)

// Causes of the errors that the Store returns, each in an *apierror.Error.
var (
	errClosed   = errors.New("closed")
	errBacklog  = errors.New("too much waits for the disk")
	errName     = errors.New("a name has 1 to 65535 bytes")
	errDiskFull = errors.New("over the disk space allowed")
)

// Recovery is what Open found on the disk.
type Recovery struct {
	Fresh bool // no file was there: a new disk, or one that lost everything
	// Torn says that something could not be read and was cut off. Without LostData it was of the last commit, which was
	// not finished.
	Torn bool
	// LostData says that what was cut off had been synced, so it may have been acknowledged. The marker is gone too.
	LostData bool
	Complete bool // the marker is there: since MarkComplete nothing acknowledged is known to be lost
	Records  int  // without the marker
}

// segmentLog is what the Store uses of wal.Log.
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

func (w writeRequest) size() int64 { return frameSize(w.name, w.value) }

// Store is the records of one folder. Its methods are safe for concurrent use.
type Store struct {
	dir      string
	maxBytes int64 // of all files; 0: no limit
	openLog  func(dir string) (segmentLog, error)

	mu           sync.RWMutex // never held while the disk is waited for
	live         map[string][]byte
	pending      []writeRequest
	pendingBytes int // of the values that were not answered yet
	closed       bool
	wake         chan struct{}
	done         chan struct{} // closed when the writer has ended
	closeErr     error         // of the log at the end, to be read after done

	// The fields below belong to the writer.

	log       segmentLog // nil: the files must be repaired first
	segment   string     // path of the one segment file; "": unknown which one counts, only a compaction repairs
	logBytes  int64      // of the segment, all of it synced
	liveBytes int64      // that a compaction would write
	nextSeq   uint64     // number of the next entry
	compactAt int64      // size of the log at which it is compacted
}

// Open opens or makes the folder dir/word, repairs it, and has all that it returns synced. The files stay under
// maxBytes, a compaction under way included (0: no limit), so the records may take up to a third of it. An error
// (NotDurable) means that the disk cannot be read or written now, and Open may be tried again. It waits for the
// disk.
func Open(dir string, maxBytes int64) (*Store, Recovery, error) {
	return openWith(dir, maxBytes, func(path string) (segmentLog, error) {
		// One segment, compacted as a whole: the library's own truncations rename and remove without a sync of the
		// folder in between, and a loss of power could keep the removal only.
		return wal.Open(path, &wal.Options{
			NoSync:           true, // the writer syncs
			LogFormat:        wal.Binary,
			SegmentSize:      math.MaxInt,
			SegmentCacheSize: 1,
			DirPerms:         folderPerms,
			FilePerms:        filePerms,
		})
	})
}

func openWith(dir string, maxBytes int64, openLog func(string) (segmentLog, error)) (*Store, Recovery, error) {
	s := &Store{
		dir:      filepath.Join(dir, folder),
		maxBytes: maxBytes,
		openLog:  openLog,
		live:     map[string][]byte{},
		nextSeq:  1,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	found, err := s.load(dir)
	if err != nil {
		return nil, Recovery{}, s.notDurable(err)
	}
	go s.run()
	return s, found, nil
}

// Get is a copy of the newest value that is safe on the disk. It never waits for the disk.
func (s *Store) Get(name string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.live[name]
	return bytes.Clone(value), ok
}

// All is a copy of all records, without the marker. It never waits for the disk.
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

// MarkComplete records that this disk holds all that it must: from now on it may vote. It waits for the disk.
func (s *Store) MarkComplete() error { return s.Put(CompleteMarker, []byte{1}) }

// Put returns once the record, or a later Put of its name, is synced: nil, or an *apierror.Error. NotDurable: it
// may be on the disk or not, and Get shows what was before; the store repairs itself at the next Put.
// InvalidArgument: the name is not valid.
func (s *Store) Put(name string, value []byte) error {
	answer := make(chan error, 1)
	s.PutAsync(name, value, func(err error) { answer <- err })
	return <-answer
}

// PutAsync is Put without waiting. done is called once, by the writer (before PutAsync returns, if the record is
// refused): it must not wait.
func (s *Store) PutAsync(name string, value []byte, done func(error)) {
	if name == "" || len(name) > maxNameBytes {
		done(apierror.New(apierror.InvalidArgument, s.dir, errName))
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
	s.wakeUp()
	return nil
}

// Close answers what is pending and closes the files. It waits for the disk.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.wakeUp()
	s.mu.Unlock()
	<-s.done
	return s.closeErr
}

func (s *Store) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) notDurable(err error) error { return apierror.New(apierror.NotDurable, s.dir, err) }
