package consensus

import (
	"fmt"
	"testing"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// trio is c0 of three founders, in touch with the others, whose words are made by hand.
type trio struct {
	t   *testing.T
	r   *Replica
	now time.Duration
	era uint64
	out []Action
}

func voters(ids ...int) (all []Voter) {
	for _, i := range ids {
		all = append(all, Voter{Node: controllerOf(i), StoreID: fmt.Sprint("d", i)})
	}
	return sortVoters(all)
}

func newTrio(t *testing.T, e Epoch, f injectedBugs, acceptors map[string]paxos.Acceptor[Register]) *trio {
	x := &trio{t: t, era: e.Number, now: ms}
	x.r = New(
		Options{
			Self:        controllerOf(0),
			Incarnation: 9,
			MaxFaults:   1,
			bugs:        f,
			State:       DurableState{StoreID: "d0", Identified: true, Epoch: e, Acceptors: acceptors},
		},
	)
	x.step()
	for i := 1; i < 5; i++ {
		x.step(PeerConnected{Node: controllerOf(i), StoreID: fmt.Sprint("d", i)})
	}
	x.touch()
	return x
}

// step takes events; the disk is done at once.
func (x *trio) step(events ...Event) []Action {
	x.now += ms
	x.out = nil
	for queue := x.r.Step(x.now, events...); len(queue) > 0; {
		o := queue[0]
		queue = queue[1:]
		x.out = append(x.out, o)
		if p, is := o.(Persist); is {
			queue = append(queue, x.r.Step(x.now, Persisted{Seq: p.Seq})...)
		}
	}
	return x.out
}

func (x *trio) says(i int, m *rpc.Message) []Action {
	if m.EpochNumber == 0 {
		m.EpochNumber = x.era
	}
	if m.StoreID == "" {
		m.StoreID = fmt.Sprint("d", i)
	}
	return x.step(MessageReceived{controllerOf(i).Name, m})
}

func (x *trio) touch() {
	x.now += pingInterval
	for _, o := range x.step() {
		if s, is := o.(Send); is && s.Message.Ping {
			var i int
			_, _ = fmt.Sscanf(s.To, "c%d", &i)
			x.says(i, &rpc.Message{Consensus: rpc.Consensus{Pong: true, QueryID: s.Message.QueryID}})
		}
	}
	if !x.r.HasQuorum(x.now) {
		x.t.Fatal("not in touch")
	}
}

func one[T any](orders []Action) (found T, n int) {
	for _, o := range orders {
		if o, is := o.(T); is {
			found = o
			n++
		}
	}
	return found, n
}

// asked gives an order, and tells the ballot that it begins.
func (x *trio) asked(version uint64) BallotNumber {
	x.step(Propose{1, charter, ReplaceConfig(version, 1, []byte("new"))})
	return x.r.registers[charter].proposal.Ballot
}

// Which votes make a value chosen: of a disk that votes, in this epoch, for this ballot, once each.
func TestVotesThatCount(t *testing.T) {
	one1 := Epoch{Number: 2, Voters: voters(0, 1, 2)}
	for what, c := range map[string]struct {
		m    func(b BallotNumber) *rpc.Message
		who  int
		done bool
	}{
		"a vote": {func(b BallotNumber) *rpc.Message { return agreedTo(b) }, 1, true},
		"of an older epoch": {
			func(b BallotNumber) *rpc.Message { m := agreedTo(b); m.EpochNumber = 1; return m },
			1,
			false,
		},
		"of a newer epoch": {
			func(b BallotNumber) *rpc.Message { m := agreedTo(b); m.EpochNumber = 3; return m },
			1,
			false,
		},
		"of a disk that does not vote": {func(b BallotNumber) *rpc.Message { return agreedTo(b) }, 3, false},
		"of the disk it had before": {
			func(b BallotNumber) *rpc.Message { m := agreedTo(b); m.StoreID = "d1.old"; return m },
			1,
			false,
		},
		"for another ballot":        {func(b BallotNumber) *rpc.Message { b.Round--; return agreedTo(b) }, 1, false},
		"for another life's ballot": {func(b BallotNumber) *rpc.Message { b.Incarnation++; return agreedTo(b) }, 1, false},
		"a promise, again":          {func(b BallotNumber) *rpc.Message { return promiseOf(b) }, 1, false},
	} {
		x := newTrio(t, one1, injectedBugs{}, nil)
		b := x.asked(5)
		x.says(1, promiseOf(b))
		if p := x.r.registers[charter].proposal; p.Phase != paxos.Accepting {
			t.Fatalf("%s: no offer: %+v", what, p)
		}
		d, n := one[RequestDone](x.says(c.who, c.m(b)))
		if (n > 0) != c.done || c.done && d.Outcome != Committed {
			t.Errorf("%s: done %v: %+v", what, n > 0, d)
		}
	}
}

func agreedTo(b BallotNumber) *rpc.Message {
	return &rpc.Message{
		Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{{Kind: rpc.Accepted, Register: charter, Ballot: b}}},
	}
}

