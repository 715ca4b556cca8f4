package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	window  = 256 << 10              // bytes on their way or unread on one direction of a connection
	backlog = 256                    // connections that nobody has accepted yet
	resend  = 100 * time.Millisecond // after a cut, until what it held up is sent again
)

// never is the arrival of what a cut holds up.
var never = time.Unix(1<<40, 0)

// Net joins the machines of a world. Bytes arrive after a delay, in order, once; what a cut holds up arrives after it.
// It lives inside one synctest bubble: waiting is on channels and timers only, and the one lock is never held over it.
type Net struct {
	mu         sync.Mutex
	delay      func(from, to string) time.Duration // one way, by the machines' ip
	ports      map[string]*listener                // by "ip:port"
	ends       map[*end]bool
	partitions map[[2]string]int       // from, to: how many hold it
	dark       map[string]bool         // without power
	still      map[string]int          // frozen, by so many
	healed     map[[2]string]time.Time // when a way, or a machine ("ip", ""), was last opened again
	port       int
}

// NewNet makes a Net without machines.
func NewNet(delay func(from, to string) time.Duration) *Net {
	return &Net{delay: delay, ports: map[string]*listener{}, ends: map[*end]bool{}, partitions: map[[2]string]int{},
		dark: map[string]bool{}, still: map[string]int{}, healed: map[[2]string]time.Time{}, port: 20000}
}

// Host is one process on a machine: what it listens on and what it has connected ends with it.
type Host struct {
	n    *Net
	IP   string
	gone chan struct{} // closed when the process ends
	dead bool
}

// Host makes a process on the machine of an ip.
func (n *Net) Host(ip string) *Host { return &Host{n: n, IP: ip, gone: make(chan struct{})} }

// Cut stops all that goes from one machine to another, until Join was called as often as Cut: faults overlap.
func (n *Net) Cut(from, to string) { n.change(func() { n.partitions[[2]string{from, to}]++ }) }

// Join ends a Cut.
func (n *Net) Join(from, to string) {
	n.change(func() {
		if way := [2]string{from, to}; n.partitions[way] > 1 {
			n.partitions[way]--
		} else {
			delete(n.partitions, way)
			n.healed[way] = time.Now()
		}
	})
}

// healedSince says whether a way, or the machine at either end of it, was opened again within a span.
func (n *Net) healedSince(from, to string, span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, what := range [][2]string{{from, to}, {to, from}, {from, ""}, {to, ""}} {
		if at, was := n.healed[what]; was && time.Since(at) <= span {
			return true
		}
	}
	return false
}

// Freeze is as Dark, but counted apart from a loss of power.
func (n *Net) Freeze(ip string, frozen bool) {
	n.change(func() {
		if frozen {
			n.still[ip]++
		} else {
			n.still[ip]--
			n.healed[[2]string{ip, ""}] = time.Now()
		}
	})
}

// reaches says whether bytes go both ways between two machines now.
func (n *Net) reaches(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open(a, b) && n.open(b, a)
}

// Dark machines are silent: neither do they answer nor does anything reach them. Connections stay as they are.
func (n *Net) Dark(ip string, dark bool) {
	n.change(func() {
		if delete(n.dark, ip); dark {
			n.dark[ip] = true
		} else {
			n.healed[[2]string{ip, ""}] = time.Now()
		}
	})
}

func (n *Net) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	now := time.Now()
	for e := range n.ends {
		open, held := n.open(e.peer.host.IP, e.host.IP), false
		for i := range e.in {
			s := &e.in[i]
			switch {
			case open && s.at.Equal(never):
				s.at, held = now.Add(n.delay(e.peer.host.IP, e.host.IP)+resend), true
			case !open && s.at.After(now):
				s.at = never
				n.watch(e.peer)
			}
		}
		if held && e.closed { // nobody is there any more
			e.in = nil
			n.push(e.peer, segment{kind: reset}, resend)
		}
		e.stir()
	}
}

