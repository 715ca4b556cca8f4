// Package paired compares two builds within one run: both are played in blocks, in turns, in an order that is shuffled
// for each round, so that both meet the same machine. What is compared is the ratio of each round.
package paired

import (
	"fmt"
	"math/rand/v2"

	"elmfold/internal/bench/report"
)

// Build is one of the two that are compared.
type Build int

// The builds.
const (
	Before Build = iota
	After
)

func (b Build) String() string { return [...]string{"before", "after"}[b] }

// MaxRounds bounds a run.
const MaxRounds = 60

// Measurement is one figure of a block.
type Measurement struct {
	Name  string // with its unit
	Value float64
}

// Comparison is the figures of all rounds.
type Comparison struct {
	rounds [][2][]Measurement
}

// Run plays so many rounds, each build once a round. play returns the same measurements in the same order each time.
func Run(random *rand.Rand, rounds int, play func(Build) ([]Measurement, error)) (*Comparison, error) {
	if rounds < 1 || rounds > MaxRounds {
		return nil, fmt.Errorf("--rounds %d: 1 to %d", rounds, MaxRounds)
	}
	c := &Comparison{}
	for range rounds {
		order := []Build{Before, After}
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		var round [2][]Measurement
		for _, build := range order {
			measurements, err := play(build)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", build, err)
			}
			round[build] = measurements
		}
		c.rounds = append(c.rounds, round)
	}
	return c, nil
}

// Ratio is how one figure of the build after compares to that of the build before.
type Ratio struct {
	Name           string
	Before, After  float64 // the middle of all rounds
	Middle         float64 // of the ratios after/before of the rounds
	Lower, Higher  float64 // their quartiles
	Least, Largest float64
}

// Ratios are those of each measurement.
func (c *Comparison) Ratios() []Ratio {
	var all []Ratio
	for k, first := range c.rounds[0][Before] {
		var before, after, ratios []float64
		for _, round := range c.rounds {
			b, a := round[Before][k].Value, round[After][k].Value
			before, after, ratios = append(before, b), append(after, a), append(ratios, a/b)
		}
		all = append(all, Ratio{
			Name:    first.Name,
			Before:  report.Part(before, 0.5),
			After:   report.Part(after, 0.5),
			Middle:  report.Part(ratios, 0.5),
			Lower:   report.Part(ratios, 0.25),
			Higher:  report.Part(ratios, 0.75),
			Least:   report.Part(ratios, 0),
			Largest: report.Part(ratios, 1),
		})
	}
	return all
}

// Report is the comparison as a table.
func (c *Comparison) Report(name string, seed uint64, size string) *report.Report {
	r := report.New(name, seed, fmt.Sprintf("%s; %d rounds, each build once a round, in an order that is shuffled", size,
		len(c.rounds)), "before", "after", "ratio", "quartiles", "least and largest")
	for _, x := range c.Ratios() {
		r.Row(x.Name, fmt.Sprintf("%.3f", x.Before), fmt.Sprintf("%.3f", x.After), fmt.Sprintf("%.3f", x.Middle),
			fmt.Sprintf("%.3f to %.3f", x.Lower, x.Higher), fmt.Sprintf("%.3f to %.3f", x.Least, x.Largest))
		if r.Figure != "" {
			r.Figure += "; "
		}
		r.Figure += fmt.Sprintf("%s: after/before %.3f (%.3f to %.3f)", x.Name, x.Middle, x.Lower, x.Higher)
	}
	return r
}
