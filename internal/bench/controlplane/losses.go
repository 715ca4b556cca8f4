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
	if err := s.zone("evacuation.begin", "c"); err != nil {
		return err
	}
	for i := range 6 {
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
	began, err := s.restartAll()
	if err != nil {
		return err
	}
	if err := s.orders("restart of all", began, commitTimeout); err != nil {
		return err
	}
	if err := s.readBack("after a restart of all"); err != nil {
		return err
	}
	if err := s.zone("evacuation.finish", "c"); err != nil {
		return err
	}
	if silent {
		if err := theDeadWake(s, r.seen); err != nil {
			return err
		}
	}
	return s.evacuatedIs(c, "c", false, "finished after six replacements,")
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
	many := func(n int) error {
		for range n {
			version, body := s.next()
			a := s.caller().until(
				r.ctx,
				time.Now().Add(commitTimeout),
				func(m *machine) answer { return s.put(r.ctx, m, version, body, callTimeout) },
			)
			if a.orderOutcome() != committed {
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
		each(all, func(_ int, m *machine) { s.read(r.ctx, m, callTimeout) })
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
	if err := s.orders("a disk of yesterday", time.Now(), contact); err != nil {
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
	if err := s.orders("then another loss", time.Now(), commitTimeout); err != nil {
		r.note("with another lost after that: %v", err)
		return nil
	}
	return s.readBack("after another loss")
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
	woke := time.Now()
	gave := map[string]int{}
	var mu sync.Mutex
	for time.Since(woke) < 3*time.Second {
		each(dead, func(i int, m *machine) {
			s.read(s.r.ctx, m, callTimeout)
			version, body := s.next()
			a := s.put(s.r.ctx, m, version, body, callTimeout)
			mu.Lock()
			defer mu.Unlock()
			if gave[fmt.Sprint(a.status)]++; a.orderOutcome() == refused || a.orderOutcome() == odd {
				s.r.short("%s, which was replaced and wakes, refuses an order: %v", m.name, a)
			}
		})
		if err := s.r.wait(50 * time.Millisecond); err != nil {
			return err
		}
	}
	s.r.note("%d that were replaced wake and answer orders so: %v", len(dead), gave)
	if err := s.orders("the dead woke", time.Now(), contact); err != nil {
		return err
	}
	version, body := s.ledger.newest()
	for _, m := range s.serving() {
		if slices.Contains(dead, m) {
			continue
		}
		if err := s.readAt("after the dead woke", m, version, body, contact); err != nil {
			return err
		}
	}
	// They are machines again, and may have been taken in: to end them all at once would be more than may be lost. One
	// of any may be.
	if err := s.r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if beyond {
		for _, m := range dead {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range dead {
			m.gone()
		}
		if err := s.orders("those that woke go again", time.Now(), commitTimeout); err != nil {
			return err
		}
		return s.readBack("after those that woke went again")
	}
	now := s.serving()
	now[s.draw(len(now))].gone()
	if err := s.orders("loss of one after the dead woke", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after the loss of one, the dead awake")
}

// closing: right after an order is confirmed all are killed, and as many lose their disks as may.
func closing(r *run, size, faults int) error {
	s, err := r.up(size, faults)
	if err != nil {
		return err
	}
	c := s.ride()
	for n := range 3 {
		zone := zones[n]
		if err := s.zone("evacuation.begin", zone); err != nil {
			return err
		}
		version, body := s.next()
		var a answer
		for end, i := time.Now().Add(commitTimeout), s.draw(size); ; i++ {
			if a = s.put(r.ctx, s.machines()[i%size], version, body, callTimeout); a.orderOutcome() == committed {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("closing fault %d: no order is taken before it: %v", n+1, a)
			}
		}
		all := s.machines()
		first := s.draw(size)
		var wiped []*machine
		for i := range faults {
			wiped = append(wiped, all[(first+i)%size])
		}
		began, err := s.restartAll(wiped...)
		if err != nil {
			return err
		}
		for _, m := range all {
			if err := s.readAt(fmt.Sprintf("after closing fault %d", n+1), m, version, body, commitTimeout); err != nil {
				return err
			}
		}
		r.log("all give back what was confirmed %.2f s after closing fault %d", time.Since(began).Seconds(), n+1)
		if err := s.orders(fmt.Sprintf("closing fault %d", n+1), began, commitTimeout); err != nil {
			return err
		}
		if err := s.evacuatedIs(c, zone, true, "begun before a closing fault,"); err != nil {
			return err
		}
		if err := r.until(began, restartDelay+catchUp*11/10); err != nil {
			return err
		}
	}
	return nil
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
