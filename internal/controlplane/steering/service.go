package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"elmfold/internal/policy"
)

const (
	// maxTickLead and maxTickDelay are how much too early or late a tick may come and still count as in time: the owner's
	// ticker is coarse and jitters.
	maxTickLead  = 100 * time.Millisecond
	maxTickDelay = 500 * time.Millisecond
	// idleTimeout is how long nothing must happen before a service has no ticks any more. Nothing that an Assigner does
	// takes that long.
	idleTimeout = 45 * policy.Second
	// endpointIndexTTL is how long after an endpoint is gone its index may mean no other.
	endpointIndexTTL = 35 * policy.Second
	// startupDuration is the time after the start of this node in which an endpoint that is heard of was there before.
	startupDuration = 5 * time.Second
	// targetFactor is the SLA time that policy is given, in latency targets. Policy takes a fleet for overloaded once its
	// median latency is 0.4 of the SLA time, and lifts rate limits by steps that go by the same measure. Here proxies shed
	// at once what would be late, so the rate limit is the second line, against what they cannot see: it acts when half
	// of the responses come after 1.2 times the target.
	targetFactor = 3
	// unlimitedWarmup and the infinite multiple beside it have policy lower no rate limit for endpoints in slow start, and
	// expect nothing above the ramp.
	unlimitedWarmup = 1 << 50
	// spilloverBeliefSteps is how many steps policy takes to believe what it is told of other zones.
	spilloverBeliefSteps = 4
)

// service is one Assigner with what stands between it and names.
type service struct {
	adapter       *Adapter
	name          string
	latencyTarget time.Duration
	assigner      *policy.Assigner // nil: it is made at the next step
	recollected   []policy.Event   // of the Assigner before
	alarms        []alarm
	fence         int         // to be answered; negative: none
	lastActivity  policy.Time // the last step with any events
	hasTraffic    bool        // requests came

	indexOf        map[string]int // by endpoint id
	ids            []string       // by index; "" where it is free
	endpoints      []endpointState
	changedEntries []policy.Entry // for the next list
	pendingEvents  []policy.Event // proxies that left and indices that were freed, in their order

	proxies []proxyState // by index
	tables  []tableState // as policy numbers them

	latency    float64 // seconds of a response, smoothed
	spillsOver bool    // other zones may be asked for a zone's excess
}

// alarm is a call that policy asked for.
type alarm struct {
	at   policy.Time
	name uint32
}

// endpointState is what is known of an endpoint by its index.
type endpointState struct {
	entry     policy.Entry
	goneAt    policy.Time
	withdrawn bool

	// Since the last step.

	attempts, failed float64
	measured         float64 // attempts whose latency is known
	latencySum       float64 // of those, in units of policy.Time
}

// proxyState is what is known of a proxy for this service.
type proxyState struct {
	joined           bool
	requests, failed float64 // since the last step
	reportedUpTo     float64 // of proxy.reported
	rate             float64 // requests/s, smoothed
	idleTicks        int     // ticks in a row without a request
	rateLimit        float64 // as told; 0: unlimited
}

func newService(a *Adapter, name string, latencyTarget time.Duration) *service {
	return &service{adapter: a, name: name, latencyTarget: latencyTarget, fence: -1, indexOf: map[string]int{}}
}

// restart has the next step make a new Assigner that goes on from what this one knows.
func (s *service) restart() {
	if s.assigner == nil {
		return
	}
	s.recollected = nil
	for _, recollection := range s.assigner.Snapshot(0, 1) {
		s.recollected = append(s.recollected, recollection)
	}
	s.assigner, s.alarms, s.pendingEvents, s.tables, s.fence = nil, nil, nil, nil, -1
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
		// No more proxies than are here: what is limited is their total, which a leave does not change (docs/design.md).
		Proxies:        1,
		Limits:         policy.LimitRate,
		HonorRemovals:  true,
		WarmupTime:     unlimitedWarmup,
		WarmupOverload: math.Inf(1),
		FirstTick:      s.firstTick(at),
	})
	s.alarms = nil
	s.applyOrders(at, s.assigner.Step(at, nil))
	// Policy believes the load of other zones by steps, a tick each. Before it does, it takes all zones to ask for
	// what the own one does, or for nothing, and sends requests to other zones on the calmest day.
	for range spilloverBeliefSteps {
		events := []policy.Event{policy.RemoteUsage{Rates: [][]float64{make([]float64, len(s.adapter.zones))}}}
		for _, alarm := range s.alarms {
			events = append(events, policy.TimerFired{Name: alarm.name})
		}
		s.assigner.Step(at, events)
	}
	s.lastActivity = at
}

