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

// testTimeout limits each step of a test. The calls under test have a timeout that is several times as long.
const testTimeout = 10 * time.Second

// Guards against calls that outlive the context of their order, and against cancelling the call of a later order with
// them.
func TestCallsEndWithTheirContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	requested, disconnected := make(chan struct{}, 10), make(chan struct{}, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if n, _ := c.Read(make([]byte, 4096)); n > 0 {
					requested <- struct{}{}
				}
				_, _ = io.Copy(io.Discard, c)
				disconnected <- struct{}{}
			}()
		}
	}()
	await := func(what string, c <-chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(testTimeout):
			t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
		}
	}
	s := New([]string{ln.Addr().String()}, "elm/b", discovery.Access{}, 6*testTimeout)
	do := func(ctx context.Context, attempt int) (done chan struct{}) {
		done = make(chan struct{})
		go func() {
			defer close(done)
			s.Do(ctx, reconcile.ReadPage{Attempt: attempt}, func(reconcile.Event) {
				t.Error("a cancelled order reported an event")
			})
		}()
		return done
	}
	first, cancelFirst := context.WithCancel(context.Background())
	firstDone := do(first, 1)
	await("the first call", requested)
	cancelFirst()
	await("the end of its connection", disconnected)
	await("the end of the first order", firstDone)
	second, cancelSecond := context.WithCancel(context.Background())
	defer cancelSecond()
	secondDone := do(second, 2)
	await("the second call", requested)
	select {
	case <-disconnected:
		t.Error("the second call ended with the first")
	case <-time.After(100 * time.Millisecond):
	}
	cancelSecond()
	await("the end of the second order", secondDone)
}
