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

// stage is one carrier between scripted controllers, backends and clients, and the transcript of what each of them saw.
type stage struct {
	net     *simulation.Net
	hosts   []*simulation.Host
	carrier *proxy.Proxy
	cores   []*core
	mu      sync.Mutex
	out     strings.Builder
	lives   int // backends
	asked   int // requests

	came  map[string][]string // the backends where a request arrived whole, by its id
	ran   map[string]int      // how often one was worked at
	eager map[string]act      // what a backend does before it has read the body, by its id
	slow  map[string]bool     // addresses where a connection comes up after the dialler has given it up
}

// enter starts a carrier in the zone "north" and its controllers, the first of which is in that zone too.
func enter(cores int) *stage {
	s := &stage{
		came:  map[string][]string{},
		ran:   map[string]int{},
		eager: map[string]act{},
		slow:  map[string]bool{},
		net: simulation.NewNet(func(from, to string) time.Duration {
			// Nothing of two controllers is under way for equally long, so that its order is always the same.
			return 200*time.Microsecond + 10*time.Microsecond*time.Duration(from[len(from)-1]+to[len(to)-1]-2*'0')
		}),
	}
	set := bootconfig.Default()
	set.Name, set.IP, set.Zone = "edge-0", "10.0.0.100", "north"
	set.Zones = map[string]string{"north": "land", "south": "land"}
	set.PortRange, set.FaultBudget.Machines = [2]int{7540, 7555}, (cores-1)/2
	for i := range cores {
		ip := fmt.Sprintf("10.0.0.%d", 10+i)
		set.Seeds = append(set.Seeds, ip+":8544")
		s.cores = append(s.cores, &core{s: s, all: true, settled: true, answers: true, life: 1, who: rpc.Node{
			Name: fmt.Sprintf("core-%d", i), Zone: []string{"north", "south"}[i%2], Address: ip + ":7540"}})
	}
	for _, k := range s.cores {
		k.begin()
	}
	host := s.host("10.0.0.100")
	s.carrier = proxy.New(proxy.Options{Settings: &set, Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock(),
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
			defer cancel()
			return host.Dial(ctx, address, 0)
		},
		Upstream: upstream.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := host.Dial(ctx, address, 0)
			s.mu.Lock()
			slow := s.slow[address]
			s.mu.Unlock()
			if err == nil && slow {
				<-ctx.Done()
				_ = conn.Close()
				return nil, ctx.Err()
			}
			return conn, err
		}}})
	front, err := host.Listen("10.0.0.100:8548")
	if err != nil {
		panic(err)
	}
	go s.carrier.Run()
	go func() { _ = s.carrier.Serve(front) }()
	return s
}

func (s *stage) host(ip string) *simulation.Host {
	s.hosts = append(s.hosts, s.net.Host(ip))
	return s.hosts[len(s.hosts)-1]
}

// end stops all of it and returns the transcript.
func (s *stage) end() string {
	s.carrier.Shutdown(0)
	for _, h := range s.hosts {
		h.Kill()
	}
	time.Sleep(10 * time.Second)
	return s.out.String()
}

func (s *stage) note(format string, v ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.out, format+"\n", v...)
}

// core is a scripted controller.
type core struct {
	s            *stage
	who          rpc.Node
	mu           sync.Mutex
	line         *rpc.Conn
	charter      rpc.Register
	backends     []rpc.Endpoint
	held         map[string]rpc.Version // beside the configuration
	all, settled bool
	answers      bool // it gives the configuration when it is asked
	apart        bool // it says that it has no contact with a majority
	life         uint64
	epoch        *rpc.Epoch // nil: all that were begun vote
	renewed      uint64     // the last renewal
	steers       int        // renewals, one after the other, that wanted its tables
	hellos       int        // lines
}

func (k *core) begin() {
	l, err := k.s.host(strings.TrimSuffix(k.who.Address, ":7540")).Listen(k.who.Address)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(rpc.NewConn(conn))
		}
	}()
}

