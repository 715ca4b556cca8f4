package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// BackendOptions make a Backend.
type BackendOptions struct {
	ID, Service, Zone string
	Listen            string        // "ip:port" to serve at
	Advertise         string        // "ip:port" that its beats tell; "": Listen
	Slots             int           // requests at once
	Work              time.Duration // of a request
	Heartbeat         float64       // seconds between heartbeats
	Controls          []string      // addresses for its beats
	Observer          Observer      // is told of each run; nil: nobody
	// Handle draws what becomes of a request; nil: it is worked at for Work and answered.
	Handle func(r *http.Request) Handling
	Keys   *Keys // what the backends of its service hold; nil: the service is not divided by key
}

// Handling is what becomes of a request at a Backend.
type Handling struct {
	Work       time.Duration
	LoseAnswer bool // it is executed, and the connection ends without an answer
}

// Observer is told of each run of a request, from any goroutine.
type Observer interface {
	// RunBegun tells that a backend begins to work at an attempt.
	RunBegun(backend, attemptID string)
	// RunEnded tells that it ended; severed: with its connection, before its time.
	RunEnded(backend, attemptID string, severed bool)
}

// Backend is a server that runs requests: it checks the id, seals its answers, tells its load, and beats. It drops a
// request whose connection ends.
type Backend struct {
	ID, Address string

	options    BackendOptions
	heartbeats *heartbeatSender
	server     *http.Server
	running    atomic.Int32
	mu         sync.Mutex
	runs       map[string]int // by attempt
}

// StartBackend serves and beats until Stop.
func StartBackend(o BackendOptions) (*Backend, error) {
	l, err := net.Listen("tcp4", o.Listen)
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: o.ID, Address: l.Addr().String(), options: o, runs: map[string]int{}}
	if o.Advertise == "" {
		o.Advertise = b.Address
	}
	b.server = &http.Server{Handler: b, ConnContext: withConn}
	go func() { _ = b.server.Serve(repeatingListener{l}) }()
	b.heartbeats = startHeartbeats(
		Incarnation{ID: o.ID, Service: o.Service, Zone: o.Zone, Address: o.Advertise, Capacity: o.Slots},
		o.Heartbeat,
		0,
		o.Controls,
		nil,
	)
	return b, nil
}

// Stop ends it without a word.
func (b *Backend) Stop() {
	close(b.heartbeats.done)
	<-b.heartbeats.ended
	_ = b.server.Close()
}

// Runs is how many requests it ran, and how many of their ids more than once.
func (b *Backend) Runs() (all, twice int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		if all += n; n > 1 {
			twice++
		}
	}
	return all, twice
}

func (b *Backend) load() string { return fmt.Sprintf("%d,0,%d", b.running.Load(), b.options.Slots) }

