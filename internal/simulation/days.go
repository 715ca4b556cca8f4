package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Zones are those of most days.
var Zones = []string{"north", "west", "south"}

// Plain is three controllers, one of which may be lost, and four carriers.
var Plain = Shape{Zones: Zones, Cores: 3, Proxies: 4, Faults: 1}

// Flows are two kinds that may be repeated and one that may not.
var Flows = []Flow{
	{Name: "page", Host: "a.example", Prefix: "/page/", Service: "pages", Safe: true, Rate: 60,
		Deadline: 3 * time.Second, Timeout: 4 * time.Second},
	{Name: "order", Method: "POST", Host: "a.example", Prefix: "/order/", Service: "orders", Rate: 24,
		Deadline: 4 * time.Second, Timeout: 5 * time.Second, Body: 300},
	{Name: "view", Host: "b.example", Prefix: "/", Service: "views", Safe: true, Rate: 24,
		Deadline: 5 * time.Second, Timeout: 6 * time.Second},
}

// Accounts is a kind whose service is divided by key; it is there on days with Shape.Sharded.
var Accounts = Flow{Name: "account", Host: "c.example", Prefix: "/account/", Service: "accounts", Safe: true, Rate: 40,
	Deadline: 4 * time.Second, Timeout: 5 * time.Second, Keyed: true}

// flows are the kinds of a deployment.
func (w *World) flows() []Flow {
	if w.shape.Sharded {
		return append(slices.Clone(Flows), Accounts)
	}
	return slices.Clone(Flows)
}

func (w *World) isSharded(service string) bool { return w.shape.Sharded && service == Accounts.Service }

// config is NewConfig for the deployment.
func (w *World) config(version uint32) *Config {
	c := NewConfig(version)
	if w.shape.Sharded {
		f := Accounts
		c.Services, c.Sharded = append(c.Services, f.Service), []string{f.Service}
		c.Routes = append(c.Routes, Route{Host: f.Host, Prefix: f.Prefix, Safe: f.Safe, Services: []string{f.Service},
			TimeoutS: f.Timeout.Seconds(), MaxTries: 2})
	}
	return c
}

// departingShare is the part of the requests of a drawn day whose clients leave before their answer.
const departingShare = 0.05

// NewConfig is a configuration that lets the flows through.
func NewConfig(version uint32) *Config {
	c := &Config{Version: version, Services: []string{"pages", "orders", "views", "fresh"}}
	for _, f := range Flows {
		c.Routes = append(c.Routes, Route{Host: f.Host, Prefix: f.Prefix, Safe: f.Safe, Services: []string{f.Service},
			TimeoutS: f.Timeout.Seconds(), MaxTries: 2})
	}
	c.Routes = append(c.Routes, Route{Host: "b.example", Prefix: "/fresh/", Safe: true, Services: []string{"fresh"},
		TimeoutS: 4, MaxTries: 2})
	return c
}

// Begin starts a world with two backends a service and zone, and a configuration, and waits until it serves.
func Begin(seed uint64, shape Shape) *World {
	w := NewWorld(seed, shape)
	w.Start()
	w.Populate()
	time.Sleep(4 * time.Second)
	w.Replace(w.config(1), true, nil, 5*time.Second)
	time.Sleep(3 * time.Second)
	return w
}

// Populate starts the backends.
func (w *World) Populate() {
	each := w.shape.Backends
	if each == 0 {
		each = 2
	}
	for i, f := range w.flows() {
		for z, zone := range w.shape.Zones {
			for n := range each {
				w.Backend(f.Service, zone, fmt.Sprintf("10.%d.1.%d", z, 10*(i+1)+n), 4, workOf(f.Service), false)
			}
		}
	}
}

// faultsOf is how many of so many machines of a core are to be borne here: what a majority leaves, and one of two.
func faultsOf(n int) int {
	if n == 2 {
		return 1
	}
	return (n - 1) / 2
}

func workOf(service string) time.Duration {
	ms := map[string]time.Duration{"pages": 60, "orders": 100, "views": 140, "fresh": 20, "accounts": 80}
	return ms[service] * time.Millisecond
}

// draw is the faults of one day.
type draw struct {
	w       *World
	r       *rand.Rand
	mu      sync.Mutex
	version uint32
	sent    []uint32        // versions
	lost    []time.Duration // for each machine of the core that may be lost, until when one is
	zoned   bool            // a zone is evacuated
	spare   int
	from    []*clients // that probe, one a zone
	Log     []string
}

