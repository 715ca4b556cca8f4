package consensus

import (
	"encoding/binary"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
)

// The bootstrap model explores the Paxos decision of the first epoch with the real bootstrapRule. Messages may be lost
// or delayed, and machines may be wiped at any time. There are no connections or clocks: a proposer may count any set
// of votes that were cast. States that are equal after a permutation of the seeds, or of the other machines, count as
// one.

// Sizes of the arrays of the model.
const (
	maxModelMachines = 7
	maxModelBallots  = 3
)

// bootstrapScope limits what may happen in the model.
type bootstrapScope struct {
	name        string
	machines    int
	maxFaults   int
	ballots     int  // proposals of the first epoch, by any nodes
	maxWipes    int  // of machines
	killedEarly bool // all processes may be killed before the first write of some disks
	bugs        bootstrapBugs
	maxStates   int // 0: no limit
}

// bootstrapBugs are faults that tests enable to show that the model detects them.
type bootstrapBugs struct {
	seedMajorityDecides bool // a majority of the seeds always decides
	oneSeedDecides      bool // any intact seed is a quorum
	countsWipedDisks    bool // wiped disks count as intact
	ignoresAccepted     bool // proposers ignore accepted values
	smallQuorum         bool // f intact disks are a quorum
}

// ballotVotes are the votes of one disk in one ballot.
type ballotVotes struct {
	promised       bool
	acceptedBefore uint8 // the accepted ballot that the promise reported; 0: none
	accepted       bool
}

// modelMachine is a machine with its current disk, and the votes that its disks have sent.
type modelMachine struct {
	mayHaveLostState bool // the current disk is not from the first start
	wiped            bool
	promised         uint8 // ballot, of the current disk
	accepted         uint8
	epochValue       uint8                               // the value whose epoch is on the current disk; 0: none
	votes            [2][maxModelBallots + 1]ballotVotes // by disk and ballot
	voterDisk        [maxModelBallots + 1]uint8          // by value: which disk is a voter of its epoch
	hasEntered       [maxModelBallots + 1]bool           // by value: the voter has entered its epoch
}

// Values of modelMachine.voterDisk.
const (
	notVoter uint8 = iota
	firstDiskVotes
	secondDiskVotes
)

// bootstrapState is a state of the model. A value is identified by the first ballot that proposed it.
type bootstrapState struct {
	machines      [maxModelMachines]modelMachine
	valueOf       [maxModelBallots + 1]uint8 // by ballot: the proposed value; 0: none yet
	epochOf       [maxModelBallots + 1]uint8 // by value: the number of its epoch
	replacedValue [maxModelBallots + 1]uint8 // by value: the obsolete value that it replaces; 0: none
	wipes         uint8                      // so far
}

// bootstrapModel explores the states of a scope, and keeps the results.
type bootstrapModel struct {
	bootstrapScope
	stateCount  int // visited
	transitions int
	failure     string
	truncated   bool
}

func (model *bootstrapModel) rule() bootstrapRule {
	seeds := min(model.machines, maxSeeds)
	return bootstrapRule{
		seeds:              seeds,
		maxFaults:          model.maxFaults,
		firstStartMachines: model.machines,
		knownMachines:      model.machines,
	}
}

func (model *bootstrapModel) isQuorum(votes bootstrapVotes) bool {
	seeds := min(model.machines, maxSeeds)
	switch {
	case model.bugs.seedMajorityDecides:
		return votes.intactSeeds >= seeds/2+1 || votes.intact >= model.maxFaults+1 && votes.seeds > 0
	case model.bugs.oneSeedDecides:
		return votes.intactSeeds > 0
	case model.bugs.smallQuorum:
		return votes.intact >= model.maxFaults
	}
	return model.rule().isQuorum(votes)
}