// ServeHTTP runs a request, or says that it did not.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("X-Elmfold-Instance-Id", b.ID)
		h.Set("X-Elmfold-Server-Load", b.load())
		return
	}
	if b.options.Keys != nil && (r.URL.Path == grantPath || r.URL.Path == releasePath) {
		b.options.Keys.serve(b.ID, w, r)
		return
	}
	turn := func(status int) {
		h.Set("X-Elmfold-Not-Executed", "1")
		w.WriteHeader(status)
	}
	attempt := r.Header.Get("X-Elmfold-Attempt-Id")
	h.Set("X-Elmfold-Attempt-Id", attempt)
	switch want := r.Header.Get("X-Elmfold-Target-Instance"); {
	case attempt == "":
		turn(http.StatusBadRequest)
		return
	case want != "" && want != b.ID:
		turn(http.StatusMisdirectedRequest)
		return
	}
	if b.options.Keys != nil {
		end, held := b.options.Keys.begin(b.ID, r)
		if !held {
			turn(http.StatusMisdirectedRequest)
			return
		}
		defer end()
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	if int(n) > b.options.Slots {
		turn(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.runs[attempt]++
	b.mu.Unlock()
	if !b.work(r, attempt) {
		panic(http.ErrAbortHandler) // no answer: the connection ends
	}
	text := fmt.Sprintf("%s %s %d\n", b.ID, r.RequestURI, len(body))
	h.Set("X-Elmfold-Server-Seal", "lab."+attempt)
	h.Set("X-Elmfold-Server-Load", b.load())
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// work works at a request, and reports whether it is to be answered.
func (b *Backend) work(r *http.Request, attempt string) (answer bool) {
	handling := Handling{Work: b.options.Work}
	if b.options.Handle != nil {
		handling = b.options.Handle(r)
	}
	if b.options.Observer != nil {
		b.options.Observer.RunBegun(b.ID, attempt)
	}
	severed := false
	if handling.Work > 0 {
		timer := time.NewTimer(handling.Work)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			severed = true
		}
	}
	if b.options.Observer != nil {
		b.options.Observer.RunEnded(b.ID, attempt, severed)
	}
	return !severed && !handling.LoseAnswer
}

// Incarnation is what a backend says of itself.
type Incarnation struct {
	ID, Service, Zone, Address string
	Capacity                   int
}

// heartbeatSender sends the beats of one life over a connection of its own, at the address that the last answer
// gave, else at the next controller.
type heartbeatSender struct {
	incarnation Incarnation
	every       time.Duration
	controls    []string
	counts      *Counts
	seq         uint64
	at          int
	target      string
	conn        net.Conn
	in          *bufio.Reader
	draining    chan chan time.Time
	done        chan struct{}
	ended       chan struct{}
}

func startHeartbeats(
	l Incarnation,
	beat float64,
	phase time.Duration,
	controls []string,
	counts *Counts,
) *heartbeatSender {
	b := &heartbeatSender{
		incarnation: l,
		every:       time.Duration(beat * float64(time.Second)),
		controls:    controls,
		counts:      counts,
		draining:    make(chan chan time.Time),
		done:        make(chan struct{}),
		ended:       make(chan struct{}),
	}
	go b.run(phase)
	return b
}

func (b *heartbeatSender) run(phase time.Duration) {
	defer close(b.ended)
	next := time.NewTimer(phase)
	defer next.Stop()
	defer func() {
		if b.conn != nil {
			_ = b.conn.Close()
		}
	}()
	state := "ready"
	for {
		var tell chan time.Time
		select {
		case <-b.done:
			return
		case tell = <-b.draining:
			state = "draining"
		case <-next.C:
		}
		pause := b.every
		for range 4 {
			if b.send(state) {
				pause = b.every
				break
			}
			pause = min(b.every, 300*time.Millisecond) // nobody took it: not a whole beat is waited
			select {
			case <-b.done: // the controllers may be gone: no further ones are tried
				return
			default:
			}
			if b.target = ""; b.conn != nil {
				_ = b.conn.Close()
				b.conn = nil
			}
			b.at++
		}
		if tell != nil {
			tell <- time.Now()
		}
		next.Reset(pause)
	}
}

// send says whether it was acknowledged.
func (b *heartbeatSender) send(state string) bool {
	to := b.target
	if to == "" {
		to = b.controls[b.at%len(b.controls)]
	}
	if b.conn == nil {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", to)
		if err != nil {
			return false
		}
		if b.conn = c; b.counts != nil {
			b.conn = counted{c, b.counts}
		}
		b.in = bufio.NewReaderSize(b.conn, 512)
	}
	b.seq++
	body := fmt.Sprintf(
		`{"address":%q,"descriptor":{"service":%q,"generation":"v1","zone":%q,"capacity":%d},`+
			`"observed":{"state":%q,"callSeq":%d,"coldLeftS":0}}`,
		b.incarnation.Address,
		b.incarnation.Service,
		b.incarnation.Zone,
		b.incarnation.Capacity,
		state,
		b.seq,
	)
	_ = b.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(
		b.conn,
		"POST /v1/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: "+
			"application/json\r\nContent-Length: %d\r\n\r\n%s",
		b.incarnation.ID,
		to,
		len(body),
		body,
	); err != nil {
		return false
	}
	resp, err := http.ReadResponse(b.in, nil)
	if err != nil {
		return false
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 {
		return false
	}
	if target := heartbeatTarget(answer); target != "" && target != to {
		b.target = target
		_ = b.conn.Close()
		b.conn = nil
	}
	return true
}
