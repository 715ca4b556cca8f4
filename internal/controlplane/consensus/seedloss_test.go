package consensus

import (
	"fmt"
	"testing"
	"time"
)

// seedLossSizes are sizes of clusters that tolerate the loss of all seeds, or of all but one.
var seedLossSizes = []struct{ machines, maxFaults int }{{5, 2}, {7, 3}}

// seedLossScenario is a way in which a cluster loses maxFaults seeds during the bootstrap.
type seedLossScenario struct {
	name      string
	eventsEnd time.Duration // when all events have ended
	schedule  func(run *faultRun, seeds []int, start time.Duration)
}

// powerOff kills machines, which keep their disks.
func (run *faultRun) powerOff(machines []int) {
	for _, i := range machines {
		run.kill(i, true)
		run.machines[i].firstStart = false
	}
}

// removeForGood removes machines permanently.
func (run *faultRun) removeForGood(machines []int) {
	for _, i := range machines {
		run.wipe(i)
		run.machines[i].removed = true
	}
}

// restartAll starts machines after a delay.
func (run *faultRun) restartAll(machines []int, delay time.Duration) {
	for _, i := range machines {
		run.restart(i, delay)
	}
}

// otherMachines returns all machines except the excluded ones.
func (run *faultRun) otherMachines(excluded []int) (all []int) {
	isExcluded := map[int]bool{}
	for _, i := range excluded {
		isExcluded[i] = true
	}
	for i := range run.machines {
		if !isExcluded[i] {
			all = append(all, i)
		}
	}
	return all
}

func seedLossScenarios() []seedLossScenario {
	return []seedLossScenario{
		{"permanently", 9 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() { run.removeForGood(seeds) })
		}},
		{
			"back after the bootstrap, with their disks",
			14 * time.Second,
			func(run *faultRun, seeds []int, start time.Duration) {
				run.schedule(start, func() { run.powerOff(seeds); run.restartAll(seeds, 8*time.Second) })
			},
		},
		{"back after the bootstrap, wiped", 14 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() {
				for _, i := range seeds {
					run.wipe(i)
					run.machines[i].firstStart = false
				}
				run.restartAll(seeds, 8*time.Second)
			})
		}},
		{
			"back after the bootstrap, at other addresses",
			14 * time.Second,
			func(run *faultRun, seeds []int, start time.Duration) {
				run.schedule(start, func() {
					run.powerOff(seeds)
					for _, i := range seeds {
						run.machines[i].node.Address = fmt.Sprintf("10.9.9.%d:7000", i)
					}
					run.restartAll(seeds, 8*time.Second)
				})
			},
		},
		{"first started after the bootstrap", 14 * time.Second, func(run *faultRun, seeds []int, _ time.Duration) {
			for _, i := range seeds {
				m := run.machines[i]
				m.removed = true
				run.schedule(8*time.Second, func() {
					m.removed = false
					run.restart(i, 0)
				})
			}
		}},
		{"back during the bootstrap", 9 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() {
				run.powerOff(seeds)
				for _, i := range seeds {
					run.restart(i, run.randomDuration(3*time.Second))
				}
			})
		}},
		{"back during the bootstrap, wiped, one after the other", 14 * time.Second,
			func(run *faultRun, seeds []int, start time.Duration) {
				for k, i := range seeds {
					run.schedule(start+time.Duration(k)*600*ms, func() {
						run.wipe(i)
						run.machines[i].firstStart = false
						run.restart(i, run.randomDuration(2*time.Second))
					})
				}
			}},
		{"permanently, and all others lose power", 14 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() { run.removeForGood(seeds) })
			run.schedule(start+run.randomDuration(3*time.Second), func() {
				run.powerOff(run.otherMachines(seeds))
				for _, i := range run.otherMachines(seeds) {
					run.restart(i, 300*ms+run.randomDuration(300*ms))
				}
			})
		}},
		{"replaced, then as many others are lost", 24 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() {
				for _, i := range seeds {
					run.replaceMachine(i, time.Second)
				}
			})
			run.schedule(start+14*time.Second, func() { run.removeForGood(run.otherMachines(seeds)[:len(seeds)]) })
		}},
		{"back, then as many others are lost", 24 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() { run.powerOff(seeds); run.restartAll(seeds, 6*time.Second) })
			run.schedule(start+6*time.Second+2*recoveryTime, func() { run.removeForGood(run.otherMachines(seeds)[:len(seeds)]) })
		}},
		{"partitioned from the others", 14 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() { run.isolate(bothDirections, seeds...) })
			run.schedule(start+6*time.Second, run.heal)
		}},
		{
			"partitioned from the others and from each other",
			14 * time.Second,
			func(run *faultRun, seeds []int, start time.Duration) {
				isolated := map[int]bool{}
				for _, i := range seeds {
					isolated[i] = true
				}
				run.schedule(start, func() { run.partition(func(i, j int) bool { return isolated[i] || isolated[j] }) })
				run.schedule(start+6*time.Second, run.heal)
			},
		},
		{"permanently, and a machine is added", 14 * time.Second, func(run *faultRun, seeds []int, start time.Duration) {
			run.schedule(start, func() { run.removeForGood(seeds) })
			run.schedule(run.randomDuration(3*time.Second), func() { run.start(run.addMachine(false)) })
		}},
		{"permanently, and the others restart with other seeds", 14 * time.Second,
			func(run *faultRun, seeds []int, start time.Duration) {
				run.schedule(start, func() { run.removeForGood(seeds) })
				rest := run.otherMachines(seeds)
				for k, i := range rest {
					run.schedule(start+200*ms+run.randomDuration(2500*ms), func() {
						m := run.machines[i]
						for step := range maxSeeds {
							m.seeds = append(m.seeds, run.machines[rest[(k+step)%len(rest)]].node.Address)
						}
						run.powerOff([]int{i})
						run.restart(i, 100*ms)
					})
				}
			}},
	}
}

// The loss of maxFaults seeds at any time of the bootstrap must neither prevent it nor lose an acknowledged change.
// Machines that return must join the same cluster.
func TestFoundingWithoutSeeds(t *testing.T) {
	t.Parallel()
	const moments = 24
	scenarios := seedLossScenarios()
	runParallel(len(scenarios)*len(seedLossSizes)*moments, func(n int) {
		scenario, size := scenarios[n%len(scenarios)], seedLossSizes[n/len(scenarios)%len(seedLossSizes)]
		moment := n / len(scenarios) / len(seedLossSizes)
		if raceEnabled && moment%4 > 0 {
			return
		}
		start := time.Duration(moment) * 130 * ms
		seeds := []int{moment % 3, (moment + 1) % 3, (moment + 2) % 3}[:size.maxFaults]
		run := runWithEvents(uint64(moment), size.machines, size.maxFaults, scenario.eventsEnd, driverBugs{}, discardLog,
			func(run *faultRun) { scenario.schedule(run, seeds, start) })
		if run.failure != "" {
			t.Errorf("%d machines, seeds %v lost at %v, %s: %s", size.machines, seeds, start, scenario.name, run.failure)
		}
	})
}
