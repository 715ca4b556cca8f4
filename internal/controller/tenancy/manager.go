package tenancy

import (
	"cmp"
	"fmt"
	"slices"

	"elmfold/internal/policy"
)

// Event is one of the event structs below. Step takes events in the order in which they happened.
type Event any

// ListUpdate replaces the list of backends.
type ListUpdate struct{ Backends []Backend }

// ProxyConnected reports that a proxy in a zone connected.
type ProxyConnected struct{ Proxy, Zone int }

// ProxyDisconnected reports that a proxy disconnected.
type ProxyDisconnected struct{ Proxy int }

// UsageReport counts the transactions of a product that a proxy received, and those that failed, in a period.
type UsageReport struct {
	Proxy, Product int
	Txns, Failed   float64
	Period         Time
}

// BackendReport counts the attempts that proxies made at a backend, with the mean latency of successful ones.
type BackendReport struct {
	Backend          int
	Attempts, Failed float64
	Latency          Time
}

// PlanUpdate replaces the plan. The first plan applies at once; later, a tenant whose cell changes moves gradually.
type PlanUpdate struct{ Plan Plan }

// Move moves a tenant to a fixed cell.
type Move struct{ Tenant, Cell string }

// CancelMove cancels the move of a tenant that is in progress.
type CancelMove struct{ Tenant string }

// Action is a policy.ProxyRestricted or a LogMessage.
type Action any

// LogMessage is a line for the log of the controller.
type LogMessage struct {
	Warn bool
	Text string
}

const (
	tickInterval          = policy.Second
	lendBelowFraction     = 0.5  // fraction of the baseline capacity; below it the tenant borrows backends
	returnAboveFraction   = 0.6  // fraction of the baseline capacity; from it on loans are returned
	baselineCapacityDecay = 0.99 // per tick, while the capacity is below the baseline
	reportDecay           = 0.5  // per report of a proxy, and per tick for backend statistics
	minAttempts           = 4.0
	failureMargin         = 0.2  // failure rate above the median of the other backends that makes a tenant unhealthy
	latencyFactor         = 2.5  // latency, as a multiple of that median, that makes a tenant unhealthy
	minLatencySLAFraction = 0.4  // fraction of the SLA time; a lower latency is never unhealthy
	baselineRateDecay     = 0.95 // per tick
	surgeFactor           = 2.0  // multiple of the baseline rate from which a tenant is limited before others
	surgeReduceFactor     = 0.4
	retryBudgetFraction   = 0.1 // fraction of a cell's transactions that may fail before retries are disabled
	minUnhealthyTicks     = 2   // consecutive ticks before a tenant is limited
	reduceFactor          = 0.8
	reduceInterval        = 3 * policy.Second
	raiseFactor           = 1.2
	containmentFactor     = 1.5 // failure rate of a tenant's backends, as a multiple of the fleet's, that contains it
	removeLimitFactor     = 1.5 // a limit above this multiple of the current rate is removed
	ticksPerMillisecond   = float64(policy.Second) / 1000
	minRateChange         = 0.12 // relative change of a rate limit below which the proxy is not notified
)

type phase uint8

const (
	steady phase = iota
	preparing
	moving
)

func (p phase) String() string { return [...]string{"settled", "prepared", "moving"}[p] }

// demandPoint is where a product needs backends: the index of the placement, and the zone or -1 for any zone.
type demandPoint struct{ placement, zone int }

// loan is a backend that a tenant borrows beyond its own ones.
type loan struct {
	id           string
	startedAt    Time
	returnableAt Time
}

type tenant struct {
	Tenant
	// State of a move. The first movedProxies proxies use the new cell alone; those from there up to startedProxies use
	// both cells; the rest use fromCell.
	phase                        phase
	fromCell                     string
	targetCell                   string // cell of the next move, after the current one; empty: none
	movedProxies, startedProxies int
	steppedAt                    Time // start of the current step of the move
	noRetriesUntil               Time

	assigned []int // sorted indices of the tenant's own backends in Cell, without loans
	// lowestScores has the lowest score in assigned by placement and zone; -1 where the shard is not full.
	lowestScores        [][]float64
	formerBackends      []int                   // backends in fromCell
	baselineCapacity    map[demandPoint]float64 // usual capacity
	loans               []loan
	originalIDs         map[string]bool // own backends before the recent failures
	lastFailureAt       Time
	replacementFailures []Time // recent failures of backends that replaced others
	// contained is set when the tenant seems to crash its backends. It then gets no new backends and a minimal rate.
	contained bool

	unhealthyTicks              int // consecutive
	unhealthy, retryBudgetSpent bool
	rate, servedRate            float64 // transactions per second
	baselineRate                float64 // usual rate
	rateLimit                   float64
	reducedAt                   Time
}