func (d *draw) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Log = append(d.Log, fmt.Sprintf("%7.3f ", d.w.Now().Seconds())+fmt.Sprintf(format, args...))
}

// losesDisks says whether a drawn day may lose a disk.
func (w *World) losesDisks() bool { return w.shape.Faults > 0 }

// replaces says whether it may lose a machine for good: of two, nobody can tell that from a cut.
func (w *World) replaces() bool { return w.losesDisks() && w.shape.Cores != 2 }

// ShapeOf is the deployment of a drawn day.
func ShapeOf(seed uint64) Shape {
	s := Plain
	s.Spare = 2
	s.Cores = []int{3, 3, 5, 3, 3, 7, 3, 3, 2, 3, 5, 3, 3, 1, 4}[seed%15]
	s.Faults = faultsOf(s.Cores)
	return s
}

// BeginDrawn is Begin for a drawn day: by chance with troubles in the first second.
func BeginDrawn(seed uint64, shape Shape) (w *World, log []string) {
	w = NewWorld(seed, shape)
	w.Start()
	w.Populate()
	if r := w.Rand("dawn", 0); r.IntN(2) == 0 {
		log = w.dawn(r)
	}
	for i, m := range w.Cores() {
		m.clock.Store(int64(time.Duration(seed>>i%3-1) * time.Duration(seed%3600) * time.Second))
	}
	time.Sleep(2 * time.Second)
	w.Replace(w.config(1), true, nil, 40*time.Second)
	time.Sleep(7 * time.Second)
	return w, log
}

// Drawn plays a day of a span with faults that the seed draws, `mean` apart; it returns what was done.
func Drawn(w *World, span, mean time.Duration) []string {
	d := &draw{w: w, r: w.Rand("faults", 0), version: 1, lost: make([]time.Duration, w.shape.Faults)}
	for z, zone := range w.shape.Zones {
		d.from = append(d.from, w.clients(zone, z))
	}
	stop, probed := make(chan struct{}), make(chan struct{})
	aimed := d.aimed(2*int(w.seed), 2)
	extra := Flow{Name: "extra", Host: "a.example", Prefix: "/extra-", Service: "pages", Safe: true, Rate: 8,
		Deadline: 2 * time.Second, Timeout: 4 * time.Second, Probe: true}
	flows := append(w.flows(), extra)
	for i := range len(flows) - 1 {
		flows[i].Departing = departingShare
	}
	w.Go(func() { w.LoadUntil(stop, flows...) })
	w.Go(func() { d.probe(probed) })
	kinds := [][2]int{{0, 22}, {12, 22}, {12, 20}, {0, 0}}[d.r.IntN(4)] // troubles near the aimed ones hide breaches
	end := w.Now() + span
	for {
		time.Sleep(time.Duration(d.r.ExpFloat64() * float64(mean)))
		if w.Now() > end {
			break
		}
		if kinds[1] > 0 {
			d.one(kinds[0] + d.r.IntN(kinds[1]-kinds[0]))
		}
	}
	<-aimed
	if d.r.IntN(2) == 0 {
		d.close()
	}
	time.Sleep(9 * time.Second)
	close(stop)
	close(probed)
	if w.Ledger.Closing < 0 {
		w.Replace(d.next(d.r), true, nil, w.Ledger.Bounds.Ack.Duration())
	}
	w.ReadBack()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Log
}

func pick[T any](r *rand.Rand, all []T) (one T) {
	if len(all) > 0 {
		one = all[r.IntN(len(all))]
	}
	return one
}

// span is between a and b seconds.
func (d *draw) span(a, b float64) time.Duration {
	return time.Duration((a + d.r.Float64()*(b-a)) * float64(time.Second))
}

// core gives the core's machine that may be lost now, for a span; nil: none may be.
func (d *draw) core(span time.Duration) *Machine {
	m := pick(d.r, d.w.Cores())
	if len(d.lost) == 0 || !d.take(span, 1) {
		return nil
	}
	return m
}

