package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"elmfold/internal/gateway/apierror"
)

var bounds = Bounds{
	RetryRatio:      0.2,
	RetrySlack:      60,
	RetryWindow:     10 * time.Second,
	SlowStartExcess: 1.5,
	SlowStartSlack:  5,
}

func proxyInfos(n int) (all []ProxyInfo) {
	for i := range n {
		all = append(all, ProxyInfo{fmt.Sprint("e", i), "a"})
	}
	return all
}

// fleet simulates several proxies that know each other. Each balancer's clock starts with its process.
type fleet struct {
	balancers []*Balancer
	startedAt []time.Duration
}

func (f *fleet) start(i int, now time.Duration) {
	f.balancers[i], f.startedAt[i] = New(fmt.Sprint("e", i), "a", bounds, 0), now
}

func newFleet(n int) *fleet {
	f := &fleet{make([]*Balancer, n), make([]time.Duration, n)}
	for i := range n {
		f.start(i, -time.Minute) // past the ramp of the retry budget
		f.balancers[i].SetProxies(proxyInfos(n))
	}
	return f
}

// countBetween counts the times in [from, to). times is sorted.
func countBetween(times []time.Duration, from, to time.Duration) float64 {
	index := func(t time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= t }) }
	return float64(index(to) - index(from))
}

// budgetViolation describes the first window with too many retries, or returns "". A window may hold RetryRatio times
// the requests of itself, of the window before, or of the window half a window earlier, whichever are the most, plus
// RetrySlack.
func budgetViolation(requests, retries []time.Duration) string {
	w := bounds.RetryWindow
	for _, t := range retries {
		n := max(
			countBetween(requests, t, t+w),
			countBetween(requests, t-w, t),
			countBetween(requests, t-w/2, t+w/2),
		)
		if got, limit := countBetween(retries, t, t+w), bounds.RetryRatio*n+bounds.RetrySlack; got > limit {
			return fmt.Sprintf("%v retries in the window from %v for %v requests, limit %v", got, t, n, limit)
		}
	}
	return ""
}

// loadPhase is a period with a constant request rate and failure ratio.
type loadPhase struct {
	until  time.Duration
	rate   float64 // requests/s
	failed float64 // fraction of attempts that fail
}

// run simulates load phases and returns the times of requests and retries. One random proxy restarts every
// restartInterval on average; 0 means never.
func (f *fleet) run(
	r *rand.Rand,
	phases []loadPhase,
	restartInterval time.Duration,
) (requests, retries []time.Duration) {
	const tick = 10 * time.Millisecond
	now, nextRestart := time.Duration(0), restartInterval
	for _, phase := range phases {
		for ; now < phase.until; now += tick {
			if restartInterval > 0 && now >= nextRestart {
				i := r.IntN(len(f.balancers))
				f.start(i, now)
				f.balancers[i].SetProxies(proxyInfos(len(f.balancers)))
				nextRestart += time.Duration(r.Int64N(int64(2 * restartInterval)))
			}
			for range int(phase.rate*tick.Seconds() + r.Float64()) {
				i := min(r.IntN(len(f.balancers)), r.IntN(len(f.balancers))) // uneven shares of the load
				requests = append(requests, now)
				for range f.request(r, i, now, phase.failed) {
					retries = append(retries, now)
				}
			}
		}
	}
	return requests, retries
}

// request simulates one request at a proxy and returns the number of its retries.
func (f *fleet) request(r *rand.Rand, proxy int, now time.Duration, failed float64) (retries int) {
	b, localNow := f.balancers[proxy], now-f.startedAt[proxy]
	b.Admit(localNow, "s")
	for r.Float64() < failed && b.AllowRetry(localNow, "s", apierror.RejectedByEndpoint, true, retries+1, 4) {
		retries++
	}
	return retries
}

