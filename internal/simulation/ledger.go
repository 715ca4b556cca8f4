package simulation

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"elmfold/internal/gateway/bootconfig"
)

// Ledger is all that clients, backends and the operator saw, and what was done to the machines. Times are since the
// world began.
type Ledger struct {
	mu           sync.Mutex
	Bounds       bootconfig.Bounds
	Revert       time.Duration // revertSlackS
	Tries        []*Attempt
	byID         map[string]*Attempt
	Unknown      []Arrival // of ids that no client sent
	Strays       []Stray
	Colds        []SlowStart
	Shutdowns    []Leave
	Orders       []*Order
	Reads        []Read
	EarlyReads   []Read // answers before the day's end
	Calls        []*Call
	Incarnations []Incarnation
	FaultSpans   []FaultSpan
	Core         []CoreState
	Losses       []Loss
	Faults       int // machineFaults
	Terms        []Term
	Requests     []Request // of clients, with their further tries
	Holds        []*Hold
	KeyRuns      []KeyRun
	Closing      time.Duration
}

// Request is what a client wanted, whatever tries it took.
type Request struct {
	Flow    string
	At, End time.Duration
	Served  bool
}

// Served counts the requests that were sent in a span, and those of them that ended in a success within a time.
func (l *Ledger) Served(from, to, within time.Duration) (asked, served int) {
	return l.ServedOf("", from, to, within)
}

// ServedOf is Served for one flow; "": for all.
func (l *Ledger) ServedOf(flow string, from, to, within time.Duration) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.Requests {
		if r.At >= from && r.At < to && (flow == "" || r.Flow == flow) {
			if asked++; r.Served && r.End-r.At <= within {
				served++
			}
		}
	}
	return asked, served
}

// Attempt is one request on the wire.
type Attempt struct {
	ID, Method, Host, Target string
	Body                     uint64 // sum of it
	Safe                     bool
	Service                  string // where the operator sends such requests first; for the budget
	At, Written              time.Duration
	Proxy                    string // the machine that took it
	Incarnation              int    // ... and which of its processes
	Arrivals                 []Arrival
	Replies                  []Reply

	End        time.Duration
	Status     int  // of the answer; 0: none came
	Complete   bool // the answer came to its end
	Seal       string
	AnswerID   string
	Sum        uint64        // of the answer's body
	GaveUp     bool          // the client would not wait any longer
	DepartedAt time.Duration // the client closed its connection before the answer; 0: it did not
	Timeout    time.Duration // the route's, or Budget if that is shorter
	Budget     time.Duration // that the client gave
}

// Arrival is a request at a backend.
type Arrival struct {
	ID             string
	At             time.Duration
	Backend        string // its id
	Service, Zone  string
	From           string // ip
	Outcome        Outcome
	Method, Target string
	Body           uint64
	End            time.Duration // of the run; 0: it goes on, or there was none
	Severed        bool          // ... which ended with its connection, before the work was done
	Budget         time.Duration // that was handed on; 0: none
}

// Outcome is what a backend did with it.
type Outcome uint8

// Outcomes.
const (
	Ran Outcome = iota
	Shed
	Misdirected
)

// Reply is what a backend said to a request it ran.
type Reply struct {
	Backend  string
	Status   int
	Seal     string
	Sum      uint64
	Complete bool // as the backend sent it
}

// Stray is bytes that a client got while no request of its waited on the connection.
type Stray struct {
	At    time.Duration
	Proxy string
}

// SlowStart is a span in which a backend was cold.
type SlowStart struct {
	Backend  string
	From, To time.Duration // To 0: until the end
	Rate     float64
}

// Leave is the acknowledgement of a backend's word that it drains or is gone.
type Leave struct {
	Backend string
	At      time.Duration
	By      string // the controller's machine
}

