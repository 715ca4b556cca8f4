package controlplane

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// same number, two bodies, in turn.
func sameInTurn(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	version, _ := s.next()
	x, y := configuration(version, "x"), configuration(version, "y")
	all := s.machines()
	if err := expect(
		"the first body",
		all[0],
		s.put(r.ctx, all[s.draw(3)], version, x, callTimeout),
		committed,
	); err != nil {
		return err
	}
	told := map[string]bool{}
	other := func(when string) {
		var at []string
		for _, m := range all {
			a := s.put(r.ctx, m, version, y, callTimeout+contact)
			if a.orderOutcome() == committed {
				at = append(at, m.name)
			}
			told[fmt.Sprint(a.status)] = true
		}
		if len(at) > 0 {
			r.short("%s the second body is confirmed at %s", when, strings.Join(at, ", "))
		}
		first := s.read(r.ctx, all[s.draw(3)], callTimeout)
		if first.orderOutcome() == committed && bytes.Equal(first.body, y) {
			r.short("%s the second body came into force", when)
		}
	}
	repeat := func(when string) {
		for _, m := range all {
			if a := s.put(r.ctx, m, version, x, callTimeout); a.orderOutcome() != committed {
				r.short("%s the first body, sent again to %s: %v", when, m.name, a)
			}
		}
	}
	other("at first")
	repeat("at first")
	if err := s.readBack("after the second body"); err != nil {
		return err
	}
	began, err := s.restartAll()
	if err != nil {
		return err
	}
	// Its repetition is the first order that the new lives see, so that none of a later one settles it.
	a := s.caller().until(
		r.ctx,
		began.Add(commitTimeout),
		func(m *machine) answer { return s.put(r.ctx, m, version, x, callTimeout) },
	)
	if a.orderOutcome() != committed {
		return fmt.Errorf("after a restart of all the first body is not confirmed again: %v", a)
	}
	r.measure("restart of all", time.Since(began).Seconds())
	if err := s.readBack("after a restart of all"); err != nil {
		return err
	}
	other("after a restart of all")
	repeat("after a restart of all")
	if err := s.orders("restart of all, next", time.Now(), contact); err != nil {
		return err
	}
	repeat("after a higher version")
	r.note("the second body meets %s", strings.Join(slices.Sorted(maps.Keys(told)), ", "))
	held, body := s.ledger.newest()
	for i, m := range all {
		low := version - 1 - uint32(i)%version
		if a := s.put(r.ctx, m, low, configuration(low, "never sent before"), callTimeout); a.orderOutcome() != committed {
			r.short("a lower version is not confirmed as held at %s: %v", m.name, a)
		}
	}
	for _, m := range all { // under the old number, below what is held: whatever it is told, nothing may come of it
		r.log("the second body, after a higher version: %v", s.put(r.ctx, m, version, y, callTimeout))
	}
	for _, m := range all {
		if a := s.read(r.ctx, m, callTimeout); a.orderOutcome() != committed || !bytes.Equal(a.body, body) {
			r.short("after lower versions %s does not give back %d: %v", m.name, held, a)
		}
	}
	return nil
}

// same number, many bodies at once.
func sameAtOnce(r *run, size, faults, kill int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	const bodies, rounds = 40, 4
	for round := range rounds {
		version, _ := s.next()
		all := make([][]byte, bodies)
		for i := range all {
			all[i] = configuration(version, fmt.Sprintf("body-%02d", i))
		}
		var mu sync.Mutex
		confirmed := map[int]int{}
		refusals := 0
		began := time.Now()
		if kill > 0 {
			first := s.draw(size)
			s.done.Go(func() {
				if r.wait(time.Duration(5+s.draw(25))*time.Millisecond) != nil {
					return
				}
				for i := range kill {
					s.machines()[(first+i)%size].signal(syscall.SIGKILL)
				}
				for i := range kill {
					m := s.machines()[(first+i)%size]
					if m.kill(); r.wait(restartDelay/time.Duration(kill)) == nil {
						_ = m.again()
					}
				}
			})
		}
		each(all, func(i int, body []byte) {
			a := s.caller().until(
				r.ctx,
				began.Add(ack),
				func(m *machine) answer { return s.put(r.ctx, m, version, body, callTimeout) },
			)
			mu.Lock()
			defer mu.Unlock()
			switch a.orderOutcome() {
			case committed:
				confirmed[i]++
			case refused, odd:
				refusals++
			case unknown:
			}
		})
		if len(confirmed) != 1 {
			return fmt.Errorf(
				"round %d: %d of %d bodies under one number are confirmed, %d refused",
				round+1,
				len(confirmed),
				bodies,
				refusals,
			)
		}
		r.log(
			"round %d: one of %d is confirmed, %d are refused, after %.2f s",
			round+1,
			bodies,
			refusals,
			time.Since(began).Seconds(),
		)
		r.measure(fmt.Sprintf("race %d", round+1), time.Since(began).Seconds())
		if kill > 0 { // they are back by then
			if err := r.until(began, restartDelay+contact); err != nil {
				return err
			}
		}
		var won []byte
		for i := range confirmed {
			won = all[i]
		}
		if err := s.readBack("after the race"); err != nil {
			return err
		}
		for _, m := range s.serving() {
			if err := expect(
				"the confirmed body, sent again",
				m,
				s.put(r.ctx, m, version, won, callTimeout),
				committed,
			); err != nil {
				return err
			}
		}
		each(all, func(i int, body []byte) {
			if bytes.Equal(body, won) {
				return
			}
			if m := s.list()[i%size]; s.put(r.ctx, m, version, body, callTimeout+contact).orderOutcome() == committed {
				r.short("round %d: a body that lost is confirmed when it is sent again", round+1)
			}
		})
		if err := s.readBack("after the losers came again"); err != nil {
			return err
		}
	}
	return nil
}