// Guards the shared retry budget under random load, failures and restarts of proxies.
func TestSharedRetryBudget(t *testing.T) {
	failed := 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		f := newFleet([]int{1, 3, 10}[seed%3])
		var phases []loadPhase
		for until := time.Duration(0); until < 45*time.Second; {
			until += time.Second/2 + time.Duration(r.Int64N(int64(7*time.Second)))
			phases = append(
				phases,
				loadPhase{until, []float64{5, 40, 200, 400}[r.IntN(4)], []float64{0, 0.1, 1}[r.IntN(3)]},
			)
		}
		restartInterval := time.Duration(0)
		// Each proxy restarts about twice. A single proxy does not restart: it would lose the whole fleet's retry counts.
		if seed%2 == 1 && len(f.balancers) > 1 {
			restartInterval = 20 * time.Second / time.Duration(len(f.balancers))
		}
		if violation := budgetViolation(f.run(r, phases, restartInterval)); violation != "" {
			if failed++; failed <= 4 {
				t.Errorf("seed %d, %d proxies: %s", seed, len(f.balancers), violation)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of 150 seeds failed", failed)
	}
}

// Guards the retry budget in an outage longer than a retry window, for several offsets of its start within a slot.
func TestRetryBudgetInLongOutage(t *testing.T) {
	for begin := 10 * time.Second; begin < 11*time.Second; begin += 250 * time.Millisecond {
		phases := []loadPhase{{begin, 400, 0}, {begin + 25*time.Second, 400, 1}}
		requests, retries := newFleet(3).run(rand.New(rand.NewPCG(1, 1)), phases, 0)
		if violation := budgetViolation(requests, retries); violation != "" {
			t.Errorf("outage from %v: %s", begin, violation)
		}
		if float64(len(retries)) < bounds.RetryRatio*float64(len(requests))/3 {
			t.Errorf("%d retries for %d requests: the budget is hardly used", len(retries), len(requests))
		}
	}
}

// Checks that budgetViolation detects proxies that each use the whole budget.
func TestBudgetViolationIsDetected(t *testing.T) {
	f := newFleet(10)
	for _, b := range f.balancers {
		b.maxProxies = 1
	}
	requests, retries := f.run(rand.New(rand.NewPCG(1, 1)), []loadPhase{{5 * time.Second, 200, 1}}, 0)
	if budgetViolation(requests, retries) == "" {
		t.Error("no violation found though ten proxies each use the whole slack")
	}
}

// Guards the slow-start bound when two proxies both consider themselves the owner.
func TestSlowStartBoundWithTwoOwners(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		rate := []float64{0.3, 1, 4.1, 12, 40}[r.IntN(5)]
		balancers := []*Balancer{New("e0", "a", bounds, 0), New("e1", "a", bounds, 0)}
		warming := Endpoint{ID: "i", Service: "s", Address: "10.0.0.1:80", Zone: "a", Capacity: 8, Usable: true,
			WarmupEnd: time.Hour}
		for i, b := range balancers {
			b.ConfigureService("s", 0, rate, time.Hour)
			b.SetEndpoint(0, warming)
			b.SetProxies(proxyInfos(2)[i : i+1]) // each proxy knows only itself
			b.ExtendLease(time.Hour)
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 6*time.Second; now += time.Duration(r.Int64N(int64(40 * time.Millisecond))) {
			b := balancers[r.IntN(2)]
			if r.IntN(10) == 0 {
				b.SetEndpoint(now, warming)
			}
			selected, kind := b.Pick(now, Request{Service: "s", TimeToTarget: time.Second})
			if kind != apierror.None {
				continue
			}
			sent = append(sent, now)
			results := []apierror.Kind{apierror.None, apierror.ResponseTimeout, apierror.MismatchedResponse}
			b.RecordResult(now, selected, Result{Kind: results[r.IntN(3)]})
		}
		for _, from := range sent {
			n := countBetween(sent, from, from+time.Second+1)
			if n > rate*bounds.SlowStartExcess+bounds.SlowStartSlack {
				t.Fatalf("seed %d: %v requests within a second from %v at a rate of %v", seed, n, from, rate)
			}
		}
		if minSent := min(rate, 4) * 1.5; float64(len(sent)) < minSent {
			t.Errorf("seed %d: only %d requests in 6 s at a rate of %v", seed, len(sent), rate)
		}
	}
}

// Checks that only one proxy sends to an endpoint in slow start, and only while it holds a lease.
func TestSlowStartHasOneOwner(t *testing.T) {
	owners := 0
	request := Request{Service: "s", TimeToTarget: time.Second}
	for i := range 5 {
		b := New(fmt.Sprint("e", i), "a", bounds, 0)
		b.ConfigureService("s", 0, 4, time.Minute)
		b.SetProxies(proxyInfos(5))
		b.SetEndpoint(0, Endpoint{ID: "i", Service: "s", Zone: "a", Capacity: 8, Usable: true, WarmupEnd: time.Minute})
		if _, kind := b.Pick(time.Second, request); kind == apierror.None {
			t.Errorf("%s sends without a lease", b.name)
		}
		b.ExtendLease(3 * time.Second)
		if selected, kind := b.Pick(2*time.Second, request); kind == apierror.None {
			owners++
			b.RecordResult(2*time.Second, selected, Result{})
		}
		if _, kind := b.Pick(4*time.Second, request); kind == apierror.None {
			t.Errorf("%s sends after its lease", b.name)
		}
	}
	if owners != 1 {
		t.Errorf("%d proxies send", owners)
	}
}

// pickTest runs random requests against six endpoints in two zones.
type pickTest struct {
	*testing.T
	seed       uint64
	rand       *rand.Rand
	now        time.Duration
	balancer   *Balancer
	endpoints  []*endpoint
	inProgress []startedAttempt
}

type startedAttempt struct {
	selected  Selection
	startedAt time.Duration
}

const pickTestMaxConns = 3 // a share of connShare of 4 connections

func newPickTest(t *testing.T, seed uint64) *pickTest {
	p := &pickTest{T: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 11)), balancer: New("e0", "a", bounds, 0)}
	p.balancer.ConfigureService("s", 4, 0, 0)
	for i := range 6 {
		e := Endpoint{
			ID:       fmt.Sprint("i", i),
			Service:  "s",
			Address:  fmt.Sprint("10.0.0.", i, ":80"),
			Zone:     "ab"[i%2 : i%2+1],
			Capacity: 2 + p.rand.IntN(2),
			Usable:   p.rand.IntN(4) > 0,
		}
		p.balancer.SetEndpoint(0, e)
		p.endpoints = append(p.endpoints, p.balancer.endpoints[e.ID])
	}
	return p
}

