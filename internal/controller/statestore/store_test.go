package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"elmfold/internal/controller/warmstart"
)

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func record(i int, value float64) Record {
	return Record{Kind: warmstart.Usage, Key: fmt.Sprint(i), Value: value, At: 1000 + int64(i)}
}

// writeStore opens a store, writes records and closes it, as a program without a crash does.
func writeStore(t *testing.T, path string, records ...Record) {
	t.Helper()
	s, _, err := Open(path, "n1", 0, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	s.Put(records...)
	if err := errors.Join(s.Flush(), s.ResetStartCount(), s.Close()); err != nil {
		t.Fatal(err)
	}
}

// readStore opens a store, closes it and returns its records by key.
func readStore(t *testing.T, path string) (map[string]Record, error) {
	t.Helper()
	s, records, err := Open(path, "n1", 0, discardLogger())
	if s == nil {
		return nil, err
	}
	_ = s.ResetStartCount()
	_ = s.Close()
	all := map[string]Record{}
	for _, r := range records {
		all[r.Key] = r
	}
	return all, err
}

// Open returns the newest record of each key.
func TestReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	writeStore(t, path, record(1, 1), record(2, 2))
	writeStore(t, path, record(2, 3))
	all, err := readStore(t, path)
	if err != nil || len(all) != 2 || all["1"] != record(1, 1) || all["2"] != record(2, 3) {
		t.Errorf("read %+v, %v", all, err)
	}
}

