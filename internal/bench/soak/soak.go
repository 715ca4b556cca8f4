// Package soak plays the gateway's real programs on loopback for a while, under random faults that overlap, with
// clients of whom many leave before their answer, and holds what clients and backends saw against invariants.
//
//	soak.go        the command and one run
//	faults.go      what is done to processes, connections and backends
//	evacuations.go two evacuations of a zone, of whose orders one comes late
//	clients.go     requests, and how clients leave
//	ledger.go      what was seen
//	invariants.go  the invariants
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/fakes/gateway"
	"elmfold/internal/fakes/link"
)

const (
	controllers = 3
	proxies     = 3
	services    = 3 // of idempotent requests; of requests that may run once only; the same, divided by key
	backends    = 3 // of each service
	slots       = 32
	heartbeat   = 0.5 // seconds
	metricsPort = 9464

	startTimeout  = 20 * time.Second
	sampleEvery   = 500 * time.Millisecond
	recoveryTime  = 3 * time.Second // from the last fault to the last look
	finalRequests = 42
	maxRuns       = 200
)

// oneCore has the programs run as on machines with one core: what is ready at the same moment takes turns.
const oneCore = "GOMAXPROCS=1"

var zones = []string{"a", "b", "c"}

type options struct {
	report.Where
	programs, logs string
	seeds          int
	span           time.Duration
}

// Commands of this package.
func Commands() []*cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "soak",
		Short: "the real programs on loopback under faults that overlap, with clients that leave: kills, pauses, cuts, " +
			"lost answers",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runAll(c.Context(), c.OutOrStdout(), o) },
	}
	o.Flags(c)
	c.Flags().StringVar(&o.programs, "programs", "target", "folder of elmfold-controlplane and elmfold-proxy")
	c.Flags().StringVar(&o.logs, "logs", "", "folder in which the logs of seeds that break an invariant stay")
	c.Flags().IntVar(&o.seeds, "seeds", 1, "how many seeds are played, from --seed on, one after the other")
	c.Flags().DurationVar(&o.span, "for", 15*time.Second, "how long faults last, with each seed")
	return []*cobra.Command{c}
}

func runAll(ctx context.Context, out io.Writer, o options) error {
	if o.seeds < 1 || o.seeds > maxRuns {
		return fmt.Errorf("--seeds %d: 1 to %d", o.seeds, maxRuns)
	}
	if o.span <= 0 {
		return fmt.Errorf("--for %v: must be over 0", o.span)
	}
	broken := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.seeds); seed++ {
		outcome, err := play(ctx, seed, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, outcome)
		if len(outcome.violations) > 0 {
			broken++
		}
	}
	fmt.Fprintf(out, "soak: %d seeds, %d broken\n", o.seeds, broken)
	if broken > 0 {
		return report.ErrMissed
	}
	return nil
}

// outcome is what came of one seed.
type outcome struct {
	requests, departed, runs, severed, grants, faults, overlapping int
	violations                                                     []string
}

func (o outcome) String() string {
	text := fmt.Sprintf(
		"%d requests, %d clients left, %d runs, %d cut; %d grants of keys; %d faults, %d begun beside another; %d violations",
		o.requests, o.departed, o.runs, o.severed, o.grants, o.faults, o.overlapping, len(o.violations))
	const shown = 12
	for i, v := range o.violations {
		if i == shown {
			return text + fmt.Sprintf("\n  and %d more", len(o.violations)-shown)
		}
		text += "\n  " + v
	}
	return text
}

// world is one run.
type world struct {
	seed       uint64
	deployment *gateway.Deployment
	ways       []way // to the backends
	stopFakes  []func()
	ledger     *ledger
	handlings  *handlings
	operator   *gateway.Operator
	version    uint32
	keys       *gateway.Keys // of the service that is divided by key
	// controllerTurns are the controllers that faults may befall.
	controllerTurns *turns
	work            sync.WaitGroup
}

// way is the network between proxies and a backend.
type way struct {
	backend string // id
	*link.Link
}

