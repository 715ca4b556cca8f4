package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	maxHeadBytes     = 64 << 10
	maxInterim       = 16  // 1xx responses before the final one
	maxWarmupMillis  = 1e9 // larger values are ignored as invalid
	minFinalStatus   = 200
	minInterimStatus = 100
)

// Requests passed to http.ReadResponse, which uses the method to decide whether the response has a body.
var (
	getRequest  = &http.Request{Method: http.MethodGet}
	headRequest = &http.Request{Method: http.MethodHead}
)

// readHead reads the head of the next final response. On an error it closes the connection.
func (a *attempt) readHead() (*http.Response, error) {
	pc, request := a.conn, getRequest
	if a.call.Method == http.MethodHead {
		request = headRequest
	}
	for range maxInterim {
		pc.headBytesLeft, pc.readErr, pc.receivedBytes = maxHeadBytes, nil, pc.reader.Buffered() > 0
		resp, err := http.ReadResponse(pc.reader, request)
		pc.headBytesLeft = unlimitedHeadBytes
		switch {
		case err != nil && !pc.receivedBytes:
			return nil, a.failRead(apierror.ConnectionBroken, err)
		case err != nil:
			return nil, a.failRead(apierror.TruncatedResponse, err)
		case !isHTTP1(resp):
			return nil, a.fail(apierror.InvalidResponse, errNotHTTP1)
		case resp.StatusCode >= minFinalStatus:
			return resp, nil
		}
	}
	return nil, a.fail(apierror.InvalidResponse, errTooManyInterim)
}

// isHTTP1 reports whether a final or interim response belongs to plain HTTP/1. 101 does not, because it announces
// another protocol, which this package never requests.
func isHTTP1(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= minInterimStatus &&
		resp.StatusCode != http.StatusSwitchingProtocols
}

// discardResponse reads and discards a response to another request. It returns false if the end of the response cannot
// be found, because the current or an earlier request was a HEAD, or because the end of the connection delimits the
// response.
func (a *attempt) discardResponse(resp *http.Response) bool {
	a.desynchronized = true
	if a.call.Method == http.MethodHead || a.conn.servedHEAD || isCloseDelimited(resp, "") {
		return false
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// isCloseDelimited reports whether the end of the connection delimits the body (RFC 9112, 6.3).
func isCloseDelimited(resp *http.Response, method string) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead
}

// readBody reads up to MaxBufferedBody bytes of the body, and one more to detect a longer body; whole is false if there
// is more to read. On an error it closes the connection.
func (a *attempt) readBody(resp *http.Response) (body []byte, whole bool, err error) {
	maxBytes := a.pool.options.MaxBufferedBody
	if resp.Body == http.NoBody || a.call.Method == http.MethodHead {
		return nil, true, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= int64(maxBytes) {
		body = make([]byte, n)
		if _, err = io.ReadFull(resp.Body, body); err != nil {
			return nil, false, a.failRead(apierror.TruncatedResponse, err)
		}
		return body, true, nil
	}
	limit := maxBytes + 1
	body = make([]byte, 0, min(limit, readBufferBytes))
	if resp.ContentLength > 0 {
		body = make([]byte, 0, limit)
	}
	for len(body) < limit {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(limit, 2*cap(body))), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF { // a wrapped io.EOF means a truncated body
			return body, true, nil
		}
		if err != nil {
			return nil, false, a.failRead(apierror.TruncatedResponse, err)
		}
	}
	return body, false, nil
}

// newResponse returns a Response with the head of resp, without hop-by-hop fields. It takes over resp.Header.
func (a *attempt) newResponse(resp *http.Response) *Response {
	h := resp.Header
	r := &Response{
		Status:  resp.StatusCode,
		Header:  h,
		Length:  resp.ContentLength,
		HasSeal: len(h[HeaderServerSeal]) > 0,
	}
	r.Load, r.HasLoad = parseLoad(h.Get(HeaderServerLoad))
	r.WarmupLeft, r.HasWarmup = parseWarmup(h[HeaderWarmup])
	a.idleTimeout = a.pool.parseIdleTimeout(h)
	StripHopByHop(h)
	delete(h, "Content-Length")
	return r
}

func parseWarmup(values []string) (left time.Duration, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	ms, err := strconv.ParseFloat(values[0], 64)
	if inRange := ms >= 0 && ms < maxWarmupMillis; err != nil || !inRange { // NaN fails inRange
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// parseLoad parses "running,queued,capacity".
func parseLoad(s string) (l Load, ok bool) {
	running, rest, ok1 := strings.Cut(s, ",")
	queued, capacity, ok2 := strings.Cut(rest, ",")
	if !ok1 || !ok2 {
		return l, false
	}
	for _, field := range []struct {
		text string
		n    *int
	}{{running, &l.Running}, {queued, &l.Queued}, {capacity, &l.Capacity}} {
		n, err := strconv.Atoi(strings.TrimSpace(field.text))
		if err != nil || n < 0 {
			return Load{}, false
		}
		*field.n = n
	}
	return l, true
}

// hopByHopHeaders lists the fields that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Authentication-Info",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// StripHopByHop removes the hop-by-hop fields from h, including those that the Connection field lists.
func StripHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for value != "" {
			var name string
			name, value, _ = strings.Cut(value, ",")
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
