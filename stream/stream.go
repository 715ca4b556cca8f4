// Package stream holds the connections that proxies and collectors open: it takes lines off them, hands on
// what they say, and writes whole messages. Limits of memory, descriptors and time are kept here; nothing is
// decided.
package stream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/edge"
)

// Reason is the code of why a connection ended.
type Reason string

// Reasons.
const (
	Closed   Reason = "closed"   // by the other side
	Reset    Reason = "reset"    // by the other side or the network
	Replaced Reason = "replaced" // by a newer stream of the same proxy
	Silent   Reason = "silent"   // a stranger that said nothing of use
	Crowded  Reason = "crowded"  // a stranger that made room, or found none
	TooLong  Reason = "too-long" // a line beyond what a message may hold
	Memory   Reason = "memory"   // unfinished lines of all connections together hold too much
	Unread   Reason = "unread"   // the other side does not read what is written to it
	Broken   Reason = "broken"   // any other failure of the socket
	Stopped  Reason = "stopped"  // with the listener
)

// limits bound what connections may cost.
type limits struct {
	line          int           // bytes of a line
	held          int           // ... of the unfinished long lines of all, as far as strangers have a say
	unread, first int           // ... that a proxy may leave unread; that a stranger may
	stranger      time.Duration // that a stranger may be silent
	spoken        time.Duration // ... one that said something of use
}

var usual = limits{line: 1 << 20, held: 32 << 20, unread: 1 << 20, first: 16 << 10,
	stranger: 10 * time.Second, spoken: 60 * time.Second}

const (
	bufferBytes = 4 << 10
	spareFDs    = 20 // descriptors for all else; about ten are used
	fewest      = 8  // connections
	acceptPause = 20 * time.Millisecond
	listenTries = 100
)

// Hear takes what a connection says, and at last that it ended.
type Hear func(from *Conn, said any)

// Listener takes connections.
type Listener struct {
	net  net.Listener
	hear Hear
	log  *endings
	most int
	limits
	heldNow atomic.Int64
	running sync.WaitGroup

	mu     sync.Mutex
	since  uint64
	conns  map[*Conn]struct{}
	closed bool
}

// Listen opens the address for up to so many descriptors.
func Listen(addr string, sockets int, hear Hear, log *logrus.Entry) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < listenTries; tries++ {
		time.Sleep(acceptPause) // the one that was here before is still on its way out
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	return &Listener{net: ln, hear: hear, log: newEndings(log), most: max(sockets-spareFDs, fewest),
		limits: usual, conns: map[*Conn]struct{}{}}, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.net.Addr() }

// Close stops listening, ends all connections and waits until nothing is left of them.
func (l *Listener) Close() {
	_ = l.net.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.end(Stopped)
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
	l.since++
	c := &Conn{net: nc, l: l, since: l.since, began: time.Now(), wake: make(chan struct{}, 1)}
	full := len(l.conns) >= l.most
	l.mu.Unlock()
	_ = nc.SetReadDeadline(c.began.Add(l.stranger))
	if full && !l.shed() {
		c.end(Crowded)
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

// shed ends the stranger that has been here for longest, so that proxies get in.
func (l *Listener) shed() bool {
	l.mu.Lock()
	var oldest *Conn
	for c := range l.conns {
		if !c.known.Load() && (oldest == nil || c.since < oldest.since) {
			oldest = c
		}
	}
	delete(l.conns, oldest)
	l.mu.Unlock()
	if oldest != nil {
		oldest.end(Crowded)
	}
	return oldest != nil
}

// Conn is one connection.
type Conn struct {
	net   net.Conn
	l     *Listener
	since uint64
	began time.Time
	known atomic.Bool // a proxy or collector
	said  bool        // something was handed on
	lines int
	wake  chan struct{}

	mu      sync.Mutex
	writes  bool // its writer runs
	out     []byte
	reason  Reason
	fault   error
	faults  int
	subject string
}

// Since tells connections apart by the order in which they were taken.
func (c *Conn) Since() uint64 { return c.since }

// Known says that it belongs to a proxy or collector, so that it may be silent for as long as it likes.
func (c *Conn) Known(subject string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subject = subject
	c.known.Store(true)
	_ = c.net.SetReadDeadline(time.Time{})
}

// Replaced ends a stream that another one of the same proxy follows.
func (c *Conn) Replaced() { c.end(Replaced) }

// Fault keeps what was wrong with a message; the line about the connection's end shows the first.
func (c *Conn) Fault(err error) {
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
	if c.known.Load() {
		most = c.l.unread
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
		c.end(Unread)
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
		return Closed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.As(err, &timeout) && timeout.Timeout():
		return Silent
	}
	return Broken
}

var errTooLong, errMemory = errors.New("line too long"), errors.New("no memory for the line")

func (c *Conn) read() {
	err := c.readLines()
	switch {
	case errors.Is(err, errTooLong):
		c.end(TooLong)
	case errors.Is(err, errMemory):
		c.end(Memory)
	default:
		c.end(reasonOf(err))
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.said {
		c.l.hear(c, edge.Ended{})
	}
	c.l.log.add(c)
}

func (c *Conn) readLines() error {
	in := bufio.NewReaderSize(c.net, bufferBytes)
	var long []byte // the begin of a line that the reader cannot hold
	held := 0
	defer func() { c.l.heldNow.Add(int64(-held)) }()
	for {
		line, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull || long != nil {
			if len(long)+len(line) > c.l.line {
				return errTooLong
			}
			// What grows doubles, so twice the length is held at most. Strangers that fill the limit with half
			// lines end themselves, and never a proxy or a collector.
			held += 2 * len(line)
			if c.l.heldNow.Add(int64(2*len(line))) > int64(c.l.limits.held) && !c.known.Load() {
				return errMemory
			}
			long = append(long, line...)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return err
		}
		if long != nil {
			line = long
		}
		c.take(line)
		if long != nil {
			c.l.heldNow.Add(int64(-held))
			long, held = nil, 0
		}
	}
}

func (c *Conn) take(line []byte) {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	c.lines++
	said, err := edge.Parse(line)
	switch said := said.(type) {
	case nil:
		if err != nil {
			c.Fault(err)
		}
	case edge.Ping:
		c.spoke()
		c.Send([]byte(edge.Pong))
	default:
		c.spoke()
		c.said = true
		c.l.hear(c, said)
	}
}

// spoke gives a stranger that said something of use more time.
func (c *Conn) spoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known.Load() {
		_ = c.net.SetReadDeadline(time.Now().Add(c.l.spoken))
	}
}
