package storage

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Layout of an entry, little-endian. In the write-ahead log a frame precedes it: the length of the entry as a uvarint.
//
//	offset  bytes  content
//	0       4      magic
//	4       8      xxh3 of all bytes from offset 12 on
//	12      4      length of the entry; repeats that of the frame, so that entries after a damaged frame can be read
//	16      8      sequence number
//	24      8      sequence number of the first entry of the same commit
//	32      2      length of the name
//	34             name, then value
//
// The first entry of a segment has no name. Its value is the number of records (4 bytes) in the snapshot that the
// segment starts with.
const (
	magic            = "\xe1mR\x01"
	checksumOffset   = 4
	lengthOffset     = 12
	seqOffset        = 16
	commitSeqOffset  = 24
	nameLengthOffset = 32
	headerBytes      = 34
	recordCountBytes = 4
)

type entry struct {
	seq       uint64
	commitSeq uint64 // of the first entry of its commit; every entry before that one was synced when this one was written
	name      string
	value     []byte // aliases the buffer that it was decoded from
}

func appendEntry(b []byte, seq, commitSeq uint64, name string, value []byte) []byte {
	start := len(b)
	b = append(b, magic...)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0) // the checksum is filled in below
	b = binary.LittleEndian.AppendUint32(b, uint32(headerBytes+len(name)+len(value)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, commitSeq)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(name)))
	b = append(b, name...)
	b = append(b, value...)
	binary.LittleEndian.PutUint64(b[start+checksumOffset:], xxh3.Hash(b[start+lengthOffset:]))
	return b
}

// decodeEntry decodes the entry at the start of b and returns its length. ok is false if b does not start with an
// intact entry.
func decodeEntry(b []byte) (e entry, length int, ok bool) {
	if len(b) < headerBytes || string(b[:checksumOffset]) != magic {
		return e, 0, false
	}
	n := uint64(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if n < headerBytes || n > uint64(len(b)) {
		return e, 0, false
	}
	b = b[:n]
	nameEnd := headerBytes + int(binary.LittleEndian.Uint16(b[nameLengthOffset:]))
	if nameEnd > len(b) || xxh3.Hash(b[lengthOffset:]) != binary.LittleEndian.Uint64(b[checksumOffset:]) {
		return e, 0, false
	}
	e = entry{
		seq:       binary.LittleEndian.Uint64(b[seqOffset:]),
		commitSeq: binary.LittleEndian.Uint64(b[commitSeqOffset:]),
		name:      string(b[headerBytes:nameEnd]),
		value:     b[nameEnd:],
	}
	return e, len(b), true
}

// sizeWithFrame returns the size of an entry including its frame.
func sizeWithFrame(size int64) int64 {
	return size + int64(len(binary.AppendUvarint(nil, uint64(size))))
}

// recordSize returns the size of a record in a segment, including its frame.
func recordSize(name string, value []byte) int64 {
	return sizeWithFrame(int64(headerBytes + len(name) + len(value)))
}

// encodeSnapshot returns a segment that consists of the records in live, sorted by name. Its entries are numbered from
// firstSeq on.
func encodeSnapshot(firstSeq uint64, live map[string][]byte) []byte {
	var file, encoded []byte
	add := func(seq uint64, name string, value []byte) {
		encoded = appendEntry(encoded[:0], seq, firstSeq, name, value)
		file = binary.AppendUvarint(file, uint64(len(encoded)))
		file = append(file, encoded...)
	}
	add(firstSeq, "", binary.LittleEndian.AppendUint32(nil, uint32(len(live))))
	for i, name := range slices.Sorted(maps.Keys(live)) {
		add(firstSeq+1+uint64(i), name, live[name])
	}
	return file
}

// scanResult is the content of a segment.
type scanResult struct {
	entries      []entry // the intact entries, by sequence number
	intactBytes  int     // length of the segment up to the first damage
	beyondDamage bool    // some of the entries come after damage
	lostData     bool    // an entry that had been synced is missing
}

// scanSegment reads a segment whose first entry must have the sequence number firstSeq.
func scanSegment(file []byte, firstSeq uint64) scanResult {
	var r scanResult
	nextSeq := firstSeq
	pos := 0
	for pos < len(file) { // read frames up to the first damage
		e, size, ok := decodeFrame(file[pos:])
		if !ok || e.seq != nextSeq {
			break
		}
		r.entries = append(r.entries, e)
		pos += size
		nextSeq++
	}
	r.intactBytes = pos
	for pos < len(file) { // after the damage, look for further entries by their magic
		found := bytes.Index(file[pos:], []byte(magic))
		if found < 0 {
			break
		}
		pos += found
		e, size, ok := decodeEntry(file[pos:])
		if !ok || e.seq < nextSeq {
			pos++
			continue
		}
		r.entries = append(r.entries, e)
		r.beyondDamage = true
		pos += size
		nextSeq = e.seq + 1
	}
	r.lostData = hasLostData(r.entries, firstSeq)
	return r
}

// decodeFrame decodes the frame at the start of b and the entry in it. size is the length of both.
func decodeFrame(b []byte) (e entry, size int, ok bool) {
	length, prefix := binary.Uvarint(b)
	if prefix <= 0 {
		return e, 0, false
	}
	e, entrySize, ok := decodeEntry(b[prefix:])
	if !ok || length != uint64(entrySize) {
		return e, 0, false
	}
	return e, prefix + entrySize, true
}

// hasLostData reports whether an entry that had been synced is missing. The entries of the snapshot at the start were
// synced before the segment got its final name, and a commit is written only after the earlier ones were synced.
func hasLostData(entries []entry, firstSeq uint64) bool {
	if len(entries) == 0 || entries[0].seq != firstSeq || len(entries[0].value) != recordCountBytes {
		return true
	}
	syncedBefore := firstSeq + 1 + uint64(binary.LittleEndian.Uint32(entries[0].value))
	for _, e := range entries {
		syncedBefore = max(syncedBefore, e.commitSeq)
	}
	present := uint64(0)
	for _, e := range entries {
		if e.seq < syncedBefore {
			present++
		}
	}
	return present < syncedBefore-firstSeq
}
