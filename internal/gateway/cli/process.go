package cli

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/logfield"
)

const (
	// gcPercent is the runtime's default. At 60 the collector took an eighth of a proxy's processor time, for 2 MB.
	gcPercent = 100
	// heapShare is the part of the memory allowed that the heap may take before the collector works harder.
	heapShare = 0.8
)

// LimitMemory has the collector keep to the memory that the settings allow.
func LimitMemory(limits bootconfig.Limits) {
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * heapShare * (1 << 20)))
	}
}

// HandleSignals calls reload with the settings read anew at each SIGHUP, and shutdown, on a goroutine of its own, at
// each SIGTERM or SIGINT. It returns at once and lasts until the process ends. Settings that cannot be read are logged
// and change nothing.
func HandleSignals(log hclog.Logger, reload func(*bootconfig.Settings), shutdown func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				go shutdown()
				continue
			}
			settings, err := bootconfig.FromEnvironment()
			if err != nil {
				log.Error("settings not reloaded", logfield.Error, err)
				continue
			}
			reload(settings)
		}
	}()
}
