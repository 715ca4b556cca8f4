package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hexops/autogold"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy"
	"elmfold/internal/proxy/upstream"
	"elmfold/internal/simulation"
)

// scenario is a proxy between scripted nodes, endpoints and clients, with a transcript of what each of them receives.
type scenario struct {
	net           *simulation.Net
	hosts         []*simulation.Host
	proxy         *proxy.Proxy
	nodes         []*fakeNode
	mu            sync.Mutex
	transcript    strings.Builder
	endpointCount int
	requestCount  int

	receivedBy map[string][]string    // ids of the endpoints that received a whole request, by request id
	executions map[string]int         // number of executions, by request id
	beforeBody map[string]respondFunc // what an endpoint does before it reads a body, by endpoint id
	slowDials  map[string]bool        // addresses to which a connection comes up only after the dialer has given up
}

// newScenario starts control-plane nodes, the first of which is in the zone "north", and a proxy in that zone.
func newScenario(nodeCount int) *scenario {
	s := &scenario{
		receivedBy: map[string][]string{},
		executions: map[string]int{},
		beforeBody: map[string]respondFunc{},
		slowDials:  map[string]bool{},
		net: simulation.NewNet(func(from, to string) time.Duration {
			// Each pair of hosts has its own latency, so that the messages of different nodes always arrive in the same order.
			return 200*time.Microsecond + 10*time.Microsecond*time.Duration(from[len(from)-1]+to[len(to)-1]-2*'0')
		}),
	}
	settings := bootconfig.Default()
	settings.Name, settings.IP, settings.Zone = "edge-0", "10.0.0.100", "north"
	settings.Zones = map[string]string{"north": "land", "south": "land"}
	settings.PortRange, settings.FaultBudget.Machines = [2]int{7540, 7555}, (nodeCount-1)/2
	for i := range nodeCount {
		ip := fmt.Sprintf("10.0.0.%d", 10+i)
		settings.Seeds = append(settings.Seeds, ip+":8544")
		s.nodes = append(s.nodes, &fakeNode{s: s, complete: true, endpointsSynced: true, servesConfig: true,
			incarnation: 1, info: rpc.Node{
				Name: fmt.Sprintf("core-%d", i), Zone: []string{"north", "south"}[i%2], Address: ip + ":7540"}})
	}
	for _, node := range s.nodes {
		node.listen()
	}
	host := s.host("10.0.0.100")
	s.proxy = proxy.New(proxy.Options{Settings: &settings, Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock(),
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
			defer cancel()
			return host.Dial(ctx, address, 0)
		},
		Upstream: upstream.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := host.Dial(ctx, address, 0)
			s.mu.Lock()
			slow := s.slowDials[address]
			s.mu.Unlock()
			if err == nil && slow {
				<-ctx.Done()
				_ = conn.Close()
				return nil, ctx.Err()
			}
			return conn, err
		}}})
	listener, err := host.Listen("10.0.0.100:8548")
	if err != nil {
		panic(err)
	}
	go s.proxy.Run()
	go func() { _ = s.proxy.Serve(listener) }()
	return s
}

func (s *scenario) host(ip string) *simulation.Host {
	s.hosts = append(s.hosts, s.net.Host(ip))
	return s.hosts[len(s.hosts)-1]
}

// stop ends the proxy and all hosts, and returns the transcript.
func (s *scenario) stop() string {
	s.proxy.Shutdown(0)
	for _, h := range s.hosts {
		h.Kill()
	}
	time.Sleep(10 * time.Second)
	return s.transcript.String()
}

func (s *scenario) logf(format string, v ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.transcript, format+"\n", v...)
}

// fakeNode is a scripted control-plane node.
type fakeNode struct {
	s                         *scenario
	info                      rpc.Node
	mu                        sync.Mutex
	conn                      *rpc.Conn
	config                    rpc.Register
	endpoints                 []rpc.Endpoint
	stored                    map[string]rpc.Version // registers it stores besides the configuration
	complete, endpointsSynced bool
	servesConfig              bool // it responds to a request for the configuration
	quorumLost                bool // it reports that it has no quorum contact
	incarnation               uint64
	epoch                     *rpc.Epoch // nil: all nodes are voters
	lastRenewal               uint64     // number of the last renewal received
	tableRequests             int        // consecutive renewals that requested routing tables
	connections               int
}

func (n *fakeNode) listen() {
	l, err := n.s.host(strings.TrimSuffix(n.info.Address, ":7540")).Listen(n.info.Address)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(rpc.NewConn(conn))
		}
	}()
}

