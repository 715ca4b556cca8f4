package controlplane

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// changes: many of them, with a member down, restarts and a lost disk; nothing may grow with their number.
func changes(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	g := &growth{system: s}
	var small, large footprint
	all := s.machines()
	down, other, third := all[0], all[1], all[2]
	err = inOrder(
		g.change(10),
		func() error { small = g.measure(); return nil },
		g.change(90),
		func() error { down.kill(); return nil },
		g.change(150),
		g.restart(other, false), // with one down: neither orders nor reads until it is back
		s.ordersAfter("restart with one down", commitTimeout),
		g.hasNewest(other, "a restart with one down"),
		g.change(150),
		down.again,
		g.hasNewest(down, "down for 300 changes"),
		r.waiting(catchUp*11/10),
		g.restart(third, true),
		s.ordersAfter("wipe", commitTimeout),
		g.hasNewest(third, "a wiped disk"),
		r.waiting(catchUp*11/10),
		g.change(50),
		g.restart(down, false),
		g.hasNewest(down, "a restart"),
		g.change(50),
		r.waiting(time.Second),
		func() error { large = g.measure(); return nil },
	)
	if err != nil {
		return err
	}
	g.compare(small, large)
	return s.readBack("in the end")
}

// growth is what a system takes as orders go on.
type growth struct {
	*system
	slowest time.Duration // of an order
}

// footprint is the most that any machine takes, in bytes.
type footprint struct{ disk, memory int64 }

func (g *growth) measure() (most footprint) {
	for _, m := range g.serving() {
		x := footprint{m.used(), residentOf(m.pid())}
		g.r.log("%s: disk %d bytes, memory %d", m.name, x.disk, x.memory)
		most = footprint{max(most.disk, x.disk), max(most.memory, x.memory)}
	}
	return most
}

// change sends orders to all in turn, and now and then an evacuation that is finished at once.
func (g *growth) change(orders int) func() error {
	const perEvacuation = 25
	return repeat(orders, func(i int) error {
		began := time.Now()
		if err := g.taken(g.next()); err != nil {
			return err
		}
		g.slowest = max(g.slowest, time.Since(began))
		if i%perEvacuation < perEvacuation-1 {
			return nil
		}
		return inOrder(g.zoneOrder("evacuation.begin", "a"), g.zoneOrder("evacuation.finish", "a"))
	})
}

func (g *growth) restart(m *machine, wipe bool) func() error {
	return func() error {
		if m.kill(); wipe {
			m.wipe()
		}
		return inOrder(g.r.waiting(restartDelay), m.again)
	}
}

// hasNewest wants a machine that was started to give back the newest configuration.
func (g *growth) hasNewest(m *machine, what string) func() error {
	return func() error {
		version, body := g.ledger.newest()
		began := time.Now()
		if err := g.readAt(what, m, version, body, commitTimeout); err != nil {
			return err
		}
		g.r.log("%s: it gives back the newest %.2f s after its start", what, time.Since(began).Seconds())
		return nil
	}
}

// compare tells what 490 changes more have made of a footprint.
func (g *growth) compare(small, large footprint) {
	r := g.r
	r.note(
		"disk %d KB after 10 changes, %d after 500; memory %.1f MB, %.1f; slowest order %.2f s",
		small.disk>>10,
		large.disk>>10,
		float64(small.memory)/1e6,
		float64(large.memory)/1e6,
		g.slowest.Seconds(),
	)
	// The log may lag behind what it holds by a fixed amount (256 KB, in record); 500 bodies are over 2 MB.
	const diskSlack, memorySlack = 320 << 10, 8 << 20
	if large.disk > 2*small.disk+diskSlack {
		r.short("the disk grows with the number of changes: %d KB after 10, %d after 500", small.disk>>10, large.disk>>10)
	}
	if large.memory > 2*small.memory+memorySlack {
		r.short(
			"memory grows with the number of changes: %.1f MB after 10, %.1f after 500",
			float64(small.memory)/1e6,
			float64(large.memory)/1e6,
		)
	}
}

