package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// What an Assigner remembers, and sums over it. Nothing is decided here.

const never = Time(math.MinInt64 / 2)

type group struct {
	products  []int // that may go to the same backends: they share a table
	mask      uint16
	class     Product
	placement string
	open      []bool // by backend: its products may go there from some zone, in this step
	planned   table  // of the proxy looked at
}

type table struct { // a table: weights by backend, gates by place in the group
	weight     []float64
	admissions []Admission
}

type message struct {
	sentAt Time
	batch  int
	cost   float64 // lines; none once it was taken
}

type proxy struct {
	index               int
	connected, assigned bool
	hasReported         bool // it reported since it joined
	bringsTables        bool // shut-outs of another controller
	zone                int
	use, failed, limit  []float64 // txns/s by product; level is the max-rate
	reported            []bool    // ... its use was reported
	reportedAt          []Time    // ... when last, or when it joined
	disconnectedAt      Time
	installed           []table   // by group: what was ordered
	subset              []bool    // by backend: may have a line
	counted, stranded   bool      // what it asks is in Assigner.localLoad; it lacks a usable line in some group
	sent                []message // within the counting span, or on their way

	confined, noRetries bool
	allowed             []bool // by backend: allowed
	maxRate             float64
}

type change struct { // what a proxy lacks, and what it will hold then
	proxy, urgency int
	extraLines     float64 // lines that settle what it brings
	orders         []Order
	tables         []table
}

type backendStates struct { // parallel arrays under the door's index of backends
	zone, kind            []int
	status                []Status
	weight, derating      []float64 // listed; the part of it that a hot one keeps
	startedAt, deratedAt  []Time    // when its ramp began; the last step of relief
	inFlight              []float64 // txns that a probe said it holds since the last tick
	attempts, failed      []float64 // fading
	succeeded, latencySum []float64 // answers and the time that they took, fading
	reportedAt            []Time
	evaluated             []float64 // tries as they were at the last judgement
	age, remoteAt         []Time    // how late what was told of it is; when that came
	reportGap             []float64 // seconds between the last two times it was heard of; 1 where that is often enough
	reportInterval        []float64 // seconds from one word of it to the next, smoothed
	updated, withdrawn    []bool    // heard of since the last tick; withdrawn
	unlisted              []bool    // from the list, though that alone does not bind
	goneAt                []Time
}

// Assigner decides for one controller.
type Assigner struct {
	conf         Deployment
	now          Time
	started      bool
	urgent       bool // something happened that cannot wait for the tick
	needsFollow  bool // ask for the list again at the tick
	retryPending bool // a wake is under way for what the channel had no room for

	groups    []group
	proxies   []proxy
	connected []*proxy // that are joined
	backends  backendStates
	spillover [][][]float64 // by group, zone of the proxies, zone of the backends: part of their txns
	load      []float64     // by backend: txns/s asked of it for a unit of strength, as if all did as those here
	localLoad []float64     // ... by the proxies here alone, at the last tick and since

	slowStart, effective, expected []float64 // by backend, in this step
	warmupShare                    []float64 // ... the part of what is asked of a cold one that it can take; else unlimited
	ready                          []bool
	byZone                         [][]int // backends

	totalLimit, knee            float64 // txns/s; total 0 is unbounded; the knee is what the backends are held to manage
	served                      float64 // txns/s answered, smoothed
	capacity, throughput        float64 // listed weight that is ready, less while it is cold; the most served for a unit of it
	overloaded, fast            bool    // answers are late or voided; they are quick
	resetLimits                 bool    // levels go back to equal shares
	uncapped                    []bool  // by product: the levels cover what is asked for
	reducedAt, raisedAt         Time
	reportSpan                  float64                       // seconds that a report of use stands for, the mean of the last tick with any
	spanSum, spanCount          float64                       // their sum since, and their number
	restored                    [FigureThroughput + 1]float64 // what was recalled, by Figure
	restoredAt                  Time
	medianLatency, medianFailed float64 // median time of answers, and share voided at the median backend
	failureRisk                 float64 // ... that may come to cold ones too
	rareReports                 bool    // most backends are not heard of each second

	remoteUsage   [][]float64 // txns/s by product and zone that others told of last
	remoteUsageAt Time
	trust         float64 // part that is believed of it, which rises and falls in steps
	evaluatedAt   Time

	queuedLines, unackedLines float64 // lines that may wait in the channel; of messages of which nothing shows that they left
	queuedAt                  Time
	batch                     int                      // messages written together
	writtenAt                 [markerNumbers / 32]Time // when, of those of late
	drainedUntil              Time                     // what was written up to here has left the channel
	orders                    []Order
}

func (a *Assigner) order(o Order) { a.orders = append(a.orders, o) }

func (a *Assigner) log(format string, v ...any) { a.order(Log{Text: fmt.Sprintf(format, v...)}) }

