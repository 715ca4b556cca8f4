package main

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

	curves map[string][]float64 // by column, in ms
}

func newReport(name string, seed uint64, size string, columns ...string) *Report {
	return &Report{Name: name, Seed: seed, Size: size, Columns: columns, curves: map[string][]float64{},
		Machine: fmt.Sprintf("%d cores, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)}
}

func (r *Report) row(name string, figures ...any) {
	row := Row{Name: name}
	for _, f := range figures {
		row.Figures = append(row.Figures, fmt.Sprint(f))
	}
	r.Rows = append(r.Rows, row)
}

// expect notes a total that is not what it must be.
func (r *Report) expect(name string, got, want int) {
	r.row(name+fmt.Sprintf(" (must be %d)", want), got)
	if got != want {
		r.Missed = append(r.Missed, fmt.Sprintf("%s %d, not %d", name, got, want))
	}
}

func (r *Report) table() string {
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

// leave prints the table and keeps it, the JSON and the chart in a folder.
func (r *Report) leave(dir string) error {
	fmt.Print(r.table())
	if dir != "" {
		if err := r.keep(dir); err != nil {
			return err
		}
	}
	if len(r.Missed) > 0 {
		return errMissed
	}
	return nil
}

func (r *Report) keep(dir string) error {
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
	if err := os.WriteFile(base+".txt", []byte(r.table()), 0o644); err != nil {
		return err
	}
	if len(r.curves) == 0 {
		return nil
	}
	return r.chart(base + ".png")
}

// chart draws which part of all came within which time.
func (r *Report) chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Name, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "ms from the change until it is told", "part of all changes told"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range r.Columns {
		all := slices.Sorted(slices.Values(r.curves[name]))
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

// part gives the value below which a part of all lies.
func part(all []float64, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
