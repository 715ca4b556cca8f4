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

func members(n int) (all []ProxyInfo) {
	for i := range n {
		all = append(all, ProxyInfo{fmt.Sprint("e", i), "a"})
	}
	return all
}

// fleet is carriers that know of one another; each reads its own clock, which begins with its life.
type fleet struct {
	carriers []*Balancer
	born     []time.Duration
}

func (f *fleet) start(i int, now time.Duration) {
	f.carriers[i], f.born[i] = New(fmt.Sprint("e", i), "a", bounds, 0), now
}

func newFleet(n int) *fleet {
	f := &fleet{make([]*Balancer, n), make([]time.Duration, n)}
	for i := range n {
		f.start(i, -time.Minute) // they run for a while
		f.carriers[i].SetProxies(members(n))
	}
	return f
}

// inside counts the instants of [from, to), which are in order.
func inside(all []time.Duration, from, to time.Duration) float64 {
	at := func(t time.Duration) int { return sort.Search(len(all), func(i int) bool { return all[i] >= t }) }
	return float64(at(to) - at(from))
}

// overBudget is the rule, plainly: wherever the window lies, the arrivals past the first stay under a part of the
// requests of it, of the one before or of the one half a window before, whichever has the most.
func overBudget(asked, again []time.Duration) string {
	w := bounds.RetryWindow
	for _, t := range again {
		n := max(inside(asked, t, t+w), inside(asked, t-w, t), inside(asked, t-w/2, t+w/2))
		if got, most := inside(again, t, t+w), bounds.RetryRatio*n+bounds.RetrySlack; got > most {
			return fmt.Sprintf("%v further arrivals in the window from %v, for %v requests: %v are allowed", got, t, n, most)
		}
	}
	return ""
}

// spell is a stretch of a day: how many requests come, and which part of all arrivals fails.
type spell struct {
	until  time.Duration
	rate   float64 // requests/s
	failed float64
}

// day plays spells through a fleet and returns the instants of the requests and of the arrivals past their first.
// Restarts are drawn for one carrier every so often.
func (f *fleet) day(r *rand.Rand, spells []spell, restarts time.Duration) (asked, again []time.Duration) {
	const tick = 10 * time.Millisecond
	now, restart := time.Duration(0), restarts
	for _, s := range spells {
		for ; now < s.until; now += tick {
			if restarts > 0 && now >= restart {
				i := r.IntN(len(f.carriers))
				f.start(i, now)
				f.carriers[i].SetProxies(members(len(f.carriers)))
				restart += time.Duration(r.Int64N(int64(2 * restarts)))
			}
			for range int(s.rate*tick.Seconds() + r.Float64()) {
				i := min(r.IntN(len(f.carriers)), r.IntN(len(f.carriers))) // shares are uneven
				c, at := f.carriers[i], now-f.born[i]
				asked = append(asked, now)
				c.Admit(at, "s")
				for offered := 1; r.Float64() < s.failed && c.AllowRetry(
					at,
					"s",
					apierror.RejectedByEndpoint,
					true,
					offered,
					4,
				); offered++ {
					again = append(again, now)
				}
			}
		}
	}
	return asked, again
}

