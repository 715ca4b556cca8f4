// Lab runs experiments on elmfold's parts against stand-ins: lab NAME --seed N --out DIR. Each leaves a table, JSON
// and a chart, ends with 1 where an expected total is missed, and its last line is the figure.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

var errMissed = errors.New("an expected total is missed")

func main() {
	root := &cobra.Command{Use: "lab", Short: "experiments on elmfold's parts", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(registryCommand(), sizeCommand(), followerCommand(), cellsCommand(), movesCommand(), stepCommand(), momentsCommand(), killsCommand(), storerCommand(), restartCommand(), processCommand(), keptCommand(), channelCommand(), pluginCallCommand(), spreadCommand(), editsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		os.Exit(1)
	}
}

// where is what every experiment is told.
type where struct {
	seed uint64
	out  string
}

func (w *where) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&w.seed, "seed", 1, "of the schedule")
	c.Flags().StringVar(&w.out, "out", "", "folder for the table, JSON and chart; none are kept without it")
}