// count counts the machines that have a vote in a ballot, by the first or the second disk.
func (model *bootstrapModel) count(s *bootstrapState, has func(ballotVotes) bool, ballot int) bootstrapVotes {
	votes := bootstrapVotes{}
	for i := range model.machines {
		machine := &s.machines[i]
		isSeed := i < maxSeeds
		switch {
		case has(machine.votes[0][ballot]):
			votes.add(isSeed, false)
		case has(machine.votes[1][ballot]):
			votes.add(isSeed, !model.bugs.countsWipedDisks)
		}
	}
	return votes
}

func (machine *modelMachine) disk() int {
	if machine.mayHaveLostState {
		return 1
	}
	return 0
}

// initialStates returns the states before the first ballot. If processes may be killed early, there is one for each set
// of disks that are not from the first start.
func (model *bootstrapModel) initialStates() []*bootstrapState {
	if !model.killedEarly {
		return []*bootstrapState{{}}
	}
	var all []*bootstrapState
	for set := range 1 << model.machines {
		s := &bootstrapState{}
		for i := range model.machines {
			s.machines[i].mayHaveLostState = set>>i&1 == 1
		}
		all = append(all, s)
	}
	return all
}

// successors returns the states that may follow.
func (model *bootstrapModel) successors(s *bootstrapState) (all []*bootstrapState) {
	add := func(change func(*bootstrapState)) {
		next := *s
		change(&next)
		all = append(all, &next)
	}
	for b := 1; b <= model.ballots; b++ {
		for i := range model.machines {
			model.addVotes(s, b, i, add)
		}
		if s.valueOf[b] == 0 {
			model.addProposals(s, b, add)
		} else {
			model.addEpochEntries(s, b, add)
		}
	}
	for i := range model.machines {
		if machine := &s.machines[i]; int(s.wipes) < model.maxWipes && !machine.wiped && !machine.mayHaveLostState {
			add(func(next *bootstrapState) {
				next.wipes++
				wiped := &next.machines[i]
				wiped.wiped, wiped.mayHaveLostState, wiped.promised, wiped.accepted, wiped.epochValue = true, true, 0, 0, 0
			})
		}
	}
	return all
}

// addVotes adds a machine's promise and its acceptance in a ballot. A node that has entered an epoch gives neither.
func (model *bootstrapModel) addVotes(s *bootstrapState, b, i int, add func(func(*bootstrapState))) {
	machine := &s.machines[i]
	if machine.epochValue > 0 {
		return
	}
	votes := machine.votes[machine.disk()][b]
	if s.valueOf[b] == 0 && !votes.promised && int(machine.promised) < b {
		add(func(next *bootstrapState) {
			voter := &next.machines[i]
			voter.promised = uint8(b)
			voter.votes[voter.disk()][b] = ballotVotes{promised: true, acceptedBefore: voter.accepted}
		})
	}
	if s.valueOf[b] > 0 && !votes.accepted && int(machine.promised) <= b {
		add(func(next *bootstrapState) {
			voter := &next.machines[i]
			voter.promised, voter.accepted = uint8(b), uint8(b)
			voter.votes[voter.disk()][b].accepted = true
		})
	}
}

// addProposals adds the proposals in a ballot that any quorum of the promises allows.
func (model *bootstrapModel) addProposals(s *bootstrapState, b int, add func(func(*bootstrapState))) {
	var promised []int
	for i := range model.machines {
		if s.machines[i].votes[0][b].promised || s.machines[i].votes[1][b].promised {
			promised = append(promised, i)
		}
	}
	added := map[uint8]bool{} // by the highest accepted ballot
	for set := 1; set < 1<<len(promised); set++ {
		accepted, isQuorum := model.highestAccepted(s, b, promised, set)
		if !isQuorum || added[accepted] {
			continue
		}
		added[accepted] = true
		if accepted > 0 && !model.bugs.ignoresAccepted {
			value := s.valueOf[accepted]
			add(func(next *bootstrapState) { next.valueOf[b] = value })
			if model.isObsolete(s, value) {
				add(func(next *bootstrapState) { next.propose(model, b, value) })
			}
			continue
		}
		add(func(next *bootstrapState) { next.propose(model, b, 0) })
	}
}

