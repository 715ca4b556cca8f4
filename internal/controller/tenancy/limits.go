package tenancy

import (
	"cmp"
	"slices"
)

// evaluateHealth compares each tenant's backends with the others once a tick, and limits unhealthy tenants.
func (m *Manager) evaluateHealth() {
	failureRates, latencies := m.measurements()
	medianFailure, failureCount := medianExcept(failureRates, nil)
	medianLatency, latencyCount := medianExcept(latencies, nil)
	for _, t := range m.tenants {
		// The lower quartile ignores a few bad backends that a tenant shares with an unhealthy one.
		failure, ownFailures := lowerQuartile(failureRates, t.assigned)
		latency, ownLatencies := lowerQuartile(latencies, t.assigned)
		othersFailure, otherFailures := medianFailure, failureCount-ownFailures
		othersLatency, otherLatencies := medianLatency, latencyCount-ownLatencies
		if 4*len(t.assigned) > len(m.backends) { // a smaller set hardly changes the median
			othersFailure, otherFailures = medianExcept(failureRates, t.assigned)
			othersLatency, otherLatencies = medianExcept(latencies, t.assigned)
		}
		m.sumRates(t)
		isFailing := ownFailures > 0 && otherFailures > 0 && failure > othersFailure+failureMargin
		isSlow := ownLatencies > 0 && otherLatencies > 0 && latency > latencyFactor*othersLatency &&
			latency > minLatencySLAFraction*m.minSLA
		t.unhealthy = isFailing || isSlow
		if !t.unhealthy {
			t.unhealthyTicks = 0
			if t.baselineRate == 0 {
				t.baselineRate = t.rate
			} else if t.rateLimit == 0 {
				t.baselineRate = t.baselineRate*baselineRateDecay + t.rate*(1-baselineRateDecay)
			}
		} else if t.unhealthyTicks++; t.unhealthyTicks == minUnhealthyTicks {
			m.log(
				true,
				"tenant %s is unhealthy: failure rate %.0f%% (others %.0f%%), latency %.1f ms (others %.1f); "+
					"rate %.1f txns/s (usually %.1f)",
				t.Name,
				100*failure,
				100*othersFailure,
				latency/ticksPerMillisecond,
				othersLatency/ticksPerMillisecond,
				t.rate,
				t.baselineRate,
			)
		}
	}
	m.limitTenants()
}

// measurements returns the failure rate and mean latency of each backend by index, -1 where there are too few
// attempts, and decays the statistics.
func (m *Manager) measurements() (failureRates, latencies []float64) {
	failureRates = slices.Repeat([]float64{-1}, len(m.byIndex))
	latencies = slices.Repeat([]float64{-1}, len(m.byIndex))
	for at, stats := range m.stats {
		if at < len(m.byIndex) && stats.attempts >= minAttempts {
			failureRates[at] = stats.failed / stats.attempts
			if stats.succeeded > 0 {
				latencies[at] = stats.totalLatency / stats.succeeded
			}
		}
		stats.attempts *= reportDecay
		stats.failed *= reportDecay
		stats.succeeded *= reportDecay
		stats.totalLatency *= reportDecay
	}
	return failureRates, latencies
}

// sumRates sums the received and the served rates of a tenant's proxies.
func (m *Manager) sumRates(t *tenant) {
	t.rate, t.servedRate = 0, 0
	for _, at := range t.Proxies {
		if p := m.proxyAt(at); p != nil && p.connected {
			received, failed := sum(p.txnRates), sum(p.failedRates)
			t.rate += received
			t.servedRate += max(received-failed, 0)
		}
	}
}

