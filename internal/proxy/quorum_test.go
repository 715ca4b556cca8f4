package proxy

import (
	"fmt"
	"testing"
	"time"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/rpc"
)

const s = time.Second

// Guards against a proxy that changes its routing node at every short outage, or stays with one that is partitioned.
func TestQuorumStatus(t *testing.T) {
	status := quorumStatus{changedAt: 1 * s}
	for i, step := range []struct {
		now                    time.Duration
		lost                   bool
		asRoutingNode, asOther bool // whether the node may stay, or become, the routing node
	}{
		{1 * s, false, true, false},
		{3 * s, false, true, false},
		{4 * s, false, true, true},
		{5 * s, true, true, false},
		{7 * s, true, true, false},
		{8 * s, true, false, false},
		{9 * s, false, true, false},
		{11 * s, false, true, false},
		{12 * s, false, true, true},
		{13 * s, true, true, false},
		{14 * s, false, true, false}, // lost for a moment only
		{17 * s, false, true, true},
	} {
		status.update(step.now, step.lost)
		asRoutingNode, asOther := status.isSteady(step.now, true), status.isSteady(step.now, false)
		if asRoutingNode != step.asRoutingNode || asOther != step.asOther {
			t.Errorf("step %d: may stay the routing node: %v, may become it: %v", i, asRoutingNode, asOther)
		}
	}
}

// Steady nodes come first, then those of the proxy's zone, then the hash, which is the same for all proxies of a zone.
// Without a steady node, one is still chosen.
func TestChooseRoutingNode(t *testing.T) {
	north := routingCandidate{"core-0", "north", true}
	south := routingCandidate{"core-1", "south", true}
	west := routingCandidate{"core-2", "west", true}
	unsteady := func(c routingCandidate) routingCandidate { c.steady = false; return c }
	hashed := chooseRoutingNode("north", []routingCandidate{south, west})
	for i, test := range []struct {
		candidates []routingCandidate
		want       string
	}{
		{nil, ""},
		{[]routingCandidate{south, north, west}, "core-0"},
		{[]routingCandidate{west, south}, hashed},
		{[]routingCandidate{unsteady(north), south, west}, hashed},
		{[]routingCandidate{unsteady(north), unsteady(south), west}, "core-2"},
		{[]routingCandidate{unsteady(north), unsteady(south), unsteady(west)}, "core-0"},
		{[]routingCandidate{unsteady(west), unsteady(south)}, hashed},
	} {
		if got := chooseRoutingNode("north", test.candidates); got != test.want {
			t.Errorf("%d: %q, want %q", i, got, test.want)
		}
	}
	zonesByNode := map[string]int{}
	for i := range 60 { // zones without a node of their own are spread over the nodes
		zonesByNode[chooseRoutingNode(fmt.Sprint("zone-", i), []routingCandidate{north, south, west})]++
	}
	for name, n := range zonesByNode {
		if n < 8 {
			t.Errorf("%s is the routing node of %d of 60 zones, want at least 8", name, n)
		}
	}
}

// Only the newest renewals that were sent on the connection have a send time.
func TestRenewalTimes(t *testing.T) {
	var times renewalTimes
	if _, ok := times.sentTime(1); ok {
		t.Error("there is a send time for a renewal that was not sent")
	}
	for n := uint64(5); n <= 20; n++ {
		times.record(n, time.Duration(n)*s)
	}
	for n, want := range map[uint64]bool{0: false, 5: false, 12: false, 13: true, 20: true, 21: false, 28: false} {
		if at, ok := times.sentTime(n); ok != want || ok && at != time.Duration(n)*s {
			t.Errorf("%d: %v, %v", n, at, ok)
		}
	}
	times = renewalTimes{} // a new connection
	times.record(20, 20*s)
	if _, ok := times.sentTime(19); ok {
		t.Error("there is a send time for a renewal on an earlier connection")
	}
}

func voters(names ...string) (all []rpc.Voter) {
	for _, n := range names {
		all = append(all, rpc.Voter{Node: rpc.Node{Name: n}, StoreID: "store of " + n})
	}
	return all
}

// Guards against two proxies that hold a lease by majorities without a common voter: a joint epoch needs a majority of
// both voter sets.
func TestLeaseEnd(t *testing.T) {
	single := rpc.Epoch{Number: 3, Voters: voters("a", "b", "c")}
	joint := rpc.Epoch{Number: 4, Voters: voters("b", "c", "d"), OldVoters: voters("a", "b", "c")}
	disjoint := rpc.Epoch{Number: 4, Voters: voters("d", "e", "f"), OldVoters: voters("a", "b", "c")}
	type renewals map[string]time.Duration
	for i, test := range []struct {
		epoch     rpc.Epoch
		renewedAt renewals
		want      time.Duration // start of the lease; negative: there is none
	}{
		{rpc.Epoch{}, renewals{"a": 9 * s, "b": 9 * s, "c": 9 * s}, -1},
		{single, renewals{}, -1},
		{single, renewals{"a": 9 * s}, -1},
		{single, renewals{"a": 9 * s, "x": 9 * s, "y": 9 * s}, -1},
		{single, renewals{"a": 9 * s, "b": 7 * s}, 7 * s},
		{single, renewals{"a": 9 * s, "b": 7 * s, "c": 8 * s}, 8 * s},
		{single, renewals{"a": 0, "b": 0, "c": 0}, 0},
		{joint, renewals{"a": 9 * s, "b": 8 * s}, -1},
		{joint, renewals{"c": 9 * s, "b": 8 * s}, 8 * s},
		{joint, renewals{"a": 9 * s, "b": 8 * s, "d": 7 * s}, 7 * s},
		{disjoint, renewals{"a": 9 * s, "b": 9 * s, "c": 9 * s}, -1},
		{disjoint, renewals{"d": 9 * s, "e": 9 * s, "f": 9 * s}, -1},
		{disjoint, renewals{"d": 9 * s, "e": 9 * s, "a": 9 * s, "b": 5 * s}, 5 * s},
	} {
		until, ok := leaseEnd(test.epoch, test.renewedAt)
		if ok != (test.want >= 0) || ok && until != test.want+registry.LeaseUseDuration {
			t.Errorf("%d: %v, %v", i, until, ok)
		}
	}
}

func TestMayTrustCommitted(t *testing.T) {
	for i, test := range []struct {
		now, firstMessageAt         time.Duration
		hasConfig, quorumLost, want bool
	}{
		{1 * s, 1 * s, false, false, true},
		{1 * s, 1 * s, false, true, false},
		{4 * s, 1 * s, false, true, false},
		{4*s + 1, 1 * s, false, true, true},
		{9 * s, -1, false, true, false},
		{2 * s, 1 * s, true, true, true},
	} {
		if got := mayTrustCommitted(test.now, test.firstMessageAt, test.hasConfig, test.quorumLost); got != test.want {
			t.Errorf("%d: %v, want %v", i, got, test.want)
		}
	}
}

// A node with quorum contact is preferred, then a node in the proxy's zone.
func TestIsPreferredTo(t *testing.T) {
	newNode := func(zone string, quorumLost bool) *node {
		return &node{info: rpc.Node{Zone: zone}, quorum: quorumStatus{lost: quorumLost}}
	}
	nodes := []*node{newNode("north", false), newNode("south", false), newNode("north", true), newNode("south", true)}
	for i, n := range nodes {
		for j, other := range nodes {
			if n.isPreferredTo(other, "north") != (i < j) {
				t.Errorf("node %d is preferred to node %d: %v", i, j, i >= j)
			}
		}
	}
}
