// Elmfold is a controller. Without arguments and without an operator file it is all in this program, as the
// platform starts it. Everything else is in elmfold-full beside it, whose libraries would cost this one more
// memory than it has to spend; this program becomes that one then.
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
		os.Exit(controller.Run("", controller.Parts{}))
	}
	self, err := os.Executable()
	if err == nil {
		full := filepath.Join(filepath.Dir(self), "elmfold-full")
		err = syscall.Exec(full, append([]string{full}, os.Args[1:]...), os.Environ())
	}
	fmt.Fprintf(os.Stderr, "elmfold: elmfold-full is wanted beside this program: %v\n", err)
	os.Exit(2)
}
