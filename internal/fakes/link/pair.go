package link

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what a way between two meets from now on.
type Mode uint8

// Modes. Closed resets what is open and refuses what comes; Silent lets nothing through and says nothing.
const (
	Open Mode = iota
	Silent
	Closed
)

var errNoPort = errors.New("no port is free for both connections and datagrams")

// Way leads from one process to another: connections and datagrams at one address. What happens on it is switched by
// what a test has seen, not by a script.
type Way struct {
	listener net.Listener
	packets  *net.UDPConn
	to       string

	mu      sync.Mutex
	there   Mode // what the one sends to the other
	back    Mode // what is answered on the one's connections
	delay   time.Duration
	conns   map[net.Conn]bool
	waiting sync.WaitGroup
}

// NewWay makes a Way to an address, where both TCP and UDP are taken.
func NewWay(to string) (*Way, error) {
	for range 20 { // until a port is free for both
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		at, _ := net.ResolveUDPAddr("udp", ln.Addr().String())
		packets, err := net.ListenUDP("udp", at)
		if err != nil {
			_ = ln.Close()
			continue
		}
		w := &Way{listener: ln, packets: packets, to: to, conns: map[net.Conn]bool{}}
		w.waiting.Go(w.serve)
		w.waiting.Go(w.relay)
		return w, nil
	}
	return nil, errNoPort
}

// Addr is where the one reaches the other.
func (w *Way) Addr() string { return w.listener.Addr().String() }

// Set switches what is sent, and what is answered.
func (w *Way) Set(there, back Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.there, w.back = there, back; there == Closed || back == Closed {
		for c := range w.conns {
			reset(c)
		}
	}
}

// Slow delays all that passes from now on.
func (w *Way) Slow(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = by
}

// Close ends it.
func (w *Way) Close() {
	w.Set(Closed, Closed)
	_ = w.listener.Close()
	_ = w.packets.Close()
	w.waiting.Wait()
}

func (w *Way) now(there bool) (Mode, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if there {
		return w.there, w.delay
	}
	return w.back, w.delay
}

func (w *Way) relay() {
	out, err := net.Dial("udp", w.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	for buf := make([]byte, 64<<10); ; {
		n, _, err := w.packets.ReadFromUDP(buf)
		if err != nil {
			return
		}
		switch mode, delay := w.now(true); {
		case mode != Open:
		case delay > 0:
			body := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() { _, _ = out.Write(body) })
		default:
			_, _ = out.Write(buf[:n]) // nobody there: as on a network
		}
	}
}

func (w *Way) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		if there, _ := w.now(true); there == Closed {
			reset(c)
			continue
		}
		w.waiting.Go(func() { w.pass(c) })
	}
}

func (w *Way) pass(c net.Conn) {
	s, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	w.mu.Lock()
	w.conns[c], w.conns[s] = true, true
	w.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { w.pump(c, s, true) })
	ways.Go(func() { w.pump(s, c, false) })
	ways.Wait()
	_, _ = c.Close(), s.Close()
	w.mu.Lock()
	delete(w.conns, c)
	delete(w.conns, s)
	w.mu.Unlock()
}

// pump copies one direction; what comes while it is silent is lost for good, so the connection is of no more use: it
// stays open and says nothing, as one does whose peer was cut off.
func (w *Way) pump(from, to net.Conn, there bool) {
	lost := false
	for buf := make([]byte, 32<<10); ; {
		n, err := from.Read(buf)
		mode, delay := w.now(there)
		if n > 0 && mode != Open {
			lost = true
		}
		if n > 0 && !lost {
			if delay > 0 {
				time.Sleep(delay)
			}
			if _, e := to.Write(buf[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			reset(from)
			reset(to)
			return
		}
	}
}
