// Package upstream sends a request to an endpoint once, over pooled HTTP/1.1 connections.
//
// The package never retries. http.Transport would resend a request by itself on a stale connection and hide surplus
// bytes after a response, so this package writes requests itself and uses net/http only to parse responses. Every error
// is an *apierror.Error; its kind says whether the endpoint may have executed the request.
//
//	attempt.go   an attempt: sending the request, matching and checking the response
//	request.go   encoding of a request
//	sender.go    streaming of a request body
//	response.go  reading of a response's head and body
//	health.go    health checks
//	pool.go      the connection pool
//	conn.go      one connection
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"elmfold/internal/gateway/apierror"
)

// Header fields of the protocol between proxies and endpoints.
const (
	HeaderAttemptID      = "X-Elmfold-Attempt-Id"
	HeaderTimeBudget     = "X-Elmfold-Time-Budget-Ms"
	HeaderTargetInstance = "X-Elmfold-Target-Instance"
	HeaderNotExecuted    = "X-Elmfold-Not-Executed"
	HeaderServerSeal     = "X-Elmfold-Server-Seal"
	HeaderServerLoad     = "X-Elmfold-Server-Load"
	HeaderWarmup         = "X-Elmfold-Cold-Ms"
	HeaderInstanceID     = "X-Elmfold-Instance-Id"
	HeaderShardKey       = "X-Elmfold-Shard-Key"
)

// Call is one request to one endpoint. It is not modified.
type Call struct {
	Address       string // host:port of the endpoint
	EndpointID    string // sent as HeaderTargetInstance unless empty
	Method        string
	RequestTarget string      // sent unchanged (RFC 9112, 3.2)
	Host          string      // value of the Host field
	Header        http.Header // end-to-end fields; fields for which isReservedField is true are not sent
	AttemptID     string      // sent as HeaderAttemptID and required in the response, unless empty
	Body          []byte      // the buffered part of the body; the whole body if Stream is nil
	HasBody       bool        // if false and Stream is nil, no Content-Length is sent
	// Stream is the rest of the body after Body. Do may return before it stops reading Stream, if the endpoint responds
	// before the end of the body.
	Stream io.Reader
	// StreamLen is the length of Stream; -1 means unknown, and the body is sent in chunks.
	StreamLen int64
	// MaxConns limits the connections to Address, this one included. If there are more, an idle one is closed after the
	// response. 0 means no limit.
	MaxConns int
	// Sharded means that the endpoint executes the request only while it holds the key in HeaderShardKey.
	Sharded bool
	// FinishOnceSent lets the attempt continue after its context is cancelled, from the time when the whole request is
	// sent until the response body is streamed, because the endpoint may be executing the request.
	FinishOnceSent bool
	// Deadline applies to the whole attempt, including streaming of the response body. The time left is sent as
	// HeaderTimeBudget.
	Deadline time.Time
}

// Load is the load that an endpoint reports, in requests.
type Load struct{ Running, Queued, Capacity int }

// Response is an endpoint's response to a Call.
type Response struct {
	Status int
	Header http.Header // end-to-end fields, without Content-Length
	Body   []byte      // the whole body if Rest is nil, otherwise its start
	// Rest is the remainder of a body longer than Options.MaxBufferedBody. Its errors are io.EOF or an *apierror.Error
	// (TruncatedResponse, InvalidResponse, ResponseTimeout, ConnectionBroken, AttemptCancelled). Closing it before io.EOF
	// closes the connection.
	Rest       io.ReadCloser
	Length     int64 // length of the whole body, or -1 if unknown; the Content-Length in a response to HEAD
	HasSeal    bool  // the response has HeaderServerSeal
	Load       Load
	HasLoad    bool          // the response reported Load
	WarmupLeft time.Duration // time left of the endpoint's slow start
	HasWarmup  bool          // the response reported WarmupLeft
}

// Close discards the rest of the response. r may be nil.
func (r *Response) Close() {
	if r != nil && r.Rest != nil {
		_ = r.Rest.Close() // never fails
	}
}

// attempt is one request on one connection.
type attempt struct {
	pool            *Pool
	ctx             context.Context
	stopCancelWatch func() bool // stops calling cancel when ctx is cancelled; nil if ctx is never cancelled
	call            *Call
	conn            *persistConn
	writes          requestWrites
	streaming       atomic.Bool   // the response body is streamed to the caller
	cancelled       atomic.Bool   // cancel closed the connection
	sender          *bodySender   // nil if Do wrote the whole request
	idleTimeout     time.Duration // for the connection after the attempt
	desynchronized  bool          // requests and responses on the connection may no longer correspond
}

