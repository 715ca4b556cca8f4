package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"
)

// The rows of docs/datapath.md, from the client's bytes to the backends' and back: what is sent, what the client hears,
// how often it ran. Beside the transcript, each answer is checked: a success is the request's own, a promise was not
// broken, and what may run once only did not run twice.

// rawClient is one connection of a client; only what it hears is written down.
type rawClient struct {
	t    *testing.T
	s    *harness
	conn net.Conn
	br   *bufio.Reader
}

func (s *harness) newRawClient(t *testing.T) *rawClient {
	c := s.newTranscriptClient()
	return &rawClient{t, s, c.conn, bufio.NewReader(c.conn)}
}

// nextID is the next request's.
func (s *harness) nextID() string {
	s.requestCount++
	return fmt.Sprintf("t%d", s.requestCount)
}

func (c *rawClient) send(text string) {
	_, _ = io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

// requestHead is a request up to its body; more are further fields.
func requestHead(method, path, id, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\nHost: a.example\nX-Elmfold-Attempt-Id: %s\n%s\n", method, path, id, more)
}

// receive says what comes for a request, and how long it took.
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
	ran := c.s.executions[id]
	c.s.mu.Unlock()
	switch {
	case resp.StatusCode/100 == 2 && err == nil && method != "HEAD" && !strings.HasPrefix(string(body), "for "+id+" "):
		c.t.Errorf("%s hears another's answer: %s", id, text)
	case resp.StatusCode/100 == 2 && (resp.Header.Get("X-Elmfold-Attempt-Id") != id ||
		resp.Header.Get("X-Elmfold-Server-Seal") == ""):
		c.t.Errorf("%s hears a success that says it is for %q", id, resp.Header.Get("X-Elmfold-Attempt-Id"))
	case ran > 0 && (resp.StatusCode == 429 || resp.StatusCode == 503 || resp.StatusCode == 408 || resp.StatusCode == 421):
		c.t.Errorf("%s ran, and hears a promise that it did not: %s", id, text)
	}
	return text + took
}

// deliverySummary is where a request arrived whole and how often it was worked at.
func (s *harness) deliverySummary(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var to []string
	for _, b := range s.receivedBy[id] {
		_, zone, _ := strings.Cut(b, "-")
		to = append(to, zone)
	}
	if to == nil {
		to = []string{"nobody"}
	}
	return fmt.Sprintf("came to %s, ran %d", strings.Join(to, " and "), s.executions[id])
}

// countExecutions counts a request as worked at, then does so.
func (s *harness) countExecutions(do respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		s.mu.Lock()
		s.executions[r.id]++
		s.mu.Unlock()
		return do(c, r)
	}
}

// respondWithID answers with a body that only this request has.
func respondWithID(c net.Conn, r receivedRequest) error {
	return respond(200, "", "for "+r.id+" alone")(c, r)
}

// resetConnections resets the machine's connections.
func (s *harness) resetConnections(c net.Conn, _ receivedRequest) error {
	ip, _, _ := net.SplitHostPort(c.LocalAddr().String())
	s.net.Reset(ip)
	return io.ErrClosedPipe
}