// highestAccepted returns the highest accepted ballot that a set of promises reports, and whether the set is a quorum.
func (model *bootstrapModel) highestAccepted(
	s *bootstrapState,
	b int,
	promised []int,
	set int,
) (accepted uint8, isQuorum bool) {
	votes := bootstrapVotes{}
	for k, i := range promised {
		if set>>k&1 == 0 {
			continue
		}
		machine := &s.machines[i]
		disk := 0
		if !machine.votes[0][b].promised {
			disk = 1
		}
		votes.add(i < maxSeeds, disk == 1 && !model.bugs.countsWipedDisks)
		accepted = max(accepted, machine.votes[disk][b].acceptedBefore)
	}
	return accepted, model.isQuorum(votes)
}

// propose proposes a new value. Its voters are the current disks of the machines that promised.
func (s *bootstrapState) propose(model *bootstrapModel, b int, replaces uint8) {
	s.valueOf[b] = uint8(b)
	s.replacedValue[b] = replaces
	s.epochOf[b] = 1
	if replaces > 0 {
		s.epochOf[b] = s.epochOf[replaces] + 1
	}
	for i := range model.machines {
		machine := &s.machines[i]
		// A proposer may include more machines. With the fewest voters, the fewest losses make the value obsolete.
		if machine.votes[0][b].promised || machine.votes[1][b].promised {
			machine.voterDisk[b] = firstDiskVotes + uint8(machine.disk())
		}
	}
}

// isObsolete is the condition of majorityReplaced, with all machines connected and none in an epoch.
func (model *bootstrapModel) isObsolete(s *bootstrapState, value uint8) bool {
	voters, replaced := 0, 0
	for i := range model.machines {
		machine := &s.machines[i]
		if machine.epochValue > 0 {
			return false
		}
		if disk := machine.voterDisk[value]; disk != notVoter {
			voters++
			if disk == firstDiskVotes && machine.mayHaveLostState {
				replaced++
			}
		}
	}
	return replaced > voters/2
}

// addEpochEntries adds the nodes that learn that a value is chosen, and enter its epoch.
func (model *bootstrapModel) addEpochEntries(s *bootstrapState, b int, add func(func(*bootstrapState))) {
	if !model.isQuorum(model.count(s, func(v ballotVotes) bool { return v.accepted }, b)) {
		return
	}
	value := s.valueOf[b]
	for i := range model.machines {
		if machine := &s.machines[i]; machine.epochValue == 0 || s.epochOf[machine.epochValue] < s.epochOf[value] {
			add(func(next *bootstrapState) {
				entered := &next.machines[i]
				entered.epochValue = value
				if entered.voterDisk[value] == firstDiskVotes+uint8(entered.disk()) {
					entered.hasEntered[value] = true
				}
			})
		}
	}
}

// isEstablished reports whether a change may have been acknowledged in a value's epoch, because enough of its voters
// have entered it.
func (model *bootstrapModel) isEstablished(s *bootstrapState, value int) bool {
	voters, entered := 0, 0
	for i := range model.machines {
		machine := &s.machines[i]
		if machine.voterDisk[value] != notVoter {
			voters++
		}
		if machine.hasEntered[value] {
			entered++
		}
	}
	return voters > 0 && entered >= max(voters/2+1, min(model.maxFaults+1, voters))
}

// checkSafety checks that epochs have different numbers, and that no epoch is entered beside an established one.
func (model *bootstrapModel) checkSafety(s *bootstrapState) string {
	entered := map[uint8]uint8{}
	for i := range model.machines {
		value := s.machines[i].epochValue
		if value == 0 {
			continue
		}
		if other, known := entered[s.epochOf[value]]; known && other != value {
			return fmt.Sprintf("two epochs have number %d", s.epochOf[value])
		}
		entered[s.epochOf[value]] = value
	}
	for value := 1; value <= model.ballots; value++ {
		if !model.isEstablished(s, value) {
			continue
		}
		for i := range model.machines {
			if other := int(s.machines[i].epochValue); other > 0 && other != value {
				return "a cluster is bootstrapped beside one that may have acknowledged a change"
			}
		}
	}
	return ""
}

