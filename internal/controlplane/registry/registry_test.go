package registry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

const (
	second            = time.Second
	heartbeatInterval = 1500 * time.Millisecond
)

func endpointReport(id string, seq uint64, state rpc.EndpointState) rpc.Endpoint {
	return rpc.Endpoint{ID: id, Service: "look", Address: "10.0.0.9:80", Zone: "a", Capacity: 4, Seq: seq, State: state}
}

func withAddress(report rpc.Endpoint, address string) rpc.Endpoint {
	report.Address = address
	return report
}

// Covers the changes that one node reports to proxies and peers, in order: repeated, late and conflicting heartbeats,
// reports of another node, timeouts and deregistrations.
func TestChangesInOrder(t *testing.T) {
	var transcript strings.Builder
	table := New(heartbeatInterval)
	states := []string{"ready", "draining", "gone"}
	record := func(now time.Duration, step string, changes []rpc.Endpoint) {
		fmt.Fprintf(&transcript, "%4v %s\n", now, step)
		for _, e := range changes {
			fmt.Fprintf(&transcript, "       %s at %s: %s, seq %d, vouched %v, cold for %d ms\n", e.ID, e.Address,
				states[e.State], e.Seq, e.DirectHeartbeats, e.WarmupRemaining)
		}
	}
	heartbeat := func(now time.Duration, step string, report rpc.Endpoint) {
		changes, outdated := table.Heartbeat(now, report)
		if outdated {
			step += " (late)"
		}
		record(now, step, changes)
	}
	cold := endpointReport("i-1", 2, rpc.Ready)
	cold.WarmupRemaining = 3000
	heartbeat(1*second, "i-1 beats", endpointReport("i-1", 1, rpc.Ready))
	heartbeat(2*second, "i-1 beats, cold now", cold)
	cold.Seq, cold.WarmupRemaining = 3, 2000
	heartbeat(3*second, "i-1 beats, still cold", cold)
	heartbeat(4*second, "an older beat of i-1", endpointReport("i-1", 1, rpc.Ready))
	record(4*second, "another controller tells of i-2, which it hears",
		table.ApplyRemote(4*second, []rpc.Endpoint{withAddress(endpointReport("i-2", 7, rpc.Ready), "10.0.0.8:80")}))
	heartbeat(5*second, "i-1 drains", endpointReport("i-1", 4, rpc.Draining))
	heartbeat(6*second, "i-1 says that it is ready", endpointReport("i-1", 5, rpc.Ready))
	heartbeat(7*second, "i-3 beats at the address of i-1", endpointReport("i-3", 1, rpc.Ready))
	heartbeat(8*second, "i-1 beats", endpointReport("i-1", 6, rpc.Draining))
	record(9*second, "nothing is silent yet", table.ExpireHeartbeats(9*second))
	record(13*second, "i-3 is silent", table.ExpireHeartbeats(13*second))
	heartbeat(14*second, "i-3 beats again", endpointReport("i-3", 2, rpc.Ready))
	record(15*second, "i-3 leaves", table.Deregister(15*second, "i-3", 3))
	record(15*second, "i-3 leaves, told again", table.Deregister(15*second, "i-3", 3))
	record(16*second, "one that is not known leaves", table.Deregister(16*second, "i-4", 0))
	heartbeat(17*second, "its beat", endpointReport("i-4", 9, rpc.Ready))
	record(18*second, "a new line is told all", table.All(18*second))
	autogold.Equal(t, transcript.String(), autogold.Name("TestStory"))
}

// Guards against a state or sequence number that goes back, for random orders of heartbeats and reports of other nodes.
func TestStateAndSeqNeverGoBack(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		table, now := New(heartbeatInterval), time.Duration(0)
		var latestState rpc.EndpointState
		var latestSeq uint64
		for range 60 {
			now += time.Duration(r.Int64N(int64(3 * second))) // in total less than tombstoneTTL
			if now > 80*second {
				break
			}
			seq := uint64(r.IntN(20))
			report := endpointReport("i", seq+1, rpc.EndpointState(min(seq/8, 1)))
			switch r.IntN(20) {
			case 0:
				table.Deregister(now, "i", seq)
			case 1:
				table.ExpireHeartbeats(now)
			default:
				if r.IntN(2) == 0 {
					table.Heartbeat(now, report)
				} else {
					table.ApplyRemote(now, []rpc.Endpoint{report})
				}
			}
			if e := table.Get("i"); e != nil {
				if e.State < latestState || e.Seq < latestSeq {
					t.Fatalf("seed %d: from state %d, seq %d back to %d, %d", seed, latestState, latestSeq, e.State, e.Seq)
				}
				latestState, latestSeq = e.State, e.Seq
			}
		}
	}
}

