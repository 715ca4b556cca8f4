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

// ServeMetrics starts an HTTP server for metrics on the machine's address if options has a MetricsPort. The server runs
// until the process ends. If it cannot listen, it logs an error, because the process can work without metrics.
func ServeMetrics(log hclog.Logger, settings *bootconfig.Settings, options Options, metrics http.Handler) {
	if options.MetricsPort == 0 {
		return
	}
	listener, err := Listen(net.JoinHostPort(settings.IP, strconv.Itoa(int(options.MetricsPort))))
	if err != nil {
		log.Error("metrics listener failed", logfield.Error, err)
		return
	}
	mux := chi.NewRouter()
	mux.Get(metricsPath, metrics.ServeHTTP)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: metricsHeaderTimeout,
		IdleTimeout:       metricsIdleTimeout,
	}
	go func() { _ = server.Serve(listener) }()
}
