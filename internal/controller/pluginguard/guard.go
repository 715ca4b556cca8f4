// Package pluginguard settles what plug-ins may have of what they propose. A plug-in says which backends a tenant's
// txns may go to, how many of them a second, or that some should be shed; never an order. Each proposal is judged
// by itself against the rules, refused by name or held for a while; several plug-ins are joined by precedence; one
// that faults is paused for longer and longer and at last put out. No socket, clock, file or goroutine.
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

// Time is a moment in tenths of a ms, as the decisions have it.
type Time = policy.Time

// Kind of a proposal.
type Kind uint8

// Kinds. Retry is known only to be refused: whoever tries a once-only txn again doubles it.
const (
	Allow Kind = iota + 1 // Backends that a tenant's txns may go to
	Cap                   // Figure: txns/s of a tenant, at most
	Shed                  // Figure: the part of what a tenant asks for that is let in
	Retry
)

// Proposal is one thing that a plug-in wants.
type Proposal struct {
	Kind     Kind
	Tenant   string
	Backends []string
	Figure   float64
}

// Reason says why a proposal is refused.
type Reason string

// Reasons.
const (
	UnknownKind          Reason = "no such proposal"
	UnknownTenant        Reason = "no such tenant"
	InvalidFigure        Reason = "no figure that can be"
	UnknownBackend       Reason = "names a backend that is not on the list"
	BackendDraining      Reason = "names a backend that drains"
	NoEligibleBackend    Reason = "leaves a product with nowhere to go"
	ColdBackends         Reason = "puts too much on backends that are cold"
	InsufficientCapacity Reason = "puts more on these backends than their part of the fleet"
	UnsafeRetry          Reason = "a further try may take effect twice"
	StaleRevision        Reason = "made on a list that has changed since"
	TooManyChanges       Reason = "too many changes in a second"
	Flapping             Reason = "goes back and forth"
	PluginInactive       Reason = "the plug-in is paused or put out"
)

// Event is one of the structs below.
type Event any

// TenantsUpdated brings the tenants, with their proxies' zones, and the products.
type TenantsUpdated struct {
	Products []policy.Product
	Tenants  map[string]Tenant
	Proxies  int // of all
}

// Tenant is who a proposal is about.
type Tenant struct {
	Proxies int
	Zones   []int // in which it has proxies
}

// BackendsUpdated brings the whole list. Cold is the part of a backend's weight that it has by now, by place
// in it; none: all.
type BackendsUpdated struct {
	Revision int64
	Backends []tenancy.Backend
	Ramp     map[string]float64
}

// DemandUpdated says what a tenant asks for now, in txns/s.
type DemandUpdated struct {
	Tenant string
	Rate   float64
}

// PluginLoaded says that a plug-in counts from now on. Of two that differ the one of the higher precedence holds.
type PluginLoaded struct {
	Plugin     string
	Precedence int
}

// ProposalsReceived brings what a plug-in wants as a whole, made on a revision of the list: what it does not
// name any more ends.
type ProposalsReceived struct {
	Plugin    string
	Revision  int64
	Proposals []Proposal
}

// PluginFailed says that a plug-in looped, trapped, or said what cannot be read.
type PluginFailed struct {
	Plugin string
	Why    string
}

// PluginRemoved says that a plug-in counts no longer.
type PluginRemoved struct{ Plugin string }

// Order is one of the structs below.
type Order any

// Limit is what holds for a tenant from now on: no Backends is all, a Most of 0 is no bound.
type Limit struct {
	Tenant   string
	Backends []string
	MaxRate  float64
}

// Rejected counts proposals that were refused for a reason, with the first of them.
type Rejected struct {
	Plugin string
	Reason Reason
	First  Proposal
	Count  int
}

// PluginPaused says that a plug-in is not asked until a moment; then it is tried.
type PluginPaused struct {
	Plugin string
	Until  Time
	Why    string
}

// PluginDisabled says that a plug-in is not asked again.
type PluginDisabled struct{ Plugin, Why string }

