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
	admit(c *proxy, t *attempt) (apierror.Kind, time.Duration)
	pick(c *proxy, t *attempt) (b *backend, share int, kind apierror.Kind)
	end(c *proxy, t *attempt, b *backend, m balancer.Result)
	again(c *proxy, t *attempt, kind apierror.Kind) bool
	later(c *proxy, t *attempt) time.Duration
}

func newWay(name string, w *world) way {
	switch name {
	case "settler":
		return &inService{w: w}
	case "central", "central, blind":
		return &central{w: w, blind: name != "central"}
	}
	return &plain{w: w, name: name}
}

// inService is the way in service: a settler a carrier, a bearing a zone.
type inService struct {
	w         *world
	balancers []*balancer.Balancer
	adapters  []*steering.Adapter
	byID      map[string]*backend
	listed    []steering.Endpoint
}

func (s *inService) begin() {
	w := s.w
	s.byID = map[string]*backend{}
	var members []balancer.ProxyInfo
	var leases []rpc.ProxyInfo
	zones, services := []string{}, map[string]steering.Service{}
	for z := range w.Zones {
		zones = append(zones, zoneName(z))
	}
	for _, k := range w.Kinds {
		services[k.Name] = steering.Service{LatencyTarget: k.LatencyTarget}
	}
	name := func(i int) string { return fmt.Sprintf("c%d", i) }
	for i, c := range w.proxies {
		members = append(members, balancer.ProxyInfo{Name: name(i), Zone: zoneName(c.zone)})
		leases = append(leases, rpc.ProxyInfo{Name: name(i), Zone: zoneName(c.zone)})
	}
	for z := range zones {
		b := steering.New(zones, time.Duration(balancer.RendezvousHash(zones[z], "tick")%uint64(time.Second)))
		b.Configure(services)
		b.SetProxies(leases)
		s.adapters = append(s.adapters, b)
	}
	for i, c := range w.proxies {
		v := balancer.New(name(i), zoneName(c.zone), balancer.Bounds{RetryRatio: retryRatio, RetrySlack: retrySlack,
			RetryWindow: retryWindow, SlowStartExcess: slowStartExcess, SlowStartSlack: slowStartSlack}, 0)
		for _, k := range w.Kinds {
			v.ConfigureService(k.Name, k.MaxConns, k.SlowStartRate, k.SlowStart)
		}
		v.SetProxies(members)
		v.ExtendLease(time.Hour)
		s.balancers = append(s.balancers, v)
	}
	for _, b := range w.backends {
		s.word(b, true)
	}
	for i, c := range w.proxies {
		s.adapters[c.zone].Join(name(i), zoneName(c.zone))
		s.renew(i, name(i), time.Duration(balancer.RendezvousHash(name(i), "renew")%uint64(time.Second)))
	}
	for z := range zones {
		s.step(z)
	}
}

// renew reports to the zone's controller each second.
func (s *inService) renew(i int, name string, after time.Duration) {
	w := s.w
	w.after(after, func() {
		r := s.balancers[i].Report()
		var uses []rpc.ServiceLoad
		var met []rpc.EndpointReport
		for _, u := range r.Services {
			uses = append(uses, rpc.ServiceLoad{Service: u.Service, Requests: u.Requests, Failed: u.Failed})
		}
		for _, t := range r.Endpoints {
			met = append(met, rpc.EndpointReport{ID: t.ID, Attempts: t.Attempts, Failed: t.Failed,
				Latency: int64(t.Latency / (100 * time.Microsecond)), Queued: t.Queued})
		}
		s.adapters[w.proxies[i].zone].Report(name, uses, met, 1)
		if w.now < w.end {
			s.renew(i, name, time.Second)
		}
	})
}

// step lets a zone's controller decide, five times a second.
func (s *inService) step(z int) {
	w := s.w
	tables := s.adapters[z].Step(w.now)
	w.after(acrossZone, func() {
		for i := range s.balancers {
			for _, t := range tables[fmt.Sprintf("c%d", i)] {
				if t.Full || t.Weights != nil {
					s.balancers[i].SetWeights(t.Service, t.Full, t.Weights)
				}
				if t.HasRateLimit {
					s.balancers[i].SetRateLimit(t.Service, t.RateLimit, w.now)
				}
			}
		}
	})
	if w.now < w.end {
		w.after(200*ms, func() { s.step(z) })
	}
}