// maxUnmatchedResponses is the maximum number of responses to other requests that an attempt discards.
const maxUnmatchedResponses = 2

// Causes of an attempt's *apierror.Error.
var (
	errMismatched      = errors.New("answer to another request")
	errContentEncoding = errors.New("answer with a Content-Encoding")
	errNoSeal          = errors.New("answer without a seal")
	errNoLength        = errors.New("answer without a length")
	errHeadTooLong     = errors.New("head of the answer over 64 KB")
	errTooManyInterim  = errors.New("too many 1xx answers")
	errNotHTTP1        = errors.New("no HTTP/1 answer")
)

// Do sends a request once and returns the endpoint's response. The error is an *apierror.Error. Cancelling ctx ends the
// attempt at once, also while the response body is streamed; Call.FinishOnceSent makes an exception.
//
// The endpoint has not executed the request if the kind is ConnectFailed, EndpointsSaturated (the endpoint closed the
// connection before a byte was written), RejectedByEndpoint, Misdirected, KeyNotHeld, ClientDisconnected,
// DeadlineExceeded or Malformed (the call is invalid). It may have executed it if the kind is ConnectionBroken,
// InvalidResponse, MismatchedResponse, TruncatedResponse, ResponseTimeout or AttemptCancelled. RejectedByEndpoint,
// KeyNotHeld and Misdirected come with the Response, whose body is empty if it did not arrive completely.
func (p *Pool) Do(ctx context.Context, c *Call) (*Response, error) {
	if err := validateCall(c); err != nil {
		return nil, apierror.New(apierror.Malformed, c.Address, err)
	}
	needsNewConn := c.AttemptID == ""
	a, err := p.startAttempt(ctx, c, needsNewConn)
	if err != nil {
		return nil, err
	}
	return a.receiveResponse()
}

// startAttempt sends the request on an idle connection, or on a new one if forceDial is true or none is idle.
func (p *Pool) startAttempt(ctx context.Context, c *Call, forceDial bool) (*attempt, error) {
	pc, err := p.acquire(ctx, c, forceDial)
	if err != nil {
		return nil, err
	}
	left := c.Deadline.Sub(p.options.Now())
	if left <= 0 { // dialling took too long, or the process was suspended
		p.closeConn(pc)
		return nil, apierror.New(apierror.DeadlineExceeded, c.Address, nil)
	}
	if ctx.Err() != nil { // nothing was written, so the connection is reusable
		p.putUnused(pc)
		return nil, apierror.New(apierror.ClientDisconnected, c.Address, ctx.Err())
	}
	pc.lastAttemptID = c.AttemptID
	a := &attempt{pool: p, ctx: ctx, call: c, conn: pc}
	if ctx.Done() != nil {
		a.stopCancelWatch = context.AfterFunc(ctx, a.cancel)
	}
	buf := getBuffer()
	*buf = appendRequest((*buf)[:0], c, left)
	hasRest := c.Stream != nil && c.StreamLen != 0
	written, err := a.write(*buf, !hasRest)
	putBuffer(buf)
	if err != nil {
		a.desynchronized = true
		if written == 0 { // the endpoint cannot have executed the request
			a.releaseConn(false)
			return nil, p.notSentError(ctx, c.Address, c.Deadline, err)
		}
		// The endpoint may have closed the connection after rejecting the request without reading its body. If so, the
		// response can still be read.
		return a, nil
	}
	if hasRest {
		a.sender = startBodySender(a, c.Stream, c.StreamLen)
	}
	return a, nil
}

// requestWrites is the progress of writing a request. Its mutex orders cancel and the writes: the endpoint may have the
// whole request before the last write returns.
type requestWrites struct {
	mu        sync.Mutex
	writing   bool // a write is in progress
	sent      bool // the whole request is written
	cancelled bool // ctx was cancelled before that
}

// write writes a part of the request. isLast tells that it is the last one.
func (a *attempt) write(b []byte, isLast bool) (int, error) {
	if !a.writes.begin() {
		return 0, context.Canceled
	}
	n, err := a.conn.Write(b)
	if a.writes.end(err == nil && isLast) {
		a.closeCancelled()
	}
	return n, err
}

// begin begins a write; false: the attempt is cancelled.
func (w *requestWrites) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = !w.cancelled
	return w.writing
}

