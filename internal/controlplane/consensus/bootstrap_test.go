package consensus

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// runBootstrap simulates a cluster whose events all occur in the first seconds, as runWithEvents does.
func runBootstrap(seed uint64, machines, maxFaults int, schedule func(*faultRun)) *faultRun {
	return runWithEvents(seed, machines, maxFaults, 5500*ms, driverBugs{}, discardLog, schedule)
}

// runWithEvents simulates a cluster from its first start on. schedule sets up events, all of which end by eventsEnd.
// The final state and the history are checked after that.
func runWithEvents(
	seed uint64,
	machines, maxFaults int,
	eventsEnd time.Duration,
	bugs driverBugs,
	log func(string, ...any),
	schedule func(*faultRun),
) *faultRun {
	sim := newSimulation(seed, machines, maxFaults, bugs, log)
	run := &faultRun{simulation: sim, faultProfile: faultProfile{faultsEnd: eventsEnd - 1500*ms}}
	schedule(run)
	run.schedule(200*ms, run.sendRequests)
	var probes []*operation
	run.schedule(eventsEnd, func() {
		for i, m := range run.machines {
			if m.replica != nil {
				run.lastVersion++
				probes = append(probes, run.replaceConfig(i, run.lastVersion, 1), run.read(i, configRegister))
			}
		}
	})
	run.runUntil(eventsEnd + 3500*ms)
	if run.failure == "" {
		run.checkFinalState(probes)
	}
	if run.failure == "" {
		run.checkHistory()
	}
	return run
}

// A seed that fails before any action of the bootstrap, with or without the loss of its disk, temporarily or
// permanently, must not prevent the bootstrap.
func TestBootstrapSeedFailsAtAnyAction(t *testing.T) {
	t.Parallel()
	variants := []string{"disk kept", "disk wiped", "removed", "replaced"}
	const actions = 100
	var last atomic.Int64
	runParallel(len(variants)*actions, func(n int) {
		afterKill, action, killed := variants[n/actions], 1+n%actions, false
		run := runBootstrap(uint64(action), 3, 1, func(run *faultRun) {
			run.interruptAt = action
			run.onInterrupt = func(i int) {
				killed = true
				m := run.machines[i]
				last.Store(max(last.Load(), int64(run.now/ms)))
				switch m.firstStart = false; afterKill {
				case "disk kept":
					run.kill(i, action%2 == 0)
					run.restart(i, 300*ms)
				case "disk wiped":
					run.wipe(i)
					run.restart(i, 300*ms)
				case "removed":
					run.wipe(i)
					m.removed = true
				default:
					run.replaceMachine(i, time.Second)
				}
			}
		})
		if run.failure != "" || !killed {
			t.Errorf("killed before action %d, %s: %s", action, afterKill, run.failure)
		}
	})
	t.Logf("%d runs, the last kill after %d ms", len(variants)*actions, last.Load())
}

// If all seeds are killed at once and keep their disks, the cluster must still bootstrap.
func TestBootstrapAfterAllSeedsAreKilled(t *testing.T) {
	t.Parallel()
	sizes := []int{1, 2, 3, 5}
	runParallel(50*len(sizes), func(k int) {
		machines, at := sizes[k%len(sizes)], time.Duration(k/len(sizes))*60*ms
		run := runBootstrap(uint64(k), machines, (machines-1)/2, func(run *faultRun) {
			run.schedule(at, func() {
				for i := range run.machines {
					run.kill(i, k/len(sizes)%2 == 0)
					run.restart(i, 100*ms+run.randomDuration(time.Second))
				}
			})
		})
		if run.failure != "" {
			t.Errorf("%d machines, all killed after %v: %s", machines, at, run.failure)
		}
	})
}

// Partitioned seeds must not bootstrap two clusters, also if messages pass in one direction only.
func TestBootstrapWithPartitionedSeeds(t *testing.T) {
	t.Parallel()
	runParallel(60, func(k int) {
		seed := uint64(k)
		run := runBootstrap(seed, 3+2*int(seed%2), 1, func(run *faultRun) {
			run.schedule(run.randomDuration(200*ms), func() {
				direction := int(seed % 3)
				run.isolate(direction, run.rand.Perm(len(run.machines))[:1+run.rand.IntN(len(run.machines)-1)]...)
			})
			run.schedule(3*time.Second, run.heal)
		})
		if run.failure != "" {
			t.Errorf("seed %d: %s", seed, run.failure)
		}
	})
}

// Guards against a wiped disk that counts as one that never voted. With it, two of three seeds would bootstrap a second
// cluster.
func TestBootstrapBySeedsExcludesWipedDisks(t *testing.T) {
	t.Parallel()
	bootstrapWithWipe := func(bugs driverBugs) string {
		sim := newSimulation(3, 3, 1, bugs, discardLog)
		sim.partition(func(i, j int) bool { return i == 2 || j == 2 })
		for sim.now < 5*time.Second && len(sim.epochs) == 0 && sim.failure == "" {
			sim.runUntil(sim.now + ms)
		}
		if len(sim.epochs) == 0 {
			return "the cluster was not bootstrapped"
		}
		sim.wipe(1)
		sim.partition(func(i, j int) bool { return i == 0 || j == 0 }) // the node that knows the epoch is isolated
		sim.start(1)
		sim.runUntil(sim.now + 8*time.Second)
		sim.heal()
		sim.runUntil(sim.now + 8*time.Second)
		return sim.failure
	}
	if failure := bootstrapWithWipe(driverBugs{}); failure != "" {
		t.Error(failure)
	}
	if failure := bootstrapWithWipe(driverBugs{hidesLostState: true}); failure == "" {
		t.Error("the injected bug is not detected")
	} else {
		t.Log("with the injected bug: " + failure)
	}
}

