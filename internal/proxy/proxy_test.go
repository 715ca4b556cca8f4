package proxy_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

// Guards against a request that is changed on its way (a cleaned path, a parsed query, another body length), against
// connection-specific fields that are passed on, and against limits that are not enforced.
func TestPassesOn(t *testing.T) {
	runTranscript(t, 1, func(s *scenario) {
		s.section("no configuration is known")
		s.request("GET /alpha/ HTTP/1.1")
		c := testConfig{version: 1, routes: bothRoutes("alpha")}
		s.nodes[0].commitConfig(c)
		s.section("no backend is known")
		s.request("GET /alpha/ HTTP/1.1")
		s.addEndpoint("alpha", "north", respondOK)
		s.section("routes")
		s.request("GET /alpha/x HTTP/1.1")
		s.request("GET /alpha HTTP/1.1")
		s.request("GET /alpha/ HTTP/1.1 | Host: b.example")
		s.request("GET /alpha/ HTTP/1.1 | Host: A.Example:8080")
		s.request("GET http://a.example/alpha/absolute?q HTTP/1.1")
		s.request("OPTIONS * HTTP/1.1")
		s.section("the target's bytes")
		for _, target := range []string{"//a//b/", "a%2fb%2Fc%20d", "./../x/.", "a;b=c;d?e;f", "?", "??a=b&a=b&&=%zz&+",
			"x?u=http://a/b#c", `q"<>|^`} {
			s.request("GET /alpha/" + strings.ReplaceAll(target, "|", "%7C") + " HTTP/1.1")
		}
		s.section("fields of one connection, and those of the system itself")
		s.request("GET /alpha/ HTTP/1.1 | Connection: close, X-One | X-One: 1 | X-Two: 2 | X-Two: again" +
			" | Keep-Alive: timeout=9 | TE: trailers | Proxy-Connection: keep-alive | Proxy-Authorization: secret" +
			" | Cookie: a=b | Accept-Encoding: identity | X-Elmfold-Target-Instance: i-other")
		s.request("GET /alpha/ HTTP/1.1 | Upgrade: websocket | Connection: Upgrade")
		s.section("bodies")
		s.request("POST /alpha!/ HTTP/1.1 | Content-Length: 5", "hello")
		s.request("POST /alpha!/ HTTP/1.1 | Content-Length: 0")
		s.request("DELETE /alpha!/ HTTP/1.1")
		s.request("POST /alpha!/ HTTP/1.1 | "+chunkedEncoding, encodeChunk("hello ")+encodeChunk("world"), "0\r\n\r\n")
		s.request("PATCH /alpha!/ HTTP/1.1 | Content-Type: text/odd | Content-Length: 100000",
			strings.Repeat("0123456789", 10000))
		s.request("GET /alpha/ HTTP/1.1 | Content-Length: 3", "abc")
		s.request("HEAD /alpha/ HTTP/1.1")
		s.section("limits")
		s.request("POST /alpha!/ HTTP/1.1 | Content-Length: 100001", strings.Repeat("x", 100001))
		s.request("POST /alpha!/ HTTP/1.1 | "+chunkedEncoding, encodeChunk(strings.Repeat("x", 100001)))
		s.request("GET /alpha/ HTTP/1.1 | X-Long: " + strings.Repeat("x", 1000))
		c.version, c.limits = 2, `"maxHeaderBytes":2000,"maxBodyBytes":400000`
		s.nodes[0].commitConfig(c)
		s.section("a configuration with others: the body is more than is held, and flows")
		s.request("GET /alpha/ HTTP/1.1 | X-Long: " + strings.Repeat("x", 1000))
		s.request("POST /alpha!/ HTTP/1.1 | Content-Length: 400000", strings.Repeat("0123456789", 40000))
		s.request("POST /alpha!/ HTTP/1.1 | "+chunkedEncoding, encodeChunk(strings.Repeat("0123456789", 39000)), "0\r\n\r\n")
		s.section("the time: less by what has passed, and never more than the route's")
		s.request("GET /alpha/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 800")
		s.request("POST /alpha!/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 800 | Content-Length: 3", "a", "bc")
		s.request("POST /alpha!/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 500 | Content-Length: 3", "a", "b", "c")
		for _, odd := range []string{"60000", "0.7", "-5", "soon"} {
			s.request("GET /alpha/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: " + odd)
		}
	})
}

