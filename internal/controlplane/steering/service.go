package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/policy"
)

const (
	// maxTickLead and maxTickDelay bound how early or late a tick may be and still count as punctual: the caller's ticker
	// is coarse.
	maxTickLead  = 100 * time.Millisecond
	maxTickDelay = 500 * time.Millisecond
	// idleTimeout is the time without events after which a service is no longer ticked. All transitions in an Assigner are
	// shorter.
	idleTimeout = 45 * policy.Second
	// endpointIndexTTL is the delay before the index of a removed endpoint is reused.
	endpointIndexTTL = 35 * policy.Second
	// startupDuration is the time after the start of this node in which new endpoints are assumed to be running already.
	startupDuration = 5 * time.Second
	// targetFactor is the SLA given to policy, in latency targets. Policy detects overload at a median latency of 0.4 of
	// the SLA, and raises rate limits in steps that depend on the same ratio. Proxies already shed late requests. The rate
	// limit is the second line, against what they cannot see: it only acts when half of the responses take longer than 1.2
	// times the target.
	targetFactor = 3
	// unlimitedWarmup, together with an infinite WarmupOverload, disables rate limits for endpoints in slow start.
	unlimitedWarmup = 1 << 50
	// remoteTrustTicks is the number of ticks after which policy fully trusts reports of remote usage.
	remoteTrustTicks = 4
)

// service holds the Assigner and the state of one service.
type service struct {
	adapter       *Adapter
	name          string
	latencyTarget time.Duration
	assigner      *policy.Assigner // nil: created by the next step
	restored      []policy.Event   // estimates of the former Assigner
	timers        []timer
	pendingMarker int         // to be acknowledged; negative: none
	lastActivity  policy.Time // last step with events
	hasTraffic    bool        // has received requests

	indexOf        map[string]int // by endpoint ID
	ids            []string       // by index; "" if it is free
	endpoints      []endpointState
	changedEntries []policy.Entry // for the next list update
	pendingEvents  []policy.Event // departed proxies and released indices, in order

	proxies []proxyState // by index
	tables  []tableState // by table number in policy

	latency    float64 // smoothed seconds per response
	spillsOver bool    // other zones may serve a zone's excess
}

// timer is a pending policy.SetTimer.
type timer struct {
	at   policy.Time
	name uint32
}

// endpointState is the state of an endpoint, by index.
type endpointState struct {
	entry     policy.Entry
	goneAt    policy.Time
	withdrawn bool

	// Since the last step.

	attempts, failed float64
	measured         float64 // attempts whose latency is known
	latencySum       float64 // in units of policy.Time
}

// proxyState is the state of a proxy for this service.
type proxyState struct {
	joined           bool
	requests, failed float64 // since the last step
	reportedSeconds  float64 // value of proxy.reportedSeconds up to which policy has reports
	rate             float64 // requests/s, smoothed
	idleTicks        int     // consecutive ticks without a request
	rateLimit        float64 // as last sent; 0: unlimited
}

func newService(a *Adapter, name string, latencyTarget time.Duration) *service {
	return &service{adapter: a, name: name, latencyTarget: latencyTarget, pendingMarker: -1, indexOf: map[string]int{}}
}

// restart makes the next step create a new Assigner from the estimates of the current one.
func (s *service) restart() {
	if s.assigner == nil {
		return
	}
	s.restored = nil
	for _, recollection := range s.assigner.Snapshot(0, 1) {
		s.restored = append(s.restored, recollection)
	}
	s.assigner, s.timers, s.pendingEvents, s.tables, s.pendingMarker = nil, nil, nil, nil, -1
	for i := range s.proxies {
		s.proxies[i].joined = false
	}
	s.changedEntries = s.changedEntries[:0]
	for i, id := range s.ids {
		s.endpoints[i].withdrawn = false
		if id != "" {
			s.changedEntries = append(s.changedEntries, s.endpoints[i].entry)
		}
	}
}

func (s *service) makeAssigner(at policy.Time) {
	s.assigner = policy.New(policy.Deployment{
		Products: []policy.Product{{Revenue: 1, SLA: policyTime(targetFactor * s.latencyTarget)}},
		Zones:    len(s.adapter.zones),
		// Policy divides the total limit among the connected proxies only, so that a departure does not change the total
		// (docs/design.md).
		Proxies:        1,
		Limits:         policy.LimitRate,
		HonorRemovals:  true,
		WarmupTime:     unlimitedWarmup,
		WarmupOverload: math.Inf(1),
		FirstTick:      s.firstTick(at),
	})
	s.timers = nil
	s.applyOrders(at, s.assigner.Step(at, nil))
	// Policy increases its trust in remote usage by a step per tick. Until then it assumes that other zones are as loaded
	// as the local one, or idle, and would send requests there without need.
	for range remoteTrustTicks {
		events := []policy.Event{policy.RemoteUsage{Rates: [][]float64{make([]float64, len(s.adapter.zones))}}}
		for _, alarm := range s.timers {
			events = append(events, policy.TimerFired{Name: alarm.name})
		}
		s.assigner.Step(at, events)
	}
	s.lastActivity = at
}

// firstTick aligns the ticks of a service that is added later with those of the others.
func (s *service) firstTick(at policy.Time) policy.Time {
	first := cmp.Or(policyTime(s.adapter.firstTick), policy.Second)
	first -= (at - policyTime(s.adapter.startedAt)) % policy.Second
	if first <= 0 {
		first += policy.Second
	}
	return first
}