// checkLiveness checks that after the loss of up to f machines, including wiped ones, the others are a quorum, or one
// of them has entered an epoch.
func (model *bootstrapModel) checkLiveness(s *bootstrapState) string {
	for lostSet := range 1 << model.machines {
		lost, remaining, hasEpoch := 0, bootstrapVotes{}, false
		for i := range model.machines {
			machine := &s.machines[i]
			isLost := lostSet>>i&1 == 1
			if isLost || machine.wiped {
				lost++
			}
			if !isLost {
				remaining.add(i < maxSeeds, machine.mayHaveLostState)
				hasEpoch = hasEpoch || machine.epochValue > 0
			}
		}
		if lost <= model.maxFaults && !hasEpoch && !model.isQuorum(remaining) && !model.needsAllMachines(s, lost) {
			return fmt.Sprintf("after the loss of the machines %b the cluster cannot bootstrap", lostSet)
		}
	}
	return ""
}

// needsAllMachines reports whether a machine was killed before its disk was first written. Its disk cannot be
// distinguished from a wiped one, so no machine may be lost.
func (model *bootstrapModel) needsAllMachines(s *bootstrapState, lost int) bool {
	for i := range model.machines {
		if machine := &s.machines[i]; machine.mayHaveLostState && !machine.wiped {
			return lost > 0
		}
	}
	return false
}

// key returns the same key for states that are equal after a permutation of the seeds, or of the other machines.
func (model *bootstrapModel) key(s *bootstrapState) xxh3.Uint128 {
	var machines [maxModelMachines][]byte
	for i := range model.machines {
		machines[i] = s.machines[i].encode()
	}
	seeds := min(model.machines, maxSeeds)
	slices.SortFunc(machines[:seeds], slices.Compare)
	slices.SortFunc(machines[seeds:model.machines], slices.Compare)
	b := make([]byte, 0, 256)
	for _, machine := range machines[:model.machines] {
		b = append(b, machine...)
	}
	b = append(b, s.valueOf[:]...)
	b = append(b, s.epochOf[:]...)
	b = append(b, s.replacedValue[:]...)
	return xxh3.Hash128(append(b, s.wipes))
}

func (machine *modelMachine) encode() []byte {
	bits, n := uint64(0), 0
	put := func(value uint64, width int) { bits |= value << n; n += width }
	putBool := func(value bool) {
		if value {
			put(1, 1)
		} else {
			put(0, 1)
		}
	}
	putBool(machine.mayHaveLostState)
	putBool(machine.wiped)
	put(uint64(machine.promised), 2)
	put(uint64(machine.accepted), 2)
	put(uint64(machine.epochValue), 2)
	b := []byte{}
	for disk := range machine.votes {
		for _, votes := range machine.votes[disk][1:] {
			putBool(votes.promised)
			put(uint64(votes.acceptedBefore), 2)
			putBool(votes.accepted)
		}
	}
	for votes := 1; votes <= maxModelBallots; votes++ {
		put(uint64(machine.voterDisk[votes]), 2)
		putBool(machine.hasEntered[votes])
	}
	return binary.BigEndian.AppendUint64(b, bits)
}

// explore visits the states, up to maxStates.
func (model *bootstrapModel) explore() {
	const batchSize = 64
	search := &stateSearch[*bootstrapState]{maxStates: model.maxStates, batchSize: batchSize}
	initial := model.initialStates()
	var keys []xxh3.Uint128
	for _, s := range initial {
		keys = append(keys, model.key(s))
	}
	search.run(runtime.GOMAXPROCS(0), initial, keys, func() expander[*bootstrapState] { return model.expand })
	model.stateCount, model.transitions, model.truncated = len(search.visited), search.transitions, search.truncated
	if model.failure == "" {
		model.failure = search.failure
	}
}

