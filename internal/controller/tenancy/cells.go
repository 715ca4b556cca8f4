package tenancy

import (
	"cmp"
	"fmt"
	"slices"

	"elmfold/internal/policy"
)

// Event is one of the structs below, in the order in which they happened.
type Event any

// ListUpdate is the whole list as it is now.
type ListUpdate struct{ Backends []Backend }

// ProxyConnected says that a proxy of a zone is connected.
type ProxyConnected struct{ Proxy, Zone int }

// ProxyDisconnected says that a proxy is no longer connected.
type ProxyDisconnected struct{ Proxy int }

// UsageReport sums the txns of a product that came to a proxy in a span.
type UsageReport struct {
	Proxy, Product int
	Txns, Failed   float64
	Period         Time
}

// BackendReport sums what proxies met at a backend.
type BackendReport struct {
	Backend          int
	Attempts, Failed float64
	Latency          Time
}

// PlanUpdate brings another plan. A tenant whose cell differs moves there; the first plan holds at once.
type PlanUpdate struct{ Plan Plan }

// Move moves a tenant to a fixed cell.
type Move struct{ Tenant, Cell string }

// CancelMove reverts a move that is under way.
type CancelMove struct{ Tenant string }

// Action is a policy.ProxyRestricted or a Note.
type Action any

// LogMessage is a line for people.
type LogMessage struct {
	Warn bool
	Text string
}

const (
	tick         = policy.Second
	lendUnder    = 0.5  // part of its usual strength under which a cell is lent to
	backOver     = 0.6  // ... over which loans go back
	usualDecay   = 0.99 // a tick, of the usual strength while there is less
	reportDecay  = 0.5  // a tick, of what was heard of a backend and a proxy
	fewTries     = 4.0
	badOver      = 0.2  // voided over the others' median from which a cell is in trouble
	slowOver     = 2.5  // time of answers over the others' median
	lateFrom     = 0.4  // ... and over the SLA time
	usualUse     = 0.95 // a tick, of what a tenant usually asks for
	risen        = 2.0  // use over that, from which a tenant is the first to be bounded
	cutRisen     = 0.4
	triesPart    = 0.1 // of a cell's txns that may be voided while further tries are made there
	troubled     = 2   // ticks in a row
	reduceFactor = 0.8
	cutEvery     = 3 * policy.Second
	raiseFactor  = 1.2
	lostOver     = 1.5  // part of its backends that failed over that of the fleet, from which a tenant is at fault
	freeOver     = 1.5  // bound over use from which there is none
	leastTell    = 0.12 // relative change of a bound that is worth telling
)

type phase uint8

const (
	steady phase = iota
	prepared
	moving
)

func (p phase) String() string { return [...]string{"settled", "prepared", "moving"}[p] }

// demandPoint is where a product needs backends: the index of the need, and the zone or -1 for any.
type demandPoint struct{ need, zone int }

// loan is a backend lent to a tenant.
type loan struct {
	id     string
	up     Time
	endsAt Time
}

type tenant struct {
	Tenant
	// A move: from is the cell that it leaves; the first done of its proxies are over, those up to both have both
	// cells' lines.
	phase      phase
	from       string
	wanted     string // the cell to go to when this move is over; empty: to stay
	done, both int
	at         Time // of the last step of the move
	calm       Time // no further tries up to then

	own []int // backends when nothing is lent and nothing moves, sorted; of Cell
	// lowestScores is the lowest score among them by need and zone; below 0 where more would be taken.
	lowestScores [][]float64
	former       []int                   // those of the cell that it leaves
	usual        map[demandPoint]float64 // strength
	loans        []loan
	base         map[string]bool // its own before the failures of late
	failAt       Time            // the last of them
	lost         []Time          // ends of backends given to it in the place of others, of late
	// guards a poisoned tenant that kills one backend after the other: a trickle of txns, and nobody new
	contained bool

	bad              int     // ticks in trouble
	unhealthy, spent bool    // in trouble; its cell's budget of further tries is used up
	use, served      float64 // txns/s
	usualUse         float64 // usually
	bound            float64
	cutAt            Time
}

