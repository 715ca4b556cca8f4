// Package tenancy plays cells of tenants, in the emulator and by the step.
package tenancy

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/emulator"
	"elmfold/internal/policy"
)

const (
	cellsCalm, cellsEnd, cellsAll = 20, 70, 90 // s: the poison's begin, its end, the day's
	poisonWork                    = 20
	harmedUnder                   = 0.95 // service over that of before
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{cellsCommand(), movesCommand(), stepCommand()}
}

func cellsCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use:   "cells",
		Short: "one tenant is poisoned: what the others get without cells, with fixed and with shuffled ones",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playCells(w) },
	}
	w.Flags(c)
	return c
}

func playCells(w report.Where) error {
	d := emulator.Campus(w.Seed)
	ways := []struct {
		name string
		plan *tenancy.Plan
	}{
		{"no cells", nil},
		{"4 fixed cells", d.Confine(0, "red", "blue", "green", "gold")},
		{"shuffled, 2 a zone", d.Confine(2)},
	}
	r := report.New(
		"cells",
		w.Seed,
		fmt.Sprintf(
			"60 proxies in 20 tenants, 24 backends, 500 txns/s; %s's txns take %d times the work and are repeated from %d "+
				"to %d s",
			emulator.Tenant(7),
			poisonWork,
			cellsCalm,
			cellsEnd,
		),
	)
	type figures struct{ mean, worst, own, before, harmed, doubled, tipped, bare any }
	var all []figures
	p := plot.New()
	p.Title.Text = fmt.Sprintf("one tenant of 20 poisoned from %d to %d s, seed %d", cellsCalm, cellsEnd, w.Seed)
	p.X.Label.Text, p.Y.Label.Text = "s", "service of the other tenants"
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	harmedBy := map[string]int{}
	for i, way := range ways {
		r.Columns = append(r.Columns, way.name)
		d.Plan = way.plan
		world := emulator.New(d)
		world.At(cellsCalm*policy.Second, func() { world.Poison[emulator.Tenant(7)] = poisonWork })
		world.At(cellsEnd*policy.Second, func() { world.Poison[emulator.Tenant(7)] = 0 })
		world.Run(cellsAll * policy.Second)
		var others []float64
		harmed, total, calm := 0, emulator.Sum{}, emulator.Sum{}
		for n := range 20 {
			if n == 7 {
				continue
			}
			before, during := world.Over(emulator.Tenant(n), 5, cellsCalm), world.Over(emulator.Tenant(n), cellsCalm+3, cellsEnd)
			total.Requested, total.Served = total.Requested+during.Requested, total.Served+during.Served
			calm.Requested, calm.Served = calm.Requested+before.Requested, calm.Served+before.Served
			others = append(others, during.Service())
			if during.Service() < harmedUnder*before.Service() {
				harmed++
			}
		}
		harmedBy[way.name] = harmed
		poisoned := world.Over(emulator.Tenant(7), cellsCalm+3, cellsEnd)
		all = append(
			all,
			figures{
				report.Three(total.Service()),
				report.Three(slices.Min(others)),
				report.Three(poisoned.Service()),
				report.Three(calm.Service()),
				harmed,
				world.Doubled(),
				len(world.Tipped),
				world.Bare,
			},
		)
		if world.Doubled() > 0 {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %d effects doubled", way.name, world.Doubled()))
		}
		var line plotter.XYs
		for s := range cellsAll {
			sum := emulator.Sum{}
			for n := range 20 {
				if one := world.Over(emulator.Tenant(n), s, s+1); n != 7 {
					sum.Requested, sum.Served = sum.Requested+one.Requested, sum.Served+one.Served
				}
			}
			line = append(line, plotter.XY{X: float64(s), Y: sum.Service()})
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(way.name, l)
	}
	row := func(name string, f func(figures) any) {
		var cells []any
		for _, one := range all {
			cells = append(cells, f(one))
		}
		r.Row(name, cells...)
	}
	row("service of the 19 others before", func(f figures) any { return f.before })
	row("service of the 19 others", func(f figures) any { return f.mean })
	row("service of the one harmed worst", func(f figures) any { return f.worst })
	row("harmed at all (5% under before)", func(f figures) any { return f.harmed })
	row("service of the poisoned one", func(f figures) any { return f.own })
	row("effects doubled (must be 0)", func(f figures) any { return f.doubled })
	row("cold backends pushed over", func(f figures) any { return f.tipped })
	row("txns without a line", func(f figures) any { return f.bare })
	if harmedBy[ways[2].name] > harmedBy[ways[0].name] {
		r.Missed = append(r.Missed, "shuffled cells harm more tenants than none")
	}
	r.Figure = fmt.Sprintf(
		"seed %d: service of the others %v without cells, %v fixed, %v shuffled; harmed %v, %v, %v of 19",
		w.Seed,
		all[0].mean,
		all[1].mean,
		all[2].mean,
		all[0].harmed,
		all[1].harmed,
		all[2].harmed,
	)
	if err := r.Leave(w.Out); err != nil {
		return err
	}
	if w.Out != "" {
		return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(w.Out, fmt.Sprintf("cells-seed%d.png", w.Seed)))
	}
	return nil
}

