// Package upstream makes one attempt of a request at one endpoint, over connections that it owns.
//
// Nothing is ever sent twice. http.Transport resends by itself on a stale connection, and hides bytes that come after a
// response; so the request is written by hand here, and only the response is parsed by net/http. Every error is an
// *apierror.Error, and its kind says whether the endpoint may have executed the request.
//
//	attempt.go   an attempt: what is sent, whose response it is
//	request.go   the bytes of a request
//	sender.go    a request body that is streamed
//	response.go  the head and body of a response
//	health.go    health checks
//	pool.go      the connections to all endpoints
//	conn.go      one connection
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"elmfold/internal/gateway/apierror"
)

// Header fields that the system and its endpoints use.
const (
	HeaderAttemptID      = "X-Elmfold-Attempt-Id"
	HeaderTimeBudget     = "X-Elmfold-Time-Budget-Ms"
	HeaderTargetInstance = "X-Elmfold-Target-Instance"
	HeaderNotExecuted    = "X-Elmfold-Not-Executed"
	HeaderServerSeal     = "X-Elmfold-Server-Seal"
	HeaderServerLoad     = "X-Elmfold-Server-Load"
	HeaderWarmup         = "X-Elmfold-Cold-Ms"
	HeaderInstanceID     = "X-Elmfold-Instance-Id"
)

// Call is one request for one endpoint. It is not changed.
type Call struct {
	Address       string      // "host:port" of the endpoint
	EndpointID    string      // of the endpoint; "": none is sent
	Method        string      // as it came
	RequestTarget string      // the bytes as they came (RFC 9112, 3.2)
	Host          string      // value of the field Host
	Header        http.Header // end-to-end fields; those that isOwnField names are not sent
	AttemptID     string      // as the client sent it; "": none is sent and none is checked
	Body          []byte      // the buffered part of the body; the whole of it if Stream is nil
	HasBody       bool        // false: no Content-Length is sent (Stream nil)
	// Stream is what follows Body, StreamLen its bytes (-1: unknown, sent in chunks). It may be read for a moment after
	// Do has returned, when the endpoint responded before the end of the body.
	Stream    io.Reader
	StreamLen int64
	// MaxConns is how many connections there may be to the address, this one included; with more, one is closed when the
	// response has come. 0: any number.
	MaxConns int
	// FinishOnceSent has the attempt go on though its context is cancelled, from when the whole request was sent until the
	// response flows: the endpoint may be executing what must not be broken off.
	FinishOnceSent bool
	// Deadline is that of the whole attempt, the streamed part of the response included; what is left is sent along.
	Deadline time.Time
}

// Load is what an endpoint says of itself, in requests.
type Load struct{ Running, Queued, Capacity int }

// Response is an endpoint's own response to the call.
type Response struct {
	Status int
	Header http.Header // end-to-end fields, without Content-Length
	Body   []byte      // the whole body if Rest is nil, otherwise its start
	// Rest is the remainder of a body longer than Options.MaxBufferedBody. Its errors are io.EOF or an *apierror.Error
	// (TruncatedResponse, InvalidResponse, ResponseTimeout, ConnectionBroken). Closing it before io.EOF ends the
	// connection.
	Rest       io.ReadCloser
	Length     int64 // of the whole body, -1: unknown; to HEAD what the endpoint said
	HasSeal    bool
	Load       Load
	HasLoad    bool          // Load was told
	WarmupLeft time.Duration // until the endpoint's slow start ends
	HasWarmup  bool          // WarmupLeft was told
}

// Close ends what is left of a response that nobody will read. The response may be nil.
func (r *Response) Close() {
	if r != nil && r.Rest != nil {
		_ = r.Rest.Close() // never fails
	}
}

// attempt is one request on one connection.
type attempt struct {
	pool        *Pool
	ctx         context.Context
	stopWatch   func() bool // of the watch over ctx; nil: there is none
	call        *Call
	conn        *conn
	sent        atomic.Bool   // the whole request was written
	flowing     atomic.Bool   // the response flows
	cancelled   atomic.Bool   // the connection was closed because ctx was cancelled
	sender      *sender       // nil: Do has written everything itself
	idleTimeout time.Duration // how long the connection may be idle afterwards
	outOfStep   bool          // request and response no longer belong together: the connection is not used again
}

// maxSurplus is how many responses to other requests are read past.
const maxSurplus = 2

// Errors that stand as causes in the *apierror.Error of an attempt.
var (
	errMismatched = errors.New("answer to another request")
	errEncoded    = errors.New("answer with a Content-Encoding")
	errUnsealed   = errors.New("answer without a seal")
	errUnbounded  = errors.New("answer without a length")
	errHead       = errors.New("head of the answer over 64 KB")
	errInterim    = errors.New("too many 1xx answers")
	errVersion    = errors.New("no HTTP/1 answer")
)

