package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"elmfold/internal/controlplane/sharding"
)

const (
	maxMovingRanges  = 40 // that are listed for a service
	maxBusiestRanges = 5
)

// printShards writes the assignment of shard keys: of each service a summary, the ranges without a holder and what they
// wait for, and the busiest ranges.
func printShards(w io.Writer, s *sharding.Status) {
	if s == nil {
		return
	}
	switch {
	case s.Active:
		fmt.Fprintf(w, "\nshard keys: this node assigns them, term %d\n", s.Term)
	case s.Assigner == "":
		fmt.Fprint(w, "\nshard keys: no node is known to assign them\n")
	default:
		fmt.Fprintf(w, "\nshard keys: %s assigns them, term %d; ask it for the ranges\n", s.Assigner, s.Term)
	}
	for _, service := range s.Services {
		printShardedService(w, service)
	}
}

func printShardedService(w io.Writer, s sharding.ServiceStatus) {
	holders := map[string]bool{}
	var moving []sharding.RangeStatus
	for _, r := range s.Ranges {
		holders[r.Holder] = true
		if !r.Served {
			moving = append(moving, r)
		}
	}
	fmt.Fprintf(w, "%s: %d ranges at %d endpoints, %d without a holder\n", s.Service, len(s.Ranges), len(holders),
		len(moving))
	for i, r := range moving {
		if i == maxMovingRanges {
			fmt.Fprintf(w, "\tand %d more\n", len(moving)-i)
			break
		}
		printMovingRange(w, r)
	}
	busiest := slices.Clone(s.Ranges)
	slices.SortStableFunc(busiest, func(a, b sharding.RangeStatus) int { return cmp.Compare(b.Load, a.Load) })
	for _, r := range busiest[:min(maxBusiestRanges, len(busiest))] {
		fmt.Fprintf(w, "\tbusy\t%d-%d\t%s\tfence %d\t%.1f requests/s\n", r.First, r.Last, r.Holder, r.Fence, r.Load)
	}
}

func printMovingRange(w io.Writer, r sharding.RangeStatus) {
	fmt.Fprintf(w, "\tmoving\t%d-%d\tto %s\tfence %d\t%s", r.First, r.Last, r.Holder, r.Fence, r.Reason)
	for _, f := range r.WaitsFor {
		fmt.Fprintf(w, ", waits for %s: %.1f s at most", f.Endpoint, f.ReleaseS)
		if f.Unanswered > 0 {
			fmt.Fprintf(w, " (%d calls unanswered)", f.Unanswered)
		}
	}
	if len(r.WaitsFor) == 0 {
		fmt.Fprint(w, ", waits for its answer")
	}
	fmt.Fprintln(w)
}
