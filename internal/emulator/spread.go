package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"elmfold/internal/controller/aggregation"
)

// Spread is a day on which many controllers each see little of the fleet.
type Spread struct {
	Controllers int
	Case        string // one of SpreadCases
	Told        bool   // sums are told on
	Oracle      bool   // proxies take the better of two draws by the true state
	Naive       bool   // ... what seems least loaded by the fleet's last sums
}

// SpreadCases are the days that Spread knows; "slow" has an eighth of the backends 3.5 times slower than listed.
var SpreadCases = []string{
	"calm",
	"slow",
	"hot",
	"killed",
	"start",
	"late3",
	"late8",
	"liar",
	"halves",
	"small",
	"uneven",
	"sizes",
	"cold",
}

// Spreading is what a day of Spread showed in its seconds 30 to 60.
type Spreading struct {
	Service, Share float64 // in time; of the weights, that the slow eighth has
	Declined       float64
	Peak           float64 // of the load of equal backends in any 5 s, over their mean
	Herd           float64 // see herds
	Idle           int     // open, warm backends under a quarter of their part for 5 s
	Broken         int     // rules
	Bytes          float64 // a second, that the controller with the most told and heard
	TellsMean      float64 // ... and on the mean

}

const (
	spreadFrom, spreadTo = 30, 60
	spreadSpan           = 5
)

// Day sets the day up.
func (s Spread) Day(seed uint64) Day {
	d := Fleet(seed, s.Controllers)
	if s.Case == "small" { // three of 800 proxies a controller, as far as they go
		d.Proxies = nil
		for i := range 800 {
			d.Proxies = append(d.Proxies, Proxy{Zone: i % 4, Tenant: Tenant(i / 40), Rate: 1100.0 / 800})
		}
		d.MaxQueuedLines = 30000
	}
	for i := range d.Backends {
		b := &d.Backends[i]
		if s.Case == "sizes" {
			b.Cores = 1 << (i / 4 % 5)
			for k := range d.Proxies {
				d.Proxies[k].Rate += 1100.0 / float64(len(d.Proxies)) * 2.1 / float64(len(d.Backends))
			}
		}
		if i%8 == 3 && s.Case != "calm" {
			b.Size = float64(b.Cores) * b.Speed
			b.Speed /= 3.5
		}
	}
	for i := range d.Proxies {
		switch {
		case s.Case == "hot":
			d.Proxies[i].Rate *= 1.7
		case s.Case == "uneven" && i%s.Controllers == 0: // one controller's hold 60% of all use
			d.Proxies[i].Rate = 1100 * 0.6 / math.Ceil(float64(len(d.Proxies))/float64(s.Controllers))
		case s.Case == "uneven":
			d.Proxies[i].Rate *= 0.4
		case s.Case == "late3" || s.Case == "late8":
			d.ReportDelay = map[string]Time{"late3": 3, "late8": 8}[s.Case] * second
		}
	}
	if s.Told {
		d.Told = second
	}
	d.Oracle, d.Naive = s.Oracle, s.Naive
	return d
}

// Play plays the day.
func (s Spread) Play(seed uint64) (r Spreading) {
	w := New(s.Day(seed))
	switch s.Case {
	case "killed":
		w.At(20*second, func() {
			for i := range s.Controllers / 2 {
				w.Kill(i, 60*second, nil)
			}
		})
	case "start":
		w.At(25*second, func() {
			for i := range s.Controllers {
				w.Kill(i, second, nil)
			}
		})
	case "liar":
		w.Twist = func(i int, up *aggregation.Partial) {
			for k := range up.Summary.Reports {
				x := &up.Summary.Reports[k]
				switch { // in turn: twice the truth, zeros, negative, a backend that is not there
				case i != 3:
				case up.Seq%4 == 0:
					x.Attempts, x.Failed, x.TotalLatencyMS = 2*x.Attempts, 2*x.Failed, 2*x.TotalLatencyMS
				case up.Seq%4 == 1:
					x.Attempts, x.Failed, x.TotalLatencyMS = 0, 0, 0
				case up.Seq%4 == 2:
					x.Attempts, x.Failed, x.TotalLatencyMS = -x.Attempts, -x.Failed, -x.TotalLatencyMS
				default:
					x.Backend, x.Attempts, x.Failed = "nowhere", 1e6, 1e6
				}
			}
		}
	case "halves":
		w.At(15*second, func() { w.Part(func(i, j int) bool { return i%2 != j%2 }) })
		w.At(50*second, func() { w.Part(nil) })
	case "cold":
		w.At(28*second, func() {
			for i, b := range w.Backends {
				if i%10 == 7 {
					w.Restart(b.ID, second)
				}
			}
		})
	}
	slow := map[string]bool{}
	for i, b := range w.Backends {
		slow[b.ID] = s.Case != "calm" && i%8 == 3
	}
	moves, tries := newHerds(w), [][]int{}
	for range spreadTo {
		was := make([]int, len(w.backends))
		for i, b := range w.backends {
			was[i] = b.tried
		}
		w.Run(second)
		for i, b := range w.backends {
			was[i] = b.tried - was[i]
		}
		tries = append(tries, was)
		moves.look()
	}
	asked, sum := 0, Sum{}
	for i := range 20 {
		o := w.Over(Tenant(i), spreadFrom, spreadTo)
		asked, sum.Served, sum.Declined = asked+o.Requested, sum.Served+o.Served, sum.Declined+o.Declined
	}
	r.Service, r.Declined = float64(sum.Served)/float64(asked), float64(sum.Declined)/float64(asked)
	for id, part := range w.Shares(0) {
		if slow[id] {
			r.Share += part
		}
	}
	r.Broken = w.Doubled() + w.Late + len(w.Tipped)
	if w.Backlog > w.MaxQueuedLines {
		r.Broken++
	}
	r.Herd = moves.index()
	r.Peak, r.Idle = loads(w, slow, tries)
	total := 0.0
	for _, n := range w.Spoken {
		r.Bytes = max(r.Bytes, float64(n)/spreadTo)
		total += float64(n) / spreadTo
	}
	r.TellsMean = total / float64(s.Controllers)
	return r
}

