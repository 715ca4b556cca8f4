package gateway

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"elmfold/internal/bench/report"
	"elmfold/internal/fakes/gateway"
)

// size of a scale run.
type size struct{ controllers, proxies, backends, services, routes int }

func (s size) String() string {
	return fmt.Sprintf(
		"%d control-plane nodes, %d proxies, %d backends, %d services, %d routes",
		s.controllers,
		s.proxies,
		s.backends,
		s.services,
		s.routes,
	)
}

var (
	small = size{5, 50, 500, 20, 380}
	// The size that is asked for: 680 processes, five of them controllers.
	fullSize = size{5, 675, 7100, 200, 3800}
)

// sizes vary one thing at a time from the small one, then all together.
func sizes() []size {
	return []size{small, {3, 50, 500, 20, 380}, {5, 200, 500, 20, 380}, {5, 400, 500, 20, 380}, {5, 680, 500, 20, 380},
		{5, 50, 2000, 20, 380}, {5, 50, 7100, 20, 380}, {5, 50, 500, 100, 380}, {5, 50, 500, 200, 380},
		{5, 50, 500, 20, 3800}, {5, 200, 2000, 60, 1100}, fullSize}
}

const (
	realProxies      = 2
	scaleZones       = 10
	heartbeatSeconds = 1.5
	warmupDuration   = 9 * time.Second // after the start: joins, first tables
	steadyTime       = 10 * time.Second
	startTimeout     = 25 * time.Second
	notifyTimeout    = 12 * time.Second
	maxMemory        = 10 << 30 // of all processes together
	gently           = 40       // carriers a second
	requestsAll      = 100_000  // a second that reports tell of at the whole size, spread over its carriers
)

func scaleCommand() *cobra.Command {
	var w report.Where
	var programs, one, profile, name string
	var requests, joins int
	c := &cobra.Command{
		Use:   "scale",
		Short: "real control-plane nodes beside hollow proxies and backends, without traffic: what control costs, by size",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			all := sizes()
			if one != "" {
				var s size
				if n, err := fmt.Sscanf(
					one,
					"%d,%d,%d,%d,%d",
					&s.controllers,
					&s.proxies,
					&s.backends,
					&s.services,
					&s.routes,
				); n != 5 {
					return fmt.Errorf("--one %q: %w", one, err)
				}
				all = []size{s}
			}
			return playScale(w, programs, all, requests, joins, profile, name)
		},
	}
	w.Flags(c)
	c.Flags().StringVar(&programs, "programs", "target", "folder of elmfold-controlplane and elmfold-proxy")
	c.Flags().StringVar(&one, "one", "", "NODES,PROXIES,BACKENDS,SERVICES,ROUTES: only this size")
	c.Flags().IntVar(
		&requests,
		"requests",
		requestsAll/fullSize.proxies,
		"a second that each hollow proxy's reports tell of",
	)
	c.Flags().IntVar(&joins, "joins", 0, "proxies a second that join after the backends; 0: all at once with them")
	c.Flags().StringVar(&name, "name", "scale", "of the files in --out")
	c.Flags().StringVar(&profile, "logs", "", "folder in which settings and logs of the processes stay")
	return c
}

func gentle(joins int) string {
	if joins == 0 {
		return ""
	}
	return fmt.Sprintf(", %d a second join", joins)
}

// scaled is what one size showed; of the controllers the one that uses most of each.
type scaled struct {
	size
	cores, read, wrote, calls, resident, peak float64 // cores, bytes/s, calls/s, bytes
	proxyIn, proxyOut                         float64 // bytes/s of a hollow carrier, all its lines
	proxyCores, proxyResident                 float64 // of a real one
	framesIn, framesOut, tables               float64 // frames/s of all hollow carriers
	heartbeats                                float64 // bytes/s of all beats, both ways
	start, configured, acked, drained         time.Duration
	configCores, configBytes                  float64 // seconds of a core and bytes of one change, the busiest controller
	configurationBytes                        int     // bytes
	lost                                      int     // lines that broke during the steady state
	broke                                     string
}

