package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// few are the flows of most stories of the core: enough to see by what the carriers go.
var few = func() []Flow {
	var all []Flow
	for _, f := range Flows {
		f.Rate /= 5
		all = append(all, f)
	}
	return all
}()

// sized is a deployment with so many machines in its core, and as many of them to be borne as a majority leaves.
func sized(n int) Shape {
	return Shape{Zones: Zones, Cores: n, Proxies: 3, Spare: 2, Faults: faultsOf(n)}
}

// night is a story of the core: it is played beside few requests, and afterwards, with all healed, an order must be
// taken and read back, and no rule be broken.
type night struct {
	*testing.T
	*World
	Numbers
}

func play(t *testing.T, seed uint64, shape Shape, f func(n *night)) {
	t.Helper()
	t.Parallel()
	var w *World
	defer func() { sound(t, w) }() // also where the story itself fails
	synctest.Test(t, func(t *testing.T) {
		w = Begin(seed, shape)
		stop := make(chan struct{})
		w.Go(func() { w.LoadUntil(stop, few...) })
		time.Sleep(time.Second)
		n := &night{T: t, World: w}
		f(n)
		n.end()
		close(stop)
		w.Finish()
	})
}

// end waits until all that is to be borne is over, and wants an order to be taken, and to be read from all.
func (n *night) end() {
	w, b := n.World, n.Ledger.Bounds
	time.Sleep(b.CatchUp.Duration() + b.Contact.Duration())
	c := n.Next()
	o := w.Replace(c, true, nil, b.Ack.Duration())
	if o.Acked == 0 {
		n.Errorf("afterwards version %08x is not acknowledged", c.Version)
	}
	w.ReadBack()
}

// order sends the next configuration; it says in the log how long it took.
func (n *night) order(at *Machine) *Order {
	c := n.Next()
	o := n.Replace(c, true, at, n.Ledger.Bounds.Ack.Duration())
	if o.Acked > 0 {
		n.note("%08x acknowledged by %s after %.3f s", c.Version, o.By, (o.Acked - o.At).Seconds())
	} else {
		n.note("%08x not acknowledged", c.Version)
	}
	return o
}

func (n *night) note(format string, args ...any) {
	n.Logf("%8.3f %s", n.Now().Seconds(), fmt.Sprintf(format, args...))
}

// must wants an order to be acknowledged.
func (n *night) must(o *Order) {
	n.Helper()
	if o.Acked == 0 {
		n.Errorf("at %.3f s an order is not acknowledged after %v", n.Now().Seconds(), n.Ledger.Bounds.Ack.Duration())
	}
}

// silentOrNo calls a controller that is cut off: with orders and reads. It may take nothing, say nothing as if it
// held, and refuse nothing for good; it says so at once.
func (n *night) silentOrNo(m *Machine, orders ...*Order) {
	for _, o := range append(orders, nil) {
		began := n.Now()
		status, body, err := n.ask(1, m.control(), o, false)
		what := "a read"
		if o != nil {
			what, _ = o.call()
		}
		switch took := n.Now() - began; {
		case err != nil:
			n.Errorf("%8.3f %s, cut off, says nothing to %s: %v", n.Now().Seconds(), m.Name, what, err)
		case status != 503:
			n.Errorf("%8.3f %s, cut off, says %d to %s: %.60s", n.Now().Seconds(), m.Name, status, what, body)
		case took > 300*time.Millisecond:
			n.Errorf("%8.3f %s, cut off, says so to %s after %v", n.Now().Seconds(), m.Name, what, took)
		}
	}
}

