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
	products []int // that may go to the same backends: they share a table
	mask     uint16
	rule     Product
	places   string
	open     []bool // by backend: its products may go there from some zone, in this step
	next     tbl    // of the proxy looked at
}

type tbl struct { // a table: weights by backend, gates by place in the group
	weight []float64
	gates  []Gate
}

type message struct {
	at    Time
	batch int
	cost  float64 // lines; none once it was taken
}

type proxy struct {
	index              int
	joined, bound      bool
	heard              bool // it reported since it joined
	brings             bool // shut-outs of another controller
	zone               int
	use, voided, level []float64 // txns/s by product; level is the max-rate
	told               []bool    // ... its use was reported
	newsAt             []Time    // ... when last, or when it joined
	leftAt             Time
	held               []tbl     // by group: what was ordered
	picked             []bool    // by backend: may have a line
	counted, bare      bool      // what it asks is in Assigner.asked; it lacks a usable line in some group
	sent               []message // within the counting span, or on their way

	confined, still bool
	cell            []bool // by backend: allowed
	most            float64
}

type diff struct { // what a proxy lacks, and what it will hold then
	proxy, urgency int
	settles        float64 // lines that settle what it brings
	orders         []Order
	next           []tbl
}

type fleet struct { // parallel arrays under the door's index of backends
	zone, kind      []int
	status          []Status
	weight, relief  []float64 // listed; the part of it that a hot one keeps
	rampAt, easedAt []Time    // when its ramp began; the last step of relief
	held            []float64 // txns that a probe said it holds since the last tick
	tries, voided   []float64 // fading
	good, spent     []float64 // answers and the time that they took, fading
	heardAt         []Time
	known           []float64 // tries as they were at the last judgement
	age, toldAt     []Time    // how late what was told of it is; when that came
	gap             []float64 // seconds between the last two times it was heard of; 1 where that is often enough
	every           []float64 // seconds from one word of it to the next, smoothed
	fresh, out      []bool    // heard of since the last tick; withdrawn
	dropped         []bool    // from the list, though that alone does not bind
	goneAt          []Time
}

// Assigner decides for one controller.
type Assigner struct {
	d        Deployment
	now      Time
	began    bool
	urgent   bool // something happened that cannot wait for the tick
	refollow bool // ask for the list again at the tick
	again    bool // a wake is under way for what the channel had no room for

	groups []group
	px     []proxy
	in     []*proxy // that are joined
	be     fleet
	spill  [][][]float64 // by group, zone of the proxies, zone of the backends: part of their txns
	load   []float64     // by backend: txns/s asked of it for a unit of strength, as if all did as those here
	asked  []float64     // ... by the proxies here alone, at the last tick and since

	ramp, strength, sure []float64 // by backend, in this step
	lets                 []float64 // ... the part of what is asked of a cold one that it can take; else noLevel
	ready                []bool
	byZone               [][]int // backends

	total, knee   float64 // txns/s; total 0 is unbounded; the knee is what the backends are held to manage
	served        float64 // txns/s answered, smoothed
	able, pace    float64 // listed weight that is ready, less while it is cold; the most served for a unit of it
	over, light   bool    // answers are late or voided; they are quick
	reset         bool    // levels go back to equal shares
	free          []bool  // by product: the levels cover what is asked for
	cutAt, riseAt Time
	span          float64                 // seconds that a report of use stands for, the mean of the last tick with any
	spans, spanIn float64                 // their sum since, and their number
	back          [FigurePace + 1]float64 // what was recalled, by Figure
	backAt        Time
	took, bad     float64 // median time of answers, and share voided at the median backend
	risk          float64 // ... that may come to cold ones too
	rare          bool    // most backends are not heard of each second

	elsewhere   [][]float64 // txns/s by product and zone that others told of last
	elsewhereAt Time
	trust       float64 // part that is believed of it, which rises and falls in steps
	judgedAt    Time

	queue, waits float64 // lines that may wait in the channel; of messages of which nothing shows that they left
	queueAt      Time
	batch        int               // messages written together
	wroteAt      [fences / 32]Time // when, of those of late
	passed       Time              // what was written up to here has left the channel
	orders       []Order
}

func (a *Assigner) order(o Order) { a.orders = append(a.orders, o) }

func (a *Assigner) log(format string, v ...any) { a.order(Log{Text: fmt.Sprintf(format, v...)}) }

func (a *Assigner) ownZone(z int) int { return min(max(z, 0), a.d.Zones-1) }

func (a *Assigner) proxy(i int) *proxy {
	for n := len(a.d.Products); len(a.px) <= i; {
		a.px = append(a.px, proxy{index: len(a.px), use: make([]float64, n), voided: make([]float64, n), level: make([]float64, n),
			told: make([]bool, n), newsAt: make([]Time, n), leftAt: never})
	}
	return &a.px[i]
}

