package simulation

import (
	"fmt"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

// CoreState is the core after something was done to it.
type CoreState struct {
	At     time.Duration
	Size   int // machines that the operator counts
	Joined int // the most of them that run and reach each other
}

// Loss is a machine of the core that is down, frozen, cut off or has trouble with its disk. It counts until catchUpS
// after its end, and a new machine from its start for as long; one that is gone for good until a successor starts,
// which counts in its place then.
type Loss struct {
	Machine  string
	Disk     bool // what was on its disk is lost
	From, To time.Duration
	Handed   bool // a successor counts from To on
}

// counts says whether it does at a moment.
func (l Loss) counts(at, catchUp time.Duration) bool {
	if l.Handed {
		catchUp = 0
	}
	return l.From <= at && (l.To < 0 || at < l.To+catchUp)
}

// listing is a machine of the core in the operator's list, which lags by seedLagS.
type listing struct {
	m        *Machine
	from, to time.Duration
}

// Cores are the machines of the core that the operator counts.
func (w *World) Cores() []*Machine { return *w.cores.Load() }

// Machine is one by its name.
func (w *World) Machine(name string) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Machines[name]
}

// all are the machines that ever were in the core.
func (w *World) all() (all []*Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range sortedKeys(w.Machines) {
		if m := w.Machines[name]; m.Disk != nil {
			all = append(all, m)
		}
	}
	return all
}

func (w *World) addCore(m *Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.Disk = NewDisk(time.Millisecond)
	w.Machines[m.Name] = m
	var all []*Machine
	if old := w.cores.Load(); old != nil {
		all = slices.Clone(*old)
	}
	all = append(all, m)
	w.cores.Store(&all)
	from := w.Now()
	if m.later {
		from += w.Ledger.Bounds.SeedLag.Duration()
	}
	w.listed = append(w.listed, listing{m, from, -1})
}

// list is the operator's, of control addresses. One that is new or gone is not in it, or is, for seedLagS.
func (w *World) list() (all []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	for _, l := range w.listed {
		if l.from <= now && (l.to < 0 || now < l.to) {
			all = append(all, l.m.control())
		}
	}
	return all
}

