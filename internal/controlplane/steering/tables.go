package steering

import (
	"cmp"
	"slices"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

const (
	// unlimitedRate is a rate limit from which policy limits nobody.
	unlimitedRate = 1e6
	// minRateLimit is the least that is told: 0 stands for no limit there.
	minRateLimit = 0.01
)

// tableState is a routing table as policy has it.
type tableState struct {
	proxy     int       // that uses it; negative: none yet
	weights   []float64 // by endpoint index
	rateLimit float64   // as ordered; 0: unlimited

	// Of the current step.

	dirty    bool
	full     bool // the proxy was put on it
	previous []previousWeight
}

// previousWeight is what a proxy went by before a change.
type previousWeight struct {
	endpoint int
	weight   float64
}

// tableUpdate is what a proxy is told.
type tableUpdate struct {
	proxy *proxy
	table rpc.RoutingTable
}

// applyOrders takes over the orders of the Assigner, and returns what the proxies concerned were not told yet, in the
// order in which their tables were first dirty.
func (s *service) applyOrders(at policy.Time, orders []policy.Order) (updates []tableUpdate) {
	var dirty []int
	markDirty := func(id int) *tableState {
		for len(s.tables) <= id {
			s.tables = append(s.tables, tableState{proxy: -1})
		}
		t := &s.tables[id]
		if !t.dirty {
			t.dirty = true
			dirty = append(dirty, id)
		}
		return t
	}
	for _, order := range orders {
		s.applyOrder(at, order, markDirty)
	}
	for _, id := range dirty {
		t := &s.tables[id]
		if t.proxy >= 0 && s.proxies[t.proxy].joined {
			if table, changed := s.encodeTable(t); changed {
				updates = append(updates, tableUpdate{proxy: s.adapter.proxyIndex[t.proxy], table: table})
			}
		}
		t.previous, t.full, t.dirty = t.previous[:0], false, false
	}
	return updates
}

func (s *service) applyOrder(at policy.Time, order policy.Order, markDirty func(id int) *tableState) {
	switch o := order.(type) {
	case policy.ClearTable:
		clear(markDirty(o.Table).weights) // it comes only before a Use, and the table is told whole then
	case policy.SetWeight:
		t := markDirty(o.Table)
		t.weights = append(t.weights, make([]float64, max(len(s.ids)-len(t.weights), 0))...)
		s.notePrevious(t, o.Backend)
		t.weights[o.Backend] = o.Weight
	case policy.Admission:
		t := markDirty(o.Table)
		t.rateLimit = max(o.RateLimit, minRateLimit)
		if o.RateLimit >= unlimitedRate {
			t.rateLimit = 0
		}
	case policy.AssignTable: // each proxy has a table of its own
		t := markDirty(o.Table)
		t.proxy, t.full = o.Proxy, true
	case policy.Withdraw:
		s.withdraw(o, markDirty)
	case policy.Marker:
		s.fence = o.Number
	case policy.SetTimer:
		s.alarms = append(s.alarms, alarm{at: at + max(o.Delay, 0), name: o.Name})
	case policy.Log:
		if s.adapter.Log != nil {
			s.adapter.Log(s.name, o.Text)
		}
	}
}

// withdraw takes an endpoint out of all tables, or puts it back.
func (s *service) withdraw(o policy.Withdraw, markDirty func(id int) *tableState) {
	for id := range s.tables {
		if t := &s.tables[id]; o.Backend < len(t.weights) && t.weights[o.Backend] > 0 {
			s.notePrevious(markDirty(id), o.Backend)
		}
	}
	s.endpoints[o.Backend].withdrawn = o.Withdrawn
}

func (s *service) notePrevious(t *tableState, endpoint int) {
	t.previous = append(t.previous, previousWeight{endpoint, s.weight(t, endpoint)})
}

// weight is what a proxy on a table is to go by now.
func (s *service) weight(t *tableState, endpoint int) float64 {
	if endpoint >= len(t.weights) || s.endpoints[endpoint].withdrawn {
		return 0
	}
	return t.weights[endpoint]
}

// encodeTable makes the message of what changed in a table, and reports whether anything did.
func (s *service) encodeTable(t *tableState) (table rpc.RoutingTable, changed bool) {
	table = rpc.RoutingTable{Service: s.name, Full: t.full, Weights: map[string]float64{}}
	if t.full {
		s.encodeAll(t, table.Weights)
	} else {
		s.encodeChanges(t, table.Weights)
	}
	state := &s.proxies[t.proxy]
	if t.full || t.rateLimit != state.rateLimit { // it may have the rate limit of another node
		table.Limited, table.RateLimit = true, t.rateLimit
		state.rateLimit = t.rateLimit
	}
	return table, t.full || table.Limited || len(table.Weights) > 0
}

// encodeAll names all endpoints with a weight, and those of the proxy's own zone without one: an endpoint that is not
// named the proxy takes for one that this node does not know yet, and goes by its capacity.
func (s *service) encodeAll(t *tableState, weights map[string]float64) {
	zone := s.adapter.proxyIndex[t.proxy].zone
	for index, id := range s.ids {
		entry := &s.endpoints[index].entry
		isOwnZone := id != "" && entry.Status != policy.Gone && entry.Zone == zone
		if w := s.weight(t, index); w > 0 || isOwnZone {
			weights[id] = w
		}
	}
}

// encodeChanges names the endpoints whose weight is another one than before the step.
func (s *service) encodeChanges(t *tableState, weights map[string]float64) {
	slices.SortStableFunc(t.previous, func(a, b previousWeight) int { return cmp.Compare(a.endpoint, b.endpoint) })
	for i, before := range t.previous {
		isFirst := i == 0 || t.previous[i-1].endpoint != before.endpoint
		if w := s.weight(t, before.endpoint); isFirst && w != before.weight {
			weights[s.ids[before.endpoint]] = w
		}
	}
}
