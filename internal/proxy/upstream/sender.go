package upstream

import (
	"io"
)

const (
	senderBufferBytes = 32 << 10
	chunkPrefixBytes  = 8 // six hexadecimal digits and CRLF
	chunkSuffixBytes  = 2 // CRLF
	lastChunk         = "0\r\n\r\n"
)

// bodySender writes a streamed request body while the response is read, because an endpoint may respond before it has
// read the whole body. A nil bodySender is done.
type bodySender struct {
	done      chan struct{} // closed when the sender stops; the errors are set before
	attempt   *attempt
	streamErr error // error of reading the stream
	writeErr  error // error of writing to the connection
}

// startBodySender starts to write a stream of the given length. A negative length means that it is unknown, and the
// body is sent in chunks.
func startBodySender(a *attempt, stream io.Reader, length int64) *bodySender {
	s := &bodySender{done: make(chan struct{}), attempt: a}
	go s.run(stream, length)
	return s
}

// isDone reports whether the whole body is written.
func (s *bodySender) isDone() bool {
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

// streamError returns the error of reading the stream, or nil if there is none so far.
func (s *bodySender) streamError() error {
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

// run writes the stream. If the stream fails, it closes the connection, so that the endpoint detects the truncated
// body. If a write fails, it leaves the connection open, because the endpoint's response may still be readable.
func (s *bodySender) run(stream io.Reader, length int64) {
	conn := s.attempt.conn.Conn // the attempt may give it away once done is closed
	if length < 0 {
		s.copyChunked(stream)
	} else {
		s.copyBytes(stream, length)
	}
	close(s.done)
	if s.streamErr != nil {
		_ = conn.Close() // fails only if the connection is closed already
	}
}

// copyBytes copies length bytes without io.Copy, which would try to use splice.
func (s *bodySender) copyBytes(stream io.Reader, left int64) {
	buf := make([]byte, senderBufferBytes)
	for left > 0 && s.writeErr == nil {
		n, err := stream.Read(buf[:min(int64(len(buf)), left)])
		if n > 0 {
			left -= int64(n)
			_, s.writeErr = s.attempt.write(buf[:n], left == 0)
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

func (s *bodySender) copyChunked(stream io.Reader) {
	buf := make([]byte, senderBufferBytes)
	for s.writeErr == nil {
		n, err := stream.Read(buf[chunkPrefixBytes : len(buf)-chunkSuffixBytes])
		if n > 0 {
			_, s.writeErr = s.attempt.write(frameChunk(buf, n), false)
		}
		switch {
		case err == io.EOF:
			if s.writeErr == nil {
				_, s.writeErr = s.attempt.write([]byte(lastChunk), true)
			}
			return
		case err != nil:
			s.streamErr = err
			return
		}
	}
}

// frameChunk adds the prefix and suffix of a chunk to n bytes of data at buf[chunkPrefixBytes:].
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
