// Package plugin plays calls of plug-ins.
package plugin

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/pluginhost"
	"elmfold/pluginsdk/moment"
)

const (
	pluginBackends, pluginTenants, pluginCalls = 500, 500, 300
	maxPluginTime                              = 50.0 // ms a call may take at the 99th percentile
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{pluginCallCommand()}
}

func pluginCallCommand() *cobra.Command {
	var w report.Where
	var module string
	c := &cobra.Command{
		Use:   "plugin-call",
		Short: "time of a plug-in's call with 500 backends and 500 tenants, and memory of 1 and of 8 of them",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playPluginCalls(w, module) },
	}
	w.Flags(c)
	c.Flags().StringVar(&module, "module", "", "a built plug-in, as in docs/plugins.md")
	return c
}

func playPluginCalls(w report.Where, module string) error {
	code, err := os.ReadFile(module)
	if err != nil {
		return fmt.Errorf("name a built plug-in with --module: %w", err)
	}
	m := moment.Moment{Revision: 1, Products: []string{"look", "order", "pay"}}
	for i := range pluginBackends {
		m.Backends = append(
			m.Backends,
			moment.Backend{
				ID:     fmt.Sprintf("s-%08x", i*7919),
				Zone:   string(rune('a' + i%4)),
				Kind:   []string{"old", "m"}[i%2],
				Weight: 1,
				Relief: 1,
				Ramp:   1,
			},
		)
	}
	for i := range pluginTenants {
		m.Tenants = append(
			m.Tenants,
			moment.Tenant{
				Name:    fmt.Sprint("t", i),
				Rates:   []float64{float64(i % 7), 2, 1},
				Proxies: 10,
				Zones:   []string{"a"},
			},
		)
	}
	limits := pluginhost.DefaultLimits()
	limits.StartTimeout, limits.CallTimeout = time.Minute, time.Second
	held := func() float64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc) / 1e6
	}
	r := report.New(
		"plugin-call",
		w.Seed,
		fmt.Sprintf(
			"%d backends, %d tenants, %d calls, a module of %.1f MB",
			pluginBackends,
			pluginTenants,
			pluginCalls,
			float64(len(code))/1e6,
		),
		"start, ms",
		"call p50, ms",
		"p99, ms",
		"MB of heap each",
	)
	before := held()
	var all []*pluginhost.Plugin
	worst := 0.0
	for _, count := range []int{1, 8} {
		began := time.Now()
		for len(all) < count {
			p, err := pluginhost.Load(fmt.Sprint(module, len(all)), code, limits)
			if err != nil {
				return err
			}
			defer p.Close()
			all = append(all, p)
		}
		start := float64(time.Since(began).Milliseconds())
		var took []float64
		for i := range pluginCalls {
			m.Now = int64(i) * 1000
			for _, p := range all {
				began := time.Now()
				if _, err := p.Propose(m); err != nil {
					return err
				}
				took = append(took, float64(time.Since(began).Microseconds())/1000)
			}
		}
		worst = max(worst, report.Part(took, 0.99))
		r.Row(
			fmt.Sprintf("%d loaded", count),
			fmt.Sprintf("%.0f", start),
			report.Ms(report.Part(took, 0.5)),
			report.Ms(report.Part(took, 0.99)),
			fmt.Sprintf("%.1f", (held()-before)/float64(count)),
		)
	}
	if worst > maxPluginTime {
		r.Missed = append(
			r.Missed,
			fmt.Sprintf("a call takes %.1f ms at the 99th percentile, %.0f is the limit", worst, maxPluginTime),
		)
	}
	r.Figure = fmt.Sprintf("a call takes %s ms at the 99th percentile", report.Ms(worst))
	return r.Leave(w.Out)
}
