package warmstart

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
)

func processCommand() *cobra.Command {
	var w report.Where
	var program string
	c := &cobra.Command{
		Use:   "restart-real",
		Short: "a real controller is killed and started again, with a store and without: seconds until its tables are right",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playProcess(w, program) },
	}
	w.Flags(c)
	c.Flags().StringVar(&program, "program", "bin/elmfold", "the controller")
	return c
}

const (
	processLearns = 25 * time.Second
	processLooks  = 30 * time.Second
	slowBackend   = "s-3" // of ten; the list does not say so
)

// fleetEnd is what a controller talks to: a collector and a proxy, on loopback.
type fleetEnd struct {
	changed chan map[string]float64
}

// serve plays them until the connections break.
func (f *fleetEnd) serve(addr string) error {
	source, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	proxy, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Fprint(source, "SOURCE locality=a\r\n")
	fmt.Fprint(proxy, "SUBSCRIBE node=0 locality=a w=40 cold=1\r\n")
	go func() {
		for range time.Tick(time.Second) {
			for i := range 10 {
				rtt := 100
				if id := fmt.Sprint("s-", i); id == slowBackend {
					rtt = 700
				}
				if _, err := fmt.Fprintf(
					source,
					"LOAD locality=a endpoint=s-%d total=20 errors=0 rtt=%d interval=1000.0\r\n",
					i,
					rtt,
				); err != nil {
					return
				}
			}
			if _, err := fmt.Fprint(proxy, "RATE node=0 route=lookup total=200 errors=0 interval=1000.0\r\n"); err != nil {
				return
			}
		}
	}()
	go func() {
		weights := map[string]float64{}
		for in := bufio.NewScanner(proxy); in.Scan(); {
			for _, word := range strings.Fields(in.Text()) {
				name, value, _ := strings.Cut(word, "=")
				switch name {
				case "whole":
					weights = map[string]float64{}
				case "lines":
					for _, l := range strings.Split(value, ",") {
						id, weight, _ := strings.Cut(l, ":")
						weights[id], _ = strconv.ParseFloat(weight, 64)
					}
				case "ticket":
					fmt.Fprintf(proxy, "ACK node=0 nonce=%s latency=1.0\r\n", value)
				}
			}
			now := map[string]float64{}
			for id, weight := range weights {
				now[id] = weight
			}
			f.changed <- now
		}
		close(f.changed)
	}()
	return nil
}

// begin starts the controller; it says where it listens.
func begin(program string, env []string) (*exec.Cmd, string, error) {
	c := exec.Command(program)
	c.Env = env
	log, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		return nil, "", err
	}
	in := bufio.NewScanner(log)
	for in.Scan() {
		if _, rest, ok := strings.Cut(in.Text(), `listen="`); ok && strings.Contains(in.Text(), "msg=ready") {
			addr, _, _ := strings.Cut(rest, `"`)
			go func() {
				for in.Scan() {
				}
			}()
			return c, addr, nil
		}
	}
	return nil, "", fmt.Errorf("%s ended before it was ready", program)
}

// playLife lets a controller learn, kills it, and tells how long the next one takes to hold the same weights.
func playLife(program string, stored bool) (before, after float64, right time.Duration, err error) {
	dir, err := os.MkdirTemp("", "restart")
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var members []map[string]any
	for i := range 10 {
		members = append(
			members,
			map[string]any{
				"id":          fmt.Sprint("s-", i),
				"locality":    "a",
				"flavor":      "m",
				"phase":       "SERVING",
				"size":        1,
				"up_since_ms": 0,
			},
		)
	}
	config, _ := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    "127.0.0.1:0",
		"discovery": "127.0.0.1:9",
		"known":     map[string]any{"revision": 1, "complete": true, "members": members},
		"settings": map[string]any{
			"Zones":   []string{"a"},
			"Shapes":  []string{"m"},
			"Classes": []any{map[string]any{"Name": "lookup", "Credit": 1, "Promise": 800000}},
			"Specifics": map[string]any{
				"ProxyCount": 1,
				"ThrottleBy": "rps",
				"LinesPerS":  3000,
				"PendingMax": 6000,
				"Overhead":   6,
			},
		},
	})
	file, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.conf")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return 0, 0, 0, err
	}
	env := append(os.Environ(), "EDGE_CONFIG="+file)
	if stored {
		if err := os.WriteFile(operator, []byte("store\n    file "+filepath.Join(dir, "state")+"\n"), 0o600); err != nil {
			return 0, 0, 0, err
		}
		env = append(env, "EDGE_OPERATOR="+operator)
	}
	live := func(
		span time.Duration,
		until func(map[string]float64) bool,
	) (last map[string]float64, took time.Duration, err error) {
		c, addr, err := begin(program, env)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = c.Process.Kill(); _ = c.Wait() }()
		f := &fleetEnd{changed: make(chan map[string]float64, 100)}
		if err := f.serve(addr); err != nil {
			return nil, 0, err
		}
		began, over := time.Now(), time.After(span)
		for {
			select {
			case last = <-f.changed:
				if until != nil && until(last) {
					return last, time.Since(began), nil
				}
			case <-over:
				return last, span, nil
			}
		}
	}
	held, _, err := live(processLearns, nil)
	if err != nil {
		return 0, 0, 0, err
	}
	now, right, err := live(processLooks, func(is map[string]float64) bool {
		for id, w := range held {
			if math.Abs(is[id]/w-1) > weightTolerance {
				return false
			}
		}
		return true
	})
	return held[slowBackend], now[slowBackend], right, err
}

func playProcess(w report.Where, program string) error {
	r := report.New(
		"restart-real",
		w.Seed,
		"one controller as a process, ten backends of which one is 7 times slower than listed, killed with -9 after 25 s",
		"s until right",
		"its weight before",
		"when right, or after 30 s",
	)
	right := map[bool]float64{}
	for _, stored := range []bool{false, true} {
		before, after, took, err := playLife(program, stored)
		if err != nil {
			return err
		}
		name := map[bool]string{false: "cold", true: "from the store"}[stored]
		right[stored] = took.Seconds()
		r.Row(name, fmt.Sprintf("%.2f", took.Seconds()), fmt.Sprintf("%.2f", before), fmt.Sprintf("%.2f", after))
		if stored && took > 10*time.Second {
			r.Missed = append(r.Missed, fmt.Sprintf("tables are right after %v", took))
		}
	}
	r.Figure = fmt.Sprintf("tables are right %.2f s after kill -9 with the store, %.2f s cold", right[true], right[false])
	return r.Leave(w.Out)
}
