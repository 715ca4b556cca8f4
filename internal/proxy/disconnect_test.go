package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// These tests guard against GONE: work that goes on for clients that have left, and requests that reach an endpoint
// after that. Each row is a wait in which a client may leave.

const (
	longWork       = 3 * time.Second
	megabyteLimits = `"maxHeaderBytes":2000,"maxBodyBytes":1000000`
	uploadLimits   = `"maxHeaderBytes":2000,"maxBodyBytes":9000000`
	// disconnectLatency is more than a client's close and the end of the attempt are under way.
	disconnectLatency = 20 * time.Millisecond
)

// workLog is what the endpoints of a test saw of their work.
type workLog struct {
	mu          sync.Mutex
	started     map[string]time.Time
	interrupted map[string]time.Time // when the connection ended before the work
	finished    map[string]bool      // worked at to its end
}

func newWorkLog() *workLog {
	return &workLog{started: map[string]time.Time{}, interrupted: map[string]time.Time{}, finished: map[string]bool{}}
}

func (l *workLog) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// work is done for a while, unless the connection ends: then it is cut, as most endpoints drop such a request.
func (l *workLog) work(s *harness, span time.Duration, before ...respondFunc) respondFunc {
	return s.countExecutions(func(c net.Conn, r receivedRequest) error {
		l.withLock(func() { l.started[r.id] = time.Now() })
		if err := inSequence(before...)(c, r); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(span))
		_, err := c.Read(make([]byte, 1))
		if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() { //nolint:errorlint // as Read returns it
			l.withLock(func() { l.interrupted[r.id] = time.Now() })
			return io.ErrClosedPipe
		}
		_ = c.SetReadDeadline(time.Time{})
		l.withLock(func() { l.finished[r.id] = true })
		return respondWithID(c, r)
	})
}

// metric is one of the proxy's own.
func (s *harness) metric(t *testing.T, name string) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.proxy.Metrics().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	found := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindStringSubmatch(w.Body.String())
	if found == nil {
		t.Fatalf("there is no figure %s in\n%s", name, w.Body)
	}
	n, err := strconv.Atoi(found[1])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runDisconnectTest plays a test and holds it against the invariants.
func runDisconnectTest(t *testing.T, f func(t *testing.T, s *harness, l *workLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(1)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(t, s, newWorkLog())
		time.Sleep(10 * time.Second)
		if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
			t.Errorf("%d attempts hold a place at an endpoint, and nobody asks", n)
		}
		s.checkInvariants(t)
		_ = s.stop()
	})
}

// disconnectCase is one row: what is sent, and what must hold once the client has left.
type disconnectCase struct {
	name       string
	send       func(k *rawClient, s *harness) (id string) // the request that is looked at
	reset      bool                                       // the client resets its connection
	beforeWork []respondFunc                              // what the endpoint says first
	mustFinish bool                                       // it may be executed once only: it is worked at to its end
	pipelined  bool                                       // a second request waits behind it, and must never arrive
}

func sendRequest(method, path, more, body string) func(k *rawClient, s *harness) string {
	return func(k *rawClient, s *harness) string {
		id := s.nextID()
		k.send(requestHead(method, path, id, more))
		if body != "" {
			k.send(body)
		}
		return id
	}
}

// runDisconnectCase lets a client leave while an endpoint works.
func runDisconnectCase(t *testing.T, row disconnectCase) {
	runDisconnectTest(t, func(t *testing.T, s *harness, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, limits: megabyteLimits, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, longWork, row.beforeWork...))
		k := s.newRawClient(t)
		id := row.send(k, s)
		behind := fmt.Sprintf("t%d", s.requestCount)
		time.Sleep(200 * time.Millisecond)
		if row.reset {
			s.net.Reset("10.0.9.1")
		}
		_ = k.conn.Close()
		left := time.Now()
		time.Sleep(longWork + time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.started[id].IsZero() {
			t.Fatalf("the request did not arrive")
		}
		cutAt, isCut := l.interrupted[id]
		switch {
		case row.mustFinish && !l.finished[id]:
			t.Errorf("a request that may be executed once only was broken off")
		case !row.mustFinish && !isCut:
			t.Errorf("the endpoint worked on for a client that had left: %v", l.finished[id])
		case !row.mustFinish && cutAt.Sub(left) > disconnectLatency:
			t.Errorf("the endpoint worked on for %v", cutAt.Sub(left))
		}
		if row.pipelined && !l.started[behind].IsZero() {
			t.Errorf("the request behind it arrived %v after the client had left", l.started[behind].Sub(left))
		}
		if n := s.metric(t, "elmfold_client_disconnects_total"); n != 1 {
			t.Errorf("%d clients were seen to leave", n)
		}
	})
}

