package sharding

import (
	"math"
	"time"
)

const (
	// minUnreachableFailures consecutive failed grants and unreachableTimeout without an answer make the ranges of an
	// endpoint move.
	minUnreachableFailures = 2
	unreachableTimeout     = 1500 * time.Millisecond
	// orphanShare is the largest part of the mean load that one endpoint gets of a range whose holder is lost.
	orphanShare = 0.5
	maxPieces   = 4
	// idleShare is the part of the mean load below which an endpoint counts as having room for a whole range.
	idleShare = 0.4
)

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
