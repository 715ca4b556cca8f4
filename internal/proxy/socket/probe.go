// Package socket inspects TCP connections without consuming data: whether unread data is pending and whether the peer
// has closed the connection.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrUnreadData is returned if a connection has unread data.
var ErrUnreadData = errors.New("connection has unread data")

// TCP states (linux/tcp_states.h) in which the peer sends no more data.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// Probe inspects one connection. Its methods do not block, even while another goroutine reads from the connection. A
// Probe is not safe for concurrent use.
type Probe struct {
	rawConn      syscall.RawConn
	peekFunc     func(fd uintptr) // method value of peek, stored because each evaluation allocates
	tcpStateFunc func(fd uintptr) // method value of readTCPState
	peekBuffer   [1]byte
	result       error
}

// NewProbe returns a Probe for conn, or nil if conn has no file descriptor. A nil Probe reports an open connection
// without unread data.
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
	p.peekFunc, p.tcpStateFunc = p.peek, p.readTCPState
	return p
}

// Peek returns nil if the connection is open without unread data, ErrUnreadData if there is unread data, io.EOF if the
// peer has closed the connection and all data is read, and otherwise the error that ended the connection.
func (p *Probe) Peek() error {
	if p == nil {
		return nil
	}
	return p.control(p.peekFunc)
}

// HasPeerClosed reports whether the peer has closed or reset the connection, even if unread data is pending. It returns
// false if the kernel does not provide the TCP state.
func (p *Probe) HasPeerClosed() bool {
	if p == nil {
		return false
	}
	err := p.Peek()
	if errors.Is(err, ErrUnreadData) {
		err = p.control(p.tcpStateFunc)
	}
	return err != nil
}

func (p *Probe) control(inspect func(fd uintptr)) error {
	if err := p.rawConn.Control(inspect); err != nil {
		return err // the connection is closed locally
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

// readTCPState sets the result to io.EOF if the TCP readTCPState shows that the peer has closed the connection.
func (p *Probe) readTCPState(fd uintptr) {
	p.result = nil
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == tcpClose || info.State == tcpCloseWait) {
		p.result = io.EOF
	}
}

// isNothingToRead reports whether an error of recvfrom means that no data is pending, or that the call is unavailable.
func isNothingToRead(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOSYS) ||
		errors.Is(err, syscall.EPERM)
}
