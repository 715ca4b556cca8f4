// Command elmfold is the controller as the platform starts it: without arguments and without an operator file. In any
// other case it executes elmfold-full from the same directory. The two programs are separate because the libraries of
// elmfold-full use too much memory for the platform's limit.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"elmfold/internal/controller"
)

func main() {
	if len(os.Args) == 1 && os.Getenv("EDGE_OPERATOR") == "" {
		os.Exit(controller.Run("", controller.Extensions{}))
	}
	self, err := os.Executable()
	if err == nil {
		full := filepath.Join(filepath.Dir(self), "elmfold-full")
		err = syscall.Exec(full, append([]string{full}, os.Args[1:]...), os.Environ())
	}
	fmt.Fprintf(os.Stderr, "elmfold: cannot execute elmfold-full, which must be in the same directory: %v\n", err)
	os.Exit(2)
}
