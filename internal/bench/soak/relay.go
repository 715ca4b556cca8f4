package soak

import (
	"net"
	"sync"
	"time"
)

const (
	relayBufferBytes = 32 << 10
	holdStep         = 5 * time.Millisecond
)

// relay is the way to a backend. While it is held, nothing passes in either direction, as at a cut of the network.
type relay struct {
	backend  string // id
	listener net.Listener
	to       string

	mu    sync.Mutex
	held  int // how many hold it
	conns map[net.Conn]bool
}

func startRelay(backend, address, to string) (*relay, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &relay{backend: backend, listener: l, to: to, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset()
}

func (r *relay) hold(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += by
}

func (r *relay) isHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held > 0
}

// reset breaks all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(from)
	}
}

// join passes bytes between a caller and the backend until either ends.
func (r *relay) join(from net.Conn) {
	defer r.follow(from)()
	r.waitHeld()
	to, err := net.Dial("tcp4", r.to)
	if err != nil {
		return
	}
	defer r.follow(to)()
	var both sync.WaitGroup
	both.Go(func() { r.pass(from, to) })
	both.Go(func() { r.pass(to, from) })
	both.Wait()
}

// follow counts a connection until the returned function closes it.
func (r *relay) follow(c net.Conn) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	return func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}
}

func (r *relay) waitHeld() {
	for r.isHeld() {
		time.Sleep(holdStep)
	}
}

func (r *relay) pass(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		r.waitHeld()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
