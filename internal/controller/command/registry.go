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

// NewFollower returns a follower of a registry. Its random seed combines the controller's name and the current time.
// The send function receives each reconcile.List and reconcile.SourceFailed.
func NewFollower(
	o operatorfile.Registry,
	name string,
	send func(any),
	log *logrus.Entry,
) *watch.Follower {
	settings := o.Config
	settings.Seed = name + " " + strconv.FormatInt(time.Now().UnixNano(), 36)
	var source watch.Source
	if o.Kind == operatorfile.Consul {
		source = consul.New(o.Endpoints, settings.Prefix, o.Access, settings.ResponseTimeout)
	} else {
		source = etcd.New(o.Endpoints, settings.Prefix, o.Access)
	}
	return watch.New(settings, source, o.Endpoints, send, log)
}

// OpenRegistry implements controller.OpenRegistry.
func OpenRegistry(o operatorfile.Registry, name string, send func(any), log *logrus.Entry) controller.Source {
	f := NewFollower(o, name, send, log)
	go f.Run()
	return f
}

func registryCommand(file *string, stdout, stderr io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "registry", Short: "show the list of backends in the registry"}
	var timeout time.Duration
	list := &cobra.Command{Use: "list", Short: "print the whole list once", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return printRegistry(*file, stdout, stderr, timeout, false) }}
	list.Flags().DurationVar(&timeout, "within", 10*time.Second, "timeout")
	watch := &cobra.Command{Use: "watch", Short: "print each change as it occurs, until SIGINT or SIGTERM",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return printRegistry(*file, stdout, stderr, 0, true) }}
	c.AddCommand(list, watch)
	return c
}

// printRegistry follows the registry of an operator file as a controller would, and prints lists and log entries. It
// returns after the first whole list unless keepWatching is set. A timeout of 0 means none.
func printRegistry(file string, stdout, stderr io.Writer, timeout time.Duration, keepWatching bool) error {
	f, err := readOperatorFile(file, stderr)
	if err != nil {
		return err
	}
	if f.Registry == nil {
		return fmt.Errorf("%s: no section registry; add one such as: registry etcd", file)
	}
	log := logrus.New()
	log.SetOutput(io.Discard) // orderPrinter prints the log entries
	orders := make(chan reconcile.Order, 1024)
	follower := NewFollower(*f.Registry, "command", func(any) {}, logrus.NewEntry(log))
	follower.SetObserver(func(o reconcile.Order) { orders <- o })
	go follower.Run()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	var expired <-chan time.Time
	if timeout > 0 {
		expired = time.After(timeout)
	}
	p := orderPrinter{stdout: stdout, stderr: stderr, now: time.Now}
	for {
		select {
		case o := <-orders:
			if p.print(o, keepWatching) && !keepWatching {
				return nil
			}
		case <-expired:
			_, _ = fmt.Fprintf(stderr, "elmfold: no whole list received within %v\n", timeout)
			return exitError(exitFailure)
		case <-stop:
			return nil
		}
	}
}

// orderPrinter prints the lists and log entries of a reconcile.Reconciler.
type orderPrinter struct {
	stdout, stderr io.Writer
	now            func() time.Time
}

// print prints an order, and reports whether it is a whole list.
func (p orderPrinter) print(o reconcile.Order, withTime bool) (complete bool) {
	stamp := ""
	if withTime {
		stamp = p.now().Format("15:04:05.000 ")
	}
	switch o := o.(type) {
	case reconcile.LogEntry:
		parts := []string{o.Text}
		for _, part := range []string{o.Key, o.Reason} {
			if part != "" {
				parts = append(parts, part)
			}
		}
		_, _ = fmt.Fprintf(p.stderr, "%srevision %d: %s\n", stamp, o.Revision, strings.Join(parts, ": "))
	case reconcile.PublishList:
		if o.Complete {
			_, _ = fmt.Fprintf(p.stdout, "%srevision %d: whole list, %d backends\n", stamp, o.Revision, len(o.Members))
		}
		table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
		for _, m := range o.Members {
			upSince := "long ago"
			if m.UpSince > 0 {
				upSince = time.UnixMilli(int64(m.UpSince)).UTC().Format(time.RFC3339)
			}
			if !o.Complete {
				_, _ = fmt.Fprintf(table, "%srevision %d: ", stamp, o.Revision)
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%s\n", m.ID, m.Phase, m.Zone, m.Kind, m.Weight, upSince)
		}
		_ = table.Flush()
		return o.Complete
	}
	return false
}
