// Package choice holds every decision of elmfold. New makes one controller's Assigner from its seed and the
// Deployment; Step gives it the events of one moment and returns its orders. The types of events, orders and
// launch settings are in iface.go. Nothing here reads a clock, a file or a network.
package choice

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"sort"
)

// Tuned values. Times are Time, the rest are plain ratios unless a unit is given.
const (
	tickEvery = Second // the design's tick

	busyAbove  = 0.9  // rate over level from which a proxy is busy (design)
	idleMargin = 0.2  // an idle proxy keeps its use and this much more (design)
	levelFloor = 1.0  // txns/s that a level is not cut below, while the total has that much for all (design)
	shareTurns = 4    // rounds of sharing in a tick whose levels were just reset: use is known by then
	overFails  = 0.05 // share of voided tries at the median backend that is fleet-wide failure (design)
	overSlow   = 2.0  // median time over its calm value that is overload (design)
	overSLA    = 0.55 // ... if it is also this part of the SLA time: below it, slow answers still earn in full

	calmRise  = 1.005 // a tick: the calm time is the least of late
	overTicks = 2     // ticks in a row with news before the total is set
	cutLight  = 0.9   // the total is at most this part of the served rate, so that queues drain
	cutDeep   = 0.45  // ... and at least this
	cutBase   = 1.1   // ... in between it is this, less
	cutSlope  = 0.5   // ... so much for each SLA time that answers take
	cutFails  = 0.2   // share voided at the median backend from which the cut is deep
	kneeLeast = 0.75  // the served rate counts as this part of the best of late at least: late answers and work
	// done for nobody make it fall far below what the backends can do
	kneeDown   = 0.9        // ... and so much less when the cut did not help
	cutAgain   = 6 * Second // time-outs of before the cut are still heard of for some seconds
	riseEvery  = 5 * Second // design
	riseFast   = 2 * Second // ... while answers take less than
	quickSLA   = 0.2        // ... this part of the SLA time: the knee is higher than it was held to be
	lightSLA   = 0.38       // part of the SLA time under which they are
	riseBy     = 1.1        // design
	bestKeep   = 0.995      // a second, of the best rate served
	servedSpan = 3.0        // ticks over which the served rate is smoothed
	loosenAt   = 1.5        // total over demand from which it is unbounded (design)
	noLevel    = 1e6        // txns/s: a rate that binds nobody

	rampStart = 0.1        // part of its weight that a new backend starts with (design)
	rampTurn  = 5 * Second // ... which doubles this often (design)

	usableZone  = 0.5  // part of a zone's listed weight under which other zones join (design)
	spillFrom   = 0.10 // excess of a zone's demand over its fair part, below which it stays at home
	spillStep   = 0.05 // spill goes out in steps of this share, so that small swings order nothing
	lineChange  = 0.12 // relative change of a weight that is worth a line
	levelChange = 0.08 // ... of a level

	illDry     = 6.0        // tries in a row without one good answer from which a backend is ill
	illNobody  = 0.15       // ... and nobody is once the median backend voids this share
	illTries   = 4.0        // tries under which a share of voided ones says nothing
	illMost    = 0.3        // part of the fleet's listed weight that may be out as ill at once
	illFor     = 6 * Second // how long the first time; doubles with each strike
	illStrikes = 3          // doublings at most
	wayDry     = 12.0       // tries in a row without one good answer from which a way between zones is shut
	newsHalf   = 1 * Second // half-life of a backend's tries, in the time that they were counted over

	hotRatio    = 1.5        // a backend's time over the median from which it is relieved
	hotSLA      = 0.35       // ... if it is also this part of the SLA time
	coolRatio   = 1.15       // ... under which it gets its weight back
	failsRel    = 0.1        // share of voided tries over the median's from which a backend is relieved too
	reliefBy    = 0.7        // a step of relief
	reliefEnd   = 0.25       // ... which stops here
	reliefEvery = 3 * Second // ... and comes this often at most
	returnBy    = 1.05       // a step back

	roomUrgent = 0.8 // part of the channel's limit that urgent orders may fill
	roomRest   = 0.4 // ... that the others may
	slowChan   = 0.3 // part of the stated pace that a slowed channel is held to keep
	sendsRest  = 0.6 // part of the allowed messages that orders which can wait may use
	sendsMost  = 0.9 // ... that any may

	awayFor = 20 * Second // how long a proxy whose stream broke is held to go on with what it had
	noteAge = 5 * Second  // how long another controller's note counts
	useKeep = 0.5         // weight of the old value in a proxy's use
)

// group is a set of products that may go to the same backends, and so share a table.
type group struct {
	products []int
	mask     uint16
	rule     Product
}

// gate is what a table says of one product.
type gate struct {
	level float64
	tries Tries
}

// tbl is a table: weights by backend, gates by product.
type tbl struct {
	weight []float64
	gates  []gate
}

type proxy struct {
	joined, bound bool
	zone          int
	rate          float64   // txns/s it was said to get
	use, voided   []float64 // txns/s by product
	level         []float64 // max-rate by product
	heard         bool      // it has reported since it joined
	left          Time      // when its stream broke
	held          []tbl     // by group: what was ordered
	sent          []Time    // messages within the counting span
}

