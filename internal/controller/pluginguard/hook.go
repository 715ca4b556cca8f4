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
	NoKind     Reason = "no such proposal"
	NoTenant   Reason = "no such tenant"
	NoFigure   Reason = "no figure that can be"
	NoBackend  Reason = "names a backend that is not on the list"
	Drains     Reason = "names a backend that drains"
	Bare       Reason = "leaves a product with nowhere to go"
	Cold       Reason = "puts too much on backends that are cold"
	Narrow     Reason = "puts more on these backends than their part of the fleet"
	OnceOnly   Reason = "a further try may take effect twice"
	Stale      Reason = "made on a list that has changed since"
	TooMany    Reason = "too many changes in a second"
	Flaps      Reason = "goes back and forth"
	OutOfForce Reason = "the plug-in is paused or put out"
)

// Event is one of the structs below.
type Event any

// Planned brings the tenants, with their proxies' zones, and the products.
type Planned struct {
	Products []policy.Product
	Tenants  map[string]Tenant
	Proxies  int // of all
}

// Tenant is who a proposal is about.
type Tenant struct {
	Proxies int
	Zones   []int // in which it has proxies
}

// Listed brings the whole list. Cold is the part of a backend's weight that it has by now, by place in it; none: all.
type Listed struct {
	Revision int64
	Backends []tenancy.Backend
	Ramp     map[string]float64
}

// Asked says what a tenant asks for now, in txns/s.
type Asked struct {
	Tenant string
	Rate   float64
}

// Loaded says that a plug-in counts from now on. Of two that differ the one of the higher precedence holds.
type Loaded struct {
	Plugin     string
	Precedence int
}

// Proposed brings what a plug-in wants as a whole, made on a revision of the list: what it does not name any more ends.
type Proposed struct {
	Plugin   string
	Revision int64
	All      []Proposal
}

// Faulted says that a plug-in looped, trapped, or said what cannot be read.
type Faulted struct {
	Plugin string
	Why    string
}

// Removed says that a plug-in counts no longer.
type Removed struct{ Plugin string }

// Order is one of the structs below.
type Order any

// Limit is what holds for a tenant from now on: no Backends is all, a Most of 0 is no bound.
type Limit struct {
	Tenant   string
	Backends []string
	Most     float64
}

// Refused counts proposals that were refused for a reason, with the first of them.
type Refused struct {
	Plugin string
	Reason Reason
	First  Proposal
	Count  int
}

// Paused says that a plug-in is not asked until a moment; then it is tried.
type Paused struct {
	Plugin string
	Until  Time
	Why    string
}

// PutOut says that a plug-in is not asked again.
type PutOut struct{ Plugin, Why string }

// Plan is what a Hook is given once.
type Plan struct {
	Hold      Time    // that a proposal is in force without being made again
	Changes   int     // of what is in force, of a plug-in in a second
	Least     float64 // part of its fair strength that a tenant must be left with
	ColdMost  float64 // part of the strength left to a tenant that may be cold
	Settle    Time    // between changes of one thing that goes back and forth; doubled each time
	Settles   Time    // at most
	Pause     Time    // after a fault; doubled each time
	Faults    int     // in Forget, after which it is put out
	Forget    Time    // that a fault is remembered
	TakesBack int     // limits in a second that are taken back when a plug-in goes
}

