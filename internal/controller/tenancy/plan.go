// Package tenancy assigns backends to tenants, in fixed cells or by shuffle sharding, so that a failing tenant or
// backend affects few others. It also lends backends to cells that lost theirs, moves tenants between cells, and
// limits the rate of tenants with unhealthy backends. It does no I/O and starts no goroutine: equal plans and lists
// yield equal assignments on every controller. docs/notes/cells.md has the state table.
package tenancy

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"elmfold/internal/policy"
)

// Time is a time or duration in the unit of package policy.
type Time = policy.Time

// Plan is the desired assignment of tenants, from the operator file and the settings.
type Plan struct {
	Shuffle   bool
	ShardSize int // with Shuffle: backends per zone of a tenant
	Cells     []Cell
	Tenants   []Tenant

	MaxLoans       int // per tenant, at once
	MinLoanTime    Time
	MaxLost        int // failures of replacement backends within LostWindow that contain a tenant
	LostWindow     Time
	ContainedRate  float64 // transactions per second for each proxy of a contained tenant
	MoveFraction   float64 // of a tenant's proxies, per step of a move
	SettleTime     Time    // during which moving proxies use both cells
	PrepareTimeout Time    // for the new cell of a move to become warm
	WarnFraction   float64 // of the others' capacity; a tenant that shares more is reported

	Products   []policy.Product // with their placement constraints
	Zones      int
	WarmupTime Time
}

// Cell is a fixed cell. Share is its weight when the backends are divided among the cells.
type Cell struct {
	Name  string
	Share float64
}

// Tenant is a group of proxies. Cell names its fixed cell; ShardSize, unless 0, overrides that of the plan.
type Tenant struct {
	Name      string
	Proxies   []int
	Cell      string
	ShardSize int
}

// DefaultPlan returns a Plan with the defaults of the operator file.
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

// Backend is an entry of the list. Index is its index in package policy.
type Backend struct {
	Index      int
	ID         string
	Zone, Kind int
	Status     policy.Status
	Weight     float64
	StartedAt  Time
}

// score ranks a backend for a seed by rendezvous hashing: adding or removing a backend reorders no others.
func score(name uint64, id string) float64 {
	return (float64(xxh3.HashStringSeed(id, name)>>11) + 0.5) / (1 << 53)
}

func tenantSeed(name string) uint64 { return xxh3.HashString("tenant " + name) }

// splitCells assigns the listed backends to the fixed cells and returns the cell names by index. In each zone a cell
// gets its share, rounded to whole backends. Backends go to the cell with the best rendezvous score that has room, so
// that a change of the list moves few. Backends that are not ready keep their place.
func (p *Plan) splitCells(list []Backend) map[int]string {
	type match struct {
		index int
		cell  int
		score float64
		id    string
	}
	cells := map[int]string{}
	for zone := range p.Zones {
		var matches []match
		count := 0
		for _, b := range list {
			if b.Zone != zone {
				continue
			}
			count++
			for i, c := range p.Cells {
				matches = append(matches, match{b.Index, i, score(xxh3.HashString("cell "+c.Name), b.ID), b.ID})
			}
		}
		room := p.cellSizes(zone, count)
		slices.SortFunc(matches, func(a, b match) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id), cmp.Compare(a.cell, b.cell))
		})
		for _, m := range matches {
			if _, taken := cells[m.index]; !taken && room[m.cell] > 0 {
				cells[m.index] = p.Cells[m.cell].Name
				room[m.cell]--
			}
		}
	}
	return cells
}

// cellSizes divides the backends of a zone among the cells by share, in whole backends. The cells with the largest
// remainders get the backends left over; ties differ by zone.
func (p *Plan) cellSizes(zone, backends int) []int {
	total := 0.0
	for _, c := range p.Cells {
		total += c.Share
	}
	sizes, left := make([]int, len(p.Cells)), backends
	order := make([]int, len(p.Cells))
	for i, c := range p.Cells {
		sizes[i] = int(c.Share / total * float64(backends))
		left -= sizes[i]
		order[i] = i
	}
	remainder := func(i int) float64 {
		return p.Cells[i].Share/total*float64(backends) - float64(sizes[i]) + 1e-6*score(uint64(zone), p.Cells[i].Name)
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(remainder(j), remainder(i)) })
	for _, i := range order[:min(left, len(order))] {
		sizes[i]++
	}
	return sizes
}

