// Package statestore keeps facts on disk across restarts, in an embedded bbolt database. The layout has a version and
// each record has a checksum. A goroutine writes the records in batches; Put never waits for it.
package statestore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"elmfold/internal/controller/warmstart"
)

// Version is the version of the layout. Open refuses a store of a newer version.
const Version = 1

// Record is a fact with the time at which it was observed.
type Record struct {
	Kind     warmstart.Kind `cbor:"1,keyasint"`
	Key      string         `cbor:"2,keyasint"`
	State    string         `cbor:"3,keyasint,omitempty"`
	Value    float64        `cbor:"4,keyasint,omitempty"`
	Revision int64          `cbor:"5,keyasint,omitempty"`
	At       int64          `cbor:"6,keyasint"` // ms of Unix time
	Note     string         `cbor:"7,keyasint,omitempty"`
}

// Reasons for which a store is not used, for errors.Is.
var (
	ErrNewer     = errors.New("store has a newer version")
	ErrForeign   = errors.New("not a store of this controller")
	ErrCorrupt   = errors.New("store is corrupt")
	ErrCrashLoop = errors.New("the program stopped soon after each of the last three starts")
)

var (
	metaBucket = []byte("meta")
	factBucket = []byte("facts")
	versionKey = []byte("version")
	nameKey    = []byte("name")
	startsKey  = []byte("starts")
)

const (
	openTimeout    = 2 * time.Second
	inspectTimeout = 300 * time.Millisecond
	flushInterval  = 500 * time.Millisecond
	maxStarts      = 3 // without a call of ResetStartCount
	maxPending     = 100000
)

// Store is the open store of one controller.
type Store struct {
	db       *bbolt.DB
	log      *logrus.Entry
	maxBytes int64 // 0: unlimited

	flushing sync.Mutex // serializes Flush, so that it returns after the batches of concurrent calls are written

	mu      sync.Mutex
	pending map[string]Record
	dropped int
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// Open opens or creates the store of a controller and returns its records. If the store is corrupt or in a crash
// loop, Open renames it, creates a new one, and returns both the Store and an error. If the store has a newer version
// or belongs to another controller, Open leaves it unchanged and returns no Store.
func Open(path, name string, maxBytes int64, log *logrus.Entry) (*Store, []Record, error) {
	s, records, err := open(path, name)
	if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrCrashLoop) {
		renamed := fmt.Sprintf("%s.aside-%d", path, time.Now().Unix())
		if renameErr := os.Rename(path, renamed); renameErr != nil {
			return nil, nil, fmt.Errorf("%s: %w, and cannot be renamed: %w", path, err, renameErr)
		}
		var createErr error
		if s, _, createErr = open(path, name); createErr != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, createErr)
		}
		records, err = nil, fmt.Errorf("%s: %w; renamed to %s, created a new store", path, err, renamed)
	} else if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	s.log, s.maxBytes = log, maxBytes
	s.pending = map[string]Record{}
	s.wake = make(chan struct{}, 1)
	s.stop = make(chan struct{})
	s.done = make(chan struct{})
	go s.run()
	return s, records, err
}

// open opens a file, counts the start and reads all records. A corrupt page can make bbolt panic or fault; open
// returns ErrCorrupt for that.
func open(path, name string) (s *Store, records []Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			s, records, err = nil, nil, fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
		if err != nil && db != nil {
			closeCorrupt(db)
		}
	}()
	if db, err = openFile(path); err != nil {
		return nil, nil, err
	}
	var crashLoop bool
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		facts, err := tx.CreateBucketIfNotExists(factBucket)
		if err != nil {
			return err
		}
		if crashLoop, err = countStart(meta, name); crashLoop || err != nil {
			return err
		}
		for problem := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrCorrupt, problem)
		}
		records, err = readFacts(facts)
		return err
	})
	if err == nil && crashLoop {
		err = ErrCrashLoop
	}
	if err != nil {
		return nil, nil, err
	}
	return &Store{db: db}, records, nil
}

func openFile(path string) (*bbolt.DB, error) {
	if err := checkFile(path); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if err == nil || errors.Is(err, os.ErrPermission) || errors.Is(err, bbolterrors.ErrTimeout) {
		return db, err
	}
	return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// checkFile rejects a file that cannot be a store. A missing file is valid.
func checkFile(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil: // bbolt.Open creates the file or reports the error
		return nil
	case info.Size() == 0:
		return fmt.Errorf("%w: empty file", ErrCorrupt)
	case !isDatabase(path):
		return fmt.Errorf("%w: not a bbolt database", ErrForeign)
	}
	return nil
}

// readFacts reads all records, except those with a wrong checksum.
func readFacts(facts *bbolt.Bucket) (records []Record, err error) {
	err = facts.ForEach(func(_, v []byte) error {
		if r, err := Decode(v); err == nil {
			records = append(records, r)
		}
		return nil
	})
	return records, err
}

// closeCorrupt closes a database that may be corrupt. Close may panic for it.
func closeCorrupt(db *bbolt.DB) {
	defer func() { _ = recover() }()
	_ = db.Close()
}

// countStart checks the version and owner, and counts a start. crashLoop reports that the count has reached maxStarts.
func countStart(meta *bbolt.Bucket, name string) (crashLoop bool, err error) {
	if v := meta.Get(versionKey); v == nil {
		err = errors.Join(meta.Put(versionKey, binary.AppendUvarint(nil, Version)), meta.Put(nameKey, []byte(name)))
	} else if version, _ := binary.Uvarint(v); version > Version {
		return false, newerError(version)
	}
	if err != nil {
		return false, err
	}
	if owner := string(meta.Get(nameKey)); owner != name {
		return false, fmt.Errorf("%w: it belongs to %q", ErrForeign, owner)
	}
	starts, _ := binary.Uvarint(meta.Get(startsKey))
	if starts >= maxStarts {
		return true, nil
	}
	return false, meta.Put(startsKey, binary.AppendUvarint(nil, starts+1))
}

