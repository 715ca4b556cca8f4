package policy

import (
	"math"
	"slices"
)

// rampNow is the part of its weight that a backend may have now.
func (a *Assigner) rampNow(b int) float64 {
	age := max(a.now-a.be.rampAt[b], 0)
	sure := a.d.ColdCapacity + (1-a.d.ColdCapacity)*float64(age)/float64(max(a.d.Cold, 1))
	return min(1, max(rampStart*math.Exp2(float64(min(age/rampTurn, 10))), sure))
}

// strengthNow is what a backend counts for in tables: its listed weight, less while it is cold or hot.
func (a *Assigner) strengthNow(b int) float64 { return a.be.weight[b] * a.rampNow(b) * a.be.relief[b] }

// sureNow is its strength for the load of others: proxies shun what voids, and what is cold gets its part too.
func (a *Assigner) sureNow(b int) float64 {
	return a.strengthNow(b) * either(a.rampNow(b) < 1, 1, 1-a.risk)
}

// opens says whether products under the rule may go from some zone to a backend now.
func (a *Assigner) opens(rule Product, b int) bool {
	return a.be.status[b] == Ready && (rule.OnlyZones == nil || slices.Contains(rule.OnlyZones, a.be.zone[b])) &&
		(rule.OnlyKinds == nil || slices.Contains(rule.OnlyKinds, a.be.kind[b]))
}

// setPicks keeps for each proxy a steady part of each zone's backends, where lines to all would fill the
// backends with connections. The least loaded is added, the most loaded dropped, one changed a tick. Between
// ticks only proxies that have nothing usable are given more, on top of the load that the tick left.
func (a *Assigner) setPicks(tick bool) {
	be, who, size, homes := &a.be, a.in, 0.0, make([]float64, a.d.Zones)
	if a.asked = append(a.asked, make([]float64, len(be.zone)-len(a.asked))...); tick {
		clear(a.asked)
	} else {
		who = a.needy()
	}
	for _, ready := range a.ready {
		size += either(ready, connPart*a.d.ConnsLeast/float64(max(a.d.Proxies, 1)), 0)
	}
	if size = max(size, picksLeast); a.d.ConnsLeast == 0 {
		size = math.Inf(1)
	}
	// Those that go by what they brought get few lines while many do: each is two, with its shut-out.
	few := min(size, max(picksLeast, roomSpan*a.paceEach()/2/float64(len(a.groups))))
	for _, p := range a.in {
		homes[p.zone] += float64(a.d.Zones) / float64(max(a.d.Proxies, 1))
	}
	load, flow, need := a.asked, make([]float64, len(who)), make([]float64, len(who))
	for y, here := range a.byZone {
		for i, p := range who {
			flow[i], need[i] = 0, 0
			p.picked = append(p.picked, make([]bool, len(be.zone)-len(p.picked))...)
			for g, group := range a.groups {
				r := a.spill[g][p.zone][y]
				for _, k := range group.products {
					flow[i] += p.use[k] * min(r*1e9, r+(1-r)*a.risk) // what voids elsewhere may come here too
				}
				if r > 0 {
					need[i] = max(need[i], 1, either(p.brought(), few, size)*r)
				}
			}
			strength := [2]float64{} // in use, and with what is still shut out: until then the first bears all
			for _, b := range here {
				if p.picked[b] = p.picked[b] && p.may(b); p.picked[b] && be.status[b] == Ready {
					strength[0] += either(be.out[b], 0, a.sure[b])
					strength[1] += a.sure[b]
				}
			}
			for _, b := range here {
				if p.picked[b] && (tick || !p.counted) {
					load[b] += flow[i] / max(either(be.out[b], strength[1], strength[0]), 1e-9)
				}
			}
		}
		for i, p := range who {
			for swap := tick; need[i] > 0; {
				most, least, has, strength := -1, -1, 0.0, 0.0
				for j := range here { // each controller begins elsewhere, or those with few proxies all pick the same
					b := here[(j+int(a.d.FirstTick))%len(here)]
					switch {
					case be.status[b] != Ready || !p.may(b):
					case p.picked[b]:
						if has, strength = has+a.ramp[b], strength+a.sure[b]; most < 0 || load[b] > load[most] {
							most = b
						}
					case least < 0 || load[b] < load[least]:
						least = b
					}
				}
				if least >= 0 && has < need[i] {
					p.picked[least] = true
					load[least] += flow[i] / max(strength, min(need[i], picksLeast)*a.sure[least])
				} else if most >= 0 && (has-a.ramp[most] >= need[i] ||
					swap && least >= 0 && load[most] > pickSwap*load[least]+flow[i]/strength) {
					p.picked[most], swap = false, false
					load[most] -= flow[i] / strength
				} else {
					break
				}
			}
		}
	}
	for _, p := range who {
		p.counted = true
	}
	for b, l := range load { // as if the proxies that are joined elsewhere did the same
		a.load[b] = l / max(a.partHere(), min(homes[be.zone[b]], 1), 1e-9)
		if a.lets[b] = noLevel; a.load[b] > 0 && a.ramp[b] < 1 && a.pace > 0 {
			a.lets[b] = coldMost * a.d.ColdMultiple * a.pace / a.load[b]
		}
	}
}