func runDisconnectCases(t *testing.T, rows []disconnectCase) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { runDisconnectCase(t, row) })
	}
}

func TestClientDisconnect(t *testing.T) {
	t.Run("during work", testDisconnectDuringWork)
	t.Run("behind unread bytes", testDisconnectBehindUnreadBytes)
	t.Run("during a stalled upload", testDisconnectDuringStalledUpload)
	t.Run("before the attempt", testDisconnectBeforeAttempt)
}

// A client leaves while an endpoint is at work, and nothing of it is unread.
func testDisconnectDuringWork(t *testing.T) {
	const flows = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n" +
		"Content-Length: 200000\r\n\r\n"
	runDisconnectCases(t, []disconnectCase{
		{name: "before the head", send: sendRequest("GET", "/alpha/", "", "")},
		{name: "by a reset", send: sendRequest("GET", "/alpha/", "", ""), reset: true},
		{name: "with a body", send: sendRequest("PUT", "/alpha/", "Content-Length: 2\n", "hi")},
		{
			name: "with a body over what is buffered",
			send: sendRequest("PUT", "/alpha/", "Content-Length: 200000\n", strings.Repeat("x", 200000)),
		},
		{name: "with a body in chunks", send: sendRequest("PUT", "/alpha/", chunkedEncoding+"\n", "2\nhi\n0\n\n")},
		{
			name: "in the middle of the head", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(flows[:40])},
		},
		{
			name: "in the middle of a body that is buffered", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(flows + strings.Repeat("x", 1000))},
		},
		{
			name: "in the middle of a body that flows", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(flows + strings.Repeat("x", 150000))},
		},
		{name: "once only", send: sendRequest("POST", "/alpha!/", "Content-Length: 2\n", "hi"), mustFinish: true},
		{name: "once only, by a reset", send: sendRequest("POST", "/alpha!/", "", ""), reset: true, mustFinish: true},
	})
}

// A client leaves behind bytes that nobody has read: net/http stops watching a connection with the first of them.
func testDisconnectBehindUnreadBytes(t *testing.T) {
	pipelined := func(method, path string, segments bool) func(k *rawClient, s *harness) string {
		return func(k *rawClient, s *harness) string {
			id := s.nextID()
			first, second := requestHead(method, path, id, ""), requestHead("GET", "/alpha/", s.nextID(), "")
			if !segments {
				k.send(first + second)
				return id
			}
			k.send(first)
			time.Sleep(50 * time.Millisecond)
			k.send(second)
			return id
		}
	}
	runDisconnectCases(t, []disconnectCase{
		{name: "a request behind it", send: pipelined("GET", "/alpha/", true), pipelined: true},
		{name: "in one segment", send: pipelined("GET", "/alpha/", false), pipelined: true},
		{name: "once only", send: pipelined("POST", "/alpha!/", true), mustFinish: true, pipelined: true},
		{name: "once only, in one segment", send: pipelined("POST", "/alpha!/", false), mustFinish: true, pipelined: true},
		{name: "once only, with bodies", send: func(k *rawClient, s *harness) string {
			id := s.nextID()
			k.send(requestHead("POST", "/alpha!/", id, "Content-Length: 300\n") + strings.Repeat("b", 300))
			time.Sleep(10 * time.Millisecond)
			k.send(requestHead("POST", "/alpha!/", s.nextID(), "Content-Length: 300\n") + strings.Repeat("b", 300))
			return id
		}, mustFinish: true, pipelined: true},
		{name: "half of a request", send: func(k *rawClient, s *harness) string {
			id := s.nextID()
			k.send(requestHead("GET", "/alpha/", id, ""))
			time.Sleep(50 * time.Millisecond)
			k.send("GET /alpha/ HT")
			return id
		}},
		{name: "many requests", send: func(k *rawClient, s *harness) string {
			id := s.nextID()
			k.send(requestHead("GET", "/alpha/", id, ""))
			time.Sleep(50 * time.Millisecond)
			for range 100 {
				k.send(requestHead("GET", "/alpha/", "behind", "X-Fill: "+strings.Repeat("x", 300)+"\n"))
			}
			return id
		}},
	})
}

