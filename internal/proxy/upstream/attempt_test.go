package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/apierror"
)

// side is the backend's end of one connection.
type side struct {
	net.Conn
	br *bufio.Reader
	n  int // of the connection, from 1
}

// request reads one request and gives its bytes; "" at the connection's end.
func (s *side) request() string {
	var raw bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(oneByte{s.br}, &raw)))
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return ""
	}
	return raw.String()
}

// oneByte keeps ReadRequest's buffer from taking more than the request.
type oneByte struct{ io.Reader }

func (o oneByte) Read(b []byte) (int, error) { return o.Reader.Read(b[:min(1, len(b))]) }

func (s *side) say(text string) { _, _ = io.WriteString(s, strings.ReplaceAll(text, "\n", "\r\n")) }

// backend is a Pool whose connections each run the script at their other end, over net.Pipe.
func backend(o Options, script func(s *side)) *Pool {
	var dials atomic.Int32
	o.Dial = func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		n := int(dials.Add(1))
		go func() {
			defer func() { _ = b.Close() }()
			script(&side{b, bufio.NewReader(b), n})
		}()
		return a, nil
	}
	return New(o)
}

func get(id string) *Call {
	return &Call{Address: "b:1", EndpointID: "i-1", Method: "GET", RequestTarget: "/a", Host: "h.example", AttemptID: id,
		Deadline: time.Now().Add(5 * time.Second)}
}

func kind(err error) apierror.Kind {
	var f *apierror.Error
	if err != nil && !errors.As(err, &f) {
		panic(err)
	}
	if f == nil {
		return apierror.None
	}
	return f.Kind
}

const (
	ok  = "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: me\nX-Elmfold-Server-Seal: s\n"
	old = "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: before\nX-Elmfold-Server-Seal: s\nContent-Length: 3\n\nold"
	no  = "X-Elmfold-Not-Executed: full\nContent-Length: 2\n\nno"
)

