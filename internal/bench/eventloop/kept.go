package eventloop

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/statestore"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

const (
	keptProxies, keptBackends, keptTicks = 5000, 500, 60
	maxStored                            = 1.25 // times the step without
)

func keptCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use:   "step-kept",
		Short: "what keeping facts costs a step of the desk at 5,000 proxies, and bytes written a second",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playKept(w) },
	}
	w.Flags(c)
	return c
}

func playKept(w report.Where) error {
	dir, err := os.MkdirTemp("", "kept")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "state")
	s, _, err := statestore.Open(path, "lab", 0, report.DiscardLogger())
	if err != nil {
		return err
	}
	bytes, facts := 0, 0
	keep := func(all []warmstart.Fact) {
		records := make([]statestore.Record, 0, len(all))
		for _, f := range all {
			records = append(
				records,
				statestore.Record{Kind: f.Kind, Key: f.Key, Value: f.Value, At: time.Now().Add(-f.Age).UnixMilli()},
			)
		}
		s.Put(records...)
		facts += len(records)
	}
	// Both fleets take turns in one run, so that whatever else the machine does meets both.
	without, with := newFleet(keptProxies, keptBackends), newFleet(keptProxies, keptBackends)
	with.d.SetFactSink(keep)
	var plain, kept []float64
	for _, f := range []*fleetOf{without, with} {
		f.join(0, keptProxies)
		f.measure("", 40)
	}
	for range keptTicks {
		for _, f := range []*fleetOf{without, with} {
			f.reports()
			m := f.measure("", policy.Second)
			if f == with {
				kept = append(kept, m.Millis)
			} else {
				plain = append(plain, m.Millis)
			}
		}
	}
	if err := s.Flush(); err != nil {
		return err
	}
	if info, err := os.Stat(path); err == nil {
		bytes = int(info.Size())
	}
	_, all, err := storeLook(path, s)
	if err != nil {
		return err
	}
	size := 0
	for _, r := range all {
		size += len(statestore.Encode(r)) + len(r.Key) + 1
	}
	perS := float64(facts) / keptTicks * float64(size) / float64(max(len(all), 1))
	r := report.New(
		"step-kept",
		w.Seed,
		fmt.Sprintf("%d proxies, %d backends, %d ticks with all reports", keptProxies, keptBackends, keptTicks),
		"p50, ms",
		"p99, ms",
	)
	r.Row("nothing is kept", report.Ms(report.Part(plain, 0.5)), report.Ms(report.Part(plain, 0.99)))
	r.Row("facts are kept", report.Ms(report.Part(kept, 0.5)), report.Ms(report.Part(kept, 0.99)))
	r.Row("facts handed over a second", fmt.Sprintf("%.0f", float64(facts)/keptTicks))
	r.Row("kB of them a second", fmt.Sprintf("%.0f", perS/1000))
	r.Row("kB of the file", bytes/1000)
	times := report.Part(kept, 0.5) / report.Part(plain, 0.5)
	if times > maxStored {
		r.Missed = append(r.Missed, fmt.Sprintf("a step costs %.2f times as much, %.2f is allowed", times, maxStored))
	}
	r.Figure = fmt.Sprintf(
		"a step that keeps facts costs %.2f times one that does not at p50, %.2f at p99",
		times,
		report.Part(kept, 0.99)/report.Part(plain, 0.99),
	)
	return r.Leave(w.Out)
}

// storeLook closes the store and reads it whole.
func storeLook(path string, s *statestore.Store) (string, []statestore.Record, error) {
	if err := s.Close(); err != nil {
		return "", nil, err
	}
	return statestore.Inspect(path)
}
