package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"elmfold/internal/controller"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/client"
	"elmfold/internal/controller/pubsub/session"
)

// OpenChannel is the controller.OpenChannel of this program.
func OpenChannel(
	o operatorfile.Channel,
	proxies int,
	names flatsettings.Names,
	hear func(eventloop.Command),
	log *logrus.Entry,
) (controller.Channel, error) {
	return pubsub.Listen(
		pubsub.Plan{Listen: o.Listen, Linger: o.Linger, Onlookers: o.Onlookers},
		proxies,
		names,
		hear,
		log,
	)
}

// channelCommand looks at topics of a running controller.
func channelCommand(file *string, out, errs io.Writer) *cobra.Command {
	var connect string
	var once bool
	c := &cobra.Command{Use: "channel", Short: "look at the pub-sub channel"}
	tail := &cobra.Command{
		Use:   "tail TOPIC",
		Short: "show a topic live: list, or orders/N of a proxy; as an onlooker, who changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if connect == "" {
				f, err := operatorFile(*file, errs)
				if err != nil {
					return err
				}
				if f.Channel == nil {
					return errors.New("the operator file has no section channel; or name an address with --connect")
				}
				connect = f.Channel.Listen
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return client.Run(ctx, client.Options{Addresses: []string{connect}, Hello: pubsub.Hello{Topic: args[0]},
				Changed: func(c *session.Copy, keys []string) {
					slices.Sort(keys)
					for _, k := range keys {
						v, there := c.State[k]
						_, _ = fmt.Fprintf(out, "%s %d %s\n", time.Now().Format("15:04:05.000"), c.Seq, formatValue(k, v, there))
					}
					if once {
						stop()
					}
				},
				Down: func(err error) {
					if err != nil {
						_, _ = fmt.Fprintf(errs, "elmfold: %s: %v\n", connect, err)
					}
				}})
		},
	}
	tail.Flags().StringVar(&connect, "connect", "", "address of the channel, in place of the operator file's")
	tail.Flags().BoolVar(&once, "once", false, "end after the snapshot")
	c.AddCommand(tail)
	return c
}

// formatValue writes a value of a topic for people.
func formatValue(key string, v session.Value, there bool) string {
	parts := strings.Join(session.Split(key), " ")
	switch {
	case !there:
		return parts + " gone"
	case v.Text != "":
		return v.Text
	}
	return fmt.Sprintf("%s %g %d", parts, v.Figure, v.Small)
}
