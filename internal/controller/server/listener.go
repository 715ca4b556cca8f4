// Package server accepts TCP connections from proxies and load collectors. It parses the lines that they send,
// passes the messages to a Handler and writes messages back. It enforces limits on memory, file descriptors and time.
//
// A connection joins with its first Subscribe or Source message. Until then it is unjoined: its limits are lower,
// and it may be evicted when connections run out.
package server

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/textproto"
)

// Reason is why a connection ended, as written to the log.
type Reason string

// Reasons for the end of a connection.
const (
	ReasonClosed          Reason = "closed"   // by the peer
	ReasonReset           Reason = "reset"    // by the peer or the network
	ReasonReplaced        Reason = "replaced" // by a newer stream of the same proxy
	ReasonJoinTimeout     Reason = "silent"   // the connection did not join in time
	ReasonConnectionLimit Reason = "crowded"  // evicted, or not accepted, because connections ran out
	ReasonLineTooLong     Reason = "too-long" // a line exceeds its limit
	ReasonMemoryLimit     Reason = "memory"   // long incomplete lines of all connections exceed their limit
	ReasonWriteBacklog    Reason = "unread"   // the peer does not read what is sent to it
	ReasonMalformed       Reason = "garbage"  // the peer sent something other than a message
	ReasonNotJoined       Reason = "unjoined" // a message other than Ping before the join
	ReasonRefused         Reason = "refused"  // the proxy or collector is unknown
	ReasonSocketError     Reason = "broken"   // any other socket error
	ReasonShutdown        Reason = "stopped"  // the listener was closed
)

// limits are the limits of one connection that do not depend on the configuration. Sizes are in bytes.
type limits struct {
	maxLine           int           // of a joined connection
	maxJoinLine       int           // of an unjoined connection
	maxUnjoinedUnsent int           // messages that wait to be written to an unjoined connection
	joinTimeout       time.Duration // from accept to join
	lateReadWindow    time.Duration // after joinTimeout, to read input that has already arrived
}

var defaultLimits = limits{
	maxLine:           1 << 20,
	maxJoinLine:       1 << 10,
	maxUnjoinedUnsent: 4 << 10,
	joinTimeout:       1500 * time.Millisecond,
	lateReadWindow:    20 * time.Millisecond,
}

const (
	readBufferBytes  = 4 << 10
	reservedFDs      = 20 // descriptors that are not connections
	minConns         = 8
	retryInterval    = 20 * time.Millisecond // between attempts to listen or accept
	maxListenRetries = 100
)

// Handler receives each message of a joined connection, and textproto.Closed when the connection has ended.
type Handler func(from *Conn, message any)

var lastSequence atomic.Uint64

// NextSequence returns a number that orders streams by when they were opened, on sockets and the pub-sub channel.
func NextSequence() uint64 { return lastSequence.Add(1) }

