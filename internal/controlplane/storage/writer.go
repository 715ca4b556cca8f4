package storage

import (
	"maps"

	"github.com/tidwall/wal"
)

// run is the writer: the only goroutine that touches the disk after Open. What arrived while it synced is one commit.
func (s *Store) run() {
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

// commit writes the front of the pending requests, as many as there is room for, and answers them. It returns how many
// were answered; 0 means that it has made room and is to be called again.
func (s *Store) commit(pending []writeRequest) int {
	if err := s.repair(); err != nil {
		return s.complete(pending, err)
	}
	b := s.newBatch(pending)
	if b.requests == 0 {
		return s.makeRoom(pending)
	}
	if err := s.append(b); err != nil {
		// The library's view no longer agrees with the file, and half a commit may stand there. If this cannot cut it
		// off, the next commit does.
		s.complete(pending[:b.requests], err)
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
	s.complete(pending[:b.requests], nil)
	if s.logBytes > s.compactAt && s.compact() != nil {
		s.compactAt = s.logBytes + compactionSlack // no room or no disk now: do not try again at each commit
	}
	return b.requests
}

// batch is what one commit writes. Of several versions of a name the last is written, and stands for all.
type batch struct {
	requests  int               // so many of the pending ones
	names     []string          // in the order of their first request
	values    map[string][]byte // by name
	bytes     int64             // that are appended
	liveBytes int64             // that a compaction after the commit would write
}

// newBatch takes as many requests as there is room for.
func (s *Store) newBatch(pending []writeRequest) batch {
	b := batch{values: map[string][]byte{}, liveBytes: s.liveBytes}
	for _, w := range pending {
		earlier, again := b.values[w.name]
		appended := w.size()
		if again {
			appended -= frameSize(w.name, earlier)
		}
		grown := appended
		if old, ok := s.live[w.name]; ok && !again {
			grown -= frameSize(w.name, old)
		}
		// Room for a compaction must be left, or the log could never be shortened again.
		if s.maxBytes > 0 && s.logBytes+b.bytes+appended+b.liveBytes+grown > s.maxBytes {
			break
		}
		if !again {
			b.names = append(b.names, w.name)
		}
		b.values[w.name] = w.value
		b.bytes += appended
		b.liveBytes += grown
		b.requests++
	}
	return b
}

// makeRoom compacts the log for a first request that has no room, or refuses that request.
func (s *Store) makeRoom(pending []writeRequest) int {
	err := errDiskFull
	if s.logBytes > s.liveBytes {
		if err = s.compact(); err == nil {
			return 0
		}
	}
	return s.complete(pending[:1], err)
}

// append writes a batch. Its records are durable once Sync has returned.
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

// complete answers requests and returns their number.
func (s *Store) complete(requests []writeRequest, err error) int {
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
