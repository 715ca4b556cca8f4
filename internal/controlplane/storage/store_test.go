package storage

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/tidwall/wal"

	"elmfold/internal/gateway/apierror"
)

func mustOpen(t testing.TB, dir string, maxBytes int64) (*Store, Recovery) {
	t.Helper()
	s, recovery, err := Open(dir, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, recovery
}

func put(t testing.TB, s *Store, name, value string) {
	t.Helper()
	if err := s.Put(name, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func all(s *Store) map[string]string {
	out := map[string]string{}
	for name, value := range s.All() {
		out[name] = string(value)
	}
	return out
}

// logFile returns the path of the only file in the directory of a store.
func logFile(t testing.TB, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, dirName, "*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	return files[0]
}

// diskWithFile returns a data directory whose store consists of one file.
func diskWithFile(t testing.TB, name string, data []byte) string {
	t.Helper()
	dir := t.TempDir()
	if err := errors.Join(os.Mkdir(filepath.Join(dir, dirName), 0o700),
		os.WriteFile(filepath.Join(dir, dirName, name), data, 0o600)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// threeCommits returns a segment with the CompleteMarker and three further commits, and the end offset of each entry.
func threeCommits(t testing.TB) (name string, file []byte, ends []int) {
	dir := t.TempDir()
	s, recovery := mustOpen(t, dir, 0)
	if recovery != (Recovery{Fresh: true}) {
		t.Fatal(recovery)
	}
	ends = append(ends, int(s.logBytes))
	steps := []func() error{s.MarkComplete, func() error { return s.Put("a", []byte("one")) },
		func() error { return s.Put("b", []byte("two")) }, func() error { return s.Put("a", []byte("three")) }}
	for _, step := range steps {
		if err := step(); err != nil {
			t.Fatal(err)
		}
		info, _ := os.Stat(logFile(t, dir))
		ends = append(ends, int(info.Size()))
	}
	_ = s.Close()
	if err := s.Put("a", nil); !errors.Is(err, errClosed) {
		t.Fatal(err)
	}
	file, _ = os.ReadFile(logFile(t, dir))
	return filepath.Base(logFile(t, dir)), file, ends
}

// Guards against a partial write of the last commit that damages earlier records, counts as lost data or remains after
// the repair.
func TestLastCommitTruncatedAtEachByte(t *testing.T) {
	name, file, ends := threeCommits(t)
	lastStart := ends[len(ends)-2]
	for cut := lastStart; cut <= len(file); cut++ {
		// The rest of an interrupted write is missing or reads as zeros.
		for _, tail := range [][]byte{nil, make([]byte, len(file)-cut)} {
			dir := diskWithFile(t, name, append(slices.Clone(file[:cut]), tail...))
			wantRecords := map[string]string{"a": "one", "b": "two"}
			want := Recovery{Torn: cut+len(tail) > lastStart, Complete: true, Records: 2}
			if cut == len(file) {
				wantRecords["a"], want.Torn = "three", false
			}
			s, got := mustOpen(t, dir, 0)
			if got != want || !maps.Equal(all(s), wantRecords) {
				t.Fatalf("cut at %d: %+v %v", cut, got, all(s))
			}
			put(t, s, "c", "four")
			wantRecords["c"], want.Torn, want.Records = "four", false, 3
			_ = s.Close()
			if s, got = mustOpen(t, dir, 0); got != want || !maps.Equal(all(s), wantRecords) {
				t.Fatalf("cut at %d, reopened: %+v %v", cut, got, all(s))
			}
		}
	}
}

// Guards against a corrupt byte that goes unnoticed, hides later records, or is no longer reported after the repair.
func TestFlippedByte(t *testing.T) {
	name, file, ends := threeCommits(t)
	lastEntry := len(ends) - 1
	for offset := range file {
		corrupt := slices.Clone(file)
		corrupt[offset] ^= 0x5a
		dir := diskWithFile(t, name, corrupt)
		s, recovery := mustOpen(t, dir, 0)
		want := map[string]string{"a": "three", "b": "two"}
		entry, _ := slices.BinarySearch(ends, offset+1)
		// A damaged frame, the byte in front of an entry, loses nothing. A damaged last entry may never have been synced.
		// Damage to any other entry is a loss of synced data.
		isFrame := offset == 0 || slices.Contains(ends, offset)
		switch {
		case !isFrame && entry == lastEntry:
			want["a"] = "one"
		case !isFrame && entry == lastEntry-1:
			delete(want, "b")
		}
		lost := !isFrame && entry < lastEntry
		if !recovery.Torn || recovery.LostData != lost || recovery.Complete == lost || !maps.Equal(all(s), want) {
			t.Fatalf("byte %d (entry %d): %+v %v", offset, entry, recovery, all(s))
		}
		_ = s.Close()
		wantReopened := Recovery{Complete: !lost, Records: len(want)}
		if s, recovery = mustOpen(t, dir, 0); recovery != wantReopened || !maps.Equal(all(s), want) {
			t.Fatalf("byte %d, reopened: %+v %v", offset, recovery, all(s))
		}
	}
}

// faultyLog is a log on a faultyDisk.
type faultyLog struct {
	segmentLog
	disk *faultyDisk
}

// faultyDisk injects faults into the writes of a log, and keeps what was synced.
type faultyDisk struct {
	dir          string
	mu           sync.Mutex
	full         bool // writes fail after a few bytes
	removeFile   bool // a failing write also removes the segment
	syncs        int
	synced       []byte        // the segment as of the last sync
	syncStarted  chan struct{} // gets a value at the start of each sync, if continueSync is set
	continueSync chan struct{} // if set, each sync waits for a value
}

func (d *faultyDisk) open(path string) (segmentLog, error) {
	inner, err := wal.Open(path, &wal.Options{NoSync: true, SegmentSize: 1 << 40})
	return faultyLog{inner, d}, err
}

func (f faultyLog) WriteBatch(b *wal.Batch) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if !f.disk.full {
		return f.segmentLog.WriteBatch(b)
	}
	// A part of the commit still fits on the disk.
	files, _ := filepath.Glob(filepath.Join(f.disk.dir, dirName, "*"))
	file, _ := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	_, _ = file.Write([]byte{40, magic[0], magic[1]})
	if f.disk.removeFile {
		_ = os.Remove(files[0])
	}
	return errors.Join(syscall.ENOSPC, file.Close())
}

func (f faultyLog) Sync() error {
	if f.disk.continueSync != nil {
		f.disk.syncStarted <- struct{}{}
		<-f.disk.continueSync
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.syncs++
	files, _ := filepath.Glob(filepath.Join(f.disk.dir, dirName, "*"))
	f.disk.synced, _ = os.ReadFile(files[0])
	return f.segmentLog.Sync()
}

// Guards against a Put that returns before its record is synced: a power failure would lose the record.
func TestPowerFailureAfterPut(t *testing.T) {
	d := &faultyDisk{dir: t.TempDir()}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for i := range 20 {
		put(t, s, "v", fmt.Sprint(i))
		restarted, recovery := mustOpen(t, diskWithFile(t, filepath.Base(logFile(t, d.dir)), d.synced), 0)
		if got, _ := restarted.Get("v"); string(got) != fmt.Sprint(i) || recovery.Torn {
			t.Fatalf("%q after the Put of %d: %+v", got, i, recovery)
		}
	}
}

// Guards against a store that stays unusable after a failed write, or shows a value that is not durable.
func TestRecoversFromFullDisk(t *testing.T) {
	d := &faultyDisk{dir: t.TempDir()}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, "a", "one")
	for i := range 3 {
		d.full = true
		d.removeFile = i == 2
		var apiErr *apierror.Error
		err := s.Put("a", []byte("two"))
		if !errors.As(err, &apiErr) || apiErr.Kind != apierror.NotDurable || !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
		if got, _ := s.Get("a"); string(got) != "one" {
			t.Fatalf("%q", got)
		}
		d.mu.Lock()
		d.full = false
		d.mu.Unlock()
		put(t, s, "b", "three")
	}
	_ = s.Close()
	s, recovery := mustOpen(t, d.dir, 0)
	want := map[string]string{"a": "one", "b": "three"}
	if recovery != (Recovery{Records: 2}) || !maps.Equal(all(s), want) {
		t.Fatal(recovery, all(s))
	}
}

// Requests that arrive during a sync must be written in one commit, and reads must not wait for the disk.
func TestGroupCommit(t *testing.T) {
	d := &faultyDisk{dir: t.TempDir(), continueSync: make(chan struct{}), syncStarted: make(chan struct{})}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 101)
	s.PutAsync("first", nil, func(err error) { results <- err })
	<-d.syncStarted
	for i := range 100 {
		s.PutAsync(fmt.Sprint(i%50), []byte{byte(i)}, func(err error) { results <- err })
	}
	if len(s.All()) != 0 || len(results) != 0 {
		t.Fatal("a record is visible before it is synced")
	}
	d.continueSync <- struct{}{}
	<-d.syncStarted
	d.continueSync <- struct{}{}
	for range 101 {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := s.Get("7"); d.syncs != 2 || !bytes.Equal(got, []byte{57}) || len(s.All()) != 51 {
		t.Fatal(d.syncs, got)
	}
	_ = s.Close()
}

// Guards against a compaction that loses records or exceeds the disk limit, and against a power failure during a
// compaction that leaves neither the old segment nor the new one readable.
func TestCompaction(t *testing.T) {
	const maxBytes = 100_000
	dir := t.TempDir()
	s, _ := mustOpen(t, dir, maxBytes)
	put(t, s, "old", "kept")
	value := bytes.Repeat([]byte("v"), 30_000)
	for i := range 20 {
		value[0] = byte(i)
		if err := s.Put("v", value); err != nil {
			t.Fatal(i, err)
		}
		if s.logBytes+s.liveBytes > maxBytes {
			t.Fatal(s.logBytes, s.liveBytes)
		}
	}
	if err := s.Put("w", value); !errors.Is(err, errDiskFull) {
		t.Fatal(err)
	}
	put(t, s, "old", "still kept")
	_ = s.Close()
	if s.liveBytes != s.snapshotSize() || logFile(t, dir) == "00000000000000000001" {
		t.Fatal(s.liveBytes, s.snapshotSize())
	}
	name := filepath.Base(logFile(t, dir))
	file, _ := os.ReadFile(logFile(t, dir))
	compacted := encodeSnapshot(s.nextSeq, s.live)
	newName := fmt.Sprintf("%020d", s.nextSeq)
	for secondName, data := range map[string][]byte{newName + ".TEMP": compacted[:len(compacted)/2], newName: compacted} {
		for _, cutBytes := range []int{0, 5} { // off the end of the old segment
			dir := diskWithFile(t, name, file[:len(file)-cutBytes])
			if err := os.WriteFile(filepath.Join(dir, dirName, secondName), data, 0o600); err != nil {
				t.Fatal(err)
			}
			s, recovery := mustOpen(t, dir, maxBytes)
			old, _ := s.Get("old")
			got, _ := s.Get("v")
			torn := cutBytes > 0 && secondName != newName
			want := Recovery{Torn: torn, Records: 2}
			if recovery != want || !bytes.Equal(got, value) || torn != (string(old) == "kept") {
				t.Fatalf("%s: %+v %q", secondName, recovery, old)
			}
			put(t, s, "after", "")
			_ = s.Close()
			logFile(t, dir)
		}
	}
}

func BenchmarkPut(b *testing.B) {
	s, _ := mustOpen(b, b.TempDir(), 0)
	value := bytes.Repeat([]byte("x"), 200)
	for _, size := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", size), func(b *testing.B) {
			b.SetParallelism(size)
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := s.Put("name", value); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
