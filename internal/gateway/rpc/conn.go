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
	maxPendingBytes     = 24 << 20        // limit of the frames queued for sending
	writeTimeout        = 5 * time.Second // for one write
	readBufferBytes     = 4096
	maxReusedBufferSize = 64 << 10 // larger write buffers are released instead of reused
)

// FrameTooLargeError reports a received frame over MaxFrameBytes. The connection can no longer be used.
type FrameTooLargeError struct{ Bytes uint64 }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Bytes, MaxFrameBytes)
}

// Conn carries messages over a network connection. Send never blocks: if the queued frames would exceed
// maxPendingBytes, it closes the connection. A peer that is so far behind catches up faster from the first message of a
// new connection. Send and Close are safe for concurrent use. Receive must be called by one goroutine only.
type Conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	wake    chan struct{} // wakes the writer when there are frames to write
	done    chan struct{} // closed by Close

	mu      sync.Mutex
	pending []byte // frames queued for sending
	writing bool   // the writer was woken and is not yet idle again
	closed  bool   // no more frames are queued
	stopped bool   // done is closed
}

// NewConn takes ownership of a network connection and starts a writer goroutine, which ends with Close.
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

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Send queues a message. It does nothing on a closed connection.
func (c *Conn) Send(m *Message) { c.SendEncoded(Encode(m)) }

// SendEncoded queues a message that Encode has encoded.
func (c *Conn) SendEncoded(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if len(c.pending)+len(body) > maxPendingBytes {
		c.closed = true
		_ = c.netConn.Close() // Receive fails, and its caller calls Close
		return
	}
	c.pending = binary.AppendUvarint(c.pending, uint64(len(body)))
	c.pending = append(c.pending, body...)
	if !c.writing {
		c.writing = true
		c.wake <- struct{}{}
	}
}

// writeLoop writes the queued frames. Frames queued during one write are sent together by the next.
func (c *Conn) writeLoop() {
	var buffer []byte // the last written buffer, to be reused for queueing
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			frames := c.takePending(buffer)
			if frames == nil {
				break
			}
			_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
			if _, err := c.netConn.Write(frames); err != nil {
				c.Close()
				return
			}
			if buffer = frames; cap(buffer) > maxReusedBufferSize {
				buffer = nil
			}
		}
	}
}

// takePending returns the queued frames and reuses the given buffer for the next ones. If there are none, it returns
// nil and marks the writer as idle.
func (c *Conn) takePending(buffer []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.closed {
		c.writing = false
		return nil
	}
	frames := c.pending
	c.pending = buffer[:0]
	return frames
}

// Receive waits for the next message, up to the timeout if it is not 0. After an error, the caller must close the
// connection.
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

// Close closes the connection and stops its writer. It may be called more than once.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.stopped {
		c.stopped = true
		close(c.done)
	}
	_ = c.netConn.Close() // an error does not matter any more
}