// Guards against a non-idempotent request that is sent again, or whose response wrongly signals that it was not
// executed, and against an idempotent request that fails without a retry.
func TestFurtherTries(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	failed, busy := respond(500, "", "it failed"), respond(503, "", "busy")
	notExecuted := respond(503, "X-Elmfold-Not-Executed: full", "full")
	cases := []struct {
		name          string
		first, second respondFunc
		kinds         string
	}{
		{"an answer that is cut short", respondAndClose(answer + "Content-Length: 50\r\n\r\nhalf"), respondOK, "su"},
		{"no answer", respondAndClose(""), respondOK, "su"},
		{"no answer, after some time", afterDelay(200*time.Millisecond, respondAndClose("")), respondOK, "s"},
		{"bytes that are no answer", respondRaw("What?\r\n\r\n"), respondOK, "su"},
		{"an answer to another request",
			respondAndClose(strings.Replace(answer, "ID", "other", 1) + "Content-Length: 2\r\n\r\nno"), respondOK, "su"},
		{"a success without a seal",
			respondRaw("HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nno"), respondOK, "su"},
		{"a Content-Encoding", respond(200, "Content-Encoding: gzip", "zipped"), respondOK, "su"},
		{"the backend's own 500", failed, respondOK, "su"},
		{"the backend's own 500, twice", failed, failed, "s"},
		{"its own 503 without a word that it did not run", busy, respondOK, "su"},
		{"its own 503 and no other", busy, busy, "s"},
		{"its own 429", respond(429, "Retry-After: 3", "slower"), respondOK, "su"},
		{"a word that it did not run", notExecuted, respondOK, "su"},
		{"the same twice", notExecuted, notExecuted, "su"},
		{"421", respond(421, "", "not me"), respondOK, "su"},
		{"nobody listens", refuseConnections, respondOK, "su"},
		{"nobody listens at either", refuseConnections, refuseConnections, "u"},
		{"nobody listens, and the next breaks off", refuseConnections, respondAndClose(""), "u"},
		{"one breaks off, and nobody listens at the next", respondAndClose(""), refuseConnections, "s"},
		{"one breaks off, and the next did not run it", respondAndClose(""), notExecuted, "s"},
		{"one did not run it, and the next breaks off", notExecuted, respondAndClose(""), "u"},
		{"404 of its own", respond(404, "", "not here"), respondOK, "u"},
	}
	runTranscript(t, 1, func(s *scenario) {
		c := testConfig{version: 1}
		for i := range cases {
			c.routes = append(c.routes, bothRoutes(fmt.Sprintf("c%d", i))...)
			c.routes = append(c.routes, bothRoutes(fmt.Sprintf("c%du", i))...)
		}
		s.nodes[0].commitConfig(c)
		for i, test := range cases {
			for _, kind := range test.kinds {
				service := fmt.Sprintf("c%d", i)
				if kind == 's' {
					s.section("%s; repeatable", test.name)
					s.addEndpoint(service, "north", test.first)
					s.addEndpoint(service, "south", test.second)
					s.request("GET /" + service + "/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 4000")
					continue
				}
				service += "u" // the failures above must not affect it
				s.section("%s; once only", test.name)
				s.addEndpoint(service, "north", test.first)
				s.addEndpoint(service, "south", test.second)
				s.request("POST /"+service+"!/ HTTP/1.1 | Content-Length: 2", "hi")
			}
		}
	})
}

