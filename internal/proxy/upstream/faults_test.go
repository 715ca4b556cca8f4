package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/apierror"
)

const (
	okResponse         = okHead + "Content-Length: 5\n\nright"
	rejectionWithoutID = "HTTP/1.1 503 F\n" + rejectionTail
)

// Guards against responses that reach the wrong request on a reused connection, and against a late rejection that is
// taken for a rejection of the current request, which would then be executed twice. The calls "before", "me" and "next"
// use the pool in turn; the endpoint's output after "me" varies. "next" shows the state that "me" left behind.
func TestResponsesToOtherRequests(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name, firstMethod, method string
		response                  string // a final "|" means that the endpoint closes the connection
	}{
		{"the one before's first", "GET", "GET", lateResponse + okResponse},
		{"the one before's, and silence", "GET", "GET", lateResponse},
		{"the one before's, and the end", "GET", "GET", lateResponse + "|"},
		{"the one before's first, to a HEAD", "GET", "HEAD", lateResponse + okHead + "Content-Length: 5\n\n"},
		{"the one before's first, which was a HEAD", "HEAD", "GET",
			strings.Replace(lateResponse, "3\n\nold", "3\n\n", 1) + okResponse},
		{"the one before's after 100", "GET", "GET", "HTTP/1.1 100 Continue\n\n" + lateResponse + okResponse},
		{"the one before's between 100 and 103", "GET", "GET", "HTTP/1.1 100 Continue\n\n" + lateResponse +
			"HTTP/1.1 103 Early\nLink: l\n\n" + okResponse},
		{"102 with a foreign id and a refusal", "GET", "GET", "HTTP/1.1 102 P\nX-Elmfold-Attempt-Id: before\n" +
			"X-Elmfold-Not-Executed: 1\n\n" + okResponse},
		{"101, which nobody asked for", "GET", "GET", "HTTP/1.1 101 Switching\nUpgrade: x\n\nwhatever"},
		{"1xx without end", "GET", "GET", strings.Repeat("HTTP/1.1 100 Continue\n\n", 20) + okResponse},
		{"two answers to this one", "GET", "GET", okResponse + strings.Replace(okResponse, "right", "wrong", 1)},
		{"this one's and the next one's", "GET", "GET", okResponse + strings.Replace(lateResponse, "before", "next", 1)},
		{"this one's, and the one before's after it", "GET", "GET", okResponse + lateResponse},
		{"a refusal that does not say whose", "GET", "GET", rejectionWithoutID + okResponse},
		{"... and silence", "GET", "GET", rejectionWithoutID},
		{"... and the end", "GET", "GET", rejectionWithoutID + "|"},
		{"a 421 that does not say whose, and the end", "GET", "GET", "HTTP/1.1 421 M\nContent-Length: 0\n\n|"},
		{"a refusal of the one before, and the right one", "GET", "GET",
			"HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: before\n" + rejectionTail + okResponse},
		{"a body to a HEAD", "GET", "HEAD", okResponse},
	} {
		synctest.Test(t, func(t *testing.T) {
			received := map[string]int{} // requests by attempt ID
			p := newTestPool(Options{}, func(s *endpointConn) {
				for {
					request := s.readRequest()
					if request == "" {
						return
					}
					id := attemptIDOf(request)
					if received[id]++; id == "me" {
						response, closes := strings.CutSuffix(c.response, "|")
						if s.send(response); closes {
							return
						}
						continue
					}
					response := strings.Replace(okHead, "me", id, 1) + fmt.Sprintf("Content-Length: %d\n\n", len(id))
					if !strings.HasPrefix(request, "HEAD") {
						response += id
					}
					s.send(response)
				}
			})
			fmt.Fprintf(&out, "%s:", c.name)
			for _, id := range []string{"before", "me", "next"} {
				call, startedAt := newTestCall(id), time.Now()
				if call.Method = c.firstMethod; id != "before" {
					call.Method = c.method
				}
				resp, err := p.Do(t.Context(), call)
				if id == "before" && (err != nil || p.IdleConns("b:1") != 1) {
					t.Fatal(resp, err)
				}
				if id != "before" {
					fmt.Fprintf(&out, " %s", id)
					if err != nil {
						fmt.Fprintf(&out, " %v", err)
					}
					if resp != nil {
						fmt.Fprintf(&out, " %d %q", resp.Status, resp.Body)
					}
					if d := time.Since(startedAt); d > 0 {
						fmt.Fprint(&out, " after ", d)
					}
					fmt.Fprintf(&out, " (came %d, idle %d of %d);", received[id], p.IdleConns("b:1"), p.OpenConns("b:1"))
				}
				// Each success must be the call's own response, and no request may be sent twice.
				if resp != nil && resp.Status == 200 && call.Method == "GET" && err == nil && string(resp.Body) != "right" &&
					string(resp.Body) != id || received[id] > 1 {
					t.Errorf("%s: %s got %q and was received %d times", c.name, id, resp.Body, received[id])
				}
			}
			fmt.Fprintln(&out)
			p.CloseIdle("b:1")
		})
	}
	autogold.Equal(t, out.String(), autogold.Name("TestAnswersOfOthers"))
}