func playOne(s size, seed uint64, programs, keep string, requests, joins int) (x scaled, err error) {
	x.size = s
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "scale"); err != nil {
			return x, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	var zones []string
	for i := range scaleZones {
		zones = append(zones, fmt.Sprintf("zone-%d", i))
	}
	spread := time.Duration(0)
	if joins > 0 {
		spread = time.Duration(s.proxies) * time.Second / time.Duration(joins)
	}
	began := time.Now()
	d, err := gateway.Start(
		gateway.Plan{Programs: programs, Dir: dir, Controllers: s.controllers, Carrier: realProxies, Zones: zones,
			Faults: (s.controllers - 1) / 2, Beat: heartbeatSeconds, Verbose: keep != ""},
	)
	if err != nil {
		return x, err
	}
	defer d.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout+spread)
	defer cancel()
	operator, shape := &gateway.Operator{
		Controls: d.Controls(),
	}, gateway.Shape{
		Services: s.services,
		Routes:   s.routes,
		Safe:     true,
	}
	text := gateway.Configuration(1, shape, 0)
	x.configurationBytes = len(text)
	if err := operator.Replace(ctx, text); err != nil {
		return x, err
	}
	h := gateway.StartHollow(
		d,
		gateway.HollowPlan{Carriers: s.proxies, Backends: s.backends, Services: s.services, Zones: zones,
			Beat: heartbeatSeconds, Requests: requests, Seed: seed, Joins: joins},
	)
	defer h.Stop()
	want := s.proxies * s.controllers
	for lines, settled := 0, 0; lines < want || settled < want; lines, settled = h.Up() {
		if ctx.Err() != nil {
			x.broke = fmt.Sprintf("after %v only %d of %d lines stand, %d settled", startTimeout+spread, lines, want, settled)
			break
		}
		if total := memory(d); total > maxMemory {
			x.broke = fmt.Sprintf("the processes hold %d MB", total>>20)
			return x, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := d.Ready(ctx); err != nil && x.broke == "" {
		x.broke = err.Error()
	}
	if x.broke != "" { // what comes after would say nothing: only what the start took is kept
		for _, p := range d.Controllers {
			if u, err := p.Usage(); err == nil {
				x.cores = max(x.cores, u.Processor.Seconds()/time.Since(began).Seconds())
				x.wrote, x.peak = max(x.wrote, float64(u.Wrote)/time.Since(began).Seconds()), max(x.peak, float64(u.Peak))
			}
		}
		return x, nil
	}
	x.start = time.Since(began)
	time.Sleep(warmupDuration)
	var before []gateway.Usage
	for _, p := range append(append([]*gateway.Process(nil), d.Controllers...), d.Carriers...) {
		u, err := p.Usage()
		if err != nil {
			return x, err
		}
		before = append(before, u)
	}
	said, at := h.Said(), time.Now()
	time.Sleep(steadyTime)
	now, span := h.Said(), time.Since(at).Seconds()
	for i, p := range append(append([]*gateway.Process(nil), d.Controllers...), d.Carriers...) {
		u, err := p.Usage()
		if err != nil {
			return x, err
		}
		r := u.Since(before[i])
		if i >= len(d.Controllers) {
			x.proxyCores, x.proxyResident = max(x.proxyCores, r.Cores), max(x.proxyResident, float64(u.Resident))
			continue
		}
		x.cores, x.read, x.wrote, x.calls = max(
			x.cores,
			r.Cores,
		), max(
			x.read,
			r.Read,
		), max(
			x.wrote,
			r.Wrote,
		), max(
			x.calls,
			r.Calls,
		)
		x.resident, x.peak = max(x.resident, float64(u.Resident)), max(x.peak, float64(u.Peak))
	}
	per := func(a, b int64) float64 { return float64(b-a) / span }
	x.proxyIn, x.proxyOut = per(
		said.LinesIn,
		now.LinesIn,
	)/float64(
		s.proxies,
	), per(
		said.LinesOut,
		now.LinesOut,
	)/float64(
		s.proxies,
	)
	x.framesIn, x.framesOut, x.tables = per(
		said.FramesIn,
		now.FramesIn,
	), per(
		said.FramesOut,
		now.FramesOut,
	), per(
		said.Tables,
		now.Tables,
	)
	x.heartbeats = per(said.BeatsIn+said.BeatsOut, now.BeatsIn+now.BeatsOut)
	lines, _ := h.Up()
	x.lost = want - lines
	if before, err = usages(d.Controllers); err != nil {
		return x, err
	}
	text = gateway.Configuration(2, shape, 1)
	x.acked, x.configured, err = h.Configured(2, notifyTimeout, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		return operator.Replace(ctx, text)
	})
	if err != nil {
		x.broke = err.Error()
	}
	time.Sleep(time.Second)
	after, err := usages(d.Controllers)
	if err != nil {
		return x, err
	}
	for i := range after {
		idle := after[i].At.Sub(before[i].At).Seconds()
		x.configCores = max(x.configCores, (after[i].Processor-before[i].Processor).Seconds()-idle*x.cores)
		x.configBytes = max(x.configBytes, float64(after[i].Wrote-before[i].Wrote)-idle*x.wrote)
	}
	for i := range 5 {
		if _, known := h.Drain(i*s.backends/5, notifyTimeout); known == 0 {
			x.drained = 0
			break
		} else {
			x.drained = max(x.drained, known)
		}
	}
	if after, err = usages(d.Controllers); err != nil {
		return x, err
	}
	for _, u := range after {
		x.peak = max(x.peak, float64(u.Peak))
	}
	return x, nil
}

