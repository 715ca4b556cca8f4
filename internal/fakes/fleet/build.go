package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Built builds the full program for a test binary, runs its tests and exits.
func Built(m *testing.M, program *string) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	*program = filepath.Join(dir, "elmfold-full")
	if out, err := exec.Command("go", "build", "-o", *program, "elmfold/cmd/elmfold-full").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Laid lays a rig out for a test, which ends it; what each process said is shown where the test failed.
func Laid(t testing.TB, program string, n, sites int, extra func(p *Process) string) *Rig {
	t.Helper()
	r, err := New(program, t.TempDir(), n, sites, 10, true, extra)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			for _, p := range r.Processes {
				t.Logf("%s:\n%s", p.Name, p.Log())
			}
		}
	})
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	return r
}
