package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/socket"
)

const (
	defaultDialTimeout     = 250 * time.Millisecond
	defaultMaxBufferedBody = 64 << 10
	defaultMaxIdleConns    = 8
	defaultIdleTimeout     = 8 * time.Second
	// idleMargin is the minimum time by which an idle connection is closed before the timeout that the endpoint
	// announced. A request that crosses the endpoint's close may or may not be executed.
	idleMargin = 700 * time.Millisecond
)

// Options configures a Pool. Zero values mean the defaults.
type Options struct {
	// Dial connects to an endpoint. Default: TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// DialTimeout limits the time to connect. Default: 250 ms.
	DialTimeout time.Duration
	// MaxBufferedBody is the maximum number of body bytes that Do reads before it returns. Default: 64 KiB.
	MaxBufferedBody int
	// MaxIdleConns is the maximum number of idle connections per address. Default: 8.
	MaxIdleConns int
	// IdleTimeout applies to idle connections if the endpoint announces no timeout. Default: 8 s.
	IdleTimeout time.Duration
}

func (o *Options) setDefaults() {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxBufferedBody == 0 {
		o.MaxBufferedBody = defaultMaxBufferedBody
	}
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = defaultMaxIdleConns
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
}

// Pool manages the connections to all endpoints. It is safe for concurrent use and starts no background goroutine.
type Pool struct {
	options Options
	mu      sync.Mutex
	hosts   map[string]*host // by address
}

// host holds the connections to one address.
type host struct {
	idle       []*persistConn // in order of last use
	connCount  int            // idle, in use, or being dialled
	generation int            // incremented by CloseIdle; connections of earlier generations are not reused
}

// New returns an empty Pool.
func New(o Options) *Pool {
	o.setDefaults()
	return &Pool{options: o, hosts: map[string]*host{}}
}

// acquire returns a usable idle connection or dials a new one. With forceDial it always dials: a request without an
// attempt ID cannot tell its response from a late one to an earlier request.
func (p *Pool) acquire(ctx context.Context, c *Call, forceDial bool) (*persistConn, error) {
	now := p.options.Now()
	if !now.Before(c.Deadline) {
		return nil, apierror.New(apierror.DeadlineExceeded, c.Address, nil)
	}
	if err := ctx.Err(); err != nil {
		return nil, apierror.New(apierror.ClientDisconnected, c.Address, err)
	}
	if !forceDial {
		if pc := p.reuseIdleConn(c, now); pc != nil {
			return pc, nil
		}
	}
	pc, err := p.dial(ctx, c.Address, c.Deadline)
	if err != nil {
		return nil, err
	}
	// An endpoint at its connection limit resets new connections at once. Detected before the request is written, this
	// shows that the request was not executed.
	if err := pc.checkUsable(); err != nil {
		p.closeConn(pc)
		if errors.Is(err, socket.ErrUnreadData) {
			return nil, apierror.New(apierror.ConnectFailed, c.Address, err)
		}
		return nil, apierror.New(apierror.EndpointsSaturated, c.Address, err)
	}
	return pc, nil
}

// reuseIdleConn returns an idle connection that is usable for a call, or nil. It closes unusable ones on the way.
func (p *Pool) reuseIdleConn(c *Call, now time.Time) *persistConn {
	for {
		pc := p.popIdleConn(c.Address)
		if pc == nil {
			return nil
		}
		// A late response to an earlier attempt with the same ID would be taken for this call's response.
		isSameAttemptID := pc.lastAttemptID != "" && pc.lastAttemptID == c.AttemptID
		if now.Before(pc.idleUntil) && !isSameAttemptID {
			_ = pc.SetDeadline(c.Deadline) // the previous attempt's deadline may have passed
			if pc.checkUsable() == nil {
				return pc
			}
		}
		p.closeConn(pc)
	}
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*persistConn, error) {
	generation := p.addConn(address)
	end := p.options.Now().Add(p.options.DialTimeout)
	if end.After(deadline) {
		end = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, end)
	netConn, err := p.options.Dial(dialCtx, address)
	cancel()
	if err != nil {
		p.removeConn(address)
		return nil, p.notSentError(ctx, address, deadline, err)
	}
	pc := newPersistConn(netConn, address, generation)
	pc.idleUntil = p.options.Now().Add(p.options.IdleTimeout) // until a response announces another timeout
	_ = pc.SetDeadline(deadline)                              // fails only on a closed connection
	return pc, nil
}

// addConn counts a connection that is being dialled and returns the generation of its host.
func (p *Pool) addConn(address string) (generation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	h.connCount++
	return h.generation
}

// Connect opens an idle connection. It tests whether an endpoint is reachable without risking a request.
func (p *Pool) Connect(ctx context.Context, address string) error {
	pc, err := p.dial(ctx, address, p.options.Now().Add(p.options.DialTimeout+time.Millisecond))
	if err == nil {
		p.putIdleConn(pc, p.options.IdleTimeout, 0)
	}
	return err
}