// Every way to answer, what comes of it, and whether the connection is used again.
func TestAnswers(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, say string }{ // "|" at the end: the backend closes
		{"whole", ok + "Content-Length: 3\n\nabc"},
		{"in chunks", ok + "Transfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\nX-T: 1\n\n"},
		{"no body", "HTTP/1.1 204 No\nX-Elmfold-Attempt-Id: me\nX-Elmfold-Server-Seal: s\n\n"},
		{"fields of the connection", ok + "Connection: keep-alive, x-one\nX-One: 1\nKeep-Alive: timeout=4\nUpgrade: u\n" +
			"Proxy-Authenticate: p\nX-Two: 2\nContent-Length: 1\n\na"},
		{"load and cold", ok + "X-Elmfold-Server-Load: 3, 0,8\nX-Elmfold-Cold-Ms: 1500\nContent-Length: 1\n\na"},
		{"its own failure", "HTTP/1.1 500 E\nX-Elmfold-Attempt-Id: me\nContent-Length: 1\n\ne"},
		{"says close", ok + "Connection: close\nContent-Length: 1\n\na"},
		{"HTTP/1.0", strings.Replace(ok, "1.1", "1.0", 1) + "Connection: keep-alive\nContent-Length: 1\n\na"},
		{"bytes after it", ok + "Content-Length: 1\n\nab"},
		{"1xx first", "HTTP/1.1 103 Early\nLink: l\n\n" + ok + "Content-Length: 1\n\na"},
		{"surplus first", old + ok + "Content-Length: 1\n\na"},
		{"surplus in chunks", strings.Replace(old, "Content-Length: 3\n\n", "Transfer-Encoding: chunked\n\n3\n", 1) +
			"\n0\n\n" + ok + "Content-Length: 1\n\na"},
		{"surplus refusal", "HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: before\n" + no + ok + "Content-Length: 1\n\na"},
		{"surplus thrice", old + old + old},
		{"surplus only", old + "|"},
		{"no id", "HTTP/1.1 200 OK\nX-Elmfold-Server-Seal: s\nContent-Length: 1\n\na|"},
		{"refused", "HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\nRetry-After: 0.2\n" + no},
		{"refused without an id", "HTTP/1.1 400 B\n" + no},
		{"refused, body stalls", "HTTP/1.1 429 F\nX-Elmfold-Attempt-Id: me\n" +
			"X-Elmfold-Not-Executed: 1\nContent-Length: 9\n\nno"},
		{"misdirected", "HTTP/1.1 421 M\nX-Elmfold-Attempt-Id: me\n" + no},
		{"misdirected, bare", "HTTP/1.1 421 M\nContent-Length: 0\n\n"},
		{"unsealed", "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: me\nContent-Length: 1\n\na"},
		{"encoded", ok + "Content-Encoding: gzip\nContent-Length: 1\n\na"},
		{"2xx without length", ok + "Connection: close\n\nabc|"},
		{"500 without length", "HTTP/1.1 500 E\nX-Elmfold-Attempt-Id: me\n\nabc|"},
		{"silent end", "|"},
		{"cut in head", ok + "Content-Le|"},
		{"cut in length", ok + "Content-Length: 5\n\nabc|"},
		{"cut in chunk", ok + "Transfer-Encoding: chunked\n\n5\nabc|"},
		{"cut between chunks", ok + "Transfer-Encoding: chunked\n\n3\nabc\n|"},
		{"cut before last line", ok + "Transfer-Encoding: chunked\n\n3\nabc\n0\n|"},
		{"no answer", "SSH-2.0-x\n\n"},
		{"no chunk", ok + "Transfer-Encoding: chunked\n\nzz\nabc\n"},
		{"two lengths", ok + "Content-Length: 1\nContent-Length: 2\n\na"},
		{"endless head", ok + "X-A: " + strings.Repeat("a", maxHeadBytes)},
		{"silence", ""},
		{"stalls in the body", ok + "Content-Length: 5\n\nabc"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := backend(Options{}, func(s *side) {
				for s.request() != "" {
					said, end := strings.CutSuffix(c.say, "|")
					if s.say(said); end {
						return
					}
				}
			})
			from := time.Now()
			a, err := p.Do(t.Context(), get("me"))
			fmt.Fprintf(&out, "%s: ", c.name)
			if err != nil {
				fmt.Fprintf(&out, "%v; ", err)
			}
			if a != nil {
				delete(a.Header, HeaderAttemptID)
				delete(a.Header, HeaderServerSeal)
				fmt.Fprintf(&out, "%d %q %d %v", a.Status, a.Body, a.Length, a.Header)
				if a.HasLoad || a.HasWarmup {
					fmt.Fprint(&out, " ", a.Load, a.WarmupLeft)
				}
				fmt.Fprint(&out, "; ")
			}
			fmt.Fprintf(&out, "idle %d of %d", p.IdleConns("b:1"), p.OpenConns("b:1"))
			if d := time.Since(from); d > 0 {
				fmt.Fprint(&out, " after ", d)
			}
			fmt.Fprintln(&out)
			p.CloseIdle("b:1")
		})
	}
	autogold.Equal(t, out.String())
}

