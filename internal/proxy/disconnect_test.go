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

// These tests guard against work that continues for disconnected clients, and against requests that reach an endpoint
// after their client has disconnected. Each case is a phase of a request in which the client disconnects.

const (
	longWork       = 3 * time.Second
	megabyteLimits = `"maxHeaderBytes":2000,"maxBodyBytes":1000000`
	uploadLimits   = `"maxHeaderBytes":2000,"maxBodyBytes":9000000`
	// disconnectLatency is longer than it takes until the endpoint sees the end of an attempt whose client disconnects.
	disconnectLatency = 20 * time.Millisecond
)

// workLog records the work of a test's endpoints, by request id.
type workLog struct {
	mu          sync.Mutex
	started     map[string]time.Time
	interrupted map[string]time.Time // when the connection ended before the work
	finished    map[string]bool      // the work was completed
}

func newWorkLog() *workLog {
	return &workLog{started: map[string]time.Time{}, interrupted: map[string]time.Time{}, finished: map[string]bool{}}
}

func (l *workLog) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// work handles a request for the given time, unless the connection ends: most endpoints abandon such a request.
func (l *workLog) work(s *scenario, duration time.Duration, before ...respondFunc) respondFunc {
	return s.countExecutions(func(c net.Conn, r receivedRequest) error {
		l.withLock(func() { l.started[r.id] = time.Now() })
		if err := inSequence(before...)(c, r); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(duration))
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

// metric returns the value of one of the proxy's metrics.
func (s *scenario) metric(t *testing.T, name string) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.proxy.Metrics().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	found := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindStringSubmatch(w.Body.String())
	if found == nil {
		t.Fatalf("there is no metric %s in\n%s", name, w.Body)
	}
	n, err := strconv.Atoi(found[1])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runDisconnectTest runs a scenario and checks that no attempt remains in flight and that the proxy's invariants held.
func runDisconnectTest(t *testing.T, f func(t *testing.T, s *scenario, l *workLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(1)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(t, s, newWorkLog())
		time.Sleep(10 * time.Second)
		if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
			t.Errorf("%d attempts are still in flight after all requests have ended", n)
		}
		s.checkInvariants(t)
		_ = s.stop()
	})
}

// disconnectCase is a request, and what must hold once its client has disconnected.
type disconnectCase struct {
	name       string
	send       func(client *rawClient, s *scenario) (id string) // returns the id of the request that is checked
	reset      bool                                             // the client resets its connection
	beforeWork []respondFunc                                    // what the endpoint does first
	mustFinish bool                                             // non-idempotent: the endpoint completes its work
	pipelined  bool                                             // a second request follows, and must never arrive
}

func sendRequest(method, path, more, body string) func(client *rawClient, s *scenario) string {
	return func(client *rawClient, s *scenario) string {
		id := s.nextID()
		client.send(requestHead(method, path, id, more))
		if body != "" {
			client.send(body)
		}
		return id
	}
}

