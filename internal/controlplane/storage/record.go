// Package storage keeps one machine's named records on its disk, the newest version of each: a local file of
// versions, never a replicated log. What was acknowledged lasts over a kill and over a loss of power; what the disk
// has lost of it is told by Open.
package storage

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/tidwall/wal"

	"elmfold/internal/gateway/apierror"
)

// Marker names the record that Know writes. A disk that has lost something acknowledged loses its marker with it,
// so that a kill right after the repair can't hide the loss from the next Open. All leaves it out.
const Marker = "complete"

const (
	folder     = "word"
	perms      = 0o600
	mostQueued = 32 << 20  // bytes of values: a disk that hangs must not fill the memory
	mostName   = 1<<16 - 1 // bytes
	slack      = 256 << 10 // bytes by which the log may exceed slackTimes the live ones before it is rewritten
	slackTimes = 4
)

var (
	errClosed = errors.New("closed")
	errQueue  = errors.New("too much waits for the disk")
	errName   = errors.New("a name has 1 to 65535 bytes")
	errRoom   = errors.New("over the disk space allowed")
)

// Found is what Open met.
type Found struct {
	Fresh   bool // no file was there: a new disk, or one that forgot everything
	Torn    bool // something could not be read and was cut. Without Forgot it was of the last commit, unfinished
	Forgot  bool // what was cut had been synced, so it may have been acknowledged; the marker is gone too
	Known   bool // the marker is there: since the last Know nothing acknowledged is known to be lost
	Records int  // without the marker
}

// journal is what the store uses of wal.Log.
type journal interface {
	WriteBatch(*wal.Batch) error
	Sync() error
	Close() error
}

type command struct {
	name  string
	value []byte
	done  func(error)
}

// Store is the records of one folder. Its methods may be called from many goroutines.
type Store struct {
	dir  string
	most int64
	open func(dir string) (journal, error)

	mu     sync.RWMutex // never held while the disk is waited for
	live   map[string][]byte
	queue  []command
	queued int // bytes of the values that have no answer yet
	closed bool
	wake   chan struct{}
	done   chan struct{}
	closes error // of the log at the end, to be read after done

	// The owner's own.
	log    journal // nil: to be healed first
	path   string  // of the one segment file; "": unknown which one counts, only a rewrite heals
	size   int64   // of the file, all of it synced
	liveSz int64   // bytes that a rewrite would write
	next   uint64  // number of the next entry
	tryAt  int64   // size of the log at which it is rewritten
}

// Open opens or makes the folder `dir/word`, repairs it, and has all that it returns synced. The files stay under
// `most` bytes, a rewrite under way included (0: no limit); so the records may take up to a third of it. An error
// (Unsafe) means that the disk can't be read or written now, and Open may be tried again. Waits for the disk.
func Open(dir string, most int64) (*Store, Found, error) {
	return openWith(dir, most, func(path string) (journal, error) {
		// One segment, rewritten whole: the library's own truncations rename and remove without a sync of the
		// folder in between, and a loss of power could keep the removal only.
		return wal.Open(path, &wal.Options{NoSync: true, LogFormat: wal.Binary, SegmentSize: math.MaxInt,
			SegmentCacheSize: 1, DirPerms: 0o700, FilePerms: perms})
	})
}

func openWith(dir string, most int64, open func(string) (journal, error)) (*Store, Found, error) {
	s := &Store{dir: filepath.Join(dir, folder), most: most, open: open, live: map[string][]byte{}, next: 1,
		wake: make(chan struct{}, 1), done: make(chan struct{})}
	found, err := s.load(dir)
	if err != nil {
		return nil, Found{}, s.unsafe(err)
	}
	go s.own()
	return s, found, nil
}

