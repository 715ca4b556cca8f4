package controlplane

import (
	"bytes"
	"fmt"
	"maps"
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
	n := &minority{system: s, size: size, frozen: all[:size/2+1], left: all[size/2+1:]}
	n.held, n.body = s.ledger.newest()
	for _, m := range n.frozen {
		m.freeze()
	}
	if err := n.ask(20 * time.Second); err != nil {
		return err
	}
	n.report()
	for _, m := range n.frozen {
		m.thaw()
	}
	return inOrder(s.ordersAfter("the thaw", 2*contact), s.readingBack("after the thaw"))
}

// minority is what is left of a core whose majority is frozen.
type minority struct {
	*system
	size         int
	frozen, left []*machine
	held         uint32 // the newest that was confirmed
	body         []byte

	mu           sync.Mutex
	early, after []time.Duration // of answers, before the silence can be known and after
	before       int             // answers that nothing can make wrong, while a majority may still have been in touch
}

// Calls to a minority whose answers may be right for good.
const (
	otherBytes = "an order under the number that is held, with other bytes"
	heldAgain  = "the order that is held, sent again"
	lowerOrder = "a lower order"
	aRead      = "a read"
)

type askedCall struct {
	what string
	do   func() answer
}

// calls are all kinds of them to one machine.
func (n *minority) calls(m *machine, i int) []askedCall {
	ctx, patience := n.r.ctx, contact+callTimeout
	version, next := n.next()
	beat := fmt.Appendf(nil,
		`{"address":"10.0.0.1:8080","descriptor":{"service":"service","generation":"v1","zone":"a","capacity":4},`+
			`"observed":{"state":"draining","callSeq":%d,"coldLeftS":0}}`, i+1)
	return []askedCall{
		{"an order", func() answer { return n.put(ctx, m, version, next, patience) }},
		{aRead, func() answer { return n.read(ctx, m, patience) }},
		{otherBytes, func() answer {
			return n.put(ctx, m, n.held, configuration(n.held, fmt.Sprint("other-", i)), patience)
		}},
		{heldAgain, func() answer { return n.put(ctx, m, n.held, n.body, patience) }},
		{lowerOrder, func() answer { return n.put(ctx, m, n.held-1, configuration(n.held-1, "low"), patience) }},
		{"an evacuation", func() answer { return n.call(ctx, m, "evacuation.begin", "a", nil, patience) }},
		{"a beat that says draining", func() answer {
			return n.call(ctx, m, "instances.heartbeat", "i-1", beat, patience)
		}},
	}
}

// ask calls what is left, one machine after the other, for a while.
func (n *minority) ask(span time.Duration) (err error) {
	began := time.Now()
	for i := 0; time.Since(began) < span && err == nil; i++ {
		m := n.left[i%len(n.left)]
		at := time.Since(began)
		each(n.calls(m, i), func(_ int, c askedCall) { n.judge(at, c.what, c.do()) })
		if at > contact && isCaughtUp(m) {
			n.r.short("with %d of %d frozen for %.1f s, %s hands out what it has as all there is", len(n.frozen), n.size,
				at.Seconds(), m.name)
		}
		err = n.r.wait(400 * time.Millisecond)
	}
	return err
}

// judge looks at one answer, of a call that was made so long after the freeze.
func (n *minority) judge(at time.Duration, what string, a answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	// Until the silence of the others can be known for what it is: what is true for good may still be said.
	case at < contact && isRightForGood(what, a):
		n.before++
	case a.orderOutcome() != unknown:
		n.r.short("with %d of %d frozen for %.1f s, %s: %v", len(n.frozen), n.size, at.Seconds(), what, a)
	case a.status != 503 && (at >= contact || a.status != 504): // 504: nothing is known of it
		n.r.short("with %d of %d frozen for %.1f s, %s: %v, not 503", len(n.frozen), n.size, at.Seconds(), what, a)
	}
	if at < contact {
		n.early = append(n.early, a.took)
	} else {
		n.after = append(n.after, a.took)
	}
}

func isRightForGood(what string, a answer) bool {
	switch what {
	case aRead, heldAgain, lowerOrder:
		return a.orderOutcome() == committed
	case otherBytes:
		return a.orderOutcome() == refused
	}
	return false
}

// report tells how soon it was said that nothing can be taken.
func (n *minority) report() {
	r := n.r
	ms := func(all []time.Duration, part float64) int64 {
		slices.Sort(all)
		return all[min(len(all)-1, int(part*float64(len(all))))].Milliseconds()
	}
	r.note("503 after %d ms at p50 and %d at most; in the first %v %d and %d", ms(n.after, 0.5), ms(n.after, 1), contact,
		ms(n.early, 0.5), ms(n.early, 1))
	if n.before > 0 {
		r.note("%d reads and repetitions answered in the first %v", n.before, contact)
	}
	if most := ms(n.after, 1); most >= callTimeout.Milliseconds() {
		r.short("once out of touch it takes %d ms to say so: a caller hears silence", most)
	}
}

