package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// story plays one day that is served beside what f does, and holds it against the rules.
func story(t *testing.T, seed uint64, f func(t *testing.T, w *World)) {
	t.Helper()
	t.Parallel()
	var w *World
	defer func() { sound(t, w) }() // also where the story itself fails
	synctest.Test(t, func(t *testing.T) {
		w = Begin(seed, Plain)
		f(t, w)
		w.ReadBack()
		w.Finish()
	})
}

// during plays load while f runs, and for a while after it.
func during(w *World, f func()) {
	stop := make(chan struct{})
	w.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				w.Load(500*time.Millisecond, Flows...)
			}
		}
	})
	time.Sleep(time.Second)
	f()
	time.Sleep(time.Second)
	close(stop)
}

func acked(t *testing.T, o *Order, want bool) {
	t.Helper()
	if (o.Acked > 0) != want {
		t.Errorf("order %+v: acknowledged at %v, want %t", *o, o.Acked, want)
	}
}

// moved sends pages elsewhere: a version whose effect shows.
func moved(version uint32) *Config {
	c := NewConfig(version)
	c.Routes[0].Services = []string{"views"}
	return c
}

// read is the version that a reader gets from each of the controllers that answer.
func read(w *World) (versions []string) {
	for _, m := range w.running(w.Cores()) {
		status, body, err := w.read(m)
		switch {
		case err != nil:
			versions = append(versions, "none")
		case status != 200:
			versions = append(versions, fmt.Sprint(status))
		default:
			versions = append(versions, strings.TrimLeft(strings.Split(string(body), `"`)[3], "0"))
		}
	}
	return versions
}

// Guards against GONE: clients that leave in the middle of their work, some behind unread bytes, while proxies get
// SIGTERM one after the other as in the incident, and one freezes.
func TestClientsThatLeave(t *testing.T) {
	story(t, 44, func(t *testing.T, w *World) {
		flows := slices.Clone(Flows)
		for i := range flows {
			flows[i].Departing = 0.3
		}
		w.Go(func() {
			for _, m := range w.Proxies {
				time.Sleep(2 * time.Second)
				w.Go(func() { w.Term(m); time.Sleep(time.Second); w.Run(m) })
			}
		})
		w.Go(func() { time.Sleep(3 * time.Second); w.Freeze(w.Proxies[2], time.Second) })
		w.Load(14*time.Second, flows...)
		left := 0
		w.Ledger.do(func() {
			for _, y := range w.Ledger.Tries {
				if y.DepartedAt > 0 && len(y.Arrivals) > 0 {
					left++
				}
			}
		})
		if left < 100 {
			t.Errorf("only %d clients left while their request was worked on", left)
		}
	})
}

func TestDrainOutlivesItsAcknowledger(t *testing.T) {
	story(t, 5, func(t *testing.T, w *World) {
		during(w, func() {
			b := w.Backends()[0]
			acknowledger := ""
			w.Go(b.Drain)
			for n := 0; acknowledger == "" && n < 40000; n++ {
				time.Sleep(100 * time.Microsecond)
				w.Ledger.do(func() {
					if l := w.Ledger.Shutdowns; len(l) > 0 {
						acknowledger = l[0].By
					}
				})
			}
			if acknowledger == "" {
				t.Error("the leaving is not acknowledged")
				return
			}
			w.Power(w.Machine(acknowledger))
			at := w.Now()
			time.Sleep(6 * time.Second)
			w.PowerOn(w.Machine(acknowledger))
			time.Sleep(4 * time.Second)
			w.Ledger.do(func() {
				for _, y := range w.Ledger.Tries {
					for _, a := range y.Arrivals {
						if a.Backend == b.ID && a.At > at+time.Second {
							t.Errorf("%s reached %s %v after its leaving was acknowledged", y.ID, b.ID, a.At-at)
						}
					}
				}
			})
		})
	})
}