func (k *core) serve(line *rpc.Conn) {
	defer line.Close()
	for {
		m, err := line.Receive(0)
		if err != nil {
			return
		}
		k.mu.Lock()
		if m.Hello != nil {
			k.hellos++
			epoch := &rpc.Epoch{Number: 1}
			for _, other := range k.s.cores {
				epoch.Voters = append(epoch.Voters, rpc.Voter{Node: other.who, StoreID: "disk of " + other.who.Name})
			}
			if k.epoch != nil {
				epoch = k.epoch
			}
			first := &rpc.Message{
				Hello:          &rpc.Hello{Node: k.who, Incarnation: k.life},
				Consensus:      rpc.Consensus{Epoch: epoch, Complete: k.all && !k.apart},
				NoQuorum:       k.apart,
				EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: k.settled, Endpoints: k.backends},
				RegisterUpdate: rpc.RegisterUpdate{
					StoredVersions:    map[string]rpc.Version{},
					CommittedVersions: map[string]rpc.Version{},
				},
				Lease: rpc.Lease{Proxies: []rpc.ProxyInfo{{Name: "edge-0", Zone: "north"}}},
			}
			for name, stamp := range k.held {
				first.StoredVersions[name] = stamp
			}
			if k.charter.Value != nil {
				first.StoredVersions["charter"], first.CommittedVersions["charter"] = k.charter.Version, k.charter.Version
			}
			line.Send(first)
			k.line = line
		}
		if m.RenewLease > 0 {
			line.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}, NoQuorum: k.apart})
			if k.renewed = m.RenewLease; m.WantTables {
				k.steers++
			} else {
				k.steers = 0
			}
		}
		for _, name := range m.FetchRegisters {
			if !k.answers {
				k.s.note("    %s is asked for the %s and says nothing", k.who.Name, name)
				continue
			}
			k.s.note("    %s is asked for the %s and has version %d", k.who.Name, name, k.charter.Version.Number)
			line.Send(offer(k.charter))
		}
		if m.ReleaseLease {
			k.s.note("    %s is given the lease back", k.who.Name)
		}
		k.mu.Unlock()
	}
}

// offer is the word that a value is in force.
func offer(r rpc.Register) *rpc.Message {
	return &rpc.Message{
		RegisterUpdate: rpc.RegisterUpdate{
			CommittedValues:   []rpc.Register{r},
			CommittedVersions: map[string]rpc.Version{r.Name: r.Version},
		},
	}
}

// tell says something to the carrier, which has acted on it when this returns.
func (k *core) tell(m *rpc.Message) {
	k.mu.Lock()
	if m.RoutingTables != nil && m.LeaseRenewed == 0 { // as they say it: the renewal that they were worked out after
		m.LeaseRenewed, m.NoQuorum = k.renewed, k.apart
	}
	if k.line != nil {
		k.line.Send(m)
	}
	k.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
}

func (k *core) word(b ...rpc.Endpoint) {
	k.tell(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: b}})
}

// has lets a controller have a configuration in force, and say so.
func (k *core) has(c conf) {
	k.mu.Lock()
	k.charter = c.register()
	k.mu.Unlock()
	k.tell(
		&rpc.Message{
			RegisterUpdate: rpc.RegisterUpdate{CommittedVersions: map[string]rpc.Version{"charter": k.charter.Version}},
		},
	)
}

// conf is a configuration: routes "KIND PREFIX SERVICE" of the host a.example.
type conf struct {
	version uint32
	limits  string
	routes  []string
}

func (c conf) register() rpc.Register {
	var rules, pools []string
	for i, r := range c.routes {
		f := strings.Fields(r)
		rules = append(rules, fmt.Sprintf(`{"name":"r-%d","routeKind":%q,"targetS":1,"predicate":{"pathPrefix":%q},`+
			`"effect":{"service":%q,"timeoutS":5,"maxTries":3}}`, i, f[0], f[1], f[2]))
		if pool := fmt.Sprintf(`{"name":%q,"maxConns":100,"coldS":0,"coldRateS":4}`, f[2]); !slices.Contains(pools, pool) {
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

// both are a repeatable and an unrepeatable route of a service.
func both(service string) []string {
	return []string{"safe /" + service + "/ " + service, "unsafe /" + service + "!/ " + service}
}

// seen is a request as it arrived at a backend.
type seen struct{ id, method string }

// act is what a backend does with a request on its connection; after an error it closes that.
type act func(c net.Conn, r seen) error

// say answers with a status, fields and a body of some length; the seal and the id are added.
func say(status int, fields string, body string) act {
	if fields != "" {
		fields += "\r\n"
	}
	return func(c net.Conn, r seen) error {
		head := fmt.Sprintf("HTTP/1.1 %d Some Words\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Server-Seal: s.%s\r\n%s"+
			"Content-Length: %d\r\n\r\n", status, r.id, r.id, fields, len(body))
		if r.method != "HEAD" {
			head += body
		}
		_, err := io.WriteString(c, head)
		return err
	}
}

var ok = say(200, "", "fine")

// raw sends bytes; cut does so and closes the connection.
func raw(text string) act {
	return func(c net.Conn, r seen) error {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.id))
		return err
	}
}

func cut(text string) act {
	return func(c net.Conn, r seen) error {
		_ = raw(text)(c, r)
		return io.ErrClosedPipe
	}
}

func late(span time.Duration, then act) act {
	return func(c net.Conn, r seen) error {
		time.Sleep(span)
		return then(c, r)
	}
}

// nobody: the address refuses connections.
var nobody act

// backend starts one that does this with each request, and lets all controllers tell of it. Of those of a service, one
// in the north is asked first, those of the south one after the other.
func (s *stage) backend(service, zone string, do act) rpc.Endpoint {
	s.lives++
	b := rpc.Endpoint{ID: fmt.Sprintf("%s-%s", service, zone), Service: service, Zone: strings.TrimRight(zone, "12"),
		Capacity: 4, Seq: 1, Address: fmt.Sprintf("10.0.1.%d:8080", s.lives), Live: true}
	if do != nil {
		l, err := s.host(fmt.Sprintf("10.0.1.%d", s.lives)).Listen(b.Address)
		if err != nil {
			panic(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c, b.ID, do)
			}
		}()
	}
	for _, k := range s.cores {
		k.mu.Lock()
		k.backends = append(k.backends, b)
		k.mu.Unlock()
		k.word(b)
	}
	return b
}

