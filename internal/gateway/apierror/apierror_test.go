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

// Guards against unintended changes of the response to any kind of error.
func TestTable(t *testing.T) {
	var b strings.Builder
	for _, k := range Kinds() {
		policy := k.Policy()
		fmt.Fprintf(&b, "%-17s %d", k, policy.Status)
		if policy.MayHaveExecuted {
			b.WriteString(", may have run")
		}
		if policy.Retryable {
			b.WriteString(", elsewhere")
		}
		if policy.RetryAfter > 0 {
			fmt.Fprintf(&b, ", again after %v", policy.RetryAfter)
		}
		b.WriteString("\n")
	}
	autogold.Equal(t, b.String())
}

// The statuses 408, 421, 429 and 503 promise that the request was not executed and never will be.
func TestStatusesOfUnexecutedRequests(t *testing.T) {
	unexecuted := []int{408, 421, 429, 503}
	for _, k := range Kinds() {
		policy := k.Policy()
		if policy.Name == "" || policy.MayHaveExecuted && slices.Contains(unexecuted, policy.Status) {
			t.Errorf("kind %d has the policy %+v", k, policy)
		}
	}
}

func TestError(t *testing.T) {
	for want, err := range map[string]*Error{
		"late":                            New(ResponseTimeout, "", nil),
		"i-1: late":                       New(ResponseTimeout, "i-1", nil),
		"late: unexpected EOF":            New(ResponseTimeout, "", io.ErrUnexpectedEOF),
		"i-1: broken off: unexpected EOF": New(ConnectionBroken, "i-1", io.ErrUnexpectedEOF),
	} {
		if err.Error() != want || err.Cause != nil && !errors.Is(err, err.Cause) {
			t.Errorf("got %q, want %q", err, want)
		}
	}
}
