// Command counsel is the gateway's controller: it keeps the operator's word, knows backends and carriers, and steers.
package main

import (
	"os"

	"elmfold/internal/controlplane"
)

func main() { os.Exit(controlplane.Main(os.Args[1:], os.Stdout, os.Stderr)) }
