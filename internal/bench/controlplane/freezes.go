package controlplane

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"
)

// majorityFrozen: those that are left must say so, soon, and claim nothing.
func majorityFrozen(r *run, size, faults int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	if err := s.readBack("before"); err != nil {
		return err
	}
	all := s.machines()
	held, body := s.ledger.newest()
	const otherBytes, heldAgain, lower, reads = "an order under the number that is held, with other bytes",
		"the order that is held, sent again", "a lower order", "a read"
	frozen := all[:size/2+1]
	left := all[size/2+1:]
	for _, m := range frozen {
		m.freeze()
	}
	began := time.Now()
	var mu sync.Mutex
	var early, after []time.Duration
	before := 0 // answers that nothing can make wrong, while a majority may still have been in touch
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		m := left[i%len(left)]
		version, next := s.next()
		type asked struct {
			what string
			do   func() answer
		}
		calls := []asked{
			{"an order", func() answer { return s.put(r.ctx, m, version, next, contact+callTimeout) }},
			{reads, func() answer { return s.read(r.ctx, m, contact+callTimeout) }},
			{otherBytes, func() answer {
				return s.put(r.ctx, m, held, configuration(held, fmt.Sprint("other-", i)), contact+callTimeout)
			}},
			{heldAgain, func() answer { return s.put(r.ctx, m, held, body, contact+callTimeout) }},
			{lower, func() answer { return s.put(r.ctx, m, held-1, configuration(held-1, "low"), contact+callTimeout) }},
			{"an evacuation", func() answer { return s.call(r.ctx, m, "evacuation.begin", "a", nil, contact+callTimeout) }},
			{"a beat that says draining", func() answer {
				return s.call(
					r.ctx,
					m,
					"instances.heartbeat",
					"i-1",
					[]byte(
						fmt.Sprintf(
							`{"address":"10.0.0.1:8080","descriptor":{"service":"service","generation":"v1","zone":"a","capacity":4},`+
								`"observed":{"state":"draining","callSeq":%d,"coldLeftS":0}}`,
							i+1,
						),
					),
					contact+callTimeout,
				)
			}},
		}
		at := time.Since(began)
		each(calls, func(_ int, c asked) {
			a := c.do()
			mu.Lock()
			defer mu.Unlock()
			switch {
			// Until the silence of the others can be known for what it is: what is true for good may still be said.
			case at < contact && (a.orderOutcome() == committed && (c.what == reads || c.what == heldAgain || c.what == lower) ||
				a.orderOutcome() == refused && c.what == otherBytes):
				before++
			case a.orderOutcome() != unknown:
				r.short("with %d of %d frozen for %.1f s, %s: %v", len(frozen), size, at.Seconds(), c.what, a)
			case a.status != 503 && (at >= contact || a.status != 504): // 504: nothing is known of it
				r.short("with %d of %d frozen for %.1f s, %s: %v, not 503", len(frozen), size, at.Seconds(), c.what, a)
			}
			if at < contact {
				early = append(early, a.took)
			} else {
				after = append(after, a.took)
			}
		})
		if at > contact && isCaughtUp(m) {
			r.short(
				"with %d of %d frozen for %.1f s, %s hands out what it has as all there is",
				len(frozen),
				size,
				at.Seconds(),
				m.name,
			)
		}
		if err := r.wait(400 * time.Millisecond); err != nil {
			return err
		}
	}
	ms := func(all []time.Duration, part float64) int64 {
		slices.Sort(all)
		return all[min(len(all)-1, int(part*float64(len(all))))].Milliseconds()
	}
	r.note(
		"503 after %d ms at p50 and %d at most; in the first %v %d and %d",
		ms(after, 0.5),
		ms(after, 1),
		contact,
		ms(early, 0.5),
		ms(early, 1),
	)
	if before > 0 {
		r.note("%d reads and repetitions answered in the first %v", before, contact)
	}
	if most := ms(after, 1); most >= callTimeout.Milliseconds() {
		r.short("once out of touch it takes %d ms to say so: a caller hears silence", most)
	}
	for _, m := range frozen {
		m.thaw()
	}
	if err := s.orders("the thaw", time.Now(), 2*contact); err != nil {
		return err
	}
	return s.readBack("after the thaw")
}

