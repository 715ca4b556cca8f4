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

// drawnFault is a fault by its name. make draws its spans for a machine that is whole, and returns what is to be done.
type drawnFault struct {
	name string
	make func(m *machine) func() error
}

func (d *drawn) faults() []drawnFault {
	return []drawnFault{
		{"killed", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 2*time.Second)
			return func() error { m.kill(); return d.again(m, after) }
		}},
		{"killed again and again", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 600*time.Millisecond)
			return func() error { return d.killRepeatedly(m, after) }
		}},
		{"wiped", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, 2*time.Second)
			return func() error { m.kill(); m.wipe(); return d.again(m, after) }
		}},
		{"replaced", func(m *machine) func() error {
			after := d.some(0, 3*time.Second)
			return func() error { m.gone(); return d.replace(m, after) }
		}},
		{"silent and replaced", func(m *machine) func() error {
			after := d.some(0, 3*time.Second)
			return func() error { m.cutPower(); return d.replace(m, after) }
		}},
		{"frozen", func(m *machine) func() error {
			span := d.some(300*time.Millisecond, 7*time.Second)
			return func() error { return d.freeze(m, span) }
		}},
		{"told to end", func(m *machine) func() error {
			after := d.some(100*time.Millisecond, time.Second)
			return func() error { return inOrder(terminating(m), func() error { return d.again(m, after) }) }
		}},
		{"told to end, and replaced", func(m *machine) func() error {
			after := d.some(0, 2*time.Second)
			return func() error {
				return inOrder(terminating(m), func() error { m.gone(); return d.replace(m, after) })
			}
		}},
	}
}

func terminating(m *machine) func() error {
	return func() error {
		_, err := m.term()
		return err
	}
}

// again starts a machine after a while.
func (d *drawn) again(m *machine, after time.Duration) error {
	err := inOrder(d.s.r.waiting(after), m.again)
	if err == nil {
		d.back(m)
	}
	return err
}

// replace starts a new machine in the place of one that is gone.
func (d *drawn) replace(m *machine, after time.Duration) error {
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
	err = inOrder(d.s.r.waiting(after), func() error { return fresh.start(false, alive(d.s.machines())) })
	if err == nil {
		d.back(fresh)
	}
	return err
}

func (d *drawn) freeze(m *machine, span time.Duration) error {
	m.freeze()
	err := d.s.r.wait(span)
	m.thaw()
	d.back(m)
	return err
}

func (d *drawn) killRepeatedly(m *machine, after time.Duration) error {
	const times = 4
	err := repeat(times, func(int) error {
		m.kill()
		if err := d.again(m, after); err != nil {
			return err
		}
		d.set(m, time.Time{})
		return d.s.r.wait(after)
	})()
	if err == nil {
		d.back(m)
	}
	return err
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
	if err := d.play(began, faults); err != nil {
		return err
	}
	d.done.Wait()
	return inOrder(
		func() error { return <-zoning },
		d.err,
		func() error {
			r.note("%v; %d orders", d.notified, orders.sent)
			return orders.end(r, "a drawn day", commitTimeout)
		},
		r.waiting(catchUp*11/10),
		s.readingBack("after a drawn day"),
		s.restarting("restart of all in the end"),
	)
}

// play draws faults until the day is over.
func (d *drawn) play(began time.Time, faults int) error {
	all := d.faults()
	for time.Since(began) < drawnDuration && d.err() == nil {
		if err := d.s.r.wait(d.some(50*time.Millisecond, 900*time.Millisecond)); err != nil {
			return err
		}
		whole, back, lost := d.caughtUp()
		// All processes may be killed at one moment, whatever else is under way: also while one that came back or is
		// new is taken in.
		if d.chance.IntN(40) == 0 {
			if err := d.killAll(append(whole, back...)); err != nil {
				return err
			}
			continue
		}
		if lost < faults && len(whole) > 0 {
			d.begin(whole[d.chance.IntN(len(whole))], all[d.chance.IntN(len(all))])
		}
	}
	return nil
}

// killAll ends the processes of some machines at one moment, and starts them again.
func (d *drawn) killAll(hit []*machine) error {
	for _, m := range hit {
		d.set(m, time.Time{})
	}
	d.s.r.log("drawn: all %d that run are killed", len(hit))
	d.notified["all killed"]++
	each(hit, func(_ int, m *machine) { m.kill() })
	if err := d.s.r.wait(restartDelay); err != nil {
		return err
	}
	for _, m := range hit {
		if err := m.again(); err != nil {
			return err
		}
		d.back(m)
	}
	return nil
}

// begin has a fault befall a machine.
func (d *drawn) begin(m *machine, x drawnFault) {
	d.set(m, time.Time{})
	d.s.r.log("drawn: %s is %s", m.name, x.name)
	d.notified[x.name]++
	act := x.make(m)
	d.done.Go(func() {
		if err := act(); err != nil && d.s.r.ctx.Err() == nil {
			d.fail(fmt.Errorf("%s, %s: %w", m.name, x.name, err))
		}
	})
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
	err = inOrder(
		repeat(len(old), func(i int) error { return s.replaceSilent(old[i], i) }),
		s.ordersAfter("three replacements", contact),
	)
	if err != nil {
		return err
	}
	now := slices.DeleteFunc(s.machines(), func(m *machine) bool { return slices.Contains(old, m) })
	for _, m := range now {
		m.freeze()
	}
	for _, m := range old {
		m.thaw()
	}
	if err := s.askTheReplaced(old); err != nil {
		return err
	}
	for _, m := range now {
		m.thaw()
	}
	if err := s.orders("those in their places wake", time.Now(), 2*contact); err != nil {
		return err
	}
	version, body := s.ledger.newest()
	return repeat(len(now), func(i int) error { return s.readAt("in the end", now[i], version, body, 2*contact) })()
}

// replaceSilent has a machine fall silent, and a new one take its place.
func (s *system) replaceSilent(m *machine, i int) error {
	m.cutPower()
	if err := s.orders(fmt.Sprintf("loss %d", i+1), time.Now(), commitTimeout); err != nil {
		return err
	}
	started := time.Now()
	if _, err := s.add(alive(s.machines())); err != nil {
		return err
	}
	return s.r.until(started, catchUp*11/10)
}

// askTheReplaced calls machines that were replaced and are alone, for a while: none may say anything that counts.
func (s *system) askTheReplaced(old []*machine) (err error) {
	gave := map[string]int{}
	var mu sync.Mutex
	note := func(m *machine, what string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if gave[fmt.Sprint(a.status)]++; a.orderOutcome() != unknown {
			s.r.short("the replaced wake alone, and %s at %s meets %v", what, m.name, a)
		}
	}
	for woke := time.Now(); time.Since(woke) < 6*time.Second && err == nil; err = s.r.wait(200 * time.Millisecond) {
		each(old, func(_ int, m *machine) {
			version, body := s.next()
			note(m, "an order", s.put(s.r.ctx, m, version, body, callTimeout))
			note(m, "a read", s.read(s.r.ctx, m, callTimeout))
			note(m, "an evacuation", s.call(s.r.ctx, m, "evacuation.begin", "a", nil, callTimeout))
		})
	}
	s.r.note("the replaced, awake alone, answer so: %v", gave)
	return err
}
