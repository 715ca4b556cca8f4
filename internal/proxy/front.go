package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

const (
	holdMost   = 128 << 10 // of a request's body that is held, so that it can be sent again
	dialsMost  = 4         // backends that could not be reached, beside those that the request was sent to
	proveAfter = 100 * time.Millisecond
	proveMost  = 700 * time.Millisecond
	proveSoon  = 25 // connections, after which they become rare
	proveLate  = 5 * time.Second
	unsureFor  = 300 * time.Millisecond // beside a beat, until a backend's word that it is cold has come here
	budgetMost = 10 * time.Minute
	// that a refusal waits for a body which nobody wants, so that the connection may stay
	unreadSoon = 5 * time.Millisecond
	unreadMost = 256 << 10 // bytes of it that are read for that
	// that the connection is read on after an answer that came first, so that it arrives
	unreadFor = 300 * time.Millisecond
	writeMore = 2 * time.Second // that a client may take longer to read than it said it waits
)

// clientConn bounds how long a client may take or stay idle by the limits in force when it begins to: http.Server's
// own fields cannot change while connections stand. The server asks for no deadline (the zero time) at three
// moments: when it waits for the next request, when that begins, and when it ends reading in the background.
type clientConn struct {
	net.Conn
	c     *Carrier
	phase atomic.Int32
	done  atomic.Bool
}

const (
	phaseHeader = iota // from the first byte that is awaited to the end of the header
	phaseBusy
	phaseIdle
)

func (k *clientConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		limits := routeconfig.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		if v := k.c.view.Load(); v != nil {
			limits = v.Limits
		}
		switch k.phase.Load() {
		case phaseIdle:
			k.phase.Store(phaseHeader)
			t = time.Now().Add(limits.IdleTimeout)
		case phaseHeader:
			t = time.Now().Add(limits.HeaderTimeout)
		}
	}
	return k.Conn.SetReadDeadline(t)
}

// The net.TCPConn underneath must not show its ReadFrom: the platform has no sendfile or splice.
func (k *clientConn) Close() error {
	if k.done.CompareAndSwap(false, true) {
		k.c.clients.Add(-1)
	}
	return k.Conn.Close()
}

type clientListener struct {
	net.Listener
	c *Carrier
}

func (l clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.c.clients.Add(1) > l.c.clientsMost { // the rest of the descriptors are for backends and controllers
			l.c.clients.Add(-1)
			_ = conn.Close()
			continue
		}
		k := &clientConn{Conn: conn, c: l.c}
		_ = k.SetReadDeadline(time.Time{}) // the server sets none before the first request
		return k, nil
	}
}

// Serve takes clients' connections until Shutdown.
func (c *Carrier) Serve(l net.Listener) error {
	return c.server.Serve(clientListener{l, c})
}

// newServer makes the server of clients' connections.
func (c *Carrier) newServer() *http.Server {
	mux := chi.NewRouter()
	// Every path and method is carried as it came; nothing is cleaned or redirected.
	mux.NotFound(c.carry)
	mux.MethodNotAllowed(c.carry)
	return &http.Server{
		Handler:                      mux,
		MaxHeaderBytes:               1 << 20,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     c.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			k, ok := conn.(*clientConn)
			if !ok {
				return
			}
			switch state {
			case http.StateActive:
				k.phase.Store(phaseBusy)
				_ = k.Conn.SetReadDeadline(time.Time{})
			case http.StateIdle:
				k.phase.Store(phaseIdle)
			}
		},
	}
}

// Readiness answers the platform.
func (c *Carrier) Readiness() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !c.ready.Load() || c.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// request is one try of a client on its way.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	began    time.Time
	charter  *routeconfig.Config
	route    *routeconfig.Route
	service  string
	target   string
	deadline time.Time
	body     []byte
	whole    bool    // ... is all of the client's
	stream   *upload // what follows body; nil: nothing that is wanted
	length   int64
}

// upload is the part of a body that flows. Its reader may be at work when the answer is there.
type upload struct {
	io.Reader
	done atomic.Bool // it was read to its end
	left int64       // that its length promises; negative: unknown
}