const (
	moveEvery = 4 * policy.Second // a move begins
	moveCount = 40
	moveTime  = 2 * policy.Second
)

func movesCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{Use: "cells-move", Short: "40 moves of tenants under load, with cuts and controllers killed",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return playMoves(w) }}
	w.Flags(c)
	return c
}

func playMoves(w report.Where) error {
	d := emulator.Campus(w.Seed)
	chance := rand.New(rand.NewPCG(w.Seed, 5))
	names := []string{"red", "blue", "green"}
	d.Plan = d.Confine(0, names...)
	d.Plan.SettleTime, d.Plan.MoveFraction = moveTime, 0.34
	// The file that a controller which starts anew reads; a move by hand is written into it, too.
	file := *d.Plan
	file.Tenants = slices.Clone(file.Tenants)
	world := emulator.New(d)
	cuts, kills := 0, 0
	type moved struct {
		tenant string
		at     int
	}
	var moves []moved
	for i := range moveCount {
		at := 15*policy.Second + policy.Time(i)*moveEvery
		n := i % 20
		cell := names[(i/20+n+1)%len(names)]
		tenant := emulator.Tenant(n)
		moves = append(moves, moved{tenant, int(at / policy.Second)})
		world.At(at, func() {
			file.Tenants = slices.Clone(file.Tenants)
			file.Tenants[n].Cell = cell
			world.Say(tenancy.Move{Tenant: tenant, Cell: cell})
		})
		for range 2 { // proxies of the tenant lose their streams in mid-move
			proxy, when := 3*n+chance.IntN(3), at+policy.Time(chance.Int64N(int64(7*policy.Second)))
			cuts++
			world.At(when, func() { world.CutProxy(proxy) })
		}
		if i%8 == 3 {
			which, when := kills%2, at+policy.Time(chance.Int64N(int64(6*policy.Second)))
			kills++
			world.At(when, func() {
				now := file
				world.Kill(which, 2*policy.Second, &now)
			})
		}
		if i%10 == 6 { // the target's backends have just started
			id := d.Backends[chance.IntN(len(d.Backends))].ID
			world.At(at-policy.Second, func() { world.Restart(id, 500*policy.Second/1000) })
		}
	}
	end := 15 + moveCount*int(moveEvery/policy.Second) + 25
	world.Run(policy.Time(end) * policy.Second)

	before, during, worst := emulator.Sum{}, emulator.Sum{}, 1.0
	for _, m := range moves {
		b, a := world.Over(m.tenant, m.at-8, m.at), world.Over(m.tenant, m.at, m.at+8)
		before.Requested, before.Served = before.Requested+b.Requested, before.Served+b.Served
		during.Requested, during.Served = during.Requested+a.Requested, during.Served+a.Served
		worst = min(worst, a.Service())
	}
	// Who moved is in its cell now: each proxy's lines are those of the file.
	wrong := 0
	plan := file
	plan.Products = []policy.Product{{}, {OwnZone: true}}
	plan.Zones = d.Zones
	var list []tenancy.Backend
	for i, b := range d.Backends {
		list = append(list, tenancy.Backend{Index: i, ID: b.ID, Zone: b.Zone, Status: policy.Ready, Weight: 1})
	}
	for _, t := range plan.Tenants {
		own := map[string]bool{}
		for _, at := range plan.AssignedBackends(t, list) {
			own[list[at].ID] = true
		}
		for _, proxy := range t.Proxies {
			for k := range d.Products {
				for _, id := range world.Lines(proxy, k) {
					if !own[id] {
						wrong++
					}
				}
			}
		}
	}
	r := report.New(
		"cells-move",
		w.Seed,
		fmt.Sprintf(
			"%d moves of 20 tenants among 3 cells at 500 txns/s, %d streams cut and %d controllers killed in mid-move",
			moveCount,
			cuts,
			kills,
		),
		"elmfold",
	)
	r.Expect("effects doubled", world.Doubled(), 0)
	r.Expect("txns that found no line", world.Bare, 0)
	r.Expect("cold backends pushed over", len(world.Tipped), 0)
	r.Expect("lines outside the cell at the end", wrong, 0)
	total := emulator.Sum{}
	for n := range 20 {
		s := world.Over(emulator.Tenant(n), 5, end)
		total.Requested, total.Served = total.Requested+s.Requested, total.Served+s.Served
		total.Failed, total.Declined = total.Failed+s.Failed, total.Declined+s.Declined
	}
	r.Row("txns asked", total.Requested)
	r.Row("txns voided, all day", total.Failed)
	r.Row("effects in the ledger", len(world.Effects))
	r.Row("service of the moved tenant, 8 s before", report.Three(before.Service()))
	r.Row("service of the moved tenant, 8 s from the move", report.Three(during.Service()))
	r.Row("... of the worst move", report.Three(worst))
	r.Figure = fmt.Sprintf(
		"seed %d: doubled %d, without a line %d, pushed over %d; service of the moved tenant %s before, %s during",
		w.Seed,
		world.Doubled(),
		world.Bare,
		len(world.Tipped),
		report.Three(before.Service()),
		report.Three(during.Service()),
	)
	return r.Leave(w.Out)
}
