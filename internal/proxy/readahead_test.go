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

// newTCPPair returns both ends of a real TCP connection: only the kernel knows what follows unread bytes.
func newTCPPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	client, server, err := loopback.Pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// waitForDisconnect waits until the disconnect of the client is detected. The timeout is far longer than that takes.
func waitForDisconnect(t *testing.T, disconnected <-chan struct{}) {
	t.Helper()
	select {
	case <-disconnected:
	case <-time.After(20 * time.Second):
		t.Fatal("the disconnect of the client is not detected")
	}
}

func newReadAhead(conn net.Conn) (r *readAhead, disconnected chan struct{}) {
	disconnected = make(chan struct{}, 8)
	onDisconnect := func() { disconnected <- struct{}{} }
	return &readAhead{conn: conn, onDisconnect: onDisconnect, totalBuffered: &atomic.Int64{}}, disconnected
}

// Guards against missing a close or a reset behind more bytes than are read ahead.
func TestDisconnectBehindFullReadAhead(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		client, server := newTCPPair(t)
		r, disconnected := newReadAhead(server)
		if _, err := client.Write(bytes.Repeat([]byte("x"), 2*readAheadChunk)); err != nil {
			t.Fatal(err)
		}
		r.totalBuffered.Store(maxTotalReadAhead) // other connections use up the limit
		r.start()
		_ = client.SetLinger(linger)
		_ = client.Close()
		waitForDisconnect(t, disconnected)
		r.stop()
	}
}

// Bytes that were read ahead are returned once and in order, then the following ones, then the end. Guards against two
// goroutines that read the connection at the same time.
func TestReadAheadKeepsOrder(t *testing.T) {
	client, server := newTCPPair(t)
	r, disconnected := newReadAhead(server)
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
		t.Errorf("got %d bytes, want %d with the same content", len(got), len(want))
	}
	select {
	case <-disconnected:
	default:
		t.Log("the caller of read reached the end before the read-ahead did")
	}
}

// A deadline that passes is not a disconnect, and reading ahead can start again after it.
func TestDeadlineIsNotDisconnect(t *testing.T) {
	client, server := newTCPPair(t)
	r, disconnected := newReadAhead(server)
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
	if len(disconnected) > 0 {
		t.Error("a passed deadline was taken for a disconnect")
	}
	r.start()
	_ = client.Close()
	waitForDisconnect(t, disconnected)
	if _, err := r.read(b); err != io.EOF { //nolint:errorlint // as Read returns it
		t.Errorf("after the end: %v", err)
	}
}
