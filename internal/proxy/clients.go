package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/proxy/socket"
)

const (
	// Timeouts of client connections while no configuration is known.
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
	// maxServerHeaderBytes exceeds the limit of any valid configuration; parseHead enforces the configured one.
	maxServerHeaderBytes = 1 << 20
)

// connPhase is the state of a client connection.
type connPhase int32

const (
	phaseHeader connPhase = iota // waiting for the first byte of a request, or reading its header
	phaseActive                  // handling a request
	phaseIdle                    // waiting between requests
)

// clientConn is a client connection whose read deadlines follow the current configuration: the timeouts of http.Server
// cannot change while connections are open. The server clears the deadline when it starts to wait for the next request,
// when that request begins, and when it ends a background read. SetReadDeadline then sets the deadline of the phase.
//
// Embedding the net.Conn interface hides net.TCPConn.ReadFrom: the platform has no sendfile or splice.
type clientConn struct {
	net.Conn
	proxy  *Proxy
	ahead  readAhead
	probe  *socket.Probe      // used by the goroutine that handles a request
	ctx    context.Context    // of all requests on the connection; canceled when the client disconnects
	cancel context.CancelFunc // cancels ctx
	// inFlight is the request to notify when the client disconnects; nil: none.
	inFlight atomic.Pointer[forwardedRequest]
	phase    atomic.Int32 // a connPhase
	closed   atomic.Bool
}

func newClientConn(netConn net.Conn, p *Proxy) *clientConn {
	c := &clientConn{Conn: netConn, proxy: p, probe: socket.NewProbe(netConn)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ahead.conn, c.ahead.onDisconnect, c.ahead.totalBuffered = netConn, c.onDisconnect, &p.readAheadBytes
	return c
}

// backgroundReadBytes is the size of the reads with which http.Server watches a connection during a request.
const backgroundReadBytes = 1

// Read returns the bytes that were read ahead first. Once a background read returns a byte, http.Server stops watching
// the connection, so Read starts to read ahead. An error counts as a disconnect of the client unless it is a timeout;
// http.Server cancels the contexts of requests after a timeout too, so these contexts are not used.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.ahead.read(b)
	if err != nil && !isTimeout(err) {
		c.onDisconnect()
	}
	if n == backgroundReadBytes && len(b) == backgroundReadBytes {
		c.ahead.start()
	}
	return n, err
}

// onDisconnect is called when a disconnect of the client is detected, possibly more than once.
func (c *clientConn) onDisconnect() {
	c.cancel()
	if f := c.inFlight.Swap(nil); f != nil {
		c.proxy.onClientDisconnect(f)
	}
}

func (c *clientConn) setPhase(phase connPhase) { c.phase.Store(int32(phase)) }

// SetReadDeadline replaces the zero time with the deadline of the current phase.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		t = c.phaseDeadline()
	}
	return c.ahead.setDeadline(t)
}

func (c *clientConn) phaseDeadline() time.Time {
	limits := routeconfig.Limits{HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
	if config := c.proxy.config.Load(); config != nil {
		limits = config.Limits
	}
	switch connPhase(c.phase.Load()) {
	case phaseIdle:
		c.setPhase(phaseHeader)
		return time.Now().Add(limits.IdleTimeout)
	case phaseHeader:
		return time.Now().Add(limits.HeaderTimeout)
	case phaseActive:
	}
	return time.Time{}
}

// Close closes the connection and, on the first call, removes it from the connection count.
func (c *clientConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.proxy.clientConns.Add(-1)
		c.ahead.release()
		c.onDisconnect()
	}
	return c.Conn.Close()
}

// clientListener limits the number of open client connections.
type clientListener struct {
	net.Listener
	proxy *Proxy
}

// Accept closes connections over the limit at once.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.proxy.clientConns.Add(1) > l.proxy.maxClientConns {
			l.proxy.clientConns.Add(-1)
			_ = netConn.Close() // nothing was read from it
			continue
		}
		c := newClientConn(netConn, l.proxy)
		_ = c.SetReadDeadline(time.Time{}) // http.Server sets no deadline before the first request
		return c, nil
	}
}

// Serve handles client connections until Shutdown.
func (p *Proxy) Serve(l net.Listener) error {
	return p.server.Serve(clientListener{l, p})
}

// newServer returns the HTTP server for clients. Requests of every method and path reach handle unchanged: no path is
// cleaned and no client redirected.
func (p *Proxy) newServer() *http.Server {
	mux := chi.NewRouter()
	mux.NotFound(p.handle)
	mux.MethodNotAllowed(p.handle)
	return &http.Server{
		Handler:                      mux,
		MaxHeaderBytes:               maxServerHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     p.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnState:                    updatePhase,
		ConnContext:                  contextWithConn,
	}
}

// connKey is the context key for the *clientConn of a request.
type connKey struct{}

// contextWithConn stores the connection in the context of its requests.
func contextWithConn(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

func updatePhase(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(phaseActive)
		_ = c.ahead.setDeadline(time.Time{}) // fails only on a closed connection
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
