package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// Guards against idle connections that take up the room of other carriers at a backend that accepts few: those beyond
// the share are closed when their answer has come.
func TestMostOpen(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	release := make(chan struct{})
	here := make(chan struct{}, 3)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					here <- struct{}{}
					<-release
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+HeaderAttemptID+": a\r\n"+HeaderServerSeal+": s\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	p := New(Options{})
	done := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.Do(
				context.Background(),
				&Call{Address: l.Addr().String(), EndpointID: "i", Method: "GET", RequestTarget: "/",
					Host: "h", AttemptID: "a", MaxConns: 2, Deadline: time.Now().Add(time.Minute)},
			)
			done <- err
		}()
	}
	for range 3 {
		<-here
	}
	if n := p.OpenConns(l.Addr().String()); n != 3 {
		t.Errorf("%d connections while three requests are at work", n)
	}
	close(release)
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if n := p.OpenConns(l.Addr().String()); n != 2 {
		t.Errorf("%d connections stay, 2 may", n)
	}
}