// What goes out: the bytes of the target as they came, in one write with a small body.
func TestRequestBytes(t *testing.T) {
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		p := backend(Options{}, func(s *side) {
			for {
				r := s.request()
				if r == "" {
					return
				}
				out.WriteString(strings.ReplaceAll(r, "\r\n", "\n") + "----\n")
				s.say(ok + "Content-Length: 0\n\n")
			}
		})
		send := func(change func(c *Call)) {
			c := get("me")
			change(c)
			if _, err := p.Do(t.Context(), c); err != nil {
				t.Fatal(err)
			}
		}
		send(func(c *Call) { c.RequestTarget = "//a/../%2f;p=1//?q=%zz&&x={\"|^`\x80\xff#=" })
		send(func(c *Call) { c.Method, c.HasBody, c.Header = "PuT", true, http.Header{"X-A": {"1", "2"}} })
		send(func(c *Call) { c.Method, c.HasBody, c.Body = "POST", true, []byte("body") })
		send(func(c *Call) {
			c.Method, c.Body, c.Stream, c.StreamLen = "POST", []byte("bo"), strings.NewReader("dyy"), 2
		})
		send(func(c *Call) {
			c.Method, c.Body, c.Stream, c.StreamLen = "POST", []byte("bo"), strings.NewReader("dy"), -1
		})
		send(func(c *Call) { c.EndpointID, c.Deadline = "", time.Now().Add(time.Microsecond) })
		send(func(c *Call) { c.AttemptID = "" })
		for _, bad := range []string{"/a b", "/a\r\nX: y", ""} {
			c := get("me")
			c.RequestTarget = bad
			if _, err := p.Do(t.Context(), c); kind(err) != apierror.Malformed {
				t.Errorf("%q: %v", bad, err)
			}
		}
		p.CloseIdle("b:1")
	})
	autogold.Equal(t, out.String())
}

// An idle connection that dies under a GET: the request has arrived once and isn't sent again.
func TestDiesUnderRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived := 0
		p := backend(Options{}, func(s *side) {
			for s.request() != "" {
				if arrived++; arrived == 2 {
					return
				}
				s.say(ok + "Content-Length: 1\n\na")
			}
		})
		if _, err := p.Do(t.Context(), get("me")); err != nil {
			t.Fatal(err)
		}
		c := get("me2")
		if _, err := p.Do(t.Context(), c); kind(err) != apierror.ConnectionBroken || arrived != 2 || p.OpenConns("b:1") != 0 {
			t.Fatalf("%v, %d arrivals, %d open", err, arrived, p.OpenConns("b:1"))
		}
	})
}

// A connection that ends before a byte was taken has carried nothing; after the first byte nobody knows.
func TestFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for taken, want := range []apierror.Kind{apierror.ConnectFailed, apierror.ConnectionBroken} {
			p := backend(Options{}, func(s *side) { _, _ = io.ReadFull(s.Conn, make([]byte, taken)) })
			if _, err := p.Do(t.Context(), get("me")); kind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("%d bytes taken: %v, %d open", taken, err, p.OpenConns("b:1"))
			}
		}
	})
}

// readable waits until the connection has something to tell: bytes, its end or a reset.
func readable(t *testing.T, nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is no TCP connection", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// An idle connection that was closed, or on which a surplus answer waits, is left for a fresh one; a fresh one that is
// turned away at once has carried nothing.
func TestLooksBeforeUse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	addr := l.Addr().String()
	var mine net.Conn
	refuse, theirs := false, make(chan *side, 1)
	p := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		var err error
		if mine, err = dialTCP(ctx, addr); err != nil {
			return nil, err
		}
		nc, err := l.Accept()
		if err != nil {
			return nil, err
		}
		if refuse {
			_ = nc.Close()
			readable(t, mine)
			return mine, nil
		}
		s := &side{Conn: nc, br: bufio.NewReader(nc)}
		go func() {
			for r := s.request(); r != ""; r = s.request() {
				id := r[strings.Index(r, HeaderAttemptID)+len(HeaderAttemptID)+2:][:1]
				s.say(strings.Replace(ok, "me", id, 1) + "Content-Length: 1\n\n" + id)
			}
			_ = nc.Close()
		}()
		theirs <- s
		return mine, nil
	}})
	do := func(id string) (*Response, error) {
		c := get(id)
		c.Address = addr
		return p.Do(t.Context(), c)
	}
	for i, spoil := range []func(s *side){
		func(s *side) { _ = s.Close() },
		func(s *side) {
			if tcp, ok := s.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = s.Close()
		},
		func(s *side) { s.say(strings.Replace(old, "before", "d", 1)) },
	} {
		if _, err := do("a"); err != nil {
			t.Fatal(err)
		}
		if _, err := do("b"); err != nil || len(theirs) != 1 { // on the same connection
			t.Fatal(err, len(theirs))
		}
		spoil(<-theirs)
		readable(t, mine)
		if a, err := do("d"); err != nil || string(a.Body) != "d" || p.OpenConns(addr) != 1 {
			t.Fatalf("%d: %v, %v, %d open", i, a, err, p.OpenConns(addr))
		}
		<-theirs
		p.CloseIdle(addr)
	}
	refuse = true
	if _, err := do("a"); kind(err) != apierror.EndpointsSaturated || p.OpenConns(addr) != 0 {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := do("a"); kind(err) != apierror.ConnectFailed || p.OpenConns(addr) != 0 {
		t.Fatal(err)
	}
}

