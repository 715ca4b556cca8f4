package proxy_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

// runStartupTest records a scenario from the start of the proxy. The first node is in the proxy's zone. observe records
// the readiness and the responses of two routes: /alpha/ exists in version 1 only, /beta/ in version 2 only.
func runStartupTest(t *testing.T, nodeCount int, f func(s *scenario, observe func(string))) {
	t.Helper()
	var out string
	synctest.Test(t, func(*testing.T) {
		s := newScenario(nodeCount)
		began := time.Now()
		f(s, func(name string) {
			w := httptest.NewRecorder()
			s.proxy.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.logf("%.1f s: %s: readiness %d", time.Since(began).Seconds(), name, w.Code)
			for _, path := range []string{"/alpha/", "/beta/"} {
				client, id := s.newRawClient(t), s.nextID()
				client.send(requestHead("GET", path, id, ""))
				s.logf("    GET %s: %s", path, client.receive(id, "GET"))
				_ = client.conn.Close()
			}
		})
		out = s.stop()
		s.checkInvariants(t)
	})
	autogold.Equal(t, out)
}

var (
	oldConfig = testConfig{version: 1, routes: bothRoutes("alpha")}
	newConfig = testConfig{version: 2, routes: bothRoutes("beta")}
)

// startWith sets the committed configuration and the quorum contact of a node before the proxy connects to it.
func (n *fakeNode) startWith(c testConfig, quorumLost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config, n.quorumLost = c.register(), quorumLost
}

// waitForConfig waits until the proxy has a configuration, and records when that was and which one it is.
func (s *scenario) waitForConfig(t *testing.T) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		var received [2]string
		for i, path := range []string{"/alpha/", "/beta/"} {
			client, id := s.newRawClient(t), "served"
			client.send(requestHead("GET", path, id, ""))
			received[i] = client.receive(id, "GET")
			_ = client.conn.Close()
		}
		if !strings.Contains(received[0], "not ready") {
			s.logf("%.2f s later: /alpha/ %s, /beta/ %s", time.Since(began).Seconds(), received[0], received[1])
			return
		}
	}
}

// setQuorumLost changes the quorum contact of a node, which reports it in answer to the next renewal.
func (n *fakeNode) setQuorumLost(lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quorumLost = lost
}

// Guards against a starting proxy that applies the outdated configuration of a node without quorum contact while nodes
// with quorum contact are reachable.
func TestNewLifeWaitsForTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, observe func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		s.nodes[1].startWith(newConfig, false)
		s.nodes[2].startWith(newConfig, false)
		s.waitForConfig(t)
		time.Sleep(300 * time.Millisecond)
		observe("the near one is apart, two are in touch")
	})
}

// The same, but the nodes with quorum contact become reachable only after a while.
func TestNewLifeWaitsForTouchThatComesLate(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, observe func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		for _, node := range s.nodes[1:] {
			node.startWith(newConfig, false)
			s.net.Dark(strings.TrimSuffix(node.info.Address, ":7540"), true)
		}
		time.Sleep(1500 * time.Millisecond)
		observe("the near one is apart, the others say nothing")
		for _, node := range s.nodes[1:] {
			s.net.Dark(strings.TrimSuffix(node.info.Address, ":7540"), false)
		}
		s.waitForConfig(t)
		observe("the others are there")
	})
}

// Guards against a starting proxy that serves nothing while no node has quorum contact: after maxStartupWait, it
// applies the newest configuration that was committed once. A node that regains quorum contact provides newer ones.
func TestNewLifeWhileNobodyIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, observe func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		s.nodes[1].startWith(newConfig, true)
		s.nodes[2].startWith(oldConfig, true)
		time.Sleep(2600 * time.Millisecond)
		s.nodes[0].send(committedValue(oldConfig.register())) // unsolicited
		observe("all are apart")
		s.waitForConfig(t)
		observe("a little later")
		third := testConfig{version: 3, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)}
		s.nodes[2].setQuorumLost(false)
		s.nodes[2].commitConfig(third)
		time.Sleep(1200 * time.Millisecond)
		observe("one is in touch and has a third")
	})
}

// Without quorum contact at any node, a running proxy keeps its configuration against older ones, applies newer ones,
// and continues to apply the tables of its routing node.
func TestRunsOnWhileNobodyIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, observe func(string)) {
		for _, node := range s.nodes {
			node.startWith(newConfig, false)
		}
		one := s.addEndpoint("beta", "north1", s.countExecutions(respondWithID))
		time.Sleep(4 * time.Second)
		observe("all are in touch")
		for _, node := range s.nodes {
			node.setQuorumLost(true)
		}
		time.Sleep(5 * time.Second)
		observe("nobody is")
		s.nodes[2].commitConfig(oldConfig)
		s.nodes[2].send(committedValue(oldConfig.register()))
		observe("one says that something older is in force")
		two := s.addEndpoint("beta", "north2", s.countExecutions(respondWithID))
		s.nodes[0].send(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true,
			Weights: map[string]float64{one.ID: 0, two.ID: 1}}}})
		observe("the one that steers, apart as it is, says that all go to the second")
		third := testConfig{version: 3, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)}
		s.nodes[2].commitConfig(third)
		time.Sleep(time.Second)
		observe("one has something newer")
	})
}