// Guards against a backend that gets requests again after all processes were killed, or lost power, right after its
// departure was acknowledged: its heartbeat of before, which comes late, must not make it ready (DRAIN).
func TestDepartureOutlivesKillOfAll(t *testing.T) {
	for _, power := range []bool{false, true} {
		for seed := 60; seed < 60+int(fewer(4)); seed++ { // whether it says that it drains is drawn
			t.Run(fmt.Sprint("power lost: ", power, ", seed ", seed), func(t *testing.T) {
				story(t, uint64(seed), func(t *testing.T, w *World) {
					during(w, func() {
						b := w.Backends()[0]
						w.Go(func() {
							b.leave(14*time.Second, func(string) { w.killAll(power, 700*time.Millisecond) })
						})
						time.Sleep(3 * time.Second)
						b.mu.Lock()
						late := b.heartbeatBody("ready", max(b.seq, 1)-1)
						b.mu.Unlock()
						for _, m := range w.Cores() {
							_, _, _ = w.operator.call(m.control(), "instances.heartbeat", b.ID, late)
						}
						time.Sleep(13 * time.Second)
					})
				})
			})
		}
	}
}

// A late beat must not bring back what drains, nor the life before the one that has the address now.
func TestLateBeats(t *testing.T) {
	story(t, 50, func(t *testing.T, w *World) {
		during(w, func() {
			b := w.Backends()[0]
			late := fmt.Appendf(nil, `{"address":%q,"descriptor":{"service":%q,"zone":%q,"capacity":4},`+
				`"observed":{"state":"ready","callSeq":1}}`, b.Address, b.Service, b.Zone)
			w.Go(b.Drain)
			for k := range 30 {
				time.Sleep(300 * time.Millisecond)
				_, _, _ = w.operator.call(w.Cores()[k%3].control(), "instances.heartbeat", b.ID, late)
			}
			// Another service has the address now, and the word of the old life comes once more.
			w.Backend("views", b.Zone, strings.TrimSuffix(b.Address, ":8080"), 4, 50*time.Millisecond, true)
			for k := range 10 {
				time.Sleep(300 * time.Millisecond)
				_, _, _ = w.operator.call(w.Cores()[k%3].control(), "instances.heartbeat", b.ID, late)
			}
		})
	})
}