// Do sends the request once and returns the endpoint's response. The error is an *apierror.Error. The context is the
// client's: when it is cancelled, the attempt ends at once, also while the response flows; see Call.FinishOnceSent.
//
// The request was not executed with ConnectFailed, EndpointsSaturated (closed before a byte was written),
// RejectedByEndpoint, Misdirected, ClientDisconnected, DeadlineExceeded and Malformed (not sent). It may have been with
// ConnectionBroken, InvalidResponse, MismatchedResponse, TruncatedResponse, ResponseTimeout and AttemptCancelled. With
// RejectedByEndpoint and Misdirected the Response is there too (status, fields, body if it came whole), to be
// passed on.
func (p *Pool) Do(ctx context.Context, c *Call) (*Response, error) {
	if err := validate(c); err != nil {
		return nil, apierror.New(apierror.Malformed, c.Address, err)
	}
	isNameless := c.AttemptID == ""
	a, err := p.start(ctx, c, isNameless)
	if err != nil {
		return nil, err
	}
	return a.receive()
}

// start sends the request on a connection; fresh: on a new one.
func (p *Pool) start(ctx context.Context, c *Call, fresh bool) (*attempt, error) {
	k, err := p.acquire(ctx, c, fresh)
	if err != nil {
		return nil, err
	}
	left := c.Deadline.Sub(p.options.Now())
	if left <= 0 { // dialling took it, or this process was suspended meanwhile
		p.closeConn(k)
		return nil, apierror.New(apierror.DeadlineExceeded, c.Address, nil)
	}
	if ctx.Err() != nil { // nothing was written: the connection serves the next request
		p.putUnused(k)
		return nil, apierror.New(apierror.ClientDisconnected, c.Address, ctx.Err())
	}
	k.lastAttemptID = c.AttemptID
	a := &attempt{pool: p, ctx: ctx, call: c, conn: k}
	if ctx.Done() != nil {
		a.stopWatch = context.AfterFunc(ctx, a.cancel)
	}
	buf := getBuffer()
	*buf = appendRequest((*buf)[:0], c, left)
	written, err := k.Write(*buf)
	putBuffer(buf)
	if err != nil {
		a.outOfStep = true
		if written == 0 { // no byte has left: it was not executed, whatever ended the connection
			a.end(false)
			return nil, p.notSentError(ctx, c.Address, c.Deadline, err)
		}
		// Some bytes went out. An endpoint that rejects a request without reading the body ends the connection too; its
		// response may be waiting, and is better than a guess.
		return a, nil
	}
	if c.Stream != nil && c.StreamLen != 0 {
		a.sender = startSender(k.Conn, c.Stream, c.StreamLen, a.noteSent)
	} else {
		a.noteSent()
	}
	return a, nil
}

// cancel ends the attempt because its client has left, unless it is to finish.
func (a *attempt) cancel() {
	if a.call.FinishOnceSent && a.sent.Load() && !a.flowing.Load() {
		return
	}
	a.cancelled.Store(true)
	_ = a.conn.Close() // whoever reads or writes there sees it
}

// noteSent notes that the whole request was written.
func (a *attempt) noteSent() { a.sent.Store(true) }

// noteFlowing notes that the response flows from here on: without its client, nobody takes it.
func (a *attempt) noteFlowing() {
	a.flowing.Store(true)
	if errors.Is(a.ctx.Err(), context.Canceled) { // cancel may have left it to finish
		a.cancel()
	}
}

// receive waits for the response to this call, and reads past those to others.
func (a *attempt) receive() (*Response, error) {
	for surplus := 0; ; surplus++ {
		resp, err := a.readHead()
		if err != nil {
			return nil, err
		}
		if a.isOwn(resp) {
			return a.accept(resp)
		}
		if surplus == maxSurplus || !a.skipResponse(resp) {
			return nil, a.fail(apierror.MismatchedResponse, errMismatched)
		}
	}
}

// isOwn reports whether a response is to this call. A rejection without an id is this call's only where the
// connection has carried no other request: otherwise it may be a late response to that one, and says nothing about
// this call, which may well be executing.
func (a *attempt) isOwn(resp *http.Response) bool {
	id := resp.Header.Get(HeaderAttemptID)
	if a.call.AttemptID == "" || id == a.call.AttemptID {
		return true
	}
	return id == "" && isRejection(resp) && !isSuccess(resp) && !a.conn.carriedOther
}

// isRejection reports whether a response says that the request was not executed.
func isRejection(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || len(resp.Header[HeaderNotExecuted]) > 0
}

func isSuccess(resp *http.Response) bool { return resp.StatusCode/100 == 2 }

