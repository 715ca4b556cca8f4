// Package logbuffer keeps the most recent log lines in memory and writes them out when an error is logged. This saves
// the cost of writing lines that nobody needs.
package logbuffer

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	maxBufferedBytes = 32 << 10
	minDumpInterval  = 5 * time.Second // minimum time between two dumps of the buffer
	timeFormat       = "15:04:05.000"
)

// Level markers in the lines of hclog.
var (
	errorMarker = []byte("[ERROR]")
	warnMarker  = []byte("[WARN]")
)

// Buffer is the output of a logger. It is safe for concurrent use.
type Buffer struct {
	out     io.Writer
	now     func() time.Time
	verbose bool

	mu       sync.Mutex
	lines    [][]byte // oldest first
	size     int      // total bytes of lines
	dumpedAt time.Time
}

// New returns a logger with the given name and its buffer, which writes to out. If verbose is set, each line is written
// at once and nothing is buffered.
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

// Write buffers one log line. An error line also writes out the whole buffer, unless this happened less than
// minDumpInterval ago. A warning line, or an error line within that interval, is written out alone.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.verbose {
		return b.out.Write(line)
	}
	b.append(line)
	isError := bytes.Contains(line, errorMarker)
	if isError && b.mayDump() {
		b.dump()
	} else if isError || bytes.Contains(line, warnMarker) {
		b.write(line)
	}
	return len(line), nil
}

// Flush writes out the whole buffer.
func (b *Buffer) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dump()
}

// append adds a copy of a line and drops the oldest lines beyond maxBufferedBytes.
func (b *Buffer) append(line []byte) {
	b.lines = append(b.lines, bytes.Clone(line))
	b.size += len(line)
	for b.size > maxBufferedBytes {
		b.size -= len(b.lines[0])
		b.lines = b.lines[1:]
	}
}

func (b *Buffer) mayDump() bool {
	return b.dumpedAt.IsZero() || b.now().Sub(b.dumpedAt) > minDumpInterval
}

func (b *Buffer) dump() {
	b.dumpedAt = b.now()
	for _, line := range b.lines {
		b.write(line)
	}
	b.lines, b.size = nil, 0
}

// write ignores errors of the output, which cannot be reported anywhere else.
func (b *Buffer) write(line []byte) { _, _ = b.out.Write(line) }
