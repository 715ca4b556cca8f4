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

// drawnDecisions simulates a minute of random updates, requests and results, and returns a digest of all decisions.
// The recorded texts are part of the digests in the golden file.
func drawnDecisions(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 11))
	zones := []string{"a", "b", "c"}
	digest := sha256.New()
	decisions := 0
	record := func(format string, v ...any) {
		decisions++
		fmt.Fprintf(digest, format+"\n", v...)
	}
	b := New("p0", "a", bounds, 0)
	for i := range 2 {
		b.ConfigureService(fmt.Sprint("s", i), r.IntN(3)*20, float64(r.IntN(20)), 3*time.Second)
	}
	var inProgress []Selection
	var suspects []Suspect
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
		switch action := r.IntN(100); {
		case action < 6:
			i := r.IntN(12)
			b.SetEndpoint(now, Endpoint{
				ID:        fmt.Sprint("e", i),
				Service:   fmt.Sprint("s", i%2),
				Address:   fmt.Sprint("10.0.0.", r.IntN(14)),
				Zone:      zones[r.IntN(3)],
				Capacity:  r.IntN(9),
				Usable:    r.IntN(5) > 0,
				WarmupEnd: now + time.Duration(max(r.IntN(6)-3, 0))*time.Second,
			})
		case action < 7:
			b.RemoveEndpoint(fmt.Sprint("e", r.IntN(12)))
		case action < 8:
			var all []ProxyInfo
			for i := range 1 + r.IntN(5) {
				all = append(all, ProxyInfo{Name: fmt.Sprint("p", i), Zone: zones[r.IntN(3)]})
			}
			b.SetProxies(all)
		case action < 10:
			b.ExtendLease(now + time.Duration(r.IntN(3))*time.Second)
		case action < 12:
			weights := map[string]float64{}
			for range r.IntN(6) {
				weights[fmt.Sprint("e", r.IntN(12))] = float64(r.IntN(4)) / 2
			}
			b.SetWeights(service, r.IntN(3) == 0, weights)
		case action < 14:
			b.SetRateLimit(service, float64(r.IntN(3)*r.IntN(100)), now)
		case action < 40:
			kind, retryAfter := b.Admit(now, service)
			record("admit %d %v", kind, retryAfter)
		case action < 70:
			var tried []string
			for range r.IntN(3) {
				tried = append(tried, fmt.Sprint("e", r.IntN(12)))
			}
			selected, kind := b.Pick(now, Request{
				Service:      service,
				TimeToTarget: time.Duration(r.IntN(900)-100) * time.Millisecond,
				Tried:        tried,
				Draws:        [2]float64{r.Float64(), r.Float64()},
				Priority:     r.IntN(7),
			})
			if kind != apierror.None {
				record("pick none %d", kind)
				break
			}
			record("pick %s %s %d", selected.ID, selected.Address, selected.MaxConns)
			inProgress = append(inProgress, selected)
		case action < 92:
			if len(inProgress) > 0 {
				i := r.IntN(len(inProgress))
				b.RecordResult(now, inProgress[i], Result{
					Kind:         kinds[r.IntN(len(kinds))],
					Latency:      time.Duration(r.IntN(800)) * time.Millisecond,
					Running:      r.IntN(9),
					Queued:       max(r.IntN(9)-4, 0),
					HasLoad:      r.IntN(2) == 0,
					WarmupLeft:   time.Duration(r.IntN(3)) * time.Second,
					HasWarmup:    r.IntN(6) == 0,
					Unresponsive: r.IntN(12) == 0,
				})
				inProgress = append(inProgress[:i], inProgress[i+1:]...)
			}
		case action < 95:
			allowed := b.AllowRetry(now, service, kinds[r.IntN(len(kinds))], r.IntN(2) == 0, r.IntN(3), 1+r.IntN(3))
			record("again %v", allowed)
		case action < 98:
			for _, suspect := range b.TakeSuspects() {
				record("doubt %s", suspect.Address)
				suspects = append(suspects, suspect)
			}
			if len(suspects) > 0 {
				i := r.IntN(len(suspects))
				if isKnown := b.IsStillKnown(suspects[i]); !isKnown || r.IntN(2) == 0 {
					record("wanted %v", isKnown)
					if isKnown {
						b.HealthCheckPassed(now, suspects[i], 1800*time.Millisecond)
					}
					suspects = append(suspects[:i], suspects[i+1:]...)
				}
			}
		default:
			report := b.Report()
			for _, load := range report.Services {
				record("use %s %v %v", load.Service, load.Requests, load.Failed)
			}
			for _, e := range report.Endpoints {
				record("met %s %v %v %v %v", e.ID, e.Attempts, e.Failed, e.Latency, e.Queued)
			}
			retryDelay := RetryDelay(time.Duration(r.IntN(3000))*time.Millisecond, r.Float64())
			record("after %v cold %v", retryDelay, b.SlowStart(service))
		}
	}
	return fmt.Sprintf("%d decisions %x", decisions, digest.Sum(nil)[:12])
}

// Guards against changed decisions: the golden file holds the digests that commit d330930 produced.
func TestDecisionsStayTheSame(t *testing.T) {
	text, err := os.ReadFile("testdata/decisions-d330930.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	for seed, line := range want {
		if got := drawnDecisions(uint64(seed)); got != line {
			t.Errorf("seed %d: got %s, want %s", seed, got, line)
		}
	}
	if len(want) != 80 {
		t.Errorf("the golden file has %d lines, want 80", len(want))
	}
}
