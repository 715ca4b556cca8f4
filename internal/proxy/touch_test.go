package proxy_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

// begin plays a new life of a carrier among controllers, the first of which is in its zone, from its first moment;
// at writes down what it says of itself and what it serves: /alpha/ is in version 1 alone, /beta/ in version 2.
func begin(t *testing.T, cores int, f func(s *stage, at func(string))) {
	t.Helper()
	var out string
	synctest.Test(t, func(*testing.T) {
		s := enter(cores)
		began := time.Now()
		f(s, func(name string) {
			w := httptest.NewRecorder()
			s.carrier.Readiness().ServeHTTP(w, httptest.NewRequest("GET", "http://10.0.0.100:8542/v1/readiness", nil))
			s.note("%.1f s: %s: readiness %d", time.Since(began).Seconds(), name, w.Code)
			for _, path := range []string{"/alpha/", "/beta/"} {
				k, id := s.caller(t), s.id()
				k.send(head("GET", path, id, ""))
				s.note("    GET %s: %s", path, k.hears(id, "GET"))
				_ = k.conn.Close()
			}
		})
		out = s.end()
		s.sound(t)
	})
	autogold.Equal(t, out)
}

var (
	older = conf{version: 1, routes: both("alpha")}
	newer = conf{version: 2, routes: both("beta")}
)

// knows lets a controller begin with a configuration that was in force once, in touch or not.
func (k *core) knows(c conf, apart bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.charter, k.apart = c.register(), apart
}

// served waits until the carrier has a configuration, and writes down when that was, and which one.
func (s *stage) served(t *testing.T) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		var heard [2]string
		for i, path := range []string{"/alpha/", "/beta/"} {
			k, id := s.caller(t), "served"
			k.send(head("GET", path, id, ""))
			heard[i] = k.hears(id, "GET")
			_ = k.conn.Close()
		}
		if !strings.Contains(heard[0], "not ready") {
			s.note("%.2f s later: /alpha/ %s, /beta/ %s", time.Since(began).Seconds(), heard[0], heard[1])
			return
		}
	}
}

// isApart lets a controller be in touch from now on, or not; carriers hear it with their next renewal.
func (k *core) isApart(apart bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apart = apart
}

// Guards against a new life that begins with what a controller that is cut off once heard, though another one in touch
// is there (CONFIG).
func TestNewLifeWaitsForTouch(t *testing.T) {
	begin(t, 3, func(s *stage, at func(string)) {
		s.cores[0].knows(older, true)
		s.cores[1].knows(newer, false)
		s.cores[2].knows(newer, false)
		s.served(t)
		time.Sleep(300 * time.Millisecond)
		at("the near one is apart, two are in touch")
	})
}

// ... though the one in touch is reached only after a while.
func TestNewLifeWaitsForTouchThatComesLate(t *testing.T) {
	begin(t, 3, func(s *stage, at func(string)) {
		s.cores[0].knows(older, true)
		for _, k := range s.cores[1:] {
			k.knows(newer, false)
			s.net.Dark(strings.TrimSuffix(k.who.Address, ":7540"), true)
		}
		time.Sleep(1500 * time.Millisecond)
		at("the near one is apart, the others say nothing")
		for _, k := range s.cores[1:] {
			s.net.Dark(strings.TrimSuffix(k.who.Address, ":7540"), false)
		}
		s.served(t)
		at("the others are there")
	})
}

// Where nobody is in touch, a new life goes on with the newest that was in force once, after maxStartupWait: guards
// against one that serves nothing for as long as the core is away. Being in touch later brings what is newer.
func TestNewLifeWhileNobodyIsInTouch(t *testing.T) {
	begin(t, 3, func(s *stage, at func(string)) {
		s.cores[0].knows(older, true)
		s.cores[1].knows(newer, true)
		s.cores[2].knows(older, true)
		time.Sleep(2600 * time.Millisecond)
		s.cores[0].tell(offer(older.register())) // unasked
		at("all are apart")
		s.served(t)
		at("a little later")
		third := conf{version: 3, routes: append(both("alpha"), both("beta")...)}
		s.cores[2].isApart(false)
		s.cores[2].has(third)
		time.Sleep(1200 * time.Millisecond)
		at("one is in touch and has a third")
	})
}

// A carrier that runs goes on while nobody is in touch: with its configuration, which nothing older replaces, with what
// is newer, and with the tables of the controller that steers it, apart or not.
func TestRunsOnWhileNobodyIsInTouch(t *testing.T) {
	begin(t, 3, func(s *stage, at func(string)) {
		for _, k := range s.cores {
			k.knows(newer, false)
		}
		one := s.backend("beta", "north1", s.works(own))
		time.Sleep(4 * time.Second)
		at("all are in touch")
		for _, k := range s.cores {
			k.isApart(true)
		}
		time.Sleep(5 * time.Second)
		at("nobody is")
		s.cores[2].has(older)
		s.cores[2].tell(offer(older.register()))
		at("one says that something older is in force")
		two := s.backend("beta", "north2", s.works(own))
		s.cores[0].tell(&rpc.Message{RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true,
			Weights: map[string]float64{one.ID: 0, two.ID: 1}}}})
		at("the one that steers, apart as it is, says that all go to the second")
		third := conf{version: 3, routes: append(both("alpha"), both("beta")...)}
		s.cores[2].has(third)
		time.Sleep(time.Second)
		at("one has something newer")
	})
}

