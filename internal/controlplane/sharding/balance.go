package sharding

import (
	"math"
	"slices"
)

const (
	// An endpoint is relieved if its load exceeds the mean by imbalance, and by imbalanceDeviations standard deviations of
	// the measurement.
	imbalance           = 0.4
	imbalanceDeviations = 3.0
	// minMoves and movingShare limit the ranges that are moved at the same time to balance the load: a range is not served
	// until its holder has finished the requests on it.
	minMoves    = 4
	movingShare = 0.15
	// maxRangesPerEndpoint is the mean number of ranges above which neighbouring ranges of an endpoint are merged.
	maxRangesPerEndpoint = 3
)

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
