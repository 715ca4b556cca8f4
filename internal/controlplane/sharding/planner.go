package sharding

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settleDuration, after the endpoints' heartbeat interval, is how long the first assignment waits for more endpoints.
	settleDuration  = 500 * time.Millisecond
	balanceInterval = time.Second
	// keepPreviousDuration is how long the table keeps former holders that do not hold the range any more, so that one
	// change of the table covers several.
	keepPreviousDuration = time.Second
	// evenShare is the part of the load that is taken to be spread evenly over all keys, so that keys without load count.
	evenShare      = 0.1
	fenceJumpStart = 1 << 10
	maxFenceJump   = 1 << 40
)

// planAll proposes a table with the changes that are needed now.
func (a *Assigner) planAll() {
	if a.proposing || a.now < a.tableRetry {
		return
	}
	draft, changed := a.table.clone(), false
	for _, s := range a.sortedServices() {
		if s.wanted {
			p := newPlan(a, s, draft)
			p.run()
			changed = changed || p.changed
		}
	}
	if changed {
		a.proposeTable(draft)
	}
}

// plan is the planning of one service.
type plan struct {
	assigner *Assigner
	service  *service
	draft    *Table
	targets  []*target // endpoints that may get ranges, sorted by ID
	byID     map[string]*target
	mean     float64 // cost per unit of capacity
	parts    []part
	changed  bool
}

// target is an endpoint that may get ranges.
type target struct {
	*endpoint
	cost   float64
	ranges int
}

func (t *target) relativeCost() float64 { return t.cost / float64(max(t.Capacity, 1)) }

// part is an assignment in the draft, with the state of the range that it is a part of.
type part struct {
	Assignment
	state *rangeState
	cost  float64
}

func newPlan(a *Assigner, s *service, draft *Table) *plan {
	return &plan{assigner: a, service: s, draft: draft, byID: map[string]*target{}}
}

func (p *plan) run() {
	p.selectTargets()
	if len(p.targets) == 0 {
		return
	}
	if len(p.service.ranges) == 0 {
		p.assignFirst()
		return
	}
	p.collectParts()
	p.forgetPrevious()
	p.raiseFences()
	p.reassignOrphans()
	if now := p.assigner.now; now >= p.service.balanced+balanceInterval {
		p.service.balanced = now
		p.balance()
		p.merge()
	}
	if p.changed {
		p.store()
	}
}

// selectTargets selects the endpoints that may get ranges: those in slow start only if there are no others.
func (p *plan) selectTargets() {
	now := p.assigner.now
	var warming []*target
	for _, e := range p.assigner.endpoints {
		if e.Service != p.service.name || !e.IsUsable || e.failures > 0 {
			continue
		}
		t := &target{endpoint: e}
		if now < e.WarmupEnd {
			warming = append(warming, t)
			continue
		}
		p.targets = append(p.targets, t)
	}
	if len(p.targets) == 0 {
		p.targets = warming
	}
	slices.SortFunc(p.targets, func(x, y *target) int { return cmp.Compare(x.ID, y.ID) })
	for _, t := range p.targets {
		p.byID[t.ID] = t
	}
}

// assignFirst divides all keys evenly by capacity.
func (p *plan) assignFirst() {
	now := p.assigner.now
	if now < p.service.seenAt+p.assigner.options.Heartbeat+settleDuration {
		return
	}
	capacity := 0
	for _, t := range p.targets {
		capacity += max(t.Capacity, 1)
	}
	first, before := 0, 0
	for _, t := range p.targets {
		before += max(t.Capacity, 1)
		end := (MaxKey + 1) * before / capacity
		if end > first {
			r := Range{uint16(first), uint16(end - 1)}
			p.parts = append(p.parts, part{Assignment: Assignment{
				Range:  r,
				Holder: t.ID,
				Fence:  p.draft.nextFence(),
				Reason: ReasonFirst,
			}})
		}
		first = end
	}
	p.store()
	p.changed = true
}