type lostHow int

const (
	answerLost  lostHow = iota // it was given, and never arrives
	hungUp                     // the caller's connection breaks at once, before there could be an answer
	firstKilled                // the controller ends right after it
)

// sentAgain: an order whose answer is lost comes again elsewhere, up to the end of ackS, and counts once.
func sentAgain(r *run, gap time.Duration, how lostHow) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	first, second := all[s.draw(3)], (*machine)(nil)
	for second == nil || second == first {
		second = all[s.draw(3)]
	}
	send := func(call, of string, body []byte) {
		if how == hungUp {
			s.drop(first, call, of, body)
		} else {
			s.call(r.ctx, first, call, of, body, callTimeout)
		}
	}
	version, body := s.next()
	began := time.Now()
	send("evacuation.begin", "a", nil)
	send("evacuation.begin", "c", nil)
	s.ledger.send(version, body) // its answer is thrown away, so that nothing is known of it
	send("config.replace", "", body)
	if how == firstKilled {
		first.kill()
		if err := r.wait(restartDelay); err != nil {
			return err
		}
		if err := first.again(); err != nil {
			return err
		}
	}
	if err := r.until(began, gap); err != nil {
		return err
	}
	for _, again := range []struct {
		what string
		a    answer
	}{{"begin, sent again", s.call(r.ctx, second, "evacuation.begin", "a", nil, callTimeout)},
		{"begin of another zone, sent again", s.call(r.ctx, second, "evacuation.begin", "c", nil, callTimeout)},
		{"the configuration, sent again", s.put(r.ctx, second, version, body, callTimeout)}} {
		if err := expect(again.what, second, again.a, committed); err != nil {
			return err
		}
	}
	if err := s.evacuatedIs(c, "a", true, "begun and begun again,"); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "a"); err != nil {
		return err
	}
	if err := s.evacuatedIs(
		c,
		"a",
		false,
		fmt.Sprintf("begun, begun again after %v and finished once,", gap),
	); err != nil {
		r.short("%v", err)
	}
	if err := s.evacuatedIs(c, "c", true, "begun again and not finished,"); err != nil {
		r.short("%v", err)
	}
	// The end of an evacuation may be sent again too, and a new one begins after it.
	began = time.Now()
	send("evacuation.finish", "c", nil)
	if err := r.until(began, gap); err != nil {
		return err
	}
	if err := expect(
		"finish, sent again",
		second,
		s.call(r.ctx, second, "evacuation.finish", "c", nil, callTimeout),
		committed,
	); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "c", false, "finished and finished again,"); err != nil {
		r.short("%v", err)
	}
	if err := s.zone("evacuation.begin", "c"); err != nil {
		return err
	}
	return s.evacuatedIs(c, "c", true, "begun anew after its end,")
}

// twoOperators: what comes of one zone that two empty at overlapping times is told, not judged: orders carry no name.
func twoOperators(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	for i := range 2 {
		if err := s.zone("evacuation.begin", "b"); err != nil {
			return err
		}
		if i == 0 {
			if err := r.wait(ack + 500*time.Millisecond); err != nil { // no repetition comes so late
				return err
			}
		}
	}
	if err := s.zone("evacuation.finish", "b"); err != nil {
		return err
	}
	if s.evacuatedIs(c, "b", true, "") == nil {
		r.note(
			"begun twice, %.1f s apart, and finished once: still evacuated (counted)",
			(ack + 500*time.Millisecond).Seconds(),
		)
	} else {
		r.note(
			"begun twice, %.1f s apart, and finished once: no longer evacuated (a plain state)",
			(ack + 500*time.Millisecond).Seconds(),
		)
	}
	return nil
}