// A proxy that is partitioned together with one node uses it as its routing node. When the partition heals, the proxy
// applies what the other nodes have committed, and does not return to the older configuration.
func TestCutOffWithOne(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, observe func(string)) {
		for _, node := range s.nodes {
			node.startWith(oldConfig, false)
		}
		time.Sleep(4 * time.Second)
		observe("all are in touch")
		far := s.nodes[1:]
		for _, node := range far {
			s.net.Dark(strings.TrimSuffix(node.info.Address, ":7540"), true)
		}
		s.nodes[0].setQuorumLost(true)
		time.Sleep(8 * time.Second)
		for _, node := range far {
			node.startWith(newConfig, false)
		}
		observe("cut off with the near one")
		s.nodes[0].mu.Lock()
		s.logf("the near one steers: %v", s.nodes[0].tableRequests > 3)
		s.nodes[0].mu.Unlock()
		for _, node := range far {
			s.net.Dark(strings.TrimSuffix(node.info.Address, ":7540"), false)
		}
		time.Sleep(2 * time.Second)
		observe("it heals")
		s.nodes[0].send(committedValue(oldConfig.register()))
		observe("the near one says once more that the older one is in force")
	})
}

// The node of the proxy's zone is the routing node unless it has lost quorum contact for a while. It is selected again
// once it has had quorum contact for a while.
func TestSteeredByWhoIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, _ func(string)) {
		for _, node := range s.nodes {
			node.startWith(newConfig, false)
		}
		logRoutingNode := func(name string) {
			s.section("%s", name)
			for _, node := range s.nodes {
				node.mu.Lock()
				if node.tableRequests > 0 {
					s.logf("    %s steers", node.info.Name)
				}
				node.mu.Unlock()
			}
		}
		time.Sleep(5 * time.Second)
		logRoutingNode("all are in touch")
		s.nodes[0].setQuorumLost(true)
		time.Sleep(1500 * time.Millisecond)
		s.nodes[0].setQuorumLost(false)
		time.Sleep(4 * time.Second)
		logRoutingNode("the near one was apart for a moment")
		s.nodes[0].setQuorumLost(true)
		time.Sleep(5 * time.Second)
		logRoutingNode("for longer")
		s.nodes[1].setQuorumLost(true)
		s.nodes[2].setQuorumLost(true)
		time.Sleep(5 * time.Second)
		logRoutingNode("all are apart")
		s.nodes[0].setQuorumLost(false)
		time.Sleep(2 * time.Second)
		logRoutingNode("the near one is in touch")
		time.Sleep(3 * time.Second)
		logRoutingNode("... for a while")
	})
}

// Guards against routing tables that a node computed before it was suspended, that come from another node than the
// routing node, or that answer a renewal of an earlier connection. Outdated tables close the connection, so that the
// next one starts with full tables; tables of other nodes are ignored.
func TestTablesThatAreOld(t *testing.T) {
	runStartupTest(t, 3, func(s *scenario, _ func(string)) {
		for _, node := range s.nodes {
			node.startWith(newConfig, false)
		}
		near, far := s.nodes[0], s.nodes[1]
		one := s.addEndpoint("beta", "north1", s.countExecutions(respondWithID))
		two := s.addEndpoint("beta", "north2", s.countExecutions(respondWithID))
		time.Sleep(5 * time.Second)
		tablesFor := func(endpoint rpc.Endpoint, renewed uint64) *rpc.Message {
			weights := map[string]float64{one.ID: 0, two.ID: 0}
			weights[endpoint.ID] = 1
			return &rpc.Message{
				RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true, Weights: weights}},
				Lease:         rpc.Lease{LeaseRenewed: renewed},
			}
		}
		connections := func() int {
			near.mu.Lock()
			defer near.mu.Unlock()
			return near.connections
		}
		logDeliveries := func(name string) {
			for range 3 {
				client, id := s.newRawClient(t), s.nextID()
				client.send(requestHead("GET", "/beta/", id, ""))
				client.receive(id, "GET")
				s.logf("%s: %s, %d lines so far", name, s.deliverySummary(id), connections())
				_ = client.conn.Close()
			}
		}
		near.send(tablesFor(one, 0))
		logDeliveries("of the one that steers")
		far.send(tablesFor(two, 0))
		logDeliveries("of another one")
		near.mu.Lock()
		newest := near.lastRenewal
		near.mu.Unlock()
		near.send(tablesFor(two, newest+5))
		logDeliveries("after a renewal that was never sent")
		time.Sleep(5 * time.Second)
		near.mu.Lock()
		old := near.lastRenewal - 4
		near.mu.Unlock()
		near.send(tablesFor(two, old))
		logDeliveries("after a renewal of 4 s ago")
		time.Sleep(time.Second)
		near.send(tablesFor(two, near.latestRenewal()))
		logDeliveries("on the next line")
	})
}

// latestRenewal returns the number of the last renewal that the node received.
func (n *fakeNode) latestRenewal() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastRenewal
}

// The newest epoch that any node reports determines the voters. A starting proxy is ready once a majority of the
// voters, and of the old voters in a joint epoch, has reported its registers.
func TestReadsByTheEpoch(t *testing.T) {
	runStartupTest(t, 5, func(s *scenario, observe func(string)) {
		voters := func(of ...int) (all []rpc.Voter) {
			for _, i := range of {
				all = append(all, rpc.Voter{Node: s.nodes[i].info, StoreID: "store of " + s.nodes[i].info.Name})
			}
			return all
		}
		for i, node := range s.nodes {
			node.startWith(newConfig, false)
			node.mu.Lock()
			if node.endpointsSynced, node.epoch = i < 2, (&rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}); i == 4 {
				node.epoch = &rpc.Epoch{Number: 4, Voters: voters(2, 3, 4), OldVoters: voters(0, 1, 2)}
			}
			node.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
		observe("two of the old voters have told all, and one knows of a change")
		s.nodes[3].send(
			&rpc.Message{
				EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true},
				Consensus:      rpc.Consensus{Epoch: &rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}},
			},
		)
		observe("one of the new ones too, and tells of the old epoch")
		s.nodes[4].send(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
		observe("two of the new ones")
	})
}
