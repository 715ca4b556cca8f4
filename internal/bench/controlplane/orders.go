package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"elmfold/internal/bench/report"
)

const maxOrders = 20_000

func residentOf(pid int) int64 { return int64(report.ResidentOf(pid)) }

// timeOrders times single orders in calm, beside syncs of as many bytes on the same disk.
func timeOrders(ctx context.Context, o options) error {
	if o.size != 3 && o.size != 5 {
		return fmt.Errorf("--size %d: 3 or 5", o.size)
	}
	if o.orders > maxOrders {
		return fmt.Errorf("--orders %d: at most %d", o.orders, maxOrders)
	}
	dir, err := os.MkdirTemp("", "core")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := os.Create(filepath.Join(dir, "journal.log"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	r := &run{ctx: ctx, program: o.program, dir: dir, nextNet: nets(), file: file, began: time.Now(), quiet: true,
		chance: rand.New(rand.NewPCG(o.Seed, 1))}
	defer func() {
		for _, s := range r.systems {
			s.close()
		}
	}()
	s, err := r.up(o.size, o.size/2)
	if err != nil {
		return err
	}
	if err := r.wait(2 * time.Second); err != nil {
		return err
	}
	beside, err := os.Create(filepath.Join(dir, "beside"))
	if err != nil {
		return err
	}
	defer func() { _ = beside.Close() }()
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	// One controller, then all in turn: who holds the last word need not ask first.
	var one, turns, syncs []float64
	failed := 0
	all := s.machines()
	for i := range 2 * o.orders {
		version, body := s.next()
		m := all[0]
		if i >= o.orders {
			m = all[i%len(all)]
		}
		a := s.put(ctx, m, version, body, ack)
		switch {
		case a.orderOutcome() != committed:
			failed++
			r.log("not taken: %v", a)
		case i < o.orders:
			one = append(one, ms(a.took))
		default:
			turns = append(turns, ms(a.took))
		}
		began := time.Now()
		if _, err := beside.Write(body); err != nil {
			return err
		}
		if err := beside.Sync(); err != nil {
			return err
		}
		syncs = append(syncs, ms(time.Since(began)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	t := report.New(
		"core-orders",
		o.Seed,
		fmt.Sprintf(
			"%d orders of 20 routes (%d bytes) over %d control-plane nodes on loopback, one after the other, each on a new "+
				"connection; a sync of as many bytes after each; other work ran on the machine",
			2*o.orders,
			len(configuration(1, "x")),
			o.size,
		),
		"ms p50",
		"ms p99",
		"in syncs, p50",
		"in syncs, p99",
	)
	p := func(all []float64, q float64) float64 { return report.Part(all, q) }
	row := func(name string, all []float64) {
		t.Row(name, fmt.Sprintf("%.2f", p(all, 0.5)), fmt.Sprintf("%.2f", p(all, 0.99)),
			fmt.Sprintf("%.2f", p(all, 0.5)/p(syncs, 0.5)), fmt.Sprintf("%.2f", p(all, 0.99)/p(syncs, 0.99)))
	}
	row("a sync", syncs)
	row("an order, all at one control-plane node", one)
	row("an order, at each in turn", turns)
	t.Expect("orders not taken at their first call", failed, 0)
	t.Missed = append(t.Missed, s.ledger.broken()...)
	t.Name = fmt.Sprintf("core-orders-%d", o.size)
	t.Figure = fmt.Sprintf(
		"core: %d control-plane nodes: an order takes %.2f ms at p50, %.2f at p99 at one, %.2f and %.2f at each in turn; a "+
			"sync %.2f and %.2f",
		o.size,
		p(one, 0.5),
		p(one, 0.99),
		p(turns, 0.5),
		p(turns, 0.99),
		p(syncs, 0.5),
		p(syncs, 0.99),
	)
	return t.Leave(o.Out)
}
