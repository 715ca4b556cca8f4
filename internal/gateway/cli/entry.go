// Package cli is what both programs of the gateway begin with: the command line, the settings, signals, and how
// controllers and carriers are dialled and listened for.
package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
)

// Version of the gateway.
const Version = "0.1.0"

// Exit codes.
const (
	Fine  = 0
	Bad   = 1 // something failed while it ran
	Wrong = 2 // the command line, the settings or a checked file is wrong
)

const userTimeout = 18 // TCP_USER_TIMEOUT of IPPROTO_TCP

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings, or a configuration"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func looksLikeSettings(text []byte) bool { return bytes.Contains(text, []byte(`"nodeName"`)) }

// Execute checks a file: one with a nodeName is settings, any other a configuration.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	switch s, serr := bootconfig.Read(text); {
	case serr == nil:
		fmt.Fprintf(c.out, "%s: settings of %s, role %s, zone %s\n", c.Args.File, s.Name, s.Role, s.Zone)
	case looksLikeSettings(text):
		return fmt.Errorf("%s: %w", c.Args.File, serr)
	default:
		conf, err := routeconfig.Read(text)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Args.File, err)
		}
		fmt.Fprintf(c.out, "%s: configuration %s, %d routes, %d services\n", c.Args.File,
			routeconfig.FormatVersion(conf.Version), len(conf.Routes()), len(conf.Pools))
	}
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

type runCommand struct{ run bool }

func (r *runCommand) Execute([]string) error {
	r.run = true
	return nil
}

// Options of the command line.
type Options struct {
	Verbose bool `short:"v" long:"verbose" description:"write each log line as it comes, not only when something goes wrong"`
}

// Main reads the command line of a program; without a command it runs it on the settings that the environment names.
func Main(name, about string, args []string, out, errs io.Writer, run func(*bootconfig.Settings, Options) error) int {
	var options Options
	check, version, start := &checkCommand{out: out}, &versionCommand{name, out}, &runCommand{}
	status := &statusCommand{out: out}
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription, p.LongDescription = about, about
	p.SubcommandsOptional = true
	_, _ = p.AddGroup("Options", "", &options)
	_, _ = p.AddCommand("run", "serve (as without a command)",
		"Serves by the settings file that "+bootconfig.Variable+" names.", start)
	_, _ = p.AddCommand("check", "check a file", "Checks a settings file or a configuration: one line a fault.", check)
	_, _ = p.AddCommand("status", "ask a controller how the core stands",
		"Prints who votes, who is in touch, and what is safe, as one controller sees it.", status)
	_, _ = p.AddCommand("version", "print the version", "Prints the version.", version)
	rest, err := p.ParseArgs(args)
	var flagged *flags.Error
	switch {
	case errors.As(err, &flagged) && flagged.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagged.Message)
		return Fine
	case errors.As(err, new(unreached)):
		fmt.Fprintf(errs, "%s: %v\n", name, err)
		return Bad
	case err != nil:
		fmt.Fprintf(errs, "%s: %v\n", name, err)
		return Wrong
	case len(rest) > 0:
		fmt.Fprintf(errs, "%s: there is no command %q\n", name, rest[0])
		return Wrong
	case p.Active != nil && !start.run:
		return Fine
	}
	settings, err := bootconfig.FromEnvironment()
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", name, err)
		return Wrong
	}
	if err := run(settings, options); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", name, err)
		return Bad
	}
	return Fine
}

// Dial reaches another of the system's processes. A side that has lost its power says nothing, so what was sent is
// given up after a while.
func Dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: 350 * time.Millisecond, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, 3000)
		})
	}}
	return d.DialContext(context.Background(), "tcp4", address)
}

// Listen takes connections at an address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