// Guards against a controller that is cut off and goes on: taking, refusing, confirming, reading, handing out, or,
// later, winning with what it began meanwhile. With operators, new carriers, leaving backends and restarts on both
// sides.
func TestCuts(t *testing.T) {
	for _, c := range []struct {
		size, off int
		span      time.Duration
		way       Way
		restart   bool
	}{
		{3, 1, 20 * time.Second, Both, false},
		{3, 1, 60 * time.Second, Both, true},
		{3, 1, 20 * time.Second, Unheard, false},
		{3, 1, 20 * time.Second, Deaf, true},
		{5, 2, 20 * time.Second, Both, true},
		{5, 2, 60 * time.Second, Unheard, false},
		{7, 3, 20 * time.Second, Both, false}, // the seeds
		{7, 3, 20 * time.Second, Deaf, true},
		{2, 1, 20 * time.Second, Both, false},
	} {
		t.Run(fmt.Sprintf("%d of %d, %v, %v, restarts %t", c.off, c.size, c.span, c.way, c.restart), func(t *testing.T) {
			play(t, 20, sized(c.size), func(n *night) {
				w := n.World
				all := w.Cores()
				off, on := all[:c.off], all[c.off:]
				for i, m := range all { // an hour apart
					w.Step(m, time.Duration(i%3-1)*time.Hour)
				}
				time.Sleep(4 * time.Second)
				bs := w.Backends()
				minor := []*Backend{bs[0], bs[4], bs[8]}
				join := w.Split(off, []*Machine{w.Proxies[0], w.Proxies[3]}, minor, c.way)
				n.note("cut")
				halfDone := n.Next() // within the time that it takes to notice
				w.Go(func() { _, _, _ = w.ask(1, off[0].control(), &Order{Config: halfDone}, false) })
				w.Ledger.do(func() {
					w.Ledger.Orders = append(w.Ledger.Orders, &Order{Config: halfDone, Valid: true, At: w.Now(), End: w.Now(), Pen: 1})
				})
				time.Sleep(3500 * time.Millisecond)
				for _, m := range off {
					n.silentOrNo(m, &Order{Config: other(halfDone, 1)}, &Order{Zone: "north", Begin: true})
				}
				if c.size > 2 {
					n.must(n.order(on[0]))
					n.must(w.Evacuate("west", true, on[len(on)-1]))
				}
				w.Run(w.Proxies[3])
				w.Run(w.Proxies[4])
				w.Go(minor[0].Drain)
				w.Go(bs[1].Drain)
				for k := 0; w.Now() < 12*time.Second+c.span; k++ {
					time.Sleep(1500 * time.Millisecond)
					w.AskCores()
					if c.restart && k == 2 {
						w.Kill(off[0])
						time.Sleep(300 * time.Millisecond)
						w.Run(off[0])
					}
					if k%3 == 2 {
						w.Step(all[k%len(all)], time.Duration(k%5-2)*30*time.Minute)
					}
					if k == 1 {
						for _, m := range off {
							if w.runs(m) {
								n.silentOrNo(m, &Order{Config: other(halfDone, 2)})
							}
						}
					}
				}
				if c.size > 2 {
					time.Sleep(4 * time.Second)
					n.must(n.order(on[0]))
				}
				join()
				n.note("healed")
				w.AskCores()
				if c.size > 2 {
					n.must(w.Evacuate("west", false, off[0]))
				}
				n.must(n.order(off[0]))
				time.Sleep(8 * time.Second)
			})
		})
	}
}

