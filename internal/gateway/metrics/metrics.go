// Package metrics keeps the counters and gauges of a process and serves them in the Prometheus text exposition format,
// version 0.0.4.
package metrics

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
)

const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Counter counts events since the start of the process. It is safe for concurrent use.
type Counter struct{ value atomic.Uint64 }

// Inc counts one event.
func (c *Counter) Inc() { c.value.Add(1) }

// Value returns the number of events so far.
func (c *Counter) Value() uint64 { return c.value.Load() }

type metric struct {
	name, help, kind string
	value            func() string
}

// Registry holds the metrics of a process. All metrics must be declared before the first request is served.
type Registry struct{ metrics []metric }

// NewCounter declares a counter. The name ends in "_total".
func (r *Registry) NewCounter(name, help string) *Counter {
	c := &Counter{}
	r.declare(metric{name: name, help: help, kind: "counter", value: func() string {
		return strconv.FormatUint(c.Value(), 10)
	}})
	return c
}

// NewGauge declares a gauge that calls value for each request. value must be safe for concurrent use.
func (r *Registry) NewGauge(name, help string, value func() int64) {
	r.declare(metric{name: name, help: help, kind: "gauge", value: func() string {
		return strconv.FormatInt(value(), 10)
	}})
}

// DeclareProcess declares the metrics that every process has.
func (r *Registry) DeclareProcess() {
	r.NewGauge("elmfold_goroutines", "Goroutines that exist.", func() int64 { return int64(runtime.NumGoroutine()) })
}

func (r *Registry) declare(m metric) {
	r.metrics = append(r.metrics, m)
	slices.SortFunc(r.metrics, func(a, b metric) int { return cmp.Compare(a.name, b.name) })
}

// ServeHTTP writes all metrics, sorted by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	for _, m := range r.metrics {
		fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n%s %s\n", m.name, m.help, m.name, m.kind, m.name, m.value())
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(text.Bytes()) // the scraper retries
}