func (n *fakeNode) serve(conn *rpc.Conn) {
	defer conn.Close()
	for {
		m, err := conn.Receive(0)
		if err != nil {
			return
		}
		n.mu.Lock()
		if m.Hello != nil {
			n.connections++
			epoch := &rpc.Epoch{Number: 1}
			for _, other := range n.s.nodes {
				epoch.Voters = append(epoch.Voters, rpc.Voter{Node: other.info, StoreID: "store of " + other.info.Name})
			}
			if n.epoch != nil {
				epoch = n.epoch
			}
			first := &rpc.Message{
				Hello:          &rpc.Hello{Node: n.info, Incarnation: n.incarnation},
				Consensus:      rpc.Consensus{Epoch: epoch, Complete: n.complete && !n.quorumLost},
				NoQuorum:       n.quorumLost,
				EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: n.endpointsSynced, Endpoints: n.endpoints},
				RegisterUpdate: rpc.RegisterUpdate{
					StoredVersions:    map[string]rpc.Version{},
					CommittedVersions: map[string]rpc.Version{},
				},
				Lease: rpc.Lease{Proxies: []rpc.ProxyInfo{{Name: "edge-0", Zone: "north"}}},
			}
			for name, version := range n.stored {
				first.StoredVersions[name] = version
			}
			if n.config.Value != nil {
				first.StoredVersions["charter"], first.CommittedVersions["charter"] = n.config.Version, n.config.Version
			}
			conn.Send(first)
			n.conn = conn
		}
		if m.RenewLease > 0 {
			conn.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}, NoQuorum: n.quorumLost})
			if n.lastRenewal = m.RenewLease; m.WantTables {
				n.tableRequests++
			} else {
				n.tableRequests = 0
			}
		}
		for _, name := range m.FetchRegisters {
			if !n.servesConfig {
				n.s.logf("    %s is asked for the %s and says nothing", n.info.Name, name)
				continue
			}
			n.s.logf("    %s is asked for the %s and has version %d", n.info.Name, name, n.config.Version.Number)
			conn.Send(committedValue(n.config))
		}
		if m.ReleaseLease {
			n.s.logf("    %s is given the lease back", n.info.Name)
		}
		n.mu.Unlock()
	}
}

// committedValue returns a message that says that a register value is committed.
func committedValue(r rpc.Register) *rpc.Message {
	return &rpc.Message{
		RegisterUpdate: rpc.RegisterUpdate{
			CommittedValues:   []rpc.Register{r},
			CommittedVersions: map[string]rpc.Version{r.Name: r.Version},
		},
	}
}

// send sends a message to the proxy and waits until the proxy has handled it.
func (n *fakeNode) send(m *rpc.Message) {
	n.mu.Lock()
	if m.RoutingTables != nil && m.LeaseRenewed == 0 { // as nodes do: the renewal after which the tables were computed
		m.LeaseRenewed, m.NoQuorum = n.lastRenewal, n.quorumLost
	}
	if n.conn != nil {
		n.conn.Send(m)
	}
	n.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
}

func (n *fakeNode) sendEndpoints(endpoints ...rpc.Endpoint) {
	n.send(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: endpoints}})
}

// commitConfig sets the committed configuration of a node, and reports its version to the proxy.
func (n *fakeNode) commitConfig(c testConfig) {
	n.mu.Lock()
	n.config = c.register()
	n.mu.Unlock()
	n.send(
		&rpc.Message{
			RegisterUpdate: rpc.RegisterUpdate{CommittedVersions: map[string]rpc.Version{"charter": n.config.Version}},
		},
	)
}

// testConfig is a configuration for the host a.example. Each route is "KIND PREFIX SERVICE".
type testConfig struct {
	version uint32
	limits  string
	routes  []string
	sharded string // the service that is divided by key; empty: none
}

