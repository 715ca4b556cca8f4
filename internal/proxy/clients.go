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
	// Limits of a client's connection before a configuration is known.
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
	// maxServerHeaderBytes is above what any configuration allows: parseHead holds to that.
	maxServerHeaderBytes = 1 << 20
)

// connPhase is what a client's connection is doing.
type connPhase int32

const (
	phaseHeader connPhase = iota // from the first byte that is awaited to the end of the header
	phaseActive                  // a request is handled
	phaseIdle                    // between requests
)

// clientConn bounds how long a client may take or stay idle, by the limits that are committed when it begins to:
// http.Server's own fields cannot change while connections are open. The server sets no deadline (the zero time) at
// three moments: when it waits for the next request, when that begins, and when it ends reading in the background.
//
// Embedding the interface hides ReadFrom of the net.TCPConn underneath: the platform has no sendfile or splice.
type clientConn struct {
	net.Conn
	proxy  *Proxy
	ahead  readAhead
	probe  *socket.Probe      // of the goroutine that handles a request
	ctx    context.Context    // of all its requests: it ends when the client is seen to leave
	cancel context.CancelFunc // ends ctx
	// forwarding is the request that is to be told when the client is seen to leave; nil: none is.
	forwarding atomic.Pointer[forwarding]
	phase      atomic.Int32 // a connPhase
	closed     atomic.Bool
}

func newClientConn(netConn net.Conn, p *Proxy) *clientConn {
	c := &clientConn{Conn: netConn, proxy: p, probe: socket.NewProbe(netConn)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ahead.conn, c.ahead.onDisconnect, c.ahead.total = netConn, c.onDisconnect, &p.readAheadBytes
	return c
}

// backgroundReadBytes is how much http.Server asks for when it looks for the end of a connection during a request.
const backgroundReadBytes = 1

// Read reads what was read ahead first. With the byte that a read in the background gets, http.Server stops looking for
// the end of the connection: from there on it is read ahead. An end that any reader meets is the client's leaving; a
// deadline is none, while http.Server cancels the contexts of its requests after that too.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.ahead.read(b)
	if err != nil && !isTimeout(err) {
		c.onDisconnect()
	}
	if n == backgroundReadBytes && len(b) == backgroundReadBytes {
		c.ahead.begin()
	}
	return n, err
}

// onDisconnect is called when the client is seen to leave, and may be called again.
func (c *clientConn) onDisconnect() {
	c.cancel()
	if f := c.forwarding.Swap(nil); f != nil {
		c.proxy.onClientDisconnect(f)
	}
}

func (c *clientConn) setPhase(phase connPhase) { c.phase.Store(int32(phase)) }

// SetReadDeadline sets the deadline of the phase in place of no deadline.
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

// Close counts the connection off, once.
func (c *clientConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.proxy.clients.Add(-1)
		c.ahead.release()
		c.onDisconnect()
	}
	return c.Conn.Close()
}

// clientListener accepts as many connections as the process may have.
type clientListener struct {
	net.Listener
	proxy *Proxy
}

// Accept closes connections beyond the limit at once.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.proxy.clients.Add(1) > l.proxy.maxClients {
			l.proxy.clients.Add(-1)
			_ = netConn.Close() // nothing was read from it
			continue
		}
		c := newClientConn(netConn, l.proxy)
		_ = c.SetReadDeadline(time.Time{}) // the server sets none before the first request
		return c, nil
	}
}

// Serve handles clients' connections until Shutdown.
func (p *Proxy) Serve(l net.Listener) error {
	return p.server.Serve(clientListener{l, p})
}

// newServer makes the server of clients' connections. Every path and method is handled as it came; nothing is
// cleaned or redirected.
func (p *Proxy) newServer() *http.Server {
	mux := chi.NewRouter()
	mux.NotFound(p.handle)
	mux.MethodNotAllowed(p.handle)
	return &http.Server{
		Handler:                      mux,
		MaxHeaderBytes:               maxServerHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     p.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnState:                    followPhase,
		ConnContext:                  withClientConn,
	}
}

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

// withClientConn lets the requests of a connection find it.
func withClientConn(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

func followPhase(netConn net.Conn, state http.ConnState) {
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
