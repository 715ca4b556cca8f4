package command

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"elmfold/internal/controller"
	"elmfold/internal/controller/discovery/consul"
	"elmfold/internal/controller/discovery/etcd"
	"elmfold/internal/controller/discovery/watch"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
)

// NewFollower makes a follower of a registry. Its chance depends on the controller's name and on when it was made.
func NewFollower(o operatorfile.Registry, name string, tell func(any), log *logrus.Entry) *watch.Follower {
	plan := o.Config
	plan.Seed = name + " " + strconv.FormatInt(time.Now().UnixNano(), 36)
	var s watch.Source
	if o.Kind == operatorfile.Consul {
		s = consul.New(o.Endpoints, plan.Prefix, o.Access, plan.ResponseTimeout)
	} else {
		s = etcd.New(o.Endpoints, plan.Prefix, o.Access)
	}
	return watch.New(plan, s, o.Endpoints, tell, log)
}

// OpenRegistry is the controller.OpenRegistry of this program.
func OpenRegistry(o operatorfile.Registry, name string, tell func(any), log *logrus.Entry) controller.Source {
	f := NewFollower(o, name, tell, log)
	go f.Run()
	return f
}

func registryCommand(file *string, out, errs io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "registry", Short: "look at the list of backends in the registry"}
	var within time.Duration
	list := &cobra.Command{Use: "list", Short: "print the whole list once", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return printRegistry(*file, out, errs, within, false) }}
	list.Flags().DurationVar(&within, "within", 10*time.Second, "time that the registry may take")
	watch := &cobra.Command{Use: "watch", Short: "print each change as it comes, until a signal",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return printRegistry(*file, out, errs, 0, true) }}
	c.AddCommand(list, watch)
	return c
}

// printRegistry follows the registry of an operator file as a controller would, and prints what it is told.
func printRegistry(file string, out, errs io.Writer, within time.Duration, on bool) error {
	f, err := operatorFile(file, errs)
	if err != nil {
		return err
	}
	if f.Registry == nil {
		return fmt.Errorf("%s: no section registry; add one such as: registry etcd", file)
	}
	log := logrus.New()
	log.SetOutput(io.Discard) // notes are printed here
	orders := make(chan reconcile.Order, 1024)
	follower := NewFollower(*f.Registry, "command", func(any) {}, logrus.NewEntry(log))
	follower.See(func(o reconcile.Order) { orders <- o })
	go follower.Run()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	var over <-chan time.Time
	if within > 0 {
		over = time.After(within)
	}
	p := orderPrinter{out: out, errs: errs, now: time.Now}
	for {
		select {
		case o := <-orders:
			if p.print(o, on) && !on {
				return nil
			}
		case <-over:
			_, _ = fmt.Fprintf(errs, "elmfold: no whole list within %v\n", within)
			return exitCode(1)
		case <-stop:
			return nil
		}
	}
}

// orderPrinter prints what a Roster tells.
type orderPrinter struct {
	out, errs io.Writer
	now       func() time.Time
}

// print prints an order; whole is whether it was a whole list.
func (p orderPrinter) print(o reconcile.Order, stamped bool) (whole bool) {
	stamp := ""
	if stamped {
		stamp = p.now().Format("15:04:05.000 ")
	}
	switch o := o.(type) {
	case reconcile.LogEntry:
		words := []string{o.Text}
		for _, w := range []string{o.Key, o.Reason} {
			if w != "" {
				words = append(words, w)
			}
		}
		_, _ = fmt.Fprintf(p.errs, "%srevision %d: %s\n", stamp, o.Revision, strings.Join(words, ": "))
	case reconcile.PublishList:
		if o.Complete {
			_, _ = fmt.Fprintf(p.out, "%srevision %d: whole list, %d backends\n", stamp, o.Revision, len(o.Members))
		}
		table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
		for _, m := range o.Members {
			up := "long ago"
			if m.UpSince > 0 {
				up = time.UnixMilli(int64(m.UpSince)).UTC().Format(time.RFC3339)
			}
			if o.Complete {
				_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%s\n", m.ID, m.Phase, m.Zone, m.Kind, m.Weight, up)
			} else {
				_, _ = fmt.Fprintf(table, "%srevision %d: %s\t%s\t%s\t%s\t%g\t%s\n", stamp, o.Revision, m.ID, m.Phase, m.Zone,
					m.Kind, m.Weight, up)
			}
		}
		_ = table.Flush()
		return o.Complete
	}
	return false
}