func (n *Net) open(from, to string) bool {
	return !n.dark[from] && !n.dark[to] && n.still[from] == 0 && n.still[to] == 0 && n.partitions[[2]string{from, to}] == 0
}

// Reset breaks all connections of a machine.
func (n *Net) Reset(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for e := range n.ends {
		if e.host.IP == ip || e.peer.host.IP == ip {
			e.in = append(e.in, segment{kind: reset, at: time.Now()})
			e.stir()
		}
	}
}

// Kill ends a process as a signal does: the kernel closes what it had. Power ends it with its machine, which says
// nothing about it.
func (h *Host) Kill() { h.end(false) }

// Power ends them as a loss of power does: nobody is told.
func (h *Host) Power() { h.end(true) }

func (h *Host) end(silent bool) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.dead {
		return
	}
	h.dead = true
	close(h.gone)
	for _, l := range h.n.ports {
		if l.host == h {
			l.end()
		}
	}
	for e := range h.n.ends {
		if e.host != h {
			continue
		}
		if silent {
			e.powerless = true
			if e.peer.in != nil && !h.n.open(h.IP, e.peer.host.IP) { // bytes held up by a cut are lost with the sender
				kept := e.peer.in[:0]
				for _, s := range e.peer.in {
					if s.at != never {
						kept = append(kept, s)
					}
				}
				e.peer.in = kept
			}
		}
		e.close()
	}
}

type kind uint8

const (
	data kind = iota
	fin
	reset
)

type segment struct {
	kind kind
	data []byte
	sent time.Time
	at   time.Time // of its arrival
}

// end is one side of a connection.
type end struct {
	n             *Net
	host          *Host
	at, from      *net.TCPAddr // this side, the other
	peer          *end
	in            []segment // on their way to this side, or arrived and unread
	inBytes       int
	readBytes     int64 // bytes read here by the process
	closed        bool
	powerless     bool // ... with its machine's power: nothing was said
	err           error
	readDeadline  time.Time
	writeDeadline time.Time
	wake          chan struct{} // closed at the next change; nil: nobody waits for one
	patience      time.Duration // bytes that stay unacknowledged for so long end the connection; 0: for ever
	watched       bool
}

func (e *end) stir() {
	if e.wake != nil {
		close(e.wake)
		e.wake = nil
	}
}

// woken is closed at the next change. The lock is held.
func (e *end) woken() <-chan struct{} {
	if e.wake == nil {
		e.wake = make(chan struct{})
	}
	return e.wake
}

// push sends to an end, late by more than the way's delay. The lock is held.
func (n *Net) push(to *end, s segment, late time.Duration) {
	now := time.Now()
	s.sent, s.at = now, never
	if n.open(to.peer.host.IP, to.host.IP) {
		s.at = now.Add(n.delay(to.peer.host.IP, to.host.IP) + late)
		if k := len(to.in); k > 0 && to.in[k-1].at.After(s.at) {
			s.at = to.in[k-1].at
		}
	}
	to.in = append(to.in, s)
	to.inBytes += len(s.data)
	to.stir()
}

// watch ends a connection whose bytes are not acknowledged in time. The lock is held.
func (n *Net) watch(e *end) {
	if e.patience == 0 || e.watched || e.closed {
		return
	}
	e.watched = true
	time.AfterFunc(e.patience, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		e.watched = false
		for _, s := range e.peer.in {
			if s.at != never || e.closed {
				continue
			}
			if !time.Now().Before(s.sent.Add(e.patience)) {
				e.err = syscall.ETIMEDOUT
				e.stir()
			} else {
				n.watch(e)
			}
			return
		}
	})
}

func (e *end) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: e.at, Addr: e.from, Err: err}
}