func (a *Assigner) clampZone(z int) int { return min(max(z, 0), a.conf.Zones-1) }

func (a *Assigner) proxyAt(i int) *proxy {
	for n := len(a.conf.Products); len(a.proxies) <= i; {
		a.proxies = append(a.proxies, proxy{index: len(a.proxies), use: make([]float64, n), failed: make([]float64, n), limit: make([]float64, n),
			reported: make([]bool, n), reportedAt: make([]Time, n), disconnectedAt: never})
	}
	return &a.proxies[i]
}

func (a *Assigner) ensureBackend(n int) {
	for be := &a.backends; len(be.zone) < n; {
		be.zone, be.kind, be.status = append(be.zone, 0), append(be.kind, 0), append(be.status, Gone)
		be.weight, be.startedAt, be.derating = append(be.weight, 0), append(be.startedAt, never), append(be.derating, 1)
		be.deratedAt, be.updated = append(be.deratedAt, never), append(be.updated, false)
		be.reportInterval = append(be.reportInterval, 1)
		be.attempts, be.failed = append(be.attempts, 0), append(be.failed, 0)
		be.reportedAt, be.reportGap = append(be.reportedAt, never), append(be.reportGap, 1)
		be.evaluated, be.age, be.remoteAt = append(be.evaluated, 0), append(be.age, 0), append(be.remoteAt, never)
		be.succeeded, be.latencySum, be.inFlight = append(be.succeeded, 0), append(be.latencySum, 0), append(be.inFlight, 0)
		be.withdrawn, be.unlisted = append(be.withdrawn, false), append(be.unlisted, false)
		be.goneAt = append(be.goneAt, never)
	}
}

// releaseIndex makes an index as if no backend had ever had it.
func (a *Assigner) releaseIndex(b int) {
	be := &a.backends
	if b >= len(be.zone) {
		return
	}
	be.zone[b], be.kind[b], be.status[b], be.weight[b], be.derating[b] = 0, 0, Gone, 0, 1
	be.startedAt[b], be.deratedAt[b], be.goneAt[b], be.reportedAt[b], be.reportGap[b] = never, never, never, never, 1
	be.inFlight[b], be.attempts[b], be.failed[b], be.succeeded[b], be.latencySum[b] = 0, 0, 0, 0, 0
	be.evaluated[b], be.age[b], be.remoteAt[b] = 0, 0, never
	be.updated[b], be.withdrawn[b], be.unlisted[b], be.reportInterval[b] = false, false, false, 1
	for i := range a.proxies {
		if p := &a.proxies[i]; b < len(p.subset) {
			p.subset[b] = false
		}
		if p := &a.proxies[i]; b < len(p.allowed) {
			p.allowed[b] = false
		}
		for _, t := range a.proxies[i].installed {
			if b < len(t.weight) {
				t.weight[b] = 0
			}
		}
	}
}

func (a *Assigner) onConfined(e ProxyConfined) {
	p := a.proxyAt(e.Proxy)
	p.confined, p.maxRate, p.noRetries, p.allowed = e.Confined, e.MaxRate, e.NoRetries, nil
	for _, b := range e.Backends {
		a.ensureBackend(b + 1)
		p.allowed = append(p.allowed, make([]bool, max(b+1-len(p.allowed), 0))...)
		p.allowed[b] = true
	}
}

// mayUse says whether a backend is one of those that a proxy is confined to.
func (p *proxy) mayUse(b int) bool { return !p.confined || b < len(p.allowed) && p.allowed[b] }

// onForeignTables says whether a proxy still goes by tables of another controller: it waits better than one with none.
func (p *proxy) onForeignTables() bool { return p.bringsTables && !p.assigned }

// linesPerSecondEach is the channel's pace, lines/s, for each proxy that still goes by what it brought.
func (a *Assigner) linesPerSecondEach() float64 {
	n := 0.0
	for _, p := range a.connected {
		n += either(p.onForeignTables(), 1, 0.0)
	}
	if n == 0 || a.conf.LinesPerSecond == 0 {
		return math.Inf(1)
	}
	return a.conf.LinesPerSecond / n
}

// connectedShare is the part of all proxies that is joined here.
func (a *Assigner) connectedShare() float64 {
	return float64(len(a.connected)) / float64(max(a.conf.Proxies, len(a.connected), 1))
}

// localShare is the part of the fleet's use that comes to the proxies here; that of the proxies, where nobody tells.
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

// lag is by how much what is heard of a backend is late, in whole waits.
func (a *Assigner) lag(b int) Time {
	return max(a.backends.age[b], 0) / deratingInterval * deratingInterval
}