// collectParts lists the present assignments with their costs: the requests for the keys of a range, and a small cost
// per key.
func (p *plan) collectParts() {
	load := &p.service.load
	load.decay(p.assigner.now)
	capacity := 0
	for _, t := range p.targets {
		capacity += max(t.Capacity, 1)
	}
	p.mean = p.costOfAll() / float64(max(capacity, 1))
	for _, r := range p.service.ranges {
		x := part{Assignment: r.Assignment, state: r, cost: p.costOf(r.Range)}
		if t := p.byID[r.Holder]; t != nil {
			t.cost += x.cost
			t.ranges++
		}
		p.parts = append(p.parts, x)
	}
}

func (p *plan) costOfAll() float64 {
	return p.service.load.total + max(evenShare*p.service.load.total, 1)
}

func (p *plan) costOf(r Range) float64 {
	return p.service.load.sum(r) + p.costPerKey()*float64(int(r.Last)-int(r.First)+1)
}

func (p *plan) costPerKey() float64 { return max(evenShare*p.service.load.total, 1) / (MaxKey + 1) }

// forgetPrevious removes former holders that do not hold their range any more from the table.
func (p *plan) forgetPrevious() {
	for i := range p.parts {
		x := &p.parts[i]
		isFree := len(x.Previous) > 0 && len(x.state.previous) == 0
		if isFree && p.assigner.now > x.state.movedAt+keepPreviousDuration {
			x.Previous = nil
			p.changed = true
		}
	}
}

// raiseFences gives a higher fence to each range whose holder knows a higher one: from a cluster whose state was lost.
func (p *plan) raiseFences() {
	a := p.assigner
	for i := range p.parts {
		x := &p.parts[i]
		if x.state.conflicts == 0 || x.Fence != x.state.Fence {
			continue
		}
		a.fenceJump = min(max(2*a.fenceJump, fenceJumpStart), maxFenceJump)
		p.draft.LastFence += a.fenceJump
		x.Fence, x.Reason = p.draft.nextFence(), ReasonFence
		p.changed = true
	}
}

// leastLoaded returns the target with the lowest relative cost, other than a given endpoint, or nil.
func (p *plan) leastLoaded(except string) (best *target) {
	for _, t := range p.targets {
		if t.ID != except && (best == nil || t.relativeCost() < best.relativeCost()) {
			best = t
		}
	}
	return best
}

// assign gives a range to a target.
func (p *plan) assign(x *part, t *target, reason Reason) {
	if from := p.byID[x.Holder]; from != nil {
		from.cost -= x.cost
		from.ranges--
	}
	t.cost += x.cost
	t.ranges++
	if x.Holder != "" && !slices.Contains(x.Previous, x.Holder) {
		x.Previous = append(slices.Clone(x.Previous), x.Holder)
	}
	x.Holder, x.Reason = t.ID, reason
	if !p.assigner.options.bugs.keepsFence {
		x.Fence = p.draft.nextFence()
	}
	p.assigner.totalMoves++
	p.changed = true
}

// split divides a part so that the head has about the given cost. ok is false if a single key has all of the cost.
func (p *plan) split(x part, headCost float64) (head, tail part, ok bool) {
	perKey, sum := p.costPerKey(), 0.0
	key := int(x.First)
	for ; key < int(x.Last); key++ {
		cost := float64(p.service.load.counts[key]) + perKey
		if sum > 0 && sum+cost/2 > headCost {
			break
		}
		sum += cost
	}
	if key == int(x.First) || key > int(x.Last) {
		return x, part{}, false
	}
	head, tail = x, x
	head.Last, head.cost = uint16(key-1), sum
	tail.First, tail.cost = uint16(key), x.cost-sum
	return head, tail, true
}

// store writes the assignments to the draft.
func (p *plan) store() {
	table := p.draft.service(p.service.name)
	if table == nil {
		table = p.draft.addService(p.service.name)
	}
	table.Assignments = table.Assignments[:0]
	for _, x := range p.parts {
		table.Assignments = append(table.Assignments, x.Assignment)
		if t := p.byID[x.Holder]; t != nil {
			p.draft.Addresses[t.ID] = t.Address
		}
	}
}
