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

// endpointConn is the endpoint's side of a connection.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	number int // 1 for the first connection of the pool
}

// readRequest reads a request and returns its bytes, or "" at the end of the connection.
func (s *endpointConn) readRequest() string {
	var raw bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(oneByteReader{s.reader}, &raw)))
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return ""
	}
	return raw.String()
}

// oneByteReader prevents http.ReadRequest from buffering bytes after the request.
type oneByteReader struct{ io.Reader }

func (o oneByteReader) Read(b []byte) (int, error) { return o.Reader.Read(b[:min(1, len(b))]) }

func (s *endpointConn) send(text string) {
	_, _ = io.WriteString(s, strings.ReplaceAll(text, "\n", "\r\n"))
}

// newTestPool returns a Pool that connects over net.Pipe. serve runs at the endpoint's side of each connection, which
// is closed when serve returns.
func newTestPool(o Options, serve func(s *endpointConn)) *Pool {
	var dials atomic.Int32
	o.Dial = func(context.Context, string) (net.Conn, error) {
		local, remote := net.Pipe()
		number := int(dials.Add(1))
		go func() {
			defer func() { _ = remote.Close() }()
			serve(&endpointConn{remote, bufio.NewReader(remote), number})
		}()
		return local, nil
	}
	return New(o)
}

func newTestCall(id string) *Call {
	return &Call{Address: "b:1", EndpointID: "i-1", Method: "GET", RequestTarget: "/a", Host: "h.example", AttemptID: id,
		Deadline: time.Now().Add(5 * time.Second)}
}

func errorKind(err error) apierror.Kind {
	if err == nil {
		return apierror.None
	}
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) {
		panic(err)
	}
	return apiErr.Kind
}

// Responses and parts of them. The attempt ID of newTestCall("me") is "me".
const (
	okHead        = "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: me\nX-Elmfold-Server-Seal: s\n"
	lateResponse  = "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: before\nX-Elmfold-Server-Seal: s\nContent-Length: 3\n\nold"
	rejectionTail = "X-Elmfold-Not-Executed: full\nContent-Length: 2\n\nno"
)

