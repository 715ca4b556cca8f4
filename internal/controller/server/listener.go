// Package server holds the connections that proxies and collectors open: it takes lines off them, hands on
// what they say, and writes whole messages. Limits of memory, descriptors and time are kept here; nothing is
// decided.
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

// Reason is the code of why a connection ended.
type Reason string

// Reasons.
const (
	ReasonClosed          Reason = "closed"   // by the other side
	ReasonReset           Reason = "reset"    // by the other side or the network
	ReasonReplaced        Reason = "replaced" // by a newer stream of the same proxy
	ReasonJoinTimeout     Reason = "silent"   // a stranger that did not say in time whose it is
	ReasonConnectionLimit Reason = "crowded"  // a stranger that made room, or found none
	ReasonLineTooLong     Reason = "too-long" // a line beyond what a message may hold
	ReasonMemoryLimit     Reason = "memory"   // unfinished lines of all connections together hold too much
	ReasonWriteBacklog    Reason = "unread"   // the other side does not read what is written to it
	ReasonMalformed       Reason = "garbage"  // what came is no message
	ReasonNotJoined       Reason = "unjoined" // a stranger's message that was no joining
	ReasonRefused         Reason = "refused"  // a joining of a proxy or a collector that is not known
	ReasonSocketError     Reason = "broken"   // any other failure of the socket
	ReasonShutdown        Reason = "stopped"  // with the listener
)

// limits bound what a connection may cost, whatever is configured.
type limits struct {
	maxLine, maxFirstLine int           // bytes of a line; of a stranger's
	first                 int           // that a stranger may leave unread
	joinTimeout           time.Duration // from being taken to the end of the joining
	lastLook              time.Duration // for what had arrived by then and was not read yet
}

var usual = limits{maxLine: 1 << 20, maxFirstLine: 1 << 10, first: 4 << 10, joinTimeout: 1500 * time.Millisecond,
	lastLook: 20 * time.Millisecond}

const (
	bufferBytes = 4 << 10
	spareFDs    = 20 // descriptors for all else; about ten are used
	fewest      = 8  // connections
	acceptPause = 20 * time.Millisecond
	listenTries = 100
)

// Handler takes what a connection says, and at last that it ended.
type Handler func(from *Conn, said any)

var accepted atomic.Uint64

// NextSequence returns a number that orders streams by when they were opened, on sockets and the pub-sub channel.
func NextSequence() uint64 { return accepted.Add(1) }

// Listener takes connections.
type Listener struct {
	net     net.Listener
	handler Handler
	log     *endings
	limits
	maxConns      atomic.Int64
	maxLineMemory atomic.Int64 // bytes of all long lines
	maxUnread     atomic.Int64 // bytes that a proxy may leave unread
	lineMemory    atomic.Int64
	running       sync.WaitGroup

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Listen opens the address for up to so many bytes and descriptors.
func Listen(addr string, memory, sockets int, hear Handler, log *logrus.Entry) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < listenTries; tries++ {
		time.Sleep(acceptPause) // the one that was here before is still on its way out
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	l := &Listener{net: ln, handler: hear, log: newEndings(log), limits: usual, conns: map[*Conn]struct{}{}}
	l.SetLimits(memory, sockets)
	return l, nil
}

// SetLimits shares out so many bytes and descriptors, now and after a change: what waits to be read and to be
// written stays well within the memory, however many connections there are.
func (l *Listener) SetLimits(memory, sockets int) {
	l.maxConns.Store(int64(max(sockets-spareFDs, fewest)))
	l.maxLineMemory.Store(int64(memory / 8))
	l.maxUnread.Store(int64(min(max(memory/4/max(sockets, 1), 32<<10), 1<<20)))
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.net.Addr() }

// Close stops listening, ends all connections and waits until nothing is left of them.
func (l *Listener) Close() {
	_ = l.net.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.end(ReasonShutdown)
	}
	l.mu.Unlock()
	l.running.Wait()
}

