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

// sameNumber is two bodies under one number, of which the first one is confirmed.
type sameNumber struct {
	*system
	version uint32
	x, y    []byte
	told    map[string]bool // statuses that the second one met
}

// same number, two bodies, in turn.
func sameInTurn(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	version, _ := s.next()
	n := &sameNumber{s, version, configuration(version, "x"), configuration(version, "y"), map[string]bool{}}
	all := s.machines()
	first := s.put(r.ctx, all[s.draw(3)], version, n.x, callTimeout)
	if err := expect("the first body", all[0], first, committed); err != nil {
		return err
	}
	n.sendOther("at first")
	n.sendFirstAgain("at first")
	if err := s.readBack("after the second body"); err != nil {
		return err
	}
	began, err := s.restartAll()
	if err != nil {
		return err
	}
	// Its repetition is the first order that the new lives see, so that none of a later one settles it.
	a := s.caller().until(r.ctx, began.Add(commitTimeout), func(m *machine) answer {
		return s.put(r.ctx, m, version, n.x, callTimeout)
	})
	if a.orderOutcome() != committed {
		return fmt.Errorf("after a restart of all the first body is not confirmed again: %v", a)
	}
	r.measure("restart of all", time.Since(began).Seconds())
	if err := s.readBack("after a restart of all"); err != nil {
		return err
	}
	n.sendOther("after a restart of all")
	n.sendFirstAgain("after a restart of all")
	if err := s.orders("restart of all, next", time.Now(), contact); err != nil {
		return err
	}
	n.sendFirstAgain("after a higher version")
	r.note("the second body meets %s", strings.Join(slices.Sorted(maps.Keys(n.told)), ", "))
	n.sendLower()
	return nil
}

// sendOther sends the second body to all: none may confirm it.
func (n *sameNumber) sendOther(when string) {
	var at []string
	all := n.machines()
	for _, m := range all {
		a := n.put(n.r.ctx, m, n.version, n.y, callTimeout+contact)
		if a.orderOutcome() == committed {
			at = append(at, m.name)
		}
		n.told[fmt.Sprint(a.status)] = true
	}
	if len(at) > 0 {
		n.r.short("%s the second body is confirmed at %s", when, strings.Join(at, ", "))
	}
	first := n.read(n.r.ctx, all[n.draw(3)], callTimeout)
	if first.orderOutcome() == committed && bytes.Equal(first.body, n.y) {
		n.r.short("%s the second body came into force", when)
	}
}

// sendFirstAgain sends the first body to all: each confirms it.
func (n *sameNumber) sendFirstAgain(when string) {
	for _, m := range n.machines() {
		if a := n.put(n.r.ctx, m, n.version, n.x, callTimeout); a.orderOutcome() != committed {
			n.r.short("%s the first body, sent again to %s: %v", when, m.name, a)
		}
	}
}

// sendLower sends lower versions to all: each is confirmed, and changes nothing.
func (n *sameNumber) sendLower() {
	r, all := n.r, n.machines()
	held, body := n.ledger.newest()
	for i, m := range all {
		low := n.version - 1 - uint32(i)%n.version
		if a := n.put(r.ctx, m, low, configuration(low, "never sent before"), callTimeout); a.orderOutcome() != committed {
			r.short("a lower version is not confirmed as held at %s: %v", m.name, a)
		}
	}
	for _, m := range all { // under the old number, below what is held: whatever it is told, nothing may come of it
		r.log("the second body, after a higher version: %v", n.put(r.ctx, m, n.version, n.y, callTimeout))
	}
	for _, m := range all {
		if a := n.read(r.ctx, m, callTimeout); a.orderOutcome() != committed || !bytes.Equal(a.body, body) {
			r.short("after lower versions %s does not give back %d: %v", m.name, held, a)
		}
	}
}

// same number, many bodies at once.
func sameAtOnce(r *run, size, faults, kill int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	const rounds = 4
	return repeat(rounds, func(n int) error { return s.race(n+1, kill) })()
}

// race sends many bodies under one number at once: one is confirmed, everywhere and for good.
func (s *system) race(round, kill int) error {
	const bodies = 40
	r, size := s.r, len(s.machines())
	version, _ := s.next()
	all := make([][]byte, bodies)
	for i := range all {
		all[i] = configuration(version, fmt.Sprintf("body-%02d", i))
	}
	began := time.Now()
	if kill > 0 {
		first := s.draw(size)
		s.done.Go(func() { s.killAmid(first, kill) })
	}
	won, err := s.winner(version, all, round, began)
	if err != nil {
		return err
	}
	if kill > 0 { // they are back by then
		if err := r.until(began, restartDelay+contact); err != nil {
			return err
		}
	}
	return inOrder(
		s.readingBack("after the race"),
		func() error { return s.confirmedByAll(version, won) },
		func() error {
			each(all, func(i int, body []byte) {
				if bytes.Equal(body, won) {
					return
				}
				if m := s.list()[i%size]; s.put(r.ctx, m, version, body, callTimeout+contact).orderOutcome() == committed {
					r.short("round %d: a body that lost is confirmed when it is sent again", round)
				}
			})
			return s.readBack("after the losers came again")
		},
	)
}

