package policy

import "math"

// setSpillover assigns a zone's demand above its share of the fleet's weight to other zones. The published design lets
// other zones join only when less than half of a zone is usable; see docs/design.md, "Changed".
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

// spillGroup distributes a group's demand over the zones' free capacity, room, and subtracts it from that.
func (a *Assigner) spillGroup(g int, room, demand []float64) {
	group := &a.groups[g]
	weight, allWeight, _ := a.capacityOf(group.open)
	spilled, target, excess, free := make([]float64, a.conf.Zones), make([]float64, a.conf.Zones), 0.0, 0.0
	for z, d := range demand {
		switch surplus := d - max(room[z], 0); {
		case group.class.OwnZone:
		case weight[z] == 0:
			spilled[z] = 1
		case surplus > minSpillover*d:
			spilled[z] = surplus / d
		}
		room[z] -= d * (1 - spilled[z])
		if excess += d * spilled[z]; weight[z] > 0 {
			free += max(room[z], 0)
		}
	}
	for z := range target { // distributes the excess by free room, or by weight if there is none
		if target[z] = weight[z] / max(allWeight, 1e-9); weight[z] > 0 && free > 0 {
			target[z] = max(room[z], 0) / free
		}
		room[z] -= excess * target[z]
	}
	for z, old := range a.spillover[g] {
		row := make([]float64, a.conf.Zones)
		row[z] = 1 - spilled[z]
		changed := (spilled[z] == 1) != (old[z] == 0)
		for y := range row {
			row[y] += spilled[z] * target[y]
			changed = changed || math.Abs(row[y]-old[y]) >= minSpillover
		}
		if changed {
			a.spillover[g][z] = row
		}
	}
}