// Guards against a truncated response that looks complete, against an endpoint's connection-specific fields that reach
// the client, and against a client that is not told the idle timeout of its connection.
func TestAnswers(t *testing.T) {
	large := strings.Repeat("0123456789", 20000)
	const head = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	pieces := strings.Repeat(encodeChunk(large[:50000]), 4)
	runTranscript(t, 1, func(s *scenario) {
		c := testConfig{version: 1}
		tests := []struct {
			name string
			do   respondFunc
		}{
			{"fields of the connection", respond(201, "Connection: close, X-One\r\nX-One: 1\r\nX-Two: 2\r\n"+
				"Set-Cookie: a\r\nSet-Cookie: b\r\nKeep-Alive: timeout=2\r\nServer: s", "made")},
			{"no content",
				respondRaw("HTTP/1.1 204 No Content\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n\r\n")},
			{"chunks",
				respondRaw(head + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk("one ") + encodeChunk("two") + "0\r\n\r\n")},
			{"a large body", respond(200, "", large)},
			{"a large body in chunks", respondRaw(head + "Transfer-Encoding: chunked\r\n\r\n" + pieces + "0\r\n\r\n")},
			{"a large body that breaks off", respondAndClose(head + "Content-Length: 200000\r\n\r\n" + large[:150000])},
			{"a large body in chunks that breaks off", respondAndClose(head + "Transfer-Encoding: chunked\r\n\r\n" + pieces)},
			{"no length at all", respondAndClose(head + "\r\nall until the end")},
			{"a redirection", respond(302, "Location: http://b.example/", "")},
			{"nothing in time", afterDelay(7*time.Second, respondOK)},
		}
		for i := range tests {
			c.routes = append(c.routes, "unsafe "+fmt.Sprintf("/a%d/ a%d", i, i))
		}
		s.nodes[0].commitConfig(c)
		for i, test := range tests {
			s.section("%s", test.name)
			s.addEndpoint(fmt.Sprintf("a%d", i), "north", test.do)
			s.request(fmt.Sprintf("GET /a%d/ HTTP/1.1", i))
		}
		s.section("one connection for several requests, until it was idle for too long")
		client := s.newTranscriptClient()
		client.request("GET /a8/ HTTP/1.1")
		client.request("GET /none/ HTTP/1.1")
		client.request("GET /a3/ HTTP/1.1")
		began := time.Now()
		client.readResponse("GET")
		s.logf("it was closed after %v", time.Since(began).Round(time.Second))
		s.section("a head that does not end")
		client = s.newTranscriptClient()
		began = time.Now()
		_, _ = io.WriteString(client.conn, "GET /a8/ HTTP/1.1\r\nHost:")
		client.readResponse("GET")
		s.logf("it was closed after %v", time.Since(began).Round(time.Second))
		c.version, c.limits = 2, `"idleTimeoutS":2`
		s.nodes[0].commitConfig(c)
		s.section("the idle time is short: nothing is said of it")
		s.request("GET /a8/ HTTP/1.1")
	})
}

// Guards against requests to a draining endpoint or an evacuated zone, against delayed reports that bring an endpoint
// back, and against a rate limit that is not enforced.
func TestWords(t *testing.T) {
	runTranscript(t, 1, func(s *scenario) {
		node := s.nodes[0]
		node.commitConfig(testConfig{version: 1, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)})
		b := s.addEndpoint("alpha", "north", respondOK)
		get := func() { s.request("GET /alpha/ HTTP/1.1") }
		get()
		s.addEndpoint("alpha", "south", respondOK)
		s.section("the one of the own zone first")
		get()
		s.section("it drains")
		b.Seq, b.State = 5, rpc.Draining
		node.sendEndpoints(b)
		get()
		s.section("late words that it is ready")
		delayed := b
		delayed.Seq, delayed.State = 4, rpc.Ready
		node.sendEndpoints(delayed)
		get()
		delayed.Seq = 6
		node.sendEndpoints(delayed)
		get()
		s.section("a new life at its address")
		node.sendEndpoints(rpc.Endpoint{ID: b.ID, State: rpc.Gone})
		b.ID, b.Seq, b.State = "alpha-new", 1, rpc.Ready
		node.sendEndpoints(b)
		get()

		evacuate := func(zone, value string, number uint64) {
			version := rpc.Version{Number: number}
			node.send(committedValue(rpc.Register{Name: "zone/" + zone, Version: version, Value: []byte(value)}))
		}
		s.section("the north is evacuated")
		evacuate("north", "1b", 10)
		get()
		s.section("an older order, and one that is not in force")
		evacuate("north", "0f", 9)
		node.send(
			&rpc.Message{
				RegisterUpdate: rpc.RegisterUpdate{
					CommittedValues: []rpc.Register{{Name: "zone/north", Version: rpc.Version{Number: 11},
						Value: []byte("0f")}},
				},
			},
		)
		get()
		s.section("the south too")
		evacuate("south", "1b", 10)
		get()
		s.section("the north is taken back")
		evacuate("north", "0f", 12)
		get()

		s.section("weights and a level of the controller that steers")
		one := s.addEndpoint("beta", "north1", respondOK)
		two := s.addEndpoint("beta", "north2", respondOK)
		node.send(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true,
			Weights: map[string]float64{one.ID: 0, two.ID: 1}}}})
		for range 3 {
			s.request("GET /beta/ HTTP/1.1")
		}
		node.send(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", HasRateLimit: true, RateLimit: 2}}})
		for range 4 {
			s.request("GET /beta/ HTTP/1.1")
		}
		time.Sleep(time.Second)
		s.section("a second later")
		s.request("GET /beta/ HTTP/1.1")
	})
}