// Checks for each kind of response what Do returns and whether the connection is reused.
func TestResponses(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, response string }{ // a final "|" means that the endpoint closes the connection
		{"whole", okHead + "Content-Length: 3\n\nabc"},
		{"in chunks", okHead + "Transfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\nX-T: 1\n\n"},
		{"no body", "HTTP/1.1 204 No\nX-Elmfold-Attempt-Id: me\nX-Elmfold-Server-Seal: s\n\n"},
		{"fields of the connection", okHead + "Connection: keep-alive, x-one\nX-One: 1\nKeep-Alive: timeout=4\nUpgrade: u\n" +
			"Proxy-Authenticate: p\nX-Two: 2\nContent-Length: 1\n\na"},
		{"load and cold", okHead + "X-Elmfold-Server-Load: 3, 0,8\nX-Elmfold-Cold-Ms: 1500\nContent-Length: 1\n\na"},
		{"its own failure", "HTTP/1.1 500 E\nX-Elmfold-Attempt-Id: me\nContent-Length: 1\n\ne"},
		{"says close", okHead + "Connection: close\nContent-Length: 1\n\na"},
		{"HTTP/1.0", strings.Replace(okHead, "1.1", "1.0", 1) + "Connection: keep-alive\nContent-Length: 1\n\na"},
		{"bytes after it", okHead + "Content-Length: 1\n\nab"},
		{"1xx first", "HTTP/1.1 103 Early\nLink: l\n\n" + okHead + "Content-Length: 1\n\na"},
		{"surplus first", lateResponse + okHead + "Content-Length: 1\n\na"},
		{"surplus in chunks", strings.Replace(lateResponse, "Content-Length: 3\n\n", "Transfer-Encoding: chunked\n\n3\n", 1) +
			"\n0\n\n" + okHead + "Content-Length: 1\n\na"},
		{"surplus refusal", "HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: before\n" + rejectionTail +
			okHead + "Content-Length: 1\n\na"},
		{"surplus thrice", lateResponse + lateResponse + lateResponse},
		{"surplus only", lateResponse + "|"},
		{"no id", "HTTP/1.1 200 OK\nX-Elmfold-Server-Seal: s\nContent-Length: 1\n\na|"},
		{"refused", "HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\nRetry-After: 0.2\n" + rejectionTail},
		{"refused without an id", "HTTP/1.1 400 B\n" + rejectionTail},
		{"refused, body stalls", "HTTP/1.1 429 F\nX-Elmfold-Attempt-Id: me\n" +
			"X-Elmfold-Not-Executed: 1\nContent-Length: 9\n\nno"},
		{"misdirected", "HTTP/1.1 421 M\nX-Elmfold-Attempt-Id: me\n" + rejectionTail},
		{"misdirected, bare", "HTTP/1.1 421 M\nContent-Length: 0\n\n"},
		{"unsealed", "HTTP/1.1 200 OK\nX-Elmfold-Attempt-Id: me\nContent-Length: 1\n\na"},
		{"encoded", okHead + "Content-Encoding: gzip\nContent-Length: 1\n\na"},
		{"2xx without length", okHead + "Connection: close\n\nabc|"},
		{"500 without length", "HTTP/1.1 500 E\nX-Elmfold-Attempt-Id: me\n\nabc|"},
		{"silent end", "|"},
		{"cut in head", okHead + "Content-Le|"},
		{"cut in length", okHead + "Content-Length: 5\n\nabc|"},
		{"cut in chunk", okHead + "Transfer-Encoding: chunked\n\n5\nabc|"},
		{"cut between chunks", okHead + "Transfer-Encoding: chunked\n\n3\nabc\n|"},
		{"cut before last line", okHead + "Transfer-Encoding: chunked\n\n3\nabc\n0\n|"},
		{"no answer", "SSH-2.0-x\n\n"},
		{"no chunk", okHead + "Transfer-Encoding: chunked\n\nzz\nabc\n"},
		{"two lengths", okHead + "Content-Length: 1\nContent-Length: 2\n\na"},
		{"endless head", okHead + "X-A: " + strings.Repeat("a", maxHeadBytes)},
		{"silence", ""},
		{"stalls in the body", okHead + "Content-Length: 5\n\nabc"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool(Options{}, func(s *endpointConn) {
				for s.readRequest() != "" {
					response, closes := strings.CutSuffix(c.response, "|")
					if s.send(response); closes {
						return
					}
				}
			})
			startedAt := time.Now()
			resp, err := p.Do(t.Context(), newTestCall("me"))
			fmt.Fprintf(&out, "%s: ", c.name)
			if err != nil {
				fmt.Fprintf(&out, "%v; ", err)
			}
			if resp != nil {
				delete(resp.Header, HeaderAttemptID)
				delete(resp.Header, HeaderServerSeal)
				fmt.Fprintf(&out, "%d %q %d %v", resp.Status, resp.Body, resp.Length, resp.Header)
				if resp.HasLoad || resp.HasWarmup {
					fmt.Fprint(&out, " ", resp.Load, resp.WarmupLeft)
				}
				fmt.Fprint(&out, "; ")
			}
			fmt.Fprintf(&out, "idle %d of %d", p.IdleConns("b:1"), p.OpenConns("b:1"))
			if d := time.Since(startedAt); d > 0 {
				fmt.Fprint(&out, " after ", d)
			}
			fmt.Fprintln(&out)
			p.CloseIdle("b:1")
		})
	}
	autogold.Equal(t, out.String(), autogold.Name("TestAnswers"))
}

// Checks the bytes of requests: the request target is sent unchanged, and a small body in the same write as the head.
func TestRequestBytes(t *testing.T) {
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(Options{}, func(s *endpointConn) {
			for {
				request := s.readRequest()
				if request == "" {
					return
				}
				out.WriteString(strings.ReplaceAll(request, "\r\n", "\n") + "----\n")
				s.send(okHead + "Content-Length: 0\n\n")
			}
		})
		send := func(modify func(c *Call)) {
			c := newTestCall("me")
			modify(c)
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
		for _, target := range []string{"/a b", "/a\r\nX: y", ""} {
			c := newTestCall("me")
			c.RequestTarget = target
			if _, err := p.Do(t.Context(), c); errorKind(err) != apierror.Malformed {
				t.Errorf("%q: %v", target, err)
			}
		}
		p.CloseIdle("b:1")
	})
	autogold.Equal(t, out.String())
}

