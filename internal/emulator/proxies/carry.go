// Package proxies plays the carriers of a gateway in virtual time: clients that come, give up and come again, carriers
// with the settler that runs in service and the zones' real decisions beside it, and backends with slots and queues. It
// measures what a way to choose a backend earns against one central picture with the true state. The same seed gives
// the same arrivals and works for every way, and the same day twice. Nothing here runs beside anything else.
//
// What it leaves out: processor time, bodies, links that fill up, carriers and controllers that fail, backends that
// answer wrongly. A zone that is dark has its backends dark only.
package proxies

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	ms = time.Millisecond

	// Lead is how long all runs before the first request comes.
	Lead = 8 * time.Second

	inZone          = 100 * time.Microsecond // one way
	acrossZone      = ms
	toClient        = 3 * ms
	handshake       = ms // of a backend, a new connection
	slowStartFactor = 2.0
	tiredFactor     = 1.2 // slower on the last slot, those that tire
	maxWork         = 6   // times the mean
	tailPart        = 0.01
	tailTimes       = 3
	waveSwing       = 0.15
	wavePeriod      = 11 * time.Second
	latePart        = 0.3 // of the worth, for an answer after the aim
)

// Kind is a kind of request; each has a service of its own.
type Kind struct {
	Name                    string
	Work                    time.Duration // mean, at speed 1
	Spread                  float64       // of the work, relative
	LatencyTarget, Deadline time.Duration
	Safe                    bool
	Value                   float64
	Priority                int
	Fresh                   bool // clients open a connection for each
	Slots, Queue            int  // of each of the service's backends
	Backends                int  // the mean number
	SlowStartRate           float64
	SlowStart               time.Duration
	MaxConns                int
	ClientTries             int // beside the first
	SpeedLow, High          float64
	Tire                    bool // a third of the backends slow down when full
}

// Kinds are the three that are played.
func Kinds() []Kind {
	base := Kind{
		Slots:         6,
		Queue:         24,
		SlowStartRate: 5.9,
		SlowStart:     3 * time.Second,
		MaxConns:      120,
		ClientTries:   1,
		SpeedLow:      0.7,
		High:          1.5,
		Tire:          true,
		Value:         1,
		Safe:          true,
		Priority:      2,
		Fresh:         true,
		Spread:        0.3,
	}
	a, b, c := base, base, base
	a.Name, a.Work, a.LatencyTarget, a.Deadline, a.Backends = "fetch", 220*ms, 800*ms, 3*time.Second, 13
	b.Name, b.Work, b.LatencyTarget, b.Deadline, b.Backends = "book", 290*ms, time.Second, 4*time.Second, 6
	b.Safe, b.Value, b.Priority, b.Fresh = false, 2, 1, false
	c.Name, c.Work, c.LatencyTarget, c.Deadline = "preview", 550*ms, 2*time.Second, 8*time.Second
	c.Backends, c.Spread = 11, 0.5
	return []Kind{a, b, c}
}

// Shape is what a day is drawn from.
type Shape struct {
	Seed    uint64
	Kinds   []Kind
	Zones   int
	Proxies int
	Day     Day
}

// Day is a load and what goes wrong.
type Day struct {
	Name          string
	Use           float64 // of the capacity of all, at the mean of the wave
	Length        time.Duration
	From          time.Duration // the trouble, from the first request on
	FaultDuration time.Duration
	Dark          int     // zones
	Crash         float64 // part of the first service's backends that is killed, and comes back as new ones
	Slow          float64 // part of all backends that is slower
	SlowFactor    float64
	Abuse         float64 // part of the clients that come again at once, and more often
	AbuseX        int     // times as often
}

// Days are the ones that the lab plays.
func Days() []Day {
	const length, from, duration = 24 * time.Second, 8 * time.Second, 5 * time.Second
	return []Day{
		{Name: "calm", Use: 0.5, Length: length},
		{Name: "busy", Use: 0.85, Length: length},
		{Name: "overload", Use: 1.25, Length: length},
		{Name: "zone dark", Use: 0.55, Length: length, From: from, FaultDuration: duration, Dark: 1},
		{Name: "two dark", Use: 0.55, Length: length, From: from, FaultDuration: duration, Dark: 2},
		{Name: "crash", Use: 0.55, Length: length, From: from, FaultDuration: duration, Crash: 0.5},
		{Name: "slow third", Use: 0.6, Length: length, From: from, FaultDuration: duration, Slow: 1.0 / 3, SlowFactor: 3},
		{Name: "storm", Use: 1.0, Length: length, From: from, FaultDuration: duration, Abuse: 0.3, AbuseX: 3},
	}
}

// request is one of a client's, with all that is drawn for it.
type request struct {
	id       int
	at       time.Duration
	kind     int
	zone     int
	proxy    int
	work     time.Duration
	abuse    bool
	chance   *rand.Rand // its own, so that the ways to choose do not disturb each other's draws
	tries    int
	refusedE bool // the first refusal came inside a quarter of the aim
	refused  bool
	inFlight bool
	done     bool
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // container/heap passes any
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{} // what it held must not stay
	*e = (*e)[:last]
	return x
}

// world is a day under one way to choose.
type world struct {
	Shape
	now      time.Duration
	seq      uint64
	queue    events
	way      way
	backends []*backend // those of a new life are added
	proxies  []*proxy
	home     [][]int // carriers by zone
	abusing  bool
	end      time.Duration // of what repeats
	s        Sum
	ledger   ledger
}

