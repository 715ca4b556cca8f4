package core

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const takenWithin = 8 * time.Second // after a trouble that the faults to be borne cover

// stories are all plays, in the order of the table.
func stories() (all []play) {
	number, last := 0, ""
	add := func(story, variant string, seconds int, run func(r *run) error) {
		if story != last {
			number, last = number+1, story
		}
		all = append(all, play{story: story, variant: variant, number: number, span: time.Duration(seconds) * time.Second, run: run})
	}
	beyond := func(story, variant string, seconds int, run func(r *run) error) {
		add(story, variant, seconds, run)
		all[len(all)-1].seen = true
	}
	add("same-number", "in turn", 10, sameInTurn)
	add("same-number-race", "3 calm", 8, func(r *run) error { return sameAtOnce(r, 3, 1, false) })
	add("same-number-race", "5 calm", 8, func(r *run) error { return sameAtOnce(r, 5, 2, false) })
	add("same-number-race", "3, one killed amid", 12, func(r *run) error { return sameAtOnce(r, 3, 1, true) })
	for _, gap := range []time.Duration{600 * time.Millisecond, 2600 * time.Millisecond, 4400 * time.Millisecond} {
		add("sent-again", fmt.Sprintf("after %v", gap), 12, func(r *run) error { return sentAgain(r, gap, false) })
	}
	add("sent-again", "cut, after 2.6s", 12, func(r *run) error { return sentAgain(r, 2600*time.Millisecond, true) })
	beyond("sent-again", "two operators, one zone", 8, twoOperators)
	for i := range 3 {
		for _, at := range []int{50, 250, 600} {
			for _, how := range []string{"kept", "wiped", "gone"} {
				add("founding", fmt.Sprintf("seed %d dies at %.2f s, disk %s", i+1, float64(at)/1000, how), 12,
					func(r *run) error { return founding(r, i, time.Duration(at)*time.Millisecond, how) })
			}
		}
	}
	for _, at := range []int{20, 100, 300, 800} {
		add("all-killed-first", fmt.Sprintf("at %.2f s", float64(at)/1000), 14, func(r *run) error {
			return allKilled(r, time.Duration(at)*time.Millisecond, 0)
		})
	}
	add("all-killed-first", "at 0.10 s, starts spread over 0.3 s", 14, func(r *run) error {
		return allKilled(r, 100*time.Millisecond, startWithin)
	})
	add("majority-frozen", "2 of 3", 34, func(r *run) error { return majorityFrozen(r, 3, 1) })
	add("majority-frozen", "3 of 5", 34, func(r *run) error { return majorityFrozen(r, 5, 2) })
	add("woken", "frozen 2 s", 14, func(r *run) error { return woken(r, 2*time.Second) })
	add("woken", "frozen 7 s", 20, func(r *run) error { return woken(r, 7*time.Second) })
	for _, how := range []string{"killed", "silent"} {
		beyond("second-loss", "0.9 of catchUpS, "+how, 22, func(r *run) error { return secondLoss(r, 0.9, how == "silent") })
		add("second-loss", "1.1 of catchUpS, "+how, 22, func(r *run) error { return secondLoss(r, 1.1, how == "silent") })
	}
	add("six-replaced", "killed", 50, func(r *run) error { return sixReplaced(r, false) })
	add("six-replaced", "silent", 70, func(r *run) error { return sixReplaced(r, true) })
	add("leaving", "calm", 20, func(r *run) error { return leaving(r, false) })
	beyond("leaving", "another had slept through the order", 20, func(r *run) error { return leaving(r, true) })
	add("changes", "500", 50, changes)
	add("wiped", "each in turn, under its name", 25, wiped)
	for _, x := range []struct{ size, faults int }{{1, 0}, {2, 0}, {5, 2}, {7, 2}} {
		add("sizes", fmt.Sprint(x.size), 8, func(r *run) error { return sizes(r, x.size, x.faults, 0) })
	}
	add("sizes", "5, two lost at once", 8, func(r *run) error { return sizes(r, 5, 2, 2) })
	add("sizes", "7, two lost at once", 8, func(r *run) error { return sizes(r, 7, 2, 2) })
	add("yesterday", "a disk of 40 changes ago", 16, yesterday)
	return all
}

// expect is for single calls: the fate that it must have.
func expect(what string, m *machine, a answer, want ...fate) error {
	if slices.Contains(want, a.fate()) {
		return nil
	}
	return fmt.Errorf("%s at %s: %v", what, m.name, a)
}

