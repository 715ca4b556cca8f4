package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"
)

// These tests follow requests from the client through the proxy to the endpoints and back. Their transcripts show which
// endpoints received a request, how often it was executed, and what the client received. receive also checks that a
// success belongs to its request, and that a response which signals non-execution is true.

// rawClient is a client connection whose traffic is not part of the scenario's transcript.
type rawClient struct {
	t    *testing.T
	s    *scenario
	conn net.Conn
	br   *bufio.Reader
}

func (s *scenario) newRawClient(t *testing.T) *rawClient {
	c := s.newTranscriptClient()
	return &rawClient{t, s, c.conn, bufio.NewReader(c.conn)}
}

// nextID returns the attempt id for the next request.
func (s *scenario) nextID() string {
	s.requestCount++
	return fmt.Sprintf("t%d", s.requestCount)
}

func (c *rawClient) send(text string) {
	_, _ = io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

// requestHead returns the head of a request with further header fields, each of which ends in a newline.
func requestHead(method, path, id, extraFields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\nHost: a.example\nX-Elmfold-Attempt-Id: %s\n%s\n", method, path, id, extraFields)
}

// receive reads and checks the response to a request, and returns a summary with the time that it took.
func (c *rawClient) receive(id, method string) string {
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(30 * time.Second))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	after := func() string {
		if d := time.Since(began).Round(10 * time.Millisecond); d > 0 {
			return fmt.Sprint(" after ", d)
		}
		return ""
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "nothing"
	case err != nil:
		return "closed" + after()
	}
	took := after()
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprintf("%d %s", resp.StatusCode, summarizeBody(body))
	if method == "HEAD" {
		text = fmt.Sprintf("%d without a body", resp.StatusCode)
	}
	if err != nil {
		text += ", then it breaks off"
	}
	if resp.Close {
		text += ", close"
	}
	c.s.mu.Lock()
	executed := c.s.executions[id]
	c.s.mu.Unlock()
	switch {
	case resp.StatusCode/100 == 2 && err == nil && method != "HEAD" && !strings.HasPrefix(string(body), "for "+id+" "):
		c.t.Errorf("%s received the response to another request: %s", id, text)
	case resp.StatusCode/100 == 2 && (resp.Header.Get("X-Elmfold-Attempt-Id") != id ||
		resp.Header.Get("X-Elmfold-Server-Seal") == ""):
		c.t.Errorf("%s received a success for attempt id %q, or one without a server seal", id,
			resp.Header.Get("X-Elmfold-Attempt-Id"))
	case executed > 0 && slices.Contains([]int{408, 421, 429, 503}, resp.StatusCode):
		c.t.Errorf("%s was executed, but its response signals that it was not: %s", id, text)
	}
	return text + took
}

// deliverySummary returns which endpoints received the whole request, and how often it was executed.
func (s *scenario) deliverySummary(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zones []string
	for _, endpointID := range s.receivedBy[id] {
		_, zone, _ := strings.Cut(endpointID, "-")
		zones = append(zones, zone)
	}
	if zones == nil {
		zones = []string{"nobody"}
	}
	return fmt.Sprintf("came to %s, ran %d", strings.Join(zones, " and "), s.executions[id])
}

// countExecutions counts an execution of the request before do handles it.
func (s *scenario) countExecutions(do respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		s.mu.Lock()
		s.executions[r.id]++
		s.mu.Unlock()
		return do(c, r)
	}
}

// respondWithID responds with a body that names the request.
func respondWithID(c net.Conn, r receivedRequest) error {
	return respond(200, "", "for "+r.id+" alone")(c, r)
}

// resetConnections resets all connections of the endpoint's host.
func (s *scenario) resetConnections(c net.Conn, _ receivedRequest) error {
	ip, _, _ := net.SplitHostPort(c.LocalAddr().String())
	s.net.Reset(ip)
	return io.ErrClosedPipe
}

