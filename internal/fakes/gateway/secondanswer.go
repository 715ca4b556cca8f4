package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// secondAnswerDelay is the time from an answer to its second copy.
const secondAnswerDelay = 30 * time.Millisecond

// repeatingListener accepts connections whose server can send an answer twice.
type repeatingListener struct{ net.Listener }

func (l repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn}, nil
}

// repeatingConn writes what was written once more, if asked to. An answer without a body is one write.
type repeatingConn struct {
	net.Conn

	mu       sync.Mutex
	isWanted bool // the next write is repeated
}

func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWanted {
		c.isWanted = false
		again := append([]byte(nil), b...)
		time.AfterFunc(secondAnswerDelay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_, _ = c.Conn.Write(again) // fails if the caller has closed the connection
		})
	}
	return c.Conn.Write(b)
}

// connKey is the context key for the *repeatingConn of a request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// repeatAnswer has the answer to a request sent twice.
func repeatAnswer(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*repeatingConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isWanted = true
	}
}