// isTurn says whether a moment of this controller's own within each span, for a backend, came since the last judgement:
// who hears the same does not act in the same instant.
func (a *Assigner) isTurn(b int, span Time) bool {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint64(nil, uint64(a.conf.FirstTick)<<20+uint64(b)))
	at := Time(h.Sum32()) % span
	return a.evaluatedAt > 0 && (a.now-at)/span > (a.evaluatedAt-at)/span
}

func (a *Assigner) onBackendReport(e BackendReport) {
	be, b := &a.backends, e.Backend
	a.ensureBackend(b + 1)
	e.Attempts = max(e.Attempts, 0)
	voided := min(max(e.Failed, 0), e.Attempts)
	if be.reportedAt[b] != never && a.now > be.reportedAt[b] {
		be.reportInterval[b] += (float64(min(a.now-be.reportedAt[b], useTimeout))/float64(Second) - be.reportInterval[b]) / smoothingTicks
	}
	// Where reports are too many for the intake one stands for several seconds, and what came before it is as old.
	if gap := float64(a.now-be.reportedAt[b]) / float64(Second); gap > longSpan {
		a.decay(b, e.Attempts, min(gap, float64(useTimeout)/float64(Second))-1)
		be.reportGap[b] = either(be.reportedAt[b] == never, 1, gap)
	} else if a.now > be.reportedAt[b] {
		be.reportGap[b] = 1
	}
	be.reportedAt[b] = a.now
	be.attempts[b], be.failed[b], be.updated[b] = be.attempts[b]+e.Attempts, be.failed[b]+voided, be.updated[b] || e.Attempts > 0
	if good := e.Attempts - voided; good > 0 && e.Latency > 0 {
		be.succeeded[b], be.latencySum[b] = be.succeeded[b]+good, be.latencySum[b]+good*float64(e.Latency)
	}
}

// decay lets what was heard of a backend before count for less beside so many new tries of a span of seconds: where
// little is heard, and of most not each second, for long.
func (a *Assigner) decay(b int, news, span float64) {
	be := &a.backends
	keep := 1 - either(news < minAttempts && a.rareReports, news/fullAttempts, 1)*(1-math.Pow(reportDecay, span))
	be.attempts[b], be.failed[b] = be.attempts[b]*keep, be.failed[b]*keep
	be.succeeded[b], be.latencySum[b] = be.succeeded[b]*keep, be.latencySum[b]*keep
	be.evaluated[b] = be.attempts[b]
}

// samples are what was heard of the backends: by backend where it is enough to say something of it alone, and what the
// medians go by: one each, or, where news are rare, with the strength that each stands for, less where little was heard.
type samples struct {
	failed, latency                []float64
	allFailed, allLatency, allNext []sample
	caution                        []sample // as allFailed, also of what is relieved
	intervals                      []sample // seconds from one word to the next
	strength                       float64
}

func (a *Assigner) collectSamples() (v samples) {
	be := &a.backends
	v.failed, v.latency = make([]float64, len(be.zone)), make([]float64, len(be.zone))
	for b, tries := range be.attempts {
		if be.status[b] != Ready || tries <= 0 {
			continue
		}
		fails, counts := be.failed[b]/tries, either(tries < minAttempts, 0.0, 1)
		if a.rareReports {
			counts = a.effective[b] * min(tries/minAttempts, 1)
		}
		v.allFailed, v.strength = append(v.allFailed, sample{fails, counts}), v.strength+counts
		v.intervals = append(v.intervals, sample{be.reportInterval[b], 1})
		v.caution = append(v.caution, sample{fails, either(a.rareReports, a.backends.weight[b]*a.slowStart[b]*min(tries/minAttempts, 1), counts)})
		if tries >= minAttempts {
			v.failed[b] = fails
		}
		if be.succeeded[b] <= 0 {
			continue
		}
		took := be.latencySum[b] / be.succeeded[b]
		if tries >= minAttempts {
			v.latency[b] = took
		}
		v.allLatency = append(v.allLatency, sample{took, counts})
		// What a probe says that it holds over what it is sent in a tick, or can do, is the time of its next
		// txn: known sooner. Reports in answers come too often from busy moments.
		sent := max(tries*(1-reportDecay), a.throughput*a.effective[b], 1e-9)
		v.allNext = append(v.allNext, sample{max(took, be.inFlight[b]/sent*float64(tickInterval)), counts})
	}
	return v
}

// onMarkerAck takes that a batch has reached the proxy. Messages leave in the order in which they enter, which is that in
// which they were written, but for those of about the same moment: they go by sockets of their own.
func (a *Assigner) onMarkerAck(p *proxy, batch int) {
	if a.batch-batch < len(a.writtenAt) {
		a.drainedUntil = max(a.drainedUntil, a.writtenAt[batch%len(a.writtenAt)]-reorderWindow)
	}
	for i := range p.sent {
		if p.sent[i].batch <= batch {
			p.sent[i].cost = 0
		}
	}
}

