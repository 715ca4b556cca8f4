package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"elmfold/internal/fakes/gateway"
)

const (
	requestInterval = 12 * time.Millisecond // mean, of all clients together
	departingShare  = 0.3
	maxStay         = 400 * time.Millisecond
	clientTimeout   = 4500 * time.Millisecond
	dialTimeout     = time.Second
	segmentPause    = 10 * time.Millisecond
	largeBody       = 1 << 20
)

// Routes, each to a service of its own.
const (
	safeRoute  = iota // requests that may be repeated
	onceRoute         // requests that may run once only
	keyedRoute        // the same, to a service that is divided by key
)

func routeOf(safe bool) int {
	if safe {
		return safeRoute
	}
	return onceRoute
}

// departure is how a client leaves.
type departure int

const (
	byClose departure = iota
	byReset
	behindRequest // a second request waits behind the first
	behindHalf    // half of one does
	withinUpload  // in the middle of its body
	afterUpload   // after a body that is more than a proxy holds
	departures
)

// load sends requests until the context ends.
func (w *world) load(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.seed, 1))
	for {
		pause := time.Duration(r.ExpFloat64() * float64(requestInterval))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		p := w.deployment.Carriers[r.IntN(len(w.deployment.Carriers))]
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		if safe := r.IntN(3) > 0; r.Float64() < departingShare {
			w.work.Go(func() { w.depart(p, own, safe) })
		} else {
			work := time.Duration(r.IntN(60)) * time.Millisecond
			route := routeOf(safe)
			if own.IntN(3) == 0 {
				route = keyedRoute
			}
			w.work.Go(func() { w.stay(p, w.ledger.newRequest(own, p.Name, route), work) })
		}
	}
}

// head is a request up to its body. The last part of its path says how long it is worked at.
func (q *request) head(work time.Duration, body int) string {
	method, key := http.MethodPost, ""
	if q.safe {
		method = http.MethodPut
	}
	if q.route == keyedRoute {
		key = fmt.Sprintf("X-Elmfold-Shard-Key: %d\r\n", q.key)
	}
	host, prefix := gateway.RouteOf(q.route)
	return fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: %s\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Time-Budget-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n", method, prefix, work.Milliseconds(), host, q.id, clientTimeout.Milliseconds(), key,
		body)
}

// stay sends a request, waits for its answer and returns its status; 0: none came.
func (w *world) stay(p *gateway.Process, q *request, work time.Duration) int {
	conn, err := net.DialTimeout("tcp4", p.Front(), dialTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	const body = "a small body"
	if _, err := io.WriteString(conn, q.head(work, len(body))+body); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	w.ledger.do(func() {
		q.status = resp.StatusCode
		q.isOwn = err == nil && resp.Header.Get("X-Elmfold-Attempt-Id") == q.id &&
			resp.Header.Get("X-Elmfold-Server-Seal") == "lab."+q.id
	})
	return resp.StatusCode
}

// depart sends a request and leaves a while later.
func (w *world) depart(p *gateway.Process, r *rand.Rand, safe bool) {
	conn, err := net.DialTimeout("tcp4", p.Front(), dialTimeout)
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	work, how := longWork, departure(r.IntN(int(departures)))
	if !safe {
		work = onceWork
	}
	stay := time.Duration(r.Int64N(int64(maxStay)))
	all := []*request{w.ledger.newRequest(r, p.Name, routeOf(safe))}
	first := all[0]
	write := func(text string) { _, _ = io.WriteString(conn, text) } // a proxy that has ended first is no matter here
	switch how {
	case withinUpload:
		write(first.head(work, largeBody) + strings.Repeat("x", largeBody/2))
	case afterUpload:
		write(first.head(work, largeBody) + strings.Repeat("x", largeBody))
	case behindRequest:
		write(first.head(work, 0))
		time.Sleep(segmentPause)
		all = append(all, w.ledger.newRequest(r, p.Name, routeOf(safe)))
		write(all[1].head(work, 0))
	case behindHalf:
		write(first.head(work, 0))
		time.Sleep(segmentPause)
		write("PUT /part")
	case byClose, byReset, departures:
		write(first.head(work, 0))
	}
	time.Sleep(stay)
	if tcp, ok := conn.(*net.TCPConn); ok && how == byReset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	w.ledger.do(func() {
		for _, q := range all {
			q.departedAt = time.Now()
		}
	})
}

// finalRequests must all be served: the faults are over.
func (w *world) finalRequests(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.seed, 2))
	for i := range finalRequests {
		if ctx.Err() != nil {
			return
		}
		p := w.deployment.Carriers[i%len(w.deployment.Carriers)]
		q := w.ledger.newRequest(r, p.Name, i%services)
		if status := w.stay(p, q, time.Millisecond); status != http.StatusOK {
			w.ledger.violated("RECOVER: %s by %s gets %d after all faults", q.id, p.Name, status)
		}
	}
	time.Sleep(10 * segmentPause) // proxies see the last connections end
}