// loads gives the greatest load of equal backends in any span over their mean, and how many open, warm ones had
// less than a quarter of their part for a span.
func loads(w *World, slow map[string]bool, tries [][]int) (peak float64, idle int) {
	for from := spreadFrom; from+spreadSpan <= spreadTo; from++ {
		byZone := map[int][]float64{}
		sum, size := 0.0, 0.0
		part := make([]float64, len(w.backends))
		for i, b := range w.backends {
			n := 0.0
			for _, second := range tries[from : from+spreadSpan] {
				n += float64(second[i])
			}
			part[i] = n / b.strength()
			sum, size = sum+n, size+b.strength()
			if !slow[b.spec.ID] && b.up == 0 {
				byZone[b.spec.Zone] = append(byZone[b.spec.Zone], part[i])
			}
		}
		for _, all := range byZone { // of a zone: its proxies go there first
			mean := 0.0
			for _, v := range all {
				mean += v / float64(len(all))
			}
			peak = max(peak, slices.Max(all)/mean)
		}
		for i, b := range w.backends {
			if !b.dead && b.up == 0 && part[i] < sum/size/4 {
				idle++
			}
		}
	}
	return peak, idle
}

// herds counts which controllers change the share of a backend the same way.
type herds struct {
	w      *World
	last   []map[string]float64
	by     map[herd]int
	chance *rand.Rand
}

type herd struct {
	second int
	id     string
	up     bool
}

const herdMove = 0.05 // of a share, that is a change

func newHerds(w *World) *herds {
	return &herds{
		w:      w,
		last:   make([]map[string]float64, len(w.control)),
		by:     map[herd]int{},
		chance: rand.New(rand.NewPCG(w.Seed, 99)),
	}
}

func (h *herds) look() {
	now := make([]map[string]float64, len(h.w.control))
	for i := range now {
		now[i] = map[string]float64{}
	}
	for _, p := range h.w.proxies {
		if p.stream == nil {
			continue
		}
		sum := 0.0
		for _, weight := range p.tables[0].weight {
			sum += weight
		}
		for id, weight := range p.tables[0].weight {
			now[p.stream.c.at()][id] += weight / math.Max(sum, 1e-9)
		}
	}
	at := int(h.w.elapsed() / second)
	for i, shares := range now {
		for id, v := range shares {
			if was := h.last[i][id]; was > 0 && math.Abs(v-was) > herdMove*was {
				h.by[herd{at, id, v > was}]++
			}
		}
	}
	h.last = now
}

// index is the most controllers that changed a backend's share the same way within a second, over the most that chance
// gives when as many changes fall anywhere in the 5 s around; of changes that a quarter of the controllers made.
func (h *herds) index() (worst float64) {
	for at, n := range h.by {
		all := 0
		for s := at.second - 2; s <= at.second+2; s++ {
			all += h.by[herd{s, at.id, at.up}]
		}
		if at.second < 5 || all < len(h.w.control)/4 || all < 20 {
			continue
		}
		expected := 0.0
		for range 20 {
			bins := [5]int{}
			for range all {
				bins[h.chance.IntN(5)]++
			}
			expected += float64(slices.Max(bins[:])) / 20
		}
		worst = max(worst, float64(n)/expected)
	}
	return worst
}
