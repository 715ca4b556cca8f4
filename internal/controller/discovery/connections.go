package discovery

import (
	"context"
	"net"
	"sync"
	"time"
)

// Connections dials and tracks the connections of one fasthttp client, whose calls have a timeout but no context. The
// end of a context closes the connections and so ends the calls in progress.
type Connections struct {
	ctx     context.Context
	timeout time.Duration // for dialing

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// NewConnections creates Connections that last as long as ctx.
func NewConnections(ctx context.Context, dialTimeout time.Duration) *Connections {
	c := &Connections{ctx: ctx, timeout: dialTimeout, open: map[*trackedConn]struct{}{}}
	context.AfterFunc(ctx, c.closeAll)
	return c
}

// Dial opens a connection. fasthttp's default dial function is not used, because it starts a goroutine that never ends.
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
	if err := c.ctx.Err(); err != nil { // closeAll may have run before conn was tracked
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
		_ = conn.Close()
	}
}

// trackedConn is in the open set of its owner until it is closed.
type trackedConn struct {
	net.Conn
	owner *Connections
}

// Close removes the connection from the set of its owner and closes it.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
