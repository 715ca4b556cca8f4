// Package eventloop plays what a moment costs the desk.
package eventloop

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// fleets are sizes that one controller may come to own, proxies x backends.
var fleets = [][2]int{{256, 120}, {1280, 120}, {480, 200}, {2400, 200}, {5000, 500}}

const joinsAtOnce = 20 // that come within a moment, while a fleet joins bit by bit

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{momentsCommand(), keptCommand()}
}

func momentsCommand() *cobra.Command {
	var w report.Where
	var beside string
	var raw bool
	c := &cobra.Command{
		Use:   "step",
		Short: "time of a moment at the desk and the decisions, at sizes that one controller may come to own",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playMoments(w, beside, raw) },
	}
	w.Flags(c)
	c.Flags().StringVar(&beside, "beside", "", "another build of this program to be measured in the same run")
	c.Flags().BoolVar(&raw, "raw", false, "print the figures alone, for --beside of another build")
	return c
}

// moment is what one of them cost, the least of several.
type moment struct {
	Proxies, Backends int
	Name              string
	Millis            float64
	Mallocs           uint64
	Reported          int // proxies
}

// sink is a stream that counts.
type sink struct{ openedAt, messages uint64 }

func (s *sink) Sequence() uint64     { return s.openedAt }
func (s *sink) Send(b []byte)        { s.messages++ }
func (s *sink) SetPeer(string)       {}
func (s *sink) CloseReplaced()       {}
func (s *sink) CloseRefused()        {}
func (s *sink) RecordFault(er error) {}

type noLists struct{}

func (noLists) Follow(bool) {}
func (noLists) Reload()     {}

var momentNames = flatsettings.Names{
	Products: []string{"look", "order", "pay"},
	Zones:    []string{"a", "b", "c", "d"},
	Kinds:    []string{"s"},
}

// fleetOf is a desk with its list and streams, nobody joined yet.
type fleetOf struct {
	d                 *eventloop.Loop
	proxies, backends int
	streams           []*sink
	members           []reconcile.Member
	now               policy.Time
	revision          int64
}

func newFleet(proxies, backends int) *fleetOf {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleetOf{proxies: proxies, backends: backends, now: 1000 * policy.Second, revision: 1}
	f.d = eventloop.New(
		policy.Deployment{
			Products: []policy.Product{
				{Revenue: 2, SLA: 8000},
				{Revenue: 5, SLA: 7500, OnlyZones: []int{0, 1, 2}},
				{
					Revenue: 3,
					SLA:     15000,
				},
			},
			Zones:           4,
			Proxies:         proxies,
			HonorRemovals:   true,
			WarmupTime:      12 * policy.Second,
			WarmupCapacity:  0.3,
			WarmupOverload:  3,
			MinConns:        400,
			LinesPerSecond:  float64(50 * proxies),
			MaxQueuedLines:  float64(100 * proxies),
			MessageOverhead: 6,
			MessageWindow:   10 * policy.Second,
		},
		momentNames,
		noLists{},
		logrus.NewEntry(log),
	)
	for i := range backends {
		f.members = append(f.members, f.member(i, 0))
	}
	f.d.SetCachedList(reconcile.List{Revision: 1, Complete: true, Members: f.members})
	f.d.Step(f.now)
	for i := range proxies {
		f.streams = append(f.streams, &sink{openedAt: uint64(i + 1)})
	}
	return f
}

func (f *fleetOf) member(i int, up float64) reconcile.Member {
	return reconcile.Member{
		ID:      fmt.Sprintf("s-%06x", i),
		Zone:    momentNames.Zones[i%4],
		Kind:    "s",
		Phase:   reconcile.Serving,
		Weight:  1,
		UpSince: up,
	}
}

func (f *fleetOf) join(from, to int) {
	for i := from; i < to; i++ {
		f.d.Handle(
			eventloop.Command{From: f.streams[i], Message: textproto.Subscribe{Proxy: i, Zone: momentNames.Zones[i%4], Rate: 5}},
		)
	}
}

