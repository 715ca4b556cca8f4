package logbuffer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Info lines stay in memory until an error is logged. Then the newest of them are written out, followed by the error.
func TestErrorDumpsBuffer(t *testing.T) {
	var out bytes.Buffer
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	buffer, log := New("e0", &out, func() time.Time { return now }, false)
	for i := range 2000 {
		log.Info("quiet", "n", i)
	}
	if out.Len() > 0 {
		t.Fatalf("info lines were written without an error: %.200s", out.String())
	}
	log.Warn("beware")
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "beware") {
		t.Fatalf("a warning wrote more than its own line: %.200s", got)
	}
	out.Reset()
	log.Error("broken", "why", "reset")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if last := lines[len(lines)-1]; last != "03:04:05.000 [ERROR] e0: broken: why=reset" {
		t.Errorf("last line: %q", last)
	}
	if out.Len() > maxBufferedBytes || out.Len() < maxBufferedBytes*9/10 {
		t.Errorf("%d bytes were written, want nearly %d", out.Len(), maxBufferedBytes)
	}
	for i, line := range lines[:len(lines)-2] {
		if want := fmt.Sprintf("n=%d", 2000-(len(lines)-2)+i); !strings.HasSuffix(line, want) {
			t.Fatalf("line %q, want suffix %s", line, want)
		}
	}
	out.Reset()
	log.Info("after")
	now = now.Add(minDumpInterval + 1)
	buffer.Flush()
	if got := out.String(); got != "03:04:05.000 [INFO]  e0: after\n" {
		t.Errorf("the second dump repeats lines: %q", got)
	}
}
