// Package upstream is one try of a request at one backend, over connections that it owns.
//
// Nothing is ever sent twice: http.Transport resends by itself on a stale connection and hides bytes that come after
// an answer, so the request is written by hand here and only the answer is parsed by net/http. Every error is a
// *apierror.Error, and its kind says whether a backend may have run the request.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"elmfold/internal/gateway/apierror"
)

// The fields that the system and its backends speak in.
const (
	FieldID       = "X-Elmfold-Attempt-Id"
	FieldBudget   = "X-Elmfold-Time-Budget-Ms"
	FieldInstance = "X-Elmfold-Target-Instance"
	FieldNotRun   = "X-Elmfold-Not-Executed"
	FieldSeal     = "X-Elmfold-Server-Seal"
	FieldLoad     = "X-Elmfold-Server-Load"
	FieldCold     = "X-Elmfold-Cold-Ms"
	FieldSelf     = "X-Elmfold-Instance-Id"
)

// Call is one request for one backend. It isn't changed.
type Call struct {
	Addr, Instance string      // the backend's address (host:port) and id; no id: none is sent
	Method         string      // as it came
	Target         string      // the request-target's bytes as they came
	Host           string      // value of Host
	Header         http.Header // end-to-end fields, without Host, Content-Length and the three of X-Elmfold
	AttemptID      string      // as the client sent it; "": none is sent and none is checked
	Body           []byte      // what is held of the body; the whole of it if Stream is nil
	HasBody        bool        // false: no Content-Length is sent (Stream nil)
	// Stream is what follows Body, StreamLen its bytes (-1: unknown, sent in chunks). It may be read for a moment
	// after Do has returned, when the backend answered before the end of the body.
	Stream    io.Reader
	StreamLen int64
	// MostOpen is how many connections may stand to the address, this one included; with more, this one is closed when
	// the answer has come. 0: any number.
	MostOpen int
	Deadline time.Time // of the whole try, its Rest included; what is left goes out as the budget
}

// Load is what a backend says of itself: requests running, requests waiting, slots.
type Load struct{ Running, Waiting, Slots int }

// Answer is a backend's own answer to the call.
type Answer struct {
	Status int
	Header http.Header // end-to-end only, without Content-Length
	Body   []byte      // the whole body if Rest is nil, else its start
	// Rest is the remainder of a body longer than HoldMost. Its errors are io.EOF or a *apierror.Error (CutOff, Garbled,
	// Late, Broken). Close it; before io.EOF that ends the connection.
	Rest    io.ReadCloser
	Length  int64 // of the whole body, -1: unknown; to HEAD what the backend said
	Seal    bool
	Load    Load
	HasLoad bool
	Cold    time.Duration
	HasCold bool
}

// End closes what is left of an answer that nobody will read; it may be nil.
func (a *Answer) End() {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Options of a Pool; zero values take the defaults.
type Options struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // default: TCP over IPv4
	Now         func() time.Time                                         // default: time.Now
	DialTimeout time.Duration                                            // default 250 ms
	HoldMost    int                                                      // bytes of a body taken whole, default 64 KB
	MostIdle    int                                                      // idle connections a backend, default 8
	IdleFor     time.Duration                                            // without a word of the backend, default 8 s
}

// Pool owns the connections to all backends. It is safe for concurrent use and has no goroutine of its own.
type Pool struct {
	o     Options
	mu    sync.Mutex
	homes map[string]*home
}

// New makes an empty Pool.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dial
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = 250 * time.Millisecond
	}
	if o.HoldMost == 0 {
		o.HoldMost = 64 << 10
	}
	if o.MostIdle == 0 {
		o.MostIdle = 8
	}
	if o.IdleFor == 0 {
		o.IdleFor = 8 * time.Second
	}
	return &Pool{o: o, homes: map[string]*home{}}
}

// try is one request on one connection.
type try struct {
	p      *Pool
	ctx    context.Context
	stop   func() bool // of the watch over ctx; nil: none
	c      *Call
	k      *conn
	send   *sender       // nil: all was written by Do itself
	keep   time.Duration // how long the connection may be idle afterwards
	spoilt bool          // the connection is out of step and can't be used again
}

// Do sends the request once and returns the backend's answer. The error is a *apierror.Error:
// not run: Dial, Full (closed before a byte was written), Turned, Misdirected, OutOfTime and Malformed (not offered);
// may have run: Broken, Garbled, Foreign, CutOff, Late.
// With Turned and Misdirected the Answer is there too (status, fields, body if it came whole), to be passed on.
func (p *Pool) Do(ctx context.Context, c *Call) (*Answer, error) {
	if err := check(c); err != nil {
		return nil, apierror.New(apierror.Malformed, c.Addr, err)
	}
	t, err := p.start(ctx, c, c.AttemptID == "")
	if err != nil {
		return nil, err
	}
	return t.answer()
}