// same number, two bodies, in turn.
func sameInTurn(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	version, _ := s.next()
	x, y := configuration(version, "x"), configuration(version, "y")
	all := s.machines()
	if err := expect("the first body", all[0], s.put(r.ctx, all[s.draw(3)], version, x, callFor), taken); err != nil {
		return err
	}
	other := func(when string) {
		for _, m := range all {
			a := s.put(r.ctx, m, version, y, callFor+contact)
			if a.fate() == taken {
				r.short("%s the second body is confirmed at %s", when, m.name)
			}
			if when == "at first" {
				r.log("the second body meets %v", a)
			}
		}
		first := s.read(r.ctx, all[s.draw(3)], callFor)
		if first.fate() == taken && bytes.Equal(first.body, y) {
			r.short("%s the second body came into force", when)
		}
	}
	repeat := func(when string) {
		for _, m := range all {
			if a := s.put(r.ctx, m, version, x, callFor); a.fate() != taken {
				r.short("%s the first body, sent again to %s: %v", when, m.name, a)
			}
		}
	}
	other("at first")
	repeat("at first")
	if err := s.readBack("after the second body"); err != nil {
		return err
	}
	began := time.Now()
	each(all, func(_ int, m *machine) { m.kill() })
	if err := r.wait(restartAfter); err != nil {
		return err
	}
	for _, m := range all {
		if err := m.again(); err != nil {
			return err
		}
	}
	// Its repetition is the first order that the new lives see, so that none of a later one settles it.
	a := s.caller().until(r.ctx, began.Add(takenWithin), func(m *machine) answer { return s.put(r.ctx, m, version, x, callFor) })
	if a.fate() != taken {
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
	held, body := s.ledger.newest()
	for i, m := range all {
		low := version - 1 - uint32(i)%version
		if a := s.put(r.ctx, m, low, configuration(low, "never sent before"), callFor); a.fate() != taken {
			r.short("a lower version is not confirmed as held at %s: %v", m.name, a)
		}
	}
	for _, m := range all { // under the old number, below what is held: whatever it is told, nothing may come of it
		r.log("the second body, after a higher version: %v", s.put(r.ctx, m, version, y, callFor))
	}
	for _, m := range all {
		if a := s.read(r.ctx, m, callFor); a.fate() != taken || !bytes.Equal(a.body, body) {
			r.short("after lower versions %s does not give back %d: %v", m.name, held, a)
		}
	}
	return nil
}

// same number, many bodies at once.
func sameAtOnce(r *run, size, faults int, kill bool) error {
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
		if kill {
			victim := s.machines()[s.draw(size)]
			s.done.Go(func() {
				if r.wait(time.Duration(s.draw(30))*time.Millisecond) == nil {
					victim.kill()
					if r.wait(restartAfter) == nil {
						_ = victim.again()
					}
				}
			})
		}
		each(all, func(i int, body []byte) {
			a := s.caller().until(r.ctx, began.Add(ack), func(m *machine) answer { return s.put(r.ctx, m, version, body, callFor) })
			mu.Lock()
			defer mu.Unlock()
			switch a.fate() {
			case taken:
				confirmed[i]++
			case refused, odd:
				refusals++
			}
		})
		if len(confirmed) != 1 {
			return fmt.Errorf("round %d: %d of %d bodies under one number are confirmed, %d refused", round+1, len(confirmed), bodies, refusals)
		}
		r.log("round %d: one of %d is confirmed, %d are refused, after %.2f s", round+1, bodies, refusals, time.Since(began).Seconds())
		r.measure(fmt.Sprintf("race %d", round+1), time.Since(began).Seconds())
		if kill { // it is back by then
			if err := r.until(began, restartAfter+contact); err != nil {
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
			if err := expect("the confirmed body, sent again", m, s.put(r.ctx, m, version, won, callFor), taken); err != nil {
				return err
			}
		}
		each(all, func(i int, body []byte) {
			if bytes.Equal(body, won) {
				return
			}
			if m := s.list()[i%size]; s.put(r.ctx, m, version, body, callFor+contact).fate() == taken {
				r.short("round %d: a body that lost is confirmed when it is sent again", round+1)
			}
		})
		if err := s.readBack("after the losers came again"); err != nil {
			return err
		}
	}
	return nil
}

// sentAgain: an order whose answer is lost comes again elsewhere, up to the end of ackS, and counts once. Cut: the
// caller's connection breaks at once, before there could be an answer.
func sentAgain(r *run, gap time.Duration, cut bool) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	patience := callFor
	if cut {
		patience = 3 * time.Millisecond
	}
	first, second := all[s.draw(3)], (*machine)(nil)
	for second == nil || second == first {
		second = all[s.draw(3)]
	}
	version, body := s.next()
	began := time.Now()
	s.call(r.ctx, first, "evacuation.begin", "a", nil, patience)
	s.call(r.ctx, first, "evacuation.begin", "c", nil, patience)
	s.ledger.send(version, body) // its answer is thrown away, so that nothing is known of it
	s.call(r.ctx, first, "config.replace", "", body, patience)
	if err := r.until(began, gap); err != nil {
		return err
	}
	for _, again := range []struct {
		what string
		a    answer
	}{{"begin, sent again", s.call(r.ctx, second, "evacuation.begin", "a", nil, callFor)},
		{"begin of another zone, sent again", s.call(r.ctx, second, "evacuation.begin", "c", nil, callFor)},
		{"the configuration, sent again", s.put(r.ctx, second, version, body, callFor)}} {
		if err := expect(again.what, second, again.a, taken); err != nil {
			return err
		}
	}
	if err := s.evacuatedIs(c, "a", true, "begun and begun again,"); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "a"); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "a", false, fmt.Sprintf("begun, begun again after %v and finished once,", gap)); err != nil {
		r.short("%v", err)
	}
	if err := s.evacuatedIs(c, "c", true, "begun again and not finished,"); err != nil {
		r.short("%v", err)
	}
	// The end of an evacuation may be sent again too, and a new one begins after it.
	began = time.Now()
	s.call(r.ctx, first, "evacuation.finish", "c", nil, patience)
	if err := r.until(began, gap); err != nil {
		return err
	}
	if err := expect("finish, sent again", second, s.call(r.ctx, second, "evacuation.finish", "c", nil, callFor), taken); err != nil {
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
		r.note("begun twice, %.1f s apart, and finished once: still evacuated (counted)", (ack + 500*time.Millisecond).Seconds())
	} else {
		r.note("begun twice, %.1f s apart, and finished once: no longer evacuated (a plain state)", (ack + 500*time.Millisecond).Seconds())
	}
	return nil
}

