// Package tenancy settles which backends each tenant's proxies may be given, so that one tenant's trouble, or one
// bad backend, harms few others; what is lent to a cell that has lost its backends; how a tenant moves from one
// cell to another; and how much a tenant whose cell is in trouble may let in. It holds no socket, clock, file or
// goroutine. Every controller comes to the same sets from the same list and plan. State table and reasons stand in
// docs/notes/cells.md.
package tenancy

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"elmfold/internal/policy"
)

// Time is a moment or a span as the module of decisions has it.
type Time = policy.Time

// Plan is what an operator file says of cells.
type Plan struct {
	Shuffle   bool
	ShardSize int // of shuffle: backends of each zone for a tenant
	Cells     []Cell
	Tenants   []Tenant

	MaxLoans       int     // backends lent to a tenant at once, at most
	MinLoanTime    Time    // ... for so long at least
	MaxLost        int     // lent backends that may fail within LostOver, until the tenant is shut in
	LostWindow     Time    //
	ContainedRate  float64 // txns/s that each proxy of a tenant that is shut in may let in
	MoveFraction   float64 // of a tenant's proxies that move at a time
	SettleTime     Time    // that a moving part keeps both its old and its new lines
	PrepareTimeout Time    // that a move waits for its new cell to be warm
	WarnFraction   float64 // part of the others' strength that one tenant may touch without a warning

	Products   []policy.Product // where each may go
	Zones      int
	WarmupTime Time
}

// Cell is a fixed cell; Part is its share of the backends beside the others'.
type Cell struct {
	Name  string
	Share float64
}

// Tenant is a group of proxies. Cell names a fixed one; Size is another size than the plan's.
type Tenant struct {
	Name      string
	Proxies   []int
	Cell      string
	ShardSize int
}

// DefaultPlan is a Plan with every figure that may be left out.
func DefaultPlan() Plan {
	return Plan{
		ShardSize:      4,
		MaxLoans:       4,
		MinLoanTime:    30 * policy.Second,
		MaxLost:        4,
		LostWindow:     600 * policy.Second,
		ContainedRate:  0.5,
		MoveFraction:   0.25,
		SettleTime:     4 * policy.Second,
		PrepareTimeout: 120 * policy.Second,
		WarnFraction:   0.25,
	}
}

// Backend is one of the list, at the index that the decisions have it at.
type Backend struct {
	Index      int
	ID         string
	Zone, Kind int
	Status     policy.Status
	Weight     float64
	StartedAt  Time
}

// score orders backends for a name by chance, the same everywhere (rendezvous hashing): who comes or goes moves
// nobody else.
func score(name uint64, id string) float64 {
	return (float64(xxh3.HashStringSeed(id, name)>>11) + 0.5) / (1 << 53)
}

func tenantSeed(name string) uint64 { return xxh3.HashString("tenant " + name) }

// split says which fixed cell each backend belongs to, by index: in each zone each cell gets its part, to within
// one, and who goes where is the best match by score (rendezvous hashing with a bound), so that a change of the
// list moves few. Who is listed and does not serve keeps its place.
func (p *Plan) split(list []Backend) map[int]string {
	type match struct {
		at    int
		cell  int
		score float64
		id    string
	}
	of := map[int]string{}
	total := 0.0
	for _, c := range p.Cells {
		total += c.Share
	}
	for z := range p.Zones {
		var matches []match
		n := 0
		for _, b := range list {
			if b.Zone != z {
				continue
			}
			n++
			for i, c := range p.Cells {
				matches = append(matches, match{b.Index, i, score(xxh3.HashString("cell "+c.Name), b.ID), b.ID})
			}
		}
		// Whole backends by part; what is left over goes to the cells that lack most, other ones in each zone.
		room, left := make([]int, len(p.Cells)), n
		order := make([]int, len(p.Cells))
		for i, c := range p.Cells {
			room[i] = int(c.Share / total * float64(n))
			left -= room[i]
			order[i] = i
		}
		lacks := func(i int) float64 {
			return p.Cells[i].Share/total*float64(n) - float64(room[i]) + 1e-6*score(uint64(z), p.Cells[i].Name)
		}
		slices.SortFunc(order, func(i, j int) int { return cmp.Compare(lacks(j), lacks(i)) })
		for _, i := range order[:min(left, len(order))] {
			room[i]++
		}
		slices.SortFunc(matches, func(a, b match) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id), cmp.Compare(a.cell, b.cell))
		})
		for _, m := range matches {
			if _, taken := of[m.at]; !taken && room[m.cell] > 0 {
				of[m.at] = p.Cells[m.cell].Name
				room[m.cell]--
			}
		}
	}
	return of
}