// reports are a second of what all proxies and collectors say.
func (f *fleetOf) reports() {
	for i, s := range f.streams {
		for k, name := range momentNames.Products {
			f.d.Handle(
				eventloop.Command{
					From:    s,
					Message: textproto.UsageReport{Proxy: i, Product: name, Txns: float64(1 + (i+k)%4), Period: policy.Second},
				},
			)
		}
	}
	for _, m := range f.members {
		f.d.Handle(
			eventloop.Command{
				From:    f.streams[0],
				Message: textproto.BackendReport{Zone: "a", Backend: m.ID, Attempts: 20, Latency: 1500},
			},
		)
	}
}

// reported is a total of the fleet's sums.
func (f *fleetOf) reported() {
	t := eventloop.RemoteSums{Age: policy.Second / 2}
	for _, m := range f.members {
		t.Reports = append(t.Reports, textproto.BackendReport{Backend: m.ID, Attempts: 80, Latency: 1500})
	}
	for _, name := range momentNames.Products {
		for _, z := range momentNames.Zones {
			t.Usage = append(t.Usage, eventloop.ZoneUsage{Product: name, Zone: z, Txns: 500})
		}
	}
	f.d.Handle(eventloop.Command{Message: t})
}

// measure steps once and tells what that cost.
func (f *fleetOf) measure(name string, after policy.Time) moment {
	before := uint64(0)
	for _, s := range f.streams {
		before += s.messages
	}
	var was, is runtime.MemStats
	runtime.ReadMemStats(&was)
	f.now += after
	began := time.Now()
	f.d.Step(f.now)
	took := time.Since(began)
	runtime.ReadMemStats(&is)
	told := uint64(0)
	for _, s := range f.streams {
		told += s.messages
	}
	return moment{
		Name:     name,
		Millis:   float64(took) / float64(time.Millisecond),
		Mallocs:  is.Mallocs - was.Mallocs,
		Reported: int(told - before),
	}
}

// replace lets six in ten of the backends give way to ones of other names, cold.
func (f *fleetOf) replace() {
	f.revision++
	change := reconcile.List{Revision: f.revision}
	for i := range f.members {
		if i%10 < 6 {
			gone := f.members[i]
			gone.Phase = reconcile.Deleted
			f.members[i] = f.member(i+f.backends*int(f.revision), float64(f.now)/10)
			change.Members = append(change.Members, gone, f.members[i])
		}
	}
	f.d.Handle(eventloop.Command{Message: change})
}

// playFleet goes through the moments of one size.
func playFleet(proxies, backends int) []moment {
	f := newFleet(proxies, backends)
	const tick = policy.Second
	f.join(0, proxies)
	all := []moment{f.measure("all join at once", 40)}
	for range 3 {
		f.reports()
		f.measure("", tick)
	}
	f.reports()
	all = append(all, f.measure("a tick with all reports, nothing changes", tick))
	f.reports()
	f.reported()
	all = append(all, f.measure("a tick with all reports and sums told on", tick))
	all = append(all, f.measure("a tick without news", tick))
	f.d.Handle(
		eventloop.Command{
			From:    f.streams[0],
			Message: textproto.UsageReport{Proxy: 0, Product: "look", Txns: 1, Period: policy.Second},
		},
	)
	all = append(all, f.measure("between ticks, one report", 40))
	f.revision++
	gone := f.members[0]
	gone.Phase = reconcile.Draining
	f.d.Handle(eventloop.Command{Message: reconcile.List{Revision: f.revision, Members: []reconcile.Member{gone}}})
	all = append(all, f.measure("between ticks, one backend drains", 40))
	f.replace()
	all = append(all, f.measure("between ticks, six in ten backends change", 40), f.measure("... the tick after it", tick))

	f = newFleet(proxies, backends)
	f.join(0, proxies)
	f.measure("", 40)
	all = append(all, f.measure("a moment later, while most wait for their tables", 2000))
	f = newFleet(proxies, backends)
	bit := moment{Name: fmt.Sprintf("all join, %d a moment, the sum", joinsAtOnce)}
	for at := 0; at < proxies; at += joinsAtOnce {
		f.join(at, min(at+joinsAtOnce, proxies))
		m := f.measure("", 40)
		bit.Millis, bit.Mallocs, bit.Reported = bit.Millis+m.Millis, bit.Mallocs+m.Mallocs, bit.Reported+m.Reported
	}
	return append(all, bit)
}

