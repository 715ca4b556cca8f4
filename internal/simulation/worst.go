package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Way is in which directions a cut loses what is sent.
type Way uint8

// Ways: both; what the cut-off side says; what it would hear.
const (
	Both Way = iota
	Unheard
	Deaf
)

func (y Way) String() string { return []string{"both ways", "unheard", "deaf"}[y] }

// Split parts some machines of the core, carriers and backends from all others; the function joins them. Carriers and
// backends reach the core's machines of their own side only.
func (w *World) Split(cores, carriers []*Machine, backends []*Backend, y Way) (join func()) {
	var ways [][2]string
	apart := func(a, b string) { // a is on the side that is cut off
		if y != Deaf {
			ways = append(ways, [2]string{a, b})
		}
		if y != Unheard {
			ways = append(ways, [2]string{b, a})
		}
	}
	for _, o := range w.Cores() {
		if slices.Contains(cores, o) {
			for _, m := range w.Proxies {
				if !slices.Contains(carriers, m) {
					apart(o.IP, m.IP)
				}
			}
			for _, b := range w.Backends() {
				if !slices.Contains(backends, b) {
					apart(o.IP, b.host.IP)
				}
			}
			continue
		}
		for _, m := range slices.Concat(cores, carriers) {
			apart(m.IP, o.IP)
		}
		for _, b := range backends {
			apart(b.host.IP, o.IP)
		}
	}
	return w.part(ways, slices.Concat(cores, carriers)...)
}

// Partition cuts each of some machines of the core from each other.
func (w *World) Partition(some []*Machine) (join func()) {
	var ways [][2]string
	for i, a := range some {
		for _, b := range some[:i] {
			ways = append(ways, [2]string{a.IP, b.IP}, [2]string{b.IP, a.IP})
		}
	}
	return w.part(ways, some...)
}

// Numbers gives configurations rising versions.
type Numbers struct{ last atomic.Uint32 }

// Next is a configuration unlike the last.
func (n *Numbers) Next() *Config {
	v := n.last.Add(1) + 1
	c := NewConfig(v)
	if v%2 == 0 {
		c.Routes[0].Services = []string{"views"}
	}
	return c
}

// other is another body under the same number.
func other(c *Config, n int) *Config {
	o := *c
	o.Routes = append(slices.Clone(c.Routes), Route{Host: "a.example", Prefix: fmt.Sprintf("/other-%d/", n), Safe: true,
		Services: []string{"pages"}, TimeoutS: 4, MaxTries: 2})
	return &o
}

// dawn draws faults of the first second, within the budget; all processes may be killed beside it.
func (w *World) dawn(r *rand.Rand) (log []string) {
	cores := slices.Clone(w.Cores())
	r.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	left := w.shape.Faults
	moment := func() time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }
	for _, m := range cores {
		if left == 0 {
			break
		}
		left--
		at, span, how := moment(), time.Duration(200+r.IntN(3000))*time.Millisecond, r.IntN(8)
		if !w.losesDisks() {
			how = []int{0, 1, 1, 1, 4, 5, 5, 7}[how]
		}
		if how == 3 && !w.replaces() {
			how = 2
		}
		write, before, both := 1+r.IntN(12), r.IntN(2) == 0, r.IntN(2) == 0
		log = append(log, fmt.Sprintf(
			"%s: %s at %v (or write %d, before it lasts %t) for %v",
			m.Name,
			[]string{
				"kill",
				"power",
				"power and wipe",
				"gone",
				"freeze",
				"power at a write",
				"power and wipe at a write",
				"cut off",
			}[how],
			at,
			write,
			before,
			span,
		))
		hit := func(m *Machine, wipe bool) {
			w.Power(m)
			if wipe {
				w.Wipe(m)
			}
			w.Go(func() { time.Sleep(span); w.PowerOn(m) })
		}
		switch how {
		case 5, 6:
			w.AtWrite([]*Machine{m}, write, before, func(m *Machine) {
				if w.Now() < 3*time.Second { // later it would come beside what else is lost
					hit(m, how == 6)
				}
			})
			continue
		}
		w.Go(func() {
			time.Sleep(at)
			if !w.runs(m) {
				return
			}
			switch how {
			case 0:
				w.Kill(m)
				time.Sleep(span / 4)
				w.Run(m)
			case 1, 2:
				hit(m, how == 2)
			case 3:
				w.Gone(m)
				time.Sleep(span)
				w.Successor(m, nil)
			case 4:
				w.Freeze(m, span)
			case 7:
				join := w.Isolate(m, both)
				time.Sleep(span)
				join()
			}
		})
	}
	if r.IntN(3) == 0 {
		at, span := moment(), time.Duration(50+r.IntN(900))*time.Millisecond
		log = append(log, fmt.Sprintf("all killed at %v for %v", at, span))
		w.Go(func() {
			time.Sleep(at)
			w.killAll(false, span)
		})
	}
	return log
}

