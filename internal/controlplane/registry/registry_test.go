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

const s = time.Second

func beat(id string, seq uint64, state rpc.EndpointState) rpc.Endpoint {
	return rpc.Endpoint{ID: id, Service: "look", Address: "10.0.0.9:80", Zone: "a", Capacity: 4, Seq: seq, State: state}
}

func at(b rpc.Endpoint, address string) rpc.Endpoint {
	b.Address = address
	return b
}

// The words of one controller, in the order in which they are told to carriers and to others.
func TestStory(t *testing.T) {
	var out strings.Builder
	table := New(1500 * time.Millisecond)
	states := []string{"ready", "draining", "gone"}
	show := func(now time.Duration, what string, news []rpc.Endpoint) {
		fmt.Fprintf(&out, "%4v %s\n", now, what)
		for _, b := range news {
			fmt.Fprintf(&out, "       %s at %s: %s, seq %d, vouched %v, cold for %d ms\n", b.ID, b.Address, states[b.State],
				b.Seq, b.Live, b.WarmupRemaining)
		}
	}
	hear := func(now time.Duration, what string, b rpc.Endpoint) {
		news, late := table.Heartbeat(now, b)
		if late {
			what += " (late)"
		}
		show(now, what, news)
	}
	cold := beat("i-1", 2, rpc.Ready)
	cold.WarmupRemaining = 3000
	hear(1*s, "i-1 beats", beat("i-1", 1, rpc.Ready))
	hear(2*s, "i-1 beats, cold now", cold)
	cold.Seq, cold.WarmupRemaining = 3, 2000
	hear(3*s, "i-1 beats, still cold", cold)
	hear(4*s, "an older beat of i-1", beat("i-1", 1, rpc.Ready))
	show(4*s, "another controller tells of i-2, which it hears",
		table.ApplyRemote(4*s, []rpc.Endpoint{at(beat("i-2", 7, rpc.Ready), "10.0.0.8:80")}))
	hear(5*s, "i-1 drains", beat("i-1", 4, rpc.Draining))
	hear(6*s, "i-1 says that it is ready", beat("i-1", 5, rpc.Ready))
	hear(7*s, "i-3 beats at the address of i-1", beat("i-3", 1, rpc.Ready))
	hear(8*s, "i-1 beats", beat("i-1", 6, rpc.Draining))
	show(9*s, "nothing is silent yet", table.ExpireHeartbeats(9*s))
	show(13*s, "i-3 is silent", table.ExpireHeartbeats(13*s))
	hear(14*s, "i-3 beats again", beat("i-3", 2, rpc.Ready))
	show(15*s, "i-3 leaves", table.Deregister(15*s, "i-3", 3))
	show(15*s, "i-3 leaves, told again", table.Deregister(15*s, "i-3", 3))
	show(16*s, "one that is not known leaves", table.Deregister(16*s, "i-4", 0))
	hear(17*s, "its beat", beat("i-4", 9, rpc.Ready))
	show(18*s, "a new line is told all", table.All(18*s))
	autogold.Equal(t, out.String())
}

// In whatever order words come, from whomever, a life only moves on.
func TestLifeOnlyMovesOn(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		table, now := New(1500*time.Millisecond), time.Duration(0)
		var most rpc.EndpointState
		var newest uint64
		for range 60 {
			now += time.Duration(r.Int64N(int64(3 * s))) // less in all than it takes to forget one that is gone
			if now > 80*s {
				break
			}
			seq := uint64(r.IntN(20))
			b := beat("i", seq+1, rpc.EndpointState(min(seq/8, 1)))
			switch r.IntN(20) {
			case 0:
				table.Deregister(now, "i", seq)
			case 1:
				table.ExpireHeartbeats(now)
			default:
				if r.IntN(2) == 0 {
					table.Heartbeat(now, b)
				} else {
					table.ApplyRemote(now, []rpc.Endpoint{b})
				}
			}
			if l := table.Get("i"); l != nil {
				if l.State < most || l.Seq < newest {
					t.Fatalf("seed %d: from state %d, seq %d back to %d, %d", seed, most, newest, l.State, l.Seq)
				}
				most, newest = l.State, l.Seq
			}
		}
	}
}

// What another controller still believes of a life that had the address before says nothing against the one that
// beats here: it may have missed that the old one is gone, as this one may where it has just started.
func TestLateWordOfAnOldLifeDoesNotEndTheNewOne(t *testing.T) {
	table := New(1500 * time.Millisecond)
	table.Heartbeat(s, beat("i-new", 1, rpc.Ready))
	table.ApplyRemote(2*s, []rpc.Endpoint{beat("i-old", 900, rpc.Ready)})
	if _, late := table.Heartbeat(3*s, beat("i-new", 2, rpc.Ready)); late || table.Get("i-new").State != rpc.Ready {
		t.Error("the life that beats here is held to be gone, for good")
	}
}

// What others hear is kept for as long as what is heard here, however long this controller has been running.
func TestToldLifeIsKept(t *testing.T) {
	for _, now := range []time.Duration{10 * s, 1000 * s} {
		table := New(1500 * time.Millisecond)
		table.ApplyRemote(now, []rpc.Endpoint{beat("i", 1, rpc.Draining)})
		table.ExpireHeartbeats(now + s)
		if table.Get("i") == nil {
			t.Errorf("told at %v, forgotten a second later", now)
		}
	}
}

// A lease outlasts the right that goes with it, and its end is told once.
func TestLease(t *testing.T) {
	table := New(s)
	if !table.RenewLease(10*s, rpc.ProxyInfo{Name: "e1", Zone: "a"}) ||
		table.RenewLease(11*s, rpc.ProxyInfo{Name: "e1", Zone: "a"}) {
		t.Error("only the first renewal is news")
	}
	table.RenewLease(11*s, rpc.ProxyInfo{Name: "e0", Zone: "b"})
	if got := fmt.Sprint(table.Proxies()); got != "[{e0 b} {e1 a}]" {
		t.Error(got)
	}
	told := func(at time.Duration) string { went, came := table.LeaseChanges(at); return fmt.Sprint(went, came) }
	if got := told(11 * s); got != "[] [{e1 a} {e0 b}]" {
		t.Error("who came:", got)
	}
	table.ReleaseLease("e0")
	table.ReleaseLease("e0")
	if got := told(11 * s); got != "[e0] []" {
		t.Error("a lease is given back once:", got)
	}
	// The renewal that is heard at 11 s was sent at 11 s or before.
	if got := told(11*s+LeaseUseDuration) + told(11*s+LeaseDuration); got != "[] [][] []" || len(table.Proxies()) != 1 {
		t.Error("the lease ends while its holder may use it:", got)
	}
	if got := told(11*s+LeaseDuration+1) + told(20*s); got != "[e1] [][] []" || len(table.Proxies()) != 0 {
		t.Error("the lease does not end, or is told again:", got)
	}
	// One that went and came again between two tellings is a member to whoever hears them in their order.
	table.RenewLease(30*s, rpc.ProxyInfo{Name: "e1", Zone: "a"})
	told(30 * s)
	table.ReleaseLease("e1")
	table.RenewLease(31*s, rpc.ProxyInfo{Name: "e1", Zone: "a"})
	if got := told(31 * s); got != "[e1] [{e1 a}]" {
		t.Error("went and came:", got)
	}
}
