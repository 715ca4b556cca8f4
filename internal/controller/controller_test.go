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

// The test's own binary is the controller when it is told so.
func TestMain(m *testing.M) {
	if os.Getenv("ELMFOLD_SERVE") != "" {
		os.Exit(Run(os.Getenv("EDGE_OPERATOR"), Extensions{}))
	}
	os.Exit(m.Run())
}

const settings = `{"name":"n3","listen":"127.0.0.1:0","discovery":"%s",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":64},
 "known":{"revision":1,"complete":true,"members":[
  {"id":"s-1","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0},
  {"id":"s-2","locality":"a","flavor":"s","phase":"SERVING","size":1.0,"up_since_ms":0}]},
 "settings":{"Zones":["a"],"Shapes":["s"],"Classes":[{"Name":"look","Credit":1,"Promise":800000}],` +
	`"Discovery":"automatic",
  "Guarantees":{"Cold":17000000,"StartCapacity":0.2,"TipMultiple":3},
  "Specifics":{"ProxyCount":4,"ThrottleBy":"rps","LinesPerS":3000,"PendingMax":3000,` +
	`"Overhead":6,"SmallestConnTable":500}}}`

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start runs a controller; the address it listens on stands in its log.
func start(t *testing.T, text string) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, text)
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

func find(t *testing.T, in *bufio.Reader, word string) string {
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

// From a report on a socket to an order on another: the controller answers before discovery does, lays a
// table for a proxy that joins, shuts out what drains, and ends at once when it is told to.
func TestServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var drains atomic.Bool
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			phase := "SERVING"
			if drains.Load() {
				phase = "DRAINING"
			}
			_, _ = fmt.Fprintf(
				ctx,
				`{"revision":2,"complete":false,"members":[{"id":"s-1","locality":"a","phase":"%s","size":1}]}`,
				phase,
			)
		})
	}()
	c, log := start(t, fmt.Sprintf(settings, ln.Addr()))
	_, addr, _ := strings.Cut(find(t, log, "ready"), `listen="`)
	addr, _, _ = strings.Cut(addr, `"`)
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(stream)
	_, _ = io.WriteString(stream, "PING\r\nSUBSCRIBE node=2 locality=a w=5 cold=1\r\n")
	if line := find(t, in, "\r\n"); line != "PONG\r\n" {
		t.Errorf("first answer %q", line)
	}
	table := find(t, in, "whole=1")
	if !strings.Contains(table, "classes=look") || !strings.Contains(table, "s-1:1") || !strings.Contains(table, "s-2:1") {
		t.Errorf("table %q", table)
	}
	mark := find(t, in, "ticket=")
	_, number, _ := strings.Cut(mark, "ticket=")
	_, _ = fmt.Fprintf(stream, "ACK node=2 nonce=%s latency=3.5\r\n", strings.TrimSpace(number))
	drains.Store(true)
	if line := find(t, in, "out="); !strings.Contains(line, "out=s-1") {
		t.Errorf("a drain gave %q", line)
	}
	_ = stream.Close()
	if line := find(t, log, "ended"); !strings.Contains(line, "reason=closed") || !strings.Contains(line, `of="proxy 2"`) {
		t.Errorf("the end left %q", line)
	}
	// A file that is broken changes nothing; one that is whole is taken over while proxies stay, however often,
	// and the signal to end still ends it.
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "EDGE_CONFIG=")
	again := func(text, word string) string {
		write(t, path, text)
		_ = c.Process.Signal(syscall.SIGHUP)
		return find(t, log, word)
	}
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 100)
	go func() {
		_ = fasthttp.Serve(moved, func(ctx *fasthttp.RequestCtx) {
			select {
			case asked <- string(ctx.RequestURI()):
			default:
			}
			_, _ = io.WriteString(
				ctx,
				`{"revision":1,"complete":true,"members":[{"id":"s-2","locality":"a","phase":"SERVING","size":1}]}`,
			)
		})
	}()
	whole := fmt.Sprintf(settings, moved.Addr())
	if line := again(whole[:99], "stays"); !strings.Contains(line, "EDGE_CONFIG") {
		t.Errorf("half a file left %q", line)
	}
	if line := again(
		strings.Replace(whole, `"sockets":64`, `"sockets":-1`, 1),
		"stays",
	); !strings.Contains(
		line,
		"limits.sockets",
	) {
		t.Errorf("a faulty key left %q", line)
	}
	if line := again(
		strings.Replace(whole, `"Promise":800000`, `"Promise":1`, 1),
		"restart",
	); !strings.Contains(
		line,
		"settings",
	) {
		t.Errorf("a key that waits left %q", line)
	}
	again(whole, "taken over")
	if got := <-asked; got != "/registry/instances" {
		t.Errorf("the new address was asked for %s", got)
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	find(t, log, "stopping")
	if err := c.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

func TestFaultyStart(t *testing.T) {
	c, log := start(t, strings.Replace(settings, `"Zones":["a"]`, `"Zones":[]`, 1))
	text, _ := io.ReadAll(log)
	var exit *exec.ExitError
	if err := c.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(text), "\n") != 1 ||
		!strings.Contains(string(text), "settings.Zones: missing") {
		t.Errorf("%v, log %q", err, text)
	}
}
