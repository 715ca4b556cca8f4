package policy

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Reports of backends as samples, and their medians. Nothing is decided here.

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

// noteReportTime keeps how often a backend reports. Where reports are too many for the intake one stands for several
// seconds, and what was reported before it is as old.
func (a *Assigner) noteReportTime(b int, attempts float64) {
	backends := &a.backends
	before := backends.reportedAt[b]
	if before != never && a.now > before {
		interval := float64(min(a.now-before, useTimeout)) / float64(Second)
		backends.reportInterval[b] += (interval - backends.reportInterval[b]) / smoothingTicks
	}
	if gap := float64(a.now-before) / float64(Second); gap > longSpan {
		a.decay(b, attempts, min(gap, float64(useTimeout)/float64(Second))-1)
		backends.reportGap[b] = either(before == never, 1, gap)
	} else if a.now > before {
		backends.reportGap[b] = 1
	}
	backends.reportedAt[b] = a.now
}

// decay has earlier reports of a backend count for less beside so many new attempts of a span of seconds: for long
// where there are few, and most backends do not report each second.
func (a *Assigner) decay(b int, attempts, span float64) {
	backends := &a.backends
	replaced := either(attempts < minAttempts && a.rareReports, attempts/fullAttempts, 1)
	keep := 1 - replaced*(1-math.Pow(reportDecay, span))
	backends.attempts[b], backends.failed[b] = backends.attempts[b]*keep, backends.failed[b]*keep
	backends.succeeded[b], backends.latencySum[b] = backends.succeeded[b]*keep, backends.latencySum[b]*keep
	backends.evaluated[b] = backends.attempts[b]
}

// samples are what was reported: by backend, where it is enough to say something of it alone, and what the medians
// go by: one sample a backend, or, while reports are rare, with its weight, less where little was reported.
type samples struct {
	failed, latency                []float64
	allFailed, allLatency, allNext []sample
	caution                        []sample // as allFailed, also of backends that are derated
	intervals                      []sample // seconds between reports
	strength                       float64  // of all samples
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

func (a *Assigner) collectFailures(s *samples, b int, attempts float64) {
	failed, strength := a.backends.failed[b]/attempts, a.sampleStrength(b, attempts)
	caution := strength
	if a.rareReports {
		caution = a.backends.weight[b] * a.slowStart[b] * min(attempts/minAttempts, 1)
	}
	s.allFailed, s.strength = append(s.allFailed, sample{failed, strength}), s.strength+strength
	s.caution = append(s.caution, sample{failed, caution})
	s.intervals = append(s.intervals, sample{a.backends.reportInterval[b], 1})
	if attempts >= minAttempts {
		s.failed[b] = failed
	}
}

func (a *Assigner) collectLatency(s *samples, b int, attempts float64) {
	if a.backends.succeeded[b] <= 0 {
		return
	}
	latency, strength := a.backends.latencySum[b]/a.backends.succeeded[b], a.sampleStrength(b, attempts)
	if attempts >= minAttempts {
		s.latency[b] = latency
	}
	s.allLatency = append(s.allLatency, sample{latency, strength})
	// What a probe finds in flight, over what is sent in a tick or can be served, is the latency of the next txn, known
	// sooner. Load in responses would be seen too often at busy moments.
	sent := max(attempts*(1-reportDecay), a.throughput*a.effective[b], 1e-9)
	next := a.backends.inFlight[b] / sent * float64(tickInterval)
	s.allNext = append(s.allNext, sample{max(latency, next), strength})
}

func (a *Assigner) sampleStrength(b int, attempts float64) float64 {
	if a.rareReports {
		return a.effective[b] * min(attempts/minAttempts, 1)
	}
	return either(attempts < minAttempts, 0.0, 1)
}

// lag is by how much reports of a backend are late, in whole intervals.
func (a *Assigner) lag(b int) Time {
	return max(a.backends.age[b], 0) / deratingInterval * deratingInterval
}

// isTurn reports whether a moment of this controller's own within each span, for a backend, passed since the last
// evaluation: controllers that have the same reports do not act at the same moment.
func (a *Assigner) isTurn(b int, span Time) bool {
	h := fnv.New32a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(a.conf.FirstTick)<<20+uint64(b)))
	at := Time(h.Sum32()) % span
	return a.evaluatedAt > 0 && (a.now-at)/span > (a.evaluatedAt-at)/span
}

// admitCap is the limit on the txns of a second that admits want of them, where use arrive by chance (Poisson).
func admitCap(want, use float64) float64 {
	if use > 50 {
		return want // chance is small beside that
	}
	chance, more, in := math.Exp(-use), 1.0, 0.0
	for n := 0.0; ; n++ {
		if more -= chance; in+more >= want || more < 1e-3 {
			return n + (want-in)/max(more, 1e-3)
		}
		in, chance = in+more, chance*use/(n+1)
	}
}

// median is the weighted median, the lower or the upper one of two.
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

// either is yes or no.
func either[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}