func promiseOf(b BallotNumber) *rpc.Message {
	return &rpc.Message{
		Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{{Kind: rpc.Promise, Register: charter, Ballot: b}}},
	}
}

// While voters change, old and new ones are both needed; a learner is none.
func TestVotesWhileVotersChange(t *testing.T) {
	joint := Epoch{Number: 2, OldVoters: voters(0, 1, 2), Voters: voters(0, 1, 3)}
	for what, c := range map[string]struct {
		promise, agree []int
		done           bool
	}{
		"both majorities by one":       {[]int{1}, []int{1}, true},
		"of the old ones only":         {[]int{2}, nil, false},
		"of the new ones only":         {[]int{3}, nil, false},
		"one of each":                  {[]int{2, 3}, []int{2, 3}, true},
		"read by both, written to old": {[]int{1}, []int{2}, false},
		"written to new":               {[]int{1}, []int{3}, false},
		"a learner":                    {[]int{4}, nil, false},
	} {
		x := newTrio(t, joint, injectedBugs{}, nil)
		b := x.asked(5)
		for _, i := range c.promise {
			x.says(i, promiseOf(b))
		}
		if got := x.r.registers[charter].proposal.Phase == paxos.Accepting; got != (c.agree != nil) {
			t.Errorf("%s: offers %v", what, got)
		}
		done := 0
		for _, i := range c.agree {
			_, n := one[RequestDone](x.says(i, agreedTo(b)))
			done += n
		}
		if (done > 0) != c.done {
			t.Errorf("%s: done %d", what, done)
		}
	}
}

// kept is what the disk of a process has as it ends.
func (x *trio) kept() map[string]paxos.Acceptor[Register] {
	all := map[string]paxos.Acceptor[Register]{}
	for name, g := range x.r.registers {
		all[name] = g.acceptor
	}
	return all
}

// A promise lasts over a restart: an older ballot's value is not taken after it.
func TestPromisesLastOverARestart(t *testing.T) {
	e := Epoch{Number: 1, Voters: voters(0, 1, 2)}
	play := func(forgets bool) rpc.PaxosKind {
		x := newTrio(t, e, injectedBugs{}, nil)
		low, high := BallotNumber{
			Round:       1<<epochShift | 1,
			Incarnation: 1,
		}, BallotNumber{
			Round:       1<<epochShift | 2,
			Incarnation: 2,
		}
		x.says(
			2,
			&rpc.Message{
				Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{{Kind: rpc.Prepare, Register: charter, Ballot: high}}},
			},
		)
		disk := map[string]paxos.Acceptor[Register]{}
		if !forgets {
			disk = x.kept()
		}
		x = newTrio(t, e, injectedBugs{}, disk)
		v := Register{Name: charter, Version: Version{Number: 5, ID: 1}}
		for _, o := range x.says(
			1,
			&rpc.Message{
				Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{{Kind: rpc.Accept, Register: charter, Ballot: low, Value: &v}}},
			},
		) {
			if s, is := o.(Send); is && len(s.Message.Paxos) > 0 {
				return s.Message.Paxos[0].Kind
			}
		}
		return 0
	}
	if got := play(false); got != rpc.Preempted {
		t.Errorf("an older ballot is answered with %d", got)
	}
	if got := play(true); got != rpc.Accepted {
		t.Errorf("a flaw that is planted here is not seen: %d", got)
	}
}

