package policy

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// This file collects backend reports as weighted samples and computes their medians.

// onBackendReport adds a report to a backend's sums. Invalid counts are clamped.
func (a *Assigner) onBackendReport(e BackendReport) {
	backends, b := &a.backends, e.Backend
	a.ensureBackend(b + 1)
	e.Attempts = max(e.Attempts, 0)
	failed := min(max(e.Failed, 0), e.Attempts)
	a.noteReportTime(b, e.Attempts)
	backends.attempts[b], backends.failed[b] = backends.attempts[b]+e.Attempts, backends.failed[b]+failed
	backends.updated[b] = backends.updated[b] || e.Attempts > 0
	if succeeded := e.Attempts - failed; succeeded > 0 && e.Latency > 0 {
		backends.succeeded[b] += succeeded
		backends.latencySum[b] += succeeded * float64(e.Latency)
	}
}

// noteReportTime updates a backend's report interval. If a report covers more than sparseReportSpan, it first decays
// the earlier sums by that span. Such spans occur where there are too many reports for the intake: one report then
// covers several seconds.
func (a *Assigner) noteReportTime(b int, attempts float64) {
	backends := &a.backends
	before := backends.reportedAt[b]
	if before != never && a.now > before {
		interval := float64(min(a.now-before, rateTimeout)) / float64(Second)
		backends.reportInterval[b] += (interval - backends.reportInterval[b]) / smoothingTicks
	}
	if gap := float64(a.now-before) / float64(Second); gap > sparseReportSpan {
		a.decay(b, attempts, min(gap, float64(rateTimeout)/float64(Second))-1)
		backends.reportGap[b] = ifElse(before == never, 1, gap)
	} else if a.now > before {
		backends.reportGap[b] = 1
	}
	backends.reportedAt[b] = a.now
}

// decay reduces the weight of a backend's earlier reports after new attempts within span seconds. While reports are
// rare, few attempts replace only a part of the earlier ones.
func (a *Assigner) decay(b int, attempts, span float64) {
	backends := &a.backends
	replaced := ifElse(attempts < minAttempts && a.rareReports, attempts/replacingAttempts, 1)
	keep := 1 - replaced*(1-math.Pow(reportDecay, span))
	backends.attempts[b], backends.failed[b] = backends.attempts[b]*keep, backends.failed[b]*keep
	backends.succeeded[b], backends.latencySum[b] = backends.succeeded[b]*keep, backends.latencySum[b]*keep
	backends.evaluated[b] = backends.attempts[b]
}

// samples holds the reports of all backends. Each backend contributes one sample to a median, normally of equal
// strength, but depending on its weight and its attempts while reports are rare.
type samples struct {
	failed, latency                            []float64 // by backend; 0 if it has too few attempts
	failedSamples, latencySamples, nextSamples []sample  // nextSamples: predicted latency of the next txn
	failedUnderated                            []sample  // failing fraction, weighted as if no backend were derated
	intervals                                  []sample  // seconds between reports
	strength                                   float64   // sum over failedSamples
}

func (a *Assigner) collectSamples() (s samples) {
	n := len(a.backends.zone)
	s.failed, s.latency = make([]float64, n), make([]float64, n)
	for b, attempts := range a.backends.attempts {
		if a.backends.status[b] == Ready && attempts > 0 {
			a.collectFailures(&s, b, attempts)
			a.collectLatency(&s, b, attempts)
		}
	}
	return s
}

// collectFailures adds a backend's failing fraction and its report interval.
func (a *Assigner) collectFailures(s *samples, b int, attempts float64) {
	failed, strength := a.backends.failed[b]/attempts, a.sampleStrength(b, attempts)
	underated := strength
	if a.rareReports {
		underated = a.backends.weight[b] * a.slowStart[b] * min(attempts/minAttempts, 1)
	}
	s.failedSamples, s.strength = append(s.failedSamples, sample{failed, strength}), s.strength+strength
	s.failedUnderated = append(s.failedUnderated, sample{failed, underated})
	s.intervals = append(s.intervals, sample{a.backends.reportInterval[b], 1})
	if attempts >= minAttempts {
		s.failed[b] = failed
	}
}

// collectLatency adds a backend's mean latency, and the latency predicted for its next txn.
func (a *Assigner) collectLatency(s *samples, b int, attempts float64) {
	if a.backends.succeeded[b] <= 0 {
		return
	}
	latency, strength := a.backends.latencySum[b]/a.backends.succeeded[b], a.sampleStrength(b, attempts)
	if attempts >= minAttempts {
		s.latency[b] = latency
	}
	s.latencySamples = append(s.latencySamples, sample{latency, strength})
	// Txns in flight over the rate of service predict the latency of the next txn. They come from probes only: values in
	// responses are biased towards busy moments.
	sent := max(attempts*(1-reportDecay), a.throughput*a.effective[b], 1e-9)
	next := a.backends.inFlight[b] / sent * float64(tickInterval)
	s.nextSamples = append(s.nextSamples, sample{max(latency, next), strength})
}

// sampleStrength returns the weight of a backend's samples in medians.
func (a *Assigner) sampleStrength(b int, attempts float64) float64 {
	if a.rareReports {
		return a.effective[b] * min(attempts/minAttempts, 1)
	}
	return ifElse(attempts < minAttempts, 0.0, 1)
}

// reportLag returns the delay of a backend's reports, rounded down to multiples of deratingInterval.
func (a *Assigner) reportLag(b int) Time {
	return max(a.backends.age[b], 0) / deratingInterval * deratingInterval
}

// isOwnTurn reports whether this controller's turn for a backend has come since the last evaluation. Each span has one
// turn at an offset hashed from controller and backend, so that controllers with the same reports do not act
// simultaneously.
func (a *Assigner) isOwnTurn(b int, span Time) bool {
	h := fnv.New32a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(a.conf.FirstTick)<<20+uint64(b)))
	at := Time(h.Sum32()) % span
	return a.evaluatedAt > 0 && (a.now-at)/span > (a.evaluatedAt-at)/span
}

// poissonLimit returns the limit on txns per second that admits the rate want of Poisson arrivals with the given rate.
func poissonLimit(want, rate float64) float64 {
	if rate > 50 {
		return want // random variation is relatively small
	}
	probability, tail, admitted := math.Exp(-rate), 1.0, 0.0 // of n arrivals; of more than n; mean at limit n
	for n := 0.0; ; n++ {
		if tail -= probability; admitted+tail >= want || tail < 1e-3 {
			return n + (want-admitted)/max(tail, 1e-3)
		}
		admitted, probability = admitted+tail, probability*rate/(n+1)
	}
}

// median returns the weighted median. If it falls between two samples, lower selects the smaller one.
func median(all []sample, lower bool) float64 {
	slices.SortFunc(all, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	sum, half := 0.0, 0.0
	for _, w := range all {
		half += w.strength / 2
	}
	for _, w := range all {
		if sum += w.strength; sum > half || lower && sum == half {
			return w.value
		}
	}
	return 0
}

type sample struct{ value, strength float64 }

// ifElse returns yes if the condition holds, otherwise no.
func ifElse[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}