// killAll ends every process of the gateway at once, and starts them again.
func (w *World) killAll(power bool, span time.Duration) {
	var all []*Machine
	for _, m := range slices.Concat(w.Cores(), w.Proxies) {
		if w.runs(m) {
			all = append(all, m)
			if power {
				w.Power(m)
			} else {
				w.Kill(m)
			}
		}
	}
	time.Sleep(span)
	for _, m := range all {
		if power {
			w.PowerOn(m)
		} else {
			w.Run(m)
		}
	}
}

// waitUntilCalm waits until a loss counts no more, a little longer, or a little less.
func (d *draw) waitUntilCalm(times float64) {
	time.Sleep(time.Duration(times * float64(d.w.Ledger.Bounds.CatchUp.Duration())))
}

// send sends an order at a controller, from one of the operators, while the script goes on.
func (d *draw) send(o *Order, at *Machine, lost int) {
	d.w.Go(func() { d.w.send(o, at, d.w.Ledger.Bounds.Ack.Duration(), lost) })
}

func (d *draw) order(r *rand.Rand, at *Machine, lost int) {
	d.send(&Order{Config: d.next(r), Valid: true}, at, lost)
}

// once makes one call at one controller, as an operator does that gives up: the order may be half done.
func (d *draw) once(o *Order, at *Machine) {
	w := d.w
	w.Ledger.do(func() {
		o.Valid, o.At, o.End = true, w.Now(), w.Now()+time.Second
		w.Ledger.Orders = append(w.Ledger.Orders, o)
	})
	w.Go(func() {
		status, _, err := w.ask(1, at.control(), o, false)
		w.Ledger.do(func() {
			if o.End = w.Now(); err == nil {
				if o.Status = status; status/100 == 2 {
					o.Acked, o.By = w.Now(), at.Name
				}
			}
		})
	})
}

// longCut: some are cut off for up to 20 s, in one way of three, with operators, new carriers, restarts and leaving
// backends on both sides, and half-done orders of both when it heals.
func (d *draw) longCut(r *rand.Rand) {
	w, span := d.w, between(r, 4*time.Second, 20*time.Second)
	all := d.shuffled(r)
	if r.IntN(2) == 0 { // the seeds, or some of them
		all = w.Cores()
	}
	off := all[:max(1, min(w.shape.Faults, len(all)-1))]
	on := all[len(off):]
	d.reserveAll(span, len(off))
	y, zone := Way(r.IntN(3)), pick(r, w.shape.Zones)
	var carriers []*Machine
	var minor []*Backend
	for i, m := range w.Proxies {
		if m.Zone == off[0].Zone && i != 1 || i == 4 {
			carriers = append(carriers, m)
		}
	}
	for _, b := range w.Backends() {
		if r.IntN(4) == 0 {
			minor = append(minor, b)
		}
	}
	names := ""
	for _, m := range off {
		names += " " + m.Name
	}
	d.log("cut off%s, %v, for %v", names, y, span)
	join := w.Split(off, carriers, minor, y)
	end := w.Now() + span
	d.once(&Order{Config: d.next(r)}, off[0])
	d.once(&Order{Config: d.next(r)}, pick(r, on))
	w.Go(func() { w.Evacuate(zone, true, pick(w.Rand("cut", uint64(end)), on)) })
	for _, m := range w.Proxies {
		w.mu.Lock()
		spare := m.spare
		w.mu.Unlock()
		if spare && r.IntN(2) == 0 {
			d.log("%s begins", m.Name)
			w.Run(m)
		}
	}
	for k := 0; w.Now() < end; k++ {
		time.Sleep(between(r, 100*time.Millisecond, 1500*time.Millisecond))
		m := pick(r, off)
		switch r.IntN(9) {
		case 0, 1:
			d.once(&Order{Config: d.next(r)}, m)
		case 2, 3:
			d.order(r, pick(r, on), 0)
		case 4, 5:
			w.AskCores()
		case 6:
			if k < 8 {
				d.log("%s is killed and starts", m.Name)
				w.Kill(m)
				time.Sleep(between(r, 0, 500*time.Millisecond))
				w.Run(m)
			}
		case 7:
			if b := pick(r, minor); b != nil && k < 6 && b.ready() {
				d.log("%s leaves, on the side that is cut off", b.ID)
				w.Go(b.Drain)
				d.fresh(b)
			}
		case 8:
			w.Step(pick(r, all), between(r, -time.Hour, time.Hour))
		}
	}
	d.once(&Order{Config: d.next(r)}, off[0])
	d.once(&Order{Config: d.next(r)}, pick(r, on))
	time.Sleep(between(r, 0, 3*time.Millisecond))
	join()
	d.log("healed")
	d.ask(r, time.Second)
	time.Sleep(5 * time.Second)
	d.refill(zone, pick(r, off))
}

