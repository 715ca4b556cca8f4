package proxy_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"elmfold/internal/gateway/rpc"
)

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
