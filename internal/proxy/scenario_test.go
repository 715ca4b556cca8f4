package proxy_test

import (
	"context"
	"fmt"
	"net"
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