func TestConfigurations(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, w *World)
	}{
		{"the acknowledger loses power", func(t *testing.T, w *World) {
			acked(t, w.Replace(moved(2), true, w.Cores()[0], time.Second), true)
			time.Sleep(2 * time.Millisecond)
			w.Power(w.Cores()[0])
			time.Sleep(6 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[2 2]" {
				t.Error("read back: ", got)
			}
			w.PowerOn(w.Cores()[0])
			time.Sleep(5 * time.Second)
		}},
		{"... and its disk", func(t *testing.T, w *World) {
			acked(t, w.Replace(moved(2), true, w.Cores()[0], time.Second), true)
			w.Power(w.Cores()[0])
			w.Wipe(w.Cores()[0])
			time.Sleep(500 * time.Millisecond)
			w.PowerOn(w.Cores()[0])
			time.Sleep(3 * time.Second)
			// What it has read again must carry the next loss.
			time.Sleep(w.Ledger.Bounds.CatchUp.Duration())
			w.Power(w.Cores()[1])
			w.Wipe(w.Cores()[1])
			time.Sleep(time.Second)
			w.PowerOn(w.Cores()[1])
			time.Sleep(5 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[2 2 2]" {
				t.Error("read back: ", got)
			}
		}},
		{"a disk that forgot is asked at once", func(t *testing.T, w *World) {
			heal := w.BadDisk(w.Cores()[2], false, 5*time.Second) // it takes no part: the version is on the first and the second
			acked(t, w.Replace(moved(2), true, w.Cores()[0], time.Second), true)
			w.Power(w.Cores()[1])
			w.Wipe(w.Cores()[1])
			join := w.Cut(w.Cores()[0], w.Cores()[1], true) // of those that it reaches none has the version
			time.Sleep(100 * time.Millisecond)
			w.PowerOn(w.Cores()[1])
			for n := range 12 {
				time.Sleep(time.Duration(n) * time.Millisecond)
				if got := fmt.Sprint(read(w)); strings.Contains(got, "1") {
					t.Fatal("read back: ", got)
				}
			}
			join()
			time.Sleep(2 * time.Second)
			heal()
			time.Sleep(3 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[2 2 2]" {
				t.Error("read back: ", got)
			}
		}},
		{"the core is cut in two and both sides are asked", func(t *testing.T, w *World) {
			a, b := w.Cut(w.Cores()[0], w.Cores()[1], true), w.Cut(w.Cores()[0], w.Cores()[2], true)
			time.Sleep(4 * time.Second)
			for _, m := range w.Cores()[:2] {
				status, _, _ := w.ask(0, m.control(), &Order{Config: moved(2)}, false)
				if want := map[string]int{"core-0": 503, "core-1": 200}[m.Name]; status != want {
					t.Errorf("%s answered %d, want %d", m.Name, status, want)
				}
			}
			w.Ledger.do(func() {
				w.Ledger.Orders = append(w.Ledger.Orders, &Order{Config: moved(2), Valid: true, At: w.Now(), Acked: w.Now()})
			})
			time.Sleep(2 * time.Second)
			a()
			b()
			time.Sleep(4 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[2 2 2]" {
				t.Error("read back: ", got)
			}
		}},
		{"two operators at once", func(t *testing.T, w *World) {
			for v := uint32(2); v < 10; v += 2 {
				done := make(chan *Order, 2)
				go func() { done <- w.Replace(moved(v), true, w.Cores()[0], 4*time.Second) }()
				go func() { done <- w.Replace(NewConfig(v+1), true, w.Cores()[1], 4*time.Second) }()
				acked(t, <-done, true)
				acked(t, <-done, true)
			}
			time.Sleep(3 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[9 9 9]" {
				t.Error("read back: ", got)
			}
		}},
		{"an older one again after a newer", func(t *testing.T, w *World) {
			acked(t, w.Replace(moved(3), true, w.Cores()[0], time.Second), true)
			acked(t, w.Replace(NewConfig(2), true, w.Cores()[1], time.Second), true)
			acked(t, w.Replace(NewConfig(1), true, w.Cores()[2], time.Second), true)
			time.Sleep(3 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[3 3 3]" {
				t.Error("read back: ", got)
			}
		}},
		{"a write that f disks took", func(t *testing.T, w *World) {
			// The first holds it alone: nothing may show it before it is safe, and once it has shown it stays.
			heal := []func(){w.BadDisk(w.Cores()[1], true, 0), w.BadDisk(w.Cores()[2], true, 0)}
			acked(t, w.Replace(moved(2), true, w.Cores()[0], 4*time.Second), false)
			w.Kill(w.Cores()[0])
			each(heal)
			acked(t, w.Replace(NewConfig(3), true, w.Cores()[1], 5*time.Second), true)
			w.Run(w.Cores()[0])
			time.Sleep(4 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[3 3 3]" {
				t.Error("read back: ", got)
			}
		}},
		{"invalid ones", func(t *testing.T, w *World) {
			for i, spoil := range []func(c *Config){
				func(c *Config) { c.Routes[0].Services = []string{"nobody"} },
				func(c *Config) { c.Routes[0].TimeoutS = 601 },
				func(c *Config) { c.Routes[0].Prefix = "page/" },
				func(c *Config) { c.Spoilt = string(moved(6).JSON()[:300]) },
			} {
				c := moved(uint32(3 + i))
				spoil(c)
				o := w.Replace(c, false, nil, 3*time.Second)
				if acked(t, o, false); o.Status != 400 {
					t.Errorf("the invalid one %d was answered %d", i, o.Status)
				}
			}
			time.Sleep(2 * time.Second)
			if got := fmt.Sprint(read(w)); got != "[1 1 1]" {
				t.Error("read back: ", got)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			story(t, 6, func(t *testing.T, w *World) { during(w, func() { c.play(t, w) }) })
		})
	}
}

