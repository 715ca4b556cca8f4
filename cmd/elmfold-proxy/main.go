// Command elmfold-proxy is the gateway's data plane: it forwards requests from clients to endpoints.
package main

import (
	"os"

	"elmfold/internal/proxy"
)

func main() { os.Exit(proxy.Main(os.Args[1:], os.Stdout, os.Stderr)) }
