// Package logbuffer keeps the last log lines in a ring in memory and writes them out when something goes wrong, and
// little else: writing costs processor time, and a quiet night should leave a quiet log.
package logbuffer

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	ringBytes = 32 << 10
	again     = 5 * time.Second // between two times that the ring is written out
)

// Ring is where hclog writes to.
type Ring struct {
	mu      sync.Mutex
	out     io.Writer
	lines   [][]byte
	size    int
	wroteAt time.Time
	now     func() time.Time
	verbose bool
}

// New makes a ring that is written out to out, and a logger of the name that fills it. Verbose: each line is written
// as it comes, and nothing is kept.
func New(name string, out io.Writer, now func() time.Time, verbose bool) (*Ring, hclog.Logger) {
	r := &Ring{out: out, now: now, verbose: verbose}
	return r, hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Debug, Output: r, TimeFn: now,
		TimeFormat: "15:04:05.000"})
}

// Write takes a line. One at the level of error writes the ring out, itself the last; one at the level of warning
// is written by itself.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verbose {
		return r.out.Write(line)
	}
	r.lines, r.size = append(r.lines, bytes.Clone(line)), r.size+len(line)
	for r.size > ringBytes {
		r.size -= len(r.lines[0])
		r.lines = r.lines[1:]
	}
	switch {
	case bytes.Contains(line, []byte("[ERROR]")):
		if !r.flush(false) {
			_, _ = r.out.Write(line)
		}
	case bytes.Contains(line, []byte("[WARN]")):
		_, _ = r.out.Write(line)
	}
	return len(line), nil
}

// Flush writes all that the ring holds.
func (r *Ring) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush(true)
}

func (r *Ring) flush(must bool) bool {
	now := r.now()
	if !must && now.Sub(r.wroteAt) <= again && !r.wroteAt.IsZero() {
		return false
	}
	r.wroteAt = now
	for _, l := range r.lines {
		_, _ = r.out.Write(l)
	}
	r.lines, r.size = nil, 0
	return true
}
