package storage

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// An entry, in the frame of the write-ahead log (its length as a uvarint), little-endian:
//
//	offset  bytes  what
//	0       4      magic
//	4       8      xxh3 of what follows it
//	12      4      length of the whole entry; it stands inside as well, so that entries behind a damaged frame can be
//	               found again
//	16      8      sequence number
//	24      8      sequence number of the first entry of its commit
//	32      2      length of the name
//	34             name, then value
//
// A file begins with an entry without a name: its value is the number of records that the file began with (4 bytes).
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
	commitSeq uint64 // the first of its commit: all before it were synced when it was written
	name      string
	value     []byte // points into the file that was read
}

func appendEntry(b []byte, seq, commitSeq uint64, name string, value []byte) []byte {
	start := len(b)
	b = append(b, magic...)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0) // the checksum, below
	b = binary.LittleEndian.AppendUint32(b, uint32(headerBytes+len(name)+len(value)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, commitSeq)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(name)))
	b = append(b, name...)
	b = append(b, value...)
	binary.LittleEndian.PutUint64(b[start+checksumOffset:], xxh3.Hash(b[start+lengthOffset:]))
	return b
}

// decodeEntry reads the entry at the front of b and its length; ok is false if no intact one is there.
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

// framedSize is the size of an entry with its frame.
func framedSize(size int64) int64 {
	return size + int64(len(binary.AppendUvarint(nil, uint64(size))))
}

// frameSize is the size that a record takes in a file.
func frameSize(name string, value []byte) int64 {
	return framedSize(int64(headerBytes + len(name) + len(value)))
}

// encodeSnapshot is a file that begins at a sequence number with all records, in the order of their names.
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

// scanResult is what a file holds.
type scanResult struct {
	entries      []entry // the intact ones, in order
	intactBytes  int     // at its front, before the first damage
	beyondDamage bool    // some of the entries lie behind damage
	lostData     bool    // an entry is missing that had been synced
}

// scanFile reads a file whose first entry must have the sequence number firstSeq.
func scanFile(file []byte, firstSeq uint64) scanResult {
	var r scanResult
	nextSeq := firstSeq
	pos := 0
	for pos < len(file) { // up to the first damage
		e, size, ok := decodeFrame(file[pos:])
		if !ok || e.seq != nextSeq {
			break
		}
		r.entries = append(r.entries, e)
		pos += size
		nextSeq++
	}
	r.intactBytes = pos
	for pos < len(file) { // behind it: wherever an entry may begin
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

// decodeFrame reads the frame at the front of b; size includes the frame's own length.
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

// hasLostData reports whether an entry is missing that had been synced. Synced were all that the file began with, since
// it has its name only after that; and for each commit that begins in it, all before.
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
