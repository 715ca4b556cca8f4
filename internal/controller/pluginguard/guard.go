// Package pluginguard validates the proposals of plug-ins and merges them into limits for tenants. A plug-in can
// restrict a tenant's transactions to some backends, cap their rate, or shed some of them. Each proposal is validated
// by itself; a valid one stays active for a limited time. Plug-ins with a higher precedence win conflicts. A plug-in
// that fails is paused with exponential backoff, then disabled. The package uses no clock, goroutine or I/O.
package pluginguard

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// Time is a time in the unit of package policy.
type Time = policy.Time

// Kind is the kind of a proposal.
type Kind uint8

// Kinds. Retry is always rejected: a retry could execute a once-only transaction twice.
const (
	Allow Kind = iota + 1 // restricts a tenant to Backends
	Cap                   // limits a tenant to Figure transactions/s
	Shed                  // admits the share Figure of a tenant's demand
	Retry
)

// Proposal is one change that a plug-in proposes for a tenant.
type Proposal struct {
	Kind     Kind
	Tenant   string
	Backends []string // IDs
	Figure   float64  // meaning depends on Kind
}

// Reason is why a proposal is rejected.
type Reason string

// Reasons.
const (
	UnknownKind          Reason = "unknown kind"
	UnknownTenant        Reason = "unknown tenant"
	InvalidFigure        Reason = "invalid figure"
	UnknownBackend       Reason = "unknown backend"
	BackendDraining      Reason = "a named backend is draining"
	NoEligibleBackend    Reason = "a product would have no eligible backend"
	ColdBackends         Reason = "too much of the remaining capacity would be in slow start"
	InsufficientCapacity Reason = "the remaining capacity would be below the tenant's share"
	UnsafeRetry          Reason = "a retry could execute a once-only transaction twice"
	StaleRevision        Reason = "a named backend changed after the proposal's revision"
	TooManyChanges       Reason = "too many changes in one second"
	Flapping             Reason = "the proposal flaps between two values"
	PluginInactive       Reason = "the plug-in is paused or disabled"
)

// Event is an input of a Guard: TenantsUpdated, BackendsUpdated, DemandUpdated, PluginLoaded, ProposalsReceived,
// PluginFailed or PluginRemoved.
type Event any

// TenantsUpdated replaces the products and the tenants.
type TenantsUpdated struct {
	Products []policy.Product
	Tenants  map[string]Tenant
	Proxies  int // of all tenants
}

// Tenant describes the proxies of a tenant.
type Tenant struct {
	Proxies int
	Zones   []int // zones of its proxies
}

// BackendsUpdated replaces the list of backends.
type BackendsUpdated struct {
	Revision int64
	Backends []tenancy.Backend
	Ramp     map[string]float64 // backend ID to the factor of its weight during slow start; missing: 1
}

// DemandUpdated sets the present demand of a tenant, in transactions/s.
type DemandUpdated struct {
	Tenant string
	Rate   float64
}

// PluginLoaded adds a plug-in. If allowed sets of plug-ins conflict, the higher precedence wins.
type PluginLoaded struct {
	Plugin     string
	Precedence int
}

// ProposalsReceived replaces the proposals of a plug-in. Revision is that of the list it was given.
type ProposalsReceived struct {
	Plugin    string
	Revision  int64
	Proposals []Proposal
}

// PluginFailed reports that a plug-in timed out, trapped or returned an invalid answer.
type PluginFailed struct {
	Plugin string
	Why    string
}

// PluginRemoved removes a plug-in with its proposals.
type PluginRemoved struct{ Plugin string }

// Order is an output of a Guard: Limit, Rejected, PluginPaused or PluginDisabled.
type Order any

// Limit is the merged result of all active proposals for a tenant.
type Limit struct {
	Tenant   string
	Backends []string // nil: all
	MaxRate  float64  // transactions/s; 0: unlimited
}

// Rejected counts the proposals of a plug-in that were rejected for the same reason.
type Rejected struct {
	Plugin string
	Reason Reason
	First  Proposal
	Count  int
}

// PluginPaused reports that the proposals of a plug-in are rejected until a time.
type PluginPaused struct {
	Plugin string
	Until  Time
	Why    string
}

// PluginDisabled reports that a plug-in is disabled permanently.
type PluginDisabled struct{ Plugin, Why string }

