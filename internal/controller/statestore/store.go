// Package statestore keeps facts on disk over crashes: an embedded database (bbolt) with a versioned layout and a
// checksum for each record, written in batches by a goroutine of its own that nobody waits for.
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

// Version of the layout. A store of a newer one is left alone.
const Version = 1

// Record is a fact with the moment, in ms of Unix time, at which it was true.
type Record struct {
	Kind     warmstart.Kind `cbor:"1,keyasint"`
	Key      string         `cbor:"2,keyasint"`
	State    string         `cbor:"3,keyasint,omitempty"`
	Value    float64        `cbor:"4,keyasint,omitempty"`
	Revision int64          `cbor:"5,keyasint,omitempty"`
	At       int64          `cbor:"6,keyasint"`
	Note     string         `cbor:"7,keyasint,omitempty"`
}

// Why a store is not used; errors.Is tells them apart.
var (
	ErrNewer     = errors.New("it is of a newer version")
	ErrForeign   = errors.New("it is another controller's")
	ErrCorrupt   = errors.New("it is broken")
	ErrCrashLoop = errors.New("the program died three times right after it read it")
)

var (
	metaBucket  = []byte("meta")
	factBucket  = []byte("facts")
	versionKey  = []byte("version")
	nameKey     = []byte("name")
	startsKey   = []byte("starts")
	openTimeout = 2 * time.Second
	flushEvery  = 500 * time.Millisecond
	mostStarts  = uint64(3)
	mostWaiting = 100000
)

// Store holds the file of one controller.
type Store struct {
	db       *bbolt.DB
	log      *logrus.Entry
	maxFacts int64 // bytes

	flushing sync.Mutex // one batch at a time: who flushes knows all that was handed over before to be written

	mu      sync.Mutex
	waiting map[string]Record
	dropped int
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// Open opens the store of a controller at a path, a new one where there is none. One that is broken, or at which
// the program has died three times right after its start, is set aside beside it and a new one begun; the error
// then says which, and the Store is there. One of a newer version or of another name is left alone: no Store.
func Open(path, name string, mostBytes int64, log *logrus.Entry) (*Store, []Record, error) {
	s, records, err := open(path, name)
	if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrCrashLoop) {
		aside := fmt.Sprintf("%s.aside-%d", path, time.Now().Unix())
		if e := os.Rename(path, aside); e != nil {
			return nil, nil, fmt.Errorf("%s: %w, and cannot be set aside: %w", path, err, e)
		}
		var again error
		if s, _, again = open(path, name); again != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, again)
		}
		records, err = nil, fmt.Errorf("%s: %w; kept as %s, begun anew", path, err, aside)
	} else if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	s.log, s.maxFacts = log, mostBytes
	s.waiting, s.wake, s.stop, s.done = map[string]Record{}, make(
		chan struct{},
		1,
	), make(
		chan struct{},
	), make(
		chan struct{},
	)
	go s.write()
	return s, records, err
}

// open reads a file whole. A page that is torn can make the library fault: that is an error here.
func open(path, name string) (s *Store, records []Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			s, records, err = nil, nil, fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
		if err != nil && db != nil {
			closeBroken(db)
		}
	}()
	if db, err = openFile(path); err != nil {
		return nil, nil, err
	}
	var loop bool
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		facts, err := tx.CreateBucketIfNotExists(factBucket)
		if err != nil {
			return err
		}
		if loop, err = countStart(meta, name); loop || err != nil {
			return err
		}
		for problem := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrCorrupt, problem)
		}
		records, err = readFacts(facts)
		return err
	})
	if err == nil && loop {
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

// checkFile refuses a file that cannot be a store; one that is missing is made.
func checkFile(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil: // opening tells
		return nil
	case info.Size() == 0:
		return fmt.Errorf("%w: empty", ErrCorrupt)
	case !ours(path):
		return fmt.Errorf("%w: not a store", ErrForeign)
	}
	return nil
}

// readFacts reads all records; one that is not whole costs itself only.
func readFacts(facts *bbolt.Bucket) (records []Record, err error) {
	err = facts.ForEach(func(_, v []byte) error {
		if r, err := Decode(v); err == nil {
			records = append(records, r)
		}
		return nil
	})
	return records, err
}

// closeBroken closes a file that may be broken: the library may panic.
func closeBroken(db *bbolt.DB) {
	defer func() { _ = recover() }()
	_ = db.Close()
}

// countStart counts a start by a controller of that name; loop: there were so many that the file itself may end them.
func countStart(meta *bbolt.Bucket, name string) (loop bool, err error) {
	if v := meta.Get(versionKey); v == nil {
		err = errors.Join(meta.Put(versionKey, binary.AppendUvarint(nil, Version)), meta.Put(nameKey, []byte(name)))
	} else if n, _ := binary.Uvarint(v); n > Version {
		return false, fmt.Errorf("%w: %d, we know %d", ErrNewer, n, Version)
	}
	if err != nil {
		return false, err
	}
	if was := string(meta.Get(nameKey)); was != name {
		return false, fmt.Errorf("%w: %q", ErrForeign, was)
	}
	starts, _ := binary.Uvarint(meta.Get(startsKey))
	if starts >= mostStarts {
		return true, nil
	}
	return false, meta.Put(startsKey, binary.AppendUvarint(nil, starts+1))
}

