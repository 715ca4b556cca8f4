package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"elmfold/internal/gateway/rpc"
)

// newReplicaOfTwo returns node c0 of an epoch. Node c1 is connected with a disk of the given id, or not connected if
// the id is empty.
func newReplicaOfTwo(t *testing.T, e Epoch, otherDisk string) *Replica {
	t.Helper()
	r := New(Options{Self: testNode(0), Incarnation: 9, MaxFaults: 1,
		State: DurableState{StoreID: "d0", Identified: true, Epoch: e}})
	r.Step(ms)
	if otherDisk != "" {
		r.Step(2*ms, PeerConnected{Node: testNode(1), StoreID: otherDisk, MayHaveLostState: otherDisk != "d1"})
	}
	return r
}

// Guards against a cluster of two that cannot recover when one disk is wiped, and against a voter that decides alone
// while the other one may be running.
func TestReplacedVoterOfTwo(t *testing.T) {
	t.Parallel()
	two := Epoch{Number: 3, Voters: voters(0, 1)}
	three := Epoch{Number: 3, Voters: voters(0, 1, 2)}
	joint := Epoch{Number: 4, OldVoters: voters(0, 1), Voters: sortVoters([]Voter{
		voters(0)[0],
		{Node: testNode(1), StoreID: "d9"},
	})}
	for _, c := range []struct {
		name      string
		epoch     Epoch
		otherDisk string
		replaced  []string // store ids of voters that count as replaced
	}{
		{"the other machine has the same disk", two, "d1", nil},
		{"the other machine has another disk", two, "d9", []string{"d1"}},
		{"the other machine is not connected", two, "", nil},
		{"one of three", three, "d9", nil},
		{"an old voter of a joint epoch is replaced", joint, "d9", []string{"d1"}},
		{"an old voter of a joint epoch is connected", joint, "d1", []string{"d9"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReplicaOfTwo(t, c.epoch, c.otherDisk)
			var replaced []string
			for _, v := range c.epoch.AllVoters() {
				if r.isReplacedVoterOfPair(v) {
					replaced = append(replaced, v.StoreID)
				}
			}
			if !slices.Equal(replaced, c.replaced) {
				t.Errorf("replaced: %q, not %q", replaced, c.replaced)
			}
			decidesAlone := r.hasReadQuorum(r.registerFor(epochRegister), func(id string) bool { return id == "d0" })
			isOldReplaced := slices.Contains(c.replaced, "d1")
			if decidesAlone != isOldReplaced {
				t.Errorf("decides the next epoch alone: %t", decidesAlone)
			}
			// A value needs the other disk too, unless the joint epoch removes it.
			writesAlone := r.hasWriteQuorum(r.registerFor(configRegister), func(id string) bool {
				return id == "d0" || id == "d9"
			})
			if want := isOldReplaced && c.epoch.IsJoint(); writesAlone != want {
				t.Errorf("decides a value without the other disk: %t", writesAlone)
			}
		})
	}
}

// A voter must not count as replaced once the connection to its machine has closed.
func TestReplacedVoterNeedsConnection(t *testing.T) {
	t.Parallel()
	r := newReplicaOfTwo(t, Epoch{Number: 3, Voters: voters(0, 1)}, "d9")
	r.Step(3*ms, PeerDisconnected{Name: testNode(1).Name})
	if r.isReplacedVoterOfPair(voters(1)[0]) {
		t.Error("the voter counts as replaced without a connection")
	}
}

// Guards against a first epoch that can never be completed because its voters have lost their disks, and against one
// that is replaced while most of its voters are running.
func TestMajorityReplaced(t *testing.T) {
	t.Parallel()
	connected := func(ids ...string) (all []Voter) {
		for i, id := range ids {
			all = append(all, Voter{Node: testNode(i), StoreID: id})
		}
		return all
	}
	for _, c := range []struct {
		name      string
		voters    int
		connected []Voter
		want      bool
	}{
		{"none replaced", 3, connected("d0", "d1", "d2"), false},
		{"one of three replaced", 3, connected("d0", "d1", "e2"), false},
		{"two of three replaced", 3, connected("d0", "e1", "e2"), true},
		{"one replaced, one not connected", 3, connected("d0", "e1"), false},
		{"half of four replaced", 4, connected("d0", "d1", "e2", "e3"), false},
		{"three of five replaced", 5, connected("d0", "d1", "e2", "e3", "e4"), true},
		{"other machines connected", 3, connected("d0", "d1", "d2", "e3", "e4"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := Epoch{Number: 1}
			for i := range c.voters {
				first.Voters = append(first.Voters, Voter{Node: testNode(i), StoreID: fmt.Sprint("d", i)})
			}
			if got := majorityReplaced(first, c.connected); got != c.want {
				t.Errorf("%t", got)
			}
		})
	}
}

// proposedEpoch returns the epoch that the actions propose, or false if there is none.
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

// Guards against a joint epoch that never ends because its new voters fail before they are caught up. After
// jointTimeout, not earlier, the old voters alone revert it, and the other fields of the epoch stay the same.
func TestJointEpochIsReverted(t *testing.T) {
	t.Parallel()
	joint := Epoch{Number: 4, OldVoters: voters(0, 1, 2), Voters: voters(0, 1, 7), InitialSize: 3, ClusterID: 5}
	tr := newTestReplica(t, joint, injectedBugs{}, nil)
	var got Epoch
	for tr.now < 2*jointTimeout && got.Number == 0 {
		tr.now += 100 * ms
		for _, a := range tr.step() {
			s, isSend := a.(Send)
			if !isSend || s.To != testNode(1).Name {
				continue
			}
			for _, m := range s.Message.Paxos {
				if m.Register == epochRegister && m.Kind == rpc.Prepare {
					promise := rpc.PaxosMessage{Kind: rpc.Promise, Register: epochRegister, Ballot: m.Ballot}
					proposed, ok := proposedEpoch(
						tr.receive(1, &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{promise}}}),
					)
					if ok {
						got = proposed
					}
				}
			}
		}
	}
	if tr.now < jointTimeout || tr.now > jointTimeout+4*voterStagger { // the epoch is known since the process started
		t.Errorf("reverted after %v", tr.now)
	}
	want := Epoch{Number: 5, Voters: joint.OldVoters, InitialSize: 3, ClusterID: 5}
	if string(encodeEpoch(got)) != string(encodeEpoch(want)) {
		t.Errorf("%+v, not %+v", got, want)
	}
}

// A joint epoch whose new voters are caught up must be completed.
func TestJointEpochIsCompleted(t *testing.T) {
	t.Parallel()
	r := newReplicaOfTwo(t, Epoch{Number: 4, OldVoters: voters(0, 1), Voters: voters(0), ClusterID: 5}, "d1")
	stepAndAnswer := func(now time.Duration) (Epoch, bool) {
		var actions []Action
		for _, a := range r.Step(now) {
			actions = append(actions, a)
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
			actions = append(actions, r.Step(now, MessageReceived{From: testNode(1).Name, Message: message})...)
		}
		for i := 0; i < len(actions); i++ {
			if p, ok := actions[i].(Persist); ok {
				actions = append(actions, r.Step(now, Persisted{Seq: p.Seq})...)
			}
		}
		return proposedEpoch(actions)
	}
	for now := 10 * ms; now < jointTimeout/2; now += 50 * ms {
		if e, ok := stepAndAnswer(now); ok {
			if len(e.Voters) != 1 || e.Voters[0].StoreID != "d0" || e.Number != 5 || e.ClusterID != 5 {
				t.Errorf("%+v", e)
			}
			return
		}
	}
	t.Error("the joint epoch is not completed")
}