// Guards against resending a request after the endpoint closed a reused connection.
func TestConnectionClosedDuringRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		p := newTestPool(Options{}, func(s *endpointConn) {
			for s.readRequest() != "" {
				if received++; received == 2 {
					return
				}
				s.send(okHead + "Content-Length: 1\n\na")
			}
		})
		if _, err := p.Do(t.Context(), newTestCall("me")); err != nil {
			t.Fatal(err)
		}
		_, err := p.Do(t.Context(), newTestCall("me2"))
		if errorKind(err) != apierror.ConnectionBroken || received != 2 || p.OpenConns("b:1") != 0 {
			t.Fatalf("%v, %d requests received, %d open", err, received, p.OpenConns("b:1"))
		}
	})
}

// Checks that a request counts as not executed only if the endpoint read none of its bytes.
func TestConnectionClosedBeforeFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for bytesRead, want := range []apierror.Kind{apierror.ConnectFailed, apierror.ConnectionBroken} {
			p := newTestPool(Options{}, func(s *endpointConn) { _, _ = io.ReadFull(s.Conn, make([]byte, bytesRead)) })
			if _, err := p.Do(t.Context(), newTestCall("me")); errorKind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("%d bytes read: %v, %d open", bytesRead, err, p.OpenConns("b:1"))
			}
		}
	})
}

// waitReadable waits until the connection has unread data, or the peer has closed or reset it.
func waitReadable(t *testing.T, conn net.Conn) {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is not a TCP connection", conn)
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

// Checks that an idle connection is replaced if the endpoint has closed or reset it or has sent a surplus response, and
// that a new connection that the endpoint closes at once counts as EndpointsSaturated.
func TestUnusableIdleConnIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	addr := listener.Addr().String()
	var local net.Conn // of the latest dial
	closeAtOnce, accepted := false, make(chan *endpointConn, 1)
	p := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		var err error
		if local, err = dialTCP(ctx, addr); err != nil {
			return nil, err
		}
		conn, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		if closeAtOnce {
			_ = conn.Close()
			waitReadable(t, local)
			return local, nil
		}
		s := &endpointConn{Conn: conn, reader: bufio.NewReader(conn)}
		go func() {
			for r := s.readRequest(); r != ""; r = s.readRequest() {
				id := r[strings.Index(r, HeaderAttemptID)+len(HeaderAttemptID)+2:][:1]
				s.send(strings.Replace(okHead, "me", id, 1) + "Content-Length: 1\n\n" + id)
			}
			_ = conn.Close()
		}()
		accepted <- s
		return local, nil
	}})
	do := func(id string) (*Response, error) {
		c := newTestCall(id)
		c.Address = addr
		return p.Do(t.Context(), c)
	}
	for i, makeUnusable := range []func(s *endpointConn){
		func(s *endpointConn) { _ = s.Close() },
		func(s *endpointConn) {
			if tcp, ok := s.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = s.Close()
		},
		func(s *endpointConn) { s.send(strings.Replace(lateResponse, "before", "d", 1)) },
	} {
		if _, err := do("a"); err != nil {
			t.Fatal(err)
		}
		if _, err := do("b"); err != nil || len(accepted) != 1 { // on the same connection
			t.Fatal(err, len(accepted))
		}
		makeUnusable(<-accepted)
		waitReadable(t, local)
		if resp, err := do("d"); err != nil || string(resp.Body) != "d" || p.OpenConns(addr) != 1 {
			t.Fatalf("%d: %v, %v, %d open", i, resp, err, p.OpenConns(addr))
		}
		<-accepted
		p.CloseIdle(addr)
	}
	closeAtOnce = true
	if _, err := do("a"); errorKind(err) != apierror.EndpointsSaturated || p.OpenConns(addr) != 0 {
		t.Fatal(err)
	}
	_ = listener.Close()
	if _, err := do("a"); errorKind(err) != apierror.ConnectFailed || p.OpenConns(addr) != 0 {
		t.Fatal(err)
	}
}

// Checks that cancellation closes the connection at once in each phase of an attempt, and that nothing is sent after
// cancellation or the deadline.
func TestCancellationAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closedAt time.Time
		response := ""
		p := newTestPool(Options{}, func(s *endpointConn) {
			s.readRequest()
			s.send(response)
			_, _ = io.Copy(io.Discard, s.reader)
			closedAt = time.Now()
		})
		for _, response = range []string{"", okHead + "Content-Le", okHead + "Content-Length: 9\n\nabc"} {
			ctx, cancel := context.WithCancel(t.Context())
			startedAt := time.Now()
			time.AfterFunc(time.Second, cancel)
			_, err := p.Do(ctx, newTestCall("me"))
			synctest.Wait()
			if errorKind(err) != apierror.AttemptCancelled || !errors.Is(err, context.Canceled) ||
				closedAt.Sub(startedAt) != time.Second {
				t.Errorf("%q: %v after %v", response, err, closedAt.Sub(startedAt))
			}
			_, err = p.Do(ctx, newTestCall("me"))
			if errorKind(err) != apierror.ClientDisconnected {
				t.Errorf("call with a cancelled context: %v", err)
			}
		}
		c := newTestCall("me")
		c.Deadline = time.Now()
		if _, err := p.Do(t.Context(), c); errorKind(err) != apierror.DeadlineExceeded || p.OpenConns("b:1") != 0 {
			t.Error(err)
		}
	})
}

