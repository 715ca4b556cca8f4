package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logbuffer"
)

const (
	programName = "elmfold-proxy"
	about       = "The gateway's proxy: it takes clients' requests to backends and the answers back."
	// shutdownReserve is kept of the grace period for what comes after the requests are done.
	shutdownReserve = 300 * time.Millisecond

	readinessHeaderTimeout = 5 * time.Second
	readinessIdleTimeout   = 20 * time.Second
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return cli.Program{Name: programName, About: about, Out: out, Err: errs, Run: run}.Main(args)
}

// run serves until a signal ends the program.
func run(settings *bootconfig.Settings, options cli.Options) error {
	buffer, log := logbuffer.New(settings.Name, os.Stderr, time.Now, options.Verbose)
	defer buffer.Flush()
	if err := settings.RequireListeners(bootconfig.ListenClients, bootconfig.ListenReadiness); err != nil {
		return err
	}
	cli.LimitMemory(settings.Limits)
	readiness, err := cli.Listen(settings.Listen[bootconfig.ListenReadiness])
	if err != nil {
		return err
	}
	clients, err := cli.Listen(settings.Listen[bootconfig.ListenClients])
	if err != nil {
		return err
	}
	p := New(Options{Settings: settings, Log: log, Clock: clockwork.NewRealClock(), Dial: cli.Dial})
	go p.Run()
	go serveReadiness(p, readiness)
	cli.ServeMetrics(log, settings, options, p.Metrics())
	served := make(chan error, 1)
	go func() { served <- p.Serve(clients) }()
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() {
		p.Shutdown(settings.Bounds.Grace.Duration() - shutdownReserve)
		close(stopped)
	})
	cli.HandleSignals(log, p.Reload, stop)
	select {
	case err := <-served:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stopped // Shutdown made Serve return, and waits for the requests under way
	case <-stopped:
	}
	return nil
}

func serveReadiness(p *Proxy, listener net.Listener) {
	server := &http.Server{
		Handler:           p.Readiness(),
		ReadHeaderTimeout: readinessHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
	}
	_ = server.Serve(listener) // lasts as long as the process; a platform that finds no answer takes it out of service
}

// Reload takes over settings that were changed while the program runs: new seeds are dialled, the rest waits for a
// restart.
func (p *Proxy) Reload(next *bootconfig.Settings) {
	p.queue.Do(func() { p.dialer.ConnectAll(next.SeedPeerAddresses()) })
}
