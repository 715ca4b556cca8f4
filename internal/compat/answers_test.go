package compat_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
	"elmfold/internal/gateway/routeconfig"
)

// equalsFile compares a transcript with that of d330930.
func equalsFile(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs, got\n%s", file, got)
	}
}

// drawnID matches the values that differ between runs: random IDs of disks and versions, times, and durations.
var drawnID = regexp.MustCompile(`"disk":"[0-9a-f]{16}"|"lo":"[0-9]+"|"hi":9[0-9]{11}|"silentS":[0-9.]+`)

func beat(service, address, state string, seq int) string {
	return fmt.Sprintf(`{"address":%q,"descriptor":{"service":%q,"generation":"g-1","zone":"south","capacity":16},`+
		`"observed":{"state":%q,"callSeq":%d,"coldLeftS":0.5}}`, address, service, state, seq)
}

// The responses to operators and endpoints keep their status, headers and body.
func TestAnswersToCallsStay(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		network := newNet()
		var nodes []*node
		for i, dir := range dirs {
			nodes = append(nodes, startNode(t, network, i, dir))
		}
		ask := func(i int, call, of, body string) {
			w := nodes[i].call(call, of, body)
			fmt.Fprintf(&out, "%s %s at %s  %.60s\n  %d\n", call, of, nodes[i].name, body, w.Code)
			for _, name := range slices.Sorted(maps.Keys(w.Header())) {
				if call == "core.status" && name == "Content-Length" {
					continue // the length of random IDs varies
				}
				fmt.Fprintf(&out, "  %s: %s\n", name, strings.Join(w.Header()[name], ", "))
			}
			text := drawnID.ReplaceAllStringFunc(w.Body.String(), func(s string) string {
				key, _, _ := strings.Cut(s, ":")
				return key + ":DRAWN"
			})
			fmt.Fprintf(&out, "  %s\n", text)
		}
		seven, eight := configuration(t, 7), configuration(t, 8)
		ask(0, "config.replace", "", seven) // no quorum yet
		ask(0, "config.read", "", "")
		time.Sleep(3 * time.Second)
		ask(0, "config.read", "", "")
		ask(0, "config.replace", "", seven)
		ask(1, "config.replace", "", seven)
		ask(1, "config.replace", "", seven+" ")
		ask(1, "config.replace", "", strings.Replace(seven, `"/a/"`, `"a/"`, 1))
		ask(1, "config.replace", "", "{")
		ask(2, "config.replace", "", eight)
		ask(2, "config.replace", "", seven)
		ask(2, "config.read", "", "")
		ask(2, "config.replace", "", strings.Repeat(" ", 8<<20+1))
		ask(0, "evacuation.begin", "north", "")
		ask(0, "evacuation.begin", "nowhere", "")
		time.Sleep(time.Second)
		ask(1, "core.status", "", "")
		ask(0, "evacuation.finish", "north", "")
		ask(0, "instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "ready", 1))
		ask(1, "instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "ready", 2))
		ask(1, "instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "draining", 3))
		ask(1, "instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "odd", 4))
		ask(1, "instances.heartbeat", "b-1", beat("", "10.0.1.1:8080", "ready", 5))
		ask(1, "instances.heartbeat", "", beat("alpha", "10.0.1.1:8080", "ready", 6))
		ask(1, "instances.heartbeat", "b-1", "[")
		ask(1, "instances.heartbeat", "b-1", strings.Repeat(" ", 64<<10+1))
		ask(1, "instances.deregister", "b-1", "")
		ask(1, "instances.deregister", "", "")
		ask(1, "no.such.call", "", "")
		nodes[0].stop()
		nodes[1].stop()
		time.Sleep(3 * time.Second)
		ask(2, "config.replace", "", eight)
		ask(2, "config.read", "", "")
		ask(2, "evacuation.begin", "north", "")
		ask(2, "instances.heartbeat", "b-2", beat("alpha", "10.0.1.2:8080", "ready", 1))
		ask(2, "instances.heartbeat", "b-2", beat("alpha", "10.0.1.2:8080", "draining", 2))
		ask(2, "instances.deregister", "b-2", "")
		nodes[2].stop()
		time.Sleep(10 * time.Second)
		equalsFile(t, "testdata/answers.txt", out.String())
	})
}

// Each key of the settings file is still read. The values are distinct, so that confused keys are detected.
func TestSettingsKeysStay(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := bootconfig.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	var want, got any
	if err := errorsOf(json.Unmarshal(text, &want), json.Unmarshal(again, &got)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the settings were parsed as\n%s", again)
	}
	if bootconfig.EnvVar != "ELMFOLD_CONFIG" {
		t.Errorf("the environment variable is %s", bootconfig.EnvVar)
	}
	for key, pair := range map[string][2]float64{
		"bounds.ackS": {float64(settings.Bounds.Ack), 102}, "bounds.catchUpS": {float64(settings.Bounds.CatchUp), 104},
		"bounds.graceS": {float64(settings.Bounds.Grace), 106}, "bounds.retryRatio": {settings.Bounds.RetryRatio, 0.25},
		"bounds.retryWindowS": {
			float64(settings.Bounds.RetryWindow),
			107,
		}, "bounds.retrySlack": {settings.Bounds.RetrySlack, 108},
		"bounds.coldExcess": {
			settings.Bounds.SlowStartExcess,
			109,
		}, "bounds.coldSlack": {settings.Bounds.SlowStartSlack, 110},
		"beatS": {float64(settings.HeartbeatInterval), 2.5}, "limits.maxFds": {float64(settings.Limits.MaxFDs), 203},
		"limits.memoryMb": {settings.Limits.MemoryMB, 202}, "limits.diskMb": {settings.Limits.DiskMB, 204},
		"faultBudget.machineFaults": {float64(settings.FaultBudget.Machines), 2},
	} {
		if pair[0] != pair[1] {
			t.Errorf("%s: got %v, want %v", key, pair[0], pair[1])
		}
	}
	if settings.Listen["front"] != "10.0.0.100:8548" || settings.Seeds[1] != "10.0.0.11:8544" ||
		settings.DataDir != "/var/lib/elmfold" ||
		settings.OwnPeerAddress() != "10.0.0.100:7540" || settings.PeerAddress("10.0.0.11:8544") != "10.0.0.11:7540" ||
		!settings.Bootstrap {
		t.Errorf("unexpected settings %+v", settings)
	}
}

func errorsOf(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Each key of the configuration document is still read.
func TestConfigurationKeysStay(t *testing.T) {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := routeconfig.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(c.Body, text) || c.Version != 0xabcdef || c.Digest != 0x4e84cfa41d1a23df {
		t.Errorf("version %x, digest %x", c.Version, c.Digest)
	}
	if l := c.Limits; l.HeaderBytes != 101 || l.BodyBytes != 102 || l.HeaderTimeout != 103*time.Second ||
		l.IdleTimeout != 104*time.Second {
		t.Errorf("limits %+v", l)
	}
	if p := c.Services["alpha"]; p.HealthPath != "/alive" || p.MaxConns != 105 || p.SlowStart != 106*time.Second ||
		p.SlowStartRate != 107 {
		t.Errorf("service %+v", p)
	}
	r := c.Route("A.example:80", "/a/x")
	if r == nil || r.Name != "r-1" || !r.Idempotent || r.LatencyTarget != 108*time.Second ||
		r.Timeout != 109*time.Second || r.Priority != 2 ||
		r.MaxAttempts != 4 || len(r.Services) != 2 || r.Services[0].Service != "alpha" ||
		r.Services[0].Weight != 0.25 {
		t.Errorf("route %+v", r)
	}
}

// The commands and flags of both programs stay. Their descriptions may change.
func TestFlagsStay(t *testing.T) {
	var out strings.Builder
	names := regexp.MustCompile(`(?m)^ +(?:-\w, )?--[\w-]+|^  \w+ `)
	for _, args := range [][]string{
		{"--help"},
		{"check", "--help"},
		{"status", "--help"},
		{"run", "--help"},
		{"version", "--help"},
	} {
		var text bytes.Buffer
		code := cli.Program{Name: "program", Description: "about", Out: &text, Err: &text}.Main(args)
		fmt.Fprintf(&out, "%s: %d\n", strings.Join(args, " "), code)
		for _, name := range names.FindAllString(text.String(), -1) {
			fmt.Fprintf(&out, "  %s\n", strings.TrimSpace(name))
		}
		if usage, _, found := strings.Cut(text.String(), "\n\n"); found {
			fmt.Fprintf(&out, "  %s\n", strings.Join(strings.Fields(usage), " "))
		}
	}
	equalsFile(t, "testdata/flags.txt", out.String())
}
