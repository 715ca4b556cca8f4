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

// story is one kind of drawn days.
type story struct {
	budget   bool // never more machines in trouble than are to be borne: then no order is blocked for long
	long     bool // cuts of 20 s and 60 s
	troubles time.Duration
	ends     time.Duration
}

func sizes(w uint64, budget bool) (n, faults int) {
	if budget {
		all := [][2]int{{3, 1}, {5, 1}, {5, 2}, {7, 3}, {4, 1}, {3, 1}}
		s := all[w%uint64(len(all))]
		return s[0], s[1]
	}
	all := [][2]int{{1, 0}, {2, 0}, {3, 1}, {5, 1}, {3, 1}, {5, 2}, {3, 1}, {4, 1}, {7, 3}, {3, 0}}
	s := all[w%uint64(len(all))]
	return s[0], s[1]
}

// days run one story in a world.
type days struct {
	*world
	story
	old []op // orders that may come again
}

type op struct {
	version, digest uint64
	zone            string
	begins          bool
	at              time.Duration
}

func (d *days) alive() (all []int) {
	for i, m := range d.machines {
		if m.r != nil {
			all = append(all, i)
		}
	}
	return all
}

func (d *days) calm(i int) bool {
	m := d.machines[i]
	return m.r != nil && !m.frozen && m.troubled < d.now && m.came
}

// act asks something, now and again. A call that gets no clear answer is repeated, as the operators' callers do.
func (d *days) act() {
	all := d.alive()
	if len(all) > 0 {
		i := all[d.rand.IntN(len(all))]
		zone := fmt.Sprint("zone/", d.rand.IntN(2))
		switch d.rand.IntN(8) {
		case 0, 1:
			d.version++
			o := op{version: d.version, digest: 1 + d.rand.Uint64N(1<<20), at: d.now}
			d.old = append(d.old, o)
			d.configuration(i, o.version, o.digest)
		case 2: // two operators under one number
			d.version++
			for range 2 + d.rand.IntN(2) {
				o := op{version: d.version, digest: 1 + d.rand.Uint64N(1<<20), at: d.now}
				d.old = append(d.old, o)
				j := all[d.rand.IntN(len(all))]
				d.after(d.upTo(time.Duration(d.rand.IntN(2))*2*time.Second), func() { d.configuration(j, o.version, o.digest) })
			}
		case 3, 4:
			o := op{zone: zone, begins: d.rand.IntN(2) == 0, at: d.now}
			d.old = append(d.old, o)
			d.evacuate(i, zone, o.begins)
		case 5:
			if len(d.old) > 0 {
				o := d.old[max(len(d.old)-1-d.rand.IntN(6), 0)]
				if o.zone != "" {
					d.evacuate(i, o.zone, o.begins)
				} else {
					d.configuration(i, o.version, o.digest)
				}
			}
		case 6:
			d.read(i, charter)
		case 7:
			d.read(i, zone)
		}
	}
	if d.now < d.troubles+2*time.Second {
		d.after(d.upTo(250*ms), d.act)
	}
}

// press asks a machine without trouble for a change, again and again, and notes how long none was taken.
func (d *days) press() {
	for range 4 {
		if i := d.rand.IntN(len(d.machines)); d.calm(i) {
			d.version++
			d.configuration(i, d.version, 7)
			break
		}
	}
	if gap := d.now - d.taken; gap > d.blockage {
		if d.blockage = gap; gap > catchUp+3*time.Second {
			d.failf("no order was taken for %v, though no more than %d machines were in trouble", gap, d.faults)
		}
	}
	if d.now < d.troubles+2*time.Second {
		d.after(300*ms, d.press)
	}
}

func (d *days) inTrouble() (count int) {
	for _, m := range d.machines {
		if m.troubled >= d.now {
			count++
		}
	}
	return count
}

// startAgain starts a machine in a while; a wiped disk counts as lost for a while after.
func (d *days) startAgain(i int, in time.Duration) {
	d.after(in, func() {
		d.start(i)
		if m := d.machines[i]; m.r != nil {
			m.troubled = d.now + catchUp
		}
	})
}

func (d *days) over(i int) { d.machines[i].troubled = d.now + catchUp }