type proxy struct {
	connected             bool
	zone                  int
	tenant                int       // index; -1: none
	txnRates, failedRates []float64 // per second, by product
	restriction           policy.ProxyRestricted
	notified              bool // a restriction was sent
}

func sum(all []float64) (s float64) {
	for _, v := range all {
		s += v
	}
	return s
}

type backendStats struct{ attempts, failed, succeeded, totalLatency float64 }

// Manager assigns backends to tenants and limits their rates. The zero value is not usable; call New.
type Manager struct {
	plan        Plan
	enabled     bool
	now         Time
	backends    []Backend      // sorted by ID
	cellByIndex map[int]string // fixed cells only
	byIndex     []Backend      // backends by index; an empty ID marks a free index
	placements  []policy.Product
	minSLA      float64 // shortest SLA time of the products
	tenants     []*tenant
	proxies     []proxy
	stats       map[int]*backendStats
	failures    []Time // recent times at which backends failed without draining
	tickAt      Time
	dirty       bool
	actions     []Action
}

// New returns a Manager that restricts no proxy until it gets a plan with tenants.
func New(proxies int) *Manager {
	m := &Manager{proxies: make([]proxy, proxies), stats: map[int]*backendStats{}}
	for i := range m.proxies {
		m.proxies[i].tenant = -1
	}
	return m
}

// Next returns the time at which Step is due even without events; 0 if it is not.
func (m *Manager) Next() Time {
	if !m.enabled {
		return 0
	}
	return m.tickAt
}

// Step handles events and returns the resulting actions.
func (m *Manager) Step(now Time, events []Event) []Action {
	m.now, m.actions = max(now, m.now), nil
	for _, e := range events {
		m.handle(e)
	}
	if !m.enabled && !m.dirty {
		return m.actions
	}
	ticked := m.enabled && m.now >= m.tickAt
	if ticked {
		m.tickAt = m.now + tickInterval
		m.evaluateHealth()
	}
	if ticked || m.dirty {
		for _, t := range m.tenants {
			m.advanceMove(t)
			m.updateLoans(t)
		}
		m.restrictProxies()
		m.dirty = false
	}
	return m.actions
}

func (m *Manager) log(warn bool, format string, v ...any) {
	m.actions = append(m.actions, LogMessage{warn, fmt.Sprintf(format, v...)})
}

func (m *Manager) handle(e Event) {
	switch e := e.(type) {
	case ListUpdate:
		m.updateList(e.Backends)
	case ProxyConnected:
		if p := m.proxyAt(e.Proxy); p != nil {
			// A new stream starts unrestricted, so the last restriction is sent again if there is one.
			p.connected, p.zone, p.notified, m.dirty = true, e.Zone, p.notified && p.restriction.Restricted, true
		}
	case ProxyDisconnected:
		if p := m.proxyAt(e.Proxy); p != nil {
			p.connected, p.txnRates, p.failedRates, m.dirty = false, nil, nil, true
		}
	case UsageReport:
		if p := m.proxyAt(e.Proxy); p != nil && e.Period > 0 {
			seconds := float64(e.Period) / float64(policy.Second)
			for len(p.txnRates) <= e.Product {
				p.txnRates, p.failedRates = append(p.txnRates, 0), append(p.failedRates, 0)
			}
			p.txnRates[e.Product] = p.txnRates[e.Product]*reportDecay + max(e.Txns, 0)/seconds*(1-reportDecay)
			p.failedRates[e.Product] = p.failedRates[e.Product]*reportDecay + max(e.Failed, 0)/seconds*(1-reportDecay)
		}
	case BackendReport:
		stats := m.stats[e.Backend]
		if stats == nil {
			stats = &backendStats{}
			m.stats[e.Backend] = stats
		}
		attempts := max(e.Attempts, 0)
		failed := min(max(e.Failed, 0), attempts)
		stats.attempts += attempts
		stats.failed += failed
		stats.succeeded = stats.succeeded + attempts - failed
		stats.totalLatency += (attempts - failed) * float64(e.Latency)
	case PlanUpdate:
		m.updatePlan(e.Plan)
	case Move:
		m.beginMove(e.Tenant, e.Cell)
	case CancelMove:
		if t := m.findTenant(e.Tenant); t != nil && t.phase != steady {
			m.cancelMove(t, "requested by the operator")
		}
	}
}

