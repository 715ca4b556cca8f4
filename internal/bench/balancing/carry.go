// Package balancing plays the carriers' ways to choose a backend against one central picture with the true state.
package balancing

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"elmfold/internal/bench/report"
	"elmfold/internal/emulator/proxies"
)

// Commands of the lab.
func Commands() []*cobra.Command {
	var w report.Where
	var use float64
	carriers, zones := 10, 3
	c := &cobra.Command{Use: "balancing",
		Short: "what the proxies' balancer earns on each day, beside plain ways and one central picture with the true state",
		Args:  cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return play(w, use, carriers, zones) }}
	w.Flags(c)
	c.Flags().Float64Var(&use, "use", 1, "times each day's load")
	c.Flags().IntVar(&carriers, "proxies", carriers, "of them, at least one a zone")
	c.Flags().IntVar(&zones, "zones", zones, "of them")
	return []*cobra.Command{c}
}

func play(w report.Where, use float64, carriers, zones int) error {
	if use <= 0 || zones < 1 || carriers < zones {
		return errors.New("--use must be above 0, and each of --zones must have one of --proxies")
	}
	days, ways := proxies.Days(), proxies.Ways
	sums := make([][]proxies.Sum, len(days))
	var all sync.WaitGroup
	room := make(chan bool, max(1, runtime.NumCPU()-2))
	for d, day := range days {
		day.Use *= use
		sums[d] = make([]proxies.Sum, len(ways))
		for i, way := range ways {
			all.Go(func() {
				room <- true
				sums[d][i] = proxies.Play(proxies.Shape{Seed: w.Seed, Kinds: proxies.Kinds(), Zones: zones,
					Proxies: carriers, Day: day}, way)
				<-room
			})
		}
	}
	all.Wait()
	size := fmt.Sprintf(
		"%d proxies in %d zones, three services; days of 24 s; the same arrivals and works for each way; "+
			"parts of the worth owed",
		carriers,
		zones,
	)
	r := report.New("balancing", w.Seed, size, "worth", "worst 2 s", "fetch", "book", "preview", "lost late", "refused",
		"failed", "held", "requests", "connections", "further", "in vain", "rules broken")
	distance := 0.0
	for d, day := range days {
		bound := sums[d][len(ways)-1].All
		for i, way := range ways {
			s := sums[d][i]
			part := func(lost float64) string { return fmt.Sprintf("%.4f", lost/max(s.All.Owed, 1e-9)) }
			row := []any{fmt.Sprintf("%.4f", s.All.Earnings()), report.Three(s.Worst)}
			for _, k := range s.Kinds {
				row = append(row, report.Three(k.Earnings()))
			}
			rules := strings.Join(s.Rules, ", ")
			if rules == "" {
				rules = "-"
			}
			r.Row(day.Name+", "+way, append(row, part(s.All.LostByLatency), part(s.All.LostRefused),
				part(s.All.LostFailed), part(s.All.LostUnfinished), s.All.Requests, s.Connections, s.Further, s.InVain, rules)...)
			for _, m := range s.Missed {
				r.Missed = append(r.Missed, fmt.Sprintf("%s, %s: %s", day.Name, way, m))
			}
			// All must see the same requests, whatever became of them.
			if s.All.Requests != bound.Requests || s.All.Owed != bound.Owed {
				r.Missed = append(r.Missed, fmt.Sprintf("%s, %s: %d requests, %d elsewhere", day.Name, way,
					s.All.Requests, bound.Requests))
			}
			if i == 0 && len(s.Rules) > 0 {
				r.Missed = append(r.Missed, fmt.Sprintf("%s, %s: %s", day.Name, way, rules))
			}
		}
		distance += (bound.Earnings() - sums[d][0].All.Earnings()) / float64(len(days))
	}
	r.Figure = fmt.Sprintf("the balancer's worth is %.4f under the central picture's, mean over %d days", distance,
		len(days))
	if w.Out != "" {
		if err := draw(w, days, sums); err != nil {
			return err
		}
	}
	return r.Leave(w.Out)
}

// draw shows each day's worth by way.
func draw(w report.Where, days []proxies.Day, sums [][]proxies.Sum) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = fmt.Sprintf("worth earned by way to choose, seed %d", w.Seed), "part of the worth owed"
	p.Legend.Left, p.Legend.Top = true, true
	p.Add(plotter.NewGrid())
	width := vg.Points(8)
	var names []string
	for _, d := range days {
		names = append(names, d.Name)
	}
	for i, way := range proxies.Ways {
		var values plotter.Values
		for d := range days {
			values = append(values, sums[d][i].All.Earnings())
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(proxies.Ways)-1)/2)
		p.Add(bars)
		p.Legend.Add(way, bars)
	}
	p.Y.Max = 1.9 // room for the legend
	p.NominalX(names...)
	if err := os.MkdirAll(w.Out, 0o755); err != nil {
		return err
	}
	return p.Save(24*vg.Centimeter, 11*vg.Centimeter, filepath.Join(w.Out, fmt.Sprintf("carry-seed%d.png", w.Seed)))
}
