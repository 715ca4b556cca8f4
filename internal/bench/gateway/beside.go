package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/fakes/gateway"
)

const (
	besideBackends = 6
	besideSlots    = 64
	besideRate     = 200 // requests/s
	playDuration   = 8 * time.Second
	besideMany     = 20_000 // requests as fast as besideHands go
	besideHands    = 8
	besideIdle     = 6 * time.Second
	besideWarmup   = 200 // requests
)

var besideZones = []string{"a", "b", "c"}

func besideCommand() *cobra.Command {
	var w report.Where
	var programs string
	var other comparison
	c := &cobra.Command{
		Use: "gateway",
		Short: "requests through a real proxy beside direct ones to the same backends: added time, requests a core, " +
			"memory, bytes for control",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if other.programs != "" {
				return compare(w, programs, other)
			}
			return playBeside(w, programs)
		},
	}
	w.Flags(c)
	other.flags(c)
	c.Flags().StringVar(&programs, "programs", "target", "folder of elmfold-controlplane and elmfold-proxy")
	return c
}

// caller sends requests and counts what must come out.
type caller struct {
	client *http.Client
	path   string
	host   string

	mu     sync.Mutex
	sent   int
	right  int // 200, the seal, the attempt, the whole body
	faults map[string]int
}

func newCaller(host, prefix string) *caller {
	return &caller{
		client: &http.Client{
			Timeout:   6 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		},
		path:   prefix + "2f?x=%2e",
		host:   host,
		faults: map[string]int{},
	}
}

// call gives the time of one request to an address, in ms.
func (c *caller) call(address, id string) float64 {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+c.path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	req.Header.Set("X-Elmfold-Attempt-Id", id)
	req.Header.Set("X-Elmfold-Time-Budget-Ms", "5000")
	began := time.Now()
	resp, err := c.client.Do(req)
	fault := ""
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	took := time.Since(began)
	switch {
	case err != nil:
		fault = err.Error()
	case resp.StatusCode != http.StatusOK:
		fault = fmt.Sprintf("%d %s", resp.StatusCode, body)
	case resp.Header.Get("X-Elmfold-Server-Seal") != "lab."+id || resp.Header.Get("X-Elmfold-Attempt-Id") != id ||
		!bytes.Contains(body, []byte(c.path)):
		fault = "an answer without its seal, attempt or path"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent++; fault == "" {
		c.right++
	} else {
		c.faults[fault]++
	}
	return float64(took) / float64(time.Millisecond)
}

// rig is one deployment with its backends and a caller of its proxy.
type rig struct {
	seed       uint64
	dir        string
	deployment *gateway.Deployment
	backends   []*gateway.Backend
	own        []*gateway.Backend // of the proxy's zone
	proxy      *gateway.Process
	through    *caller
	requests   int // that were numbered
}

// startRig starts the programs of a folder and waits until the proxy has an answer of a backend.
func startRig(seed uint64, programs string, network int) (*rig, error) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		return nil, err
	}
	g := &rig{seed: seed, dir: dir}
	if err := g.start(programs, network); err != nil {
		g.stop()
		return nil, err
	}
	return g, nil
}