// Guards against a second loss after a repair or a replacement that finds no majority, and against old voters that
// think they are in.
func TestReplaced(t *testing.T) {
	catchUp := func(n *night, times float64) {
		time.Sleep(time.Duration(times * float64(n.Ledger.Bounds.CatchUp.Duration())))
	}
	for _, c := range []struct {
		name string
		size int
		play func(n *night)
	}{
		{"one is lost for good, a new one comes, a second is lost at 1.1 catchUpS", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			n.Gone(all[0])
			time.Sleep(2 * time.Second)
			d := n.Successor(all[0], nil)
			catchUp(n, 1.1)
			n.Gone(all[1])
			n.must(n.order(d))
			time.Sleep(time.Second)
			n.Successor(all[1], nil)
		}},
		{"... at 0.9 catchUpS, disk kept", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			n.Gone(all[0])
			time.Sleep(2 * time.Second)
			d := n.Successor(all[0], nil)
			catchUp(n, 0.9)
			n.Power(all[1])
			n.order(d)
			time.Sleep(3 * time.Second)
			n.PowerOn(all[1])
		}},
		{"six are replaced in a row, the settings' seeds all dead but one", 3, func(n *night) {
			var dead []string
			for k := range 6 {
				old := n.Cores()[0]
				dead = append(dead, old.control())
				n.must(n.order(old))
				n.Gone(old)
				time.Sleep(time.Duration(k%3) * time.Second)
				seeds := append(dead[max(0, len(dead)-2):len(dead):len(dead)], n.Cores()[k%2].control())
				n.Successor(old, seeds)
				catchUp(n, 1.1)
			}
		}},
		{"all of five replaced, two at once", 5, func(n *night) {
			for k := range 4 {
				a, b := n.Cores()[0], n.Cores()[1]
				n.must(n.order(nil))
				n.Gone(a)
				n.Gone(b)
				time.Sleep(time.Duration(k%2) * time.Second)
				n.Successor(a, nil)
				time.Sleep(time.Duration(k/2) * time.Second)
				n.Successor(b, nil)
				n.must(n.order(nil))
				catchUp(n, 1.1)
			}
		}},
		{"wiped, back under its name, a second is lost at 1.1 catchUpS", 3, func(n *night) {
			all := n.Cores()
			for k := range 4 {
				a := all[k%3]
				n.must(n.order(a))
				n.Power(a)
				n.Wipe(a)
				time.Sleep(time.Second)
				n.PowerOn(a)
				catchUp(n, 1.1)
			}
		}},
		{"... at 0.9 catchUpS, disk kept", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			n.Power(all[0])
			n.Wipe(all[0])
			time.Sleep(time.Second)
			n.PowerOn(all[0])
			catchUp(n, 0.9)
			n.Power(all[1])
			n.order(all[2])
			time.Sleep(3 * time.Second)
			n.PowerOn(all[1])
		}},
		{"... at 0.9 catchUpS, in the core of two", 2, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			n.Power(all[0])
			n.Wipe(all[0])
			time.Sleep(time.Second)
			n.PowerOn(all[0])
			catchUp(n, 1.1)
			n.must(n.order(all[0]))
			n.Power(all[1])
			n.Wipe(all[1])
			time.Sleep(time.Second)
			n.PowerOn(all[1])
		}},
		{"a new one while another is frozen", 5, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			thaw := n.Frozen(all[1])
			n.Gone(all[0])
			time.Sleep(2 * time.Second)
			n.Successor(all[0], nil)
			n.must(n.order(all[2]))
			time.Sleep(20 * time.Second)
			thaw()
			n.silentOrTrue(all[1])
		}},
		{"... of three", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			thaw := n.Frozen(all[1])
			n.Gone(all[0])
			time.Sleep(2 * time.Second)
			n.Successor(all[0], nil)
			n.order(all[2])
			time.Sleep(5 * time.Second)
			thaw()
			n.silentOrTrue(all[1])
		}},
		{"removed after SIGTERM, the new one first", 3, func(n *night) {
			for range 3 {
				a := n.Cores()[0]
				n.must(n.order(a))
				n.Successor(a, nil)
				catchUp(n, 1.1)
				n.Term(a)
				n.Gone(a)
				time.Sleep(3500 * time.Millisecond)
			}
		}},
		{"removed after SIGTERM, the new one after it", 3, func(n *night) {
			for range 3 {
				a := n.Cores()[0]
				n.must(n.order(a))
				n.Term(a)
				n.Gone(a)
				n.must(n.order(nil))
				time.Sleep(2 * time.Second)
				n.Successor(a, nil)
				catchUp(n, 1.1)
			}
		}},
		{"a SIGTERM of each in turn, restarted", 3, func(n *night) {
			for k := range 6 {
				a := n.Cores()[k%3]
				n.must(n.order(a))
				n.Term(a)
				time.Sleep(time.Second)
				n.World.Run(a)
				catchUp(n, 1.1)
			}
		}},
		{"it leaves while it alone holds a half-done value", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			joins := []func(){n.BadDisk(all[1], true, 0), n.BadDisk(all[2], false, 4*time.Second)}
			c := n.Next()
			n.Go(func() { n.Replace(c, true, all[0], time.Second) })
			time.Sleep(700 * time.Millisecond)
			n.Go(func() { time.Sleep(1500 * time.Millisecond); each(joins) })
			n.Term(all[0])
			n.Gone(all[0])
			n.AskCores()
			time.Sleep(4 * time.Second)
			n.must(n.order(nil))
			n.Successor(all[0], nil)
		}},
		{"it leaves with one of the two copies", 3, func(n *night) {
			all := n.Cores()
			n.Power(all[2])
			n.must(n.order(all[0])) // on the first and the second
			n.PowerOn(all[2])
			n.Term(all[0])
			n.Gone(all[0])
			d := n.Successor(all[0], nil)
			catchUp(n, 1.1)
			n.Gone(all[1])
			n.must(n.order(d))
			n.Successor(all[1], nil)
		}},
		{"a voter that is out wakes and thinks it is in", 3, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			join := n.Isolate(all[0], true)
			time.Sleep(3 * time.Second)
			n.Retire(all[0])
			d := n.Successor(all[0], nil)
			n.must(n.order(d))
			catchUp(n, 1.1)
			n.Power(all[1]) // the old one and another are a majority of the old set
			thawed := n.Frozen(d)
			join()
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				n.Go(func() { _, _, _ = n.ask(1, all[0].control(), nil, false) })
			}
			c := n.Next()
			_, _, _ = n.ask(1, all[0].control(), &Order{Config: c}, false)
			n.Ledger.do(func() {
				n.Ledger.Orders = append(n.Ledger.Orders, &Order{Config: c, Valid: true, At: n.Now(), End: n.Now()})
			})
			thawed()
			time.Sleep(500 * time.Millisecond)
			n.PowerOn(all[1])
		}},
		{"a full disk during a change of voters", 5, func(n *night) { n.changeBeside(true) }},
		{"a disk that hangs during a change of voters", 5, func(n *night) { n.changeBeside(false) }},
		{"a full disk of the three during a change of voters", 3, func(n *night) { n.changeBeside(true) }},
		{"one gone and one asked to leave at once", 5, func(n *night) {
			all := n.Cores()
			n.must(n.order(all[0]))
			n.Go(func() { n.Term(all[1]); n.Gone(all[1]) })
			n.Gone(all[0])
			n.Successor(all[0], nil)
			n.must(n.order(nil))
			time.Sleep(2 * time.Second)
			n.Successor(all[1], nil)
			n.must(n.order(nil))
		}},
	} {
		t.Run(fmt.Sprintf("%d: %s", c.size, c.name), func(t *testing.T) { play(t, 40, sized(c.size), c.play) })
	}
}

