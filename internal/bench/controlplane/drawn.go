package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// drawn is a play of troubles as they come, each within what may be lost at once, while orders go on. A machine counts
// as lost until catchUpS after it is back, or after its successor's start.
type drawn struct {
	s        *system
	chance   *rand.Rand
	mu       sync.Mutex
	free     map[*machine]time.Time // from when a machine counts as whole; the zero time: it is away
	failed   error
	done     sync.WaitGroup
	notified map[string]int
}

const drawnDuration = 32 * time.Second

func (d *drawn) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed == nil {
		d.failed = err
	}
}

func (d *drawn) set(m *machine, free time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free[m] = free
}

// back says that a machine runs from now on.
func (d *drawn) back(m *machine) { d.set(m, time.Now().Add(catchUp*11/10)) }

func (d *drawn) err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// caughtUp are the machines that count, back those that run but have not had their time yet; lost counts these and all
// that are away.
func (d *drawn) caughtUp() (whole, back []*machine, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.s.machines() { // in their order, so that what is drawn is the same each time
		switch at, there := d.free[m]; {
		case !there:
		case at.IsZero():
			lost++
		case time.Now().Before(at):
			back = append(back, m)
			lost++
		default:
			whole = append(whole, m)
		}
	}
	return whole, back, lost
}

func (d *drawn) some(least, most time.Duration) time.Duration {
	return least + time.Duration(d.chance.Int64N(int64(most-least)))
}

// faults by name; each takes a machine that is whole. The spans are drawn before it begins.
func (d *drawn) faults() []struct {
	name string
	make func(m *machine) func() error
} {
	r := d.s.r
	again := func(m *machine, after time.Duration) error {
		if err := r.wait(after); err != nil {
			return err
		}
		if err := m.again(); err != nil {
			return err
		}
		d.back(m)
		return nil
	}
	successor := func(m *machine, after time.Duration) error {
		d.mu.Lock()
		delete(d.free, m)
		fresh, err := d.s.another()
		if err == nil {
			d.free[fresh] = time.Time{} // its place is empty until it had its time
		}
		d.mu.Unlock()
		if err != nil {
			return err
		}
		if err := r.wait(after); err != nil {
			return err
		}
		if err := fresh.start(false, alive(d.s.machines())); err != nil {
			return err
		}
		d.back(fresh)
		return nil
	}
	return []struct {
		name string
		make func(m *machine) func() error
	}{
		{"killed", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 2*time.Second)
			return func() error { m.kill(); return again(m, after) }
		}},
		{"killed again and again", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 600*time.Millisecond)
			return func() error {
				for range 4 {
					m.kill()
					if err := again(m, after); err != nil {
						return err
					}
					d.set(m, time.Time{})
					if err := r.wait(after); err != nil {
						return err
					}
				}
				d.back(m)
				return nil
			}
		}},
		{"wiped", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 2*time.Second)
			return func() error { m.kill(); m.wipe(); return again(m, after) }
		}},
		{"replaced", func(m *machine) func() error {
			after := d.some(0, 3*time.Second)
			return func() error { m.gone(); return successor(m, after) }
		}},
		{"silent and replaced", func(m *machine) func() error {
			after := d.some(0, 3*time.Second)
			return func() error { m.cutPower(); return successor(m, after) }
		}},
		{"frozen", func(m *machine) func() error {
			span := d.some(300*time.Millisecond, 7*time.Second)
			return func() error {
				m.freeze()
				err := r.wait(span)
				m.thaw()
				d.back(m)
				return err
			}
		}},
		{"told to end", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, time.Second)
			return func() error {
				if _, err := m.term(); err != nil {
					return err
				}
				return again(m, after)
			}
		}},
		{"told to end, and replaced", func(m *machine) func() error {
			after := d.some(0, 2*time.Second)
			return func() error {
				if _, err := m.term(); err != nil {
					return err
				}
				m.gone()
				return successor(m, after)
			}
		}},
	}
}

