package consensus

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// faultProfile determines which faults a run injects, and for how long.
type faultProfile struct {
	withinMaxFaults bool // at most maxFaults machines are faulty at once; then proposals must not stall
	longFaults      bool // some faults last 20 s or 60 s
	faultsEnd       time.Duration
	end             time.Duration
}

func clusterSize(seed uint64, withinMaxFaults bool) (machines, maxFaults int) {
	if withinMaxFaults {
		sizes := [][2]int{{3, 1}, {5, 1}, {5, 2}, {7, 3}, {4, 1}, {3, 1}}
		size := sizes[seed%uint64(len(sizes))]
		return size[0], size[1]
	}
	sizes := [][2]int{{1, 0}, {2, 0}, {3, 1}, {5, 1}, {3, 1}, {5, 2}, {3, 1}, {4, 1}, {7, 3}, {3, 0}}
	size := sizes[seed%uint64(len(sizes))]
	return size[0], size[1]
}

// faultRun is a simulation with random requests and faults.
type faultRun struct {
	*simulation
	faultProfile
	pastRequests []pastRequest // requests that may be sent again
}

// pastRequest is a request for a configuration, or for an evacuation if zone is not empty.
type pastRequest struct {
	version, digest uint64
	zone            string
	begin           bool
}

func (run *faultRun) runningMachines() (running []int) {
	for i, m := range run.machines {
		if m.replica != nil {
			running = append(running, i)
		}
	}
	return running
}

func (run *faultRun) isHealthy(i int) bool {
	m := run.machines[i]
	return m.replica != nil && !m.paused && m.faultyUntil < run.now && m.hasStarted
}

// sendRequests sends a random request, and schedules itself again. Some requests repeat an earlier one, as clients
// retry.
func (run *faultRun) sendRequests() {
	running := run.runningMachines()
	if len(running) > 0 {
		i := running[run.rand.IntN(len(running))]
		zone := fmt.Sprint("zone/", run.rand.IntN(2))
		switch run.rand.IntN(8) {
		case 0, 1:
			run.lastVersion++
			request := pastRequest{version: run.lastVersion, digest: 1 + run.rand.Uint64N(1<<20)}
			run.pastRequests = append(run.pastRequests, request)
			run.replaceConfig(i, request.version, request.digest)
		case 2: // several clients propose the same version
			run.lastVersion++
			for range 2 + run.rand.IntN(2) {
				request := pastRequest{version: run.lastVersion, digest: 1 + run.rand.Uint64N(1<<20)}
				run.pastRequests = append(run.pastRequests, request)
				j := running[run.rand.IntN(len(running))]
				maxDelay := time.Duration(run.rand.IntN(2)) * 2 * time.Second
				run.schedule(run.randomDuration(maxDelay), func() { run.replaceConfig(j, request.version, request.digest) })
			}
		case 3, 4:
			request := pastRequest{zone: zone, begin: run.rand.IntN(2) == 0}
			run.pastRequests = append(run.pastRequests, request)
			run.evacuate(i, zone, request.begin)
		case 5:
			if len(run.pastRequests) > 0 {
				request := run.pastRequests[max(len(run.pastRequests)-1-run.rand.IntN(6), 0)]
				if request.zone != "" {
					run.evacuate(i, request.zone, request.begin)
				} else {
					run.replaceConfig(i, request.version, request.digest)
				}
			}
		case 6:
			run.read(i, configRegister)
		case 7:
			run.read(i, zone)
		}
	}
	if run.now < run.faultsEnd+2*time.Second {
		run.schedule(run.randomDuration(250*ms), run.sendRequests)
	}
}

// proposeContinuously sends a proposal to a healthy machine, checks how long none was committed, and schedules itself
// again.
func (run *faultRun) proposeContinuously() {
	for range 4 {
		if i := run.rand.IntN(len(run.machines)); run.isHealthy(i) {
			run.lastVersion++
			run.replaceConfig(i, run.lastVersion, 7)
			break
		}
	}
	if stall := run.now - run.lastCommitAt; stall > run.longestStall {
		if run.longestStall = stall; stall > recoveryTime+3*time.Second {
			run.failf("no proposal was committed for %v with at most %d faulty machines", stall, run.maxFaults)
		}
	}
	if run.now < run.faultsEnd+2*time.Second {
		run.schedule(300*ms, run.proposeContinuously)
	}
}

