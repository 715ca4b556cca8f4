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

// runStartupTest plays a new life of a carrier among controllers, the first of which is in its zone, from its first
// moment; at writes down what it says of itself and what it serves: /alpha/ is in version 1 alone, /beta/ in version 2.
func runStartupTest(t *testing.T, cores int, f func(s *harness, at func(string))) {
	t.Helper()
	var out string
	synctest.Test(t, func(*testing.T) {
		s := newHarness(cores)
		began := time.Now()
		f(s, func(name string) {
			w := httptest.NewRecorder()
			s.proxy.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.logf("%.1f s: %s: readiness %d", time.Since(began).Seconds(), name, w.Code)
			for _, path := range []string{"/alpha/", "/beta/"} {
				k, id := s.newRawClient(t), s.nextID()
				k.send(requestHead("GET", path, id, ""))
				s.logf("    GET %s: %s", path, k.receive(id, "GET"))
				_ = k.conn.Close()
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

// startWith lets a controller begin with a configuration that was in force once, in touch or not.
func (k *fakeNode) startWith(c testConfig, apart bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config, k.quorumLost = c.register(), apart
}

// waitForConfig waits until the carrier has a configuration, and writes down when that was, and which one.
func (s *harness) waitForConfig(t *testing.T) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		var heard [2]string
		for i, path := range []string{"/alpha/", "/beta/"} {
			k, id := s.newRawClient(t), "served"
			k.send(requestHead("GET", path, id, ""))
			heard[i] = k.receive(id, "GET")
			_ = k.conn.Close()
		}
		if !strings.Contains(heard[0], "not ready") {
			s.logf("%.2f s later: /alpha/ %s, /beta/ %s", time.Since(began).Seconds(), heard[0], heard[1])
			return
		}
	}
}

// setQuorumLost lets a controller be in touch from now on, or not; carriers hear it with their next renewal.
func (k *fakeNode) setQuorumLost(apart bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quorumLost = apart
}

// Guards against a new life that begins with what a controller that is cut off once heard, though another one in touch
// is there (CONFIG).
func TestNewLifeWaitsForTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, at func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		s.nodes[1].startWith(newConfig, false)
		s.nodes[2].startWith(newConfig, false)
		s.waitForConfig(t)
		time.Sleep(300 * time.Millisecond)
		at("the near one is apart, two are in touch")
	})
}

// ... though the one in touch is reached only after a while.
func TestNewLifeWaitsForTouchThatComesLate(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, at func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		for _, k := range s.nodes[1:] {
			k.startWith(newConfig, false)
			s.net.Dark(strings.TrimSuffix(k.info.Address, ":7540"), true)
		}
		time.Sleep(1500 * time.Millisecond)
		at("the near one is apart, the others say nothing")
		for _, k := range s.nodes[1:] {
			s.net.Dark(strings.TrimSuffix(k.info.Address, ":7540"), false)
		}
		s.waitForConfig(t)
		at("the others are there")
	})
}

// Where nobody is in touch, a new life goes on with the newest that was in force once, after maxStartupWait: guards
// against one that serves nothing for as long as the core is away. Being in touch later brings what is newer.
func TestNewLifeWhileNobodyIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, at func(string)) {
		s.nodes[0].startWith(oldConfig, true)
		s.nodes[1].startWith(newConfig, true)
		s.nodes[2].startWith(oldConfig, true)
		time.Sleep(2600 * time.Millisecond)
		s.nodes[0].send(committedValue(oldConfig.register())) // unasked
		at("all are apart")
		s.waitForConfig(t)
		at("a little later")
		third := testConfig{version: 3, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)}
		s.nodes[2].setQuorumLost(false)
		s.nodes[2].commitConfig(third)
		time.Sleep(1200 * time.Millisecond)
		at("one is in touch and has a third")
	})
}

// A carrier that runs goes on while nobody is in touch: with its configuration, which nothing older replaces, with what
// is newer, and with the tables of the controller that steers it, apart or not.
func TestRunsOnWhileNobodyIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, at func(string)) {
		for _, k := range s.nodes {
			k.startWith(newConfig, false)
		}
		one := s.addEndpoint("beta", "north1", s.countExecutions(respondWithID))
		time.Sleep(4 * time.Second)
		at("all are in touch")
		for _, k := range s.nodes {
			k.setQuorumLost(true)
		}
		time.Sleep(5 * time.Second)
		at("nobody is")
		s.nodes[2].commitConfig(oldConfig)
		s.nodes[2].send(committedValue(oldConfig.register()))
		at("one says that something older is in force")
		two := s.addEndpoint("beta", "north2", s.countExecutions(respondWithID))
		s.nodes[0].send(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true,
			Weights: map[string]float64{one.ID: 0, two.ID: 1}}}})
		at("the one that steers, apart as it is, says that all go to the second")
		third := testConfig{version: 3, routes: append(bothRoutes("alpha"), bothRoutes("beta")...)}
		s.nodes[2].commitConfig(third)
		time.Sleep(time.Second)
		at("one has something newer")
	})
}

