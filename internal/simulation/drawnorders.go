package simulation

import (
	"math/rand/v2"
	"time"
)

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