// Guards against a proxy that requests a configuration only from the nearest node, which may not have it or not
// respond, and against a return to an older configuration.
func TestConfigurationFromOthers(t *testing.T) {
	runTranscript(t, 2, func(s *scenario) {
		near, far := s.nodes[0], s.nodes[1]
		first := testConfig{version: 1, routes: bothRoutes("alpha")}
		second := testConfig{version: 2, routes: bothRoutes("beta")}
		third := testConfig{version: 3, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)}
		s.addEndpoint("alpha", "north", respondOK)
		s.addEndpoint("beta", "north", respondOK)
		get := func() {
			s.request("GET /alpha/ HTTP/1.1")
			s.request("GET /beta/ HTTP/1.1")
		}
		s.section("both have the first: the near one is asked")
		far.commitConfig(first)
		near.commitConfig(first)
		get()
		s.section("the far one has the second")
		far.commitConfig(second)
		get()
		s.section("the near one says again that it has the first")
		near.commitConfig(first)
		near.send(committedValue(first.register()))
		get()
		s.section("both have the third, and the near one does not give it")
		near.servesConfig = false
		near.commitConfig(third)
		far.commitConfig(third)
		time.Sleep(2 * time.Second)
		get()
		s.section("a value that is not in force, and one in force that cannot be read")
		fourth := testConfig{version: 4, routes: bothRoutes("alpha")}.register()
		far.send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{CommittedValues: []rpc.Register{fourth}}})
		fourth.Value = []byte("{")
		far.send(committedValue(fourth))
		s.request("GET /beta/ HTTP/1.1")
	})
}

// Guards against clients that are routed to a proxy without the state it needs, or to one that is about to stop, and
// against requests in flight that are cut off by the shutdown.
func TestReadiness(t *testing.T) {
	runTranscript(t, 3, func(s *scenario) {
		logReadiness := func() {
			w := httptest.NewRecorder()
			s.proxy.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.logf("readiness %d", w.Code)
		}
		s.section("controllers are there, and nothing is in force")
		logReadiness()
		s.section("something is")
		s.addEndpoint("alpha", "north", afterDelay(time.Second, respondOK))
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		logReadiness()
		s.section("a client on a connection that stays")
		client := s.newTranscriptClient()
		client.request("GET /alpha/ HTTP/1.1")
		ended := make(chan struct{})
		go func() {
			s.proxy.Shutdown(5 * time.Second)
			close(ended)
		}()
		time.Sleep(10 * time.Millisecond)
		s.section("the end begins")
		logReadiness()
		client.request("GET /alpha/ HTTP/1.1")
		client.request("GET /alpha/ HTTP/1.1")
		s.request("GET /none/ HTTP/1.1")
		time.Sleep(time.Second)
		s.section("one at work when connections are no longer taken, which ends well")
		s.request("GET /alpha/ HTTP/1.1")
		<-ended
		s.request("GET /alpha/ HTTP/1.1")
	})
}