func (c testConfig) register() rpc.Register {
	var rules, pools []string
	for i, r := range c.routes {
		f := strings.Fields(r)
		rules = append(rules, fmt.Sprintf(`{"name":"r-%d","routeKind":%q,"targetS":1,"predicate":{"pathPrefix":%q},`+
			`"effect":{"service":%q,"timeoutS":5,"maxTries":3}}`, i, f[0], f[1], f[2]))
		pool := fmt.Sprintf(`{"name":%q,"maxConns":100,"coldS":0,"coldRateS":4}`, f[2])
		if f[2] == c.sharded {
			pool = strings.Replace(pool, "}", `,"sharded":true}`, 1)
		}
		if !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	if c.limits == "" {
		c.limits = `"maxHeaderBytes":1000,"maxBodyBytes":100000,"headerTimeoutS":3,"idleTimeoutS":15`
	}
	return rpc.Register{Name: "charter", Version: rpc.Version{Number: uint64(c.version), ID: 1},
		Value: fmt.Appendf(nil, `{"generation":"%08x","limits":{%s},"sockets":[{"authority":"a.example",`+
			`"ruleset":[%s]}],"pools":[%s]}`,
			c.version, c.limits, strings.Join(rules, ","), strings.Join(pools, ","))}
}

// bothRoutes returns an idempotent and a non-idempotent route of a service.
func bothRoutes(service string) []string {
	return []string{"safe /" + service + "/ " + service, "unsafe /" + service + "!/ " + service}
}

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct{ id, method string }

// respondFunc handles a request on an endpoint's connection. An error closes the connection.
type respondFunc func(c net.Conn, r receivedRequest) error

// respond responds with a status, header fields and a body. It adds the attempt id and the server seal.
func respond(status int, fields string, body string) respondFunc {
	if fields != "" {
		fields += "\r\n"
	}
	return func(c net.Conn, r receivedRequest) error {
		head := fmt.Sprintf("HTTP/1.1 %d Some Words\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Server-Seal: s.%s\r\n%s"+
			"Content-Length: %d\r\n\r\n", status, r.id, r.id, fields, len(body))
		if r.method != "HEAD" {
			head += body
		}
		_, err := io.WriteString(c, head)
		return err
	}
}

var respondOK = respond(200, "", "fine")

// respondRaw writes text, in which ID stands for the attempt id.
func respondRaw(text string) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.id))
		return err
	}
}

// respondAndClose writes text like respondRaw and closes the connection.
func respondAndClose(text string) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		_ = respondRaw(text)(c, r)
		return io.ErrClosedPipe
	}
}

func afterDelay(span time.Duration, then respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		time.Sleep(span)
		return then(c, r)
	}
}

// refuseConnections stands for an endpoint at whose address nothing listens.
var refuseConnections respondFunc

// addEndpoint starts an endpoint that handles each request with do, and reports it from all nodes. The proxy prefers
// the endpoint of a service in the north; those in the south follow in turn.
func (s *scenario) addEndpoint(service, zone string, do respondFunc) rpc.Endpoint {
	s.endpointCount++
	endpoint := rpc.Endpoint{ID: service + "-" + zone, Service: service, Zone: strings.TrimRight(zone, "12"),
		Capacity: 4, Seq: 1, Address: fmt.Sprintf("10.0.1.%d:8080", s.endpointCount), DirectHeartbeats: true}
	if do != nil {
		l, err := s.host(fmt.Sprintf("10.0.1.%d", s.endpointCount)).Listen(endpoint.Address)
		if err != nil {
			panic(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c, endpoint.ID, do)
			}
		}()
	}
	for _, node := range s.nodes {
		node.mu.Lock()
		node.endpoints = append(node.endpoints, endpoint)
		node.mu.Unlock()
		node.sendEndpoints(endpoint)
	}
	return endpoint
}

// serve parses requests without net/http, so that the transcript shows them as they arrived. Only their header fields
// are sorted, because their order is arbitrary.
func (s *scenario) serve(c net.Conn, id string, do respondFunc) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		var fields []string
		r := receivedRequest{method: strings.Fields(line)[0]}
		length, chunked := 0, false
		for {
			f, err := br.ReadString('\n')
			if err != nil {
				return
			}
			if f = strings.TrimSpace(f); f == "" {
				break
			}
			fields = append(fields, f)
			switch name, v, _ := strings.Cut(f, ": "); name {
			case "X-Elmfold-Attempt-Id":
				r.id = v
			case "Content-Length":
				length, _ = strconv.Atoi(v)
			case "Transfer-Encoding":
				chunked = true
			}
		}
		slices.Sort(fields)
		s.logf("    %s < %s | %s", id, strings.TrimSpace(line), strings.Join(fields, " | "))
		s.mu.Lock()
		beforeBody := s.beforeBody[id]
		s.mu.Unlock()
		if beforeBody != nil && beforeBody(c, r) != nil {
			return
		}
		body, end := make([]byte, length), ""
		if _, err = io.ReadFull(br, body); chunked {
			body, err = io.ReadAll(newChunkedReader(br))
		}
		if err != nil {
			end = ", then it ends"
		}
		if length > 0 || chunked {
			s.logf("        %s%s", summarizeBody(body), end)
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		s.receivedBy[r.id] = append(s.receivedBy[r.id], id)
		s.mu.Unlock()
		if do(c, r) != nil {
			return
		}
	}
}