// Config is what a Hook is given once.
type Config struct {
	ProposalTTL         Time    // that a proposal is in force without being made again
	MaxChangesPerSecond int     // of what is in force, of a plug-in in a second
	MinCapacityShare    float64 // part of its fair strength that a tenant must be left with
	MaxColdShare        float64 // part of the strength left to a tenant that may be cold
	FlapDelay           Time    // between changes of one thing that goes back and forth; doubled each time
	MaxFlapDelay        Time    // at most
	Pause               Time    // after a fault; doubled each time
	MaxFailures         int     // in Forget, after which it is put out
	FailureWindow       Time    // that a fault is remembered
	MaxLiftsPerSecond   int     // limits in a second that are taken back when a plug-in goes
}

// DefaultConfig is the Plan with every figure that may be left out.
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

// thing is what one proposal is about.
type thing struct {
	tenant string
	kind   Kind
}

type activeProposal struct {
	Proposal
	endsAt Time
}

// change remembers what was in force before, to see what goes back and forth.
type change struct {
	before, now string
	at, settle  Time
}

type plugin struct {
	name       string
	precedence int
	active     map[thing]activeProposal
	changes    map[thing]*change
	second     Time
	count      int
	paused     Time
	pause      Time
	faults     []Time
	out        bool
}

// Guard holds the plug-ins' standing and what of theirs is in force.
type Guard struct {
	plan     Config
	now      Time
	products []policy.Product
	tenants  map[string]Tenant
	proxies  int
	demand   map[string]float64
	revision int64
	list     map[string]tenancy.Backend
	ids      []string // of the list, sorted: sums are the same in each run
	ramp     map[string]float64
	changed  map[string]int64 // by backend: the revision at which it came, went or began to drain
	plugins  map[string]*plugin
	notified map[string]Limit
	back     Time // when limits were last taken back, and how many in that second
	backs    int
	orders   []Order
}

// New makes a Hook without plug-ins.
func New(plan Config) *Guard {
	return &Guard{
		plan:     plan,
		tenants:  map[string]Tenant{},
		demand:   map[string]float64{},
		list:     map[string]tenancy.Backend{},
		ramp:     map[string]float64{},
		changed:  map[string]int64{},
		plugins:  map[string]*plugin{},
		notified: map[string]Limit{},
	}
}

// Step takes what happened in a moment and says what holds from then on.
func (h *Guard) Step(now Time, events []Event) []Order {
	h.now, h.orders = max(now, h.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case TenantsUpdated:
			h.products, h.tenants, h.proxies = e.Products, e.Tenants, e.Proxies
		case BackendsUpdated:
			h.onList(e)
		case DemandUpdated:
			h.demand[e.Tenant] = e.Rate
		case PluginLoaded:
			h.plugins[e.Plugin] = &plugin{
				name:       e.Plugin,
				precedence: e.Precedence,
				active:     map[thing]activeProposal{},
				changes:    map[thing]*change{},
				pause:      h.plan.Pause,
			}
		case ProposalsReceived:
			if p := h.plugins[e.Plugin]; p != nil {
				h.propose(p, e)
			}
		case PluginFailed:
			if p := h.plugins[e.Plugin]; p != nil && !p.out {
				h.fault(p, e.Why)
			}
		case PluginRemoved:
			delete(h.plugins, e.Plugin)
		}
	}
	h.tell()
	return h.orders
}

func (h *Guard) onList(e BackendsUpdated) {
	next := map[string]tenancy.Backend{}
	for _, b := range e.Backends {
		if was, there := h.list[b.ID]; !there || was.Status != b.Status {
			h.changed[b.ID] = e.Revision
		}
		next[b.ID] = b
	}
	for id := range h.list {
		if _, there := next[id]; !there {
			h.changed[id] = e.Revision
		}
	}
	for id := range h.changed { // ids never end
		if _, there := next[id]; !there && h.changed[id] < e.Revision {
			delete(h.changed, id)
		}
	}
	h.list, h.ramp, h.revision = next, e.Ramp, e.Revision
	h.ids = slices.Sorted(maps.Keys(next))
}

// fault pauses a plug-in for longer and longer, and puts it out after so many.
func (h *Guard) fault(p *plugin, why string) {
	p.faults = append(slices.DeleteFunc(p.faults, func(at Time) bool { return h.now > at+h.plan.FailureWindow }), h.now)
	clear(p.active)
	if len(p.faults) >= h.plan.MaxFailures {
		p.out = true
		h.orders = append(h.orders, PluginDisabled{p.name, fmt.Sprintf("%d faults, the last: %s", len(p.faults), why)})
		return
	}
	p.paused = h.now + p.pause
	h.orders = append(h.orders, PluginPaused{p.name, p.paused, why})
	p.pause *= 2
}

