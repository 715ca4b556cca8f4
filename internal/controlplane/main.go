package controlplane

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/sharding"
	"elmfold/internal/controlplane/storage"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logbuffer"
	"elmfold/internal/gateway/logfield"
)

const (
	programName = "elmfold-controlplane"
	about       = "Gateway control-plane node: stores the configuration, tracks endpoints and proxies, balances load."

	shutdownReserve     = time.Second            // part of the grace period that is kept for the steps after the handover
	callShutdownTimeout = 300 * time.Millisecond // for calls that are in progress
	storeDiskShare      = 0.8                    // share of the disk limit that the store may use

	callHeaderTimeout = 5 * time.Second
	callReadTimeout   = 20 * time.Second
	callIdleTimeout   = 20 * time.Second
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return cli.Program{Name: programName, Description: about, Out: out, Err: errs, Run: run}.Main(args)
}

// run serves until a signal stops the program.
func run(settings *bootconfig.Settings, options cli.Options) error {
	buffer, log := logbuffer.New(settings.Name, os.Stderr, time.Now, options.Verbose)
	if err := requireSettings(settings); err != nil {
		return err
	}
	cli.LimitMemory(settings.Limits)
	store, recovery, err := storage.Open(settings.DataDir, int64(settings.Limits.DiskMB*storeDiskShare)<<20)
	if err != nil {
		return err
	}
	logRecovery(log, recovery)
	peers, err := cli.Listen(settings.OwnPeerAddress())
	if err != nil {
		return err
	}
	calls, err := cli.Listen(settings.Listen[bootconfig.ListenControl])
	if err != nil {
		return err
	}
	s := New(Options{
		Settings:     settings,
		Disk:         store,
		DiskComplete: recovery.Complete,
		DiskFresh:    recovery.Fresh,
		Log:          log,
		Clock:        clockwork.NewRealClock(),
		Dial:         cli.Dial,
		DialEndpoint: cli.DialWithin(sharding.DeliveryTimeout),
		Listener:     peers,
		TimeOfDay:    time.Now,
	})
	callServer := newCallServer(s)
	go serveCalls(log, callServer, calls)
	cli.ServeMetrics(log, settings, options, s.Metrics())
	cli.HandleSignals(log, s.Reload, func() { // called once per signal; a second call waits for the same handover
		s.Shutdown(settings.Bounds.Grace.Duration() - shutdownReserve)
		ctx, cancel := context.WithTimeout(context.Background(), callShutdownTimeout)
		defer cancel()
		_ = callServer.Shutdown(ctx) // clients retry unfinished calls at another node
		s.Stop()
	})
	s.Run()
	buffer.Flush()
	return store.Close()
}

func requireSettings(settings *bootconfig.Settings) error {
	err := settings.RequireListeners(bootconfig.ListenControl)
	if settings.DataDir == "" {
		err = errors.Join(err, errors.New("dataDir: is missing"))
	}
	return err
}

func logRecovery(log hclog.Logger, recovery storage.Recovery) {
	log.Info("store opened", logfield.Fresh, recovery.Fresh, logfield.Torn, recovery.Torn,
		logfield.LostData, recovery.LostData, logfield.Complete, recovery.Complete, logfield.Records, recovery.Records)
	if recovery.LostData {
		log.Warn("the disk has lost data: the node gets a new store id, and votes again once it has caught up")
	}
}

func newCallServer(s *Server) *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ConnContext:       s.ConnContext,
		ReadHeaderTimeout: callHeaderTimeout,
		ReadTimeout:       callReadTimeout,
		IdleTimeout:       callIdleTimeout,
	}
}

func serveCalls(log hclog.Logger, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("control listener failed", logfield.Error, err)
	}
}

// Reload applies changed settings to the running server. Only new seeds take effect; other changes need a restart.
func (s *Server) Reload(next *bootconfig.Settings) {
	s.queue.Do(func() { s.dialer.ConnectAll(next.SeedPeerAddresses()) })
}