// newChunkedReader returns a reader of a chunked body, which also consumes the empty trailer.
func newChunkedReader(br *bufio.Reader) io.Reader {
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
		strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), byteReader{br})), nil)
	if err != nil {
		panic(err)
	}
	return resp.Body
}

// byteReader returns one byte per read, so that a buffered reader on top of it takes no bytes of what follows.
type byteReader struct{ br *bufio.Reader }

func (o byteReader) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c, err := o.br.ReadByte()
	if err != nil {
		return 0, err
	}
	b[0] = c
	return 1, nil
}

// summarizeBody formats a body for the transcript.
func summarizeBody(b []byte) string {
	if len(b) <= 60 {
		return fmt.Sprintf("%q", b)
	}
	h := fnv.New32a()
	_, _ = h.Write(b)
	return fmt.Sprintf("%d bytes, sum %08x", len(b), h.Sum32())
}

// transcriptClient is a client connection whose traffic is part of the transcript.
type transcriptClient struct {
	s    *scenario
	conn net.Conn
	br   *bufio.Reader
}

func (s *scenario) newTranscriptClient() *transcriptClient {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.host("10.0.9.1").Dial(ctx, "10.0.0.100:8548", 0)
	if err != nil {
		s.logf("client: no connection comes up")
		return nil
	}
	return &transcriptClient{s: s, conn: conn, br: bufio.NewReader(conn)}
}

var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// request sends a request and records the response. " | " separates the lines of its head; the parts of the body are
// sent 300 ms after one another.
func (c *transcriptClient) request(lines string, parts ...string) {
	if c == nil {
		return
	}
	lines = strings.ReplaceAll(lines, " | ", "\r\n")
	method, _, _ := strings.Cut(lines, " ")
	if !strings.Contains(lines, "Host: ") {
		lines += "\r\nHost: a.example"
	}
	if !strings.Contains(lines, "Attempt-Id") {
		c.s.requestCount++
		lines += fmt.Sprintf("\r\nX-Elmfold-Attempt-Id: t%d", c.s.requestCount)
	}
	shown := strings.ReplaceAll(lines, "\r\n", " | ")
	if len(shown) > 400 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:120], len(shown))
	}
	c.s.logf("client > %s", shown)
	if _, err := io.WriteString(c.conn, lines+"\r\n\r\n"); err != nil {
		c.s.logf("client < broken off")
		return
	}
	go func() {
		for i, p := range parts {
			if i > 0 {
				time.Sleep(300 * time.Millisecond)
			}
			_, _ = io.WriteString(c.conn, p)
		}
	}()
	c.readResponse(method)
}

func (c *transcriptClient) readResponse(method string) {
	_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second)) // a missing response must not block the test
	var head bytes.Buffer
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		line, err := c.br.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.s.logf("client < nothing within 30 s\n")
			return
		}
		if err != nil {
			c.s.logf("client < closed%s\n", map[bool]string{true: " within the head"}[head.Len() > 0])
			return
		}
		head.WriteString(line)
	}
	text := dateHeader.ReplaceAllString(strings.TrimSuffix(head.String(), "\r\n\r\n")+"\r\n", "")
	c.s.logf("client < %s", strings.ReplaceAll(strings.TrimSuffix(text, "\r\n"), "\r\n", " | "))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, byteReader{c.br})), &http.Request{Method: method})
	if err != nil {
		c.s.logf("        %v\n", err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.s.logf("        %s, then it breaks off: %v\n", summarizeBody(body), err)
	case len(body) > 0:
		c.s.logf("        %s\n", summarizeBody(body))
	default:
		c.s.logf("")
	}
}

// request sends a request on a new connection.
func (s *scenario) request(lines string, parts ...string) {
	if c := s.newTranscriptClient(); c != nil {
		c.request(lines, parts...)
		_ = c.conn.Close()
	}
}

// section starts a section of the transcript.
func (s *scenario) section(format string, v ...any) { s.logf("-- "+format, v...) }

// runTranscript compares the transcript of a scenario with the golden file. It waits first, so that the proxy's retry
// budget grows.
func runTranscript(t *testing.T, nodeCount int, f func(s *scenario)) {
	t.Helper()
	var out string
	synctest.Test(t, func(*testing.T) {
		s := newScenario(nodeCount)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(s)
		out = s.stop()
		s.checkInvariants(t)
	})
	autogold.Equal(t, out)
}

// checkInvariants checks the invariants of which the proxy counts violations.
func (s *scenario) checkInvariants(t *testing.T) {
	t.Helper()
	if n := s.proxy.Violations(); n != 0 {
		t.Errorf("the proxy counts %d violations of its invariants", n)
	}
}

const chunkedEncoding = "Transfer-Encoding: chunked"

func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

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