// inChannel says whether nothing shows that a message has left.
func (a *Assigner) inChannel(m message) bool { return m.cost > 0 && m.sentAt > a.drainedUntil }

// charge counts lines of this reply's message to a proxy.
func (a *Assigner) charge(p *proxy, lines float64) {
	if n := len(p.sent); n == 0 || p.sent[n-1].batch <= a.batch {
		p.sent, lines = append(p.sent, message{sentAt: a.now, batch: a.batch + 1}), lines+a.conf.MessageOverhead+1
	}
	p.sent[len(p.sent)-1].cost += lines
	a.queuedLines, a.unackedLines = a.queuedLines+lines, a.unackedLines+lines
}

// Snapshot is what is worth recalling after a crash, or to another controller: use that was reported and reliefs,
// then the total, the knee and the pace. Of proxies and backends a turn gives each nth.
func (a *Assigner) Snapshot(turn, of int) (all []RestoredFigure) {
	for i := turn; i < len(a.proxies); i += of {
		for k, told := range a.proxies[i].reported {
			if p := &a.proxies[i]; told && p.connected {
				all = append(all, RestoredFigure{Figure: FigureUse, Proxy: i, Product: k, Value: p.use[k], Age: a.now - p.reportedAt[k], Confidence: 1})
			}
		}
	}
	for b := turn; b < len(a.backends.zone); b += of {
		if a.backends.status[b] == Ready {
			all = append(all, RestoredFigure{Figure: FigureDerating, Backend: b, Value: a.backends.derating[b], Confidence: 1})
		}
	}
	if a.capacity > 0 && a.throughput > 0 && (a.medianLatency > 0 || a.medianFailed > 0) { // else nothing was heard that they stand on
		for i, v := range [...]float64{a.totalLimit, a.knee, a.throughput * a.capacity} {
			all = append(all, RestoredFigure{Figure: FigureTotalLimit + Figure(i), Value: v / a.capacity, Confidence: 1})
		}
	}
	return all
}

// updateWeights works out once for a step what many proxies ask of each backend.
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

// isStranded says whether a proxy holds no line in some group that is not shut out.
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

// strandedProxies are the joined proxies that lack a usable line.
func (a *Assigner) strandedProxies() (who []*proxy) {
	for _, p := range a.connected {
		if p.stranded {
			who = append(who, p)
		}
	}
	return who
}

// listConnected lists the proxies that are joined.
func (a *Assigner) listConnected() {
	a.connected = a.connected[:0]
	for i := range a.proxies {
		if a.proxies[i].connected {
			a.connected = append(a.connected, &a.proxies[i])
		}
	}
}

// initSpillover is where the groups' txns go at first: nowhere else.
func (a *Assigner) initSpillover() {
	a.byZone = make([][]int, a.conf.Zones)
	for g := range a.groups {
		a.spillover = append(a.spillover, make([][]float64, a.conf.Zones))
		for z := range a.conf.Zones {
			a.spillover[g][z] = make([]float64, a.conf.Zones)
			a.spillover[g][z][z] = 1
		}
	}
}

func (p *proxy) totalUse() (u float64) {
	for _, v := range p.use {
		u += v
	}
	return u
}

func (a *Assigner) demand(k int) (d float64) {
	for _, p := range a.connected {
		d += p.use[k]
	}
	return d
}

// capacityOf is the strength open to a group, or to any for none, by zone and in all, and without relief.
func (a *Assigner) capacityOf(open []bool) (by []float64, all, able float64) {
	by = make([]float64, a.conf.Zones)
	for b, y := range a.backends.zone {
		if open[b] {
			by[y], all, able = by[y]+a.effective[b], all+a.effective[b], able+a.backends.weight[b]*a.slowStart[b]
		}
	}
	return by, all, able
}

// admitted is what a proxy lets in of a product.
func (a *Assigner) admitted(p *proxy, k int) float64 {
	if a.totalLimit > 0 && !a.uncapped[k] {
		return min(p.use[k], p.limit[k])
	}
	return p.use[k]
}

// meanSLA is the SLA time of the mean txn that comes.
func (a *Assigner) meanSLA() float64 {
	sum, n := 0.0, 1e-9
	for k, pr := range a.conf.Products {
		d := a.demand(k) + 1e-9
		sum, n = sum+d*float64(pr.SLA), n+d
	}
	return max(sum/n, 1)
}

// upperUse is the use that chance may hide behind one that was heard of: two deviations of what came in the span that it
// stands for.
func (a *Assigner) upperUse(use float64) float64 {
	span := max(a.reportSpan, 1/minDecayRate)
	return use + 2*math.Sqrt(max(use*span, 1))/span
}

// admitCap is the cap on the txns of a second that lets in want of them, where use come by chance (Poisson).
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

// median is the median of what is given with the strengths that it stands for, the lower or the upper one of two.
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

func either[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}
