package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomSchedule runs random events on a cluster: rollouts, crashes, wiped disks, isolated processes, failed writes,
// and messages of different connections in any order.
type randomSchedule struct {
	*cluster
	random  *rand.Rand
	version uint64 // last one that was stored
}

func (s *randomSchedule) processCount() int { return s.nodeCount + s.proxyCount }

// passTime advances the clock of a node.
func (s *randomSchedule) passTime(node int) {
	s.clocks[node] += 100 * time.Millisecond
	s.stepCoordinator(node)
}

// catchUp lets nodes that lost their votes become voters again, if enough other voters are reachable.
func (s *randomSchedule) catchUp() {
	for i, coordinator := range s.coordinators {
		reachable := 0
		for j, other := range s.coordinators {
			if j != i && other.isVoter && !s.isolated[j] && !s.isolated[i] {
				reachable++
			}
		}
		greatest := uint64(0)
		for _, t := range s.stored {
			greatest = max(greatest, t.Version)
		}
		promises, _ := coordinator.Quorums()
		if !coordinator.isVoter && reachable >= max(s.nodeCount-s.maxFaults, promises) {
			s.stepCoordinator(i, CaughtUp{greatest})
			s.lostVotes[i] = s.lostVotes[i] && greatest > 0
		}
	}
}

func (s *randomSchedule) isolate(process int) {
	for j := range s.processCount() {
		switch {
		case process < s.nodeCount && j != process:
			s.disconnect(process, j)
		case process >= s.nodeCount && j < s.nodeCount:
			s.disconnect(j, process)
		}
	}
	s.isolated[process] = true
}

func (s *randomSchedule) reconnect(process int) {
	if !s.isolated[process] {
		return
	}
	s.isolated[process] = false
	for j := range s.processCount() {
		switch {
		case process < s.nodeCount && j != process:
			s.connect(process, j)
		case process >= s.nodeCount && j < s.nodeCount:
			s.connect(j, process)
		}
	}
}

// deliverFrom delivers a message of the first queue that is not empty, beginning with the given one.
func (s *randomSchedule) deliverFrom(queue int) {
	for n := range s.queues {
		if q := (queue + n) % len(s.queues); len(s.queues[q]) > 0 {
			s.deliver(q/s.processCount(), q%s.processCount())
			return
		}
	}
}

func (s *randomSchedule) completeRandomWrite(node int) {
	if len(s.diskQueues[node]) == 0 {
		return
	}
	var err error
	if s.random.IntN(30) == 0 {
		err = errors.New("disk full")
	}
	s.completeWrite(node, err)
}

// storeRandomBodies stores a version, and in some cases another version or another body of the same one.
func (s *randomSchedule) storeRandomBodies() {
	s.version += uint64(1 + s.random.IntN(2))
	s.storeBody(Target{s.version, 1 + s.random.Uint64N(3)})
	if s.random.IntN(4) == 0 {
		s.version += s.random.Uint64N(2)
		s.storeBody(Target{s.version, 1 + s.random.Uint64N(3)})
	}
}

// wipe crashes a node and empties its disk, unless the maximum number of nodes has lost its votes.
func (s *randomSchedule) wipe(node int) {
	lost := 0
	for j, other := range s.coordinators {
		if !other.isVoter || s.lostVotes[j] {
			lost++
		}
	}
	if lost < s.maxFaults {
		s.crash(node, true)
	}
}

func (s *randomSchedule) endRandomLease(node int) {
	proxy := s.nodeCount + s.random.IntN(s.proxyCount)
	delete(s.confirmed[node], leaseKey(proxy))
	s.stepCoordinator(node, LeaseEnded{processName(proxy), s.random.IntN(2) == 0})
}

func (s *randomSchedule) connectRandomProxy(node int) {
	proxy := s.nodeCount + s.random.IntN(s.proxyCount)
	if !s.isolated[node] && !s.isolated[proxy] {
		s.connect(node, proxy)
	}
}

