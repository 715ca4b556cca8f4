// Package command is elmfold's command line.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"elmfold/internal/controller"
	"elmfold/internal/controller/config"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// exitCode is an exitCode code on its way to Run; what there was to say has been said.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprint("exit ", int(e)) }

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
		if code := controller.Run(
			file,
			controller.Extensions{Registry: OpenRegistry, WarmState: OpenWarmState, Channel: OpenChannel, Member: OpenMember},
		); code != 0 {
			return exitCode(code)
		}
		return nil
	}
	root.RunE = run
	root.AddCommand(&cobra.Command{
		Use:   "run",
		Short: "run the controller until a signal ends it",
		Args:  cobra.NoArgs,
		RunE:  run,
	}, checkCommand(
		out,
		errs,
	), registryCommand(
		&file,
		out,
		errs,
	), cellsCommand(
		&file,
		out,
		errs,
	), stateCommand(&file, out, errs), channelCommand(&file, out, errs), pluginCommand(out, errs))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var code exitCode
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	_, _ = fmt.Fprintf(errs, "elmfold: %v\n", err)
	return 2
}

// operatorFile reads the file that a command was named; what is wrong with it has been said where it is faulty.
func operatorFile(path string, errs io.Writer) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.File{}, errors.New("name the operator file with --operator FILE or EDGE_OPERATOR")
	}
	f, err := operatorfile.Read(path)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return f, exitCode(2)
	}
	return f, nil
}

// checkCommand reads operator files and says what is wrong with them, a line each; beside a platform's configuration it
// also says whether its cells can hold with the list there, and warns of tenants that can harm many.
func checkCommand(out, errs io.Writer) *cobra.Command {
	var against string
	c := &cobra.Command{Use: "check FILE...", Short: "check operator files", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			var sheet *config.Config
			if against != "" {
				s, err := config.Load(func(name string) string {
					return map[string]string{
						"EDGE_CONFIG":    against,
						"EDGE_NAME":      "check",
						"EDGE_LISTEN":    "127.0.0.1:0",
						"EDGE_DISCOVERY": "127.0.0.1:1",
					}[name]
				}, os.ReadFile)
				if err != nil {
					return fmt.Errorf("%s: %w", against, err)
				}
				sheet = &s
			}
			code := exitCode(0)
			for _, path := range files {
				f, err := operatorfile.Read(path)
				if err == nil && sheet != nil && f.Cells != nil {
					list := servingBackends(*sheet)
					err = f.Cells.Validate(sheet.Deployment, list)
					for _, line := range f.Cells.Warnings(sheet.Deployment, list) {
						_, _ = fmt.Fprintln(errs, line)
					}
				}
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
	c.Flags().StringVar(
		&against,
		"against",
		"",
		"the platform's configuration, whose list and settings the cells must hold with",
	)
	return c
}

// servingBackends is the list that a configuration knows.
func servingBackends(s config.Config) (all []tenancy.Backend) {
	for _, m := range s.CachedList.Members {
		if zone := slices.Index(s.Names.Zones, m.Zone); zone >= 0 && m.Phase == reconcile.Serving {
			all = append(all, tenancy.Backend{At: len(all), ID: m.ID, Zone: zone, Kind: slices.Index(s.Names.Kinds, m.Kind),
				Status: policy.Ready, Weight: m.Weight})
		}
	}
	return all
}
