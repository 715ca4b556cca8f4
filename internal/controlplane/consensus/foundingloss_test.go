package consensus

import (
	"fmt"
	"testing"
	"time"
)

// Sizes of systems whose seeds may all but one, or all, be lost at once.
var fewSeeds = []struct{ machines, faults int }{{5, 2}, {7, 3}}

// lossOfSeeds is a story of the first seconds of a system that loses as many seeds as may be lost at once.
type lossOfSeeds struct {
	name string
	over time.Duration // when all that happens is over
	play func(d *days, lost []int, at time.Duration)
}

// noPower ends the machines, with their disks kept.
func (d *days) noPower(some []int) {
	for _, i := range some {
		d.kill(i, true)
		d.machines[i].first = false
	}
}

// forGood ends machines that never come back.
func (d *days) forGood(some []int) {
	for _, i := range some {
		d.wipe(i)
		d.machines[i].gone = true
	}
}

// again starts machines in a while.
func (d *days) again(some []int, in time.Duration) {
	for _, i := range some {
		d.startAgain(i, in)
	}
}

// others are the machines that were there at the first start, but for some.
func (d *days) others(some []int) (all []int) {
	isSome := map[int]bool{}
	for _, i := range some {
		isSome[i] = true
	}
	for i := range d.machines {
		if !isSome[i] {
			all = append(all, i)
		}
	}
	return all
}

func lossesOfSeeds() []lossOfSeeds {
	return []lossOfSeeds{
		{"for good", 9 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.forGood(lost) })
		}},
		{"back after the founding, with their disks", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.noPower(lost); d.again(lost, 8*time.Second) })
		}},
		{"back after the founding, wiped", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() {
				for _, i := range lost {
					d.wipe(i)
					d.machines[i].first = false
				}
				d.again(lost, 8*time.Second)
			})
		}},
		{"back after the founding, at other addresses", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() {
				d.noPower(lost)
				for _, i := range lost {
					d.machines[i].who.Address = fmt.Sprintf("10.9.9.%d:7000", i)
				}
				d.again(lost, 8*time.Second)
			})
		}},
		{"never there before, with bootstrap true", 14 * time.Second, func(d *days, lost []int, _ time.Duration) {
			for _, i := range lost {
				m := d.machines[i]
				m.gone = true
				d.after(8*time.Second, func() {
					m.gone = false
					d.startAgain(i, 0)
				})
			}
		}},
		{"back during the founding", 9 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() {
				d.noPower(lost)
				for _, i := range lost {
					d.startAgain(i, d.upTo(3*time.Second))
				}
			})
		}},
		{"back during the founding, wiped, one after the other", 14 * time.Second,
			func(d *days, lost []int, at time.Duration) {
				for k, i := range lost {
					d.after(at+time.Duration(k)*600*ms, func() {
						d.wipe(i)
						d.machines[i].first = false
						d.startAgain(i, d.upTo(2*time.Second))
					})
				}
			}},
		{"for good, and all others lose power", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.forGood(lost) })
			d.after(at+d.upTo(3*time.Second), func() {
				d.noPower(d.others(lost))
				for _, i := range d.others(lost) {
					d.startAgain(i, 300*ms+d.upTo(300*ms))
				}
			})
		}},
		{"replaced, and then as many others", 24 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() {
				for _, i := range lost {
					d.replace(i, time.Second)
				}
			})
			d.after(at+14*time.Second, func() { d.forGood(d.others(lost)[:len(lost)]) })
		}},
		{"back, and then as many others", 24 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.noPower(lost); d.again(lost, 6*time.Second) })
			d.after(at+6*time.Second+2*catchUp, func() { d.forGood(d.others(lost)[:len(lost)]) })
		}},
		{"cut off, and all are joined later", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.cutOff(0, lost...) })
			d.after(at+6*time.Second, d.heal)
		}},
		{"cut from each other too", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			apart := map[int]bool{}
			for _, i := range lost {
				apart[i] = true
			}
			d.after(at, func() { d.cut(func(i, j int) bool { return apart[i] || apart[j] }) })
			d.after(at+6*time.Second, d.heal)
		}},
		{"for good, and a machine is added meanwhile", 14 * time.Second, func(d *days, lost []int, at time.Duration) {
			d.after(at, func() { d.forGood(lost) })
			d.after(d.upTo(3*time.Second), func() { d.start(d.add(false)) })
		}},
		{"for good, and the others restart with other seeds", 14 * time.Second,
			func(d *days, lost []int, at time.Duration) {
				d.after(at, func() { d.forGood(lost) })
				rest := d.others(lost)
				for k, i := range rest {
					d.after(at+200*ms+d.upTo(2500*ms), func() {
						m := d.machines[i]
						for step := range maxSeeds {
							m.seeds = append(m.seeds, d.machines[rest[(k+step)%len(rest)]].who.Address)
						}
						d.noPower([]int{i})
						d.startAgain(i, 100*ms)
					})
				}
			}},
	}
}

// As many seeds as may be lost at once go at any moment of the first seconds: the others found the system, nothing that
// was acknowledged is lost, and whoever comes back is of the one system.
func TestFoundingWithoutSeeds(t *testing.T) {
	t.Parallel()
	const moments = 24
	stories := lossesOfSeeds()
	parallel(len(stories)*len(fewSeeds)*moments, func(n int) {
		story, size := stories[n%len(stories)], fewSeeds[n/len(stories)%len(fewSeeds)]
		k := n / len(stories) / len(fewSeeds)
		if raced && k%4 > 0 {
			return
		}
		at := time.Duration(k) * 130 * ms
		lost := []int{k % 3, (k + 1) % 3, (k + 2) % 3}[:size.faults]
		d := begin(uint64(k), size.machines, size.faults, story.over, driverFlaws{}, quiet,
			func(d *days) { story.play(d, lost, at) })
		if d.fault != "" {
			t.Errorf("%d machines, seeds %v %s at %v: %s", size.machines, lost, story.name, at, d.fault)
		}
	})
}