// one draws a fault. All is drawn before it begins, so that what the programs do shifts nothing.
func (d *draw) one(kind int) {
	w, r := d.w, d.r
	span := d.span(0.2, 5)
	b := pick(r, w.Backends())
	m := pick(r, w.Proxies)
	switch kind {
	case 0:
		d.log("kill %s", m.Name)
		w.Go(func() { w.Kill(m); time.Sleep(span / 4); w.Run(m) })
	case 1:
		d.log("power %s for %v", m.Name, span)
		w.Go(func() { w.Power(m); time.Sleep(span); w.PowerOn(m) })
	case 2:
		d.log("term %s", m.Name)
		w.Go(func() { w.Term(m); time.Sleep(span / 4); w.Run(m) })
	case 3:
		d.log("freeze %s for %v", m.Name, span)
		w.Go(func() { w.Freeze(m, span) })
	case 4:
		d.log("reset %s", m.Name)
		w.Reset(m)
	case 5:
		both := r.IntN(2) == 0
		d.log("cut %s from the core for %v, both ways %t", m.Name, span, both)
		var joins []func()
		for _, c := range w.Cores() {
			joins = append(joins, w.Cut(m, c, both))
		}
		w.Go(func() { time.Sleep(span); each(joins) })
	case 6, 7:
		if c := d.core(span); c != nil {
			how := r.IntN(5)
			d.log(
				"%s: %s for %v",
				c.Name,
				[]string{"kill", "power", "power, disk wiped", "power, disk torn", "freeze"}[how],
				span,
			)
			w.Go(func() { d.harm(c, how, span) })
		}
	case 8:
		if c := d.core(span); c != nil {
			both := r.IntN(2) == 0
			d.log("cut %s from the core for %v, both ways %t", c.Name, span, both)
			join := w.Isolate(c, both)
			w.Go(func() { time.Sleep(span); join() })
		}
	case 9:
		if c := d.core(span); c != nil {
			full := r.IntN(2) == 0
			d.log("disk of %s for %v, full %t (else it hangs)", c.Name, span, full)
			heal := w.BadDisk(c, full, span)
			w.Go(func() { time.Sleep(span); heal() })
		}
	case 10:
		if d.take(span, len(d.lost)) { // disks are kept
			d.log("kill all")
			w.Go(func() { w.killAll(false, span/5) })
		}
	case 11:
		zone := pick(r, w.shape.Zones)
		if len(d.lost) > 0 && d.take(span, len(d.lost)) {
			d.log("%s without power for %v", zone, span)
			w.Go(func() { d.zone(zone, span) })
		}
	case 12:
		d.log("crash %s", b.ID)
		reuse := r.IntN(2) == 0
		service := pick(r, []string{"pages", "orders", "views"})
		w.Go(func() {
			b.Crash()
			if time.Sleep(w.Ledger.Bounds.AddrReuse.Duration() + span/4); reuse {
				d.log("%s at the address of %s", service, b.ID)
				w.Backend(service, b.Zone, strings.TrimSuffix(b.Address, ":8080"), 4, workOf(service), true)
			} else {
				d.fresh(b)
			}
		})
	case 13, 14:
		d.log("replace %s", b.ID)
		w.Go(func() { d.fresh(b); time.Sleep(span / 4); b.Drain() })
	case 15, 16:
		act := Act(1 + r.IntN(int(Lost)))
		odds, salt := 2+r.IntN(8), r.Uint64()
		d.log("%s does %d in one of %d for %v", b.ID, act, odds, span)
		b.script(acts(odds, salt, act))
		w.Go(func() { time.Sleep(span); b.script(nil) })
	case 17, 18:
		d.change(1)
	case 19:
		d.change(2)
	case 20:
		c := d.next(r)
		c.Routes[0].Services = []string{pick(r, []string{"nobody", "pages"})}
		if c.Routes[0].Services[0] == "pages" {
			c.Routes[0].TimeoutS = 700
		}
		d.log("an invalid configuration %08x", c.Version)
		w.Go(func() { w.Replace(c, false, nil, 4*time.Second) })
	case 21:
		if d.claim() {
			zone := pick(r, w.shape.Zones)
			d.log("evacuate %s", zone)
			from, to := pick(r, w.Cores()), pick(r, w.Cores())
			w.Go(func() {
				w.Evacuate(zone, true, from)
				time.Sleep(w.Ledger.Bounds.Evacuate.Duration() + span)
				d.cool(zone)
				time.Sleep(200 * time.Millisecond)
				d.log("take back %s", zone)
				w.Evacuate(zone, false, to)
			})
		}
	}
}

func each(all []func()) {
	for _, f := range all {
		f()
	}
}