// inSequence calls several functions until one fails.
func inSequence(handlers ...respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		for _, do := range handlers {
			if err := do(c, r); err != nil {
				return err
			}
		}
		return nil
	}
}

func neverRespond(net.Conn, receivedRequest) error {
	time.Sleep(20 * time.Second)
	return io.ErrClosedPipe
}

// runDataPathTest compares what f writes with the golden file. The scenario's own transcript is discarded.
func runDataPathTest(t *testing.T, f func(s *scenario, write func(format string, v ...any))) {
	t.Helper()
	var out strings.Builder
	synctest.Test(t, func(*testing.T) {
		s := newScenario(1)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(s, func(format string, v ...any) { fmt.Fprintf(&out, format+"\n", v...) })
		_ = s.stop()
		s.checkInvariants(t)
	})
	autogold.Equal(t, out.String())
}

// Failures at an endpoint and on its connections, for idempotent and non-idempotent requests.
func TestDataPathBackend(t *testing.T) {
	const fields = "X-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	const head = "HTTP/1.1 200 OK\r\n" + fields
	otherResponse := func(status string) respondFunc { // a complete response to another request
		return respondRaw(
			"HTTP/1.1 " + status +
				"\r\nX-Elmfold-Attempt-Id: other\r\nX-Elmfold-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother",
		)
	}
	// A 503 without an attempt id belongs to no known request.
	anonymous503 := respondRaw("HTTP/1.1 503 F\r\nX-Elmfold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	runDataPathTest(t, func(s *scenario, write func(string, ...any)) {
		rows := []struct {
			name   string
			used   bool // the connection has carried a request before
			method string
			do     respondFunc
		}{
			{"silence before the head", false, "", neverRespond},
			{"silence in the middle of the head", false, "", inSequence(respondRaw(head[:40]), neverRespond)},
			{"silence after the head", false, "", inSequence(respondRaw(head+"Content-Length: 9\r\n\r\nfo"), neverRespond)},
			{"reset after the last byte was sent", false, "", s.resetConnections},
			{"reset after the first byte was received", false, "",
				inSequence(respondRaw("H"), afterDelay(time.Millisecond, s.resetConnections))},
			{
				"reset in the middle of the body",
				false,
				"",
				inSequence(respondRaw(head+"Content-Length: 9\r\n\r\nfo"), afterDelay(time.Millisecond, s.resetConnections)),
			},
			{"reset in the middle of a body that flows", false, "",
				inSequence(respondRaw(head+"Content-Length: 200000\r\n\r\n"+strings.Repeat("x", 150000)),
					afterDelay(time.Millisecond, s.resetConnections))},
			{"another's answer, then its own", true, "", inSequence(otherResponse("200 OK"), respondWithID)},
			{"another's answer, then silence", true, "", inSequence(otherResponse("200 OK"), neverRespond)},
			{"another's answer, then the end", true, "", inSequence(otherResponse("200 OK"), respondAndClose(""))},
			{"another's refusal, then its own answer", true, "",
				inSequence(otherResponse("503 F\r\nX-Elmfold-Not-Executed: 1"), respondWithID)},
			{"a refusal of nobody's, then its own answer", true, "", inSequence(anonymous503, respondWithID)},
			{"a refusal of nobody's, then the end", true, "", inSequence(anonymous503, respondAndClose(""))},
			{"another's answer to a HEAD, then its own", true, "HEAD", inSequence(otherResponse("200 OK"), respondWithID)},
			{"100, another's answer, its own", true, "",
				inSequence(respondRaw("HTTP/1.1 100 Continue\r\n\r\n"), otherResponse("200 OK"), respondWithID)},
			{"103, another's answer, 103, its own", true, "",
				inSequence(respondRaw("HTTP/1.1 103 E\r\nLink: l\r\n\r\n"), otherResponse("200 OK"),
					respondRaw("HTTP/1.1 103 E\r\n\r\n"), respondWithID)},
			{"101", false, "", respondRaw("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n")},
			{"its own answer twice in one segment", true, "", func(c net.Conn, r receivedRequest) error {
				body := "for " + r.id + " alone"
				one := fmt.Sprintf(
					"HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
					r.id,
					len(body),
					body,
				)
				_, err := io.WriteString(c, one+one)
				return err
			}},
			{"its own answer, and once more while nobody waits", true, "",
				inSequence(respondWithID, afterDelay(50*time.Millisecond, respondWithID))},
			{"it ends without an answer, on a connection used before", true, "", respondAndClose("")},
		}
		c := testConfig{version: 1}
		for i := range rows {
			c.routes = append(append(c.routes, bothRoutes(fmt.Sprintf("r%ds", i))...), bothRoutes(fmt.Sprintf("r%du", i))...)
		}
		s.nodes[0].commitConfig(c)
		for i, row := range rows {
			for _, kind := range []string{"s", "u"} {
				service := fmt.Sprintf("r%d%s", i, kind)
				var isMisbehaving atomic.Bool
				s.addEndpoint(service, "north", s.countExecutions(func(c net.Conn, r receivedRequest) error {
					if isMisbehaving.Swap(false) {
						return row.do(c, r)
					}
					return respondWithID(c, r)
				}))
				s.addEndpoint(service, "south", s.countExecutions(respondWithID))
				client := s.newRawClient(t)
				if row.used {
					id := s.nextID()
					client.send(requestHead("GET", "/"+service+"/", id, ""))
					client.receive(id, "GET")
				}
				isMisbehaving.Store(true)
				method, target, more := "GET", "/"+service+"/", ""
				if kind == "u" {
					method, target, more = "POST", "/"+service+"!/", "Content-Length: 2\n"
				}
				if row.method != "" {
					method = row.method
				}
				id := s.nextID()
				client.send(requestHead(method, target, id, more))
				if kind == "u" {
					client.send("hi")
				}
				received := client.receive(id, method)
				write("%s; %s: %s; %s", row.name, map[string]string{"s": "repeatable", "u": "once only"}[kind],
					s.deliverySummary(id), received)
				if delivery := s.deliverySummary(id); kind == "u" && !strings.HasSuffix(delivery, "ran 1") {
					t.Errorf("%s: %s", row.name, delivery)
				}
				time.Sleep(100 * time.Millisecond)
				// No later request may receive a response left over from this one.
				for range 2 {
					id := s.nextID()
					client := s.newRawClient(t)
					client.send(requestHead("GET", "/"+service+"/", id, ""))
					if received := client.receive(id, "GET"); !strings.HasPrefix(received, "200") {
						write("    the next one: %s; %s", s.deliverySummary(id), received)
					}
					_ = client.conn.Close()
				}
				_ = client.conn.Close()
			}
		}
	})
}

