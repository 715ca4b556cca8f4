// Command elmfold-proxy is the gateway's data plane: it takes clients' requests to endpoints and the responses back.
package main

import (
	"os"

	"elmfold/internal/proxy"
)

func main() { os.Exit(proxy.Main(os.Args[1:], os.Stdout, os.Stderr)) }
