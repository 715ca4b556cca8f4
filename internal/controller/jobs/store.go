package jobs

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

var (
	bucketEdits    = []byte("edits") // by origin, a zero byte and the number
	bucketVersions = []byte("knows") // by origin
	bucketAbout    = []byte("about")
)

const keepVersion = "1"

// Store is the store of a replica: what is in it is on the disk.
type Store struct{ db *bbolt.DB }

// StoredState is what a store held at a start. Peers are the names of all that ever were there.
type StoredState struct {
	Versions      VersionVector
	Edits         []Edit
	Peers         []string
	QuarantinedAs string // where a store that could not be read went; empty: it could
}

// OpenStore opens a store, or makes one. One that cannot be read is set aside and begun anew: what was in it the others
// know, but for what nobody had heard yet.
func OpenStore(path string) (k *Store, held StoredState, err error) {
	if k, held, err = openStore(path); err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return k, held, err
	}
	aside := path + ".aside-" + time.Now().UTC().Format("20060102T150405.000")
	if e := os.Rename(path, aside); e != nil {
		return nil, StoredState{}, errors.Join(err, e)
	}
	k, held, err = openStore(path)
	held.QuarantinedAs = aside
	return k, held, err
}

func openStore(path string) (k *Store, held StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a torn page can send the library beyond its map
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("%s: %v", path, broken)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, held, err
	}
	held.Versions = VersionVector{}
	err = db.Update(func(tx *bbolt.Tx) error {
		if err := prepareKeep(tx, path); err != nil {
			return err
		}
		for e := range tx.Check() {
			return e
		}
		return held.read(tx, path)
	})
	if err != nil {
		_ = db.Close()
		return nil, StoredState{}, err
	}
	return &Store{db}, held, nil
}

// prepareKeep creates what a new file lacks, and refuses one of another version.
func prepareKeep(tx *bbolt.Tx, path string) error {
	for _, name := range [][]byte{bucketEdits, bucketVersions, bucketAbout} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	about := tx.Bucket(bucketAbout)
	if v := about.Get([]byte("version")); v != nil && string(v) != keepVersion {
		return fmt.Errorf("%s is of version %s, this program keeps %s", path, v, keepVersion)
	}
	return about.Put([]byte("version"), []byte(keepVersion))
}

// read reads all that a file has.
func (held *StoredState) read(tx *bbolt.Tx, path string) error {
	if raw := tx.Bucket(bucketAbout).Get([]byte("peers")); raw != nil {
		if err := cbor.Unmarshal(raw, &held.Peers); err != nil {
			return fmt.Errorf("%s: who was there cannot be read: %w", path, err)
		}
	}
	err := tx.Bucket(bucketVersions).ForEach(func(origin, n []byte) error {
		if len(n) != 8 {
			return fmt.Errorf("%s: what is known of %q cannot be read", path, origin)
		}
		held.Versions[string(origin)] = binary.BigEndian.Uint64(n)
		return nil
	})
	if err != nil {
		return err
	}
	return tx.Bucket(bucketEdits).ForEach(func(_, raw []byte) error {
		e, err := Decode(append([]byte(nil), raw...))
		held.Edits = append(held.Edits, e)
		return err
	})
}

func keyOf(d Dot) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(d.Origin), 0), d.Number)
}

// Put stores edits, what is known with them, and forgets others, all or nothing; it returns once it is on the disk.
func (k *Store) Put(edits []Edit, knows VersionVector, gone []Dot) error {
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
		b = tx.Bucket(bucketVersions)
		for origin, n := range knows {
			if err := b.Put([]byte(origin), binary.BigEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// PutPeers stores who was there.
func (k *Store) PutPeers(names []string) error {
	raw, err := cbor.Marshal(names)
	if err != nil {
		return err
	}
	return k.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketAbout).Put([]byte("peers"), raw) })
}

// Close ends it.
func (k *Store) Close() error { return k.db.Close() }
