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

// CounterVec is a group of counters that one label distinguishes. Its values are declared with it.
type CounterVec struct{ counters []Counter }

// With returns the counter of the label value with an index in the declared values.
func (v *CounterVec) With(index int) *Counter { return &v.counters[index] }

type metric struct {
	name, help, kind string
	samples          func() []sample
}

// sample is one line of a metric.
type sample struct {
	labels string // with braces; empty without labels
	value  string
}

// Registry holds the metrics of a process. All metrics must be declared before the first request is served.
type Registry struct{ metrics []metric }

// NewCounter declares a counter. The name ends in "_total".
func (r *Registry) NewCounter(name, help string) *Counter {
	c := &Counter{}
	r.declare(metric{name: name, help: help, kind: "counter", samples: func() []sample {
		return []sample{{value: strconv.FormatUint(c.Value(), 10)}}
	}})
	return c
}

// NewCounterVec declares a counter for each value of a label. Counters that are 0 are not shown. The name ends in
// "_total".
func (r *Registry) NewCounterVec(name, help, label string, values []string) *CounterVec {
	v := &CounterVec{counters: make([]Counter, len(values))}
	r.declare(metric{name: name, help: help, kind: "counter", samples: func() (shown []sample) {
		for i, value := range values {
			if n := v.With(i).Value(); n > 0 {
				labels := fmt.Sprintf("{%s=%q}", label, value)
				shown = append(shown, sample{labels, strconv.FormatUint(n, 10)})
			}
		}
		return shown
	}})
	return v
}

// NewGauge declares a gauge that calls value for each request. value must be safe for concurrent use.
func (r *Registry) NewGauge(name, help string, value func() int64) {
	r.declare(metric{name: name, help: help, kind: "gauge", samples: func() []sample {
		return []sample{{value: strconv.FormatInt(value(), 10)}}
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
		fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n", m.name, m.help, m.name, m.kind)
		for _, s := range m.samples() {
			fmt.Fprintf(&text, "%s%s %s\n", m.name, s.labels, s.value)
		}
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(text.Bytes()) // the scraper retries
}
