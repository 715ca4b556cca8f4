package consensus

import (
	"fmt"
	"testing"
	"time"

	"elmfold/internal/controlplane/paxos"
	"elmfold/internal/gateway/rpc"
)

// testReplica is node c0 with connections to c1 to c4, whose messages the test creates.
type testReplica struct {
	t       *testing.T
	replica *Replica
	now     time.Duration
	epoch   uint64
	actions []Action
}

// voters returns a voter for each number of a node.
func voters(ids ...int) (all []Voter) {
	for _, i := range ids {
		all = append(all, Voter{Node: testNode(i), StoreID: fmt.Sprint("d", i)})
	}
	return sortVoters(all)
}

func newTestReplica(
	t *testing.T,
	e Epoch,
	bugs injectedBugs,
	acceptors map[string]paxos.Acceptor[Register],
) *testReplica {
	tr := &testReplica{t: t, epoch: e.Number, now: ms}
	tr.replica = New(
		Options{
			Self:        testNode(0),
			Incarnation: 9,
			MaxFaults:   1,
			bugs:        bugs,
			State:       DurableState{StoreID: "d0", Identified: true, Epoch: e, Acceptors: acceptors},
		},
	)
	tr.step()
	for i := 1; i < 5; i++ {
		tr.step(PeerConnected{Node: testNode(i), StoreID: fmt.Sprint("d", i)})
	}
	tr.confirmQuorum()
	return tr
}

// step passes events to the Replica, and completes all writes at once.
func (tr *testReplica) step(events ...Event) []Action {
	tr.now += ms
	tr.actions = nil
	for queue := tr.replica.Step(tr.now, events...); len(queue) > 0; {
		action := queue[0]
		queue = queue[1:]
		tr.actions = append(tr.actions, action)
		if p, ok := action.(Persist); ok {
			queue = append(queue, tr.replica.Step(tr.now, Persisted{Seq: p.Seq})...)
		}
	}
	return tr.actions
}

// receive passes a message of node i to the Replica. Its epoch and store id are filled in if they are not set.
func (tr *testReplica) receive(i int, m *rpc.Message) []Action {
	if m.EpochNumber == 0 {
		m.EpochNumber = tr.epoch
	}
	if m.StoreID == "" {
		m.StoreID = fmt.Sprint("d", i)
	}
	return tr.step(MessageReceived{testNode(i).Name, m})
}

// confirmQuorum answers the pings of the Replica.
func (tr *testReplica) confirmQuorum() {
	tr.now += pingInterval
	for _, action := range tr.step() {
		if s, ok := action.(Send); ok && s.Message.Ping {
			var i int
			_, _ = fmt.Sscanf(s.To, "c%d", &i)
			tr.receive(i, &rpc.Message{Consensus: rpc.Consensus{Pong: true, QueryID: s.Message.QueryID}})
		}
	}
	if !tr.replica.HasQuorum(tr.now) {
		tr.t.Fatal("no quorum contact")
	}
}

// findAction returns the last action of a type, and their number.
func findAction[T any](actions []Action) (found T, count int) {
	for _, action := range actions {
		if a, ok := action.(T); ok {
			found = a
			count++
		}
	}
	return found, count
}

// propose proposes a configuration, and returns the ballot for it.
func (tr *testReplica) propose(version uint64) BallotNumber {
	tr.step(Propose{1, configRegister, ReplaceConfig(version, 1, []byte("new"))})
	return tr.replica.registers[configRegister].proposal.Ballot
}

// A vote counts only if a voter sent it in the current epoch, for the current ballot and phase.
func TestVotesThatCount(t *testing.T) {
	epoch := Epoch{Number: 2, Voters: voters(0, 1, 2)}
	for name, c := range map[string]struct {
		message   func(b BallotNumber) *rpc.Message
		sender    int
		committed bool
	}{
		"a vote": {acceptedMessage, 1, true},
		"of an older epoch": {
			func(b BallotNumber) *rpc.Message {
				message := acceptedMessage(b)
				message.EpochNumber = 1
				return message
			},
			1,
			false,
		},
		"of a newer epoch": {
			func(b BallotNumber) *rpc.Message {
				message := acceptedMessage(b)
				message.EpochNumber = 3
				return message
			},
			1,
			false,
		},
		"of a learner": {acceptedMessage, 3, false},
		"of an earlier disk of the voter": {
			func(b BallotNumber) *rpc.Message {
				message := acceptedMessage(b)
				message.StoreID = "d1.old"
				return message
			},
			1,
			false,
		},
		"for another ballot": {
			func(b BallotNumber) *rpc.Message { b.Round--; return acceptedMessage(b) },
			1,
			false,
		},
		"for a ballot of another incarnation": {
			func(b BallotNumber) *rpc.Message { b.Incarnation++; return acceptedMessage(b) },
			1,
			false,
		},
		"a repeated promise": {promiseMessage, 1, false},
	} {
		tr := newTestReplica(t, epoch, injectedBugs{}, nil)
		b := tr.propose(5)
		tr.receive(1, promiseMessage(b))
		if p := tr.replica.registers[configRegister].proposal; p.Phase != paxos.Accepting {
			t.Fatalf("%s: not in the accept phase: %+v", name, p)
		}
		d, n := findAction[RequestDone](tr.receive(c.sender, c.message(b)))
		if (n > 0) != c.committed || c.committed && d.Outcome != Committed {
			t.Errorf("%s: done %v: %+v", name, n > 0, d)
		}
	}
}