// start brings the request onto a connection.
func (p *Pool) start(ctx context.Context, c *Call, fresh bool) (*try, error) {
	k, err := p.take(ctx, c, fresh)
	if err != nil {
		return nil, err
	}
	left := c.Deadline.Sub(p.o.Now())
	if left <= 0 { // dialling took it, or this process was frozen meanwhile
		p.drop(k)
		return nil, apierror.New(apierror.DeadlineExceeded, c.Addr, nil)
	}
	k.last = c.AttemptID
	t := &try{p: p, ctx: ctx, c: c, k: k}
	if ctx.Done() != nil {
		t.stop = context.AfterFunc(ctx, func() { k.Conn.Close() })
	}
	buf := bufs.Get().(*[]byte)
	*buf = appendRequest((*buf)[:0], c, left)
	n, err := k.Conn.Write(*buf)
	putBuf(buf)
	if err != nil {
		t.spoilt = true
		if n == 0 { // no byte has left: it has not run, whatever ended the connection
			t.end(false)
			return nil, p.unsent(c.Addr, c.Deadline, err)
		}
		// Some bytes went out. A backend that refuses without reading the body ends the connection too; its answer
		// may be waiting, and is better than a guess.
		return t, nil
	}
	if c.Stream != nil && c.StreamLen != 0 {
		t.send = &sender{done: make(chan struct{})}
		go t.send.run(k.Conn, c.Stream, c.StreamLen)
	}
	return t, nil
}

// answer waits for the answer of this call, and reads past those of others.
func (t *try) answer() (*Answer, error) {
	c := t.c
	for surplus := 0; ; {
		resp, err := t.head()
		if err != nil {
			return nil, err
		}
		h := resp.Header
		id, ok2 := h.Get(FieldID), resp.StatusCode/100 == 2
		refused := resp.StatusCode == http.StatusMisdirectedRequest || len(h[FieldNotRun]) > 0
		// A refusal without an id is this call's only where the connection has carried no other request: else it may
		// be a late answer to that, and says nothing about this call, which may well be at work.
		mine := c.AttemptID == "" || id == c.AttemptID || id == "" && refused && !ok2 && !t.k.used
		if !mine {
			if surplus++; surplus > 2 || !t.skip(resp) {
				return nil, t.fault(apierror.MismatchedResponse, errForeign)
			}
			continue
		}
		switch {
		case refused:
			return t.refusal(resp)
		case len(h["Content-Encoding"]) > 0:
			return nil, t.fault(apierror.InvalidResponse, errEncoded)
		case ok2 && len(h[FieldSeal]) == 0:
			return nil, t.fault(apierror.MismatchedResponse, errUnsealed)
		case ok2 && openEnded(resp, c.Method):
			return nil, t.fault(apierror.TruncatedResponse, errOpenEnded) // its end can't be told from a break
		}
		a := t.newAnswer(resp)
		body, whole, err := t.body(resp)
		if err != nil {
			return nil, err
		}
		a.Body = body
		if !whole {
			a.Rest = &rest{t: t, resp: resp}
			return a, nil
		}
		if c.Method != http.MethodHead {
			a.Length = int64(len(body))
		}
		t.settle(resp)
		return a, nil
	}
}

// refusal is the answer of a backend that did not run the request. The head says so; a body that does not come, or not
// at once, doesn't change that and isn't waited for: a refusal is to be told at once.
func (t *try) refusal(resp *http.Response) (*Answer, error) {
	kind := apierror.RejectedByEndpoint
	if resp.StatusCode == http.StatusMisdirectedRequest {
		kind = apierror.Misdirected
	}
	a, f := t.newAnswer(resp), apierror.New(kind, t.c.Addr, nil)
	if int64(t.k.br.Buffered()) < resp.ContentLength || resp.ContentLength < 0 {
		if soon := time.Now().Add(refusalWait); soon.Before(t.c.Deadline) {
			t.k.SetReadDeadline(soon)
		}
	}
	body, whole, err := t.body(resp)
	switch {
	case err != nil: // body has ended the connection
		a.Length = 0
	case !whole:
		a.Length = 0
		t.end(false)
	default:
		a.Body = body
		if t.c.Method != http.MethodHead {
			a.Length = int64(len(body))
		}
		t.settle(resp)
	}
	return a, f
}

