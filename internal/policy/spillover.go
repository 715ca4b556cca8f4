package policy

import "math"

// setSpillover assigns a zone's demand above its share of the fleet's weight to other zones.
func (a *Assigner) setSpillover() {
	room, all, _ := a.capacityOf(a.ready)
	if all == 0 || len(a.connected) == 0 {
		return
	}
	demand, sum := a.demandByZone(room, all)
	for z := range room {
		room[z] *= sum / all
	}
	for g := range a.groups {
		a.spillGroup(g, room, demand[g])
	}
}

// spillGroup distributes a group's demand over the zones' room and subtracts it from the room.
func (a *Assigner) spillGroup(g int, room, demand []float64) {
	group := &a.groups[g]
	weight, allWeight, _ := a.capacityOf(group.open)
	away, to, excess, free := make([]float64, a.conf.Zones), make([]float64, a.conf.Zones), 0.0, 0.0
	for z, d := range demand {
		switch over := d - max(room[z], 0); {
		case group.class.OwnZone:
		case weight[z] == 0:
			away[z] = 1
		case over > minSpillover*d:
			away[z] = over / d
		}
		room[z] -= d * (1 - away[z])
		if excess += d * away[z]; weight[z] > 0 {
			free += max(room[z], 0)
		}
	}
	for z := range to { // distributes the excess by free room, or by weight if there is none
		if to[z] = weight[z] / max(allWeight, 1e-9); weight[z] > 0 && free > 0 {
			to[z] = max(room[z], 0) / free
		}
		room[z] -= excess * to[z]
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
