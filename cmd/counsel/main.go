// Command counsel is the gateway's controller: it keeps the operator's word, knows backends and carriers, and steers.
package main

import (
	"os"

	"elmfold/counsel"
)

func main() { os.Exit(counsel.Main(os.Args[1:], os.Stdout, os.Stderr)) }