// What was half done in an older epoch does not win over what was chosen in a newer one, whose voters never met it.
func TestBallotsOfNewerEpochsAreAbove(t *testing.T) {
	play := func(f injectedBugs) Register {
		old := paxos.Acceptor[Register]{
			Promised: BallotNumber{Round: 7, Incarnation: 1},
			Accepted: BallotNumber{Round: 7, Incarnation: 1},
			Value:    Register{Name: charter, Version: Version{Number: 9, ID: 1}, Value: []byte("half done")},
		}
		if !f.unorderedEpochs {
			old.Promised.Round |= 1 << epochShift
			old.Accepted.Round |= 1 << epochShift
		}
		// c0 and c2 hold nothing and choose version 5 in epoch 3.
		x := newTrio(t, Epoch{Number: 3, Voters: voters(0, 1, 2)}, f, nil)
		b := x.asked(5)
		x.says(2, promiseOf(b))
		if d, n := one[RequestDone](x.says(2, agreedTo(b))); n != 1 || d.Outcome != Committed {
			t.Fatalf("%+v", d)
		}
		// c1 is back with what an older epoch began, and c0 reads from both.
		x.step(Propose{2, charter, func(holds Register, _ Age) (Register, Outcome) { return holds, Committed }})
		b = x.r.registers[charter].proposal.Ballot
		x.says(
			1,
			&rpc.Message{
				Consensus: rpc.Consensus{
					Paxos: []rpc.PaxosMessage{
						{Kind: rpc.Promise, Register: charter, Ballot: b, AcceptedBallot: old.Accepted, Value: &old.Value},
					},
				},
			},
		)
		return *x.r.registers[charter].proposal.Value
	}
	if v := play(injectedBugs{}); v.Version.Number != 5 {
		t.Errorf("%q wins", v.Value)
	}
	if v := play(injectedBugs{unorderedEpochs: true}); v.Version.Number == 5 {
		t.Error("a flaw that is planted here is not seen")
	}
}

// A learner is not wished for as a voter before it has all, on its disk, as it said in this epoch.
func TestLearnersAreWholeBeforeTheyVote(t *testing.T) {
	e := Epoch{Number: 2, Voters: voters(0, 1, 2), InitialSize: 5} // there is room for it
	has := paxos.Acceptor[Register]{
		Promised: BallotNumber{Round: 5},
		Accepted: BallotNumber{Round: 5},
		Value:    Register{Name: charter, Version: Version{Number: 5, ID: 1}},
	}
	for what, c := range map[string]struct {
		m      *rpc.Message
		wished bool
	}{
		"it has all": {
			&rpc.Message{
				Consensus: rpc.Consensus{AcceptedBallots: map[string]BallotNumber{charter: has.Accepted}, Complete: true},
			},
			true,
		},
		"it has less": {
			&rpc.Message{
				Consensus: rpc.Consensus{AcceptedBallots: map[string]BallotNumber{charter: {Round: 4}}, Complete: true},
			},
			false,
		},
		"it has nothing": {&rpc.Message{Consensus: rpc.Consensus{Complete: true}}, false},
		"said in epoch 1": {
			&rpc.Message{
				Consensus: rpc.Consensus{
					AcceptedBallots: map[string]BallotNumber{charter: has.Accepted},
					Complete:        true,
					EpochNumber:     1,
				},
			},
			false,
		},
		"of the disk before": {
			&rpc.Message{
				Consensus: rpc.Consensus{
					AcceptedBallots: map[string]BallotNumber{charter: has.Accepted},
					Complete:        true,
					StoreID:         "d3.old",
				},
			},
			false,
		},
		"it has said nothing": {&rpc.Message{}, false},
	} {
		x := newTrio(t, e, injectedBugs{}, map[string]paxos.Acceptor[Register]{charter: has})
		x.says(
			1,
			&rpc.Message{
				Consensus: rpc.Consensus{AcceptedBallots: map[string]BallotNumber{charter: has.Accepted}, Complete: true},
			},
		)
		if _, known := x.r.CommittedValue(charter); !known {
			t.Fatal("it is not known what is chosen")
		}
		x.touch()
		x.touch()
		x.says(3, c.m)
		wished := false
		for _, v := range x.r.desiredVoters() {
			wished = wished || v.StoreID == "d3"
		}
		if wished != c.wished {
			t.Errorf("%s: wished for: %v", what, wished)
		}
	}
}
