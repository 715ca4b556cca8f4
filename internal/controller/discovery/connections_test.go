package discovery

import (
	"io"
	"net"
	"testing"
	"time"

	"elmfold/internal/controller/reconcile"
)

// silent is a stand-in that takes calls and never answers. It says when a connection that carried a call ended.
func silent(t *testing.T) (addr string, asked, ended chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	asked, ended = make(chan struct{}, 100), make(chan struct{}, 100)
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
				asked <- struct{}{}
				_, _ = io.Copy(io.Discard, c)
				ended <- struct{}{}
			}()
		}
	}()
	return ln.Addr().String(), asked, ended
}

// patience is how long what happens at once may take on a busy machine. The calls here may last for many times as long.
const patience = 10 * time.Second

func within(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("not within %v: %s", patience, what)
	}
}

// Guards against a call that goes on for as long as it may though nobody wants its answer any more: where another
// address is to be asked, and where none is.
func TestCallEndsWithWhoWantsIt(t *testing.T) {
	for name, leave := range map[string]func(*Registry){
		"another address is asked": func(r *Registry) { r.Move("127.0.0.1:1") },
		"it is stopped":            func(r *Registry) { r.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, asked, ended := silent(t)
			r := New(addr, func(any) {}, quiet())
			r.SetKnownList(reconcile.List{Revision: 7, Complete: true})
			r.wait, r.grace = 6*patience, 6*patience
			done := make(chan struct{})
			go func() { defer close(done); r.Run(true) }()
			within(t, "the call", asked)
			leave(r)
			within(t, "the end of its connection", ended)
			if name != "it is stopped" {
				r.Stop()
			}
			within(t, "the end of Run", done)
		})
	}
}