// end ends a write. It reports whether the attempt was cancelled meanwhile and the endpoint lacks a part of the
// request.
func (w *requestWrites) end(sent bool) (isCancelled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.sent = false, sent
	return w.cancelled && !w.sent
}

// cancel closes the connection after ctx is cancelled, unless FinishOnceSent applies. A write in progress ends first:
// its result tells whether the endpoint has the whole request.
func (a *attempt) cancel() {
	mayFinish := a.call.FinishOnceSent && !a.streaming.Load()
	a.writes.mu.Lock()
	defer a.writes.mu.Unlock()
	if mayFinish && a.writes.sent {
		return
	}
	a.writes.cancelled = true
	if mayFinish && a.writes.writing {
		_ = a.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
		return
	}
	a.closeCancelled()
}

// closeCancelled closes the connection of a cancelled attempt, which unblocks reads and writes.
func (a *attempt) closeCancelled() {
	a.cancelled.Store(true)
	_ = a.conn.Close()
}

// markStreaming records that the response body is streamed from now on, which ends the effect of FinishOnceSent.
func (a *attempt) markStreaming() {
	a.streaming.Store(true)
	if errors.Is(a.ctx.Err(), context.Canceled) { // cancel may have been ignored before
		a.cancel()
	}
}

// receiveResponse returns the response to the call. It discards responses to earlier requests on the connection.
func (a *attempt) receiveResponse() (*Response, error) {
	for unmatched := 0; ; unmatched++ {
		resp, err := a.readHead()
		if err != nil {
			return nil, err
		}
		if a.answersCall(resp) {
			return a.acceptResponse(resp)
		}
		if unmatched == maxUnmatchedResponses || !a.discardResponse(resp) {
			return nil, a.fail(apierror.MismatchedResponse, errMismatched)
		}
	}
}

// answersCall reports whether a response belongs to the call. A rejection without an attempt ID belongs to the call
// only if it is the first request on the connection. Otherwise the rejection may be a late response to an earlier
// request, while the endpoint executes this one.
func (a *attempt) answersCall(resp *http.Response) bool {
	id := resp.Header.Get(HeaderAttemptID)
	if a.call.AttemptID == "" || id == a.call.AttemptID {
		return true
	}
	return id == "" && isRejection(resp) && !isSuccess(resp) && !a.conn.usedBefore
}

// isRejection reports whether a response says that the endpoint did not execute the request.
func isRejection(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || len(resp.Header[HeaderNotExecuted]) > 0
}

func isSuccess(resp *http.Response) bool { return resp.StatusCode/100 == 2 }

// acceptResponse validates the response to the call and reads its body.
func (a *attempt) acceptResponse(resp *http.Response) (*Response, error) {
	switch {
	case isRejection(resp):
		return a.acceptRejection(resp)
	case len(resp.Header["Content-Encoding"]) > 0:
		return nil, a.fail(apierror.InvalidResponse, errContentEncoding)
	case isSuccess(resp) && len(resp.Header[HeaderServerSeal]) == 0:
		return nil, a.fail(apierror.MismatchedResponse, errNoSeal)
	case isSuccess(resp) && isCloseDelimited(resp, a.call.Method):
		return nil, a.fail(apierror.TruncatedResponse, errNoLength) // a truncated body would look complete
	}
	r := a.newResponse(resp)
	body, whole, err := a.readBody(resp)
	if err != nil {
		return nil, err
	}
	r.Body = body
	if !whole {
		r.Rest = &bodyReader{attempt: a, response: resp}
		a.markStreaming()
		return r, nil
	}
	if a.call.Method != http.MethodHead {
		r.Length = int64(len(body))
	}
	a.releaseAfterResponse(resp)
	return r, nil
}

// isKeyNotHeld reports whether the endpoint itself, and no other instance at its address, has rejected the request
// because it does not hold the request's shard key.
func (a *attempt) isKeyNotHeld(resp *http.Response) bool {
	instance := resp.Header.Get(HeaderInstanceID)
	return a.call.Sharded && resp.StatusCode == http.StatusMisdirectedRequest && len(resp.Header[HeaderNotExecuted]) > 0 &&
		(instance == "" || instance == a.call.EndpointID)
}

// rejectionBodyTimeout limits the wait for the body of a rejection.
const rejectionBodyTimeout = 50 * time.Millisecond