// founding: a seed dies in the first moments.
func founding(r *run, seed int, at time.Duration, how string) error {
	s, err := newSystem(r, 3, 1)
	if err != nil {
		return err
	}
	victim := s.machines()[seed]
	// All start within a span in any order; the victim lives for as long as is asked.
	died := make(chan error, 1)
	back := []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond}[s.draw(3)]
	delay := time.Duration(s.draw(300)) * time.Millisecond
	s.done.Go(func() {
		if err := r.wait(delay); err != nil {
			died <- err
			return
		}
		if err := victim.start(true, s.seeds); err != nil {
			died <- err
			return
		}
		if err := r.wait(at); err != nil {
			died <- err
			return
		}
		victim.kill()
		died <- nil
	})
	for i, m := range s.machines() {
		if i == seed {
			continue
		}
		if err := r.wait(time.Duration(s.draw(100)) * time.Millisecond); err != nil {
			return err
		}
		if err := m.start(true, s.seeds); err != nil {
			return err
		}
	}
	if err := <-died; err != nil {
		return err
	}
	trouble := time.Now()
	returned := make(chan error, 1)
	switch how {
	case "gone":
		victim.gone()
		returned <- nil
	default:
		s.done.Go(func() {
			if how == "wiped" {
				victim.wipe()
			}
			if err := r.wait(back); err != nil {
				returned <- err
				return
			}
			returned <- victim.again()
		})
	}
	if err := s.orders("its death", trouble, takenWithin); err != nil {
		return err
	}
	if err := <-returned; err != nil {
		return err
	}
	if how == "gone" {
		if err := s.orders("next", time.Now(), contact); err != nil {
			return err
		}
		return s.readBack("with a seed gone")
	}
	r.log("it was back after %v", back)
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("with the seed back"); err != nil {
		return err
	}
	// From now on another may be lost, and what was founded must hold.
	second := s.machines()[(seed+1+s.draw(2))%3]
	second.gone()
	if err := s.orders("loss of another", time.Now(), takenWithin); err != nil {
		return err
	}
	return s.readBack("after the loss of another")
}

