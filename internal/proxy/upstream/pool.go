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
	// idleMargin is the least time before the announced end of an idle connection at which it is given up, because a
	// request that crosses its close may have been executed for all that can be known.
	idleMargin = 700 * time.Millisecond
)

// Options of a Pool. Zero values stand for the defaults.
type Options struct {
	// Dial connects to an endpoint. Default: TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// DialTimeout bounds connecting. Default: 250 ms.
	DialTimeout time.Duration
	// MaxBufferedBody is how many bytes of a body are read before Do returns. Default: 64 KiB.
	MaxBufferedBody int
	// MaxIdleConns is how many idle connections an endpoint may have. Default: 8.
	MaxIdleConns int
	// IdleTimeout is how long a connection may be idle if the endpoint announces nothing. Default: 8 s.
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

// Pool owns the connections to all endpoints. It is safe for concurrent use and has no goroutine of its own.
type Pool struct {
	options Options
	mu      sync.Mutex
	hosts   map[string]*host // by address
}

// host is an endpoint's address.
type host struct {
	idle       []*conn // the one used last at the end
	connCount  int     // busy ones and those coming up included
	generation int     // rises with CloseIdle: connections of an earlier one do not come back
}

// New makes an empty Pool.
func New(o Options) *Pool {
	o.setDefaults()
	return &Pool{options: o, hosts: map[string]*host{}}
}

// acquire finds a quiet idle connection or dials. fresh: dial in any case, because a request without an id cannot tell
// its response from the late one to an earlier request.
func (p *Pool) acquire(ctx context.Context, c *Call, fresh bool) (*conn, error) {
	now := p.options.Now()
	if !now.Before(c.Deadline) {
		return nil, apierror.New(apierror.DeadlineExceeded, c.Address, nil)
	}
	if err := ctx.Err(); err != nil {
		return nil, apierror.New(apierror.ClientDisconnected, c.Address, err)
	}
	if !fresh {
		if k := p.reuse(c, now); k != nil {
			return k, nil
		}
	}
	k, err := p.dial(ctx, c.Address, c.Deadline)
	if err != nil {
		return nil, err
	}
	// An endpoint resets connections beyond its maxConns at once. Seen here, the request is known not to be executed.
	if err := k.checkQuiet(); err != nil {
		p.closeConn(k)
		if errors.Is(err, socket.ErrUnreadData) {
			return nil, apierror.New(apierror.ConnectFailed, c.Address, err)
		}
		return nil, apierror.New(apierror.EndpointsSaturated, c.Address, err)
	}
	return k, nil
}

// reuse takes an idle connection that is fit for a call, and closes those that are not; nil: there is none.
func (p *Pool) reuse(c *Call, now time.Time) *conn {
	for {
		k := p.popIdle(c.Address)
		if k == nil {
			return nil
		}
		// A second attempt with the same id must not meet a surplus response to the first: the id would not show it.
		mayMeetOwnID := k.lastAttemptID != "" && k.lastAttemptID == c.AttemptID
		if now.Before(k.idleUntil) && !mayMeetOwnID {
			_ = k.SetDeadline(c.Deadline) // before the check: the last attempt's deadline may have passed
			if k.checkQuiet() == nil {
				return k
			}
		}
		p.closeConn(k)
	}
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*conn, error) {
	generation := p.countDial(address)
	end := p.options.Now().Add(p.options.DialTimeout)
	if end.After(deadline) {
		end = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, end)
	netConn, err := p.options.Dial(dialCtx, address)
	cancel()
	if err != nil {
		p.noteClosed(address)
		return nil, p.notSentError(ctx, address, deadline, err)
	}
	k := newConn(netConn, address, generation)
	k.idleUntil = p.options.Now().Add(p.options.IdleTimeout) // unless a response announces another time
	_ = k.SetDeadline(deadline)                              // fails only on a closed connection
	return k, nil
}

// countDial counts a connection that is coming up, and returns the generation of its host.
func (p *Pool) countDial(address string) (generation int) {
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

// Connect brings up a connection that the next request can use: it shows that an endpoint's machine is there without
// putting a request at risk.
func (p *Pool) Connect(ctx context.Context, address string) error {
	k, err := p.dial(ctx, address, p.options.Now().Add(p.options.DialTimeout+time.Millisecond))
	if err == nil {
		p.putIdle(k, p.options.IdleTimeout, 0)
	}
	return err
}

// notSentError is the error of a request of which no byte was written. A client that left is no failure of the
// endpoint.
func (p *Pool) notSentError(ctx context.Context, address string, deadline time.Time, err error) *apierror.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return apierror.New(apierror.ClientDisconnected, address, ctx.Err())
	case !p.options.Now().Before(deadline):
		return apierror.New(apierror.DeadlineExceeded, address, err)
	}
	return apierror.New(apierror.ConnectFailed, address, err)
}

