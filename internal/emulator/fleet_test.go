package emulator

import (
	"testing"

	"elmfold/internal/controller/reconcile"
)

// all sums all tenants' seconds from one to before another.
func (w *World) all(from, to int) (sum Sum) {
	for i := range 20 {
		s := w.Over(Tenant(i), from, to)
		sum.Requested, sum.Served, sum.Late = sum.Requested+s.Requested, sum.Served+s.Served, sum.Late+s.Late
		sum.Declined, sum.Failed = sum.Declined+s.Declined, sum.Failed+s.Failed
	}
	return sum
}

// kept fails the test where a rule of the fleet was broken, or a channel grew over its limit.
func (w *World) kept(t *testing.T) {
	t.Helper()
	if n := w.Doubled(); n+w.Bare+w.Late+len(w.Tipped) > 0 || w.Backlog > w.MaxQueuedLines {
		t.Errorf(
			"%d doubled, %d without a line, %d late tries, pushed over %v, %.0f lines waited of %.0f",
			n,
			w.Bare,
			w.Late,
			w.Tipped,
			w.Backlog,
			w.MaxQueuedLines,
		)
	}
}

// release replaces a part of the backends, a few at a time, within a span.
func (w *World) release(from, span Time, few int, which func(i int) bool) {
	var at []string
	for i, b := range w.Backends {
		if which(i) {
			at = append(at, b.ID)
		}
	}
	for i, id := range at {
		begin := from + span*Time(i/few)/Time(max(len(at)/few, 1))
		w.At(begin, func() { w.Drain(id, true) })
		w.At(begin+2500*ms, func() { w.Restart(id, 700*ms) })
	}
}

// Four of five controllers die at once: all their proxies join the one that lives within a second or so, with tables
// and shut-outs of before. It serves its own on time: a drain of that moment is kept at all proxies.
func TestManyCase1AllJoinOne(t *testing.T) {
	w := New(Fleet(1, 5))
	w.At(10*second, func() {
		for i := 1; i < 5; i++ {
			w.Kill(i, 12*second, nil)
		}
	})
	w.At(11500*ms, func() { w.Drain("s-05", true); w.Drain("s-06", true) })
	w.Run(22 * second)
	w.kept(t)
	if at := w.Joined(); at[0] != 240 {
		t.Errorf("joined %v", at)
	}
	if before, after := w.all(4, 10).Service(), w.all(10, 22).Service(); after < before-0.03 {
		t.Errorf("service %.3f before, %.3f after", before, after)
	}
}

// Four of five controllers die while a quarter of the backends drains, with a channel that takes 15 s for the
// tables of all that join the fifth, and longer for telling each of them of each drain: they get tables with few
// lines, and all drains are kept at all of them.
func TestTrialCase7AllJoinOneInADrain(t *testing.T) {
	d := Fleet(6, 5)
	d.LinesPerS, d.MaxQueuedLines, d.Grace = 400, 3600, 18*second
	w := New(d)
	w.At(30*second, func() {
		for i := 1; i < 5; i++ {
			w.Kill(i, 25*second, nil)
		}
	})
	for i := range 12 {
		w.At(31500*ms+Time(i/4)*600*ms, func() { w.Drain(d.Backends[4*i+i%4].ID, true) })
	}
	w.Run(54 * second)
	w.kept(t)
}

// Six in ten backends are replaced within 7 s while the list comes late, twice, or as a whole: each of five
// controllers sees a fifth of what is sent, and the sum pushes nothing over.
func TestManyCase4Release(t *testing.T) {
	for seed := range uint64(3) {
		d := Fleet(seed+1, 5)
		d.ListDelay = 600 * ms
		w := New(d)
		w.release(8*second, 7*second, 2, func(i int) bool { return i%5 < 3 })
		for i := range 6 {
			w.At(Time(8500+i*1300)*ms, func() {
				w.AnnounceList()
				b := w.byID["s-01"]
				w.Say(reconcile.List{Revision: w.revision, Members: []reconcile.Member{b.member()}}) // once more
				w.Say(reconcile.SourceFailed{})
			})
		}
		w.Run(30 * second)
		w.kept(t)
		if s := w.all(8, 30).Service(); s < 0.85 {
			t.Errorf("seed %d: service %.3f", seed+1, s)
		}
	}
}

// A zone is lost and comes back cold: what each of five controllers believes to be spare there is not spent five
// times.
func TestManyCase5ZoneComesBack(t *testing.T) { zoneComesBack(t, "nothing") }

// An eighth of the backends errs, or is slow, while a zone comes back cold: that changes nothing in the rules.
func TestTrialCase4BadEighth(t *testing.T) { zoneComesBack(t, "errs", "slow") }

func zoneComesBack(t *testing.T, beside ...string) {
	for _, also := range beside {
		d := Fleet(2, 5)
		for i := range d.Backends {
			if also == "slow" && i%8 == 1 {
				d.Backends[i].Speed /= 4
			}
		}
		w := New(d)
		for i, b := range w.Backends {
			if also == "errs" && i%8 == 1 {
				w.Bad[b.ID] = true
			}
			if b.Zone == 2 {
				w.At(8*second, func() { w.Restart(b.ID, 5*second) })
			}
		}
		w.At(8*second, func() { w.CutZone(2, 5*second) })
		w.Run(30 * second)
		if n := w.Doubled(); n+w.Late+len(w.Tipped) > 0 || w.Backlog > w.MaxQueuedLines {
			t.Errorf("%s: %d doubled, %d late tries, pushed over %v, %.0f lines waited", also, n, w.Late, w.Tipped, w.Backlog)
		}
		if s, want := w.all(22, 30).Service(), map[string]float64{"nothing": 0.95, "errs": 0.8, "slow": 0.8}[also]; s < want {
			t.Errorf("%s: service %.3f once it is back", also, s)
		}
	}
}

