package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/controller"
	"elmfold/internal/controller/tenancy"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 10 * time.Second
)

func cellsCommand(file *string, stdout, stderr io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "cells", Short: "show the cells of a running controller, and move tenants"}
	request := func(action string) func(*cobra.Command, []string) error {
		return func(_ *cobra.Command, args []string) error {
			r := controller.Request{Action: action}
			if len(args) > 0 {
				r.Tenant = args[0]
			}
			if len(args) > 1 {
				r.Cell = args[1]
			}
			return executeRequest(*file, r, stdout, stderr)
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "show", Short: "print the state of each tenant", Args: cobra.NoArgs,
			RunE: request(controller.ActionShowCells)},
		&cobra.Command{Use: "move TENANT CELL", Short: "move a tenant to another cell, a part of its proxies at a time",
			Args: cobra.ExactArgs(2), RunE: request(controller.ActionMoveCell)},
		&cobra.Command{
			Use:   "undo TENANT",
			Short: "undo a move in progress",
			Args:  cobra.ExactArgs(1),
			RunE:  request(controller.ActionUndoMove),
		},
	)
	return c
}

// executeRequest sends a request to the controller at the control socket of the operator file, and prints the reply.
func executeRequest(file string, r controller.Request, stdout, stderr io.Writer) error {
	f, err := readOperatorFile(file, stderr)
	if err != nil {
		return err
	}
	if f.Control == nil {
		return fmt.Errorf("%s: no section control; add one with a line such as: socket /run/elmfold.sock", file)
	}
	reply, err := sendRequest(f.Control.Path, r)
	if err == nil && reply.Error != "" {
		err = errors.New(reply.Error)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "elmfold: %v\n", err)
		return exitError(exitFailure)
	}
	printCells(stdout, reply.Cells)
	return nil
}

func sendRequest(path string, r controller.Request) (reply controller.Reply, err error) {
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return reply, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return reply, err
	}
	return reply, json.NewDecoder(bufio.NewReader(conn)).Decode(&reply)
}

// printCells prints a table of tenants, then a table of backends.
func printCells(stdout io.Writer, v tenancy.View) {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "tenant\tcell\tphase\tmoved\tbackends\tborrowed\tlimit\tmean overlap\tlargest overlap")
	for _, s := range v.Tenants {
		cell, limit, borrowed, phase := s.Cell, "none", "none", s.Phase
		if cell == "" {
			cell = "shuffled"
		}
		if s.From != "" {
			cell = s.From + " to " + s.Cell
		}
		if s.RateLimit > 0 {
			limit = fmt.Sprintf("%.1f/s", s.RateLimit)
		}
		if s.Contained {
			phase = "contained"
		}
		if len(s.Lent) > 0 {
			borrowed = strings.Join(s.Lent, ",")
		}
		_, _ = fmt.Fprintf(
			table,
			"%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%.1f%%\t%.1f%% of %s\n",
			s.Tenant,
			cell,
			phase,
			s.Moved,
			s.Proxies,
			strings.Join(s.Backends, ","),
			borrowed,
			limit,
			100*s.Mean,
			100*s.Max,
			s.MaxTenant,
		)
	}
	_ = table.Flush()
	if len(v.Backends) == 0 {
		return
	}
	_, _ = fmt.Fprintln(stdout)
	table = tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "backend\tshare of the tenants' capacity\ttenants")
	for _, b := range v.Backends {
		_, _ = fmt.Fprintf(table, "%s\t%.1f%%\t%d of %d\n", b.Backend, 100*b.Fraction, b.Tenants, len(v.Tenants))
	}
	_ = table.Flush()
}
