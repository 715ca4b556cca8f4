package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"elmfold/internal/fakes/loopback"
)

// newTCPPair are the ends of a connection: real ones, as only the kernel knows what lies behind unread bytes.
func newTCPPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	client, server, err := loopback.Pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// waitForDisconnect waits until the client is seen to leave. A run in which it never is fails after many times what it
// takes.
func waitForDisconnect(t *testing.T, left <-chan struct{}) {
	t.Helper()
	select {
	case <-left:
	case <-time.After(20 * time.Second):
		t.Fatal("the client is not seen to leave")
	}
}

func newReadAhead(conn net.Conn) (r *readAhead, left chan struct{}) {
	left = make(chan struct{}, 8)
	return &readAhead{conn: conn, onDisconnect: func() { left <- struct{}{} }, totalBuffered: &atomic.Int64{}}, left
}

// Guards against a client that leaves behind more than is read ahead, by a close and by a reset.
func TestDisconnectBehindFullReadAhead(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		client, server := newTCPPair(t)
		r, left := newReadAhead(server)
		if _, err := client.Write(bytes.Repeat([]byte("x"), 2*readAheadChunk)); err != nil {
			t.Fatal(err)
		}
		r.totalBuffered.Store(maxTotalReadAhead) // others hold all that may be
		r.start()
		_ = client.SetLinger(linger)
		_ = client.Close()
		waitForDisconnect(t, left)
		r.stop()
	}
}

// What was read ahead comes once, in order, then what follows, then the end. Guards against bytes that two readers
// share.
func TestReadAheadKeepsOrder(t *testing.T) {
	client, server := newTCPPair(t)
	r, left := newReadAhead(server)
	want := make([]byte, 5*maxReadAhead)
	for i := range want {
		want[i] = byte(i * i >> 5)
	}
	go func() {
		for rest := want; len(rest) > 0; {
			n := min(len(rest), 1500)
			_, _ = client.Write(rest[:n])
			rest = rest[n:]
		}
		_ = client.Close()
	}()
	var got []byte
	for buf := make([]byte, 700); ; {
		r.start()
		n, err := r.read(buf)
		got = append(got, buf[:n]...)
		if err != nil {
			if err != io.EOF { //nolint:errorlint // as Read returns it
				t.Fatal(err)
			}
			break
		}
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%d bytes came of %d, or others", len(got), len(want))
	}
	select {
	case <-left:
	default:
		t.Log("the end was read by the caller itself")
	}
}

// A deadline is a reader's own: it ends no reading ahead for good, and is no end of the connection.
func TestDeadlineIsNotDisconnect(t *testing.T) {
	client, server := newTCPPair(t)
	r, left := newReadAhead(server)
	r.start()
	_ = r.setDeadline(aLongTimeAgo)
	if _, err := r.read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read: %v", err)
	}
	_ = r.setDeadline(time.Time{})
	r.start()
	if _, err := client.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 2)
	if n, err := r.read(b); err != nil || n != 1 || b[0] != 'a' {
		t.Fatalf("read %q: %v", b[:n], err)
	}
	if len(left) > 0 {
		t.Error("a deadline was taken for the client's leaving")
	}
	r.start()
	_ = client.Close()
	waitForDisconnect(t, left)
	if _, err := r.read(b); err != io.EOF { //nolint:errorlint // as Read returns it
		t.Errorf("after the end: %v", err)
	}
}