// Config configures a Guard.
type Config struct {
	ProposalTTL         Time    // for which a proposal stays active unless it is renewed
	MaxChangesPerSecond int     // of the active proposals of a plug-in
	MinCapacityShare    float64 // of a tenant's fair share of capacity, that Allow must leave
	MaxColdShare        float64 // of the capacity that Allow leaves, in backends during slow start
	FlapDelay           Time    // before a proposal may return to its previous value; doubles each time
	MaxFlapDelay        Time
	Pause               Time // after a failure; doubles with each failure
	MaxFailures         int  // within FailureWindow, before the plug-in is disabled
	FailureWindow       Time
	MaxLiftsPerSecond   int // of backend restrictions
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	const s = policy.Second
	return Config{
		ProposalTTL:         10 * s,
		MaxChangesPerSecond: 20,
		MinCapacityShare:    0.5,
		MaxColdShare:        0.5,
		FlapDelay:           2 * s,
		MaxFlapDelay:        64 * s,
		Pause:               s,
		MaxFailures:         6,
		FailureWindow:       600 * s,
		MaxLiftsPerSecond:   10,
	}
}

// subject identifies what a proposal changes. A plug-in has at most one active proposal for each subject.
type subject struct {
	tenant string
	kind   Kind
}

type activeProposal struct {
	Proposal
	expiresAt Time
}

// changeHistory holds the last two values of a subject, to detect flapping.
type changeHistory struct {
	previous, current string
	changedAt         Time
	delay             Time // before the previous value may return
}

type plugin struct {
	name       string
	precedence int
	active     map[subject]activeProposal
	history    map[subject]*changeHistory

	changeWindowStart Time
	changeCount       int // since changeWindowStart

	pausedUntil Time // 0: not paused recently
	nextPause   Time
	failures    []Time
	disabled    bool
}

// Guard holds the plug-ins, their active proposals and the limits that result.
type Guard struct {
	config   Config
	now      Time
	products []policy.Product
	tenants  map[string]Tenant
	proxies  int
	demand   map[string]float64 // by tenant

	revision   int64
	backends   map[string]tenancy.Backend
	backendIDs []string // sorted, so that sums are deterministic
	ramp       map[string]float64
	changedAt  map[string]int64 // backend ID to the revision of its last addition, removal or status change

	plugins map[string]*plugin
	limits  map[string]Limit // as last reported, by tenant

	liftWindowStart Time
	liftCount       int // since liftWindowStart
	orders          []Order
}

// New returns a Guard without plug-ins.
func New(config Config) *Guard {
	return &Guard{
		config:    config,
		tenants:   map[string]Tenant{},
		demand:    map[string]float64{},
		backends:  map[string]tenancy.Backend{},
		ramp:      map[string]float64{},
		changedAt: map[string]int64{},
		plugins:   map[string]*plugin{},
		limits:    map[string]Limit{},
	}
}

// Step handles the events and returns the changed limits and the rejections.
func (g *Guard) Step(now Time, events []Event) []Order {
	g.now, g.orders = max(now, g.now), nil
	for _, event := range events {
		switch event := event.(type) {
		case TenantsUpdated:
			g.products, g.tenants, g.proxies = event.Products, event.Tenants, event.Proxies
		case BackendsUpdated:
			g.updateBackends(event)
		case DemandUpdated:
			g.demand[event.Tenant] = event.Rate
		case PluginLoaded:
			g.plugins[event.Plugin] = &plugin{
				name:       event.Plugin,
				precedence: event.Precedence,
				active:     map[subject]activeProposal{},
				history:    map[subject]*changeHistory{},
				nextPause:  g.config.Pause,
			}
		case ProposalsReceived:
			if p := g.plugins[event.Plugin]; p != nil {
				g.handleProposals(p, event)
			}
		case PluginFailed:
			if p := g.plugins[event.Plugin]; p != nil && !p.disabled {
				g.handleFailure(p, event.Why)
			}
		case PluginRemoved:
			delete(g.plugins, event.Plugin)
		}
	}
	g.updateLimits()
	return g.orders
}

func (g *Guard) updateBackends(update BackendsUpdated) {
	next := map[string]tenancy.Backend{}
	for _, b := range update.Backends {
		if previous, listed := g.backends[b.ID]; !listed || previous.Status != b.Status {
			g.changedAt[b.ID] = update.Revision
		}
		next[b.ID] = b
	}
	for id := range g.backends {
		if _, listed := next[id]; !listed {
			g.changedAt[id] = update.Revision
		}
	}
	for id := range g.changedAt { // IDs are not reused: keep the map bounded
		if _, listed := next[id]; !listed && g.changedAt[id] < update.Revision {
			delete(g.changedAt, id)
		}
	}
	g.backends, g.ramp, g.revision = next, update.Ramp, update.Revision
	g.backendIDs = slices.Sorted(maps.Keys(next))
}

// handleFailure drops the plug-in's proposals, and pauses or disables it.
func (g *Guard) handleFailure(p *plugin, why string) {
	p.failures = slices.DeleteFunc(p.failures, func(at Time) bool { return g.now > at+g.config.FailureWindow })
	p.failures = append(p.failures, g.now)
	clear(p.active)
	if len(p.failures) >= g.config.MaxFailures {
		p.disabled = true
		g.orders = append(g.orders, PluginDisabled{
			p.name,
			fmt.Sprintf("%d failures, the last: %s", len(p.failures), why),
		})
		return
	}
	p.pausedUntil = g.now + p.nextPause
	g.orders = append(g.orders, PluginPaused{p.name, p.pausedUntil, why})
	p.nextPause *= 2
}

