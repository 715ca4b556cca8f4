package proxies

import (
	"fmt"
	"math"
	"slices"
	"time"

	"elmfold/internal/controlplane/steering"
	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// Ways to choose; the first is the one in service, the last the bound. The blind one knows all but the works, which
// nobody can know: it shows how much of the bound's worth comes from that. It is not a bound itself.
var Ways = []string{"settler", "round robin", "least loaded", "two choices", "central, blind", "central"}

// way is how carriers choose.
type way interface {
	begin()
	word(b *backend, there bool) // what a beat said, or that none came
	sees() bool                  // it knows the true state at once
	admit(c *carrier, t *try) (apierror.Kind, time.Duration)
	pick(c *carrier, t *try) (b *backend, share int, kind apierror.Kind)
	end(c *carrier, t *try, b *backend, m balancer.Result)
	again(c *carrier, t *try, kind apierror.Kind) bool
	later(c *carrier, t *try) time.Duration
}

func newWay(name string, w *world) way {
	switch name {
	case "settler":
		return &settled{w: w}
	case "central", "central, blind":
		return &central{w: w, blind: name != "central"}
	}
	return &plain{w: w, name: name}
}

// settled is the way in service: a settler a carrier, a bearing a zone.
type settled struct {
	w        *world
	settlers []*balancer.Balancer
	bearings []*steering.Adapter
	byID     map[string]*backend
	listed   []steering.Endpoint
}

func (s *settled) begin() {
	w := s.w
	s.byID = map[string]*backend{}
	var members []balancer.ProxyInfo
	var leases []rpc.ProxyInfo
	zones, services := []string{}, map[string]steering.Service{}
	for z := range w.Zones {
		zones = append(zones, zoneName(z))
	}
	for _, k := range w.Kinds {
		services[k.Name] = steering.Service{LatencyTarget: k.Aim}
	}
	name := func(i int) string { return fmt.Sprintf("c%d", i) }
	for i, c := range w.carriers {
		members = append(members, balancer.ProxyInfo{Name: name(i), Zone: zoneName(c.zone)})
		leases = append(leases, rpc.ProxyInfo{Name: name(i), Zone: zoneName(c.zone)})
	}
	for z := range zones {
		b := steering.New(zones, time.Duration(balancer.RendezvousHash(zones[z], "tick")%uint64(time.Second)))
		b.Configure(services)
		b.SetProxies(leases)
		s.bearings = append(s.bearings, b)
	}
	for i, c := range w.carriers {
		v := balancer.New(name(i), zoneName(c.zone), balancer.Bounds{RetryRatio: retryRatio, RetrySlack: retrySlack,
			RetryWindow: retryWindow, SlowStartExcess: coldExcess, SlowStartSlack: coldSlack}, 0)
		for _, k := range w.Kinds {
			v.Configure(k.Name, k.MaxConns, k.ColdRate, k.Cold)
		}
		v.SetProxies(members)
		v.ExtendLease(time.Hour)
		s.settlers = append(s.settlers, v)
	}
	for _, b := range w.backends {
		s.word(b, true)
	}
	for i, c := range w.carriers {
		s.bearings[c.zone].Join(name(i), zoneName(c.zone))
		s.renew(i, name(i), time.Duration(balancer.RendezvousHash(name(i), "renew")%uint64(time.Second)))
	}
	for z := range zones {
		s.step(z)
	}
}

// renew reports to the zone's controller each second.
func (s *settled) renew(i int, name string, after time.Duration) {
	w := s.w
	w.after(after, func() {
		r := s.settlers[i].Report()
		var uses []rpc.ServiceLoad
		var met []rpc.EndpointReport
		for _, u := range r.Services {
			uses = append(uses, rpc.ServiceLoad{Service: u.Service, Requests: u.Requests, Failed: u.Failed})
		}
		for _, t := range r.Endpoints {
			met = append(met, rpc.EndpointReport{ID: t.ID, Attempts: t.Attempts, Failed: t.Failed,
				Latency: int64(t.Latency / (100 * time.Microsecond)), Queued: t.Queued})
		}
		s.bearings[w.carriers[i].zone].Report(name, uses, met, 1)
		if w.now < w.end {
			s.renew(i, name, time.Second)
		}
	})
}

// step lets a zone's controller decide, five times a second.
func (s *settled) step(z int) {
	w := s.w
	tables := s.bearings[z].Step(w.now)
	w.after(acrossZone, func() {
		for i := range s.settlers {
			for _, t := range tables[fmt.Sprintf("c%d", i)] {
				if t.Full || t.Weights != nil {
					s.settlers[i].SetWeights(t.Service, t.Full, t.Weights)
				}
				if t.Limited {
					s.settlers[i].SetRateLimit(t.Service, t.RateLimit, w.now)
				}
			}
		}
	})
	if w.now < w.end {
		w.after(200*ms, func() { s.step(z) })
	}
}

func (s *settled) word(b *backend, there bool) {
	w := s.w
	if s.byID[b.id] == nil {
		s.listed = append(s.listed, steering.Endpoint{ID: b.id, Service: w.Kinds[b.kind].Name, Zone: zoneName(b.zone),
			Capacity: b.slots, Ready: true})
	}
	s.byID[b.id] = b
	for _, v := range s.settlers {
		v.SetEndpoint(w.now, balancer.Endpoint{
			ID:        b.id,
			Service:   w.Kinds[b.kind].Name,
			Address:   b.address,
			Zone:      zoneName(b.zone),
			Capacity:  b.slots,
			Usable:    there,
			WarmupEnd: b.coldUntil,
		})
	}
	for _, v := range s.bearings {
		v.SetEndpoints(w.now, s.listed)
	}
}

func (s *settled) sees() bool { return false }

func (s *settled) admit(c *carrier, t *try) (apierror.Kind, time.Duration) {
	return s.settlers[c.index].Admit(s.w.now, s.w.Kinds[t.r.kind].Name)
}

func (s *settled) pick(c *carrier, t *try) (*backend, int, apierror.Kind) {
	k := s.w.Kinds[t.r.kind]
	var tried []string
	for _, b := range t.tried {
		tried = append(tried, b.id)
	}
	b, kind := s.settlers[c.index].Pick(s.w.now, balancer.Request{
		Service:      k.Name,
		Tried:        tried,
		TimeToTarget: k.Aim - (s.w.now - t.came),
		Priority:     k.Priority,
		Draws:        [2]float64{t.r.chance.Float64(), t.r.chance.Float64()},
	})
	if kind != apierror.None {
		return nil, 0, kind
	}
	t.picked = b
	return s.byID[b.ID], b.MaxConns, apierror.None
}

func (s *settled) end(c *carrier, t *try, _ *backend, m balancer.Result) {
	v := s.settlers[c.index]
	v.End(s.w.now, t.picked, m)
	if m.Kind != apierror.None {
		for _, d := range v.TakeSuspects() {
			i := slices.IndexFunc(s.w.backends, func(o *backend) bool { return o.address == d.Address })
			s.prove(c, d, s.w.backends[i], 1)
		}
	}
}

// prove brings up a connection beside the requests until one does.
func (s *settled) prove(c *carrier, d balancer.Suspect, b *backend, tries int) {
	w, v, k := s.w, s.settlers[c.index], c.to(b)
	if tries == 1 {
		k.open -= len(k.idle)
		k.idle = nil
	}
	c.connect(b, w.now+time.Hour, func(kind apierror.Kind, _ bool) {
		if !v.IsStillKnown(d) {
			return
		}
		if kind == apierror.None {
			v.HealthCheckPassed(w.now, d, beat+unsureFor)
			k.open++
			k.idle = append(k.idle, idle{w.now + keepFor, b.epoch})
			return
		}
		if w.now < w.end {
			w.after(min(proveAfter*time.Duration(tries), proveMost), func() { s.prove(c, d, b, tries+1) })
		}
	})
}

func (s *settled) again(c *carrier, t *try, kind apierror.Kind) bool {
	k := s.w.Kinds[t.r.kind]
	return s.settlers[c.index].AllowRetry(s.w.now, k.Name, kind, k.Safe, t.offered, maxTries)
}

func (s *settled) later(_ *carrier, t *try) time.Duration {
	return balancer.RetryDelay(s.w.Kinds[t.r.kind].Aim, t.r.chance.Float64())
}

// plain are the naive ways. All of them leave a backend alone for a second after a connection that did not come up or
// broke, and know nothing else: no budget, no cold ones, no shedding but the backends' own.
type plain struct {
	w    *world
	name string
	own  []map[*backend]*seen // by carrier
	turn []int
}

type seen struct {
	busy int
	till time.Duration
}

func (p *plain) begin() {
	for range p.w.carriers {
		p.own = append(p.own, map[*backend]*seen{})
		p.turn = append(p.turn, 0)
	}
}

func (p *plain) word(*backend, bool) {}
func (p *plain) sees() bool          { return false }

func (p *plain) admit(*carrier, *try) (apierror.Kind, time.Duration) { return apierror.None, 0 }

func (p *plain) see(c *carrier, b *backend) *seen {
	v := p.own[c.index][b]
	if v == nil {
		v = &seen{}
		p.own[c.index][b] = v
	}
	return v
}

func (p *plain) pick(c *carrier, t *try) (*backend, int, apierror.Kind) {
	var all []*backend
	for _, b := range p.w.backends {
		if b.kind == t.r.kind && p.w.now >= p.see(c, b).till && !slices.Contains(t.tried, b) {
			all = append(all, b)
		}
	}
	if len(all) == 0 {
		return nil, 0, apierror.NoEndpoint
	}
	u, v := t.r.chance.IntN(len(all)), t.r.chance.IntN(len(all))
	best := all[u]
	switch p.name {
	case "round robin":
		p.turn[c.index]++
		best = all[p.turn[c.index]%len(all)]
	case "two choices":
		if p.see(c, all[v]).busy < p.see(c, best).busy {
			best = all[v]
		}
	default: // the least loaded, from a place drawn by chance, so that not all begin with the same
		for i := range all {
			if b := all[(u+i)%len(all)]; p.see(c, b).busy < p.see(c, best).busy {
				best = b
			}
		}
	}
	p.see(c, best).busy++
	return best, idleMost, apierror.None
}

func (p *plain) end(c *carrier, _ *try, b *backend, m balancer.Result) {
	v := p.see(c, b)
	v.busy--
	if m.Kind == apierror.ConnectFailed || m.Kind == apierror.ConnectionBroken {
		v.till = p.w.now + time.Second
	}
}

func (p *plain) again(_ *carrier, t *try, kind apierror.Kind) bool {
	rule := kind.Policy()
	return rule.Retryable && (!rule.MayHaveExecuted || p.w.Kinds[t.r.kind].Safe) && t.offered < maxTries
}

func (p *plain) later(_ *carrier, t *try) time.Duration {
	return balancer.RetryDelay(p.w.Kinds[t.r.kind].Aim, t.r.chance.Float64())
}

// central is one picture with the true state: it knows what runs and waits where and for how long, each work before it
// begins, and what is dark. It asks the backend that answers soonest and refuses at once what cannot be answered inside
// its aim, but where waiting is not the cause: that is served late. It does not look ahead at what has not come yet.
type central struct {
	w     *world
	blind bool // it takes the mean for each work that has not begun
}

func (z *central) begin()                                              {}
func (z *central) word(*backend, bool)                                 {}
func (z *central) sees() bool                                          { return true }
func (z *central) admit(*carrier, *try) (apierror.Kind, time.Duration) { return apierror.None, 0 }
func (z *central) end(*carrier, *try, *backend, balancer.Result)       {}

// soonest is when the client would have its answer, and how long it would wait for a slot.
func (z *central) soonest(b *backend, c *carrier, t *try) (answered, waits time.Duration) {
	work := func(r *request) time.Duration {
		if z.blind {
			return z.w.meanWork(r.kind)
		}
		return r.work
	}
	free := make([]time.Duration, b.slots)
	for i := range free {
		if free[i] = b.w.now; i < len(b.running) {
			j := b.running[i]
			if free[i] = j.ends; z.blind {
				free[i] = max(j.began+b.takes(work(j.t.r), i), b.w.now+b.takes(work(j.t.r), i)/5)
			}
		}
	}
	take := func(from, work time.Duration) (time.Duration, time.Duration) {
		at, others := 0, 0
		for i := range free {
			if free[i] < free[at] {
				at = i
			}
		}
		begin := max(free[at], from)
		for i := range free {
			if i != at && free[i] > begin {
				others++
			}
		}
		free[at] = begin + b.takes(work, others)
		return begin, free[at]
	}
	for _, list := range [][]*job{b.waiting, b.coming} {
		for _, j := range list {
			take(b.w.now, work(j.t.r))
		}
	}
	lag := b.oneWay(c)
	from := b.w.now + lag
	if len(c.to(b).idle) == 0 {
		from += 2*lag + handshake
	}
	begin, end := take(from, work(t.r))
	return end + lag + toClient, begin - from
}

func (z *central) best(c *carrier, t *try) (best *backend, answered, waits time.Duration) {
	for _, b := range z.w.backends {
		if b.kind != t.r.kind || b.dark || b.gone || slices.Contains(t.tried, b) ||
			len(b.waiting)+len(b.coming) >= z.w.Kinds[b.kind].Queue ||
			b.cold() && z.w.now < b.lastCold+time.Duration(float64(time.Second)/z.w.Kinds[b.kind].ColdRate) {
			continue
		}
		if a, v := z.soonest(b, c, t); best == nil || a < answered {
			best, answered, waits = b, a, v
		}
	}
	return best, answered, waits
}

func (z *central) pick(c *carrier, t *try) (*backend, int, apierror.Kind) {
	b, answered, waits := z.best(c, t)
	kind := z.w.Kinds[t.r.kind]
	if b != nil && z.blind { // nineteen of twenty must not take longer
		sigma := math.Sqrt(math.Log(1 + kind.Spread*kind.Spread))
		answered += time.Duration(float64(b.takes(kind.Work, 0)) * (math.Exp(1.645*sigma-sigma*sigma/2) - 1))
	}
	if b == nil || answered > t.sent+kind.Aim && waits > 0 {
		return nil, 0, apierror.EndpointsSaturated
	}
	if b.cold() {
		b.lastCold = z.w.now
	}
	return b, idleMost, apierror.None
}

func (z *central) again(_ *carrier, t *try, kind apierror.Kind) bool {
	rule := kind.Policy()
	return rule.Retryable && (!rule.MayHaveExecuted || z.w.Kinds[t.r.kind].Safe) && t.offered < maxTries
}

// later is when there is room for one that finds none, by what is there now.
func (z *central) later(c *carrier, t *try) time.Duration {
	aim := z.w.Kinds[t.r.kind].Aim
	_, answered, _ := z.best(c, t)
	return max(answered-t.sent-aim, 0) + balancer.RetryDelay(aim, t.r.chance.Float64())
}