func TestEvacuationAcrossACut(t *testing.T) {
	story(t, 7, func(t *testing.T, w *World) {
		during(w, func() {
			acked(t, w.Evacuate("west", true, w.Cores()[0]), true)
			time.Sleep(6 * time.Second) // EVAC shows whether it is in force
			a, b := w.Cut(w.Cores()[0], w.Cores()[1], true), w.Cut(w.Cores()[0], w.Cores()[2], true)
			time.Sleep(time.Second)
			acked(t, w.Evacuate("west", false, w.Cores()[1]), true)
			time.Sleep(2 * time.Second)
			a()
			b()
			time.Sleep(8 * time.Second)
			from, n := w.Now(), 0
			time.Sleep(4 * time.Second)
			w.Ledger.do(func() {
				for _, y := range w.Ledger.Tries {
					for _, a := range y.Arrivals {
						if a.Zone == "west" && a.At > from {
							n++
						}
					}
				}
			})
			if n < 20 {
				t.Errorf("%d requests came to the zone that was taken back", n)
			}
			// The same order again after its opposite is a new one.
			acked(t, w.Evacuate("west", true, w.Cores()[2]), true)
			time.Sleep(7 * time.Second)
		})
	})
}

func TestDisks(t *testing.T) {
	for name, harm := range map[string]func(w *World, m *Machine) (heal func()){
		"hangs":    func(w *World, m *Machine) func() { return w.BadDisk(m, false, 3*time.Second) },
		"is full":  func(w *World, m *Machine) func() { return w.BadDisk(m, true, 0) },
		"is torn":  func(w *World, m *Machine) func() { w.Power(m); w.Tear(m, 3, true); return func() { w.PowerOn(m) } },
		"is empty": func(w *World, m *Machine) func() { w.Power(m); w.Wipe(m); return func() { w.PowerOn(m) } },
	} {
		t.Run(name, func(t *testing.T) {
			story(t, 8, func(t *testing.T, w *World) {
				during(w, func() {
					m := w.Cores()[1]
					acked(t, w.Replace(moved(2), true, m, 5*time.Second), true)
					heal := harm(w, m)
					o := w.Replace(NewConfig(3), true, w.Cores()[0], 5*time.Second)
					if acked(t, o, true); o.Acked-o.At > 300*time.Millisecond {
						t.Errorf("the others waited %v for one disk", o.Acked-o.At)
					}
					time.Sleep(3 * time.Second)
					heal()
					time.Sleep(5 * time.Second)
					if got := fmt.Sprint(read(w)); got != "[3 3 3]" {
						t.Error("read back: ", got)
					}
				})
			})
		})
	}
}

func TestCarrierCutOffGoesOn(t *testing.T) {
	story(t, 9, func(t *testing.T, w *World) {
		during(w, func() {
			m := w.Proxies[0]
			for _, c := range w.Cores() {
				w.Cut(m, c, true)
			}
			time.Sleep(4 * time.Second)
			from := w.Now()
			fresh := w.Backend("pages", "north", "10.0.1.77", 4, 60*time.Millisecond, true)
			time.Sleep(6 * time.Second)
			served, n := 0, 0
			w.Ledger.do(func() {
				for _, y := range w.Ledger.Tries {
					if y.Proxy != m.Name || y.At < from || y.End == 0 {
						continue
					}
					if n++; y.Status == 200 {
						served++
					}
					for _, a := range y.Arrivals {
						if a.Backend == fresh.ID {
							t.Error("it sent to a backend that it cannot know")
						}
					}
				}
			})
			if n < 20 || served < n*95/100 {
				t.Errorf("the carrier that is cut off served %d of %d", served, n)
			}
		})
	})
}

// seconds is how long after a time until, of the requests sent in a second, that part was served within a second.
func seconds(l *Ledger, from time.Duration, part float64) float64 {
	for at := from; at < from+20*time.Second; at += 100 * time.Millisecond {
		if n, ok := l.Served(at, at+time.Second, time.Second); n > 5 && float64(ok) >= part*float64(n) {
			return (at - from).Seconds()
		}
	}
	return -1
}