// A client leaves while a body flows to an endpoint that does not read it.
func testDisconnectDuringStalledUpload(t *testing.T) {
	for _, path := range []string{"/alpha/", "/alpha!/"} {
		t.Run(path, func(t *testing.T) {
			runDisconnectTest(t, func(t *testing.T, s *harness, _ *workLog) {
				s.nodes[0].commitConfig(testConfig{version: 1, limits: uploadLimits, routes: bothRoutes("alpha")})
				stalled := s.addEndpoint("alpha", "north", respondOK)
				s.mu.Lock()
				s.beforeBody[stalled.ID] = func(net.Conn, receivedRequest) error {
					time.Sleep(4 * time.Second)
					return io.ErrClosedPipe
				}
				s.mu.Unlock()
				k, id := s.newRawClient(t), s.nextID()
				k.send(requestHead("PUT", path, id, "Content-Length: 9000000\n"))
				k.send(strings.Repeat("x", 340000)) // more than the endpoint's window
				time.Sleep(200 * time.Millisecond)
				_ = k.conn.Close()
				time.Sleep(500 * time.Millisecond)
				if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
					t.Errorf("the attempt goes on for a client that has left")
				}
			})
		})
	}
}

// A client leaves before anything of its request was sent: nothing is sent any more, whatever its kind.
func testDisconnectBeforeAttempt(t *testing.T) {
	for _, path := range []string{"/alpha/", "/alpha!/"} {
		t.Run("while a connection comes up "+path, func(t *testing.T) {
			runDisconnectTest(t, func(t *testing.T, s *harness, _ *workLog) {
				s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
				north := s.addEndpoint("alpha", "north", s.countExecutions(respondWithID))
				s.addEndpoint("alpha", "south", s.countExecutions(respondWithID))
				s.mu.Lock()
				s.slowDials[north.Address] = true // a dial is given up after 250 ms
				s.mu.Unlock()
				k, id := s.newRawClient(t), s.nextID()
				k.send(requestHead("GET", path, id, ""))
				time.Sleep(100 * time.Millisecond)
				_ = k.conn.Close()
				time.Sleep(disconnectLatency)
				if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
					t.Errorf("the dial goes on for a client that has left")
				}
				time.Sleep(time.Second)
				if fate := s.deliverySummary(id); fate != "came to nobody, ran 0" {
					t.Errorf("a request reached an endpoint after its client had left: %s", fate)
				}
				k, id = s.newRawClient(t), s.nextID() // and the endpoint is not taken for a bad one
				s.mu.Lock()
				s.slowDials[north.Address] = false
				s.mu.Unlock()
				k.send(requestHead("GET", "/alpha/", id, ""))
				k.receive(id, "GET")
				if fate := s.deliverySummary(id); fate != "came to north, ran 1" {
					t.Errorf("the next request: %s", fate)
				}
			})
		})
	}
}

// A kept connection is answered however long it has rested. Guards against a time to write that was set for the answer
// before: the next one was cut off by it, and the client heard nothing.
func TestIdleConnectionIsServed(t *testing.T) {
	runDisconnectTest(t, func(t *testing.T, s *harness, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, time.Millisecond))
		for _, second := range []string{"/none/", "/alpha/"} {
			k := s.newRawClient(t)
			id := s.nextID()
			k.send(requestHead("GET", "/alpha/", id, ""))
			k.receive(id, "GET")
			time.Sleep(12 * time.Second)
			id = s.nextID()
			k.send(requestHead("GET", second, id, ""))
			if heard := k.receive(id, "GET"); heard == "closed" || heard == "nothing" {
				t.Errorf("%s on a kept connection: %s", second, heard)
			}
			_ = k.conn.Close()
		}
	})
}

// Guards against an endpoint that is taken for a bad one because clients left in the middle of their bodies: three
// broken connections in a row would eject it.
func TestBrokenUploadsDoNotEjectEndpoint(t *testing.T) {
	runDisconnectTest(t, func(t *testing.T, s *harness, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, limits: megabyteLimits, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, time.Millisecond))
		s.addEndpoint("alpha", "south", l.work(s, time.Millisecond))
		for range 4 {
			k := s.newRawClient(t)
			k.send(requestHead("POST", "/alpha!/", s.nextID(), "Content-Length: 400000\n") + strings.Repeat("x", 200000))
			time.Sleep(100 * time.Millisecond)
			_ = k.conn.Close()
			time.Sleep(10 * time.Millisecond)
		}
		k, id := s.newRawClient(t), s.nextID()
		k.send(requestHead("GET", "/alpha/", id, ""))
		if heard, fate := k.receive(id, "GET"), s.deliverySummary(id); fate != "came to north, ran 1" {
			t.Errorf("the next request: %s; %s", fate, heard)
		}
	})
}