// bootstrapTwoClusters simulates six machines with two tolerated faults, one machine more than bootstrapRule covers.
// The machines are partitioned into halves before these discover each other, so each half bootstraps a cluster.
func bootstrapTwoClusters(seeds []int) *simulation {
	sim := newSimulation(1, 6, 2, driverBugs{}, discardLog)
	sim.checksDisabled = true
	firstHalf := append([]int{3}, seeds...)
	for i := 4; len(firstHalf) < 3; i++ {
		firstHalf = append(firstHalf, i)
	}
	sim.isolate(bothDirections, firstHalf...)
	sim.runUntil(8 * time.Second)
	return sim
}

// recordForeignPeers returns a map to which the names of foreign peers are added, by the node that reports them.
func (sim *simulation) recordForeignPeers() map[string][]string {
	foreignPeers := map[string][]string{}
	sim.trace = func(i int, action Action) {
		if f, ok := action.(ForeignPeerFound); ok {
			name := sim.machines[i].node.Name
			foreignPeers[name] = append(foreignPeers[name], f.Name)
		}
	}
	return foreignPeers
}

// Clusters that were bootstrapped independently must not merge. All nodes must report the foreign peers, and only the
// cluster with the majority of the seeds may continue.
func TestTwoClustersAreNeverMerged(t *testing.T) {
	t.Parallel()
	sim := bootstrapTwoClusters([]int{2}) // machines 2, 3 and 4; 0, 1 and 5
	clusters := map[uint64][]int{}
	for i, m := range sim.machines {
		clusters[m.replica.Epoch().ClusterID] = append(clusters[m.replica.Epoch().ClusterID], i)
	}
	if len(clusters) != 2 || sim.machines[0].replica.Epoch().ClusterID == sim.machines[2].replica.Epoch().ClusterID {
		t.Fatalf("clusters: %v", clusters)
	}
	committed := map[int]Version{}
	sim.replaceConfig(0, 5, 1)
	sim.replaceConfig(2, 7, 2)
	sim.runUntil(sim.now + time.Second)
	for i, m := range sim.machines {
		r, _ := m.replica.CommittedValue(configRegister)
		committed[i] = r.Version
	}
	if committed[0].Number != 5 || committed[2].Number != 7 {
		t.Fatalf("committed: %v", committed)
	}
	foreignPeers := sim.recordForeignPeers()
	sim.heal()
	sim.runUntil(sim.now + 10*time.Second)
	for i, m := range sim.machines {
		hasFewSeeds := i == 2 || i == 3 || i == 4
		r, _ := m.replica.CommittedValue(configRegister)
		if r.Version != committed[i] || slices.Index(clusters[m.replica.Epoch().ClusterID], i) < 0 {
			t.Errorf("%s has %v of cluster %x", m.node.Name, r.Version, m.replica.Epoch().ClusterID)
		}
		if has := m.replica.HasQuorum(sim.now - m.startedAt); has == hasFewSeeds {
			t.Errorf("%s has quorum contact: %t", m.node.Name, has)
		}
		if len(foreignPeers[m.node.Name]) != 3 || len(m.replica.ForeignPeers()) != 3 {
			t.Errorf("%s reports the foreign peers %v", m.node.Name, foreignPeers[m.node.Name])
		}
	}
}

// Guards against wiped disks that count as intact when all machines decide the bootstrap. With two of them, a second
// cluster would be bootstrapped beside that of two isolated seeds.
func TestBootstrapByMachinesExcludesWipedDisks(t *testing.T) {
	t.Parallel()
	bootstrapWithWipe := func(bugs driverBugs) string {
		sim := newSimulation(3, 5, 2, bugs, discardLog)
		sim.isolate(bothDirections, 0, 1) // two seeds
		for sim.now < 8*time.Second && len(sim.epochs) == 0 && sim.failure == "" {
			sim.runUntil(sim.now + ms)
		}
		if len(sim.epochs) == 0 {
			return "the cluster was not bootstrapped"
		}
		sim.wipe(3)
		sim.wipe(4)
		sim.isolate(bothDirections, 2) // the node that knows the epoch is isolated
		sim.start(3)
		sim.start(4)
		sim.runUntil(sim.now + 8*time.Second)
		sim.heal()
		sim.runUntil(sim.now + 8*time.Second)
		return sim.failure
	}
	if failure := bootstrapWithWipe(driverBugs{}); failure != "" {
		t.Error(failure)
	}
	if failure := bootstrapWithWipe(driverBugs{hidesLostState: true}); failure == "" {
		t.Error("the injected bug is not detected")
	} else {
		t.Log("with the injected bug: " + failure)
	}
}
