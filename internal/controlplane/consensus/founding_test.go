package consensus

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// first plays the first seconds of a system in which something happens, and says what is wrong with what follows.
func first(seed uint64, n, faults int, happens func(*days)) *days {
	return begin(seed, n, faults, 5500*ms, driverFlaws{}, quiet, happens)
}

// begin plays a system from its first moment on, in which all that happens is over at an instant.
func begin(seed uint64, n, faults int, over time.Duration, f driverFlaws, log func(string, ...any),
	happens func(*days)) *days {
	w := newWorld(seed, n, faults, f, log)
	d := &days{world: w, story: story{troubles: over - 1500*ms}}
	happens(d)
	d.after(200*ms, d.act)
	var probes []*operation
	d.after(over, func() {
		for i, m := range d.machines {
			if m.r != nil {
				d.version++
				probes = append(probes, d.configuration(i, d.version, 1), d.read(i, charter))
			}
		}
	})
	d.run(over + 3500*ms)
	if d.fault == "" {
		d.checkEnd(probes)
	}
	if d.fault == "" {
		d.checkHistory()
	}
	return d
}

// Whichever of the seeds ends at whatever step, with its disk or without, for a while or for good: the others found the
// system, and it goes on.
func TestFoundingWhicheverSeedEndsAtWhateverStep(t *testing.T) {
	t.Parallel()
	fates := []string{"kept", "wiped", "gone", "gone, another comes"}
	const steps = 100
	var last atomic.Int64
	parallel(len(fates)*steps, func(n int) {
		fate, k, struck := fates[n/steps], 1+n%steps, false
		d := first(uint64(k), 3, 1, func(d *days) {
			d.killAt = k
			d.killed = func(i int) {
				struck = true
				m := d.machines[i]
				last.Store(max(last.Load(), int64(d.now/ms)))
				switch m.first = false; fate {
				case "kept":
					d.kill(i, k%2 == 0)
					d.startAgain(i, 300*ms)
				case "wiped":
					d.wipe(i)
					d.startAgain(i, 300*ms)
				case "gone":
					d.wipe(i)
					m.gone = true
				default:
					d.replace(i, time.Second)
				}
			}
		})
		if d.fault != "" || !struck {
			t.Errorf("killed before order %d, %s: %s", k, fate, d.fault)
		}
	})
	t.Logf("%d first seconds, the last end after %d ms", len(fates)*steps, last.Load())
}

// All seeds end at once, at whatever moment, with their disks, whatever their number.
func TestFoundingAfterAllEnded(t *testing.T) {
	t.Parallel()
	sizes := []int{1, 2, 3, 5}
	parallel(50*len(sizes), func(k int) {
		n, at := sizes[k%len(sizes)], time.Duration(k/len(sizes))*60*ms
		d := first(uint64(k), n, (n-1)/2, func(d *days) {
			d.after(at, func() {
				for i := range d.machines {
					d.kill(i, k/len(sizes)%2 == 0)
					d.startAgain(i, 100*ms+d.upTo(time.Second))
				}
			})
		})
		if d.fault != "" {
			t.Errorf("%d machines, all ended after %v: %s", n, at, d.fault)
		}
	})
}

// Seeds that are cut from each other, one way too, found nothing twice, and all are of one system after.
func TestFoundingWhileSeedsAreCutOff(t *testing.T) {
	t.Parallel()
	parallel(60, func(k int) {
		seed := uint64(k)
		d := first(seed, 3+2*int(seed%2), 1, func(d *days) {
			d.after(d.upTo(200*ms), func() {
				d.cutOff(int(seed%3), d.rand.Perm(len(d.machines))[:1+d.rand.IntN(len(d.machines)-1)]...)
			})
			d.after(3*time.Second, d.heal)
		})
		if d.fault != "" {
			t.Errorf("seed %d: %s", seed, d.fault)
		}
	})
}

// A disk that was wiped before anything was founded must not count as one that never voted: with it two of three would
// found a second system beside the first.
func TestFoundingCountsNoDiskThatMayHaveForgotten(t *testing.T) {
	t.Parallel()
	play := func(f driverFlaws) string {
		w := newWorld(3, 3, 1, f, quiet)
		w.cut(func(i, j int) bool { return i == 2 || j == 2 })
		for w.now < 5*time.Second && len(w.epochs) == 0 && w.fault == "" {
			w.run(w.now + ms)
		}
		if len(w.epochs) == 0 {
			return "nothing was founded"
		}
		w.wipe(1)
		w.cut(func(i, j int) bool { return i == 0 || j == 0 }) // who knows of it is cut off
		w.start(1)
		w.run(w.now + 8*time.Second)
		w.heal()
		w.run(w.now + 8*time.Second)
		return w.fault
	}
	if fault := play(driverFlaws{}); fault != "" {
		t.Error(fault)
	}
	if fault := play(driverFlaws{blankCounts: true}); fault == "" {
		t.Error("a flaw that is planted here is not seen")
	} else {
		t.Log("planted: " + fault)
	}
}