// serve reads requests by hand: what arrived is shown as it came, but for the order of its fields, which is free.
func (s *stage) serve(c net.Conn, id string, do act) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		var fields []string
		r := seen{method: strings.Fields(line)[0]}
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
		s.note("    %s < %s | %s", id, strings.TrimSpace(line), strings.Join(fields, " | "))
		s.mu.Lock()
		eager := s.eager[id]
		s.mu.Unlock()
		if eager != nil && eager(c, r) != nil {
			return
		}
		body, end := make([]byte, length), ""
		if _, err = io.ReadFull(br, body); chunked {
			body, err = io.ReadAll(unchunked(br))
		}
		if err != nil {
			end = ", then it ends"
		}
		if length > 0 || chunked {
			s.note("        %s%s", short(body), end)
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		s.came[r.id] = append(s.came[r.id], id)
		s.mu.Unlock()
		if do(c, r) != nil {
			return
		}
	}
}

// unchunked reads a chunked body to its end, the empty trailer too.
func unchunked(br *bufio.Reader) io.Reader {
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
		strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), oneByOne{br})), nil)
	if err != nil {
		panic(err)
	}
	return resp.Body
}

// oneByOne hands out a byte at a time, so that no reader on top of it takes bytes of what follows.
type oneByOne struct{ br *bufio.Reader }

func (o oneByOne) Read(b []byte) (int, error) {
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

// short is a body in the transcript.
func short(b []byte) string {
	if len(b) <= 60 {
		return fmt.Sprintf("%q", b)
	}
	h := fnv.New32a()
	_, _ = h.Write(b)
	return fmt.Sprintf("%d bytes, sum %08x", len(b), h.Sum32())
}

// client is one connection of a client.
type client struct {
	s    *stage
	conn net.Conn
	br   *bufio.Reader
}

func (s *stage) client() *client {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.host("10.0.9.1").Dial(ctx, "10.0.0.100:8548", 0)
	if err != nil {
		s.note("client: no connection comes up")
		return nil
	}
	return &client{s: s, conn: conn, br: bufio.NewReader(conn)}
}

var (
	date = regexp.MustCompile(`Date: [^\r]*\r\n`)
)

// ask sends a request whose lines are given, and writes down what comes back; parts are sent 300 ms after one another.
func (c *client) ask(lines string, parts ...string) {
	if c == nil {
		return
	}
	lines = strings.ReplaceAll(lines, " | ", "\r\n")
	method, _, _ := strings.Cut(lines, " ")
	if !strings.Contains(lines, "Host: ") {
		lines += "\r\nHost: a.example"
	}
	if !strings.Contains(lines, "Attempt-Id") {
		c.s.asked++
		lines += fmt.Sprintf("\r\nX-Elmfold-Attempt-Id: t%d", c.s.asked)
	}
	shown := strings.ReplaceAll(lines, "\r\n", " | ")
	if len(shown) > 400 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:120], len(shown))
	}
	c.s.note("client > %s", shown)
	if _, err := io.WriteString(c.conn, lines+"\r\n\r\n"); err != nil {
		c.s.note("client < broken off")
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
	c.answer(method)
}

