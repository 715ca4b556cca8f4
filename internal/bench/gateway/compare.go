package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/paired"
	"elmfold/internal/bench/report"
)

const (
	compareFlood = 10_000 // requests of a block, as fast as they go
	comparePaced = 600    // requests of a block at besideRate
)

// comparison is which programs are compared with those of --programs, and for how long.
type comparison struct {
	programs string
	rounds   int
}

func (o *comparison) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.programs, "compare", "",
		"folder of the programs of a build before: both builds are played in turns, and the ratios are shown")
	c.Flags().IntVar(&o.rounds, "rounds", 10, "for --compare: blocks of each build")
}

// compare plays two builds in turns, both of which are up all the time.
func compare(w report.Where, programs string, other comparison) error {
	var rigs [2]*rig
	for build, folder := range []string{other.programs, programs} {
		g, err := startRig(w.Seed, folder, build)
		if err != nil {
			return err
		}
		defer g.stop()
		rigs[build] = g
	}
	for _, g := range rigs {
		g.flood(g.through, compareFlood, func(int) string { return g.proxy.Front() })
	}
	random := rand.New(rand.NewPCG(w.Seed, 1))
	c, err := paired.Run(random, other.rounds, func(b paired.Build) ([]paired.Measurement, error) { return rigs[b].block() })
	if err != nil {
		return err
	}
	r := c.Report("gateway-compare", w.Seed, fmt.Sprintf(
		"two deployments of 3 controllers and 1 proxy, %d backends of no work each, on loopback; a block is %d requests "+
			"as fast as %d hands go, then %d at %d/s; other work may run on the machine",
		besideBackends, compareFlood, besideHands, comparePaced, besideRate))
	for build, g := range rigs {
		r.Expect(fmt.Sprintf("%s: answered 200 with seal, attempt and path", paired.Build(build)), g.through.right,
			g.through.sent)
	}
	return r.Leave(w.Out)
}

// block is what one build does in its turn.
func (g *rig) block() ([]paired.Measurement, error) {
	before, err := g.proxy.Usage()
	if err != nil {
		return nil, err
	}
	g.flood(g.through, compareFlood, func(int) string { return g.proxy.Front() })
	after, err := g.proxy.Usage()
	if err != nil {
		return nil, err
	}
	var took []float64
	start, pause := time.Now(), time.Second/besideRate
	for i := range comparePaced {
		time.Sleep(time.Until(start.Add(time.Duration(i) * pause)))
		took = append(took, g.through.call(g.proxy.Front(), g.id()))
	}
	return []paired.Measurement{
		{Name: "us of a core a request, flooded", Value: (after.Processor - before.Processor).Seconds() / compareFlood * 1e6},
		{Name: fmt.Sprintf("ms p50 at %d/s", besideRate), Value: report.Part(took, 0.5)},
		{Name: fmt.Sprintf("ms p99 at %d/s", besideRate), Value: report.Part(took, 0.99)},
	}, nil
}