// seeds are of a machine that starts: at the first start the same three for all, later three of the operator's
// list, one of which at least runs and is another, if any does. The lock is held.
func (w *World) seeds(m *Machine) (all []string) {
	var run, rest []string
	now := w.Now()
	for i, l := range w.listed {
		at := l.m.control()
		switch {
		case !m.started && !m.later:
			if i < 3 {
				all = append(all, at)
			}
		case l.from > now || l.to >= 0 && now >= l.to:
		case l.m.host != nil && l.m != m:
			run = append(run, at)
		default:
			rest = append(rest, at)
		}
	}
	if all != nil {
		return all
	}
	r := w.Rand("seeds "+m.Name, uint64(m.incarnation))
	r.Shuffle(len(run), func(i, j int) { run[i], run[j] = run[j], run[i] })
	if len(run) > 1 {
		rest = append(rest, run[1:]...)
		run = run[:1]
	}
	r.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	all = append(run, rest[:min(len(rest), 3-len(run))]...)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// Retire takes a machine of the core out for good: the operator does not count it any more. What runs on it is not
// ended here.
func (w *World) Retire(m *Machine) {
	w.mu.Lock()
	m.retired = true
	all := slices.DeleteFunc(slices.Clone(*w.cores.Load()), func(o *Machine) bool { return o == m })
	w.cores.Store(&all)
	for i := range w.listed {
		if w.listed[i].m == m {
			w.listed[i].to = w.Now() + w.Ledger.Bounds.SeedLag.Duration()
		}
	}
	next := m.successor
	w.mu.Unlock()
	w.Ledger.do(func() {
		l, now := w.Ledger, w.Now()
		k := slices.IndexFunc(l.Losses, func(x Loss) bool { return x.Machine == m.Name && x.To < 0 })
		switch {
		case next != nil && k >= 0:
			l.Losses[k].To, l.Losses[k].Handed = now, true
		case next == nil && k >= 0:
			l.Losses[k].Disk = true
		case next == nil:
			l.Losses = append(l.Losses, Loss{Machine: m.Name, Disk: true, From: now, To: -1})
		}
	})
	w.coreEvent()
}

// Gone is a machine of the core that is lost for good, with its disk.
func (w *World) Gone(m *Machine) {
	w.Power(m)
	w.Wipe(m)
	w.Retire(m)
}

// Successor starts a new machine in the place of one that is gone, or will be. Seeds: nil, or what its settings say.
func (w *World) Successor(of *Machine, seeds []string) *Machine {
	w.mu.Lock()
	n, z := 0, slices.Index(w.shape.Zones, of.Zone)
	for _, m := range w.Machines {
		if m.Disk != nil {
			n++
		}
	}
	w.mu.Unlock()
	m := &Machine{Name: fmt.Sprintf("core-%d", n), IP: fmt.Sprintf("10.%d.0.%d", z, 10+n), Zone: of.Zone, later: true,
		seeds: seeds}
	w.mu.Lock()
	of.successor = m
	w.mu.Unlock()
	w.addCore(m)
	w.Ledger.do(func() {
		now, l := w.Now(), w.Ledger
		for i := range l.Losses {
			if l.Losses[i].Machine == of.Name && l.Losses[i].To < 0 {
				l.Losses[i].To, l.Losses[i].Handed = now, true
			}
		}
		l.Losses = append(l.Losses, Loss{Machine: m.Name, Disk: true, From: now, To: now})
	})
	w.Run(m)
	return m
}

// Wipe loses a machine's disk while no process runs on it.
func (w *World) Wipe(m *Machine) {
	m.Disk.Wipe()
	w.lostDisk(m)
}

// Tear takes back the last writes of a machine's disk while no process runs on it.
func (w *World) Tear(m *Machine, writes int, noticed bool) {
	m.Disk.Tear(writes, noticed)
	w.lostDisk(m)
}

func (w *World) lostDisk(m *Machine) {
	w.Ledger.do(func() {
		for i := range w.Ledger.Losses {
			if l := &w.Ledger.Losses[i]; l.Machine == m.Name && l.To < 0 {
				l.Disk = true
			}
		}
	})
	w.coreEvent()
}

// BadDisk lets a machine's disk hang or refuse writes until the function is called.
func (w *World) BadDisk(m *Machine, full bool, atMost time.Duration) (heal func()) {
	end := w.Ledger.BeginFault(w.Now(), m.Name, "disk", false)
	if full {
		m.Disk.Full(true)
	} else {
		m.Disk.Hang(atMost)
	}
	count := func(n int) {
		w.mu.Lock()
		m.hung += n
		w.mu.Unlock()
		w.coreEvent()
	}
	count(1)
	return func() {
		m.Disk.Full(false)
		m.Disk.Hang(0)
		end(w.Now())
		count(-1)
	}
}

// Step sets a machine's time of day off by a span.
func (w *World) Step(m *Machine, off time.Duration) {
	w.Ledger.BeginFault(w.Now(), m.Name, "clock", false)(w.Now())
	m.clock.Store(int64(off))
	w.coreEvent()
}

func (m *Machine) timeOfDay() time.Time { return time.Now().Add(time.Duration(m.clock.Load())) }

// coreEvent notes that something was done to the core, and what it is then: who runs and reaches whom, who is lost.
func (w *World) coreEvent() {
	w.coreMu.Lock()
	defer w.coreMu.Unlock()
	type one struct {
		name         string
		ip           string
		runs, begun  bool
		out, retired bool
	}
	var all []one
	w.mu.Lock()
	for _, name := range sortedKeys(w.Machines) {
		if m := w.Machines[name]; m.Disk != nil {
			all = append(all, one{m.Name, m.IP, m.host != nil, m.started, m.hung > 0,
				m.retired})
		}
	}
	w.mu.Unlock()
	var can []one
	size := 0
	for _, m := range all {
		if !m.retired {
			if size++; m.runs && w.Net.reaches(m.ip, m.ip) {
				can = append(can, m)
			}
		}
	}
	cut := make([]uint64, len(can))
	for i := range can {
		for j := range can[:i] {
			if !w.Net.reaches(can[i].ip, can[j].ip) {
				cut[i], cut[j] = cut[i]|1<<j, cut[j]|1<<i
			}
		}
	}
	best := uint64(0)
	for set := uint64(1); set < 1<<len(can); set++ {
		ok := bits.OnesCount64(set) > bits.OnesCount64(best)
		for i := 0; ok && i < len(can); i++ {
			ok = set>>i&1 == 0 || cut[i]&set == 0
		}
		if ok {
			best = set
		}
	}
	joined := map[string]bool{}
	for i, m := range can {
		joined[m.name] = best>>i&1 == 1
	}
	w.Ledger.do(func() {
		l, now := w.Ledger, w.Now()
		for _, m := range all {
			k := slices.IndexFunc(l.Losses, func(x Loss) bool { return x.Machine == m.name && x.To < 0 })
			out := m.out || !joined[m.name]
			switch {
			case !m.begun || m.retired: // a retired one counts as it was lost, until its successor starts
			case out && k < 0:
				disk := slices.ContainsFunc(l.Losses, func(x Loss) bool { // it had not caught up
					return x.Machine == m.name && x.Disk && x.counts(now, l.Bounds.CatchUp.Duration())
				})
				l.Losses = append(l.Losses, Loss{Machine: m.name, Disk: disk, From: now, To: -1})
			case !out && k >= 0:
				l.Losses[k].To = now
			}
		}
		l.Core = append(l.Core, CoreState{At: now, Size: size, Joined: bits.OnesCount64(best)})
	})
}

// AtWrite calls f at the n-th write of any of some disks from now on (from 1 on), before or after it lasts; f ends the
// machine whose disk it is, or does something else.
func (w *World) AtWrite(of []*Machine, n int, before bool, f func(m *Machine)) (met *atomic.Bool) {
	met = &atomic.Bool{}
	var writes atomic.Int64
	for _, m := range of {
		m.Disk.mu.Lock()
		m.Disk.hooks = append(m.Disk.hooks, func(b bool) {
			if b == before && writes.Add(1) == int64(n) {
				met.Store(true)
				f(m)
			}
		})
		m.Disk.mu.Unlock()
	}
	return met
}
