package command

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Checks that plugin check reports a broken plug-in in one line, and that plugin try prints which proposals of recorded
// moments would be applied or refused.
func TestPlugin(t *testing.T) {
	path := filepath.Join(t.TempDir(), "quirk.wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "elmfold/pluginsdk/examples/quirk")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := Run(append([]string{"plugin"}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	if code, out, errs := run("check", path); code != 0 || !strings.Contains(out, "valid; interface version 1") {
		t.Errorf("check: exit %d: %q %q", code, out, errs)
	}
	broken := writeTempFile(t, "broken.wasm", "no module")
	if code, _, errs := run("check", broken); code != 2 || strings.Count(errs, "\n") != 1 ||
		!strings.Contains(errs, "invalid WebAssembly module") {
		t.Errorf("check of a broken plug-in: exit %d: %q", code, errs)
	}
	backends := `{"ID":"s-1","Zone":"a","Kind":"old","Weight":1},` +
		`{"ID":"s-2","Zone":"a","Kind":"m","Weight":1},{"ID":"s-3","Zone":"a","Kind":"m","Weight":1}`
	tenants := `"Tenants":[{"Name":"acme","Rates":[5],"Proxies":1,"Zones":["a"]},` +
		`{"Name":"beta","Rates":[5],"Proxies":3,"Zones":["a"]}]`
	moments := writeTempFile(t, "moments", `{"Now":1000,"Revision":4,"Backends":[`+backends+`],`+tenants+`}
{"Now":2000,"Revision":5,"Backends":[{"ID":"s-1","Zone":"a","Kind":"old","Weight":1}],`+tenants+"}\n")
	code, out, errs := run("try", path, "--moments", moments)
	for _, want := range []string{
		":1: 1 proposals",
		"acme: allowed backends [s-2 s-3], at most 0 transactions/s",
		":2: 1 proposals",
		"refused 1 proposals: a product would have no eligible backend",
		"acme: allowed backends [all]",
	} {
		if code != 0 || !strings.Contains(out, want) {
			t.Fatalf("try: exit %d, lacks %q: %s %s", code, want, out, errs)
		}
	}
	invalid := writeTempFile(t, "invalid", "{}\n{\"Unknown\":1}\n")
	if code, _, errs := run("try", path, "--moments", invalid); code != 2 || !strings.Contains(errs, ":2: ") {
		t.Errorf("try with an invalid line: exit %d: %q", code, errs)
	}
}
