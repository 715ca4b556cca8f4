package consensus

import "testing"

// The one that acknowledged a configuration dies the next moment, with its process or its power; all others have it in
// force soon after.
func TestTheAcknowledgerMayDie(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		shape := [][2]int{{3, 1}, {5, 2}, {7, 3}}[seed%3]
		w := newWorld(seed, shape[0], shape[1], driverFlaws{}, quiet)
		w.run(4000 * ms)
		i := int(seed) % shape[0]
		q := w.configuration(i, 1, 7)
		for q.fate != Committed && w.now < 6000*ms && w.fault == "" {
			w.run(w.now + ms)
		}
		if q.fate != Committed {
			t.Errorf("seed %d: it is not taken: %v %s", seed, q, w.fault)
			continue
		}
		w.kill(i, seed%2 == 0)
		w.run(w.now + 400*ms)
		for j, m := range w.machines {
			if j == i {
				continue
			}
			if r, is := m.r.CommittedValue(charter); !is || r.Version.Number != 1 {
				t.Errorf("seed %d: %s has not heard of it", seed, m.who.Name)
			}
		}
		if w.fault != "" {
			t.Errorf("seed %d: %s", seed, w.fault)
		}
	}
}