// Serve takes connections until the listener is closed.
func (l *Listener) Serve() error {
	for {
		nc, err := l.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// Out of descriptors, or reset before it was taken: neither may end the controller. Where a stranger
			// made room the next one is taken at once: behind it a proxy may be waiting.
			none := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
			if !none || !l.shed() {
				time.Sleep(acceptPause)
			}
			continue
		}
		l.take(nc)
	}
}

func (l *Listener) take(nc net.Conn) {
	l.mu.Lock()
	c := &Conn{net: nc, l: l, openedAt: NextSequence(), began: time.Now(), wake: make(chan struct{}, 1)}
	full := len(l.conns) >= int(l.maxConns.Load())
	l.mu.Unlock()
	_ = nc.SetReadDeadline(c.began.Add(l.joinTimeout))
	if full && !l.shed() {
		c.end(ReasonConnectionLimit)
		l.log.add(c)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = nc.Close()
		return
	}
	l.conns[c] = struct{}{}
	l.running.Go(c.read)
}

// shed ends the stranger that has been here for longest, so that proxies get in. One whose first words have
// arrived and were not read yet, as after this process had no turn, goes only where there is no other.
func (l *Listener) shed() bool {
	l.mu.Lock()
	var strangers []*Conn
	for c := range l.conns {
		if !c.opened.Load() {
			strangers = append(strangers, c)
		}
	}
	slices.SortFunc(strangers, func(c, d *Conn) int { return cmp.Compare(c.openedAt, d.openedAt) })
	var goes *Conn
	if at := slices.IndexFunc(strangers, func(c *Conn) bool { return !c.hasUnread() }); len(strangers) > 0 {
		goes = strangers[max(at, 0)]
	}
	delete(l.conns, goes)
	l.mu.Unlock()
	if goes != nil {
		goes.end(ReasonConnectionLimit)
	}
	return goes != nil
}

// Conn is one connection.
type Conn struct {
	net      net.Conn
	l        *Listener
	openedAt uint64
	began    time.Time

	opened   atomic.Bool // it said whose it is, and what it says is handed on
	messages int
	wake     chan struct{}

	mu      sync.Mutex
	writes  bool // its writer runs
	out     []byte
	reason  Reason
	fault   error
	faults  int
	subject string
}

// Sequence tells connections apart by the order in which they were taken.
func (c *Conn) Sequence() uint64 { return c.openedAt }

// SetPeer says whose it is.
func (c *Conn) SetPeer(subject string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subject = subject
}

// CloseRefused ends a connection that is nobody's.
func (c *Conn) CloseRefused() { c.end(ReasonRefused) }

// CloseReplaced ends a stream that another one of the same proxy follows.
func (c *Conn) CloseReplaced() { c.end(ReasonReplaced) }

// RecordFault keeps what was wrong with a message; the line about the connection's end shows the first.
func (c *Conn) RecordFault(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults++; c.fault == nil {
		c.fault = err
	}
}

// Send writes a whole message after those before it. It never waits.
func (c *Conn) Send(message []byte) {
	c.mu.Lock()
	most := c.l.first
	if c.opened.Load() {
		most = int(c.l.maxUnread.Load())
	}
	over := len(c.out)+len(message) > most
	if c.reason == "" && !over {
		c.out = append(c.out, message...)
		if !c.writes {
			c.writes = true
			c.l.running.Go(c.write)
		}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	c.mu.Unlock()
	if over {
		c.end(ReasonWriteBacklog)
	}
}

func (c *Conn) write() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		out := c.out
		c.out = spare[:0]
		over := c.reason != ""
		c.mu.Unlock()
		if over {
			return
		}
		if _, err := c.net.Write(out); err != nil {
			c.end(reasonOf(err))
			return
		}
		spare = out
	}
}

