package shardcalls

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hexops/autogold"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/sharding"
)

// fakeEndpoint answers calls on loopback and keeps what it received.
type fakeEndpoint struct {
	mu       sync.Mutex
	server   *http.Server
	address  string
	received strings.Builder
	conns    int
	status   int
	fields   map[string]string
	delay    time.Duration
}

func startEndpoint(t *testing.T) *fakeEndpoint {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEndpoint{address: listener.Addr().String(), status: http.StatusOK, fields: map[string]string{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			e.do(func() { e.conns++ })
		}
	}}
	go func() { _ = e.server.Serve(listener) }()
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

func (e *fakeEndpoint) do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	fmt.Fprintf(&e.received, "%s %s to %q %s\n", r.Method, r.RequestURI, r.Header.Get(headerTargetInstance), body)
	status, fields, delay := e.status, e.fields, e.delay
	e.mu.Unlock()
	time.Sleep(delay)
	for name, value := range fields {
		w.Header().Set(name, value)
	}
	w.WriteHeader(status)
}

func newClient(mayWrite bool) *Client {
	return &Client{
		Clock:      clockwork.NewRealClock(),
		Dial:       func(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, time.Second) },
		MayWrite:   func() bool { return mayWrite },
		HealthPath: func(service string) string { return "/health-of-" + service },
	}
}

func grantCall(e *fakeEndpoint) sharding.Call {
	return sharding.Call{Kind: sharding.Grant, Service: "s", EndpointID: "i-1", Address: e.address,
		Range: sharding.Range{First: 4096, Last: 8191}, Fence: 12, Hold: 4500 * time.Millisecond, Handoff: "5c0e",
		Timeout: 10 * time.Second}
}

// What is sent is as the endpoints' protocol has it, each call on a connection of its own, and each answer has its
// result.
func TestCalls(t *testing.T) {
	e := startEndpoint(t)
	c := newClient(true)
	var out strings.Builder
	calls := 0
	for _, answer := range []struct {
		status int
		fields map[string]string
	}{
		{http.StatusOK, map[string]string{headerHandoff: "77aa"}},
		{http.StatusConflict, nil},
		{http.StatusBadRequest, nil},
		{http.StatusInternalServerError, nil},
		{http.StatusMisdirectedRequest, map[string]string{headerInstanceID: "i-2"}},
		{http.StatusMisdirectedRequest, map[string]string{headerInstanceID: "i-1"}},
	} {
		e.do(func() { e.status, e.fields = answer.status, answer.fields })
		grant := grantCall(e)
		release, probe := grant, grant
		release.Kind, release.Hold, release.Handoff = sharding.Release, 0, ""
		probe.Kind = sharding.Probe
		for _, call := range []sharding.Call{grant, release, probe} {
			result, handoff := c.Do(call, time.Now())
			calls++
			fmt.Fprintf(&out, "%d %v: kind %d, result %d, handoff %q\n", answer.status, answer.fields, call.Kind, result,
				handoff)
		}
	}
	out.WriteString(e.received.String())
	autogold.Equal(t, out.String())
	e.do(func() {
		if e.conns != calls {
			t.Errorf("%d connections for %d calls", e.conns, calls)
		}
	})
}

// Guards against a grant that arrives although its sender may not act any more: the lease or the time of the call ended
// while the process was suspended, or while the connection came up.
func TestNothingIsWrittenTooLate(t *testing.T) {
	e := startEndpoint(t)
	call := grantCall(e)
	if result, _ := newClient(false).Do(call, time.Now()); result != sharding.NotSent {
		t.Errorf("without the lease: %d", result)
	}
	if result, _ := newClient(true).Do(call, time.Now().Add(-call.Timeout)); result != sharding.NotSent {
		t.Errorf("after its time: %d", result)
	}
	if e.received.Len() > 0 {
		t.Errorf("received %s", e.received.String())
	}
}

// A call without an answer in time counts as one that may have arrived, and its connection is not used again.
func TestUnansweredCall(t *testing.T) {
	e := startEndpoint(t)
	e.delay = 300 * time.Millisecond
	c := newClient(true)
	call := grantCall(e)
	call.Timeout = 30 * time.Millisecond
	if result, _ := c.Do(call, time.Now()); result != sharding.Unanswered {
		t.Errorf("result %d", result)
	}
	call.Timeout = 10 * time.Second
	if result, _ := c.Do(call, time.Now()); result != sharding.Accepted {
		t.Errorf("result %d on a new connection", result)
	}
	e.do(func() {
		if e.conns != 2 {
			t.Errorf("%d connections", e.conns)
		}
	})
	call.Address = "127.0.0.1:1"
	if result, _ := c.Do(call, time.Now()); result != sharding.NotSent {
		t.Errorf("result %d where nobody listens", result)
	}
}

// startSecondAnswerer answers each connection's first call, sends that answer again, and answers nothing after it.
func startSecondAnswerer(t *testing.T, firstAnswer, secondAnswer string) (address string, secondSent <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan struct{}, 16)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, firstAnswer)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, secondAnswer) // fails if the client has closed the connection
		sent <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
	}
	go func() {
		first := true
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !first { // nothing on later connections is answered
				t.Cleanup(func() { _ = conn.Close() })
				continue
			}
			first = false
			go serve(conn)
		}
	}()
	return listener.Addr().String(), sent
}

// Guards against an answer that is taken for that of a later call: a second answer to a grant freed a range that its
// holder still had, and a late answer of an earlier instance counted as the end of the one that followed it.
func TestAnswerOfEarlierCall(t *testing.T) {
	const accepted = "HTTP/1.1 200 OK\r\nX-Elmfold-Handoff: 77aa\r\nContent-Length: 0\r\n\r\n"
	const otherInstance = "HTTP/1.1 421 Misdirected Request\r\nX-Elmfold-Instance-Id: i-0\r\nContent-Length: 0\r\n\r\n"
	for name, second := range map[string]string{"second answer": accepted, "other instance": otherInstance} {
		for _, kind := range []sharding.CallKind{sharding.Release, sharding.Grant, sharding.Probe} {
			t.Run(fmt.Sprintf("%s, kind %d", name, kind), func(t *testing.T) {
				address, secondSent := startSecondAnswerer(t, accepted, second)
				c := newClient(true)
				call := grantCall(&fakeEndpoint{address: address})
				if result, _ := c.Do(call, time.Now()); result != sharding.Accepted {
					t.Fatalf("result %d of the first call", result)
				}
				<-secondSent
				time.Sleep(10 * time.Millisecond) // until the second answer has arrived
				call.Kind, call.Timeout = kind, 100*time.Millisecond
				if result, handoff := c.Do(call, time.Now()); result != sharding.Unanswered || handoff != "" {
					t.Errorf("result %d, handoff %q of a call that was not answered", result, handoff)
				}
			})
		}
	}
}

// Guards against an interim response that is taken for the answer of a call.
func TestInterimResponse(t *testing.T) {
	const answer = "HTTP/1.1 103 Early Hints\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nX-Elmfold-Handoff: 77aa\r\nContent-Length: 0\r\n\r\n"
	address, _ := startSecondAnswerer(t, answer, "")
	call := grantCall(&fakeEndpoint{address: address})
	call.Kind = sharding.Release
	if result, handoff := newClient(true).Do(call, time.Now()); result != sharding.Accepted || handoff != "77aa" {
		t.Errorf("result %d, handoff %q", result, handoff)
	}
}