// backends are parallel arrays under the door's index.
type backends struct {
	zone, cell, kind []int
	status           []Status
	rampAt           []Time    // when its ramp began
	weight           []float64 // listed
	outTill          []Time    // ill until then; 0 when in
	strikes          []int
	relief, dry      []float64   // dry: tries since the last good answer
	tries, voided    [][]float64 // by zone of the proxies, fading
	easedAt          []Time
	took, good       []float64 // mean time of good tries, and their number, fading
	fresh            []bool    // heard of since the last tick
}

// peerNote is what another controller said of its own proxies.
type peerNote struct {
	at      Time
	proxies int
	demand  [][]float64 // by group and zone
}

// Assigner decides for one controller.
type Assigner struct {
	d      Deployment
	now    Time
	seed   uint64
	draws  uint64
	began  bool
	groups []group
	be     backends
	px     []proxy
	peers  map[int]peerNote

	total     float64 // txns/s; 0 is unbounded
	over      int     // ticks of overload in a row
	cutAt     Time
	riseAt    Time
	calm, mid float64 // median time of answers, the least of late and now
	knee      float64 // txns/s that the backends are held to manage
	served    float64 // txns/s with an answer, smoothed
	best      float64 // ... the most of late, for each unit of usable strength
	fails     float64 // share voided at the median backend
	light     bool    // answers are quick and few tries voided
	reset     bool    // levels go back to equal shares
	spill     [][][]float64
	shut      [][]Time    // by zone of the proxies and of the backends: no tries on that way until then
	shuts     [][]int     // how often in a row
	dry       [][]float64 // tries on that way since the last good answer
	urgent    bool        // something happened that cannot wait for the tick
	sliceSaid bool

	fence    int       // number of the last fence
	lines    float64   // lines ordered so far
	fenceAt  []float64 // lines ordered up to a fence, by number
	passed   float64   // ... up to the newest fence that was answered
	passedAt Time
	orders   []Order
}

const fences = 1 << 16

// New makes an Assigner that knows nothing yet but its deployment.
func New(seed uint64, d Deployment) *Assigner {
	a := &Assigner{d: d, seed: seed, peers: map[int]peerNote{}, fenceAt: make([]float64, fences)}
	for range d.Zones {
		a.shut, a.shuts = append(a.shut, make([]Time, d.Zones)), append(a.shuts, make([]int, d.Zones))
		a.dry = append(a.dry, make([]float64, d.Zones))
	}
	for k, p := range d.Products {
		at := -1
		for g := range a.groups {
			if samePlaces(a.groups[g].rule, p) {
				at = g
			}
		}
		if at < 0 {
			at = len(a.groups)
			a.groups = append(a.groups, group{rule: p})
		}
		a.groups[at].products = append(a.groups[at].products, k)
		a.groups[at].mask |= 1 << k
	}
	// The most confined products choose first; the others take the room that is left.
	sort.SliceStable(a.groups, func(i, j int) bool { return confined(a.groups[i].rule) > confined(a.groups[j].rule) })
	return a
}

func confined(p Product) int {
	n := 0
	if p.OwnZone {
		n += 2
	}
	if p.OnlyZones != nil || p.OnlyKinds != nil {
		n++
	}
	return n
}

func samePlaces(p, q Product) bool {
	return p.OwnZone == q.OwnZone && fmt.Sprint(p.OnlyZones, p.OnlyKinds) == fmt.Sprint(q.OnlyZones, q.OnlyKinds)
}

// chance draws a number from 0 to 1.
func (a *Assigner) chance() float64 {
	h := fnv.New64a()
	a.draws++
	h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, a.seed), a.draws))
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (a *Assigner) order(o Order) { a.orders = append(a.orders, o) }

func (a *Assigner) log(format string, args ...any) { a.order(Log{Text: fmt.Sprintf(format, args...)}) }

// Step takes the events of one moment and returns the orders.
func (a *Assigner) Step(now Time, events []Event) []Order {
	a.now, a.orders = now, nil
	if !a.began {
		a.began = true
		a.order(Wake{After: tickEvery, Name: 1})
		if a.d.Asked {
			a.order(Follow{On: true})
		}
	}
	tick := false
	for _, e := range events {
		switch e := e.(type) {
		case Listed:
			a.hearList(e)
		case Joined:
			a.hearJoin(e)
		case Left:
			if p := a.proxyAt(e.Proxy); p.joined {
				p.joined, p.bound, p.left, a.reset = false, false, now, true
			}
		case Heard:
			a.hearTries(e)
		case Used:
			a.hearUse(e)
		case Settled:
			if a.fenceAt[e.Number] > a.passed {
				a.passed, a.passedAt = a.fenceAt[e.Number], now
			}
		case Noted:
			a.hearNote(e)
		case Woken:
			tick = true
		case SliceGiven:
			if !a.sliceSaid {
				a.sliceSaid = true
				a.log("slices are not served here: tables stay as they are, drains are still kept")
			}
		}
	}
	if tick {
		a.order(Wake{After: tickEvery, Name: 1})
		a.judge()
		a.setTotal()
		a.setLevels()
		a.tell()
	}
	if tick || a.urgent {
		a.setSpill()
		a.reconcile(tick)
		a.urgent = false
	}
	return a.orders
}