// trouble draws a fault, now and again.
func (d *days) trouble() {
	if d.now > d.troubles {
		return
	}
	defer d.after(d.upTo(1200*ms), d.trouble)
	i := d.rand.IntN(len(d.machines))
	m := d.machines[i]
	if m.gone || !m.came {
		return
	}
	if d.budget && (m.troubled < d.now && d.inTrouble() >= d.faults || m.troubled >= d.now) {
		return
	}
	span := 100*ms + d.upTo(2*time.Second)
	if d.rand.IntN(5) == 0 {
		span += d.upTo(8 * time.Second)
	}
	if d.long && d.rand.IntN(3) == 0 {
		span = 20 * time.Second
		if d.rand.IntN(3) == 0 {
			span = 60 * time.Second
		}
	}
	span = min(span, d.troubles-d.now)
	m.troubled = endless
	switch d.rand.IntN(15) {
	case 0, 1:
		d.kill(i, d.rand.IntN(2) == 0)
		d.startAgain(i, span)
	case 2, 3:
		if m.r != nil && (d.budget || d.mayLose(i)) {
			d.wipe(i)
			d.startAgain(i, min(span, 3*time.Second))
			return
		}
		d.over(i)
	case 4, 5:
		some := []int{i}
		if !d.budget {
			some = d.rand.Perm(len(d.machines))[:d.rand.IntN(len(d.machines))]
		} else if len(d.blocked) > 0 {
			d.over(i)
			return
		}
		d.cutOff(d.rand.IntN(4), some...)
		d.after(span, func() { d.heal(); d.over(i) })
	case 6:
		m.slowLine = d.upTo(600 * ms)
		d.after(span, func() { m.slowLine = 0; d.over(i) })
	case 7:
		m.slowDisk = d.upTo(800 * ms)
		d.after(span, func() { m.slowDisk = 0; d.over(i) })
	case 8:
		m.badDisk = true
		d.after(span, func() { m.badDisk = false; d.over(i) })
	case 9:
		m.fullDisk = true
		d.after(span, func() { m.fullDisk = false; d.over(i) })
	case 10:
		m.hungDisk = true
		d.after(span, func() { d.unhang(m); d.over(i) })
	case 11:
		d.freeze(i, span)
		d.after(span, func() { d.over(i) })
	case 12: // replaced by a new machine
		if !d.budget && !d.mayLose(i) || len(d.machines) > 12 {
			d.over(i)
			return
		}
		d.replace(i, min(span, 3*time.Second))
	case 13:
		d.leave(i, span)
	case 14:
		if d.budget {
			d.over(i)
			return
		}
		if d.rand.IntN(3) > 0 {
			d.squeeze(span)
			return
		}
		power := d.rand.IntN(2) == 0
		for j := range d.machines {
			d.kill(j, power)
			d.startAgain(j, d.upTo(time.Second))
		}
	}
}

func (d *days) replace(i int, in time.Duration) {
	m := d.machines[i]
	d.wipe(i)
	m.gone = true
	d.log("%v %s is gone for good", d.now, m.who.Name)
	d.after(in, func() {
		j := d.add(false)
		d.start(j)
		m.troubled = d.now + catchUp // the lost one, until its successor has had its time
		d.machines[j].troubled = d.now + catchUp
	})
}

// leave ends a process as planned; its machine comes back, or goes for good.
func (d *days) leave(i int, span time.Duration) {
	m := d.machines[i]
	if m.r == nil || m.leaving {
		d.over(i)
		return
	}
	d.log("%v %s is to leave", d.now, m.who.Name)
	m.leaving = true
	life, ended := m.life, false
	left := func() {
		if m.life != life || ended {
			return
		}
		ended = true
		if d.rand.IntN(3) == 0 && len(d.machines) <= 12 && (d.budget || d.mayLose(i)) {
			d.replace(i, min(span, 3*time.Second))
			return
		}
		d.kill(i, false)
		d.startAgain(i, span)
	}
	m.leftToEnd = func() { d.after(d.upTo(50*ms), left) }
	d.after(grace, left)
	d.step(i, Shutdown{})
}

// squeeze lets those that miss a change meet only those that had it and are wiped: the tightest that may be.
func (d *days) squeeze(span time.Duration) {
	all := d.rand.Perm(len(d.machines))
	cut := all[len(all)/2+1:]
	d.cutOff(0, cut...)
	d.after(span, func() {
		for _, i := range all[:min(d.faults, len(all)/2+1)] {
			if m := d.machines[i]; m.r != nil && d.mayLose(i) {
				d.wipe(i)
				d.startAgain(i, d.upTo(100*ms))
			}
		}
		d.heal()
		d.cutOff(0, all[d.faults:len(all)/2+1]...)
		d.after(2*span, d.heal)
	})
}

