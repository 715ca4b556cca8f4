// Command elmfold-bench runs experiments on elmfold's subsystems with simulated peers: elmfold-bench NAME --seed N
// --out DIR. Each experiment writes a table, JSON and a chart, and prints its result on the last line. The exit code is
// 1 if an expected total is not met.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/balancing"
	"elmfold/internal/bench/controlplane"
	"elmfold/internal/bench/discovery"
	"elmfold/internal/bench/eventloop"
	"elmfold/internal/bench/gateway"
	"elmfold/internal/bench/jobs"
	"elmfold/internal/bench/membership"
	"elmfold/internal/bench/plugin"
	"elmfold/internal/bench/pubsub"
	"elmfold/internal/bench/soak"
	"elmfold/internal/bench/tenancy"
	"elmfold/internal/bench/warmstart"
)

func main() {
	root := &cobra.Command{
		Use:           "elmfold-bench",
		Short:         "experiments on elmfold's parts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		slices.Concat(
			discovery.Commands(),
			tenancy.Commands(),
			eventloop.Commands(),
			warmstart.Commands(),
			pubsub.Commands(),
			plugin.Commands(),
			membership.Commands(),
			jobs.Commands(),
			gateway.Commands(),
			balancing.Commands(),
			controlplane.Commands(),
			soak.Commands(),
		)...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "elmfold-bench: %v\n", err)
		os.Exit(1)
	}
}
