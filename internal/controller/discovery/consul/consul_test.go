package consul

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/reconcile"
)

// patience is how long what happens at once may take on a busy machine. The calls here may last for many times as long.
const patience = 10 * time.Second

// Guards against calls that go on for as long as they may after the orders they were for have ended, and against a
// later order whose call is broken off with them.
func TestCallsEndWithTheirContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	asked, ended := make(chan struct{}, 10), make(chan struct{}, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if n, _ := c.Read(make([]byte, 4096)); n > 0 {
					asked <- struct{}{}
				}
				_, _ = io.Copy(io.Discard, c)
				ended <- struct{}{}
			}()
		}
	}()
	wait := func(what string, c <-chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(patience):
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
	s := New([]string{ln.Addr().String()}, "elm/b", discovery.Access{}, 6*patience)
	do := func(ctx context.Context, try int) (done chan struct{}) {
		done = make(chan struct{})
		go func() {
			defer close(done)
			s.Do(ctx, reconcile.ReadPage{Attempt: try}, func(reconcile.Event) { t.Error("there is an answer") })
		}()
		return done
	}
	first, endFirst := context.WithCancel(context.Background())
	doneFirst := do(first, 1)
	wait("the first call", asked)
	endFirst()
	wait("the end of its connection", ended)
	wait("the end of the first order", doneFirst)
	second, endSecond := context.WithCancel(context.Background())
	defer endSecond()
	doneSecond := do(second, 2)
	wait("the second call", asked)
	select {
	case <-ended:
		t.Error("the second call ended too")
	case <-time.After(100 * time.Millisecond):
	}
	endSecond()
	wait("the end of the second order", doneSecond)
}
