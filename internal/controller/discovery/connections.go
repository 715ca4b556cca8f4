package discovery

import (
	"context"
	"net"
	"sync"
	"time"
)

// Connections are those of one client of fasthttp, whose calls have a time but no context. Once a context ends they are
// closed, and with them the calls that are under way: nobody wants their answers.
type Connections struct {
	ctx     context.Context
	timeout time.Duration // of dialling

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// NewConnections makes Connections that last as long as a context.
func NewConnections(ctx context.Context, dialTimeout time.Duration) *Connections {
	c := &Connections{ctx: ctx, timeout: dialTimeout, open: map[*trackedConn]struct{}{}}
	context.AfterFunc(ctx, c.closeAll)
	return c
}

// Dial opens one to an address. fasthttp's own keeps a goroutine for good.
func (c *Connections) Dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.timeout}
	netConn, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: netConn, owner: c}
	c.mu.Lock()
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	if err := c.ctx.Err(); err != nil { // closeAll may have run before
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Connections) closeAll() {
	c.mu.Lock()
	all := make([]*trackedConn, 0, len(c.open))
	for conn := range c.open {
		all = append(all, conn)
	}
	c.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close() // what it carried is nobody's
	}
}

// trackedConn is on the list of its owner until it is closed.
type trackedConn struct {
	net.Conn
	owner *Connections
}

// Close takes it off the list.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