// sizes: an order, a restart of all, what was confirmed; then some are lost at once.
func sizes(r *run, size, faults, lost int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	for range 3 {
		if err := s.orders("next", time.Now(), contact); err != nil {
			return err
		}
	}
	if err := s.readBack("at first"); err != nil {
		return err
	}
	all := s.machines()
	began, err := s.restartAll()
	if err != nil {
		return err
	}
	for _, m := range all {
		version, body := s.ledger.newest()
		if err := s.readAt("after a restart of all", m, version, body, commitTimeout); err != nil {
			return err
		}
	}
	r.log("all give back what was confirmed %.2f s after the kill", time.Since(began).Seconds())
	if err := s.orders("restart of all", began, commitTimeout); err != nil {
		return err
	}
	if lost == 0 {
		return nil
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	first := s.draw(size)
	each(all, func(i int, m *machine) {
		if (i-first+size)%size < lost {
			m.gone()
		}
	})
	if err := s.orders(fmt.Sprintf("loss of %d at once", lost), time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack(fmt.Sprintf("after the loss of %d at once", lost))
}

// ordersAtOnce has so many operators send so many orders each, one after the other, the first of them evacuations too.
// It gives how long each order took, the shortest first.
func (s *system) ordersAtOnce(operators, eachSends int) ([]time.Duration, error) {
	var mu sync.Mutex
	var took []time.Duration
	var failed error
	each(make([]struct{}, operators), func(i int, _ struct{}) {
		for n := range eachSends {
			at := time.Now()
			a := s.orderAtOnce(i, n, at)
			mu.Lock()
			took = append(took, time.Since(at))
			if a.orderOutcome() != committed && failed == nil {
				failed = fmt.Errorf("with %d orders under way at once, one is not taken within %v: %v", operators, ack, a)
			}
			stop := failed != nil
			mu.Unlock()
			if stop {
				return
			}
		}
	})
	slices.Sort(took)
	return took, failed
}

// orderAtOnce is the n-th order of an operator.
func (s *system) orderAtOnce(operator, n int, at time.Time) answer {
	const evacuationsOfTen = 2
	if operator == 0 && n%10 < evacuationsOfTen {
		call := []string{"evacuation.begin", "evacuation.finish"}[n%10]
		return s.caller().until(s.r.ctx, at.Add(ack), func(m *machine) answer {
			return s.call(s.r.ctx, m, call, "b", nil, callTimeout)
		})
	}
	version, body := s.next()
	return s.caller().until(s.r.ctx, at.Add(ack), func(m *machine) answer {
		return s.put(s.r.ctx, m, version, body, callTimeout)
	})
}

// eightAtOnce: eight operators, each with its own numbers, and zones besides; in calm, then with one killed.
func eightAtOnce(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	const operators, eachSends = 8, 60
	for _, killed := range []bool{false, true} {
		began := time.Now()
		if killed {
			m := s.machines()[s.draw(3)]
			s.done.Go(func() {
				if m.kill(); r.wait(restartDelay) == nil {
					_ = m.again()
				}
			})
		}
		took, err := s.ordersAtOnce(operators, eachSends)
		if err != nil {
			return err
		}
		p := func(part float64) int64 { return took[min(len(took)-1, int(part*float64(len(took))))].Milliseconds() }
		r.note(
			"killed one %v: an order takes %d ms at p50, %d at p99, %d at most; %.0f orders a second",
			killed,
			p(0.5),
			p(0.99),
			p(1),
			float64(len(took))/time.Since(began).Seconds(),
		)
		if !killed && p(1) >= ack.Milliseconds() {
			r.short("in calm an order takes %d ms", p(1))
		}
		if err := s.readBack("after eight at once"); err != nil {
			return err
		}
	}
	return nil
}

// largeBodies: the whole size's configuration, some hundred KB, on its way to a machine that is new.
func largeBodies(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	const routes = 3800
	within := ack + routes*3*time.Millisecond
	send := func() error {
		version, _ := s.next()
		body := configurationOf(version, "large", routes)
		began := time.Now()
		a := s.caller().until(
			r.ctx,
			began.Add(within),
			func(m *machine) answer { return s.put(r.ctx, m, version, body, 2*callTimeout) },
		)
		if a.orderOutcome() != committed {
			return fmt.Errorf(
				"a configuration of %d routes (%d KB) is not taken within %v: %v",
				routes,
				len(body)>>10,
				within,
				a,
			)
		}
		r.note("%d KB taken after %.2f s", len(body)>>10, time.Since(began).Seconds())
		return nil
	}
	for range 3 {
		if err := send(); err != nil {
			return err
		}
	}
	all := s.machines()
	lost := s.draw(3)
	all[lost].gone()
	if err := send(); err != nil {
		return err
	}
	started := time.Now()
	if _, err := s.add(s.seeds); err != nil {
		return err
	}
	if err := r.until(started, catchUp*11/10); err != nil {
		return err
	}
	all[(lost+1)%3].gone()
	if err := s.readBack("after two losses"); err != nil {
		return err
	}
	if err := send(); err != nil {
		return err
	}
	return s.readBack("in the end")
}
