package upstream

import (
	"io"
	"net"
)

const (
	senderBufferBytes = 32 << 10
	chunkPrefixBytes  = 8 // six hexadecimal digits and a line end
	chunkSuffixBytes  = 2 // a line end
	lastChunk         = "0\r\n\r\n"
)

// sender writes a stream beside the reading of the response: an endpoint may respond, or reject the request, before it
// has read all. A nil sender had nothing to write.
type sender struct {
	done      chan struct{} // closed at the end; the errors are set before
	onSent    func()        // called once all is written
	streamErr error         // the stream broke off
	writeErr  error         // the connection did
}

// startSender begins to write a stream. length is its bytes; negative: unknown, sent in chunks. onSent is called once
// all is written.
func startSender(to net.Conn, stream io.Reader, length int64, onSent func()) *sender {
	s := &sender{done: make(chan struct{}), onSent: onSent}
	go s.run(to, stream, length)
	return s
}

// isDone reports whether all has been written.
func (s *sender) isDone() bool {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
		return s.streamErr == nil && s.writeErr == nil
	default:
		return false
	}
}

// streamFailure is how the stream broke off, nil if it has not.
func (s *sender) streamFailure() error {
	if s == nil {
		return nil
	}
	select {
	case <-s.done:
		return s.streamErr
	default:
		return nil
	}
}

// run writes the stream. The endpoint must see that a body broke off, and the end of the connection is the only way to
// say so. When the endpoint takes no more, its response may still be read.
func (s *sender) run(to net.Conn, stream io.Reader, length int64) {
	if length < 0 {
		s.copyChunked(to, stream)
	} else {
		s.copyBytes(to, stream, length)
	}
	brokeOff := s.streamErr != nil
	if !brokeOff && s.writeErr == nil {
		s.onSent()
	}
	close(s.done)
	if brokeOff {
		_ = to.Close() // whatever it says, nothing more is sent
	}
}

// copyBytes copies by hand: io.Copy would ask the kernel to splice where it can.
func (s *sender) copyBytes(to net.Conn, stream io.Reader, left int64) {
	buf := make([]byte, senderBufferBytes)
	for left > 0 && s.writeErr == nil {
		n, err := stream.Read(buf[:min(int64(len(buf)), left)])
		if n > 0 {
			left -= int64(n)
			_, s.writeErr = to.Write(buf[:n])
		}
		if err == io.EOF && left > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && left > 0 {
			s.streamErr = err
			return
		}
	}
}

func (s *sender) copyChunked(to net.Conn, stream io.Reader) {
	buf := make([]byte, senderBufferBytes)
	for s.writeErr == nil {
		n, err := stream.Read(buf[chunkPrefixBytes : len(buf)-chunkSuffixBytes])
		if n > 0 {
			_, s.writeErr = to.Write(frameChunk(buf, n))
		}
		switch {
		case err == io.EOF:
			if s.writeErr == nil {
				_, s.writeErr = io.WriteString(to, lastChunk)
			}
			return
		case err != nil:
			s.streamErr = err
			return
		}
	}
}

// frameChunk writes the frame of a chunk of n bytes that stands behind the prefix of buf.
func frameChunk(buf []byte, n int) []byte {
	const hexDigits = "0123456789abcdef"
	size := n
	for i := chunkPrefixBytes - 3; i >= 0; i-- {
		buf[i] = hexDigits[size&15]
		size >>= 4
	}
	end := chunkPrefixBytes + n
	buf[chunkPrefixBytes-2], buf[chunkPrefixBytes-1] = '\r', '\n'
	buf[end], buf[end+1] = '\r', '\n'
	return buf[:end+chunkSuffixBytes]
}
