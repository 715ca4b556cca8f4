package controller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain runs a controller instead of the tests in the processes of startController.
func TestMain(m *testing.M) {
	if os.Getenv("ELMFOLD_SERVE") != "" {
		os.Exit(Run(os.Getenv("EDGE_OPERATOR"), Extensions{}))
	}
	os.Exit(m.Run())
}

const settingsTemplate = `{"name":"n3","listen":"127.0.0.1:0","discovery":"%s",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":64},
 "known":{"revision":1,"complete":true,"members":[
  {"id":"s-1","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0},
  {"id":"s-2","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0}]},
 "settings":{"Zones":["a"],"Shapes":["s"],"Classes":[{"Name":"look","Credit":1,"Promise":800000}],` +
	`"Discovery":"automatic",
  "Guarantees":{"Cold":17000000,"StartCapacity":0.2,"TipMultiple":3},
  "Specifics":{"ProxyCount":4,"ThrottleBy":"rps","LinesPerS":3000,"PendingMax":3000,` +
	`"Overhead":6,"SmallestConnTable":500}}}`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startController runs a controller process. The reader returns its log, which holds the address that it listens on.
func startController(t *testing.T, text string) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "ELMFOLD_SERVE=1", "EDGE_CONFIG="+path)
	out, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	return c, bufio.NewReader(out)
}

func readUntil(t *testing.T, in *bufio.Reader, word string) string {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		if strings.Contains(line, word) {
			return line
		}
		if err != nil {
			t.Fatalf("no %q before %v", word, err)
		}
	}
}

// The controller answers before discovery does, sends a routing table to a proxy that joins, removes a draining backend
// from it, reloads its settings and exits on SIGTERM.
func TestServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var draining atomic.Bool
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			phase := "SERVING"
			if draining.Load() {
				phase = "DRAINING"
			}
			_, _ = fmt.Fprintf(
				ctx,
				`{"revision":2,"complete":false,"members":[{"id":"s-1","locality":"a","phase":"%s","size":1}]}`,
				phase,
			)
		})
	}()
	c, log := startController(t, fmt.Sprintf(settingsTemplate, ln.Addr()))
	_, addr, _ := strings.Cut(readUntil(t, log, "ready"), `listen="`)
	addr, _, _ = strings.Cut(addr, `"`)
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(stream)
	_, _ = io.WriteString(stream, "PING\r\nSUBSCRIBE node=2 locality=a w=5 cold=1\r\n")
	if line := readUntil(t, in, "\r\n"); line != "PONG\r\n" {
		t.Errorf("first answer %q", line)
	}
	table := readUntil(t, in, "whole=1")
	if !strings.Contains(table, "classes=look") || !strings.Contains(table, "s-1:1") || !strings.Contains(table, "s-2:1") {
		t.Errorf("table %q", table)
	}
	ticketLine := readUntil(t, in, "ticket=")
	_, number, _ := strings.Cut(ticketLine, "ticket=")
	_, _ = fmt.Fprintf(stream, "ACK node=2 nonce=%s latency=3.5\r\n", strings.TrimSpace(number))
	draining.Store(true)
	if line := readUntil(t, in, "out="); !strings.Contains(line, "out=s-1") {
		t.Errorf("table after the drain: %q", line)
	}
	_ = stream.Close()
	line := readUntil(t, log, "ended")
	if !strings.Contains(line, "reason=closed") || !strings.Contains(line, `of="proxy 2"`) {
		t.Errorf("log line for the end of the connection: %q", line)
	}
	// Invalid settings change nothing. Valid ones are applied, and SIGTERM still ends the process afterwards.
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "EDGE_CONFIG=")
	reload := func(text, word string) string {
		writeFile(t, path, text)
		_ = c.Process.Signal(syscall.SIGHUP)
		return readUntil(t, log, word)
	}
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requested := make(chan string, 100)
	go func() {
		_ = fasthttp.Serve(moved, func(ctx *fasthttp.RequestCtx) {
			select {
			case requested <- string(ctx.RequestURI()):
			default:
			}
			_, _ = io.WriteString(
				ctx,
				`{"revision":1,"complete":true,"members":[{"id":"s-2","locality":"a","phase":"SERVING","size":1}]}`,
			)
		})
	}()
	valid := fmt.Sprintf(settingsTemplate, moved.Addr())
	if line := reload(valid[:99], "stays"); !strings.Contains(line, "EDGE_CONFIG") {
		t.Errorf("reload of an incomplete file logged %q", line)
	}
	if line := reload(
		strings.Replace(valid, `"sockets":64`, `"sockets":-1`, 1),
		"stays",
	); !strings.Contains(
		line,
		"limits.sockets",
	) {
		t.Errorf("reload of an invalid key logged %q", line)
	}
	if line := reload(
		strings.Replace(valid, `"Promise":800000`, `"Promise":1`, 1),
		"restart",
	); !strings.Contains(
		line,
		"settings",
	) {
		t.Errorf("reload of a key that needs a restart logged %q", line)
	}
	reload(valid, "configuration reloaded")
	if got := <-requested; got != "/registry/instances" {
		t.Errorf("the new discovery address got a request for %s", got)
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	readUntil(t, log, "stopping")
	if err := c.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

func TestInvalidSettingsStopStart(t *testing.T) {
	c, log := startController(t, strings.Replace(settingsTemplate, `"Zones":["a"]`, `"Zones":[]`, 1))
	text, _ := io.ReadAll(log)
	var exit *exec.ExitError
	if err := c.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(text), "\n") != 1 ||
		!strings.Contains(string(text), "settings.Zones: missing") {
		t.Errorf("%v, log %q", err, text)
	}
}