// silentOrTrue asks one that wakes, which may say that it does not know; what it reads goes into the history.
func (n *night) silentOrTrue(m *Machine) {
	for range 10 {
		_, _, _ = n.read(m)
		time.Sleep(20 * time.Millisecond)
	}
}

// changeBeside replaces one while another's disk takes nothing.
func (n *night) changeBeside(full bool) {
	all := n.Cores()
	n.must(n.order(all[0]))
	heal := n.BadDisk(all[1], full, 12*time.Second)
	n.Gone(all[0])
	time.Sleep(time.Second)
	n.Successor(all[0], nil)
	time.Sleep(2 * time.Second)
	o := n.order(all[2])
	time.Sleep(10 * time.Second)
	if heal(); len(all) > 3 {
		n.must(o)
	}
	n.must(n.order(nil))
}

// Guards against a change of voters that is half done when power is lost: at each of its writes, before and after
// it lasts, of whichever machine; with its disk and without.
func TestPowerInAChangeOfVoters(t *testing.T) {
	for _, what := range []string{"replaced", "wiped", "leaves"} {
		for k := 1; k <= 10; k++ {
			for _, before := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, write %d, before it lasts %t", what, k, before), func(t *testing.T) {
					play(t, 50, Shape{Zones: Zones, Cores: 5, Proxies: 1, Faults: 2, Backends: 1}, func(n *night) {
						all := n.Cores()
						n.must(n.order(all[0]))
						time.Sleep(time.Second)
						cut := func(of []*Machine) {
							n.AtWrite(of, k, before, func(m *Machine) {
								n.Power(m)
								if k%3 == 0 && m != all[0] && what != "leaves" {
									n.Wipe(m)
								}
								n.Go(func() { time.Sleep(2 * time.Second); n.PowerOn(m) })
							})
						}
						switch what {
						case "replaced":
							n.Gone(all[0])
							cut(all[1:])
							n.Successor(all[0], nil)
						case "wiped":
							n.Power(all[0])
							n.Wipe(all[0])
							cut(all)
							n.PowerOn(all[0])
						case "leaves":
							cut(all)
							n.Term(all[0])
							n.Gone(all[0])
							n.Successor(all[0], nil)
						}
						time.Sleep(5 * time.Second)
						n.must(n.order(nil))
						time.Sleep(2 * time.Second)
					})
				})
			}
		}
	}
}