// woken: one is frozen while questions lie in its sockets, and others go on.
func woken(r *run, span time.Duration) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	sleeper, awake := all[s.draw(3)], []*machine(nil)
	for _, m := range all {
		if m != sleeper {
			awake = append(awake, m)
		}
	}
	elsewhere := func(what string, once func(m *machine) answer) error { // as a caller that met silence goes on
		at := 0
		for end := time.Now().Add(2*contact + span); ; at++ {
			a := once(awake[at%2])
			if a.orderOutcome() == committed {
				return nil
			}
			if a.orderOutcome() == refused || time.Now().After(end) {
				return fmt.Errorf("%s while one is frozen: %v", what, a)
			}
			if err := r.wait(100 * time.Millisecond); err != nil {
				return err
			}
		}
	}
	sleeper.freeze()
	began := time.Now()
	// Some callers hang up after their second, others would still be there: both kinds lie in its sockets.
	old, oldBody := s.next()
	type question struct {
		what string
		do   func(patience time.Duration) answer
	}
	questions := []question{
		{"order", func(p time.Duration) answer { return s.put(r.ctx, sleeper, old, oldBody, p) }},
		{"read", func(p time.Duration) answer { return s.read(r.ctx, sleeper, p) }},
		{"begin", func(p time.Duration) answer { return s.call(r.ctx, sleeper, "evacuation.begin", "a", nil, p) }},
		{"finish", func(p time.Duration) answer { return s.call(r.ctx, sleeper, "evacuation.finish", "b", nil, p) }},
	}
	var mu sync.Mutex
	late := map[string]answer{}
	var hung sync.WaitGroup
	for _, q := range questions {
		hung.Go(func() { q.do(callTimeout) })
		hung.Go(func() {
			a := q.do(span + 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			late[q.what] = a
		})
	}
	if err := r.wait(200 * time.Millisecond); err != nil {
		return err
	}
	if err := elsewhere(
		"begin",
		func(m *machine) answer { return s.call(r.ctx, m, "evacuation.begin", "a", nil, callTimeout) },
	); err != nil {
		return err
	}
	if err := elsewhere(
		"begin of b",
		func(m *machine) answer { return s.call(r.ctx, m, "evacuation.begin", "b", nil, callTimeout) },
	); err != nil {
		return err
	}
	for range 3 {
		version, body := s.next()
		if err := elsewhere(
			"an order",
			func(m *machine) answer { return s.put(r.ctx, m, version, body, callTimeout) },
		); err != nil {
			return err
		}
	}
	if err := elsewhere(
		"finish",
		func(m *machine) answer { return s.call(r.ctx, m, "evacuation.finish", "a", nil, callTimeout) },
	); err != nil {
		return err
	}
	if err := r.until(began, span); err != nil {
		return err
	}
	held, body := s.ledger.newest()
	sleeper.thaw()
	thawed := time.Now()
	// At once, and for a while: nothing old is read there, whoever asks (the ledger checks each).
	serves := false
	for time.Since(thawed) < 3*time.Second {
		if a := s.read(r.ctx, sleeper, callTimeout); a.orderOutcome() == committed && !serves {
			serves = true
			r.note("it reads again %.2f s after it woke", time.Since(thawed).Seconds())
		}
		if err := r.wait(30 * time.Millisecond); err != nil {
			return err
		}
	}
	hung.Wait()
	for _, q := range questions {
		r.log("the old %s was answered in the end: %v", q.what, late[q.what])
	}
	if a := late["read"]; a.orderOutcome() == committed {
		if v, err := versionOf(a.body); err != nil || v < held {
			r.short("an old read was answered with version %d while %d was confirmed", v, held)
		}
	}
	if a := late["order"]; a.orderOutcome() == refused || a.orderOutcome() == odd {
		r.short("an old order was refused: %v", a)
	}
	if err := s.readBack("after it woke"); err != nil {
		return err
	}
	if v, now := s.ledger.newest(); v != held || !bytes.Equal(now, body) {
		r.short("an old order took effect: %d in place of %d", v, held)
	}
	if err := s.evacuatedIs(c, "a", false, "begun and finished while one slept with a begin in its sockets,"); err != nil {
		r.short("%v", err)
	}
	if err := s.evacuatedIs(c, "b", true, "begun while one slept with an old finish in its sockets,"); err != nil {
		r.short("%v", err)
	}
	if err := s.orders("all that", time.Now(), contact); err != nil {
		return err
	}
	return s.readBack("in the end")
}