// Pipelining, disconnects, uploads and timeouts of clients.
func TestDataPathClient(t *testing.T) {
	runDataPathTest(t, func(s *scenario, write func(string, ...any)) {
		c := testConfig{version: 1, limits: `"maxHeaderBytes":2000,"maxBodyBytes":1000000`}
		for _, service := range []string{"pipe", "gone", "late", "dial", "half", "turn", "large", "fail"} {
			c.routes = append(c.routes, bothRoutes(service)...)
		}
		s.nodes[0].commitConfig(c)

		s.addEndpoint("pipe", "north", s.countExecutions(afterDelay(20*time.Millisecond, respondWithID)))
		client := s.newRawClient(t)
		a, b, d := s.nextID(), s.nextID(), s.nextID()
		client.send(requestHead("GET", "/pipe/", a, "") +
			requestHead("POST", "/pipe!/", b, "Content-Length: 2\n") + "hi" +
			requestHead("GET", "/pipe/", d, ""))
		for _, id := range []string{a, b, d} {
			write("a client that pipelines: %s; %s", client.receive(id, "GET"), s.deliverySummary(id))
		}
		a, b = s.nextID(), s.nextID()
		client.send(requestHead("POST", "/none/", a, "Content-Length: 2\n") + "hi" + requestHead("GET", "/pipe/", b, ""))
		write("... after a refusal whose body is there: %s; %s", client.receive(a, "GET"), s.deliverySummary(a))
		write("    the next one: %s; %s", client.receive(b, "GET"), s.deliverySummary(b))
		// The unread body of a request must not be parsed as the next request.
		a, b = s.nextID(), s.nextID()
		inner := strings.ReplaceAll(requestHead("GET", "/pipe/", b, ""), "\n", "\r\n")
		client.send(requestHead("POST", "/none/", a, fmt.Sprintf("Content-Length: %d\n", len(inner))))
		write("... whose body is not, and looks like a request: %s", client.receive(a, "GET"))
		client.send(requestHead("GET", "/pipe/", b, ""))
		write("    the body: %s; %s", client.receive(b, "GET"), s.deliverySummary(b))
		if delivery := s.deliverySummary(b); !strings.HasPrefix(delivery, "came to nobody") {
			t.Errorf("a request body was parsed as a request: %s", delivery)
		}

		s.addEndpoint("gone", "north", s.countExecutions(afterDelay(500*time.Millisecond, respondWithID)))
		s.addEndpoint("gone", "south", s.countExecutions(respondWithID))
		for _, kind := range []string{"GET /gone/", "POST /gone!/"} {
			method, target, _ := strings.Cut(kind, " ")
			client, id := s.newRawClient(t), s.nextID()
			client.send(requestHead(method, target, id, ""))
			time.Sleep(100 * time.Millisecond)
			_ = client.conn.Close()
			time.Sleep(time.Second)
			client, next := s.newRawClient(t), s.nextID()
			client.send(requestHead("GET", "/gone/", next, ""))
			write("a client that gives up, %s: %s; the next one: %s", kind, s.deliverySummary(id), client.receive(next, "GET"))
		}
		s.addEndpoint("fail", "north", s.countExecutions(afterDelay(500*time.Millisecond, respondAndClose(""))))
		s.addEndpoint("fail", "south", s.countExecutions(respondWithID))
		for _, stays := range []bool{true, false} {
			client, id := s.newRawClient(t), s.nextID()
			client.send(requestHead("GET", "/fail/", id, ""))
			if time.Sleep(100 * time.Millisecond); !stays {
				_ = client.conn.Close()
			}
			time.Sleep(time.Second)
			write("the backend fails; the client is there %v: %s", stays, s.deliverySummary(id))
		}

		var delay atomic.Int64 // of the next response, in ns
		delay.Store(int64(7 * time.Second))
		s.addEndpoint("late", "north", s.countExecutions(func(c net.Conn, r receivedRequest) error {
			return afterDelay(time.Duration(delay.Swap(0)), respondWithID)(c, r)
		}))
		client, id := s.newRawClient(t), s.nextID()
		client.send(requestHead("GET", "/late/", id, ""))
		received := client.receive(id, "GET")
		next := s.nextID()
		client.send(requestHead("GET", "/late/", next, ""))
		write("a try that ends for its time: %s; %s; the next one: %s",
			s.deliverySummary(id), received, client.receive(next, "GET"))
		time.Sleep(5 * time.Second)
		next = s.nextID()
		client.send(requestHead("GET", "/late/", next, ""))
		write("    after the late answer: %s", client.receive(next, "GET"))

		north := s.addEndpoint("dial", "north", s.countExecutions(respondWithID))
		s.addEndpoint("dial", "south", s.countExecutions(respondWithID))
		s.mu.Lock()
		s.slowDials[north.Address] = true
		s.mu.Unlock()
		client, id = s.newRawClient(t), s.nextID()
		client.send(requestHead("POST", "/dial!/", id, "Content-Length: 2\n") + "hi")
		received = client.receive(id, "POST")
		write("a dial that does come up, too late; once only: %s; %s", s.deliverySummary(id), received)

		s.addEndpoint("half", "north", s.countExecutions(respondWithID))
		client, id = s.newRawClient(t), s.nextID()
		client.send(requestHead("POST", "/half!/", id, "Content-Length: 400000\n") + strings.Repeat("x", 200000))
		time.Sleep(100 * time.Millisecond)
		s.net.Dark("10.0.0.100", true)
		go client.send(strings.Repeat("x", 200000))
		time.Sleep(8 * time.Second)
		s.net.Dark("10.0.0.100", false)
		received = client.receive(id, "POST") // the timeouts of client and endpoint coincide
		for _, text := range []string{`504 "late\n"`, `502 "broken off\n"`, `502 "broken off by the client\n"`} {
			received = strings.Replace(received, text, "502 or 504", 1)
		}
		write("a carrier that was cut off with a half-written request: %s; %s", received, s.deliverySummary(id))
		time.Sleep(2 * time.Second) // until the proxy has reconnected to its nodes

		// An endpoint rejects the request before it has read a streamed body, while the client sends slowly.
		turn := s.addEndpoint("turn", "north", s.countExecutions(respondWithID))
		s.mu.Lock()
		s.beforeBody[turn.ID] = func(c net.Conn, r receivedRequest) error {
			_ = respond(503, "X-Elmfold-Not-Executed: full", "full")(c, r)
			return nil
		}
		s.mu.Unlock()
		client, id = s.newRawClient(t), s.nextID()
		client.send(requestHead("POST", "/turn!/", id, "Content-Length: 400000\n") + strings.Repeat("x", 200000))
		received = client.receive(id, "POST")
		write("refused before the body was read, which does not come: %s; %s", s.deliverySummary(id), received)

		// An endpoint responds early in chunks and keeps reading: no byte of the request body may be lost.
		big := s.addEndpoint("large", "north", respondRaw("0\r\n\r\n"))
		s.mu.Lock()
		s.beforeBody[big.ID] = func(c net.Conn, r receivedRequest) error {
			response := "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n" +
				"Transfer-Encoding: chunked\r\n\r\n" + encodeChunk("for "+r.id+" alone"+strings.Repeat(".", 100000))
			return respondRaw(response)(c, r)
		}
		s.mu.Unlock()
		client, id = s.newRawClient(t), s.nextID()
		client.send(requestHead("POST", "/large!/", id, "Transfer-Encoding: chunked\n"))
		go func() {
			for range 8 {
				_, _ = io.WriteString(client.conn, encodeChunk(strings.Repeat("0123456789", 5000)))
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(client.conn, "0\r\n\r\n")
		}()
		received = client.receive(id, "POST")
		write("answered while the body flows: %s", received)
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		lines := strings.Split(strings.TrimSpace(s.transcript.String()), "\n")
		s.mu.Unlock()
		write("    the backend has %s", strings.TrimSpace(lines[len(lines)-1]))
	})
}

// Error responses are sent at once, even while the request body is incomplete.
func TestErrorResponseIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(1)
		time.Sleep(5 * time.Second)
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		for _, more := range []string{"Content-Length: 5\n", "Content-Length: 90000\n", "Transfer-Encoding: chunked\n",
			"Expect: 100-continue\nContent-Length: 5\n"} {
			for _, path := range []string{"/none/", "/alpha/"} { // 404 before the body is read, 503 after
				client, id := s.newRawClient(t), s.nextID()
				began := time.Now()
				client.send(requestHead("POST", path, id, more))
				if path == "/alpha/" {
					client.send(map[bool]string{true: "5\nhello\n0\n\n", false: "hello"}[strings.HasPrefix(more, "T")])
				}
				received, took := client.receive(id, "POST"), time.Since(began)
				isUnreadRest := path == "/alpha/" && strings.Contains(more, "90000") // waits for unreadBodyTimeout
				if took > 10*time.Millisecond && !isUnreadRest {
					t.Errorf("%s %q: %s, %v", path, more, received, took)
				}
			}
		}
		_ = s.stop()
	})
}
