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

func many(n int) (all []warmstart.Fact) {
	for i := range n {
		all = append(
			all,
			warmstart.Fact{Kind: warmstart.Use, Key: fmt.Sprint(i), Value: float64(i), Age: time.Second, Origin: "n2"},
		)
	}
	return all
}

func serve(t *testing.T, n int) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", func() []warmstart.Fact { return many(n) }, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// gather counts how often each fact was offered, and the least age.
func gather(sources []string, within time.Duration) (times map[string]int, asked []Result) {
	times = map[string]int{}
	asked = Fetch(sources, "n1", "seed", within, func(o warmstart.Offered) {
		for _, f := range o.Facts {
			if f.Age < time.Second || f.Origin != "n2" {
				times["bad"]++
			}
			times[f.Key]++
		}
	})
	return times, asked
}

// Case 2: the source dies in mid-transfer, at bytes all over it: the transfer goes on where it broke off, each fact
// is offered once, and none is left out.
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
		times, asked := gather([]string{l.Addr()}, 20*time.Second)
		if len(times) != 3000 || asked[0].Err != nil || asked[0].Facts != 3000 {
			t.Errorf("cut at %d: %d facts, %+v", at, len(times), asked)
		}
		l.Close()
	}
}

// Case 2: one source is away, one falls silent, one speaks another language: the next one is asked, within the time.
func TestCase2OtherSources(t *testing.T) {
	good := serve(t, 700)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	away := ln.Addr().String()
	_ = ln.Close()
	silent, err := link.New(good.Addr(), func(int) link.Script {
		s := link.Calm
		s.Down = link.Disturbance{After: 100, Kind: link.Stall}
		return s
	})
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	web, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = web.Close() }()
	go func() {
		for {
			c, err := web.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n")
			_ = c.Close()
		}
	}()
	times, asked := gather([]string{away, silent.Addr(), web.Addr().String(), good.Addr()}, 30*time.Second)
	if len(times) != 700 || asked[len(asked)-1].Err != nil {
		t.Errorf("%d facts, %+v", len(times), asked)
	}
	for _, a := range asked[:len(asked)-1] {
		if a.Err == nil || a.Source == good.Addr() {
			t.Errorf("%+v", a)
		}
	}
}

// Another version is refused in words, and so is one transfer too many at once.
func TestRefused(t *testing.T) {
	s := serve(t, 10)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var p part
	if err := errors.Join(
		write(c, hello{Version: 9}),
		read(bufio.NewReader(c), &p),
	); err != nil ||
		!strings.Contains(p.Refused, "version 9") {
		t.Errorf("%+v, %v", p, err)
	}
	full := serve(t, 10)
	full.mu.Lock()
	full.busy = mostAtAll
	full.mu.Unlock()
	if _, asked := gather([]string{full.Addr()}, 5*time.Second); !errors.Is(asked[0].Err, errRefused) {
		t.Errorf("%+v", asked)
	}
}

// Whatever bytes come as a frame, reading ends with a value or an error.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("HTTP/1.1 200 OK\r\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var p part
		var h hello
		_ = read(bufio.NewReader(bytes.NewReader(text)), &p)
		_ = read(bufio.NewReader(bytes.NewReader(text)), &h)
	})
}