// Checks a large response body with each framing: its connection becomes idle only at the end, and truncation is
// reported.
func TestStreamedResponseBody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20<<10)
	framedBodies := []string{fmt.Sprintf("Content-Length: %d\n\n%s", len(body), body),
		fmt.Sprintf("Transfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(body), body)}
	synctest.Test(t, func(t *testing.T) {
		for i, framedBody := range framedBodies {
			for _, truncateAt := range []int{-1, 70 << 10, 1 << 10} { // -1: the body is complete
				p := newTestPool(Options{}, func(s *endpointConn) {
					s.readRequest()
					if truncateAt >= 0 {
						s.send(okHead + framedBody[:truncateAt])
						return
					}
					s.send(okHead + framedBody)
					s.readRequest()
				})
				resp, err := p.Do(t.Context(), newTestCall("me"))
				if truncateAt >= 0 && truncateAt < 64<<10 {
					if errorKind(err) != apierror.TruncatedResponse {
						t.Error(err)
					}
					continue
				}
				if err != nil || resp.Rest == nil || len(resp.Body) < 64<<10 || p.IdleConns("b:1") != 0 {
					t.Fatal(resp, err)
				}
				got, err := io.ReadAll(resp.Rest)
				_ = resp.Rest.Close()
				switch {
				case truncateAt < 0 && (err != nil || string(resp.Body)+string(got) != body || p.IdleConns("b:1") != 1):
					t.Errorf("%d: %v, %d bytes, idle %d", i, err, len(resp.Body)+len(got), p.IdleConns("b:1"))
				case truncateAt >= 0 && (errorKind(err) != apierror.TruncatedResponse || p.OpenConns("b:1") != 0):
					t.Errorf("%d: %v", i, err)
				}
				p.CloseIdle("b:1")
			}
		}
		p := newTestPool(Options{}, func(s *endpointConn) { s.readRequest(); s.send(okHead + framedBodies[0]) })
		resp, err := p.Do(t.Context(), newTestCall("me"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Rest.Close()
		if p.OpenConns("b:1") != 0 {
			t.Error("the connection is still open after Close")
		}
	})
}

// Checks that a rejection before the end of a streamed request is returned, and that a failing stream closes the
// connection, so that the endpoint detects the truncated body.
func TestStreamedRequestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(Options{}, func(s *endpointConn) {
			if _, err := http.ReadRequest(s.reader); err == nil && s.number == 1 {
				s.send("HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\n" + rejectionTail)
			}
			_, _ = io.Copy(io.Discard, s.reader)
		})
		r, w := io.Pipe()
		c := newTestCall("me")
		c.Method, c.Stream, c.StreamLen = "POST", r, -1
		resp, err := p.Do(t.Context(), c)
		if errorKind(err) != apierror.RejectedByEndpoint || string(resp.Body) != "no" || p.OpenConns("b:1") != 0 {
			t.Error(resp, err)
		}
		_ = w.Close()
		streamErr := errors.New("client disconnected")
		c.Stream, c.StreamLen = io.MultiReader(strings.NewReader("abc"), failingReader{streamErr}), 9
		_, err = p.Do(t.Context(), c)
		if errorKind(err) != apierror.AttemptCancelled || !errors.Is(err, streamErr) || p.OpenConns("b:1") != 0 {
			t.Error(err)
		}
	})
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// Checks the idle timeout for each Keep-Alive value, the limit on idle connections, and CloseIdle during attempts.
func TestIdleTimeoutAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idleTimes := make(map[string]time.Duration)
		for _, keepAlive := range []string{"", "timeout=1", "timeout=2", "max=5, timeout=20", "timeout=0", "timeout=x"} {
			p := newTestPool(Options{}, func(s *endpointConn) {
				s.readRequest()
				s.send(okHead + "Keep-Alive: " + keepAlive + "\nContent-Length: 0\n\n")
				s.readRequest()
			})
			if _, err := p.Do(t.Context(), newTestCall("me")); err != nil {
				t.Fatal(err)
			}
			idleSince := time.Now()
			for p.IdleConns("b:1") > 0 {
				time.Sleep(50 * time.Millisecond)
				p.PruneIdle(time.Now())
			}
			if idleTimes[keepAlive] = time.Since(idleSince); p.OpenConns("b:1") != 0 {
				t.Errorf("%q: the connection is still open", keepAlive)
			}
		}
		want := "map[:8s max=5, timeout=20:15s timeout=0:0s timeout=1:300ms timeout=2:1.3s timeout=x:0s]"
		if got := fmt.Sprint(idleTimes); got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
		release := make(chan bool)
		p := newTestPool(Options{MaxIdleConns: 2}, func(s *endpointConn) {
			for s.readRequest() != "" {
				<-release
				s.send(okHead + "Content-Length: 0\n\n")
			}
		})
		doThreeCalls := func(whileInProgress func()) {
			done := make(chan error)
			for range 3 {
				go func() { _, err := p.Do(t.Context(), newTestCall("me")); done <- err }()
			}
			synctest.Wait()
			whileInProgress()
			for range 3 {
				release <- true
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
		}
		if doThreeCalls(func() {}); p.IdleConns("b:1") != 2 || p.OpenConns("b:1") != 2 {
			t.Errorf("idle %d of %d", p.IdleConns("b:1"), p.OpenConns("b:1"))
		}
		if doThreeCalls(func() { p.CloseIdle("b:1") }); p.OpenConns("b:1") != 0 {
			t.Errorf("%d connections are open after CloseIdle", p.OpenConns("b:1"))
		}
	})
}

