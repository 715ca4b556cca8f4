package cli_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
)

const settings = `{"nodeName":"edge-0","role":"edge","ip":"10.0.0.1","zone":"north","zones":{"north":"land"},` +
	`"portRange":[7540,7555],"listen":{"front":"10.0.0.1:8548"},"seedNodes":["10.0.0.10:8544"]}`

const configuration = `{"generation":"0000000c","sockets":[{"authority":"a.example","ruleset":[{"name":"r-1",` +
	`"predicate":{"pathPrefix":"/a/"},"effect":{"service":"alpha","timeoutS":5}}]}],"pools":[{"name":"alpha"}]}`

const status = `{"epoch":7,"changing":true,"inTouch":false,"votes":false,"leaving":true,` +
	`"missing":["charter","its vote"],` +
	`"me":{"name":"core-3","zone":"north","disk":"0d","inTouch":true,"whole":true},` +
	`"voters":[{"name":"core-0","zone":"north","disk":"0a","inTouch":false,"silentS":3.25,` +
	`"lacks":["charter"],"leaving":true},` +
	`{"name":"core-1","zone":"south","disk":"0b","gone":true,"change":"out"},` +
	`{"name":"core-1","zone":"south","disk":"0c","inTouch":true,"unheard":["zone/north"],"change":"in"}],` +
	`"learners":[{"name":"core-4","zone":"south","disk":"0e","inTouch":true}],` +
	`"registers":[{"name":"charter","hi":12,"lo":"9","chosen":true,"disks":2},` +
	`{"name":"zone/north","hi":946684800000,"lo":"9","chosen":false,"disks":1}],"evacuated":["north","south"]}`

// helpLineBreak matches the line breaks in help texts, which depend on the terminal width.
var helpLineBreak = regexp.MustCompile(`\n {15,}`)

// Checks the output and the exit code of each command. Guards against invalid files that pass the check, errors that
// name neither file nor key, and text on the wrong output stream.
func TestCommandLine(t *testing.T) {
	home, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir()) // so that the output has no absolute paths
	write := func(name, text, from, to string) {
		if !strings.Contains(text, from) {
			t.Fatalf("%s: no %q", name, from)
		}
		if err := os.WriteFile(name, []byte(strings.Replace(text, from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("settings.json", settings, "", "")
	write("several-faults.json", settings, `"10.0.0.1","zone":"north"`, `"10.0.0","zone":"south"`)
	write("wrong-kind.json", settings, "[7540,7555]", `"7540"`)
	write("torn-settings.json", settings, `"]}`, "")
	write("configuration.json", configuration, "", "")
	write("bad-configuration.json", configuration, `"/a/"`, `"a/"`)
	write("torn-configuration.json", configuration, `"}]}`, "")
	write("empty.json", "", "", "")
	var out strings.Builder
	try := func(environment string, args ...string) {
		t.Setenv(bootconfig.EnvVar, environment)
		var stdout, stderr bytes.Buffer
		run := func(s *bootconfig.Settings, o cli.Options) error {
			fmt.Fprintf(&stdout, "(runs as %s, verbose %t)\n", s.Name, o.Verbose)
			if s.Role == "broken" {
				return errors.New("it broke")
			}
			return nil
		}
		program := cli.Program{
			Name:        "elmfold-controlplane",
			Description: "The controller.",
			Out:         &stdout,
			Err:         &stderr,
			Run:         run,
		}
		code := program.Main(args)
		line := append([]string{"$", bootconfig.EnvVar + "=" + environment, "elmfold-controlplane"}, args...)
		fmt.Fprintln(&out, strings.Join(line, " "))
		for line := range strings.Lines(helpLineBreak.ReplaceAllString(stdout.String(), " ")) {
			out.WriteString(strings.TrimRight("    "+line, " \n") + "\n")
		}
		for line := range strings.Lines(stderr.String()) {
			out.WriteString("  ! " + line)
		}
		fmt.Fprintf(&out, "  = %d\n\n", code)
	}
	write("broken.json", settings, `"role":"edge"`, `"role":"broken"`)
	for _, args := range []string{"--help", "check --help", "version", "destroy", "--loud", "check", "check missing.json",
		"version extra"} {
		try("", strings.Fields(args)...)
	}
	for _, name := range []string{"settings", "configuration", "several-faults", "wrong-kind", "torn-settings",
		"bad-configuration", "torn-configuration", "empty"} {
		try("", "check", name+".json")
	}
	for _, environment := range []string{"", "missing.json", "several-faults.json", "settings.json", "broken.json"} {
		try(environment)
	}
	try("settings.json", "run", "--verbose")
	try("settings.json", "-v")
	try("settings.json", "extra")

	// The status command: with a node that responds, with seeds of which only one responds, and with no node at all.
	response, code := status, http.StatusOK
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.String() != "/v1/rpc?call=core.status" {
			t.Errorf("%s %s", r.Method, r.URL)
		}
		w.WriteHeader(code)
		fmt.Fprint(w, response)
	}))
	defer node.Close()
	address := node.Listener.Addr().String()
	write("controller.json", settings, `"front":"10.0.0.1:8548"`, `"control":"`+address+`"`)
	write("seeds.json", settings, `"10.0.0.10:8544"`, `"127.0.0.1:1","`+address+`"`)
	write("nobody.json", settings, `"10.0.0.10:8544"`, `"127.0.0.1:1","127.0.0.1:2"`)
	try("", "status", "--help")
	try("", "status", address)
	try("controller.json", "status")
	try("seeds.json", "status")
	response = "{"
	try("", "status", address)
	response, code = `{"error":"unknown call: core.status"}`, http.StatusNotFound
	try("", "status", address)
	try("", "status", "127.0.0.1:1")
	try("nobody.json", "status")
	try("", "status")
	try("missing.json", "status")
	t.Chdir(home)
	autogold.Equal(t, strings.ReplaceAll(out.String(), address, "ADDRESS"))
}
