package entry_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hexops/autogold"

	"elmfold/entry"
	"elmfold/premise"
)

const settings = `{"nodeName":"edge-0","role":"edge","ip":"10.0.0.1","zone":"north","zones":{"north":"land"},` +
	`"portRange":[7540,7555],"listen":{"front":"10.0.0.1:8548"},"seedNodes":["10.0.0.10:8544"]}`

const configuration = `{"generation":"0000000c","sockets":[{"authority":"a.example","ruleset":[{"name":"r-1",` +
	`"predicate":{"pathPrefix":"/a/"},"effect":{"service":"alpha","timeoutS":5}}]}],"pools":[{"name":"alpha"}]}`

// wrapped is where a help text is broken, which depends on the terminal's width.
var wrapped = regexp.MustCompile(`\n {15,}`)

// What a person at a shell, or a script by its exit code, sees. Guards against a file that is wrong passing the check,
// a fault that names neither file nor key, and words on the wrong of the two outputs.
func TestCommandLine(t *testing.T) {
	home, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir()) // file names without their folder, the same on each machine
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
		t.Setenv(premise.Variable, environment)
		var said, errs bytes.Buffer
		run := func(s *premise.Settings, o entry.Options) error {
			fmt.Fprintf(&said, "(runs as %s, verbose %t)\n", s.Name, o.Verbose)
			if s.Role == "broken" {
				return errors.New("it broke")
			}
			return nil
		}
		code := entry.Main("counsel", "The controller.", args, &said, &errs, run)
		line := append([]string{"$", premise.Variable + "=" + environment, "counsel"}, args...)
		fmt.Fprintln(&out, strings.Join(line, " "))
		for line := range strings.Lines(wrapped.ReplaceAllString(said.String(), " ")) {
			out.WriteString(strings.TrimRight("    "+line, " \n") + "\n")
		}
		for line := range strings.Lines(errs.String()) {
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
	t.Chdir(home)
	autogold.Equal(t, out.String())
}