// plan is the table that a proxy should hold for a group, until the next one of it; lines at home carry listed weights.
func (a *Assigner) plan(p *proxy, g int) tbl {
	group, be, row, can := &a.groups[g], &a.be, a.spill[g][p.zone], make([]float64, a.d.Zones)
	t := tbl{weight: append(group.next.weight[:0], make([]float64, len(be.zone))...), gates: group.next.gates[:0]}
	bare, inside, part, cold, in, warm := true, false, noLevel, 0.0, 0.0, 0.0
	for b, y := range be.zone {
		if !group.open[b] || group.rule.OwnZone && y != p.zone {
			continue
		}
		inside = inside || p.may(b)
		if p.picked[b] && row[y] > 0 {
			can[y], bare = can[y]+a.strength[b], false
		}
	}
	home := either(can[p.zone] > 0, can[p.zone]/row[p.zone], 1)
	for b, y := range be.zone {
		switch {
		case !group.open[b] || group.rule.OwnZone && y != p.zone || inside && !p.may(b):
		case bare:
			t.weight[b] = a.strength[b] // wherever it is: no proxy is left without a line, confined or not
		case p.picked[b] && row[y] > 0:
			t.weight[b] = a.strength[b] / can[y] * row[y] * home
		}
		// While it has a cold line, it lets in what its lines can take of what all proxies here ask of them. Answers
		// a zone or fleet that comes back at once: ramped weights alone do nothing where all lines are cold.
		if w := t.weight[b]; w > 0 && a.lets[b] < noLevel {
			part, cold, in = min(part, a.lets[b]), cold+w, in+w*min(a.lets[b], 1)
		} else {
			warm += w
		}
	}
	// Its warm lines take what the cold ones cannot, up to a multiple of their part, before any is declined; what
	// voids elsewhere shows how far they are to be had.
	if more := min(cold+warm-in, warmMost*warm*(1-a.risk)); part < 1 && more > warm {
		for b, w := range t.weight {
			if w > 0 && a.lets[b] < noLevel {
				t.weight[b] = w * min(a.lets[b], 1) * warm / more
			}
		}
		part = (in + more) / (cold + warm)
	}
	// Further tries only after proof that the first never ran, which takes effect once for any product, and only
	// while answers are quick: after any failure, or between full backends, they feed an overload.
	tries := either(a.light && !p.still, TryUnrun, TryOnce)
	for _, k := range group.products {
		t.gates = append(t.gates, Gate{Level: a.levelOf(p, k, part), Tries: tries, Products: 1 << k})
	}
	group.next = t
	return t
}

// levelOf is the level to order; none while levels cover what is asked for. A proxy that has not reported yet
// starts with what it is said to get, by chance: after a restart callers may be asking again and again.
func (a *Assigner) levelOf(p *proxy, k int, part float64) float64 {
	level := either(a.total > 0 && !a.free[k], p.level[k], noLevel)
	// A level equal to a use of about a txn a second would decline half of it.
	level = max(level, min(level+letChance, capFor(min(level, letMost*p.use[k]), p.use[k])))
	if p.most > 0 && p.asked() > p.most { // a confined proxy that asks too much declines its own
		level = min(level, p.most*p.use[k]/p.asked())
	}
	switch {
	case a.d.Levels == LevelNone:
		return noLevel
	case a.d.Levels == LevelShare:
		return min(1, part, level/max(p.use[k], levelFloor))
	case part < 1:
		return min(level, either(a.rare, capFor(p.use[k]*part, p.use[k]), p.use[k]*part))
	case !p.heard:
		return min(level, max(capFor(letMost*p.asked(), p.asked()), levelFloor))
	case part < noLevel: // callers may ask far more than was heard of
		most := either(a.rare, a.atMost(p.use[k]), p.use[k])
		return min(level, max(p.use[k]*part, capFor(either(a.rare, letCold, letMost)*most, most)))
	}
	return level
}