func (e *end) Read(b []byte) (int, error) {
	for {
		e.n.mu.Lock()
		now := time.Now()
		var err error
		switch {
		case e.closed:
			err = net.ErrClosed
		case !e.readDeadline.IsZero() && !now.Before(e.readDeadline):
			err = os.ErrDeadlineExceeded
		case len(e.in) > 0 && !e.in[0].at.After(now):
			s := &e.in[0]
			switch s.kind {
			case fin:
				err = io.EOF
			case reset:
				err = syscall.ECONNRESET
			default:
				k := copy(b, s.data)
				if s.data = s.data[k:]; len(s.data) == 0 {
					e.in[0] = segment{}
					e.in = e.in[1:]
				}
				e.inBytes -= k
				e.readBytes += int64(k)
				if e.inBytes+k >= window {
					e.peer.stir()
				}
				e.n.mu.Unlock()
				return k, nil
			}
		case e.err != nil:
			err = e.err
		}
		if err != nil {
			e.n.mu.Unlock()
			if errors.Is(err, io.EOF) {
				return 0, err
			}
			return 0, e.fail("read", err)
		}
		until := e.readDeadline
		if len(e.in) > 0 && e.in[0].at != never && (until.IsZero() || e.in[0].at.Before(until)) {
			until = e.in[0].at
		}
		wake := e.woken()
		e.n.mu.Unlock()
		wait(wake, until)
	}
}

// wait is for a change, or until a time if that is set.
func wait(wake <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-wake
		return
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	}
}

func (e *end) Write(b []byte) (total int, err error) {
	for {
		e.n.mu.Lock()
		now := time.Now()
		switch {
		case e.closed:
			err = net.ErrClosed
		case e.err != nil:
			err = e.err
		case e.broken(now):
			err = syscall.EPIPE
		case !e.writeDeadline.IsZero() && !now.Before(e.writeDeadline):
			err = os.ErrDeadlineExceeded
		}
		if err != nil {
			e.n.mu.Unlock()
			return total, e.fail("write", err)
		}
		if room := window - e.peer.inBytes; room > 0 || e.peer.closed {
			k := min(max(room, 1), len(b))
			e.send(b[:k])
			b, total = b[k:], total+k
		}
		if len(b) == 0 {
			e.n.mu.Unlock()
			return total, nil
		}
		wake, until := e.woken(), e.writeDeadline
		e.n.mu.Unlock()
		wait(wake, until)
	}
}

// broken says that a reset has come. The lock is held.
func (e *end) broken(now time.Time) bool {
	for _, s := range e.in {
		if s.kind == reset && !s.at.After(now) {
			return true
		}
	}
	return false
}

// send puts bytes on their way. The lock is held.
func (e *end) send(b []byte) {
	p := e.peer
	open := e.n.open(e.host.IP, p.host.IP)
	if p.closed && open { // a reset comes back
		e.n.push(e, segment{kind: reset}, e.n.delay(e.host.IP, p.host.IP))
		return
	}
	e.n.push(p, segment{data: append([]byte(nil), b...)}, 0)
	if !open || !e.n.open(p.host.IP, e.host.IP) {
		e.n.watch(e)
	}
}

func (e *end) Close() error {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	if e.closed {
		return e.fail("close", net.ErrClosed)
	}
	e.close()
	return nil
}

func (e *end) close() {
	if e.closed {
		return
	}
	e.closed = true
	now := time.Now()
	if !e.powerless {
		unread, coming := false, time.Time{}
		for _, s := range e.in {
			if s.kind != data {
				continue
			}
			if !s.at.After(now) {
				unread = true
			} else if s.at != never {
				coming = s.at
			}
		}
		if unread {
			e.n.push(e.peer, segment{kind: reset}, 0)
		} else {
			e.n.push(e.peer, segment{kind: fin}, 0)
			if !coming.IsZero() {
				e.n.push(e.peer, segment{kind: reset}, coming.Sub(now))
			}
		}
	}
	e.stir()
	e.peer.stir()
	if e.peer.closed {
		delete(e.n.ends, e)
		delete(e.n.ends, e.peer)
	}
}

// isHeldBack says that nothing of what was sent from here since the process at the other side had read `before` bytes
// has been read by it.
func (e *end) isHeldBack(before int64) bool {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	return e.peer.readBytes <= before
}

