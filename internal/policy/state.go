package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const never = Time(math.MinInt64 / 2)

// group is a set of products that may use the same backends. They share a table per proxy.
type group struct {
	products  []int
	mask      uint16  // bit mask of the products
	class     Product // the first product of the group
	placement string  // key of the group, made of its constraints
	open      []bool  // by backend: usable from at least one zone in this step
	planned   table   // result of the last planTable; its slices are reused
}

// table holds weights by backend, and admissions in the order of group.products.
type table struct {
	weight     []float64
	admissions []Admission
}

type proxy struct {
	index         int
	connected     bool
	assigned      bool // has tables of this controller
	hasReported   bool // since it connected
	hasPeerTables bool // connected with another controller's tables
	zone          int

	// By product; rates in txns/s.
	rate, failed, limit []float64 // smoothed demand, smoothed failures, and rate limit
	reported            []bool    // rate comes from a report
	reportedAt          []Time    // time of the last report, or of the connection

	disconnectedAt Time
	installed      []table   // by group: the tables as ordered
	subset         []bool    // by backend: may have a line
	counted        bool      // rate is included in Assigner.localLoad
	stranded       bool      // has no usable backend in some group
	sent           []message // messages within the message window or not yet acknowledged

	restricted bool   // see ProxyRestricted
	allowed    []bool // by backend, if restricted
	maxRate    float64
	noRetries  bool
}

// change is the set of orders that a proxy is due, and its tables after them.
type change struct {
	proxy, urgency int
	extraLines     float64 // cost beyond the orders: later readmissions and replaced withdrawals of a peer
	orders         []Order
	tables         []table
}

// backendStates holds the state of all backends as parallel slices, by backend index.
type backendStates struct {
	zone, kind []int
	status     []Status
	weight     []float64 // as listed
	unlisted   []bool    // dropped from the list without HonorRemovals
	withdrawn  []bool
	startedAt  []Time // start of slow start
	goneAt     []Time

	derating  []float64 // fraction of its weight that a backend keeps
	deratedAt []Time    // time of the last derating step
	inFlight  []float64 // txns found by a probe since the last tick

	// Decaying sums over reports.

	attempts, failed      []float64
	succeeded, latencySum []float64
	reportedAt            []Time
	updated               []bool    // reported since the last tick
	evaluated             []float64 // attempts at the last evaluation
	age                   []Time    // delay of the last remote report
	remoteAt              []Time    // arrival of the last remote report
	reportGap             []float64 // seconds between the last two reports, 1 unless reports are sparse
	reportInterval        []float64 // smoothed seconds between reports
}

// Assigner makes the decisions of one controller.
type Assigner struct {
	conf         Deployment
	now          Time
	orders       []Order // of this step
	started      bool
	urgent       bool // decide in this step without waiting for the tick
	needsWatch   bool // request the list at the next tick
	retryPending bool // a timer is set to retry changes that had no room

	groups    []group
	proxies   []proxy
	connected []*proxy
	backends  backendStates
	spillover [][][]float64 // by group, zone of the proxy, zone of the backend: fraction of txns

	// By backend, recomputed in steps that make decisions.

	slowStart   []float64 // fraction of its weight allowed by slow start
	effective   []float64 // weight in tables
	expected    []float64 // weight for estimating the load of other backends
	ready       []bool
	byZone      [][]int   // backends by zone
	load        []float64 // txns/s per unit of weight, extrapolated to all proxies
	localLoad   []float64 // the same from local proxies only, as of the last tick and connections since
	warmupShare []float64 // fraction of the demand that a backend in slow start can serve; otherwise unlimited

	// Overload control; rates in txns/s.

	totalLimit          float64 // 0: no limit
	knee                float64 // estimated rate that the backends sustain
	served              float64 // smoothed
	capacity            float64 // ready weight after slow start, before derating, scaled by connectedShare
	throughput          float64 // highest served rate per unit of capacity
	reducedAt, raisedAt Time
	resetLimits         bool   // limits return to equal shares
	uncapped            []bool // by product: its limits cover the demand
	restored            [EstimateThroughput + 1]float64
	restoredAt          Time

	overloaded, responsesFast bool
	medianLatency             float64
	medianFailed              float64 // failing fraction at the median backend
	failureRisk               float64 // the higher of medianFailed and the same without derating
	rareReports               bool    // see rareReportInterval
	evaluatedAt               Time
	reportSpan                float64 // mean seconds covered by a usage report in the last tick with any
	spanSum, spanCount        float64

	remoteUsage   [][]float64 // txns/s by product and zone
	remoteUsageAt Time
	remoteTrust   float64 // weight of remoteUsage, 0 to 1, changed gradually

	queuedLines  float64 // estimated lines queued in the channel
	unackedLines float64 // lines without evidence that they left the channel
	queuedAt     Time
	batch        int                      // number of the last batch of messages
	writtenAt    [markerNumbers / 32]Time // by batch, for the most recent ones
	drainedUntil Time                     // messages sent up to this time have left the channel
}

// New creates an Assigner without any state but its deployment.
func New(d Deployment) *Assigner {
	a := &Assigner{conf: d, needsWatch: d.ListOnRequest, uncapped: make([]bool, len(d.Products))}
	for k, p := range d.Products {
		placement := fmt.Sprint(!p.OwnZone, p.OnlyZones, p.OnlyKinds)
		g := slices.IndexFunc(a.groups, func(g group) bool { return g.placement == placement })
		if g < 0 {
			g, a.groups = len(a.groups), append(a.groups, group{class: p, placement: placement})
		}
		a.groups[g].products, a.groups[g].mask = append(a.groups[g].products, k), a.groups[g].mask|1<<k
	}
	// The placement text sorts groups with more constraints first; the others get the remaining room.
	slices.SortFunc(a.groups, func(g, h group) int { return cmp.Compare(g.placement, h.placement) })
	a.initSpillover()
	return a
}