// firstTick has a service that comes later tick with the others.
func (s *service) firstTick(at policy.Time) policy.Time {
	first := cmp.Or(policyTime(s.adapter.firstTick), policy.Second)
	first -= (at - policyTime(s.adapter.startedAt)) % policy.Second
	if first <= 0 {
		first += policy.Second
	}
	return first
}

// step runs the Assigner if something is due for it.
func (s *service) step() []tableUpdate {
	at := policyTime(s.adapter.now)
	if s.assigner == nil {
		s.makeAssigner(at)
	}
	due, isDue := s.dueTime(at)
	if !isDue {
		return nil
	}
	events := s.gatherEvents()
	if len(events) > 0 {
		s.lastActivity = due
	} else if due > s.lastActivity+idleTimeout {
		for i := range s.alarms {
			s.alarms[i].at = max(s.alarms[i].at, due+policy.Second)
		}
		return nil
	}
	events = append(events, s.idleEvents()...)
	events = append(events, policy.RemoteUsage{Rates: [][]float64{s.loadElsewhere(due)}})
	events = append(events, s.fenceEvents()...)
	events = append(events, s.takeAlarms(at)...)
	updates := s.applyOrders(due, s.assigner.Step(due, events))
	s.freeIndices(due)
	return updates
}

// dueTime says whether a step is due, and the time that it counts for. A tick that comes a little early or late
// counts as in time: otherwise a rise that is due each second would be late by one.
func (s *service) dueTime(at policy.Time) (due policy.Time, isDue bool) {
	next := policy.Time(math.MinInt64)
	for _, alarm := range s.alarms {
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

func (a alarm) isDue(at policy.Time) bool { return a.at <= at+policyTime(maxTickLead) }

// takeAlarms removes the alarms that are due, and returns them as events.
func (s *service) takeAlarms(at policy.Time) (events []policy.Event) {
	for _, alarm := range s.alarms {
		if alarm.isDue(at) {
			events = append(events, policy.TimerFired{Name: alarm.name})
		}
	}
	s.alarms = slices.DeleteFunc(s.alarms, func(a alarm) bool { return a.isDue(at) })
	return events
}

// fenceEvents answers a fence at once: connections are ordered.
func (s *service) fenceEvents() (events []policy.Event) {
	for i := range s.proxies {
		if s.fence >= 0 && s.proxies[i].joined {
			events = append(events, policy.MarkerAcked{Proxy: i, Number: s.fence})
		}
	}
	s.fence = -1
	return events
}

// endpointChanged handles an endpoint that is new or changed.
func (s *service) endpointChanged(e Endpoint) {
	index, known := s.indexOf[e.ID]
	if !known {
		index = s.addEndpoint(e.ID)
	}
	state := &s.endpoints[index]
	isNew := !known || state.entry.Status == policy.Gone
	// One that comes while there is traffic has just started, and begins with little. One that was there before this node
	// knew of it does not.
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

// freeIndices frees the indices of endpoints that have been gone for long and stand in no table of a joined proxy.
func (s *service) freeIndices(at policy.Time) {
	for index, id := range s.ids {
		state := &s.endpoints[index]
		if id == "" || state.entry.Status != policy.Gone || at < state.goneAt+endpointIndexTTL {
			continue
		}
		if slices.ContainsFunc(s.tables, func(t tableState) bool { return s.isInUse(&t, index) }) {
			continue
		}
		for i := range s.tables { // of proxies that left
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
