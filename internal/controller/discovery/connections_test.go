package discovery

import (
	"io"
	"net"
	"testing"
	"time"

	"elmfold/internal/controller/reconcile"
)

// startUnresponsiveServer starts a server that never responds. It signals each request, and the end of each connection
// that carried one.
func startUnresponsiveServer(t *testing.T) (addr string, requested, disconnected chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	requested, disconnected = make(chan struct{}, 100), make(chan struct{}, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if n, _ := c.Read(make([]byte, 4096)); n == 0 {
					return
				}
				requested <- struct{}{}
				_, _ = io.Copy(io.Discard, c)
				disconnected <- struct{}{}
			}()
		}
	}()
	return ln.Addr().String(), requested, disconnected
}

// testTimeout limits each step of a test. The calls under test have a timeout that is several times as long.
const testTimeout = 10 * time.Second

func await(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
	}
}

// Guards against a call that continues after Move or Stop has made its response useless.
func TestMoveAndStopEndTheCall(t *testing.T) {
	for name, interrupt := range map[string]func(*Registry){
		"moved":   func(r *Registry) { r.Move("127.0.0.1:1") },
		"stopped": func(r *Registry) { r.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, requested, disconnected := startUnresponsiveServer(t)
			r := New(addr, func(any) {}, discardLog())
			r.SetKnownList(reconcile.List{Revision: 7, Complete: true})
			r.watchWait, r.callGrace = 6*testTimeout, 6*testTimeout
			done := make(chan struct{})
			go func() { defer close(done); r.Run(true) }()
			await(t, "the call", requested)
			interrupt(r)
			await(t, "the end of its connection", disconnected)
			if name != "stopped" {
				r.Stop()
			}
			await(t, "the end of Run", done)
		})
	}
}
