package sharding

import (
	"maps"
	"slices"
	"time"
)

// probeInterval is the time between two probes of an endpoint that does not answer.
const probeInterval = time.Second

// noteReachability records whether an endpoint answers.
func (a *Assigner) noteReachability(c *call, result CallResult) {
	e := a.endpoints[c.EndpointID]
	if e == nil || c.Kind == Release {
		return
	}
	e.probing = e.probing && c.Kind != Probe
	isRefusal := c.Kind == Grant && result == Refused
	if result == Unanswered || result == NotSent || result == OtherInstance || isRefusal {
		e.failures++
		e.probeAt = a.now + probeInterval
		return
	}
	e.failures, e.answeredAt = 0, a.now
}

// probe calls the endpoints that did not answer and have no ranges. Moving a range there to find out whether they
// answer again would leave the range without a holder.
func (a *Assigner) probe() {
	holders := map[string]bool{}
	for _, s := range a.services {
		for _, r := range s.ranges {
			holders[r.Holder] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(a.endpoints)) {
		e := a.endpoints[id]
		isDue := e.failures > 0 && !e.probing && a.now >= e.probeAt
		if isDue && e.IsUsable && !holders[id] && a.services[e.Service].wanted {
			e.probing = a.startCall(Call{
				Kind:       Probe,
				Service:    e.Service,
				EndpointID: id,
				Address:    e.Address,
				Timeout:    grantTimeout,
			})
		}
	}
}