func (run *faultRun) faultyCount() (count int) {
	for _, m := range run.machines {
		if m.faultyUntil >= run.now {
			count++
		}
	}
	return count
}

// restart starts a machine's process after a delay. The machine counts as faulty until it has recovered.
func (run *faultRun) restart(i int, delay time.Duration) {
	run.schedule(delay, func() {
		run.start(i)
		if m := run.machines[i]; m.replica != nil {
			m.faultyUntil = run.now + recoveryTime
		}
	})
}

func (run *faultRun) markRecovering(i int) { run.machines[i].faultyUntil = run.now + recoveryTime }

// injectFaults injects a random fault, and schedules itself again.
func (run *faultRun) injectFaults() {
	if run.now > run.faultsEnd {
		return
	}
	defer run.schedule(run.randomDuration(1200*ms), run.injectFaults)
	i := run.rand.IntN(len(run.machines))
	m := run.machines[i]
	if m.removed || !m.hasStarted {
		return
	}
	isFaulty := m.faultyUntil >= run.now
	if run.withinMaxFaults && (isFaulty || run.faultyCount() >= run.maxFaults) {
		return
	}
	duration := 100*ms + run.randomDuration(2*time.Second)
	if run.rand.IntN(5) == 0 {
		duration += run.randomDuration(8 * time.Second)
	}
	if run.longFaults && run.rand.IntN(3) == 0 {
		duration = 20 * time.Second
		if run.rand.IntN(3) == 0 {
			duration = 60 * time.Second
		}
	}
	duration = min(duration, run.faultsEnd-run.now)
	m.faultyUntil = forever
	switch run.rand.IntN(15) {
	case 0, 1:
		run.kill(i, run.rand.IntN(2) == 0)
		run.restart(i, duration)
	case 2, 3:
		if m.replica != nil && (run.withinMaxFaults || run.mayLoseDisk(i)) {
			run.wipe(i)
			run.restart(i, min(duration, 3*time.Second))
			return
		}
		run.markRecovering(i)
	case 4, 5:
		machines := []int{i}
		if !run.withinMaxFaults {
			machines = run.rand.Perm(len(run.machines))[:run.rand.IntN(len(run.machines))]
		} else if len(run.blockedLinks) > 0 {
			run.markRecovering(i)
			return
		}
		run.isolate(run.rand.IntN(4), machines...)
		run.schedule(duration, func() { run.heal(); run.markRecovering(i) })
	case 6:
		m.maxLinkDelay = run.randomDuration(600 * ms)
		run.schedule(duration, func() { m.maxLinkDelay = 0; run.markRecovering(i) })
	case 7:
		m.maxDiskDelay = run.randomDuration(800 * ms)
		run.schedule(duration, func() { m.maxDiskDelay = 0; run.markRecovering(i) })
	case 8:
		m.diskFlaky = true
		run.schedule(duration, func() { m.diskFlaky = false; run.markRecovering(i) })
	case 9:
		m.diskFull = true
		run.schedule(duration, func() { m.diskFull = false; run.markRecovering(i) })
	case 10:
		m.diskHung = true
		run.schedule(duration, func() { run.resumeDisk(m); run.markRecovering(i) })
	case 11:
		run.pause(i, duration)
		run.schedule(duration, func() { run.markRecovering(i) })
	case 12: // another machine replaces it
		if !run.withinMaxFaults && !run.mayLoseDisk(i) || len(run.machines) > 12 {
			run.markRecovering(i)
			return
		}
		run.replaceMachine(i, min(duration, 3*time.Second))
	case 13:
		run.shutDown(i, duration)
	case 14:
		if run.withinMaxFaults {
			run.markRecovering(i)
			return
		}
		if run.rand.IntN(3) > 0 {
			run.loseDisksAfterPartition(duration)
			return
		}
		powerLoss := run.rand.IntN(2) == 0
		for j := range run.machines {
			run.kill(j, powerLoss)
			run.restart(j, run.randomDuration(time.Second))
		}
	}
}

func (run *faultRun) replaceMachine(i int, delay time.Duration) {
	m := run.machines[i]
	run.wipe(i)
	m.removed = true
	run.log("%v %s is removed", run.now, m.node.Name)
	run.schedule(delay, func() {
		j := run.addMachine(false)
		run.start(j)
		m.faultyUntil = run.now + recoveryTime // the removed one, until its successor has recovered
		run.machines[j].faultyUntil = run.now + recoveryTime
	})
}

