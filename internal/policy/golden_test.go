package policy

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// testdata/steps.txt holds a digest of all orders of random scenarios, recorded at commit d330930, one per line. It
// guards against unintended changes of decisions. POLICY_DAYS=n plays n scenarios and logs a single digest.

const recordedScenarios = 24

func TestStepsStayTheSame(t *testing.T) {
	if text := os.Getenv("POLICY_DAYS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		steps, sum := 0, fnv.New64a()
		for seed := range n {
			result := playScenario(uint64(seed))
			steps += result.steps
			_, _ = fmt.Fprintln(sum, result)
		}
		t.Logf("%d scenarios, %d steps, digest %016x", n, steps, sum.Sum64())
		return
	}
	text, err := os.ReadFile("testdata/steps.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != recordedScenarios {
		t.Fatalf("%d scenarios are recorded, want %d", len(want), recordedScenarios)
	}
	for seed, line := range want {
		if got := fmt.Sprint(playScenario(uint64(seed))); got != line {
			t.Errorf("seed %d: %s, want %s", seed, got, line)
		}
	}
}

type scenarioResult struct {
	seed          uint64
	steps, orders int
	digest        uint64
}

func (d scenarioResult) String() string {
	return fmt.Sprintf("day %d: %d steps, %d orders, %016x", d.seed, d.steps, d.orders, d.digest)
}

// playScenario plays 300 s of a random deployment: missing reports, wrong and failing lists, reconnecting proxies,
// overload, remote reports, restrictions, slow channels and restored estimates.
func playScenario(seed uint64) scenarioResult {
	d := scenario{rand: rand.New(rand.NewPCG(seed, 7)), result: scenarioResult{seed: seed}, sum: fnv.New64a()}
	d.setRandomDeployment()
	d.a = New(d.deployment)
	d.begin()
	for d.now < 300*Second {
		d.now += Time(d.rand.IntN(int(Second/2))) + 1
		d.addEvents()
		d.step()
	}
	d.result.digest = d.sum.Sum64()
	return d.result
}

type scenario struct {
	rand                        *rand.Rand
	result                      scenarioResult
	sum                         hash.Hash64
	deployment                  Deployment
	a                           *Assigner
	now                         Time
	events                      []Event
	backends, proxies           int
	loadFactor                  float64
	timers                      []pendingTimer
	slowChannel, fewReports     bool
	remoteReports, restrictions bool
	openMarkers                 []int
}

type pendingTimer struct {
	at   Time
	name uint32
}

func (d *scenario) chance(p float64) bool { return d.rand.Float64() < p }

func (d *scenario) setRandomDeployment() {
	zones := 1 + d.rand.IntN(4)
	d.backends, d.proxies = 4+d.rand.IntN(40), 2+d.rand.IntN(24)
	products := []Product{{Revenue: 1, SLA: 8000}}
	if d.chance(0.7) {
		products = append(products, Product{Revenue: 3, SLA: 20000, OwnZone: true})
	}
	if d.chance(0.5) {
		products = append(products, Product{Revenue: 2, SLA: 8000, OnlyZones: []int{0}, OnlyKinds: []int{0, 1}})
	}
	if d.chance(0.3) {
		products = append(products, Product{Revenue: 1, SLA: 4000, OnlyKinds: []int{1}})
	}
	d.deployment = Deployment{
		Products: products, Zones: zones, Proxies: d.proxies + d.rand.IntN(10), HonorRemovals: d.chance(0.5),
		Limits:     []LimitKind{LimitRate, LimitRate, LimitShare, LimitNone}[d.rand.IntN(4)],
		WarmupTime: Time(d.rand.IntN(20)) * Second, WarmupCapacity: 0.1 + 0.3*d.rand.Float64(),
		WarmupOverload: 1 + 3*d.rand.Float64(), MessageOverhead: 6, MessageWindow: 10 * Second,
		ListOnRequest: d.chance(0.2), Probes: d.chance(0.3), Gauges: []Gauge{GaugeOther, GaugeInFlight},
	}
	if d.chance(0.7) {
		d.deployment.MinConns = 50 + 1000*d.rand.Float64()
	}
	if d.chance(0.8) {
		d.deployment.LinesPerSecond = 200 + 4000*d.rand.Float64()
		d.deployment.MaxQueuedLines = d.deployment.LinesPerSecond * (0.5 + 2*d.rand.Float64())
		d.deployment.MaxMessages = 10 + d.rand.IntN(40)
	}
	if d.chance(0.5) {
		d.deployment.FirstTick = Time(1 + d.rand.IntN(int(Second)))
	}
	d.loadFactor, d.slowChannel, d.remoteReports, d.restrictions = 1, d.chance(0.3), d.chance(0.4), d.chance(0.4)
	d.fewReports = d.chance(0.2)
}