// However requests and failures are spread over time, over carriers and over their lives, the rule is kept.
func TestBudgetOfAllCarriersTogether(t *testing.T) {
	failed := 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		f := newFleet([]int{1, 3, 10}[seed%3])
		var spells []spell
		for until := time.Duration(0); until < 45*time.Second; {
			until += time.Second/2 + time.Duration(r.Int64N(int64(7*time.Second)))
			spells = append(spells, spell{until, []float64{5, 40, 200, 400}[r.IntN(4)], []float64{0, 0.1, 1}[r.IntN(3)]})
		}
		restarts := time.Duration(0)
		// One carrier after the other, each about twice in the day. A lone one is left out: it forgets the whole fleet's
		// arrivals when it dies in the middle of a failure.
		if seed%2 == 1 && len(f.carriers) > 1 {
			restarts = 20 * time.Second / time.Duration(len(f.carriers))
		}
		if text := overBudget(f.day(r, spells, restarts)); text != "" {
			if failed++; failed <= 4 {
				t.Errorf("seed %d, %d carriers: %s", seed, len(f.carriers), text)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of 150 seeds failed", failed)
	}
}

// All fails from one moment on, for longer than a window: the plainest case, wherever in a part of the window it is.
func TestBudgetWhereAllFailsForLong(t *testing.T) {
	for begin := 10 * time.Second; begin < 11*time.Second; begin += 250 * time.Millisecond {
		asked, again := newFleet(
			3,
		).day(
			rand.New(rand.NewPCG(1, 1)),
			[]spell{{begin, 400, 0}, {begin + 25*time.Second, 400, 1}},
			0,
		)
		if text := overBudget(asked, again); text != "" {
			t.Errorf("from %v on: %s", begin, text)
		}
		if float64(len(again)) < bounds.RetryRatio*float64(len(asked))/3 {
			t.Errorf("%d further tries for %d requests: hardly any", len(again), len(asked))
		}
	}
}

// The model sees a carrier that keeps the whole budget for itself.
func TestBudgetModelSeesTooMuch(t *testing.T) {
	f := newFleet(10)
	for _, c := range f.carriers {
		c.maxProxies = 1
	}
	asked, again := f.day(rand.New(rand.NewPCG(1, 1)), []spell{{5 * time.Second, 200, 1}}, 0)
	if overBudget(asked, again) == "" {
		t.Error("ten carriers that each use all of the slack are not noticed")
	}
}

// Two carriers that both hold themselves to be the one that sends to a cold backend stay under the bound together.
func TestColdBackendWhereMembersDisagree(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		rate := []float64{0.3, 1, 4.1, 12, 40}[r.IntN(5)]
		pair := []*Balancer{New("e0", "a", bounds, 0), New("e1", "a", bounds, 0)}
		b := Endpoint{ID: "i", Service: "s", Address: "10.0.0.1:80", Zone: "a", Capacity: 8, Usable: true,
			WarmupEnd: time.Hour}
		for i, c := range pair {
			c.ConfigureService("s", 0, rate, time.Hour)
			c.SetEndpoint(0, b)
			c.SetProxies(members(2)[i : i+1]) // each has heard of itself alone
			c.ExtendLease(time.Hour)
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 6*time.Second; now += time.Duration(r.Int64N(int64(40 * time.Millisecond))) {
			c := pair[r.IntN(2)]
			if r.IntN(10) == 0 {
				c.SetEndpoint(now, b) // told again
			}
			if p, kind := c.Pick(now, Request{Service: "s", TimeToTarget: time.Second}); kind == apierror.None {
				sent = append(sent, now)
				c.RecordResult(
					now,
					p,
					Result{Kind: []apierror.Kind{apierror.None, apierror.ResponseTimeout, apierror.MismatchedResponse}[r.IntN(3)]},
				)
			}
		}
		for _, from := range sent {
			if n := inside(sent, from, from+time.Second+1); n > rate*bounds.SlowStartExcess+bounds.SlowStartSlack {
				t.Fatalf("seed %d: %v requests within a second from %v at a rate of %v", seed, n, from, rate)
			}
		}
		if least := min(rate, 4) * 1.5; float64(len(sent)) < least {
			t.Errorf("seed %d: only %d requests in 6 s at a rate of %v", seed, len(sent), rate)
		}
	}
}

// Only the owner sends to a cold backend, and only while its lease stands.
func TestColdBackendHasOneOwner(t *testing.T) {
	owners := 0
	for i := range 5 {
		c := New(fmt.Sprint("e", i), "a", bounds, 0)
		c.ConfigureService("s", 0, 4, time.Minute)
		c.SetProxies(members(5))
		c.SetEndpoint(0, Endpoint{ID: "i", Service: "s", Zone: "a", Capacity: 8, Usable: true, WarmupEnd: time.Minute})
		if _, kind := c.Pick(time.Second, Request{Service: "s", TimeToTarget: time.Second}); kind == apierror.None {
			t.Errorf("%s sends without a lease", c.name)
		}
		c.ExtendLease(3 * time.Second)
		if p, kind := c.Pick(2*time.Second, Request{Service: "s", TimeToTarget: time.Second}); kind == apierror.None {
			owners++
			c.RecordResult(2*time.Second, p, Result{})
		}
		if _, kind := c.Pick(4*time.Second, Request{Service: "s", TimeToTarget: time.Second}); kind == apierror.None {
			t.Errorf("%s sends after its lease", c.name)
		}
	}
	if owners != 1 {
		t.Errorf("%d carriers send", owners)
	}
}

// Over drawn requests: what was tried, may not be used, is in doubt or full is never picked; with room in the own
// zone nothing leaves it, without any it does; and all that was taken is given back.
func TestPick(t *testing.T) {
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
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 11))
		s := New("e0", "a", bounds, 0)
		s.ConfigureService("s", 4, 0, 0) // 3 of 4 connections to each backend
		var all []*endpoint
		for i := range 6 {
			b := Endpoint{
				ID:       fmt.Sprint("i", i),
				Service:  "s",
				Address:  fmt.Sprint("10.0.0.", i, ":80"),
				Zone:     "ab"[i%2 : i%2+1],
				Capacity: 2 + r.IntN(2),
				Usable:   r.IntN(4) > 0,
			}
			s.SetEndpoint(0, b)
			all = append(all, s.endpoints[b.ID])
		}
		type try struct {
			b    Selection
			from time.Duration
		}
		var open []try
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.Int64N(int64(60 * time.Millisecond)))
			if r.IntN(30) == 0 {
				b := all[r.IntN(6)].Endpoint
				b.Usable = r.IntN(4) > 0
				s.SetEndpoint(now, b)
			}
			for _, b := range s.TakeSuspects() {
				if r.IntN(2) == 0 {
					s.HealthCheckPassed(now, b, 0)
				} else {
					b.endpoint.checking = false
				}
			}
			if len(open) > 0 && r.IntN(5) < 3 {
				i := r.IntN(len(open))
				o := open[i]
				open = slices.Delete(open, i, i+1)
				kind := kinds[r.IntN(len(kinds))]
				s.RecordResult(
					now,
					o.b,
					Result{Kind: kind, Latency: now - o.from, Unresponsive: kind == apierror.ConnectFailed && r.IntN(2) == 0},
				)
				continue
			}
			var tried []string
			for range r.IntN(3) {
				tried = append(tried, fmt.Sprint("i", r.IntN(6)))
			}
			may := func(b *endpoint) bool {
				return b.Usable && !b.isSuspect && b.inFlight < 3 && now >= b.ejectedUntil && !slices.Contains(tried, b.ID)
			}
			home, away := 0, 0 // with room
			for _, b := range all {
				if may(b) && b.load(now) < spillLoad {
					if b.Zone == "a" {
						home++
					} else {
						away++
					}
				}
			}
			before := make([]bool, len(all))
			for i, b := range all {
				before[i] = may(b)
			}
			b, kind := s.Pick(
				now,
				Request{Service: "s", TimeToTarget: time.Hour, Tried: tried, Draws: [2]float64{r.Float64(), r.Float64()}},
			)
			switch {
			case b.endpoint == nil && (home+away > 0 || kind == apierror.None):
				t.Fatalf("seed %d: nobody is picked (%v), %d and %d have room", seed, kind, home, away)
			case b.endpoint == nil:
				continue
			case !before[slices.Index(all, b.endpoint)]:
				t.Fatalf("seed %d: %+v is picked, after %v", seed, *b.endpoint, tried)
			case home == 0 && away > 0 && b.endpoint.Zone == "a" && b.endpoint.load(now) > spillLoad+otherZonePenalty+0.5:
				t.Fatalf("seed %d: %+v is picked, %d of another zone have room", seed, *b.endpoint, away)
			}
			open = append(open, try{b, now})
		}
		for _, o := range open {
			s.RecordResult(now, o.b, Result{})
		}
		for _, b := range all {
			if b.inFlight != 0 {
				t.Errorf("seed %d: %s is left with %d requests", seed, b.ID, b.inFlight)
			}
		}
	}
}