func paxosMessage(m rpc.PaxosMessage) *rpc.Message {
	return &rpc.Message{Consensus: rpc.Consensus{Paxos: []rpc.PaxosMessage{m}}}
}

func acceptedMessage(b BallotNumber) *rpc.Message {
	return paxosMessage(rpc.PaxosMessage{Kind: rpc.Accepted, Register: configRegister, Ballot: b})
}

func promiseMessage(b BallotNumber) *rpc.Message {
	return paxosMessage(rpc.PaxosMessage{Kind: rpc.Promise, Register: configRegister, Ballot: b})
}

// In a joint epoch a quorum needs majorities of the old and of the new voters, and learners do not count.
func TestJointEpochQuorums(t *testing.T) {
	joint := Epoch{Number: 2, OldVoters: voters(0, 1, 2), Voters: voters(0, 1, 3)}
	for name, c := range map[string]struct {
		promises, acceptances []int
		committed             bool
	}{
		"one voter completes both":    {[]int{1}, []int{1}, true},
		"old voters only":             {[]int{2}, nil, false},
		"new voters only":             {[]int{3}, nil, false},
		"one old and one new voter":   {[]int{2, 3}, []int{2, 3}, true},
		"accepted by old voters only": {[]int{1}, []int{2}, false},
		"accepted by new voters only": {[]int{1}, []int{3}, false},
		"a learner":                   {[]int{4}, nil, false},
	} {
		tr := newTestReplica(t, joint, injectedBugs{}, nil)
		b := tr.propose(5)
		for _, i := range c.promises {
			tr.receive(i, promiseMessage(b))
		}
		if got := tr.replica.registers[configRegister].proposal.Phase == paxos.Accepting; got != (c.acceptances != nil) {
			t.Errorf("%s: in the accept phase: %v", name, got)
		}
		committed := 0
		for _, i := range c.acceptances {
			_, n := findAction[RequestDone](tr.receive(i, acceptedMessage(b)))
			committed += n
		}
		if (committed > 0) != c.committed {
			t.Errorf("%s: done %d times", name, committed)
		}
	}
}

// acceptors returns the acceptors on disk, by register.
func (tr *testReplica) acceptors() map[string]paxos.Acceptor[Register] {
	all := map[string]paxos.Acceptor[Register]{}
	for name, register := range tr.replica.registers {
		all[name] = register.acceptor
	}
	return all
}

// Guards against a promise that is lost in a restart, after which a lower ballot would be accepted.
func TestPromisesSurviveRestart(t *testing.T) {
	e := Epoch{Number: 1, Voters: voters(0, 1, 2)}
	answerAfterRestart := func(losesDisk bool) rpc.PaxosKind {
		tr := newTestReplica(t, e, injectedBugs{}, nil)
		low := BallotNumber{Round: 1<<epochShift | 1, Incarnation: 1}
		high := BallotNumber{Round: 1<<epochShift | 2, Incarnation: 2}
		tr.receive(2, paxosMessage(rpc.PaxosMessage{Kind: rpc.Prepare, Register: configRegister, Ballot: high}))
		disk := map[string]paxos.Acceptor[Register]{}
		if !losesDisk {
			disk = tr.acceptors()
		}
		tr = newTestReplica(t, e, injectedBugs{}, disk)
		v := Register{Name: configRegister, Version: Version{Number: 5, ID: 1}}
		accept := paxosMessage(rpc.PaxosMessage{Kind: rpc.Accept, Register: configRegister, Ballot: low, Value: &v})
		for _, action := range tr.receive(1, accept) {
			if s, ok := action.(Send); ok && len(s.Message.Paxos) > 0 {
				return s.Message.Paxos[0].Kind
			}
		}
		return 0
	}
	if got := answerAfterRestart(false); got != rpc.Preempted {
		t.Errorf("a lower ballot is answered with %d", got)
	}
	if got := answerAfterRestart(true); got != rpc.Accepted {
		t.Errorf("a lost promise is not detected: %d", got)
	}
}

