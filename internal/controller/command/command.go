// Package command implements the command line of elmfold-full.
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

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // invalid command line or file
)

// exitError carries an exit code to Run. The command has already printed the cause.
type exitError int

func (e exitError) Error() string { return fmt.Sprint("exit ", int(e)) }

// Run executes a command line and returns the exit code: 0 for success, 1 for a failure, 2 for an invalid command line
// or file.
func Run(args []string, stdout, stderr io.Writer) int {
	var file string
	root := &cobra.Command{Use: "elmfold", Short: "a controller that assigns backends to proxies",
		Long: "elmfold assigns backends to proxies. Without a sub-command it runs the controller.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&file, "operator", os.Getenv("EDGE_OPERATOR"),
		"the operator file; defaults to EDGE_OPERATOR")
	run := func(*cobra.Command, []string) error {
		if code := controller.Run(
			file,
			controller.Extensions{Registry: OpenRegistry, WarmState: OpenWarmState, Channel: OpenChannel, Member: OpenMember},
		); code != 0 {
			return exitError(code)
		}
		return nil
	}
	root.RunE = run
	root.AddCommand(
		&cobra.Command{
			Use:   "run",
			Short: "run the controller until it receives SIGINT or SIGTERM",
			Args:  cobra.NoArgs,
			RunE:  run,
		},
		checkCommand(stdout, stderr),
		registryCommand(&file, stdout, stderr),
		cellsCommand(&file, stdout, stderr),
		stateCommand(&file, stdout, stderr),
		channelCommand(&file, stdout, stderr),
		pluginCommand(stdout, stderr),
	)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var code exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	_, _ = fmt.Fprintf(stderr, "elmfold: %v\n", err)
	return exitUsage
}

// readOperatorFile reads the operator file at path. It prints the faults of an invalid file and returns an exitError.
func readOperatorFile(path string, stderr io.Writer) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.File{}, errors.New("no operator file; set it with --operator FILE or EDGE_OPERATOR")
	}
	f, err := operatorfile.Read(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return f, exitError(exitUsage)
	}
	return f, nil
}

// checkCommand validates operator files and prints one line per fault. With --against it also validates their cells
// against the platform's configuration, and warns of tenants whose backends overlap much with those of others.
func checkCommand(stdout, stderr io.Writer) *cobra.Command {
	var against string
	c := &cobra.Command{Use: "check FILE...", Short: "check operator files", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			var platform *config.Config
			if against != "" {
				loaded, err := config.Load(func(name string) string {
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
				platform = &loaded
			}
			code := exitError(0)
			for _, path := range files {
				f, err := operatorfile.Read(path)
				if err == nil && platform != nil && f.Cells != nil {
					backends := servingBackends(*platform)
					err = f.Cells.Validate(platform.Deployment, backends)
					for _, line := range f.Cells.Warnings(platform.Deployment, backends) {
						_, _ = fmt.Fprintln(stderr, line)
					}
				}
				if err != nil {
					_, _ = fmt.Fprintln(stderr, err)
					code = exitUsage
					continue
				}
				_, _ = fmt.Fprintf(stdout, "%s: valid; %s\n", path, f)
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
		"the platform's configuration; cells are checked against its backends and settings",
	)
	return c
}

// servingBackends returns the serving backends of the list in the configuration.
func servingBackends(c config.Config) (backends []tenancy.Backend) {
	for _, m := range c.CachedList.Members {
		if zone := slices.Index(c.Names.Zones, m.Zone); zone >= 0 && m.Phase == reconcile.Serving {
			backends = append(backends, tenancy.Backend{
				Index:  len(backends),
				ID:     m.ID,
				Zone:   zone,
				Kind:   slices.Index(c.Names.Kinds, m.Kind),
				Status: policy.Ready,
				Weight: m.Weight,
			})
		}
	}
	return backends
}