func (a *Assigner) emit(o Order) { a.orders = append(a.orders, o) }

func (a *Assigner) logf(format string, v ...any) { a.emit(Log{Text: fmt.Sprintf(format, v...)}) }

func (a *Assigner) clampZone(z int) int { return min(max(z, 0), a.conf.Zones-1) }

func (a *Assigner) proxyAt(i int) *proxy {
	for n := len(a.conf.Products); len(a.proxies) <= i; {
		a.proxies = append(
			a.proxies,
			proxy{index: len(a.proxies), rate: make([]float64, n), failed: make([]float64, n), limit: make([]float64, n),
				reported: make([]bool, n), reportedAt: make([]Time, n), disconnectedAt: never},
		)
	}
	return &a.proxies[i]
}

func (a *Assigner) ensureBackend(n int) {
	s := &a.backends
	for len(s.zone) < n {
		s.zone, s.kind, s.status = append(s.zone, 0), append(s.kind, 0), append(s.status, Gone)
		s.weight, s.unlisted, s.withdrawn = append(s.weight, 0), append(s.unlisted, false), append(s.withdrawn, false)
		s.startedAt, s.goneAt = append(s.startedAt, never), append(s.goneAt, never)
		s.derating, s.deratedAt = append(s.derating, 1), append(s.deratedAt, never)
		s.inFlight, s.evaluated = append(s.inFlight, 0), append(s.evaluated, 0)
		s.attempts, s.failed = append(s.attempts, 0), append(s.failed, 0)
		s.succeeded, s.latencySum = append(s.succeeded, 0), append(s.latencySum, 0)
		s.reportedAt, s.updated = append(s.reportedAt, never), append(s.updated, false)
		s.age, s.remoteAt = append(s.age, 0), append(s.remoteAt, never)
		s.reportGap, s.reportInterval = append(s.reportGap, 1), append(s.reportInterval, 1)
	}
}

// releaseIndex resets all state of a backend index for reuse.
func (a *Assigner) releaseIndex(b int) {
	s := &a.backends
	if b >= len(s.zone) {
		return
	}
	s.zone[b], s.kind[b], s.status[b], s.weight[b] = 0, 0, Gone, 0
	s.unlisted[b], s.withdrawn[b], s.startedAt[b], s.goneAt[b] = false, false, never, never
	s.derating[b], s.deratedAt[b], s.inFlight[b], s.evaluated[b] = 1, never, 0, 0
	s.attempts[b], s.failed[b], s.succeeded[b], s.latencySum[b] = 0, 0, 0, 0
	s.reportedAt[b], s.updated[b], s.age[b], s.remoteAt[b] = never, false, 0, never
	s.reportGap[b], s.reportInterval[b] = 1, 1
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

func (a *Assigner) onRestricted(e ProxyRestricted) {
	p := a.proxyAt(e.Proxy)
	p.restricted, p.maxRate, p.noRetries, p.allowed = e.Restricted, e.MaxRate, e.NoRetries, nil
	a.urgent = true
	for _, b := range e.Backends {
		a.ensureBackend(b + 1)
		p.allowed = append(p.allowed, make([]bool, max(b+1-len(p.allowed), 0))...)
		p.allowed[b] = true
	}
}

// mayUse reports whether a proxy's restriction allows a backend.
func (p *proxy) mayUse(b int) bool { return !p.restricted || b < len(p.allowed) && p.allowed[b] }

// usesPeerTables reports whether a proxy still uses another controller's tables. It can wait longer than a proxy
// without any.
func (p *proxy) usesPeerTables() bool { return p.hasPeerTables && !p.assigned }

// Snapshot returns the estimates that are worth restoring after a restart or at another controller. Each call covers
// every nth proxy and backend, beginning at index turn.
func (a *Assigner) Snapshot(turn, n int) (all []RestoredEstimate) {
	for i := turn; i < len(a.proxies); i += n {
		for k, reported := range a.proxies[i].reported {
			if p := &a.proxies[i]; reported && p.connected {
				all = append(
					all,
					RestoredEstimate{
						Kind:       EstimateUsage,
						Proxy:      i,
						Product:    k,
						Value:      p.rate[k],
						Age:        a.now - p.reportedAt[k],
						Confidence: 1,
					},
				)
			}
		}
	}
	for b := turn; b < len(a.backends.zone); b += n {
		if a.backends.status[b] == Ready {
			all = append(all, RestoredEstimate{Kind: EstimateDerating, Backend: b, Value: a.backends.derating[b], Confidence: 1})
		}
	}
	if a.capacity > 0 && a.throughput > 0 &&
		(a.medianLatency > 0 || a.medianFailed > 0) { // requires reports
		for i, v := range [...]float64{a.totalLimit, a.knee, a.throughput * a.capacity} {
			all = append(all, RestoredEstimate{Kind: EstimateTotalLimit + EstimateKind(i), Value: v / a.capacity, Confidence: 1})
		}
	}
	return all
}

// initSpillover starts with all txns in their own zone.
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

// totalRate returns the sum over all products.
func (p *proxy) totalRate() (total float64) {
	for _, rate := range p.rate {
		total += rate
	}
	return total
}

// hasLine reports whether any installed table of a proxy has a weight for a backend.
func (p *proxy) hasLine(b int) bool {
	return slices.ContainsFunc(p.installed, func(t table) bool { return b < len(t.weight) && t.weight[b] > 0 })
}

// add appends an order and raises the urgency if necessary.
func (c *change) add(o Order, urgency int) {
	c.orders, c.urgency = append(c.orders, o), min(c.urgency, urgency)
}
