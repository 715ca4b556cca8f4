// Command transit is the gateway's carrier: it takes clients' requests to backends and the answers back.
package main

import (
	"os"

	"elmfold/internal/proxy"
)

func main() { os.Exit(proxy.Main(os.Args[1:], os.Stdout, os.Stderr)) }