// Seven in ten controllers die at once and are back within seconds: proxies are spread over those that live, bring
// the tables of before, and no order that is repeated makes a txn take effect twice.
func TestTrialCase1Herd(t *testing.T) {
	w := New(Fleet(3, 10))
	w.At(10*second, func() {
		for i := range 7 {
			w.Kill(i, Time(2000+i*300)*ms, nil)
		}
	})
	w.release(9*second, 6*second, 2, func(i int) bool { return i%3 == 0 })
	w.Run(30 * second)
	w.kept(t)
	most := 0
	for _, n := range w.Joined() {
		most = max(most, n)
	}
	if most == 0 || most > 160 {
		t.Errorf("joined %v", w.Joined())
	}
	if s := w.all(10, 30).Service(); s < 0.9 {
		t.Errorf("service %.3f", s)
	}
}

// All controllers are restarted one at a time while half of the backends are replaced in steps; in the midst of it
// discovery moves, and the new one tells the whole list.
func TestTrialCase2Roll(t *testing.T) {
	w := New(Fleet(4, 5))
	w.release(8*second, 16*second, 3, func(i int) bool { return i%2 == 0 })
	for i := range 5 {
		w.At(Time(9+3*i)*second, func() { w.Kill(i, 700*ms, nil) })
	}
	w.At(15*second, w.AnnounceList)
	w.Run(36 * second)
	w.kept(t)
	if s := w.all(8, 36).Service(); s < 0.9 {
		t.Errorf("service %.3f", s)
	}
}

// A zone is cut off for 6 s, or a fifth of the backends say nothing, with lists that come late: silence of many at
// once makes nobody take all for dead, no proxy is left without a line, and service is back when it is over.
func TestTrialCase3Silence(t *testing.T) {
	for _, cut := range []bool{true, false} {
		d := Fleet(5, 5)
		d.ListDelay = 2 * second
		w := New(d)
		w.At(10*second, func() {
			if cut {
				w.CutZone(1, 6*second)
			}
			for i, b := range w.Backends {
				w.Hung[b.ID] = !cut && i%5 == 0
			}
		})
		w.At(16*second, func() { clear(w.Hung) })
		w.At(12*second, func() { w.Drain("s-08", true) })
		w.Run(34 * second)
		w.kept(t)
		if s := w.all(26, 34).Service(); s < 0.95 {
			t.Errorf("cut %v: service %.3f ten seconds after it", cut, s)
		}
		for i := range 240 {
			if len(w.Lines(i, 0)) == 0 {
				t.Fatalf("cut %v: proxy %d has no line", cut, i)
			}
		}
	}
}

// The same day on the channel and on streams, with a release, cuts of two in five proxies and a controller that
// dies: service is the same within noise, and every rule is kept.
func TestChannelBesideStreams(t *testing.T) {
	play := func(onChannel bool, seed uint64) *World {
		d := Fleet(seed, 5)
		d.Channel = onChannel
		w := New(d)
		w.release(8*second, 8*second, 2, func(i int) bool { return i%3 == 0 })
		for _, at := range []Time{10, 14, 18} {
			w.At(at*second, func() {
				for i := range 240 {
					if i%5 < 2 {
						w.CutProxy(i)
					}
				}
			})
		}
		w.At(20*second, func() { w.Kill(2, 3*second, nil) })
		w.Run(32 * second)
		w.kept(t)
		return w
	}
	for seed := range uint64(2) {
		a, b := play(false, seed+1), play(true, seed+1)
		one, other := a.all(4, 32).Service(), b.all(4, 32).Service()
		if other < one-0.01 {
			t.Errorf("service %.3f on streams, %.3f on the channel", one, other)
		}
		t.Logf(
			"service %.3f on streams, %.3f on the channel; longest channel %.0f and %.0f lines",
			one,
			other,
			a.Backlog,
			b.Backlog,
		)
	}
}

// The rules of the fleet are seen where they are broken: a proxy that goes on to a drained backend, a channel that
// is written over its limit.
func TestFleetLedger(t *testing.T) {
	d := Fleet(6, 1)
	d.LinesPerS, d.MaxQueuedLines = 40, 1e6 // so slow that a drain comes late
	w := New(d)
	w.At(40*second, func() { w.Drain("s-00", true) })
	w.Run(50 * second)
	if w.Late == 0 || w.Backlog < 1000 {
		t.Errorf("%d late tries, %.0f lines waited", w.Late, w.Backlog)
	}
}

// Case 4 of recovery, a mass restart: all controllers start at once, all proxies rejoin within 2 s with tables of
// before, a tenth of the backends is cold. With what was kept no cold one is pushed over, the channel holds, and
// what was known of slow backends is not learnt again at the clients' cost.
func TestCase4MassRestart(t *testing.T) {
	play := func(from Recall) *World {
		d := Fleet(7, 5)
		d.Recall = from
		for i := range d.Backends {
			if i%8 == 3 {
				d.Backends[i].Size = float64(d.Backends[i].Cores) * d.Backends[i].Speed
				d.Backends[i].Speed /= 3.5
			}
		}
		w := New(d)
		w.At(40*second, func() {
			for i, b := range w.Backends {
				if i%10 == 7 {
					w.Restart(b.ID, second)
				}
			}
			for i := range 5 {
				w.Kill(i, second, nil)
			}
		})
		w.Run(60 * second)
		w.kept(t)
		return w
	}
	cold, kept := play(0).all(41, 60).Service(), play(FromStore).all(41, 60).Service()
	if kept < cold+0.02 || kept < 0.95 {
		t.Errorf("service %.3f with what was kept, %.3f cold", kept, cold)
	}
}
