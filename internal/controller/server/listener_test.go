package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/textproto"
)

type received struct {
	from    *Conn
	message any
}

// testListener is a Listener that keeps the messages received and the text logged.
type testListener struct {
	*Listener
	received chan received
	mu       sync.Mutex
	logText  bytes.Buffer
	ended    chan struct{}
}

func (h *testListener) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logText.Write(b)
	if bytes.Contains(b, []byte("ended")) {
		h.ended <- struct{}{}
	}
	return len(b), nil
}

func (h *testListener) logged() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.logText.String()
}

func startListener(t *testing.T, configure func(*Listener)) *testListener {
	t.Helper()
	h := &testListener{received: make(chan received, 1000), ended: make(chan struct{}, 10000)}
	log := logrus.New()
	log.SetOutput(h)
	var err error
	handler := func(from *Conn, message any) { h.received <- received{from, message} }
	h.Listener, err = Listen("127.0.0.1:0", 64<<20, 1024, handler, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(h.Listener)
	}
	go func() { _ = h.Serve() }()
	t.Cleanup(h.Close)
	return h
}

func (h *testListener) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c
}

func expectPong(t *testing.T, c net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != textproto.Pong {
		t.Fatalf("answer %q, %v", line, err)
	}
}

// Messages arrive byte by byte and several at a time. Unknown kinds are skipped; invalid fields are recorded.
func TestMessagesSplitAcrossReads(t *testing.T) {
	h := startListener(t, nil)
	c := h.dial(t, "")
	text := "SOURCE locality=a\r\nRATE node=x route=r total=1 errors=0 interval=1\r\nNOISE x=1\r\n\r\n" +
		"RATE node=1 route=r total=2 errors=3 interval=1000 later=9\r\n"
	for _, b := range []byte(text) {
		_, _ = c.Write([]byte{b})
	}
	_, _ = io.WriteString(c, strings.Repeat("ACK node=1 nonce=5 latency=1\r\n", 3)+"PING\r\n")
	expectPong(t, c)
	want := []any{
		textproto.Source{Zone: "a"},
		textproto.UsageReport{Proxy: 1, Product: "r", Txns: 2, Failed: 3, Period: 10000},
		textproto.Ack{Proxy: 1, Marker: 5},
		textproto.Ack{Proxy: 1, Marker: 5},
		textproto.Ack{Proxy: 1, Marker: 5},
	}
	for _, w := range want {
		if got := (<-h.received).message; !reflect.DeepEqual(got, w) {
			t.Errorf("received %+v, want %+v", got, w)
		}
	}
	_ = c.Close()
	<-h.ended
	if s := h.logged(); strings.Count(s, "\n") != 1 || !strings.Contains(s, "reason=closed") ||
		!strings.Contains(s, "faults=3") || !strings.Contains(s, "RATE node") {
		t.Errorf("log %q", s)
	}
}

// Each way for a connection to end logs its reason and releases the memory for long lines. The join timeout is too
// long to expire, except where it is tested.
func TestCloseReasons(t *testing.T) {
	const subscribe, source = "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n", "SOURCE locality=a\r\n"
	long := strings.Repeat("x", 70<<10)
	sends := func(text string) func(h *testListener) { return func(h *testListener) { h.dial(t, text) } }
	for i, c := range []struct {
		reason Reason
		run    func(h *testListener)
	}{
		{ReasonJoinTimeout, sends("")}, {ReasonJoinTimeout, sends("SUBSCRIBE no")},
		{ReasonJoinTimeout, sends("PING\r\n")},
		{ReasonMalformed, sends("GET / HTTP/1.1\r\n")}, {ReasonMalformed, sends("\xff\x00")},
		{ReasonMalformed, sends("$999999\r\n")},
		{ReasonNotJoined, sends("\r\n")}, {ReasonMalformed, sends("Host: x")},
		{ReasonMalformed, sends("THISKINDISFARTOOLONG")},
		{ReasonMalformed, sends(subscribe + "\x80\x81")}, {ReasonMalformed, sends(source + "PING\r\nX \x80\r\n")},
		{ReasonNotJoined, sends("CONFIG whole=1\r\n")},
		{ReasonNotJoined, sends("SUBSCRIBE node=-1 locality=a w=1 cold=0\r\n")},
		{ReasonNotJoined, sends("PING\r\nACK node=1 nonce=1 latency=1\r\n")},
		{ReasonLineTooLong, sends("SUBSCRIBE node=" + long)},
		{ReasonLineTooLong, sends(source + "RATE node=" + long)},
		{ReasonMemoryLimit, func(h *testListener) {
			for range 3 {
				h.dial(t, source+"LOAD locality="+long[:40<<10])
				<-h.received
			}
		}},
		{ReasonReset, func(h *testListener) {
			c := h.dial(t, source)
			<-h.received
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}},
		{ReasonReplaced, func(h *testListener) {
			h.dial(t, subscribe)
			(<-h.received).from.CloseReplaced()
		}},
		{ReasonRefused, func(h *testListener) {
			h.dial(t, subscribe)
			(<-h.received).from.CloseRefused()
		}},
		{ReasonWriteBacklog, func(h *testListener) {
			h.dial(t, subscribe)
			from := (<-h.received).from
			for done := false; !done; {
				from.Send(make([]byte, 600))
				from.mu.Lock()
				done = from.reason != ""
				from.mu.Unlock()
			}
		}},
	} {
		h := startListener(t, func(l *Listener) {
			l.joinTimeout, l.lateReadWindow, l.maxLine = time.Hour, time.Millisecond, 64<<10
			l.maxLineMemory.Store(150 << 10)
			l.maxUnsent.Store(1 << 10)
			if c.reason == ReasonJoinTimeout {
				l.joinTimeout = 50 * time.Millisecond
			}
		})
		c.run(h)
		<-h.ended
		if s := h.logged(); !strings.Contains(s, "reason="+string(c.reason)) {
			t.Errorf("%d, %s: log %q", i, c.reason, s)
		}
		h.Close()
		if h.lineMemory.Load() != 0 {
			t.Errorf("%d, %s: %d bytes of long lines counted after the end", i, c.reason, h.lineMemory.Load())
		}
	}
}