func (a *Assigner) proxyAt(i int) *proxy {
	for len(a.px) <= i {
		n := len(a.d.Products)
		a.px = append(a.px, proxy{use: make([]float64, n), voided: make([]float64, n), level: make([]float64, n),
			held: make([]tbl, len(a.groups))})
	}
	return &a.px[i]
}

func (a *Assigner) hearJoin(e Joined) {
	p := a.proxyAt(e.Proxy)
	p.joined, p.bound, p.heard, p.zone, p.sent = true, false, false, min(e.Zone, a.d.Zones-1), nil
	p.rate = e.Rate
	for k := range p.use {
		p.use[k], p.voided[k] = e.Rate/float64(len(p.use)), 0
	}
	a.reset, a.urgent = true, true
}

func (a *Assigner) growTo(n int) {
	be := &a.be
	for len(be.zone) < n {
		be.zone, be.cell, be.kind = append(be.zone, 0), append(be.cell, 0), append(be.kind, 0)
		be.status, be.rampAt = append(be.status, Gone), append(be.rampAt, math.MinInt64/2)
		be.weight, be.outTill = append(be.weight, 1), append(be.outTill, 0)
		be.strikes, be.relief, be.dry = append(be.strikes, 0), append(be.relief, 1), append(be.dry, 0)
		be.easedAt = append(be.easedAt, math.MinInt64/2)
		be.tries = append(be.tries, make([]float64, a.d.Zones))
		be.voided = append(be.voided, make([]float64, a.d.Zones))
		be.took, be.good, be.fresh = append(be.took, 0), append(be.good, 0), append(be.fresh, false)
	}
}

func (a *Assigner) hearList(e Listed) {
	if e.Kind == ListFailed {
		if a.d.Asked {
			a.order(Follow{On: true})
		}
		return
	}
	be := &a.be
	seen := map[int]bool{}
	for _, en := range e.Entries {
		a.growTo(en.Backend + 1)
		b := en.Backend
		seen[b] = true
		if en.Status != Gone {
			be.zone[b], be.cell[b], be.kind[b], be.weight[b] = min(en.Zone, a.d.Zones-1), en.Cell, en.Kind, 1
			if en.Weight > 0 {
				be.weight[b] = en.Weight
			}
		}
		// A new start, also one met while the backend still stands in tables: it is cold, and nothing that
		// was heard of it before holds.
		if en.Status == Ready && en.Up > be.rampAt[b] && en.Up > 0 {
			be.rampAt[b] = en.Up
			a.forget(b)
			be.strikes[b], be.outTill[b], be.relief[b] = 0, 0, 1
		}
		be.status[b] = en.Status
	}
	if e.Kind == ListFull || e.Kind == ListCached {
		for b := range be.status {
			if !seen[b] {
				be.status[b] = Gone
			}
		}
	}
	a.urgent = true
}

func (a *Assigner) forget(b int) {
	for z := range a.be.tries[b] {
		a.be.tries[b][z], a.be.voided[b][z] = 0, 0
	}
	a.be.took[b], a.be.good[b], a.be.dry[b] = 0, 0, 0
}

func (a *Assigner) hearTries(e Heard) {
	be, b, z := &a.be, e.Backend, min(e.Zone, a.d.Zones-1)
	if b >= len(be.zone) {
		return
	}
	keep := math.Exp2(-float64(max(e.Counting, 0)) / float64(newsHalf))
	be.tries[b][z] = be.tries[b][z]*keep + e.Tries
	be.voided[b][z] = be.voided[b][z]*keep + min(e.Voided, e.Tries)
	if good := e.Tries - e.Voided; good > 0 && e.Took > 0 {
		be.good[b] = be.good[b]*keep + good
		be.took[b] += (float64(e.Took) - be.took[b]) * good / be.good[b]
		be.dry[b], a.dry[z][be.zone[b]] = 0, 0
	} else {
		a.dry[z][be.zone[b]] += e.Tries
		if a.shut[z][be.zone[b]] == 0 {
			be.dry[b] += e.Tries
		}
	}
	be.fresh[b] = true
}

func (a *Assigner) hearUse(e Used) {
	p := a.proxyAt(e.Proxy)
	if e.Product >= len(p.use) || e.Counting <= 0 {
		return
	}
	s := float64(e.Counting) / float64(Second)
	keep := math.Pow(useKeep, max(s, 0.2))
	if !p.heard {
		keep = 0
		p.heard = true
		for k := range p.use {
			p.use[k] = 0
		}
	}
	p.use[e.Product] = p.use[e.Product]*keep + e.Txns/s*(1-keep)
	p.voided[e.Product] = p.voided[e.Product]*keep + e.Voided/s*(1-keep)
}

// ramp is the part of its weight that a backend may have now.
func (a *Assigner) ramp(b int) float64 {
	turns := float64((a.now - a.be.rampAt[b]) / rampTurn)
	return min(1, rampStart*math.Exp2(min(max(turns, 0), 10)))
}

// usable says whether a backend may stand in tables: it is listed as ready and not out as ill.
func (a *Assigner) usable(b int) bool { return a.be.status[b] == Ready && a.be.outTill[b] == 0 }

// worth of a backend's line: its listed weight, eased while it is cold or hot.
func (a *Assigner) strength(b int) float64 { return a.be.weight[b] * a.ramp(b) * a.be.relief[b] }

