package cli

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/logfield"
)

const (
	metricsPath          = "/metrics"
	metricsHeaderTimeout = 2 * time.Second
	metricsIdleTimeout   = 20 * time.Second
)

// ServeMetrics shows the figures of the process at the machine's address, where the command line names a port. It
// returns at once and lasts until the process ends. A port that is taken leaves one line in the log: figures are no
// reason not to serve.
func ServeMetrics(log hclog.Logger, settings *bootconfig.Settings, options Options, figures http.Handler) {
	if options.MetricsPort == 0 {
		return
	}
	listener, err := Listen(net.JoinHostPort(settings.IP, strconv.Itoa(int(options.MetricsPort))))
	if err != nil {
		log.Error("metrics listener failed", logfield.Error, err)
		return
	}
	mux := chi.NewRouter()
	mux.Get(metricsPath, figures.ServeHTTP)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: metricsHeaderTimeout,
		IdleTimeout:       metricsIdleTimeout,
	}
	go func() { _ = server.Serve(listener) }()
}
