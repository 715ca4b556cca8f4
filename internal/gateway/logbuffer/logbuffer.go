// Package logbuffer keeps the latest log lines in memory and writes them out when something goes wrong, and little
// else: writing costs processor time, and a quiet night should leave a quiet log.
package logbuffer

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	maxBufferedBytes = 32 << 10        // the oldest lines beyond it are dropped
	minDumpInterval  = 5 * time.Second // between two times that the buffer is written out
	timeFormat       = "15:04:05.000"
)

// Markers of a level in the lines that hclog writes.
var (
	errorMarker = []byte("[ERROR]")
	warnMarker  = []byte("[WARN]")
)

// Buffer is the writer behind a logger. It is safe for concurrent use.
type Buffer struct {
	out     io.Writer
	now     func() time.Time
	verbose bool

	mu       sync.Mutex
	entries  [][]byte // the oldest first
	size     int      // bytes of entries
	dumpedAt time.Time
}

// New makes a logger of the name and the buffer that it fills, which is written out to out. With verbose each line is
// written as it comes, and nothing is buffered.
func New(name string, out io.Writer, now func() time.Time, verbose bool) (*Buffer, hclog.Logger) {
	b := &Buffer{out: out, now: now, verbose: verbose}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.Debug,
		Output:     b,
		TimeFn:     now,
		TimeFormat: timeFormat,
	})
	return b, log
}

// Write takes one line. A line at the level of error writes the buffer out, with itself the last; one at the level of
// warning is written by itself.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.verbose {
		return b.out.Write(line)
	}
	b.keep(line)
	isError := bytes.Contains(line, errorMarker)
	if isError && b.mayDump() {
		b.dump()
	} else if isError || bytes.Contains(line, warnMarker) {
		b.print(line)
	}
	return len(line), nil
}

// Flush writes all that is buffered.
func (b *Buffer) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dump()
}

func (b *Buffer) keep(line []byte) {
	b.entries = append(b.entries, bytes.Clone(line))
	b.size += len(line)
	for b.size > maxBufferedBytes {
		b.size -= len(b.entries[0])
		b.entries = b.entries[1:]
	}
}

func (b *Buffer) mayDump() bool {
	return b.dumpedAt.IsZero() || b.now().Sub(b.dumpedAt) > minDumpInterval
}

func (b *Buffer) dump() {
	b.dumpedAt = b.now()
	for _, line := range b.entries {
		b.print(line)
	}
	b.entries, b.size = nil, 0
}

// print drops an error of the output: there is nowhere else to report it.
func (b *Buffer) print(line []byte) { _, _ = b.out.Write(line) }
