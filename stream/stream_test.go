package stream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/edge"
)

type heard struct {
	from *Conn
	said any
}

// hall is a listener with what it heard and logged.
type hall struct {
	*Listener
	heard chan heard
	mu    sync.Mutex
	text  bytes.Buffer
	ended chan struct{}
}

func (h *hall) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text.Write(b)
	if bytes.Contains(b, []byte("ended")) {
		h.ended <- struct{}{}
	}
	return len(b), nil
}

func (h *hall) logged() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.text.String()
}

func open(t *testing.T, set func(*Listener)) *hall {
	t.Helper()
	h := &hall{heard: make(chan heard, 1000), ended: make(chan struct{}, 10000)}
	log := logrus.New()
	log.SetOutput(h)
	var err error
	hear := func(from *Conn, said any) { h.heard <- heard{from, said} }
	h.Listener, err = Listen("127.0.0.1:0", 1024, hear, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	if set != nil {
		set(h.Listener)
	}
	go func() { _ = h.Serve() }()
	t.Cleanup(h.Close)
	return h
}

func (h *hall) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c
}

func pinged(t *testing.T, c net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != edge.Pong {
		t.Fatalf("answer %q, %v", line, err)
	}
}

// Messages come in pieces, many in one read, with kinds that are not known and figures that cannot be read.
func TestPieces(t *testing.T) {
	h := open(t, nil)
	c := h.dial(t, "")
	text := "SOURCE locality=a\r\nNOISE x=1\r\nRATE node=x route=r total=1 interval=1\r\n" +
		"RATE node=1 route=r total=2 interval=1000 later=9\r\n"
	for _, b := range []byte(text) {
		_, _ = c.Write([]byte{b})
	}
	_, _ = io.WriteString(c, strings.Repeat("ACK node=1 nonce=5\r\n", 3)+"PING\r\n")
	pinged(t, c)
	want := []any{edge.Source{Zone: "a"}, edge.Used{Proxy: 1, Product: "r", Txns: 2, Counting: 10000},
		edge.Fenced{Proxy: 1, Number: 5}, edge.Fenced{Proxy: 1, Number: 5}, edge.Fenced{Proxy: 1, Number: 5}}
	for _, w := range want {
		if got := (<-h.heard).said; !reflect.DeepEqual(got, w) {
			t.Errorf("heard %+v, want %+v", got, w)
		}
	}
	_ = c.Close()
	<-h.ended
	if s := h.logged(); strings.Count(s, "\n") != 1 || !strings.Contains(s, "reason=closed") ||
		!strings.Contains(s, "faults=1") || !strings.Contains(s, "RATE node") {
		t.Errorf("log %q", s)
	}
}

