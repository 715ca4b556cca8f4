// Package membership plays many controllers of one fleet.
package membership

import (
	"fmt"
	"math"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/emulator"
)

// What many controllers must come up to: parts of one controller's.
const (
	spreadTimeout   = 0.015 // service
	shareMargin     = 0.02  // the slow eighth's share
	peakMargin      = 1.15  // times what two choices with the true state give
	maxHerdIndex    = 1.5
	minAloneService = 0.95
	bytesFlat       = 1.3
	maxSpreadTime   = 240 // controllers
	spreadCounted   = "slow"
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{spreadCommand()}
}

func spreadCommand() *cobra.Command {
	var w report.Where
	var program string
	var processes []int
	c := &cobra.Command{
		Use:   "spread",
		Short: "many controllers that each see little: sums told on, not told on, and the naive way; hard cases; bytes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if len(processes) > 0 {
				return playSpreadReal(w, program, processes)
			}
			return playSpread(w)
		},
	}
	w.Flags(c)
	c.Flags().IntSliceVar(
		&processes,
		"processes",
		nil,
		"play with so many real processes on loopback, in place of the emulator",
	)
	c.Flags().StringVar(&program, "program", "bin/elmfold-full", "the controller")
	return c
}

func playSpread(w report.Where) error {
	r := report.New(
		"spread",
		w.Seed,
		"240 proxies, 48 backends of which 6 are 3.5 times slower than listed; seconds 30 to 60 of a day in the emulator",
		"service",
		"slow share",
		"declined",
		"peak/mean",
		"herd",
		"idle",
		"rules broken",
		"B/s most",
		"B/s mean",
	)
	counts := []int{1, 5, 24, 60, 120, maxSpreadTime}
	var plays []emulator.Spread
	for _, n := range counts {
		for _, day := range []string{"calm", "slow", "hot"} {
			plays = append(
				plays,
				emulator.Spread{Controllers: n, Case: day, Told: true},
				emulator.Spread{Controllers: n, Case: day},
			)
		}
	}
	for _, n := range []int{50, 100, 200} { // 300 has its own day
		plays = append(plays, emulator.Spread{Controllers: n, Case: "small", Told: true})
	}
	plays = append(
		plays,
		emulator.Spread{Controllers: 267, Case: "small", Told: true},
		emulator.Spread{Controllers: 267, Case: "small"},
		emulator.Spread{Controllers: 1, Case: "small"},
	)
	for _, day := range emulator.SpreadCases[3:] {
		if day != "small" {
			plays = append(
				plays,
				emulator.Spread{Controllers: 60, Case: day, Told: true},
				emulator.Spread{Controllers: 60, Case: day},
				emulator.Spread{Controllers: 1, Case: day},
			)
		}
	}
	for _, day := range []string{"calm", "slow", "hot"} {
		plays = append(
			plays,
			emulator.Spread{Controllers: 1, Case: day, Oracle: true},
			emulator.Spread{Controllers: 1, Case: day, Naive: true},
			emulator.Spread{Controllers: maxSpreadTime, Case: day, Naive: true},
		)
	}
	showed := make([]emulator.Spreading, len(plays))
	var all sync.WaitGroup
	room := make(chan bool, max(1, runtime.NumCPU()-2))
	for i, p := range plays {
		all.Go(func() {
			room <- true
			showed[i] = p.Play(w.Seed)
			<-room
		})
	}
	all.Wait()
	at := map[emulator.Spread]emulator.Spreading{}
	for i, p := range plays {
		s := showed[i]
		at[p] = s
		r.Row(
			spreadName(p),
			fmt.Sprintf("%.3f", s.Service),
			fmt.Sprintf("%.3f", s.Share),
			fmt.Sprintf("%.4f", s.Declined),
			fmt.Sprintf(
				"%.2f",
				s.Peak,
			),
			fmt.Sprintf("%.2f", s.Herd),
			s.Idle,
			s.Broken,
			fmt.Sprintf("%.0f", s.Bytes),
			fmt.Sprintf("%.0f", s.TellsMean),
		)
		if s.Broken > 0 && !p.Naive && !p.Oracle {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %d rules broken", spreadName(p), s.Broken))
		}
	}
	missed := func(is bool, format string, v ...any) {
		if is {
			r.Missed = append(r.Missed, fmt.Sprintf(format, v...))
		}
	}
	for _, day := range []string{"calm", "slow", "hot"} {
		one, many := at[emulator.Spread{
			Controllers: 1,
			Case:        day,
		}], at[emulator.Spread{Controllers: maxSpreadTime, Case: day, Told: true}]
		two := at[emulator.Spread{Controllers: 1, Case: day, Oracle: true}]
		missed(
			many.Service < one.Service-spreadTimeout,
			"%s: service %.3f with %d, %.3f with one",
			day,
			many.Service,
			maxSpreadTime,
			one.Service,
		)
		missed(
			math.Abs(many.Share-one.Share) > shareMargin,
			"%s: slow share %.3f with %d, %.3f with one",
			day,
			many.Share,
			maxSpreadTime,
			one.Share,
		)
		missed(
			many.Declined > one.Declined,
			"%s: %.4f declined with %d, %.4f with one",
			day,
			many.Declined,
			maxSpreadTime,
			one.Declined,
		)
		missed(many.Peak > peakMargin*two.Peak, "%s: peak %.2f of the mean, two choices %.2f", day, many.Peak, two.Peak)
		missed(many.Herd > maxHerdIndex, "%s: herd index %.2f", day, many.Herd)
		missed(many.Idle > 0, "%s: %d spans of an idle backend", day, many.Idle)
	}
	alone := at[emulator.Spread{Controllers: maxSpreadTime, Case: spreadCounted}]
	missed(
		alone.Service < minAloneService || alone.Declined > 0,
		"alone: service %.3f, %.4f declined",
		alone.Service,
		alone.Declined,
	)
	least, most := math.Inf(1), 0.0
	for _, n := range []int{50, 100, 200, 267} {
		b := at[emulator.Spread{Controllers: n, Case: "small", Told: true}].TellsMean
		least, most = min(least, b), max(most, b)
	}
	missed(most > bytesFlat*least, "bytes a second and a process from %.0f to %.0f for 50 to 267 controllers", least, most)
	for _, day := range emulator.SpreadCases[3:] {
		n := 60
		if day == "small" {
			n = 267
		}
		many, one := at[emulator.Spread{
			Controllers: n,
			Case:        day,
			Told:        true,
		}], at[emulator.Spread{Controllers: 1, Case: day}]
		missed(
			many.Service < one.Service-2*spreadTimeout,
			"%s: service %.3f with %d, %.3f with one",
			day,
			many.Service,
			n,
			one.Service,
		)
	}
	r.Figure = fmt.Sprintf(
		"%d controllers: service %.3f told, %.3f alone, %.3f with one; slow share %.3f, %.3f, %.3f",
		maxSpreadTime,
		at[emulator.Spread{Controllers: maxSpreadTime, Case: "slow", Told: true}].Service,
		alone.Service,
		at[emulator.Spread{Controllers: 1, Case: "slow"}].Service,
		at[emulator.Spread{Controllers: maxSpreadTime, Case: "slow", Told: true}].Share,
		alone.Share,
		at[emulator.Spread{Controllers: 1, Case: "slow"}].Share,
	)
	return r.Leave(w.Out)
}

func spreadName(p emulator.Spread) string {
	name := fmt.Sprintf("%s, %d", p.Case, p.Controllers)
	switch {
	case p.Oracle:
		return name + ", two choices by the true state"
	case p.Naive:
		return name + ", the least loaded as told"
	case p.Told:
		return name + ", told"
	case p.Controllers > 1:
		return name + ", alone"
	}
	return name
}
