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
	timed, err := s.timeEach(o.orders, filepath.Join(dir, "beside"))
	if err != nil {
		return err
	}
	one, turns, syncs := timed.one, timed.turns, timed.syncs
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
	t.Expect("orders not taken at their first call", timed.failed, 0)
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

// orderTimes are milliseconds of single orders, and of syncs of as many bytes on the same disk.
type orderTimes struct {
	one, turns, syncs []float64 // orders at one node; at all in turn
	failed            int
}

// timeEach sends so many orders to one node, then to all in turn: who holds the last value need not ask first.
func (s *system) timeEach(orders int, besidePath string) (*orderTimes, error) {
	beside, err := os.Create(besidePath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = beside.Close() }()
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	t := &orderTimes{}
	all := s.machines()
	for i := range 2 * orders {
		version, body := s.next()
		m := all[0]
		if i >= orders {
			m = all[i%len(all)]
		}
		a := s.put(s.r.ctx, m, version, body, ack)
		switch {
		case a.orderOutcome() != committed:
			t.failed++
			s.r.log("not taken: %v", a)
		case i < orders:
			t.one = append(t.one, ms(a.took))
		default:
			t.turns = append(t.turns, ms(a.took))
		}
		began := time.Now()
		if _, err := beside.Write(body); err != nil {
			return nil, err
		}
		if err := beside.Sync(); err != nil {
			return nil, err
		}
		t.syncs = append(t.syncs, ms(time.Since(began)))
		if s.r.ctx.Err() != nil {
			return nil, s.r.ctx.Err()
		}
	}
	return t, nil
}
