//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// roundTrip is the time from the first packet after a cut to the next one: the acknowledgement of the first comes between.
const roundTrip = 2 * time.Millisecond

// cutter is a network link that a cut holds up: while it is cut, bytes and ends of connections wait, and go on in order
// when it heals. New connections come up only while it is not cut. What a sender has reset is lost.
type cutter struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	healed chan struct{} // closed while the link is not cut
	losing bool          // the next answer is lost
}

func newCutter(at, to string) (*cutter, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	c := &cutter{listener: l, to: to, healed: make(chan struct{})}
	close(c.healed)
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(from)
		}
	}()
	return c, nil
}

func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = make(chan struct{})
}

// loseAnswer loses the next answer on the link.
func (c *cutter) loseAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losing = true
}

// isLost says whether bytes that come from the controller, if isAnswer, are to be lost.
func (c *cutter) isLost(isAnswer bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.losing && isAnswer
	c.losing = c.losing && !lost
	return lost
}

func (c *cutter) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.healed)
}

// pass waits until the link is not cut, and says whether it had to wait.
func (c *cutter) pass() (held bool) {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	select {
	case <-healed:
		return false
	default:
	}
	<-healed
	return true
}

func (c *cutter) serve(from net.Conn) {
	c.pass()
	to, err := net.Dial("tcp4", c.to)
	if err != nil {
		_ = from.Close()
		return
	}
	go c.copy(from, to, true)
	c.copy(to, from, false)
}

func (c *cutter) copy(to, from net.Conn, isAnswer bool) {
	buf := make([]byte, 32<<10)
	for held := false; ; {
		n, err := from.Read(buf)
		if err != nil && err != io.EOF { // reset: what was held up is lost
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
		held = c.pass() || held
		if n > 0 && !c.isLost(isAnswer) {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			if held {
				time.Sleep(roundTrip)
			}
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