// winner sends all bodies at once, and gives the one that is confirmed.
func (s *system) winner(version uint32, all [][]byte, round int, began time.Time) (won []byte, err error) {
	var mu sync.Mutex
	confirmed, refusals := 0, 0
	each(all, func(_ int, body []byte) {
		a := s.caller().until(s.r.ctx, began.Add(ack), func(m *machine) answer {
			return s.put(s.r.ctx, m, version, body, callTimeout)
		})
		mu.Lock()
		defer mu.Unlock()
		switch a.orderOutcome() {
		case committed:
			confirmed++
			won = body
		case refused, odd:
			refusals++
		case unknown:
		}
	})
	took := time.Since(began).Seconds()
	if confirmed != 1 {
		return nil, fmt.Errorf("round %d: %d of %d bodies under one number are confirmed, %d refused", round, confirmed,
			len(all), refusals)
	}
	s.r.log("round %d: one of %d is confirmed, %d are refused, after %.2f s", round, len(all), refusals, took)
	s.r.measure(fmt.Sprintf("race %d", round), took)
	return won, nil
}

// confirmedByAll wants a body that was confirmed to be so again by all that serve.
func (s *system) confirmedByAll(version uint32, body []byte) error {
	for _, m := range s.serving() {
		a := s.put(s.r.ctx, m, version, body, callTimeout)
		if err := expect("the confirmed body, sent again", m, a, committed); err != nil {
			return err
		}
	}
	return nil
}

// killAmid kills so many processes at one moment soon, and starts them again one after the other.
func (s *system) killAmid(first, kill int) {
	if s.r.wait(time.Duration(5+s.draw(25))*time.Millisecond) != nil {
		return
	}
	all := s.machines()
	for i := range kill {
		all[(first+i)%len(all)].signal(syscall.SIGKILL)
	}
	for i := range kill {
		m := all[(first+i)%len(all)]
		if m.kill(); s.r.wait(restartDelay/time.Duration(kill)) == nil {
			_ = m.again()
		}
	}
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
	lose := func(call, of string, body []byte) {
		if how == hungUp {
			s.drop(first, call, of, body)
		} else {
			s.call(r.ctx, first, call, of, body, callTimeout)
		}
	}
	again := func(what, call, of string) func() error {
		return func() error {
			return expect(what, second, s.call(r.ctx, second, call, of, nil, callTimeout), committed)
		}
	}
	seen := func(zone string, want bool, when string) func() error { // what is not so is told, and the story goes on
		return func() error {
			if err := s.evacuatedIs(c, zone, want, when); err != nil {
				r.short("%v", err)
			}
			return nil
		}
	}
	version, body := s.next()
	began := time.Now()
	lose("evacuation.begin", "a", nil)
	lose("evacuation.begin", "c", nil)
	s.ledger.send(version, body) // its answer is thrown away, so that nothing is known of it
	lose("config.replace", "", body)
	return inOrder(
		func() error {
			if how != firstKilled {
				return nil
			}
			first.kill()
			return inOrder(r.waiting(restartDelay), first.again)
		},
		func() error { return r.until(began, gap) },
		again("begin, sent again", "evacuation.begin", "a"),
		again("begin of another zone, sent again", "evacuation.begin", "c"),
		func() error {
			a := s.put(r.ctx, second, version, body, callTimeout)
			return expect("the configuration, sent again", second, a, committed)
		},
		s.evacuationIs(c, "a", true, "begun and begun again,"),
		s.zoneOrder("evacuation.finish", "a"),
		seen("a", false, fmt.Sprintf("begun, begun again after %v and finished once,", gap)),
		seen("c", true, "begun again and not finished,"),
		func() error { // the end of an evacuation may be sent again too, and a new one begins after it
			began = time.Now()
			lose("evacuation.finish", "c", nil)
			return r.until(began, gap)
		},
		again("finish, sent again", "evacuation.finish", "c"),
		seen("c", false, "finished and finished again,"),
		s.zoneOrder("evacuation.begin", "c"),
		s.evacuationIs(c, "c", true, "begun anew after its end,"),
	)
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