func (c *client) answer(method string) {
	_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second)) // what is never answered fails the test, not its run
	var head bytes.Buffer
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		line, err := c.br.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.s.note("client < nothing within 30 s\n")
			return
		}
		if err != nil {
			c.s.note("client < closed%s\n", map[bool]string{true: " within the head"}[head.Len() > 0])
			return
		}
		head.WriteString(line)
	}
	text := date.ReplaceAllString(strings.TrimSuffix(head.String(), "\r\n\r\n")+"\r\n", "")
	c.s.note("client < %s", strings.ReplaceAll(strings.TrimSuffix(text, "\r\n"), "\r\n", " | "))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, oneByOne{c.br})), &http.Request{Method: method})
	if err != nil {
		c.s.note("        %v\n", err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.s.note("        %s, then it breaks off: %v\n", short(body), err)
	case len(body) > 0:
		c.s.note("        %s\n", short(body))
	default:
		c.s.note("")
	}
}

// ask does so on a connection of its own.
func (s *stage) ask(lines string, parts ...string) {
	if c := s.client(); c != nil {
		c.ask(lines, parts...)
		_ = c.conn.Close()
	}
}

func (s *stage) part(format string, v ...any) { s.note("-- "+format, v...) }

// play is one transcript; the virtual seconds before it let the carrier's share of further tries grow.
func play(t *testing.T, cores int, f func(s *stage)) {
	t.Helper()
	var out string
	synctest.Test(t, func(*testing.T) {
		s := enter(cores)
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f(s)
		out = s.end()
		s.sound(t)
	})
	autogold.Equal(t, out)
}

// sound holds the proxy against the invariants that it checks itself.
func (s *stage) sound(t *testing.T) {
	t.Helper()
	if n := s.carrier.Violations(); n != 0 {
		t.Errorf("the proxy counts %d violations of its invariants", n)
	}
}

const chunks = "Transfer-Encoding: chunked"

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// From the client's bytes to the backend's and back. Guards against a request that is changed on its way (UNASKED): a
// path that is cleaned, a query that is parsed, a body under another length; against fields of one connection that
// leak into another; and against limits that do not hold.
func TestPassesOn(t *testing.T) {
	play(t, 1, func(s *stage) {
		s.part("no configuration is known")
		s.ask("GET /alpha/ HTTP/1.1")
		c := conf{version: 1, routes: both("alpha")}
		s.cores[0].has(c)
		s.part("no backend is known")
		s.ask("GET /alpha/ HTTP/1.1")
		s.backend("alpha", "north", ok)
		s.part("routes")
		s.ask("GET /alpha/x HTTP/1.1")
		s.ask("GET /alpha HTTP/1.1")
		s.ask("GET /alpha/ HTTP/1.1 | Host: b.example")
		s.ask("GET /alpha/ HTTP/1.1 | Host: A.Example:8080")
		s.ask("GET http://a.example/alpha/absolute?q HTTP/1.1")
		s.ask("OPTIONS * HTTP/1.1")
		s.part("the target's bytes")
		for _, target := range []string{"//a//b/", "a%2fb%2Fc%20d", "./../x/.", "a;b=c;d?e;f", "?", "??a=b&a=b&&=%zz&+",
			"x?u=http://a/b#c", `q"<>|^`} {
			s.ask("GET /alpha/" + strings.ReplaceAll(target, "|", "%7C") + " HTTP/1.1")
		}
		s.part("fields of one connection, and those of the system itself")
		s.ask("GET /alpha/ HTTP/1.1 | Connection: close, X-One | X-One: 1 | X-Two: 2 | X-Two: again | Keep-Alive: timeout=9" +
			" | TE: trailers | Proxy-Connection: keep-alive | Proxy-Authorization: secret | Cookie: a=b" +
			" | Accept-Encoding: identity | X-Elmfold-Target-Instance: i-other")
		s.ask("GET /alpha/ HTTP/1.1 | Upgrade: websocket | Connection: Upgrade")
		s.part("bodies")
		s.ask("POST /alpha!/ HTTP/1.1 | Content-Length: 5", "hello")
		s.ask("POST /alpha!/ HTTP/1.1 | Content-Length: 0")
		s.ask("DELETE /alpha!/ HTTP/1.1")
		s.ask("POST /alpha!/ HTTP/1.1 | "+chunks, chunked("hello ")+chunked("world"), "0\r\n\r\n")
		s.ask("PATCH /alpha!/ HTTP/1.1 | Content-Type: text/odd | Content-Length: 100000",
			strings.Repeat("0123456789", 10000))
		s.ask("GET /alpha/ HTTP/1.1 | Content-Length: 3", "abc")
		s.ask("HEAD /alpha/ HTTP/1.1")
		s.part("limits")
		s.ask("POST /alpha!/ HTTP/1.1 | Content-Length: 100001", strings.Repeat("x", 100001))
		s.ask("POST /alpha!/ HTTP/1.1 | "+chunks, chunked(strings.Repeat("x", 100001)))
		s.ask("GET /alpha/ HTTP/1.1 | X-Long: " + strings.Repeat("x", 1000))
		c.version, c.limits = 2, `"maxHeaderBytes":2000,"maxBodyBytes":400000`
		s.cores[0].has(c)
		s.part("a configuration with others: the body is more than is held, and flows")
		s.ask("GET /alpha/ HTTP/1.1 | X-Long: " + strings.Repeat("x", 1000))
		s.ask("POST /alpha!/ HTTP/1.1 | Content-Length: 400000", strings.Repeat("0123456789", 40000))
		s.ask("POST /alpha!/ HTTP/1.1 | "+chunks, chunked(strings.Repeat("0123456789", 39000)), "0\r\n\r\n")
		s.part("the time: less by what has passed, and never more than the route's")
		s.ask("GET /alpha/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 800")
		s.ask("POST /alpha!/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 800 | Content-Length: 3", "a", "bc")
		s.ask("POST /alpha!/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 500 | Content-Length: 3", "a", "b", "c")
		for _, odd := range []string{"60000", "0.7", "-5", "soon"} {
			s.ask("GET /alpha/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: " + odd)
		}
	})
}

