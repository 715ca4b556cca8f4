package rollout

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// flaws are planted to show that the checks would see them.
type flaws struct {
	noPromise bool // an acceptor forgets its promise: a halt may be decided after taken
	wipedVote bool // a disk that forgot votes at once
	oldLife   bool // a confirmation counts whatever life sent it
	tooSoon   bool // carriers are told to take what is only offered
}

type hello struct{ life uint64 } // a new life of a carrier, or its first word on a new line

type ballotKey struct {
	version uint64
	at      BallotNumber
}

type accepted struct {
	value Decision
	by    uint64 // acceptors, a bit each
}

// A plain table of what a controller heard of carriers: version 0 is for the life that holds the lease.
type about struct {
	carrier int
	version uint64
}
type heardOf struct{ life, digest uint64 }

// world plays controllers 0..n-1 and carriers n..n+m-1. What is under way stands in queues; the schedule is the
// caller's. Beside it stands a plain model: which ballots have which disks, hence what is chosen, and who confirmed
// to whom.
type world struct {
	n, m     int
	plan     Plan
	flaws    flaws
	st       []*Coordinator
	disks    []map[uint64]Vote
	pend     [][]Action // for the disk
	now      []time.Duration
	car      []*Participant
	life     []uint64 // of all
	queues   [][]any  // from*(n+m)+to
	forgot   []bool   // the disk has no mark that it is whole
	cut      []bool   // this one is alone
	proved   []map[about]heardOf
	ballots  map[ballotKey]accepted
	chosen   map[uint64]Decision
	safe     []Target
	faults   int
	fault    string
	twoLines bool // words of an ended life may come after those of the next
	wipes    int
	shared   uint64 // these are another world's too
}

func name(i int) string { return string(rune('a' + i)) }

func newWorld(n, m, faults int, plan Plan, f flaws) *world {
	w := &world{
		n:      n,
		m:      m,
		plan:   plan,
		flaws:  f,
		faults: faults,
		st:     make([]*Coordinator, n),
		disks:  make([]map[uint64]Vote, n),
		pend:   make([][]Action, n),
		now:    make([]time.Duration, n),
		car:    make([]*Participant, m),
		life:   make([]uint64, n+m),
		queues: make(
			[][]any,
			(n+m)*(n+m),
		),
		cut:     make([]bool, n+m),
		forgot:  make([]bool, n),
		proved:  make([]map[about]heardOf, n),
		ballots: map[ballotKey]accepted{},
		chosen:  map[uint64]Decision{},
	}
	for i := range n + m {
		w.life[i] = uint64(i + 1)
	}
	for i := range m {
		w.car[i] = NewParticipant(w.life[n+i], 6*time.Second)
	}
	for i := range n {
		w.disks[i] = map[uint64]Vote{}
		w.begin(i, true)
	}
	return w
}

func (w *world) zone(k int) string {
	if w.m <= 3 {
		return "z"
	}
	return [...]string{"y", "z"}[k%2]
}

func (w *world) failf(format string, v ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, v...)
	}
}

// begin starts a controller of its disk, with lines to all that are not cut off.
func (w *world) begin(i int, votes bool) {
	founders, disk := []string{}, []Vote{}
	for j := range w.n {
		founders = append(founders, name(j))
	}
	for version := uint64(0); version < 100; version++ {
		if v, has := w.disks[i][version]; has {
			disk = append(disk, v)
		}
	}
	w.st[i] = New(
		Options{
			Self:        name(i),
			Incarnation: w.life[i],
			Voters:      founders,
			MaxFaults:   w.faults,
			Plan:        w.plan,
			IsVoter:     votes,
			Disk:        disk,
		},
	)
	w.pend[i], w.proved[i] = nil, map[about]heardOf{}
	for j := range w.n + w.m {
		if j != i {
			w.link(i, j)
		}
	}
	for _, t := range w.safe {
		w.step(i, BodyStored{t})
	}
}

