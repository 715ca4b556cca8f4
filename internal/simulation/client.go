package simulation

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Flow is one kind of requests.
type Flow struct {
	Name     string
	Method   string
	Host     string
	Prefix   string
	Service  string
	Safe     bool
	Rate     float64 // requests a second, of all clients
	Deadline time.Duration
	Timeout  time.Duration // the route's
	Body     int           // bytes
	Tries    int           // that a client makes at most; 0: 4
	Probe    bool          // it shows which configuration is in force, and need not be served
	// Departing is the part of the requests whose client leaves before the answer. They are none of Ledger.Requests.
	Departing float64
	Keyed     bool   // its requests bear a key
	key       uint16 // of one request
}

// body is the body of its requests.
func (f *Flow) body() []byte { return []byte(strings.Repeat("b", f.Body)) }

// Clients are those of one zone.
type clients struct {
	w    *World
	zone string
	host *Host
	mu   sync.Mutex
	idle map[string][]*link // by carrier's address
}

// link is a client's connection.
type link struct {
	*end
	in          *bufio.Reader
	incarnation int
	idleUntil   time.Time
}

// Clients makes the clients of a zone.
func (w *World) clients(zone string, n int) *clients {
	return &clients{w: w, zone: zone, host: w.Net.Host(fmt.Sprintf("10.%d.2.1", n)), idle: map[string][]*link{}}
}

// Load lets clients of all zones send the flows for a span.
func (w *World) Load(span time.Duration, flows ...Flow) {
	stop := make(chan struct{})
	time.AfterFunc(span, func() { close(stop) })
	w.LoadUntil(stop, flows...)
}

// LoadUntil is Load until stop is closed.
func (w *World) LoadUntil(stop <-chan struct{}, flows ...Flow) {
	var wait sync.WaitGroup
	load := w.loads.Add(1) << 8 // no two draw the same ids
	for z, zone := range w.shape.Zones {
		c := w.clients(zone, z)
		for i, f := range flows {
			r := w.Rand("flow "+f.Name+zone, load+uint64(i))
			wait.Go(func() {
				for {
					t := time.NewTimer(time.Duration(r.ExpFloat64() / f.Rate * float64(len(w.shape.Zones)) * float64(time.Second)))
					select {
					case <-stop:
						t.Stop()
						return
					case <-t.C:
					}
					own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
					w.busy.Go(func() { c.request(f, own) })
				}
			})
		}
	}
	wait.Wait()
}

// Ask sends one request of a flow from a zone and returns its last try.
func (w *World) Ask(zone string, f Flow, n uint64) *Attempt {
	z := 0
	for i := range w.shape.Zones {
		if w.shape.Zones[i] == zone {
			z = i
		}
	}
	return w.clients(zone, z).request(f, w.Rand("ask", n))
}

// request is one of a client, with its further tries.
func (c *clients) request(f Flow, r *rand.Rand) (last *Attempt) {
	w := c.w
	began := time.Now()
	deadline := began.Add(f.Deadline)
	hash, keep, path := r.Uint64(), r.IntN(3) > 0, f.Prefix+strconv.FormatUint(r.Uint64(), 36)
	if f.Method == "" {
		f.Method = http.MethodGet
	}
	if f.Tries == 0 {
		f.Tries = 4
	}
	if f.Keyed { // load across keys is uneven, and the busy ones are close together
		f.key = uint16(maxKey * r.Float64() * r.Float64())
	}
	if f.Body > 0 && r.IntN(20) == 0 {
		f.Body = 200 << 10 // more than a carrier holds
	}
	if f.departing(r) {
		c.depart(f, path, r)
		return nil
	}
	body := f.body()
	served := false
	if !f.Probe {
		at := w.Now()
		defer func() {
			w.Ledger.do(func() { w.Ledger.Requests = append(w.Ledger.Requests, Request{f.Name, at, w.Now(), served}) })
		}()
	}
	for n := range f.Tries {
		left := time.Until(deadline)
		if left < 20*time.Millisecond {
			return last
		}
		carriers := w.proxiesFor(c.zone, hash)
		if len(carriers) == 0 {
			time.Sleep(min(left, 200*time.Millisecond))
			continue
		}
		m := carriers[n%len(carriers)]
		t, after, refused := c.try(f, m, path, body, deadline, keep && n == 0, r)
		if last = t; t == nil { // no connection came up
			time.Sleep(min(left, time.Duration(20+r.IntN(100))*time.Millisecond))
			continue
		}
		switch {
		case t.Complete && t.Status/100 == 2:
			served = true
			return t
		case t.Status == 400, t.Status == 401, t.Status == 404, t.Status == 413, t.Status == 431:
			return t
		case !f.Safe && !refused:
			return t
		}
		if after == 0 {
			after = time.Duration(10+r.IntN(90)) * time.Millisecond
		}
		time.Sleep(min(after, time.Until(deadline)/3))
	}
	return last
}

