package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"elmfold/internal/gateway/apierror"
)

// home is a backend's address. era rises when the address is forgotten: connections of an earlier era don't come back.
type home struct {
	idle []*conn // the one used last at the end
	open int     // standing, busy ones and those coming up included
	era  int
}

// conn is a connection, owned by one try at a time or by its home's idle list.
type conn struct {
	net.Conn
	br      *bufio.Reader // over the conn itself
	addr    string
	era     int
	until   time.Time       // when it is to be closed, if idle
	last    string          // id of the last request on it
	used    bool            // it has carried a request before the one that is under way
	heads   bool            // ... one by HEAD, whose surplus answer would have no end that can be found
	bare    bool            // it has carried a request without an id
	room    int             // bytes that may still be read for a head; -1: no bound
	seen    bool            // bytes of the answer being read have come
	broke   error           // what ended reading
	raw     syscall.RawConn // nil: it can't be looked at
	look    func(fd uintptr) bool
	looked  error
	glimpse [1]byte
}

func newConn(nc net.Conn, addr string, era int) *conn {
	k := &conn{Conn: nc, addr: addr, era: era, room: -1}
	k.br = bufio.NewReaderSize(k, readSize)
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			k.raw, k.look = raw, k.peek // bound once: a method value costs an allocation
		}
	}
	return k
}

// Read is what br fills itself from. It bounds heads and remembers what ended the connection.
func (k *conn) Read(b []byte) (int, error) {
	if k.room >= 0 && len(b) > k.room {
		if b = b[:k.room]; k.room == 0 {
			k.broke = errHead
			return 0, errHead
		}
	}
	n, err := k.Conn.Read(b)
	if k.room >= 0 {
		k.room -= n
	}
	k.seen = k.seen || n > 0
	if err != nil {
		k.broke = err
	}
	return n, err
}

// peek runs on the descriptor, without waiting.
func (k *conn) peek(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), k.glimpse[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN, err == syscall.EINTR, err == syscall.ENOSYS, err == syscall.EPERM:
		k.looked = nil // quiet, or no way to see
	case err != nil:
		k.looked = err
	case n == 0:
		k.looked = io.EOF
	default:
		k.looked = errSurplus
	}
	return true
}

// quiet is nil if the connection stands and nothing waits on it. Nothing has been written yet when it is asked, so
// giving up one that isn't quiet is no retry.
func (k *conn) quiet() error {
	if k.raw == nil {
		return nil
	}
	if err := k.raw.Read(k.look); err != nil {
		return err
	}
	return k.looked
}

// take finds a quiet idle connection or dials. fresh: dial in any case; a request without an id can't tell its answer
// from the late one of an earlier request.
func (p *Pool) take(ctx context.Context, c *Call, fresh bool) (*conn, error) {
	addr, deadline, now := c.Addr, c.Deadline, p.o.Now()
	if !now.Before(deadline) {
		return nil, apierror.New(apierror.DeadlineExceeded, addr, nil)
	}
	if err := ctx.Err(); err != nil {
		return nil, apierror.New(apierror.ConnectFailed, addr, err)
	}
	for !fresh {
		k := p.pop(addr)
		if k == nil {
			break
		}
		// A second try with the same id must not meet a surplus answer to the first: the id would not show it.
		if now.Before(k.until) && (k.last == "" || k.last != c.AttemptID) {
			k.SetDeadline(deadline) // before the look: the last try's deadline may have passed
			if k.quiet() == nil {
				return k, nil
			}
		}
		p.drop(k)
	}
	k, err := p.open(ctx, addr, deadline)
	if err != nil {
		return nil, err
	}
	if err := k.quiet(); err != nil { // beyond maxConns a backend resets at once: seen here, it's known not to have run
		p.drop(k)
		if err == errSurplus {
			return nil, apierror.New(apierror.ConnectFailed, addr, err)
		}
		return nil, apierror.New(apierror.EndpointsSaturated, addr, err)
	}
	return k, nil
}

