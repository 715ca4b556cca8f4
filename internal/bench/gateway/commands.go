// Package gateway plays the gateway: a carrier beside direct calls, control by size, and a whole system to try.
package gateway

import "github.com/spf13/cobra"

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{besideCommand(), scaleCommand(), tryCommand()}
}