// What becomes of a request that fails at a backend. Guards against a request that may run once only being sent again
// (TWICE) or being promised not to have run (REFUSED), and against one that may be repeated being lost for nothing.
func TestFurtherTries(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	failed, busy := say(500, "", "it failed"), say(503, "", "busy")
	turned := say(503, "X-Elmfold-Not-Executed: full", "full")
	cases := []struct {
		name          string
		first, second act
		kinds         string
	}{
		{"an answer that is cut short", cut(answer + "Content-Length: 50\r\n\r\nhalf"), ok, "su"},
		{"no answer", cut(""), ok, "su"},
		{"no answer, after some time", late(200*time.Millisecond, cut("")), ok, "s"},
		{"bytes that are no answer", raw("What?\r\n\r\n"), ok, "su"},
		{"an answer to another request",
			cut(strings.Replace(answer, "ID", "other", 1) + "Content-Length: 2\r\n\r\nno"), ok, "su"},
		{"a success without a seal",
			raw("HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nno"), ok, "su"},
		{"a Content-Encoding", say(200, "Content-Encoding: gzip", "zipped"), ok, "su"},
		{"the backend's own 500", failed, ok, "su"},
		{"the backend's own 500, twice", failed, failed, "s"},
		{"its own 503 without a word that it did not run", busy, ok, "su"},
		{"its own 503 and no other", busy, busy, "s"},
		{"its own 429", say(429, "Retry-After: 3", "slower"), ok, "su"},
		{"a word that it did not run", turned, ok, "su"},
		{"the same twice", turned, turned, "su"},
		{"421", say(421, "", "not me"), ok, "su"},
		{"nobody listens", nobody, ok, "su"},
		{"nobody listens at either", nobody, nobody, "u"},
		{"nobody listens, and the next breaks off", nobody, cut(""), "u"},
		{"one breaks off, and nobody listens at the next", cut(""), nobody, "s"},
		{"one breaks off, and the next did not run it", cut(""), turned, "s"},
		{"one did not run it, and the next breaks off", turned, cut(""), "u"},
		{"404 of its own", say(404, "", "not here"), ok, "u"},
	}
	play(t, 1, func(s *stage) {
		c := conf{version: 1}
		for i := range cases {
			c.routes = append(c.routes, both(fmt.Sprintf("c%d", i))...)
			c.routes = append(c.routes, both(fmt.Sprintf("c%du", i))...)
		}
		s.cores[0].has(c)
		for i, k := range cases {
			for _, kind := range k.kinds {
				service := fmt.Sprintf("c%d", i)
				if kind == 's' {
					s.part("%s; repeatable", k.name)
					s.backend(service, "north", k.first)
					s.backend(service, "south", k.second)
					s.ask("GET /" + service + "/ HTTP/1.1 | X-Elmfold-Time-Budget-Ms: 4000")
					continue
				}
				service += "u" // what was met by the one above stays out of it
				s.part("%s; once only", k.name)
				s.backend(service, "north", k.first)
				s.backend(service, "south", k.second)
				s.ask("POST /"+service+"!/ HTTP/1.1 | Content-Length: 2", "hi")
			}
		}
	})
}

