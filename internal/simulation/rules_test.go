package simulation

import (
	"fmt"
	"testing"
	"time"

	"elmfold/internal/gateway/bootconfig"
)

// sec is a time of a ledger.
func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sheet is a ledger by hand: one configuration in force since second 1, on which a request at second `at` was served.
type sheet struct{ *Ledger }

func blank() sheet {
	l := NewLedger(bootconfig.Default().Bounds)
	l.Orders = []*Order{{Config: NewConfig(1), Valid: true, At: sec(0.5), Acked: sec(1), By: "core-0", Status: 200}}
	return sheet{l}
}

func (s sheet) try(at float64, safe bool) *Attempt {
	id := fmt.Sprint("t", len(s.Tries))
	t := s.Add(
		&Attempt{ID: id, Method: "GET", Host: "a.example", Target: "/page/1", Safe: safe, Service: "pages", At: sec(at),
			Written: sec(at), Proxy: "edge-0", Incarnation: 1, Timeout: sec(4)},
	)
	s.ran(t, at+0.01, "b1")
	t.Replies = []Reply{{Backend: "b1", Status: 200, Seal: "s" + id, Sum: 7, Complete: true}}
	t.Status, t.Complete, t.Seal, t.AnswerID, t.Sum, t.End = 200, true, "s"+id, id, 7, sec(at+0.1)
	return t
}

// back is a configuration that was read back by a question at a second.
func back(at float64, c *Config) Read {
	return Read{From: sec(at), At: sec(at + 0.01), OK: true, Body: string(c.JSON())}
}

func (s sheet) ran(t *Attempt, at float64, backend string) {
	t.Arrivals = append(t.Arrivals, Arrival{ID: t.ID, At: sec(at), Backend: backend, Service: "pages", Zone: "north",
		Method: t.Method, Target: t.Target, Body: t.Body})
}