// Listener accepts connections and owns them.
type Listener struct {
	net     net.Listener
	handler Handler
	endLog  *endLog
	limits
	maxConns      atomic.Int64
	maxLineMemory atomic.Int64 // bytes; limit of lineMemory
	maxUnsent     atomic.Int64 // bytes that wait to be written to a joined connection
	lineMemory    atomic.Int64 // bytes of read buffers that were grown for long lines
	goroutines    sync.WaitGroup

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Listen opens addr. memory, in bytes, and sockets are as for SetLimits.
func Listen(addr string, memory, sockets int, handler Handler, log *logrus.Entry) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	for retries := 0; errors.Is(err, syscall.EADDRINUSE) && retries < maxListenRetries; retries++ {
		time.Sleep(retryInterval) // a previous process may still be shutting down
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	l := &Listener{net: ln, handler: handler, endLog: newEndLog(log), limits: defaultLimits, conns: map[*Conn]struct{}{}}
	l.SetLimits(memory, sockets)
	return l, nil
}

// SetLimits derives the limits of the connections from the memory, in bytes, and the descriptors of the process, so
// that all input and output buffers together stay well below memory. It may be called again at any time.
func (l *Listener) SetLimits(memory, sockets int) {
	l.maxConns.Store(int64(max(sockets-reservedFDs, minConns)))
	l.maxLineMemory.Store(int64(memory / 8))
	l.maxUnsent.Store(int64(min(max(memory/4/max(sockets, 1), 32<<10), 1<<20)))
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.net.Addr() }

// Close stops listening, closes all connections and waits for their goroutines.
func (l *Listener) Close() {
	_ = l.net.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.closeWith(ReasonShutdown)
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

// Serve accepts connections until the listener is closed.
func (l *Listener) Serve() error {
	for {
		nc, err := l.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// Descriptors ran out, or the peer reset the connection before accept. After an eviction the next
			// connection is accepted without delay, as proxies may be waiting in the backlog.
			outOfFDs := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
			if !outOfFDs || !l.evictUnjoined() {
				time.Sleep(retryInterval)
			}
			continue
		}
		l.addConn(nc)
	}
}

// addConn registers an accepted connection and starts to read from it. When the limit of connections is reached it
// evicts an unjoined one, or refuses nc if there is none.
func (l *Listener) addConn(nc net.Conn) {
	l.mu.Lock()
	c := &Conn{net: nc, listener: l, sequence: NextSequence(), openedAt: time.Now(), wake: make(chan struct{}, 1)}
	full := len(l.conns) >= int(l.maxConns.Load())
	l.mu.Unlock()
	_ = nc.SetReadDeadline(c.openedAt.Add(l.joinTimeout))
	if full && !l.evictUnjoined() {
		c.closeWith(ReasonConnectionLimit)
		l.endLog.record(c)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = nc.Close()
		return
	}
	l.conns[c] = struct{}{}
	l.goroutines.Go(c.readAndClose)
}

// evictUnjoined closes the oldest unjoined connection and reports whether there was one. It prefers connections without
// unread input, as that input may be a join.
func (l *Listener) evictUnjoined() bool {
	l.mu.Lock()
	var unjoined []*Conn
	for c := range l.conns {
		if !c.joined.Load() {
			unjoined = append(unjoined, c)
		}
	}
	slices.SortFunc(unjoined, func(c, d *Conn) int { return cmp.Compare(c.sequence, d.sequence) })
	var evicted *Conn
	if i := slices.IndexFunc(unjoined, func(c *Conn) bool { return !c.hasUnreadInput() }); len(unjoined) > 0 {
		evicted = unjoined[max(i, 0)]
	}
	delete(l.conns, evicted)
	l.mu.Unlock()
	if evicted != nil {
		evicted.closeWith(ReasonConnectionLimit)
	}
	return evicted != nil
}

// Conn is a connection from a proxy or a collector.
type Conn struct {
	net      net.Conn
	listener *Listener
	sequence uint64
	openedAt time.Time

	joined   atomic.Bool   // a Subscribe or Source message was received
	messages int           // lines received
	wake     chan struct{} // wakes the writer

	mu            sync.Mutex
	writerRunning bool
	unsent        []byte // messages for the writer
	reason        Reason // empty while the connection is open
	firstFault    error
	faultCount    int
	peer          string // name of the proxy or collector in log lines
}

// Sequence returns the number that orders connections by when they were accepted.
func (c *Conn) Sequence() uint64 { return c.sequence }

// SetPeer sets the name of the proxy or collector for log lines.
func (c *Conn) SetPeer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer = name
}

// CloseRefused closes a connection whose proxy or collector is unknown.
func (c *Conn) CloseRefused() { c.closeWith(ReasonRefused) }

// CloseReplaced closes a stream that a newer stream of the same proxy replaces.
func (c *Conn) CloseReplaced() { c.closeWith(ReasonReplaced) }

// RecordFault counts an invalid message. The log line for the end of the connection holds the count and the first
// error.
func (c *Conn) RecordFault(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultCount++; c.firstFault == nil {
		c.firstFault = err
	}
}

// Send queues a message for writing and never blocks. If the queue would exceed its limit, the connection is closed.
func (c *Conn) Send(message []byte) {
	c.mu.Lock()
	limit := c.listener.maxUnjoinedUnsent
	if c.joined.Load() {
		limit = int(c.listener.maxUnsent.Load())
	}
	overLimit := len(c.unsent)+len(message) > limit
	if c.reason == "" && !overLimit {
		c.unsent = append(c.unsent, message...)
		if !c.writerRunning {
			c.writerRunning = true
			c.listener.goroutines.Go(c.write)
		}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	c.mu.Unlock()
	if overLimit {
		c.closeWith(ReasonWriteBacklog)
	}
}

// write sends queued messages until the connection ends.
func (c *Conn) write() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		out := c.unsent
		c.unsent = spare[:0]
		closed := c.reason != ""
		c.mu.Unlock()
		if closed {
			return
		}
		if _, err := c.net.Write(out); err != nil {
			c.closeWith(reasonOf(err))
			return
		}
		spare = out
	}
}

// closeWith closes the socket. The reason of the first call is kept.
func (c *Conn) closeWith(reason Reason) {
	c.mu.Lock()
	if c.reason == "" {
		c.reason = reason
	}
	c.mu.Unlock()
	_ = c.net.Close()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// reasonOf returns the reason for a socket error.
func reasonOf(err error) Reason {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		return ReasonClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ReasonReset
	case errors.As(err, &timeout) && timeout.Timeout():
		return ReasonJoinTimeout
	}
	return ReasonSocketError
}

