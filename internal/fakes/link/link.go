// Package link is a TCP link on loopback between a client and a server that cuts, silences, delays and splits
// what passes, by counts of bytes. What happens to a connection is given by a Script, drawn from a seed or
// written by hand, so the same bytes meet the same fault each time.
package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Disturbance is what a direction of a connection meets once so many bytes have passed it.
type Disturbance struct {
	After int64 // bytes; -1: never
	Kind  Kind
}

// Kind of a fault.
type Kind uint8

// Kinds. Silence keeps both sides open and swallows the rest.
const (
	Break Kind = iota
	Stall
)

// Script says what a connection, counted from 0, meets in the direction of the client.
type Script struct {
	Down  Disturbance // what the server sends
	Up    Disturbance // what the client sends
	Split int         // bytes a write at most; 0: as they come
	Delay time.Duration
}

// Calm passes everything.
var Calm = Script{Down: Disturbance{After: -1}, Up: Disturbance{After: -1}}

// Drawn cuts, or silences, connection n of a seed within so many bytes of what the server sends.
func Drawn(seed uint64, n int, within int64, kind Kind) Script {
	chance := rand.New(rand.NewPCG(seed, uint64(n)))
	s := Calm
	s.Down = Disturbance{After: chance.Int64N(within), Kind: kind}
	s.Split = 1 + chance.IntN(64)
	return s
}

// Link listens on loopback and passes on to a server.
type Link struct {
	listener net.Listener
	server   string

	mu        sync.Mutex
	script    func(n int) Script
	accepted  int
	conns     map[net.Conn]bool
	passed    int64 // bytes to clients
	refused   bool
	closed    bool
	holdCount int        // how many hold it
	released  *sync.Cond // holdCount has fallen to 0, or the link is closed
}

// New makes a Link to a server's address; script may be nil for a calm one.
func New(server string, script func(n int) Script) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if script == nil {
		script = func(int) Script { return Calm }
	}
	l := &Link{listener: ln, server: server, script: script, conns: map[net.Conn]bool{}}
	l.released = sync.NewCond(&l.mu)
	go l.serve()
	return l, nil
}

// Addr is where clients connect.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Taken is how many connections came.
func (l *Link) Taken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Passed is how many bytes went to clients.
func (l *Link) Passed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

// Become changes what connections to come meet.
func (l *Link) Become(script func(n int) Script) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script = script
}

// To passes new connections on to another server.
func (l *Link) To(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server = server
}

// CutAll resets what is open.
func (l *Link) CutAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Refuse resets whatever comes, until it is called again with false.
func (l *Link) Refuse(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = on
}

// Hold keeps back all that passes, ends of connections and new connections too, as a cut of the network does, until the
// returned function is called. Holds may overlap.
func (l *Link) Hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdCount++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.holdCount--
		l.released.Broadcast()
	}
}

func (l *Link) waitReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.holdCount > 0 && !l.closed {
		l.released.Wait()
	}
}

// Close ends it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.released.Broadcast()
	l.mu.Unlock()
	_ = l.listener.Close()
	l.CutAll()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.waitReleased()
		l.mu.Lock()
		script, server, refused := l.script(l.accepted), l.server, l.refused || l.closed
		l.accepted++
		l.mu.Unlock()
		if refused {
			reset(c)
			continue
		}
		s, err := net.Dial("tcp", server)
		if err != nil {
			reset(c)
			continue
		}
		l.mu.Lock()
		l.conns[c], l.conns[s] = true, true
		l.mu.Unlock()
		go func() {
			var ways sync.WaitGroup
			ways.Go(func() { l.pass(s, c, script.Down, script, true) })
			ways.Go(func() { l.pass(c, s, script.Up, script, false) })
			ways.Wait()
			_, _ = c.Close(), s.Close()
			l.mu.Lock()
			delete(l.conns, c)
			delete(l.conns, s)
			l.mu.Unlock()
		}()
	}
}

// pass copies one direction. An end is passed on as an end, unless the direction is silent; whatever else stops
// it resets both sides.
func (l *Link) pass(from, to net.Conn, fate Disturbance, script Script, down bool) {
	buf := make([]byte, 32<<10)
	var passed int64
	silent := false
	for {
		n, err := from.Read(buf)
		l.waitReleased()
		part := buf[:n]
		cut := false
		if left := fate.After - passed; fate.After >= 0 && !silent && int64(n) > left {
			part = part[:left]
			cut = fate.Kind == Break
			silent = fate.Kind == Stall
		} else if silent {
			part = nil
		}
		passed += int64(len(part))
		if script.Delay > 0 && len(part) > 0 {
			time.Sleep(script.Delay)
		}
		for len(part) > 0 {
			k := len(part)
			if script.Split > 0 {
				k = min(k, script.Split)
			}
			if _, e := to.Write(part[:k]); e != nil {
				reset(from)
				reset(to)
				return
			}
			if down {
				l.mu.Lock()
				l.passed += int64(k)
				l.mu.Unlock()
			}
			part = part[k:]
		}
		switch t, ok := to.(*net.TCPConn); {
		case cut || err != nil && !errors.Is(err, io.EOF):
			reset(from)
			reset(to)
			return
		case err != nil:
			if ok && !silent {
				_ = t.CloseWrite()
			}
			return
		}
	}
}