// Each rule's breach is planted once, beside the nearest thing that is none.
func TestRulesCatchWhatIsPlanted(t *testing.T) {
	moved := func(version uint32, at, acked float64, service string) *Order {
		c := NewConfig(version)
		c.Routes[0].Services = []string{service}
		return &Order{Config: c, Valid: true, At: sec(at), Acked: sec(acked), By: "core-0"}
	}
	for _, c := range []struct {
		rule  string
		sound func(s sheet) // must pass
		fault func(s sheet) // is put on top, and must be caught
	}{
		{"TWICE", func(s sheet) { s.ran(s.try(5, true), 5.05, "b2") },
			func(s sheet) { s.ran(s.try(5, false), 5.05, "b2") }},
		{"REFUSED", func(s sheet) { s.try(5, false).Status = 502 }, func(s sheet) { s.try(5, false).Status = 503 }},
		{"UNASKED", func(s sheet) { s.Unknown = []Arrival{{ID: "x", Outcome: Misdirected}} },
			func(s sheet) { s.Unknown = []Arrival{{ID: "x", Outcome: Ran}} }},
		{"UNASKED", func(s sheet) { s.try(5, true) }, func(s sheet) { s.try(5, true).Arrivals[0].Target = "/page/./1" }},
		{"OWNER", func(s sheet) { // one after the other, beside each other, and by a grant from just after a heal
			s.Holds = []*Hold{{Backend: "b1", First: 0, Last: 9, Fence: 1, From: sec(1), To: sec(4)},
				{Backend: "b2", First: 0, Last: 9, Fence: 2, From: sec(4), To: sec(9)},
				{Backend: "b3", First: 10, Last: 19, Fence: 3, From: sec(4), To: sec(9)},
				{Backend: "b4", First: 10, Last: 19, Fence: 2, From: sec(5), To: sec(6), Excused: true}}
		}, func(s sheet) {
			s.Holds = append(s.Holds, &Hold{Backend: "b4", First: 19, Last: 30, Fence: 4, From: sec(8.9), To: sec(12)})
		}},
		{"MIXED", func(s sheet) { x := s.try(5, true); x.Sum, x.Complete = 6, false },
			func(s sheet) { s.try(5, true).Sum = 6 }},
		{"MIXED", func(s sheet) { s.try(5, true) }, func(s sheet) { s.try(5, true).Seal = "st0" }},
		{"MIXED", func(s sheet) { s.try(5, true) }, func(s sheet) { s.try(5, true).Replies[0].Status = 500 }},
		{"MIXED", func(s sheet) {}, func(s sheet) { s.Strays = []Stray{{Proxy: "edge-0"}} }},
		{"ROUTE", func(s sheet) { x := s.try(5, true); x.Arrivals[0].Outcome, x.Status = Misdirected, 503 },
			func(s sheet) { s.try(5, true).Arrivals[0].Service = "orders" }},
		{"DRAIN", func(s sheet) {
			s.Shutdowns = []Leave{{"b1", sec(4), "core-0"}}
			s.try(4.4, true).Arrivals[0].At = sec(5.9)
		},
			func(s sheet) { s.try(4.4, true).Arrivals[0].At = sec(6.1) }},
		{"DRAIN", func(s sheet) { // its acknowledger is gone
			s.Shutdowns = []Leave{{"b1", sec(4), "core-0"}}
			s.BeginFault(sec(4.01), "core-0", "power", true)
			s.try(4.4, true)
		}, func(s sheet) { s.try(4.6, true) }},
		{"EVAC", func(s sheet) {
			s.Orders = append(s.Orders, &Order{Zone: "north", Begin: true, At: sec(3), Acked: sec(3.1)},
				&Order{Zone: "north", At: sec(12), Acked: sec(12.1)})
			s.try(8, true)
			s.try(12.05, true)
		}, func(s sheet) { s.try(8.2, true) }},
		{"EVAC", func(s sheet) { // two that overlap
			for _, at := range []float64{3, 5} {
				s.Orders = append(s.Orders, &Order{Zone: "north", Begin: true, At: sec(at), Acked: sec(at + 0.1)},
					&Order{Zone: "north", At: sec(2 * at), Acked: sec(2*at + 0.1)})
			}
			s.try(10.1, true)
		}, func(s sheet) {
			s.try(9, true)
		}},
		{"BUDGET", func(s sheet) {
			for i := range 100 {
				s.ran(s.try(5+float64(i)/100, true), 6.5, "b2")
			}
			for range 100 { // 0.2 of 200 requests and 60 more are allowed
				s.try(6, true)
			}
		}, func(s sheet) { s.ran(s.Tries[150], 6.6, "b2") }},
		{"FAILBACK", func(s sheet) {
			s.Colds = []SlowStart{{Backend: "b1", From: sec(4), To: sec(7), Rate: 4}}
			for i := range 11 {
				s.try(5+float64(i)/20, true)
			}
			s.try(7.5, true)
		}, func(s sheet) { s.try(5.9, true) }},
		{"CONFIG", func(s sheet) { // older than acknowledged
			s.Orders = append(s.Orders, moved(2, 5, 5.1, "views"))
			s.try(7, true)
		}, func(s sheet) { s.try(7.2, true) }},
		{"CONFIG", func(s sheet) { // goes back, though nothing is acknowledged
			s.Orders = append(s.Orders, moved(2, 5, 0, "views"))
			s.try(5.2, true)
			s.try(6, true).Arrivals[0].Service = "views"
			s.try(6.2, true)
			x := s.try(7, true) // another life may
			x.Incarnation = 2
		}, func(s sheet) { s.try(6.4, true) }},
		{"CONFIG", func(s sheet) { // what was refused is in force
			o := moved(2, 5, 0, "views")
			o.Valid, o.Status = false, 400
			s.Orders = append(s.Orders, o)
			s.try(9, true)
		}, func(s sheet) { s.try(9, true).Arrivals[0].Service = "views" }},
		{"CONFIG", func(s sheet) { s.Orders = append(s.Orders, &Order{Config: NewConfig(2), At: sec(5), Status: 400}) },
			func(s sheet) { s.Orders = append(s.Orders, &Order{Config: NewConfig(3), At: sec(5), Acked: sec(5.1)}) }},
		{"CONFIG", func(s sheet) { s.Reads = []Read{back(20, NewConfig(1))} },
			func(s sheet) { s.Reads = []Read{back(20, NewConfig(2))} }},
		{"CONFIG", func(s sheet) { // read back before the end
			s.Orders = append(s.Orders, moved(2, 3, 5, "views"))
			s.EarlyReads = []Read{back(4.9, NewConfig(1)), back(5.1, moved(2, 0, 0, "views").Config)}
		}, func(s sheet) { s.EarlyReads = append(s.EarlyReads, back(5.1, NewConfig(1))) }},
		{"CONFIG", func(s sheet) { // shown, and gone again
			s.Orders = append(s.Orders, moved(2, 3, 0, "views"))
			s.try(4, true).Arrivals[0].Service = "views"
			s.EarlyReads = []Read{back(4, NewConfig(1))}
		}, func(s sheet) { s.EarlyReads = append(s.EarlyReads, back(4.1, NewConfig(1))) }},
		{"LOST", func(s sheet) { s.Closing = sec(15); s.Reads = []Read{back(20, NewConfig(1))} },
			func(s sheet) { s.Orders = append(s.Orders, &Order{Config: NewConfig(2), Valid: true, At: 2, Acked: 3}) }},
		{"LOST", func(s sheet) {
			s.Terms = []Term{{"edge-0", sec(10)}}
			x := s.try(9, true)
			x.Status, x.Complete, x.End = 0, false, sec(9.9)
		}, func(s sheet) {
			x := s.try(10.5, true)
			x.Status, x.Complete, x.End = 0, false, sec(10.9)
		}},
		{"LOST", func(s sheet) { // as the grace ends, a backend may still be at work
			s.Terms = []Term{{"edge-0", sec(10)}}
			x := s.try(12.9, true)
			x.Status, x.Complete, x.End = 0, false, sec(15.1)
		}, func(s sheet) {
			x := s.try(12.9, true)
			x.Status, x.Complete, x.End = 0, false, sec(14.9)
		}},
		{"LOST", func(s sheet) { // ... but not on what was sent long after the SIGTERM
			s.Terms = []Term{{"edge-0", sec(10)}}
		}, func(s sheet) {
			x := s.try(13.1, true)
			x.Status, x.Complete, x.End = 0, false, sec(15.1)
		}},
		{"CONFIG", func(s sheet) { // the core is unsettled, and most of it goes on: the bound is stretched
			s.Core = []CoreState{
				{At: 0, Size: 3, Joined: 3},
				{At: sec(4.9), Size: 3, Joined: 2},
				{At: sec(14), Size: 3, Joined: 2},
			}
			s.Orders = append(s.Orders, moved(2, 5, 5.1, "views"))
			s.try(15, true)
		}, func(s sheet) { s.try(15.2, true) }},
		{"ACKS", func(s sheet) { // in the time in which the core was settled
			s.Faults, s.Core = 1, []CoreState{{At: 0, Size: 3, Joined: 3}, {At: sec(9), Size: 3, Joined: 2}}
			s.Losses = []Loss{{Machine: "core-2", From: sec(9), To: -1}}
			o := moved(2, 5, 0, "views")
			o.End = sec(16.9)
			s.Orders = append(s.Orders, o)
		}, func(s sheet) { s.Orders[1].End = sec(17.1) }},
		{"ACKS", func(s sheet) { // more is lost than is to be borne, until nothing is
			s.Faults, s.Core = 1, []CoreState{
				{At: 0, Size: 5, Joined: 5},
				{At: sec(5), Size: 5, Joined: 3},
				{At: sec(9), Size: 5, Joined: 5},
			}
			s.Losses = []Loss{{Machine: "core-1", From: sec(5), To: sec(9)}, {Machine: "core-2", From: sec(5), To: sec(9)}}
			o := moved(2, 5, 0, "views")
			o.End = sec(17.9)
			s.Orders = append(s.Orders, o)
		}, func(s sheet) { s.Losses[1].To = sec(8); s.Faults = 2 }},
		{"ACKS", func(s sheet) {
			s.Orders = append(s.Orders, &Order{Zone: "north", Begin: true, Valid: true, At: 5, End: 6, Status: 503})
		},
			func(s sheet) { s.Orders[1].Status = 409 }},
		{"DARK", func(s sheet) {
			s.Core = []CoreState{{At: 0, Size: 1, Joined: 1}}
			s.BeginFault(sec(9), "edge-0", "reset", false)(sec(9))
			for i := range 40 {
				s.Requests = append(s.Requests, Request{At: sec(12 + float64(i)/5), End: sec(12.1 + float64(i)/5)})
			}
		}, func(s sheet) { s.FaultSpans = nil }},
		{"BACK", func(s sheet) {
			s.Core = []CoreState{{At: 0, Size: 1, Joined: 1}}
			s.Incarnations = []Incarnation{{"b1", "north", 0, 0}}
			s.Orders = append(s.Orders, &Order{Zone: "north", Begin: true, Valid: true, At: sec(3), Acked: sec(3.1)},
				&Order{Zone: "north", Valid: true, At: sec(12), Acked: sec(12.1)}, &Order{At: sec(40)})
			for i := range 70 {
				s.try(23+float64(i)/20, true)
			}
			for _, x := range s.Tries[1:] {
				x.Arrivals[0].Zone = "south"
			}
		}, func(s sheet) { s.Tries[0].Arrivals[0].Zone = "south" }},
		{"LOST", func(s sheet) { // but not where more disks were lost than are to be borne
			s.Closing, s.Reads, s.Faults = sec(15), []Read{back(20, NewConfig(1))}, 1
			s.Orders = append(s.Orders, &Order{Config: NewConfig(2), Valid: true, At: 2, Acked: 3})
			s.Losses = []Loss{{Machine: "core-0", Disk: true, From: sec(15), To: sec(16)},
				{Machine: "core-1", Disk: true, From: sec(19.9), To: sec(20)}}
		}, func(s sheet) { s.Losses[1].From = sec(20.1) }},
		{"LOST", func(s sheet) { // ... one of them while nobody could make the other good
			s.Closing, s.Reads, s.Faults = sec(20.5), []Read{back(25, NewConfig(1))}, 1
			s.Orders = append(s.Orders, &Order{Config: NewConfig(2), Valid: true, At: 2, Acked: 3})
			s.Losses = []Loss{{
				Machine: "core-0",
				Disk:    true,
				From:    sec(15),
				To:      sec(16),
			}, {Machine: "core-1", From: sec(15.5), To: sec(18)},
				{Machine: "core-2", Disk: true, From: sec(20.5), To: sec(21)}}
		}, func(s sheet) { s.Losses[1].From, s.Losses[1].To = sec(1), sec(2) }},
		{"GONE", func(s sheet) { // worked on for nobody
			x := s.try(5, true)
			x.DepartedAt, x.Arrivals[0].End, x.Arrivals[0].Severed = sec(5.1), sec(5.2), true
			x = s.try(6, false) // once only: it may go on
			x.DepartedAt, x.Arrivals[0].End = sec(6.1), sec(9)
		}, func(s sheet) {
			x := s.try(7, true)
			x.DepartedAt, x.Arrivals[0].End = sec(7.1), sec(7.7)
		}},
		{"GONE", func(s sheet) { // sent after its client has left
			s.BeginFault(sec(4), "edge-1", "freeze", false)(sec(9))
			x := s.try(5, true)
			x.DepartedAt, x.Proxy, x.Arrivals[0].At, x.Arrivals[0].End = sec(5.1), "edge-1", sec(8), sec(8.1)
		}, func(s sheet) {
			x := s.try(7, false)
			x.DepartedAt, x.Arrivals[0].At, x.Arrivals[0].End = sec(7.1), sec(7.7), sec(7.8)
		}},
		{"GONE", func(s sheet) { s.try(5, false).Arrivals[0].End = sec(5.2) },
			func(s sheet) { // once only, and broken off
				x := s.try(7, false)
				x.DepartedAt, x.Arrivals[0].End, x.Arrivals[0].Severed = sec(7.1), sec(7.11), true
			}},
		{"GONE", func(s sheet) { // once only, and ended with its time of 4 s
			x := s.try(5, false)
			x.DepartedAt, x.Arrivals[0].End, x.Arrivals[0].Severed = sec(5.1), sec(9), true
		}, func(s sheet) {
			x := s.try(7, false)
			x.DepartedAt, x.Arrivals[0].End, x.Arrivals[0].Severed = sec(7.1), sec(10.999), true
		}},
		{"BUDGET", func(s sheet) { // time handed on
			x := s.try(5, true)
			x.Budget, x.Arrivals[0].Budget = sec(4), sec(4)
			s.ran(x, 6, "b2")
			x.Arrivals[1].Budget = sec(3.4)
		}, func(s sheet) { s.Tries[0].Arrivals[1].Budget = sec(3.6) }},
		{"BUDGET", func(s sheet) {
			x := s.try(5, true)
			x.Budget, x.Arrivals[0].Budget = sec(4), sec(4.4)
		}, func(s sheet) { s.Tries[0].Arrivals[0].Budget = sec(4.6) }},
		{"BUDGET", func(s sheet) {
			x := s.try(5, true)
			x.Budget, x.Arrivals[0].Budget = sec(4), sec(4)
		}, func(s sheet) { s.Tries[0].Arrivals[0].Budget = 0 }},
		{"BUDGET", func(s sheet) { // backends in one try
			for range 4 {
				x := s.try(5, true)
				s.ran(x, 5.1, "b2")
				s.ran(x, 5.2, "b3")
				s.ran(x, 5.2, "b1")
				x.Arrivals[2].Outcome = Shed
			}
		}, func(s sheet) {
			for _, x := range s.Tries {
				x.Arrivals[2].Outcome = Ran
			}
		}},
		{"BUDGET", func(s sheet) { // ... those that ended do not count
			s.Incarnations = []Incarnation{{Backend: "b3", Zone: "north", From: sec(0), To: sec(6)}}
			for range 4 {
				x := s.try(5, true)
				s.ran(x, 5.1, "b2")
				s.ran(x, 5.2, "b3")
			}
		}, func(s sheet) { s.Incarnations[0].To = 0 }},
		{"CONFIG", func(s sheet) { // answered at the route's timeout
			for i := range 28 {
				x := s.try(5+float64(i), true)
				x.Budget, x.Arrivals[0].Budget, x.End = sec(9), sec(4), x.At+sec(4.1)
				if i < 7 {
					x.End = x.At + sec(4.6)
				}
			}
		}, func(s sheet) { s.Tries[7].End += sec(0.6) }},
		{"DENIED", func(s sheet) {
			for range 5 {
				x := s.try(5, true)
				x.Arrivals, x.Replies, x.Status, x.Seal = nil, nil, 404, ""
			}
		}, func(s sheet) {
			x := s.try(5, true)
			x.Arrivals, x.Replies, x.Status, x.Seal = nil, nil, 400, ""
		}},
	} {
		s := blank()
		c.sound(s)
		if got := Check(s.Ledger); len(got) > 0 {
			t.Errorf("%s: caught what is none: %v", c.rule, got)
		}
		c.fault(s)
		if got := Check(s.Ledger); len(got) != 1 || got[0].Rule != c.rule {
			t.Errorf("%s was planted, caught: %v", c.rule, got)
		}
	}
}
