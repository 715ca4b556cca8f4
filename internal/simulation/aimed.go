package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"elmfold/internal/proxy/balancer"
)

// aims are troubles that each meet one guard at the moment at which it is needed; a day plays some of them beside what
// is drawn freely, which alone meets such a moment once in hundreds of days.
var aims = []aimedCase{
	{"written alone", (*draw).alone, false, 3},
	{"harm at the acknowledgement", (*draw).afterAck, false, 3},
	{"core in halves", (*draw).halves, false, 3},
	{"two operators", (*draw).race, false, 2},
	{"a drain's acknowledger goes", (*draw).drains, false, 3},
	{"addresses under other services", (*draw).reuse, false, 1},
	{"term with long work", (*draw).terms, false, 1},
	{"a storm of broken answers", (*draw).storm, false, 1},
	{"owners of a cold one cut off", (*draw).owners, false, 1},
	{"evacuations that overlap", (*draw).overlap, true, 1},
	{"an old word of a zone", (*draw).outdatedMessage, true, 3},
	{"an old copy of a disk", (*draw).oldCopy, false, 3},
	{"a long cut", (*draw).longCut, true, 2},
	{"one number, two bodies", (*draw).oneNumber, false, 1},
	{"replaced, then a second loss", (*draw).replaced, false, 3},
	{"answers lost", (*draw).lostAnswers, true, 1},
	{"a long cut of the seeds", (*draw).longCut, true, 3},
	{"removed after SIGTERM", (*draw).removed, false, 3},
	{"wiped, then a second loss", (*draw).wipedTwice, false, 3},
	{"clocks an hour apart", (*draw).clocks, true, 1},
	{"a voter that is out wakes", (*draw).wakes, false, 3},
	{"leaves with a half-done value", (*draw).leaver, false, 3},
	{"many changes, one down", (*draw).many, false, 3},
	{"power in a change of voters", (*draw).powerInChange, false, 3},
	{"a bad disk beside a change of voters", (*draw).badDisk, false, 3},
	{"a new one, another frozen", (*draw).frozen, false, 3},
	{"seeds cut from each other", (*draw).partitionSeeds, false, 2},
}

// aimedCase is one of them.
type aimedCase struct {
	name      string
	play      func(d *draw, r *rand.Rand)
	zone      bool // it evacuates
	minVoters int  // machines in the core
}

// aimed plays n aims one after the other; they take their turns by the day's number, so that few days meet them all.
func (d *draw) aimed(first, n int) (done chan struct{}) {
	done = make(chan struct{})
	for k := first; k < first+n; k++ { // the free draw evacuates on other days
		d.zoned = d.zoned || aims[k%len(aims)].zone
	}
	d.w.Go(func() {
		defer close(done)
		for k := first; k < first+n; k++ {
			if a := aims[k%len(aims)]; len(d.w.Cores()) >= a.minVoters {
				d.log("aimed: %s", a.name)
				a.play(d, d.w.Rand("aim", uint64(k)))
			}
		}
	})
	return done
}

// reserve waits until the core may lose something, and takes that for a span.
func (d *draw) reserve(span time.Duration) { d.reserveAll(span, 1) }

// reserveAll is reserve for so many machines at once, or as many as are to be borne.
func (d *draw) reserveAll(span time.Duration, n int) {
	for !d.take(span, n) {
		time.Sleep(100 * time.Millisecond)
	}
}

// take says whether the core may lose so many machines for a span from now on, and takes that.
func (d *draw) take(span time.Duration, n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, free := d.w.Now(), []int{}
	for i, to := range d.lost {
		if now >= to {
			free = append(free, i)
		}
	}
	if len(free) < min(n, len(d.lost)) {
		return false
	}
	for _, i := range free[:min(n, len(free))] {
		d.lost[i] = now + span + d.w.Ledger.Bounds.CatchUp.Duration() + 200*time.Millisecond
	}
	return true
}

