package jobs

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

var (
	bucketEdits = []byte("edits") // by origin, a zero byte and the number
	bucketKnows = []byte("knows") // by origin
	bucketAbout = []byte("about")
)

const keepVersion = "1"

// Keep is the store of a replica: what is in it is on the disk.
type Keep struct{ db *bbolt.DB }

// OpenKeep opens a store, or makes one, and gives what it holds. One that cannot be read is set aside and begun anew: what was in it
// the others know, but for what nobody had heard yet; aside names where it went.
func OpenKeep(path string) (k *Keep, knows Versions, edits []Edit, aside string, err error) {
	for range 2 {
		k, knows, edits, err = openKeep(path)
		if err == nil || aside != "" || errors.Is(err, bolterrors.ErrTimeout) {
			return k, knows, edits, aside, err
		}
		aside = path + ".aside-" + time.Now().UTC().Format("20060102T150405.000")
		if e := os.Rename(path, aside); e != nil {
			return nil, nil, nil, "", errors.Join(err, e)
		}
	}
	return k, knows, edits, aside, err
}

func openKeep(path string) (k *Keep, knows Versions, edits []Edit, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a torn page can send the library beyond its map
	var db *bbolt.DB
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("%s: %v", path, broken)
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, nil, nil, err
	}
	knows = Versions{}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketEdits, bucketKnows, bucketAbout} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		about := tx.Bucket(bucketAbout)
		if v := about.Get([]byte("version")); v != nil && string(v) != keepVersion {
			return fmt.Errorf("%s is of version %s, this program keeps %s", path, v, keepVersion)
		}
		if err := about.Put([]byte("version"), []byte(keepVersion)); err != nil {
			return err
		}
		for e := range tx.Check() {
			return e
		}
		if err := tx.Bucket(bucketKnows).ForEach(func(origin, n []byte) error {
			if len(n) != 8 {
				return fmt.Errorf("%s: what is known of %q cannot be read", path, origin)
			}
			knows[string(origin)] = binary.BigEndian.Uint64(n)
			return nil
		}); err != nil {
			return err
		}
		return tx.Bucket(bucketEdits).ForEach(func(_, raw []byte) error {
			e, err := Decode(append([]byte(nil), raw...))
			edits = append(edits, e)
			return err
		})
	})
	if err != nil {
		_ = db.Close()
		return nil, nil, nil, err
	}
	return &Keep{db}, knows, edits, nil
}

func keyOf(d Dot) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(d.Origin), 0), d.Number)
}

// Put stores edits, what is known with them, and forgets others, all or nothing; it returns once it is on the disk.
func (k *Keep) Put(edits []Edit, knows Versions, gone []Dot) error {
	return k.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketEdits)
		for _, e := range edits {
			if err := b.Put(keyOf(e.Dot), e.Raw); err != nil {
				return err
			}
		}
		for _, d := range gone {
			if err := b.Delete(keyOf(d)); err != nil {
				return err
			}
		}
		b = tx.Bucket(bucketKnows)
		for origin, n := range knows {
			if err := b.Put([]byte(origin), binary.BigEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close ends it.
func (k *Keep) Close() error { return k.db.Close() }