// With no word of the zone's controller the own zone is asked until it is nearly full, then the next; full is said
// at the end.
func TestPickOwnZoneThenOthersThenFull(t *testing.T) {
	s := New("e0", "a", bounds, 0)
	s.ConfigureService("s", 0, 0, 0)
	for i, zone := range []string{"a", "a", "b"} {
		s.SetEndpoint(0, Endpoint{ID: fmt.Sprint("i", i), Service: "s", Zone: zone, Capacity: 4, Usable: true})
	}
	var zones string
	var kind apierror.Kind
	for u := 0.05; ; u += 0.37 {
		b, k := s.Pick(0, Request{Service: "s", Draws: [2]float64{u - float64(int(u)), 0.5}})
		if kind = k; k != apierror.None {
			break
		}
		zones += b.endpoint.Zone
	}
	if zones[:6] != "aaaaaa" || !slices.Contains([]byte(zones), 'b') || kind != apierror.EndpointsSaturated {
		t.Errorf("%s, then %v", zones, kind)
	}
	if _, kind := s.Pick(0, Request{Service: "none"}); kind != apierror.NoEndpoint {
		t.Errorf("a service without backends: %v", kind)
	}
}

// A backend in doubt is handed out once to be proved, and gets no request until it was.
func TestDoubtIsProvedByOne(t *testing.T) {
	s := New("e0", "a", bounds, 0)
	s.SetEndpoint(0, Endpoint{ID: "i", Service: "s", Zone: "a", Capacity: 4, Usable: true})
	pick := func(now time.Duration) Selection {
		b, _ := s.Pick(now, Request{Service: "s", TimeToTarget: time.Second})
		return b
	}
	one, two := pick(0), pick(0)
	s.RecordResult(time.Second, one, Result{Kind: apierror.ConnectFailed})
	first, second := s.TakeSuspects(), s.TakeSuspects()
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("proved by %d, then by %d", len(first), len(second))
	}
	s.RecordResult(2*time.Second, two, Result{Kind: apierror.None}) // an older one ends; the proof is still under way
	if pick(time.Minute).endpoint != nil {
		t.Error("a request goes to a backend in doubt")
	}
	s.HealthCheckPassed(time.Minute, first[0], 0)
	if pick(time.Minute).endpoint == nil {
		t.Error("nothing goes to it once it is proved")
	}
}

// A request that may have run goes on only where it may run again, and none beyond its tries.
func TestAgain(t *testing.T) {
	for _, kind := range apierror.Kinds() {
		for _, repeatable := range []bool{false, true} {
			for offered := range 4 {
				s := newFleet(1).carriers[0]
				for range 100 {
					s.Admit(time.Minute, "s")
				}
				got, rule := s.AllowRetry(time.Minute, "s", kind, repeatable, offered, 3), kind.Policy()
				if want := rule.Retryable && (repeatable || !rule.MayHaveExecuted) && offered < 3; got != want {
					t.Errorf("%v, repeatable %v, at %d of 3: %v", kind, repeatable, offered, got)
				}
			}
		}
	}
}