func (d *scenario) entry(b int, status Status) Entry {
	zones := max(d.deployment.Zones, 1)
	return Entry{Backend: b, Zone: b % zones, Kind: b / zones % 2, Status: status, Weight: 1 + float64(b%4)}
}

func (d *scenario) begin() {
	if d.chance(0.3) {
		for p := range d.proxies {
			d.add(
				RestoredEstimate{
					Kind:       EstimateUsage,
					Proxy:      p,
					Value:      20 * d.rand.Float64(),
					Age:        Second,
					Confidence: d.rand.Float64(),
				},
			)
		}
		d.add(RestoredEstimate{Kind: EstimateTotalLimit, Value: 30 * d.rand.Float64(), Age: Second, Confidence: 1})
		d.add(RestoredEstimate{Kind: EstimateKnee, Value: 40 * d.rand.Float64(), Age: Second, Confidence: 1})
		d.add(RestoredEstimate{Kind: EstimateThroughput, Value: 40 * d.rand.Float64(), Age: Second, Confidence: 1})
	}
	var all []Entry
	for b := range d.backends {
		all = append(all, d.entry(b, Ready))
	}
	d.add(ListUpdate{Kind: ListCached, Entries: all})
	for b := range d.backends {
		if d.chance(0.1) {
			d.add(RestoredEstimate{Kind: EstimateDerating, Backend: b, Value: d.rand.Float64(), Confidence: d.rand.Float64()})
		}
	}
	for p := range d.proxies {
		if d.chance(0.8) {
			d.connect(p)
		}
	}
}

func (d *scenario) add(e ...Event) { d.events = append(d.events, e...) }

func (d *scenario) connect(p int) {
	zone, rate := p%d.deployment.Zones, 30*d.rand.Float64()
	d.add(ProxyConnected{Proxy: p, Zone: zone, Rate: rate, HasPeerTables: d.chance(0.5)})
}

// addEvents adds the events up to this step.
func (d *scenario) addEvents() {
	pending := d.timers[:0]
	for _, timer := range d.timers {
		if timer.at <= d.now {
			d.add(TimerFired{Name: timer.name})
			continue
		}
		pending = append(pending, timer)
	}
	d.timers = pending
	if d.chance(0.03) {
		d.loadFactor = []float64{0.3, 1, 1, 2, 6}[d.rand.IntN(5)]
	}
	if !d.fewReports || d.chance(0.1) {
		d.addReports()
	}
	if d.chance(0.2) {
		d.addChange()
	}
	d.ackMarkers()
}

func (d *scenario) addReports() {
	for p := range d.proxies {
		if !d.chance(0.3) {
			continue
		}
		for k := range d.deployment.Products {
			if d.chance(0.9) {
				txns := float64(d.rand.IntN(30)) * d.loadFactor
				d.add(UsageReport{Proxy: p, Product: k, Txns: txns, Failed: txns * 0.1 * d.rand.Float64(),
					Period: Time(1 + d.rand.IntN(int(2*Second)))})
			}
		}
	}
	for b := range d.backends {
		if !d.chance(0.4) {
			continue
		}
		attempts := float64(d.rand.IntN(40))
		slow := 1 + d.loadFactor*d.loadFactor*d.rand.Float64()
		if b%7 == int(d.now/(40*Second))%7 {
			slow *= 4
		}
		failed := float64(d.rand.IntN(3))
		report := BackendReport{Backend: b, Attempts: attempts, Failed: failed, Latency: Time(400 + 700*slow)}
		if d.remoteReports && d.chance(0.5) {
			d.add(RemoteReport{BackendReport: report, Age: Time(d.rand.IntN(int(5 * Second)))})
			continue
		}
		d.add(report)
	}
	if d.remoteReports && d.chance(0.3) {
		uses := make([][]float64, len(d.deployment.Products))
		for k := range uses {
			for range d.deployment.Zones {
				uses[k] = append(uses[k], 200*d.rand.Float64())
			}
		}
		d.add(RemoteUsage{Rates: uses})
	}
	for b := range d.backends {
		if d.deployment.Probes && d.chance(0.2) {
			d.add(ProbeResult{Backend: b, Load: []float64{1, float64(d.rand.IntN(20))}})
		}
	}
}