// end closes the socket; the first reason holds.
func (c *Conn) end(why Reason) {
	c.mu.Lock()
	if c.reason == "" {
		c.reason = why
	}
	c.mu.Unlock()
	_ = c.net.Close()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

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

// ending is an error that has a code of its own.
type ending Reason

func (e ending) Error() string { return string(e) }

func (c *Conn) read() {
	err := c.readLines()
	var why ending
	if errors.As(err, &why) {
		c.end(Reason(why))
	} else {
		c.end(reasonOf(err))
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.opened.Load() {
		c.l.handler(c, textproto.Closed{})
	}
	c.l.log.add(c)
}

// readLines takes lines off the socket until it ends or is of no further use. A stranger has the time that
// it was given when it was taken, whatever it says meanwhile. What of its words lay unread when that was over
// is looked at once more: a joining that had arrived counts, also where this process had no turn.
func (c *Conn) readLines() error {
	buf := &lineBuffer{conn: c, bytes: make([]byte, c.l.maxFirstLine)}
	defer buf.account(0)
	looked := false
	for {
		n, err := c.net.Read(buf.bytes[buf.length:])
		if err := buf.takeLines(n); err != nil {
			return err
		}
		if err := buf.makeRoom(); err != nil {
			return err
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && (c.opened.Load() || !looked) {
			looked, err = true, nil
			if !c.opened.Load() {
				_ = c.net.SetReadDeadline(time.Now().Add(c.l.lastLook))
			}
		}
		if err != nil {
			return err
		}
	}
}

// lineBuffer has the begin of a line, whose end is still to come.
type lineBuffer struct {
	conn      *Conn
	bytes     []byte // bytes[:held] are the begin
	length    int
	accounted int // of the memory for long lines
}

// account accounts for memory; it reports whether all connections together stay within what is allowed.
func (b *lineBuffer) account(bytes int) bool {
	l := b.conn.l
	l.lineMemory.Add(int64(bytes - b.accounted))
	b.accounted = bytes
	return l.lineMemory.Load() <= l.maxLineMemory.Load()
}

// takeLines hands on the lines that are complete with n more bytes. What cannot be the begin of a message is not waited
// on for its end.
func (b *lineBuffer) takeLines(n int) error {
	rest, from := b.bytes[:b.length+n], b.length
	for at := bytes.IndexByte(rest[from:], '\n'); at >= 0; at = bytes.IndexByte(rest, '\n') {
		line := rest[:from+at]
		rest, from = rest[from+at+1:], 0
		if err := b.conn.take(line); err != nil {
			return err
		}
	}
	if !textproto.MayBecomeMessage(rest) {
		return ending(ReasonMalformed)
	}
	b.length = copy(b.bytes, rest)
	return nil
}

// makeRoom grows a buffer that is full, and shrinks a large one that is empty.
func (b *lineBuffer) makeRoom() error {
	opened := b.conn.opened.Load()
	switch {
	case opened && b.length == 0 && len(b.bytes) != bufferBytes:
		b.bytes = make([]byte, bufferBytes)
		b.account(0)
	case b.length < len(b.bytes):
	case !opened || b.length >= b.conn.l.maxLine:
		return ending(ReasonLineTooLong)
	default:
		b.bytes = append(make([]byte, 0, 2*b.length), b.bytes...)[:2*b.length]
		if !b.account(len(b.bytes)) {
			return ending(ReasonMemoryLimit)
		}
	}
	return nil
}

// take hands a line on. One faulty message of a proxy or a collector is read past; what is no message ends
// any connection, and a stranger's ends with all but a joining.
func (c *Conn) take(line []byte) error {
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	c.messages++
	said, err := textproto.Parse(line)
	if err != nil {
		c.RecordFault(err)
	}
	opened := c.opened.Load()
	switch said.(type) {
	case nil:
		if errors.Is(err, textproto.ErrNotMessage) {
			return ending(ReasonMalformed)
		}
		if !opened {
			return ending(ReasonNotJoined)
		}
		return nil
	case textproto.Ping:
		c.Send([]byte(textproto.Pong))
		return nil
	case textproto.Subscribe, textproto.Source:
		if !opened {
			c.opened.Store(true)
			_ = c.net.SetReadDeadline(time.Time{})
		}
	default:
		if !opened {
			return ending(ReasonNotJoined)
		}
	}
	c.l.handler(c, said)
	return nil
}

// hasUnread says whether something lies in the kernel that was not read yet.
func (c *Conn) hasUnread() bool {
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