// inSequence does one after the other.
func inSequence(all ...respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		for _, do := range all {
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

// runDataPathTest plays a test and compares what it wrote, but for what the stage notes by itself.
func runDataPathTest(t *testing.T, f func(s *harness, write func(format string, v ...any))) {
	t.Helper()
	var out strings.Builder
	synctest.Test(t, func(*testing.T) {
		s := newHarness(1)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(s, func(format string, v ...any) { fmt.Fprintf(&out, format+"\n", v...) })
		_ = s.stop()
		s.checkInvariants(t)
	})
	autogold.Equal(t, out.String())
}

// What a backend may do to a request, for a repeatable one and for one that may run once.
func TestDataPathBackend(t *testing.T) {
	const fields = "X-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	const begin = "HTTP/1.1 200 OK\r\n" + fields
	foreign := func(status string) respondFunc { // another's answer, whole
		return respondRaw(
			"HTTP/1.1 " + status +
				"\r\nX-Elmfold-Attempt-Id: other\r\nX-Elmfold-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother",
		)
	}
	silent503 := respondRaw("HTTP/1.1 503 F\r\nX-Elmfold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	runDataPathTest(t, func(s *harness, write func(string, ...any)) {
		rows := []struct {
			name   string
			used   bool // the connection has carried a request before
			method string
			do     respondFunc
		}{
			{"silence before the head", false, "", neverRespond},
			{"silence in the middle of the head", false, "", inSequence(respondRaw(begin[:40]), neverRespond)},
			{"silence after the head", false, "", inSequence(respondRaw(begin+"Content-Length: 9\r\n\r\nfo"), neverRespond)},
			{"reset after the last byte was sent", false, "", s.resetConnections},
			{"reset after the first byte was received", false, "",
				inSequence(respondRaw("H"), afterDelay(time.Millisecond, s.resetConnections))},
			{
				"reset in the middle of the body",
				false,
				"",
				inSequence(respondRaw(begin+"Content-Length: 9\r\n\r\nfo"), afterDelay(time.Millisecond, s.resetConnections)),
			},
			{"reset in the middle of a body that flows", false, "",
				inSequence(respondRaw(begin+"Content-Length: 200000\r\n\r\n"+strings.Repeat("x", 150000)),
					afterDelay(time.Millisecond, s.resetConnections))},
			{"another's answer, then its own", true, "", inSequence(foreign("200 OK"), respondWithID)},
			{"another's answer, then silence", true, "", inSequence(foreign("200 OK"), neverRespond)},
			{"another's answer, then the end", true, "", inSequence(foreign("200 OK"), respondAndClose(""))},
			{"another's refusal, then its own answer", true, "",
				inSequence(foreign("503 F\r\nX-Elmfold-Not-Executed: 1"), respondWithID)},
			{"a refusal of nobody's, then its own answer", true, "", inSequence(silent503, respondWithID)},
			{"a refusal of nobody's, then the end", true, "", inSequence(silent503, respondAndClose(""))},
			{"another's answer to a HEAD, then its own", true, "HEAD", inSequence(foreign("200 OK"), respondWithID)},
			{"100, another's answer, its own", true, "",
				inSequence(respondRaw("HTTP/1.1 100 Continue\r\n\r\n"), foreign("200 OK"), respondWithID)},
			{"103, another's answer, 103, its own", true, "",
				inSequence(respondRaw("HTTP/1.1 103 E\r\nLink: l\r\n\r\n"), foreign("200 OK"),
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
				var plays atomic.Bool
				s.addEndpoint(service, "north", s.countExecutions(func(c net.Conn, r receivedRequest) error {
					if plays.Swap(false) {
						return row.do(c, r)
					}
					return respondWithID(c, r)
				}))
				s.addEndpoint(service, "south", s.countExecutions(respondWithID))
				k := s.newRawClient(t)
				if row.used {
					id := s.nextID()
					k.send(requestHead("GET", "/"+service+"/", id, ""))
					k.receive(id, "GET")
				}
				plays.Store(true)
				method, target, more := "GET", "/"+service+"/", ""
				if kind == "u" {
					method, target, more = "POST", "/"+service+"!/", "Content-Length: 2\n"
				}
				if row.method != "" {
					method = row.method
				}
				id := s.nextID()
				k.send(requestHead(method, target, id, more))
				if kind == "u" {
					k.send("hi")
				}
				heard := k.receive(id, method)
				write("%s; %s: %s; %s", row.name, map[string]string{"s": "repeatable", "u": "once only"}[kind],
					s.deliverySummary(id), heard)
				if fate := s.deliverySummary(id); kind == "u" && !strings.HasSuffix(fate, "ran 1") {
					t.Errorf("%s: %s", row.name, fate)
				}
				time.Sleep(100 * time.Millisecond)
				// What the row left behind comes to nobody else.
				for range 2 {
					id := s.nextID()
					k := s.newRawClient(t)
					k.send(requestHead("GET", "/"+service+"/", id, ""))
					if heard := k.receive(id, "GET"); !strings.HasPrefix(heard, "200") {
						write("    the next one: %s; %s", s.deliverySummary(id), heard)
					}
					_ = k.conn.Close()
				}
				_ = k.conn.Close()
			}
		}
	})
}

// What a client may do, and what becomes of a try around its dial and its end.
func TestDataPathClient(t *testing.T) {
	runDataPathTest(t, func(s *harness, write func(string, ...any)) {
		c := testConfig{version: 1, limits: `"maxHeaderBytes":2000,"maxBodyBytes":1000000`}
		for _, service := range []string{"pipe", "gone", "late", "dial", "half", "turn", "large", "fail"} {
			c.routes = append(c.routes, bothRoutes(service)...)
		}
		s.nodes[0].commitConfig(c)

		s.addEndpoint("pipe", "north", s.countExecutions(afterDelay(20*time.Millisecond, respondWithID)))
		k := s.newRawClient(t)
		a, b, d := s.nextID(), s.nextID(), s.nextID()
		k.send(requestHead("GET", "/pipe/", a, "") +
			requestHead("POST", "/pipe!/", b, "Content-Length: 2\n") + "hi" +
			requestHead("GET", "/pipe/", d, ""))
		for _, id := range []string{a, b, d} {
			write("a client that pipelines: %s; %s", k.receive(id, "GET"), s.deliverySummary(id))
		}
		a, b = s.nextID(), s.nextID()
		k.send(requestHead("POST", "/none/", a, "Content-Length: 2\n") + "hi" + requestHead("GET", "/pipe/", b, ""))
		write("... after a refusal whose body is there: %s; %s", k.receive(a, "GET"), s.deliverySummary(a))
		write("    the next one: %s; %s", k.receive(b, "GET"), s.deliverySummary(b))
		// Guards against the rest of a body being taken for a request (UNASKED).
		a, b = s.nextID(), s.nextID()
		inner := strings.ReplaceAll(requestHead("GET", "/pipe/", b, ""), "\n", "\r\n")
		k.send(requestHead("POST", "/none/", a, fmt.Sprintf("Content-Length: %d\n", len(inner))))
		write("... whose body is not, and looks like a request: %s", k.receive(a, "GET"))
		k.send(requestHead("GET", "/pipe/", b, ""))
		write("    the body: %s; %s", k.receive(b, "GET"), s.deliverySummary(b))
		if fate := s.deliverySummary(b); !strings.HasPrefix(fate, "came to nobody") {
			t.Errorf("a body was taken for a request: %s", fate)
		}

		s.addEndpoint("gone", "north", s.countExecutions(afterDelay(500*time.Millisecond, respondWithID)))
		s.addEndpoint("gone", "south", s.countExecutions(respondWithID))
		for _, kind := range []string{"GET /gone/", "POST /gone!/"} {
			method, target, _ := strings.Cut(kind, " ")
			k, id := s.newRawClient(t), s.nextID()
			k.send(requestHead(method, target, id, ""))
			time.Sleep(100 * time.Millisecond)
			_ = k.conn.Close()
			time.Sleep(time.Second)
			k, next := s.newRawClient(t), s.nextID()
			k.send(requestHead("GET", "/gone/", next, ""))
			write("a client that gives up, %s: %s; the next one: %s", kind, s.deliverySummary(id), k.receive(next, "GET"))
		}
		s.addEndpoint("fail", "north", s.countExecutions(afterDelay(500*time.Millisecond, respondAndClose(""))))
		s.addEndpoint("fail", "south", s.countExecutions(respondWithID))
		for _, stays := range []bool{true, false} {
			k, id := s.newRawClient(t), s.nextID()
			k.send(requestHead("GET", "/fail/", id, ""))
			if time.Sleep(100 * time.Millisecond); !stays {
				_ = k.conn.Close()
			}
			time.Sleep(time.Second)
			write("the backend fails; the client is there %v: %s", stays, s.deliverySummary(id))
		}

		var wait atomic.Int64
		wait.Store(int64(7 * time.Second))
		s.addEndpoint("late", "north", s.countExecutions(func(c net.Conn, r receivedRequest) error {
			return afterDelay(time.Duration(wait.Swap(0)), respondWithID)(c, r)
		}))
		k, id := s.newRawClient(t), s.nextID()
		k.send(requestHead("GET", "/late/", id, ""))
		heard := k.receive(id, "GET")
		next := s.nextID()
		k.send(requestHead("GET", "/late/", next, ""))
		write("a try that ends for its time: %s; %s; the next one: %s", s.deliverySummary(id), heard, k.receive(next, "GET"))
		time.Sleep(5 * time.Second)
		next = s.nextID()
		k.send(requestHead("GET", "/late/", next, ""))
		write("    after the late answer: %s", k.receive(next, "GET"))

		north := s.addEndpoint("dial", "north", s.countExecutions(respondWithID))
		s.addEndpoint("dial", "south", s.countExecutions(respondWithID))
		s.mu.Lock()
		s.slowDials[north.Address] = true
		s.mu.Unlock()
		k, id = s.newRawClient(t), s.nextID()
		k.send(requestHead("POST", "/dial!/", id, "Content-Length: 2\n") + "hi")
		heard = k.receive(id, "POST")
		write("a dial that does come up, too late; once only: %s; %s", s.deliverySummary(id), heard)

		s.addEndpoint("half", "north", s.countExecutions(respondWithID))
		k, id = s.newRawClient(t), s.nextID()
		k.send(requestHead("POST", "/half!/", id, "Content-Length: 400000\n") + strings.Repeat("x", 200000))
		time.Sleep(100 * time.Millisecond)
		s.net.Dark("10.0.0.100", true)
		go k.send(strings.Repeat("x", 200000))
		time.Sleep(8 * time.Second)
		s.net.Dark("10.0.0.100", false)
		heard = k.receive(id, "POST") // the client's time and the backend's end in one moment: either may be said
		for _, text := range []string{`504 "late\n"`, `502 "broken off\n"`, `502 "broken off by the client\n"`} {
			heard = strings.Replace(heard, text, "502 or 504", 1)
		}
		write("a carrier that was cut off with a half-written request: %s; %s", heard, s.deliverySummary(id))
		time.Sleep(2 * time.Second) // its lines are up again

		// A backend that refuses before it has read a body that flows, while the client takes its time.
		turn := s.addEndpoint("turn", "north", s.countExecutions(respondWithID))
		s.mu.Lock()
		s.beforeBody[turn.ID] = func(c net.Conn, r receivedRequest) error {
			_ = respond(503, "X-Elmfold-Not-Executed: full", "full")(c, r)
			return nil
		}
		s.mu.Unlock()
		k, id = s.newRawClient(t), s.nextID()
		k.send(requestHead("POST", "/turn!/", id, "Content-Length: 400000\n") + strings.Repeat("x", 200000))
		heard = k.receive(id, "POST")
		write("refused before the body was read, which does not come: %s; %s", s.deliverySummary(id), heard)

		// One that answers early in chunks and reads on: no byte of the body may be lost on its way.
		big := s.addEndpoint("large", "north", respondRaw("0\r\n\r\n"))
		s.mu.Lock()
		s.beforeBody[big.ID] = func(c net.Conn, r receivedRequest) error {
			response := "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n" +
				"Transfer-Encoding: chunked\r\n\r\n" + encodeChunk("for "+r.id+" alone"+strings.Repeat(".", 100000))
			return respondRaw(response)(c, r)
		}
		s.mu.Unlock()
		k, id = s.newRawClient(t), s.nextID()
		k.send(requestHead("POST", "/large!/", id, "Transfer-Encoding: chunked\n"))
		go func() {
			for range 8 {
				_, _ = io.WriteString(k.conn, encodeChunk(strings.Repeat("0123456789", 5000)))
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(k.conn, "0\r\n\r\n")
		}()
		heard = k.receive(id, "POST")
		write("answered while the body flows: %s", heard)
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		seen := strings.Split(strings.TrimSpace(s.transcript.String()), "\n")
		s.mu.Unlock()
		write("    the backend has %s", strings.TrimSpace(seen[len(seen)-1]))
	})
}

// Refusals go out at once, whatever is still to come of the client's body (LATER.md: what is refused within a quarter
// of its aim earns half).
func TestRefusalsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(1)
		time.Sleep(5 * time.Second)
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		for _, more := range []string{"Content-Length: 5\n", "Content-Length: 90000\n", "Transfer-Encoding: chunked\n",
			"Expect: 100-continue\nContent-Length: 5\n"} {
			for _, path := range []string{"/none/", "/alpha/"} { // 404 before the body is read, 503 after
				k, id := s.newRawClient(t), s.nextID()
				began := time.Now()
				k.send(requestHead("POST", path, id, more))
				if path == "/alpha/" {
					k.send(map[bool]string{true: "5\nhello\n0\n\n", false: "hello"}[strings.HasPrefix(more, "T")])
				}
				heard, took := k.receive(id, "POST"), time.Since(began)
				isUnreadRest := path == "/alpha/" && strings.Contains(more, "90000") // waits for unreadBodyTimeout
				if took > 10*time.Millisecond && !isUnreadRest {
					t.Errorf("%s %q: %s, %v", path, more, heard, took)
				}
			}
		}
		_ = s.stop()
	})
}
