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
	maxInterim       = 16  // responses with a 1xx status before the final one
	maxWarmupMillis  = 1e9 // what is told beyond it is not believed
	minFinalStatus   = 200
	minInterimStatus = 100
)

// What http.ReadResponse needs to know: whether the response has a body.
var (
	getRequest  = &http.Request{Method: http.MethodGet}
	headRequest = &http.Request{Method: http.MethodHead}
)

// readHead reads the head of the next final response. Its error has ended the connection.
func (a *attempt) readHead() (*http.Response, error) {
	k, request := a.conn, getRequest
	if a.call.Method == http.MethodHead {
		request = headRequest
	}
	for range maxInterim {
		k.headBudget, k.readErr, k.receivedBytes = maxHeadBytes, nil, k.reader.Buffered() > 0
		resp, err := http.ReadResponse(k.reader, request)
		k.headBudget = unlimitedHead
		switch {
		case err != nil && !k.receivedBytes:
			return nil, a.readFailure(apierror.ConnectionBroken, err)
		case err != nil:
			return nil, a.readFailure(apierror.TruncatedResponse, err)
		case !isHTTP1(resp):
			return nil, a.fail(apierror.InvalidResponse, errVersion)
		case resp.StatusCode >= minFinalStatus:
			return resp, nil
		}
	}
	return nil, a.fail(apierror.InvalidResponse, errInterim)
}

// isHTTP1 reports whether a response, final or interim, may be one to a request of this package. Nobody has asked for
// another protocol: after 101 no response would come.
func isHTTP1(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= minInterimStatus &&
		resp.StatusCode != http.StatusSwitchingProtocols
}

// skipResponse reads past a response to another request, whole. It reports false if its end cannot be found,
// because that request or this one was a HEAD, or it says no length. The connection is out of step from then on.
func (a *attempt) skipResponse(resp *http.Response) bool {
	a.outOfStep = true
	if a.call.Method == http.MethodHead || a.conn.carriedHead || isUnbounded(resp, "") {
		return false
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// isUnbounded reports whether only the end of the connection ends the body.
func isUnbounded(resp *http.Response, method string) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead
}

// readBody reads what is buffered of the body; whole is false if there is more. Its error has ended the connection.
func (a *attempt) readBody(resp *http.Response) (body []byte, whole bool, err error) {
	maxBytes := a.pool.options.MaxBufferedBody
	if resp.Body == http.NoBody || a.call.Method == http.MethodHead {
		return nil, true, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= int64(maxBytes) {
		body = make([]byte, n)
		if _, err = io.ReadFull(resp.Body, body); err != nil {
			return nil, false, a.readFailure(apierror.TruncatedResponse, err)
		}
		return body, true, nil
	}
	// One byte more than is buffered tells a body of just that length from a longer one.
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
		if err == io.EOF { // itself: one that is wrapped is a connection that broke before the end
			return body, true, nil
		}
		if err != nil {
			return nil, false, a.readFailure(apierror.TruncatedResponse, err)
		}
	}
	return body, false, nil
}

// newResponse takes over the head, all but the fields of the connection.
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
	a.idleTimeout = a.pool.idleTimeout(h)
	StripHopByHop(h)
	delete(h, "Content-Length")
	return r
}

func parseWarmup(values []string) (left time.Duration, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	ms, err := strconv.ParseFloat(values[0], 64)
	if inRange := ms >= 0 && ms < maxWarmupMillis; err != nil || !inRange { // NaN is out of range too
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// parseLoad reads "running,queued,capacity".
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

// hopByHopHeaders concern one connection only (RFC 9110, 7.6.1).
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

// StripHopByHop removes the fields that concern only one connection, those that Connection names included.
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
