package report

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// ErrMissed is what an experiment ends with that missed a total.
var ErrMissed = errors.New("an expected total is missed")

// Where is what every experiment is told.
type Where struct {
	Seed uint64
	Out  string // folder; "": nothing is kept
}

// Flags adds them to a command.
func (w *Where) Flags(c *cobra.Command) {
	c.Flags().Uint64Var(&w.Seed, "seed", 1, "of the schedule")
	c.Flags().StringVar(&w.Out, "out", "", "folder for the table, JSON and chart; none are kept without it")
}

// ResidentOf is how much memory a process holds, in bytes.
func ResidentOf(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	_, _ = fmt.Sscan(string(raw), &size, &pages)
	return pages * os.Getpagesize()
}

// Ms writes milliseconds.
func Ms(v float64) string { return fmt.Sprintf("%.1f", v) }

// Three writes a part of one.
func Three(v float64) string { return fmt.Sprintf("%.3f", v) }

// DiscardLogger is a log that nobody reads.
func DiscardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