func (s *Store) load(parent string) (found Found, err error) {
	if err = os.MkdirAll(s.dir, 0o700); err == nil {
		err = syncFolder(parent)
	}
	if err != nil {
		return found, err
	}
	segments, err := s.segments()
	if err != nil {
		return found, err
	}
	if len(segments) == 0 {
		found.Fresh = true
		return found, s.rewrite()
	}
	newest := segments[len(segments)-1]
	file, err := os.ReadFile(newest.path)
	if err != nil {
		return found, err
	}
	tail := scan(file, newest.index)
	found.Torn, found.Forgot = tail.good < len(file) || tail.forgot, tail.forgot
	entries := tail.entries
	if tail.forgot {
		// Older files are normally superseded by the newest, which begins with all records: now they may help.
		for _, old := range segments[:len(segments)-1] {
			if file, err = os.ReadFile(old.path); err != nil {
				return found, err
			}
			entries = append(entries, scan(file, old.index).entries...)
		}
		slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
	}
	s.next = newest.index + 1
	for _, e := range entries {
		s.next = max(s.next, e.seq+1)
		if e.name != "" {
			s.live[e.name] = bytes.Clone(e.value)
		}
	}
	if found.Forgot {
		delete(s.live, Marker)
	}
	_, found.Known = s.live[Marker]
	found.Records = len(s.live)
	if found.Known {
		found.Records--
	}
	s.liveSz = s.measure()
	if tail.forgot || tail.beyond {
		return found, s.rewrite()
	}
	// What a killed process wrote is there but perhaps not synced: nobody may hear of it before it is.
	s.path, s.size = newest.path, int64(tail.good)
	s.plan()
	s.sweep()
	if err = s.cut(); err == nil {
		err = syncFolder(s.dir)
	}
	return found, err
}

// Get is a copy of the newest value that is safe on the disk. Never waits for the disk.
func (s *Store) Get(name string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.live[name]
	return bytes.Clone(value), ok
}

// All is a copy of all records, without the marker. Never waits for the disk.
func (s *Store) All() map[string][]byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string][]byte, len(s.live))
	for name, value := range s.live {
		if name != Marker {
			all[name] = bytes.Clone(value)
		}
	}
	return all
}

// Know writes down that this disk holds all that it must: from now on it may vote.
func (s *Store) Know() error { return s.Put(Marker, []byte{1}) }

// Put returns once the record, or a later Put of its name, is synced: nil, or a *apierror.Error. Unsafe: it may be on
// the disk or not, and Get shows what was before; the store heals itself at the next Put. Invalid: the name is.
func (s *Store) Put(name string, value []byte) error {
	answer := make(chan error, 1)
	s.PutAsync(name, value, func(err error) { answer <- err })
	return <-answer
}

// PutAsync is Put without waiting. done is called once, by the store's goroutine (before PutAsync returns, if it
// is refused): it must not wait.
func (s *Store) PutAsync(name string, value []byte, done func(error)) {
	if name == "" || len(name) > mostName {
		done(apierror.New(apierror.InvalidArgument, s.dir, errName))
		return
	}
	if err := s.enqueue(command{name, bytes.Clone(value), done}); err != nil {
		done(s.unsafe(err))
	}
}

func (s *Store) enqueue(c command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if s.queued > 0 && s.queued+len(c.value) > mostQueued {
		return errQueue
	}
	s.queued += len(c.value)
	s.queue = append(s.queue, c)
	s.ring()
	return nil
}

// Close answers what is queued and closes the files. Waits for the disk.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.ring()
	s.mu.Unlock()
	<-s.done
	return s.closes
}

func (s *Store) ring() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// own is the owner's life: the only one that touches the disk after Open. What came while it synced is one commit.
func (s *Store) own() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		queue, closed := s.queue, s.closed
		s.queue = nil
		s.mu.Unlock()
		for len(queue) > 0 {
			queue = queue[s.commit(queue):]
		}
		if closed {
			if s.log != nil {
				if err := s.log.Close(); err != nil {
					s.closes = s.unsafe(err)
				}
			}
			return
		}
	}
}

// commit writes the front of the queue, as much as there is room for, and answers it. It returns how much.
func (s *Store) commit(queue []command) int {
	if err := s.heal(); err != nil {
		return s.answer(queue, err)
	}
	// Of several versions of a name the last is written, and stands for all.
	last := map[string][]byte{}
	var names []string
	var bytes int64
	liveSz, n := s.liveSz, 0
	for _, c := range queue {
		add, instead := frameSize(c.name, c.value), int64(0)
		before, again := last[c.name]
		if again {
			instead = frameSize(c.name, before)
		}
		grow := add - instead
		if held, ok := s.live[c.name]; ok && !again {
			grow -= frameSize(c.name, held)
		}
		// Room for a rewrite must be left, or the log could never be shortened again.
		if s.most > 0 && s.size+bytes+add-instead+liveSz+grow > s.most {
			break
		}
		if !again {
			names = append(names, c.name)
		}
		last[c.name] = c.value
		bytes, liveSz, n = bytes+add-instead, liveSz+grow, n+1
	}
	if n == 0 {
		err := errRoom
		if s.size > s.liveSz {
			if err = s.rewrite(); err == nil {
				return 0
			}
		}
		return s.answer(queue[:1], err)
	}
	var batch wal.Batch
	var b []byte
	for i, name := range names {
		b = appendEntry(b[:0], s.next+uint64(i), s.next, name, last[name])
		batch.Write(s.next+uint64(i), b)
	}
	err := s.log.WriteBatch(&batch)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		// The library's view no longer agrees with the file, and half a commit may stand there. If this can't
		// cut it, the next Put does.
		s.answer(queue[:n], err)
		s.drop()
		_ = s.heal()
		return n
	}
	s.next += uint64(len(names))
	s.size += bytes
	s.liveSz = liveSz
	s.mu.Lock()
	maps.Copy(s.live, last)
	s.mu.Unlock()
	s.answer(queue[:n], nil)
	if s.size > s.tryAt && s.rewrite() != nil {
		s.tryAt = s.size + slack // no room or no disk now: not at each Put again
	}
	return n
}