// claim says whether the day's zone may be evacuated from here.
func (d *draw) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.zoned
	d.zoned = true
	return !was
}

// mark is the prefix of requests that only versions from v on let through.
func mark(v uint32) string { return fmt.Sprintf("/v-%04x/", v) }

// probe asks for the newest versions' marks until stop.
func (d *draw) probe(stop chan struct{}) {
	r := d.w.Rand("probe", 0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(r, 5*time.Millisecond, 45*time.Millisecond)):
		}
		d.mu.Lock()
		k := len(d.sent)
		if k == 0 {
			d.mu.Unlock()
			continue
		}
		v := d.sent[max(k-1-r.IntN(3), 0)]
		d.mu.Unlock()
		d.show(r, v)
	}
}

// show asks for a version's mark once.
func (d *draw) show(r *rand.Rand, v uint32) {
	f := Flow{Name: "probe", Host: "a.example", Prefix: mark(v), Service: "pages", Safe: true,
		Deadline: 2 * time.Second, Timeout: 4 * time.Second, Probe: true, Tries: 1}
	own, c := rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), pick(r, d.from)
	d.w.Go(func() { c.request(f, own) })
}

// between draws a span.
func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)))
}

// moment is shortly after an acknowledgement.
func moment(r *rand.Rand) { time.Sleep(between(r, 0, 4*time.Millisecond)) }