// runRandomEvent runs one event. Messages and disk writes are by far the most frequent.
func (s *randomSchedule) runRandomEvent() {
	node, queue := s.random.IntN(s.nodeCount), s.random.IntN(len(s.queues))
	switch k := s.random.IntN(1000); {
	case k < 800:
		s.deliverFrom(queue)
	case k < 900:
		s.completeRandomWrite(node)
	case k < 976:
		s.passTime(node)
	case k < 979 && s.version < 40:
		s.storeRandomBodies()
	case k < 983:
		s.crash(s.random.IntN(s.processCount()), false)
	case k < 985:
		s.wipe(node)
	case k < 988:
		s.isolate(s.random.IntN(s.processCount()))
	case k < 993:
		s.reconnect(s.random.IntN(s.processCount()))
	case k < 995:
		s.endRandomLease(node)
	case k < 997:
		s.connectRandomProxy(node)
	case k < 998:
		s.stepCoordinator(node, Resumed{})
	case k < 999 && s.version > 0:
		s.stepCoordinator(node, HaltRequested{s.version})
	default:
		s.catchUp()
	}
}

// repair reconnects all processes and runs until all rollouts must have ended.
func (s *randomSchedule) repair() {
	for i := range s.processCount() {
		s.reconnect(i)
	}
	for range 200 {
		s.catchUp()
		s.deliverAll()
		for i := range s.nodeCount {
			s.passTime(i)
			if s.random.IntN(2) == 0 {
				s.deliverAll()
			}
		}
	}
}

// checkConvergence checks that all proxies serve the greatest committed version.
func (s *randomSchedule) checkConvergence() {
	var greatest Target
	for _, coordinator := range s.coordinators {
		if coordinator.Committed().Version > greatest.Version {
			greatest = coordinator.Committed()
		}
	}
	for version, d := range s.chosen { // after a wipe, too few disks may hold the votes to recover the decision
		if s.wipes == 0 && d.Committed && version > greatest.Version {
			s.failf("version %d is committed, but no node knows it", version)
		}
	}
	for i, p := range s.participants {
		if s.violation == "" && p.Active() != greatest {
			s.failf("at the end %s serves %v, but %v is committed", processName(s.nodeCount+i), p.Active(), greatest)
		}
	}
}

func runRandomSchedule(seed uint64, bugs injectedBugs) *cluster {
	random := rand.New(rand.NewPCG(seed, 33))
	size := []struct{ nodeCount, maxFaults int }{{3, 1}, {5, 2}}[seed%2]
	plan := Plan{LeaseDiscoveryDuration: 300 * time.Millisecond, MaxEndedProxies: 3, Stages: []Stage{
		{Proxies: 1, MinShare: 1, Timeout: 8 * time.Second},
		{Zones: 1, MinShare: 1, Soak: 200 * time.Millisecond, Timeout: 8 * time.Second},
		{MinShare: 0.5, Timeout: 8 * time.Second}}}
	if seed%3 == 0 { // the stage timeout is close to the time that confirmations take
		plan.Stages = []Stage{{MinShare: 0.5, Timeout: time.Second}}
	}
	c := newCluster(size.nodeCount, 4+random.IntN(3), size.maxFaults, plan, bugs)
	c.reordersAcrossReconnects = seed%4 < 2
	c.deliverAll()
	s := &randomSchedule{cluster: c, random: random}
	for events := 0; events < 2500 && c.violation == ""; events++ {
		s.runRandomEvent()
	}
	s.repair()
	s.checkConvergence()
	return c
}

// No schedule violates a check of the simulated cluster, and the schedules reach all the main outcomes.
func TestRandomSchedules(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(300) {
		c := runRandomSchedule(seed, injectedBugs{})
		if c.violation != "" {
			t.Fatalf("seed %d: %s", seed, c.violation)
		}
		for _, d := range c.chosen {
			outcomes[outcomeOf(d)]++
		}
	}
	t.Log(outcomes)
	for _, want := range []string{"committed", "rejected: too few confirmed", "rejected: superseded",
		"rejected: proxies ended"} {
		if outcomes[want] == 0 {
			t.Errorf("no schedule reached the outcome %q: %v", want, outcomes)
		}
	}
}

func outcomeOf(d Decision) string {
	if d == (Decision{Committed: true, Digest: d.Digest}) {
		return "committed"
	}
	return fmt.Sprint("rejected: ", d.Reason)
}