type proxy struct {
	joined       bool
	zone         int
	tenant       int       // -1: none
	txns, voided []float64 // a second, by product
	confinement  policy.ProxyRestricted
	ever         bool // it was told something
}

func sum(all []float64) (s float64) {
	for _, v := range all {
		s += v
	}
	return s
}

type backendStats struct{ attempts, failed, good, spent float64 }

// Manager settles for one controller. Use New.
type Manager struct {
	plan    Plan
	on      bool
	now     Time
	list    []Backend      // in the order of ids
	split   map[int]string // the fixed cell of each
	byAt    []Backend      // without an id where there is none
	needs   []policy.Product
	minSLA  float64 // the least SLA time
	tenants []*tenant
	proxies []proxy
	reports map[int]*backendStats
	failed  []Time // ends of backends without a drain, of late
	tickAt  Time
	dirty   bool
	out     []Action
}

// New makes Cells that confine nobody until a plan is there.
func New(proxies int) *Manager {
	c := &Manager{proxies: make([]proxy, proxies), reports: map[int]*backendStats{}}
	for i := range c.proxies {
		c.proxies[i].tenant = -1
	}
	return c
}

// Next is the moment at which Step is due without an event; 0 where none is.
func (c *Manager) Next() Time {
	if !c.on {
		return 0
	}
	return c.tickAt
}

// Step takes what happened in a moment.
func (c *Manager) Step(now Time, events []Event) []Action {
	c.now, c.out = max(now, c.now), nil
	for _, e := range events {
		c.handle(e)
	}
	if !c.on && !c.dirty {
		return c.out
	}
	ticked := c.on && c.now >= c.tickAt
	if ticked {
		c.tickAt = c.now + tick
		c.limit()
	}
	if ticked || c.dirty {
		for _, t := range c.tenants {
			c.advance(t)
			c.lend(t)
		}
		c.tell()
		c.dirty = false
	}
	return c.out
}

func (c *Manager) note(warn bool, format string, v ...any) {
	c.out = append(c.out, LogMessage{warn, fmt.Sprintf(format, v...)})
}

func (c *Manager) handle(e Event) {
	switch e := e.(type) {
	case ListUpdate:
		c.relist(e.Backends)
	case ProxyConnected:
		if p := c.at(e.Proxy); p != nil {
			// What an earlier stream was told is no more: the decisions lay its tables anew.
			p.joined, p.zone, p.ever, c.dirty = true, e.Zone, p.ever && p.confinement.Restricted, true
		}
	case ProxyDisconnected:
		if p := c.at(e.Proxy); p != nil {
			p.joined, p.txns, p.voided, c.dirty = false, nil, nil, true
		}
	case UsageReport:
		if p := c.at(e.Proxy); p != nil && e.Period > 0 {
			s := float64(e.Period) / float64(policy.Second)
			for len(p.txns) <= e.Product {
				p.txns, p.voided = append(p.txns, 0), append(p.voided, 0)
			}
			p.txns[e.Product] = p.txns[e.Product]*reportDecay + max(e.Txns, 0)/s*(1-reportDecay)
			p.voided[e.Product] = p.voided[e.Product]*reportDecay + max(e.Failed, 0)/s*(1-reportDecay)
		}
	case BackendReport:
		n := c.reports[e.Backend]
		if n == nil {
			n = &backendStats{}
			c.reports[e.Backend] = n
		}
		tries := max(e.Attempts, 0)
		voided := min(max(e.Failed, 0), tries)
		n.attempts, n.failed, n.good = n.attempts+tries, n.failed+voided, n.good+tries-voided
		n.spent += (tries - voided) * float64(e.Latency)
	case PlanUpdate:
		c.replan(e.Plan)
	case Move:
		c.begin(e.Tenant, e.Cell)
	case CancelMove:
		if t := c.named(e.Tenant); t != nil && t.phase != steady {
			c.undo(t, "it was asked for")
		}
	}
}