// notSentError returns the error for a request of which no byte was written. If the context was cancelled, the kind is
// ClientDisconnected, which does not count as a failure of the endpoint.
func (p *Pool) notSentError(ctx context.Context, address string, deadline time.Time, err error) *apierror.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return apierror.New(apierror.ClientDisconnected, address, ctx.Err())
	case !p.options.Now().Before(deadline):
		return apierror.New(apierror.DeadlineExceeded, address, err)
	}
	return apierror.New(apierror.ConnectFailed, address, err)
}

// popIdleConn removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdleConn(address string) *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	pc := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return pc
}

// putIdleConn returns a connection to the pool, or closes it if it must not be reused. If there are too many, it closes
// the least recently used idle one.
func (p *Pool) putIdleConn(pc *persistConn, idleTimeout time.Duration, maxConns int) {
	pc.idleUntil = p.options.Now().Add(idleTimeout)
	if evicted := p.storeIdle(pc, idleTimeout, maxConns); evicted != nil {
		_ = evicted.Close() // the connection is idle
	}
}

// putUnused returns an acquired connection on which nothing was written. Its idle timeout does not start anew.
func (p *Pool) putUnused(pc *persistConn) { p.putIdleConn(pc, pc.idleUntil.Sub(p.options.Now()), 0) }

// storeIdle adds a connection to the idle list and returns the connection to close, if any: the least recently used one
// if there are too many, or the connection itself if it must not be reused. It removes that connection from the count
// under the same lock, so that two attempts that end at once do not both close a connection.
func (p *Pool) storeIdle(pc *persistConn, idleTimeout time.Duration, maxConns int) (evicted *persistConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[pc.address]
	evicted = pc
	if idleTimeout > 0 && pc.generation == h.generation {
		h.idle = append(h.idle, pc)
		evicted = nil
		tooMany := len(h.idle) > p.options.MaxIdleConns || maxConns > 0 && h.connCount > maxConns
		if tooMany {
			evicted = h.idle[0]
			h.idle = append(h.idle[:0], h.idle[1:]...)
		}
	}
	if evicted != nil {
		p.removeConnLocked(pc.address, h)
	}
	return evicted
}

// closeConn closes a connection that is not in an idle list.
func (p *Pool) closeConn(pc *persistConn) {
	_ = pc.Close() // nothing is left to do about an error
	p.removeConn(pc.address)
}

func (p *Pool) removeConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConnLocked(address, p.hosts[address])
}

// removeConnLocked removes a closed connection from the count. The caller holds p.mu.
func (p *Pool) removeConnLocked(address string, h *host) {
	h.connCount--
	if h.connCount == 0 {
		delete(p.hosts, address)
	}
}

// OpenConns returns the number of connections to an address: idle, in use, or being dialled.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return h.connCount
	}
	return 0
}

// TotalConns returns the number of connections to all addresses: idle, in use, or being dialled.
func (p *Pool) TotalConns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		n += h.connCount
	}
	return n
}

// IdleConns returns the number of idle connections to an address.
func (p *Pool) IdleConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return len(h.idle)
	}
	return 0
}

// CloseIdle closes the idle connections to an address at once, and those in use or being dialled after their attempts.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var idle []*persistConn
	if h := p.hosts[address]; h != nil {
		idle, h.idle = h.idle, nil
		h.generation++
	}
	p.mu.Unlock()
	for _, pc := range idle {
		p.closeConn(pc)
	}
}

// PruneIdle closes idle connections whose timeout has expired. It should be called about once a second.
func (p *Pool) PruneIdle(now time.Time) {
	for _, pc := range p.takeExpired(now) {
		p.closeConn(pc)
	}
}

func (p *Pool) takeExpired(now time.Time) (expired []*persistConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, pc := range h.idle {
			if now.Before(pc.idleUntil) {
				kept = append(kept, pc)
			} else {
				expired = append(expired, pc)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	return expired
}

// parseIdleTimeout returns the idle timeout of a connection from the response header: the timeout that the endpoint
// announces in Keep-Alive less a margin, or Options.IdleTimeout. 0 means that the connection must not be reused.
func (p *Pool) parseIdleTimeout(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
			if ok && strings.EqualFold(name, "timeout") {
				return p.announcedIdleTimeout(strings.Trim(text, `" `))
			}
		}
	}
	return p.options.IdleTimeout
}

func (p *Pool) announcedIdleTimeout(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 20)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return p.options.IdleTimeout
	case err != nil:
		return 0
	}
	announced := time.Duration(seconds) * time.Second
	return max(0, announced-max(idleMargin, announced/4))
}

// TCP options that detect an endpoint whose machine has lost power. The connection fails after data stays
// unacknowledged, or after a keep-alive probe stays unanswered; the kernel's defaults are minutes to hours. An
// idempotent request can then be retried in time. If the options cannot be set, the attempt's deadline still applies,
// so errors are ignored.
const (
	unacknowledgedTimeout = 800 * time.Millisecond
	keepAliveInterval     = time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall does not define.
	tcpUserTimeout = 18
)

var tcpDialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveInterval,
		Interval: keepAliveInterval,
		Count:    1,
	},
	Control: func(_, _ string, rawConn syscall.RawConn) error {
		return rawConn.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
				int(unacknowledgedTimeout.Milliseconds()))
		})
	},
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpDialer.DialContext(ctx, "tcp4", address)
}
