package storage

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// An entry, in the wal's frame (uvarint length): magic, checksum of what follows it, length of the whole (uint32),
// seq, base (uint64 each), length of the name (uint16), name, value; little-endian. The length stands inside as well
// so that entries behind a broken frame can be found again.
//
// A file begins with an entry without a name: its value is the number of records that the file began with.
const (
	magic   = "\xe1mR\x01"
	fixed   = 4 + 8 + 4 + 8 + 8 + 2
	sumAt   = 4
	lenAt   = 12
	seqAt   = 16
	baseAt  = 24
	nameAt  = 32
	countSz = 4
)

type entry struct {
	seq  uint64 // its number in the log
	base uint64 // the first of its commit: all before it were synced when it was written
	name string
	// value points into the file that was read.
	value []byte
}

func appendEntry(b []byte, seq, base uint64, name string, value []byte) []byte {
	at := len(b)
	b = append(b, magic...)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(fixed+len(name)+len(value)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, base)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(name)))
	b = append(b, name...)
	b = append(b, value...)
	binary.LittleEndian.PutUint64(b[at+sumAt:], xxh3.Hash(b[at+lenAt:]))
	return b
}

// decode reads the entry at the front of b, if a sound one is there, and its length.
func decode(b []byte) (e entry, size int, ok bool) {
	if len(b) < fixed || string(b[:sumAt]) != magic {
		return e, 0, false
	}
	n := uint64(binary.LittleEndian.Uint32(b[lenAt:]))
	if n < fixed || n > uint64(len(b)) {
		return e, 0, false
	}
	b = b[:n]
	end := fixed + int(binary.LittleEndian.Uint16(b[nameAt:]))
	if end > len(b) || xxh3.Hash(b[lenAt:]) != binary.LittleEndian.Uint64(b[sumAt:]) {
		return e, 0, false
	}
	return entry{seq: binary.LittleEndian.Uint64(b[seqAt:]), base: binary.LittleEndian.Uint64(b[baseAt:]),
		name: string(b[fixed:end]), value: b[end:]}, len(b), true
}

func framed(size int64) int64 {
	return size + int64(len(binary.AppendUvarint(nil, uint64(size))))
}

func frameSize(name string, value []byte) int64 { return framed(int64(fixed + len(name) + len(value))) }

// snapshot is a file that begins at number first with all records.
func snapshot(first uint64, live map[string][]byte) []byte {
	var file, b []byte
	add := func(seq uint64, name string, value []byte) {
		b = appendEntry(b[:0], seq, first, name, value)
		file = binary.AppendUvarint(file, uint64(len(b)))
		file = append(file, b...)
	}
	add(first, "", binary.LittleEndian.AppendUint32(nil, uint32(len(live))))
	for i, name := range slices.Sorted(maps.Keys(live)) {
		add(first+1+uint64(i), name, live[name])
	}
	return file
}

// scanned is what a file holds.
type scanned struct {
	entries []entry // the sound ones, in order
	good    int     // bytes at its front without a fault
	beyond  bool    // some of the entries lie behind a fault
	forgot  bool    // an entry is missing that had been synced
}

// scan reads a file whose first entry must have the number first.
func scan(file []byte, first uint64) scanned {
	var out scanned
	want, sound := first, true
	for pos := 0; pos < len(file); {
		if n, k := binary.Uvarint(file[pos:]); sound && k > 0 {
			if e, size, ok := decode(file[pos+k:]); ok && n == uint64(size) && e.seq == want {
				out.entries = append(out.entries, e)
				pos += k + size
				out.good, want = pos, want+1
				continue
			}
		}
		sound = false
		at := bytes.Index(file[pos:], []byte(magic))
		if at < 0 {
			break
		}
		pos += at
		e, size, ok := decode(file[pos:])
		if !ok || e.seq < want {
			pos++
			continue
		}
		out.entries = append(out.entries, e)
		out.beyond = true
		pos, want = pos+size, e.seq+1
	}
	// Synced were: all that the file began with, since it has its name only after that; and for each commit that
	// begins in it, all before.
	if len(out.entries) == 0 || out.entries[0].seq != first || len(out.entries[0].value) != countSz {
		out.forgot = true
		return out
	}
	synced := first + 1 + uint64(binary.LittleEndian.Uint32(out.entries[0].value))
	for _, e := range out.entries {
		synced = max(synced, e.base)
	}
	have := uint64(0)
	for _, e := range out.entries {
		if e.seq < synced {
			have++
		}
	}
	out.forgot = have < synced-first
	return out
}