func (u *upload) Read(b []byte) (int, error) {
	n, err := u.Reader.Read(b)
	if u.left >= 0 {
		u.left -= int64(n)
	}
	if err == io.EOF || u.left == 0 {
		u.done.Store(true)
	}
	return n, err
}

// carry takes a request from the client to a backend and the answer back: route, level, body, tries, answer.
func (c *Carrier) carry(w http.ResponseWriter, r *http.Request) {
	q := request{w: w, r: r, began: c.o.Clock.Now(), charter: c.view.Load()}
	if q.charter == nil {
		c.refuse(&q, apierror.NotReady, 0)
		return
	}
	if kind := q.read(); kind != apierror.None {
		c.refuse(&q, kind, 0)
		return
	}
	var kind apierror.Kind
	var after time.Duration
	c.settle(func(s *balancer.Settler) { kind, after = s.Admit(c.now(), q.service) })
	if kind != apierror.None {
		c.refuse(&q, kind, after)
		return
	}
	if kind := q.hold(); kind != apierror.None {
		c.refuse(&q, kind, 0)
		return
	}
	c.try(&q)
}

// settle lets f use the settler. A panic in it must not leave the lock behind: net/http goes on serving after one.
func (c *Carrier) settle(f func(s *balancer.Settler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.settler)
}

