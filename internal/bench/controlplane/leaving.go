package controlplane

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// leaving: a controller that has just confirmed an order ends in order, and its machine goes with its disk.
func leaving(r *run, slept bool) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	i := s.draw(3)
	leaver, sleeper, other := all[i], all[(i+1)%3], all[(i+2)%3]
	if slept {
		sleeper.freeze()
	}
	version, body := s.next()
	began := time.Now()
	var a answer
	for { // at this one alone, until it has confirmed
		if a = s.put(r.ctx, leaver, version, body, callTimeout); a.orderOutcome() == committed {
			break
		}
		if time.Since(began) > commitTimeout {
			return fmt.Errorf("no order is taken at %s: %v", leaver.name, a)
		}
	}
	if a := s.call(r.ctx, leaver, "evacuation.begin", "a", nil, callTimeout); a.orderOutcome() != committed && !slept {
		return fmt.Errorf("begin at %s: %v", leaver.name, a)
	}
	if slept {
		sleeper.thaw()
	}
	orders := s.stream() // none of them may wait for the one that leaves
	took, err := leaver.term()
	if err != nil {
		return err
	}
	if err := orders.end(r, "it leaves", contact); err != nil {
		return err
	}
	left := time.Now()
	r.note("it ended %.2f s after SIGTERM", took.Seconds())
	leaver.gone()
	if err := s.orders("it left", left, commitTimeout); err != nil {
		return err
	}
	if err := s.readBack("after it left"); err != nil {
		return err
	}
	started := time.Now()
	if _, err := s.add(s.seeds); err != nil {
		return err
	}
	if err := r.until(started, catchUp*11/10); err != nil {
		return err
	}
	other.gone()
	if err := s.orders("loss of another", time.Now(), commitTimeout); err != nil {
		return err
	}
	if err := s.readBack("after the loss of another"); err != nil {
		return err
	}
	if slept {
		return nil
	}
	return s.evacuatedIs(c, "a", true, "begun at one that left,")
}

// stream is an operator that sends one order after the other, and knows the longest time in which none was taken.
type stream struct {
	stop context.CancelFunc
	done sync.WaitGroup
	gap  time.Duration
	sent int
	err  error
}

const streamEvery = 100 * time.Millisecond

func (s *system) stream() *stream {
	ctx, stop := context.WithCancel(s.ctx)
	x := &stream{stop: stop}
	x.done.Go(func() {
		for last := time.Now(); ctx.Err() == nil; {
			version, body := s.next()
			a := s.caller().until(
				ctx,
				time.Now().Add(2*commitTimeout),
				func(m *machine) answer { return s.put(ctx, m, version, body, callTimeout) },
			)
			switch {
			case ctx.Err() != nil:
				return
			case a.orderOutcome() != committed:
				x.err = fmt.Errorf("version %d is not taken within %v: %v", version, 2*commitTimeout, a)
				return
			}
			x.gap, last = max(x.gap, time.Since(last)), time.Now()
			x.sent++
			select {
			case <-ctx.Done():
			case <-time.After(streamEvery):
			}
		}
	})
	return x
}

// end gives what went wrong, if orders were not taken for longer than may be.
func (x *stream) end(r *run, what string, most time.Duration) error {
	x.stop()
	x.done.Wait()
	r.measure("longest without, "+what, x.gap.Seconds())
	switch {
	case x.err != nil:
		return x.err
	case x.gap > most:
		return fmt.Errorf("%s: no order was taken for %.1f s", what, x.gap.Seconds())
	}
	return nil
}

// rolling: each leaves and comes back with its disk, while orders go on. Who leaves must not take the others along,
// and who comes back must count again.
func rolling(r *run, apart time.Duration) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "a"); err != nil {
		return err
	}
	orders := s.stream()
	slowest := time.Duration(0)
	for _, m := range s.machines() {
		took, err := m.term()
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
		if err := r.wait(restartDelay); err != nil {
			return err
		}
		if err := m.again(); err != nil {
			return err
		}
		if err := r.wait(apart); err != nil {
			return err
		}
	}
	r.note("each ended within %.2f s of SIGTERM", slowest.Seconds())
	if err := orders.end(r, "three restarts", contact); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("after three restarts"); err != nil {
		return err
	}
	s.machines()[s.draw(3)].gone()
	if err := s.orders("then a loss", time.Now(), commitTimeout); err != nil {
		return err
	}
	if err := s.readBack("after a loss that came after three restarts"); err != nil {
		return err
	}
	return s.evacuatedIs(c, "a", true, "begun before three restarts,")
}

// leaveAtOnce: all are told to leave at one moment, so that nobody is there to take anything over.
func leaveAtOnce(r *run, size, faults int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "a"); err != nil {
		return err
	}
	all := s.machines()
	began := time.Now()
	failed := make([]error, size)
	each(all, func(i int, m *machine) { _, failed[i] = m.term() })
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	r.note("all ended %.2f s after SIGTERM", time.Since(began).Seconds())
	if err := r.wait(restartDelay); err != nil {
		return err
	}
	back := time.Now()
	for _, m := range all {
		if err := m.again(); err != nil {
			return err
		}
	}
	for _, m := range all {
		version, body := s.ledger.newest()
		if err := s.readAt("after all had left", m, version, body, commitTimeout); err != nil {
			return err
		}
	}
	if err := s.orders("all came back", back, commitTimeout); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "a", true, "begun before all left,"); err != nil {
		return err
	}
	if size < 3 {
		return nil
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	all[s.draw(size)].gone()
	if err := s.orders("then a loss", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after a loss that came after all had left")
}

// leaveTwo: of two machines one leaves for good; nothing may be lost at once there, but leaving is no loss.
func leaveTwo(r *run) error {
	s, err := r.up(2, 0)
	if err != nil {
		return err
	}
	if err := s.readBack("at first"); err != nil {
		return err
	}
	m := s.machines()[s.draw(2)]
	left := time.Now()
	if _, err := m.term(); err != nil {
		return err
	}
	m.gone()
	if err := s.orders("one of two left", left, commitTimeout); err != nil {
		return err
	}
	return s.readBack("after one of two left")
}

// newFirst: each machine is replaced as an operator plans it: a new one comes, and once it had its time the old one
// leaves for good. Orders go on meanwhile.
func newFirst(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "a"); err != nil {
		return err
	}
	orders := s.stream()
	old := s.machines()
	for i, m := range old {
		started := time.Now()
		if _, err := s.add(alive(s.machines())); err != nil {
			return err
		}
		if err := r.until(started, catchUp*11/10); err != nil {
			return err
		}
		took, err := m.term()
		if err != nil {
			return err
		}
		r.note("%d left within %.2f s", i+1, took.Seconds())
		m.gone()
		if err := r.wait(time.Second); err != nil {
			return err
		}
	}
	if err := orders.end(r, "three replacements", contact); err != nil {
		return err
	}
	if err := s.readBack("after three replacements"); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "a", true, "begun before three replacements,"); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	now := s.serving()
	now[s.draw(len(now))].gone()
	if err := s.orders("then a loss", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after a loss that came after three replacements")
}