// rankBackends returns the backends in a tenant's rendezvous order.
func rankBackends(name string, all []Backend) []Backend {
	seed := tenantSeed(name)
	type scored struct {
		position int
		score    float64
	}
	order := make([]scored, len(all))
	for i, b := range all {
		order[i] = scored{i, score(seed, b.ID)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(all[a.position].ID, all[b.position].ID))
	})
	sorted := make([]Backend, len(all))
	for i, o := range order {
		sorted[i] = all[o.position]
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

// contains reports whether a sorted set contains an index.
func contains(set []int, index int) bool {
	_, ok := slices.BinarySearch(set, index)
	return ok
}

// AssignedBackends returns the indices of a tenant's own backends, sorted, without loans and moves. With shuffle
// sharding these are the tenant's highest-ranked ready backends in each zone, for each placement constraint of the
// products.
func (p *Plan) AssignedBackends(t Tenant, list []Backend) []int {
	var split map[int]string
	if !p.Shuffle {
		split = p.splitCells(list)
	}
	return p.assignedBackends(t, list, split)
}

// assignedBackends is AssignedBackends with the result of splitCells, which all tenants share.
func (p *Plan) assignedBackends(t Tenant, list []Backend, split map[int]string) []int {
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
	order := rankBackends(t.Name, list)
	for _, placement := range p.placements() {
		count := make([]int, p.Zones)
		for _, b := range order {
			if b.Status == policy.Ready && canUse(placement, b) && count[b.Zone] < size {
				own = append(own, b.Index)
				count[b.Zone]++
			}
		}
	}
	slices.Sort(own)
	return slices.Compact(own)
}

// affects reports whether the addition, removal or change of a backend can change a tenant's own set.
func (p *Plan) affects(t *tenant, b Backend, ready bool) bool {
	switch {
	case contains(t.assigned, b.Index):
		return true
	case !p.Shuffle: // every cell may change
		return true
	case !ready:
		return false
	}
	rank := score(tenantSeed(t.Name), b.ID)
	for i, placement := range p.placements() {
		if canUse(placement, b) && rank >= t.lowestScores[i][b.Zone] {
			return true
		}
	}
	return false
}

// placements returns one product for each distinct placement constraint.
func (p *Plan) placements() (all []policy.Product) {
	seen := map[string]bool{}
	for _, product := range p.Products {
		if key := fmt.Sprint(product.OwnZone, product.OnlyZones, product.OnlyKinds); !seen[key] {
			seen[key], all = true, append(all, product)
		}
	}
	if len(all) == 0 {
		all = append(all, policy.Product{})
	}
	return all
}

// canUse reports whether a product may use a backend from at least one zone.
func canUse(product policy.Product, b Backend) bool {
	return (product.OnlyZones == nil || slices.Contains(product.OnlyZones, b.Zone)) &&
		(product.OnlyKinds == nil || slices.Contains(product.OnlyKinds, b.Kind))
}

// BlastRadius is how much of the other tenants' capacity a tenant can affect.
type BlastRadius struct {
	Tenant    string
	Backends  int
	Mean      float64 // mean fraction of another tenant's capacity that is shared
	Max       float64 `json:"Most"` // the largest such fraction
	MaxTenant string  `json:"With"` // the tenant with that fraction
}

// BlastRadii returns the blast radius of each tenant in the order of the plan, and by index the fraction of all
// tenants' capacity that each backend provides.
func (p *Plan) BlastRadii(list []Backend) (tenants []BlastRadius, backends map[int]float64) {
	own := make([][]int, len(p.Tenants))
	weight := map[int]float64{}
	for _, b := range list {
		weight[b.Index] = b.Weight
	}
	capacity := func(set, shared []int) (sum float64) { // of the backends in both; shared nil: of the whole set
		for _, at := range set {
			if shared == nil || contains(shared, at) {
				sum += weight[at]
			}
		}
		return sum
	}
	backends = map[int]float64{}
	split := map[int]string{}
	if !p.Shuffle {
		split = p.splitCells(list)
	}
	for i, t := range p.Tenants {
		own[i] = p.assignedBackends(t, list, split)
		for _, at := range own[i] {
			backends[at] += weight[at] / max(capacity(own[i], nil), 1e-9) / float64(len(p.Tenants))
		}
	}
	for i, t := range p.Tenants {
		r := BlastRadius{Tenant: t.Name, Backends: len(own[i])}
		for j, u := range p.Tenants {
			if i == j {
				continue
			}
			fraction := capacity(own[j], own[i]) / max(capacity(own[j], nil), 1e-9)
			r.Mean += fraction / float64(len(p.Tenants)-1)
			if fraction > r.Max {
				r.Max, r.MaxTenant = fraction, u.Name
			}
		}
		tenants = append(tenants, r)
	}
	return tenants, backends
}

// Shortfall is a reason why a plan is not feasible for a tenant.
type Shortfall struct {
	Tenant int // index in the plan
	Reason string
}

// minCapacityShare is the least capacity of a fixed cell, as a fraction of its share by number of proxies.
const minCapacityShare = 0.5

// Shortfalls returns the tenants without a backend that one of their products needs and the list has, and those whose
// fixed cell has too little capacity for its proxies.
func (p *Plan) Shortfalls(list []Backend) (all []Shortfall) {
	weight, proxies, total, totalProxies := map[string]float64{}, map[string]int{}, 0.0, 0
	split := p.splitCells(list)
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
		reason := p.missingPlacement(p.assignedBackends(t, list, split), list)
		capacity := weight[t.Cell] / max(total, 1e-9)
		load := float64(proxies[t.Cell]) / float64(max(totalProxies, 1))
		if reason == "" && !p.Shuffle && total > 0 && capacity < minCapacityShare*load {
			reason = fmt.Sprintf("its cell has %.0f%% of the capacity for %.0f%% of the proxies", 100*capacity, 100*load)
		}
		if reason != "" {
			all = append(all, Shortfall{i, reason})
		}
	}
	return all
}

// missingPlacement describes a placement that a tenant's own backends do not satisfy; empty: none.
func (p *Plan) missingPlacement(own []int, list []Backend) (reason string) {
	for _, placement := range p.placements() {
		available, assigned := make([]bool, p.Zones), make([]bool, p.Zones)
		for _, b := range list {
			if b.Status == policy.Ready && canUse(placement, b) {
				available[b.Zone] = true
				assigned[b.Zone] = assigned[b.Zone] || contains(own, b.Index)
			}
		}
		for zone := range available {
			if placement.OwnZone && available[zone] && !assigned[zone] {
				reason = fmt.Sprintf("it has no backend in zone %d for a product that must stay in its own zone", zone)
			}
		}
		if !placement.OwnZone && slices.Contains(available, true) && !slices.Contains(assigned, true) {
			reason = "it has no backend for one of the products"
		}
	}
	return reason
}
