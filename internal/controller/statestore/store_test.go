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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func record(i int, value float64) Record {
	return Record{Kind: warmstart.Usage, Key: fmt.Sprint(i), Value: value, At: 1000 + int64(i)}
}

// put writes a batch through an open store that is then closed as a program that ends well does.
func put(t *testing.T, path string, records ...Record) {
	t.Helper()
	s, _, err := Open(path, "n1", 0, quiet())
	if err != nil {
		t.Fatal(err)
	}
	s.Put(records...)
	if err := errors.Join(s.Flush(), s.ResetStartCount(), s.Close()); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, path string) (map[string]Record, error) {
	t.Helper()
	s, records, err := Open(path, "n1", 0, quiet())
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

func TestKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	put(t, path, record(1, 1), record(2, 2))
	put(t, path, record(2, 3))
	all, err := read(t, path)
	if err != nil || len(all) != 2 || all["1"] != record(1, 1) || all["2"] != record(2, 3) {
		t.Errorf("read %+v, %v", all, err)
	}
}

// Case 1: killed at each write. The pages of a batch reach the disk in any order up to the last, the one that makes
// it count; cut at bytes all over it the store opens with the state before or after, whole, or begins anew and says
// so.
func TestCase1Cut(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	var first, second []Record
	for i := range 60 {
		first = append(first, record(i, 1))
		second = append(second, record(i, 2))
	}
	put(t, path, first...)
	s, _, err := Open(path, "n1", 0, quiet())
	if err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(path) // as it is once the start is counted
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
	at := func(b []byte, i int) byte {
		if i < len(b) {
			return b[i]
		}
		return 0
	}
	var bytesOf []int // that differ: data first, the two pages that make it count last
	for i := 2 * page; i < size; i++ {
		if at(before, i) != at(after, i) {
			bytesOf = append(bytesOf, i)
		}
	}
	data := len(bytesOf)
	for i := range 2 * page {
		if at(before, i) != at(after, i) {
			bytesOf = append(bytesOf, i)
		}
	}
	seen := map[string]int{}
	check := func(name string, text []byte) {
		t.Helper()
		cut := filepath.Join(dir, name)
		if err := os.WriteFile(cut, text, 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := read(t, cut)
		sum := 0.0
		for _, r := range all {
			sum += r.Value
		}
		switch {
		case err != nil && len(all) == 0 && strings.Contains(err.Error(), "begun anew"):
			seen["anew"]++
		case errors.Is(err, ErrForeign) && len(text) < 20: // too short to be told from a file that is not ours
			seen["left alone"]++
		case err == nil && len(all) == 60 && sum == 60:
			seen["before"]++
		case err == nil && len(all) == 60 && sum == 120:
			seen["after"]++
		default:
			t.Fatalf("%s: %d facts that sum to %v, %v", name, len(all), sum, err)
		}
		_ = os.Remove(cut)
	}
	text := bytes.Clone(before)
	text = append(text, make([]byte, size-len(text))...)
	for n, i := range bytesOf {
		text[i] = after[i]
		if n < data && n%97 == 0 || n >= data {
			check(fmt.Sprint("cut-", n), text)
		}
	}
	for _, n := range []int{0, 1, 15, 17, 100, page - 1, page, 2*page - 3, 2 * page, 3*page + 7, size - page, size - 1} {
		check(fmt.Sprint("short-", n), after[:min(n, len(after))])
	}
	if seen["before"] == 0 || seen["after"] == 0 || seen["anew"] == 0 {
		t.Errorf("seen %v", seen)
	}
	t.Logf("cuts: %v", seen)
}

// Case 1: a disk that answers errors loses nothing: what could not be written waits, and goes with a later batch.
func TestCase1Errors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _, err := Open(path, "n1", 0, quiet())
	if err != nil {
		t.Fatal(err)
	}
	good := s.db
	closed, err := bbolt.Open(filepath.Join(t.TempDir(), "gone"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	s.db = closed
	s.mu.Lock() // as Put does, without waking the writer
	s.waiting[keyOf(record(1, 1))] = record(1, 1)
	s.mu.Unlock()
	if err := s.Flush(); err == nil || len(s.waiting) != 1 {
		t.Errorf("%v, %d wait", err, len(s.waiting))
	}
	s.db = good
	if err := errors.Join(s.Flush(), s.ResetStartCount(), s.Close()); err != nil {
		t.Fatal(err)
	}
	if all, err := read(t, path); err != nil || len(all) != 1 {
		t.Errorf("read %+v, %v", all, err)
	}
}

// Case 6: the program dies within seconds of each start: after the third time the state is set aside, kept, and
// it starts cold; one that ran well is not counted.
func TestCase6CrashLoop(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	put(t, path, record(1, 1))
	for start := range 3 {
		s, records, err := open(path, "n1")
		if err != nil || len(records) != 1 {
			t.Fatalf("start %d: %d facts, %v", start, len(records), err)
		}
		_ = s.db.Close() // and dies
	}
	s, records, err := Open(path, "n1", 0, quiet())
	if !errors.Is(err, ErrCrashLoop) || len(records) != 0 || s == nil {
		t.Fatalf("after three deaths: %d facts, %v", len(records), err)
	}
	_ = s.Close()
	aside, _ := filepath.Glob(path + ".aside-*")
	if len(aside) != 1 {
		t.Fatalf("set aside: %v", aside)
	}
	db, err := bbolt.Open(aside[0], 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket(factBucket).Stats().KeyN != 1 {
			t.Error("what was set aside lost its fact")
		}
		return nil
	})
	_ = db.Close()
}

// Case 7: a store of a newer version, of another name, and a file that is not ours are left as they are.
func TestCase7NotOurs(t *testing.T) {
	dir := t.TempDir()
	newer := filepath.Join(dir, "newer")
	put(t, newer, record(1, 1))
	db, _ := bbolt.Open(newer, 0o600, nil)
	_ = db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{9}) })
	_ = db.Close()
	other := filepath.Join(dir, "other")
	put(t, other, record(1, 1))
	text := filepath.Join(dir, "text")
	if err := os.WriteFile(text, []byte(strings.Repeat("a list of the staff\n", 500)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, name string
		want       error
	}{{newer, "n1", ErrNewer}, {other, "n2", ErrForeign}, {text, "n1", ErrForeign}} {
		before, _ := os.ReadFile(c.path)
		s, _, err := Open(c.path, c.name, 0, quiet())
		after, _ := os.ReadFile(c.path)
		if s != nil || !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.path) || !bytes.Equal(before, after) {
			t.Errorf("%s: %v", c.path, err)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*aside*")); len(left) > 0 {
		t.Errorf("set aside: %v", left)
	}
}