// playAll goes through all sizes, three times each, and keeps the least.
func playAll() (all []moment) {
	for _, size := range fleets {
		var least []moment
		for range 3 {
			now := playFleet(size[0], size[1])
			for i := range least {
				now[i].Millis = min(now[i].Millis, least[i].Millis)
			}
			least = now
		}
		for _, m := range least {
			m.Proxies, m.Backends = size[0], size[1]
			all = append(all, m)
		}
	}
	return all
}

func playMoments(w report.Where, beside string, raw bool) error {
	var old []moment
	if beside != "" { // its own figures, on the same machine, just before
		text, err := exec.Command(beside, "step", "--raw").Output()
		if err == nil {
			err = json.Unmarshal(text, &old)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", beside, err)
		}
	}
	all := playAll()
	if raw {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	r := report.New(
		"step",
		w.Seed,
		"desk and decisions, streams in memory; the least of three",
		"ms",
		"allocations",
		"proxies told",
	)
	if old != nil {
		r.Columns = append(r.Columns, "ms before", "times faster")
	}
	worst, least := moment{}, math.Inf(1)
	for i, m := range all {
		row := []any{fmt.Sprintf("%.2f", m.Millis), m.Mallocs, m.Reported}
		if i < len(old) && old[i].Name == m.Name {
			times := old[i].Millis / max(m.Millis, 1e-6)
			if row = append(row, fmt.Sprintf("%.2f", old[i].Millis), fmt.Sprintf("%.1f", times)); times < least {
				worst, least = m, times
			}
		}
		r.Row(fmt.Sprintf("%d x %d, %s", m.Proxies, m.Backends, m.Name), row...)
	}
	r.Figure = fmt.Sprintf("%d moments at %d sizes", len(all)/len(fleets), len(fleets))
	if old != nil {
		r.Figure += fmt.Sprintf(
			"; the least gain is %.1f times, at %d x %d, %s",
			least,
			worst.Proxies,
			worst.Backends,
			worst.Name,
		)
	}
	if w.Out != "" {
		if err := os.MkdirAll(w.Out, 0o755); err != nil {
			return err
		}
		if err := drawMoments(filepath.Join(w.Out, fmt.Sprintf("step-seed%d.png", w.Seed)), all, old); err != nil {
			return err
		}
	}
	return r.Leave(w.Out)
}

// drawMoments draws a line for each kind of moment over the sizes, dashed what it was before.
func drawMoments(path string, all, old []moment) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "cost of a moment", "proxies x backends", "ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	kinds := len(all) / len(fleets)
	for k := range kinds {
		for _, from := range [][]moment{all, old} {
			var points plotter.XYs
			for i := k; i < len(from); i += kinds {
				points = append(points, plotter.XY{X: float64(from[i].Proxies * from[i].Backends), Y: max(from[i].Millis, 0.001)})
			}
			if len(points) == 0 {
				continue
			}
			slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			colors := append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...) // more than one palette has
			if line.Color, line.Width = colors[k%len(colors)], vg.Points(1.5); &from[0] != &all[0] {
				line.Dashes = plotutil.Dashes(1)
			} else {
				p.Legend.Add(all[k].Name, line)
			}
			p.Add(line)
		}
	}
	return p.Save(20*vg.Centimeter, 14*vg.Centimeter, path)
}