// popIdle takes the idle connection that was used last; nil: there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	k := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return k
}

// putIdle takes a connection back for some time, in place of the oldest idle one if there are too many.
func (p *Pool) putIdle(k *conn, idleTimeout time.Duration, maxConns int) {
	k.idleUntil = p.options.Now().Add(idleTimeout)
	if surplus := p.addIdle(k, idleTimeout, maxConns); surplus != nil {
		_ = surplus.Close() // what it carried is done
	}
}

// putUnused gives back a connection on which nothing was written since it was acquired. It may be idle for as long as
// before.
func (p *Pool) putUnused(k *conn) { p.putIdle(k, k.idleUntil.Sub(p.options.Now()), 0) }

// addIdle returns the connection that is to be closed, if any. That one is counted off under the same lock: two
// attempts that end at once must not both find one connection too many.
func (p *Pool) addIdle(k *conn, idleTimeout time.Duration, maxConns int) (surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[k.address]
	surplus = k
	if idleTimeout > 0 && k.generation == h.generation {
		h.idle = append(h.idle, k)
		surplus = nil
		tooMany := len(h.idle) > p.options.MaxIdleConns || maxConns > 0 && h.connCount > maxConns
		if tooMany {
			surplus = h.idle[0]
			h.idle = append(h.idle[:0], h.idle[1:]...)
		}
	}
	if surplus != nil {
		p.countClosed(k.address, h)
	}
	return surplus
}

// closeConn closes a connection that is on no list.
func (p *Pool) closeConn(k *conn) {
	_ = k.Close() // nothing on it is wanted any more
	p.noteClosed(k.address)
}

func (p *Pool) noteClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosed(address, p.hosts[address])
}

// countClosed counts a connection off; the lock is held.
func (p *Pool) countClosed(address string, h *host) {
	h.connCount--
	if h.connCount == 0 {
		delete(p.hosts, address)
	}
}

// OpenConns is the number of connections to an address: idle, busy and coming up.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return h.connCount
	}
	return 0
}

// TotalConns is the number of connections to all addresses: idle, busy and coming up.
func (p *Pool) TotalConns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		n += h.connCount
	}
	return n
}

// IdleConns is the number of idle connections to an address.
func (p *Pool) IdleConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return len(h.idle)
	}
	return 0
}

// CloseIdle closes the idle connections to an address, and the busy ones as they come back.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var idle []*conn
	if h := p.hosts[address]; h != nil {
		idle, h.idle = h.idle, nil
		h.generation++
	}
	p.mu.Unlock()
	for _, k := range idle {
		p.closeConn(k)
	}
}

// PruneIdle closes the idle connections whose time is up, before the other side does. Call it about once a second.
func (p *Pool) PruneIdle(now time.Time) {
	for _, k := range p.takeExpired(now) {
		p.closeConn(k)
	}
}

func (p *Pool) takeExpired(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, k := range h.idle {
			if now.Before(k.idleUntil) {
				kept = append(kept, k)
			} else {
				expired = append(expired, k)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	return expired
}

// idleTimeout is how long a connection may be idle: what the endpoint announces, less idleMargin or a quarter. 0:
// not at all.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
			if ok && strings.EqualFold(name, "timeout") {
				return p.announcedTimeout(strings.Trim(text, `" `))
			}
		}
	}
	return p.options.IdleTimeout
}

func (p *Pool) announcedTimeout(text string) time.Duration {
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

// A machine without power says nothing at all. Bytes that stay unacknowledged end the connection, and so does a
// keep-alive probe without an answer while a request is executing there; the kernel's own limits are minutes and
// hours. An idempotent request can then still be served elsewhere. Without these options the attempt's deadline
// still holds, so an error is no reason to fail.
const (
	unacknowledgedTimeout = 800 * time.Millisecond
	keepAliveInterval     = time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall lacks.
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
