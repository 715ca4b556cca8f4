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
	about       = "The gateway's proxy: it forwards client requests to backends and returns their responses."
	// shutdownReserve is the part of the grace period that remains for the exit after the last request has ended.
	shutdownReserve = 300 * time.Millisecond

	readinessHeaderTimeout = 5 * time.Second
	readinessIdleTimeout   = 20 * time.Second
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return cli.Program{Name: programName, Description: about, Out: out, Err: errs, Run: run}.Main(args)
}

// run serves until a signal stops the program.
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
		<-stopped // Serve returns when Shutdown begins; Shutdown waits for the requests in flight
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
	_ = server.Serve(listener) // returns only on failure; the platform then sees failing probes
}

// Reload applies changed settings at run time: the proxy connects to new seed nodes. Other changes need a restart.
func (p *Proxy) Reload(next *bootconfig.Settings) {
	p.queue.Do(func() { p.dialer.ConnectAll(next.SeedPeerAddresses()) })
}