// read settles the route and the time from the request's head.
func (q *request) read() apierror.Kind {
	r, limits := q.r, q.charter.Limits
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	if size > limits.HeaderBytes {
		return apierror.HeaderTooLarge
	}
	if r.ContentLength > limits.BodyBytes {
		return apierror.BodyTooLarge
	}
	q.target = r.RequestURI
	if rest, ok := strings.CutPrefix(q.target, "http://"); ok { // absolute form: the path begins after the authority
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			q.target = rest[i:]
		}
	}
	if !strings.HasPrefix(q.target, "/") || r.Header.Get("Upgrade") != "" {
		return apierror.Malformed
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = q.charter.Route(r.Host, path); q.route == nil {
		return apierror.NoRoute
	}
	q.service = q.route.PickService(rand.Float64())
	time_ := q.route.Timeout
	if text := r.Header.Get(upstream.FieldBudget); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms > 0 && ms < budgetMost.Seconds()*1000 {
			time_ = min(time_, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	q.deadline = q.began.Add(time_)
	return apierror.None
}

// hold takes the body, whole up to holdMost.
func (q *request) hold() apierror.Kind {
	r := q.r
	if q.whole = r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody; q.whole {
		return apierror.None
	}
	body := http.MaxBytesReader(nil, r.Body, q.charter.Limits.BodyBytes)
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.deadline)
	size := int64(holdMost)
	if r.ContentLength >= 0 && r.ContentLength <= size {
		size = r.ContentLength
	}
	q.body = make([]byte, 0, min(size, 4096))
	var err error
	for int64(len(q.body)) < holdMost && err == nil {
		if len(q.body) == cap(q.body) {
			q.body = append(q.body, 0)[:len(q.body)]
		}
		var n int
		n, err = body.Read(q.body[len(q.body):min(cap(q.body), holdMost)])
		q.body = q.body[:len(q.body)+n]
	}
	var large *http.MaxBytesError
	var slow net.Error
	switch {
	case err == io.EOF:
		q.whole = true
		_ = control.SetReadDeadline(time.Time{})
		return apierror.None
	case err == nil:
		if q.length = -1; r.ContentLength >= 0 {
			q.length = r.ContentLength - int64(len(q.body))
		}
		q.stream = &upload{Reader: body, left: q.length}
		q.stream.done.Store(q.length == 0)
		return apierror.None
	case errors.As(err, &large):
		return apierror.BodyTooLarge
	case errors.As(err, &slow) && slow.Timeout():
		return apierror.ClientTimeout
	}
	return apierror.Malformed
}

// try asks backends until one answers or none may be asked.
func (c *Carrier) try(q *request) {
	call := upstream.Call{Method: q.r.Method, Target: q.target, Host: q.r.Host, Header: q.r.Header.Clone(),
		AttemptID: q.r.Header.Get(upstream.FieldID), Body: q.body, StreamLen: q.length,
		HasBody: q.body != nil || q.r.ContentLength == 0 && q.r.Header.Get("Content-Length") != "", Deadline: q.deadline}
	if q.stream != nil {
		call.Stream = q.stream
	}
	upstream.StripHop(call.Header)
	for _, name := range []string{
		upstream.FieldID,
		upstream.FieldBudget,
		upstream.FieldInstance,
		"Content-Length",
		"Expect",
	} {
		call.Header.Del(name)
	}
	var tried []string
	var answer *upstream.Answer
	last, offered, ran, unreached := apierror.None, 0, false, 0
	for {
		if !c.o.Clock.Now().Before(q.deadline) {
			if last = apierror.DeadlineExceeded; ran {
				last = apierror.ResponseTimeout
			}
			break
		}
		var b *balancer.Backend
		var kind apierror.Kind
		ask := balancer.Ask{Service: q.service, Tried: tried, ToAim: q.route.LatencyTarget - c.o.Clock.Now().Sub(q.began),
			Priority: q.route.Priority, Draws: [2]float64{rand.Float64(), rand.Float64()}}
		c.settle(func(s *balancer.Settler) {
			if b, kind = s.Pick(c.now(), ask); b != nil {
				call.Addr, call.Instance, call.MostOpen = b.Address, b.ID, b.Share() // they may change once the lock is free
			}
		})
		if b == nil {
			if last == apierror.None || !ran && offered == 0 && last != apierror.ConnectFailed {
				last = kind
			}
			break
		}
		began := c.o.Clock.Now()
		got, err := c.pool.Do(context.Background(), &call)
		met, failed := meet(got, err, c.o.Clock.Now().Sub(began))
		var doubts []balancer.Doubt
		c.settle(func(s *balancer.Settler) {
			if s.End(c.now(), b, met); failed != apierror.None {
				doubts = s.Doubts()
			}
		})
		for _, d := range doubts {
			go c.prove(d)
		}
		if answer, last = got, failed; failed == apierror.None {
			break
		}
		tried = append(tried, call.Instance)
		if last == apierror.ConnectFailed {
			if unreached++; unreached >= dialsMost {
				break
			}
		} else {
			offered++
		}
		ran = ran || last.Policy().MayHaveExecuted
		if q.r.Context().Err() != nil { // the client has gone: a further try would draw on the budget for nobody
			break
		}
		again := false
		c.settle(func(s *balancer.Settler) {
			again = q.stream == nil && s.Again(c.now(), q.service, last, q.route.Idempotent, offered, q.route.MaxAttempts)
		})
		if !again {
			break
		}
		if answer.End(); answer != nil && answer.Rest != nil {
			answer = nil // what flows has been let go
		}
	}
	switch {
	case answer != nil && (last == apierror.None || last == apierror.EndpointFailed) && !promises(answer.Status):
		c.pass(q, answer)
		return
	case answer != nil && (last == apierror.None || last == apierror.EndpointFailed):
		// A backend's own 503 without the word that it has not run it: passed on, it would be a promise.
		c.refuse(q, apierror.EndpointFailed, 0)
	case ran && !last.Policy().MayHaveExecuted: // an earlier backend may have run it: no promise can be made any more
		c.refuse(q, apierror.ConnectionBroken, 0)
	case last == apierror.EndpointsSaturated:
		c.refuse(q, last, balancer.After(q.route.LatencyTarget, rand.Float64()))
	default:
		c.refuse(q, last, 0)
	}
	answer.End()
}

// promises says whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// prove brings up a connection to a backend in doubt, again and again until one does or the backend is gone.
func (c *Carrier) prove(d balancer.Doubt) {
	c.pool.Forget(d.Address) // the idle ones are as doubtful
	for tries := 1; ; tries++ {
		err := c.pool.Connect(context.Background(), d.Address)
		wanted := false
		c.settle(func(s *balancer.Settler) {
			if wanted = s.Wanted(d); wanted && err == nil {
				s.Proved(c.now(), d, c.o.Settings.HeartbeatInterval.Duration()+unsureFor)
			}
		})
		if !wanted || err == nil {
			return
		}
		wait := min(proveAfter*time.Duration(tries), proveMost)
		if tries > proveSoon { // it may be gone without a word
			wait = proveLate
		}
		select {
		case <-c.o.Clock.After(wait):
		case <-c.queue.Stopped():
			return
		}
	}
}

// meet says what a try brought: for the settler, and as the kind of its failure.
func meet(a *upstream.Answer, err error, took time.Duration) (balancer.Met, apierror.Kind) {
	m := balancer.Met{Took: took}
	if a != nil {
		m.Running, m.Waiting, m.HasLoad, m.Cold, m.HasCold = a.Load.Running, a.Load.Waiting, a.HasLoad, a.Cold, a.HasCold
	}
	var f *apierror.Error
	switch {
	case errors.As(err, &f):
		var slow net.Error
		m.Kind = f.Kind
		m.Silent = f.Kind != apierror.ResponseTimeout && errors.As(f.Cause, &slow) && slow.Timeout()
	case err != nil:
		m.Kind = apierror.ConnectionBroken
	case a.Status >= 500, promises(a.Status): // without the word that it has not run, a promise says nothing
		m.Kind = apierror.EndpointFailed
	}
	return m, m.Kind
}

// pass returns a backend's answer as it is.
func (c *Carrier) pass(q *request, a *upstream.Answer) {
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.persist(h, q)
	if q.early(h) {
		defer q.part()
	}
	// A client that does not read must not hold the answer for ever.
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeMore))
	q.w.WriteHeader(a.Status)
	if len(a.Body) > 0 {
		_, _ = q.w.Write(a.Body)
	}
	if a.Rest == nil {
		return
	}
	defer a.Rest.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Rest.Read(buf)
		if n > 0 {
			if _, werr := q.w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // what was cut short must not look complete
		}
	}
}