// shutDown ends a process with a handover. The machine restarts, or is replaced.
func (run *faultRun) shutDown(i int, duration time.Duration) {
	m := run.machines[i]
	if m.replica == nil || m.shuttingDown {
		run.markRecovering(i)
		return
	}
	run.log("%v %s shuts down", run.now, m.node.Name)
	m.shuttingDown = true
	incarnation, ended := m.incarnation, false
	end := func() {
		if m.incarnation != incarnation || ended {
			return
		}
		ended = true
		if run.rand.IntN(3) == 0 && len(run.machines) <= 12 && (run.withinMaxFaults || run.mayLoseDisk(i)) {
			run.replaceMachine(i, min(duration, 3*time.Second))
			return
		}
		run.kill(i, false)
		run.restart(i, duration)
	}
	m.onHandedOver = func() { run.schedule(run.randomDuration(50*ms), end) }
	run.schedule(shutdownTimeout, end)
	run.step(i, Shutdown{})
}

// loseDisksAfterPartition isolates a minority, so that it misses changes. When the partition ends, it wipes up to
// maxFaults of the machines that have these changes, and isolates the other ones.
func (run *faultRun) loseDisksAfterPartition(duration time.Duration) {
	order := run.rand.Perm(len(run.machines))
	minority := order[len(order)/2+1:]
	run.isolate(bothDirections, minority...)
	run.schedule(duration, func() {
		for _, i := range order[:min(run.maxFaults, len(order)/2+1)] {
			if m := run.machines[i]; m.replica != nil && run.mayLoseDisk(i) {
				run.wipe(i)
				run.restart(i, run.randomDuration(100*ms))
			}
		}
		run.heal()
		run.isolate(bothDirections, order[run.maxFaults:len(order)/2+1]...)
		run.schedule(2*duration, run.heal)
	})
}

// endFaults ends all faults and starts all machines.
func (run *faultRun) endFaults() {
	run.heal()
	for i, m := range run.machines {
		m.maxLinkDelay, m.maxDiskDelay, m.diskFlaky, m.diskFull = 0, 0, false, false
		if m.diskHung {
			run.resumeDisk(m)
		}
		run.resume(i)
		if m.replica == nil && !m.removed && m.hasStarted {
			run.start(i)
		}
	}
}

// checkFinalState checks the cluster after the faults: all nodes have the same committed values, the probes succeeded,
// and the voters are the disks that are left.
func (run *faultRun) checkFinalState(probes []*operation) {
	newest := run.newestEpoch()
	run.checkVoters(newest)
	run.checkNodes(newest)
	for _, op := range probes {
		if op != nil && (op.returnedAt == forever || op.outcome != Committed) {
			run.failf("not committed after the faults: %v", op)
		}
	}
}

// checkVoters checks that the newest epoch is not joint, and that no learner can improve it.
func (run *faultRun) checkVoters(newest Epoch) {
	lost := 0
	for _, v := range newest.Voters {
		if !run.storeExists(v.StoreID) {
			lost++
		}
	}
	learners := 0
	for _, m := range run.machines {
		if m.replica != nil && !newest.IsVoter(m.replica.StoreID()) {
			learners++
		}
	}
	switch {
	case newest.Number == 0:
		run.failf("the cluster was not bootstrapped")
	case len(newest.OldVoters) > 0:
		run.failf("epoch %d is still joint: %v to %v", newest.Number, voterNames(newest.OldVoters), voterNames(newest.Voters))
	case lost > 0 && learners > 0:
		run.failf("%d of the voters %v are lost, and there are %d learners", lost, voterNames(newest.Voters), learners)
	case lost == 0 && learners > 0 && len(newest.Voters) < max(newest.TargetSize(), 2*run.maxFaults+1):
		run.failf("%d learners are not added to the voters %v", learners, voterNames(newest.Voters))
	}
}

