package balancer

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"elmfold/internal/gateway/apierror"
)

// drawnDecisions plays a minute of drawn endpoints, requests and results, and returns the digest of all decisions.
func drawnDecisions(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 11))
	zones := []string{"a", "b", "c"}
	sum := sha256.New()
	decisions := 0
	note := func(format string, v ...any) {
		decisions++
		fmt.Fprintf(sum, format+"\n", v...)
	}
	s := New(
		"p0",
		"a",
		Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, SlowStartExcess: 1.5, SlowStartSlack: 5},
		0,
	)
	for i := range 2 {
		s.ConfigureService(fmt.Sprint("s", i), r.IntN(3)*20, float64(r.IntN(20)), 3*time.Second)
	}
	var busy []Selection
	var doubts []Suspect
	kinds := []apierror.Kind{
		apierror.None,
		apierror.None,
		apierror.None,
		apierror.None,
		apierror.None,
		apierror.EndpointFailed,
		apierror.ConnectFailed,
		apierror.EndpointsSaturated,
		apierror.RejectedByEndpoint,
		apierror.Misdirected,
		apierror.ResponseTimeout,
		apierror.ConnectionBroken,
		apierror.InvalidResponse,
		apierror.TruncatedResponse,
	}
	now := time.Duration(0)
	for now < time.Minute {
		now += time.Duration(r.IntN(20)) * time.Millisecond
		service := fmt.Sprint("s", r.IntN(2))
		switch k := r.IntN(100); {
		case k < 6:
			i := r.IntN(12)
			s.SetEndpoint(
				now,
				Endpoint{ID: fmt.Sprint("e", i), Service: fmt.Sprint("s", i%2), Address: fmt.Sprint("10.0.0.", r.IntN(14)),
					Zone: zones[r.IntN(3)], Capacity: r.IntN(9), Usable: r.IntN(5) > 0,
					WarmupEnd: now + time.Duration(max(r.IntN(6)-3, 0))*time.Second},
			)
		case k < 7:
			s.RemoveEndpoint(fmt.Sprint("e", r.IntN(12)))
		case k < 8:
			var all []ProxyInfo
			for i := range 1 + r.IntN(5) {
				all = append(all, ProxyInfo{Name: fmt.Sprint("p", i), Zone: zones[r.IntN(3)]})
			}
			s.SetProxies(all)
		case k < 10:
			s.ExtendLease(now + time.Duration(r.IntN(3))*time.Second)
		case k < 12:
			weights := map[string]float64{}
			for range r.IntN(6) {
				weights[fmt.Sprint("e", r.IntN(12))] = float64(r.IntN(4)) / 2
			}
			s.SetWeights(service, r.IntN(3) == 0, weights)
		case k < 14:
			s.SetRateLimit(service, float64(r.IntN(3)*r.IntN(100)), now)
		case k < 40:
			kind, after := s.Admit(now, service)
			note("admit %d %v", kind, after)
		case k < 70:
			var tried []string
			for range r.IntN(3) {
				tried = append(tried, fmt.Sprint("e", r.IntN(12)))
			}
			b, kind := s.Pick(
				now,
				Request{Service: service, TimeToTarget: time.Duration(r.IntN(900)-100) * time.Millisecond, Tried: tried,
					Draws: [2]float64{r.Float64(), r.Float64()}, Priority: r.IntN(7)},
			)
			if kind != apierror.None {
				note("pick none %d", kind)
				break
			}
			note("pick %s %s %d", b.ID, b.Address, b.MaxConns)
			busy = append(busy, b)
		case k < 92:
			if len(busy) > 0 {
				i := r.IntN(len(busy))
				s.RecordResult(now, busy[i], Result{
					Kind:         kinds[r.IntN(len(kinds))],
					Latency:      time.Duration(r.IntN(800)) * time.Millisecond,
					Running:      r.IntN(9),
					Queued:       max(r.IntN(9)-4, 0),
					HasLoad:      r.IntN(2) == 0,
					WarmupLeft:   time.Duration(r.IntN(3)) * time.Second,
					HasWarmup:    r.IntN(6) == 0,
					Unresponsive: r.IntN(12) == 0,
				})
				busy = append(busy[:i], busy[i+1:]...)
			}
		case k < 95:
			again := s.AllowRetry(now, service, kinds[r.IntN(len(kinds))], r.IntN(2) == 0, r.IntN(3), 1+r.IntN(3))
			note("again %v", again)
		case k < 98:
			for _, d := range s.TakeSuspects() {
				note("doubt %s", d.Address)
				doubts = append(doubts, d)
			}
			if len(doubts) > 0 {
				i := r.IntN(len(doubts))
				if wanted := s.IsStillKnown(doubts[i]); !wanted || r.IntN(2) == 0 {
					note("wanted %v", wanted)
					if wanted {
						s.HealthCheckPassed(now, doubts[i], 1800*time.Millisecond)
					}
					doubts = append(doubts[:i], doubts[i+1:]...)
				}
			}
		default:
			rep := s.Report()
			for _, u := range rep.Services {
				note("use %s %v %v", u.Service, u.Requests, u.Failed)
			}
			for _, m := range rep.Endpoints {
				note("met %s %v %v %v %v", m.ID, m.Attempts, m.Failed, m.Latency, m.Queued)
			}
			note("after %v cold %v", RetryDelay(time.Duration(r.IntN(3000))*time.Millisecond, r.Float64()), s.SlowStart(service))
		}
	}
	return fmt.Sprintf("%d decisions %x", decisions, sum.Sum(nil)[:12])
}

// Drawn minutes are decided as they were with d330930, which wrote the golden file: a change of names or of shape must
// not change a decision.
func TestDecisionsStayTheSame(t *testing.T) {
	text, err := os.ReadFile("testdata/decisions-d330930.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	for seed, line := range want {
		if got := drawnDecisions(uint64(seed)); got != line {
			t.Errorf("seed %d: %s, with d330930 %s", seed, got, line)
		}
	}
	if len(want) != 80 {
		t.Errorf("%d seeds", len(want))
	}
}