// oneNumber: two bodies under one number, at once or later, sent again at each, after a higher one too.
func (d *draw) oneNumber(r *rand.Rand) {
	for range 4 {
		c, all := d.next(r), d.shuffled(r)
		two := []*Order{{Config: c, Valid: true}, {Config: other(c, 1+r.IntN(2)), Valid: true, Pen: 1}}
		d.send(two[0], all[0], r.IntN(3))
		time.Sleep([]time.Duration{0, between(r, 0, 12*time.Millisecond), 2 * time.Second}[r.IntN(3)])
		d.send(two[1], all[len(all)-1], r.IntN(2))
		d.ask(r, between(r, 0, time.Second))
		if r.IntN(2) == 0 {
			d.order(r, nil, 0)
			time.Sleep(between(r, 0, time.Second))
		}
		for _, m := range d.w.Cores() {
			for i, o := range two {
				d.w.Go(func() { _, _, _ = d.w.ask(i, m.control(), o, false) })
			}
		}
		time.Sleep(between(r, 0, 2*time.Second))
	}
}

// replaced: one is lost for good and replaced, and when that has had its time another, and again; the seeds of the new
// ones are dead but one.
func (d *draw) replaced(r *rand.Rand) {
	w := d.w
	n := 1 + r.IntN(max(1, w.shape.Faults))
	for range 2 + r.IntN(2) {
		d.reserveAll(2*time.Second, n)
		all := d.shuffled(r)
		d.order(r, all[0], 0)
		time.Sleep(between(r, 0, 40*time.Millisecond))
		for _, m := range all[:n] {
			d.log("%s is lost for good", m.Name)
			w.Gone(m)
		}
		time.Sleep(between(r, 0, 2*time.Second))
		for _, m := range all[:n] {
			var seeds []string
			if r.IntN(2) == 0 {
				seeds = []string{m.control(), all[n].control()}
			}
			d.log("%s comes for %s", w.Successor(m, seeds).Name, m.Name)
			time.Sleep(between(r, 0, 300*time.Millisecond))
		}
		d.order(r, nil, 0)
		d.waitUntilCalm(1.1)
	}
}

// wipedTwice: one comes back with an empty disk; at 1.1 catchUpS another is lost with its disk, or at 0.9, disk kept.
func (d *draw) wipedTwice(r *rand.Rand) {
	w := d.w
	d.reserveAll(20*time.Second, len(d.lost))
	for k := range 3 {
		all := d.shuffled(r)
		d.order(r, all[0], 0)
		time.Sleep(between(r, 0, 40*time.Millisecond))
		early := k == 1 && r.IntN(2) == 0
		d.log("%s loses power, wiped %t", all[0].Name, !early)
		if w.Power(all[0]); !early {
			w.Wipe(all[0])
		}
		time.Sleep(between(r, 200*time.Millisecond, 1500*time.Millisecond))
		w.PowerOn(all[0])
		if d.ask(r, 300*time.Millisecond); k == 0 && r.IntN(2) == 0 {
			d.waitUntilCalm(0.9)
			other := all[1]
			d.log("%s loses power, disk kept", other.Name)
			w.Power(other)
			time.Sleep(time.Second)
			w.PowerOn(other)
		}
		d.waitUntilCalm(1.1)
	}
}

// removed: machines go in order, the new one before or after; one goes, and another loses its power right after.
func (d *draw) removed(r *rand.Rand) {
	w := d.w
	for range 2 {
		d.reserve(8 * time.Second)
		all := d.shuffled(r)
		d.order(r, all[0], 0)
		first := r.IntN(2) == 0
		d.log("%s is removed by SIGTERM, its successor first %t", all[0].Name, first)
		if first {
			w.Successor(all[0], nil)
			d.waitUntilCalm(1.1)
		}
		w.Term(all[0])
		w.Gone(all[0])
		if !first {
			time.Sleep(between(r, 0, 3*time.Second))
			w.Successor(all[0], nil)
		}
		d.order(r, nil, 0)
		d.waitUntilCalm(1.1)
	}
}

