package policy

import (
	"math"
	"slices"
)

// slowStartFactor is the part of its weight that a backend may have now.
func (a *Assigner) slowStartFactor(b int) float64 {
	age := max(a.now-a.backends.startedAt[b], 0)
	sure := a.conf.WarmupCapacity + (1-a.conf.WarmupCapacity)*float64(age)/float64(max(a.conf.WarmupTime, 1))
	return min(1, max(slowStartBegin*math.Exp2(float64(min(age/slowStartDoubling, 10))), sure))
}

// effectiveWeight is what a backend counts for in tables: its listed weight, less while it is cold or hot.
func (a *Assigner) effectiveWeight(b int) float64 {
	return a.backends.weight[b] * a.slowStartFactor(b) * a.backends.derating[b]
}

// expectedWeight is its strength for the load of others: proxies shun what voids, and what is cold gets its part too.
func (a *Assigner) expectedWeight(b int) float64 {
	return a.effectiveWeight(b) * either(a.slowStartFactor(b) < 1, 1, 1-a.failureRisk)
}

// isOpen says whether products under the rule may go from some zone to a backend now.
func (a *Assigner) isOpen(rule Product, b int) bool {
	return a.backends.status[b] == Ready && (rule.OnlyZones == nil || slices.Contains(rule.OnlyZones, a.backends.zone[b])) &&
		(rule.OnlyKinds == nil || slices.Contains(rule.OnlyKinds, a.backends.kind[b]))
}