// open dials.
func (p *Pool) open(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	p.mu.Lock()
	h := p.homes[addr]
	if h == nil {
		h = &home{}
		p.homes[addr] = h
	}
	h.open++
	era := h.era
	p.mu.Unlock()
	end := p.o.Now().Add(p.o.DialTimeout)
	if end.After(deadline) {
		end = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	nc, err := p.o.Dial(ctx, addr)
	cancel()
	if err != nil {
		p.closed(addr)
		return nil, p.unsent(addr, deadline, err)
	}
	k := newConn(nc, addr, era)
	k.SetDeadline(deadline)
	return k, nil
}

// Connect brings up a connection that the next request can use: it shows that a backend's machine is there again
// without putting a request at risk.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	k, err := p.open(ctx, addr, p.o.Now().Add(p.o.DialTimeout+time.Millisecond))
	if err == nil {
		p.put(k, p.o.IdleFor, 0)
	}
	return err
}

// unsent is the fault of a request of which no byte was written.
func (p *Pool) unsent(addr string, deadline time.Time, err error) *apierror.Error {
	if !p.o.Now().Before(deadline) {
		return apierror.New(apierror.DeadlineExceeded, addr, err)
	}
	return apierror.New(apierror.ConnectFailed, addr, err)
}

// pop takes the idle connection used last.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.homes[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	k := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return k
}

// put takes a connection back for some time, in place of the oldest idle one if there are too many.
func (p *Pool) put(k *conn, keep time.Duration, mostOpen int) {
	k.until = p.o.Now().Add(keep)
	p.mu.Lock()
	h := p.homes[k.addr]
	if keep > 0 && k.era == h.era {
		h.idle = append(h.idle, k)
		k = nil
		if len(h.idle) > p.o.MostIdle || mostOpen > 0 && h.open > mostOpen {
			k = h.idle[0]
			h.idle = append(h.idle[:0], h.idle[1:]...)
		}
	}
	if k != nil { // counted off under the same lock: two that end at once must not both find one too many
		p.left(k.addr, h)
	}
	p.mu.Unlock()
	if k != nil {
		k.Conn.Close()
	}
}

// drop closes a connection that is on no list.
func (p *Pool) drop(k *conn) {
	k.Conn.Close()
	p.closed(k.addr)
}

func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left(addr, p.homes[addr])
}

// left counts a connection off; the lock is held.
func (p *Pool) left(addr string, h *home) {
	if h.open--; h.open == 0 {
		delete(p.homes, addr)
	}
}

// Open is the number of connections to the address: idle, busy and coming up.
func (p *Pool) Open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.homes[addr]; h != nil {
		return h.open
	}
	return 0
}

// Idle is the number of idle connections to the address.
func (p *Pool) Idle(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.homes[addr]; h != nil {
		return len(h.idle)
	}
	return 0
}

// Forget closes the address's idle connections, and the busy ones as they come back.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	var idle []*conn
	if h := p.homes[addr]; h != nil {
		idle, h.idle = h.idle, nil
		h.era++
	}
	p.mu.Unlock()
	for _, k := range idle {
		p.drop(k)
	}
}

// Prune closes the idle connections whose time is up, before the other side does. Call it about once a second.
func (p *Pool) Prune(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for _, h := range p.homes {
		kept := h.idle[:0]
		for _, k := range h.idle {
			if now.Before(k.until) {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, k := range old {
		p.drop(k)
	}
}

// keepFor is how long a connection may be idle: the backend's word less 0.7 s and at least a quarter of it, since a
// request that crosses its close may have run for all that can be known. 0: not at all.
func (p *Pool) keepFor(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for _, part := range strings.Split(v, ",") {
			name, n, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || !strings.EqualFold(name, "timeout") {
				continue
			}
			s, err := strconv.ParseUint(strings.Trim(n, `" `), 10, 20)
			switch {
			case errors.Is(err, strconv.ErrRange):
				return p.o.IdleFor
			case err != nil:
				return 0
			}
			told := time.Duration(s) * time.Second
			return max(0, told-max(700*time.Millisecond, told/4))
		}
	}
	return p.o.IdleFor
}

// A machine without power says nothing at all: bytes that stay unacknowledged end the connection, and so does a probe
// without an answer while a request is at work there, where the kernel would go on for minutes or hours. A safe request
// can then still be served elsewhere. Without these options the try's deadline still holds, so an error is no reason
// to fail.
const (
	unackedFor = 800 * time.Millisecond
	probeAfter = time.Second

	tcpUserTimeout = 18 // of IPPROTO_TCP; syscall does not name it
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: 1},
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedFor.Milliseconds()))
		})
	},
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", addr)
}
