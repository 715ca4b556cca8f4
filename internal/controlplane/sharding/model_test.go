package sharding

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"elmfold/internal/controlplane/consensus"
)

// The model plays assigners, their registers, the network and the endpoints in virtual time. It checks at each grant
// that no other endpoint that is up holds one of its keys.

const (
	modelDelay = 2 * time.Millisecond // of a message, one way
	modelEnd   = 20 * time.Second
	modelDrift = 1.02 // of the endpoints' clocks
	// A call that the network delivers as late as it may.
	latestDelivery = DeliveryTimeout + arrivalSlack
)

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) } //nolint:forcetypeassert // the queue's type
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelWorld is one run of the model.
type modelWorld struct {
	now       time.Duration
	queue     modelQueue
	seq       int
	nodes     []*modelNode
	endpoints []*modelEndpoint
	registers map[string]*modelRegister
	bugs      injectedBugs
	faults    []*modelFault
	log       []string
	broken    []string // violations of the invariant
	grants    int
}

type modelRegister struct {
	value       consensus.Register
	committedAt time.Duration
}

// modelNode is one control-plane node.
type modelNode struct {
	world       *modelWorld
	name        string
	assigner    *Assigner
	incarnation uint64
	startedAt   time.Duration
	leaseUntil  time.Duration // by the node's clock
	down        bool
	frozenUntil time.Duration
	wakeAt      time.Duration
	// freezeAt, if set, freezes the node for a span just after its next action of a kind: "grant" or "table".
	freezeAt   string
	freezeSpan time.Duration
	unread     map[string]*modelAnswer // by address: what is unread on a connection that is kept
}

// modelAnswer is an answer of an endpoint.
type modelAnswer struct {
	result  CallResult
	handoff string
}

// modelEndpoint is one address, and the life of an endpoint that has it.
type modelEndpoint struct {
	world   *modelWorld
	id      string
	address string
	life    int
	down    bool
	usable  bool
	holds   []modelHold
	fences  []modelHold // highest fences seen, by range
}

type modelHold struct {
	Range
	fence uint64
	until time.Duration
}

// modelFault is a fault that lasts for a span.
type modelFault struct {
	kind     string
	from, to time.Duration
	node     *modelNode     // nil: the one that is active at the start
	endpoint *modelEndpoint // that it concerns
}

func (w *modelWorld) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, modelEvent{w.now + d, w.seq, do})
}

func (w *modelWorld) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// suffers reports whether a fault of a kind is in progress for a node or an endpoint (either may be nil).
func (w *modelWorld) suffers(kind string, n *modelNode, e *modelEndpoint) bool {
	return slices.ContainsFunc(w.faults, func(f *modelFault) bool {
		return f.kind == kind && f.from <= w.now && w.now < f.to &&
			(n == nil || f.node == nil || f.node == n) && (e == nil || f.endpoint == nil || f.endpoint == e)
	})
}