// acceptRejection returns the response of an endpoint that did not execute the request. The head alone decides that.
// The body is read only if it arrives quickly, so that it does not delay a retry.
func (a *attempt) acceptRejection(resp *http.Response) (*Response, error) {
	kind := apierror.RejectedByEndpoint
	switch {
	case a.isKeyNotHeld(resp):
		kind = apierror.KeyNotHeld
	case resp.StatusCode == http.StatusMisdirectedRequest:
		kind = apierror.Misdirected
	}
	r, rejection := a.newResponse(resp), apierror.New(kind, a.call.Address, nil)
	isBuffered := resp.ContentLength >= 0 && int64(a.conn.reader.Buffered()) >= resp.ContentLength
	if bodyDeadline := time.Now().Add(rejectionBodyTimeout); !isBuffered && bodyDeadline.Before(a.call.Deadline) {
		_ = a.conn.SetReadDeadline(bodyDeadline) // fails only on a closed connection
	}
	body, whole, err := a.readBody(resp)
	switch {
	case err != nil: // readBody has closed the connection
		r.Length = 0
	case !whole:
		r.Length = 0
		a.releaseConn(false)
	default:
		r.Body = body
		if a.call.Method != http.MethodHead {
			r.Length = int64(len(body))
		}
		a.releaseAfterResponse(resp)
	}
	return r, rejection
}

// fail closes the connection and returns an error for a request that the endpoint may have executed. If the context was
// cancelled, the kind is AttemptCancelled, which does not count as a failure of the endpoint.
func (a *attempt) fail(kind apierror.Kind, cause error) *apierror.Error {
	a.releaseConn(false)
	if a.cancelled.Load() {
		kind, cause = apierror.AttemptCancelled, a.ctx.Err()
	}
	return apierror.New(kind, a.call.Address, cause)
}

// failRead closes the connection and returns the error for a failed read. kindOnClose is the kind of the error if the
// endpoint closed or reset the connection.
func (a *attempt) failRead(kindOnClose apierror.Kind, err error) *apierror.Error {
	readErr := a.conn.readErr
	switch {
	case readErr == nil || errors.Is(readErr, errHeadTooLong): // data arrived but is not valid
		return a.fail(apierror.InvalidResponse, err)
	case errors.Is(readErr, os.ErrDeadlineExceeded) || errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return a.fail(apierror.ResponseTimeout, err)
	case a.sender.streamError() != nil: // the client's body is incomplete, so the sender closed the connection
		return a.fail(apierror.AttemptCancelled, a.sender.streamError())
	}
	return a.fail(kindOnClose, readErr)
}

// releaseAfterResponse releases the connection after a complete response. The connection is reusable only if both sides
// agree on its state, and if the request has an attempt ID or is a health check: a late response to any other request
// could not be recognized.
func (a *attempt) releaseAfterResponse(resp *http.Response) {
	isIdentifiable := a.call.AttemptID != "" || a.conn.servedHealthCheck
	isSynchronized := !a.desynchronized && a.conn.reader.Buffered() == 0 && a.sender.isDone()
	staysOpen := !resp.Close && resp.ProtoAtLeast(1, 1)
	a.releaseConn(isSynchronized && staysOpen && isIdentifiable)
}

// releaseConn returns the connection to the pool if it is reusable, and closes it otherwise. It is called exactly once
// per attempt.
func (a *attempt) releaseConn(reusable bool) {
	if a.stopCancelWatch != nil && !a.stopCancelWatch() {
		reusable = false // cancel has started and may close the connection
	}
	if !reusable {
		a.pool.closeConn(a.conn)
		return
	}
	a.conn.usedBefore = true
	a.conn.servedHEAD = a.conn.servedHEAD || a.call.Method == http.MethodHead
	a.pool.putIdleConn(a.conn, a.idleTimeout, a.call.MaxConns)
}

// bodyReader streams the rest of a response body.
type bodyReader struct {
	attempt  *attempt
	response *http.Response
	err      error // result of all further reads
}

// Read releases the connection at io.EOF.
func (b *bodyReader) Read(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.response.Body.Read(buf)
	switch {
	case err == io.EOF:
		b.err = io.EOF
		b.attempt.releaseAfterResponse(b.response)
	case err != nil:
		b.err = b.attempt.failRead(apierror.TruncatedResponse, err)
	}
	return n, b.err
}

// Close closes the connection unless the body was read to its end.
func (b *bodyReader) Close() error {
	if b.err == nil {
		b.err = net.ErrClosed
		b.attempt.releaseConn(false)
	}
	return nil
}
