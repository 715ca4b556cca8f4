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

func mustOpen(t testing.TB, dir string, most int64) (*Store, Recovery) {
	t.Helper()
	s, found, err := Open(dir, most)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, found
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

// logFile is the one file that a closed store leaves.
func logFile(t testing.TB, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, folder, "*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	return files[0]
}

// place makes a disk with one file of these bytes.
func place(t testing.TB, name string, data []byte) string {
	t.Helper()
	dir := t.TempDir()
	if err := errors.Join(os.Mkdir(filepath.Join(dir, folder), 0o700),
		os.WriteFile(filepath.Join(dir, folder, name), data, 0o600)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// three is the file of three commits after Know, and the offset at which each entry ends.
func three(t testing.TB) (name string, file []byte, ends []int) {
	dir := t.TempDir()
	s, found := mustOpen(t, dir, 0)
	if found != (Recovery{Fresh: true}) {
		t.Fatal(found)
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

func TestEndCutAtEachByte(t *testing.T) {
	name, file, ends := three(t)
	last := ends[len(ends)-2]
	for cut := last; cut <= len(file); cut++ {
		// Cut off, and as a hole of zeros, as a disk leaves a write that it had begun.
		for _, tail := range [][]byte{nil, make([]byte, len(file)-cut)} {
			dir := place(t, name, append(slices.Clone(file[:cut]), tail...))
			want, found := map[string]string{
				"a": "one",
				"b": "two",
			}, Recovery{
				Torn:     cut+len(tail) > last,
				Complete: true,
				Records:  2,
			}
			if cut == len(file) {
				want["a"], found.Torn = "three", false
			}
			s, got := mustOpen(t, dir, 0)
			if got != found || !maps.Equal(all(s), want) {
				t.Fatalf("cut at %d: %+v %v", cut, got, all(s))
			}
			put(t, s, "c", "four")
			want["c"], found.Torn, found.Records = "four", false, 3
			_ = s.Close()
			if s, got = mustOpen(t, dir, 0); got != found || !maps.Equal(all(s), want) {
				t.Fatalf("cut at %d, opened again: %+v %v", cut, got, all(s))
			}
		}
	}
}

func TestFlippedByte(t *testing.T) {
	name, file, ends := three(t)
	for at := range file {
		bad := slices.Clone(file)
		bad[at] ^= 0x5a
		dir := place(t, name, bad)
		s, found := mustOpen(t, dir, 0)
		want := map[string]string{"a": "three", "b": "two"}
		hit, _ := slices.BinarySearch(ends, at+1)
		// A frame (the first byte of an entry) can be mended: nothing is lost. The last entry may be one that was
		// never synced; of the others the disk has forgotten something, and says so after the repair too.
		frame := at == 0 || slices.Contains(ends, at)
		switch {
		case !frame && hit == 4:
			want["a"] = "one"
		case !frame && hit == 3:
			delete(want, "b")
		}
		forgot := !frame && hit < 4
		if !found.Torn || found.LostData != forgot || found.Complete == forgot || !maps.Equal(all(s), want) {
			t.Fatalf("byte %d (entry %d): %+v %v", at, hit, found, all(s))
		}
		_ = s.Close()
		again := Recovery{Complete: !forgot, Records: len(want)}
		if s, found = mustOpen(t, dir, 0); found != again || !maps.Equal(all(s), want) {
			t.Fatalf("byte %d, opened again: %+v %v", at, found, all(s))
		}
	}
}

// faulty is a log whose disk can be made to fail, and which knows what was synced.
type faulty struct {
	segmentLog
	disk *disk
}

type disk struct {
	dir    string
	mu     sync.Mutex
	full   bool
	gone   bool // its file vanishes too
	syncs  int
	synced []byte // the file as of the last sync
	hold   chan struct{}
	held   chan struct{}
}

func (d *disk) open(path string) (segmentLog, error) {
	inner, err := wal.Open(path, &wal.Options{NoSync: true, SegmentSize: 1 << 40})
	return faulty{inner, d}, err
}

func (f faulty) WriteBatch(b *wal.Batch) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if !f.disk.full {
		return f.segmentLog.WriteBatch(b)
	}
	// The front of the commit still found room.
	files, _ := filepath.Glob(filepath.Join(f.disk.dir, folder, "*"))
	file, _ := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	_, _ = file.Write([]byte{40, magic[0], magic[1]})
	if f.disk.gone {
		_ = os.Remove(files[0])
	}
	return errors.Join(syscall.ENOSPC, file.Close())
}

func (f faulty) Sync() error {
	if f.disk.hold != nil {
		f.disk.held <- struct{}{}
		<-f.disk.hold
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.syncs++
	files, _ := filepath.Glob(filepath.Join(f.disk.dir, folder, "*"))
	f.disk.synced, _ = os.ReadFile(files[0])
	return f.segmentLog.Sync()
}

// A loss of power at the moment that a Put returns leaves what was synced: the record must be in it.
func TestLossOfPower(t *testing.T) {
	d := &disk{dir: t.TempDir()}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for i := range 20 {
		put(t, s, "v", fmt.Sprint(i))
		after, found := mustOpen(t, place(t, filepath.Base(logFile(t, d.dir)), d.synced), 0)
		if got, _ := after.Get("v"); string(got) != fmt.Sprint(i) || found.Torn {
			t.Fatalf("%q after the Put of %d: %+v", got, i, found)
		}
	}
}

func TestFullDiskHeals(t *testing.T) {
	d := &disk{dir: t.TempDir()}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, "a", "one")
	for i := range 3 {
		d.full = true
		d.gone = i == 2
		var f *apierror.Error
		err := s.Put("a", []byte("two"))
		if !errors.As(err, &f) || f.Kind != apierror.NotDurable || !errors.Is(err, syscall.ENOSPC) {
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
	s, found := mustOpen(t, d.dir, 0)
	if want := map[string]string{"a": "one", "b": "three"}; found != (Recovery{Records: 2}) || !maps.Equal(all(s), want) {
		t.Fatal(found, all(s))
	}
}

// While the disk hangs in one sync, a hundred Puts come: they are one commit, and reads do not wait.
func TestGroupCommit(t *testing.T) {
	d := &disk{dir: t.TempDir(), hold: make(chan struct{}), held: make(chan struct{})}
	s, _, err := openWith(d.dir, 0, d.open)
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan error, 101)
	s.PutAsync("first", nil, func(err error) { answers <- err })
	<-d.held
	for i := range 100 {
		s.PutAsync(fmt.Sprint(i%50), []byte{byte(i)}, func(err error) { answers <- err })
	}
	if len(s.All()) != 0 || len(answers) != 0 {
		t.Fatal("seen before it was synced")
	}
	d.hold <- struct{}{}
	<-d.held
	d.hold <- struct{}{}
	for range 101 {
		if err := <-answers; err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := s.Get("7"); d.syncs != 2 || !bytes.Equal(got, []byte{57}) || len(s.All()) != 51 {
		t.Fatal(d.syncs, got)
	}
	_ = s.Close()
}

// A rewrite keeps the live records and the bound, and a loss of power within one leaves the old or the new.
func TestRewrite(t *testing.T) {
	const most = 100_000
	dir := t.TempDir()
	s, _ := mustOpen(t, dir, most)
	put(t, s, "old", "kept")
	value := bytes.Repeat([]byte("v"), 30_000)
	for i := range 20 {
		value[0] = byte(i)
		if err := s.Put("v", value); err != nil {
			t.Fatal(i, err)
		}
		if s.logBytes+s.liveBytes > most {
			t.Fatal(s.logBytes, s.liveBytes)
		}
	}
	if err := s.Put("w", value); !errors.Is(err, errDiskFull) {
		t.Fatal(err)
	}
	put(t, s, "old", "still kept")
	_ = s.Close()
	if s.liveBytes != s.liveSize() || logFile(t, dir) == "00000000000000000001" {
		t.Fatal(s.liveBytes, s.liveSize())
	}
	name := filepath.Base(logFile(t, dir))
	file, _ := os.ReadFile(logFile(t, dir))
	next := encodeSnapshot(s.nextSeq, s.live)
	newName := fmt.Sprintf("%020d", s.nextSeq)
	for file2, data := range map[string][]byte{newName + ".TEMP": next[:len(next)/2], newName: next} {
		for _, torn := range []int{0, 5} { // of the old one
			dir := place(t, name, file[:len(file)-torn])
			if err := os.WriteFile(filepath.Join(dir, folder, file2), data, 0o600); err != nil {
				t.Fatal(err)
			}
			s, found := mustOpen(t, dir, most)
			old, _ := s.Get("old")
			got, _ := s.Get("v")
			lost := torn > 0 && file2 != newName
			if found != (Recovery{Torn: lost, Records: 2}) || !bytes.Equal(got, value) || lost != (string(old) == "kept") {
				t.Fatalf("%s: %+v %q", file2, found, old)
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
