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
	// roundsPerStart is how many rounds two deployments are played before they are started anew: each process has luck of
	// its own, in its addresses, hashes and threads, which lasts as long as it does.
	roundsPerStart = 2
	comparePaced   = 600 // requests of a block at besideRate
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

// contest is two builds, both of which are up at once.
type contest struct {
	seed     uint64
	programs [2]string // by paired.Build
	starts   int
	blocks   int
	rigs     [2]*rig
	sent     [2]int // requests, of all starts
	right    [2]int
}

// block plays one build; every now and then both are started anew, and change their networks.
func (c *contest) block(b paired.Build) ([]paired.Measurement, error) {
	if c.blocks%(2*roundsPerStart) == 0 {
		if err := c.restart(); err != nil {
			return nil, err
		}
	}
	c.blocks++
	return c.rigs[b].block()
}

func (c *contest) restart() error {
	c.stop()
	c.starts++
	for build, folder := range c.programs {
		g, err := startRig(c.seed, folder, (build+c.starts)%2)
		if err != nil {
			return err
		}
		c.rigs[build] = g
	}
	for _, g := range c.rigs {
		g.flood(g.through, compareFlood, func(int) string { return g.proxy.Front() })
	}
	return nil
}

func (c *contest) stop() {
	for build, g := range c.rigs {
		if g != nil {
			g.stop()
			c.sent[build] += g.through.sent
			c.right[build] += g.through.right
		}
	}
	c.rigs = [2]*rig{}
}

// compare plays two builds in turns.
func compare(w report.Where, programs string, other comparison) error {
	random := rand.New(rand.NewPCG(w.Seed, 1))
	both := &contest{seed: w.Seed, programs: [2]string{other.programs, programs}}
	defer both.stop()
	c, err := paired.Run(random, other.rounds, both.block)
	if err != nil {
		return err
	}
	both.stop()
	r := c.Report("gateway-compare", w.Seed, fmt.Sprintf(
		"two deployments of 3 control-plane nodes and 1 proxy, %d backends of no work each, on loopback; a block is %d "+
			"requests as fast as %d hands go, then %d at %d/s; other work may run on the machine",
		besideBackends, compareFlood, besideHands, comparePaced, besideRate))
	for build := range both.programs {
		r.Expect(fmt.Sprintf("%s: answered 200 with seal, attempt and path", paired.Build(build)), both.right[build],
			both.sent[build])
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