// reasonError is a Reason as an error.
type reasonError Reason

func (e reasonError) Error() string { return string(e) }

// readAndClose reads until the connection ends, then closes and unregisters it.
func (c *Conn) readAndClose() {
	err := c.readLines()
	var reason reasonError
	if errors.As(err, &reason) {
		c.closeWith(Reason(reason))
	} else {
		c.closeWith(reasonOf(err))
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if c.joined.Load() {
		c.listener.handler(c, textproto.Closed{})
	}
	c.listener.endLog.record(c)
}

// readLines reads and handles lines until an error ends the connection. The deadline to join is fixed at accept. It is
// extended once, by lateReadWindow, so that a join which arrived in time counts even if this process was too busy to
// read it.
func (c *Conn) readLines() error {
	buf := &lineBuffer{conn: c, bytes: make([]byte, c.listener.maxJoinLine)}
	defer buf.account(0)
	extended := false
	for {
		n, err := c.net.Read(buf.bytes[buf.length:])
		if err := buf.handleLines(n); err != nil {
			return err
		}
		if err := buf.resize(); err != nil {
			return err
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && (c.joined.Load() || !extended) {
			extended, err = true, nil
			if !c.joined.Load() {
				_ = c.net.SetReadDeadline(time.Now().Add(c.listener.lateReadWindow))
			}
		}
		if err != nil {
			return err
		}
	}
}

// lineBuffer holds the start of an incomplete line.
type lineBuffer struct {
	conn      *Conn
	bytes     []byte // bytes[:length] are in use
	length    int
	accounted int // bytes counted in Listener.lineMemory
}

// account counts bytes in place of the former size in Listener.lineMemory. It reports whether all connections
// together are within maxLineMemory.
func (b *lineBuffer) account(bytes int) bool {
	l := b.conn.listener
	l.lineMemory.Add(int64(bytes - b.accounted))
	b.accounted = bytes
	return l.lineMemory.Load() <= l.maxLineMemory.Load()
}

// handleLines handles the lines that are complete after a read of n bytes. It fails early if the remaining bytes cannot
// be the start of a message.
func (b *lineBuffer) handleLines(n int) error {
	rest, from := b.bytes[:b.length+n], b.length
	for end := bytes.IndexByte(rest[from:], '\n'); end >= 0; end = bytes.IndexByte(rest, '\n') {
		line := rest[:from+end]
		rest, from = rest[from+end+1:], 0
		if err := b.conn.handleLine(line); err != nil {
			return err
		}
	}
	if !textproto.MayBecomeMessage(rest) {
		return reasonError(ReasonMalformed)
	}
	b.length = copy(b.bytes, rest)
	return nil
}

// resize doubles a full buffer, and gives a joined connection's empty buffer its standard size.
func (b *lineBuffer) resize() error {
	joined := b.conn.joined.Load()
	switch {
	case joined && b.length == 0 && len(b.bytes) != readBufferBytes:
		b.bytes = make([]byte, readBufferBytes)
		b.account(0)
	case b.length < len(b.bytes):
	case !joined || b.length >= b.conn.listener.maxLine:
		return reasonError(ReasonLineTooLong)
	default:
		b.bytes = append(make([]byte, 0, 2*b.length), b.bytes...)[:2*b.length]
		if !b.account(len(b.bytes)) {
			return reasonError(ReasonMemoryLimit)
		}
	}
	return nil
}

// handleLine parses a line and passes its message to the handler. An error ends the connection: for a line that is not
// a message, and, while the connection is unjoined, for a message that does not join. Other invalid messages are
// recorded and skipped.
func (c *Conn) handleLine(line []byte) error {
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	c.messages++
	message, err := textproto.Parse(line)
	if err != nil {
		c.RecordFault(err)
	}
	joined := c.joined.Load()
	switch message.(type) {
	case nil:
		if errors.Is(err, textproto.ErrNotMessage) {
			return reasonError(ReasonMalformed)
		}
		if !joined {
			return reasonError(ReasonNotJoined)
		}
		return nil
	case textproto.Ping:
		c.Send([]byte(textproto.Pong))
		return nil
	case textproto.Subscribe, textproto.Source:
		if !joined {
			c.joined.Store(true)
			_ = c.net.SetReadDeadline(time.Time{})
		}
	default:
		if !joined {
			return reasonError(ReasonNotJoined)
		}
	}
	c.listener.handler(c, message)
	return nil
}

// hasUnreadInput reports whether the kernel holds input of the connection that was not read yet.
func (c *Conn) hasUnreadInput() bool {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	n := 0
	if err == nil {
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
	}
	return n > 0
}