// The file has a bound: the oldest records go first.
func TestBound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _, err := Open(path, "n1", 256<<10, quiet())
	if err != nil {
		t.Fatal(err)
	}
	for batch := range 40 {
		for i := range 500 {
			r := record(batch*500+i, 1)
			r.At = int64(batch*500+i) * 1000
			s.mu.Lock()
			s.waiting[keyOf(r)] = r
			s.mu.Unlock()
		}
		if err := s.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.ResetStartCount()
	_ = s.Close()
	info, _ := os.Stat(path)
	all, _ := read(t, path)
	if info.Size() > 2<<20 || all["19999"].Value != 1 || all["0"].Value != 0 {
		t.Errorf("%d bytes, %d facts, the newest %+v, the oldest %+v", info.Size(), len(all), all["19999"], all["0"])
	}
}

// Whatever bytes stand there, decoding gives a record that was encoded or an error.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(record(1, 1)))
	f.Add(Encode(Record{Kind: warmstart.Backend, Key: "s-1", State: warmstart.Draining, Revision: 7, At: 12}))
	f.Add([]byte("12345678"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Decode(text); err == nil {
			if again, err := Decode(Encode(r)); err != nil || again != r {
				t.Errorf("%+v becomes %+v, %v", r, again, err)
			}
		}
	})
}
