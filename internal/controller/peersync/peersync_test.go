package peersync

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"elmfold/internal/controller/warmstart"
	"elmfold/internal/fakes/link"
)

func testFacts(n int) (all []warmstart.Fact) {
	for i := range n {
		all = append(
			all,
			warmstart.Fact{Kind: warmstart.Usage, Key: fmt.Sprint(i), Value: float64(i), Age: time.Second, Origin: "n2"},
		)
	}
	return all
}

func serve(t *testing.T, n int) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", func() []warmstart.Fact { return testFacts(n) }, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// fetchAll counts how often each fact is offered. A fact with a wrong age or origin counts as "bad".
func fetchAll(sources []string, timeout time.Duration) (counts map[string]int, results []Result) {
	counts = map[string]int{}
	results = Fetch(sources, "n1", "seed", timeout, func(o warmstart.Received) {
		for _, f := range o.Facts {
			if f.Age < time.Second || f.Origin != "n2" {
				counts["bad"]++
			}
			counts[f.Key]++
		}
	})
	return counts, results
}

// A transfer whose connection breaks at any byte is resumed; each fact is offered exactly once.
func TestCase2Resume(t *testing.T) {
	s := serve(t, 3000)
	for at := int64(0); at < 120000; at += 9973 {
		l, err := link.New(s.Addr(), func(n int) link.Script {
			script := link.Calm
			if n == 0 {
				script.Down = link.Disturbance{After: at, Kind: link.Break}
			}
			return script
		})
		if err != nil {
			t.Fatal(err)
		}
		counts, results := fetchAll([]string{l.Addr()}, 20*time.Second)
		if len(counts) != 3000 || results[0].Err != nil || results[0].Facts != 3000 {
			t.Errorf("cut at %d: %d facts, %+v", at, len(counts), results)
		}
		l.Close()
	}
}

// Sources that refuse connections, stall or use another protocol do not prevent a complete transfer from a later
// source.
func TestCase2OtherSources(t *testing.T) {
	healthy := serve(t, 700)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	_ = ln.Close()
	stalled, err := link.New(healthy.Addr(), func(int) link.Script {
		s := link.Calm
		s.Down = link.Disturbance{After: 100, Kind: link.Stall}
		return s
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	httpServer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = httpServer.Close() }()
	go func() {
		for {
			c, err := httpServer.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n")
			_ = c.Close()
		}
	}()
	sources := []string{closed, stalled.Addr(), httpServer.Addr().String(), healthy.Addr()}
	counts, results := fetchAll(sources, 30*time.Second)
	if len(counts) != 700 || results[len(results)-1].Err != nil {
		t.Errorf("%d facts, %+v", len(counts), results)
	}
	for _, a := range results[:len(results)-1] {
		if a.Err == nil || a.Source == healthy.Addr() {
			t.Errorf("%+v", a)
		}
	}
}

// A server refuses another protocol version and excess concurrent transfers.
func TestRefused(t *testing.T) {
	s := serve(t, 10)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var p part
	if err := errors.Join(
		writeFrame(c, request{Version: 9}),
		readFrame(bufio.NewReader(c), &p),
	); err != nil ||
		!strings.Contains(p.Refused, "version 9") {
		t.Errorf("%+v, %v", p, err)
	}
	busy := serve(t, 10)
	busy.mu.Lock()
	busy.transfers = maxTransfers
	busy.mu.Unlock()
	if _, results := fetchAll([]string{busy.Addr()}, 5*time.Second); !errors.Is(results[0].Err, errRefused) {
		t.Errorf("%+v", results)
	}
}

// Reading arbitrary bytes as a frame must not panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("HTTP/1.1 200 OK\r\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var p part
		var r request
		_ = readFrame(bufio.NewReader(bytes.NewReader(text)), &p)
		_ = readFrame(bufio.NewReader(bytes.NewReader(text)), &r)
	})
}