// ended says that the other side has closed or broken the connection, as far as that has come here; stray, that bytes
// wait here.
func (e *end) ended() (ended, stray bool) {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	for _, s := range e.in {
		if s.at.After(time.Now()) {
			break
		}
		ended, stray = ended || s.kind != data, stray || s.kind == data
	}
	return ended || e.closed || e.err != nil, stray
}

func (e *end) LocalAddr() net.Addr  { return e.at }
func (e *end) RemoteAddr() net.Addr { return e.from }

func (e *end) SetDeadline(t time.Time) error { return e.deadline(&t, &t) }
func (e *end) SetReadDeadline(t time.Time) error {
	return e.deadline(&t, nil)
}
func (e *end) SetWriteDeadline(t time.Time) error { return e.deadline(nil, &t) }

func (e *end) deadline(read, write *time.Time) error {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	if e.closed {
		return e.fail("set", net.ErrClosed)
	}
	if read != nil {
		e.readDeadline = *read
	}
	if write != nil {
		e.writeDeadline = *write
	}
	e.stir()
	return nil
}

type listener struct {
	n     *Net
	host  *Host
	at    *net.TCPAddr
	queue chan *end
	done  chan struct{}
	ended bool
}

// Listen takes connections at "ip:port" of the machine.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	at := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
	if h.dead {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: net.ErrClosed}
	}
	if h.n.ports[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: syscall.EADDRINUSE}
	}
	l := &listener{n: h.n, host: h, at: at, queue: make(chan *end, backlog), done: make(chan struct{})}
	h.n.ports[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
	default:
		select {
		case e := <-l.queue:
			return e, nil
		case <-l.done:
		}
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.at, Err: net.ErrClosed}
}

func (l *listener) Close() error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.end()
	return nil
}

func (l *listener) end() {
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	delete(l.n.ports, l.at.String())
	for {
		select {
		case e := <-l.queue:
			e.close()
			continue
		default:
		}
		return
	}
}

func (l *listener) Addr() net.Addr { return l.at }

// endOf is the simulated connection behind a net.Conn of this network.
func endOf(c net.Conn) *end {
	e, _ := c.(*end)
	return e
}

// Dial connects to "ip:port". Nobody listening there refuses it, a silent machine lets it hang until ctx ends.
// Patience is how long bytes may stay unacknowledged on it (0: for ever).
func (h *Host) Dial(ctx context.Context, address string, patience time.Duration) (net.Conn, error) {
	to := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: err}
	}
	n, ip := h.n, to.IP.String()
	for again := time.Second; ; again *= 2 { // the opening packet is sent again
		n.mu.Lock()
		open := n.open(h.IP, ip) && n.open(ip, h.IP)
		pause := again
		if open {
			pause = n.delay(h.IP, ip) + n.delay(ip, h.IP)
		}
		n.mu.Unlock()
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return fail(os.ErrDeadlineExceeded)
		case <-h.gone:
			t.Stop()
			return fail(net.ErrClosed)
		case <-t.C:
		}
		if !open {
			continue
		}
		n.mu.Lock()
		l := n.ports[address]
		switch {
		case h.dead:
			n.mu.Unlock()
			return fail(net.ErrClosed)
		case !n.open(h.IP, ip) || !n.open(ip, h.IP) || l != nil && len(l.queue) == cap(l.queue):
			n.mu.Unlock()
			continue
		case l == nil:
			n.mu.Unlock()
			return fail(syscall.ECONNREFUSED)
		}
		n.port = 20000 + (n.port-20000+1)%40000
		from := &net.TCPAddr{IP: net.ParseIP(h.IP), Port: n.port}
		a := &end{n: n, host: h, at: from, from: to, patience: patience}
		b := &end{n: n, host: l.host, at: to, from: from, peer: a}
		a.peer = b
		n.ends[a], n.ends[b] = true, true
		l.queue <- b
		n.mu.Unlock()
		return a, nil
	}
}
