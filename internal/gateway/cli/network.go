package cli

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	dialTimeout = 350 * time.Millisecond
	// unacknowledgedTimeout limits how long sent data may stay unacknowledged. Without it, a connection to a machine that
	// lost power stays open for many minutes.
	unacknowledgedTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT (RFC 5482), which package syscall does not define.
	tcpUserTimeout = 18
)

// Dial connects to another node over TCP.
func Dial(address string) (net.Conn, error) { return dial(address, unacknowledgedTimeout) }

// DialWithin is Dial for a connection on which data that stays unacknowledged for a time is never delivered.
func DialWithin(timeout time.Duration) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) { return dial(address, timeout) }
}

func dial(address string, unacknowledgedTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // disabled: the protocol has its own heartbeats
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// An error is ignored: without the option, the failure of a machine is only detected later.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
					int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// Listen listens for TCP connections at an address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