// A client that goes away, or the deadline, ends the connection at once, in whatever phase.
func TestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Time
		say := ""
		p := backend(Options{}, func(s *side) {
			s.request()
			s.say(say)
			_, _ = io.Copy(io.Discard, s.br)
			ended = time.Now()
		})
		for _, say = range []string{"", ok + "Content-Le", ok + "Content-Length: 9\n\nabc"} {
			ctx, cancel := context.WithCancel(t.Context())
			from := time.Now()
			time.AfterFunc(time.Second, cancel)
			_, err := p.Do(ctx, get("me"))
			synctest.Wait()
			if kind(err) != apierror.AttemptCancelled || !errors.Is(err, context.Canceled) || ended.Sub(from) != time.Second {
				t.Errorf("%q: %v after %v", say, err, ended.Sub(from))
			}
			_, err = p.Do(ctx, get("me"))
			if kind(err) != apierror.ClientDisconnected {
				t.Errorf("offered for one who is gone: %v", err)
			}
		}
		c := get("me")
		c.Deadline = time.Now()
		if _, err := p.Do(t.Context(), c); kind(err) != apierror.DeadlineExceeded || p.OpenConns("b:1") != 0 {
			t.Error(err)
		}
	})
}

// A large body flows, whatever its framing; its connection is idle after its end only, and a break shows as one.
func TestLargeBody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20<<10)
	framed := []string{fmt.Sprintf("Content-Length: %d\n\n%s", len(body), body),
		fmt.Sprintf("Transfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(body), body)}
	synctest.Test(t, func(t *testing.T) {
		for i, whole := range framed {
			for _, cut := range []int{-1, 70 << 10, 1 << 10} {
				p := backend(Options{}, func(s *side) {
					s.request()
					if cut >= 0 {
						s.say(ok + whole[:cut])
						return
					}
					s.say(ok + whole)
					s.request()
				})
				a, err := p.Do(t.Context(), get("me"))
				if cut >= 0 && cut < 64<<10 {
					if kind(err) != apierror.TruncatedResponse {
						t.Error(err)
					}
					continue
				}
				if err != nil || a.Rest == nil || len(a.Body) < 64<<10 || p.IdleConns("b:1") != 0 {
					t.Fatal(a, err)
				}
				got, err := io.ReadAll(a.Rest)
				_ = a.Rest.Close()
				switch {
				case cut < 0 && (err != nil || string(a.Body)+string(got) != body || p.IdleConns("b:1") != 1):
					t.Errorf("%d: %v, %d bytes, idle %d", i, err, len(a.Body)+len(got), p.IdleConns("b:1"))
				case cut >= 0 && (kind(err) != apierror.TruncatedResponse || p.OpenConns("b:1") != 0):
					t.Errorf("%d: %v", i, err)
				}
				p.CloseIdle("b:1")
			}
		}
		p := backend(Options{}, func(s *side) { s.request(); s.say(ok + framed[0]) })
		a, err := p.Do(t.Context(), get("me"))
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Rest.Close()
		if p.OpenConns("b:1") != 0 {
			t.Error("left open")
		}
	})
}

// A stream is written beside the reading: a refusal before its end is heard, and a stream that breaks off ends the
// connection, so that the backend can't take it for whole.
func TestStreamOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := backend(Options{}, func(s *side) {
			if _, err := http.ReadRequest(s.br); err == nil && s.n == 1 {
				s.say("HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\n" + no)
			}
			_, _ = io.Copy(io.Discard, s.br)
		})
		r, w := io.Pipe()
		c := get("me")
		c.Method, c.Stream, c.StreamLen = "POST", r, -1
		if a, err := p.Do(
			t.Context(),
			c,
		); kind(err) != apierror.RejectedByEndpoint || string(a.Body) != "no" ||
			p.OpenConns("b:1") != 0 {
			t.Error(a, err)
		}
		_ = w.Close()
		gone := errors.New("client gone")
		c.Stream, c.StreamLen = io.MultiReader(strings.NewReader("abc"), failing{gone}), 9
		if _, err := p.Do(
			t.Context(),
			c,
		); kind(err) != apierror.AttemptCancelled || !errors.Is(err, gone) ||
			p.OpenConns("b:1") != 0 {
			t.Error(err)
		}
	})
}

