// Elmfold-full is elmfold with all sub-commands and everything that an operator file can turn on.
package main

import (
	"os"

	"elmfold/internal/controller/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