// woken: one is frozen while questions lie in its sockets, and others go on.
func woken(r *run, span time.Duration) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	c := s.ride()
	all := s.machines()
	k := &sleep{system: s, sleeper: all[s.draw(3)], span: span, late: map[string]answer{}}
	k.awake = slices.DeleteFunc(slices.Clone(all), func(m *machine) bool { return m == k.sleeper })
	k.sleeper.freeze()
	began := time.Now()
	k.askSleeper()
	change := func(int) error {
		version, body := s.next()
		return k.elsewhere("an order", func(m *machine) answer { return s.put(r.ctx, m, version, body, callTimeout) })()
	}
	err = inOrder(
		r.waiting(200*time.Millisecond),
		k.evacuateElsewhere("evacuation.begin", "a"),
		k.evacuateElsewhere("evacuation.begin", "b"),
		repeat(3, change),
		k.evacuateElsewhere("evacuation.finish", "a"),
		func() error { return r.until(began, span) },
	)
	if err != nil {
		return err
	}
	held, body := s.ledger.newest()
	k.sleeper.thaw()
	if err := k.readSleeper(); err != nil {
		return err
	}
	k.hung.Wait()
	k.judgeLate(held)
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
	return inOrder(s.ordersAfter("all that", contact), s.readingBack("in the end"))
}

// sleep is one machine that is frozen while the others go on.
type sleep struct {
	*system
	sleeper *machine
	awake   []*machine
	span    time.Duration
	hung    sync.WaitGroup // callers of the sleeper
	mu      sync.Mutex
	late    map[string]answer // of callers that do not hang up
}

// askSleeper has calls lie in the sleeper's sockets: some callers hang up after their second, others are still there.
func (k *sleep) askSleeper() {
	ctx := k.r.ctx
	version, body := k.next()
	for what, ask := range map[string]func(patience time.Duration) answer{
		"order":  func(p time.Duration) answer { return k.put(ctx, k.sleeper, version, body, p) },
		"read":   func(p time.Duration) answer { return k.read(ctx, k.sleeper, p) },
		"begin":  func(p time.Duration) answer { return k.call(ctx, k.sleeper, "evacuation.begin", "a", nil, p) },
		"finish": func(p time.Duration) answer { return k.call(ctx, k.sleeper, "evacuation.finish", "b", nil, p) },
	} {
		k.hung.Go(func() { ask(callTimeout) })
		k.hung.Go(func() {
			a := ask(k.span + 5*time.Second)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.late[what] = a
		})
	}
}

// elsewhere is an order of a caller that met silence, and goes on at the machines that are awake.
func (k *sleep) elsewhere(what string, once func(m *machine) answer) func() error {
	return func() error {
		at := 0
		for end := time.Now().Add(2*contact + k.span); ; at++ {
			a := once(k.awake[at%len(k.awake)])
			if a.orderOutcome() == committed {
				return nil
			}
			if a.orderOutcome() == refused || time.Now().After(end) {
				return fmt.Errorf("%s while one is frozen: %v", what, a)
			}
			if err := k.r.wait(100 * time.Millisecond); err != nil {
				return err
			}
		}
	}
}

func (k *sleep) evacuateElsewhere(call, zone string) func() error {
	return k.elsewhere(call+" of "+zone, func(m *machine) answer {
		return k.call(k.r.ctx, m, call, zone, nil, callTimeout)
	})
}

// readSleeper reads from the one that woke, at once and for a while: nothing old is read there, whoever asks (the
// ledger checks each).
func (k *sleep) readSleeper() (err error) {
	serves := false
	for thawed := time.Now(); time.Since(thawed) < 3*time.Second && err == nil; err = k.r.wait(30 * time.Millisecond) {
		if a := k.read(k.r.ctx, k.sleeper, callTimeout); a.orderOutcome() == committed && !serves {
			serves = true
			k.r.note("it reads again %.2f s after it woke", time.Since(thawed).Seconds())
		}
	}
	return err
}

// judgeLate looks at what the calls that lay in its sockets were answered in the end.
func (k *sleep) judgeLate(held uint32) {
	for _, what := range slices.Sorted(maps.Keys(k.late)) {
		k.r.log("the old %s was answered in the end: %v", what, k.late[what])
	}
	if a := k.late["read"]; a.orderOutcome() == committed {
		if v, err := versionOf(a.body); err != nil || v < held {
			k.r.short("an old read was answered with version %d while %d was confirmed", v, held)
		}
	}
	if a := k.late["order"]; a.orderOutcome() == refused || a.orderOutcome() == odd {
		k.r.short("an old order was refused: %v", a)
	}
}
