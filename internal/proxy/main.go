package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logbuffer"
)

const about = "The gateway's carrier: it takes clients' requests to backends and the answers back."

// Main is the program.
func Main(args []string, out, errs io.Writer) int {
	return cli.Main("elmfold-proxy", about, args, out, errs, serve)
}

func serve(settings *bootconfig.Settings, o cli.Options) error {
	ring, log := logbuffer.New(settings.Name, os.Stderr, time.Now, o.Verbose)
	if settings.Listen["front"] == "" || settings.Listen["readiness"] == "" {
		return errors.New("listen.front, listen.readiness: a carrier needs both")
	}
	debug.SetGCPercent(60)
	if mb := settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.8 * (1 << 20)))
	}
	readiness, err := cli.Listen(settings.Listen["readiness"])
	if err != nil {
		return err
	}
	front, err := cli.Listen(settings.Listen["front"])
	if err != nil {
		return err
	}
	c := New(Options{Settings: settings, Log: log, Clock: clockwork.NewRealClock(), Dial: cli.Dial})
	go c.Run()
	go func() {
		_ = (&http.Server{Handler: c.Readiness(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}).Serve(readiness)
	}()
	served := make(chan error, 1)
	go func() { served <- c.Serve(front) }()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-served:
			if !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			served = nil
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				if next, err := bootconfig.FromEnvironment(); err != nil {
					log.Error("settings stay as they were", "err", err)
				} else {
					c.Reload(next)
				}
				continue
			}
			c.Shutdown(settings.Bounds.Grace.Span() - 300*time.Millisecond)
			ring.Flush()
			return nil
		}
	}
}

// Reload takes settings that were changed while the program runs: new seeds are dialled, the rest waits for a restart.
func (c *Carrier) Reload(next *bootconfig.Settings) {
	c.queue.Do(func() {
		for _, seed := range next.Seeds {
			c.keep.Keep(c.o.Settings.Peer(seed))
		}
	})
}