// The checks of the simulated cluster detect each injected bug.
func TestInjectedBugsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		bugs      injectedBugs
		violation string
	}{
		"acceptors forget their promises":   {injectedBugs{forgetsPromises: true}, "one of them a commit"},
		"a wiped voter votes":               {injectedBugs{votesAfterWipe: true}, "two decisions"},
		"stale confirmations count":         {injectedBugs{countsStaleConfirmations: true}, "proposes a commit with"},
		"an undecided version is activated": {injectedBugs{activatesUndecided: true}, "activates"},
	} {
		violation := ""
		for seed := uint64(0); seed < 3000 && !strings.Contains(violation, c.violation); seed++ {
			violation = runRandomSchedule(seed, c.bugs).violation
		}
		if !strings.Contains(violation, c.violation) {
			t.Errorf("%s: not detected", name)
		}
		t.Log(name, ":", violation)
	}
}

// newSingleNode returns a node that is the only voter. It has leases of the given proxies, with incarnations from 10
// on; the first letter of a proxy's name is its zone.
func newSingleNode(plan Plan, proxies ...string) *Coordinator {
	c := New(Options{Self: "a", Incarnation: 1, Voters: []string{"a"}, Plan: plan, IsVoter: true})
	for i, proxy := range proxies {
		c.Step(0, LeaseGranted{proxy, proxy[:1], uint64(10 + i)})
	}
	return c
}

func findDecision(actions []Action) (d Decision, ok bool) {
	for _, a := range actions {
		if decided, isDecided := a.(VersionDecided); isDecided {
			return decided.Decision, true
		}
	}
	return d, false
}

// stepWithDisk steps a node and completes its disk writes until none are left.
func stepWithDisk(c *Coordinator, now time.Duration, events ...Event) (all []Action) {
	for {
		actions := c.Step(now, events...)
		all = append(all, actions...)
		events = nil
		for _, a := range actions {
			if p, ok := a.(Persist); ok {
				events = append(events, Persisted{Seq: p.Seq})
			}
		}
		if events == nil {
			return all
		}
	}
}

