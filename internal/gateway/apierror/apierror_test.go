package apierror

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/hexops/autogold"
)

// The whole table. A change of an answer is to be seen here.
func TestTable(t *testing.T) {
	var b strings.Builder
	for _, k := range Kinds() {
		r := k.Policy()
		fmt.Fprintf(&b, "%-17s %d", k, r.Status)
		if r.MayHaveExecuted {
			b.WriteString(", may have run")
		}
		if r.Retryable {
			b.WriteString(", elsewhere")
		}
		if r.RetryAfter > 0 {
			fmt.Fprintf(&b, ", again after %v", r.RetryAfter)
		}
		b.WriteString("\n")
	}
	autogold.Equal(t, b.String())
}

// These statuses promise that the request has not run and never will.
func TestNoPromiseOfWhatMayHaveRun(t *testing.T) {
	for _, k := range Kinds() {
		if r := k.Policy(); r.Name == "" || r.MayHaveExecuted && slices.Contains([]int{408, 421, 429, 503}, r.Status) {
			t.Errorf("%d %+v", k, r)
		}
	}
}

func TestError(t *testing.T) {
	for want, f := range map[string]*Error{
		"late":                            New(ResponseTimeout, "", nil),
		"i-1: late":                       New(ResponseTimeout, "i-1", nil),
		"late: unexpected EOF":            New(ResponseTimeout, "", io.ErrUnexpectedEOF),
		"i-1: broken off: unexpected EOF": New(ConnectionBroken, "i-1", io.ErrUnexpectedEOF),
	} {
		if f.Error() != want || f.Cause != nil && !errors.Is(f, f.Cause) {
			t.Errorf("%q, not %q", f, want)
		}
	}
}