func (g *rig) start(programs string, network int) (err error) {
	g.deployment, err = gateway.Start(gateway.Plan{
		Programs: programs, Dir: g.dir, Controllers: 3, Carrier: 1, Zones: besideZones, Faults: 1, Network: network,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := g.startBackends(); err != nil {
		return err
	}
	operator := &gateway.Operator{Controls: g.deployment.Controls()}
	if err := operator.Replace(
		ctx,
		gateway.Configuration(1, gateway.Shape{Services: 1, Routes: 1, Safe: true}, 0),
	); err != nil {
		return err
	}
	if err := g.deployment.Ready(ctx); err != nil {
		return err
	}
	g.proxy = g.deployment.Carriers[0]
	host, prefix := gateway.RouteOf(0)
	g.through = newCaller(host, prefix)
	return serving(ctx, g.proxy, host, prefix)
}

// startBackends starts two backends a zone, the proxy's zone first: direct calls go to those that it uses.
func (g *rig) startBackends() error {
	for i := range besideBackends {
		b, err := gateway.StartBackend(gateway.BackendOptions{
			ID:        fmt.Sprintf("i-%08x", i+1),
			Service:   gateway.ServiceName(0),
			Zone:      besideZones[i%len(besideZones)],
			Listen:    fmt.Sprintf("%s.2.%d:8080", g.deployment.Net, i+1),
			Slots:     besideSlots,
			Heartbeat: heartbeatSeconds,
			Controls:  g.deployment.Controls(),
		})
		if err != nil {
			return err
		}
		g.backends = append(g.backends, b)
	}
	g.own = []*gateway.Backend{g.backends[0], g.backends[len(besideZones)]}
	return nil
}

func (g *rig) stop() {
	for _, b := range g.backends {
		b.Stop()
	}
	if g.deployment != nil {
		g.deployment.Stop()
	}
	_ = os.RemoveAll(g.dir)
}

// id numbers a request.
func (g *rig) id() string {
	g.requests++
	return fmt.Sprintf("%08x%08x", g.seed, g.requests)
}

// flood sends so many requests as fast as they go, and gives how long they took.
func (g *rig) flood(c *caller, many int, address func(hand int) string) time.Duration {
	ids := make(chan string, many)
	for range many {
		ids <- g.id()
	}
	close(ids)
	began := time.Now()
	var hands sync.WaitGroup
	for h := range besideHands {
		hands.Go(func() {
			for s := range ids {
				c.call(address(h), s)
			}
		})
	}
	hands.Wait()
	return time.Since(began)
}

func playBeside(w report.Where, programs string) error {
	g, err := startRig(w.Seed, programs, 0)
	if err != nil {
		return err
	}
	defer g.stop()
	d, carrier, backends, own, through, id := g.deployment, g.proxy, g.backends, g.own, g.through, g.id
	direct := newCaller(gateway.RouteOf(0))
	for range besideWarmup { // connections come up
		through.call(carrier.Front(), id())
		direct.call(own[g.requests%len(own)].Address, id())
	}
	time.Sleep(2 * time.Second)

	// Idle: what control alone costs.
	before, err := usages(append(d.Controllers, carrier))
	if err != nil {
		return err
	}
	time.Sleep(besideIdle)
	idle, err := usages(append(d.Controllers, carrier))
	if err != nil {
		return err
	}

	// At a rate: pairs in turn, so that both meet the same machine.
	var added, one, other []float64
	start, pause := time.Now(), time.Second/besideRate
	for i := 0; time.Since(start) < playDuration; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * pause)))
		a := through.call(carrier.Front(), id())
		b := direct.call(own[i%len(own)].Address, id())
		one, other, added = append(one, a), append(other, b), append(added, a-b)
	}
	loaded, err := usages(append(d.Controllers, carrier))
	if err != nil {
		return err
	}
	atRate := len(one)

	// As many as go: processor time a request.
	tookThrough := g.flood(through, besideMany, func(int) string { return carrier.Front() })
	after, err := carrier.Usage()
	if err != nil {
		return err
	}
	tookDirect := g.flood(direct, besideMany, func(h int) string { return own[h%len(own)].Address })
	last := len(d.Controllers)
	cost := (after.Processor - loaded[last].Processor).Seconds() / besideMany
	runs, twice := 0, 0
	for _, b := range backends {
		all, again := b.Runs()
		runs, twice = runs+all, twice+again
	}

	r := report.New(
		"gateway",
		w.Seed,
		fmt.Sprintf(
			"3 control-plane nodes, 1 proxy, %d backends of no work on loopback; %d pairs at %d/s, then %d requests by %d "+
				"hands; other work ran on the machine",
			besideBackends,
			atRate,
			besideRate,
			besideMany,
			besideHands,
		),
		"through the proxy",
		"direct",
		"ratio",
	)
	p := func(all []float64, q float64) float64 { return report.Part(all, q) }
	row := func(name string, a, b float64) {
		r.Row(name, fmt.Sprintf("%.3f", a), fmt.Sprintf("%.3f", b), fmt.Sprintf("%.2f", a/b))
	}
	row("ms, p50", p(one, 0.5), p(other, 0.5))
	row("ms, p99", p(one, 0.99), p(other, 0.99))
	r.Row("ms added, p50 and p99 of a pair", fmt.Sprintf("%.3f", p(added, 0.5)), fmt.Sprintf("%.3f", p(added, 0.99)))
	row("requests/s, as many as go (wall time)", besideMany/tookThrough.Seconds(), besideMany/tookDirect.Seconds())
	r.Row("requests a second of a core (the proxy's processor time)", fmt.Sprintf("%.0f", 1/cost))
	r.Row("microseconds of a core a request, flooded", fmt.Sprintf("%.0f", cost*1e6))
	r.Row(
		fmt.Sprintf("... at %d/s", besideRate),
		fmt.Sprintf("%.0f", (loaded[last].Processor-idle[last].Processor).Seconds()/float64(atRate)*1e6),
	)
	r.Row("MB resident: idle", fmt.Sprintf("%.1f", float64(idle[last].Resident)/1e6))
	r.Row(fmt.Sprintf("MB resident: after %d/s", besideRate), fmt.Sprintf("%.1f", float64(loaded[last].Resident)/1e6))
	r.Row("MB resident: at the most, flooded", fmt.Sprintf("%.1f", float64(after.Peak)/1e6))
	control := func(name string, i int, now, was []gateway.Usage) {
		x := now[i].Since(was[i])
		r.Row(name, fmt.Sprintf("%.0f", x.Read), fmt.Sprintf("%.0f", x.Wrote), fmt.Sprintf("%.2f%% of a core", x.Cores*100))
	}
	r.Row("for control (/proc/PID/io: payload of reads and writes):", "B/s in", "B/s out")
	control("proxy, idle", last, idle, before)
	busiest := 0
	for i := range d.Controllers {
		if idle[i].Read-before[i].Read > idle[busiest].Read-before[busiest].Read {
			busiest = i
		}
	}
	control("busiest control-plane node, idle", busiest, idle, before)
	control(fmt.Sprintf("... its proxy at %d/s", besideRate), busiest, loaded, idle)
	control(fmt.Sprintf("the proxy's own control-plane node at %d/s", besideRate), 0, loaded, idle)
	r.Axes = [2]string{"ms of a request", "part of all requests"}
	r.Curves["through the proxy"], r.Curves["direct"] = one, other
	r.Expect("through: answered 200 with seal, attempt and path", through.right, through.sent)
	r.Expect("direct: the same", direct.right, direct.sent)
	r.Expect("runs at backends, but for the one that showed that they are known", runs-1, through.sent+direct.sent)
	r.Expect("requests run twice", twice, 0)
	for f, n := range through.faults {
		r.Missed = append(r.Missed, fmt.Sprintf("%d times: %s", n, f))
	}
	r.Figure = fmt.Sprintf(
		"seed %d: %.2f ms added at p50, %.2f at p99 (%.2f and %.2f times direct); %.0f requests a second of a core; "+
			"%.1f MB idle",
		w.Seed,
		p(added, 0.5),
		p(added, 0.99),
		p(one, 0.5)/p(other, 0.5),
		p(one, 0.99)/p(other, 0.99),
		1/cost,
		float64(idle[last].Resident)/1e6,
	)
	return r.Leave(w.Out)
}