// propose judges each proposal by itself. One round without a fault after a pause, and the pause is short again.
func (h *Guard) propose(p *plugin, e ProposalsReceived) {
	refused := map[Reason]*Rejected{}
	refuse := func(x Proposal, why Reason) {
		if refused[why] == nil {
			refused[why] = &Rejected{Plugin: p.name, Reason: why, First: x}
		}
		refused[why].Count++
	}
	if p.out || h.now < p.paused {
		for _, x := range e.Proposals {
			refuse(x, PluginInactive)
		}
	} else {
		if p.paused > 0 && h.now >= p.paused+h.plan.ProposalTTL {
			p.pause, p.paused = h.plan.Pause, 0
		}
		if h.now >= p.second+policy.Second {
			p.second, p.count = h.now, 0
		}
		named := map[thing]bool{}
		for _, x := range e.Proposals {
			if why := h.check(p, x, e.Revision); why != "" {
				refuse(x, why)
			} else {
				named[thing{x.Tenant, x.Kind}] = true
			}
		}
		for t := range p.active {
			if !named[t] && !slices.ContainsFunc(e.Proposals, func(x Proposal) bool { return t == thing{x.Tenant, x.Kind} }) {
				delete(p.active, t) // it wants that no more; what was refused this time stays until it is old
			}
		}
	}
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		h.orders = append(h.orders, *refused[why])
	}
}

// check takes a proposal into force, or says why not.
func (h *Guard) check(p *plugin, x Proposal, revision int64) Reason {
	if why := h.fits(x, revision); why != "" {
		return why
	}
	t := thing{x.Tenant, x.Kind}
	text := fmt.Sprint(x.Backends, x.Figure)
	if was, there := p.active[t]; there && fmt.Sprint(was.Backends, was.Figure) == text {
		p.active[t] = activeProposal{x, h.now + h.plan.ProposalTTL}
		return ""
	}
	c := p.changes[t]
	if c == nil {
		c = &change{settle: h.plan.FlapDelay}
		p.changes[t] = c
	}
	if p.count >= h.plan.MaxChangesPerSecond {
		return TooManyChanges
	}
	switch {
	case c.before == text && h.now < c.at+c.settle:
		c.settle = min(2*c.settle, h.plan.MaxFlapDelay)
		return Flapping
	case h.now >= c.at+h.plan.MaxFlapDelay:
		c.settle = h.plan.FlapDelay
	}
	p.count++
	c.before, c.now, c.at = c.now, text, h.now
	p.active[t] = activeProposal{x, h.now + h.plan.ProposalTTL}
	return ""
}

// fits holds a proposal against the rules, as the list and the tenants are now.
func (h *Guard) fits(x Proposal, revision int64) Reason {
	tenant, known := h.tenants[x.Tenant]
	switch {
	case x.Kind == Retry:
		return UnsafeRetry
	case x.Kind < Allow || x.Kind > Retry:
		return UnknownKind
	case !known:
		return UnknownTenant
	case x.Kind != Allow && (math.IsNaN(x.Figure) || math.IsInf(
		x.Figure,
		0,
	) || x.Figure <= 0 || x.Kind == Shed && x.Figure > 1):
		return InvalidFigure
	case x.Kind != Allow:
		return ""
	}
	for _, id := range x.Backends {
		if h.changed[id] > revision {
			return StaleRevision
		}
		if b, there := h.list[id]; !there {
			return UnknownBackend
		} else if b.Status != policy.Ready {
			return BackendDraining
		}
	}
	return h.room(tenant, x.Backends)
}

// strength is a backend's weight, less while it is cold.
func (h *Guard) strength(id string) float64 {
	if r, there := h.ramp[id]; there {
		return h.list[id].Weight * r
	}
	return h.list[id].Weight
}

// room says whether a tenant can be left with these backends: each of its products has somewhere to go from each of its
// zones, it is left with a part of what is its fair share of the strength, and not mostly with cold ones.
func (h *Guard) room(t Tenant, ids []string) Reason {
	for _, p := range h.products {
		for _, zone := range t.Zones {
			if reason := h.roomFor(p, zone, t, ids); reason != "" {
				return reason
			}
		}
	}
	return ""
}

