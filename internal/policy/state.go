package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// What an Assigner remembers. Nothing is decided here.

const never = Time(math.MinInt64 / 2)

// group is the products that may go to the same backends: they share a table.
type group struct {
	products  []int
	mask      uint16 // of the products
	class     Product
	placement string // what makes two products of one group
	open      []bool // by backend: its products may go there from some zone, in this step
	planned   table  // the newest plan, of whichever proxy
}

// table has weights by backend, and admissions by place in the group.
type table struct {
	weight     []float64
	admissions []Admission
}

type proxy struct {
	index        int
	connected    bool
	assigned     bool // to tables of ours
	hasReported  bool // since it connected
	bringsTables bool // and withdrawals of another controller
	zone         int

	// By product, txns/s.
	use, failed, limit []float64
	reported           []bool // its use was reported
	reportedAt         []Time // the newest report, or when the proxy connected

	disconnectedAt Time
	installed      []table   // by group: what was ordered
	subset         []bool    // by backend: may have a line
	counted        bool      // its use is in Assigner.localLoad
	stranded       bool      // it lacks a usable backend in some group
	sent           []message // within the message window, or on their way

	confined  bool
	allowed   []bool // by backend, while confined
	maxRate   float64
	noRetries bool
}

// change is what a proxy lacks, and the tables that it has then.
type change struct {
	proxy, urgency int
	extraLines     float64 // that settle what the proxy brings
	orders         []Order
	tables         []table
}

// backendStates are parallel arrays, by index of backend.
type backendStates struct {
	zone, kind []int
	status     []Status
	weight     []float64 // as listed
	unlisted   []bool    // dropped from the list, though that alone does not bind
	withdrawn  []bool
	startedAt  []Time // when slow start began
	goneAt     []Time

	derating  []float64 // part of its weight that a slow backend keeps
	deratedAt []Time    // the newest step of it
	inFlight  []float64 // txns, as a probe found since the last tick

	// Of reports; the sums decay.

	attempts, failed      []float64
	succeeded, latencySum []float64
	reportedAt            []Time
	updated               []bool    // reported since the last tick
	evaluated             []float64 // attempts at the last evaluation
	age                   []Time    // how late the newest report of other controllers is
	remoteAt              []Time    // when that arrived
	reportGap             []float64 // seconds between the last two reports; 1 where that is often enough
	reportInterval        []float64 // seconds between reports, smoothed
}

// Assigner decides for one controller.
type Assigner struct {
	conf         Deployment
	now          Time
	orders       []Order // of this step
	started      bool
	urgent       bool // something happened that cannot wait for the tick
	needsFollow  bool // ask for the list again at the tick
	retryPending bool // a timer is set for what the channel had no room for

	groups    []group
	proxies   []proxy
	connected []*proxy
	backends  backendStates
	spillover [][][]float64 // by group, zone of the proxies, zone of the backends: part of their txns

	// By backend, in this step.

	slowStart   []float64 // part of its weight that it may have in slow start
	effective   []float64 // weight in tables
	expected    []float64 // weight for the load of others
	ready       []bool
	byZone      [][]int   // the backends of a zone
	load        []float64 // txns/s for a unit of weight, as if all proxies chose as those here
	localLoad   []float64 // the same of the proxies here alone, at the last tick and since
	warmupShare []float64 // part of the demand for a backend in slow start that it can bear; otherwise unlimited

	// Under overload, txns/s.

	totalLimit          float64 // 0: there is no bound
	knee                float64 // what the backends are taken to manage
	served              float64 // smoothed
	capacity            float64 // weight of the ready backends, less in slow start
	throughput          float64 // the most that was served for a unit of that
	reducedAt, raisedAt Time
	resetLimits         bool   // limits return to equal shares
	uncapped            []bool // by product: the limits cover the demand
	restored            [EstimateThroughput + 1]float64
	restoredAt          Time

	overloaded, fast   bool
	medianLatency      float64
	medianFailed       float64 // part that fails at the median backend
	failureRisk        float64 // the same, of backends in slow start too
	rareReports        bool    // most backends do not report each second
	evaluatedAt        Time
	reportSpan         float64 // seconds that a usage report stands for, the mean of the last tick with any
	spanSum, spanCount float64 // of reports since

	remoteUsage   [][]float64 // txns/s by product and zone, of other controllers
	remoteUsageAt Time
	trust         float64 // part that is believed of it, which rises and falls in steps

	queuedLines  float64 // that may wait in the channel
	unackedLines float64 // of messages that nothing shows to have left it
	queuedAt     Time
	batch        int                      // messages that were written together
	writtenAt    [markerNumbers / 32]Time // of the newest batches
	drainedUntil Time                     // what was written up to here has left the channel
}