// Checks health checks, and that a late response to a health check is not taken for a rejection of the next request.
func TestCheckHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := []string{
			lateResponse + "HTTP/1.1 200 OK\nX-Elmfold-Instance-Id: i-1\nX-Elmfold-Server-Load: 3,0,8\n" +
				"X-Elmfold-Cold-Ms: 250\nContent-Length: 0\n\n",
			"HTTP/1.1 200 OK\nX-Elmfold-Instance-Id: i-1\nContent-Length: 0\n\n",
			"HTTP/1.1 503 F\n" + rejectionTail + okHead + "Content-Length: 1\n\na",
			"HTTP/1.1 503 F\n" + rejectionTail,
			"|",
		}
		p := newTestPool(Options{}, func(s *endpointConn) {
			for s.readRequest() != "" {
				response := responses[0]
				responses = responses[1:]
				if response == "|" {
					return
				}
				s.send(response)
			}
		})
		checkHealth := func() (HealthStatus, error) {
			return p.CheckHealth(t.Context(), "b:1", "/health", time.Now().Add(time.Second))
		}
		want := HealthStatus{OK: true, EndpointID: "i-1", WarmupLeft: 250 * time.Millisecond, HasWarmup: true,
			Load: Load{3, 0, 8}, HasLoad: true}
		if h, err := checkHealth(); h != want || err != nil || p.OpenConns("b:1") != 0 {
			t.Error(h, err)
		}
		if h, err := checkHealth(); !h.OK || err != nil || p.IdleConns("b:1") != 1 {
			t.Error(h, err)
		}
		resp, err := p.Do(t.Context(), newTestCall("me"))
		if err != nil || string(resp.Body) != "a" || p.OpenConns("b:1") != 0 {
			t.Error(resp, err)
		}
		if h, err := checkHealth(); h.OK || err != nil {
			t.Error(h, err)
		}
		if h, err := checkHealth(); h.OK || errorKind(err) != apierror.ConnectionBroken {
			t.Error(h, err)
		}
	})
}