// early readies an answer that is there before the end of the client's body was read; it says whether it is one.
// net/http would read what is left before it writes the head: a client that takes its time would hold the answer up,
// and of a body that flows it would take bytes away from the backend. So the answer goes out first, and the connection
// ends: no byte of the body may be taken for a next request.
func (q *request) early(h http.Header) bool {
	control := http.NewResponseController(q.w)
	switch {
	case q.whole || q.r.ContentLength == 0 || q.stream != nil && q.stream.done.Load():
		return false
	case q.stream == nil && q.r.Header.Get("Expect") == "": // most have it in one packet with the head
		_ = control.SetReadDeadline(time.Now().Add(unreadSoon))
		if _, err := io.CopyN(io.Discard, q.r.Body, unreadMost); err == io.EOF {
			_ = control.SetReadDeadline(time.Time{})
			return false
		}
	}
	_ = control.EnableFullDuplex()
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
	return true
}

// part bounds what is still read from a client whose answer was there before the end of its body.
func (q *request) part() {
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(unreadFor))
}

// persist says how long the connection stays.
func (c *Carrier) persist(h http.Header, q *request) {
	if c.stopping.Load() {
		h.Set("Connection", "close")
		return
	}
	if q.charter != nil && q.charter.Limits.IdleTimeout > 2*time.Second {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(q.charter.Limits.IdleTimeout.Seconds())-1))
	}
}

// refuse answers by the table of kinds.
func (c *Carrier) refuse(q *request, kind apierror.Kind, after time.Duration) {
	rule := kind.Policy()
	h := q.w.Header()
	if after <= 0 {
		after = rule.RetryAfter
	}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.persist(h, q)
	if q.early(h) {
		q.part()
	}
	h.Set("Content-Type", "text/plain")
	text := kind.String() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(rule.Status)
	_, _ = io.WriteString(q.w, text)
}

// Shutdown ends the carrier in order, within span: not ready from now on; new connections are served until the
// platform has seen that, answers say that the connection closes; then what is at work ends, and the process.
func (c *Carrier) Shutdown(span time.Duration) {
	c.stopping.Store(true)
	began := c.o.Clock.Now()
	notice := min(2500*time.Millisecond, span/2) // two misses a second apart, and a little
	<-c.o.Clock.After(notice)
	c.queue.Do(func() {
		c.left = true // the tick renews no lease from here on
		c.leave()
	})
	ctx, cancel := context.WithTimeout(context.Background(), span-c.o.Clock.Now().Sub(began))
	defer cancel()
	_ = c.server.Shutdown(ctx)
	c.queue.Stop()
}