// Answers. Guards against one that was cut short looking whole (MIXED), against fields of the backend's connection
// reaching the client, and against a client that is told nothing of how long its connection stays.
func TestAnswers(t *testing.T) {
	large := strings.Repeat("0123456789", 20000)
	const head = "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n"
	pieces := strings.Repeat(chunked(large[:50000]), 4)
	play(t, 1, func(s *stage) {
		c := conf{version: 1}
		acts := []struct {
			name string
			do   act
		}{
			{"fields of the connection", say(201, "Connection: close, X-One\r\nX-One: 1\r\nX-Two: 2\r\n"+
				"Set-Cookie: a\r\nSet-Cookie: b\r\nKeep-Alive: timeout=2\r\nServer: s", "made")},
			{"no content", raw("HTTP/1.1 204 No Content\r\nX-Elmfold-Attempt-Id: ID\r\nX-Elmfold-Server-Seal: s\r\n\r\n")},
			{"chunks", raw(head + "Transfer-Encoding: chunked\r\n\r\n" + chunked("one ") + chunked("two") + "0\r\n\r\n")},
			{"a large body", say(200, "", large)},
			{"a large body in chunks", raw(head + "Transfer-Encoding: chunked\r\n\r\n" + pieces + "0\r\n\r\n")},
			{"a large body that breaks off", cut(head + "Content-Length: 200000\r\n\r\n" + large[:150000])},
			{"a large body in chunks that breaks off", cut(head + "Transfer-Encoding: chunked\r\n\r\n" + pieces)},
			{"no length at all", cut(head + "\r\nall until the end")},
			{"a redirection", say(302, "Location: http://b.example/", "")},
			{"nothing in time", late(7*time.Second, ok)},
		}
		for i := range acts {
			c.routes = append(c.routes, "unsafe "+fmt.Sprintf("/a%d/ a%d", i, i))
		}
		s.cores[0].has(c)
		for i, a := range acts {
			s.part("%s", a.name)
			s.backend(fmt.Sprintf("a%d", i), "north", a.do)
			s.ask(fmt.Sprintf("GET /a%d/ HTTP/1.1", i))
		}
		s.part("one connection for several requests, until it was idle for too long")
		k := s.client()
		k.ask("GET /a8/ HTTP/1.1")
		k.ask("GET /none/ HTTP/1.1")
		k.ask("GET /a3/ HTTP/1.1")
		began := time.Now()
		k.answer("GET")
		s.note("it was closed after %v", time.Since(began).Round(time.Second))
		s.part("a head that does not end")
		k = s.client()
		began = time.Now()
		_, _ = io.WriteString(k.conn, "GET /a8/ HTTP/1.1\r\nHost:")
		k.answer("GET")
		s.note("it was closed after %v", time.Since(began).Round(time.Second))
		c.version, c.limits = 2, `"idleTimeoutS":2`
		s.cores[0].has(c)
		s.part("the idle time is short: nothing is said of it")
		s.ask("GET /a8/ HTTP/1.1")
	})
}

