package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"elmfold/internal/gateway/rpc"
)

// pair is c0 of two voters whose other machine is there, with a disk of an id; "": no connection to it is up.
func pair(t *testing.T, e Epoch, otherDisk string) *Replica {
	t.Helper()
	r := New(Options{Self: controllerOf(0), Incarnation: 9, MaxFaults: 1,
		State: DurableState{StoreID: "d0", Identified: true, Epoch: e}})
	r.Step(ms)
	if otherDisk != "" {
		r.Step(2*ms, PeerConnected{Node: controllerOf(1), StoreID: otherDisk, MayHaveLostState: otherDisk != "d1"})
	}
	return r
}

// Guards against a control plane of two that ends for good when one disk is wiped, and against one of two that decides
// alone while the other may be there.
func TestStaleIdentityOfOneOfTwo(t *testing.T) {
	t.Parallel()
	two := Epoch{Number: 3, Voters: voters(0, 1)}
	three := Epoch{Number: 3, Voters: voters(0, 1, 2)}
	joint := Epoch{Number: 4, OldVoters: voters(0, 1), Voters: sortVoters([]Voter{
		voters(0)[0],
		{Node: controllerOf(1), StoreID: "d9"},
	})}
	for _, c := range []struct {
		name      string
		epoch     Epoch
		otherDisk string
		stale     []string // ids of voters whose identity is stale
	}{
		{"its machine is there with the same disk", two, "d1", nil},
		{"its machine is there with another disk", two, "d9", []string{"d1"}},
		{"no connection to its machine is up", two, "", nil},
		{"one of three", three, "d9", nil},
		{"an old voter of a joint epoch", joint, "d9", []string{"d1"}},
		{"an old voter of a joint epoch that is there", joint, "d1", []string{"d9"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := pair(t, c.epoch, c.otherDisk)
			var stale []string
			for _, v := range c.epoch.AllVoters() {
				if r.isReplacedVoterOfPair(v) {
					stale = append(stale, v.StoreID)
				}
			}
			if !slices.Equal(stale, c.stale) {
				t.Errorf("stale: %q, not %q", stale, c.stale)
			}
			decidesAlone := r.hasReadQuorum(r.registerFor(epochRegister), func(id string) bool { return id == "d0" })
			isOldStale := slices.Contains(c.stale, "d1")
			if decidesAlone != isOldStale {
				t.Errorf("decides alone who votes next: %t", decidesAlone)
			}
			// What was chosen needs the other disk, unless the change under way removes it.
			writesAlone := r.hasWriteQuorum(r.registerFor(charter), func(id string) bool {
				return id == "d0" || id == "d9"
			})
			if want := isOldStale && c.epoch.IsJoint(); writesAlone != want {
				t.Errorf("a value is written without it: %t", writesAlone)
			}
		})
	}
}

// A connection that broke says nothing any more of the disk behind it.
func TestStaleIdentityEndsWithTheConnection(t *testing.T) {
	t.Parallel()
	r := pair(t, Epoch{Number: 3, Voters: voters(0, 1)}, "d9")
	r.Step(3*ms, PeerDisconnected{Name: controllerOf(1).Name})
	if r.isReplacedVoterOfPair(voters(1)[0]) {
		t.Error("the identity is stale without a connection")
	}
}

// Guards against a first epoch that was left open when its voters lost their disks, and against one that is given up
// while most of its voters are there.
func TestMajorityReplaced(t *testing.T) {
	t.Parallel()
	here := func(ids ...string) (all []Voter) {
		for i, id := range ids {
			all = append(all, Voter{Node: controllerOf(i), StoreID: id})
		}
		return all
	}
	for _, c := range []struct {
		name   string
		voters int
		here   []Voter
		want   bool
	}{
		{"all are there", 3, here("d0", "d1", "d2"), false},
		{"one of three replaced", 3, here("d0", "d1", "e2"), false},
		{"two of three replaced", 3, here("d0", "e1", "e2"), true},
		{"one replaced, one away", 3, here("d0", "e1"), false},
		{"half of four replaced", 4, here("d0", "d1", "e2", "e3"), false},
		{"three of five replaced", 5, here("d0", "d1", "e2", "e3", "e4"), true},
		{"others came", 3, here("d0", "d1", "d2", "e3", "e4"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := Epoch{Number: 1}
			for i := range c.voters {
				first.Voters = append(first.Voters, Voter{Node: controllerOf(i), StoreID: fmt.Sprint("d", i)})
			}
			if got := majorityReplaced(first, c.here); got != c.want {
				t.Errorf("%t", got)
			}
		})
	}
}

