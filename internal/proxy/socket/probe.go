// Package socket looks at TCP connections without reading from them: whether anything waits, and whether the other
// side is still there.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrUnreadData says that bytes wait to be read.
var ErrUnreadData = errors.New("bytes that nobody has read")

// States of a connection (linux/tcp_states.h) in which the other side sends no more.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// Probe looks at one connection. It never waits, also while others read there. It is not safe for concurrent use
// itself.
type Probe struct {
	rawConn    syscall.RawConn
	peekFunc   func(fd uintptr) // peek, bound once: a method value costs an allocation
	stateFunc  func(fd uintptr)
	peekBuffer [1]byte
	result     error
}

// NewProbe makes a Probe. It is nil, and finds nothing, for a connection that has no descriptor.
func NewProbe(conn net.Conn) *Probe {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	p := &Probe{rawConn: rawConn}
	p.peekFunc, p.stateFunc = p.peek, p.state
	return p
}

// Peek returns nil if the connection is up and nothing waits there, ErrUnreadData if bytes wait, io.EOF if the other
// side has closed it and nothing waits before that, and what ended it otherwise.
func (p *Probe) Peek() error {
	if p == nil {
		return nil
	}
	return p.look(p.peekFunc)
}

// HasPeerClosed reports whether the other side has closed or reset the connection, whatever waits before that. Where
// the kernel does not tell, it has not.
func (p *Probe) HasPeerClosed() bool {
	if p == nil {
		return false
	}
	err := p.Peek()
	if errors.Is(err, ErrUnreadData) {
		err = p.look(p.stateFunc)
	}
	return err != nil
}

func (p *Probe) look(f func(fd uintptr)) error {
	if err := p.rawConn.Control(f); err != nil {
		return err // it was closed on this side
	}
	return p.result
}

func (p *Probe) peek(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case isNothingToRead(err):
		p.result = nil
	case err != nil:
		p.result = err
	case n == 0:
		p.result = io.EOF
	default:
		p.result = ErrUnreadData
	}
}

// state finds io.EOF where the other side has closed the connection behind what waits.
func (p *Probe) state(fd uintptr) {
	p.result = nil
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == tcpClose || info.State == tcpCloseWait) {
		p.result = io.EOF
	}
}

// isNothingToRead reports whether the connection is quiet, or there is no way to see.
func isNothingToRead(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOSYS) ||
		errors.Is(err, syscall.EPERM)
}