// Order is a call of the operator, until its clear answer.
type Order struct {
	Config *Config // a configuration, else
	Zone   string  // an evacuation,
	Begin  bool    // its begin or its end
	Valid  bool    // of a configuration
	At     time.Duration
	Acked  time.Duration // 0: not
	End    time.Duration // of its last call; 0: it goes on
	Pen    int           // which of the operators
	By     string        // the controller's machine
	Status int           // of the clear answer; 0: none came
}

// Read is a configuration read back; the question began at From.
type Read struct {
	At   time.Duration
	OK   bool
	Body string
	From time.Duration
}

// Call is one of an operator's calls: of an order, which may take several, or a read.
type Call struct {
	Kind    string // as it is called
	Of      string // a zone
	Version uint32
	Sum     uint64 // of the body that was sent
	At, End time.Duration
	Status  int    // 0: the answer did not come
	Got     uint64 // sum of what was read
	By      string // the controller's machine
}

// FaultSpan is what was done to a machine.
type FaultSpan struct {
	Machine  string
	What     string
	From, To time.Duration // To -1: it has not ended
}

// Incarnation is one of a backend. It ends as it begins to leave.
type Incarnation struct {
	Backend, Zone string
	From, To      time.Duration // To 0: it goes on
}

// Term is a SIGTERM.
type Term struct {
	Machine string
	At      time.Duration
}

// NewLedger makes an empty one.
func NewLedger(b bootconfig.Bounds) *Ledger {
	return &Ledger{Bounds: b, Revert: 250 * time.Millisecond, byID: map[string]*Attempt{}, Closing: -1}
}

// Add begins a try.
func (l *Ledger) Add(t *Attempt) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Tries = append(l.Tries, t)
	l.byID[t.ID] = t
	return t
}

// Arrive notes a request at a backend.
func (l *Ledger) Arrive(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[a.ID]; t != nil {
		t.Arrivals = append(t.Arrivals, a)
	} else {
		l.Unknown = append(l.Unknown, a)
	}
}

// Reply notes what a backend said.
func (l *Ledger) Reply(id string, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		t.Replies = append(t.Replies, r)
	}
}