// proposedEpoch is the epoch that is offered in some actions; false: none is.
func proposedEpoch(actions []Action) (Epoch, bool) {
	for _, a := range actions {
		s, isSend := a.(Send)
		if !isSend {
			continue
		}
		for _, m := range s.Message.Paxos {
			if m.Register == epochRegister && m.Kind == rpc.Accept {
				e, err := decodeEpoch(m.Value.Value)
				return e, err == nil
			}
		}
	}
	return Epoch{}, false
}

// Guards against a change of voters that never ends, as the new voters went before they had all: after jointTimeout the
// old voters alone decide that it is reverted, not earlier, and with the epoch's other properties kept.
func TestJointEpochIsReverted(t *testing.T) {
	t.Parallel()
	joint := Epoch{Number: 4, OldVoters: voters(0, 1, 2), Voters: voters(0, 1, 7), InitialSize: 3, ClusterID: 5}
	x := newTrio(t, joint, injectedBugs{}, nil)
	var got Epoch
	for x.now < 2*jointTimeout && got.Number == 0 {
		x.now += 100 * ms
		for _, a := range x.step() {
			s, isSend := a.(Send)
			if !isSend || s.To != controllerOf(1).Name {
				continue
			}
			for _, m := range s.Message.Paxos {
				if m.Register == epochRegister && m.Kind == rpc.Prepare {
					promise := rpc.PaxosMessage{Kind: rpc.Promise, Register: epochRegister, Ballot: m.Ballot}
					offered, is := proposedEpoch(x.says(1, &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{promise}}}))
					if is {
						got = offered
					}
				}
			}
		}
	}
	if x.now < jointTimeout || x.now > jointTimeout+4*voterStagger { // the process knew of the epoch from its start
		t.Errorf("after %v", x.now)
	}
	want := Epoch{Number: 5, Voters: joint.OldVoters, InitialSize: 3, ClusterID: 5}
	if string(encodeEpoch(got)) != string(encodeEpoch(want)) {
		t.Errorf("%+v, not %+v", got, want)
	}
}

// A joint epoch whose new voters have all is ended, not reverted, also when it took long.
func TestJointEpochIsFinishedWhereItCanBe(t *testing.T) {
	t.Parallel()
	r := pair(t, Epoch{Number: 4, OldVoters: voters(0, 1), Voters: voters(0), ClusterID: 5}, "d1")
	scan := func(now time.Duration) (Epoch, bool) {
		var all []Action
		for _, a := range r.Step(now) {
			all = append(all, a)
			s, isSend := a.(Send)
			if !isSend {
				continue
			}
			answer := rpc.Consensus{EpochNumber: 4, StoreID: "d1"}
			switch {
			case s.Message.QueryState:
				answer.Complete, answer.QueryID = true, s.Message.QueryID
			case len(s.Message.Paxos) > 0 && s.Message.Paxos[0].Kind == rpc.Prepare:
				answer.Paxos = []rpc.PaxosMessage{{Kind: rpc.Promise, Register: epochRegister, Ballot: s.Message.Paxos[0].Ballot}}
			default:
				continue
			}
			message := &rpc.Message{Consensus: answer}
			all = append(all, r.Step(now, MessageReceived{From: controllerOf(1).Name, Message: message})...)
		}
		for i := 0; i < len(all); i++ {
			if p, is := all[i].(Persist); is {
				all = append(all, r.Step(now, Persisted{Seq: p.Seq})...)
			}
		}
		return proposedEpoch(all)
	}
	for now := 10 * ms; now < jointTimeout/2; now += 50 * ms {
		if e, is := scan(now); is {
			if len(e.Voters) != 1 || e.Voters[0].StoreID != "d0" || e.Number != 5 || e.ClusterID != 5 {
				t.Errorf("%+v", e)
			}
			return
		}
	}
	t.Error("it is not ended")
}