// drawnDay plays it.
func drawnDay(r *run, size, faults int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	c := s.ride()
	d := &drawn{
		s:        s,
		chance:   rand.New(rand.NewPCG(r.chance.Uint64(), 3)),
		free:     map[*machine]time.Time{},
		notified: map[string]int{},
	}
	for _, m := range s.machines() {
		d.free[m] = time.Now()
	}
	orders, zoning := s.stream(), make(chan error, 1)
	began := time.Now()
	s.done.Go(func() { zoning <- d.zoneOrders(c, began) })
	all := d.faults()
	for time.Since(began) < drawnDuration && d.err() == nil {
		if err := r.wait(d.some(50*time.Millisecond, 900*time.Millisecond)); err != nil {
			return err
		}
		whole, back, lost := d.caughtUp()
		// All processes may be killed at one moment, whatever else is under way: also while one that came back or is
		// new is taken in.
		if d.chance.IntN(40) == 0 {
			hit := append(whole, back...)
			for _, m := range hit {
				d.set(m, time.Time{})
			}
			r.log("drawn: all %d that run are killed", len(hit))
			d.notified["all killed"]++
			each(hit, func(_ int, m *machine) { m.kill() })
			if err := r.wait(restartDelay); err != nil {
				return err
			}
			for _, m := range hit {
				if err := m.again(); err != nil {
					return err
				}
				d.back(m)
			}
			continue
		}
		if lost >= faults || len(whole) == 0 {
			continue
		}
		m, x := whole[d.chance.IntN(len(whole))], all[d.chance.IntN(len(all))]
		d.set(m, time.Time{})
		r.log("drawn: %s is %s", m.name, x.name)
		d.notified[x.name]++
		act := x.make(m)
		d.done.Go(func() {
			if err := act(); err != nil && r.ctx.Err() == nil {
				d.fail(fmt.Errorf("%s, %s: %w", m.name, x.name, err))
			}
		})
	}
	d.done.Wait()
	if err := <-zoning; err != nil {
		return err
	}
	if err := d.err(); err != nil {
		return err
	}
	r.note("%v; %d orders", d.notified, orders.sent)
	if err := orders.end(r, "a drawn day", commitTimeout); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("after a drawn day"); err != nil {
		return err
	}
	hit, err := s.restartAll()
	if err != nil {
		return err
	}
	if err := s.orders("restart of all in the end", hit, commitTimeout); err != nil {
		return err
	}
	return s.readBack("after a restart of all in the end")
}

// zoneOrders is another operator, who empties a zone and ends that, again and again, and sees to it that it is so.
func (d *drawn) zoneOrders(c *rider, began time.Time) error {
	for i := 0; time.Since(began) < drawnDuration; i++ {
		zone := zones[i/2%len(zones)]
		call, want := "evacuation.begin", true
		if i%2 == 1 {
			call, want = "evacuation.finish", false
		}
		if err := d.s.zone(call, zone); err != nil {
			return err
		}
		if err := d.s.evacuatedIs(c, zone, want, call+" was confirmed, and"); err != nil {
			return err
		}
	}
	return nil
}

// theReplacedAlone: three machines were replaced while they were silent. They wake, all of the first core, while those
// in their places sleep: each of them once was in a majority, and none of them may say anything.
func theReplacedAlone(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	old := s.machines()
	for i, m := range old {
		m.cutPower()
		if err := s.orders(fmt.Sprintf("loss %d", i+1), time.Now(), commitTimeout); err != nil {
			return err
		}
		started := time.Now()
		if _, err := s.add(alive(s.machines())); err != nil {
			return err
		}
		if err := r.until(started, catchUp*11/10); err != nil {
			return err
		}
	}
	if err := s.orders("three replacements", time.Now(), contact); err != nil {
		return err
	}
	var now []*machine
	for _, m := range s.machines() {
		if !slices.Contains(old, m) {
			now = append(now, m)
		}
	}
	for _, m := range now {
		m.freeze()
	}
	for _, m := range old {
		m.thaw()
	}
	gave := map[string]int{}
	var mu sync.Mutex
	for woke := time.Now(); time.Since(woke) < 6*time.Second; {
		each(old, func(_ int, m *machine) {
			version, body := s.next()
			for what, a := range map[string]answer{"an order": s.put(
				r.ctx,
				m,
				version,
				body,
				callTimeout,
			), "a read": s.read(r.ctx, m, callTimeout),
				"an evacuation": s.call(r.ctx, m, "evacuation.begin", "a", nil, callTimeout)} {
				mu.Lock()
				if gave[fmt.Sprint(a.status)]++; a.orderOutcome() != unknown {
					r.short("the replaced wake alone, and %s at %s meets %v", what, m.name, a)
				}
				mu.Unlock()
			}
		})
		if err := r.wait(200 * time.Millisecond); err != nil {
			return err
		}
	}
	r.note("the replaced, awake alone, answer so: %v", gave)
	for _, m := range now {
		m.thaw()
	}
	if err := s.orders("those in their places wake", time.Now(), 2*contact); err != nil {
		return err
	}
	version, body := s.ledger.newest()
	for _, m := range now {
		if err := s.readAt("in the end", m, version, body, 2*contact); err != nil {
			return err
		}
	}
	return nil
}
