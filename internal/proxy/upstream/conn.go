package upstream

import (
	"bufio"
	"net"
	"time"

	"elmfold/internal/proxy/socket"
)

const (
	readBufferBytes = 4 << 10
	unlimitedHead   = -1 // in conn.headBudget
)

// conn is a connection, owned by one attempt at a time or by the idle list of its host.
type conn struct {
	net.Conn
	reader     *bufio.Reader // over the conn itself
	probe      *socket.Probe
	address    string
	generation int       // of its host when it was dialled
	idleUntil  time.Time // when it is to be closed, if idle

	// What it has carried.

	lastAttemptID   string // of the last request
	carriedOther    bool   // a request before the one that is under way
	carriedHead     bool   // a HEAD among those, whose surplus response would have no end that can be found
	carriedNameless bool   // a request without an id

	// Of the response that is being read.

	headBudget    int   // bytes that may still be read for a head, or unlimitedHead
	receivedBytes bool  // bytes of it have come
	readErr       error // what ended reading
}

func newConn(netConn net.Conn, address string, generation int) *conn {
	k := &conn{
		Conn:       netConn,
		probe:      socket.NewProbe(netConn),
		address:    address,
		generation: generation,
		headBudget: unlimitedHead,
	}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	return k
}

// Read is what reader fills itself from. It bounds heads and remembers what ended the connection.
func (k *conn) Read(b []byte) (int, error) {
	if k.headBudget >= 0 && len(b) > k.headBudget {
		b = b[:k.headBudget]
		if k.headBudget == 0 {
			k.readErr = errHead
			return 0, errHead
		}
	}
	n, err := k.Conn.Read(b)
	if k.headBudget >= 0 {
		k.headBudget -= n
	}
	k.receivedBytes = k.receivedBytes || n > 0
	if err != nil {
		k.readErr = err
	}
	return n, err
}

// checkQuiet returns nil if the connection is up and nothing waits on it. Nothing has been written yet when it is
// checked, so giving up one that is not quiet is no retry.
func (k *conn) checkQuiet() error { return k.probe.Peek() }
