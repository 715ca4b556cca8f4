package tenancy

import (
	"slices"

	"elmfold/internal/policy"
)

// beginMove starts a move unless the tenant is already moving.
func (m *Manager) beginMove(name, cell string) {
	t := m.findTenant(name)
	isTarget := func(candidate Cell) bool { return candidate.Name == cell }
	switch {
	case t == nil:
		m.log(true, "cannot move tenant %s: no such tenant", name)
	case m.plan.Shuffle || !slices.ContainsFunc(m.plan.Cells, isTarget):
		m.log(true, "cannot move tenant %s: no fixed cell %s", name, cell)
	case t.phase != steady:
		m.log(true, "cannot move tenant %s: it is already moving from %s to %s", name, t.fromCell, t.Cell)
	case t.Cell == cell:
	default:
		t.phase, t.fromCell, t.Cell, t.targetCell = preparing, t.Cell, cell, cell
		t.movedProxies, t.startedProxies, t.steppedAt = 0, 0, m.now
		m.dirty = true
		m.log(false, "tenant %s: move from %s to %s requested", name, t.fromCell, cell)
		m.assignBackends(t)
	}
}

func (m *Manager) cancelMove(t *tenant, reason string) {
	m.log(
		true,
		"tenant %s stays in %s: move to %s canceled at %d of %d proxies: %s",
		t.Name,
		t.fromCell,
		t.Cell,
		t.startedProxies,
		len(t.Proxies),
		reason,
	)
	t.phase, t.Cell, t.fromCell, t.targetCell = steady, t.fromCell, "", ""
	t.movedProxies, t.startedProxies = 0, 0
	t.baselineCapacity = map[demandPoint]float64{}
	t.noRetriesUntil = m.now + m.plan.SettleTime
	m.assignBackends(t)
}

// capacity returns the total weight of the ready backends of a set that a product may use, and of the warm ones among
// them. A zone of -1 means all zones.
func (m *Manager) capacity(set []int, placement policy.Product, zone int) (ready, warm float64) {
	for _, at := range set {
		if b := m.byIndex[at]; b.Status == policy.Ready && canUse(placement, b) && (zone < 0 || b.Zone == zone) {
			ready += b.Weight
			if m.isWarm(b) {
				warm += b.Weight
			}
		}
	}
	return ready, warm
}

func (m *Manager) isWarm(b Backend) bool {
	return b.StartedAt == 0 || m.now >= b.StartedAt+m.plan.WarmupTime
}

// advanceMove performs the next step of a move. A move starts once most of the new cell is warm, takes a fraction of
// the proxies at a time, and is canceled if the new cell loses its capacity.
func (m *Manager) advanceMove(t *tenant) {
	if t.phase == steady && t.targetCell != "" && t.targetCell != t.Cell {
		m.beginMove(t.Name, t.targetCell) // the plan changed during the previous move
	}
	if t.phase == steady {
		return
	}
	hasCapacity := true
	for _, placement := range m.placements {
		for _, zone := range m.demandZones(t, placement) {
			ready, warm := m.capacity(t.assigned, placement, zone)
			hasCapacity = hasCapacity && warm > 0 && warm >= lendBelowFraction*ready
		}
	}
	stepSize := max(1, int(m.plan.MoveFraction*float64(len(t.Proxies))+0.5))
	switch {
	case t.phase == preparing && !hasCapacity:
		if m.now >= t.steppedAt+m.plan.PrepareTimeout {
			m.cancelMove(t, "the cell did not warm up in time")
		}
	case !hasCapacity:
		m.cancelMove(t, "the cell lost the capacity that a product needs")
	case t.phase == preparing:
		t.phase, t.startedProxies, t.steppedAt = moving, min(stepSize, len(t.Proxies)), m.now
	case m.now < t.steppedAt+m.plan.SettleTime:
	case t.movedProxies < t.startedProxies:
		t.movedProxies, t.steppedAt = t.startedProxies, m.now
		t.startedProxies = min(t.movedProxies+stepSize, len(t.Proxies))
		if t.movedProxies == len(t.Proxies) {
			m.log(false, "tenant %s moved from %s to %s with %d proxies", t.Name, t.fromCell, t.Cell, t.movedProxies)
			t.phase, t.fromCell, t.noRetriesUntil, t.formerBackends = steady, "", m.now+m.plan.SettleTime, nil
			t.baselineCapacity = map[demandPoint]float64{}
		}
	default: // the tenant has no proxies
		t.phase, t.fromCell, t.formerBackends = steady, "", nil
	}
}

// demandZones returns the zones in which a placement needs backends for a tenant: those of its connected proxies if
// the product stays in its own zone, or else -1 for any zone.
func (m *Manager) demandZones(t *tenant, placement policy.Product) (zones []int) {
	if !placement.OwnZone {
		return []int{-1}
	}
	for _, at := range t.Proxies {
		if p := m.proxyAt(at); p != nil && p.connected && !slices.Contains(zones, p.zone) {
			zones = append(zones, p.zone)
		}
	}
	slices.Sort(zones)
	return zones
}