func (s *inService) word(b *backend, there bool) {
	w := s.w
	if s.byID[b.id] == nil {
		s.listed = append(s.listed, steering.Endpoint{ID: b.id, Service: w.Kinds[b.kind].Name, Zone: zoneName(b.zone),
			Capacity: b.slots, Ready: true})
	}
	s.byID[b.id] = b
	for _, v := range s.balancers {
		v.SetEndpoint(w.now, balancer.Endpoint{
			ID:        b.id,
			Service:   w.Kinds[b.kind].Name,
			Address:   b.address,
			Zone:      zoneName(b.zone),
			Capacity:  b.slots,
			Usable:    there,
			WarmupEnd: b.warmupEnd,
		})
	}
	for _, v := range s.adapters {
		v.SetEndpoints(w.now, s.listed)
	}
}

func (s *inService) sees() bool { return false }

func (s *inService) admit(c *proxy, t *attempt) (apierror.Kind, time.Duration) {
	return s.balancers[c.index].Admit(s.w.now, s.w.Kinds[t.r.kind].Name)
}

func (s *inService) pick(c *proxy, t *attempt) (*backend, int, apierror.Kind) {
	k := s.w.Kinds[t.r.kind]
	var tried []string
	for _, b := range t.tried {
		tried = append(tried, b.id)
	}
	b, kind := s.balancers[c.index].Pick(s.w.now, balancer.Request{
		Service:      k.Name,
		Tried:        tried,
		TimeToTarget: k.LatencyTarget - (s.w.now - t.arrivedAt),
		Priority:     k.Priority,
		Draws:        [2]float64{t.r.chance.Float64(), t.r.chance.Float64()},
	})
	if kind != apierror.None {
		return nil, 0, kind
	}
	t.picked = b
	return s.byID[b.ID], b.MaxConns, apierror.None
}

func (s *inService) end(c *proxy, t *attempt, _ *backend, m balancer.Result) {
	v := s.balancers[c.index]
	v.RecordResult(s.w.now, t.picked, m)
	if m.Kind != apierror.None {
		for _, d := range v.TakeSuspects() {
			i := slices.IndexFunc(s.w.backends, func(o *backend) bool { return o.address == d.Address })
			s.prove(c, d, s.w.backends[i], 1)
		}
	}
}

// prove brings up a connection beside the requests until one does.
func (s *inService) prove(c *proxy, d balancer.Suspect, b *backend, tries int) {
	w, v, k := s.w, s.balancers[c.index], c.to(b)
	if tries == 1 {
		k.open -= len(k.idle)
		k.idle = nil
	}
	c.connect(b, w.now+time.Hour, func(kind apierror.Kind, _ bool) {
		if !v.IsStillKnown(d) {
			return
		}
		if kind == apierror.None {
			v.HealthCheckPassed(w.now, d, heartbeatInterval+uncertainty)
			k.open++
			k.idle = append(k.idle, idle{w.now + idleTimeout, b.epoch})
			return
		}
		if w.now < w.end {
			w.after(min(minHealthCheckPause*time.Duration(tries), maxHealthCheckPause), func() { s.prove(c, d, b, tries+1) })
		}
	})
}

func (s *inService) again(c *proxy, t *attempt, kind apierror.Kind) bool {
	k := s.w.Kinds[t.r.kind]
	return s.balancers[c.index].AllowRetry(s.w.now, k.Name, kind, k.Safe, t.offered, maxTries)
}

func (s *inService) later(_ *proxy, t *attempt) time.Duration {
	return balancer.RetryDelay(s.w.Kinds[t.r.kind].LatencyTarget, t.r.chance.Float64())
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
	busy   int
	endsAt time.Duration
}

func (p *plain) begin() {
	for range p.w.proxies {
		p.own = append(p.own, map[*backend]*seen{})
		p.turn = append(p.turn, 0)
	}
}

func (p *plain) word(*backend, bool) {}
func (p *plain) sees() bool          { return false }

func (p *plain) admit(*proxy, *attempt) (apierror.Kind, time.Duration) { return apierror.None, 0 }

