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
	// writeGrace is how much longer a client may take to read a response than the request could last.
	writeGrace = 2 * time.Second
	// unreadBodyWait is how long a response waits for a body that nobody wants, so that the connection may stay, and
	// maxUnreadBody how many bytes of it are read for that.
	unreadBodyWait = 5 * time.Millisecond
	maxUnreadBody  = 256 << 10
	// lingerDuration is how long a connection is read on after a response that was there before the end of the body, so
	// that the response arrives.
	lingerDuration = 300 * time.Millisecond
	// minKeepAlive is the idle timeout from which on it is announced to clients, less one second.
	minKeepAlive = 2 * time.Second
)

// respond passes on an endpoint's response as it is.
func (p *Proxy) respond(q *clientRequest, response *upstream.Response) {
	h := q.writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // net/http guesses none
	}
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	p.setKeepAlive(h, q)
	if q.prepareEarly(h) {
		defer q.linger()
	}
	// A client that does not read must not hold the response for ever.
	_ = http.NewResponseController(q.writer).SetWriteDeadline(q.deadline.Add(writeGrace))
	q.writer.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		_, _ = q.writer.Write(response.Body) // a client that has gone wants no more
	}
	if response.Rest != nil {
		copyRest(q.writer, response.Rest)
	}
}

// copyRest streams a body. What is cut short on either side must not look complete, so it aborts the connection.
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
		if err == io.EOF { // itself: one that is wrapped is a connection that broke before the end
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// prepareEarly prepares a response that is there before the client's body was read to its end, and reports whether
// it is one. net/http would read what is left before it writes the head: a client that takes its time would hold
// the response up, and of a streamed body it would take bytes away from the endpoint. So the response goes out
// first, and the connection ends: no byte of the body may be taken for a next request.
func (q *clientRequest) prepareEarly(h http.Header) bool {
	if q.isRead() || q.discardRest() {
		return false
	}
	_ = http.NewResponseController(q.writer).EnableFullDuplex() // HTTP/1 always can
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
	return true
}

// discardRest reads the rest of a short body, which most clients send in one packet with the head. It reports whether
// that was all.
func (q *clientRequest) discardRest() bool {
	if q.body.stream != nil || q.request.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyWait))
	if _, err := io.CopyN(io.Discard, q.request.Body, maxUnreadBody); !errors.Is(err, io.EOF) {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// linger bounds what is still read from a client whose response was there before the end of its body.
func (q *clientRequest) linger() {
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Now().Add(lingerDuration))
}

// setKeepAlive says how long the connection stays.
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

// refuse answers by the table of kinds. retryAfter goes before the kind's own; 0: there is none.
func (p *Proxy) refuse(q *clientRequest, kind apierror.Kind, retryAfter time.Duration) {
	policy := kind.Policy()
	if retryAfter <= 0 {
		retryAfter = policy.RetryAfter
	}
	h := q.writer.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	p.setKeepAlive(h, q)
	if q.prepareEarly(h) {
		q.linger()
	}
	text := kind.String() + "\n"
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.writer.WriteHeader(policy.Status)
	_, _ = io.WriteString(q.writer, text) // a client that has gone wants no more
}
