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

func cellsCommand(file *string, out, errs io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "cells", Short: "look at a running controller's cells, and move tenants"}
	do := func(what string) func(*cobra.Command, []string) error {
		return func(_ *cobra.Command, args []string) error {
			r := controller.Request{Action: what}
			if len(args) > 0 {
				r.Tenant = args[0]
			}
			if len(args) > 1 {
				r.Cell = args[1]
			}
			return executeRequest(*file, r, out, errs)
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "show", Short: "print how each tenant stands", Args: cobra.NoArgs,
			RunE: do(controller.ActionShowCells)},
		&cobra.Command{Use: "move TENANT CELL", Short: "move a tenant to another cell, a part of its proxies at a time",
			Args: cobra.ExactArgs(2), RunE: do(controller.ActionMoveCell)},
		&cobra.Command{
			Use:   "undo TENANT",
			Short: "take back a move that is under way",
			Args:  cobra.ExactArgs(1),
			RunE:  do(controller.ActionUndoMove),
		},
	)
	return c
}

// executeRequest asks the controller whose socket the operator file names.
func executeRequest(file string, r controller.Request, out, errs io.Writer) error {
	f, err := operatorFile(file, errs)
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
		_, _ = fmt.Fprintf(errs, "elmfold: %v\n", err)
		return exitCode(1)
	}
	printView(out, reply.Cells)
	return nil
}

func sendRequest(path string, r controller.Request) (reply controller.Reply, err error) {
	conn, err := net.DialTimeout("unix", path, 2*time.Second)
	if err != nil {
		return reply, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return reply, err
	}
	return reply, json.NewDecoder(bufio.NewReader(conn)).Decode(&reply)
}

// printView prints tenants, then backends, as tables.
func printView(out io.Writer, v tenancy.View) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "tenant\tcell\tstands\tmoved\tbackends\tlent\tbound\ttouches of the others\tmost")
	for _, s := range v.Tenants {
		cell, bound, lent, stands := s.Cell, "none", "none", s.Phase
		if cell == "" {
			cell = "shuffled"
		}
		if s.From != "" {
			cell = s.From + " to " + s.Cell
		}
		if s.Bound > 0 {
			bound = fmt.Sprintf("%.1f/s", s.Bound)
		}
		if s.ShutIn {
			stands = "shut in"
		}
		if len(s.Lent) > 0 {
			lent = strings.Join(s.Lent, ",")
		}
		_, _ = fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%.1f%%\t%.1f%% of %s\n",
			s.Tenant,
			cell,
			stands,
			s.Moved,
			s.Proxies,
			strings.Join(s.Backends, ","),
			lent,
			bound,
			100*s.Mean,
			100*s.Most,
			s.With,
		)
	}
	_ = w.Flush()
	if len(v.Backends) == 0 {
		return
	}
	_, _ = fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "backend\tof all tenants' strength\ttenants that have it")
	for _, b := range v.Backends {
		_, _ = fmt.Fprintf(w, "%s\t%.1f%%\t%d of %d\n", b.Backend, 100*b.Part, b.Tenants, len(v.Tenants))
	}
	_ = w.Flush()
}