func (s *Store) answer(queue []command, err error) int {
	if err != nil {
		err = s.unsafe(err)
	}
	freed := 0
	for _, c := range queue {
		freed += len(c.value)
	}
	s.mu.Lock()
	s.queued -= freed
	s.mu.Unlock()
	for _, c := range queue {
		c.done(err)
	}
	return len(queue)
}

func (s *Store) unsafe(err error) error { return apierror.New(apierror.NotDurable, s.dir, err) }

func (s *Store) heal() error {
	switch {
	case s.log != nil:
		return nil
	case s.path == "":
		return s.rewrite()
	}
	return s.cut()
}

// drop lets the log go. Its error says nothing new, and a file that it left open is closed by the collector.
func (s *Store) drop() {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
}

// cut shortens the file to what is known good, syncs it and opens the log on it. It needs no room.
func (s *Store) cut() error {
	path := s.path
	f, err := os.OpenFile(path, os.O_RDWR, perms)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			s.path = "" // taken away under us: memory has it all, so the next one rewrites it
		}
		return err
	}
	info, err := f.Stat()
	if err == nil && info.Size() < s.size {
		s.path = ""
		err = fmt.Errorf("%s: %d bytes, %d were synced", path, info.Size(), s.size)
	} else if err == nil && info.Size() > s.size {
		err = f.Truncate(s.size)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	s.log, err = s.open(s.dir)
	if err != nil {
		s.log = nil // not a journal that holds a nil *wal.Log
	}
	return err
}

// rewrite puts all records into a new file, which takes the place of the others. The steps are ordered so that a
// loss of power after any of them leaves the old file, the new one, or both; a new one under its name is whole.
func (s *Store) rewrite() error {
	name := filepath.Join(s.dir, fmt.Sprintf("%020d", s.next))
	file := snapshot(s.next, s.live)
	if err := writeSynced(name+".TEMP", file); err != nil {
		_ = os.Remove(name + ".TEMP")
		return err
	}
	// From here on the new file may count after a crash, and nothing may be added to the old one.
	s.drop()
	s.path = ""
	s.next += 1 + uint64(len(s.live))
	if err := os.Rename(name+".TEMP", name); err != nil {
		return err
	}
	if err := syncFolder(s.dir); err != nil {
		return err
	}
	s.path, s.size, s.liveSz = name, int64(len(file)), int64(len(file))
	s.plan()
	s.sweep()
	// What comes back of the others after a loss of power is superseded, so this need not succeed.
	_ = syncFolder(s.dir)
	return s.cut()
}

func (s *Store) plan() { s.tryAt = slackTimes*s.liveSz + slack }

func (s *Store) measure() int64 {
	n := framed(fixed + countSz)
	for name, value := range s.live {
		n += frameSize(name, value)
	}
	return n
}

type segmentFile struct {
	index uint64 // of its first entry
	path  string
}

// segments are the files of the log, oldest first.
func (s *Store) segments() ([]segmentFile, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var segments []segmentFile
	for _, f := range files {
		if index, err := strconv.ParseUint(f.Name(), 10, 64); err == nil && len(f.Name()) == 20 && index > 0 {
			segments = append(segments, segmentFile{index, filepath.Join(s.dir, f.Name())})
		}
	}
	return segments, nil
}

// sweep removes all files but the one in use: superseded ones, and beginnings of rewrites that did not end.
func (s *Store) sweep() {
	files, _ := os.ReadDir(s.dir)
	for _, f := range files {
		if f.Name() != filepath.Base(s.path) {
			_ = os.Remove(filepath.Join(s.dir, f.Name()))
		}
	}
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, perms)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