func attemptIDOf(request string) string {
	_, rest, _ := strings.Cut(request, HeaderAttemptID+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// Guards against a late response that reaches another request: an attempt that ends by timeout or cancellation closes
// its connection.
func TestLateResponseIsDropped(t *testing.T) {
	for _, firstPart := range []string{"", okHead + "Content-Le", okHead + "Content-Length: 5\n\nri"} {
		for _, want := range []apierror.Kind{apierror.ResponseTimeout, apierror.AttemptCancelled} {
			synctest.Test(t, func(t *testing.T) {
				writeErr := make(chan error, 1)
				p := newTestPool(Options{}, func(s *endpointConn) {
					if s.readRequest() == "" {
						return
					}
					if s.number == 1 { // the first part before the end of the attempt, the rest after it
						s.send(firstPart)
						time.Sleep(2 * time.Second)
						_, err := io.WriteString(s, strings.ReplaceAll(okResponse, "\n", "\r\n"))
						writeErr <- err
						return
					}
					s.send(okResponse)
					s.readRequest()
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newTestCall("me")
				if c.Deadline = time.Now().Add(time.Second); want == apierror.AttemptCancelled {
					c.Deadline = time.Now().Add(time.Minute)
					time.AfterFunc(time.Second, cancel)
				}
				startedAt := time.Now()
				_, err := p.Do(ctx, c)
				if errorKind(err) != want || time.Since(startedAt) != time.Second || p.OpenConns("b:1") != 0 {
					t.Errorf("%q: %v after %v, %d open", firstPart, err, time.Since(startedAt), p.OpenConns("b:1"))
				}
				resp, err := p.Do(t.Context(), newTestCall("me"))
				if err != nil || string(resp.Body) != "right" || <-writeErr == nil {
					t.Errorf("%q: %v, %v", firstPart, resp, err)
				}
				p.CloseIdle("b:1")
			})
		}
	}
}

// Checks a dial that times out although the connection is established at the endpoint: the request counts as not
// executed, and no byte of it is sent.
func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := make(chan int, 1)
		p := New(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			local, remote := net.Pipe()
			go func() {
				n, _ := io.Copy(io.Discard, remote)
				received <- int(n)
			}()
			<-ctx.Done()
			_ = local.Close()
			return nil, ctx.Err()
		}})
		startedAt := time.Now()
		_, err := p.Do(t.Context(), newTestCall("me"))
		if errorKind(err) != apierror.ConnectFailed || time.Since(startedAt) != 250*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(startedAt))
		}
		if n := <-received; n != 0 || p.OpenConns("b:1") != 0 {
			t.Errorf("%d bytes received, %d open", n, p.OpenConns("b:1"))
		}
	})
}

// Checks that a process suspended between the dial and the first write sends nothing after the deadline, and that one
// suspended during the write sends no more: the endpoint sees an incomplete request and the end of the connection.
func TestSuspendedProcess(t *testing.T) {
	t.Run("before the first write", func(t *testing.T) { synctest.Test(t, testSuspendedBeforeWrite) })
	t.Run("during the write", func(t *testing.T) { synctest.Test(t, testSuspendedDuringWrite) })
}

func testSuspendedBeforeWrite(t *testing.T) {
	var received []byte
	connClosed := make(chan bool)
	suspend := false
	p := New(Options{
		Now: func() time.Time {
			if suspend { // the first call after the dial
				time.Sleep(10 * time.Second)
			}
			suspend = false
			return time.Now()
		},
		Dial: func(context.Context, string) (net.Conn, error) {
			suspend = true
			local, remote := net.Pipe()
			go func() {
				received, _ = io.ReadAll(remote)
				connClosed <- true
			}()
			return connWithoutDeadlines{local}, nil
		},
	})
	if _, err := p.Do(t.Context(), newTestCall("me")); errorKind(err) != apierror.DeadlineExceeded {
		t.Error(err)
	}
	if <-connClosed; len(received) != 0 {
		t.Errorf("%q was sent after the deadline", received)
	}
}

