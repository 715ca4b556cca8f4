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

// OpenChannel implements controller.OpenChannel.
func OpenChannel(
	o operatorfile.Channel,
	proxies int,
	names flatsettings.Names,
	send func(eventloop.Command),
	log *logrus.Entry,
) (controller.Channel, error) {
	return pubsub.Listen(
		pubsub.Config{Listen: o.Listen, Linger: o.Linger, MaxObservers: o.Onlookers},
		proxies,
		names,
		send,
		log,
	)
}

func channelCommand(file *string, stdout, stderr io.Writer) *cobra.Command {
	var address string
	var once bool
	c := &cobra.Command{Use: "channel", Short: "show the pub-sub channel"}
	tail := &cobra.Command{
		Use:   "tail TOPIC",
		Short: "print the changes of a topic, read-only: list, or orders/N for a proxy",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if address == "" {
				f, err := readOperatorFile(*file, stderr)
				if err != nil {
					return err
				}
				if f.Channel == nil {
					return errors.New("the operator file has no section channel; add one or set the address with --connect")
				}
				address = f.Channel.Listen
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return client.Run(ctx, client.Options{Addresses: []string{address}, Hello: pubsub.Hello{Topic: args[0]},
				OnChange: func(c *session.Replica, keys []string) {
					slices.Sort(keys)
					for _, k := range keys {
						v, exists := c.State[k]
						_, _ = fmt.Fprintf(stdout, "%s %d %s\n", time.Now().Format("15:04:05.000"), c.Seq, formatValue(k, v, exists))
					}
					if once {
						stop()
					}
				},
				OnDisconnect: func(err error) {
					if err != nil {
						_, _ = fmt.Fprintf(stderr, "elmfold: %s: %v\n", address, err)
					}
				}})
		},
	}
	tail.Flags().StringVar(&address, "connect", "", "address of the channel; defaults to that in the operator file")
	tail.Flags().BoolVar(&once, "once", false, "exit after the snapshot")
	c.AddCommand(tail)
	return c
}

// formatValue formats a value of a topic for display.
func formatValue(key string, v session.Value, exists bool) string {
	parts := strings.Join(session.SplitKey(key), " ")
	switch {
	case !exists:
		return parts + " deleted"
	case v.Text != "":
		return v.Text
	}
	return fmt.Sprintf("%s %g %d", parts, v.Number, v.Integer)
}
