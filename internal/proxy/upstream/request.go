package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPooledBuffer is the maximum capacity of a buffer that is reused, in bytes.
const maxPooledBuffer = 128 << 10

// requestBuffers holds buffers for request heads and buffered bodies.
var requestBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, readBufferBytes)
	return &b
}}

func getBuffer() *[]byte {
	return requestBuffers.Get().(*[]byte) //nolint:forcetypeassert // the pool holds only *[]byte
}

func putBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		requestBuffers.Put(b)
	}
}

// validateCall rejects values that would break the framing of the request and so allow request smuggling.
func validateCall(c *Call) error {
	for _, s := range [...]string{c.Method, c.RequestTarget, c.Host, c.AttemptID, c.EndpointID} {
		for i := range len(s) {
			if s[i] <= ' ' || s[i] == 0x7f {
				return errors.New("space or control character in the request head")
			}
		}
	}
	if c.Method == "" || c.RequestTarget == "" {
		return errors.New("empty method or request target")
	}
	return validateHeader(c.Header)
}

func validateHeader(h http.Header) error {
	for name, values := range h {
		if strings.ContainsAny(name, "\r\n: ") {
			return errors.New("invalid header field name " + strconv.Quote(name))
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				return errors.New("line break or NUL in header field " + name)
			}
		}
	}
	return nil
}

// appendRequest appends the head and the buffered part of the body, to be sent in one write.
func appendRequest(b []byte, c *Call, left time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.RequestTarget...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", c.Host)
	if c.AttemptID != "" {
		b = appendField(b, HeaderAttemptID, c.AttemptID)
	}
	if c.EndpointID != "" {
		b = appendField(b, HeaderTargetInstance, c.EndpointID)
	}
	b = append(b, HeaderTimeBudget+": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"...)
	for name, values := range c.Header {
		if isReservedField(name) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	return appendBody(b, c)
}

// isReservedField reports whether a header field is not copied from the call: this package sets the field itself, or,
// for Expect, the proxy has already answered it on the client's connection.
func isReservedField(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect",
		HeaderAttemptID, HeaderTargetInstance, HeaderTimeBudget:
		return true
	}
	return false
}

// appendBody appends the fields that frame the body, the end of the head, and the buffered part of the body.
func appendBody(b []byte, c *Call) []byte {
	switch {
	case c.Stream != nil && c.StreamLen < 0:
		return appendFirstChunk(append(b, "Transfer-Encoding: chunked\r\n\r\n"...), c.Body)
	case c.Stream != nil:
		b = appendLength(b, int64(len(c.Body))+c.StreamLen)
	case c.HasBody:
		b = appendLength(b, int64(len(c.Body)))
	default:
		return append(b, "\r\n"...)
	}
	return append(b, c.Body...)
}

func appendFirstChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(chunk)), 16)
	b = append(b, "\r\n"...)
	b = append(b, chunk...)
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n\r\n"...)
}