// allKilled: all end in the first moments, and go on with the disks they have.
func allKilled(r *run, at, spread time.Duration) error {
	s, err := newSystem(r, 3, 1)
	if err != nil {
		return err
	}
	all := s.machines()
	began := time.Now()
	s.done.Go(func() {
		_ = s.start(spread)
	})
	if err := r.until(began, at); err != nil {
		return err
	}
	var struck []*machine
	for _, m := range all {
		if m.running() {
			struck = append(struck, m)
			m.signal(syscall.SIGKILL)
		}
	}
	r.log("%d of %d are killed after %v", len(struck), len(all), at)
	for _, m := range struck {
		m.kill()
	}
	if err := r.wait(restartAfter); err != nil {
		return err
	}
	for _, m := range struck {
		if err := m.again(); err != nil {
			return err
		}
	}
	if err := s.orders("all were killed", began.Add(at), takenWithin); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("once all are up"); err != nil {
		return err
	}
	all[s.draw(3)].gone()
	if err := s.orders("loss of one", time.Now(), takenWithin); err != nil {
		return err
	}
	return s.readBack("after the loss of one")
}

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
	frozen := all[:size/2+1]
	left := all[size/2+1:]
	for _, m := range frozen {
		m.freeze()
	}
	began := time.Now()
	var mu sync.Mutex
	var early, after []time.Duration
	before := 0 // reads that were answered while a majority may still have been in touch
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		m := left[i%len(left)]
		version, next := s.next()
		type asked struct {
			what string
			do   func() answer
		}
		calls := []asked{
			{"an order", func() answer { return s.put(r.ctx, m, version, next, contact+callFor) }},
			{"a read", func() answer { return s.read(r.ctx, m, contact+callFor) }},
			{"an order under the number that is held, with other bytes", func() answer {
				return s.put(r.ctx, m, held, configuration(held, fmt.Sprint("other-", i)), contact+callFor)
			}},
			{"the order that is held, sent again", func() answer { return s.put(r.ctx, m, held, body, contact+callFor) }},
			{"a lower order", func() answer { return s.put(r.ctx, m, held-1, configuration(held-1, "low"), contact+callFor) }},
			{"an evacuation", func() answer { return s.call(r.ctx, m, "evacuation.begin", "a", nil, contact+callFor) }},
			{"a beat that says draining", func() answer {
				return s.call(r.ctx, m, "instances.heartbeat", "i-1", []byte(fmt.Sprintf(`{"address":"10.0.0.1:8080","descriptor":{"service":"service","generation":"v1","zone":"a","capacity":4},"observed":{"state":"draining","callSeq":%d,"coldLeftS":0}}`, i+1)), contact+callFor)
			}},
		}
		at := time.Since(began)
		each(calls, func(_ int, c asked) {
			a := c.do()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.fate() == taken && c.what == "a read" && at < contact:
				before++
			case a.fate() != unknown:
				r.short("with %d of %d frozen for %.1f s, %s: %v", len(frozen), size, at.Seconds(), c.what, a)
			case a.status != 503:
				r.short("with %d of %d frozen for %.1f s, %s: %v, not 503", len(frozen), size, at.Seconds(), c.what, a)
			}
			if at < contact {
				early = append(early, a.took)
			} else {
				after = append(after, a.took)
			}
		})
		if err := r.wait(400 * time.Millisecond); err != nil {
			return err
		}
	}
	ms := func(all []time.Duration, part float64) int64 {
		slices.Sort(all)
		return all[min(len(all)-1, int(part*float64(len(all))))].Milliseconds()
	}
	r.note("503 after %d ms at p50 and %d at most; in the first %v %d and %d", ms(after, 0.5), ms(after, 1), contact, ms(early, 0.5), ms(early, 1))
	if before > 0 {
		r.note("%d reads answered in the first %v", before, contact)
	}
	if most := ms(after, 1); most >= callFor.Milliseconds() {
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
			if a.fate() == taken {
				return nil
			}
			if a.fate() == refused || time.Now().After(end) {
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
		hung.Go(func() { q.do(callFor) })
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
	if err := elsewhere("begin", func(m *machine) answer { return s.call(r.ctx, m, "evacuation.begin", "a", nil, callFor) }); err != nil {
		return err
	}
	if err := elsewhere("begin of b", func(m *machine) answer { return s.call(r.ctx, m, "evacuation.begin", "b", nil, callFor) }); err != nil {
		return err
	}
	for range 3 {
		version, body := s.next()
		if err := elsewhere("an order", func(m *machine) answer { return s.put(r.ctx, m, version, body, callFor) }); err != nil {
			return err
		}
	}
	if err := elsewhere("finish", func(m *machine) answer { return s.call(r.ctx, m, "evacuation.finish", "a", nil, callFor) }); err != nil {
		return err
	}
	if err := r.until(began, span); err != nil {
		return err
	}
	held, body := s.ledger.newest()
	sleeper.thaw()
	thawed := time.Now()
	// At once, and for a while: nothing old is read there, whoever asks (the ledger checks each).
	for time.Since(thawed) < 3*time.Second {
		s.read(r.ctx, sleeper, callFor)
		if err := r.wait(30 * time.Millisecond); err != nil {
			return err
		}
	}
	hung.Wait()
	for _, q := range questions {
		r.log("the old %s was answered in the end: %v", q.what, late[q.what])
	}
	if a := late["read"]; a.fate() == taken {
		if v, err := versionOf(a.body); err != nil || v < held {
			r.short("an old read was answered with version %d while %d was confirmed", v, held)
		}
	}
	if a := late["order"]; a.fate() == refused || a.fate() == odd {
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
	if err := s.orders("it woke", thawed, 2*contact+3*time.Second); err != nil {
		return err
	}
	return s.readBack("in the end")
}

func alive(all []*machine, most int) (seeds []string) {
	for _, m := range all {
		if m.serves() && len(seeds) < most {
			seeds = append(seeds, m.control())
		}
	}
	return seeds
}

// secondLoss: a machine is lost for good, a new one comes, and some time after its start a second is lost.
func secondLoss(r *run, part float64, silent bool) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "b"); err != nil {
		return err
	}
	lose := (*machine).gone
	if silent {
		lose = (*machine).silent
	}
	all := s.machines()
	first := s.draw(3)
	lose(all[first])
	if err := s.orders("first loss", time.Now(), takenWithin); err != nil {
		return err
	}
	if err := r.wait(time.Duration(300+s.draw(1500)) * time.Millisecond); err != nil {
		return err
	}
	started := time.Now()
	fresh, err := s.add(s.seeds) // as they were: one of them is dead
	if err != nil {
		return err
	}
	if err := s.orders("new machine's start", started, contact); err != nil {
		return err
	}
	if err := r.until(started, time.Duration(part*float64(catchUp))); err != nil {
		return err
	}
	second := all[(first+1+s.draw(2))%3]
	held, body := s.ledger.newest()
	lose(second)
	if err := s.orders("second loss", time.Now(), takenWithin); err != nil {
		return err
	}
	if err := s.readBack("after the second loss"); err != nil {
		return err
	}
	r.log("%s held %d (%d bytes) before %s was lost", fresh.name, held, len(body), second.name)
	if err := s.evacuatedIs(c, "b", true, "begun before two losses,"); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "b"); err != nil {
		return err
	}
	return s.evacuatedIs(c, "b", false, "finished after two losses,")
}