// open says whether products under the rule may go from a zone to a backend.
func (a *Assigner) open(rule Product, zone, b int) bool {
	return (!rule.OwnZone || a.be.zone[b] == zone) && (rule.OnlyZones == nil || has(rule.OnlyZones, a.be.zone[b])) &&
		(rule.OnlyKinds == nil || has(rule.OnlyKinds, a.be.kind[b]))
}

func has(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[len(v)/2]
}

// failing is the share of voided tries at a backend as the best of the zones met it: when one zone's proxies
// fail everywhere, the way is broken and not the backend.
func (a *Assigner) failing(b int) (share, tries float64) {
	share = 1
	for z, n := range a.be.tries[b] {
		if n >= illTries/2 && a.shut[z][a.be.zone[b]] == 0 {
			share = min(share, a.be.voided[b][z]/n)
			tries += n
		}
	}
	if tries == 0 {
		return 0, 0
	}
	return share, tries
}

// sla is the SLA time of the mean txn that comes.
func (a *Assigner) sla() float64 {
	sum, n := 0.0, 0.0
	for k, pr := range a.d.Products {
		d := a.demand(k) + 1e-9
		sum, n = sum+d*float64(pr.SLA), n+d
	}
	return sum / max(n, 1e-9)
}

func (a *Assigner) demand(k int) (d float64) {
	for i := range a.px {
		if a.px[i].joined {
			d += a.px[i].use[k]
		}
	}
	return d
}

// judgeWays shuts the way from a zone's proxies to a zone's backends when no try on it is answered any more
// while those proxies are answered elsewhere. Answers zones cut off or lost, whole or as seen from one side,
// before the list shows it; an overloaded zone still answers some, and stays open.
func (a *Assigner) judgeWays() {
	for z := range a.shut {
		fine := false
		for y := range a.shut {
			tries := 0.0
			for b := range a.be.zone {
				if a.be.zone[b] == y && a.usable(b) {
					tries += a.be.tries[b][z]
				}
			}
			fine = fine || a.shut[z][y] == 0 && a.dry[z][y] == 0 && tries >= illTries
		}
		for y := range a.shut {
			switch {
			case a.shut[z][y] != 0 && a.now >= a.shut[z][y]:
				a.shut[z][y], a.dry[z][y] = 0, 0
				for b := range a.be.zone {
					if a.be.zone[b] == y {
						a.be.tries[b][z], a.be.voided[b][z] = 0, 0
					}
				}
				a.log("way from zone %d to zone %d open on trial", z, y)
			case a.shut[z][y] == 0 && fine && a.dry[z][y] >= wayDry && a.fails < illNobody && a.dryMany(z, y):
				a.shut[z][y] = a.now + illFor<<min(a.shuts[z][y], illStrikes)
				a.shuts[z][y]++
				a.log("way from zone %d to zone %d shut: %.0f tries without an answer", z, y, a.dry[z][y])
			case a.dry[z][y] == 0:
				a.shuts[z][y] = 0
			}
		}
	}
}

// dryMany says whether more than one backend of a zone voids what comes from another: one alone is ill, or takes
// all tries of proxies that choose the one with the least work out.
func (a *Assigner) dryMany(z, y int) bool {
	n := 0
	for b := range a.be.zone {
		if a.be.zone[b] == y && a.usable(b) && a.be.tries[b][z] > 0 && a.be.voided[b][z] > 0.9*a.be.tries[b][z] {
			n++
		}
	}
	return n > 1
}

// judge looks at what was heard since the last tick: who is ill, who is hot, and whether all are.
func (a *Assigner) judge() {
	a.judgeWays()
	be := &a.be
	var fails, took []float64
	weight, out := 0.0, 0.0
	for b := range be.zone {
		if be.status[b] != Ready {
			continue
		}
		weight += be.weight[b]
		if be.outTill[b] != 0 {
			out += be.weight[b]
		}
		if f, n := a.failing(b); n > 0 && be.outTill[b] == 0 {
			fails = append(fails, f)
			if be.took[b] > 0 {
				took = append(took, be.took[b])
			}
		}
	}
	midFails, midTook := median(fails), median(took)
	a.fails, a.mid = midFails, midTook
	news := false
	for b := range be.zone {
		news = news || be.fresh[b]
		if be.outTill[b] != 0 && a.now >= be.outTill[b] {
			be.outTill[b], be.rampAt[b] = 0, a.now
			a.forget(b)
			a.log("backend %d back on trial", b)
			out -= be.weight[b]
		}
		f, n := a.failing(b)
		// Ill: it answers nothing any more while the median backend, of the fleet and of its zone, does. Answers
		// hangs, dead machines that are still listed, broken hosts. An overloaded backend still answers some:
		// taking it out would only push its load on. When all fail alike, nobody is taken out.
		mid := max(midFails, a.zoneFails(be.zone[b], b))
		if a.usable(b) && be.fresh[b] && be.dry[b] >= illDry && mid < illNobody &&
			out+be.weight[b] <= illMost*weight && a.spared(b) {
			be.outTill[b] = a.now + illFor<<min(be.strikes[b], illStrikes)
			be.strikes[b]++
			out += be.weight[b]
			a.log("backend %d out: %.0f tries without an answer, median voids %.0f%%", b, be.dry[b], 100*mid)
		}
		// Hot: slower than the others by far and near the SLA time. Answers slow machines and wrong listed weights.
		if a.usable(b) && be.fresh[b] && be.took[b] > 0 {
			hot := be.took[b] > hotRatio*midTook && be.took[b] > hotSLA*a.sla()
			switch {
			case hot || f > midFails+failsRel && n >= illTries:
				// What is heard now was done before the last step: wait until that one shows.
				if a.now >= be.easedAt[b]+reliefEvery {
					be.relief[b], be.easedAt[b] = max(reliefEnd, be.relief[b]*reliefBy), a.now
				}
			case be.took[b] < coolRatio*midTook:
				be.relief[b] = min(1, be.relief[b]*returnBy)
			}
		}
		be.fresh[b] = false
	}
	if !news {
		return
	}
	a.light = midTook > 0 && midTook < lightSLA*a.sla()
	slow := midTook > overSLA*a.sla() && midTook > overSlow*a.calm
	if slow || midFails > overFails && !a.light {
		a.over++
		return
	}
	a.over = 0
	if midTook > 0 {
		if a.calm == 0 {
			a.calm = midTook
		}
		a.calm = min(a.calm*calmRise, midTook)
	}
}

