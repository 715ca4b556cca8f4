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
		if how == "silent" || how == "frozen" {
			victim.freeze()
		} else {
			victim.kill()
		}
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
	case "silent":
		victim.cutPower()
		returned <- nil
	case "frozen":
		back = 10 * time.Second
		s.done.Go(func() {
			err := r.wait(back)
			victim.thaw()
			returned <- err
		})
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
	if err := s.orders("its death", trouble, commitTimeout); err != nil {
		return err
	}
	if err := <-returned; err != nil {
		return err
	}
	if how == "gone" || how == "silent" {
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
	if err := s.orders("loss of another", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after the loss of another")
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
	if how == "kept" {
		if err := r.wait(restartDelay); err != nil {
			return err
		}
		for _, m := range victims {
			if err := m.again(); err != nil {
				return err
			}
		}
	}
	if err := s.orders("two died", trouble, commitTimeout); err != nil {
		return err
	}
	if how != "kept" {
		return s.readBack("with two gone")
	}
	if err := r.wait(catchUp * 11 / 10); err != nil {
		return err
	}
	if err := s.readBack("with two back"); err != nil {
		return err
	}
	for i := range 2 {
		all[(first+2+i)%5].gone()
	}
	if err := s.orders("loss of two others", time.Now(), commitTimeout); err != nil {
		return err
	}
	return s.readBack("after the loss of two others")
}