// updateEndpoints changes the state of an endpoint now and then, and passes health checks of some suspects.
func (p *pickTest) updateEndpoints() {
	if p.rand.IntN(30) == 0 {
		e := p.endpoints[p.rand.IntN(6)].Endpoint
		e.Usable = p.rand.IntN(4) > 0
		p.balancer.SetEndpoint(p.now, e)
	}
	for _, s := range p.balancer.TakeSuspects() {
		if p.rand.IntN(2) == 0 {
			p.balancer.HealthCheckPassed(p.now, s, 0)
		} else {
			s.endpoint.checkInProgress = false
		}
	}
}

// finishAttempt ends a random attempt with a random result.
func (p *pickTest) finishAttempt() {
	kinds := []apierror.Kind{
		apierror.None,
		apierror.None,
		apierror.None,
		apierror.None,
		apierror.EndpointFailed,
		apierror.ConnectFailed,
		apierror.RejectedByEndpoint,
		apierror.Misdirected,
		apierror.ResponseTimeout,
		apierror.ConnectionBroken,
		apierror.TruncatedResponse,
	}
	i := p.rand.IntN(len(p.inProgress))
	ended := p.inProgress[i]
	p.inProgress = slices.Delete(p.inProgress, i, i+1)
	kind := kinds[p.rand.IntN(len(kinds))]
	p.balancer.RecordResult(p.now, ended.selected, Result{
		Kind:         kind,
		Latency:      p.now - ended.startedAt,
		Unresponsive: kind == apierror.ConnectFailed && p.rand.IntN(2) == 0,
	})
}

// pick selects an endpoint for a random request and checks the choice.
func (p *pickTest) pick() {
	var tried []string
	for range p.rand.IntN(3) {
		tried = append(tried, fmt.Sprint("i", p.rand.IntN(6)))
	}
	sameZone, otherZone := 0, 0 // allowed endpoints below spilloverLoad
	allowed := make([]bool, len(p.endpoints))
	for i, e := range p.endpoints {
		allowed[i] = e.Usable && !e.isSuspect && e.inFlight < pickTestMaxConns && p.now >= e.ejectedUntil &&
			!slices.Contains(tried, e.ID)
		switch {
		case !allowed[i] || e.load(p.now) >= spilloverLoad:
		case e.Zone == "a":
			sameZone++
		default:
			otherZone++
		}
	}
	selected, kind := p.balancer.Pick(p.now, Request{
		Service:      "s",
		TimeToTarget: time.Hour,
		Tried:        tried,
		Draws:        [2]float64{p.rand.Float64(), p.rand.Float64()},
	})
	e := selected.endpoint
	switch {
	case e == nil && (sameZone+otherZone > 0 || kind == apierror.None):
		p.Fatalf("seed %d: no endpoint selected (%v) though %d and %d are below capacity", p.seed, kind, sameZone, otherZone)
	case e == nil:
		return
	case !allowed[slices.Index(p.endpoints, e)]:
		p.Fatalf("seed %d: selected %+v after trying %v", p.seed, *e, tried)
	case sameZone == 0 && otherZone > 0 && e.Zone == "a" && e.load(p.now) > spilloverLoad+otherZonePenalty+0.5:
		p.Fatalf("seed %d: selected %+v though %d of another zone are below capacity", p.seed, *e, otherZone)
	}
	p.inProgress = append(p.inProgress, startedAttempt{selected, p.now})
}