func (p *plain) see(c *proxy, b *backend) *seen {
	v := p.own[c.index][b]
	if v == nil {
		v = &seen{}
		p.own[c.index][b] = v
	}
	return v
}

func (p *plain) pick(c *proxy, t *attempt) (*backend, int, apierror.Kind) {
	var all []*backend
	for _, b := range p.w.backends {
		if b.kind == t.r.kind && p.w.now >= p.see(c, b).endsAt && !slices.Contains(t.tried, b) {
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
	return best, maxIdle, apierror.None
}

func (p *plain) end(c *proxy, _ *attempt, b *backend, m balancer.Result) {
	v := p.see(c, b)
	v.busy--
	if m.Kind == apierror.ConnectFailed || m.Kind == apierror.ConnectionBroken {
		v.endsAt = p.w.now + time.Second
	}
}

func (p *plain) again(_ *proxy, t *attempt, kind apierror.Kind) bool {
	rule := kind.Policy()
	return rule.Retryable && (!rule.MayHaveExecuted || p.w.Kinds[t.r.kind].Safe) && t.offered < maxTries
}

func (p *plain) later(_ *proxy, t *attempt) time.Duration {
	return balancer.RetryDelay(p.w.Kinds[t.r.kind].LatencyTarget, t.r.chance.Float64())
}

// central is one picture with the true state: it knows what runs and waits where and for how long, each work before it
// begins, and what is dark. It asks the backend that answers soonest and refuses at once what cannot be answered inside
// its aim, but where waiting is not the cause: that is served late. It does not look ahead at what has not come yet.
type central struct {
	w     *world
	blind bool // it takes the mean for each work that has not begun
}

func (z *central) begin()                                                {}
func (z *central) word(*backend, bool)                                   {}
func (z *central) sees() bool                                            { return true }
func (z *central) admit(*proxy, *attempt) (apierror.Kind, time.Duration) { return apierror.None, 0 }
func (z *central) end(*proxy, *attempt, *backend, balancer.Result)       {}

// soonest is when the client would have its answer, and how long it would wait for a slot.
func (z *central) soonest(b *backend, c *proxy, t *attempt) (answered, waits time.Duration) {
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

func (z *central) best(c *proxy, t *attempt) (best *backend, answered, waits time.Duration) {
	for _, b := range z.w.backends {
		if b.kind != t.r.kind || b.dark || b.gone || slices.Contains(t.tried, b) ||
			len(b.waiting)+len(b.coming) >= z.w.Kinds[b.kind].Queue ||
			b.inSlowStart() &&
				z.w.now < b.lastWarmupArrival+time.Duration(float64(time.Second)/z.w.Kinds[b.kind].SlowStartRate) {
			continue
		}
		if a, v := z.soonest(b, c, t); best == nil || a < answered {
			best, answered, waits = b, a, v
		}
	}
	return best, answered, waits
}

func (z *central) pick(c *proxy, t *attempt) (*backend, int, apierror.Kind) {
	b, answered, waits := z.best(c, t)
	kind := z.w.Kinds[t.r.kind]
	if b != nil && z.blind { // nineteen of twenty must not take longer
		sigma := math.Sqrt(math.Log(1 + kind.Spread*kind.Spread))
		answered += time.Duration(float64(b.takes(kind.Work, 0)) * (math.Exp(1.645*sigma-sigma*sigma/2) - 1))
	}
	if b == nil || answered > t.sent+kind.LatencyTarget && waits > 0 {
		return nil, 0, apierror.EndpointsSaturated
	}
	if b.inSlowStart() {
		b.lastWarmupArrival = z.w.now
	}
	return b, maxIdle, apierror.None
}

func (z *central) again(_ *proxy, t *attempt, kind apierror.Kind) bool {
	rule := kind.Policy()
	return rule.Retryable && (!rule.MayHaveExecuted || z.w.Kinds[t.r.kind].Safe) && t.offered < maxTries
}

// later is when there is room for one that finds none, by what is there now.
func (z *central) later(c *proxy, t *attempt) time.Duration {
	aim := z.w.Kinds[t.r.kind].LatencyTarget
	_, answered, _ := z.best(c, t)
	return max(answered-t.sent-aim, 0) + balancer.RetryDelay(aim, t.r.chance.Float64())
}
