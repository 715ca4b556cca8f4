package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// A call gets a connection even if MaxConns is reached. The connections above MaxConns are closed once they are idle.
func TestConnsAboveMaxConnsCloseWhenIdle(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	release := make(chan struct{})
	received := make(chan struct{}, 3)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondAfterRelease(conn, received, release)
		}
	}()
	addr := listener.Addr().String()
	p := New(Options{})
	done := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.Do(context.Background(), &Call{
				Address:       addr,
				EndpointID:    "i",
				Method:        "GET",
				RequestTarget: "/",
				Host:          "h",
				AttemptID:     "a",
				MaxConns:      2,
				Deadline:      time.Now().Add(time.Minute),
			})
			done <- err
		}()
	}
	for range 3 {
		<-received
	}
	if n := p.OpenConns(addr); n != 3 {
		t.Errorf("%d connections during three requests, want 3, because MaxConns closes only idle connections", n)
	}
	close(release)
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if n := p.OpenConns(addr); n != 2 {
		t.Errorf("%d connections after the requests, want 2", n)
	}
}

// respondAfterRelease responds to the requests of a connection once release is closed.
func respondAfterRelease(conn net.Conn, received chan<- struct{}, release <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		received <- struct{}{}
		<-release
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+HeaderAttemptID+": a\r\n"+HeaderServerSeal+": s\r\nContent-Length: 0\r\n\r\n")
	}
}