// link makes the line between a controller and another process anew.
func (w *world) link(i, j int) {
	w.unlink(i, j)
	if w.cut[i] || w.cut[j] || j < w.n && w.st[j] == nil {
		return
	}
	if j < w.n {
		w.step(i, PeerConnected{name(j)})
		w.step(j, PeerConnected{name(i)})
		return
	}
	w.push(j, i, hello{w.life[j]})
	w.carry(j, ControllerConnected{name(i)})
}

func (w *world) unlink(i, j int) {
	*w.queue(i, j), *w.queue(j, i) = nil, nil
	if j < w.n && w.st[j] != nil {
		w.step(i, PeerDisconnected{name(j)})
		w.step(j, PeerDisconnected{name(i)})
		*w.queue(i, j), *w.queue(j, i) = nil, nil
	}
}

func (w *world) queue(from, to int) *[]any { return &w.queues[from*(w.n+w.m)+to] }

func (w *world) push(from, to int, what any) {
	if !w.cut[from] && !w.cut[to] {
		q := w.queue(from, to)
		*q = append(slices.Clip(*q), what)
	}
}

// step hands events to a controller and carries its orders out.
func (w *world) step(i int, events ...Event) {
	w.own(i)
	s := w.st[i]
	if w.flaws.noPromise {
		for _, c := range s.versions {
			c.Promised = BallotNumber{}
		}
	}
	for _, o := range s.Step(w.now[i], events...) {
		switch o := o.(type) {
		case Persist, Drop:
			w.pend[i] = append(slices.Clip(w.pend[i]), o)
		case Send:
			if o.Kind == AcceptRequest {
				w.offered(i, o.Message)
			}
			w.push(i, int(o.To[0]-'a'), o.Message)
		case SendCommand:
			for k := w.n; k < w.n+w.m; k++ {
				if o.Proxy == "" || o.Proxy == name(k) {
					w.push(i, k, CommandReceived{o.Command, o.Target})
				}
			}
		case VersionDecided:
			if chosen, is := w.chosen[o.Version]; !is || chosen != o.Decision {
				w.failf("%s tells %d %+v, chosen is %+v", name(i), o.Version, o.Decision, chosen)
			}
		}
	}
}

// offered checks a value that is offered for the first time against the plain table.
func (w *world) offered(i int, m Message) {
	if w.flaws.tooSoon && m.Value.Committed {
		for k := w.n; k < w.n+w.m; k++ {
			w.push(i, k, CommandReceived{CommandActivate, Target{m.Version, m.Value.Digest}})
		}
	}
	if c := w.st[i].versions[m.Version]; !m.Value.Committed || c == nil || c.proposal.HighestAccepted != (BallotNumber{}) {
		return
	}
	live, have := map[string]int{}, map[string]int{}
	all := 0
	for k, h := range w.proved[i] {
		if k.version > 0 {
			continue
		}
		live[w.zone(k.carrier)]++
		if w.proved[i][about{k.carrier, m.Version}] == (heardOf{h.life, m.Value.Digest}) {
			have[w.zone(k.carrier)]++
			all++
		}
	}
	last := w.plan.Stages[len(w.plan.Stages)-1]
	for zone, n := range live {
		if float64(have[zone]) < last.MinShare*float64(n)-1e-9 {
			w.failf("%s offers taken with %d of %d in %s", name(i), have[zone], n, zone)
		}
	}
	if all == 0 {
		w.failf("%s offers taken with no confirmation", name(i))
	}
}

// carry hands an event to a carrier; bodies and their check come at once.
func (w *world) carry(k int, events ...Event) {
	w.own(k)
	c := w.car[k-w.n]
	before := c.Active()
	for _, o := range c.Step(0, events...) {
		switch o := o.(type) {
		case Fetch:
			w.carry(k, BodyReceived(o))
		case Compile:
			w.carry(k, CompileDone{Target: o.Target})
		case SendConfirmation:
			for i := range w.n {
				if o.To == "" || o.To == name(i) {
					w.push(k, i, Confirmed{name(k), o.Incarnation, o.Target, o.NotReadable})
				}
			}
		case Activate:
			if d := w.chosen[o.Version]; !d.Committed || d.Digest != o.Digest {
				w.failf("%s serves %v, chosen is %+v", name(k), o.Target, d)
			}
		}
	}
	if c.Active().Version < before.Version {
		w.failf("%s went back", name(k))
	}
}

