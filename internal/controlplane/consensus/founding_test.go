package consensus

import (
	"sync/atomic"
	"testing"
	"time"
)

// first plays the first seconds of a system in which something happens, and says what is wrong with what follows.
func first(seed uint64, n, faults int, happens func(*days)) *days {
	w := newWorld(seed, n, faults, driverFlaws{}, quiet)
	d := &days{world: w, story: story{troubles: 4 * time.Second}}
	happens(d)
	d.after(200*ms, d.act)
	var probes []*operation
	d.after(5500*ms, func() {
		for i, m := range d.machines {
			if m.r != nil {
				d.version++
				probes = append(probes, d.configuration(i, d.version, 1), d.read(i, charter))
			}
		}
	})
	d.run(9 * time.Second)
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