func TestLossOfAll(t *testing.T) {
	for name, power := range map[string]bool{"killed": false, "without power": true} {
		t.Run(name, func(t *testing.T) {
			story(t, 10, func(t *testing.T, w *World) {
				var back time.Duration
				during(w, func() {
					acked(t, w.Replace(moved(2), true, nil, 5*time.Second), true)
					w.Ledger.do(func() { w.Ledger.Closing = w.Now() })
					for _, m := range w.Machines {
						if power {
							w.Power(m)
						} else {
							w.Kill(m)
						}
					}
					time.Sleep(time.Second)
					for _, m := range w.Machines {
						w.PowerOn(m)
					}
					back = w.Now()
					time.Sleep(12 * time.Second)
				})
				w.busy.Wait()
				quarter, most := seconds(w.Ledger, back, 0.25), seconds(w.Ledger, back, 0.9)
				t.Logf("served again after %.1f s (a quarter), %.1f s (nine tenths)", quarter, most)
				if quarter < 0 || most < 0 || most > 5 {
					t.Errorf("served again after %.1f s (a quarter), %.1f s (nine tenths)", quarter, most)
				}
			})
		})
	}
}

// raw sends the pieces of a request one after the other, with pauses, and reads the answer; 0: none came.
func raw(w *World, m *Machine, id string, pause time.Duration, pieces ...string) (status int) {
	h := w.Net.Host("10.0.2.50")
	defer h.Kill()
	c, err := h.Dial(context.Background(), m.front(), 0)
	if err != nil {
		return 0
	}
	y := w.Ledger.Add(
		&Attempt{ID: id, Method: "POST", Host: "a.example", Target: "/order/slow", Safe: false, Service: "orders",
			At: w.Now(), Proxy: m.Name, Incarnation: m.incarnation, Timeout: 5 * time.Second},
	)
	_, whole, _ := strings.Cut(strings.Join(pieces, ""), "\r\n\r\n")
	y.Body = sum([]byte(whole))
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
	}
	w.Ledger.do(func() { y.Written = w.Now() })
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	k := &link{end: endOf(c), in: bufio.NewReader(c)}
	if resp, err := http.ReadResponse(k.in, nil); err == nil {
		k.onResponse(w, y, resp)
	}
	w.Ledger.do(func() { y.End = w.Now() })
	return y.Status
}

func slow(id string) []string {
	return []string{"POST /order/slow HTTP/1.1\r\nHost: a.example\r\nX-Elmfold-Attempt-Id: " + id + "\r\n",
		"X-Elmfold-Time-Budget-Ms: 4000\r\nContent-Length: 4\r\n\r\n", "ab", "cd"}
}

// A connection keeps the limits under which its header began; the next one has the new ones.
func TestLimitsChangeMidHeader(t *testing.T) {
	story(t, 11, func(t *testing.T, w *World) {
		m := w.Proxies[0]
		got := make(chan int, 1)
		go func() {
			status := raw(w, m, "mid-header", 900*time.Millisecond, slow("mid-header")...)
			got <- status
		}()
		time.Sleep(300 * time.Millisecond)
		c := NewConfig(2)
		c.Header = 0.5
		acked(t, w.Replace(c, true, nil, time.Second), true)
		if status := <-got; status != 200 {
			t.Errorf("a header that began under 3 s was answered %d", status)
		}
		time.Sleep(time.Second)
		if status := raw(w, m, "slow-header", 900*time.Millisecond, slow("slow-header")...); status == 200 {
			t.Errorf("a header that took 0.9 s under 0.5 s was answered %d", status)
		}
		if status := raw(w, m, "slow-body", 300*time.Millisecond, slow("slow-body")...); status != 200 {
			t.Errorf("a header of 0.3 s and a body of 0.6 s under 0.5 s were answered %d", status)
		}
	})
}