// updateList replaces the list. It recomputes only the tenants that a change can affect.
func (m *Manager) updateList(all []Backend) {
	before := m.byIndex
	m.backends = slices.SortedFunc(slices.Values(all), func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	m.byIndex = nil
	for _, b := range m.backends {
		m.byIndex = append(m.byIndex, make([]Backend, max(b.Index+1-len(m.byIndex), 0))...)
		m.byIndex[b.Index] = b
	}
	changed, failed := m.compareLists(before)
	m.splitCells()
	for _, b := range failed {
		m.recordFailure(b)
	}
	for _, t := range m.tenants {
		affects := func(b Backend) bool { return m.plan.affects(t, b, b.Status == policy.Ready) }
		if t.phase != steady || slices.ContainsFunc(changed, affects) {
			m.assignBackends(t)
		}
	}
}

// compareLists returns the backends that were added, removed or changed, and those that failed: removed while ready
// without draining, or restarted.
func (m *Manager) compareLists(before []Backend) (changed, failed []Backend) {
	at := func(list []Backend, i int) (b Backend) {
		if i < len(list) {
			b = list[i]
		}
		return b
	}
	for i := range max(len(before), len(m.byIndex)) {
		was, is := at(before, i), at(m.byIndex, i)
		if was == is {
			continue
		}
		if m.dirty = true; was.ID != is.ID {
			delete(m.stats, i)
		}
		if was.Status == policy.Ready && (is.ID != was.ID || is.Status == policy.Gone || is.StartedAt > was.StartedAt) {
			failed = append(failed, was)
		}
		// Start time and weight do not change an assignment.
		if was.ID == is.ID && was.Zone == is.Zone && was.Kind == is.Kind && was.Status == is.Status {
			continue
		}
		for _, b := range []Backend{was, is} {
			if b.ID != "" {
				changed = append(changed, b)
			}
		}
	}
	return changed, failed
}

// recordFailure records a failure for the tenants that use the backend. Failures of a tenant's original backends can
// have any cause; failures of their replacements suggest that the tenant itself causes them.
func (m *Manager) recordFailure(b Backend) {
	m.failures = append(m.failures, m.now)
	for _, t := range m.tenants {
		lent := slices.ContainsFunc(t.loans, func(l loan) bool { return l.id == b.ID })
		if !lent && !contains(t.assigned, b.Index) && !contains(t.formerBackends, b.Index) {
			continue
		}
		if t.lastFailureAt = m.now; lent || !t.originalIDs[b.ID] {
			t.replacementFailures = append(t.replacementFailures, m.now)
		}
	}
}

func (m *Manager) splitCells() {
	if m.cellByIndex = nil; !m.plan.Shuffle {
		m.cellByIndex = m.plan.splitCells(m.backends)
	}
}

// assignBackends recomputes a tenant's own backends.
func (m *Manager) assignBackends(t *tenant) {
	own := m.plan.assignedBackends(t.Tenant, m.backends, m.cellByIndex)
	if t.contained { // no new backends
		own = slices.DeleteFunc(own, func(at int) bool { return !contains(t.assigned, at) })
	}
	t.assigned, t.formerBackends, m.dirty = own, nil, true
	if t.lastFailureAt == 0 || m.now > t.lastFailureAt+m.plan.LostWindow {
		t.originalIDs, t.lastFailureAt = map[string]bool{}, 0
		for _, at := range own {
			t.originalIDs[m.byIndex[at].ID] = true
		}
	}
	if t.phase != steady {
		former := t.Tenant
		former.Cell = t.fromCell
		t.formerBackends = m.plan.assignedBackends(former, m.backends, m.cellByIndex)
	}
	if !m.plan.Shuffle {
		return
	}
	size, seed := cmp.Or(t.ShardSize, m.plan.ShardSize), tenantSeed(t.Name)
	t.lowestScores = nil
	for _, placement := range m.placements {
		scores := make([][]float64, m.plan.Zones)
		for _, at := range t.assigned {
			if b := m.byIndex[at]; canUse(placement, b) {
				scores[b.Zone] = append(scores[b.Zone], score(seed, b.ID))
			}
		}
		lowest := slices.Repeat([]float64{-1}, m.plan.Zones)
		for z, all := range scores {
			if slices.Sort(all); len(all) >= size { // the rest serve other placements
				lowest[z] = all[len(all)-size]
			}
		}
		t.lowestScores = append(t.lowestScores, lowest)
	}
}

func (m *Manager) proxyAt(proxy int) *proxy {
	if proxy < 0 || proxy >= len(m.proxies) {
		return nil
	}
	return &m.proxies[proxy]
}

func (m *Manager) findTenant(name string) *tenant {
	for _, t := range m.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// updatePlan replaces the plan and keeps the state of the tenants that remain.
func (m *Manager) updatePlan(p Plan) {
	before := map[string]*tenant{}
	for _, t := range m.tenants {
		before[t.Name] = t
	}
	first := !m.enabled
	if m.plan, m.enabled, m.dirty = p, len(p.Tenants) > 0, true; first {
		m.tickAt = m.now + tickInterval
	}
	m.tenants, m.placements, m.minSLA = nil, p.placements(), 0
	m.splitCells()
	for _, r := range p.Products {
		if m.minSLA == 0 || float64(r.SLA) < m.minSLA {
			m.minSLA = float64(r.SLA)
		}
	}
	for i := range m.proxies {
		m.proxies[i].tenant = -1
	}
	for i, planned := range p.Tenants {
		m.updateTenant(i, planned, before[planned.Name])
	}
}

// updateTenant adds a tenant. An existing tenant t keeps its cell until it has moved; t is nil for a new one.
func (m *Manager) updateTenant(i int, planned Tenant, t *tenant) {
	known := t != nil
	if !known {
		t = &tenant{Tenant: planned}
	}
	cell := t.Cell
	if t.Tenant = planned; known && cell != planned.Cell {
		t.Cell = cell
	}
	m.tenants = append(m.tenants, t)
	for _, at := range planned.Proxies {
		if p := m.proxyAt(at); p != nil {
			p.tenant = i
		}
	}
	t.baselineCapacity = map[demandPoint]float64{}
	t.targetCell = planned.Cell
	m.assignBackends(t)
	if t.phase == steady && cell != planned.Cell {
		m.beginMove(planned.Name, planned.Cell)
	}
}

// restrictProxies sends each connected proxy its restriction if that changed.
func (m *Manager) restrictProxies() {
	for _, t := range m.tenants {
		lent := m.lentBackends(t)
		current, former := union(t.assigned, lent), union(t.formerBackends, lent)
		shares := m.splitRateLimit(t)
		for i, at := range t.Proxies {
			p := m.proxyAt(at)
			if p == nil || !p.connected {
				continue
			}
			backends := current
			if t.phase != steady && i >= t.startedProxies {
				backends = former
			} else if t.phase != steady && i >= t.movedProxies {
				backends = union(current, former)
			}
			m.restrict(p, policy.ProxyRestricted{
				Proxy:      at,
				Restricted: true,
				Backends:   backends,
				MaxRate:    shares[i],
				NoRetries: m.now < t.noRetriesUntil || t.unhealthy || t.retryBudgetSpent ||
					t.phase == moving && i < t.startedProxies,
			})
		}
	}
	for i := range m.proxies {
		if p := &m.proxies[i]; p.tenant < 0 && p.connected && p.notified && p.restriction.Restricted {
			m.restrict(p, policy.ProxyRestricted{Proxy: i})
		}
	}
}

// restrict sends a proxy a restriction unless it equals the previous one but for a small change of the rate.
func (m *Manager) restrict(p *proxy, o policy.ProxyRestricted) {
	was := p.restriction
	isNear := was.MaxRate > 0 && o.MaxRate > 0 && o.MaxRate < was.MaxRate*(1+minRateChange) &&
		o.MaxRate > was.MaxRate*(1-minRateChange)
	if p.notified && was.Restricted == o.Restricted && was.NoRetries == o.NoRetries &&
		slices.Equal(was.Backends, o.Backends) &&
		(isNear || was.MaxRate == o.MaxRate) {
		return
	}
	p.restriction, p.notified = o, true
	m.actions = append(m.actions, o)
}
