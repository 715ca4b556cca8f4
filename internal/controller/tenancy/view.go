package tenancy

import (
	"slices"
)

// TenantStatus is the state of a tenant, as operators see it.
type TenantStatus struct {
	Tenant, Cell, Phase string
	From                string
	Moved, Proxies      int // Moved counts the proxies that completed the move
	Backends, Lent      []string
	Contained           bool    `json:"ShutIn"`
	RateLimit           float64 `json:"Bound"` // transactions per second; 0: none
	BlastRadius
}

// BackendShare is the fraction of all tenants' capacity that a backend provides, and the number of tenants that use
// it.
type BackendShare struct {
	Backend  string
	Fraction float64 `json:"Part"`
	Tenants  int
}

// View lists the tenants in the order of the plan, and the backends in use by ID.
type View struct {
	Tenants  []TenantStatus
	Backends []BackendShare
}

// View returns the state of all tenants and backends.
func (m *Manager) View() (v View) {
	radii, fractions := m.plan.BlastRadii(m.backends)
	users := map[int]int{}
	for i, t := range m.tenants {
		s := TenantStatus{
			Tenant:      t.Name,
			Cell:        t.Cell,
			Phase:       t.phase.String(),
			From:        t.fromCell,
			Moved:       t.movedProxies,
			Proxies:     len(t.Proxies),
			Contained:   t.contained,
			RateLimit:   t.rateLimit,
			BlastRadius: radii[i],
		}
		for _, at := range t.assigned {
			s.Backends = append(s.Backends, m.byIndex[at].ID)
			users[at]++
		}
		for _, l := range t.loans {
			s.Lent = append(s.Lent, l.id)
		}
		slices.Sort(s.Backends)
		v.Tenants = append(v.Tenants, s)
	}
	for _, b := range m.backends {
		if users[b.Index] > 0 {
			v.Backends = append(v.Backends, BackendShare{b.ID, fractions[b.Index], users[b.Index]})
		}
	}
	return v
}