// twoSystems plays six machines of which two may be lost, which is one machine more than a founding can be sure of: cut
// into halves before the halves have heard of each other, each founds a system. Later they are joined.
func twoSystems(seedsOfFirst []int) *world {
	w := newWorld(1, 6, 2, driverFlaws{}, quiet)
	w.unchecked = true
	first := append([]int{3}, seedsOfFirst...)
	for i := 4; len(first) < 3; i++ {
		first = append(first, i)
	}
	w.cutOff(0, first...)
	w.run(8 * time.Second)
	return w
}

// foreignPeersFound notes what the machines say of other systems from now on.
func (w *world) foreignPeersFound() map[string][]string {
	found := map[string][]string{}
	w.trace = func(i int, o Action) {
		if f, is := o.(ForeignPeerFound); is {
			name := w.machines[i].who.Name
			found[name] = append(found[name], f.Name)
		}
	}
	return found
}

// Two systems that were founded independently are never merged: whoever meets the other says so, and only the one that
// has most of the seeds goes on.
func TestTwoSystemsAreNeverMerged(t *testing.T) {
	t.Parallel()
	w := twoSystems([]int{2}) // seed 2 with 3 and 4; seeds 0 and 1 with 5
	ids := map[uint64][]int{}
	for i, m := range w.machines {
		ids[m.r.Epoch().ClusterID] = append(ids[m.r.Epoch().ClusterID], i)
	}
	if len(ids) != 2 || w.machines[0].r.Epoch().ClusterID == w.machines[2].r.Epoch().ClusterID {
		t.Fatalf("founded: %v", ids)
	}
	held := map[int]Version{}
	w.configuration(0, 5, 1)
	w.configuration(2, 7, 2)
	w.run(w.now + time.Second)
	for i, m := range w.machines {
		r, _ := m.r.CommittedValue(charter)
		held[i] = r.Version
	}
	if held[0].Number != 5 || held[2].Number != 7 {
		t.Fatalf("held: %v", held)
	}
	found := w.foreignPeersFound()
	w.heal()
	w.run(w.now + 10*time.Second)
	for i, m := range w.machines {
		hasFewSeeds := i == 2 || i == 3 || i == 4
		r, _ := m.r.CommittedValue(charter)
		if r.Version != held[i] || slices.Index(ids[m.r.Epoch().ClusterID], i) < 0 {
			t.Errorf("%s has %v of system %x", m.who.Name, r.Version, m.r.Epoch().ClusterID)
		}
		if has := m.r.HasQuorum(w.now - m.startAt); has == hasFewSeeds {
			t.Errorf("%s has quorum contact: %t", m.who.Name, has)
		}
		if len(found[m.who.Name]) != 3 || len(m.r.ForeignPeers()) != 3 {
			t.Errorf("%s found %v", m.who.Name, found[m.who.Name])
		}
	}
}

// A disk that was wiped must not count as one that remembers where machines decide: with two such, two seeds that were
// cut off would found a second system.
func TestFoundingByMachinesCountsNoWipedDisk(t *testing.T) {
	t.Parallel()
	play := func(f driverFlaws) string {
		w := newWorld(3, 5, 2, f, quiet)
		w.cutOff(0, 0, 1) // two seeds
		for w.now < 8*time.Second && len(w.epochs) == 0 && w.fault == "" {
			w.run(w.now + ms)
		}
		if len(w.epochs) == 0 {
			return "nothing was founded"
		}
		w.wipe(3)
		w.wipe(4)
		w.cutOff(0, 2) // who knows of it is cut off
		w.start(3)
		w.start(4)
		w.run(w.now + 8*time.Second)
		w.heal()
		w.run(w.now + 8*time.Second)
		return w.fault
	}
	if fault := play(driverFlaws{}); fault != "" {
		t.Error(fault)
	}
	if fault := play(driverFlaws{blankCounts: true}); fault == "" {
		t.Error("a flaw that is planted here is not seen")
	} else {
		t.Log("planted: " + fault)
	}
}