// relist takes the list as it is now; only tenants that a change can concern are looked at anew.
func (c *Manager) relist(all []Backend) {
	before := c.byAt
	c.list = slices.SortedFunc(slices.Values(all), func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	c.byAt = nil
	for _, b := range c.list {
		c.byAt = append(c.byAt, make([]Backend, max(b.Index+1-len(c.byAt), 0))...)
		c.byAt[b.Index] = b
	}
	moved, failed := c.compareLists(before)
	c.resplit()
	for _, b := range failed {
		c.noteFailed(b)
	}
	for _, t := range c.tenants {
		concerns := func(b Backend) bool { return c.plan.moves(t, b, b.Status == policy.Ready) }
		if t.phase != steady || slices.ContainsFunc(moved, concerns) {
			c.assign(t)
		}
	}
}

// compareLists is which backends left, came or changed, and which failed: gone without a drain, or started anew while
// they served.
func (c *Manager) compareLists(before []Backend) (moved, failed []Backend) {
	at := func(list []Backend, i int) (b Backend) {
		if i < len(list) {
			b = list[i]
		}
		return b
	}
	for i := range max(len(before), len(c.byAt)) {
		was, is := at(before, i), at(c.byAt, i)
		if was == is {
			continue
		}
		if c.dirty = true; was.ID != is.ID {
			delete(c.reports, i)
		}
		if was.Status == policy.Ready && (is.ID != was.ID || is.Status == policy.Gone || is.StartedAt > was.StartedAt) {
			failed = append(failed, was)
		}
		// Start time and weight change no set.
		if was.ID == is.ID && was.Zone == is.Zone && was.Kind == is.Kind && was.Status == is.Status {
			continue
		}
		for _, b := range []Backend{was, is} {
			if b.ID != "" {
				moved = append(moved, b)
			}
		}
	}
	return moved, failed
}

// noteFailed notes a failure at the tenants that use the backend. That their own fail can have any cause, also all at
// once; that those fail which a tenant got for them is a sign.
func (c *Manager) noteFailed(b Backend) {
	c.failed = append(c.failed, c.now)
	for _, t := range c.tenants {
		lent := slices.ContainsFunc(t.loans, func(l loan) bool { return l.id == b.ID })
		if !lent && !has(t.own, b.Index) && !has(t.former, b.Index) {
			continue
		}
		if t.failAt = c.now; lent || !t.base[b.ID] {
			t.lost = append(t.lost, c.now)
		}
	}
}

func (c *Manager) resplit() {
	if c.split = nil; !c.plan.Shuffle {
		c.split = c.plan.split(c.list)
	}
}

// assign works out a tenant's own set.
func (c *Manager) assign(t *tenant) {
	own := c.plan.own(t.Tenant, c.list, c.split)
	if t.contained { // it gets nobody new
		own = slices.DeleteFunc(own, func(at int) bool { return !has(t.own, at) })
	}
	t.own, t.former, c.dirty = own, nil, true
	if t.failAt == 0 || c.now > t.failAt+c.plan.LostWindow {
		t.base, t.failAt = map[string]bool{}, 0
		for _, at := range own {
			t.base[c.byAt[at].ID] = true
		}
	}
	if t.phase != steady {
		was := t.Tenant
		was.Cell = t.from
		t.former = c.plan.own(was, c.list, c.split)
	}
	if !c.plan.Shuffle {
		return
	}
	size, seed := cmp.Or(t.ShardSize, c.plan.ShardSize), tenantSeed(t.Name)
	t.lowestScores = nil
	for _, need := range c.needs {
		scores := make([][]float64, c.plan.Zones)
		for _, at := range t.own {
			if b := c.byAt[at]; fits(need, b) {
				scores[b.Zone] = append(scores[b.Zone], score(seed, b.ID))
			}
		}
		least := slices.Repeat([]float64{-1}, c.plan.Zones)
		for z, all := range scores {
			if slices.Sort(all); len(all) >= size { // others are there for another need
				least[z] = all[len(all)-size]
			}
		}
		t.lowestScores = append(t.lowestScores, least)
	}
}

func (c *Manager) at(proxy int) *proxy {
	if proxy < 0 || proxy >= len(c.proxies) {
		return nil
	}
	return &c.proxies[proxy]
}

func (c *Manager) named(name string) *tenant {
	for _, t := range c.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// replan takes another plan. What is known of a tenant that stays goes on; one whose cell differs moves.
func (c *Manager) replan(p Plan) {
	before := map[string]*tenant{}
	for _, t := range c.tenants {
		before[t.Name] = t
	}
	first := !c.on
	if c.plan, c.on, c.dirty = p, len(p.Tenants) > 0, true; first {
		c.tickAt = c.now + tick
	}
	c.tenants, c.needs, c.minSLA = nil, p.needs(), 0
	c.resplit()
	for _, r := range p.Products {
		if c.minSLA == 0 || float64(r.SLA) < c.minSLA {
			c.minSLA = float64(r.SLA)
		}
	}
	for i := range c.proxies {
		c.proxies[i].tenant = -1
	}
	for i, planned := range p.Tenants {
		c.replanTenant(i, planned, before[planned.Name])
	}
}

// replanTenant adds a tenant; one that was there before, if it was, goes on in its cell until it has moved.
func (c *Manager) replanTenant(i int, planned Tenant, t *tenant) {
	known := t != nil
	if !known {
		t = &tenant{Tenant: planned}
	}
	cell := t.Cell
	if t.Tenant = planned; known && cell != planned.Cell {
		t.Cell = cell
	}
	c.tenants = append(c.tenants, t)
	for _, at := range planned.Proxies {
		if q := c.at(at); q != nil {
			q.tenant = i
		}
	}
	t.usual = map[demandPoint]float64{}
	t.wanted = planned.Cell
	c.assign(t)
	if t.phase == steady && cell != planned.Cell {
		c.begin(planned.Name, planned.Cell)
	}
}

// begin orders a move. One that is under way is turned round or ended first by its own steps.
func (c *Manager) begin(name, cell string) {
	t := c.named(name)
	named := func(one Cell) bool { return one.Name == cell }
	switch {
	case t == nil:
		c.note(true, "no tenant %s to move", name)
	case c.plan.Shuffle || !slices.ContainsFunc(c.plan.Cells, named):
		c.note(true, "tenant %s cannot move: no fixed cell %s", name, cell)
	case t.phase != steady:
		c.note(true, "tenant %s moves already, from %s to %s", name, t.from, t.Cell)
	case t.Cell == cell:
	default:
		t.phase, t.from, t.Cell, t.done, t.both, t.at, c.dirty = prepared, t.Cell, cell, 0, 0, c.now, true
		t.wanted = cell
		c.note(false, "tenant %s is to move from %s to %s", name, t.from, cell)
		c.assign(t)
	}
}

func (c *Manager) undo(t *tenant, why string) {
	c.note(true, "tenant %s stays in %s: the move to %s is undone at %d of %d proxies, %s", t.Name, t.from, t.Cell, t.both,
		len(t.Proxies), why)
	t.phase, t.Cell, t.from, t.done, t.both, t.usual = steady, t.from, "", 0, 0, map[demandPoint]float64{}
	t.wanted = ""
	t.calm = c.now + c.plan.SettleTime
	c.assign(t)
}

// warm is the strength of a set for a product that is ready and no longer cold, in a zone or in all (-1).
func (c *Manager) warm(s []int, need policy.Product, zone int) (ready, warm float64) {
	for _, at := range s {
		if b := c.byAt[at]; b.Status == policy.Ready && fits(need, b) && (zone < 0 || b.Zone == zone) {
			ready += b.Weight
			if c.isWarm(b) {
				warm += b.Weight
			}
		}
	}
	return ready, warm
}

func (c *Manager) isWarm(b Backend) bool {
	return b.StartedAt == 0 || c.now >= b.StartedAt+c.plan.WarmupTime
}

// advance takes a move its next step. Guards a cell of freshly started backends: it is entered when most of it is
// warm, by a part of the proxies at a time; and a cell that dies under a move, which is undone.
func (c *Manager) advance(t *tenant) {
	if t.phase == steady && t.wanted != "" && t.wanted != t.Cell {
		c.begin(t.Name, t.wanted) // a file that came during a move
	}
	if t.phase == steady {
		return
	}
	fit := true
	for _, need := range c.needs {
		for _, zone := range c.zonesOf(t, need) {
			ready, warm := c.warm(t.own, need, zone)
			fit = fit && warm > 0 && warm >= lendUnder*ready
		}
	}
	part := max(1, int(c.plan.MoveFraction*float64(len(t.Proxies))+0.5))
	switch {
	case t.phase == prepared && !fit:
		if c.now >= t.at+c.plan.PrepareTimeout {
			c.undo(t, "the cell did not become warm")
		}
	case !fit:
		c.undo(t, "the cell has lost what a product needs")
	case t.phase == prepared:
		t.phase, t.both, t.at = moving, min(part, len(t.Proxies)), c.now
	case c.now < t.at+c.plan.SettleTime:
	case t.done < t.both:
		t.done, t.at = t.both, c.now
		t.both = min(t.done+part, len(t.Proxies))
		if t.done == len(t.Proxies) {
			c.note(false, "tenant %s has moved from %s to %s, %d proxies", t.Name, t.from, t.Cell, t.done)
			t.phase, t.from, t.calm, t.former = steady, "", c.now+c.plan.SettleTime, nil
			t.usual = map[demandPoint]float64{}
		}
	default: // of no proxies
		t.phase, t.from, t.former = steady, "", nil
	}
}

// zonesOf are those in which a product of a tenant needs backends: each of its joined proxies' where it must stay
// at home, else any.
func (c *Manager) zonesOf(t *tenant, need policy.Product) (zones []int) {
	if !need.OwnZone {
		return []int{-1}
	}
	for _, at := range t.Proxies {
		if p := c.at(at); p != nil && p.joined && !slices.Contains(zones, p.zone) {
			zones = append(zones, p.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// lend gives a tenant that has lost much of its cell backends of others, the next in its order that are warm. A
// loan lasts for a while at least, and goes back when the cell is there again. A tenant
// that is shut in gets one for each need, so that rule 1 is kept.
func (c *Manager) lend(t *tenant) {
	t.loans = slices.DeleteFunc(t.loans, func(l loan) bool {
		b := c.found(l.id)
		return b.Status != policy.Ready || b.StartedAt > l.up
	})
	c.checkContainment(t)
	own, lent := union(t.own, t.former), c.lent(t)
	short := false
	for i, need := range c.needs {
		for _, zone := range c.zonesOf(t, need) {
			warm, usual := c.usualStrength(t, own, demandPoint{i, zone})
			short = short || warm < backOver*usual || warm == 0
			lent = c.lendFor(t, own, lent, demandPoint{i, zone}, warm, usual)
		}
	}
	if short {
		return
	}
	t.loans = slices.DeleteFunc(t.loans, func(l loan) bool {
		if over := c.now >= l.endsAt; over {
			c.note(false, "tenant %s gives %s back", t.Name, l.id)
			return true
		}
		return false
	})
}

// usualStrength is the strength of a tenant's own warm backends, and what is usual at a place. At each tick the
// usual one fades a little.
func (c *Manager) usualStrength(t *tenant, own []int, at demandPoint) (warm, usual float64) {
	keep := 1.0
	if c.now == c.tickAt-tick {
		keep = usualDecay
	}
	ready, warm := c.warm(own, c.needs[at.need], at.zone)
	usual = t.usual[at] * keep
	if t.phase == steady { // two cells' strength is not usual
		usual = max(ready, usual)
	}
	t.usual[at] = usual
	return warm, usual
}

// lendFor lends a tenant backends for a place until it has enough; it returns all that are lent.
func (c *Manager) lendFor(t *tenant, own, lent []int, at demandPoint, warm, usual float64) []int {
	need, want := c.needs[at.need], lendUnder*usual
	isEnough := func() bool {
		_, more := c.warm(lent, need, at.zone)
		return warm+more > 0 && (warm+more >= want || t.contained || len(t.loans) >= c.plan.MaxLoans)
	}
	if isEnough() {
		return lent
	}
	for _, b := range ranked(t.Name, c.list) {
		if isEnough() {
			break
		}
		if !has(own, b.Index) && !has(lent, b.Index) && b.Status == policy.Ready && c.isWarm(b) && fits(need, b) &&
			(at.zone < 0 || b.Zone == at.zone) {
			t.loans = append(t.loans, loan{b.ID, b.StartedAt, c.now + c.plan.MinLoanTime})
			lent = c.lent(t)
			c.note(true, "tenant %s is lent %s: %.1f of its usual %.1f are ready and warm", t.Name, b.ID, warm, usual)
		}
	}
	return lent
}

// checkContainment contains a tenant when too many of the backends that it was given failed of late, and a far larger
// part of them than of the fleet: a bad release fails everywhere and is no tenant's fault.
func (c *Manager) checkContainment(t *tenant) {
	old := func(at Time) bool { return c.now > at+c.plan.LostWindow }
	t.lost, c.failed = slices.DeleteFunc(t.lost, old), slices.DeleteFunc(c.failed, old)
	n, all := float64(len(t.lost)), float64(len(c.failed))
	part, fleet := n/max(n+float64(len(t.own)), 1), all/max(all+float64(len(c.list)), 1)
	shut := c.plan.MaxLost > 0 && len(t.lost) >= c.plan.MaxLost && (t.contained || part > lostOver*fleet)
	if shut == t.contained {
		return
	}
	if t.contained = shut; shut {
		c.note(
			true,
			"tenant %s is shut in: %d of the backends given to it have failed, %d in all; %.1f txns/s a proxy",
			t.Name,
			len(t.lost),
			len(c.failed),
			c.plan.ContainedRate,
		)
	} else {
		c.note(false, "tenant %s is no longer shut in", t.Name)
	}
	c.assign(t)
}

// lent are the backends lent to a tenant.
func (c *Manager) lent(t *tenant) (set []int) {
	for _, l := range t.loans {
		if b := c.found(l.id); b.ID != "" {
			set = append(set, b.Index)
		}
	}
	slices.Sort(set)
	return set
}

// found is a backend of the list; one without an id where it is not there.
func (c *Manager) found(id string) Backend {
	if i, ok := slices.BinarySearchFunc(c.list, id, func(b Backend, id string) int { return cmp.Compare(b.ID, id) }); ok {
		return c.list[i]
	}
	return Backend{}
}

// limit judges each cell against the others, once a tick, and bounds what the tenants of one in trouble let in.
func (c *Manager) limit() {
	fails, took := c.reported()
	badAll, allFails := middle(fails, nil)
	slowAll, allTook := middle(took, nil)
	for _, t := range c.tenants {
		// All of its backends but a few are in trouble, not those alone that it shares with one who is.
		badIn, n := low(fails, t.own)
		slowIn, m := low(took, t.own)
		badOut, others, slowOut, othersToo := badAll, allFails-n, slowAll, allTook-m
		if 4*len(t.own) > len(c.list) { // else it weighs little among all, and all are known already
			badOut, others = middle(fails, t.own)
			slowOut, othersToo = middle(took, t.own)
		}
		c.sumUse(t)
		isFailing := n > 0 && others > 0 && badIn > badOut+badOver
		isSlow := m > 0 && othersToo > 0 && slowIn > slowOver*slowOut && slowIn > lateFrom*c.minSLA
		t.unhealthy = isFailing || isSlow
		if !t.unhealthy {
			t.bad = 0
			if t.usualUse == 0 || t.bound == 0 {
				t.usualUse = either(t.usualUse == 0, t.use, t.usualUse*usualUse+t.use*(1-usualUse))
			}
		} else if t.bad++; t.bad == troubled {
			c.note(
				true,
				"tenant %s: its cell voids %.0f%% beside %.0f%%, answers take %.1f ms beside %.1f; it asks for %.1f/s, "+
					"usually %.1f",
				t.Name,
				100*badIn,
				100*badOut,
				slowIn/10,
				slowOut/10,
				t.use,
				t.usualUse,
			)
		}
	}
	c.limitPools()
}

// reported is what part failed at each backend, and how long responses took, by index; below 0 where too little was
// reported. Older reports fade.
func (c *Manager) reported() (fails, took []float64) {
	fails, took = slices.Repeat([]float64{-1}, len(c.byAt)), slices.Repeat([]float64{-1}, len(c.byAt))
	for at, n := range c.reports {
		if at < len(c.byAt) && n.attempts >= fewTries {
			fails[at] = n.failed / n.attempts
			if n.good > 0 {
				took[at] = n.spent / n.good
			}
		}
		n.attempts, n.failed = n.attempts*reportDecay, n.failed*reportDecay
		n.good, n.spent = n.good*reportDecay, n.spent*reportDecay
	}
	return fails, took
}

// sumUse sums up a tenant's use, and what of it is served.
func (c *Manager) sumUse(t *tenant) {
	t.use, t.served = 0, 0
	for _, at := range t.Proxies {
		if p := c.at(at); p != nil && p.joined {
			t.use, t.served = t.use+sum(p.txns), t.served+max(sum(p.txns)-sum(p.voided), 0)
		}
	}
}

// limitPools binds the tenants, and withdraws retries from those in a pool where too much fails. The tenants of a fixed
// cell are a pool; a shuffled one is a pool of its own.
func (c *Manager) limitPools() {
	type sums struct{ use, served float64 }
	pools := map[string]sums{}
	pool := func(t *tenant) string { return either(c.plan.Shuffle, "tenant "+t.Name, "cell "+t.Cell) }
	for _, t := range c.tenants {
		c.bind(t)
		at := pools[pool(t)]
		pools[pool(t)] = sums{at.use + t.use, at.served + t.served}
	}
	for _, t := range c.tenants {
		at := pools[pool(t)]
		t.spent = at.use-at.served > triesPart*at.use
	}
}

// bind bounds a tenant whose cell is in trouble. Of several in one cell those come first that ask for far more
// than they usually do; the others are bounded when that has not helped.
func (c *Manager) bind(t *tenant) {
	least := func(u *tenant) float64 { return c.plan.ContainedRate * float64(len(u.Proxies)) }
	rises := func(u *tenant) bool { return u.use > risen*u.usualUse }
	blamed := func(u *tenant) bool {
		return u != t && u.bad >= troubled && rises(u) && slices.Equal(u.own, t.own) && (u.bound == 0 || u.bound > 2*least(u))
	}
	switch {
	case t.bad >= troubled && !rises(t) && slices.ContainsFunc(c.tenants, blamed):
	case t.bad >= troubled && (t.bound == 0 || c.now >= t.cutAt+cutEvery):
		if t.bound == 0 {
			t.bound = max(min(t.served, t.usualUse), least(t))
			c.note(true, "tenant %s is bounded to %.1f/s", t.Name, t.bound)
		}
		t.bound, t.cutAt = max(t.bound*either(rises(t), cutRisen, reduceFactor), least(t)), c.now
	case t.bad == 0 && t.bound > 0:
		// While it asks for far more than usual, what made its cell sick is likely to be there still.
		if !rises(t) {
			t.bound *= raiseFactor
		}
		if t.bound > freeOver*t.use {
			c.note(false, "tenant %s is no longer bounded: %.0f txns/s", t.Name, t.bound)
			t.bound = 0
		}
	}
}

func either[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}

// low is the lower quartile of the values of a set that are known, and how many are.
func low(of []float64, set []int) (float64, int) {
	var all []float64
	for _, at := range set {
		if at < len(of) && of[at] >= 0 {
			all = append(all, of[at])
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/4], len(all)
}

// middle is the median of the values that are known, less those of a set.
func middle(of []float64, less []int) (float64, int) {
	var all []float64
	for at, v := range of {
		if v >= 0 && !has(less, at) {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], len(all)
}

// tell orders what differs from what each joined proxy was told.
func (c *Manager) tell() {
	for _, t := range c.tenants {
		lent := c.lent(t)
		settled, leaving := union(t.own, lent), union(t.former, lent)
		shares := c.shares(t)
		for i, at := range t.Proxies {
			p := c.at(at)
			if p == nil || !p.joined {
				continue
			}
			may := settled
			if t.phase != steady && i >= t.both {
				may = leaving
			} else if t.phase != steady && i >= t.done {
				may = union(settled, leaving)
			}
			c.send(p, policy.ProxyRestricted{Proxy: at, Restricted: true, Backends: may, MaxRate: shares[i],
				NoRetries: c.now < t.calm || t.unhealthy || t.spent || t.phase == moving && i < t.both})
		}
	}
	for i := range c.proxies {
		if p := &c.proxies[i]; p.tenant < 0 && p.joined && p.ever && p.confinement.Restricted {
			c.send(p, policy.ProxyRestricted{Proxy: i})
		}
	}
}

// shares parts what a tenant may let in among its proxies: none gets more than it is asked for while others lack.
func (c *Manager) shares(t *tenant) []float64 {
	shares := make([]float64, len(t.Proxies))
	total := t.bound
	if t.contained {
		for i := range shares {
			shares[i] = c.plan.ContainedRate
		}
		return shares
	}
	if total == 0 {
		return shares
	}
	left, open := total, []int{}
	for i, at := range t.Proxies {
		if p := c.at(at); p != nil && p.joined {
			open = append(open, i)
		}
	}
	slices.SortStableFunc(open, func(i, j int) int {
		return cmp.Compare(sum(c.proxies[t.Proxies[i]].txns), sum(c.proxies[t.Proxies[j]].txns))
	})
	for n, i := range open {
		part := left / float64(len(open)-n)
		shares[i] = max(min(part, sum(c.proxies[t.Proxies[i]].txns)), c.plan.ContainedRate)
		if n == len(open)-1 {
			shares[i] = max(part, c.plan.ContainedRate)
		}
		left -= min(shares[i], left)
	}
	return shares
}

func (c *Manager) send(p *proxy, o policy.ProxyRestricted) {
	was := p.confinement
	near := was.MaxRate > 0 && o.MaxRate > 0 && o.MaxRate < was.MaxRate*(1+leastTell) &&
		o.MaxRate > was.MaxRate*(1-leastTell)
	if p.ever && was.Restricted == o.Restricted && was.NoRetries == o.NoRetries &&
		slices.Equal(was.Backends, o.Backends) &&
		(near || was.MaxRate == o.MaxRate) {
		return
	}
	p.confinement, p.ever = o, true
	c.out = append(c.out, o)
}

// TenantStatus is what people see of a tenant.
type TenantStatus struct {
	Tenant, Cell, Phase string
	From                string
	Moved, Proxies      int // of its proxies, those that have left the former cell
	Backends, Lent      []string
	Contained           bool    `json:"ShutIn"`
	RateLimit           float64 `json:"Bound"` // txns/s; 0: none
	BlastRadius
}

// BackendShare is what a backend is to the tenants: the part of all their strength, and how many have it.
type BackendShare struct {
	Backend  string
	Fraction float64 `json:"Part"`
	Tenants  int
}

// View is all of it: tenants in the order of the plan, backends in that of their ids.
type View struct {
	Tenants  []TenantStatus
	Backends []BackendShare
}

// View tells how tenants and backends stand.
func (c *Manager) View() (v View) {
	radii, parts := c.plan.BlastRadii(c.list)
	having := map[int]int{}
	for i, t := range c.tenants {
		s := TenantStatus{
			Tenant:      t.Name,
			Cell:        t.Cell,
			Phase:       t.phase.String(),
			From:        t.from,
			Moved:       t.done,
			Proxies:     len(t.Proxies),
			Contained:   t.contained,
			RateLimit:   t.bound,
			BlastRadius: radii[i],
		}
		for _, at := range t.own {
			s.Backends = append(s.Backends, c.byAt[at].ID)
			having[at]++
		}
		for _, l := range t.loans {
			s.Lent = append(s.Lent, l.id)
		}
		slices.Sort(s.Backends)
		v.Tenants = append(v.Tenants, s)
	}
	for _, b := range c.list {
		if having[b.Index] > 0 {
			v.Backends = append(v.Backends, BackendShare{b.ID, parts[b.Index], having[b.Index]})
		}
	}
	return v
}