// serving waits until a carrier has an answer of a backend: at first it knows of none. The warm-up runs at none of the
// counted callers.
func serving(ctx context.Context, p *gateway.Process, host, prefix string) error {
	c := newCaller(host, prefix)
	for n := 0; c.right == 0; n++ {
		if ctx.Err() != nil {
			return fmt.Errorf("%s answers no request: %v: %w", p.Name, c.faults, ctx.Err())
		}
		c.call(p.Front(), fmt.Sprintf("warm%08x", n))
		if c.right == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func tryCommand() *cobra.Command {
	var programs string
	var span time.Duration
	c := &cobra.Command{
		Use:   "try",
		Short: "three control-plane nodes, two proxies and stand-in backends on loopback, for a while",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return try(c.Context(), c.OutOrStdout(), programs, span) },
	}
	c.Flags().StringVar(&programs, "programs", "target", "folder of elmfold-controlplane and elmfold-proxy")
	c.Flags().DurationVar(&span, "for", time.Minute, "until it ends by itself, at most an hour")
	return c
}

// try starts a whole system and says how it is called.
func try(ctx context.Context, out io.Writer, programs string, span time.Duration) error {
	if span <= 0 || span > time.Hour {
		return fmt.Errorf("--for %v: more than 0 and at most an hour", span)
	}
	dir, err := os.MkdirTemp("", "try")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := gateway.Start(
		gateway.Plan{Programs: programs, Dir: dir, Controllers: 3, Carrier: 2, Zones: besideZones, Faults: 1},
	)
	if err != nil {
		return err
	}
	defer d.Stop()
	const services, each = 2, 3
	for i := range services * each {
		b, err := gateway.StartBackend(gateway.BackendOptions{
			ID:        fmt.Sprintf("i-%08x", i+1),
			Service:   gateway.ServiceName(i % services),
			Zone:      besideZones[i/services%len(besideZones)],
			Listen:    net.JoinHostPort(fmt.Sprintf("%s.2.%d", d.Net, i+1), "8080"),
			Slots:     8,
			Work:      20 * time.Millisecond,
			Heartbeat: heartbeatSeconds,
			Controls:  d.Controls(),
		})
		if err != nil {
			return err
		}
		defer b.Stop()
	}
	began, within := time.Now(), 20*time.Second
	starting, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	operator := &gateway.Operator{Controls: d.Controls()}
	if err := operator.Replace(
		starting,
		gateway.Configuration(1, gateway.Shape{Services: services, Routes: 4, Safe: true}, 0),
	); err != nil {
		return err
	}
	if err := d.Ready(starting); err != nil {
		return err
	}
	host, prefix := gateway.RouteOf(0)
	for _, p := range d.Carriers {
		if err := serving(starting, p, host, prefix); err != nil {
			return err
		}
	}
	fmt.Fprintf(
		out,
		"3 control-plane nodes, 2 proxies, %d backends of %d services are up after %.1f s; settings, disks and logs "+
			"are in %s\n\n",
		services*each,
		services,
		time.Since(began).Seconds(),
		dir,
	)
	fmt.Fprintf(
		out,
		"a request:\n  curl -si -H 'Host: %s' -H 'X-Elmfold-Attempt-Id: 0001' http://%s%sx\n",
		host,
		d.Carriers[0].Front(),
		prefix,
	)
	fmt.Fprintf(
		out,
		"the configuration in force:\n  curl -s -X POST 'http://%s/v1/rpc?call=config.read'\n",
		d.Controllers[0].Control(),
	)
	fmt.Fprintf(
		out,
		"zone b is emptied:\n  curl -s -X POST 'http://%s/v1/rpc?call=evacuation.begin&of=b'\n\nall ends by itself in "+
			"%v, or with ctrl-c\n",
		d.Controllers[1].Control(),
		span,
	)
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
	return nil
}
