package command

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"elmfold/internal/controller"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/fakes/consul"
	"elmfold/internal/fakes/etcd"
	"elmfold/internal/fakes/kv"
	"elmfold/internal/fakes/link"
)

// TestMain runs elmfold in place of the tests if startProcess has started this binary.
func TestMain(m *testing.M) {
	if os.Getenv("ELMFOLD_SERVE") != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	writeFile(t, path, text)
	return path
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Checks that valid files exit with 0, and that each broken one exits with 2 and one line that starts with its path.
func TestCheck(t *testing.T) {
	broken, _ := filepath.Glob("../operatorfile/testdata/broken/*.conf")
	if len(broken) < 10 {
		t.Fatalf("found %d broken files, want at least 10", len(broken))
	}
	for _, path := range append(broken, "../operatorfile/testdata/good.conf", "../../../deploy/elmfold.conf") {
		var out, errs bytes.Buffer
		code := Run([]string{"check", path}, &out, &errs)
		ok := code == 0 && strings.Contains(out.String(), ": valid; ")
		if strings.Contains(path, "broken") {
			ok = code == 2 && strings.Count(errs.String(), "\n") == 1 && strings.HasPrefix(errs.String(), path+":")
		}
		if !ok {
			t.Errorf("%s: exit %d, %q, %q", path, code, out.String(), errs.String())
		}
	}
}

// Checks that an invalid command line exits with 2 and one line on stderr.
func TestInvalidCommandLines(t *testing.T) {
	t.Setenv("EDGE_OPERATOR", "")
	for _, args := range [][]string{
		{"chekc"},
		{"check"},
		{"registry", "list"},
		{"registry", "list", "--operator", "none.conf"},
		{"registry", "watch", "--operator", "../../../deploy/elmfold.conf"},
		{"--none"},
		{"run", "x"},
	} {
		var out, errs bytes.Buffer
		if code := Run(args, &out, &errs); code != 2 || strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%v: exit %d, %q", args, code, errs.String())
		}
	}
}

// entryJSON returns the value of a registry entry.
func entryJSON(phase string) string {
	return fmt.Sprintf(`{"locality":"a","flavor":"s","phase":%q}`, phase)
}

// Checks that registry list prints the whole list with its revision, and exits with 1 after a timeout.
func TestRegistryList(t *testing.T) {
	store := kv.New(1)
	store.Put("/elmfold/backends/s-1", entryJSON(reconcile.Serving))
	store.Put("/elmfold/backends/s-2", entryJSON(reconcile.Draining))
	store.Put("/elmfold/backends/s-3", "-")
	m, err := etcd.Start(store, nil)
	if err != nil {
		t.Fatal(err)
	}
	file := writeTempFile(t, "op.conf", "registry etcd\n  endpoint "+m.Addr()+"\n")
	var out, errs bytes.Buffer
	if code := Run([]string{"registry", "list", "--operator", file}, &out, &errs); code != 0 ||
		!strings.Contains(out.String(), "revision 3: whole list, 2 backends") ||
		!strings.Contains(out.String(), "s-2  DRAINING  a") ||
		!strings.Contains(errs.String(), "/elmfold/backends/s-3: not a JSON object") {
		t.Errorf("exit %d, %q, %q", code, out.String(), errs.String())
	}
	m.Stop()
	errs.Reset()
	if code := Run([]string{"registry", "list", "--operator", file, "--within", "300ms"}, &out, &errs); code != 1 ||
		!strings.Contains(errs.String(), "lost: ") ||
		!strings.Contains(errs.String(), "no whole list received within 300ms") {
		t.Errorf("exit %d, %q", code, errs.String())
	}
}

// process is a running elmfold process.
type process struct {
	*testing.T
	*exec.Cmd
	output *bufio.Reader // of stdout or stderr
}

// startProcess starts elmfold, and reads its stdout or else its stderr.
func startProcess(t *testing.T, stdout bool, env []string, args ...string) *process {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(append(os.Environ(), "ELMFOLD_SERVE=1"), env...)
	pipe := c.StderrPipe
	if stdout {
		pipe = c.StdoutPipe
	}
	out, err := pipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	return &process{t, c, bufio.NewReader(out)}
}