// Usual is the Plan with every figure that may be left out.
func Usual() Plan {
	const s = policy.Second
	return Plan{
		Hold:      10 * s,
		Changes:   20,
		Least:     0.5,
		ColdMost:  0.5,
		Settle:    2 * s,
		Settles:   64 * s,
		Pause:     s,
		Faults:    6,
		Forget:    600 * s,
		TakesBack: 10,
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

// Hook holds the plug-ins' standing and what of theirs is in force.
type Hook struct {
	plan     Plan
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
func New(plan Plan) *Hook {
	return &Hook{
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
func (h *Hook) Step(now Time, events []Event) []Order {
	h.now, h.orders = max(now, h.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Planned:
			h.products, h.tenants, h.proxies = e.Products, e.Tenants, e.Proxies
		case Listed:
			h.onList(e)
		case Asked:
			h.demand[e.Tenant] = e.Rate
		case Loaded:
			h.plugins[e.Plugin] = &plugin{
				name:       e.Plugin,
				precedence: e.Precedence,
				active:     map[thing]activeProposal{},
				changes:    map[thing]*change{},
				pause:      h.plan.Pause,
			}
		case Proposed:
			if p := h.plugins[e.Plugin]; p != nil {
				h.propose(p, e)
			}
		case Faulted:
			if p := h.plugins[e.Plugin]; p != nil && !p.out {
				h.fault(p, e.Why)
			}
		case Removed:
			delete(h.plugins, e.Plugin)
		}
	}
	h.tell()
	return h.orders
}

func (h *Hook) onList(e Listed) {
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
func (h *Hook) fault(p *plugin, why string) {
	p.faults = append(slices.DeleteFunc(p.faults, func(at Time) bool { return h.now > at+h.plan.Forget }), h.now)
	clear(p.active)
	if len(p.faults) >= h.plan.Faults {
		p.out = true
		h.orders = append(h.orders, PutOut{p.name, fmt.Sprintf("%d faults, the last: %s", len(p.faults), why)})
		return
	}
	p.paused = h.now + p.pause
	h.orders = append(h.orders, Paused{p.name, p.paused, why})
	p.pause *= 2
}

// propose judges each proposal by itself. One round without a fault after a pause, and the pause is short again.
func (h *Hook) propose(p *plugin, e Proposed) {
	refused := map[Reason]*Refused{}
	refuse := func(x Proposal, why Reason) {
		if refused[why] == nil {
			refused[why] = &Refused{Plugin: p.name, Reason: why, First: x}
		}
		refused[why].Count++
	}
	if p.out || h.now < p.paused {
		for _, x := range e.All {
			refuse(x, OutOfForce)
		}
	} else {
		if p.paused > 0 && h.now >= p.paused+h.plan.Hold {
			p.pause, p.paused = h.plan.Pause, 0
		}
		if h.now >= p.second+policy.Second {
			p.second, p.count = h.now, 0
		}
		named := map[thing]bool{}
		for _, x := range e.All {
			if why := h.check(p, x, e.Revision); why != "" {
				refuse(x, why)
			} else {
				named[thing{x.Tenant, x.Kind}] = true
			}
		}
		for t := range p.active {
			if !named[t] && !slices.ContainsFunc(e.All, func(x Proposal) bool { return t == thing{x.Tenant, x.Kind} }) {
				delete(p.active, t) // it wants that no more; what was refused this time stays until it is old
			}
		}
	}
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		h.orders = append(h.orders, *refused[why])
	}
}

// check takes a proposal into force, or says why not.
func (h *Hook) check(p *plugin, x Proposal, revision int64) Reason {
	if why := h.fits(x, revision); why != "" {
		return why
	}
	t := thing{x.Tenant, x.Kind}
	text := fmt.Sprint(x.Backends, x.Figure)
	if was, there := p.active[t]; there && fmt.Sprint(was.Backends, was.Figure) == text {
		p.active[t] = activeProposal{x, h.now + h.plan.Hold}
		return ""
	}
	c := p.changes[t]
	if c == nil {
		c = &change{settle: h.plan.Settle}
		p.changes[t] = c
	}
	if p.count >= h.plan.Changes {
		return TooMany
	}
	switch {
	case c.before == text && h.now < c.at+c.settle:
		c.settle = min(2*c.settle, h.plan.Settles)
		return Flaps
	case h.now >= c.at+h.plan.Settles:
		c.settle = h.plan.Settle
	}
	p.count++
	c.before, c.now, c.at = c.now, text, h.now
	p.active[t] = activeProposal{x, h.now + h.plan.Hold}
	return ""
}

// fits holds a proposal against the rules, as the list and the tenants are now.
func (h *Hook) fits(x Proposal, revision int64) Reason {
	tenant, known := h.tenants[x.Tenant]
	switch {
	case x.Kind == Retry:
		return OnceOnly
	case x.Kind < Allow || x.Kind > Retry:
		return NoKind
	case !known:
		return NoTenant
	case x.Kind != Allow && (math.IsNaN(x.Figure) || math.IsInf(
		x.Figure,
		0,
	) || x.Figure <= 0 || x.Kind == Shed && x.Figure > 1):
		return NoFigure
	case x.Kind != Allow:
		return ""
	}
	for _, id := range x.Backends {
		if h.changed[id] > revision {
			return Stale
		}
		if b, there := h.list[id]; !there {
			return NoBackend
		} else if b.Status != policy.Ready {
			return Drains
		}
	}
	return h.room(tenant, x.Backends)
}

// strength is a backend's weight, less while it is cold.
func (h *Hook) strength(id string) float64 {
	if r, there := h.ramp[id]; there {
		return h.list[id].Weight * r
	}
	return h.list[id].Weight
}

// room says whether a tenant can be left with these backends: each of its products has somewhere to go from each of its
// zones, it is left with a part of what is its fair share of the strength, and not mostly with cold ones.
func (h *Hook) room(t Tenant, ids []string) Reason {
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
func (h *Hook) roomFor(p policy.Product, zone int, t Tenant, ids []string) Reason {
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
		return Bare
	case cold > h.plan.ColdMost*left:
		return Cold
	case left < h.plan.Least*all*float64(t.Proxies)/float64(max(h.proxies, 1)):
		return Narrow
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
func (h *Hook) join(tenant string) Limit {
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
func (h *Hook) applyTo(l *Limit, kind Kind, x Proposal) {
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
	if l.Most == 0 || most < l.Most {
		l.Most = most
	}
}

// tell says what has changed. What ends with a plug-in is taken back a few at a time: all at once would be a table for
// each proxy, and all txns back on the same backends.
func (h *Hook) tell() {
	if h.now >= h.back+policy.Second {
		h.back, h.backs = h.now, 0
	}
	for _, name := range slices.Sorted(maps.Keys(h.tenants)) {
		next, was := h.join(name), h.notified[name]
		was.Tenant = name
		same := slices.Equal(next.Backends, was.Backends) && math.Abs(next.Most-was.Most) <= 0.05*was.Most
		if same {
			continue
		}
		bare := was.Backends != nil && h.room(h.tenants[name], was.Backends) != "" // it cannot stay as it is
		if ends := next.Backends == nil && was.Backends != nil; ends && !bare {
			if h.backs >= h.plan.TakesBack {
				continue
			}
			h.backs++
		}
		if h.notified[name] = next; next.Backends == nil && next.Most == 0 {
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

// Waits says whether something is to be taken back, or ages, without further events.
func (h *Hook) Waits() bool { return len(h.notified) > 0 }
