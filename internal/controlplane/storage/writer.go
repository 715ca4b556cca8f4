package storage

import (
	"maps"

	"github.com/tidwall/wal"
)

// runWriter is the goroutine that does all disk I/O after Open. Requests that arrive during a sync form the next
// commit.
func (s *Store) runWriter() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		pending, closed := s.pending, s.closed
		s.pending = nil
		s.mu.Unlock()
		for len(pending) > 0 {
			answered := s.commit(pending)
			pending = pending[answered:]
		}
		if closed {
			if s.log != nil {
				if err := s.log.Close(); err != nil {
					s.closeErr = s.notDurable(err)
				}
			}
			return
		}
	}
}

// commit writes as many of the first pending requests as the disk limit allows, and answers them. It returns the number
// of answered requests; 0 means that it has compacted the log and must be called again.
func (s *Store) commit(pending []writeRequest) int {
	if err := s.repair(); err != nil {
		return s.finish(pending, err)
	}
	b := s.newBatch(pending)
	if b.requests == 0 {
		return s.makeRoom(pending)
	}
	if err := s.append(b); err != nil {
		// The segment may now end with a part of the commit, and the state of the wal library no longer matches the
		// file. If this repair fails, the next commit repeats it.
		s.finish(pending[:b.requests], err)
		s.closeLog()
		_ = s.repair()
		return b.requests
	}
	s.nextSeq += uint64(len(b.names))
	s.logBytes += b.bytes
	s.liveBytes = b.liveBytes
	s.mu.Lock()
	maps.Copy(s.live, b.values)
	s.mu.Unlock()
	s.finish(pending[:b.requests], nil)
	if s.logBytes > s.compactionThreshold && s.compact() != nil {
		s.compactionThreshold = s.logBytes + compactionSlack // compaction fails for now: do not retry at each commit
	}
	return b.requests
}

// batch is the content of one commit. If several requests have the same name, only the value of the last is written.
type batch struct {
	requests  int               // number of requests that the batch covers
	names     []string          // in the order of their first request
	values    map[string][]byte // by name
	bytes     int64             // number of bytes that are appended to the segment
	liveBytes int64             // size of the snapshot after the commit
}

// newBatch collects as many of the first pending requests as the disk limit allows.
func (s *Store) newBatch(pending []writeRequest) batch {
	b := batch{values: map[string][]byte{}, liveBytes: s.liveBytes}
	for _, w := range pending {
		earlier, inBatch := b.values[w.name]
		appended := w.size()
		if inBatch {
			appended -= recordSize(w.name, earlier)
		}
		liveGrowth := appended
		if old, ok := s.live[w.name]; ok && !inBatch {
			liveGrowth -= recordSize(w.name, old)
		}
		// Space for a compaction must remain, or the log could never shrink again.
		if s.maxBytes > 0 && s.logBytes+b.bytes+appended+b.liveBytes+liveGrowth > s.maxBytes {
			break
		}
		if !inBatch {
			b.names = append(b.names, w.name)
		}
		b.values[w.name] = w.value
		b.bytes += appended
		b.liveBytes += liveGrowth
		b.requests++
	}
	return b
}

// makeRoom compacts the log because the first request does not fit. If that is not possible, it fails the request.
func (s *Store) makeRoom(pending []writeRequest) int {
	err := errDiskFull
	if s.logBytes > s.liveBytes {
		if err = s.compact(); err == nil {
			return 0
		}
	}
	return s.finish(pending[:1], err)
}

// append appends a batch to the log and syncs it.
func (s *Store) append(b batch) error {
	var entries wal.Batch
	var encoded []byte
	for i, name := range b.names {
		seq := s.nextSeq + uint64(i)
		encoded = appendEntry(encoded[:0], seq, s.nextSeq, name, b.values[name])
		entries.Write(seq, encoded)
	}
	if err := s.log.WriteBatch(&entries); err != nil {
		return err
	}
	return s.log.Sync()
}

// finish calls the done functions of requests, and returns the number of requests.
func (s *Store) finish(requests []writeRequest, err error) int {
	if err != nil {
		err = s.notDurable(err)
	}
	freed := 0
	for _, w := range requests {
		freed += len(w.value)
	}
	s.mu.Lock()
	s.pendingBytes -= freed
	s.mu.Unlock()
	for _, w := range requests {
		w.done(err)
	}
	return len(requests)
}