// Compares Do with plain writes and reads of the same bytes over loopback.
func BenchmarkDo(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	response := []byte(strings.ReplaceAll(okHead+"Content-Length: 512\n\n", "\n", "\r\n") + strings.Repeat("x", 512))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if n, err := conn.Read(buf); err != nil || !bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
						_ = conn.Close()
						return
					}
					_, _ = conn.Write(response)
				}
			}()
		}
	}()
	p := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newTestCall("me")
	c.Address, c.Header = listener.Addr().String(), http.Header{"Accept": {"*/*"}, "User-Agent": {"u"}}
	b.Run("do", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Deadline = time.Now().Add(time.Second)
			p.mu.Lock()
			if h := p.hosts[c.Address]; h != nil && len(h.idle) > 0 {
				h.idle[0].lastAttemptID = "" // allows reuse of the connection with the same attempt ID
			}
			p.mu.Unlock()
			if _, err := p.Do(ctx, c); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("bare", func(b *testing.B) {
		conn, err := net.Dial("tcp4", c.Address)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		request, buf := appendRequest(nil, c, time.Second), make([]byte, 4096)
		for b.Loop() {
			_, _ = conn.Write(request)
			if _, err := io.ReadFull(conn, buf[:len(response)]); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Checks that a call with FinishOnceSent survives cancellation only while the request is sent and the response body is
// not yet streamed.
func TestFinishOnceSent(t *testing.T) {
	streamedResponse := okHead + "Content-Length: 90000\n\n" + strings.Repeat("x", 80000)
	for _, c := range []struct {
		name                string
		isStreamed          bool // the last byte of the request is sent with a delay
		response            string
		want                apierror.Kind
		isCutWhileStreaming bool
	}{
		{name: "request sent", response: okResponse},
		{name: "request not sent", isStreamed: true, want: apierror.AttemptCancelled},
		{name: "response streaming", response: streamedResponse, isCutWhileStreaming: true},
		{name: "response streaming before request sent", isStreamed: true, response: streamedResponse,
			isCutWhileStreaming: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(Options{}, func(s *endpointConn) {
					if c.isStreamed {
						go func() { _, _ = io.Copy(io.Discard, s.reader) }()
						time.Sleep(time.Second / 2)
					} else if s.readRequest() == "" {
						return
					}
					if c.name == "request sent" {
						time.Sleep(2 * time.Second)
					}
					s.send(c.response)
					time.Sleep(10 * time.Second)
				})
				call := newTestCall("me")
				call.FinishOnceSent, call.Deadline = true, time.Now().Add(20*time.Second)
				if c.isStreamed {
					call.Method, call.Stream, call.StreamLen = "POST", slowReader{time.Second * 3 / 4}, 1
					if c.want != apierror.None {
						call.Stream = slowReader{time.Minute}
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Second, cancel)
				startedAt := time.Now()
				resp, err := p.Do(ctx, call)
				if errorKind(err) != c.want {
					t.Fatalf("%v after %v", err, time.Since(startedAt))
				}
				if c.isCutWhileStreaming {
					_, err := io.Copy(io.Discard, resp.Rest)
					if errorKind(err) != apierror.AttemptCancelled || time.Since(startedAt) != time.Second {
						t.Errorf("the response body ends with %v after %v", err, time.Since(startedAt))
					}
				}
				resp.Close()
				p.CloseIdle("b:1")
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// slowReader returns one byte after a delay.
type slowReader struct{ delay time.Duration }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.delay)
	return copy(b, "x"), nil
}

// cancellingConn cancels a context once a write has passed on its bytes, before the write returns.
type cancellingConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancellingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.cancel()
	time.Sleep(time.Millisecond) // what the cancellation starts runs first
	return n, err
}

// Guards against a request that may run once only and is broken off although the endpoint has the whole of it: its
// client disconnects between the last byte's write and its return.
func TestCancelAsTheLastByteIsWritten(t *testing.T) {
	for _, isStreamed := range []bool{false, true} {
		t.Run(fmt.Sprint("streamed ", isStreamed), func(t *testing.T) { testCancelAsTheLastByteIsWritten(t, isStreamed) })
	}
}

func testCancelAsTheLastByteIsWritten(t *testing.T, isStreamed bool) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(Options{}, func(s *endpointConn) {
			if s.readRequest() == "" {
				return
			}
			time.Sleep(time.Second)
			s.send(okResponse)
			time.Sleep(time.Second)
		})
		ctx, cancel := context.WithCancel(t.Context())
		dial, writes := p.options.Dial, 1
		call := newTestCall("me")
		if call.FinishOnceSent = true; isStreamed {
			call.Method, call.Stream, call.StreamLen = "POST", strings.NewReader("x"), 1
			writes = 2
		}
		p.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			return cancellingConn{conn, func() {
				if writes--; writes == 0 {
					cancel()
				}
			}}, err
		}
		resp, err := p.Do(ctx, call)
		if err != nil {
			t.Errorf("streamed %t: %v", isStreamed, err)
		}
		resp.Close()
		p.CloseIdle("b:1")
		time.Sleep(time.Minute)
	})
}
