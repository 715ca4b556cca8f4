package simulation

import (
	"math/rand/v2"
	"time"
)

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

// waitUntilCalm waits until a loss counts no more, a little longer, or a little less.
func (d *draw) waitUntilCalm(times float64) {
	time.Sleep(time.Duration(times * float64(d.w.Ledger.Bounds.CatchUp.Duration())))
}