// Health is what a backend says when it is asked how it is.
type Health struct {
	OK       bool   // it answered 200
	Instance string // its id; "": it gave none
	Cold     time.Duration
	HasCold  bool
	Load     Load
	HasLoad  bool
}

// Health asks the backend how it is: GET path, without an id. A *apierror.Error (as of Do) says that no answer came; an
// answer other than 200, a refusal included, is a Health that is not OK.
func (p *Pool) Health(ctx context.Context, addr, path string, deadline time.Time) (Health, error) {
	c := &Call{Addr: addr, Method: http.MethodGet, Target: path, Host: addr, Deadline: deadline}
	if err := check(c); err != nil {
		return Health{}, apierror.New(apierror.Malformed, addr, err)
	}
	t, err := p.start(ctx, c, false)
	if err != nil {
		return Health{}, err
	}
	t.k.bare = true
	for surplus := 0; ; {
		resp, err := t.head()
		if err != nil {
			return Health{}, err
		}
		if len(resp.Header[FieldSelf]) == 0 && len(resp.Header[FieldID]) > 0 { // the late answer to a request
			if surplus++; surplus > 2 || !t.skip(resp) {
				return Health{}, t.fault(apierror.MismatchedResponse, errForeign)
			}
			continue
		}
		a := t.newAnswer(resp)
		_, whole, err := t.body(resp)
		if err != nil {
			return Health{}, err
		}
		if whole {
			t.settle(resp)
		} else {
			t.end(false)
		}
		return Health{OK: a.Status == http.StatusOK, Instance: resp.Header.Get(FieldSelf),
			Cold: a.Cold, HasCold: a.HasCold, Load: a.Load, HasLoad: a.HasLoad}, nil
	}
}

var (
	errForeign   = errors.New("answer to another request")
	errEncoded   = errors.New("answer with a Content-Encoding")
	errUnsealed  = errors.New("answer without a seal")
	errOpenEnded = errors.New("answer without a length")
	errHead      = errors.New("head of the answer over 64 KB")
	errSurplus   = errors.New("bytes that nobody asked for")
	errInterim   = errors.New("too many 1xx answers")
	errVersion   = errors.New("no HTTP/1 answer")
)

const (
	headMost    = 64 << 10
	readSize    = 4 << 10
	refusalWait = 50 * time.Millisecond
)

// fault ends the connection with a kind that may have run.
func (t *try) fault(kind apierror.Kind, cause error) *apierror.Error {
	t.end(false)
	return apierror.New(kind, t.c.Addr, cause)
}

// failed says why reading stopped: ended is the kind if it was the connection's end.
func (t *try) failed(ended apierror.Kind, err error) *apierror.Error {
	broke := t.k.broke
	switch {
	case broke == nil || broke == errHead:
		ended = apierror.InvalidResponse // the bytes were there and made no sense
	case errors.Is(broke, os.ErrDeadlineExceeded) || errors.Is(t.ctx.Err(), context.DeadlineExceeded):
		ended = apierror.ResponseTimeout
	case t.ctx.Err() != nil:
		ended, err = apierror.ConnectionBroken, t.ctx.Err()
	case t.send.failure() != nil:
		ended, err = apierror.ConnectionBroken, t.send.failure() // the client's body broke off, and with it the connection
	default:
		err = broke
	}
	return t.fault(ended, err)
}

// settle gives the connection back after a whole answer, if both sides agree on where it stands.
func (t *try) settle(resp *http.Response) {
	ok := !t.spoilt && !resp.Close && resp.ProtoAtLeast(1, 1) && t.k.br.Buffered() == 0 && t.send.sent() &&
		(t.c.AttemptID != "" || t.k.bare)
	t.end(ok)
}

// end parts with the connection; it is called once a try.
func (t *try) end(ok bool) {
	if t.stop != nil && !t.stop() {
		ok = false // the client went away meanwhile: it is being closed
	}
	if ok {
		t.k.used, t.k.heads = true, t.k.heads || t.c.Method == http.MethodHead
		t.p.put(t.k, t.keep, t.c.MostOpen)
	} else {
		t.p.drop(t.k)
	}
}

// rest is the part of an answer that flows.
type rest struct {
	t    *try
	resp *http.Response
	err  error // how it ended
}

func (r *rest) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.resp.Body.Read(b)
	switch {
	case err == io.EOF:
		r.err = io.EOF
		r.t.settle(r.resp)
	case err != nil:
		r.err = r.t.failed(apierror.TruncatedResponse, err)
	}
	return n, r.err
}

func (r *rest) Close() error {
	if r.err == nil {
		r.err = net.ErrClosed
		r.t.end(false)
	}
	return nil
}