type failing struct{ error }

func (f failing) Read([]byte) (int, error) { return 0, f.error }

// How long connections are kept, how many, and when no more.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keep := make(map[string]time.Duration)
		for _, v := range []string{"", "timeout=1", "timeout=2", "max=5, timeout=20", "timeout=0", "timeout=x"} {
			p := backend(Options{}, func(s *side) {
				s.request()
				s.say(ok + "Keep-Alive: " + v + "\nContent-Length: 0\n\n")
				s.request()
			})
			if _, err := p.Do(t.Context(), get("me")); err != nil {
				t.Fatal(err)
			}
			from := time.Now()
			for p.IdleConns("b:1") > 0 {
				time.Sleep(50 * time.Millisecond) // virtual
				p.PruneIdle(time.Now())
			}
			if keep[v] = time.Since(from); p.OpenConns("b:1") != 0 {
				t.Error("left open")
			}
		}
		want := "map[:8s max=5, timeout=20:15s timeout=0:0s timeout=1:300ms timeout=2:1.3s timeout=x:0s]"
		if got := fmt.Sprint(keep); got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
		release := make(chan bool)
		p := backend(Options{MaxIdleConns: 2}, func(s *side) {
			for s.request() != "" {
				<-release
				s.say(ok + "Content-Length: 0\n\n")
			}
		})
		three := func(amid func()) {
			done := make(chan error)
			for range 3 {
				go func() { _, err := p.Do(t.Context(), get("me")); done <- err }()
			}
			synctest.Wait()
			amid()
			for range 3 {
				release <- true
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
		}
		if three(func() {}); p.IdleConns("b:1") != 2 || p.OpenConns("b:1") != 2 {
			t.Errorf("idle %d of %d", p.IdleConns("b:1"), p.OpenConns("b:1"))
		}
		if three(func() { p.CloseIdle("b:1") }); p.OpenConns("b:1") != 0 {
			t.Errorf("%d came back", p.OpenConns("b:1"))
		}
	})
}

// Health answers; and what it leaves behind on the connection is no refusal of the next request.
func TestHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		says := []string{
			old + "HTTP/1.1 200 OK\nX-Elmfold-Instance-Id: i-1\nX-Elmfold-Server-Load: 3,0,8\n" +
				"X-Elmfold-Cold-Ms: 250\nContent-Length: 0\n\n",
			"HTTP/1.1 200 OK\nX-Elmfold-Instance-Id: i-1\nContent-Length: 0\n\n",
			"HTTP/1.1 503 F\n" + no + ok + "Content-Length: 1\n\na",
			"HTTP/1.1 503 F\n" + no,
			"|",
		}
		p := backend(Options{}, func(s *side) {
			for s.request() != "" {
				said := says[0]
				says = says[1:]
				if said == "|" {
					return
				}
				s.say(said)
			}
		})
		health := func() (HealthStatus, error) {
			return p.CheckHealth(t.Context(), "b:1", "/health", time.Now().Add(time.Second))
		}
		want := HealthStatus{OK: true, EndpointID: "i-1", WarmupLeft: 250 * time.Millisecond, HasWarmup: true,
			Load: Load{3, 0, 8}, HasLoad: true}
		if h, err := health(); h != want || err != nil || p.OpenConns("b:1") != 0 {
			t.Error(h, err)
		}
		if h, err := health(); !h.OK || err != nil || p.IdleConns("b:1") != 1 {
			t.Error(h, err)
		}
		if a, err := p.Do(t.Context(), get("me")); err != nil || string(a.Body) != "a" || p.OpenConns("b:1") != 0 {
			t.Error(a, err)
		}
		if h, err := health(); h.OK || err != nil {
			t.Error(h, err)
		}
		if h, err := health(); h.OK || kind(err) != apierror.ConnectionBroken {
			t.Error(h, err)
		}
	})
}