// limitTenants adjusts the rate limits, and disables retries in pools that exceed their retry budget. The tenants of a
// fixed cell share a pool; with shuffle sharding each tenant has its own.
func (m *Manager) limitTenants() {
	type poolRates struct{ received, served float64 }
	pools := map[string]poolRates{}
	pool := func(t *tenant) string { return choose(m.plan.Shuffle, "tenant "+t.Name, "cell "+t.Cell) }
	for _, t := range m.tenants {
		m.adjustRateLimit(t)
		rates := pools[pool(t)]
		pools[pool(t)] = poolRates{rates.received + t.rate, rates.served + t.servedRate}
	}
	for _, t := range m.tenants {
		rates := pools[pool(t)]
		t.retryBudgetSpent = rates.received-rates.served > retryBudgetFraction*rates.received
	}
}

// adjustRateLimit reduces the limit of an unhealthy tenant and raises it again after recovery. Among tenants with the
// same backends, those whose rate surged are limited first.
func (m *Manager) adjustRateLimit(t *tenant) {
	minRate := func(u *tenant) float64 { return m.plan.ContainedRate * float64(len(u.Proxies)) }
	surged := func(u *tenant) bool { return u.rate > surgeFactor*u.baselineRate }
	unhealthy := func(u *tenant) bool { return u.unhealthyTicks >= minUnhealthyTicks }
	likelyCause := func(u *tenant) bool {
		return u != t && unhealthy(u) && surged(u) && slices.Equal(u.assigned, t.assigned) &&
			(u.rateLimit == 0 || u.rateLimit > 2*minRate(u))
	}
	switch {
	case unhealthy(t) && !surged(t) && slices.ContainsFunc(m.tenants, likelyCause):
	case unhealthy(t) && (t.rateLimit == 0 || m.now >= t.reducedAt+reduceInterval):
		if t.rateLimit == 0 {
			t.rateLimit = max(min(t.servedRate, t.baselineRate), minRate(t))
			m.log(true, "tenant %s is limited to %.1f txns/s", t.Name, t.rateLimit)
		}
		factor := choose(surged(t), surgeReduceFactor, reduceFactor)
		t.rateLimit, t.reducedAt = max(t.rateLimit*factor, minRate(t)), m.now
	case t.unhealthyTicks == 0 && t.rateLimit > 0:
		// During a surge the likely cause of the trouble is still present.
		if !surged(t) {
			t.rateLimit *= raiseFactor
		}
		if t.rateLimit > removeLimitFactor*t.rate {
			m.log(false, "tenant %s is no longer limited: limit had reached %.0f txns/s", t.Name, t.rateLimit)
			t.rateLimit = 0
		}
	}
}

func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// lowerQuartile returns the lower quartile of the known values of a set, and their count.
func lowerQuartile(values []float64, set []int) (float64, int) {
	var all []float64
	for _, at := range set {
		if at < len(values) && values[at] >= 0 {
			all = append(all, values[at])
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/4], len(all)
}

// medianExcept returns the median of the known values outside a set, and their count.
func medianExcept(values []float64, excluded []int) (float64, int) {
	var all []float64
	for at, v := range values {
		if v >= 0 && !contains(excluded, at) {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], len(all)
}

// splitRateLimit divides a tenant's rate limit among its proxies by max-min fairness: unused shares go to busier ones.
func (m *Manager) splitRateLimit(t *tenant) []float64 {
	shares := make([]float64, len(t.Proxies))
	if t.contained {
		for i := range shares {
			shares[i] = m.plan.ContainedRate
		}
		return shares
	}
	if t.rateLimit == 0 {
		return shares
	}
	left, connected := t.rateLimit, []int{}
	for i, at := range t.Proxies {
		if p := m.proxyAt(at); p != nil && p.connected {
			connected = append(connected, i)
		}
	}
	slices.SortStableFunc(connected, func(i, j int) int {
		return cmp.Compare(sum(m.proxies[t.Proxies[i]].txnRates), sum(m.proxies[t.Proxies[j]].txnRates))
	})
	for n, i := range connected {
		part := left / float64(len(connected)-n)
		shares[i] = max(min(part, sum(m.proxies[t.Proxies[i]].txnRates)), m.plan.ContainedRate)
		if n == len(connected)-1 {
			shares[i] = max(part, m.plan.ContainedRate)
		}
		left -= min(shares[i], left)
	}
	return shares
}
