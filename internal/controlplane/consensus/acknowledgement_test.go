package consensus

import "testing"

// If the node that acknowledged a configuration is killed or loses power at once, all other nodes must still commit it.
func TestTheAcknowledgerMayDie(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		size := [][2]int{{3, 1}, {5, 2}, {7, 3}}[seed%3]
		sim := newSimulation(seed, size[0], size[1], driverBugs{}, discardLog)
		sim.runUntil(4000 * ms)
		i := int(seed) % size[0]
		op := sim.replaceConfig(i, 1, 7)
		for op.outcome != Committed && sim.now < 6000*ms && sim.failure == "" {
			sim.runUntil(sim.now + ms)
		}
		if op.outcome != Committed {
			t.Errorf("seed %d: not committed: %v %s", seed, op, sim.failure)
			continue
		}
		sim.kill(i, seed%2 == 0)
		sim.runUntil(sim.now + 400*ms)
		for j, m := range sim.machines {
			if j == i {
				continue
			}
			if r, ok := m.replica.CommittedValue(configRegister); !ok || r.Version.Number != 1 {
				t.Errorf("seed %d: %s has not committed it", seed, m.node.Name)
			}
		}
		if sim.failure != "" {
			t.Errorf("seed %d: %s", seed, sim.failure)
		}
	}
}