func (d *draw) shuffled(r *rand.Rand) []*Machine {
	all := slices.Clone(d.w.Cores())
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// ask asks all controllers now and then for a span.
func (d *draw) ask(r *rand.Rand, span time.Duration) {
	for end := d.w.Now() + span; d.w.Now() < end; {
		d.w.AskCores()
		time.Sleep(between(r, time.Millisecond, 120*time.Millisecond))
	}
}

// alone: one that reaches no other is given a version before it knows that, and then loses it. It may neither
// acknowledge it nor show it.
func (d *draw) alone(r *rand.Rand) {
	w := d.w
	d.reserve(5 * time.Second)
	a := d.shuffled(r)[0]
	join := w.Isolate(a, r.IntN(2) == 0)
	time.Sleep(between(r, 0, 800*time.Millisecond))
	o := w.Replace(d.next(r), true, a, 600*time.Millisecond)
	d.log("%s alone has %08x, acknowledged %t", a.Name, o.Config.Version, o.Acked > 0)
	moment(r)
	w.Power(a)
	w.Wipe(a)
	join()
	d.ask(r, time.Second)
	w.PowerOn(a)
	d.ask(r, 2*time.Second)
}

// afterAck: one that has just acknowledged a version, or one that made it safe, loses it, while a third has no part
// in it; what is left is asked at once.
func (d *draw) afterAck(r *rand.Rand) {
	w := d.w
	d.reserve(7 * time.Second)
	all := d.shuffled(r)
	a, b, c := all[0], all[1], all[2]
	weak, join, heal := r.IntN(4), func() {}, func() {}
	switch weak {
	case 0, 1:
		heal = w.BadDisk(c, weak == 1, 4*time.Second)
	case 2:
		join = w.Isolate(c, true)
	}
	o := w.Replace(d.next(r), true, a, 3*time.Second)
	if o.By == b.Name {
		a, b = b, a
	}
	victim, other := a, b
	if r.IntN(2) == 0 {
		victim, other = b, a
	}
	how, apart := r.IntN(4), r.IntN(3) > 0
	d.log("%08x acknowledged %t by %s, %s weak by %d; %s loses power and disk (%d), cut from %s %t", o.Config.Version,
		o.Acked > 0, o.By, c.Name, weak, victim.Name, how, other.Name, apart)
	moment(r)
	w.Power(victim)
	switch how {
	case 0, 1:
		w.Wipe(victim)
	case 2:
		w.Tear(victim, 1+r.IntN(3), true)
	}
	cut := func() {}
	if apart {
		cut = w.Cut(victim, other, true)
	}
	join()
	time.Sleep(between(r, 20*time.Millisecond, 600*time.Millisecond))
	w.PowerOn(victim)
	d.ask(r, 1800*time.Millisecond)
	cut()
	heal()
	d.ask(r, time.Second)
}

// halves: one is cut off, or half of them from the other half, for longer or less long than it takes to notice, and
// both sides are written to and asked. All others reach both sides.
func (d *draw) halves(r *rand.Rand) {
	w := d.w
	d.reserve(6 * time.Second)
	all := d.shuffled(r)
	var join func()
	if r.IntN(2) == 0 {
		join = w.Halve(all[:len(all)/2])
	} else {
		join = w.Isolate(all[0], r.IntN(2) == 0)
	}
	time.Sleep(between(r, 0, 4*time.Second))
	for _, m := range all[:2] {
		c := d.next(r)
		d.log("%08x at %s", c.Version, m.Name)
		w.Go(func() { w.Replace(c, true, m, 3*time.Second) })
		time.Sleep(between(r, 0, 5*time.Millisecond))
	}
	d.ask(r, between(r, 0, 2*time.Second))
	join()
	d.ask(r, time.Second)
}

// race: two operators at the same moment, again and again; answers to carriers may overtake each other.
func (d *draw) race(r *rand.Rand) {
	w := d.w
	d.reserve(5 * time.Second)
	for range 8 {
		all := d.shuffled(r)
		one, other := d.next(r), d.next(r)
		w.Go(func() { w.Replace(one, true, all[0], 4*time.Second) })
		hangs := r.IntN(3) > 0
		time.Sleep(between(r, 1200*time.Microsecond, 2600*time.Microsecond))
		w.Go(func() { w.Replace(other, true, all[1], 4*time.Second) })
		// It takes 4.2 ms to reach the first, and one more until its disk has it: it says the one version on and on.
		if time.Sleep(4*time.Millisecond - 600*time.Microsecond); hangs {
			all[0].Disk.Hang(300 * time.Millisecond)
		}
		time.Sleep(4 * time.Millisecond)
		for range 30 {
			d.show(r, other.Version)
			time.Sleep(200 * time.Microsecond)
		}
		w.AskCores()
		time.Sleep(270 * time.Millisecond)
		for range 20 {
			d.show(r, other.Version)
			time.Sleep(8 * time.Millisecond)
		}
		time.Sleep(between(r, 50*time.Millisecond, 400*time.Millisecond))
	}
}

// drains: the controller that acknowledged a word of leaving is gone the next moment, and the backend stays for long.
func (d *draw) drains(r *rand.Rand) {
	w := d.w
	d.reserve(7 * time.Second)
	at := make(chan string, 1)
	all := w.Backends()
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, b := range all[:min(3, len(all))] {
		w.Go(func() {
			b.leave(5*time.Second, func(by string) {
				select {
				case at <- by:
				default:
				}
			})
		})
	}
	wait := between(r, 0, 4*time.Millisecond)
	pause := between(r, 5*time.Second, 6*time.Second)
	select {
	case by := <-at:
		m := w.Machine(w.machineAt(by))
		time.Sleep(wait)
		d.log("%s acknowledged a drain and loses power", m.Name)
		w.Power(m)
		time.Sleep(pause)
		w.PowerOn(m)
	case <-time.After(pause): // nobody did
	}
}

// reuse: backends' addresses come again under another service while nobody hears the new ones' beats.
func (d *draw) reuse(r *rand.Rand) {
	w := d.w
	for range 3 {
		b := pick(r, w.Backends())
		service := pick(r, slices.DeleteFunc([]string{"pages", "orders", "views"},
			func(s string) bool { return s == b.Service }))
		deaf := r.IntN(2) == 0
		d.log("%s comes at the address of %s, its beats late %t", service, b.ID, deaf)
		w.Go(func() {
			d.fresh(b)
			b.Crash()
			time.Sleep(w.Ledger.Bounds.AddrReuse.Duration())
			if deaf {
				for _, c := range w.Cores() {
					w.Net.Cut(b.host.IP, c.IP)
				}
			}
			w.Backend(service, b.Zone, b.host.IP, 4, workOf(service), true)
			time.Sleep(3 * time.Second)
			for _, c := range w.Cores() {
				w.Net.Join(b.host.IP, c.IP)
			}
		})
		time.Sleep(between(r, 0, 300*time.Millisecond))
	}
	time.Sleep(6 * time.Second)
}

// acts is a script that does one of some acts in one of so many requests. The request alone decides, as the order in
// which requests of one moment come is none that a seed fixes.
func acts(odds int, salt uint64, them ...Act) func(id string) Act {
	return func(id string) Act {
		if h := sum([]byte(id)) ^ salt; h%uint64(odds) == 0 {
			return them[h>>32%uint64(len(them))]
		}
		return Proper
	}
}

// some lets the backends of a service do an act in one of so many requests; the function ends it.
func (d *draw) some(r *rand.Rand, service string, odds int, them ...Act) (end func()) {
	var all []*Backend
	salt := r.Uint64()
	for _, b := range d.w.Backends() {
		if b.Service == service {
			all = append(all, b)
			b.script(acts(odds, salt^sum([]byte(b.ID)), them...))
		}
	}
	return func() {
		for _, b := range all {
			b.script(nil)
		}
	}
}

// terms: carriers are asked to end while backends take seconds.
func (d *draw) terms(r *rand.Rand) {
	w := d.w
	ends := []func(){d.some(r, "orders", 4, Slow), d.some(r, "views", 6, Slow)}
	m := pick(r, w.Proxies)
	time.Sleep(time.Second)
	d.log("term %s with long work", m.Name)
	w.Term(m)
	time.Sleep(between(r, 300*time.Millisecond, time.Second)) // else its start would excuse what its end broke
	w.Run(m)
	each(ends)
}

// storm: most of what a service answers is broken, and much of another's is cut short.
func (d *draw) storm(r *rand.Rand) {
	end, too := d.some(r, "pages", 1, Snap, Short, Snap, Garble, Proper), d.some(r, "views", 3, Short)
	time.Sleep(11 * time.Second)
	end()
	too()
}

// owners: the carrier that alone may send to a cold backend is cut off, then the one that came after it. It goes on
// serving its clients; its right to the cold one ends by its own clock.
func (d *draw) owners(r *rand.Rand) {
	w := d.w
	zone := pick(r, w.shape.Zones)
	b := w.Backend("fresh", zone, fmt.Sprintf("10.%d.4.1", slices.Index(w.shape.Zones, zone)), 8, workOf("fresh"), true)
	f := Flow{Name: "fresh", Host: "b.example", Prefix: "/fresh/", Service: "fresh", Safe: true, Rate: 120,
		Deadline: time.Second, Timeout: 4 * time.Second, Probe: true, Tries: 1}
	w.Go(func() { w.Load(13*time.Second, f) })
	time.Sleep(2 * time.Second)
	left := slices.Clone(w.Proxies)
	var joins []func()
	for range 2 {
		var best *Machine
		for _, near := range []bool{true, false} {
			for _, m := range left {
				if best == nil && (!near || m.Zone == zone) ||
					best != nil && near == (best.Zone == zone) && (!near || m.Zone == zone) &&
						balancer.RendezvousHash(m.Name, b.ID) > balancer.RendezvousHash(best.Name, b.ID) {
					best = m
				}
			}
		}
		left = slices.DeleteFunc(left, func(m *Machine) bool { return m == best })
		d.log("%s, which owns %s, is cut off", best.Name, b.ID)
		for _, c := range w.Cores() {
			joins = append(joins, w.Cut(best, c, true))
		}
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	each(joins)
	b.Crash()
}

// refill ends an evacuation; the backends may be cold when the zone is taken back.
func (d *draw) refill(zone string, at *Machine) {
	d.cool(zone)
	time.Sleep(200 * time.Millisecond)
	d.w.Evacuate(zone, false, at)
}

// cool makes a zone's backends cold, if it is known to be empty: one that is sent to tells of it with its next beat
// only.
func (d *draw) cool(zone string) {
	empty := false
	d.w.Ledger.do(func() {
		for _, o := range d.w.Ledger.Orders {
			empty = empty ||
				o.Zone == zone && o.Begin && o.Acked > 0 && d.w.Now() > o.Acked+d.w.Ledger.Bounds.Evacuate.Duration()
		}
	})
	for _, b := range d.w.Backends() {
		if b.Zone == zone && empty {
			d.w.StartSlow(b, 4*time.Second)
		}
	}
}

// partition is longer than an order may come again: nearer, nobody can tell two operators' orders from one's that is
// repeated.
func (d *draw) partition(r *rand.Rand) {
	least := d.w.Ledger.Bounds.Ack.Duration() + 1500*time.Millisecond
	time.Sleep(between(r, least, least+2*time.Second))
}

// overlap: two operators empty a zone, each for a while of its own.
func (d *draw) overlap(r *rand.Rand) {
	w := d.w
	zone := pick(r, w.shape.Zones)
	d.log("evacuate %s, twice", zone)
	w.Evacuate(zone, true, pick(r, w.Cores()))
	d.partition(r)
	w.Evacuate(zone, true, pick(r, w.Cores()))
	time.Sleep(between(r, 3*time.Second, 4*time.Second))
	d.log("one of two gives %s back", zone)
	w.Evacuate(zone, false, pick(r, w.Cores()))
	d.partition(r)
	d.log("take back %s", zone)
	d.refill(zone, pick(r, w.Cores()))
}

// outdatedMessage: a controller that is cut off from the others has an older word of a zone, and tells it to
// carriers that connect anew.
func (d *draw) outdatedMessage(r *rand.Rand) {
	w := d.w
	d.reserve(13 * time.Second)
	zone, all := pick(r, w.shape.Zones), d.shuffled(r)
	w.Evacuate(zone, true, all[0])
	time.Sleep(between(r, 100*time.Millisecond, 300*time.Millisecond))
	w.Evacuate(zone, false, all[1])
	time.Sleep(time.Second)
	join := w.Isolate(all[0], true)
	time.Sleep(between(r, 3200*time.Millisecond, 3600*time.Millisecond))
	o := w.Evacuate(zone, true, all[1])
	d.log("%s evacuated %t while %s is cut off", zone, o.Acked > 0, all[0].Name)
	time.Sleep(time.Second)
	for _, m := range w.Proxies { // its word comes last
		w.Net.Cut(m.IP, all[0].IP)
		w.Reset(m)
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range w.Proxies {
		w.Net.Join(m.IP, all[0].IP)
	}
	time.Sleep(7 * time.Second)
	join()
	time.Sleep(time.Second)
	d.refill(zone, all[2])
}

// oldCopy: a disk comes back as it was before its last write, and nobody can see that. One such disk is borne if the
// others all had what it lost.
func (d *draw) oldCopy(r *rand.Rand) {
	w := d.w
	d.reserve(3 * time.Second)
	a, calm := d.shuffled(r)[0], true
	w.Ledger.do(func() {
		for _, o := range w.Ledger.Orders {
			calm = calm && w.Now() > o.At+4*time.Second
		}
	})
	if !calm || a.Disk.writes() < 6 {
		return
	}
	d.log("%s goes back to an old copy", a.Name)
	w.Power(a)
	w.Tear(a, 1, false)
	time.Sleep(between(r, 100*time.Millisecond, time.Second))
	w.PowerOn(a)
	d.ask(r, 2*time.Second)
}