func TestTermWithWork(t *testing.T) {
	story(t, 12, func(t *testing.T, w *World) {
		during(w, func() {
			m := w.Proxies[0]
			got := make(chan int, 1)
			go func() {
				status := raw(w, m, "slow-body", 1100*time.Millisecond, slow("slow-body")...)
				got <- status
			}()
			time.Sleep(200 * time.Millisecond)
			began := w.Now()
			w.Term(m)
			if took := w.Now() - began; took > w.Ledger.Bounds.Grace.Duration()-100*time.Millisecond {
				t.Errorf("it took %v to end", took)
			}
			if status := <-got; status != 200 {
				t.Errorf("a slow body was answered %d", status)
			}
			time.Sleep(time.Second)
			w.Run(m)
			time.Sleep(3 * time.Second)
		})
	})
}

// An address comes back under another service before anybody has said that the life before it is gone.
func TestAddressComesAgain(t *testing.T) {
	story(t, 13, func(t *testing.T, w *World) {
		during(w, func() {
			for _, b := range w.Backends() {
				if b.Service == "pages" {
					w.Go(func() {
						b.Crash()
						time.Sleep(w.Ledger.Bounds.AddrReuse.Duration())
						w.Backend("views", b.Zone, strings.TrimSuffix(b.Address, ":8080"), 4, b.Work, false)
					})
					time.Sleep(300 * time.Millisecond)
				}
			}
			time.Sleep(5 * time.Second)
		})
	})
}

// A zone comes back from an evacuation with cold backends, and a service gets new ones, under full load.
func TestColdReturn(t *testing.T) {
	story(t, 3, func(t *testing.T, w *World) {
		during(w, func() {
			acked(t, w.Evacuate("north", true, w.Cores()[1]), true)
			time.Sleep(6 * time.Second)
			for _, b := range w.Backends() {
				switch {
				case b.Zone == "north":
					w.StartSlow(b, 4*time.Second)
				case b.Service == "views":
					b.Crash()
					w.Backend(b.Service, b.Zone, strings.TrimSuffix(b.Address, ":8080"), 4, b.Work, true)
				}
			}
			acked(t, w.Evacuate("north", false, w.Cores()[2]), true)
			time.Sleep(5 * time.Second)
		})
	})
}

// Half of what a service answers is lost: further tries keep to the budget of all carriers together.
func TestBudgetOfAll(t *testing.T) {
	story(t, 4, func(t *testing.T, w *World) {
		for i, b := range w.Backends() {
			if r := w.Rand("script", uint64(i)); b.Service == "pages" {
				b.script(func(string) Act { return []Act{Proper, Snap, Short}[r.IntN(3)] })
			}
		}
		w.Load(25*time.Second, Flows...)
	})
}

// Backends that do everything wrong: what may run once does, and nobody gets another's answer.
func TestWrongAnswers(t *testing.T) {
	story(t, 2, func(t *testing.T, w *World) {
		for i, b := range w.Backends() {
			r := w.Rand("script", uint64(i))
			b.Script = func(string) Act {
				if r.IntN(6) == 0 {
					return Act(1 + r.IntN(int(Lost)))
				}
				return Proper
			}
		}
		w.Load(10*time.Second, Flows...)
	})
}

// Guards against a carrier that wakes with requests in its sockets and goes by what held before it was frozen: a
// configuration came into force meanwhile. The network stands still in place of the process.
func TestCarrierWakes(t *testing.T) {
	story(t, 11, func(t *testing.T, w *World) {
		during(w, func() {
			m := w.Proxies[0]
			thawed := make(chan time.Duration, 1)
			w.Go(func() {
				w.Freeze(m, 5*time.Second)
				thawed <- w.Now()
			})
			time.Sleep(time.Second)
			acked(t, w.Replace(moved(2), true, w.Cores()[0], time.Second), true)
			from := <-thawed + time.Second
			time.Sleep(5 * time.Second)
			served, n := 0, 0
			w.Ledger.do(func() {
				for _, y := range w.Ledger.Tries {
					if y.Proxy == m.Name && y.At >= from && y.End > 0 {
						if n++; y.Status == 200 {
							served++
						}
					}
				}
			})
			if n < 20 || served < n*95/100 {
				t.Errorf("the carrier that woke served %d of %d", served, n)
			}
		})
	})
}
