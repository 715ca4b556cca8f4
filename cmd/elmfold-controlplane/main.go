// Command elmfold-controlplane is the gateway's control plane: it stores the operator's configuration, knows endpoints
// and proxies, and steers the proxies.
package main

import (
	"os"

	"elmfold/internal/controlplane"
)

func main() { os.Exit(controlplane.Main(os.Args[1:], os.Stdout, os.Stderr)) }