func usages(all []*gateway.Process) (out []gateway.Usage, err error) {
	for _, p := range all {
		u, err := p.Usage()
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func memory(d *gateway.Deployment) (total int64) {
	for _, p := range append(append([]*gateway.Process(nil), d.Controllers...), d.Carriers...) {
		if u, err := p.Usage(); err == nil {
			total += u.Resident
		}
	}
	return total
}

func playScale(w report.Where, programs string, all []size, requests, joins int, keep, name string) error {
	r := report.New(
		name,
		w.Seed,
		fmt.Sprintf(
			"control-plane nodes and %d proxies as processes, hollow proxies and backends in another (columns of a proxy: "+
				"bytes of a hollow one, core and MB of the real ones, without traffic); %d zones, beats each %.1f s, reports "+
				"of %d requests/s a proxy, %v of steady state; the busiest control-plane node; other work ran on the machine",
			realProxies,
			scaleZones,
			heartbeatSeconds,
			requests,
			steadyTime,
		),
		"core %",
		"MB now",
		"MB most",
		"KB/s in",
		"KB/s out",
		"calls/s",
		"proxy KB/s in",
		"out",
		"proxy core %",
		"proxy MB",
		"beats KB/s",
		"tables/s",
		"start s",
		"change s",
		"change core s",
		"change MB out",
		"drain s",
		"lines lost",
	)
	var out []scaled
	type play struct {
		size
		joins int
	}
	var plays []play
	for _, s := range all {
		plays = append(plays, play{s, joins})
	}
	for i := 0; i < len(plays); i++ {
		s := plays[i].size
		x, err := playOne(s, w.Seed, programs, keep, requests, plays[i].joins)
		if err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
		if x.broke != "" {
			r.Row(
				s.String()+gentle(plays[i].joins),
				fmt.Sprintf("%.3g", x.cores*100),
				"",
				fmt.Sprintf("%.3g", x.peak/1e6),
				"",
				fmt.Sprintf("%.3g", x.wrote/1e3),
				"does not start: "+x.broke,
			)
			if plays[i].joins == 0 { // once more, in a gentler way
				plays = slices.Insert(plays, i+1, play{s, gently})
			}
			fmt.Println(s, "broke:", x.broke, "cores", x.cores, "peak MB", x.peak/1e6, "wrote KB/s", x.wrote/1e3)
			out = append(out, x)
			continue
		}
		f := func(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
		seconds := func(d time.Duration) string {
			if d == 0 {
				return "never"
			}
			return fmt.Sprintf("%.2f", d.Seconds())
		}
		r.Row(
			s.String()+gentle(plays[i].joins),
			f(x.cores*100),
			f(x.resident/1e6),
			f(x.peak/1e6),
			f(x.read/1e3),
			f(x.wrote/1e3),
			f(x.calls),
			f(
				x.proxyIn/1e3,
			),
			f(x.proxyOut/1e3),
			f(x.proxyCores*100),
			f(x.proxyResident/1e6),
			f(x.heartbeats/1e3),
			f(x.tables),
			seconds(x.start),
			seconds(x.configured),
			f(x.configCores),
			f(x.configBytes/1e6),
			seconds(x.drained),
			x.lost,
		)
		fmt.Println(strings.Join(append([]string{s.String()}, r.Rows[len(r.Rows)-1].Figures...), "  "))
		out = append(out, x)
	}
	last := out[len(out)-1]
	if len(all) > 1 {
		r.Row("slopes: core % a thousand; KB each; B/s each in and out")
		slope(r, out, "proxies", func(s size) int { return s.proxies })
		slope(r, out, "backends", func(s size) int { return s.backends })
		slope(r, out, "services", func(s size) int { return s.services })
		slope(r, out, "routes", func(s size) int { return s.routes })
	}
	// What must come out at any size: with all lines up, every carrier has heard of the change and of each drain.
	heard, wanted := 0, 0
	for _, x := range out {
		if x.broke != "" {
			continue
		}
		wanted += 2
		if x.configured > 0 {
			heard++
		}
		if x.drained > 0 {
			heard++
		}
	}
	r.Expect(fmt.Sprintf("changes and drains that all proxies heard of within %v", notifyTimeout), heard, wanted)
	if w.Out != "" {
		if err := drawScale(w, name, out); err != nil {
			return err
		}
	}
	r.Figure = fmt.Sprintf(
		"seed %d: %v: the busiest control-plane node takes %.1f%% of a core, %.0f MB (%.0f at the most), %.0f KB/s in "+
			"and %.0f "+
			"out; a change is in force after %.2f s, a drain known after %.2f s",
		w.Seed,
		last.size,
		last.cores*100,
		last.resident/1e6,
		last.peak/1e6,
		last.read/1e3,
		last.wrote/1e3,
		last.configured.Seconds(),
		last.drained.Seconds(),
	)
	return r.Leave(w.Out)
}

// slope is from the small size to the largest that differs from it in one thing alone.
func slope(r *report.Report, all []scaled, name string, of func(size) int) {
	var a, b *scaled
	for i := range all {
		x := &all[i]
		alone := small
		switch name {
		case "proxies":
			alone.proxies = x.proxies
		case "backends":
			alone.backends = x.backends
		case "services":
			alone.services = x.services
		case "routes":
			alone.routes = x.routes
		}
		switch {
		case x.broke != "" || x.size != alone:
		case x.size == small:
			a = x
		case b == nil || of(x.size) > of(b.size):
			b = x
		}
	}
	if a == nil || b == nil {
		return
	}
	n := float64(of(b.size) - of(a.size))
	f := func(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
	r.Row(
		fmt.Sprintf("... by %s, up to %d", name, of(b.size)),
		f((b.cores-a.cores)*1e5/n),
		f((b.resident-a.resident)/1e3/n),
		"",
		f((b.read-a.read)/n),
		f((b.wrote-a.wrote)/n),
	)
}

// drawScale draws the part of a core that the busiest controller takes, by the part of the whole size.
func drawScale(w report.Where, name string, all []scaled) error {
	if err := os.MkdirAll(w.Out, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf(
		"%s, seed %d",
		name,
		w.Seed,
	), "part of the whole size", "% of a core, busiest control-plane node"
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	curves := []struct {
		name string
		of   func(size) int
		top  int
	}{
		{"proxies alone", func(s size) int { return s.proxies }, fullSize.proxies},
		{"backends alone", func(s size) int { return s.backends }, fullSize.backends},
		{"services alone", func(s size) int { return s.services }, fullSize.services},
		{"routes alone", func(s size) int { return s.routes }, fullSize.routes},
		{"all together", nil, 1},
	}
	for i, c := range curves {
		var points plotter.XYs
		for _, x := range all {
			if x.controllers != 5 || x.broke != "" {
				continue
			}
			differ := 0
			for _, d := range []bool{
				x.proxies != small.proxies,
				x.backends != small.backends,
				x.services != small.services,
				x.routes != small.routes,
			} {
				if d {
					differ++
				}
			}
			switch {
			case c.of == nil && (differ == 4 || differ == 0):
				points = append(points, plotter.XY{X: float64(x.backends) / float64(fullSize.backends), Y: x.cores * 100})
			case c.of != nil && (differ == 0 || differ == 1 && c.of(x.size) != c.of(small)):
				points = append(points, plotter.XY{X: float64(c.of(x.size)) / float64(c.top), Y: x.cores * 100})
			}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, line.Width, dots.Color = plotutil.Color(i), vg.Points(1.5), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(c.name, line)
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(w.Out, fmt.Sprintf("%s-seed%d.png", name, w.Seed)))
}
