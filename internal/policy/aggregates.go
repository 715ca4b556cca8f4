package policy

import "math"

// This file computes aggregates of the state.

// sumRates returns the demand and the served rate at all connected proxies, and the number of proxies that have
// reported. Rates without recent reports decay.
func (a *Assigner) sumRates() (demand, served float64, reporting int) {
	for _, p := range a.connected {
		reporting += ifElse(p.hasReported, 1, 0)
		for k, rate := range p.rate {
			if a.now > p.reportedAt[k]+rateTimeout {
				p.rate[k], p.failed[k] = rate*rateDecay, p.failed[k]*rateDecay
			}
			demand, served = demand+rate, served+max(a.admitted(p, k)-p.failed[k], 0)
		}
	}
	return demand, served, reporting
}

// demandByZone returns the demand of each group by zone, and the total. The demand at proxies of other controllers
// comes from their reports, or is assumed to be proportional to capacity: without it a zone would seem idle.
func (a *Assigner) demandByZone(weight []float64, allWeight float64) (demand [][]float64, sum float64) {
	missing := (1 - a.remoteTrust) * (1/a.connectedShare() - 1)
	for _, group := range a.groups {
		byZone := make([]float64, a.conf.Zones)
		for _, k := range group.products {
			admitted, local := 0.0, a.demand(k)
			for _, p := range a.connected {
				rate := a.admitted(p, k)
				byZone[p.zone], admitted = byZone[p.zone]+rate, admitted+rate
			}
			for z := range weight {
				remote := missing * admitted * weight[z] / allWeight
				if a.remoteTrust > 0 && local > 0 { // scaled by the locally admitted fraction
					remote += a.remoteTrust * a.remoteUsage[k][z] * admitted / local
				}
				byZone[z], sum = byZone[z]+remote, sum+remote
			}
			sum += admitted
		}
		demand = append(demand, byZone)
	}
	return demand, sum
}

// demandFor returns a proxy's demand in a zone; size is the subset size without spillover.
func (a *Assigner) demandFor(p *proxy, zone int, size float64) (demand zoneDemand) {
	for g, group := range a.groups {
		fraction := a.spillover[g][p.zone][zone]
		for _, k := range group.products { // includes retries of attempts that fail in other zones
			demand.rate += p.rate[k] * min(fraction*1e9, fraction+(1-fraction)*a.failureRisk)
		}
		if fraction > 0 {
			demand.subsetSize = max(demand.subsetSize, 1, size*fraction)
		}
	}
	return demand
}

// addLoad adds a proxy's demand in a zone to the load of the backends in its subset. The others carry the share of
// withdrawn backends.
func (a *Assigner) addLoad(p *proxy, backends []int, demand zoneDemand, tick bool) {
	p.subset = append(p.subset, make([]bool, len(a.backends.zone)-len(p.subset))...)
	usable, all := 0.0, 0.0
	for _, b := range backends {
		p.subset[b] = p.subset[b] && p.mayUse(b)
		if p.subset[b] && a.backends.status[b] == Ready {
			usable += ifElse(a.backends.withdrawn[b], 0, a.expected[b])
			all += a.expected[b]
		}
	}
	for _, b := range backends {
		if p.subset[b] && (tick || !p.counted) {
			a.localLoad[b] += demand.rate / max(ifElse(a.backends.withdrawn[b], all, usable), 1e-9)
		}
	}
}

// subsetState describes a proxy's subset: the most loaded backend in it and the least loaded outside (-1: none), the
// size and the total weight. Backends in slow start count fractionally.
type subsetState struct {
	most, least  int
	size, weight float64
}

// examineSubset returns the state of a proxy's subset of a zone's backends.
func (a *Assigner) examineSubset(p *proxy, backends []int) subsetState {
	s, load := subsetState{most: -1, least: -1}, a.localLoad
	for j := range backends { // from an offset, so that controllers with few proxies choose different backends
		b := backends[(j+int(a.conf.FirstTick))%len(backends)]
		switch {
		case a.backends.status[b] != Ready || !p.mayUse(b):
		case p.subset[b]:
			s.size, s.weight = s.size+a.slowStart[b], s.weight+a.expected[b]
			if s.most < 0 || load[b] > load[s.most] {
				s.most = b
			}
		case s.least < 0 || load[b] < load[s.least]:
			s.least = b
		}
	}
	return s
}

