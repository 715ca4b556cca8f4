package simulation

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Act is what a backend does with a request that it runs.
type Act uint8

// Acts.
const (
	Proper    Act = iota
	Twice         // answers twice
	Afterword     // sends bytes after its answer, a moment later
	Short         // breaks off within the body
	Mute          // runs it and says nothing
	Snap          // runs it and resets the connection
	Garble        // sends bytes that are no answer
	Lost          // resets before it runs it, after it has read it
	Slow          // works for seconds
)

// Backend is one life of a scripted one.
type Backend struct {
	w             *World
	host          *Host
	ID, Service   string
	Zone, Address string
	Slots, Queue  int
	Work          time.Duration
	Size          int                   // bytes of its answers' bodies
	Script        func(id string) Act   // nil: Proper always
	Meanwhile     func(r *http.Request) // called while it works
	state         string
	warmupEnd     time.Duration
	mu            sync.Mutex
	running       int
	waiting       []chan struct{}
	seq           uint64
	target        string
	rand          *rand.Rand
	begun         time.Duration
	keys          *keyHolder // nil: its service is not divided by key
}

// Backend starts one. Cold: it is slow for the service's coldS, and must not be sent much.
func (w *World) Backend(service, zone, ip string, slots int, work time.Duration, cold bool) *Backend {
	w.mu.Lock()
	w.incarnations++
	n := w.incarnations
	w.mu.Unlock()
	b := &Backend{w: w, host: w.Net.Host(ip), ID: fmt.Sprintf("i-%s-%d", ip, n), Service: service, Zone: zone,
		Address: ip + ":8080", Slots: slots, Queue: 2 * slots, Work: work, Size: 600, state: "ready",
		rand: w.Rand("backend", uint64(n)), begun: w.Now()}
	if w.isSharded(service) {
		b.keys = &keyHolder{running: map[uint16]int{}, drift: b.rand.Float64() * maxDrift}
	}
	if cold {
		span, _ := slowStartOf(service)
		w.StartSlow(b, span)
	}
	l, err := b.host.Listen(b.Address)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.backends[b.ID] = b
	w.mu.Unlock()
	w.Ledger.do(func() { w.Ledger.Incarnations = append(w.Ledger.Incarnations, Incarnation{b.ID, zone, w.Now(), 0}) })
	go b.accept(l)
	go b.heartbeat()
	return b
}

// StartSlow makes it cold for a span.
func (w *World) StartSlow(b *Backend, span time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmupEnd = w.Now() + span
	_, rate := slowStartOf(b.Service)
	w.Ledger.do(func() {
		w.Ledger.Colds = append(w.Ledger.Colds, SlowStart{Backend: b.ID, From: w.Now(), To: b.warmupEnd, Rate: rate})
	})
}

func (b *Backend) script(f func(id string) Act) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Script = f
}

// Crash ends it without a word.
func (b *Backend) Crash() {
	b.w.gone(b)
	b.host.Kill()
}

func (b *Backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

const idleTimeout = 12 * time.Second // of connections to backends

func (b *Backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		body, err := io.ReadAll(r.Body)
		if err != nil || !b.answer(c, r, body) {
			return
		}
	}
}

// take waits for a slot; refused says that there is no room, or no time is left.
func (b *Backend) take(budget time.Duration) (ok bool) {
	b.mu.Lock()
	if b.running < b.Slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	if len(b.waiting) >= b.Queue {
		b.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	b.waiting = append(b.waiting, turn)
	b.mu.Unlock()
	t := time.NewTimer(budget)
	defer t.Stop()
	select {
	case <-turn:
		return true
	case <-t.C:
	case <-b.host.gone:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == turn {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			return false
		}
	}
	return true // it came at the same moment
}

func (b *Backend) free() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 {
		close(b.waiting[0])
		b.waiting = b.waiting[1:]
	} else {
		b.running--
	}
}

func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, len(b.waiting), b.Slots)
}

func (b *Backend) warmupLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.warmupEnd-b.w.Now(), 0)
}

// abort resets the connection.
func (e *end) abort() {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	if !e.closed {
		e.closed = true
		e.n.push(e.peer, segment{kind: reset}, 0)
		e.stir()
	}
}