func newModel(bugs injectedBugs) *modelWorld {
	w := &modelWorld{registers: map[string]*modelRegister{}, bugs: bugs}
	for _, name := range []string{LeaseRegister, TableRegister} {
		w.registers[name] = &modelRegister{value: consensus.Register{Name: name}}
	}
	for i := range 3 {
		e := &modelEndpoint{world: w, address: fmt.Sprintf("10.0.0.%d:80", i), usable: true}
		w.endpoints = append(w.endpoints, e)
		e.newLife()
	}
	for i := range 2 {
		n := &modelNode{world: w, name: fmt.Sprintf("node-%d", i)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// run plays the model to its end.
func (w *modelWorld) run() {
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(modelEvent) //nolint:forcetypeassert // the queue's type
		if next.at > modelEnd {
			return
		}
		w.now = next.at
		next.do()
	}
}

// Nodes.

func (n *modelNode) start() {
	n.incarnation++
	n.startedAt, n.down, n.leaseUntil = n.world.now, false, 0
	n.unread = map[string]*modelAnswer{}
	n.assigner = New(Options{
		Node:        n.name,
		StoreID:     "disk of " + n.name,
		Incarnation: n.incarnation<<8 | uint64(n.name[len(n.name)-1]),
		Rank:        int(n.name[len(n.name)-1] - '0'),
		Heartbeat:   100 * time.Millisecond,
		bugs:        n.world.bugs,
	})
	n.assigner.SetServices([]string{"s"})
	n.assigner.Observe(n.clock(), n.world.registers[LeaseRegister].value)
	n.listEndpoints()
	n.wake()
}

// clock is the node's monotonic clock.
func (n *modelNode) clock() time.Duration { return n.world.now - n.startedAt + time.Millisecond }

// whenRunning runs f now, or when the node thaws; never if its process has ended by then.
func (n *modelNode) whenRunning(f func()) {
	incarnation := n.incarnation
	if n.down {
		return
	}
	if wait := n.frozenUntil - n.world.now; wait > 0 {
		n.world.after(wait, func() {
			if n.incarnation == incarnation {
				n.whenRunning(f)
			}
		})
		return
	}
	f()
}

func (n *modelNode) later(d time.Duration, f func()) {
	incarnation := n.incarnation
	n.world.after(d, func() {
		if n.incarnation == incarnation {
			n.whenRunning(f)
		}
	})
}

func (n *modelNode) wake() {
	next := max(n.assigner.NextDeadline()-n.clock(), time.Millisecond)
	at := n.world.now + next
	if n.wakeAt > n.world.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	n.later(next, func() { n.step() })
}

func (n *modelNode) step(events ...Event) {
	for _, action := range n.assigner.Step(n.clock(), events...) {
		switch a := action.(type) {
		case LeaseExtended:
			n.leaseUntil = a.Until
			n.world.checkLeases()
		case Propose:
			n.propose(a)
		case Call:
			n.call(a)
		}
	}
	n.wake()
}

func (n *modelNode) listEndpoints() {
	var all []Endpoint
	for _, e := range n.world.endpoints {
		all = append(all, Endpoint{ID: e.id, Service: "s", Address: e.address, Capacity: 1, IsUsable: e.usable})
	}
	n.assigner.SetEndpoints(n.clock(), all)
}

// freezeAfter freezes the node if it is to freeze after an action of a kind.
func (n *modelNode) freezeAfter(kind string) {
	if n.freezeAt == kind {
		n.freezeAt = ""
		n.frozenUntil = n.world.now + n.freezeSpan
		n.world.logf("%s freezes after %s", n.name, kind)
	}
}

// checkLeases notes if two nodes hold the lease at once.
func (w *modelWorld) checkLeases() {
	held := 0
	for _, n := range w.nodes {
		if !n.down && n.clock() < n.leaseUntil {
			held++
		}
	}
	if held > 1 {
		w.broken = append(w.broken, fmt.Sprintf("%.3f s: two nodes hold the lease", w.now.Seconds()))
	}
}

// propose decides a change of a register.
func (n *modelNode) propose(p Propose) {
	w := n.world
	if p.Register == TableRegister {
		n.freezeAfter("table")
	}
	done := func(outcome consensus.Outcome, value consensus.Register) {
		n.later(modelDelay, func() { n.step(Decided{ID: p.ID, Outcome: outcome, Value: value}) })
	}
	n.later(modelDelay, func() {
		if w.suffers("cut from core", n, nil) {
			n.later(50*time.Millisecond, func() { done(consensus.Aborted, consensus.Register{}) })
			return
		}
		r := w.registers[p.Register]
		age := consensus.Age{Duration: w.now - r.committedAt, Exact: true}
		next, outcome := p.Change(r.value, age)
		if next.Version != r.value.Version {
			w.checkTerm(r.value, next)
			r.value, r.committedAt = next, w.now
			if p.Register == LeaseRegister {
				for _, other := range w.nodes {
					other.later(modelDelay, func() { other.assigner.Observe(other.clock(), next) })
				}
			}
		}
		if w.suffers("core answers lost", n, nil) {
			n.later(300*time.Millisecond, func() { done(consensus.Indeterminate, consensus.Register{}) })
			return
		}
		done(outcome, r.value)
	})
}

// checkTerm notes if an assigner of an earlier term changes the table.
func (w *modelWorld) checkTerm(before, after consensus.Register) {
	if before.Name != TableRegister {
		return
	}
	old, _ := decodeTable(before)
	if next, err := decodeTable(after); err != nil || next.Term < old.Term {
		w.broken = append(w.broken, fmt.Sprintf("%.3f s: the table of term %d is replaced by one of term %d",
			w.now.Seconds(), old.Term, next.Term))
	}
}

// call sends a call to an endpoint.
func (n *modelNode) call(c Call) {
	w := n.world
	if c.Kind == Grant {
		n.freezeAfter("grant")
	}
	requestedAt := w.now
	answered, misled := false, false
	answer := func(d time.Duration, result CallResult, handoff string) {
		n.later(d, func() {
			if !answered {
				answered = true
				n.step(CallDone{ID: c.ID, Result: result, Handoff: handoff})
			}
		})
	}
	answer(c.Timeout, Unanswered, "")
	n.later(time.Millisecond, func() { // the goroutine of the call
		mayWrite := n.clock() < n.leaseUntil && w.now < requestedAt+c.Timeout
		if !mayWrite && !w.bugs.writesWithoutLease {
			answer(0, NotSent, "")
			return
		}
		e := w.endpointAt(c.Address)
		if early := n.unread[c.Address]; early != nil { // taken for the answer to this call
			n.unread[c.Address], misled = nil, true
			answer(0, early.result, early.handoff)
		}
		delay := modelDelay
		switch {
		case e.down, w.suffers("unreachable", n, e):
			answer(modelDelay, NotSent, "")
			return
		case w.suffers("cut", n, e), w.suffers("cut and drain", n, e):
			return
		case w.suffers("late", n, e):
			delay = max(requestedAt+latestDelivery-time.Millisecond-w.now, modelDelay)
		}
		life := e.life
		w.after(delay, func() {
			if e.down || e.life != life {
				return
			}
			result := e.receive(n, c)
			took := modelDelay
			if c.Kind == Release {
				took += 300 * time.Millisecond // the requests on its keys end
			}
			if !w.suffers("answers lost", n, e) && !w.suffers("late", n, e) {
				answer(took, result, "token")
				if misled || w.suffers("second answer", n, e) {
					n.keepUnread(c.Address, took, &modelAnswer{result, "token"})
				}
			}
		})
	})
}

// keepUnread leaves an answer on the connection to an endpoint, if the node uses the connection for its next call.
func (n *modelNode) keepUnread(address string, after time.Duration, a *modelAnswer) {
	if n.world.bugs.reusesConnections {
		n.later(after+modelDelay, func() { n.unread[address] = a })
	}
}

// Endpoints.

func (w *modelWorld) endpointAt(address string) *modelEndpoint {
	i := slices.IndexFunc(w.endpoints, func(e *modelEndpoint) bool { return e.address == address })
	return w.endpoints[i]
}

func (e *modelEndpoint) newLife() {
	e.life++
	e.id = fmt.Sprintf("e-%s-%d", e.address, e.life)
	e.down, e.usable, e.holds, e.fences = false, true, nil, nil
}

// receive performs a call that has arrived.
func (e *modelEndpoint) receive(n *modelNode, c Call) CallResult {
	w := e.world
	if c.Kind == Probe {
		return Accepted
	}
	if c.EndpointID != e.id {
		return OtherInstance
	}
	highest := uint64(0)
	for _, f := range e.fences {
		if f.overlaps(c.Range) {
			highest = max(highest, f.fence)
		}
	}
	if c.Kind == Grant && highest > c.Fence {
		w.logf("%s: grant %v fence %d of %s is outdated", e.id, c.Range, c.Fence, n.name)
		return Outdated
	}
	if highest <= c.Fence {
		e.fences = append(slices.DeleteFunc(e.fences, func(f modelHold) bool { return c.contains(f.Range) }),
			modelHold{Range: c.Range, fence: c.Fence})
	}
	e.drop(c.Range)
	if c.Kind == Release {
		w.logf("%s: release %v fence %d of %s", e.id, c.Range, c.Fence, n.name)
		return Accepted
	}
	w.grants++
	e.holds = append(e.holds, modelHold{c.Range, c.Fence, w.now + time.Duration(float64(c.Hold)*modelDrift)})
	w.logf("%s: grant %v fence %d of %s", e.id, c.Range, c.Fence, n.name)
	w.check(e, c.Range)
	return Accepted
}

// drop ends what is held of a range.
func (e *modelEndpoint) drop(r Range) {
	var kept []modelHold
	for _, h := range e.holds {
		if !h.overlaps(r) {
			kept = append(kept, h)
			continue
		}
		if h.First < r.First {
			kept = append(kept, modelHold{Range{h.First, r.First - 1}, h.fence, h.until})
		}
		if h.Last > r.Last {
			kept = append(kept, modelHold{Range{r.Last + 1, h.Last}, h.fence, h.until})
		}
	}
	e.holds = kept
}

// check notes each other endpoint that holds a key of a range now.
func (w *modelWorld) check(holder *modelEndpoint, r Range) {
	for _, e := range w.endpoints {
		if e == holder || e.down {
			continue
		}
		for _, h := range e.holds {
			if h.overlaps(r) && w.now < h.until {
				w.broken = append(w.broken, fmt.Sprintf("%.3f s: %s is granted %v, which %s holds until %.3f s",
					w.now.Seconds(), holder.id, r, e.id, h.until.Seconds()))
			}
		}
	}
}

// unheld returns the number of keys that no usable endpoint holds at the end.
func (w *modelWorld) unheld() (n int) {
	for key := 0; key <= MaxKey; key += 16 {
		isHeld := slices.ContainsFunc(w.endpoints, func(e *modelEndpoint) bool {
			return !e.down && slices.ContainsFunc(e.holds, func(h modelHold) bool {
				return int(h.First) <= key && key <= int(h.Last) && w.now < h.until
			})
		})
		if !isHeld {
			n++
		}
	}
	return n
}

// Faults.

// modelFaults are the kinds of faults and how long they last.
var modelFaults = []struct {
	kind string
	span time.Duration
}{
	{"freeze", 1300 * time.Millisecond},
	{"freeze", 3 * time.Second},
	{"kill", time.Second},
	{"cut from core", 3 * time.Second},
	{"core answers lost", time.Second},
	{"cut", 3 * time.Second},
	{"answers lost", 1500 * time.Millisecond},
	{"late", time.Second},
	{"crash", time.Second},
	{"dark", 12 * time.Second},
	{"drain", 0},
	{"terminate", 2 * time.Second},
	{"unreachable", 12 * time.Second},
	{"freeze after grant", 5 * time.Second},
	{"freeze after table", 5 * time.Second},
	{"second answer", time.Second},
	{"cut and drain", 3 * time.Second},
}

// plan schedules a fault of a kind at a time. It concerns the node that acts then, and an endpoint.
func (w *modelWorld) plan(kind int, at time.Duration, e *modelEndpoint) {
	f := &modelFault{kind: modelFaults[kind].kind, from: at, to: at + modelFaults[kind].span, endpoint: e}
	w.after(at-w.now, func() {
		f.node = w.nodes[0]
		for _, n := range w.nodes {
			if n.assigner.IsActive() {
				f.node = n
			}
		}
		w.logf("%s for %v: %s, %s", f.kind, f.to-f.from, f.node.name, e.id)
		w.faults = append(w.faults, f)
		w.begin(f)
	})
}

func (w *modelWorld) begin(f *modelFault) {
	n, e, span := f.node, f.endpoint, f.to-f.from
	relist := func() {
		for _, n := range w.nodes {
			n.later(modelDelay, func() { n.listEndpoints(); n.step() })
		}
	}
	switch f.kind {
	case "freeze":
		n.frozenUntil = max(n.frozenUntil, f.to)
	case "kill", "terminate":
		end := func() {
			n.down = true
			n.incarnation++ // nothing of the process goes on
			n.frozenUntil = 0
			w.after(span, n.start)
		}
		if f.kind == "terminate" {
			n.later(0, func() { n.step(Shutdown{}) })
			w.after(300*time.Millisecond, end)
			return
		}
		end()
	case "freeze after grant":
		n.freezeAt, n.freezeSpan = "grant", span
	case "freeze after table":
		n.freezeAt, n.freezeSpan = "table", span
	case "crash":
		e.down = true
		w.after(span, func() { e.newLife(); relist() })
	case "dark":
		e.down = true
	case "drain", "cut and drain":
		e.usable = false
		relist()
	}
}