// A Do over loopback, beside the same bytes written and read without anything else.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	answer := []byte(strings.ReplaceAll(ok+"Content-Length: 512\n\n", "\n", "\r\n") + strings.Repeat("x", 512))
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if n, err := nc.Read(buf); err != nil || !bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
						_ = nc.Close()
						return
					}
					_, _ = nc.Write(answer)
				}
			}()
		}
	}()
	p := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := get("me")
	c.Address, c.Header = l.Addr().String(), http.Header{"Accept": {"*/*"}, "User-Agent": {"u"}}
	b.Run("do", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Deadline = time.Now().Add(time.Second)
			p.mu.Lock()
			if h := p.hosts[c.Address]; h != nil && len(h.idle) > 0 {
				h.idle[0].lastAttemptID = "" // the same id each time spares the backend its parsing
			}
			p.mu.Unlock()
			if _, err := p.Do(ctx, c); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("bare", func(b *testing.B) {
		nc, err := net.Dial("tcp4", c.Address)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		req, buf := appendRequest(nil, c, time.Second), make([]byte, 4096)
		for b.Loop() {
			_, _ = nc.Write(req)
			if _, err := io.ReadFull(nc, buf[:len(answer)]); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A call that is to finish once it was sent ends with its client before that, and again when its response flows: then
// also where the last of the request is written after that.
func TestFinishOnceSent(t *testing.T) {
	const flows = ok + "Content-Length: 90000\n\n"
	for _, c := range []struct {
		name         string
		stream       bool // a part of the request is written late
		say          string
		want         apierror.Kind
		breaksInFlow bool
	}{
		{name: "sent", say: right},
		{name: "not sent", stream: true, want: apierror.AttemptCancelled},
		{name: "it flows", say: flows + strings.Repeat("x", 80000), breaksInFlow: true},
		{name: "it flows before all is sent", stream: true, say: flows + strings.Repeat("x", 80000), breaksInFlow: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := backend(Options{}, func(s *side) {
					if c.stream {
						go func() { _, _ = io.Copy(io.Discard, s.br) }()
						time.Sleep(time.Second / 2)
					} else if s.request() == "" {
						return
					}
					if c.name == "sent" {
						time.Sleep(2 * time.Second)
					}
					s.say(c.say)
					time.Sleep(10 * time.Second)
				})
				call := get("me")
				call.FinishOnceSent, call.Deadline = true, time.Now().Add(20*time.Second)
				if c.stream {
					call.Method, call.Stream, call.StreamLen = "POST", slow{time.Second * 3 / 4}, 1
					if c.want != apierror.None {
						call.Stream = slow{time.Minute}
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Second, cancel)
				from := time.Now()
				a, err := p.Do(ctx, call)
				if kind(err) != c.want {
					t.Fatalf("%v after %v", err, time.Since(from))
				}
				if c.breaksInFlow {
					_, err := io.Copy(io.Discard, a.Rest)
					if kind(err) != apierror.AttemptCancelled || time.Since(from) != time.Second {
						t.Errorf("the response flows until %v after %v", err, time.Since(from))
					}
				}
				a.Close()
				p.CloseIdle("b:1")
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// slow gives one byte after a time.
type slow struct{ after time.Duration }

func (s slow) Read(b []byte) (int, error) {
	time.Sleep(s.after)
	return copy(b, "x"), nil
}
