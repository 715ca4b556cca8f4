package controlplane

import (
	"fmt"
	"time"
)

// inOrder takes the steps of a story one after the other, up to the first that fails.
func inOrder(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// repeat takes a step so many times.
func repeat(times int, step func(n int) error) func() error {
	return func() error {
		for n := range times {
			if err := step(n); err != nil {
				return err
			}
		}
		return nil
	}
}

// Steps that most stories have.

func (r *run) waiting(span time.Duration) func() error { return func() error { return r.wait(span) } }

// ordersAfter wants orders to be taken within a time of now.
func (s *system) ordersAfter(what string, within time.Duration) func() error {
	return func() error { return s.orders(what, time.Now(), within) }
}

func (s *system) readingBack(what string) func() error {
	return func() error { return s.readBack(what) }
}

func (s *system) zoneOrder(call, zone string) func() error {
	return func() error { return s.zone(call, zone) }
}

func (s *system) evacuationIs(c *rider, zone string, want bool, when string) func() error {
	return func() error { return s.evacuatedIs(c, zone, want, when) }
}

// restarting ends all processes at once, and wants orders to be taken after it, and what was confirmed to be there.
func (s *system) restarting(what string) func() error {
	return func() error {
		began, err := s.restartAll()
		if err != nil {
			return err
		}
		if err := s.orders(what, began, commitTimeout); err != nil {
			return err
		}
		return s.readBack("after a " + what)
	}
}

// taken sends one order until it is taken.
func (s *system) taken(version uint32, body []byte) error {
	a := s.caller().until(s.r.ctx, time.Now().Add(commitTimeout), func(m *machine) answer {
		return s.put(s.r.ctx, m, version, body, callTimeout)
	})
	if a.orderOutcome() != committed {
		return fmt.Errorf("version %d is not taken within %v: %v", version, commitTimeout, a)
	}
	return nil
}
