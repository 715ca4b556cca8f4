// Lab runs experiments on elmfold's parts against stand-ins: lab NAME --seed N --out DIR. Each leaves a table, JSON
// and a chart, ends with 1 where an expected total is missed, and its last line is the figure. A package below plays
// each subsystem.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"

	"github.com/spf13/cobra"

	"elmfold/cmd/lab/carry"
	"elmfold/cmd/lab/cells"
	"elmfold/cmd/lab/channel"
	"elmfold/cmd/lab/core"
	"elmfold/cmd/lab/desk"
	"elmfold/cmd/lab/edits"
	"elmfold/cmd/lab/gateway"
	"elmfold/cmd/lab/plugin"
	"elmfold/cmd/lab/registry"
	"elmfold/cmd/lab/restart"
	"elmfold/cmd/lab/spread"
)

func main() {
	root := &cobra.Command{Use: "lab", Short: "experiments on elmfold's parts", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(slices.Concat(registry.Commands(), cells.Commands(), desk.Commands(), restart.Commands(), channel.Commands(),
		plugin.Commands(), spread.Commands(), edits.Commands(), gateway.Commands(), carry.Commands(), core.Commands())...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		os.Exit(1)
	}
}