// Another node may still report an endpoint that had the same address before. Guards against such a report that marks
// the current endpoint, whose heartbeats arrive here, as gone.
func TestReportOfPreviousEndpointAtAddress(t *testing.T) {
	table := New(heartbeatInterval)
	table.Heartbeat(second, endpointReport("i-new", 1, rpc.Ready))
	table.ApplyRemote(2*second, []rpc.Endpoint{endpointReport("i-old", 900, rpc.Ready)})
	_, outdated := table.Heartbeat(3*second, endpointReport("i-new", 2, rpc.Ready))
	if outdated || table.Get("i-new").State != rpc.Ready {
		t.Error("the endpoint whose heartbeats arrive here is marked as gone")
	}
}

// The reports of two other nodes may arrive in any order. Guards against the late report of an earlier endpoint at an
// address that marks the running one, which no heartbeat revives, as gone.
func TestLateReportOfPreviousEndpointAtAddress(t *testing.T) {
	table := New(heartbeatInterval)
	table.ApplyRemote(second, []rpc.Endpoint{endpointReport("i-new", 1, rpc.Ready)})
	changes := table.ApplyRemote(2*second, []rpc.Endpoint{endpointReport("i-old", 1, rpc.Ready)})
	if state := table.Get("i-new").State; state != rpc.Ready {
		t.Errorf("the running endpoint is in state %d, and its address is lost to others: %+v", state, changes)
	}
	changes = table.ApplyRemote(3*second, []rpc.Endpoint{endpointReport("i-old", 1, rpc.Gone)})
	if len(changes) != 1 || table.Get("i-old").State != rpc.Gone {
		t.Errorf("the end of the earlier endpoint, which the node that found it reports, is not applied: %+v", changes)
	}
	_, outdated := table.Heartbeat(4*second, endpointReport("i-new", 3, rpc.Ready))
	if outdated {
		t.Error("the heartbeat of the running endpoint is ignored")
	}
}

// Guards against a registry that removes an endpoint known only from another node too early, whatever its own uptime.
func TestRemoteEndpointIsKept(t *testing.T) {
	for _, now := range []time.Duration{10 * second, 1000 * second} {
		table := New(heartbeatInterval)
		table.ApplyRemote(now, []rpc.Endpoint{endpointReport("i", 1, rpc.Draining)})
		table.ExpireHeartbeats(now + second)
		if table.Get("i") == nil {
			t.Errorf("reported at %v, removed a second later", now)
		}
	}
}

// Guards against a lease that expires while its proxy may still use it, and against changes that are reported twice or
// not at all.
func TestLease(t *testing.T) {
	table := New(second)
	if !table.RenewLease(10*second, rpc.ProxyInfo{Name: "e1", Zone: "a"}) ||
		table.RenewLease(11*second, rpc.ProxyInfo{Name: "e1", Zone: "a"}) {
		t.Error("RenewLease does not report exactly the first renewal as new")
	}
	table.RenewLease(11*second, rpc.ProxyInfo{Name: "e0", Zone: "b"})
	if got := fmt.Sprint(table.Proxies()); got != "[{e0 b} {e1 a}]" {
		t.Error(got)
	}
	changes := func(now time.Duration) string {
		removed, added := table.LeaseChanges(now)
		return fmt.Sprint(removed, added)
	}
	if got := changes(11 * second); got != "[] [{e1 a} {e0 b}]" {
		t.Error("added:", got)
	}
	table.ReleaseLease("e0")
	table.ReleaseLease("e0")
	if got := changes(11 * second); got != "[e0] []" {
		t.Error("released twice:", got)
	}
	// A renewal that arrives at 11 s was sent at 11 s or earlier.
	got := changes(11*second+LeaseUseDuration) + changes(11*second+LeaseDuration)
	if got != "[] [][] []" || len(table.Proxies()) != 1 {
		t.Error("the lease expires while its proxy may use it:", got)
	}
	got = changes(11*second+LeaseDuration+1) + changes(20*second)
	if got != "[e1] [][] []" || len(table.Proxies()) != 0 {
		t.Error("the lease does not expire, or its end is reported twice:", got)
	}
	// A lease that ends and is granted again between two calls appears in both lists.
	table.RenewLease(30*second, rpc.ProxyInfo{Name: "e1", Zone: "a"})
	changes(30 * second)
	table.ReleaseLease("e1")
	table.RenewLease(31*second, rpc.ProxyInfo{Name: "e1", Zone: "a"})
	if got := changes(31 * second); got != "[e1] [{e1 a}]" {
		t.Error("removed and added:", got)
	}
}
