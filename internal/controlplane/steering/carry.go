package steering

import (
	"cmp"
	"slices"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

// carry takes orders over into tables; it returns what the carriers concerned were not told yet, in their order.
func (s *service) carry(at policy.Time, orders []policy.Order) (told []telling) {
	var touched []int
	touch := func(id int) *table {
		for len(s.tables) <= id {
			s.tables = append(s.tables, table{user: -1})
		}
		if t := &s.tables[id]; !t.touched {
			t.touched, touched = true, append(touched, id)
		}
		return &s.tables[id]
	}
	for _, o := range orders {
		switch o := o.(type) {
		case policy.Clear:
			clear(touch(o.Table).weight) // it comes only before a Use, and the table is told whole then
		case policy.Line:
			t := touch(o.Table)
			t.weight = append(t.weight, make([]float64, max(len(s.ids)-len(t.weight), 0))...)
			t.lines = append(t.lines, line{o.Backend, s.weight(t, o.Backend)})
			t.weight[o.Backend] = o.Weight
		case policy.Gate:
			t := touch(o.Table)
			if t.level = max(o.Level, leastLevel); o.Level >= unbounded {
				t.level = 0
			}
		case policy.Use: // each proxy has a table of its own
			t := touch(o.Table)
			t.user, t.whole = o.Proxy, true
		case policy.Withdraw:
			for id := range s.tables {
				if t := &s.tables[id]; o.Backend < len(t.weight) && t.weight[o.Backend] > 0 {
					touch(id).lines = append(t.lines, line{o.Backend, s.weight(t, o.Backend)})
				}
			}
			s.lives[o.Backend].out = o.Out
		case policy.Fence:
			s.fence = o.Number
		case policy.Wake:
			s.wakes = append(s.wakes, wake{at: at + max(o.After, 0), name: o.Name})
		case policy.Log:
			if s.b.Log != nil {
				s.b.Log(s.name, o.Text)
			}
		}
	}
	for _, id := range touched {
		t := &s.tables[id]
		if t.user >= 0 && s.slots[t.user].joined {
			if m, news := s.tell(t); news {
				told = append(told, telling{to: s.b.places[t.user], table: m})
			}
		}
		t.lines, t.whole, t.touched = t.lines[:0], false, false
	}
	return told
}

// weight is what a carrier on a table is to go by now.
func (s *service) weight(t *table, place int) float64 {
	if place >= len(t.weight) || s.lives[place].out {
		return 0
	}
	return t.weight[place]
}

// tell makes the message of what changed in a table; it says whether anything did.
func (s *service) tell(t *table) (m rpc.RoutingTable, news bool) {
	m, l := rpc.RoutingTable{Service: s.name, Full: t.whole, Weights: map[string]float64{}}, &s.slots[t.user]
	if t.whole {
		// A backend of its own zone that it is told nothing of it takes for one that the controller does not know yet,
		// and goes by its capacity.
		for place, id := range s.ids {
			if w := s.weight(t, place); w > 0 || id != "" && s.lives[place].entry.Status != policy.Gone &&
				s.lives[place].entry.Zone == s.b.places[t.user].zone {
				m.Weights[id] = w
			}
		}
	} else {
		slices.SortStableFunc(t.lines, func(a, b line) int { return cmp.Compare(a.place, b.place) })
		for i, c := range t.lines {
			if first := i == 0 || t.lines[i-1].place != c.place; first && s.weight(t, c.place) != c.was {
				m.Weights[s.ids[c.place]] = s.weight(t, c.place)
			}
		}
	}
	if t.whole || t.level != l.level { // it may hold the level of another controller
		m.Limited, m.RateLimit, l.level = true, t.level, t.level
	}
	return m, t.whole || m.Limited || len(m.Weights) > 0
}