func (a *Assigner) grow(n int) {
	for be := &a.be; len(be.zone) < n; {
		be.zone, be.kind, be.status = append(be.zone, 0), append(be.kind, 0), append(be.status, Gone)
		be.weight, be.rampAt, be.relief = append(be.weight, 0), append(be.rampAt, never), append(be.relief, 1)
		be.easedAt, be.fresh = append(be.easedAt, never), append(be.fresh, false)
		be.every = append(be.every, 1)
		be.tries, be.voided = append(be.tries, 0), append(be.voided, 0)
		be.heardAt, be.gap = append(be.heardAt, never), append(be.gap, 1)
		be.known, be.age, be.toldAt = append(be.known, 0), append(be.age, 0), append(be.toldAt, never)
		be.good, be.spent, be.held = append(be.good, 0), append(be.spent, 0), append(be.held, 0)
		be.out, be.dropped = append(be.out, false), append(be.dropped, false)
		be.goneAt = append(be.goneAt, never)
	}
}

// forget makes an index as if no backend had ever had it.
func (a *Assigner) forget(b int) {
	be := &a.be
	if b >= len(be.zone) {
		return
	}
	be.zone[b], be.kind[b], be.status[b], be.weight[b], be.relief[b] = 0, 0, Gone, 0, 1
	be.rampAt[b], be.easedAt[b], be.goneAt[b], be.heardAt[b], be.gap[b] = never, never, never, never, 1
	be.held[b], be.tries[b], be.voided[b], be.good[b], be.spent[b] = 0, 0, 0, 0, 0
	be.known[b], be.age[b], be.toldAt[b] = 0, 0, never
	be.fresh[b], be.out[b], be.dropped[b], be.every[b] = false, false, false, 1
	for i := range a.px {
		if p := &a.px[i]; b < len(p.picked) {
			p.picked[b] = false
		}
		if p := &a.px[i]; b < len(p.cell) {
			p.cell[b] = false
		}
		for _, t := range a.px[i].held {
			if b < len(t.weight) {
				t.weight[b] = 0
			}
		}
	}
}

func (a *Assigner) confine(e Allowed) {
	p := a.proxy(e.Proxy)
	p.confined, p.most, p.still, p.cell = e.Confined, e.Most, e.Still, nil
	for _, b := range e.Backends {
		a.grow(b + 1)
		p.cell = append(p.cell, make([]bool, max(b+1-len(p.cell), 0))...)
		p.cell[b] = true
	}
}

// may says whether a backend is one of those that a proxy is confined to.
func (p *proxy) may(b int) bool { return !p.confined || b < len(p.cell) && p.cell[b] }

// brought says whether a proxy still goes by tables of another controller: it waits better than one with none.
func (p *proxy) brought() bool { return p.brings && !p.bound }

// paceEach is the channel's pace, lines/s, for each proxy that still goes by what it brought.
func (a *Assigner) paceEach() float64 {
	n := 0.0
	for _, p := range a.in {
		n += either(p.brought(), 1, 0.0)
	}
	if n == 0 || a.d.LinesPerS == 0 {
		return math.Inf(1)
	}
	return a.d.LinesPerS / n
}

// share is the part of all proxies that is joined here.
func (a *Assigner) share() float64 {
	return float64(len(a.in)) / float64(max(a.d.Proxies, len(a.in), 1))
}

// partHere is the part of the fleet's use that comes to the proxies here; that of the proxies, where nobody tells.
func (a *Assigner) partHere() float64 {
	here, there := 1e-9, 0.0
	for k, by := range a.elsewhere {
		here += a.demand(k)
		for _, u := range by {
			there += u
		}
	}
	return a.trust*here/(here+there) + (1-a.trust)*a.share()
}

// lag is by how much what is heard of a backend is late, in whole waits.
func (a *Assigner) lag(b int) Time { return max(a.be.age[b], 0) / easeEvery * easeEvery }

// inTurn says whether a moment of this controller's own within each span, for a backend, came since the last judgement:
// who hears the same does not act in the same instant.
func (a *Assigner) inTurn(b int, span Time) bool {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint64(nil, uint64(a.d.FirstTick)<<20+uint64(b)))
	at := Time(h.Sum32()) % span
	return a.judgedAt > 0 && (a.now-at)/span > (a.judgedAt-at)/span
}

