//go:build review

package main

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainS   = 2 * time.Second        // as in the settings
	downFor  = 700 * time.Millisecond // until the processes are started again: within a second
	lateBy   = 3 * time.Second        // the beat that comes seconds late
	servesOn = 16 * time.Second       // the backend's time from its deregistration to its end
)

func init() { cases["6"] = forgotten }

// forgotten has a backend deregister while one of its beats is under way. Then all processes are killed at once and
// started again, and the beat arrives.
func forgotten(programs string, r *record, trouble bool) (broken bool, err error) {
	l, err := startLab(programs, r, config(1, []any{rule("/read/", "safe", "read", 5)}, []any{pool("read")}),
		map[string]int{"read": 6}, 6, 0)
	if err != nil {
		return false, err
	}
	defer l.stop()
	var ended atomic.Bool
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() { readOften(l.Carriers[i%2].Front(), i, &ended, r) })
	}
	defer clients.Wait()
	defer ended.Store(true)
	time.Sleep(3 * time.Second)

	leaving := l.backends[0]
	leaving.silent.Store(true)
	time.Sleep(1200 * time.Millisecond) // no other beat of it is under way
	beat, beatAt := leaving.nextBeat(), time.Now()
	r.line("%s sends a beat, which the network holds up", leaving.id)
	status, err := post(l.Controllers[1].Control(), "instances.deregister", leaving.id, "")
	if err != nil || status != http.StatusOK {
		return false, errors.New("the deregistration was not acknowledged")
	}
	acked := time.Now()
	r.line("%s is deregistered: controller 2 answers 200", leaving.id)
	time.Sleep(100 * time.Millisecond)
	started := acked
	if trouble {
		for _, p := range append(l.Controllers, l.Carriers...) {
			p.Kill()
		}
		r.line("all processes are killed")
		time.Sleep(downFor)
		for _, p := range append(l.Controllers, l.Carriers...) {
			if err := p.Again(); err != nil {
				return false, err
			}
		}
		started = time.Now()
		r.line("all processes are started again")
	}
	time.Sleep(time.Until(beatAt.Add(lateBy)))
	status, err = post(l.Controllers[0].Control(), "instances.heartbeat", leaving.id, beat)
	r.line("the beat of before arrives at controller 1, %.1f s late: status %d, %v", time.Since(beatAt).Seconds(), status, err)
	// All machines are in touch again twice contactS after the start.
	from := later(acked.Add(drainS), started.Add(2*contactS)).Add(300 * time.Millisecond)
	time.Sleep(time.Until(acked.Add(servesOn)))
	until := time.Now()
	late, all := 0, 0
	l.runs.mu.Lock()
	for id, xs := range l.runs.byID {
		for _, x := range xs {
			if x.at.Before(from) || x.at.After(until) {
				continue
			}
			all++
			if x.backend == leaving.id {
				if late++; late <= 5 {
					r.line("request %s reached %s %.3f s after its deregistration was acknowledged", id, leaving.id, x.at.Sub(acked).Seconds())
				}
			}
		}
	}
	l.runs.mu.Unlock()
	r.line("from %.1f s to %.1f s after the acknowledgement, %d of %d requests reached %s", from.Sub(acked).Seconds(),
		until.Sub(acked).Seconds(), late, all, leaving.id)
	if all < 50 {
		return false, errors.New("too few requests were run")
	}
	return late > 0, nil
}
