package controlplane

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const commitTimeout = 8 * time.Second // after a trouble that the faults to be borne cover

// stories are all plays, in the order of the table.
func stories() (all []play) {
	number, last := 0, ""
	add := func(story, variant string, seconds int, run func(r *run) error) {
		if story != last {
			number, last = number+1, story
		}
		all = append(
			all,
			play{story: story, variant: variant, number: number, span: time.Duration(seconds) * time.Second, run: run},
		)
	}
	beyond := func(story, variant string, seconds int, run func(r *run) error) {
		add(story, variant, seconds, run)
		all[len(all)-1].seen = true
	}
	add("same-number", "in turn", 10, sameInTurn)
	add("same-number-race", "3 calm", 8, func(r *run) error { return sameAtOnce(r, 3, 1, 0) })
	add("same-number-race", "5 calm", 8, func(r *run) error { return sameAtOnce(r, 5, 2, 0) })
	add("same-number-race", "3, one killed amid", 20, func(r *run) error { return sameAtOnce(r, 3, 1, 1) })
	add("same-number-race", "3, all killed amid", 20, func(r *run) error { return sameAtOnce(r, 3, 1, 3) })
	for _, gap := range []time.Duration{600 * time.Millisecond, 2600 * time.Millisecond, 4400 * time.Millisecond} {
		add("sent-again", fmt.Sprintf("after %v", gap), 12, func(r *run) error { return sentAgain(r, gap, answerLost) })
	}
	add(
		"sent-again",
		"after 2.6s, the caller had hung up",
		12,
		func(r *run) error { return sentAgain(r, 2600*time.Millisecond, hungUp) },
	)
	add(
		"sent-again",
		"after 2.6s, the first one was killed",
		12,
		func(r *run) error { return sentAgain(r, 2600*time.Millisecond, firstKilled) },
	)
	beyond("sent-again", "two operators, one zone", 8, twoOperators)
	for i := range 3 {
		for _, at := range []int{50, 250, 600} {
			for _, how := range []string{"kept", "wiped", "gone"} {
				add("founding", fmt.Sprintf("seed %d dies at %.2f s, disk %s", i+1, float64(at)/1000, how), 12,
					func(r *run) error { return founding(r, i, time.Duration(at)*time.Millisecond, how) })
			}
		}
	}
	for i := range 3 {
		add("founding", fmt.Sprintf("seed %d falls silent at 0.25 s, for good", i+1), 12,
			func(r *run) error { return founding(r, i, 250*time.Millisecond, "silent") })
		add("founding", fmt.Sprintf("seed %d is frozen from 0.25 s for 10 s", i+1), 20,
			func(r *run) error { return founding(r, i, 250*time.Millisecond, "frozen") })
	}
	add("founding", "5, two seeds die at 0.25 s, disks kept", 14, func(r *run) error { return foundingOfFive(r, "kept") })
	add(
		"founding",
		"5, one seed and another die at 0.25 s, gone",
		14,
		func(r *run) error { return foundingOfFive(r, "gone") },
	)
	beyond(
		"founding",
		"5, two seeds die at 0.25 s, gone",
		14,
		func(r *run) error { return foundingOfFive(r, "seeds gone") },
	)
	for _, at := range []int{20, 100, 300, 800} {
		add("all-killed-first", fmt.Sprintf("at %.2f s", float64(at)/1000), 14, func(r *run) error {
			return allKilled(r, time.Duration(at)*time.Millisecond, 0, false)
		})
	}
	add("all-killed-first", "at 0.10 s, starts spread over 0.3 s", 14, func(r *run) error {
		return allKilled(r, 100*time.Millisecond, startSpread, false)
	})
	add(
		"all-killed-first",
		"at 0.30 s, one disk wiped",
		14,
		func(r *run) error { return allKilled(r, 300*time.Millisecond, 0, true) },
	)
	add(
		"all-killed-first",
		"at 0.80 s, one disk wiped",
		14,
		func(r *run) error { return allKilled(r, 800*time.Millisecond, 0, true) },
	)
	add("majority-frozen", "2 of 3", 34, func(r *run) error { return majorityFrozen(r, 3, 1) })
	add("majority-frozen", "3 of 5", 34, func(r *run) error { return majorityFrozen(r, 5, 2) })
	add("woken", "frozen 2 s", 14, func(r *run) error { return woken(r, 2*time.Second) })
	add("woken", "frozen 7 s", 20, func(r *run) error { return woken(r, 7*time.Second) })
	for _, how := range []string{"killed", "silent"} {
		beyond("second-loss", "0.9 of catchUpS, "+how, 22, func(r *run) error { return secondLoss(r, 0.9, how == "silent") })
		add("second-loss", "1.1 of catchUpS, "+how, 22, func(r *run) error { return secondLoss(r, 1.1, how == "silent") })
	}
	add("second-loss", "5, two go and two come at once, then two more", 24, twoAndTwo)
	add("second-loss", "the new one comes while another is frozen", 26, frozenMeanwhile)
	add("six-replaced", "killed", 50, func(r *run) error { return sixReplaced(r, false) })
	add("six-replaced", "silent", 70, func(r *run) error { return sixReplaced(r, true) })
	beyond(
		"six-replaced",
		"silent; they wake, and go again at one moment",
		74,
		func(r *run) error { return sixReplaced(r, true) },
	)
	add("six-replaced", "three wake while those in their places sleep", 30, theReplacedAlone)
	add("leaving", "calm", 20, func(r *run) error { return leaving(r, false) })
	beyond("leaving", "another had slept through the order", 20, func(r *run) error { return leaving(r, true) })
	add(
		"leaving",
		"one after the other, back with their disks",
		24,
		func(r *run) error { return rolling(r, catchUp*11/10) },
	)
	beyond(
		"leaving",
		"one after the other, 0.6 s apart",
		14,
		func(r *run) error { return rolling(r, 600*time.Millisecond) },
	)
	add("leaving", "new ones come first, then the old leave", 34, newFirst)
	add("leaving", "all at once, back with their disks", 14, func(r *run) error { return leaveAtOnce(r, 3, 1) })
	add("leaving", "alone, back with its disk", 10, func(r *run) error { return leaveAtOnce(r, 1, 0) })
	beyond("leaving", "one of two, for good", 14, leaveTwo)
	add("changes", "500", 50, changes)
	add("changes", "eight at once", 24, eightAtOnce)
	add("changes", "3800 routes", 16, largeBodies)
	add("wiped", "each in turn, under its name", 25, wiped)
	for _, x := range []struct{ size, faults int }{{1, 0}, {2, 0}, {5, 2}, {7, 2}} {
		add("sizes", fmt.Sprint(x.size), 8, func(r *run) error { return sizes(r, x.size, x.faults, 0) })
	}
	add("sizes", "5, two lost at once", 8, func(r *run) error { return sizes(r, 5, 2, 2) })
	add("sizes", "7, two lost at once", 8, func(r *run) error { return sizes(r, 7, 2, 2) })
	add("yesterday", "a disk of 40 changes ago", 16, yesterday)
	add("yesterday", "a disk of before it was wiped", 24, beforeTheWipe)
	add("closing", "3 killed at once, one disk wiped, three times", 30, func(r *run) error { return closing(r, 3, 1) })
	add("closing", "5 killed at once, two disks wiped, three times", 30, func(r *run) error { return closing(r, 5, 2) })
	add("drawn", "3", 48, func(r *run) error { return drawnDay(r, 3, 1) })
	add("drawn", "5", 48, func(r *run) error { return drawnDay(r, 5, 2) })
	return all
}

// restartAll ends all that run at one moment and starts them with the disks they have; some may lose theirs. It gives
// the moment.
func (s *system) restartAll(wiped ...*machine) (time.Time, error) {
	all := s.serving()
	began := time.Now()
	for _, m := range all {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range all {
		m.kill()
		if slices.Contains(wiped, m) {
			m.wipe()
		}
	}
	if err := s.r.wait(restartDelay); err != nil {
		return began, err
	}
	for _, m := range all {
		if err := m.again(); err != nil {
			return began, err
		}
	}
	return began, nil
}

// expect is for single calls: the fate that it must have.
func expect(what string, m *machine, a answer, want ...orderOutcome) error {
	if slices.Contains(want, a.orderOutcome()) {
		return nil
	}
	return fmt.Errorf("%s at %s: %v", what, m.name, a)
}

// seedsOf is how many seeds a machine that is added is given.
const seedsOf = 3

func alive(all []*machine) (seeds []string) {
	for _, m := range all {
		if m.serves() && len(seeds) < seedsOf {
			seeds = append(seeds, m.control())
		}
	}
	return seeds
}