// runDisconnectCase disconnects a client while an endpoint works on its request.
func runDisconnectCase(t *testing.T, row disconnectCase) {
	runDisconnectTest(t, func(t *testing.T, s *scenario, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, limits: megabyteLimits, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, longWork, row.beforeWork...))
		client := s.newRawClient(t)
		id := row.send(client, s)
		pipelinedID := fmt.Sprintf("t%d", s.requestCount)
		time.Sleep(200 * time.Millisecond)
		if row.reset {
			s.net.Reset("10.0.9.1")
		}
		_ = client.conn.Close()
		disconnectedAt := time.Now()
		time.Sleep(longWork + time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.started[id].IsZero() {
			t.Fatalf("the request did not reach the endpoint")
		}
		interruptedAt, wasInterrupted := l.interrupted[id]
		switch {
		case row.mustFinish && !l.finished[id]:
			t.Errorf("the attempt of a non-idempotent request was interrupted")
		case !row.mustFinish && !wasInterrupted:
			t.Errorf("the attempt was not interrupted after the client disconnected; finished: %v", l.finished[id])
		case !row.mustFinish && interruptedAt.Sub(disconnectedAt) > disconnectLatency:
			t.Errorf("the attempt was interrupted %v after the disconnect", interruptedAt.Sub(disconnectedAt))
		}
		if row.pipelined && !l.started[pipelinedID].IsZero() {
			t.Errorf("the pipelined request arrived %v after the disconnect", l.started[pipelinedID].Sub(disconnectedAt))
		}
		if n := s.metric(t, "elmfold_client_disconnects_total"); n != 1 {
			t.Errorf("%d disconnects were counted, want 1", n)
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

// The client disconnects while an endpoint works, and no bytes on the client's connection are unread.
func testDisconnectDuringWork(t *testing.T) {
	const responseHead = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n" +
		"Content-Length: 200000\r\n\r\n"
	runDisconnectCases(t, []disconnectCase{
		{name: "before the head", send: sendRequest("GET", "/alpha/", "", "")},
		{name: "by a reset", send: sendRequest("GET", "/alpha/", "", ""), reset: true},
		{name: "with a body", send: sendRequest("PUT", "/alpha/", "Content-Length: 2\n", "hi")},
		{
			name: "with a streamed request body",
			send: sendRequest("PUT", "/alpha/", "Content-Length: 200000\n", strings.Repeat("x", 200000)),
		},
		{name: "with a chunked request body", send: sendRequest("PUT", "/alpha/", chunkedEncoding+"\n", "2\nhi\n0\n\n")},
		{
			name: "in the middle of the response head", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(responseHead[:40])},
		},
		{
			name: "in the middle of a buffered response body", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(responseHead + strings.Repeat("x", 1000))},
		},
		{
			name: "in the middle of a streamed response body", send: sendRequest("GET", "/alpha/", "", ""),
			beforeWork: []respondFunc{respondRaw(responseHead + strings.Repeat("x", 150000))},
		},
		{name: "non-idempotent", send: sendRequest("POST", "/alpha!/", "Content-Length: 2\n", "hi"), mustFinish: true},
		{name: "non-idempotent, by a reset", send: sendRequest("POST", "/alpha!/", "", ""), reset: true, mustFinish: true},
	})
}

// The client disconnects behind unread bytes: net/http stops watching a connection when it receives the first of them.
func testDisconnectBehindUnreadBytes(t *testing.T) {
	pipeline := func(method, path string, inTwoSegments bool) func(client *rawClient, s *scenario) string {
		return func(client *rawClient, s *scenario) string {
			id := s.nextID()
			first, second := requestHead(method, path, id, ""), requestHead("GET", "/alpha/", s.nextID(), "")
			if !inTwoSegments {
				client.send(first + second)
				return id
			}
			client.send(first)
			time.Sleep(50 * time.Millisecond)
			client.send(second)
			return id
		}
	}
	runDisconnectCases(t, []disconnectCase{
		{name: "a pipelined request", send: pipeline("GET", "/alpha/", true), pipelined: true},
		{name: "in one segment", send: pipeline("GET", "/alpha/", false), pipelined: true},
		{name: "non-idempotent", send: pipeline("POST", "/alpha!/", true), mustFinish: true, pipelined: true},
		{name: "non-idempotent, in one segment", send: pipeline("POST", "/alpha!/", false),
			mustFinish: true, pipelined: true},
		{name: "non-idempotent, with bodies", send: func(client *rawClient, s *scenario) string {
			id := s.nextID()
			client.send(requestHead("POST", "/alpha!/", id, "Content-Length: 300\n") + strings.Repeat("b", 300))
			time.Sleep(10 * time.Millisecond)
			client.send(requestHead("POST", "/alpha!/", s.nextID(), "Content-Length: 300\n") + strings.Repeat("b", 300))
			return id
		}, mustFinish: true, pipelined: true},
		{name: "an incomplete request", send: func(client *rawClient, s *scenario) string {
			id := s.nextID()
			client.send(requestHead("GET", "/alpha/", id, ""))
			time.Sleep(50 * time.Millisecond)
			client.send("GET /alpha/ HT")
			return id
		}},
		{name: "many requests", send: func(client *rawClient, s *scenario) string {
			id := s.nextID()
			client.send(requestHead("GET", "/alpha/", id, ""))
			time.Sleep(50 * time.Millisecond)
			for range 100 {
				client.send(requestHead("GET", "/alpha/", "behind", "X-Fill: "+strings.Repeat("x", 300)+"\n"))
			}
			return id
		}},
	})
}

// The client disconnects while its body is streamed to an endpoint that does not read it.
func testDisconnectDuringStalledUpload(t *testing.T) {
	for _, path := range []string{"/alpha/", "/alpha!/"} {
		t.Run(path, func(t *testing.T) {
			runDisconnectTest(t, func(t *testing.T, s *scenario, _ *workLog) {
				s.nodes[0].commitConfig(testConfig{version: 1, limits: uploadLimits, routes: bothRoutes("alpha")})
				stalled := s.addEndpoint("alpha", "north", respondOK)
				s.mu.Lock()
				s.beforeBody[stalled.ID] = func(net.Conn, receivedRequest) error {
					time.Sleep(4 * time.Second)
					return io.ErrClosedPipe
				}
				s.mu.Unlock()
				client, id := s.newRawClient(t), s.nextID()
				client.send(requestHead("PUT", path, id, "Content-Length: 9000000\n"))
				client.send(strings.Repeat("x", 340000)) // more than the endpoint's window
				time.Sleep(200 * time.Millisecond)
				_ = client.conn.Close()
				time.Sleep(500 * time.Millisecond)
				if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
					t.Errorf("the attempt is still in flight after the client disconnected")
				}
			})
		})
	}
}