// step runs the Assigner if a timer or a change is due.
func (s *service) step() []tableUpdate {
	at := policyTime(s.adapter.now)
	if s.assigner == nil {
		s.makeAssigner(at)
	}
	due, isDue := s.dueTime(at)
	if !isDue {
		return nil
	}
	events := s.collectEvents()
	if len(events) > 0 {
		s.lastActivity = due
	} else if due > s.lastActivity+idleTimeout {
		for i := range s.timers {
			s.timers[i].at = max(s.timers[i].at, due+policy.Second)
		}
		return nil
	}
	events = append(events, s.idleEvents()...)
	events = append(events, policy.RemoteUsage{Rates: [][]float64{s.remoteLoad(due)}})
	events = append(events, s.markerEvents()...)
	events = append(events, s.takeExpiredTimers(at)...)
	updates := s.applyOrders(due, s.assigner.Step(due, events))
	s.freeIndices(due)
	return updates
}

// dueTime reports whether a step is due, and its nominal time. A slightly early or late tick counts as punctual:
// otherwise changes that are due each second would be delayed by one.
func (s *service) dueTime(at policy.Time) (due policy.Time, isDue bool) {
	next := policy.Time(math.MinInt64)
	for _, alarm := range s.timers {
		if alarm.isDue(at) {
			next = max(next, alarm.at)
		}
	}
	switch {
	case next > at-policyTime(maxTickDelay):
		return next, true
	case next == math.MinInt64 && len(s.changedEntries) == 0:
		return at, false
	}
	return at, true
}

func (a timer) isDue(at policy.Time) bool { return a.at <= at+policyTime(maxTickLead) }

// takeExpiredTimers removes the timers that are due and returns them as events.
func (s *service) takeExpiredTimers(at policy.Time) (events []policy.Event) {
	for _, alarm := range s.timers {
		if alarm.isDue(at) {
			events = append(events, policy.TimerFired{Name: alarm.name})
		}
	}
	s.timers = slices.DeleteFunc(s.timers, func(a timer) bool { return a.isDue(at) })
	return events
}

// markerEvents acknowledges the pending marker for all joined proxies: connections are ordered.
func (s *service) markerEvents() (events []policy.Event) {
	for i := range s.proxies {
		if s.pendingMarker >= 0 && s.proxies[i].joined {
			events = append(events, policy.MarkerAcked{Proxy: i, Number: s.pendingMarker})
		}
	}
	s.pendingMarker = -1
	return events
}

// endpointChanged records a new or changed endpoint.
func (s *service) endpointChanged(e Endpoint) {
	index, known := s.indexOf[e.ID]
	if !known {
		index = s.addEndpoint(e.ID)
	}
	state := &s.endpoints[index]
	isNew := !known || state.entry.Status == policy.Gone
	// An endpoint that appears under traffic has just started and needs slow start. Those that were running before this
	// node started do not.
	if isNew && s.hasTraffic && s.adapter.now >= s.adapter.startedAt+startupDuration {
		state.entry.StartedAt = max(policyTime(s.adapter.now), 1)
	}
	state.entry.Zone = s.adapter.zoneIndex(e.Zone)
	state.entry.Weight = float64(max(e.Capacity, 1))
	state.entry.Status = policy.Draining
	if e.Ready {
		state.entry.Status = policy.Ready
	}
	s.changedEntries = append(s.changedEntries, state.entry)
}

func (s *service) addEndpoint(id string) int {
	index := slices.Index(s.ids, "")
	if index < 0 {
		index = len(s.ids)
		s.ids, s.endpoints = append(s.ids, ""), append(s.endpoints, endpointState{})
	}
	s.indexOf[id], s.ids[index] = index, id
	s.endpoints[index] = endpointState{entry: policy.Entry{Backend: index}}
	return index
}

func (s *service) endpointGone(id string) {
	if index, known := s.indexOf[id]; known {
		state := &s.endpoints[index]
		state.entry.Status, state.goneAt = policy.Gone, policyTime(s.adapter.now)
		s.changedEntries = append(s.changedEntries, state.entry)
	}
}

// freeIndices releases the indices of endpoints that are gone for endpointIndexTTL and in no table of a joined proxy.
func (s *service) freeIndices(at policy.Time) {
	for index, id := range s.ids {
		state := &s.endpoints[index]
		if id == "" || state.entry.Status != policy.Gone || at < state.goneAt+endpointIndexTTL {
			continue
		}
		if slices.ContainsFunc(s.tables, func(t tableState) bool { return s.isInUse(&t, index) }) {
			continue
		}
		for i := range s.tables { // tables of departed proxies
			if t := &s.tables[i]; index < len(t.weights) {
				t.weights[index] = 0
			}
		}
		delete(s.indexOf, id)
		s.ids[index], s.endpoints[index] = "", endpointState{}
		s.pendingEvents = append(s.pendingEvents, policy.IndexReleased{Backend: index})
	}
}

func (s *service) isInUse(t *tableState, index int) bool {
	return t.proxy >= 0 && s.proxies[t.proxy].joined && index < len(t.weights) && t.weights[index] > 0
}

func (s *service) proxyState(p *proxy) *proxyState {
	s.proxies = append(s.proxies, make([]proxyState, max(p.index+1-len(s.proxies), 0))...)
	return &s.proxies[p.index]
}

func (s *service) proxyLeft(p *proxy) {
	state := s.proxyState(p)
	if state.joined {
		s.pendingEvents = append(s.pendingEvents, policy.ProxyDisconnected{Proxy: p.index})
	}
	*state = proxyState{idleTicks: maxIdleTicks}
}
