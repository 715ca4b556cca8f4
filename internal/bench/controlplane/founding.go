package controlplane

import (
	"syscall"
	"time"
)

// founding: a seed dies in the first moments.
func founding(r *run, seed int, at time.Duration, how string) error {
	s, err := newSystem(r, 3, 1)
	if err != nil {
		return err
	}
	back := []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond}[s.draw(3)]
	if err := s.startWithout(seed, at, how); err != nil {
		return err
	}
	trouble := time.Now()
	if how == "frozen" {
		back = 10 * time.Second
	}
	returned := s.comesBack(s.machines()[seed], how, back)
	if err := s.orders("its death", trouble, commitTimeout); err != nil {
		return err
	}
	if err := <-returned; err != nil {
		return err
	}
	if how == "gone" || how == "silent" {
		return inOrder(s.ordersAfter("next", contact), s.readingBack("with a seed gone"))
	}
	r.log("it was back after %v", back)
	return inOrder(
		r.waiting(catchUp*11/10),
		s.readingBack("with the seed back"),
		func() error { // from now on another may be lost, and what was founded must hold
			s.machines()[(seed+1+s.draw(2))%3].gone()
			return s.orders("loss of another", time.Now(), commitTimeout)
		},
		s.readingBack("after the loss of another"),
	)
}

// startWithout starts all within a span in any order; one of them lives for as long as is asked.
func (s *system) startWithout(victim int, lives time.Duration, how string) error {
	died := make(chan error, 1)
	delay := time.Duration(s.draw(300)) * time.Millisecond
	m := s.machines()[victim]
	s.done.Go(func() {
		died <- inOrder(
			s.r.waiting(delay),
			func() error { return m.start(true, s.seeds) },
			s.r.waiting(lives),
			func() error {
				if how == "silent" || how == "frozen" {
					m.freeze()
				} else {
					m.kill()
				}
				return nil
			},
		)
	})
	for i, other := range s.machines() {
		if i == victim {
			continue
		}
		if err := s.r.wait(time.Duration(s.draw(100)) * time.Millisecond); err != nil {
			return err
		}
		if err := other.start(true, s.seeds); err != nil {
			return err
		}
	}
	return <-died
}

// comesBack does with a machine that died what a story wants, and says when it is done.
func (s *system) comesBack(m *machine, how string, back time.Duration) (returned chan error) {
	returned = make(chan error, 1)
	switch how {
	case "gone":
		m.gone()
		returned <- nil
	case "silent":
		m.cutPower()
		returned <- nil
	case "frozen":
		s.done.Go(func() {
			err := s.r.wait(back)
			m.thaw()
			returned <- err
		})
	default:
		s.done.Go(func() {
			if how == "wiped" {
				m.wipe()
			}
			returned <- inOrder(s.r.waiting(back), m.again)
		})
	}
	return returned
}

// allKilled: all end in the first moments, and go on with the disks they have.
func allKilled(r *run, at, spread time.Duration, wipe bool) error {
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
	for i, m := range struck {
		if m.kill(); wipe && i == 0 {
			m.wipe()
		}
	}
	if err := r.wait(restartDelay); err != nil {
		return err
	}
	s.chance.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	for _, m := range struck {
		if err := m.again(); err != nil {
			return err
		}
	}
	if err := s.orders("all were killed", began.Add(at), commitTimeout); err != nil {
		return err
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("once all are up"); err != nil {
		return err
	}
	all[s.draw(3)].gone()
	if err := s.orders("loss of one", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after the loss of one")
}

// foundingOfFive: two of five go in the first moments.
func foundingOfFive(r *run, how string) error {
	s, err := newSystem(r, 5, 2)
	if err != nil {
		return err
	}
	all := s.machines()
	first := s.draw(3) // a seed
	victims := []*machine{all[first], all[(first+1)%3]}
	if how == "gone" {
		victims[1] = all[3+s.draw(2)]
	}
	began := time.Now()
	started := make(chan error, 1)
	s.done.Go(func() { started <- s.start(100 * time.Millisecond) })
	if err := r.until(began, 250*time.Millisecond); err != nil {
		return err
	}
	if err := <-started; err != nil {
		return err
	}
	trouble := time.Now()
	for _, m := range victims {
		if m.kill(); how != "kept" {
			m.gone()
		}
	}
	if how != "kept" {
		return inOrder(
			func() error { return s.orders("two died", trouble, commitTimeout) },
			s.readingBack("with two gone"),
		)
	}
	return inOrder(
		r.waiting(restartDelay),
		repeat(len(victims), func(i int) error { return victims[i].again() }),
		func() error { return s.orders("two died", trouble, commitTimeout) },
		r.waiting(catchUp*11/10),
		s.readingBack("with two back"),
		func() error {
			for i := range 2 {
				all[(first+2+i)%5].gone()
			}
			return s.orders("loss of two others", time.Now(), commitTimeout)
		},
		s.readingBack("after the loss of two others"),
	)
}
