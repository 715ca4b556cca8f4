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

// load reads the folder, repairs it and opens the log.
func (s *Store) load(parent string) (found Recovery, err error) {
	if err = os.MkdirAll(s.dir, folderPerms); err == nil {
		err = syncFolder(parent)
	}
	if err != nil {
		return found, err
	}
	segments, err := s.segments()
	if err != nil {
		return found, err
	}
	if len(segments) == 0 {
		found.Fresh = true
		return found, s.compact()
	}
	newest := segments[len(segments)-1]
	file, err := os.ReadFile(newest.path)
	if err != nil {
		return found, err
	}
	scan := scanFile(file, newest.firstSeq)
	found.Torn = scan.intactBytes < len(file) || scan.lostData
	found.LostData = scan.lostData
	entries := scan.entries
	if scan.lostData {
		// Older files are superseded by the newest, which begins with all records; now they may help.
		if entries, err = withOlderEntries(entries, segments[:len(segments)-1]); err != nil {
			return found, err
		}
	}
	s.takeOver(newest.firstSeq, entries)
	if found.LostData {
		delete(s.live, CompleteMarker)
	}
	_, found.Complete = s.live[CompleteMarker]
	found.Records = len(s.live)
	if found.Complete {
		found.Records--
	}
	s.liveBytes = s.liveSize()
	if scan.lostData || scan.beyondDamage {
		return found, s.compact()
	}
	// What a killed process wrote is there but perhaps not synced: nobody may hear of it before it is.
	s.segment, s.logBytes = newest.path, int64(scan.intactBytes)
	s.planCompaction()
	s.removeOthers()
	if err = s.truncate(); err == nil {
		err = syncFolder(s.dir)
	}
	return found, err
}

func withOlderEntries(entries []entry, older []segmentFile) ([]entry, error) {
	for _, old := range older {
		file, err := os.ReadFile(old.path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, scanFile(file, old.firstSeq).entries...)
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
	return entries, nil
}

// takeOver makes the records of the entries, which are in their order, the live ones.
func (s *Store) takeOver(firstSeq uint64, entries []entry) {
	s.nextSeq = firstSeq + 1
	for _, e := range entries {
		s.nextSeq = max(s.nextSeq, e.seq+1)
		if e.name != "" {
			s.live[e.name] = bytes.Clone(e.value)
		}
	}
}

// repair opens the log again after an error.
func (s *Store) repair() error {
	switch {
	case s.log != nil:
		return nil
	case s.segment == "":
		return s.compact()
	}
	return s.truncate()
}

// closeLog lets the log go. Its error says nothing new, and a file that it left open is closed by the collector.
func (s *Store) closeLog() {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
}

// truncate shortens the file to what is known to be synced, syncs it and opens the log on it. It needs no room.
func (s *Store) truncate() error {
	path := s.segment
	f, err := os.OpenFile(path, os.O_RDWR, filePerms)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			s.segment = "" // somebody removed it: memory has all records, so the next repair writes them
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
		s.segment = "" // what was synced is gone: only a compaction repairs
		return fmt.Errorf("%s: %d bytes, %d were synced", f.Name(), info.Size(), s.logBytes)
	}
	if info.Size() > s.logBytes {
		return f.Truncate(s.logBytes)
	}
	return nil
}

// compact writes all records to a new file, which takes the place of the others. The steps are ordered so that a
// loss of power after any of them leaves the old file, the new one, or both; a new one under its final name is
// whole.
func (s *Store) compact() error {
	path := filepath.Join(s.dir, fmt.Sprintf("%0*d", segmentNameDigits, s.nextSeq))
	file := encodeSnapshot(s.nextSeq, s.live)
	if err := writeSynced(path+temporarySuffix, file); err != nil {
		_ = os.Remove(path + temporarySuffix) // otherwise removeOthers does it later
		return err
	}
	// From here on the new file may count after a crash, and nothing may be added to the old one.
	s.closeLog()
	s.segment = ""
	s.nextSeq += 1 + uint64(len(s.live))
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	if err := syncFolder(s.dir); err != nil {
		return err
	}
	s.segment, s.logBytes, s.liveBytes = path, int64(len(file)), int64(len(file))
	s.planCompaction()
	s.removeOthers()
	// What comes back of the others after a loss of power is superseded, so this need not succeed.
	_ = syncFolder(s.dir)
	return s.truncate()
}

func (s *Store) planCompaction() { s.compactAt = compactionFactor*s.liveBytes + compactionSlack }

// liveSize is the size of a file that holds the live records alone.
func (s *Store) liveSize() int64 {
	n := framedSize(headerBytes + recordCountBytes)
	for name, value := range s.live {
		n += frameSize(name, value)
	}
	return n
}

type segmentFile struct {
	firstSeq uint64 // of its first entry; the file's name
	path     string
}

// segments are the files of the log, the oldest first.
func (s *Store) segments() ([]segmentFile, error) {
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

// removeOthers removes all files but the one in use: superseded ones, and beginnings of compactions that did not end.
// A file that stays does no harm, and the next compaction tries again.
func (s *Store) removeOthers() {
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

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
