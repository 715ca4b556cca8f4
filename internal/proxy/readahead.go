package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"elmfold/internal/proxy/socket"
)

// http.Server sees that a client leaves by a read in the background, which begins when the body of the request has
// been read, and ends with the first byte that comes: of a request that the client sends before the answer
// (pipelining). While a body flows, only its reader sees the end. What follows closes both gaps: bytes are read ahead
// for as long as nobody else reads, so that the end of the connection shows behind them.

const (
	// maxReadAhead is how many bytes of a connection are held before anybody wants them, and maxTotalReadAhead of all
	// connections. Behind more, only the kernel can tell that the client has left.
	maxReadAhead      = 1 << 20
	maxTotalReadAhead = 16 << 20
	readAheadChunk    = 4 << 10
	// peerStateInterval is how often the kernel is asked.
	peerStateInterval = 100 * time.Millisecond
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// readAhead reads a connection while nobody else does. At any moment one goroutine reads the connection: the caller of
// read, or the one that begin started.
type readAhead struct {
	conn         net.Conn
	onDisconnect func()        // called when the client was seen to leave; more than once at times
	total        *atomic.Int64 // bytes that are held, of all connections

	mu       sync.Mutex
	deadline time.Time     // for reads; zero: none
	reading  bool          // a caller of read is at it
	done     chan struct{} // closed when the goroutine of begin ends; nil: there is none
	stopping chan struct{} // closed when it is to end
	buffered []byte
	err      error // that ended reading
	released bool  // nothing is held any more
}

// begin reads ahead until read is called. It does nothing where somebody reads already, or all has been read.
func (r *readAhead) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading || r.done != nil || r.err != nil {
		return
	}
	r.done, r.stopping = make(chan struct{}), make(chan struct{})
	go r.run(r.done, r.stopping)
}

// read reads for a caller: first what was read ahead.
func (r *readAhead) read(b []byte) (int, error) {
	r.stop()
	r.mu.Lock()
	if len(r.buffered) > 0 || r.err != nil {
		defer r.mu.Unlock()
		return r.take(b)
	}
	r.reading = true
	r.mu.Unlock()
	n, err := r.conn.Read(b)
	r.mu.Lock()
	r.reading = false
	r.mu.Unlock()
	return n, err
}

// take gives what was read ahead, then the error that ended it; the lock is held.
func (r *readAhead) take(b []byte) (int, error) {
	if len(r.buffered) == 0 {
		return 0, r.err
	}
	n := copy(b, r.buffered)
	r.total.Add(-int64(n))
	r.buffered = r.buffered[n:]
	if len(r.buffered) == 0 {
		r.buffered = nil
	}
	return n, nil
}

// stop ends reading ahead, and returns when it has ended.
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

// setDeadline sets the deadline for reads. One that passes ends reading ahead, but is no end of the connection.
func (r *readAhead) setDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = t
	if r.isStopping() {
		return nil // stop sets it
	}
	return r.conn.SetReadDeadline(t)
}

// isStopping reports whether stop is under way; the lock is held.
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

// run is the goroutine of begin.
func (r *readAhead) run(done, stopping chan struct{}) {
	defer close(done)
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := r.conn.Read(chunk)
		hasLeft := err != nil && !isTimeout(err)
		isFull := r.hold(chunk[:n], hasLeft, err)
		switch {
		case hasLeft:
			r.onDisconnect()
			return
		case err != nil:
			return
		case isFull:
			r.pollPeer(stopping)
			return
		}
	}
}

// hold keeps what was read, and the error if it is the end. It reports whether no more may be held.
func (r *readAhead) hold(b []byte, isEnd bool, err error) (isFull bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return true
	}
	r.buffered = append(r.buffered, b...)
	if isEnd {
		r.err = err
	}
	return r.total.Add(int64(len(b))) >= maxTotalReadAhead || len(r.buffered) >= maxReadAhead
}

// release forgets what is held, of a connection that was closed.
func (r *readAhead) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Add(-int64(len(r.buffered)))
	r.buffered, r.released = nil, true
}

// isTimeout reports whether an error of a connection's Read is a deadline that passed. Each request meets one, as
// http.Server ends its read in the background so: errors.As took a twentieth of the processor time of all of it.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error) //nolint:errorlint // as Read returns it
	return ok && netErr.Timeout()
}

// pollPeer looks whether the client has closed its side, until stopping is closed.
func (r *readAhead) pollPeer(stopping <-chan struct{}) {
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