// A carrier that is cut off with one controller goes on, steered by that one, apart as it is; what the others decide
// meanwhile it hears once they are there again, and then it does not go back to what the one still holds.
func TestCutOffWithOne(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, at func(string)) {
		for _, k := range s.nodes {
			k.startWith(oldConfig, false)
		}
		time.Sleep(4 * time.Second)
		at("all are in touch")
		far := s.nodes[1:]
		for _, k := range far {
			s.net.Dark(strings.TrimSuffix(k.info.Address, ":7540"), true)
		}
		s.nodes[0].setQuorumLost(true)
		time.Sleep(8 * time.Second)
		for _, k := range far {
			k.startWith(newConfig, false)
		}
		at("cut off with the near one")
		s.nodes[0].mu.Lock()
		s.logf("the near one steers: %v", s.nodes[0].tableRequests > 3)
		s.nodes[0].mu.Unlock()
		for _, k := range far {
			s.net.Dark(strings.TrimSuffix(k.info.Address, ":7540"), false)
		}
		time.Sleep(2 * time.Second)
		at("it heals")
		s.nodes[0].send(committedValue(oldConfig.register()))
		at("the near one says once more that the older one is in force")
	})
}

// Who steers: the near one, until it has been apart for a while, then another that is in touch; the near one again once
// it has been in touch for a while.
func TestSteeredByWhoIsInTouch(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, _ func(string)) {
		for _, k := range s.nodes {
			k.startWith(newConfig, false)
		}
		who := func(name string) {
			s.section("%s", name)
			for _, k := range s.nodes {
				k.mu.Lock()
				if k.tableRequests > 0 {
					s.logf("    %s steers", k.info.Name)
				}
				k.mu.Unlock()
			}
		}
		time.Sleep(5 * time.Second)
		who("all are in touch")
		s.nodes[0].setQuorumLost(true)
		time.Sleep(1500 * time.Millisecond)
		s.nodes[0].setQuorumLost(false)
		time.Sleep(4 * time.Second)
		who("the near one was apart for a moment")
		s.nodes[0].setQuorumLost(true)
		time.Sleep(5 * time.Second)
		who("for longer")
		s.nodes[1].setQuorumLost(true)
		s.nodes[2].setQuorumLost(true)
		time.Sleep(5 * time.Second)
		who("all are apart")
		s.nodes[0].setQuorumLost(false)
		time.Sleep(2 * time.Second)
		who("the near one is in touch")
		time.Sleep(3 * time.Second)
		who("... for a while")
	})
}

// Guards against tables that a controller worked out before it was frozen, or that another one than the one that steers
// sends, or that were meant for an earlier line: the first end the line, so that whole ones come, the others are not
// heard. See docs/control.md, fences.
func TestTablesThatAreOld(t *testing.T) {
	runStartupTest(t, 3, func(s *harness, _ func(string)) {
		for _, k := range s.nodes {
			k.startWith(newConfig, false)
		}
		near, far := s.nodes[0], s.nodes[1]
		one := s.addEndpoint("beta", "north1", s.countExecutions(respondWithID))
		two := s.addEndpoint("beta", "north2", s.countExecutions(respondWithID))
		time.Sleep(5 * time.Second)
		only := func(b rpc.Endpoint, renewed uint64) *rpc.Message {
			weights := map[string]float64{one.ID: 0, two.ID: 0}
			weights[b.ID] = 1
			return &rpc.Message{
				RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true, Weights: weights}},
				Lease:         rpc.Lease{LeaseRenewed: renewed},
			}
		}
		lines := func() (n int) {
			near.mu.Lock()
			defer near.mu.Unlock()
			return near.connections
		}
		to := func(name string) {
			for range 3 {
				k, id := s.newRawClient(t), s.nextID()
				k.send(requestHead("GET", "/beta/", id, ""))
				k.receive(id, "GET")
				s.logf("%s: %s, %d lines so far", name, s.deliverySummary(id), lines())
				_ = k.conn.Close()
			}
		}
		near.send(only(one, 0))
		to("of the one that steers")
		far.send(only(two, 0))
		to("of another one")
		near.mu.Lock()
		fresh := near.lastRenewal
		near.mu.Unlock()
		near.send(only(two, fresh+5))
		to("after a renewal that was never sent")
		time.Sleep(5 * time.Second)
		near.mu.Lock()
		old := near.lastRenewal - 4
		near.mu.Unlock()
		near.send(only(two, old))
		to("after a renewal of 4 s ago")
		time.Sleep(time.Second)
		near.send(only(two, near.latestRenewal()))
		to("on the next line")
	})
}

func (k *fakeNode) latestRenewal() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastRenewal
}

// Who votes: the highest epoch that was heard counts, whoever says it. A new life has read enough once a majority
// of the voters, and of the old ones while they count, have told it what they hold.
func TestReadsByTheEpoch(t *testing.T) {
	runStartupTest(t, 5, func(s *harness, at func(string)) {
		voters := func(of ...int) (all []rpc.Voter) {
			for _, i := range of {
				all = append(all, rpc.Voter{Node: s.nodes[i].info, StoreID: "disk of " + s.nodes[i].info.Name})
			}
			return all
		}
		for i, k := range s.nodes {
			k.startWith(newConfig, false)
			k.mu.Lock()
			if k.endpointsSynced, k.epoch = i < 2, (&rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}); i == 4 {
				k.epoch = &rpc.Epoch{Number: 4, Voters: voters(2, 3, 4), OldVoters: voters(0, 1, 2)}
			}
			k.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
		at("two of the old voters have told all, and one knows of a change")
		s.nodes[3].send(
			&rpc.Message{
				EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true},
				Consensus:      rpc.Consensus{Epoch: &rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}},
			},
		)
		at("one of the new ones too, and tells of the old epoch")
		s.nodes[4].send(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
		at("two of the new ones")
	})
}
