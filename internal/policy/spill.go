package policy

import "math"

// setSpillover works out which part of each group's txns leaves its zone. The design lets other zones join when
// under half a zone is usable; here they join for what it is asked for over its part of the fleet's strength.
func (a *Assigner) setSpillover() {
	room, all, _ := a.capacityOf(a.ready)
	in, sum, demand := a.connected, 0.0, make([][]float64, len(a.groups))
	if all == 0 || len(in) == 0 {
		return
	}
	// Proxies not joined here are taken to ask evenly, or as others tell: they must not make a zone look idle.
	missing := (1 - a.trust) * (1/a.connectedShare() - 1)
	for g, group := range a.groups {
		demand[g] = make([]float64, a.conf.Zones)
		for _, k := range group.products {
			d, asks := 0.0, a.demand(k)
			for _, p := range in {
				u := a.admitted(p, k)
				demand[g][p.zone], d = demand[g][p.zone]+u, d+u
			}
			for z := range room {
				more := missing * d * room[z] / all
				if a.trust > 0 && asks > 0 { // bounded as those here are
					more += a.trust * a.remoteUsage[k][z] * d / asks
				}
				demand[g][z], sum = demand[g][z]+more, sum+more
			}
			sum += d
		}
	}
	for z := range room {
		room[z] *= sum / all
	}
	for g, group := range a.groups { // each is placed in the room that the zones have, and taken off it
		can, canAll, _ := a.capacityOf(group.open)
		away, to, excess, free := make([]float64, a.conf.Zones), make([]float64, a.conf.Zones), 0.0, 0.0
		for z, d := range demand[g] {
			switch over := d - max(room[z], 0); {
			case group.class.OwnZone:
			case can[z] == 0:
				away[z] = 1
			case over > minSpillover*d:
				away[z] = over / d
			}
			room[z] -= d * (1 - away[z])
			if excess += d * away[z]; can[z] > 0 {
				free += max(room[z], 0)
			}
		}
		for y := range to { // where the excess goes: where there is room, else by strength
			if to[y] = can[y] / max(canAll, 1e-9); can[y] > 0 && free > 0 {
				to[y] = max(room[y], 0) / free
			}
			room[y] -= excess * to[y]
		}
		for z, old := range a.spillover[g] {
			row := make([]float64, a.conf.Zones)
			row[z] = 1 - away[z]
			changed := (away[z] == 1) != (old[z] == 0)
			for y := range row {
				row[y] += away[z] * to[y]
				changed = changed || math.Abs(row[y]-old[y]) >= minSpillover
			}
			if changed {
				a.spillover[g][z] = row
			}
		}
	}
}
