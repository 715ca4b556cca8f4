package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

const (
	// joinDelay is how long proxies wait for each other after the start of this node: the load of the first few is not
	// that of the zone.
	joinDelay = 2 * time.Second
	// maxIdleTicks is the number of ticks without a request after which an idle proxy is no longer reported as such.
	maxIdleTicks = 12
	// rateDecayPerSecond is what a second leaves of an old rate, as in policy. That of a rate below minSteadyRate
	// requests/s falls more slowly, by slowestDecay at the least.
	rateDecayPerSecond = 0.5
	minSteadyRate      = 5.0
	slowestDecay       = 0.4
	// minRateSeconds bounds the time that a rate is taken over.
	minRateSeconds = 0.2
)

func (s *service) addLoad(p *proxy, load rpc.ServiceLoad, seconds float64) {
	state := s.proxyState(p)
	wasIdle := !state.joined || state.idleTicks >= maxIdleTicks
	if state.requests == 0 && wasIdle {
		state.reportedUpTo = p.reported - seconds // nothing was told of the time before
	}
	state.requests += load.Requests
	state.failed += max(load.Failed, 0)
	s.hasTraffic = true
}

// addReport adds how attempts at an endpoint went. Policy has no use for Queued: it takes how much an endpoint
// holds, and only from probes, because what responses tell comes from busy moments; that requests wait shows in the
// latency.
func (s *service) addReport(report rpc.EndpointReport) {
	state := &s.endpoints[s.indexOf[report.ID]]
	succeeded := max(report.Attempts-report.Failed, 0)
	state.attempts += report.Attempts
	state.failed += max(report.Failed, 0)
	if report.Latency > 0 {
		state.measured += succeeded
		state.latencySum += succeeded * float64(report.Latency)
	}
}

// gatherEvents returns what has happened since the last step.
func (s *service) gatherEvents() []policy.Event {
	events := slices.Clone(s.pendingEvents)
	s.pendingEvents = s.pendingEvents[:0]
	if len(s.changedEntries) > 0 {
		events = append(events, policy.ListUpdate{Kind: policy.ListChange, Entries: slices.Clone(s.changedEntries)})
		s.changedEntries = s.changedEntries[:0]
	}
	events = append(events, s.recollected...)
	s.recollected = nil
	for _, p := range s.adapter.proxyIndex {
		if p.joined && p.hasReported && s.adapter.now >= s.adapter.startedAt+joinDelay {
			events = append(events, s.loadEvents(p)...)
		}
	}
	return append(events, s.reportEvents()...)
}

// loadEvents tells that a proxy joined, and what it received.
func (s *service) loadEvents(p *proxy) (events []policy.Event) {
	state := s.proxyState(p)
	if !state.joined {
		state.joined = true
		if state.requests == 0 {
			// A load of 0 for the last report: otherwise policy takes it for a proxy that it knows nothing of.
			state.idleTicks, state.reportedUpTo = 0, p.reported-1
		}
		events = append(events, policy.ProxyConnected{Proxy: p.index, Zone: p.zone})
	}
	if state.requests == 0 {
		return events
	}
	seconds := p.reported - state.reportedUpTo
	// Policy subtracts from what a rate limit lets in what failed there; what the limit rejected is in it already.
	admitted := state.requests
	if state.rateLimit > 0 {
		admitted = min(admitted, state.rateLimit*seconds)
	}
	succeeded := state.requests - min(state.failed, state.requests)
	events = append(events, policy.UsageReport{
		Proxy:  p.index,
		Txns:   state.requests,
		Failed: max(admitted-succeeded, 0),
		Period: policy.Time(seconds * float64(policy.Second)),
	})
	state.follow(state.requests, seconds)
	state.requests, state.failed, state.idleTicks = 0, 0, 0
	state.reportedUpTo = p.reported
	return events
}

// reportEvents tells how attempts at endpoints went, and follows the latency.
func (s *service) reportEvents() (events []policy.Event) {
	measured, latencySum := 0.0, 0.0
	for index := range s.endpoints {
		state := &s.endpoints[index]
		if state.attempts == 0 {
			continue
		}
		heard := policy.BackendReport{Backend: index, Attempts: state.attempts, Failed: state.failed}
		if state.measured > 0 {
			heard.Latency = policy.Time(state.latencySum / state.measured)
		}
		measured += state.measured
		latencySum += state.latencySum
		state.attempts, state.failed, state.measured, state.latencySum = 0, 0, 0, 0
		if state.entry.Status != policy.Gone {
			events = append(events, heard)
		}
	}
	if measured > 0 {
		latency := latencySum / max(measured, 1) / float64(policy.Second)
		s.latency = (cmp.Or(s.latency, latency) + latency) / 2
	}
	return events
}

// idleEvents tells that a proxy that reported received nothing. Reports name only what came; without this a rate of one
// request in ten seconds would count as one a second.
func (s *service) idleEvents() (events []policy.Event) {
	for i := range s.proxies {
		state, p := &s.proxies[i], s.adapter.proxyIndex[i]
		seconds := p.reported - state.reportedUpTo
		if !state.joined || seconds <= 0 || state.idleTicks >= maxIdleTicks {
			continue
		}
		events = append(events, policy.UsageReport{Proxy: i, Period: policy.Time(seconds * float64(policy.Second))})
		state.follow(0, seconds)
		state.reportedUpTo = p.reported
		state.idleTicks++
	}
	return events
}

// follow smooths a proxy's rate as policy does: if it were ahead of policy's, other proxies would be told as busier or
// idler beside it than they are.
func (p *proxyState) follow(requests, seconds float64) {
	steadiness := min(max(p.rate/minSteadyRate, slowestDecay), 1)
	kept := math.Pow(rateDecayPerSecond, max(seconds, minRateSeconds)*steadiness)
	if p.rate == 0 {
		kept = 0
	}
	p.rate = p.rate*kept + requests/seconds*(1-kept)
}