func (a *Assigner) hearTries(e Heard) {
	be, b := &a.be, e.Backend
	a.grow(b + 1)
	e.Tries = max(e.Tries, 0)
	voided := min(max(e.Voided, 0), e.Tries)
	if be.heardAt[b] != never && a.now > be.heardAt[b] {
		be.every[b] += (float64(min(a.now-be.heardAt[b], useStale))/float64(Second) - be.every[b]) / smooth
	}
	// Where reports are too many for the intake one stands for several seconds, and what came before it is as old.
	if gap := float64(a.now-be.heardAt[b]) / float64(Second); gap > spanLong {
		a.fade(b, e.Tries, min(gap, float64(useStale)/float64(Second))-1)
		be.gap[b] = either(be.heardAt[b] == never, 1, gap)
	} else if a.now > be.heardAt[b] {
		be.gap[b] = 1
	}
	be.heardAt[b] = a.now
	be.tries[b], be.voided[b], be.fresh[b] = be.tries[b]+e.Tries, be.voided[b]+voided, be.fresh[b] || e.Tries > 0
	if good := e.Tries - voided; good > 0 && e.Took > 0 {
		be.good[b], be.spent[b] = be.good[b]+good, be.spent[b]+good*float64(e.Took)
	}
}

// fade lets what was heard of a backend before count for less beside so many new tries of a span of seconds: where
// little is heard, and of most not each second, for long.
func (a *Assigner) fade(b int, news, span float64) {
	be := &a.be
	keep := 1 - either(news < fewTries && a.rare, news/thinTries, 1)*(1-math.Pow(newsKeep, span))
	be.tries[b], be.voided[b] = be.tries[b]*keep, be.voided[b]*keep
	be.good[b], be.spent[b] = be.good[b]*keep, be.spent[b]*keep
	be.known[b] = be.tries[b]
}

// votes are what was heard of the backends: by backend where it is enough to say something of it alone, and what the
// medians go by: one each, or, where news are rare, with the strength that each stands for, less where little was heard.
type votes struct {
	fails, took                []float64
	allFails, allTook, allNext []weighed
	caution                    []weighed // as allFails, also of what is relieved
	every                      []weighed // seconds from one word to the next
	strength                   float64
}

func (a *Assigner) vote() (v votes) {
	be := &a.be
	v.fails, v.took = make([]float64, len(be.zone)), make([]float64, len(be.zone))
	for b, tries := range be.tries {
		if be.status[b] != Ready || tries <= 0 {
			continue
		}
		fails, counts := be.voided[b]/tries, either(tries < fewTries, 0.0, 1)
		if a.rare {
			counts = a.strength[b] * min(tries/fewTries, 1)
		}
		v.allFails, v.strength = append(v.allFails, weighed{fails, counts}), v.strength+counts
		v.every = append(v.every, weighed{be.every[b], 1})
		v.caution = append(v.caution, weighed{fails, either(a.rare, a.be.weight[b]*a.ramp[b]*min(tries/fewTries, 1), counts)})
		if tries >= fewTries {
			v.fails[b] = fails
		}
		if be.good[b] <= 0 {
			continue
		}
		took := be.spent[b] / be.good[b]
		if tries >= fewTries {
			v.took[b] = took
		}
		v.allTook = append(v.allTook, weighed{took, counts})
		// What a probe says that it holds over what it is sent in a tick, or can do, is the time of its next
		// txn: known sooner. Reports in answers come too often from busy moments.
		sent := max(tries*(1-newsKeep), a.pace*a.strength[b], 1e-9)
		v.allNext = append(v.allNext, weighed{max(took, be.held[b]/sent*float64(tickEvery)), counts})
	}
	return v
}

// hearFence takes that a batch has reached the proxy. Messages leave in the order in which they enter, which is that in
// which they were written, but for those of about the same moment: they go by sockets of their own.
func (a *Assigner) hearFence(p *proxy, batch int) {
	if a.batch-batch < len(a.wroteAt) {
		a.passed = max(a.passed, a.wroteAt[batch%len(a.wroteAt)]-overtakes)
	}
	for i := range p.sent {
		if p.sent[i].batch <= batch {
			p.sent[i].cost = 0
		}
	}
}

// inChannel says whether nothing shows that a message has left.
func (a *Assigner) inChannel(m message) bool { return m.cost > 0 && m.at > a.passed }

// charge counts lines of this reply's message to a proxy.
func (a *Assigner) charge(p *proxy, lines float64) {
	if n := len(p.sent); n == 0 || p.sent[n-1].batch <= a.batch {
		p.sent, lines = append(p.sent, message{at: a.now, batch: a.batch + 1}), lines+a.d.LinesHead+1
	}
	p.sent[len(p.sent)-1].cost += lines
	a.queue, a.waits = a.queue+lines, a.waits+lines
}

