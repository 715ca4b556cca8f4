// Package loopback makes pairs of connected sockets, for tests of what only the kernel does.
package loopback

import (
	"errors"
	"net"
)

// Pair is the two ends of a TCP connection. The caller closes both.
func Pair() (dialled, accepted *net.TCPConn, err error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }()
	to, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return nil, nil, errors.New("the listener has no TCP address")
	}
	if dialled, err = net.DialTCP("tcp4", nil, to); err != nil {
		return nil, nil, err
	}
	if accepted, err = listener.AcceptTCP(); err != nil {
		_ = dialled.Close()
		return nil, nil, err
	}
	return dialled, accepted, nil
}