func (w *world) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, f})
}

func (w *world) after(d time.Duration, f func()) { w.at(w.now+d, f) }

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// delay is one way between zones.
func delay(a, b int) time.Duration {
	if a == b {
		return inZone
	}
	return acrossZone
}

// draw makes the backends, and the requests in their order.
func (w *world) draw() []*request {
	chance := rand.New(rand.NewPCG(w.Seed, 1))
	parts := make([]float64, w.Zones) // of the clients
	sum := 0.0
	for z := range parts {
		parts[z] = 0.85 + 0.3*chance.Float64()
		sum += parts[z]
	}
	w.home = make([][]int, w.Zones)
	for i := range w.Proxies {
		w.home[i%w.Zones] = append(w.home[i%w.Zones], i)
	}
	clients := make([][]int, w.Zones) // the carrier of each, by a hash: uneven
	for z := range clients {
		for range 12 * len(w.home[z]) {
			clients[z] = append(clients[z], w.home[z][chance.IntN(len(w.home[z]))])
		}
	}
	var all []*request
	for k, kind := range w.Kinds {
		n := max(int(math.Round(float64(kind.Backends)*(0.85+0.3*chance.Float64()))), 1)
		capacity, first := 0.0, chance.IntN(w.Zones)
		for i := range n {
			b := &backend{w: w, index: len(w.backends), kind: k, zone: (first + i) % w.Zones, slots: kind.Slots,
				speed: kind.SpeedLow + (kind.High-kind.SpeedLow)*chance.Float64(), slow: 1, tires: kind.Tire && i%3 == 0}
			b.id = fmt.Sprintf("%s-%02d", kind.Name, i)
			b.address = b.id
			w.backends = append(w.backends, b)
			capacity += float64(b.slots) * b.speed
		}
		rate := w.Day.Use * capacity / w.meanWork(k).Seconds()
		phase := 2 * math.Pi * chance.Float64()
		sigma := math.Sqrt(math.Log(1 + kind.Spread*kind.Spread))
		for t := time.Duration(0); ; {
			t += time.Duration(chance.ExpFloat64() / (rate * (1 + waveSwing)) * float64(time.Second))
			if t >= w.Day.Length {
				break
			}
			wave := 1 + waveSwing*math.Sin(phase+2*math.Pi*float64(t)/float64(wavePeriod))
			if chance.Float64()*(1+waveSwing) > wave {
				continue
			}
			x, z := chance.Float64()*sum, 0
			for ; z < w.Zones-1 && x > parts[z]; z++ {
				x -= parts[z]
			}
			work := float64(kind.Work) * math.Exp(sigma*chance.NormFloat64()-sigma*sigma/2)
			if chance.Float64() < tailPart {
				work *= tailTimes
			}
			all = append(all, &request{at: Lead + t, kind: k, zone: z, proxy: clients[z][chance.IntN(len(clients[z]))],
				work: time.Duration(min(work, maxWork*float64(kind.Work))), abuse: chance.Float64() < w.Day.Abuse})
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	for i, r := range all {
		r.id, r.chance = i, rand.New(rand.NewPCG(w.Seed, uint64(1000+i)))
	}
	return all
}

func (w *world) meanWork(k int) time.Duration {
	return time.Duration(float64(w.Kinds[k].Work) * (1 + tailPart*(tailTimes-1)))
}

// Play plays a day one way.
func Play(s Shape, name string) Sum {
	w := &world{Shape: s, s: Sum{Way: name, Day: s.Day.Name, Kinds: make([]Tally, len(s.Kinds)),
		Reasons: map[string]int{}}}
	w.end = Lead + s.Day.Length
	w.s.Windows = make([]Tally, int(s.Day.Length/Window))
	requests := w.draw()
	w.way = newWay(name, w)
	for i := range w.Proxies {
		w.proxies = append(w.proxies, &proxy{w: w, index: i, zone: i % w.Zones, conns: map[*backend]*conns{}})
	}
	w.way.begin()
	w.injectFaults()
	for _, r := range requests {
		w.at(r.at, func() { w.send(r) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // container/heap passes any
		w.now = e.at
		e.f()
	}
	w.close(requests)
	return w.s
}

// injectFaults lets the day's happen.
func (w *world) injectFaults() {
	d, chance := w.Day, rand.New(rand.NewPCG(w.Seed, 2))
	from := Lead + d.From
	to := from + d.FaultDuration
	first := chance.IntN(w.Zones)
	for _, b := range slices.Clone(w.backends) {
		if (b.zone-first+w.Zones)%w.Zones < d.Dark {
			w.at(from, func() { b.down(true) })
			w.at(to, func() { b.back() })
		}
	}
	if d.Crash > 0 {
		var all []*backend
		for _, b := range w.backends {
			if b.kind == 0 {
				all = append(all, b)
			}
		}
		for _, i := range chance.Perm(len(all))[:int(d.Crash*float64(len(all)))] {
			w.at(from, func() { all[i].down(false) })
			w.at(to, func() { all[i].reborn() })
		}
	}
	for _, i := range chance.Perm(len(w.backends))[:int(d.Slow*float64(len(w.backends)))] {
		w.at(from, func() { w.backends[i].slow = d.SlowFactor })
		w.at(to, func() { w.backends[i].slow = 1 })
	}
	if d.Abuse > 0 {
		w.at(from, func() { w.abusing = true })
		w.at(to, func() { w.abusing = false })
	}
}
