package upstream

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bufs are the buffers of heads with small bodies, and of pieces of streams.
var bufs = sync.Pool{New: func() any { b := make([]byte, 0, readSize); return &b }}

func putBuf(b *[]byte) {
	if cap(*b) <= 128<<10 {
		bufs.Put(b)
	}
}

// check keeps apart what would be two requests for the backend.
func check(c *Call) error {
	for _, s := range [...]string{c.Method, c.Target, c.Host, c.AttemptID, c.Instance} {
		for i := range len(s) {
			if s[i] <= ' ' || s[i] == 0x7f {
				return errors.New("a blank or control byte in the request's head")
			}
		}
	}
	if c.Method == "" || c.Target == "" {
		return errors.New("no method or no request-target")
	}
	for name, vs := range c.Header {
		if strings.ContainsAny(name, "\r\n: ") {
			return errors.New("no field name: " + strconv.Quote(name))
		}
		for _, v := range vs {
			if strings.ContainsAny(v, "\r\n\x00") {
				return errors.New("a line break in field " + name)
			}
		}
	}
	return nil
}

// appendRequest appends the head and what is held of the body, so that they go out in one write.
func appendRequest(b []byte, c *Call, left time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", c.Host)
	if c.AttemptID != "" {
		b = appendField(b, FieldID, c.AttemptID)
	}
	if c.Instance != "" {
		b = appendField(b, FieldInstance, c.Instance)
	}
	b = append(b, FieldBudget+": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"...)
	for name, vs := range c.Header {
		switch name {
		case "Host", "Content-Length", "Transfer-Encoding", "Connection", FieldID, FieldInstance, FieldBudget:
			continue // the caller's to strip; a second one would change what the request is
		}
		for _, v := range vs {
			b = appendField(b, name, v)
		}
	}
	switch {
	case c.Stream != nil && c.StreamLen < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(c.Body) > 0 {
			b = strconv.AppendInt(b, int64(len(c.Body)), 16)
			b = append(b, "\r\n"...)
			b = append(b, c.Body...)
			b = append(b, "\r\n"...)
		}
		return b
	case c.Stream != nil:
		b = appendLength(b, int64(len(c.Body))+c.StreamLen)
	case c.HasBody:
		b = appendLength(b, int64(len(c.Body)))
	default:
		return append(b, "\r\n"...)
	}
	return append(b, c.Body...)
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

// sender writes a stream beside the reading of the answer: a backend may answer, or refuse, before it has read all.
type sender struct {
	done chan struct{} // closed at the end; what follows is set before
	from error         // the stream broke off
	to   error         // the connection did
}

// sent says that all has been written. A nil sender had nothing to write.
func (s *sender) sent() bool {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
		return s.from == nil && s.to == nil
	default:
		return false
	}
}

// failure is how the stream broke off, nil if it hasn't.
func (s *sender) failure() error {
	if s == nil {
		return nil
	}
	select {
	case <-s.done:
		return s.from
	default:
		return nil
	}
}

// run copies by hand: io.Copy would ask the kernel to splice where it can.
func (s *sender) run(to net.Conn, stream io.Reader, left int64) {
	const room = 8 // of a chunk's size in hex with its line end
	b := make([]byte, 32<<10)
	chunked := left < 0
	for s.to == nil {
		piece := b[room : len(b)-2]
		if !chunked {
			piece = b[:min(int64(len(b)), left)]
		}
		n, err := stream.Read(piece)
		switch {
		case n > 0 && chunked:
			const hex = "0123456789abcdef"
			for i, m := room-3, n; i >= 0; i, m = i-1, m>>4 {
				b[i] = hex[m&15]
			}
			b[room-2], b[room-1] = '\r', '\n'
			b[room+n], b[room+n+1] = '\r', '\n'
			_, s.to = to.Write(b[:room+n+2])
		case n > 0:
			left -= int64(n)
			_, s.to = to.Write(b[:n])
		}
		if !chunked && left == 0 {
			break
		}
		if err == io.EOF && chunked {
			if s.to == nil {
				_, s.to = io.WriteString(to, "0\r\n\r\n")
			}
			break
		}
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			s.from = err
			break
		}
	}
	// The backend must see that a body broke off; the connection's end is the only way to say so. When the backend
	// takes no more, its answer may still be read.
	broke := s.from != nil
	close(s.done)
	if broke {
		to.Close()
	}
}