// awaitReady waits for the log line that reports readiness, and returns the listening address.
func (c *process) awaitReady() string {
	c.Helper()
	_, addr, _ := strings.Cut(awaitLine(c.T, c.output, "msg=ready"), `listen="`)
	addr, _, _ = strings.Cut(addr, `"`)
	return addr
}

// awaitLine reads until a line contains all words, and returns it.
func awaitLine(t *testing.T, in *bufio.Reader, words ...string) string {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		containsAll := true
		for _, w := range words {
			containsAll = containsAll && strings.Contains(line, w)
		}
		if containsAll && line != "" {
			return line
		}
		if err != nil {
			t.Fatalf("no line contains %q: %v", words, err)
		}
	}
}

// Checks that registry watch prints each change with its revision, also after the registry was restored from a backup.
func TestRegistryWatch(t *testing.T) {
	store := kv.New(1)
	store.Put("elm/s-1", entryJSON(reconcile.Serving))
	backup := store.Save()
	m, err := etcd.Start(store, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	file := writeTempFile(t, "op.conf", "registry etcd\n  endpoint "+m.Addr()+"\n  prefix elm\n  spread 10ms\n")
	c := startProcess(t, true, nil, "registry", "watch", "--operator", file)
	awaitLine(t, c.output, "revision 1: whole list, 1 backends")
	store.Put("elm/s-1", entryJSON(reconcile.Draining))
	awaitLine(t, c.output, "revision 2: s-1", "DRAINING")
	store.Put("elm/s-2", entryJSON(reconcile.Serving))
	awaitLine(t, c.output, "revision 3: s-2", "SERVING")
	store.Restore(backup, 2)
	awaitLine(t, c.output, "revision 1: s-2", "DELETED")
}

// awaitShutOut reads orders and updates the set of shut-out backends until it equals want. It returns the last line.
func awaitShutOut(t *testing.T, in *bufio.Reader, shutOut map[string]bool, want ...string) string {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("backends %v are shut out, want %v: %v", shutOut, want, err)
		}
		for _, word := range strings.Fields(line) {
			name, ids, _ := strings.Cut(word, "=")
			for _, id := range strings.Split(ids, ",") {
				switch name {
				case "out":
					shutOut[id] = true
				case "back":
					delete(shutOut, id)
				}
			}
		}
		equal := len(shutOut) == len(want)
		for _, id := range want {
			equal = equal && shutOut[id]
		}
		if equal {
			return line
		}
	}
}