// expand is an expander.
func (model *bootstrapModel) expand(
	batch []*bootstrapState,
) (next []*bootstrapState, keys []xxh3.Uint128, failure string) {
	for _, s := range batch {
		for _, successor := range model.successors(s) {
			next, keys = append(next, successor), append(keys, model.key(successor))
			if failure == "" {
				failure = model.checkSafety(successor)
			}
			if failure == "" {
				failure = model.checkLiveness(successor)
			}
		}
	}
	return next, keys, failure
}

// Whichever messages and machines are lost, at most one cluster is bootstrapped, and the bootstrap stays possible.
func TestFoundingModel(t *testing.T) {
	t.Parallel()
	scopes := []bootstrapScope{
		{name: "3 machines, f 1, 3 proposals", machines: 3, maxFaults: 1, ballots: 3},
		{name: "3 machines, f 1, 2 proposals, 1 wiped, killed early", machines: 3, maxFaults: 1, ballots: 2, maxWipes: 1,
			killedEarly: true},
		{name: "5 machines, f 2, 2 proposals", machines: 5, maxFaults: 2, ballots: 2},
		{
			name:      "5 machines, f 2, 2 proposals, 2 wiped",
			machines:  5,
			maxFaults: 2,
			ballots:   2,
			maxWipes:  2,
			maxStates: 300_000,
		},
		{
			name:      "7 machines, f 3, 2 proposals, 3 wiped",
			machines:  7,
			maxFaults: 3,
			ballots:   2,
			maxWipes:  3,
			maxStates: 100_000,
		},
	}
	if os.Getenv("FOUNDING_MODEL") == "whole" {
		scopes = []bootstrapScope{
			{name: "3 machines, f 1, 3 proposals, 1 wiped, killed early", machines: 3, maxFaults: 1, ballots: 3, maxWipes: 1,
				killedEarly: true},
			{name: "5 machines, f 2, 2 proposals, 1 wiped", machines: 5, maxFaults: 2, ballots: 2, maxWipes: 1},
			{name: "5 machines, f 2, 2 proposals, 2 wiped", machines: 5, maxFaults: 2, ballots: 2, maxWipes: 2,
				maxStates: 100_000_000},
			{name: "7 machines, f 3, 2 proposals", machines: 7, maxFaults: 3, ballots: 2, maxStates: 60_000_000},
		}
	}
	for _, s := range scopes {
		if raceEnabled {
			s.maxStates = 20_000
		}
		model := &bootstrapModel{bootstrapScope: s}
		model.explore()
		extent := "complete"
		if model.truncated {
			extent = "TRUNCATED"
		}
		t.Logf("%s: %d states, %d transitions, %s", model.name, model.stateCount, model.transitions, extent)
		if model.failure != "" {
			t.Errorf("%s: %s", model.name, model.failure)
		}
	}
}

// Guards against a model that detects nothing. The scopes are small enough to be explored completely, so that detection
// does not depend on the order of the search.
func TestFoundingModelDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	three := bootstrapScope{machines: 3, maxFaults: 1, ballots: 2}
	wiped := bootstrapScope{machines: 3, maxFaults: 1, ballots: 2, maxWipes: 1}
	five := bootstrapScope{machines: 5, maxFaults: 2, ballots: 2}
	for name, testCase := range map[string]struct {
		scope bootstrapScope
		bugs  bootstrapBugs
	}{
		"a majority of the seeds decides": {five, bootstrapBugs{seedMajorityDecides: true}},
		"one seed decides":                {five, bootstrapBugs{oneSeedDecides: true}},
		"f disks are a quorum":            {five, bootstrapBugs{smallQuorum: true}},
		"a wiped disk counts as intact":   {wiped, bootstrapBugs{countsWipedDisks: true}},
		"accepted values are ignored":     {three, bootstrapBugs{ignoresAccepted: true}},
	} {
		t.Run(name, func(t *testing.T) {
			model := &bootstrapModel{bootstrapScope: testCase.scope}
			model.bugs = testCase.bugs
			model.explore()
			if !strings.Contains(model.failure, "two epochs have number 1") {
				t.Errorf("after %d states: %q", model.stateCount, model.failure)
			}
			t.Logf("after %d states: %s", model.stateCount, model.failure)
		})
	}
}