func TestDecisions(t *testing.T) {
	target := Target{1, 7}
	plan := Plan{MaxEndedProxies: 2, MinAttempts: 100, MaxExtraFailures: 0.1, MaxExtraLatencyMS: 50, MaxNotReadable: 1,
		Stages: []Stage{{MinShare: 0.5, Timeout: time.Second}}}
	confirmed := func(proxy string, incarnation uint64) Event {
		return Confirmed{Proxy: proxy, Incarnation: incarnation, Target: target}
	}
	undecided, commit := Decision{}, Decision{Committed: true, Digest: 7}
	for _, c := range []struct {
		name   string
		events []Event
		want   Decision
		after  time.Duration
	}{
		{name: "one confirmation too few", events: []Event{confirmed("x1", 10)}, want: undecided},
		{name: "just enough confirmations", events: []Event{confirmed("x1", 10), confirmed("x2", 11)}, want: commit},
		{
			name:   "repeated confirmation",
			events: []Event{confirmed("x1", 10), confirmed("x1", 10)},
			want:   undecided,
		},
		{
			name: "confirmation of another digest",
			events: []Event{
				confirmed("x1", 10),
				Confirmed{Proxy: "x2", Incarnation: 11, Target: Target{1, 8}},
			},
			want: undecided,
		},
		{
			name:   "restart after confirmation",
			events: []Event{confirmed("x1", 10), LeaseGranted{"x1", "x", 20}, confirmed("x2", 11)},
			want:   undecided,
		},
		{
			name:   "confirmation of an ended incarnation",
			events: []Event{LeaseGranted{"x1", "x", 20}, confirmed("x1", 10), confirmed("x2", 11)},
			want:   undecided,
		},
		{
			name: "confirmation of the only proxy that still has a lease",
			events: []Event{
				confirmed("x1", 10), LeaseEnded{"x1", true}, LeaseEnded{"x3", true}, confirmed("x2", 11),
			},
			want: commit,
		},
		{
			name:   "stage timeout",
			events: []Event{confirmed("x1", 10)},
			want:   Decision{Reason: TooFewConfirmed},
			after:  time.Second,
		},
		{
			name:   "ended proxies",
			events: []Event{LeaseGranted{"x1", "x", 20}, LeaseEnded{"x2", false}},
			want:   Decision{Reason: ProxiesEnded},
		},
		{
			name:   "returned leases",
			events: []Event{LeaseEnded{"x1", true}, LeaseEnded{"x2", true}},
			want:   undecided,
		},
		{
			name:   "unreadable body",
			events: []Event{Confirmed{Proxy: "x1", Incarnation: 10, Target: target, NotReadable: true}},
			want:   Decision{Reason: NotReadable},
		},
		{
			name: "more failures",
			events: []Event{
				confirmed("x1", 10), Measured{"x1", 100, 20, 0, 0}, Measured{"x2", 100, 5, 0, 0},
			},
			want: Decision{Reason: Unhealthy},
		},
		{
			name: "more extra latency",
			events: []Event{
				confirmed("x1", 10), Measured{"x1", 100, 0, 0, 6000}, Measured{"x2", 100, 0, 0, 0},
			},
			want: Decision{Reason: Unhealthy},
		},
		{
			name: "failures at all proxies",
			events: []Event{
				confirmed("x1", 10), Measured{"x1", 100, 60, 0, 0}, Measured{"x2", 100, 55, 0, 0},
			},
			want: undecided,
		},
		{name: "higher version", events: []Event{BodyStored{Target{2, 1}}}, want: Decision{Reason: Superseded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			coordinator := newSingleNode(plan, "x1", "x2", "x3")
			stepWithDisk(coordinator, 0, BodyStored{target})
			got, _ := findDecision(stepWithDisk(coordinator, c.after, c.events...))
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// A version that crashes every proxy that loads it does not leave the first stage, and is halted.
func TestCrashingVersionIsHalted(t *testing.T) {
	plan := Plan{
		MaxEndedProxies: 3,
		Stages:          []Stage{{Proxies: 1, MinShare: 1, Timeout: time.Hour}, {MinShare: 0.5, Timeout: time.Hour}},
	}
	coordinator := newSingleNode(plan, "x1", "x2", "x3", "y1", "y2", "y3")
	commands, incarnation, now := 0, uint64(100), time.Duration(0)
	actions := stepWithDisk(coordinator, now, BodyStored{Target{1, 7}})
	for now < time.Minute {
		var restarts []Event
		for _, a := range actions {
			if command, ok := a.(SendCommand); ok && command.Command == CommandPrepare {
				commands++
				incarnation++
				restarts = append(restarts, LeaseGranted{command.Proxy, command.Proxy[:1], incarnation})
			}
		}
		if d, ok := findDecision(actions); ok {
			if d.Reason != ProxiesEnded || commands > 4 {
				t.Fatalf("decision %+v after %d prepare commands", d, commands)
			}
			return
		}
		now += time.Second
		actions = stepWithDisk(coordinator, now, restarts...)
	}
	t.Fatal("no decision")
}

func TestParticipantActivation(t *testing.T) {
	p := NewParticipant(1, time.Second)
	loaded := func(version, digest uint64) []Event {
		return []Event{BodyReceived{Target{version, digest}}, CompileDone{Target: Target{version, digest}}}
	}
	p.Step(0, append([]Event{CommandReceived{CommandPrepare, Target{3, 1}}}, loaded(3, 1)...)...)
	if p.Step(0, CommandReceived{CommandActivate, Target{3, 2}}); p.Active() != (Target{}) {
		t.Fatal("the participant activated a body that is not the committed one")
	}
	p.Step(0, loaded(3, 2)...)
	p.Step(
		0,
		CommandReceived{CommandActivate, Target{2, 1}},
		CommandReceived{CommandDiscard, Target{Version: 3}},
		CommandReceived{CommandPrepare, Target{2, 1}},
	)
	p.Step(0, loaded(2, 1)...)
	if p.Active() != (Target{3, 2}) {
		t.Fatalf("active version is %v", p.Active())
	}
	if actions := p.Step(0, CommandReceived{CommandActivate, Target{4, 1}}); len(actions) != 1 {
		t.Fatalf("activating a version whose body is missing: actions %v, want one", actions)
	}
	stale := p.Step(time.Second) // version 4 is committed, but its body has not arrived
	if len(stale) != 2 || stale[1] != (FreshnessChanged{false}) {
		t.Fatalf("after the stale timeout: %v", stale)
	}
	if fresh := p.Step(time.Second, loaded(4, 1)...); fresh[len(fresh)-1] != (FreshnessChanged{true}) {
		t.Fatalf("after the body has arrived: %v", fresh)
	}
}
