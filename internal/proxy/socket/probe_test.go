package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"elmfold/internal/fakes/loopback"
)

func connPair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	peer, local, err := loopback.Pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = local.Close(), peer.Close() })
	return local, peer
}

// waitFor waits until the kernel has processed what the peer did.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout while waiting for %s", what)
		}
	}
}

func TestProbe(t *testing.T) {
	for name, linger := range map[string]int{"close": -1, "reset": 0} {
		local, peer := connPair(t)
		p := NewProbe(local)
		reading := make(chan struct{})
		go func() { // a blocked reader must not block the probe
			close(reading)
			_, _ = local.Read(make([]byte, 1))
		}()
		<-reading
		if err := p.Peek(); err != nil || p.HasPeerClosed() {
			t.Errorf("open connection: %v, closed %t", err, p.HasPeerClosed())
		}
		_, _ = peer.Write([]byte("abc"))
		waitFor(t, "unread data", func() bool { return errors.Is(p.Peek(), ErrUnreadData) })
		if p.HasPeerClosed() {
			t.Error("an open connection with unread data is reported as closed")
		}
		_ = peer.SetLinger(linger)
		_ = peer.Close()
		waitFor(t, name+" behind unread data", p.HasPeerClosed)
	}
	local, peer := connPair(t)
	_ = peer.Close()
	p := NewProbe(local)
	waitFor(t, "io.EOF", func() bool { return errors.Is(p.Peek(), io.EOF) })
	_ = local.Close()
	if p.Peek() == nil || !p.HasPeerClosed() {
		t.Error("a locally closed connection is reported as open")
	}
	var none *Probe
	if none.Peek() != nil || none.HasPeerClosed() {
		t.Error("a nil probe reports an error")
	}
}
