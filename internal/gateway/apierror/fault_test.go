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
		r := k.Rule()
		fmt.Fprintf(&b, "%-17s %d", k, r.Status)
		if r.MayHave {
			b.WriteString(", may have run")
		}
		if r.Elsewhere {
			b.WriteString(", elsewhere")
		}
		if r.After > 0 {
			fmt.Fprintf(&b, ", again after %v", r.After)
		}
		b.WriteString("\n")
	}
	autogold.Equal(t, b.String())
}

// These statuses promise that the request has not run and never will.
func TestNoPromiseOfWhatMayHaveRun(t *testing.T) {
	for _, k := range Kinds() {
		if r := k.Rule(); r.Name == "" || r.MayHave && slices.Contains([]int{408, 421, 429, 503}, r.Status) {
			t.Errorf("%d %+v", k, r)
		}
	}
}

func TestError(t *testing.T) {
	for want, f := range map[string]*Fault{
		"late":                            New(Late, "", nil),
		"i-1: late":                       New(Late, "i-1", nil),
		"late: unexpected EOF":            New(Late, "", io.ErrUnexpectedEOF),
		"i-1: broken off: unexpected EOF": New(Broken, "i-1", io.ErrUnexpectedEOF),
	} {
		if f.Error() != want || f.Cause != nil && !errors.Is(f, f.Cause) {
			t.Errorf("%q, not %q", f, want)
		}
	}
}
