package sharding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// settleDuration, after the endpoints' heartbeat interval, is how long the first assignment waits for more endpoints.
	settleDuration  = 500 * time.Millisecond
	balanceInterval = time.Second
	// probeInterval is the time between two probes of an endpoint that does not answer.
	probeInterval = time.Second
	// minUnreachableFailures consecutive failed grants and unreachableTimeout without an answer make the ranges of an
	// endpoint move.
	minUnreachableFailures = 2
	unreachableTimeout     = 1500 * time.Millisecond
	// keepPreviousDuration is how long the table keeps former holders that do not hold the range any more, so that one
	// change of the table covers several.
	keepPreviousDuration = time.Second
	// evenShare is the part of the load that is taken to be spread evenly over all keys, so that keys without load count.
	evenShare = 0.1
	// An endpoint is relieved if its load exceeds the mean by imbalance, and by imbalanceDeviations standard deviations of
	// the measurement.
	imbalance           = 0.4
	imbalanceDeviations = 3.0
	// orphanShare is the largest part of the mean load that one endpoint gets of a range whose holder is lost.
	orphanShare = 0.5
	maxPieces   = 4
	// idleShare is the part of the mean load below which an endpoint counts as having room for a whole range.
	idleShare = 0.4
	// minMoves and movingShare limit the ranges that are moved at the same time to balance the load: a range is not served
	// until its holder has finished the requests on it.
	minMoves    = 4
	movingShare = 0.15
	// maxRangesPerEndpoint is the mean number of ranges above which neighbouring ranges of an endpoint are merged.
	maxRangesPerEndpoint = 3
	fenceJumpStart       = 1 << 10
	maxFenceJump         = 1 << 40
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

// orphanReason returns why a range needs another holder; empty if it does not.
func (p *plan) orphanReason(r *rangeState) Reason {
	now := p.assigner.now
	e := p.assigner.endpoints[r.Holder]
	lastSign := max(r.acceptedAt, r.movedAt)
	if e != nil {
		lastSign = max(e.answeredAt, r.movedAt)
	}
	isOverdue := now > lastSign+unreachableTimeout
	switch {
	case e == nil && isOverdue: // until then, a newly started node may not know the endpoint yet
		return ReasonSilent
	case e == nil:
		return ""
	case !e.IsUsable:
		return ReasonLeaving
	case isOverdue && e.failures >= minUnreachableFailures:
		return ReasonSilent
	}
	return ""
}

// reassignOrphans assigns the ranges that need another holder. A range of some load is divided.
func (p *plan) reassignOrphans() {
	parts := p.parts
	p.parts = nil
	for _, x := range parts {
		reason := p.orphanReason(x.state)
		if reason == "" {
			p.parts = append(p.parts, x)
			continue
		}
		for _, piece := range p.divideOrphan(x) {
			if t := p.leastLoaded(piece.Holder); t != nil {
				p.assign(&piece, t, reason)
			}
			p.parts = append(p.parts, piece)
		}
	}
}

// divideOrphan divides a range unless an endpoint has room for the whole of it.
func (p *plan) divideOrphan(x part) []part {
	t := p.leastLoaded(x.Holder)
	if t == nil {
		return []part{x}
	}
	hasRoom := t.relativeCost() < idleShare*p.mean
	share := x.cost / (p.mean * float64(max(t.Capacity, 1)))
	pieces := int(math.Ceil(share / orphanShare))
	if hasRoom || pieces < 2 || p.hasTooManyRanges() {
		return []part{x}
	}
	var all []part
	for n := min(pieces, maxPieces); n > 1; n-- {
		head, tail, ok := p.split(x, x.cost/float64(n))
		if !ok {
			break
		}
		all, x = append(all, head), tail
	}
	return append(all, x)
}

func (p *plan) hasTooManyRanges() bool { return len(p.parts) > 2*maxRangesPerEndpoint*len(p.targets) }

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

// balance moves ranges from the endpoints with the highest load to those with the lowest, and gives ranges to those
// that have none.
func (p *plan) balance() {
	moving := 0
	for _, r := range p.service.ranges {
		if !r.isServed() {
			moving++
		}
	}
	limit := max(minMoves, int(movingShare*float64(len(p.targets))))
	for ; moving < limit; moving++ {
		to := p.leastLoaded("")
		from := p.mostLoaded()
		if from == nil || from == to || !p.isWorthMoving(from, to) || !p.relieve(from, to) {
			return
		}
	}
}

// mostLoaded returns the endpoint with the highest relative cost that has a range which can be moved now.
func (p *plan) mostLoaded() (best *target) {
	for _, t := range p.targets {
		if (best == nil || t.relativeCost() > best.relativeCost()) && p.heaviestPart(t) >= 0 {
			best = t
		}
	}
	return best
}

// heaviestPart returns the index of the part with the highest cost of an endpoint among those that can be divided or
// moved now; negative if there is none. The last part of an endpoint is not moved whole.
func (p *plan) heaviestPart(t *target) int {
	best := -1
	for i := range p.parts {
		x := &p.parts[i]
		canMove := x.Holder == t.ID && len(x.Previous) == 0 && x.state.isServed() && x.Fence == x.state.Fence
		if !canMove || x.First == x.Last && t.ranges < 2 {
			continue
		}
		if best < 0 || x.cost > p.parts[best].cost {
			best = i
		}
	}
	return best
}

func (p *plan) isWorthMoving(from, to *target) bool {
	if to.ranges == 0 {
		return true
	}
	if p.hasTooManyRanges() {
		return false
	}
	excess := from.relativeCost() - p.mean
	deviation := math.Sqrt(p.mean / float64(max(from.Capacity, 1)))
	return excess > imbalance*p.mean && excess > imbalanceDeviations*deviation && to.relativeCost() < p.mean
}

// relieve moves a part of the load from one endpoint to another. It reports whether it did.
func (p *plan) relieve(from, to *target) bool {
	i := p.heaviestPart(from)
	x := p.parts[i]
	wanted := min((from.cost-to.cost)/2, max(from.cost-p.mean*float64(max(from.Capacity, 1)), from.cost/4))
	reason := ReasonLoad
	if to.ranges == 0 {
		wanted, reason = (from.cost-to.cost)/2, ReasonNew
	}
	if x.cost <= wanted && from.ranges > 1 {
		p.assign(&p.parts[i], to, reason)
		return true
	}
	head, tail, ok := p.split(x, x.cost-wanted)
	if !ok {
		if from.ranges < 2 {
			return false
		}
		p.assign(&p.parts[i], to, reason)
		return true
	}
	p.parts[i] = head
	p.assign(&tail, to, reason)
	p.parts = slices.Insert(p.parts, i+1, tail)
	return true
}

// merge unites neighbouring ranges of the same holder if there are many ranges.
func (p *plan) merge() {
	if len(p.parts) <= maxRangesPerEndpoint*len(p.targets) {
		return
	}
	merged := p.parts[:1]
	for _, x := range p.parts[1:] {
		last := &merged[len(merged)-1]
		if isMergeable(last) && isMergeable(&x) && last.Holder == x.Holder {
			last.Last, last.cost = x.Last, last.cost+x.cost
			last.Fence, last.Reason = p.draft.nextFence(), ReasonMerge
			p.changed = true
			continue
		}
		merged = append(merged, x)
	}
	p.parts = merged
}

func isMergeable(x *part) bool { return len(x.Previous) == 0 && x.state != nil && x.state.isServed() }

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
