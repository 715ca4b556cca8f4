package simulation

import (
	"math/rand/v2"
	"time"
)

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