// roomFor is why backends are not enough for a product in a zone; empty: they are.
func (h *Guard) roomFor(p policy.Product, zone int, t Tenant, ids []string) Reason {
	left, all, cold, might := 0.0, 0.0, 0.0, false
	for _, id := range h.ids {
		if !isOpen(p, zone, h.list[id]) {
			continue
		}
		might = true
		all += h.strength(id)
		if slices.Contains(ids, id) {
			left += h.strength(id)
			if r, there := h.ramp[id]; there && r < 1 {
				cold += h.strength(id)
			}
		}
	}
	switch {
	case might && left == 0:
		return NoEligibleBackend
	case cold > h.plan.MaxColdShare*left:
		return ColdBackends
	case left < h.plan.MinCapacityShare*all*float64(t.Proxies)/float64(max(h.proxies, 1)):
		return InsufficientCapacity
	}
	return ""
}

// isOpen reports whether a product may go from a zone to a backend.
func isOpen(p policy.Product, zone int, b tenancy.Backend) bool {
	return b.Status == policy.Ready && (!p.OwnZone || b.Zone == zone) &&
		(p.OnlyZones == nil || slices.Contains(p.OnlyZones, b.Zone)) &&
		(p.OnlyKinds == nil || slices.Contains(p.OnlyKinds, b.Kind))
}

// join is what holds for a tenant: of allowed sets what all have in common, where that is enough, else that of the
// higher precedence; of caps the least.
func (h *Guard) join(tenant string) Limit {
	l := Limit{Tenant: tenant}
	for _, p := range slices.SortedFunc(maps.Values(h.plugins), func(a, b *plugin) int {
		return cmp.Or(cmp.Compare(b.precedence, a.precedence), cmp.Compare(a.name, b.name))
	}) {
		for _, kind := range []Kind{Allow, Cap, Shed} {
			x, there := p.active[thing{tenant, kind}]
			if !there {
				continue
			}
			// What passed once need not hold with the list of now.
			if h.now >= x.endsAt || h.fits(x.Proposal, h.revision) != "" {
				delete(p.active, thing{tenant, kind})
				continue
			}
			h.applyTo(&l, kind, x.Proposal)
		}
	}
	return l
}

// applyTo tightens a limit by a proposal.
func (h *Guard) applyTo(l *Limit, kind Kind, x Proposal) {
	most := x.Figure
	switch kind {
	case Allow:
		ids := slices.Sorted(slices.Values(x.Backends))
		if l.Backends != nil {
			ids = slices.DeleteFunc(ids, func(id string) bool { return !slices.Contains(l.Backends, id) })
		}
		if h.room(h.tenants[l.Tenant], ids) == "" {
			l.Backends = slices.Compact(ids)
		}
		return
	case Shed:
		if most *= h.demand[l.Tenant]; most == 0 {
			return
		}
	case Cap, Retry: // are a figure as they stand
	}
	if l.MaxRate == 0 || most < l.MaxRate {
		l.MaxRate = most
	}
}

// tell says what has changed. What ends with a plug-in is taken back a few at a time: all at once would be a table for
// each proxy, and all txns back on the same backends.
func (h *Guard) tell() {
	if h.now >= h.back+policy.Second {
		h.back, h.backs = h.now, 0
	}
	for _, name := range slices.Sorted(maps.Keys(h.tenants)) {
		next, was := h.join(name), h.notified[name]
		was.Tenant = name
		same := slices.Equal(next.Backends, was.Backends) && math.Abs(next.MaxRate-was.MaxRate) <= 0.05*was.MaxRate
		if same {
			continue
		}
		bare := was.Backends != nil && h.room(h.tenants[name], was.Backends) != "" // it cannot stay as it is
		if ends := next.Backends == nil && was.Backends != nil; ends && !bare {
			if h.backs >= h.plan.MaxLiftsPerSecond {
				continue
			}
			h.backs++
		}
		if h.notified[name] = next; next.Backends == nil && next.MaxRate == 0 {
			delete(h.notified, name)
		}
		h.orders = append(h.orders, next)
	}
	for name := range h.notified {
		if _, known := h.tenants[name]; !known {
			delete(h.notified, name)
		}
	}
}

// Pending says whether something is to be taken back, or ages, without further events.
func (h *Guard) Pending() bool { return len(h.notified) > 0 }
