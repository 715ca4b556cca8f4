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
	// joinDelay delays joins after the start of this node: the load of the first few proxies does not represent the zone.
	joinDelay = 2 * time.Second
	// maxIdleTicks is the number of ticks without requests after which a proxy is no longer reported as idle.
	maxIdleTicks = 12
	// rateDecay is the fraction of an old rate that remains after a second, as in policy. Rates below steadyRate, in
	// requests/s, decay more slowly; minDecayRate bounds the slowdown.
	rateDecay    = 0.5
	steadyRate   = 5.0
	minDecayRate = 0.4
	// minRateSeconds is the shortest period that a rate is computed over.
	minRateSeconds = 0.2
)

// addLoad adds a proxy's requests to this service.
func (s *service) addLoad(p *proxy, load rpc.ServiceLoad, seconds float64) {
	state := s.proxyState(p)
	wasIdle := !state.joined || state.idleTicks >= maxIdleTicks
	if state.requests == 0 && wasIdle {
		state.reportedSeconds = p.reportedSeconds - seconds // policy has no report of the time before
	}
	state.requests += load.Requests
	state.failed += max(load.Failed, 0)
	s.hasTraffic = true
}

// addReport adds attempts at an endpoint. Queued is not passed on: policy takes queue lengths only from probes, because
// responses are biased towards busy moments, and queueing shows in the latency.
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

// collectEvents returns the events since the last step.
func (s *service) collectEvents() []policy.Event {
	events := slices.Clone(s.pendingEvents)
	s.pendingEvents = s.pendingEvents[:0]
	if len(s.changedEntries) > 0 {
		events = append(events, policy.ListUpdate{Kind: policy.ListChange, Entries: slices.Clone(s.changedEntries)})
		s.changedEntries = s.changedEntries[:0]
	}
	events = append(events, s.restored...)
	s.restored = nil
	for _, p := range s.adapter.proxyIndex {
		if p.joined && p.hasReported && s.adapter.now >= s.adapter.startedAt+joinDelay {
			events = append(events, s.loadEvents(p)...)
		}
	}
	return append(events, s.reportEvents()...)
}

// loadEvents returns the events for a proxy's join and its requests.
func (s *service) loadEvents(p *proxy) (events []policy.Event) {
	state := s.proxyState(p)
	if !state.joined {
		state.joined = true
		if state.requests == 0 {
			// Reports a rate of 0 for the last second: without reports policy assumes an unknown proxy.
			state.idleTicks, state.reportedSeconds = 0, p.reportedSeconds-1
		}
		events = append(events, policy.ProxyConnected{Proxy: p.index, Zone: p.zone})
	}
	if state.requests == 0 {
		return events
	}
	seconds := p.reportedSeconds - state.reportedSeconds
	// Policy subtracts failures from the admitted rate, so requests rejected by the rate limit must not count as failures.
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
	state.updateRate(state.requests, seconds)
	state.requests, state.failed, state.idleTicks = 0, 0, 0
	state.reportedSeconds = p.reportedSeconds
	return events
}

// reportEvents returns the attempts at endpoints as events and updates the smoothed latency.
func (s *service) reportEvents() (events []policy.Event) {
	measured, latencySum := 0.0, 0.0
	for index := range s.endpoints {
		state := &s.endpoints[index]
		if state.attempts == 0 {
			continue
		}
		report := policy.BackendReport{Backend: index, Attempts: state.attempts, Failed: state.failed}
		if state.measured > 0 {
			report.Latency = policy.Time(state.latencySum / state.measured)
		}
		measured += state.measured
		latencySum += state.latencySum
		state.attempts, state.failed, state.measured, state.latencySum = 0, 0, 0, 0
		if state.entry.Status != policy.Gone {
			events = append(events, report)
		}
	}
	if measured > 0 {
		latency := latencySum / max(measured, 1) / float64(policy.Second)
		s.latency = (cmp.Or(s.latency, latency) + latency) / 2
	}
	return events
}

// idleEvents reports a rate of 0 for proxies without requests. Proxies report only services with requests; without
// these events one request in ten seconds would count as one per second.
func (s *service) idleEvents() (events []policy.Event) {
	for i := range s.proxies {
		state, p := &s.proxies[i], s.adapter.proxyIndex[i]
		seconds := p.reportedSeconds - state.reportedSeconds
		if !state.joined || seconds <= 0 || state.idleTicks >= maxIdleTicks {
			continue
		}
		events = append(events, policy.UsageReport{Proxy: i, Period: policy.Time(seconds * float64(policy.Second))})
		state.updateRate(0, seconds)
		state.reportedSeconds = p.reportedSeconds
		state.idleTicks++
	}
	return events
}

// updateRate smooths a proxy's rate as policy does, so that the estimates for other proxies are consistent with it.
func (p *proxyState) updateRate(requests, seconds float64) {
	steadiness := min(max(p.rate/steadyRate, minDecayRate), 1)
	kept := math.Pow(rateDecay, max(seconds, minRateSeconds)*steadiness)
	if p.rate == 0 {
		kept = 0
	}
	p.rate = p.rate*kept + requests/seconds*(1-kept)
}