// deliver takes the next of a queue.
func (w *world) deliver(from, to int) {
	w.own(to)
	q := w.queue(from, to)
	what := (*q)[0]
	*q = slices.Clone((*q)[1:])
	switch what := what.(type) {
	case Message:
		w.step(to, MessageReceived{name(from), what})
	case hello:
		w.proved[to][about{carrier: from}] = heardOf{life: what.life}
		w.step(to, LeaseGranted{name(from), w.zone(from), what.life}, ProxyConnected{name(from)})
	case CommandReceived:
		w.carry(to, what)
	case Confirmed:
		if w.proved[to][about{carrier: from}].life == what.Incarnation {
			w.proved[to][about{from, what.Version}] = heardOf{what.Incarnation, what.Digest}
		}
		if w.flaws.oldLife {
			what.Incarnation = w.st[to].leases[name(from)].incarnation
		}
		w.step(to, what)
	}
}

// written lets a controller's disk finish its next record.
func (w *world) written(i int, err error) {
	w.own(i)
	o := w.pend[i][0]
	w.pend[i] = slices.Clone(w.pend[i][1:])
	switch o := o.(type) {
	case Drop:
		delete(w.disks[i], o.Version)
	case Persist:
		if err == nil {
			if w.disks[i][o.Version] = o.Vote; o.Closed {
				w.forgot[i] = false
			}
			if o.Accepted != (BallotNumber{}) && !o.Decided {
				w.accept(i, o.Vote)
			}
		}
		w.step(i, Persisted{o.Seq, err})
	}
}

// accept keeps who has which ballot: a value on enough disks is chosen, for good.
func (w *world) accept(i int, v Vote) {
	key := ballotKey{v.Version, v.Accepted}
	a := w.ballots[key]
	if a.by != 0 && a.value != v.Value {
		w.failf("one ballot with two values: %+v", v)
	}
	a.value, a.by = v.Value, a.by|1<<i
	w.ballots, w.chosen = maps.Clone(w.ballots), maps.Clone(w.chosen)
	w.ballots[key] = a
	if _, agree := w.st[i].Quorums(); bits.OnesCount64(a.by) >= agree {
		if was, is := w.chosen[v.Version]; is && was != v.Value {
			what := ""
			if was.Committed != v.Value.Committed {
				what = ", and one was taken"
			}
			w.failf("two ends of %d: %+v and %+v%s", v.Version, was, v.Value, what)
		}
		w.chosen[v.Version] = v.Value
	}
}

// crash ends a process and starts its next life; wiped: without its disk.
func (w *world) crash(i int, wiped bool) {
	w.own(i)
	w.life[i] += 16
	if i >= w.n {
		w.car[i-w.n] = NewParticipant(w.life[i], 6*time.Second)
		for j := range w.n { // what it had sent may come yet, then its successor speaks
			*w.queue(j, i) = nil
			if w.push(i, j, hello{w.life[i]}); w.twoLines {
				q := w.queue(i, j) // the new line is faster than what the old one still holds
				if last := len(*q) - 1; last > 0 {
					*q = append([]any{(*q)[last]}, (*q)[:last]...)
				}
			}
		}
		return
	}
	if wiped {
		w.wipes++
		w.disks[i] = map[uint64]Vote{}
		w.forgot[i] = !w.flaws.wipedVote
	}
	w.begin(i, !w.forgot[i])
}

// propose makes a version safe, and tells all.
func (w *world) propose(t Target) {
	w.safe = append(w.safe, t)
	for i := range w.n {
		w.step(i, BodyStored{t})
	}
}

// settle lets everything that is under way arrive.
func (w *world) settle() {
	for busy := true; busy && w.fault == ""; {
		busy = false
		for q := range w.queues {
			for len(w.queues[q]) > 0 {
				w.deliver(q/(w.n+w.m), q%(w.n+w.m))
				busy = true
			}
		}
		for i := range w.n {
			for len(w.pend[i]) > 0 {
				w.written(i, nil)
				busy = true
			}
		}
	}
}
