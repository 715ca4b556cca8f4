package tenancy

import (
	"cmp"
	"slices"

	"elmfold/internal/policy"
)

// updateLoans lends warm backends of other cells to a tenant that lost much of its capacity, and returns them after
// the minimum loan time once the capacity is back. A contained tenant borrows only where it has no backend left.
func (m *Manager) updateLoans(t *tenant) {
	t.loans = slices.DeleteFunc(t.loans, func(l loan) bool {
		b := m.findBackend(l.id)
		return b.Status != policy.Ready || b.StartedAt > l.startedAt
	})
	m.checkContainment(t)
	own, lent := union(t.assigned, t.formerBackends), m.lentBackends(t)
	isShort := false
	for i, placement := range m.placements {
		for _, zone := range m.demandZones(t, placement) {
			warm, usual := m.warmAndBaseline(t, own, demandPoint{i, zone})
			isShort = isShort || warm < returnAboveFraction*usual || warm == 0
			lent = m.lendAt(t, own, lent, demandPoint{i, zone}, warm, usual)
		}
	}
	if isShort {
		return
	}
	t.loans = slices.DeleteFunc(t.loans, func(l loan) bool {
		if m.now < l.returnableAt {
			return false
		}
		m.log(false, "tenant %s returned borrowed backend %s", t.Name, l.id)
		return true
	})
}

// warmAndBaseline returns the warm capacity of the given backends at a demand point, and the baseline capacity there,
// which decays each tick.
func (m *Manager) warmAndBaseline(t *tenant, own []int, at demandPoint) (warm, usual float64) {
	decay := 1.0
	if m.now == m.tickAt-tickInterval {
		decay = baselineCapacityDecay
	}
	ready, warm := m.capacity(own, m.placements[at.placement], at.zone)
	usual = t.baselineCapacity[at] * decay
	if t.phase == steady { // the capacity of two cells is no baseline
		usual = max(ready, usual)
	}
	t.baselineCapacity[at] = usual
	return warm, usual
}

// lendAt lends backends to a tenant at a demand point until it has enough, and returns all that are lent.
func (m *Manager) lendAt(t *tenant, own, lent []int, at demandPoint, warm, usual float64) []int {
	placement, want := m.placements[at.placement], lendBelowFraction*usual
	isEnough := func() bool {
		_, more := m.capacity(lent, placement, at.zone)
		return warm+more > 0 && (warm+more >= want || t.contained || len(t.loans) >= m.plan.MaxLoans)
	}
	if isEnough() {
		return lent
	}
	for _, b := range rankBackends(t.Name, m.backends) {
		if isEnough() {
			break
		}
		inUse := contains(own, b.Index) || contains(lent, b.Index)
		if inUse || b.Status != policy.Ready || !m.isWarm(b) || !canUse(placement, b) || at.zone >= 0 && b.Zone != at.zone {
			continue
		}
		t.loans = append(t.loans, loan{b.ID, b.StartedAt, m.now + m.plan.MinLoanTime})
		lent = m.lentBackends(t)
		m.log(true, "tenant %s borrows backend %s: warm capacity is %.1f, usually %.1f", t.Name, b.ID, warm, usual)
	}
	return lent
}

// checkContainment contains a tenant when many of the backends that it was given failed recently, at a rate far above
// that of the fleet. A bad release fails across the fleet and contains nobody.
func (m *Manager) checkContainment(t *tenant) {
	isOld := func(at Time) bool { return m.now > at+m.plan.LostWindow }
	t.replacementFailures = slices.DeleteFunc(t.replacementFailures, isOld)
	m.failures = slices.DeleteFunc(m.failures, isOld)
	own, all := float64(len(t.replacementFailures)), float64(len(m.failures))
	ownFraction := own / max(own+float64(len(t.assigned)), 1)
	fleetFraction := all / max(all+float64(len(m.backends)), 1)
	contained := m.plan.MaxLost > 0 && len(t.replacementFailures) >= m.plan.MaxLost &&
		(t.contained || ownFraction > containmentFactor*fleetFraction)
	if contained == t.contained {
		return
	}
	if t.contained = contained; contained {
		m.log(
			true,
			"tenant %s is contained: %d of its replacement backends failed, %d backends in all; "+
				"limited to %.1f txns/s per proxy",
			t.Name,
			len(t.replacementFailures),
			len(m.failures),
			m.plan.ContainedRate,
		)
	} else {
		m.log(false, "tenant %s is no longer contained", t.Name)
	}
	m.assignBackends(t)
}

// lentBackends returns the sorted indices of the backends lent to a tenant.
func (m *Manager) lentBackends(t *tenant) (set []int) {
	for _, l := range t.loans {
		if b := m.findBackend(l.id); b.ID != "" {
			set = append(set, b.Index)
		}
	}
	slices.Sort(set)
	return set
}

// findBackend returns the listed backend with an ID, or the zero Backend.
func (m *Manager) findBackend(id string) Backend {
	byID := func(b Backend, id string) int { return cmp.Compare(b.ID, id) }
	if i, ok := slices.BinarySearchFunc(m.backends, id, byID); ok {
		return m.backends[i]
	}
	return Backend{}
}