// checkNodes checks that all nodes are in the newest epoch, and know the same values as chosen.
func (run *faultRun) checkNodes(newest Epoch) {
	var first *machine
	names := map[string]bool{}
	for _, op := range run.history {
		names[op.register] = true
	}
	for _, m := range run.machines {
		if m.removed || !m.hasStarted {
			continue
		}
		if m.replica == nil {
			run.failf("%s is down", m.node.Name)
			return
		}
		if m.replica.Epoch().Number != newest.Number || !m.replica.HasQuorum(run.now-m.startedAt) {
			run.failf(
				"%s is in epoch %d of %d, quorum contact: %v",
				m.node.Name,
				m.replica.Epoch().Number,
				newest.Number,
				m.replica.HasQuorum(run.now-m.startedAt),
			)
		}
		if first == nil {
			first = m
		}
		for name := range names {
			accepted, chosen := m.replica.Accepted(name)
			firstAccepted, _ := first.replica.Accepted(name)
			committed, hasCommitted := m.replica.CommittedValue(name)
			if accepted.Version != firstAccepted.Version || string(accepted.Value) != string(firstAccepted.Value) {
				run.failf(
					"%s has accepted %s %v at the end, %s has accepted %v",
					m.node.Name,
					name,
					accepted.Version,
					first.node.Name,
					firstAccepted.Version,
				)
			}
			if accepted.Version != (Version{}) && (!chosen || !hasCommitted || committed.Version != accepted.Version) {
				run.failf(
					"%s does not know at the end that %s %v is chosen: chosen %v, committed %v",
					m.node.Name,
					name,
					accepted.Version,
					chosen,
					committed.Version,
				)
			}
		}
	}
}

// simulate runs a simulation with random faults and checks it.
func simulate(seed uint64, profile faultProfile, bugs driverBugs, log func(string, ...any)) *simulation {
	return simulateTraced(seed, profile, bugs, log, nil)
}

// simulateTraced is simulate with a function that is called with each action.
func simulateTraced(
	seed uint64,
	profile faultProfile,
	bugs driverBugs,
	log func(string, ...any),
	trace func(int, Action),
) *simulation {
	machines, maxFaults := clusterSize(seed, profile.withinMaxFaults)
	sim := newSimulation(seed, machines, maxFaults, bugs, log)
	sim.trace = trace
	sim.log("%d machines, at most %d faults, seeds %v", machines, maxFaults, sim.seeds)
	run := &faultRun{simulation: sim, faultProfile: profile}
	if sim.rand.IntN(2) == 0 {
		sim.clocksSkewed = true
		for _, m := range sim.machines {
			m.clockSkew = time.Duration(sim.rand.IntN(3)-1) * time.Hour
		}
	}
	sim.schedule(sim.randomDuration(500*ms), run.sendRequests)
	if profile.withinMaxFaults {
		sim.schedule(0, run.proposeContinuously)
	}
	sim.schedule(sim.randomDuration(1500*ms), run.injectFaults)
	sim.schedule(profile.faultsEnd, func() { sim.schedule(0, run.endFaults) })
	var probes []*operation
	sim.schedule(profile.faultsEnd+6*time.Second, func() {
		run.endFaults()
		for i, m := range sim.machines {
			if m.replica != nil {
				sim.schedule(sim.randomDuration(time.Second), func() {
					sim.lastVersion++
					probes = append(
						probes,
						sim.replaceConfig(i, sim.lastVersion, 1),
						sim.read(i, configRegister),
						sim.read(i, "zone/0"),
					)
				})
			}
		}
	})
	sim.runUntil(profile.end)
	if sim.failure == "" {
		run.checkFinalState(probes)
	}
	if sim.failure == "" {
		sim.checkHistory()
	}
	return sim
}

var (
	randomFaults  = faultProfile{faultsEnd: 18 * time.Second, end: 32 * time.Second}
	longFaults    = faultProfile{faultsEnd: 100 * time.Second, end: 114 * time.Second, longFaults: true}
	boundedFaults = faultProfile{faultsEnd: 25 * time.Second, end: 39 * time.Second, withinMaxFaults: true}
)

func discardLog(string, ...any) {}

type runResult struct {
	seed         uint64
	failure      string
	answered     int
	longestStall time.Duration
	epochs       int
}

// runParallel calls do with the numbers below n, on all processors.
func runParallel(n int, do func(k int)) {
	var workers sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for k := int(next.Add(1)) - 1; k < n; k = int(next.Add(1)) - 1 {
				do(k)
			}
		})
	}
	workers.Wait()
}

