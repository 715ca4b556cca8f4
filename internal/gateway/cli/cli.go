// Package cli has the start-up code that the proxy and the control plane share: the command line, signals, memory
// limits, the metrics listener, and the TCP options of connections between nodes.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"elmfold/internal/gateway/bootconfig"
)

// Version is the version of the gateway.
const Version = "0.1.0"

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program failed while it ran
	ExitUsage   = 2 // the command line, the settings or a checked file is invalid
)

// Options of the command line.
type Options struct {
	Verbose bool `short:"v" long:"verbose" description:"write each log line as it comes, not only when something goes wrong"` //nolint:lll // a struct tag cannot be broken
	// MetricsPort is the port of the metrics listener on the machine's address. 0 disables it.
	MetricsPort uint16 `long:"metrics-port" value-name:"PORT" description:"show the process's figures at this port, path /metrics"` //nolint:lll // a struct tag cannot be broken
}

// RunFunc runs the program until it shuts down.
type RunFunc func(*bootconfig.Settings, Options) error

// Program describes a program to its command line.
type Program struct {
	Name        string
	Description string    // one sentence
	Out, Err    io.Writer // for results and for error messages
	Run         RunFunc
}

// Main parses the command line and executes its command. Without a command, it runs the program with the settings from
// bootconfig.FromEnvironment. It returns the exit code.
func (p Program) Main(args []string) int {
	var options Options
	run := &runCommand{}
	parser := p.newParser(&options, run)
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(p.Out, usage.Message)
		return ExitOK
	case errors.As(err, new(unreachableError)):
		return p.fail(ExitFailure, err)
	case err != nil:
		return p.fail(ExitUsage, err)
	case len(rest) > 0:
		return p.fail(ExitUsage, fmt.Errorf("there is no command %q", rest[0]))
	case parser.Active != nil && !run.requested:
		return ExitOK // the parser has executed the command
	}
	settings, err := bootconfig.FromEnvironment()
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	if err := p.Run(settings, options); err != nil {
		return p.fail(ExitFailure, err)
	}
	return ExitOK
}

func (p Program) fail(code int, err error) int {
	fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
	return code
}

func (p Program) newParser(options *Options, run *runCommand) *flags.Parser {
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription, parser.LongDescription = p.Description, p.Description
	parser.SubcommandsOptional = true
	must(parser.AddGroup("Options", "", options))
	must(parser.AddCommand("run", "serve (as without a command)",
		"Serves by the settings file that "+bootconfig.EnvVar+" names.", run))
	must(parser.AddCommand("check", "check a file",
		"Checks a settings file or a configuration: one line a fault.", &checkCommand{out: p.Out}))
	must(parser.AddCommand("status", "ask a control-plane node how the core stands",
		"Prints who votes, who is in touch, and what is safe, as one control-plane node sees it.",
		&statusCommand{out: p.Out}))
	must(parser.AddCommand("version", "print the version",
		"Prints the version.", &versionCommand{name: p.Name, out: p.Out}))
	return parser
}

// must panics on errors that only an invalid declaration in this package can cause.
func must[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// runCommand records that the command was given. Main runs the program after all arguments are parsed.
type runCommand struct{ requested bool }

func (r *runCommand) Execute([]string) error {
	r.requested = true
	return nil
}

type versionCommand struct {
	name string
	out  io.Writer
}

func (v *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(v.out, v.name, Version)
	return err
}