func (d *scenario) addChange() {
	b, p := d.rand.IntN(d.backends), d.rand.IntN(d.proxies)
	switch d.rand.IntN(12) {
	case 0, 1:
		d.add(ListUpdate{Kind: ListChange, Entries: []Entry{d.entry(b, Draining)}})
	case 2, 3:
		e := d.entry(b, Ready)
		e.StartedAt = d.now
		d.add(ListUpdate{Kind: ListChange, Entries: []Entry{e}})
	case 4:
		d.add(ListUpdate{Kind: ListChange, Entries: []Entry{{Backend: b, Status: Gone}}})
	case 5:
		var all []Entry
		for i := range d.backends {
			if d.chance(0.85) {
				all = append(all, d.entry(i, Ready))
			}
		}
		d.add(ListUpdate{Kind: ListFull, Entries: all})
	case 6:
		d.add(ListUpdate{Kind: ListFailed})
	case 7, 8:
		d.add(ProxyDisconnected{Proxy: p})
		if d.chance(0.7) {
			d.connect(p)
		}
	case 9:
		d.connect(p)
	case 10:
		if d.restrictions {
			d.restrict(p)
		}
	case 11:
		d.add(ListUpdate{Kind: ListChange, Entries: []Entry{{Backend: b, Status: Gone}}}, IndexReleased{Backend: b})
	}
}

func (d *scenario) restrict(p int) {
	e := ProxyRestricted{Proxy: p, Restricted: d.chance(0.7), NoRetries: d.chance(0.3)}
	if d.chance(0.5) {
		e.MaxRate = 40 * d.rand.Float64()
	}
	for b := range d.backends {
		if d.chance(0.4) {
			e.Backends = append(e.Backends, b)
		}
	}
	d.add(e)
}

// ackMarkers acknowledges open markers for most proxies.
func (d *scenario) ackMarkers() {
	var open []int
	for _, number := range d.openMarkers {
		if d.slowChannel && d.chance(0.7) {
			open = append(open, number)
			continue
		}
		for p := range d.proxies {
			if d.chance(0.9) {
				d.add(MarkerAcked{Proxy: p, Number: number})
			}
		}
	}
	d.openMarkers = open
}

func (d *scenario) step() {
	orders := d.a.Step(d.now, d.events)
	d.events = nil
	d.result.steps++
	d.result.orders += len(orders)
	for _, o := range orders {
		d.addToDigest(o)
	}
}

// addToDigest adds an order's values under a fixed number, independently of Go names.
func (d *scenario) addToDigest(o Order) {
	write := func(kind int, values ...any) { _, _ = fmt.Fprintln(d.sum, append([]any{d.now, kind}, values...)...) }
	switch o := o.(type) {
	case SetWeight:
		write(1, o.Table, o.Backend, o.Weight)
	case ClearTable:
		write(2, o.Table)
	case AssignTable:
		write(3, o.Proxy, o.Table, o.Products)
	case Withdraw:
		write(4, o.Backend, o.Withdrawn, o.Deferred)
	case Admission:
		write(5, o.Table, o.RateLimit, uint8(o.Retries), o.Products)
	case Marker:
		write(6, o.Number, o.All)
		d.openMarkers = append(d.openMarkers, o.Number)
	case SetTimer:
		write(7, o.Delay, o.Name)
		d.timers = append(d.timers, pendingTimer{d.now + o.Delay, o.Name})
	case Probe:
		write(8, o.Backend)
	case WatchList:
		write(9, o.Enabled)
	case ReloadList:
		write(10)
	case Log:
		write(11, o.Text)
	default:
		write(12)
	}
}
