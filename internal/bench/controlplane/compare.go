package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"elmfold/internal/bench/paired"
)

const (
	compareOperators = 8
	compareOrders    = 25 // of each operator in a block
	compareSettle    = 2 * time.Second
	maxBusy          = 32
)

// compareAtOnce times the orders of eight operators at once with two programs in turns. Both systems are up all the
// time.
func compareAtOnce(ctx context.Context, o options) error {
	if o.size != 3 && o.size != 5 {
		return fmt.Errorf("--size %d: 3 or 5", o.size)
	}
	if o.busy < 0 || o.busy > maxBusy {
		return fmt.Errorf("--busy %d: 0 to %d", o.busy, maxBusy)
	}
	before, err := filepath.Abs(o.compare)
	if err != nil {
		return fmt.Errorf("--compare: %w", err)
	}
	dir, err := os.MkdirTemp("", "core")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	stop := keepBusy(o.busy)
	defer stop()
	var systems [2]*system
	nextNet := nets()
	for build, program := range []string{before, o.program} {
		s, err := quietSystem(ctx, o, program, filepath.Join(dir, paired.Build(build).String()), nextNet)
		if s != nil {
			defer s.close()
		}
		if err != nil {
			return err
		}
		systems[build] = s
	}
	time.Sleep(compareSettle)
	random := rand.New(rand.NewPCG(o.Seed, 1))
	c, err := paired.Run(random, o.rounds, func(b paired.Build) ([]paired.Measurement, error) {
		return systems[b].timeAtOnce()
	})
	if err != nil {
		return err
	}
	r := c.Report("core-compare", o.Seed, fmt.Sprintf(
		"two cores of %d real control-plane nodes on loopback; a block is %d orders of each of %d operators at once; "+
			"%d busy threads beside; other work may run on the machine",
		o.size, compareOrders, compareOperators, o.busy))
	for _, s := range systems {
		r.Missed = append(r.Missed, s.ledger.broken()...)
	}
	return r.Leave(o.Out)
}

// quietSystem is a system of one program that has taken its first order, and that nobody reads from.
func quietSystem(ctx context.Context, o options, program, dir string, nextNet func() string) (*system, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "journal.log"))
	if err != nil {
		return nil, err
	}
	r := &run{ctx: ctx, program: program, dir: dir, nextNet: nextNet, file: file, began: time.Now(), quiet: true,
		chance: rand.New(rand.NewPCG(o.Seed, 1))}
	return r.up(o.size, o.size/2)
}

// timeAtOnce is one block.
func (s *system) timeAtOnce() ([]paired.Measurement, error) {
	began := time.Now()
	took, err := s.ordersAtOnce(compareOperators, compareOrders)
	if err != nil {
		return nil, err
	}
	ms := func(part float64) float64 {
		return float64(took[min(len(took)-1, int(part*float64(len(took))))]) / float64(time.Millisecond)
	}
	return []paired.Measurement{
		{Name: "ms an order, p50", Value: ms(0.5)},
		{Name: "ms an order, p99", Value: ms(0.99)},
		{Name: "ms an order, most", Value: ms(1)},
		{Name: "orders/s", Value: float64(len(took)) / time.Since(began).Seconds()},
	}, nil
}

// keepBusy keeps so many threads busy until the function that it returns is called.
func keepBusy(threads int) (stop func()) {
	done := make(chan struct{})
	for range threads {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					burn()
				}
			}
		}()
	}
	return func() { close(done) }
}

// burn uses a core for about a millisecond.
func burn() {
	const passes = 1 << 20
	sum := 0
	for i := range passes {
		sum += i ^ sum>>1
	}
	_ = sum
}