// New makes an Assigner that knows its deployment and nothing else.
func New(d Deployment) *Assigner {
	a := &Assigner{conf: d, needsFollow: d.ListOnRequest, uncapped: make([]bool, len(d.Products))}
	for k, p := range d.Products {
		placement := fmt.Sprint(!p.OwnZone, p.OnlyZones, p.OnlyKinds)
		g := slices.IndexFunc(a.groups, func(g group) bool { return g.placement == placement })
		if g < 0 {
			g, a.groups = len(a.groups), append(a.groups, group{class: p, placement: placement})
		}
		a.groups[g].products, a.groups[g].mask = append(a.groups[g].products, k), a.groups[g].mask|1<<k
	}
	// The most confined are placed first, as their text sorts; the others take the room that is left.
	slices.SortFunc(a.groups, func(g, h group) int { return cmp.Compare(g.placement, h.placement) })
	a.initSpillover()
	return a
}

func (a *Assigner) order(o Order) { a.orders = append(a.orders, o) }

func (a *Assigner) log(format string, v ...any) { a.order(Log{Text: fmt.Sprintf(format, v...)}) }

func (a *Assigner) clampZone(z int) int { return min(max(z, 0), a.conf.Zones-1) }

func (a *Assigner) proxyAt(i int) *proxy {
	for n := len(a.conf.Products); len(a.proxies) <= i; {
		a.proxies = append(
			a.proxies,
			proxy{index: len(a.proxies), use: make([]float64, n), failed: make([]float64, n), limit: make([]float64, n),
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

// releaseIndex resets an index as if no backend had ever had it.
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

func (a *Assigner) onConfined(e ProxyRestricted) {
	p := a.proxyAt(e.Proxy)
	p.confined, p.maxRate, p.noRetries, p.allowed = e.Restricted, e.MaxRate, e.NoRetries, nil
	a.urgent = true
	for _, b := range e.Backends {
		a.ensureBackend(b + 1)
		p.allowed = append(p.allowed, make([]bool, max(b+1-len(p.allowed), 0))...)
		p.allowed[b] = true
	}
}

// mayUse reports whether a backend is one of those that a proxy is confined to.
func (p *proxy) mayUse(b int) bool { return !p.confined || b < len(p.allowed) && p.allowed[b] }

// onForeignTables reports whether a proxy still uses tables of another controller: it can wait longer than one with
// none.
func (p *proxy) onForeignTables() bool { return p.bringsTables && !p.assigned }

// Snapshot is what is worth restoring after a crash, or at another controller: use that was reported and deratings,
// then total limit, knee and throughput. A turn gives each nth of the proxies and backends.
func (a *Assigner) Snapshot(turn, of int) (all []RestoredEstimate) {
	for i := turn; i < len(a.proxies); i += of {
		for k, told := range a.proxies[i].reported {
			if p := &a.proxies[i]; told && p.connected {
				all = append(
					all,
					RestoredEstimate{
						Kind:       EstimateUsage,
						Proxy:      i,
						Product:    k,
						Value:      p.use[k],
						Age:        a.now - p.reportedAt[k],
						Confidence: 1,
					},
				)
			}
		}
	}
	for b := turn; b < len(a.backends.zone); b += of {
		if a.backends.status[b] == Ready {
			all = append(all, RestoredEstimate{Kind: EstimateDerating, Backend: b, Value: a.backends.derating[b], Confidence: 1})
		}
	}
	if a.capacity > 0 && a.throughput > 0 &&
		(a.medianLatency > 0 || a.medianFailed > 0) { // otherwise no report stands behind them
		for i, v := range [...]float64{a.totalLimit, a.knee, a.throughput * a.capacity} {
			all = append(all, RestoredEstimate{Kind: EstimateTotalLimit + EstimateKind(i), Value: v / a.capacity, Confidence: 1})
		}
	}
	return all
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

// hasLine reports whether any table that is installed at a proxy has a line for a backend.
func (p *proxy) hasLine(b int) bool {
	return slices.ContainsFunc(p.installed, func(t table) bool { return b < len(t.weight) && t.weight[b] > 0 })
}

// add adds an order of an urgency.
func (c *change) add(o Order, urgency int) {
	c.orders, c.urgency = append(c.orders, o), min(c.urgency, urgency)
}