// do changes it under its lock.
func (l *Ledger) do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// BeginFault notes a moment or the beginning of a span; the function ends it. Core: it unsettles the core as it begins.
func (l *Ledger) BeginFault(at time.Duration, machine, what string, core bool) (end func(at time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := len(l.FaultSpans)
	l.FaultSpans = append(l.FaultSpans, FaultSpan{Machine: machine, What: what, From: at, To: -1})
	if core {
		l.Core = append(l.Core, CoreState{At: at, Size: 1, Joined: 1})
	}
	return func(at time.Duration) { l.do(func() { l.FaultSpans[k].To = at }) }
}

func (t FaultSpan) meets(from, to time.Duration) bool {
	return t.From <= to && (t.To < 0 || t.To >= from)
}

// HasQuorum says whether a machine was so at every moment of a span.
func (l *Ledger) HasQuorum(machine string, from, to time.Duration) bool {
	return l.isCalm(from, to) && l.untroubled(machine, from-l.Bounds.Contact.Duration(), to)
}

// isCalm says whether the core was so at every moment of a span: more than half of it runs, each reaching the others,
// and nothing was done to it in the contactS before.
func (l *Ledger) isCalm(from, to time.Duration) bool {
	k := l.before(from - l.Bounds.Contact.Duration())
	return (k == len(l.Core) || l.Core[k].At > to) && (k == 0 || 2*l.Core[k-1].Joined > l.Core[k-1].Size)
}

// before is the number of the core's states before a time.
func (l *Ledger) before(at time.Duration) int {
	k, _ := slices.BinarySearchFunc(l.Core, at, func(s CoreState, at time.Duration) int { return cmp.Compare(s.At, at) })
	return k
}

// most says whether more than half of the core ran and was connected at every moment of a span.
func (l *Ledger) most(from, to time.Duration) bool {
	for k := max(l.before(from)-1, 0); k < len(l.Core) && l.Core[k].At <= to; k++ {
		if 2*l.Core[k].Joined <= l.Core[k].Size {
			return false
		}
	}
	return true
}

// Span is a stretch of time.
type Span struct{ From, To time.Duration }

// forever is later than all.
const forever = time.Duration(1<<63 - 1)

// beyond are the stretches in which more was lost than is to be borne, up to when nothing is; and the moment from which
// more disks were lost than that, so that nothing acknowledged need be there any more.
func (l *Ledger) beyond() (spans []Span, disks time.Duration) {
	disks = forever
	catchUp := l.Bounds.CatchUp.Duration()
	var moments []time.Duration
	for _, x := range l.Losses {
		if moments = append(moments, x.From); x.To >= 0 {
			moments = append(moments, x.To, x.To+catchUp)
		}
	}
	slices.Sort(moments)
	over := false
	var held []string // disks that were lost, and that nobody could make good while more was lost than is to be borne
	for _, at := range slices.Compact(moments) {
		var lost, gone []string
		for _, x := range l.Losses {
			if x.counts(at, catchUp) {
				if lost = append(lost, x.Machine); x.Disk {
					gone = append(gone, x.Machine)
				}
			}
		}
		n := distinct(lost)
		if over || n > l.Faults {
			held = append(held, gone...)
		}
		if n == 0 {
			held = nil
		}
		d := distinct(append(gone, held...))
		if d > l.Faults {
			disks = min(disks, at)
		}
		switch {
		case !over && n > l.Faults:
			over = true
			spans = append(spans, Span{at, forever})
		case over && n == 0:
			over = false
			spans[len(spans)-1].To = at
		}
	}
	return spans, disks
}

func distinct(all []string) int {
	slices.Sort(all)
	return len(slices.Compact(all))
}

// owed are the stretches in which the system is to do all that it can: the core is settled, and no more is lost than is
// to be borne.
func (l *Ledger) owed(to time.Duration) (all []Span) {
	spans, disks := l.beyond()
	contact := l.Bounds.Contact.Duration()
	for k, s := range l.Core {
		till := to
		if k+1 < len(l.Core) {
			till = l.Core[k+1].At
		}
		from := s.At + contact + time.Nanosecond
		if 2*s.Joined <= s.Size || from >= till {
			continue
		}
		for _, b := range spans {
			if b.From <= from && b.To > from {
				from = b.To
			} else if b.From > from && b.From < till {
				till = b.From
			}
		}
		if till = min(till, disks); from < till {
			all = append(all, Span{from, till})
		}
	}
	return all
}

// calm says that nothing unplanned befell a machine in a span.
func (l *Ledger) calm(machine string, from, to time.Duration) bool {
	return !slices.ContainsFunc(l.FaultSpans, func(t FaultSpan) bool {
		return t.Machine == machine && t.What != "term" && t.meets(from, to)
	})
}

// Config is a configuration as the operator means it.
type Config struct {
	Version  uint32
	Routes   []Route
	Services []string
	Sharded  []string // of Services: those that are divided by key
	Header   float64  // headerTimeoutS; 0: 3
	Idle     float64  // idleTimeoutS; 0: 15
	Spoilt   string   // replaces the body: what an invalid one says
}

// Route is one of them.
type Route struct {
	Host, Prefix string
	Safe         bool
	Services     []string // with equal shares
	TimeoutS     float64
	MaxTries     int
}

// route is the one that a request falls to.
func (c *Config) route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	var best *Route
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = &c.Routes[i]
		}
	}
	return best
}

// allows says whether the configuration lets a request go to a service; "": it answers 404 to it.
func (c *Config) allows(host, target, service string) bool {
	r := c.route(host, target)
	if r == nil || service == "" {
		return r == nil && service == ""
	}
	return slices.Contains(r.Services, service)
}

func sum(b []byte) uint64 { return xxh3.Hash(b) }