// Recollect is what is worth recalling after a crash, or to another controller: use that was reported and reliefs,
// then the total, the knee and the pace. Of proxies and backends a turn gives each nth.
func (a *Assigner) Recollect(turn, of int) (all []Recalled) {
	for i := turn; i < len(a.px); i += of {
		for k, told := range a.px[i].told {
			if p := &a.px[i]; told && p.joined {
				all = append(all, Recalled{What: FigureUse, Proxy: i, Product: k, Value: p.use[k], Age: a.now - p.newsAt[k], Part: 1})
			}
		}
	}
	for b := turn; b < len(a.be.zone); b += of {
		if a.be.status[b] == Ready {
			all = append(all, Recalled{What: FigureRelief, Backend: b, Value: a.be.relief[b], Part: 1})
		}
	}
	if a.able > 0 && a.pace > 0 && (a.took > 0 || a.bad > 0) { // else nothing was heard that they stand on
		for i, v := range [...]float64{a.total, a.knee, a.pace * a.able} {
			all = append(all, Recalled{What: FigureTotal + Figure(i), Value: v / a.able, Part: 1})
		}
	}
	return all
}

// weigh works out once for a step what many proxies ask of each backend.
func (a *Assigner) weigh() {
	n := len(a.be.zone)
	for len(a.ramp) < n {
		a.ramp, a.strength, a.sure = append(a.ramp, 0), append(a.strength, 0), append(a.sure, 0)
		a.ready, a.load = append(a.ready, false), append(a.load, 0)
		a.lets = append(a.lets, noLevel)
	}
	for y := range a.byZone {
		a.byZone[y] = a.byZone[y][:0]
	}
	for b, y := range a.be.zone {
		a.ramp[b], a.strength[b], a.sure[b] = a.rampNow(b), a.strengthNow(b), a.sureNow(b)
		a.ready[b], a.byZone[y] = a.be.status[b] == Ready, append(a.byZone[y], b)
	}
	for g := range a.groups {
		group := &a.groups[g]
		group.open = append(group.open, make([]bool, n-len(group.open))...)
		for b := range group.open {
			group.open[b] = a.opens(group.rule, b)
		}
	}
}

// isBare says whether a proxy holds no line in some group that is not shut out.
func (a *Assigner) isBare(p *proxy) bool {
	for _, t := range p.held {
		usable := false
		for b, w := range t.weight {
			if usable = w > 0 && !a.be.out[b]; usable {
				break
			}
		}
		if !usable {
			return true
		}
	}
	return !p.bound
}

// needy are the joined proxies that lack a usable line.
func (a *Assigner) needy() (who []*proxy) {
	for _, p := range a.in {
		if p.bare {
			who = append(who, p)
		}
	}
	return who
}

// gather lists the proxies that are joined.
func (a *Assigner) gather() {
	a.in = a.in[:0]
	for i := range a.px {
		if a.px[i].joined {
			a.in = append(a.in, &a.px[i])
		}
	}
}

// stayHome is where the groups' txns go at first: nowhere else.
func (a *Assigner) stayHome() {
	a.byZone = make([][]int, a.d.Zones)
	for g := range a.groups {
		a.spill = append(a.spill, make([][]float64, a.d.Zones))
		for z := range a.d.Zones {
			a.spill[g][z] = make([]float64, a.d.Zones)
			a.spill[g][z][z] = 1
		}
	}
}

func (p *proxy) asked() (u float64) {
	for _, v := range p.use {
		u += v
	}
	return u
}

func (a *Assigner) demand(k int) (d float64) {
	for _, p := range a.in {
		d += p.use[k]
	}
	return d
}

// reach is the strength open to a group, or to any for none, by zone and in all, and without relief.
func (a *Assigner) reach(open []bool) (by []float64, all, able float64) {
	by = make([]float64, a.d.Zones)
	for b, y := range a.be.zone {
		if open[b] {
			by[y], all, able = by[y]+a.strength[b], all+a.strength[b], able+a.be.weight[b]*a.ramp[b]
		}
	}
	return by, all, able
}

// admitted is what a proxy lets in of a product.
func (a *Assigner) admitted(p *proxy, k int) float64 {
	if a.total > 0 && !a.free[k] {
		return min(p.use[k], p.level[k])
	}
	return p.use[k]
}

// sla is the SLA time of the mean txn that comes.
func (a *Assigner) sla() float64 {
	sum, n := 0.0, 1e-9
	for k, pr := range a.d.Products {
		d := a.demand(k) + 1e-9
		sum, n = sum+d*float64(pr.SLA), n+d
	}
	return max(sum/n, 1)
}

// atMost is the use that chance may hide behind one that was heard of: two deviations of what came in the span that it
// stands for.
func (a *Assigner) atMost(use float64) float64 {
	span := max(a.span, 1/useSlow)
	return use + 2*math.Sqrt(max(use*span, 1))/span
}

// capFor is the cap on the txns of a second that lets in want of them, where use come by chance (Poisson).
func capFor(want, use float64) float64 {
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

// midst is the median of what is given with the strengths that it stands for, the lower or the upper one of two.
func midst(all []weighed, lower bool) float64 {
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(a.value, b.value) })
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

type weighed struct{ value, strength float64 }

func either[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}
