package steering

import (
	"cmp"
	"slices"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

const (
	// unlimitedRate is the lowest rate limit that policy uses for no limit.
	unlimitedRate = 1e6
	// minRateLimit is the smallest rate limit that is sent, because 0 means unlimited.
	minRateLimit = 0.01
)

// tableState is a routing table as ordered by policy.
type tableState struct {
	proxy     int       // index of the proxy that uses it; negative: none
	weights   []float64 // by endpoint index
	rateLimit float64   // as ordered; 0: unlimited

	// Of the current step.

	dirty    bool
	full     bool // newly assigned: the proxy needs the whole table
	previous []previousWeight
}

// previousWeight is an endpoint's weight before a change.
type previousWeight struct {
	endpoint int
	weight   float64
}

// tableUpdate is a routing table to be sent to a proxy.
type tableUpdate struct {
	proxy *proxy
	table rpc.RoutingTable
}

// applyOrders executes orders and returns the resulting updates, in the order in which tables were first changed.
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
		clear(markDirty(o.Table).weights) // an AssignTable follows, which sends the whole table
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
	case policy.AssignTable: // each table belongs to one proxy
		t := markDirty(o.Table)
		t.proxy, t.full = o.Proxy, true
	case policy.Withdraw:
		s.withdraw(o, markDirty)
	case policy.Marker:
		s.pendingMarker = o.Number
	case policy.SetTimer:
		s.timers = append(s.timers, timer{at: at + max(o.Delay, 0), name: o.Name})
	case policy.Log:
		if s.adapter.Log != nil {
			s.adapter.Log(s.name, o.Text)
		}
	}
}

// withdraw excludes an endpoint from all tables, or readmits it.
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

// weight returns the weight of an endpoint in a table, 0 if it is withdrawn.
func (s *service) weight(t *tableState, endpoint int) float64 {
	if endpoint >= len(t.weights) || s.endpoints[endpoint].withdrawn {
		return 0
	}
	return t.weights[endpoint]
}

// encodeTable returns the changes of a table since the last step, and reports whether there are any.
func (s *service) encodeTable(t *tableState) (table rpc.RoutingTable, changed bool) {
	table = rpc.RoutingTable{Service: s.name, Full: t.full, Weights: map[string]float64{}}
	if t.full {
		s.encodeAll(t, table.Weights)
	} else {
		s.encodeChanges(t, table.Weights)
	}
	state := &s.proxies[t.proxy]
	if t.full || t.rateLimit != state.rateLimit { // a new proxy may still have another node's limit
		table.HasRateLimit, table.RateLimit = true, t.rateLimit
		state.rateLimit = t.rateLimit
	}
	return table, t.full || table.HasRateLimit || len(table.Weights) > 0
}

// encodeAll adds all endpoints with a weight, and those of the proxy's own zone without one: proxies route to endpoints
// that a table does not name by their capacity.
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

// encodeChanges adds the endpoints whose weight changed.
func (s *service) encodeChanges(t *tableState, weights map[string]float64) {
	slices.SortStableFunc(t.previous, func(a, b previousWeight) int { return cmp.Compare(a.endpoint, b.endpoint) })
	for i, before := range t.previous {
		isFirst := i == 0 || t.previous[i-1].endpoint != before.endpoint
		if w := s.weight(t, before.endpoint); isFirst && w != before.weight {
			weights[s.ids[before.endpoint]] = w
		}
	}
}
