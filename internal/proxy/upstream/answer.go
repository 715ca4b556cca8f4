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

// What http.ReadResponse wants to know: whether the answer has a body.
var (
	askedGet  = &http.Request{Method: http.MethodGet}
	askedHead = &http.Request{Method: http.MethodHead}
)

// head reads the next final answer's head. Its error has ended the connection.
func (t *try) head() (*http.Response, error) {
	k, asked := t.k, askedGet
	if t.c.Method == http.MethodHead {
		asked = askedHead
	}
	for range 16 {
		k.room, k.broke, k.seen = headMost, nil, k.br.Buffered() > 0
		resp, err := http.ReadResponse(k.br, asked)
		k.room = -1
		switch {
		case err != nil && !k.seen:
			return nil, t.failed(apierror.ConnectionBroken, err)
		case err != nil:
			return nil, t.failed(apierror.TruncatedResponse, err)
		case resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols:
			// nobody has asked for another protocol: no answer would come
			return nil, t.fault(apierror.InvalidResponse, errVersion)
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
	return nil, t.fault(apierror.InvalidResponse, errInterim)
}

// skip reads past an answer to another request, whole; false: its end can't be found, as that request or this one was
// a HEAD, or it says no length. The connection is out of step from then on.
func (t *try) skip(resp *http.Response) bool {
	t.spoilt = true
	if t.c.Method == http.MethodHead || t.k.heads || openEnded(resp, "") {
		return false
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// openEnded says that only the connection's end ends the body.
func openEnded(resp *http.Response, method string) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead
}

// body reads what is to be held of the body. whole is false if there is more. Its error has ended the connection.
func (t *try) body(resp *http.Response) (b []byte, whole bool, err error) {
	hold := t.p.o.HoldMost
	if resp.Body == http.NoBody || t.c.Method == http.MethodHead {
		return nil, true, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= int64(hold) {
		b = make([]byte, n)
		if _, err = io.ReadFull(resp.Body, b); err != nil {
			return nil, false, t.failed(apierror.TruncatedResponse, err)
		}
		return b, true, nil
	}
	// One byte more than is held tells a body of just that length from a longer one.
	most := hold + 1
	b = make([]byte, 0, min(most, readSize))
	if resp.ContentLength > 0 {
		b = make([]byte, 0, most)
	}
	for len(b) < most {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(most, 2*cap(b))), b...)
		}
		n, err := resp.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, true, nil
		}
		if err != nil {
			return nil, false, t.failed(apierror.TruncatedResponse, err)
		}
	}
	return b, false, nil
}

// newAnswer takes the head over, all but the fields of the connection.
func (t *try) newAnswer(resp *http.Response) *Answer {
	h := resp.Header
	a := &Answer{Status: resp.StatusCode, Header: h, Length: resp.ContentLength, Seal: len(h[FieldSeal]) > 0}
	a.Load, a.HasLoad = parseLoad(h.Get(FieldLoad))
	if v := h[FieldCold]; len(v) > 0 {
		if ms, err := strconv.ParseFloat(v[0], 64); err == nil && ms >= 0 && ms < 1e9 {
			a.Cold, a.HasCold = time.Duration(ms*float64(time.Millisecond)), true
		}
	}
	t.keep = t.p.keepFor(h)
	StripHop(h)
	delete(h, "Content-Length")
	return a
}

// parseLoad reads "running,waiting,slots".
func parseLoad(s string) (l Load, ok bool) {
	run, s, ok1 := strings.Cut(s, ",")
	wait, slots, ok2 := strings.Cut(s, ",")
	if !ok1 || !ok2 {
		return l, false
	}
	for _, f := range []struct {
		s string
		n *int
	}{{run, &l.Running}, {wait, &l.Waiting}, {slots, &l.Slots}} {
		n, err := strconv.Atoi(strings.TrimSpace(f.s))
		if err != nil || n < 0 {
			return Load{}, false
		}
		*f.n = n
	}
	return l, true
}

// Fields of one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Authentication-Info", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// StripHop removes the fields that concern only one connection, those that Connection names included.
func StripHop(h http.Header) {
	for _, v := range h["Connection"] {
		for v != "" {
			var name string
			name, v, _ = strings.Cut(v, ",")
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}