func testSuspendedDuringWrite(t *testing.T) {
	var received []byte
	var readErr error
	connClosed := make(chan bool)
	p := newTestPool(Options{}, func(s *endpointConn) { // reads a part of the request until the proxy resumes
		received = make([]byte, 100)
		_, _ = io.ReadFull(s.Conn, received)
		time.Sleep(10 * time.Second)
		var rest []byte
		rest, readErr = io.ReadAll(s.Conn)
		received = append(received, rest...)
		connClosed <- true
	})
	c := newTestCall("me")
	c.Method, c.HasBody, c.Body = "POST", true, []byte(strings.Repeat("x", 10000))
	startedAt := time.Now()
	_, err := p.Do(t.Context(), c)
	if errorKind(err) != apierror.ResponseTimeout || time.Since(startedAt) != 5*time.Second || p.OpenConns("b:1") != 0 {
		t.Errorf("%v after %v", err, time.Since(startedAt))
	}
	if <-connClosed; len(received) != 100 || readErr != nil {
		t.Errorf("%d bytes received, %v", len(received), readErr)
	}
}

// connWithoutDeadlines ignores deadlines, like a connection whose timers have not fired since the process resumed.
type connWithoutDeadlines struct{ net.Conn }

func (connWithoutDeadlines) SetDeadline(time.Time) error { return nil }

// Checks the error kind for a connection that the endpoint closes after each possible number of bytes of the request
// and of the response.
func TestConnectionClosedAtEachByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requestLen int
		p := newTestPool(Options{}, func(s *endpointConn) {
			requestLen = len(s.readRequest())
			s.send(okResponse)
		})
		if _, err := p.Do(t.Context(), newTestCall("me")); err != nil {
			t.Fatal(err)
		}
		for n := range requestLen + 1 {
			p := newTestPool(Options{}, func(s *endpointConn) { _, _ = io.ReadFull(s.Conn, make([]byte, n)) })
			want := apierror.ConnectionBroken
			if n == 0 {
				want = apierror.ConnectFailed
			}
			if _, err := p.Do(t.Context(), newTestCall("me")); errorKind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("after %d of %d bytes of the request: %v", n, requestLen, err)
			}
		}
		response := strings.ReplaceAll(okResponse, "\n", "\r\n")
		for n := range response {
			p := newTestPool(Options{}, func(s *endpointConn) {
				s.readRequest()
				_, _ = io.WriteString(s, response[:n])
			})
			want := apierror.TruncatedResponse
			if n == 0 {
				want = apierror.ConnectionBroken
			}
			if _, err := p.Do(t.Context(), newTestCall("me")); errorKind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("after %d of %d bytes of the response: %v", n, len(response), err)
			}
		}
	})
}

// Checks an endpoint that responds before it has read the request body: the response is returned even though the
// request could not be written completely. The connection is not reused.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			response string
			want     apierror.Kind
		}{
			{"HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\n" + rejectionTail, apierror.RejectedByEndpoint},
			{okResponse, apierror.None},
			{"", apierror.ConnectionBroken},
			{strings.Replace(okResponse, "me", "other", 1), apierror.ConnectionBroken},
		} {
			p := newTestPool(Options{}, func(s *endpointConn) {
				_, _ = io.ReadFull(s.Conn, make([]byte, 200))
				s.send(test.response)
			})
			c := newTestCall("me")
			c.Method, c.Body, c.Stream, c.StreamLen = "POST", []byte(strings.Repeat("x", 40)), endlessReader{}, 1<<30
			resp, err := p.Do(t.Context(), c)
			isMissing := test.want == apierror.RejectedByEndpoint && (resp == nil || resp.Status != 503)
			if errorKind(err) != test.want || isMissing || p.OpenConns("b:1") != 0 {
				t.Errorf("%q: %v, %v, %d open", test.response, resp, err, p.OpenConns("b:1"))
			}
			synctest.Wait()
		}
	})
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// Checks that a request without an attempt ID shares its connection with no other request, because a late response
// could not be told from its own, and that two attempts with the same ID use different connections.
func TestRequestWithoutIDUsesOwnConn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connNumber := 0 // of the latest request
		p := newTestPool(Options{}, func(s *endpointConn) {
			for s.readRequest() != "" {
				connNumber = s.number
				s.send(okResponse)
			}
		})
		for i, id := range []string{"me", "", "", "me"} {
			resp, err := p.Do(t.Context(), newTestCall(id))
			if err != nil || string(resp.Body) != "right" || connNumber != i+1 || p.OpenConns("b:1") != 1 {
				t.Errorf("%d: %v, %v on connection %d, %d open", i, resp, err, connNumber, p.OpenConns("b:1"))
			}
		}
		p.CloseIdle("b:1")
	})
}
