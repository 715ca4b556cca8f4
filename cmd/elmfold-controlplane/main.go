// Command elmfold-controlplane is a node of the gateway's control plane: it stores the operator's configuration, tracks
// endpoints and proxies, and sends routing tables to the proxies.
package main

import (
	"os"

	"elmfold/internal/controlplane"
)

func main() { os.Exit(controlplane.Main(os.Args[1:], os.Stdout, os.Stderr)) }
