// Package warmstart plays restarts: the store, kills, what is learnt anew.
package warmstart

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/statestore"
	"elmfold/internal/controller/warmstart"
)

const (
	killCount = 1000
	killKeys  = 400
	killBatch = 40
	killName  = "lab"
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{killsCommand(), storerCommand(), restartCommand(), processCommand()}
}

func killsCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{Use: "store-kills", Short: "a process that writes facts is killed 1,000 times at random moments",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return playKills(w) }}
	w.Flags(c)
	return c
}

// storerCommand writes batches until it is killed, and says after each that it is written.
func storerCommand() *cobra.Command {
	var path string
	var from int
	c := &cobra.Command{Use: "storer", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		s, _, err := statestore.Open(path, killName, 0, report.DiscardLogger())
		if err != nil {
			return err
		}
		if err := s.ResetStartCount(); err != nil { // it is killed on purpose
			return err
		}
		for n := from; ; n += killBatch {
			var batch []statestore.Record
			for i := range killBatch {
				batch = append(
					batch,
					statestore.Record{
						Kind:  warmstart.Usage,
						Key:   strconv.Itoa((n + i) % killKeys),
						Value: float64(n + i),
						At:    int64(n + i),
					},
				)
			}
			s.Put(batch...)
			if err := s.Flush(); err != nil {
				return err
			}
			fmt.Println(n + killBatch)
		}
	}}
	c.Flags().StringVar(&path, "path", "", "of the store")
	c.Flags().IntVar(&from, "from", 0, "number of the first fact")
	return c
}

func playKills(w report.Where) error {
	dir, err := os.MkdirTemp("", "kills")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "state")
	chance := rand.New(rand.NewPCG(w.Seed, 18))
	written, lost, corrupt, half, batches := 0, 0, 0, 0, 0
	began := time.Now()
	for range killCount {
		c := exec.Command(os.Args[0], "storer", "--path", path, "--from", strconv.Itoa(written))
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			return err
		}
		said := make(chan int, 1)
		go func() {
			last := 0
			for in := bufio.NewScanner(out); in.Scan(); {
				if n, err := strconv.Atoi(strings.TrimSpace(in.Text())); err == nil {
					last = n
				}
			}
			said <- last
		}()
		time.Sleep(time.Duration(5+chance.IntN(60)) * time.Millisecond)
		_ = c.Process.Kill()
		last := <-said
		_ = c.Wait()
		_, records, err := statestore.Inspect(path)
		if err != nil {
			if last > 0 || written > 0 || (!errors.Is(err, os.ErrNotExist) && !errors.Is(err, statestore.ErrForeign)) {
				corrupt++
			}
			continue // it was killed before the store was made
		}
		newest := 0
		values := map[int]bool{}
		for _, r := range records {
			newest = max(newest, int(r.Value))
			values[int(r.Value)] = true
		}
		if len(records) == 0 {
			newest = -1
		}
		batches += max(last-written, 0) / killBatch
		if newest+1 < max(last, written) {
			lost++
		}
		// A batch is there whole or not at all: the last 400 facts, without a gap.
		for v := max(0, newest+1-killKeys); v <= newest; v++ {
			if !values[v] {
				half++
				break
			}
		}
		written = newest + 1
	}
	r := report.New(
		"store-kills",
		w.Seed,
		fmt.Sprintf(
			"a process that writes batches of %d facts without a pause, killed %d times after 5 to 65 ms",
			killBatch,
			killCount,
		),
		"elmfold",
	)
	r.Expect("kills after which a fact that was said to be written is lost", lost, 0)
	r.Expect("kills that left half a batch", half, 0)
	r.Expect("kills that left a store which does not open or check", corrupt, 0)
	r.Row("batches written", batches)
	r.Row("facts written", written)
	r.Row("seconds", fmt.Sprintf("%.0f", time.Since(began).Seconds()))
	r.Figure = fmt.Sprintf(
		"seed %d: %d kills, lost %d, half %d, corrupt %d, %d facts written",
		w.Seed,
		killCount,
		lost,
		half,
		corrupt,
		written,
	)
	return r.Leave(w.Out)
}