// Each end has its code, and nothing is left of a connection that is over.
func TestReasons(t *testing.T) {
	long := strings.Repeat("x", 70<<10)
	for _, c := range []struct {
		reason Reason
		held   int
		play   func(h *hall)
	}{
		{Silent, 1 << 20, func(h *hall) { h.dial(t, "SUBSCRIBE no") }},
		{TooLong, 1 << 20, func(h *hall) { h.dial(t, long) }},
		{Memory, 96 << 10, func(h *hall) { // strangers alone
			known := h.dial(t, "SOURCE locality=a\r\n")
			(<-h.heard).from.Known("")
			h.dial(t, long[:32<<10])
			for h.heldNow.Load() < 56<<10 {
				runtime.Gosched()
			}
			_, _ = io.WriteString(known, "SOURCE locality="+long[:60<<10]+"\r\n")
			if got := (<-h.heard).said.(edge.Source); len(got.Zone) != 60<<10 {
				t.Errorf("a long line of a collector: %d bytes", len(got.Zone))
			}
			h.dial(t, long[:48<<10])
		}},
		{Reset, 1 << 20, func(h *hall) {
			c := h.dial(t, "SOURCE locality=a\r\n")
			<-h.heard
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{Replaced, 1 << 20, func(h *hall) {
			h.dial(t, "SUBSCRIBE node=1 locality=a\r\n")
			(<-h.heard).from.Replaced()
		}},
		{Unread, 1 << 20, func(h *hall) {
			h.dial(t, "SUBSCRIBE node=1 locality=a\r\n")
			from := (<-h.heard).from
			for done := false; !done; {
				from.Send(make([]byte, 600))
				from.mu.Lock()
				done = from.reason != ""
				from.mu.Unlock()
			}
		}},
	} {
		h := open(t, func(l *Listener) {
			l.stranger, l.line, l.limits.held, l.first = 50*time.Millisecond, 64<<10, c.held, 1<<10
			if c.reason != Silent {
				l.stranger = time.Hour
			}
		})
		c.play(h)
		<-h.ended
		if s := h.logged(); !strings.Contains(s, "reason="+string(c.reason)) {
			t.Errorf("%s: log %q", c.reason, s)
		}
		h.Close()
		if h.heldNow.Load() != 0 {
			t.Errorf("%s: %d bytes counted as held after the end", c.reason, h.heldNow.Load())
		}
	}
}

// A proxy that does not read holds up nobody: what is sent to it waits, up to the limit, and Send returns.
func TestSlowReader(t *testing.T) {
	h := open(t, func(l *Listener) { l.unread = 8 << 20 })
	c := h.dial(t, "SUBSCRIBE node=1 locality=a\r\n")
	from := (<-h.heard).from
	from.Known("proxy 1")
	const messages, size = 1000, 8 << 10
	for i := range messages {
		from.Send(append(bytes.Repeat([]byte{byte('a' + i%26)}, size-1), '\n'))
	}
	other := h.dial(t, "PING\r\n")
	pinged(t, other)
	in := bufio.NewReader(c)
	for i := range messages {
		line, err := in.ReadString('\n')
		if err != nil || len(line) != size || strings.Trim(line, string(rune('a'+i%26))) != "\n" {
			t.Fatalf("message %d: %d bytes, %v", i, len(line), err)
		}
	}
}

// Hundreds of strangers that say nothing or half a line make room for a proxy, and a proxy never does.
func TestCrowd(t *testing.T) {
	const most = 50
	h := open(t, func(l *Listener) { l.most = most })
	first := h.dial(t, "SUBSCRIBE node=1 locality=a\r\n")
	(<-h.heard).from.Known("proxy 1")
	for i := range 6 * most {
		h.dial(t, []string{"", "SUBSCR"}[i%2])
	}
	last := h.dial(t, "SUBSCRIBE node=2 locality=a\r\nPING\r\n")
	pinged(t, last)
	_, _ = io.WriteString(first, "PING\r\n")
	pinged(t, first)
	if n := h.count(); n > most {
		t.Errorf("%d connections are held", n)
	}
}

// A flood of ends is summed up by reason.
func TestFlood(t *testing.T) {
	h, second := open(t, nil), int64(1)
	h.log.now = func() int64 { return second }
	c := &Conn{net: h.dial(t, ""), reason: Silent}
	for range 3 * mostEndings {
		h.log.add(c)
	}
	second++
	h.log.add(c)
	if s := h.logged(); strings.Count(s, "\n") != mostEndings+2 || !strings.Contains(s, "count=100") {
		t.Errorf("log %q", s)
	}
}

func (h *hall) count() int {
	h.Listener.mu.Lock()
	defer h.Listener.mu.Unlock()
	return len(h.conns)
}

// failing takes one connection, then has no descriptor left for a while.
type failing struct {
	net.Listener
	calls int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.calls++; f.calls == 2 || f.calls == 3 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Running out of descriptors ends strangers, not the controller.
func TestNoDescriptors(t *testing.T) {
	h := open(t, func(l *Listener) { l.net = &failing{Listener: l.net} })
	_, _ = io.Copy(io.Discard, h.dial(t, "SUBSCR"))
	<-h.ended
	pinged(t, h.dial(t, "PING\r\n"))
	if s := h.logged(); !strings.Contains(s, "reason=crowded") {
		t.Errorf("log %q", s)
	}
}
