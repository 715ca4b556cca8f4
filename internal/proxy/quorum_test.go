package proxy

import (
	"fmt"
	"testing"
	"time"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/rpc"
)

const s = time.Second

// Guards against a carrier that turns to another controller at each short trouble, or stays with one that is cut off.
func TestQuorumStatus(t *testing.T) {
	k := quorumStatus{changedAt: 1 * s}
	for i, step := range []struct {
		now           time.Duration
		apart         bool
		steers, other bool // whether it may go on steering, may be turned to
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
		{14 * s, false, true, false}, // apart for a moment
		{17 * s, false, true, true},
	} {
		k.update(step.now, step.apart)
		if a, b := k.isSteady(step.now, true), k.isSteady(step.now, false); a != step.steers || b != step.other {
			t.Errorf("%d: goes on %v, is turned to %v", i, a, b)
		}
	}
}

// In touch before apart, the own zone, then the same for all carriers of a zone; nobody in touch is no reason to be
// steered by nobody.
func TestChooseRoutingNode(t *testing.T) {
	north, south, west := routingCandidate{
		"core-0",
		"north",
		true,
	}, routingCandidate{
		"core-1",
		"south",
		true,
	}, routingCandidate{
		"core-2",
		"west",
		true,
	}
	apart := func(c routingCandidate) routingCandidate { c.steady = false; return c }
	other := chooseRoutingNode("north", []routingCandidate{south, west})
	for i, k := range []struct {
		all  []routingCandidate
		want string
	}{
		{nil, ""},
		{[]routingCandidate{south, north, west}, "core-0"},
		{[]routingCandidate{west, south}, other},
		{[]routingCandidate{apart(north), south, west}, other},
		{[]routingCandidate{apart(north), apart(south), west}, "core-2"},
		{[]routingCandidate{apart(north), apart(south), apart(west)}, "core-0"},
		{[]routingCandidate{apart(west), apart(south)}, other},
	} {
		if got := chooseRoutingNode("north", k.all); got != k.want {
			t.Errorf("%d: %q, want %q", i, got, k.want)
		}
	}
	zones := map[string]int{}
	for i := range 60 { // zones without a controller of their own spread over those that are there
		zones[chooseRoutingNode(fmt.Sprint("zone-", i), []routingCandidate{north, south, west})]++
	}
	for name, n := range zones {
		if n < 8 {
			t.Errorf("%s steers %d of 60 zones", name, n)
		}
	}
}

// The renewal that tables were worked out after dates them: one of another line, one that was never sent and one that
// is forgotten date nothing.
func TestRenewalTimes(t *testing.T) {
	var k renewalTimes
	if _, ok := k.sentTime(1); ok {
		t.Error("dated by what was not sent")
	}
	for n := uint64(5); n <= 20; n++ {
		k.record(n, time.Duration(n)*s)
	}
	for n, want := range map[uint64]bool{0: false, 5: false, 12: false, 13: true, 20: true, 21: false, 28: false} {
		if at, ok := k.sentTime(n); ok != want || ok && at != time.Duration(n)*s {
			t.Errorf("%d: %v, %v", n, at, ok)
		}
	}
	k = renewalTimes{}
	k.record(20, 20*s) // a new line
	if _, ok := k.sentTime(19); ok {
		t.Error("dated by a renewal on another line")
	}
}

func voters(names ...string) (all []rpc.Voter) {
	for _, n := range names {
		all = append(all, rpc.Voter{Node: rpc.Node{Name: n}, StoreID: "disk of " + n})
	}
	return all
}

// Who may send to a cold backend. Guards against two carriers that both hold the right by majorities which do not meet
// (FAILBACK): no majority of one set counts while the other one does too.
func TestLeaseEnd(t *testing.T) {
	plain := rpc.Epoch{Number: 3, Voters: voters("a", "b", "c")}
	joint := rpc.Epoch{Number: 4, Voters: voters("b", "c", "d"), OldVoters: voters("a", "b", "c")}
	moved := rpc.Epoch{Number: 4, Voters: voters("d", "e", "f"), OldVoters: voters("a", "b", "c")}
	type answers map[string]time.Duration
	for i, k := range []struct {
		epoch rpc.Epoch
		by    answers
		want  time.Duration // of the instant that counts; negative: none
	}{
		{rpc.Epoch{}, answers{"a": 9 * s, "b": 9 * s, "c": 9 * s}, -1},
		{plain, answers{}, -1},
		{plain, answers{"a": 9 * s}, -1},
		{plain, answers{"a": 9 * s, "x": 9 * s, "y": 9 * s}, -1},
		{plain, answers{"a": 9 * s, "b": 7 * s}, 7 * s},
		{plain, answers{"a": 9 * s, "b": 7 * s, "c": 8 * s}, 8 * s},
		{plain, answers{"a": 0, "b": 0, "c": 0}, 0},
		{joint, answers{"a": 9 * s, "b": 8 * s}, -1},
		{joint, answers{"c": 9 * s, "b": 8 * s}, 8 * s},
		{joint, answers{"a": 9 * s, "b": 8 * s, "d": 7 * s}, 7 * s},
		{moved, answers{"a": 9 * s, "b": 9 * s, "c": 9 * s}, -1},
		{moved, answers{"d": 9 * s, "e": 9 * s, "f": 9 * s}, -1},
		{moved, answers{"d": 9 * s, "e": 9 * s, "a": 9 * s, "b": 5 * s}, 5 * s},
	} {
		until, ok := leaseEnd(k.epoch, k.by)
		if ok != (k.want >= 0) || ok && until != k.want+registry.LeaseUseDuration {
			t.Errorf("%d: %v, %v", i, until, ok)
		}
	}
}

// Whose word that a configuration is in force counts.
func TestMayTrustCommitted(t *testing.T) {
	for i, k := range []struct {
		now, first       time.Duration
		has, apart, want bool
	}{
		{1 * s, 1 * s, false, false, true},
		{1 * s, 1 * s, false, true, false},
		{4 * s, 1 * s, false, true, false},
		{4*s + 1, 1 * s, false, true, true},
		{9 * s, -1, false, true, false},
		{2 * s, 1 * s, true, true, true},
	} {
		if mayTrustCommitted(k.now, k.first, k.has, k.apart) != k.want {
			t.Errorf("%d", i)
		}
	}
}

// Who is asked for a configuration: one in touch, then one of the zone.
func TestIsPreferredTo(t *testing.T) {
	of := func(zone string, apart bool) *node {
		return &node{info: rpc.Node{Zone: zone}, quorum: quorumStatus{lost: apart}}
	}
	order := []*node{of("north", false), of("south", false), of("north", true), of("south", true)}
	for i, p := range order {
		for j, o := range order {
			if p.isPreferredTo(o, "north") != (i < j) {
				t.Errorf("%d before %d: %v", i, j, i >= j)
			}
		}
	}
}