// Guards against copies that grow with the number of changes, and against a member that comes back after hundreds and
// holds, or leads with, what is old.
func TestManyChanges(t *testing.T) {
	for _, wipe := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wipe), func(t *testing.T) {
			t.Parallel()
			var w *World
			defer func() { sound(t, w) }() // also where the story itself fails
			synctest.Test(t, func(t *testing.T) {
				w = Begin(60, Shape{Zones: Zones, Cores: 3, Proxies: 1, Faults: 1, Backends: 1})
				n := &night{T: t, World: w}
				all, least := w.Cores(), 0
				for k := range 500 {
					switch k {
					case 20:
						_, least = all[0].Disk.Size()
					case 100:
						if w.Power(all[2]); wipe {
							w.Wipe(all[2])
						}
					case 400:
						w.PowerOn(all[2])
					}
					if k%50 == 0 {
						n.must(w.Evacuate("north", k%100 == 0, all[k/50%2]))
					}
					at := all[k%2]
					if o := w.Replace(n.Next(), true, at, w.Ledger.Bounds.Ack.Duration()); o.Acked == 0 {
						t.Fatalf("change %d is not acknowledged", k)
					}
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(w.Ledger.Bounds.CatchUp.Duration())
				for _, m := range all {
					records, size := m.Disk.Size()
					if n.note("%s: %d records, %d bytes", m.Name, records, size); records > 64 || size > 4*least+16<<10 {
						t.Errorf("%s holds %d records of %d bytes after 500 changes, %d after 20", m.Name, records, size, least)
					}
				}
				w.Gone(all[0])
				w.AskCores()
				n.must(n.order(all[2]))
				w.Successor(all[0], nil)
				n.end()
				w.Finish()
			})
		})
	}
}

// Guards against two bodies confirmed under one number, and against an order that was taken, its answer lost, and is
// refused when it comes again.
func TestOneNumber(t *testing.T) {
	same := func(n *night, wait time.Duration, between func(x, y *Order)) {
		w, all := n.World, n.Cores()
		c := n.Next()
		done := make(chan *Order, 2)
		w.Go(func() { done <- w.send(&Order{Config: c, Valid: true}, all[0], 5*time.Second, 0) })
		time.Sleep(wait)
		w.Go(func() {
			done <- w.send(&Order{Config: other(c, 1), Valid: true, Pen: 1}, all[len(all)-1], 5*time.Second, 0)
		})
		x, y := <-done, <-done
		if x.Acked > 0 && y.Acked > 0 {
			n.Errorf("both bodies under %08x are acknowledged", c.Version)
		}
		if x.Acked == 0 && y.Acked == 0 {
			n.Errorf("no body under %08x is acknowledged: %d, %d", c.Version, x.Status, y.Status)
		}
		if x.Acked == 0 {
			x, y = y, x
		}
		if between != nil {
			between(x, y)
		}
	}
	again := func(n *night, x, y *Order) { // at each of the controllers
		for _, m := range n.Cores() {
			if status, _, err := n.ask(0, m.control(), x, false); err != nil || status != 200 {
				n.Errorf("%08x sent again at %s: %d, %v", x.Config.Version, m.Name, status, err)
			}
			if status, _, _ := n.ask(1, m.control(), y, false); status == 200 {
				n.Errorf("%08x with other bytes at %s: %d", x.Config.Version, m.Name, status)
			}
		}
	}
	for _, c := range []struct {
		name string
		play func(n *night)
	}{
		{"in the same moment", func(n *night) {
			for range 8 {
				same(n, 0, func(x, y *Order) { again(n, x, y) })
			}
		}},
		{"a little later", func(n *night) {
			for k := range 12 {
				same(n, time.Duration(k)*time.Millisecond, nil)
			}
		}},
		{"5 s later, repeated at each of the controllers", func(n *night) {
			same(n, 5*time.Second, func(x, y *Order) { again(n, x, y) })
		}},
		{"after a restart of all", func(n *night) {
			same(n, 0, func(x, y *Order) {
				n.killAll(true, time.Second)
				time.Sleep(7 * time.Second)
				again(n, x, y)
			})
		}},
		{"after a higher one", func(n *night) {
			same(n, 0, func(x, y *Order) {
				n.must(n.order(nil))
				for _, m := range n.Cores() {
					if status, _, err := n.ask(0, m.control(), x, false); err != nil || status != 200 {
						n.Errorf("%08x sent again at %s after a higher one: %d, %v", x.Config.Version, m.Name, status, err)
					}
				}
			})
		}},
		{"while one is cut off", func(n *night) {
			join := n.Isolate(n.Cores()[0], true)
			time.Sleep(time.Second)
			same(n, 0, nil)
			join()
			time.Sleep(time.Second)
			same(n, 0, nil)
		}},
		{"its answers are lost", func(n *night) {
			for lost := 1; lost < 5; lost++ {
				n.must(n.send(&Order{Config: n.Next(), Valid: true}, n.Cores()[lost%len(n.Cores())], 6*time.Second, lost))
			}
		}},
	} {
		for _, size := range []int{1, 2, 3, 5} {
			if c.name == "while one is cut off" && size < 3 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", c.name, size), func(t *testing.T) {
				play(t, 70, sized(size), c.play)
			})
		}
	}
}

