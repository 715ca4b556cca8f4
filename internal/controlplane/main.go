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

	"elmfold/internal/controlplane/storage"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logbuffer"
	"elmfold/internal/gateway/logfield"
)

const (
	programName = "elmfold-controlplane"
	about       = "The gateway's control-plane node: it keeps the operator's word, knows backends and proxies, and steers."

	shutdownReserve     = time.Second            // of the grace period, for what comes after the handover
	callShutdownTimeout = 300 * time.Millisecond // for answers that are on their way
	diskShare           = 0.8                    // of the disk space allowed that records may take

	callHeaderTimeout = 5 * time.Second
	callReadTimeout   = 20 * time.Second
	callIdleTimeout   = 20 * time.Second
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return cli.Program{Name: programName, About: about, Out: out, Err: errs, Run: run}.Main(args)
}

// run serves until a signal ends the program.
func run(settings *bootconfig.Settings, options cli.Options) error {
	buffer, log := logbuffer.New(settings.Name, os.Stderr, time.Now, options.Verbose)
	if err := requireSettings(settings); err != nil {
		return err
	}
	cli.LimitMemory(settings.Limits)
	store, found, err := storage.Open(settings.DataDir, int64(settings.Limits.DiskMB*diskShare)<<20)
	if err != nil {
		return err
	}
	logRecovery(log, found)
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
		DiskComplete: found.Complete,
		DiskFresh:    found.Fresh,
		Log:          log,
		Clock:        clockwork.NewRealClock(),
		Dial:         cli.Dial,
		Listener:     peers,
		TimeOfDay:    time.Now,
	})
	callServer := newCallServer(s.Handler())
	go serveCalls(log, callServer, calls)
	cli.ServeMetrics(log, settings, options, s.Metrics())
	cli.HandleSignals(log, s.Reload, func() { // a second signal finds this under way, and waits with it
		s.Shutdown(settings.Bounds.Grace.Duration() - shutdownReserve)
		ctx, cancel := context.WithTimeout(context.Background(), callShutdownTimeout)
		defer cancel()
		_ = callServer.Shutdown(ctx) // calls that are not answered in time are repeated elsewhere
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

func logRecovery(log hclog.Logger, found storage.Recovery) {
	log.Info("disk opened", logfield.Fresh, found.Fresh, logfield.Torn, found.Torn, logfield.LostData, found.LostData,
		logfield.Complete, found.Complete, logfield.Records, found.Records)
	if found.LostData {
		log.Warn("disk has lost data: it gets a new identity, and votes once it is caught up")
	}
}

func newCallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
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

// Reload takes over settings that were changed while the program runs: new seeds are dialled, the rest waits for a
// restart.
func (s *Server) Reload(next *bootconfig.Settings) {
	s.queue.Do(func() { s.dialer.ConnectAll(next.SeedPeerAddresses()) })
}