// zoneFails is the share voided at the median of the other backends in a zone.
func (a *Assigner) zoneFails(z, but int) float64 {
	var fails []float64
	for b, y := range a.be.zone {
		if y == z && b != but && a.usable(b) {
			if f, n := a.failing(b); n > 0 {
				fails = append(fails, f)
			}
		}
	}
	return median(fails)
}

// spared says whether every product in every zone keeps a usable backend when b is out.
func (a *Assigner) spared(b int) bool {
	for _, g := range a.groups {
		for z := range a.d.Zones {
			if !a.open(g.rule, z, b) {
				continue
			}
			left := false
			for c := range a.be.zone {
				left = left || c != b && a.usable(c) && a.open(g.rule, z, c)
			}
			if !left {
				return false
			}
		}
	}
	return true
}

// setTotal bounds the total of all levels under overload and lets go of it afterwards.
func (a *Assigner) setTotal() {
	all, served, strength := 0.0, 0.0, 0.0
	for i := range a.px {
		p := &a.px[i]
		if !p.joined {
			continue
		}
		for k, u := range p.use {
			all += u
			if a.total > 0 {
				u = min(u, p.level[k])
			}
			served += max(u-p.voided[k], 0)
		}
	}
	for b := range a.be.zone {
		if a.usable(b) {
			strength += a.strength(b)
		}
	}
	if a.served == 0 {
		a.served = served
	}
	a.served += (served - a.served) / servedSpan
	a.best = max(a.best*bestKeep, a.served/max(strength, 1e-9))
	best := a.best * strength
	late := a.mid / a.sla()
	depth := min(max(cutBase-cutSlope*late, cutDeep), cutLight)
	severe := a.fails > cutFails
	if severe {
		depth = cutDeep
	}
	switch {
	case a.d.Levels == LevelNone || all <= 0:
	case a.total == 0 && (a.over >= overTicks || a.over > 0 && severe):
		a.knee = max(a.served, kneeLeast*best, levelFloor)
		a.total, a.cutAt, a.riseAt = a.knee*depth, a.now, a.now
		a.log("total bounded to %.0f/s: demand %.0f/s, served %.0f/s, answers take %.2f SLA times, median voids %.0f%%",
			a.total, all, a.served, late, 100*a.fails)
	case a.total > 0 && a.over > 0 && a.now-a.cutAt >= cutAgain:
		a.knee = max(a.knee*kneeDown, levelFloor)
		a.total, a.cutAt, a.riseAt = a.knee*depth, a.now, a.now
	case a.total > 0 && a.light && a.total < a.knee*cutLight:
		a.total, a.riseAt = a.knee*cutLight, a.now
	case a.total > 0 && a.over == 0 && (a.now-a.riseAt >= riseEvery || late < quickSLA && a.now-a.riseAt >= riseFast):
		a.total, a.riseAt = a.total*riseBy, a.now
		a.knee = max(a.knee, a.total)
		if a.total > loosenAt*all {
			a.log("total unbounded: %.0f/s is over demand %.0f/s by half", a.total, all)
			a.total = 0
		}
	}
}

