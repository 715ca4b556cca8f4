package simulation

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// heartbeat tells the controllers that it is there.
func (b *Backend) heartbeat() {
	every := b.w.HeartbeatInterval
	pause := time.Duration(b.rand.Int64N(int64(every / 5)))
	for b.sleep(pause) {
		b.say(b.rand, "ready")
		pause = every - every/10 + time.Duration(b.rand.Int64N(int64(every/5)))
		b.mu.Lock()
		draining := b.state != "ready"
		b.mu.Unlock()
		if draining {
			return
		}
	}
}

func (b *Backend) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.host.gone:
		return false
	}
}

// say sends one word until a controller acknowledges it, or each was asked once; it gives the one that did.
func (b *Backend) say(r *rand.Rand, state string) (by string) {
	b.mu.Lock()
	b.seq++
	text := b.heartbeatBody(state, b.seq)
	first := b.target
	b.mu.Unlock()
	for _, at := range b.w.controls(r, first) {
		status, body, err := b.host.call(at, "instances.heartbeat", b.ID, text)
		if err != nil || status/100 != 2 || len(body) > 4096 {
			continue
		}
		var answer struct{ BeatTarget string }
		if json.Unmarshal(body, &answer) == nil && answer.BeatTarget != "" {
			at = answer.BeatTarget
		}
		b.mu.Lock()
		b.target = at
		b.mu.Unlock()
		return at
	}
	b.mu.Lock()
	b.target = ""
	b.mu.Unlock()
	return ""
}

// heartbeatBody is what a heartbeat says; the lock is held.
func (b *Backend) heartbeatBody(state string, seq uint64) []byte {
	text, _ := json.Marshal(map[string]any{"address": b.Address,
		"descriptor": map[string]any{"service": b.Service, "generation": "v1", "zone": b.Zone, "capacity": b.Slots},
		"observed": map[string]any{"state": state, "callSeq": seq,
			"coldLeftS": max(b.warmupEnd-b.w.Now(), 0).Seconds()}})
	return text
}

func (b *Backend) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state == "ready"
}

// Drain says that it leaves, serves on for drainS after the acknowledgement, says that it is gone, and ends.
func (b *Backend) Drain() { b.leave(0, nil) }

// leave does so, but stays for longer; told is called as soon as the word is acknowledged.
func (b *Backend) leave(longer time.Duration, told func(by string)) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	w := b.w
	w.ends(b)
	r := w.Rand("drain "+b.ID, 0)
	sayFirst := b.sayLeaving
	if r.IntN(deregisterFirstOdds) == 0 {
		sayFirst = b.sayGone
	}
	acked := ""
	for began := w.Now(); acked == "" && w.Now() < began+5*time.Second; {
		if acked = sayFirst(r); acked == "" && !b.sleep(200*time.Millisecond) {
			return
		}
	}
	w.Go(func() { b.lateHeartbeat(r) })
	if told != nil && acked != "" {
		told(acked)
	}
	if !b.sleep(w.Ledger.Bounds.Drain.Duration() + 700*time.Millisecond + longer) {
		return
	}
	b.sayGone(w.Rand("gone "+b.ID, 0))
	b.sleep(300 * time.Millisecond)
	b.Crash()
}

// deregisterFirstOdds is one in how many backends deregisters without having said that it drains.
const deregisterFirstOdds = 3

// sayGone deregisters at one controller after the other until one acknowledges it, and gives that one.
func (b *Backend) sayGone(r *rand.Rand) (by string) {
	b.mu.Lock()
	first := b.target
	b.mu.Unlock()
	for _, at := range b.w.controls(r, first) {
		if status, _, err := b.host.call(at, "instances.deregister", b.ID, nil); err == nil && status/100 == 2 {
			b.w.left(b, at)
			return at
		}
	}
	return ""
}

// lateHeartbeat has a word that it is ready, from before it began to leave, arrive seconds late.
func (b *Backend) lateHeartbeat(r *rand.Rand) {
	b.mu.Lock()
	text := b.heartbeatBody("ready", max(b.seq, 1)-1)
	b.mu.Unlock()
	all := b.w.controls(r, "")
	if len(all) == 0 || !b.sleep(time.Duration(r.Int64N(int64(3*time.Second)))) {
		return
	}
	_, _, _ = b.host.call(all[0], "instances.heartbeat", b.ID, text)
}

func (b *Backend) sayLeaving(r *rand.Rand) string {
	by := b.say(r, "draining")
	if by != "" {
		b.w.left(b, by)
	}
	return by
}

// callTimeout bounds a call to the control address.
const callTimeout = time.Second

// call is one call of the system's own interface.
func (h *Host) call(
	address, call, of string,
	body []byte,
) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c, err := h.Dial(ctx, address, callTimeout)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	target := "/v1/rpc?call=" + call
	if of != "" {
		target += "&of=" + url.QueryEscape(of)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		target, address, len(body))
	if _, err = c.Write(append([]byte(head), body...)); err != nil {
		return 0, nil, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	if answer, err = io.ReadAll(r.Body); err != nil {
		return 0, nil, err
	}
	return r.StatusCode, answer, nil
}