func (d *draw) harm(m *Machine, how int, span time.Duration) {
	w := d.w
	if how == 2 && !w.losesDisks() {
		how = 1
	}
	switch how {
	case 0:
		w.Kill(m)
		time.Sleep(span / 4)
		w.Run(m)
		return
	case 4:
		w.Freeze(m, span)
		return
	case 1, 2, 3:
		w.Power(m)
	}
	switch how {
	case 2:
		w.Wipe(m)
	case 3:
		w.Tear(m, 3, true)
	}
	time.Sleep(span)
	w.PowerOn(m)
}

func (d *draw) zone(zone string, span time.Duration) {
	w := d.w
	var all []*Machine
	for _, m := range slices.Concat(w.Cores(), w.Proxies) {
		if m.Zone == zone && w.runs(m) {
			w.Power(m)
			all = append(all, m)
		}
	}
	var lost []*Backend
	for _, b := range w.Backends() {
		if b.Zone == zone {
			w.gone(b)
			w.Net.Dark(b.host.IP, true)
			b.host.Power()
			lost = append(lost, b)
		}
	}
	time.Sleep(span)
	for _, m := range all {
		w.PowerOn(m)
	}
	for _, b := range lost {
		w.Net.Dark(b.host.IP, false)
		w.Backend(b.Service, b.Zone, b.host.IP, b.Slots, b.Work, true)
	}
}

// fresh starts a backend in place of another, at an address of its own.
func (d *draw) fresh(b *Backend) {
	d.mu.Lock()
	d.spare++
	n := d.spare
	d.mu.Unlock()
	z := slices.Index(d.w.shape.Zones, b.Zone)
	d.w.Backend(b.Service, b.Zone, fmt.Sprintf("10.%d.3.%d", z, n), b.Slots, b.Work, true)
}

// next is a configuration of the next version, by chance unlike the last.
func (d *draw) next(r *rand.Rand) *Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += uint32(1 + r.IntN(3))
	d.sent = append(d.sent, d.version)
	c := d.w.config(d.version)
	for _, v := range d.sent { // what such a request meets tells whether a version is in force that is at least that
		c.Routes = append(c.Routes, Route{Host: "a.example", Prefix: mark(v), Safe: true, Services: []string{"pages"},
			TimeoutS: 4, MaxTries: 2})
	}
	c.Routes[0].Services = pick(r, [][]string{{"pages"}, {"views"}, {"pages", "views"}})
	for k := range 36 { // the flow "extra" goes to one of them
		if r.IntN(2) == 0 {
			c.Routes = append(
				c.Routes,
				Route{Host: "a.example", Prefix: fmt.Sprintf("/extra-%s", string("0123456789abcdefghijklmnopqrstuvwxyz"[k])),
					Safe: true, Services: []string{"pages"}, TimeoutS: 4, MaxTries: 2},
			)
		}
	}
	return c
}

// change sends configurations at the same time, to controllers of their own.
func (d *draw) change(n int) {
	for range n {
		c, at := d.next(d.r), pick(d.r, d.w.Cores())
		d.log("configuration %08x at %s", c.Version, at.Name)
		d.w.Go(func() { d.w.Replace(c, true, at, 8*time.Second) })
	}
}

// close is the closing fault, just after a configuration was acknowledged.
func (d *draw) close() {
	w := d.w
	d.reserveAll(2*time.Second, len(d.lost))
	c, how, span := d.next(d.r), d.r.IntN(4), d.span(0.2, 1)
	all := d.shuffled(d.r)
	if o := w.Replace(c, true, all[0], 5*time.Second); o.Acked > 0 && o.By != "" {
		if k := slices.Index(all, w.Machine(o.By)); k > 0 {
			all[0], all[k] = all[k], all[0]
		}
	}
	if len(d.lost) == 0 || !w.losesDisks() {
		how %= 2
	}
	w.Ledger.do(func() { w.Ledger.Closing = w.Now() })
	d.log("the day closes: %s", []string{"all without power", "all killed", all[0].Name + " loses its disk",
		fmt.Sprint(len(d.lost), " lose their disks, all others power")}[how])
	switch how {
	case 0:
		w.killAll(true, span)
	case 1:
		w.killAll(false, span)
	case 2:
		d.harm(all[0], 2, span)
	default:
		w.Go(func() {
			for _, m := range all[:len(d.lost)] {
				if w.runs(m) {
					w.Power(m)
					w.Wipe(m)
					w.Go(func() { time.Sleep(span); w.PowerOn(m) })
				}
			}
		})
		w.killAll(true, span)
	}
}