// calmDown ends all faults.
func (d *days) calmDown() {
	d.heal()
	for i, m := range d.machines {
		m.slowLine, m.slowDisk, m.badDisk, m.fullDisk = 0, 0, false, false
		if m.hungDisk {
			d.unhang(m)
		}
		d.wake(i)
		if m.r == nil && !m.gone && m.came {
			d.start(i)
		}
	}
}

// checkEnd: after the faults all hold the same, know it to be chosen, and nothing that was acknowledged is missing;
// each takes an order and answers a read; the voters are those that are there.
func (d *days) checkEnd(probes []*operation) {
	var newest Epoch
	for _, e := range d.epochs {
		if e.Number > newest.Number {
			newest = e
		}
	}
	lost := 0
	for _, v := range newest.Voters {
		if !d.disk(v.StoreID) {
			lost++
		}
	}
	spare := 0
	for _, m := range d.machines {
		if m.r != nil && !newest.IsVoter(m.r.StoreID()) {
			spare++
		}
	}
	switch {
	case newest.Number == 0:
		d.failf("nothing was founded")
	case len(newest.OldVoters) > 0:
		d.failf("epoch %d is still under way: %v to %v", newest.Number, ids(newest.OldVoters), ids(newest.Voters))
	case lost > 0 && spare > 0:
		d.failf("%d of the voters %v are lost, and %d others wait", lost, ids(newest.Voters), spare)
	case lost == 0 && spare > 0 && len(newest.Voters) < max(newest.TargetSize(), 2*d.faults+1):
		d.failf("%d machines are no voters of %v", spare, ids(newest.Voters))
	}
	var first *machine
	names := map[string]bool{}
	for _, q := range d.history {
		names[q.name] = true
	}
	for _, m := range d.machines {
		if m.gone || !m.came {
			continue
		}
		if m.r == nil {
			d.failf("%s is down", m.who.Name)
			return
		}
		if m.r.Epoch().Number != newest.Number || !m.r.HasQuorum(d.now-m.startAt) {
			d.failf(
				"%s is in epoch %d of %d, in touch: %v",
				m.who.Name,
				m.r.Epoch().Number,
				newest.Number,
				m.r.HasQuorum(d.now-m.startAt),
			)
		}
		if first == nil {
			first = m
		}
		for name := range names {
			v, chosen := m.r.Accepted(name)
			f, _ := first.r.Accepted(name)
			force, is := m.r.CommittedValue(name)
			if v.Version != f.Version || string(v.Value) != string(f.Value) {
				d.failf("%s has %s %v at the end, %s has %v", m.who.Name, name, v.Version, first.who.Name, f.Version)
			}
			if v.Version != (Version{}) && (!chosen || !is || force.Version != v.Version) {
				d.failf(
					"%s does not know %s %v to be chosen at the end: %v, in force %v",
					m.who.Name,
					name,
					v.Version,
					chosen,
					force.Version,
				)
			}
		}
	}
	for _, q := range probes {
		if q != nil && (q.ret == endless || q.fate != Committed) {
			d.failf("after the faults this is not taken: %v", q)
		}
	}
}

func play(seed uint64, s story, f driverFlaws, log func(string, ...any)) *world {
	return playTraced(seed, s, f, log, nil)
}

func playTraced(seed uint64, s story, f driverFlaws, log func(string, ...any), trace func(int, Action)) *world {
	n, faults := sizes(seed, s.budget)
	w := newWorld(seed, n, faults, f, log)
	w.trace = trace
	w.log("%d machines, %d faults, seeds %v", n, faults, w.seeds)
	d := &days{world: w, story: s}
	if w.rand.IntN(2) == 0 {
		w.skewed = true
		for _, m := range w.machines {
			m.skew = time.Duration(w.rand.IntN(3)-1) * time.Hour
		}
	}
	w.after(w.upTo(500*ms), d.act)
	if s.budget {
		w.after(0, d.press)
	}
	w.after(w.upTo(1500*ms), d.trouble)
	w.after(s.troubles, func() { w.after(0, d.calmDown) })
	var probes []*operation
	w.after(s.troubles+6*time.Second, func() {
		d.calmDown()
		for i, m := range w.machines {
			if m.r != nil {
				w.after(w.upTo(time.Second), func() {
					w.version++
					probes = append(probes, w.configuration(i, w.version, 1), w.read(i, charter), w.read(i, "zone/0"))
				})
			}
		}
	})
	w.run(s.ends)
	if w.fault == "" {
		d.checkEnd(probes)
	}
	if w.fault == "" {
		w.checkHistory()
	}
	return w
}