// ranked are the backends in a tenant's order.
func ranked(name string, all []Backend) []Backend {
	seed := tenantSeed(name)
	type scored struct {
		at    int
		score float64
	}
	order := make([]scored, len(all))
	for i, b := range all {
		order[i] = scored{i, score(seed, b.ID)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(all[a.at].ID, all[b.at].ID))
	})
	sorted := make([]Backend, len(all))
	for i, o := range order {
		sorted[i] = all[o.at]
	}
	return sorted
}

// union merges two sorted sets of backends by index.
func union(a, b []int) []int {
	if len(b) == 0 {
		return a
	}
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

func has(set []int, at int) bool {
	_, ok := slices.BinarySearch(set, at)
	return ok
}

// AssignedBackends returns the indices of a tenant's own backends, sorted, without loans and moves. With shuffle
// sharding these are the tenant's highest-ranked ready backends in each zone, for each placement constraint of the
// products.
func (p *Plan) AssignedBackends(t Tenant, list []Backend) []int {
	var split map[int]string
	if !p.Shuffle {
		split = p.split(list)
	}
	return p.own(t, list, split)
}

// own is Own with the split of the list, which all tenants share.
func (p *Plan) own(t Tenant, list []Backend, split map[int]string) []int {
	own := []int{}
	if !p.Shuffle {
		for _, b := range list {
			if b.Status == policy.Ready && split[b.Index] == t.Cell {
				own = append(own, b.Index)
			}
		}
		slices.Sort(own)
		return own
	}
	size := cmp.Or(t.ShardSize, p.ShardSize)
	order := ranked(t.Name, list)
	for _, r := range p.needs() {
		got := make([]int, p.Zones)
		for _, b := range order {
			if b.Status == policy.Ready && fits(r, b) && got[b.Zone] < size {
				own = append(own, b.Index)
				got[b.Zone]++
			}
		}
	}
	slices.Sort(own)
	return slices.Compact(own)
}

// moves says whether a backend that came, left or changed can change a tenant's own set, which is own now, with
// the least score of it in each zone.
func (p *Plan) moves(t *tenant, b Backend, ready bool) bool {
	switch {
	case has(t.own, b.Index):
		return true
	case !p.Shuffle: // the whole split may differ
		return true
	case !ready:
		return false
	}
	at := score(tenantSeed(t.Name), b.ID)
	for i, need := range p.needs() {
		if fits(need, b) && at >= t.lowestScores[i][b.Zone] {
			return true
		}
	}
	return false
}

// needs are the different places that products ask for.
func (p *Plan) needs() (all []policy.Product) {
	seen := map[string]bool{}
	for _, r := range p.Products {
		if place := fmt.Sprint(r.OwnZone, r.OnlyZones, r.OnlyKinds); !seen[place] {
			seen[place], all = true, append(all, r)
		}
	}
	if len(all) == 0 {
		all = append(all, policy.Product{})
	}
	return all
}

// fits says whether a product may go to a backend from somewhere.
func fits(r policy.Product, b Backend) bool {
	return (r.OnlyZones == nil || slices.Contains(r.OnlyZones, b.Zone)) &&
		(r.OnlyKinds == nil || slices.Contains(r.OnlyKinds, b.Kind))
}

// BlastRadius is what one tenant can harm.
type BlastRadius struct {
	Tenant    string
	Backends  int
	Mean      float64 // of the other tenants' strength, the part that it can touch
	Max       float64 `json:"Most"` // ... of the tenant that shares the most with it
	MaxTenant string  `json:"With"` // that tenant
}

// BlastRadii says of each tenant which part of the others' strength it can touch, in the order of the plan, and of
// each backend, by index, which part of all tenants' strength it is.
func (p *Plan) BlastRadii(list []Backend) (tenants []BlastRadius, backends map[int]float64) {
	own := make([][]int, len(p.Tenants))
	weight := map[int]float64{}
	for _, b := range list {
		weight[b.Index] = b.Weight
	}
	strength := func(s, also []int) (sum float64) {
		for _, at := range s {
			if also == nil || has(also, at) {
				sum += weight[at]
			}
		}
		return sum
	}
	backends = map[int]float64{}
	split := map[int]string{}
	if !p.Shuffle {
		split = p.split(list)
	}
	for i, t := range p.Tenants {
		own[i] = p.own(t, list, split)
		for _, at := range own[i] {
			backends[at] += weight[at] / max(strength(own[i], nil), 1e-9) / float64(len(p.Tenants))
		}
	}
	for i, t := range p.Tenants {
		r := BlastRadius{Tenant: t.Name, Backends: len(own[i])}
		for j, u := range p.Tenants {
			if i == j {
				continue
			}
			part := strength(own[j], own[i]) / max(strength(own[j], nil), 1e-9)
			r.Mean += part / float64(len(p.Tenants)-1)
			if part > r.Max {
				r.Max, r.MaxTenant = part, u.Name
			}
		}
		tenants = append(tenants, r)
	}
	return tenants, backends
}

// Shortfall says why a plan cannot hold for a tenant with a list.
type Shortfall struct {
	Tenant int // by place in the plan
	Reason string
}

// leastShare is the part of a cell's even share of strength, by its proxies, under which it has too little.
const leastShare = 0.5

// Shortfalls says which tenants have no backend where a product of theirs needs one although the list has, and which
// fixed cells have too little strength for the proxies in them.
func (p *Plan) Shortfalls(list []Backend) (all []Shortfall) {
	weight, proxies, total, totalProxies := map[string]float64{}, map[string]int{}, 0.0, 0
	split := p.split(list)
	for _, b := range list {
		if b.Status == policy.Ready {
			weight[split[b.Index]] += b.Weight
			total += b.Weight
		}
	}
	for _, t := range p.Tenants {
		proxies[t.Cell] += len(t.Proxies)
		totalProxies += len(t.Proxies)
	}
	for i, t := range p.Tenants {
		why := p.lacksOwn(p.own(t, list, split), list)
		part := weight[t.Cell] / max(total, 1e-9)
		even := float64(proxies[t.Cell]) / float64(max(totalProxies, 1))
		if why == "" && !p.Shuffle && total > 0 && part < leastShare*even {
			why = fmt.Sprintf("its cell has %.0f%% of the strength for %.0f%% of the proxies", 100*part, 100*even)
		}
		if why != "" {
			all = append(all, Shortfall{i, why})
		}
	}
	return all
}

// lacksOwn is what products lack in a tenant's own backends; empty: nothing.
func (p *Plan) lacksOwn(own []int, list []Backend) (why string) {
	for _, need := range p.needs() {
		there, mine := make([]bool, p.Zones), make([]bool, p.Zones)
		for _, b := range list {
			if b.Status == policy.Ready && fits(need, b) {
				there[b.Zone], mine[b.Zone] = true, mine[b.Zone] || has(own, b.Index)
			}
		}
		for z := range there {
			if need.OwnZone && there[z] && !mine[z] {
				why = fmt.Sprintf("none of its backends is in zone %d, where a product must stay at home", z)
			}
		}
		if !need.OwnZone && slices.Contains(there, true) && !slices.Contains(mine, true) {
			why = "none of its backends may do one of the products"
		}
	}
	return why
}