// Guards against an evacuation that counts twice when it comes again after a lost answer, and against one of two
// operators who sends to what the other still empties.
func TestEvacuationsComeAgain(t *testing.T) {
	begin := func(pen int) *Order { return &Order{Zone: "west", Begin: true, Valid: true, Pen: pen} }
	finish := func(pen int) *Order { return &Order{Zone: "west", Valid: true, Pen: pen} }
	for _, c := range []struct {
		name string
		play func(n *night)
	}{
		{"a begin is repeated to the end of ackS and finished once", func(n *night) {
			n.must(n.send(begin(0), n.Cores()[0], 5*time.Second, 4))
			time.Sleep(7 * time.Second)
			n.must(n.send(finish(0), nil, 5*time.Second, 0))
		}},
		{"a finish is repeated while another's is open", func(n *night) {
			n.must(n.send(begin(0), n.Cores()[0], 5*time.Second, 0))
			time.Sleep(6600 * time.Millisecond)
			n.must(n.send(begin(1), n.Cores()[1], 5*time.Second, 0))
			time.Sleep(6600 * time.Millisecond)
			n.must(n.send(finish(0), n.Cores()[2], 5*time.Second, 4))
			time.Sleep(9 * time.Second) // EVAC shows whether anything goes there
			n.must(n.send(finish(1), nil, 5*time.Second, 0))
		}},
		{"both lose answers, across restarts", func(n *night) {
			n.must(n.send(begin(0), n.Cores()[0], 5*time.Second, 3))
			n.Go(func() { n.killAll(false, 300*time.Millisecond) })
			time.Sleep(6600 * time.Millisecond)
			n.must(n.send(begin(1), n.Cores()[1], 5*time.Second, 3))
			time.Sleep(6600 * time.Millisecond)
			n.Step(n.Cores()[1], time.Hour)
			n.must(n.send(finish(1), n.Cores()[1], 5*time.Second, 3))
			n.Step(n.Cores()[2], -time.Hour)
			time.Sleep(9 * time.Second)
			n.must(n.send(finish(0), n.Cores()[2], 5*time.Second, 3))
		}},
		{"the clocks are an hour apart", func(n *night) {
			for k, m := range n.Cores() {
				n.Step(m, time.Duration(k-1)*time.Hour)
			}
			time.Sleep(4 * time.Second)
			for k := range 3 {
				n.must(n.send(begin(0), n.Cores()[k], 5*time.Second, 2))
				time.Sleep(6600 * time.Millisecond)
				n.must(n.send(finish(0), n.Cores()[(k+1)%3], 5*time.Second, 2))
				time.Sleep(6600 * time.Millisecond)
			}
		}},
		{"its controller dies between the call and its repetition", func(n *night) {
			n.Go(func() {
				time.Sleep(400 * time.Millisecond)
				n.Power(n.Cores()[0])
				time.Sleep(12 * time.Second)
				n.PowerOn(n.Cores()[0])
			})
			n.must(n.send(begin(0), n.Cores()[0], 5*time.Second, 2))
			time.Sleep(7 * time.Second)
			n.must(n.send(finish(0), n.Cores()[1], 5*time.Second, 2))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, 80, sized(3), func(n *night) {
				c.play(n)
				time.Sleep(16 * time.Second) // BACK shows whether the zone is sent to again
			})
		})
	}
}