// accept checks the own response and reads its body.
func (a *attempt) accept(resp *http.Response) (*Response, error) {
	switch {
	case isRejection(resp):
		return a.receiveRejection(resp)
	case len(resp.Header["Content-Encoding"]) > 0:
		return nil, a.fail(apierror.InvalidResponse, errEncoded)
	case isSuccess(resp) && len(resp.Header[HeaderServerSeal]) == 0:
		return nil, a.fail(apierror.MismatchedResponse, errUnsealed)
	case isSuccess(resp) && isUnbounded(resp, a.call.Method):
		return nil, a.fail(apierror.TruncatedResponse, errUnbounded) // its end cannot be told from a break
	}
	r := a.newResponse(resp)
	body, whole, err := a.readBody(resp)
	if err != nil {
		return nil, err
	}
	r.Body = body
	if !whole {
		r.Rest = &bodyReader{attempt: a, response: resp}
		a.noteFlowing()
		return r, nil
	}
	if a.call.Method != http.MethodHead {
		r.Length = int64(len(body))
	}
	a.release(resp)
	return r, nil
}

// rejectionBodyWait is how long the body of a rejection is waited for.
const rejectionBodyWait = 50 * time.Millisecond

// receiveRejection is the response of an endpoint that did not execute the request. The head says so; a body that does
// not come, or not at once, does not change that and is not waited for: a rejection is to be told at once.
func (a *attempt) receiveRejection(resp *http.Response) (*Response, error) {
	kind := apierror.RejectedByEndpoint
	if resp.StatusCode == http.StatusMisdirectedRequest {
		kind = apierror.Misdirected
	}
	r, rejection := a.newResponse(resp), apierror.New(kind, a.call.Address, nil)
	isBuffered := resp.ContentLength >= 0 && int64(a.conn.reader.Buffered()) >= resp.ContentLength
	if soon := time.Now().Add(rejectionBodyWait); !isBuffered && soon.Before(a.call.Deadline) {
		_ = a.conn.SetReadDeadline(soon) // fails only on a closed connection
	}
	body, whole, err := a.readBody(resp)
	switch {
	case err != nil: // which has ended the connection
		r.Length = 0
	case !whole:
		r.Length = 0
		a.end(false)
	default:
		r.Body = body
		if a.call.Method != http.MethodHead {
			r.Length = int64(len(body))
		}
		a.release(resp)
	}
	return r, rejection
}

// fail ends the connection and returns an error of a request that may have been executed. What failed because the
// client left is no failure of the endpoint.
func (a *attempt) fail(kind apierror.Kind, cause error) *apierror.Error {
	a.end(false)
	if a.cancelled.Load() {
		kind, cause = apierror.AttemptCancelled, a.ctx.Err()
	}
	return apierror.New(kind, a.call.Address, cause)
}

// readFailure says why reading stopped: onEnd is the kind if it was the connection's end.
func (a *attempt) readFailure(onEnd apierror.Kind, err error) *apierror.Error {
	readErr := a.conn.readErr
	switch {
	case readErr == nil || errors.Is(readErr, errHead): // the bytes were there and made no sense
		return a.fail(apierror.InvalidResponse, err)
	case errors.Is(readErr, os.ErrDeadlineExceeded) || errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return a.fail(apierror.ResponseTimeout, err)
	case a.sender.streamFailure() != nil: // the client's body broke off, and with it the connection
		return a.fail(apierror.AttemptCancelled, a.sender.streamFailure())
	}
	return a.fail(onEnd, readErr)
}

// release gives the connection back after a whole response, if both sides agree on where it stands.
func (a *attempt) release(resp *http.Response) {
	isNamed := a.call.AttemptID != "" || a.conn.carriedNameless
	inStep := !a.outOfStep && a.conn.reader.Buffered() == 0 && a.sender.isDone()
	staysOpen := !resp.Close && resp.ProtoAtLeast(1, 1)
	a.end(inStep && staysOpen && isNamed)
}

// end parts with the connection; it is called once for each attempt.
func (a *attempt) end(reusable bool) {
	if a.stopWatch != nil && !a.stopWatch() {
		reusable = false // the client left meanwhile: the connection may be being closed
	}
	if !reusable {
		a.pool.closeConn(a.conn)
		return
	}
	a.conn.carriedOther = true
	a.conn.carriedHead = a.conn.carriedHead || a.call.Method == http.MethodHead
	a.pool.putIdle(a.conn, a.idleTimeout, a.call.MaxConns)
}

// bodyReader is the part of a response body that is streamed.
type bodyReader struct {
	attempt  *attempt
	response *http.Response
	err      error // how it ended
}

// Read reads on. The connection is given back at io.EOF.
func (b *bodyReader) Read(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.response.Body.Read(buf)
	switch {
	case err == io.EOF:
		b.err = io.EOF
		b.attempt.release(b.response)
	case err != nil:
		b.err = b.attempt.readFailure(apierror.TruncatedResponse, err)
	}
	return n, b.err
}

// Close ends the connection, unless the body was read to its end.
func (b *bodyReader) Close() error {
	if b.err == nil {
		b.err = net.ErrClosed
		b.attempt.end(false)
	}
	return nil
}
