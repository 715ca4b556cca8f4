package policy

import "math"

// Sums over what is remembered. Nothing is decided here.

// sumUse sums up what is demanded and served, and how many proxies report. Use that is no longer reported decays.
func (a *Assigner) sumUse() (demand, served float64, reporting int) {
	for _, p := range a.connected {
		reporting += either(p.hasReported, 1, 0)
		for k, use := range p.use {
			if a.now > p.reportedAt[k]+useTimeout {
				p.use[k], p.failed[k] = use*useDecay, p.failed[k]*useDecay
			}
			demand, served = demand+use, served+max(a.admitted(p, k)-p.failed[k], 0)
		}
	}
	return demand, served, reporting
}

// demandByZone is each group's demand by zone, and the sum. Proxies that are not connected here are taken to demand
// evenly, or as other controllers report: they must not make a zone look idle.
func (a *Assigner) demandByZone(weight []float64, allWeight float64) (demand [][]float64, sum float64) {
	missing := (1 - a.trust) * (1/a.connectedShare() - 1)
	for _, group := range a.groups {
		byZone := make([]float64, a.conf.Zones)
		for _, k := range group.products {
			admitted, use := 0.0, a.demand(k)
			for _, p := range a.connected {
				rate := a.admitted(p, k)
				byZone[p.zone], admitted = byZone[p.zone]+rate, admitted+rate
			}
			for z := range weight {
				others := missing * admitted * weight[z] / allWeight
				if a.trust > 0 && use > 0 { // limited as those here are
					others += a.trust * a.remoteUsage[k][z] * admitted / use
				}
				byZone[z], sum = byZone[z]+others, sum+others
			}
			sum += admitted
		}
		demand = append(demand, byZone)
	}
	return demand, sum
}

// wantOf is what a proxy wants of a zone, with subsets of a size.
func (a *Assigner) wantOf(p *proxy, zone int, size float64) (w want) {
	for g, group := range a.groups {
		part := a.spillover[g][p.zone][zone]
		for _, k := range group.products { // what fails elsewhere may be retried here
			w.use += p.use[k] * min(part*1e9, part+(1-part)*a.failureRisk)
		}
		if part > 0 {
			w.size = max(w.size, 1, size*part)
		}
	}
	return w
}

// addLoad adds a proxy's use to the load of its subset. Until withdrawn backends are let in again the others bear all.
func (a *Assigner) addLoad(p *proxy, backends []int, w want, tick bool) {
	p.subset = append(p.subset, make([]bool, len(a.backends.zone)-len(p.subset))...)
	usable, all := 0.0, 0.0
	for _, b := range backends {
		p.subset[b] = p.subset[b] && p.mayUse(b)
		if p.subset[b] && a.backends.status[b] == Ready {
			usable += either(a.backends.withdrawn[b], 0, a.expected[b])
			all += a.expected[b]
		}
	}
	for _, b := range backends {
		if p.subset[b] && (tick || !p.counted) {
			a.localLoad[b] += w.use / max(either(a.backends.withdrawn[b], all, usable), 1e-9)
		}
	}
}

// subsetState is the size of a subset, each backend in slow start in part, its weight, the most loaded backend in it
// and the least loaded outside; -1: there is none.
type subsetState struct {
	most, least  int
	size, weight float64
}

// examineSubset examines a proxy's subset of a zone's backends.
func (a *Assigner) examineSubset(p *proxy, backends []int) subsetState {
	s, load := subsetState{most: -1, least: -1}, a.localLoad
	for j := range backends { // each controller begins elsewhere, or those with few proxies would all choose the same
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

// withdrawnReady are the backends that may be let in again.
func (a *Assigner) withdrawnReady() (ready []int) {
	for b, withdrawn := range a.backends.withdrawn {
		if withdrawn && a.ready[b] {
			ready = append(ready, b)
		}
	}
	return ready
}

// connectedShare is the part of all proxies that is connected here.
func (a *Assigner) connectedShare() float64 {
	return float64(len(a.connected)) / float64(max(a.conf.Proxies, len(a.connected), 1))
}

// localShare is the part of all use that arrives at the proxies here; the part of the proxies, where nobody reports it.
func (a *Assigner) localShare() float64 {
	here, there := 1e-9, 0.0
	for k, by := range a.remoteUsage {
		here += a.demand(k)
		for _, u := range by {
			there += u
		}
	}
	return a.trust*here/(here+there) + (1-a.trust)*a.connectedShare()
}

// updateWeights works out once for a step what the tables of many proxies need of each backend.
func (a *Assigner) updateWeights() {
	n := len(a.backends.zone)
	for len(a.slowStart) < n {
		a.slowStart, a.effective, a.expected = append(a.slowStart, 0), append(a.effective, 0), append(a.expected, 0)
		a.ready, a.load = append(a.ready, false), append(a.load, 0)
		a.warmupShare = append(a.warmupShare, unlimited)
	}
	for y := range a.byZone {
		a.byZone[y] = a.byZone[y][:0]
	}
	for b, y := range a.backends.zone {
		a.slowStart[b], a.effective[b], a.expected[b] = a.slowStartFactor(b), a.effectiveWeight(b), a.expectedWeight(b)
		a.ready[b], a.byZone[y] = a.backends.status[b] == Ready, append(a.byZone[y], b)
	}
	for g := range a.groups {
		group := &a.groups[g]
		group.open = append(group.open, make([]bool, n-len(group.open))...)
		for b := range group.open {
			group.open[b] = a.isOpen(group.class, b)
		}
	}
}

// listConnected lists the proxies that are connected.
func (a *Assigner) listConnected() {
	a.connected = a.connected[:0]
	for i := range a.proxies {
		if a.proxies[i].connected {
			a.connected = append(a.connected, &a.proxies[i])
		}
	}
}

// strandedProxies are the connected proxies that lack a usable backend in some group.
func (a *Assigner) strandedProxies() (stranded []*proxy) {
	for _, p := range a.connected {
		if p.stranded {
			stranded = append(stranded, p)
		}
	}
	return stranded
}

// isStranded reports whether in some group all backends that a proxy has lines for are withdrawn.
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

// demand is the use of a product by all connected proxies, txns/s.
func (a *Assigner) demand(k int) (d float64) {
	for _, p := range a.connected {
		d += p.use[k]
	}
	return d
}

// capacityOf is the effective weight of the backends that are open, by zone and in all, and that without derating.
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

// admitted is what a proxy admits of a product, txns/s.
func (a *Assigner) admitted(p *proxy, k int) float64 {
	if a.totalLimit > 0 && !a.uncapped[k] {
		return min(p.use[k], p.limit[k])
	}
	return p.use[k]
}

// meanSLA is the SLA time of the mean txn.
func (a *Assigner) meanSLA() float64 {
	sum, n := 0.0, 1e-9
	for k, pr := range a.conf.Products {
		d := a.demand(k) + 1e-9
		sum, n = sum+d*float64(pr.SLA), n+d
	}
	return max(sum/n, 1)
}

// upperUse is the use that chance may hide behind one that was reported: two deviations of what arrived in the span
// that it stands for.
func (a *Assigner) upperUse(use float64) float64 {
	span := max(a.reportSpan, 1/minDecayRate)
	return use + 2*math.Sqrt(max(use*span, 1))/span
}
