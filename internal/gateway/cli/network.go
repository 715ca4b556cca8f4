package cli

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	dialTimeout = 350 * time.Millisecond
	// unacknowledgedTimeout is how long what was sent may stay unacknowledged. A machine that has lost its power says
	// nothing, and the connection would stay for many minutes.
	unacknowledgedTimeout = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall lacks.
	tcpUserTimeout = 18
)

// Dial connects to another node.
func Dial(address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // both sides send something each second
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without the option a lost machine is noticed later, and the connection works all the same.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
					int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(context.Background(), "tcp4", address)
}

// Listen accepts connections at an address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
