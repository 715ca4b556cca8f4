// Package report is what every experiment of the lab shares: its flags, its table, JSON and chart, its expected totals.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Row is a line of a table: a figure for each column.
type Row struct {
	Name    string
	Figures []string
}

// Report is what an experiment leaves.
type Report struct {
	Name    string
	Seed    uint64
	Size    string // of the experiment, in words
	Machine string
	Columns []string
	Rows    []Row
	Missed  []string // expected totals that are not met
	Figure  string

	Curves map[string][]float64 `json:"-"` // by column, in ms
	Axes   [2]string            `json:"-"` // what the chart is labelled with
}

// New begins a report; size is that of the experiment, in words.
func New(name string, seed uint64, size string, columns ...string) *Report {
	return &Report{Name: name, Seed: seed, Size: size, Columns: columns, Curves: map[string][]float64{},
		Axes:    [2]string{"ms from the change until it is told", "part of all changes told"},
		Machine: fmt.Sprintf("%d cores, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)}
}

// Row adds a line of figures, one for each column.
func (r *Report) Row(name string, figures ...any) {
	row := Row{Name: name}
	for _, f := range figures {
		row.Figures = append(row.Figures, fmt.Sprint(f))
	}
	r.Rows = append(r.Rows, row)
}

// Expect notes a total that is not what it must be.
func (r *Report) Expect(name string, got, want int) {
	r.Row(name+fmt.Sprintf(" (must be %d)", want), got)
	if got != want {
		r.Missed = append(r.Missed, fmt.Sprintf("%s %d, not %d", name, got, want))
	}
}

// Table is the report as text.
func (r *Report) Table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d: %s (%s)\n\n", r.Name, r.Seed, r.Size, r.Machine)
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\t%s\n", strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\n", row.Name, strings.Join(row.Figures, "\t"))
	}
	_ = w.Flush()
	for _, m := range r.Missed {
		fmt.Fprintf(&text, "\nMISSED: %s", m)
	}
	return text.String() + "\n" + r.Figure + "\n"
}

// Leave prints the table and keeps it, the JSON and the chart in a folder.
func (r *Report) Leave(dir string) error {
	fmt.Print(r.Table())
	if dir != "" {
		if err := r.Keep(dir); err != nil {
			return err
		}
	}
	if len(r.Missed) > 0 {
		return ErrMissed
	}
	return nil
}

// Keep writes all three into a folder.
func (r *Report) Keep(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	base := filepath.Join(dir, fmt.Sprintf("%s-seed%d", r.Name, r.Seed))
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(base+".txt", []byte(r.Table()), 0o644); err != nil {
		return err
	}
	if len(r.Curves) == 0 {
		return nil
	}
	return r.chart(base + ".png")
}

// chart draws which part of all came within which time.
func (r *Report) chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Name, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = r.Axes[0], r.Axes[1]
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range r.Columns {
		all := slices.Sorted(slices.Values(r.Curves[name]))
		if len(all) == 0 {
			continue
		}
		var line plotter.XYs
		for k := 0; k < len(all); k += max(1, len(all)/500) {
			line = append(line, plotter.XY{X: max(all[k], 0.01), Y: float64(k+1) / float64(len(all))})
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// Part gives the value below which a part of all lies.
func Part(all []float64, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// DrawSeconds draws a line over the seconds for each play.
func DrawSeconds(dir, name, what string, plays []string, values [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = name, "seconds after it", what
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, play := range plays {
		var points plotter.XYs
		for s, v := range values[i] {
			points = append(points, plotter.XY{X: float64(s + 1), Y: v})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(play, line)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, name+".png"))
}