// leaver: one is asked to leave while what it alone holds is half done.
func (d *draw) leaver(r *rand.Rand) {
	w := d.w
	d.reserveAll(9*time.Second, len(d.lost))
	all := d.shuffled(r)
	var heal []func()
	for _, m := range all[1:] {
		heal = append(heal, w.BadDisk(m, r.IntN(2) == 0, 2*time.Second))
	}
	d.once(&Order{Config: d.next(r)}, all[0])
	time.Sleep(between(r, 5*time.Millisecond, 600*time.Millisecond))
	d.log("%s, which alone has a value, is asked to leave", all[0].Name)
	w.Go(func() { time.Sleep(2 * time.Second); each(heal) })
	w.Term(all[0])
	w.Gone(all[0])
	d.ask(r, time.Second)
	w.Successor(all[0], nil)
	d.order(r, nil, 0)
	d.waitUntilCalm(1.1)
}

// wakes: a machine that is cut off is counted out and replaced; then it hears again, while others are gone.
func (d *draw) wakes(r *rand.Rand) {
	w := d.w
	d.reserveAll(14*time.Second, len(d.lost))
	all := d.shuffled(r)
	join := w.Isolate(all[0], r.IntN(2) == 0)
	d.once(&Order{Config: d.next(r)}, all[0])
	time.Sleep(between(r, 100*time.Millisecond, 4*time.Second))
	w.Retire(all[0])
	n := w.Successor(all[0], nil)
	d.log("%s is cut off and replaced by %s", all[0].Name, n.Name)
	d.order(r, all[1], 0)
	d.waitUntilCalm(1.1)
	thaw := w.Frozen(n)
	w.Power(all[1])
	join()
	d.log("%s is back, %s frozen, %s without power", all[0].Name, n.Name, all[1].Name)
	d.once(&Order{Config: d.next(r)}, all[0])
	d.ask(r, 1500*time.Millisecond)
	thaw()
	w.PowerOn(all[1])
	d.waitUntilCalm(1.1)
	w.Kill(all[0])
}

// lostAnswers: answers are lost on their way for up to ackS.
func (d *draw) lostAnswers(r *rand.Rand) {
	w := d.w
	zone := pick(r, w.shape.Zones)
	d.log("evacuate %s, its answers lost", zone)
	w.send(&Order{Zone: zone, Begin: true, Valid: true}, pick(r, w.Cores()), 5*time.Second, r.IntN(5))
	for range 3 {
		d.order(r, pick(r, w.Cores()), 1+r.IntN(4))
		time.Sleep(between(r, 0, time.Second))
	}
	d.partition(r)
	w.send(&Order{Zone: zone, Begin: true, Valid: true, Pen: 1}, pick(r, w.Cores()), 5*time.Second, r.IntN(5))
	d.partition(r)
	w.send(&Order{Zone: zone, Valid: true, Pen: r.IntN(2)}, pick(r, w.Cores()), 5*time.Second, r.IntN(5))
	d.partition(r)
	d.log("take back %s", zone)
	d.cool(zone)
	w.send(&Order{Zone: zone, Valid: true}, pick(r, w.Cores()), 5*time.Second, r.IntN(5))
	time.Sleep(7 * time.Second)
}

// clocks: the controllers' times of day are up to an hour off, and step while orders are given.
func (d *draw) clocks(r *rand.Rand) {
	w, zone := d.w, pick(r, d.w.shape.Zones)
	step := func() {
		for _, m := range w.Cores() {
			if r.IntN(2) == 0 {
				w.Step(m, between(r, -time.Hour, time.Hour))
			}
		}
	}
	for range 2 {
		step()
		d.order(r, pick(r, w.Cores()), r.IntN(2))
		w.Evacuate(zone, true, pick(r, w.Cores()))
		d.log("%s is evacuated, the clocks step", zone)
		step()
		d.partition(r)
		if r.IntN(3) == 0 {
			d.log("all killed")
			w.killAll(r.IntN(2) == 0, 300*time.Millisecond)
		}
		d.order(r, pick(r, w.Cores()), 0)
		d.refill(zone, pick(r, w.Cores()))
		d.partition(r)
	}
}

