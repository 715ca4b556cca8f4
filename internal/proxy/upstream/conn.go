package upstream

import (
	"bufio"
	"net"
	"time"

	"elmfold/internal/proxy/socket"
)

const (
	readBufferBytes    = 4 << 10
	unlimitedHeadBytes = -1 // value of persistConn.headBytesLeft outside heads
)

// persistConn is a connection to an endpoint. It is used by one attempt, or is in the idle list of its host.
type persistConn struct {
	net.Conn
	reader     *bufio.Reader // reads from the persistConn
	probe      *socket.Probe
	address    string
	generation int       // host.generation when the connection was dialled
	idleUntil  time.Time // the connection is not reused after this time

	// Earlier requests on the connection.

	lastAttemptID     string // of the latest request, the current one included
	usedBefore        bool   // an earlier request was completed
	servedHEAD        bool   // a HEAD request was completed; the end of a late response to it cannot be found
	servedHealthCheck bool   // a health check was sent, the current request included

	// Response that is being read.

	headBytesLeft int   // limit for the rest of the head, or unlimitedHeadBytes
	receivedBytes bool  // some bytes of the response have arrived
	readErr       error // error that Read returned, if any
}

func newPersistConn(netConn net.Conn, address string, generation int) *persistConn {
	pc := &persistConn{
		Conn:          netConn,
		probe:         socket.NewProbe(netConn),
		address:       address,
		generation:    generation,
		headBytesLeft: unlimitedHeadBytes,
	}
	pc.reader = bufio.NewReaderSize(pc, readBufferBytes)
	return pc
}

// Read is called by reader. It enforces the limit on heads and records errors.
func (pc *persistConn) Read(b []byte) (int, error) {
	if pc.headBytesLeft >= 0 && len(b) > pc.headBytesLeft {
		b = b[:pc.headBytesLeft]
		if pc.headBytesLeft == 0 {
			pc.readErr = errHeadTooLong
			return 0, errHeadTooLong
		}
	}
	n, err := pc.Conn.Read(b)
	if pc.headBytesLeft >= 0 {
		pc.headBytesLeft -= n
	}
	pc.receivedBytes = pc.receivedBytes || n > 0
	if err != nil {
		pc.readErr = err
	}
	return n, err
}

// checkUsable returns nil if the connection is open and has no unread data. It is called before the request is written,
// so replacing an unusable connection does not send the request twice.
func (pc *persistConn) checkUsable() error { return pc.probe.Peek() }
