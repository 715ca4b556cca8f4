package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/upstream"
)

const (
	copyBufferBytes = 32 << 10
	// writeGrace is how long after the request's deadline a client may take to read the response.
	writeGrace = 2 * time.Second
	// unreadBodyTimeout is how long a response waits for the rest of an unused request body, so that the connection can be
	// kept alive, and maxUnreadBody is how many bytes of it are discarded.
	unreadBodyTimeout = 5 * time.Millisecond
	maxUnreadBody     = 256 << 10
	// lingerTimeout is how long the proxy keeps reading after an early response, so that a reset of the connection does
	// not destroy the response.
	lingerTimeout = 300 * time.Millisecond
	// minKeepAlive is the idle timeout above which responses announce one: the timeout less one second.
	minKeepAlive = 2 * time.Second
)

// respond sends an endpoint's response to the client.
func (p *Proxy) respond(q *clientRequest, response *upstream.Response) {
	h := q.writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	p.setKeepAlive(h, q)
	if q.prepareEarlyResponse(h) {
		defer q.linger()
	}
	// Bounds the response to a client that does not read it.
	_ = http.NewResponseController(q.writer).SetWriteDeadline(q.deadline.Add(writeGrace))
	q.writer.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		_, _ = q.writer.Write(response.Body) // a write error means that the client has disconnected
	}
	if response.Rest != nil {
		copyRest(q.writer, response.Rest)
	}
}

// copyRest streams a response body. It aborts the client's connection if either side breaks off, so that a truncated
// body does not look complete.
func copyRest(w io.Writer, rest io.ReadCloser) {
	defer func() { _ = rest.Close() }()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF { // not errors.Is: a wrapped io.EOF is a connection that broke off
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// prepareEarlyResponse prepares a response that is sent before the request body was read to its end, and reports
// whether it is one. By default, net/http reads the rest of the body before it writes the response head: a slow client
// would delay the response, and the endpoint would miss bytes of a streamed body. So the response is sent first, and
// the connection is closed so that no byte of the body is parsed as a next request.
func (q *clientRequest) prepareEarlyResponse(h http.Header) bool {
	if q.isBodyRead() || q.discardRest() {
		return false
	}
	_ = http.NewResponseController(q.writer).EnableFullDuplex() // always supported for HTTP/1
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
	return true
}

// discardRest discards the rest of a short body, which most clients send in one packet with the head. It reports
// whether the body has been read to its end.
func (q *clientRequest) discardRest() bool {
	if q.body.stream != nil || q.request.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	if _, err := io.CopyN(io.Discard, q.request.Body, maxUnreadBody); !errors.Is(err, io.EOF) {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// linger limits how long net/http keeps reading the request body after an early response.
func (q *clientRequest) linger() {
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Now().Add(lingerTimeout))
}

// setKeepAlive sets the Connection or Keep-Alive field of a response.
func (p *Proxy) setKeepAlive(h http.Header, q *clientRequest) {
	if p.stopping.Load() || q.hasDisconnected() {
		h.Set("Connection", "close")
		return
	}
	if q.config != nil && q.config.Limits.IdleTimeout > minKeepAlive {
		seconds := int(q.config.Limits.IdleTimeout.Seconds()) - 1
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// respondError sends the response that the table of error kinds prescribes. A retryAfter above 0 overrides the table's.
func (p *Proxy) respondError(q *clientRequest, kind apierror.Kind, retryAfter time.Duration) {
	p.metrics.errorResponses.With(int(kind)).Inc()
	policy := kind.Policy()
	if retryAfter <= 0 {
		retryAfter = policy.RetryAfter
	}
	h := q.writer.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	p.setKeepAlive(h, q)
	if q.prepareEarlyResponse(h) {
		q.linger()
	}
	text := kind.String() + "\n"
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.writer.WriteHeader(policy.Status)
	_, _ = io.WriteString(q.writer, text) // a write error means that the client has disconnected
}