// many: dozens of changes, one machine down for most of them; it comes back, wiped or not, and another goes.
func (d *draw) many(r *rand.Rand) {
	w := d.w
	d.reserve(6 * time.Second)
	all, wipe := d.shuffled(r), r.IntN(2) == 0
	for k := range 60 {
		switch k {
		case 10:
			d.log("%s is down, wiped %t", all[0].Name, wipe)
			if w.Power(all[0]); wipe {
				w.Wipe(all[0])
			}
		case 50:
			w.PowerOn(all[0])
		}
		w.send(&Order{Config: d.next(r), Valid: true}, all[1+k%2], 5*time.Second, 0)
		time.Sleep(between(r, 0, 60*time.Millisecond))
	}
	d.waitUntilCalm(1.1)
	d.reserve(2 * time.Second)
	d.log("%s is down", all[1].Name)
	w.Power(all[1])
	d.ask(r, 2*time.Second)
	w.PowerOn(all[1])
	d.waitUntilCalm(1.1)
}

// powerInChange: power is lost at a write of a change of voters, before or after it lasts.
func (d *draw) powerInChange(r *rand.Rand) {
	w := d.w
	for range 2 {
		d.reserveAll(10*time.Second, len(d.lost))
		all := d.shuffled(r)
		k, before, how := 1+r.IntN(14), r.IntN(2) == 0, r.IntN(3)
		d.log(
			"%s is %s; power is lost at write %d, before it lasts %t",
			all[0].Name,
			[]string{"replaced", "wiped", "asked to leave"}[how],
			k,
			before,
		)
		arm := func() {
			w.AtWrite(w.all(), k, before, func(m *Machine) {
				w.Power(m)
				w.Go(func() { time.Sleep(900 * time.Millisecond); w.PowerOn(m) })
			})
		}
		switch how {
		case 0:
			w.Gone(all[0])
			arm()
			time.Sleep(between(r, 0, time.Second))
			w.Successor(all[0], nil)
		case 1:
			w.Power(all[0])
			w.Wipe(all[0])
			arm()
			time.Sleep(between(r, 0, time.Second))
			w.PowerOn(all[0])
		default:
			arm()
			w.Term(all[0])
			w.Gone(all[0])
			w.Successor(all[0], nil)
		}
		d.order(r, nil, 0)
		d.ask(r, 5*time.Second)
		d.waitUntilCalm(1.1)
	}
}

// badDisk: one is replaced while another's disk is full or hangs.
func (d *draw) badDisk(r *rand.Rand) {
	w := d.w
	d.reserveAll(10*time.Second, 2)
	all, span := d.shuffled(r), between(r, time.Second, 6*time.Second)
	full := r.IntN(2) == 0
	heal := w.BadDisk(all[1], full, span)
	d.log("%s is replaced; disk of %s for %v, full %t (else it hangs)", all[0].Name, all[1].Name, span, full)
	w.Gone(all[0])
	time.Sleep(between(r, 0, time.Second))
	w.Successor(all[0], nil)
	d.order(r, nil, 0)
	time.Sleep(span)
	heal()
	d.order(r, nil, 0)
	d.waitUntilCalm(1.2)
}

// frozen: one is replaced while another is frozen, which wakes with what lay in its sockets.
func (d *draw) frozen(r *rand.Rand) {
	w := d.w
	span := between(r, time.Second, 8*time.Second)
	d.reserveAll(span+2*time.Second, 2)
	all := d.shuffled(r)
	thaw := w.Frozen(all[1])
	d.once(&Order{Config: d.next(r)}, all[1])
	d.log("%s is replaced, %s frozen for %v", all[0].Name, all[1].Name, span)
	w.Gone(all[0])
	time.Sleep(between(r, 0, time.Second))
	w.Successor(all[0], nil)
	for end := w.Now() + span; w.Now() < end; {
		d.order(r, pick(r, w.Cores()), 0)
		time.Sleep(time.Second)
	}
	thaw()
	d.ask(r, time.Second)
	d.waitUntilCalm(1.1)
}

// partitionSeeds: the first three, or all, cannot reach each other.
func (d *draw) partitionSeeds(r *rand.Rand) {
	w, span := d.w, between(r, 500*time.Millisecond, 9*time.Second)
	d.reserveAll(span, len(d.lost))
	some := w.Cores()[:min(3, len(w.Cores()))]
	d.log("%d cut from each other for %v", len(some), span)
	join := w.Partition(some)
	for _, m := range some {
		d.once(&Order{Config: d.next(r)}, m)
	}
	for end := w.Now() + span; w.Now() < end; {
		d.ask(r, 300*time.Millisecond)
		d.once(&Order{Config: d.next(r)}, pick(r, some))
	}
	join()
	d.ask(r, time.Second)
	d.order(r, pick(r, some), 0)
	time.Sleep(4 * time.Second)
}