// setLevels splits the total: by revenue among the products, then by max-rate sharing among the proxies.
func (a *Assigner) setLevels() {
	var in []int
	for i := range a.px {
		if a.px[i].joined {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return
	}
	byRev := make([]int, len(a.d.Products))
	for k := range byRev {
		byRev[k] = k
	}
	sort.SliceStable(byRev, func(i, j int) bool {
		p, q := a.d.Products[byRev[i]], a.d.Products[byRev[j]]
		return p.Revenue > q.Revenue || p.Revenue == q.Revenue && p.SLA < q.SLA
	})
	left := a.total
	for _, k := range byRev {
		d := a.demand(k)
		part := loosenAt * d
		if a.total > 0 {
			part = min(left, d*(1+idleMargin))
			left -= min(part, d)
		}
		use, level, silent := make([]float64, len(in)), make([]float64, len(in)), make([]bool, len(in))
		for j, i := range in {
			use[j], level[j], silent[j] = a.px[i].use[k], a.px[i].level[k], !a.px[i].heard
		}
		turns := 1
		if a.reset {
			clear(level)
			turns = shareTurns
		}
		shareRate(level, use, silent, part, turns)
		for j, i := range in {
			a.px[i].level[k] = level[j]
		}
	}
	a.reset = false
}

// shareRate is max-rate sharing: the levels of the proxies sum to total, idle ones give what they do not use,
// busy ones are evened out and get what is free. Where the total is below the floors of all, the floor gives
// way: each gets an equal part, and never less than nothing.
func shareRate(level, use []float64, silent []bool, total float64, turns int) {
	n := float64(len(level))
	floor := min(levelFloor, total/n)
	sum := 0.0
	for _, l := range level {
		sum += l
	}
	for j := range level {
		if sum > 0 {
			level[j] *= total / sum
		} else {
			level[j] = total / n
		}
	}
	for ; turns > 0; turns-- {
		busy, busySum, freed := 0.0, 0.0, 0.0
		for j := range level {
			if !silent[j] && use[j] > busyAbove*level[j] {
				busy, busySum = busy+1, busySum+level[j]
			}
		}
		if busy == 0 {
			break
		}
		average := busySum / busy
		isBusy := make([]bool, len(level))
		for j := range level {
			isBusy[j] = !silent[j] && use[j] > busyAbove*level[j]
			keep := level[j]
			switch {
			case isBusy[j]:
				keep = min(keep, average)
			case !silent[j]:
				keep = min(keep, max(use[j]*(1+idleMargin), floor))
			}
			freed += level[j] - keep
			level[j] = keep
		}
		for j := range level {
			if isBusy[j] {
				level[j] += freed / busy
			}
		}
	}
	// The floor is lifted last and paid for by those above it.
	lack, above := 0.0, 0.0
	for j := range level {
		lack += max(floor-level[j], 0)
		above += max(level[j]-floor, 0)
	}
	for j := range level {
		if level[j] <= floor {
			level[j] = floor
		} else if above > 0 {
			level[j] -= (level[j] - floor) * min(1, lack/above)
		}
	}
}

// tell sends the other controllers what this one's proxies ask for, by group and zone.
func (a *Assigner) tell() {
	if !a.d.Notes || a.d.Controllers < 2 {
		return
	}
	d, n := a.ownDemand()
	data := binary.BigEndian.AppendUint16(nil, uint16(n))
	for _, row := range d {
		for _, v := range row {
			data = binary.BigEndian.AppendUint16(data, uint16(min(v*10, 65535)))
		}
	}
	if len(data) <= 256 {
		a.order(Note{To: ToAll, Data: data})
	}
}

func (a *Assigner) hearNote(e Noted) {
	if len(e.Data) != 2+2*len(a.groups)*a.d.Zones {
		return
	}
	n := peerNote{at: a.now, proxies: int(binary.BigEndian.Uint16(e.Data)), demand: a.matrix()}
	for i := range len(a.groups) * a.d.Zones {
		n.demand[i/a.d.Zones][i%a.d.Zones] = float64(binary.BigEndian.Uint16(e.Data[2+2*i:])) / 10
	}
	a.peers[e.From] = n
}

func (a *Assigner) matrix() [][]float64 {
	m := make([][]float64, len(a.groups))
	for g := range m {
		m[g] = make([]float64, a.d.Zones)
	}
	return m
}

func (a *Assigner) ownDemand() (d [][]float64, proxies int) {
	d = a.matrix()
	for i := range a.px {
		p := &a.px[i]
		if !p.joined {
			continue
		}
		proxies++
		a.addDemand(d, p)
	}
	return d, proxies
}

func (a *Assigner) addDemand(d [][]float64, p *proxy) {
	for g := range a.groups {
		for _, k := range a.groups[g].products {
			d[g][p.zone] += p.use[k]
		}
	}
}

// setSpill works out which part of each group's txns leaves its zone. The design's tables are zone-first, and
// other zones join when under half the zone is usable. That leaves a zone that is asked for more than its part
// of the fleet alone with it, so others also join for the excess: every zone is to carry the same demand for
// its usable strength, and only what is over that goes elsewhere.
func (a *Assigner) setSpill() {
	zones := a.d.Zones
	demand, known := a.ownDemand()
	for from := range a.d.Controllers {
		if n, ok := a.peers[from]; ok && a.now-n.at <= noteAge {
			known += n.proxies
			for g := range demand {
				for z := range demand[g] {
					demand[g][z] += n.demand[g][z]
				}
			}
		}
	}
	// A proxy that left goes on forwarding or its zone's others get its txns: a zone does not fall idle with it.
	for i := range a.px {
		if p := &a.px[i]; !p.joined && known < a.d.Proxies && a.now-p.left < awayFor {
			a.addDemand(demand, p)
			known++
		}
	}
	strength, all := make([]float64, zones), 0.0
	for b := range a.be.zone {
		if a.usable(b) {
			strength[a.be.zone[b]] += a.strength(b)
			all += a.strength(b)
		}
	}
	if all == 0 || known == 0 {
		return
	}
	// Proxies that nobody spoke of are taken to ask evenly: they must not make a zone look idle.
	missing := max(float64(a.d.Proxies)/float64(known), 1) - 1
	sum := 0.0
	for g := range demand {
		inGroup := 0.0
		for _, v := range demand[g] {
			inGroup += v
		}
		for z := range demand[g] {
			demand[g][z] += missing * inGroup * strength[z] / all
		}
		sum += inGroup * (1 + missing)
	}
	room := make([]float64, zones)
	for z := range room {
		room[z] = sum * strength[z] / all
	}
	if a.spill == nil {
		a.spill = make([][][]float64, len(a.groups))
		for g := range a.spill {
			a.spill[g] = make([][]float64, zones)
		}
	}
	for g := range a.groups {
		a.spillGroup(g, demand[g], room)
	}
}

func (a *Assigner) spillGroup(g int, demand, room []float64) {
	rule, zones := a.groups[g].rule, a.d.Zones
	can := make([]float64, zones) // strength open to the group, by zone
	for b := range a.be.zone {
		if a.usable(b) && a.open(rule, a.be.zone[b], b) {
			can[a.be.zone[b]] += a.strength(b)
		}
	}
	excess := make([]float64, zones)
	for z, d := range demand {
		stay := d
		if !rule.OwnZone {
			stay = 0
			if can[z] > 0 {
				stay = min(d, max(room[z], 0))
			}
			if can[z] > 0 && d-stay < spillFrom*d {
				stay = d
			}
		}
		room[z] -= stay
		excess[z] = d - stay
	}
	free, canAll := 0.0, 0.0
	for y := range zones {
		if can[y] > 0 {
			free += max(room[y], 0)
			canAll += can[y]
		}
	}
	for z, d := range demand {
		row := make([]float64, zones)
		away := 0.0
		if d > 0 {
			away = excess[z] / d
		} else if can[z] == 0 {
			away = 1
		}
		if rule.OwnZone {
			away = 0
		}
		row[z] = 1 - away
		for y := range row {
			switch {
			case away == 0 || can[y] == 0:
			case free > 0:
				row[y] += away * max(room[y], 0) / free
			default:
				row[y] += away * can[y] / canAll
			}
		}
		old := a.spill[g][z]
		if old == nil || differ(old, row) || (can[z] == 0) != (old[z] == 0) {
			a.spill[g][z] = row
		}
	}
	for y := range room {
		if can[y] > 0 && free > 0 {
			moved := 0.0
			for z := range excess {
				moved += excess[z]
			}
			room[y] -= moved * max(room[y], 0) / free
		}
	}
}

func differ(a, b []float64) bool {
	for i := range a {
		if math.Abs(a[i]-b[i]) >= 2*spillStep {
			return true
		}
	}
	return false
}

// plan is the table that a proxy should hold for a group.
func (a *Assigner) plan(p *proxy, g int) tbl {
	rule := a.groups[g].rule
	t := tbl{weight: make([]float64, len(a.be.zone))}
	can := make([]float64, a.d.Zones)
	for b := range t.weight {
		if a.usable(b) && a.open(rule, p.zone, b) && a.shut[p.zone][a.be.zone[b]] == 0 {
			can[a.be.zone[b]] += a.strength(b)
		}
	}
	row := make([]float64, a.d.Zones)
	row[p.zone] = 1
	if a.spill != nil && a.spill[g][p.zone] != nil {
		row = a.spill[g][p.zone]
	}
	home := 1.0
	if can[p.zone] > 0 && row[p.zone] > 0 {
		home = can[p.zone] / row[p.zone] // lines at home carry their listed weights
	}
	lines := 0
	for b := range t.weight {
		if y := a.be.zone[b]; a.usable(b) && a.open(rule, p.zone, b) && can[y] > 0 && row[y] > spillStep/4 {
			t.weight[b] = a.strength(b) / can[y] * row[y] * home
			lines++
		}
	}
	if lines == 0 {
		// Better any ready backend, ill or not, than none.
		for b := range t.weight {
			if a.be.status[b] == Ready && a.open(rule, p.zone, b) {
				t.weight[b] = a.be.weight[b] * a.ramp(b)
			}
		}
	}
	for _, k := range a.groups[g].products {
		t.gates = append(t.gates, gate{level: a.levelOf(p, k), tries: a.triesOf(k)})
	}
	return t
}

func (a *Assigner) levelOf(p *proxy, k int) float64 {
	free := noLevel
	if a.d.Levels == LevelShare {
		free = 1
	}
	if a.total == 0 || a.d.Levels == LevelNone || a.demandMet(k) {
		return free
	}
	if a.d.Levels == LevelShare {
		return min(1, p.level[k]/max(p.use[k], levelFloor))
	}
	return p.level[k]
}

// demandMet says whether the levels of a product sum to its demand: then it is not held back.
func (a *Assigner) demandMet(k int) bool {
	sum := 0.0
	for i := range a.px {
		if a.px[i].joined {
			sum += a.px[i].level[k]
		}
	}
	return sum >= a.demand(k)
}

// triesOf says how any product may be tried again: only after proof that the first try never ran, which takes
// effect once for all of them. A second try after any failure cuts the first short while it still runs, so that
// slow backends get their work twice: it cost more on every day it was tried. While the median backend voids
// tries, being turned away is no reason to ask the next.
func (a *Assigner) triesOf(k int) Tries {
	if (a.total > 0 || a.over > 0) && a.fails > overFails {
		return TryOnce
	}
	return TryUnrun
}

// diff is what a proxy lacks.
type diff struct {
	proxy   int
	urgency int
	lines   []Line
	gates   []Gate
	cost    float64
}

// Urgencies, the most urgent first.
const (
	mustLeave = iota // drains and withdrawals
	mustHave         // lines for a proxy that has none of ours, or none at all
	mustEase         // weights of cold backends
	mayLevel
	mayRest
)

// reconcile emits what the proxies lack, the most urgent and the busiest first, as far as the channel has room.
func (a *Assigner) reconcile(tick bool) {
	if a.d.Slices > 0 {
		return
	}
	var todo []diff
	for i := range a.px {
		if p := &a.px[i]; p.joined {
			if d := a.diffOf(i, p); d.urgency <= mayRest {
				todo = append(todo, d)
			}
		}
	}
	busy := func(i int) (v float64) {
		for _, u := range a.px[i].use {
			v += u
		}
		return v
	}
	sort.SliceStable(todo, func(i, j int) bool {
		if todo[i].urgency != todo[j].urgency {
			return todo[i].urgency < todo[j].urgency
		}
		return busy(todo[i].proxy) > busy(todo[j].proxy)
	})
	waiting := a.lines - a.passed
	waiting = max(0, waiting-slowChan*a.d.LinesPerS*float64(a.now-a.passedAt)/float64(Second))
	sent := false
	for _, d := range todo {
		p := &a.px[d.proxy]
		room, sends := roomRest, sendsRest
		if d.urgency <= mustEase {
			room, sends = roomUrgent, sendsMost
		} else if !tick {
			continue
		}
		if a.d.LinesMost > 0 && waiting+d.cost > room*a.d.LinesMost || !a.maySend(p, sends) {
			continue
		}
		waiting += d.cost
		a.lines += d.cost
		for _, l := range d.lines {
			a.order(l)
		}
		for _, g := range d.gates {
			a.order(g)
		}
		if !p.bound {
			for g := range a.groups {
				a.order(Use{Proxy: d.proxy, Table: d.proxy*len(a.groups) + g, Products: a.groups[g].mask})
			}
			p.bound = true
		}
		a.hold(d, p)
		p.sent = append(p.sent, a.now)
		sent = true
	}
	if sent {
		a.fence = (a.fence + 1) % fences
		a.fenceAt[a.fence] = a.lines
		a.order(Fence{Number: a.fence})
	}
}

// maySend counts the messages that a proxy was sent within the counting span.
func (a *Assigner) maySend(p *proxy, part float64) bool {
	if a.d.MessagesMost <= 0 {
		p.sent = nil
		return true
	}
	for len(p.sent) > 0 && a.now-p.sent[0] > a.d.MessagesOver+Second {
		p.sent = p.sent[1:]
	}
	return float64(len(p.sent)+1) <= part*float64(a.d.MessagesMost)
}

func (a *Assigner) diffOf(i int, p *proxy) diff {
	d := diff{proxy: i, urgency: mayRest + 1}
	if !p.bound {
		d.urgency = mustHave
	}
	for g := range a.groups {
		want, held := a.plan(p, g), &p.held[g]
		for len(held.weight) < len(want.weight) {
			held.weight = append(held.weight, 0)
		}
		had := 0
		for _, w := range held.weight {
			if w > 0 {
				had++
			}
		}
		id := i*len(a.groups) + g
		for b, w := range want.weight {
			h := held.weight[b]
			if w == h || w > 0 && h > 0 && math.Abs(w-h) < lineChange*h {
				continue
			}
			d.lines = append(d.lines, Line{Table: id, Backend: b, Weight: w})
			switch {
			case w == 0 && (a.be.status[b] != Ready || a.be.outTill[b] != 0):
				d.urgency = mustLeave
			case w > 0 && had == 0:
				d.urgency = min(d.urgency, mustHave)
			case w < h && a.ramp(b) < 1:
				d.urgency = min(d.urgency, mustEase)
			default:
				d.urgency = min(d.urgency, mayRest)
			}
		}
		for j, k := range a.groups[g].products {
			w := want.gates[j]
			if j < len(held.gates) {
				h := held.gates[j]
				if h == w || h.tries == w.tries && math.Abs(h.level-w.level) < levelChange*h.level {
					continue
				}
			}
			d.gates = append(d.gates, Gate{Table: id, Level: w.level, Tries: w.tries, Products: 1 << k})
			d.urgency = min(d.urgency, mayLevel)
		}
		if !p.bound {
			d.cost += 1 + float64(len(want.weight)+len(want.gates))
		}
	}
	d.cost += a.d.LinesHead + 1 + float64(len(d.lines)+len(d.gates))
	return d
}

// hold notes what a proxy holds once the orders of a diff have reached it.
func (a *Assigner) hold(d diff, p *proxy) {
	for _, l := range d.lines {
		p.held[l.Table-d.proxy*len(a.groups)].weight[l.Backend] = l.Weight
	}
	for _, g := range d.gates {
		at := g.Table - d.proxy*len(a.groups)
		held := &p.held[at]
		for j, k := range a.groups[at].products {
			for len(held.gates) <= j {
				held.gates = append(held.gates, gate{})
			}
			if g.Products == 1<<k {
				held.gates[j] = gate{level: g.Level, tries: g.Tries}
			}
		}
	}
}
