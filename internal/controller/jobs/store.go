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
	bucketEdits    = []byte("edits") // key: origin, a zero byte, the number as big-endian uint64
	bucketVersions = []byte("knows") // key: origin
	bucketMeta     = []byte("about")
)

const storeVersion = "1"

// Store persists a replica in a bbolt database.
type Store struct{ db *bbolt.DB }

// StoredState is the content of a store when it is opened.
type StoredState struct {
	Versions      VersionVector
	Edits         []Edit
	Peers         []string // names of all peers that this instance has ever seen
	QuarantinedAs string   // path to which an unreadable store was moved; empty: none
}

// OpenStore opens or creates a store. It moves an unreadable file aside and starts with an empty store: the peers have
// its edits, except those that were never synchronized.
func OpenStore(path string) (s *Store, state StoredState, err error) {
	if s, state, err = openStore(path); err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return s, state, err
	}
	aside := path + ".aside-" + time.Now().UTC().Format("20060102T150405.000")
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return nil, StoredState{}, errors.Join(err, renameErr)
	}
	s, state, err = openStore(path)
	state.QuarantinedAs = aside
	return s, state, err
}

func openStore(path string) (s *Store, state StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a torn page can make bbolt read beyond its mapping
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("open store %s: %v", path, fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, state, err
	}
	state.Versions = VersionVector{}
	err = db.Update(func(tx *bbolt.Tx) error {
		if err := prepareBuckets(tx, path); err != nil {
			return err
		}
		for err := range tx.Check() {
			return err
		}
		return state.load(tx, path)
	})
	if err != nil {
		_ = db.Close()
		return nil, StoredState{}, err
	}
	return &Store{db}, state, nil
}

// prepareBuckets creates missing buckets and rejects a store of another version.
func prepareBuckets(tx *bbolt.Tx, path string) error {
	for _, name := range [][]byte{bucketEdits, bucketVersions, bucketMeta} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bucketMeta)
	if v := meta.Get([]byte("version")); v != nil && string(v) != storeVersion {
		return fmt.Errorf("store %s has version %s; expected %s", path, v, storeVersion)
	}
	return meta.Put([]byte("version"), []byte(storeVersion))
}

// load reads all buckets.
func (state *StoredState) load(tx *bbolt.Tx, path string) error {
	if raw := tx.Bucket(bucketMeta).Get([]byte("peers")); raw != nil {
		if err := cbor.Unmarshal(raw, &state.Peers); err != nil {
			return fmt.Errorf("store %s: decode peers: %w", path, err)
		}
	}
	err := tx.Bucket(bucketVersions).ForEach(func(origin, n []byte) error {
		if len(n) != 8 {
			return fmt.Errorf("store %s: version of origin %q is not 8 bytes long", path, origin)
		}
		state.Versions[string(origin)] = binary.BigEndian.Uint64(n)
		return nil
	})
	if err != nil {
		return err
	}
	return tx.Bucket(bucketEdits).ForEach(func(_, raw []byte) error {
		e, err := Decode(append([]byte(nil), raw...))
		state.Edits = append(state.Edits, e)
		return err
	})
}

func editKey(d Dot) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(d.Origin), 0), d.Number)
}

// Put writes edits and versions and deletes edits, all in one transaction. It returns once the data is on disk.
func (s *Store) Put(edits []Edit, versions VersionVector, deleted []Dot) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketEdits)
		for _, e := range edits {
			if err := bucket.Put(editKey(e.Dot), e.Raw); err != nil {
				return err
			}
		}
		for _, d := range deleted {
			if err := bucket.Delete(editKey(d)); err != nil {
				return err
			}
		}
		bucket = tx.Bucket(bucketVersions)
		for origin, n := range versions {
			if err := bucket.Put([]byte(origin), binary.BigEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// PutPeers stores the names of all peers that this instance has ever seen.
func (s *Store) PutPeers(names []string) error {
	raw, err := cbor.Marshal(names)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put([]byte("peers"), raw) })
}

// Close closes the database.
func (s *Store) Close() error { return s.db.Close() }
