//go:build review

// Command standin2 plays the cases 4 to 6 of the review: it starts the gateway's programs with the commands of the
// deploy file on loopback addresses, and the stand-ins around them. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// play plays a case and says whether the rule was broken. An error means that the case could not run.
type play func(programs string, r *record, trouble bool) (broken bool, err error)

// cases are the cases by their folder's name; each adds itself.
var cases = map[string]play{}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAMS FOLDER TROUBLE")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	r, err := newRecord(os.Args[3])
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		os.Exit(2)
	}
	broken, err := run(os.Args[2], r, os.Args[4] != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		r.line("verdict: the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	r.line("verdict: the rule held")
	fmt.Println("held")
}