var (
	wild   = story{troubles: 18 * time.Second, ends: 32 * time.Second}
	long   = story{troubles: 100 * time.Second, ends: 114 * time.Second, long: true}
	budget = story{troubles: 25 * time.Second, ends: 39 * time.Second, budget: true}
)

func quiet(string, ...any) {}

type played struct {
	seed   uint64
	fault  string
	done   int
	blocks time.Duration
	epochs int
}

// parallel does n things, on all processors.
func parallel(n int, do func(k int)) {
	var all sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for k := int(next.Add(1)) - 1; k < n; k = int(next.Add(1)) - 1 {
				do(k)
			}
		})
	}
	all.Wait()
}

// playAll plays many seeds, in their order.
func playAll(from, to uint64, s story, f driverFlaws) []played {
	out := make([]played, to-from)
	parallel(len(out), func(k int) {
		w := play(from+uint64(k), s, f, quiet)
		out[k] = played{from + uint64(k), w.fault, w.done, w.blockage, len(w.epochs)}
	})
	return out
}

// hold plays many days; beside the race detector every fifth of them. CI plays all of them without it.
func hold(t *testing.T, from, to uint64, s story) {
	t.Helper()
	if raced {
		to = from + (to-from)/5
	}
	done, epochs, failed := 0, 0, 0
	var blocked time.Duration
	for _, p := range playAll(from, to, s, driverFlaws{}) {
		done += p.done
		epochs += p.epochs
		blocked = max(blocked, p.blocks)
		if p.fault == "" {
			continue
		}
		if failed++; failed == 1 {
			var log []string
			play(p.seed, s, driverFlaws{}, func(format string, v ...any) { log = append(log, fmt.Sprintf(format, v...)) })
			t.Log("\n" + strings.Join(log[max(len(log)-60, 0):], "\n"))
		}
		if failed <= 12 {
			t.Errorf("seed %d: %s", p.seed, p.fault)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d seeds failed", failed, to-from)
	}
	t.Logf(
		"%d days, %d answers, %d epochs, longest without an order taken (simulated, where that is asked) %v",
		to-from,
		done,
		epochs,
		blocked,
	)
	if done < int(to-from)*20 || epochs < int(to-from)*2 {
		t.Errorf("only %d answers and %d epochs: this shows little", done, epochs)
	}
}

// Whatever is killed, cut, slowed, frozen or held up, and with as many disks lost at once as may be, nothing that was
// acknowledged is lost, nothing goes back, no read misses it, and afterwards all agree.
func TestDrawnFaultsLoseNothingAcknowledged(t *testing.T) {
	t.Parallel()
	hold(t, 0, 200, wild)
}

// Cuts of 20 s and 60 s, with orders on both sides.
func TestDrawnLongCuts(t *testing.T) {
	t.Parallel()
	hold(t, 0, 30, long)
}

// While no more machines are in trouble than are to be borne, no order is blocked for long.
func TestDrawnFaultsWithinTheBudgetBlockNoOrder(t *testing.T) {
	t.Parallel()
	hold(t, 0, 100, budget)
}

// The checks see what they are there for: each flaw is planted in the driver, and named by what is said of it.
func TestDrawnFaultsSeePlantedFlaws(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		f    driverFlaws
		says string
	}{
		"a vote is said before it is synced":   {driverFlaws{lyingDisk: true}, "it was not chosen"},
		"an order is acknowledged by one disk": {driverFlaws{ackAtOne: true}, "its value was not chosen"},
		"a number is confirmed twice": {
			driverFlaws{confirmsTwice: true},
			"a number is confirmed with other bytes",
		},
		"a read without a majority":           {driverFlaws{readsItself: true}, "no call can have made"},
		"what is half done is told as chosen": {driverFlaws{tellsHalfDone: true}, "it was not chosen"},
		"an order that was given up is taken later": {
			driverFlaws{takesLate: true},
			"of a call that was said never to be taken",
		},
		"an old epoch's words count":   {driverFlaws{oldEras: true}, "to follow epoch"},
		"a leave without handing over": {driverFlaws{leavesAtOnce: true}, "other disks"},
	} {
		t.Run(name, func(t *testing.T) {
			var others []string
			for from := uint64(1000); from < 1096; from += 8 {
				for _, p := range playAll(from, from+8, wild, c.f) {
					if strings.Contains(p.fault, c.says) {
						t.Logf("seed %d: %s", p.seed, p.fault)
						return
					}
					others = append(others, p.fault)
				}
			}
			t.Errorf("none of %d seeds says %q: %q", len(others), c.says, others)
		})
	}
}