// Inspect reads a store without changing it; it waits for nobody, so not while a controller holds it.
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
	if !ours(path) {
		return "", nil, fmt.Errorf("%s: %w: not a store", path, ErrForeign)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: 300 * time.Millisecond})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return "", nil, fmt.Errorf("%s: a controller holds it", path)
	} else if err != nil {
		return "", nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		meta, facts := tx.Bucket(metaBucket), tx.Bucket(factBucket)
		if meta == nil || facts == nil {
			return fmt.Errorf("%s: %w: no facts in it", path, ErrForeign)
		}
		if n, _ := binary.Uvarint(meta.Get(versionKey)); n > Version {
			return fmt.Errorf("%s: %w: %d, we know %d", path, ErrNewer, n, Version)
		}
		name = string(meta.Get(nameKey))
		for problem := range tx.Check() {
			return fmt.Errorf("%s: %w: %w", path, ErrCorrupt, problem)
		}
		return facts.ForEach(func(k, v []byte) error {
			r, err := Decode(v)
			if err != nil {
				return fmt.Errorf("%s: the fact %q: %w", path, k, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return name, records, err
}

// ours says whether a file begins as the library's do.
func ours(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return true // the library says it better
	}
	defer func() { _ = f.Close() }()
	head := make([]byte, 4096+24)
	n, _ := f.Read(head)
	const magic, at = 0xED0CDAED, 16
	first := n >= at+4 && binary.LittleEndian.Uint32(head[at:]) == magic
	second := n >= 4096+at+4 && binary.LittleEndian.Uint32(head[4096+at:]) == magic
	return first || second
}

// Encode writes a record with its checksum.
func Encode(r Record) []byte {
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // no Record is unwritable
	}
	return append(binary.LittleEndian.AppendUint64(nil, xxh3.Hash(body)), body...)
}

var errSum = errors.New("the checksum does not fit")

// Decode reads one.
func Decode(text []byte) (r Record, err error) {
	if len(text) < 8 || binary.LittleEndian.Uint64(text) != xxh3.Hash(text[8:]) {
		return r, errSum
	}
	return r, cbor.Unmarshal(text[8:], &r)
}

func keyOf(r Record) string { return string(byte(r.Kind)) + r.Key }

// Put hands over records to be written with the next batch; it never waits. The newest of a key counts.
func (s *Store) Put(records ...Record) {
	s.mu.Lock()
	for _, r := range records {
		if len(s.waiting) >= mostWaiting {
			s.dropped++
			continue
		}
		s.waiting[keyOf(r)] = r
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ResetStartCount says that the program has run long enough not to be in a loop.
func (s *Store) ResetStartCount() error {
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(startsKey, nil) })
}

// Close writes what waits and closes the file.
func (s *Store) Close() error {
	close(s.stop)
	<-s.done
	return s.db.Close()
}

func (s *Store) write() {
	defer close(s.done)
	failed := false
	for {
		select {
		case <-s.wake:
		case <-s.stop:
			s.report(&failed, s.Flush())
			return
		}
		s.report(&failed, s.Flush())
		select {
		case <-time.After(flushEvery):
		case <-s.stop:
			s.report(&failed, s.Flush())
			return
		}
	}
}

// report logs the first of several failures, and their end.
func (s *Store) report(failed *bool, err error) {
	if (err != nil) == *failed || s.log == nil {
		return
	}
	if *failed = err != nil; *failed {
		s.log.WithField("reason", "store").Errorf("facts are not kept: %v", err)
	} else {
		s.log.Info("facts are kept again")
	}
}

// Flush writes what waits as one batch, all or nothing. What could not be written waits on.
func (s *Store) Flush() error {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	s.mu.Lock()
	batch := s.waiting
	s.waiting = map[string]Record{}
	s.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		facts := tx.Bucket(factBucket)
		if s.maxFacts > 0 && tx.Size() > s.maxFacts { // the oldest half goes
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
			if _, newer := s.waiting[key]; !newer {
				s.waiting[key] = r
			}
		}
		s.mu.Unlock()
	}
	return err
}

// prune takes out the records that are older than the mean.
func prune(facts *bbolt.Bucket) error {
	var sum, n int64
	at := map[string]int64{}
	_ = facts.ForEach(func(k, v []byte) error {
		if r, err := Decode(v); err == nil {
			at[string(k)] = r.At
			sum, n = sum+r.At/1000, n+1
		} else {
			at[string(k)] = 0
		}
		return nil
	})
	for k, t := range at {
		if n == 0 || t/1000 <= sum/n {
			if err := facts.Delete([]byte(k)); err != nil {
				return err
			}
		}
	}
	return nil
}