// connect gives a connection to a carrier, a kept one if one may be used.
func (c *clients) connect(m *Machine, keep bool) *link {
	for keep {
		c.mu.Lock()
		all := c.idle[m.front()]
		if len(all) == 0 {
			c.mu.Unlock()
			break
		}
		k := all[len(all)-1]
		c.idle[m.front()] = all[:len(all)-1]
		c.mu.Unlock()
		over, stray := k.ended()
		if stray || k.in.Buffered() > 0 {
			c.w.Ledger.do(func() { c.w.Ledger.Strays = append(c.w.Ledger.Strays, Stray{c.w.Now(), m.Name}) })
		}
		if !over && !stray && time.Now().Before(k.idleUntil) {
			return k
		}
		_ = k.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := c.host.Dial(ctx, m.front(), 0)
	if err != nil {
		return nil
	}
	c.w.mu.Lock()
	life := m.incarnation
	c.w.mu.Unlock()
	return &link{end: endOf(conn), in: bufio.NewReader(conn), incarnation: life}
}

// id is a try's own.
func (w *World) id(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

// head is a request up to its body.
func (f Flow) head(id, target string, body int, left time.Duration) []byte {
	out := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Time-Budget-Ms: %d\r\n",
		f.Method, target, f.Host, id, left.Milliseconds())
	if f.Keyed {
		out = fmt.Appendf(out, "X-Elmfold-Shard-Key: %d\r\n", f.key)
	}
	if body > 0 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", body)
	}
	return append(out, "\r\n"...)
}

// send writes one request, which is in the ledger from before its first byte.
func (c *clients) send(k *link, f Flow, m *Machine, target string, body []byte, deadline time.Time,
	r *rand.Rand) (*Attempt, error) {
	w := c.w
	t := w.Ledger.Add(&Attempt{
		ID:          w.id(r),
		Method:      f.Method,
		Host:        f.Host,
		Target:      target,
		Body:        sum(body),
		Safe:        f.Safe,
		Service:     f.Service,
		At:          w.Now(),
		Proxy:       m.Name,
		Incarnation: k.incarnation,
		Timeout:     min(f.Timeout, time.Until(deadline)),
		Budget:      time.Until(deadline),
	})
	_, err := k.Write(append(f.head(t.ID, target, len(body), time.Until(deadline)), body...))
	w.Ledger.do(func() { t.Written = w.Now() })
	return t, err
}

// try sends one request; nil: no connection came up. Refused: it has not been run for all that the client may know.
func (c *clients) try(f Flow, m *Machine, target string, body []byte, deadline time.Time, keep bool, r *rand.Rand) (
	t *Attempt, after time.Duration, refused bool) {
	k := c.connect(m, keep)
	if k == nil {
		return nil, 0, true
	}
	w := c.w
	k.n.mu.Lock()
	before := k.peer.readBytes
	k.n.mu.Unlock()
	_ = k.SetDeadline(deadline)
	t, err := c.send(k, f, m, target, body, deadline, r)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(k.in, &http.Request{Method: f.Method})
	}
	stay := false
	if err == nil {
		stay = k.onResponse(w, t, resp)
		if s, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
			after = time.Duration(s * float64(time.Second))
		}
	}
	w.Ledger.do(func() {
		t.End = w.Now()
		t.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
	})
	if stay {
		k.idleUntil = time.Now().Add(10 * time.Second)
		for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
			if s, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
				if n, bad := strconv.Atoi(s); bad == nil {
					k.idleUntil = time.Now().Add(time.Duration(n)*time.Second - 300*time.Millisecond)
				}
			}
		}
		c.mu.Lock()
		c.idle[m.front()] = append(c.idle[m.front()], k)
		c.mu.Unlock()
	} else {
		_ = k.Close()
	}
	switch t.Status {
	case 429, 503, 408, 421:
		return t, after, true
	}
	return t, after, t.Status == 0 && !t.GaveUp && k.isHeldBack(before)
}

// onResponse takes the answer down; it says whether the connection stays.
func (k *link) onResponse(w *World, t *Attempt, resp *http.Response) bool {
	page, err := io.ReadAll(resp.Body)
	w.Ledger.do(func() {
		t.Status, t.Complete = resp.StatusCode, err == nil
		t.Seal, t.AnswerID = resp.Header.Get("X-Elmfold-Server-Seal"), resp.Header.Get("X-Elmfold-Attempt-Id")
		t.Sum = sum(page)
	})
	return err == nil && !resp.Close
}

// get asks for a path; 0: no answer came within a second.
func (h *Host) get(address, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := h.Dial(ctx, address, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return 0
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

var _ net.Conn = (*end)(nil)