// setSubsets keeps for each proxy a steady part of each zone's backends, where lines to all would fill the
// backends with connections. The least loaded is added, the most loaded dropped, one changed a tick. Between
// ticks only proxies that have nothing usable are given more, on top of the load that the tick left.
func (a *Assigner) setSubsets(tick bool) {
	be, who, size, homes := &a.backends, a.connected, 0.0, make([]float64, a.conf.Zones)
	if a.localLoad = append(a.localLoad, make([]float64, len(be.zone)-len(a.localLoad))...); tick {
		clear(a.localLoad)
	} else {
		who = a.strandedProxies()
	}
	for _, ready := range a.ready {
		size += either(ready, connShare*a.conf.MinConns/float64(max(a.conf.Proxies, 1)), 0)
	}
	if size = max(size, minSubset); a.conf.MinConns == 0 {
		size = math.Inf(1)
	}
	// Those that go by what they brought get few lines while many do: each is two, with its shut-out.
	few := min(size, max(minSubset, queueSeconds*a.linesPerSecondEach()/2/float64(len(a.groups))))
	for _, p := range a.connected {
		homes[p.zone] += float64(a.conf.Zones) / float64(max(a.conf.Proxies, 1))
	}
	load, flow, need := a.localLoad, make([]float64, len(who)), make([]float64, len(who))
	for y, here := range a.byZone {
		for i, p := range who {
			flow[i], need[i] = 0, 0
			p.subset = append(p.subset, make([]bool, len(be.zone)-len(p.subset))...)
			for g, group := range a.groups {
				r := a.spillover[g][p.zone][y]
				for _, k := range group.products {
					flow[i] += p.use[k] * min(r*1e9, r+(1-r)*a.failureRisk) // what voids elsewhere may come here too
				}
				if r > 0 {
					need[i] = max(need[i], 1, either(p.onForeignTables(), few, size)*r)
				}
			}
			strength := [2]float64{} // in use, and with what is still shut out: until then the first bears all
			for _, b := range here {
				if p.subset[b] = p.subset[b] && p.mayUse(b); p.subset[b] && be.status[b] == Ready {
					strength[0] += either(be.withdrawn[b], 0, a.expected[b])
					strength[1] += a.expected[b]
				}
			}
			for _, b := range here {
				if p.subset[b] && (tick || !p.counted) {
					load[b] += flow[i] / max(either(be.withdrawn[b], strength[1], strength[0]), 1e-9)
				}
			}
		}
		for i, p := range who {
			for swap := tick; need[i] > 0; {
				most, least, has, strength := -1, -1, 0.0, 0.0
				for j := range here { // each controller begins elsewhere, or those with few proxies all pick the same
					b := here[(j+int(a.conf.FirstTick))%len(here)]
					switch {
					case be.status[b] != Ready || !p.mayUse(b):
					case p.subset[b]:
						if has, strength = has+a.slowStart[b], strength+a.expected[b]; most < 0 || load[b] > load[most] {
							most = b
						}
					case least < 0 || load[b] < load[least]:
						least = b
					}
				}
				if least >= 0 && has < need[i] {
					p.subset[least] = true
					load[least] += flow[i] / max(strength, min(need[i], minSubset)*a.expected[least])
				} else if most >= 0 && (has-a.slowStart[most] >= need[i] ||
					swap && least >= 0 && load[most] > swapRatio*load[least]+flow[i]/strength) {
					p.subset[most], swap = false, false
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
		a.load[b] = l / max(a.localShare(), min(homes[be.zone[b]], 1), 1e-9)
		if a.warmupShare[b] = unlimited; a.load[b] > 0 && a.slowStart[b] < 1 && a.throughput > 0 {
			a.warmupShare[b] = maxWarmupLoad * a.conf.WarmupOverload * a.throughput / a.load[b]
		}
	}
}

// planTable is the table that a proxy should hold for a group, until the next one of it; lines at home carry listed weights.
func (a *Assigner) planTable(p *proxy, g int) table {
	group, be, row, can := &a.groups[g], &a.backends, a.spillover[g][p.zone], make([]float64, a.conf.Zones)
	t := table{weight: append(group.planned.weight[:0], make([]float64, len(be.zone))...), admissions: group.planned.admissions[:0]}
	bare, inside, part, cold, in, warm := true, false, unlimited, 0.0, 0.0, 0.0
	for b, y := range be.zone {
		if !group.open[b] || group.class.OwnZone && y != p.zone {
			continue
		}
		inside = inside || p.mayUse(b)
		if p.subset[b] && row[y] > 0 {
			can[y], bare = can[y]+a.effective[b], false
		}
	}
	home := either(can[p.zone] > 0, can[p.zone]/row[p.zone], 1)
	for b, y := range be.zone {
		switch {
		case !group.open[b] || group.class.OwnZone && y != p.zone || inside && !p.mayUse(b):
		case bare:
			t.weight[b] = a.effective[b] // wherever it is: no proxy is left without a line, confined or not
		case p.subset[b] && row[y] > 0:
			t.weight[b] = a.effective[b] / can[y] * row[y] * home
		}
		// While it has a cold line, it lets in what its lines can take of what all proxies here ask of them. Answers
		// a zone or fleet that comes back at once: ramped weights alone do nothing where all lines are cold.
		if w := t.weight[b]; w > 0 && a.warmupShare[b] < unlimited {
			part, cold, in = min(part, a.warmupShare[b]), cold+w, in+w*min(a.warmupShare[b], 1)
		} else {
			warm += w
		}
	}
	// Its warm lines take what the cold ones cannot, up to a multiple of their part, before any is declined; what
	// voids elsewhere shows how far they are to be had.
	if more := min(cold+warm-in, maxWarmExtra*warm*(1-a.failureRisk)); part < 1 && more > warm {
		for b, w := range t.weight {
			if w > 0 && a.warmupShare[b] < unlimited {
				t.weight[b] = w * min(a.warmupShare[b], 1) * warm / more
			}
		}
		part = (in + more) / (cold + warm)
	}
	// Further tries only after proof that the first never ran, which takes effect once for any product, and only
	// while answers are quick: after any failure, or between full backends, they feed an overload.
	tries := either(a.fast && !p.noRetries, RetryUnexecuted, NoRetry)
	for _, k := range group.products {
		t.admissions = append(t.admissions, Admission{RateLimit: a.rateLimitFor(p, k, part), Retries: tries, Products: 1 << k})
	}
	group.planned = t
	return t
}

// rateLimitFor is the level to order; none while levels cover what is asked for. A proxy that has not reported yet
// starts with what it is said to get, by chance: after a restart callers may be asking again and again.
func (a *Assigner) rateLimitFor(p *proxy, k int, part float64) float64 {
	level := either(a.totalLimit > 0 && !a.uncapped[k], p.limit[k], unlimited)
	// A level equal to a use of about a txn a second would decline half of it.
	level = max(level, min(level+chanceMargin, admitCap(min(level, admitPart*p.use[k]), p.use[k])))
	if p.maxRate > 0 && p.totalUse() > p.maxRate { // a confined proxy that asks too much declines its own
		level = min(level, p.maxRate*p.use[k]/p.totalUse())
	}
	switch {
	case a.conf.Limits == LimitNone:
		return unlimited
	case a.conf.Limits == LimitShare:
		return min(1, part, level/max(p.use[k], minLimit))
	case part < 1:
		return min(level, either(a.rareReports, admitCap(p.use[k]*part, p.use[k]), p.use[k]*part))
	case !p.hasReported:
		return min(level, max(admitCap(admitPart*p.totalUse(), p.totalUse()), minLimit))
	case part < unlimited: // callers may ask far more than was heard of
		most := either(a.rareReports, a.upperUse(p.use[k]), p.use[k])
		return min(level, max(p.use[k]*part, admitCap(either(a.rareReports, warmupAdmitPart, admitPart)*most, most)))
	}
	return level
}