// Guards against a proxy that is ready although a node stores a register value, possibly committed, that the proxy has
// not applied, or before a majority of the voters has reported.
func TestNotReadyTooSoon(t *testing.T) {
	var out string
	synctest.Test(t, func(*testing.T) {
		s := newScenario(3)
		first := testConfig{version: 1, routes: bothRoutes("alpha")}
		for i, node := range s.nodes {
			node.mu.Lock()
			node.config = first.register()
			node.stored = map[string]rpc.Version{"zone/south": {Number: 7}}
			node.endpointsSynced = i == 0
			node.mu.Unlock()
		}
		observe := func(name string) {
			w := httptest.NewRecorder()
			s.proxy.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.logf("%d  %s", w.Code, name)
		}
		observe("before any word")
		time.Sleep(300 * time.Millisecond)
		observe("one of three knows the backends")
		s.nodes[1].send(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
		observe("two do, and hold an evacuation that has not come here")
		evacuation := rpc.Register{Name: "zone/south", Version: rpc.Version{Number: 7}, Value: []byte("1b")}
		s.nodes[1].send(committedValue(evacuation))
		observe("it has")
		out = s.stop()
	})
	autogold.Equal(t, out)
}

// Guards against an error response that waits for the rest of the request body: net/http reads up to 256 KB of it
// before it writes the response head, without a deadline.
func TestErrorResponseDoesNotWaitForBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(1)
		time.Sleep(5 * time.Second)
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		for _, lines := range []string{
			"POST /none/ HTTP/1.1 | Content-Length: 5",                      // 404
			"POST /alpha!/ HTTP/1.1 | Content-Length: 100001",               // 413
			"POST /alpha!/ HTTP/1.1 | " + chunkedEncoding + " | Upgrade: x", // 400
		} {
			began := time.Now()
			s.request(lines, "x")
			if took := time.Since(began); took > time.Second {
				t.Errorf("%s: the response took %v", lines, took)
			}
		}
		client := s.newTranscriptClient()
		client.request("POST /none/ HTTP/1.1 | Content-Length: 5", "x")
		began := time.Now()
		_ = client.conn.SetReadDeadline(time.Now().Add(10 * time.Minute))
		_, err := client.br.ReadByte()
		t.Logf("after %v more: %v", time.Since(began), err)
		_ = s.stop()
	})
}

// Guards against request smuggling: a request with ambiguous length, framing or line ends is rejected or forwarded with
// the proxy's own framing, and an endpoint never receives more requests than clients sent.
func TestNothingIsSmuggled(t *testing.T) {
	runTranscript(t, 1, func(s *scenario) {
		s.nodes[0].commitConfig(testConfig{version: 1, routes: bothRoutes("alpha")})
		s.addEndpoint("alpha", "north", respondOK)
		for _, c := range []struct{ name, lines, body string }{
			{"a length and chunks", "POST /alpha!/ HTTP/1.1 | Content-Length: 4 | " + chunkedEncoding, "3\r\nabc\r\n0\r\n\r\n"},
			{"two lengths", "POST /alpha!/ HTTP/1.1 | Content-Length: 3 | Content-Length: 30", "abc"},
			{"the same length twice", "POST /alpha!/ HTTP/1.1 | Content-Length: 3 | Content-Length: 3", "abc"},
			{"a length with a sign", "POST /alpha!/ HTTP/1.1 | Content-Length: +3", "abc"},
			{"a blank before the colon", "POST /alpha!/ HTTP/1.1 | Content-Length : 3", "abc"},
			{"another coding behind", "POST /alpha!/ HTTP/1.1 | Transfer-Encoding: chunked, identity", "3\r\nabc\r\n0\r\n\r\n"},
			{"a coding in disguise", "POST /alpha!/ HTTP/1.1 | Transfer-Encoding: xchunked", "3\r\nabc\r\n0\r\n\r\n"},
			{"a chunk's size that is none", "POST /alpha!/ HTTP/1.1 | " + chunkedEncoding, "0x3\r\nabc\r\n0\r\n\r\n"},
			{"a field that is folded", "GET /alpha/ HTTP/1.1 | X-One: 1\r\n Content-Length: 3", ""},
			{"a line that ends in CR alone", "GET /alpha/ HTTP/1.1 | X-One: 1\rX-Two: 2", ""},
			{"a blank in the target", "GET /alpha/ /alpha/two HTTP/1.1", ""},
			{"a control byte in the target", "GET /alpha/\x01 HTTP/1.1", ""},
		} {
			s.section(c.name)
			if c.body == "" {
				s.request(c.lines)
			} else {
				s.request(c.lines, c.body)
			}
		}
	})
}