func newerError(version uint64) error {
	return fmt.Errorf("%w: %d, the newest supported is %d", ErrNewer, version, Version)
}

// Inspect reads a store without changing it. It returns an error while a controller has the store open.
func Inspect(path string) (name string, records []Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupt, p)
		}
	}()
	if _, err := os.Stat(path); err != nil {
		return "", nil, err
	}
	if !isDatabase(path) {
		return "", nil, fmt.Errorf("%s: %w: not a bbolt database", path, ErrForeign)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: inspectTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return "", nil, fmt.Errorf("%s: a controller has the store open", path)
	} else if err != nil {
		return "", nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		meta, facts := tx.Bucket(metaBucket), tx.Bucket(factBucket)
		if meta == nil || facts == nil {
			return fmt.Errorf("%s: %w: it has no facts", path, ErrForeign)
		}
		if version, _ := binary.Uvarint(meta.Get(versionKey)); version > Version {
			return fmt.Errorf("%s: %w", path, newerError(version))
		}
		name = string(meta.Get(nameKey))
		for problem := range tx.Check() {
			return fmt.Errorf("%s: %w: %w", path, ErrCorrupt, problem)
		}
		return facts.ForEach(func(k, v []byte) error {
			r, err := Decode(v)
			if err != nil {
				return fmt.Errorf("%s: fact %q: %w", path, k, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return name, records, err
}

// isDatabase reports whether one of the two meta pages has the magic number of bbolt. It also returns true for a file
// that cannot be opened, so that bbolt reports the error.
func isDatabase(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return true
	}
	defer func() { _ = f.Close() }()
	const (
		magic       = 0xED0CDAED
		magicOffset = 16
		pageSize    = 4096
	)
	head := make([]byte, pageSize+magicOffset+8)
	n, _ := f.Read(head)
	hasMagic := func(offset int) bool {
		return n >= offset+4 && binary.LittleEndian.Uint32(head[offset:]) == magic
	}
	return hasMagic(magicOffset) || hasMagic(pageSize+magicOffset)
}

// Encode returns the stored form of a record: its checksum and its CBOR.
func Encode(r Record) []byte {
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: every Record has a CBOR form
	}
	return append(binary.LittleEndian.AppendUint64(nil, xxh3.Hash(body)), body...)
}

var errChecksum = errors.New("checksum mismatch")

// Decode is the inverse of Encode.
func Decode(data []byte) (r Record, err error) {
	if len(data) < 8 || binary.LittleEndian.Uint64(data) != xxh3.Hash(data[8:]) {
		return r, errChecksum
	}
	return r, cbor.Unmarshal(data[8:], &r)
}

func keyOf(r Record) string { return string(byte(r.Kind)) + r.Key }

// Put queues records for the next batch. It never waits for the disk. A newer record replaces an older one with the
// same kind and key.
func (s *Store) Put(records ...Record) {
	s.mu.Lock()
	for _, r := range records {
		if len(s.pending) >= maxPending {
			s.dropped++
			continue
		}
		s.pending[keyOf(r)] = r
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ResetStartCount records that the program is not in a crash loop. Call it once the program has run for a while.
func (s *Store) ResetStartCount() error {
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(startsKey, nil) })
}

// Close writes the pending records and closes the file.
func (s *Store) Close() error {
	close(s.stop)
	<-s.done
	return s.db.Close()
}

// run writes batches until the store is closed.
func (s *Store) run() {
	defer close(s.done)
	failed := false
	for {
		select {
		case <-s.wake:
		case <-s.stop:
			s.logResult(&failed, s.Flush())
			return
		}
		s.logResult(&failed, s.Flush())
		select {
		case <-time.After(flushInterval):
		case <-s.stop:
			s.logResult(&failed, s.Flush())
			return
		}
	}
}

// logResult logs the first of consecutive failures, and the first success after them.
func (s *Store) logResult(failed *bool, err error) {
	if (err != nil) == *failed || s.log == nil {
		return
	}
	if *failed = err != nil; *failed {
		s.log.WithField("reason", "store").Errorf("cannot write facts to the store: %v", err)
	} else {
		s.log.Info("facts are written to the store again")
	}
}

// Flush writes the pending records in one transaction. If that fails, they stay pending.
func (s *Store) Flush() error {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	s.mu.Lock()
	batch := s.pending
	s.pending = map[string]Record{}
	s.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		facts := tx.Bucket(factBucket)
		if s.maxBytes > 0 && tx.Size() > s.maxBytes {
			if err := prune(facts); err != nil {
				return err
			}
		}
		for key, r := range batch {
			if err := facts.Put([]byte(key), Encode(r)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		s.mu.Lock()
		for key, r := range batch {
			if _, newer := s.pending[key]; !newer {
				s.pending[key] = r
			}
		}
		s.mu.Unlock()
	}
	return err
}

// prune deletes invalid records and those that are older than the mean time, about half of them.
func prune(facts *bbolt.Bucket) error {
	var sumSeconds, valid int64
	times := map[string]int64{} // by key; 0 for an invalid record
	_ = facts.ForEach(func(k, v []byte) error {
		if r, err := Decode(v); err == nil {
			times[string(k)] = r.At
			sumSeconds, valid = sumSeconds+r.At/1000, valid+1
		} else {
			times[string(k)] = 0
		}
		return nil
	})
	for key, at := range times {
		if valid == 0 || at/1000 <= sumSeconds/valid {
			if err := facts.Delete([]byte(key)); err != nil {
				return err
			}
		}
	}
	return nil
}
