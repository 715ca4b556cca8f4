package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"elmfold/internal/fakes/loopback"
)

func pair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	there, here, err := loopback.Pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	return here, there
}

// until waits for what the kernel will show soon. What it never shows fails the test.
func until(t *testing.T, what string, shows func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !shows(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestProbe(t *testing.T) {
	for name, linger := range map[string]int{"close": -1, "reset": 0} {
		here, there := pair(t)
		p := NewProbe(here)
		reading := make(chan struct{})
		go func() { // a reader that waits does not hold it up
			close(reading)
			_, _ = here.Read(make([]byte, 1))
		}()
		<-reading
		if err := p.Peek(); err != nil || p.HasPeerClosed() {
			t.Errorf("quiet: %v, closed %t", err, p.HasPeerClosed())
		}
		_, _ = there.Write([]byte("abc"))
		until(t, "bytes do not show", func() bool { return errors.Is(p.Peek(), ErrUnreadData) })
		if p.HasPeerClosed() {
			t.Error("bytes are taken for the end")
		}
		_ = there.SetLinger(linger)
		_ = there.Close()
		until(t, name+" does not show behind bytes", p.HasPeerClosed)
	}
	here, there := pair(t)
	_ = there.Close()
	p := NewProbe(here)
	until(t, "the end does not show", func() bool { return errors.Is(p.Peek(), io.EOF) })
	_ = here.Close()
	if p.Peek() == nil || !p.HasPeerClosed() {
		t.Error("a connection that was closed here is taken to be up")
	}
	var none *Probe
	if none.Peek() != nil || none.HasPeerClosed() {
		t.Error("a probe of nothing finds something")
	}
}
