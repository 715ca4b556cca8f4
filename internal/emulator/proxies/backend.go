package proxies

import (
	"fmt"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/balancer"
)

const (
	unackedTimeout    = 800 * ms    // what is written to a dark machine breaks after so long
	probeEvery        = time.Second // and a request that is at work there at the second probe
	heartbeatInterval = 1500 * ms
	notificationDelay = 20 * ms // until a beat's word is at all carriers
)

type backend struct {
	w                 *world
	index             int
	id, address       string
	kind, zone        int
	slots             int
	speed, slow       float64
	tires             bool
	dark, gone        bool
	epoch             int // of its connections
	warmupEnd         time.Duration
	running           []*job
	waiting           []*job
	coming            []*job
	warmupArrivals    []time.Duration // arrivals while cold
	lastWarmupArrival time.Duration   // the central picture's
	busy              time.Duration   // slots' time of work, for the model's own sanity
}

// job is a try at a backend. done is called at the carrier, once.
type job struct {
	t      *attempt
	b      *backend
	ran    bool
	over   bool // the carrier knows its end
	sentAt time.Duration
	began  time.Duration
	ends   time.Duration
	done   func(m balancer.Result)
}

func (b *backend) inSlowStart() bool { return b.w.now < b.warmupEnd }

// takes is how long a work takes if it begins with so many others running.
func (b *backend) takes(work time.Duration, others int) time.Duration {
	d := float64(work) / b.speed * b.slow
	if b.inSlowStart() {
		d *= slowStartFactor
	}
	if b.tires && others >= b.slots-1 {
		d *= tiredFactor
	}
	return time.Duration(d)
}

// say lets a carrier know of a job's end after a span.
func (j *job) say(after time.Duration, m balancer.Result) {
	j.b.w.after(after, func() {
		if !j.over {
			j.over = true
			j.done(m)
		}
	})
}

func (b *backend) met(kind apierror.Kind) balancer.Result {
	return balancer.Result{Kind: kind, Running: len(b.running), Queued: len(b.waiting), HasLoad: true}
}

func (b *backend) oneWay(c *proxy) time.Duration { return delay(b.zone, c.zone) }

// arrive is a request's first byte here.
func (b *backend) arrive(j *job, epoch int) {
	w := b.w
	b.coming = slices.DeleteFunc(b.coming, func(o *job) bool { return o == j })
	if b.dark {
		j.say(unackedTimeout, balancer.Result{Kind: apierror.ConnectionBroken, Unresponsive: true})
		return
	}
	if b.gone || epoch != b.epoch {
		j.say(b.oneWay(j.t.c), balancer.Result{Kind: apierror.ConnectionBroken})
		return
	}
	w.ledger.arrived(w, j)
	if j.over { // its deadline passed on the way
		return
	}
	switch {
	case len(b.running) < b.slots:
		b.start(j)
	case len(b.waiting) < w.Kinds[b.kind].Queue:
		b.waiting = append(b.waiting, j)
	default:
		j.say(b.oneWay(j.t.c), b.met(apierror.RejectedByEndpoint))
	}
}

func (b *backend) start(j *job) {
	w := b.w
	j.ran, j.began = true, w.now
	j.t.ran++
	w.s.Ran++
	j.ends = w.now + b.takes(j.t.r.work, len(b.running))
	b.running = append(b.running, j)
	w.at(j.ends, func() {
		if b.leave(j) {
			w.s.RanComplete++
			j.say(b.oneWay(j.t.c), b.met(apierror.None))
		}
	})
}

// leave takes a job out; false: it was not here any more.
func (b *backend) leave(j *job) bool {
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.busy += b.w.now - j.began
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.start(next)
		}
		return true
	}
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return true
	}
	return false
}

// cancel is that the carrier closed the connection.
func (b *backend) cancel(j *job) {
	b.w.after(b.oneWay(j.t.c), func() {
		if ran := j.ran; b.leave(j) && ran {
			b.w.s.Broken++
		}
	})
}

// down ends all that is here: without a word if it is dark, else by a reset.
func (b *backend) down(dark bool) {
	w := b.w
	all := append(slices.Clone(b.running), b.waiting...)
	b.running, b.waiting = nil, nil
	b.epoch++
	b.dark, b.gone = dark, !dark
	for _, j := range all {
		if j.ran {
			b.busy += w.now - j.began
			w.s.Broken++
		}
		after := b.oneWay(j.t.c)
		if dark && !w.way.sees() {
			// Probes go out each second since the last byte; the first that stays without an answer is noticed at the next.
			after = probeEvery - (w.now-j.sentAt)%probeEvery + probeEvery
		}
		j.say(after, balancer.Result{Kind: apierror.ConnectionBroken, Unresponsive: dark})
	}
	if !dark {
		w.after(7*heartbeatInterval/2, func() { w.way.word(b, false) }) // nobody hears its beats
	}
}

// back is that its machine is there again; its beats say later that it is cold.
func (b *backend) back() {
	w := b.w
	b.dark, b.warmupEnd = false, w.now+w.Kinds[b.kind].SlowStart
	w.after(
		time.Duration(balancer.RendezvousHash(b.id, "beat")%uint64(heartbeatInterval))+notificationDelay,
		func() { w.way.word(b, true) },
	)
}

// reborn adds the new life of one that crashed.
func (b *backend) reborn() {
	w := b.w
	n := &backend{w: w, index: len(w.backends), id: b.id + "+", address: fmt.Sprint(b.address, "+"), kind: b.kind,
		zone: b.zone, slots: b.slots, speed: b.speed, slow: 1, tires: b.tires, warmupEnd: w.now + w.Kinds[b.kind].SlowStart}
	w.backends = append(w.backends, n)
	w.after(notificationDelay, func() { w.way.word(n, true) })
}
