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
	gcPercent = 100
	// memoryLimitShare is the share of the allowed memory at which the garbage collector runs more often.
	memoryLimitShare = 0.8
)

// LimitMemory sets the memory limit of the garbage collector according to the settings.
func LimitMemory(limits bootconfig.Limits) {
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * (1 << 20)))
	}
}

// HandleSignals starts a signal handler that runs until the process ends. On SIGHUP it reads the settings again and
// passes them to reload; if they are invalid, it only logs the error. On SIGTERM or SIGINT it calls shutdown on a
// separate goroutine.
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