func play(ctx context.Context, seed uint64, o options) (result outcome, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return result, err
	}
	defer func() {
		if o.logs == "" || len(result.violations) == 0 {
			_ = os.RemoveAll(dir)
			return
		}
		kept := fmt.Sprintf("%s/seed%d", strings.TrimSuffix(o.logs, "/"), seed)
		if os.MkdirAll(o.logs, 0o755) == nil && os.Rename(dir, kept) == nil {
			result.violations = append(result.violations, "logs: "+kept)
		}
	}()
	w, err := start(ctx, seed, dir, o.programs)
	if err != nil {
		return result, err
	}
	defer w.stop()
	idle, err := w.figures(ctx)
	if err != nil {
		return result, err
	}
	w.disturb(ctx, o.span)
	select {
	case <-time.After(recoveryTime):
	case <-ctx.Done():
		return result, ctx.Err()
	}
	w.finalRequests(ctx)
	w.checkAtRest(ctx, idle)
	result = w.ledger.check()
	result.grants = w.keys.Grants()
	return result, nil
}

// start brings up the programs, the backends behind their links, and the first configuration.
func start(ctx context.Context, seed uint64, dir, programs string) (w *world, err error) {
	w = &world{seed: seed, ledger: newLedger(), handlings: &handlings{}, version: 1}
	w.keys = gateway.NewKeys(w.ledger.violated, w.ledger.hasJustHealed)
	w.keys.AnswersTwice = w.handlings.drawTwice
	w.deployment, err = gateway.Start(gateway.Plan{
		Programs:    programs,
		Dir:         dir,
		Controllers: controllers,
		Carrier:     proxies,
		Zones:       zones,
		Faults:      1,
		Beat:        heartbeat,
		MetricsPort: metricsPort,
		Environment: []string{oneCore},
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			w.stop()
		}
	}()
	w.controllerTurns = newTurns(w.deployment.Controllers, 1)
	for i := range services * backends {
		if err := w.startBackend(i); err != nil {
			return nil, err
		}
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	w.operator = &gateway.Operator{Controls: w.deployment.Controls()}
	if err := w.operator.Replace(starting, w.configuration()); err != nil {
		return nil, err
	}
	if err := w.deployment.Ready(starting); err != nil {
		return nil, err
	}
	return w, w.untilServed(starting)
}

// configuration has a route of each service.
func (w *world) configuration() []byte {
	shape := gateway.Shape{Services: services, Routes: services, Safe: true, UnsafeFrom: 1, Sharded: 1}
	return gateway.Configuration(w.version, shape, 0)
}

func (w *world) startBackend(i int) error {
	id, address := fmt.Sprintf("i-%08x", i+1), fmt.Sprintf("%s.2.%d:8080", w.deployment.Net, i+1)
	l, err := link.New(address, nil)
	if err != nil {
		return err
	}
	w.ways = append(w.ways, way{id, l})
	w.ledger.zones[id] = zones[i/services%len(zones)]
	o := gateway.BackendOptions{ID: id, Service: gateway.ServiceName(i % services),
		Zone: zones[i/services%len(zones)], Listen: address, Advertise: l.Addr(), Slots: slots, Heartbeat: heartbeat,
		Controls: w.deployment.Controls(), Observer: w.ledger, Handle: w.handlings.draw}
	if i%services == keyedRoute {
		o.Keys = w.keys
	}
	b, err := gateway.StartBackend(o)
	if err != nil {
		return err
	}
	w.stopFakes = append(w.stopFakes, b.Stop)
	return nil
}

// untilServed waits until each proxy has an answer on both routes.
func (w *world) untilServed(ctx context.Context) error {
	r := rand.New(rand.NewPCG(w.seed, 0))
	for _, p := range w.deployment.Carriers {
		for route := range services {
			for w.stay(p, w.ledger.newRequest(r, p.Name, route), 0) != 200 {
				select {
				case <-ctx.Done():
					return fmt.Errorf("%s serves nothing: %w", p.Name, ctx.Err())
				case <-time.After(100 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

func (w *world) stop() {
	w.work.Wait()
	w.deployment.Stop()
	for _, stop := range w.stopFakes {
		stop()
	}
	for _, l := range w.ways {
		l.Close()
	}
}

// figures of all proxies, by their names.
func (w *world) figures(ctx context.Context) (map[string]map[string]int64, error) {
	all := map[string]map[string]int64{}
	for _, p := range w.deployment.Carriers {
		figures, err := p.Metrics(ctx)
		if err != nil {
			return nil, err
		}
		all[p.Name] = figures
	}
	return all, nil
}