// Guards against a value that was only accepted in an older epoch replacing one that was chosen in a newer epoch.
func TestBallotsAreOrderedByEpoch(t *testing.T) {
	proposedValue := func(bugs injectedBugs) Register {
		accepted := paxos.Acceptor[Register]{
			Promised: BallotNumber{Round: 7, Incarnation: 1},
			Accepted: BallotNumber{Round: 7, Incarnation: 1},
			Value:    Register{Name: configRegister, Version: Version{Number: 9, ID: 1}, Value: []byte("accepted only")},
		}
		if !bugs.unorderedEpochs {
			accepted.Promised.Round |= 1 << epochShift
			accepted.Accepted.Round |= 1 << epochShift
		}
		// c0 and c2 have no value and choose version 5 in epoch 3.
		tr := newTestReplica(t, Epoch{Number: 3, Voters: voters(0, 1, 2)}, bugs, nil)
		b := tr.propose(5)
		tr.receive(2, promiseMessage(b))
		if d, n := findAction[RequestDone](tr.receive(2, acceptedMessage(b))); n != 1 || d.Outcome != Committed {
			t.Fatalf("%+v", d)
		}
		// c1 returns with a value that it accepted in an older epoch, and c0 reads from it.
		keepValue := func(committed Register, _ Age) (Register, Outcome) { return committed, Committed }
		tr.step(Propose{2, configRegister, keepValue})
		b = tr.replica.registers[configRegister].proposal.Ballot
		tr.receive(1, paxosMessage(rpc.PaxosMessage{
			Kind:           rpc.Promise,
			Register:       configRegister,
			Ballot:         b,
			AcceptedBallot: accepted.Accepted,
			Value:          &accepted.Value,
		}))
		return *tr.replica.registers[configRegister].proposal.Value
	}
	if v := proposedValue(injectedBugs{}); v.Version.Number != 5 {
		t.Errorf("%q is proposed", v.Value)
	}
	if v := proposedValue(injectedBugs{unorderedEpochs: true}); v.Version.Number == 5 {
		t.Error("the injected bug is not detected")
	}
}

// Guards against a learner that becomes a voter before it has reported, in this epoch, that its disk has all chosen
// values.
func TestLearnersAreCaughtUpBeforeTheyVote(t *testing.T) {
	e := Epoch{Number: 2, Voters: voters(0, 1, 2), InitialSize: 5} // so that a voter may be added
	chosen := paxos.Acceptor[Register]{
		Promised: BallotNumber{Round: 5},
		Accepted: BallotNumber{Round: 5},
		Value:    Register{Name: configRegister, Version: Version{Number: 5, ID: 1}},
	}
	chosenBallots := map[string]BallotNumber{configRegister: chosen.Accepted}
	report := func(accepted map[string]BallotNumber, epoch uint64, storeID string) *rpc.Message {
		return &rpc.Message{
			Consensus: rpc.Consensus{
				AcceptedBallots: accepted,
				Complete:        true,
				EpochNumber:     epoch,
				StoreID:         storeID,
			},
		}
	}
	for name, c := range map[string]struct {
		report    *rpc.Message
		isDesired bool
	}{
		"all chosen values":           {report(chosenBallots, 0, ""), true},
		"an older value":              {report(map[string]BallotNumber{configRegister: {Round: 4}}, 0, ""), false},
		"no values":                   {report(nil, 0, ""), false},
		"reported in epoch 1":         {report(chosenBallots, 1, ""), false},
		"reported by an earlier disk": {report(chosenBallots, 0, "d3.old"), false},
		"no report":                   {&rpc.Message{}, false},
	} {
		tr := newTestReplica(t, e, injectedBugs{}, map[string]paxos.Acceptor[Register]{configRegister: chosen})
		tr.receive(1, report(chosenBallots, 0, ""))
		if _, known := tr.replica.CommittedValue(configRegister); !known {
			t.Fatal("the chosen value is not known")
		}
		tr.confirmQuorum()
		tr.confirmQuorum()
		tr.receive(3, c.report)
		isDesired := false
		for _, v := range tr.replica.desiredVoters() {
			isDesired = isDesired || v.StoreID == "d3"
		}
		if isDesired != c.isDesired {
			t.Errorf("%s: is a desired voter: %v", name, isDesired)
		}
	}
}
