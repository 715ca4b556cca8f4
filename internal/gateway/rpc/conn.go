package rpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxPendingBytes    = 24 << 20        // of frames that wait for the other side
	writeTimeout       = 5 * time.Second // of one write
	readBufferBytes    = 4096
	maxKeptBufferBytes = 64 << 10 // a write buffer that has grown larger is not used again
)

// FrameTooLargeError is a frame over MaxFrameBytes. The connection is of no further use.
type FrameTooLargeError struct{ Bytes uint64 }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, %d are allowed", e.Bytes, MaxFrameBytes)
}

// Conn carries messages over a network connection. Send never waits for the other side: where the frames that wait
// exceed maxPendingBytes the connection is closed, because a reader that has fallen so far behind is better off
// with the first message of a new connection. Send and Close are safe for concurrent use; Receive belongs to one
// goroutine.
type Conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	wake    chan struct{} // holds a token while there is something to write and the writer is idle
	done    chan struct{} // closed by Close

	mu      sync.Mutex
	pending []byte // frames that wait to be written
	writing bool   // the writer was woken and is not idle again
	closed  bool   // nothing is queued any more
	stopped bool   // done is closed
}

// NewConn takes over a network connection and starts its writer, which ends with Close.
func NewConn(netConn net.Conn) *Conn {
	c := &Conn{
		netConn: netConn,
		reader:  bufio.NewReaderSize(netConn, readBufferBytes),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Send queues a message. On a connection that is closed it does nothing.
func (c *Conn) Send(m *Message) { c.SendEncoded(Encode(m)) }

// SendEncoded queues a body that Encode made.
func (c *Conn) SendEncoded(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if len(c.pending)+len(body) > maxPendingBytes {
		c.closed = true
		_ = c.netConn.Close() // the reader notices and calls Close
		return
	}
	c.pending = binary.AppendUvarint(c.pending, uint64(len(body)))
	c.pending = append(c.pending, body...)
	if !c.writing {
		c.writing = true
		c.wake <- struct{}{}
	}
}

// writeLoop writes what is queued. All that came during one write goes out in the next.
func (c *Conn) writeLoop() {
	var spare []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			frames := c.takePending(spare)
			if frames == nil {
				break
			}
			_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
			if _, err := c.netConn.Write(frames); err != nil {
				c.Close()
				return
			}
			if spare = frames; cap(spare) > maxKeptBufferBytes {
				spare = nil
			}
		}
	}
}

// takePending returns the frames that wait and puts an empty buffer in their place; nil: there are none, and the writer
// is idle from now on.
func (c *Conn) takePending(empty []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.closed {
		c.writing = false
		return nil
	}
	frames := c.pending
	c.pending = empty[:0]
	return frames
}

// Receive waits for the next message, at most for timeout (0: for ever). After an error the connection is of no further
// use; the caller closes it.
func (c *Conn) Receive(timeout time.Duration) (*Message, error) {
	if timeout > 0 {
		_ = c.netConn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	}
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, err
	}
	if length > MaxFrameBytes {
		return nil, &FrameTooLargeError{Bytes: length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return nil, err
	}
	return Decode(body)
}

// Close ends the connection and its writer. It may be called more than once.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.stopped {
		c.stopped = true
		close(c.done)
	}
	_ = c.netConn.Close() // what could fail is of no interest any more
}
