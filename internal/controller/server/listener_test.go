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
	h.Listener, err = Listen("127.0.0.1:0", 64<<20, 1024, hear, logrus.NewEntry(log))
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
	if line, err := bufio.NewReader(c).ReadString('\n'); line != textproto.Pong {
		t.Fatalf("answer %q, %v", line, err)
	}
}

// Messages come in pieces, many in one read, with kinds that are not known and figures that cannot be read.
func TestPieces(t *testing.T) {
	h := open(t, nil)
	c := h.dial(t, "")
	text := "SOURCE locality=a\r\nRATE node=x route=r total=1 errors=0 interval=1\r\nNOISE x=1\r\n\r\n" +
		"RATE node=1 route=r total=2 errors=3 interval=1000 later=9\r\n"
	for _, b := range []byte(text) {
		_, _ = c.Write([]byte{b})
	}
	_, _ = io.WriteString(c, strings.Repeat("ACK node=1 nonce=5 latency=1\r\n", 3)+"PING\r\n")
	pinged(t, c)
	want := []any{
		textproto.Source{Zone: "a"},
		textproto.UsageReport{Proxy: 1, Product: "r", Txns: 2, Failed: 3, Period: 10000},
		textproto.Ack{Proxy: 1, Marker: 5},
		textproto.Ack{Proxy: 1, Marker: 5},
		textproto.Ack{Proxy: 1, Marker: 5},
	}
	for _, w := range want {
		if got := (<-h.heard).said; !reflect.DeepEqual(got, w) {
			t.Errorf("heard %+v, want %+v", got, w)
		}
	}
	_ = c.Close()
	<-h.ended
	if s := h.logged(); strings.Count(s, "\n") != 1 || !strings.Contains(s, "reason=closed") ||
		!strings.Contains(s, "faults=3") || !strings.Contains(s, "RATE node") {
		t.Errorf("log %q", s)
	}
}

// Each end has its code, and nothing is left of a connection that is over. What is plainly wrong ends a
// stranger at once, and what cannot be read ends a proxy; the others have time until long after the test.
func TestReasons(t *testing.T) {
	const joins, collects = "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n", "SOURCE locality=a\r\n"
	long := strings.Repeat("x", 70<<10)
	says := func(text string) func(h *hall) { return func(h *hall) { h.dial(t, text) } }
	for i, c := range []struct {
		reason Reason
		play   func(h *hall)
	}{
		{ReasonJoinTimeout, says("")}, {ReasonJoinTimeout, says("SUBSCRIBE no")}, {ReasonJoinTimeout, says("PING\r\n")},
		{ReasonMalformed, says("GET / HTTP/1.1\r\n")}, {ReasonMalformed, says("\xff\x00")},
		{ReasonMalformed, says("$999999\r\n")},
		{ReasonNotJoined, says("\r\n")}, {ReasonMalformed, says("Host: x")}, {ReasonMalformed, says("THISKINDISFARTOOLONG")},
		{ReasonMalformed, says(joins + "\x80\x81")}, {ReasonMalformed, says(collects + "PING\r\nX \x80\r\n")},
		{ReasonNotJoined, says("CONFIG whole=1\r\n")}, {ReasonNotJoined, says("SUBSCRIBE node=-1 locality=a w=1 cold=0\r\n")},
		{ReasonNotJoined, says("PING\r\nACK node=1 nonce=1 latency=1\r\n")},
		{ReasonLineTooLong, says("SUBSCRIBE node=" + long)},
		{ReasonLineTooLong, says(collects + "RATE node=" + long)},
		{ReasonMemoryLimit, func(h *hall) {
			for range 3 {
				h.dial(t, collects+"LOAD locality="+long[:40<<10])
				<-h.heard
			}
		}},
		{ReasonReset, func(h *hall) {
			c := h.dial(t, collects)
			<-h.heard
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}},
		{ReasonReplaced, func(h *hall) {
			h.dial(t, joins)
			(<-h.heard).from.CloseReplaced()
		}},
		{ReasonRefused, func(h *hall) {
			h.dial(t, joins)
			(<-h.heard).from.CloseRefused()
		}},
		{ReasonWriteBacklog, func(h *hall) {
			h.dial(t, joins)
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
			l.joinTimeout, l.lastLook, l.maxLine = time.Hour, time.Millisecond, 64<<10
			l.maxLineMemory.Store(150 << 10)
			l.maxUnread.Store(1 << 10)
			if c.reason == ReasonJoinTimeout {
				l.joinTimeout = 50 * time.Millisecond
			}
		})
		c.play(h)
		<-h.ended
		if s := h.logged(); !strings.Contains(s, "reason="+string(c.reason)) {
			t.Errorf("%d, %s: log %q", i, c.reason, s)
		}
		h.Close()
		if h.lineMemory.Load() != 0 {
			t.Errorf("%d, %s: %d bytes counted as held after the end", i, c.reason, h.lineMemory.Load())
		}
	}
}

// A joining that has arrived counts, though its time was over before this process had a turn; a crowd that
// has to make room does not cost it its place.
func TestLateTurn(t *testing.T) {
	for _, most := range []int64{50, 1} {
		h := open(t, func(l *Listener) {
			l.joinTimeout, l.lastLook = -time.Hour, time.Minute
			l.maxConns.Store(most)
		})
		h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
		if _, ok := (<-h.heard).said.(textproto.Subscribe); !ok {
			t.Error("no joining was heard")
		}
	}
}

// A proxy that does not read holds up nobody: what is sent to it waits, up to the limit, and Send returns.
func TestSlowReader(t *testing.T) {
	h := open(t, func(l *Listener) { l.maxUnread.Store(8 << 20) })
	c := h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
	from := (<-h.heard).from
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
	h := open(t, func(l *Listener) { l.maxConns.Store(most) })
	first := h.dial(t, "SUBSCRIBE node=1 locality=a w=1 cold=0\r\n")
	<-h.heard
	for i := range 6 * most {
		h.dial(t, []string{"", "SUBSCR"}[i%2])
	}
	last := h.dial(t, "SUBSCRIBE node=2 locality=a w=1 cold=0\r\nPING\r\n")
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
	c := &Conn{net: h.dial(t, ""), reason: ReasonJoinTimeout}
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

// Descriptors run short while the proxies of lost controllers join: strangers make room for each of them, and none
// that joined before is ended.
func TestManyCase2Descriptors(t *testing.T) {
	const most, before, come = 60, 30, 25
	h := open(t, func(l *Listener) { l.maxConns.Store(most) })
	var proxies []net.Conn
	join := func(i int) {
		proxies = append(proxies, h.dial(t, fmt.Sprintf("SUBSCRIBE node=%d locality=a w=1 cold=0\r\n", i)))
		if j, ok := (<-h.heard).said.(textproto.Subscribe); !ok || j.Proxy != i {
			t.Fatalf("proxy %d did not join: %+v", i, j)
		}
	}
	for i := range before {
		join(i)
	}
	for range come {
		for range 8 {
			h.dial(t, "SUBSCR")
		}
		join(len(proxies))
	}
	for i, c := range proxies {
		_, _ = io.WriteString(c, "PING\r\n")
		pinged(t, c)
		if i >= before+come {
			t.Fatal("more proxies than came")
		}
	}
	if n := h.count(); n > most {
		t.Errorf("%d connections are held where %d may", n, most)
	}
	if s := h.logged(); strings.Contains(s, "of=") || strings.Contains(s, "SUBSCRIBE") {
		t.Errorf("a proxy was ended: %s", s)
	}
}