// What controllers say holds from that moment. Guards against requests to a backend that leaves (DRAIN) or whose zone
// is emptied (EVAC), against late words that bring one back, and against a level that does not hold.
func TestWords(t *testing.T) {
	play(t, 1, func(s *stage) {
		k := s.cores[0]
		k.has(conf{version: 1, routes: append(both("alpha"), both("beta")...)})
		b := s.backend("alpha", "north", ok)
		ask := func() { s.ask("GET /alpha/ HTTP/1.1") }
		ask()
		s.backend("alpha", "south", ok)
		s.part("the one of the own zone first")
		ask()
		s.part("it drains")
		b.Seq, b.State = 5, rpc.Draining
		k.word(b)
		ask()
		s.part("late words that it is ready")
		late := b
		late.Seq, late.State = 4, rpc.Ready
		k.word(late)
		ask()
		late.Seq = 6
		k.word(late)
		ask()
		s.part("a new life at its address")
		k.word(rpc.Endpoint{ID: b.ID, State: rpc.Gone})
		b.ID, b.Seq, b.State = "alpha-new", 1, rpc.Ready
		k.word(b)
		ask()

		evacuate := func(zone, value string, stamp uint64) {
			k.tell(offer(rpc.Register{Name: "zone/" + zone, Version: rpc.Version{Number: stamp}, Value: []byte(value)}))
		}
		s.part("the north is evacuated")
		evacuate("north", "1b", 10)
		ask()
		s.part("an older order, and one that is not in force")
		evacuate("north", "0f", 9)
		k.tell(
			&rpc.Message{
				RegisterUpdate: rpc.RegisterUpdate{
					CommittedValues: []rpc.Register{{Name: "zone/north", Version: rpc.Version{Number: 11},
						Value: []byte("0f")}},
				},
			},
		)
		ask()
		s.part("the south too")
		evacuate("south", "1b", 10)
		ask()
		s.part("the north is taken back")
		evacuate("north", "0f", 12)
		ask()

		s.part("weights and a level of the controller that steers")
		one := s.backend("beta", "north1", ok)
		two := s.backend("beta", "north2", ok)
		k.tell(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true,
			Weights: map[string]float64{one.ID: 0, two.ID: 1}}}})
		for range 3 {
			s.ask("GET /beta/ HTTP/1.1")
		}
		k.tell(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Limited: true, RateLimit: 2}}})
		for range 4 {
			s.ask("GET /beta/ HTTP/1.1")
		}
		time.Sleep(time.Second)
		s.part("a second later")
		s.ask("GET /beta/ HTTP/1.1")
	})
}

// Guards against a carrier that asks the nearest controller alone for a configuration that this one does not have, or
// does not give (CONFIG), and against one that goes back to what is older.
func TestConfigurationFromOthers(t *testing.T) {
	play(t, 2, func(s *stage) {
		near, far := s.cores[0], s.cores[1]
		first, second, third := conf{version: 1, routes: both("alpha")}, conf{version: 2, routes: both("beta")},
			conf{version: 3, routes: append(both("alpha"), both("beta")...)}
		s.backend("alpha", "north", ok)
		s.backend("beta", "north", ok)
		ask := func() {
			s.ask("GET /alpha/ HTTP/1.1")
			s.ask("GET /beta/ HTTP/1.1")
		}
		s.part("both have the first: the near one is asked")
		far.has(first)
		near.has(first)
		ask()
		s.part("the far one has the second")
		far.has(second)
		ask()
		s.part("the near one says again that it has the first")
		near.has(first)
		near.tell(offer(first.register()))
		ask()
		s.part("both have the third, and the near one does not give it")
		near.answers = false
		near.has(third)
		far.has(third)
		time.Sleep(2 * time.Second)
		ask()
		s.part("a value that is not in force, and one in force that cannot be read")
		wrong := conf{version: 4, routes: both("alpha")}.register()
		far.tell(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{CommittedValues: []rpc.Register{wrong}}})
		wrong.Value = []byte("{")
		far.tell(offer(wrong))
		s.ask("GET /beta/ HTTP/1.1")
	})
}

// The carrier's own beginning and end. Guards against clients that are sent to one that knows too little yet, or that
// were not told to go elsewhere before its end, and against a request that is at work being cut (LOST).
func TestReadiness(t *testing.T) {
	play(t, 3, func(s *stage) {
		ready := func() {
			w := httptest.NewRecorder()
			s.carrier.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.note("readiness %d", w.Code)
		}
		s.part("controllers are there, and nothing is in force")
		ready()
		s.part("something is")
		s.backend("alpha", "north", late(time.Second, ok))
		s.cores[0].has(conf{version: 1, routes: both("alpha")})
		ready()
		s.part("a client on a connection that stays")
		k := s.client()
		k.ask("GET /alpha/ HTTP/1.1")
		ended := make(chan struct{})
		go func() {
			s.carrier.Shutdown(5 * time.Second)
			close(ended)
		}()
		time.Sleep(10 * time.Millisecond)
		s.part("the end begins")
		ready()
		k.ask("GET /alpha/ HTTP/1.1")
		k.ask("GET /alpha/ HTTP/1.1")
		s.ask("GET /none/ HTTP/1.1")
		time.Sleep(time.Second)
		s.part("one at work when connections are no longer taken, which ends well")
		s.ask("GET /alpha/ HTTP/1.1")
		<-ended
		s.ask("GET /alpha/ HTTP/1.1")
	})
}

