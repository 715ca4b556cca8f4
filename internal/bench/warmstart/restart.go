package warmstart

import (
	"fmt"
	"math"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/emulator"
	"elmfold/internal/policy"
)

const (
	restartAt       = 60 // seconds into the day, when all is learnt
	restartLook     = 30 // seconds after it
	weightTolerance = 0.1
	rightParts      = 0.95 // of the backends
	rightStays      = 3    // seconds in a row
)

func restartCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use:   "restart",
		Short: "all controllers are restarted at once, or one: cold, from the store, from a peer, from both",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playRestarts(w) },
	}
	w.Flags(c)
	return c
}

// restarted is what a play showed.
type restarted struct {
	right             float64 // seconds until tables are right; NaN: not in time
	service, declined float64 // of what is asked for in the 30 s after
	doubled, broken   int
	off               []float64 // by second: the part of the backends that is off by more than a tenth
}

// playRestart lets a fleet with an eighth of wrongly listed, slow backends learn for a minute, then restarts
// controllers; never where none is named.
func playRestart(seed uint64, from emulator.Recall, which []int) restarted {
	d := emulator.Fleet(seed, 5)
	d.Recall = from
	for i := range d.Backends {
		if i%8 == 3 { // the list does not say that these are slow
			d.Backends[i].Size = float64(d.Backends[i].Cores) * d.Backends[i].Speed
			d.Backends[i].Speed /= 3.5
		}
	}
	w := emulator.New(d)
	w.Run(restartAt * policy.Second)
	before := w.Shares(0)
	for i, b := range d.Backends {
		if i%10 == 7 && len(which) > 0 { // a tenth of the backends comes back cold with them
			w.Restart(b.ID, policy.Second)
		}
	}
	for _, c := range which {
		w.Kill(c, policy.Second, nil)
	}
	r := restarted{right: math.NaN()}
	stays := 0
	for s := range restartLook {
		w.Run(policy.Second)
		off, all, was, is := 0, 0, 0.0, 0.0
		now := w.Shares(0)
		for i, b := range d.Backends { // of those that are not cold
			if i%10 != 7 {
				was, is = was+before[b.ID], is+now[b.ID]
			}
		}
		for i, b := range d.Backends {
			if i%10 == 7 || before[b.ID] == 0 {
				continue
			}
			if all++; math.Abs(now[b.ID]/is/(before[b.ID]/was)-1) > weightTolerance {
				off++
			}
		}
		part := float64(off) / float64(max(all, 1))
		r.off = append(r.off, part)
		if stays++; part > 1-rightParts {
			stays = 0
		}
		if stays == rightStays && math.IsNaN(r.right) {
			r.right = float64(s + 2 - rightStays)
		}
	}
	asked, served, declined := 0, 0, 0
	for t := range len(d.Proxies) / 12 {
		sum := w.Over(emulator.Tenant(t), restartAt, restartAt+restartLook)
		asked, served, declined = asked+sum.Requested, served+sum.Served, declined+sum.Declined
	}
	r.service, r.declined = float64(served)/float64(asked), float64(declined)/float64(asked)
	r.doubled, r.broken = w.Doubled(), w.Bare+w.Late+len(w.Tipped)
	if w.Backlog > d.MaxQueuedLines {
		r.broken++
	}
	return r
}

func playRestarts(w report.Where) error {
	r := report.New(
		"restart",
		w.Seed,
		"5 controllers, 240 proxies, 48 backends of which 6 are slower than listed; a tenth comes back cold meanwhile",
		"s until right",
		"off after 2 s",
		"after 10 s",
		"service",
		"declined",
		"rules broken",
	)
	all := []int{0, 1, 2, 3, 4}
	plays := []struct {
		name  string
		from  emulator.Recall
		which []int
	}{
		{"nobody is restarted", 0, nil},
		{"all at once, cold", 0, all},
		{"all at once, from the store", emulator.FromStore, all},
		{"one, cold", 0, []int{1}},
		{"one, from a peer", emulator.FromPeer, []int{1}},
		{"one, from the store and a peer", emulator.FromStore | emulator.FromPeer, []int{1}},
	}
	right := map[string]float64{}
	var names []string
	var offs [][]float64
	for _, p := range plays {
		x := playRestart(w.Seed, p.from, p.which)
		until := fmt.Sprintf("%.0f", x.right)
		if math.IsNaN(x.right) {
			until, x.right = fmt.Sprintf("over %d", restartLook), restartLook
		}
		right[p.name] = x.right
		r.Row(
			p.name,
			until,
			fmt.Sprintf("%.2f", x.off[1]),
			fmt.Sprintf("%.2f", x.off[9]),
			fmt.Sprintf("%.4f", x.service),
			fmt.Sprintf("%.4f", x.declined),
			x.broken,
		)
		if x.doubled+x.broken > 0 {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %d doubled, %d rules broken", p.name, x.doubled, x.broken))
		}
		names, offs = append(names, p.name), append(offs, x.off)
	}
	if w.Out != "" {
		if err := report.DrawSeconds(
			w.Out,
			fmt.Sprintf("restart-seed%d", w.Seed),
			"part of the backends whose share is off by more than a tenth",
			names,
			offs,
		); err != nil {
			return err
		}
	}
	r.Figure = fmt.Sprintf(
		"seed %d: tables are right %.0f s after a restart of all from the store, %.0f s cold",
		w.Seed,
		right["all at once, from the store"],
		right["all at once, cold"],
	)
	return r.Leave(w.Out)
}
