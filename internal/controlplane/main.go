package controlplane

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/storage"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/logbuffer"
)

const (
	leaveSpare = time.Second            // of the grace, for what comes after the handing over
	callsEnd   = 300 * time.Millisecond // answers that are on their way
)

const about = "The gateway's controller: it keeps the operator's word, knows backends and carriers, and steers."

// Main is the program.
func Main(args []string, out, errs io.Writer) int {
	return cli.Main("elmfold-controlplane", about, args, out, errs, serve)
}

func serve(settings *bootconfig.Settings, o cli.Options) error {
	ring, log := logbuffer.New(settings.Name, os.Stderr, time.Now, o.Verbose)
	if settings.Listen["control"] == "" || settings.DataDir == "" {
		return errors.New("listen.control, dataDir: a controller needs both")
	}
	debug.SetGCPercent(60)
	if mb := settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.8 * (1 << 20)))
	}
	store, found, err := storage.Open(settings.DataDir, int64(settings.Limits.DiskMB*0.8)<<20)
	if err != nil {
		return err
	}
	log.Info("disk", "fresh", found.Fresh, "torn", found.Torn, "forgot", found.Forgot, "known", found.Known,
		"records", found.Records)
	if found.Forgot {
		log.Warn("the disk has forgotten something: it is a new one now, and votes once it has all that the others have")
	}
	lines, err := cli.Listen(settings.Own())
	if err != nil {
		return err
	}
	calls, err := cli.Listen(settings.Listen["control"])
	if err != nil {
		return err
	}
	s := New(Options{Settings: settings, Disk: store, Known: found.Known, Fresh: found.Fresh, Log: log,
		Clock: clockwork.NewRealClock(), Dial: cli.Dial, Listen: lines, TimeOfDay: time.Now})
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 20 * time.Second,
		IdleTimeout: 20 * time.Second}
	go func() {
		if err := server.Serve(calls); !errors.Is(err, http.ErrServerClosed) {
			log.Error("calls are no longer served", "err", err)
		}
	}()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP {
				if next, err := bootconfig.FromEnvironment(); err != nil {
					log.Error("settings stay as they were", "err", err)
				} else {
					s.Reload(next)
				}
				continue
			}
			go func() { // a second signal finds this under way, and waits with it
				s.Leave(settings.Bounds.Grace.Span() - leaveSpare)
				ctx, cancel := context.WithTimeout(context.Background(), callsEnd)
				defer cancel()
				_ = server.Shutdown(ctx)
				s.Stop()
			}()
		}
	}()
	s.Run()
	ring.Flush()
	return store.Close()
}

// Reload takes settings that were changed while the program runs: new seeds are dialled, the rest waits for a restart.
func (s *Server) Reload(next *bootconfig.Settings) {
	s.queue.Do(func() {
		for _, seed := range next.Seeds {
			s.keep.Keep(s.o.Settings.Peer(seed))
		}
	})
}
