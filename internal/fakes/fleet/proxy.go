package fleet

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Proxy is a stand-in for a proxy and its collector at one controller, by the platform's protocol.
type Proxy struct {
	node           int
	zone           string
	source, stream net.Conn

	mu      sync.Mutex
	weights map[string]float64
	level   float64
}

// Dial joins a controller.
func Dial(addr string, node int, zone string) (*Proxy, error) {
	p := &Proxy{node: node, zone: zone, weights: map[string]float64{}}
	var err error
	if p.source, err = net.Dial("tcp", addr); err != nil {
		return nil, err
	}
	if p.stream, err = net.Dial("tcp", addr); err != nil {
		_ = p.source.Close()
		return nil, err
	}
	fmt.Fprintf(p.source, "SOURCE locality=%s\r\n", zone)
	fmt.Fprintf(p.stream, "SUBSCRIBE node=%d locality=%s w=40 cold=1\r\n", node, zone)
	go p.readOrders()
	return p, nil
}

// Close leaves.
func (p *Proxy) Close() { _, _ = p.source.Close(), p.stream.Close() }

func (p *Proxy) readOrders() {
	for in := bufio.NewScanner(p.stream); in.Scan(); {
		p.mu.Lock()
		for _, word := range strings.Fields(in.Text()) {
			switch name, value, _ := strings.Cut(word, "="); name {
			case "whole":
				clear(p.weights)
			case "lines":
				for _, l := range strings.Split(value, ",") {
					id, weight, _ := strings.Cut(l, ":")
					p.weights[id], _ = strconv.ParseFloat(weight, 64)
				}
			case "level":
				p.level, _ = strconv.ParseFloat(value, 64)
			case "ticket":
				fmt.Fprintf(p.stream, "ACK node=%d nonce=%s latency=1.0\r\n", p.node, value)
			}
		}
		p.mu.Unlock()
	}
}

// Weights are the lines that it holds, and the level; 0 before there is one.
func (p *Proxy) Weights() (lines map[string]float64, level float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.weights), p.level
}

// Met says what it met at a backend in a second, and Came what came to it.
func (p *Proxy) Met(id string, tries, voided int, took float64) {
	fmt.Fprintf(
		p.source,
		"LOAD locality=%s endpoint=%s total=%d errors=%d rtt=%.1f interval=1000.0\r\n",
		p.zone,
		id,
		tries,
		voided,
		took,
	)
}

// Came says how many txns came in a second.
func (p *Proxy) Came(txns, voided int) {
	fmt.Fprintf(p.stream, "RATE node=%d route=lookup total=%d errors=%d interval=1000.0\r\n", p.node, txns, voided)
}

// Part is a backend's weight over the mean of all; 1 before there are any.
func (p *Proxy) Part(id string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, w := range p.weights {
		sum += w
	}
	if sum == 0 {
		return 1
	}
	return p.weights[id] / (sum / float64(len(p.weights)))
}

// Report says each second what it met at each backend, tries of so many ms, until something is seen.
func (p *Proxy) Report(tries int, took map[string]float64, until func() bool) error {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for over := time.Now().Add(Patience); time.Now().Before(over); <-every.C {
		if until() {
			return nil
		}
		for _, id := range slices.Sorted(maps.Keys(took)) {
			if _, err := fmt.Fprintf(
				p.source,
				"LOAD locality=%s endpoint=%s total=%d errors=0 rtt=%.1f interval=1000.0\r\n",
				p.zone,
				id,
				tries,
				took[id],
			); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(
			p.stream,
			"RATE node=%d route=lookup total=%d errors=0 interval=1000.0\r\n",
			p.node,
			tries*len(took),
		); err != nil {
			return err
		}
	}
	return fmt.Errorf("proxy %d did not see it in %v", p.node, Patience)
}