// The client disconnects before any of its request was sent: neither kind of request is sent after that.
func testDisconnectBeforeAttempt(t *testing.T) {
	for _, path := range []string{"/alpha/", "/alpha!/"} {
		t.Run("while connecting to the endpoint "+path, func(t *testing.T) {
			runDisconnectTest(t, func(t *testing.T, s *scenario, _ *workLog) {
				s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
				north := s.addEndpoint("alpha", "north", s.countExecutions(respondWithID))
				s.addEndpoint("alpha", "south", s.countExecutions(respondWithID))
				s.mu.Lock()
				s.slowDials[north.Address] = true // the dialer gives up after 250 ms
				s.mu.Unlock()
				client, id := s.newRawClient(t), s.nextID()
				client.send(requestHead("GET", path, id, ""))
				time.Sleep(100 * time.Millisecond)
				_ = client.conn.Close()
				time.Sleep(disconnectLatency)
				if n := s.metric(t, "elmfold_attempts_in_flight"); n != 0 {
					t.Errorf("the dial continues after the client disconnected")
				}
				time.Sleep(time.Second)
				if delivery := s.deliverySummary(id); delivery != "came to nobody, ran 0" {
					t.Errorf("a request reached an endpoint after its client disconnected: %s", delivery)
				}
				client, id = s.newRawClient(t), s.nextID() // the endpoint must still be used
				s.mu.Lock()
				s.slowDials[north.Address] = false
				s.mu.Unlock()
				client.send(requestHead("GET", "/alpha/", id, ""))
				client.receive(id, "GET")
				if delivery := s.deliverySummary(id); delivery != "came to north, ran 1" {
					t.Errorf("the next request: %s", delivery)
				}
			})
		})
	}
}

// Guards against the write deadline of a response that also applies to the next response on the connection.
func TestIdleConnectionIsServed(t *testing.T) {
	runDisconnectTest(t, func(t *testing.T, s *scenario, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, time.Millisecond))
		for _, second := range []string{"/none/", "/alpha/"} {
			client := s.newRawClient(t)
			id := s.nextID()
			client.send(requestHead("GET", "/alpha/", id, ""))
			client.receive(id, "GET")
			time.Sleep(12 * time.Second)
			id = s.nextID()
			client.send(requestHead("GET", second, id, ""))
			if received := client.receive(id, "GET"); received == "closed" || received == "nothing" {
				t.Errorf("%s on an idle connection: %s", second, received)
			}
			_ = client.conn.Close()
		}
	})
}

// Guards against ejecting an endpoint because clients disconnected during their uploads: three broken connections in a
// row would eject it.
func TestBrokenUploadsDoNotEjectEndpoint(t *testing.T) {
	runDisconnectTest(t, func(t *testing.T, s *scenario, l *workLog) {
		s.nodes[0].commitConfig(testConfig{version: 1, limits: megabyteLimits, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", l.work(s, time.Millisecond))
		s.addEndpoint("alpha", "south", l.work(s, time.Millisecond))
		for range 4 {
			client := s.newRawClient(t)
			client.send(requestHead("POST", "/alpha!/", s.nextID(), "Content-Length: 400000\n") + strings.Repeat("x", 200000))
			time.Sleep(100 * time.Millisecond)
			_ = client.conn.Close()
			time.Sleep(10 * time.Millisecond)
		}
		client, id := s.newRawClient(t), s.nextID()
		client.send(requestHead("GET", "/alpha/", id, ""))
		if received, delivery := client.receive(id, "GET"), s.deliverySummary(id); delivery != "came to north, ran 1" {
			t.Errorf("the next request: %s; %s", delivery, received)
		}
	})
}
