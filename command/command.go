// Package command is elmfold's command line.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"elmfold/controller"
	"elmfold/operator"
)

// exit is an exit code on its way to Run; what there was to say has been said.
type exit int

func (e exit) Error() string { return fmt.Sprint("exit ", int(e)) }

// Run carries out a command line and returns the exit code: 0 for done, 1 for failed, 2 for a wrong line or
// file.
func Run(args []string, out, errs io.Writer) int {
	var file string
	root := &cobra.Command{Use: "elmfold", Short: "a controller that tells proxies where work goes",
		Long: "elmfold tells proxies where work goes. Without a sub-command it runs the controller.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&file, "operator", os.Getenv("EDGE_OPERATOR"),
		"the operator file (else EDGE_OPERATOR)")
	run := func(*cobra.Command, []string) error {
		if code := controller.Run(file, OpenRegistry); code != 0 {
			return exit(code)
		}
		return nil
	}
	root.RunE = run
	root.AddCommand(&cobra.Command{Use: "run", Short: "run the controller until a signal ends it",
		Args: cobra.NoArgs, RunE: run}, check(out, errs), registryCommand(&file, out, errs))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var code exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	_, _ = fmt.Fprintf(errs, "elmfold: %v\n", err)
	return 2
}

// check reads operator files and says what is wrong with them, a line each.
func check(out, errs io.Writer) *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "check operator files", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			code := exit(0)
			for _, path := range files {
				f, err := operator.Read(path)
				if err != nil {
					_, _ = fmt.Fprintln(errs, err)
					code = 2
					continue
				}
				_, _ = fmt.Fprintf(out, "%s: in order; %s\n", path, f)
			}
			if code != 0 {
				return code
			}
			return nil
		}}
}
