package sharding

import (
	"slices"
	"time"
)

// PublishedRange is a range as proxies receive it.
type PublishedRange struct {
	Range
	Holder string // ID of the endpoint that holds the range; empty: none does
	// AvailableAt is when the range will be granted at the latest if Holder is empty and a former holder does not answer;
	// 0: soon.
	AvailableAt time.Duration
}

// Publication has the ranges of a service that changed since the one before, or all of them.
type Publication struct {
	Service string
	Full    bool
	Ranges  []PublishedRange
}

// TakeChanges returns the ranges that changed since the last call. The first call of a term returns all ranges.
func (a *Assigner) TakeChanges() (all []Publication) {
	if !a.active {
		return nil
	}
	for _, s := range a.sortedServices() {
		if len(s.ranges) == 0 {
			continue
		}
		next := s.publishable()
		p := Publication{Service: s.name, Full: s.published == nil, Ranges: next}
		if !p.Full {
			p.Ranges = changedRanges(s.published, next)
		}
		s.published = next
		if len(p.Ranges) > 0 {
			all = append(all, p)
		}
	}
	return all
}

// Published returns all ranges as of the last TakeChanges.
func (a *Assigner) Published() (all []Publication) {
	for _, s := range a.sortedServices() {
		if a.active && len(s.published) > 0 {
			all = append(all, Publication{Service: s.name, Full: true, Ranges: s.published})
		}
	}
	return all
}

// publishable returns the ranges of the service; neighbouring ranges with the same holder are united.
func (s *service) publishable() []PublishedRange {
	var all []PublishedRange
	for _, r := range s.ranges {
		next := PublishedRange{Range: r.Range}
		if r.isServed() {
			next.Holder = r.Holder
		} else {
			next.AvailableAt = r.availableAt()
		}
		if n := len(all); n > 0 && all[n-1].Holder == next.Holder && all[n-1].AvailableAt == next.AvailableAt {
			all[n-1].Last = next.Last
			continue
		}
		all = append(all, next)
	}
	return all
}

// availableAt returns when the hold of the last former holder that does not answer expires; 0 if all of them answer.
func (r *rangeState) availableAt() (at time.Duration) {
	for _, f := range r.previous {
		if f.failures > 0 {
			at = max(at, f.heldUntil)
		}
	}
	return at
}

// changedRanges returns the ranges of next that are not the same in before.
func changedRanges(before, next []PublishedRange) (changed []PublishedRange) {
	for _, r := range next {
		i, _ := slices.BinarySearchFunc(before, r.First, func(b PublishedRange, first uint16) int {
			return int(b.Last) - int(first)
		})
		isSame := i < len(before) && before[i].contains(r.Range) && before[i].Holder == r.Holder &&
			before[i].AvailableAt == r.AvailableAt
		if !isSame {
			changed = append(changed, r)
		}
	}
	return changed
}