// Checks over random requests that Pick never selects an endpoint that was tried, is not usable, is a suspect or is at
// its connection limit; that requests spill over to the other zone; and that in-flight counts return to zero.
func TestPick(t *testing.T) {
	for seed := range uint64(100) {
		p := newPickTest(t, seed)
		for range 400 {
			p.now += time.Duration(p.rand.Int64N(int64(60 * time.Millisecond)))
			p.updateEndpoints()
			if len(p.inProgress) > 0 && p.rand.IntN(5) < 3 {
				p.finishAttempt()
			} else {
				p.pick()
			}
		}
		for _, a := range p.inProgress {
			p.balancer.RecordResult(p.now, a.selected, Result{})
		}
		for _, e := range p.endpoints {
			if e.inFlight != 0 {
				t.Errorf("seed %d: %d requests in flight at %s at the end", seed, e.inFlight, e.ID)
			}
		}
	}
}

// Checks the order without a routing table: the proxy's own zone until it is nearly full, then other zones, then
// EndpointsSaturated.
func TestPickWithoutRoutingTable(t *testing.T) {
	b := New("e0", "a", bounds, 0)
	b.ConfigureService("s", 0, 0, 0)
	for i, zone := range []string{"a", "a", "b"} {
		b.SetEndpoint(0, Endpoint{ID: fmt.Sprint("i", i), Service: "s", Zone: zone, Capacity: 4, Usable: true})
	}
	var zones string
	var kind apierror.Kind
	for u := 0.05; ; u += 0.37 {
		selected, k := b.Pick(0, Request{Service: "s", Draws: [2]float64{u - float64(int(u)), 0.5}})
		if kind = k; k != apierror.None {
			break
		}
		zones += selected.endpoint.Zone
	}
	if zones[:6] != "aaaaaa" || !slices.Contains([]byte(zones), 'b') || kind != apierror.EndpointsSaturated {
		t.Errorf("selected zones %s, then %v", zones, kind)
	}
	if _, kind := b.Pick(0, Request{Service: "none"}); kind != apierror.NoEndpoint {
		t.Errorf("a service without endpoints: %v", kind)
	}
}

// Checks that a suspect is returned for one health check at a time, and gets no request until the check has passed.
func TestSuspectNeedsHealthCheck(t *testing.T) {
	b := New("e0", "a", bounds, 0)
	b.SetEndpoint(0, Endpoint{ID: "i", Service: "s", Zone: "a", Capacity: 4, Usable: true})
	pick := func(now time.Duration) Selection {
		selected, _ := b.Pick(now, Request{Service: "s", TimeToTarget: time.Second})
		return selected
	}
	failing, succeeding := pick(0), pick(0)
	b.RecordResult(time.Second, failing, Result{Kind: apierror.ConnectFailed})
	first, second := b.TakeSuspects(), b.TakeSuspects()
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("%d suspects, then %d", len(first), len(second))
	}
	b.RecordResult(2*time.Second, succeeding, Result{Kind: apierror.None}) // does not end the check in progress
	if pick(time.Minute).endpoint != nil {
		t.Error("a suspect was selected")
	}
	b.HealthCheckPassed(time.Minute, first[0], 0)
	if pick(time.Minute).endpoint == nil {
		t.Error("the endpoint was not selected after its health check passed")
	}
}

// Checks for each error kind that AllowRetry respects idempotency and the maximum number of attempts.
func TestAllowRetry(t *testing.T) {
	for _, kind := range apierror.Kinds() {
		for _, idempotent := range []bool{false, true} {
			for attempts := range 4 {
				b := newFleet(1).balancers[0]
				for range 100 {
					b.Admit(time.Minute, "s")
				}
				got, policy := b.AllowRetry(time.Minute, "s", kind, idempotent, attempts, 3), kind.Policy()
				want := policy.Retryable && (idempotent || !policy.MayHaveExecuted) && attempts < 3
				if got != want {
					t.Errorf("%v, idempotent %v, %d of 3 attempts: %v", kind, idempotent, attempts, got)
				}
			}
		}
	}
}