// withdrawnReady returns the withdrawn backends that are ready again.
func (a *Assigner) withdrawnReady() (ready []int) {
	for b, withdrawn := range a.backends.withdrawn {
		if withdrawn && a.ready[b] {
			ready = append(ready, b)
		}
	}
	return ready
}

// connectedShare returns the fraction of all proxies that is connected to this controller.
func (a *Assigner) connectedShare() float64 {
	return float64(len(a.connected)) / float64(max(a.conf.Proxies, len(a.connected), 1))
}

// localShare returns the fraction of all demand that arrives at local proxies. Without remote reports it is the
// fraction of proxies.
func (a *Assigner) localShare() float64 {
	local, remote := 1e-9, 0.0
	for k, byZone := range a.remoteUsage {
		local += a.demand(k)
		for _, rate := range byZone {
			remote += rate
		}
	}
	return a.remoteTrust*local/(local+remote) + (1-a.remoteTrust)*a.connectedShare()
}

// updateWeights recomputes the values per backend that many tables share.
func (a *Assigner) updateWeights() {
	n := len(a.backends.zone)
	for len(a.slowStart) < n {
		a.slowStart, a.effective, a.expected = append(a.slowStart, 0), append(a.effective, 0), append(a.expected, 0)
		a.ready, a.load = append(a.ready, false), append(a.load, 0)
		a.warmupShare = append(a.warmupShare, unlimited)
	}
	for z := range a.byZone {
		a.byZone[z] = a.byZone[z][:0]
	}
	for b, z := range a.backends.zone {
		a.slowStart[b], a.effective[b], a.expected[b] = a.slowStartFactor(b), a.effectiveWeight(b), a.expectedWeight(b)
		a.ready[b], a.byZone[z] = a.backends.status[b] == Ready, append(a.byZone[z], b)
	}
	for g := range a.groups {
		group := &a.groups[g]
		group.open = append(group.open, make([]bool, n-len(group.open))...)
		for b := range group.open {
			group.open[b] = a.isOpen(group.class, b)
		}
	}
}

// listConnected collects the connected proxies.
func (a *Assigner) listConnected() {
	a.connected = a.connected[:0]
	for i := range a.proxies {
		if a.proxies[i].connected {
			a.connected = append(a.connected, &a.proxies[i])
		}
	}
}

// strandedProxies returns the connected proxies without a usable backend in some group.
func (a *Assigner) strandedProxies() (stranded []*proxy) {
	for _, p := range a.connected {
		if p.stranded {
			stranded = append(stranded, p)
		}
	}
	return stranded
}

// isStranded reports whether a proxy has no table of this controller, or one whose backends are all withdrawn.
func (a *Assigner) isStranded(p *proxy) bool {
	for _, t := range p.installed {
		usable := false
		for b, w := range t.weight {
			if usable = w > 0 && !a.backends.withdrawn[b]; usable {
				break
			}
		}
		if !usable {
			return true
		}
	}
	return !p.assigned
}

// demand returns the rate of a product over all connected proxies.
func (a *Assigner) demand(k int) (d float64) {
	for _, p := range a.connected {
		d += p.rate[k]
	}
	return d
}

// capacityOf returns the effective weight of the open backends by zone and in total, and the total without derating.
func (a *Assigner) capacityOf(open []bool) (byZone []float64, all, underated float64) {
	byZone = make([]float64, a.conf.Zones)
	for b, zone := range a.backends.zone {
		if open[b] {
			byZone[zone], all = byZone[zone]+a.effective[b], all+a.effective[b]
			underated += a.backends.weight[b] * a.slowStart[b]
		}
	}
	return byZone, all, underated
}

// admitted returns the rate of a product that a proxy admits.
func (a *Assigner) admitted(p *proxy, k int) float64 {
	if a.totalLimit > 0 && !a.uncapped[k] {
		return min(p.rate[k], p.limit[k])
	}
	return p.rate[k]
}

// meanSLA returns the SLA averaged over all txns.
func (a *Assigner) meanSLA() float64 {
	sum, n := 0.0, 1e-9
	for k, product := range a.conf.Products {
		demand := a.demand(k) + 1e-9
		sum, n = sum+demand*float64(product.SLA), n+demand
	}
	return max(sum/n, 1)
}

// rateUpperBound returns an upper bound on the actual rate behind a reported one: two standard deviations of the
// arrivals within the report's span.
func (a *Assigner) rateUpperBound(rate float64) float64 {
	span := max(a.reportSpan, 1/minDecayRate)
	return rate + 2*math.Sqrt(max(rate*span, 1))/span
}
