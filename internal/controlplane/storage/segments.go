package storage

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

const (
	segmentNameDigits = 20
	temporarySuffix   = ".TEMP"
)

// load reads the directory of the store, repairs it and opens the log.
func (s *Store) load(parent string) (recovery Recovery, err error) {
	if err = os.MkdirAll(s.dir, dirPerms); err == nil {
		err = syncDir(parent)
	}
	if err != nil {
		return recovery, err
	}
	segments, err := s.listSegments()
	if err != nil {
		return recovery, err
	}
	if len(segments) == 0 {
		recovery.Fresh = true
		return recovery, s.compact()
	}
	newest := segments[len(segments)-1]
	file, err := os.ReadFile(newest.path)
	if err != nil {
		return recovery, err
	}
	scan := scanSegment(file, newest.firstSeq)
	recovery.Torn = scan.intactBytes < len(file) || scan.lostData
	recovery.LostData = scan.lostData
	entries := scan.entries
	if scan.lostData {
		// The newest segment starts with a snapshot of all records, so older ones matter only if it is damaged.
		if entries, err = withOlderEntries(entries, segments[:len(segments)-1]); err != nil {
			return recovery, err
		}
	}
	s.loadEntries(newest.firstSeq, entries)
	if recovery.LostData {
		delete(s.live, CompleteMarker)
	}
	_, recovery.Complete = s.live[CompleteMarker]
	recovery.Records = len(s.live)
	if recovery.Complete {
		recovery.Records--
	}
	s.liveBytes = s.snapshotSize()
	if scan.lostData || scan.beyondDamage {
		return recovery, s.compact()
	}
	// A process that was killed may have left entries that are not synced. truncate syncs them before they are read.
	s.segment, s.logBytes = newest.path, int64(scan.intactBytes)
	s.setCompactionThreshold()
	s.removeObsoleteFiles()
	if err = s.truncate(); err == nil {
		err = syncDir(s.dir)
	}
	return recovery, err
}

func withOlderEntries(entries []entry, older []segmentFile) ([]entry, error) {
	for _, old := range older {
		file, err := os.ReadFile(old.path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, scanSegment(file, old.firstSeq).entries...)
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
	return entries, nil
}

// loadEntries sets the live records from entries, which are sorted by sequence number.
func (s *Store) loadEntries(firstSeq uint64, entries []entry) {
	s.nextSeq = firstSeq + 1
	for _, e := range entries {
		s.nextSeq = max(s.nextSeq, e.seq+1)
		if e.name != "" {
			s.live[e.name] = bytes.Clone(e.value)
		}
	}
}

// repair reopens the log if an error has closed it.
func (s *Store) repair() error {
	switch {
	case s.log != nil:
		return nil
	case s.segment == "":
		return s.compact()
	}
	return s.truncate()
}

// closeLog discards the log. An error of Close is ignored: it follows from an earlier one, or the segment is replaced.
// The garbage collector closes a file that Close has left open.
func (s *Store) closeLog() {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
}

// truncate cuts the segment to its first logBytes, syncs it and opens the log on it. It needs no disk space.
func (s *Store) truncate() error {
	path := s.segment
	f, err := os.OpenFile(path, os.O_RDWR, filePerms)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			s.segment = "" // the file was removed from outside; the next repair writes all records anew from memory
		}
		return err
	}
	if err = s.truncateFile(f); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	log, err := s.openLog(s.dir)
	if err != nil {
		return err
	}
	s.log = log
	return nil
}

func (s *Store) truncateFile(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() < s.logBytes {
		s.segment = "" // synced bytes are missing; the next repair writes all records anew from memory
		return fmt.Errorf("%s: size is %d bytes, but %d bytes were synced", f.Name(), info.Size(), s.logBytes)
	}
	if info.Size() > s.logBytes {
		return f.Truncate(s.logBytes)
	}
	return nil
}

// compact writes all live records to a new segment, which replaces the others. The steps are ordered so that a power
// failure after any of them leaves the old segment, the new one, or both. A segment under its final name is complete.
func (s *Store) compact() error {
	path := filepath.Join(s.dir, fmt.Sprintf("%0*d", segmentNameDigits, s.nextSeq))
	file := encodeSnapshot(s.nextSeq, s.live)
	if err := writeSynced(path+temporarySuffix, file); err != nil {
		_ = os.Remove(path + temporarySuffix) // if this fails, removeObsoleteFiles retries later
		return err
	}
	// From here on a crash may leave the new segment as the newest, so nothing more may be appended to the old one.
	s.closeLog()
	s.segment = ""
	s.nextSeq += 1 + uint64(len(s.live))
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	if err := syncDir(s.dir); err != nil {
		return err
	}
	s.segment, s.logBytes, s.liveBytes = path, int64(len(file)), int64(len(file))
	s.setCompactionThreshold()
	s.removeObsoleteFiles()
	// An old segment that reappears after a power failure is superseded, so an error can be ignored.
	_ = syncDir(s.dir)
	return s.truncate()
}

func (s *Store) setCompactionThreshold() {
	s.compactionThreshold = compactionFactor*s.liveBytes + compactionSlack
}

// snapshotSize returns the size of a segment that consists of the live records only.
func (s *Store) snapshotSize() int64 {
	n := sizeWithFrame(headerBytes + recordCountBytes)
	for name, value := range s.live {
		n += recordSize(name, value)
	}
	return n
}

type segmentFile struct {
	firstSeq uint64 // sequence number of the first entry; also the name of the file
	path     string
}

// listSegments returns the segments in the directory, oldest first.
func (s *Store) listSegments() ([]segmentFile, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var segments []segmentFile
	for _, f := range files {
		firstSeq, err := strconv.ParseUint(f.Name(), 10, 64)
		if err == nil && len(f.Name()) == segmentNameDigits && firstSeq > 0 {
			segments = append(segments, segmentFile{firstSeq, filepath.Join(s.dir, f.Name())})
		}
	}
	return segments, nil
}

// removeObsoleteFiles removes all files except the current segment: superseded segments, and temporary files of
// interrupted compactions. It ignores errors: a file that remains is harmless, and the next compaction retries.
func (s *Store) removeObsoleteFiles() {
	files, _ := os.ReadDir(s.dir)
	for _, f := range files {
		if f.Name() != filepath.Base(s.segment) {
			_ = os.Remove(filepath.Join(s.dir, f.Name()))
		}
	}
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerms)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
