package sharding

import (
	"time"
)

// Status is the state of the assigner for operators. Its JSON is part of the answer to core.status, so the keys must
// not change.
type Status struct {
	Assigner string          `json:"assigner"` // name of the node that holds the lease, as far as this node knows
	Term     uint64          `json:"term"`
	Active   bool            `json:"active"` // this node is the assigner
	Services []ServiceStatus `json:"services,omitempty"`
}

// ServiceStatus is the state of a sharded service at the assigner.
type ServiceStatus struct {
	Service string        `json:"service"`
	Ranges  []RangeStatus `json:"ranges"`
}

// RangeStatus is the state of one range.
type RangeStatus struct {
	First     uint16         `json:"first"`
	Last      uint16         `json:"last"`
	Holder    string         `json:"holder"`
	Fence     uint64         `json:"fence"`
	Reason    Reason         `json:"reason"` // of the holder, or of the move that is under way
	Served    bool           `json:"served"`
	Load      float64        `json:"load"`               // requests/s
	WaitsFor  []FormerStatus `json:"waitsFor,omitempty"` // what must end before Holder is granted the range
	Conflicts int            `json:"conflicts,omitempty"`
}

// FormerStatus is an endpoint that may still hold a range that is assigned to another one.
type FormerStatus struct {
	Endpoint   string  `json:"endpoint"`
	ReleaseS   float64 `json:"releaseS"` // seconds until its hold has certainly expired
	Unanswered int     `json:"unanswered,omitempty"`
}

// Status returns the state at a time.
func (a *Assigner) Status(now time.Duration) Status {
	status := Status{Assigner: a.lease.known.Node, Term: a.lease.known.Term, Active: a.active}
	if !a.active {
		return status
	}
	for _, s := range a.sortedServices() {
		service := ServiceStatus{Service: s.name}
		for _, r := range s.ranges {
			service.Ranges = append(service.Ranges, s.rangeStatus(now, r))
		}
		status.Services = append(status.Services, service)
	}
	return status
}

func (s *service) rangeStatus(now time.Duration, r *rangeState) RangeStatus {
	status := RangeStatus{
		First:     r.First,
		Last:      r.Last,
		Holder:    r.Holder,
		Fence:     r.Fence,
		Reason:    r.Reason,
		Served:    r.isServed(),
		Load:      s.load.sum(r.Range) / loadTimeConstant.Seconds(),
		Conflicts: r.conflicts,
	}
	for _, f := range r.previous {
		status.WaitsFor = append(status.WaitsFor, FormerStatus{
			Endpoint:   f.id,
			ReleaseS:   max(f.heldUntil-now, 0).Seconds(),
			Unanswered: f.failures,
		})
	}
	return status
}

// Counts are figures of the assigner for metrics.
type Counts struct {
	Active   bool
	Ranges   int
	Unserved int // ranges that no endpoint holds
	Moves    uint64
}

// Counts returns the present figures.
func (a *Assigner) Counts() Counts {
	c := Counts{Active: a.active, Moves: a.totalMoves}
	for _, s := range a.services {
		for _, r := range s.ranges {
			c.Ranges++
			if !r.isServed() {
				c.Unserved++
			}
		}
	}
	return c
}
