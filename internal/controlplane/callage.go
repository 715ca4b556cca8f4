package controlplane

import (
	"context"
	"net"
	"net/http"
	"time"
)

// acceptSlack is how long a connection may have existed before it is accepted, while no suspension is detected.
const acceptSlack = 500 * time.Millisecond

// callConnKey is the context key for the *callConn of a call.
type callConnKey struct{}

// callConn is a connection of calls. Its calls are served one after the other.
type callConn struct {
	// nextSentAfter is a lower bound of the time at which the next call on the connection is sent.
	nextSentAfter time.Time
}

// ConnContext adds the state of a new connection to the context of its calls. It is for the http.Server of Handler.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, callConnKey{}, &callConn{nextSentAfter: s.options.Clock.Now().Add(-acceptSlack)})
}

// beforeResponse is called before the response to a call is written. A client sends the next call on the connection
// only after it has received that response (RFC 9112, section 9.3.2, on methods that are not idempotent).
func (s *Server) beforeResponse(r *http.Request) {
	if conn, ok := r.Context().Value(callConnKey{}).(*callConn); ok {
		conn.nextSentAfter = s.options.Clock.Now()
	}
}

// sentAfter returns a lower bound of the time at which a call was sent, however long the network has held it up: its
// connection existed then, and the previous call on it had been answered. The bound is the zero time if the connection
// is not known.
func sentAfter(r *http.Request) time.Time {
	if conn, ok := r.Context().Value(callConnKey{}).(*callConn); ok {
		return conn.nextSentAfter
	}
	return time.Time{}
}
