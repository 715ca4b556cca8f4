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
	// maxBufferedBody is the largest request body, in bytes, that is buffered whole and can therefore be sent again.
	maxBufferedBody   = 128 << 10
	initialBodyBuffer = 4096
)

// requestBody is the body of a client request. Of a body longer than maxBufferedBody, the start is buffered and the
// rest is streamed.
type requestBody struct {
	buffered     []byte  // nil: there is no body
	isComplete   bool    // buffered holds the whole body
	stream       *upload // the part after buffered; nil: there is none to forward
	streamLength int64   // bytes in stream; negative: unknown
}

// uploadStallTimeout is how long an endpoint may leave a streamed body unread before the proxy reads ahead on the
// client's connection. A disconnect of the client is detected only while something reads that connection.
const uploadStallTimeout = 50 * time.Millisecond

// errClientDisconnected ends a streamed body whose client has disconnected.
var errClientDisconnected = errors.New("client disconnected")

// upload is the streamed part of a request body. The upstream connection may still read it when the response arrives.
type upload struct {
	io.Reader
	conn       *clientConn   // nil: the connection was not accepted by this package
	probe      *socket.Probe // of conn
	stallTimer *time.Timer   // fires uploadStallTimeout after the last read
	done       atomic.Bool   // the body was read to its end
	remaining  int64         // unread bytes of the declared length; negative: unknown
}

// Read checks for a client disconnect before it returns data, because an endpoint starts to work on a request once the
// last bytes of its body arrive.
func (u *upload) Read(b []byte) (int, error) {
	u.stallTimer.Stop()
	n, err := u.Reader.Read(b)
	if u.probe.HasPeerClosed() {
		u.conn.onDisconnect()
		return 0, errClientDisconnected
	}
	if u.remaining >= 0 {
		u.remaining -= int64(n)
	}
	isEnd := err == io.EOF || u.remaining == 0
	u.done.Store(isEnd)
	if err == nil && !isEnd {
		u.stallTimer.Reset(uploadStallTimeout)
	}
	return n, err
}

// bufferBody buffers up to maxBufferedBody of the body and sets up streaming of the rest.
func (q *clientRequest) bufferBody() apierror.Kind {
	r := q.request
	q.body.isComplete = r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody
	if q.body.isComplete {
		return apierror.None
	}
	reader := http.MaxBytesReader(nil, r.Body, q.config.Limits.BodyBytes)
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(q.deadline) // fails only on a closed connection, where reading fails too
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

// readUpTo reads until it has maxBytes or the reader ends; isComplete reports that the reader ended. length is the
// expected length; negative: unknown.
func readUpTo(reader io.Reader, maxBytes int, length int64) (buf []byte, isComplete bool, err error) {
	expected := maxBytes
	if length >= 0 && length <= int64(maxBytes) {
		expected = int(length)
	}
	buf = make([]byte, 0, min(expected, initialBodyBuffer))
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

// streamRest sets up streaming of the body from reader.
func (q *clientRequest) streamRest(reader io.Reader) {
	b := &q.body
	b.streamLength = -1
	if length := q.request.ContentLength; length >= 0 {
		b.streamLength = length - int64(len(b.buffered))
	}
	u := &upload{Reader: reader, conn: q.conn, remaining: b.streamLength}
	if u.conn == nil {
		u.stallTimer = time.AfterFunc(uploadStallTimeout, func() {})
	} else {
		u.probe = socket.NewProbe(u.conn.Conn)
		u.stallTimer = time.AfterFunc(uploadStallTimeout, u.conn.ahead.start)
	}
	b.stream = u
	u.done.Store(b.streamLength == 0)
}

// isBodyRead reports whether the client's body was read to its end.
func (q *clientRequest) isBodyRead() bool {
	return q.body.isComplete || q.request.ContentLength == 0 || q.body.stream != nil && q.body.stream.done.Load()
}
