package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/socket"
)

const (
	// maxBufferedBody is how much of a request's body is buffered, so that it can be sent again.
	maxBufferedBody = 128 << 10
	firstBodyBuffer = 4096
)

// requestBody is the body of a client's request: buffered whole, or its start buffered and the rest streamed.
type requestBody struct {
	buffered     []byte  // nil: there is no body
	isComplete   bool    // buffered is all of it
	stream       *upload // what follows buffered; nil: nothing that is wanted
	streamLength int64   // its bytes; negative: unknown
}

// stallTime is how long the endpoint of a streamed body may take for a part of it until the client's connection is read
// ahead: only then does it show that the client leaves meanwhile.
const stallTime = 50 * time.Millisecond

// errClientDisconnected ends a body whose client has left: what is still there of it is not passed on.
var errClientDisconnected = errors.New("the client has left")

// upload is the streamed part of a body. Its reader may be active when the response is there.
type upload struct {
	io.Reader
	conn  *clientConn   // nil: the request came by none of this package
	probe *socket.Probe // of conn
	stall *time.Timer   // fires when nobody has read on for stallTime
	done  atomic.Bool   // it was read to its end
	left  int64         // bytes that its length promises; negative: unknown
}

// Read notes the end of the stream. The client's leaving shows here before the last of what it sent is passed on: with
// that, the endpoint would begin to work.
func (u *upload) Read(b []byte) (int, error) {
	u.stall.Stop()
	n, err := u.Reader.Read(b)
	if u.probe.HasPeerClosed() {
		u.conn.onDisconnect()
		return 0, errClientDisconnected
	}
	if u.left >= 0 {
		u.left -= int64(n)
	}
	isEnd := err == io.EOF || u.left == 0
	u.done.Store(isEnd)
	if err == nil && !isEnd {
		u.stall.Reset(stallTime)
	}
	return n, err
}

// bufferBody reads the body, whole up to maxBufferedBody.
func (q *clientRequest) bufferBody() apierror.Kind {
	r := q.request
	q.body.isComplete = r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody
	if q.body.isComplete {
		return apierror.None
	}
	reader := http.MaxBytesReader(nil, r.Body, q.config.Limits.BodyBytes)
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(q.deadline) // fails only on a closed connection, which the reader shows
	var err error
	q.body.buffered, q.body.isComplete, err = readUpTo(reader, maxBufferedBody, r.ContentLength)
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case q.body.isComplete:
		_ = control.SetReadDeadline(time.Time{})
		return apierror.None
	case err == nil:
		q.streamRest(reader)
		return apierror.None
	case errors.As(err, &tooLarge):
		return apierror.BodyTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.ClientTimeout
	}
	return apierror.Malformed
}

// readUpTo reads until maxBytes are there or the reader ends; isComplete says that it ended. length is what the
// reader is expected to have; negative: unknown.
func readUpTo(reader io.Reader, maxBytes int, length int64) (buf []byte, isComplete bool, err error) {
	expected := maxBytes
	if length >= 0 && length <= int64(maxBytes) {
		expected = int(length)
	}
	buf = make([]byte, 0, min(expected, firstBodyBuffer))
	for len(buf) < maxBytes {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):min(cap(buf), maxBytes)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}

// streamRest has what follows the buffered part streamed.
func (q *clientRequest) streamRest(reader io.Reader) {
	b := &q.body
	b.streamLength = -1
	if length := q.request.ContentLength; length >= 0 {
		b.streamLength = length - int64(len(b.buffered))
	}
	u := &upload{Reader: reader, conn: q.conn, left: b.streamLength}
	if u.conn == nil {
		u.stall = time.AfterFunc(stallTime, func() {})
	} else {
		u.probe = socket.NewProbe(u.conn.Conn)
		u.stall = time.AfterFunc(stallTime, u.conn.ahead.begin)
	}
	b.stream = u
	u.done.Store(b.streamLength == 0)
}

// isRead reports whether the client's body was read to its end.
func (q *clientRequest) isRead() bool {
	return q.body.isComplete || q.request.ContentLength == 0 || q.body.stream != nil && q.body.stream.done.Load()
}
