package controlplane

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

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
		lose = (*machine).cutPower
	}
	all := s.machines()
	first := s.draw(3)
	lose(all[first])
	if err := s.orders("first loss", time.Now(), commitTimeout); err != nil {
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
	if err := s.orders("second loss", time.Now(), commitTimeout); err != nil {
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
	return inOrder(
		s.zoneOrder("evacuation.begin", "c"),
		repeat(6, func(i int) error { return replaceOne(s, i, silent) }),
		s.evacuationIs(c, "c", true, "begun before six replacements,"),
		// All that is left must hold by itself over a restart, on seeds that are mostly gone.
		s.restarting("restart of all"),
		s.zoneOrder("evacuation.finish", "c"),
		func() error {
			if !silent {
				return nil
			}
			return theDeadWake(s, r.seen)
		},
		s.evacuationIs(c, "c", false, "finished after six replacements,"),
	)
}

// replaceOne has the i-th machine go for good, and a new one come.
func replaceOne(s *system, i int, silent bool) error {
	old := s.machines()[i]
	if silent {
		old.cutPower()
	} else {
		old.gone()
	}
	if err := s.orders(fmt.Sprintf("loss %d", i+1), time.Now(), commitTimeout); err != nil {
		return err
	}
	started := time.Now()
	seeds := alive(s.machines())
	if silent { // a list that lags: one of three is still there
		seeds = []string{old.control(), s.machines()[max(i-1, 0)].control(), seeds[len(seeds)-1]}
	}
	if _, err := s.add(seeds); err != nil {
		return err
	}
	return inOrder(
		func() error { return s.r.until(started, catchUp*11/10) },
		s.ordersAfter(fmt.Sprintf("replacement %d", i+1), contact),
		s.readingBack(fmt.Sprintf("after replacement %d", i+1)),
	)
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
		if err := s.orders(fmt.Sprintf("loss %d", n+1), time.Now(), commitTimeout); err != nil {
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
	began, err := s.restartAll()
	if err != nil {
		return err
	}
	if err := s.orders("restart of all", began, commitTimeout); err != nil {
		return err
	}
	return s.readBack("after a restart of all")
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
	copied := m.disk + ".yesterday"
	change := func(int) error { return s.taken(s.next()) }
	err = inOrder(
		repeat(5, change),
		s.zoneOrder("evacuation.begin", "a"),
		func() error { m.kill(); return m.copyDisk(copied) },
		m.again,
		s.zoneOrder("evacuation.finish", "a"),
		repeat(40, change),
		r.waiting(catchUp*11/10),
		func() error { m.kill(); m.wipe(); m.disk = copied; return m.again() },
		func() error { return s.readAll(3*time.Second, 30*time.Millisecond) },
		s.readingBack("with a disk of yesterday"),
		s.evacuationIs(c, "a", false, "finished before a disk of yesterday came back,"),
		s.ordersAfter("a disk of yesterday", contact),
		r.waiting(catchUp*11/10),
	)
	if err != nil {
		return err
	}
	// Beyond the pages: whether it counts as whole again by now.
	other := all[slices.IndexFunc(all, func(o *machine) bool { return o != m })]
	other.gone()
	if err := s.orders("then another loss", time.Now(), commitTimeout); err != nil {
		r.note("with another lost after that: %v", err)
		return nil
	}
	return s.readBack("after another loss")
}

// readAll reads from all machines, again and again for a while.
func (s *system) readAll(span, pause time.Duration) error {
	for began := time.Now(); time.Since(began) < span; {
		each(s.machines(), func(_ int, m *machine) { s.read(s.r.ctx, m, callTimeout) })
		if err := s.r.wait(pause); err != nil {
			return err
		}
	}
	return nil
}

// theDeadWake: those that were silent and were replaced run again, a majority of what was the core once among them.
// They still think that they are in, and must not be believed: nothing old is read, nothing is confirmed beside.
func theDeadWake(s *system, beyond bool) error {
	var dead []*machine
	for _, m := range s.machines() {
		if m.running() && !m.serves() {
			dead = append(dead, m)
		}
	}
	for _, m := range dead {
		m.thaw()
	}
	gave, err := s.askTheDead(dead)
	if err != nil {
		return err
	}
	s.r.note("%d that were replaced wake and answer orders so: %v", len(dead), gave)
	return inOrder(
		s.ordersAfter("the dead woke", contact),
		func() error { return s.readAtOthers("after the dead woke", dead) },
		// They are machines again, and may have been taken in: to end them all at once would be more than may be lost. One
		// of any may be.
		s.r.waiting(catchUp*11/10),
		func() error {
			if beyond {
				return s.loseAll(dead)
			}
			now := s.serving()
			now[s.draw(len(now))].gone()
			return inOrder(s.ordersAfter("loss of one after the dead woke", commitTimeout),
				s.readingBack("after the loss of one, the dead awake"))
		},
	)
}

// askTheDead sends orders and reads to machines that were replaced, for a while, and counts the statuses.
func (s *system) askTheDead(dead []*machine) (gave map[string]int, err error) {
	gave = map[string]int{}
	var mu sync.Mutex
	for woke := time.Now(); time.Since(woke) < 3*time.Second && err == nil; err = s.r.wait(50 * time.Millisecond) {
		each(dead, func(_ int, m *machine) {
			s.read(s.r.ctx, m, callTimeout)
			version, body := s.next()
			a := s.put(s.r.ctx, m, version, body, callTimeout)
			mu.Lock()
			defer mu.Unlock()
			if gave[fmt.Sprint(a.status)]++; a.orderOutcome() == refused || a.orderOutcome() == odd {
				s.r.short("%s, which was replaced and wakes, refuses an order: %v", m.name, a)
			}
		})
	}
	return gave, err
}

// readAtOthers wants the newest configuration from all that serve, but for some.
func (s *system) readAtOthers(what string, some []*machine) error {
	version, body := s.ledger.newest()
	for _, m := range s.serving() {
		if slices.Contains(some, m) {
			continue
		}
		if err := s.readAt(what, m, version, body, contact); err != nil {
			return err
		}
	}
	return nil
}

// loseAll ends machines at one moment, for good.
func (s *system) loseAll(some []*machine) error {
	for _, m := range some {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range some {
		m.gone()
	}
	return inOrder(s.ordersAfter("those that woke go again", commitTimeout),
		s.readingBack("after those that woke went again"))
}

// closing: right after an order is confirmed all are killed, and as many lose their disks as may.
func closing(r *run, size, faults int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	c := s.ride()
	return repeat(3, func(n int) error { return closeOnce(s, c, n, faults) })()
}

// closeOnce is the n-th closing fault.
func closeOnce(s *system, c *rider, n, faults int) error {
	zone := zones[n]
	if err := s.zone("evacuation.begin", zone); err != nil {
		return err
	}
	version, body := s.next()
	if err := s.takenByAny(version, body); err != nil {
		return fmt.Errorf("closing fault %d: no order is taken before it: %w", n+1, err)
	}
	all := s.machines()
	first := s.draw(len(all))
	var wiped []*machine
	for i := range faults {
		wiped = append(wiped, all[(first+i)%len(all)])
	}
	began, err := s.restartAll(wiped...)
	if err != nil {
		return err
	}
	return inOrder(
		repeat(len(all), func(i int) error {
			return s.readAt(fmt.Sprintf("after closing fault %d", n+1), all[i], version, body, commitTimeout)
		}),
		func() error {
			s.r.log("all give back what was confirmed %.2f s after closing fault %d", time.Since(began).Seconds(), n+1)
			return s.orders(fmt.Sprintf("closing fault %d", n+1), began, commitTimeout)
		},
		s.evacuationIs(c, zone, true, "begun before a closing fault,"),
		func() error { return s.r.until(began, restartDelay+catchUp*11/10) },
	)
}

// takenByAny sends an order to one machine after the other until it is taken: right after that the story goes on.
func (s *system) takenByAny(version uint32, body []byte) error {
	all := s.machines()
	for end, i := time.Now().Add(commitTimeout), s.draw(len(all)); ; i++ {
		a := s.put(s.r.ctx, all[i%len(all)], version, body, callTimeout)
		if a.orderOutcome() == committed {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%v", a)
		}
	}
}

// twoAndTwo: as many as may be lost at once go, as many new ones come at one moment; then it happens again.
func twoAndTwo(r *run) error {
	s, err := r.up(5, 2)
	if err != nil {
		return err
	}
	c := s.ride()
	if err := s.zone("evacuation.begin", "b"); err != nil {
		return err
	}
	all := s.machines()
	s.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for n, lost := range [][]*machine{all[:2], all[2:4]} {
		each(lost, func(_ int, m *machine) { m.gone() })
		if err := s.orders(fmt.Sprintf("loss of two, %d", n+1), time.Now(), commitTimeout); err != nil {
			return err
		}
		started := time.Now()
		for range lost {
			if _, err := s.add(s.seeds); err != nil {
				return err
			}
		}
		if err := r.until(started, catchUp*11/10); err != nil {
			return err
		}
		if err := s.orders(fmt.Sprintf("two new, %d", n+1), time.Now(), contact); err != nil {
			return err
		}
		s.seeds = alive(s.machines()) // for those that come later
	}
	all[4].gone()
	if err := s.orders("loss of the last of the first five", time.Now(), commitTimeout); err != nil {
		return err
	}
	if err := s.readBack("without any of the first five"); err != nil {
		return err
	}
	return s.evacuatedIs(c, "b", true, "begun before all of the first five were lost,")
}

// frozenMeanwhile: while a new machine takes the place of one that was lost, a third is frozen: nothing can be decided
// until it wakes, and then all is mended.
func frozenMeanwhile(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	all := s.machines()
	first := s.draw(3)
	all[first].gone()
	if err := s.orders("loss", time.Now(), commitTimeout); err != nil {
		return err
	}
	sleeper, other := all[(first+1)%3], all[(first+2)%3]
	sleeper.freeze()
	if err := r.wait(500 * time.Millisecond); err != nil {
		return err
	}
	if _, err := s.add(s.seeds); err != nil {
		return err
	}
	if err := r.wait(contact + 2*time.Second); err != nil {
		return err
	}
	sleeper.thaw()
	woke := time.Now()
	if err := s.orders("it woke", woke, 2*contact); err != nil {
		return err
	}
	if err := r.until(woke, contact+catchUp*11/10); err != nil {
		return err
	}
	if err := s.readBack("once it had woken"); err != nil {
		return err
	}
	other.gone()
	if err := s.orders("loss of another", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after the loss of another")
}

// beforeTheWipe: a disk that was lost, and in whose place an empty one was voted in, turns up again. It is
// nobody's: what it once promised must not count, and its machine must be whole again in time.
func beforeTheWipe(r *run) error {
	s, err := r.up(3, 1)
	if err != nil {
		return err
	}
	all := s.machines()
	i := s.draw(3)
	m := all[i]
	m.kill()
	copied := m.disk + ".old"
	if err := m.copyDisk(copied); err != nil {
		return err
	}
	m.wipe()
	if err := m.again(); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	for range 10 {
		if err := s.orders("next", time.Now(), contact); err != nil {
			return err
		}
	}
	m.kill()
	m.wipe()
	m.disk = copied
	if err := m.again(); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < catchUp*11/10 {
		each(all, func(_ int, m *machine) { s.read(r.ctx, m, callTimeout) })
		if err := r.wait(50 * time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.readBack("with a disk of before the wipe"); err != nil {
		return err
	}
	all[(i+1+s.draw(2))%3].gone()
	if err := s.orders("then another loss", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after another loss")
}
