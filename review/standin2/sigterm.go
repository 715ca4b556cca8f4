//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	bookings    = 10              // of each group
	smallWindow = 32 << 10        // bytes of the backends' receive buffers
	bodyBytes   = 100 << 10       // of an order; maxBodyBytes is 64 MiB
	longWork    = 2000            // ms: the longest work on an order of the small site is 2,100 ms
	budgetMs    = 6000            // deadline of the small site's orders
	graceS      = 6 * time.Second // as in the settings
	afterSignal = 100 * time.Millisecond
)

// booking is an order on a kept connection.
type booking struct {
	id     string
	conn   net.Conn
	in     *bufio.Reader
	status int // 0: none
	seal   string
	after  time.Duration
	err    error
}

// send sends an order and reads its answer.
func (b *booking) send(id, do string, size int) {
	sentAt := time.Now()
	_ = b.conn.SetDeadline(sentAt.Add(budgetMs * time.Millisecond))
	body := pattern("q"+id, size)
	go func() { // a client that reads while it sends
		_, _ = fmt.Fprintf(b.conn, "POST /book/%s HTTP/1.1\r\nHost: jobs.example\r\nX-Elmfold-Attempt-Id: %s\r\n"+
			"X-Elmfold-Time-Budget-Ms: %d\r\nX-Do: %s\r\nContent-Length: %d\r\n\r\n", id, id, budgetMs, do, size)
		_, _ = b.conn.Write(body)
	}()
	b.id, b.status, b.seal = id, 0, ""
	resp, err := http.ReadResponse(b.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	b.after, b.err = time.Since(sentAt), err
	if err == nil {
		b.status, b.seal = resp.StatusCode, resp.Header.Get("X-Elmfold-Server-Seal")
	}
}

func init() { cases["5"] = brokenOff }

// brokenOff sends orders with long bodies to a proxy that has just got SIGTERM. Half of them go to backends that read a
// body before they work on it, half to backends that read on while they work.
func brokenOff(programs string, r *record, trouble bool) (broken bool, err error) {
	l, err := startLab(programs, r, config(1, []any{rule("/book/", "unsafe", "book", 6)}, []any{pool("book")}),
		map[string]int{"book": 6}, 10, smallWindow)
	if err != nil {
		return false, err
	}
	defer l.stop()
	proxy := l.Carriers[0]
	all := make([]*booking, 2*bookings)
	for i := range all {
		conn, err := net.Dial("tcp4", proxy.Front())
		if err != nil {
			return false, err
		}
		defer func() { _ = conn.Close() }()
		all[i] = &booking{conn: conn, in: bufio.NewReader(conn)}
		if all[i].send(fmt.Sprintf("first%02d", i), "size=200;work=50", 1000); all[i].status != http.StatusOK {
			return false, errors.New("a first order was not served")
		}
	}
	var signalled time.Time
	if trouble {
		if err := proxy.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		signalled = time.Now()
		r.line("SIGTERM to %s", proxy.Name)
	}
	time.Sleep(afterSignal)
	sentAt := time.Now()
	var sent sync.WaitGroup
	for i, b := range all {
		do, name := fmt.Sprintf("size=200;work=%d", longWork), "reads-first"
		if i%2 == 1 {
			do, name = fmt.Sprintf("size=200;reads-on=%d", longWork), "reads-on"
		}
		r.line("order %s-%02d of %d bytes is sent to %s", name, i, bodyBytes, proxy.Front())
		sent.Go(func() { b.send(fmt.Sprintf("%s-%02d", name, i), do, bodyBytes) })
	}
	sent.Wait()
	lost := 0
	for _, b := range all {
		runs := l.runs.of(b.id)
		r.line("order %s: status %d, seal %q, after %.3f s, %v; runs %d", b.id, b.status, b.seal, b.after.Seconds(), b.err, len(runs))
		if b.status == http.StatusOK && b.seal != "" || len(runs) == 0 {
			continue
		}
		// The work lasts 2 s from its begin, the deadline is after 6 s, and the last sixth of graceS begins after 5 s.
		atWork := sentAt.Add(b.after).Before(runs[0].at.Add(longWork * time.Millisecond))
		inTime := trouble && sentAt.Add(b.after).Before(signalled.Add(graceS*5/6))
		if atWork {
			r.line("  a backend was at work on it when the client had this answer")
		}
		if atWork && inTime {
			lost++
		}
	}
	r.line("LOST: after the SIGTERM %d orders were broken off while their backend was at work on them", lost)
	return lost > 0, nil
}
