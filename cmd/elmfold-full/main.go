// Command elmfold-full is the controller with all subcommands and all optional features of the operator file.
package main

import (
	"os"

	"elmfold/internal/controller/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
