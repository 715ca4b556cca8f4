//go:build review

// Package standin has what the review's cases share: a record, a caller of the control plane, clients, and a relay that
// holds back what a cut holds back. It is built only with the tag "review".
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord creates the file. Times in it count from now.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Now is the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add writes a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Caller calls the control plane as the operator does: over kept connections, with one second for each answer, the next
// controller after a failure or silence, with a pause that grows, for ackS at most. It gives a connection up by closing
// it.
type Caller struct {
	Record   *Record
	Controls []string // one for each controller
	Names    []string // of the controllers, for the record
	client   *http.Client
}

const (
	silence = time.Second     // after which a caller moves to another controller
	ackS    = 5 * time.Second // how long an order may be sent again
)

// NewCaller returns a Caller.
func NewCaller(r *Record, names, controls []string) *Caller {
	return &Caller{Record: r, Controls: controls, Names: names, client: &http.Client{Transport: &http.Transport{}}}
}

// Once sends a call to one controller.
func (c *Caller) Once(at int, query, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), silence)
	defer cancel()
	url := "http://" + c.Controls[at] + "/v1/rpc?call=" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	c.Record.Add("operator  sends %s to %s", query, c.Names[at])
	resp, err := c.client.Do(req)
	if err != nil {
		c.Record.Add("operator  has no answer from %s, gives the connection up", c.Names[at])
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	c.Record.Add("operator  gets %d from %s to %s", resp.StatusCode, c.Names[at], query)
	return resp.StatusCode, string(text), err
}

// Order sends an order, first to one controller, until it is acknowledged. It reports false if it is not within ackS.
func (c *Caller) Order(first int, query, body string) bool {
	end := time.Now().Add(ackS)
	pause := 20 * time.Millisecond
	for at := first; time.Now().Before(end); at = (at + 1) % len(c.Controls) {
		status, _, err := c.Once(at, query, body)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(pause)
		pause *= 2
	}
	return false
}

// Get sends a client's request to a front, on a connection of its own, and returns the status; 0: no answer.
func Get(front, host, path, attempt string, budget time.Duration) int {
	return GetKey(front, host, path, attempt, -1, budget)
}

// GetKey is Get with a shard key, unless it is negative.
func GetKey(front, host, path, attempt string, key int, budget time.Duration) int {
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(budget))
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Time-Budget-Ms: %d\r\n",
		path, host, attempt, budget.Milliseconds())
	if key >= 0 {
		text += fmt.Sprintf("X-Elmfold-Shard-Key: %d\r\n", key)
	}
	text += "\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	var status int
	var proto string
	if _, err := fmt.Fscanf(conn, "%s %d", &proto, &status); err != nil {
		return 0
	}
	return status
}

// Relay passes connections on to a server. While it is cut, it passes nothing in either direction and opens nothing;
// what senders gave to an open connection before or meanwhile, their close included, is kept, as their machine sends it
// again until it arrives, and goes on after the cut.
type Relay struct {
	Addr     string
	server   string
	rtt      time.Duration // from the last bytes to the close behind them: a machine sends the one again, then the other
	listener net.Listener

	mu   sync.Mutex
	open chan struct{} // closed while nothing is cut
}

// NewRelay listens at an address.
func NewRelay(address, server string, rtt time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), server: server, rtt: rtt, listener: l, open: make(chan struct{})}
	close(r.open)
	go r.accept()
	return r, nil
}

// Cut cuts the way.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = make(chan struct{})
}

// Heal ends the cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.open)
}

// Close ends the relay.
func (r *Relay) Close() { _ = r.listener.Close() }

// await waits while the way is cut, and reports whether it was.
func (r *Relay) await() (wasCut bool) {
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	select {
	case <-open:
		return false
	default:
	}
	<-open
	return true
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if r.await() { // its first packet was lost: the caller has given up
				_ = client.Close()
				return
			}
			server, err := net.Dial("tcp4", r.server)
			if err != nil {
				_ = client.Close()
				return
			}
			go r.pass(server, client)
			r.pass(client, server)
			_ = client.Close()
			_ = server.Close()
		}()
	}
}

// pass copies one direction, and the close of the sender behind it.
func (r *Relay) pass(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		wasCut := r.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
			if wasCut {
				time.Sleep(r.rtt)
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.(*net.TCPConn).CloseWrite()
}