// platformConfig has three serving backends.
const platformConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":64},
 "known":{"revision":1,"complete":true,"members":[
  {"id":"s-1","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0},
  {"id":"s-2","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0},
  {"id":"s-3","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0}]},
 "settings":{"Zones":["a"],"Shapes":["s"],"Classes":[{"Name":"look","Credit":1,"Promise":800000}],` +
	`"Discovery":"automatic",
  "Guarantees":{"Cold":17000000,"StartCapacity":0.2,"TipMultiple":3},
  "Specifics":{"ProxyCount":4,"ThrottleBy":"rps","LinesPerS":3000,"PendingMax":3000,` +
	`"Overhead":6,"SmallestConnTable":500}}}`

// Reloads the operator file to change the source of the list: from etcd to another prefix, to an unreachable Consul,
// and back to the platform's discovery. Guards against a switch before the new source has provided its whole list, and
// against drains that do not reach the proxy.
func TestSourceSwitch(t *testing.T) {
	first, second := kv.New(1), kv.New(2)
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		first.Put("one/"+id, entryJSON(reconcile.Serving))
		first.Put("two/"+id, entryJSON(reconcile.Serving))
		second.Put("three/"+id, entryJSON(reconcile.Serving))
	}
	first.Put("two/s-1", entryJSON(reconcile.Draining))
	etcdServer, err := etcd.Start(first, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer etcdServer.Stop()
	consulServer, err := consul.Start(second, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer consulServer.Stop()
	consulLink, err := link.New(consulServer.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer consulLink.Close()
	consulLink.Refuse(true)

	config := writeTempFile(t, "config.json", platformConfig)
	file := writeTempFile(t, "op.conf", "registry etcd\n  endpoint "+etcdServer.Addr()+"\n  prefix one\n")
	c := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file})
	addr := c.awaitReady()
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(time.Minute))
	in := bufio.NewReader(stream)
	_, _ = io.WriteString(stream, "SUBSCRIBE node=2 locality=a w=5 cold=1\r\n")
	awaitLine(t, in, "whole=1", "s-1:1", "s-2:1", "s-3:1")
	reload := func(text string, words ...string) {
		t.Helper()
		writeFile(t, file, text)
		_ = c.Process.Signal(syscall.SIGHUP)
		awaitLine(t, c.output, words...)
	}
	shutOut := map[string]bool{}
	first.Put("one/s-2", entryJSON(reconcile.Draining))
	awaitShutOut(t, in, shutOut, "s-2")
	reload("registry etcd\n  endpont "+etcdServer.Addr()+"\n", "stays as it was", "op.conf:2", "write endpoint")
	reload("registry etcd\n  endpoint "+etcdServer.Addr()+"\n  prefix two\n",
		"switched to the new source of the backend list")
	awaitShutOut(t, in, shutOut, "s-1") // s-2 is not draining in the new list
	reload("registry consul\n  endpoint "+consulLink.Addr()+"\n  prefix three\n", "registry fails", consulLink.Addr())
	first.Put("two/s-3", entryJSON(reconcile.Draining)) // the old source stays in use while the new one is unreachable
	awaitShutOut(t, in, shutOut, "s-1", "s-3")
	consulLink.Refuse(false)
	awaitLine(t, c.output, "switched to the new source of the backend list")
	awaitShutOut(t, in, shutOut)
	second.Put("three/s-2", entryJSON(reconcile.Draining))
	awaitShutOut(t, in, shutOut, "s-2")
	// Changes of the former sources have no effect.
	first.Put("two/s-1", entryJSON(reconcile.Serving))
	reload("", "configuration reloaded")
	_ = c.Process.Signal(syscall.SIGTERM)
	awaitLine(t, c.output, "stopping")
}

// Checks that a proxy receives the backends of its cell only, and those of both cells during a move. An invalid file is
// refused with its line and leaves the cells unchanged. Without the section, a proxy receives all backends.
func TestCells(t *testing.T) {
	members := ""
	for i := range 12 {
		members += fmt.Sprintf(`,{"id":"s-%02d","locality":"a","flavor":"s","phase":"SERVING","size":1,"up_since_ms":0}`, i)
	}
	config := writeTempFile(
		t,
		"config.json",
		strings.Replace(platformConfig, `"members":[`, `"members":[`+strings.TrimPrefix(members, ",")+",", 1),
	)
	socket := filepath.Join(t.TempDir(), "c")
	text := "cells fixed\n  cell red\n  cell blue\n  settle 1s\n" +
		"tenant acme\n  proxies 2\n  cell red\ncontrol\n  socket " + socket + "\n"
	file := writeTempFile(t, "op.conf", text)
	c := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file})
	addr := c.awaitReady()
	var red, blue []string
	for deadline := time.Now().Add(20 * time.Second); len(red) == 0 && time.Now().Before(deadline); {
		reply, err := sendRequest(socket, controller.Request{Action: controller.ActionShowCells})
		if err == nil && len(reply.Cells.Tenants) > 0 {
			red = reply.Cells.Tenants[0].Backends
		}
	}
	for i := range 12 {
		if id := fmt.Sprintf("s-%02d", i); !slices.Contains(red, id) {
			blue = append(blue, id)
		}
	}
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		if !slices.Contains(red, id) {
			blue = append(blue, id)
		}
	}
	if len(red) == 0 || len(blue) == 0 {
		t.Fatalf("cell red has %v and cell blue %v", red, blue)
	}
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(time.Minute))
	in := bufio.NewReader(stream)
	_, _ = io.WriteString(stream, "SUBSCRIBE node=2 locality=a w=5 cold=1\r\n")
	received := map[string]bool{}
	awaitBackends := func(want []string) {
		t.Helper()
		for {
			equal := len(received) == len(want)
			for _, id := range want {
				equal = equal && received[id]
			}
			if equal {
				return
			}
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatalf("the proxy has %v, want %v: %v", received, want, err)
			}
			if strings.Contains(line, "whole=1") {
				clear(received)
			}
			for _, word := range strings.Fields(line) {
				if lines, ok := strings.CutPrefix(word, "lines="); ok {
					for _, l := range strings.Split(lines, ",") {
						id, weight, _ := strings.Cut(l, ":")
						if received[id] = weight != "0"; weight == "0" {
							delete(received, id)
						}
					}
				}
			}
		}
	}
	awaitBackends(red)
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		code := Run(append(args, "--operator", file), &out, &out)
		return out.String(), code
	}
	if text, code := run("cells", "move", "acme", "green"); code != 0 || !strings.Contains(text, "settled") {
		t.Errorf("move to an unknown cell: exit %d, %s", code, text)
	}
	awaitLine(t, c.output, "no fixed cell green")
	if text, code := run("cells", "show"); code != 0 || !strings.Contains(text, red[0]+"  ") ||
		!strings.Contains(text, "1 of 1") {
		t.Errorf("show: exit %d, %s", code, text)
	}
	if text, code := run("cells", "move", "none", "blue"); code != 1 || !strings.Contains(text, "no tenant none") {
		t.Errorf("move of an unknown tenant: exit %d, %s", code, text)
	}
	if text, code := run("cells", "move", "acme", "blue"); code != 0 || !strings.Contains(text, "red to blue") {
		t.Errorf("move: exit %d, %s", code, text)
	}
	awaitBackends(append(slices.Clone(red), blue...))
	awaitBackends(blue)
	awaitLine(t, c.output, "moved from red to blue")
	reload := func(text string, words ...string) {
		t.Helper()
		writeFile(t, file, text)
		_ = c.Process.Signal(syscall.SIGHUP)
		awaitLine(t, c.output, words...)
	}
	reload(
		strings.Replace(text, "cell blue", "cell blue part 0.001", 1)+"tenant two\n  proxies 3\n  cell blue\n",
		"stays as it was",
		"op.conf:10",
		"larger part",
	)
	reload("control\n  socket "+socket+"\n", "configuration reloaded")
	awaitBackends(append(slices.Clone(red), blue...))
	if text, code := run("cells", "show"); code != 0 || strings.Contains(text, "acme") {
		t.Errorf("show without cells: exit %d, %s", code, text)
	}
}

// Checks that check --against warns of a tenant that overlaps too much with the others, and fails for a tenant without
// backends.
func TestCheckAgainst(t *testing.T) {
	config := writeTempFile(t, "config.json", platformConfig)
	wide := writeTempFile(t, "wide.conf", "cells shuffle\n  size 3\ntenant a\n  proxies 0\ntenant b\n  proxies 1\n")
	var out, errs bytes.Buffer
	if code := Run([]string{"check", "--against", config, wide}, &out, &errs); code != 0 ||
		!strings.Contains(errs.String(), "wide.conf:3: warning: tenant a can affect 100% of the other tenants' capacity") {
		t.Errorf("exit %d, %q, %q", code, out.String(), errs.String())
	}
	errs.Reset()
	lacking := writeTempFile(
		t,
		"lacks.conf",
		"cells fixed\n  cell red part 1000\n  cell blue part 0.001\ntenant a\n  proxies 0\n  cell blue\n",
	)
	code := Run([]string{"check", "--against", config, lacking}, &out, &errs)
	if code != 2 || !strings.Contains(errs.String(), "lacks.conf:4: tenant a: ") {
		t.Errorf("exit %d, %q", code, errs.String())
	}
}