// handleProposals activates the valid proposals and reports the others by reason.
func (g *Guard) handleProposals(p *plugin, received ProposalsReceived) {
	rejected := map[Reason]*Rejected{}
	reject := func(proposal Proposal, reason Reason) {
		if rejected[reason] == nil {
			rejected[reason] = &Rejected{Plugin: p.name, Reason: reason, First: proposal}
		}
		rejected[reason].Count++
	}
	if p.disabled || g.now < p.pausedUntil {
		for _, proposal := range received.Proposals {
			reject(proposal, PluginInactive)
		}
	} else {
		if p.pausedUntil > 0 && g.now >= p.pausedUntil+g.config.ProposalTTL {
			p.nextPause, p.pausedUntil = g.config.Pause, 0
		}
		if g.now >= p.changeWindowStart+policy.Second {
			p.changeWindowStart, p.changeCount = g.now, 0
		}
		proposed := map[subject]bool{}
		for _, proposal := range received.Proposals {
			proposed[subject{proposal.Tenant, proposal.Kind}] = true
			if reason := g.activate(p, proposal, received.Revision); reason != "" {
				reject(proposal, reason)
			}
		}
		// A rejected proposal leaves the earlier one of its subject active until that expires.
		maps.DeleteFunc(p.active, func(key subject, _ activeProposal) bool { return !proposed[key] })
	}
	for _, reason := range slices.Sorted(maps.Keys(rejected)) {
		g.orders = append(g.orders, *rejected[reason])
	}
}

// activate activates or renews a proposal, or returns why it is rejected.
func (g *Guard) activate(p *plugin, proposal Proposal, revision int64) Reason {
	if reason := g.validate(proposal, revision); reason != "" {
		return reason
	}
	key := subject{proposal.Tenant, proposal.Kind}
	value := fmt.Sprint(proposal.Backends, proposal.Figure)
	if active, ok := p.active[key]; ok && fmt.Sprint(active.Backends, active.Figure) == value {
		p.active[key] = activeProposal{proposal, g.now + g.config.ProposalTTL}
		return ""
	}
	history := p.history[key]
	if history == nil {
		history = &changeHistory{delay: g.config.FlapDelay}
		p.history[key] = history
	}
	if p.changeCount >= g.config.MaxChangesPerSecond {
		return TooManyChanges
	}
	switch {
	case history.previous == value && g.now < history.changedAt+history.delay:
		history.delay = min(2*history.delay, g.config.MaxFlapDelay)
		return Flapping
	case g.now >= history.changedAt+g.config.MaxFlapDelay:
		history.delay = g.config.FlapDelay
	}
	p.changeCount++
	history.previous, history.current, history.changedAt = history.current, value, g.now
	p.active[key] = activeProposal{proposal, g.now + g.config.ProposalTTL}
	return ""
}

// validate checks a proposal against the present backends and tenants.
func (g *Guard) validate(proposal Proposal, revision int64) Reason {
	tenant, known := g.tenants[proposal.Tenant]
	switch {
	case proposal.Kind == Retry:
		return UnsafeRetry
	case proposal.Kind < Allow || proposal.Kind > Retry:
		return UnknownKind
	case !known:
		return UnknownTenant
	case proposal.Kind != Allow && !isValidFigure(proposal):
		return InvalidFigure
	case proposal.Kind != Allow:
		return ""
	}
	for _, id := range proposal.Backends {
		if g.changedAt[id] > revision {
			return StaleRevision
		}
		if b, listed := g.backends[id]; !listed {
			return UnknownBackend
		} else if b.Status != policy.Ready {
			return BackendDraining
		}
	}
	return g.validateBackends(tenant, proposal.Backends)
}

// isValidFigure reports whether the figure of a Cap or Shed proposal is finite and in its range.
func isValidFigure(proposal Proposal) bool {
	figure := proposal.Figure
	return figure > 0 && !math.IsInf(figure, 0) && (proposal.Kind != Shed || figure <= 1)
}

// capacity returns the weight of a backend, reduced during slow start.
func (g *Guard) capacity(id string) float64 {
	if ramp, ok := g.ramp[id]; ok {
		return g.backends[id].Weight * ramp
	}
	return g.backends[id].Weight
}

// validateBackends checks whether the allowed backends suffice for each product in each zone of a tenant.
func (g *Guard) validateBackends(tenant Tenant, allowed []string) Reason {
	for _, product := range g.products {
		for _, zone := range tenant.Zones {
			if reason := g.validateProduct(product, zone, tenant, allowed); reason != "" {
				return reason
			}
		}
	}
	return ""
}