// A crash during a batch leaves the state before or after it, or a store that Open reports and replaces. The test
// applies the changed bytes in the order data pages, then meta pages, and truncates the file at various sizes.
func TestCrashDuringWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	var first, second []Record
	for i := range 60 {
		first = append(first, record(i, 1))
		second = append(second, record(i, 2))
	}
	writeStore(t, path, first...)
	s, _, err := Open(path, "n1", 0, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(path) // after Open has counted the start
	s.Put(second...)
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	after, _ := os.ReadFile(path)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	const page = 4096
	size := max(len(before), len(after))
	byteAt := func(b []byte, i int) byte {
		if i < len(b) {
			return b[i]
		}
		return 0
	}
	var changed []int // offsets: data pages first, then the two meta pages
	for i := 2 * page; i < size; i++ {
		if byteAt(before, i) != byteAt(after, i) {
			changed = append(changed, i)
		}
	}
	dataBytes := len(changed)
	for i := range 2 * page {
		if byteAt(before, i) != byteAt(after, i) {
			changed = append(changed, i)
		}
	}
	outcomes := map[string]int{}
	check := func(name string, content []byte) {
		t.Helper()
		crashed := filepath.Join(dir, name)
		if err := os.WriteFile(crashed, content, 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := readStore(t, crashed)
		sum := 0.0
		for _, r := range all {
			sum += r.Value
		}
		switch {
		case err != nil && len(all) == 0 && strings.Contains(err.Error(), "created a new store"):
			outcomes["replaced"]++
		case errors.Is(err, ErrForeign) && len(content) < 20: // too short to have the magic number of bbolt
			outcomes["refused"]++
		case err == nil && len(all) == 60 && sum == 60:
			outcomes["before"]++
		case err == nil && len(all) == 60 && sum == 120:
			outcomes["after"]++
		default:
			t.Fatalf("%s: %d facts with sum %v, %v", name, len(all), sum, err)
		}
		_ = os.Remove(crashed)
	}
	content := bytes.Clone(before)
	content = append(content, make([]byte, size-len(content))...)
	for n, i := range changed {
		content[i] = after[i]
		if n < dataBytes && n%97 == 0 || n >= dataBytes {
			check(fmt.Sprint("partial-", n), content)
		}
	}
	for _, n := range []int{0, 1, 15, 17, 100, page - 1, page, 2*page - 3, 2 * page, 3*page + 7, size - page, size - 1} {
		check(fmt.Sprint("truncated-", n), after[:min(n, len(after))])
	}
	if outcomes["before"] == 0 || outcomes["after"] == 0 || outcomes["replaced"] == 0 {
		t.Errorf("outcomes %v", outcomes)
	}
	t.Logf("outcomes: %v", outcomes)
}

// A failed write keeps the records pending; a later Flush writes them.
func TestWriteErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _, err := Open(path, "n1", 0, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	openDB := s.db
	closedDB, err := bbolt.Open(filepath.Join(t.TempDir(), "gone"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = closedDB.Close()
	s.db = closedDB
	s.mu.Lock() // unlike Put, this does not wake the writer
	s.pending[keyOf(record(1, 1))] = record(1, 1)
	s.mu.Unlock()
	if err := s.Flush(); err == nil || len(s.pending) != 1 {
		t.Errorf("Flush returned %v, %d records are pending", err, len(s.pending))
	}
	s.db = openDB
	if err := errors.Join(s.Flush(), s.ResetStartCount(), s.Close()); err != nil {
		t.Fatal(err)
	}
	if all, err := readStore(t, path); err != nil || len(all) != 1 {
		t.Errorf("read %+v, %v", all, err)
	}
}

// After three starts without ResetStartCount, Open renames the store and creates an empty one.
func TestCrashLoop(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	writeStore(t, path, record(1, 1))
	for start := range 3 {
		s, records, err := open(path, "n1")
		if err != nil || len(records) != 1 {
			t.Fatalf("start %d: %d facts, %v", start, len(records), err)
		}
		_ = s.db.Close() // a crash: no ResetStartCount
	}
	s, records, err := Open(path, "n1", 0, discardLogger())
	if !errors.Is(err, ErrCrashLoop) || len(records) != 0 || s == nil {
		t.Fatalf("after three crashes: %d facts, %v", len(records), err)
	}
	_ = s.Close()
	renamed, _ := filepath.Glob(path + ".aside-*")
	if len(renamed) != 1 {
		t.Fatalf("renamed files: %v", renamed)
	}
	db, err := bbolt.Open(renamed[0], 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket(factBucket).Stats().KeyN != 1 {
			t.Error("the renamed store has lost its fact")
		}
		return nil
	})
	_ = db.Close()
}

// Open refuses a store of a newer version, a store of another controller and another kind of file, and leaves them
// unchanged.
func TestForeignFiles(t *testing.T) {
	dir := t.TempDir()
	newer := filepath.Join(dir, "newer")
	writeStore(t, newer, record(1, 1))
	db, _ := bbolt.Open(newer, 0o600, nil)
	_ = db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{9}) })
	_ = db.Close()
	other := filepath.Join(dir, "other")
	writeStore(t, other, record(1, 1))
	text := filepath.Join(dir, "text")
	if err := os.WriteFile(text, []byte(strings.Repeat("some other text file\n", 500)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, name string
		want       error
	}{{newer, "n1", ErrNewer}, {other, "n2", ErrForeign}, {text, "n1", ErrForeign}} {
		before, _ := os.ReadFile(c.path)
		s, _, err := Open(c.path, c.name, 0, discardLogger())
		after, _ := os.ReadFile(c.path)
		if s != nil || !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.path) || !bytes.Equal(before, after) {
			t.Errorf("%s: %v", c.path, err)
		}
	}
	if renamed, _ := filepath.Glob(filepath.Join(dir, "*aside*")); len(renamed) > 0 {
		t.Errorf("renamed files: %v", renamed)
	}
}

// Flush prunes the oldest records to bound the size of the file.
func TestSizeBound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _, err := Open(path, "n1", 256<<10, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	for batch := range 40 {
		for i := range 500 {
			r := record(batch*500+i, 1)
			r.At = int64(batch*500+i) * 1000
			s.mu.Lock()
			s.pending[keyOf(r)] = r
			s.mu.Unlock()
		}
		if err := s.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.ResetStartCount()
	_ = s.Close()
	info, _ := os.Stat(path)
	all, _ := readStore(t, path)
	if info.Size() > 2<<20 || all["19999"].Value != 1 || all["0"].Value != 0 {
		t.Errorf("%d bytes, %d facts, the newest %+v, the oldest %+v", info.Size(), len(all), all["19999"], all["0"])
	}
}

// Decode returns an error or a record that survives another round trip, for any input.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(record(1, 1)))
	f.Add(Encode(Record{Kind: warmstart.Backend, Key: "s-1", State: warmstart.Draining, Revision: 7, At: 12}))
	f.Add([]byte("12345678"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := Decode(data); err == nil {
			if again, err := Decode(Encode(r)); err != nil || again != r {
				t.Errorf("%+v is decoded as %+v, %v", r, again, err)
			}
		}
	})
}