// A carrier that is cut off with one controller goes on, steered by that one, apart as it is; what the others decide
// meanwhile it hears once they are there again, and then it does not go back to what the one still holds.
func TestCutOffWithOne(t *testing.T) {
	begin(t, 3, func(s *stage, at func(string)) {
		for _, k := range s.cores {
			k.knows(older, false)
		}
		time.Sleep(4 * time.Second)
		at("all are in touch")
		far := s.cores[1:]
		for _, k := range far {
			s.net.Dark(strings.TrimSuffix(k.who.Address, ":7540"), true)
		}
		s.cores[0].isApart(true)
		time.Sleep(8 * time.Second)
		for _, k := range far {
			k.knows(newer, false)
		}
		at("cut off with the near one")
		s.cores[0].mu.Lock()
		s.note("the near one steers: %v", s.cores[0].steers > 3)
		s.cores[0].mu.Unlock()
		for _, k := range far {
			s.net.Dark(strings.TrimSuffix(k.who.Address, ":7540"), false)
		}
		time.Sleep(2 * time.Second)
		at("it heals")
		s.cores[0].tell(offer(older.register()))
		at("the near one says once more that the older one is in force")
	})
}

// Who steers: the near one, until it has been apart for a while, then another that is in touch; the near one again once
// it has been in touch for a while.
func TestSteeredByWhoIsInTouch(t *testing.T) {
	begin(t, 3, func(s *stage, _ func(string)) {
		for _, k := range s.cores {
			k.knows(newer, false)
		}
		who := func(name string) {
			s.part("%s", name)
			for _, k := range s.cores {
				k.mu.Lock()
				if k.steers > 0 {
					s.note("    %s steers", k.who.Name)
				}
				k.mu.Unlock()
			}
		}
		time.Sleep(5 * time.Second)
		who("all are in touch")
		s.cores[0].isApart(true)
		time.Sleep(1500 * time.Millisecond)
		s.cores[0].isApart(false)
		time.Sleep(4 * time.Second)
		who("the near one was apart for a moment")
		s.cores[0].isApart(true)
		time.Sleep(5 * time.Second)
		who("for longer")
		s.cores[1].isApart(true)
		s.cores[2].isApart(true)
		time.Sleep(5 * time.Second)
		who("all are apart")
		s.cores[0].isApart(false)
		time.Sleep(2 * time.Second)
		who("the near one is in touch")
		time.Sleep(3 * time.Second)
		who("... for a while")
	})
}

// Guards against tables that a controller worked out before it was frozen, or that another one than the one that steers
// sends, or that were meant for an earlier line: the first end the line, so that whole ones come, the others are not
// heard. See docs/control.md, fences.
func TestTablesThatAreOld(t *testing.T) {
	begin(t, 3, func(s *stage, _ func(string)) {
		for _, k := range s.cores {
			k.knows(newer, false)
		}
		near, far := s.cores[0], s.cores[1]
		one, two := s.backend("beta", "north1", s.works(own)), s.backend("beta", "north2", s.works(own))
		time.Sleep(5 * time.Second)
		only := func(b rpc.Endpoint, renewed uint64) *rpc.Message {
			weights := map[string]float64{one.ID: 0, two.ID: 0}
			weights[b.ID] = 1
			return &rpc.Message{
				RoutingTables: []rpc.RoutingTable{{Service: "beta", Full: true, Weights: weights}},
				Lease:         rpc.Lease{LeaseRenewed: renewed},
			}
		}
		lines := func() (n int) {
			near.mu.Lock()
			defer near.mu.Unlock()
			return near.hellos
		}
		to := func(name string) {
			for range 3 {
				k, id := s.caller(t), s.id()
				k.send(head("GET", "/beta/", id, ""))
				k.hears(id, "GET")
				s.note("%s: %s, %d lines so far", name, s.fate(id), lines())
				_ = k.conn.Close()
			}
		}
		near.tell(only(one, 0))
		to("of the one that steers")
		far.tell(only(two, 0))
		to("of another one")
		near.mu.Lock()
		fresh := near.renewed
		near.mu.Unlock()
		near.tell(only(two, fresh+5))
		to("after a renewal that was never sent")
		time.Sleep(5 * time.Second)
		near.mu.Lock()
		old := near.renewed - 4
		near.mu.Unlock()
		near.tell(only(two, old))
		to("after a renewal of 4 s ago")
		time.Sleep(time.Second)
		near.tell(only(two, near.last()))
		to("on the next line")
	})
}

func (k *core) last() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.renewed
}

// Who votes: the highest epoch that was heard counts, whoever says it. A new life has read enough once a majority
// of the voters, and of the old ones while they count, have told it what they hold.
func TestReadsByTheEpoch(t *testing.T) {
	begin(t, 5, func(s *stage, at func(string)) {
		voters := func(of ...int) (all []rpc.Voter) {
			for _, i := range of {
				all = append(all, rpc.Voter{Node: s.cores[i].who, StoreID: "disk of " + s.cores[i].who.Name})
			}
			return all
		}
		for i, k := range s.cores {
			k.knows(newer, false)
			k.mu.Lock()
			if k.settled, k.epoch = i < 2, (&rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}); i == 4 {
				k.epoch = &rpc.Epoch{Number: 4, Voters: voters(2, 3, 4), OldVoters: voters(0, 1, 2)}
			}
			k.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
		at("two of the old voters have told all, and one knows of a change")
		s.cores[3].tell(
			&rpc.Message{
				EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true},
				Consensus:      rpc.Consensus{Epoch: &rpc.Epoch{Number: 3, Voters: voters(0, 1, 2)}},
			},
		)
		at("one of the new ones too, and tells of the old epoch")
		s.cores[4].tell(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
		at("two of the new ones")
	})
}