// A new life. Guards against one that calls itself ready while a controller holds something that may be in force and
// has not come here yet, or while too few of them were read.
func TestNotReadyTooSoon(t *testing.T) {
	var out string
	synctest.Test(t, func(*testing.T) {
		s := enter(3)
		first := conf{version: 1, routes: both("alpha")}
		for i, k := range s.cores {
			k.mu.Lock()
			k.charter = first.register()
			k.held = map[string]rpc.Version{"zone/south": {Number: 7}}
			k.settled = i == 0
			k.mu.Unlock()
		}
		at := func(name string) {
			w := httptest.NewRecorder()
			s.carrier.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.note("%d  %s", w.Code, name)
		}
		at("before any word")
		time.Sleep(300 * time.Millisecond)
		at("one of three knows the backends")
		s.cores[1].tell(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
		at("two do, and hold an evacuation that has not come here")
		s.cores[1].tell(offer(rpc.Register{Name: "zone/south", Version: rpc.Version{Number: 7}, Value: []byte("1b")}))
		at("it has")
		out = s.end()
	})
	autogold.Equal(t, out)
}

// Guards against a refusal that waits for a body which nobody wants: net/http reads up to 256 KB of it before it writes
// the head, and no deadline bounds that reading.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := enter(1)
		time.Sleep(5 * time.Second)
		s.cores[0].has(conf{version: 1, routes: both("alpha")})
		for _, lines := range []string{
			"POST /none/ HTTP/1.1 | Content-Length: 5",             // 404
			"POST /alpha!/ HTTP/1.1 | Content-Length: 100001",      // 413
			"POST /alpha!/ HTTP/1.1 | " + chunks + " | Upgrade: x", // 400
		} {
			began := time.Now()
			s.ask(lines, "x")
			if took := time.Since(began); took > time.Second {
				t.Errorf("%s: no answer within %v", lines, took)
			}
		}
		k := s.client()
		k.ask("POST /none/ HTTP/1.1 | Content-Length: 5", "x")
		began := time.Now()
		_ = k.conn.SetReadDeadline(time.Now().Add(10 * time.Minute))
		_, err := k.br.ReadByte()
		t.Logf("after %v more: %v", time.Since(began), err)
		_ = s.end()
	})
}

// Guards against a second request hidden in the first: what has two lengths, odd framing or odd line ends is refused or
// goes on in one framing of ours, and a backend never sees more requests than clients sent.
func TestNothingIsSmuggled(t *testing.T) {
	play(t, 1, func(s *stage) {
		s.cores[0].has(conf{version: 1, routes: both("alpha")})
		s.backend("alpha", "north", ok)
		for _, c := range []struct{ name, lines, body string }{
			{"a length and chunks", "POST /alpha!/ HTTP/1.1 | Content-Length: 4 | " + chunks, "3\r\nabc\r\n0\r\n\r\n"},
			{"two lengths", "POST /alpha!/ HTTP/1.1 | Content-Length: 3 | Content-Length: 30", "abc"},
			{"the same length twice", "POST /alpha!/ HTTP/1.1 | Content-Length: 3 | Content-Length: 3", "abc"},
			{"a length with a sign", "POST /alpha!/ HTTP/1.1 | Content-Length: +3", "abc"},
			{"a blank before the colon", "POST /alpha!/ HTTP/1.1 | Content-Length : 3", "abc"},
			{"another coding behind", "POST /alpha!/ HTTP/1.1 | Transfer-Encoding: chunked, identity", "3\r\nabc\r\n0\r\n\r\n"},
			{"a coding in disguise", "POST /alpha!/ HTTP/1.1 | Transfer-Encoding: xchunked", "3\r\nabc\r\n0\r\n\r\n"},
			{"a chunk's size that is none", "POST /alpha!/ HTTP/1.1 | " + chunks, "0x3\r\nabc\r\n0\r\n\r\n"},
			{"a field that is folded", "GET /alpha/ HTTP/1.1 | X-One: 1\r\n Content-Length: 3", ""},
			{"a line that ends in CR alone", "GET /alpha/ HTTP/1.1 | X-One: 1\rX-Two: 2", ""},
			{"a blank in the target", "GET /alpha/ /alpha/two HTTP/1.1", ""},
			{"a control byte in the target", "GET /alpha/\x01 HTTP/1.1", ""},
		} {
			s.part(c.name)
			if c.body == "" {
				s.ask(c.lines)
			} else {
				s.ask(c.lines, c.body)
			}
		}
	})
}