// A join that arrives in time but is read after the join timeout counts, even at the limit of connections.
func TestJoinReadAfterTimeout(t *testing.T) {
	for _, maxConns := range []int64{50, 1} {
		h := startListener(t, func(l *Listener) {
			l.joinTimeout, l.lateReadWindow = -time.Hour, time.Minute
			l.maxConns.Store(maxConns)
		})
		h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
		if _, ok := (<-h.received).message.(textproto.Subscribe); !ok {
			t.Error("the join was not received")
		}
	}
}

// A proxy that does not read delays no other connection: messages to it are queued and Send returns at once.
func TestSlowReader(t *testing.T) {
	h := startListener(t, func(l *Listener) { l.maxUnsent.Store(8 << 20) })
	c := h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
	from := (<-h.received).from
	const messages, size = 1000, 8 << 10
	for i := range messages {
		from.Send(append(bytes.Repeat([]byte{byte('a' + i%26)}, size-1), '\n'))
	}
	other := h.dial(t, "PING\r\n")
	expectPong(t, other)
	in := bufio.NewReader(c)
	for i := range messages {
		line, err := in.ReadString('\n')
		if err != nil || len(line) != size || strings.Trim(line, string(rune('a'+i%26))) != "\n" {
			t.Fatalf("message %d: %d bytes, %v", i, len(line), err)
		}
	}
}

// Unjoined connections are evicted so that a proxy can connect. Joined ones are not.
func TestUnjoinedConnectionsAreEvicted(t *testing.T) {
	const maxConns = 50
	h := startListener(t, func(l *Listener) { l.maxConns.Store(maxConns) })
	first := h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
	<-h.received
	for i := range 6 * maxConns {
		h.dial(t, []string{"", "SUBSCR"}[i%2])
	}
	last := h.dial(t, "SUBSCRIBE node=2 locality=a w=1 cold=0\r\nPING\r\n")
	expectPong(t, last)
	_, _ = io.WriteString(first, "PING\r\n")
	expectPong(t, first)
	if n := h.connCount(); n > maxConns {
		t.Errorf("%d connections are open, limit %d", n, maxConns)
	}
}

// Ends beyond the limit of log lines per second are counted by reason.
func TestEndLogLimitsLines(t *testing.T) {
	h, second := startListener(t, nil), int64(1)
	h.endLog.now = func() int64 { return second }
	c := &Conn{net: h.dial(t, ""), reason: ReasonJoinTimeout}
	for range 3 * maxEndLinesPerSecond {
		h.endLog.record(c)
	}
	second++
	h.endLog.record(c)
	if s := h.logged(); strings.Count(s, "\n") != maxEndLinesPerSecond+2 || !strings.Contains(s, "count=100") {
		t.Errorf("log %q", s)
	}
}

func (h *testListener) connCount() int {
	h.Listener.mu.Lock()
	defer h.Listener.mu.Unlock()
	return len(h.conns)
}

// exhaustedListener accepts one connection, then fails twice as if file descriptors ran out.
type exhaustedListener struct {
	net.Listener
	calls int
}

func (f *exhaustedListener) Accept() (net.Conn, error) {
	if f.calls++; f.calls == 2 || f.calls == 3 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// When file descriptors run out an unjoined connection is evicted and the listener goes on.
func TestNoDescriptors(t *testing.T) {
	h := startListener(t, func(l *Listener) { l.net = &exhaustedListener{Listener: l.net} })
	_, _ = io.Copy(io.Discard, h.dial(t, "SUBSCR"))
	<-h.ended
	expectPong(t, h.dial(t, "PING\r\n"))
	if s := h.logged(); !strings.Contains(s, "reason=crowded") {
		t.Errorf("log %q", s)
	}
}

// Proxies that join while connections run out evict unjoined connections only.
func TestManyCase2Descriptors(t *testing.T) {
	const maxConns, initial, later = 60, 30, 25
	h := startListener(t, func(l *Listener) { l.maxConns.Store(maxConns) })
	var proxies []net.Conn
	join := func(i int) {
		proxies = append(proxies, h.dial(t, fmt.Sprintf("SUBSCRIBE node=%d locality=a w=1 cold=0\r\n", i)))
		if j, ok := (<-h.received).message.(textproto.Subscribe); !ok || j.Proxy != i {
			t.Fatalf("proxy %d did not join: %+v", i, j)
		}
	}
	for i := range initial {
		join(i)
	}
	for range later {
		for range 8 {
			h.dial(t, "SUBSCR")
		}
		join(len(proxies))
	}
	for i, c := range proxies {
		_, _ = io.WriteString(c, "PING\r\n")
		expectPong(t, c)
		if i >= initial+later {
			t.Fatal("more proxies than joined")
		}
	}
	if n := h.connCount(); n > maxConns {
		t.Errorf("%d connections are open, limit %d", n, maxConns)
	}
	if s := h.logged(); strings.Contains(s, "of=") || strings.Contains(s, "SUBSCRIBE") {
		t.Errorf("a proxy was disconnected: %s", s)
	}
}
