package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"elmfold/internal/proxy/socket"
)

// http.Server detects a client disconnect by a background read. That read starts once the request body has been read,
// and ends with the first byte of a pipelined request. During an upload, only the reader of the body detects a
// disconnect. readAhead covers the rest: it reads the connection while nobody else does, so that the end of the
// connection is found behind unread bytes.

const (
	// maxReadAhead limits the bytes buffered per connection, and maxTotalReadAhead those of all connections. Beyond these
	// limits, the proxy polls the kernel for the end of the connection.
	maxReadAhead      = 1 << 20
	maxTotalReadAhead = 16 << 20
	readAheadChunk    = 4 << 10
	// peerStateInterval is the interval of these polls.
	peerStateInterval = 100 * time.Millisecond
)

// aLongTimeAgo is a deadline that interrupts a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// readAhead reads a connection while nobody else does. At most one goroutine reads the connection at a time: the caller
// of read, or the one that start creates.
type readAhead struct {
	conn          net.Conn
	onDisconnect  func()        // may be called more than once
	totalBuffered *atomic.Int64 // buffered bytes of all connections

	mu       sync.Mutex
	deadline time.Time     // for reads; zero: none
	reading  bool          // a caller of read is reading the connection
	done     chan struct{} // closed when the goroutine of start ends; nil: there is none
	stopping chan struct{} // closed when that goroutine has to end
	buffered []byte
	err      error // the error that ended reading
	released bool  // the connection was closed, and nothing more is buffered
}

// start reads ahead until read is called. It does nothing if the connection is being read already or has ended.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading || r.done != nil || r.err != nil {
		return
	}
	r.done, r.stopping = make(chan struct{}), make(chan struct{})
	go r.readLoop(r.done, r.stopping)
}

// read stops reading ahead. It returns buffered bytes, or reads the connection if there are none.
func (r *readAhead) read(b []byte) (int, error) {
	r.stop()
	r.mu.Lock()
	if len(r.buffered) > 0 || r.err != nil {
		defer r.mu.Unlock()
		return r.takeBuffered(b)
	}
	r.reading = true
	r.mu.Unlock()
	n, err := r.conn.Read(b)
	r.mu.Lock()
	r.reading = false
	r.mu.Unlock()
	return n, err
}

// takeBuffered returns buffered bytes, then the error that ended reading. The caller holds the lock.
func (r *readAhead) takeBuffered(b []byte) (int, error) {
	if len(r.buffered) == 0 {
		return 0, r.err
	}
	n := copy(b, r.buffered)
	r.totalBuffered.Add(-int64(n))
	r.buffered = r.buffered[n:]
	if len(r.buffered) == 0 {
		r.buffered = nil
	}
	return n, nil
}

// stop interrupts reading ahead and waits until it has ended.
func (r *readAhead) stop() {
	r.mu.Lock()
	done := r.done
	if done == nil {
		r.mu.Unlock()
		return
	}
	close(r.stopping)
	_ = r.conn.SetReadDeadline(aLongTimeAgo) // fails only on a closed connection, where reading ends too
	r.mu.Unlock()
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = nil
	_ = r.conn.SetReadDeadline(r.deadline)
}

// setDeadline sets the deadline for reads. A deadline that passes stops reading ahead, but is not a disconnect.
func (r *readAhead) setDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = t
	if r.isStopping() {
		return nil // stop sets the deadline
	}
	return r.conn.SetReadDeadline(t)
}

// isStopping reports whether stop is in progress. The caller holds the lock.
func (r *readAhead) isStopping() bool {
	if r.done == nil {
		return false
	}
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// readLoop reads ahead until the deadline passes, the connection ends or the buffer is full.
func (r *readAhead) readLoop(done, stopping chan struct{}) {
	defer close(done)
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := r.conn.Read(chunk)
		isDisconnect := err != nil && !isTimeout(err)
		isFull := r.bufferChunk(chunk[:n], isDisconnect, err)
		switch {
		case isDisconnect:
			r.onDisconnect()
			return
		case err != nil:
			return
		case isFull:
			r.pollPeerClosed(stopping)
			return
		}
	}
}

// bufferChunk buffers bytes, and the error if it ended the connection. It reports whether the buffer is full.
func (r *readAhead) bufferChunk(b []byte, isEnd bool, err error) (isFull bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return true
	}
	r.buffered = append(r.buffered, b...)
	if isEnd {
		r.err = err
	}
	return r.totalBuffered.Add(int64(len(b))) >= maxTotalReadAhead || len(r.buffered) >= maxReadAhead
}

// release drops the buffer of a closed connection.
func (r *readAhead) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalBuffered.Add(-int64(len(r.buffered)))
	r.buffered, r.released = nil, true
}

// isTimeout reports whether a Read of a connection failed because its deadline passed. http.Server ends its background
// read that way in each request, so a type assertion is used: errors.As is too slow here.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error) //nolint:errorlint // as Read returns it
	return ok && netErr.Timeout()
}

// pollPeerClosed polls until the client closes its side of the connection or stopping is closed.
func (r *readAhead) pollPeerClosed(stopping <-chan struct{}) {
	probe := socket.NewProbe(r.conn)
	ticker := time.NewTicker(peerStateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopping:
			return
		case <-ticker.C:
			if probe.HasPeerClosed() {
				r.onDisconnect()
				return
			}
		}
	}
}