// sixReplaced: each old machine goes for good and a new one comes.
func sixReplaced(r *run, silent bool) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "c"); err != nil {
		return err
	}
	for i := range 6 {
		old := s.machines()[i]
		if silent {
			old.silent()
		} else {
			old.gone()
		}
		if err := s.orders(fmt.Sprintf("loss %d", i+1), time.Now(), takenWithin); err != nil {
			return err
		}
		started := time.Now()
		if _, err := s.add(alive(s.machines(), 3)); err != nil {
			return err
		}
		if err := r.until(started, catchUp*11/10); err != nil {
			return err
		}
		if err := s.orders(fmt.Sprintf("replacement %d", i+1), time.Now(), contact); err != nil {
			return err
		}
		if err := s.readBack(fmt.Sprintf("after replacement %d", i+1)); err != nil {
			return err
		}
	}
	if err := s.evacuatedIs(c, "c", true, "begun before six replacements,"); err != nil {
		return err
	}
	// All that is left must hold by itself over a restart, on seeds that are mostly gone.
	now := s.serving()
	each(now, func(_ int, m *machine) { m.kill() })
	began := time.Now()
	if err := r.wait(restartAfter); err != nil {
		return err
	}
	for _, m := range now {
		if err := m.again(); err != nil {
			return err
		}
	}
	if err := s.orders("restart of all", began, takenWithin); err != nil {
		return err
	}
	if err := s.readBack("after a restart of all"); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "c"); err != nil {
		return err
	}
	return s.evacuatedIs(c, "c", false, "finished after six replacements,")
}

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
		if a = s.put(r.ctx, leaver, version, body, callFor); a.fate() == taken {
			break
		}
		if time.Since(began) > takenWithin {
			return fmt.Errorf("no order is taken at %s: %v", leaver.name, a)
		}
	}
	if a := s.call(r.ctx, leaver, "evacuation.begin", "a", nil, callFor); a.fate() != taken && !slept {
		return fmt.Errorf("begin at %s: %v", leaver.name, a)
	}
	if slept {
		sleeper.thaw()
	}
	left := time.Now()
	took, err := leaver.term()
	if err != nil {
		return err
	}
	r.note("it ended %.2f s after SIGTERM", took.Seconds())
	leaver.gone()
	if err := s.orders("it left", left, takenWithin); err != nil {
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
	if err := s.orders("loss of another", time.Now(), takenWithin); err != nil {
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

// changes: many of them, with a member down, restarts and a lost disk; nothing may grow with their number.
func changes(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	type size struct{ disk, memory int64 }
	measure := func() (most size) {
		for _, m := range s.serving() {
			x := size{m.used(), residentOf(m.pid())}
			r.log("%s: disk %d bytes, memory %d", m.name, x.disk, x.memory)
			most = size{max(most.disk, x.disk), max(most.memory, x.memory)}
		}
		return most
	}
	// change sends orders to all in turn, and now and then an evacuation that is finished at once.
	slowest := time.Duration(0)
	change := func(n int) error {
		for i := range n {
			version, body := s.next()
			began := time.Now()
			a := s.caller().until(r.ctx, began.Add(takenWithin), func(m *machine) answer { return s.put(r.ctx, m, version, body, callFor) })
			if a.fate() != taken {
				return fmt.Errorf("version %d is not taken within %v: %v", version, takenWithin, a)
			}
			slowest = max(slowest, time.Since(began))
			if i%25 == 24 {
				for _, call := range []string{"evacuation.begin", "evacuation.finish"} {
					if err := s.zone(call, "a"); err != nil {
						return err
					}
				}
			}
		}
		return nil
	}
	restart := func(m *machine, wipe bool) error {
		m.kill()
		if wipe {
			m.wipe()
		}
		if err := r.wait(restartAfter); err != nil {
			return err
		}
		return m.again()
	}
	newest := func(m *machine, what string) error {
		version, body := s.ledger.newest()
		began := time.Now()
		if err := s.readAt(what, m, version, body, takenWithin); err != nil {
			return err
		}
		r.log("%s: it gives back the newest %.2f s after its start", what, time.Since(began).Seconds())
		return nil
	}
	if err := change(10); err != nil {
		return err
	}
	small := measure()
	all := s.machines()
	down, other, third := all[0], all[1], all[2]
	if err := change(90); err != nil {
		return err
	}
	down.kill()
	if err := change(150); err != nil {
		return err
	}
	if err := restart(other, false); err != nil { // with one down: neither orders nor reads until it is back
		return err
	}
	if err := s.orders("restart with one down", time.Now(), takenWithin); err != nil {
		return err
	}
	if err := newest(other, "a restart with one down"); err != nil {
		return err
	}
	if err := change(150); err != nil {
		return err
	}
	if err := down.again(); err != nil {
		return err
	}
	if err := newest(down, "down for 300 changes"); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := restart(third, true); err != nil {
		return err
	}
	if err := s.orders("wipe", time.Now(), takenWithin); err != nil {
		return err
	}
	if err := newest(third, "a wiped disk"); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := change(50); err != nil {
		return err
	}
	if err := restart(down, false); err != nil {
		return err
	}
	if err := newest(down, "a restart"); err != nil {
		return err
	}
	if err := change(50); err != nil {
		return err
	}
	if err := r.wait(time.Second); err != nil {
		return err
	}
	large := measure()
	r.note("disk %d KB after 10 changes, %d after 500; memory %.1f MB, %.1f; slowest order %.2f s", small.disk>>10, large.disk>>10,
		float64(small.memory)/1e6, float64(large.memory)/1e6, slowest.Seconds())
	const diskSlack, memorySlack = 64 << 10, 8 << 20
	if large.disk > 2*small.disk+diskSlack {
		r.short("the disk grows with the number of changes: %d KB after 10, %d after 500", small.disk>>10, large.disk>>10)
	}
	if large.memory > 2*small.memory+memorySlack {
		r.short("memory grows with the number of changes: %.1f MB after 10, %.1f after 500", float64(small.memory)/1e6, float64(large.memory)/1e6)
	}
	return s.readBack("in the end")
}

// wiped: one after the other comes back under its name with an empty disk, catchUpS apart.
func wiped(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "b"); err != nil {
		return err
	}
	all := s.machines()
	order := []int{0, 1, 2}
	s.chance.Shuffle(3, func(i, j int) { order[i], order[j] = order[j], order[i] })
	for n, i := range order {
		m := all[i]
		m.kill()
		m.wipe()
		if err := s.orders(fmt.Sprintf("loss %d", n+1), time.Now(), takenWithin); err != nil {
			return err
		}
		if err := m.again(); err != nil {
			return err
		}
		if err := r.wait(catchUp * 11 / 10); err != nil {
			return err
		}
		if err := s.readBack(fmt.Sprintf("%.1f s after wiped disk %d came back", catchUp.Seconds()*1.1, n+1)); err != nil {
			return err
		}
	}
	if err := s.orders("three wipes", time.Now(), contact); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "b", true, "begun before three wipes,"); err != nil {
		return err
	}
	each(all, func(_ int, m *machine) { m.kill() })
	began := time.Now()
	if err := r.wait(restartAfter); err != nil {
		return err
	}
	for _, m := range all {
		if err := m.again(); err != nil {
			return err
		}
	}
	if err := s.orders("restart of all", began, takenWithin); err != nil {
		return err
	}
	return s.readBack("after a restart of all")
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
	each(all, func(_ int, m *machine) { m.kill() })
	began := time.Now()
	if err := r.wait(restartAfter); err != nil {
		return err
	}
	for _, m := range all {
		if err := m.again(); err != nil {
			return err
		}
	}
	for _, m := range all {
		version, body := s.ledger.newest()
		if err := s.readAt("after a restart of all", m, version, body, takenWithin); err != nil {
			return err
		}
	}
	r.log("all give back what was confirmed %.2f s after the kill", time.Since(began).Seconds())
	if err := s.orders("restart of all", began, takenWithin); err != nil {
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
	if err := s.orders(fmt.Sprintf("loss of %d at once", lost), time.Now(), takenWithin); err != nil {
		return err
	}
	return s.readBack(fmt.Sprintf("after the loss of %d at once", lost))
}

// yesterday: a member starts with an old copy of its own disk. Others are there, so nothing may go back.
func yesterday(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	m := all[s.draw(3)]
	many := func(n int) error {
		for range n {
			version, body := s.next()
			a := s.caller().until(r.ctx, time.Now().Add(takenWithin), func(m *machine) answer { return s.put(r.ctx, m, version, body, callFor) })
			if a.fate() != taken {
				return fmt.Errorf("version %d is not taken: %v", version, a)
			}
		}
		return nil
	}
	if err := many(5); err != nil {
		return err
	}
	if err := s.zone("evacuation.begin", "a"); err != nil {
		return err
	}
	m.kill()
	copied := m.disk + ".yesterday"
	if err := m.copyDisk(copied); err != nil {
		return err
	}
	if err := m.again(); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "a"); err != nil {
		return err
	}
	if err := many(40); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	m.kill()
	m.wipe()
	m.disk = copied
	if err := m.again(); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		each(all, func(_ int, m *machine) { s.read(r.ctx, m, callFor) })
		if err := r.wait(30 * time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.readBack("with a disk of yesterday"); err != nil {
		return err
	}
	if err := s.evacuatedIs(c, "a", false, "finished before a disk of yesterday came back,"); err != nil {
		return err
	}
	if err := s.orders("a disk of yesterday", began, takenWithin); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	// Beyond the pages: whether it counts as whole again by now.
	for _, other := range all {
		if other != m {
			other.gone()
			break
		}
	}
	if err := s.orders("then another loss", time.Now(), takenWithin); err != nil {
		r.note("with another lost after that: %v", err)
		return nil
	}
	return s.readBack("after another loss")
}