// simulateSeeds runs a simulation for each seed, and returns the results in order.
func simulateSeeds(from, to uint64, profile faultProfile, bugs driverBugs) []runResult {
	results := make([]runResult, to-from)
	runParallel(len(results), func(k int) {
		sim := simulate(from+uint64(k), profile, bugs, discardLog)
		results[k] = runResult{from + uint64(k), sim.failure, sim.answered, sim.longestStall, len(sim.epochs)}
	})
	return results
}

// checkSeeds runs a simulation for each seed, and reports failures. With the race detector, which is slow, it runs a
// fifth of them.
func checkSeeds(t *testing.T, from, to uint64, profile faultProfile) {
	t.Helper()
	if raceEnabled {
		to = from + (to-from)/5
	}
	answered, epochs, failed := 0, 0, 0
	var longestStall time.Duration
	for _, result := range simulateSeeds(from, to, profile, driverBugs{}) {
		answered += result.answered
		epochs += result.epochs
		longestStall = max(longestStall, result.longestStall)
		if result.failure == "" {
			continue
		}
		if failed++; failed == 1 {
			var log []string
			appendLog := func(format string, v ...any) { log = append(log, fmt.Sprintf(format, v...)) }
			simulate(result.seed, profile, driverBugs{}, appendLog)
			t.Log("\n" + strings.Join(log[max(len(log)-60, 0):], "\n"))
		}
		if failed <= 12 {
			t.Errorf("seed %d: %s", result.seed, result.failure)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d seeds failed", failed, to-from)
	}
	t.Logf(
		"%d runs, %d responses, %d epochs, longest simulated time without a committed proposal, if checked: %v",
		to-from,
		answered,
		epochs,
		longestStall,
	)
	if answered < int(to-from)*20 || epochs < int(to-from)*2 {
		t.Errorf("only %d responses and %d epochs: the runs test too little", answered, epochs)
	}
}

// Kills, partitions, delays, pauses, disk errors and the loss of up to maxFaults disks must neither lose an
// acknowledged change nor make a read return an older value. Afterwards all nodes must agree.
func TestDrawnFaultsLoseNothingAcknowledged(t *testing.T) {
	t.Parallel()
	checkSeeds(t, 0, 200, randomFaults)
}

// Faults of 20 s and 60 s, such as partitions with proposals on both sides.
func TestDrawnLongCuts(t *testing.T) {
	t.Parallel()
	checkSeeds(t, 0, 30, longFaults)
}

// Proposals must not stall while at most maxFaults machines are faulty.
func TestDrawnFaultsWithinTheBudgetBlockNoOrder(t *testing.T) {
	t.Parallel()
	checkSeeds(t, 0, 100, boundedFaults)
}

// Guards against checks that detect nothing: each must report the driver bug that violates it.
func TestDrawnFaultsSeePlantedFlaws(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		bugs    driverBugs
		failure string
	}{
		"a vote is sent before it is synced":     {driverBugs{confirmsUnsyncedWrites: true}, "but it was not chosen"},
		"a proposal is acknowledged by one disk": {driverBugs{acknowledgesOneDisk: true}, "with a value that was not chosen"},
		"a version is confirmed for two values": {
			driverBugs{confirmsConflicts: true},
			"another value is confirmed under the version",
		},
		"a read without a quorum":                 {driverBugs{readsLocally: true}, "no request can have committed"},
		"an accepted value is reported as chosen": {driverBugs{reportsAcceptedAsChosen: true}, "but it was not chosen"},
		"an aborted proposal is committed": {
			driverBugs{retriesAborted: true},
			"of an aborted request",
		},
		"messages of an old epoch count": {driverBugs{ignoresEpoch: true}, "as the successor of epoch"},
		"a shutdown without a handover":  {driverBugs{skipsHandover: true}, "other disks"},
	} {
		t.Run(name, func(t *testing.T) {
			var otherFailures []string
			for from := uint64(1000); from < 1096; from += 8 {
				for _, result := range simulateSeeds(from, from+8, randomFaults, c.bugs) {
					if strings.Contains(result.failure, c.failure) {
						t.Logf("seed %d: %s", result.seed, result.failure)
						return
					}
					otherFailures = append(otherFailures, result.failure)
				}
			}
			t.Errorf("none of %d seeds fails with %q: %q", len(otherFailures), c.failure, otherFailures)
		})
	}
}