// validateProduct checks whether the allowed backends suffice for a product in one zone.
func (g *Guard) validateProduct(product policy.Product, zone int, tenant Tenant, allowed []string) Reason {
	remaining, total, cold, anyEligible := 0.0, 0.0, 0.0, false
	for _, id := range g.backendIDs {
		if !isEligible(product, zone, g.backends[id]) {
			continue
		}
		anyEligible = true
		total += g.capacity(id)
		if slices.Contains(allowed, id) {
			remaining += g.capacity(id)
			if ramp, ok := g.ramp[id]; ok && ramp < 1 {
				cold += g.capacity(id)
			}
		}
	}
	minRemaining := g.config.MinCapacityShare * total * float64(tenant.Proxies) / float64(max(g.proxies, 1))
	switch {
	case anyEligible && remaining == 0:
		return NoEligibleBackend
	case cold > g.config.MaxColdShare*remaining:
		return ColdBackends
	case remaining < minRemaining:
		return InsufficientCapacity
	}
	return ""
}

// isEligible reports whether proxies in a zone may send a product's transactions to a backend.
func isEligible(product policy.Product, zone int, b tenancy.Backend) bool {
	return b.Status == policy.Ready && (!product.OwnZone || b.Zone == zone) &&
		(product.OnlyZones == nil || slices.Contains(product.OnlyZones, b.Zone)) &&
		(product.OnlyKinds == nil || slices.Contains(product.OnlyKinds, b.Kind))
}

// mergeLimit merges the active proposals for a tenant, in the order of precedence. It removes proposals that have
// expired or are no longer valid.
func (g *Guard) mergeLimit(tenant string) Limit {
	limit := Limit{Tenant: tenant}
	for _, p := range slices.SortedFunc(maps.Values(g.plugins), func(a, b *plugin) int {
		return cmp.Or(cmp.Compare(b.precedence, a.precedence), cmp.Compare(a.name, b.name))
	}) {
		for _, kind := range []Kind{Allow, Cap, Shed} {
			key := subject{tenant, kind}
			active, ok := p.active[key]
			if !ok {
				continue
			}
			if g.now >= active.expiresAt || g.validate(active.Proposal, g.revision) != "" {
				delete(p.active, key)
				continue
			}
			g.tighten(&limit, active.Proposal)
		}
	}
	return limit
}

// tighten applies a proposal to a limit. Allowed sets are intersected unless too little would remain; the lowest rate
// wins.
func (g *Guard) tighten(limit *Limit, proposal Proposal) {
	rate := proposal.Figure
	switch proposal.Kind {
	case Allow:
		ids := slices.Sorted(slices.Values(proposal.Backends))
		if limit.Backends != nil {
			ids = slices.DeleteFunc(ids, func(id string) bool { return !slices.Contains(limit.Backends, id) })
		}
		if g.validateBackends(g.tenants[limit.Tenant], ids) == "" {
			limit.Backends = slices.Compact(ids)
		}
		return
	case Shed:
		if rate *= g.demand[limit.Tenant]; rate == 0 {
			return
		}
	case Cap, Retry: // Figure is the rate; Retry is never active
	}
	if limit.MaxRate == 0 || rate < limit.MaxRate {
		limit.MaxRate = rate
	}
}

// updateLimits reports the limits that have changed. It lifts valid backend restrictions at a limited rate, so that
// the transactions of many tenants do not return to the same backends at once.
func (g *Guard) updateLimits() {
	if g.now >= g.liftWindowStart+policy.Second {
		g.liftWindowStart, g.liftCount = g.now, 0
	}
	for _, tenant := range slices.Sorted(maps.Keys(g.tenants)) {
		next, previous := g.mergeLimit(tenant), g.limits[tenant]
		if slices.Equal(next.Backends, previous.Backends) &&
			math.Abs(next.MaxRate-previous.MaxRate) <= 0.05*previous.MaxRate {
			continue
		}
		lifted := next.Backends == nil && previous.Backends != nil
		if lifted && g.validateBackends(g.tenants[tenant], previous.Backends) == "" {
			if g.liftCount >= g.config.MaxLiftsPerSecond {
				continue
			}
			g.liftCount++
		}
		if g.limits[tenant] = next; next.Backends == nil && next.MaxRate == 0 {
			delete(g.limits, tenant)
		}
		g.orders = append(g.orders, next)
	}
	maps.DeleteFunc(g.limits, func(tenant string, _ Limit) bool {
		_, known := g.tenants[tenant]
		return !known
	})
}

// Pending reports whether Step must be called again without further events, because a limit can expire or be lifted.
func (g *Guard) Pending() bool { return len(g.limits) > 0 }
