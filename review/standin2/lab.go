//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"elmfold/internal/fakes/gateway"
)

type object = map[string]any

// run is one run of a request at a backend.
type run struct {
	backend string
	at      time.Time
}

// runs collects what backends ran, by attempt id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(id string, x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// firstPart is what a backend that reads on reads of a body before it works.
const firstPart = 16 << 10

// backend is a sound server. A client says in X-Do how long the work on its request lasts (work, reads-on; in ms) and
// how long the answer is (size).
type backend struct {
	id, service, zone, address string
	runs                       *runs
	record                     *record
	slots                      int32
	window                     int // bytes of the receive buffer; 0: the system's
	running                    atomic.Int32
	silent                     atomic.Bool   // sends no more beats
	seq                        atomic.Uint64 // callSeq
	listener                   net.Listener
	done                       chan struct{}
}

func startBackend(b *backend, controls []string) error {
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if b.window > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.window)
			}
		})
	}}
	l, err := listen.Listen(context.Background(), "tcp4", b.address)
	if err != nil {
		return err
	}
	b.listener, b.done = l, make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	go b.beat(controls)
	return nil
}

func (b *backend) stop() {
	close(b.done)
	_ = b.listener.Close()
}

// calls is the client of the backends' calls; a call is given up after a second.
var calls = &http.Client{Timeout: time.Second}

func post(control, call, of, body string) (status int, err error) {
	resp, err := calls.Post("http://"+control+"/v1/rpc?call="+call+"&of="+of, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// nextBeat is the body of the next beat.
func (b *backend) nextBeat() string {
	return fmt.Sprintf(`{"address":%q,"descriptor":{"service":%q,"generation":"v1","zone":%q,"capacity":%d},`+
		`"observed":{"state":"ready","callSeq":%d,"coldLeftS":0}}`, b.address, b.service, b.zone, b.slots, b.seq.Add(1))
}

func (b *backend) beat(controls []string) {
	for at := 0; ; {
		pause := 1500 * time.Millisecond
		if !b.silent.Load() {
			if status, err := post(controls[at%len(controls)], "instances.heartbeat", b.id, b.nextBeat()); err != nil || status/100 != 2 {
				at++
				pause = 200 * time.Millisecond
			}
		}
		select {
		case <-b.done:
			return
		case <-time.After(pause):
		}
	}
}

func do(h http.Header) map[string]string {
	out := map[string]string{}
	for _, part := range strings.Split(h.Get("X-Do"), ";") {
		k, v, _ := strings.Cut(part, "=")
		out[k] = v
	}
	return out
}

func number(s string) int { n, _ := strconv.Atoi(s); return n }

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil || !b.answer(c, r) {
			return
		}
	}
}

// turnAway answers that a request was not run, and says whether the connection is kept.
func turnAway(c net.Conn, r *http.Request, status int) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Not run\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Not-Executed: 1\r\n"+
		"Content-Length: 0\r\n\r\n", status, r.Header.Get("X-Elmfold-Attempt-Id"))
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// answer runs a request and says whether the connection is kept.
func (b *backend) answer(c net.Conn, r *http.Request) bool {
	id, opts := r.Header.Get("X-Elmfold-Attempt-Id"), do(r.Header)
	n := b.running.Add(1)
	defer b.running.Add(-1)
	switch {
	case r.Header.Get("X-Elmfold-Target-Instance") != b.id:
		return turnAway(c, r, http.StatusMisdirectedRequest)
	case n > b.slots:
		return turnAway(c, r, http.StatusServiceUnavailable)
	}
	b.runs.add(id, run{backend: b.id, at: time.Now()})
	b.record.line("%s in zone %s begins to run %s %s, id %s", b.id, b.zone, r.Method, r.RequestURI, id)
	if work := opts["reads-on"]; work != "" { // it works on the first part of the body, then reads on
		_, _ = io.CopyN(io.Discard, r.Body, firstPart)
		time.Sleep(time.Duration(number(work)) * time.Millisecond)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.record.line("%s: the body of %s broke off: %v", b.id, id, err)
		return false
	}
	time.Sleep(time.Duration(number(opts["work"])) * time.Millisecond)
	payload := pattern(id, number(opts["size"]))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Server-Seal: s.%s\r\n"+
		"X-Elmfold-Server-Load: %d,0,%d\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s",
		id, b.id, b.running.Load(), b.slots, len(payload), payload)
	return err == nil
}

// pattern is a body that belongs to an id.
func pattern(id string, n int) []byte {
	return bytes.Repeat([]byte(id+" "), n/(len(id)+1)+1)[:n]
}

func config(version uint32, rules, pools []any) []byte {
	text, err := json.Marshal(object{
		"generation": fmt.Sprintf("%08x", version),
		"limits":     object{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"sockets":    []any{object{"authority": "jobs.example", "ruleset": rules}},
		"pools":      pools,
	})
	if err != nil {
		panic(err)
	}
	return text
}

func rule(prefix, kind, service string, timeoutS float64) any {
	return object{"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "routeKind": kind, "targetS": 1, "priority": 1,
		"predicate": object{"pathPrefix": prefix},
		"effect":    object{"service": service, "timeoutS": timeoutS, "maxTries": 2}}
}

func pool(name string) any {
	return object{"name": name, "healthPath": "/health", "maxConns": 120, "protocol": "h1",
		"tlsMode": false, "coldS": 3.0, "coldRateS": 4.1}
}

// lab is a running gateway with backends.
type lab struct {
	*gateway.Deployment
	backends []*backend
	runs     *runs
	dir      string
}

func startLab(programs string, r *record, text []byte, services map[string]int, slots, window int) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d, err := gateway.Start(gateway.Plan{Programs: programs, Dir: dir, Controllers: 3, Carrier: 2,
		Zones: []string{"a", "b", "c"}, Faults: 1, Beat: 1.5, MetricsPort: 9464})
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	l := &lab{Deployment: d, runs: &runs{byID: map[string][]run{}}, dir: dir}
	host := 0
	for service, count := range services {
		for i := range count {
			host++
			b := &backend{id: fmt.Sprintf("i-%s%d", service, i), service: service, zone: string(rune('a' + i%3)),
				address: fmt.Sprintf("%s.2.%d:8080", d.Net, host), runs: l.runs, record: r, slots: int32(slots), window: window}
			if err := startBackend(b, d.Controls()); err != nil {
				l.stop()
				return nil, err
			}
			l.backends = append(l.backends, b)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := (&gateway.Operator{Controls: d.Controls()}).Replace(ctx, text); err != nil {
		l.stop()
		return nil, err
	}
	if err := d.Ready(ctx); err != nil {
		l.stop()
		return nil, err
	}
	time.Sleep(4 * time.Second)
	return l, nil
}

func (l *lab) stop() {
	for _, b := range l.backends {
		b.stop()
	}
	l.Deployment.Stop()
	_ = os.RemoveAll(l.dir)
}
